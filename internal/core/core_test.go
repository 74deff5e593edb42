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

// nobody is a backend that can't be reached.
type nobody struct{}

func (nobody) Exchange(context.Context, *Permit, Target, any) Response {
	return Response{Result: balance.ConnectFailed}
}
func (nobody) Probe(Target) Response  { return Response{Result: balance.ConnectFailed} }
func (nobody) Keep(func(Target) bool) {}

// bare is a loop that no goroutine runs: the test says what happens, and when.
func bare(bal Decider) (*Loop, *Call) {
	l := New(bal, &balance.Settings{AnswerGrace: 20 * time.Millisecond}, slog.New(slog.DiscardHandler))
	l.Backend = nobody{}
	c := &Call{Event: balance.Request{ID: "d1"}, Deadline: time.Now().Add(time.Hour), Reply: make(chan Answer, 1)}
	return l, c
}

// An answer that arrives together with the time-out of the same call: the first to be taken
// counts, and neither the client nor the module gets two ends.
func TestAnswerArrivesWithTimeOut(t *testing.T) {
	for _, served := range []bool{true, false} {
		l, c := bare(nil)
		l.Arrived(c)
		c.attempts = []*attempt{{sent: time.Now(), cancel: func() {}, permit: &Permit{}}}
		c.open = 1
		answered := func() { l.ended(c, 0, "h0", Response{Result: balance.OK, Payload: "hello"}) }
		overdue := func() { l.due(c.Deadline.Add(time.Second)) }
		want := Served
		if served {
			answered()
			overdue()
		} else {
			overdue()
			answered()
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
			t.Errorf("%d answers more, %d outcomes, %d calls in hand", len(c.Reply), outcomes, len(l.calls))
		}
	}
}

// Whatever the module sends has one outcome, even for a call that has ended or a backend that
// no list has named.
func TestEverySendHasAnOutcome(t *testing.T) {
	l, c := bare(nil)
	l.Arrived(c)
	l.events = nil
	l.do(balance.Send{Request: "d1", Backend: "unheard of"})
	l.do(balance.Fail{Request: "d1"})
	l.do(balance.Send{Request: "d1", Backend: "h0"})
	if len(l.events) != 2 {
		t.Fatalf("got %v", l.events)
	}
	for i, e := range l.events {
		if o := e.(balance.Outcome); o.Result != balance.NotSent || o.Done != (i == 1) {
			t.Errorf("got %+v", o)
		}
	}
}

func TestPastIsBounded(t *testing.T) {
	p := newPast()
	for i := range 3 * pastCalls {
		p.add(fmt.Sprint(i))
	}
	if len(p.ids) != pastCalls || !p.has(fmt.Sprint(3*pastCalls-1)) || p.has("0") {
		t.Errorf("%d ids", len(p.ids))
	}
}

// A server that takes leave drains at once, though the list says that it is up; it is used again once it is
// back, or once the list knows of another start.
func TestLeave(t *testing.T) {
	l, _ := bare(nil)
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
		l.Listed(balance.List{Kind: balance.ListFull, Backends: []balance.Backend{{ID: "a", Started: started}}}, map[string]string{"a": "x"})
	}
	list(1)
	l.Leaves("unheard of", true)
	l.Leaves("a", false)
	l.Leaves("a", true)
	l.Leaves("a", true)
	list(1)
	if got := states(); got != "a0 a1 a1 " {
		t.Errorf("states %q", got)
	}
	l.Leaves("a", false)
	l.Leaves("a", true)
	list(2)
	if got := states(); got != "a0 a1 a0 " {
		t.Errorf("states %q", got)
	}
	l.Listed(balance.List{Kind: balance.ListFull}, nil)
	if l.pool.Size() != 0 {
		t.Error("what the list no longer names is kept")
	}
}

// asking is a backend that shows each attempt's permit and ends with what the test says.
type asking struct {
	nobody
	permits chan *Permit
	results chan Response
}

func (a asking) Exchange(_ context.Context, p *Permit, _ Target, _ any) Response {
	a.permits <- p
	return <-a.results
}

// waits is a loop with one call, which has one attempt out that waits to be written; list is as discovery has it.
func waits(t *testing.T) (l *Loop, c *Call, p *Permit, list func(state balance.BackendState, addr string)) {
	l, c = bare(nil)
	back := asking{permits: make(chan *Permit, 1), results: make(chan Response, 1)}
	l.Backend = back
	list = func(state balance.BackendState, addr string) {
		l.Listed(balance.List{Backends: []balance.Backend{{ID: "h0", State: state}}}, map[string]string{"h0": addr})
	}
	list(balance.Up, "x")
	l.Arrived(c)
	l.events = nil
	l.do(balance.Send{Request: "d1", Backend: "h0"})
	t.Cleanup(func() { // its outcome comes all the same
		back.results <- Response{Result: balance.Withdrawn}
		(<-l.inbox)()
		if len(l.calls) != 0 && c.answered {
			t.Error("a call that has ended is kept")
		}
	})
	return l, c, <-back.permits, list
}

// What nobody waits for any more is not written: the client has left, the call has its answer, the stop's time is
// up. What a backend wants no more isn't either: the list says that it drains or has gone or is elsewhere, staff
// took it or its zone out, it took leave. The permit is asked for once by what has not begun.
func TestPermitIsTakenBack(t *testing.T) {
	for name, happens := range map[string]func(l *Loop, c *Call, list func(balance.BackendState, string)){
		"left":     func(l *Loop, c *Call, _ func(balance.BackendState, string)) { l.Left(c) },
		"refused":  func(l *Loop, c *Call, _ func(balance.BackendState, string)) { l.do(balance.Refuse{Request: "d1"}) },
		"failed":   func(l *Loop, c *Call, _ func(balance.BackendState, string)) { l.do(balance.Fail{Request: "d1"}) },
		"overdue":  func(l *Loop, c *Call, _ func(balance.BackendState, string)) { l.due(c.Deadline.Add(time.Second)) },
		"drains":   func(_ *Loop, _ *Call, list func(balance.BackendState, string)) { list(balance.Draining, "x") },
		"gone":     func(_ *Loop, _ *Call, list func(balance.BackendState, string)) { list(balance.Gone, "") },
		"moved":    func(_ *Loop, _ *Call, list func(balance.BackendState, string)) { list(balance.Up, "y") },
		"excluded": func(l *Loop, _ *Call, _ func(balance.BackendState, string)) { l.Exclude("h0") },
		"zone out": func(l *Loop, _ *Call, _ func(balance.BackendState, string)) { l.ExcludeZone(0, true) },
		"leave":    func(l *Loop, _ *Call, _ func(balance.BackendState, string)) { l.Leaves("h0", true) },
		"adopted":  func(l *Loop, _ *Call, _ func(balance.BackendState, string)) { l.Adopt([]string{"h0"}, nil, nil) },
		"left out of a whole list": func(l *Loop, _ *Call, _ func(balance.BackendState, string)) {
			l.Listed(balance.List{Kind: balance.ListFull}, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, c, p, list := waits(t)
			ended := false
			if !p.Await(func() { ended = true }) {
				t.Fatal("no permit at first")
			}
			happens(l, c, list)
			if !ended || p.Begin(nil) {
				t.Errorf("its wait has ended: %v; it may be written: %v", ended, p.Begin(nil))
			}
		})
	}
}

// A list that says nothing new of a backend, or of others only, leaves its attempts alone.
func TestPermitStays(t *testing.T) {
	l, _, p, list := waits(t)
	list(balance.Up, "x")
	l.Listed(balance.List{Backends: []balance.Backend{{ID: "h1", State: balance.Draining}}}, map[string]string{"h1": "z"})
	l.Listed(balance.List{Kind: balance.ListFailed}, nil)
	if !p.Begin(nil) {
		t.Error("it may not be written")
	}
}

// At the end of a planned stop what has not been written is refused, so that it may be tried anew; what has been
// is failed.
func TestStopRefusesWhatIsUnsent(t *testing.T) {
	for _, written := range []bool{false, true} {
		l, c, p, _ := waits(t)
		l.Stopping(time.Now())
		want := Refused
		if written {
			p.Begin(nil)
			p.Whole()
			want = Failed
		}
		l.due(time.Now().Add(time.Second))
		if a := <-c.Reply; a.Kind != want {
			t.Errorf("written %v: got %v", written, a.Kind)
		}
	}
}

// The served answer of one copy takes the permit of another that waits.
func TestCopyIsTakenBack(t *testing.T) {
	l, c, p, _ := waits(t)
	l.Backend = nobody{}
	l.do(balance.Send{Request: "d1", Backend: "h0"})
	<-l.inbox // how the second ended is told by the test
	l.ended(c, 1, "h0", Response{Result: balance.OK})
	if p.Begin(nil) {
		t.Error("the other copy may be written")
	}
}

// A Send that may not be written later than a time has a permit that ends with it, to the nanosecond.
func TestSendBy(t *testing.T) {
	for _, past := range []bool{true, false} {
		l, c := bare(nil)
		back := asking{permits: make(chan *Permit, 1), results: make(chan Response, 1)}
		l.Backend = back
		l.Listed(balance.List{Backends: []balance.Backend{{ID: "h0"}}}, map[string]string{"h0": "x"})
		l.Arrived(c)
		by := time.Now().Add(time.Hour)
		if past {
			by = time.Now()
		}
		l.do(balance.Send{Request: "d1", Backend: "h0", By: l.At(by)})
		p := <-back.permits
		if !p.By().Equal(by) {
			t.Errorf("by %v, want %v", p.By(), by)
		}
		if got := p.Begin(nil); got == past || p.Taken() != past {
			t.Errorf("past %v: may begin %v, taken %v", past, got, p.Taken())
		}
		back.results <- Response{Result: balance.Withdrawn}
		(<-l.inbox)()
	}
}

// A change takes its place among what the module is told, between what came before it and what comes after.
func TestReconfigureKeepsItsPlace(t *testing.T) {
	l, first := bare(nil)
	l.Arrived(first)
	next := &balance.Settings{AnswerGrace: 20 * time.Millisecond, MaxAttempts: 7}
	l.Reconfigure(next)
	l.Arrived(&Call{Event: balance.Request{ID: "d2"}, Deadline: time.Now().Add(time.Hour), Reply: make(chan Answer, 1)})
	var told []string
	for _, e := range l.events {
		switch e := e.(type) {
		case balance.Request:
			told = append(told, e.ID)
		case balance.Reconfigure:
			told = append(told, fmt.Sprint(e.Settings.MaxAttempts))
		}
	}
	if fmt.Sprint(told) != "[d1 7 d2]" || l.s != next {
		t.Errorf("told %v, settings %+v", told, l.s)
	}
}
