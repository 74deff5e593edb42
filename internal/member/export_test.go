package member

import (
	"fmt"
	"slices"
)

// Audit compares the indexes, counts and queue of m, which are updated with each change, with a full scan of all
// members, and returns an error that names the first difference.
func (m *Member) Audit() error {
	var want peerCounts
	accused := map[*peer]int{}
	eligible := 0
	for _, p := range m.order {
		if p.state == Alive {
			want.alive++
		}
		if p != m.self && !p.ended() {
			want.open++
			if p.known {
				want.known++
				if p.rec.doubt {
					want.doubting++
				}
			}
		}
		if m.trusts(p) {
			eligible++
			for _, e := range p.rec.list {
				if t := m.peers[e.id]; t != nil && t != p && e.mark&markUnreachable != 0 && e.lifeTag == t.rec.lifeTag() {
					accused[t]++
				}
			}
		}
		if len(p.rec.list) > 0 && !slices.Contains(m.reporters, p) {
			return fmt.Errorf("member %d has a list and is not in reporters", p.id)
		}
	}
	if want != m.counts {
		return fmt.Errorf("counts are %+v, want %+v", m.counts, want)
	}
	if n := m.eligible(); n != eligible {
		return fmt.Errorf("eligible returns %d, want %d", n, eligible)
	}
	for _, p := range m.order {
		if (accused[p] > 0 || p.state == Suspect || p.state == Unseen && p.known) && !p.ended() && p != m.self && !p.pending && !m.dirty {
			return fmt.Errorf("member %d (%v, accused by %d) is not pending", p.id, p.state, accused[p])
		}
		if !slices.Contains(m.buckets[p.id%buckets], p) {
			return fmt.Errorf("member %d is in no bucket", p.id)
		}
	}
	for r := range m.rings {
		if len(m.rings[r]) != len(m.order) || !slices.IsSortedFunc(m.rings[r], func(a, b *peer) int {
			if a.ringPositions[r] < b.ringPositions[r] {
				return -1
			}
			return 1
		}) {
			return fmt.Errorf("ring %d is not sorted or not complete", r)
		}
		for _, from := range m.order { // find the successor by a scan of all members
			var next *peer
			for _, p := range m.order {
				if p != m.self && !p.ended() && p != from && (next == nil || p.ringPositions[r]-from.ringPositions[r] < next.ringPositions[r]-from.ringPositions[r]) {
					next = p
				}
			}
			if got := m.successor(r, from.ringPositions[r], from.ringPositions[r]); got != next {
				return fmt.Errorf("ring %d: wrong successor of member %d", r, from.id)
			}
		}
	}
	n := 0
	for tier, news := range m.updates.tiers {
		for at, p := range news {
			if n++; !p.queued || p.tier != tier || p.tierIndex != at || p.sendCount >= p.sendLimit {
				return fmt.Errorf("update of member %d is at the wrong place in the queue", p.id)
			}
		}
	}
	if n != m.updates.n {
		return fmt.Errorf("%d updates counted, the queue holds %d", m.updates.n, n)
	}
	return nil
}
