package balance

import (
	"testing"
	"time"
)

// A request that has waited to be read is no repeat because it has less time left than others, and its aim counts from when
// it arrived.
func TestWaitedRequestIsNoRepeat(t *testing.T) {
	s := Settings{Balancers: 1, MaxAttempts: 2, ConnectTimeout: time.Second, RampTime: time.Second, FallMultiple: 3, FallWindow: time.Second,
		Classes: []Class{{Aim: 300 * time.Millisecond, Deadline: 600 * time.Millisecond, Worth: 1}}}
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	const now, waited = time.Hour, 200 * time.Millisecond
	b.Step(now, []Event{List{Kind: ListFull, Backends: []Backend{{ID: "a", Weight: 1}}}, Request{ID: "read at once", TimeLeft: 600 * time.Millisecond},
		Request{ID: "waited", TimeLeft: 600*time.Millisecond - waited, Waited: waited}})
	r := b.requests["waited"]
	if r == nil || r.repeat || r.aimAt != now-waited+300*time.Millisecond || r.deadline != now-waited+600*time.Millisecond {
		t.Errorf("got %+v", r)
	}
}
