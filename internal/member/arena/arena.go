// Package arena plays protocols that tell who lives in simulated time: many members in one process, a network that
// loses, doubles, delays and cuts, processes that are stopped, killed and started again. It holds what each member
// said against what was so. Tests of internal/member and lemonctl use it; it models no real machine.
//
// One goroutine plays one arena. The same seed gives the same run: events of one instant come in the order in which
// they were put in.
package arena

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Verdict is what a member comes to hold another for.
type Verdict uint8

const (
	Lives Verdict = iota
	Suspected
	Died
)

// Judgement is a change of what a member holds another for.
type Judgement struct {
	Of int
	Is Verdict
}

// Packet is a datagram on its way. Size is in bytes.
type Packet struct {
	To   int
	Data any
	Size int
}

// Node is one member of a protocol. Time is the arena's, from 0.
type Node interface {
	Wake() time.Duration // when it wants its next Tick
	Tick(now time.Duration)
	Receive(now time.Duration, from int, data any)
	Refused(now time.Duration, to int) // the machine of to says that nobody listens there
	Out() []Packet
	Judged() []Judgement // since the last call
}

// Maker starts member i of n. life counts its starts, from 0.
type Maker func(i, n, life int, now time.Duration, seed uint64) Node

// Net is what the network does. The functions may be nil.
type Net struct {
	Loss    func(from, to int) float64 // share of datagrams lost
	Cut     func(from, to int) bool
	Delay   func(from, to int, rng *rand.Rand) time.Duration // beside Base
	Base    [2]time.Duration                                 // least and most time on the way
	Doubled float64                                          // share that comes twice
	Refuses bool                                             // a machine whose process is gone says so
}

const (
	socketBuffer  = 256 // datagrams that wait for a stopped process; later ones are lost
	refusalsBurst = 6   // refusals that a machine sends another at once ...
	refusalsEvery = time.Second
)

type seat struct {
	node    Node
	life    int
	up      bool
	noisy   bool // its machine answers for it when it is down
	stopped bool
	waits   []delivery
	wakeAt  time.Duration // of the wake-up that is on the queue; 0: none
}

type delivery struct {
	from int
	data any
}

// Arena is one run.
type Arena struct {
	Net Net
	Now time.Duration

	make    Maker
	rng     *rand.Rand
	seed    uint64
	members []*seat
	queue   events
	order   uint64
	up      int // members that run
	refused map[[2]int]*allowance

	Sent, Bytes uint64
	downAt      map[int]time.Duration
	knows       map[[2]int]bool // that one holds another for dead
	notices     map[[2]int]bool // that it has come to suspect it at the least
	Score       Score
	Watch       func(by int, j Judgement) // nil: nobody
}

type allowance struct {
	left float64
	at   time.Duration
}

// Score is what was said against what was so.
type Score struct {
	FalseDeaths     int // a member held one that ran for dead
	FalseSuspicions int
	Judgements      int
	MemberSeconds   float64
	// By the one that died: when each other came to suspect it and to hold it for dead, after its end.
	Noticed, Known map[int][]time.Duration
	firstNotice    map[int][]time.Duration // whichever came first
}

func newScore() Score {
	return Score{Noticed: map[int][]time.Duration{}, Known: map[int][]time.Duration{}, firstNotice: map[int][]time.Duration{}}
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
	to    int // with no do: a delivery or, with from -1, a wake-up
	from  int
	life  int
	data  any
}

// events is a heap by time, then by the order in which they were put in. It is written out, since container/heap
// would put each event on the heap by itself, which costs as much as all the rest.
type events []event

func (q events) less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
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
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if h.less(c, least) {
				least = c
			}
		}
		if least == i {
			return first
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}

// New returns an arena of n members, none of which has started.
func New(n int, seed uint64, net Net, maker Maker) *Arena {
	a := &Arena{Net: net, make: maker, rng: rand.New(rand.NewPCG(seed, 77)), seed: seed, refused: map[[2]int]*allowance{},
		downAt: map[int]time.Duration{}, knows: map[[2]int]bool{}, notices: map[[2]int]bool{}, Score: newScore()}
	for range n {
		a.members = append(a.members, &seat{noisy: net.Refuses})
	}
	return a
}

// Size is how many members there are.
func (a *Arena) Size() int { return len(a.members) }

// Node is the present life of member i; nil: it isn't up.
func (a *Arena) Node(i int) Node {
	if m := a.members[i]; m.up {
		return m.node
	}
	return nil
}

func (a *Arena) push(e event) {
	a.order++
	e.order = a.order
	a.queue.push(e)
}

// At has something happen at a time.
func (a *Arena) At(t time.Duration, do func()) { a.push(event{at: max(t, a.Now), do: do}) }

// Start starts member i, again or for the first time.
func (a *Arena) Start(i int) {
	m := a.members[i]
	if m.up {
		return
	}
	m.node = a.make(i, len(a.members), m.life, a.Now, mixSeed(a.seed, uint64(i), uint64(m.life)))
	m.life++
	a.up++
	m.up, m.stopped, m.waits, m.wakeAt = true, false, nil, 0
	delete(a.downAt, i)
	a.after(i)
}

// StartAll starts all within a span, in random order.
func (a *Arena) StartAll(within time.Duration) {
	for i := range a.members {
		a.At(a.Now+time.Duration(a.rng.Float64()*float64(within)), func() { a.Start(i) })
	}
}

// Kill ends member i. Where its machine goes too, nobody answers for it.
func (a *Arena) Kill(i int, machine bool) {
	m := a.members[i]
	if !m.up {
		return
	}
	a.up--
	m.up, m.stopped, m.waits, m.noisy = false, false, nil, a.Net.Refuses && !machine
	a.downAt[i] = a.Now
}

// Stop stops member i, as SIGSTOP does; Cont lets it go on.
func (a *Arena) Stop(i int) {
	if a.members[i].up {
		a.members[i].stopped = true
	}
}

// Cont lets a stopped member go on: what waits for it comes first.
func (a *Arena) Cont(i int) {
	m := a.members[i]
	if !m.up || !m.stopped {
		return
	}
	m.stopped = false
	waits := m.waits
	m.waits = nil
	for _, d := range waits {
		m.node.Receive(a.Now, d.from, d.data)
	}
	m.node.Tick(a.Now)
	m.wakeAt = 0
	a.after(i)
}

// Pause stops member i for a while.
func (a *Arena) Pause(i int, d time.Duration) {
	a.Stop(i)
	life := a.members[i].life
	a.At(a.Now+d, func() {
		if a.members[i].life == life {
			a.Cont(i)
		}
	})
}

// Until plays to a time.
func (a *Arena) Until(end time.Duration) {
	for len(a.queue) > 0 && a.queue[0].at <= end {
		e := a.queue.pop()
		a.pass(e.at)
		m := (*seat)(nil)
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
			a.after(e.to)
		case e.from >= len(a.members): // a refusal by the machine of another
			if m.up && !m.stopped {
				m.node.Refused(a.Now, e.from-len(a.members))
				a.after(e.to)
			}
		case !m.up:
			a.refuse(e.to, e.from)
		case m.stopped:
			if len(m.waits) < socketBuffer {
				m.waits = append(m.waits, delivery{e.from, e.data})
			}
		default:
			m.node.Receive(a.Now, e.from, e.data)
			a.after(e.to)
		}
	}
	a.pass(end)
}

const wakeUp = -1

func (a *Arena) pass(to time.Duration) {
	a.Score.MemberSeconds += (to - a.Now).Seconds() * float64(a.up)
	a.Now = to
}

// after sends what a member has to send and notes what it said.
func (a *Arena) after(i int) {
	m := a.members[i]
	for _, p := range m.node.Out() {
		a.Sent++
		a.Bytes += uint64(p.Size)
		a.carry(i, p)
	}
	for _, j := range m.node.Judged() {
		a.judged(i, j)
	}
	if at := max(m.node.Wake(), a.Now+time.Microsecond); m.wakeAt == 0 || at < m.wakeAt {
		m.wakeAt = at
		a.push(event{at: at, to: i, from: wakeUp, life: m.life})
	}
}

func (a *Arena) judged(by int, j Judgement) {
	a.Score.Judgements++
	if a.Watch != nil {
		a.Watch(by, j)
	}
	downAt, down := a.downAt[j.Of]
	pair := [2]int{by, j.Of}
	delete(a.knows, pair)
	if j.Is == Died {
		a.knows[pair] = true
	}
	if down && j.Is != Lives && !a.notices[pair] {
		a.notices[pair] = true
		a.Score.firstNotice[j.Of] = append(a.Score.firstNotice[j.Of], a.Now-downAt)
	}
	switch {
	case !down && j.Is == Died:
		a.Score.FalseDeaths++
	case !down && j.Is == Suspected:
		a.Score.FalseSuspicions++
	case down && j.Is == Suspected:
		a.Score.Noticed[j.Of] = append(a.Score.Noticed[j.Of], a.Now-downAt)
	case down && j.Is == Died:
		a.Score.Known[j.Of] = append(a.Score.Known[j.Of], a.Now-downAt)
	}
}

func (a *Arena) transit(from, to int) time.Duration {
	d := a.Net.Base[0] + time.Duration(a.rng.Float64()*float64(a.Net.Base[1]-a.Net.Base[0]))
	if a.Net.Delay != nil {
		d += a.Net.Delay(from, to, a.rng)
	}
	return d
}

func (a *Arena) loses(from, to int) bool {
	return a.Net.Cut != nil && a.Net.Cut(from, to) || a.Net.Loss != nil && a.rng.Float64() < a.Net.Loss(from, to)
}

func (a *Arena) carry(from int, p Packet) {
	if a.loses(from, p.To) {
		return
	}
	n := 1
	if a.rng.Float64() < a.Net.Doubled {
		n = 2
	}
	for range n {
		a.push(event{at: a.Now + a.transit(from, p.To), to: p.To, from: from, data: p.Data})
	}
}

// refuse has the machine of a member that isn't up say so.
func (a *Arena) refuse(at, to int) {
	m := a.members[at]
	if !m.noisy || a.loses(at, to) {
		return
	}
	w := a.refused[[2]int{at, to}]
	if w == nil {
		w = &allowance{left: refusalsBurst, at: a.Now}
		a.refused[[2]int{at, to}] = w
	}
	w.left = min(refusalsBurst, w.left+(a.Now-w.at).Seconds()/refusalsEvery.Seconds())
	w.at = a.Now
	if w.left < 1 {
		return
	}
	w.left--
	a.push(event{at: a.Now + a.transit(at, to), to: to, from: at + len(a.members)})
}

func mixSeed(seed, i, life uint64) uint64 {
	return rand.New(rand.NewPCG(seed, i<<20|life)).Uint64()
}

// Percentile is the share q of sorted or unsorted spans; 0 where there are none.
func Percentile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := slices.Clone(d)
	slices.SortFunc(s, func(x, y time.Duration) int { return cmp.Compare(x, y) })
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
