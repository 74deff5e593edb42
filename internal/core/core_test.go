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

func (nobody) Exchange(context.Context, Target, any) Response {
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
		c.attempts = []*attempt{{sent: time.Now(), cancel: func() {}}}
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
