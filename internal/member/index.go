package member

import (
	"cmp"
	"slices"
)

// The indexes and counts here are kept up to date on every change, so that no datagram and no tick costs
// time that grows with the fleet: members by ring and by bucket, counts by state, the peers that evaluate
// has to examine, and the updates by how often they were sent. Rare operations scan order, the list of all
// members.

// index holds all members in several orders.
type index struct {
	order   []*peer          // by ID, for a deterministic iteration
	rings   [rings][]*peer   // by position on each ring
	buckets [buckets][]*peer // by ID modulo buckets; a digest covers the records of a bucket
}

func byID(p *peer, id ID) int { return cmp.Compare(p.id, id) }

// build fills an empty index with all members at once.
func (x *index) build(all []*peer) {
	x.order = slices.SortedFunc(slices.Values(all), func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	for r := range x.rings {
		x.rings[r] = slices.SortedFunc(slices.Values(all), func(a, b *peer) int { return cmp.Compare(a.ringPositions[r], b.ringPositions[r]) })
	}
	for b := range x.buckets {
		x.buckets[b] = nil
	}
	for _, p := range x.order {
		b := &x.buckets[p.id%buckets]
		*b = append(*b, p)
	}
}

// insert adds p to all orders.
func (x *index) insert(p *peer) {
	at, _ := slices.BinarySearchFunc(x.order, p.id, byID)
	x.order = slices.Insert(x.order, at, p)
	for r := range x.rings {
		x.rings[r] = slices.Insert(x.rings[r], x.ringIndex(r, p.ringPositions[r]), p)
	}
	b := &x.buckets[p.id%buckets]
	at, _ = slices.BinarySearchFunc(*b, p.id, byID)
	*b = slices.Insert(*b, at, p)
}

// remove removes p from all orders.
func (x *index) remove(p *peer) {
	same := func(o *peer) bool { return o == p }
	x.order = slices.DeleteFunc(x.order, same)
	for r := range x.rings {
		x.rings[r] = slices.DeleteFunc(x.rings[r], same)
	}
	b := &x.buckets[p.id%buckets]
	*b = slices.DeleteFunc(*b, same)
}

// ringIndex returns the index of the first member on ring r at or after position at.
func (x *index) ringIndex(r int, at uint64) int {
	i, _ := slices.BinarySearchFunc(x.rings[r], at, func(p *peer, at uint64) int { return cmp.Compare(p.ringPositions[r], at) })
	return i
}

// peerCounts holds counts of members. All but alive leave this agent out.
type peerCounts struct {
	open     int // members whose life has not ended, as far as known
	known    int // of open: members of which a record was received
	doubting int // of known: members that doubt themselves
	alive    int // members in state Alive, this agent included
}

// adjustCounts adds n times p to the counts: -1 before a change of p, 1 after it.
func (m *Member) adjustCounts(p *peer, n int) {
	if p.state == Alive {
		m.counts.alive += n
	}
	if p == m.self || p.ended() {
		return
	}
	m.counts.open += n
	if p.known {
		m.counts.known += n
		if p.rec.doubt {
			m.counts.doubting += n
		}
	}
}

// markPending makes the next evaluate derive the state of p again.
func (m *Member) markPending(p *peer) {
	if !p.pending {
		p.pending = true
		m.pending = append(m.pending, p)
	}
}

// updateQueue holds the peers whose records are still gossiped, in tiers by the number of times that this agent has
// sent the record. A peer is in one tier at most.
type updateQueue struct {
	tiers [][]*peer // by number of sends so far
	n     int       // queued peers in all tiers
}

// maxTiers is the number of tiers. Peers whose records were sent maxTiers-1 times or more share the last one.
const maxTiers = 96

// add queues p in the tier of its sendCount; p must not be queued.
func (q *updateQueue) add(p *peer) {
	tier := min(p.sendCount, maxTiers-1)
	for len(q.tiers) <= tier {
		q.tiers = append(q.tiers, nil)
	}
	p.queued, p.tier, p.tierIndex = true, tier, len(q.tiers[tier])
	q.tiers[tier] = append(q.tiers[tier], p)
	q.n++
}

// remove takes p out of the queue, if it is queued.
func (q *updateQueue) remove(p *peer) {
	if !p.queued {
		return
	}
	tier := q.tiers[p.tier]
	last := tier[len(tier)-1]
	tier[p.tierIndex], last.tierIndex = last, p.tierIndex
	tier[len(tier)-1] = nil
	q.tiers[p.tier] = tier[:len(tier)-1]
	p.queued = false
	q.n--
}

// countSends adds n to the number of times that p's record was sent, and stops gossiping it at p.sendLimit.
func (q *updateQueue) countSends(p *peer, n int) {
	q.remove(p)
	if p.sendCount += n; p.sendCount < p.sendLimit {
		q.add(p)
	}
}

// all yields the queued peers, the least often sent first. yield must not change the queue.
func (q *updateQueue) all(yield func(*peer) bool) {
	for _, tier := range q.tiers {
		for i := range tier {
			if !yield(tier[len(tier)-1-i]) { // newest first: other agents most likely lack it
				return
			}
		}
	}
}
