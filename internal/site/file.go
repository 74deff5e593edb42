package site

import (
	"fmt"
	"slices"

	"lemonrail/internal/strict"
)

// File is a fleet of sites as people write it down (TOML).
type File struct {
	Headroom float64 `toml:"headroom"` // share of what remains that plans leave free
	Cross    float64 `toml:"cross"`    // price of work that crosses, in worth, where no other is named
	Sites    []struct {
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
	f := &File{}
	if err := strict.Decode(file, raw, f); err != nil {
		return nil, Problem{}, err
	}
	names, classes := map[string]int{}, map[string]int{}
	p := Problem{Headroom: f.Headroom}
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
	if err := p.Check(); err != nil {
		return nil, p, fmt.Errorf("%s: %w", file, err)
	}
	return f, p, nil
}

func wrong(file string, raw []byte, table string, n int, key string, v any) error {
	return fmt.Errorf("%s: line %d: %s.%s: %v makes no sense", file, strict.Table(raw, table, n), table, key, v)
}
