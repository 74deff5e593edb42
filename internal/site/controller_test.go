package site

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var twoClasses = []Class{{"read", 1}, {"sub", 3}}

// controllerSim simulates an agent with three sites of four backends. It makes forty attempts a second at each site,
// except at sites to which its order gives no weight: these get only the trials that the order asks for.
type controllerSim struct {
	t          *testing.T
	s          *Controller
	now        time.Duration
	outcomes   map[int]Outcome // by site; absent: OK
	order      Order           // the latest order
	orders     []Order         // the changed orders, oldest first
	trialsSent map[int]int     // number of trials sent, by site
}

// newControllerSim returns a simulation of an agent in site own whose plans are computed, after 2 s with all sites well.
func newControllerSim(t *testing.T, own int, change func(*ControllerConfig)) *controllerSim {
	t.Helper()
	cfg := DefaultControllerConfig([]string{"a", "b", "c"}, 0.3, 4*time.Second)
	cfg.Classes = twoClasses
	p := Problem{Capacity: []float64{100, 100, 100}, Remain: []float64{1, 1, 1}, Classes: twoClasses, Headroom: 0.1}
	for o := range 3 {
		row := []float64{0.05, 0.05, 0.05}
		row[o] = 0
		p.Demand, p.Cross = append(p.Demand, []float64{56, 24}), append(p.Cross, row)
	}
	cfg.Figures.Problem = &p
	if change != nil {
		change(&cfg)
	}
	s, err := NewController(cfg, own, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	x := &controllerSim{t: t, s: s, outcomes: map[int]Outcome{}, trialsSent: map[int]int{}}
	x.list(4, 4, 4)
	x.solvePlans()
	x.play(2 * time.Second)
	if x.order.Basis != Ordinary || len(x.orders) > 0 {
		t.Fatalf("orders while all sites are well: %+v", x.orders)
	}
	return x
}

// list sets the number of backends in the list, all of them up, by site.
func (x *controllerSim) list(up ...int) {
	listed, capacity := make([]ListCounts, len(up)), make([]float64, len(up))
	for i, n := range up {
		listed[i], capacity[i] = ListCounts{Backends: n, Up: n}, float64(n)
	}
	x.s.SetList(x.now, listed, capacity)
}

// solvePlans computes all plans that the Controller asks for.
func (x *controllerSim) solvePlans() {
	for range 64 {
		p, ok := x.s.NextProblem()
		if !ok {
			return
		}
		plan, err := p.Plan()
		x.s.AddPlan(p, plan, err)
	}
	x.t.Fatal("more than 64 plans to compute")
}

// play simulates the agent for d.
func (x *controllerSim) play(d time.Duration) {
	for end := x.now + d; x.now < end; x.now += step {
		for i := range 3 {
			n := 2
			if x.order.BackendWeights != nil && x.order.BackendWeights[i] == 0 {
				if n = 0; x.order.Trial != nil && x.order.Trial[i] {
					n, x.order.Trial[i] = 1, false
					x.trialsSent[i]++
				}
			}
			for k := range n {
				x.s.Arrived(x.now, false)
				x.s.Watch().RecordOutcome(x.now, i, fmt.Sprint(i, ".", (int(x.now/step)*2+k)%4), x.outcomes[i], 10*time.Millisecond)
			}
		}
		if o, moved := x.s.Tick(x.now); moved {
			x.order = o
			x.order.Trial = slices.Clone(o.Trial)
			x.orders = append(x.orders, o)
		}
	}
}

// When a site is lost, its load goes to the other sites and the classes are admitted as planned.
func TestLostSitesLoadFollowsPlan(t *testing.T) {
	x := newControllerSim(t, 1, nil)
	x.outcomes[1] = Refused
	x.play(2 * time.Second)
	o := x.order
	if o.Basis != Planned || o.BackendWeights[1] != 0 || o.BackendWeights[0] == 0 || o.BackendWeights[2] == 0 {
		t.Fatalf("agent of the lost site: %+v", o)
	}
	// Clients demand 240 requests a second, and the sites left can serve 180: all subs (72) and 108 of the 168 reads.
	if len(o.AdmitShares) != 2 || o.AdmitShares[1] != 1 || o.AdmitShares[0] > 0.9 {
		t.Errorf("admitted %v", o.AdmitShares)
	}
	mean := 0.0
	for own := range 3 {
		y := newControllerSim(t, own, nil)
		y.outcomes[1] = Refused
		y.play(2 * time.Second)
		if y.order.AdmitShares != nil {
			mean += y.order.AdmitShares[0] / 3
		} else {
			mean += 1.0 / 3
		}
	}
	if math.Abs(mean-108.0/168) > 0.01 {
		t.Errorf("share of reads admitted by the agents of all sites: %.3f, want %.3f", mean, 108.0/168)
	}
}

// A doubted site gets less load at once, and all of it again when the doubt is cleared.
func TestDoubtedSiteGetsLessLoadUntilCleared(t *testing.T) {
	x := newControllerSim(t, 0, nil)
	x.outcomes[1] = Silent
	for x.order.Basis == Ordinary && x.now < 10*time.Second {
		x.play(step)
	}
	if x.order.Basis != DoubtedOnly || x.order.BackendWeights[1] != 0.1 || x.order.BackendWeights[0] != 1 || x.order.Planned() {
		t.Fatalf("%+v", x.order)
	}
	delete(x.outcomes, 1)
	x.play(4 * time.Second)
	if x.order.Basis != Ordinary || x.order.BackendWeights != nil {
		t.Errorf("%+v", x.order)
	}
}

// Late attempts make a silent site doubted before the first client times out.
func TestLateAttemptsRaiseDoubt(t *testing.T) {
	x := newControllerSim(t, 0, nil)
	began := x.now
	var late []LateAttempt
	for x.s.Watch().State(1) == Well && x.now < began+3*time.Second {
		for i := range 3 {
			for k := range 2 {
				id := fmt.Sprint(i, ".", (int(x.now/step)*2+k)%4)
				if i == 1 {
					late = append(late, LateAttempt{id, x.now})
				} else {
					x.s.Watch().RecordOutcome(x.now, i, id, OK, 10*time.Millisecond)
				}
			}
		}
		var over []LateAttempt
		for _, l := range late {
			if x.s.Watch().IsLate(x.now, l.Sent) {
				over = append(over, l)
			}
		}
		x.s.Watch().SetLate(x.now, 1, over)
		x.s.Tick(x.now)
		x.now += step
	}
	if took := x.now - began; took > 500*time.Millisecond {
		t.Errorf("doubted after %v", took)
	}
}

// Trials of a lost site are rare; once they are served, the site returns, and its backends count as cold once.
func TestTrialsAreRareAndRestoreSite(t *testing.T) {
	x := newControllerSim(t, 0, nil)
	x.outcomes[1] = Silent
	x.play(20 * time.Second)
	if n := x.trialsSent[1]; n < 4 || n > 12 {
		t.Errorf("%d trials in 20 s", n)
	}
	delete(x.outcomes, 1)
	x.orders = nil
	x.play(8 * time.Second)
	if x.s.Watch().State(1) != Returning {
		t.Fatalf("%v after 8 s of answers, %d trials", x.s.Watch().State(1), x.trialsSent[1])
	}
	cold := 0
	for _, o := range x.orders {
		if slices.Contains(o.NewlyCold, 1) {
			cold++
		}
	}
	if cold != 1 {
		t.Errorf("called cold %d times in one return", cold)
	}
	x.play(6 * time.Second)
	if x.order.Basis != Ordinary {
		t.Errorf("%+v", x.order)
	}
}

// The share of a returning site grows in steps, never exceeds its ramp, and drops to nothing when the site
// fails again.
func TestReturningSiteFollowsRamp(t *testing.T) {
	x := newControllerSim(t, 0, nil)
	x.outcomes[1] = Reset
	x.play(3 * time.Second)
	delete(x.outcomes, 1)
	for x.s.Watch().State(1) != Returning && x.now < 30*time.Second {
		x.play(step)
	}
	began := x.now
	was := 0.0
	for x.s.Watch().State(1) == Returning {
		x.play(step)
		allowed := x.s.cfg.Ramp.Share(x.now-began+step, 1)
		if g := x.order.RepeatableOnly != nil && x.order.RepeatableOnly[1]; x.order.Basis != Ordinary && g != (x.order.Remain[1] < repeatableOnlyBelow) {
			t.Fatalf("repeatable requests only: %v, at a share of %v", g, x.order.Remain[1])
		}
		if r := x.order.Remain[1]; x.order.Basis != Ordinary && (r < was || r > allowed+1e-9) {
			t.Fatalf("share %v after %v, but the ramp allows %v", r, x.now-began, allowed)
		} else {
			was = r
		}
	}
	if took := x.now - began; took < 3900*time.Millisecond || took > 4200*time.Millisecond {
		t.Errorf("the return took %v", took)
	}
	x.outcomes[1] = Reset
	x.play(3 * time.Second)
	delete(x.outcomes, 1)
	for x.s.Watch().State(1) != Returning && x.now < 60*time.Second {
		x.play(step)
	}
	x.play(time.Second)
	x.outcomes[1] = Reset
	x.play(time.Second)
	if x.s.Watch().State(1) != Lost || x.order.BackendWeights[1] != 0 {
		t.Errorf("state %v: a site that fails during its return must be lost at once", x.s.Watch().State(1))
	}
}

// One agent sets the ramp of a returning site for all agents; when it stops doing so, each agent follows its own ramp.
func TestRampOverride(t *testing.T) {
	x := newControllerSim(t, 0, nil)
	x.outcomes[1] = Reset
	x.play(3 * time.Second)
	delete(x.outcomes, 1)
	for x.s.Watch().State(1) != Returning && x.now < 30*time.Second {
		x.play(step)
	}
	x.s.OverrideRamp(1, 0.4, x.now+2*time.Second)
	x.play(1500 * time.Millisecond)
	if got := x.order.Remain[1]; got != 0.375 {
		t.Errorf("share %v, want 0.4 rounded down to a step", got)
	}
	if own := x.s.RampShares()[1]; own < 0.5 {
		t.Errorf("own ramp at %v", own)
	}
	x.play(time.Second)
	if got := x.order.Remain[1]; got < 0.625 {
		t.Errorf("share %v after the override ended", got)
	}
	x.s.OverrideRamp(1, 1, x.now+2*time.Second)
	x.play(step)
	if x.s.Watch().State(1) != Well {
		t.Errorf("%v", x.s.Watch().State(1))
	}
}

// A site that other members reach is cut: this agent alone sends it no load, and doesn't treat it as cold
// afterwards.
func TestCutSiteIsNotLost(t *testing.T) {
	x := newControllerSim(t, 0, nil)
	reportFromOthers := func(says reachability) {
		var all []MemberReport
		for site := range 3 {
			for range 3 {
				note := make([]byte, 1)
				for i := range 3 {
					s := reachable
					if i == 1 {
						s = says
					}
					note[0] |= byte(s) << (2 * i)
				}
				all = append(all, MemberReport{Site: site, Alive: true, Note: note})
			}
		}
		x.s.SetMembers(x.now, true, all)
	}
	reportFromOthers(reachable)
	x.outcomes[1] = Silent
	x.play(4 * time.Second)
	if x.s.Watch().State(1) != Cut || x.order.BackendWeights[1] != 0 {
		t.Fatalf("%v, %+v", x.s.Watch().State(1), x.order)
	}
	delete(x.outcomes, 1)
	x.orders = nil
	x.play(8 * time.Second)
	if x.s.Watch().State(1) != Well {
		t.Fatalf("%v", x.s.Watch().State(1))
	}
	for _, o := range x.orders {
		if len(o.NewlyCold) > 0 {
			t.Error("a site that other agents kept warm is treated as cold")
		}
	}
	// If all other members report that they don't reach it either, it is lost sooner than by this agent's evidence alone.
	reportFromOthers(unreachable)
	x.outcomes[1] = Silent
	began := x.now
	for x.s.Watch().State(1) != Lost && x.now < began+5*time.Second {
		x.play(step)
	}
	alone := newControllerSim(t, 0, nil)
	alone.outcomes[1] = Silent
	begun := alone.now
	for alone.s.Watch().State(1) != Lost && alone.now < begun+5*time.Second {
		alone.play(step)
	}
	if x.now-began >= alone.now-begun {
		t.Errorf("loss after %v with the reports of others, %v without", x.now-began, alone.now-begun)
	}
	// If all other members report that they don't reach the site, one failure of this agent makes it lost; without any
	// failure the site stays well.
	y := newControllerSim(t, 0, nil)
	var all []MemberReport
	for site := range 3 {
		for range 3 {
			all = append(all, MemberReport{Site: site, Alive: true, Note: []byte{byte(unreachable) << 2}})
		}
	}
	y.s.SetMembers(y.now, true, all)
	y.s.Tick(y.now)
	if got := y.s.Watch().State(1); got != Well {
		t.Errorf("state %v by the reports of others alone", got)
	}
	y.s.Watch().RecordOutcome(y.now, 1, "1.0", Refused, 0)
	for range 30 {
		y.now += step
		y.s.Watch().RecordOutcome(y.now, 0, "0.0", OK, 10*time.Millisecond)
		y.s.Tick(y.now)
	}
	if got := y.s.Watch().State(1); got != Lost {
		t.Errorf("state %v by one failure and the reports of others", got)
	}
	if note := x.s.Note(); reachability(note[0]>>2&3) != unreachable || reachability(note[0]&3) != reachable {
		t.Errorf("note %b", note)
	}
}

// Every order keeps some site in use, whatever the evidence.
func TestSomeSiteIsAlwaysInUse(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		x := newControllerSim(t, rapid.IntRange(-1, 2).Draw(r, "own"), func(c *ControllerConfig) {
			if rapid.Bool().Draw(r, "no figures") {
				c.Figures.Problem = nil
			}
		})
		for range rapid.IntRange(1, 6).Draw(r, "phases") {
			for i := range 3 {
				x.outcomes[i] = rapid.SampledFrom([]Outcome{OK, OK, Silent, Refused, Reset, Errored}).Draw(r, "kind")
			}
			if rapid.Bool().Draw(r, "listed anew") {
				x.list(rapid.IntRange(0, 4).Draw(r, "a"), rapid.IntRange(0, 4).Draw(r, "b"), 4)
			}
			x.play(time.Duration(rapid.IntRange(1, 30).Draw(r, "tenths")) * 100 * time.Millisecond)
			if rapid.Bool().Draw(r, "solved") {
				x.solvePlans()
			}
			if o := x.order; o.BackendWeights != nil && slices.Max(o.BackendWeights) <= 0 {
				r.Fatalf("no site is in use: %+v", o)
			}
			for _, a := range x.order.AdmitShares {
				if !(a >= 0 && a <= 1) {
					r.Fatalf("admitted %v", x.order.AdmitShares)
				}
			}
		}
	})
}

// Refused clients are advised to come back as the ramp opens, not all together.
func TestReturnAdviceFollowsRamp(t *testing.T) {
	x := newControllerSim(t, 0, func(c *ControllerConfig) { c.MaxAdvice = 4 * time.Second })
	x.outcomes[1] = Refused
	x.play(3 * time.Second)
	spread := map[int]int{}
	for range 400 {
		d := x.s.ReturnAfter(x.now, 0)
		if d <= 0 || d > 4*time.Second {
			t.Fatalf("come back after %v", d)
		}
		spread[int(d/time.Second)]++
	}
	for s := range 4 {
		if spread[s] < 40 {
			t.Errorf("site lost: advice by second %v, want it spread evenly", spread)
		}
	}
	// While the site returns, more clients are advised to come in the later half of the ramp, but some at once.
	x = newControllerSim(t, 0, func(c *ControllerConfig) { c.MaxAdvice = 4 * time.Second })
	x.outcomes[1] = Refused
	x.play(3 * time.Second)
	delete(x.outcomes, 1)
	for x.s.Watch().State(1) != Returning && x.now < 30*time.Second {
		x.play(step)
	}
	x.play(200 * time.Millisecond)
	half := [2]int{}
	first := 4 * time.Second
	for range 60 {
		d := x.s.ReturnAfter(x.now, 1)
		half[min(int(d/(2*time.Second)), 1)]++
		first = min(first, d)
	}
	if first > 1500*time.Millisecond || half[0] == 0 || half[1] <= half[0] {
		t.Errorf("first return after %v, %v returns in the halves of the ramp", first, half)
	}
}

func TestControllerConfigIsChecked(t *testing.T) {
	for name, change := range map[string]func(*ControllerConfig){
		"classes": func(c *ControllerConfig) { c.Classes = nil }, "trial": func(c *ControllerConfig) { c.TrialInterval = 0 }, "lean": func(c *ControllerConfig) { c.DoubtedShare = 0 },
		"floor": func(c *ControllerConfig) { c.MinShare = 2 }, "ramp": func(c *ControllerConfig) { c.Ramp.ColdShare = 0 }, "advice": func(c *ControllerConfig) { c.MaxAdvice = 0 },
		"figures": func(c *ControllerConfig) { c.Figures.Problem = &Problem{} }, "sites": func(c *ControllerConfig) { c.Watch.Sites = nil },
	} {
		c := DefaultControllerConfig([]string{"a", "b"}, 0.3, time.Second)
		c.Classes = twoClasses
		change(&c)
		if err := c.Check(); err == nil {
			t.Errorf("%s is not checked", name)
		}
	}
}
