package balance

import (
	"math"
	"slices"
	"time"
)

// Where the settings say that a backend needs less work for a key that it met lately, this file
// decides what that counts for. Sent to each backend in turn a key costs its full work everywhere
// and pushes others out of memory. So a backend where this agent sent the key lately counts as
// faster for it, and as idle with a few attempts out; for a key that this agent has not sent, all
// agents take the same backend for its home.

const (
	warmWork = 0.4  // share of the work that is left where the key is known
	homeWork = 0.5  // and at the key's home, where another agent may have sent it
	keyPull  = 6.0  // power of that share in the choice among idle backends
	keyIdle  = 2.0  // attempts out below which a backend that knows the key counts as idle for it
	keyAims  = 12.0 // mean aims for which a backend is taken to remember a key
	keysMost = 64   // keys that a backend is taken to remember; the oldest goes first
)

// met is a key that a backend was sent, and when this was last.
type met struct {
	key uint64
	at  time.Duration
}

// home is the backend where all agents send a key that they know nothing of: weighted rendezvous
// hashing over those that are up and warm, so that a change of the list moves few keys.
func (b *Balancer) home(r *request) (best *backend) {
	most := math.Inf(-1)
	for _, t := range b.backends {
		if r.key == 0 || t.State != Up || t.cold {
			continue
		}
		share := float64(mixed(r.key^t.hash)>>11+1) / (1 << 53)
		if v := max(t.Weight, 1e-9) / -math.Log(share); v > most {
			best, most = t, v
		}
	}
	return best
}

// left is the share of a request's work that is left at a backend, for its key.
func (b *Balancer) left(t *backend, r *request) float64 {
	switch {
	case r.key == 0:
		return 1
	case t.knows(r.key, b.now-time.Duration(keyAims*b.meanAim())):
		return warmWork
	case t == r.home:
		return homeWork
	}
	return 1
}

// knows reports whether a backend was sent a key since.
func (t *backend) knows(key uint64, since time.Duration) bool {
	i := slices.IndexFunc(t.keys, func(m met) bool { return m.key == key })
	return i >= 0 && t.keys[i].at >= since
}

// keyed notes that a backend is sent a request's key, and returns the request's work there over
// the mean of what keys leave.
func (b *Balancer) keyed(t *backend, r *request) float64 {
	if r.key == 0 {
		return 1
	}
	left := b.left(t, r)
	if left == homeWork { // which is where to send it, and no less work yet
		left = 1
	}
	if i := slices.IndexFunc(t.keys, func(m met) bool { return m.key == r.key }); i >= 0 {
		t.keys = slices.Delete(t.keys, i, i+1)
	} else if len(t.keys) == keysMost {
		t.keys = slices.Delete(t.keys, 0, 1)
	}
	t.keys = append(t.keys, met{r.key, b.now})
	b.workLeft = blend(b.workLeft, left)
	return left / b.workLeft
}

// meanAim is the mean over the classes.
func (b *Balancer) meanAim() (mean float64) {
	for i := range b.classes {
		mean += float64(b.classes[i].Aim) / float64(len(b.classes))
	}
	return mean
}
