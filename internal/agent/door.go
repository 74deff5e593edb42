package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"

	"lemonrail/internal/core"
	"lemonrail/internal/door"
	"lemonrail/internal/figures"
)

// staff is what the operators' door opens on.
type staff struct {
	loop    *core.Loop
	figures *figures.Figures
	ready   func() bool
	stops   atomic.Bool
}

func (s *staff) Ready() bool { return s.ready() && !s.stops.Load() }

// ask has the loop do something, and waits for it while ctx lasts.
func (s *staff) ask(ctx context.Context, do func() error) error {
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

func (s *staff) Telemetry(context.Context) []byte { return s.figures.Text() }

func (s *staff) Exclude(ctx context.Context, backend string) error {
	return s.ask(ctx, func() error { return s.loop.Exclude(backend) })
}

func (s *staff) Include(ctx context.Context, backend string) error {
	return s.ask(ctx, func() error { return s.loop.Include(backend) })
}

// openDoor listens where staff call; nil where they don't.
func openDoor(cfg *Config) (net.Listener, error) {
	if !cfg.Control.IsValid() {
		return nil, nil
	}
	ln, err := net.Listen("tcp", cfg.Control.String())
	if err != nil {
		return nil, fmt.Errorf("operators' door: %w", err)
	}
	return ln, nil
}

func serveDoor(ctx context.Context, ln net.Listener, s *staff, log *slog.Logger) error {
	return door.Serve(ctx, ln, s, log)
}
