package core

import "hash/maphash"

// This file remembers which requests must not run again.

// RequestClaims records the requests that may have run, over all processes of the agent: a client may come back with one to
// another process. Its methods must not block.
type RequestClaims interface {
	Claim(key string) (token uint64, ok bool) // records a request that is about to run; !ok: it is recorded already
	Release(key string, token uint64)         // removes the record of a request that certainly has not run
}

// recentIDs holds the ids of the calls that ended last and may have run, at most maxRecentIDs of them. It keeps hashes, so
// that long ids take no more memory.
type recentIDs struct {
	seed maphash.Seed
	ids  map[uint64]int // by hash: how many of those in ring
	ring []uint64       // hashes in the order of their calls' ends, overwritten in a circle; 0: none
	next int            // position in ring of the oldest one
}

const maxRecentIDs = 4096 // three seconds at 1,300 requests a second, longer than any client waits

func newRecentIDs() *recentIDs {
	return &recentIDs{seed: maphash.MakeSeed(), ids: map[uint64]int{}, ring: make([]uint64, maxRecentIDs)}
}

func (r *recentIDs) hash(id string) uint64 { return max(maphash.String(r.seed, id), 1) }

func (r *recentIDs) has(id string) bool { return r.ids[r.hash(id)] > 0 }

func (r *recentIDs) add(id string) {
	oldest, hash := r.ring[r.next], r.hash(id)
	if r.ids[oldest]--; r.ids[oldest] <= 0 {
		delete(r.ids, oldest)
	}
	r.ids[hash]++
	r.ring[r.next] = hash
	r.next = (r.next + 1) % len(r.ring)
}

// mayHaveRun reports whether a backend may have executed one of the attempts that have ended.
func (c *Call) mayHaveRun() bool {
	for _, a := range c.attempts {
		if a.mayHaveRun {
			return true
		}
	}
	return false
}

// claim records that a call's request is about to run. It returns false if the request may have run before, at this process
// or another one.
func (l *Loop) claim(c *Call) (ok bool) {
	if l.Claims == nil || c.ClaimKey == "" || c.claimed {
		return true
	}
	c.claimToken, c.claimed = l.Claims.Claim(c.ClaimKey)
	return c.claimed
}

// remember keeps what has to be known of a call that has ended: nothing, if it certainly has not run.
func (l *Loop) remember(c *Call) {
	switch {
	case !c.mayHaveRun():
		if c.claimed {
			l.Claims.Release(c.ClaimKey, c.claimToken)
		}
	case c.ClaimKey == "":
		l.recentRepeatable.add(c.Event.ID)
	default: // kept apart, so that requests that may run again don't push them out
		l.recent.add(c.Event.ID)
	}
}

// isRecent reports whether a call with this id has ended recently and may have run.
func (l *Loop) isRecent(id string) bool { return l.recent.has(id) || l.recentRepeatable.has(id) }
