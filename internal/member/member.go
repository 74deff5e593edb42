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

// ID is an agent's number: its index in the configured list of peers, or a hash of its name (see NameID).
type ID uint32

// NoID is the reserved ID that no agent has.
const NoID ID = 0xffffffff

// Peer is an agent that the configuration names.
type Peer struct {
	ID   ID
	Name string // empty: taken from the agent's own record
	Zone string
}

// Config holds the settings of a Member. DefaultConfig fills all but Self, Name, Zone, Start, Peers and
// Seed.
type Config struct {
	Self  ID
	Name  string // at most MaxName bytes
	Zone  string // at most MaxZone bytes
	Start uint32 // start counter; greater than in every earlier life of this name, as far as known
	Addr  netip.AddrPort
	Peers []Peer // the expected fleet, with or without this agent
	Seed  uint64

	Fleet      uint16        // datagrams of another fleet are dropped
	Expected   int           // size of the complete fleet; 0: Peers and this agent
	Period     time.Duration // between two probes
	Pause      time.Duration // silence after which an agent may be declared dead
	Rate       float64       // maximum datagrams sent per second
	Strangers  bool          // agents that are not in Peers may join
	MaxMembers int           // maximum known members, this agent included
}

// Bounds of names and notes, in bytes, and of the expected fleet, in agents. SetNote cuts a note to
// MaxNote.
const (
	MaxName     = 31
	MaxZone     = 15
	MaxNote     = 16
	MaxExpected = 1 << 16
)

// DefaultConfig returns the times and bounds for agents of one region.
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
	rings       = 5 // rings, and so observers of each agent
	randomEvery = 6 // one in this many probes goes to an agent outside the observed ones
	// Consecutive failed probes of each of two agents (or of the only other one) that trigger the
	// self-check.
	alarmFailures     = 3
	requiredObservers = 3 // observers that must agree on a suspicion or a death
	suspectFailures   = 6 // consecutive failed probes before an observer lists an agent
	// The same for a broken link to an agent that others can reach: packet loss alone must not reach this
	// count.
	linkFailures           = 24
	maxHelpers             = 3    // helpers asked for an indirect probe after a failed probe
	maxListEntries         = 32   // maximum entries on a list
	maxListInDoubt         = 12   // maximum entries on the list of an agent that doubts itself
	longList               = 6    // a list with more entries is published less often
	probeReserve           = 0.4  // share of the send burst that gossip and sync leave to probes
	refusalSpacing         = 1    // periods after a counted refusal in which further refusals by that agent's host don't count
	slowProbeInterval      = 2    // minimum periods between probes of an agent that has failed for long
	failingProbesPerPeriod = 1    // probes per period shared by all agents that have failed for long
	maxLocalHealth         = 3    // the probe timeout is extended to at most 1 + this many periods
	stallPeriods           = 4    // periods without a tick after which this agent was stalled itself
	endHoldOff             = 12   // periods after a start or a stall in which this agent declares no death
	clearSuspicionAfter    = 4    // periods with too few accusers that clear a suspicion
	clearDoubtAfter        = 8    // periods without a reason for doubt that clear the doubt
	evidenceTTL            = 12   // periods for which a direct contact or an indirect ack counts
	listedEvidenceTTL      = 36   // the same once a broken link is listed, so that a steady cut doesn't flap
	sampleTTL              = 32   // periods for which a probe result counts in the self-check
	minSample              = 12   // minimum results for the self-check, or one of each other agent if fewer
	firstSweep             = 4    // probes outside the observed agents when the self-check starts; then one per period
	maxSample              = 24   // maximum agents in the self-check
	doubtThreshold         = 0.4  // an agent doubts itself when this share of the sample or less answers
	clearDoubtThreshold    = 0.55 // doubt ends from this share on; the gap absorbs random loss
	// Maximum observers of this agent on a ring: the nearest predecessor, and those behind it while it is in
	// doubt.
	maxObserversPerRing = 5
	contactsPerPeriod   = 2                // observers contacted per period while this agent doubts itself
	maxCorrections      = 8                // newer records returned to a sender of outdated ones
	maxRelays           = 64               // maximum indirect probes under way for other agents
	syncOdds            = 4                // while updates spread, one in this many pings with a different digest starts a sync
	maxSyncBuckets      = 4                // buckets sent at once to an agent that lacks most records
	healthStep          = 0.5              // extension of the probe timeout per sign of local slowness, in periods
	healthRecovery      = 0.1              // reduction of that extension per answered probe
	drawsPerPick        = 4                // random draws per agent to pick, before scanning all members
	maxSkipped          = 32               // records that don't fit, after which a datagram is sent as it is
	spreadFactor        = 3                // an update is sent this factor times log2 of the fleet size
	duplicateSends      = 4                // sends credited to an update when another agent repeats it
	gossipInterval      = 0.4              // periods between two gossip rounds
	fanout              = 2                // datagrams per gossip round
	strangerRetention   = 24 * time.Hour   // how long an ended agent outside Peers is remembered when space runs out
	minTickGap          = time.Millisecond // minimum delay returned by Wake; the clock is not finer
	leaveRepeats        = 3                // rounds of leave messages
	leaveReceivers      = 8                // receivers of each round
)

// Datagram is a datagram to send.
type Datagram struct {
	To   ID
	Addr netip.AddrPort // address that an unlisted agent announced; invalid: use the configured one
	Data []byte
}

// Counters count datagrams and stalls since the start.
type Counters struct {
	Sent, Received   uint64
	Bytes            uint64 // bytes sent
	Held             uint64 // datagrams not sent, since they would have exceeded Config.Rate
	Foreign, Garbled uint64 // received from another fleet or protocol version; truncated or malformed
	Strange          uint64 // received from an unknown sender, or with a sender ID that doesn't match the address
	Wakes            uint64 // times that this agent noticed that it had been stalled
}

// Member holds what one agent knows of the fleet.
type Member struct {
	cfg Config
	rng *rand.Rand

	now, startedAt time.Duration
	lastTick       time.Duration // last advance of the clock, by a Tick or any other call
	noEndsUntil    time.Duration // before this time this agent declares no death
	seq            uint32        // sequence number of the last probe
	tokens         float64       // datagrams that may be sent now: a token bucket with rate Config.Rate
	tokensAt       time.Duration // when tokens was last refilled
	peers          map[ID]*peer  // all members, this agent included
	index
	counts       peerCounts
	pending      []*peer // peers that the next evaluate examines
	sparePending []*peer // spare backing array for pending
	reporters    []*peer // peers with entries on their lists; entries may have gone since
	self         *peer
	leaving      bool            // Leave was called
	leaveRounds  int             // rounds of leave messages sent so far
	digests      [buckets]uint32 // by bucket: XOR of the hashes of its members' records
	nextProbe    time.Duration
	lastReceived time.Duration // last datagram from any agent, or refusal by a host
	nextGossip   time.Duration
	probes       int          // regular probe periods so far; every randomEvery-th probes outside the observed agents
	slots        map[ID]*slot // probe state by agent
	slotList     []*slot      // the same slots in a deterministic order
	probeOrder   []ID         // remaining round-robin order of probes outside the observed agents
	localHealth  float64      // 0: healthy, up to maxLocalHealth; extends timeouts by as many periods
	wasAlarmed   bool         // the self-check ran in the last probe period
	sample       [2 * maxSample]outcome
	sampleCount  int
	updates      updateQueue // records that are still gossiped
	relays       []relay
	listChanged  bool   // this agent's list differs from its published record
	note         string // published in this agent's record
	nextPublish  time.Duration
	dirty        bool // an input of evaluate has changed
	nextEvaluate time.Duration
	doubt        bool
	noDoubtSince time.Duration // start of the time without a reason for doubt; -1: there is a reason
	lastStanding Standing
	ringsChanged bool    // assignObservers must run again
	subjects     []*peer // agents that this one observes, in ring order
	observers    []*peer // agents that observe this one, as far as known
	contactIndex int     // which of observers are contacted next while this agent doubts itself
	out          []Datagram
	changes      []Change
	number       uint64 // View.Number: sum of the ranks of all records
	changeCount  uint64 // changes of this member's view so far
	counters     Counters
}

// New returns a member that knows the listed agents and has received nothing from them.
func New(cfg Config, now time.Duration) (*Member, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	m := &Member{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))), now: now, startedAt: now, lastTick: now, tokens: burst(cfg.Rate),
		tokensAt: now, peers: map[ID]*peer{}, slots: map[ID]*slot{}, dirty: true}
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

// burst returns the maximum number of datagrams sent at once at a rate of so many datagrams a second.
func burst(rate float64) float64 { return max(8, rate/2) }

// fraction returns a random part of d, so that agents started together don't act in step.
func (m *Member) fraction(d time.Duration) time.Duration {
	return time.Duration(m.rng.Float64() * float64(d))
}

// newPeer creates a peer and adds it to peers, but not to the indexes.
func (m *Member) newPeer(id ID, name, zone string) *peer {
	p := &peer{id: id, state: Unseen, since: m.now, heardAt: -1, lastAckAt: -1, lastFailAt: -1}
	p.rec.name, p.rec.zone = name, zone
	for r := range p.ringPositions {
		p.ringPositions[r] = ringPosition(r, id)
	}
	m.peers[id] = p
	return p
}

// Wake returns the latest time for the next Tick. Calling Tick earlier is harmless.
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

// advance moves the clock to now, detects a stall and refills the send budget.
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

// discardEvidence drops what this agent holds against others, except refusals, and makes it declare no death for a
// while, not even one that the lists of others support: those agents may have to discard their evidence too.
func (m *Member) discardEvidence() {
	m.noEndsUntil = m.now + endHoldOff*m.cfg.Period
	for _, s := range m.slotList {
		if s.refusals == 0 { // a refusal by the host is valid even if this agent was deaf
			s.reset()
		}
	}
	m.dirty, m.listChanged = true, true
}

// Receive processes a datagram. from is the agent that owns the sender's address; NoID: the address is
// not listed.
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

// admit adds the sender of a datagram that is not in Config.Peers, if it sent its own record with an
// address.
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

// addStranger adds a peer that is not in Config.Peers; nil if MaxMembers is reached and no peer can be
// removed.
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

// removePeer removes all that is known of p.
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

// handle processes a datagram from p.
func (m *Member) handle(p *peer, pk *packet) {
	m.recordContact(p)
	var behind []record // records that p should know by now
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

// SetNote publishes a few bytes, MaxNote at most, that have a meaning only to users of the view, in
// MemberInfo.Note. Each change is gossiped to the whole fleet.
func (m *Member) SetNote(now time.Duration, note []byte) {
	m.advance(now)
	m.note = string(note[:min(len(note), MaxNote)])
}

// Leave announces that this agent leaves. Afterwards Tick only repeats the announcement a few times.
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
