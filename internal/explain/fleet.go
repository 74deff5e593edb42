package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"lemonrail/internal/chart"
)

// Fleet summarizes the notes and logs of all agents of a fleet by time and by backend, to show effects that
// are harmless in one agent and harmful in all together. It keeps a bounded number of windows, agents and
// backends, and no notes.
type Fleet struct {
	window     float64 // length of a window in s
	start      float64 // start of the earliest window, Unix time in ms
	windows    []*FleetWindow
	agents     map[string]bool
	backends   map[string]*FleetBackend
	omitted    int // notes beyond a bound or too far in time from the others
	otherLines int
}

// FleetWindow summarizes a fleet over a span of time. Sums are over the agents; each agent counts with the
// mean of its states in the window.
type FleetWindow struct {
	T         float64        `json:"t"`         // start, in seconds since the start of the first window
	Agents    int            `json:"agents"`    // with at least one state note
	InFlight  float64        `json:"in_flight"` // sum of the attempts in flight
	Part      float64        `json:"part"`      // sum of the agents' parts of the limit on attempts in flight
	Stuck     float64        `json:"stuck"`     // sum of the attempts in flight at backends out of use, or overdue
	Held      float64        `json:"held"`      // sum of the requests that wait for room
	MinUp     int            `json:"up_least"`  // smallest and largest number of backends up, over the agents
	MaxUp     int            `json:"up_most"`
	Used      float64        `json:"used"`              // mean number of backends in use
	Capacity  float64        `json:"capacity"`          // mean of the backends in use, each counted by its warmth
	Delay     float64        `json:"delay"`             // mean of latency over aim
	Aimed     float64        `json:"aimed"`             // mean of the target for Delay
	Tokens    float64        `json:"tokens"`            // mean number of tokens in the retry bucket
	Dry       int            `json:"dry"`               // agents whose retry bucket held fewer tokens than a retry takes at some time
	Ejections float64        `json:"ejections"`         // backends that an agent has ejected at a time, summed over the agents
	Refused   map[string]int `json:"refused,omitempty"` // number of refused requests, by reason
	Failed    map[string]int `json:"failed,omitempty"`  // number of failed requests, by reason
	Cuts      int            `json:"cuts"`              // cuts of the agents' limits on attempts in flight
	ListFails int            `json:"list_fails"`        // failed calls to discovery, from the logs

	states map[string]*agentStates // the states that the sums and means are made of, by agent
}

// agentStates holds the number of one agent's state notes in one window (n) and the running means of their values.
// ejections is the mean number of backends that the agent had ejected, minTokens the minimum of its retry tokens.
type agentStates struct {
	n                                                                                       float64
	inFlight, part, stuck, held, used, capacity, delay, aimed, tokens, ejections, minTokens float64
}

// FleetBackend is one backend as seen by all agents.
type FleetBackend struct {
	ID          string  `json:"id"`
	States      int     `json:"states"`  // state notes of all agents
	Out         float64 `json:"out"`     // mean number of attempts in flight there, per state note
	Ejected     float64 `json:"ejected"` // share of the states in which the agent had ejected the backend
	Down        float64 `json:"down"`    // share of the states in which the backend's process looked gone to the agent
	Cold        float64 `json:"cold"`    // share of the states in which the agent counted the backend with less than its full capacity
	Slow        float64 `json:"slow"`    // latency over the mean of all backends, averaged over the states that have a value
	slowSamples int     // number of states that have a value of Slow
}

const (
	// Bounds of a summary: notes of further agents and states of further backends are counted as omitted.
	maxAgents   = 10000
	maxBackends = 4096
	retryTokens = 5 // tokens that a retry takes
)

// NewFleet returns an empty summary with windows of the given length in seconds.
func NewFleet(window float64) *Fleet {
	return &Fleet{window: window, agents: map[string]bool{}, backends: map[string]*FleetBackend{}}
}

// Read adds the notes and log lines of one or more agents.
func (f *Fleet) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 64<<10), 1<<20)
	for lines.Scan() {
		line := lines.Bytes()
		if at, ok := parseDiscoveryFailure(line); ok {
			if w := f.windowAt(at); w != nil {
				w.ListFails++
			}
			continue
		}
		var rec Record
		if i := bytes.IndexByte(line, '{'); i < 0 || json.Unmarshal(line[i:], &rec) != nil || rec.Kind == "" {
			f.otherLines++
			continue
		}
		f.add(&rec)
	}
	return lines.Err()
}

// parseDiscoveryFailure parses an agent's log line about a failed call to discovery and returns its time (Unix, ms).
func parseDiscoveryFailure(line []byte) (at float64, ok bool) {
	if !bytes.Contains(line, []byte("msg=discovery ")) {
		return 0, false
	}
	i := bytes.Index(line, []byte("time="))
	if i < 0 {
		return 0, false
	}
	text, _, _ := bytes.Cut(line[i+len("time="):], []byte(" "))
	t, err := time.Parse(time.RFC3339Nano, string(text))
	return float64(t.UnixMicro()) / 1000, err == nil
}

// windowAt returns the window of a time (Unix, ms), or nil if the time is outside of what is kept.
func (f *Fleet) windowAt(ms float64) *FleetWindow {
	if len(f.windows) == 0 {
		f.start = ms
	}
	step := f.window * 1000
	if !(math.Abs(ms-f.start)/step < maxWindows) {
		f.omitted++
		return nil
	}
	for ms < f.start { // files of agents are read one after another, each from its start
		n := int(math.Ceil((f.start - ms) / step))
		if len(f.windows)+n > maxWindows {
			f.omitted++
			return nil
		}
		f.windows = append(make([]*FleetWindow, n), f.windows...)
		f.start -= float64(n) * step
	}
	i := int((ms - f.start) / step)
	for len(f.windows) <= i {
		f.windows = append(f.windows, nil)
	}
	if f.windows[i] == nil {
		f.windows[i] = &FleetWindow{Refused: map[string]int{}, Failed: map[string]int{}, states: map[string]*agentStates{}}
	}
	return f.windows[i]
}

func (f *Fleet) add(r *Record) {
	w := f.windowAt(r.At)
	if w == nil {
		return
	}
	switch r.Kind {
	case "cut":
		w.Cuts++
	case "refused":
		w.Refused[r.Reason]++
	case "failed":
		w.Failed[r.Reason]++
	case "state":
		f.addState(w, r)
	}
}

func (f *Fleet) addState(w *FleetWindow, r *Record) {
	if !f.agents[r.Agent] && len(f.agents) >= maxAgents {
		f.omitted++
		return
	}
	f.agents[r.Agent] = true
	s := w.states[r.Agent]
	if s == nil {
		s = &agentStates{minTokens: r.Tokens}
		if len(w.states) == 0 {
			w.MinUp, w.MaxUp = r.Up, r.Up
		}
		w.states[r.Agent] = s
	}
	w.MinUp, w.MaxUp = min(w.MinUp, r.Up), max(w.MaxUp, r.Up)
	s.n++
	s.minTokens = min(s.minTokens, r.Tokens)
	ejected := 0.0
	for i := range r.Backends {
		b := &r.Backends[i]
		if b.Ejected > 0 {
			ejected++
		}
		f.addBackend(b)
	}
	for _, v := range []struct{ to, from *float64 }{{&s.inFlight, new(float64(r.InFlight))}, {&s.part, &r.Part}, {&s.stuck, new(float64(r.Stuck))},
		{&s.held, new(float64(r.Held))}, {&s.used, new(float64(r.Used))}, {&s.capacity, &r.Capacity}, {&s.delay, &r.Delay},
		{&s.aimed, &r.Aimed}, {&s.tokens, &r.Tokens}, {&s.ejections, &ejected}} {
		*v.to += (*v.from - *v.to) / s.n
	}
}

func (f *Fleet) addBackend(b *Backend) {
	t := f.backends[b.ID]
	if t == nil {
		if len(f.backends) >= maxBackends {
			f.omitted++
			return
		}
		t = &FleetBackend{ID: b.ID}
		f.backends[b.ID] = t
	}
	t.States++
	share := func(mean *float64, is bool) {
		x := 0.0
		if is {
			x = 1
		}
		*mean += (x - *mean) / float64(t.States)
	}
	t.Out += (float64(b.Out) - t.Out) / float64(t.States)
	share(&t.Ejected, b.Ejected > 0)
	share(&t.Down, b.Down)
	share(&t.Cold, b.Warmth < 1)
	if b.Slow > 0 {
		t.slowSamples++
		t.Slow += (b.Slow - t.Slow) / float64(t.slowSamples)
	}
}

// FleetReport is the summary of a fleet's notes.
type FleetReport struct {
	WindowS    float64         `json:"window_s"`    // length of a window in seconds
	Agents     int             `json:"agents"`      // number of agents with state notes
	Omitted    int             `json:"left_out"`    // notes beyond a bound on agents, backends or windows
	OtherLines int             `json:"other_lines"` // lines that are neither a note nor a log line about discovery
	Windows    []*FleetWindow  `json:"windows"`
	Backends   []*FleetBackend `json:"backends"` // sorted by the share of states in which agents avoided them, largest first
}

// Report returns the summary of the notes that were added.
func (f *Fleet) Report() *FleetReport {
	rep := &FleetReport{WindowS: f.window, Agents: len(f.agents), Omitted: f.omitted, OtherLines: f.otherLines}
	for i, w := range f.windows {
		if w == nil {
			w = &FleetWindow{}
		}
		w.T = float64(i) * f.window
		w.sumStates()
		rep.Windows = append(rep.Windows, w)
	}
	rep.Backends = slices.SortedFunc(maps.Values(f.backends), func(a, b *FleetBackend) int {
		return cmp.Or(cmp.Compare(b.Ejected+b.Down, a.Ejected+a.Down), cmp.Compare(a.ID, b.ID))
	})
	return rep
}

// sumStates computes the window's sums and means from the states of its agents.
func (w *FleetWindow) sumStates() {
	w.Agents = len(w.states)
	for _, name := range slices.Sorted(maps.Keys(w.states)) {
		s := w.states[name]
		w.InFlight += s.inFlight
		w.Part += s.part
		w.Stuck += s.stuck
		w.Held += s.held
		w.Ejections += s.ejections
		n := float64(len(w.states))
		w.Used += s.used / n
		w.Capacity += s.capacity / n
		w.Delay += s.delay / n
		w.Aimed += s.aimed / n
		w.Tokens += s.tokens / n
		if s.minTokens < retryTokens {
			w.Dry++
		}
	}
}

// mostFrequent returns the reason with the highest count, or "-".
func mostFrequent(counts map[string]int) string {
	why := ""
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		if why == "" || counts[k] > counts[why] {
			why = k
		}
	}
	return cmp.Or(why, "-")
}

const maxBackendRows = 20 // in the text table; the JSON has all backends

// Text writes the report as text tables.
func (r *FleetReport) Text(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%d agents; sums over them, means for used, capacity, delay, aimed and tokens\n", r.Agents)
	tab := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tab, "s\tagents\trefused\tmost for\tfailed\tmost for\tpart\tin flight\tstuck\theld\tup\tused\tcapacity\tdelay\taimed\ttokens\tdry\tejections\tlist fails\t")
	for _, x := range r.Windows {
		up := fmt.Sprint(x.MinUp)
		if x.MaxUp != x.MinUp {
			up = fmt.Sprintf("%d-%d", x.MinUp, x.MaxUp)
		}
		fmt.Fprintf(tab, "%g\t%d\t%d\t%s\t%d\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%s\t%.1f\t%.1f\t%.2f\t%.2f\t%.0f\t%d\t%.0f\t%d\t\n", x.T, x.Agents, total(x.Refused), mostFrequent(x.Refused),
			total(x.Failed), mostFrequent(x.Failed), x.Part, x.InFlight, x.Stuck, x.Held, up, x.Used, x.Capacity, x.Delay, x.Aimed, x.Tokens, x.Dry, x.Ejections, x.ListFails)
	}
	tab.Flush()
	tab = tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tab, "backend\tkept off %\tgone %\tcold %\tslow\tout\t")
	for _, t := range r.Backends[:min(maxBackendRows, len(r.Backends))] {
		fmt.Fprintf(tab, "%s\t%.1f\t%.1f\t%.1f\t%.2f\t%.3f\t\n", t.ID, 100*t.Ejected, 100*t.Down, 100*t.Cold, t.Slow, t.Out)
	}
	tab.Flush()
	if n := len(r.Backends) - maxBackendRows; n > 0 {
		fmt.Fprintf(&b, "and %d more backends\n", n)
	}
	if r.Omitted > 0 {
		fmt.Fprintf(&b, "%d notes were left out: too many agents, backends or windows\n", r.Omitted)
	}
	if r.OtherLines > 0 {
		fmt.Fprintf(&b, "%d lines were no notes\n", r.OtherLines)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// HTML writes the report as one self-contained page with plots.
func (r *FleetReport) HTML(w io.Writer, title string) error {
	col := func(f func(*FleetWindow) float64) (y []float64) {
		for _, x := range r.Windows {
			y = append(y, f(x))
		}
		return y
	}
	c := chart.Colours
	plots := []template.HTML{
		chart.Plot("Given up by the fleet", "/s", r.WindowS, []chart.Line{
			{Name: "refused", Colour: c[1], Y: col(func(x *FleetWindow) float64 { return float64(total(x.Refused)) / r.WindowS })},
			{Name: "failed", Colour: c[4], Y: col(func(x *FleetWindow) float64 { return float64(total(x.Failed)) / r.WindowS })},
			{Name: "list fails", Colour: c[3], Y: col(func(x *FleetWindow) float64 { return float64(x.ListFails) / r.WindowS })}}),
		chart.Plot("Attempts of the fleet", "", r.WindowS, []chart.Line{
			{Name: "limit", Colour: c[5], Dashed: true, Y: col(func(x *FleetWindow) float64 { return x.Part })},
			{Name: "in flight", Colour: c[0], Y: col(func(x *FleetWindow) float64 { return x.InFlight })},
			{Name: "stuck", Colour: c[3], Y: col(func(x *FleetWindow) float64 { return x.Stuck })},
			{Name: "held", Colour: c[1], Y: col(func(x *FleetWindow) float64 { return x.Held })}}),
		chart.Plot("Backends in the mean, and agents", "", r.WindowS, []chart.Line{
			{Name: "used", Colour: c[0], Y: col(func(x *FleetWindow) float64 { return x.Used })},
			{Name: "capacity", Colour: c[2], Y: col(func(x *FleetWindow) float64 { return x.Capacity })},
			{Name: "agents", Colour: c[5], Dashed: true, Y: col(func(x *FleetWindow) float64 { return float64(x.Agents) })},
			{Name: "dry agents", Colour: c[1], Y: col(func(x *FleetWindow) float64 { return float64(x.Dry) })}}),
	}
	var text strings.Builder
	if err := r.Text(&text); err != nil {
		return err
	}
	return chart.Page(w, chart.Document{Title: title, Plots: plots, Text: text.String()})
}
