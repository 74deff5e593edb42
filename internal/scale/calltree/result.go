package calltree

// Result is what became of the roots that arrived while a run measured, with all calls of their trees.
type Result struct {
	Config Config

	Shape     Shape
	Roots     Ending       // whole calls, as clients saw them
	Untouched Ending       // of these, the roots whose trees don't meet the faulty service or a leaf that fails for good
	Layers    []Layer      // from the first one down
	Depths    []DepthClass // by depth of the root's tree, from 1
	Seconds   []Second     // by the second in which the root arrived
	Work      Work
	Checks    Checks

	Attempts     int // over all layers
	LeafAttempts int // at the leaves of trees
	Retries      int // attempts of a call after its first, by balancers
	ClientTries  int // that clients made, first ones included
	Steps        int // decisions of balancers, for counted calls
	Events       int // of the simulation, over the whole run
	Balancers    int // that decided
}

// Shape is what the trees and the services look like.
type Shape struct {
	RootsPerSecond     float64
	MeanCalls          float64 // in a tree
	MeanLeaves         float64
	MeanFanOut         float64 // children of a call that has any
	MeanDepth          float64
	DeepestShare       float64 // of trees as deep as possible
	LeastBackends      int     // of a service
	MostBackends       int
	CallersMean        float64 // balancers that share a service's backends
	UtilizationMean    float64 // of cores, measured
	UtilizationHighest float64
}

// Ending counts calls by how they ended.
type Ending struct {
	Calls, Served, InAim, Refused, Failed int
	Worth                                 float64 // in the mean: 1 within the aim, lateWorth after it
}

// Layer is what happened to calls at one depth.
type Layer struct {
	Depth      int
	Calls      int // that balancers were asked for
	Attempts   int
	Executions int // attempts that a backend began to work on
	Leaf       int // attempts at leaves of trees
	Ending     Ending
	Reasons    map[string]int // why balancers ended calls unserved
	LeftMs     Spread         // time left as the call began
	HoldMs     float64        // mean wait for room before the first attempt
	BackoffMs  float64        // mean wait before further attempts, over all calls
	Steps      int
}

// Spread is a distribution.
type Spread struct{ Least, P1, P50, Mean float64 }

// DepthClass is the roots whose trees are equally deep.
type DepthClass struct {
	Depth        int
	Ending       Ending
	Attempts     int
	LeafAttempts int
	DeepAttempts int // at the tree's last layer
	DeepCalls    int // nodes there, by the trees drawn
	Steps        int
	LatencyMs    float64 // mean of the served

	roots []*root // until the end of the run
}

// Second is the roots that arrived in one second.
type Second struct {
	Roots, Served, Attempts, LeafAttempts int
}

// Work is where the backends' time went, in seconds of cores.
type Work struct {
	Total       float64
	Unserved    float64 // in tries that were not served in the end
	AfterAnswer float64 // after the client's try had ended
	Repeated    float64 // executions of a node of a tree after its first
}

// Checks are over the whole run, warm-up included. Started and Ended have to be equal; Retries may be no more than a
// fifth of Served and what full buckets pay for; the others have to be nought.
type Checks struct {
	Started, Ended  int // calls
	Retries, Served int // attempts
	EndedTwice      int // calls
	UnsafeTwice     int // executions of a call that may run once, after the first
	Open            int // calls left when the run was over
	NoOutcome       int // attempts without one
}

// Amplification is attempts for each root call over those of a baseline without failures.
type Amplification struct {
	All, Leaves float64
	Layers      []float64
	Deepest     float64 // attempts at the last layer by roots as deep as possible
}

// Compare says how many times more attempts a run made for each root than the baseline did.
func Compare(baseline, run Result) Amplification {
	per := func(of func(Result) (count, roots int)) float64 {
		n, roots := of(run)
		m, base := of(baseline)
		if roots == 0 || m == 0 {
			return 0
		}
		return float64(n) / float64(roots) / (float64(m) / float64(base))
	}
	a := Amplification{
		All:    per(func(r Result) (int, int) { return r.Attempts, r.Roots.Calls }),
		Leaves: per(func(r Result) (int, int) { return r.LeafAttempts, r.Roots.Calls }),
		Deepest: per(func(r Result) (int, int) {
			if len(r.Depths) == 0 {
				return 0, 0
			}
			d := r.Depths[len(r.Depths)-1]
			return d.DeepAttempts, d.Ending.Calls
		}),
	}
	for i := range min(len(baseline.Layers), len(run.Layers)) {
		a.Layers = append(a.Layers, per(func(r Result) (int, int) { return r.Layers[i].Attempts, r.Roots.Calls }))
	}
	return a
}
