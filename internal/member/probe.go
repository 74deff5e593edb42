package member

import (
	"cmp"
	"slices"
	"time"
)

// slot is a probe in hand, or what the last ones told of an agent that this one observes.
type slot struct {
	p       *peer
	subject bool // observed; else it goes once it has answered
	hurried bool // others list it: probe it now
	sample  bool // its probe is one that this agent judges itself by
	mark    mark

	waiting  bool // for an answer
	seq      uint32
	firstSeq uint32 // of the first probe that failed
	sentAt   time.Duration
	due      time.Duration
	nextAt   time.Duration

	failing   bool
	failSince time.Duration // when the first of the failing probes was sent
	tries     int           // that failed in a row
	vouchAt   time.Duration // when others last reached it, since then; -1: they haven't
	hearsMe   bool          // and it said that it hears this agent straight
	refusals  int
	refusedAt time.Duration
}

// rest forgets what probes told.
func (s *slot) rest() {
	*s = slot{p: s.p, subject: s.subject, vouchAt: -1}
}

// slotFor is the slot of p; nil where there is no room for one more.
func (m *Member) slotFor(p *peer) *slot {
	if p.slot != nil {
		return p.slot
	}
	if len(m.slotOrder) >= 2*listMost {
		return nil
	}
	s := &slot{p: p, vouchAt: -1}
	p.slot, m.slots[p.id] = s, s
	m.slotOrder = append(m.slotOrder, s)
	return s
}

func (m *Member) drop(id ID) {
	s := m.slots[id]
	if s == nil {
		return
	}
	s.p.slot = nil
	delete(m.slots, id)
	m.slotOrder = slices.DeleteFunc(m.slotOrder, func(o *slot) bool { return o == s })
	m.listChanged = m.listChanged || s.mark != 0
}

// probe sends the probes that are due and notes those that were not answered.
func (m *Member) probe() {
	if m.reorder {
		m.observe()
	}
	for i := len(m.slotOrder) - 1; i >= 0; i-- { // from behind, since one may go
		s := m.slotOrder[i]
		if s.waiting && s.due <= m.now {
			m.missed(s)
			if s.p.slot != s {
				continue
			}
		}
		if !s.waiting && (s.failing && s.nextAt <= m.now || s.hurried) {
			s.hurried = false
			m.ping(s)
		}
	}
	if m.now < m.nextProbe {
		return
	}
	m.nextProbe = m.now + time.Duration((0.9+0.2*m.rng.Float64())*float64(m.cfg.Period))
	m.probes++
	alarmed := m.alarmed()
	s := m.oldest()
	if !alarmed && (s == nil || m.probes%randomEvery == 0) {
		s = cmp.Or(m.other(), s)
	}
	if s != nil {
		m.ping(s)
	}
	if m.doubt {
		m.call()
	}
	if !alarmed {
		m.wasAlarmed = false
		return
	}
	n := 1
	if !m.wasAlarmed { // at once: others may be about to believe what this one lists
		n, m.wasAlarmed = sweepFirst, true
	}
	for range n {
		if s := m.other(); s != nil {
			m.ping(s)
		}
	}
}

// other is a slot for the one whose turn it is among all, failing or not: what comes of these probes is what this
// agent judges itself by. Where there is no room for more, who is listed must not change with each turn.
func (m *Member) other() *slot {
	p := m.next()
	if p == nil || p.slot == nil && m.failing() >= listMost {
		return nil
	}
	s := m.slotFor(p)
	if s == nil {
		return nil
	}
	s.sample = true
	if s.waiting { // its probe is on its way
		return nil
	}
	return s
}

// outcome is what came of one of those probes.
type outcome struct {
	id ID
	ok bool
	at time.Duration
}

// sampled notes what came of a probe.
func (m *Member) sampled(s *slot, ok bool) {
	if s.sample {
		s.sample = false
		m.sample[m.samples%len(m.sample)] = outcome{s.p.id, ok, m.now}
		m.samples++
	}
}

// judgeSelf counts the last outcomes of different agents, sampleMost at the most.
func (m *Member) judgeSelf() (ok, all int) {
	var seen [sampleMost]ID
	for i := 1; i <= min(m.samples, len(m.sample)) && all < sampleMost; i++ {
		o := m.sample[(m.samples-i)%len(m.sample)]
		if m.now-o.at >= sampleFor*m.cfg.Period {
			break
		}
		if p := m.peers[o.id]; p == nil || p.ended() || slices.Contains(seen[:all], o.id) {
			continue
		}
		seen[all] = o.id
		all++
		if o.ok {
			ok++
		}
	}
	return ok, all
}

// rested reports whether one may be probed out of turn.
func (m *Member) rested(s *slot) bool { return !s.waiting && m.now-s.sentAt >= 2*m.cfg.Period }

// oldest is the observed agent whose last probe is longest ago, of those that answer.
func (m *Member) oldest() (best *slot) {
	for _, s := range m.slotOrder {
		if s.subject && !s.waiting && !s.failing && (best == nil || s.sentAt < best.sentAt) {
			best = s
		}
	}
	return best
}

// next is the agent whose turn it is among all that may live; nil: there is none.
func (m *Member) next() *peer {
	for range 2 {
		for len(m.turn) > 0 {
			p := m.peers[m.turn[len(m.turn)-1]]
			m.turn = m.turn[:len(m.turn)-1]
			if p != nil && p != m.self && !p.ended() {
				return p
			}
		}
		for _, p := range m.order {
			if p != m.self && !p.ended() {
				m.turn = append(m.turn, p.id)
			}
		}
		m.rng.Shuffle(len(m.turn), func(i, j int) { m.turn[i], m.turn[j] = m.turn[j], m.turn[i] })
	}
	return nil
}

// ping probes straight.
func (m *Member) ping(s *slot) {
	m.seq++
	s.seq, s.sentAt, s.waiting = m.seq, m.now, true
	s.due = m.now + time.Duration((1+m.health)*float64(m.cfg.Period))
	if !m.send(s.p, m.packet(s.p, kindPing, m.seq), finds) {
		s.waiting = false
		s.nextAt = m.now + m.cfg.Period
		if !s.subject && !s.failing { // another time
			m.drop(s.p.id)
		}
	}
}

// missed takes that a probe was not answered in time.
func (m *Member) missed(s *slot) {
	s.waiting = false
	s.p.failAt = m.now
	m.sampled(s, false)
	if m.heardAny < s.sentAt { // nothing of anybody: rather this agent's ears than theirs
		m.health = min(healthMost, m.health+healthStep)
	}
	m.fails(s)
	n := 0
	switch {
	case s.tries%2 == 0, m.doubt && s.tries > suspectTries:
	case s.tries > suspectTries:
		n = 1
	default:
		n = helpers
	}
	if m.tokens < float64(2*n) { // its own probes come first
		n = 0
	}
	asked := m.pick(n, s.p)
	if len(asked) > 0 { // one of them one that it observes itself, which hears it even if it hears nobody
		if h := m.after(s.tries/2%rings, s.p.ring[s.tries/2%rings], s.p.ring[s.tries/2%rings]); h != nil && h != s.p {
			asked[len(asked)-1] = h
		}
	}
	for _, h := range asked {
		m.send(h, &packet{kind: kindAsk, seq: s.seq, target: s.p.id}, finds)
	}
	m.relist(s)
}

// fails notes one more probe in a row without an answer.
func (m *Member) fails(s *slot) {
	if !s.failing {
		s.failing, s.failSince, s.firstSeq, s.vouchAt, s.tries = true, s.sentAt, s.seq, -1, 0
	}
	s.tries++
	s.nextAt = m.now
	if s.tries > suspectTries || !s.subject { // of those not observed it wants to know of itself alone
		// All together get no more probes than a few would.
		slow := max(slowestProbe, float64(m.failing())/failingShare) - 1
		s.nextAt += time.Duration(slow * float64(m.cfg.Period) * (0.8 + 0.4*m.rng.Float64()))
	}
}

// failing is how many agents don't answer now.
func (m *Member) failing() (n int) {
	for _, s := range m.slotOrder {
		if s.failing {
			n++
		}
	}
	return n
}

// alarmed reports whether so many don't answer that this agent has to ask itself whether it is the one.
func (m *Member) alarmed() bool {
	n := 0
	for _, s := range m.slotOrder {
		if s.failing && s.tries >= alarmTries {
			n++
		}
	}
	return n > 1 || n == 1 && m.count.open == 1
}

// hear takes that something came straight from p.
func (m *Member) hear(p *peer) {
	p.heardAt, m.heardAny = m.now, m.now
	if p.slot != nil && p.slot.refusals > 0 {
		p.slot.refusals = 0
	}
	if s := p.slot; s != nil && s.mark != 0 {
		if s.mark&lost != 0 && m.rested(s) {
			s.nextAt = m.now
		}
		m.relist(s)
	}
}

// heardLately reports whether something of p came straight, and it is not that probes of it began to fail since.
func (m *Member) heardLately(p *peer) bool {
	if p.slot != nil && p.slot.failing && p.heardAt < p.slot.failSince {
		return false
	}
	return p.heardAt >= 0 && m.now-p.heardAt < vouchFor*m.cfg.Period
}

// answered takes an ack: both ways are open.
func (m *Member) answered(p *peer, seq uint32) {
	s := p.slot
	if s == nil || !s.meant(seq) {
		return
	}
	p.okAt = m.now
	m.sampled(s, true)
	m.health = max(0, m.health-healthHeal)
	listed := s.mark != 0
	was := *s
	s.rest()
	s.sentAt = was.sentAt
	m.listChanged = m.listChanged || listed
	m.dirty = m.dirty || listed
	if !s.subject {
		m.drop(p.id)
	}
}

// meant reports whether seq is of a probe that still counts.
func (s *slot) meant(seq uint32) bool {
	if s.failing {
		return int32(seq-s.firstSeq) >= 0 && int32(s.seq-seq) >= 0
	}
	return s.waiting && seq == s.seq
}

// refused takes that the agent's machine said that nobody listens.
func (m *Member) refused(s *slot) {
	if s.refusals > 0 && m.now-s.refusedAt < refusedApart*m.cfg.Period {
		return
	}
	if !s.waiting && !s.failing { // what was refused was no probe
		m.seq++
		s.seq, s.sentAt = m.seq, m.now
	}
	s.waiting = false
	s.p.failAt = m.now
	m.sampled(s, false)
	m.fails(s)
	s.nextAt = m.now + refusedApart*m.cfg.Period
	if s.tries > suspectTries {
		s.nextAt += m.cfg.Period
	}
	s.refusals, s.refusedAt = s.refusals+1, m.now
	m.heardAny = m.now // this agent's ears and voice are well
	m.relist(s)
}

// relist works out what this agent holds of one that doesn't answer.
func (m *Member) relist(s *slot) {
	now, period := m.now, m.cfg.Period
	hold := time.Duration(vouchFor) * period
	if s.mark&(unheard|unhearing) != 0 && s.mark&lost == 0 {
		hold = vouchLong * period
	}
	heard := s.p.heardAt >= s.failSince && now-s.p.heardAt < hold
	vouched := s.vouchAt >= 0 && now-s.vouchAt < hold
	next := s.mark
	switch {
	case !s.failing:
		next = 0
	case s.refusals > 0 && !heard && !(vouched && s.vouchAt > s.refusedAt):
		next = lost | refusing
		if s.refusals > 1 {
			next |= ripe
		}
	case heard || vouched:
		next &= unheard | unhearing
		if s.tries >= pairTries {
			next = 0
			if !heard {
				next |= unheard
			}
			if !vouched || !s.hearsMe {
				next |= unhearing
			}
		}
	case !s.subject: // observers accuse; one in doubt makes itself heard by them, not by all
		next &= unheard | unhearing
	case float64(s.tries) >= suspectTries*(1+m.health) || s.mark&lost != 0:
		next = lost
		if now-max(s.failSince, s.vouchAt, s.p.heardAt) >= m.cfg.Pause {
			next |= ripe
		}
	}
	if next != s.mark {
		s.mark, m.listChanged = next, true
	}
}

// favour is a probe for another agent.
type favour struct {
	asker, target ID
	seq           uint32
	till          time.Duration
}

// favour probes for p.
func (m *Member) favour(p *peer, pk *packet) {
	target := m.peers[pk.target]
	if target == nil || target == m.self || target == p {
		return
	}
	if target.heardAt >= 0 && m.now-target.heardAt < vouchFor*m.cfg.Period { // it may hear nobody, and live
		m.send(p, &packet{kind: kindHeard, seq: pk.seq, target: target.id, age: uint16((m.now - target.heardAt) / ageUnit)}, finds)
	}
	m.helped = slices.DeleteFunc(m.helped, func(f favour) bool { return f.till <= m.now })
	if len(m.helped) >= favoursMost {
		return
	}
	m.helped = append(m.helped, favour{p.id, target.id, pk.seq, m.now + vouchFor*m.cfg.Period})
	m.send(target, &packet{kind: kindCall, seq: pk.seq, target: p.id}, finds)
}

// passOn tells the one that asked that the other has answered.
func (m *Member) passOn(p *peer, pk *packet) {
	at := slices.IndexFunc(m.helped, func(f favour) bool { return f.asker == pk.target && f.target == p.id && f.seq == pk.seq })
	if at < 0 {
		return
	}
	m.helped = slices.Delete(m.helped, at, at+1)
	if asker := m.peers[pk.target]; asker != nil {
		m.send(asker, &packet{kind: kindVouch, seq: pk.seq, target: p.id, hears: pk.hears}, finds)
	}
}

// vouched takes that another has reached, or at a time heard, an agent that doesn't answer here.
func (m *Member) vouched(pk *packet, at time.Duration, hears bool) {
	s := m.slots[pk.target]
	if s == nil || !s.failing || !s.meant(pk.seq) || at < s.failSince || at <= s.vouchAt {
		return
	}
	s.vouchAt, s.hearsMe = at, hears
	m.relist(s)
}

// pick is up to n agents that probably live, but for one, in random order.
func (m *Member) pick(n int, not *peer) (picked []*peer) {
	if n == 0 {
		return nil
	}
	fits := func(p *peer) bool {
		return p != m.self && p != not && !p.ended() && !(p.slot != nil && p.slot.failing && p.slot.tries > 1) && (p.state == Alive || p.state == Unseen)
	}
	// Nearly all do, as a rule: a few draws find enough of them.
	for range pickDraws * n {
		if p := m.order[m.rng.IntN(len(m.order))]; fits(p) && !slices.Contains(picked, p) {
			if picked = append(picked, p); len(picked) == n {
				return picked
			}
		}
	}
	picked = picked[:0]
	seen := 0
	for _, p := range m.order {
		if !fits(p) {
			continue
		}
		seen++ // reservoir sampling
		if len(picked) < n {
			picked = append(picked, p)
		} else if at := m.rng.IntN(seen); at < n {
			picked[at] = p
		}
	}
	return picked
}
