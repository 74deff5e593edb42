package balance

import (
	"math"
	"slices"
	"time"
)

func (b *Balancer) onList(e List) {
	if e.Kind == ListFailed {
		if !b.s.Subscribe {
			return
		}
		// Asked again after an exponential, fully jittered wait.
		b.askFails++
		b.ask(min(b.askFails, 4), e.Within)
		return
	}
	if e.Kind == ListCached && b.s.Subscribe {
		b.ask(0, 0)
	} else {
		b.askFails = 0
	}
	full := e.Kind != ListDelta
	listed := map[string]bool{}
	for _, n := range e.Backends {
		listed[n.ID] = true
		t := b.byID[n.ID]
		if t == nil {
			t = &backend{Backend: n, hash: hashed(n.ID)}
			b.byID[n.ID] = t
			b.backends = append(b.backends, t)
			if n.Started > 0 {
				t.start(n.Started, b.now)
			}
			continue
		}
		if n.Started > t.Started {
			t.start(max(n.Started, t.warmFrom), b.now)
			t.strikes, t.ejected, t.down, t.refused = 0, 0, false, false
		}
		t.Backend = n
	}
	b.backends = slices.DeleteFunc(b.backends, func(t *backend) bool {
		if full && !listed[t.ID] {
			t.State = Gone
		}
		forget := t.State == Gone && len(t.out) == 0 // state stays bounded by what is listed or out
		if forget {
			delete(b.byID, t.ID)
		}
		return forget
	})
}

// ask asks for the list after an exponential, fully jittered wait. Departure: it grows with the fleet,
// since all agents may start, or fail, at once: calls that a service can't keep up with wait there until
// they fail, and those that come after them too. May harm where discovery has room for all.
func (b *Balancer) ask(fails int, within time.Duration) {
	unit := askUnit * max(1, float64(b.s.Balancers)/askFleet)
	wait := min(unit*math.Exp2(float64(fails)), 1) * float64(b.s.AskWithin)
	if within > 0 { // what has been missed counts as told soon
		wait = min(wait, float64(within))
	}
	b.askToken = b.alarm(time.Duration(b.rng.Float64() * wait))
}
