// Package trial plays load against a stand-in site through real agents, with an observer that
// says whether the four rules held. Tests and lemonctl use it.
package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"lemonrail/internal/agent"
	"lemonrail/internal/ledger"
	"lemonrail/internal/load"
	"lemonrail/internal/standin"
)

const (
	readyLimit = 10 * time.Second // for an agent to answer GET /up
	stopLimit  = 15 * time.Second // for one to end
)

// Options say what is tried.
type Options struct {
	Scenario *standin.Scenario
	Dir      string // for the agents' configurations; must exist
	Program  string // the agent's program; empty: agents run within this process
	Log      io.Writer
	Next     func() (*load.Request, error) // the plan
	Play     load.PlayOptions              // Targets, Observer and Done are set here
	Window   time.Duration                 // of the report; 0: 10 s
	Each     func(*load.Sample)            // called for each request, by one goroutine at a time
	Clients  int                           // so many in a closed loop; 0: an open loop, at the plan's times
	Opened   func(*standin.Site)           // called once the site stands
	Refused  func(id string)               // called as a client gets a refusal, by its goroutine
}

// Agents are running agents of a site.
type Agents struct {
	Targets []netip.AddrPort

	stops []func() error
	hups  map[string]func() error
}

// Start starts the site's agents and waits until each is ready.
func Start(site *standin.Site, sc *standin.Scenario, dir, program string, log io.Writer) (a *Agents, err error) {
	a = &Agents{hups: map[string]func() error{}}
	defer func() {
		if err != nil {
			err = errors.Join(err, a.Stop())
			a = nil
		}
	}()
	if log == nil {
		log = io.Discard
	}
	log = &lockedWriter{w: log}
	for i := range sc.Agents {
		name := fmt.Sprintf("n%d", i)
		path := filepath.Join(dir, name+".json")
		start := a.within
		if program != "" {
			start = a.process
		}
		addr, err := start(site, i, name, path, program, log)
		if err != nil {
			return a, fmt.Errorf("agent %s: %w", name, err)
		}
		a.Targets = append(a.Targets, addr)
		if err := ready(addr); err != nil {
			return a, fmt.Errorf("agent %s: %w", name, err)
		}
	}
	return a, nil
}

// lockedWriter joins the logs of several agents line by line.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

func writeConfig(site *standin.Site, i int, path, listen string) error {
	raw, err := site.Config(i, listen)
	if err != nil {
		return err
	}
	// A reader must not find half a file.
	tmp := path + ".new"
	if err := os.WriteFile(tmp, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

// within runs an agent in this process.
func (a *Agents) within(site *standin.Site, i int, name, path, _ string, log io.Writer) (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	listen := ln.Addr().String()
	if err := writeConfig(site, i, path, listen); err != nil {
		ln.Close()
		return netip.AddrPort{}, err
	}
	cfg, err := agent.ReadConfig(path)
	if err != nil {
		ln.Close()
		return netip.AddrPort{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	hup, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() {
		ended <- agent.RunOn(ctx, ln, cfg, hup, slog.New(slog.NewTextHandler(log, nil)).With("agent", name))
	}()
	a.stops = append(a.stops, func() error {
		cancel()
		select {
		case err := <-ended:
			return err
		case <-time.After(stopLimit):
			return fmt.Errorf("agent %s does not end", name)
		}
	})
	a.hups[name] = func() error {
		if err := writeConfig(site, i, path, listen); err != nil {
			return err
		}
		hup <- syscall.SIGHUP
		return nil
	}
	return netip.ParseAddrPort(listen)
}

// process runs an agent as a process of its own.
func (a *Agents) process(site *standin.Site, i int, name, path, program string, log io.Writer) (netip.AddrPort, error) {
	fd, listen, err := standin.Reserve()
	if err != nil {
		return netip.AddrPort{}, err
	}
	if err := writeConfig(site, i, path, listen); err != nil {
		syscall.Close(fd)
		return netip.AddrPort{}, err
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_NAME="+name, "LB_LISTEN="+listen)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		syscall.Close(fd)
		return netip.AddrPort{}, err
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	a.stops = append(a.stops, func() error {
		defer syscall.Close(fd)
		cmd.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-ended:
			return err
		case <-time.After(stopLimit):
			cmd.Process.Kill()
			<-ended
			return fmt.Errorf("agent %s did not end on SIGTERM", name)
		}
	})
	a.hups[name] = func() error {
		if err := writeConfig(site, i, path, listen); err != nil {
			return err
		}
		return cmd.Process.Signal(syscall.SIGHUP)
	}
	return netip.ParseAddrPort(listen)
}

// Reload gives an agent its new configuration.
func (a *Agents) Reload(name string) error { return a.hups[name]() }

// Stop ends the agents, all at once, and waits for them.
func (a *Agents) Stop() error {
	errs := make([]error, len(a.stops))
	var all sync.WaitGroup
	for i, stop := range a.stops {
		all.Go(func() { errs[i] = stop() })
	}
	all.Wait()
	a.stops = nil
	return errors.Join(errs...)
}

// ready waits until an agent answers GET /up with 200.
func ready(addr netip.AddrPort) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	var last error
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		resp, err := client.Get("http://" + addr.String() + "/up")
		if err != nil {
			last = err
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("GET /up answered %s", resp.Status)
	}
	return fmt.Errorf("never ready: %w", last)
}

// Watch tells a ledger what a player's clients do.
type Watch struct {
	Ledger  *ledger.Ledger
	Agent   map[string]string // names, by target
	Refused func(id string)   // called as a client gets a refusal; nil: nobody asks
}

// Sent tells that a request was written.
func (w *Watch) Sent(s *load.Sample) {
	w.Ledger.Sent(s.ID, s.Request.Class, w.Agent[s.Target], s.Sent, s.Request.Left)
}

// Ended tells what a client got.
func (w *Watch) Ended(s *load.Sample) {
	if s.Outcome == load.Refused && w.Refused != nil {
		w.Refused(s.ID)
	}
	switch s.Outcome {
	case load.TimedOut:
		// The client waited longer than its time: an answer was owed before.
	default:
		w.Ledger.Got(s.ID, s.Ended, ledger.Answer{Status: s.Status, Body: s.Body, Begun: s.Begun, Unsent: s.First && s.Outcome == load.Broken})
	}
}

// Run opens the site, starts its agents, plays the plan, and reports.
func Run(ctx context.Context, o Options) (report *load.Report, err error) {
	if o.Window == 0 {
		o.Window = 10 * time.Second
	}
	l := ledger.New(standin.RulesOf(o.Scenario))
	site, err := standin.Open(o.Scenario, l)
	if err != nil {
		return nil, err
	}
	closed := false
	defer func() {
		if !closed {
			err = errors.Join(err, site.Close())
		}
	}()
	if o.Opened != nil {
		o.Opened(site)
	}
	agents, err := Start(site, o.Scenario, o.Dir, o.Program, o.Log)
	if err != nil {
		return nil, err
	}
	names := map[string]string{}
	for i, t := range agents.Targets {
		names[t.String()] = fmt.Sprintf("n%d", i)
	}
	rec := load.NewRecorder(o.Window)
	play := o.Play
	play.Targets, play.Observer = agents.Targets, &Watch{l, names, o.Refused}
	play.Done = func(s *load.Sample) {
		rec.Add(s)
		if o.Each != nil {
			o.Each(s)
		}
	}
	moves, stopMoves := context.WithCancel(context.Background())
	var moving sync.WaitGroup
	moveErr := make(chan error, 1)
	moving.Go(func() {
		for {
			select {
			case name := <-site.Moved():
				if err := agents.Reload(name); err != nil {
					select {
					case moveErr <- err:
					default:
					}
				}
			case <-moves.Done():
				return
			}
		}
	})
	site.Begin()
	var tot load.Totals
	var playErr error
	if o.Clients > 0 {
		tot, playErr = load.PlayClosed(ctx, o.Clients, o.Next, play)
	} else {
		tot, playErr = load.Play(ctx, o.Next, play)
	}
	stopMoves()
	moving.Wait()
	err = errors.Join(playErr, agents.Stop())
	closed = true
	err = errors.Join(err, site.Close())
	select {
	case e := <-moveErr:
		err = errors.Join(err, e)
	default:
	}
	report = rec.Report(tot)
	v := l.Verdict()
	report.Verdict = &v
	for _, h := range site.Log() {
		report.Site = append(report.Site, fmt.Sprintf("%6.2f s  %s", h.At.Seconds(), h.Text))
	}
	return report, err
}
