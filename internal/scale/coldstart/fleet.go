package coldstart

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"lemonrail/balance"
)

// fleet is one run of a Case: agents, backends and clients on a simulated clock.
type fleet struct {
	Case
	now      time.Duration
	rng      *rand.Rand
	queue    eventQueue
	seq      int
	seed     uint64
	agents   []*agent
	traffic  []float64 // of each agent, as a running sum
	backends []*backend
	share    float64 // of its capacity that a backend really starts with: the settings' share or more
	byID     map[string]*backend

	requests, served, refused, failed int
	leftWaiting                       int // clients that left while their request was held or waited for a retry
	sentAfterLeave                    int // attempts that began after their client had left
	err                               error
}

// agent is one process: a balancer, what it was told, and its open requests.
type agent struct {
	number int
	*balance.Balancer
	open  map[string]*request
	told  bool // of the cold backends' start
	ended bool // replaced or dead: what comes for it is lost
}

type request struct {
	id       string
	class    int
	key      string
	deadline time.Duration
	work     time.Duration
	attempts int
	out      int // of these, on their way or at a backend
	done     bool
	left     bool // its client has gone, and the balancer knows
}

// scheduled is something that happens at a time; those of one time happen in the order in which they were scheduled.
type scheduled struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

func (f *fleet) at(t time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, scheduled{max(t, f.now), f.seq, do})
}

func (f *fleet) run() {
	for len(f.queue) > 0 && f.err == nil && f.queue[0].at <= end {
		next := heap.Pop(&f.queue).(scheduled)
		f.now = next.at
		next.do()
	}
}

func newFleet(c Case, seed uint64) *fleet {
	f := &fleet{Case: c, now: begin, seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), byID: map[string]*backend{}}
	f.share = coldShare + (1-coldShare)*f.rng.Float64()
	f.addBackends()
	sum := 0.0
	for i := range c.Agents {
		f.agents = append(f.agents, f.newAgent(i, seed))
		sum += math.Exp(c.Skew * f.rng.NormFloat64())
		f.traffic = append(f.traffic, sum)
	}
	f.schedule()
	return f
}

func (f *fleet) addBackends() {
	sizes := []float64{1.8, .7, .8}
	for i := range f.Warm + f.Cold {
		b := &backend{fleet: f, id: fmt.Sprint("b", i), size: 1, zone: i % max(f.Zones, 1), keys: map[string]time.Duration{}}
		if f.Sizes {
			b.size, b.kind = sizes[i%len(sizes)], i%len(sizes)
		}
		if i >= f.Warm {
			b.cold, b.down, b.zone = true, !f.CameBack, min(1, max(f.Zones-1, 0))
			if f.ColdSize > 0 {
				b.size, b.kind = f.ColdSize, 9
			}
		}
		f.backends = append(f.backends, b)
		f.byID[b.id] = b
	}
}

// schedule lays out the day: a start from cold, who is told when, bursts, restarts and deaths.
func (f *fleet) schedule() {
	for _, a := range f.agents {
		f.step(a, balance.List{Kind: balance.ListFull, Backends: f.list(f.CameBack, false)})
		if f.BelievedAgents > 0 {
			f.step(a, balance.Fleet{Living: f.BelievedAgents, Possible: f.BelievedAgents})
		}
	}
	if f.CameBack {
		f.at(start-downTime, func() {
			for _, b := range f.backends[f.Warm:] {
				b.fail()
			}
		})
	}
	f.at(start, func() {
		for _, b := range f.backends[f.Warm:] {
			b.down, b.started = false, f.now
		}
		f.die()
		for _, a := range f.agents {
			f.tellLater(a)
		}
	})
	for i := range f.agents {
		if f.rng.Float64() < f.Restarted {
			f.at(start+f.RestartedFrom+f.within(restartSpan), func() { f.restart(i) })
		}
	}
	f.at(begin, f.arrive)
}

// ability is the share of its capacity that a backend really has at an age. The more it starts with, the less its queue holds agents back.
func (f *fleet) ability(age time.Duration) float64 {
	return min(1, f.share+(1-f.share)*float64(age)/float64(rampTime))
}

func (f *fleet) queueRoom() int {
	if f.ShortQueues {
		return 1
	}
	return queuePerCore * cores
}

func (f *fleet) within(d time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(d))
}

// tellLater tells an agent of the start, some time from now.
func (f *fleet) tellLater(a *agent) {
	f.at(f.now+f.within(f.ToldWithin), func() {
		if a.ended {
			return
		}
		a.told = true
		f.step(a, balance.List{Kind: balance.ListDelta, Backends: f.list(true, true)[f.Warm:]})
	})
}

// list is what discovery has: with the cold backends or without, and whether their start is told.
func (f *fleet) list(withCold, startTold bool) (list []balance.Backend) {
	for _, b := range f.backends {
		if b.cold && !withCold {
			continue
		}
		entry := balance.Backend{ID: b.id, Zone: b.zone, Cell: b.zone, Kind: b.kind, Weight: 1}
		if b.cold && startTold {
			entry.Started = b.started
		}
		list = append(list, entry)
	}
	return list
}

func (f *fleet) newAgent(number int, seed uint64) *agent {
	b, err := balance.New(f.settings(number), seed*1_000_003+uint64(number))
	if err != nil {
		f.err = err
		return nil
	}
	return &agent{number: number, Balancer: b, open: map[string]*request{}}
}

// restart puts a process that knows nothing in an agent's place. It starts from the list that was stored before the backends' start, and is
// told of that start, where it has been, as late as the others.
func (f *fleet) restart(number int) {
	f.agents[number].ended = true
	a := f.newAgent(number, f.seed+uint64(f.now))
	f.agents[number] = a
	f.step(a, balance.List{Kind: balance.ListCached, Backends: f.list(f.CameBack, false)})
	if f.now >= start { // else it is told with the others
		f.tellLater(a)
	}
}

// die ends some agents for good; those that live aren't told. The first one always lives, so that clients have somewhere to go.
func (f *fleet) die() {
	for _, a := range f.agents[1:] {
		a.ended = a.ended || f.rng.Float64() < f.Dead
	}
}

// arrive lets one client come and schedules the next one.
func (f *fleet) arrive() {
	f.client()
	perSecond := f.load() * f.capacity() / f.meanWork().Seconds()
	f.at(f.now+time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), f.arrive)
}

// capacity is what the warm backends do together, in cores; where none is warm, what the cold ones will do.
func (f *fleet) capacity() (sum float64) {
	for _, b := range f.backends {
		if !b.cold || f.Warm == 0 {
			sum += cores * b.size
		}
	}
	return sum
}

func (f *fleet) load() float64 {
	from := start
	if f.Late {
		from += rampTime / 2
	}
	burst := f.now >= from && f.now < from+burstLength
	switch {
	case burst && f.Burst > 0:
		return f.Load * f.Burst
	case f.Idle && f.now < from && f.now > start-warmUp/2:
		return f.Load / 10
	}
	return f.Load
}

func (f *fleet) client() {
	number, x := 0, f.rng.Float64()*f.traffic[len(f.traffic)-1]
	for f.traffic[number] < x {
		number++
	}
	a := f.agents[number]
	for a.ended {
		a = f.agents[f.rng.IntN(len(f.agents))]
	}
	f.requests++
	r := &request{id: strconv.Itoa(f.requests), class: f.drawClass()}
	k := f.classes()[r.class]
	r.work = time.Duration(float64(k.work) * math.Exp(.83*f.rng.NormFloat64()-.83*.83/2)) // its deviation is about its mean
	r.deadline = f.now + k.Deadline
	if f.Keys {
		r.key = strconv.Itoa(int(200 * math.Pow(f.rng.Float64(), 3))) // some keys come far more often
	}
	a.open[r.id] = r
	if f.rng.Float64() < f.Leavers {
		f.at(f.now+f.within(k.Deadline), func() { f.leave(a, r) })
	}
	f.step(a, balance.Request{ID: r.id, Class: r.class, Key: r.key, Left: k.Deadline})
}

func (f *fleet) drawClass() int {
	x := f.rng.Float64()
	for i, k := range f.classes() {
		if x -= k.share; x < 0 {
			return i
		}
	}
	return 0
}

// leave has a client go; its balancer learns of it in this step.
func (f *fleet) leave(a *agent, r *request) {
	if a.ended || a.open[r.id] == nil {
		return
	}
	r.left = true
	f.leftWaiting += count(r.out == 0)
	f.step(a, balance.Abandoned{Request: r.id})
}

func (f *fleet) step(a *agent, events ...balance.Event) {
	if a == nil || a.ended {
		return
	}
	for _, action := range a.Step(f.now, events) {
		switch action := action.(type) {
		case balance.Send:
			f.send(a, action)
		case balance.SetTimer:
			f.at(f.now+action.After, func() { f.step(a, balance.TimerFired{Token: action.Token}) })
		case balance.Refuse:
			f.answer(a, action.Request, &f.refused)
		case balance.Fail:
			f.answer(a, action.Request, &f.failed)
		case balance.TellPeer:
			f.at(f.now+5*time.Millisecond, func() { f.tellPeers(a, action) })
		}
	}
}

func (f *fleet) tellPeers(from *agent, m balance.TellPeer) {
	for _, to := range f.agents {
		if to != from && (m.To == balance.EveryPeer || m.To == to.number) {
			f.step(to, balance.PeerMessage{From: from.number, Data: m.Data})
		}
	}
}

func (f *fleet) answer(a *agent, id string, count *int) {
	r := a.open[id]
	if r == nil || r.done {
		f.err = fmt.Errorf("agent %d answers request %s twice", a.number, id)
		return
	}
	*count++
	r.done = true
	delete(a.open, id)
}

// send carries an attempt to its backend: over the network, and where its connection comes up late, later.
func (f *fleet) send(a *agent, s balance.Send) {
	r, b := a.open[s.Request], f.byID[s.Backend]
	if r == nil || b == nil {
		f.err = fmt.Errorf("agent %d sends request %s, which has ended, to %s", a.number, s.Request, s.Backend)
		return
	}
	if r.left {
		f.sentAfterLeave++
	}
	t := &attempt{agent: a, request: r, number: r.attempts, backend: b, sent: f.now, told: a.told}
	r.attempts++
	r.out++
	delay := time.Millisecond + f.within(2*time.Millisecond)
	if f.rng.Float64() < f.SlowConns {
		delay += f.within(time.Second)
	}
	switch {
	case delay > connectTimeout || b.down:
		f.at(f.now+min(delay, connectTimeout), func() { f.outcome(t, balance.ConnectFailed) })
	case s.By > 0 && f.now+delay > s.By:
		f.at(f.now+delay, func() { f.outcome(t, balance.Withdrawn) })
	default:
		f.at(f.now+delay, func() { b.take(t) })
		f.at(r.deadline, func() { f.outcome(t, balance.TimedOut) })
	}
}

// outcome ends an attempt, once.
func (f *fleet) outcome(t *attempt, result balance.Result) {
	if t.ended {
		return
	}
	t.ended = true
	r := t.request
	r.out--
	if result == balance.OK && !r.done && !r.left {
		r.done = true
		f.served++
		delete(t.agent.open, r.id)
	}
	load := balance.NoLoad()
	if f.Inline && (result == balance.OK || result == balance.Full) {
		load.Valid, load.Outstanding, load.Queue = true, float64(t.backend.busy+len(t.backend.queue)+1), float64(len(t.backend.queue))
	}
	f.step(t.agent, balance.Outcome{Request: r.id, Attempt: t.number, Backend: t.backend.id, Result: result, Latency: f.now - t.sent,
		Done: r.done || r.left, Standing: !t.backend.down, Load: load})
}
