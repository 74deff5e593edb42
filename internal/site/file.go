package site

import (
	"fmt"
	"slices"
	"time"

	"lemonrail/internal/strict"
)

// File is the description of a fleet of sites in TOML: the figures that plans are computed from, and the settings for
// agents. deploy/sites.toml is an example that holds the defaults.
type File struct {
	Headroom float64    `toml:"headroom"` // share of the remaining capacity that plans leave free
	Cross    float64    `toml:"cross"`    // price of work that crosses between sites without a price of their own, in worth
	Way      PlanMethod `toml:"way"`      // method by which plans are computed
	Load     float64    `toml:"load"`     // demand at each site as a share of its capacity, where no demand is given

	// The fields of Config: Least is MinFailing, Late is LateFactor, LateLeastMs is MinLate, Reached is ReachedShare.
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
	// How a lost site returns.
	Return struct {
		ColdShare      float64 `toml:"cold_share"`       // share of its load at the start of its return; 0: the platform's for a single cold backend
		RampMs         float64 `toml:"ramp_ms"`          // time until it has all of its load; 0: the platform's ramp time for a single cold backend
		Slower         float64 `toml:"slower"`           // Ramp.Slowdown
		TrialMs        float64 `toml:"trial_ms"`         // ControllerConfig.TrialInterval
		TrialLongestMs float64 `toml:"trial_longest_ms"` // ControllerConfig.MaxTrialInterval
	} `toml:"return"`
	// How backends are picked while not all sites are well.
	Picks struct {
		Lean  float64 `toml:"lean"`  // ControllerConfig.DoubtedShare
		Floor float64 `toml:"floor"` // ControllerConfig.MinShare
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
		Site  string  `toml:"site"` // the site that the clients are at
		Class string  `toml:"class"`
		PerS  float64 `toml:"per_s"` // requests of the mean cost a second
	} `toml:"demand"`
	Prices []struct {
		From  string  `toml:"from"`
		To    string  `toml:"to"`
		Price float64 `toml:"price"` // of one request sent from the site From to the site To, in worth
	} `toml:"price"`
}

// ParseFile decodes and checks the text of a file, and returns it with the problem that it describes; file is its name
// in errors.
func ParseFile(file string, raw []byte) (*File, Problem, error) {
	f := DefaultFile()
	if err := strict.Decode(file, raw, f); err != nil {
		return nil, Problem{}, err
	}
	siteIndex, classIndex := map[string]int{}, map[string]int{}
	p := Problem{Headroom: f.Headroom, Method: f.Way}
	for i, s := range f.Sites {
		invalid := func(key string, v any) error { return invalidValue(file, raw, "site", i, key, v) }
		if _, twice := siteIndex[s.Name]; s.Name == "" || twice {
			return nil, p, invalid("name", fmt.Sprintf("%q is a duplicate or empty", s.Name))
		}
		if !(s.Capacity >= 0) {
			return nil, p, invalid("capacity", s.Capacity)
		}
		siteIndex[s.Name] = i
		p.Capacity, p.Remain = append(p.Capacity, s.Capacity), append(p.Remain, 1)
	}
	for i, c := range f.Classes {
		if _, twice := classIndex[c.Name]; c.Name == "" || twice {
			return nil, p, invalidValue(file, raw, "class", i, "name", fmt.Sprintf("%q is a duplicate or empty", c.Name))
		}
		if !(c.Worth > 0) {
			return nil, p, invalidValue(file, raw, "class", i, "worth", c.Worth)
		}
		classIndex[c.Name] = i
		p.Classes = append(p.Classes, Class{c.Name, c.Worth})
	}
	for range siteIndex {
		p.Demand = append(p.Demand, make([]float64, len(classIndex)))
		p.Cross = append(p.Cross, slices.Repeat([]float64{f.Cross}, len(siteIndex)))
	}
	for i := range p.Cross {
		p.Cross[i][i] = 0
	}
	for i, d := range f.Demand {
		s, ok := siteIndex[d.Site]
		c, known := classIndex[d.Class]
		switch {
		case !ok:
			return nil, p, invalidValue(file, raw, "demand", i, "site", fmt.Sprintf("%q is not a site of this file", d.Site))
		case !known:
			return nil, p, invalidValue(file, raw, "demand", i, "class", fmt.Sprintf("%q is not a class of this file", d.Class))
		case !(d.PerS >= 0):
			return nil, p, invalidValue(file, raw, "demand", i, "per_s", d.PerS)
		}
		p.Demand[s][c] += d.PerS
	}
	for i, x := range f.Prices {
		from, ok := siteIndex[x.From]
		to, known := siteIndex[x.To]
		switch {
		case !ok || !known:
			return nil, p, invalidValue(file, raw, "price", i, "from, to", fmt.Sprintf("%q and %q are not both sites of this file", x.From, x.To))
		case !(x.Price >= 0):
			return nil, p, invalidValue(file, raw, "price", i, "price", x.Price)
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

// DefaultFile returns the settings of an empty file.
func DefaultFile() *File {
	f, c := &File{}, DefaultControllerConfig(nil, 1, 0)
	f.Headroom, f.Cross, f.Load, f.Way = c.Figures.Headroom, c.Figures.Cross, c.Figures.Load, MaxWorth
	w := &f.Watch
	w.Least, w.FailShare, w.LostShare = c.Watch.MinFailing, c.Watch.FailShare, c.Watch.LostShare
	w.Contrast, w.Late, w.Reached = c.Watch.Contrast, c.Watch.LateFactor, c.Watch.ReachedShare
	w.DoubtMs, w.LoseMs, w.ClearMs = toMs(c.Watch.DoubtWindow), toMs(c.Watch.LoseAfter), toMs(c.Watch.ClearAfter)
	w.StaleMs, w.LateLeastMs = toMs(c.Watch.StaleAfter), toMs(c.Watch.MinLate)
	f.Return.Slower, f.Return.TrialMs, f.Return.TrialLongestMs = c.Ramp.Slowdown, toMs(c.TrialInterval), toMs(c.MaxTrialInterval)
	f.Picks.Lean, f.Picks.Floor = c.DoubtedShare, c.MinShare
	return f
}

func toMs(d time.Duration) float64   { return float64(d) / float64(time.Millisecond) }
func fromMs(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// apply copies the settings of the file into c.
func (f *File) apply(c *ControllerConfig) {
	c.Figures.Headroom, c.Figures.Cross, c.Figures.Load, c.Figures.Method = f.Headroom, f.Cross, f.Load, f.Way
	w := &c.Watch
	w.MinFailing, w.FailShare, w.LostShare = f.Watch.Least, f.Watch.FailShare, f.Watch.LostShare
	w.Contrast, w.LateFactor, w.ReachedShare = f.Watch.Contrast, f.Watch.Late, f.Watch.Reached
	w.DoubtWindow, w.LoseAfter, w.ClearAfter = fromMs(f.Watch.DoubtMs), fromMs(f.Watch.LoseMs), fromMs(f.Watch.ClearMs)
	w.StaleAfter, w.MinLate = fromMs(f.Watch.StaleMs), fromMs(f.Watch.LateLeastMs)
	w.Slot = max(w.DoubtWindow/5, time.Millisecond)
	cold, ramp := c.Ramp.ColdShare, c.Ramp.Duration
	if f.Return.ColdShare > 0 {
		cold = f.Return.ColdShare
	}
	if f.Return.RampMs > 0 {
		ramp = fromMs(f.Return.RampMs)
	}
	c.Ramp = DefaultRamp(cold, ramp)
	c.Ramp.Slowdown = f.Return.Slower
	c.TrialInterval, c.MaxTrialInterval = fromMs(f.Return.TrialMs), fromMs(f.Return.TrialLongestMs)
	c.DoubtedShare, c.MinShare = f.Picks.Lean, f.Picks.Floor
}

// ControllerConfig returns the configuration for an agent whose platform has the given sites and classes, and whose
// cold backends warm up from coldShare within ramp; p is the problem that ParseFile returned with f. If the file has
// figures of sites, they must be for exactly these sites, and for classes among these; a class that the file doesn't
// name has no demand and is always admitted.
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

// ordered returns the file's problem with sites and classes in the platform's order.
func (p *Problem) ordered(f *File, sites []string, classes []Class) (*Problem, error) {
	siteIndex := map[string]int{}
	for i, s := range f.Sites {
		siteIndex[s.Name] = i
	}
	classIndex := map[string]int{}
	for i, c := range p.Classes {
		if !slices.ContainsFunc(classes, func(k Class) bool { return k.Name == c.Name }) {
			return nil, fmt.Errorf("sites: the file's class %q is not a class of the platform", c.Name)
		}
		classIndex[c.Name] = i
	}
	fileIndex := make([]int, len(sites)) // index in the file of each site
	for i, name := range sites {
		n, known := siteIndex[name]
		if !known {
			return nil, fmt.Errorf("sites: site %q of the platform has no figures in the file", name)
		}
		fileIndex[i] = n
	}
	if len(f.Sites) != len(sites) {
		return nil, fmt.Errorf("sites: the file has figures of %d sites, the platform has %d: %v", len(f.Sites), len(sites), sites)
	}
	q := &Problem{Headroom: p.Headroom, Method: p.Method}
	for i := range sites {
		q.Capacity, q.Remain = append(q.Capacity, p.Capacity[fileIndex[i]]), append(q.Remain, 1)
		row, demand := make([]float64, len(sites)), make([]float64, len(classes))
		for j := range sites {
			row[j] = p.Cross[fileIndex[i]][fileIndex[j]]
		}
		for c, k := range classes {
			if n, named := classIndex[k.Name]; named {
				demand[c] = p.Demand[fileIndex[i]][n]
			}
		}
		q.Cross, q.Demand = append(q.Cross, row), append(q.Demand, demand)
	}
	for _, k := range classes {
		if n, named := classIndex[k.Name]; named {
			k.Worth = p.Classes[n].Worth
		}
		q.Classes = append(q.Classes, k)
	}
	return q, q.Check()
}

// invalidValue returns an error for a key of the n-th table of a kind, with the line of that table in the file.
func invalidValue(file string, raw []byte, table string, n int, key string, v any) error {
	return fmt.Errorf("%s: line %d: %s.%s: invalid value %v", file, strict.TableLine(raw, table, n), table, key, v)
}
