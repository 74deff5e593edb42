// Package standin simulates a site as PROTOCOL describes it: nodes, discovery and their faults, on loopback
// addresses. It serves tests, trials and load generation; it models no real machine.
//
// A Scenario (TOML) describes the site and schedules its faults. Open starts the site, Config returns each
// agent's configuration, and an Observer (internal/ledger) is notified of all events. Each node and discovery
// listen on a separate address for each agent, which identifies the agent that sent a request or received a
// list.
//
// All random choices come from the scenario's seed: the faults that the nth attempt at a node meets, its work,
// and the delay of the nth change. Timing depends on the machine.
//
// Connections are bounded by the conns of a machine's kind, waiting requests by its queue, changes of the list by the
// scenario's faults, and headers and bodies by PROTOCOL's limits. Close ends everything and waits for it.
package standin

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"lemonrail/internal/strict"
)

// Scenario describes a site and its faults.
type Scenario struct {
	Name    string   `toml:"name"`
	Seed    uint64   `toml:"seed"`
	Seconds float64  `toml:"seconds"` // intended duration of a run
	Sites   []string `toml:"sites"`   // data centres
	Agents  int      `toml:"agents"`  // number of agents; agent n is in site n modulo the number of sites

	Limits struct {
		MemoryMB int `toml:"memory_mb"` // memory that an agent may use
		Sockets  int `toml:"sockets"`   // descriptors that an agent may use
	} `toml:"limits"`
	Rules struct {
		DrainGraceMs  float64 `toml:"drain_grace_ms"`  // time for which an agent may still send to a node that it knows to be draining
		AnswerGraceMs float64 `toml:"answer_grace_ms"` // time after a request's deadline in which an answer still counts
		ColdShare     float64 `toml:"cold_share"`      // share of its capacity with which a process starts
		RampMs        float64 `toml:"ramp_ms"`         // time until a started process has its full capacity
		FallMultiple  float64 `toml:"fall_multiple"`   // a cold node fails if it gets more than this multiple of its capacity ...
		FallMs        float64 `toml:"fall_ms"`         // ... within this time
		SlackMs       float64 `toml:"slack_ms"`        // tolerance on the observer's time limits; increase it on a slow machine
	} `toml:"rules"`
	Allow struct {
		Attempts        int     `toml:"attempts"`    // maximum number of attempts per request
		RetryAfter      bool    `toml:"retry_after"` // an agent may send Retry-After with a refusal
		MaxRetryAfterMs float64 `toml:"max_retry_after_ms"`
		ConnectMs       float64 `toml:"connect_ms"`    // time limit for connecting to a node
		IdleCloseMs     float64 `toml:"idle_close_ms"` // idle time after which a node closes a connection
		SecondCopies    bool    `toml:"second_copies"` // an agent may send a second copy of a request before the first is answered
		Peers           bool    `toml:"peers"`         // agents may send messages to each other
	} `toml:"allow"`
	Discovery struct {
		DelayMs     [2]float64 `toml:"delay_ms"`     // minimum and maximum delay of a change, drawn per agent
		HeartbeatMs float64    `toml:"heartbeat_ms"` // interval of the heartbeats of a watch
	} `toml:"discovery"`
	Report struct {
		Fields    []string `toml:"fields"`     // fields of nodes' load reports, of latency_ms, qps, queue, inflight, util; empty: no reports
		RefreshMs float64  `toml:"refresh_ms"` // age from which a load report is computed again
	} `toml:"report"`
	Classes []ClassSpec `toml:"class"`
	Kinds   []KindSpec  `toml:"kind"`
	Nodes   []NodeSpec  `toml:"node"`
	Faults  []FaultSpec `toml:"fault"`
}

// ClassSpec describes a class of requests.
type ClassSpec struct {
	Name       string  `toml:"name"`
	Effect     string  `toml:"effect"`      // kind of effect: safe, keyed, unsafe
	Group      string  `toml:"group"`       // which nodes drop repeats of a keyed request: all, zone, cell
	WindowMs   float64 `toml:"window_ms"`   // time for which nodes remember a key
	AimMs      float64 `toml:"aim_ms"`      // time within which an answer earns Worth, later ones LateWorth
	DeadlineMs float64 `toml:"deadline_ms"` // time that the client waits for the answer
	Worth      float64 `toml:"worth"`
	LateWorth  float64 `toml:"late_worth"`
	WorkMs     float64 `toml:"work_ms"` // mean, on a core of speed 1
	CV         float64 `toml:"cv"`      // coefficient of variation of the lognormal distribution; 0: always the mean
}

// KindSpec describes a kind of machine.
type KindSpec struct {
	Name        string  `toml:"name"`
	Cores       int     `toml:"cores"`
	Speed       float64 `toml:"speed"`        // work that a core does per second; 1: normal
	Slots       int     `toml:"slots"`        // requests worked on at a time, sharing the cores evenly; 0: number of cores
	Queue       int     `toml:"queue"`        // maximum number of requests waiting for a slot
	Conns       int     `toml:"conns"`        // maximum number of open connections
	HandshakeMs float64 `toml:"handshake_ms"` // additional work of the first request on a connection
}

// NodeSpec describes one node, or several equal ones.
type NodeSpec struct {
	Name  string `toml:"name"`
	Site  string `toml:"site"`  // data centre, one of Scenario.Sites
	Kind  string `toml:"kind"`  // name of a KindSpec
	Block int    `toml:"block"` // number of the node's cell
	Count int    `toml:"count"` // 0: 1; several are named NAME-1, NAME-2 ...
}

// FaultSpec describes a fault.
type FaultSpec struct {
	What   string   `toml:"what"`   // key of Faults
	AtS    float64  `toml:"at_s"`   // time of its beginning, since Begin
	ForS   float64  `toml:"for_s"`  // duration; 0: to the end of the run
	Nodes  []string `toml:"nodes"`  // nodes that it applies to, by name or by the name of several (NodeSpec); empty: all
	Agents []string `toml:"agents"` // cut only: agents cut off, by name or as site:NAME; empty: all
	Size   float64  `toml:"size"`   // meaning depends on What; see Faults

	manualEnd *manualEnd // ends a fault that BeginFault began; nil: the fault ends by ForS
}

// Faults describes the faults that a scenario can schedule and the meaning of their size.
var Faults = map[string]string{
	"fail_fast":         "share of requests that a node answers 500 at once",
	"slow":              "factor by which the node is slower",
	"silent":            "the machine sends nothing: connections stay open, new ones get no answer",
	"cut":               "the node sends nothing to some agents: their connections stay open, new ones get no answer",
	"reset_before":      "share of requests whose connection is reset before their last byte is read",
	"reset_after":       "share of requests whose connection is reset after their last byte is read",
	"spoilt":            "share of answers that cannot be parsed",
	"drain":             "the node is listed as draining and rejects new work after the drain grace",
	"gone":              "the process dies and the node is listed as gone",
	"restart":           "the process dies and starts again, cold, after size seconds",
	"replace":           "the process dies; another one with a new id starts cold at the same address after size seconds",
	"discovery_stale":   "additional delay of each change, in seconds",
	"discovery_down":    "discovery answers 503 and ends its watches",
	"discovery_moves":   "discovery moves to another address, which the agents' new configuration names",
	"report_unreadable": "share of load reports that cannot be parsed",
	"stale":             "ms of idle time after which a kept connection is reset at the next request",
}

// ReadScenario reads and checks a scenario file.
func ReadScenario(path string) (*Scenario, error) {
	var s Scenario
	if err := strict.DecodeFile(path, &s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &s, nil
}

// ParseScenario decodes and checks a scenario; name is the file name in errors.
func ParseScenario(name string, raw []byte) (*Scenario, error) {
	var s Scenario
	if err := strict.Decode(name, raw, &s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &s, nil
}

// setDefault sets *v to def if it is 0.
func setDefault(v *float64, def float64) {
	if *v == 0 {
		*v = def
	}
}

// Check fills in defaults and checks a scenario that was decoded as part of another document.
func (s *Scenario) Check() error { return s.check() }

// check fills in defaults and returns an error about the first invalid value.
func (s *Scenario) check() error {
	setDefault(&s.Seconds, 30)
	setDefault(&s.Rules.DrainGraceMs, 500)
	setDefault(&s.Rules.AnswerGraceMs, 20)
	setDefault(&s.Rules.ColdShare, 0.32)
	setDefault(&s.Rules.RampMs, 7800)
	setDefault(&s.Rules.FallMultiple, 3)
	setDefault(&s.Rules.FallMs, 1500)
	setDefault(&s.Rules.SlackMs, 50)
	setDefault(&s.Allow.MaxRetryAfterMs, 750)
	setDefault(&s.Allow.ConnectMs, 150)
	setDefault(&s.Allow.IdleCloseMs, 10000)
	setDefault(&s.Discovery.HeartbeatMs, 2000)
	setDefault(&s.Report.RefreshMs, 450)
	if s.Allow.Attempts == 0 {
		s.Allow.Attempts = 5
	}
	if s.Agents == 0 {
		s.Agents = 1
	}
	if len(s.Sites) == 0 {
		s.Sites = []string{"a"}
	}
	if s.Limits.Sockets == 0 {
		s.Limits.Sockets = 1024
	}
	if s.Limits.MemoryMB == 0 {
		s.Limits.MemoryMB = 64
	}
	for key, v := range map[string]float64{"seconds": s.Seconds, "rules.drain_grace_ms": s.Rules.DrainGraceMs, "rules.answer_grace_ms": s.Rules.AnswerGraceMs,
		"rules.ramp_ms": s.Rules.RampMs, "rules.fall_multiple": s.Rules.FallMultiple, "rules.fall_ms": s.Rules.FallMs, "rules.slack_ms": s.Rules.SlackMs,
		"allow.max_retry_after_ms": s.Allow.MaxRetryAfterMs, "allow.connect_ms": s.Allow.ConnectMs, "allow.idle_close_ms": s.Allow.IdleCloseMs,
		"discovery.delay_ms": s.Discovery.DelayMs[0], "discovery.heartbeat_ms": s.Discovery.HeartbeatMs, "report.refresh_ms": s.Report.RefreshMs} {
		if !(v >= 0) || v > 1e7 {
			return fmt.Errorf("%s: %v is not within 0 and 1e7", key, v)
		}
	}
	switch {
	case s.Rules.ColdShare > 1 || !(s.Rules.ColdShare > 0):
		return fmt.Errorf("rules.cold_share: %v is not within 0 and 1", s.Rules.ColdShare)
	case s.Agents < 1 || s.Agents > 256:
		return fmt.Errorf("agents: %d is not within 1 and 256", s.Agents)
	case s.Discovery.DelayMs[1] < s.Discovery.DelayMs[0]:
		return fmt.Errorf("discovery.delay_ms: the second must not be shorter than the first")
	case s.Limits.Sockets < 64:
		return fmt.Errorf("limits.sockets: %d is below the minimum of 64", s.Limits.Sockets)
	case len(s.Classes) == 0:
		return fmt.Errorf("class: at least one is required")
	case len(s.Nodes) == 0:
		return fmt.Errorf("node: at least one is required")
	}
	for i, f := range s.Report.Fields {
		if !slices.Contains([]string{"latency_ms", "qps", "queue", "inflight", "util"}, f) {
			return fmt.Errorf("report.fields[%d]: %q is unknown", i, f)
		}
	}
	if err := s.checkClasses(); err != nil {
		return err
	}
	if err := s.checkNodes(); err != nil {
		return err
	}
	return s.checkFaults()
}

func (s *Scenario) checkClasses() error {
	for i := range s.Classes {
		c, at := &s.Classes[i], fmt.Sprintf("class %d (%s): ", i+1, s.Classes[i].Name)
		if c.Effect == "" {
			c.Effect = "safe"
		}
		if c.Group == "" {
			c.Group = "all"
		}
		setDefault(&c.DeadlineMs, 1000)
		setDefault(&c.AimMs, c.DeadlineMs/2)
		setDefault(&c.Worth, 1)
		setDefault(&c.WorkMs, 10)
		if c.Effect == "keyed" {
			setDefault(&c.WindowMs, 1000)
		}
		switch {
		case c.Name == "":
			return fmt.Errorf("%sname: missing", at)
		case !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect):
			return fmt.Errorf("%seffect: %q is not one of safe, keyed, unsafe", at, c.Effect)
		case !slices.Contains([]string{"all", "zone", "cell"}, c.Group):
			return fmt.Errorf("%sgroup: %q is not one of all, zone, cell", at, c.Group)
		}
		for key, v := range map[string]float64{"window_ms": c.WindowMs, "aim_ms": c.AimMs, "deadline_ms": c.DeadlineMs, "worth": c.Worth,
			"late_worth": c.LateWorth, "work_ms": c.WorkMs, "cv": c.CV} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return fmt.Errorf("%s%s: %v is not a finite number of 0 or more", at, key, v)
			}
		}
	}
	return nil
}

func (s *Scenario) checkNodes() error {
	for i := range s.Kinds {
		k, at := &s.Kinds[i], fmt.Sprintf("kind %d (%s): ", i+1, s.Kinds[i].Name)
		setDefault(&k.Speed, 1)
		if k.Cores == 0 {
			k.Cores = 4
		}
		if k.Slots == 0 {
			k.Slots = k.Cores
		}
		if k.Queue == 0 {
			k.Queue = 20 * k.Cores
		}
		if k.Conns == 0 {
			k.Conns = 4096
		}
		switch {
		case k.Name == "":
			return fmt.Errorf("%sname: missing", at)
		case k.Cores < 1 || k.Cores > 1024:
			return fmt.Errorf("%scores: %d is not within 1 and 1024", at, k.Cores)
		case k.Slots < k.Cores || k.Slots > 1<<14:
			return fmt.Errorf("%sslots: %d is not within the number of cores and 16384", at, k.Slots)
		case !(k.Speed > 0) || math.IsInf(k.Speed, 0):
			return fmt.Errorf("%sspeed: %v is not a finite number above 0", at, k.Speed)
		case k.Queue < 0 || k.Conns < 1 || !(k.HandshakeMs >= 0):
			return fmt.Errorf("%squeue or handshake_ms is negative, or conns is below 1", at)
		}
	}
	names := map[string]bool{}
	for i := range s.Nodes {
		n, at := &s.Nodes[i], fmt.Sprintf("node %d (%s): ", i+1, s.Nodes[i].Name)
		if n.Count == 0 {
			n.Count = 1
		}
		if n.Site == "" {
			n.Site = s.Sites[0]
		}
		switch {
		case n.Name == "" || names[n.Name]:
			return fmt.Errorf("%sname: missing or duplicate", at)
		case !slices.Contains(s.Sites, n.Site):
			return fmt.Errorf("%ssite: %q is not one of %v", at, n.Site, s.Sites)
		case !slices.ContainsFunc(s.Kinds, func(k KindSpec) bool { return k.Name == n.Kind }):
			return fmt.Errorf("%skind: %q is not defined", at, n.Kind)
		case n.Count < 1 || n.Count > 1000:
			return fmt.Errorf("%scount: %d is not within 1 and 1000", at, n.Count)
		}
		names[n.Name] = true
	}
	return nil
}

func (s *Scenario) checkFaults() error {
	for i := range s.Faults {
		f, at := &s.Faults[i], fmt.Sprintf("fault %d (%s): ", i+1, s.Faults[i].What)
		if _, known := Faults[f.What]; !known {
			return fmt.Errorf("%swhat: unknown", at)
		}
		if !(f.AtS >= 0) || !(f.ForS >= 0) || f.AtS > 1e6 || f.ForS > 1e6 {
			return fmt.Errorf("%sat_s and for_s: %v, %v are not within 0 and 1e6", at, f.AtS, f.ForS)
		}
		switch f.What {
		case "fail_fast", "reset_before", "reset_after", "spoilt", "report_unreadable":
			setDefault(&f.Size, 1)
			if !(f.Size > 0 && f.Size <= 1) {
				return fmt.Errorf("%ssize: %v is not above 0 and at most 1", at, f.Size)
			}
		case "stale":
			setDefault(&f.Size, 50)
			if !(f.Size > 0) || f.Size > 1e7 {
				return fmt.Errorf("%ssize: %v ms is not above 0 and at most 1e7", at, f.Size)
			}
		case "slow":
			if !(f.Size >= 1) || math.IsInf(f.Size, 0) {
				return fmt.Errorf("%ssize: %v is not a finite number of 1 or more", at, f.Size)
			}
		case "restart", "replace", "discovery_stale":
			setDefault(&f.Size, 1)
			if !(f.Size >= 0) || f.Size > 1e5 {
				return fmt.Errorf("%ssize: %v s is not within 0 and 1e5", at, f.Size)
			}
		}
		if len(f.Agents) > 0 && f.What != "cut" {
			return fmt.Errorf("%sagents: only valid for cut", at)
		}
		for _, name := range f.Agents {
			if len(s.agentsNamed(name)) == 0 {
				return fmt.Errorf("%sagents: %q names no agent", at, name)
			}
		}
		for _, name := range f.Nodes {
			if len(s.nodesNamed(name)) == 0 {
				return fmt.Errorf("%snodes: %q names no node", at, name)
			}
		}
	}
	return nil
}

// nodesNamed returns the names of the single nodes that a name in a fault stands for.
func (s *Scenario) nodesNamed(name string) (list []string) {
	for _, n := range s.Nodes {
		for _, one := range n.names() {
			if one == name || n.Name == name {
				list = append(list, one)
			}
		}
	}
	return list
}

// agentsNamed returns the numbers of the agents that a name in a fault stands for: n0 and so on, or site:NAME.
func (s *Scenario) agentsNamed(name string) (list []int) {
	site, ofSite := strings.CutPrefix(name, "site:")
	for i := range s.Agents {
		if ofSite && s.Sites[i%len(s.Sites)] == site || name == fmt.Sprintf("n%d", i) {
			list = append(list, i)
		}
	}
	return list
}

func (n *NodeSpec) names() []string {
	if n.Count == 1 {
		return []string{n.Name}
	}
	var list []string
	for i := range n.Count {
		list = append(list, fmt.Sprintf("%s-%d", n.Name, i+1))
	}
	return list
}

func ms(v float64) time.Duration  { return time.Duration(v * float64(time.Millisecond)) }
func sec(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
