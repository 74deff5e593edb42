package coldstart_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"lemonrail/internal/scale/coldstart"
)

// The defaults apply to a normal test run; docs/measurements/cold-start.md names the seeds and fleets of its figures.
var (
	seeds = flag.Int("seeds", 2, "number of seeds to run each case with")
	first = flag.Uint64("first", 1, "first seed")
	large = flag.Bool("large", false, "also run fleets of 300 agents and 200 backends")
)

// size is the size of a fleet: the numbers of agents and of warm backends.
type size struct{ agents, warm int }

func (s size) String() string { return fmt.Sprintf("%d agents, %d backends", s.agents, s.warm) }

// sizes returns fleets with few agents, and with many agents that have much or little traffic each.
func sizes() []size {
	all := []size{{5, 6}, {30, 6}, {30, 20}, {300, 12}}
	if *large {
		all = append(all, size{300, 200})
	}
	return all
}

// sweep runs a case with all seeds and logs its row of the table.
func sweep(t *testing.T, c coldstart.Case) coldstart.Summary {
	t.Helper()
	s, err := coldstart.Sweep(c, *first, *seeds)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(s)
	return s
}

// checkWithinBound fails the test if all agents together sent a cold backend more than N + 2 sqrt(N) + 2 in any window,
// counted by requests or by work.
func checkWithinBound(t *testing.T, s coldstart.Summary) {
	t.Helper()
	if s.OverBound+s.OverBoundByWork > 0 {
		t.Errorf("of %d runs %d go over the bound, by work %d; the worst, with seed %d, gets %.2f of it (%.2f by work): %s", s.Runs, s.OverBound,
			s.OverBoundByWork, s.WorstSeed, s.MaxShareOfBound, s.MaxShareOfBoundByWork, replay(t, s.WorstSeed))
	}
}

func replay(t *testing.T, seed uint64) string {
	return fmt.Sprintf("go test ./internal/scale/coldstart -v -run '^%s$' -first %d -seeds 1 -large", strings.ReplaceAll(t.Name(), "/", "$/^"), seed)
}

// A cold backend isn't overloaded in any of the cases in which the agents know the fleet size and the cold-start settings.
func TestRampHoldsForTheFleet(t *testing.T) {
	for _, f := range sizes() {
		for _, c := range coldstart.Cases(f.agents, f.warm) {
			t.Run(f.String()+"/"+c.Name, func(t *testing.T) {
				t.Parallel()
				checkWithinBound(t, sweep(t, c))
			})
		}
	}
}

// Agents with a wrong fleet size, or of which some have died, don't overload a cold backend while any backend is warm:
// their budget of attempts at cold backends depends on what warm backends serve, not on the number of agents.
func TestWrongFleetSizes(t *testing.T) {
	for _, f := range sizes() {
		for _, c := range coldstart.WrongFleetSizeCases(f.agents, f.warm) {
			t.Run(f.String()+"/"+c.Name, func(t *testing.T) {
				t.Parallel()
				s := sweep(t, c)
				if c.Warm > 0 {
					checkWithinBound(t, s)
				}
			})
		}
	}
}

// The measurement reports overload for agents that ignore cold starts, so that its other results mean something.
func TestFaultyCasesAreDetected(t *testing.T) {
	for _, f := range []size{{30, 6}, {300, 12}} {
		faults := coldstart.FaultyCases(f.agents, f.warm)
		if f.agents == 300 { // smaller fleets whose agents assume a fleet of one stay near the bound
			faults = append(faults, coldstart.LoneAgentsCase(f.agents, f.warm))
		}
		for _, c := range faults {
			t.Run(f.String()+"/"+c.Name, func(t *testing.T) {
				t.Parallel()
				if s := sweep(t, c); s.OverBound < s.Runs {
					t.Errorf("%d of %d runs are seen to go over the bound", s.OverBound, s.Runs)
				}
			})
		}
	}
}

// The balancer starts no attempt for a client that has left, whether its request was held, waited for a retry or was in flight.
func TestNoAttemptsForClientsThatLeft(t *testing.T) {
	for _, f := range sizes()[:3] {
		t.Run(f.String(), func(t *testing.T) {
			t.Parallel()
			s := sweep(t, coldstart.LeaversCase(f.agents, f.warm))
			if s.SentAfterLeave > 0 {
				t.Errorf("%d attempts began after their client had left: %s", s.SentAfterLeave, replay(t, *first))
			}
			if s.LeftWaiting < 10*s.Runs {
				t.Errorf("only %d clients left while they waited, in %d runs", s.LeftWaiting, s.Runs)
			}
			t.Logf("%d clients left while they waited, %d attempts began later, in %d runs", s.LeftWaiting, s.SentAfterLeave, s.Runs)
		})
	}
}
