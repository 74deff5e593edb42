package member

import (
	"fmt"
	"slices"
)

// Audit holds what a member keeps as things change against a plain count over all members.
func (m *Member) Audit() error {
	var want tallies
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
		if m.heeds(p) {
			eligible++
			for _, e := range p.rec.list {
				if t := m.peers[e.id]; t != nil && t != p && e.mark&lost != 0 && e.tag == t.rec.tag() {
					accused[t]++
				}
			}
		}
		if len(p.rec.list) > 0 && !slices.Contains(m.listers, p) {
			return fmt.Errorf("%d has a list and is not among those that do", p.id)
		}
	}
	if want != m.count {
		return fmt.Errorf("counted %+v, are %+v", m.count, want)
	}
	if n := m.eligible(); n != eligible {
		return fmt.Errorf("%d observers counted, are %d", n, eligible)
	}
	for _, p := range m.order {
		if (accused[p] > 0 || p.state == Suspect || p.state == Unseen && p.known) && !p.ended() && p != m.self && !p.attended && !m.dirty {
			return fmt.Errorf("%d (%v, accused by %d) is not attended to", p.id, p.state, accused[p])
		}
		if !slices.Contains(m.buckets[p.id%buckets], p) {
			return fmt.Errorf("%d is in no bucket", p.id)
		}
	}
	for r := range m.rings {
		if len(m.rings[r]) != len(m.order) || !slices.IsSortedFunc(m.rings[r], func(a, b *peer) int {
			if a.ring[r] < b.ring[r] {
				return -1
			}
			return 1
		}) {
			return fmt.Errorf("ring %d is out of order", r)
		}
		for _, from := range m.order { // the next on the ring, found by looking at all
			var next *peer
			for _, p := range m.order {
				if p != m.self && !p.ended() && p != from && (next == nil || p.ring[r]-from.ring[r] < next.ring[r]-from.ring[r]) {
					next = p
				}
			}
			if got := m.after(r, from.ring[r], from.ring[r]); got != next {
				return fmt.Errorf("ring %d: another one follows %d", r, from.id)
			}
		}
	}
	n := 0
	for tier, news := range m.news.tiers {
		for at, p := range news {
			if n++; !p.queued || p.tier != tier || p.place != at || p.sent >= p.spreads {
				return fmt.Errorf("news of %d stand in the wrong place", p.id)
			}
		}
	}
	if n != m.news.n {
		return fmt.Errorf("%d pieces of news counted, are %d", m.news.n, n)
	}
	return nil
}
