package rig_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"

	"lemonrail/internal/configuration"
	"lemonrail/internal/configuration/rig"
	"lemonrail/internal/configuration/watch"
)

// startWatcher runs a Watcher, as agents do, that may use all machines. check refuses a document by returning
// an error.
func startWatcher(t *testing.T, r *rig.Rig, place configuration.Place, check func(*configuration.Document) error) *watch.Watcher {
	t.Helper()
	w, err := watch.New(watch.Config{
		Place: place,
		Machines: []configuration.Machine{
			{Name: "a1", Region: "a", Address: r.Machine("a1").Address, WitnessOf: []string{"b"}},
			{Name: "a2", Region: "a", Address: r.Machine("a2").Address},
			{Name: "b1", Region: "b", Address: r.Machine("b1").Address, WitnessOf: []string{"a"}},
			{Name: "b2", Region: "b", Address: r.Machine("b2").Address},
		},
		Check: check,
		Apply: func(context.Context, *configuration.Document) error { return nil },
		Log:   slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { w.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return w
}

// startWatchers starts count agents n0, n1 and so on, alternately in both regions, and returns once each of
// them watches a machine. The last one refuses documents with more than four attempts.
func startWatchers(ctx context.Context, t *testing.T, r *rig.Rig, count int) []*watch.Watcher {
	t.Helper()
	acceptAll := func(*configuration.Document) error { return nil }
	refuseManyAttempts := func(d *configuration.Document) error {
		if d.Limits != nil && d.Limits.Attempts != nil && *d.Limits.Attempts > 4 {
			return errors.New("too many attempts for this service")
		}
		return nil
	}
	var agents []*watch.Watcher
	for i := range count {
		check := acceptAll
		if i == count-1 {
			check = refuseManyAttempts
		}
		agents = append(agents, startWatcher(t, r, agentPlace(fmt.Sprintf("n%d", i), []string{"a", "b"}[i%2]), check))
	}
	waitConnected(ctx, t, agents, "a1", "a2", "b1", "b2")
	return agents
}

// waitConnected waits until each agent watches one of the machines with the given names.
func waitConnected(ctx context.Context, t *testing.T, agents []*watch.Watcher, machines ...string) {
	t.Helper()
	err := rig.Wait(ctx, func() bool {
		for _, agent := range agents {
			status := agent.Status()
			if !status.Connected || !slices.Contains(machines, status.Machine) {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Fatalf("not all agents watch one of %v: %v", machines, err)
	}
}

func TestRefusingAgentIsReportedAndKeepsItsRevision(t *testing.T) {
	ctx, r := start(t)
	const count = 6
	agents := startWatchers(ctx, t, r, count)
	c := newClient(t, r)
	mustPut(ctx, t, c, attemptsChange(configuration.Fleet, 0, 2))
	if status, err := c.Wait(ctx, configuration.Fleet, 1); err != nil || status.InForce != count {
		t.Fatalf("got %+v, %v", status, err)
	}
	mustPut(ctx, t, c, attemptsChange(configuration.Fleet, 1, 5))
	var status configuration.Status
	err := rig.Wait(ctx, func() (reached bool) {
		var err error
		status, err = c.Status(ctx, configuration.Fleet, 2)
		return err == nil && status.InForce == count-1
	})
	if err != nil || status.Everywhere || len(status.Behind) != 1 || status.Behind[0].Agent != "n5" || status.Behind[0].Revision != 1 {
		t.Fatalf("got %+v, %v", status, err)
	}
	if got := agents[count-1].Status().Report.InForce[configuration.Fleet].Revision; got != 1 {
		t.Errorf("the agent that refused has revision %d in force", got)
	}
	mustPut(ctx, t, c, attemptsChange(configuration.Fleet, 2, 3)) // an acceptable value again, as a new revision
	if status, err := c.Wait(ctx, configuration.Fleet, 3); err != nil || status.InForce != count {
		t.Errorf("got %+v, %v", status, err)
	}
}

func TestAgentsOfALostRegionSwitchToTheWitness(t *testing.T) {
	ctx, r := start(t)
	agents := startWatchers(ctx, t, r, 4)
	mustPut(ctx, t, newClient(t, r), attemptsChange(regionA, 0, 2))
	waitApplied(ctx, t, r.Machine("b1"), regionA, 1)
	r.Machine("a1").Kill()
	r.Machine("a2").Kill()
	waitConnected(ctx, t, agents, "b1", "b2")
	restart(ctx, t, r.Machine("a1")) // forms a majority with the witness
	change := attemptsChange(regionA, 1, 3)
	mustPut(ctx, t, newClient(t, r, "a1", "b1"), change)
	err := rig.Wait(ctx, func() bool {
		return agents[0].Status().Report.InForce[regionA].Revision == 2 && agents[2].Status().Report.InForce[regionA].Revision == 2
	})
	if err != nil {
		t.Errorf("the agents of region a don't get the change: %v", err)
	}
}

func TestChangeAtALeaderWithoutMajorityIsNeverWritten(t *testing.T) {
	ctx, r := start(t)
	agents := startWatchers(ctx, t, r, 4)
	leader := waitLeader(ctx, t, r, "fleet")
	others := slices.DeleteFunc(slices.Clone(r.Machines()), func(m *rig.Machine) bool { return m == leader })
	var names []string
	for _, m := range others {
		names = append(names, m.Name)
		r.Cut(m.Name, leader.Name) // only towards the leader: the others still receive its messages, but their answers are held back
	}
	_, err := newClient(t, r, leader.Name).Put(ctx, attemptsChange(configuration.Fleet, 0, 2))
	checkKind(t, err, configuration.ErrorNoQuorum)
	leader.Kill()
	r.HealAll()
	kept := attemptsChange(configuration.Fleet, 0, 3)
	accepted := mustPut(ctx, t, newClient(t, r, names...), kept)
	restart(ctx, t, leader)
	checkShown(ctx, t, r, kept, accepted)
	checkInForce(ctx, t, r, agents, configuration.Fleet, accepted)
}

// The machines are killed or stopped in turn and restarted while a client makes one change after another.
// Each change has to make the next revision: if one were lost or applied twice, the following one would be a
// conflict.
func TestChangesDuringARollingRestart(t *testing.T) {
	ctx, r := start(t)
	agents := startWatchers(ctx, t, r, 4)
	c := newClient(t, r)
	var last configuration.Change
	var accepted configuration.Accepted
	restarted := make(chan struct{})
	written := make(chan error, 1)
	go func() {
		written <- func() (err error) {
			for base := uint64(0); ; base++ {
				last = attemptsChange(configuration.Fleet, base, 2+int(base%3))
				if accepted, err = putUntilLeader(ctx, c, last); err != nil {
					return fmt.Errorf("on revision %d: %w", base, err)
				}
				select {
				case <-restarted:
					return nil
				default:
				}
			}
		}()
	}()
	for i, m := range r.Machines() {
		if i%2 == 0 {
			m.Kill()
		} else if err := m.Stop(); err != nil {
			t.Errorf("%s: %v", m.Name, err)
		}
		restart(ctx, t, m)
		waitVotes(ctx, t, m, "fleet")
	}
	close(restarted)
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	t.Logf("%d changes", accepted.Revision)
	checkShown(ctx, t, r, last, accepted)
	checkInForce(ctx, t, r, agents, configuration.Fleet, accepted)
}

// waitVotes waits until a machine votes in a group and knows its leader.
func waitVotes(ctx context.Context, t *testing.T, m *rig.Machine, group string) {
	t.Helper()
	err := rig.Wait(ctx, func() bool {
		status, err := m.Group(ctx, group)
		return err == nil && status.Voting && status.Leader != ""
	})
	if err != nil {
		t.Fatalf("%s doesn't vote in %s: %v", m.Name, group, err)
	}
}

// checkInForce checks that the revision of an accepted change gets in force at all agents, and that the
// machines report this.
func checkInForce(ctx context.Context, t *testing.T, r *rig.Rig, agents []*watch.Watcher, scope configuration.Scope, accepted configuration.Accepted) {
	t.Helper()
	c := newClient(t, r)
	var status configuration.Status
	err := rig.Wait(ctx, func() bool {
		var err error
		status, err = c.Status(ctx, scope, accepted.Revision)
		return err == nil && status.Everywhere && status.InForce == len(agents)
	})
	if err != nil {
		t.Errorf("not in force at %d agents: %+v", len(agents), status)
	}
	for _, agent := range agents {
		report := agent.Status().Report
		if report.InForce[scope] != accepted.Position {
			t.Errorf("agent %s has %+v in force, not %+v", report.Agent, report.InForce[scope], accepted.Position)
		}
	}
}
