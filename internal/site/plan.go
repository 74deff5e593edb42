package site

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Problem describes the load and the capacity of all sites. Work is measured in requests of the mean cost a second.
// All agents use the same figures, so that they compute the same plan without coordination.
type Problem struct {
	Capacity []float64   // work that each site can do when all of it is well
	Remain   []float64   // share of the capacity that is left, by site; 1: all of it
	Classes  []Class     // of requests
	Demand   [][]float64 // work that clients ask for, by the site that they are at and by class
	Cross    [][]float64 // price, in worth, of one request sent from the first site to the second; 0 within a site
	Headroom float64     // share of the remaining capacity that a plan leaves free, as a margin for errors in all these figures
	Method   PlanMethod  // how Plan computes the plan; empty: MaxWorth
}

// Class is a class of requests in a plan.
type Class struct {
	Name  string
	Worth float64 // of one served request, greater than 0; plans maximize the sum over the served ones
}

// Plan says where the load of each site's clients goes, and how much of each class is admitted.
type Plan struct {
	To    [][]float64 // share of a site's admitted load that goes to each site; a row sums to 1, or 0 if nothing is admitted
	Admit [][]float64 // share of each class's requests that is admitted, by the site that the clients are at and by class
	Worth float64     // worth of the work served in a second, less the price of crossing; NaN: not computed
}

// Upper bounds of the number of sites and classes in a problem.
const (
	maxPlanSites   = 64
	maxPlanClasses = 16
)

// ErrPlan is returned, wrapped, for an invalid problem and for a problem that the solver fails on.
var ErrPlan = errors.New("sites: plan")

// Check returns an error that names the first invalid field.
func (p *Problem) Check() error {
	n := len(p.Capacity)
	invalid := func(what string, v any) error { return fmt.Errorf("%w: %s: %v is invalid", ErrPlan, what, v) }
	switch {
	case n == 0 || n > maxPlanSites:
		return fmt.Errorf("%w: %d sites are not within 1 and %d", ErrPlan, n, maxPlanSites)
	case len(p.Remain) != n || len(p.Demand) != n || len(p.Cross) != n:
		return fmt.Errorf("%w: capacity, remain, demand and cross have %d, %d, %d and %d sites", ErrPlan, n, len(p.Remain), len(p.Demand), len(p.Cross))
	case len(p.Classes) == 0 || len(p.Classes) > maxPlanClasses:
		return fmt.Errorf("%w: %d classes are not within 1 and %d", ErrPlan, len(p.Classes), maxPlanClasses)
	case !(p.Headroom >= 0 && p.Headroom < 1):
		return invalid("headroom", p.Headroom)
	case p.Method != "" && p.Method != MaxWorth && p.Method != NearestFirst && p.Method != Proportional:
		return invalid("way", p.Method)
	}
	ok := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
	for i := range n {
		if !ok(p.Capacity[i]) {
			return invalid(fmt.Sprintf("capacity[%d]", i), p.Capacity[i])
		}
		if !(p.Remain[i] >= 0 && p.Remain[i] <= 1) {
			return invalid(fmt.Sprintf("remain[%d]", i), p.Remain[i])
		}
		if len(p.Demand[i]) != len(p.Classes) || len(p.Cross[i]) != n {
			return fmt.Errorf("%w: site %d has demand of %d classes and prices to %d sites", ErrPlan, i, len(p.Demand[i]), len(p.Cross[i]))
		}
		for k, v := range p.Demand[i] {
			if !ok(v) {
				return invalid(fmt.Sprintf("demand[%d][%d]", i, k), v)
			}
		}
		for k, v := range p.Cross[i] {
			if !ok(v) {
				return invalid(fmt.Sprintf("cross[%d][%d]", i, k), v)
			}
		}
	}
	for _, c := range p.Classes {
		if !(c.Worth > 0) || math.IsInf(c.Worth, 0) {
			return invalid("worth of "+c.Name, c.Worth)
		}
	}
	return nil
}

// usableCapacity returns, by site, the work that a plan may send there: the remaining capacity less the headroom.
func (p *Problem) usableCapacity() []float64 {
	usable := make([]float64, len(p.Capacity))
	for i := range usable {
		usable[i] = p.Capacity[i] * p.Remain[i] * (1 - p.Headroom)
	}
	return usable
}

// flows holds the work that a plan sends, by the site that the clients are at, the site that serves it, and class.
type flows [][][]float64

// noFlows returns flows without any work.
func (p *Problem) noFlows() flows {
	s := make(flows, len(p.Capacity))
	for o := range s {
		s[o] = make([][]float64, len(p.Capacity))
		for t := range s[o] {
			s[o][t] = make([]float64, len(p.Classes))
		}
	}
	return s
}

// planOf returns the plan that sends exactly the given work, refuses the rest of the demand, and admits all of a class
// for which there is no demand.
func (p *Problem) planOf(s flows) *Plan {
	out := &Plan{}
	for o := range s {
		to, admit := make([]float64, len(s)), make([]float64, len(p.Classes))
		all := 0.0
		for t := range s[o] {
			for c, v := range s[o][t] {
				to[t] += v
				admit[c] += v
				all += v
				out.Worth += v * (p.Classes[c].Worth - p.Cross[o][t])
			}
		}
		for t := range to {
			if all > 0 {
				to[t] /= all
			}
		}
		for c := range admit {
			switch {
			case p.Demand[o][c] > 0:
				admit[c] = min(1, admit[c]/p.Demand[o][c])
			default: // no demand at present: admit what comes
				admit[c] = 1
			}
		}
		out.To, out.Admit = append(out.To, to), append(out.Admit, admit)
	}
	return out
}

// Solve returns the plan of the greatest worth. It is the solution of a linear program whose variables are the
// work of each class from each site to each; the slack variables (refused work, free capacity) form the initial
// basis.
func (p *Problem) Solve() (*Plan, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	n, k := len(p.Capacity), len(p.Classes)
	usable := p.usableCapacity()
	// Only sites with capacity and classes with demand become variables.
	type route struct{ o, t, c int }
	var routes []route
	for o := range n {
		for t := range n {
			for c := range k {
				if usable[t] > 0 && p.Demand[o][c] > 0 && p.Classes[c].Worth > p.Cross[o][t] {
					routes = append(routes, route{o, t, c})
				}
			}
		}
	}
	s := p.noFlows()
	if len(routes) == 0 {
		return p.planOf(s), nil
	}
	rows := n*k + n
	cols := len(routes) + rows
	a, cost, b := mat.NewDense(rows, cols, nil), make([]float64, cols), make([]float64, rows)
	basis := make([]int, rows)
	for i, w := range routes {
		a.Set(w.o*k+w.c, i, 1)
		a.Set(n*k+w.t, i, 1)
		cost[i] = p.Cross[w.o][w.t] - p.Classes[w.c].Worth
	}
	for r := range rows {
		a.Set(r, len(routes)+r, 1)
		basis[r] = len(routes) + r
		if r < n*k {
			b[r] = p.Demand[r/k][r%k]
		} else {
			b[r] = usable[r-n*k]
		}
	}
	_, x, err := lp.Simplex(cost, a, b, 1e-9, basis)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPlan, err)
	}
	for i, w := range routes {
		s[w.o][w.t][w.c] = max(0, x[i])
	}
	return p.planOf(s), nil
}

// maxSolveSize bounds sites * sites * classes of a linear program, so that it takes little time: 10 sites and 10
// classes take a tenth of a second.
const maxSolveSize = 1200

// PlanMethod is how plans are computed.
type PlanMethod string

const (
	MaxWorth     PlanMethod = "best"         // the plan of the greatest worth
	NearestFirst PlanMethod = "nearest"      // to the cheapest site with free capacity first
	Proportional PlanMethod = "proportional" // to all sites in proportion to usable capacity: what happens without a plan, for comparison
)

// Plan computes a plan by the method of the problem. MaxWorth falls back to NearestFirst where the linear
// program exceeds maxSolveSize, so that the time is bounded.
func (p *Problem) Plan() (*Plan, error) {
	switch p.Method {
	case NearestFirst:
		return p.SolveNearest()
	case Proportional:
		return p.SolveProportional()
	}
	if n := len(p.Capacity); n*n*len(p.Classes) > maxSolveSize {
		return p.SolveNearest()
	}
	return p.Solve()
}

// SolveNearest sends the load of each site's clients to the site with the lowest price of crossing (usually their own)
// first, then to the next cheapest with free capacity; classes of the greatest worth first.
func (p *Problem) SolveNearest() (*Plan, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	s, free := p.noFlows(), p.usableCapacity()
	for _, c := range p.classesByWorth() {
		left := make([]float64, len(free))
		for o := range left {
			left[o] = p.Demand[o][c]
		}
		for rank := range free { // first choice of all sites, then second choice of all sites
			for o := range free {
				t := p.sitesByPrice(o)[rank]
				if v := min(left[o], free[t]); v > 0 && p.Classes[c].Worth > p.Cross[o][t] {
					s[o][t][c] += v
					left[o] -= v
					free[t] -= v
				}
			}
		}
	}
	return p.planOf(s), nil
}

// SolveProportional computes what happens without a plan: all load is spread over the remaining sites in proportion to their
// capacity, and the excess is refused in equal shares of all classes.
func (p *Problem) SolveProportional() (*Plan, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	s, usable := p.noFlows(), p.usableCapacity()
	sum, demand := 0.0, 0.0
	for t := range usable {
		sum += usable[t]
		for _, v := range p.Demand[t] {
			demand += v
		}
	}
	if sum == 0 || demand == 0 {
		return p.planOf(s), nil
	}
	admitted := min(1, sum/demand)
	for o := range usable {
		for t := range usable {
			for c, v := range p.Demand[o] {
				s[o][t][c] = v * admitted * usable[t] / sum
			}
		}
	}
	return p.planOf(s), nil
}

// classesByWorth returns the indices of the classes, greatest worth first.
func (p *Problem) classesByWorth() []int {
	order := make([]int, len(p.Classes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.Classes[b].Worth, p.Classes[a].Worth) })
	return order
}

// sitesByPrice returns the indices of all sites, those to which load of site o crosses at the lowest price first.
func (p *Problem) sitesByPrice(o int) []int {
	order := make([]int, len(p.Capacity))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.Cross[o][a], p.Cross[o][b]) })
	return order
}

// Load returns, by site, the work that a plan sends there from the clients of all sites together.
func (p *Problem) Load(plan *Plan) []float64 {
	load := make([]float64, len(p.Capacity))
	for o := range plan.To {
		admitted := 0.0
		for c, share := range plan.Admit[o] {
			admitted += share * p.Demand[o][c]
		}
		for t, share := range plan.To[o] {
			load[t] += share * admitted
		}
	}
	return load
}
