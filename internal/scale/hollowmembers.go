package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lemonrail/internal/member"
	"lemonrail/internal/member/link"
)

// HollowMembers runs the membership protocol of many agents, without the agents' other parts, in one process, each with its
// own UDP socket.
type HollowMembers struct {
	FleetSizes []int         // numbers of agents
	RestTime   time.Duration // duration of the measurement after all agents know each other
	Leaves     int           // number of agents that leave sequentially
	Seed       uint64
	Logf       func(format string, args ...any)
}

// memberSettings has the values of deploy/members.toml.
const memberSettings = "period_ms = 250\npause_ms = 8000\nrate = 40\n"

// memberNode is the membership of one agent.
type memberNode struct {
	number int // index of the agent
	conn   *net.UDPConn
	link   *link.Link
	cancel context.CancelFunc
	living atomic.Int64 // number of members that the agent considers living
}

// memberFleet is the memberships of one fleet size.
type memberFleet struct {
	nodes       []*memberNode
	running     sync.WaitGroup
	bytes, sent atomic.Int64 // payload bytes and number of datagrams sent by all agents

	mu      sync.Mutex
	living  int       // number of living members that an agent has to count to be recorded in arrived
	arrived *arrivals // when each agent first counted that number; nil: no one is waiting
}

// Run measures, for each fleet size, the time until all agents know each other and then each leave, and the traffic,
// processor time and memory for each agent. The fleet size is the series' X.
func (o HollowMembers) Run(ctx context.Context) ([]*Series, error) {
	set := newSeriesSet(Hollow, "agents", "membership as shipped: 250 ms between probes")
	for _, agents := range o.FleetSizes {
		o.Logf("hollow agents: %d memberships", agents)
		if err := o.measureSize(ctx, set, agents); err != nil {
			return nil, err
		}
	}
	return set.fit()
}

// measureSize starts the given number of memberships, measures them and appends the results to set.
func (o HollowMembers) measureSize(ctx context.Context, set *seriesSet, agents int) (err error) {
	heapBefore := heapBytes()
	f := &memberFleet{}
	defer func() { err = errors.Join(err, f.close()) }()
	if err := f.open(agents, o.Seed); err != nil {
		return err
	}
	x := float64(agents)
	began := time.Now()
	for _, n := range f.nodes {
		f.run(ctx, n)
	}
	if err := f.waitAllAlive(ctx); err != nil {
		return err
	}
	meeting := time.Since(began).Seconds()
	set.add("all members know all, from a start at once", "s", x, meeting)
	set.add("membership until all know all, bytes an agent-second", "B/s", x, float64(f.bytes.Load())/x/meeting)
	set.add("membership, memory an agent", "KB", x, heapGrowthKB(heapBefore)/x)

	cpu, err := processorTime()
	if err != nil {
		return err
	}
	bytes, sent, began := f.bytes.Load(), f.sent.Load(), time.Now()
	if err := pause(ctx, o.RestTime); err != nil {
		return err
	}
	after, err := processorTime()
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	set.add("membership at rest, datagrams an agent-second", "/s", x, float64(f.sent.Load()-sent)/x/seconds)
	set.add("membership at rest, bytes an agent-second", "B/s", x, float64(f.bytes.Load()-bytes)/x/seconds)
	set.add("membership at rest, share of a core an agent", "%", x, 100*(after-cpu).Seconds()/x/seconds)
	return o.measureLeaves(ctx, set, f)
}

// measureLeaves lets agents leave one after another, and measures the time until all others have noticed.
func (o HollowMembers) measureLeaves(ctx context.Context, set *seriesSet, f *memberFleet) error {
	var all []time.Duration
	agents := len(f.nodes)
	for k := range min(o.Leaves, agents/2) {
		n := f.nodes[len(f.nodes)-1]
		f.nodes = f.nodes[:len(f.nodes)-1]
		arrived := f.expect(agents - 1 - k)
		n.link.Leave(time.Second)
		n.cancel()
		if _, err := arrived.wait(ctx); err != nil {
			return fmt.Errorf("leave of member %d: %w", n.number, err)
		}
		for _, d := range arrived.durations {
			all = append(all, d)
		}
		if err := n.conn.Close(); err != nil {
			return err
		}
	}
	set.addDurations("a member's leave known to all", float64(agents), summarize(all))
	return nil
}

// open creates the sockets and memberships.
func (f *memberFleet) open(agents int, seed uint64) error {
	var peers []netip.AddrPort
	for i := range agents {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, &memberNode{number: i, conn: conn})
		peers = append(peers, conn.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	settings, err := link.ParseSettings("hollow members", []byte(memberSettings))
	if err != nil {
		return err
	}
	for i, n := range f.nodes {
		n.link, err = link.New(link.Options{Settings: settings, Name: fmt.Sprintf("n%d", i), Zone: siteNames[i%len(siteNames)], Self: member.ID(i), Peers: peers,
			Seed: seed<<20 + uint64(i), Log: slog.New(slog.DiscardHandler),
			Send:    func(to netip.AddrPort, data []byte) { f.send(n, to, data) },
			OnCount: func(c member.AgentCount) { f.recordCount(n, c) }})
		if err != nil {
			return err
		}
	}
	return nil
}

// send sends and counts a datagram of a node.
func (f *memberFleet) send(n *memberNode, to netip.AddrPort, data []byte) {
	f.sent.Add(1)
	f.bytes.Add(int64(len(data)))
	n.conn.WriteToUDPAddrPort(data, to) // send errors are ignored: the protocol tolerates lost datagrams
}

// recordCount stores how many members an agent considers living, and records the agent in f.arrived if that is the number
// waited for.
func (f *memberFleet) recordCount(n *memberNode, c member.AgentCount) {
	n.living.Store(int64(c.Living))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.arrived != nil && c.Living == f.living && n.number < f.arrived.count {
		f.arrived.record(n.number)
	}
}

// expect returns arrivals that wait for all remaining agents to count the given number of living members.
func (f *memberFleet) expect(living int) *arrivals {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.living, f.arrived = living, newArrivals(len(f.nodes))
	return f.arrived
}

const reportInterval = 100 * time.Millisecond // interval at which waitAllAlive checks the counts

// waitAllAlive waits until every agent considers all members alive.
func (f *memberFleet) waitAllAlive(ctx context.Context) error {
	for i := 0; i < len(f.nodes); {
		r, err := f.nodes[i].link.Report(ctx)
		if err != nil {
			return err
		}
		if r.Alive == len(f.nodes) {
			i++
			continue
		}
		if err := pause(ctx, reportInterval); err != nil {
			return fmt.Errorf("member %d sees %d of %d alive: %w", i, r.Alive, len(f.nodes), err)
		}
	}
	return nil
}

// run starts an agent's membership, which runs until its context ends, and a reader that ends when the socket is closed.
func (f *memberFleet) run(ctx context.Context, n *memberNode) {
	inner, cancel := context.WithCancel(ctx)
	n.cancel = cancel
	f.running.Go(func() { n.link.Run(inner) })
	f.running.Go(func() {
		buffer := make([]byte, 2048)
		for {
			size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				n.link.Received(from, append([]byte(nil), buffer[:size]...))
			}
		}
	})
}

// close ends all memberships, closes their sockets and waits for the goroutines.
func (f *memberFleet) close() error {
	var errs []error
	for _, n := range f.nodes {
		if n.cancel != nil {
			n.cancel()
		}
		errs = append(errs, n.conn.Close())
	}
	f.running.Wait()
	return errors.Join(errs...)
}
