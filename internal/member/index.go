package member

import (
	"cmp"
	"slices"
)

// What is kept as things change, so that no datagram and no tick costs time that grows with the fleet: the members by
// ring and by bucket, how many are in which state, whom evaluate has to look at, and the news by how often they were
// sent. order stays the list of all, for what is done once in a while.

// index holds the orders of all members.
type index struct {
	order   []*peer        // by ID, so that nothing hangs on a map's order
	rings   [rings][]*peer // by place on each ring
	buckets [buckets][]*peer
}

func byID(p *peer, id ID) int { return cmp.Compare(p.id, id) }

// fill makes the index of many at once.
func (x *index) fill(all []*peer) {
	x.order = slices.SortedFunc(slices.Values(all), func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	for r := range x.rings {
		x.rings[r] = slices.SortedFunc(slices.Values(all), func(a, b *peer) int { return cmp.Compare(a.ring[r], b.ring[r]) })
	}
	for b := range x.buckets {
		x.buckets[b] = nil
	}
	for _, p := range x.order {
		b := &x.buckets[p.id%buckets]
		*b = append(*b, p)
	}
}

func (x *index) insert(p *peer) {
	at, _ := slices.BinarySearchFunc(x.order, p.id, byID)
	x.order = slices.Insert(x.order, at, p)
	for r := range x.rings {
		x.rings[r] = slices.Insert(x.rings[r], x.seek(r, p.ring[r]), p)
	}
	b := &x.buckets[p.id%buckets]
	at, _ = slices.BinarySearchFunc(*b, p.id, byID)
	*b = slices.Insert(*b, at, p)
}

func (x *index) remove(p *peer) {
	same := func(o *peer) bool { return o == p }
	x.order = slices.DeleteFunc(x.order, same)
	for r := range x.rings {
		x.rings[r] = slices.DeleteFunc(x.rings[r], same)
	}
	b := &x.buckets[p.id%buckets]
	*b = slices.DeleteFunc(*b, same)
}

// seek is where on a ring the first member stands that is not before at.
func (x *index) seek(r int, at uint64) int {
	i, _ := slices.BinarySearchFunc(x.rings[r], at, func(p *peer, at uint64) int { return cmp.Compare(p.ring[r], at) })
	return i
}

// tallies count members by what is known of them, this agent left out.
type tallies struct {
	open     int // whose life has not ended, as far as is known
	known    int // of these, those that were heard of
	doubting int // of these, those that doubt themselves
	alive    int // held for alive, by state; this agent among them
}

// tally counts p in with 1, before a change out with -1.
func (m *Member) tally(p *peer, n int) {
	if p.state == Alive {
		m.count.alive += n
	}
	if p == m.self || p.ended() {
		return
	}
	m.count.open += n
	if p.known {
		m.count.known += n
		if p.rec.doubt {
			m.count.doubting += n
		}
	}
}

// attend has evaluate look at p.
func (m *Member) attend(p *peer) {
	if !p.attended {
		p.attended = true
		m.attended = append(m.attended, p)
	}
}

// queue holds news by how often each was sent, the least often sent first. An item is in one tier.
type queue struct {
	tiers [][]*peer
	n     int
}

// tiersMost bounds how often a piece of news is counted as sent.
const tiersMost = 96

func (q *queue) add(p *peer) {
	tier := min(p.sent, tiersMost-1)
	for len(q.tiers) <= tier {
		q.tiers = append(q.tiers, nil)
	}
	p.queued, p.tier, p.place = true, tier, len(q.tiers[tier])
	q.tiers[tier] = append(q.tiers[tier], p)
	q.n++
}

func (q *queue) remove(p *peer) {
	if !p.queued {
		return
	}
	tier := q.tiers[p.tier]
	last := tier[len(tier)-1]
	tier[p.place], last.place = last, p.place
	tier[len(tier)-1] = nil
	q.tiers[p.tier] = tier[:len(tier)-1]
	p.queued = false
	q.n--
}

// told counts so many more sends of p, and drops it where they are enough.
func (q *queue) told(p *peer, n int) {
	q.remove(p)
	if p.sent += n; p.sent < p.spreads {
		q.add(p)
	}
}

// all yields the news, the least often sent first. What it yields may not change the queue meanwhile.
func (q *queue) all(yield func(*peer) bool) {
	for _, tier := range q.tiers {
		for i := range tier {
			if !yield(tier[len(tier)-1-i]) { // the last that came first: what is new is what others lack
				return
			}
		}
	}
}
