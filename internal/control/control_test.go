package control

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/scripted"
)

// Guards against a control listener that ends, and the whole agent with it, because accepting one call failed for a moment.
func TestFailedAcceptsDontEndTheListener(t *testing.T) {
	ln := scripted.Listen(t)
	failing := scripted.FailAccepts(ln, syscall.EMFILE, syscall.ENOBUFS, syscall.ENETUNREACH)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- Serve(ctx, failing, []Route{ReadyRoute("GET /api/ready", func() bool { return true })}, slog.New(slog.DiscardHandler))
	}()
	resp, err := http.Get("http://" + ln.Addr().String() + "/api/ready")
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("got %d", resp.StatusCode)
	}
	cancel()
	if err := scripted.Await(t, ended); err != nil {
		t.Error(err)
	}
}

// A caller's time runs while its call waits to be accepted: its handler gets only what is left of it.
func TestTimeRunsInTheListenersQueue(t *testing.T) {
	const (
		queueTime = 400 * time.Millisecond
		slack     = 100 * time.Millisecond
	)
	held := scripted.HoldAccepts(scripted.Listen(t))
	deadlines := make(chan time.Time, 1)
	route := Route{"GET /api/ready", func(_ http.ResponseWriter, r *http.Request) {
		deadline, _ := r.Context().Deadline()
		deadlines <- deadline
	}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, held, []Route{route}, slog.New(slog.DiscardHandler)) }()
	caller, err := net.Dial("tcp", held.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	io.WriteString(caller, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	sent := time.Now()
	time.Sleep(queueTime)
	close(held.Release)
	if late := scripted.Await(t, deadlines).Sub(sent.Add(answerTimeout)); late > slack {
		t.Errorf("the handler may take %v longer than its caller waits", late)
	}
	cancel()
	scripted.Await(t, ended)
}
