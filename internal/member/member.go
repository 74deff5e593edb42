// Package member decides which agents of a fleet live, which are suspected, dead or gone, who can't reach whom,
// and whether the agent that asks is itself the one that is cut off. It performs no I/O, has no clock and starts
// no goroutine: time and datagrams are handed in, datagrams and changes of the view come out. A Member belongs to
// one goroutine.
//
// Each agent writes one record, its own: name, zone, start counter, incarnation, and the list of those that it
// can't hear or reach, and in which way. Records spread by gossip, the newest of each agent counts, and whoever
// holds the same records comes to the same view. Beside the records there are ends: that a life (start counter
// and incarnation) has ended, as dead or as left. An agent that learns of its own end takes another incarnation.
//
//	unseen ──heard──> alive <──── suspect ────> dead ──new life──> alive
//	                    └──────────────── left ──new life──> alive
//
// Who watches whom follows from rings, after Rapid (Suresh and others, 2018): on each of rings orders of the
// fleet an agent probes the next one that may live, so that each has as many observers. Beside that it probes the
// others in turn, one now and then, after SWIM (Das, Gupta, Motivala 2002), with probes by way of others where an
// answer doesn't come. What an observer makes of silence is widened while its own probes fail or its own clock
// jumps, after Lifeguard (Dadgar, Phillips, Currey 2017). docs/design/membership.md weighs the ways.
//
// Files: rings.go who observes whom; probe.go what an agent finds out itself; record.go and table.go what is
// known of all, index.go how it is found again; gossip.go how it spreads; view.go what follows from it; packet.go datagrams.
//
// Bounds: Config.Most members of some 300 bytes each; listMost of them on one list and probed beside the rings;
// Config.Rate datagrams a second; 256 bytes a datagram.
package member

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// ID is an agent's number: its place in the settings' list, or a hash of its name (see NameID).
type ID uint32

// Nobody is the ID of no agent.
const Nobody ID = 0xffffffff

// Peer is an agent that the configuration names.
type Peer struct {
	ID   ID
	Name string // empty: learned from itself
	Zone string
}

// Config is what a Member is made from. DefaultConfig fills all but Self, Name, Zone, Start, Peers and Seed.
type Config struct {
	Self  ID
	Name  string // at most MaxName bytes
	Zone  string // at most MaxZone bytes
	Start uint32 // start counter: over that of any earlier life of this name, as far as it is known
	Addr  netip.AddrPort
	Peers []Peer // the expected fleet, this agent among them or not
	Seed  uint64

	Fleet     uint16        // datagrams of another fleet are dropped
	Expected  int           // how many agents the fleet has when all is well; 0: as many as Peers and this one
	Period    time.Duration // between two probes
	Pause     time.Duration // silence after which an agent that was stopped may be held for dead
	Rate      float64       // datagrams a second at the most, sent
	Strangers bool          // agents that Peers doesn't name may join
	Most      int           // members that are known at the most
}

// MaxName and MaxZone bound names, in bytes; MaxNote what Say has the others know; MaxExpected the fleet.
const (
	MaxName     = 31
	MaxZone     = 15
	MaxNote     = 16
	MaxExpected = 1 << 16
)

// DefaultConfig are the times and bounds for agents of one region.
func DefaultConfig() Config {
	return Config{Period: 250 * time.Millisecond, Pause: 8 * time.Second, Rate: 40, Most: 4096}
}

// Check names the first value that makes no sense.
func (c *Config) Check() error {
	switch {
	case c.Self == Nobody:
		return errors.New("self: missing")
	case len(c.Name) > MaxName:
		return fmt.Errorf("name %q: longer than %d bytes", c.Name, MaxName)
	case len(c.Zone) > MaxZone:
		return fmt.Errorf("zone %q: longer than %d bytes", c.Zone, MaxZone)
	case c.Period < 20*time.Millisecond || c.Period > 10*time.Second:
		return fmt.Errorf("period: %v is not within 20 ms and 10 s", c.Period)
	case c.Pause < suspectTries*c.Period:
		return fmt.Errorf("pause: %v is under %d periods of %v", c.Pause, suspectTries, c.Period)
	case !(c.Rate >= 4/c.Period.Seconds()):
		return fmt.Errorf("rate: %v datagrams a second are too few for a probe every %v and its answers: %v at the least",
			c.Rate, c.Period, 4/c.Period.Seconds())
	case c.Expected < 0 || c.Expected > MaxExpected:
		return fmt.Errorf("expected: %d agents make no sense", c.Expected)
	case c.Most < len(c.Peers)+1:
		return fmt.Errorf("most: %d members are fewer than the %d that are listed and this one", c.Most, len(c.Peers))
	}
	seen := map[ID]bool{}
	for _, p := range c.Peers {
		if seen[p.ID] || p.ID == Nobody {
			return fmt.Errorf("peer %q: number %d is taken", p.Name, p.ID)
		}
		if len(p.Name) > MaxName || len(p.Zone) > MaxZone {
			return fmt.Errorf("peer %q in zone %q: names are too long", p.Name, p.Zone)
		}
		seen[p.ID] = true
	}
	return nil
}

// Constants of the protocol, in periods or plain numbers. docs/design/membership.md has their reasons.
const (
	rings         = 5                // observers of each
	randomEvery   = 6                // every so many probes one goes to another than those observed
	alarmTries    = 3                // probes in a row without an answer, of two agents, that make this one doubt itself
	needMost      = 3                // observers that have to agree
	suspectTries  = 6                // probes in a row without an answer before an observer lists an agent
	pairTries     = 24               // the same where others vouch for it: loss alone must not name a cut
	helpers       = 3                // of which each is asked to probe for this one
	listMost      = 32               // entries on a list, and probes in hand
	listDoubt     = 12               // the same of one that doubts itself
	listLong      = 6                // entries above which a list is written anew less often
	probesKeep    = 0.4              // of what may be sent at once, that gossip leaves
	refusedApart  = 1                // periods between two refusals that count as two
	slowestProbe  = 2                // periods between probes of one that is listed for long, at the least
	failingShare  = 1                // probes a period of all that are listed for long together
	healthMost    = 3                // by which silence is widened: 1 + so much
	wokeAfter     = 4                // periods without a tick after which this agent has been stopped itself
	hushFor       = 12               // periods for which it ends no life then, nor after its start
	settleFor     = 4                // periods for which fewer accusers than needed end a suspicion
	sureFor       = 8                // periods without a reason after which an agent ceases to doubt itself
	vouchFor      = 12               // periods for which a vouch holds, or that something came straight
	vouchLong     = 36               // the same once a pair is listed: a steady cut must not flicker
	sampleFor     = 32               // periods for which a probe's result counts for whether this agent is cut off
	sampleLeast   = 12               // results that it takes, or all others
	sweepFirst    = 4                // probes of others at once when two observed agents don't answer; then one a period
	sampleMost    = 24               // of the others, by whose answers an agent judges itself; where there are more
	doubtBelow    = 0.4              // it doubts itself at this share that answer, or less,
	sureAbove     = 0.55             // and no longer from this one on: chance must not make it waver
	observersBack = 5                // agents on each ring that may observe this one: the next, and behind those in doubt
	callsEach     = 2                // of them, that are called in a period of doubt
	correctMost   = 8                // records that are sent back to one whose own are older
	favoursMost   = 64               // probes in hand for others
	syncOdds      = 4                // while news spread, a difference is made up for by every so manyth ping
	syncMost      = 4                // buckets that are sent at once to one that lacks most
	healthStep    = 0.5              // by which silence is widened with each sign that this agent is slow or deaf
	healthHeal    = 0.1              // and narrowed with each probe that is answered
	pickDraws     = 4                // for each agent that is to be picked, before all are gone through
	passedMost    = 32               // records in a row that don't fit, before a datagram goes as it is
	spreadFactor  = 3                // times the logarithm of the fleet that one piece of news is sent
	heardCounts   = 4                // sends that it counts for when others tell it too
	gossipPart    = 0.4              // of a period between two rounds of gossip
	fanout        = 2                // datagrams a round
	forgetStray   = 24 * time.Hour   // an ended stranger's place is kept for so long
	tickSlack     = time.Millisecond // below it the clock's grain
	leaveRepeats  = 3                // times that a goodbye is told
	leaveReceives = 8                // and to how many
)

// Datagram is one to send.
type Datagram struct {
	To   ID
	Addr netip.AddrPort // where a stranger said that it is; invalid: as listed
	Data []byte
}

// Counters count what came, since the start.
type Counters struct {
	Sent, Received   uint64
	Bytes            uint64 // sent
	Held             uint64 // not sent, since Rate was reached
	Foreign, Garbled uint64 // of another fleet or version; cut or senseless
	Strange          uint64 // from nobody that is known, or under another's number
	Wakes            uint64 // times that this agent found itself to have been stopped
}

// Member is one agent's knowledge of the fleet.
type Member struct {
	cfg Config
	rng *rand.Rand

	now, began time.Duration
	lastTick   time.Duration
	hushUntil  time.Duration
	seq        uint32
	tokens     float64
	tokensAt   time.Duration
	peers      map[ID]*peer
	index
	count         tallies
	attended      []*peer // whom evaluate has to look at
	spareAttended []*peer // its memory, for the next time
	listers       []*peer // with lists, maybe empty by now
	self          *peer
	leaving       bool
	leftTold      int
	digests       [buckets]uint32
	nextProbe     time.Duration
	heardAny      time.Duration
	nextGossip    time.Duration
	probes        int
	slots         map[ID]*slot
	slotOrder     []*slot
	turn          []ID    // of the agents that are probed beside those observed
	health        float64 // 0: well, to healthMost
	wasAlarmed    bool
	sample        [2 * sampleMost]outcome
	samples       int
	news          queue // records that still spread
	helped        []favour
	listChanged   bool
	note          string // that others are to know
	listAt        time.Duration
	dirty         bool // something that the view follows from has changed
	evalAt        time.Duration
	doubt         bool
	sureAt        time.Duration // since when there is no reason to doubt; -1: there is one
	told          Standing
	reorder       bool    // who is to be observed has to be worked out anew
	subjects      []*peer // those observed, by ring
	observers     []*peer // those that observe this agent, as far as it knows
	called        int
	out           []Datagram
	changes       []Change
	number        uint64
	moved         uint64 // changes of this member's view so far
	counters      Counters
}

// New returns a member that knows the listed agents and has heard of none.
func New(cfg Config, now time.Duration) (*Member, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	m := &Member{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))), now: now, began: now, lastTick: now, tokens: burst(cfg.Rate),
		tokensAt: now, peers: map[ID]*peer{}, slots: map[ID]*slot{}, dirty: true}
	all := make([]*peer, 0, len(cfg.Peers)+1)
	for _, p := range cfg.Peers {
		if p.ID != cfg.Self {
			all = append(all, m.make(p.ID, p.Name, p.Zone))
			all[len(all)-1].listed = true
		}
	}
	m.count.open = len(all)
	m.self = m.make(cfg.Self, cfg.Name, cfg.Zone)
	m.fill(append(all, m.self))
	m.self.rec = record{id: cfg.Self, kind: kindFull, start: cfg.Start, ver: 1, name: cfg.Name, zone: cfg.Zone, addr: cfg.Addr}
	m.self.state = Alive
	m.count.alive++
	m.put(m.self, m.self.rec)
	if m.cfg.Expected == 0 {
		m.cfg.Expected = len(m.peers)
	}
	m.hushUntil = now + hushFor*cfg.Period
	m.nextProbe = now + m.fraction(cfg.Period)
	m.spread(m.self)
	m.observe()
	return m, nil
}

func burst(rate float64) float64 { return max(8, rate/2) }

// fraction is a random part of d: what starts together must not go on together.
func (m *Member) fraction(d time.Duration) time.Duration {
	return time.Duration(m.rng.Float64() * float64(d))
}

// make puts one together that no order holds yet.
func (m *Member) make(id ID, name, zone string) *peer {
	p := &peer{id: id, state: Unseen, since: m.now, heardAt: -1, okAt: -1, failAt: -1}
	p.rec.name, p.rec.zone = name, zone
	for r := range p.ring {
		p.ring[r] = ringHash(r, id)
	}
	m.peers[id] = p
	return p
}

// Wake is when Tick wants to be called next, at the latest; sooner does no harm.
func (m *Member) Wake() time.Duration {
	at := m.nextProbe
	if m.news.n > 0 {
		at = min(at, m.nextGossip)
	}
	for _, s := range m.slotOrder {
		switch {
		case s.waiting:
			at = min(at, s.due)
		case s.failing:
			at = min(at, s.nextAt)
		}
	}
	if m.evalAt > 0 {
		at = min(at, m.evalAt)
	}
	return max(at, m.now+tickSlack)
}

// Tick does what is due by now. A gap of several periods since the last one means that this agent was stopped:
// what it then finds unanswered is its own doing.
func (m *Member) Tick(now time.Duration) {
	m.advance(now)
	if m.leaving {
		m.sayLeft()
		return
	}
	m.probe()
	m.gossip()
	m.evaluate()
}

func (m *Member) advance(now time.Duration) {
	m.now = max(now, m.now)
	if gap := m.now - m.lastTick; gap > wokeAfter*m.cfg.Period {
		m.woke()
	}
	m.lastTick = m.now
	m.tokens = min(burst(m.cfg.Rate), m.tokens+m.cfg.Rate*(m.now-m.tokensAt).Seconds())
	m.tokensAt = m.now
}

// woke is for an agent that did not listen: what it holds against others is its own doing, and what waits in its
// socket may be old.
func (m *Member) woke() {
	m.counters.Wakes++
	m.health = healthMost
	m.startOver()
	for _, p := range m.order {
		p.okAt, p.failAt = -1, -1
	}
	m.samples = 0
	m.nextProbe = m.now
}

// startOver drops all that this agent held against others, and has it end no life for a while, also on others'
// word: they may have to start over too.
func (m *Member) startOver() {
	m.hushUntil = m.now + hushFor*m.cfg.Period
	for _, s := range m.slotOrder {
		if s.refusals == 0 { // what a machine says does not hang on who could hear it
			s.rest()
		}
	}
	m.dirty, m.listChanged = true, true
}

// Receive takes a datagram. from is the agent whose address it came from; Nobody: none that is listed.
func (m *Member) Receive(now time.Duration, from ID, data []byte) {
	m.advance(now)
	m.counters.Received++
	pk, err := decode(data, m.cfg.Fleet)
	switch {
	case errors.Is(err, errForeign):
		m.counters.Foreign++
		return
	case err != nil:
		m.counters.Garbled++
		return
	}
	p := m.peers[pk.from]
	if pk.from == m.cfg.Self || from != Nobody && from != pk.from || from == Nobody && p != nil && p.listed {
		m.counters.Strange++
		return
	}
	if p == nil {
		if p = m.admit(pk); p == nil {
			m.counters.Strange++
			return
		}
	}
	m.take(p, pk)
}

// admit makes room for a stranger that sends its own record.
func (m *Member) admit(pk *packet) *peer {
	if !m.cfg.Strangers {
		return nil
	}
	for i := range pk.records {
		if r := &pk.records[i]; r.id == pk.from && r.kind == kindFull && r.addr.IsValid() {
			return m.place(r.id)
		}
	}
	return nil
}

// place finds room for one more; nil where there is none.
func (m *Member) place(id ID) *peer {
	if len(m.peers) >= m.cfg.Most {
		var oldest *peer
		for _, p := range m.order {
			if !p.listed && p != m.self && p.ended() && m.now-p.since > forgetStray && (oldest == nil || p.since < oldest.since) {
				oldest = p
			}
		}
		if oldest == nil {
			return nil
		}
		m.forget(oldest)
	}
	p := m.make(id, "", "")
	m.insert(p)
	m.tally(p, 1)
	m.turn = nil
	return p
}

func (m *Member) forget(p *peer) {
	m.lift(p)
	m.tally(p, -1)
	delete(m.peers, p.id)
	m.remove(p)
	m.news.remove(p)
	m.attended = slices.DeleteFunc(m.attended, func(o *peer) bool { return o == p })
	m.listers = slices.DeleteFunc(m.listers, func(o *peer) bool { return o == p })
	m.drop(p.id)
	m.turn, m.dirty = nil, true
	m.reorder = true
}

// take does what a datagram asks for.
func (m *Member) take(p *peer, pk *packet) {
	m.hear(p)
	var behind []record // what p should know by now
	for i := range pk.records {
		if newer := m.merge(&pk.records[i], pk.kind == kindSync); newer != nil && len(behind) < correctMost {
			behind = append(behind, newer.rec)
		}
	}
	if len(behind) > 0 && (pk.kind == kindGossip || pk.kind == kindSync) {
		m.send(p, &packet{kind: kindGossip, records: behind}, rest)
	}
	switch pk.kind {
	case kindPing:
		m.send(p, m.packet(p, kindAck, pk.seq), answer)
		m.compare(p, pk.digests)
	case kindAck:
		m.answered(p, pk.seq)
	case kindAsk:
		m.favour(p, pk)
	case kindCall: // for another, which is to be answered straight too
		if other := m.peers[pk.target]; other != nil && other != m.self {
			reply := m.packet(p, kindAnswer, pk.seq)
			reply.target, reply.hears = pk.target, m.heardLately(other)
			m.send(p, reply, answer)
			m.send(other, m.packet(other, kindGossip, 0), answer)
		}
	case kindAnswer:
		m.passOn(p, pk)
	case kindVouch:
		m.vouched(pk, m.now, pk.hears)
	case kindHeard:
		m.vouched(pk, m.now-time.Duration(pk.age)*ageUnit, false)
	}
}

// Refused says that the machine of an agent answered that nobody listens where the agent should.
func (m *Member) Refused(now time.Duration, to ID) {
	m.advance(now)
	p := m.peers[to]
	if p == nil || p == m.self || p.ended() || m.leaving {
		return
	}
	if s := m.slotFor(p); s != nil {
		m.refused(s)
	}
}

// Say has the others know a few bytes, MaxNote at the most, that mean something to the users of the view: they stand
// beside this member's name there. Each change of them is told to the whole fleet.
func (m *Member) Say(now time.Duration, note []byte) {
	m.advance(now)
	m.note = string(note[:min(len(note), MaxNote)])
}

// Leave tells the others that this agent goes. Afterwards Tick repeats the goodbye a few times, and nothing else.
func (m *Member) Leave(now time.Duration) {
	m.advance(now)
	if m.leaving {
		return
	}
	m.leaving = true
	end := m.self.rec
	end.kind, end.list = kindLeft, nil
	m.put(m.self, end)
	m.sayLeft()
}

func (m *Member) sayLeft() {
	m.nextProbe = m.now + m.cfg.Period/4
	if m.leftTold >= leaveRepeats {
		return
	}
	m.leftTold++
	for _, p := range m.pick(leaveReceives, nil) {
		m.send(p, &packet{kind: kindGossip, records: []record{m.self.rec}}, answer)
	}
}

// Out hands over what is to be sent.
func (m *Member) Out() []Datagram {
	out := m.out
	m.out = nil
	return out
}

// Counters returns what came so far.
func (m *Member) Counters() Counters { return m.counters }
