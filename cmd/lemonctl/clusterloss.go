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

// clusterLoseCmd measures what clients are served when a site is lost, under several strategies.
type clusterLoseCmd struct {
	Agent   string   `required:"" placeholder:"PROGRAM" help:"Path of the agent's binary, such as bin/lemonrail."`
	Seeds   []uint64 `default:"1" help:"Random seeds, one run each; a seed determines how the site is lost, the additional fault and the load."`
	Ways    []string `default:"today,proportional,plan" help:"Strategies to run. today: agents have no settings on sites; proportional: load spills in proportion to capacity; plan: load follows a plan; plan-alone: the same without membership."`
	What    string   `placeholder:"HOW" help:"Way in which the site is lost, in place of the seed's choice: silent, resets, refuses, errors, cut, zone-cut, half, one-by-one, flaps."`
	Also    string   `placeholder:"WHAT" help:"Additional fault, in place of the seed's choice: stale, release, restart, down, none."`
	Share   float64  `help:"Offered load as a share of all capacity, in place of the seed's choice."`
	Agents  int      `default:"20" help:"Number of agents."`
	Abreast int      `default:"1" help:"Number of concurrent runs."`
	Windows bool     `help:"Also print the served share of the best possible in each half second."`
	JSON    bool     `name:"json" help:"Print one JSON object."`
}

// lossRow is the result of one run: the loss of a site under one strategy.
type lossRow struct {
	Strategy string              `json:"way"` // name of the strategy, one of the values of --ways
	Result   *cluster.LossResult `json:"result"`
}

// Run carries out a run for each seed and strategy, up to --abreast at a time, and prints a table. It returns
// errRuleViolated if a run violated a rule.
func (c *clusterLoseCmd) Run(ctx context.Context, s streams) error {
	type job struct {
		loss cluster.SiteLoss
		way  string
	}
	var jobs []job
	for _, seed := range c.Seeds {
		loss := cluster.RandomLoss(seed)
		if c.What != "" {
			if loss.What = c.What; cluster.LossKinds[c.What] == "" {
				return fmt.Errorf("--what: unknown way to lose a site: %q", c.What)
			}
		}
		if c.Also != "" {
			if loss.Also = strings.TrimPrefix(c.Also, "none"); cluster.SideFaults[loss.Also] == "" {
				return fmt.Errorf("--also: unknown fault: %q", c.Also)
			}
		}
		if c.Share > 0 {
			loss.Share = c.Share
		}
		for _, way := range c.Ways {
			jobs = append(jobs, job{loss, way})
		}
	}
	rows := make([]lossRow, len(jobs))
	errs := make([]error, len(jobs))
	jobIndexes := make(chan int)
	var workers sync.WaitGroup
	for range max(1, c.Abreast) {
		workers.Go(func() {
			for i := range jobIndexes {
				fmt.Fprintf(s.err, "%d of %d: seed %d, %s\n", i+1, len(jobs), jobs[i].loss.Seed, jobs[i].way)
				rows[i].Strategy = jobs[i].way
				rows[i].Result, errs[i] = c.runLoss(ctx, jobs[i].loss, jobs[i].way)
			}
		})
	}
	for i := range jobs {
		jobIndexes <- i
	}
	close(jobIndexes)
	workers.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(s.out, map[string]any{"runs": rows}); err != nil {
			return err
		}
	} else if err := c.printTable(s, rows); err != nil {
		return err
	}
	for _, r := range rows {
		if !r.Result.Held {
			return errRuleViolated
		}
	}
	return nil
}

// runLoss carries out one run: the loss of a site while the agents use the strategy named way.
func (c *clusterLoseCmd) runLoss(ctx context.Context, loss cluster.SiteLoss, way string) (out *cluster.LossResult, err error) {
	dir, err := os.MkdirTemp("", "lemonctl-lose-")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	r := cluster.LossRun{Loss: loss, Program: c.Agent, Dir: dir, Agents: c.Agents}
	switch way {
	case "today":
	case "proportional":
		r.Members, r.Sites = clusterMembers, loss.SitesFile("proportional")
	case "plan":
		r.Members, r.Sites = clusterMembers, loss.SitesFile("best")
	case "plan-alone":
		r.Sites = loss.SitesFile("best")
	default:
		return nil, fmt.Errorf("--ways: unknown strategy %q (use today, proportional, plan or plan-alone)", way)
	}
	return r.Run(ctx)
}

// printTable prints a row for each run and, with --windows, the served share of each half second.
func (c *clusterLoseCmd) printTable(s streams, rows []lossRow) error {
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "seed\tlost\tbeside\tload\tway\tof the best\t3 to 5 s after\t95 % after\tof the return\twave\trefused read\tsub\trules")
	for _, r := range rows {
		result, verdict := r.Result, "held"
		if !result.Held {
			verdict = "BROKEN " + result.Verdict
		}
		pct := func(class string) string {
			return fmt.Sprintf("%.1f %%", 100*float64(result.Refused[class])/float64(max(1, result.Asked[class])))
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%.2f\t%s\t%.3f\t%.3f\t%.1f s\t%.1f s\t%.2f\t%s\t%s\t%s\n", result.Loss.Seed, result.Loss.What, result.Loss.Also, result.Loss.Share, r.Strategy, result.Served,
			result.Served3To5S, result.After, result.Return, result.MaxReturnOvershoot, pct("read"), pct("sub"), verdict)
	}
	if err := t.Flush(); err != nil || !c.Windows {
		return err
	}
	for _, r := range rows {
		fmt.Fprintf(s.out, "seed %d, %s, states %v:", r.Result.Loss.Seed, r.Strategy, r.Result.States)
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

// clusterDutiesCmd measures the cost of duties in a fleet without load.
type clusterDutiesCmd struct {
	Agent   string        `required:"" placeholder:"PROGRAM" help:"Path of the agent's binary, such as bin/lemonrail."`
	Agents  int           `default:"20" help:"Number of agents."`
	Seats   []int         `default:"0,3,5,7" help:"Numbers of voters, one run each; 0 runs without duties."`
	LeaseMs int           `default:"3000" help:"Lease of the one duty that is held, in milliseconds."`
	For     time.Duration `default:"20s" help:"Length of each measurement."`
	JSON    bool          `name:"json" help:"Print one JSON object."`
}

// Run measures one fleet for each number of voters and prints a table.
func (c *clusterDutiesCmd) Run(ctx context.Context, s streams) error {
	var rows []*cluster.IdleCostResult
	for _, seats := range c.Seats {
		if seats < 0 || seats > 7 || seats > c.Agents || seats > 0 && seats%2 == 0 {
			return fmt.Errorf("--seats: %d is invalid: use 0, 1, 3, 5 or 7, and no more than --agents", seats)
		}
		fmt.Fprintf(s.err, "%d agents, %d seats\n", c.Agents, seats)
		dir, err := os.MkdirTemp("", "lemonctl-duties-")
		if err != nil {
			return err
		}
		r, err := cluster.IdleCost{Program: c.Agent, Dir: dir, Agents: c.Agents, Seats: seats, LeaseMs: c.LeaseMs, Members: clusterMembers, For: c.For}.Run(ctx)
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
