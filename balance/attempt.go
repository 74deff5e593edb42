package balance

import "time"

// send starts an attempt of r at t. It alone starts attempts, and it checks last that t is up, that the rule
// on repeats (mayAttempt) allows the attempt and that r has time left.
func (b *Balancer) send(r *request, t *backend) {
	if t.State != Up || !b.mayAttempt(r, t) || b.now >= r.deadline {
		b.refuseOrFail(r, NoTime)
		return
	}
	a := &attempt{backend: t, zone: t.Zone, cell: t.Cell, sentAt: b.now,
		expectedLatency: max(b.expectedLatency(r)*b.recordKey(t, r), 1), open: true}
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	if r.mayHaveRun++; r.anchor == nil {
		r.anchor = a
	}
	t.inFlight = append(t.inFlight, a)
	b.inFlight++
	a.concurrency = float64(b.inFlight-b.stuck) / b.limitShare / max(b.capacity, 1)
	if t.cold {
		t.coldWork -= a.expectedLatency
		t.coldRequests--
	}
	send := Send{Request: r.id, Backend: t.ID}
	if b.siteWeight(t) == 0 && r.onlyBackend == "" { // a trial of a lost site: leave time for another attempt
		send.Timeout = r.terms.Aim / 2
		b.sites.TrialZones[t.Zone] = false
	}
	// A connection may take long to come up: the attempt must not be written once backends have forgotten the
	// key.
	if c := r.terms; c.Effect == Keyed && r.anchor != a {
		send.WriteBy = r.anchor.sentAt + c.Window
	}
	b.actions = append(b.actions, send)
}

// refuseOrFail gives a request its final answer; it alone does. The answer is a refusal if no attempt may
// have run, so that any client may try again, and a failure otherwise.
func (b *Balancer) refuseOrFail(r *request, reason Reason) {
	if r.ended {
		return
	}
	if r.mayHaveRun == 0 {
		b.actions = append(b.actions, Refuse{Request: r.id, RetryAfter: b.retryAfter(r)})
		b.emitEndNote(r, NoteRefused, reason)
	} else {
		b.actions = append(b.actions, Fail{Request: r.id})
		b.emitEndNote(r, NoteFailed, reason)
	}
	b.closeRequest(r)
}

// retryAfter returns the wait that a refused client is advised to make: about the time until the next answer
// of the class makes room, jittered so that clients refused together don't come back together. Clients that
// came back at their own fast pace would meet the overload they were refused for. A latency of a millisecond
// says little about when there is room, so the wait is at least a share of the aim; a longer one would take
// the client's second chance within its aim. The jitter comes from auxRNG, so that it changes no other
// choice.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if !b.settings.RetryAfter {
		return 0
	}
	if b.sites.RetryAfter != nil { // internal/site advises the waits while a site comes back along a ramp
		return min(b.sites.RetryAfter(r.class), r.terms.maxRetryAfter)
	}
	wait := max(b.classes[r.class].meanLatency, minRetryAfterAims*float64(r.terms.Aim))
	return min(time.Duration(wait*(0.5+b.auxRNG.Float64())), r.terms.maxRetryAfter)
}

// closeRequest marks a request as ended and forgets it once none of its attempts is open.
func (b *Balancer) closeRequest(r *request) {
	r.ended = true
	if r.held {
		b.removeHeld(r)
	}
	if r.openAttempts == 0 {
		delete(b.requests, r.id)
	}
}
