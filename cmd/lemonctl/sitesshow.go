package main

import (
	"context"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"lemonrail/internal/chart"
	"lemonrail/internal/site/driver"
)

type sitesShowCmd struct{ watchFlags }

// sitesLook is what all agents said at a time.
type sitesLook struct {
	At     time.Time                 `json:"at"`
	Agents map[string]*driver.Report `json:"agents"` // by control address
	Silent map[string]string         `json:"silent,omitempty"`
}

func (c *sitesShowCmd) Run(ctx context.Context, s streams) error {
	return watched[*sitesLook]{
		ask:   lookAtSites,
		show:  func(l *sitesLook) error { return l.text(s.out) },
		page:  sitesPage,
		empty: func(l *sitesLook) bool { return len(l.Agents) == 0 },
	}.run(ctx, &c.watchFlags, s)
}

func lookAtSites(ctx context.Context, agents []string) *sitesLook {
	l := &sitesLook{At: time.Now()}
	l.Agents, l.Silent = askAll[driver.Report](ctx, agents, "/api/sites", "it watches no sites (started without -sites)")
	return l
}

// text prints a line for each site and state that agents hold it for.
func (l *sitesLook) text(w io.Writer) error {
	type group struct {
		agents []string
		row    driver.Row
		basis  string
	}
	groups := map[string]*group{}
	for d, r := range l.Agents {
		for _, row := range r.Sites {
			k := row.Site + "\x00" + row.State + "\x00" + row.Cause
			if groups[k] == nil {
				groups[k] = &group{row: row, basis: r.Basis}
			}
			groups[k].agents = append(groups[k].agents, d)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\tis\tby agents\tsince\twhy not more\tfails here\tand elsewhere\treckoned with\tfull in\torder")
	for _, k := range slices.Sorted(maps.Keys(groups)) {
		g := groups[k]
		slices.Sort(g.agents)
		r, why := g.row, g.row.Cause
		if r.ByHand {
			why = "by hand"
		}
		fmt.Fprintf(t, "%s\t%s\t%d: %s\t%s\t%s\t%.0f %%\t%.0f %%\t%.0f %%\t%.0f s\t%s\n", r.Site, r.State, len(g.agents), short(g.agents), r.Since.Format("15:04:05"), why,
			100*r.FailShare, 100*r.Elsewhere, 100*r.Remain, r.FullIn, g.basis)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, d := range slices.Sorted(maps.Keys(l.Silent)) {
		if _, err := fmt.Fprintf(w, "%s: %s\n", d, l.Silent[d]); err != nil {
			return err
		}
	}
	return nil
}

// sitesPage draws attempts a second at each site, all agents together, and for how many agents it is in use.
func sitesPage(w io.Writer, looks []*sitesLook) error {
	var names []string
	for _, l := range looks {
		for _, r := range l.Agents {
			for _, row := range r.Sites {
				if !slices.Contains(names, row.Site) {
					names = append(names, row.Site)
				}
			}
		}
	}
	slices.Sort(names)
	step := 1.0
	if len(looks) > 1 {
		step = looks[len(looks)-1].At.Sub(looks[0].At).Seconds() / float64(len(looks)-1)
	}
	var load, away []chart.Line
	for i, name := range names {
		a := chart.Line{Name: name, Colour: chart.Colours[i%len(chart.Colours)]}
		b := a
		for k := 1; k < len(looks); k++ {
			span, rate, off := looks[k].At.Sub(looks[k-1].At).Seconds(), 0.0, 0.0
			for d, r := range looks[k].Agents {
				now, before := siteRow(r, name), siteRow(looks[k-1].Agents[d], name)
				if now == nil {
					continue
				}
				if before != nil && now.Attempts >= before.Attempts && span > 0 { // else it has been started anew
					rate += float64(now.Attempts-before.Attempts) / span
				}
				if now.State == "lost" || now.State == "cut" {
					off++
				}
			}
			a.Y, b.Y = append(a.Y, rate), append(b.Y, off)
		}
		load, away = append(load, a), append(away, b)
	}
	var text strings.Builder
	if err := looks[len(looks)-1].text(&text); err != nil {
		return err
	}
	return chart.Page(w, chart.Document{Title: "Load by site, from " + looks[0].At.Format(time.DateTime), Text: text.String(), Plots: []template.HTML{
		chart.Plot("Attempts that ended", "/s", step, load),
		chart.Plot("Agents that hold a site for lost or cut", "", step, away)}})
}

func siteRow(r *driver.Report, name string) *driver.Row {
	if r == nil {
		return nil
	}
	for i := range r.Sites {
		if r.Sites[i].Site == name {
			return &r.Sites[i]
		}
	}
	return nil
}
