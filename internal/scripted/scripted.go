// Package scripted holds helpers shared by the tests of fronts, backends and agents: scripted servers and
// bounded waits, so that a test that hangs ends.
package scripted

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/standin"
)

// WaitTimeout bounds every wait of a test. It is far longer than any wait should last.
const WaitTimeout = 20 * time.Second

// HelloResponse is a complete HTTP answer.
const HelloResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// DeadAddr returns an address that refuses connections. It is bound, so that no other process gets it, but
// nobody listens on it.
func DeadAddr(t testing.TB) string {
	t.Helper()
	fd, addr, err := standin.ReserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	return addr
}

// Listen opens a listener on a free loopback port. It is closed at the end of the test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// HeldListener accepts nothing until Release is closed: connections wait in the kernel's queue.
type HeldListener struct {
	net.Listener
	Release chan struct{}
}

// HoldAccepts returns a HeldListener on ln.
func HoldAccepts(ln net.Listener) *HeldListener {
	return &HeldListener{Listener: ln, Release: make(chan struct{})}
}

// Accept waits for Release, and then for the next connection.
func (l *HeldListener) Accept() (net.Conn, error) {
	<-l.Release
	return l.Listener.Accept()
}

// FailAccepts returns a listener whose first accepts fail with these errors, as the system reports them.
func FailAccepts(ln net.Listener, errs ...syscall.Errno) net.Listener {
	return &failingListener{Listener: ln, errs: errs}
}

type failingListener struct {
	net.Listener
	mu   sync.Mutex
	errs []syscall.Errno
}

func (l *failingListener) Accept() (net.Conn, error) {
	err := l.nextFailure()
	if err == nil {
		return l.Listener.Accept()
	}
	return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
}

// nextFailure returns the error of the next accept; nil: it doesn't fail.
func (l *failingListener) nextFailure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.errs) == 0 {
		return nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return err
}

// Backend starts a server that passes each connection to handle and closes it when handle returns. It returns
// the server's address.
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

// ReadRequest reads a request with its body.
func ReadRequest(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

// AnswerAlways returns a handler for Backend that answers each request on a connection with the same bytes.
func AnswerAlways(answer string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, answer)
		}
	}
}

// Await returns the next value of a channel and fails the test if none arrives within WaitTimeout.
func Await[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(WaitTimeout):
		t.Fatal("no value arrived")
	}
	panic("unreachable")
}

// CountingBackend starts a backend that counts its connections and the requests on them. restart closes all open
// connections.
func CountingBackend(t testing.TB) (addr string, conns, requests *atomic.Int64, restart func()) {
	conns, requests = new(atomic.Int64), new(atomic.Int64)
	var mu sync.Mutex
	var open []net.Conn
	addr = Backend(t, func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		mu.Lock()
		open = append(open, c)
		mu.Unlock()
		for {
			if _, _, err := ReadRequest(r); err != nil {
				return
			}
			requests.Add(1)
			io.WriteString(c, HelloResponse)
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
