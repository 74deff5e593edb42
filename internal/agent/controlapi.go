package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"lemonrail/internal/control"
	"lemonrail/internal/core"
	"lemonrail/internal/figures"
	"lemonrail/internal/pool"
	"lemonrail/internal/takeover"
)

// controlAPI is what operators call at the control listener.
type controlAPI struct {
	loop      *core.Loop
	figures   *figures.Figures
	ready     func() bool
	stops     atomic.Bool
	processes *processGroup // nil: this process is the only one of its agent
	told      atomic.Bool   // the others know that this one serves
	gauges    []figures.Gauge
	routes    []control.Route // of the other parts
}

// part answers at the control listener, where there is one.
func (s *controlAPI) part(controlListener net.Listener, log *slog.Logger) *part {
	if controlListener == nil {
		return &part{name: "control"}
	}
	own := []control.Route{
		control.Ready("GET /api/ready", s.Ready),
		control.Text("GET /api/telemetry", "text/plain; version=0.0.4; charset=utf-8", s.telemetry),
		control.Change("exclude", s.Exclude, log),
		control.Change("include", s.Include, log),
	}
	return &part{name: "control", start: func(t *tasks) {
		t.Go(func(ctx context.Context) error {
			return control.Serve(ctx, controlListener, append(own, s.routes...), log)
		})
	}}
}

// countLimit is how long a loop that is busy is waited for to count; it brings its figures up to date by itself.
const countLimit = 100 * time.Millisecond

// telemetry is the figures. Guards against old ones of the list: a loop that has nothing to do counts nothing.
func (s *controlAPI) telemetry(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, countLimit)
	defer cancel()
	s.ask(ctx, func() error {
		s.loop.Count(0)
		return nil
	})
	return s.figures.Text(s.gauges...), nil
}

// Ready reports whether this process serves. Its yes ends the process before it, so that one that waits for
// this has to know it first.
func (s *controlAPI) Ready() bool {
	if !s.ready() || s.stops.Load() {
		return false
	}
	select {
	case <-s.loop.Dead:
		return false
	default:
	}
	if s.processes != nil && !s.told.Load() {
		if err := s.processes.claim.Ready(); err != nil {
			s.processes.log.Error("the process before this one is not told", "err", err)
		}
		s.told.Store(true)
	}
	return true
}

// change has the loop note what staff did; where several processes are one agent, by way of what they share.
func (s *controlAPI) change(ctx context.Context, backend string, alone func(string) error, shared func(*takeover.State) error) error {
	if s.processes == nil {
		return s.ask(ctx, func() error { return alone(backend) })
	}
	known := func() error {
		if !s.loop.Known(backend) {
			return fmt.Errorf("%q: %w", backend, pool.ErrUnknown)
		}
		return nil
	}
	if err := s.ask(ctx, known); err != nil {
		return err
	}
	state, err := s.processes.claim.Change(shared)
	if err != nil {
		return err
	}
	return s.ask(ctx, func() error {
		s.processes.adopt(state)
		return nil
	})
}

// ask has the loop do something, and waits for it while ctx lasts.
func (s *controlAPI) ask(ctx context.Context, do func() error) error {
	done := make(chan error, 1)
	go s.loop.Post(func() { // Post waits where the loop is behind
		err := do()
		s.loop.Then(func() { done <- err })
	})
	select {
	case err := <-done:
		return err
	case <-s.loop.Dead:
		return core.ErrEnded
	case <-ctx.Done():
		return fmt.Errorf("the loop is busy: %w", ctx.Err())
	}
}

func (s *controlAPI) Exclude(ctx context.Context, backend string) error {
	return s.change(ctx, backend, s.loop.Exclude, func(t *takeover.State) error { return t.Exclude(backend) })
}

func (s *controlAPI) Include(ctx context.Context, backend string) error {
	return s.change(ctx, backend, s.loop.Include, func(t *takeover.State) error {
		t.Include(backend, time.Now())
		return nil
	})
}

// listenControl listens where staff call; nil where they don't.
func listenControl(cfg *Config) (net.Listener, error) {
	if !cfg.Control.IsValid() {
		return nil, nil
	}
	ln, err := net.Listen("tcp", cfg.Control.String())
	if err != nil {
		return nil, fmt.Errorf("control listener: %w", err)
	}
	return ln, nil
}
