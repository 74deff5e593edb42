package calltree

import (
	"math"
	"math/rand/v2"
	"slices"
)

const (
	firstChildShare = 0.6   // probability that a call goes to the first of the two child services
	sampledTrees    = 20000 // trees sampled to estimate the load of each service
	loadExponent    = 0.85  // below 1, since services with little load keep relatively more spare capacity
)

// layout holds the services, their call graph and the number of backends of each.
type layout struct {
	services []service
	layers   [][]int // service indexes by layer
}

// service is one service of a layout.
type service struct {
	layer    int
	children []int // services that this one calls, the more frequent one first
	backends int
}

// newLayout places the services in layers. Their backends are set by allocateBackends.
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

// drawEntry draws the service of the first layer that a root calls; services with lower indexes are drawn more often.
func (l *layout) drawEntry(r *rand.Rand) int {
	entries := l.layers[0]
	u := r.Float64()
	return entries[int(u*u*float64(len(entries)))]
}

// drawChild draws which of the services that service s calls gets a child call.
func (l *layout) drawChild(s int, r *rand.Rand) int {
	children := l.services[s].children
	if len(children) == 1 || r.Float64() < firstChildShare {
		return children[0]
	}
	return children[1]
}

// allocateBackends allocates the backends to services by their load in the sampled trees: one backend each, and the
// rest by the largest remainder method.
func (l *layout) allocateBackends(c *Config, load []int) {
	weights, sum := make([]float64, len(load)), 0.0
	for s, n := range load {
		weights[s] = math.Pow(float64(n)+1, loadExponent)
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

// plan creates the layout, and estimates the shape of the trees and the load of each service from sampled trees.
func plan(c *Config) (*layout, Shape) {
	l := newLayout(c)
	f := treeGenerator{config: c, layout: l, shape: newSource(c.Seed, sourceSample), leafFaults: newSource(c.Seed, sourceSample+1)}
	load := make([]int, c.Services)
	calls, leaves, parents, depth, deepest := 0, 0, 0, 0, 0
	for range sampledTrees {
		t := f.generate()
		addLoad(t.root, load)
		calls += t.calls
		leaves += t.leaves
		parents += t.parents
		depth += t.deepest + 1
		if t.deepest == c.Depth-1 {
			deepest++
		}
	}
	l.allocateBackends(c, load)
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

// addLoad increments the load of the service of each call in the tree below n, n included.
func addLoad(n *node, load []int) {
	load[n.service]++
	for _, child := range n.children {
		addLoad(child, load)
	}
}

// The random sources of a run, each for one purpose, so that a change of one setting doesn't change the other choices.
const (
	sourceShape      = iota + 1 // trees
	sourceArrivals              // times between the arrivals of roots
	sourceWork                  // core times
	sourceFaults                // failures of attempts
	sourceLeafFaults            // leaves that always fail
	sourceGateways              // choice of gateways
	sourceBalancers             // seeds of balancers
	sourceSample     = 100      // the sample of trees that plan takes
)

// newSource returns the random source of a run for one purpose.
func newSource(seed, purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, purpose)) }
