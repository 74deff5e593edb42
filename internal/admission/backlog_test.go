package admission

import (
	"testing"
	"time"
)

// Guards against answers that come seconds after their time since their connections waited in the listener's queue: while places
// become free one by one under a crowd, the queue moves on by refusals as well, not only as fast as places become free.
func TestQueueMovesOnWhilePlacesTrickle(t *testing.T) {
	const places, queued, freedEvery = 4, 100, 200 * ms
	h := newGovernorHarness(t, Config{MaxConnections: places, MaxRefusals: 8, AdmitTimeout: 250 * ms, NewGrace: time.Hour, StallTimeout: time.Hour, MinIdle: time.Hour})
	var open []*Entry
	for range places {
		e := h.governor.Open(0, nil)
		h.governor.BytesArrived(e, 0)
		open = append(open, e)
	}
	now, nextFree, refused := time.Duration(0), freedEvery, 0
	for range queued {
		for {
			if now >= nextFree {
				h.governor.DescriptorFreed(open[0], now)
				open, nextFree = open[1:], nextFree+freedEvery
			}
			d := h.governor.Decide(now)
			if d.Admit {
				e := h.governor.Open(now, nil)
				h.governor.BytesArrived(e, now)
				open = append(open, e)
				break
			}
			if d.Refuse {
				h.governor.BeginRefusal()
				h.governor.EndRefusal()
				refused++
				break
			}
			now = min(now+d.Wait, max(nextFree, now+ms))
		}
	}
	if now > time.Second {
		t.Errorf("the last of %d connections was decided after %v, %d were refused", queued, now, refused)
	}
}

// Guards against a queue that moves on by one connection in 250 ms: while a connection takes long to close, only the first new
// one waits for its place, and the others are refused at once.
func TestQueueDoesNotWaitAnewForAClosingConnection(t *testing.T) {
	h := newGovernorHarness(t, Config{MaxConnections: 1, MaxRefusals: 8, AdmitTimeout: 250 * ms, NewGrace: time.Hour, StallTimeout: time.Hour, MinIdle: time.Hour})
	h.governor.Close(h.governor.Open(0, nil), 0) // its descriptor stays open
	if d := h.governor.Decide(0); d.Admit || d.Refuse || d.Wait != 250*ms {
		t.Fatalf("the first connection: %+v", d)
	}
	for n := range 5 {
		d := h.governor.Decide(250 * ms)
		if !d.Refuse {
			t.Fatalf("connection %d: %+v", n, d)
		}
		h.governor.BeginRefusal()
	}
}
