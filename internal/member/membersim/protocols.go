package membersim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lemonrail/internal/member"
)

// Membership returns a factory of members that run the protocol of internal/member, spread over a number of zones;
// change, if not nil, adjusts each member's settings.
func Membership(zones int, change func(*member.Config)) NodeFactory {
	return func(i, n, life int, now time.Duration, seed uint64) Node {
		cfg := member.DefaultConfig()
		cfg.Self, cfg.Seed, cfg.Start = member.ID(i), seed, uint32(1+life)
		cfg.Zone = zoneName(i, zones)
		for j := range n {
			cfg.Peers = append(cfg.Peers, member.Peer{ID: member.ID(j), Zone: zoneName(j, zones)})
		}
		if change != nil {
			change(&cfg)
		}
		m, err := member.New(cfg, now)
		if err != nil {
			panic(err) // the settings are the arena's own
		}
		return &Member{m}
	}
}

// zoneName returns the zone of member i, a letter; empty if there are fewer than two zones.
func zoneName(i, zones int) string {
	if zones < 2 {
		return ""
	}
	return string(rune('a' + i%zones))
}

// Member adapts member.Member to Node.
type Member struct{ *member.Member }

func (m *Member) Receive(now time.Duration, from int, data any) {
	m.Member.Receive(now, member.ID(from), data.([]byte))
}

func (m *Member) Refused(now time.Duration, to int) { m.Member.Refused(now, member.ID(to)) }

func (m *Member) Out() (out []Packet) {
	for _, d := range m.Member.Out() {
		out = append(out, Packet{To: int(d.To), Data: d.Data, Size: len(d.Data)})
	}
	return out
}

// StatusChanges returns the changes that this member has seen of others; Left counts as dead, and changes of its own
// standing are left out.
func (m *Member) StatusChanges() (out []StatusChange) {
	for _, c := range m.Member.Changes() {
		if c.Member == member.NoID {
			continue
		}
		j := StatusChange{Member: int(c.Member), Status: StatusAlive}
		switch c.To {
		case member.Suspect:
			j.Status = StatusSuspect
		case member.Dead, member.Left:
			j.Status = StatusDead
		case member.Unseen:
			continue
		}
		out = append(out, j)
	}
	return out
}

// ---- All-to-all heartbeats ----

// Heartbeats makes each member send to every other once per interval; a member from which nothing came for timeout is
// dead.
func Heartbeats(interval, timeout time.Duration) NodeFactory {
	return func(i, n, _ int, now time.Duration, seed uint64) Node {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := &heartbeats{self: i, interval: interval, timeout: timeout, lastHeard: make([]time.Duration, n), dead: make([]bool, n),
			next: now + time.Duration(rng.Float64()*float64(interval))}
		for j := range h.lastHeard {
			h.lastHeard[j] = now
		}
		return h
	}
}

// heartbeats is a member that runs the protocol of Heartbeats.
type heartbeats struct {
	self              int // number of this member
	interval, timeout time.Duration
	next              time.Duration   // when the next heartbeats are sent
	lastHeard         []time.Duration // by member: when its last heartbeat came
	dead              []bool          // by member: whether this one sees it as dead
	out               []Packet
	changes           []StatusChange
}

const heartbeatBytes = 9 // size of a heartbeat on the wire

func (h *heartbeats) Wake() time.Duration { return h.next }

func (h *heartbeats) Tick(now time.Duration) {
	if now < h.next {
		return
	}
	h.next = max(h.next+h.interval, now+h.interval/2)
	for j := range h.lastHeard {
		if j == h.self {
			continue
		}
		h.out = append(h.out, Packet{To: j, Data: nil, Size: heartbeatBytes})
		if !h.dead[j] && now-h.lastHeard[j] > h.timeout {
			h.dead[j] = true
			h.changes = append(h.changes, StatusChange{j, StatusDead})
		}
	}
}

func (h *heartbeats) Receive(now time.Duration, from int, _ any) {
	h.lastHeard[from] = now
	if h.dead[from] {
		h.dead[from] = false
		h.changes = append(h.changes, StatusChange{from, StatusAlive})
	}
}

func (h *heartbeats) Refused(time.Duration, int) {}

func (h *heartbeats) Out() []Packet {
	out := h.out
	h.out = nil
	return out
}

func (h *heartbeats) StatusChanges() []StatusChange {
	out := h.changes
	h.changes = nil
	return out
}

// ---- SWIM ----

// SWIM runs the protocol of the SWIM paper with its suspicion mechanism and round-robin probing: period 1 s, 3 helpers, an
// ack timeout of a third of a period, suspicion for 3 log2 n periods, updates piggybacked on probes and acks.
func SWIM() NodeFactory {
	return func(i, n, _ int, now time.Duration, seed uint64) Node {
		s := &swim{self: i, n: n, rng: rand.New(rand.NewPCG(seed, 2)), peers: make([]swimPeer, n), target: -1}
		s.next = now + time.Duration(s.rng.Float64()*float64(swimPeriod))
		s.suspicion = time.Duration(3*math.Ceil(math.Log2(float64(n+1)))) * swimPeriod
		s.queueUpdate(swimUpdate{i, swimAlive, 0})
		return s
	}
}

const (
	swimPeriod      = time.Second    // time between two probes of a member
	swimAckTimeout  = swimPeriod / 3 // time without an ack after which helpers are asked for an indirect probe
	swimHelpers     = 3              // members asked for an indirect probe
	swimMaxUpdates  = 6              // maximum updates in a message
	swimHeaderBytes = 10             // size of a message without updates
	swimUpdateBytes = 7              // size of an update
)

// States in which a member sees another one, in the order of Status.
const (
	swimAlive = iota
	swimSuspect
	swimDead
)

// swimUpdate states the state of a member in one of its incarnations (inc).
type swimUpdate struct{ member, state, inc int }

// swimPeer is what a member knows of another one.
type swimPeer struct {
	state, inc   int
	suspectUntil time.Duration // end of the suspicion
}

// swimMsg is a datagram.
type swimMsg struct {
	kind, target, asker int // kind: 0 ping, 1 ack, 2 ping request; asker is the member that gets the ack
	seq                 int
	updates             []swimUpdate
}

// swim is a member that runs the protocol of SWIM.
type swim struct {
	self, n      int // number of this member, and of all members
	rng          *rand.Rand
	inc          int // this member's own incarnation
	peers        []swimPeer
	next         time.Duration // start of the next period
	suspicion    time.Duration // how long a member is suspected before it counts as dead
	probeOrder   []int         // members left to probe in this round, last one first
	target       int           // member probed in this period; -1: none
	acked        bool          // target has answered
	seq          int           // number of the probe
	indirectSent bool          // helpers were asked to probe target
	probeStarted time.Duration
	updates      []swimQueued
	out          []Packet
	changes      []StatusChange
}

// swimQueued is an update that is still spread.
type swimQueued struct {
	swimUpdate
	remaining int // messages that the update is still to be sent with
}

func (s *swim) Wake() time.Duration {
	at := s.next
	if s.target >= 0 && !s.acked && !s.indirectSent {
		at = min(at, s.probeStarted+swimAckTimeout)
	}
	for i := range s.peers {
		if s.peers[i].state == swimSuspect {
			at = min(at, s.peers[i].suspectUntil)
		}
	}
	return at
}

func (s *swim) Tick(now time.Duration) {
	for i := range s.peers {
		if p := &s.peers[i]; p.state == swimSuspect && p.suspectUntil <= now {
			s.apply(now, swimUpdate{i, swimDead, p.inc})
		}
	}
	if s.target >= 0 && !s.acked && !s.indirectSent && now >= s.probeStarted+swimAckTimeout {
		s.indirectSent = true
		for range swimHelpers {
			if h := s.rng.IntN(s.n); h != s.self && h != s.target && s.peers[h].state != swimDead {
				s.send(h, swimMsg{kind: 2, target: s.target, asker: s.self, seq: s.seq})
			}
		}
	}
	if now < s.next {
		return
	}
	s.next = max(s.next+swimPeriod, now+swimPeriod/2)
	if s.target >= 0 && !s.acked && s.peers[s.target].state == swimAlive {
		s.apply(now, swimUpdate{s.target, swimSuspect, s.peers[s.target].inc})
	}
	s.target = s.nextTarget()
	s.acked, s.indirectSent, s.probeStarted = false, false, now
	s.seq++
	if s.target >= 0 {
		s.send(s.target, swimMsg{kind: 0, target: s.target, asker: s.self, seq: s.seq})
	}
}

// nextTarget returns the member to probe next, in a random round-robin order of those not dead; -1: none.
func (s *swim) nextTarget() int {
	for range 2 {
		for len(s.probeOrder) > 0 {
			t := s.probeOrder[len(s.probeOrder)-1]
			s.probeOrder = s.probeOrder[:len(s.probeOrder)-1]
			if s.peers[t].state != swimDead {
				return t
			}
		}
		for i := range s.n {
			if i != s.self && s.peers[i].state != swimDead {
				s.probeOrder = append(s.probeOrder, i)
			}
		}
		s.rng.Shuffle(len(s.probeOrder), func(i, j int) { s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i] })
	}
	return -1
}

func (s *swim) Receive(now time.Duration, from int, data any) {
	m := data.(swimMsg)
	for _, w := range m.updates {
		s.apply(now, w)
	}
	if s.peers[from].state == swimDead { // lets it learn of its death, so that it can refute it
		s.queueUpdate(swimUpdate{from, swimDead, s.peers[from].inc})
	}
	switch m.kind {
	case 0:
		s.send(from, swimMsg{kind: 1, target: s.self, asker: m.asker, seq: m.seq})
	case 1:
		if m.asker != s.self {
			s.send(m.asker, m)
		} else if m.target == s.target && m.seq == s.seq {
			s.acked = true
		}
	case 2:
		s.send(m.target, swimMsg{kind: 0, target: m.target, asker: m.asker, seq: m.seq})
	}
}

// apply takes over an update if it is newer than what this member knows; a statement that this member itself is suspect
// or dead is refuted by a new incarnation.
func (s *swim) apply(now time.Duration, w swimUpdate) {
	if w.member == s.self {
		if w.state != swimAlive && w.inc >= s.inc {
			s.inc = w.inc + 1
			s.queueUpdate(swimUpdate{s.self, swimAlive, s.inc})
		}
		return
	}
	p := &s.peers[w.member]
	// Unlike in the paper, a later incarnation refutes a death: members restart in these runs.
	if newer := w.inc > p.inc || w.inc == p.inc && w.state > p.state; !newer {
		return
	}
	previous := p.state
	p.state, p.inc = w.state, w.inc
	if w.state == swimSuspect {
		p.suspectUntil = now + s.suspicion
	}
	s.queueUpdate(w)
	if previous != w.state {
		s.changes = append(s.changes, StatusChange{w.member, Status(w.state)})
	}
}

func (s *swim) queueUpdate(w swimUpdate) {
	s.updates = slices.DeleteFunc(s.updates, func(q swimQueued) bool { return q.member == w.member })
	s.updates = append(s.updates, swimQueued{w, int(3 * math.Ceil(math.Log2(float64(s.n+1))))})
}

func (s *swim) send(to int, m swimMsg) {
	slices.SortStableFunc(s.updates, func(a, b swimQueued) int { return b.remaining - a.remaining })
	m.updates = nil
	for i := 0; i < len(s.updates) && i < swimMaxUpdates; i++ {
		s.updates[i].remaining--
		m.updates = append(m.updates, s.updates[i].swimUpdate)
	}
	s.updates = slices.DeleteFunc(s.updates, func(q swimQueued) bool { return q.remaining <= 0 })
	s.out = append(s.out, Packet{To: to, Data: m, Size: swimHeaderBytes + swimUpdateBytes*len(m.updates)})
}

func (s *swim) Refused(time.Duration, int) {}

func (s *swim) Out() []Packet {
	out := s.out
	s.out = nil
	return out
}

func (s *swim) StatusChanges() []StatusChange {
	out := s.changes
	s.changes = nil
	return out
}
