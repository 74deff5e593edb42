package overload

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newReporter returns a Reporter whose next report has sequence number 1001.
func newReporter(t testing.TB) *Reporter {
	t.Helper()
	r, err := New(DefaultConfig(), 1000)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// recordSecond records a number of answers (ended) within one second, the first of them (refused) as
// refusals, and returns the report at the end of the second.
func recordSecond(r *Reporter, second int, ended, refused int) (Report, bool) {
	for i := range ended {
		r.Record(i < refused, time.Duration(second)*time.Second+time.Duration(i))
	}
	return r.Report(time.Duration(second+1) * time.Second)
}

// The report's states in sequence: half of the requests are refused, then half of the remaining ones, then
// none.
func TestReportSequence(t *testing.T) {
	r := newReporter(t)
	for i, step := range []struct {
		ended, refused int // answers in the second, and the refusals among them
		want           Report
		reported       bool
	}{
		{100, 0, Report{}, false},
		{100, 50, Report{1001, 50, 5}, true},
		{50, 25, Report{1002, 75, 5}, true}, // half of the remaining half
		{25, 0, Report{1003, 70, 5}, true},
		{30, 0, Report{1004, 64, 5}, true},
		{36, 36, Report{1005, 90, 5}, true}, // limited by MaxReduction
		{10, 0, Report{1006, 88, 5}, true},
		{10, 10, Report{1007, 90, 5}, true},
		{10, 0, Report{1008, 88, 5}, true},
		{60, 0, Report{1009, 86, 5}, true},
		{60, 0, Report{1010, 83, 5}, true},
		{60, 0, Report{1011, 79, 5}, true},
		{60, 0, Report{1012, 75, 5}, true},
		{60, 0, Report{1013, 70, 5}, true},
		{60, 0, Report{1014, 64, 5}, true},
		{60, 0, Report{1015, 57, 5}, true},
		{60, 0, Report{1016, 48, 5}, true},
		{60, 0, Report{1017, 38, 5}, true},
		{60, 0, Report{1018, 26, 5}, true},
		{60, 0, Report{1019, 11, 5}, true},
		{10, 0, Report{1020, 0, 0}, true}, // the end, for clients that apply the previous report
		{10, 0, Report{1020, 0, 0}, true},
		{10, 0, Report{1020, 0, 0}, true},
		{10, 0, Report{1020, 0, 0}, true},
		{10, 0, Report{1020, 0, 0}, true},
		{10, 0, Report{}, false},
		{10, 0, Report{}, false},
	} {
		got, reported := recordSecond(r, i, step.ended, step.refused)
		if reported != step.reported || reported && got != step.want {
			t.Fatalf("second %d: reported %v, %+v; want %v, %+v", i+1, reported, got, step.reported, step.want)
		}
	}
}

// Refusals among a few requests are no overload; while clients hold back requests, a few are significant.
func TestFewRequests(t *testing.T) {
	r := newReporter(t)
	if got, reported := recordSecond(r, 0, 5, 5); reported {
		t.Errorf("five refused of five: %+v", got)
	}
	if got, reported := recordSecond(r, 1, 100, 90); !reported || got.Reduction != 90 {
		t.Errorf("reported %v, %+v", reported, got)
	}
	if got, _ := recordSecond(r, 2, 2, 2); got.Reduction != 90 {
		t.Errorf("two of the two remaining requests refused: %+v", got)
	}
}

// An unchanged report is issued again before it expires, with a new sequence number, since clients ignore a
// known one.
func TestReportIsRenewed(t *testing.T) {
	r := newReporter(t)
	recordSecond(r, 0, 10, 10)
	first, _ := r.Report(time.Second)
	same, _ := r.Report(time.Second + 900*time.Millisecond)
	if first != same {
		t.Errorf("%+v, then %+v", first, same)
	}
	for s := 1; s < 5; s++ {
		recordSecond(r, s, 10, 10)
	}
	if later, _ := r.Report(5 * time.Second); later.Reduction != first.Reduction || later.Sequence == first.Sequence || later.Validity != 5 {
		t.Errorf("%+v became %+v", first, later)
	}
}

// Without requests the report expires, and nothing is reported afterwards.
func TestReportExpiresWithoutRequests(t *testing.T) {
	r := newReporter(t)
	recordSecond(r, 0, 10, 10)
	if got, reported := r.Report(time.Hour); reported {
		t.Errorf("an hour later: %+v", got)
	}
}

// site simulates a site with limited capacity, its reporter and clients of which a share complies with
// reports.
type site struct {
	r          *Reporter
	rng        *rand.Rand
	capacity   int     // requests per second
	compliance float64 // share of the clients that comply
	reduction  float64 // share of the requests that complying clients hold back
}

// simulateSecond simulates one second of offered load and returns the number of requests served and refused.
func (s *site) simulateSecond(at, offered int) (served, refused int) {
	received := 0
	for range offered {
		if s.rng.Float64() >= s.reduction || s.rng.Float64() >= s.compliance {
			received++
		}
	}
	served, refused = min(received, s.capacity), max(0, received-s.capacity)
	for i := range received {
		s.r.Record(i >= served, time.Duration(at)*time.Second+time.Duration(i))
	}
	if got, reported := s.r.Report(time.Duration(at+1) * time.Second); reported {
		s.reduction = float64(got.Reduction) / 100
	} else {
		s.reduction = 0
	}
	return served, refused
}

// After a few seconds few requests of complying clients are refused, while the site remains well used; when
// the overload has ended, clients soon send all their requests again.
func TestControlLoopConverges(t *testing.T) {
	for _, factor := range []float64{1.3, 2, 4} {
		for _, compliance := range []float64{1, 0.5} {
			s := &site{r: newReporter(t), rng: rand.New(rand.NewPCG(1, 2)), capacity: 200, compliance: compliance}
			offered := int(factor * float64(s.capacity))
			served, refused := 0, 0
			for at := range 40 {
				ok, no := s.simulateSecond(at, offered)
				if at >= 10 {
					served, refused = served+ok, refused+no
				}
			}
			if served < 30*s.capacity*85/100 {
				t.Errorf("load factor %v, compliance %v: %d served of %d possible", factor, compliance, served, 30*s.capacity)
			}
			// The requests of clients that don't comply, and the tenth that the others still send, may exceed the
			// capacity by themselves.
			unavoidable := max(0, (1-compliance*0.9)*factor-1) / max(1, (1-compliance*0.9)*factor)
			if share := float64(refused) / float64(served+refused); share > unavoidable+0.15 {
				t.Errorf("load factor %v, compliance %v: share %.2f of the requests is refused, %.2f is unavoidable", factor, compliance, share, unavoidable)
			}
			for at := 40; at < 70; at++ {
				s.simulateSecond(at, s.capacity/2)
			}
			if s.reduction != 0 {
				t.Errorf("load factor %v, compliance %v: reduction %v half a minute after the overload", factor, compliance, s.reduction)
			}
		}
	}
}

// For any sequence of events: sequence numbers never decrease and rise with each change, the reduction stays
// within MaxReduction, and exactly the reports that end an overload have a validity of 0.
func TestReportInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, err := New(DefaultConfig(), 7)
		if err != nil {
			t.Fatal(err)
		}
		now, last, reported := time.Duration(0), Report{Sequence: 7}, false
		t.Repeat(map[string]func(*rapid.T){
			"end":  func(t *rapid.T) { r.Record(rapid.Bool().Draw(t, "refused"), now) },
			"many": func(t *rapid.T) { recordSecond(r, int(now/time.Second), 20, rapid.IntRange(0, 20).Draw(t, "refused")) },
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond
			},
			"report": func(t *rapid.T) {
				got, ok := r.Report(now)
				if !ok {
					return
				}
				if got.Reduction > 90 || got.Validity != 0 && got.Validity != 5 || (got.Reduction == 0) != (got.Validity == 0) {
					t.Fatalf("%+v", got)
				}
				if got.Sequence < last.Sequence || got.Sequence == last.Sequence && reported && got != last {
					t.Fatalf("%+v after %+v", got, last)
				}
				last, reported = got, true
			},
		})
		if got, ok := r.Report(now + time.Hour); ok {
			t.Fatalf("an hour later: %+v", got)
		}
	})
}

// An invalid parameter is refused with its name.
func TestInvalidConfig(t *testing.T) {
	for field, change := range map[string]func(*Config){
		"Interval": func(c *Config) { c.Interval = 0 }, "Validity": func(c *Config) { c.Validity = 1500 * time.Millisecond },
		"MinAnswers": func(c *Config) { c.MinAnswers = 0 }, "MinReduction": func(c *Config) { c.MinReduction = 1 }, "GrowthFactor": func(c *Config) { c.GrowthFactor = 1 },
	} {
		cfg := DefaultConfig()
		change(&cfg)
		if _, err := New(cfg, 0); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}
