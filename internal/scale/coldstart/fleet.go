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

// fleet is the state of one run of a Case: agents, backends and clients on a simulated clock.
type fleet struct {
	Case
	now               time.Duration
	rng               *rand.Rand
	queue             eventQueue
	seq               int    // number of events scheduled so far; orders events at the same time
	seed              uint64 // seed of the run, from which the balancers' seeds are derived too
	agents            []*agent
	cumulativeTraffic []float64 // running sum of the agents' shares of the traffic, by agent
	backends          []*backend
	initialShare      float64             // real share of its capacity that a cold backend starts with, at least coldShare
	byID              map[string]*backend // backends by ID

	requests, served, refused, failed int   // numbers of clients' requests, all and by how they ended
	leftWaiting                       int   // clients that left while their request had no attempt in flight
	sentAfterLeave                    int   // attempts that started after their client had left
	err                               error // first contradiction found, such as a request answered twice; ends the run
}

// agent is one agent process with its balancer and open requests.
type agent struct {
	number int // index in fleet.agents
	*balance.Balancer
	open     map[string]*request // requests that have not ended, by ID
	notified bool                // notified of the start of the cold backends
	ended    bool                // replaced or dead: it ignores all events
}

// request is one client's request to one agent.
type request struct {
	id        string
	class     int           // index in Case.classes
	key       string        // key of the request (Case.Keys); empty: none
	deadline  time.Duration // time at which the client stops waiting
	work      time.Duration // core time on a warm backend
	attempts  int           // number of attempts so far
	inFlight  int           // attempts in flight
	done      bool          // answered by a backend, refused or failed
	abandoned bool          // the client has left, and the balancer has been notified
}

// scheduled is an event of the simulation. Events at the same time run in the order in which they were scheduled.
type scheduled struct {
	at  time.Duration
	seq int
	do  func()
}

// eventQueue is a heap (container/heap), the earliest event first.
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

// scheduleAt schedules a function at a time, or now if the time has passed.
func (f *fleet) scheduleAt(t time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, scheduled{max(t, f.now), f.seq, do})
}

// run processes events until the end of the run or the first error.
func (f *fleet) run() {
	for len(f.queue) > 0 && f.err == nil && f.queue[0].at <= simulationEnd {
		next := heap.Pop(&f.queue).(scheduled)
		f.now = next.at
		next.do()
	}
}

func newFleet(c Case, seed uint64) *fleet {
	f := &fleet{Case: c, now: simulationStart, seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), byID: map[string]*backend{}}
	f.initialShare = coldShare + (1-coldShare)*f.rng.Float64()
	f.addBackends()
	sum := 0.0
	for i := range c.Agents {
		f.agents = append(f.agents, f.newAgent(i, seed))
		sum += math.Exp(c.Skew * f.rng.NormFloat64())
		f.cumulativeTraffic = append(f.cumulativeTraffic, sum)
	}
	f.setUp()
	return f
}

// addBackends creates the warm backends and then the cold ones, which are down until coldStart unless they ran before.
func (f *fleet) addBackends() {
	sizes := []float64{1.8, .7, .8}
	for i := range f.Warm + f.Cold {
		b := &backend{fleet: f, id: fmt.Sprint("b", i), size: 1, zone: i % max(f.Zones, 1), keys: map[string]time.Duration{}}
		if f.MixedSizes {
			b.size, b.kind = sizes[i%len(sizes)], i%len(sizes)
		}
		if i >= f.Warm {
			b.cold, b.down, b.zone = true, !f.Returned, min(1, max(f.Zones-1, 0))
			if f.ColdSize > 0 {
				b.size, b.kind = f.ColdSize, 9
			}
		}
		f.backends = append(f.backends, b)
		f.byID[b.id] = b
	}
}

// setUp passes the initial lists to the agents and schedules the events of the case: the cold start, its
// notifications, restarts, deaths and the arrival of clients.
func (f *fleet) setUp() {
	for _, a := range f.agents {
		f.step(a, balance.List{Kind: balance.ListFull, Backends: f.list(f.Returned, false)})
		if f.BelievedAgents > 0 {
			f.step(a, balance.Fleet{Alive: f.BelievedAgents, MaxAlive: f.BelievedAgents})
		}
	}
	if f.Returned {
		f.scheduleAt(coldStart-downTime, func() {
			for _, b := range f.backends[f.Warm:] {
				b.crash()
			}
		})
	}
	f.scheduleAt(coldStart, func() {
		for _, b := range f.backends[f.Warm:] {
			b.down, b.started = false, f.now
		}
		f.killAgents()
		for _, a := range f.agents {
			f.notifyLater(a)
		}
	})
	for i := range f.agents {
		if f.rng.Float64() < f.RestartedShare {
			f.scheduleAt(coldStart+f.RestartedFrom+f.randomDelay(restartSpan), func() { f.restart(i) })
		}
	}
	f.scheduleAt(simulationStart, f.handleArrival)
}

// actualCapacity returns the real share of its capacity that a cold backend has at an age. Its initial value is random
// (fleet.initialShare): the higher it is, the less the backend's queue limits the agents.
func (f *fleet) actualCapacity(age time.Duration) float64 {
	return min(1, f.initialShare+(1-f.initialShare)*float64(age)/float64(rampTime))
}

// maxQueue returns the maximum queue length of a backend.
func (f *fleet) maxQueue() int {
	if f.ShortQueues {
		return 1
	}
	return queuePerCore * cores
}

// randomDelay returns a random duration between 0 and d.
func (f *fleet) randomDelay(d time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(d))
}

// notifyLater notifies an agent of the start of the cold backends after a random delay.
func (f *fleet) notifyLater(a *agent) {
	f.scheduleAt(f.now+f.randomDelay(f.NotifyWithin), func() {
		if a.ended {
			return
		}
		a.notified = true
		f.step(a, balance.List{Kind: balance.ListDelta, Backends: f.list(true, true)[f.Warm:]})
	})
}

// list returns discovery's list: without the cold backends unless withCold is set, and with their start times if startTold is set.
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

// newAgent creates an agent. On an error it sets f.err and returns nil.
func (f *fleet) newAgent(number int, seed uint64) *agent {
	b, err := balance.New(f.settings(number), seed*1_000_003+uint64(number))
	if err != nil {
		f.err = err
		return nil
	}
	return &agent{number: number, Balancer: b, open: map[string]*request{}}
}

// restart replaces an agent with a new process. The new process starts from the list that was stored before the cold
// start. If that start has already happened, the process is notified of it with the same random delay as the others.
func (f *fleet) restart(number int) {
	f.agents[number].ended = true
	a := f.newAgent(number, f.seed+uint64(f.now))
	f.agents[number] = a
	f.step(a, balance.List{Kind: balance.ListCached, Backends: f.list(f.Returned, false)})
	if f.now >= coldStart { // otherwise the process is notified with the others
		f.notifyLater(a)
	}
}

// killAgents permanently ends some agents. The other agents are not notified. The first agent always survives, so that
// clients have an agent to use.
func (f *fleet) killAgents() {
	for _, a := range f.agents[1:] {
		a.ended = a.ended || f.rng.Float64() < f.DeadShare
	}
}

// handleArrival starts one client and schedules the next one.
func (f *fleet) handleArrival() {
	f.startRequest()
	perSecond := f.offeredLoad() * f.capacity() / f.meanWork().Seconds()
	f.scheduleAt(f.now+time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), f.handleArrival)
}

// capacity returns the total capacity of the warm backends in cores of work, or of all backends if none is warm.
func (f *fleet) capacity() (sum float64) {
	for _, b := range f.backends {
		if !b.cold || f.Warm == 0 {
			sum += cores * b.size
		}
	}
	return sum
}

// offeredLoad returns the current rate of offered work, relative to capacity.
func (f *fleet) offeredLoad() float64 {
	from := coldStart
	if f.LateBurst {
		from += rampTime / 2
	}
	burst := f.now >= from && f.now < from+burstLength
	switch {
	case burst && f.Burst > 0:
		return f.Load * f.Burst
	case f.QuietBeforeBurst && f.now < from && f.now > coldStart-warmUp/2:
		return f.Load / 10
	}
	return f.Load
}

// startRequest starts one client request at a random agent.
func (f *fleet) startRequest() {
	number, x := 0, f.rng.Float64()*f.cumulativeTraffic[len(f.cumulativeTraffic)-1]
	for f.cumulativeTraffic[number] < x {
		number++
	}
	a := f.agents[number]
	for a.ended {
		a = f.agents[f.rng.IntN(len(f.agents))]
	}
	f.requests++
	r := &request{id: strconv.Itoa(f.requests), class: f.drawClass()}
	k := f.classes()[r.class]
	r.work = time.Duration(float64(k.work) * math.Exp(.83*f.rng.NormFloat64()-.83*.83/2)) // lognormal; the standard deviation is about the mean
	r.deadline = f.now + k.Deadline
	if f.Keys {
		r.key = strconv.Itoa(int(200 * math.Pow(f.rng.Float64(), 3))) // uneven key frequencies
	}
	a.open[r.id] = r
	if f.rng.Float64() < f.LeaverShare {
		f.scheduleAt(f.now+f.randomDelay(k.Deadline), func() { f.abandon(a, r) })
	}
	event := balance.Request{ID: r.id, Class: r.class, Key: r.key, TimeLeft: k.Deadline}
	if f.WorkHints {
		event.Work = r.work
	}
	f.step(a, event)
}

// drawClass draws the class of a request by the classes' shares of all requests.
func (f *fleet) drawClass() int {
	x := f.rng.Float64()
	for i, k := range f.classes() {
		if x -= k.share; x < 0 {
			return i
		}
	}
	return 0
}

// abandon records that a request's client has left before the answer, and notifies the balancer.
func (f *fleet) abandon(a *agent, r *request) {
	if a.ended || a.open[r.id] == nil {
		return
	}
	r.abandoned = true
	f.leftWaiting += boolToInt(r.inFlight == 0)
	f.step(a, balance.Abandoned{Request: r.id})
}

// step passes events to an agent's balancer and carries out the resulting actions.
func (f *fleet) step(a *agent, events ...balance.Event) {
	if a == nil || a.ended {
		return
	}
	for _, action := range a.Step(f.now, events) {
		switch action := action.(type) {
		case balance.Send:
			f.send(a, action)
		case balance.SetTimer:
			f.scheduleAt(f.now+action.After, func() { f.step(a, balance.TimerFired{Token: action.Token}) })
		case balance.Refuse:
			f.endUnserved(a, action.Request, &f.refused)
		case balance.Fail:
			f.endUnserved(a, action.Request, &f.failed)
		case balance.TellPeer:
			f.scheduleAt(f.now+5*time.Millisecond, func() { f.tellPeers(a, action) })
		}
	}
}

// tellPeers delivers a balancer's message to the peers that it is for.
func (f *fleet) tellPeers(from *agent, m balance.TellPeer) {
	for _, to := range f.agents {
		if to != from && (m.To == balance.EveryPeer || m.To == to.number) {
			f.step(to, balance.PeerMessage{From: from.number, Data: m.Data})
		}
	}
}

// endUnserved ends a request that its agent refused or failed, and increments count, which is f.refused or f.failed.
func (f *fleet) endUnserved(a *agent, id string, count *int) {
	r := a.open[id]
	if r == nil || r.done {
		f.err = fmt.Errorf("agent %d answers request %s twice", a.number, id)
		return
	}
	*count++
	r.done = true
	delete(a.open, id)
}

// send starts an attempt. It arrives after a network delay, or fails if its connection takes too long or its backend is down.
func (f *fleet) send(a *agent, s balance.Send) {
	r, b := a.open[s.Request], f.byID[s.Backend]
	if r == nil || b == nil {
		f.err = fmt.Errorf("agent %d sends request %s, which has ended, to %s", a.number, s.Request, s.Backend)
		return
	}
	if r.abandoned {
		f.sentAfterLeave++
	}
	t := &attempt{agent: a, request: r, number: r.attempts, backend: b, sent: f.now, notified: a.notified}
	r.attempts++
	r.inFlight++
	delay := time.Millisecond + f.randomDelay(2*time.Millisecond)
	if f.rng.Float64() < f.SlowConnShare {
		delay += f.randomDelay(time.Second)
	}
	switch {
	case delay > connectTimeout || b.down:
		f.scheduleAt(f.now+min(delay, connectTimeout), func() { f.endAttempt(t, balance.ConnectFailed) })
	case s.WriteBy > 0 && f.now+delay > s.WriteBy:
		f.scheduleAt(f.now+delay, func() { f.endAttempt(t, balance.DroppedUnsent) })
	default:
		f.scheduleAt(f.now+delay, func() { b.receive(t) })
		f.scheduleAt(r.deadline, func() { f.endAttempt(t, balance.TimedOut) })
	}
}

// endAttempt ends an attempt, unless it has already ended, and passes the outcome to its agent.
func (f *fleet) endAttempt(t *attempt, result balance.Result) {
	if t.ended {
		return
	}
	t.ended = true
	r := t.request
	r.inFlight--
	if result == balance.OK && !r.done && !r.abandoned {
		r.done = true
		f.served++
		delete(t.agent.open, r.id)
	}
	load := balance.NoLoad()
	if f.InlineReports && (result == balance.OK || result == balance.Full) {
		load.Valid, load.Outstanding, load.Queue = true, float64(t.backend.busy+len(t.backend.queue)+1), float64(len(t.backend.queue))
	}
	f.step(t.agent, balance.Outcome{Request: r.id, Attempt: t.number, Backend: t.backend.id, Result: result, Latency: f.now - t.sent,
		Done: r.done || r.abandoned, OtherConnectionsOpen: !t.backend.down, Load: load})
}
