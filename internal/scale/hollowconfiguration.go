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

// HollowConfiguration runs the configuration parts of many agents in one process against four control processes, two in
// each of two regions.
type HollowConfiguration struct {
	Program string        // lemoncontrol
	Agents  []int         // sizes of the fleet
	Rest    time.Duration // measured without changes
	Changes int           // measured one after the other
	Burst   int           // changes, one each burstGap
	Faults  bool          // a mass restart, lost connections, a machine lost, regions apart
	Dir     string        // of the control processes
	Seed    uint64
	Say     func(format string, args ...any)
}

const (
	burstGap      = 100 * time.Millisecond
	shippedTickMs = 50 // of raft, as in deploy/control.toml
)

// configurationRun is one size while it runs.
type configurationRun struct {
	HollowConfiguration
	set       *seriesSet
	fleet     *configurationFleet
	operators *client.Client
	bases     map[configuration.Scope]uint64
	value     int // of the latest mark
	x         float64
}

// Run measures all sizes.
func (o HollowConfiguration) Run(ctx context.Context) ([]*Series, error) {
	set := newSeriesSet(Hollow, "agents", fmt.Sprintf("%d control processes in 2 regions, %d services", controlMachines, fleetServices))
	for _, agents := range o.Agents {
		o.Say("hollow agents: %d configuration watches, %d control processes", agents, controlMachines)
		if err := o.size(ctx, set, agents); err != nil {
			return nil, fmt.Errorf("%d agents: %w", agents, err)
		}
	}
	return set.fit()
}

func (o HollowConfiguration) size(ctx context.Context, set *seriesSet, agents int) error {
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
	steps := []func(context.Context) error{run.documents, run.allAtOnce, run.rest, run.changes, run.burst}
	if o.Faults {
		steps = append(steps, run.massRestart, run.lostConnections, run.lostMachine, run.regionsApart)
	}
	for _, step := range steps {
		if err := step(inner); err != nil {
			return err
		}
	}
	return nil
}

// put makes a change of a scope that carries a mark.
func (r *configurationRun) put(ctx context.Context, scope configuration.Scope, m mark) (configuration.Accepted, error) {
	accepted, err := r.operators.Put(ctx, configuration.Change{
		ID: client.NewChangeID(), Scope: scope, Base: r.bases[scope], Document: m.document(), By: "scale", Why: "measurement"})
	if err == nil {
		r.bases[scope] = accepted.Revision
	}
	return accepted, err
}

// nextMark is that of the next document of the fleet's, and its arrivals at all agents.
func (r *configurationRun) nextMark() (mark, *arrivals) {
	r.value++
	m := mark{configuration.LevelFleet, r.value}
	return m, r.fleet.expect(m, len(r.fleet.agents))
}

// documents gives each scope but the agents' a document, before any agent runs.
func (r *configurationRun) documents(ctx context.Context) error {
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
	for _, region := range fleetRegions {
		scopes = append(scopes, configuration.Scope{Level: configuration.LevelRegion, Region: region})
		for zone := range fleetRegionsZones {
			scopes = append(scopes, configuration.Scope{Level: configuration.LevelZone, Region: region, Name: fmt.Sprintf("%s%d", region, zone)})
		}
	}
	for _, scope := range scopes {
		if _, err := r.put(ctx, scope, mark{scope.Level, r.value}); err != nil {
			return fmt.Errorf("%v: %w", scope, err)
		}
	}
	return nil
}

// fleetUsage is what the agents and the machines used while something was done.
type fleetUsage struct {
	spent
	busiest  time.Duration   // processor time of the machine that used most
	machines []cluster.Usage // since their starts
}

// during measures what is used while something is done.
func (r *configurationRun) during(do func() error) (fleetUsage, error) {
	used := startSpan(&r.fleet.traffic)
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
	return fleetUsage{spent: spent, busiest: busiest(before, after), machines: after}, err
}

// allAtOnce starts all agents together, as after a power cut.
func (r *configurationRun) allAtOnce(ctx context.Context) error {
	heapBefore := heapBytes()
	arrived := r.fleet.expect(mark{configuration.LevelFleet, r.value}, len(r.fleet.agents))
	var took spread
	usage, err := r.during(func() (err error) {
		if err := r.fleet.startAll(ctx); err != nil {
			return err
		}
		if took, err = arrived.wait(ctx); err != nil {
			return err
		}
		return r.everywhere(ctx, "all start at once: in force everywhere, as control says", configuration.Fleet, r.bases[configuration.Fleet], arrived.began)
	})
	if err != nil {
		return err
	}
	r.set.spread("all start at once: settings in force", r.x, took)
	r.set.add("all start at once: bytes to an agent", "B", r.x, float64(usage.received)/r.x)
	r.set.add("all start at once: bytes from an agent", "B", r.x, float64(usage.sent)/r.x)
	r.set.add("all start at once: processor time an agent", "ms", r.x, milliseconds(usage.cpu)/r.x)
	r.set.add("all start at once: processor time of the busiest machine", "ms", r.x, milliseconds(usage.busiest))
	r.set.add("memory an agent", "KB", r.x, heapGrowthKB(heapBefore)/r.x)
	return nil
}

// everywhere waits until control says that a revision is in force everywhere, and notes how long that took.
func (r *configurationRun) everywhere(ctx context.Context, name string, scope configuration.Scope, revision uint64, since time.Time) error {
	status, err := r.operators.Wait(ctx, scope, revision)
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if !status.Everywhere {
		return fmt.Errorf("status: %d of %d agents have revision %d of %v", status.InForce, status.Agents, revision, scope)
	}
	r.set.add(name, "ms", r.x, milliseconds(time.Since(since)))
	return nil
}

func (r *configurationRun) rest(ctx context.Context) error {
	usage, err := r.during(func() error { return pause(ctx, r.Rest) })
	if err != nil {
		return err
	}
	seconds := usage.took.Seconds()
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

// changes measures changes of the fleet's document, each once the one before is in force everywhere.
func (r *configurationRun) changes(ctx context.Context) error {
	var all, known []time.Duration
	usage, err := r.during(func() error {
		for range r.Changes {
			took, everywhere, err := r.change(ctx)
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
	r.set.spread("a change, from the call to in force", r.x, spreadOf(all))
	r.set.spread("a change, until control says everywhere", r.x, spreadOf(known))
	r.set.add("a change, bytes to and from an agent", "B", r.x, float64(usage.received+usage.sent)/r.x/n)
	r.set.add("a change, processor time an agent", "ms", r.x, milliseconds(usage.cpu)/r.x/n)
	r.set.add("a change, processor time of the busiest machine", "ms", r.x, milliseconds(usage.busiest)/n)
	return nil
}

// change makes one of the fleet's document and waits until it is in force everywhere.
func (r *configurationRun) change(ctx context.Context) (took []time.Duration, everywhere time.Duration, err error) {
	m, arrived := r.nextMark()
	if _, err := r.put(ctx, configuration.Fleet, m); err != nil {
		return nil, 0, fmt.Errorf("put: %w", err)
	}
	if _, err := arrived.wait(ctx); err != nil {
		return nil, 0, err
	}
	status, err := r.operators.Wait(ctx, configuration.Fleet, r.bases[configuration.Fleet])
	if err == nil && !status.Everywhere {
		err = errors.New("not in force everywhere")
	}
	for _, d := range arrived.took {
		took = append(took, d)
	}
	return took, time.Since(arrived.began), err
}

// burst makes changes without waiting, and measures until the last is in force everywhere.
func (r *configurationRun) burst(ctx context.Context) error {
	if r.Burst == 0 {
		return nil
	}
	var last *arrivals
	for range r.Burst {
		var m mark
		m, last = r.nextMark()
		if _, err := r.put(ctx, configuration.Fleet, m); err != nil {
			return fmt.Errorf("put: %w", err)
		}
		if err := pause(ctx, burstGap); err != nil {
			return err
		}
	}
	took, err := last.wait(ctx)
	if err != nil {
		return err
	}
	r.set.spread("a change each 100 ms, the last from the call to in force", r.x, took)
	return r.everywhere(ctx, "a change each 100 ms, the last until control says everywhere", configuration.Fleet, r.bases[configuration.Fleet], last.began)
}

// machinesUsage is what each control process has used; one that doesn't run counts as nothing.
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

// busiest is the most processor time that one machine used between two samples.
func busiest(before, after []cluster.Usage) (most time.Duration) {
	for i := range after {
		most = max(most, after[i].CPU-before[i].CPU)
	}
	return most
}
