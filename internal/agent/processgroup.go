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
	pollInterval       = 100 * time.Millisecond // between reads of the state shared by the processes of this agent, while only this one runs
	sharedPollInterval = 20 * time.Millisecond  // between these reads while other processes of this agent run
)

// InheritListener returns the listener of a descriptor that the platform passes to each process of an agent. It must
// listen at want, unless the port of want is 0.
func InheritListener(fd int, want netip.AddrPort) (net.Listener, error) {
	listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("clients: descriptor %d (LB_FD): %w", fd, err)
	}
	if listening == 0 {
		return nil, fmt.Errorf("clients: descriptor %d (LB_FD) is not a listener", fd)
	}
	f := os.NewFile(uintptr(fd), "clients")
	defer f.Close() // the listener has a duplicate
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("clients: descriptor %d (LB_FD): %w", fd, err)
	}
	if got, err := netip.ParseAddrPort(ln.Addr().String()); err != nil || want.Port() != 0 && got != want {
		ln.Close()
		return nil, fmt.Errorf("clients: descriptor %d (LB_FD) listens on %v, not on %v", fd, ln.Addr(), want)
	}
	return ln, nil
}

// registerProcess registers this process among those of the agent; it returns nil where the processes share no folder.
func registerProcess(cfg *Config, log *slog.Logger) (*takeover.Claim, takeover.State) {
	if cfg.SharedDir == "" {
		return nil, takeover.State{}
	}
	c, s, err := takeover.Acquire(cfg.SharedDir, cfg.Name)
	if err != nil { // the agent serves even without knowing the others
		log.Error("other processes of this agent are not known", "err", err)
	}
	return c, s
}

// processGroup coordinates this process with the other processes of its agent, of which one replaces another: it follows the
// state that they share, and divides connections, memory and retry tokens among them.
type processGroup struct {
	claim           *takeover.Claim // this process's registration in the shared folder
	shared          takeover.State  // state that the agent's processes share, as it was when this process registered
	loop            *core.Loop
	peers           core.Peers                          // sends messages to other agents; nil: no peer messages
	members         *link.Link                          // nil: no membership
	activeRequests  func() int                          // number of requests in hand in this process
	memory          int64                               // bytes for all processes of the agent together; 0: unknown
	openConnections func() int                          // number of connections of this process
	setLimits       func(connections int, memory int64) // applies limits to clients and backends
	maxConnections  int                                 // for a process that is the only one of its agent; 0: unknown
	log             *slog.Logger

	adoptedVersion int64   // of the shared state adopted last; owned by the loop
	handedOver     bool    // a successor exchanges messages with peers from now on; owned by the loop
	budgetShare    float64 // share of the agent's limit and retry tokens that was passed to the balancer last
}

// newProcessGroup registers this process among those of the agent; it returns nil where the processes share no folder.
func newProcessGroup(cfg *Config, l *core.Loop, up *upstream.Upstream, sockets *upstream.Sockets, listener *clientListener, members *link.Link,
	log *slog.Logger) *processGroup {
	claim, shared := registerProcess(cfg, log)
	if claim == nil {
		return nil
	}
	requests, err := takeover.OpenRunningRequests(cfg.SharedDir, cfg.Name)
	if err != nil { // the agent serves even so: only a client that comes back during an upgrade may be affected
		log.Error("requests of other processes of this agent are not known", "err", err)
	} else {
		l.Claims = requests
	}
	return &processGroup{claim: claim, shared: shared, loop: l, peers: l.Peers, members: members, activeRequests: func() int { return int(l.Metrics.Active.Load()) },
		memory: cfg.MemoryMB << 20, log: log, maxConnections: int(sockets.Limit), openConnections: func() int { return int(sockets.Open.Load()) },
		setLimits: func(connections int, memory int64) {
			if err := listener.Resize(admission.DefaultConfig(connections, memory)); err != nil {
				log.Error("connection and memory limits are unchanged", "err", err)
			}
			up.SetIdleThreshold(connections)
		}}
}

// part comes before the list's part: operators' changes apply before the configured list does.
func (h *processGroup) part() *part {
	if h == nil {
		return &part{name: "processes"}
	}
	return &part{name: "processes",
		start: func(t *tasks) {
			if h.claim.View().Plan().Mute {
				h.loop.Post(func() { h.setPeerMessaging(false) })
			}
			h.loop.Post(func() { h.adopt(h.shared) })
			t.Go(func(ctx context.Context) error { h.watch(ctx); return nil })
		},
		beginStop: func(time.Time) {
			if h.successorServes() {
				h.loop.Post(h.handOver)
			}
		},
		close: h.claim.Close}
}

// adopt applies the operators' exclusions of the shared state s, unless a later version has been applied. It runs in the
// loop.
func (h *processGroup) adopt(s takeover.State) {
	if s.Version > h.adoptedVersion {
		h.adoptedVersion = s.Version
		h.loop.ReplaceExcluded(s.Excluded, s.RestoredAt, s.ExcludedZones)
	}
}

// watch reads the state that the agent's processes share and publishes this process's load, every pollInterval (or
// sharedPollInterval while other processes run), until ctx ends. When other processes start or end, it changes this
// process's limits and its messages to peers.
func (h *processGroup) watch(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	alone, unreadable := true, false
	limit := h.maxConnections
	h.budgetShare = 1
	for {
		s, v, err := h.claim.Refresh()
		if err != nil {
			if !unreadable {
				h.log.Warn("state shared with other processes can't be read", "err", err)
			}
			unreadable = true
		} else {
			unreadable = false
			h.loop.Post(func() { h.adopt(s) })
		}
		if h.members != nil { // two processes are one member: the later one, which receives the datagrams of others
			h.members.Mute(v.LaterAlive)
		}
		active := h.activeRequests()
		if err := h.claim.PublishLoad(active, h.openConnections()); err != nil {
			h.log.Warn("requests in hand are not reported to other processes", "err", err)
		}
		if p := v.Plan(); p.Alone != alone {
			alone = p.Alone
			h.log.Info("other processes of this agent", "alone", alone)
			h.setMemoryLimit(alone)
			limit = 0
			h.loop.Post(func() { h.setPeerMessaging(!p.Mute) })
			tick.Reset(map[bool]time.Duration{true: pollInterval, false: sharedPollInterval}[alone])
		}
		if newLimit := h.connectionLimit(v); newLimit != limit {
			limit = newLimit
			h.setLimits(newLimit, h.memoryShare(alone))
		}
		if share := v.Share(active); share != h.budgetShare {
			h.budgetShare = share
			h.loop.Post(func() { h.loop.Event(balance.ProcessShare{Share: share}) })
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// setPeerMessaging turns messages to peers on or off: peers must not receive two processes' messages under one agent's
// number. It runs in the loop.
func (h *processGroup) setPeerMessaging(allowed bool) {
	if allowed && !h.handedOver {
		h.loop.Peers = h.peers
	} else {
		h.loop.Peers = nil
	}
}

// handOver is called when this process begins its stop and a successor serves: from then on this process sends no messages
// to peers. It runs in the loop.
func (h *processGroup) handOver() {
	h.handedOver = true
	h.setPeerMessaging(false)
}

// setMemoryLimit sets the garbage collector's soft limit for this process's share of the agent's memory, if that is known.
func (h *processGroup) setMemoryLimit(alone bool) {
	if h.memory > 0 {
		debug.SetMemoryLimit(SoftMemoryLimit(h.memoryShare(alone)))
	}
}

// memoryShare returns the bytes that this process may use: all, or half while another process runs.
func (h *processGroup) memoryShare(alone bool) int64 {
	if alone {
		return h.memory
	}
	return h.memory / 2
}

// connectionLimit returns how many connections this process may hold: all while it is the only one of its agent, fewer
// while another process needs descriptors of its own.
func (h *processGroup) connectionLimit(v takeover.View) int {
	if h.maxConnections == 0 || v.Plan().Alone {
		return h.maxConnections
	}
	return v.ConnectionLimit(max(h.maxConnections-reservedSockets, reservedSockets))
}

// programMemory is about what the program's code and data take of a process's memory, which the collector doesn't count.
const programMemory = 12 << 20

// SoftMemoryLimit returns the garbage collector's soft limit for a process that may use memory bytes: three quarters, or less
// where memory is small, so that an eighth of what the program leaves stays free.
func SoftMemoryLimit(memory int64) int64 {
	return max(memory/4, min(memory*3/4, (memory-programMemory)*7/8))
}

// predecessorRuns reports whether an earlier process of this agent is alive.
func (h *processGroup) predecessorRuns() bool { return h != nil && h.claim.View().EarlierAlive }

// successorServes reports whether a later process of this agent serves clients.
func (h *processGroup) successorServes() bool {
	return h != nil && h.claim.View().Plan().SuccessorServes
}

const readyPollInterval = 5 * time.Millisecond // between waitReady's checks

// waitReady waits until this process is ready, if a process of an earlier generation still runs. Otherwise this process
// could take clients and end before it has ever served.
func (h *processGroup) waitReady(ctx context.Context, ready func() bool) {
	if !h.predecessorRuns() {
		return
	}
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for !ready() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
