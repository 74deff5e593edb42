package balance

import (
	"math"
	"time"
)

// recordOutcome updates what is known of the backend, the class and the limit by the outcome of an attempt.
func (b *Balancer) recordOutcome(r *request, a *attempt, e Outcome) {
	t, c, latency := a.backend, &b.classes[r.class], float64(e.Latency)
	switch e.Result {
	case OK:
		// The backend is back before the list reported a restart: treat its process as just started. An
		// answer to an attempt sent before the backend looked down comes from the old process and proves no
		// restart.
		if t.down && t.downSince <= a.sentAt && t.startedAt < a.sentAt {
			t.markStarted(b.now, b.now)
		}
		t.down, t.connectFailed = false, false
		t.rejection(r.class).streak = 0
		if !t.cold {
			b.servedWork = b.decayServedWork() + a.expectedLatency
			b.servedCount++
		}
		if b.capacity == 0 {
			b.endEjections()
		}
		if t.strikes = max(0, t.strikes-strikeRecovery); t.strikes == 0 {
			t.ejectedUntil = min(t.ejectedUntil, b.now) // attempts sent before the ejection were served
		}
		b.recordErrors(t, 0)
		t.servedAt = b.now
		t.answered = true
		b.learnSpeed(t, latency/a.expectedLatency)
		c.meanLatency = updateMean(c.meanLatency, max(latency, 1))
		b.adjustLimit(a, float64(e.Latency)/float64(r.terms.Aim))
	case Full:
		// Each further rejection of the class in a row doubles the pause. Otherwise retries would empty the
		// bucket at a backend that rejects a class for seconds. May harm if a full backend has room at once.
		rejection := t.rejection(r.class)
		rejection.until = b.now + time.Duration(b.rng.Float64()*c.meanLatency*math.Exp2(rejection.streak))
		rejection.streak = min(rejection.streak+1, maxRejectionStreak)
		b.adjustLimit(a, 1)
	case TimedOut:
		if t.servedAt < a.sentAt { // nothing was served since: the backend hangs, rather than being slow
			b.eject(t, a, r.terms)
		}
		// A quiet agent sees almost no answers between its time-outs. If answers bring load reports, and come
		// late under overload, a time-out may as well be a lost answer: then it does not cut the limit.
		if (t.servedAt >= a.sentAt || b.quiet()) && b.settings.Reports != ReportsInline {
			b.adjustLimit(a, max(1, latency/float64(r.terms.Aim)))
			// The backend still works on the attempt, so that it uses a quiet agent's room for longer. This
			// limits overload that shows first in time-outs. May harm if answers are lost instead.
			b.savedTime -= maxSavedLatencies * b.meanLatency()
			b.learnSpeed(t, latency/a.expectedLatency) // a lower bound of the latency
		}
	case Errored, Reset, ConnectFailed:
		rare := b.usualErrorShare(t) < commonErrorShare
		odd := b.recordErrors(t, 1)
		// A process that ends takes all its connections with it. While others are open, a broken connection
		// is an error like any other.
		broke := e.Result != Errored && !e.OtherConnectionsOpen
		refused := broke && e.Result == ConnectFailed
		// If connections break often, a broken one is no sign of a restart, but two failures to connect in a
		// row are a sign that the process is gone.
		if !t.down && (refused && (rare || t.connectFailed) || broke && rare) {
			t.down, t.downSince = true, b.now
		}
		t.connectFailed = refused
		if odd || refused || rare && t.cold { // a cold backend has not shown yet that it works
			b.eject(t, a, r.terms)
		}
	}
}

// recordErrors counts an answer with the given number of errors, 0 or 1, and reports whether the backend
// returns more errors than is usual. Errors that come from all backends alike, such as corrupt answers or
// resets, say nothing about one backend, and ejecting for each would leave few in use. If errors are rare
// the first one counts; if they are usual, three in short succession. May harm if most backends fail.
func (b *Balancer) recordErrors(t *backend, errors float64) bool {
	usual := b.usualErrorShare(t)
	t.errorShare += meanStep / 2 * (errors - t.errorShare)
	t.excessErrors = min(max(0, t.excessErrors-max(excessErrorRatio*usual, minErrorRecovery))+errors,
		maxExcessErrors)
	return t.excessErrors >= min(max(1, 2*usual/commonErrorShare), 2+4*usual)
}

// usualErrorShare is the recent share of errors of the backends other than t. One that fails everything adds
// no more than maxUsualErrorShare. It follows a wave of resets over all backends in time: a mean over
// hundreds of answers would notice the wave only after each backend had been ejected once.
func (b *Balancer) usualErrorShare(t *backend) float64 {
	sum := 0.0
	for _, other := range b.backends {
		died := other.down && other.strikes > 1 // a dead backend's errors are not usual for the others
		if other.State == Up && other != t && !died {
			sum += min(other.errorShare, maxUsualErrorShare)
		}
	}
	return sum / float64(max(b.up-1, 1))
}

// eject ejects a backend for a time that doubles with each further strike. Without it a backend that fails
// fast would always be idle and draw all traffic. The first error ejects, since errors are rare if nothing
// is wrong. Outcomes of attempts sent before the last ejection add no strike.
func (b *Balancer) eject(t *backend, a *attempt, c *terms) {
	if a.sentAt < t.ejectedAt {
		return
	}
	t.strikes = min(t.strikes+1, maxStrikes)
	t.excessErrors = max(0, t.excessErrors-1) // the error that caused this ejection is dealt with
	t.ejectedAt = b.now
	// The time grows with the number of agents per backend: many agents that each try an ejected backend soon
	// keep it busy for ever, and a backend that has turned slow needs a rest. May harm if a backend has
	// recovered and the list reports no restart.
	span := max(1, float64(b.settings.Balancers)/(quietRatio*float64(max(b.up, 1)))) * float64(c.Aim)
	t.ejectedUntil = b.now + time.Duration(math.Exp2(t.strikes-1)*(0.75+0.5*b.rng.Float64())*span)
}

// endEjections ends all ejections. The first answer after a stop of every backend shows that the stop is
// over. The backends were not at fault, and the ejections that grew while nothing was served would last for
// seconds more. Each backend is then tried with one attempt. May harm if one of several broken backends
// answers now and then.
func (b *Balancer) endEjections() {
	for _, t := range b.backends {
		t.ejectedUntil, t.strikes = min(t.ejectedUntil, b.now), min(t.strikes, 1)
	}
	b.updateCapacity()
}

// healthy reports whether t may get r as ordinary traffic. After an ejection a backend gets one attempt at a
// time until its strikes are gone. Those attempts are of requests that may be repeated; an unsafe request is
// let through only after the ejection time has passed once more.
func (b *Balancer) healthy(t *backend, r *request) bool {
	if b.now < t.ejectedUntil {
		return false
	}
	if t.strikes == 0 {
		return true
	}
	safe := r.terms.Effect != Unsafe || b.now >= 2*t.ejectedUntil-t.ejectedAt
	return safe && len(t.inFlight) == 0
}
