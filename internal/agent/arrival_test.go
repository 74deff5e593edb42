package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"lemonrail/internal/http1"
	"lemonrail/internal/scripted"
)

const (
	queueTime     = 400 * time.Millisecond // for which requests wait to be read
	deadlineSlack = 150 * time.Millisecond // by which a backend may be told more than its client has left
)

// toldBackend answers each request, and tells for how long the request said that its client waits, and when it came.
type toldBackend struct {
	told chan time.Duration
	at   chan time.Time
	hold chan struct{} // each request waits until it is closed; nil: none does
}

func newToldBackend() *toldBackend {
	return &toldBackend{told: make(chan time.Duration, 4), at: make(chan time.Time, 4)}
}

func (b *toldBackend) serve(c net.Conn, r *bufio.Reader) {
	for {
		req, _, err := receive(r)
		if err != nil {
			return
		}
		left, _ := strconv.ParseFloat(strings.TrimSuffix(req.Header.Get(http1.HeaderTimeLeft), "u"), 64)
		b.told <- time.Duration(left) * time.Microsecond
		b.at <- time.Now()
		if b.hold != nil {
			<-b.hold
		}
		io.WriteString(c, hello)
	}
}

// check tests what the next request said, of a client that stops waiting at a time.
func (b *toldBackend) check(t *testing.T, until time.Time) {
	t.Helper()
	told, at := await(t, b.told), await(t, b.at)
	if left := until.Sub(at); told > left+deadlineSlack {
		t.Errorf("the backend was told %v, %v more than the client had left", told, told-left)
	}
}

// timedRequest returns a request whose client waits for left.
func timedRequest(id string, left time.Duration) string {
	return fmt.Sprintf("GET /read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Time-Left: %dm\r\n\r\n", id, left.Milliseconds())
}

// A client's time runs while its connection waits to be accepted: without that, backends are told more than the client has
// left, and answers come long after it has stopped waiting.
func TestTimeRunsInTheListenersQueue(t *testing.T) {
	for name, length := range map[string]int{"held body": 5, "streamed body": 100_000} {
		t.Run(name, func(t *testing.T) {
			seen, ln := newToldBackend(), scripted.HoldAccepts(listen(t))
			cfg := testConfig(t, backend(t, seen.serve))
			cfg.MemoryMB = 2 // a body of over 64 KiB is streamed
			base, _, _ := startAgentOn(t, ln, cfg, newDecider(sendAll))
			c := dial(t, base)
			fmt.Fprintf(c, "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nX-Correlation-Id: d1\r\nX-Time-Left: 5000m\r\nContent-Length: %d\r\n\r\n%s",
				length, strings.Repeat("x", length))
			until := time.Now().Add(5 * time.Second)
			time.Sleep(queueTime)
			close(ln.Release)
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Fatal(resp, err)
			}
			seen.check(t, until)
		})
	}
}

// A request whose client has stopped waiting before it is read is refused and not sent on.
func TestRequestThatIsReadTooLateIsRefused(t *testing.T) {
	seen, ln := newToldBackend(), scripted.HoldAccepts(listen(t))
	base, _, _ := startAgentOn(t, ln, testConfig(t, backend(t, seen.serve)), nil)
	c := dial(t, base)
	io.WriteString(c, timedRequest("d1", 100*time.Millisecond))
	time.Sleep(queueTime)
	close(ln.Release)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v, %v", resp, err)
	}
	if len(seen.told) > 0 {
		t.Error("a backend got the request")
	}
}

// The time of a request runs while the one before it on its connection is being answered.
func TestTimeRunsBehindAnotherRequest(t *testing.T) {
	seen := newToldBackend()
	seen.hold = make(chan struct{})
	base, _, _ := startAgent(t, testConfig(t, backend(t, seen.serve)), newDecider(sendAll))
	c := dial(t, base)
	r := bufio.NewReader(c)
	const left = 5 * time.Second
	io.WriteString(c, timedRequest("first", left))
	seen.check(t, time.Now().Add(left))
	io.WriteString(c, timedRequest("second", left))
	until := time.Now().Add(left)
	time.Sleep(queueTime)
	close(seen.hold)
	for range 2 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	seen.check(t, until)
}
