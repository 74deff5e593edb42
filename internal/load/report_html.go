package load

import (
	"bytes"
	"html/template"
	"io"

	"lemonrail/internal/chart"
)

// HTML writes the report as one self-contained HTML page.
func (r *Report) HTML(w io.Writer, title string) error {
	var source, played, bad []float64
	byClass := map[string]*[2][]float64{}
	p99 := map[string][]float64{}
	names := sortedKeys(r.Classes)
	for _, n := range names {
		byClass[n] = &[2][]float64{}
	}
	for _, s := range r.Windows {
		source, played = append(source, float64(sum(s.Source))/r.WindowS), append(played, float64(sum(s.Played))/r.WindowS)
		var n int64
		for o, v := range s.Ended {
			if o != Served {
				n += v
			}
		}
		bad = append(bad, float64(n)/r.WindowS)
		for _, c := range names {
			byClass[c][0] = append(byClass[c][0], float64(s.Source[c])/r.WindowS)
			byClass[c][1] = append(byClass[c][1], float64(s.Played[c])/r.WindowS)
			p99[c] = append(p99[c], s.P99[c])
		}
	}
	c := chart.Colours
	plots := []template.HTML{chart.Plot("Requests a second", "/s", r.WindowS, []chart.Line{
		{Name: "source", Colour: c[0], Dashed: true, Y: source}, {Name: "played", Colour: c[1], Y: played}, {Name: "not served", Colour: c[4], Y: bad}})}
	var mix, lat []chart.Line
	for i, n := range names {
		colour := c[i%len(c)]
		mix = append(mix, chart.Line{Name: n + ", source", Colour: colour, Dashed: true, Y: byClass[n][0]}, chart.Line{Name: n, Colour: colour, Y: byClass[n][1]})
		lat = append(lat, chart.Line{Name: n, Colour: colour, Y: p99[n]})
	}
	plots = append(plots, chart.Plot("By class", "/s", r.WindowS, mix), chart.Plot("p99 of those served", "ms", r.WindowS, lat))
	var text bytes.Buffer
	if err := r.Text(&text); err != nil {
		return err
	}
	data := chart.Document{Title: title, Text: text.String(), Plots: plots}
	if v, ok := r.Verdict.(interface {
		Held() bool
		String() string
	}); ok {
		data.Verdict, data.Held = v.String(), v.Held()
	}
	return chart.Page(w, data)
}
