package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lemonrail/internal/configuration"
)

// massRestart restarts nine in ten agents and makes a change while they start.
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
	return r.waitSettled(ctx, "nine in ten restart, a change", arrived)
}

// loseConnections makes a change while a share lostShare of the open connections has been cut and the same share of new
// ones fails.
func (r *configurationRun) loseConnections(ctx context.Context) error {
	r.fleet.setLossy(true)
	defer r.fleet.setLossy(false)
	m, arrived := r.nextMark()
	if _, err := r.put(ctx, configuration.Fleet, m); err != nil {
		return fmt.Errorf("put with lost connections: %w", err)
	}
	return r.waitSettled(ctx, "30 % of connections lost, a change", arrived)
}

// killLeader kills the leader of the fleet's raft group and immediately makes a change. It measures the time until the
// change is accepted and until it is in force, and restarts the machine.
func (r *configurationRun) killLeader(ctx context.Context) error {
	leader, err := r.fleet.rig.WaitLeader(ctx, configuration.FleetGroup)
	if err != nil {
		return err
	}
	m, arrived := r.nextMark()
	leader.Kill()
	if err := r.putUntilAccepted(ctx, configuration.Fleet, m); err != nil {
		return fmt.Errorf("put with a machine lost: %w", err)
	}
	r.set.add("a control machine is killed: a change accepted", "ms", r.x, milliseconds(time.Since(arrived.started)))
	took, err := arrived.wait(ctx)
	if err != nil {
		return err
	}
	r.set.addDurations("a control machine is killed: a change in force", r.x, took)
	if err := leader.Start(); err != nil {
		return err
	}
	if err := leader.WaitUp(ctx); err != nil {
		return err
	}
	return r.waitEverywhere(ctx, "a control machine is killed and back: control says everywhere", configuration.Fleet, r.bases[configuration.Fleet], arrived.started)
}

// putUntilAccepted retries a change as long as it is refused for lack of a quorum.
func (r *configurationRun) putUntilAccepted(ctx context.Context, scope configuration.Scope, m revisionMark) error {
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

// partitionRegions partitions the regions. Each region must accept changes of its own document, and none may accept a
// change of the fleet document. Then it heals the partition and measures a change of the fleet document.
func (r *configurationRun) partitionRegions(ctx context.Context) error {
	r.fleet.rig.CutRegions()
	for i, region := range fleetRegionNames {
		if err := r.changeRegion(ctx, i, region); err != nil {
			return err
		}
	}
	r.value++
	if _, err := r.put(ctx, configuration.Fleet, revisionMark{configuration.LevelFleet, r.value}); !isNoQuorum(err) {
		return fmt.Errorf("regions apart: a change of the fleet's settings returned %v, want %s", err, configuration.ErrorNoQuorum)
	}
	m, arrived := r.nextMark()
	r.fleet.rig.HealAll()
	if err := r.putUntilAccepted(ctx, configuration.Fleet, m); err != nil {
		return fmt.Errorf("put after the partition healed: %w", err)
	}
	return r.waitSettled(ctx, "regions meet again, a change of the fleet's", arrived)
}

// changeRegion changes the document of a region while the regions are partitioned. number is the index of the region;
// the expected value is composed as in configurationFleet.recordApplied.
func (r *configurationRun) changeRegion(ctx context.Context, number int, region string) error {
	r.value++
	scope := configuration.Scope{Level: configuration.LevelRegion, Region: region}
	own := 0
	for _, a := range r.fleet.agents {
		if a.place.Region == region {
			own++
		}
	}
	arrived := r.fleet.expect(revisionMark{configuration.LevelRegion, r.value*len(fleetRegionNames) + number}, own)
	if err := r.putUntilAccepted(ctx, scope, revisionMark{configuration.LevelRegion, r.value}); err != nil {
		return fmt.Errorf("put in region %s while the regions are partitioned: %w", region, err)
	}
	took, err := arrived.wait(ctx)
	if err != nil {
		return err
	}
	r.set.addDurations("regions apart: a change of region "+region+"'s in force there", r.x, took)
	return nil
}

func isNoQuorum(err error) bool {
	var refused *configuration.ErrorBody
	return errors.As(err, &refused) && refused.Kind == configuration.ErrorNoQuorum
}

// waitSettled waits until a change of the fleet document has reached all agents and the control machines report that.
func (r *configurationRun) waitSettled(ctx context.Context, name string, arrived *arrivals) error {
	took, err := arrived.wait(ctx)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	r.set.addDurations(name+" in force", r.x, took)
	return r.waitEverywhere(ctx, name+": control says everywhere", configuration.Fleet, r.bases[configuration.Fleet], arrived.started)
}
