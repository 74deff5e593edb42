// Package agent assembles one agent process from its configuration: the loop round the balancer, the fronts, the
// backends, discovery, peers and the optional parts. It starts, stops and reloads them; it takes no balancing decision.
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
	front "lemonrail/internal/front/http1"
	"lemonrail/internal/metrics"
	"lemonrail/internal/roster"
)

const reservedSockets = 32 // descriptors that clients and backends may not take: kept for standard streams, listeners, discovery, peers and the runtime's network poller

const (
	maxReadyWait            = 1500 * time.Millisecond // readiness waits at most this long for a first list from discovery
	defaultFirstListTimeout = 200 * time.Millisecond  // the first client waits at most this long for a pushed list
)

// Run serves clients until ctx ends, then answers the requests in hand and returns nil. It returns an error if a part
// fails. On each signal from hup it reads its configuration again.
func Run(ctx context.Context, cfg *Config, hup <-chan os.Signal, log *slog.Logger) error {
	if cfg.ListenFD > 0 {
		ln, err := InheritListener(cfg.ListenFD, cfg.Listen)
		if err != nil {
			return err
		}
		return RunWithListener(ctx, ln, cfg, hup, log)
	}
	ln, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	return RunWithListener(ctx, ln, cfg, hup, log)
}

// RunWithListener does what Run does, with clients on the listener ln, which is open already and is closed at the end.
func RunWithListener(ctx context.Context, ln net.Listener, cfg *Config, hup <-chan os.Signal, log *slog.Logger) error {
	defer ln.Close()
	bal, err := balance.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return err
	}
	recorder, err := explain.Open(cfg.Explain, cfg.Name, cfg.Names.Classes)
	if err != nil {
		return err
	}
	if recorder != nil {
		bal.Explain(recorder.Write)
		defer func() {
			if err := recorder.Close(); err != nil {
				log.Warn("explanations of decisions were lost", "err", err)
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

// serve assembles and starts the parts of the agent around a balancer. It stops them when ctx ends, which begins a planned
// stop, or when one of them fails, whose error it returns.
func serve(ctx context.Context, cfg *Config, bal core.Decider, ln, controlListener net.Listener, peers *peers, hup <-chan os.Signal,
	log *slog.Logger) error {
	partsCtx, stop := context.WithCancel(context.Background())
	running := newTasks(partsCtx)
	defer running.wg.Wait()
	defer stop()
	all, err := assemble(partsCtx, cfg, bal, ln, controlListener, peers, hup, log)
	defer all.close()
	if err != nil {
		return err
	}
	all.start(running)
	log.Info("serving", "name", cfg.Name, "listen", ln.Addr().String(), "backends", len(cfg.Known.Hosts))

	var failure error
	var closeAt time.Time // connections still open at this time are closed
	select {
	case failure = <-running.failed:
	case <-ctx.Done():
		log.Info("stopping")
		answerBy := time.Now().Add(cfg.answerTimeout)
		closeAt = answerBy.Add(answerMargin / 2)
		all.beginStop(answerBy)
		if failure = waitOrFailure(cfg.drainDelay, running.failed); failure == nil {
			all.drain()
			failure = waitOrFailure(max(cfg.minListenTime-cfg.drainDelay, cfg.reconnectWindow), running.failed)
		}
	}
	if failure != nil { // answers that the loop gave before it failed are still written
		closeAt = time.Now().Add(cfg.answerTimeout)
	}
	all.finish(closeAt)
	return failure
}

// assemble creates the parts in the order in which they start. With an error it returns the parts created so far that hold
// resources, for the caller to close.
func assemble(ctx context.Context, cfg *Config, bal core.Decider, ln, controlListener net.Listener, peers *peers, hup <-chan os.Signal,
	log *slog.Logger) (all parts, err error) {
	sockets := &upstream.Sockets{Limit: int64(max(0, cfg.Sockets-reservedSockets))}
	l := core.New(bal, &cfg.Settings, log)
	if peers != nil {
		l.Peers = peers
	}
	up := upstream.New(&cfg.Settings, sockets, log)
	l.Backend = up
	l.Metrics = metrics.New(cfg.Names.Classes)
	up.CountAttempts(&l.Metrics.Attempts)

	clients, server, listener, err := clientsPart(cfg, l, up, sockets, ln, log)
	if err != nil {
		return nil, err
	}
	members, err := newMembers(cfg, peers, l, log)
	if err != nil {
		return nil, err
	}
	processes := newProcessGroup(cfg, l, up, sockets, listener, members, log)
	listener.processes = processes
	countDescriptors := func(delta int) { // of connections that are neither clients over HTTP/1.1 nor for them
		sockets.Open.Add(int64(delta))
		listener.AddOthers(delta)
	}
	diameter, err := diameterPart(cfg, l, up, sockets, listener.Listener, countDescriptors, processes, log)
	if err != nil {
		return parts{processes.part()}, err
	}
	operators := &controlAPI{loop: l, figures: l.Metrics, processes: processes}
	sites, siteDriver, err := sitesPart(cfg, l, members, operators, log)
	if err != nil {
		return parts{diameter}, err
	}
	duties, err := dutiesPart(cfg, siteDriver, members, processes, countDescriptors, log)
	if err != nil {
		return parts{diameter}, err
	}
	list, firstList := listPart(ctx, cfg, l, hup, log)
	listener.firstList, listener.firstListTimeout = firstList, cfg.firstListTimeout
	configured, err := configurationPart(cfg, l, server, processes, log)
	if err != nil {
		return parts{diameter}, err
	}
	all = parts{
		{name: "operators", beginStop: func(time.Time) { operators.stopping.Store(true) }}, // first: Ready must report false while the process stops
		loopPart(l),
		configured, // before clients: restored settings apply to the first request
		{name: "backends", start: func(t *tasks) { t.Go(func(ctx context.Context) error { up.Run(ctx); return nil }) }},
		processes.part(),
		list,
		peersPart(peers, l),
		sites,
		membersPart(members),
		duties,
		clients,
		operators.part(controlListener, log),
		diameter,
	}
	operators.ready, listener.ready = all.ready, all.ready
	operators.gauges, operators.routes = all.gauges(), all.routes()
	return all, nil
}

func loopPart(l *core.Loop) *part {
	return &part{name: "loop",
		start:     func(t *tasks) { t.Go(l.Run) },
		beginStop: func(answerBy time.Time) { l.Post(func() { l.SetStopDeadline(answerBy) }) }}
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

// clientListener accepts clients over HTTP/1.1, the first one only after waitBeforeServing.
type clientListener struct {
	*admission.Listener
	processes        *processGroup   // this process and the other processes of its agent; nil: the agent has only this one
	ready            func() bool     // reports whether all parts of this process are ready
	firstList        <-chan struct{} // closed once discovery has sent its first list, where lists are pushed; otherwise nil
	firstListTimeout time.Duration   // limit on the wait for firstList, which begins when this process is ready or need not be
}

// waitBeforeServing delays accepting the first client until this process may serve it: until it is ready, if a process
// of an earlier generation still runs, and until discovery has sent its first list. A pushed list binds the agent from
// the start of the process, while the list in its configuration may be of any age. Clients wait in the listener's
// queue meanwhile.
func (l *clientListener) waitBeforeServing(ctx context.Context) {
	l.processes.waitReady(ctx, l.ready)
	if l.firstList == nil {
		return
	}
	timeout := time.NewTimer(l.firstListTimeout)
	defer timeout.Stop()
	select {
	case <-l.firstList:
	case <-timeout.C: // discovery is unreachable or silent
	case <-ctx.Done():
	}
}

// clientsPart creates the part that serves clients over HTTP/1.1 on ln. It also returns the server, to change its settings
// while it runs, and the listener, whose fields the caller has to set before the part starts.
func clientsPart(cfg *Config, l *core.Loop, up *upstream.Upstream, sockets *upstream.Sockets, ln net.Listener,
	log *slog.Logger) (*part, *front.Server, *clientListener, error) {
	s := &front.Server{Loop: l, Settings: &cfg.Settings, Names: cfg.Names, Figures: l.Metrics, Memory: cfg.MemoryMB << 20}
	admitted, err := admission.Listen(ln, admission.DefaultConfig(int(sockets.Limit), cfg.MemoryMB<<20), s.RetryAfter(),
		admission.Hooks{
			Opened: func() {
				sockets.Open.Add(1)
				if sockets.NearLimit() { // keep a descriptor free for the next connection
					up.EvictIdle()
				}
			},
			Closed:          func() { sockets.Open.Add(-1) },
			FreeDescriptors: func() { up.EvictIdle() },
		})
	if err != nil {
		return nil, nil, nil, err
	}
	listener := &clientListener{Listener: admitted}
	httpServer := s.HTTP(log)
	return &part{name: "clients",
		start: func(t *tasks) {
			t.Go(func(ctx context.Context) error {
				listener.waitBeforeServing(ctx)
				if err := httpServer.Serve(admitted); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
					return fmt.Errorf("clients: %w", err)
				}
				return nil
			})
			t.Go(func(ctx context.Context) error { reportPressure(ctx, admitted, log); return nil })
			l.Post(func() { // runs after the loop has taken over the known list
				l.AfterStep(func() { s.Ready.Store(true) })
			})
		},
		ready:  s.Ready.Load,
		gauges: clientGauges(admitted),
		beginStop: func(time.Time) {
			if listener.processes.successorServes() {
				log.Info("a successor serves: it accepts new connections")
				admitted.StopAccepting()
			}
		},
		drain: admitted.Drain,
		finish: func(timeout time.Duration) {
			finishCtx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			// The server's own Shutdown would drop requests that it has just read.
			if cutOff := admitted.Finish(finishCtx); cutOff > 0 {
				log.Warn("connections cut off", "count", cutOff)
			}
			httpServer.Close()
			if n := admitted.Counts().ClosedUnread; n > 0 {
				log.Warn("connections were closed while bytes of their clients were unread", "count", n)
			}
		}}, s, listener, nil
}

// listPart creates the part that follows the list of backends. The channel that it returns is closed once discovery has
// sent its first list; nil: clients need not wait for one.
func listPart(ctx context.Context, cfg *Config, l *core.Loop, hup <-chan os.Signal, log *slog.Logger) (*part, <-chan struct{}) {
	var received atomic.Bool // discovery has sent a full list or a delta
	src := newListSource(ctx, cfg, func(list balance.List, addrs map[string]string) {
		l.Post(func() {
			l.ApplyList(list, addrs)
			if list.Kind == balance.ListFull || list.Kind == balance.ListDelta {
				l.AfterStep(func() { received.Store(true) })
			}
		})
	}, log)
	l.Lists = src.lists
	created := time.Now()
	return &part{name: "list",
		start: func(t *tasks) {
			src.publishKnown()
			t.Go(func(context.Context) error { src.run(); return nil })
			t.Go(func(context.Context) error { src.reloadOn(hup); return nil })
		},
		// Readiness must not rest on the configured list, which may be of any age, unless discovery is unreachable.
		ready: func() bool { return received.Load() || time.Since(created) > maxReadyWait }}, src.firstList
}

// listSource provides the list of backends.
type listSource struct {
	lists        core.ListSource
	publishKnown func()                 // delivers the list of the configuration
	run          func()                 // follows the source until the agent ends
	reloadOn     func(<-chan os.Signal) // reads the configuration of the source again on each signal
	firstList    <-chan struct{}        // closed once the first list has come; nil: no need to wait for one
}

// newListSource returns discovery, or the file that replaces it.
func newListSource(ctx context.Context, cfg *Config, deliver func(balance.List, map[string]string), log *slog.Logger) listSource {
	if cfg.serversFile != "" {
		f := roster.NewFile(cfg.serversFile, cfg.Known, cfg.Names, deliver, log)
		return listSource{lists: f, publishKnown: f.Deliver, run: func() {}, reloadOn: func(hup <-chan os.Signal) {
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
	d := roster.New(ctx, roster.Config{Service: cfg.Discovery, OnDemand: cfg.Settings.Subscribe, Names: cfg.Names, Seq: cfg.Known.Seq}, deliver, log)
	var firstList <-chan struct{}
	if !cfg.Settings.Subscribe { // with Subscribe the agent asks for lists, so a new process has not been sent any yet
		firstList = d.FirstList()
	}
	return listSource{lists: d, publishKnown: func() { d.Deliver(cfg.Known, balance.ListCached) }, run: d.Run, firstList: firstList,
		reloadOn: func(hup <-chan os.Signal) { reloadOnSignal(ctx, hup, cfg.path, firstReloadWait, d.SetService, log) }}
}

// waitOrFailure waits for d, or until a part fails, whose error it returns. With d of 0 or less it returns at once.
func waitOrFailure(d time.Duration, failed <-chan error) error {
	select {
	case <-time.After(d):
		return nil
	case err := <-failed:
		return err
	}
}
