package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lemonrail/internal/configuration"
)

// massRestart ends nine in ten agents and starts them again while a change is made.
func (r *configurationRun) massRestart(ctx context.Context) error {
	restarted := r.fleet.agents[:len(r.fleet.agents)*9/10]
	r.fleet.stop(restarted)
	m, arrived := r.nextMark()
	for _, a := range restarted {
		if err := r.fleet.start(ctx, a); err != nil {
			return err
		}
	}
	if _, err := r.put(ctx, configuration.Fleet, m); err != nil {
		return fmt.Errorf("put in a mass restart: %w", err)
	}
	return r.settled(ctx, "nine in ten restart, a change", arrived)
}

// lostConnections cuts three in ten connections, has three in ten new ones fail, and makes a change meanwhile.
func (r *configurationRun) lostConnections(ctx context.Context) error {
	r.fleet.setLossy(true)
	defer r.fleet.setLossy(false)
	m, arrived := r.nextMark()
	if _, err := r.put(ctx, configuration.Fleet, m); err != nil {
		return fmt.Errorf("put with lost connections: %w", err)
	}
	return r.settled(ctx, "30 % of connections lost, a change", arrived)
}

// lostMachine kills the leader of the fleet's group and makes a change at once.
func (r *configurationRun) lostMachine(ctx context.Context) error {
	leader, err := r.fleet.rig.WaitLeader(ctx, configuration.FleetGroup)
	if err != nil {
		return err
	}
	m, arrived := r.nextMark()
	leader.Kill()
	if err := r.putUntilAccepted(ctx, configuration.Fleet, m); err != nil {
		return fmt.Errorf("put with a machine lost: %w", err)
	}
	r.set.add("a control machine is killed: a change accepted", "ms", r.x, milliseconds(time.Since(arrived.began)))
	took, err := arrived.wait(ctx)
	if err != nil {
		return err
	}
	r.set.spread("a control machine is killed: a change in force", r.x, took)
	if err := leader.Start(); err != nil {
		return err
	}
	if err := leader.WaitUp(ctx); err != nil {
		return err
	}
	return r.everywhere(ctx, "a control machine is killed and back: control says everywhere", configuration.Fleet, r.bases[configuration.Fleet], arrived.began)
}

// putUntilAccepted tries again while no machine says that it has a majority.
func (r *configurationRun) putUntilAccepted(ctx context.Context, scope configuration.Scope, m mark) error {
	for {
		_, err := r.put(ctx, scope, m)
		var refused *configuration.ErrorBody
		if err == nil || !errors.As(err, &refused) || refused.Kind != configuration.ErrorNoQuorum {
			return err
		}
		if err := pause(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
}

// regionsApart cuts the regions from each other: each changes its own settings, nobody the fleet's; then they meet.
func (r *configurationRun) regionsApart(ctx context.Context) error {
	r.fleet.rig.CutRegions()
	for i, region := range fleetRegions {
		if err := r.changeRegion(ctx, i, region); err != nil {
			return err
		}
	}
	r.value++
	if _, err := r.put(ctx, configuration.Fleet, mark{configuration.LevelFleet, r.value}); !isNoQuorum(err) {
		return fmt.Errorf("regions apart: a change of the fleet's settings came to %v, not to %s", err, configuration.ErrorNoQuorum)
	}
	m, arrived := r.nextMark()
	r.fleet.rig.HealAll()
	if err := r.putUntilAccepted(ctx, configuration.Fleet, m); err != nil {
		return fmt.Errorf("put after regions met: %w", err)
	}
	return r.settled(ctx, "regions meet again, a change of the fleet's", arrived)
}

// changeRegion changes a region's document while regions are apart.
func (r *configurationRun) changeRegion(ctx context.Context, number int, region string) error {
	r.value++
	scope := configuration.Scope{Level: configuration.LevelRegion, Region: region}
	own := 0
	for _, a := range r.fleet.agents {
		if a.place.Region == region {
			own++
		}
	}
	arrived := r.fleet.expect(mark{configuration.LevelRegion, r.value*len(fleetRegions) + number}, own)
	if err := r.putUntilAccepted(ctx, scope, mark{configuration.LevelRegion, r.value}); err != nil {
		return fmt.Errorf("put in region %s while regions are apart: %w", region, err)
	}
	took, err := arrived.wait(ctx)
	if err != nil {
		return err
	}
	r.set.spread("regions apart: a change of region "+region+"'s in force there", r.x, took)
	return nil
}

func isNoQuorum(err error) bool {
	var refused *configuration.ErrorBody
	return errors.As(err, &refused) && refused.Kind == configuration.ErrorNoQuorum
}

// settled waits for a change of the fleet's document at all agents, and for control to say so.
func (r *configurationRun) settled(ctx context.Context, name string, arrived *arrivals) error {
	took, err := arrived.wait(ctx)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	r.set.spread(name+" in force", r.x, took)
	return r.everywhere(ctx, name+": control says everywhere", configuration.Fleet, r.bases[configuration.Fleet], arrived.began)
}
