// Package coldstart measures whether the ramp of cold backends holds for a whole fleet. It plays many balancers of package balance, unchanged,
// on a simulated clock over backends of which some have just started, and counts what each of these gets from all agents together, in every
// window of the length that the settings name, against what the settings allow it. A run is determined by its Case and its seed.
package coldstart

import "fmt"

// Result is what one run came to. Peaks are over all its cold backends.
type Result struct {
	Seed   uint64
	Count  Peak    // each request counts as one of mean work
	Work   Peak    // each counts by its own work
	Got    float64 // work that cold backends got over what they could have done, from their start to the ramp's end
	Warm   float64 // load of the warm backends in that time, likewise
	Served float64 // share of all requests

	LeftWaiting    int // clients that left while their request was held or waited for a retry
	SentAfterLeave int // attempts that began after their client had left
}

// Run plays a case with one seed.
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
		warmGot += b.got.Seconds() / (cores * b.size * rampTime.Seconds()) / float64(c.Warm)
	}
	for _, b := range f.backends[c.Warm:] {
		perSecond := cores * b.size / mean.Seconds()
		r.Count.merge(heaviest(b.arrivals, perSecond, func(Arrival) float64 { return 1 }))
		r.Work.merge(heaviest(b.arrivals, perSecond, func(a Arrival) float64 { return float64(a.Work) / float64(mean) }))
		could += cores * b.size * rampTime.Seconds() * (1 + coldShare) / 2
		got += b.got.Seconds()
	}
	r.Got, r.Warm = got/could, warmGot
	return r, nil
}

// Summary is what many runs of a case came to.
type Summary struct {
	Case              Case
	Runs              int
	OverN             int // runs with a window of more than N requests, as counted
	OverBound         int // more than N + 2 sqrt(N) + 2, N as at the window's begin
	Broken            int // the same, N as at its end, over two thirds from agents that had been told
	OverBoundByWork   int
	WorstShare        float64 // of N, most over all runs
	WorstBound        float64 // of N + 2 sqrt(N) + 2, N as at the window's begin
	WorstBoundByWork  float64
	WorstSeed         uint64
	Got, Warm, Served float64 // means
	LeftWaiting       int
	SentAfterLeave    int
}

// Add takes a run into account.
func (s *Summary) Add(r Result) {
	s.Runs++
	s.OverN += count(r.Count.Share > 1)
	s.OverBound += count(r.Count.Bound > 1)
	s.Broken += count(r.Count.Broken)
	s.OverBoundByWork += count(r.Work.Bound > 1)
	s.WorstShare = max(s.WorstShare, r.Count.Share)
	s.WorstBoundByWork = max(s.WorstBoundByWork, r.Work.Bound)
	if r.Count.Bound > s.WorstBound {
		s.WorstBound, s.WorstSeed = r.Count.Bound, r.Seed
	}
	s.Got += (r.Got - s.Got) / float64(s.Runs)
	s.Warm += (r.Warm - s.Warm) / float64(s.Runs)
	s.Served += (r.Served - s.Served) / float64(s.Runs)
	s.LeftWaiting += r.LeftWaiting
	s.SentAfterLeave += r.SentAfterLeave
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// Sweep plays a case with so many seeds from the first on.
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

// Head is the head of a table of summaries in Markdown; each Summary is a row of it.
const Head = `| case | agents, warm, cold | runs | over N | over the bound | broken | by work over the bound | worst of N | worst of the bound (by work) | got | warm ones got | served |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |`

func (s Summary) String() string {
	part := func(n int) string { return fmt.Sprintf("%.1f %%", 100*float64(n)/float64(max(s.Runs, 1))) }
	return fmt.Sprintf("| %s | %d, %d, %d | %d | %s | %s | %s | %s | %.2f | %.2f (%.2f) | %.2f | %.2f | %.2f |", s.Case.Name, s.Case.Agents, s.Case.Warm, s.Case.Cold, s.Runs, part(s.OverN),
		part(s.OverBound), part(s.Broken), part(s.OverBoundByWork), s.WorstShare, s.WorstBound, s.WorstBoundByWork, s.Got, s.Warm, s.Served)
}
