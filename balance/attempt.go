package balance

import "time"

// send starts an attempt. Nothing else does; the rules are checked here last.
func (b *Balancer) send(r *request, t *backend) {
	if t.State != Up || !b.mayRepeat(r, t) || b.now >= r.deadline {
		b.finish(r, NoTime)
		return
	}
	a := &attempt{b: t, sent: b.now, cost: max(b.expected(r)*b.keyed(t, r), 1), open: true}
	r.attempts = append(r.attempts, a)
	r.open++
	if r.risky++; r.anchor == nil {
		r.anchor = a
	}
	t.out = append(t.out, a)
	b.inFlight++
	a.beside = float64(b.inFlight-b.stuck) / b.fraction / max(b.capacity, 1)
	if t.cold {
		t.budget -= a.cost
		t.turns--
	}
	send := Send{Request: r.id, Backend: t.ID}
	if b.share(t) == 0 && r.only == "" { // a trial leaves time for another attempt
		send.Timeout = r.terms.Aim / 2
		b.sites.Trial[t.Zone] = false
	}
	// Guards against a connection that comes up when backends have forgotten the key.
	if c := r.terms; c.Effect == Keyed && r.anchor != a {
		send.By = r.anchor.sent + c.Window
	}
	b.actions = append(b.actions, send)
}

// finish gives a request its final answer. Nothing else does. It is a refusal
// where no attempt may have run, which lets any client try again; else a failure.
func (b *Balancer) finish(r *request, why Reason) {
	if r.ended {
		return
	}
	if r.risky == 0 {
		b.actions = append(b.actions, Refuse{Request: r.id, RetryAfter: b.comeBack(r)})
		b.noteEnd(r, NoteRefused, why)
	} else {
		b.actions = append(b.actions, Fail{Request: r.id})
		b.noteEnd(r, NoteFailed, why)
	}
	b.close(r)
}

// comeBack is the advice that goes with a refusal: about the time in which the next answer of the
// class comes in and leaves room. Jittered, so that those refused together don't come together.
// Guards against clients that come back at their own quick pace, into the crowd they were turned
// away from. Where answers take a millisecond, that says nothing of when there is room for what waited
// in vain: it is a part of the aim at least. Longer advice would take a refused client's second chance
// within its aim. Drawn from a source of its own: it changes no other choice.
func (b *Balancer) comeBack(r *request) time.Duration {
	if !b.s.RetryAfter {
		return 0
	}
	if b.sites.Back != nil { // along the way on which a site comes back
		return min(b.sites.Back(r.class), r.terms.maxRetryAfter)
	}
	room := max(b.classes[r.class].latency, adviceLeast*float64(r.terms.Aim))
	return min(time.Duration(room*(0.5+b.advice.Float64())), r.terms.maxRetryAfter)
}

// close forgets a request once it has ended and its attempts are in.
func (b *Balancer) close(r *request) {
	r.ended = true
	if r.holding {
		b.unhold(r)
	}
	if r.open == 0 {
		delete(b.requests, r.id)
	}
}
