package member

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// State is the state in which this agent sees a member.
type State uint8

const (
	Unseen  State = iota // configured, and not heard of since this agent started
	Alive                // running
	Suspect              // enough observers list it as unreachable by direct and indirect probes
	Dead                 // its life has ended: declared by its observers
	Left                 // its life has ended: announced by itself
)

var stateNames = [...]string{"unseen", "alive", "suspect", "dead", "left"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Standing says how much of the fleet an agent sees, by its own judgement.
type Standing uint8

const (
	Minority Standing = iota // sees half of the expected fleet or less, or doubts itself (may be cut off)
	Majority                 // sees more than half of it and doesn't doubt itself
	OwnZone                  // a minority whose reachable members are all of its own zone, in a fleet with several
	Alone                    // no other agent answers it
)

var standingNames = [...]string{"minority", "majority", "own zone", "alone"}

func (s Standing) String() string {
	if int(s) < len(standingNames) {
		return standingNames[s]
	}
	return fmt.Sprintf("standing %d", uint8(s))
}

// Change is a change of a member's state or of this agent's own standing.
type Change struct {
	At       time.Duration
	Sequence uint64   // number of changes that this agent had seen then, this one included
	Member   ID       // NoID: the change is of this agent's standing
	From, To State    // of the member
	Proved   bool     // To is Dead, and the host of the member reported that no process listens
	Standing Standing // this agent's standing after the change
}

// MemberInfo describes one member in a view.
type MemberInfo struct {
	ID          ID
	Name, Zone  string
	State       State
	Proved      bool // State is Dead, and its host reported that no process listens
	Start       uint32
	Incarnation uint16
	Since       time.Duration // when it entered State
	Accused     int           // number of observers that list it as unreachable by direct and indirect probes
	Doubts      bool          // the member believes that it may be cut off itself
	Note        string        // published by the member; see SetNote
	// Members whose datagrams don't reach it directly, according to its list or theirs, sorted by ID.
	UnreachableFrom []ID
}

// View is what an agent knows of the fleet. Agents with the same digest agree on every life, its end, and
// who can reach whom. Suspicions follow from these records and from the agent's own standing.
type View struct {
	Self     ID
	Number   uint64 // grows with each new life and each end; the same at all agents with the same records
	Digest   uint64 // hash of all records
	Changes  uint64 // number of changes that this agent has seen since its start
	Standing Standing
	Expected int          // number of agents in the complete fleet
	Alive    int          // members in state Alive, this agent included
	Zones    int          // number of different zones of the members
	Members  []MemberInfo // sorted by ID, this agent included
}

// Majority reports whether the agent sees more than half of the expected fleet.
func (v *View) Majority() bool { return v.Standing == Majority }

// View returns the current view.
func (m *Member) View() View {
	v := View{Self: m.cfg.Self, Number: m.number, Changes: m.changeCount, Standing: m.standing(), Expected: m.cfg.Expected}
	for _, d := range m.digests {
		v.Digest = mix(v.Digest ^ uint64(d))
	}
	zones := map[string]bool{}
	blocked := map[ID][]ID{} // key: an agent; value: the agents whose datagrams don't reach it directly
	for _, p := range m.order {
		if p.state == Alive {
			v.Alive++
		}
		if p.known || p.listed {
			zones[p.rec.zone] = true
		}
		if p.ended() {
			continue
		}
		for _, e := range p.rec.list {
			t := m.peers[e.id]
			if t == nil || t.ended() || e.lifeTag != t.rec.lifeTag() {
				continue
			}
			if e.mark&(markNoOutbound|markUnreachable) != 0 {
				blocked[e.id] = append(blocked[e.id], p.id)
			}
			if e.mark&markNoInbound != 0 {
				blocked[p.id] = append(blocked[p.id], e.id)
			}
		}
	}
	v.Zones = len(zones)
	for _, p := range m.order {
		from := blocked[p.id]
		slices.Sort(from)
		v.Members = append(v.Members, MemberInfo{ID: p.id, Name: p.rec.name, Zone: p.rec.zone, State: p.state, Proved: p.rec.kind == kindRefused,
			Start: p.rec.start, Incarnation: p.rec.incarnation, Since: p.since, Accused: p.accusers, Doubts: p.rec.doubt, Note: p.rec.note,
			UnreachableFrom: slices.Compact(from)})
	}
	return v
}

// Brief returns the current view without Digest, Zones and Members.
func (m *Member) Brief() (v View) {
	v = View{Self: m.cfg.Self, Number: m.number, Changes: m.changeCount, Standing: m.lastStanding, Expected: m.cfg.Expected}
	v.Alive = m.counts.alive
	return v
}

// Name returns the name of member id; "#" and its ID if the name is not known yet.
func (m *Member) Name(id ID) string {
	if p := m.peers[id]; p != nil && p.rec.name != "" {
		return p.rec.name
	}
	return fmt.Sprintf("#%d", id)
}

// Changes returns the changes since its last call, oldest first; only the latest maxChanges are kept.
func (m *Member) Changes() []Change {
	c := m.changes
	m.changes = nil
	return c
}

// maxChanges is the greatest number of changes kept for Changes.
const maxChanges = 4096

// recordChange queues a change for Changes; the oldest one is dropped beyond maxChanges.
func (m *Member) recordChange(c Change) {
	m.changeCount++
	c.At, c.Sequence, c.Standing = m.now, m.changeCount, m.lastStanding
	if len(m.changes) >= maxChanges {
		m.changes = slices.Delete(m.changes, 0, 1)
	}
	m.changes = append(m.changes, c)
}

// setState sets the state of p and records the change, if it is one.
func (m *Member) setState(p *peer, s State) {
	if p.state == s {
		return
	}
	from := p.state
	m.adjustCounts(p, -1)
	p.state, p.since = s, m.now
	m.adjustCounts(p, 1)
	m.recordChange(Change{Member: p.id, From: from, To: s, Proved: p.rec.kind == kindRefused})
}

// AgentCount is the number of agents that users of a view have to assume to be serving.
type AgentCount struct {
	Living   int  // agents to be counted as serving
	Possible int  // agents that serve in the worst case, those behind a network cut included; at least Living
	Away     []ID // the agents in Config.Peers, or this one, that Living leaves out
}

// Count returns how many agents have to be counted as serving. Agents that left, or whose host reported
// that no process listens, don't count. An agent declared dead after silence may still serve behind a
// network cut: it counts in Living until it has been dead for another Config.Pause and this agent is in the
// majority, and always counts in Possible. Agents never heard of count as living.
func (m *Member) Count() (c AgentCount) {
	c.Living, c.Possible = m.cfg.Expected, m.cfg.Expected
	for _, p := range m.order {
		switch {
		case !p.listed && p != m.self: // joined, not part of Expected
			if !p.ended() {
				c.Living++
				c.Possible++
			}
		case p.rec.kind == kindLeft || p.rec.kind == kindRefused:
			c.Living--
			c.Possible--
			c.Away = append(c.Away, p.id)
		case p.rec.kind == kindDead && m.lastStanding == Majority && m.now-p.since >= m.cfg.Pause:
			c.Living--
			c.Away = append(c.Away, p.id)
		}
	}
	c.Living = max(1, c.Living)
	c.Possible = max(c.Living, c.Possible)
	return c
}

// ---- States derived from the records ----

// evaluate derives the states of the pending peers from the published lists, and this agent's standing.
func (m *Member) evaluate() {
	doubted := m.doubt
	m.evaluateDoubt()
	if doubted != m.doubt {
		m.dirty = true
	}
	if doubted && !m.doubt {
		m.discardEvidence()
	}
	if m.nextEvaluate > 0 && m.nextEvaluate <= m.now {
		m.dirty, m.nextEvaluate = true, 0
	}
	if !m.dirty {
		return
	}
	m.dirty = false
	m.publish()
	for _, p := range m.pending {
		p.accusers, p.confirmers, p.refusers = 0, 0, 0
	}
	eligible := m.eligible()
	for i := 0; i < len(m.reporters); i++ {
		p := m.reporters[i]
		if len(p.rec.list) == 0 {
			p.reporting = false
			m.reporters = slices.Delete(m.reporters, i, i+1)
			i--
			continue
		}
		if !m.trusts(p) {
			continue
		}
		for _, e := range p.rec.list {
			t := m.peers[e.id]
			if t == nil || t == p || e.mark&markUnreachable == 0 || e.lifeTag != t.rec.lifeTag() {
				continue
			}
			t.accusers++
			m.markPending(t)
			if e.mark&markConfirmable != 0 {
				t.confirmers++
				if e.mark&markRefused != 0 {
					t.refusers++
				}
			}
		}
	}
	if m.doubt { // only agents that still answer this one can take part in the decision
		eligible = 1
		for _, p := range m.order {
			if m.ackedRecently(p) {
				eligible++
			}
		}
	}
	statesChanged := false
	slices.SortFunc(m.pending, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	toEvaluate := m.pending
	m.pending = m.sparePending[:0]
	for _, p := range toEvaluate {
		p.pending = false
		if p == m.self || p.ended() {
			continue
		}
		others := eligible
		if m.doubt && m.ackedRecently(p) || !m.doubt && m.trusts(p) {
			others--
		}
		before := p.state
		m.updateState(p, min(requiredObservers, max(1, others)))
		statesChanged = statesChanged || p.state != before
		if p.accusers > 0 || p.state == Suspect || p.state == Unseen && p.known {
			m.markPending(p)
		}
	}
	m.sparePending = toEvaluate
	if statesChanged {
		m.ringsChanged = true
	}
	if s := m.standing(); s != m.lastStanding {
		m.lastStanding = s
		m.recordChange(Change{Member: NoID, Standing: s})
	}
}

// eligible returns the number of agents whose lists count here (see trusts), this one included.
func (m *Member) eligible() int {
	n := 1 + m.counts.known
	if !m.doubt {
		n -= m.counts.doubting
	}
	for _, s := range m.slotList {
		if p := s.p; s.mark&markUnreachable != 0 && p.known && !p.ended() && (!p.rec.doubt || m.doubt) {
			n--
		}
	}
	return n
}

// trusts reports whether this agent takes the list of p into account. It doesn't if p doubts itself, unless this agent
// doubts itself too.
func (m *Member) trusts(p *peer) bool {
	if p == m.self {
		return true
	}
	// The list of a suspected agent counts too; otherwise the states of two agents that suspect each other
	// would alternate. If this agent itself can't reach p, p's list is outdated.
	if p.slot != nil && p.slot.mark&markUnreachable != 0 {
		return false
	}
	return p.known && !p.ended() && (!p.rec.doubt || m.doubt)
}

// updateState updates the state of p; need is the number of observers that must agree on a suspicion or a death.
func (m *Member) updateState(p *peer, need int) {
	if p.state == Unseen {
		if p.known {
			m.setState(p, Alive)
		}
		return
	}
	heardDirectly := p.heardAt >= 0 && m.now-p.heardAt < 2*m.cfg.Period
	if m.doubt { // in doubt, own contacts count more than lists of agents that may be cut off too
		heardDirectly = heardDirectly || m.ackedRecently(p) || m.heardRecently(p)
	}
	if m.now >= m.noEndsUntil && !heardDirectly {
		end := p.rec
		switch {
		case p.refusers >= need:
			end.kind = kindRefused
		case p.confirmers >= need && m.standing() == Majority:
			end.kind = kindDead
		}
		if end.kind != kindFull {
			m.setRecord(p, end)
			m.setState(p, Dead)
			m.dropSlot(p.id)
			return
		}
	} else if p.confirmers >= need {
		m.scheduleEvaluate(max(m.noEndsUntil, m.now+m.cfg.Period))
	}
	switch p.state {
	case Alive:
		if p.accusers >= need && !heardDirectly {
			p.clearingSince = 0
			m.setState(p, Suspect)
		} else if p.accusers >= need {
			m.scheduleEvaluate(m.now + 2*m.cfg.Period)
		}
	case Suspect:
		switch {
		case p.accusers == 0:
			m.setState(p, Alive)
		case p.accusers > need/2:
			p.clearingSince = 0
		case p.clearingSince == 0:
			p.clearingSince = m.now
			m.scheduleEvaluate(m.now + clearSuspicionAfter*m.cfg.Period)
		case m.now-p.clearingSince >= clearSuspicionAfter*m.cfg.Period:
			m.setState(p, Alive)
		default:
			m.scheduleEvaluate(p.clearingSince + clearSuspicionAfter*m.cfg.Period)
		}
	}
}

// scheduleEvaluate makes evaluate run at the given time at the latest.
func (m *Member) scheduleEvaluate(at time.Duration) {
	if m.nextEvaluate == 0 || at < m.nextEvaluate {
		m.nextEvaluate = at
	}
}

// ackedRecently reports whether p has answered a probe recently: the last probe, or one within the time
// that it takes to list p, since under packet loss a single failed probe says little.
func (m *Member) ackedRecently(p *peer) bool {
	if p == m.self || p.ended() || p.lastAckAt < 0 {
		return false
	}
	age := m.now - p.lastAckAt
	return age < suspectFailures*m.cfg.Period || p.lastAckAt >= p.lastFailAt && age < sampleTTL*m.cfg.Period
}

// evaluateDoubt decides whether this agent may be cut off itself: whether too few of the agents in its
// recent sample answer.
func (m *Member) evaluateDoubt() {
	if !m.alarmed() {
		m.setDoubt(false)
		return
	}
	others := m.counts.open
	ok, all := m.recentOutcomes()
	switch {
	case all < min(minSample, others):
	case all >= others: // every other agent
		m.setDoubt(2*(ok+1) <= all+1) // counting this agent on the answering side
	case float64(ok) <= doubtThreshold*float64(all):
		m.setDoubt(true)
	case float64(ok) >= clearDoubtThreshold*float64(all):
		m.setDoubt(false)
	}
}

// setDoubt sets whether this agent doubts itself: at once if doubt is true, but back only after clearDoubtAfter without
// a reason, since answers from before a cut still count for a short time.
func (m *Member) setDoubt(doubt bool) {
	switch {
	case doubt:
		m.doubt, m.noDoubtSince = true, -1
	case m.doubt && m.noDoubtSince < 0:
		m.noDoubtSince = m.now
	case m.doubt && m.now-m.noDoubtSince >= clearDoubtAfter*m.cfg.Period:
		m.doubt = false
	}
}

// standing computes this agent's standing. An agent that doubts itself is never in the majority.
func (m *Member) standing() Standing {
	if alive := m.counts.alive; !m.doubt && alive > 1 && 2*alive > m.cfg.Expected {
		return Majority
	}
	alive, acked, allOwnZone := 0, 0, true
	zones := map[string]bool{}
	for _, p := range m.order {
		if p.known || p.listed && p.rec.zone != "" {
			zones[p.rec.zone] = true
		}
		if p.state == Alive {
			alive++
			if p != m.self && (!m.doubt || m.ackedRecently(p)) {
				acked++
				allOwnZone = allOwnZone && p.rec.zone == m.self.rec.zone
			}
		}
	}
	switch {
	case acked == 0 && m.cfg.Expected > 1:
		return Alone
	case !m.doubt && 2*alive > m.cfg.Expected:
		return Majority
	case allOwnZone && len(zones) > 1:
		return OwnZone
	}
	return Minority
}
