package balance

import (
	"math"
	"time"
)

// room reports whether one more attempt is within the limit. A quiet agent's part of a large
// fleet's limit is small and no whole number: it keeps it as a mean over time, and may save up.
func (b *Balancer) room() bool {
	out, part := float64(b.inFlight-b.stuck), b.part()
	if !b.quiet() && out < part {
		return true
	}
	return b.spare > max(0, out-part)*b.usual()
}

// save adds to the attempt time that is spare what the limit allowed since, less what was used.
func (b *Balancer) save() {
	most := saveAtMost * b.usual() * b.crowding()
	gain := (b.part() - float64(b.inFlight-b.stuck)) * float64(b.now-b.savedAt)
	b.spare = max(-most, min(most, b.spare+gain))
	b.savedAt = b.now
}

// pace moves the limit on attempts in flight by the latency seen, as a share of
// the aim: down when the running mean passes the aimed share, up while it binds.
// Departure: beyond it requests are held, then refused, since a queue that
// outlasts the aims serves nobody. The floor is this agent's share of a few
// attempts per backend, so that a fleet that is slow without a queue stays in use.
func (b *Balancer) pace(a *attempt, share float64) {
	// The mean is over time: over the last few answers alone, chance would cut a busy agent's limit.
	weight := 1 - math.Exp(-float64(b.now-b.pacedAt)/(paceSpan*b.usual()))
	b.pacedAt = b.now
	b.delay += weight * (min(share, 2) - b.delay)
	b.beside += weight * (a.beside - b.beside)
	b.base += weight * smooth * min(b.delay-b.base, (b.delay-b.base)/100) // it rises far slower
	aimed, floor := b.aimed(), floorPerBack*(1+b.crowding())
	if b.width > 0 {
		floor = min(floor, floorPerWide*b.width)
	}
	binds := float64(b.inFlight-b.stuck)+1 >= b.limit()*0.9
	if b.quiet() {
		floor, binds = quietFloor, b.spare < b.usual()
	}
	switch {
	case b.delay > aimed && b.now-b.cutAt > time.Duration(b.classes[0].latency):
		cut := b.perBack * limitCut
		if !b.quiet() {
			cut = min(b.perBack, b.beside*aimed/b.delay)
		}
		b.perBack = max(floor, cut)
		b.cutAt = b.now
		if b.notes != nil {
			b.note(Note{Kind: NoteCut})
		}
	case b.delay < aimed && binds:
		b.perBack += limitGrow / b.limit()
	}
}

// aimed is the mean delay that the limit keeps to.
func (b *Balancer) aimed() float64 {
	switch {
	case b.quiet():
		return aimedDelay
	case b.stale >= staleMost: // nothing keeps crowds apart but the limit
		return min(aimedBlind+(aimedDelay-aimedBlind)*b.crowding(), max(aimedRise*b.base, aimedLeast))
	}
	return min(aimedDelay, max(aimedRise*b.base, aimedLeast))
}

// limit is what may be in flight now; it follows the list as the fleet grows and shrinks,
// and a cold backend counts by its warmth.
func (b *Balancer) limit() float64 { return max(1, b.part()) }

func (b *Balancer) part() float64 { return max(b.perBack*b.capacity*b.fraction, 1e-6) }

// crowding is how far agents outnumber backends: 1 where each is quiet.
func (b *Balancer) crowding() float64 {
	return min(1, float64(b.s.Balancers-1)/(quietRatio*float64(max(b.up, 1))))
}

// quiet reports whether agents far outnumber backends, so that each has too little traffic to
// learn from, and a part of the limit that rounding up to whole attempts would overrun.
func (b *Balancer) quiet() bool { return float64(b.s.Balancers) > quietRatio*float64(b.up) }

// measure sums up what the backends that are up, and not ejected or down, can do.
func (b *Balancer) measure() {
	b.up, b.warm, b.capacity, b.stuck, b.rated = 0, 0, 0, 0, 0
	for _, t := range b.backends {
		if t.State == Up {
			b.up++
			b.rated += (t.Weight - b.rated) / float64(b.up)
			if !t.cold {
				b.warm++
			}
		}
		if t.State == Up && !t.down && b.now >= t.ejected && b.share(t) > 0 {
			b.capacity += b.warmth(t)
		} else {
			b.stuck += len(t.out)
			continue
		}
		// Departure: an overdue attempt uses no room. One lost answer would hold a quiet agent with
		// room for one until its client leaves, some would halve a busy one's limit. Acts where
		// answers bring reports, which come late and cut the limit when crowds are the cause. May
		// harm where reports lie low.
		if b.s.Reports == ReportsInline {
			for _, a := range t.out {
				if float64(b.now-a.sent) > overdue*a.cost {
					b.stuck++
				}
			}
		}
	}
}
