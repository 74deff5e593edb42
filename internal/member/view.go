package member

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// State is what a member is held for.
type State uint8

const (
	Unseen  State = iota // listed, and never heard of since this agent started
	Alive                // it lives
	Suspect              // enough observers get no answer, and nobody that they ask does
	Dead                 // its life has ended, by the word of its observers
	Left                 // its life has ended, by its own word
)

var stateNames = [...]string{"unseen", "alive", "suspect", "dead", "left"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Standing is what an agent makes of itself.
type Standing uint8

const (
	Minority Standing = iota // it sees half of the expected fleet at the most, or can't be sure of more
	Majority                 // it sees more than half
	OwnZone                  // a minority, all of it of its own zone though the fleet has others
	Alone                    // nobody answers it
)

var standingNames = [...]string{"minority", "majority", "own zone", "alone"}

func (s Standing) String() string {
	if int(s) < len(standingNames) {
		return standingNames[s]
	}
	return fmt.Sprintf("standing %d", uint8(s))
}

// Change is one step of a view: a member's state, or who can't reach it, or this agent's own standing.
type Change struct {
	At       time.Duration
	Moved    uint64 // this agent's changes so far, this one included
	Of       ID     // Nobody: of this agent's standing
	From, To State
	Proved   bool // Dead: its machine said that nobody listens
	Standing Standing
}

// Seen is one member in a view.
type Seen struct {
	ID          ID
	Name, Zone  string
	State       State
	Proved      bool // Dead: its machine said that nobody listens
	Start       uint32
	Incarnation uint16
	Since       time.Duration
	Accused     int // observers that get no answer, nor does anybody for them
	Doubts      bool
	Note        string // what it has the others know; see Say
	// Living members from which nothing comes to it, by its own word or theirs, in the order of their numbers.
	UnreachableFrom []ID
}

// View is what an agent holds of the fleet. Two agents with the same digest hold the same of every life and its end,
// and of who reaches whom; who is suspected follows from that and from each one's own standing.
type View struct {
	Self     ID
	Number   uint64 // grows with each life and each end, at all agents to the same sum
	Digest   uint64
	Moved    uint64 // changes that this agent has seen since it started
	Standing Standing
	Expected int
	Alive    int
	Zones    int
	Members  []Seen // by their numbers, this agent among them
}

// Majority reports whether the agent sees more than half of the expected fleet.
func (v *View) Majority() bool { return v.Standing == Majority }

// View returns the present one.
func (m *Member) View() View {
	v := View{Self: m.cfg.Self, Number: m.number, Moved: m.moved, Standing: m.standing(), Expected: m.cfg.Expected}
	for _, d := range m.digests {
		v.Digest = mix(v.Digest ^ uint64(d))
	}
	zones := map[string]bool{}
	blocked := map[ID][]ID{} // by the one that isn't reached
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
			if t == nil || t.ended() || e.tag != t.rec.tag() {
				continue
			}
			if e.mark&(unhearing|lost) != 0 {
				blocked[e.id] = append(blocked[e.id], p.id)
			}
			if e.mark&unheard != 0 {
				blocked[p.id] = append(blocked[p.id], e.id)
			}
		}
	}
	v.Zones = len(zones)
	for _, p := range m.order {
		from := blocked[p.id]
		slices.Sort(from)
		v.Members = append(v.Members, Seen{ID: p.id, Name: p.rec.name, Zone: p.rec.zone, State: p.state, Proved: p.rec.kind == kindGone,
			Start: p.rec.start, Incarnation: p.rec.inc, Since: p.since, Accused: p.accused, Doubts: p.rec.doubt, Note: p.rec.note,
			UnreachableFrom: slices.Compact(from)})
	}
	return v
}

// Brief is a view without its members.
func (m *Member) Brief() (v View) {
	v = View{Self: m.cfg.Self, Number: m.number, Moved: m.moved, Standing: m.told, Expected: m.cfg.Expected}
	v.Alive = m.count.alive
	return v
}

// Name is what a member is called; its number where it has not said so yet.
func (m *Member) Name(id ID) string {
	if p := m.peers[id]; p != nil && p.rec.name != "" {
		return p.rec.name
	}
	return fmt.Sprintf("#%d", id)
}

// Changes hands over what has changed since the last call; the earliest are lost beyond changesMost.
func (m *Member) Changes() []Change {
	c := m.changes
	m.changes = nil
	return c
}

const changesMost = 4096

func (m *Member) change(c Change) {
	m.moved++
	c.At, c.Moved, c.Standing = m.now, m.moved, m.told
	if len(m.changes) >= changesMost {
		m.changes = slices.Delete(m.changes, 0, 1)
	}
	m.changes = append(m.changes, c)
}

func (m *Member) become(p *peer, s State) {
	if p.state == s {
		return
	}
	from := p.state
	m.tally(p, -1)
	p.state, p.since = s, m.now
	m.tally(p, 1)
	m.change(Change{Of: p.id, From: from, To: s, Proved: p.rec.kind == kindGone})
}

// Count is what users of a view reckon with.
type Count struct {
	Living   int // agents that are to be reckoned with as busy
	Possible int // agents that may be busy, in the worst case: never under Living
	Away     []ID
}

// Count tells how many agents live. Those that left or whose machine says that they are gone don't. One that only
// fell silent may still serve, cut off: it counts as living until it has been dead for another Pause, and only
// where this agent is of the majority; it always counts as possible. Those never heard of count as living.
func (m *Member) Count() (c Count) {
	c.Living, c.Possible = m.cfg.Expected, m.cfg.Expected
	for _, p := range m.order {
		switch {
		case !p.listed && p != m.self: // not among those expected
			if !p.ended() {
				c.Living++
				c.Possible++
			}
		case p.rec.kind == kindLeft || p.rec.kind == kindGone:
			c.Living--
			c.Possible--
			c.Away = append(c.Away, p.id)
		case p.rec.kind == kindDead && m.told == Majority && m.now-p.since >= m.cfg.Pause:
			c.Living--
			c.Away = append(c.Away, p.id)
		}
	}
	c.Living = max(1, c.Living)
	c.Possible = max(c.Living, c.Possible)
	return c
}

// ---- What follows from the records ----

// evaluate works out states from what all list.
func (m *Member) evaluate() {
	doubted := m.doubt
	m.weigh()
	if doubted != m.doubt {
		m.dirty = true
	}
	if doubted && !m.doubt {
		m.startOver()
	}
	if m.evalAt > 0 && m.evalAt <= m.now {
		m.dirty, m.evalAt = true, 0
	}
	if !m.dirty {
		return
	}
	m.dirty = false
	m.publish()
	for _, p := range m.attended {
		p.accused, p.ripe, p.refused = 0, 0, 0
	}
	eligible := m.eligible()
	for i := 0; i < len(m.listers); i++ {
		p := m.listers[i]
		if len(p.rec.list) == 0 {
			p.lists = false
			m.listers = slices.Delete(m.listers, i, i+1)
			i--
			continue
		}
		if !m.heeds(p) {
			continue
		}
		for _, e := range p.rec.list {
			t := m.peers[e.id]
			if t == nil || t == p || e.mark&lost == 0 || e.tag != t.rec.tag() {
				continue
			}
			t.accused++
			m.attend(t)
			if e.mark&ripe != 0 {
				t.ripe++
				if e.mark&refusing != 0 {
					t.refused++
				}
			}
		}
	}
	if m.doubt { // those that it may still be together with
		eligible = 1
		for _, p := range m.order {
			if m.okLately(p) {
				eligible++
			}
		}
	}
	moved := false
	slices.SortFunc(m.attended, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	look := m.attended
	m.attended = m.spareAttended[:0]
	for _, p := range look {
		p.attended = false
		if p == m.self || p.ended() {
			continue
		}
		others := eligible
		if m.doubt && m.okLately(p) || !m.doubt && m.heeds(p) {
			others--
		}
		was := p.state
		m.judge(p, min(needMost, max(1, others)))
		moved = moved || p.state != was
		if p.accused > 0 || p.state == Suspect || p.state == Unseen && p.known {
			m.attend(p)
		}
	}
	m.spareAttended = look
	if moved {
		m.reorder = true
	}
	if s := m.standing(); s != m.told {
		m.told = s
		m.change(Change{Of: Nobody, Standing: s})
	}
}

// eligible counts those that are heeded, this agent among them: see heeds.
func (m *Member) eligible() int {
	n := 1 + m.count.known
	if !m.doubt {
		n -= m.count.doubting
	}
	for _, s := range m.slotOrder {
		if p := s.p; s.mark&lost != 0 && p.known && !p.ended() && (!p.rec.doubt || m.doubt) {
			n--
		}
	}
	return n
}

// heeds reports whether what p lists counts here. What one says that may itself be cut off counts for those
// who may be too.
func (m *Member) heeds(p *peer) bool {
	if p == m.self {
		return true
	}
	// One that is suspected by others' word is heeded all the same: else two that suspect each other would take turns.
	// What one says that this agent itself has lost is of before.
	if p.slot != nil && p.slot.mark&lost != 0 {
		return false
	}
	return p.known && !p.ended() && (!p.rec.doubt || m.doubt)
}

// judge brings a member's state up to date, with need observers that have to agree.
func (m *Member) judge(p *peer, need int) {
	if p.state == Unseen {
		if p.known {
			m.become(p, Alive)
		}
		return
	}
	straight := p.heardAt >= 0 && m.now-p.heardAt < 2*m.cfg.Period
	if m.doubt { // rather its own ears than the word of others that may be cut off too
		straight = straight || m.okLately(p) || m.heardLately(p)
	}
	if m.now >= m.hushUntil && !straight {
		end := p.rec
		switch {
		case p.refused >= need:
			end.kind = kindGone
		case p.ripe >= need && m.standing() == Majority:
			end.kind = kindDead
		}
		if end.kind != kindFull {
			m.put(p, end)
			m.become(p, Dead)
			m.drop(p.id)
			return
		}
	} else if p.ripe >= need {
		m.again(max(m.hushUntil, m.now+m.cfg.Period))
	}
	switch p.state {
	case Alive:
		if p.accused >= need && !straight {
			p.fewAt = 0
			m.become(p, Suspect)
		} else if p.accused >= need {
			m.again(m.now + 2*m.cfg.Period)
		}
	case Suspect:
		switch {
		case p.accused == 0:
			m.become(p, Alive)
		case p.accused > need/2:
			p.fewAt = 0
		case p.fewAt == 0:
			p.fewAt = m.now
			m.again(m.now + settleFor*m.cfg.Period)
		case m.now-p.fewAt >= settleFor*m.cfg.Period:
			m.become(p, Alive)
		default:
			m.again(p.fewAt + settleFor*m.cfg.Period)
		}
	}
}

// again has evaluate run at a time at the latest.
func (m *Member) again(at time.Duration) {
	if m.evalAt == 0 || at < m.evalAt {
		m.evalAt = at
	}
}

// okLately reports whether p has answered a probe lately: the last one, or one of those that it takes to list it,
// since under loss one alone says little.
func (m *Member) okLately(p *peer) bool {
	if p == m.self || p.ended() || p.okAt < 0 {
		return false
	}
	ago := m.now - p.okAt
	return ago < suspectTries*m.cfg.Period || p.okAt >= p.failAt && ago < sampleFor*m.cfg.Period
}

// weigh decides whether this agent may itself be the one that is cut off: half or more of those that it probed in
// turn lately don't answer it.
func (m *Member) weigh() {
	if !m.alarmed() {
		m.believe(false)
		return
	}
	others := m.count.open
	ok, all := m.judgeSelf()
	switch {
	case all < min(sampleLeast, others):
	case all >= others: // all of them
		m.believe(2*(ok+1) <= all+1) // itself among them
	case float64(ok) <= doubtBelow*float64(all):
		m.believe(true)
	case float64(ok) >= sureAbove*float64(all):
		m.believe(false)
	}
}

// believe has this agent doubt itself at once, and cease to once it has had no reason for a while: what was answered
// before a cut still counts for a moment.
func (m *Member) believe(doubt bool) {
	switch {
	case doubt:
		m.doubt, m.sureAt = true, -1
	case m.doubt && m.sureAt < 0:
		m.sureAt = m.now
	case m.doubt && m.now-m.sureAt >= sureFor*m.cfg.Period:
		m.doubt = false
	}
}

func (m *Member) standing() Standing {
	if alive := m.count.alive; !m.doubt && alive > 1 && 2*alive > m.cfg.Expected {
		return Majority
	}
	alive, lately, home := 0, 0, true
	zones := map[string]bool{}
	for _, p := range m.order {
		if p.known || p.listed && p.rec.zone != "" {
			zones[p.rec.zone] = true
		}
		if p.state == Alive {
			alive++
			if p != m.self && (!m.doubt || m.okLately(p)) {
				lately++
				home = home && p.rec.zone == m.self.rec.zone
			}
		}
	}
	switch {
	case lately == 0 && m.cfg.Expected > 1:
		return Alone
	case !m.doubt && 2*alive > m.cfg.Expected:
		return Majority
	case home && len(zones) > 1:
		return OwnZone
	}
	return Minority
}
