package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"lemonrail/internal/site"
)

// sitesPlanCmd computes plans for the loss of sites.
type sitesPlanCmd struct {
	File string   `arg:"" help:"Sites, classes and demand (TOML file); files/sites.toml beside this command's source is a sample."`
	Lost []string `placeholder:"SITE" help:"Sites that are lost; if omitted, one plan is made for the loss of each site."`
	Half []string `placeholder:"SITE" help:"Sites that have lost half of their capacity."`
	JSON bool     `name:"json" help:"Print one JSON object."`
}

// sitePlan holds the plans of all strategies for one case of lost capacity.
type sitePlan struct {
	Remain          []float64             `json:"remain"`      // share of its capacity that each site has left
	Description     string                `json:"what"`        // the loss, such as "lost: a; half of: b"
	PlansByStrategy map[string]*site.Plan `json:"ways"`        // plans by the name of the strategy, see strategies
	Load            []float64             `json:"load"`        // load of each site under the strategy "plan", in requests of mean work per second
	SolveSeconds    float64               `json:"solved_in_s"` // time that the solver took for the strategy "plan", in seconds
}

// Run prints the plans for the given loss. Without one it prints those for the undisturbed state and for the loss of
// each single site.
func (c *sitesPlanCmd) Run(s streams) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	f, p, err := site.ParseFile(c.File, raw)
	if err != nil {
		return err
	}
	siteIndex := map[string]int{}
	var names []string
	for i, x := range f.Sites {
		siteIndex[x.Name] = i
		names = append(names, x.Name)
	}
	remainingShares := func(lost, half []string) ([]float64, error) {
		r := make([]float64, len(names))
		for i := range r {
			r[i] = 1
		}
		for share, list := range map[float64][]string{0: lost, 0.5: half} {
			for _, name := range list {
				i, ok := siteIndex[name]
				if !ok {
					return nil, fmt.Errorf("%s has no site %q; its sites are %s", c.File, name, strings.Join(names, ", "))
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
		if q.Remain, err = remainingShares(x[0], x[1]); err != nil {
			return err
		}
		description := "all is well"
		if len(x[0])+len(x[1]) > 0 {
			description = "lost: " + strings.Join(x[0], " ")
			if len(x[1]) > 0 {
				description += "; half of: " + strings.Join(x[1], " ")
			}
		}
		out := &sitePlan{Remain: q.Remain, Description: description, PlansByStrategy: map[string]*site.Plan{}}
		start := time.Now()
		for _, strategy := range strategies(&q) {
			plan, err := strategy.solve()
			if err != nil {
				return fmt.Errorf("%s, %s: %w", description, strategy.name, err)
			}
			if out.PlansByStrategy[strategy.name] = plan; strategy.name == "plan" {
				out.SolveSeconds = time.Since(start).Seconds()
				out.Load = q.Load(plan)
			}
		}
		plans = append(plans, out)
	}
	if c.JSON {
		return printJSON(s.out, map[string]any{"sites": names, "plans": plans})
	}
	return c.printPlans(s, names, f, plans)
}

// strategy is a named way to distribute the load among the sites that remain.
type strategy struct {
	name  string
	solve func() (*site.Plan, error) // computes the plan
}

// strategies returns the strategy "plan", which looks for the best plan, and the two simple ones that it is
// compared with.
func strategies(q *site.Problem) []strategy {
	return []strategy{{"plan", q.Solve}, {"nearest first", q.SolveNearest}, {"in proportion", q.SolveProportional}}
}

func (c *sitesPlanCmd) printPlans(s streams, names []string, f *site.File, plans []*sitePlan) error {
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, p := range plans {
		fmt.Fprintf(t, "%s\n", p.Description)
		for _, strategy := range strategies(&site.Problem{}) {
			fmt.Fprintf(t, "  worth a second, %s:\t%.1f\n", strategy.name, p.PlansByStrategy[strategy.name].Worth)
		}
		plan := p.PlansByStrategy["plan"]
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
