package balance

import (
	"math"
	"slices"
	"time"
)

// retry schedules the next attempt of a request whose attempt failed, or ends the request.
func (b *Balancer) retry(r *request, res Result) {
	cost := retryCost
	if res == TimedOut {
		cost = timeoutRetryCost
	}
	wait := time.Duration(b.rng.Float64() * min(math.Exp2(float64(r.retries)), maxBackoffUnits) *
		backoffUnit * float64(r.terms.Aim))
	at := b.now + wait
	possible := slices.ContainsFunc(b.backends, func(t *backend) bool {
		return t.State == Up && b.mayAttempt(r, t)
	})
	reason := NoReason
	switch {
	case res == NotSent:
		reason = NeverSent
	case !possible:
		reason = NoAttemptAllowed
	case res == DroppedUnsent: // costs no tokens, since no backend has seen the attempt
		b.hold(r)
		return
	case b.retryTokens < cost:
		reason = NoTokens
	case at >= r.deadline:
		reason = NoTime
	}
	if reason != NoReason {
		b.refuseOrFail(r, reason)
		return
	}
	b.retryTokens -= cost
	r.retries++
	r.backingOff = true
	b.setRequestTimer(r, at)
}

// mayAttempt reports whether a first or further attempt of r may go to t. It is the rule on repeats: a
// request that may have run is repeated only as its Effect, Group and Window allow.
func (b *Balancer) mayAttempt(r *request, t *backend) bool {
	c := r.terms
	if r.ended || r.streaming || len(r.attempts) >= c.maxAttempts || r.openAttempts > 0 && !c.secondCopies ||
		r.onlyBackend != "" && r.onlyBackend != t.ID {
		return false
	}
	if c.Effect == Safe || r.mayHaveRun == 0 {
		return true
	}
	if c.Effect == Unsafe || b.now-r.anchor.sentAt >= c.Window {
		return false
	}
	return c.Group == GroupAll || c.Group == GroupZone && t.Zone == r.anchor.zone ||
		c.Group == GroupCell && t.Cell == r.anchor.cell
}
