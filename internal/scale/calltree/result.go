package calltree

// Result holds the statistics of the roots that arrived in the measured period, with all calls of their trees.
type Result struct {
	Config Config

	Shape     Shape
	Roots     Ending       // root calls, as seen by clients
	Untouched Ending       // roots whose trees have neither the faulty service nor a leaf that always fails
	Layers    []Layer      // from the first layer down
	Depths    []DepthClass // by depth of the root's tree, from 1
	Seconds   []Second     // by the second in which the root arrived
	Work      Work
	Checks    Checks

	Attempts     int // over all layers
	LeafAttempts int // at the leaves of trees
	Retries      int // attempts of balancers after the first one of a call
	ClientTries  int // tries of clients, including first tries
	Steps        int // balancer steps in the measured period
	Events       int // simulation events of the whole run
	Balancers    int // all balancers of the run
}

// Shape describes the trees and the services.
type Shape struct {
	RootsPerSecond     float64
	MeanCalls          float64 // per tree
	MeanLeaves         float64
	MeanFanOut         float64 // children of a call that has any
	MeanDepth          float64
	DeepestShare       float64 // share of trees with the maximum depth
	LeastBackends      int     // fewest backends of a service
	MostBackends       int
	CallersMean        float64 // mean number of balancers per service
	UtilizationMean    float64 // of backends' cores, in the measured period
	UtilizationHighest float64
}

// Ending counts calls by how they ended.
type Ending struct {
	Calls, Served, InAim, Refused, Failed int     // numbers of calls; InAim: those of Served that were served within the aim
	Worth                                 float64 // mean per call: 1 if served within the aim, lateWorth if served later
}

// Layer holds the statistics of the calls at one depth.
type Layer struct {
	Depth      int
	Calls      int // calls passed to balancers
	Attempts   int
	Executions int // attempts that a backend accepted
	Leaf       int // attempts at leaves of trees
	Ending     Ending
	Reasons    map[string]int // calls refused or failed, by reason
	LeftMs     Spread         // time left until the deadline when the call started
	HoldMs     float64        // mean wait for a free slot before the first attempt
	BackoffMs  float64        // wait before retries, averaged over all calls
	Steps      int            // balancer steps
}

// Spread summarizes a distribution.
type Spread struct{ Least, P1, P50, Mean float64 }

// DepthClass holds the statistics of the roots whose trees have the same depth.
type DepthClass struct {
	Depth        int
	Ending       Ending
	Attempts     int
	LeafAttempts int
	DeepAttempts int     // attempts at the last layer of all, Config.Depth
	DeepCalls    int     // calls at that layer in the generated trees
	Steps        int     // balancer steps
	LatencyMs    float64 // mean over served roots

	roots []*root // cleared at the end of the run
}

// Second holds the statistics of the roots that arrived in one second.
type Second struct {
	Roots, Served, Attempts, LeafAttempts int
}

// Work is the core time that backends spent on measured roots, in seconds.
type Work struct {
	Total       float64
	Unserved    float64 // in tries that were not served
	AfterAnswer float64 // after the client's try ended
	Repeated    float64 // in executions of a call after its first execution
}

// Checks cover the whole run, including the warm-up. Started and Ended must be equal; Retries must not exceed a fifth of
// Served plus the retries that full token buckets pay for; all others must be zero.
type Checks struct {
	Started, Ended  int // calls
	Retries, Served int // attempts
	EndedTwice      int // calls
	UnsafeTwice     int // repeated executions of unsafe calls
	Open            int // calls still open at the end of the run
	NoOutcome       int // attempts without an outcome
}

// Amplification is the number of attempts per root call, relative to a baseline without failures.
type Amplification struct {
	All, Leaves float64   // at all layers; at the leaves of trees
	Layers      []float64 // at each layer
	Deepest     float64   // attempts at the last layer by roots with the maximum depth
}

// Compare returns the attempts per root of a run relative to those of the baseline.
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
