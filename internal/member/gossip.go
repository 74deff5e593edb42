package member

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// queueUpdate queues the record of p for gossip, as if it had not been sent yet.
func (m *Member) queueUpdate(p *peer) {
	m.updates.remove(p)
	p.sendCount, p.sendLimit = 0, int(math.Ceil(spreadFactor*math.Log2(float64(len(m.peers)+1))))
	m.updates.add(p)
	m.nextGossip = min(m.nextGossip, m.now+time.Duration(gossipInterval*float64(m.cfg.Period)))
}

// newPacket returns a datagram for p that carries queued updates. If p's life has ended, p's end record
// comes first, so that p learns of it.
func (m *Member) newPacket(p *peer, kind byte, seq uint32) *packet {
	pk := &packet{kind: kind, seq: seq}
	room := MaxDatagram - headerBytes
	switch kind {
	case kindPing:
		room -= 2 * buckets
		for i, d := range m.digests {
			pk.digests[i] = uint16(d)
		}
	case kindPingRequest, kindRelayPing:
		room -= 4
	case kindRelayAck, kindIndirectAck:
		room -= 5
	}
	include := func(q *peer) bool {
		if n := q.rec.size(); n <= room {
			room -= n
			pk.records = append(pk.records, q.rec)
			return true
		}
		return false
	}
	if p.ended() {
		include(p)
	}
	var included [MaxDatagram / minRecordBytes]*peer
	n, skipped := 0, 0
	for q := range m.updates.all {
		if q != p && include(q) {
			included[n] = q
			n++
		} else {
			skipped++
		}
		if room < minRecordBytes || skipped >= maxSkipped {
			break
		}
	}
	for _, q := range included[:n] {
		m.updates.countSends(q, 1)
	}
	return pk
}

// gossip sends queued updates to a few random agents, in rounds.
func (m *Member) gossip() {
	m.publish()
	if m.updates.n == 0 || m.now < m.nextGossip {
		return
	}
	m.nextGossip = m.now + time.Duration(gossipInterval*float64(m.cfg.Period))
	n, size := fanout, 0
	for q := range m.updates.all {
		if size += q.rec.size(); size > 2*MaxDatagram { // many changes at once: send to twice as many
			n *= 2
			break
		}
	}
	for _, p := range m.pickPeers(n, nil) {
		if m.updates.n == 0 || m.tokens < probeReserve*burst(m.cfg.Rate) { // checked first, since newPacket counts the updates as sent
			return
		}
		m.send(p, m.newPacket(p, kindGossip, 0), prioritySync)
	}
}

// publish rewrites this agent's own record if its list, doubt or note has changed, but not more often than
// gossip rounds take place.
func (m *Member) publish() {
	if m.leaving || !m.listChanged && m.self.rec.doubt == m.doubt && m.self.rec.note == m.note || m.now < m.nextPublish {
		return
	}
	m.listChanged = false
	next := m.self.rec
	next.list, next.doubt, next.note = nil, m.doubt, m.note
	for _, s := range m.slotList {
		if s.mark != 0 {
			next.list = append(next.list, listEntry{s.p.id, s.mark, s.p.rec.lifeTag()})
		}
	}
	// If the list has to be cut, entries that are published already stay, so that the state of one agent
	// doesn't depend on how many others fail. Unreachable agents come next, since the list decides on their
	// death.
	alreadyListed := func(e listEntry) int {
		if slices.ContainsFunc(m.self.rec.list, func(o listEntry) bool { return o.id == e.id }) {
			return 1
		}
		return 0
	}
	slices.SortFunc(next.list, func(a, b listEntry) int {
		return cmp.Or(cmp.Compare(alreadyListed(b), alreadyListed(a)), cmp.Compare(b.mark&(markUnreachable|markConfirmable), a.mark&(markUnreachable|markConfirmable)), cmp.Compare(a.id, b.id))
	})
	fits := (MaxDatagram - headerBytes - 2*buckets - next.size() + 6*len(next.list)) / 6
	maxEntries := maxListEntries
	if m.doubt { // the list of an agent in doubt counts only for others in doubt, which list the same
		maxEntries = maxListInDoubt
	}
	next.list = next.list[:min(len(next.list), maxEntries, fits)]
	if slices.Equal(next.list, m.self.rec.list) && next.doubt == m.self.rec.doubt && next.note == m.self.rec.note {
		return
	}
	m.nextPublish = m.now + time.Duration(gossipInterval*float64(m.cfg.Period))
	if len(next.list) > longList {
		m.nextPublish = m.now + 2*m.cfg.Period
	}
	next.version++
	m.setRecord(m.self, next)
}

// reconcile sends p records that it may lack: those of buckets whose digest at p (theirs) differs from the one here. If
// p holds newer records, it sends those back.
func (m *Member) reconcile(p *peer, theirs [buckets]uint16) {
	var differing []int
	for b := range buckets {
		if uint16(m.digests[b]) != theirs[b] {
			differing = append(differing, b)
		}
	}
	if len(differing) == 0 {
		return
	}
	maxBuckets := 1
	// p has just started, and this agent hasn't: after a start of the whole fleet all would sync at once.
	if len(differing) > buckets/2 && m.now-m.startedAt > endHoldOff*m.cfg.Period {
		maxBuckets = maxSyncBuckets
	} else if m.updates.n > 0 && m.rng.IntN(syncOdds) > 0 { // most differences are covered by updates on their way
		return
	}
	m.rng.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	for _, b := range differing[:min(maxBuckets, len(differing))] {
		m.syncBucket(p, b)
	}
}

// syncBucket sends p the records of a bucket, as many as fit into a datagram, in random order, so that
// repeated syncs cover all.
func (m *Member) syncBucket(p *peer, bucket int) {
	var all []*peer
	for _, q := range m.buckets[bucket] {
		if q.known {
			all = append(all, q)
		}
	}
	m.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	pk := &packet{kind: kindSync}
	room := MaxDatagram - headerBytes
	for _, q := range all {
		if n := q.rec.size(); n <= room {
			room -= n
			pk.records = append(pk.records, q.rec)
		}
	}
	if len(pk.records) > 0 {
		m.send(p, pk, prioritySync)
	}
}

// priority decides how much of the send budget (Config.Rate) must be left for a datagram to be sent.
type priority uint8

const (
	prioritySync  priority = iota // gossip and sync: leave part of the burst to probes
	priorityProbe                 // probes and indirect probes
	priorityReply                 // replies and own announcements: may overdraw the rate
)

// send queues a datagram for p if Config.Rate allows it, and reports whether it did.
func (m *Member) send(p *peer, pk *packet, u priority) bool {
	minTokens := 1.0
	switch u {
	case prioritySync:
		minTokens = probeReserve * burst(m.cfg.Rate)
	case priorityReply:
		minTokens = 1 - burst(m.cfg.Rate)
	}
	if m.tokens < minTokens {
		m.counters.Held++
		return false
	}
	m.tokens--
	pk.from = m.cfg.Self
	data := pk.encode(m.cfg.Fleet)
	m.counters.Sent++
	m.counters.Bytes += uint64(len(data))
	m.out = append(m.out, Datagram{To: p.id, Addr: p.rec.addr, Data: data})
	return true
}
