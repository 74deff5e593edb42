package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"time"

	"lemonrail/internal/core"
	"lemonrail/internal/takeover"
)

const lookEvery = 100 * time.Millisecond // at what other processes of this agent have written

// Inherit makes a listener of a descriptor that the platform hands to each process of an agent.
func Inherit(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, fmt.Errorf("clients: descriptor %d makes no sense", fd)
	}
	defer f.Close() // the listener has its own
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("clients: descriptor %d: %w", fd, err)
	}
	return ln, nil
}

// claim takes this process's place among those of the agent; nil where it is the only one there can be.
func claim(cfg *Config, log *slog.Logger) (*takeover.Claim, takeover.State) {
	if cfg.SharedDir == "" {
		return nil, takeover.State{}
	}
	c, s, err := takeover.Take(cfg.SharedDir, cfg.Name)
	if err != nil { // serving comes first
		log.Error("other processes of this agent are not known", "err", err)
	}
	return c, s
}

// household keeps a process in step with the others of its agent.
type household struct {
	claim  *takeover.Claim
	loop   *core.Loop
	memory int64 // bytes that all may use together; 0: not told
	log    *slog.Logger

	version int64 // of the state that was adopted last; the loop's
}

// adopt takes a state over, unless a later one has been. It belongs to the loop.
func (h *household) adopt(s takeover.State) {
	if s.Version > h.version {
		h.version = s.Version
		h.loop.Adopt(s.Out, s.Back)
	}
}

// look reads what other processes have written, until ctx ends.
func (h *household) look(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	alone := true
	for {
		if s, err := h.claim.Look(); err != nil {
			h.log.Warn("state shared with other processes", "err", err)
		} else {
			h.loop.Post(func() { h.adopt(s) })
		}
		if p := h.claim.View().Plan(); p.Alone != alone {
			alone = p.Alone
			h.log.Info("other processes of this agent", "alone", alone)
			h.limit(alone)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// limit divides the memory among the processes that live.
func (h *household) limit(alone bool) {
	switch {
	case h.memory == 0:
	case alone:
		debug.SetMemoryLimit(collectAt(h.memory))
	default:
		debug.SetMemoryLimit(collectAt(h.memory) / 2)
	}
}

// collectAt is the memory above which the collector works harder; the rest is for what it does not count.
func collectAt(memory int64) int64 { return memory * 3 / 4 }

// heir reports whether a successor serves.
func (h *household) heir() bool { return h != nil && h.claim.View().Plan().Heir }
