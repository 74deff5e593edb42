// Package overload decides which overload reports a Diameter relay sends to its clients (RFC 7683, loss
// algorithm): by which share they should reduce their traffic, for how long, and when the overload has ended.
// It has no I/O and no clock, and must be used by one goroutine only.
//
//	idle ──requests refused──▶ reducing ──none refused, in steps──▶ ended ──validity has passed──▶ idle
//	                             ▲ │
//	                             └─┘ every Interval, by the share refused of the requests that still arrive
//
// The reduction is not simply the share of refused requests: clients that comply send less, and less of that
// is refused. The share that they hold back and the share refused of the rest are therefore combined into the
// next reduction; otherwise it would drop as soon as it takes effect, and the load would return in waves.
// Memory is bounded: two counts and one report, for any number of clients.
package overload

import (
	"fmt"
	"math"
	"time"
)

// Config holds the parameters of a Reporter.
type Config struct {
	Interval     time.Duration // length of a measuring interval, at the end of which the reduction changes
	Validity     time.Duration // of a report; whole seconds, at least two intervals
	MinAnswers   int           // an interval with fewer answers does not start a reduction
	GrowthFactor float64       // growth of the admitted share per interval without refusals; above 1, at most 2
	MinReduction float64       // smaller reductions are treated as none
	MaxReduction float64       // at most 1; clients that send nothing would not learn that the overload has ended
}

// DefaultConfig returns a configuration for clients that send several requests per second.
func DefaultConfig() Config {
	return Config{Interval: time.Second, Validity: 5 * time.Second, MinAnswers: 8, GrowthFactor: 1.2, MinReduction: 0.05, MaxReduction: 0.9}
}

// check returns an error for the first parameter that is out of its bounds.
func (c Config) check() error {
	switch {
	case c.Interval <= 0:
		return fmt.Errorf("overload: Interval: %v is not positive", c.Interval)
	case c.Validity < time.Second || c.Validity%time.Second != 0 || c.Validity < 2*c.Interval:
		return fmt.Errorf("overload: Validity: %v is not a whole number of seconds or is shorter than two intervals", c.Validity)
	case c.MinAnswers < 1:
		return fmt.Errorf("overload: MinAnswers: %d is not positive", c.MinAnswers)
	case !(c.GrowthFactor > 1 && c.GrowthFactor <= 2):
		return fmt.Errorf("overload: GrowthFactor: %v is not above 1 and at most 2", c.GrowthFactor)
	case !(c.MinReduction > 0 && c.MinReduction < c.MaxReduction && c.MaxReduction <= 1):
		return fmt.Errorf("overload: MinReduction: %v must be above 0 and below MaxReduction: %v, which may be 1 at most", c.MinReduction, c.MaxReduction)
	}
	return nil
}

// Report is an overload report, the content of the AVP OC-OLR.
type Report struct {
	Sequence  uint64 // rises with each report that has another content or a later end of validity
	Reduction uint32 // percentage of the traffic that clients should hold back
	Validity  uint32 // seconds; 0: the overload has ended
}

// Reporter counts answers and computes overload reports.
type Reporter struct {
	cfg           Config
	refused       int // number of refusals among the answers in this interval
	answered      int // number of answers in this interval
	intervalStart time.Duration
	started       bool          // intervalStart is set
	reduction     float64       // share that clients should currently hold back
	report        Report        // the last one issued
	issuedAt      time.Duration // when report was issued
}

// New returns a Reporter that has no report to send. first must be above all sequence numbers that clients
// have received from an earlier process; the current Unix time is sufficient.
func New(cfg Config, first uint64) (*Reporter, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Reporter{cfg: cfg, report: Report{Sequence: first}}, nil
}

// Record counts the final answer to a request. refused: the request was refused because of overload.
func (r *Reporter) Record(refused bool, now time.Duration) {
	r.advance(now)
	r.answered++
	if refused {
		r.refused++
	}
}

// advance evaluates the measuring intervals that have ended by now.
func (r *Reporter) advance(now time.Duration) {
	if !r.started {
		r.started, r.intervalStart = true, now
		return
	}
	intervals := int64((now - r.intervalStart) / r.cfg.Interval)
	if intervals <= 0 {
		return
	}
	r.intervalStart += time.Duration(intervals) * r.cfg.Interval
	// A few answers are too few to start a reduction, but while clients hold back requests no more can be expected.
	if r.answered >= r.cfg.MinAnswers || r.reduction > 0 && r.answered > 0 {
		r.adjust(float64(r.refused) / float64(r.answered))
		intervals--
	}
	r.refused, r.answered = 0, 0
	for ; intervals > 0 && r.reduction > 0; intervals-- { // intervals without answers count as ones without refusals
		r.adjust(0)
	}
}

// adjust computes the next reduction at the end of an interval: share is the part refused of the requests
// that clients sent in it despite the current reduction.
func (r *Reporter) adjust(share float64) {
	if share > 0 {
		r.reduction = min(1-(1-r.reduction)*(1-share), r.cfg.MaxReduction)
	} else {
		// The admitted share grows by a factor. A decrease of the reduction by a factor would be too fast:
		// from three quarters to a half it would double the load.
		r.reduction = 1 - (1-r.reduction)*r.cfg.GrowthFactor
	}
	if r.reduction < r.cfg.MinReduction {
		r.reduction = 0
	}
}

// Report returns the report to add to an answer that is sent now; !ok: no report is to be added.
func (r *Reporter) Report(now time.Duration) (Report, bool) {
	r.advance(now)
	percent := uint32(math.Round(100 * r.reduction))
	active := r.report.Validity > 0 && now-r.issuedAt < r.cfg.Validity // clients still apply the last report
	switch {
	case percent > 0:
		if !active || percent != r.report.Reduction || now-r.issuedAt >= r.cfg.Validity/2 {
			r.issue(percent, uint32(r.cfg.Validity/time.Second), now)
		}
	case active:
		r.issue(0, 0, now)
	case r.report.Reduction > 0: // the last report has expired
		return Report{}, false
	}
	// The end is reported for as long as clients may still apply the previous report.
	return r.report, percent > 0 || r.issuedAt > 0 && r.report.Validity == 0 && now-r.issuedAt < r.cfg.Validity
}

// issue makes a new report with the next sequence number; percent and validity are those of Report.
func (r *Reporter) issue(percent, validity uint32, now time.Duration) {
	r.report, r.issuedAt = Report{Sequence: r.report.Sequence + 1, Reduction: percent, Validity: validity}, now
}
