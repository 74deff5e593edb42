// Package membersim simulates failure detectors in virtual time: many members in one process, a network that
// loses, duplicates, delays and cuts, and processes that are stopped, killed and restarted. It compares the
// states that members report with the true ones. Tests of internal/member and lemonctl use it; it does not
// model real machines.
//
// An Arena is not safe for concurrent use. The same seed gives the same run: events of the same instant are handled in
// the order in which they were queued.
package membersim

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Status is the state in which a member sees another one.
type Status uint8

const (
	StatusAlive Status = iota
	StatusSuspect
	StatusDead
)

// StatusChange is a change of the state in which a member sees another one.
type StatusChange struct {
	Member int // number of the member that is seen, not of the one that sees it
	Status Status
}

// Packet is a datagram in transit. Size is in bytes.
type Packet struct {
	To   int // number of the receiving member
	Data any
	Size int
}

// Node is one member that runs a failure detector. The simulation calls it and collects what it sends. Times are
// simulated, from 0.
type Node interface {
	Wake() time.Duration                           // time of the next Tick
	Tick(now time.Duration)                        // does all work that is due
	Receive(now time.Duration, from int, data any) // takes a datagram from another member
	Refused(now time.Duration, to int)             // takes the report of to's host that no process listens there
	Out() []Packet                                 // returns the datagrams to send since the last call
	StatusChanges() []StatusChange                 // returns the changes since the last call
}

// NodeFactory starts a Node for member i of n. life counts the earlier starts of that member, from 0.
type NodeFactory func(i, n, life int, now time.Duration, seed uint64) Node

// Net sets how the network treats datagrams. Loss, Cut and Delay may be nil: none is lost, cut or delayed.
type Net struct {
	Loss       func(from, to int) float64                       // share of datagrams lost from one member to another
	Cut        func(from, to int) bool                          // whether all datagrams from one member to another are lost
	Delay      func(from, to int, rng *rand.Rand) time.Duration // added to the transit time of a datagram
	Latency    [2]time.Duration                                 // minimum and maximum transit time; drawn evenly between them
	Duplicated float64                                          // share of datagrams delivered twice
	Refuses    bool                                             // the host of a killed process answers datagrams with a refusal
}

const (
	socketBuffer  = 256         // datagrams buffered for a stopped process; later ones are lost
	refusalsBurst = 6           // maximum number of refusals that a host sends to another one at once
	refusalsEvery = time.Second // after a burst, one more refusal is allowed each time this has passed
)

// process is a member's process, running or not.
type process struct {
	node    Node
	life    int           // number of starts so far
	up      bool          // running, perhaps stopped
	refuses bool          // its host answers datagrams with a refusal while the process is not running
	stopped bool          // suspended by Stop or Pause
	backlog []delivery    // datagrams buffered while stopped
	wakeAt  time.Duration // time of the queued wake-up; 0: none
}

// delivery is a received datagram.
type delivery struct {
	from int
	data any
}

// Simulation is one simulation run: the members' processes, the network between them, and the score.
type Simulation struct {
	Net Net           // may be changed during the run
	Now time.Duration // the simulated time

	newNode        NodeFactory
	rng            *rand.Rand
	seed           uint64
	members        []*process
	queue          events
	sequence       uint64                  // number of events queued so far
	runningCount   int                     // number of members whose processes run
	refusalBuckets map[[2]int]*tokenBucket // limits refusals; key: the refusing member and the receiving one

	Sent, Bytes    uint64                // datagrams sent by all members, and their bytes
	downAt         map[int]time.Duration // by member that is not running: the time at which it was killed
	knownDead      map[[2]int]bool       // key: observer and member; the observer sees the member as dead now
	noticed        map[[2]int]bool       // key: observer and member that ended; the observer has suspected it or seen it as dead since
	Score          Score
	OnStatusChange func(by int, j StatusChange) // called with each change that member by sees; may be nil
}

// tokenBucket limits the refusals from one host to another.
type tokenBucket struct {
	tokens float64       // refusals that may be sent at once
	at     time.Duration // when tokens was last refilled
}

// Score compares the states that members reported with the true ones, over the whole run.
type Score struct {
	FalseDeaths     int     // number of times that a member saw a running one as dead
	FalseSuspicions int     // number of times that a member suspected a running one
	Changes         int     // status changes seen by all members
	MemberSeconds   float64 // running time of all members together
	// Key: a member that ended. Values: for each other member that noticed, the time from that end until it suspected
	// the ended member (Noticed) or saw it as dead (Known).
	Noticed, Known map[int][]time.Duration
	firstNotice    map[int][]time.Duration // the same, until it first suspected the ended member or saw it as dead, whichever came first
}

func newScore() Score {
	return Score{Noticed: map[int][]time.Duration{}, Known: map[int][]time.Duration{}, firstNotice: map[int][]time.Duration{}}
}

// event is something that happens at a simulated time: a call of do, a delivery, a refusal or a wake-up.
type event struct {
	at       time.Duration
	sequence uint64 // number of the event in the order of queueing
	do       func() // nil: a delivery, a refusal or a wake-up of member to
	to       int    // if do is nil: the member that receives the datagram or refusal, or that wakes up
	from     int    // the sending member; wakeUp; or, for a refusal, the refusing member plus the number of members
	life     int    // for a wake-up: the life of the member that it is for; ignored in later lives
	data     any
}

// events is a heap by time, then by the order of queueing. It doesn't use container/heap, which allocates
// for each event it pushes; that took as much time as the whole rest of the simulation.
type events []event

func (q events) less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q *events) push(e event) {
	*q = append(*q, e)
	h := *q
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h.less(i, up) {
			return
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

func (q *events) pop() event {
	h := *q
	first, last := h[0], len(h)-1
	h[0], h[last] = h[last], event{}
	h = h[:last]
	*q = h
	for i := 0; ; {
		smallest := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if h.less(c, smallest) {
				smallest = c
			}
		}
		if smallest == i {
			return first
		}
		h[i], h[smallest] = h[smallest], h[i]
		i = smallest
	}
}

// New returns an arena of n members, none of which has started.
func New(n int, seed uint64, net Net, maker NodeFactory) *Simulation {
	a := &Simulation{Net: net, newNode: maker, rng: rand.New(rand.NewPCG(seed, 77)), seed: seed, refusalBuckets: map[[2]int]*tokenBucket{},
		downAt: map[int]time.Duration{}, knownDead: map[[2]int]bool{}, noticed: map[[2]int]bool{}, Score: newScore()}
	for range n {
		a.members = append(a.members, &process{refuses: net.Refuses})
	}
	return a
}

// Size returns the number of members.
func (a *Simulation) Size() int { return len(a.members) }

// Node returns the Node of member i's present life; nil if the member is not running.
func (a *Simulation) Node(i int) Node {
	if m := a.members[i]; m.up {
		return m.node
	}
	return nil
}

// push queues an event behind those of the same time.
func (a *Simulation) push(e event) {
	a.sequence++
	e.sequence = a.sequence
	a.queue.push(e)
}

// At calls do at the simulated time t, or now if t has passed.
func (a *Simulation) At(t time.Duration, do func()) { a.push(event{at: max(t, a.Now), do: do}) }

// Start starts or restarts member i; it does nothing if the member is running.
func (a *Simulation) Start(i int) {
	m := a.members[i]
	if m.up {
		return
	}
	m.node = a.newNode(i, len(a.members), m.life, a.Now, mixSeed(a.seed, uint64(i), uint64(m.life)))
	m.life++
	a.runningCount++
	m.up, m.stopped, m.backlog, m.wakeAt = true, false, nil, 0
	delete(a.downAt, i)
	a.flush(i)
}

// StartAll starts each member at a random time between now and now plus within.
func (a *Simulation) StartAll(within time.Duration) {
	for i := range a.members {
		a.At(a.Now+time.Duration(a.rng.Float64()*float64(within)), func() { a.Start(i) })
	}
}

// Kill ends the process of member i. With machine its host ends too and sends no refusals.
func (a *Simulation) Kill(i int, machine bool) {
	m := a.members[i]
	if !m.up {
		return
	}
	a.runningCount--
	m.up, m.stopped, m.backlog, m.refuses = false, false, nil, a.Net.Refuses && !machine
	a.downAt[i] = a.Now
}

// Stop suspends the process of member i, as SIGSTOP does, until Resume; it buffers datagrams meanwhile.
func (a *Simulation) Stop(i int) {
	if a.members[i].up {
		a.members[i].stopped = true
	}
}

// Resume continues a stopped member, which first receives the buffered datagrams.
func (a *Simulation) Resume(i int) {
	m := a.members[i]
	if !m.up || !m.stopped {
		return
	}
	m.stopped = false
	waits := m.backlog
	m.backlog = nil
	for _, d := range waits {
		m.node.Receive(a.Now, d.from, d.data)
	}
	m.node.Tick(a.Now)
	m.wakeAt = 0
	a.flush(i)
}

// Pause stops member i and resumes it after d, unless it has been restarted in between.
func (a *Simulation) Pause(i int, d time.Duration) {
	a.Stop(i)
	life := a.members[i].life
	a.At(a.Now+d, func() {
		if a.members[i].life == life {
			a.Resume(i)
		}
	})
}

// RunUntil handles all events up to the simulated time end.
func (a *Simulation) RunUntil(end time.Duration) {
	for len(a.queue) > 0 && a.queue[0].at <= end {
		e := a.queue.pop()
		a.advance(e.at)
		m := (*process)(nil)
		if e.do == nil {
			m = a.members[e.to]
		}
		switch {
		case e.do != nil:
			e.do()
		case e.from == wakeUp:
			if m.life != e.life || !m.up || m.wakeAt != e.at {
				continue
			}
			m.wakeAt = 0
			if m.stopped {
				continue
			}
			m.node.Tick(a.Now)
			a.flush(e.to)
		case e.from >= len(a.members): // a refusal by the host of another member
			if m.up && !m.stopped {
				m.node.Refused(a.Now, e.from-len(a.members))
				a.flush(e.to)
			}
		case !m.up:
			a.refuse(e.to, e.from)
		case m.stopped:
			if len(m.backlog) < socketBuffer {
				m.backlog = append(m.backlog, delivery{e.from, e.data})
			}
		default:
			m.node.Receive(a.Now, e.from, e.data)
			a.flush(e.to)
		}
	}
	a.advance(end)
}

const wakeUp = -1 // value of event.from that marks a wake-up

// advance moves the simulated time forward and counts the running time of the members.

func (a *Simulation) advance(to time.Duration) {
	a.Score.MemberSeconds += (to - a.Now).Seconds() * float64(a.runningCount)
	a.Now = to
}

// flush sends the queued datagrams of member i, records its state changes and queues its next wake-up.
func (a *Simulation) flush(i int) {
	m := a.members[i]
	for _, p := range m.node.Out() {
		a.Sent++
		a.Bytes += uint64(p.Size)
		a.transmit(i, p)
	}
	for _, j := range m.node.StatusChanges() {
		a.recordChange(i, j)
	}
	if at := max(m.node.Wake(), a.Now+time.Microsecond); m.wakeAt == 0 || at < m.wakeAt {
		m.wakeAt = at
		a.push(event{at: at, to: i, from: wakeUp, life: m.life})
	}
}

// recordChange enters a change that member by saw into the score.
func (a *Simulation) recordChange(by int, j StatusChange) {
	a.Score.Changes++
	if a.OnStatusChange != nil {
		a.OnStatusChange(by, j)
	}
	downAt, down := a.downAt[j.Member]
	pair := [2]int{by, j.Member}
	delete(a.knownDead, pair)
	if j.Status == StatusDead {
		a.knownDead[pair] = true
	}
	if down && j.Status != StatusAlive && !a.noticed[pair] {
		a.noticed[pair] = true
		a.Score.firstNotice[j.Member] = append(a.Score.firstNotice[j.Member], a.Now-downAt)
	}
	switch {
	case !down && j.Status == StatusDead:
		a.Score.FalseDeaths++
	case !down && j.Status == StatusSuspect:
		a.Score.FalseSuspicions++
	case down && j.Status == StatusSuspect:
		a.Score.Noticed[j.Member] = append(a.Score.Noticed[j.Member], a.Now-downAt)
	case down && j.Status == StatusDead:
		a.Score.Known[j.Member] = append(a.Score.Known[j.Member], a.Now-downAt)
	}
}

// transit draws the transit time of a datagram.
func (a *Simulation) transit(from, to int) time.Duration {
	d := a.Net.Latency[0] + time.Duration(a.rng.Float64()*float64(a.Net.Latency[1]-a.Net.Latency[0]))
	if a.Net.Delay != nil {
		d += a.Net.Delay(from, to, a.rng)
	}
	return d
}

// drops decides whether the network loses a datagram.
func (a *Simulation) drops(from, to int) bool {
	return a.Net.Cut != nil && a.Net.Cut(from, to) || a.Net.Loss != nil && a.rng.Float64() < a.Net.Loss(from, to)
}

// transmit queues the delivery of a datagram, or two if the network duplicates it, unless the network loses it.
func (a *Simulation) transmit(from int, p Packet) {
	if a.drops(from, p.To) {
		return
	}
	n := 1
	if a.rng.Float64() < a.Net.Duplicated {
		n = 2
	}
	for range n {
		a.push(event{at: a.Now + a.transit(from, p.To), to: p.To, from: from, data: p.Data})
	}
}

// refuse sends a refusal to member to from the host of member at, whose process is not running, if that host refuses
// at all and its limit allows one more.
func (a *Simulation) refuse(at, to int) {
	m := a.members[at]
	if !m.refuses || a.drops(at, to) {
		return
	}
	w := a.refusalBuckets[[2]int{at, to}]
	if w == nil {
		w = &tokenBucket{tokens: refusalsBurst, at: a.Now}
		a.refusalBuckets[[2]int{at, to}] = w
	}
	w.tokens = min(refusalsBurst, w.tokens+(a.Now-w.at).Seconds()/refusalsEvery.Seconds())
	w.at = a.Now
	if w.tokens < 1 {
		return
	}
	w.tokens--
	a.push(event{at: a.Now + a.transit(at, to), to: to, from: at + len(a.members)})
}

// mixSeed derives the seed of one life of member i from the seed of the run.
func mixSeed(seed, i, life uint64) uint64 {
	return rand.New(rand.NewPCG(seed, i<<20|life)).Uint64()
}

// Percentile returns the quantile q, from 0 to 1, of d, which need not be sorted; 0 if d is empty.
func Percentile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := slices.Clone(d)
	slices.SortFunc(s, func(x, y time.Duration) int { return cmp.Compare(x, y) })
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
