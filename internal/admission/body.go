package admission

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"lemonrail/internal/connstate"
)

// This file reads the bodies of requests and accounts for their memory.

const bodyChunk = 16 << 10 // bytes of a body that are read under one deadline

// bodyWait records when reads of a body waited for the client to send more.
type bodyWait struct {
	mu      sync.Mutex
	aborted bool      // AbortBody was called for the current request
	reading bool      // a body is being read
	waiting bool      // the read waits for the client now
	last    time.Time // when the last read that had to wait ended; zero: none had to
}

// Reserve reserves memory for that many bytes of a body; if it returns false the request must be refused.
func (c *Conn) Reserve(bytes int) (ok bool) {
	c.withGovernor(func(g *Governor, e *Entry, _ time.Duration) { ok = g.Reserve(e, bytes) })
	return ok
}

// ReserveArrived is Reserve for a body that BodyArrived.
func (c *Conn) ReserveArrived(bytes int) (ok bool) {
	c.withGovernor(func(g *Governor, e *Entry, _ time.Duration) { ok = g.ReserveArrived(e, bytes) })
	return ok
}

// BodyArrived reports whether the client certainly has sent the whole body of the request whose head was taken. It has that
// many bytes, none of which the caller has read.
func (c *Conn) BodyArrived(bytes int64) bool {
	unread, known := c.UnreadBytes()
	c.mu.Lock()
	defer c.mu.Unlock()
	return known && int64(c.readWithHead)+int64(unread) >= bytes
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
	if !c.bodyWait.beginBody() {
		return 0, os.ErrDeadlineExceeded
	}
	defer c.bodyWait.endBody()
	return body.Read(buf[:min(len(buf), bodyChunk)])
}

// AbortBody ends a pending ReadBody, and those that follow until the request is answered. The mark comes before the deadline,
// and ReadBody looks at it after it has set its own: otherwise a read that begins at this moment would replace the deadline
// and wait for the client.
func (c *Conn) AbortBody() {
	c.bodyWait.setAborted(true)
	c.SetReadDeadline(pastDeadline)
}

func (w *bodyWait) setAborted(aborted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.aborted = aborted
}

// beginBody records that a body is being read, and reports whether it may be.
func (w *bodyWait) beginBody() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reading = !w.aborted
	return w.reading
}

func (w *bodyWait) endBody() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reading = false
}

// begin records that a read is about to begin on a socket, and reports whether it is of a body and has to wait.
func (w *bodyWait) begin(nc net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = w.reading && connstate.Inspect(nc) == connstate.Idle
	return w.waiting
}

// end records that the read has ended.
func (w *bodyWait) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting, w.last = false, time.Now()
}

// readSocket reads from the socket.
func (c *Conn) readSocket(p []byte) (int, error) {
	if c.bodyWait.begin(c.Conn) {
		defer c.bodyWait.end()
	}
	return c.Conn.Read(p)
}

// LastBodyWait returns when a read of a body last waited for the client to send more, and whether one waits now. The
// client can't have sent the whole body before that time. Without such a wait the time is zero.
func (c *Conn) LastBodyWait() (last time.Time, waiting bool) {
	c.bodyWait.mu.Lock()
	defer c.bodyWait.mu.Unlock()
	return c.bodyWait.last, c.bodyWait.waiting
}

// UnreadBytes returns the number of received bytes that have not been read yet; known is false if the system can't
// tell.
func (c *Conn) UnreadBytes() (n int, known bool) { return connstate.UnreadBytes(c.Conn) }
