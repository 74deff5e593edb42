// Package http1 makes attempts over HTTP/1.1: one connection carries one request at a time, and is kept for
// further ones while the backend lets it. It counts its sockets with those of the process, and closes what
// has been idle for too long.
package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/core"
	"lemonrail/internal/http1"
	"lemonrail/internal/peek"
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

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	limit *io.LimitedReader
	r     *bufio.Reader
	since time.Time // idle since
	tries *atomic.Int64
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

// errSpoilt is an answer that can't be read, or not to its end. The backend is there, and has
// run the request.
var errSpoilt = errors.New("spoilt answer")

// roundTrip writes the request and reads the whole answer. Whatever breaks before the last
// byte is written proves that the request never ran; after that it may have.
func (c *conn) roundTrip(ctx context.Context, p *core.Permit, out *http1.Request) (r core.Response, reusable bool) {
	buf := make([]byte, 0, len(out.Head)+len(out.Rest)+len(http1.TimeLeft)+24+joined)
	buf = append(buf, out.Head...)
	if out.Stream != nil {
		buf = fmt.Appendf(buf, "%s: %du\r\n", http1.TimeLeft, out.Stream.Left.Microseconds())
	} else if deadline, ok := ctx.Deadline(); ok {
		buf = fmt.Appendf(buf, "%s: %du\r\n", http1.TimeLeft, max(0, time.Until(deadline).Microseconds()))
	}
	buf = append(buf, out.Rest...)
	if by := p.By(); !by.IsZero() {
		c.SetWriteDeadline(by)
		c.heed(ctx)
	}
	if !p.Begin(func() { c.SetDeadline(longAgo) }) {
		return core.Response{Result: balance.Withdrawn}, true
	}
	if err := c.send(buf, out); err != nil {
		if p.Taken() {
			return core.Response{Result: balance.Withdrawn}, false
		}
		if ctx.Err() != nil {
			return core.Response{Result: dialResult(ctx, err)}, false
		}
		if errors.Is(err, http1.ErrTaken) || errors.Is(err, http1.ErrBody) {
			return core.Response{Result: balance.NotSent}, false
		}
		return core.Response{Result: balance.ConnectFailed}, false
	}
	if p.Whole() { // the cut came too late: what has been written may run, and its answer is read
		c.SetDeadline(time.Time{})
		c.heed(ctx)
	}
	var sent time.Time
	if out.Stream != nil { // its time counts from here
		sent = time.Now()
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, out.Stream.Left)
		defer cancel()
		stop := context.AfterFunc(ctx, func() { c.SetDeadline(longAgo) })
		defer func() {
			if !stop() {
				reusable = false
			}
		}()
		defer func() { r.Sent = sent }()
	}
	c.tries.Add(1)
	resp, body, whole, err := c.answer(ctx, out.Method)
	switch {
	case err == nil:
	case errors.Is(ctx.Err(), context.Canceled):
		return core.Response{Result: balance.Cancelled}, false
	case ctx.Err() != nil:
		return core.Response{Result: balance.TimedOut}, false
	case errors.Is(err, errSpoilt):
		return core.Response{Result: balance.Errored}, false
	default:
		return core.Response{Result: balance.Reset}, false
	}
	a := &http1.Answer{Header: resp.Header, Body: body}
	if !whole {
		until, _ := ctx.Deadline()
		a.Length, a.More = resp.ContentLength, &stream{c: c, body: resp.Body, until: until, long: resp.ContentLength >= 0, read: len(body)}
	}
	r = core.Response{Result: result(resp), Payload: a}
	if report := resp.Header[http1.Load]; len(report) == 1 {
		if l, err := wire.ParseLoad([]byte(report[0])); err == nil {
			r.Load = l
		}
	}
	return r, !resp.Close && (!whole || c.r.Buffered() == 0)
}

const joined = 16 << 10 // bytes of a body that are written together with its head

// send writes a request whose head is in buf.
func (c *conn) send(buf []byte, out *http1.Request) error {
	chunked := out.Stream != nil && out.Stream.Length < 0
	if chunked && len(out.Body) > 0 {
		buf = fmt.Appendf(buf, "%x\r\n", len(out.Body))
	}
	body := out.Body
	if len(body) <= joined {
		buf, body = append(buf, body...), nil
	}
	if _, err := c.Write(buf); err != nil {
		return err
	}
	if len(body) > 0 {
		if _, err := c.Write(body); err != nil {
			return err
		}
	}
	if out.Stream == nil {
		return nil
	}
	part := http1.TakePart()
	defer http1.GivePart(part)
	tail := ""
	if chunked && len(out.Body) > 0 {
		tail = "\r\n"
	}
	err := out.Stream.Copy(part[:], func(p []byte) error {
		if chunked {
			framed := fmt.Appendf(make([]byte, 0, len(p)+16), "%s%x\r\n", tail, len(p))
			p, tail = append(framed, p...), "\r\n"
		}
		_, err := c.Write(p)
		return err
	})
	if err == nil && chunked {
		_, err = io.WriteString(c, tail+"0\r\n\r\n")
	}
	return err
}

// stream is the rest of a long answer.
type stream struct {
	c     *conn
	body  io.Reader
	until time.Time // the client's deadline
	long  bool      // for sure: of others it shows once more than wholeReply has come
	read  int
	whole bool
	end   func()
	once  sync.Once
}

// by is until when the next bytes are waited for. Guards against a spoilt answer of no known length that stops coming:
// of a short one the last byte counts, so that it has to end when its client's time is up, while a long one may pause.
func (s *stream) by(now time.Time) time.Time {
	if s.long || s.read > wholeReply {
		return now.Add(streamStall)
	}
	if soon := now.Add(stallLimit); s.until.Before(soon) {
		return soon
	}
	return s.until
}

// Read reads what comes next.
func (s *stream) Read(p []byte) (int, error) {
	s.c.SetReadDeadline(s.by(time.Now()))
	n, err := s.body.Read(p)
	s.read += n
	if errors.Is(err, io.EOF) {
		if s.c.limit.N <= 0 {
			return n, io.ErrUnexpectedEOF // the bound, not the end
		}
		s.whole = true
	}
	return n, err
}

// Close gives the connection back, or up if the answer has not been read to its end.
func (s *stream) Close() error {
	s.once.Do(s.end)
	return nil
}

// answer reads the final answer, of a long one the first part. An error that is no errSpoilt comes from a
// connection that broke before the answer began, or from the end of ctx.
func (c *conn) answer(ctx context.Context, method string) (resp *http.Response, body []byte, whole bool, err error) {
	begun := false
	defer func() {
		// What breaks once bytes have come is a spoilt answer, unless the connection was reset.
		if err != nil && begun && !errors.Is(err, syscall.ECONNRESET) {
			err = fmt.Errorf("%w: %w", errSpoilt, err)
		}
	}()
	c.limit.N = int64(maxInfos*maxHead) + mostReply
	for range maxInfos {
		if _, err := c.r.Peek(1); err != nil {
			return nil, nil, false, err
		}
		begun = true
		if err := c.head(ctx); err != nil {
			return nil, nil, false, err
		}
		resp, err = http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, nil, false, err
		}
		if resp.StatusCode >= 200 {
			break
		}
		c.within(ctx, 0) // the final answer takes its time
	}
	switch {
	case resp.StatusCode < 200:
		return nil, nil, false, errors.New("no final answer")
	case resp.StatusCode != http.StatusOK && resp.ContentLength < 0:
		resp.Close = true // the status says it all, and the connection is of no further use
		return resp, nil, true, nil
	case resp.ContentLength > mostReply:
		return nil, nil, false, errors.New("too long") // and not read first
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = io.NopCloser(http1.NewChunkReader(c.r))
	}
	body, whole, err = c.body(ctx, resp)
	return resp, body, whole, err
}

// body reads an answer's body, of a long one the first part. What goes on coming is no spoilt one, however slow:
// a long one, or one of unknown length, is passed on when it is not there soon. One without a length ends with
// its connection; what was cut short ends with a reset or not at all.
func (c *conn) body(ctx context.Context, resp *http.Response) (body []byte, whole bool, err error) {
	long, unknown := resp.ContentLength > wholeReply, resp.ContentLength < 0
	room := int(resp.ContentLength)
	if unknown || long {
		room = bodyPart
	}
	body = make([]byte, 0, room)
	first := wholeReply
	if long { // there is no whole one to wait for, and each first part is held until its client takes it
		first = bodyPart
	}
	began := time.Now()
	for len(body) <= first {
		if len(body) == cap(body) {
			if len(body) == room && !unknown && !long {
				return body, true, nil
			}
			body = slices.Grow(body, cap(body))
		}
		c.within(ctx, stallLimit)
		n, err := resp.Body.Read(body[len(body):min(cap(body), first+1)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil && long && len(body) > 0 && ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded):
			return body, false, nil
		case err != nil:
			return body, false, err
		case (long || unknown) && time.Since(began) >= firstWait:
			return body, false, nil
		}
	}
	return body, false, nil
}

// within bounds the wait for what is read next of an answer; 0 lifts the bound. The end of ctx
// stays in force.
func (c *conn) within(ctx context.Context, d time.Duration) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d)
	}
	c.SetReadDeadline(at)
	c.heed(ctx)
}

// heed keeps the end of ctx in force behind another deadline: it may have struck before, and been overwritten.
func (c *conn) heed(ctx context.Context) {
	if ctx.Err() != nil {
		c.SetDeadline(longAgo)
	}
}

// head waits for a whole head without taking it. Guards against noise, of which ReadResponse
// would wait for the end of the line, and against heads that give two lengths or don't end.
func (c *conn) head(ctx context.Context) error {
	const version = "HTTP/1."
	for n := 1; ; {
		seen, _ := c.r.Peek(c.r.Buffered())
		if m := min(len(seen), len(version)); string(seen[:m]) != version[:m] {
			return errors.New("no HTTP")
		}
		if i := bytes.Index(seen, []byte("\r\n\r\n")); i >= 0 {
			low := bytes.ToLower(seen[:i])
			if bytes.Contains(low, []byte("\r\ntransfer-encoding:")) && bytes.Contains(low, []byte("\r\ncontent-length:")) {
				return errors.New("two lengths")
			}
			return nil
		}
		n = len(seen) + 1
		if n > maxHead {
			return errors.New("head without end")
		}
		c.within(ctx, stallLimit)
		if _, err := c.r.Peek(n); err != nil {
			return err
		}
	}
}

// result reads the outcome of an attempt off an answer.
func result(resp *http.Response) balance.Result {
	switch resp.StatusCode {
	case http.StatusOK:
		return balance.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(http1.NotRun) == "1" {
			return balance.Full
		}
	}
	return balance.Errored
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
