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
var clusterMembers string

type clusterRunCmd struct {
	Timetable string        `arg:"" optional:"" help:"What goes wrong, and when (TOML); one that --seed makes if left out."`
	Agent     string        `required:"" placeholder:"PROGRAM" help:"The agent's program, such as bin/lemonrail."`
	Seed      uint64        `default:"1" help:"Of a timetable that is made up."`
	Agents    int           `default:"7" help:"And how many agents it has."`
	Zones     int           `default:"2" help:"And how many zones."`
	Seconds   float64       `default:"20" help:"And how long it is."`
	Members   string        `placeholder:"FILE" help:"The agents' file on members; a quick one if left out."`
	Settle    time.Duration `default:"60s" help:"How long the views may take to become equal and true afterwards."`
	Keep      string        `placeholder:"DIR" help:"Keep logs and configurations there."`
	JSON      bool          `name:"json" help:"Print one JSON object."`
}

func (c *clusterRunCmd) Run(ctx context.Context, s streams) (err error) {
	var t *cluster.Timetable
	replay := fmt.Sprintf("lemonctl cluster run --agent %s --seed %d --agents %d --zones %d --seconds %g", c.Agent, c.Seed, c.Agents, c.Zones, c.Seconds)
	if c.Timetable != "" {
		if t, err = cluster.ReadTimetable(c.Timetable); err != nil {
			return err
		}
		replay = fmt.Sprintf("lemonctl cluster run --agent %s %s", c.Agent, c.Timetable)
	} else {
		if c.Agents < 2 || c.Agents > cluster.Most || c.Zones < 1 || c.Zones > c.Agents {
			return fmt.Errorf("--agents, --zones: %d agents in %d zones; 2 to %d agents are possible", c.Agents, c.Zones, cluster.Most)
		}
		t = cluster.Random(c.Seed, c.Agents, c.Zones, c.Seconds)
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
	sc, err := standin.ParseScenario("the rig's site", []byte(cluster.SiteText(t.Agents, t.Zones)))
	if err != nil {
		return err
	}
	rig, err := cluster.Open(cluster.Options{Program: c.Agent, Dir: dir, Scenario: sc, Members: members, Seed: t.Seed})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, rig.Close()) }()
	fmt.Fprintf(s.err, "%s: %d agents start\n", t.Name, t.Agents)
	if err := rig.StartAll(30 * time.Second); err != nil {
		return err
	}
	if err := rig.Until(30*time.Second, rig.Agree); err != nil {
		return fmt.Errorf("the views were never equal at the start: %w", err)
	}
	var did []cluster.Happening
	if err := rig.Play(ctx, t, func(h cluster.Happening) {
		did = append(did, h)
		fmt.Fprintf(s.err, "%6.2f s  %s\n", h.At.Seconds(), h.Text)
	}); err != nil {
		return err
	}
	begun := time.Now()
	agree := rig.Until(c.Settle, rig.Agree)
	took := time.Since(begun)
	out := map[string]any{"name": t.Name, "agents": t.Agents, "events": did, "agreed": agree == nil, "agreed_after_s": took.Seconds()}
	changes := map[string]uint64{}
	for _, a := range rig.Agents {
		if r, err := a.Members(); err == nil {
			changes[a.Name] = r.Moved
		}
	}
	out["changes"] = changes
	if c.JSON {
		if err := printJSON(s.out, out); err != nil {
			return err
		}
	} else if agree == nil {
		fmt.Fprintf(s.out, "%s: %d agents hold the same view, and it is true, %.1f s after the end\n", t.Name, t.Agents, took.Seconds())
	}
	if agree != nil {
		return fmt.Errorf("the views are not equal and true: %w\nto see it again: %s", agree, replay)
	}
	return nil
}

type clusterShrinkCmd struct {
	Agent   string        `required:"" placeholder:"PROGRAM" help:"The agent's program, such as bin/lemonrail."`
	Agents  int           `default:"20" help:"At first."`
	Left    int           `default:"6" help:"After the kill; they get all requests then."`
	Share   float64       `default:"0.7" help:"Of the site's capacity, that is asked for."`
	Before  time.Duration `default:"10s" help:"Until the kill."`
	After   time.Duration `default:"15s" help:"From then on."`
	Seeds   []uint64      `default:"1" help:"Of the runs."`
	Without bool          `help:"Agents keep no view of the fleet."`
	JSON    bool          `name:"json" help:"Print one JSON object."`
}

func (c *clusterShrinkCmd) Run(ctx context.Context, s streams) error {
	var outs []*cluster.ShrinkResult
	for _, seed := range c.Seeds {
		dir, err := os.MkdirTemp("", "lemonctl-shrink-")
		if err != nil {
			return err
		}
		o := cluster.Shrink{Program: c.Agent, Dir: dir, Members: clusterMembers, Agents: c.Agents, Left: c.Left, Share: c.Share,
			Before: c.Before, After: c.After, Seed: seed, Progress: s.err}
		if c.Without {
			o.Members = ""
		}
		out, err := o.Run(ctx)
		if err := errors.Join(err, os.RemoveAll(dir)); err != nil {
			return err
		}
		outs = append(outs, out)
		if !c.JSON {
			w := out.Sum
			pct := func(n int) float64 { return 100 * float64(n) / float64(max(1, w.Asked)) }
			fmt.Fprintf(s.out, "seed %d: after the kill %d asked, in time %.1f %%, late %.1f %%, refused %.1f %%, failed %.1f %%; reckons with %d agents; %s\n  in time each second:",
				seed, w.Asked, pct(w.InTime), pct(w.Late), pct(w.Refused), pct(w.Failed), out.Living, out.Verdict)
			for _, x := range out.After {
				fmt.Fprintf(s.out, " %.0f", 100*float64(x.InTime)/float64(max(1, x.Asked)))
			}
			fmt.Fprintln(s.out)
		}
		if !out.Held {
			return errBroken
		}
	}
	if c.JSON {
		return printJSON(s.out, map[string]any{"runs": outs})
	}
	return nil
}
