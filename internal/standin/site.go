package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"lemonrail/internal/ledger"
)

// Observer is notified of the events at a site. *ledger.Ledger implements it.
type Observer interface {
	AttemptStarted(ledger.Attempt) (ended func(ledger.Outcome))
	WorkSent(node, agent string, at time.Time, amount float64) (falls bool) // amount in seconds of work
	StateReported(agent, node, state string, started, at time.Time)
	NodeStarted(node string, at time.Time, rate float64) // rate: seconds of work per second when warm
}

// LogEntry is an entry of a site's log: a fault that began or ended, or its consequence.
type LogEntry struct {
	At   time.Duration // since the site's start
	Text string
}

// Site is a running scenario.
type Site struct {
	scenario *Scenario
	observer Observer
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	timers   *timers
	start    time.Time

	machines    []*machine
	discoveries []*agentDiscovery

	mu           sync.Mutex
	listed       map[string]bool // every node id that was ever listed
	rng          *rand.Rand
	staleness    float64              // additional delay of changes of the list in seconds, by the fault discovery_stale
	keyTimes     map[string]time.Time // time of the last use of each key
	keyOrder     []string             // keys in the order of their first use, the oldest first
	log          []LogEntry
	err          error
	moved        chan string // names of agents whose discovery address has changed
	replacements int         // number of nodes restarted under new ids so far; part of those ids
}

// LedgerRules returns the parameters of a scenario that the observer checks against.
func LedgerRules(sc *Scenario) ledger.Rules {
	r := ledger.Rules{Classes: map[string]ledger.Class{}, AnswerGrace: ms(sc.Rules.AnswerGraceMs), DrainGrace: ms(sc.Rules.DrainGraceMs),
		ColdShare: sc.Rules.ColdShare, Ramp: ms(sc.Rules.RampMs), FallMultiple: sc.Rules.FallMultiple, FallWindow: ms(sc.Rules.FallMs),
		Slack: ms(sc.Rules.SlackMs)}
	for _, c := range sc.Classes {
		r.Classes[c.Name] = ledger.Class{Effect: ledger.Effect(c.Effect), Group: ledger.Group(c.Group), Window: ms(c.WindowMs)}
	}
	return r
}

const (
	maxKeys       = 1 << 16 // maximum number of idempotency keys remembered
	maxLogEntries = 4096
)

// Open starts a site. The scenario's faults are scheduled by Begin.
func Open(sc *Scenario, watch Observer) (*Site, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Site{scenario: sc, observer: watch, ctx: ctx, cancel: cancel, timers: newTimers(), start: time.Now(), listed: map[string]bool{},
		rng: rand.New(rand.NewPCG(sc.Seed, 1)), keyTimes: map[string]time.Time{}, moved: make(chan string, sc.Agents)}
	for _, n := range sc.Nodes {
		kind := &sc.Kinds[slices.IndexFunc(sc.Kinds, func(k KindSpec) bool { return k.Name == n.Kind })]
		for _, id := range n.names() {
			m := &machine{site: s, kind: kind, zone: n.Site, block: n.Block, index: len(s.machines), faults: map[string]float64{}, conns: map[net.Conn]string{}, cutAgents: map[string]int{}}
			s.machines = append(s.machines, m)
			s.listed[id] = true
			if err := m.start(id, time.Time{}); err != nil {
				return nil, errors.Join(err, s.Close())
			}
		}
	}
	for i := range sc.Agents {
		var hosts []host
		for _, m := range s.machines {
			hosts = append(hosts, m.entry(i, "ready"))
		}
		r, err := newAgentDiscovery(s, s.agentName(i), hosts)
		if err != nil {
			return nil, errors.Join(err, s.Close())
		}
		s.discoveries = append(s.discoveries, r)
		for _, h := range hosts { // the list in the agent's configuration counts as reported to it
			s.observer.StateReported(r.agent, h.Host, "ready", time.Time{}, s.start)
		}
	}
	return s, nil
}

// Close ends the site and waits until all its goroutines have ended.
func (s *Site) Close() error {
	s.cancel()
	for _, r := range s.discoveries {
		r.close()
	}
	s.timers.stop()
	s.tasks.Wait()
	for _, m := range s.machines {
		m.stop()
		for _, fd := range m.reservedFDs {
			syscall.Close(fd)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (s *Site) recordError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = errors.Join(s.err, err)
}

func (s *Site) goTask(f func()) { s.tasks.Go(f) }

func (s *Site) agentName(i int) string { return fmt.Sprintf("n%d", i) }

// listedNodes returns the ids of all nodes that were ever listed, sorted.
func (s *Site) listedNodes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]string, 0, len(s.listed))
	for id := range s.listed {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// class returns the class with a name, or nil.
func (s *Site) class(name string) *ClassSpec {
	for i := range s.scenario.Classes {
		if s.scenario.Classes[i].Name == name {
			return &s.scenario.Classes[i]
		}
	}
	return nil
}

// rememberKey records the use of an idempotency key. It reports false if the key was used less than window ago already.
func (s *Site) rememberKey(key string, window time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if at, ok := s.keyTimes[key]; ok && now.Sub(at) < window {
		return false
	}
	if _, ok := s.keyTimes[key]; !ok {
		s.keyOrder = append(s.keyOrder, key)
	}
	s.keyTimes[key] = now
	if len(s.keyOrder) > maxKeys {
		for _, old := range s.keyOrder[:maxKeys/4] {
			delete(s.keyTimes, old)
		}
		s.keyOrder = append(s.keyOrder[:0], s.keyOrder[maxKeys/4:]...)
	}
	return true
}

// Log returns the faults and their consequences so far.
func (s *Site) Log() []LogEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.log)
}

// logEvent appends an entry to the site's log, up to maxLogEntries.
func (s *Site) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.log) < maxLogEntries {
		s.log = append(s.log, LogEntry{time.Since(s.start), fmt.Sprintf(format, args...)})
	}
}

// DiscoveryMoved returns a channel of agent names whose discovery address has changed: these agents need their new
// configuration and a SIGHUP.
func (s *Site) DiscoveryMoved() <-chan string { return s.moved }

// FreeSlots returns the number of further requests that the serving nodes together would start to work on at once.
func (s *Site) FreeSlots() (free int) {
	for _, m := range s.machines {
		m.mu.Lock()
		if m.up && !m.silent && m.draining.IsZero() {
			free += max(0, m.kind.Slots-len(m.working)-len(m.queue))
		}
		m.mu.Unlock()
	}
	return free
}

// entry returns the machine's entry in the list for one agent.
func (m *machine) entry(agent int, health string) host {
	m.mu.Lock()
	defer m.mu.Unlock()
	born := 0.0
	if !m.started.IsZero() {
		born = float64(m.started.UnixMilli())
	}
	return host{Host: m.id, Dial: m.addrs[agent], Site: m.zone, Class: m.kind.Name, Block: m.block, Health: health, Share: 1, BornMs: born}
}

// announce sends a machine's changed entry, with the given health, to all agents' discovery, each after its own random delay.
func (s *Site) announce(m *machine, health string) {
	s.mu.Lock()
	lo, hi := s.scenario.Discovery.DelayMs[0], s.scenario.Discovery.DelayMs[1]
	delays := make([]time.Duration, len(s.discoveries))
	for i := range delays {
		delays[i] = ms(lo+(hi-lo)*s.rng.Float64()) + sec(s.staleness)
	}
	s.mu.Unlock()
	for i, r := range s.discoveries {
		e := m.entry(i, health)
		s.mu.Lock()
		s.listed[e.Host] = true
		s.mu.Unlock()
		s.timers.after(delays[i], func() { r.apply(e) })
	}
}

// nodeFailed ends the process of a cold node that was sent too much work, and lists the node as gone. It isn't started again.
func (s *Site) nodeFailed(m *machine) {
	m.mu.Lock()
	id := m.id
	m.mu.Unlock()
	s.logEvent("%s falls over", id)
	m.stop()
	s.announce(m, "gone")
}

// Begin schedules the scenario's faults from now on.
func (s *Site) Begin() {
	s.mu.Lock()
	s.start = time.Now()
	s.mu.Unlock()
	for i := range s.scenario.Faults {
		f := &s.scenario.Faults[i]
		s.timers.after(sec(f.AtS), func() { s.goTask(func() { s.applyFault(f) }) })
	}
}

// targets returns the machines that a fault applies to, by their current ids.
func (s *Site) targets(f *FaultSpec) (list []*machine) {
	for _, m := range s.machines {
		m.mu.Lock()
		id := m.id
		m.mu.Unlock()
		if len(f.Nodes) == 0 || slices.ContainsFunc(f.Nodes, func(name string) bool { return slices.Contains(s.scenario.nodesNamed(name), id) }) {
			list = append(list, m)
		}
	}
	return list
}

// manualEnd collects the functions that end a fault that BeginFault began.
type manualEnd struct {
	mu        sync.Mutex
	functions []func()
}

// BeginFault begins a fault now, ignoring AtS and ForS. The returned function ends the fault, if it is one that can
// end.
func (s *Site) BeginFault(f FaultSpec) (end func(), err error) {
	f.AtS, f.ForS, f.manualEnd = 0, 0, &manualEnd{}
	sc := *s.scenario
	sc.Faults = []FaultSpec{f}
	if err := sc.checkFaults(); err != nil {
		return nil, err
	}
	f = sc.Faults[0]
	s.applyFault(&f)
	return func() {
		f.manualEnd.mu.Lock()
		defer f.manualEnd.mu.Unlock()
		for _, end := range f.manualEnd.functions {
			end()
		}
		f.manualEnd.functions = nil
	}, nil
}

// onFaultEnd arranges that end is called when the fault ends: by the function from BeginFault or after ForS. It may have no end.
func (s *Site) onFaultEnd(f *FaultSpec, end func()) {
	if f.manualEnd != nil {
		f.manualEnd.mu.Lock()
		defer f.manualEnd.mu.Unlock()
		f.manualEnd.functions = append(f.manualEnd.functions, end)
		return
	}
	if f.ForS > 0 {
		s.timers.after(sec(f.ForS), end)
	}
}

// applyFault begins a fault of discovery or of machines.
func (s *Site) applyFault(f *FaultSpec) {
	s.logEvent("%s %v (size %v)", f.What, f.Nodes, f.Size)
	s.onFaultEnd(f, func() { s.logEvent("%s ends", f.What) })
	switch f.What {
	case "discovery_stale":
		s.mu.Lock()
		s.staleness += f.Size
		s.mu.Unlock()
		s.onFaultEnd(f, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.staleness -= f.Size
		})
		return
	case "discovery_down":
		for _, r := range s.discoveries {
			r.setDown(true)
		}
		s.onFaultEnd(f, func() {
			for _, r := range s.discoveries {
				r.setDown(false)
			}
		})
		return
	case "discovery_moves":
		for _, r := range s.discoveries {
			if _, err := r.move(); err != nil {
				s.recordError(err)
				return
			}
			select {
			case s.moved <- r.agent:
			default:
			}
		}
		return
	}
	for _, m := range s.targets(f) {
		s.applyToMachine(f, m)
	}
}

// applyToMachine applies a fault to one machine.
func (s *Site) applyToMachine(f *FaultSpec, m *machine) {
	set := func(g func()) {
		m.mu.Lock()
		defer m.mu.Unlock()
		g()
	}
	switch f.What {
	case "silent":
		set(func() { m.silent = true })
		s.onFaultEnd(f, func() {
			set(func() {
				m.silent = false
				for nc := range m.conns { // the machine resets old connections once it is reachable again
					reset(nc)
				}
			})
		})
	case "cut":
		agents := map[string]bool{}
		for _, name := range f.Agents {
			for _, i := range s.scenario.agentsNamed(name) {
				agents[s.agentName(i)] = true
			}
		}
		if len(f.Agents) == 0 {
			for i := range s.scenario.Agents {
				agents[s.agentName(i)] = true
			}
		}
		set(func() {
			for agent := range agents {
				m.cutAgents[agent]++
			}
		})
		s.onFaultEnd(f, func() {
			set(func() {
				for agent := range agents {
					m.cutAgents[agent]--
				}
				for nc, agent := range m.conns {
					if agents[agent] {
						reset(nc)
					}
				}
			})
		})
	case "drain":
		// The node keeps accepting work until all agents must have received the change.
		lag := ms(s.scenario.Discovery.DelayMs[1]+s.scenario.Rules.DrainGraceMs) + sec(s.staleness)
		set(func() { m.draining = time.Now().Add(lag) })
		s.announce(m, "draining")
		s.onFaultEnd(f, func() {
			set(func() { m.draining = time.Time{} })
			s.announce(m, "ready")
		})
	case "gone":
		m.stop()
		s.announce(m, "gone")
		s.onFaultEnd(f, func() { s.goTask(func() { s.restart(m, m.id) }) })
	case "restart":
		m.stop()
		s.timers.after(sec(f.Size), func() { s.goTask(func() { s.restart(m, m.id) }) })
	case "replace":
		s.announce(m, "gone")
		m.stop()
		s.mu.Lock()
		s.replacements++
		id := fmt.Sprintf("%s.%d", m.id, s.replacements)
		s.mu.Unlock()
		s.timers.after(sec(f.Size), func() { s.goTask(func() { s.restart(m, id) }) })
	default:
		// Count the working jobs' progress up to now at the old speed; they continue at the new one.
		change := func(g func()) {
			set(func() {
				now := time.Now()
				m.progress(now)
				g()
				m.schedule(now)
			})
		}
		change(func() { m.faults[f.What] = f.Size })
		s.onFaultEnd(f, func() { change(func() { delete(m.faults, f.What) }) })
	}
}

// restart starts a machine's process cold.
func (s *Site) restart(m *machine, id string) {
	if s.ctx.Err() != nil {
		return
	}
	if err := m.start(id, time.Now()); err != nil {
		s.recordError(err)
		return
	}
	s.logEvent("%s starts cold", id)
	s.announce(m, "ready")
}

// Config returns an agent's configuration as DEPLOY describes it.
func (s *Site) Config(agent int, listen string) ([]byte, error) {
	r := s.discoveries[agent]
	r.mu.Lock()
	known, addr := r.fullList(), r.addr
	r.mu.Unlock()
	h := fnv.New64a()
	fmt.Fprintf(h, "agent %d %d %d", s.scenario.Seed, agent, time.Now().UnixNano())
	return json.MarshalIndent(map[string]any{
		"name": r.agent, "listen": listen, "discovery": addr, "seed": fmt.Sprintf("%016x", h.Sum64()),
		"limits": map[string]any{"cores": 1, "memory_mb": s.scenario.Limits.MemoryMB, "sockets": s.scenario.Limits.Sockets},
		"known":  known, "settings": s.settings(agent),
	}, "", " ")
}

// settings returns an agent's settings in the JSON names that agents read (package wire).
func (s *Site) settings(agent int) map[string]any {
	sc := s.scenario
	effects := map[string]string{"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
	fields := map[string]string{"latency_ms": "recent_ms", "qps": "throughput", "queue": "backlog", "inflight": "outstanding", "util": "utilization"}
	var classes, kinds, reports []any
	for _, c := range sc.Classes {
		classes = append(classes, map[string]any{"Name": c.Name, "AimMs": c.AimMs, "DeadlineMs": c.DeadlineMs, "Worth": c.Worth, "LateValue": c.LateWorth,
			"Semantics": effects[c.Effect], "Group": c.Group, "WindowMs": c.WindowMs})
	}
	for _, k := range sc.Kinds {
		kinds = append(kinds, k.Name)
	}
	for _, f := range sc.Report.Fields {
		reports = append(reports, fields[f])
	}
	report := map[string]any{"Source": "off"}
	if len(reports) > 0 {
		report = map[string]any{"Source": "inline", "Fields": reports}
	}
	return map[string]any{
		"Balancers": sc.Agents, "Me": agent, "Zone": agent % len(sc.Sites), "Dcs": sc.Sites, "Kinds": kinds, "Profiles": classes,
		"MembershipMode": "automatic", "Report": report, "TickMs": 0,
		"PolicyLimits": map[string]any{"TryLimit": sc.Allow.Attempts, "RetryAfter": sc.Allow.RetryAfter, "MaxRetryAfterMs": sc.Allow.MaxRetryAfterMs,
			"ConnectTimeoutMs": sc.Allow.ConnectMs, "IdleCloseMs": sc.Allow.IdleCloseMs, "SecondCopies": sc.Allow.SecondCopies, "Cancel": true},
		"Contract": map[string]any{"DrainGraceMs": sc.Rules.DrainGraceMs, "GraceToAnswerMs": sc.Rules.AnswerGraceMs, "ColdFrom": sc.Rules.ColdShare,
			"RampTimeMs": sc.Rules.RampMs, "FallMultiple": sc.Rules.FallMultiple, "FallMs": sc.Rules.FallMs},
		"Prices": map[string]any{"CrossZone": 0.02},
	}
}

// Capacity returns the requests per second that the site can serve without faults, for the given shares of
// classes.
func (s *Site) Capacity(share map[string]float64) float64 {
	cores, work, sum := 0.0, 0.0, 0.0
	for _, m := range s.machines {
		cores += float64(m.kind.Cores) * m.kind.Speed
	}
	for name, v := range share {
		if c := s.class(name); c != nil {
			work += v * c.WorkMs / 1000
			sum += v
		}
	}
	if work == 0 {
		return math.Inf(1)
	}
	return cores * sum / work
}

// timers runs functions after a delay. stop cancels all of them together.
type timers struct {
	mu      sync.Mutex
	stopped bool
	pending map[*time.Timer]bool
	running sync.WaitGroup
}

func newTimers() *timers { return &timers{pending: map[*time.Timer]bool{}} }

func (t *timers) after(d time.Duration, f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.running.Add(1)
	var timer *time.Timer
	timer = time.AfterFunc(d, func() {
		defer t.running.Done()
		t.mu.Lock()
		stopped := t.stopped
		delete(t.pending, timer)
		t.mu.Unlock()
		if !stopped {
			f()
		}
	})
	t.pending[timer] = true
}

// stop cancels pending functions and waits for running ones.
func (t *timers) stop() {
	t.mu.Lock()
	t.stopped = true
	for timer := range t.pending {
		if timer.Stop() {
			t.running.Done()
		}
	}
	t.pending = nil
	t.mu.Unlock()
	t.running.Wait()
}
