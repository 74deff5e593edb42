package scale

import (
	"fmt"
	"html/template"
	"strings"

	"lemonrail/internal/chart"
)

// Size of a plot and its margins, in SVG user units (pixels unless the page is scaled).
const (
	plotWidth, plotHeight           = 860.0, 260.0
	plotLeftMargin, plotRightMargin = 80.0, 24.0 // left and right margin
	plotTopMargin, plotBottomMargin = 30.0, 34.0 // top and bottom margin
)

// plot renders the points of a series as circles and its slope as a dashed line, in SVG.
func plot(s *Series) template.HTML {
	var mostX, mostY float64
	for _, p := range s.Points {
		mostX, mostY = max(mostX, p.X), max(mostY, p.Y)
	}
	if s.Slope != nil {
		mostY = max(mostY, s.Slope.At(s.Slope.To))
	}
	if mostY <= 0 {
		mostY = 1
	}
	x := func(v float64) float64 { return plotLeftMargin + (plotWidth-plotLeftMargin-plotRightMargin)*v/mostX }
	y := func(v float64) float64 {
		return plotHeight - plotBottomMargin - (plotHeight-plotTopMargin-plotBottomMargin)*min(mostY, max(0, v))/mostY
	}
	title := template.HTMLEscapeString(fmt.Sprintf("%s: %s (%s)", s.Layer, s.Name, s.Fixed))
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %g %g" role="img" aria-label="%s"><text class="t" x="%g" y="18">%s</text>`, plotWidth, plotHeight, title, plotLeftMargin, title)
	for i := range 5 {
		v := mostY * float64(i) / 4
		fmt.Fprintf(&b, `<line class="g" x1="%g" x2="%g" y1="%.1f" y2="%.1f"/><text class="a" text-anchor="end" x="%g" y="%.1f">%s</text>`,
			plotLeftMargin, plotWidth-plotRightMargin, y(v), y(v), plotLeftMargin-6, y(v)+4, template.HTMLEscapeString(quantity(v, s.Unit)))
	}
	for _, p := range s.Points {
		fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="4" fill="%s"/><text class="a" text-anchor="middle" x="%.1f" y="%g">%g</text>`,
			x(p.X), y(p.Y), chart.Colours[0], x(p.X), plotHeight-plotBottomMargin+18, p.X)
	}
	if l := s.Slope; l != nil {
		fmt.Fprintf(&b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="%s" stroke-dasharray="6 4"/>`,
			x(l.From), y(l.At(l.From)), x(l.To), y(l.At(l.To)), chart.Colours[1])
	}
	fmt.Fprintf(&b, `<text class="a" text-anchor="end" x="%g" y="%g">%s</text></svg>`, plotWidth-plotRightMargin, plotHeight-4, template.HTMLEscapeString(s.Per))
	return template.HTML(b.String())
}
