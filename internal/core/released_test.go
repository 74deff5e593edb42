package core

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"
	"weak"

	"lemonrail/balance"
)

// request is what a call of these tests holds for its backends.
type request [1 << 20]byte

// bodies tracks which of the requests that it makes are still referred to.
type bodies []weak.Pointer[request]

func (b *bodies) make() *request {
	r := &request{}
	*b = append(*b, weak.Make(r))
	return r
}

// held returns the number of requests that the heap still holds after a collection.
func (b bodies) held() (n int) {
	runtime.GC()
	for _, p := range b {
		if p.Value() != nil {
			n++
		}
	}
	return n
}

// hangingBackend takes requests and answers when it is released.
type hangingBackend struct {
	unreachable
	taken   chan struct{}
	release chan struct{}
}

func (b *hangingBackend) Exchange(_ context.Context, p *Permit, _ Target, _ any) Response {
	p.BeginWrite(nil)
	p.EndWrite()
	b.taken <- struct{}{}
	<-b.release
	return Response{Result: balance.OK}
}

// Guards against memory that grows until the process is killed: a finished call's body was held until its client would have
// stopped waiting. Here calls are answered, and some of their clients leave, long before that.
func TestFinishedCallsReleaseTheirBodies(t *testing.T) {
	const calls = 20
	l, _ := newTestLoop(nil)
	var made bodies
	for i := range calls {
		c := &Call{Event: balance.Request{ID: fmt.Sprint(i)}, Request: made.make(), Deadline: time.Now().Add(time.Hour), Reply: make(chan Answer, 1)}
		l.Arrived(c)
		if i%2 == 0 {
			l.answer(c, Answer{Kind: Served})
		} else {
			l.Left(c)
		}
	}
	l.events = nil
	if n := made.held(); n != 0 {
		t.Errorf("the bodies of %d of %d finished calls are held", n, calls)
	}
	if len(l.timers) != 0 || len(l.calls) != 0 {
		t.Errorf("%d timers and %d calls are left", len(l.timers), len(l.calls))
	}
	runtime.KeepAlive(l)
}

// Guards against a body that is held by an attempt which nobody waits for any more: the call was answered by another
// attempt, and this one's backend hangs.
func TestAnsweredCallWithAHangingAttemptReleasesItsBody(t *testing.T) {
	l, c := newTestLoop(nil)
	b := &hangingBackend{taken: make(chan struct{}), release: make(chan struct{})}
	l.Backend = b
	l.addrs["h0"] = "127.0.0.1:1"
	var made bodies
	c.Request = made.make()
	l.Arrived(c)
	l.execute(balance.Send{Request: c.Event.ID, Backend: "h0"})
	<-b.taken
	if n := made.held(); n != 1 {
		t.Errorf("an open call holds %d bodies, want its own", n)
	}
	l.answer(c, Answer{Kind: Served})
	if n := made.held(); n != 0 {
		t.Error("the body of an answered call is held by its attempt")
	}
	close(b.release)
	(<-l.inbox)()
	if len(l.calls) != 0 {
		t.Errorf("%d calls are left", len(l.calls))
	}
}

// A call has one timer at a time, also if its deadline is set anew for a planned stop.
func TestStopDeadlineMovesTheTimerOfACall(t *testing.T) {
	l, c := newTestLoop(nil)
	l.Arrived(c)
	by := time.Now().Add(time.Minute)
	l.SetStopDeadline(by)
	if len(l.timers) != 1 || !l.timers[0].at.Equal(by) {
		t.Fatalf("%d timers, the first at %v, want one at %v", len(l.timers), l.timers[0].at, by)
	}
	l.fireTimers(by)
	if a := <-c.Reply; a.Kind != Refused || len(l.timers) != 0 {
		t.Errorf("answered %v, %d timers left", a.Kind, len(l.timers))
	}
}
