// Package overload decides what a Diameter relay tells its clients about its overload (RFC 7683, the loss
// algorithm): by how much they are to send less, for how long, and when that is over. It has no I/O and no clock
// and belongs to one goroutine.
//
//	quiet ──something refused──▶ reducing ──nothing refused, step by step──▶ ending ──validity has passed──▶ quiet
//	                               ▲ │ every Span, by what is refused of what clients still send
//	                               └─┘
//
// A reduction is not what was refused: clients that do as told send less, of which less is refused. What they hold
// back and what is refused of the rest make up the next reduction together; else it would fall as soon as it works,
// and the load come back in waves. Bounds: two counts and one report, whatever the number of clients.
package overload

import (
	"fmt"
	"math"
	"time"
)

// Config says how a Reporter acts.
type Config struct {
	Span     time.Duration // over which is counted, and after which a reduction may change
	Validity time.Duration // of a report, in whole seconds
	Least    int           // ends in a span under which nothing is concluded from them
	Grow     float64       // by which what clients still send may grow in a span in which nothing is refused
	Step     float64       // reductions of less are none
	Most     float64       // share that is asked for at the most: who sends nothing never learns that it is over
}

// DefaultConfig suits clients that send several requests a second.
func DefaultConfig() Config {
	return Config{Span: time.Second, Validity: 5 * time.Second, Least: 8, Grow: 1.2, Step: 0.05, Most: 0.9}
}

func (c Config) check() error {
	switch {
	case c.Span <= 0:
		return fmt.Errorf("overload: Span: %v makes no sense", c.Span)
	case c.Validity < time.Second || c.Validity%time.Second != 0 || c.Validity < 2*c.Span:
		return fmt.Errorf("overload: Validity: %v is no whole number of seconds, or under two spans", c.Validity)
	case c.Least < 1:
		return fmt.Errorf("overload: Least: %d makes no sense", c.Least)
	case !(c.Grow > 1 && c.Grow <= 2):
		return fmt.Errorf("overload: Grow: %v makes no sense", c.Grow)
	case !(c.Step > 0 && c.Step < c.Most && c.Most <= 1):
		return fmt.Errorf("overload: Step: %v and Most: %v make no sense", c.Step, c.Most)
	}
	return nil
}

// Report is what goes with an answer (OC-OLR).
type Report struct {
	Sequence  uint64 // rises with each report that says something else, or the same for longer
	Reduction uint32 // percent of the traffic that is to be held back
	Validity  uint32 // seconds; 0: the overload has ended
}

// Reporter decides on reports.
type Reporter struct {
	cfg       Config
	refused   int // in this span
	ended     int
	since     time.Duration // when the span began
	begun     bool
	reduction float64       // share that clients are to hold back now
	report    Report        // as it was given out last
	at        time.Duration // when it was made
}

// New returns a Reporter without a report. First is above all sequence numbers that clients may have seen of an
// earlier process: the time since 1970 will do.
func New(cfg Config, first uint64) (*Reporter, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Reporter{cfg: cfg, report: Report{Sequence: first}}, nil
}

// Ended notes the final answer to a request, refused or not.
func (r *Reporter) Ended(refused bool, now time.Duration) {
	r.turn(now)
	r.ended++
	if refused {
		r.refused++
	}
}

// turn ends spans that have passed.
func (r *Reporter) turn(now time.Duration) {
	if !r.begun {
		r.begun, r.since = true, now
		return
	}
	spans := int64((now - r.since) / r.cfg.Span)
	if spans <= 0 {
		return
	}
	r.since += time.Duration(spans) * r.cfg.Span
	// Few ends say nothing by themselves, but where clients hold back they are all there is.
	if r.ended >= r.cfg.Least || r.reduction > 0 && r.ended > 0 {
		r.change(float64(r.refused) / float64(r.ended))
		spans--
	}
	r.refused, r.ended = 0, 0
	for ; spans > 0 && r.reduction > 0; spans-- { // nobody asked: nothing was refused
		r.change(0)
	}
}

// change works out the next reduction from the share that was refused of what came all the same.
func (r *Reporter) change(share float64) {
	if share > 0 {
		r.reduction = min(1-(1-r.reduction)*(1-share), r.cfg.Most)
	} else {
		// What passes grows, not what is held back falls: from three quarters to a half would double the load.
		r.reduction = 1 - (1-r.reduction)*r.cfg.Grow
	}
	if r.reduction < r.cfg.Step {
		r.reduction = 0
	}
}

// Report returns what goes with an answer now; !ok: nothing does.
func (r *Reporter) Report(now time.Duration) (Report, bool) {
	r.turn(now)
	percent := uint32(math.Round(100 * r.reduction))
	out := r.report.Validity > 0 && now-r.at < r.cfg.Validity // clients go by it yet
	switch {
	case percent > 0:
		if !out || percent != r.report.Reduction || now-r.at >= r.cfg.Validity/2 {
			r.give(percent, uint32(r.cfg.Validity/time.Second), now)
		}
	case out:
		r.give(0, 0, now)
	case r.report.Reduction > 0: // has passed by itself
		return Report{}, false
	}
	// An end is told for as long as the report before it may be gone by.
	return r.report, percent > 0 || r.at > 0 && r.report.Validity == 0 && now-r.at < r.cfg.Validity
}

func (r *Reporter) give(percent, validity uint32, now time.Duration) {
	r.report, r.at = Report{Sequence: r.report.Sequence + 1, Reduction: percent, Validity: validity}, now
}
