package rig_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"lemonrail/internal/configuration"
	"lemonrail/internal/configuration/client"
	"lemonrail/internal/configuration/rig"
)

// program is the path of lemoncontrol, which is built once for all tests.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "lemoncontrol")
	if err == nil {
		program, err = rig.Build(context.Background(), folder)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// hangTimeout ends a test that hangs; it is no performance criterion.
const hangTimeout = time.Minute

// Scopes used by the tests.
var (
	regionA = configuration.Scope{Level: configuration.LevelRegion, Region: "a"}
	regionB = configuration.Scope{Level: configuration.LevelRegion, Region: "b"}
)

// start starts the machines of FourMachines, a1 and a2 in region a and b1 and b2 in region b, for one test.
func start(t *testing.T) (context.Context, *rig.Rig) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	t.Cleanup(cancel)
	r, err := rig.Start(ctx, rig.Options{Program: program, Folder: t.TempDir(), Regions: rig.FourMachines()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		if t.Failed() {
			logMachines(t, r)
		}
	})
	for _, group := range []string{"fleet", "region-a", "region-b"} {
		waitLeader(ctx, t, r, group)
	}
	return ctx, r
}

// logMachines writes the output of all machines to the test's log.
func logMachines(t *testing.T, r *rig.Rig) {
	for _, m := range r.Machines() {
		raw, _ := os.ReadFile(m.LogPath())
		t.Logf("log of %s:\n%s", m.Name, raw)
	}
}

func waitLeader(ctx context.Context, t *testing.T, r *rig.Rig, group string, among ...string) *rig.Machine {
	t.Helper()
	leader, err := r.WaitLeader(ctx, group, among...)
	if err != nil {
		t.Fatal(err)
	}
	return leader
}

func newClient(t *testing.T, r *rig.Rig, names ...string) *client.Client {
	t.Helper()
	c, err := r.Client(names...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// attemptsChange returns a change that sets limits.attempts to count. base is the revision that it replaces.
func attemptsChange(scope configuration.Scope, base uint64, count int) configuration.Change {
	document := fmt.Sprintf(`{"format":1,"limits":{"attempts":%d}}`, count)
	return configuration.Change{ID: client.NewChangeID(), Scope: scope, Base: base, Document: []byte(document), Author: "test", Reason: "test"}
}

// putUntilLeader makes a change. As long as no leader is found, and so certainly nothing was written, it
// tries again.
func putUntilLeader(ctx context.Context, c *client.Client, change configuration.Change) (accepted configuration.Accepted, err error) {
	waitErr := rig.Wait(ctx, func() bool {
		accepted, err = c.Put(ctx, change)
		return !isKind(err, configuration.ErrorNoQuorum)
	})
	return accepted, errors.Join(err, waitErr)
}

// showUntilLeader asks for the latest revision of a scope. As long as no leader is found, it tries again.
func showUntilLeader(ctx context.Context, c *client.Client, scope configuration.Scope) (shown configuration.Revision, err error) {
	waitErr := rig.Wait(ctx, func() bool {
		shown, err = c.Show(ctx, scope)
		return !isKind(err, configuration.ErrorNoQuorum)
	})
	return shown, errors.Join(err, waitErr)
}

// isKind reports whether an error is an *ErrorBody of a kind.
func isKind(err error, kind configuration.ErrorKind) bool {
	var body *configuration.ErrorBody
	return errors.As(err, &body) && body.Kind == kind
}

func mustPut(ctx context.Context, t *testing.T, c *client.Client, change configuration.Change) configuration.Accepted {
	t.Helper()
	accepted, err := putUntilLeader(ctx, c, change)
	if err != nil {
		t.Fatalf("put %s on revision %d: %v", change.Scope, change.Base, err)
	}
	if accepted.Revision != change.Base+1 {
		t.Fatalf("put %s on revision %d made revision %d", change.Scope, change.Base, accepted.Revision)
	}
	return accepted
}

// checkKind checks that an error is an *ErrorBody of one of the kinds.
func checkKind(t *testing.T, err error, kinds ...configuration.ErrorKind) {
	t.Helper()
	for _, kind := range kinds {
		if isKind(err, kind) {
			return
		}
	}
	t.Errorf("got error %v, want one of %v", err, kinds)
}

// checkShown checks that every machine shows the revision that an accepted change made.
func checkShown(ctx context.Context, t *testing.T, r *rig.Rig, change configuration.Change, accepted configuration.Accepted) {
	t.Helper()
	for _, m := range r.Machines() {
		shown, err := showUntilLeader(ctx, newClient(t, r, m.Name), change.Scope)
		if err != nil {
			t.Fatalf("%s: show %s: %v", m.Name, change.Scope, err)
		}
		if shown.Position != accepted.Position || shown.Change != change.ID || shown.Digest != accepted.Digest {
			t.Errorf("%s shows %+v of change %s, but %+v was accepted of change %s", m.Name, shown.Position, shown.Change, accepted.Position, change.ID)
		}
	}
}

// waitApplied waits until the machine has applied a revision of a scope.
func waitApplied(ctx context.Context, t *testing.T, m *rig.Machine, scope configuration.Scope, revision uint64) {
	t.Helper()
	err := rig.Wait(ctx, func() bool {
		status, err := m.Group(ctx, scope.Group())
		return err == nil && status.Scopes[scope].Revision >= revision
	})
	if err != nil {
		t.Fatalf("%s hasn't applied revision %d of %s: %v", m.Name, revision, scope, err)
	}
}

func agentPlace(name, region string) configuration.Place {
	return configuration.Place{Agent: name, Region: region, Zone: "z1", Service: "search"}
}

func TestChangesReachAllMachinesAndAgents(t *testing.T) {
	ctx, r := start(t)
	b2 := newClient(t, r, "b2") // b2 doesn't vote in region-a
	inA := startAgent(t, r.Machine("a1").Address, agentPlace("n1", "a"))
	inB := startAgent(t, r.Machine("b2").Address, agentPlace("n2", "b"))

	fleet := attemptsChange(configuration.Fleet, 0, 2)
	acceptedFleet := mustPut(ctx, t, b2, fleet)
	region := attemptsChange(regionA, 0, 3)
	acceptedRegion := mustPut(ctx, t, b2, region)
	checkShown(ctx, t, r, fleet, acceptedFleet)
	checkShown(ctx, t, r, region, acceptedRegion)

	inA.waitFor(ctx, t, configuration.Fleet, 1)
	inA.waitFor(ctx, t, regionA, 1)
	inB.waitFor(ctx, t, configuration.Fleet, 1)
	for _, m := range r.Machines() {
		status, err := newClient(t, r, m.Name).Wait(ctx, configuration.Fleet, 1)
		if err != nil || !status.Everywhere || status.Agents != 2 || status.InForce != 2 {
			t.Errorf("%s reports %+v, %v", m.Name, status, err)
		}
	}

	inB.stop()
	err := rig.Wait(ctx, func() bool {
		status, err := b2.Status(ctx, configuration.Fleet, 1)
		return err == nil && !status.Everywhere && len(status.Behind) == 1 && status.Behind[0].Agent == "n2"
	})
	if err != nil {
		t.Errorf("the disconnected agent isn't reported as behind: %v", err)
	}
}

func TestTwoChangesAtOnceMakeOneRevision(t *testing.T) {
	ctx, r := start(t)
	changes := []configuration.Change{attemptsChange(regionA, 0, 2), attemptsChange(regionA, 0, 3)}
	clients := []*client.Client{newClient(t, r, "a2"), newClient(t, r, "b1")}
	accepted := make([]configuration.Accepted, len(changes))
	errs := make([]error, len(changes))
	var both sync.WaitGroup
	for i := range changes {
		both.Go(func() { accepted[i], errs[i] = putUntilLeader(ctx, clients[i], changes[i]) })
	}
	both.Wait()
	won := 0
	if errs[0] != nil {
		won = 1
	}
	if errs[won] != nil {
		t.Fatalf("both were refused: %v and %v", errs[0], errs[1])
	}
	checkKind(t, errs[1-won], configuration.ErrorConflict)
	checkShown(ctx, t, r, changes[won], accepted[won])
}

func TestLeaderKilledBetweenAcceptingAndAnswering(t *testing.T) {
	ctx, r := start(t)
	agents := startWatchers(ctx, t, r, 4)
	leader := waitLeader(ctx, t, r, "fleet")
	const operator = "operator"
	linkAddress, err := r.ExternalLink(operator, leader)
	if err != nil {
		t.Fatal(err)
	}
	machines := []string{linkAddress}
	for _, m := range r.Machines() {
		if m != leader {
			machines = append(machines, m.Address)
		}
	}
	c, err := client.New(machines...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)

	r.Cut(leader.Name, operator) // the change arrives, but its answer is held back
	change := attemptsChange(configuration.Fleet, 0, 2)
	type result struct {
		accepted configuration.Accepted
		err      error
	}
	answered := make(chan result, 1)
	go func() {
		accepted, err := putUntilLeader(ctx, c, change)
		answered <- result{accepted, err}
	}()
	waitApplied(ctx, t, leader, configuration.Fleet, 1)
	leader.Kill()
	r.Heal(leader.Name, operator)

	got := <-answered
	if got.err != nil || got.accepted.Revision != 1 {
		t.Fatalf("the repeated change got %+v, %v, want revision 1", got.accepted, got.err)
	}
	restart(ctx, t, leader)
	checkShown(ctx, t, r, change, got.accepted)
	checkInForce(ctx, t, r, agents, configuration.Fleet, got.accepted)
}

func TestPausedLeaderNeverGivesStaleAnswers(t *testing.T) {
	ctx, r := start(t)
	mustPut(ctx, t, newClient(t, r), attemptsChange(regionA, 0, 2))
	old := waitLeader(ctx, t, r, "region-a")
	if err := old.Pause(); err != nil {
		t.Fatal(err)
	}
	var others []string
	for _, m := range r.Machines() {
		if m != old {
			others = append(others, m.Name)
		}
	}
	waitLeader(ctx, t, r, "region-a", others...)
	second := attemptsChange(regionA, 1, 3)
	accepted := mustPut(ctx, t, newClient(t, r, others...), second)

	// Both calls wait at the paused machine, which still considers itself the leader when it resumes.
	asked := newClient(t, r, old.Name)
	var shown configuration.Revision
	var showErr, putErr error
	var both sync.WaitGroup
	sent := make(chan struct{}, 2)
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		select {
		case sent <- struct{}{}:
		default: // a request that the transport sends again
		}
	}})
	both.Go(func() { shown, showErr = asked.Show(traced, regionA) })
	both.Go(func() { _, putErr = asked.Put(traced, attemptsChange(regionA, 1, 4)) })
	<-sent
	<-sent
	if err := old.Resume(); err != nil {
		t.Fatal(err)
	}
	both.Wait()
	if showErr == nil && shown.Position != accepted.Position {
		t.Errorf("after the pause it shows %+v, but %+v was accepted", shown.Position, accepted.Position)
	}
	if showErr != nil {
		checkKind(t, showErr, configuration.ErrorNoQuorum)
	}
	checkKind(t, putErr, configuration.ErrorConflict, configuration.ErrorNoQuorum)
	checkShown(ctx, t, r, second, accepted)
}

func TestRegionPartition(t *testing.T) {
	ctx, r := start(t)
	r.CutRegions()
	waitLeader(ctx, t, r, "region-a", "a1", "a2")
	waitLeader(ctx, t, r, "region-b", "b1", "b2")
	waitNoLeader(ctx, t, r, "fleet")

	changeA, changeB := attemptsChange(regionA, 0, 2), attemptsChange(regionB, 0, 3)
	acceptedA := mustPut(ctx, t, newClient(t, r, "a1", "a2"), changeA)
	acceptedB := mustPut(ctx, t, newClient(t, r, "b2", "b1"), changeB)
	checkRefusedEverywhere(ctx, t, r, attemptsChange(configuration.Fleet, 0, 4))

	r.HealAll()
	for _, group := range []string{"fleet", "region-a", "region-b"} {
		waitLeader(ctx, t, r, group)
	}
	checkShown(ctx, t, r, changeA, acceptedA)
	checkShown(ctx, t, r, changeB, acceptedB)
	checkNeverWritten(ctx, t, r, configuration.Fleet)
	later := attemptsChange(configuration.Fleet, 0, 5)
	checkShown(ctx, t, r, later, mustPut(ctx, t, newClient(t, r), later))
}

// checkRefusedEverywhere checks that every machine refuses a change with an error which says that nothing was
// written.
func checkRefusedEverywhere(ctx context.Context, t *testing.T, r *rig.Rig, change configuration.Change) {
	t.Helper()
	errs := make([]error, len(r.Machines()))
	var all sync.WaitGroup
	for i, m := range r.Machines() {
		c := newClient(t, r, m.Name)
		all.Go(func() { _, errs[i] = c.Put(ctx, change) })
	}
	all.Wait()
	for _, err := range errs {
		checkKind(t, err, configuration.ErrorNoQuorum)
	}
}

// checkNeverWritten checks that a scope has no document at any machine.
func checkNeverWritten(ctx context.Context, t *testing.T, r *rig.Rig, scope configuration.Scope) {
	t.Helper()
	for _, m := range r.Machines() {
		_, err := showUntilLeader(ctx, newClient(t, r, m.Name), scope)
		checkKind(t, err, configuration.ErrorMissing)
	}
}

// waitNoLeader waits until no machine knows a leader of a group.
func waitNoLeader(ctx context.Context, t *testing.T, r *rig.Rig, group string) {
	t.Helper()
	err := rig.Wait(ctx, func() bool {
		for _, m := range r.Machines() {
			status, err := m.Group(ctx, group)
			if err != nil || status.Leader != "" {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Fatalf("%s still has a leader: %v", group, err)
	}
}

func TestOneWayRegionPartition(t *testing.T) {
	ctx, r := start(t)
	for _, from := range []string{"a1", "a2"} {
		for _, to := range []string{"b1", "b2"} {
			r.Cut(from, to)
		}
	}
	waitLeader(ctx, t, r, "region-a", "a1", "a2")
	waitLeader(ctx, t, r, "region-b", "b1", "b2")
	waitNoLeader(ctx, t, r, "fleet")
	changeA, changeB := attemptsChange(regionA, 0, 2), attemptsChange(regionB, 0, 3)
	acceptedA := mustPut(ctx, t, newClient(t, r, "a1", "a2"), changeA)
	acceptedB := mustPut(ctx, t, newClient(t, r, "b1", "b2"), changeB)
	checkRefusedEverywhere(ctx, t, r, attemptsChange(configuration.Fleet, 0, 4))
	r.HealAll()
	waitLeader(ctx, t, r, "fleet")
	checkShown(ctx, t, r, changeA, acceptedA)
	checkShown(ctx, t, r, changeB, acceptedB)
	checkNeverWritten(ctx, t, r, configuration.Fleet)
}

func TestRegionPartitionWithAMachineDown(t *testing.T) {
	ctx, r := start(t)
	r.CutRegions()
	r.Machine("a2").Kill()
	waitLeader(ctx, t, r, "region-b", "b1", "b2")
	err := rig.Wait(ctx, func() bool { // a1 has no majority: it is alone in region a and cut off from the witness in region b
		status, err := r.Machine("a1").Group(ctx, "region-a")
		return err == nil && status.Leader == ""
	})
	if err != nil {
		t.Fatal(err)
	}
	_, err = newClient(t, r, "a1").Put(ctx, attemptsChange(regionA, 0, 2))
	checkKind(t, err, configuration.ErrorNoQuorum)
	changeB := attemptsChange(regionB, 0, 3)
	acceptedB := mustPut(ctx, t, newClient(t, r, "b1", "b2"), changeB)

	r.HealAll()
	changeA := attemptsChange(regionA, 0, 4) // a1 and the witness b1 form a majority
	acceptedA := mustPut(ctx, t, newClient(t, r, "a1"), changeA)
	restart(ctx, t, r.Machine("a2"))
	checkShown(ctx, t, r, changeA, acceptedA)
	checkShown(ctx, t, r, changeB, acceptedB)
}

func TestWitnessServesAgentsOfAFailedRegion(t *testing.T) {
	ctx, r := start(t)
	mustPut(ctx, t, newClient(t, r), attemptsChange(regionA, 0, 2))
	mustPut(ctx, t, newClient(t, r), attemptsChange(configuration.Fleet, 0, 3))
	witness := r.Machine("b1")
	waitApplied(ctx, t, witness, regionA, 1)
	waitApplied(ctx, t, witness, configuration.Fleet, 1)
	r.Machine("a1").Kill()
	r.Machine("a2").Kill()

	agent := startAgent(t, witness.Address, agentPlace("n1", "a"))
	agent.waitFor(ctx, t, regionA, 1)
	agent.waitFor(ctx, t, configuration.Fleet, 1)
	for _, scope := range []configuration.Scope{regionA, configuration.Fleet} {
		_, err := newClient(t, r, "b1").Put(ctx, attemptsChange(scope, 1, 4))
		checkKind(t, err, configuration.ErrorNoQuorum)
	}
	applied, err := newClient(t, r, "b1").ShowApplied(ctx, regionA)
	if err != nil || applied.Revision != 1 {
		t.Errorf("the witness shows as applied %+v, %v", applied, err)
	}
	mustPut(ctx, t, newClient(t, r, "b2"), attemptsChange(regionB, 0, 5))

	elsewhere := startAgent(t, r.Machine("b2").Address, agentPlace("n2", "a"))
	var refusal *configuration.ErrorBody
	if !errors.As(elsewhere.ended(), &refusal) || refusal.Kind != configuration.ErrorNotHere || len(refusal.Machines) != 3 {
		t.Errorf("a machine outside the group answered a watch with %v", elsewhere.ended())
	}
}

func TestTruncatedLogs(t *testing.T) {
	ctx, r := start(t)
	all := newClient(t, r)
	mustPut(ctx, t, all, attemptsChange(regionA, 0, 2))
	damaged := waitLeader(ctx, t, r, "region-a")
	waitApplied(ctx, t, damaged, regionA, 1)
	damaged.Kill()
	tearLogs(t, filepath.Join(damaged.DataFolder(), "region-a"))
	second := attemptsChange(regionA, 1, 3)
	accepted := mustPut(ctx, t, all, second)
	restart(ctx, t, damaged)
	waitApplied(ctx, t, damaged, regionA, 2)
	checkShown(ctx, t, r, second, accepted)
	checkFullVoter(ctx, t, r, damaged, second, accepted)
}

// tearLogs cuts the last bytes off each file of a folder, as a power failure during a write does.
func tearLogs(t *testing.T, folder string) {
	t.Helper()
	files, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		path := filepath.Join(folder, file.Name())
		info, err := file.Info()
		if err != nil {
			t.Fatal(err)
		}
		if err := os.Truncate(path, max(0, info.Size()-3)); err != nil {
			t.Fatal(err)
		}
	}
}

func TestDiskRestoredToAnEarlierState(t *testing.T) {
	ctx, r := start(t)
	all := newClient(t, r)
	mustPut(ctx, t, all, attemptsChange(regionA, 0, 2))
	forgets := waitLeader(ctx, t, r, "region-a")
	waitApplied(ctx, t, forgets, regionA, 1)
	forgets.Kill()
	earlier := filepath.Join(t.TempDir(), "earlier")
	if err := os.CopyFS(earlier, os.DirFS(forgets.DataFolder())); err != nil {
		t.Fatal(err)
	}
	restart(ctx, t, forgets)
	waitApplied(ctx, t, forgets, regionA, 1)

	// The second revision is stored by the machine that loses it and by one other. The third voter never
	// receives it.
	var others []*rig.Machine
	for _, name := range []string{"a1", "a2", "b1"} {
		if name != forgets.Name {
			others = append(others, r.Machine(name))
		}
	}
	keeps, absent := others[0], others[1]
	absent.Kill()
	second := attemptsChange(regionA, 1, 3)
	accepted := mustPut(ctx, t, newClient(t, r, forgets.Name, keeps.Name), second)
	forgets.Kill()
	rollBack(t, forgets, earlier)
	restart(ctx, t, absent) // absent and forgets would be a majority that doesn't know the second revision
	restart(ctx, t, forgets)
	checkShown(ctx, t, r, second, accepted)
	waitApplied(ctx, t, forgets, regionA, 2)
	checkFullVoter(ctx, t, r, forgets, second, accepted)
}

// rollBack replaces a machine's data with an earlier copy.
func rollBack(t *testing.T, m *rig.Machine, earlier string) {
	t.Helper()
	if err := os.RemoveAll(m.DataFolder()); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(m.DataFolder(), os.DirFS(earlier)); err != nil {
		t.Fatal(err)
	}
}

// largeChange returns a change with a document of several KB.
func largeChange(scope configuration.Scope, base uint64) configuration.Change {
	change := attemptsChange(scope, base, 2)
	var classes []string
	for i := range 150 {
		classes = append(classes, fmt.Sprintf(`"class-%d-of-revision-%d":{"aim_ms":%d}`, i, base, 100+i))
	}
	change.Document = []byte(`{"format":1,"classes":{` + strings.Join(classes, ",") + `}}`)
	return change
}

func TestFullDisk(t *testing.T) {
	ctx, r := start(t)
	full := r.Machine("a2")
	full.Kill()
	const limit = 64 << 10
	full.SetMaxFileSize(limit)
	restart(ctx, t, full)
	others := newClient(t, r, "a1", "b1")
	base := uint64(0)
	fails := func() bool {
		status, err := full.Group(ctx, regionA.Group())
		return err == nil && status.Reason != "" && !status.Voting && status.Applied > 0
	}
	for ; !fails() && ctx.Err() == nil; base++ {
		mustPut(ctx, t, others, largeChange(regionA, base))
	}
	status, err := full.Group(ctx, regionA.Group())
	if err != nil {
		t.Fatal(err)
	}
	if len(status.Scopes) == 0 {
		t.Fatalf("the machine has applied nothing: %+v", status)
	}

	agent := startAgent(t, full.Address, agentPlace("n1", "a")) // the machine still serves watches, with the revisions that it has applied
	agent.waitFor(ctx, t, regionA, status.Scopes[regionA].Revision)
	change := attemptsChange(regionA, base, 3) // put at a2, which forwards it to the leader
	accepted := mustPut(ctx, t, newClient(t, r, "a2"), change)
	checkShown(ctx, t, r, change, accepted)

	full.Kill()
	full.SetMaxFileSize(0)
	restart(ctx, t, full)
	waitApplied(ctx, t, full, regionA, accepted.Revision)
	checkFullVoter(ctx, t, r, full, change, accepted)
}

func TestHistorySurvivesARestart(t *testing.T) {
	ctx, r := start(t)
	var changes []configuration.Change
	for base := range uint64(3) {
		change := attemptsChange(regionA, base, 2+int(base))
		mustPut(ctx, t, newClient(t, r), change)
		changes = append(changes, change)
	}
	m := r.Machine("b1")
	waitApplied(ctx, t, m, regionA, 3)
	m.Kill()
	restart(ctx, t, m)
	recorded, err := newClient(t, r, "b1").History(ctx, regionA)
	if err != nil || len(recorded) != len(changes) {
		t.Fatalf("got %+v, %v", recorded, err)
	}
	for i, revision := range recorded {
		if want := changes[len(changes)-1-i]; revision.Change != want.ID || revision.Revision != want.Base+1 {
			t.Errorf("%d: revision %d of change %s, want change %s", i, revision.Revision, revision.Change, want.ID)
		}
	}
}

func restart(ctx context.Context, t *testing.T, m *rig.Machine) {
	t.Helper()
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	if err := m.WaitUp(ctx); err != nil {
		t.Fatal(err)
	}
}

// checkFullVoter checks that a machine whose disk had lost data is a full voter again: it kills another voter
// of region-a, whose place in the majority the machine takes, and the accepted change must still be shown.
func checkFullVoter(ctx context.Context, t *testing.T, r *rig.Rig, damaged *rig.Machine, change configuration.Change, accepted configuration.Accepted) {
	t.Helper()
	for _, name := range []string{"a1", "a2"} {
		if name == damaged.Name {
			continue
		}
		r.Machine(name).Kill()
		shown, err := showUntilLeader(ctx, newClient(t, r, damaged.Name), change.Scope)
		if err != nil || shown.Position != accepted.Position || shown.Change != change.ID {
			t.Errorf("without %s, %s shows %+v, %v, but %+v was accepted", name, damaged.Name, shown, err, accepted)
		}
		return
	}
}

func TestMachinesShutDownCleanlyWithOpenWatches(t *testing.T) {
	ctx, r := start(t)
	mustPut(ctx, t, newClient(t, r), attemptsChange(regionA, 0, 2))
	agent := startAgent(t, r.Machine("a1").Address, agentPlace("n1", "a"))
	agent.waitFor(ctx, t, regionA, 1)
	for _, m := range r.Machines() {
		if err := m.Stop(); err != nil {
			t.Errorf("%s: %v", m.Name, err)
		}
	}
	if err := agent.ended(); err == nil {
		t.Error("the watch is still open after its machine has stopped")
	}
}
