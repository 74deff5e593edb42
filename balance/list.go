package balance

import (
	"math"
	"slices"
	"time"
)

// onList applies the list, or its failure, and drops backends that are gone and have no attempts in flight.
func (b *Balancer) onList(e List) {
	if e.Kind == ListFailed {
		if !b.settings.Subscribe {
			return
		}
		// Tries again after an exponential, fully jittered wait.
		b.subscribeFailures++
		b.scheduleSubscribe(min(b.subscribeFailures, 4), e.RetryWithin)
		return
	}
	if e.Kind == ListCached && b.settings.Subscribe {
		b.scheduleSubscribe(0, 0)
	} else {
		b.subscribeFailures = 0
	}
	full := e.Kind != ListDelta
	listed := map[string]bool{}
	for _, n := range e.Backends {
		listed[n.ID] = true
		t := b.byID[n.ID]
		if t == nil {
			t = &backend{Backend: n, hash: hashString(n.ID)}
			b.byID[n.ID] = t
			b.backends = append(b.backends, t)
			if n.Started > 0 {
				t.markStarted(n.Started, b.now)
			}
			continue
		}
		if n.Started > t.Started {
			t.markStarted(max(n.Started, t.startedAt), b.now)
			t.strikes, t.ejectedUntil, t.down, t.connectFailed = 0, 0, false, false
		}
		t.Backend = n
	}
	b.backends = slices.DeleteFunc(b.backends, func(t *backend) bool {
		if full && !listed[t.ID] {
			t.State = Gone
		}
		forget := t.State == Gone && len(t.inFlight) == 0 // bounds the state to backends listed or in use
		if forget {
			delete(b.byID, t.ID)
		}
		return forget
	})
}

// scheduleSubscribe sets a timer for a Subscribe after an exponential, fully jittered wait. The wait grows
// with the fleet, since all agents may start or fail at once: calls beyond a service's capacity queue there
// until they fail, and so do the calls after them. May harm if discovery has room for all. A within above 0
// bounds the wait.
func (b *Balancer) scheduleSubscribe(fails int, within time.Duration) {
	unit := subscribeWaitUnit * max(1, float64(b.settings.Balancers)/subscribeUnitAgents)
	wait := min(unit*math.Exp2(float64(fails)), 1) * float64(b.settings.AskWithin)
	if within > 0 { // changes that a broken watch has missed must be fetched in this time
		wait = min(wait, float64(within))
	}
	b.subscribeTimer = b.setTimer(time.Duration(b.rng.Float64() * wait))
}
