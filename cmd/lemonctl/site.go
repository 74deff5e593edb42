package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"lemonrail/internal/ledger"
	"lemonrail/internal/load"
	"lemonrail/internal/standin"
	"lemonrail/internal/trial"
)

// The sample scenario and the sample log, which are used if the command line names none.
var (
	//go:embed files/site.toml
	sampleSite []byte
	//go:embed files/access.log
	sampleLog []byte
)

// loadScenario reads a scenario from a file, or returns the sample if path is empty.
func loadScenario(path string) (*standin.Scenario, error) {
	if path == "" {
		return standin.ParseScenario("the sample site", sampleSite)
	}
	return standin.ReadScenario(path)
}

// siteUpCmd runs a stand-in site for agents that are started separately.
type siteUpCmd struct {
	Scenario string        `arg:"" optional:"" help:"Scenario with the site and its faults (TOML file); a sample if omitted."`
	Dir      string        `default:"." help:"Directory to which the agents' configurations are written as NAME.json."`
	Listen   string        `default:"127.0.0.1" help:"Address on which the agents listen."`
	Port     int           `default:"9100" help:"Port of the first agent; the other agents use the following ports."`
	For      time.Duration `placeholder:"TIME" help:"Stop after this time; after the scenario's seconds if omitted, or at SIGINT."`
}

// Run writes the agents' configurations, runs the site and prints its events. It rewrites an agent's configuration
// when the agent's discovery server has moved.
func (c *siteUpCmd) Run(ctx context.Context, s streams) error {
	sc, err := loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	l := ledger.New(standin.LedgerRules(sc))
	site, err := standin.Open(sc, collapseLedger{l})
	if err != nil {
		return err
	}
	write := func(i int) error {
		raw, err := site.Config(i, fmt.Sprintf("%s:%d", c.Listen, c.Port+i))
		if err != nil {
			return err
		}
		path := filepath.Join(c.Dir, fmt.Sprintf("n%d.json", i))
		if err := errors.Join(os.WriteFile(path+".new", raw, 0o600), os.Rename(path+".new", path)); err != nil {
			return err
		}
		fmt.Fprintf(s.out, "LB_CONFIG=%s bin/lemonrail    # listens on %s:%d\n", path, c.Listen, c.Port+i)
		return nil
	}
	for i := range sc.Agents {
		if err := write(i); err != nil {
			return errors.Join(err, site.Close())
		}
	}
	length := c.For
	if length == 0 {
		length = time.Duration(sc.Seconds * float64(time.Second))
	}
	fmt.Fprintf(s.out, "the site runs for %v; SIGINT ends it\n", length)
	site.Begin()
	end := time.NewTimer(length)
	defer end.Stop()
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for printed := 0; ; {
		select {
		case <-ctx.Done():
			return site.Close()
		case <-end.C:
			return site.Close()
		case name := <-site.DiscoveryMoved():
			var i int
			fmt.Sscanf(name, "n%d", &i)
			if err := write(i); err != nil {
				return errors.Join(err, site.Close())
			}
			fmt.Fprintf(s.out, "discovery has moved: send SIGHUP to agent %s\n", name)
		case <-tick.C:
			for log := site.Log(); printed < len(log); printed++ {
				fmt.Fprintf(s.out, "%6.2f s  %s\n", log[printed].At.Seconds(), log[printed].Text)
			}
		}
	}
}

// collapseLedger is a ledger (it records what happens to requests, and when nodes collapse under load) that
// ignores attempts: no client of site up reports its requests to the ledger, so only the collapse of nodes
// can be determined.
type collapseLedger struct{ *ledger.Ledger }

func (collapseLedger) Began(ledger.Attempt) func(ledger.Outcome) { return func(ledger.Outcome) {} }

// agentLog creates the file that the agents' logs are written to; without a name the logs are discarded.
func agentLog(name string) (w io.Writer, closeFile func() error, err error) {
	if name == "" {
		return io.Discard, func() error { return nil }, nil
	}
	f, err := os.Create(name)
	if err != nil {
		return nil, nil, err
	}
	return f, f.Close, nil
}

// tryCmd plays a log against agents on a stand-in site.
type tryCmd struct {
	Log      string        `placeholder:"FILE" help:"Log or HAR file to play; a sample if omitted."`
	Scenario string        `placeholder:"FILE" help:"Scenario with the site and its faults (TOML file); a sample if omitted."`
	Map      string        `placeholder:"FILE" help:"TOML file with the rules that map entries to requests."`
	Agent    string        `placeholder:"PROGRAM" help:"Path of the agent's binary, such as bin/lemonrail; agents run within this process if omitted."`
	Speed    float64       `default:"1" help:"Playback speed as a multiple of the recorded speed."`
	For      time.Duration `placeholder:"TIME" help:"Stop after this time."`
	AgentLog string        `placeholder:"FILE" help:"File to which the agents' logs are written."`
	reportFlags
}

// Run starts the site and the agents, plays the log and prints a report. It returns errRuleViolated if the ledger
// found a violation.
func (c *tryCmd) Run(ctx context.Context, s streams) (err error) {
	window, err := c.window()
	if err != nil {
		return err
	}
	sc, err := loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "lemonctl-try-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	file := c.Log
	if file == "" {
		file = filepath.Join(dir, "access.log")
		if err := os.WriteFile(file, sampleLog, 0o600); err != nil {
			return err
		}
	}
	src := sourceFlags{Files: []string{file}, Map: c.Map, Format: "auto"}
	p, err := src.plan(s)
	if err != nil {
		return err
	}
	defer p.Close()
	logs, closeLogs, err := agentLog(c.AgentLog)
	if err != nil {
		return err
	}
	defer closeLogs()
	fmt.Fprintf(s.err, "starting %d agents and the site's nodes\n", sc.Agents)
	progress := newProgress(s.err)
	r, err := trial.Run(ctx, trial.Options{Scenario: sc, Dir: dir, Program: c.Agent, Log: logs, Next: p.Next, Window: window,
		Play: load.PlayOptions{Speed: c.Speed, MaxDuration: c.For, Seed: sc.Seed}, OnResult: progress.add})
	progress.end()
	if r == nil {
		return err
	}
	r.Source = sourceReport([]string{filepath.Base(file)}, p)
	if err := errors.Join(err, c.write(s, r, "lemonrail on a stand-in site")); err != nil {
		return err
	}
	if v, ok := r.Verdict.(*ledger.Verdict); ok && !v.Held() {
		return errRuleViolated
	}
	return nil
}
