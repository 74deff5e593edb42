package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
	"weak"

	"lemonrail/internal/core"
	"lemonrail/internal/http1"
)

// startWithBody starts an attempt whose body nobody else holds, and returns a weak pointer to that body.
func startWithBody(t *testing.T, u *Upstream, addr string, length int) (body weak.Pointer[byte], done <-chan core.Response) {
	t.Helper()
	raw := make([]byte, length)
	body = weak.Make(&raw[0])
	out, err := http1.Render(http.MethodPost, "/sub", "api.internal", http.Header{}, raw, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	ended := make(chan core.Response, 1)
	go func(request any) { ended <- u.Exchange(ctx, nil, target(addr), request) }(out)
	return body, ended
}

// Guards against memory that grows with the bodies of requests whose backends take long to answer: once a body has been
// written, its attempt doesn't hold it any more.
func TestWrittenAttemptReleasesItsBody(t *testing.T) {
	received, hold := make(chan struct{}), make(chan struct{})
	addr := backend(t, func(_ net.Conn, r *bufio.Reader) {
		receive(r)
		received <- struct{}{}
		<-hold
	})
	u := newTestUpstream(t)
	body, done := startWithBody(t, u, addr, 1<<20)
	await(t, received)
	for begun := time.Now(); u.attempts.Load() == 0; time.Sleep(time.Millisecond) { // until the attempt has seen its last write end
		if time.Since(begun) > testTimeout {
			t.Fatal("the attempt is not written")
		}
	}
	runtime.GC()
	if body.Value() != nil {
		t.Error("the body is held while the attempt waits for its answer")
	}
	close(hold)
	await(t, done)
}
