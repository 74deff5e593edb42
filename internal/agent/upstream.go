package agent

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"aldermux"
	"aldermux/internal/wire"
)

const (
	maxBody  = 64 << 10 // bytes of a request's or an answer's body
	maxHead  = 64 << 10 // bytes of an answer's head
	maxInfos = 8        // 1xx answers ahead of the final one

	idleShare   = 0.75 // of the time after which a backend closes an idle connection
	maxIdleTime = time.Minute
	probeLimit  = time.Second

	reservedSockets = 32 // for standard streams, listeners, discovery, peers and the poller
)

// sockets counts the client and backend connections of the process against its limit.
type sockets struct {
	limit int64 // 0: none
	open  atomic.Int64
}

func (s *sockets) full() bool { return s.limit > 0 && s.open.Load() >= s.limit }

// outgoing is what of a client's request goes on to a backend.
type outgoing struct {
	method string
	url    *url.URL
	host   string
	header http.Header // read only: attempts share it
	body   []byte
}

// response is how an attempt ended.
type response struct {
	result aldermux.Result
	load   aldermux.Load
	header http.Header // with OK
	body   []byte      // with OK
}

// upstream makes attempts and keeps connections to backends. net/http's Transport would resend
// by itself on a broken connection, which counts as an attempt; this does not.
type upstream struct {
	connectTimeout time.Duration
	idleTime       time.Duration // an idle connection is dropped after it
	sockets        *sockets
	log            *slog.Logger

	mu   sync.Mutex
	idle map[string][]*conn // by address, the newest last
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	limit *io.LimitedReader
	r     *bufio.Reader
	since time.Time // idle since
}

func newUpstream(s *aldermux.Settings, socks *sockets, log *slog.Logger) *upstream {
	idle := time.Duration(idleShare * float64(s.IdleClose))
	if idle == 0 {
		idle = maxIdleTime
	}
	return &upstream{connectTimeout: s.ConnectTimeout, idleTime: idle, sockets: socks, log: log,
		idle: map[string][]*conn{}}
}

// exchange makes one attempt: one request on one connection, written once.
func (u *upstream) exchange(ctx context.Context, addr string, out outgoing) response {
	c := u.take(addr)
	if c == nil {
		var err error
		if c, err = u.dial(ctx, addr); err != nil {
			if errors.Is(ctx.Err(), context.Canceled) {
				return response{result: aldermux.Cancelled, load: wire.NoLoad()}
			}
			return response{result: aldermux.ConnectFailed, load: wire.NoLoad()}
		}
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	r, reusable := c.roundTrip(ctx, out)
	// Guards against a kept connection whose deadline has passed: once stop is too late, the
	// deadline may strike at any time.
	if stop() && reusable {
		u.keep(addr, c)
	} else {
		u.close(c)
	}
	if !r.load.Valid {
		r.load = wire.NoLoad()
	}
	return r
}

// roundTrip writes the request and reads the whole answer. Whatever breaks before the last
// byte is written proves that the request never ran; after that it may have.
func (c *conn) roundTrip(ctx context.Context, out outgoing) (r response, reusable bool) {
	deadline, _ := ctx.Deadline()
	req := &http.Request{Method: out.method, URL: out.url, Host: out.host, Header: maps.Clone(out.header),
		ContentLength: int64(len(out.body)), Body: http.NoBody}
	if len(out.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(out.body))
	}
	if !deadline.IsZero() {
		req.Header.Set(headerTimeLeft, strconv.FormatInt(max(0, time.Until(deadline).Microseconds()), 10)+"u")
	}
	var buf bytes.Buffer
	err := req.Write(&buf)
	if err == nil {
		_, err = c.Write(buf.Bytes())
	}
	if err != nil {
		return response{result: aldermux.ConnectFailed}, false
	}
	lost := func() aldermux.Result {
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			return aldermux.Cancelled
		case ctx.Err() != nil:
			return aldermux.TimedOut
		}
		return aldermux.Reset
	}
	c.limit.N = maxHead + maxBody
	var resp *http.Response
	for range maxInfos {
		resp, err = http.ReadResponse(c.r, req)
		if err != nil {
			return response{result: lost()}, false
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil || len(body) > maxBody { // a short body is no answer
		return response{result: lost()}, false
	}
	r = response{result: result(resp), header: resp.Header, body: body}
	if report := resp.Header.Get(headerLoad); report != "" {
		if l, err := wire.ParseLoad([]byte(report)); err == nil {
			r.load = l
		}
	}
	return r, resp.StatusCode >= 200 && !resp.Close && c.r.Buffered() == 0
}

// result reads the outcome of an attempt off an answer.
func result(resp *http.Response) aldermux.Result {
	switch resp.StatusCode {
	case http.StatusOK:
		return aldermux.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(headerNotRun) == "1" {
			return aldermux.Full
		}
	}
	return aldermux.Errored
}

// probe asks a backend how it is.
func (u *upstream) probe(addr string, reports bool) response {
	ctx, cancel := context.WithTimeout(context.Background(), probeLimit)
	defer cancel()
	path := "/alive"
	if reports {
		path = "/metrics/load"
	}
	r := u.exchange(ctx, addr, outgoing{method: http.MethodGet, url: &url.URL{Path: path}, host: addr,
		header: http.Header{}})
	if r.result == aldermux.OK && reports && !r.load.Valid {
		r.load, _ = wire.ParseLoad(r.body)
	}
	return r
}

// dial opens a connection. At the limit on sockets an idle one makes room for it.
func (u *upstream) dial(ctx context.Context, addr string) (*conn, error) {
	for u.sockets.full() {
		if !u.evict() {
			u.log.Warn("out of sockets", "open", u.sockets.open.Load())
			return nil, errors.New("out of sockets")
		}
	}
	u.sockets.open.Add(1)
	d := net.Dialer{Timeout: u.connectTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		u.sockets.open.Add(-1)
		return nil, fmt.Errorf("dial backend: %w", err)
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, limit: limit, r: bufio.NewReader(limit)}, nil
}

func (u *upstream) close(c *conn) {
	c.Close()
	u.sockets.open.Add(-1)
}

// take returns the newest idle connection to addr, nil if there is none.
func (u *upstream) take(addr string) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for {
		list := u.idle[addr]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		u.drop(addr, len(list)-1)
		if time.Since(c.since) < u.idleTime && c.silent() {
			return c
		}
		u.close(c)
	}
}

// drop takes the connection at place i off the idle ones of addr.
func (u *upstream) drop(addr string, i int) {
	list := u.idle[addr]
	copy(list[i:], list[i+1:])
	list[len(list)-1] = nil
	if u.idle[addr] = list[:len(list)-1]; len(list) == 1 {
		delete(u.idle, addr)
	}
}

func (u *upstream) keep(addr string, c *conn) {
	c.since = time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.idle[addr] = append(u.idle[addr], c)
}

// silent reports whether an idle connection is open with nothing to read. Guards against a
// request on a connection that the backend has closed: it would end as a reset, that may have run.
func (c *conn) silent() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// evict closes the connection that has been idle for longest. It reports whether there was one.
func (u *upstream) evict() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	oldest := ""
	for addr, list := range u.idle {
		if oldest == "" || list[0].since.Before(u.idle[oldest][0].since) {
			oldest = addr
		}
	}
	if oldest == "" {
		return false
	}
	u.close(u.idle[oldest][0])
	u.drop(oldest, 0)
	return true
}

// sweep drops the connections that have been idle for too long or that the backend has closed.
func (u *upstream) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for addr, list := range u.idle {
		for i := len(list) - 1; i >= 0; i-- {
			if c := list[i]; time.Since(c.since) >= u.idleTime || !c.silent() {
				u.drop(addr, i)
				u.close(c)
			}
		}
	}
}

// closeIdle closes the idle connections to addr.
func (u *upstream) closeIdle(addr string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idle[addr] {
		u.close(c)
	}
	delete(u.idle, addr)
}

// run sweeps until ctx ends, then closes what is idle.
func (u *upstream) run(ctx context.Context) {
	tick := time.NewTicker(min(time.Second, max(u.idleTime/8, time.Millisecond)))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			u.sweep()
		case <-ctx.Done():
			for u.evict() {
			}
			return
		}
	}
}
