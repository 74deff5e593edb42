package balance

import (
	"slices"
	"time"
)

// hold lets a request wait for room; one that finds some leaves in the same step.
func (b *Balancer) hold(r *request) {
	r.holding, r.left, r.home = true, 1, nil // a home says where to go, not what is known
	for _, t := range b.backends {
		if t.State == Up {
			r.left = min(r.left, b.left(t, r))
		}
	}
	b.held = append(b.held, r)
}

func (b *Balancer) unhold(r *request) {
	r.holding = false
	b.held = without(b.held, r)
}

// releaseHeld sends what is held while there is room: first tries before clients'
// repeats, the most valuable class first, within it the newest, which has the most
// time left. Waiting here costs the backends nothing; it ends when an answer within
// the aim is out of reach.
func (b *Balancer) releaseHeld() {
	if len(b.held) == 0 {
		return
	}
	for b.room() {
		best, value := -1, 0.0
		for i, r := range b.held {
			if r.passed {
				continue
			}
			v := b.value(r) / r.left
			if r.repeat {
				v *= repeatValue
			}
			if r.aim-b.now < time.Duration(b.expected(r)/2) {
				v *= r.terms.LateWorth
			}
			if best < 0 || v >= value {
				best, value = i, v
			}
		}
		if best < 0 {
			break
		}
		r := b.held[best]
		if t := b.pick(r); t != nil {
			b.unhold(r)
			b.send(r, t)
		} else {
			r.passed = true
		}
	}
	full := !b.room()
	// What the plan gives up still takes room that nobody else waits for.
	behind := slices.ContainsFunc(b.held, func(r *request) bool { return !r.spill })
	for i := len(b.held) - 1; i >= 0; i-- {
		r := b.held[i]
		need := min(holdMargin*b.expected(r), holdAtMost*float64(r.terms.Aim))
		give := min(r.aim, r.deadline) - time.Duration(need)
		r.passed = false
		if spilt := full && behind && r.spill; spilt || give <= b.now {
			b.unhold(r)
			why := NoBackend
			if spilt {
				why = SiteLost
			} else if full && r.repeat {
				why = RepeatNoRoom
			} else if full {
				why = TooLate
			}
			b.finish(r, why)
		} else if r.timer == 0 {
			b.timer(r, give)
		}
	}
	if wait := b.spare / -b.part(); len(b.held) > 0 && b.inFlight == b.stuck && wait > 0 && b.roomToken == 0 {
		b.roomToken = b.alarm(time.Duration(wait) + 1)
	}
}

// value is what a unit of backend time spent on a request adds to the operator's goal.
func (b *Balancer) value(r *request) float64 {
	if b.s.ByWork {
		return r.terms.Worth
	}
	return r.terms.Worth / b.classes[r.class].latency
}

func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
