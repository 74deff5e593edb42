package balance

import "math"

// pick chooses a backend for r: at random among those where this agent has nothing in flight, or else the
// one with the fewest attempts in flight. It avoids the backend that has just failed r unless that is the
// only one. It returns nil if no backend may be used now.
func (b *Balancer) pick(r *request) *backend {
	mean, answered := 0.0, 0
	for _, t := range b.backends {
		if t.State == Up && t.answered {
			mean += float64(len(t.inFlight))
			answered++
		}
	}
	mean /= float64(max(answered, 1))
	r.keyHome = b.keyHome(r)
	newConn := math.Pow(newConnWeight, max(0, 2*b.quietness()-1))
	var idle, leastLoaded, leastStruck, trial *backend
	total, lowestScore, fewestStrikes, trials := 0.0, math.Inf(1), math.Inf(1), 0.0
	for _, t := range b.backends {
		if t.State != Up || !b.mayAttempt(r, t) || t == r.lastFailed && b.up > 1 && r.onlyBackend == "" ||
			b.now < t.rejection(r.class).until || float64(len(t.inFlight)) >= b.maxPerBackend() ||
			!b.coldBudgetAllows(t, r) {
			continue
		}
		if b.siteBarsRequest(t, r) {
			continue
		}
		share := b.siteWeight(t)
		if share == 0 { // its site is lost: only a trial request may go there
			if trials++; b.mayTrySite(t, r) && b.rng.Float64()*trials < 1 {
				trial = t
			}
			continue
		}
		if !b.healthy(t, r) {
			// One attempt at a time: after a stall of all backends, attempts that have timed out still
			// run there, and a backlog of new ones would outlast the stall.
			if m := t.strikes + b.rng.Float64(); m < fewestStrikes && len(t.inFlight) == 0 {
				leastStruck, fewestStrikes = t, m
			}
			continue
		}
		load := float64(len(t.inFlight))
		if !t.answered {
			load = max(load, mean) // or all agents would send to a new backend at once
		}
		slowness, workLeft := b.slowness(t), b.workLeft(t, r)
		if load < 1 || load < keyIdleAttempts && workLeft == knownKeyWork {
			// Weighted by the inverse cube of the observed slowness: an even choice among idle backends
			// would load slow ones as much as fast ones.
			weight := b.warmth(t) / (slowness * slowness * slowness) / math.Pow(workLeft, keyWeightPower)
			if b.staleShare < maxStaleShare {
				crowd := (b.otherLoadAt(t) + minOtherLoad) / (b.meanOtherLoad + minOtherLoad)
				weight /= crowd * crowd * crowd
			}
			// Crossing zones gets less likely with its price. Overload in the agent's own zone shows as
			// slowness there and then outweighs the price. This may harm if clients' home zones are very
			// uneven in load.
			if t.Zone != b.settings.Zone && !b.sites.WeightsPlanned {
				weight /= 1 + crossZoneWeight*b.settings.Prices.CrossZone
			}
			// An agent with little traffic that picked evenly would open a connection for most requests.
			// The preference for open connections begins at one agent per backend and is full at two.
			if t.connUsedAt == 0 || b.now-t.connUsedAt >= b.settings.IdleClose {
				weight *= newConn
			}
			weight *= share
			if total += weight; b.rng.Float64()*total < weight {
				idle = t
			}
			continue
		}
		// The number in flight is weighted by slowness too, as slow backends must not get as much as fast
		// ones.
		score := (load + 1) * slowness * workLeft / b.warmth(t) / share
		if t.cold && !t.answered {
			// A new cold backend holds no attempts yet, though the limit counts it. While the limit binds
			// the other backends hold all of it, few of them more than the mean; with the score above a new
			// one would get nothing. Its cold budget still prevents a rush.
			score = (mean + float64(len(t.inFlight))/b.warmth(t)) / share
		}
		if score *= 1 + 0.01*b.rng.Float64(); score < lowestScore {
			leastLoaded, lowestScore = t, score
		}
	}
	if trial != nil {
		return trial
	}
	if idle != nil {
		return idle
	}
	if leastLoaded != nil {
		return leastLoaded
	}
	return leastStruck // all are ejected: first attempts still go out, one at a time to each backend
}

// siteWeight returns the weight of a backend in picks, by the state of its site; 0: the site is lost.
func (b *Balancer) siteWeight(t *backend) float64 {
	if t.Zone >= 0 && t.Zone < len(b.sites.ZoneWeights) {
		return b.sites.ZoneWeights[t.Zone]
	}
	return 1
}

// siteBarsRequest reports whether r may not begin at t since its site has just come back (see
// Sites.SafeOnlyZones).
func (b *Balancer) siteBarsRequest(t *backend, r *request) bool {
	return t.Zone >= 0 && t.Zone < len(b.sites.SafeOnlyZones) && b.sites.SafeOnlyZones[t.Zone] &&
		r.terms.Effect != Safe && len(r.attempts) == 0 && r.onlyBackend == ""
}

// mayTrySite reports whether r may be the trial request of t's site (see Sites.TrialZones). Only a safe first
// try may.
func (b *Balancer) mayTrySite(t *backend, r *request) bool {
	return t.Zone < len(b.sites.TrialZones) && b.sites.TrialZones[t.Zone] && r.terms.Effect == Safe &&
		len(r.attempts) == 0 && !r.repeat
}

// maxPerBackend returns the maximum of attempts that this agent may have in flight at one backend.
func (b *Balancer) maxPerBackend() float64 { return max(1, maxBackendShares*b.perBackend*b.limitShare) }
