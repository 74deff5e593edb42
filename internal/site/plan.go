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

// Problem is a site's load and what bears it. Work is in requests of mean work a second; all agents reckon with the
// same figures, so that they come to the same plan without talk.
type Problem struct {
	Capacity []float64   // of each site, when it is well
	Remain   []float64   // share of it that is left, by site; 1: all
	Classes  []Class     // of requests
	Demand   [][]float64 // by the site that clients are at, and class
	Cross    [][]float64 // price of work sent from one site to another, in worth; 0 within one
	Headroom float64     // share of what remains that a plan leaves free: it has to bear errors of all these figures
	Way      Way         // how Plan works it out; empty: Best
}

// Class is a class of requests as a plan sees it.
type Class struct {
	Name  string
	Worth float64 // of one served, over 0
}

// Plan says where the load of each site's clients goes, and how much of each class is taken in at all.
type Plan struct {
	To    [][]float64 // share of what is taken in at a site that goes to each; rows sum to 1, or to 0 where nothing is
	Admit [][]float64 // share of each class that is taken in, by site
	Worth float64     // served a second, less crossing
}

// Bounds of a problem.
const (
	planSites   = 64
	planClasses = 16
)

// ErrPlan says that a problem makes no sense.
var ErrPlan = errors.New("sites: plan")

// Check names the first figure that makes no sense.
func (p *Problem) Check() error {
	n := len(p.Capacity)
	bad := func(what string, v any) error { return fmt.Errorf("%w: %s: %v makes no sense", ErrPlan, what, v) }
	switch {
	case n == 0 || n > planSites:
		return fmt.Errorf("%w: %d sites are not within 1 and %d", ErrPlan, n, planSites)
	case len(p.Remain) != n || len(p.Demand) != n || len(p.Cross) != n:
		return fmt.Errorf("%w: capacity, remain, demand and cross name %d, %d, %d and %d sites", ErrPlan, n, len(p.Remain), len(p.Demand), len(p.Cross))
	case len(p.Classes) == 0 || len(p.Classes) > planClasses:
		return fmt.Errorf("%w: %d classes are not within 1 and %d", ErrPlan, len(p.Classes), planClasses)
	case !(p.Headroom >= 0 && p.Headroom < 1):
		return bad("headroom", p.Headroom)
	case p.Way != "" && p.Way != Best && p.Way != ByNearness && p.Way != InProportion:
		return bad("way", p.Way)
	}
	ok := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
	for i := range n {
		if !ok(p.Capacity[i]) {
			return bad(fmt.Sprintf("capacity[%d]", i), p.Capacity[i])
		}
		if !(p.Remain[i] >= 0 && p.Remain[i] <= 1) {
			return bad(fmt.Sprintf("remain[%d]", i), p.Remain[i])
		}
		if len(p.Demand[i]) != len(p.Classes) || len(p.Cross[i]) != n {
			return fmt.Errorf("%w: site %d has demand of %d classes and crosses to %d sites", ErrPlan, i, len(p.Demand[i]), len(p.Cross[i]))
		}
		for k, v := range p.Demand[i] {
			if !ok(v) {
				return bad(fmt.Sprintf("demand[%d][%d]", i, k), v)
			}
		}
		for k, v := range p.Cross[i] {
			if !ok(v) {
				return bad(fmt.Sprintf("cross[%d][%d]", i, k), v)
			}
		}
	}
	for _, c := range p.Classes {
		if !(c.Worth > 0) || math.IsInf(c.Worth, 0) {
			return bad("worth of "+c.Name, c.Worth)
		}
	}
	return nil
}

// room is what each site bears by a plan.
func (p *Problem) room() []float64 {
	room := make([]float64, len(p.Capacity))
	for i := range room {
		room[i] = p.Capacity[i] * p.Remain[i] * (1 - p.Headroom)
	}
	return room
}

// served is what a plan is made of: work of each class from each site to each.
type served [][][]float64

func (p *Problem) empty() served {
	s := make(served, len(p.Capacity))
	for o := range s {
		s[o] = make([][]float64, len(p.Capacity))
		for t := range s[o] {
			s[o][t] = make([]float64, len(p.Classes))
		}
	}
	return s
}

// plan sums work up.
func (p *Problem) plan(s served) *Plan {
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
			default: // nothing is asked for now: what comes is taken
				admit[c] = 1
			}
		}
		out.To, out.Admit = append(out.To, to), append(out.Admit, admit)
	}
	return out
}

// Solve finds the plan of most worth: a linear programme over the work of each class from each site to each, with
// what is refused and what stays free as the basis to begin with.
func (p *Problem) Solve() (*Plan, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	n, k := len(p.Capacity), len(p.Classes)
	room := p.room()
	// Only sites that bear something, and only what is asked for, become variables.
	type way struct{ o, t, c int }
	var ways []way
	for o := range n {
		for t := range n {
			for c := range k {
				if room[t] > 0 && p.Demand[o][c] > 0 && p.Classes[c].Worth > p.Cross[o][t] {
					ways = append(ways, way{o, t, c})
				}
			}
		}
	}
	s := p.empty()
	if len(ways) == 0 {
		return p.plan(s), nil
	}
	rows := n*k + n
	cols := len(ways) + rows
	a, cost, b := mat.NewDense(rows, cols, nil), make([]float64, cols), make([]float64, rows)
	basis := make([]int, rows)
	for i, w := range ways {
		a.Set(w.o*k+w.c, i, 1)
		a.Set(n*k+w.t, i, 1)
		cost[i] = p.Cross[w.o][w.t] - p.Classes[w.c].Worth
	}
	for r := range rows {
		a.Set(r, len(ways)+r, 1)
		basis[r] = len(ways) + r
		if r < n*k {
			b[r] = p.Demand[r/k][r%k]
		} else {
			b[r] = room[r-n*k]
		}
	}
	_, x, err := lp.Simplex(cost, a, b, 1e-9, basis)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPlan, err)
	}
	for i, w := range ways {
		s[w.o][w.t][w.c] = max(0, x[i])
	}
	return p.plan(s), nil
}

// solveMost bounds a linear programme by sites, sites and classes: one of 10 sites and 10 classes takes a tenth of a second.
const solveMost = 1200

// Way is how plans are worked out.
type Way string

const (
	Best         Way = "best"         // of most worth
	ByNearness   Way = "nearest"      // to the cheapest site with room first
	InProportion Way = "proportional" // to all that remain, as they can: no plan at all, to compare with
)

// Plan finds the plan of most worth where that is done in a bounded time, and the nearest first where it isn't; or by
// the simple way that the problem asks for.
func (p *Problem) Plan() (*Plan, error) {
	switch p.Way {
	case ByNearness:
		return p.Nearest()
	case InProportion:
		return p.Spill()
	}
	if n := len(p.Capacity); n*n*len(p.Classes) > solveMost {
		return p.Nearest()
	}
	return p.Solve()
}

// Nearest sends load to its own site first, then to the next cheapest with room; the classes of most worth first.
func (p *Problem) Nearest() (*Plan, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	s, room := p.empty(), p.room()
	for _, c := range p.byWorth() {
		left := make([]float64, len(room))
		for o := range left {
			left[o] = p.Demand[o][c]
		}
		for rank := range room { // all sites' first choice, then all sites' second
			for o := range room {
				t := p.choices(o)[rank]
				if v := min(left[o], room[t]); v > 0 && p.Classes[c].Worth > p.Cross[o][t] {
					s[o][t][c] += v
					left[o] -= v
					room[t] -= v
				}
			}
		}
	}
	return p.plan(s), nil
}

// Spill is what happens without a plan: the load of what is lost goes to all that remain in proportion to what they
// can do, of all classes alike, and what is too much is refused alike.
func (p *Problem) Spill() (*Plan, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	s, room := p.empty(), p.room()
	sum, asked := 0.0, 0.0
	for t := range room {
		sum += room[t]
		for _, v := range p.Demand[t] {
			asked += v
		}
	}
	if sum == 0 || asked == 0 {
		return p.plan(s), nil
	}
	part := min(1, sum/asked)
	for o := range room {
		for t := range room {
			for c, v := range p.Demand[o] {
				s[o][t][c] = v * part * room[t] / sum
			}
		}
	}
	return p.plan(s), nil
}

func (p *Problem) byWorth() []int {
	order := make([]int, len(p.Classes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.Classes[b].Worth, p.Classes[a].Worth) })
	return order
}

func (p *Problem) choices(o int) []int {
	order := make([]int, len(p.Capacity))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.Cross[o][a], p.Cross[o][b]) })
	return order
}

// Load is the work that each site gets by a plan, of all sites' clients together.
func (p *Problem) Load(plan *Plan) []float64 {
	load := make([]float64, len(p.Capacity))
	for o := range plan.To {
		taken := 0.0
		for c, share := range plan.Admit[o] {
			taken += share * p.Demand[o][c]
		}
		for t, share := range plan.To[o] {
			load[t] += share * taken
		}
	}
	return load
}
