// Package member implements the failure detector and membership of a fleet: which agents are alive, suspected, dead
// or gone, which agents cannot reach each other, and whether this agent itself is cut off. The package performs no
// I/O, reads no clock and starts no goroutine: the caller passes in the time and the received datagrams, and collects
// the datagrams to send and the changes of the view. A Member is not safe for concurrent use.
//
// Each agent publishes one record about itself: name, zone, start counter, incarnation, and the list of the agents
// that it cannot hear or reach, with the kind of failure. Records spread by gossip. The newest record of each agent
// counts, so agents that hold the same records compute the same view. A life of an agent is identified by its start
// counter and incarnation; an end record states that a life has ended, as dead or as left. An agent that learns of
// its own end starts a new incarnation.
//
//	unseen ──record──> alive <──── suspect ────> dead ──new life──> alive
//	                     └──────────────── left ──new life──> alive
//
// The observers of an agent follow from hash rings, after Rapid (Suresh and others, 2018): on each of several rings
// an agent probes its nearest successor whose life has not ended, so every agent has that many observers. It also
// probes the other agents round-robin, after SWIM (Das, Gupta, Motivala 2002), with indirect probes where the direct
// one fails. An observer allows more silence while its own probes fail or its own clock jumps, after Lifeguard
// (Dadgar, Phillips, Currey 2017). docs/design/membership.md compares the alternatives.
//
// Files: rings.go assigns observers; probe.go holds direct and indirect probes; record.go and merge.go the records of
// all agents, index.go their indexes; gossip.go spreads them; view.go derives states and views; packet.go encodes
// datagrams.
//
// Bounds: Config.MaxMembers members of about 300 bytes each; maxListEntries entries on a list, and twice as many agents
// with probe state; Config.Rate datagrams a second; 256 bytes a datagram.
package member

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// ID is the number of an agent: its index in the configured list of peers, or a hash of its name (see NameID).
type ID uint32

// NoID is the reserved ID that no agent has.
const NoID ID = 0xffffffff

// Peer is an agent that the configuration names. All of them together are the expected fleet.
type Peer struct {
	ID   ID
	Name string // empty: taken from the agent's own record
	Zone string // empty: taken from the agent's own record
}

// Config holds the settings of a Member. DefaultConfig fills all but Self, Name, Zone, Start, Peers and
// Seed.
type Config struct {
	Self  ID
	Name  string         // at most MaxName bytes
	Zone  string         // at most MaxZone bytes
	Start uint32         // start counter; greater than in every earlier life of this name, as far as known
	Addr  netip.AddrPort // announced to the others, which need it to reach an agent that isn't in their Peers; invalid: none
	Peers []Peer         // the expected fleet, with or without this agent
	Seed  uint64         // of all random choices

	Fleet      uint16        // datagrams of another fleet are dropped
	Expected   int           // number of agents in the complete fleet; 0: Peers and this agent
	Period     time.Duration // time between two regular probes that this agent sends
	Pause      time.Duration // silence after which an agent may be declared dead
	Rate       float64       // maximum datagrams sent per second
	Strangers  bool          // agents that are not in Peers (strangers) may join
	MaxMembers int           // maximum known members, this agent included
}

// Upper bounds of names and notes, in bytes, and of the expected fleet, in agents. SetNote cuts a longer note to
// MaxNote.
const (
	MaxName     = 31
	MaxZone     = 15
	MaxNote     = 16
	MaxExpected = 1 << 16
)

// DefaultConfig returns the times and upper bounds for agents within one region.
func DefaultConfig() Config {
	return Config{Period: 250 * time.Millisecond, Pause: 8 * time.Second, Rate: 40, MaxMembers: 4096}
}

// Check returns an error that names the first invalid value.
func (c *Config) Check() error {
	switch {
	case c.Self == NoID:
		return errors.New("self: missing")
	case len(c.Name) > MaxName:
		return fmt.Errorf("name %q: longer than %d bytes", c.Name, MaxName)
	case len(c.Zone) > MaxZone:
		return fmt.Errorf("zone %q: longer than %d bytes", c.Zone, MaxZone)
	case c.Period < 20*time.Millisecond || c.Period > 10*time.Second:
		return fmt.Errorf("period: %v is not within 20 ms and 10 s", c.Period)
	case c.Pause < suspectFailures*c.Period:
		return fmt.Errorf("pause: %v is under %d periods of %v", c.Pause, suspectFailures, c.Period)
	case !(c.Rate >= 4/c.Period.Seconds()):
		return fmt.Errorf("rate: %v datagrams a second are too few for a probe every %v and its answers: %v at the least",
			c.Rate, c.Period, 4/c.Period.Seconds())
	case c.Expected < 0 || c.Expected > MaxExpected:
		return fmt.Errorf("expected: %d is negative or exceeds the maximum fleet size", c.Expected)
	case c.MaxMembers < len(c.Peers)+1:
		return fmt.Errorf("max members: %d is fewer than the %d listed members and this one", c.MaxMembers, len(c.Peers))
	}
	seen := map[ID]bool{}
	for _, p := range c.Peers {
		if seen[p.ID] || p.ID == NoID {
			return fmt.Errorf("peer %q: number %d is taken", p.Name, p.ID)
		}
		if len(p.Name) > MaxName || len(p.Zone) > MaxZone {
			return fmt.Errorf("peer %q in zone %q: names are too long", p.Name, p.Zone)
		}
		seen[p.ID] = true
	}
	return nil
}

// Constants of the protocol. A duration without a unit is in probe periods. docs/design/membership.md has
// the reasons.
const (
	rings       = 5 // number of hash rings, and so about the number of observers of each agent
	randomEvery = 6 // one in this many probes goes to an agent outside the observed ones
	// If each of two agents (or the only other one) failed this many consecutive probes, this agent checks whether it is
	// cut off itself (the self-check).
	alarmFailures     = 3
	requiredObservers = 3 // observers that must agree that an agent is suspect or dead
	suspectFailures   = 6 // consecutive failed probes after which an observer lists an agent as unreachable
	// Consecutive failed probes after which an observer lists its link to an agent as broken though others reach the
	// agent: so many that packet loss alone doesn't reach this count.
	linkFailures           = 24
	maxHelpers             = 3    // helpers asked for an indirect probe after a failed probe
	maxListEntries         = 32   // maximum entries on an agent's list of those that it cannot hear or reach
	maxListInDoubt         = 12   // the same for an agent that doubts itself, that is, that may be cut off
	longList               = 6    // a list with more entries than this is published only every two periods
	probeReserve           = 0.4  // share of the send burst (see burst) that gossip and sync leave to probes
	refusalSpacing         = 1    // periods after a counted refusal in which further refusals by that agent's host don't count
	slowProbeInterval      = 2    // minimum periods between two probes of an agent that failed more than suspectFailures probes
	failingProbesPerPeriod = 1    // probes per period that all such agents share
	maxLocalHealth         = 3    // upper bound of Member.localHealth: a probe times out after at most 1 + this many periods
	stallPeriods           = 4    // periods without a tick after which this agent was stalled itself
	endHoldOff             = 12   // periods after a start, a stall or the end of doubt in which this agent declares no death
	clearSuspicionAfter    = 4    // periods with too few accusers (observers that list the agent) after which a suspicion ends
	clearDoubtAfter        = 8    // periods without a reason for doubt after which this agent no longer doubts itself
	evidenceTTL            = 12   // periods for which a direct contact with an agent, or one that another agent reports, counts
	listedEvidenceTTL      = 36   // the same once the link is listed as broken, so that a lasting cut doesn't enter and leave the list
	sampleTTL              = 32   // periods for which the result of a probe counts in the self-check
	minSample              = 12   // minimum probe results from which the self-check concludes anything, or one of each other agent if fewer
	firstSweep             = 4    // probes sent to agents in round-robin order when the self-check starts; then one per period
	maxSample              = 24   // maximum agents whose results the self-check counts
	doubtThreshold         = 0.4  // an agent doubts itself when this share of the sample or less answers
	clearDoubtThreshold    = 0.55 // doubt ends from this share on; the gap absorbs random loss
	// Maximum observers of this agent on a ring: the nearest predecessor, and those behind it while it is in
	// doubt.
	maxObserversPerRing = 5
	contactsPerPeriod   = 2                // observers to which this agent sends a datagram per period while it doubts itself
	maxCorrections      = 8                // newer records returned at most to the sender of outdated ones
	maxRelays           = 64               // maximum indirect probes under way on behalf of other agents
	syncOdds            = 4                // while updates spread, one in this many pings whose digests differ from this agent's starts a sync
	maxSyncBuckets      = 4                // buckets whose records are sent at once to an agent that lacks most records
	healthStep          = 0.5              // extension of the probe timeout per sign of local slowness, in periods
	healthRecovery      = 0.1              // reduction of that extension per answered probe
	drawsPerPick        = 4                // random draws per agent to pick, before all members are scanned instead
	maxSkipped          = 32               // records too large for the rest of a datagram, after which no further ones are tried
	spreadFactor        = 3                // each agent sends an update this many times log2 of the fleet size
	duplicateSends      = 4                // sends that an update counts as having had when another agent repeats it
	gossipInterval      = 0.4              // periods between two gossip rounds
	fanout              = 2                // datagrams per gossip round
	strangerRetention   = 24 * time.Hour   // how long a stranger whose life has ended is remembered even if space runs out
	minTickGap          = time.Millisecond // minimum delay returned by Wake; the clock is not finer
	leaveRepeats        = 3                // rounds of leave messages
	leaveReceivers      = 8                // receivers of each round
)

// Datagram is a datagram to send.
type Datagram struct {
	To   ID
	Addr netip.AddrPort // address that an agent outside Config.Peers announced; invalid: use the configured one
	Data []byte
}

// Counters count datagrams and stalls since this Member was created.
type Counters struct {
	Sent, Received   uint64
	Bytes            uint64 // bytes sent
	Held             uint64 // datagrams that were not sent, since they would have exceeded Config.Rate
	Foreign, Garbled uint64 // received datagrams of another fleet or protocol version; truncated or malformed ones
	Strange          uint64 // received from an unknown sender, or with a sender ID that doesn't match the address
	Wakes            uint64 // times that this agent noticed that it had been stalled (no Tick for stallPeriods)
}

// Member holds what one agent knows of the fleet.
type Member struct {
	cfg Config
	rng *rand.Rand

	now, startedAt time.Duration
	lastTick       time.Duration // last advance of the clock, by a Tick or any other call
	noEndsUntil    time.Duration // before this time this agent declares no other agent dead
	seq            uint32        // sequence number of the last probe
	tokens         float64       // datagrams that may be sent now: a token bucket with rate Config.Rate
	tokensAt       time.Duration // when tokens was last refilled
	peers          map[ID]*peer  // all members, this agent included
	index
	counts       peerCounts
	pending      []*peer // peers whose states the next evaluate derives again
	sparePending []*peer // empty slice whose memory evaluate reuses for pending
	reporters    []*peer // peers with entries on their lists, and some whose lists have become empty since
	self         *peer
	leaving      bool            // Leave was called
	leaveRounds  int             // rounds of leave messages sent so far
	digests      [buckets]uint32 // by bucket: XOR of the hashes of its members' records
	nextProbe    time.Duration   // when the next regular probe is due
	lastReceived time.Duration   // when the last datagram from any agent, or refusal by a host, came
	nextGossip   time.Duration
	probes       int                    // regular probe periods so far; every randomEvery-th probes outside the observed agents
	slots        map[ID]*probeState     // probe state by agent
	slotList     []*probeState          // the same slots in a deterministic order
	probeOrder   []ID                   // agents that are still to be probed in the present random round, last one first
	localHealth  float64                // extension of the probe timeout in periods, since this agent seems slow; 0: it doesn't
	wasAlarmed   bool                   // the self-check ran in the last probe period
	sample       [2 * maxSample]outcome // a ring of the latest probe results for the self-check
	sampleCount  int                    // number of results added to sample so far
	updates      updateQueue            // records that are still gossiped
	relays       []relay
	listChanged  bool          // what this agent would list differs from its published record
	note         string        // published in this agent's record
	nextPublish  time.Duration // before this time this agent's own record is not published again
	dirty        bool          // an input of evaluate has changed
	nextEvaluate time.Duration // when evaluate must run though nothing has changed; 0: not needed
	doubt        bool          // this agent doubts itself: it may be cut off from the fleet
	noDoubtSince time.Duration // start of the time without a reason for doubt; -1: there is one now
	lastStanding Standing
	ringsChanged bool    // assignObservers must run again
	subjects     []*peer // agents that this one observes (probes regularly), in ring order
	observers    []*peer // agents that observe this one, as far as this one knows
	contactIndex int     // position in observers, modulo their number, of the one that is contacted next while this agent doubts itself
	out          []Datagram
	changes      []Change
	number       uint64 // View.Number: sum of the ranks of all records, so that it grows with each new life and each end
	changeCount  uint64 // changes of this member's view so far
	counters     Counters
}

// New returns a member that knows the listed agents and has received nothing from them.
func New(cfg Config, now time.Duration) (*Member, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	m := &Member{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))), now: now, startedAt: now, lastTick: now, tokens: burst(cfg.Rate),
		tokensAt: now, peers: map[ID]*peer{}, slots: map[ID]*probeState{}, dirty: true}
	all := make([]*peer, 0, len(cfg.Peers)+1)
	for _, p := range cfg.Peers {
		if p.ID != cfg.Self {
			all = append(all, m.newPeer(p.ID, p.Name, p.Zone))
			all[len(all)-1].listed = true
		}
	}
	m.counts.open = len(all)
	m.self = m.newPeer(cfg.Self, cfg.Name, cfg.Zone)
	m.build(append(all, m.self))
	m.self.rec = record{id: cfg.Self, kind: kindFull, start: cfg.Start, version: 1, name: cfg.Name, zone: cfg.Zone, addr: cfg.Addr}
	m.self.state = Alive
	m.counts.alive++
	m.setRecord(m.self, m.self.rec)
	if m.cfg.Expected == 0 {
		m.cfg.Expected = len(m.peers)
	}
	m.noEndsUntil = now + endHoldOff*cfg.Period
	m.nextProbe = now + m.fraction(cfg.Period)
	m.queueUpdate(m.self)
	m.assignObservers()
	return m, nil
}

// burst returns the maximum number of datagrams sent at once by a member with the given Config.Rate.
func burst(rate float64) float64 { return max(8, rate/2) }

// fraction returns a random part of d, so that agents that start at the same time don't send at the same times.
func (m *Member) fraction(d time.Duration) time.Duration {
	return time.Duration(m.rng.Float64() * float64(d))
}

// newPeer creates a peer and adds it to Member.peers, but not to the index.
func (m *Member) newPeer(id ID, name, zone string) *peer {
	p := &peer{id: id, state: Unseen, since: m.now, heardAt: -1, lastAckAt: -1, lastFailAt: -1}
	p.rec.name, p.rec.zone = name, zone
	for r := range p.ringPositions {
		p.ringPositions[r] = ringPosition(r, id)
	}
	m.peers[id] = p
	return p
}

// Wake returns the time at which the next Tick is due. Calling Tick earlier is harmless.
func (m *Member) Wake() time.Duration {
	at := m.nextProbe
	if m.updates.n > 0 {
		at = min(at, m.nextGossip)
	}
	for _, s := range m.slotList {
		switch {
		case s.waiting:
			at = min(at, s.due)
		case s.failing:
			at = min(at, s.nextAt)
		}
	}
	if m.nextEvaluate > 0 {
		at = min(at, m.nextEvaluate)
	}
	return max(at, m.now+minTickGap)
}

// Tick does all work that is due at now. A gap of several periods since the last Tick means that this agent
// was stalled; unanswered probes are then attributed to the stall.
func (m *Member) Tick(now time.Duration) {
	m.advance(now)
	if m.leaving {
		m.sendLeave()
		return
	}
	m.probe()
	m.gossip()
	m.evaluate()
}

// advance moves the clock to now, detects a stall of this agent (no call for stallPeriods) and refills the send budget.
func (m *Member) advance(now time.Duration) {
	m.now = max(now, m.now)
	if gap := m.now - m.lastTick; gap > stallPeriods*m.cfg.Period {
		m.resetAfterStall()
	}
	m.lastTick = m.now
	m.tokens = min(burst(m.cfg.Rate), m.tokens+m.cfg.Rate*(m.now-m.tokensAt).Seconds())
	m.tokensAt = m.now
}

// resetAfterStall discards evidence that this agent gathered while it did not read its socket: the missing
// answers are its own fault, and datagrams still in the socket may be old.
func (m *Member) resetAfterStall() {
	m.counters.Wakes++
	m.localHealth = maxLocalHealth
	m.discardEvidence()
	for _, p := range m.order {
		p.lastAckAt, p.lastFailAt = -1, -1
	}
	m.sampleCount = 0
	m.nextProbe = m.now
}

// discardEvidence resets all probe state but that of agents whose hosts refused, and makes this agent declare no death
// for endHoldOff, not even one that the lists of others support: they may have to discard their evidence too.
func (m *Member) discardEvidence() {
	m.noEndsUntil = m.now + endHoldOff*m.cfg.Period
	for _, s := range m.slotList {
		if s.refusals == 0 { // a refusal by the host is valid even if this agent was deaf
			s.reset()
		}
	}
	m.dirty, m.listChanged = true, true
}

// Receive processes a datagram. from is the agent to which the configuration gives the sender's address; NoID: it gives
// that address to none.
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
	if pk.from == m.cfg.Self || from != NoID && from != pk.from || from == NoID && p != nil && p.listed {
		m.counters.Strange++
		return
	}
	if p == nil {
		if p = m.admit(pk); p == nil {
			m.counters.Strange++
			return
		}
	}
	m.handle(p, pk)
}

// admit adds the sender of a datagram as a stranger (an agent not in Config.Peers) if the settings allow it and the
// sender's own record with an address is in the datagram; nil if not.
func (m *Member) admit(pk *packet) *peer {
	if !m.cfg.Strangers {
		return nil
	}
	for i := range pk.records {
		if r := &pk.records[i]; r.id == pk.from && r.kind == kindFull && r.addr.IsValid() {
			return m.addStranger(r.id)
		}
	}
	return nil
}

// addStranger adds a peer that is not in Config.Peers. If Config.MaxMembers is reached, it replaces the stranger that
// ended the longest ago, at least strangerRetention; nil if there is no such stranger.
func (m *Member) addStranger(id ID) *peer {
	if len(m.peers) >= m.cfg.MaxMembers {
		var oldest *peer
		for _, p := range m.order {
			if !p.listed && p != m.self && p.ended() && m.now-p.since > strangerRetention && (oldest == nil || p.since < oldest.since) {
				oldest = p
			}
		}
		if oldest == nil {
			return nil
		}
		m.removePeer(oldest)
	}
	p := m.newPeer(id, "", "")
	m.insert(p)
	m.adjustCounts(p, 1)
	m.probeOrder = nil
	return p
}

// removePeer removes p and all state about it.
func (m *Member) removePeer(p *peer) {
	m.removeFromDigest(p)
	m.adjustCounts(p, -1)
	delete(m.peers, p.id)
	m.remove(p)
	m.updates.remove(p)
	m.pending = slices.DeleteFunc(m.pending, func(o *peer) bool { return o == p })
	m.reporters = slices.DeleteFunc(m.reporters, func(o *peer) bool { return o == p })
	m.dropSlot(p.id)
	m.probeOrder, m.dirty = nil, true
	m.ringsChanged = true
}

// handle processes a datagram that p sent: it merges the records in it and answers it.
func (m *Member) handle(p *peer, pk *packet) {
	m.recordContact(p)
	var behind []record // newer records than those that p sent
	for i := range pk.records {
		if newer := m.merge(&pk.records[i], pk.kind == kindSync); newer != nil && len(behind) < maxCorrections {
			behind = append(behind, newer.rec)
		}
	}
	if len(behind) > 0 && (pk.kind == kindGossip || pk.kind == kindSync) {
		m.send(p, &packet{kind: kindGossip, records: behind}, prioritySync)
	}
	switch pk.kind {
	case kindPing:
		m.send(p, m.newPacket(p, kindAck, pk.seq), priorityReply)
		m.reconcile(p, pk.digests)
	case kindAck:
		m.handleAck(p, pk.seq)
	case kindPingRequest:
		m.handlePingRequest(p, pk)
	case kindRelayPing: // from a helper, for target, which must get a direct answer too
		if other := m.peers[pk.target]; other != nil && other != m.self {
			reply := m.newPacket(p, kindRelayAck, pk.seq)
			reply.target, reply.hears = pk.target, m.heardRecently(other)
			m.send(p, reply, priorityReply)
			m.send(other, m.newPacket(other, kindGossip, 0), priorityReply)
		}
	case kindRelayAck:
		m.forwardRelayAck(p, pk)
	case kindIndirectAck:
		m.recordEvidence(pk, m.now, pk.hears)
	case kindLastHeard:
		m.recordEvidence(pk, m.now-time.Duration(pk.age)*ageUnit, false)
	}
}

// Refused reports that the host of an agent answered that no process listens on the agent's port.
func (m *Member) Refused(now time.Duration, to ID) {
	m.advance(now)
	p := m.peers[to]
	if p == nil || p == m.self || p.ended() || m.leaving {
		return
	}
	if s := m.slotFor(p); s != nil {
		m.handleRefusal(s)
	}
}

// SetNote publishes a few bytes, MaxNote at most, that this package doesn't interpret; other agents find them in
// MemberInfo.Note. Each change is gossiped to the whole fleet.
func (m *Member) SetNote(now time.Duration, note []byte) {
	m.advance(now)
	m.note = string(note[:min(len(note), MaxNote)])
}

// Leave announces that this agent leaves the fleet. Afterwards Tick only repeats the announcement, leaveRepeats rounds in all.
func (m *Member) Leave(now time.Duration) {
	m.advance(now)
	if m.leaving {
		return
	}
	m.leaving = true
	end := m.self.rec
	end.kind, end.list = kindLeft, nil
	m.setRecord(m.self, end)
	m.sendLeave()
}

// sendLeave sends the next round of leave messages, leaveRepeats rounds at most.
func (m *Member) sendLeave() {
	m.nextProbe = m.now + m.cfg.Period/4
	if m.leaveRounds >= leaveRepeats {
		return
	}
	m.leaveRounds++
	for _, p := range m.pickPeers(leaveReceivers, nil) {
		m.send(p, &packet{kind: kindGossip, records: []record{m.self.rec}}, priorityReply)
	}
}

// Out returns the datagrams to send and empties the queue.
func (m *Member) Out() []Datagram {
	out := m.out
	m.out = nil
	return out
}

// Counters returns the counters since the start.
func (m *Member) Counters() Counters { return m.counters }
