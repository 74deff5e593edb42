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
	"sync"
	"sync/atomic"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/admission"
	upstream "lemonrail/internal/backend/http1"
	"lemonrail/internal/control"
	"lemonrail/internal/core"
	"lemonrail/internal/explain"
	"lemonrail/internal/figures"
	front "lemonrail/internal/front/http1"
	"lemonrail/internal/roster"
)

const reservedSockets = 32 // for standard streams, listeners, discovery, peers and the poller

const listPatience = 1500 * time.Millisecond // for discovery, before this process says that it serves

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
	desk, err := openDoor(cfg)
	if err != nil {
		return err
	}
	if desk != nil {
		defer desk.Close()
	}
	peers, err := listenPeers(cfg, log)
	if err != nil {
		return err
	}
	return serve(ctx, cfg, bal, ln, desk, peers, hup, log)
}

// serve runs the parts round a balancer until ctx ends or one of them fails.
func serve(ctx context.Context, cfg *Config, bal core.Decider, ln, desk net.Listener, peers *peers, hup <-chan os.Signal,
	log *slog.Logger) error {
	inner, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()

	socks := &upstream.Sockets{Limit: int64(max(0, cfg.Sockets-reservedSockets))}
	l := core.New(bal, &cfg.Settings, log)
	if peers != nil {
		l.Peers = peers
	}
	up := upstream.New(&cfg.Settings, socks, log)
	l.Backend = up
	l.Figures = figures.New(cfg.Names.Classes)
	up.CountTries(&l.Figures.Tries)
	dia, err := withDiameter(cfg, l, up, log)
	if err != nil {
		return err
	}
	if dia != nil {
		defer dia.back.Close() // once no attempt begins any more
		defer dia.ln.Close()
	}
	var fresh atomic.Bool // discovery has spoken
	listed := listing(inner, cfg, func(list balance.List, addrs map[string]string) {
		l.Post(func() {
			l.Listed(list, addrs)
			if list.Kind == balance.ListFull || list.Kind == balance.ListDelta {
				l.Then(func() { fresh.Store(true) })
			}
		})
	}, log)
	l.Lists = listed.lists

	s := &front.Server{Loop: l, Settings: &cfg.Settings, Names: cfg.Names, Figures: l.Figures, Memory: cfg.MemoryMB << 20}
	door, err := admission.Listen(ln, admission.DefaultConfig(int(socks.Limit), cfg.MemoryMB<<20), s.ComeBack(),
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
		return err
	}
	srv := s.HTTP(log)
	failed := make(chan error, 4)
	parts.Go(func() {
		if err := l.Run(inner); err != nil {
			failed <- err
		}
	})
	parts.Go(func() { up.Run(inner) })
	begun := time.Now()
	staffed := &staff{loop: l, figures: l.Figures, ready: func() bool {
		// Guards against a yes that rests on the list that was known, of any age; but discovery may be down.
		return s.Ready.Load() && (fresh.Load() || time.Since(begun) > listPatience)
	}}
	var home *household
	if place, shared := claim(cfg, log); place != nil {
		defer place.Close()
		home = &household{claim: place, loop: l, peers: l.Peers, inHand: func() int { return int(l.Figures.Active.Load()) },
			memory: cfg.MemoryMB << 20, log: log, most: int(socks.Limit), open: func() int { return int(socks.Open.Load()) },
			room: func(connections int, memory int64) {
				if err := door.Resize(admission.DefaultConfig(connections, memory)); err != nil {
					log.Error("bounds stay as they were", "err", err)
				}
				up.Room(connections)
			}}
		if place.View().Plan().Mute {
			l.Post(func() { home.speak(false) })
		}
		l.Post(func() { home.adopt(shared) }) // ahead of the known list
		staffed.home = home
		parts.Go(func() { home.look(inner) })
	}
	listed.begin()
	parts.Go(listed.run)
	parts.Go(func() { listed.follow(hup) })
	if peers != nil {
		parts.Go(func() {
			peers.run(inner, func(m balance.PeerMessage) { l.Post(func() { l.Event(m) }) })
		})
	}
	parts.Go(func() {
		home.hold(inner, staffed.ready)
		if err := srv.Serve(door); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("clients: %w", err)
		}
	})
	l.Post(func() { // behind the known list
		l.Then(func() { s.Ready.Store(true) })
	})
	if desk != nil {
		parts.Go(func() {
			if err := control.Serve(inner, desk, staffed, log); err != nil {
				failed <- err
			}
		})
	}
	log.Info("serving", "name", cfg.Name, "listen", ln.Addr().String(), "backends", len(cfg.Known.Hosts))

	diaDone, endDia := context.WithCancel(context.Background())
	defer endDia()
	if dia != nil {
		parts.Go(func() {
			if err := dia.front.Serve(diaDone, dia.ln, func() time.Time { return time.Now().Add(cfg.answerBy - cfg.stay) }); err != nil {
				failed <- err
			}
		})
	}

	var fault error
	var cutOff time.Time // the end of what still goes on
	select {
	case fault = <-failed:
	case <-ctx.Done():
		log.Info("stopping")
		staffed.stops.Store(true)
		answerBy := time.Now().Add(cfg.answerBy)
		cutOff = answerBy.Add(killMargin / 2)
		l.Post(func() { l.Stopping(answerBy) })
		if home.heir() {
			log.Info("a successor serves: new connections are its own")
			door.Leave()
			l.Post(home.leave)
		}
		if fault = pause(cfg.stay, failed); fault == nil {
			endDia()
			door.Drain()
			fault = pause(cfg.linger-cfg.stay, failed)
		}
	}
	if fault != nil { // what the loop has answered on its way out is still written
		cutOff = time.Now().Add(cfg.answerBy)
	}
	patience, cancel := context.WithDeadline(context.Background(), cutOff)
	defer cancel()
	// Not the server's own Shutdown: it drops requests that it has just read.
	if left := door.Finish(patience); left > 0 {
		log.Warn("connections cut off", "count", left)
	}
	srv.Close()
	return fault
}

// source is where the list of backends comes from.
type source struct {
	lists  core.Lists
	begin  func()                 // tells what is known
	run    func()                 // follows it until the agent ends
	follow func(<-chan os.Signal) // reads what has changed with each signal
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
	return source{lists: d, begin: func() { d.Tell(cfg.Known, balance.ListCached) }, run: d.Run,
		follow: func(hup <-chan os.Signal) { follow(ctx, hup, cfg.path, d.Move, log) }}
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
