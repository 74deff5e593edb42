package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"lemonrail/internal/cluster"
	"lemonrail/internal/scale"
	"lemonrail/internal/scale/calltree"
)

// shippedMembers is deploy/members.toml's protocol with a folder of each agent's own.
//
//go:embed files/scale-members.toml
var shippedMembers string

// scaleOutput is what all subcommands of scale share.
type scaleOutput struct {
	Seed  uint64        `default:"1" help:"Of what is left to chance."`
	Limit time.Duration `default:"20m" help:"Time that the run may take; it may also use half of the machine's memory and 200 processes."`
	JSON  bool          `name:"json" help:"Print one JSON object."`
	HTML  string        `name:"html" placeholder:"FILE" help:"Write a page with plots as well."`
}

// experiment is one of the runs of a subcommand.
type experiment func(ctx context.Context, say func(format string, args ...any)) ([]*scale.Series, error)

// run carries out experiments one after the other within the bounds, and prints what they measured.
func (o *scaleOutput) run(ctx context.Context, s streams, all ...experiment) error {
	bounds, err := scale.DefaultBounds(o.Limit)
	if err != nil {
		return err
	}
	ctx, release := bounds.Apply(ctx)
	defer release()
	say := func(format string, args ...any) { fmt.Fprintf(s.err, format+"\n", args...) }
	var series []*scale.Series
	for _, one := range all {
		more, err := one(ctx, say)
		if err != nil {
			return err
		}
		series = append(series, more...)
	}
	report := scale.NewReport("lemonctl "+strings.Join(os.Args[min(1, len(os.Args)):], " "), builtFrom(), o.Seed)
	report.Series = series
	if o.HTML != "" {
		if err := writeFile(o.HTML, func(w io.Writer) error { return report.Page(w) }); err != nil {
			return err
		}
	}
	if o.JSON {
		return printJSON(s.out, report)
	}
	return report.Text(s.out)
}

// builtFrom is the commit that this program was built from; empty where the build doesn't tell.
func builtFrom() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	commit, changed := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value[:min(7, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = ", changed since"
		}
	}
	return commit + changed
}

// sizes refuses those that make no sense.
func sizes(flag string, all []int, most int) error {
	for _, n := range all {
		if n < 1 || n > most {
			return fmt.Errorf("%s: %d is not within 1 and %d", flag, n, most)
		}
	}
	return nil
}

// inFolder runs an experiment that needs a folder of its own, and removes the folder.
func inFolder(run func(dir string) ([]*scale.Series, error)) (series []*scale.Series, err error) {
	dir, err := os.MkdirTemp("", "lemonctl-scale-")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	return run(dir)
}

type scaleProcessesCmd struct {
	scaleOutput
	Agent      string        `default:"bin/lemonrail" help:"The agent's program."`
	Agents     []int         `default:"1,15,30,60" help:"Fleets' sizes, with the longest list."`
	Listed     []int         `default:"8,100,225,450" help:"Lists' lengths, in backends."`
	ListAgents int           `default:"8" help:"Agents that the lists' lengths are measured with."`
	Rest       time.Duration `default:"15s" help:"Time that is measured without changes, and again with them."`
	Gap        time.Duration `default:"100ms" help:"Between two changes."`
}

func (c *scaleProcessesCmd) experiment(ctx context.Context, say func(string, ...any)) ([]*scale.Series, error) {
	if err := errors.Join(sizes("--agents", c.Agents, cluster.Most), sizes("--list-agents", []int{c.ListAgents}, cluster.Most), sizes("--listed", c.Listed, 10000)); err != nil {
		return nil, err
	}
	return inFolder(func(dir string) ([]*scale.Series, error) {
		return scale.ProcessRun{Program: c.Agent, Dir: dir, Members: shippedMembers, Agents: c.Agents, Listed: c.Listed, ListAgents: c.ListAgents,
			Rest: c.Rest, Gap: c.Gap, Say: say}.Run(ctx)
	})
}

func (c *scaleProcessesCmd) Run(ctx context.Context, s streams) error {
	return c.run(ctx, s, c.experiment)
}

type scaleHollowCmd struct {
	scaleOutput
	Only    []string      `default:"lists,list-bytes,members,duties" enum:"lists,list-bytes,members,duties" help:"Which control clients are run."`
	Agents  []int         `default:"100,225,450,2000" help:"Fleets' sizes."`
	Listed  int           `default:"450" help:"Backends in the list."`
	Lengths []int         `default:"8,100,225,450" help:"Lists' lengths for list-bytes."`
	Rate    float64       `default:"6000" help:"Bytes a second from discovery for list-bytes."`
	Rest    time.Duration `default:"10s" help:"Time that is measured without changes."`
	Changes int           `default:"20" help:"Changes of the list, one after the other."`
}

const mostHollow = 2500 // agents: each takes up to six descriptors

func (c *scaleHollowCmd) experiments() (all []experiment, err error) {
	if err := errors.Join(sizes("--agents", c.Agents, mostHollow), sizes("--listed", []int{c.Listed}, 10000), sizes("--lengths", c.Lengths, 10000)); err != nil {
		return nil, err
	}
	if !(c.Rate >= 100) {
		return nil, fmt.Errorf("--rate: %v is under 100", c.Rate)
	}
	for _, name := range c.Only {
		all = append(all, map[string]experiment{"lists": c.lists, "list-bytes": c.listBytes, "members": c.members, "duties": c.duties}[name])
	}
	return all, nil
}

func (c *scaleHollowCmd) lists(ctx context.Context, say func(string, ...any)) ([]*scale.Series, error) {
	return scale.HollowLists{Agents: c.Agents, Listed: c.Listed, Rest: c.Rest, Changes: c.Changes, Gap: 100 * time.Millisecond, Outage: 3 * time.Second, Say: say}.Run(ctx)
}

func (c *scaleHollowCmd) listBytes(ctx context.Context, say func(string, ...any)) ([]*scale.Series, error) {
	return scale.WholeList{Listed: c.Lengths, Rate: c.Rate, Patience: 30 * time.Second, Say: say}.Run(ctx)
}

func (c *scaleHollowCmd) members(ctx context.Context, say func(string, ...any)) ([]*scale.Series, error) {
	return scale.HollowMembers{Agents: c.Agents, Rest: c.Rest, Leaves: 5, Seed: c.Seed, Say: say}.Run(ctx)
}

func (c *scaleHollowCmd) duties(ctx context.Context, say func(string, ...any)) ([]*scale.Series, error) {
	return inFolder(func(dir string) ([]*scale.Series, error) {
		return scale.HollowDuties{Agents: c.Agents, Rest: c.Rest, Releases: 3, Dir: dir, Seed: c.Seed, Say: say}.Run(ctx)
	})
}

func (c *scaleHollowCmd) Run(ctx context.Context, s streams) error {
	all, err := c.experiments()
	if err != nil {
		return err
	}
	return c.run(ctx, s, all...)
}

type scaleConfigurationCmd struct {
	scaleOutput
	Control string        `default:"bin/lemoncontrol" help:"The control process's program."`
	Agents  []int         `default:"100,225,450,2000" help:"Fleets' sizes."`
	Rest    time.Duration `default:"10s" help:"Time that is measured without changes."`
	Changes int           `default:"20" help:"Changes, one after the other."`
	Burst   int           `default:"50" help:"Changes, one each 100 ms; 0: none."`
	Faults  bool          `default:"true" negatable:"" help:"Also a mass restart, lost connections, a lost machine, regions apart."`
}

func (c *scaleConfigurationCmd) experiment(ctx context.Context, say func(string, ...any)) ([]*scale.Series, error) {
	if err := sizes("--agents", c.Agents, mostHollow); err != nil {
		return nil, err
	}
	return inFolder(func(dir string) ([]*scale.Series, error) {
		return scale.HollowConfiguration{Program: c.Control, Agents: c.Agents, Rest: c.Rest, Changes: c.Changes, Burst: c.Burst, Faults: c.Faults,
			Dir: dir, Seed: c.Seed, Say: say}.Run(ctx)
	})
}

func (c *scaleConfigurationCmd) Run(ctx context.Context, s streams) error {
	return c.run(ctx, s, c.experiment)
}

type scaleMembersCmd struct {
	scaleOutput
	Sizes []int         `default:"100,225,450,2000" help:"Fleets' sizes, in members."`
	Lossy time.Duration `default:"30s" help:"Simulated time without loss, and with 30 % lost."`
	Apart time.Duration `default:"3m" help:"Simulated time for which two regions can't reach each other."`
}

func (c *scaleMembersCmd) experiment(ctx context.Context, say func(string, ...any)) ([]*scale.Series, error) {
	if err := sizes("--sizes", c.Sizes, 10000); err != nil {
		return nil, err
	}
	return scale.SimulatedMembers{Sizes: c.Sizes, Lossy: c.Lossy, Apart: c.Apart, Seed: c.Seed, Say: say}.Run(ctx)
}

func (c *scaleMembersCmd) Run(ctx context.Context, s streams) error {
	return c.run(ctx, s, c.experiment)
}

type scaleDecisionsCmd struct {
	scaleOutput
	Listed []int `default:"8,100,225,450,2000,10000" help:"Lists' lengths, in backends."`
	Calls  int   `default:"20000" help:"Calls at each length."`
}

func (c *scaleDecisionsCmd) experiment(ctx context.Context, say func(string, ...any)) ([]*scale.Series, error) {
	if err := errors.Join(sizes("--listed", c.Listed, 100000), sizes("--calls", []int{c.Calls}, 10000000)); err != nil {
		return nil, err
	}
	return scale.Decisions{Listed: c.Listed, Calls: c.Calls, Seed: c.Seed, Say: say}.Run(ctx)
}

func (c *scaleDecisionsCmd) Run(ctx context.Context, s streams) error {
	return c.run(ctx, s, c.experiment)
}

type scaleCallsCmd struct {
	scaleOutput
	Depth   int           `default:"17" help:"Layers of services, and the depth of the deepest call."`
	Shares  []float64     `default:"0.01,0.05,0.17,0.4" help:"Of attempts at leaves that fail."`
	Measure time.Duration `default:"2s" help:"Simulated time that is counted."`
	Small   bool          `help:"60 backends and 4,000 calls a second in place of 450 and 76,000."`
}

const deepestCall = 34 // layers: more have fewer than two services each

func (c *scaleCallsCmd) experiment(ctx context.Context, say func(string, ...any)) ([]*scale.Series, error) {
	if err := sizes("--depth", []int{c.Depth}, deepestCall); err != nil {
		return nil, err
	}
	for _, share := range c.Shares {
		if !(share > 0 && share <= 1) {
			return nil, fmt.Errorf("--shares: %v is no share", share)
		}
	}
	config := calltree.DefaultConfig()
	config.Seed, config.Depth, config.Measure = c.Seed, c.Depth, c.Measure
	if c.Small {
		config.Services, config.Backends, config.Gateways, config.Rate, config.Warm = 2*c.Depth, 60, 3, 4000, time.Second
	}
	return scale.Calls{Config: config, Shares: c.Shares, Say: say}.Run(ctx)
}

func (c *scaleCallsCmd) Run(ctx context.Context, s streams) error {
	return c.run(ctx, s, c.experiment)
}

type scaleAllCmd struct {
	scaleOutput
	Agent string `default:"bin/lemonrail" help:"The agent's program."`
	Small bool   `help:"Small sizes: a minute or two."`
}

func (c *scaleAllCmd) Run(ctx context.Context, s streams) error {
	processes := &scaleProcessesCmd{Agent: c.Agent, Agents: []int{1, 15, 30, 60}, Listed: []int{8, 100, 225, 450}, ListAgents: 8, Rest: 15 * time.Second, Gap: 100 * time.Millisecond}
	hollow := &scaleHollowCmd{Only: []string{"lists", "list-bytes", "members", "duties"}, Agents: []int{100, 225, 450, 2000}, Listed: 450, Lengths: []int{8, 100, 225, 450},
		Rate: 6000, Rest: 10 * time.Second, Changes: 20}
	members := &scaleMembersCmd{Sizes: []int{100, 225, 450}, Lossy: 30 * time.Second, Apart: 3 * time.Minute}
	decisions := &scaleDecisionsCmd{Listed: []int{8, 100, 225, 450, 2000, 10000}, Calls: 20000}
	calls := &scaleCallsCmd{Depth: 17, Shares: []float64{0.01, 0.05, 0.17, 0.4}, Measure: 2 * time.Second}
	if c.Small {
		processes.Agents, processes.Listed, processes.ListAgents, processes.Rest = []int{2, 4}, []int{8, 100}, 2, 2*time.Second
		hollow.Agents, hollow.Lengths, hollow.Rest, hollow.Changes = []int{10, 40}, []int{4, 8}, 2*time.Second, 5
		members.Sizes, members.Lossy = []int{20, 40}, 10*time.Second
		decisions.Listed, decisions.Calls = []int{8, 100}, 1000
		calls.Depth, calls.Measure, calls.Small = 9, time.Second, true
	}
	hollow.Seed, members.Seed, decisions.Seed, calls.Seed = c.Seed, c.Seed, c.Seed, c.Seed
	inHollow, err := hollow.experiments()
	if err != nil {
		return err
	}
	return c.run(ctx, s, append(append([]experiment{processes.experiment}, inHollow...), members.experiment, decisions.experiment, calls.experiment)...)
}
