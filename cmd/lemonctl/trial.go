package main

import (
	"context"
	"errors"
	"fmt"
	"html/template"
	"io"
	"os"
	"strings"

	"lemonrail/internal/chart"
	"lemonrail/internal/trial"
)

// trialListCmd lists the built-in stand-in days.
type trialListCmd struct{}

// Run prints the name and description of each day.
func (trialListCmd) Run(s streams) error {
	for _, name := range trial.DayNames() {
		d, err := trial.ReadDay(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(s.out, "%-12s %s\n", name, d.About)
	}
	return nil
}

// trialRunCmd plays stand-in days against agents.
type trialRunCmd struct {
	Days     []string `arg:"" optional:"" help:"Names of days, or TOML files; all built-in days if omitted."`
	Seeds    []uint64 `placeholder:"N" help:"Random seeds to play each day with; the day's own seed if omitted."`
	Agent    string   `placeholder:"PROGRAM" help:"Path of the agent's binary, such as bin/lemonrail; agents run within this process if omitted."`
	AgentLog string   `placeholder:"FILE" help:"File to which the agents' logs are written."`
	JSON     bool     `name:"json" help:"Print one JSON object."`
	HTML     string   `name:"html" placeholder:"FILE" help:"Write the outcomes as one HTML page with plots."`
}

// Run plays each day with each seed and prints the outcomes. It returns errRuleViolated if one violated a rule.
func (c *trialRunCmd) Run(ctx context.Context, s streams) (err error) {
	if len(c.Days) == 0 {
		c.Days = trial.DayNames()
	}
	if len(c.Seeds) == 0 {
		c.Seeds = []uint64{0}
	}
	logs, closeLogs, err := agentLog(c.AgentLog)
	if err != nil {
		return err
	}
	defer closeLogs()
	var days []*trial.Day
	for _, name := range c.Days { // all days are validated before the first one is played
		d, err := trial.ReadDay(name)
		if err != nil {
			return err
		}
		days = append(days, d)
	}
	var outcomes []*trial.Outcome
	violated := false
	for _, d := range days {
		for _, seed := range c.Seeds {
			out, err := c.playDay(ctx, s, d, seed, logs)
			if err != nil {
				return fmt.Errorf("%s: %w", d.Name, err)
			}
			outcomes = append(outcomes, out)
			violated = violated || !out.RulesHeld
			if ctx.Err() != nil {
				break
			}
		}
	}
	if c.HTML != "" {
		if err := writeFile(c.HTML, func(w io.Writer) error { return writeOutcomePage(w, outcomes) }); err != nil {
			return err
		}
	}
	if c.JSON {
		err = printJSON(s.out, map[string]any{"days": outcomes})
	} else {
		err = trial.Text(s.out, outcomes)
	}
	if violated {
		for _, o := range outcomes {
			if !o.RulesHeld {
				fmt.Fprintf(s.err, "%s: %s\n", o.Day, o.Verdict)
			}
		}
		err = errors.Join(err, errRuleViolated)
	}
	return err
}

func (c *trialRunCmd) playDay(ctx context.Context, s streams, d *trial.Day, seed uint64, logs io.Writer) (out *trial.Outcome, err error) {
	dir, err := os.MkdirTemp("", "lemonctl-trial-")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	fmt.Fprintf(s.err, "%s: %s\n", d.Name, d.About)
	return trial.PlayDay(ctx, d, trial.DayOptions{Dir: dir, Program: c.Agent, Log: logs, Seed: seed})
}

// writeOutcomePage writes an HTML page with a plot of requests per second for each outcome.
func writeOutcomePage(w io.Writer, outcomes []*trial.Outcome) error {
	var plots []template.HTML
	for _, o := range outcomes {
		col := func(f func(*trial.Counts) int64) (y []float64) {
			for _, p := range o.Windows {
				y = append(y, float64(f(p))/o.WindowS)
			}
			return y
		}
		c := chart.Colours
		plots = append(plots, chart.Plot(fmt.Sprintf("%s, seed %d", o.Day, o.Seed), "/s", o.WindowS, []chart.Line{
			{Name: "asked for", Colour: c[5], Dashed: true, Y: col(func(p *trial.Counts) int64 { return p.Requests })},
			{Name: "in time", Colour: c[0], Y: col(func(p *trial.Counts) int64 { return p.InTime })},
			{Name: "refused", Colour: c[1], Y: col(func(p *trial.Counts) int64 { return p.Refused })},
			{Name: "with room", Colour: c[3], Y: col(func(p *trial.Counts) int64 { return p.RefusedFree })},
			{Name: "failed", Colour: c[4], Y: col(func(p *trial.Counts) int64 { return p.Failed + p.Lost })}}))
	}
	var text strings.Builder
	if err := trial.Text(&text, outcomes); err != nil {
		return err
	}
	return chart.Page(w, chart.Document{Title: "Stand-in days", Plots: plots, Text: text.String()})
}
