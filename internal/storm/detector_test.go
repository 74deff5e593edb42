package storm

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newDetector returns a detector with the default settings.
func newDetector(t testing.TB) *Detector {
	t.Helper()
	d, err := NewDetector(DefaultDetector())
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// traffic generates the signals of simulated clients for a detector, in spans of 0.2 s.
type traffic struct {
	detector *Detector
	rng      *rand.Rand
}

// calm sends spans of ordinary traffic and returns the greatest grade among them.
func (tr *traffic) calm(spans int) (most float64) {
	for range spans {
		most = max(most, tr.detector.Step(Signals{Arrivals: 50 + tr.rng.IntN(20), Repeats: tr.rng.IntN(3), NewConnections: tr.rng.IntN(6), Failed: tr.rng.IntN(2)}))
	}
	return most
}

// outage sends spans in which every request fails.
func (tr *traffic) outage(spans int) {
	for range spans {
		n := 20 + tr.rng.IntN(20)
		tr.detector.Step(Signals{Arrivals: n, Failed: n, NewConnections: n / 3})
	}
}

// storm returns the signals of one span after an outage: many requests, on new connections, most of them repeats.
func (tr *traffic) storm() Signals {
	n := 400 + tr.rng.IntN(200)
	return Signals{Arrivals: n, Repeats: n * 6 / 10, NewConnections: n * 8 / 10, Refused: n / 2}
}

// A storm after an outage is graded in its first span, even if one of its signs is missing, and is over two seconds
// after its end.
func TestStormIsDetectedInFirstSpan(t *testing.T) {
	for name, marks := range map[string]func(Signals) Signals{
		"all marks":     func(s Signals) Signals { return s },
		"no repeats":    func(s Signals) Signals { s.Repeats = 0; return s },
		"kept sockets":  func(s Signals) Signals { s.NewConnections = 0; return s },
		"half are back": func(s Signals) Signals { s.Repeats /= 2; s.NewConnections /= 2; return s },
	} {
		for seed := range uint64(20) {
			tr := &traffic{newDetector(t), rand.New(rand.NewPCG(seed, 0))}
			tr.calm(100)
			tr.outage(25)
			if got := tr.detector.Step(marks(tr.storm())); got < 0.25 {
				t.Errorf("%s, seed %d: grade %v in the first span of the storm", name, seed, got)
			}
			for range 10 {
				tr.detector.Step(marks(tr.storm()))
			}
			if got := tr.detector.Grade(); got < 0.25 {
				t.Errorf("%s, seed %d: grade %v after two seconds", name, seed, got)
			}
			tr.calm(10)
			if got := tr.detector.Grade(); got != 0 {
				t.Errorf("%s, seed %d: grade %v two seconds after its end", name, seed, got)
			}
		}
	}
}

// Bursts of new work, even on new connections, are not graded as storms, nor is steadily growing traffic.
func TestBurstIsNotGradedAsStorm(t *testing.T) {
	for seed := range uint64(50) {
		tr := &traffic{newDetector(t), rand.New(rand.NewPCG(seed, 1))}
		most := tr.calm(60)
		for range 20 {
			for range 1 + tr.rng.IntN(10) {
				n := 50 * (2 + tr.rng.IntN(8))
				most = max(most, tr.detector.Step(Signals{Arrivals: n, Repeats: n / 30, NewConnections: n * 7 / 10, Refused: n / 20}))
			}
			most = max(most, tr.calm(20))
		}
		for n := 50; n < 500; n += 5 {
			most = max(most, tr.detector.Step(Signals{Arrivals: n, Repeats: n / 40, NewConnections: n / 15}))
		}
		if most > 0 {
			t.Errorf("seed %d: grade %v", seed, most)
		}
	}
}

// A detector that starts in the middle of a storm has no baseline yet and detects the storm by its repeats alone.
func TestDetectorStartedDuringStorm(t *testing.T) {
	tr := &traffic{newDetector(t), rand.New(rand.NewPCG(1, 2))}
	if got := tr.detector.Step(tr.storm()); got < 0.25 {
		t.Errorf("grade %v", got)
	}
	for range 50 { // the storm must not become the baseline
		tr.detector.Step(tr.storm())
	}
	if got := tr.detector.Grade(); got < 0.25 {
		t.Errorf("grade %v after ten seconds", got)
	}
}

// For any signals the grade is within 0 and 1, and is 0 after ten spans without traffic.
func TestGradeInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, err := NewDetector(DefaultDetector())
		if err != nil {
			t.Fatal(err)
		}
		few := rapid.IntRange(0, 1000)
		for range rapid.IntRange(1, 200).Draw(t, "spans") {
			n := few.Draw(t, "arrivals")
			s := Signals{Arrivals: n, Repeats: min(n, few.Draw(t, "repeats")), NewConnections: few.Draw(t, "opened"), Refused: few.Draw(t, "refused"), Failed: few.Draw(t, "failed")}
			if g := d.Step(s); !(g >= 0 && g <= 1) {
				t.Fatalf("grade %v is not within 0 and 1", g)
			}
		}
		for range 10 {
			d.Step(Signals{})
		}
		if d.Grade() != 0 {
			t.Fatalf("grade %v without any traffic", d.Grade())
		}
	})
}

func TestInvalidDetectorConfigIsRejected(t *testing.T) {
	for field, cfg := range map[string]DetectorConfig{"Span": {}, "OutageMemory": {Span: 2}, "LearningRate": {Span: 1, OutageMemory: 1}, "MinArrivals": {Span: 1, OutageMemory: time.Second, LearningRate: 1}} {
		if _, err := NewDetector(cfg); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}
