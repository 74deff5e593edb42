package balance

import (
	"math"
	"time"
)

// hasRoom reports whether one more attempt is within the limit on attempts in flight. A quiet agent's share
// of a large fleet's limit is small and no whole number, so the agent keeps to it as a mean over time and may
// save up attempt time (savedTime).
func (b *Balancer) hasRoom() bool {
	inUse, limit := float64(b.inFlight-b.stuck), b.limitWithoutMinimum()
	if !b.quiet() && inUse < limit {
		return true
	}
	return b.savedTime > max(0, inUse-limit)*b.meanLatency()
}

// updateSavedTime adds to savedTime the attempt time that the limit allowed since the last call, less the
// attempt time used.
func (b *Balancer) updateSavedTime() {
	maxSaved := maxSavedLatencies * b.meanLatency() * b.quietness()
	gain := (b.limitWithoutMinimum() - float64(b.inFlight-b.stuck)) * float64(b.now-b.savedAt)
	b.savedTime = max(-maxSaved, min(maxSaved, b.savedTime+gain))
	b.savedAt = b.now
}

// adjustLimit moves the limit on attempts in flight by the latency of a, given as a share of the aim: down
// when the running mean exceeds the target delay, up while the limit binds. Requests beyond the limit are
// held and then refused, since a queue at the backends that outlasts the aims serves nobody. The minimum is
// a few attempts per backend, so that a fleet that is slow without any queue stays in use.
func (b *Balancer) adjustLimit(a *attempt, share float64) {
	// The mean is over time: a mean of the last few answers would let chance cut a busy agent's limit.
	weight := 1 - math.Exp(-float64(b.now-b.delaySampledAt)/(delayMeanLatencies*b.meanLatency()))
	b.delaySampledAt = b.now
	b.meanDelay += weight * (min(share, 2) - b.meanDelay)
	b.meanConcurrency += weight * (a.concurrency - b.meanConcurrency)
	// The base delay falls with the mean and rises at a hundredth of that rate.
	b.baseDelay += weight * meanStep * min(b.meanDelay-b.baseDelay, (b.meanDelay-b.baseDelay)/100)
	target, minimum := b.targetDelay(), minPerBackend*(1+b.quietness())
	if b.parallelism > 0 {
		minimum = min(minimum, minPerParallelism*b.parallelism)
	}
	binds := float64(b.inFlight-b.stuck)+1 >= b.limit()*0.9
	if b.quiet() {
		minimum, binds = quietMinPerBackend, b.savedTime < b.meanLatency()
	}
	switch {
	case b.meanDelay > target && b.now-b.cutAt > time.Duration(b.classes[0].meanLatency):
		cut := b.perBackend * limitCutFactor
		if !b.quiet() {
			cut = min(b.perBackend, b.meanConcurrency*target/b.meanDelay)
		}
		b.perBackend = max(minimum, cut)
		b.cutAt = b.now
		if b.onNote != nil {
			b.emitNote(Note{Kind: NoteLimitCut})
		}
	case b.meanDelay < target && binds:
		b.perBackend += limitGrowth / b.limit()
	}
}

// targetDelay returns the mean delay that the limit keeps to, as a share of the aim.
func (b *Balancer) targetDelay() float64 {
	switch {
	case b.quiet():
		return maxTargetDelay
	case b.staleShare >= maxStaleShare: // only the limit keeps agents from crowding at a backend
		return min(blindTargetDelay+(maxTargetDelay-blindTargetDelay)*b.quietness(),
			max(targetDelayRise*b.baseDelay, minTargetDelay))
	}
	return min(maxTargetDelay, max(targetDelayRise*b.baseDelay, minTargetDelay))
}

// limit returns the number of attempts that this process may have in flight, at least 1. It follows the list
// as the fleet grows and shrinks, and a cold backend counts by its warmth.
func (b *Balancer) limit() float64 { return max(1, b.limitWithoutMinimum()) }

// limitWithoutMinimum returns the limit without the minimum of one attempt.
func (b *Balancer) limitWithoutMinimum() float64 {
	return max(b.perBackend*b.capacity*b.limitShare, 1e-6)
}

// quietness returns how far agents outnumber backends, from 0 for a single agent to 1 if agents are quiet.
func (b *Balancer) quietness() float64 {
	return min(1, float64(b.settings.Balancers-1)/(quietRatio*float64(max(b.up, 1))))
}

// quiet reports whether agents outnumber backends by more than quietRatio. Each agent then has too little
// traffic to learn from, and a share of the limit that rounding up to whole attempts would exceed.
func (b *Balancer) quiet() bool { return float64(b.settings.Balancers) > quietRatio*float64(b.up) }

// updateCapacity counts the backends that are up, sums the warmth of those in use (up, not down, not
// ejected, site not lost) and counts the stuck attempts.
func (b *Balancer) updateCapacity() {
	b.up, b.warm, b.capacity, b.stuck, b.meanWeight = 0, 0, 0, 0, 0
	for _, t := range b.backends {
		if t.State == Up {
			b.up++
			b.meanWeight += (t.Weight - b.meanWeight) / float64(b.up)
			if !t.cold {
				b.warm++
			}
		}
		if t.State == Up && !t.down && b.now >= t.ejectedUntil && b.siteWeight(t) > 0 {
			b.capacity += b.warmth(t)
		} else {
			b.stuck += len(t.inFlight)
			continue
		}
		// An overdue attempt uses no room. Otherwise one lost answer would block a quiet agent, which has
		// room for one, until its client leaves, and a few would halve a busy agent's limit. This holds if
		// answers bring load reports, as those come late under overload and cut the limit then. May harm if
		// reports understate the load.
		if b.settings.Reports == ReportsInline {
			for _, a := range t.inFlight {
				if float64(b.now-a.sentAt) > overdueLatencies*a.expectedLatency {
					b.stuck++
				}
			}
		}
	}
}
