package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/http1"
)

// Tests the read deadline for the rest of an answer: a short one must end by its client's deadline.
func TestStreamReadDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, tt := range map[string]struct {
		s    *stream
		want time.Duration
	}{
		"of unknown length, in time":                              {&stream{deadline: now.Add(time.Second), bytesRead: 100}, time.Second},
		"of unknown length, late":                                 {&stream{deadline: now.Add(-time.Hour), bytesRead: 100}, stallTimeout},
		"of unknown length, long":                                 {&stream{deadline: now.Add(time.Second), bytesRead: maxBufferedBody + 1}, streamStallTimeout},
		"of unknown length, late, but fast enough to become long": {&stream{deadline: now.Add(-time.Second), started: now.Add(-time.Second), bytesRead: 3 * minLongRate}, 2 * time.Second},
		"long": {&stream{deadline: now.Add(time.Second), knownLong: true}, streamStallTimeout},
	} {
		if got := tt.s.readDeadline(now).Sub(now); got != tt.want {
			t.Errorf("%s: %v, want %v", name, got, tt.want)
		}
	}
}

// A chunked answer is streamed and then stalls without an end: reading it fails at the client's deadline, and
// the connection is not reused.
func TestChunkedAnswerWithoutEnd(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	passed := make(chan struct{}, 1)
	addr := backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for { // until the answer is streamed; then it stalls
			if _, err := io.WriteString(c, "3\r\nabc\r\n"); err != nil {
				return
			}
			select {
			case <-passed:
				<-hold
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	u := newTestUpstream(t)
	var a *http1.Answer
	for range 20 { // on a slow machine the answer may seem to stall earlier: then it counts as broken, and is retried
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if r := u.Exchange(ctx, nil, target(addr), readRequest); r.Result == balance.OK {
			a = r.Payload.(*http1.Answer)
			break
		}
	}
	if a == nil || a.More == nil {
		t.Fatalf("got %+v", a)
	}
	passed <- struct{}{}
	rest, err := io.ReadAll(a.More)
	if err == nil {
		t.Errorf("read %d and %d bytes without an error", len(a.Body), len(rest))
	}
	a.More.Close()
	if n := u.sockets.Open.Load(); n != 0 {
		t.Errorf("%d connections are kept alive", n)
	}
}
