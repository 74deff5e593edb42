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

// ProcessRun runs real agents, which serve nobody, and measures what their control work costs.
type ProcessRun struct {
	Program string
	Dir     string
	Members string // the agents' file on members
	Agents  []int  // fleets' sizes, with the longest list
	Listed  []int  // lists' lengths, with the smallest of the fleets that has ListAgents
	// ListAgents is the fleet that the lists' lengths are measured with.
	ListAgents int
	Rest       time.Duration // measured without changes, and once more with them
	Gap        time.Duration // between two changes
	Say        func(format string, args ...any)
}

// processUsage is the mean over the agents of a fleet.
type processUsage struct {
	share       float64 // of a core
	residentKB  float64
	descriptors float64
	listBytes   float64 // a second
	peerBytes   float64 // a second, datagrams' content
	datagrams   float64 // a second
}

// Run measures both ways of growing.
func (o ProcessRun) Run(ctx context.Context) ([]*Series, error) {
	longest := 0
	for _, n := range o.Listed {
		longest = max(longest, n)
	}
	byLength := newSeriesSet(Processes, "listed backends", sprintf("%d agents", o.ListAgents))
	for _, listed := range o.Listed {
		if err := o.fleet(ctx, byLength, float64(listed), o.ListAgents, listed); err != nil {
			return nil, err
		}
	}
	byAgents := newSeriesSet(Processes, "agents", sprintf("%d listed backends", longest))
	for _, agents := range o.Agents {
		if err := o.fleet(ctx, byAgents, float64(agents), agents, longest); err != nil {
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
	startPatience = 60 * time.Second
	meetPatience  = 60 * time.Second
)

func (o ProcessRun) fleet(ctx context.Context, set *seriesSet, x float64, agents, listed int) (err error) {
	if agents > cluster.Most || agents > MostProcesses {
		return fmt.Errorf("scale: %d agents are over %d", agents, min(cluster.Most, MostProcesses))
	}
	o.Say("real processes: %d agents, %d backends", agents, listed)
	server, err := newListServer(listed, 0)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, server.close()) }()
	dir, err := os.MkdirTemp(o.Dir, "fleet-")
	if err != nil {
		return err
	}
	sc, err := standin.ParseScenario("the rig's site", []byte(cluster.SiteText(agents, len(Sites))))
	if err != nil {
		return err
	}
	amend := func(_ int, config map[string]any) { config["discovery"], config["known"] = server.addr, server.whole() }
	c, err := cluster.Open(cluster.Options{Program: o.Program, Dir: dir, Scenario: sc, Members: o.Members, Seed: 1, Amend: amend})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	if err := c.StartAll(startPatience); err != nil {
		return err
	}
	if err := c.Until(meetPatience, c.Agree); err != nil {
		return err
	}
	return o.measure(ctx, set, x, c, server)
}

func (o ProcessRun) measure(ctx context.Context, set *seriesSet, x float64, c *cluster.Cluster, server *listServer) error {
	rest, err := o.during(ctx, c, server, func() error { return nil })
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
	busy, err := o.during(ctx, c, server, func() error {
		changes++
		_, err := server.change(changes)
		return err
	})
	if err != nil {
		return err
	}
	rate := float64(changes) / o.Rest.Seconds()
	set.add("processor time of an agent for a change", "ms", x, 1000*(busy.share-rest.share)/rate)
	set.add("bytes from discovery to an agent for a change", "B", x, (busy.listBytes-rest.listBytes)/rate)
	return nil
}

// during measures a fleet while something is done again and again.
func (o ProcessRun) during(ctx context.Context, c *cluster.Cluster, server *listServer, do func() error) (processUsage, error) {
	before, sentBefore, err := sample(c, server)
	if err != nil {
		return processUsage{}, err
	}
	began := time.Now()
	for time.Since(began) < o.Rest {
		if err := do(); err != nil {
			return processUsage{}, err
		}
		if err := pause(ctx, o.Gap); err != nil {
			return processUsage{}, err
		}
	}
	after, sentAfter, err := sample(c, server)
	seconds := time.Since(began).Seconds()
	agents := float64(len(c.Agents))
	return processUsage{share: (after.share - before.share) / seconds, residentKB: after.residentKB, descriptors: after.descriptors,
		listBytes: float64(sentAfter-sentBefore) / agents / seconds, peerBytes: (after.peerBytes - before.peerBytes) / seconds,
		datagrams: (after.datagrams - before.datagrams) / seconds}, err
}

// sample is the mean of the agents' counters: processor seconds in share, bytes and datagrams since their starts.
func sample(c *cluster.Cluster, server *listServer) (sum processUsage, sent int64, err error) {
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
	for _, a := range c.Agents { // apart, since the question costs the agents a little too
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
