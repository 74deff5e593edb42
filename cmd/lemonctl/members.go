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

	"lemonrail/internal/member/arena"
	"lemonrail/internal/member/link"
)

// askLimit is how long an agent may take: it answers within a second.
const askLimit = 2 * time.Second

type membersCmd struct {
	watchFlags
	Keeper bool `name:"from-keeper" help:"Print the notes of the one that keeps them for the fleet (duty notes), by the first agent that knows."`
}

// fleetLook is what all agents said at a time.
type fleetLook struct {
	At       time.Time               `json:"at"`
	Views    map[string]*link.Report `json:"views"`              // by control address
	Silent   map[string]string       `json:"silent,omitempty"`   // those that gave none, and why
	Camps    [][]string              `json:"camps"`              // agents of one view each, the most first
	Disagree []string                `json:"disagree,omitempty"` // who holds what for what
}

func (c *membersCmd) Run(ctx context.Context, s streams) error {
	if c.Keeper {
		return keeperNotes(ctx, s, c.Agents)
	}
	last := ""
	showChanges := func(look *fleetLook) error {
		text := look.text()
		if text == last {
			return nil
		}
		last = text
		if c.Watch > 0 {
			fmt.Fprintln(s.out, look.At.Format("15:04:05.0"))
		}
		_, err := fmt.Fprint(s.out, text)
		return err
	}
	return watched[*fleetLook]{
		ask:   lookAt,
		show:  showChanges,
		page:  viewsPage,
		empty: func(l *fleetLook) bool { return len(l.Views) == 0 },
	}.run(ctx, &c.watchFlags, s)
}

// lookAt asks all agents at once.
func lookAt(ctx context.Context, agents []string) *fleetLook {
	l := &fleetLook{At: time.Now()}
	l.Views, l.Silent = askAll[link.Report](ctx, agents, "/api/members", "it keeps no view of the fleet (started without -members)")
	l.compare()
	return l
}

// compare finds who holds the same view, and about whom others differ.
func (l *fleetLook) compare() {
	camps := map[string][]string{}
	held := map[string]map[string][]string{} // by member, by state: the agents that hold it so
	for _, r := range l.Views {
		camps[r.Digest] = append(camps[r.Digest], r.Name)
		for _, m := range r.Members {
			if held[m.Name] == nil {
				held[m.Name] = map[string][]string{}
			}
			held[m.Name][m.State] = append(held[m.Name][m.State], r.Name)
		}
	}
	for _, names := range camps {
		slices.Sort(names)
		l.Camps = append(l.Camps, names)
	}
	slices.SortFunc(l.Camps, func(a, b []string) int {
		if len(a) != len(b) {
			return len(b) - len(a)
		}
		return strings.Compare(a[0], b[0])
	})
	for name, states := range held {
		if len(states) < 2 {
			continue
		}
		var says []string
		for state, by := range states {
			slices.Sort(by)
			says = append(says, state+" by "+short(by))
		}
		slices.Sort(says)
		l.Disagree = append(l.Disagree, name+": "+strings.Join(says, "; "))
	}
	slices.Sort(l.Disagree)
}

// short is a list of names that fits on a line.
func short(names []string) string {
	if len(names) > 8 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:8], " "), len(names)-8)
	}
	return strings.Join(names, " ")
}

func (l *fleetLook) text() string {
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "agent\tzone\tsees itself in\talive\treckons with\tchanges\tnot alive, or not reached")
	var rows []*link.Report
	for _, r := range l.Views {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b *link.Report) int { return strings.Compare(a.Name, b.Name) })
	for _, r := range rows {
		var odd []string
		for _, m := range r.Members {
			switch {
			case m.State != "alive":
				odd = append(odd, m.Name+" "+m.State)
			case len(m.UnreachableFrom) > 0:
				odd = append(odd, fmt.Sprintf("%s not from %s", m.Name, short(m.UnreachableFrom)))
			}
		}
		if len(odd) > 6 {
			odd = append(odd[:6], fmt.Sprintf("and %d more", len(odd)-6))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d of %d\t%d to %d\t%d\t%s\n", r.Name, r.Zone, r.Standing, r.Alive, r.Expected, r.Living, r.Possible, r.Moved, strings.Join(odd, ", "))
	}
	t.Flush()
	var silent []string
	for address, why := range l.Silent {
		silent = append(silent, fmt.Sprintf("%s: %s\n", address, why))
	}
	slices.Sort(silent)
	b.WriteString(strings.Join(silent, ""))
	if len(l.Camps) > 1 {
		fmt.Fprintf(&b, "%d views:\n", len(l.Camps))
		for _, c := range l.Camps {
			fmt.Fprintf(&b, "  %s\n", short(c))
		}
	}
	for _, d := range l.Disagree {
		fmt.Fprintf(&b, "they differ about %s\n", d)
	}
	return b.String()
}

var viewsTemplate = template.Must(template.New("views").Parse(`<!DOCTYPE html><meta charset="utf-8"><title>Views of the fleet</title>
<style>body{font:13px sans-serif;margin:1em}svg{display:block;margin:.2em 0 1em}.alive{fill:#4a9}.suspect{fill:#ec5}.dead{fill:#c33}.left{fill:#99a}.unseen{fill:#ddd}.none{fill:#fff;stroke:#ccc}text{font:10px sans-serif}</style>
<h1>Views of the fleet</h1><p>{{.From}} to {{.To}}, {{.N}} looks. One block for each agent; in it a row for each member as this agent holds it.
Green alive, yellow suspect, red dead, grey left, light unseen. An empty column: the agent gave no view.</p>
{{range .Agents}}<h3>{{.Name}}</h3><svg width="{{.Width}}" height="{{.Height}}">{{range .Rows}}<text x="0" y="{{.Text}}">{{.Name}}</text>{{range .Cells}}<rect class="{{.State}}" x="{{.X}}" y="{{.Y}}" width="{{.W}}" height="9"><title>{{.Title}}</title></rect>{{end}}{{end}}</svg>
{{end}}`))

type viewCell struct {
	State, Title string
	X, Y, W      int
}

type viewRow struct {
	Name  string
	Text  int
	Cells []viewCell
}

type viewBlock struct {
	Name          string
	Width, Height int
	Rows          []viewRow
}

// viewsPage draws looks. Looks of the same state in a row are one cell.
func viewsPage(w io.Writer, looks []*fleetLook) error {
	const left, step, line = 60, 6, 11
	var agents []string
	names := map[string]string{}
	for _, l := range looks {
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
		at := map[string]int{}
		b := viewBlock{Name: names[d], Width: left + step*len(looks)}
		for i, l := range looks {
			if l.Views[d] == nil {
				continue
			}
			for _, m := range l.Views[d].Members {
				row, known := at[m.Name]
				if !known {
					row = len(b.Rows)
					at[m.Name] = row
					b.Rows = append(b.Rows, viewRow{Name: m.Name, Text: line*row + 9})
				}
				cells := &b.Rows[row].Cells
				if n := len(*cells); n > 0 && (*cells)[n-1].State == m.State && (*cells)[n-1].X+(*cells)[n-1].W == left+step*i {
					(*cells)[n-1].W += step
					continue
				}
				*cells = append(*cells, viewCell{m.State, fmt.Sprintf("%s %s from %s", m.Name, m.State, l.At.Format("15:04:05.0")), left + step*i, line * row, step})
			}
		}
		b.Height = line * len(b.Rows)
		blocks = append(blocks, b)
	}
	return viewsTemplate.Execute(w, map[string]any{"From": looks[0].At.Format(time.DateTime), "To": looks[len(looks)-1].At.Format(time.DateTime), "N": len(looks), "Agents": blocks})
}

type membersCompareCmd struct {
	Sizes []int   `default:"7,50,300" help:"Fleets' sizes, in members."`
	Hours float64 `default:"20" help:"Member-hours that each case of loss and stops is played for, in simulated time."`
	Only  string  `placeholder:"NAME" help:"Play this protocol alone."`
	Case  string  `placeholder:"TEXT" help:"Play only cases whose names hold this."`
	Seed  uint64  `default:"1" help:"Of the runs."`
	JSON  bool    `name:"json" help:"Print one JSON object."`
}

func (c *membersCompareCmd) Run(ctx context.Context, s streams) error {
	for _, n := range c.Sizes {
		if n < 3 || n > 4000 {
			return fmt.Errorf("--sizes: %d is not within 3 and 4000", n)
		}
	}
	if !(c.Hours >= 0 && c.Hours <= 1e6) {
		return fmt.Errorf("--hours: %v is not within 0 and a million", c.Hours)
	}
	protocols := arena.Protocols()
	if c.Only != "" {
		protocols = slices.DeleteFunc(protocols, func(p arena.Protocol) bool { return p.Name != c.Only })
		if len(protocols) == 0 {
			return fmt.Errorf("--only: no protocol is called %q", c.Only)
		}
	}
	cases := slices.DeleteFunc(arena.Cases(c.Sizes, c.Hours), func(k arena.Case) bool { return !strings.Contains(k.Name, c.Case) })
	if len(cases) == 0 {
		return fmt.Errorf("--case: no case's name holds %q", c.Case)
	}
	rows, err := arena.Compare(ctx, cases, protocols, c.Seed, s.err)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, map[string]any{"rows": rows})
	}
	return arena.Table(s.out, rows)
}
