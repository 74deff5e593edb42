package site

import (
	"fmt"
	"math"
	"slices"
)

// PlanCache holds plans that are computed in advance, for the loss of each site, each pair of sites and half of
// each site, and plans that were asked for since. It computes none itself: Next returns the problem to solve
// and Add stores its plan, so that the owner of the cache never waits for a solver.
type PlanCache struct {
	base    Problem          // the problem with nothing lost
	plans   map[string]*Plan // by cacheKey of the remaining shares that the plan is for
	pending [][]float64      // problems to solve in advance, each given by its remaining share of each site
	wanted  []float64        // the latest remaining shares for which Find had no plan; nil: none is missing
	last    *Plan            // the plan that Find last found; nil: none yet
	Failed  int              // number of plans that could not be computed
}

const (
	maxSitesForPairs = 8   // with more sites no plans for the loss of two sites are computed in advance
	maxPlans         = 512 // capacity of the cache; it is cleared when full
	remainSteps      = 8   // a site's remaining share counts in steps of 1/remainSteps; shares within a step have the same plan
)

// NewPlanCache returns a cache without plans for the sites, classes and demand of p. It replaces p.Remain, since the
// cache itself goes through the remaining shares: of all sites whole, and of each loss that it plans for in advance.
func NewPlanCache(p Problem) (*PlanCache, error) {
	p.Remain = slices.Repeat([]float64{1}, len(p.Capacity))
	if err := p.Check(); err != nil {
		return nil, err
	}
	c := &PlanCache{base: p, plans: map[string]*Plan{}}
	c.enqueue(nil)
	n := len(p.Capacity)
	for i := range n {
		c.enqueue(map[int]float64{i: 0})
	}
	for i := range n {
		c.enqueue(map[int]float64{i: 0.5})
		for j := i + 1; j < n && n <= maxSitesForPairs; j++ {
			c.enqueue(map[int]float64{i: 0, j: 0})
		}
	}
	return c, nil
}

// PrecomputePlans returns a cache with all plans that are computed in advance. Unlike NewPlanCache it solves them
// itself, so it takes as long as that.
func PrecomputePlans(p Problem) (*PlanCache, error) {
	c, err := NewPlanCache(p)
	if err != nil {
		return nil, err
	}
	for {
		p, ok := c.Next()
		if !ok {
			return c, nil
		}
		plan, err := p.Plan()
		c.Add(p.Remain, plan, err)
	}
}

// enqueue adds a problem to be solved in advance: lost maps sites to what remains of them; all others are whole.
func (c *PlanCache) enqueue(lost map[int]float64) {
	remain := slices.Clone(c.base.Remain)
	for i, share := range lost {
		remain[i] = share
	}
	c.pending = append(c.pending, remain)
}

// cacheKey returns the cache key of the remaining shares: for each site one character that stands for its number of
// whole steps of 1/remainSteps.
func cacheKey(remain []float64) string {
	k := make([]byte, len(remain))
	for i, r := range remain {
		k[i] = byte('0' + int(math.Floor(remainSteps*min(max(r, 0), 1)+1e-9)))
	}
	return string(k)
}

// roundDown rounds each share down to a multiple of 1/remainSteps: a plan must not use more capacity than there is.
func roundDown(remain []float64) []float64 {
	out := make([]float64, len(remain))
	for i, r := range remain {
		out[i] = math.Floor(remainSteps*min(max(r, 0), 1)+1e-9) / remainSteps
	}
	return out
}

// Next returns the problem to solve next: the latest one that Find lacked a plan for, else one of those to solve in
// advance; false if there is nothing to solve.
func (c *PlanCache) Next() (Problem, bool) {
	p := c.base
	if c.wanted != nil {
		p.Remain = c.wanted
		return p, true
	}
	for len(c.pending) > 0 {
		if p.Remain = c.pending[0]; c.plans[cacheKey(p.Remain)] == nil {
			return p, true
		}
		c.pending = c.pending[1:]
	}
	return p, false
}

// Add stores the plan for the given remaining shares. If there is no plan or an error, it counts a failure instead.
func (c *PlanCache) Add(remain []float64, plan *Plan, err error) {
	k := cacheKey(remain)
	if c.wanted != nil && cacheKey(c.wanted) == k {
		c.wanted = nil
	}
	c.pending = slices.DeleteFunc(c.pending, func(r []float64) bool { return cacheKey(r) == k })
	if err != nil || plan == nil {
		c.Failed++
		return
	}
	if len(c.plans) >= maxPlans {
		clear(c.plans)
	}
	c.plans[k] = plan
}

// Size returns the number of plans in the cache.
func (c *PlanCache) Size() int { return len(c.plans) }

// Find returns the plan for the remaining shares, given by site, and true. If the cache lacks it, Next will request it,
// and Find returns false with a substitute: the plan that it last found (else the one with nothing lost), with the load
// of sites without any remaining capacity spread over the others; nil if there is no such plan either.
func (c *PlanCache) Find(remain []float64) (plan *Plan, known bool) {
	if len(remain) != len(c.base.Capacity) {
		return c.last, false
	}
	if p := c.plans[cacheKey(remain)]; p != nil {
		c.last = p
		return p, true
	}
	c.wanted = roundDown(remain)
	last := c.last
	if last == nil {
		last = c.plans[cacheKey(c.base.Remain)]
	}
	if last == nil {
		return nil, false
	}
	return last.withoutLostSites(remain, c.base.Capacity), false
}

// withoutLostSites returns the plan with the load of sites of which nothing remains spread over the others, in
// proportion to their remaining capacity.
func (p *Plan) withoutLostSites(remain, capacity []float64) *Plan {
	out := &Plan{Admit: p.Admit, Worth: math.NaN()}
	spare := 0.0 // remaining capacity of all sites together
	for t, r := range remain {
		spare += r * capacity[t]
	}
	for _, row := range p.To {
		to := slices.Clone(row)
		lost := 0.0
		for t, r := range remain {
			if r == 0 {
				lost += to[t]
				to[t] = 0
			}
		}
		for t, r := range remain {
			if spare > 0 {
				to[t] += lost * r * capacity[t] / spare
			}
		}
		out.To = append(out.To, to)
	}
	return out
}

// UniformProblem returns a problem for a fleet whose demand and prices are not configured: capacity as listed, at each
// site a demand of load times its capacity, in equal parts of all classes, and one price for crossing between any two sites.
func UniformProblem(capacity []float64, classes []Class, load, cross, headroom float64) (Problem, error) {
	n := len(capacity)
	p := Problem{Capacity: slices.Clone(capacity), Remain: slices.Repeat([]float64{1}, n), Classes: classes, Headroom: headroom}
	for o := range n {
		demand := make([]float64, len(classes))
		for c := range demand {
			demand[c] = load * capacity[o] / float64(len(classes))
		}
		row := slices.Repeat([]float64{cross}, n)
		row[o] = 0
		p.Demand, p.Cross = append(p.Demand, demand), append(p.Cross, row)
	}
	if err := p.Check(); err != nil {
		return p, fmt.Errorf("uniform problem: %w", err)
	}
	return p, nil
}
