// Package standin is a site of stand-ins after PROTOCOL: nodes, discovery and what goes wrong with
// them, on loopback addresses. It is there for tests, for trying lemonrail out, and for playing
// load against; it models no real machine.
//
// A Scenario (TOML) describes the site and times its faults. Open starts it; Configs gives the
// agents' configurations; an observer (internal/ledger) is told all that happens. Each node
// listens on an address of its own for each agent, and discovery does too, so that it shows
// which agent sent what and was told what.
//
// All choices come from the scenario's seed: what the nth attempt at a node meets, the work of it,
// the delay of the nth change. The times at which things happen are the machine's own.
//
// Bounds: connections by the kind's conns, waiting requests by its queue, changes of the list by
// the scenario's faults, bodies and heads by PROTOCOL's. Close ends everything and waits for it.
package standin

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"lemonrail/internal/strict"
)

// Scenario is a site and what goes wrong with it.
type Scenario struct {
	Name    string   `toml:"name"`
	Seed    uint64   `toml:"seed"`
	Seconds float64  `toml:"seconds"` // how long it is meant to run
	Sites   []string `toml:"sites"`   // data centres
	Agents  int      `toml:"agents"`  // the nth is in site n modulo their number

	Limits struct {
		MemoryMB int `toml:"memory_mb"`
		Sockets  int `toml:"sockets"`
	} `toml:"limits"`
	Rules struct {
		DrainGraceMs  float64 `toml:"drain_grace_ms"`
		AnswerGraceMs float64 `toml:"answer_grace_ms"`
		ColdShare     float64 `toml:"cold_share"`
		RampMs        float64 `toml:"ramp_ms"`
		FallMultiple  float64 `toml:"fall_multiple"`
		FallMs        float64 `toml:"fall_ms"`
		SlackMs       float64 `toml:"slack_ms"` // by which the observer's limits are longer; more on a slow machine
	} `toml:"rules"`
	Allow struct {
		Attempts        int     `toml:"attempts"`
		RetryAfter      bool    `toml:"retry_after"`
		MaxRetryAfterMs float64 `toml:"max_retry_after_ms"`
		ConnectMs       float64 `toml:"connect_ms"`
		IdleCloseMs     float64 `toml:"idle_close_ms"`
		SecondCopies    bool    `toml:"second_copies"`
		Peers           bool    `toml:"peers"`
	} `toml:"allow"`
	Discovery struct {
		DelayMs     [2]float64 `toml:"delay_ms"` // after which a change is told, drawn for each agent
		HeartbeatMs float64    `toml:"heartbeat_ms"`
	} `toml:"discovery"`
	Report struct {
		Fields    []string `toml:"fields"` // of latency_ms, qps, queue, inflight, util
		RefreshMs float64  `toml:"refresh_ms"`
	} `toml:"report"`
	Classes []ClassSpec `toml:"class"`
	Kinds   []KindSpec  `toml:"kind"`
	Nodes   []NodeSpec  `toml:"node"`
	Faults  []FaultSpec `toml:"fault"`
}

// ClassSpec is a class of requests.
type ClassSpec struct {
	Name       string  `toml:"name"`
	Effect     string  `toml:"effect"` // safe, keyed, unsafe
	Group      string  `toml:"group"`  // of keyed: all, zone, cell
	WindowMs   float64 `toml:"window_ms"`
	AimMs      float64 `toml:"aim_ms"`
	DeadlineMs float64 `toml:"deadline_ms"`
	Worth      float64 `toml:"worth"`
	LateWorth  float64 `toml:"late_worth"`
	WorkMs     float64 `toml:"work_ms"` // mean, on a core of speed 1
	CV         float64 `toml:"cv"`      // of its lognormal distribution; 0: always the mean
}

// KindSpec is a kind of machine.
type KindSpec struct {
	Name        string  `toml:"name"`
	Cores       int     `toml:"cores"`
	Speed       float64 `toml:"speed"`
	Slots       int     `toml:"slots"`        // requests in work at a time, which share the cores evenly; 0: as many as cores
	Queue       int     `toml:"queue"`        // requests that wait beyond those in work
	Conns       int     `toml:"conns"`        // open connections it accepts
	HandshakeMs float64 `toml:"handshake_ms"` // work of a new connection
}

// NodeSpec is one node, or several alike.
type NodeSpec struct {
	Name  string `toml:"name"`
	Site  string `toml:"site"`
	Kind  string `toml:"kind"`
	Block int    `toml:"block"`
	Count int    `toml:"count"` // 0: 1; several are named NAME-1, NAME-2 ...
}

// FaultSpec is something that goes wrong.
type FaultSpec struct {
	What   string   `toml:"what"`
	AtS    float64  `toml:"at_s"`
	ForS   float64  `toml:"for_s"`  // 0: to the end
	Nodes  []string `toml:"nodes"`  // none: all
	Agents []string `toml:"agents"` // of cut: who is cut off, by name or as site:NAME; none: all
	Size   float64  `toml:"size"`   // what it means depends on what; see Faults

	byHand *hand // ended by a call, not by its time
}

// Faults are those that a scenario can time, and what their size means.
var Faults = map[string]string{
	"fail_fast":         "share of requests that a node answers 500 at once",
	"slow":              "how many times slower it works",
	"silent":            "the machine says nothing more: connections stay open, new ones bring nothing",
	"cut":               "it says nothing to some agents: their connections stay open, new ones bring nothing",
	"reset_before":      "share of connections that it resets before a request's last byte is read",
	"reset_after":       "share of requests after whose last byte it resets the connection",
	"spoilt":            "share of answers that can't be read",
	"drain":             "it is listed as draining, and turns new work away after the drain grace",
	"gone":              "its process dies; it is listed as gone",
	"restart":           "its process dies and starts again cold after size seconds",
	"replace":           "its process dies; another, under a new id, starts cold at its address after size seconds",
	"discovery_stale":   "size seconds more until a change is told",
	"discovery_down":    "discovery answers nothing, and ends its watches",
	"discovery_moves":   "discovery closes its address; agents find it at another in their configuration",
	"report_unreadable": "share of load reports that can't be read",
	"stale":             "ms of rest after which it resets a kept connection at the next request",
}

// ReadScenario reads and checks a file.
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

// ParseScenario reads and checks a scenario's text.
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

func or(v *float64, def float64) {
	if *v == 0 {
		*v = def
	}
}

// Check fills in what was left out, for a scenario that was read as part of something else.
func (s *Scenario) Check() error { return s.check() }

// check fills in what was left out and names the first thing that makes no sense.
func (s *Scenario) check() error {
	or(&s.Seconds, 30)
	or(&s.Rules.DrainGraceMs, 500)
	or(&s.Rules.AnswerGraceMs, 20)
	or(&s.Rules.ColdShare, 0.32)
	or(&s.Rules.RampMs, 7800)
	or(&s.Rules.FallMultiple, 3)
	or(&s.Rules.FallMs, 1500)
	or(&s.Rules.SlackMs, 50)
	or(&s.Allow.MaxRetryAfterMs, 750)
	or(&s.Allow.ConnectMs, 150)
	or(&s.Allow.IdleCloseMs, 10000)
	or(&s.Discovery.HeartbeatMs, 2000)
	or(&s.Report.RefreshMs, 450)
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
			return fmt.Errorf("%s: %v makes no sense", key, v)
		}
	}
	switch {
	case s.Rules.ColdShare > 1 || !(s.Rules.ColdShare > 0):
		return fmt.Errorf("rules.cold_share: %v is not within 0 and 1", s.Rules.ColdShare)
	case s.Agents < 1 || s.Agents > 256:
		return fmt.Errorf("agents: %d is not within 1 and 256", s.Agents)
	case s.Discovery.DelayMs[1] < s.Discovery.DelayMs[0]:
		return fmt.Errorf("discovery.delay_ms: the second is the longer one")
	case s.Limits.Sockets < 64:
		return fmt.Errorf("limits.sockets: %d are too few, 64 needed", s.Limits.Sockets)
	case len(s.Classes) == 0:
		return fmt.Errorf("class: none")
	case len(s.Nodes) == 0:
		return fmt.Errorf("node: none")
	}
	for i, f := range s.Report.Fields {
		if !slices.Contains([]string{"latency_ms", "qps", "queue", "inflight", "util"}, f) {
			return fmt.Errorf("report.fields[%d]: %q is not known", i, f)
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
		or(&c.DeadlineMs, 1000)
		or(&c.AimMs, c.DeadlineMs/2)
		or(&c.Worth, 1)
		or(&c.WorkMs, 10)
		if c.Effect == "keyed" {
			or(&c.WindowMs, 1000)
		}
		switch {
		case c.Name == "":
			return fmt.Errorf("%sname: missing", at)
		case !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect):
			return fmt.Errorf("%seffect: %q is none of safe, keyed, unsafe", at, c.Effect)
		case !slices.Contains([]string{"all", "zone", "cell"}, c.Group):
			return fmt.Errorf("%sgroup: %q is none of all, zone, cell", at, c.Group)
		}
		for key, v := range map[string]float64{"window_ms": c.WindowMs, "aim_ms": c.AimMs, "deadline_ms": c.DeadlineMs, "worth": c.Worth,
			"late_worth": c.LateWorth, "work_ms": c.WorkMs, "cv": c.CV} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return fmt.Errorf("%s%s: %v makes no sense", at, key, v)
			}
		}
	}
	return nil
}

func (s *Scenario) checkNodes() error {
	for i := range s.Kinds {
		k, at := &s.Kinds[i], fmt.Sprintf("kind %d (%s): ", i+1, s.Kinds[i].Name)
		or(&k.Speed, 1)
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
			return fmt.Errorf("%scores: %d makes no sense", at, k.Cores)
		case k.Slots < k.Cores || k.Slots > 1<<14:
			return fmt.Errorf("%sslots: %d are fewer than its cores, or too many", at, k.Slots)
		case !(k.Speed > 0) || math.IsInf(k.Speed, 0):
			return fmt.Errorf("%sspeed: %v makes no sense", at, k.Speed)
		case k.Queue < 0 || k.Conns < 1 || !(k.HandshakeMs >= 0):
			return fmt.Errorf("%squeue, conns or handshake_ms make no sense", at)
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
			return fmt.Errorf("%sname: missing, or there twice", at)
		case !slices.Contains(s.Sites, n.Site):
			return fmt.Errorf("%ssite: %q is none of %v", at, n.Site, s.Sites)
		case !slices.ContainsFunc(s.Kinds, func(k KindSpec) bool { return k.Name == n.Kind }):
			return fmt.Errorf("%skind: %q is not described", at, n.Kind)
		case n.Count < 1 || n.Count > 1000:
			return fmt.Errorf("%scount: %d makes no sense", at, n.Count)
		}
		names[n.Name] = true
	}
	return nil
}

func (s *Scenario) checkFaults() error {
	for i := range s.Faults {
		f, at := &s.Faults[i], fmt.Sprintf("fault %d (%s): ", i+1, s.Faults[i].What)
		if _, known := Faults[f.What]; !known {
			return fmt.Errorf("%swhat: not known", at)
		}
		if !(f.AtS >= 0) || !(f.ForS >= 0) || f.AtS > 1e6 || f.ForS > 1e6 {
			return fmt.Errorf("%sat_s and for_s: %v, %v make no sense", at, f.AtS, f.ForS)
		}
		switch f.What {
		case "fail_fast", "reset_before", "reset_after", "spoilt", "report_unreadable":
			or(&f.Size, 1)
			if !(f.Size > 0 && f.Size <= 1) {
				return fmt.Errorf("%ssize: %v is no share", at, f.Size)
			}
		case "stale":
			or(&f.Size, 50)
			if !(f.Size > 0) || f.Size > 1e7 {
				return fmt.Errorf("%ssize: %v ms make no sense", at, f.Size)
			}
		case "slow":
			if !(f.Size >= 1) || math.IsInf(f.Size, 0) {
				return fmt.Errorf("%ssize: %v is not 1 or more", at, f.Size)
			}
		case "restart", "replace", "discovery_stale":
			or(&f.Size, 1)
			if !(f.Size >= 0) || f.Size > 1e5 {
				return fmt.Errorf("%ssize: %v s make no sense", at, f.Size)
			}
		}
		if len(f.Agents) > 0 && f.What != "cut" {
			return fmt.Errorf("%sagents: of cut alone", at)
		}
		for _, name := range f.Agents {
			if len(s.agents(name)) == 0 {
				return fmt.Errorf("%sagents: %q is none", at, name)
			}
		}
		for _, name := range f.Nodes {
			if len(s.match(name)) == 0 {
				return fmt.Errorf("%snodes: %q is none of the site's", at, name)
			}
		}
	}
	return nil
}

// match returns the names of the single nodes that a name in a fault means.
func (s *Scenario) match(name string) (list []string) {
	for _, n := range s.Nodes {
		for _, one := range n.names() {
			if one == name || n.Name == name {
				list = append(list, one)
			}
		}
	}
	return list
}

// agents are the numbers of those that a name in a fault means: n0 and so on, or site:NAME.
func (s *Scenario) agents(name string) (list []int) {
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
