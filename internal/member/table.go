package member

// What is known of all. A digest for each bucket of members tells two agents at a glance whether they know the same.

func (m *Member) toggle(p *peer) { m.digests[p.id%buckets] ^= p.rec.hash() }

// lift takes what is known of p out of digests and number.
func (m *Member) lift(p *peer) {
	if p.known {
		m.toggle(p)
		m.number -= p.rec.rank()
	}
}

// put makes r what is known of p.
func (m *Member) put(p *peer, r record) {
	m.lift(p)
	m.tally(p, -1)
	if r.kind != kindFull { // an end says no more than that
		r.ver, r.name, r.zone, r.addr, r.doubt, r.note, r.list = 0, p.rec.name, p.rec.zone, p.rec.addr, false, "", nil
	}
	if len(r.list) > 0 && !p.lists {
		m.listers = append(m.listers, p)
		p.lists = true
	}
	p.rec, p.known = r, true
	m.tally(p, 1)
	m.attend(p)
	m.toggle(p)
	m.number += r.rank()
	m.dirty = true
	m.spread(p)
}

// merge takes a record that came, and returns the peer if what is known of it is newer. What one is sent since it
// seems to lack it is no news to others.
func (m *Member) merge(r *record, lacked bool) *peer {
	if r.id == m.cfg.Self {
		return m.mergeSelf(r)
	}
	p := m.peers[r.id]
	if p == nil {
		if !m.cfg.Strangers || r.kind != kindFull || !r.addr.IsValid() {
			return nil
		}
		if p = m.place(r.id); p == nil {
			return nil
		}
		m.reorder = true
	}
	switch {
	case p.known && p.rec.newer(r):
		return p
	case p.known && !r.newer(&p.rec): // others tell it too: it has spread
		if p.queued {
			m.news.told(p, heardCounts)
		}
		return nil
	}
	before, was := p.rec, p.known
	m.put(p, *r)
	if lacked && !was {
		p.spreads = 0
		m.news.remove(p)
	}
	life := !was || before.start != r.start || before.inc != r.inc
	if life && p.slot != nil { // what was found out is of the life before
		p.slot.rest()
		m.listChanged = true
	}
	if life || before.kind != r.kind || before.doubt != r.doubt {
		m.settle(p, life)
	}
	if m.heeds(p) {
		for _, e := range r.list { // others that observe it find out sooner whether it is so
			if t := m.peers[e.id]; t != nil && t.slot != nil && e.mark&lost != 0 && t.slot.subject && !t.slot.failing && m.rested(t.slot) {
				t.slot.hurried = true
			}
		}
	}
	return nil
}

// mergeSelf takes what others hold of this agent. Who learns of its own end, or of an earlier life that seems later
// than its own (a start counter that was lost), takes the next life.
func (m *Member) mergeSelf(r *record) *peer {
	mine := &m.self.rec
	if m.leaving {
		return nil
	}
	switch theirs, own := r.rank(), mine.rank(); {
	case theirs < own:
		return m.self
	case theirs == own:
		if int32(r.ver-mine.ver) > 0 { // the same life, before a memory that was lost
			next := *mine
			next.ver = r.ver + 1
			m.put(m.self, next)
		}
		return nil
	}
	next := *mine
	switch {
	case r.start > mine.start:
		next.start, next.inc = r.start+1, 0
	case r.inc == ^uint16(0):
		next.start, next.inc = r.start+1, 0
	default:
		next.inc = r.inc + 1
	}
	next.ver++
	m.put(m.self, next)
	return nil
}

// settle brings a member's state in line with a record of another rank.
func (m *Member) settle(p *peer, life bool) {
	switch {
	case p.rec.kind == kindLeft:
		m.become(p, Left)
	case p.ended():
		m.become(p, Dead)
	case life || p.state == Dead || p.state == Left:
		p.fewAt = 0
		m.become(p, Alive)
	}
	if p.ended() {
		m.drop(p.id)
	}
	m.reorder = true
}
