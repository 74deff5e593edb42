package member

// This file keeps the records of all members. A digest per bucket of members shows two agents whether they
// hold the same records.

// toggleDigest adds p's record to the digest of its bucket, or removes it if it is included: an XOR does both.
func (m *Member) toggleDigest(p *peer) { m.digests[p.id%buckets] ^= p.rec.hash() }

// removeFromDigest removes the record of p, if one is known, from the digest of its bucket and from Member.number.
func (m *Member) removeFromDigest(p *peer) {
	if p.known {
		m.toggleDigest(p)
		m.number -= p.rec.rank()
	}
}

// setRecord replaces the record of p with r and queues it for gossip.
func (m *Member) setRecord(p *peer, r record) {
	m.removeFromDigest(p)
	m.adjustCounts(p, -1)
	if r.kind != kindFull { // an end record has no other fields
		r.version, r.name, r.zone, r.addr, r.doubt, r.note, r.list = 0, p.rec.name, p.rec.zone, p.rec.addr, false, "", nil
	}
	if len(r.list) > 0 && !p.reporting {
		m.reporters = append(m.reporters, p)
		p.reporting = true
	}
	p.rec, p.known = r, true
	m.adjustCounts(p, 1)
	m.markPending(p)
	m.toggleDigest(p)
	m.number += r.rank()
	m.dirty = true
	m.queueUpdate(p)
}

// merge processes a received record. It returns the peer if the record held here is newer, so that the caller can send
// that one back. A peer's first record from a sync (fromSync) is not gossiped on: only this agent lacked it.
func (m *Member) merge(r *record, fromSync bool) *peer {
	if r.id == m.cfg.Self {
		return m.mergeSelf(r)
	}
	p := m.peers[r.id]
	if p == nil {
		if !m.cfg.Strangers || r.kind != kindFull || !r.addr.IsValid() {
			return nil
		}
		if p = m.addStranger(r.id); p == nil {
			return nil
		}
		m.ringsChanged = true
	}
	switch {
	case p.known && p.rec.supersedes(r):
		return p
	case p.known && !r.supersedes(&p.rec): // others gossip it too, so it has spread
		if p.queued {
			m.updates.countSends(p, duplicateSends)
		}
		return nil
	}
	before, wasKnown := p.rec, p.known
	m.setRecord(p, *r)
	if fromSync && !wasKnown {
		p.sendLimit = 0
		m.updates.remove(p)
	}
	newLife := !wasKnown || before.start != r.start || before.incarnation != r.incarnation
	if newLife && p.slot != nil { // the probe results are of the earlier life
		p.slot.reset()
		m.listChanged = true
	}
	if newLife || before.kind != r.kind || before.doubt != r.doubt {
		m.applyRecordState(p, newLife)
	}
	if m.trusts(p) {
		for _, e := range r.list { // probe early what another observer lists, to confirm or refute it sooner
			if t := m.peers[e.id]; t != nil && t.slot != nil && e.mark&markUnreachable != 0 && t.slot.subject && !t.slot.failing && m.mayProbeEarly(t.slot) {
				t.slot.probeNow = true
			}
		}
	}
	return nil
}

// mergeSelf processes a record about this agent that another one holds. If it states the end of this agent's life, or a
// later life than the present one (after the loss of the start counter), this agent starts a new life with a still
// higher rank. It returns this agent if its own record is newer.
func (m *Member) mergeSelf(r *record) *peer {
	mine := &m.self.rec
	if m.leaving {
		return nil
	}
	switch theirs, own := r.rank(), mine.rank(); {
	case theirs < own:
		return m.self
	case theirs == own:
		if int32(r.version-mine.version) > 0 { // published by this life before its process lost its state
			next := *mine
			next.version = r.version + 1
			m.setRecord(m.self, next)
		}
		return nil
	}
	next := *mine
	switch {
	case r.start > mine.start:
		next.start, next.incarnation = r.start+1, 0
	case r.incarnation == ^uint16(0):
		next.start, next.incarnation = r.start+1, 0
	default:
		next.incarnation = r.incarnation + 1
	}
	next.version++
	m.setRecord(m.self, next)
	return nil
}

// applyRecordState sets the state of p after a record of another life, kind or doubt has replaced its old one; newLife
// is whether the record is of another life.
func (m *Member) applyRecordState(p *peer, newLife bool) {
	switch {
	case p.rec.kind == kindLeft:
		m.setState(p, Left)
	case p.ended():
		m.setState(p, Dead)
	case newLife || p.state == Dead || p.state == Left:
		p.clearingSince = 0
		m.setState(p, Alive)
	}
	if p.ended() {
		m.dropSlot(p.id)
	}
	m.ringsChanged = true
}
