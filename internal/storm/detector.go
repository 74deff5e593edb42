package storm

import (
	"fmt"
	"time"
)

// Signals counts what the agent saw within one span of time (DetectorConfig.Span).
type Signals struct {
	Arrivals       int // requests that came in
	Repeats        int // number of these requests that a client had sent before, as far as the decision module (package balance) recognizes them
	NewConnections int // connections that clients opened to this agent
	Refused        int // requests that were refused
	Failed         int // requests that failed, and attempts for which there was no backend
}

// Detector distinguishes a storm, in which clients return after an outage, from a burst of new work. It grades the
// storm from 0 (calm) to 1.
//
//	calm ──excess arrivals, signs of a return──▶ storm ──signs gone──▶ easing (halved each span) ──▶ calm
//
// Arrivals above the baseline alone are a burst and get no grade. A sign of a return is a share of repeats
// above the baseline, or, as long as an outage is remembered, a share of new connections above the baseline.
// The outage is required because clients open more connections in any burst. The baseline is learned in calm
// spans only, so that a lasting storm doesn't become the baseline.
type Detector struct {
	cfg         DetectorConfig
	baseline    baseline // what is usual in calm spans
	calmSpans   int      // number of calm spans that the baseline was learned from
	outageShare float64  // greatest recent share of requests that were refused or failed; decays to 0 over OutageMemory
	grade       float64  // the present grade: 0 calm, 1 the strongest storm
}

// baseline holds running means over calm spans: requests that came in during a span, and for each such request the
// number of repeats and of connections opened.
type baseline struct{ arrivals, repeats, opened float64 }

// DetectorConfig sets the times and thresholds of a Detector.
type DetectorConfig struct {
	Span         time.Duration // duration that one Signals covers
	OutageMemory time.Duration // time after which an outage in which all requests failed no longer makes new connections a sign of a storm
	LearningRate float64       // weight of a calm span in the baseline
	MinArrivals  int           // arrivals in a span below which the detector concludes nothing
}

// DefaultDetector returns settings with which a storm is detected within two spans, 0.4 s in all.
func DefaultDetector() DetectorConfig {
	return DetectorConfig{Span: 200 * time.Millisecond, OutageMemory: 20 * time.Second, LearningRate: 0.02, MinArrivals: 5}
}

const (
	fullGradeExcess = 1.0  // arrivals above the baseline, as a share of it, from which the grade may reach 1
	noiseMargin     = 0.1  // deviation of a share from its usual value that is taken for noise and ignored
	minGrade        = 0.05 // grades below this count as 0
	minCalmSpans    = 10   // number of calm spans after which the baseline is used
)

// NewDetector returns a Detector that has learned no baseline yet: until it has, repeats alone set the grade.
func NewDetector(cfg DetectorConfig) (*Detector, error) {
	switch {
	case cfg.Span <= 0:
		return nil, fmt.Errorf("storm: Span: %v must be greater than 0", cfg.Span)
	case cfg.OutageMemory < cfg.Span:
		return nil, fmt.Errorf("storm: OutageMemory: %v is shorter than Span", cfg.OutageMemory)
	case !(cfg.LearningRate > 0 && cfg.LearningRate <= 1):
		return nil, fmt.Errorf("storm: LearningRate: %v is not within (0, 1]", cfg.LearningRate)
	case cfg.MinArrivals < 1:
		return nil, fmt.Errorf("storm: MinArrivals: %d must be at least 1", cfg.MinArrivals)
	}
	return &Detector{cfg: cfg}, nil
}

// excessOver returns by how much a share exceeds its usual value plus the noise margin, within 0 and 1.
func excessOver(share, usual float64) float64 { return min(max(0, share-usual-noiseMargin), 1) }

// Step takes the signals of one span and returns the new grade; 0 is calm.
func (d *Detector) Step(s Signals) float64 {
	n := float64(max(s.Arrivals, 1))
	// Refused and failed requests count however few came in: little traffic is itself a sign of an outage.
	if tried := s.Arrivals; tried > 0 {
		lost := min(float64(s.Refused+s.Failed)/n, 1)
		d.outageShare = max(d.outageShare, lost)
	}
	d.outageShare = max(0, d.outageShare-float64(d.cfg.Span)/float64(d.cfg.OutageMemory))
	if s.Arrivals < d.cfg.MinArrivals {
		d.setGrade(0)
		return d.grade
	}
	repeats, newConnections := float64(s.Repeats)/n, min(float64(s.NewConnections)/n, 1)
	baselineKnown := d.calmSpans >= minCalmSpans
	excess := 1.0 // without a baseline the signs of a return alone set the grade
	if baselineKnown {
		excess = min(max(0, n/d.baseline.arrivals-1)/fullGradeExcess, 1)
	}
	mark := excessOver(repeats, d.baseline.repeats)
	if baselineKnown {
		mark = max(mark, min(2*max(0, d.outageShare-noiseMargin), 1)*excessOver(newConnections, d.baseline.opened))
	}
	d.setGrade(min(2*excess*mark, 1))
	if d.grade == 0 && d.outageShare < noiseMargin {
		weight := d.cfg.LearningRate
		if d.calmSpans++; float64(d.calmSpans)*weight < 1 { // plain mean while there are few spans
			weight = 1 / float64(d.calmSpans)
		}
		d.baseline.arrivals += weight * (n - d.baseline.arrivals)
		d.baseline.repeats += weight * (repeats - d.baseline.repeats)
		d.baseline.opened += weight * (newConnections - d.baseline.opened)
	}
	return d.grade
}

// setGrade raises the grade to target at once but lowers it by at most half per span, so that the grade is still above 0
// when the second wave of a storm comes, and is 0 within about two seconds of the storm's end.
func (d *Detector) setGrade(target float64) {
	if d.grade = max(target, d.grade/2); d.grade < minGrade {
		d.grade = 0
	}
}

// Grade returns the present grade, from 0 (calm) to 1.
func (d *Detector) Grade() float64 { return d.grade }
