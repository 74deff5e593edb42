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

// controlled plays an agent of site 0 with three sites of four backends: forty attempts a second to each, but for those
// that its order keeps off, which get their trials.
type controlled struct {
	t      *testing.T
	s      *Controller
	now    time.Duration
	do     map[int]Kind // by site; none: served
	order  Order
	orders []Order
	tries  map[int]int // trials sent
}

func newControlled(t *testing.T, own int, change func(*ControllerConfig)) *controlled {
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
	x := &controlled{t: t, s: s, do: map[int]Kind{}, tries: map[int]int{}}
	x.list(4, 4, 4)
	x.work()
	x.play(2 * time.Second)
	if x.order.Basis != Ordinary || len(x.orders) > 0 {
		t.Fatalf("while all is well: %+v", x.orders)
	}
	return x
}

func (x *controlled) list(up ...int) {
	listed, capacity := make([]Listed, len(up)), make([]float64, len(up))
	for i, n := range up {
		listed[i], capacity[i] = Listed{Backends: n, Up: n}, float64(n)
	}
	x.s.List(x.now, listed, capacity)
}

func (x *controlled) work() {
	for range 64 {
		p, ok := x.s.Job()
		if !ok {
			return
		}
		plan, err := p.Plan()
		x.s.Done(p, plan, err)
	}
	x.t.Fatal("plans without end")
}

func (x *controlled) play(d time.Duration) {
	for end := x.now + d; x.now < end; x.now += step {
		for i := range 3 {
			n := 2
			if x.order.Share != nil && x.order.Share[i] == 0 {
				if n = 0; x.order.Trial != nil && x.order.Trial[i] {
					n, x.order.Trial[i] = 1, false
					x.tries[i]++
				}
			}
			for k := range n {
				x.s.Arrived(x.now, false)
				x.s.Watch().Outcome(x.now, i, fmt.Sprint(i, ".", (int(x.now/step)*2+k)%4), x.do[i], 10*time.Millisecond)
			}
		}
		if o, moved := x.s.Tick(x.now); moved {
			x.order = o
			x.order.Trial = slices.Clone(o.Trial)
			x.orders = append(x.orders, o)
		}
	}
}

func TestALostSitesLoadGoesWhereThePlanSays(t *testing.T) {
	x := newControlled(t, 1, nil)
	x.do[1] = Refused
	x.play(2 * time.Second)
	o := x.order
	if o.Basis != Planned || o.Share[1] != 0 || o.Share[0] == 0 || o.Share[2] == 0 {
		t.Fatalf("its own site lost: %+v", o)
	}
	// 240 are asked for, 180 can be borne: all subs (72) and 108 of 168 reads.
	if len(o.Admit) != 2 || o.Admit[1] != 1 || o.Admit[0] > 0.9 {
		t.Errorf("taken in %v", o.Admit)
	}
	mean := 0.0
	for own := range 3 {
		y := newControlled(t, own, nil)
		y.do[1] = Refused
		y.play(2 * time.Second)
		if y.order.Admit != nil {
			mean += y.order.Admit[0] / 3
		} else {
			mean += 1.0 / 3
		}
	}
	if math.Abs(mean-108.0/168) > 0.01 {
		t.Errorf("reads taken in over the agents of all sites: %.3f, want %.3f", mean, 108.0/168)
	}
}

// A doubt leans off a site at once, and lets go again where it was nothing.
func TestADoubtLeansAndLetsGo(t *testing.T) {
	x := newControlled(t, 0, nil)
	x.do[1] = Silent
	for x.order.Basis == Ordinary && x.now < 10*time.Second {
		x.play(step)
	}
	if x.order.Basis != Leaning || x.order.Share[1] != 0.1 || x.order.Share[0] != 1 || x.order.Planned() {
		t.Fatalf("%+v", x.order)
	}
	delete(x.do, 1)
	x.play(4 * time.Second)
	if x.order.Basis != Ordinary || x.order.Share != nil {
		t.Errorf("%+v", x.order)
	}
}

// Attempts that are late tell of silence before the first client has given up.
func TestLateAttemptsTellOfSilence(t *testing.T) {
	x := newControlled(t, 0, nil)
	began := x.now
	var late []Late
	for x.s.Watch().State(1) == Well && x.now < began+3*time.Second {
		for i := range 3 {
			for k := range 2 {
				id := fmt.Sprint(i, ".", (int(x.now/step)*2+k)%4)
				if i == 1 {
					late = append(late, Late{id, x.now})
				} else {
					x.s.Watch().Outcome(x.now, i, id, OK, 10*time.Millisecond)
				}
			}
		}
		var over []Late
		for _, l := range late {
			if x.s.Watch().IsLate(x.now, l.Sent) {
				over = append(over, l)
			}
		}
		x.s.Watch().Pending(x.now, 1, over)
		x.s.Tick(x.now)
		x.now += step
	}
	if took := x.now - began; took > 500*time.Millisecond {
		t.Errorf("doubted after %v", took)
	}
}

func TestTrialsAreRareAndBringItBack(t *testing.T) {
	x := newControlled(t, 0, nil)
	x.do[1] = Silent
	x.play(20 * time.Second)
	if n := x.tries[1]; n < 4 || n > 12 {
		t.Errorf("%d trials in 20 s", n)
	}
	delete(x.do, 1)
	x.orders = nil
	x.play(8 * time.Second)
	if x.s.Watch().State(1) != Returning {
		t.Fatalf("%v after 8 s of answers, %d trials", x.s.Watch().State(1), x.tries[1])
	}
	cold := 0
	for _, o := range x.orders {
		if slices.Contains(o.Cold, 1) {
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

// What a returning site may have grows in steps, never over its ramp, and is nothing again at once when it fails.
func TestTheReturnIsARamp(t *testing.T) {
	x := newControlled(t, 0, nil)
	x.do[1] = Reset
	x.play(3 * time.Second)
	delete(x.do, 1)
	for x.s.Watch().State(1) != Returning && x.now < 30*time.Second {
		x.play(step)
	}
	began := x.now
	was := 0.0
	for x.s.Watch().State(1) == Returning {
		x.play(step)
		may := x.s.cfg.Ramp.Share(x.now-began+step, 1)
		if g := x.order.Gentle != nil && x.order.Gentle[1]; x.order.Basis != Ordinary && g != (x.order.Remain[1] < gentleUntil) {
			t.Fatalf("gentle: %v at %v of it", g, x.order.Remain[1])
		}
		if r := x.order.Remain[1]; x.order.Basis != Ordinary && (r < was || r > may+1e-9) {
			t.Fatalf("%v of it after %v, by its ramp %v", r, x.now-began, may)
		} else {
			was = r
		}
	}
	if took := x.now - began; took < 3900*time.Millisecond || took > 4200*time.Millisecond {
		t.Errorf("back after %v", took)
	}
	x.do[1] = Reset
	x.play(3 * time.Second)
	delete(x.do, 1)
	for x.s.Watch().State(1) != Returning && x.now < 60*time.Second {
		x.play(step)
	}
	x.play(time.Second)
	x.do[1] = Reset
	x.play(time.Second)
	if x.s.Watch().State(1) != Lost || x.order.Share[1] != 0 {
		t.Errorf("%v: a loss during the return goes back at once", x.s.Watch().State(1))
	}
}

// One agent paces the return for all; without word of it each goes by its own ramp.
func TestThePaceIsToldByOne(t *testing.T) {
	x := newControlled(t, 0, nil)
	x.do[1] = Reset
	x.play(3 * time.Second)
	delete(x.do, 1)
	for x.s.Watch().State(1) != Returning && x.now < 30*time.Second {
		x.play(step)
	}
	x.s.Pace(1, 0.4, x.now+2*time.Second)
	x.play(1500 * time.Millisecond)
	if got := x.order.Remain[1]; got != 0.375 {
		t.Errorf("%v of it, told 0.4", got)
	}
	if own := x.s.Ramps()[1]; own < 0.5 {
		t.Errorf("its own ramp is at %v", own)
	}
	x.play(time.Second)
	if got := x.order.Remain[1]; got < 0.625 {
		t.Errorf("%v of it once nobody tells any more", got)
	}
	x.s.Pace(1, 1, x.now+2*time.Second)
	x.play(step)
	if x.s.Watch().State(1) != Well {
		t.Errorf("%v", x.s.Watch().State(1))
	}
}

// Others reach it: this agent alone keeps off, and takes it for warm when it is back.
func TestACutIsNoLoss(t *testing.T) {
	x := newControlled(t, 0, nil)
	others := func(says told) {
		var all []Member
		for site := range 3 {
			for range 3 {
				note := make([]byte, 1)
				for i := range 3 {
					s := answers
					if i == 1 {
						s = says
					}
					note[0] |= byte(s) << (2 * i)
				}
				all = append(all, Member{Site: site, Alive: true, Note: note})
			}
		}
		x.s.Members(x.now, true, all)
	}
	others(answers)
	x.do[1] = Silent
	x.play(4 * time.Second)
	if x.s.Watch().State(1) != Cut || x.order.Share[1] != 0 {
		t.Fatalf("%v, %+v", x.s.Watch().State(1), x.order)
	}
	delete(x.do, 1)
	x.orders = nil
	x.play(8 * time.Second)
	if x.s.Watch().State(1) != Well {
		t.Fatalf("%v", x.s.Watch().State(1))
	}
	for _, o := range x.orders {
		if len(o.Cold) > 0 {
			t.Error("a site that others kept warm counts as cold")
		}
	}
	// What all say makes it a loss sooner.
	others(silent)
	x.do[1] = Silent
	began := x.now
	for x.s.Watch().State(1) != Lost && x.now < began+5*time.Second {
		x.play(step)
	}
	alone := newControlled(t, 0, nil)
	alone.do[1] = Silent
	begun := alone.now
	for alone.s.Watch().State(1) != Lost && alone.now < begun+5*time.Second {
		alone.play(step)
	}
	if x.now-began >= alone.now-begun {
		t.Errorf("%v with others' word, %v without", x.now-began, alone.now-begun)
	}
	// One failure of its own is enough where all say the same, and none is without it.
	y := newControlled(t, 0, nil)
	var all []Member
	for site := range 3 {
		for range 3 {
			all = append(all, Member{Site: site, Alive: true, Note: []byte{byte(silent) << 2}})
		}
	}
	y.s.Members(y.now, true, all)
	y.s.Tick(y.now)
	if got := y.s.Watch().State(1); got != Well {
		t.Errorf("%v by others' word alone", got)
	}
	y.s.Watch().Outcome(y.now, 1, "1.0", Refused, 0)
	for range 30 {
		y.now += step
		y.s.Watch().Outcome(y.now, 0, "0.0", OK, 10*time.Millisecond)
		y.s.Tick(y.now)
	}
	if got := y.s.Watch().State(1); got != Lost {
		t.Errorf("%v by a failure and others' word", got)
	}
	if note := x.s.Note(); told(note[0]>>2&3) != silent || told(note[0]&3) != answers {
		t.Errorf("it says %b", note)
	}
}

// Every order keeps something in use, whatever the evidence.
func TestSomethingIsAlwaysInUse(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		x := newControlled(t, rapid.IntRange(-1, 2).Draw(r, "own"), func(c *ControllerConfig) {
			if rapid.Bool().Draw(r, "no figures") {
				c.Figures.Problem = nil
			}
		})
		for range rapid.IntRange(1, 6).Draw(r, "phases") {
			for i := range 3 {
				x.do[i] = rapid.SampledFrom([]Kind{OK, OK, Silent, Refused, Reset, Errored}).Draw(r, "kind")
			}
			if rapid.Bool().Draw(r, "listed anew") {
				x.list(rapid.IntRange(0, 4).Draw(r, "a"), rapid.IntRange(0, 4).Draw(r, "b"), 4)
			}
			x.play(time.Duration(rapid.IntRange(1, 30).Draw(r, "tenths")) * 100 * time.Millisecond)
			if rapid.Bool().Draw(r, "solved") {
				x.work()
			}
			if o := x.order; o.Share != nil && slices.Max(o.Share) <= 0 {
				r.Fatalf("nothing is in use: %+v", o)
			}
			for _, a := range x.order.Admit {
				if !(a >= 0 && a <= 1) {
					r.Fatalf("taken in %v", x.order.Admit)
				}
			}
		}
	})
}

// Refused clients are told to come as the ramp opens, not together.
func TestReturnsFollowTheRamp(t *testing.T) {
	x := newControlled(t, 0, func(c *ControllerConfig) { c.Advice = 4 * time.Second })
	x.do[1] = Refused
	x.play(3 * time.Second)
	spread := map[int]int{}
	for range 400 {
		d := x.s.Back(x.now, 0)
		if d <= 0 || d > 4*time.Second {
			t.Fatalf("come back after %v", d)
		}
		spread[int(d/time.Second)]++
	}
	for s := range 4 {
		if spread[s] < 40 {
			t.Errorf("lost: %v told by the second, wanted even", spread)
		}
	}
	// During the return: as the ramp opens, so the more the later, and some at once.
	x = newControlled(t, 0, func(c *ControllerConfig) { c.Advice = 4 * time.Second })
	x.do[1] = Refused
	x.play(3 * time.Second)
	delete(x.do, 1)
	for x.s.Watch().State(1) != Returning && x.now < 30*time.Second {
		x.play(step)
	}
	x.play(200 * time.Millisecond)
	half := [2]int{}
	first := 4 * time.Second
	for range 60 {
		d := x.s.Back(x.now, 1)
		half[min(int(d/(2*time.Second)), 1)]++
		first = min(first, d)
	}
	if first > 1500*time.Millisecond || half[0] == 0 || half[1] <= half[0] {
		t.Errorf("the first after %v, %v in the halves of the ramp", first, half)
	}
}

func TestSteerConfigIsChecked(t *testing.T) {
	for name, change := range map[string]func(*ControllerConfig){
		"classes": func(c *ControllerConfig) { c.Classes = nil }, "trial": func(c *ControllerConfig) { c.Trial = 0 }, "lean": func(c *ControllerConfig) { c.Lean = 0 },
		"floor": func(c *ControllerConfig) { c.Floor = 2 }, "ramp": func(c *ControllerConfig) { c.Ramp.ColdShare = 0 }, "advice": func(c *ControllerConfig) { c.Advice = 0 },
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
