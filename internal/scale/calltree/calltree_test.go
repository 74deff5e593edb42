package calltree

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// small returns a configuration like the default one but scaled down, which runs in a fraction of a second.
func small(seed uint64) Config {
	c := DefaultConfig()
	c.Seed, c.Services, c.Backends, c.Depth, c.Gateways, c.Rate = seed, 18, 60, 9, 3, 2500
	c.FaultService = 6
	c.Warm, c.Measure = time.Second, 1500*time.Millisecond
	return c
}

// scenario is a fault and the failure probability for it (Config.FailShare).
type scenario struct {
	fault Fault
	share float64
}

func (s scenario) String() string { return fmt.Sprintf("%s-%g", s.fault, s.share) }

func (s scenario) apply(c Config) Config {
	c.Fault, c.FailShare = s.fault, s.share
	return c
}

var scenarios = []scenario{
	{FaultNone, 0}, {FaultLeafAttempts, 0.05}, {FaultLeafAttempts, 0.4}, {FaultLeafCalls, 0.17},
	{FaultAnswers, 0.17}, {FaultSlow, 0}, {FaultRefused, 0}, {FaultSilent, 0},
}

func mustRun(t *testing.T, c Config) Result {
	t.Helper()
	r, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// replay returns the command that runs the test again.
func replay(t *testing.T) string {
	return fmt.Sprintf("replay: go test ./internal/scale/calltree -run '^%s$' -count 1", t.Name())
}

func TestSameSeedGivesTheSameResult(t *testing.T) {
	for _, s := range []scenario{{FaultNone, 0}, {FaultLeafAttempts, 0.17}, {FaultSlow, 0}} {
		t.Run(s.String(), func(t *testing.T) {
			encode := func(seed uint64) string {
				r := mustRun(t, s.apply(small(seed)))
				r.Config.Seed = 0
				text, err := json.Marshal(r)
				if err != nil {
					t.Fatal(err)
				}
				return string(text)
			}
			first := encode(7)
			if second := encode(7); second != first {
				t.Errorf("two runs of one seed differ; %s", replay(t))
			}
			if other := encode(8); other == first {
				t.Errorf("another seed gives the same run; %s", replay(t))
			}
		})
	}
}

// Each call ends once, each attempt has one outcome, and no unsafe call is executed twice.
func TestCallsAreConserved(t *testing.T) {
	for _, s := range scenarios {
		for _, variant := range []string{"plain", "cancel", "mark", "untold"} {
			t.Run(s.String()+"/"+variant, func(t *testing.T) {
				c := s.apply(small(11))
				c.Cancel, c.DontRetryMark = variant == "cancel", variant == "mark"
				c.TellLeft = variant != "untold"
				r := mustRun(t, c)
				k := r.Checks
				if k.Started != k.Ended || k.EndedTwice != 0 || k.Open != 0 || k.NoOutcome != 0 || k.UnsafeTwice != 0 {
					t.Errorf("%+v; %s", k, replay(t))
				}
				if r.Roots.Calls == 0 || r.Roots.Calls != r.Roots.Served+r.Roots.Refused+r.Roots.Failed {
					t.Errorf("roots %+v; %s", r.Roots, replay(t))
				}
				for _, l := range r.Layers {
					if l.Calls != l.Ending.Calls || l.Executions > l.Attempts {
						t.Errorf("layer %+v; %s", l, replay(t))
					}
				}
			})
		}
	}
}

// Retries in the whole run stay within what token buckets allow: each holds 100 tokens at first, a retry takes at least five,
// and a served attempt adds one.
func TestRetriesStayWithinTheBuckets(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.String(), func(t *testing.T) {
			r := mustRun(t, s.apply(small(3)))
			if maxRetries := 20*r.Balancers + r.Checks.Served/5; r.Checks.Retries > maxRetries {
				t.Errorf("%d retries where buckets pay for %d; %s", r.Checks.Retries, maxRetries, replay(t))
			}
		})
	}
}

func TestNothingFailsWithoutAFault(t *testing.T) {
	r := mustRun(t, small(5))
	if r.Retries != 0 || r.Roots.Served != r.Roots.Calls || r.ClientTries != r.Roots.Calls {
		t.Errorf("retries %d, roots %+v, tries %d; %s", r.Retries, r.Roots, r.ClientTries, replay(t))
	}
}

func TestNoRetriesWhenDisabled(t *testing.T) {
	c := scenario{FaultLeafAttempts, 0.4}.apply(small(5))
	c.MaxAttempts, c.ClientRetry = 1, false
	r := mustRun(t, c)
	if r.Retries != 0 || r.ClientTries != r.Roots.Calls {
		t.Errorf("%d retries, %d tries of %d roots; %s", r.Retries, r.ClientTries, r.Roots.Calls, replay(t))
	}
	base := mustRun(t, small(5))
	if a := Compare(base, r); a.Leaves > 1 || a.All > 1 {
		t.Errorf("more attempts than without failures: %+v; %s", a, replay(t))
	}
}

// Without retries each fault fails some roots, and a lasting fault fails every root whose tree contains it.
func TestEachFaultFailsAffectedRoots(t *testing.T) {
	for _, s := range scenarios[1:] {
		c := s.apply(small(9))
		c.MaxAttempts, c.ClientRetry = 1, false
		r := mustRun(t, c)
		if maxServed := float64(r.Roots.Calls) * 0.97; float64(r.Roots.Served) > maxServed {
			t.Errorf("%s: %d of %d roots served; %s", s, r.Roots.Served, r.Roots.Calls, replay(t))
		}
		lasting := c.hasServiceFault() || c.Fault == FaultLeafCalls
		if lasting && (r.Roots.Served != r.Untouched.Served || r.Untouched.Calls == r.Roots.Calls) {
			t.Errorf("%s: roots %+v, untouched %+v; %s", s, r.Roots, r.Untouched, replay(t))
		}
	}
}

// Scenarios with the same seed generate the same trees.
func TestFaultsDoNotChangeTrees(t *testing.T) {
	base := mustRun(t, small(9))
	for _, s := range scenarios[1:] {
		r := mustRun(t, s.apply(small(9)))
		if r.Roots.Calls != base.Roots.Calls {
			t.Errorf("%s: %d roots, %d without it; %s", s, r.Roots.Calls, base.Roots.Calls, replay(t))
		}
		for i := range r.Depths {
			if r.Depths[i].DeepCalls != base.Depths[i].DeepCalls || r.Depths[i].Ending.Calls != base.Depths[i].Ending.Calls {
				t.Errorf("%s: depth %d: %+v, without it %+v; %s", s, i+1, r.Depths[i], base.Depths[i], replay(t))
			}
		}
	}
}

// Attempts grow linearly with the traffic, and balancer steps per attempt stay constant.
func TestAttemptsScaleLinearlyAndStepsPerAttemptStayConstant(t *testing.T) {
	c := small(13)
	c.Rate, c.Measure = 6000, 3*time.Second // enough trees for a stable mean
	one := mustRun(t, c)
	c.Rate, c.Backends, c.Services = 2*c.Rate, 2*c.Backends, 2*c.Services
	two := mustRun(t, c)
	if ratio := float64(two.Attempts) / float64(one.Attempts); math.Abs(ratio-2) > 0.2 {
		t.Errorf("twice the traffic makes %.2f times the attempts; %s", ratio, replay(t))
	}
	perCall := func(r Result) float64 {
		n := 0
		for _, d := range r.Depths {
			n += d.Steps
		}
		return float64(n) / float64(r.Attempts)
	}
	if a, b := perCall(one), perCall(two); a != 2 || b != 2 {
		t.Errorf("%.3f and %.3f decisions for an attempt that is served, not 2; %s", a, b, replay(t))
	}
}

// With DontRetryMark only the direct callers of a failing leaf retry.
func TestDontRetryMarkStopsRetriesAboveTheFailure(t *testing.T) {
	c := scenario{FaultLeafCalls, 0.17}.apply(small(17))
	c.ClientRetry, c.Branch = false, 0
	plain := mustRun(t, c)
	c.DontRetryMark = true
	marked := mustRun(t, c)
	inner := func(r Result) (n int) {
		for _, l := range r.Layers {
			n += l.Attempts - l.Leaf
		}
		return n
	}
	repeatedInner := func(r Result) int { // attempts of calls with children, beyond the first of each call
		n := inner(r)
		for _, d := range r.Depths {
			n -= d.Ending.Calls * (d.Depth - 1)
		}
		return n
	}
	if repeatedInner(plain) <= 0 || repeatedInner(marked) > 0 {
		t.Errorf("repeated above leaves: %d, with the mark %d; %s", repeatedInner(plain), repeatedInner(marked), replay(t))
	}
}

func TestTreesStayWithinBounds(t *testing.T) {
	c := DefaultConfig()
	c.Fault, c.FaultService = FaultSlow, 20
	l, shape := plan(&c)
	f := treeGenerator{config: &c, layout: l, shape: newSource(1, sourceShape), leafFaults: newSource(1, sourceLeafFaults)}
	for range 5000 {
		tr := f.generate()
		touched := false
		var walk func(n *node) int
		walk = func(n *node) int {
			count := 1
			touched = touched || n.service == c.FaultService
			if l.services[n.service].layer != n.layer || n.layer > tr.deepest && n.layer >= c.Depth {
				t.Fatalf("service %d at layer %d", n.service, n.layer)
			}
			for i, child := range n.children {
				if child.layer != n.layer+1 || child.unsafe && (i > 0 || !n.unsafe) {
					t.Fatalf("child %+v of %+v", child, n)
				}
				count += walk(child)
			}
			return count
		}
		if n := walk(tr.root); n != tr.calls || n > maxTreeCalls+c.Depth*c.Depth || touched != tr.affected {
			t.Fatalf("%d calls, said to be %d; touched %v, said to be %v", n, tr.calls, touched, tr.affected)
		}
	}
	backends := 0
	for _, s := range l.services {
		backends += s.backends
	}
	if backends != c.Backends || shape.LeastBackends < 1 || shape.DeepestShare <= 0 {
		t.Errorf("%d backends; %+v", backends, shape)
	}
}

func TestQueueOrdersByTimeThenScheduling(t *testing.T) {
	r := newSource(1, 1)
	var q queue
	for i := range 2000 {
		q.push(time.Duration(r.IntN(50)), event{token: int64(i)})
		if i%3 == 2 {
			q.pop()
		}
	}
	var before time.Duration
	last := int64(-1)
	for len(q.entries) > 0 {
		at, e := q.pop()
		if at < before || at == before && e.token < last {
			t.Fatalf("event %d at %d after event %d at %d", e.token, at, last, before)
		}
		before, last = at, e.token
	}
}

func TestConfigErrorsNameTheInvalidField(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"Depth":        func(c *Config) { c.Depth = 0 },
		"Services":     func(c *Config) { c.Services = 3 },
		"Backends":     func(c *Config) { c.Backends = 3 },
		"Rate":         func(c *Config) { c.Rate = math.NaN() },
		"Patience":     func(c *Config) { c.Patience = c.Deadline + 1 },
		"FailShare":    func(c *Config) { c.FailShare = 1.1 },
		"FaultService": func(c *Config) { c.Fault, c.FaultService = FaultSlow, c.Services },
		"Fault":        func(c *Config) { c.Fault = "rain" },
	} {
		c := small(1)
		invalidate(&c)
		if _, err := Run(c); err == nil || !strings.Contains(err.Error(), field+" ") {
			t.Errorf("%s: %v", field, err)
		}
	}
}
