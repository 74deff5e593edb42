package scale

import (
	"context"

	"lemonrail/internal/scale/calltree"
)

// CallTrees simulates calls that fan out as trees over services (package calltree), with leaf attempts that fail at random,
// and measures how many more attempts the retries of all layers cause.
type CallTrees struct {
	Config        calltree.Config // configuration of the baseline, without a fault
	FailureShares []float64       // shares of leaf attempts that fail, one run each
	Logf          func(format string, args ...any)
}

// Run simulates a baseline without failures and one run for each failure share. It returns series of attempts relative to
// the baseline, served roots, retries and violated invariants, with the percentage of failing leaf attempts as X.
func (o CallTrees) Run(ctx context.Context) ([]*Series, error) {
	baseline, err := o.simulate(0)
	if err != nil {
		return nil, err
	}
	set := newSeriesSet(Simulated, "percent of leaf attempts that fail", sprintf("calls as trees, up to %d deep", o.Config.Depth))
	o.addSeries(set, 0, baseline, baseline)
	for _, share := range o.FailureShares {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		r, err := o.simulate(share)
		if err != nil {
			return nil, err
		}
		o.addSeries(set, 100*share, baseline, r)
	}
	return set.fit()
}

// simulate runs the simulation with a share of failing leaf attempts.
func (o CallTrees) simulate(share float64) (calltree.Result, error) {
	o.Logf("calls as trees, %d deep: %g %% of leaf attempts fail", o.Config.Depth, 100*share)
	c := o.Config
	if share > 0 {
		c.Fault, c.FailShare = calltree.FaultLeafAttempts, share
	}
	return calltree.Run(c)
}

// addSeries appends the measurements of run r to the series at x, the percentage of leaf attempts that fail.
func (o CallTrees) addSeries(set *seriesSet, x float64, baseline, r calltree.Result) {
	more := calltree.Compare(baseline, r)
	set.add("attempts over those without failures, all layers", "times", x, more.All)
	set.add("attempts over those without failures, leaves", "times", x, more.Leaves)
	set.add("roots served", "%", x, 100*float64(r.Roots.Served)/float64(max(1, r.Roots.Calls)))
	set.add("retries for each attempt that isn't one", "", x, float64(r.Retries)/float64(max(1, r.Attempts-r.Retries)))
	set.add("calls for which rules were broken", "", x, float64(violations(r.Checks)))
}

// violations returns the number of violations of the simulation's invariants: calls that don't end exactly once, unsafe
// calls executed twice, calls left open, and attempts without an outcome.
func violations(c calltree.Checks) int {
	return max(c.Started-c.Ended, c.Ended-c.Started) + c.EndedTwice + c.UnsafeTwice + c.Open + c.NoOutcome
}
