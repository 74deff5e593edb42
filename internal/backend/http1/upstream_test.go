package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/core"
	"lemonrail/internal/http1"
	"lemonrail/internal/scripted"
)

func newTestUpstream(t *testing.T) *Upstream {
	u := New(&balance.Settings{ConnectTimeout: testTimeout, IdleClose: time.Minute}, &Sockets{}, discardLog)
	t.Cleanup(func() {
		for u.EvictIdle() {
		}
		if n := u.sockets.Open.Load(); n != 0 {
			t.Errorf("%d sockets are leaked", n)
		}
	})
	return u
}

func renderRequest(method, path string, header http.Header, body string) *http1.Request {
	out, err := http1.Render(method, path, "api.internal", header, []byte(body), nil)
	if err != nil {
		panic(err)
	}
	out.Repeatable = true
	return out
}

var readRequest = renderRequest(http.MethodGet, "/read", http.Header{"X-Correlation-Id": {"d1"}}, "")

// target returns the backend at an address.
func target(addr string) core.Target { return core.Target{ID: "h0", Addr: addr} }

// exchangeRested makes an attempt after making the idle connections old enough for reuse.
func exchangeRested(t *testing.T, u *Upstream, addr string, out *http1.Request) core.Response {
	t.Helper()
	u.mu.Lock()
	for _, c := range u.idle[target(addr)] {
		c.idleSince = c.idleSince.Add(-reuseDelay)
	}
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return u.Exchange(ctx, nil, target(addr), out)
}

// Tests the result of an attempt for each outcome in the protocol's table.
func TestOutcomes(t *testing.T) {
	for _, tt := range []struct {
		name, answer string // the connection ends after the answer
		want         balance.Result
	}{
		{"served", hello, balance.OK},
		{"served after a 1xx", "HTTP/1.1 103 Early Hints\r\n\r\n" + hello, balance.OK},
		{"an error", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", balance.Errored},
		{"refused as full", "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balance.Full},
		{"refused for its deadline", "HTTP/1.1 504 Gateway Timeout\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balance.Full},
		{"503 that may have run", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", balance.Errored},
		{"500 with X-Unprocessed may have run", "HTTP/1.1 500 Oops\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balance.Errored},
		{"no 200", "HTTP/1.1 204 No Content\r\n\r\n", balance.Errored},
		{"no answer", "", balance.Reset},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-", balance.Errored},
		{"a short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", balance.Errored},
		{"a short chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", balance.Errored},
		{"noise", "hello, world\r\n\r\n", balance.Errored},
		{"too long", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nhello", maxBodyBytes+1), balance.Errored},
		{"no length but the end of the connection", "HTTP/1.1 200 OK\r\n\r\nhello", balance.OK},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\ncontent-length: 5\r\n\r\nhello", balance.Errored},
		{"a length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", balance.Errored},
		{"a negative length", "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello", balance.Errored},
		{"a head that is too long", "HTTP/1.1 200 OK\r\nX-Pad: " + strings.Repeat("x", maxHeadBytes), balance.Errored},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", balance.OK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := newTestUpstream(t)
			addr := backend(t, func(c net.Conn, r *bufio.Reader) {
				receive(r)
				io.WriteString(c, tt.answer)
			})
			r := exchangeRested(t, u, addr, readRequest)
			if r.Result != tt.want {
				t.Errorf("got %v, want %v", r.Result, tt.want)
			}
			if r.Result == balance.OK && string(r.Payload.(*http1.Answer).Body) != "hello" {
				t.Errorf("body %q", r.Payload.(*http1.Answer).Body)
			}
			if r.Load.Valid || r.Load.Queue >= 0 {
				t.Errorf("unexpected load report: %+v", r.Load)
			}
		})
	}
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	if r := exchangeRested(t, newTestUpstream(t), deadAddr(t), readRequest); r.Result != balance.ConnectFailed {
		t.Errorf("got %v", r.Result)
	}
}

// A machine that has failed sends nothing: waiting for its answer ends with the attempt, which may have run.
func TestUnresponsiveBackendTimesOut(t *testing.T) {
	u := newTestUpstream(t)
	over := make(chan struct{})
	addr := backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		io.Copy(io.Discard, r) // until the attempt ends
		close(over)
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second) // enough to connect in
	defer cancel()
	if r := u.Exchange(ctx, nil, target(addr), readRequest); r.Result != balance.TimedOut {
		t.Errorf("got %v", r.Result)
	}
	await(t, over) // the end of the attempt closed the connection
}

func TestCancelledAttemptClosesItsConnection(t *testing.T) {
	u := newTestUpstream(t)
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{})
	addr := backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		cancel()
		io.Copy(io.Discard, r)
		close(over)
	})
	if r := u.Exchange(ctx, nil, target(addr), readRequest); r.Result != balance.Cancelled {
		t.Errorf("got %v", r.Result)
	}
	await(t, over)
}

func TestForwardedRequest(t *testing.T) {
	u := newTestUpstream(t)
	got := make(chan string, 1)
	addr := backend(t, func(c net.Conn, r *bufio.Reader) {
		req, body, _ := receive(r)
		got <- fmt.Sprint(req.Method, " ", req.RequestURI, " ", req.Host, " ", req.Header.Get("Idempotency-Key"),
			" ", body, " ", strings.HasSuffix(req.Header.Get("X-Time-Left"), "u"))
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Backend-Load: {\"backlog\":2,\"recent_ms\":14.5}\r\n\r\n")
	})
	r := exchangeRested(t, u, addr, renderRequest(http.MethodPost, "/sub/a%2Fb?key=7f&x=%20",
		http.Header{"Idempotency-Key": {"5c"}}, "payload"))
	if want, sent := "POST /sub/a%2Fb?key=7f&x=%20 api.internal 5c payload true", await(t, got); sent != want {
		t.Errorf("got %q, want %q", sent, want)
	}
	if l := r.Load; !l.Valid || l.Queue != 2 || l.Service != 14500*time.Microsecond || l.Outstanding >= 0 {
		t.Errorf("load %+v", l)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	u := newTestUpstream(t)
	addr, conns, _, _ := scripted.CountingBackend(t)
	for range 3 {
		exchangeRested(t, u, addr, readRequest)
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for three requests in turn", n)
	}
	u.CloseIdleExcept(func(core.Target) bool { return false })
	exchangeRested(t, u, addr, readRequest)
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections after the idle one was closed", n)
	}
}

// A backend that restarts closes the kept connections. A request written to such a connection would end as a
// reset, and a library that resends it automatically would make two attempts of one.
func TestStaleConnectionIsNotReused(t *testing.T) {
	u := newTestUpstream(t)
	addr, conns, requests, restart := scripted.CountingBackend(t)
	exchangeRested(t, u, addr, readRequest)
	u.mu.Lock()
	kept := u.idle[target(addr)][0]
	u.mu.Unlock()
	restart()
	for begun := time.Now(); kept.openAndEmpty(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > testTimeout {
			t.Fatal("the close is not detected")
		}
	}
	r := exchangeRested(t, u, addr, readRequest)
	if r.Result != balance.OK || conns.Load() != 2 || requests.Load() != 2 {
		t.Errorf("got %v, %d connections, %d requests", r.Result, conns.Load(), requests.Load())
	}
}

// A request that can't be written to a kept connection has not been sent: a new connection is used, and the
// backend is not blamed.
func TestStaleConnectionIsReplaced(t *testing.T) {
	u := newTestUpstream(t)
	over := make(chan struct{})
	defer close(over)
	addr := backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := receive(r); err != nil {
				<-over // the close is delayed, so that the client side can't detect it
				return
			}
			io.WriteString(c, hello)
		}
	})
	exchangeRested(t, u, addr, readRequest)
	if err := u.idle[target(addr)][0].Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if r := exchangeRested(t, u, addr, readRequest); r.Result != balance.OK {
		t.Errorf("got %v", r.Result)
	}
}

func TestResetIsNotResent(t *testing.T) {
	u := newTestUpstream(t)
	var requests atomic.Int64
	addr := backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		requests.Add(1)
	})
	if r := exchangeRested(t, u, addr, readRequest); r.Result != balance.Reset || requests.Load() != 1 {
		t.Errorf("got %v after %d requests", r.Result, requests.Load())
	}
}

func TestIdleConnectionsExpire(t *testing.T) {
	u := newTestUpstream(t)
	addr, conns, _, _ := scripted.CountingBackend(t)
	exchangeRested(t, u, addr, readRequest)
	u.mu.Lock()
	u.idle[target(addr)][0].idleSince = time.Now().Add(-u.idleTimeout)
	u.mu.Unlock()
	exchangeRested(t, u, addr, readRequest)
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections: one that was idle for too long was used", n)
	}
	u.mu.Lock()
	u.idle[target(addr)][0].idleSince = time.Now().Add(-u.idleTimeout)
	u.mu.Unlock()
	u.closeStaleIdle()
	if n := u.sockets.Open.Load(); n != 0 {
		t.Errorf("%d sockets after the sweep", n)
	}
}

// At the socket limit an idle connection is closed before a dial fails.
func TestIdleConnectionEvictedAtSocketLimit(t *testing.T) {
	u := newTestUpstream(t)
	u.sockets.Limit = 1
	one, _, _, _ := scripted.CountingBackend(t)
	two, _, _, _ := scripted.CountingBackend(t)
	for _, addr := range []string{one, two, one} {
		if r := exchangeRested(t, u, addr, readRequest); r.Result != balance.OK {
			t.Errorf("got %v", r.Result)
		}
	}
	u.sockets.Open.Add(1) // a client's socket; no idle connection is left after EvictIdle
	u.EvictIdle()
	if r := exchangeRested(t, u, two, readRequest); r.Result != balance.NotSent { // not the backend's fault
		t.Errorf("got %v with no socket available", r.Result)
	}
	u.sockets.Open.Add(-1)
}

func TestExtraBytesAfterAnswerCloseConnection(t *testing.T) {
	u := newTestUpstream(t)
	addr := backend(t, always(hello+hello))
	for range 2 {
		if r := exchangeRested(t, u, addr, readRequest); r.Result != balance.OK {
			t.Fatalf("got %v", r.Result)
		}
	}
}

func TestProbe(t *testing.T) {
	u := newTestUpstream(t)
	u.loadReports = true
	addr := backend(t, always("HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"backlog\":3}"))
	if r := u.Probe(target(addr)); r.Result != balance.OK || r.Load.Queue != 3 {
		t.Errorf("got %+v", r)
	}
}

// A broken answer fails although its connection stays open: waiting for more would last until the client has
// disconnected, and the request could not be retried.
func TestBrokenAnswersFailImmediately(t *testing.T) {
	for _, answer := range []string{"noise", "HTTP/1.1 200 OK\r\nX-Pad: ", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhello"} {
		u := newTestUpstream(t)
		addr := backend(t, func(c net.Conn, r *bufio.Reader) {
			receive(r)
			io.WriteString(c, answer)
			io.Copy(io.Discard, r) // until the attempt ends
		})
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if r := u.Exchange(ctx, nil, target(addr), readRequest); r.Result != balance.Errored || ctx.Err() != nil {
			t.Errorf("%q: got %v, %v", answer, r.Result, ctx.Err())
		}
		cancel()
	}
}

// Guards against a cut of an answer without a length whose backend pauses, as it may be long: it is passed on as it comes,
// and one that never ends fails at its client's deadline.
func TestAnswerWithoutLengthThatPausesIsPassedOn(t *testing.T) {
	for _, answer := range []string{"HTTP/1.1 200 OK\r\n\r\nhello", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nF", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n"} {
		u := newTestUpstream(t)
		addr := backend(t, func(c net.Conn, r *bufio.Reader) {
			receive(r)
			io.WriteString(c, answer)
			io.Copy(io.Discard, r) // until the attempt ends
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r := u.Exchange(ctx, nil, target(addr), readRequest)
		a, ok := r.Payload.(*http1.Answer)
		if r.Result != balance.OK || !ok || a.More == nil {
			t.Fatalf("%q: got %v, %+v", answer, r.Result, r.Payload)
		}
		if a.Length < 0 {
			rest, err := io.ReadAll(a.More)
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%q: %q, then %v", answer, rest, err)
			}
		}
		a.Discard()
		cancel()
	}
}

// Bytes that arrive shortly after an answer must not be taken for the answer to the next request.
func TestLateBytesAfterAnswer(t *testing.T) {
	u := newTestUpstream(t)
	var conns atomic.Int64
	addr := backend(t, func(c net.Conn, r *bufio.Reader) {
		n := conns.Add(1)
		for {
			if _, _, err := receive(r); err != nil {
				return
			}
			one := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
			io.WriteString(c, one)
			time.Sleep(2 * time.Millisecond)
			io.WriteString(c, one)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for want := 1; want <= 3; want++ { // without a pause in between
		if r := u.Exchange(ctx, nil, target(addr), readRequest); r.Result != balance.OK || string(r.Payload.(*http1.Answer).Body) != fmt.Sprint(want) {
			t.Errorf("got %v %q, want %d", r.Result, r.Payload.(*http1.Answer).Body, want)
		}
	}
}

// A new backend at the address of a removed one is a different backend: kept connections to the old one are
// not used for it, and hold no socket.
func TestConnectionsClosedWithTheirBackend(t *testing.T) {
	u := newTestUpstream(t)
	addr, conns, _, _ := scripted.CountingBackend(t)
	exchangeRested(t, u, addr, readRequest)
	u.CloseIdleExcept(func(to core.Target) bool { return to == core.Target{ID: "h1", Addr: addr} })
	if n := u.sockets.Open.Load(); n != 0 {
		t.Errorf("%d sockets", n)
	}
	exchangeRested(t, u, addr, readRequest)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if r := u.Exchange(ctx, nil, core.Target{ID: "h1", Addr: addr}, readRequest); r.Result != balance.OK || conns.Load() != 3 {
		t.Errorf("got %v, %d connections", r.Result, conns.Load())
	}
}

// Neither a client's deadline that passes during the dial nor the agent's own limits are blamed on the backend.
func TestDialFailureResults(t *testing.T) {
	over, cancel := context.WithDeadline(context.Background(), pastDeadline)
	defer cancel()
	if r := newTestUpstream(t).Exchange(over, nil, target(deadAddr(t)), readRequest); r.Result != balance.NotSent {
		t.Errorf("got %v", r.Result)
	}
	for err, want := range map[error]balance.Result{errOutOfSockets: balance.NotSent, syscall.EMFILE: balance.NotSent,
		syscall.EADDRNOTAVAIL: balance.NotSent, syscall.ECONNREFUSED: balance.ConnectFailed} {
		if got := dialResult(context.Background(), fmt.Errorf("dial: %w", err)); got != want {
			t.Errorf("%v: got %v", err, got)
		}
	}
}

// A backend that does not answer a connection attempt has failed to connect; a client's deadline that passes
// first is not blamed on it, though net reports both timeouts alike.
func TestDialTimeoutResults(t *testing.T) {
	for _, tt := range []struct {
		name          string
		connect, left time.Duration
		want          balance.Result
	}{
		{"the backend is silent", 1, time.Hour, balance.ConnectFailed},
		{"the client's time runs out", time.Hour, 1, balance.NotSent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := newTestUpstream(t)
			u.connectTimeout = tt.connect
			ctx, cancel := context.WithTimeout(context.Background(), tt.left)
			defer cancel()
			if r := u.Exchange(ctx, nil, target(deadAddr(t)), readRequest); r.Result != tt.want {
				t.Errorf("result %v, want %v", r.Result, tt.want)
			}
		})
	}
}
