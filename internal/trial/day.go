package trial

import (
	"context"
	"embed"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"path"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"lemonrail/internal/ledger"
	"lemonrail/internal/load"
	"lemonrail/internal/standin"
	"lemonrail/internal/strict"
)

// Day is a built-in or user-written trial: a site, its faults and the load on it.
type Day struct {
	Name  string `toml:"name"`
	About string `toml:"about"` // one line on what the day shows
	Load  struct {
		Clients    int     `toml:"clients"`     // number of clients in a closed loop; 0: open loop
		OfCapacity float64 `toml:"of_capacity"` // open loop: rate as a share of the site's capacity without faults
		PerSecond  float64 `toml:"per_second"`  // open loop: requests per second
		Seconds    float64 `toml:"seconds"`     // duration of the load
		Requests   int64   `toml:"requests"`    // maximum number of requests; 0: bounded by Seconds only
		Share      float64 `toml:"share"`       // share of requests of the first class; the others are of the second; 0: 0.57
	} `toml:"load"`
	Site standin.Scenario `toml:"site"`
}

//go:embed days/*.toml
var dayFiles embed.FS

// DayNames returns the names of the built-in days.
func DayNames() (names []string) {
	entries, err := dayFiles.ReadDir("days")
	if err != nil {
		panic(err) // embedded in the program
	}
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// ReadDay reads a built-in day by its name, or a file whose name ends with .toml.
func ReadDay(name string) (*Day, error) {
	var d Day
	if strings.HasSuffix(name, ".toml") {
		if err := strict.DecodeFile(name, &d); err != nil {
			return nil, err
		}
	} else {
		raw, err := dayFiles.ReadFile(path.Join("days", name+".toml"))
		if err != nil {
			return nil, fmt.Errorf("no day is called %q; there are %s", name, strings.Join(DayNames(), ", "))
		}
		if err := strict.Decode(name+".toml", raw, &d); err != nil {
			return nil, err
		}
	}
	if err := d.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &d, nil
}

func (d *Day) check() error {
	if err := d.Site.Check(); err != nil {
		return fmt.Errorf("site: %w", err)
	}
	l := &d.Load
	if l.Share == 0 {
		l.Share = 0.57
	}
	switch {
	case !(l.Seconds > 0) || l.Seconds > 3600:
		return fmt.Errorf("load.seconds: %v is not within 0 and 3600", l.Seconds)
	case l.Clients < 0 || l.Clients > load.DefaultMaxInFlight:
		return fmt.Errorf("load.clients: %d is not within 0 and %d", l.Clients, load.DefaultMaxInFlight)
	case l.Clients == 0 && (l.OfCapacity > 0) == (l.PerSecond > 0):
		return fmt.Errorf("load: an open loop needs of_capacity or per_second")
	case !(l.OfCapacity >= 0) || l.OfCapacity > 100 || !(l.PerSecond >= 0) || l.PerSecond > 1e5:
		return fmt.Errorf("load.of_capacity is not within 0 and 100, or per_second not within 0 and 1e5")
	case !(l.Share > 0) || l.Share > 1 || l.Share < 1 && len(d.Site.Classes) < 2:
		return fmt.Errorf("load.share: %v needs two classes, or is not above 0 and at most 1", l.Share)
	case l.Requests < 0:
		return fmt.Errorf("load.requests: %d is negative", l.Requests)
	}
	return nil
}

// plan returns a function that yields the day's requests, drawn from the seed; in an open loop at the times of
// a Poisson process.
func (d *Day) plan(capacity float64, seed uint64) func() (*load.Request, error) {
	rng := rand.New(rand.NewPCG(seed, 2))
	rate := d.Load.PerSecond
	if rate == 0 {
		rate = d.Load.OfCapacity * capacity
	}
	at, n := 0.0, int64(0)
	return func() (*load.Request, error) {
		if d.Load.Requests > 0 && n >= d.Load.Requests {
			return nil, io.EOF
		}
		if d.Load.Clients == 0 {
			if at += rng.ExpFloat64() / rate; at >= d.Load.Seconds {
				return nil, io.EOF
			}
		}
		c := &d.Site.Classes[0]
		if rng.Float64() >= d.Load.Share {
			c = &d.Site.Classes[1]
		}
		q := &load.Request{Offset: time.Duration(at * float64(time.Second)), Class: c.Name, Method: "GET", Target: "/" + c.Name,
			TimeLeft: time.Duration(c.DeadlineMs * float64(time.Millisecond)), Origin: n, Seq: n}
		if c.Effect != "safe" {
			q.Method, q.Body = "POST", []byte(`{"for":"a trial"}`)
			if c.Effect == "keyed" {
				q.IdempotencyKey = fmt.Sprintf("%016x%016x", rng.Uint64(), uint64(n))
			}
		}
		n++
		return q, nil
	}
}

// Counts counts the requests of a class, a window or a whole day by how they ended for the client.
type Counts struct {
	Requests    int64 `json:"requests"`
	InTime      int64 `json:"in_time"`      // served within the aim
	Late        int64 `json:"late"`         // served after the aim
	Refused     int64 `json:"refused"`      // refused by the agent
	RefusedFree int64 `json:"refused_free"` // refused while a node had a free slot
	Failed      int64 `json:"failed"`       // other answers, such as 500
	Lost        int64 `json:"lost"`         // no complete answer, or none in time
}

func (p *Counts) add(o *Counts) {
	p.Requests += o.Requests
	p.InTime += o.InTime
	p.Late += o.Late
	p.Refused += o.Refused
	p.RefusedFree += o.RefusedFree
	p.Failed += o.Failed
	p.Lost += o.Lost
}

// ratio returns n divided by of, or 0 if of is 0.
func ratio(n, of int64) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// Outcome is the result of a day.
type Outcome struct {
	Day       string             `json:"day"`
	Seed      uint64             `json:"seed"`
	Agents    int                `json:"agents"`     // number of agents
	Nodes     int                `json:"nodes"`      // number of nodes
	RatePerS  float64            `json:"rate_per_s"` // requests per second over the day
	Counts                       // all requests
	Worth     float64            `json:"worth"`    // share of the requests' full worth that was earned, by class and lateness
	Classes   map[string]*Counts `json:"classes"`  // by name of the class
	WindowS   float64            `json:"window_s"` // length of a window in seconds
	Windows   []*Counts          `json:"windows"`  // by the time at which requests were due
	Latency   load.Quantiles     `json:"latency"`  // of all served requests
	RulesHeld bool               `json:"rules_held"`
	Verdict   string             `json:"verdict"`        // the observer's verdict as text
	Site      []string           `json:"site,omitempty"` // log of the site's faults and their consequences
}

// RefusedWithFreeSlot returns the share of all requests that were refused while a node had a free slot.
func (o *Outcome) RefusedWithFreeSlot() float64 { return ratio(o.RefusedFree, o.Requests) }

// DayOptions configures how a day is played.
type DayOptions struct {
	Dir      string        // directory for the agents' configurations; must exist
	Program  string        // path of the agent's program; empty: agents run within this process
	Log      io.Writer     // the agents' logs; nil: discarded
	Seed     uint64        // 0: the seed of the day
	Window   time.Duration // window of the outcome; 0: 1 s
	OnResult func()        // called for each request; nil: no call
}

// PlayDay plays a day against real agents.
func PlayDay(ctx context.Context, d *Day, o DayOptions) (*Outcome, error) {
	sc := d.Site
	if o.Seed != 0 {
		sc.Seed = o.Seed
	}
	if o.Window == 0 {
		o.Window = time.Second
	}
	out := &Outcome{Day: d.Name, Seed: sc.Seed, Agents: sc.Agents, Classes: map[string]*Counts{}, WindowS: o.Window.Seconds()}
	for _, n := range sc.Nodes {
		out.Nodes += n.Count
	}
	var site atomic.Pointer[standin.Site]
	// Count free slots in the client's goroutine as soon as it has its refusal: later the nodes' load may have changed.
	free := &freeSlotsAtRefusal{site: &site, free: map[string]bool{}}
	var begun time.Time
	earned, requested := 0.0, 0.0
	each := func(s *load.Sample) {
		if begun.IsZero() {
			begun = s.Due
		}
		c := sc.Classes[slices.IndexFunc(sc.Classes, func(c standin.ClassSpec) bool { return c.Name == s.Request.Class })]
		p := Counts{Requests: 1}
		requested += c.Worth
		switch s.Outcome {
		case load.Served:
			if s.Ended.Sub(s.Due) <= time.Duration(c.AimMs*float64(time.Millisecond)) {
				p.InTime, earned = 1, earned+c.Worth
			} else {
				p.Late, earned = 1, earned+c.Worth*c.LateWorth
			}
		case load.Refused:
			p.Refused = 1
			if free.take(s.ID) {
				p.RefusedFree = 1
			}
		case load.Failed:
			p.Failed = 1
		default:
			p.Lost = 1
		}
		out.Counts.add(&p)
		if out.Classes[c.Name] == nil {
			out.Classes[c.Name] = &Counts{}
		}
		out.Classes[c.Name].add(&p)
		i := int(max(0, s.Due.Sub(begun)) / o.Window)
		for len(out.Windows) <= i {
			out.Windows = append(out.Windows, &Counts{})
		}
		out.Windows[i].add(&p)
		if o.OnResult != nil {
			o.OnResult()
		}
	}
	var next func() (*load.Request, error)
	play := load.PlayOptions{Seed: sc.Seed, MaxInFlight: load.DefaultMaxInFlight}
	if d.Load.Clients > 0 {
		play.MaxDuration = time.Duration(d.Load.Seconds * float64(time.Second))
	}
	r, err := Run(ctx, Options{Scenario: &sc, Dir: o.Dir, Program: o.Program, Log: o.Log, Window: o.Window, Clients: d.Load.Clients,
		OnOpen: func(s *standin.Site) {
			site.Store(s)
			next = d.plan(s.Capacity(map[string]float64{sc.Classes[0].Name: d.Load.Share, sc.Classes[len(sc.Classes)-1].Name: 1 - d.Load.Share}), sc.Seed)
		},
		Next: func() (*load.Request, error) { return next() }, Play: play, OnResult: each, OnRefused: free.record})
	if r == nil {
		return nil, err
	}
	if requested > 0 {
		out.Worth = earned / requested
	}
	out.RatePerS, out.Latency, out.Site = r.RatePerS, r.All, r.Site
	if v, ok := r.Verdict.(*ledger.Verdict); ok {
		out.RulesHeld, out.Verdict = v.Held(), v.String()
	}
	return out, err
}

// freeSlotsAtRefusal records for each refused request (by id) whether a node had a free slot when the client got the refusal. An
// entry is removed when the request is counted in the outcome.
type freeSlotsAtRefusal struct {
	site *atomic.Pointer[standin.Site]
	mu   sync.Mutex
	free map[string]bool
}

func (f *freeSlotsAtRefusal) record(id string) {
	free := f.site.Load().FreeSlots() > 0
	f.mu.Lock()
	defer f.mu.Unlock()
	f.free[id] = free
}

func (f *freeSlotsAtRefusal) take(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer delete(f.free, id)
	return f.free[id]
}

// Text writes outcomes as a text table, one line each.
func Text(w io.Writer, outs []*Outcome) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tab, "day\tseed\tagents x nodes\trequests\t/s\tin time %\tlate %\trefused %\twith room %\tfailed %\tlost\tworth %\tp50 ms\tp99 ms\trules\t")
	pct := func(n, of int64) float64 { return math.Round(10000*ratio(n, of)) / 100 }
	for _, o := range outs {
		rules := "held"
		if !o.RulesHeld {
			rules = "BROKEN"
		}
		fmt.Fprintf(tab, "%s\t%d\t%d x %d\t%d\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%.1f\t%.1f\t%.1f\t%s\t\n", o.Day, o.Seed, o.Agents, o.Nodes, o.Requests, o.RatePerS,
			pct(o.InTime, o.Requests), pct(o.Late, o.Requests), pct(o.Refused, o.Requests), pct(o.RefusedFree, o.Requests), pct(o.Failed, o.Requests), o.Lost,
			100*o.Worth, o.Latency.P50, o.Latency.P99, rules)
	}
	return tab.Flush()
}
