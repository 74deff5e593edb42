package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/core"
)

const raceRounds = 300 // how often each test repeats a race between an attempt and the revocation of its permit

// countingBackend returns a backend that reports the id of each request that it received whole.
func countingBackend(t *testing.T) (addr string, got chan string) {
	got = make(chan string, 2*raceRounds)
	return backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _, err := receive(r)
			if err != nil {
				return
			}
			got <- req.Header.Get("X-Correlation-Id")
			io.WriteString(c, hello)
		}
	}), got
}

// exchange starts an attempt in a goroutine.
func exchange(t *testing.T, u *Upstream, p *core.Permit, addr string, out any) <-chan core.Response {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	done := make(chan core.Response, 1)
	go func() { done <- u.Exchange(ctx, p, target(addr), out) }()
	return done
}

// When a permit is revoked while the connection is being made, nothing is written, whether the dial ends with
// the permit or the connection comes up at the same moment. The backend is not blamed, and no socket is
// leaked.
func TestPermitRevokedDuringDial(t *testing.T) {
	revocations := map[string]func(*core.Permit){"dropped": func(p *core.Permit) { p.Abort() }, "withdrawn": (*core.Permit).Withdraw}
	for name, revoke := range revocations {
		for _, connects := range []bool{false, true} {
			addr, got := countingBackend(t)
			u := newTestUpstream(t)
			real := u.dialContext
			dialling, goOn := make(chan struct{}), make(chan struct{})
			u.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
				dialling <- struct{}{}
				if connects { // as late as possible: the connection comes up, and the cancellation is too late
					<-goOn
					return real(context.Background(), network, addr)
				}
				<-ctx.Done()
				return nil, ctx.Err()
			}
			for range raceRounds {
				p := &core.Permit{}
				done := exchange(t, u, p, addr, readRequest)
				await(t, dialling)
				revoke(p)
				if connects {
					goOn <- struct{}{}
				}
				if r := await(t, done); r.Result != balance.DroppedUnsent {
					t.Fatalf("%s, connects %v: got %v", name, connects, r.Result)
				}
				for u.EvictIdle() { // otherwise the next attempt needs no dial
				}
			}
			if n := len(got); n != 0 {
				t.Errorf("%s, connects %v: %d of %d were sent", name, connects, n, raceRounds)
			}
		}
	}
}

// When a write to a stale kept connection fails, the attempt moves to a new connection, unless its permit is
// revoked at that moment.
func TestPermitRevokedAfterStaleConnection(t *testing.T) {
	for name, revoke := range map[string]func(*core.Permit){"dropped": func(p *core.Permit) { p.Abort() }, "withdrawn": (*core.Permit).Withdraw} {
		addr, got := countingBackend(t)
		u := newTestUpstream(t)
		for range raceRounds {
			p := &core.Permit{}
			c, err := u.dial(context.Background(), addr)
			if err != nil {
				t.Fatal(err)
			}
			c.Conn = &staleConn{TCPConn: c.Conn.(*net.TCPConn), write: func() { revoke(p) }}
			u.putIdle(target(addr), c)
			u.mu.Lock()
			c.idleSince = c.idleSince.Add(-reuseDelay)
			u.mu.Unlock()
			if r := await(t, exchange(t, u, p, addr, readRequest)); r.Result != balance.DroppedUnsent {
				t.Fatalf("%s: got %v", name, r.Result)
			}
		}
		if n := len(got); n != 0 {
			t.Errorf("%s: %d of %d were sent", name, n, raceRounds)
		}
	}
}

// staleConn looks open, but every write fails.
type staleConn struct {
	*net.TCPConn
	write func() // called by each write, before it fails
}

func (c *staleConn) Write([]byte) (int, error) {
	c.write()
	return 0, errors.New("connection closed")
}

// A backend reads a body slowly, so the request is not sent until its last byte is written. A dropped permit
// ends the write at once; a withdrawn one lets it continue, since the backend counts the request from its
// first byte.
func TestPermitRevokedDuringWrite(t *testing.T) {
	body := strings.Repeat("x", 16<<20) // more than the kernel buffers
	out := renderRequest(http.MethodPost, "/sub", http.Header{"X-Correlation-Id": {"d1"}}, body)
	for _, dropped := range []bool{true, false} {
		began, goOn, whole := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
		addr := backend(t, func(c net.Conn, r *bufio.Reader) {
			r.Peek(1)
			close(began)
			<-goOn
			_, got, err := receive(r)
			whole <- err == nil && len(got) == len(body)
			io.WriteString(c, hello)
		})
		p := &core.Permit{}
		done := exchange(t, newTestUpstream(t), p, addr, out)
		await(t, began)
		want := balance.OK
		if dropped {
			want = balance.DroppedUnsent
			if p.Abort() {
				t.Error("Drop reports that nothing was written")
			}
			if r := await(t, done); r.Result != want {
				t.Errorf("got %v", r.Result)
			}
			close(goOn)
		} else {
			p.Withdraw()
			close(goOn)
			if r := await(t, done); r.Result != want {
				t.Errorf("got %v", r.Result)
			}
		}
		if got := await(t, whole); got == dropped {
			t.Errorf("dropped %v, arrived whole %v", dropped, got)
		}
	}
}

// Once its last byte is written an attempt reads its answer, even if its permit is revoked at that moment.
func TestPermitRevokedAfterLastByte(t *testing.T) {
	addr, got := countingBackend(t)
	u := newTestUpstream(t)
	for range raceRounds {
		p := &core.Permit{}
		c, err := u.dial(context.Background(), addr)
		if err != nil {
			t.Fatal(err)
		}
		c.Conn = &lateConn{TCPConn: c.Conn.(*net.TCPConn), written: func() { p.Abort() }}
		u.putIdle(target(addr), c)
		u.mu.Lock()
		c.idleSince = c.idleSince.Add(-reuseDelay)
		u.mu.Unlock()
		if r := await(t, exchange(t, u, p, addr, readRequest)); r.Result != balance.OK {
			t.Fatalf("got %v", r.Result)
		}
		for u.EvictIdle() {
		}
	}
	if n := len(got); n != raceRounds {
		t.Errorf("%d of %d arrived", n, raceRounds)
	}
}

// lateConn calls written after the bytes are written but before its caller learns of it.
type lateConn struct {
	*net.TCPConn
	written func()
}

func (c *lateConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.written()
	return n, err
}

// No whole request arrives when the connection comes up after the permit's write deadline, or when the backend
// does not read all of the request by then.
func TestWriteDeadlinePassed(t *testing.T) {
	addr, got := countingBackend(t)
	u := newTestUpstream(t)
	real := u.dialContext
	u.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-ctx.Done()
		return real(context.Background(), network, addr) // it comes up as the deadline passes
	}
	for range 50 {
		if r := await(t, exchange(t, u, core.NewPermit(time.Now().Add(time.Millisecond)), addr, readRequest)); r.Result != balance.DroppedUnsent {
			t.Fatalf("got %v", r.Result)
		}
		for u.EvictIdle() {
		}
	}
	u.dialContext = real
	if r := await(t, exchange(t, u, core.NewPermit(time.Now()), addr, readRequest)); r.Result != balance.DroppedUnsent {
		t.Errorf("got %v", r.Result)
	}
	if r := await(t, exchange(t, u, core.NewPermit(time.Now().Add(testTimeout)), addr, readRequest)); r.Result != balance.OK {
		t.Errorf("in time: got %v", r.Result)
	}
	if n := len(got); n != 1 {
		t.Errorf("%d arrived, want 1", n)
	}
	goOn := make(chan struct{})
	whole := make(chan bool, 1)
	slow := backend(t, func(c net.Conn, r *bufio.Reader) {
		<-goOn
		_, body, err := receive(r)
		whole <- err == nil && len(body) == 16<<20
	})
	out := renderRequest(http.MethodPost, "/sub", http.Header{"X-Correlation-Id": {"d1"}}, strings.Repeat("x", 16<<20))
	u = newTestUpstream(t)
	connected := false
	u.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := real(ctx, network, addr)
		connected = err == nil
		return c, err
	}
	for left := 50 * time.Millisecond; !connected; left *= 2 { // on a slow machine the time may be over before the connection is up
		if r := await(t, exchange(t, u, core.NewPermit(time.Now().Add(left)), slow, out)); r.Result != balance.DroppedUnsent {
			t.Errorf("half written: got %v", r.Result)
		}
	}
	close(goOn)
	if await(t, whole) {
		t.Error("all of it arrived")
	}
}
