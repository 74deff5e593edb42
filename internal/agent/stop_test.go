package agent

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"lemonrail/balance"
)

func TestPlanStop(t *testing.T) {
	for _, c := range []struct{ deadline, stay, answerBy time.Duration }{
		{1500 * time.Millisecond, 1560 * time.Millisecond, 1950 * time.Millisecond},
		{8 * time.Second, 2760 * time.Millisecond, 3450 * time.Millisecond}, // counted as 3 s
		{60 * time.Millisecond, 408 * time.Millisecond, 510 * time.Millisecond},
	} {
		s := balance.Settings{Classes: []balance.Class{{Deadline: time.Millisecond}, {Deadline: c.deadline}}}
		stay, linger, answerBy := planStop(&s)
		if stay != c.stay || answerBy != c.answerBy || linger != min(lingering, answerBy) {
			t.Errorf("longest deadline %v: stays %v, lingers %v, answers by %v; want %v, %v", c.deadline, stay, linger, answerBy, c.stay, c.answerBy)
		}
	}
}

// stopLog closes a channel when the agent logs that it stops.
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

// After a planned stop has begun, clients have no other agent: the connections that they hold are
// served on and kept.
func TestPlannedStopServesKeptConnections(t *testing.T) {
	cfg := testConfig(t, backend(t, always(hello)))
	cfg.stay = 3 * time.Second // a slow machine must not turn the verdict
	h := stopLog{quiet.Handler(), make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	ln, done := listen(t), make(chan error, 1)
	go func() { done <- serve(ctx, cfg, stepFunc(sendAll), ln, nil, nil, nil, slog.New(h)) }()
	client := newClient(t)
	base := "http://" + ln.Addr().String()
	if resp, body, err := ask(client, base, "before"); err != nil || body != "hello" || resp.Close {
		t.Errorf("before the stop: got %v, %q, %v", resp, body, err)
	}
	stop()
	await(t, h.stopping)
	if resp, body, err := ask(client, base, "after"); err != nil || body != "hello" || resp.Close {
		t.Errorf("after it: got %v, %q, %v", resp, body, err)
	}
	if err := await(t, done); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// What can't be served before the platform ends the process has its answer before that: failed
// where an attempt is out, refused where nothing was sent.
func TestPlannedStopAnswersAllInTime(t *testing.T) {
	cfg := testConfig(t, backend(t, func(c net.Conn, r *bufio.Reader) { // never answers
		receive(r)
		receive(r)
	}))
	cfg.answerBy = 300 * time.Millisecond
	bal := newScripted(func(e balance.Event) []balance.Action {
		if r, ok := e.(balance.Request); ok && r.ID == "sent" {
			return sendAll(e)
		}
		return nil
	})
	base, stop, done := running(t, cfg, bal)
	got := make(chan int, 2)
	for _, id := range []string{"sent", "held"} {
		go func() {
			resp, _, err := ask(newClient(t), base, id)
			if err != nil {
				t.Error(err)
				resp = &http.Response{}
			}
			got <- resp.StatusCode
		}()
		next[balance.Request](t, bal)
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
