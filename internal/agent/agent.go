// Package agent puts one instance together: configuration, core, front, backend, discovery and peers; start,
// stop and reload. It decides nothing itself.
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/admission"
	upstream "lemonrail/internal/backend/http1"
	"lemonrail/internal/core"
	"lemonrail/internal/explain"
	"lemonrail/internal/figures"
	front "lemonrail/internal/front/http1"
	"lemonrail/internal/roster"
)

const reservedSockets = 32 // for standard streams, listeners, discovery, peers and the poller

const (
	listPatience  = 1500 * time.Millisecond // for discovery, before this process says that it serves
	firstListWait = 200 * time.Millisecond  // for what is pushed, before it takes the first client
)

// Run serves until ctx ends, then answers what is in hand. It returns nil after such a stop.
// With each hup it reads its configuration again.
func Run(ctx context.Context, cfg *Config, hup <-chan os.Signal, log *slog.Logger) error {
	if cfg.ListenFD > 0 {
		ln, err := Inherit(cfg.ListenFD, cfg.Listen)
		if err != nil {
			return err
		}
		return RunOn(ctx, ln, cfg, hup, log)
	}
	ln, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	return RunOn(ctx, ln, cfg, hup, log)
}

// RunOn is Run with a listener that is there already; it closes it.
func RunOn(ctx context.Context, ln net.Listener, cfg *Config, hup <-chan os.Signal, log *slog.Logger) error {
	defer ln.Close()
	bal, err := balance.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return err
	}
	notes, err := explain.Open(cfg.Explain, cfg.Name, cfg.Names.Classes)
	if err != nil {
		return err
	}
	if notes != nil {
		bal.Explain(notes.Tell)
		defer func() {
			if err := notes.Close(); err != nil {
				log.Warn("notes on decisions were lost", "err", err)
			}
		}()
	}
	controlListener, err := listenControl(cfg)
	if err != nil {
		return err
	}
	if controlListener != nil {
		defer controlListener.Close()
	}
	peers, err := listenPeers(cfg, log)
	if err != nil {
		return err
	}
	return serve(ctx, cfg, bal, ln, controlListener, peers, hup, log)
}

// serve runs the parts round a balancer until ctx ends or one of them fails.
func serve(ctx context.Context, cfg *Config, bal core.Decider, ln, controlListener net.Listener, peers *peers, hup <-chan os.Signal,
	log *slog.Logger) error {
	inner, stop := context.WithCancel(context.Background())
	t := newTasks(inner)
	defer t.all.Wait()
	defer stop()
	all, err := assemble(inner, cfg, bal, ln, controlListener, peers, hup, log)
	defer all.close()
	if err != nil {
		return err
	}
	all.start(t)
	log.Info("serving", "name", cfg.Name, "listen", ln.Addr().String(), "backends", len(cfg.Known.Hosts))

	var fault error
	var cutOff time.Time // the end of what still goes on
	select {
	case fault = <-t.failed:
	case <-ctx.Done():
		log.Info("stopping")
		answerBy := time.Now().Add(cfg.answerBy)
		cutOff = answerBy.Add(killMargin / 2)
		all.leave(answerBy)
		if fault = pause(cfg.stay, t.failed); fault == nil {
			all.drain()
			fault = pause(max(cfg.linger-cfg.stay, cfg.crossing), t.failed)
		}
	}
	if fault != nil { // what the loop has answered on its way out is still written
		cutOff = time.Now().Add(cfg.answerBy)
	}
	all.end(cutOff)
	return fault
}

// assemble makes the parts, in the order in which they start. With an error come those that are to be closed.
func assemble(ctx context.Context, cfg *Config, bal core.Decider, ln, controlListener net.Listener, peers *peers, hup <-chan os.Signal,
	log *slog.Logger) (all parts, err error) {
	socks := &upstream.Sockets{Limit: int64(max(0, cfg.Sockets-reservedSockets))}
	l := core.New(bal, &cfg.Settings, log)
	if peers != nil {
		l.Peers = peers
	}
	up := upstream.New(&cfg.Settings, socks, log)
	l.Backend = up
	l.Figures = figures.New(cfg.Names.Classes)
	up.CountTries(&l.Figures.Tries)

	dia, err := diameterPart(cfg, l, up, log)
	if err != nil {
		return nil, err
	}
	clients, server, listener, err := clientsPart(cfg, l, up, socks, ln, log)
	if err != nil {
		return parts{dia}, err
	}
	members, err := newMembers(cfg, peers, l, log)
	if err != nil {
		return parts{dia}, err
	}
	processes := newProcessGroup(cfg, l, up, socks, listener, members, log)
	listener.processes = processes
	operators := &controlAPI{loop: l, figures: l.Figures, processes: processes}
	sites, siteDriver, err := sitesPart(cfg, l, members, operators, log)
	if err != nil {
		return parts{dia}, err
	}
	duties, err := dutiesPart(cfg, siteDriver, members, log)
	if err != nil {
		return parts{dia}, err
	}
	list, firstList := listPart(ctx, cfg, l, hup, log)
	listener.firstList, listener.wait = firstList, cfg.firstListWait
	configured, err := configurationPart(cfg, l, server, processes, log)
	if err != nil {
		return parts{dia}, err
	}
	all = parts{
		{name: "operators", leave: func(time.Time) { operators.stops.Store(true) }}, // before all: no yes while it stops
		loopPart(l),
		configured, // before clients: what was kept holds for the first one
		{name: "backends", start: func(t *tasks) { t.Go(func(ctx context.Context) error { up.Run(ctx); return nil }) }},
		processes.part(),
		list,
		peersPart(peers, l),
		sites,
		membersPart(members),
		duties,
		clients,
		operators.part(controlListener, log),
		dia,
	}
	operators.ready, listener.ready = all.ready, all.ready
	operators.gauges, operators.routes = all.gauges(), all.routes()
	return all, nil
}

func loopPart(l *core.Loop) *part {
	return &part{name: "loop",
		start: func(t *tasks) { t.Go(l.Run) },
		leave: func(answerBy time.Time) { l.Post(func() { l.Stopping(answerBy) }) }}
}

func peersPart(p *peers, l *core.Loop) *part {
	if p == nil {
		return &part{name: "peers"}
	}
	return &part{name: "peers", start: func(t *tasks) {
		t.Go(func(ctx context.Context) error {
			p.run(ctx, func(m balance.PeerMessage) { l.Post(func() { l.Event(m) }) })
			return nil
		})
	}}
}

// clientListener is where clients come in over HTTP/1.1.
type clientListener struct {
	*admission.Listener
	processes *processGroup
	ready     func() bool
	firstList <-chan struct{} // closed once discovery has said what it has, where lists are pushed; else nil
	wait      time.Duration   // for that
}

// hold waits with the first client until this process may serve it: until one of an earlier generation need not, and
// until discovery has said what it has. That counts as told from the process's first moment on, while the list that is
// known may be of any age; clients wait in the listener's queue meanwhile.
func (d *clientListener) hold(ctx context.Context) {
	d.processes.hold(ctx, d.ready)
	if d.firstList == nil {
		return
	}
	late := time.NewTimer(d.wait)
	defer late.Stop()
	select {
	case <-d.firstList:
	case <-late.C: // it is down
	case <-ctx.Done():
	}
}

func clientsPart(cfg *Config, l *core.Loop, up *upstream.Upstream, socks *upstream.Sockets, ln net.Listener,
	log *slog.Logger) (*part, *front.Server, *clientListener, error) {
	s := &front.Server{Loop: l, Settings: &cfg.Settings, Names: cfg.Names, Figures: l.Figures, Memory: cfg.MemoryMB << 20}
	gate, err := admission.Listen(ln, admission.DefaultConfig(int(socks.Limit), cfg.MemoryMB<<20), s.ComeBack(),
		admission.Hooks{
			Opened: func() {
				socks.Open.Add(1)
				if socks.Tight() { // room for the next one
					up.Evict()
				}
			},
			Closed: func() { socks.Open.Add(-1) },
			Room:   func() { up.Evict() },
		})
	if err != nil {
		return nil, nil, nil, err
	}
	listener := &clientListener{Listener: gate}
	srv := s.HTTP(log)
	return &part{name: "clients",
		start: func(t *tasks) {
			t.Go(func(ctx context.Context) error {
				listener.hold(ctx)
				if err := srv.Serve(gate); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
					return fmt.Errorf("clients: %w", err)
				}
				return nil
			})
			l.Post(func() { // behind the known list
				l.Then(func() { s.Ready.Store(true) })
			})
		},
		ready: s.Ready.Load,
		leave: func(time.Time) {
			if listener.processes.successorServes() {
				log.Info("a successor serves: new connections are its own")
				gate.Leave()
			}
		},
		drain: gate.Drain,
		end: func(cutOff time.Duration) {
			patience, cancel := context.WithTimeout(context.Background(), cutOff)
			defer cancel()
			// Not the server's own Shutdown: it drops requests that it has just read.
			if left := gate.Finish(patience); left > 0 {
				log.Warn("connections cut off", "count", left)
			}
			srv.Close()
		}}, s, listener, nil
}

// listPart is where the list of backends comes from, and when it has first said what it has; nil: that needs no wait.
func listPart(ctx context.Context, cfg *Config, l *core.Loop, hup <-chan os.Signal, log *slog.Logger) (*part, <-chan struct{}) {
	var fresh atomic.Bool // discovery has spoken
	listed := listing(ctx, cfg, func(list balance.List, addrs map[string]string) {
		l.Post(func() {
			l.Listed(list, addrs)
			if list.Kind == balance.ListFull || list.Kind == balance.ListDelta {
				l.Then(func() { fresh.Store(true) })
			}
		})
	}, log)
	l.Lists = listed.lists
	begun := time.Now()
	return &part{name: "list",
		start: func(t *tasks) {
			listed.begin()
			t.Go(func(context.Context) error { listed.run(); return nil })
			t.Go(func(context.Context) error { listed.follow(hup); return nil })
		},
		// Guards against a yes that rests on the list that was known, of any age; but discovery may be down.
		ready: func() bool { return fresh.Load() || time.Since(begun) > listPatience }}, listed.firstList
}

// source is where the list of backends comes from.
type source struct {
	lists     core.Lists
	begin     func()                 // tells what is known
	run       func()                 // follows it until the agent ends
	follow    func(<-chan os.Signal) // reads what has changed with each signal
	firstList <-chan struct{}        // closed once it has said what it has; nil: that needs no wait
}

// listing is discovery, or a file in its place.
func listing(ctx context.Context, cfg *Config, told func(balance.List, map[string]string), log *slog.Logger) source {
	if cfg.servers != "" {
		f := roster.NewFile(cfg.servers, cfg.Known, cfg.Names, told, log)
		return source{lists: f, begin: f.Tell, run: func() {}, follow: func(hup <-chan os.Signal) {
			for {
				select {
				case <-hup:
					f.Reload()
				case <-ctx.Done():
					return
				}
			}
		}}
	}
	d := roster.New(ctx, roster.Config{Service: cfg.Discovery, Ask: cfg.Settings.Subscribe, Names: cfg.Names, Seq: cfg.Known.Seq}, told, log)
	var firstList <-chan struct{}
	if !cfg.Settings.Subscribe { // where lists are asked for, a new process has been told nothing yet
		firstList = d.FirstList()
	}
	return source{lists: d, begin: func() { d.Tell(cfg.Known, balance.ListCached) }, run: d.Run, firstList: firstList,
		follow: func(hup <-chan os.Signal) { follow(ctx, hup, cfg.path, rereadFirst, d.Move, log) }}
}

// pause waits, if anything is left to wait for, but not past the failure of a part.
func pause(d time.Duration, failed <-chan error) error {
	select {
	case <-time.After(d):
		return nil
	case err := <-failed:
		return err
	}
}
