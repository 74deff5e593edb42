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

type trialListCmd struct{}

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

type trialRunCmd struct {
	Days     []string `arg:"" optional:"" help:"Names of days, or TOML files of your own; all days if left out."`
	Seeds    []uint64 `placeholder:"N" help:"Seeds to play each day with; its own if left out."`
	Agent    string   `placeholder:"PROGRAM" help:"The agent's program, such as bin/lemonrail; else agents run within this process."`
	AgentLog string   `placeholder:"FILE" help:"Where the agents' logs go."`
	JSON     bool     `name:"json" help:"Print one JSON object."`
	HTML     string   `name:"html" placeholder:"FILE" help:"Write the outcomes as one page with plots."`
}

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
	for _, name := range c.Days { // what makes no sense is found before anything is played
		d, err := trial.ReadDay(name)
		if err != nil {
			return err
		}
		days = append(days, d)
	}
	var outs []*trial.Outcome
	broken := false
	for _, d := range days {
		for _, seed := range c.Seeds {
			out, err := c.play(ctx, s, d, seed, logs)
			if err != nil {
				return fmt.Errorf("%s: %w", d.Name, err)
			}
			outs = append(outs, out)
			broken = broken || !out.RulesHeld
			if ctx.Err() != nil {
				break
			}
		}
	}
	if c.HTML != "" {
		if err := writeFile(c.HTML, func(w io.Writer) error { return outcomePage(w, outs) }); err != nil {
			return err
		}
	}
	if c.JSON {
		err = printJSON(s.out, map[string]any{"days": outs})
	} else {
		err = trial.Text(s.out, outs)
	}
	if broken {
		for _, o := range outs {
			if !o.RulesHeld {
				fmt.Fprintf(s.err, "%s: %s\n", o.Day, o.Verdict)
			}
		}
		err = errors.Join(err, errBroken)
	}
	return err
}

func (c *trialRunCmd) play(ctx context.Context, s streams, d *trial.Day, seed uint64, logs io.Writer) (out *trial.Outcome, err error) {
	dir, err := os.MkdirTemp("", "lemonctl-trial-")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	fmt.Fprintf(s.err, "%s: %s\n", d.Name, d.About)
	return trial.PlayDay(ctx, d, trial.DayOptions{Dir: dir, Program: c.Agent, Log: logs, Seed: seed})
}

func outcomePage(w io.Writer, outs []*trial.Outcome) error {
	var plots []template.HTML
	for _, o := range outs {
		col := func(f func(*trial.Part) int64) (y []float64) {
			for _, p := range o.Windows {
				y = append(y, float64(f(p))/o.WindowS)
			}
			return y
		}
		c := chart.Colours
		plots = append(plots, chart.Plot(fmt.Sprintf("%s, seed %d", o.Day, o.Seed), "/s", o.WindowS, []chart.Line{
			{Name: "asked for", Colour: c[5], Dashed: true, Y: col(func(p *trial.Part) int64 { return p.Requests })},
			{Name: "in time", Colour: c[0], Y: col(func(p *trial.Part) int64 { return p.InTime })},
			{Name: "refused", Colour: c[1], Y: col(func(p *trial.Part) int64 { return p.Refused })},
			{Name: "with room", Colour: c[3], Y: col(func(p *trial.Part) int64 { return p.RefusedFree })},
			{Name: "failed", Colour: c[4], Y: col(func(p *trial.Part) int64 { return p.Failed + p.Lost })}}))
	}
	var text strings.Builder
	if err := trial.Text(&text, outs); err != nil {
		return err
	}
	return chart.Page(w, chart.Document{Title: "Stand-in days", Plots: plots, Text: text.String()})
}
