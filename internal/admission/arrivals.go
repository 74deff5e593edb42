package admission

import (
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

// LastArrival returns when the last bytes of the connection arrived, whether or not they have been read.
func (c *Conn) LastArrival() time.Time { return connstate.LastArrival(c.Conn) }
