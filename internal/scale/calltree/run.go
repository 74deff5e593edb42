package calltree

import (
	"math/rand/v2"
	"strconv"
	"time"

	"lemonrail/balance"
)

const (
	epoch            = time.Hour             // start of the simulated clock, nonzero since balancers treat zero as never
	slowAnswerDelay  = 20 * time.Millisecond // delay after the deadline of answers under FaultSlow
	clientRetryDelay = 20 * time.Millisecond // before a client's second try, if a refusal carried no Retry-After
	lateWorth        = 0.3                   // worth of an answer after the aim
)

// The indexes of the classes in each balancer's settings.
const (
	classSafe = iota
	classUnsafe
)

// simulation is the state of a run.
type simulation struct {
	config Config        // configuration of the run
	now    time.Duration // simulated time
	queue  queue
	trees  treeGenerator
	layout *layout

	servers  [][]*server // by service
	gateways []*server   // callers of the first layer, on behalf of clients
	agents   [][]*agent  // by called service

	arrivals, work, faults, gatewayChoice *rand.Rand // random sources, by purpose

	calls      int // calls started so far, for call IDs
	statistics statistics
}

// Run simulates one configuration to its end. The same configuration gives the same result.
func Run(c Config) (Result, error) {
	if err := c.check(); err != nil {
		return Result{}, err
	}
	s, err := newSimulation(c)
	if err != nil {
		return Result{}, err
	}
	s.schedule(s.drawArrivalGap(), event{kind: eventRoot})
	for len(s.queue.entries) > 0 {
		var e event
		s.now, e = s.queue.pop()
		s.statistics.result.Events++
		s.handle(e)
	}
	s.finish()
	return s.statistics.result, nil
}

// newSimulation creates a simulation with the services, backends and balancers of a configuration, at the start of its clock.
func newSimulation(c Config) (*simulation, error) {
	layout, shape := plan(&c)
	s := &simulation{config: c, now: epoch, layout: layout,
		arrivals: newSource(c.Seed, sourceArrivals), work: newSource(c.Seed, sourceWork),
		faults: newSource(c.Seed, sourceFaults), gatewayChoice: newSource(c.Seed, sourceGateways)}
	s.trees = treeGenerator{config: &s.config, layout: layout, shape: newSource(c.Seed, sourceShape), leafFaults: newSource(c.Seed, sourceLeafFaults)}
	s.statistics = newStatistics(c, shape)
	if err := s.build(); err != nil {
		return nil, err
	}
	return s, nil
}

// build creates all backends, then the balancers through which gateways and backends call.
func (s *simulation) build() error {
	s.servers = make([][]*server, s.config.Services)
	s.agents = make([][]*agent, s.config.Services)
	for id, service := range s.layout.services {
		for range service.backends {
			name := "s" + strconv.Itoa(id) + "-" + strconv.Itoa(len(s.servers[id]))
			s.servers[id] = append(s.servers[id], &server{id: name, service: id})
		}
	}
	for range s.config.Gateways {
		s.gateways = append(s.gateways, &server{service: -1})
	}
	s.connect(s.gateways, s.layout.layers[0])
	for id, service := range s.layout.services {
		s.connect(s.servers[id], service.children)
	}
	seeds := newSource(s.config.Seed, sourceBalancers)
	for _, callers := range s.agents {
		for _, a := range callers {
			if err := s.startBalancer(a, len(callers), seeds.Uint64()); err != nil {
				return err
			}
		}
	}
	return nil
}

// connect gives each of the callers an agent for each of the services.
func (s *simulation) connect(callers []*server, services []int) {
	for _, caller := range callers {
		for _, service := range services {
			a := &agent{service: service, index: len(s.agents[service]), calls: map[string]*call{}}
			s.agents[service] = append(s.agents[service], a)
			caller.agents = append(caller.agents, a)
		}
	}
}

// startBalancer creates an agent's balancer and gives it the list of its service's backends. callers is the number of agents
// that call the service.
func (s *simulation) startBalancer(a *agent, callers int, seed uint64) error {
	var err error
	if a.balancer, err = balance.New(s.settings(a, callers), seed); err != nil {
		return err
	}
	a.balancer.Explain(func(n balance.Note) {
		if n.Kind != balance.NoteRefused && n.Kind != balance.NoteFailed {
			return
		}
		if c := a.calls[n.Request]; c != nil {
			c.reason = n.Reason
		}
	})
	list := balance.List{Kind: balance.ListFull}
	for _, t := range s.servers[a.service] {
		list.Backends = append(list.Backends, balance.Backend{ID: t.id, Weight: 1})
	}
	a.balancer.Step(s.now, []balance.Event{list})
	s.statistics.result.Balancers++
	return nil
}

// settings returns the balancer settings of an agent. The aim is proportional to the number of layers from its service's
// layer down.
func (s *simulation) settings(a *agent, callers int) balance.Settings {
	remaining := s.config.Depth - s.layout.services[a.service].layer
	aim := s.config.Aim * time.Duration(remaining) / time.Duration(s.config.Depth)
	class := balance.Class{Aim: aim, Deadline: s.config.Deadline, Worth: 1, LateWorth: lateWorth}
	unsafe := class
	unsafe.Effect = balance.Unsafe
	settings := balance.Settings{
		Balancers: callers, Self: a.index, Classes: []balance.Class{classSafe: class, classUnsafe: unsafe},
		MaxAttempts: s.config.MaxAttempts, Peers: s.config.Peers, RetryAfter: true, MaxRetryAfter: 200 * time.Millisecond,
		ConnectTimeout: 100 * time.Millisecond, IdleClose: 5 * time.Second, AskWithin: time.Second,
		ColdShare: 0.3, RampTime: 5 * time.Second, FallMultiple: 2, FallWindow: 500 * time.Millisecond,
	}
	if s.config.Reports {
		settings.Reports = balance.ReportsInline
		settings.Fields = balance.ReportFields{Outstanding: true, Queue: true}
	}
	return settings
}

// schedule queues an event after a delay.
func (s *simulation) schedule(after time.Duration, e event) { s.queue.push(s.now+after, e) }

// drawArrivalGap draws the time until the next root arrives.
func (s *simulation) drawArrivalGap() time.Duration {
	return time.Duration(s.arrivals.ExpFloat64() / s.statistics.result.Shape.RootsPerSecond * float64(time.Second))
}

// faultsActive reports whether the faults have started.
func (s *simulation) faultsActive() bool { return s.now >= epoch+s.config.Warm }

// faultActiveAt reports whether a fault that affects one whole service is active and affects the service of backend t.
func (s *simulation) faultActiveAt(t *server) bool {
	return s.config.hasServiceFault() && t.service == s.config.FaultService && s.faultsActive()
}

// handle processes one event.
func (s *simulation) handle(e event) {
	switch e.kind {
	case eventRoot:
		s.arrive()
	case eventAttempt:
		s.receive(e.attempt)
	case eventWorkDone:
		s.finishWork(e.run)
	case eventOutcome:
		s.handleOutcome(e.attempt, e.outcome)
	case eventTimer:
		s.step(e.agent, balance.TimerFired{Token: e.token})
	case eventDeadline:
		s.expire(e.call)
	case eventCallEnded:
		s.notifyCaller(e.call)
	case eventCancel:
		s.cancelExecution(e.run)
	case eventPeerMessage:
		s.broadcast(e.agent, e.data)
	case eventClientRetry:
		s.startTry(e.root)
	}
}

// ---- Clients ----

// arrive starts a root and schedules the next one. Roots keep arriving for one deadline after the measured period, so
// that the measured roots end under the same load.
func (s *simulation) arrive() {
	if s.now >= epoch+s.config.Warm+s.config.Measure+s.config.Deadline {
		return
	}
	s.schedule(s.drawArrivalGap(), event{kind: eventRoot})
	r := &root{tree: s.trees.generate(), arrived: s.now, deadline: s.now + s.config.Deadline,
		gateway: s.gatewayChoice.IntN(len(s.gateways))}
	r.measured = s.faultsActive() && s.now < epoch+s.config.Warm+s.config.Measure
	s.startTry(r)
}

// startTry starts the next try of a client, which is its first or second.
func (s *simulation) startTry(r *root) {
	deadline := r.deadline
	if r.tries == 0 {
		deadline = r.arrived + s.config.Patience
	}
	r.tries++
	t := &try{root: r}
	t.call = s.startCall(s.gateways[r.gateway].agents[s.agentIndex(-1, r.tree.root.service)], r.tree.root, t, nil, deadline)
}

// endTry ends a client's try, and ends the root unless the client tries again.
func (s *simulation) endTry(c *call) {
	t := c.try
	t.ended, t.served = true, c.ending == endedServed
	s.statistics.tryEnded(t)
	r := t.root
	retry := s.config.ClientRetry && r.tries == 1 && !t.served && (c.ending == endedRefused || !c.node.unsafe)
	wait := clientRetryDelay
	if c.retryAfter > 0 {
		wait = c.retryAfter
	}
	if retry && s.now+wait < r.deadline {
		s.schedule(wait, event{kind: eventClientRetry, root: r})
		return
	}
	s.statistics.rootEnded(r, c.ending, s.now-r.arrived)
}

// agentIndex returns the index of a caller's agent for a service; caller -1 is a gateway.
func (s *simulation) agentIndex(caller, service int) int {
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

// startCall starts a call through an agent.
func (s *simulation) startCall(a *agent, n *node, t *try, parent *execution, deadline time.Duration) *call {
	s.calls++
	c := &call{id: strconv.Itoa(s.calls), agent: a, node: n, try: t, parent: parent, started: s.now, waitingSince: s.now,
		deadline: deadline}
	a.calls[c.id] = c
	s.statistics.callBegan(c)
	s.queue.push(deadline, event{kind: eventDeadline, call: c})
	class := classSafe
	if n.unsafe {
		class = classUnsafe
	}
	left := s.config.Deadline
	if s.config.TellLeft {
		left = deadline - s.now
	}
	t.root.steps++
	s.step(a, balance.Request{ID: c.id, Class: class, TimeLeft: left,
		Repeat: parent == nil && t.root.tries > 1})
	return c
}

// step passes an event to a balancer and carries out the actions that the balancer returns.
func (s *simulation) step(a *agent, e balance.Event) {
	s.statistics.stepped(s.now, s.layout.services[a.service].layer)
	for _, action := range a.balancer.Step(s.now, []balance.Event{e}) {
		switch action := action.(type) {
		case balance.Send:
			s.send(a.calls[action.Request], action.Backend)
		case balance.Refuse:
			c := a.calls[action.Request]
			c.retryAfter = action.RetryAfter
			s.endCall(c, endedRefused)
		case balance.Fail:
			s.endCall(a.calls[action.Request], endedFailed)
		case balance.SetTimer:
			s.schedule(action.After, event{kind: eventTimer, agent: a, token: action.Token})
		case balance.TellPeer:
			s.schedule(2*s.config.Network, event{kind: eventPeerMessage, agent: a, data: action.Data})
		}
	}
}

// broadcast delivers a balancer's message to all other balancers of the same service.
func (s *simulation) broadcast(from *agent, data []byte) {
	for _, a := range s.agents[from.service] {
		if a != from {
			s.step(a, balance.PeerMessage{From: from.index, Data: data})
		}
	}
}

// send starts an attempt.
func (s *simulation) send(c *call, backend string) {
	t := s.findBackend(c.agent.service, backend)
	a := &attempt{call: c, number: len(c.attempts), server: t, sent: s.now}
	c.attempts = append(c.attempts, a)
	s.statistics.countAttempt(a, s.now-c.waitingSince)
	switch {
	case s.faultActiveAt(t) && s.config.Fault == FaultRefused:
		s.schedule(2*s.config.Network, event{kind: eventOutcome, attempt: a,
			outcome: outcome{result: balance.ConnectFailed, load: balance.NoLoad()}})
	case s.faultActiveAt(t) && s.config.Fault == FaultSilent: // no answer: the attempt ends at the deadline
	default:
		s.schedule(s.config.Network, event{kind: eventAttempt, attempt: a})
	}
}

// findBackend returns the backend of a service by ID.
func (s *simulation) findBackend(service int, name string) *server {
	for _, t := range s.servers[service] {
		if t.id == name {
			return t
		}
	}
	panic("calltree: an attempt to a backend that isn't listed")
}

// handleOutcome passes an attempt's outcome to its agent, unless the attempt already has an outcome.
func (s *simulation) handleOutcome(a *attempt, o outcome) {
	if a.closed {
		return
	}
	a.closed = true
	s.statistics.countOutcome(o)
	c := a.call
	c.waitingSince = s.now
	served := o.result == balance.OK && !c.ended
	if served {
		s.endCall(c, endedServed)
	} else if o.marked && !c.ended {
		s.endCall(c, endedFailed)
	}
	c.try.root.steps++
	s.step(c.agent, balance.Outcome{Request: c.id, Attempt: a.number, Backend: a.server.id, Result: o.result,
		Latency: s.now - a.sent, Done: c.ended, Load: o.load})
	s.forget(c)
}

// expire ends a call and its open attempts at the call's deadline.
func (s *simulation) expire(c *call) {
	if c.ended {
		return
	}
	s.endOpenAttempts(c, balance.TimedOut)
	if !c.ended {
		s.step(c.agent, balance.Abandoned{Request: c.id})
		s.endCall(c, endedFailed)
		s.forget(c)
	}
}

// endOpenAttempts ends the open attempts of a call with a result.
func (s *simulation) endOpenAttempts(c *call, result balance.Result) {
	for _, a := range c.attempts {
		if a.closed {
			continue
		}
		if s.config.Cancel && a.run != nil {
			s.schedule(s.config.Network, event{kind: eventCancel, run: a.run})
		}
		s.handleOutcome(a, outcome{result: result, load: balance.NoLoad()})
	}
}

// endCall records the ending of a call and schedules the notification of its caller. A second ending is counted as an error.
func (s *simulation) endCall(c *call, how ending) {
	if c.ended {
		s.statistics.result.Checks.EndedTwice++
		return
	}
	c.ended, c.ending = true, how
	s.statistics.callEnded(c, s.now)
	s.schedule(0, event{kind: eventCallEnded, call: c})
	s.forget(c)
}

// forget removes a call from its agent once the call has ended and all its attempts have outcomes.
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

// notifyCaller notifies the caller of a call that has ended.
func (s *simulation) notifyCaller(c *call) {
	if c.parent == nil {
		s.endTry(c)
		return
	}
	s.childEnded(c.parent, c)
}

// finish counts the calls that are still open after the last event and computes the final statistics.
func (s *simulation) finish() {
	open := 0
	for _, callers := range s.agents {
		for _, a := range callers {
			open += len(a.calls)
		}
	}
	s.statistics.result.Checks.Open = open
	s.statistics.finish(s.servers)
}
