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

// sitesShowCmd prints the agents' views of the sites.
type sitesShowCmd struct{ watchFlags }

// sitesSnapshot holds the reports of all agents on the sites from one poll.
type sitesSnapshot struct {
	At     time.Time                 `json:"at"`
	Agents map[string]*driver.Report `json:"agents"`           // by control address
	Silent map[string]string         `json:"silent,omitempty"` // errors of failed calls, by control address
}

// Run polls the agents and prints each snapshot.
func (c *sitesShowCmd) Run(ctx context.Context, s streams) error {
	return poller[*sitesSnapshot]{
		fetch:     fetchSites,
		printText: func(l *sitesSnapshot) error { return l.printText(s.out) },
		writePage: sitesPage,
		noAnswers: func(l *sitesSnapshot) bool { return len(l.Agents) == 0 },
	}.run(ctx, &c.watchFlags, s)
}

func fetchSites(ctx context.Context, agents []string) *sitesSnapshot {
	l := &sitesSnapshot{At: time.Now()}
	l.Agents, l.Silent = fetchAll[driver.Report](ctx, agents, "/api/sites", "it watches no sites (started without -sites)")
	return l
}

// printText prints a line for each site and each state, with its cause, in which agents hold the site, and
// names those agents.
func (l *sitesSnapshot) printText(w io.Writer) error {
	type group struct {
		agents []string
		row    driver.SiteReport
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
		if r.Manual {
			why = "by hand"
		}
		fmt.Fprintf(t, "%s\t%s\t%d: %s\t%s\t%s\t%.0f %%\t%.0f %%\t%.0f %%\t%.0f s\t%s\n", r.Site, r.State, len(g.agents), abbreviate(g.agents), r.Since.Format("15:04:05"), why,
			100*r.FailShare, 100*r.Elsewhere, 100*r.Remain, r.FullInSeconds, g.basis)
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

// sitesPage writes an HTML page that plots, for each site, the attempts per second of all agents together and the
// number of agents that consider the site lost or cut.
func sitesPage(w io.Writer, snapshots []*sitesSnapshot) error {
	var names []string
	for _, l := range snapshots {
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
	if len(snapshots) > 1 {
		step = snapshots[len(snapshots)-1].At.Sub(snapshots[0].At).Seconds() / float64(len(snapshots)-1)
	}
	var load, avoiding []chart.Line
	for i, name := range names {
		a := chart.Line{Name: name, Colour: chart.Colours[i%len(chart.Colours)]}
		b := a
		for k := 1; k < len(snapshots); k++ {
			span, rate, off := snapshots[k].At.Sub(snapshots[k-1].At).Seconds(), 0.0, 0.0
			for d, r := range snapshots[k].Agents {
				now, before := findSite(r, name), findSite(snapshots[k-1].Agents[d], name)
				if now == nil {
					continue
				}
				if before != nil && now.Attempts >= before.Attempts && span > 0 { // a lower count shows that the agent has restarted
					rate += float64(now.Attempts-before.Attempts) / span
				}
				if now.State == "lost" || now.State == "cut" {
					off++
				}
			}
			a.Y, b.Y = append(a.Y, rate), append(b.Y, off)
		}
		load, avoiding = append(load, a), append(avoiding, b)
	}
	var text strings.Builder
	if err := snapshots[len(snapshots)-1].printText(&text); err != nil {
		return err
	}
	return chart.Page(w, chart.Document{Title: "Load by site, from " + snapshots[0].At.Format(time.DateTime), Text: text.String(), Plots: []template.HTML{
		chart.Plot("Attempts that ended", "/s", step, load),
		chart.Plot("Agents that hold a site for lost or cut", "", step, avoiding)}})
}

// findSite returns the row of a site in a report; nil if r is nil or has no such row.
func findSite(r *driver.Report, name string) *driver.SiteReport {
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
