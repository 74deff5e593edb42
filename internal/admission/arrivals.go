package admission

import (
	"bytes"
	"net"
	"time"

	"lemonrail/internal/connstate"
)

// This file tells when the bytes of clients arrived, which may have waited in the listener's backlog, in the socket or in
// the read-ahead.

// recordRead records that the server has read n bytes, and returns the time by which they had arrived.
func (c *Conn) recordRead(n int, fromBuffer bool) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !fromBuffer {
		at := time.Now()
		if c.delivered == 0 { // the connection may have waited in the backlog
			at = connstate.LastArrival(c.Conn)
		}
		c.arrivals.Read(n, at)
	}
	c.delivered += int64(n)
	return c.arrivals.Before(c.delivered)
}

// recordReadAhead records that n bytes were read ahead.
func (c *Conn) recordReadAhead(n int) {
	at := connstate.LastArrival(c.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals.Read(n, at)
}

// requestContinues records that what was read belongs to the current request.
func (c *Conn) requestContinues() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestEnd = c.delivered
	c.arrivals.Forget(c.requestEnd)
}

// RequestArrived returns the time by which the bytes of the current request had arrived that have been read of it.
func (c *Conn) RequestArrived() time.Time {
	last := connstate.LastArrival(c.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.arrivals.Before(c.requestEnd); !at.IsZero() && at.Before(last) {
		return at
	}
	return last
}

// maxPeekedHead is how much of a request is looked at before its connection is admitted.
const maxPeekedHead = 4 << 10

// isOverdue reports whether there is no room for a connection that isn't admitted yet, and its client has been silent for long
// without having sent a whole head.
func (l *Listener) isOverdue(nc net.Conn) bool {
	if !l.full() {
		return false
	}
	var head [maxPeekedHead]byte
	n := connstate.Peek(nc, head[:])
	if n == len(head) || wholeHead(head[:n]) {
		return false
	}
	last, segments := connstate.Arrivals(nc)
	backlog := connstate.Backlog(l.Listener)
	l.mu.Lock()
	defer l.mu.Unlock()
	if n > 0 && l.governor.HoldsUpMany(backlog) {
		return true
	}
	return l.governor.Overdue(l.now(), l.at(last), segments > 1)
}

// newSince returns since when a connection that is admitted now is in StateNew: its client's silence began before, in the
// backlog, unless there are bytes to read.
func (l *Listener) newSince(nc net.Conn) time.Duration {
	if connstate.Inspect(nc) == connstate.Idle {
		return l.at(connstate.LastArrival(nc))
	}
	return l.now()
}

func (l *Listener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.governor.Full()
}

// wholeHead reports whether received bytes hold the whole head of a request.
func wholeHead(received []byte) bool {
	received = bytes.TrimLeft(received, "\r\n")
	return bytes.Contains(received, []byte("\n\r\n")) || bytes.Contains(received, []byte("\n\n"))
}

// LastArrival returns when the last bytes of the connection arrived, whether or not they have been read.
func (c *Conn) LastArrival() time.Time { return connstate.LastArrival(c.Conn) }
