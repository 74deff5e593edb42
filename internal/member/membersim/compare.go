package membersim

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

// Protocols returns the failure detectors to compare: all-to-all heartbeats, SWIM, and that of internal/member ("this").
func Protocols() []Protocol {
	return []Protocol{
		{"heartbeats, 3 s", Heartbeats(time.Second, 3*time.Second), 300},
		{"SWIM", SWIM(), 0},
		{"this", Membership(3, nil), 0},
	}
}

// Protocol is a failure detector to compare. In fleets of more than MaxMembers members (0: no limit) a run simulates
// only one killed process and the 15 s after it, since a longer run would take too much time.
type Protocol struct {
	Name       string
	Make       NodeFactory // starts its members
	MaxMembers int
}

// Case is a scenario that is run with each protocol, from the moment at which its members know each other.
type Case struct {
	Name    string
	Members int
	Span    time.Duration                       // simulated time during which faults occur
	Loss    float64                             // share of datagrams lost
	Pauses  bool                                // each minute one member in ten is stopped for 1 to 5 s
	Kills   int                                 // number of processes to kill, evenly over Span
	Vanish  bool                                // kill the hosts of these processes too, so that nothing refuses datagrams
	Cut     func(n int) func(from, to int) bool // returns Net.Cut for n members
	Runs    int                                 // number of seeds; 0: 1
}

const (
	startSpan       = 10 * time.Second // time for up to startSize members to get to know each other; proportionally more for larger fleets
	startSize       = 300              // members
	settleAfterKill = 30 * time.Second // simulated time after the last kill, in which the members learn of it
	settleBeyondMax = 10 * time.Second // the same for a fleet larger than the protocol's MaxMembers
)

// warmUp returns how long a case is simulated before its faults begin, so that the members know each other by then.
func (c *Case) warmUp(p *Protocol) time.Duration {
	if p.MaxMembers > 0 && c.Members > p.MaxMembers { // its members know each other at once
		return startSpan / 2
	}
	return time.Duration(float64(startSpan) * max(1, float64(c.Members)/startSize))
}

// CaseResult is the result of a case with a protocol, over all runs of the case.
type CaseResult struct {
	Protocol     string         `json:"protocol"`
	Case         string         `json:"case"`
	Members      int            `json:"members"`
	MemberHours  float64        `json:"member_hours"` // running time of all members together
	FalseDeaths  int            `json:"false_deaths"`
	PerHour      float64        `json:"false_deaths_a_member_hour"` // false deaths per member-hour
	Suspicions   int            `json:"false_suspicions"`           // times that a running member was suspected
	Changes      float64        `json:"changes_a_member_minute"`    // status changes that a member sees in a minute
	Noticed      DurationSpread `json:"noticed"`                    // time from a death until another member suspected or knew it
	Known        DurationSpread `json:"known"`                      // time from a death until another member knew it
	Untold       int            `json:"untold"`                     // pairs of a killed and a running member that doesn't see it as dead at the end
	Datagrams    float64        `json:"datagrams_a_member_second"`
	Bytes        float64        `json:"bytes_a_member_second"`
	RealSeconds  float64        `json:"real_seconds"` // time that the simulation itself took
	SimulatedHrs float64        `json:"simulated_hours"`
}

// DurationSpread is the distribution of a duration, in seconds.
type DurationSpread struct {
	P50  float64 `json:"p50_s"`
	P99  float64 `json:"p99_s"`
	Last float64 `json:"last_s"` // the longest
}

func newSpread(d []time.Duration) DurationSpread {
	return DurationSpread{Percentile(d, 0.5).Seconds(), Percentile(d, 0.99).Seconds(), Percentile(d, 1).Seconds()}
}

// Cases returns the cases of docs/measurements/membership.md. hours is the simulated
// member-hours of each long case.
func Cases(sizes []int, hours float64) (cases []Case) {
	for _, n := range sizes {
		kills := 10
		if n > 300 {
			kills = 3
		}
		for _, vanish := range []bool{false, true} {
			for _, loss := range []float64{0, 0.1, 0.3} {
				cases = append(cases, Case{Name: fmt.Sprintf("%s, %.0f %% lost", map[bool]string{false: "process killed", true: "machine vanishes"}[vanish], 100*loss),
					Members: n, Span: time.Duration(kills) * 3 * time.Second, Loss: loss, Kills: min(kills, (n-1)/2), Vanish: vanish})
			}
		}
		span := time.Duration(hours / float64(n) * float64(time.Hour))
		if span < time.Minute {
			continue
		}
		for _, loss := range []float64{0, 0.01, 0.1, 0.3} {
			for _, pauses := range []bool{false, true} {
				name := fmt.Sprintf("%.0f %% lost", 100*loss)
				if pauses {
					name += ", 1 in 10 stopped each minute"
				}
				runs := max(1, min(runtime.NumCPU(), int(span/(10*time.Minute))))
				cases = append(cases, Case{Name: name, Members: n, Span: span / time.Duration(runs), Loss: loss, Pauses: pauses, Runs: runs})
			}
		}
	}
	for _, n := range sizes {
		if n > 300 {
			continue
		}
		for _, c := range partialCuts {
			cases = append(cases, Case{Name: "for a minute " + c.name, Members: n, Span: time.Minute, Cut: c.cut})
		}
	}
	return cases
}

// partialCuts are cuts that hit only some pairs or directions; cut returns Net.Cut for n members.
var partialCuts = []struct {
	name string
	cut  func(n int) func(from, to int) bool
}{
	{"one doesn't hear one", func(int) func(int, int) bool { return func(a, b int) bool { return a == 1 && b == 2 } }},
	{"two can't talk", func(int) func(int, int) bool {
		return func(a, b int) bool { return a == 1 && b == 2 || a == 2 && b == 1 }
	}},
	{"one is deaf", func(int) func(int, int) bool { return func(_, b int) bool { return b == 1 } }},
	{"a third is deaf", func(n int) func(int, int) bool { return func(a, b int) bool { return b%3 == 0 && a%3 != 0 } }},
	{"a third is cut off", func(n int) func(int, int) bool { return func(a, b int) bool { return (b%3 == 0) != (a%3 == 0) } }},
}

// Compare runs each case with each protocol, as many at a time as there are processors, and returns a row for each
// pair in that order. The runs of a case have the seeds from seed upwards. If ctx ends, the rows are incomplete.
func Compare(ctx context.Context, cases []Case, protocols []Protocol, seed uint64, progress io.Writer) ([]CaseResult, error) {
	type job struct {
		row  int
		p    Protocol
		c    Case
		seed uint64
	}
	var jobs []job
	var rows []CaseResult
	for _, c := range cases {
		for _, p := range protocols {
			if p.MaxMembers > 0 && c.Members > p.MaxMembers {
				if c.Kills == 0 {
					continue
				}
				c.Kills, c.Span = 1, 5*time.Second
			}
			for run := range max(1, c.Runs) {
				jobs = append(jobs, job{len(rows), p, c, seed + uint64(run)})
			}
			rows = append(rows, CaseResult{Protocol: p.Name, Case: c.Name, Members: c.Members})
		}
	}
	// Longest first, so that no long run is left alone at the end.
	weight := func(j job) float64 { return float64(j.c.Members) * j.c.Span.Seconds() }
	slices.SortStableFunc(jobs, func(a, b job) int { return cmp.Compare(weight(b), weight(a)) })
	type sum struct{ noticed, known []time.Duration }
	sums := make([]sum, len(rows))
	var mu sync.Mutex
	next, done := 0, 0
	var all sync.WaitGroup
	for range runtime.NumCPU() {
		all.Go(func() {
			for {
				mu.Lock()
				if next >= len(jobs) || ctx.Err() != nil {
					mu.Unlock()
					return
				}
				j := jobs[next]
				next++
				mu.Unlock()
				begun := time.Now()
				a, unaware := j.c.run(j.p, j.seed)
				mu.Lock()
				r, s := &rows[j.row], &sums[j.row]
				hours := a.Score.MemberSeconds / 3600
				secs := r.MemberHours * 3600
				r.Datagrams = (r.Datagrams*secs + float64(a.Sent)) / (secs + a.Score.MemberSeconds)
				r.Bytes = (r.Bytes*secs + float64(a.Bytes)) / (secs + a.Score.MemberSeconds)
				r.Changes = (r.Changes*secs + 60*float64(a.Score.Changes)) / (secs + a.Score.MemberSeconds)
				r.MemberHours += hours
				r.SimulatedHrs += a.Now.Hours()
				r.FalseDeaths += a.Score.FalseDeaths
				r.Suspicions += a.Score.FalseSuspicions
				r.Untold += unaware
				r.PerHour = float64(r.FalseDeaths) / r.MemberHours
				r.RealSeconds += time.Since(begun).Seconds()
				for _, id := range slices.Sorted(mapKeys(a.Score.Known)) {
					s.known = append(s.known, a.Score.Known[id]...)
				}
				for _, id := range slices.Sorted(mapKeys(a.Score.firstNotice)) {
					s.noticed = append(s.noticed, a.Score.firstNotice[id]...)
				}
				done++
				fmt.Fprintf(progress, "\r%d of %d runs ", done, len(jobs))
				mu.Unlock()
			}
		})
	}
	all.Wait()
	fmt.Fprintln(progress)
	for i := range rows {
		rows[i].Known, rows[i].Noticed = newSpread(sums[i].known), newSpread(sums[i].noticed)
	}
	return rows, ctx.Err()
}

// mapKeys yields the keys of m in no particular order.
func mapKeys[V any](m map[int]V) func(func(int) bool) {
	return func(yield func(int) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// run simulates a case once; unaware counts the pairs of a killed member and a running one that doesn't see it as dead
// at the end.
func (c Case) run(p Protocol, seed uint64) (a *Simulation, unaware int) {
	a = New(c.Members, seed, Net{Latency: [2]time.Duration{time.Millisecond / 4, 2 * time.Millisecond}, Refuses: true}, p.Make)
	rng := rand.New(rand.NewPCG(seed, 5))
	a.StartAll(time.Second)
	start := c.warmUp(&p)
	a.RunUntil(start)
	a.Score = newScore()
	a.Sent, a.Bytes = 0, 0
	if c.Loss > 0 {
		a.Net.Loss = func(int, int) float64 { return c.Loss }
	}
	if c.Cut != nil {
		a.Net.Cut = c.Cut(c.Members)
	}
	if c.Pauses {
		for at := start; at < start+c.Span; at += time.Minute {
			for range max(1, c.Members/10) {
				target, when := rng.IntN(c.Members), at+time.Duration(rng.Float64()*float64(time.Minute))
				a.At(when, func() { a.Pause(target, time.Second+time.Duration(rng.Float64()*float64(4*time.Second))) })
			}
		}
	}
	var killed []int
	for i := range c.Kills {
		a.RunUntil(start + c.Span*time.Duration(i)/time.Duration(c.Kills))
		target := rng.IntN(c.Members)
		for slices.Contains(killed, target) {
			target = rng.IntN(c.Members)
		}
		killed = append(killed, target)
		a.Kill(target, c.Vanish)
	}
	end := start + c.Span
	switch {
	case c.Kills > 0 && p.MaxMembers > 0 && c.Members > p.MaxMembers:
		end += settleBeyondMax
	case c.Kills > 0:
		end += settleAfterKill
	}
	a.RunUntil(end)
	for _, dead := range killed {
		for by := range c.Members {
			if a.members[by].up && !a.knownDead[[2]int{by, dead}] {
				unaware++
			}
		}
	}
	return a, unaware
}

// Table writes rows as an aligned text table.
func Table(w io.Writer, rows []CaseResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "members\tcase\tprotocol\tmember-hours\tfalse deaths\ta member-hour\tchanges a member-minute\tnoticed p50/p99/last s\tknown p50/p99/last s\tnot known\tdatagrams/s\tbytes/s")
	for _, r := range rows {
		span := func(s DurationSpread) string {
			if s == (DurationSpread{}) {
				return "-"
			}
			return fmt.Sprintf("%.2f/%.2f/%.2f", s.P50, s.P99, s.Last)
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%.1f\t%d\t%.4f\t%.2f\t%s\t%s\t%d\t%.1f\t%.0f\n", r.Members, r.Case, r.Protocol, r.MemberHours, r.FalseDeaths, r.PerHour,
			r.Changes, span(r.Noticed), span(r.Known), r.Untold, r.Datagrams, r.Bytes)
	}
	return t.Flush()
}
