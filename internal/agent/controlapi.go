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
	"lemonrail/internal/metrics"
	"lemonrail/internal/pool"
	"lemonrail/internal/takeover"
)

// controlAPI serves the operators' calls at the control listener.
type controlAPI struct {
	loop           *core.Loop
	figures        *metrics.Metrics // metrics of the loop and of the clients' server
	ready          func() bool      // all parts are ready
	stopping       atomic.Bool      // a planned stop has begun: the process is no longer ready
	processes      *processGroup    // nil: this process is the only one of its agent
	readyAnnounced atomic.Bool      // other processes of this agent know that this one serves
	gauges         []metrics.Gauge  // metrics of all parts
	routes         []control.Route  // further routes, of the other parts
}

// part returns the part that serves the control listener; it does nothing where there is none.
func (s *controlAPI) part(controlListener net.Listener, log *slog.Logger) *part {
	if controlListener == nil {
		return &part{name: "control"}
	}
	own := []control.Route{
		control.ReadyRoute("GET /api/ready", s.Ready),
		control.TextRoute("GET /api/telemetry", "text/plain; version=0.0.4; charset=utf-8", s.telemetry),
		control.BackendRoute("exclude", s.Exclude, log),
		control.BackendRoute("include", s.Include, log),
	}
	return &part{name: "control", start: func(t *tasks) {
		t.Go(func(ctx context.Context) error {
			return control.Serve(ctx, controlListener, append(own, s.routes...), log)
		})
	}}
}

// metricsUpdateTimeout bounds the wait of a request for metrics until the loop has updated them; a busy loop also updates them by
// itself.
const metricsUpdateTimeout = 100 * time.Millisecond

// telemetry returns the metrics. It has the loop update them first: an idle loop does not, and its metrics of the list
// would be stale.
func (s *controlAPI) telemetry(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsUpdateTimeout)
	defer cancel()
	s.runInLoop(ctx, func() error {
		s.loop.UpdateMetrics(0)
		return nil
	})
	return s.figures.Text(s.gauges...), nil
}

// Ready reports whether this process serves. Once it has returned true, the platform ends the previous process of the
// agent, which must know by then that this one serves: Ready announces that to the other processes first.
func (s *controlAPI) Ready() bool {
	if !s.ready() || s.stopping.Load() {
		return false
	}
	select {
	case <-s.loop.Done:
		return false
	default:
	}
	if s.processes != nil && !s.readyAnnounced.Load() {
		if err := s.processes.claim.MarkReady(); err != nil {
			s.processes.log.Error("the previous process was not informed that this one serves", "err", err)
		}
		s.readyAnnounced.Store(true)
	}
	return true
}

// changeBackend applies an operator's change to a backend: local in the loop or, where several processes are one agent,
// shared in the state that they share.
func (s *controlAPI) changeBackend(ctx context.Context, backend string, local func(string) error, shared func(*takeover.State) error) error {
	if s.processes == nil {
		return s.runInLoop(ctx, func() error { return local(backend) })
	}
	checkKnown := func() error {
		if !s.loop.Known(backend) {
			return fmt.Errorf("%q: %w", backend, pool.ErrUnknownBackend)
		}
		return nil
	}
	if err := s.runInLoop(ctx, checkKnown); err != nil {
		return err
	}
	state, err := s.processes.claim.Change(shared)
	if err != nil {
		return err
	}
	return s.runInLoop(ctx, func() error {
		s.processes.adopt(state)
		return nil
	})
}

// runInLoop runs do in the loop's goroutine and returns its error, or an error once ctx or the loop has ended before.
func (s *controlAPI) runInLoop(ctx context.Context, do func() error) error {
	done := make(chan error, 1)
	go s.loop.Post(func() { // Post blocks while the loop's inbox is full
		err := do()
		s.loop.AfterStep(func() { done <- err })
	})
	select {
	case err := <-done:
		return err
	case <-s.loop.Done:
		return core.ErrEnded
	case <-ctx.Done():
		return fmt.Errorf("the loop is busy: %w", ctx.Err())
	}
}

// Exclude has the agent send no more requests to a backend, until Include.
func (s *controlAPI) Exclude(ctx context.Context, backend string) error {
	return s.changeBackend(ctx, backend, s.loop.Exclude, func(t *takeover.State) error { return t.Exclude(backend) })
}

// Include ends the exclusion of a backend, which then counts as started anew.
func (s *controlAPI) Include(ctx context.Context, backend string) error {
	return s.changeBackend(ctx, backend, s.loop.Include, func(t *takeover.State) error {
		t.Include(backend, time.Now())
		return nil
	})
}

// listenControl opens the listener for operators' calls; it returns nil where none is configured.
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
