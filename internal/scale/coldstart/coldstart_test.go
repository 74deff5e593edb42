package coldstart_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"lemonrail/internal/scale/coldstart"
)

// The defaults are what runs with all tests; docs/measurements/cold-start.md names the seeds and fleets of its figures.
var (
	seeds = flag.Int("seeds", 2, "how many seeds each case is played with")
	first = flag.Uint64("first", 1, "the first of them")
	large = flag.Bool("large", false, "play fleets of 300 agents and 200 backends as well")
)

// size is a fleet's: how many agents share how many warm backends.
type size struct{ agents, warm int }

func (s size) String() string { return fmt.Sprintf("%d agents, %d backends", s.agents, s.warm) }

// sizes are a few agents, and many with much and with little traffic each.
func sizes() []size {
	all := []size{{5, 6}, {30, 6}, {30, 20}, {300, 12}}
	if *large {
		all = append(all, size{300, 200})
	}
	return all
}

// sweep plays a case and logs its row of the table.
func sweep(t *testing.T, c coldstart.Case) coldstart.Summary {
	t.Helper()
	s, err := coldstart.Sweep(c, *first, *seeds)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(s)
	return s
}

// within fails the test where the sum of what all agents send goes beyond N + 2 sqrt(N) + 2 in any window, by number or by work.
func within(t *testing.T, s coldstart.Summary) {
	t.Helper()
	if s.OverBound+s.OverBoundByWork > 0 {
		t.Errorf("of %d runs %d go over the bound, by work %d; the worst, with seed %d, gets %.2f of it (%.2f by work): %s", s.Runs, s.OverBound,
			s.OverBoundByWork, s.WorstSeed, s.WorstBound, s.WorstBoundByWork, replay(t, s.WorstSeed))
	}
}

func replay(t *testing.T, seed uint64) string {
	return fmt.Sprintf("go test ./internal/scale/coldstart -v -run '^%s$' -first %d -seeds 1 -large", strings.ReplaceAll(t.Name(), "/", "$/^"), seed)
}

// Told rightly, no fleet pushes a cold backend over.
func TestRampHoldsForTheFleet(t *testing.T) {
	for _, f := range sizes() {
		for _, c := range coldstart.Cases(f.agents, f.warm) {
			t.Run(f.String()+"/"+c.Name, func(t *testing.T) {
				t.Parallel()
				within(t, sweep(t, c))
			})
		}
	}
}

// Agents that are told a wrong size of the fleet, or of which some have died, push none over while any backend is warm: the budget rests on
// what warm backends serve, not on the number of agents.
func TestWrongFleetSizes(t *testing.T) {
	for _, f := range sizes() {
		for _, c := range coldstart.WrongCases(f.agents, f.warm) {
			t.Run(f.String()+"/"+c.Name, func(t *testing.T) {
				t.Parallel()
				s := sweep(t, c)
				if c.Warm > 0 {
					within(t, s)
				}
			})
		}
	}
}

// The count sees faults that push backends over.
func TestPlantedFaultsAreSeen(t *testing.T) {
	for _, f := range []size{{30, 6}, {300, 12}} {
		for _, c := range coldstart.Planted(f.agents, f.warm) {
			t.Run(f.String()+"/"+c.Name, func(t *testing.T) {
				t.Parallel()
				if s := sweep(t, c); s.OverBound < s.Runs {
					t.Errorf("%d of %d runs are seen to go over the bound", s.OverBound, s.Runs)
				}
			})
		}
	}
}

// No attempt begins for a client that has left: not out of a hold, a backoff or a retry.
func TestNothingIsSentForThoseWhoLeft(t *testing.T) {
	for _, f := range sizes()[:3] {
		t.Run(f.String(), func(t *testing.T) {
			t.Parallel()
			s := sweep(t, coldstart.Leavers(f.agents, f.warm))
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
