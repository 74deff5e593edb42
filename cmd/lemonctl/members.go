package main

import (
	"context"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"lemonrail/internal/member/link"
	"lemonrail/internal/member/membersim"
)

// requestTimeout limits a call to a control address; an agent answers within a second.
const requestTimeout = 2 * time.Second

// membersShowCmd prints the agents' views of the fleet and their differences.
type membersShowCmd struct {
	watchFlags
	Keeper bool `name:"from-keeper" help:"Print the fleet notes recorded by the holder of the duty notes."`
}

// membersSnapshot holds the membership views of all agents from one poll.
type membersSnapshot struct {
	At            time.Time               `json:"at"`
	Views         map[string]*link.Report `json:"views"`              // by control address
	Silent        map[string]string       `json:"silent,omitempty"`   // errors of failed calls, by control address
	ViewGroups    [][]string              `json:"camps"`              // agents with equal views, the largest group first
	Disagreements []string                `json:"disagree,omitempty"` // a line per member held in different states
}

// Run polls the agents and prints a snapshot whenever its text has changed. With --from-keeper it prints the fleet
// notes once instead.
func (c *membersShowCmd) Run(ctx context.Context, s streams) error {
	if c.Keeper {
		return printFleetNotes(ctx, s, c.Agents)
	}
	last := ""
	showChanges := func(snapshot *membersSnapshot) error {
		text := snapshot.text()
		if text == last {
			return nil
		}
		last = text
		if c.Watch > 0 {
			fmt.Fprintln(s.out, snapshot.At.Format("15:04:05.0"))
		}
		_, err := fmt.Fprint(s.out, text)
		return err
	}
	return poller[*membersSnapshot]{
		fetch:     fetchMembers,
		printText: showChanges,
		writePage: viewsPage,
		noAnswers: func(l *membersSnapshot) bool { return len(l.Views) == 0 },
	}.run(ctx, &c.watchFlags, s)
}

// fetchMembers asks all agents concurrently for their membership views and compares the views.
func fetchMembers(ctx context.Context, agents []string) *membersSnapshot {
	l := &membersSnapshot{At: time.Now()}
	l.Views, l.Silent = fetchAll[link.Report](ctx, agents, "/api/members", "it keeps no view of the fleet (started without -members)")
	l.compare()
	return l
}

// compare groups the agents by equal views and lists the members on whose state they disagree.
func (l *membersSnapshot) compare() {
	agentsByDigest := map[string][]string{}
	observers := map[string]map[string][]string{} // agents by member name and the state in which they hold the member
	for _, r := range l.Views {
		agentsByDigest[r.Digest] = append(agentsByDigest[r.Digest], r.Name)
		for _, m := range r.Members {
			if observers[m.Name] == nil {
				observers[m.Name] = map[string][]string{}
			}
			observers[m.Name][m.State] = append(observers[m.Name][m.State], r.Name)
		}
	}
	for _, names := range agentsByDigest {
		slices.Sort(names)
		l.ViewGroups = append(l.ViewGroups, names)
	}
	slices.SortFunc(l.ViewGroups, func(a, b []string) int {
		if len(a) != len(b) {
			return len(b) - len(a)
		}
		return strings.Compare(a[0], b[0])
	})
	for name, states := range observers {
		if len(states) < 2 {
			continue
		}
		var opinions []string
		for state, agents := range states {
			slices.Sort(agents)
			opinions = append(opinions, state+" by "+abbreviate(agents))
		}
		slices.Sort(opinions)
		l.Disagreements = append(l.Disagreements, name+": "+strings.Join(opinions, "; "))
	}
	slices.Sort(l.Disagreements)
}

// abbreviate joins names, and replaces those after the first 8 by their number.
func abbreviate(names []string) string {
	if len(names) > 8 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:8], " "), len(names)-8)
	}
	return strings.Join(names, " ")
}

// text returns a table of the agents' views, followed by failed calls, groups of equal views and
// disagreements.
func (l *membersSnapshot) text() string {
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "agent\tzone\tsees itself in\talive\treckons with\tchanges\tnot alive, or not reached")
	var rows []*link.Report
	for _, r := range l.Views {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b *link.Report) int { return strings.Compare(a.Name, b.Name) })
	for _, r := range rows {
		var exceptions []string
		for _, m := range r.Members {
			switch {
			case m.State != "alive":
				exceptions = append(exceptions, m.Name+" "+m.State)
			case len(m.UnreachableFrom) > 0:
				exceptions = append(exceptions, fmt.Sprintf("%s not from %s", m.Name, abbreviate(m.UnreachableFrom)))
			}
		}
		if len(exceptions) > 6 {
			exceptions = append(exceptions[:6], fmt.Sprintf("and %d more", len(exceptions)-6))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d of %d\t%d to %d\t%d\t%s\n", r.Name, r.Zone, r.Standing, r.Alive, r.Expected, r.Living, r.Possible, r.Changes, strings.Join(exceptions, ", "))
	}
	t.Flush()
	var silent []string
	for address, why := range l.Silent {
		silent = append(silent, fmt.Sprintf("%s: %s\n", address, why))
	}
	slices.Sort(silent)
	b.WriteString(strings.Join(silent, ""))
	if len(l.ViewGroups) > 1 {
		fmt.Fprintf(&b, "%d views:\n", len(l.ViewGroups))
		for _, c := range l.ViewGroups {
			fmt.Fprintf(&b, "  %s\n", abbreviate(c))
		}
	}
	for _, d := range l.Disagreements {
		fmt.Fprintf(&b, "they differ about %s\n", d)
	}
	return b.String()
}

// viewsTemplate is the page of viewsPage.
var viewsTemplate = template.Must(template.New("views").Parse(`<!DOCTYPE html><meta charset="utf-8"><title>Views of the fleet</title>
<style>body{font:13px sans-serif;margin:1em}svg{display:block;margin:.2em 0 1em}.alive{fill:#4a9}.suspect{fill:#ec5}.dead{fill:#c33}.left{fill:#99a}.unseen{fill:#ddd}.none{fill:#fff;stroke:#ccc}text{font:10px sans-serif}</style>
<h1>Views of the fleet</h1><p>{{.From}} to {{.To}}, {{.N}} looks. One block for each agent; in it a row for each member as this agent holds it.
Green alive, yellow suspect, red dead, grey left, light unseen. An empty column: the agent gave no view.</p>
{{range .Agents}}<h3>{{.Name}}</h3><svg width="{{.Width}}" height="{{.Height}}">{{range .Rows}}<text x="0" y="{{.Text}}">{{.Name}}</text>{{range .Cells}}<rect class="{{.State}}" x="{{.X}}" y="{{.Y}}" width="{{.W}}" height="9"><title>{{.Title}}</title></rect>{{end}}{{end}}</svg>
{{end}}`))

// viewCell is a rectangle for consecutive snapshots in which an agent held a member in the same state; X, Y
// and W are its left and top edge and width in pixels. The template uses the field names of viewCell, viewRow
// and viewBlock.
type viewCell struct {
	State, Title string // state of the member, also the CSS class; text shown under the mouse pointer
	X, Y, W      int
}

// viewRow is the history of one member in the view of an agent. Text is the y coordinate of the row's label
// in pixels.
type viewRow struct {
	Name  string
	Text  int
	Cells []viewCell
}

// viewBlock is the plot of one agent's view; sizes are in pixels.
type viewBlock struct {
	Name          string
	Width, Height int
	Rows          []viewRow
}

// viewsPage writes an HTML page with one plot for each agent, with a row for each member and a column for
// each snapshot. Consecutive snapshots with the same state of a member are merged into one cell.
func viewsPage(w io.Writer, snapshots []*membersSnapshot) error {
	const labelWidth, cellWidth, rowHeight = 60, 6, 11
	var agents []string
	names := map[string]string{}
	for _, l := range snapshots {
		for d, r := range l.Views {
			if names[d] == "" {
				agents = append(agents, d)
			}
			names[d] = r.Name
		}
	}
	slices.SortFunc(agents, func(a, b string) int { return strings.Compare(names[a], names[b]) })
	var blocks []viewBlock
	for _, d := range agents {
		rowIndex := map[string]int{}
		b := viewBlock{Name: names[d], Width: labelWidth + cellWidth*len(snapshots)}
		for i, l := range snapshots {
			if l.Views[d] == nil {
				continue
			}
			for _, m := range l.Views[d].Members {
				row, known := rowIndex[m.Name]
				if !known {
					row = len(b.Rows)
					rowIndex[m.Name] = row
					b.Rows = append(b.Rows, viewRow{Name: m.Name, Text: rowHeight*row + 9})
				}
				cells := &b.Rows[row].Cells
				if n := len(*cells); n > 0 && (*cells)[n-1].State == m.State && (*cells)[n-1].X+(*cells)[n-1].W == labelWidth+cellWidth*i {
					(*cells)[n-1].W += cellWidth
					continue
				}
				*cells = append(*cells, viewCell{m.State, fmt.Sprintf("%s %s from %s", m.Name, m.State, l.At.Format("15:04:05.0")), labelWidth + cellWidth*i, rowHeight * row, cellWidth})
			}
		}
		b.Height = rowHeight * len(b.Rows)
		blocks = append(blocks, b)
	}
	return viewsTemplate.Execute(w, map[string]any{"From": snapshots[0].At.Format(time.DateTime), "To": snapshots[len(snapshots)-1].At.Format(time.DateTime), "N": len(snapshots), "Agents": blocks})
}

// membersCompareCmd compares membership protocols in simulated time.
type membersCompareCmd struct {
	Sizes []int   `default:"7,50,300" help:"Fleet sizes, in members."`
	Hours float64 `default:"20" help:"Simulated time of each case of packet loss and stopped members, in member-hours."`
	Only  string  `placeholder:"NAME" help:"Run only the protocol of this name."`
	Case  string  `placeholder:"TEXT" help:"Run only cases whose names contain this text."`
	Seed  uint64  `default:"1" help:"Random seed of the runs."`
	JSON  bool    `name:"json" help:"Print one JSON object."`
}

// Run simulates the selected cases with the selected protocols and prints a table of their errors.
func (c *membersCompareCmd) Run(ctx context.Context, s streams) error {
	for _, n := range c.Sizes {
		if n < 3 || n > 4000 {
			return fmt.Errorf("--sizes: %d is not within 3 and 4000", n)
		}
	}
	if !(c.Hours >= 0 && c.Hours <= 1e6) {
		return fmt.Errorf("--hours: %v is not within 0 and 1000000", c.Hours)
	}
	protocols := membersim.Protocols()
	if c.Only != "" {
		protocols = slices.DeleteFunc(protocols, func(p membersim.Protocol) bool { return p.Name != c.Only })
		if len(protocols) == 0 {
			return fmt.Errorf("--only: no protocol is called %q", c.Only)
		}
	}
	cases := slices.DeleteFunc(membersim.Cases(c.Sizes, c.Hours), func(k membersim.Case) bool { return !strings.Contains(k.Name, c.Case) })
	if len(cases) == 0 {
		return fmt.Errorf("--case: no case's name contains %q", c.Case)
	}
	rows, err := membersim.Compare(ctx, cases, protocols, c.Seed, s.err)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, map[string]any{"rows": rows})
	}
	return membersim.Table(s.out, rows)
}
