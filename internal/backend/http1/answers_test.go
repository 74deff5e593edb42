package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/http1"
)

// A connection that breaks while others to its backend survive doesn't show that the backend's process has ended; one
// that breaks together with all others may.
func TestReportsSurvivingConnections(t *testing.T) {
	for _, all := range []bool{false, true} {
		t.Run(fmt.Sprint("all break ", all), func(t *testing.T) {
			u := newTestUpstream(t)
			var mu sync.Mutex
			var open []net.Conn
			var both sync.WaitGroup // prevents the second request from reusing the first one's connection
			both.Add(2)
			addr := backend(t, func(c net.Conn, r *bufio.Reader) {
				mu.Lock()
				open = append(open, c)
				mu.Unlock()
				receive(r)
				both.Done()
				both.Wait()
				io.WriteString(c, hello)
				if _, _, err := receive(r); err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				for _, o := range open {
					if all || o == c {
						o.(*net.TCPConn).SetLinger(0)
						o.Close()
					}
				}
			})
			var two sync.WaitGroup
			for range 2 {
				two.Go(func() {
					if r := exchangeRested(t, u, addr, readRequest); r.Result != balance.OK {
						t.Errorf("got %v", r.Result)
					}
				})
			}
			two.Wait()
			r := exchangeRested(t, u, addr, readRequest)
			if r.Result != balance.Reset || r.OtherConnectionsOpen == all {
				t.Errorf("got %v, standing %v", r.Result, r.OtherConnectionsOpen)
			}
		})
	}
}

// An answer over 64 KiB arrives in parts: the timeout applies to each part, not to the whole answer.
func TestLongAnswerIsStreamed(t *testing.T) {
	u := newTestUpstream(t)
	part := strings.Repeat("x", initialBodySize)
	const parts = 25
	addr := backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", parts*len(part))
		for range parts {
			io.WriteString(c, part)
		}
		receive(r)
	})
	r := exchangeRested(t, u, addr, readRequest)
	a := r.Payload.(*http1.Answer)
	if r.Result != balance.OK || a.More == nil || a.Length != parts*initialBodySize || len(a.Body) > maxBufferedBody+1 {
		t.Fatalf("got %v, first %d bytes of %d", r.Result, len(a.Body), a.Length)
	}
	rest, err := io.ReadAll(a.More)
	if got := string(a.Body) + string(rest); err != nil || got != strings.Repeat(part, parts) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	a.Discard()
	if len(u.idle[target(addr)]) != 1 {
		t.Error("the connection is not kept alive")
	}
}

// An answer that keeps arriving slowly is streamed: it is neither broken nor buffered, even if its length is
// unknown.
func TestSlowAnswerIsStreamed(t *testing.T) {
	for _, head := range []string{"Content-Length: 100000", "Transfer-Encoding: chunked", "X-Until: close"} {
		u := newTestUpstream(t)
		over := make(chan struct{})
		addr := backend(t, func(c net.Conn, r *bufio.Reader) {
			receive(r)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", head)
			if head[0] == 'T' {
				io.WriteString(c, "186A0\r\n")
			}
			for {
				if _, err := io.WriteString(c, "hello"); err != nil {
					return
				}
				select {
				case <-over:
					return
				case <-time.After(time.Millisecond):
				}
			}
		})
		r := exchangeRested(t, u, addr, readRequest)
		close(over)
		if a, ok := r.Payload.(*http1.Answer); !ok || r.Result != balance.OK || a.More == nil || len(a.Body) == 0 {
			t.Errorf("%s: %+v", head, r)
		} else {
			a.Discard()
		}
	}
}

// A long answer that is discarded before its end, or is incomplete, closes its connection.
func TestDiscardedLongAnswerClosesConnection(t *testing.T) {
	for _, head := range []string{"Content-Length: 9999999", "Transfer-Encoding: chunked", "X-Until: close"} {
		u := newTestUpstream(t)
		ended := make(chan struct{})
		addr := backend(t, func(c net.Conn, r *bufio.Reader) {
			receive(r)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", head)
			if head[0] == 'T' {
				fmt.Fprintf(c, "%x\r\n", 2*maxBufferedBody)
			}
			io.WriteString(c, strings.Repeat("x", maxBufferedBody+initialBodySize))
			io.Copy(io.Discard, r)
			close(ended)
		})
		r := exchangeRested(t, u, addr, readRequest)
		a, ok := r.Payload.(*http1.Answer)
		if !ok || r.Result != balance.OK || a.More == nil {
			t.Fatalf("%s: %+v", head, r)
		}
		a.Discard()
		await(t, ended)
	}
}

// A long answer that stalls within its first part is passed on; a short one that stalls is broken.
func TestStallWithinFirstPart(t *testing.T) {
	for length, want := range map[int]balance.Result{maxBufferedBody: balance.Errored, maxBufferedBody + 1: balance.OK} {
		u := newTestUpstream(t)
		addr := backend(t, func(c net.Conn, r *bufio.Reader) {
			receive(r)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nhello", length)
			io.Copy(io.Discard, r)
		})
		r := exchangeRested(t, u, addr, readRequest)
		if r.Result != want {
			t.Errorf("%d bytes: %v", length, r.Result)
		}
		if a, ok := r.Payload.(*http1.Answer); ok {
			a.Discard()
		}
	}
}
