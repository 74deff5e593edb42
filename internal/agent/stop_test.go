package agent

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
)

func TestPlanStop(t *testing.T) {
	for _, c := range []struct{ deadline, stay, answerBy time.Duration }{
		{1500 * time.Millisecond, 1560 * time.Millisecond, 1950 * time.Millisecond},
		{8 * time.Second, 2760 * time.Millisecond, 3450 * time.Millisecond}, // the deadline counts as 3 s at most (maxCountedDeadline)
		{60 * time.Millisecond, 408 * time.Millisecond, 510 * time.Millisecond},
	} {
		s := balance.Settings{Classes: []balance.Class{{Deadline: time.Millisecond}, {Deadline: c.deadline}}}
		stay, linger, answerBy := planStop(&s)
		if stay != c.stay || answerBy != c.answerBy || linger != min(defaultMinListenTime, answerBy) {
			t.Errorf("longest deadline %v: drain delay %v, minimum listen time %v, answer timeout %v; want %v, %v", c.deadline, stay, linger, answerBy, c.stay, c.answerBy)
		}
	}
}

// stopLog closes stopping when the agent logs that it stops.
type stopLog struct {
	slog.Handler
	stopping chan struct{}
}

func (h stopLog) Enabled(context.Context, slog.Level) bool { return true }

func (h stopLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "stopping" {
		close(h.stopping)
	}
	return nil
}

// When a planned stop begins, clients have no other agent: connections that they hold are still served and kept.
func TestPlannedStopServesKeptConnections(t *testing.T) {
	cfg := testConfig(t, backend(t, always(hello)))
	cfg.drainDelay = 3 * time.Second // the result must not depend on the machine's speed
	h := stopLog{quiet.Handler(), make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	ln, done := listen(t), make(chan error, 1)
	go func() { done <- serve(ctx, cfg, stepFunc(sendAll), ln, nil, nil, nil, slog.New(h)) }()
	client := newClient(t)
	base := "http://" + ln.Addr().String()
	if resp, body, err := sendRead(client, base, "before"); err != nil || body != "hello" || resp.Close {
		t.Errorf("before the stop: got %v, %q, %v", resp, body, err)
	}
	stop()
	await(t, h.stopping)
	if resp, body, err := sendRead(client, base, "after"); err != nil || body != "hello" || resp.Close {
		t.Errorf("after it: got %v, %q, %v", resp, body, err)
	}
	if err := await(t, done); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// Requests that can't be served before the platform kills the process are answered before that: as failed if an attempt
// was sent, otherwise as refused.
func TestPlannedStopAnswersAllInTime(t *testing.T) {
	cfg := testConfig(t, backend(t, func(c net.Conn, r *bufio.Reader) { // never answers
		receive(r)
		receive(r)
	}))
	cfg.answerTimeout = 300 * time.Millisecond
	bal := newDecider(func(e balance.Event) []balance.Action {
		if r, ok := e.(balance.Request); ok && r.ID == "sent" {
			return sendAll(e)
		}
		return nil
	})
	base, stop, done := startAgent(t, cfg, bal)
	got := make(chan int, 2)
	for _, id := range []string{"sent", "held"} {
		go func() {
			resp, _, err := sendRead(newClient(t), base, id)
			if err != nil {
				t.Error(err)
				resp = &http.Response{}
			}
			got <- resp.StatusCode
		}()
		nextEvent[balance.Request](t, bal)
	}
	stop()
	a, b := await(t, got), await(t, got)
	if a+b != http.StatusBadGateway+http.StatusServiceUnavailable || a == b {
		t.Errorf("answers %d and %d, want a 502 and a 503", a, b)
	}
	if err := await(t, done); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A planned stop closes idle connections after a while. A client sends a request that races with the close again on a
// new connection, so the listener has to stay open for a while: closed in the same instant, it would lose the request.
func TestStopAcceptsRetriedIdleRequests(t *testing.T) {
	cfg := testConfig(t, backend(t, always(hello)))
	cfg.reconnectWindow = 3 * time.Second // the result must not depend on the machine's speed
	base, stop, done := startAgent(t, cfg, stepFunc(sendAll))
	addr := strings.TrimPrefix(base, "http://")
	idle, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	idle.SetDeadline(time.Now().Add(timeout))
	io.WriteString(idle, readRequest("d1"))
	r := bufio.NewReader(idle)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	stop()
	if _, err := r.ReadByte(); err == nil { // a request written now would race with the close
		t.Error("the idle connection stays open")
	}
	got, body, err := sendRead(newClient(t), base, "d2")
	if err != nil || body != "hello" || !got.Close {
		t.Errorf("got %v, %q, %v", got, body, err)
	}
	select {
	case <-done:
		t.Error("the agent had ended before")
	default:
	}
}

func TestPlanReconnectWindow(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{1500 * time.Millisecond: 195 * time.Millisecond, 60 * time.Millisecond: 51 * time.Millisecond} {
		s := balance.Settings{Classes: []balance.Class{{Deadline: deadline}}}
		stay, _, answerBy := planStop(&s)
		if got := planReconnectWindow(stay, answerBy); got != want || stay+got >= answerBy {
			t.Errorf("%v: %v, want %v", deadline, got, want)
		}
	}
}
