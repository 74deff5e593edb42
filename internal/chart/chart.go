// Package chart renders measurements as one self-contained HTML page: curves over time as SVG, without scripts
// and external resources. It uses no plotting library because those that were considered draw image
// files or need scripts in the page.
package chart

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"strings"
)

// Line is one curve of a plot; its points are evenly spaced.
type Line struct {
	Name   string
	Colour string
	Dashed bool      // drawn with a dashed line
	Y      []float64 // values, one per point
}

// Colours are the CSS colours of curves: the first curve of a plot has the first colour, and so on.
var Colours = []string{"#1b6ca8", "#c4572e", "#3a7d44", "#7b4fa3", "#a67c00", "#50656e"}

// Plot draws curves over time as SVG, with labelled axes. unit is that of the values; step is the time between two points in seconds.
func Plot(title, unit string, step float64, lines []Line) template.HTML {
	const w, h, left, right, top, bottom = 860.0, 260.0, 64.0, 16.0, 30.0, 34.0
	n, maxY := 0, 0.0
	for _, l := range lines {
		n = max(n, len(l.Y))
		for _, y := range l.Y {
			maxY = max(maxY, y)
		}
	}
	if n == 0 {
		return ""
	}
	maxY = roundUpForAxis(maxY)
	x := func(i int) float64 { return left + (w-left-right)*float64(i)/float64(max(n-1, 1)) }
	y := func(v float64) float64 { return h - bottom - (h-top-bottom)*v/maxY }
	var b bytes.Buffer
	fmt.Fprintf(&b, `<svg viewBox="0 0 %.0f %.0f" role="img" aria-label="%s">`, w, h, template.HTMLEscapeString(title))
	fmt.Fprintf(&b, `<text class="t" x="%.0f" y="18">%s</text>`, left, template.HTMLEscapeString(title))
	for i := range 5 {
		v := maxY * float64(i) / 4
		fmt.Fprintf(&b, `<line class="g" x1="%.0f" x2="%.0f" y1="%.1f" y2="%.1f"/><text class="a" text-anchor="end" x="%.0f" y="%.1f">%g %s</text>`,
			left, w-right, y(v), y(v), left-6, y(v)+4, roundTo4Digits(v), unit)
	}
	for i := range 6 {
		k := (n - 1) * i / 5
		fmt.Fprintf(&b, `<text class="a" text-anchor="middle" x="%.1f" y="%.0f">%g s</text>`, x(k), h-bottom+18, roundTo4Digits(float64(k)*step))
	}
	for i, l := range lines {
		var pts []string
		for k, v := range l.Y {
			pts = append(pts, fmt.Sprintf("%.1f,%.1f", x(k), y(v)))
		}
		dash := ""
		if l.Dashed {
			dash = ` stroke-dasharray="6 4"`
		}
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="1.8"%s points="%s"/>`, l.Colour, dash, strings.Join(pts, " "))
		fmt.Fprintf(&b, `<text class="a" x="%.0f" y="18" fill="%s">%s</text>`, left+220+float64(i%5)*125, l.Colour, template.HTMLEscapeString(l.Name))
	}
	b.WriteString("</svg>")
	return template.HTML(b.String())
}

// roundUpForAxis returns the smallest round number that is at least v, as the upper end of an axis.
func roundUpForAxis(v float64) float64 {
	if !(v > 0) {
		return 1
	}
	unit := 1.0
	for unit*10 < v {
		unit *= 10
	}
	for unit > v {
		unit /= 10
	}
	for _, m := range []float64{1, 2, 4, 5, 8, 10} {
		if m*unit >= v {
			return m * unit
		}
	}
	return 10 * unit
}

func roundTo4Digits(v float64) float64 {
	var r float64
	fmt.Sscanf(fmt.Sprintf("%.4g", v), "%g", &r)
	return r
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><meta name="viewport" content="width=device-width">
<title>{{.Title}}</title>
<style>
body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#1c2529;background:#fff}
h1{font-size:1.4rem}svg{width:100%;height:auto;margin:.6rem 0}
.t{font-weight:600;font-size:13px}.a{font-size:11px;fill:#50656e}.g{stroke:#dde4e7}
table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .8rem;text-align:right;border-bottom:1px solid #dde4e7}
td:first-child,th:first-child{text-align:left}pre{white-space:pre-wrap;background:#f4f6f7;padding:.8rem}
.bad{color:#a3201a;font-weight:600}.good{color:#2c6e36;font-weight:600}
</style>
<h1>{{.Title}}</h1>
{{if .Verdict}}<p class="{{if .Held}}good{{else}}bad{{end}}">{{.Verdict}}</p>{{end}}
{{range .Plots}}{{.}}{{end}}
<pre>{{.Text}}</pre>
</html>
`))

// Document is the content of a page.
type Document struct {
	Title   string
	Verdict string          // one line, shown as good or bad; empty for none
	Held    bool            // whether the verdict is good
	Plots   []template.HTML // HTML of the plots, from Plot
	Text    string          // the report as text, below the plots
}

// Page writes a document as one self-contained page.
func Page(w io.Writer, d Document) error { return page.Execute(w, d) }
