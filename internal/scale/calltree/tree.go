package calltree

import "math/rand/v2"

// maxTreeCalls is the number of calls from which on a tree gets no more branches.
const maxTreeCalls = 256

// node is one call of a generated tree. All tries and attempts of the call share the node.
type node struct {
	layer       int // from 0
	service     int
	unsafe      bool // must not be executed twice
	alwaysFails bool // under FaultLeafCalls: every execution fails, if the node is a leaf
	executions  int  // executions started so far
	children    []*node
}

// tree is the call tree of one root.
type tree struct {
	root           *node
	deepest        int // layer of the deepest call, from 0
	calls          int
	leaves         int
	lastLayerCalls int  // calls at the last layer, Config.Depth-1
	parents        int  // calls with children
	affected       bool // calls the faulty service or has a leaf that always fails
}

// treeGenerator generates random trees.
type treeGenerator struct {
	config     *Config
	layout     *layout
	shape      *rand.Rand // draws the trees
	leafFaults *rand.Rand // separate, so that the fault settings don't change the trees
	current    *tree      // the tree that is being generated
}

// generate generates one tree.
func (f *treeGenerator) generate() *tree {
	t := &tree{}
	f.current = t
	depth := f.drawDepth(0)
	t.deepest = depth
	unsafe := f.shape.Float64() < f.config.Unsafe
	t.root = f.generateNode(0, depth, f.layout.drawEntry(f.shape), unsafe)
	return t
}

// drawDepth draws the last layer of a chain that has reached the given layer.
func (f *treeGenerator) drawDepth(layer int) int {
	for layer < f.config.Depth-1 && f.shape.Float64() < f.config.Continue {
		layer++
	}
	return layer
}

// generateNode generates a call whose chain ends at layer down, with its whole subtree.
func (f *treeGenerator) generateNode(layer, down, service int, unsafe bool) *node {
	t := f.current
	t.calls++
	n := &node{layer: layer, service: service, unsafe: unsafe}
	if layer == f.config.Depth-1 {
		t.lastLayerCalls++
	}
	n.alwaysFails = f.leafFaults.Float64() < f.config.FailShare
	if f.config.hasServiceFault() && service == f.config.FaultService {
		t.affected = true
	}
	if layer == down {
		t.leaves++
		if f.config.Fault == FaultLeafCalls && n.alwaysFails {
			t.affected = true
		}
		return n
	}
	t.parents++
	n.children = append(n.children, f.generateNode(layer+1, down, f.layout.drawChild(service, f.shape), unsafe))
	if f.shape.Float64() < f.config.Branch && t.calls < maxTreeCalls {
		n.children = append(n.children, f.generateNode(layer+1, f.drawDepth(layer+1), f.layout.drawChild(service, f.shape), false))
	}
	return n
}

// hasServiceFault reports whether the configured fault affects one service.
func (c *Config) hasServiceFault() bool {
	return c.Fault == FaultSlow || c.Fault == FaultRefused || c.Fault == FaultSilent
}
