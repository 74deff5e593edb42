package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"lemonrail/internal/site"
)

type sitesPlanCmd struct {
	File string   `arg:"" help:"Sites, classes and what is asked for (TOML); files/sites.toml beside this command's source is a sample."`
	Lost []string `placeholder:"SITE" help:"Sites that are lost; each alone if left out."`
	Half []string `placeholder:"SITE" help:"Sites of which half is left."`
	JSON bool     `name:"json" help:"Print one JSON object."`
}

// sitePlan is what the ways make of one loss.
type sitePlan struct {
	Remain  []float64             `json:"remain"`
	What    string                `json:"what"`
	Ways    map[string]*site.Plan `json:"ways"`
	Load    []float64             `json:"load"` // of each site, by the plan
	Seconds float64               `json:"solved_in_s"`
}

func (c *sitesPlanCmd) Run(s streams) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	f, p, err := site.ParseFile(c.File, raw)
	if err != nil {
		return err
	}
	at := map[string]int{}
	var names []string
	for i, x := range f.Sites {
		at[x.Name] = i
		names = append(names, x.Name)
	}
	remain := func(lost, half []string) ([]float64, error) {
		r := make([]float64, len(names))
		for i := range r {
			r[i] = 1
		}
		for share, list := range map[float64][]string{0: lost, 0.5: half} {
			for _, name := range list {
				i, ok := at[name]
				if !ok {
					return nil, fmt.Errorf("%s names no site %q; there are %s", c.File, name, strings.Join(names, ", "))
				}
				r[i] = share
			}
		}
		return r, nil
	}
	cases := [][2][]string{{c.Lost, c.Half}}
	if len(c.Lost)+len(c.Half) == 0 {
		cases = [][2][]string{{}}
		for _, name := range names {
			cases = append(cases, [2][]string{{name}})
		}
	}
	var plans []*sitePlan
	for _, x := range cases {
		q := p
		if q.Remain, err = remain(x[0], x[1]); err != nil {
			return err
		}
		what := "all is well"
		if len(x[0])+len(x[1]) > 0 {
			what = "lost: " + strings.Join(x[0], " ")
			if len(x[1]) > 0 {
				what += "; half of: " + strings.Join(x[1], " ")
			}
		}
		out := &sitePlan{Remain: q.Remain, What: what, Ways: map[string]*site.Plan{}}
		begun := time.Now()
		for _, way := range siteWays(&q) {
			plan, err := way.work()
			if err != nil {
				return fmt.Errorf("%s, %s: %w", what, way.name, err)
			}
			if out.Ways[way.name] = plan; way.name == "plan" {
				out.Seconds = time.Since(begun).Seconds()
				out.Load = q.Load(plan)
			}
		}
		plans = append(plans, out)
	}
	if c.JSON {
		return printJSON(s.out, map[string]any{"sites": names, "plans": plans})
	}
	return c.text(s, names, f, plans)
}

type siteWay struct {
	name string
	work func() (*site.Plan, error)
}

func siteWays(q *site.Problem) []siteWay {
	return []siteWay{{"plan", q.Solve}, {"nearest first", q.Nearest}, {"in proportion", q.Spill}}
}

func (c *sitesPlanCmd) text(s streams, names []string, f *site.File, plans []*sitePlan) error {
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, p := range plans {
		fmt.Fprintf(t, "%s\n", p.What)
		for _, way := range siteWays(&site.Problem{}) {
			fmt.Fprintf(t, "  worth a second, %s:\t%.1f\n", way.name, p.Ways[way.name].Worth)
		}
		plan := p.Ways["plan"]
		for o, name := range names {
			var to, admit []string
			for i, share := range plan.To[o] {
				if share > 0.0005 {
					to = append(to, fmt.Sprintf("%s %.0f %%", names[i], 100*share))
				}
			}
			for i, share := range plan.Admit[o] {
				if share < 0.9995 {
					admit = append(admit, fmt.Sprintf("%s %.0f %%", f.Classes[i].Name, 100*share))
				}
			}
			if len(admit) == 0 {
				admit = []string{"all"}
			}
			fmt.Fprintf(t, "  clients of %s\tgo to %s\ttaken in: %s\tload %.1f of %.1f\n", name, strings.Join(to, ", "), strings.Join(admit, ", "), p.Load[o],
				f.Sites[o].Capacity*p.Remain[o])
		}
	}
	return t.Flush()
}
