package member

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// spread has what is known of p told on.
func (m *Member) spread(p *peer) {
	m.news.remove(p)
	p.sent, p.spreads = 0, int(math.Ceil(spreadFactor*math.Log2(float64(len(m.peers)+1))))
	m.news.add(p)
	m.nextGossip = min(m.nextGossip, m.now+time.Duration(gossipPart*float64(m.cfg.Period)))
}

// packet is a datagram for p that takes along what still spreads. One whose own end is known here is told so.
func (m *Member) packet(p *peer, kind byte, seq uint32) *packet {
	pk := &packet{kind: kind, seq: seq}
	room := MaxDatagram - headBytes
	switch kind {
	case kindPing:
		room -= 2 * buckets
		for i, d := range m.digests {
			pk.digests[i] = uint16(d)
		}
	case kindAsk, kindCall:
		room -= 4
	case kindAnswer, kindVouch:
		room -= 5
	}
	take := func(q *peer) bool {
		if n := q.rec.size(); n <= room {
			room -= n
			pk.records = append(pk.records, q.rec)
			return true
		}
		return false
	}
	if p.ended() {
		take(p)
	}
	var took [MaxDatagram / recordLeast]*peer
	n, passed := 0, 0
	for q := range m.news.all {
		if q != p && take(q) {
			took[n] = q
			n++
		} else {
			passed++
		}
		if room < recordLeast || passed >= passedMost {
			break
		}
	}
	for _, q := range took[:n] {
		m.news.told(q, 1)
	}
	return pk
}

// gossip tells news to a few agents, in rounds.
func (m *Member) gossip() {
	m.publish()
	if m.news.n == 0 || m.now < m.nextGossip {
		return
	}
	m.nextGossip = m.now + time.Duration(gossipPart*float64(m.cfg.Period))
	n, size := fanout, 0
	for q := range m.news.all {
		if size += q.rec.size(); size > 2*MaxDatagram { // many changes at once
			n *= 2
			break
		}
	}
	for _, p := range m.pick(n, nil) {
		if m.news.n == 0 || m.tokens < probesKeep*burst(m.cfg.Rate) { // before it counts as told
			return
		}
		m.send(p, m.packet(p, kindGossip, 0), rest)
	}
}

// publish writes this agent's own record anew where what it holds of others has changed, not more often than
// news go out.
func (m *Member) publish() {
	if m.leaving || !m.listChanged && m.self.rec.doubt == m.doubt && m.self.rec.note == m.note || m.now < m.listAt {
		return
	}
	m.listChanged = false
	next := m.self.rec
	next.list, next.doubt, next.note = nil, m.doubt, m.note
	for _, s := range m.slotOrder {
		if s.mark != 0 {
			next.list = append(next.list, entry{s.p.id, s.mark, s.p.rec.tag()})
		}
	}
	// Where there is no room for all, those that stand there already stay, so that nobody's state hangs on who else
	// is lost; then those lost come first, since their lives hang on it.
	stood := func(e entry) int {
		if slices.ContainsFunc(m.self.rec.list, func(o entry) bool { return o.id == e.id }) {
			return 1
		}
		return 0
	}
	slices.SortFunc(next.list, func(a, b entry) int {
		return cmp.Or(cmp.Compare(stood(b), stood(a)), cmp.Compare(b.mark&(lost|ripe), a.mark&(lost|ripe)), cmp.Compare(a.id, b.id))
	})
	fits := (MaxDatagram - headBytes - 2*buckets - next.size() + 6*len(next.list)) / 6
	most := listMost
	if m.doubt { // others leave it aside, and those who share its fate say the same
		most = listDoubt
	}
	next.list = next.list[:min(len(next.list), most, fits)]
	if slices.Equal(next.list, m.self.rec.list) && next.doubt == m.self.rec.doubt && next.note == m.self.rec.note {
		return
	}
	m.listAt = m.now + time.Duration(gossipPart*float64(m.cfg.Period))
	if len(next.list) > listLong {
		m.listAt = m.now + 2*m.cfg.Period
	}
	next.ver++
	m.put(m.self, next)
}

// compare sends p what it may lack, by its digests. What differs both ways comes back as a correction.
func (m *Member) compare(p *peer, theirs [buckets]uint16) {
	var differ []int
	for b := range buckets {
		if uint16(m.digests[b]) != theirs[b] {
			differ = append(differ, b)
		}
	}
	if len(differ) == 0 {
		return
	}
	most := 1
	if len(differ) > buckets/2 && m.now-m.began > hushFor*m.cfg.Period { // p has just begun; not the whole fleet
		most = syncMost
	} else if m.news.n > 0 && m.rng.IntN(syncOdds) > 0 { // most of it is on its way
		return
	}
	m.rng.Shuffle(len(differ), func(i, j int) { differ[i], differ[j] = differ[j], differ[i] })
	for _, b := range differ[:min(most, len(differ))] {
		m.sync(p, b)
	}
}

// sync sends p what is known of a bucket, as much as a datagram takes: chance makes it another part each time.
func (m *Member) sync(p *peer, bucket int) {
	var all []*peer
	for _, q := range m.buckets[bucket] {
		if q.known {
			all = append(all, q)
		}
	}
	m.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	pk := &packet{kind: kindSync}
	room := MaxDatagram - headBytes
	for _, q := range all {
		if n := q.rec.size(); n <= room {
			room -= n
			pk.records = append(pk.records, q.rec)
		}
	}
	if len(pk.records) > 0 {
		m.send(p, pk, rest)
	}
}

// urgency says which datagrams go first where Config.Rate binds.
type urgency uint8

const (
	rest   urgency = iota // what makes up for differences: leaves part of the rate to the others
	finds                 // probes, and what they need
	answer                // may run into debt
)

// send puts a datagram out, within Config.Rate.
func (m *Member) send(p *peer, pk *packet, u urgency) bool {
	least := 1.0
	switch u {
	case rest:
		least = probesKeep * burst(m.cfg.Rate)
	case answer:
		least = 1 - burst(m.cfg.Rate)
	}
	if m.tokens < least {
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
