package site

import (
	"fmt"
	"slices"
	"time"

	"lemonrail/internal/strict"
)

// File is a fleet of sites as people write it down (TOML): the figures that plans are worked out from, and the agent's
// settings, deploy/sites.toml.
type File struct {
	Headroom float64 `toml:"headroom"` // share of what remains that plans leave free
	Cross    float64 `toml:"cross"`    // price of work that crosses, in worth, where no other is named
	Way      Way     `toml:"way"`      // how plans are worked out
	Load     float64 `toml:"load"`     // share of their capacity that sites are asked for, where no demand is named

	Watch struct {
		Least       int     `toml:"least"`
		FailShare   float64 `toml:"fail_share"`
		LostShare   float64 `toml:"lost_share"`
		Contrast    float64 `toml:"contrast"`
		DoubtMs     float64 `toml:"doubt_ms"`
		LoseMs      float64 `toml:"lose_ms"`
		ClearMs     float64 `toml:"clear_ms"`
		StaleMs     float64 `toml:"stale_ms"`
		Late        float64 `toml:"late"`
		LateLeastMs float64 `toml:"late_least_ms"`
		Reached     float64 `toml:"reached"`
	} `toml:"watch"`
	Return struct {
		ColdShare      float64 `toml:"cold_share"` // 0: as the platform says of a backend
		RampMs         float64 `toml:"ramp_ms"`    // 0: the same
		Slower         float64 `toml:"slower"`
		TrialMs        float64 `toml:"trial_ms"`
		TrialLongestMs float64 `toml:"trial_longest_ms"`
	} `toml:"return"`
	Picks struct {
		Lean  float64 `toml:"lean"`
		Floor float64 `toml:"floor"`
	} `toml:"picks"`

	Sites []struct {
		Name     string  `toml:"name"`
		Capacity float64 `toml:"capacity"` // requests of mean work a second
	} `toml:"site"`
	Classes []struct {
		Name  string  `toml:"name"`
		Worth float64 `toml:"worth"`
	} `toml:"class"`
	Demand []struct {
		Site  string  `toml:"site"` // where the clients are
		Class string  `toml:"class"`
		PerS  float64 `toml:"per_s"`
	} `toml:"demand"`
	Prices []struct {
		From  string  `toml:"from"`
		To    string  `toml:"to"`
		Price float64 `toml:"price"`
	} `toml:"price"`
}

// ParseFile reads and checks a file's text; file is what errors call it.
func ParseFile(file string, raw []byte) (*File, Problem, error) {
	f := DefaultFile()
	if err := strict.Decode(file, raw, f); err != nil {
		return nil, Problem{}, err
	}
	names, classes := map[string]int{}, map[string]int{}
	p := Problem{Headroom: f.Headroom, Way: f.Way}
	for i, s := range f.Sites {
		bad := func(key string, v any) error { return wrong(file, raw, "site", i, key, v) }
		if _, twice := names[s.Name]; s.Name == "" || twice {
			return nil, p, bad("name", fmt.Sprintf("%q stands twice, or is empty", s.Name))
		}
		if !(s.Capacity >= 0) {
			return nil, p, bad("capacity", s.Capacity)
		}
		names[s.Name] = i
		p.Capacity, p.Remain = append(p.Capacity, s.Capacity), append(p.Remain, 1)
	}
	for i, c := range f.Classes {
		if _, twice := classes[c.Name]; c.Name == "" || twice {
			return nil, p, wrong(file, raw, "class", i, "name", fmt.Sprintf("%q stands twice, or is empty", c.Name))
		}
		if !(c.Worth > 0) {
			return nil, p, wrong(file, raw, "class", i, "worth", c.Worth)
		}
		classes[c.Name] = i
		p.Classes = append(p.Classes, Class{c.Name, c.Worth})
	}
	for range names {
		p.Demand = append(p.Demand, make([]float64, len(classes)))
		p.Cross = append(p.Cross, slices.Repeat([]float64{f.Cross}, len(names)))
	}
	for i := range p.Cross {
		p.Cross[i][i] = 0
	}
	for i, d := range f.Demand {
		s, ok := names[d.Site]
		c, known := classes[d.Class]
		switch {
		case !ok:
			return nil, p, wrong(file, raw, "demand", i, "site", fmt.Sprintf("%q is no site", d.Site))
		case !known:
			return nil, p, wrong(file, raw, "demand", i, "class", fmt.Sprintf("%q is no class", d.Class))
		case !(d.PerS >= 0):
			return nil, p, wrong(file, raw, "demand", i, "per_s", d.PerS)
		}
		p.Demand[s][c] += d.PerS
	}
	for i, x := range f.Prices {
		from, ok := names[x.From]
		to, known := names[x.To]
		switch {
		case !ok || !known:
			return nil, p, wrong(file, raw, "price", i, "from, to", fmt.Sprintf("%q to %q are no two sites", x.From, x.To))
		case !(x.Price >= 0):
			return nil, p, wrong(file, raw, "price", i, "price", x.Price)
		}
		p.Cross[from][to] = x.Price
	}
	if len(f.Sites)+len(f.Demand)+len(f.Prices) > 0 {
		if err := p.Check(); err != nil {
			return nil, p, fmt.Errorf("%s: %w", file, err)
		}
	}
	c := DefaultControllerConfig([]string{"a"}, 1, 0)
	c.Classes = []Class{{"any", 1}}
	f.apply(&c)
	if err := c.Check(); err != nil {
		return nil, p, fmt.Errorf("%s: %w", file, err)
	}
	return f, p, nil
}

// DefaultFile is what a file says where it says nothing.
func DefaultFile() *File {
	f, c := &File{}, DefaultControllerConfig(nil, 1, 0)
	f.Headroom, f.Cross, f.Load, f.Way = c.Figures.Headroom, c.Figures.Cross, c.Figures.Load, Best
	w := &f.Watch
	w.Least, w.FailShare, w.LostShare = c.Watch.Least, c.Watch.FailShare, c.Watch.LostShare
	w.Contrast, w.Late, w.Reached = c.Watch.Contrast, c.Watch.Late, c.Watch.Reached
	w.DoubtMs, w.LoseMs, w.ClearMs = inMs(c.Watch.Doubt), inMs(c.Watch.Lose), inMs(c.Watch.Clear)
	w.StaleMs, w.LateLeastMs = inMs(c.Watch.Stale), inMs(c.Watch.LateLeast)
	f.Return.Slower, f.Return.TrialMs, f.Return.TrialLongestMs = c.Ramp.Slower, inMs(c.Trial), inMs(c.Longest)
	f.Picks.Lean, f.Picks.Floor = c.Lean, c.Floor
	return f
}

func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
func ms(v float64) time.Duration   { return time.Duration(v * float64(time.Millisecond)) }

// apply has a file's settings count.
func (f *File) apply(c *ControllerConfig) {
	c.Figures.Headroom, c.Figures.Cross, c.Figures.Load, c.Figures.Way = f.Headroom, f.Cross, f.Load, f.Way
	w := &c.Watch
	w.Least, w.FailShare, w.LostShare = f.Watch.Least, f.Watch.FailShare, f.Watch.LostShare
	w.Contrast, w.Late, w.Reached = f.Watch.Contrast, f.Watch.Late, f.Watch.Reached
	w.Doubt, w.Lose, w.Clear = ms(f.Watch.DoubtMs), ms(f.Watch.LoseMs), ms(f.Watch.ClearMs)
	w.Stale, w.LateLeast = ms(f.Watch.StaleMs), ms(f.Watch.LateLeastMs)
	w.Slot = max(w.Doubt/5, time.Millisecond)
	cold, ramp := c.Ramp.ColdShare, c.Ramp.Time
	if f.Return.ColdShare > 0 {
		cold = f.Return.ColdShare
	}
	if f.Return.RampMs > 0 {
		ramp = ms(f.Return.RampMs)
	}
	c.Ramp = DefaultRamp(cold, ramp)
	c.Ramp.Slower = f.Return.Slower
	c.Trial, c.Longest = ms(f.Return.TrialMs), ms(f.Return.TrialLongestMs)
	c.Lean, c.Floor = f.Picks.Lean, f.Picks.Floor
}

// Controller is the configuration of an agent whose platform names sites and classes, and says from which share and within
// what time a cold backend warms up. Figures of the file have to be of just these sites, and of classes among these;
// a class that the file doesn't name is asked for by nobody, and taken in.
func (f *File) ControllerConfig(p Problem, sites []string, classes []Class, coldShare float64, ramp time.Duration) (ControllerConfig, error) {
	c := DefaultControllerConfig(sites, coldShare, ramp)
	c.Classes = classes
	f.apply(&c)
	if len(f.Sites) > 0 {
		q, err := p.ordered(f, sites, classes)
		if err != nil {
			return c, err
		}
		c.Figures.Problem = q
	}
	return c, c.Check()
}

// ordered is a file's problem with sites and classes in the platform's order.
func (p *Problem) ordered(f *File, sites []string, classes []Class) (*Problem, error) {
	names := map[string]int{}
	for i, s := range f.Sites {
		names[s.Name] = i
	}
	of := map[string]int{}
	for i, c := range p.Classes {
		if !slices.ContainsFunc(classes, func(k Class) bool { return k.Name == c.Name }) {
			return nil, fmt.Errorf("sites: class %q of the file is none of the platform's", c.Name)
		}
		of[c.Name] = i
	}
	at := make([]int, len(sites)) // place in the file
	for i, name := range sites {
		n, known := names[name]
		if !known {
			return nil, fmt.Errorf("sites: site %q of the platform has no figures in the file", name)
		}
		at[i] = n
	}
	if len(f.Sites) != len(sites) {
		return nil, fmt.Errorf("sites: the file has figures of %d sites, the platform names %d: %v", len(f.Sites), len(sites), sites)
	}
	q := &Problem{Headroom: p.Headroom, Way: p.Way}
	for i := range sites {
		q.Capacity, q.Remain = append(q.Capacity, p.Capacity[at[i]]), append(q.Remain, 1)
		row, demand := make([]float64, len(sites)), make([]float64, len(classes))
		for j := range sites {
			row[j] = p.Cross[at[i]][at[j]]
		}
		for c, k := range classes {
			if n, named := of[k.Name]; named {
				demand[c] = p.Demand[at[i]][n]
			}
		}
		q.Cross, q.Demand = append(q.Cross, row), append(q.Demand, demand)
	}
	for _, k := range classes {
		if n, named := of[k.Name]; named {
			k.Worth = p.Classes[n].Worth
		}
		q.Classes = append(q.Classes, k)
	}
	return q, q.Check()
}

func wrong(file string, raw []byte, table string, n int, key string, v any) error {
	return fmt.Errorf("%s: line %d: %s.%s: %v makes no sense", file, strict.Table(raw, table, n), table, key, v)
}
