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

const crossingRounds = 300 // of each crossing

// countingBackend is a backend that tells how many requests it got, and counts what breaks before its end as none.
func countingBackend(t *testing.T) (addr string, got chan string) {
	got = make(chan string, 2*crossingRounds)
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

// exchange makes an attempt beside the test.
func exchange(t *testing.T, u *Upstream, p *core.Permit, addr string, out any) <-chan core.Response {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	done := make(chan core.Response, 1)
	go func() { done <- u.Exchange(ctx, p, target(addr), out) }()
	return done
}

// A permit that is taken back while the connection is being made: nothing is written, whether the dial ends with it
// or the connection comes up in the same instant. The backend is not blamed, and no socket is left over.
func TestPermitRevokedDuringDial(t *testing.T) {
	revocations := map[string]func(*core.Permit){"dropped": func(p *core.Permit) { p.Drop() }, "withdrawn": (*core.Permit).Withdraw}
	for name, revoke := range revocations {
		for _, connects := range []bool{false, true} {
			addr, got := countingBackend(t)
			u := newTestUpstream(t)
			real := u.dialContext
			dialling, goOn := make(chan struct{}), make(chan struct{})
			u.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
				dialling <- struct{}{}
				if connects { // as late as can be: it has begun to be there, and the cancel finds nothing to end
					<-goOn
					return real(context.Background(), network, addr)
				}
				<-ctx.Done()
				return nil, ctx.Err()
			}
			for range crossingRounds {
				p := &core.Permit{}
				done := exchange(t, u, p, addr, readRequest)
				await(t, dialling)
				revoke(p)
				if connects {
					goOn <- struct{}{}
				}
				if r := await(t, done); r.Result != balance.Withdrawn {
					t.Fatalf("%s, comes up %v: got %v", name, connects, r.Result)
				}
				for u.Evict() { // else the next one needs no dial
				}
			}
			if n := len(got); n != 0 {
				t.Errorf("%s, comes up %v: %d of %d were sent on", name, connects, n, crossingRounds)
			}
		}
	}
}

// Behind a kept connection that turns out to have gone stale when it is written to, the attempt goes on to another:
// one whose permit is taken back in that instant does not get it.
func TestPermitRevokedAfterStaleConnection(t *testing.T) {
	for name, revoke := range map[string]func(*core.Permit){"dropped": func(p *core.Permit) { p.Drop() }, "withdrawn": (*core.Permit).Withdraw} {
		addr, got := countingBackend(t)
		u := newTestUpstream(t)
		for range crossingRounds {
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
			if r := await(t, exchange(t, u, p, addr, readRequest)); r.Result != balance.Withdrawn {
				t.Fatalf("%s: got %v", name, r.Result)
			}
		}
		if n := len(got); n != 0 {
			t.Errorf("%s: %d of %d were sent on", name, n, crossingRounds)
		}
	}
}

// staleConn looks well and can't be written to.
type staleConn struct {
	*net.TCPConn
	write func()
}

func (c *staleConn) Write([]byte) (int, error) {
	c.write()
	return 0, errors.New("it has been closed")
}

// A body that a backend is slow to take: until its last byte is out it has not been sent. Dropped, it ends there and
// then; withdrawn, it goes on, since for its backend it counts from its first byte.
func TestPermitRevokedDuringWrite(t *testing.T) {
	body := strings.Repeat("x", 16<<20) // more than the kernel takes
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
			want = balance.Withdrawn
			if p.Drop() {
				t.Error("nothing of it is said to be out")
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
			t.Errorf("dropped %v, came whole %v", dropped, got)
		}
	}
}

// Once its last byte is out an attempt is read to its end, whatever becomes of its permit in that instant.
func TestPermitRevokedAfterLastByte(t *testing.T) {
	addr, got := countingBackend(t)
	u := newTestUpstream(t)
	for range crossingRounds {
		p := &core.Permit{}
		c, err := u.dial(context.Background(), addr)
		if err != nil {
			t.Fatal(err)
		}
		c.Conn = &lateConn{TCPConn: c.Conn.(*net.TCPConn), written: func() { p.Drop() }}
		u.putIdle(target(addr), c)
		u.mu.Lock()
		c.idleSince = c.idleSince.Add(-reuseDelay)
		u.mu.Unlock()
		if r := await(t, exchange(t, u, p, addr, readRequest)); r.Result != balance.OK {
			t.Fatalf("got %v", r.Result)
		}
		for u.Evict() {
		}
	}
	if n := len(got); n != crossingRounds {
		t.Errorf("%d of %d came", n, crossingRounds)
	}
}

// lateConn has its bytes out before anybody learns of it.
type lateConn struct {
	*net.TCPConn
	written func()
}

func (c *lateConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.written()
	return n, err
}

// A connection that comes up when the attempt may not be written any more, and a backend that does not take all of
// it by then: no whole request arrives.
func TestWriteDeadlinePassed(t *testing.T) {
	addr, got := countingBackend(t)
	u := newTestUpstream(t)
	real := u.dialContext
	u.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-ctx.Done()
		return real(context.Background(), network, addr) // it comes up in that instant
	}
	for range 50 {
		if r := await(t, exchange(t, u, core.NewPermit(time.Now().Add(time.Millisecond)), addr, readRequest)); r.Result != balance.Withdrawn {
			t.Fatalf("got %v", r.Result)
		}
		for u.Evict() {
		}
	}
	u.dialContext = real
	if r := await(t, exchange(t, u, core.NewPermit(time.Now()), addr, readRequest)); r.Result != balance.Withdrawn {
		t.Errorf("got %v", r.Result)
	}
	if r := await(t, exchange(t, u, core.NewPermit(time.Now().Add(testTimeout)), addr, readRequest)); r.Result != balance.OK {
		t.Errorf("in time: got %v", r.Result)
	}
	if n := len(got); n != 1 {
		t.Errorf("%d came, one was in time", n)
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
	for left := 50 * time.Millisecond; !connected; left *= 2 { // on a slow machine the time may be over before there is a connection
		if r := await(t, exchange(t, u, core.NewPermit(time.Now().Add(left)), slow, out)); r.Result != balance.Withdrawn {
			t.Errorf("half written: got %v", r.Result)
		}
	}
	close(goOn)
	if await(t, whole) {
		t.Error("all of it arrived")
	}
}
