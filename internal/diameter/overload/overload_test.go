package overload

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newReporter(t testing.TB) *Reporter {
	t.Helper()
	r, err := New(DefaultConfig(), 1000)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// span ends so many requests in one second, and returns what is told at its end.
func span(r *Reporter, second int, ended, refused int) (Report, bool) {
	for i := range ended {
		r.Ended(i < refused, time.Duration(second)*time.Second+time.Duration(i))
	}
	return r.Report(time.Duration(second+1) * time.Second)
}

// The states one after the other: half is refused, then half of what still comes, then nothing any more.
func TestReportFollowsTheOverload(t *testing.T) {
	r := newReporter(t)
	for i, step := range []struct {
		ended, refused int
		want           Report
		told           bool
	}{
		{100, 0, Report{}, false},
		{100, 50, Report{1001, 50, 5}, true},
		{50, 25, Report{1002, 75, 5}, true}, // half of the half that still came
		{25, 0, Report{1003, 70, 5}, true},
		{30, 0, Report{1004, 64, 5}, true},
		{36, 36, Report{1005, 90, 5}, true}, // never all
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
		{10, 0, Report{1020, 0, 0}, true}, // over, for who went by the report before
		{10, 0, Report{1020, 0, 0}, true},
		{10, 0, Report{1020, 0, 0}, true},
		{10, 0, Report{1020, 0, 0}, true},
		{10, 0, Report{1020, 0, 0}, true},
		{10, 0, Report{}, false},
		{10, 0, Report{}, false},
	} {
		got, told := span(r, i, step.ended, step.refused)
		if told != step.told || told && got != step.want {
			t.Fatalf("second %d: told %v, %+v; want %v, %+v", i+1, told, got, step.told, step.want)
		}
	}
}

// A single refusal among few requests is no overload; where clients hold back, few are all there is.
func TestFewRequests(t *testing.T) {
	r := newReporter(t)
	if got, told := span(r, 0, 5, 5); told {
		t.Errorf("five refused of five: %+v", got)
	}
	if got, told := span(r, 1, 100, 90); !told || got.Reduction != 90 {
		t.Errorf("told %v, %+v", told, got)
	}
	if got, _ := span(r, 2, 2, 2); got.Reduction != 90 {
		t.Errorf("two refused of two that still come: %+v", got)
	}
}

// A report that stays the same is given out anew before it ends, under a new number: the old one would be ignored.
func TestReportIsRenewed(t *testing.T) {
	r := newReporter(t)
	span(r, 0, 10, 10)
	first, _ := r.Report(time.Second)
	same, _ := r.Report(time.Second + 900*time.Millisecond)
	if first != same {
		t.Errorf("%+v, then %+v", first, same)
	}
	for s := 1; s < 5; s++ {
		span(r, s, 10, 10)
	}
	if later, _ := r.Report(5 * time.Second); later.Reduction != first.Reduction || later.Sequence == first.Sequence || later.Validity != 5 {
		t.Errorf("%+v became %+v", first, later)
	}
}

// Where nobody asks any longer the report passes by itself, and nothing is told for ever.
func TestSilenceEndsIt(t *testing.T) {
	r := newReporter(t)
	span(r, 0, 10, 10)
	if got, told := r.Report(time.Hour); told {
		t.Errorf("an hour later: %+v", got)
	}
}

// site is one with a capacity, a reporter, and clients that do as told or don't.
type site struct {
	r        *Reporter
	rng      *rand.Rand
	capacity int // a second
	heed     float64
	cut      float64 // what those who heed hold back
}

// second plays one and returns what was served and refused.
func (s *site) second(at, offered int) (served, refused int) {
	came := 0
	for range offered {
		if s.rng.Float64() >= s.cut || s.rng.Float64() >= s.heed {
			came++
		}
	}
	served, refused = min(came, s.capacity), max(0, came-s.capacity)
	for i := range came {
		s.r.Ended(i >= served, time.Duration(at)*time.Second+time.Duration(i))
	}
	if got, told := s.r.Report(time.Duration(at+1) * time.Second); told {
		s.cut = float64(got.Reduction) / 100
	} else {
		s.cut = 0
	}
	return served, refused
}

// Clients that do as told are refused little after a few seconds, while the site stays in use; when the overload is
// over all of them are soon let in again.
func TestLoopSettles(t *testing.T) {
	for _, times := range []float64{1.3, 2, 4} {
		for _, heed := range []float64{1, 0.5} {
			s := &site{r: newReporter(t), rng: rand.New(rand.NewPCG(1, 2)), capacity: 200, heed: heed}
			offered := int(times * float64(s.capacity))
			served, refused := 0, 0
			for at := range 40 {
				ok, no := s.second(at, offered)
				if at >= 10 {
					served, refused = served+ok, refused+no
				}
			}
			if served < 30*s.capacity*85/100 {
				t.Errorf("%v times, %v heed it: %d served of %d that could be", times, heed, served, 30*s.capacity)
			}
			// Those who don't heed it may yet be more than there is room for.
			unheeded := max(0, (1-heed*0.9)*times-1) / max(1, (1-heed*0.9)*times)
			if share := float64(refused) / float64(served+refused); share > unheeded+0.15 {
				t.Errorf("%v times, %v heed it: %.2f of what comes is refused, %.2f can't be helped", times, heed, share, unheeded)
			}
			for at := 40; at < 70; at++ {
				s.second(at, s.capacity/2)
			}
			if s.cut != 0 {
				t.Errorf("%v times, %v heed it: %v is held back half a minute after it", times, heed, s.cut)
			}
		}
	}
}

// Over any order of events: numbers never fall and rise with each change, nothing beyond the most is asked for, and
// what is told of an end is told of nothing else.
func TestReportsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, err := New(DefaultConfig(), 7)
		if err != nil {
			t.Fatal(err)
		}
		now, last, told := time.Duration(0), Report{Sequence: 7}, false
		t.Repeat(map[string]func(*rapid.T){
			"end":  func(t *rapid.T) { r.Ended(rapid.Bool().Draw(t, "refused"), now) },
			"many": func(t *rapid.T) { span(r, int(now/time.Second), 20, rapid.IntRange(0, 20).Draw(t, "refused")) },
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
				if got.Sequence < last.Sequence || got.Sequence == last.Sequence && told && got != last {
					t.Fatalf("%+v after %+v", got, last)
				}
				last, told = got, true
			},
		})
		if got, ok := r.Report(now + time.Hour); ok {
			t.Fatalf("an hour later: %+v", got)
		}
	})
}

func TestSettingsThatMakeNoSense(t *testing.T) {
	for field, change := range map[string]func(*Config){
		"Span": func(c *Config) { c.Span = 0 }, "Validity": func(c *Config) { c.Validity = 1500 * time.Millisecond },
		"Least": func(c *Config) { c.Least = 0 }, "Step": func(c *Config) { c.Step = 1 }, "Grow": func(c *Config) { c.Grow = 1 },
	} {
		cfg := DefaultConfig()
		change(&cfg)
		if _, err := New(cfg, 0); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}
