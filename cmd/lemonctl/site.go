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

// The site and the log that try uses where none is named.
var (
	//go:embed files/site.toml
	sampleSite []byte
	//go:embed files/access.log
	sampleLog []byte
)

func scenario(path string) (*standin.Scenario, error) {
	if path == "" {
		return standin.ParseScenario("the sample site", sampleSite)
	}
	return standin.ReadScenario(path)
}

type siteUpCmd struct {
	Scenario string        `arg:"" optional:"" help:"The site and its faults (TOML); a sample if left out."`
	Dir      string        `default:"." help:"Where the agents' configurations are written, as NAME.json."`
	Listen   string        `default:"127.0.0.1" help:"Address on which the agents will listen."`
	Port     int           `default:"9100" help:"Port of the first agent; the next ones follow."`
	For      time.Duration `placeholder:"TIME" help:"End after so long; else the scenario's seconds, or at SIGINT."`
}

func (c *siteUpCmd) Run(ctx context.Context, s streams) error {
	sc, err := scenario(c.Scenario)
	if err != nil {
		return err
	}
	l := ledger.New(standin.RulesOf(sc))
	site, err := standin.Open(sc, quietly{l})
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
	for said := 0; ; {
		select {
		case <-ctx.Done():
			return site.Close()
		case <-end.C:
			return site.Close()
		case name := <-site.Moved():
			var i int
			fmt.Sscanf(name, "n%d", &i)
			if err := write(i); err != nil {
				return errors.Join(err, site.Close())
			}
			fmt.Fprintf(s.out, "discovery has moved: send SIGHUP to agent %s\n", name)
		case <-tick.C:
			for log := site.Log(); said < len(log); said++ {
				fmt.Fprintf(s.out, "%6.2f s  %s\n", log[said].At.Seconds(), log[said].Text)
			}
		}
	}
}

// quietly keeps a ledger of nodes that fall over, and of nothing else: no client tells it of its
// requests.
type quietly struct{ *ledger.Ledger }

func (quietly) Began(ledger.Attempt) func(ledger.Ending) { return func(ledger.Ending) {} }

// agentLog opens the file that agents' logs go to; an empty name drops them.
func agentLog(name string) (w io.Writer, closing func() error, err error) {
	if name == "" {
		return io.Discard, func() error { return nil }, nil
	}
	f, err := os.Create(name)
	if err != nil {
		return nil, nil, err
	}
	return f, f.Close, nil
}

type tryCmd struct {
	Log      string        `placeholder:"FILE" help:"A log or HAR file to play; a sample if left out."`
	Scenario string        `placeholder:"FILE" help:"The site and its faults (TOML); a sample if left out."`
	Map      string        `placeholder:"FILE" help:"TOML rules by which entries become requests."`
	Agent    string        `placeholder:"PROGRAM" help:"The agent's program, such as bin/lemonrail; else agents run within this process."`
	Speed    float64       `default:"1" help:"How many times faster than recorded."`
	For      time.Duration `placeholder:"TIME" help:"End after so long."`
	AgentLog string        `placeholder:"FILE" help:"Where the agents' logs go."`
	reportFlags
}

func (c *tryCmd) Run(ctx context.Context, s streams) (err error) {
	window, err := c.window()
	if err != nil {
		return err
	}
	sc, err := scenario(c.Scenario)
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
	fmt.Fprintf(s.err, "%d agents and the site's nodes start\n", sc.Agents)
	show := newProgress(s.err)
	r, err := trial.Run(ctx, trial.Options{Scenario: sc, Dir: dir, Program: c.Agent, Log: logs, Next: p.Next, Window: window,
		Play: load.PlayOptions{Speed: c.Speed, For: c.For, Seed: sc.Seed}, Each: show.add})
	show.end()
	if r == nil {
		return err
	}
	r.Source = sourceReport([]string{filepath.Base(file)}, p)
	if err := errors.Join(err, c.write(s, r, "lemonrail on a stand-in site")); err != nil {
		return err
	}
	if v, ok := r.Verdict.(*ledger.Verdict); ok && !v.Held() {
		return errBroken
	}
	return nil
}
