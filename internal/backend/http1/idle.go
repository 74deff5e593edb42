package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"lemonrail/internal/connstate"
	"lemonrail/internal/core"
)

// This file manages idle connections within the socket limit.

// Sockets counts the process's client and backend connections against its limit.
type Sockets struct {
	Limit         int64        // maximum of Open; 0: unlimited
	Open          atomic.Int64 // client and backend connections that are open
	idleThreshold atomic.Int64 // number of open connections from which idle ones to backends are closed; 0: Limit applies
}

// Full reports whether as many connections are open as Limit allows.
func (s *Sockets) Full() bool { return s.Limit > 0 && s.Open.Load() >= s.Limit }

// NearLimit reports whether so many connections are open that idle ones to backends are to be closed: idleThreshold if that
// is set, or else Limit.
func (s *Sockets) NearLimit() bool {
	if room := s.idleThreshold.Load(); room > 0 && s.Open.Load() >= room {
		return true
	}
	return s.Full()
}

// dial opens a connection to the backend at addr. At the socket limit it first closes an idle one, and fails with
// errOutOfSockets if there is none.
func (u *Upstream) dial(ctx context.Context, addr string) (*conn, error) {
	for u.sockets.Full() {
		if !u.EvictIdle() {
			return nil, errOutOfSockets
		}
	}
	u.sockets.Open.Add(1)
	start := time.Now()
	nc, err := u.dialContext(ctx, "tcp", addr)
	if err != nil {
		u.sockets.Open.Add(-1)
		// A backend that does not answer must not be confused with a client whose deadline passed: net's own
		// dial timeout also counts as context.DeadlineExceeded.
		until, bounded := ctx.Deadline()
		if errors.Is(err, context.DeadlineExceeded) && (!bounded || until.After(start.Add(u.connectTimeout))) {
			return nil, fmt.Errorf("dial backend: %w in %v", errNoConnection, u.connectTimeout)
		}
		return nil, fmt.Errorf("dial backend: %w", err)
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, limited: limit, r: bufio.NewReaderSize(limit, maxHeadBytes), attempts: u.attempts}, nil
}

// close closes a connection and subtracts it from the open sockets.
func (u *Upstream) close(c *conn) {
	c.Close()
	u.sockets.Open.Add(-1)
}

// takeIdle returns the newest usable connection to a backend that has been idle for reuseDelay, or nil.
func (u *Upstream) takeIdle(to core.Target) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := len(u.idle[to]) - 1; i >= 0; i-- {
		c := u.idle[to][i]
		age := time.Since(c.idleSince)
		if age < reuseDelay {
			continue
		}
		u.removeIdle(to, i)
		if age < u.idleTimeout && c.openAndEmpty() {
			return c
		}
		u.close(c)
	}
	return nil
}

// removeIdle removes the connection at index i from the idle ones of a backend. The caller holds u.mu.
func (u *Upstream) removeIdle(to core.Target, i int) {
	list := u.idle[to]
	copy(list[i:], list[i+1:])
	list[len(list)-1] = nil
	if u.idle[to] = list[:len(list)-1]; len(list) == 1 {
		delete(u.idle, to)
	}
}

// putIdle keeps a connection for later requests, and then closes the oldest idle one if too many connections are open.
func (u *Upstream) putIdle(to core.Target, c *conn) {
	c.idleSince = time.Now()
	u.mu.Lock()
	u.idle[to] = append(u.idle[to], c)
	u.mu.Unlock()
	if u.sockets.idleThreshold.Load() > 0 && u.sockets.NearLimit() {
		u.EvictIdle()
	}
}

// SetIdleThreshold sets the number of open connections from which idle ones are closed. At or above the socket limit, only
// the limit applies.
func (u *Upstream) SetIdleThreshold(n int) {
	room := int64(n)
	if room >= u.sockets.Limit {
		room = 0
	}
	u.sockets.idleThreshold.Store(room)
	for u.sockets.NearLimit() && u.EvictIdle() {
	}
}

// openAndEmpty reports whether an idle connection is open with nothing to read. A request on a connection that
// the backend has closed would end as a reset, after which it can't be known whether the request ran.
func (c *conn) openAndEmpty() bool { return connstate.Inspect(c.Conn) == connstate.Idle }

// EvictIdle closes, of the idle connections to all backends, the one that has been idle for longest. It returns false if
// no connection is idle.
func (u *Upstream) EvictIdle() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	var oldest core.Target
	for to, list := range u.idle {
		if oldest == (core.Target{}) || list[0].idleSince.Before(u.idle[oldest][0].idleSince) {
			oldest = to
		}
	}
	if oldest == (core.Target{}) {
		return false
	}
	u.close(u.idle[oldest][0])
	u.removeIdle(oldest, 0)
	return true
}

// closeStaleIdle closes the connections that have been idle for too long or that the backend has closed.
func (u *Upstream) closeStaleIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for to, list := range u.idle {
		for i := len(list) - 1; i >= 0; i-- {
			if c := list[i]; time.Since(c.idleSince) >= u.idleTimeout || !c.openAndEmpty() {
				u.removeIdle(to, i)
				u.close(c)
			}
		}
	}
}

// CloseIdleExcept closes the idle connections to all backends for which wanted returns false.
func (u *Upstream) CloseIdleExcept(wanted func(core.Target) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for to, list := range u.idle {
		if wanted(to) {
			continue
		}
		for _, c := range list {
			u.close(c)
		}
		delete(u.idle, to)
	}
}

// Run closes stale idle connections periodically until ctx ends, then closes all idle ones.
func (u *Upstream) Run(ctx context.Context) {
	tick := time.NewTicker(min(time.Second, max(u.idleTimeout/8, time.Millisecond)))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			u.closeStaleIdle()
		case <-ctx.Done():
			for u.EvictIdle() {
			}
			return
		}
	}
}
