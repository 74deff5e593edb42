package member

import (
	"cmp"
	"slices"
	"time"
)

// probeState holds the probe state of an agent that this agent observes, or to which one of its probes is pending or has
// failed.
type probeState struct {
	p        *peer
	subject  bool // this agent observes it; otherwise the slot is dropped after an answer
	probeNow bool // another observer lists the agent: probe at the next tick
	sample   bool // the result counts in the self-check
	mark     mark // how the agent is unreachable, as this agent's list says; 0: not listed

	waiting  bool          // an answer to the probe seq is awaited until due
	seq      uint32        // sequence number of the last probe
	firstSeq uint32        // sequence number of the first failed probe since the last answer
	sentAt   time.Duration // when the last probe was sent
	due      time.Duration // timeout of the pending probe
	nextAt   time.Duration // when a failing agent is probed again

	failing         bool          // a probe has failed, and none was answered since
	failSince       time.Duration // when the first failed probe was sent
	failures        int           // consecutive failed probes
	evidenceAt      time.Duration // last contact of another agent with it, since failSince, that was reported here; -1: none
	targetHearsSelf bool          // the indirect ack says that the agent receives this one's datagrams directly
	refusals        int           // refusals by its host since its last datagram, counted at most once per refusalSpacing
	refusedAt       time.Duration // when the last counted refusal came
}

// reset discards all probe results.
func (s *probeState) reset() {
	*s = probeState{p: s.p, subject: s.subject, evidenceAt: -1}
}

// slotFor returns the slot of p, a new one if needed; nil if 2*maxListEntries agents have slots already.
func (m *Member) slotFor(p *peer) *probeState {
	if p.slot != nil {
		return p.slot
	}
	if len(m.slotList) >= 2*maxListEntries {
		return nil
	}
	s := &probeState{p: p, evidenceAt: -1}
	p.slot, m.slots[p.id] = s, s
	m.slotList = append(m.slotList, s)
	return s
}

// dropSlot removes the probe state of the agent id, if there is any.
func (m *Member) dropSlot(id ID) {
	s := m.slots[id]
	if s == nil {
		return
	}
	s.p.slot = nil
	delete(m.slots, id)
	m.slotList = slices.DeleteFunc(m.slotList, func(o *probeState) bool { return o == s })
	m.listChanged = m.listChanged || s.mark != 0
}

// probe sends the probes that are due and handles timeouts.
func (m *Member) probe() {
	if m.ringsChanged {
		m.assignObservers()
	}
	for i := len(m.slotList) - 1; i >= 0; i-- { // backwards, since handleTimeout may remove the slot
		s := m.slotList[i]
		if s.waiting && s.due <= m.now {
			m.handleTimeout(s)
			if s.p.slot != s {
				continue
			}
		}
		if !s.waiting && (s.failing && s.nextAt <= m.now || s.probeNow) {
			s.probeNow = false
			m.sendPing(s)
		}
	}
	if m.now < m.nextProbe {
		return
	}
	m.nextProbe = m.now + time.Duration((0.9+0.2*m.rng.Float64())*float64(m.cfg.Period))
	m.probes++
	alarmed := m.alarmed()
	s := m.leastRecentSubject()
	if !alarmed && (s == nil || m.probes%randomEvery == 0) {
		s = cmp.Or(m.nextSampleSlot(), s)
	}
	if s != nil {
		m.sendPing(s)
	}
	if m.doubt {
		m.contactObservers()
	}
	if !alarmed {
		m.wasAlarmed = false
		return
	}
	n := 1
	if !m.wasAlarmed { // all at once, before others act on this agent's list
		n, m.wasAlarmed = firstSweep, true
	}
	for range n {
		if s := m.nextSampleSlot(); s != nil {
			m.sendPing(s)
		}
	}
}

// nextSampleSlot returns the slot of the next agent in round-robin order, whether failing or not. The
// results of these probes are the sample of the self-check. If too many agents fail already it adds no
// slot, so that the entries on the list don't change with each probe.
func (m *Member) nextSampleSlot() *probeState {
	p := m.nextInOrder()
	if p == nil || p.slot == nil && m.failingCount() >= maxListEntries {
		return nil
	}
	s := m.slotFor(p)
	if s == nil {
		return nil
	}
	s.sample = true
	if s.waiting { // a probe is pending
		return nil
	}
	return s
}

// outcome is the result of a sample probe, one whose result counts in the self-check.
type outcome struct {
	id ID            // of the probed agent
	ok bool          // it answered
	at time.Duration // when it answered or the probe failed
}

// recordOutcome adds the result of a probe to Member.sample, if it was a sample probe (slot.sample).
func (m *Member) recordOutcome(s *probeState, ok bool) {
	if s.sample {
		s.sample = false
		m.sample[m.sampleCount%len(m.sample)] = outcome{s.p.id, ok, m.now}
		m.sampleCount++
	}
}

// recentOutcomes counts the latest sample results within sampleTTL, one per agent and maxSample at most: all of them,
// and in ok the answered ones.
func (m *Member) recentOutcomes() (ok, all int) {
	var seen [maxSample]ID
	for i := 1; i <= min(m.sampleCount, len(m.sample)) && all < maxSample; i++ {
		o := m.sample[(m.sampleCount-i)%len(m.sample)]
		if m.now-o.at >= sampleTTL*m.cfg.Period {
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

// mayProbeEarly reports whether the agent of s may be probed before its regular time: if no probe is pending and the
// last one was sent two periods ago or longer.
func (m *Member) mayProbeEarly(s *probeState) bool {
	return !s.waiting && m.now-s.sentAt >= 2*m.cfg.Period
}

// leastRecentSubject returns the slot of the observed agent whose last probe is the oldest, without failing agents.
func (m *Member) leastRecentSubject() (best *probeState) {
	for _, s := range m.slotList {
		if s.subject && !s.waiting && !s.failing && (best == nil || s.sentAt < best.sentAt) {
			best = s
		}
	}
	return best
}

// nextInOrder returns the next agent to probe in a random round-robin order of all other agents whose life has not
// ended; nil if there is no such agent.
func (m *Member) nextInOrder() *peer {
	for range 2 {
		for len(m.probeOrder) > 0 {
			p := m.peers[m.probeOrder[len(m.probeOrder)-1]]
			m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]
			if p != nil && p != m.self && !p.ended() {
				return p
			}
		}
		for _, p := range m.order {
			if p != m.self && !p.ended() {
				m.probeOrder = append(m.probeOrder, p.id)
			}
		}
		m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return nil
}

// sendPing sends a direct probe, unless Config.Rate forbids it.
func (m *Member) sendPing(s *probeState) {
	m.seq++
	s.seq, s.sentAt, s.waiting = m.seq, m.now, true
	s.due = m.now + time.Duration((1+m.localHealth)*float64(m.cfg.Period))
	if !m.send(s.p, m.newPacket(s.p, kindPing, m.seq), priorityProbe) {
		s.waiting = false
		s.nextAt = m.now + m.cfg.Period
		if !s.subject && !s.failing { // not sent: the round-robin order comes back to it
			m.dropSlot(s.p.id)
		}
	}
}

// handleTimeout records that a probe was not answered in time and starts indirect probes.
func (m *Member) handleTimeout(s *probeState) {
	s.waiting = false
	s.p.lastFailAt = m.now
	m.recordOutcome(s, false)
	if m.lastReceived < s.sentAt { // nothing from any agent since then: a sign of a local fault
		m.localHealth = min(maxLocalHealth, m.localHealth+healthStep)
	}
	m.recordFailure(s)
	n := 0
	switch {
	case s.failures%2 == 0, m.doubt && s.failures > suspectFailures:
	case s.failures > suspectFailures:
		n = 1
	default:
		n = maxHelpers
	}
	if m.tokens < float64(2*n) { // keep the tokens for this agent's own probes
		n = 0
	}
	asked := m.pickPeers(n, s.p)
	// One helper is the failed agent's successor on a ring, which the failed agent itself probes: it still receives
	// datagrams of an agent that can send but receives nothing.
	if len(asked) > 0 {
		if h := m.successor(s.failures/2%rings, s.p.ringPositions[s.failures/2%rings], s.p.ringPositions[s.failures/2%rings]); h != nil && h != s.p {
			asked[len(asked)-1] = h
		}
	}
	for _, h := range asked {
		m.send(h, &packet{kind: kindPingRequest, seq: s.seq, target: s.p.id}, priorityProbe)
	}
	m.updateMark(s)
}

// recordFailure counts one more consecutive failed probe of an agent and sets the time of the next probe.
func (m *Member) recordFailure(s *probeState) {
	if !s.failing {
		s.failing, s.failSince, s.firstSeq, s.evidenceAt, s.failures = true, s.sentAt, s.seq, -1, 0
	}
	s.failures++
	s.nextAt = m.now
	if s.failures > suspectFailures || !s.subject { // unobserved agents are probed only for the self-check
		// All failing agents together get failingProbesPerPeriod, so that many failures don't raise the
		// traffic.
		slow := max(slowProbeInterval, float64(m.failingCount())/failingProbesPerPeriod) - 1
		s.nextAt += time.Duration(slow * float64(m.cfg.Period) * (0.8 + 0.4*m.rng.Float64()))
	}
}

// failingCount returns the number of agents that have failed a probe and not answered one since.
func (m *Member) failingCount() (n int) {
	for _, s := range m.slotList {
		if s.failing {
			n++
		}
	}
	return n
}

// alarmed reports whether this agent has to check whether it is cut off itself: at least two agents (or the only other
// one) have failed alarmFailures consecutive probes.
func (m *Member) alarmed() bool {
	n := 0
	for _, s := range m.slotList {
		if s.failing && s.failures >= alarmFailures {
			n++
		}
	}
	return n > 1 || n == 1 && m.counts.open == 1
}

// recordContact records that a datagram came directly from p.
func (m *Member) recordContact(p *peer) {
	p.heardAt, m.lastReceived = m.now, m.now
	if p.slot != nil && p.slot.refusals > 0 {
		p.slot.refusals = 0
	}
	if s := p.slot; s != nil && s.mark != 0 {
		if s.mark&markUnreachable != 0 && m.mayProbeEarly(s) {
			s.nextAt = m.now
		}
		m.updateMark(s)
	}
}

// heardRecently reports whether a datagram of p came directly within evidenceTTL and, if probes of p fail, after they
// began to fail.
func (m *Member) heardRecently(p *peer) bool {
	if p.slot != nil && p.slot.failing && p.heardAt < p.slot.failSince {
		return false
	}
	return p.heardAt >= 0 && m.now-p.heardAt < evidenceTTL*m.cfg.Period
}

// handleAck processes the answer to a direct probe, which proves that the link works in both directions.
func (m *Member) handleAck(p *peer, seq uint32) {
	s := p.slot
	if s == nil || !s.matchesProbe(seq) {
		return
	}
	p.lastAckAt = m.now
	m.recordOutcome(s, true)
	m.localHealth = max(0, m.localHealth-healthRecovery)
	listed := s.mark != 0
	previous := *s
	s.reset()
	s.sentAt = previous.sentAt
	m.listChanged = m.listChanged || listed
	m.dirty = m.dirty || listed
	if !s.subject {
		m.dropSlot(p.id)
	}
}

// matchesProbe reports whether seq is the number of the pending probe or of one in the current series of failed ones.
func (s *probeState) matchesProbe(seq uint32) bool {
	if s.failing {
		return int32(seq-s.firstSeq) >= 0 && int32(s.seq-seq) >= 0
	}
	return s.waiting && seq == s.seq
}

// handleRefusal records that the agent's host reported that no process listens on the port.
func (m *Member) handleRefusal(s *probeState) {
	if s.refusals > 0 && m.now-s.refusedAt < refusalSpacing*m.cfg.Period {
		return
	}
	if !s.waiting && !s.failing { // the refused datagram was no probe
		m.seq++
		s.seq, s.sentAt = m.seq, m.now
	}
	s.waiting = false
	s.p.lastFailAt = m.now
	m.recordOutcome(s, false)
	m.recordFailure(s)
	s.nextAt = m.now + refusalSpacing*m.cfg.Period
	if s.failures > suspectFailures {
		s.nextAt += m.cfg.Period
	}
	s.refusals, s.refusedAt = s.refusals+1, m.now
	m.lastReceived = m.now // the refusal proves that this agent can send and receive
	m.updateMark(s)
}

// updateMark recomputes the mark of s: how this agent's list says that the agent is unreachable, 0 if it isn't listed.
func (m *Member) updateMark(s *probeState) {
	now, period := m.now, m.cfg.Period
	ttl := time.Duration(evidenceTTL) * period
	if s.mark&(markNoInbound|markNoOutbound) != 0 && s.mark&markUnreachable == 0 {
		ttl = listedEvidenceTTL * period
	}
	heard := s.p.heardAt >= s.failSince && now-s.p.heardAt < ttl // its own datagrams come directly
	vouched := s.evidenceAt >= 0 && now-s.evidenceAt < ttl       // another agent has had contact with it
	next := s.mark
	switch {
	case !s.failing:
		next = 0
	case s.refusals > 0 && !heard && !(vouched && s.evidenceAt > s.refusedAt):
		next = markUnreachable | markRefused
		if s.refusals > 1 {
			next |= markConfirmable
		}
	case heard || vouched:
		next &= markNoInbound | markNoOutbound
		if s.failures >= linkFailures {
			next = 0
			if !heard {
				next |= markNoInbound
			}
			if !vouched || !s.targetHearsSelf {
				next |= markNoOutbound
			}
		}
	case !s.subject: // only observers accuse
		next &= markNoInbound | markNoOutbound
	case float64(s.failures) >= suspectFailures*(1+m.localHealth) || s.mark&markUnreachable != 0:
		next = markUnreachable
		if now-max(s.failSince, s.evidenceAt, s.p.heardAt) >= m.cfg.Pause {
			next |= markConfirmable
		}
	}
	if next != s.mark {
		s.mark, m.listChanged = next, true
	}
}

// relay is an indirect probe under way that this agent sent to target on behalf of asker.
type relay struct {
	asker, target ID
	seq           uint32        // the asker's number of its failed probe
	expiresAt     time.Duration // after this time an answer is not forwarded any more
}

// handlePingRequest probes the target of pk on behalf of p. If this agent has heard from the target recently, it reports
// that to p at once, since the target may be alive and unable to receive.
func (m *Member) handlePingRequest(p *peer, pk *packet) {
	target := m.peers[pk.target]
	if target == nil || target == m.self || target == p {
		return
	}
	if target.heardAt >= 0 && m.now-target.heardAt < evidenceTTL*m.cfg.Period { // the target may be alive and unable to receive
		m.send(p, &packet{kind: kindLastHeard, seq: pk.seq, target: target.id, age: uint16((m.now - target.heardAt) / ageUnit)}, priorityProbe)
	}
	m.relays = slices.DeleteFunc(m.relays, func(f relay) bool { return f.expiresAt <= m.now })
	if len(m.relays) >= maxRelays {
		return
	}
	m.relays = append(m.relays, relay{p.id, target.id, pk.seq, m.now + evidenceTTL*m.cfg.Period})
	m.send(target, &packet{kind: kindRelayPing, seq: pk.seq, target: p.id}, priorityProbe)
}

// forwardRelayAck reports to the agent that asked for an indirect probe of p that p has answered.
func (m *Member) forwardRelayAck(p *peer, pk *packet) {
	at := slices.IndexFunc(m.relays, func(f relay) bool { return f.asker == pk.target && f.target == p.id && f.seq == pk.seq })
	if at < 0 {
		return
	}
	m.relays = slices.Delete(m.relays, at, at+1)
	if asker := m.peers[pk.target]; asker != nil {
		m.send(asker, &packet{kind: kindIndirectAck, seq: pk.seq, target: p.id, hears: pk.hears}, priorityProbe)
	}
}

// recordEvidence records that another agent had contact, at the time at, with an agent (pk.target) that fails this
// agent's probes; hears is whether that agent receives this one's datagrams directly.
func (m *Member) recordEvidence(pk *packet, at time.Duration, hears bool) {
	s := m.slots[pk.target]
	if s == nil || !s.failing || !s.matchesProbe(pk.seq) || at < s.failSince || at <= s.evidenceAt {
		return
	}
	s.evidenceAt, s.targetHearsSelf = at, hears
	m.updateMark(s)
}

// pickPeers returns up to n agents that are probably alive, without exclude, in random order.
func (m *Member) pickPeers(n int, exclude *peer) (picked []*peer) {
	if n == 0 {
		return nil
	}
	suitable := func(p *peer) bool {
		return p != m.self && p != exclude && !p.ended() && !(p.slot != nil && p.slot.failing && p.slot.failures > 1) && (p.state == Alive || p.state == Unseen)
	}
	// Usually nearly all agents are suitable, so that a few random draws find enough.
	for range drawsPerPick * n {
		if p := m.order[m.rng.IntN(len(m.order))]; suitable(p) && !slices.Contains(picked, p) {
			if picked = append(picked, p); len(picked) == n {
				return picked
			}
		}
	}
	picked = picked[:0]
	seen := 0
	for _, p := range m.order {
		if !suitable(p) {
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
