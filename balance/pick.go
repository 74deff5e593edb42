package balance

import "math"

// pick chooses a backend: one where this balancer has nothing in flight, at
// random; else the one with the fewest in flight; never the one that just failed
// unless it is the only one. nil means that none may be used now.
func (b *Balancer) pick(r *request) *backend {
	mean, seen := 0.0, 0
	for _, t := range b.backends {
		if t.State == Up && t.seen {
			mean += float64(len(t.out))
			seen++
		}
	}
	mean /= float64(max(seen, 1))
	r.home = b.home(r)
	unopened := math.Pow(newConnBias, max(0, 2*b.crowding()-1))
	var idle, few, last, trial *backend
	total, least, mild, trials := 0.0, math.Inf(1), math.Inf(1), 0.0
	for _, t := range b.backends {
		if t.State != Up || !b.mayRepeat(r, t) || t == r.failed && b.up > 1 && r.only == "" ||
			b.now < t.turned(r.class).till || float64(len(t.out)) >= b.backMost() || !b.coldRoom(t, r) {
			continue
		}
		if b.gentle(t, r) {
			continue
		}
		share := b.share(t)
		if share == 0 { // its site is lost: one request now and then tells whether it is back
			if trials++; b.tries(t, r) && b.rng.Float64()*trials < 1 {
				trial = t
			}
			continue
		}
		if !b.healthy(t, r) {
			// Guards against a backlog that outlasts a stop of all: work goes on after its time-out.
			if m := t.strikes + b.rng.Float64(); m < mild && len(t.out) == 0 {
				last, mild = t, m
			}
			continue
		}
		load := float64(len(t.out))
		if !t.seen {
			load = max(load, mean) // a new one gets no rush
		}
		slow, left := b.slowness(t), b.left(t, r)
		if load < 1 || load < keyIdle && left == warmWork {
			// Departure: an even choice among idle backends would load slow ones as much as fast
			// ones; each counts by the inverse cube of its observed slowness. Acts when speeds differ.
			w := b.warmth(t) / (slow * slow * slow) / math.Pow(left, keyPull)
			if b.stale < staleMost {
				crowd := (b.crowdAt(t) + crowdLeast) / (b.crowd + crowdLeast)
				w /= crowd * crowd * crowd
			}
			// Departure: crossing zones is a last resort as far as it has a price. A crowd at home shows
			// as slowness here and then outweighs it. May harm where homes are far from even.
			if t.Zone != b.s.Zone && !b.sites.Planned {
				w /= 1 + crossWeight*b.s.Prices.CrossZone
			}
			// Departure: an agent with little traffic that picks evenly opens a connection for most
			// requests and meets no backend twice. Acts from one agent a backend on, in full at two.
			if t.usedAt == 0 || b.now-t.usedAt >= b.s.IdleClose {
				w *= unopened
			}
			w *= share
			if total += w; b.rng.Float64()*total < w {
				idle = t
			}
			continue
		}
		// Departure: in-flight counts are weighed by slowness for the same reason.
		score := (load + 1) * slow * left / b.warmth(t) / share
		if t.cold && !t.seen {
			// Guards against a newcomer that gets nothing while the limit binds, though the limit counts
			// it: the others hold the whole limit then, and few of them more than their mean. Its budget
			// keeps it from a rush.
			score = (mean + float64(len(t.out))/b.warmth(t)) / share
		}
		if score *= 1 + 0.01*b.rng.Float64(); score < least {
			few, least = t, score
		}
	}
	if trial != nil {
		return trial
	}
	if idle != nil {
		return idle
	}
	if few != nil {
		return few
	}
	return last // all are ejected: a first attempt still goes out, one at a time to each
}

// share is what a backend counts for by its site's state.
func (b *Balancer) share(t *backend) float64 {
	if t.Zone >= 0 && t.Zone < len(b.sites.Share) {
		return b.sites.Share[t.Zone]
	}
	return 1
}

// gentle reports whether a request may not begin at a backend whose site has just come back.
func (b *Balancer) gentle(t *backend, r *request) bool {
	return t.Zone >= 0 && t.Zone < len(b.sites.Gentle) && b.sites.Gentle[t.Zone] &&
		r.terms.Effect != Safe && len(r.attempts) == 0 && r.only == ""
}

// tries reports whether a request may try a lost site: where one is wanted, one that may be repeated.
func (b *Balancer) tries(t *backend, r *request) bool {
	return t.Zone < len(b.sites.Trial) && b.sites.Trial[t.Zone] && r.terms.Effect == Safe &&
		len(r.attempts) == 0 && !r.repeat
}

// backMost is how many attempts this agent may have out at one backend.
func (b *Balancer) backMost() float64 { return max(1, backCap*b.perBack*b.fraction) }
