package storm

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newDetector(t testing.TB) *Detector {
	t.Helper()
	d, err := NewDetector(DefaultDetector())
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// day plays spans of a fifth of a second.
type day struct {
	d   *Detector
	rng *rand.Rand
}

func (y *day) calm(spans int) (most float64) {
	for range spans {
		most = max(most, y.d.Step(Signals{Arrivals: 50 + y.rng.IntN(20), Repeats: y.rng.IntN(3), Opened: y.rng.IntN(6), Failed: y.rng.IntN(2)}))
	}
	return most
}

// outage is one in which what is asked comes to nothing.
func (y *day) outage(spans int) {
	for range spans {
		n := 20 + y.rng.IntN(20)
		y.d.Step(Signals{Arrivals: n, Failed: n, Opened: n / 3})
	}
}

// storm is what comes after it: many at once, on new connections, most of them for the second time.
func (y *day) storm() Signals {
	n := 400 + y.rng.IntN(200)
	return Signals{Arrivals: n, Repeats: n * 6 / 10, Opened: n * 8 / 10, Refused: n / 2}
}

func TestStormIsSeenAsItBegins(t *testing.T) {
	for name, marks := range map[string]func(Signals) Signals{
		"all marks":     func(s Signals) Signals { return s },
		"no repeats":    func(s Signals) Signals { s.Repeats = 0; return s },
		"kept sockets":  func(s Signals) Signals { s.Opened = 0; return s },
		"half are back": func(s Signals) Signals { s.Repeats /= 2; s.Opened /= 2; return s },
	} {
		for seed := range uint64(20) {
			y := &day{newDetector(t), rand.New(rand.NewPCG(seed, 0))}
			y.calm(100)
			y.outage(25)
			if got := y.d.Step(marks(y.storm())); got < 0.25 {
				t.Errorf("%s, seed %d: graded %v in its first span", name, seed, got)
			}
			for range 10 {
				y.d.Step(marks(y.storm()))
			}
			if got := y.d.Grade(); got < 0.25 {
				t.Errorf("%s, seed %d: graded %v after two seconds", name, seed, got)
			}
			y.calm(10)
			if got := y.d.Grade(); got != 0 {
				t.Errorf("%s, seed %d: graded %v two seconds after its end", name, seed, got)
			}
		}
	}
}

// Bursts of new work, on new connections too, are no storms; nor is an outage while it lasts, nor a day that grows.
func TestBurstIsNoStorm(t *testing.T) {
	for seed := range uint64(50) {
		y := &day{newDetector(t), rand.New(rand.NewPCG(seed, 1))}
		most := y.calm(60)
		for range 20 {
			for range 1 + y.rng.IntN(10) {
				n := 50 * (2 + y.rng.IntN(8))
				most = max(most, y.d.Step(Signals{Arrivals: n, Repeats: n / 30, Opened: n * 7 / 10, Refused: n / 20}))
			}
			most = max(most, y.calm(20))
		}
		for n := 50; n < 500; n += 5 {
			most = max(most, y.d.Step(Signals{Arrivals: n, Repeats: n / 40, Opened: n / 15}))
		}
		if most > 0 {
			t.Errorf("seed %d: graded %v", seed, most)
		}
	}
}

// A process that starts in the middle of a storm knows nothing of what is usual: repeats tell it.
func TestStartedInTheMiddle(t *testing.T) {
	y := &day{newDetector(t), rand.New(rand.NewPCG(1, 2))}
	if got := y.d.Step(y.storm()); got < 0.25 {
		t.Errorf("graded %v", got)
	}
	for range 50 { // and it does not become usual
		y.d.Step(y.storm())
	}
	if got := y.d.Grade(); got < 0.25 {
		t.Errorf("graded %v after ten seconds", got)
	}
}

func TestGradesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, err := NewDetector(DefaultDetector())
		if err != nil {
			t.Fatal(err)
		}
		few := rapid.IntRange(0, 1000)
		for range rapid.IntRange(1, 200).Draw(t, "spans") {
			n := few.Draw(t, "arrivals")
			s := Signals{Arrivals: n, Repeats: min(n, few.Draw(t, "repeats")), Opened: few.Draw(t, "opened"), Refused: few.Draw(t, "refused"), Failed: few.Draw(t, "failed")}
			if g := d.Step(s); !(g >= 0 && g <= 1) {
				t.Fatalf("graded %v", g)
			}
		}
		for range 10 {
			d.Step(Signals{})
		}
		if d.Grade() != 0 {
			t.Fatalf("graded %v in silence", d.Grade())
		}
	})
}

func TestDetectorsThatMakeNoSense(t *testing.T) {
	for field, cfg := range map[string]DetectorConfig{"Span": {}, "Memory": {Span: 2}, "Learn": {Span: 1, Memory: 1}, "Least": {Span: 1, Memory: time.Second, Learn: 1}} {
		if _, err := NewDetector(cfg); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}
