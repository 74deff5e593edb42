package balance

import (
	"math"
	"time"
)

// markStarted records at time now that t's process started at the given time: t is cold, and what was learned
// about the speed, the errors and the keys of the process before it is dropped.
func (t *backend) markStarted(at, now time.Duration) {
	t.startedAt, t.cold, t.answered, t.slowRatio, t.samples = at, true, false, 0, 0
	t.coldWork, t.coldRequests, t.coldBudgetAt, t.errorShare, t.keys = 0, 0, now, 0, nil
}

// warmth returns the share of its full capacity that t has by now at least; 1 once it is warm.
func (b *Balancer) warmth(t *backend) float64 {
	if !t.cold {
		return 1
	}
	age := b.now - t.startedAt
	if age >= b.settings.RampTime {
		t.cold = false
		return 1
	}
	return b.settings.ColdShare + (1-b.settings.ColdShare)*max(0, float64(age)/float64(b.settings.RampTime))
}

// coldBudgetAllows reports whether a cold backend may get r. Each agent sends it no more work than a warm
// backend serves for this agent, times the warmth, times the square root of Settings.FallMultiple. The work
// from all agents together then exceeds the capacity that is certain, the warmth, by that square root, and
// stays as far below the multiple at which the backend fails: most backends have more capacity than is
// certain, and under overload it is needed.
func (b *Balancer) coldBudgetAllows(t *backend, r *request) bool {
	warmth := b.warmth(t)
	if !t.cold {
		return true
	}
	cost := b.expectedLatency(r)
	mean := b.classes[r.class].meanLatency
	rate := b.decayServedWork() / float64(b.settings.FallWindow+1) / float64(max(b.warm, 1))
	if b.warm == 0 { // no warm backend to measure by, and a fleet that starts as a whole must get some work
		rate = max(rate, coldFleetLoad/float64(b.maxBalancers))
	}
	// The budget counts requests too: after a class's latency has fallen, a budget in work that was measured
	// by heavier requests would admit a rush of light ones.
	count := rate / mean
	if b.warm > 0 {
		count = b.servedCount / float64(b.settings.FallWindow+1) / float64(b.warm)
	}
	share := warmth * math.Sqrt(max(1, b.settings.FallMultiple)) * float64(b.now-t.coldBudgetAt)
	t.coldWork, t.coldRequests = min(t.coldWork+share*rate, mean), min(t.coldRequests+share*count, 1)
	t.coldBudgetAt = b.now
	return t.coldWork > 0 && t.coldRequests >= minColdRequests && cost <= maxColdCost*mean
}

// decayServedWork lets servedWork and servedCount decay up to now, over about one fall window, and returns
// servedWork.
func (b *Balancer) decayServedWork() float64 {
	fade := math.Exp(-float64(b.now-b.servedDecayedAt) / float64(b.settings.FallWindow+1))
	b.servedWork *= fade
	b.servedCount *= fade
	b.servedDecayedAt = b.now
	return b.servedWork
}
