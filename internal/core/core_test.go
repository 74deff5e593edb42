package core

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lemonrail/balance"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// unreachable is a backend that can't be reached.
type unreachable struct{}

func (unreachable) Exchange(context.Context, *Permit, Target, any) Response {
	return Response{Result: balance.ConnectFailed}
}
func (unreachable) Probe(Target) Response             { return Response{Result: balance.ConnectFailed} }
func (unreachable) CloseIdleExcept(func(Target) bool) {}

// newTestLoop returns a loop without a goroutine, which the test drives step by step, and a call that has not
// arrived yet.
func newTestLoop(bal Decider) (*Loop, *Call) {
	l := New(bal, &balance.Settings{AnswerGrace: 20 * time.Millisecond}, slog.New(slog.DiscardHandler))
	l.Backend = unreachable{}
	c := &Call{Event: balance.Request{ID: "d1"}, Deadline: time.Now().Add(time.Hour), Reply: make(chan Answer, 1)}
	return l, c
}

// Guards against two answers to a call whose backend answers at the same time as the call's deadline expires:
// the first of the two events counts, and neither the client nor the decision module gets a second end.
func TestAnswerRacesWithTimeout(t *testing.T) {
	for _, served := range []bool{true, false} {
		l, c := newTestLoop(nil)
		l.Arrived(c)
		c.attempts = []*attempt{{sent: time.Now(), cancel: func() {}, permit: &Permit{}}}
		c.pending = 1
		serve := func() { l.attemptEnded(c, 0, "h0", Response{Result: balance.OK, Payload: "hello"}) }
		expire := func() { l.fireTimers(c.Deadline.Add(time.Second)) }
		want := Served
		if served {
			serve()
			expire()
		} else {
			expire()
			serve()
			want = Failed
		}
		if a := <-c.Reply; a.Kind != want {
			t.Errorf("got %d, want %d", a.Kind, want)
		}
		outcomes := 0
		for _, e := range l.events {
			if o, ok := e.(balance.Outcome); ok {
				outcomes++
				if !o.Done {
					t.Error("the module still owes an answer")
				}
			}
		}
		if len(c.Reply) != 0 || outcomes != 1 || len(l.calls) != 0 {
			t.Errorf("%d more answers, %d outcomes, %d open calls", len(c.Reply), outcomes, len(l.calls))
		}
	}
}

// Every Send of the decision module gets one outcome, even for a call that has ended or a backend that was never
// listed.
func TestEverySendHasAnOutcome(t *testing.T) {
	l, c := newTestLoop(nil)
	l.Arrived(c)
	l.events = nil
	l.execute(balance.Send{Request: "d1", Backend: "unlisted"})
	l.execute(balance.Fail{Request: "d1"})
	l.execute(balance.Send{Request: "d1", Backend: "h0"})
	if len(l.events) != 2 {
		t.Fatalf("got %v", l.events)
	}
	for i, e := range l.events {
		if o := e.(balance.Outcome); o.Result != balance.NotSent || o.Done != (i == 1) {
			t.Errorf("got %+v", o)
		}
	}
}

func TestRecentIDsAreBounded(t *testing.T) {
	p := newRecentIDs()
	for i := range 3 * maxRecentIDs {
		p.add(fmt.Sprint(i))
	}
	if len(p.ids) != maxRecentIDs || !p.has(fmt.Sprint(3*maxRecentIDs-1)) || p.has("0") {
		t.Errorf("%d ids", len(p.ids))
	}
}

// A backend that announces that it accepts no new requests drains at once although the list shows it as up. It
// is used again when it announces its return or when the list shows a later start.
func TestLeavingBackendDrains(t *testing.T) {
	l, _ := newTestLoop(nil)
	states := func() (got string) {
		for _, e := range l.events {
			for _, b := range e.(balance.List).Backends {
				got += fmt.Sprint(b.ID, b.State, " ")
			}
		}
		l.events = nil
		return got
	}
	list := func(started time.Duration) {
		l.ApplyList(balance.List{Kind: balance.ListFull, Backends: []balance.Backend{{ID: "a", Started: started}}}, map[string]string{"a": "x"})
	}
	list(1)
	l.SetLeaving("unlisted", true)
	l.SetLeaving("a", false)
	l.SetLeaving("a", true)
	l.SetLeaving("a", true)
	list(1)
	if got := states(); got != "a0 a1 a1 " {
		t.Errorf("states %q", got)
	}
	l.SetLeaving("a", false)
	l.SetLeaving("a", true)
	list(2)
	if got := states(); got != "a0 a1 a0 " {
		t.Errorf("states %q", got)
	}
	l.ApplyList(balance.List{Kind: balance.ListFull}, nil)
	if l.pool.Size() != 0 {
		t.Error("a backend that is no longer listed is kept")
	}
}

// permitBackend passes each attempt's permit to the test and returns the response that the test sends.
type permitBackend struct {
	unreachable
	permits chan *Permit
	results chan Response
}

func (a permitBackend) Exchange(_ context.Context, p *Permit, _ Target, _ any) Response {
	a.permits <- p
	return <-a.results
}

// loopWithWaitingAttempt returns a loop with one call whose only attempt waits to be written, the attempt's
// permit, and a function that lists the backend.
func loopWithWaitingAttempt(t *testing.T) (l *Loop, c *Call, p *Permit, list func(state balance.BackendState, addr string)) {
	l, c = newTestLoop(nil)
	backend := permitBackend{permits: make(chan *Permit, 1), results: make(chan Response, 1)}
	l.Backend = backend
	list = func(state balance.BackendState, addr string) {
		l.ApplyList(balance.List{Backends: []balance.Backend{{ID: "h0", State: state}}}, map[string]string{"h0": addr})
	}
	list(balance.Up, "x")
	l.Arrived(c)
	l.events = nil
	l.execute(balance.Send{Request: "d1", Backend: "h0"})
	t.Cleanup(func() { // the attempt's outcome still arrives
		backend.results <- Response{Result: balance.DroppedUnsent}
		(<-l.inbox)()
		if len(l.calls) != 0 && c.answered {
			t.Error("an ended call is kept")
		}
	})
	return l, c, <-backend.permits, list
}

// An attempt is not written once nobody waits for its answer (the client left, the call was answered, the
// deadline passed) or its backend is not to receive it (listed as draining, gone or at another address,
// manually excluded with or without its zone, or it announced that it leaves). The wait of an attempt that has not
// begun is interrupted.
func TestPermitIsRevoked(t *testing.T) {
	for name, act := range map[string]func(l *Loop, c *Call, list func(balance.BackendState, string)){
		"left":    func(l *Loop, c *Call, _ func(balance.BackendState, string)) { l.Left(c) },
		"refused": func(l *Loop, c *Call, _ func(balance.BackendState, string)) { l.execute(balance.Refuse{Request: "d1"}) },
		"failed":  func(l *Loop, c *Call, _ func(balance.BackendState, string)) { l.execute(balance.Fail{Request: "d1"}) },
		"overdue": func(l *Loop, c *Call, _ func(balance.BackendState, string)) {
			l.fireTimers(c.Deadline.Add(time.Second))
		},
		"drains":   func(_ *Loop, _ *Call, list func(balance.BackendState, string)) { list(balance.Draining, "x") },
		"gone":     func(_ *Loop, _ *Call, list func(balance.BackendState, string)) { list(balance.Gone, "") },
		"moved":    func(_ *Loop, _ *Call, list func(balance.BackendState, string)) { list(balance.Up, "y") },
		"excluded": func(l *Loop, _ *Call, _ func(balance.BackendState, string)) { l.Exclude("h0") },
		"zone out": func(l *Loop, _ *Call, _ func(balance.BackendState, string)) { l.ExcludeZone(0, true) },
		"leave":    func(l *Loop, _ *Call, _ func(balance.BackendState, string)) { l.SetLeaving("h0", true) },
		"adopted": func(l *Loop, _ *Call, _ func(balance.BackendState, string)) {
			l.ReplaceExcluded([]string{"h0"}, nil, nil)
		},
		"left out of a whole list": func(l *Loop, _ *Call, _ func(balance.BackendState, string)) {
			l.ApplyList(balance.List{Kind: balance.ListFull}, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, c, p, list := loopWithWaitingAttempt(t)
			interrupted := false
			if !p.BeginWait(func() { interrupted = true }) {
				t.Fatal("the permit was revoked from the start")
			}
			act(l, c, list)
			if !interrupted || p.BeginWrite(nil) {
				t.Errorf("wait interrupted: %v, may be written: %v", interrupted, p.BeginWrite(nil))
			}
		})
	}
}

// A list that changes nothing about a backend, or names only others, leaves its attempts alone.
func TestPermitSurvivesUnrelatedLists(t *testing.T) {
	l, _, p, list := loopWithWaitingAttempt(t)
	list(balance.Up, "x")
	l.ApplyList(balance.List{Backends: []balance.Backend{{ID: "h1", State: balance.Draining}}}, map[string]string{"h1": "z"})
	l.ApplyList(balance.List{Kind: balance.ListFailed}, nil)
	if !p.BeginWrite(nil) {
		t.Error("the attempt may not be written")
	}
}

// At the end of a planned stop, a call whose attempt has not been written is refused so that the client can
// retry; one whose attempt has been written fails.
func TestStopRefusesUnsentCalls(t *testing.T) {
	for _, written := range []bool{false, true} {
		l, c, p, _ := loopWithWaitingAttempt(t)
		l.SetStopDeadline(time.Now())
		want := Refused
		if written {
			p.BeginWrite(nil)
			p.EndWrite()
			want = Failed
		}
		l.fireTimers(time.Now().Add(time.Second))
		if a := <-c.Reply; a.Kind != want {
			t.Errorf("written %v: got %v", written, a.Kind)
		}
	}
}

// An attempt that is served revokes the permit of another attempt of the same call that still waits.
func TestServedCallRevokesItsOtherAttempt(t *testing.T) {
	l, c, p, _ := loopWithWaitingAttempt(t)
	l.Backend = unreachable{}
	l.execute(balance.Send{Request: "d1", Backend: "h0"})
	<-l.inbox // the test itself reports the end of the second attempt
	l.attemptEnded(c, 1, "h0", Response{Result: balance.OK})
	if p.BeginWrite(nil) {
		t.Error("the other attempt may be written")
	}
}

// The permit of a Send with a write deadline expires at exactly this time, to the nanosecond.
func TestSendWriteDeadline(t *testing.T) {
	for _, past := range []bool{true, false} {
		l, c := newTestLoop(nil)
		backend := permitBackend{permits: make(chan *Permit, 1), results: make(chan Response, 1)}
		l.Backend = backend
		l.ApplyList(balance.List{Backends: []balance.Backend{{ID: "h0"}}}, map[string]string{"h0": "x"})
		l.Arrived(c)
		by := time.Now().Add(time.Hour)
		if past {
			by = time.Now()
		}
		l.execute(balance.Send{Request: "d1", Backend: "h0", WriteBy: l.At(by)})
		p := <-backend.permits
		if !p.WriteDeadline().Equal(by) {
			t.Errorf("by %v, want %v", p.WriteDeadline(), by)
		}
		if got := p.BeginWrite(nil); got == past || p.Revoked() != past {
			t.Errorf("past %v: may begin %v, taken %v", past, got, p.Revoked())
		}
		backend.results <- Response{Result: balance.DroppedUnsent}
		(<-l.inbox)()
	}
}

// Reconfigure keeps its position between the events before and after it.
func TestReconfigureKeepsEventOrder(t *testing.T) {
	l, first := newTestLoop(nil)
	l.Arrived(first)
	next := &balance.Settings{AnswerGrace: 20 * time.Millisecond, MaxAttempts: 7}
	l.Reconfigure(next)
	l.Arrived(&Call{Event: balance.Request{ID: "d2"}, Deadline: time.Now().Add(time.Hour), Reply: make(chan Answer, 1)})
	var got []string
	for _, e := range l.events {
		switch e := e.(type) {
		case balance.Request:
			got = append(got, e.ID)
		case balance.Reconfigure:
			got = append(got, fmt.Sprint(e.Settings.MaxAttempts))
		}
	}
	if fmt.Sprint(got) != "[d1 7 d2]" || l.settings != next {
		t.Errorf("got %v, settings %+v", got, l.settings)
	}
}

// A call that arrives when its client has stopped waiting is refused at once: nobody has run it, and nothing else would end it
// but its failure.
func TestCallThatArrivesTooLateIsRefused(t *testing.T) {
	l, c := newTestLoop(nil)
	c.Deadline = time.Now()
	l.Arrived(c)
	if len(c.Reply) != 1 || (<-c.Reply).Kind != Refused || len(l.events) != 0 || len(l.timers) != 0 || len(l.calls) != 0 {
		t.Errorf("%d events, %d timers, %d calls", len(l.events), len(l.timers), len(l.calls))
	}
}

// The decision module is told apart what a client has left and how long its request has waited.
func TestWaitOfARequestIsPassedOn(t *testing.T) {
	l, c := newTestLoop(nil)
	c.Arrived = time.Now().Add(-time.Minute)
	c.Deadline = c.Arrived.Add(time.Hour)
	l.Arrived(c)
	if e := l.events[0].(balance.Request); e.Waited < time.Minute || e.TimeLeft+e.Waited != time.Hour {
		t.Errorf("left %v, waited %v", e.TimeLeft, e.Waited)
	}
}
