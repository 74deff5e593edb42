// Package http1 makes attempts over HTTP/1.1: a connection carries one request at a time and is reused while
// the backend allows it. Its sockets count towards the process's limit, and it closes connections that are
// idle too long.
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
	maxBufferedBody  = 64 << 10 // bytes of an answer's body read before it is passed on: if a shorter one breaks, the request can be retried
	maxBodyBytes     = 64 << 20 // bytes of an answer's body; backends send up to 32 MB
	maxHeadBytes     = 8 << 10  // bytes of an answer's head
	maxInformational = 8        // answers with status 1xx that are skipped before the final one

	// A long answer, or one of unknown length, that pauses for stallTimeout is streamed. The head or body of a short one that
	// pauses for this share of its client's remaining time, from stallTimeout to maxStallTimeout, is broken, if another
	// attempt can be made.
	stallTimeout    = 100 * time.Millisecond
	stallShare      = 0.25
	maxStallTimeout = time.Second
	// An answer that is longer than maxBufferedBody or of unknown length, and isn't complete this long after its body was
	// begun, is streamed.
	firstPartWait   = 10 * time.Millisecond
	initialBodySize = 16 << 10 // initial buffer for a body, unless its length is shorter

	// After the first part of a long answer a backend may pause for this long.
	streamStallTimeout = 10 * time.Second
	// An answer of unknown length that has arrived at this rate or faster, in bytes per second, may become long.
	minLongRate = 16 << 10

	// A connection is not reused until it has been idle for this long: extra bytes that a backend sends after
	// an answer arrive by then, and could otherwise be taken for the next answer.
	reuseDelay = 10 * time.Millisecond

	idleTimeoutShare   = 0.75        // idle connections are closed after this share of the time after which a backend closes them
	defaultIdleTimeout = time.Minute // after which idle connections are closed if the settings don't say when a backend closes them
	probeTimeout       = time.Second // for a whole probe, from the dial to the answer
)

// Upstream makes attempts and keeps connections to backends. net/http's Transport isn't used because it resends
// requests itself on a broken connection, which would count as another attempt.
type Upstream struct {
	connectTimeout time.Duration // limit on establishing a connection
	idleTimeout    time.Duration // idle connections are closed after this long
	sockets        *Sockets      // counts this process's connections
	loadReports    bool          // probes request load reports
	log            *slog.Logger
	attempts       *atomic.Int64                                                     // attempts whose request was written whole
	dialContext    func(ctx context.Context, network, addr string) (net.Conn, error) // net.Dialer.DialContext; tests replace it

	mu   sync.Mutex
	idle map[core.Target][]*conn // by backend: its idle connections, the one that became idle last at the end
	busy map[core.Target]int     // by backend: how many connections have an attempt on them
}

// New returns an Upstream without connections.
func New(s *balance.Settings, socks *Sockets, log *slog.Logger) *Upstream {
	idle := time.Duration(idleTimeoutShare * float64(s.IdleClose))
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	d := net.Dialer{Timeout: s.ConnectTimeout, KeepAlive: -1}
	return &Upstream{dialContext: d.DialContext, connectTimeout: s.ConnectTimeout, idleTimeout: idle, sockets: socks, log: log, loadReports: s.Reports != balance.ReportsOff,
		attempts: new(atomic.Int64), idle: map[core.Target][]*conn{}, busy: map[core.Target]int{}}
}

// CountAttempts makes n count the attempts whose request was written whole.
func (u *Upstream) CountAttempts(n *atomic.Int64) { u.attempts = n }

// Exchange makes one attempt: it writes request (an *http1.Request) once, on one connection, and returns its outcome. If
// an established connection broke, Response.Standing says whether others to the backend survive, which a retry depends on.
func (u *Upstream) Exchange(ctx context.Context, p *core.Permit, to core.Target, request any) core.Response {
	out := request.(*http1.Request)
	r, connected := u.attempt(ctx, p, to, out)
	if broke := r.Result == balance.Reset || r.Result == balance.ConnectFailed; connected && broke && !r.OtherConnectionsOpen {
		r.OtherConnectionsOpen = u.otherConnectionsAlive(ctx, to)
	}
	return r
}

// attempt makes one attempt without the check of other connections that Exchange adds. connected reports whether a
// connection was established, even if it has broken since.
func (u *Upstream) attempt(ctx context.Context, p *core.Permit, to core.Target, out *http1.Request) (r core.Response, connected bool) {
	if c := u.takeIdle(to); c != nil {
		// A reused connection may have gone stale: if the request could not be written whole, it doesn't count
		// as an attempt, and a new connection is tried without blaming the backend.
		if r := u.attemptOn(ctx, p, c, to, out); r.Result != balance.ConnectFailed || r.OtherConnectionsOpen {
			return r, true
		}
	}
	// The wait for a connection ends when the permit is revoked: otherwise a request could be written although
	// its client has disconnected meanwhile or its backend is draining.
	wait, stop := context.WithCancel(ctx)
	defer stop()
	if writeBy := p.WriteDeadline(); !writeBy.IsZero() {
		wait, stop = context.WithDeadline(wait, writeBy)
		defer stop()
	}
	if out.Stream != nil { // ctx ends later, since the body may still arrive
		wait, stop = context.WithDeadline(wait, out.Stream.Deadline())
		defer stop()
	}
	if !p.BeginWait(stop) {
		return core.Response{Result: balance.DroppedUnsent, Load: balance.NoLoad()}, false
	}
	c, err := u.dial(wait, to.Addr)
	if err != nil {
		if p.Revoked() {
			return core.Response{Result: balance.DroppedUnsent, Load: balance.NoLoad()}, false
		}
		return core.Response{Result: dialResult(ctx, err), Load: balance.NoLoad(), PortClosed: errors.Is(err, syscall.ECONNREFUSED)}, false
	}
	return u.attemptOn(ctx, p, c, to, out), true
}

// breakSettleTime is the time after a connection breaks within which the other connections to the same process
// break too, if it has ended. It is shorter than most retry delays.
const breakSettleTime = 5 * time.Millisecond

// otherConnectionsAlive reports whether, breakSettleTime after a connection to a backend broke, other connections to it are
// still open, so that the backend's process has not ended. It returns false if ctx ends before.
func (u *Upstream) otherConnectionsAlive(ctx context.Context, to core.Target) bool {
	wait := time.NewTimer(breakSettleTime)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.busy[to] > 0 || slices.ContainsFunc(u.idle[to], (*conn).openAndEmpty)
}

// addBusyConnections adds n to the number of connections to a backend with an attempt on them.
func (u *Upstream) addBusyConnections(to core.Target, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.busy[to] += n; u.busy[to] == 0 {
		delete(u.busy, to)
	}
}

// attemptOn makes an attempt on the connection c, which it then keeps as idle or closes; of a long answer this happens
// once its rest has been read or discarded.
func (u *Upstream) attemptOn(ctx context.Context, p *core.Permit, c *conn, to core.Target, out *http1.Request) core.Response {
	u.addBusyConnections(to, 1)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(pastDeadline) })
	r, reusable := c.roundTrip(ctx, p, out)
	if a, ok := r.Payload.(*http1.Answer); ok && a.More != nil {
		// The rest of a long answer is read after the attempt has ended.
		if s := a.More.(*stream); stop() && c.SetDeadline(time.Time{}) == nil {
			s.release = func() {
				u.addBusyConnections(to, -1)
				if s.complete && c.r.Buffered() == 0 && reusable && c.SetDeadline(time.Time{}) == nil {
					u.putIdle(to, c)
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
	u.addBusyConnections(to, -1)
	// If stop comes too late, the past deadline may be set at any time, so the connection is not kept.
	if stop() && reusable && c.SetDeadline(time.Time{}) == nil {
		u.putIdle(to, c)
	} else {
		u.close(c)
	}
	if !r.Load.Valid {
		r.Load = balance.NoLoad()
	}
	return r
}

var (
	pastDeadline    = time.Unix(1, 0)                                     // a deadline that ends reads and writes at once
	errOutOfSockets = errors.New("socket limit reached")                  // no connection was tried: not the backend's fault
	errNoConnection = errors.New("backend did not accept the connection") // within connectTimeout: the backend's fault
)

// dialResult classifies a failed dial. A lack of sockets, or a client's deadline that ends the dial early,
// must not be blamed on the backend.
func dialResult(ctx context.Context, err error) balance.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balance.Cancelled
	}
	for _, local := range []error{errOutOfSockets, context.DeadlineExceeded, syscall.EMFILE, syscall.ENFILE,
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, local) {
			return balance.NotSent
		}
	}
	if ctx.Err() != nil && !errors.Is(err, errNoConnection) {
		return balance.NotSent
	}
	return balance.ConnectFailed
}

// Probe checks a backend's health with a request of its own. If the settings use load reports, it asks for one and returns
// it in Response.Load.
func (u *Upstream) Probe(to core.Target) core.Response {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	path := "/alive"
	if u.loadReports {
		path = "/metrics/load"
	}
	out, err := http1.Render(http.MethodGet, path, to.Addr, http.Header{}, nil, nil)
	if err != nil {
		return core.Response{Result: balance.NotSent, Load: balance.NoLoad()}
	}
	out.Repeatable = true
	r := u.Exchange(ctx, nil, to, out)
	if r.Result == balance.OK && u.loadReports && !r.Load.Valid {
		r.Load, _ = wire.ParseLoad(r.Payload.(*http1.Answer).Body)
	}
	return r
}
