package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"lemonrail/internal/core"
	"lemonrail/internal/peek"
)

// This file keeps idle connections, within the limit on sockets.

// Sockets counts the client and backend connections of the process against its limit.
type Sockets struct {
	Limit int64 // 0: none
	Open  atomic.Int64
	room  atomic.Int64 // beyond which idle ones are let go; 0: Limit
}

// Full reports whether none is left.
func (s *Sockets) Full() bool { return s.Limit > 0 && s.Open.Load() >= s.Limit }

// Tight reports whether idle connections are to make room.
func (s *Sockets) Tight() bool {
	if room := s.room.Load(); room > 0 && s.Open.Load() >= room {
		return true
	}
	return s.Full()
}

// dial opens a connection. At the limit on sockets an idle one makes room for it.
func (u *Upstream) dial(ctx context.Context, addr string) (*conn, error) {
	for u.sockets.Full() {
		if !u.Evict() {
			return nil, errOutOfSockets
		}
	}
	u.sockets.Open.Add(1)
	began := time.Now()
	nc, err := u.connect(ctx, "tcp", addr)
	if err != nil {
		u.sockets.Open.Add(-1)
		// Guards against a backend that says nothing and is taken for a client that had no time: net's own
		// time-out, too, counts as context.DeadlineExceeded.
		until, bounded := ctx.Deadline()
		if errors.Is(err, context.DeadlineExceeded) && (!bounded || until.After(began.Add(u.connectTimeout))) {
			return nil, fmt.Errorf("dial backend: %w in %v", errNoConnection, u.connectTimeout)
		}
		return nil, fmt.Errorf("dial backend: %w", err)
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, limit: limit, r: bufio.NewReaderSize(limit, maxHead), tries: u.tries}, nil
}

func (u *Upstream) close(c *conn) {
	c.Close()
	u.sockets.Open.Add(-1)
}

// take returns the newest idle connection to a backend that has rested, nil if there is none.
func (u *Upstream) take(to core.Target) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := len(u.idle[to]) - 1; i >= 0; i-- {
		c := u.idle[to][i]
		age := time.Since(c.since)
		if age < restTime {
			continue
		}
		u.drop(to, i)
		if age < u.idleTime && c.silent() {
			return c
		}
		u.close(c)
	}
	return nil
}

// drop takes the connection at place i off the idle ones.
func (u *Upstream) drop(to core.Target, i int) {
	list := u.idle[to]
	copy(list[i:], list[i+1:])
	list[len(list)-1] = nil
	if u.idle[to] = list[:len(list)-1]; len(list) == 1 {
		delete(u.idle, to)
	}
}

func (u *Upstream) keep(to core.Target, c *conn) {
	c.since = time.Now()
	u.mu.Lock()
	u.idle[to] = append(u.idle[to], c)
	u.mu.Unlock()
	if u.sockets.room.Load() > 0 && u.sockets.Tight() {
		u.Evict()
	}
}

// Room sets beyond how many connections of the process idle ones are let go; from its limit on that alone holds.
func (u *Upstream) Room(n int) {
	room := int64(n)
	if room >= u.sockets.Limit {
		room = 0
	}
	u.sockets.room.Store(room)
	for u.sockets.Tight() && u.Evict() {
	}
}

// silent reports whether an idle connection is open with nothing to read. Guards against a
// request on a connection that the backend has closed: it would end as a reset, that may have run.
func (c *conn) silent() bool { return peek.Look(c.Conn) == peek.Silent }

// Evict closes the connection that has been idle for longest. It reports whether there was one.
func (u *Upstream) Evict() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	var oldest core.Target
	for to, list := range u.idle {
		if oldest == (core.Target{}) || list[0].since.Before(u.idle[oldest][0].since) {
			oldest = to
		}
	}
	if oldest == (core.Target{}) {
		return false
	}
	u.close(u.idle[oldest][0])
	u.drop(oldest, 0)
	return true
}

// sweep drops the connections that have been idle for too long or that the backend has closed.
func (u *Upstream) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for to, list := range u.idle {
		for i := len(list) - 1; i >= 0; i-- {
			if c := list[i]; time.Since(c.since) >= u.idleTime || !c.silent() {
				u.drop(to, i)
				u.close(c)
			}
		}
	}
}

// Keep closes the idle connections to all backends but those that are wanted.
func (u *Upstream) Keep(wanted func(core.Target) bool) {
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

// Run sweeps until ctx ends, then closes what is idle.
func (u *Upstream) Run(ctx context.Context) {
	tick := time.NewTicker(min(time.Second, max(u.idleTime/8, time.Millisecond)))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			u.sweep()
		case <-ctx.Done():
			for u.Evict() {
			}
			return
		}
	}
}
