package arena

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lemonrail/internal/member"
)

// Ours is internal/member, with the settings that a maker's hand may change.
func Ours(zones int, change func(*member.Config)) Maker {
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
			panic(err) // the arena's own settings
		}
		return &Member{m}
	}
}

func zoneName(i, zones int) string {
	if zones < 2 {
		return ""
	}
	return string(rune('a' + i%zones))
}

// Member is internal/member's as a Node.
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

// Judged leaves out changes of the member's own standing.
func (m *Member) Judged() (out []Judgement) {
	for _, c := range m.Member.Changes() {
		if c.Of == member.Nobody {
			continue
		}
		j := Judgement{Of: int(c.Of), Is: Lives}
		switch c.To {
		case member.Suspect:
			j.Is = Suspected
		case member.Dead, member.Left:
			j.Is = Died
		case member.Unseen:
			continue
		}
		out = append(out, j)
	}
	return out
}

// ---- Heartbeats of all to all ----

// Heartbeats has each member send to each every interval; one from which nothing comes for timeout is dead.
func Heartbeats(interval, timeout time.Duration) Maker {
	return func(i, n, _ int, now time.Duration, seed uint64) Node {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := &heartbeats{self: i, interval: interval, timeout: timeout, last: make([]time.Duration, n), dead: make([]bool, n),
			next: now + time.Duration(rng.Float64()*float64(interval))}
		for j := range h.last {
			h.last[j] = now
		}
		return h
	}
}

type heartbeats struct {
	self              int
	interval, timeout time.Duration
	next              time.Duration
	last              []time.Duration
	dead              []bool
	out               []Packet
	judged            []Judgement
}

const heartbeatBytes = 9

func (h *heartbeats) Wake() time.Duration { return h.next }

func (h *heartbeats) Tick(now time.Duration) {
	if now < h.next {
		return
	}
	h.next = max(h.next+h.interval, now+h.interval/2)
	for j := range h.last {
		if j == h.self {
			continue
		}
		h.out = append(h.out, Packet{To: j, Data: nil, Size: heartbeatBytes})
		if !h.dead[j] && now-h.last[j] > h.timeout {
			h.dead[j] = true
			h.judged = append(h.judged, Judgement{j, Died})
		}
	}
}

func (h *heartbeats) Receive(now time.Duration, from int, _ any) {
	h.last[from] = now
	if h.dead[from] {
		h.dead[from] = false
		h.judged = append(h.judged, Judgement{from, Lives})
	}
}

func (h *heartbeats) Refused(time.Duration, int) {}

func (h *heartbeats) Out() []Packet {
	out := h.out
	h.out = nil
	return out
}

func (h *heartbeats) Judged() []Judgement {
	out := h.judged
	h.judged = nil
	return out
}

// ---- SWIM ----

// SWIM is the protocol of the paper with its suspicion mechanism and round-robin probing: period 1 s, 3 helpers, an
// answer within a third of a period, suspicion for 3 log2 n periods, news on probes and answers.
func SWIM() Maker {
	return func(i, n, _ int, now time.Duration, seed uint64) Node {
		s := &swim{self: i, n: n, rng: rand.New(rand.NewPCG(seed, 2)), peers: make([]swimPeer, n), target: -1}
		s.next = now + time.Duration(s.rng.Float64()*float64(swimPeriod))
		s.suspicion = time.Duration(3*math.Ceil(math.Log2(float64(n+1)))) * swimPeriod
		s.tell(swimNews{i, swimAlive, 0})
		return s
	}
}

const (
	swimPeriod  = time.Second
	swimDirect  = swimPeriod / 3
	swimHelpers = 3
	swimNewsMax = 6
	swimHead    = 10
	swimNewsLen = 7
)

const (
	swimAlive = iota
	swimSuspect
	swimDead
)

type swimNews struct{ of, state, inc int }

type swimPeer struct {
	state, inc int
	till       time.Duration // of its suspicion
}

type swimMsg struct {
	kind, target, asker int // 0 ping, 1 ack, 2 ask; a ping for asker, an ack for it
	seq                 int
	news                []swimNews
}

type swim struct {
	self, n   int
	rng       *rand.Rand
	inc       int
	peers     []swimPeer
	next      time.Duration
	suspicion time.Duration
	turn      []int
	target    int
	acked     bool
	seq       int
	asked     bool
	began     time.Duration
	news      []swimQueued
	out       []Packet
	judged    []Judgement
}

type swimQueued struct {
	swimNews
	left int
}

func (s *swim) Wake() time.Duration {
	at := s.next
	if s.target >= 0 && !s.acked && !s.asked {
		at = min(at, s.began+swimDirect)
	}
	for i := range s.peers {
		if s.peers[i].state == swimSuspect {
			at = min(at, s.peers[i].till)
		}
	}
	return at
}

func (s *swim) Tick(now time.Duration) {
	for i := range s.peers {
		if p := &s.peers[i]; p.state == swimSuspect && p.till <= now {
			s.learn(now, swimNews{i, swimDead, p.inc})
		}
	}
	if s.target >= 0 && !s.acked && !s.asked && now >= s.began+swimDirect {
		s.asked = true
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
		s.learn(now, swimNews{s.target, swimSuspect, s.peers[s.target].inc})
	}
	s.target = s.pick()
	s.acked, s.asked, s.began = false, false, now
	s.seq++
	if s.target >= 0 {
		s.send(s.target, swimMsg{kind: 0, target: s.target, asker: s.self, seq: s.seq})
	}
}

func (s *swim) pick() int {
	for range 2 {
		for len(s.turn) > 0 {
			t := s.turn[len(s.turn)-1]
			s.turn = s.turn[:len(s.turn)-1]
			if s.peers[t].state != swimDead {
				return t
			}
		}
		for i := range s.n {
			if i != s.self && s.peers[i].state != swimDead {
				s.turn = append(s.turn, i)
			}
		}
		s.rng.Shuffle(len(s.turn), func(i, j int) { s.turn[i], s.turn[j] = s.turn[j], s.turn[i] })
	}
	return -1
}

func (s *swim) Receive(now time.Duration, from int, data any) {
	m := data.(swimMsg)
	for _, w := range m.news {
		s.learn(now, w)
	}
	if s.peers[from].state == swimDead { // tells it
		s.tell(swimNews{from, swimDead, s.peers[from].inc})
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

func (s *swim) learn(now time.Duration, w swimNews) {
	if w.of == s.self {
		if w.state != swimAlive && w.inc >= s.inc {
			s.inc = w.inc + 1
			s.tell(swimNews{s.self, swimAlive, s.inc})
		}
		return
	}
	p := &s.peers[w.of]
	// Beyond the paper a death may be taken back by a later incarnation: members come back in these runs.
	if newer := w.inc > p.inc || w.inc == p.inc && w.state > p.state; !newer {
		return
	}
	was := p.state
	p.state, p.inc = w.state, w.inc
	if w.state == swimSuspect {
		p.till = now + s.suspicion
	}
	s.tell(w)
	if was != w.state {
		s.judged = append(s.judged, Judgement{w.of, Verdict(w.state)})
	}
}

func (s *swim) tell(w swimNews) {
	s.news = slices.DeleteFunc(s.news, func(q swimQueued) bool { return q.of == w.of })
	s.news = append(s.news, swimQueued{w, int(3 * math.Ceil(math.Log2(float64(s.n+1))))})
}

func (s *swim) send(to int, m swimMsg) {
	slices.SortStableFunc(s.news, func(a, b swimQueued) int { return b.left - a.left })
	m.news = nil
	for i := 0; i < len(s.news) && i < swimNewsMax; i++ {
		s.news[i].left--
		m.news = append(m.news, s.news[i].swimNews)
	}
	s.news = slices.DeleteFunc(s.news, func(q swimQueued) bool { return q.left <= 0 })
	s.out = append(s.out, Packet{To: to, Data: m, Size: swimHead + swimNewsLen*len(m.news)})
}

func (s *swim) Refused(time.Duration, int) {}

func (s *swim) Out() []Packet {
	out := s.out
	s.out = nil
	return out
}

func (s *swim) Judged() []Judgement {
	out := s.judged
	s.judged = nil
	return out
}
