package scale

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/roster"
	"lemonrail/internal/wire"
)

// HollowLists runs the discovery clients of many agents, without the agents' other parts, in one process against a
// simulated discovery service that serves one list of backends.
type HollowLists struct {
	FleetSizes  []int         // numbers of agents
	ListLength  int           // number of backends in the list
	RestTime    time.Duration // duration of the measurement without changes
	Changes     int           // number of changes that are measured sequentially
	ChangePause time.Duration // pause between two changes
	Outage      time.Duration // duration of a discovery outage at the end; 0: none
	Logf        func(format string, args ...any)
}

// listFleet is the discovery service and the clients of one fleet size.
type listFleet struct {
	server  *listServer
	agents  int
	mu      sync.Mutex
	waiting map[int64]*arrivals // by list version: when each agent received it
}

// Run measures, for each fleet size, the time until all agents have the list and then each change of it, and the bytes,
// processor time and memory for each agent. The fleet size is the series' X.
func (o HollowLists) Run(ctx context.Context) ([]*Series, error) {
	fixed := sprintf("%d listed backends", o.ListLength)
	set := newSeriesSet(Hollow, "agents", fixed)
	for _, agents := range o.FleetSizes {
		o.Logf("hollow agents: %d list watches, %d backends", agents, o.ListLength)
		if err := o.measureSize(ctx, set, agents); err != nil {
			return nil, err
		}
	}
	return set.fit()
}

// measureSize starts a discovery service and the given number of clients, measures them and appends the results to set.
func (o HollowLists) measureSize(ctx context.Context, set *seriesSet, agents int) (err error) {
	server, err := newListServer(o.ListLength, 0)
	if err != nil {
		return err
	}
	inner, cancel := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer func() {
		cancel()
		clients.Wait()
		if closeErr := server.close(); err == nil {
			err = closeErr
		}
	}()
	f := &listFleet{server: server, agents: agents, waiting: map[int64]*arrivals{}}
	heapBefore := heapBytes()
	usage := startUsageSpan(&server.traffic)
	first := f.expect(1)
	for i := range agents {
		c, err := f.client(inner, i)
		if err != nil {
			return err
		}
		clients.Go(c.Run)
	}
	took, err := first.wait(ctx)
	if err != nil {
		return err
	}
	x := float64(agents)
	spent, err := usage.end()
	if err != nil {
		return err
	}
	set.addDurations("whole list to all at once", x, took)
	set.add("whole list, bytes an agent", "B", x, float64(spent.sent)/x)
	set.add("whole list, processor time an agent (agent and server)", "ms", x, milliseconds(spent.cpu)/x)
	set.add("list watch, memory an agent (agent and server)", "KB", x, heapGrowthKB(heapBefore)/x)
	return o.measureAfterStart(ctx, set, f)
}

// measureAfterStart measures the costs at rest, changes and an outage, after each agent has received the list.
func (o HollowLists) measureAfterStart(ctx context.Context, set *seriesSet, f *listFleet) error {
	x := float64(f.agents)
	usage := startUsageSpan(&f.server.traffic)
	if err := pause(ctx, o.RestTime); err != nil {
		return err
	}
	spent, err := usage.end()
	if err != nil {
		return err
	}
	seconds := spent.elapsed.Seconds()
	set.add("list watch at rest, bytes an agent-second", "B/s", x, float64(spent.sent)/x/seconds)
	set.add("list watch at rest, share of a core an agent (agent and server)", "%", x, 100*spent.cpu.Seconds()/x/seconds)

	usage = startUsageSpan(&f.server.traffic)
	var all []time.Duration
	for n := range o.Changes {
		arrived, err := f.change(n)
		if err != nil {
			return err
		}
		if _, err := arrived.wait(ctx); err != nil {
			return err
		}
		for _, d := range arrived.durations {
			all = append(all, d)
		}
		if err := pause(ctx, o.ChangePause); err != nil {
			return err
		}
	}
	if spent, err = usage.end(); err != nil {
		return err
	}
	changes := float64(max(1, o.Changes))
	set.addDurations("a change of the list known to all", x, summarize(all))
	set.add("a change, bytes an agent", "B", x, float64(spent.sent)/x/changes)
	set.add("a change, processor time an agent (agent and server)", "ms", x, milliseconds(spent.cpu)/x/changes)
	return o.measureOutage(ctx, set, f)
}

// measureOutage stops discovery, changes the list in the meantime, and measures when all agents have the change after
// discovery has returned.
func (o HollowLists) measureOutage(ctx context.Context, set *seriesSet, f *listFleet) error {
	if o.Outage <= 0 {
		return nil
	}
	x := float64(f.agents)
	f.server.setDown(true)
	refused := f.server.refusals()
	arrived, err := f.change(0)
	if err != nil {
		return err
	}
	if err := pause(ctx, o.Outage); err != nil {
		return err
	}
	set.add("discovery down, calls an agent-second", "/s", x, float64(f.server.refusals()-refused)/x/o.Outage.Seconds())
	back := time.Since(arrived.started)
	f.server.setDown(false)
	took, err := arrived.wait(ctx)
	if err != nil {
		return err
	}
	set.addDurations("discovery back, a change made meanwhile known to all", x, durationSummary{took.p50 - back, took.p99 - back, took.worst - back})
	return nil
}

// expect returns arrivals that wait for all agents to receive a version of the list. It must be called before the
// version is published.
func (f *listFleet) expect(version int64) *arrivals {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := newArrivals(f.agents)
	f.waiting[version] = a
	return a
}

// change publishes the next version of the list, in which entry n differs.
func (f *listFleet) change(n int) (*arrivals, error) {
	f.server.mu.Lock()
	next := f.server.version + 1
	f.server.mu.Unlock()
	a := f.expect(next)
	_, err := f.server.change(n)
	return a, err
}

// client creates agent i's client of the simulated discovery service, which receives the list, follows its changes and records
// the arrival of each version.
func (f *listFleet) client(ctx context.Context, i int) (*roster.Client, error) {
	service, err := netip.ParseAddrPort(f.server.addr)
	if err != nil {
		return nil, err
	}
	onList := func(l balance.List, _ map[string]string) {
		f.mu.Lock()
		a := f.waiting[l.Version]
		f.mu.Unlock()
		if a != nil {
			a.record(i)
		}
	}
	names := wire.Names{Zones: siteNames, Kinds: []string{hostKind}}
	return roster.New(ctx, roster.Config{Service: service, Names: names}, onList, slog.New(slog.DiscardHandler)), nil
}
