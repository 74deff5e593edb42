package member

import (
	"hash/fnv"
	"slices"
)

// NameID is the number of an agent that no settings number: a hash of its name, with the highest bit set so that
// it is none of theirs.
func NameID(name string) ID {
	h := fnv.New32a()
	h.Write([]byte(name))
	id := ID(h.Sum32() | 1<<31)
	if id == Nobody {
		id--
	}
	return id
}

// ringHash is an agent's place on a ring. Places are the same at all agents.
func ringHash(ring int, id ID) uint64 { return mix(uint64(ring)<<32 | uint64(id)) }

// observe works out whom this agent observes: on each ring the next agent that lives, and those in doubt before it,
// which may not observe for themselves. In a fleet of a few agents that is all of them.
func (m *Member) observe() {
	m.reorder = false
	m.subjects = m.subjects[:0]
	for r := range rings {
		from := m.self.ring[r]
		at := from
		for range listMost / rings {
			next := m.after(r, at, from)
			if next == nil {
				break
			}
			if !slices.Contains(m.subjects, next) {
				m.subjects = append(m.subjects, next)
			}
			if next.state == Alive && !next.rec.doubt {
				break
			}
			at = next.ring[r]
		}
	}
	m.observers = m.observers[:0]
	for r := range rings {
		at := m.self.ring[r]
		for range observersBack {
			before := m.before(r, at)
			if before == nil || before.ring[r] == at {
				break
			}
			if !slices.Contains(m.observers, before) {
				m.observers = append(m.observers, before)
			}
			at = before.ring[r]
			if !before.rec.doubt && !before.ended() {
				break
			}
		}
	}
	for _, s := range slices.Clone(m.slotOrder) {
		if s.subject = slices.Contains(m.subjects, s.p); !s.subject && !s.failing && !s.waiting {
			m.drop(s.p.id)
		}
	}
	for _, p := range m.subjects {
		if s := m.slotFor(p); s != nil {
			s.subject = true
		}
	}
}

// after is the agent that follows a place on a ring, among those whose life hasn't ended; nil where the way there
// comes past from.
func (m *Member) after(r int, at, from uint64) *peer {
	ring := m.rings[r]
	i := m.seek(r, at)
	for range ring {
		p := ring[i%len(ring)]
		i++
		if p == m.self || p.ended() || p.ring[r] == at {
			continue
		}
		// Distances go round: one that is farther than from has come past it.
		if at != from && p.ring[r]-at >= from-at {
			return nil
		}
		return p
	}
	return nil
}

// before is the agent that goes before a place on a ring, among those whose life hasn't ended.
func (m *Member) before(r int, at uint64) *peer {
	ring := m.rings[r]
	i := m.seek(r, at) + len(ring)
	for range ring {
		i--
		if p := ring[i%len(ring)]; p != m.self && !p.ended() && p.ring[r] != at {
			return p
		}
	}
	return nil
}

// call has those that observe this agent hear it while it doubts itself: one that hears nobody is answered by nobody,
// and still lives.
func (m *Member) call() {
	for range min(callsEach, len(m.observers)) {
		p := m.observers[m.called%len(m.observers)]
		m.called++
		if !p.ended() {
			m.send(p, m.packet(p, kindGossip, 0), answer)
		}
	}
}
