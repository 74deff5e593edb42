package calltree

import "math/rand/v2"

// mostCalls bounds the calls of one tree.
const mostCalls = 256

// node is one call of a tree as it was drawn. All tries and attempts of it share the node.
type node struct {
	layer    int // from 0
	service  int
	unsafe   bool // may run once
	poisoned bool // fails whenever it is tried, where leaves do
	runs     int  // executions so far
	children []*node
}

// tree is what a root asks for.
type tree struct {
	root    *node
	deepest int // layer of the deepest call, from 0
	calls   int
	leaves  int
	deep    int  // calls at the last layer of all
	parents int  // calls with children
	touched bool // meets the faulty service, or a leaf that fails for good
}

// forest draws trees.
type forest struct {
	c       *Config
	layout  *layout
	shape   *rand.Rand
	poison  *rand.Rand // apart, so that it changes no tree
	growing *tree
}

// draw makes one tree.
func (f *forest) draw() *tree {
	t := &tree{}
	f.growing = t
	depth := f.depth(0)
	t.deepest = depth
	unsafe := f.shape.Float64() < f.c.Unsafe
	t.root = f.node(0, depth, f.layout.entry(f.shape), unsafe)
	return t
}

// depth draws how deep a chain goes that has come to a layer.
func (f *forest) depth(layer int) int {
	for layer < f.c.Depth-1 && f.shape.Float64() < f.c.Continue {
		layer++
	}
	return layer
}

// node draws a call whose chain goes down to a layer, with all below it.
func (f *forest) node(layer, down, service int, unsafe bool) *node {
	t := f.growing
	t.calls++
	n := &node{layer: layer, service: service, unsafe: unsafe}
	if layer == f.c.Depth-1 {
		t.deep++
	}
	n.poisoned = f.poison.Float64() < f.c.FailShare
	if f.c.faultsService() && service == f.c.FaultService {
		t.touched = true
	}
	if layer == down {
		t.leaves++
		if f.c.Fault == FaultLeafCalls && n.poisoned {
			t.touched = true
		}
		return n
	}
	t.parents++
	n.children = append(n.children, f.node(layer+1, down, f.layout.child(service, f.shape), unsafe))
	if f.shape.Float64() < f.c.Branch && t.calls < mostCalls {
		n.children = append(n.children, f.node(layer+1, f.depth(layer+1), f.layout.child(service, f.shape), false))
	}
	return n
}

// faultsService reports whether the fault is that of one service.
func (c *Config) faultsService() bool {
	return c.Fault == FaultSlow || c.Fault == FaultRefused || c.Fault == FaultSilent
}
