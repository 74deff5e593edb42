package site

import (
	"fmt"
	"math"
	"slices"
)

// PlanCache holds plans that were worked out beforehand: for each site lost, each pair, and each half lost; and those that
// were wanted since. It works none out itself: Next says which one is to be, and Add takes it, so that whoever holds
// the cache never waits for a solver.
type PlanCache struct {
	whole Problem
	plans map[string]*Plan
	todo  [][]float64
	want  []float64 // asked for and not there
	last  *Plan
	Fails int // plans that could not be worked out
}

const (
	pairsMost = 8   // of more sites only single losses are worked out beforehand
	plansMost = 512 // that a cache holds; it begins anew beyond
	steps     = 8   // of what remains of a site, that plans tell apart
)

// NewPlanCache is an empty cache of the plans of a problem. What the problem says remains is passed over.
func NewPlanCache(p Problem) (*PlanCache, error) {
	p.Remain = slices.Repeat([]float64{1}, len(p.Capacity))
	if err := p.Check(); err != nil {
		return nil, err
	}
	b := &PlanCache{whole: p, plans: map[string]*Plan{}}
	b.plan(nil)
	n := len(p.Capacity)
	for i := range n {
		b.plan(map[int]float64{i: 0})
	}
	for i := range n {
		b.plan(map[int]float64{i: 0.5})
		for j := i + 1; j < n && n <= pairsMost; j++ {
			b.plan(map[int]float64{i: 0, j: 0})
		}
	}
	return b, nil
}

// PrecomputePlans returns a cache in which all plans that are wanted beforehand have been worked out.
func PrecomputePlans(p Problem) (*PlanCache, error) {
	b, err := NewPlanCache(p)
	if err != nil {
		return nil, err
	}
	for {
		p, ok := b.Next()
		if !ok {
			return b, nil
		}
		plan, err := p.Plan()
		b.Add(p.Remain, plan, err)
	}
}

func (b *PlanCache) plan(lost map[int]float64) {
	remain := slices.Clone(b.whole.Remain)
	for i, share := range lost {
		remain[i] = share
	}
	b.todo = append(b.todo, remain)
}

// key is what remains of each site, in steps.
func key(remain []float64) string {
	k := make([]byte, len(remain))
	for i, r := range remain {
		k[i] = byte('0' + int(math.Floor(steps*min(max(r, 0), 1)+1e-9)))
	}
	return string(k)
}

// stepped is what remains, cut down to a step: a plan must not reckon with more than there is.
func stepped(remain []float64) []float64 {
	out := make([]float64, len(remain))
	for i, r := range remain {
		out[i] = math.Floor(steps*min(max(r, 0), 1)+1e-9) / steps
	}
	return out
}

// Next is the problem that is to be worked out next: one that was asked for, else one for a loss to come.
func (b *PlanCache) Next() (Problem, bool) {
	p := b.whole
	if b.want != nil {
		p.Remain = b.want
		return p, true
	}
	for len(b.todo) > 0 {
		if p.Remain = b.todo[0]; b.plans[key(p.Remain)] == nil {
			return p, true
		}
		b.todo = b.todo[1:]
	}
	return p, false
}

// Add takes a plan for what remains, or that there is none.
func (b *PlanCache) Add(remain []float64, plan *Plan, err error) {
	k := key(remain)
	if b.want != nil && key(b.want) == k {
		b.want = nil
	}
	b.todo = slices.DeleteFunc(b.todo, func(r []float64) bool { return key(r) == k })
	if err != nil || plan == nil {
		b.Fails++
		return
	}
	if len(b.plans) >= plansMost {
		clear(b.plans)
	}
	b.plans[k] = plan
}

// Size is how many plans it holds.
func (b *PlanCache) Size() int { return len(b.plans) }

// Find returns the plan for what remains of each site. Where it isn't there yet, or can't be had, the last good one
// comes back without the sites of which nothing remains, and known is false; nil where there was never one.
func (b *PlanCache) Find(remain []float64) (plan *Plan, known bool) {
	if len(remain) != len(b.whole.Capacity) {
		return b.last, false
	}
	if p := b.plans[key(remain)]; p != nil {
		b.last = p
		return p, true
	}
	b.want = stepped(remain)
	last := b.last
	if last == nil {
		last = b.plans[key(b.whole.Remain)]
	}
	if last == nil {
		return nil, false
	}
	return last.without(remain, b.whole.Capacity), false
}

// without is a plan with what goes to sites of which nothing remains spread over the rest, as they can.
func (p *Plan) without(remain, capacity []float64) *Plan {
	out := &Plan{Admit: p.Admit, Worth: math.NaN()}
	spare := 0.0
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

// Plain is a problem for agents that know no figures: capacity as listed, each site's clients asking for the same
// share of it, and classes by their worth.
func Plain(capacity []float64, classes []Class, load, cross, headroom float64) (Problem, error) {
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
		return p, fmt.Errorf("plain: %w", err)
	}
	return p, nil
}
