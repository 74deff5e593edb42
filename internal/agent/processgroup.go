package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"lemonrail/balance"
	"lemonrail/internal/admission"
	upstream "lemonrail/internal/backend/http1"
	"lemonrail/internal/core"
	"lemonrail/internal/member/link"
	"lemonrail/internal/takeover"
)

const (
	lookEvery = 100 * time.Millisecond // at what other processes of this agent have written
	lookOften = 20 * time.Millisecond  // the same while there are any
)

// Inherit makes a listener of a descriptor that the platform hands to each process of an agent. It has to
// listen where the configuration says.
func Inherit(fd int, at netip.AddrPort) (net.Listener, error) {
	listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("clients: descriptor %d (LB_FD): %w", fd, err)
	}
	if listens == 0 {
		return nil, fmt.Errorf("clients: descriptor %d (LB_FD) is no listener", fd)
	}
	f := os.NewFile(uintptr(fd), "clients")
	defer f.Close() // the listener has its own
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("clients: descriptor %d (LB_FD): %w", fd, err)
	}
	if got, err := netip.ParseAddrPort(ln.Addr().String()); err != nil || at.Port() != 0 && got != at {
		ln.Close()
		return nil, fmt.Errorf("clients: descriptor %d (LB_FD) listens on %v, not on %v", fd, ln.Addr(), at)
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

// processGroup keeps a process in step with the others of its agent.
type processGroup struct {
	claim   *takeover.Claim
	shared  takeover.State // as it was when this process took its place
	loop    *core.Loop
	peers   core.Peers                          // nil where agents don't talk
	members *link.Link                          // nil: no membership
	inHand  func() int                          // requests of this process
	memory  int64                               // bytes that all may use together; 0: not told
	open    func() int                          // connections of this process
	room    func(connections int, memory int64) // puts bounds in force
	most    int                                 // connections that this process may hold where it is the only one; 0: not told
	log     *slog.Logger

	version int64   // of the state that was adopted last; the loop's
	leaves  bool    // a successor speaks for the agent from now on; the loop's
	mine    float64 // of the agent's budget, as told last
}

// newProcessGroup takes this process's place among those of the agent; nil where it is the only one there can be.
func newProcessGroup(cfg *Config, l *core.Loop, up *upstream.Upstream, socks *upstream.Sockets, listener *clientListener, members *link.Link,
	log *slog.Logger) *processGroup {
	place, shared := claim(cfg, log)
	if place == nil {
		return nil
	}
	return &processGroup{claim: place, shared: shared, loop: l, peers: l.Peers, members: members, inHand: func() int { return int(l.Figures.Active.Load()) },
		memory: cfg.MemoryMB << 20, log: log, most: int(socks.Limit), open: func() int { return int(socks.Open.Load()) },
		room: func(connections int, memory int64) {
			if err := listener.Resize(admission.DefaultConfig(connections, memory)); err != nil {
				log.Error("bounds stay as they were", "err", err)
			}
			up.Room(connections)
		}}
}

// part is ahead of the list's: what staff did comes before what is known.
func (h *processGroup) part() *part {
	if h == nil {
		return &part{name: "processes"}
	}
	return &part{name: "processes",
		start: func(t *tasks) {
			if h.claim.View().Plan().Mute {
				h.loop.Post(func() { h.speak(false) })
			}
			h.loop.Post(func() { h.adopt(h.shared) })
			t.Go(func(ctx context.Context) error { h.look(ctx); return nil })
		},
		leave: func(time.Time) {
			if h.successorServes() {
				h.loop.Post(h.leave)
			}
		},
		close: h.claim.Close}
}

// adopt takes a state over, unless a later one has been. It belongs to the loop.
func (h *processGroup) adopt(s takeover.State) {
	if s.Version > h.version {
		h.version = s.Version
		h.loop.Adopt(s.Out, s.Back, s.Zones)
	}
}

// look reads what other processes have written, until ctx ends.
func (h *processGroup) look(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	alone, broken := true, false
	room := h.most
	h.mine = 1
	for {
		s, v, err := h.claim.Look()
		if err != nil {
			if !broken {
				h.log.Warn("state shared with other processes is left aside", "err", err)
			}
			broken = true
		} else {
			broken = false
			h.loop.Post(func() { h.adopt(s) })
		}
		if h.members != nil { // two processes are one member: the later one, which gets what others send
			h.members.Mute(v.Later)
		}
		mine := h.inHand()
		if err := h.claim.Tell(mine, h.open()); err != nil {
			h.log.Warn("requests in hand are not told", "err", err)
		}
		if p := v.Plan(); p.Alone != alone {
			alone = p.Alone
			h.log.Info("other processes of this agent", "alone", alone)
			h.limit(alone)
			room = 0
			h.loop.Post(func() { h.speak(!p.Mute) })
			tick.Reset(map[bool]time.Duration{true: lookEvery, false: lookOften}[alone])
		}
		if now := h.places(v); now != room {
			room = now
			h.room(now, h.share(alone))
		}
		if part := v.Part(mine); part != h.mine {
			h.mine = part
			h.loop.Post(func() { h.loop.Event(balance.Part{Of: part}) })
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// speak lets this process speak to peers, or not: others would hear two voices under one number. It belongs to
// the loop.
func (h *processGroup) speak(may bool) {
	if may && !h.leaves {
		h.loop.Peers = h.peers
	} else {
		h.loop.Peers = nil
	}
}

// leave is called at a stop once a successor serves. It belongs to the loop.
func (h *processGroup) leave() {
	h.leaves = true
	h.speak(false)
}

// limit divides the memory among the processes that live.
func (h *processGroup) limit(alone bool) {
	if h.memory > 0 {
		debug.SetMemoryLimit(CollectAt(h.share(alone)))
	}
}

// share is the memory that this process may use.
func (h *processGroup) share(alone bool) int64 {
	if alone {
		return h.memory
	}
	return h.memory / 2
}

// places is how many connections this process may hold. Another has descriptors of its own besides.
func (h *processGroup) places(v takeover.View) int {
	if h.most == 0 || v.Plan().Alone {
		return h.most
	}
	return v.Room(max(h.most-reservedSockets, reservedSockets))
}

// CollectAt is the memory above which the collector works harder; the rest is for what it does not count.
func CollectAt(memory int64) int64 { return memory * 3 / 4 }

// successorServes reports whether a successor serves.
func (h *processGroup) successorServes() bool { return h != nil && h.claim.View().Plan().Successor }

const holdStep = 5 * time.Millisecond

// hold waits, where a process of an earlier generation serves, until this one is ready to. Guards against clients
// that are taken by a process that ends before it has ever served.
func (h *processGroup) hold(ctx context.Context, ready func() bool) {
	if h == nil || !h.claim.View().Earlier {
		return
	}
	tick := time.NewTicker(holdStep)
	defer tick.Stop()
	for !ready() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
