package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"os"
	"time"

	"lemonrail/internal/cluster"
	"lemonrail/internal/standin"
)

//go:embed files/cluster-members.toml
var clusterMembers string // membership settings with shorter periods than deploy/members.toml

// clusterRunCmd runs agents through a timetable of faults and checks that their membership views converge.
type clusterRunCmd struct {
	Timetable string        `arg:"" optional:"" help:"Timetable of faults (TOML file); generated from --seed if omitted."`
	Agent     string        `required:"" placeholder:"PROGRAM" help:"Path of the agent's binary, such as bin/lemonrail."`
	Seed      uint64        `default:"1" help:"Random seed of a generated timetable."`
	Agents    int           `default:"7" help:"Number of agents in a generated timetable."`
	Zones     int           `default:"2" help:"Number of zones in a generated timetable."`
	Seconds   float64       `default:"20" help:"Length of a generated timetable in seconds."`
	Members   string        `placeholder:"FILE" help:"The agents' membership settings (TOML file); settings with short periods if omitted."`
	Settle    time.Duration `default:"60s" help:"Time within which all views must converge on the running agents after the timetable has ended."`
	Keep      string        `placeholder:"DIR" help:"Directory in which logs and configurations are kept."`
	JSON      bool          `name:"json" help:"Print one JSON object."`
}

// Run plays the timetable and prints the events and the result. If the views do not converge, the error ends with a
// command line that reproduces the run.
func (c *clusterRunCmd) Run(ctx context.Context, s streams) (err error) {
	var timetable *cluster.Timetable
	replay := fmt.Sprintf("lemonctl cluster run --agent %s --seed %d --agents %d --zones %d --seconds %g", c.Agent, c.Seed, c.Agents, c.Zones, c.Seconds)
	if c.Timetable != "" {
		if timetable, err = cluster.ReadTimetable(c.Timetable); err != nil {
			return err
		}
		replay = fmt.Sprintf("lemonctl cluster run --agent %s %s", c.Agent, c.Timetable)
	} else {
		if c.Agents < 2 || c.Agents > cluster.MaxAgents || c.Zones < 1 || c.Zones > c.Agents {
			return fmt.Errorf("--agents, --zones: %d agents in %d zones is invalid: use 2 to %d agents and at least one agent per zone", c.Agents, c.Zones, cluster.MaxAgents)
		}
		timetable = cluster.RandomTimetable(c.Seed, c.Agents, c.Zones, c.Seconds)
	}
	members := clusterMembers
	if c.Members != "" {
		raw, err := os.ReadFile(c.Members)
		if err != nil {
			return err
		}
		members = string(raw)
	}
	dir := c.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "lemonctl-cluster-"); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	scenario, err := standin.ParseScenario("the rig's site", []byte(cluster.SiteText(timetable.Agents, timetable.Zones)))
	if err != nil {
		return err
	}
	rig, err := cluster.Open(cluster.Options{Program: c.Agent, Dir: dir, Scenario: scenario, Members: members, Seed: timetable.Seed})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, rig.Close()) }()
	fmt.Fprintf(s.err, "%s: starting %d agents\n", timetable.Name, timetable.Agents)
	if err := rig.StartAll(30 * time.Second); err != nil {
		return err
	}
	if err := rig.Until(30*time.Second, rig.Agree); err != nil {
		return fmt.Errorf("the membership views did not converge after the start: %w", err)
	}
	var events []cluster.TimetableEvent
	if err := rig.Play(ctx, timetable, func(h cluster.TimetableEvent) {
		events = append(events, h)
		fmt.Fprintf(s.err, "%6.2f s  %s\n", h.At.Seconds(), h.Text)
	}); err != nil {
		return err
	}
	settleStart := time.Now()
	agreeErr := rig.Until(c.Settle, rig.Agree)
	settleTime := time.Since(settleStart)
	out := map[string]any{"name": timetable.Name, "agents": timetable.Agents, "events": events, "agreed": agreeErr == nil, "agreed_after_s": settleTime.Seconds()}
	changes := map[string]uint64{}
	for _, a := range rig.Agents {
		if r, err := a.Members(); err == nil {
			changes[a.Name] = r.Changes
		}
	}
	out["changes"] = changes
	if c.JSON {
		if err := printJSON(s.out, out); err != nil {
			return err
		}
	} else if agreeErr == nil {
		fmt.Fprintf(s.out, "%s: %d agents hold the same view, and it is true, %.1f s after the end\n", timetable.Name, timetable.Agents, settleTime.Seconds())
	}
	if agreeErr != nil {
		return fmt.Errorf("the membership views did not converge: %w\nto reproduce: %s", agreeErr, replay)
	}
	return nil
}

// clusterShrinkCmd measures what clients are served after most agents of a fleet were killed.
type clusterShrinkCmd struct {
	Agent   string        `required:"" placeholder:"PROGRAM" help:"Path of the agent's binary, such as bin/lemonrail."`
	Agents  int           `default:"20" help:"Number of agents at the start."`
	Left    int           `default:"6" help:"Number of agents left after the kill; clients send all requests to them."`
	Share   float64       `default:"0.7" help:"Offered load as a share of the site's capacity."`
	Before  time.Duration `default:"10s" help:"Length of the run before the kill."`
	After   time.Duration `default:"15s" help:"Length of the run after the kill."`
	Seeds   []uint64      `default:"1" help:"Random seeds, one run each."`
	Without bool          `help:"Run the agents without membership."`
	JSON    bool          `name:"json" help:"Print one JSON object."`
}

// Run carries out one run for each seed and stops at the first one that violates a rule.
func (c *clusterShrinkCmd) Run(ctx context.Context, s streams) error {
	var outs []*cluster.ShrinkResult
	for _, seed := range c.Seeds {
		dir, err := os.MkdirTemp("", "lemonctl-shrink-")
		if err != nil {
			return err
		}
		shrink := cluster.Shrink{Program: c.Agent, Dir: dir, Members: clusterMembers, Agents: c.Agents, Left: c.Left, Share: c.Share,
			Before: c.Before, After: c.After, Seed: seed, Progress: s.err}
		if c.Without {
			shrink.Members = ""
		}
		out, err := shrink.Run(ctx)
		if err := errors.Join(err, os.RemoveAll(dir)); err != nil {
			return err
		}
		outs = append(outs, out)
		if !c.JSON {
			sum := out.Sum
			pct := func(n int) float64 { return 100 * float64(n) / float64(max(1, sum.Asked)) }
			fmt.Fprintf(s.out, "seed %d: after the kill %d asked, in time %.1f %%, late %.1f %%, refused %.1f %%, failed %.1f %%; reckons with %d agents; %s\n  in time each second:",
				seed, sum.Asked, pct(sum.InTime), pct(sum.Late), pct(sum.Refused), pct(sum.Failed), out.Living, out.Verdict)
			for _, x := range out.After {
				fmt.Fprintf(s.out, " %.0f", 100*float64(x.InTime)/float64(max(1, x.Asked)))
			}
			fmt.Fprintln(s.out)
		}
		if !out.Held {
			return errRuleViolated
		}
	}
	if c.JSON {
		return printJSON(s.out, map[string]any{"runs": outs})
	}
	return nil
}
