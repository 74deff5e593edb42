package configuration

import (
	"fmt"
	"testing"
	"time"
)

var controlMachines = []Machine{
	{Name: "a1", Region: "east", Address: "a1:1", WitnessOf: []string{"west"}},
	{Name: "a2", Region: "east", Address: "a2:1"},
	{Name: "b1", Region: "west", Address: "b1:1", WitnessOf: []string{"east"}},
	{Name: "b2", Region: "west", Address: "b2:1"},
}

func agentAt(region string, i int) Place {
	return Place{Agent: fmt.Sprintf("agent-%03d", i), Region: region, Zone: "z", Service: "s"}
}

func TestSelectorPrefersItsRegion(t *testing.T) {
	first := map[string]int{}
	for _, region := range []string{"east", "west"} {
		for i := range 225 {
			machines := NewSelector(agentAt(region, i), controlMachines, newRand(1).Float64).Machines()
			witness := map[string]string{"east": "b1", "west": "a1"}[region]
			if len(machines) != 3 || machines[0].Region != region || machines[1].Region != region || machines[2].Name != witness {
				t.Fatalf("%s %d: %+v", region, i, machines)
			}
			first[machines[0].Name]++
		}
	}
	t.Logf("450 agents: %v", first)
	for name, n := range first {
		if n < 101 || n > 124 { // 112.5 is half of the 225 agents of a region; the hash of the names is deterministic, and these bounds are about 10% around it
			t.Errorf("%s is preferred by %d of 225", name, n)
		}
	}
}

// Adding a machine moves only the agents that prefer the new machine.
func TestSelectorMovesFewAgentsToAddedMachine(t *testing.T) {
	more := append([]Machine{{Name: "a3", Region: "east"}}, controlMachines...)
	moved, gained := 0, 0
	for i := range 225 {
		before := NewSelector(agentAt("east", i), controlMachines, nil).Machines()[0].Name
		after := NewSelector(agentAt("east", i), more, nil).Machines()[0].Name
		if after == "a3" {
			gained++
		} else if after != before {
			moved++
		}
	}
	if moved > 0 || gained < 45 || gained > 105 {
		t.Errorf("%d agents moved to the added machine, %d to other machines", gained, moved)
	}
}

func TestSelectorWithoutMachines(t *testing.T) {
	s := NewSelector(agentAt("north", 1), controlMachines, newRand(1).Float64)
	if m, _, ok := s.Next(); ok {
		t.Errorf("next %+v", m)
	}
	s.Failed(0)
	if m, due := s.ReturnTarget(time.Hour); due {
		t.Errorf("Return returned %+v", m)
	}
}

func TestSelectorWaitsWithFullJitter(t *testing.T) {
	var longest, sum [12]time.Duration
	const agents = 450
	for i := range agents {
		s := NewSelector(agentAt("east", i), controlMachines, newRand(uint64(i)).Float64)
		for failures := range longest {
			_, wait, _ := s.Next()
			longest[failures] = max(longest[failures], wait)
			sum[failures] += wait
			s.Failed(0)
		}
	}
	for failures := range longest {
		maxWait := min(BaseFailureWait<<max(0, failures-1), MaxFailureWait)
		if longest[failures] > maxWait || longest[failures] < maxWait*9/10 {
			t.Errorf("after %d failures the longest wait is %v, want up to %v", failures, longest[failures], maxWait)
		}
		if mean := sum[failures] / agents; mean < maxWait*4/10 || mean > maxWait*6/10 {
			t.Errorf("after %d failures the mean wait is %v of %v", failures, mean, maxWait)
		}
	}
}

func TestSelectorFailsOverAndReturns(t *testing.T) {
	s := NewSelector(agentAt("east", 1), controlMachines, newRand(1).Float64)
	order := s.Machines()
	wantNext := func(place int) {
		t.Helper()
		if m, _, _ := s.Next(); m.Name != order[place].Name {
			t.Fatalf("next is %s, want %s", m.Name, order[place].Name)
		}
	}
	wantNext(0)
	s.Connected(0)
	if _, due := s.ReturnTarget(time.Hour); due {
		t.Fatal("Return is due at the preferred machine")
	}
	s.Failed(time.Hour)
	wantNext(1)
	s.Failed(time.Hour)
	wantNext(2)
	s.Connected(time.Hour)
	begin := time.Hour
	if _, due := s.ReturnTarget(begin + AwayReturnAfter - 1); due {
		t.Fatal("Return is due too early")
	}
	for _, candidate := range []int{0, 1, 0} { // each failed return moves on to the other preferred machine
		now := begin + AwayReturnAfter + AwayReturnSpread
		m, due := s.ReturnTarget(now)
		if !due || m.Name != order[candidate].Name {
			t.Fatalf("Return returned %+v, want %s", m, order[candidate].Name)
		}
		s.ReturnFinished(now, false)
		if _, due := s.ReturnTarget(now); due {
			t.Fatal("Return is due again at once")
		}
		begin = now
	}
	s.ReturnFinished(begin, true)
	if s.current != 1 {
		t.Fatalf("current machine index is %d", s.current)
	}
	if _, due := s.ReturnTarget(begin + ReturnAfter - 1); due {
		t.Fatal("Return within the region is due too early")
	}
	m, due := s.ReturnTarget(begin + ReturnAfter + ReturnSpread)
	if !due || m.Name != order[0].Name {
		t.Fatalf("Return within the region returned %+v", m)
	}
	s.ReturnFinished(begin+time.Hour, true)
	if _, due := s.ReturnTarget(begin + 2*time.Hour); due || s.current != 0 {
		t.Fatalf("current machine index is %d, due %v", s.current, due)
	}
	s.Failed(begin + 2*time.Hour) // the watched machine fails while the attempt to return is in progress
	s.ReturnFinished(begin+2*time.Hour, true)
	wantNext(1)
}

// A watch that ends soon after it was established doesn't reset the count of failures, from which the wait is
// computed; one that lasted StableAfter does.
func TestSelectorCountsConsecutiveFailures(t *testing.T) {
	s := NewSelector(agentAt("east", 1), controlMachines, newRand(1).Float64)
	for range 5 {
		s.Connected(0)
		s.Failed(StableAfter - 1)
	}
	if s.failures != 5 {
		t.Errorf("%d failures", s.failures)
	}
	s.Connected(0)
	s.Failed(StableAfter)
	if s.failures != 1 {
		t.Errorf("%d failures after a watch that held", s.failures)
	}
}

// After a machine has failed, its agents return to it spread over ReturnSpread, with few in any second.
// Agents that had to use a machine of another region return early enough that a change of their own region is
// in force in time.
func TestSelectorSpreadsReturns(t *testing.T) {
	for _, test := range []struct {
		name          string
		failures      int           // number of machines of the agent's region that have failed
		after, spread time.Duration // earliest return, counted from the beginning of the watch at another machine; length of the period over which returns are spread
		maxPerSecond  int           // most agents that may return in one second
	}{
		{"within the region", 1, ReturnAfter, ReturnSpread, 15},
		{"from another region", 2, AwayReturnAfter, AwayReturnSpread, 150},
	} {
		t.Run(test.name, func(t *testing.T) { testReturnSpread(t, test.failures, test.after, test.spread, test.maxPerSecond) })
	}
	if late := AwayReturnAfter + AwayReturnSpread; late > 7*time.Second {
		t.Errorf("an agent may stay at a machine of another region for %v, want at most 7s", late)
	}
}

func testReturnSpread(t *testing.T, failures int, after, spread time.Duration, limit int) {
	perSecond := map[time.Duration]int{}
	first, last := time.Hour, time.Duration(0)
	for i := range 450 {
		s := NewSelector(agentAt("east", i), controlMachines, newRand(uint64(i)).Float64)
		for range failures {
			s.Failed(0)
		}
		s.Connected(0)
		now := time.Duration(0)
		for due := false; !due; _, due = s.ReturnTarget(now) {
			now += 10 * time.Millisecond
		}
		perSecond[now/time.Second]++
		first, last = min(first, now), max(last, now)
	}
	peak := 0
	for _, n := range perSecond {
		peak = max(peak, n)
	}
	t.Logf("450 return between %v and %v, at most %d in a second", first, last, peak)
	if first < after || last > after+spread+10*time.Millisecond || peak > limit {
		t.Errorf("450 return between %v and %v, at most %d in a second", first, last, peak)
	}
}
