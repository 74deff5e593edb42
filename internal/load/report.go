package load

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles summarise a set of durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// newHistogram returns a histogram of durations up to one hour, in microseconds, with three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
}

// recordDuration records a duration in a histogram of newHistogram: at least as 1 µs, at most as the highest value.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(1, d.Microseconds()), h.HighestTrackableValue()))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{h.TotalCount(), q(50), q(90), q(99), q(99.9), float64(h.Max()) / 1000}
}

// PlayedWindow is one time window of a play: the requests that were due in it and those that were sent in it.
type PlayedWindow struct {
	T       float64            `json:"t"`      // start, in seconds since the start of the play
	Source  map[string]int64   `json:"source"` // requests that were due in the window, by class
	Played  map[string]int64   `json:"played"` // requests that were sent in the window, by class
	Ended   map[Outcome]int64  `json:"ended"`  // requests due in the window, by outcome
	P99     map[string]float64 `json:"p99_ms"` // latency of the served requests, by class
	latency map[string]*hdrhistogram.Histogram
}

// Recorder collects samples into a Report. Its memory doesn't grow with their number: when the number of windows
// reaches maxPlayedWindows, the windows are made twice as long.
type Recorder struct {
	windowLength   time.Duration // length of a window; doubled when there are maxPlayedWindows
	started        time.Time     // start of the play
	windows        []*PlayedWindow
	latencyAll     *hdrhistogram.Histogram // of all classes
	lateness       *hdrhistogram.Histogram // how long after its due time each request was sent
	latencyByClass map[string]*hdrhistogram.Histogram
	report         Report
}

const maxPlayedWindows = 4096

// NewRecorder returns a Recorder whose windows have the given length at first.
func NewRecorder(window time.Duration) *Recorder {
	return &Recorder{windowLength: window, latencyAll: newHistogram(), lateness: newHistogram(), latencyByClass: map[string]*hdrhistogram.Histogram{},
		report: Report{Outcomes: map[Outcome]int64{}, Statuses: map[int]int64{}, Classes: map[string]*ClassReport{}}}
}

// windowAt returns the window of a time since the start of the play, and doubles the windows' length first if there are too many.
func (r *Recorder) windowAt(at time.Duration) *PlayedWindow {
	for at/r.windowLength >= maxPlayedWindows {
		r.doubleWindows()
	}
	i := max(0, int(at/r.windowLength))
	for len(r.windows) <= i {
		r.windows = append(r.windows, &PlayedWindow{Source: map[string]int64{}, Played: map[string]int64{}, Ended: map[Outcome]int64{}, P99: map[string]float64{},
			latency: map[string]*hdrhistogram.Histogram{}})
	}
	return r.windows[i]
}

// doubleWindows doubles the length of the windows by merging them in pairs.
func (r *Recorder) doubleWindows() {
	r.windowLength *= 2
	var joined []*PlayedWindow
	for i, s := range r.windows {
		if i%2 == 0 {
			joined = append(joined, s)
			continue
		}
		to := joined[len(joined)-1]
		for k, v := range s.Source {
			to.Source[k] += v
		}
		for k, v := range s.Played {
			to.Played[k] += v
		}
		for k, v := range s.Ended {
			to.Ended[k] += v
		}
		for k, h := range s.latency {
			if to.latency[k] == nil {
				to.latency[k] = h
			} else {
				to.latency[k].Merge(h)
			}
		}
	}
	r.windows = joined
}

// Add records one sample.
func (r *Recorder) Add(s *Sample) {
	if r.started.IsZero() {
		r.started = s.Due
	}
	class := s.Request.Class
	c := r.report.Classes[class]
	if c == nil {
		c = &ClassReport{Outcomes: map[Outcome]int64{}}
		r.report.Classes[class], r.latencyByClass[class] = c, newHistogram()
	}
	due := r.windowAt(s.Due.Sub(r.started))
	due.Source[class]++
	due.Ended[s.Outcome]++
	r.report.Requests++
	if s.Request.Repeat {
		r.report.Repeats++
	}
	c.Requests++
	c.Outcomes[s.Outcome]++
	r.report.Outcomes[s.Outcome]++
	r.report.Statuses[s.Status]++
	if s.Sent.IsZero() {
		return
	}
	recordDuration(r.lateness, s.Sent.Sub(s.Due))
	r.windowAt(s.Sent.Sub(r.started)).Played[class]++
	if s.Outcome == Served {
		recordDuration(r.latencyAll, s.Ended.Sub(s.Due))
		// Latency counts from the due time, not from the send time: a client whose request is sent late waits as well.
		d := s.Ended.Sub(s.Due)
		recordDuration(r.latencyByClass[class], d)
		if due.latency[class] == nil {
			due.latency[class] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)
		}
		recordDuration(due.latency[class], d)
	}
}

// ClassReport is the part of a report for one class.
type ClassReport struct {
	Requests int64             `json:"requests"`
	Outcomes map[Outcome]int64 `json:"outcomes"`
	Latency  Quantiles         `json:"latency"` // of served requests, from their due times
}

// Report summarises a play.
type Report struct {
	Requests int64                   `json:"requests"`
	Repeats  int64                   `json:"repeats"`
	SpanS    float64                 `json:"span_s"`     // duration of the play, in seconds
	RatePerS float64                 `json:"rate_per_s"` // requests per second
	Stopped  bool                    `json:"stopped"`    // the caller's context ended the play
	Lateness Quantiles               `json:"lateness"`   // of sends, compared to the due times
	All      Quantiles               `json:"latency"`    // of served requests of all classes, from their due times
	Outcomes map[Outcome]int64       `json:"outcomes"`
	Statuses map[int]int64           `json:"statuses"` // requests by HTTP status of the answer; 0: no complete answer
	Classes  map[string]*ClassReport `json:"classes"`
	WindowS  float64                 `json:"window_s"` // length of a window, in seconds
	Windows  []*PlayedWindow         `json:"windows"`

	RateError float64 `json:"rate_error"` // largest difference between the rates of sent and due requests in a window, as a share of the due rate
	MixError  float64 `json:"mix_error"`  // largest difference between the shares of a class in sent and due requests of a window, as a share of all

	Source  *SourceReport `json:"source,omitempty"`
	Verdict any           `json:"verdict,omitempty"` // result of the checks by the observer
	Site    []string      `json:"site,omitempty"`    // events in the simulated site, such as faults
}

// SourceReport summarises how the source was read.
type SourceReport struct {
	Files     []string         `json:"files"`
	Read      int64            `json:"read"`
	Unmatched int64            `json:"unmatched"`
	Skipped   map[string]int64 `json:"skipped"`
	Repairs   map[string]int64 `json:"notes"`
	Examples  []string         `json:"examples"`
}

// Report returns the report. The last window, which is incomplete, doesn't count for the rate and mix errors.
func (r *Recorder) Report(t Totals) *Report {
	out := &r.report
	out.Stopped, out.WindowS, out.Windows = t.Stopped, r.windowLength.Seconds(), r.windows
	out.Lateness, out.All = quantiles(r.lateness), quantiles(r.latencyAll)
	for name, c := range out.Classes {
		c.Latency = quantiles(r.latencyByClass[name])
	}
	last := 0
	for i, s := range r.windows {
		s.T = float64(i) * r.windowLength.Seconds()
		for name, h := range s.latency {
			s.P99[name] = float64(h.ValueAtQuantile(99)) / 1000
		}
		if sum(s.Source) > 0 {
			last = i
		}
	}
	if out.SpanS = t.Finished.Sub(t.Started).Seconds(); out.SpanS > 0 {
		out.RatePerS = float64(out.Requests) / out.SpanS
	}
	for i, s := range r.windows[:min(len(r.windows), last+1)] {
		want, got := sum(s.Source), sum(s.Played)
		if want == 0 || i == last && last > 0 {
			continue
		}
		out.RateError = max(out.RateError, math.Abs(float64(got-want))/float64(want))
		for class := range s.Source {
			if got > 0 {
				out.MixError = max(out.MixError, math.Abs(float64(s.Source[class])/float64(want)-float64(s.Played[class])/float64(got)))
			}
		}
	}
	return out
}

// sum returns the sum of the values of m.
func sum(m map[string]int64) (n int64) {
	for _, v := range m {
		n += v
	}
	return n
}

// JSON writes the report as JSON.
func (r *Report) JSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(r)
}

// Text writes the report as text for people.
func (r *Report) Text(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "requests  %d in %.1f s, %.1f a second, %d of them repeats", r.Requests, r.SpanS, r.RatePerS, r.Repeats)
	if r.Stopped {
		b.WriteString("; stopped before the end")
	}
	fmt.Fprintf(&b, "\nsent late %.2f ms in the median, %.2f ms p99, %.2f ms at the most\n", r.Lateness.P50, r.Lateness.P99, r.Lateness.Max)
	fmt.Fprintf(&b, "windows   of %.0f s: rate within %.2f %% of the source, mix within %.2f %%\n\n", r.WindowS, 100*r.RateError, 100*r.MixError)
	fmt.Fprintf(&b, "%-16s %9s %9s %9s %9s %9s %9s | ms %8s %8s %8s\n", "class", "requests", "served", "refused", "failed", "broken", "no end", "p50", "p99", "max")
	for _, name := range sortedKeys(r.Classes) {
		c := r.Classes[name]
		fmt.Fprintf(&b, "%-16s %9d %9d %9d %9d %9d %9d | %11.2f %8.2f %8.2f\n", name, c.Requests, c.Outcomes[Served], c.Outcomes[Refused], c.Outcomes[Failed],
			c.Outcomes[Broken], c.Outcomes[TimedOut]+c.Outcomes[Unsent], c.Latency.P50, c.Latency.P99, c.Latency.Max)
	}
	if s := r.Source; s != nil {
		fmt.Fprintf(&b, "\nsource    %d entries read from %s; %d fit no rule\n", s.Read, strings.Join(s.Files, ", "), s.Unmatched)
		for _, m := range []struct {
			what string
			m    map[string]int64
		}{{"skipped", s.Skipped}, {"repaired", s.Repairs}} {
			for _, k := range sortedKeys(m.m) {
				fmt.Fprintf(&b, "%-9s %d: %s\n", m.what, m.m[k], k)
			}
		}
	}
	if len(r.Site) > 0 {
		fmt.Fprintf(&b, "\nthe site:\n  %s\n", strings.Join(r.Site, "\n  "))
	}
	if v, ok := r.Verdict.(fmt.Stringer); ok {
		fmt.Fprintf(&b, "\n%s\n", v)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// Text writes the inspection as text for people.
func (in *Inspection) Text(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "requests  %d, %d of them repeats; %d entries fit no rule\n", in.Requests, in.Repeats, in.Unmatched)
	if in.Requests > 0 {
		fmt.Fprintf(&b, "time      %s to %s: %.1f s, %.2f a second\n", in.First, in.Last, in.SpanS, in.RatePerS)
	}
	for _, k := range sortedKeys(in.Classes) {
		fmt.Fprintf(&b, "class     %-20s %9d  %5.1f %%\n", k, in.Classes[k], 100*float64(in.Classes[k])/float64(in.Requests))
	}
	for _, k := range sortedKeys(in.Skipped) {
		fmt.Fprintf(&b, "skipped   %9d  %s\n", in.Skipped[k], k)
	}
	for _, k := range sortedKeys(in.Repairs) {
		fmt.Fprintf(&b, "repaired  %9d  %s\n", in.Repairs[k], k)
	}
	for _, e := range append(slices.Clone(in.Examples), in.UnmatchedExamples...) {
		fmt.Fprintf(&b, "  %s\n", e)
	}
	if len(in.Windows) > 0 {
		maxRequests := int64(1)
		for _, x := range in.Windows {
			maxRequests = max(maxRequests, x.Requests)
		}
		every := (len(in.Windows) + 39) / 40 // at most 40 lines, to fit a screen
		fmt.Fprintf(&b, "\nrequests in each %.0f s", in.WindowS)
		if every > 1 {
			fmt.Fprintf(&b, ", one of %d shown", every)
		}
		b.WriteString("\n")
		for i := 0; i < len(in.Windows); i += every {
			x := in.Windows[i]
			fmt.Fprintf(&b, "%9.0f s %8d %s\n", x.T, x.Requests, strings.Repeat("#", int(50*x.Requests/maxRequests)))
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}
