package balance

import (
	"math"
	"slices"
	"time"
)

// If the settings say that a backend needs less work for a key that it has served lately (WarmKeys), this
// file decides how much that counts. A key sent to each backend in turn costs its full work everywhere and
// evicts other keys from memory. So a backend to which this agent sent the key lately counts as faster for
// it, and as idle with a few attempts in flight; a key that this agent has not sent goes to a home that all
// agents agree on.

const (
	knownKeyWork    = 0.4  // share of a request's work that is left at a backend that knows its key
	homeKeyWork     = 0.5  // the same at the key's home, where another agent may have sent the key
	keyWeightPower  = 6.0  // power of that share in the choice among idle backends
	keyIdleAttempts = 2.0  // a backend that knows the key counts as idle for it below so many attempts
	keyMemoryAims   = 12.0 // time that a backend is assumed to remember a key, in mean aims
	maxKeys         = 64   // keys that a backend is assumed to remember; the oldest is forgotten first
)

// keyUse is a key that was sent to a backend, and when it was last sent.
type keyUse struct {
	key uint64        // hash of Request.Key
	at  time.Duration // when it was last sent
}

// keyHome returns the backend where all agents send a key that they know nothing about, by weighted
// rendezvous hashing over the backends that are up and warm, so that a change of the list moves few keys;
// nil: r has no key.
func (b *Balancer) keyHome(r *request) (best *backend) {
	most := math.Inf(-1)
	for _, t := range b.backends {
		if r.key == 0 || t.State != Up || t.cold {
			continue
		}
		share := float64(mix64(r.key^t.hash)>>11+1) / (1 << 53)
		if v := max(t.Weight, 1e-9) / -math.Log(share); v > most {
			best, most = t, v
		}
	}
	return best
}

// workLeft returns the share of r's work that is left at t, given its key.
func (b *Balancer) workLeft(t *backend, r *request) float64 {
	switch {
	case r.key == 0:
		return 1
	case t.sentKeySince(r.key, b.now-time.Duration(keyMemoryAims*b.meanAim())):
		return knownKeyWork
	case t == r.keyHome:
		return homeKeyWork
	}
	return 1
}

// sentKeySince reports whether t was sent the key at since or later.
func (t *backend) sentKeySince(key uint64, since time.Duration) bool {
	i := slices.IndexFunc(t.keys, func(m keyUse) bool { return m.key == key })
	return i >= 0 && t.keys[i].at >= since
}

// recordKey records that t is sent r's key. It returns the share of work left for r at t, over the mean of
// that share.
func (b *Balancer) recordKey(t *backend, r *request) float64 {
	if r.key == 0 {
		return 1
	}
	left := b.workLeft(t, r)
	if left == homeKeyWork { // a preference for the home; the work there is not known to be less
		left = 1
	}
	if i := slices.IndexFunc(t.keys, func(m keyUse) bool { return m.key == r.key }); i >= 0 {
		t.keys = slices.Delete(t.keys, i, i+1)
	} else if len(t.keys) == maxKeys {
		t.keys = slices.Delete(t.keys, 0, 1)
	}
	t.keys = append(t.keys, keyUse{r.key, b.now})
	b.meanWorkLeft = updateMean(b.meanWorkLeft, left)
	return left / b.meanWorkLeft
}

// meanAim returns the mean aim of the classes, ns.
func (b *Balancer) meanAim() (mean float64) {
	for i := range b.classes {
		mean += float64(b.classes[i].Aim) / float64(len(b.classes))
	}
	return mean
}
