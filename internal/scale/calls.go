package scale

import (
	"context"

	"lemonrail/internal/scale/calltree"
)

// Calls runs calls as trees over the services, decided by the landed balancers, with failing leaves.
type Calls struct {
	Config calltree.Config // without a fault
	Shares []float64       // of attempts at leaves that fail
	Say    func(format string, args ...any)
}

// Run measures all shares against a run in which nothing fails.
func (o Calls) Run(ctx context.Context) ([]*Series, error) {
	baseline, err := o.play(0)
	if err != nil {
		return nil, err
	}
	set := newSeriesSet(Simulated, "percent of leaf attempts that fail", sprintf("calls as trees, up to %d deep", o.Config.Depth))
	o.add(set, 0, baseline, baseline)
	for _, share := range o.Shares {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		r, err := o.play(share)
		if err != nil {
			return nil, err
		}
		o.add(set, 100*share, baseline, r)
	}
	return set.fit()
}

func (o Calls) play(share float64) (calltree.Result, error) {
	o.Say("calls as trees, %d deep: %g %% of leaf attempts fail", o.Config.Depth, 100*share)
	c := o.Config
	if share > 0 {
		c.Fault, c.FailShare = calltree.FaultLeafAttempts, share
	}
	return calltree.Run(c)
}

func (o Calls) add(set *seriesSet, x float64, baseline, r calltree.Result) {
	more := calltree.Compare(baseline, r)
	set.add("attempts over those without failures, all layers", "times", x, more.All)
	set.add("attempts over those without failures, leaves", "times", x, more.Leaves)
	set.add("roots served", "%", x, 100*float64(r.Roots.Served)/float64(max(1, r.Roots.Calls)))
	set.add("retries for each attempt that isn't one", "", x, float64(r.Retries)/float64(max(1, r.Attempts-r.Retries)))
	set.add("calls for which rules were broken", "", x, float64(broken(r.Checks)))
}

// broken counts what must never happen.
func broken(c calltree.Checks) int {
	return max(c.Started-c.Ended, c.Ended-c.Started) + c.EndedTwice + c.UnsafeTwice + c.Open + c.NoOutcome
}
