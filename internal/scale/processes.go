package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"lemonrail/internal/cluster"
	"lemonrail/internal/standin"
)

// ProcessFleets runs real agent processes without client traffic and measures the cost of their control work.
type ProcessFleets struct {
	Program       string // path of the agent
	Dir           string // parent directory of the fleets
	MembersConfig string // content of the agents' members file
	FleetSizes    []int  // fleet sizes, each measured with the longest list
	ListLengths   []int  // list lengths, each measured with ListFleetSize agents
	// ListFleetSize is the fleet size for the measurement of list lengths.
	ListFleetSize int
	RestTime      time.Duration // duration of a measurement without changes, and again of one with changes
	ChangePause   time.Duration // pause between two changes
	Logf          func(format string, args ...any)
}

// processUsage is the mean resource usage of one agent of a fleet, over all agents.
type processUsage struct {
	share       float64 // processor time, as a share of a core
	residentKB  float64
	descriptors float64
	listBytes   float64 // from discovery, per second
	peerBytes   float64 // datagram payload to peers, per second
	datagrams   float64 // to peers, per second
}

// Run measures the agents' processor time, memory and traffic: first for growing lists of backends with a fixed fleet size,
// then for growing fleets with the longest list. X is the list length, then the fleet size.
func (o ProcessFleets) Run(ctx context.Context) ([]*Series, error) {
	longest := 0
	for _, n := range o.ListLengths {
		longest = max(longest, n)
	}
	byLength := newSeriesSet(Processes, "listed backends", sprintf("%d agents", o.ListFleetSize))
	for _, listed := range o.ListLengths {
		if err := o.measureFleet(ctx, byLength, float64(listed), o.ListFleetSize, listed); err != nil {
			return nil, err
		}
	}
	byAgents := newSeriesSet(Processes, "agents", sprintf("%d listed backends", longest))
	for _, agents := range o.FleetSizes {
		if err := o.measureFleet(ctx, byAgents, float64(agents), agents, longest); err != nil {
			return nil, err
		}
	}
	first, err := byLength.fit()
	if err != nil {
		return nil, err
	}
	second, err := byAgents.fit()
	return append(first, second...), err
}

const (
	startTimeout     = 60 * time.Second // maximum time until all agents are ready
	agreementTimeout = 60 * time.Second // maximum time from then until all agents agree on the members
)

// measureFleet starts a fleet of the given size, waits until all agents agree on the members, measures it and appends the
// results at x.
func (o ProcessFleets) measureFleet(ctx context.Context, set *seriesSet, x float64, agents, listed int) (err error) {
	if agents > cluster.MaxAgents || agents > MaxProcesses {
		return fmt.Errorf("scale: %d agents exceed the maximum of %d", agents, min(cluster.MaxAgents, MaxProcesses))
	}
	o.Logf("real processes: %d agents, %d backends", agents, listed)
	server, err := newListServer(listed, 0)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, server.close()) }()
	dir, err := os.MkdirTemp(o.Dir, "fleet-")
	if err != nil {
		return err
	}
	sc, err := standin.ParseScenario("the rig's site", []byte(cluster.SiteText(agents, len(siteNames))))
	if err != nil {
		return err
	}
	amend := func(_ int, config map[string]any) {
		config["discovery"], config["known"] = server.addr, server.fullList()
	}
	c, err := cluster.Open(cluster.Options{Program: o.Program, Dir: dir, Scenario: sc, Members: o.MembersConfig, Seed: 1, Amend: amend})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	if err := c.StartAll(startTimeout); err != nil {
		return err
	}
	if err := c.Until(agreementTimeout, c.Agree); err != nil {
		return err
	}
	return o.measureCosts(ctx, set, x, c, server)
}

// measureCosts measures a fleet at rest and then with list changes, and appends both costs and the difference per change.
func (o ProcessFleets) measureCosts(ctx context.Context, set *seriesSet, x float64, c *cluster.Cluster, server *listServer) error {
	rest, err := o.measureDuring(ctx, c, server, func() error { return nil })
	if err != nil {
		return err
	}
	set.add("agent at rest, share of a core", "%", x, 100*rest.share)
	set.add("agent at rest, resident memory", "MB", x, rest.residentKB/1024)
	set.add("agent at rest, descriptors", "", x, rest.descriptors)
	set.add("agent at rest, bytes from discovery a second", "B/s", x, rest.listBytes)
	set.add("agent at rest, bytes to peers a second", "B/s", x, rest.peerBytes)
	set.add("agent at rest, datagrams to peers a second", "/s", x, rest.datagrams)

	changes := 0
	busy, err := o.measureDuring(ctx, c, server, func() error {
		changes++
		_, err := server.change(changes)
		return err
	})
	if err != nil {
		return err
	}
	rate := float64(changes) / o.RestTime.Seconds()
	set.add("processor time of an agent for a change", "ms", x, 1000*(busy.share-rest.share)/rate)
	set.add("bytes from discovery to an agent for a change", "B", x, (busy.listBytes-rest.listBytes)/rate)
	return nil
}

// measureDuring returns the fleet's usage over o.RestTime, in which do is called every o.ChangePause.
func (o ProcessFleets) measureDuring(ctx context.Context, c *cluster.Cluster, server *listServer, do func() error) (processUsage, error) {
	before, sentBefore, err := sampleUsage(c, server)
	if err != nil {
		return processUsage{}, err
	}
	began := time.Now()
	for time.Since(began) < o.RestTime {
		if err := do(); err != nil {
			return processUsage{}, err
		}
		if err := pause(ctx, o.ChangePause); err != nil {
			return processUsage{}, err
		}
	}
	after, sentAfter, err := sampleUsage(c, server)
	seconds := time.Since(began).Seconds()
	agents := float64(len(c.Agents))
	return processUsage{share: (after.share - before.share) / seconds, residentKB: after.residentKB, descriptors: after.descriptors,
		listBytes: float64(sentAfter-sentBefore) / agents / seconds, peerBytes: (after.peerBytes - before.peerBytes) / seconds,
		datagrams: (after.datagrams - before.datagrams) / seconds}, err
}

// sampleUsage returns the means over the agents of their counters since the start of their processes, and the bytes that
// discovery has sent to all of them. The field share holds the processor time in seconds.
func sampleUsage(c *cluster.Cluster, server *listServer) (sum processUsage, sent int64, err error) {
	sent = server.traffic.sent.Load()
	for _, a := range c.Agents {
		u, err := a.Usage()
		if err != nil {
			return sum, sent, err
		}
		sum.share += u.CPU.Seconds()
		sum.residentKB += float64(u.ResidentKB)
		sum.descriptors += float64(u.Descriptors)
	}
	for _, a := range c.Agents { // in a second loop, since answering this query costs the agents some processor time
		r, err := a.Members()
		if err != nil {
			return sum, sent, err
		}
		sum.peerBytes += float64(r.Counters.Bytes)
		sum.datagrams += float64(r.Counters.Sent)
	}
	n := float64(len(c.Agents))
	return processUsage{share: sum.share / n, residentKB: sum.residentKB / n, descriptors: sum.descriptors / n, peerBytes: sum.peerBytes / n,
		datagrams: sum.datagrams / n}, sent, nil
}
