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

// Observer is told what happens at a site. *ledger.Ledger is one.
type Observer interface {
	Began(ledger.Attempt) (ended func(ledger.Ending))
	Work(node, agent string, at time.Time, amount float64) (falls bool)
	Told(agent, node, state string, started, at time.Time)
	Started(node string, at time.Time, rate float64)
}

// Happening is something that a site did to itself.
type Happening struct {
	At   time.Duration // since the site's start
	Text string
}

// Site is a scenario that runs.
type Site struct {
	sc     *Scenario
	watch  Observer
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	timers *timers
	start  time.Time

	machines  []*machine
	registers []*register

	mu        sync.Mutex
	listed    map[string]bool // every id that was ever listed
	rng       *rand.Rand
	stale     float64 // s more until a change is told
	seen      map[string]time.Time
	seenOrder []string
	log       []Happening
	err       error
	moved     chan string // agents whose discovery has moved
	replaced  int
}

// RulesOf are a scenario's figures as the observer needs them.
func RulesOf(sc *Scenario) ledger.Rules {
	r := ledger.Rules{Classes: map[string]ledger.Class{}, AnswerGrace: ms(sc.Rules.AnswerGraceMs), DrainGrace: ms(sc.Rules.DrainGraceMs),
		ColdShare: sc.Rules.ColdShare, Ramp: ms(sc.Rules.RampMs), FallMultiple: sc.Rules.FallMultiple, FallWindow: ms(sc.Rules.FallMs),
		Slack: ms(sc.Rules.SlackMs)}
	for _, c := range sc.Classes {
		r.Classes[c.Name] = ledger.Class{Effect: ledger.Effect(c.Effect), Group: ledger.Group(c.Group), Window: ms(c.WindowMs)}
	}
	return r
}

const (
	maxSeen = 1 << 16 // idempotency keys that are remembered
	maxLog  = 4096
)

// Open starts a site. Faults are timed from Begin.
func Open(sc *Scenario, watch Observer) (*Site, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Site{sc: sc, watch: watch, ctx: ctx, cancel: cancel, timers: newTimers(), start: time.Now(), listed: map[string]bool{},
		rng: rand.New(rand.NewPCG(sc.Seed, 1)), seen: map[string]time.Time{}, moved: make(chan string, sc.Agents)}
	for _, n := range sc.Nodes {
		kind := &sc.Kinds[slices.IndexFunc(sc.Kinds, func(k KindSpec) bool { return k.Name == n.Kind })]
		for _, id := range n.names() {
			m := &machine{site: s, kind: kind, zone: n.Site, block: n.Block, index: len(s.machines), faults: map[string]float64{}, conns: map[net.Conn]string{}, cut: map[string]int{}}
			s.machines = append(s.machines, m)
			s.listed[id] = true
			if err := m.start(id, time.Time{}); err != nil {
				return nil, errors.Join(err, s.Close())
			}
		}
	}
	for i := range sc.Agents {
		var hosts []entry
		for _, m := range s.machines {
			hosts = append(hosts, m.entry(i, "ready"))
		}
		r, err := newRegister(s, s.agentName(i), hosts)
		if err != nil {
			return nil, errors.Join(err, s.Close())
		}
		s.registers = append(s.registers, r)
		for _, h := range hosts { // what an agent finds in its configuration it has been told
			s.watch.Told(r.agent, h.Host, "ready", time.Time{}, s.start)
		}
	}
	return s, nil
}

// Close ends the site and waits until nothing of it is left.
func (s *Site) Close() error {
	s.cancel()
	for _, r := range s.registers {
		r.close()
	}
	s.timers.stop()
	s.tasks.Wait()
	for _, m := range s.machines {
		m.die()
		for _, fd := range m.places {
			syscall.Close(fd)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (s *Site) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = errors.Join(s.err, err)
}

func (s *Site) spawn(f func()) { s.tasks.Go(f) }

func (s *Site) agentName(i int) string { return fmt.Sprintf("n%d", i) }

// ids are all nodes that were ever listed.
func (s *Site) ids() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]string, 0, len(s.listed))
	for id := range s.listed {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

func (s *Site) class(name string) *ClassSpec {
	for i := range s.sc.Classes {
		if s.sc.Classes[i].Name == name {
			return &s.sc.Classes[i]
		}
	}
	return nil
}

// remember notes a key for a time. It reports whether it is new: a repeat within that time is not.
func (s *Site) remember(key string, window time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if at, ok := s.seen[key]; ok && now.Sub(at) < window {
		return false
	}
	if _, ok := s.seen[key]; !ok {
		s.seenOrder = append(s.seenOrder, key)
	}
	s.seen[key] = now
	if len(s.seenOrder) > maxSeen {
		for _, old := range s.seenOrder[:maxSeen/4] {
			delete(s.seen, old)
		}
		s.seenOrder = append(s.seenOrder[:0], s.seenOrder[maxSeen/4:]...)
	}
	return true
}

// Log is what the site did to itself so far.
func (s *Site) Log() []Happening {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.log)
}

func (s *Site) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.log) < maxLog {
		s.log = append(s.log, Happening{time.Since(s.start), fmt.Sprintf(format, args...)})
	}
}

// Moved yields the names of agents whose discovery has moved: they need their new configuration
// and a SIGHUP.
func (s *Site) Moved() <-chan string { return s.moved }

// FreeSlots counts, over the nodes that serve now, the places in which a request would be worked on
// at once.
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

// entry is how discovery lists the machine to one agent.
func (m *machine) entry(agent int, health string) entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	born := 0.0
	if !m.started.IsZero() {
		born = float64(m.started.UnixMilli())
	}
	return entry{Host: m.id, Dial: m.addrs[agent], Site: m.zone, Class: m.kind.Name, Block: m.block, Health: health, Share: 1, BornMs: born}
}

// list tells all agents of a change, each after a delay of its own.
func (s *Site) list(m *machine, health string) {
	s.mu.Lock()
	lo, hi := s.sc.Discovery.DelayMs[0], s.sc.Discovery.DelayMs[1]
	delays := make([]time.Duration, len(s.registers))
	for i := range delays {
		delays[i] = ms(lo+(hi-lo)*s.rng.Float64()) + sec(s.stale)
	}
	s.mu.Unlock()
	for i, r := range s.registers {
		e := m.entry(i, health)
		s.mu.Lock()
		s.listed[e.Host] = true
		s.mu.Unlock()
		s.timers.after(delays[i], func() { r.apply(e) })
	}
}

// fell is what becomes of a cold node that was pushed over: it stays down.
func (s *Site) fell(m *machine) {
	m.mu.Lock()
	id := m.id
	m.mu.Unlock()
	s.say("%s falls over", id)
	m.die()
	s.list(m, "gone")
}

// Begin times the scenario's faults from now on.
func (s *Site) Begin() {
	s.mu.Lock()
	s.start = time.Now()
	s.mu.Unlock()
	for i := range s.sc.Faults {
		f := &s.sc.Faults[i]
		s.timers.after(sec(f.AtS), func() { s.spawn(func() { s.fault(f) }) })
	}
}

// meant are the machines that a fault is for.
func (s *Site) meant(f *FaultSpec) (list []*machine) {
	for _, m := range s.machines {
		m.mu.Lock()
		id := m.id
		m.mu.Unlock()
		if len(f.Nodes) == 0 || slices.ContainsFunc(f.Nodes, func(name string) bool { return slices.Contains(s.sc.match(name), id) }) {
			list = append(list, m)
		}
	}
	return list
}

// hand is how a fault ends that a call began.
type hand struct {
	mu   sync.Mutex
	ends []func()
}

// Harm begins a fault now. The function that comes back ends it, where it is one that ends; AtS and ForS say nothing.
func (s *Site) Harm(f FaultSpec) (end func(), err error) {
	f.AtS, f.ForS, f.byHand = 0, 0, &hand{}
	sc := *s.sc
	sc.Faults = []FaultSpec{f}
	if err := sc.checkFaults(); err != nil {
		return nil, err
	}
	f = sc.Faults[0]
	s.fault(&f)
	return func() {
		f.byHand.mu.Lock()
		defer f.byHand.mu.Unlock()
		for _, end := range f.byHand.ends {
			end()
		}
		f.byHand.ends = nil
	}, nil
}

// ending runs f when a fault is over, if it ends at all.
func (s *Site) ending(f *FaultSpec, end func()) {
	if f.byHand != nil {
		f.byHand.mu.Lock()
		defer f.byHand.mu.Unlock()
		f.byHand.ends = append(f.byHand.ends, end)
		return
	}
	if f.ForS > 0 {
		s.timers.after(sec(f.ForS), end)
	}
}

func (s *Site) fault(f *FaultSpec) {
	s.say("%s %v (size %v)", f.What, f.Nodes, f.Size)
	s.ending(f, func() { s.say("%s ends", f.What) })
	switch f.What {
	case "discovery_stale":
		s.mu.Lock()
		s.stale += f.Size
		s.mu.Unlock()
		s.ending(f, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.stale -= f.Size
		})
		return
	case "discovery_down":
		for _, r := range s.registers {
			r.setDown(true)
		}
		s.ending(f, func() {
			for _, r := range s.registers {
				r.setDown(false)
			}
		})
		return
	case "discovery_moves":
		for _, r := range s.registers {
			if _, err := r.move(); err != nil {
				s.fail(err)
				return
			}
			select {
			case s.moved <- r.agent:
			default:
			}
		}
		return
	}
	for _, m := range s.meant(f) {
		s.faultOf(f, m)
	}
}

// faultOf is what a fault does to one machine.
func (s *Site) faultOf(f *FaultSpec, m *machine) {
	set := func(g func()) {
		m.mu.Lock()
		defer m.mu.Unlock()
		g()
	}
	switch f.What {
	case "silent":
		set(func() { m.silent = true })
		s.ending(f, func() {
			set(func() {
				m.silent = false
				for nc := range m.conns { // reset when it is back
					reset(nc)
				}
			})
		})
	case "cut":
		who := map[string]bool{}
		for _, name := range f.Agents {
			for _, i := range s.sc.agents(name) {
				who[s.agentName(i)] = true
			}
		}
		if len(f.Agents) == 0 {
			for i := range s.sc.Agents {
				who[s.agentName(i)] = true
			}
		}
		set(func() {
			for agent := range who {
				m.cut[agent]++
			}
		})
		s.ending(f, func() {
			set(func() {
				for agent := range who {
					m.cut[agent]--
				}
				for nc, agent := range m.conns {
					if who[agent] {
						reset(nc)
					}
				}
			})
		})
	case "drain":
		// It goes on with what it gets until all agents must have heard of it.
		lag := ms(s.sc.Discovery.DelayMs[1]+s.sc.Rules.DrainGraceMs) + sec(s.stale)
		set(func() { m.draining = time.Now().Add(lag) })
		s.list(m, "draining")
		s.ending(f, func() {
			set(func() { m.draining = time.Time{} })
			s.list(m, "ready")
		})
	case "gone":
		m.die()
		s.list(m, "gone")
		s.ending(f, func() { s.spawn(func() { s.again(m, m.id) }) })
	case "restart":
		m.die()
		s.timers.after(sec(f.Size), func() { s.spawn(func() { s.again(m, m.id) }) })
	case "replace":
		s.list(m, "gone")
		m.die()
		s.mu.Lock()
		s.replaced++
		id := fmt.Sprintf("%s.%d", m.id, s.replaced)
		s.mu.Unlock()
		s.timers.after(sec(f.Size), func() { s.spawn(func() { s.again(m, id) }) })
	default:
		// What is in work goes on at its new speed.
		change := func(g func()) {
			set(func() {
				now := time.Now()
				m.progress(now)
				g()
				m.ahead(now)
			})
		}
		change(func() { m.faults[f.What] = f.Size })
		s.ending(f, func() { change(func() { delete(m.faults, f.What) }) })
	}
}

// again starts a machine's process cold.
func (s *Site) again(m *machine, id string) {
	if s.ctx.Err() != nil {
		return
	}
	if err := m.start(id, time.Now()); err != nil {
		s.fail(err)
		return
	}
	s.say("%s starts cold", id)
	s.list(m, "ready")
}

// Config is one agent's configuration, as DEPLOY describes it.
func (s *Site) Config(agent int, listen string) ([]byte, error) {
	r := s.registers[agent]
	r.mu.Lock()
	known, addr := r.whole(), r.addr
	r.mu.Unlock()
	h := fnv.New64a()
	fmt.Fprintf(h, "agent %d %d %d", s.sc.Seed, agent, time.Now().UnixNano())
	return json.MarshalIndent(map[string]any{
		"name": r.agent, "listen": listen, "discovery": addr, "seed": fmt.Sprintf("%016x", h.Sum64()),
		"limits": map[string]any{"cores": 1, "memory_mb": s.sc.Limits.MemoryMB, "sockets": s.sc.Limits.Sockets},
		"known":  known, "settings": s.settings(agent),
	}, "", " ")
}

// settings are an agent's, in the wire's names.
func (s *Site) settings(agent int) map[string]any {
	sc := s.sc
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

// Capacity is the work that the site does in a second when all is well, in requests of the classes
// in the shares given.
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

// timers are functions that are due at a time, and that all end together.
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

// stop drops what is pending and waits for what runs.
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
