package balance

import (
	"math"
	"time"
)

// observe learns from the outcome of an attempt.
func (b *Balancer) observe(r *request, a *attempt, e Outcome) {
	t, c, lat := a.b, &b.classes[r.class], float64(e.Latency)
	switch e.Result {
	case OK:
		// It came back before the list told: treat it as just started. Guards against a start that was
		// none: what had been sent before it looked gone was answered by the process that was there then.
		if t.down && t.downAt <= a.sent && t.warmFrom < a.sent {
			t.start(b.now, b.now)
		}
		t.down, t.refused = false, false
		t.turned(r.class).row = 0
		if !t.cold {
			b.doneWork = b.decayed() + a.cost
			b.doneCount++
		}
		if b.capacity == 0 {
			b.pardon()
		}
		if t.strikes = max(0, t.strikes-strikeHeal); t.strikes == 0 {
			t.ejected = min(t.ejected, b.now) // it has healed: what was sent before it was ejected came in
		}
		b.odd(t, 0)
		t.lastOK = b.now
		t.seen = true
		b.learnSpeed(t, lat/a.cost)
		c.latency = blend(c.latency, max(lat, 1))
		b.pace(a, float64(e.Latency)/float64(r.terms.Aim))
	case Full:
		// Departure: each further one in a row, of its class, doubles the rest. Guards against retries that
		// empty the bucket at a backend that turns a class away for seconds. May harm where one that was
		// full has room at once.
		f := t.turned(r.class)
		f.till = b.now + time.Duration(b.rng.Float64()*c.latency*math.Exp2(f.row))
		f.row = min(f.row+1, fullRow)
		b.pace(a, 1)
	case TimedOut:
		if t.lastOK < a.sent { // nothing came back since: more than a slow request, and no queue
			b.strike(t, a, r.terms)
		}
		// A quiet agent's time-outs are nearly all silent. Where answers bring reports, and are late
		// when crowds are, time-outs may as well be lost answers: they cut no limit.
		if (t.lastOK >= a.sent || b.quiet()) && b.s.Reports != ReportsInline {
			b.pace(a, max(1, lat/float64(r.terms.Aim)))
			// Departure: its work is still at the backend, and uses a quiet agent's room for longer.
			// Holds against any crowd that shows in time-outs first. May harm where these are lost answers.
			b.spare -= saveAtMost * b.usual()
			b.learnSpeed(t, lat/a.cost) // at least so slow
		}
	case Errored, Reset, ConnectFailed:
		rare := b.usualErrors(t) < evenErrors
		odd := b.odd(t, 1)
		// A process that ends takes all its connections with it: while others stand, one that breaks
		// is an error like others.
		broke := e.Result != Errored && !e.Standing
		refused := broke && e.Result == ConnectFailed
		// Where connections break all the time, one that breaks is no restart; one that can't be made,
		// twice in a row, is a process that has gone.
		if !t.down && (refused && (rare || t.refused) || broke && rare) {
			t.down, t.downAt = true, b.now
		}
		t.refused = refused
		if odd || refused || rare && t.cold { // a cold one has to show that it is well
			b.strike(t, a, r.terms)
		}
	}
}

// odd takes an answer with so many errors, and reports whether a backend returns more than is usual.
// Departure: errors that come from all backends alike, as spoilt answers or resets do, say nothing of
// the one they came from, and ejecting for each would leave few in use. Where errors are rare the first
// one tells; where they are usual, three in near succession. May harm where most backends fail.
func (b *Balancer) odd(t *backend, errors float64) bool {
	usual := b.usualErrors(t)
	t.errors += smooth / 2 * (errors - t.errors)
	t.excess = min(max(0, t.excess-max(oddErrors*usual, errorHeal))+errors, errorCap)
	return t.excess >= min(max(1, 2*usual/evenErrors), 2+4*usual)
}

// usualErrors is the share of errors that the other backends return, lately; one that fails all counts
// for no more than oddMost. Guards against a wave of resets that comes over all backends: a mean over
// the last hundreds of answers would not have seen it before each of them had been ejected once.
func (b *Balancer) usualErrors(t *backend) float64 {
	sum := 0.0
	for _, o := range b.backends {
		died := o.down && o.strikes > 1 // says nothing of the others
		if o.State == Up && o != t && !died {
			sum += min(o.errors, oddMost)
		}
	}
	return sum / float64(max(b.up-1, 1))
}

// strike ejects a backend for a while that doubles with each further strike.
// Departure: a backend that fails fast is always idle and would draw all traffic.
// It acts on the first error, since errors are rare where nothing is wrong; what
// was sent before the last strike adds nothing.
func (b *Balancer) strike(t *backend, a *attempt, c *terms) {
	if a.sent < t.struckAt {
		return
	}
	t.strikes = min(t.strikes+1, strikeCap)
	t.excess = max(0, t.excess-1) // the error that led here has been answered
	t.struckAt = b.now
	// Departure: many agents that each try an ejected backend soon keep it busy for ever, and one that
	// has turned slow must rest: each waits longer the more agents there are for a backend. May harm
	// where a backend is well again and no restart tells.
	span := max(1, float64(b.s.Balancers)/(quietRatio*float64(max(b.up, 1)))) * float64(c.Aim)
	t.ejected = b.now + time.Duration(math.Exp2(t.strikes-1)*(0.75+0.5*b.rng.Float64())*span)
}

// pardon ends all ejections. Departure: a stop that took every backend was no fault of theirs, and the
// first answer after it says that it is over; the ejections that grew while nothing could be served
// would go on for seconds. Each is then tried with one attempt. May harm where one of several broken
// backends answers now and then.
func (b *Balancer) pardon() {
	for _, t := range b.backends {
		t.ejected, t.strikes = min(t.ejected, b.now), min(t.strikes, 1)
	}
	b.measure()
}

// healthy reports whether t may get r as ordinary traffic. After an ejection it
// gets one attempt at a time until it has healed: of requests that may be repeated,
// and of others only where none of these came for as long again.
func (b *Balancer) healthy(t *backend, r *request) bool {
	if b.now < t.ejected {
		return false
	}
	if t.strikes == 0 {
		return true
	}
	safe := r.terms.Effect != Unsafe || b.now >= 2*t.ejected-t.struckAt
	return safe && len(t.out) == 0
}
