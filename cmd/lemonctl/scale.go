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

// deployedMembers has the protocol settings of deploy/members.toml, but a separate state folder for each agent.
//
//go:embed files/scale-members.toml
var deployedMembers string

// scaleOutput has the flags that all subcommands of scale share.
type scaleOutput struct {
	Seed  uint64        `default:"1" help:"Random seed."`
	Limit time.Duration `default:"20m" help:"Time limit of the run; it is also limited to half of the machine's memory and 200 processes."`
	JSON  bool          `name:"json" help:"Print one JSON object."`
	HTML  string        `name:"html" placeholder:"FILE" help:"Also write an HTML page with plots."`
}

// experiment is one measurement of a subcommand; it reports its progress to logf.
type experiment func(ctx context.Context, logf func(format string, args ...any)) ([]*scale.Series, error)

// run executes experiments sequentially within the limits on time, memory and processes, and prints a report.
func (o *scaleOutput) run(ctx context.Context, s streams, all ...experiment) error {
	bounds, err := scale.DefaultBounds(o.Limit)
	if err != nil {
		return err
	}
	ctx, release := bounds.Apply(ctx)
	defer release()
	logf := func(format string, args ...any) { fmt.Fprintf(s.err, format+"\n", args...) }
	var series []*scale.Series
	for _, experiment := range all {
		measured, err := experiment(ctx, logf)
		if err != nil {
			return err
		}
		series = append(series, measured...)
	}
	report := scale.NewReport("lemonctl "+strings.Join(os.Args[min(1, len(os.Args)):], " "), buildCommit(), o.Seed)
	report.Series = series
	if o.HTML != "" {
		if err := writeFile(o.HTML, func(w io.Writer) error { return report.WriteHTML(w) }); err != nil {
			return err
		}
	}
	if o.JSON {
		return printJSON(s.out, report)
	}
	return report.WriteText(s.out)
}

// buildCommit returns the abbreviated commit that this binary was built from and whether the source had local
// changes; empty if the build has no such information.
func buildCommit() string {
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

// checkSizes returns an error that names flag if a value is not within 1 and maxSize.
func checkSizes(flag string, values []int, maxSize int) error {
	for _, n := range values {
		if n < 1 || n > maxSize {
			return fmt.Errorf("%s: %d is not within 1 and %d", flag, n, maxSize)
		}
	}
	return nil
}

// withTempDir passes a new temporary directory to run and removes the directory afterwards.
func withTempDir(run func(dir string) ([]*scale.Series, error)) (series []*scale.Series, err error) {
	dir, err := os.MkdirTemp("", "lemonctl-scale-")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	return run(dir)
}

// scaleProcessesCmd measures fleets of agent processes.
type scaleProcessesCmd struct {
	scaleOutput
	Agent      string        `default:"bin/lemonrail" help:"Path of the agent's binary."`
	Agents     []int         `default:"1,15,30,60" help:"Fleet sizes, measured with the longest list."`
	Listed     []int         `default:"8,100,225,450" help:"List lengths, in backends."`
	ListAgents int           `default:"8" help:"Number of agents with which the list lengths are measured."`
	Rest       time.Duration `default:"15s" help:"Length of the measurement without changes, and of the one with changes."`
	Gap        time.Duration `default:"100ms" help:"Time between two changes."`
}

func (c *scaleProcessesCmd) experiment(ctx context.Context, logf func(string, ...any)) ([]*scale.Series, error) {
	if err := errors.Join(checkSizes("--agents", c.Agents, cluster.MaxAgents), checkSizes("--list-agents", []int{c.ListAgents}, cluster.MaxAgents), checkSizes("--listed", c.Listed, 10000)); err != nil {
		return nil, err
	}
	return withTempDir(func(dir string) ([]*scale.Series, error) {
		return scale.ProcessFleets{Program: c.Agent, Dir: dir, MembersConfig: deployedMembers, FleetSizes: c.Agents, ListLengths: c.Listed, ListFleetSize: c.ListAgents,
			RestTime: c.Rest, ChangePause: c.Gap, Logf: logf}.Run(ctx)
	})
}

// Run runs the experiment and prints its report.
func (c *scaleProcessesCmd) Run(ctx context.Context, s streams) error {
	return c.run(ctx, s, c.experiment)
}

// scaleHollowCmd measures the control clients of many agents within this process, without the agents themselves.
type scaleHollowCmd struct {
	scaleOutput
	Only    []string      `default:"lists,list-bytes,members,duties" enum:"lists,list-bytes,members,duties" help:"Control clients to run."`
	Agents  []int         `default:"100,225,450,2000" help:"Fleet sizes."`
	Listed  int           `default:"450" help:"Backends in the list."`
	Lengths []int         `default:"8,100,225,450" help:"List lengths for list-bytes."`
	Rate    float64       `default:"6000" help:"Bytes per second from discovery for list-bytes."`
	Rest    time.Duration `default:"10s" help:"Length of the measurement without changes."`
	Changes int           `default:"20" help:"Number of sequential changes of the list."`
}

const maxHollowAgents = 2500 // each takes up to six file descriptors of this process

// experiments returns the experiments that --only selects, after a check of the flags.
func (c *scaleHollowCmd) experiments() (all []experiment, err error) {
	if err := errors.Join(checkSizes("--agents", c.Agents, maxHollowAgents), checkSizes("--listed", []int{c.Listed}, 10000), checkSizes("--lengths", c.Lengths, 10000)); err != nil {
		return nil, err
	}
	if !(c.Rate >= 100) {
		return nil, fmt.Errorf("--rate: %v is below the minimum of 100", c.Rate)
	}
	for _, name := range c.Only {
		all = append(all, map[string]experiment{"lists": c.lists, "list-bytes": c.listBytes, "members": c.members, "duties": c.duties}[name])
	}
	return all, nil
}

func (c *scaleHollowCmd) lists(ctx context.Context, logf func(string, ...any)) ([]*scale.Series, error) {
	return scale.HollowLists{FleetSizes: c.Agents, ListLength: c.Listed, RestTime: c.Rest, Changes: c.Changes, ChangePause: 100 * time.Millisecond, Outage: 3 * time.Second, Logf: logf}.Run(ctx)
}

func (c *scaleHollowCmd) listBytes(ctx context.Context, logf func(string, ...any)) ([]*scale.Series, error) {
	return scale.WholeList{ListLengths: c.Lengths, Rate: c.Rate, Timeout: 30 * time.Second, Logf: logf}.Run(ctx)
}

func (c *scaleHollowCmd) members(ctx context.Context, logf func(string, ...any)) ([]*scale.Series, error) {
	return scale.HollowMembers{FleetSizes: c.Agents, RestTime: c.Rest, Leaves: 5, Seed: c.Seed, Logf: logf}.Run(ctx)
}

func (c *scaleHollowCmd) duties(ctx context.Context, logf func(string, ...any)) ([]*scale.Series, error) {
	return withTempDir(func(dir string) ([]*scale.Series, error) {
		return scale.HollowDuties{FleetSizes: c.Agents, RestTime: c.Rest, Releases: 3, Dir: dir, Seed: c.Seed, Logf: logf}.Run(ctx)
	})
}

// Run runs the selected experiments and prints their report.
func (c *scaleHollowCmd) Run(ctx context.Context, s streams) error {
	all, err := c.experiments()
	if err != nil {
		return err
	}
	return c.run(ctx, s, all...)
}

// scaleConfigurationCmd measures configuration watches against control processes.
type scaleConfigurationCmd struct {
	scaleOutput
	Control string        `default:"bin/lemoncontrol" help:"Path of the control process's binary."`
	Agents  []int         `default:"100,225,450,2000" help:"Fleet sizes."`
	Rest    time.Duration `default:"10s" help:"Length of the measurement without changes."`
	Changes int           `default:"20" help:"Number of sequential changes."`
	Burst   int           `default:"50" help:"Number of changes at intervals of 100 ms; 0 for none."`
	Faults  bool          `default:"true" negatable:"" help:"Also measure a mass restart, lost connections, a lost control machine and partitioned regions."`
}

func (c *scaleConfigurationCmd) experiment(ctx context.Context, logf func(string, ...any)) ([]*scale.Series, error) {
	if err := checkSizes("--agents", c.Agents, maxHollowAgents); err != nil {
		return nil, err
	}
	return withTempDir(func(dir string) ([]*scale.Series, error) {
		return scale.HollowConfiguration{Program: c.Control, FleetSizes: c.Agents, RestTime: c.Rest, Changes: c.Changes, Burst: c.Burst, Faults: c.Faults,
			Dir: dir, Seed: c.Seed, Logf: logf}.Run(ctx)
	})
}

// Run runs the experiment and prints its report.
func (c *scaleConfigurationCmd) Run(ctx context.Context, s streams) error {
	return c.run(ctx, s, c.experiment)
}

// scaleMembersCmd measures the membership protocol in simulated time.
type scaleMembersCmd struct {
	scaleOutput
	Sizes []int         `default:"100,225,450,2000" help:"Fleet sizes, in members."`
	Lossy time.Duration `default:"30s" help:"Simulated time without packet loss, and with 30 % loss."`
	Apart time.Duration `default:"3m" help:"Simulated time for which two regions cannot reach each other."`
}

func (c *scaleMembersCmd) experiment(ctx context.Context, logf func(string, ...any)) ([]*scale.Series, error) {
	if err := checkSizes("--sizes", c.Sizes, 10000); err != nil {
		return nil, err
	}
	return scale.SimulatedMembers{FleetSizes: c.Sizes, LossTime: c.Lossy, PartitionTime: c.Apart, Seed: c.Seed, Logf: logf}.Run(ctx)
}

// Run runs the experiment and prints its report.
func (c *scaleMembersCmd) Run(ctx context.Context, s streams) error {
	return c.run(ctx, s, c.experiment)
}

// scaleDecisionsCmd measures the cost of balancing decisions alone.
type scaleDecisionsCmd struct {
	scaleOutput
	Listed []int `default:"8,100,225,450,2000,10000" help:"List lengths, in backends."`
	Calls  int   `default:"20000" help:"Number of calls at each length."`
}

func (c *scaleDecisionsCmd) experiment(ctx context.Context, logf func(string, ...any)) ([]*scale.Series, error) {
	if err := errors.Join(checkSizes("--listed", c.Listed, 100000), checkSizes("--calls", []int{c.Calls}, 10000000)); err != nil {
		return nil, err
	}
	return scale.Decisions{ListLengths: c.Listed, Calls: c.Calls, Seed: c.Seed, Logf: logf}.Run(ctx)
}

// Run runs the experiment and prints its report.
func (c *scaleDecisionsCmd) Run(ctx context.Context, s streams) error {
	return c.run(ctx, s, c.experiment)
}

// scaleCallsCmd simulates call trees and measures the load that retries add.
type scaleCallsCmd struct {
	scaleOutput
	Depth   int           `default:"17" help:"Number of layers of services, which is the depth of the deepest call."`
	Shares  []float64     `default:"0.01,0.05,0.17,0.4" help:"Shares of attempts at leaf services that fail."`
	Measure time.Duration `default:"2s" help:"Simulated time that is measured."`
	Small   bool          `help:"Use 60 backends and 4,000 calls per second instead of 450 and 76,000."`
}

const maxCallDepth = 34 // layers of services; with more, a layer has fewer than two services

func (c *scaleCallsCmd) experiment(ctx context.Context, logf func(string, ...any)) ([]*scale.Series, error) {
	if err := checkSizes("--depth", []int{c.Depth}, maxCallDepth); err != nil {
		return nil, err
	}
	for _, share := range c.Shares {
		if !(share > 0 && share <= 1) {
			return nil, fmt.Errorf("--shares: %v is not above 0 and at most 1", share)
		}
	}
	config := calltree.DefaultConfig()
	config.Seed, config.Depth, config.Measure = c.Seed, c.Depth, c.Measure
	if c.Small {
		config.Services, config.Backends, config.Gateways, config.Rate, config.Warm = 2*c.Depth, 60, 3, 4000, time.Second
	}
	return scale.CallTrees{Config: config, FailureShares: c.Shares, Logf: logf}.Run(ctx)
}

// Run runs the experiment and prints its report.
func (c *scaleCallsCmd) Run(ctx context.Context, s streams) error {
	return c.run(ctx, s, c.experiment)
}

// scaleAllCmd runs the experiments of the other subcommands except scaleConfigurationCmd, with fixed sizes.
type scaleAllCmd struct {
	scaleOutput
	Agent string `default:"bin/lemonrail" help:"Path of the agent's binary."`
	Small bool   `help:"Use small sizes, which take a minute or two."`
}

// Run runs the experiments and prints one report.
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
	hollowExperiments, err := hollow.experiments()
	if err != nil {
		return err
	}
	return c.run(ctx, s, append(append([]experiment{processes.experiment}, hollowExperiments...), members.experiment, decisions.experiment, calls.experiment)...)
}
