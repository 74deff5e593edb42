package scale

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lemonrail/internal/scale/calltree"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 2 * time.Minute // on an idle machine the runs take seconds

// boundedContext returns a context that ends after testTimeout.
func boundedContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeoutCause(t.Context(), testTimeout, fmt.Errorf("not within %v", testTimeout))
	t.Cleanup(cancel)
	return ctx
}

// seriesNamed returns the series with a name and fails the test if there is none.
func seriesNamed(t *testing.T, all []*Series, name string) *Series {
	t.Helper()
	for _, s := range all {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no series is called %q", name)
	return nil
}

// wantLinear checks that a series has a slope of perUnit. within is the tolerance relative to that.
func wantLinear(t *testing.T, s *Series, perUnit, within float64) {
	t.Helper()
	if s.Slope.PerUnit < perUnit*(1-within) || s.Slope.PerUnit > perUnit*(1+within) || s.Slope.Worst > within {
		t.Errorf("%s: %+v, residual %v; wanted %v each", s.Name, s.Points, s.Slope.Worst, perUnit)
	}
}

// wantFlat checks that a series' values are about the same at all sizes. within is the tolerance relative to them.
func wantFlat(t *testing.T, s *Series, within float64) {
	t.Helper()
	for _, p := range s.Points {
		if first := s.Points[0].Y; p.Y < first*(1-within) || p.Y > first*(1+within) || p.Y == 0 {
			t.Errorf("%s is not flat: %+v", s.Name, s.Points)
			return
		}
	}
}

// wantAll checks that every point of a series has the value want.
func wantAll(t *testing.T, s *Series, want float64) {
	t.Helper()
	for _, p := range s.Points {
		if p.Y != want {
			t.Errorf("%s: %+v, wanted %v", s.Name, s.Points, want)
			return
		}
	}
}

// wantUnder checks that no point of a series exceeds a bound.
func wantUnder(t *testing.T, s *Series, bound float64) {
	t.Helper()
	for _, p := range s.Points {
		if p.Y > bound {
			t.Errorf("%s: %+v, over %v", s.Name, s.Points, bound)
			return
		}
	}
}

func TestHollowListsReachAllAgentsAtConstantCost(t *testing.T) {
	t.Parallel()
	all, err := HollowLists{FleetSizes: []int{5, 20, 40}, ListLength: 30, Changes: 4, Outage: 300 * time.Millisecond, Logf: t.Logf}.Run(boundedContext(t))
	if err != nil {
		t.Fatal(err)
	}
	wantFlat(t, seriesNamed(t, all, "whole list, bytes an agent"), 0.05)
	wantUnder(t, seriesNamed(t, all, "a change, bytes an agent"), 600) // one entry, not the whole list
	if s := seriesNamed(t, all, "a change of the list known to all, worst"); len(s.Points) != 3 {
		t.Errorf("%+v", s.Points)
	}
	seriesNamed(t, all, "discovery back, a change made meanwhile known to all, worst")
}

func TestWholeListBytesAreLinearAndListArrivesAtHighRate(t *testing.T) {
	t.Parallel()
	all, err := WholeList{ListLengths: []int{10, 40, 160}, Rate: 1e6, Timeout: testTimeout, Logf: t.Logf}.Run(boundedContext(t))
	if err != nil {
		t.Fatal(err)
	}
	wantLinear(t, seriesNamed(t, all, "whole list, bytes"), 165, 0.1)
	wantAll(t, seriesNamed(t, all, "whole list at the rate, received (1 yes, 0 never)"), 1)
}

// A client gives up a watch whose list isn't complete within the time that a watch may be silent, and starts again. A list
// that takes longer than that at the rate never reaches the agent.
func TestWholeListAtLowRateIsNeverReceived(t *testing.T) {
	t.Parallel()
	all, err := WholeList{ListLengths: []int{200}, Rate: 8000, Timeout: 9 * time.Second, Logf: t.Logf}.Run(boundedContext(t))
	if err != nil {
		t.Fatal(err)
	}
	wantAll(t, seriesNamed(t, all, "whole list at the rate, received (1 yes, 0 never)"), 0)
}

func TestHollowMembersConvergeAtBoundedRate(t *testing.T) {
	t.Parallel()
	all, err := HollowMembers{FleetSizes: []int{8, 24}, RestTime: time.Second, Leaves: 2, Seed: 1, Logf: t.Logf}.Run(boundedContext(t))
	if err != nil {
		t.Fatal(err)
	}
	wantUnder(t, seriesNamed(t, all, "membership at rest, datagrams an agent-second"), 41) // the configured rate, plus the first one
	if s := seriesNamed(t, all, "a member's leave known to all, worst"); len(s.Points) != 2 {
		t.Errorf("%+v", s.Points)
	}
}

func TestHollowDutiesNotifyAllAgentsOfNextHolder(t *testing.T) {
	t.Parallel()
	all, err := HollowDuties{FleetSizes: []int{4, 12}, RestTime: time.Second, Releases: 2, Dir: t.TempDir(), Seed: 1, Logf: t.Logf}.Run(boundedContext(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range seriesNamed(t, all, "duties at rest, bytes from voters an agent-second").Points {
		if p.Y == 0 {
			t.Error("no voter was asked")
		}
	}
	if s := seriesNamed(t, all, "a released duty's next holder known to all, worst"); len(s.Points) != 2 {
		t.Errorf("%+v", s.Points)
	}
}

func TestSimulatedMembersStayWithinRateAndAreDeterministic(t *testing.T) {
	t.Parallel()
	run := func(seed uint64) []*Series {
		all, err := SimulatedMembers{FleetSizes: []int{16, 32}, LossTime: 10 * time.Second, PartitionTime: 30 * time.Second, Seed: seed, Logf: t.Logf}.Run(boundedContext(t))
		if err != nil {
			t.Fatal(err)
		}
		return all
	}
	first, second := run(1), run(1)
	for _, name := range []string{"all is well", "30 % lost"} {
		wantAll(t, seriesNamed(t, first, name+", false deaths"), 0)
		wantUnder(t, seriesNamed(t, first, name+", datagrams a member-second"), 40)
	}
	wantUnder(t, seriesNamed(t, first, "two regions apart for 30s, datagrams a member-second"), 40)
	for _, name := range []string{"30 % lost, bytes a member-second", "two regions apart for 30s, false deaths", "two regions apart for 30s, changes a member-minute"} {
		a, b := seriesNamed(t, first, name), seriesNamed(t, second, name)
		for i := range a.Points {
			if a.Points[i] != b.Points[i] {
				t.Errorf("%s: %v, then %v with the same seed", name, a.Points, b.Points)
			}
		}
	}
}

func TestDecisionsSendEveryCallAtEachLength(t *testing.T) {
	t.Parallel()
	all, err := Decisions{ListLengths: []int{8, 100}, Calls: 200, Seed: 1, Logf: t.Logf}.Run(boundedContext(t))
	if err != nil {
		t.Fatal(err)
	}
	if s := seriesNamed(t, all, "decision module, processor time for a call"); len(s.Points) != 2 {
		t.Errorf("%+v", s.Points)
	}
}

const quickMembers = "period_ms = 250\npause_ms = 30000\nrate = 60\n"

func TestAgentCostAtRestIsIndependentOfListLength(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	program := filepath.Join(dir, "lemonrail")
	build := exec.Command("go", "build", "-o", program, "lemonrail/cmd/lemonrail")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if err := os.Mkdir(filepath.Join(dir, "fleets"), 0o700); err != nil {
		t.Fatal(err)
	}
	all, err := ProcessFleets{Program: program, Dir: filepath.Join(dir, "fleets"), MembersConfig: quickMembers, FleetSizes: []int{2, 4}, ListLengths: []int{8, 100}, ListFleetSize: 2,
		RestTime: 2 * time.Second, ChangePause: 100 * time.Millisecond, Logf: t.Logf}.Run(boundedContext(t))
	if err != nil {
		t.Fatal(err)
	}
	wantFlat(t, seriesNamed(t, all, "agent at rest, descriptors"), 0.3)
	wantUnder(t, seriesNamed(t, all, "agent at rest, descriptors"), 40)
	wantUnder(t, seriesNamed(t, all, "agent at rest, bytes from discovery a second"), 50) // heartbeats only, no list data
	wantUnder(t, seriesNamed(t, all, "agent at rest, datagrams to peers a second"), 60)
	wantUnder(t, seriesNamed(t, all, "agent at rest, resident memory"), 64)
}

func TestCallTreesKeepInvariantsAndAttemptsGrowWithFailures(t *testing.T) {
	t.Parallel()
	c := calltree.DefaultConfig()
	c.Services, c.Backends, c.Depth, c.Gateways, c.Rate, c.Warm, c.Measure = 18, 60, 9, 3, 4000, time.Second, time.Second
	all, err := CallTrees{Config: c, FailureShares: []float64{0.05, 0.2}, Logf: t.Logf}.Run(boundedContext(t))
	if err != nil {
		t.Fatal(err)
	}
	wantAll(t, seriesNamed(t, all, "calls for which rules were broken"), 0)
	wantUnder(t, seriesNamed(t, all, "retries for each attempt that isn't one"), 0.3) // a fifth by the token bucket, plus its initial tokens
	s := seriesNamed(t, all, "attempts over those without failures, leaves")
	if s.Points[0].Y != 1 || s.Points[1].Y <= 1 || s.Points[2].Y <= s.Points[1].Y {
		t.Errorf("%+v", s.Points)
	}
}
