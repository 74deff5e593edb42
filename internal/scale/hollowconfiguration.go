package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"lemonrail/internal/cluster"
	"lemonrail/internal/configuration"
	"lemonrail/internal/configuration/client"
	"lemonrail/internal/configuration/rig"
)

// HollowConfiguration runs the configuration watchers of many agents in one process against four control processes, two
// in each of two regions.
type HollowConfiguration struct {
	Program    string        // path of lemoncontrol
	FleetSizes []int         // numbers of agents
	RestTime   time.Duration // duration of the measurement without changes
	Changes    int           // number of changes that are measured sequentially
	Burst      int           // number of changes made at intervals of burstInterval
	Faults     bool          // also measure a mass restart, lost connections, a killed machine and a partition of the regions
	Dir        string        // parent directory of the control processes' data
	Seed       uint64
	Logf       func(format string, args ...any)
}

const (
	burstInterval = 100 * time.Millisecond // interval between the changes of the burst
	shippedTickMs = 50                     // raft tick, as in deploy/control.toml
)

// configurationRun is the measurement of one fleet size.
type configurationRun struct {
	HollowConfiguration
	set       *seriesSet
	fleet     *configurationFleet
	operators *client.Client                 // client of the control machines through which documents are changed
	bases     map[configuration.Scope]uint64 // latest revision of the document of each scope, on which the next change is based
	value     int                            // value of the latest mark
	x         float64                        // fleet size, as X of the series
}

// Run measures, for each fleet size, the time until a change of the configuration is in force at all agents, the traffic
// and the processor time, and with o.Faults the same under faults. The fleet size is the series' X.
func (o HollowConfiguration) Run(ctx context.Context) ([]*Series, error) {
	set := newSeriesSet(Hollow, "agents", fmt.Sprintf("%d control processes in 2 regions, %d services", controlMachines, fleetServices))
	for _, agents := range o.FleetSizes {
		o.Logf("hollow agents: %d configuration watches, %d control processes", agents, controlMachines)
		if err := o.measureSize(ctx, set, agents); err != nil {
			return nil, fmt.Errorf("%d agents: %w", agents, err)
		}
	}
	return set.fit()
}

// measureSize starts control processes and the given number of agents, measures them and appends the results to set.
func (o HollowConfiguration) measureSize(ctx context.Context, set *seriesSet, agents int) error {
	dir, err := os.MkdirTemp(o.Dir, "control-")
	if err != nil {
		return err
	}
	machines, err := rig.Start(ctx, rig.Options{Program: o.Program, Folder: dir, Regions: rig.FourMachines(), TickMs: shippedTickMs})
	if err != nil {
		return err
	}
	defer machines.Close()
	operators, err := machines.Client()
	if err != nil {
		return err
	}
	defer operators.Close()
	run := &configurationRun{HollowConfiguration: o, set: set, operators: operators, bases: map[configuration.Scope]uint64{}, x: float64(agents),
		fleet: newConfigurationFleet(machines, agents, o.Seed)}
	inner, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		run.fleet.stop(run.fleet.agents)
	}()
	steps := []func(context.Context) error{run.createDocuments, run.startAllAtOnce, run.measureRest, run.measureChanges, run.measureBurst}
	if o.Faults {
		steps = append(steps, run.massRestart, run.loseConnections, run.killLeader, run.partitionRegions)
	}
	for _, step := range steps {
		if err := step(inner); err != nil {
			return err
		}
	}
	return nil
}

// put replaces the document of a scope with one that contains the mark.
func (r *configurationRun) put(ctx context.Context, scope configuration.Scope, m revisionMark) (configuration.Accepted, error) {
	accepted, err := r.operators.Put(ctx, configuration.Change{
		ID: client.NewChangeID(), Scope: scope, Base: r.bases[scope], Document: m.document(), Author: "scale", Reason: "measurement"})
	if err == nil {
		r.bases[scope] = accepted.Revision
	}
	return accepted, err
}

// nextMark returns the mark for the next document of the fleet, and arrivals that wait until all agents apply it.
func (r *configurationRun) nextMark() (revisionMark, *arrivals) {
	r.value++
	m := revisionMark{configuration.LevelFleet, r.value}
	return m, r.fleet.expect(m, len(r.fleet.agents))
}

// createDocuments creates a document for each scope except single agents, before any agent runs.
func (r *configurationRun) createDocuments(ctx context.Context) error {
	for _, group := range []string{configuration.FleetGroup, configuration.RegionGroup("a"), configuration.RegionGroup("b")} {
		if _, err := r.fleet.rig.WaitLeader(ctx, group); err != nil {
			return err
		}
	}
	r.value = 1
	scopes := []configuration.Scope{configuration.Fleet}
	for i := range fleetServices {
		scopes = append(scopes, configuration.Scope{Level: configuration.LevelService, Name: fmt.Sprintf("service-%d", i)})
	}
	for _, region := range fleetRegionNames {
		scopes = append(scopes, configuration.Scope{Level: configuration.LevelRegion, Region: region})
		for zone := range zonesPerRegion {
			scopes = append(scopes, configuration.Scope{Level: configuration.LevelZone, Region: region, Name: fmt.Sprintf("%s%d", region, zone)})
		}
	}
	for _, scope := range scopes {
		if _, err := r.put(ctx, scope, revisionMark{scope.Level, r.value}); err != nil {
			return fmt.Errorf("%v: %w", scope, err)
		}
	}
	return nil
}

// fleetUsage is the resource usage of this process, which runs the agents, and of the control machines.
type fleetUsage struct {
	resourceUsage
	busiest  time.Duration   // highest processor time that one machine used in the span
	machines []cluster.Usage // totals per machine since its start
}

// measureDuring measures the resource usage of the function do.
func (r *configurationRun) measureDuring(do func() error) (fleetUsage, error) {
	used := startUsageSpan(&r.fleet.traffic)
	before, err := r.machinesUsage()
	if err != nil {
		return fleetUsage{}, err
	}
	if err := do(); err != nil {
		return fleetUsage{}, err
	}
	spent, err := used.end()
	if err != nil {
		return fleetUsage{}, err
	}
	after, err := r.machinesUsage()
	return fleetUsage{resourceUsage: spent, busiest: maxProcessorTime(before, after), machines: after}, err
}

// startAllAtOnce starts all agents at the same time, as after a power failure.
func (r *configurationRun) startAllAtOnce(ctx context.Context) error {
	heapBefore := heapBytes()
	arrived := r.fleet.expect(revisionMark{configuration.LevelFleet, r.value}, len(r.fleet.agents))
	var took durationSummary
	usage, err := r.measureDuring(func() (err error) {
		if err := r.fleet.startAll(ctx); err != nil {
			return err
		}
		if took, err = arrived.wait(ctx); err != nil {
			return err
		}
		return r.waitEverywhere(ctx, "all start at once: in force everywhere, as control says", configuration.Fleet, r.bases[configuration.Fleet], arrived.started)
	})
	if err != nil {
		return err
	}
	r.set.addDurations("all start at once: settings in force", r.x, took)
	r.set.add("all start at once: bytes to an agent", "B", r.x, float64(usage.received)/r.x)
	r.set.add("all start at once: bytes from an agent", "B", r.x, float64(usage.sent)/r.x)
	r.set.add("all start at once: processor time an agent", "ms", r.x, milliseconds(usage.cpu)/r.x)
	r.set.add("all start at once: processor time of the busiest machine", "ms", r.x, milliseconds(usage.busiest))
	r.set.add("memory an agent", "KB", r.x, heapGrowthKB(heapBefore)/r.x)
	return nil
}

// waitEverywhere waits until the control machines report that all agents have a revision in force, and adds the time that
// has passed since the given start to the series with the given name.
func (r *configurationRun) waitEverywhere(ctx context.Context, name string, scope configuration.Scope, revision uint64, since time.Time) error {
	status, err := r.operators.Wait(ctx, scope, revision)
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if !status.Everywhere {
		return fmt.Errorf("status: only %d of %d agents have revision %d of %v in force", status.InForce, status.Agents, revision, scope)
	}
	r.set.add(name, "ms", r.x, milliseconds(time.Since(since)))
	return nil
}

// measureRest measures traffic, processor time, memory and descriptors over r.RestTime without changes.
func (r *configurationRun) measureRest(ctx context.Context) error {
	usage, err := r.measureDuring(func() error { return pause(ctx, r.RestTime) })
	if err != nil {
		return err
	}
	seconds := usage.elapsed.Seconds()
	r.set.add("at rest, bytes to an agent a second", "B/s", r.x, float64(usage.received)/r.x/seconds)
	r.set.add("at rest, bytes from an agent a second", "B/s", r.x, float64(usage.sent)/r.x/seconds)
	r.set.add("at rest, share of a core an agent", "%", r.x, 100*usage.cpu.Seconds()/r.x/seconds)
	r.set.add("at rest, share of a core of the busiest machine", "%", r.x, 100*usage.busiest.Seconds()/seconds)
	largest, descriptors := int64(0), 0
	for _, u := range usage.machines {
		largest, descriptors = max(largest, u.ResidentKB), max(descriptors, u.Descriptors)
	}
	r.set.add("resident memory of the largest machine", "MB", r.x, float64(largest)/1024)
	r.set.add("descriptors of the machine with most", "", r.x, float64(descriptors))
	return nil
}

// measureChanges measures sequential changes of the fleet document. Each starts when the previous one is in force
// everywhere.
func (r *configurationRun) measureChanges(ctx context.Context) error {
	var all, known []time.Duration
	usage, err := r.measureDuring(func() error {
		for range r.Changes {
			took, everywhere, err := r.makeChange(ctx)
			if err != nil {
				return err
			}
			all = append(all, took...)
			known = append(known, everywhere)
		}
		return nil
	})
	if err != nil {
		return err
	}
	n := float64(max(1, r.Changes))
	r.set.addDurations("a change, from the call to in force", r.x, summarize(all))
	r.set.addDurations("a change, until control says everywhere", r.x, summarize(known))
	r.set.add("a change, bytes to and from an agent", "B", r.x, float64(usage.received+usage.sent)/r.x/n)
	r.set.add("a change, processor time an agent", "ms", r.x, milliseconds(usage.cpu)/r.x/n)
	r.set.add("a change, processor time of the busiest machine", "ms", r.x, milliseconds(usage.busiest)/n)
	return nil
}

// makeChange makes one change of the fleet document and waits until it is in force everywhere. It returns the time from
// before the call until each agent applied it, and until the control machines reported that all have.
func (r *configurationRun) makeChange(ctx context.Context) (took []time.Duration, everywhere time.Duration, err error) {
	m, arrived := r.nextMark()
	if _, err := r.put(ctx, configuration.Fleet, m); err != nil {
		return nil, 0, fmt.Errorf("put: %w", err)
	}
	if _, err := arrived.wait(ctx); err != nil {
		return nil, 0, err
	}
	status, err := r.operators.Wait(ctx, configuration.Fleet, r.bases[configuration.Fleet])
	if err == nil && !status.Everywhere {
		err = errors.New("the change is not in force everywhere")
	}
	for _, d := range arrived.durations {
		took = append(took, d)
	}
	return took, time.Since(arrived.started), err
}

// measureBurst makes changes without waiting for each other, and measures the time until the last one is in force
// everywhere.
func (r *configurationRun) measureBurst(ctx context.Context) error {
	if r.Burst == 0 {
		return nil
	}
	var last *arrivals
	for range r.Burst {
		var m revisionMark
		m, last = r.nextMark()
		if _, err := r.put(ctx, configuration.Fleet, m); err != nil {
			return fmt.Errorf("put: %w", err)
		}
		if err := pause(ctx, burstInterval); err != nil {
			return err
		}
	}
	took, err := last.wait(ctx)
	if err != nil {
		return err
	}
	r.set.addDurations("a change each 100 ms, the last from the call to in force", r.x, took)
	return r.waitEverywhere(ctx, "a change each 100 ms, the last until control says everywhere", configuration.Fleet, r.bases[configuration.Fleet], last.started)
}

// machinesUsage returns the usage of each control process since its start, zero for one that is not running.
func (r *configurationRun) machinesUsage() (all []cluster.Usage, err error) {
	for _, m := range r.fleet.rig.Machines() {
		var u cluster.Usage
		if pid := m.Pid(); pid > 0 {
			if u, err = cluster.ProcessUsage(pid); err != nil {
				return nil, err
			}
		}
		all = append(all, u)
	}
	return all, nil
}

// maxProcessorTime returns the highest processor time that one machine used between two samples.
func maxProcessorTime(before, after []cluster.Usage) (most time.Duration) {
	for i := range after {
		most = max(most, after[i].CPU-before[i].CPU)
	}
	return most
}
