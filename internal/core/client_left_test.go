package core

import (
	"context"
	"testing"
	"time"

	"lemonrail/balance"
)

// writingBackend writes each attempt at once, if its permit allows it, and reports in began whether it did.
type writingBackend struct {
	unreachable
	began chan bool
}

func (w writingBackend) Exchange(_ context.Context, p *Permit, _ Target, _ any) Response {
	if !p.BeginWrite(func() {}) {
		w.began <- false
		return Response{Result: balance.DroppedUnsent}
	}
	w.began <- true
	return Response{Result: balance.Errored}
}

// Guards against an attempt that is written although the client has left, when the loop does not know of it
// yet, as in a process that was stopped: the attempt is not written, the decision module gets Abandoned before the
// attempt's outcome, and the loop and the front are both done with the call.
func TestClientLeftBeforeTheLoopKnows(t *testing.T) {
	for _, left := range []bool{false, true} {
		l, c := newTestLoop(nil)
		w := writingBackend{began: make(chan bool, 1)}
		l.Backend = w
		c.HasClientLeft = func() bool { return left }
		l.ApplyList(balance.List{Kind: balance.ListFull, Backends: []balance.Backend{{ID: "h0"}}}, map[string]string{"h0": "x"})
		l.Arrived(c)
		l.events = nil
		l.execute(balance.Send{Request: "d1", Backend: "h0"})
		(<-l.inbox)()
		if began := <-w.began; began == left {
			t.Errorf("client left %v: writing began %v", left, began)
		}
		if !left {
			if o, ok := l.events[0].(balance.Outcome); !ok || o.Done || len(c.Reply) != 0 {
				t.Errorf("client still connected: got %+v, %d answers", l.events, len(c.Reply))
			}
			continue
		}
		if len(l.events) != 2 || l.events[0] != (balance.Abandoned{Request: "d1"}) {
			t.Fatalf("got %+v", l.events)
		}
		if o, ok := l.events[1].(balance.Outcome); !ok || o.Result != balance.DroppedUnsent || !o.Done {
			t.Errorf("got %+v", l.events[1])
		}
		if a := <-c.Reply; a.Kind != Abandoned || len(l.calls) != 0 {
			t.Errorf("got %+v, %d open calls", a, len(l.calls))
		}
		l.Left(c) // the front notices as well
		if len(l.events) != 2 || len(c.Reply) != 0 {
			t.Errorf("reported twice: %+v, %d answers", l.events, len(c.Reply))
		}
	}
}

// A permit that was revoked for another reason does not report that the client has left, and one whose
// attempt has begun does not check for the client again.
func TestPermitChecksForTheClientOnce(t *testing.T) {
	checks := 0
	p := NewPermit(time.Time{}).RevokeIf(func() bool { checks++; return checks > 1 })
	if !p.BeginWait(func() {}) || !p.BeginWrite(func() {}) || checks != 1 {
		t.Errorf("checked %d times", checks)
	}
	if p.EndWrite(); p.Revoked() || p.ClientLeft() {
		t.Error("the permit is revoked")
	}
	p = NewPermit(time.Time{}).RevokeIf(func() bool { return true })
	p.Withdraw()
	if p.BeginWrite(func() {}) || p.ClientLeft() {
		t.Error("a permit withdrawn for its backend says that the client has left")
	}
}
