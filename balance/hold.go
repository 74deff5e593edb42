package balance

import (
	"slices"
	"time"
)

// hold queues a request until there is room within the limit on attempts in flight. If there is room now,
// releaseHeld sends it in the same step.
func (b *Balancer) hold(r *request) {
	// The home of a key is left out: it is where to send the key, not where the key is known.
	r.held, r.minWorkLeft, r.keyHome = true, 1, nil
	for _, t := range b.backends {
		if t.State == Up {
			r.minWorkLeft = min(r.minWorkLeft, b.workLeft(t, r))
		}
	}
	b.held = append(b.held, r)
}

// removeHeld takes a request out of the queue of held requests.
func (b *Balancer) removeHeld(r *request) {
	r.held = false
	b.held = removeFirst(b.held, r)
}

// releaseHeld sends held requests while the limit on attempts in flight leaves room: first tries before
// clients' repeats, the most valuable class first, and within a class the newest request, which has the most
// time left. Waiting here costs the backends nothing; a request is refused once an answer within its aim is
// out of reach.
func (b *Balancer) releaseHeld() {
	if len(b.held) == 0 {
		return
	}
	for b.hasRoom() {
		best, value := -1, 0.0
		for i, r := range b.held {
			if r.unplaced {
				continue
			}
			v := b.valuePerTime(r) / r.minWorkLeft
			if r.repeat {
				v *= repeatValue
			}
			if r.aimAt-b.now < time.Duration(b.expectedLatency(r)/2) {
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
			b.removeHeld(r)
			b.send(r, t)
		} else {
			r.unplaced = true
		}
	}
	atLimit := !b.hasRoom()
	// Requests that aren't admitted are refused only if admitted ones wait for the same room.
	admittedWaits := slices.ContainsFunc(b.held, func(r *request) bool { return !r.shedWithoutRoom })
	for i := len(b.held) - 1; i >= 0; i-- {
		r := b.held[i]
		margin := min(holdMarginLatencies*b.expectedLatency(r), maxHoldMarginAims*float64(r.terms.Aim))
		giveUpAt := min(r.aimAt, r.deadline) - time.Duration(margin)
		r.unplaced = false
		if notAdmitted := atLimit && admittedWaits && r.shedWithoutRoom; notAdmitted || giveUpAt <= b.now {
			b.removeHeld(r)
			reason := NoBackend
			if notAdmitted {
				reason = SiteLost
			} else if atLimit && r.repeat {
				reason = RepeatNoRoom
			} else if atLimit {
				reason = TooLate
			}
			b.refuseOrFail(r, reason)
		} else if r.timerToken == 0 {
			b.setRequestTimer(r, giveUpAt)
		}
	}
	// Without attempts in flight that use room, no outcome will come to make a step once saved time gives
	// room, so a timer has to.
	if wait := b.savedTime / -b.limitWithoutMinimum(); len(b.held) > 0 && b.inFlight == b.stuck &&
		wait > 0 && b.roomTimer == 0 {
		b.roomTimer = b.setTimer(time.Duration(wait) + 1)
	}
}

// valuePerTime returns the worth that a unit of backend time earns if it is spent on r.
func (b *Balancer) valuePerTime(r *request) float64 {
	if b.settings.ByWork {
		return r.terms.Worth
	}
	return r.terms.Worth / b.classes[r.class].meanLatency
}

// removeFirst removes the first x from list, in place.
func removeFirst[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
