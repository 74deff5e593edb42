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

// At a planned stop idle connections are closed after a while. A request that crosses that comes once more on a new
// connection, which has to be there for it: with the listener closed in the same instant it would find nobody.
func TestStopLetsCrossingRequestsComeAgain(t *testing.T) {
	cfg := testConfig(t, backend(t, always(hello)))
	cfg.crossing = 3 * time.Second // a slow machine must not turn the verdict
	base, stop, done := running(t, cfg, stepFunc(sendAll))
	addr := strings.TrimPrefix(base, "http://")
	idle, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	idle.SetDeadline(time.Now().Add(patience))
	io.WriteString(idle, readOf("d1"))
	r := bufio.NewReader(idle)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	stop()
	if _, err := r.ReadByte(); err == nil { // it is closed: what would be written now crosses with that
		t.Error("the idle connection goes on")
	}
	got, body, err := ask(newClient(t), base, "d2")
	if err != nil || body != "hello" || !got.Close {
		t.Errorf("got %v, %q, %v", got, body, err)
	}
	select {
	case <-done:
		t.Error("it had ended before")
	default:
	}
}

func TestPlanCrossing(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{1500 * time.Millisecond: 195 * time.Millisecond, 60 * time.Millisecond: 51 * time.Millisecond} {
		s := balance.Settings{Classes: []balance.Class{{Deadline: deadline}}}
		stay, _, answerBy := planStop(&s)
		if got := planCrossing(stay, answerBy); got != want || stay+got >= answerBy {
			t.Errorf("%v: %v, want %v", deadline, got, want)
		}
	}
}
