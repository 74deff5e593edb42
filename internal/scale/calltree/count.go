package calltree

import (
	"time"

	"lemonrail/balance"
)

// statistics collects the statistics of a run. They cover the roots that arrive in the measured period, except for
// Result.Checks, which cover the whole run.
type statistics struct {
	config      Config
	result      Result
	timeLeft    [][]int         // by layer: calls by the time left until their deadline when they start, in milliseconds
	timeLeftSum []time.Duration // by layer: sum of those times
	holdTime    []time.Duration // by layer: sum of the times that calls waited for their first attempt
	backoffTime []time.Duration // by layer: sum of the times that calls waited for retries
	open        int             // attempts without an outcome
}

// newStatistics returns statistics without counts, for a run of configuration c.
func newStatistics(c Config, shape Shape) statistics {
	n := statistics{config: c, result: Result{Config: c, Shape: shape}, timeLeft: make([][]int, c.Depth),
		timeLeftSum: make([]time.Duration, c.Depth), holdTime: make([]time.Duration, c.Depth),
		backoffTime: make([]time.Duration, c.Depth)}
	for layer := range c.Depth {
		n.timeLeft[layer] = make([]int, c.Deadline/time.Millisecond+2)
		n.result.Layers = append(n.result.Layers, Layer{Depth: layer + 1, Reasons: map[string]int{}})
		n.result.Depths = append(n.result.Depths, DepthClass{Depth: layer + 1})
	}
	n.result.Seconds = make([]Second, (c.Measure+time.Second-1)/time.Second)
	return n
}

// callBegan counts a call that has been passed to its agent, and the time left until its deadline.
func (n *statistics) callBegan(c *call) {
	n.result.Checks.Started++
	if !c.try.root.measured {
		return
	}
	layer := c.node.layer
	n.result.Layers[layer].Calls++
	if c.parent == nil {
		n.result.ClientTries++
	}
	left := c.deadline - c.started
	n.timeLeft[layer][left/time.Millisecond]++
	n.timeLeftSum[layer] += left
}

// countAttempt counts an attempt. waited is the time that the call waited for it: before the first one for a free slot, before
// others for the backoff.
func (n *statistics) countAttempt(a *attempt, waited time.Duration) {
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
		n.backoffTime[node.layer] += waited
	} else {
		n.holdTime[node.layer] += waited
	}
	second := &n.result.Seconds[(r.arrived-epoch-n.config.Warm)/time.Second]
	second.Attempts++
	if len(node.children) == 0 {
		layer.Leaf++
		n.result.LeafAttempts++
		second.LeafAttempts++
		r.leafAttempts++
	}
	if node.layer == n.config.Depth-1 {
		r.deepAttempts++
	}
}

// countOutcome counts the outcome of an attempt.
func (n *statistics) countOutcome(o outcome) {
	n.open--
	if o.result == balance.OK {
		n.result.Checks.Served++
	}
}

// countExecution counts an attempt that a backend accepted, and detects repeated executions of unsafe calls.
func (n *statistics) countExecution(run *execution) {
	c := run.attempt.call
	if c.node.unsafe && run.repeated {
		n.result.Checks.UnsafeTwice++
	}
	if c.try.root.measured {
		n.result.Layers[c.node.layer].Executions++
	}
}

// countCoreTime counts the core time of an execution that ends now.
func (n *statistics) countCoreTime(run *execution, now time.Duration) {
	if from := epoch + n.config.Warm; now >= from && now < from+n.config.Measure {
		run.server.worked += run.work
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
		t.worked += run.work
	}
}

// tryEnded counts the core time that a client's try has used so far as unserved, unless the try was served.
func (n *statistics) tryEnded(t *try) {
	if t.root.measured && !t.served {
		n.result.Work.Unserved += t.worked.Seconds()
	}
}

// callEnded counts how a call ended, and whether it was served within the aim of its layer.
func (n *statistics) callEnded(c *call, now time.Duration) {
	n.result.Checks.Ended++
	if !c.try.root.measured {
		return
	}
	layer := &n.result.Layers[c.node.layer]
	layer.Ending.add(c.ending, now-c.started, n.config.Aim*time.Duration(n.config.Depth-c.node.layer)/time.Duration(n.config.Depth))
	if c.ending == endedRefused || c.ending == endedFailed {
		layer.Reasons[reasonText(c)]++
	}
}

// reasonText returns the reason for which a call was not served.
func reasonText(c *call) string {
	if c.reason == balance.NoReason {
		return "deadline-or-mark"
	}
	return c.reason.String()
}

// rootEnded counts how a root ended, by its tree's depth and the second of its arrival. took is the time since its arrival.
func (n *statistics) rootEnded(r *root, how ending, took time.Duration) {
	if !r.measured {
		return
	}
	n.result.Roots.add(how, took, n.config.Aim)
	if !r.tree.affected {
		n.result.Untouched.add(how, took, n.config.Aim)
	}
	d := &n.result.Depths[r.tree.deepest]
	d.Ending.add(how, took, n.config.Aim)
	d.DeepCalls += r.tree.lastLayerCalls
	if how == endedServed {
		d.LatencyMs += ms(took)
	}
	second := &n.result.Seconds[(r.arrived-epoch-n.config.Warm)/time.Second]
	second.Roots++
	if how == endedServed {
		second.Served++
	}
	d.roots = append(d.roots, r)
}

// add counts one call that ended in the given way after the time took.
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

// stepped counts a balancer step in the measured period.
func (n *statistics) stepped(now time.Duration, layer int) {
	if from := epoch + n.config.Warm; now >= from && now < from+n.config.Measure {
		n.result.Steps++
		n.result.Layers[layer].Steps++
	}
}

// finish computes the means and distributions from the sums of the run.
func (n *statistics) finish(servers [][]*server) {
	n.result.Checks.NoOutcome = n.open
	n.result.Shape.CallersMean = float64(n.result.Balancers) / float64(n.config.Services)
	for i := range n.result.Layers {
		l := &n.result.Layers[i]
		calls := float64(max(l.Calls, 1))
		l.LeftMs = summarize(n.timeLeft[i], ms(n.timeLeftSum[i]))
		l.HoldMs = ms(n.holdTime[i]) / calls
		l.BackoffMs = ms(n.backoffTime[i]) / calls
	}
	for i := range n.result.Depths {
		n.result.Depths[i].finish()
	}
	n.utilization(servers)
}

// finish sums the counts of all roots with the same depth. It runs after the last event, so that late attempts are included.
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

// utilization computes the mean and the highest utilization of the backends' cores in the measured period.
func (n *statistics) utilization(servers [][]*server) {
	perBackend := float64(n.config.Cores) * n.config.Measure.Seconds()
	sum, backends := 0.0, 0
	for _, of := range servers {
		for _, t := range of {
			u := t.worked.Seconds() / perBackend
			sum += u
			backends++
			n.result.Shape.UtilizationHighest = max(n.result.Shape.UtilizationHighest, u)
		}
	}
	n.result.Shape.UtilizationMean = sum / float64(max(backends, 1))
}

// summarize summarizes a histogram with one-millisecond buckets. sum is the sum of the values, in milliseconds.
func summarize(counts []int, sum float64) Spread {
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

// ms converts a duration to milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
