package scale

import (
	"fmt"
	"html/template"
	"io"
	"runtime"
	"strings"
	"text/tabwriter"

	"lemonrail/internal/chart"
)

// Report holds the measurements of a run and describes the machine and build.
type Report struct {
	Command string    `json:"command"`
	Commit  string    `json:"commit"` // empty if unknown
	Seed    uint64    `json:"seed"`
	Cores   int       `json:"cores"`
	Go      string    `json:"go"`
	Load    string    `json:"load_average"` // of the machine, when the report was created
	Series  []*Series `json:"series"`
}

// NewReport returns a report without series.
func NewReport(command, commit string, seed uint64) *Report {
	return &Report{Command: command, Commit: commit, Seed: seed, Cores: runtime.NumCPU(), Go: runtime.Version(), Load: loadAverage()}
}

// WriteText writes the report as plain text.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s\nseed %d, %d cores, %s, load average %s", r.Command, r.Seed, r.Cores, r.Go, r.Load)
	if r.Commit != "" {
		fmt.Fprintf(w, ", commit %s", r.Commit)
	}
	fmt.Fprintln(w)
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	heading := ""
	for _, s := range r.Series {
		if h := fmt.Sprintf("\n%s, by %s; %s", s.Layer, s.Per, s.Fixed); h != heading {
			heading = h
			fmt.Fprintln(tab, h)
		}
		fmt.Fprintf(tab, "  %s\t%s\t%s\n", s.Name, s.points(), s.line())
	}
	return tab.Flush()
}

// points formats the points of a series.
func (s *Series) points() string {
	var all []string
	for _, p := range s.Points {
		all = append(all, fmt.Sprintf("%g: %s", p.X, quantity(p.Y, s.Unit)))
	}
	return strings.Join(all, ", ")
}

// line formats the slope of a series.
func (s *Series) line() string {
	if s.Slope == nil {
		return ""
	}
	return fmt.Sprintf("%s + %s each, %g to %g, residual %.0f %%", quantity(s.Slope.AtZero, s.Unit), quantity(s.Slope.PerUnit, s.Unit),
		s.Slope.From, s.Slope.To, 100*s.Slope.Worst)
}

func quantity(v float64, unit string) string {
	return strings.TrimSpace(fmt.Sprintf("%.4g %s", v, unit))
}

// WriteHTML writes the report as one HTML page with a plot for each series of more than one point.
func (r *Report) WriteHTML(w io.Writer) error {
	var text strings.Builder
	if err := r.WriteText(&text); err != nil {
		return err
	}
	var plots []template.HTML
	for _, s := range r.Series {
		if len(s.Points) > 1 {
			plots = append(plots, plot(s))
		}
	}
	return chart.Page(w, chart.Document{Title: "Cost by size", Plots: plots, Text: text.String()})
}
