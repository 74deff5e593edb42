// Package http1 makes attempts over HTTP/1.1: one connection carries one request at a time, and is kept for
// further ones while the backend lets it. It counts its sockets with those of the process, and closes what
// has been idle for too long.
package http1

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/core"
	"lemonrail/internal/http1"
	"lemonrail/internal/wire"
)

const (
	wholeReply = 64 << 10 // bytes of an answer's body that are waited for: shorter ones can go to another backend when they are spoilt
	mostReply  = 64 << 20 // bytes of an answer's body at the most; peers send up to 32 MB
	maxHead    = 8 << 10  // bytes of an answer's head
	maxInfos   = 8        // 1xx answers ahead of the final one

	// An answer that has begun goes on: one of which nothing comes for so long is spoilt.
	stallLimit = 100 * time.Millisecond
	// One that may be long and is not there by then passes on as it comes: its first bytes are waited for.
	firstWait = 10 * time.Millisecond
	bodyPart  = 16 << 10 // bytes of a body that there is room for at first, where its length says no less

	// Behind the first part of a long one a backend may take its time, but not for ever.
	streamStall = 10 * time.Second

	// What a backend sends behind an answer shows by then; until it has rested for so long, a
	// connection takes no request, which could be given those bytes for its answer.
	restTime = 10 * time.Millisecond

	idleShare   = 0.75 // of the time after which a backend closes an idle connection
	maxIdleTime = time.Minute
	probeLimit  = time.Second
)

// Upstream makes attempts and keeps connections to backends. net/http's Transport would resend
// by itself on a broken connection, which counts as an attempt; this does not.
type Upstream struct {
	connectTimeout time.Duration
	idleTime       time.Duration // an idle connection is dropped after it
	sockets        *Sockets
	reports        bool // probes bring them
	log            *slog.Logger
	tries          *atomic.Int64 // attempts written whole
	connect        func(ctx context.Context, network, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[core.Target][]*conn // the newest last
	busy map[core.Target]int     // connections with an attempt on them
}

// New returns an upstream.
func New(s *balance.Settings, socks *Sockets, log *slog.Logger) *Upstream {
	idle := time.Duration(idleShare * float64(s.IdleClose))
	if idle == 0 {
		idle = maxIdleTime
	}
	d := net.Dialer{Timeout: s.ConnectTimeout, KeepAlive: -1}
	return &Upstream{connect: d.DialContext, connectTimeout: s.ConnectTimeout, idleTime: idle, sockets: socks, log: log, reports: s.Reports != balance.ReportsOff,
		tries: new(atomic.Int64), idle: map[core.Target][]*conn{}, busy: map[core.Target]int{}}
}

// CountTries counts attempts that are written whole in n.
func (u *Upstream) CountTries(n *atomic.Int64) { u.tries = n }

// Exchange makes one attempt: one request (an *http1.Request) on one connection, written once.
func (u *Upstream) Exchange(ctx context.Context, p *core.Permit, to core.Target, request any) core.Response {
	out := request.(*http1.Request)
	r, broke := u.once(ctx, p, to, out)
	if broke && (r.Result == balance.Reset || r.Result == balance.ConnectFailed) {
		r.Standing = u.stands(ctx, to)
	}
	return r
}

// once is exchange but for what else is known of the backend. It reports whether there was a
// connection, which may have broken.
func (u *Upstream) once(ctx context.Context, p *core.Permit, to core.Target, out *http1.Request) (r core.Response, connected bool) {
	if c := u.take(to); c != nil {
		// Guards against blame for a kept connection that has gone stale: what could not be written
		// to it is no attempt yet, and goes out on a new one.
		if r := u.use(ctx, p, c, to, out); r.Result != balance.ConnectFailed {
			return r, true
		}
	}
	// Guards against a request that is written when its connection comes up at last, though its client has left
	// meanwhile or its backend drains.
	wait, stop := context.WithCancel(ctx)
	defer stop()
	if by := p.By(); !by.IsZero() {
		wait, stop = context.WithDeadline(wait, by)
		defer stop()
	}
	if !p.Await(stop) {
		return core.Response{Result: balance.Withdrawn, Load: balance.NoLoad()}, false
	}
	c, err := u.dial(wait, to.Addr)
	if err != nil {
		if p.Taken() {
			return core.Response{Result: balance.Withdrawn, Load: balance.NoLoad()}, false
		}
		return core.Response{Result: dialResult(ctx, err), Load: balance.NoLoad(), Refused: errors.Is(err, syscall.ECONNREFUSED)}, false
	}
	return u.use(ctx, p, c, to, out), true
}

// settle is how long after a connection broke the others of the same process have broken too, if
// it has ended. It is less than most retries wait.
const settle = 5 * time.Millisecond

// stands reports whether other connections to a backend outlive one that broke.
func (u *Upstream) stands(ctx context.Context, to core.Target) bool {
	wait := time.NewTimer(settle)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.busy[to] > 0 || slices.ContainsFunc(u.idle[to], (*conn).silent)
}

// count notes a connection that takes an attempt, or has done with it.
func (u *Upstream) count(to core.Target, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.busy[to] += n; u.busy[to] == 0 {
		delete(u.busy, to)
	}
}

// use makes an attempt on a connection, and keeps or closes it.
func (u *Upstream) use(ctx context.Context, p *core.Permit, c *conn, to core.Target, out *http1.Request) core.Response {
	u.count(to, 1)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(longAgo) })
	r, reusable := c.roundTrip(ctx, p, out)
	if a, ok := r.Payload.(*http1.Answer); ok && a.More != nil {
		// The rest of a long answer outlives the attempt.
		if s := a.More.(*stream); stop() && c.SetDeadline(time.Time{}) == nil {
			s.end = func() {
				u.count(to, -1)
				if s.whole && c.r.Buffered() == 0 && reusable && c.SetDeadline(time.Time{}) == nil {
					u.keep(to, c)
				} else {
					u.close(c)
				}
			}
			if !r.Load.Valid {
				r.Load = balance.NoLoad()
			}
			return r
		}
		r, reusable = core.Response{Result: balance.TimedOut}, false
		if errors.Is(ctx.Err(), context.Canceled) {
			r.Result = balance.Cancelled
		}
	}
	u.count(to, -1)
	// Guards against a kept connection whose deadline has passed: once stop is too late, the
	// deadline may strike at any time.
	if stop() && reusable && c.SetDeadline(time.Time{}) == nil {
		u.keep(to, c)
	} else {
		u.close(c)
	}
	if !r.Load.Valid {
		r.Load = balance.NoLoad()
	}
	return r
}

var (
	longAgo         = time.Unix(1, 0)
	errOutOfSockets = errors.New("out of sockets")
	errNoConnection = errors.New("no connection")
)

// dialResult tells what a dial that failed says. Guards against blame for the wrong one: want of
// sockets and a client's deadline that cuts a dial short say nothing of the backend.
func dialResult(ctx context.Context, err error) balance.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balance.Cancelled
	}
	for _, own := range []error{errOutOfSockets, context.DeadlineExceeded, syscall.EMFILE, syscall.ENFILE,
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, own) {
			return balance.NotSent
		}
	}
	if ctx.Err() != nil && !errors.Is(err, errNoConnection) {
		return balance.NotSent
	}
	return balance.ConnectFailed
}

// Probe asks a backend how it is.
func (u *Upstream) Probe(to core.Target) core.Response {
	ctx, cancel := context.WithTimeout(context.Background(), probeLimit)
	defer cancel()
	path := "/alive"
	if u.reports {
		path = "/metrics/load"
	}
	out, err := http1.Render(http.MethodGet, path, to.Addr, http.Header{}, nil, nil)
	if err != nil {
		return core.Response{Result: balance.NotSent, Load: balance.NoLoad()}
	}
	r := u.Exchange(ctx, nil, to, out)
	if r.Result == balance.OK && u.reports && !r.Load.Valid {
		r.Load, _ = wire.ParseLoad(r.Payload.(*http1.Answer).Body)
	}
	return r
}
