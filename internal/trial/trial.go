// Package trial plays load against a simulated site through real agents, with an observer that checks whether
// the four rules held. Tests and lemonctl use it.
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
	readyTimeout = 10 * time.Second // maximum time until an agent answers GET /up with 200
	stopTimeout  = 15 * time.Second // maximum time until an agent has ended
)

// Options configures a trial.
type Options struct {
	Scenario  *standin.Scenario
	Dir       string                        // directory for the agents' configurations; must exist
	Program   string                        // path of the agent's program; empty: agents run within this process
	Log       io.Writer                     // the agents' logs; nil: discarded
	Next      func() (*load.Request, error) // returns the next request, io.EOF at the end
	Play      load.PlayOptions              // Run sets Targets, Observer and Done
	Window    time.Duration                 // window of the report; 0: 10 s
	OnResult  func(*load.Sample)            // called for each request, never concurrently; nil: no call
	Clients   int                           // number of clients in a closed loop; 0: open loop, at the requests' times
	OnOpen    func(*standin.Site)           // called once the site is open; nil: no call
	OnRefused func(id string)               // called when a client receives a refusal, in the client's goroutine; nil: no call
}

// Agents is the running agents of a site.
type Agents struct {
	Targets []netip.AddrPort // the agents' addresses for clients

	stops   []func() error          // functions that end one agent each
	reloads map[string]func() error // functions that write an agent's new configuration and make the agent read it, by the agent's name
}

// Start starts the site's agents and waits until each is ready. After an error no agent is left running.
func Start(site *standin.Site, sc *standin.Scenario, dir, program string, log io.Writer) (a *Agents, err error) {
	a = &Agents{reloads: map[string]func() error{}}
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
		start := a.startInProcess
		if program != "" {
			start = a.startProcess
		}
		addr, err := start(site, i, name, path, program, log)
		if err != nil {
			return a, fmt.Errorf("agent %s: %w", name, err)
		}
		a.Targets = append(a.Targets, addr)
		if err := waitReady(addr); err != nil {
			return a, fmt.Errorf("agent %s: %w", name, err)
		}
	}
	return a, nil
}

// lockedWriter serializes the writes of several agents to one log.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// writeConfig writes the current configuration of agent i to path.
func writeConfig(site *standin.Site, i int, path, listen string) error {
	raw, err := site.Config(i, listen)
	if err != nil {
		return err
	}
	// Rename into place, so that a reader never finds part of a file.
	tmp := path + ".new"
	if err := os.WriteFile(tmp, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

// startInProcess runs an agent in this process.
func (a *Agents) startInProcess(site *standin.Site, i int, name, path, _ string, log io.Writer) (netip.AddrPort, error) {
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
		ended <- agent.RunWithListener(ctx, ln, cfg, hup, slog.New(slog.NewTextHandler(log, nil)).With("agent", name))
	}()
	a.stops = append(a.stops, func() error {
		cancel()
		select {
		case err := <-ended:
			return err
		case <-time.After(stopTimeout):
			return fmt.Errorf("agent %s does not end", name)
		}
	})
	a.reloads[name] = func() error {
		if err := writeConfig(site, i, path, listen); err != nil {
			return err
		}
		hup <- syscall.SIGHUP
		return nil
	}
	return netip.ParseAddrPort(listen)
}

// startProcess runs an agent as a separate process.
func (a *Agents) startProcess(site *standin.Site, i int, name, path, program string, log io.Writer) (netip.AddrPort, error) {
	fd, listen, err := standin.ReserveAddr()
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
		case <-time.After(stopTimeout):
			cmd.Process.Kill()
			<-ended
			return fmt.Errorf("agent %s did not end on SIGTERM", name)
		}
	})
	a.reloads[name] = func() error {
		if err := writeConfig(site, i, path, listen); err != nil {
			return err
		}
		return cmd.Process.Signal(syscall.SIGHUP)
	}
	return netip.ParseAddrPort(listen)
}

// Reload writes an agent's new configuration and sends it a SIGHUP.
func (a *Agents) Reload(name string) error { return a.reloads[name]() }

// Stop ends all agents concurrently and waits for them.
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

// waitReady waits until an agent answers GET /up with 200, for at most readyTimeout.
func waitReady(addr netip.AddrPort) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	var last error
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
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

// LedgerObserver reports what a player's clients send and receive to a ledger.
type LedgerObserver struct {
	Ledger     *ledger.Ledger
	AgentNames map[string]string // agent names by target address
	OnRefused  func(id string)   // called when a client receives a refusal; nil: no call
}

// Sent reports that a request was written.
func (w *LedgerObserver) Sent(s *load.Sample) {
	w.Ledger.RequestSent(s.ID, s.Request.Class, w.AgentNames[s.Target], s.Sent, s.Request.TimeLeft)
}

// Ended reports the answer that a client received, if it received one.
func (w *LedgerObserver) Ended(s *load.Sample) {
	if s.Outcome == load.Refused && w.OnRefused != nil {
		w.OnRefused(s.ID)
	}
	switch s.Outcome {
	case load.TimedOut:
		// The client waited past its deadline. The ledger records no answer, which breaks a rule.
	default:
		w.Ledger.AnswerReceived(s.ID, s.Ended, ledger.Answer{Status: s.Status, Body: s.Body, Partial: s.AnswerBegun, FirstOnConnection: s.NewConnection && s.Outcome == load.Broken})
	}
}

// Run opens the site, starts its agents, plays the plan and returns a report with the ledger's verdict.
func Run(ctx context.Context, o Options) (report *load.Report, err error) {
	if o.Window == 0 {
		o.Window = 10 * time.Second
	}
	l := ledger.New(standin.LedgerRules(o.Scenario))
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
	if o.OnOpen != nil {
		o.OnOpen(site)
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
	play.Targets, play.Observer = agents.Targets, &LedgerObserver{l, names, o.OnRefused}
	play.Done = func(s *load.Sample) {
		rec.Add(s)
		if o.OnResult != nil {
			o.OnResult(s)
		}
	}
	reloadCtx, stopReloads := context.WithCancel(context.Background())
	var reloading sync.WaitGroup
	reloadErr := make(chan error, 1)
	reloading.Go(func() {
		for {
			select {
			case name := <-site.DiscoveryMoved():
				if err := agents.Reload(name); err != nil {
					select {
					case reloadErr <- err:
					default:
					}
				}
			case <-reloadCtx.Done():
				return
			}
		}
	})
	site.Begin()
	var totals load.Totals
	var playErr error
	if o.Clients > 0 {
		totals, playErr = load.PlayClosed(ctx, o.Clients, o.Next, play)
	} else {
		totals, playErr = load.Play(ctx, o.Next, play)
	}
	stopReloads()
	reloading.Wait()
	err = errors.Join(playErr, agents.Stop())
	closed = true
	err = errors.Join(err, site.Close())
	select {
	case e := <-reloadErr:
		err = errors.Join(err, e)
	default:
	}
	report = rec.Report(totals)
	v := l.Verdict()
	report.Verdict = &v
	for _, h := range site.Log() {
		report.Site = append(report.Site, fmt.Sprintf("%6.2f s  %s", h.At.Seconds(), h.Text))
	}
	return report, err
}
