// Package coldstart measures whether a fleet of agents together respects the ramp of cold backends. It runs many
// unmodified balancers of package balance on a simulated clock, with backends of which some have just started. For
// every fall window it compares the requests that a cold backend gets from all agents together with the number that
// the settings allow. A run is determined by its Case and its seed.
package coldstart

import "fmt"

// Result holds the measurements of one run. Peaks are maxima over all cold backends of the run. A window is a span of length
// fallWindow.
type Result struct {
	Seed     uint64
	Count    Peak    // every request counted as one of mean work
	Work     Peak    // every request counted by its own work
	ColdLoad float64 // work that cold backends received during the ramp, relative to the capacity that the settings assume for them then
	WarmLoad float64 // work that the warm backends received in that time, relative to their capacity
	Served   float64 // share of all requests that were served

	LeftWaiting    int // clients that left while their request was held or waited for a retry
	SentAfterLeave int // attempts that began after their client had left
}

// Run simulates a case with random choices drawn from the seed, and returns its measurements.
func Run(c Case, seed uint64) (Result, error) {
	f := newFleet(c, seed)
	f.run()
	if f.err != nil {
		return Result{}, fmt.Errorf("%s, seed %d: %w", c.Name, seed, f.err)
	}
	r := Result{Seed: seed, Served: float64(f.served) / float64(max(f.requests, 1)), LeftWaiting: f.leftWaiting, SentAfterLeave: f.sentAfterLeave}
	mean := c.meanWork()
	could, got, warmGot := 0.0, 0.0, 0.0
	for _, b := range f.backends[:c.Warm] {
		warmGot += b.receivedWork.Seconds() / (cores * b.size * rampTime.Seconds()) / float64(c.Warm)
	}
	for _, b := range f.backends[c.Warm:] {
		perSecond := cores * b.size / mean.Seconds()
		r.Count.merge(peakLoad(b.arrivals, perSecond, func(Arrival) float64 { return 1 }))
		r.Work.merge(peakLoad(b.arrivals, perSecond, func(a Arrival) float64 { return float64(a.Work) / float64(mean) }))
		could += cores * b.size * rampTime.Seconds() * (1 + coldShare) / 2
		got += b.receivedWork.Seconds()
	}
	r.ColdLoad, r.WarmLoad = got/could, warmGot
	return r, nil
}

// Summary aggregates runs of a case with different seeds.
type Summary struct {
	Case                       Case
	Runs                       int
	OverN                      int     // runs in which some window had more than N requests (see allowed), N at its first request
	OverBound                  int     // runs in which some window had more than Bound(N) requests, N at its first request
	OverFinalBound             int     // runs with Peak.Violated: some window had more than Bound(N) requests, N at its last request, mostly from notified agents
	OverBoundByWork            int     // runs in which the requests of some window, counted by their work, exceeded Bound(N), N at its first request
	MaxShareOfN                float64 // maximum over the runs of Result.Count.ShareOfN: a window's requests relative to N
	MaxShareOfBound            float64 // maximum over the runs of Result.Count.ShareOfBound: a window's requests relative to Bound(N) = N + 2 sqrt(N) + 2
	MaxShareOfBoundByWork      float64 // maximum over the runs of Result.Work.ShareOfBound: the same, with requests counted by their work
	WorstSeed                  uint64  // seed of the run with MaxShareOfBound
	ColdLoad, WarmLoad, Served float64 // means over the runs of the fields of Result
	LeftWaiting                int     // sum of Result.LeftWaiting
	SentAfterLeave             int     // sum of Result.SentAfterLeave
}

// Add adds a run to the summary.
func (s *Summary) Add(r Result) {
	s.Runs++
	s.OverN += boolToInt(r.Count.ShareOfN > 1)
	s.OverBound += boolToInt(r.Count.ShareOfBound > 1)
	s.OverFinalBound += boolToInt(r.Count.ExceedsFinalBound)
	s.OverBoundByWork += boolToInt(r.Work.ShareOfBound > 1)
	s.MaxShareOfN = max(s.MaxShareOfN, r.Count.ShareOfN)
	s.MaxShareOfBoundByWork = max(s.MaxShareOfBoundByWork, r.Work.ShareOfBound)
	if r.Count.ShareOfBound > s.MaxShareOfBound {
		s.MaxShareOfBound, s.WorstSeed = r.Count.ShareOfBound, r.Seed
	}
	s.ColdLoad += (r.ColdLoad - s.ColdLoad) / float64(s.Runs)
	s.WarmLoad += (r.WarmLoad - s.WarmLoad) / float64(s.Runs)
	s.Served += (r.Served - s.Served) / float64(s.Runs)
	s.LeftWaiting += r.LeftWaiting
	s.SentAfterLeave += r.SentAfterLeave
}

func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// Sweep runs a case with the given number of consecutive seeds, starting at first.
func Sweep(c Case, first uint64, seeds int) (Summary, error) {
	s := Summary{Case: c}
	for i := range seeds {
		r, err := Run(c, first+uint64(i))
		if err != nil {
			return s, err
		}
		s.Add(r)
	}
	return s, nil
}

// TableHeader is the header of a Markdown table of which Summary.String returns the rows.
const TableHeader = `| case | agents, warm, cold | runs | over N | over the bound | broken | by work over the bound | worst of N | worst of the bound (by work) | got | warm ones got | served |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |`

// String returns the summary as a row of the Markdown table with header TableHeader.
func (s Summary) String() string {
	part := func(n int) string { return fmt.Sprintf("%.1f %%", 100*float64(n)/float64(max(s.Runs, 1))) }
	return fmt.Sprintf("| %s | %d, %d, %d | %d | %s | %s | %s | %s | %.2f | %.2f (%.2f) | %.2f | %.2f | %.2f |", s.Case.Name, s.Case.Agents, s.Case.Warm, s.Case.Cold, s.Runs, part(s.OverN),
		part(s.OverBound), part(s.OverFinalBound), part(s.OverBoundByWork), s.MaxShareOfN, s.MaxShareOfBound, s.MaxShareOfBoundByWork, s.ColdLoad, s.WarmLoad, s.Served)
}
