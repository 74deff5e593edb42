package calltree

import (
	"math"
	"math/rand/v2"
	"slices"
)

const (
	firstChild   = 0.6   // chance that a call goes to the first of the two services below
	sampledTrees = 20000 // by which services are given backends
	loadPower    = 0.85  // backends grow a little slower than load, since small services have more to spare
)

// layout says which services there are, which calls which, and how many backends each has.
type layout struct {
	services []service
	layers   [][]int // services by layer
}

// service is one service as the layout knows it.
type service struct {
	layer    int
	children []int // services that it calls, the more usual one first
	backends int
}

// newLayout places the services in layers. Backends come with allot.
func newLayout(c *Config) *layout {
	l := &layout{services: make([]service, c.Services), layers: make([][]int, c.Depth)}
	for s := range l.services {
		layer := s * c.Depth / c.Services
		l.services[s].layer = layer
		l.layers[layer] = append(l.layers[layer], s)
	}
	for layer := range c.Depth - 1 {
		below := l.layers[layer+1]
		for i, s := range l.layers[layer] {
			first := below[i%len(below)]
			second := below[(i+1)%len(below)]
			l.services[s].children = append(l.services[s].children, first)
			if second != first {
				l.services[s].children = append(l.services[s].children, second)
			}
		}
	}
	return l
}

// entry draws the service that a root calls, the first ones more often.
func (l *layout) entry(r *rand.Rand) int {
	entries := l.layers[0]
	u := r.Float64()
	return entries[int(u*u*float64(len(entries)))]
}

// child draws the service that a service's call goes to.
func (l *layout) child(s int, r *rand.Rand) int {
	children := l.services[s].children
	if len(children) == 1 || r.Float64() < firstChild {
		return children[0]
	}
	return children[1]
}

// allot shares the backends out by the load that sampled trees bring: one each, and the others by largest
// remainders.
func (l *layout) allot(c *Config, load []int) {
	weights, sum := make([]float64, len(load)), 0.0
	for s, n := range load {
		weights[s] = math.Pow(float64(n)+1, loadPower)
		sum += weights[s]
	}
	spare := c.Backends - len(load)
	left := spare
	remainders := make([]float64, len(load))
	for s := range load {
		exact := weights[s] / sum * float64(spare)
		whole := int(exact)
		l.services[s].backends = 1 + whole
		remainders[s] = exact - float64(whole)
		left -= whole
	}
	order := make([]int, len(load))
	for s := range order {
		order[s] = s
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case remainders[a] > remainders[b]:
			return -1
		case remainders[a] < remainders[b]:
			return 1
		}
		return a - b
	})
	for _, s := range order[:left] {
		l.services[s].backends++
	}
}

// plan makes the layout and measures the shape of the trees by a sample of its own.
func plan(c *Config) (*layout, Shape) {
	l := newLayout(c)
	f := forest{c: c, layout: l, shape: source(c.Seed, sourceSample), poison: source(c.Seed, sourceSample+1)}
	load := make([]int, c.Services)
	calls, leaves, parents, depth, deepest := 0, 0, 0, 0, 0
	for range sampledTrees {
		t := f.draw()
		count(t.root, load)
		calls += t.calls
		leaves += t.leaves
		parents += t.parents
		depth += t.deepest + 1
		if t.deepest == c.Depth-1 {
			deepest++
		}
	}
	l.allot(c, load)
	shape := Shape{
		MeanCalls:    float64(calls) / sampledTrees,
		MeanLeaves:   float64(leaves) / sampledTrees,
		MeanDepth:    float64(depth) / sampledTrees,
		DeepestShare: float64(deepest) / sampledTrees,
		MeanFanOut:   float64(calls-sampledTrees) / float64(max(parents, 1)),
	}
	shape.RootsPerSecond = c.Rate / shape.MeanCalls
	shape.LeastBackends = c.Backends
	for _, s := range l.services {
		shape.LeastBackends = min(shape.LeastBackends, s.backends)
		shape.MostBackends = max(shape.MostBackends, s.backends)
	}
	return l, shape
}

// count adds a tree's calls to the load of its services.
func count(n *node, load []int) {
	load[n.service]++
	for _, child := range n.children {
		count(child, load)
	}
}

// The random sources of a run, by what they are for.
const (
	sourceShape = iota + 1
	sourceArrivals
	sourceWork
	sourceFaults
	sourcePoison
	sourceGateways
	sourceBalancers
	sourceSample = 100
)

// source returns a run's random source for one purpose.
func source(seed, purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, purpose)) }
