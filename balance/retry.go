package balance

import (
	"math"
	"slices"
	"time"
)

// retry ends a failed attempt's request or schedules the next attempt.
func (b *Balancer) retry(r *request, res Result) {
	cost := retryCost
	if res == TimedOut {
		cost = timeoutCost
	}
	wait := time.Duration(b.rng.Float64() * min(math.Exp2(float64(r.retries)), backoffCeiling) *
		backoffUnit * float64(r.terms.Aim))
	at := b.now + wait
	possible := slices.ContainsFunc(b.backends, func(t *backend) bool {
		return t.State == Up && b.mayRepeat(r, t)
	})
	why := NoReason
	switch {
	case res == NotSent:
		why = NeverSent
	case !possible:
		why = NoAttempt
	case res == Withdrawn: // it costs nothing: nobody has seen it
		b.hold(r)
		return
	case b.tokens < cost:
		why = NoTokens
	case at >= r.deadline:
		why = NoTime
	}
	if why != NoReason {
		b.finish(r, why)
		return
	}
	b.tokens -= cost
	r.retries++
	r.waiting = true
	b.timer(r, at)
}

// mayRepeat is the repeat rule: whether a (further) attempt of r may go to t.
func (b *Balancer) mayRepeat(r *request, t *backend) bool {
	c := r.terms
	if r.ended || r.stream || len(r.attempts) >= c.maxAttempts || r.open > 0 && !c.secondCopies ||
		r.only != "" && r.only != t.ID {
		return false
	}
	if c.Effect == Safe || r.risky == 0 {
		return true
	}
	if c.Effect == Unsafe || b.now-r.anchor.sent >= c.Window {
		return false
	}
	return c.Group == GroupAll || c.Group == GroupZone && t.Zone == r.anchor.b.Zone ||
		c.Group == GroupCell && t.Cell == r.anchor.b.Cell
}
