package calltree

import (
	"math/rand/v2"
	"strconv"
	"time"

	"lemonrail/balance"
)

const (
	epoch        = time.Hour // the run's clock starts here: balancers take nought for never
	pastDeadline = 20 * time.Millisecond
	clientPause  = 20 * time.Millisecond // before a client's second try, without advice
	lateWorth    = 0.3                   // of an answer after the aim
)

// The classes that each balancer has.
const (
	classSafe = iota
	classUnsafe
)

// simulation is a run under way.
type simulation struct {
	c      Config
	now    time.Duration
	queue  queue
	forest forest
	layout *layout

	servers  [][]*server // by service
	gateways []*server   // which clients call
	agents   [][]*agent  // by the service that they call

	arrivals, work, faults, entries *rand.Rand

	calls    int // for identifiers
	counting counting
}

// Run plays one configuration to its end. The same configuration gives the same result.
func Run(c Config) (Result, error) {
	if err := c.check(); err != nil {
		return Result{}, err
	}
	s, err := newSimulation(c)
	if err != nil {
		return Result{}, err
	}
	s.schedule(s.gap(), event{kind: eventRoot})
	for len(s.queue.entries) > 0 {
		var e event
		s.now, e = s.queue.pop()
		s.counting.result.Events++
		s.handle(e)
	}
	s.finish()
	return s.counting.result, nil
}

// newSimulation builds services, backends and balancers.
func newSimulation(c Config) (*simulation, error) {
	layout, shape := plan(&c)
	s := &simulation{c: c, now: epoch, layout: layout,
		arrivals: source(c.Seed, sourceArrivals), work: source(c.Seed, sourceWork),
		faults: source(c.Seed, sourceFaults), entries: source(c.Seed, sourceGateways)}
	s.forest = forest{c: &s.c, layout: layout, shape: source(c.Seed, sourceShape), poison: source(c.Seed, sourcePoison)}
	s.counting = newCounting(c, shape)
	if err := s.build(); err != nil {
		return nil, err
	}
	return s, nil
}

// build makes the backends, then for each the balancers through which it calls.
func (s *simulation) build() error {
	s.servers = make([][]*server, s.c.Services)
	s.agents = make([][]*agent, s.c.Services)
	for id, service := range s.layout.services {
		for range service.backends {
			name := "s" + strconv.Itoa(id) + "-" + strconv.Itoa(len(s.servers[id]))
			s.servers[id] = append(s.servers[id], &server{id: name, service: id})
		}
	}
	for range s.c.Gateways {
		s.gateways = append(s.gateways, &server{service: -1})
	}
	s.connect(s.gateways, s.layout.layers[0])
	for id, service := range s.layout.services {
		s.connect(s.servers[id], service.children)
	}
	seeds := source(s.c.Seed, sourceBalancers)
	for _, callers := range s.agents {
		for _, a := range callers {
			if err := s.start(a, len(callers), seeds.Uint64()); err != nil {
				return err
			}
		}
	}
	return nil
}

// connect gives callers an agent for each service that they call.
func (s *simulation) connect(callers []*server, services []int) {
	for _, caller := range callers {
		for _, service := range services {
			a := &agent{service: service, self: len(s.agents[service]), calls: map[string]*call{}}
			s.agents[service] = append(s.agents[service], a)
			caller.agents = append(caller.agents, a)
		}
	}
}

// start makes an agent's balancer, and tells it the list.
func (s *simulation) start(a *agent, callers int, seed uint64) error {
	var err error
	if a.balancer, err = balance.New(s.settings(a, callers), seed); err != nil {
		return err
	}
	a.balancer.Explain(func(n balance.Note) {
		if n.Kind != balance.NoteRefused && n.Kind != balance.NoteFailed {
			return
		}
		if c := a.calls[n.Request]; c != nil {
			c.why = n.Why
		}
	})
	list := balance.List{Kind: balance.ListFull}
	for _, t := range s.servers[a.service] {
		list.Backends = append(list.Backends, balance.Backend{ID: t.id, Weight: 1})
	}
	a.balancer.Step(s.now, []balance.Event{list})
	s.counting.result.Balancers++
	return nil
}

// settings are an agent's: the aim shrinks with the layers that remain.
func (s *simulation) settings(a *agent, callers int) balance.Settings {
	remaining := s.c.Depth - s.layout.services[a.service].layer
	aim := s.c.Aim * time.Duration(remaining) / time.Duration(s.c.Depth)
	class := balance.Class{Aim: aim, Deadline: s.c.Deadline, Worth: 1, LateWorth: lateWorth}
	unsafe := class
	unsafe.Effect = balance.Unsafe
	settings := balance.Settings{
		Balancers: callers, Self: a.self, Classes: []balance.Class{classSafe: class, classUnsafe: unsafe},
		MaxAttempts: s.c.MaxAttempts, Peers: s.c.Peers, RetryAfter: true, MaxRetryAfter: 200 * time.Millisecond,
		ConnectTimeout: 100 * time.Millisecond, IdleClose: 5 * time.Second, AskWithin: time.Second,
		ColdShare: 0.3, RampTime: 5 * time.Second, FallMultiple: 2, FallWindow: 500 * time.Millisecond,
	}
	if s.c.Reports {
		settings.Reports = balance.ReportsInline
		settings.Fields = balance.ReportFields{Outstanding: true, Queue: true}
	}
	return settings
}

// schedule queues an event for later.
func (s *simulation) schedule(after time.Duration, e event) { s.queue.push(s.now+after, e) }

// gap draws the time to the next root.
func (s *simulation) gap() time.Duration {
	return time.Duration(s.arrivals.ExpFloat64() / s.counting.result.Shape.RootsPerSecond * float64(time.Second))
}

// faulty reports whether faults have begun.
func (s *simulation) faulty() bool { return s.now >= epoch+s.c.Warm }

// struck reports whether the fault is that of a backend's service, and has begun.
func (s *simulation) struck(t *server) bool {
	return s.c.faultsService() && t.service == s.c.FaultService && s.faulty()
}

// handle carries one event out.
func (s *simulation) handle(e event) {
	switch e.kind {
	case eventRoot:
		s.arrive()
	case eventArrive:
		s.receive(e.attempt)
	case eventDone:
		s.worked(e.run)
	case eventOutcome:
		s.outcome(e.attempt, e.outcome)
	case eventTimer:
		s.step(e.agent, balance.TimerFired{Token: e.token})
	case eventDeadline:
		s.expire(e.call)
	case eventEnded:
		s.tell(e.call)
	case eventCancel:
		s.cancel(e.run)
	case eventPeers:
		s.spread(e.agent, e.data)
	case eventRetry:
		s.try(e.root)
	}
}

// ---- Clients ----

// arrive starts a root and schedules the next. Roots go on for a while after the measured ones, which shall end
// under the same load.
func (s *simulation) arrive() {
	if s.now >= epoch+s.c.Warm+s.c.Measure+s.c.Deadline {
		return
	}
	s.schedule(s.gap(), event{kind: eventRoot})
	r := &root{tree: s.forest.draw(), came: s.now, deadline: s.now + s.c.Deadline,
		gateway: s.entries.IntN(len(s.gateways))}
	r.measured = s.faulty() && s.now < epoch+s.c.Warm+s.c.Measure
	s.try(r)
}

// try starts a client's first or second try.
func (s *simulation) try(r *root) {
	deadline := r.deadline
	if r.tries == 0 {
		deadline = r.came + s.c.Patience
	}
	r.tries++
	t := &try{root: r}
	t.call = s.begin(s.gateways[r.gateway].agents[s.place(-1, r.tree.root.service)], r.tree.root, t, nil, deadline)
}

// clientHears ends a client's try, and the root unless the client tries again.
func (s *simulation) clientHears(c *call) {
	t := c.try
	t.ended, t.served = true, c.ending == endedServed
	s.counting.tryEnded(t)
	r := t.root
	again := s.c.ClientRetry && r.tries == 1 && !t.served && (c.ending == endedRefused || !c.node.unsafe)
	wait := clientPause
	if c.advice > 0 {
		wait = c.advice
	}
	if again && s.now+wait < r.deadline {
		s.schedule(wait, event{kind: eventRetry, root: r})
		return
	}
	s.counting.rootEnded(r, c.ending, s.now-r.came)
}

// place is where a caller keeps its agent for a service; caller -1 is a gateway.
func (s *simulation) place(caller, service int) int {
	children := s.layout.layers[0]
	if caller >= 0 {
		children = s.layout.services[caller].children
	}
	for i, child := range children {
		if child == service {
			return i
		}
	}
	panic("calltree: a call to a service that its caller doesn't call")
}

// ---- Agents ----

// begin hands a call to an agent.
func (s *simulation) begin(a *agent, n *node, t *try, parent *execution, deadline time.Duration) *call {
	s.calls++
	c := &call{id: strconv.Itoa(s.calls), agent: a, node: n, try: t, parent: parent, came: s.now, waitFrom: s.now,
		deadline: deadline}
	a.calls[c.id] = c
	s.counting.callBegan(c)
	s.queue.push(deadline, event{kind: eventDeadline, call: c})
	class := classSafe
	if n.unsafe {
		class = classUnsafe
	}
	left := s.c.Deadline
	if s.c.TellLeft {
		left = deadline - s.now
	}
	t.root.steps++
	s.step(a, balance.Request{ID: c.id, Class: class, Left: left,
		Repeat: parent == nil && t.root.tries > 1})
	return c
}

// step has a balancer decide, and carries out what it decided.
func (s *simulation) step(a *agent, e balance.Event) {
	s.counting.stepped(s.now, s.layout.services[a.service].layer)
	for _, action := range a.balancer.Step(s.now, []balance.Event{e}) {
		switch action := action.(type) {
		case balance.Send:
			s.send(a.calls[action.Request], action.Backend)
		case balance.Refuse:
			c := a.calls[action.Request]
			c.advice = action.RetryAfter
			s.end(c, endedRefused)
		case balance.Fail:
			s.end(a.calls[action.Request], endedFailed)
		case balance.SetTimer:
			s.schedule(action.After, event{kind: eventTimer, agent: a, token: action.Token})
		case balance.TellPeer:
			s.schedule(2*s.c.Network, event{kind: eventPeers, agent: a, data: action.Data})
		}
	}
}

// spread takes a balancer's message to the others that call the same service.
func (s *simulation) spread(from *agent, data []byte) {
	for _, a := range s.agents[from.service] {
		if a != from {
			s.step(a, balance.PeerMessage{From: from.self, Data: data})
		}
	}
}

// send starts an attempt.
func (s *simulation) send(c *call, backend string) {
	t := s.find(c.agent.service, backend)
	a := &attempt{call: c, number: len(c.attempts), server: t, sent: s.now}
	c.attempts = append(c.attempts, a)
	s.counting.sent(a, s.now-c.waitFrom)
	switch {
	case s.struck(t) && s.c.Fault == FaultRefused:
		s.schedule(2*s.c.Network, event{kind: eventOutcome, attempt: a,
			outcome: outcome{result: balance.ConnectFailed, load: balance.NoLoad()}})
	case s.struck(t) && s.c.Fault == FaultSilent: // its deadline ends it
	default:
		s.schedule(s.c.Network, event{kind: eventArrive, attempt: a})
	}
}

// find is the backend of a name, which ends in its number.
func (s *simulation) find(service int, name string) *server {
	for _, t := range s.servers[service] {
		if t.id == name {
			return t
		}
	}
	panic("calltree: an attempt to a backend that isn't listed")
}

// outcome hands an attempt's outcome to its agent, unless the attempt has one.
func (s *simulation) outcome(a *attempt, o outcome) {
	if a.closed {
		return
	}
	a.closed = true
	s.counting.outcome(o)
	c := a.call
	c.waitFrom = s.now
	served := o.result == balance.OK && !c.ended
	if served {
		s.end(c, endedServed)
	} else if o.marked && !c.ended {
		s.end(c, endedFailed)
	}
	c.try.root.steps++
	s.step(c.agent, balance.Outcome{Request: c.id, Attempt: a.number, Backend: a.server.id, Result: o.result,
		Latency: s.now - a.sent, Done: c.ended, Load: o.load})
	s.forget(c)
}

// expire ends what a call still has out at its deadline, and the call.
func (s *simulation) expire(c *call) {
	if c.ended {
		return
	}
	s.withdraw(c, balance.TimedOut)
	if !c.ended {
		s.step(c.agent, balance.Abandoned{Request: c.id})
		s.end(c, endedFailed)
		s.forget(c)
	}
}

// withdraw gives a call's open attempts an outcome.
func (s *simulation) withdraw(c *call, result balance.Result) {
	for _, a := range c.attempts {
		if a.closed {
			continue
		}
		if s.c.Cancel && a.run != nil {
			s.schedule(s.c.Network, event{kind: eventCancel, run: a.run})
		}
		s.outcome(a, outcome{result: result, load: balance.NoLoad()})
	}
}

// end gives a call its ending, once, and has who made it hear of it.
func (s *simulation) end(c *call, how ending) {
	if c.ended {
		s.counting.result.Checks.EndedTwice++
		return
	}
	c.ended, c.ending = true, how
	s.counting.callEnded(c, s.now)
	s.schedule(0, event{kind: eventEnded, call: c})
	s.forget(c)
}

// forget lets go of a call that has ended and has all its outcomes.
func (s *simulation) forget(c *call) {
	if !c.ended {
		return
	}
	for _, a := range c.attempts {
		if !a.closed {
			return
		}
	}
	delete(c.agent.calls, c.id)
}

// tell has a call's maker hear how it ended.
func (s *simulation) tell(c *call) {
	if c.parent == nil {
		s.clientHears(c)
		return
	}
	s.childEnded(c.parent, c)
}

// finish checks what is left when nothing more happens.
func (s *simulation) finish() {
	open := 0
	for _, callers := range s.agents {
		for _, a := range callers {
			open += len(a.calls)
		}
	}
	s.counting.result.Checks.Open = open
	s.counting.finish(s.servers)
}
