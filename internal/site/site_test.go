package site

import (
	"fmt"
	"testing"
	"time"
)

const step = 50 * time.Millisecond // time between two rounds of attempts in the simulations

// watchSim makes forty attempts a second at each of several sites of four backends.
type watchSim struct {
	t        *testing.T
	w        *Watch
	now      time.Duration
	outcomes map[int]func(backend int) Outcome // by site: the outcome of an attempt at each backend; absent: OK
	changes  []string                          // changes of state in order, each as the index of the site and its new state
	list     []ListCounts                      // by site
}

// newWatchSim returns a simulation of an agent in site own, after 2 s with all sites well.
func newWatchSim(t *testing.T, sites, own int) *watchSim {
	t.Helper()
	var names []string
	for i := range sites {
		names = append(names, string(rune('a'+i)))
	}
	w, err := New(DefaultConfig(names), own, 0)
	if err != nil {
		t.Fatal(err)
	}
	x := &watchSim{t: t, w: w, outcomes: map[int]func(int) Outcome{}}
	for range sites {
		x.list = append(x.list, ListCounts{Backends: 4, Up: 4})
	}
	w.SetList(0, x.list)
	x.play(2 * time.Second)
	if len(x.changes) > 0 {
		t.Fatalf("changes while all sites are well: %v", x.changes)
	}
	return x
}

// play simulates the agent for d.
func (x *watchSim) play(d time.Duration) {
	for end := x.now + d; x.now < end; x.now += step {
		for i := range x.w.NumSites() {
			if (x.w.State(i) == Lost || x.w.State(i) == Cut) && x.now%(500*time.Millisecond) != 0 { // only a trial every 0.5 s
				continue
			}
			for n := range 2 {
				b := int(x.now/step)*2 + n
				k := OK
				if x.outcomes[i] != nil {
					k = x.outcomes[i](b % 4)
				}
				x.w.RecordOutcome(x.now, i, fmt.Sprint(i, ".", b%4), k, 10*time.Millisecond)
			}
		}
		x.w.Tick(x.now)
		for _, c := range x.w.Changes() {
			x.changes = append(x.changes, fmt.Sprintf("%d %v", c.Site, c.To))
		}
	}
}

// always returns outcomes that are k at all backends.
func always(k Outcome) func(int) Outcome { return func(int) Outcome { return k } }

// some returns outcomes that are k at the first n backends of a site and OK at the others.
func some(n int, k Outcome) func(int) Outcome {
	return func(b int) Outcome {
		if b < n {
			return k
		}
		return OK
	}
}

func TestStateByFailurePattern(t *testing.T) {
	for _, tt := range []struct {
		name  string
		do    map[int]func(int) Outcome
		fleet FleetReport
		state State
		cause Cause
	}{
		{"all backends of a site are silent", map[int]func(int) Outcome{1: always(Silent)}, FleetReport{}, Lost, NoCause},
		{"all backends of a site reset connections", map[int]func(int) Outcome{1: always(Reset)}, FleetReport{}, Lost, NoCause},
		{"a site refuses connections", map[int]func(int) Outcome{1: always(Refused)}, FleetReport{}, Lost, NoCause},
		{"a site answers with errors", map[int]func(int) Outcome{1: always(Errored)}, FleetReport{}, Well, NoCause},
		{"half of a site is silent", map[int]func(int) Outcome{1: some(2, Silent)}, FleetReport{}, Well, NoCause},
		{"three of four backends of a site are silent", map[int]func(int) Outcome{1: some(3, Silent)}, FleetReport{}, Doubted, NoCause},
		{"a third of all backends resets", map[int]func(int) Outcome{0: some(1, Reset), 1: some(2, Reset), 2: some(1, Reset)}, FleetReport{}, Well, NoCause},
		{"every site is silent", map[int]func(int) Outcome{0: always(Silent), 1: always(Silent), 2: always(Silent)}, FleetReport{}, Well, CauseAllSites},
		{"other members reach the site", map[int]func(int) Outcome{1: always(Silent)},
			FleetReport{Known: true, Majority: true, Alive: []int{3, 3, 3}, Expected: []int{3, 3, 3}, Reaching: []int{6, 5, 6}, Reporting: []int{6, 6, 6}}, Cut, CauseThisAgent},
		{"this agent is in a minority", map[int]func(int) Outcome{1: always(Silent)},
			FleetReport{Known: true, Alive: []int{3, 0, 3}, Expected: []int{3, 3, 3}}, Cut, CauseThisAgent},
		{"a majority doesn't see the site's members", map[int]func(int) Outcome{1: always(Silent)},
			FleetReport{Known: true, Majority: true, Alive: []int{3, 0, 3}, Expected: []int{3, 3, 3}}, Lost, NoCause},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x := newWatchSim(t, 3, 0)
			x.w.SetFleet(x.now, tt.fleet)
			x.outcomes = tt.do
			x.play(4 * time.Second)
			e := x.w.Evidence(1)
			if e.State != tt.state || e.Cause != tt.cause {
				t.Errorf("%v, %v, want %v, %v; %+v", e.State, e.Cause, tt.state, tt.cause, e)
			}
			for _, i := range []int{0, 2} {
				if got := x.w.State(i); got != Well {
					t.Errorf("site %d is %v", i, got)
				}
			}
		})
	}
}

func TestLossReturnAndSlowerRamps(t *testing.T) {
	x := newWatchSim(t, 3, 0)
	x.outcomes[1] = always(Silent)
	x.play(3 * time.Second)
	x.outcomes[1] = nil
	x.play(3 * time.Second)
	x.w.RampDone(x.now, 1)
	x.play(step)
	if got := fmt.Sprint(x.changes); got != "[1 doubted 1 lost 1 returning 1 well]" {
		t.Error(got)
	}
	// Each further loss makes the next return slower, up to a bound.
	r := DefaultRamp(0.3, 4*time.Second)
	was := time.Duration(0)
	for range 6 {
		x.outcomes[1] = always(Silent)
		x.play(3 * time.Second)
		x.outcomes[1] = nil
		x.play(3 * time.Second)
		if got := x.w.State(1); got != Returning {
			t.Fatalf("%v", got)
		}
		d := r.DurationAfter(x.w.Evidence(1).Losses)
		if d < was || d > r.MaxDuration {
			t.Errorf("a ramp of %v after a ramp of %v", d, was)
		}
		was = d
	}
	if was != r.MaxDuration {
		t.Errorf("%v, want %v", was, r.MaxDuration)
	}
}

func TestManualLoss(t *testing.T) {
	x := newWatchSim(t, 2, 0)
	if err := x.w.SetManual(x.now, 1, true); err != nil {
		t.Fatal(err)
	}
	x.play(10 * time.Second) // served trials must not end a manual loss
	if got := x.w.State(1); got != Lost {
		t.Errorf("%v", got)
	}
	x.w.SetManual(x.now, 1, false)
	if got := x.w.State(1); got != Returning {
		t.Errorf("%v", got)
	}
	if err := x.w.SetManual(x.now, 7, true); err == nil {
		t.Error("no error for a site that doesn't exist")
	}
}

// Over every sequence of five of the listed kinds of evidence, a site is well again in the end, and it isn't lost twice
// within 0.6 s.
func TestEverySequenceOfEvidenceRecovers(t *testing.T) {
	reached := FleetReport{Known: true, Majority: true, Alive: []int{3, 3}, Expected: []int{3, 3}, Reaching: []int{3, 3}, Reporting: []int{3, 3}}
	unreached := FleetReport{Known: true, Majority: true, Alive: []int{3, 3}, Expected: []int{3, 3}, Reaching: []int{3, 0}, Reporting: []int{3, 3}}
	evidence := []struct {
		do    func(int) Outcome
		fleet FleetReport
	}{{}, {always(Silent), FleetReport{}}, {always(Refused), unreached}, {some(2, Reset), FleetReport{}}, {always(Errored), FleetReport{}}, {always(Silent), reached}}
	const depth = 5
	total := 1
	for range depth {
		total *= len(evidence)
	}
	states := map[State]int{}
	for n := range total {
		x := newWatchSim(t, 2, 0)
		last := map[int]time.Duration{}
		for d, rest := 0, n; d < depth; d, rest = d+1, rest/len(evidence) {
			x.outcomes[1] = evidence[rest%len(evidence)].do
			x.w.SetFleet(x.now, evidence[rest%len(evidence)].fleet)
			for range 6 {
				before := len(x.changes)
				x.play(200 * time.Millisecond)
				if len(x.changes) > before && x.w.State(1) == Lost {
					if at, again := last[int(Lost)]; again && x.now-at < 600*time.Millisecond {
						t.Fatalf("sequence %d: lost twice within %v", n, x.now-at)
					}
					last[int(Lost)] = x.now
				}
				states[x.w.State(1)]++
			}
		}
		x.outcomes[1] = nil
		x.w.SetFleet(x.now, FleetReport{})
		x.play(8 * time.Second)
		if x.w.State(1) == Returning {
			x.w.RampDone(x.now, 1)
		}
		if got := x.w.State(1); got != Well {
			t.Fatalf("sequence %d ends in state %v and stays there: %v", n, got, x.changes)
		}
	}
	for s := Well; s <= Cut; s++ {
		if states[s] == 0 {
			t.Errorf("no sequence reaches state %v", s)
		}
	}
}

func TestRamp(t *testing.T) {
	r := DefaultRamp(0.3, 4*time.Second)
	for losses := 1; losses < 5; losses++ {
		was := 0.0
		for at := time.Duration(0); at < r.DurationAfter(losses)+time.Second; at += 100 * time.Millisecond {
			s := r.Share(at, losses)
			if s < was || s < 0.3 || s > 1 {
				t.Fatalf("share %v after a share of %v", s, was)
			}
			if back := r.TimeToShare(s, losses); s < 1 && (back-at).Abs() > time.Millisecond {
				t.Errorf("a share of %v is reached after %v, and at %v", s, at, back)
			}
			was = s
		}
		if was != 1 {
			t.Errorf("the ramp ends at a share of %v", was)
		}
	}
}

func TestConfigIsChecked(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"sites":      func(c *Config) { c.Sites = nil },
		"slot":       func(c *Config) { c.Slot = 0 },
		"doubt":      func(c *Config) { c.DoubtWindow = time.Hour },
		"lose":       func(c *Config) { c.LoseAfter = -1 },
		"least":      func(c *Config) { c.MinFailing = 0 },
		"lost_share": func(c *Config) { c.LostShare = 0.1 },
		"contrast":   func(c *Config) { c.Contrast = 1 },
	} {
		c := DefaultConfig([]string{"a", "b"})
		change(&c)
		if err := c.Check(); err == nil {
			t.Errorf("%s is not checked", name)
		}
	}
	c := DefaultConfig([]string{"a", "a"})
	if _, err := New(c, 0, 0); err == nil {
		t.Error("no error for a duplicate site")
	}
}
