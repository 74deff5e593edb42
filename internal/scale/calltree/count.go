package calltree

import (
	"time"

	"lemonrail/balance"
)

// counting keeps what a run counts. Only roots that arrive in the measured time count, but for the checks, which are
// over all.
type counting struct {
	c       Config
	result  Result
	left    [][]int // by layer and millisecond, calls that began with so much time left
	leftSum []time.Duration
	holds   []time.Duration
	backoff []time.Duration
	open    int // attempts without an outcome
}

// newCounting prepares the counts.
func newCounting(c Config, shape Shape) counting {
	n := counting{c: c, result: Result{Config: c, Shape: shape}, left: make([][]int, c.Depth),
		leftSum: make([]time.Duration, c.Depth), holds: make([]time.Duration, c.Depth),
		backoff: make([]time.Duration, c.Depth)}
	for layer := range c.Depth {
		n.left[layer] = make([]int, c.Deadline/time.Millisecond+2)
		n.result.Layers = append(n.result.Layers, Layer{Depth: layer + 1, Reasons: map[string]int{}})
		n.result.Depths = append(n.result.Depths, DepthClass{Depth: layer + 1})
	}
	n.result.Seconds = make([]Second, (c.Measure+time.Second-1)/time.Second)
	return n
}

// callBegan counts a call that an agent has been handed.
func (n *counting) callBegan(c *call) {
	n.result.Checks.Started++
	if !c.try.root.measured {
		return
	}
	layer := c.node.layer
	n.result.Layers[layer].Calls++
	if c.parent == nil {
		n.result.ClientTries++
	}
	left := c.deadline - c.came
	n.left[layer][left/time.Millisecond]++
	n.leftSum[layer] += left
}

// sent counts an attempt and the wait before it.
func (n *counting) sent(a *attempt, waited time.Duration) {
	n.open++
	if a.number > 0 {
		n.result.Checks.Retries++
	}
	r := a.call.try.root
	if !r.measured {
		return
	}
	node := a.call.node
	layer := &n.result.Layers[node.layer]
	layer.Attempts++
	n.result.Attempts++
	r.attempts++
	if a.number > 0 {
		n.result.Retries++
		n.backoff[node.layer] += waited
	} else {
		n.holds[node.layer] += waited
	}
	second := &n.result.Seconds[(r.came-epoch-n.c.Warm)/time.Second]
	second.Attempts++
	if len(node.children) == 0 {
		layer.Leaf++
		n.result.LeafAttempts++
		second.LeafAttempts++
		r.leafAttempts++
	}
	if node.layer == n.c.Depth-1 {
		r.deepAttempts++
	}
}

// outcome counts an attempt's.
func (n *counting) outcome(o outcome) {
	n.open--
	if o.result == balance.OK {
		n.result.Checks.Served++
	}
}

// executed counts an attempt that a backend took, and looks for one that must not have come.
func (n *counting) executed(run *execution) {
	c := run.attempt.call
	if c.node.unsafe && run.repeated {
		n.result.Checks.UnsafeTwice++
	}
	if c.try.root.measured {
		n.result.Layers[c.node.layer].Executions++
	}
}

// worked counts the work of an execution.
func (n *counting) worked(run *execution, now time.Duration) {
	if from := epoch + n.c.Warm; now >= from && now < from+n.c.Measure {
		run.server.spent += run.work
	}
	t := run.attempt.call.try
	if !t.root.measured {
		return
	}
	work := run.work.Seconds()
	n.result.Work.Total += work
	if run.repeated {
		n.result.Work.Repeated += work
	}
	if t.ended {
		n.result.Work.AfterAnswer += work
	}
	if t.ended && !t.served {
		n.result.Work.Unserved += work
	}
	if !t.ended {
		t.spent += run.work
	}
}

// tryEnded counts what a try that was not served had spent.
func (n *counting) tryEnded(t *try) {
	if t.root.measured && !t.served {
		n.result.Work.Unserved += t.spent.Seconds()
	}
}

// callEnded counts a call's ending.
func (n *counting) callEnded(c *call, now time.Duration) {
	n.result.Checks.Ended++
	if !c.try.root.measured {
		return
	}
	layer := &n.result.Layers[c.node.layer]
	layer.Ending.add(c.ending, now-c.came, n.c.Aim*time.Duration(n.c.Depth-c.node.layer)/time.Duration(n.c.Depth))
	if c.ending == endedRefused || c.ending == endedFailed {
		layer.Reasons[reason(c)]++
	}
}

// reason names why a call ended unserved.
func reason(c *call) string {
	if c.why == balance.NoReason {
		return "deadline-or-mark"
	}
	return c.why.String()
}

// rootEnded counts a whole call.
func (n *counting) rootEnded(r *root, how ending, took time.Duration) {
	if !r.measured {
		return
	}
	n.result.Roots.add(how, took, n.c.Aim)
	if !r.tree.touched {
		n.result.Untouched.add(how, took, n.c.Aim)
	}
	d := &n.result.Depths[r.tree.deepest]
	d.Ending.add(how, took, n.c.Aim)
	d.DeepCalls += r.tree.deep
	if how == endedServed {
		d.LatencyMs += ms(took)
	}
	second := &n.result.Seconds[(r.came-epoch-n.c.Warm)/time.Second]
	second.Roots++
	if how == endedServed {
		second.Served++
	}
	d.roots = append(d.roots, r)
}

// add counts one ending.
func (e *Ending) add(how ending, took, aim time.Duration) {
	e.Calls++
	switch {
	case how == endedServed && took <= aim:
		e.Served++
		e.InAim++
	case how == endedServed:
		e.Served++
	case how == endedRefused:
		e.Refused++
	case how == endedFailed:
		e.Failed++
	}
	e.Worth = (float64(e.InAim) + lateWorth*float64(e.Served-e.InAim)) / float64(e.Calls)
}

// stepped counts a decision in the measured time.
func (n *counting) stepped(now time.Duration, layer int) {
	if from := epoch + n.c.Warm; now >= from && now < from+n.c.Measure {
		n.result.Steps++
		n.result.Layers[layer].Steps++
	}
}

// finish works out means and spreads.
func (n *counting) finish(servers [][]*server) {
	n.result.Checks.NoOutcome = n.open
	n.result.Shape.CallersMean = float64(n.result.Balancers) / float64(n.c.Services)
	for i := range n.result.Layers {
		l := &n.result.Layers[i]
		calls := float64(max(l.Calls, 1))
		l.LeftMs = spread(n.left[i], ms(n.leftSum[i]))
		l.HoldMs = ms(n.holds[i]) / calls
		l.BackoffMs = ms(n.backoff[i]) / calls
	}
	for i := range n.result.Depths {
		n.result.Depths[i].finish()
	}
	n.utilization(servers)
}

// finish sums up the roots of one depth, whose late attempts have all been counted by now.
func (d *DepthClass) finish() {
	for _, r := range d.roots {
		d.Attempts += r.attempts
		d.LeafAttempts += r.leafAttempts
		d.DeepAttempts += r.deepAttempts
		d.Steps += r.steps
	}
	d.roots = nil
	d.LatencyMs /= float64(max(d.Ending.Served, 1))
}

// utilization works out how busy cores were.
func (n *counting) utilization(servers [][]*server) {
	each := float64(n.c.Cores) * n.c.Measure.Seconds()
	sum, backends := 0.0, 0
	for _, of := range servers {
		for _, t := range of {
			u := t.spent.Seconds() / each
			sum += u
			backends++
			n.result.Shape.UtilizationHighest = max(n.result.Shape.UtilizationHighest, u)
		}
	}
	n.result.Shape.UtilizationMean = sum / float64(max(backends, 1))
}

// spread sums a histogram of milliseconds up.
func spread(counts []int, sum float64) Spread {
	total := 0
	for _, count := range counts {
		total += count
	}
	if total == 0 {
		return Spread{}
	}
	s := Spread{Least: -1, P1: -1, P50: -1, Mean: sum / float64(total)}
	seen := 0
	for at, count := range counts {
		seen += count
		if s.Least < 0 && seen > 0 {
			s.Least = float64(at)
		}
		if s.P1 < 0 && seen*100 >= total {
			s.P1 = float64(at)
		}
		if s.P50 < 0 && seen*2 >= total {
			s.P50 = float64(at)
		}
	}
	return s
}

// ms is a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
