package core

import (
	"context"
	"testing"
	"time"

	"lemonrail/balance"
)

// writer is a backend that would write each attempt at once.
type writer struct {
	nobody
	begun chan bool
}

func (w writer) Exchange(_ context.Context, p *Permit, _ Target, _ any) Response {
	if !p.Begin(func() {}) {
		w.begun <- false
		return Response{Result: balance.Withdrawn}
	}
	w.begun <- true
	return Response{Result: balance.Errored}
}

// The client of a request has left, and the loop has not heard of it, as in a process that was stopped: the attempt is not
// written, the module hears of the leave before the attempt's end, and both the loop and the front have done with the call.
func TestLeaveThatTheLoopHasNotHeardOf(t *testing.T) {
	for _, left := range []bool{false, true} {
		l, c := bare(nil)
		w := writer{begun: make(chan bool, 1)}
		l.Backend = w
		c.HungUp = func() bool { return left }
		l.Listed(balance.List{Kind: balance.ListFull, Backends: []balance.Backend{{ID: "h0"}}}, map[string]string{"h0": "x"})
		l.Arrived(c)
		l.events = nil
		l.do(balance.Send{Request: "d1", Backend: "h0"})
		(<-l.inbox)()
		if begun := <-w.begun; begun == left {
			t.Errorf("left %v: begun %v", left, begun)
		}
		if !left {
			if o, ok := l.events[0].(balance.Outcome); !ok || o.Done || len(c.Reply) != 0 {
				t.Errorf("a client that stays: got %+v, %d answers", l.events, len(c.Reply))
			}
			continue
		}
		if len(l.events) != 2 || l.events[0] != (balance.Abandoned{Request: "d1"}) {
			t.Fatalf("got %+v", l.events)
		}
		if o, ok := l.events[1].(balance.Outcome); !ok || o.Result != balance.Withdrawn || !o.Done {
			t.Errorf("got %+v", l.events[1])
		}
		if a := <-c.Reply; a.Kind != Abandoned || len(l.calls) != 0 {
			t.Errorf("got %+v, %d calls in hand", a, len(l.calls))
		}
		l.Left(c) // the front sees it as well
		if len(l.events) != 2 || len(c.Reply) != 0 {
			t.Errorf("told twice: %+v, %d answers", l.events, len(c.Reply))
		}
	}
}

// A permit that was taken back for another reason does not say that the client has left, and one that has begun asks no more.
func TestPermitAsksForTheClientOnce(t *testing.T) {
	asked := 0
	p := NewPermit(time.Time{}).Unless(func() bool { asked++; return asked > 1 })
	if !p.Await(func() {}) || !p.Begin(func() {}) || asked != 1 {
		t.Errorf("asked %d times", asked)
	}
	if p.Whole(); p.Taken() || p.ClientLeft() {
		t.Error("taken back")
	}
	p = NewPermit(time.Time{}).Unless(func() bool { return true })
	p.Withdraw()
	if p.Begin(func() {}) || p.ClientLeft() {
		t.Error("a permit withdrawn for its backend says that the client has left")
	}
}
