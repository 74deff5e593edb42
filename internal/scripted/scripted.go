// Package scripted holds what the tests of fronts, backends and agents share: servers that do what a test
// says, connection by connection, and waits that end a test that hangs.
package scripted

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/standin"
)

// Patience bounds every wait of a test; none is expected to last nearly so long.
const Patience = 20 * time.Second

// Hello is a whole answer.
const Hello = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// DeadAddr is an address that refuses connections: bound, so that nobody else gets it, but not
// listened on.
func DeadAddr(t testing.TB) string {
	t.Helper()
	fd, addr, err := standin.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	return addr
}

// Listen opens a listener on a free port that the test's end closes.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Backend is a scripted one. Every connection is handed to handle; it closes when that returns.
func Backend(t testing.TB, handle func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln := Listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// Receive reads one request with its body.
func Receive(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

// Always answers each request on a connection with the same bytes.
func Always(answer string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := Receive(r); err != nil {
				return
			}
			io.WriteString(c, answer)
		}
	}
}

// Await takes what comes from a channel, which has to be soon.
func Await[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Patience):
		t.Fatal("nothing came")
	}
	panic("unreachable")
}

// Counting is a backend that counts its connections and the requests on them; restart ends
// all that are open.
func Counting(t testing.TB) (addr string, conns, requests *atomic.Int64, restart func()) {
	conns, requests = new(atomic.Int64), new(atomic.Int64)
	var mu sync.Mutex
	var open []net.Conn
	addr = Backend(t, func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		mu.Lock()
		open = append(open, c)
		mu.Unlock()
		for {
			if _, _, err := Receive(r); err != nil {
				return
			}
			requests.Add(1)
			io.WriteString(c, Hello)
		}
	})
	return addr, conns, requests, func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			c.Close()
		}
		open = nil
	}
}
