package explain

import (
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"

	"lemonrail/internal/chart"
)

// Window summarizes the notes of one agent over a span of time: counts of refused and failed requests and of
// cuts of the limit, and means of the states.
type Window struct {
	T        float64        `json:"t"`                 // s since the first note
	Refused  map[string]int `json:"refused,omitempty"` // number of refused requests, by reason
	Failed   map[string]int `json:"failed,omitempty"`  // number of failed requests, by reason
	Cuts     int            `json:"cuts"`              // cuts of the limit on attempts in flight
	States   int            `json:"states"`            // number of state notes behind the means
	Part     float64        `json:"part"`              // this agent's part of the limit on attempts in flight
	InFlight float64        `json:"in_flight"`         // attempts in flight, stuck ones included
	Stuck    float64        `json:"stuck"`             // attempts in flight at backends out of use, or overdue
	Held     float64        `json:"held"`              // requests that wait for room
	Up       float64        `json:"up"`                // backends up by the list
	Used     float64        `json:"used"`              // backends in use: up, and neither ejected nor down
	Capacity float64        `json:"capacity"`          // backends in use, each counted by its warmth
	Delay    float64        `json:"delay"`             // mean of latency over aim
	Aimed    float64        `json:"aimed"`             // target for Delay
	Tokens   float64        `json:"tokens"`            // tokens in the retry bucket
}

// Group summarizes the requests of one class that were refused or failed for one reason.
type Group struct {
	Kind            string  `json:"kind"` // refused, failed
	Reason          string  `json:"why"`
	Class           string  `json:"class"`
	Repeat          bool    `json:"repeat"` // whether these requests are clients' repeats
	Count           int     `json:"count"`
	Waited          float64 `json:"waited_p50_ms"`     // median time from the request's arrival until it was refused or failed
	Left            float64 `json:"left_p50_ms"`       // median time that was left then until the client stops waiting
	WithIdleBackend int     `json:"with_idle_backend"` // requests refused or failed while a backend in use had none of this agent's attempts
}

// Agent is the summary of one agent's notes.
type Agent struct {
	Name    string    `json:"agent"`
	Notes   int       `json:"notes"`
	Skipped uint64    `json:"skipped"` // notes lost because the queue was full
	Groups  []Group   `json:"groups"`
	Windows []*Window `json:"windows"`
	Reading []string  `json:"reading"` // conclusions in plain text
}

// Report is the summary of all notes.
type Report struct {
	WindowS    float64  `json:"window_s"`
	OtherLines int      `json:"other_lines"` // lines that are not notes
	Agents     []*Agent `json:"agents"`
}

// maxWindows is the maximum number of windows kept for an agent. Beyond it the length of all windows is
// doubled.
const maxWindows = 2048

// groupKey identifies a group.
type groupKey struct {
	kind, why, class string
	repeat           bool
}

// groupSamples accumulates one group. It keeps every nth note as a sample for the medians, so that the number
// of samples is bounded.
type groupSamples struct {
	count, idle  int
	every        int
	waited, left []float64
}

const maxSamples = 4096

func (g *groupSamples) add(r *Record) {
	if g.count%g.every == 0 {
		g.waited, g.left = append(g.waited, r.Waited), append(g.left, r.Left)
		if len(g.waited) > maxSamples {
			g.waited, g.left, g.every = halve(g.waited), halve(g.left), 2*g.every
		}
	}
	g.count++
	if r.Idle > 0 {
		g.idle++
	}
}

func halve(list []float64) []float64 {
	kept := list[:0]
	for i := 0; i < len(list); i += 2 {
		kept = append(kept, list[i])
	}
	return kept
}

func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}

// Summary accumulates notes.
type Summary struct {
	window     float64
	start      float64
	agents     map[string]*agentSummary
	otherLines int
}

type agentSummary struct {
	Agent
	groups map[groupKey]*groupSamples
}

// NewSummary returns an empty summary with windows of the given length in seconds.
func NewSummary(window float64) *Summary {
	return &Summary{window: window, agents: map[string]*agentSummary{}}
}

// Read adds all notes of r.
func (s *Summary) Read(r io.Reader) error {
	others, err := Read(r, s.add)
	s.otherLines += others
	return err
}

func (s *Summary) add(r Record) {
	if s.start == 0 {
		s.start = r.At
	}
	a := s.agents[r.Agent]
	if a == nil {
		a = &agentSummary{Agent: Agent{Name: r.Agent}, groups: map[groupKey]*groupSamples{}}
		s.agents[r.Agent] = a
	}
	a.Notes++
	a.Skipped += r.Skipped
	t := max(0, (r.At-s.start)/1000)
	for t/s.window >= maxWindows {
		s.doubleWindow()
	}
	i := int(t / s.window)
	for len(a.Windows) <= i {
		a.Windows = append(a.Windows, &Window{Refused: map[string]int{}, Failed: map[string]int{}})
	}
	w := a.Windows[i]
	switch r.Kind {
	case "cut":
		w.Cuts++
	case "refused", "failed":
		if r.Kind == "refused" {
			w.Refused[r.Reason]++
		} else {
			w.Failed[r.Reason]++
		}
		k := groupKey{r.Kind, r.Reason, r.Class, r.Repeat}
		if a.groups[k] == nil {
			a.groups[k] = &groupSamples{every: 1}
		}
		a.groups[k].add(&r)
	case "state":
		w.addMean(1, &Window{Part: r.Part, InFlight: float64(r.InFlight), Stuck: float64(r.Stuck), Held: float64(r.Held), Up: float64(r.Up),
			Used: float64(r.Used), Capacity: r.Capacity, Delay: r.Delay, Aimed: r.Aimed, Tokens: r.Tokens})
	}
}

// addMean merges the means o of n states into w.
func (w *Window) addMean(n int, o *Window) {
	if n == 0 {
		return
	}
	share := float64(n) / float64(w.States+n)
	w.States += n
	for _, v := range [][2]*float64{{&w.Part, &o.Part}, {&w.InFlight, &o.InFlight}, {&w.Stuck, &o.Stuck}, {&w.Held, &o.Held}, {&w.Up, &o.Up},
		{&w.Used, &o.Used}, {&w.Capacity, &o.Capacity}, {&w.Delay, &o.Delay}, {&w.Aimed, &o.Aimed}, {&w.Tokens, &o.Tokens}} {
		*v[0] += share * (*v[1] - *v[0])
	}
}

// doubleWindow doubles the length of the windows by merging them in pairs.
func (s *Summary) doubleWindow() {
	s.window *= 2
	for _, a := range s.agents {
		var joined []*Window
		for i, w := range a.Windows {
			if i%2 == 0 {
				joined = append(joined, w)
				continue
			}
			to := joined[len(joined)-1]
			to.Cuts += w.Cuts
			to.addMean(w.States, w)
			for why, n := range w.Refused {
				to.Refused[why] += n
			}
			for why, n := range w.Failed {
				to.Failed[why] += n
			}
		}
		a.Windows = joined
	}
}

// Report returns the summary of the notes that were added.
func (s *Summary) Report() *Report {
	rep := &Report{WindowS: s.window, OtherLines: s.otherLines}
	for _, name := range slices.Sorted(maps.Keys(s.agents)) {
		a := s.agents[name]
		out := a.Agent
		for i, w := range out.Windows {
			w.T = float64(i) * s.window
		}
		for k, g := range a.groups {
			out.Groups = append(out.Groups, Group{k.kind, k.why, k.class, k.repeat, g.count, median(g.waited), median(g.left), g.idle})
		}
		sort.Slice(out.Groups, func(i, j int) bool {
			x, y := out.Groups[i], out.Groups[j]
			if x.Count != y.Count {
				return x.Count > y.Count
			}
			return fmt.Sprint(x) < fmt.Sprint(y)
		})
		out.Reading = out.interpret()
		rep.Agents = append(rep.Agents, &out)
	}
	return rep
}

func total(counts map[string]int) (n int) {
	for _, v := range counts {
		n += v
	}
	return n
}

// interpret returns conclusions from the windows in which requests were refused: a text for each condition
// that holds in windows with at least 5 % of the refused requests.
func (a *Agent) interpret() (findings []string) {
	refused, idle, cold, unused, slow, limited := 0, 0, 0, 0, 0, 0
	for _, g := range a.Groups {
		if g.Kind == "refused" {
			refused += g.Count
			idle += g.WithIdleBackend
		}
	}
	for _, w := range a.Windows {
		n := total(w.Refused)
		if n == 0 || w.States == 0 {
			continue
		}
		if w.Used-w.Capacity > 0.15*w.Used {
			cold += n
		}
		if w.Up-w.Used > 0.15*w.Up {
			unused += n
		}
		if w.Delay > w.Aimed {
			slow += n
		}
		if w.InFlight-w.Stuck > 0.8*w.Part {
			limited += n
		}
	}
	if refused == 0 {
		return []string{"nothing was refused"}
	}
	report := func(n int, text string) {
		if share := float64(n) / float64(refused); share >= 0.05 {
			findings = append(findings, fmt.Sprintf("%.0f %% of what was refused: %s", 100*share, text))
		}
	}
	report(limited, "the limit on attempts in flight bound (in flight less stuck over 80 % of this agent's part)")
	report(slow, "answers took longer than the limit keeps to (delay over aimed), so that it was being cut")
	report(unused, "over 15 % of the backends listed as up were ejected or looked gone")
	report(cold, "over 15 % of the capacity in use was missing since backends were cold, or taken for cold")
	report(idle, "a backend in use held nothing of this agent's at that moment: look for budgets of cold ones, and for a limit that is too small")
	if len(findings) == 0 {
		findings = append(findings, "no single state stands out over the windows in which requests were refused")
	}
	return findings
}

// Text writes the report as text tables.
func (r *Report) Text(w io.Writer) error {
	var b strings.Builder
	for _, a := range r.Agents {
		fmt.Fprintf(&b, "agent %s: %d notes", a.Name, a.Notes)
		if a.Skipped > 0 {
			fmt.Fprintf(&b, ", %d more were lost", a.Skipped)
		}
		b.WriteString("\n")
		for _, s := range a.Reading {
			fmt.Fprintf(&b, "  %s\n", s)
		}
		tab := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		if len(a.Groups) > 0 {
			fmt.Fprintln(tab, "  ended\twhy\tclass\trepeat\tcount\twaited p50 ms\tleft p50 ms\twith an idle backend")
		}
		for _, g := range a.Groups {
			fmt.Fprintf(tab, "  %s\t%s\t%s\t%t\t%d\t%.1f\t%.1f\t%d\n", g.Kind, g.Reason, g.Class, g.Repeat, g.Count, g.Waited, g.Left, g.WithIdleBackend)
		}
		tab.Flush()
		tab = tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(tab, "  s\trefused\tfailed\tcuts\tpart\tin flight\tstuck\theld\tup\tused\tcapacity\tdelay\taimed\ttokens\t")
		for _, x := range a.Windows {
			fmt.Fprintf(tab, "  %.1f\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.0f\t\n", x.T, total(x.Refused), total(x.Failed), x.Cuts,
				x.Part, x.InFlight, x.Stuck, x.Held, x.Up, x.Used, x.Capacity, x.Delay, x.Aimed, x.Tokens)
		}
		tab.Flush()
	}
	if r.OtherLines > 0 {
		fmt.Fprintf(&b, "%d lines were no notes\n", r.OtherLines)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// HTML writes the report as one self-contained page with plots.
func (r *Report) HTML(w io.Writer, title string) error {
	var plots []template.HTML
	for _, a := range r.Agents {
		col := func(f func(*Window) float64) (y []float64) {
			for _, x := range a.Windows {
				y = append(y, f(x))
			}
			return y
		}
		per := func(counts func(*Window) map[string]int) func(*Window) float64 {
			return func(x *Window) float64 { return float64(total(counts(x))) / r.WindowS }
		}
		c := chart.Colours
		plots = append(plots,
			chart.Plot(a.Name+": given up", "/s", r.WindowS, []chart.Line{
				{Name: "refused", Colour: c[1], Y: col(per(func(x *Window) map[string]int { return x.Refused }))},
				{Name: "failed", Colour: c[4], Y: col(per(func(x *Window) map[string]int { return x.Failed }))}}),
			chart.Plot(a.Name+": attempts", "", r.WindowS, []chart.Line{
				{Name: "part", Colour: c[5], Dashed: true, Y: col(func(x *Window) float64 { return x.Part })},
				{Name: "in flight", Colour: c[0], Y: col(func(x *Window) float64 { return x.InFlight })},
				{Name: "stuck", Colour: c[3], Y: col(func(x *Window) float64 { return x.Stuck })},
				{Name: "held", Colour: c[1], Y: col(func(x *Window) float64 { return x.Held })}}),
			chart.Plot(a.Name+": backends", "", r.WindowS, []chart.Line{
				{Name: "up", Colour: c[5], Dashed: true, Y: col(func(x *Window) float64 { return x.Up })},
				{Name: "used", Colour: c[0], Y: col(func(x *Window) float64 { return x.Used })},
				{Name: "capacity", Colour: c[2], Y: col(func(x *Window) float64 { return x.Capacity })}}),
			chart.Plot(a.Name+": latency over aim", "", r.WindowS, []chart.Line{
				{Name: "delay", Colour: c[0], Y: col(func(x *Window) float64 { return x.Delay })},
				{Name: "aimed", Colour: c[5], Dashed: true, Y: col(func(x *Window) float64 { return x.Aimed })}}))
	}
	var text strings.Builder
	if err := r.Text(&text); err != nil {
		return err
	}
	return chart.Page(w, chart.Document{Title: title, Plots: plots, Text: text.String()})
}
