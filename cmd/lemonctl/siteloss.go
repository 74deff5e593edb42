package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"lemonrail/internal/cluster"
)

type clusterLoseCmd struct {
	Agent   string   `required:"" placeholder:"PROGRAM" help:"The agent's program, such as bin/lemonrail."`
	Seeds   []uint64 `default:"1" help:"Each chooses how a site is lost, what else is wrong, and the load."`
	Ways    []string `default:"today,proportional,plan" help:"today: agents without a file on sites; proportional: they spill in proportion; plan; plan-alone: without membership."`
	What    string   `placeholder:"HOW" help:"Lose it this way instead: silent, resets, refuses, errors, cut, zone-cut, half, one-by-one, flaps."`
	Also    string   `placeholder:"WHAT" help:"With this beside it: stale, release, restart, down; none."`
	Share   float64  `help:"Ask for this share of all capacity."`
	Agents  int      `default:"20" help:"How many."`
	Abreast int      `default:"1" help:"Runs at a time."`
	Windows bool     `help:"Print what was served in each half second, over the best."`
	JSON    bool     `name:"json" help:"Print one JSON object."`
}

// lossRow is one run.
type lossRow struct {
	Way    string              `json:"way"`
	Result *cluster.LossResult `json:"result"`
}

func (c *clusterLoseCmd) Run(ctx context.Context, s streams) error {
	type job struct {
		l   cluster.Loss
		way string
	}
	var jobs []job
	for _, seed := range c.Seeds {
		l := cluster.RandomLoss(seed)
		if c.What != "" {
			if l.What = c.What; cluster.Losses[c.What] == "" {
				return fmt.Errorf("--what: %q is no way to lose a site", c.What)
			}
		}
		if c.Also != "" {
			if l.Also = strings.TrimPrefix(c.Also, "none"); cluster.Besides[l.Also] == "" {
				return fmt.Errorf("--also: %q is nothing that goes wrong", c.Also)
			}
		}
		if c.Share > 0 {
			l.Share = c.Share
		}
		for _, way := range c.Ways {
			jobs = append(jobs, job{l, way})
		}
	}
	rows := make([]lossRow, len(jobs))
	errs := make([]error, len(jobs))
	turns := make(chan int)
	var all sync.WaitGroup
	for range max(1, c.Abreast) {
		all.Go(func() {
			for i := range turns {
				fmt.Fprintf(s.err, "%d of %d: seed %d, %s\n", i+1, len(jobs), jobs[i].l.Seed, jobs[i].way)
				rows[i].Way = jobs[i].way
				rows[i].Result, errs[i] = c.play(ctx, jobs[i].l, jobs[i].way)
			}
		})
	}
	for i := range jobs {
		turns <- i
	}
	close(turns)
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(s.out, map[string]any{"runs": rows}); err != nil {
			return err
		}
	} else if err := c.text(s, rows); err != nil {
		return err
	}
	for _, r := range rows {
		if !r.Result.Held {
			return errBroken
		}
	}
	return nil
}

func (c *clusterLoseCmd) play(ctx context.Context, l cluster.Loss, way string) (out *cluster.LossResult, err error) {
	dir, err := os.MkdirTemp("", "lemonctl-lose-")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	r := cluster.LossRun{Loss: l, Program: c.Agent, Dir: dir, Agents: c.Agents}
	switch way {
	case "today":
	case "proportional":
		r.Members, r.Sites = clusterMembers, l.LossFile("proportional")
	case "plan":
		r.Members, r.Sites = clusterMembers, l.LossFile("best")
	case "plan-alone":
		r.Sites = l.LossFile("best")
	default:
		return nil, fmt.Errorf("--ways: %q is none of today, proportional, plan, plan-alone", way)
	}
	return r.Run(ctx)
}

func (c *clusterLoseCmd) text(s streams, rows []lossRow) error {
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "seed\tlost\tbeside\tload\tway\tof the best\t3 to 5 s after\t95 % after\tof the return\twave\trefused read\tsub\trules")
	for _, r := range rows {
		o, held := r.Result, "held"
		if !o.Held {
			held = "BROKEN " + o.Verdict
		}
		pct := func(class string) string {
			return fmt.Sprintf("%.1f %%", 100*float64(o.Refused[class])/float64(max(1, o.Asked[class])))
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%.2f\t%s\t%.3f\t%.3f\t%.1f s\t%.1f s\t%.2f\t%s\t%s\t%s\n", o.Loss.Seed, o.Loss.What, o.Loss.Also, o.Loss.Share, r.Way, o.Served,
			o.Soon, o.After, o.Return, o.Wave, pct("read"), pct("sub"), held)
	}
	if err := t.Flush(); err != nil || !c.Windows {
		return err
	}
	for _, r := range rows {
		fmt.Fprintf(s.out, "seed %d, %s, states %v:", r.Result.Loss.Seed, r.Way, r.Result.States)
		for _, w := range r.Result.Windows {
			fmt.Fprintf(s.out, " %.0f", 100*w.Served/max(w.Best, 1e-9))
			if w.Got != nil {
				fmt.Fprintf(s.out, "/%d", w.Got[1])
			}
		}
		fmt.Fprintln(s.out)
	}
	return nil
}

type clusterDutiesCmd struct {
	Agent   string        `required:"" placeholder:"PROGRAM" help:"The agent's program, such as bin/lemonrail."`
	Agents  int           `default:"20" help:"How many."`
	Seats   []int         `default:"0,3,5,7" help:"Seats that sit, one run each; 0: no duties."`
	LeaseMs int           `default:"3000" help:"Of the one duty that is held."`
	For     time.Duration `default:"20s" help:"How long each is measured."`
	JSON    bool          `name:"json" help:"Print one JSON object."`
}

func (c *clusterDutiesCmd) Run(ctx context.Context, s streams) error {
	var rows []*cluster.RestResult
	for _, seats := range c.Seats {
		if seats < 0 || seats > 7 || seats > c.Agents || seats > 0 && seats%2 == 0 {
			return fmt.Errorf("--seats: %d; 0, 1, 3, 5 or 7 make sense", seats)
		}
		fmt.Fprintf(s.err, "%d agents, %d seats\n", c.Agents, seats)
		dir, err := os.MkdirTemp("", "lemonctl-duties-")
		if err != nil {
			return err
		}
		r, err := cluster.Rest{Program: c.Agent, Dir: dir, Agents: c.Agents, Seats: seats, LeaseMs: c.LeaseMs, Members: clusterMembers, For: c.For}.Run(ctx)
		if err := errors.Join(err, os.RemoveAll(dir)); err != nil {
			return err
		}
		rows = append(rows, r)
	}
	if c.JSON {
		return printJSON(s.out, map[string]any{"runs": rows})
	}
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "agents\tseats\tcore of a seat\tof another\tMB of a seat\tof another\twritten by a seat\tsyncs")
	for _, r := range rows {
		fmt.Fprintf(t, "%d\t%d\t%.2f %%\t%.2f %%\t%.1f\t%.1f\t%.0f B/s\t%.1f /s\n", r.Agents, r.Seats, 100*r.SeatCPU, 100*r.OtherCPU, float64(r.SeatKB)/1024, float64(r.OtherKB)/1024,
			r.WrittenPerS, r.SyncsPerS)
	}
	return t.Flush()
}
