package admission

import (
	"io"
	"time"
)

// This file reads the bodies of requests and accounts for their memory.

const bodyChunk = 16 << 10 // bytes of a body that are read under one deadline

// Reserve reserves memory for that many bytes of a body; if it returns false the request must be refused.
func (c *Conn) Reserve(bytes int) (ok bool) {
	c.withGovernor(func(g *Governor, e *Entry, _ time.Duration) { ok = g.Reserve(e, bytes) })
	return ok
}

// ReserveExtra reserves memory beyond Reserve, to hold a body whole; if it returns false the rest of the body has to be
// streamed instead.
func (c *Conn) ReserveExtra(bytes int) (ok bool) {
	c.withGovernor(func(g *Governor, e *Entry, _ time.Duration) { ok = g.ReserveExtra(e, bytes) })
	return ok
}

// ShrinkReservation reduces the memory reserved for a body to bytes, its actual size.
func (c *Conn) ShrinkReservation(bytes int) {
	c.withGovernor(func(g *Governor, e *Entry, _ time.Duration) { g.ShrinkReservation(e, bytes) })
}

// ReadBody reads part of a request's body until a deadline, or a shorter one if the client stalls (see
// Governor.BodyReadTimeout).
func (c *Conn) ReadBody(body io.Reader, buf []byte, until time.Time) (int, error) {
	var stall time.Duration
	c.withGovernor(func(g *Governor, _ *Entry, _ time.Duration) { stall = g.BodyReadTimeout() })
	if next := time.Now().Add(stall); next.Before(until) {
		until = next
	}
	if err := c.SetReadDeadline(until); err != nil {
		return 0, err
	}
	return body.Read(buf[:min(len(buf), bodyChunk)])
}
