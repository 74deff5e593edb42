package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/scripted"
)

// attemptRecorder counts the attempts that reach its backends, by request id. It holds each request without
// an answer until the test sends a function that ends the request.
type attemptRecorder struct {
	mu       sync.Mutex
	attempts map[string]int      // number of attempts, by request id
	arrived  chan string         // receives the id of each request when it begins to be held
	finish   chan func(net.Conn) // the test sends a function that answers a held request or breaks its connection; closed: the connection is closed
}

func (l *attemptRecorder) backend(t *testing.T) string {
	return scripted.Backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _, err := scripted.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("X-Correlation-Id")
			l.mu.Lock()
			l.attempts[id]++
			l.mu.Unlock()
			if strings.HasPrefix(id, "r") { // a request of sendRequest, which is answered at once
				io.WriteString(c, scripted.HelloResponse)
				continue
			}
			l.arrived <- id
			end, ok := <-l.finish
			if !ok {
				return
			}
			end(c)
		}
	})
}

// maxStopTime is shorter than the time for which a planned stop waits for answers with this test's settings.
// On a slow machine the stop may end before the attempt: the client may then get 502 for an attempt that may
// have run, which the test accepts only if more than this time has passed.
const maxStopTime = 3 * time.Second

// The agent's process is replaced while an attempt of an unsafe request, which must not be repeated once it
// may have run, is in flight. However the attempt ends, the client gets one answer or a broken connection,
// and neither process makes a second attempt where the first may have run.
func TestUnsafeRequestDuringUpgrade(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
	for _, tt := range []struct {
		name     string
		signal   syscall.Signal
		finishes []func(net.Conn) // how the attempts end, in order
		status   int              // status that the client gets; 0: its connection breaks
	}{
		{"served late", syscall.SIGTERM, []func(net.Conn){func(c net.Conn) { io.WriteString(c, scripted.HelloResponse) }}, http.StatusOK},
		{"reset", syscall.SIGTERM, []func(net.Conn){func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }}, http.StatusBadGateway},
		{"cut short", syscall.SIGTERM, []func(net.Conn){func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhe"); c.Close() }}, http.StatusBadGateway},
		{"refused, then served", syscall.SIGTERM, []func(net.Conn){func(c net.Conn) { io.WriteString(c, refusal) },
			func(c net.Conn) { io.WriteString(c, scripted.HelloResponse) }}, http.StatusOK},
		{"refused, then reset", syscall.SIGTERM, []func(net.Conn){func(c net.Conn) { io.WriteString(c, refusal) },
			func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }}, http.StatusBadGateway},
		{"its process killed", syscall.SIGKILL, nil, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			recorder := &attemptRecorder{attempts: map[string]int{}, arrived: make(chan string, 10), finish: make(chan func(net.Conn))}
			closeFinish := sync.OnceFunc(func() { close(recorder.finish) })
			t.Cleanup(closeFinish)
			p := newPlatform(t, recorder.backend(t), recorder.backend(t))
			p.config = p.configWith(`"Profiles":[`, `"Profiles":[{"Name":"claim","AimMs":1000,"DeadlineMs":3000,"Worth":1,"Semantics":"once"},`)
			old := p.start(p.config).awaitReady()
			answered := make(chan int, 1)
			go func() {
				req, _ := http.NewRequest(http.MethodPost, p.url+"/claim", strings.NewReader("x"))
				req.Header.Set("X-Correlation-Id", "claim")
				req.Header.Set("X-Time-Left", "60000m")
				resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
				if err != nil {
					answered <- 0
					return
				}
				resp.Body.Close()
				answered <- resp.StatusCode
			}()
			scripted.Await(t, recorder.arrived)
			successor := p.start(p.config).awaitReady()
			signaledAt := time.Now()
			old.cmd.Process.Signal(tt.signal)
			if tt.signal == syscall.SIGTERM { // waits until the process has seen the signal
				for old.controlStatus("GET", "/api/ready") == http.StatusOK {
				}
			}
			attempts, want := 1, tt.status
			for n, end := range tt.finishes {
				recorder.finish <- end
				if n+1 == len(tt.finishes) {
					break
				}
				select {
				case <-recorder.arrived:
					attempts++
					continue
				case status := <-answered: // on a slow machine the stop may end before a second attempt; the refused request has not run then
					answered <- status
					want = http.StatusServiceUnavailable
				}
				break
			}
			if got := scripted.Await(t, answered); got != want && (got != http.StatusBadGateway || time.Since(signaledAt) < maxStopTime) {
				t.Errorf("the client got %d, want %d", got, want)
			}
			scripted.Await(t, old.done)
			if tt.signal == syscall.SIGTERM && old.err != nil {
				t.Errorf("ended with %v", old.err)
			}
			for range 20 { // the successor serves, unaffected by the old process's request
				if err := p.sendRequest(http.DefaultClient); err != nil {
					t.Error(err)
				}
			}
			successor.cmd.Process.Signal(syscall.SIGTERM)
			successor.awaitCleanExit()
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			if recorder.attempts["claim"] != attempts {
				t.Errorf("%d attempts, want %d", recorder.attempts["claim"], attempts)
			}
		})
	}
}
