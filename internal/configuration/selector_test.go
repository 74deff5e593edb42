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
		if n < 101 || n > 124 { // within a tenth of 112.5; by hash alone the names decide, so that it is the same each time
			t.Errorf("%s is preferred by %d of 225", name, n)
		}
	}
}

// A machine more moves only the agents that prefer it.
func TestSelectorMovesFewForAMachineMore(t *testing.T) {
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
		t.Errorf("%d went to the new one, %d moved besides", gained, moved)
	}
}

func TestSelectorWithoutMachines(t *testing.T) {
	s := NewSelector(agentAt("north", 1), controlMachines, newRand(1).Float64)
	if m, _, ok := s.Next(); ok {
		t.Errorf("next %+v", m)
	}
	s.Failed(0)
	if m, due := s.Return(time.Hour); due {
		t.Errorf("return to %+v", m)
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
		most := min(FailureWaitBase<<max(0, failures-1), FailureWaitMost)
		if longest[failures] > most || longest[failures] < most*9/10 {
			t.Errorf("after %d failures the longest wait is %v, want up to %v", failures, longest[failures], most)
		}
		if mean := sum[failures] / agents; mean < most*4/10 || mean > most*6/10 {
			t.Errorf("after %d failures the mean wait is %v of %v", failures, mean, most)
		}
	}
}

func TestSelectorGoesOnAndReturns(t *testing.T) {
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
	if _, due := s.Return(time.Hour); due {
		t.Fatal("return from the preferred one")
	}
	s.Failed(time.Hour)
	wantNext(1)
	s.Failed(time.Hour)
	wantNext(2)
	s.Connected(time.Hour)
	begin := time.Hour
	if _, due := s.Return(begin + ReturnAfter - 1); due {
		t.Fatal("return too early")
	}
	for _, candidate := range []int{0, 1, 0} { // each preferred one in turn
		now := begin + ReturnAfter + ReturnSpread
		m, due := s.Return(now)
		if !due || m.Name != order[candidate].Name {
			t.Fatalf("return to %+v, want %s", m, order[candidate].Name)
		}
		s.Returned(now, false)
		if _, due := s.Return(now); due {
			t.Fatal("again at once")
		}
		begin = now
	}
	s.Returned(begin, true)
	if s.current != 1 {
		t.Fatalf("it is at %d", s.current)
	}
	m, due := s.Return(begin + ReturnAfter + ReturnSpread)
	if !due || m.Name != order[0].Name {
		t.Fatalf("then return to %+v", m)
	}
	s.Returned(begin+time.Hour, true)
	if _, due := s.Return(begin + 2*time.Hour); due || s.current != 0 {
		t.Fatalf("it is at %d, due %v", s.current, due)
	}
	s.Failed(begin + 2*time.Hour) // while returning
	s.Returned(begin+2*time.Hour, true)
	wantNext(1)
}

// A watch that breaks as soon as it stands doesn't start the waits anew; one that held does.
func TestSelectorCountsFailuresInARow(t *testing.T) {
	s := NewSelector(agentAt("east", 1), controlMachines, newRand(1).Float64)
	for range 5 {
		s.Connected(0)
		s.Failed(HeldAfter - 1)
	}
	if s.failures != 5 {
		t.Errorf("%d failures", s.failures)
	}
	s.Connected(0)
	s.Failed(HeldAfter)
	if s.failures != 1 {
		t.Errorf("%d failures after a watch that held", s.failures)
	}
}

// After a machine's death its agents return spread over ReturnSpread: no second has many.
func TestSelectorReturnsWithoutAWave(t *testing.T) {
	perSecond := map[time.Duration]int{}
	first, last := time.Hour, time.Duration(0)
	for i := range 450 {
		s := NewSelector(agentAt("east", i), controlMachines, newRand(uint64(i)).Float64)
		s.Failed(0)
		s.Connected(0)
		now := time.Duration(0)
		for due := false; !due; _, due = s.Return(now) {
			now += 10 * time.Millisecond
		}
		perSecond[now/time.Second]++
		first, last = min(first, now), max(last, now)
	}
	most := 0
	for _, n := range perSecond {
		most = max(most, n)
	}
	t.Logf("450 return between %v and %v, at most %d in a second", first, last, most)
	if first < ReturnAfter || last > ReturnAfter+ReturnSpread+10*time.Millisecond || most > 15 {
		t.Errorf("450 return between %v and %v, at most %d in a second", first, last, most)
	}
}
