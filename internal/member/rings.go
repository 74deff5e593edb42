package member

import (
	"hash/fnv"
	"slices"
)

// NameID returns the number of an agent that the configuration doesn't number: a hash of its name with the
// highest bit set, so that it differs from all configured numbers.
func NameID(name string) ID {
	h := fnv.New32a()
	h.Write([]byte(name))
	id := ID(h.Sum32() | 1<<31)
	if id == NoID {
		id--
	}
	return id
}

// ringPosition returns an agent's position on a ring, which is the same at all agents.
func ringPosition(ring int, id ID) uint64 { return mix(uint64(ring)<<32 | uint64(id)) }

// assignObservers computes which agents this one observes (subjects): on each ring its nearest successor that is alive
// and not in doubt, and also the agents passed on the way there, since those can't be relied on to observe their
// successors. In a small fleet this is
func (m *Member) assignObservers() {
	m.ringsChanged = false
	m.subjects = m.subjects[:0]
	for r := range rings {
		from := m.self.ringPositions[r]
		at := from
		for range maxListEntries / rings {
			next := m.successor(r, at, from)
			if next == nil {
				break
			}
			if !slices.Contains(m.subjects, next) {
				m.subjects = append(m.subjects, next)
			}
			if next.state == Alive && !next.rec.doubt {
				break
			}
			at = next.ringPositions[r]
		}
	}
	m.observers = m.observers[:0]
	for r := range rings {
		at := m.self.ringPositions[r]
		for range maxObserversPerRing {
			before := m.predecessor(r, at)
			if before == nil || before.ringPositions[r] == at {
				break
			}
			if !slices.Contains(m.observers, before) {
				m.observers = append(m.observers, before)
			}
			at = before.ringPositions[r]
			if !before.rec.doubt && !before.ended() {
				break
			}
		}
	}
	for _, s := range slices.Clone(m.slotList) {
		if s.subject = slices.Contains(m.subjects, s.p); !s.subject && !s.failing && !s.waiting {
			m.dropSlot(s.p.id)
		}
	}
	for _, p := range m.subjects {
		if s := m.slotFor(p); s != nil {
			s.subject = true
		}
	}
}

// successor returns the first agent after position at on ring r whose life has not ended, without this agent itself; nil
// if position from comes first.
func (m *Member) successor(r int, at, from uint64) *peer {
	ring := m.rings[r]
	i := m.ringIndex(r, at)
	for range ring {
		p := ring[i%len(ring)]
		i++
		if p == m.self || p.ended() || p.ringPositions[r] == at {
			continue
		}
		// Distances wrap around: one not smaller than the distance to from means that from was passed.
		if at != from && p.ringPositions[r]-at >= from-at {
			return nil
		}
		return p
	}
	return nil
}

// predecessor returns the last agent before position at on ring r whose life has not ended, without this agent itself;
// nil if no such agent exists.
func (m *Member) predecessor(r int, at uint64) *peer {
	ring := m.rings[r]
	i := m.ringIndex(r, at) + len(ring)
	for range ring {
		i--
		if p := ring[i%len(ring)]; p != m.self && !p.ended() && p.ringPositions[r] != at {
			return p
		}
	}
	return nil
}

// contactObservers sends a datagram to some observers of this agent while it doubts itself: an agent that
// receives nothing answers no probe, but is alive.
func (m *Member) contactObservers() {
	for range min(contactsPerPeriod, len(m.observers)) {
		p := m.observers[m.contactIndex%len(m.observers)]
		m.contactIndex++
		if !p.ended() {
			m.send(p, m.newPacket(p, kindGossip, 0), priorityReply)
		}
	}
}
