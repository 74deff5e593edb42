package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"lemonrail/internal/ledger"
	"lemonrail/internal/load"
	"lemonrail/internal/standin"
)

// Shrink is an experiment in which most agents of a fleet are killed and their clients move to the remaining
// ones.
type Shrink struct {
	Program  string        // path of the agent's program
	Dir      string        // directory for configurations, folders and logs; must exist
	Members  string        // text of the agents' members file; empty: no membership
	Agents   int           // number of agents at the start
	Left     int           // number of agents after the kill
	Share    float64       // load as a share of the site's capacity without faults, constant over the run
	Before   time.Duration // duration of the run before the kill
	After    time.Duration // duration of the run after the kill
	Seed     uint64
	Progress io.Writer // receives lines on the progress
}

// ShrinkWindow counts the requests that were due within one second of a Shrink.
type ShrinkWindow struct {
	Asked   int `json:"asked"`   // requests that were due
	InTime  int `json:"in_time"` // served within the aim
	Late    int `json:"late"`    // served after the aim
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// ShrinkResult is the result of a Shrink.
type ShrinkResult struct {
	Before   []ShrinkWindow `json:"before"`     // by second before the kill
	After    []ShrinkWindow `json:"after"`      // by second after the kill
	Held     bool           `json:"rules_held"` // whether no rule of the ledger was broken
	Verdict  string         `json:"verdict"`
	Living   int            `json:"living"`    // members that a remaining agent counts as living at the end; 0: it has no view
	Sum      ShrinkWindow   `json:"sum_after"` // sum of After
	RatePerS float64        `json:"rate_per_s"`
}

const shrinkSite = `
seed = %d
seconds = 600
sites = ["a", "b"]
agents = %d
[rules]
ramp_ms = 4000
[allow]
attempts = 4
retry_after = true
peers = true
[report]
fields = ["latency_ms", "queue", "inflight"]
[[class]]
name = "read"
effect = "safe"
work_ms = 20
cv = 0.7
aim_ms = 300
deadline_ms = 600
[[class]]
name = "sub"
effect = "keyed"
group = "all"
window_ms = 2000
work_ms = 20
cv = 0.7
aim_ms = 400
deadline_ms = 800
[[kind]]
name = "plain"
cores = 2
queue = 16
conns = 200
handshake_ms = 0.5
[[node]]
name = "s"
kind = "plain"
site = "a"
count = 6
[[node]]
name = "t"
kind = "plain"
site = "b"
count = 6
[[fault]]
what = "restart"
at_s = %g
nodes = ["s-1", "s-2", "t-1"]
size = 0.5
`

// Run starts the fleet, plays load, kills all but o.Left agents, moves the load to these, and returns the results by second.
func (o Shrink) Run(ctx context.Context) (out *ShrinkResult, err error) {
	if o.Left < 1 || o.Left >= o.Agents || o.Agents > MaxAgents {
		return nil, fmt.Errorf("cluster: %d of %d agents left: at least 1 must stay and at least 1 be killed", o.Left, o.Agents)
	}
	// Three nodes restart cold two seconds after the kill.
	sc, err := standin.ParseScenario("the rig's site", fmt.Appendf(nil, shrinkSite, o.Seed, o.Agents, o.Before.Seconds()+3))
	if err != nil {
		return nil, err
	}
	l := ledger.New(standin.LedgerRules(sc))
	c, err := Open(Options{Program: o.Program, Dir: o.Dir, Scenario: sc, Members: o.Members, Seed: o.Seed, Observer: l})
	if err != nil {
		return nil, err
	}
	closed := false
	defer func() {
		if !closed {
			err = errors.Join(err, c.Close())
		}
	}()
	if err := c.StartAll(30 * time.Second); err != nil {
		return nil, err
	}
	if o.Members != "" {
		if err := c.Until(30*time.Second, c.Agree); err != nil {
			return nil, err
		}
	}
	rate := o.Share * c.Site.Capacity(map[string]float64{"read": 0.6, "sub": 0.4})
	out = &ShrinkResult{RatePerS: rate}
	c.Site.Begin()
	fmt.Fprintf(o.Progress, "%d agents, %.0f requests a second for %v\n", o.Agents, rate, o.Before)
	if out.Before, err = c.playWindows(ctx, l, c.Agents, rate, o.Before, o.Seed); err != nil {
		return out, err
	}
	var killing sync.WaitGroup
	for _, a := range c.Agents[o.Left:] {
		killing.Go(func() { a.Kill() })
	}
	killing.Wait()
	fmt.Fprintf(o.Progress, "%d are killed; the same for %v\n", o.Agents-o.Left, o.After)
	if out.After, err = c.playWindows(ctx, l, c.Agents[:o.Left], rate, o.After, o.Seed+1); err != nil {
		return out, err
	}
	if r, err := c.Agents[0].Members(); err == nil {
		out.Living = r.Living
	}
	closed = true
	err = c.Close()
	v := l.Verdict()
	out.Held, out.Verdict = v.Held(), v.String()
	for _, w := range out.After {
		out.Sum.Asked += w.Asked
		out.Sum.InTime += w.InTime
		out.Sum.Late += w.Late
		out.Sum.Refused += w.Refused
		out.Sum.Failed += w.Failed
	}
	return out, err
}

// playWindows plays requests at the given rate to agents in an open loop for span, and counts their results by the second in which
// they were due.
func (c *Cluster) playWindows(ctx context.Context, l *ledger.Ledger, agents []*Agent, rate float64, span time.Duration, seed uint64) (ws []ShrinkWindow, err error) {
	var begun time.Time
	err = c.playRequests(ctx, l, agents, rate, span, seed, func(s *load.Sample) {
		if begun.IsZero() {
			begun = s.Due
		}
		i := int(max(0, s.Due.Sub(begun)) / time.Second)
		for len(ws) <= i {
			ws = append(ws, ShrinkWindow{})
		}
		w := &ws[i]
		w.Asked++
		switch {
		case s.Outcome == load.Served && s.Ended.Sub(s.Due) <= classOf(s).aim:
			w.InTime++
		case s.Outcome == load.Served:
			w.Late++
		case s.Outcome == load.Refused:
			w.Refused++
		default:
			w.Failed++
		}
	})
	return ws, err
}
