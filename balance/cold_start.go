package balance

import (
	"math"
	"time"
)

// start notes that a backend's process started at a time learned now.
func (t *backend) start(at, now time.Duration) {
	t.warmFrom, t.cold, t.seen, t.slow, t.samples = at, true, false, 0, 0
	t.budget, t.turns, t.budgetAt, t.errors, t.keys = 0, 0, now, 0, nil
}

// warmth is the share of its full capacity that a backend surely has by now.
func (b *Balancer) warmth(t *backend) float64 {
	if !t.cold {
		return 1
	}
	age := b.now - t.warmFrom
	if age >= b.s.RampTime {
		t.cold = false
		return 1
	}
	return b.s.ColdShare + (1-b.s.ColdShare)*max(0, float64(age)/float64(b.s.RampTime))
}

// coldRoom reports whether a cold backend may get this request: each agent sends it
// no more work than what a warm one serves for it, times warmth, times the root of the
// stated multiple. All together then stay as far below the multiple as they may be above
// the sure capacity: most backends have more than that, and under overload it is needed.
func (b *Balancer) coldRoom(t *backend, r *request) bool {
	w := b.warmth(t)
	if !t.cold {
		return true
	}
	cost := b.expected(r)
	mean := b.classes[r.class].latency
	rate := b.decayed() / float64(b.s.FallWindow+1) / float64(max(b.warm, 1))
	if b.warm == 0 { // nothing to measure by: a whole fleet that starts must not wait to be warm
		rate = max(rate, coldTrickle/float64(b.possible))
	}
	// In requests too: where a class's latency has fallen, the work that heavier ones were measured by
	// would buy a rush of light ones.
	count := rate / mean
	if b.warm > 0 {
		count = b.doneCount / float64(b.s.FallWindow+1) / float64(b.warm)
	}
	share := w * math.Sqrt(max(1, b.s.FallMultiple)) * float64(b.now-t.budgetAt)
	t.budget, t.turns = min(t.budget+share*rate, mean), min(t.turns+share*count, 1)
	t.budgetAt = b.now
	return t.budget > 0 && t.turns >= turnSaved && cost <= heavy*mean
}

// decayed is the work lately served by warm backends, over about one fall window.
func (b *Balancer) decayed() float64 {
	fade := math.Exp(-float64(b.now-b.doneAt) / float64(b.s.FallWindow+1))
	b.doneWork *= fade
	b.doneCount *= fade
	b.doneAt = b.now
	return b.doneWork
}
