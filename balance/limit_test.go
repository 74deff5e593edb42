package balance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonrail/balance"
)

// simulation is a small site in simulated time: nodes with a few cores and a queue each, one or more agents,
// and requests at given times. It covers hard cases of the limit without the users' simulator.
type simulation struct {
	now    time.Duration
	rng    *rand.Rand
	queue  simEventQueue // functions to call at later times
	seq    int           // last number of an event or request
	nodes  map[string]*simNode
	agents []*balance.Balancer
	open   map[string]*simRequest // requests that have not ended, by ID

	resets   func(node string, n int) bool                  // whether the connection of a node's nth answer breaks
	slowdown func(now time.Duration) float64                // factor of the work of attempts that begin now
	deliver  func(d *simulation, from, to int, data []byte) // carries a peer message; nil: whole, after 10 ms

	served, inTime, refused, failed int             // requests by their end; inTime: those served within the aim
	refusedIdle                     int             // requests refused while a node that was up had a free core
	peerBytes                       int             // bytes of peer messages delivered
	endedAt                         []time.Duration // arrival times of the requests that have ended
	servedAt                        []time.Duration // when requests were served
}

// simNode is a backend of the simulation.
type simNode struct {
	cores, busy, answers int             // cores, busy cores, and attempts worked off
	down, silent         bool            // down: it refuses connections; silent: it neither answers nor accepts connections
	startedAt            time.Duration   // when it last started cold; 0: long ago
	sentAt               []time.Duration // when attempts were sent to it
	waiting              []func()        // queue: each begins the work of an attempt
}

// simRequest is a client's request that has not ended.
type simRequest struct {
	agent     int // number of the agent that it came to
	arrivedAt time.Duration
	attempts  int // attempts made so far
}

// simEvent is a function to call at a time; of two at the same time, the one with the lower seq comes first.
type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

// simEventQueue is a heap with the next event first.
type simEventQueue []simEvent

func (q simEventQueue) Len() int { return len(q) }
func (q simEventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simEventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simEventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

const (
	simAim      = 300 * time.Millisecond // aim of all requests
	simTimeLeft = 600 * time.Millisecond // time that a client waits
	simMeanWork = 20 * time.Millisecond  // mean time that one core needs for a request
)

// newSimulation returns a simulation of agents that know the list of the nodes, all warm, with four cores each.
func newSimulation(t testing.TB, seed uint64, agents, nodes int) *simulation {
	d := &simulation{now: time.Hour, rng: rand.New(rand.NewPCG(seed, 0)), nodes: map[string]*simNode{}, open: map[string]*simRequest{},
		resets: func(string, int) bool { return false }, slowdown: func(time.Duration) float64 { return 1 }}
	var list []balance.Backend
	for i := range nodes {
		id := fmt.Sprintf("b%d", i)
		d.nodes[id] = &simNode{cores: 4}
		list = append(list, balance.Backend{ID: id, Weight: 1})
	}
	for i := range agents {
		s := balance.Settings{Balancers: agents, Self: i, Peers: true, MaxAttempts: 5, RetryAfter: true, MaxRetryAfter: time.Second, ConnectTimeout: 150 * time.Millisecond,
			Classes:    []balance.Class{{Aim: simAim, Deadline: simTimeLeft, Worth: 1, LateWorth: .25, Effect: balance.Safe}},
			DrainGrace: 500 * time.Millisecond, ColdShare: .3, RampTime: 4 * time.Second, FallMultiple: 3, FallWindow: 1500 * time.Millisecond}
		b, err := balance.New(s, seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		d.agents = append(d.agents, b)
		d.step(i, balance.List{Kind: balance.ListFull, Backends: list})
	}
	return d
}

// at schedules a call of do at t, or now if t is past.
func (d *simulation) at(t time.Duration, do func()) {
	d.seq++
	heap.Push(&d.queue, simEvent{max(t, d.now), d.seq, do})
}

// run calls the scheduled functions in order, up to and including the given time, and moves the clock there.
func (d *simulation) run(until time.Duration) {
	for len(d.queue) > 0 && d.queue[0].at <= until {
		x := heap.Pop(&d.queue).(simEvent)
		d.now = x.at
		x.do()
	}
	d.now = max(d.now, until)
}

// step passes an event to an agent and carries out its actions.
func (d *simulation) step(agent int, e balance.Event) {
	for _, a := range d.agents[agent].Step(d.now, []balance.Event{e}) {
		switch a := a.(type) {
		case balance.Send:
			d.playAttempt(agent, a)
		case balance.SetTimer:
			d.at(d.now+a.After, func() { d.step(agent, balance.TimerFired{Token: a.Token}) })
		case balance.TellPeer:
			for to := range d.agents {
				if to != agent && (a.To == to || a.To == balance.EveryPeer) {
					d.peerBytes += len(a.Data)
					if d.deliver != nil {
						d.deliver(d, agent, to, a.Data)
						continue
					}
					d.at(d.now+10*time.Millisecond, func() { d.step(to, balance.PeerMessage{From: agent, Data: a.Data}) })
				}
			}
		case balance.Refuse:
			d.end(a.Request, &d.refused)
			for _, n := range d.nodes {
				if !n.down && n.busy < n.cores {
					d.refusedIdle++
					break
				}
			}
		case balance.Fail:
			d.end(a.Request, &d.failed)
		}
	}
}

// end ends a request that is still open and increments count, the counter of such ends.
func (d *simulation) end(id string, count *int) {
	if r := d.open[id]; r != nil {
		*count++
		delete(d.open, id)
		d.endedAt = append(d.endedAt, r.arrivedAt)
	}
}

// request makes a new request arrive at an agent now.
func (d *simulation) request(agent int) {
	d.seq++
	id := fmt.Sprint("q", d.seq)
	d.open[id] = &simRequest{agent: agent, arrivedAt: d.now}
	d.step(agent, balance.Request{ID: id, TimeLeft: simTimeLeft})
}

// playAttempt plays an attempt at its node and passes its outcome to the agent.
func (d *simulation) playAttempt(agent int, a balance.Send) {
	r, n := d.open[a.Request], d.nodes[a.Backend]
	if r == nil {
		panic("send for a request that has ended")
	}
	attempt, sent, deadline := r.attempts, d.now, r.arrivedAt+simTimeLeft
	r.attempts++
	n.sentAt = append(n.sentAt, d.now)
	ended := false
	outcome := func(res balance.Result, standing bool) {
		if ended {
			return
		}
		ended = true
		if res == balance.OK && d.open[a.Request] != nil {
			if d.now-r.arrivedAt <= simAim {
				d.inTime++
			}
			d.servedAt = append(d.servedAt, d.now)
			d.end(a.Request, &d.served)
		}
		d.step(agent, balance.Outcome{Request: a.Request, Attempt: attempt, Backend: a.Backend, Result: res, Latency: d.now - sent,
			Done: d.open[a.Request] == nil, OtherConnectionsOpen: standing, Load: balance.Load{Outstanding: -1, Queue: -1}})
	}
	if n.down {
		d.at(d.now+time.Millisecond, func() { outcome(balance.ConnectFailed, false) })
		return
	}
	if n.silent { // open connections hang, new ones can't be made
		if d.rng.IntN(2) == 0 {
			d.at(min(d.now+150*time.Millisecond, deadline), func() { outcome(balance.ConnectFailed, false) })
		} else {
			d.at(deadline, func() { outcome(balance.TimedOut, false) })
		}
		return
	}
	d.at(deadline, func() { outcome(balance.TimedOut, false) })
	begin := func() {
		work := time.Duration(float64(simMeanWork) * (0.25 + 0.75*d.rng.ExpFloat64()) * d.slowdown(d.now))
		if n.startedAt > 0 {
			work = time.Duration(float64(work) / simWarmth(d.now-n.startedAt))
		}
		d.at(d.now+work, func() {
			n.busy--
			n.answers++
			broke := d.resets(a.Backend, n.answers)
			if len(n.waiting) > 0 {
				next := n.waiting[0]
				n.waiting = n.waiting[1:]
				n.busy++
				next()
			}
			if broke {
				outcome(balance.Reset, true)
			} else {
				outcome(balance.OK, false)
			}
		})
	}
	if n.busy < n.cores {
		n.busy++
		begin()
		return
	}
	n.waiting = append(n.waiting, begin)
}

// arrive schedules requests at perS a second from now on, for the given length of time; first is the share of
// them that the first agent gets.
func (d *simulation) arrive(perS float64, length time.Duration, first float64) {
	for at := d.now; at < d.now+length; at += time.Duration(d.rng.ExpFloat64() / perS * float64(time.Second)) {
		agent := 0
		if len(d.agents) > 1 && d.rng.Float64() >= first {
			agent = 1 + d.rng.IntN(len(d.agents)-1)
		}
		d.at(at, func() { d.request(agent) })
	}
}

// total returns the number of requests that have ended.
func (d *simulation) total() int { return d.served + d.refused + d.failed }

// capacity returns the number of requests of mean work that all nodes together can serve in a second.
func (d *simulation) capacity() float64 {
	return float64(4*len(d.nodes)) / simMeanWork.Seconds()
}

// When all requests arrive at one instant, none is refused that could have been served in time.
func TestBurstsAreServed(t *testing.T) {
	for _, nodes := range []int{2, 8, 60} {
		for _, burst := range []int{32, 100, 300} {
			d := newSimulation(t, 1, 1, nodes)
			for range burst {
				d.at(d.now+time.Second, func() { d.request(0) })
			}
			d.run(d.now + 10*time.Second)
			if d.total() != burst {
				t.Errorf("%d nodes, %d at once: %d ended", nodes, burst, d.total())
			}
			// wait is the time in seconds after which the last request begins. It must leave a third of the aim for
			// chance and the request's own work.
			wait := float64(burst) / d.capacity()
			if wait < 0.66*simAim.Seconds() && d.refused+d.failed > 0 {
				t.Errorf("%d nodes, %d at once: %d refused, %d failed", nodes, burst, d.refused, d.failed)
			}
		}
	}
}

// Broken connections cost only the work of their own attempts, whether they come from one node or from all.
func TestResetsCostOnlyTheirWork(t *testing.T) {
	for name, resets := range map[string]func(string, int) bool{
		"none":           func(string, int) bool { return false },
		"tenth of all":   func(_ string, n int) bool { return n%10 == 0 },
		"tenth of one":   func(node string, n int) bool { return node == "b0" && n%10 == 0 },
		"one breaks all": func(node string, n int) bool { return node == "b0" },
	} {
		t.Run(name, func(t *testing.T) {
			d := newSimulation(t, 2, 2, 8)
			d.resets = resets
			d.arrive(0.6*d.capacity(), 20*time.Second, 0.8)
			d.run(d.now + 25*time.Second)
			if n := d.total(); d.refused+d.failed > n/50 || d.inTime < n*95/100 {
				t.Errorf("of %d: %d in time, %d refused, %d failed", n, d.inTime, d.refused, d.failed)
			}
		})
	}
}

// A wave of resets after a long time without errors must not make nodes count as restarted and cold.
func TestResetsAreNotTakenForRestarts(t *testing.T) {
	d := newSimulation(t, 3, 1, 8)
	begin := d.now + 5*time.Second
	d.resets = func(_ string, n int) bool { return d.now > begin && n%10 == 0 }
	cold := 0
	d.agents[0].Explain(func(n balance.Note) {
		for _, b := range n.Backends {
			if b.Warmth < 1 || b.Down {
				cold++
			}
		}
	})
	d.arrive(0.6*d.capacity(), 12*time.Second, 1)
	d.run(d.now + 15*time.Second)
	if cold > 0 || d.refused > 0 {
		t.Errorf("backends were taken for cold or gone in %d notes; %d refused", cold, d.refused)
	}
}

// Within two seconds after a stall of all nodes the limit has recovered.
func TestLimitRecoversFromStop(t *testing.T) {
	for _, stop := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second} {
		d := newSimulation(t, 4, 2, 8)
		begin := d.now
		d.slowdown = func(now time.Duration) float64 {
			if now > begin+4*time.Second && now < begin+4*time.Second+stop {
				return (begin + 4*time.Second + stop - now).Seconds() / simMeanWork.Seconds()
			}
			return 1
		}
		const rate = 0.5
		d.arrive(rate*d.capacity(), 8*time.Second+stop, 0.8)
		back := begin + 4*time.Second + stop + 2*time.Second
		d.run(back + 5*time.Second)
		served, offered := 0, 0
		for _, at := range d.servedAt {
			if at > back && at < back+2*time.Second {
				served++
			}
		}
		for _, at := range d.endedAt {
			if at > back && at < back+2*time.Second {
				offered++
			}
		}
		if served < offered*95/100 {
			t.Errorf("a stall of %v: %d of %d served from 2 s after it", stop, served, offered)
		}
	}
}

// Under overload the nodes' capacity is still used, and no first attempt waits for the retry bucket.
func TestOverloadServesWhatItCan(t *testing.T) {
	for _, times := range []float64{1.5, 2, 4} {
		d := newSimulation(t, 5, 2, 8)
		const length = 15 * time.Second
		d.arrive(times*d.capacity(), length, 0.8)
		d.run(d.now + length + 5*time.Second)
		if most := int(d.capacity() * length.Seconds()); d.inTime < most*60/100 {
			t.Errorf("%v times: %d in time of %d that could be, %d refused, %d failed", times, d.inTime, most, d.refused, d.failed)
		}
	}
}

// If many agents share the nodes and most have little traffic, the busy one is not held to an even share of
// the limit on attempts in flight.
func TestBusyAgentUsesUnusedLimitShares(t *testing.T) {
	for _, agents := range []int{1, 4, 12} {
		d := newSimulation(t, 6, agents, 8)
		d.arrive(0.7*d.capacity(), 10*time.Second, 0.9)
		d.run(d.now + 15*time.Second)
		if n := d.total(); d.refused > n/200 {
			t.Errorf("%d agents: %d of %d refused at 0.7 of capacity, %d of them while a node had a free core", agents, d.refused, n, d.refusedIdle)
		}
	}
}

// Explain changes no decision: the same seed gives the same answers at the same times.
func TestExplainChangesNoDecision(t *testing.T) {
	ends := func(explain bool) string {
		d := newSimulation(t, 7, 2, 6)
		d.resets = func(_ string, n int) bool { return n%8 == 0 }
		for _, b := range d.agents {
			if explain {
				b.Explain(func(balance.Note) {})
			}
		}
		d.arrive(1.3*d.capacity(), 4*time.Second, 0.7)
		d.run(d.now + 6*time.Second)
		return fmt.Sprint(d.served, d.refused, d.failed, d.endedAt, d.servedAt)
	}
	if ends(true) != ends(false) {
		t.Error("requests end differently with Explain on")
	}
}

// For random loads, each request ends once, nothing is refused on an idle site, and the limit on attempts in
// flight stays at its minimum or above.
func TestLimitProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		agents, nodes := rapid.IntRange(1, 4).Draw(rt, "agents"), rapid.IntRange(2, 10).Draw(rt, "nodes")
		load := rapid.Float64Range(0.05, 2).Draw(rt, "load")
		broken := rapid.IntRange(5, 100).Draw(rt, "one in so many breaks")
		d := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), agents, nodes)
		d.resets = func(_ string, n int) bool { return n%broken == 0 }
		for _, b := range d.agents {
			b.Explain(func(n balance.Note) {
				if n.PerBackend < 4*(1-1e-9) {
					rt.Fatalf("limit of %v per backend, want 4 at least", n.PerBackend)
				}
				if n.LimitShare < 0.25/float64(agents) || n.LimitShare > 1+1e-9 {
					rt.Fatalf("fraction %v among %d", n.LimitShare, agents)
				}
			})
		}
		d.arrive(load*d.capacity(), 3*time.Second, rapid.Float64Range(0, 1).Draw(rt, "first agent's share"))
		d.run(d.now + 6*time.Second)
		if len(d.open) > 0 {
			rt.Fatalf("%d requests have no final answer", len(d.open))
		}
		if load < 0.2 && d.refused > 0 {
			rt.Fatalf("%d of %d refused at %v of capacity", d.refused, d.total(), load)
		}
	})
}

// Latencies of answers that had waited in a queue must not be scaled by the announced work of their requests:
// one of little work counted as minutes (incident i25ac6e). The mean delay, which covers a few mean latencies,
// then adapted too slowly, and the limit grew while all answers were late. The advised wait of a refusal shows
// the mean latency.
func TestQueuedAnswersAreNotScaledByWork(t *testing.T) {
	const n = 4
	s := settings()
	s.RetryAfter, s.MaxRetryAfter = true, time.Hour
	r := newRig(t, s, 1, backends(n))
	works := []time.Duration{ms, 2 * ms, 40 * ms, 200 * ms}
	serve := func(rounds int, latency time.Duration) {
		for i := range rounds {
			ids := make([]string, 4*n)
			for j := range ids {
				ids[j] = fmt.Sprint("s", latency, i, "-", j)
				r.step(balance.Request{ID: ids[j], Class: safe, TimeLeft: 2000 * ms, Work: works[j%len(works)]})
			}
			r.now += latency
			for _, id := range ids {
				if len(r.sent[id]) > 0 {
					r.step(balance.Outcome{Request: id, Backend: r.sent[id][0], Result: balance.OK,
						Latency: latency, Done: true, Load: balance.Load{Outstanding: -1, Queue: -1}})
				}
			}
		}
	}
	serve(40, 20*ms)
	serve(8, 390*ms) // of an aim of 400 ms
	for i := range 100 {
		r.step(balance.Request{ID: fmt.Sprint("q", i), Class: safe, TimeLeft: 2000 * ms, Work: 40 * ms})
	}
	refused := 0
	for _, a := range r.advance(400 * ms) {
		if a, ok := a.(balance.Refuse); ok {
			refused++
			if a.RetryAfter > 600*ms { // one and a half times the actual latency
				t.Fatalf("RetryAfter is %v, though answers take 390ms", a.RetryAfter)
			}
		}
	}
	if refused == 0 {
		t.Error("none of 100 requests refused")
	}
}
