package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"lemonrail/internal/ledger"
	"lemonrail/internal/load"
	"lemonrail/internal/site"
	"lemonrail/internal/standin"
	"lemonrail/internal/trial"
)

// Loss is a whole site lost under load, and what is wrong beside that. Three sites, a to c, of four nodes each.
type Loss struct {
	Seed  uint64  `json:"seed"`
	What  string  `json:"what"`  // see Losses
	Also  string  `json:"also"`  // see Besides
	Share float64 `json:"share"` // of all capacity that is asked for
	AtS   float64 `json:"at_s"`
	ForS  float64 `json:"for_s"`
	EndS  float64 `json:"end_s"`
}

// Losses are the ways in which site b is lost.
var Losses = map[string]string{
	"silent":     "its machines say nothing",
	"resets":     "its processes reset all connections",
	"refuses":    "its processes are gone, and start cold",
	"errors":     "its processes answer errors at once",
	"cut":        "all agents but its own are cut off from it",
	"zone-cut":   "the agents of site a are cut off from it",
	"half":       "half of its processes are gone, and start cold",
	"one-by-one": "its processes go one after the other, and start cold",
	"flaps":      "it is gone and comes back cold, twice in the time",
}

// Besides are what may be wrong beside it.
var Besides = map[string]string{
	"":        "nothing",
	"stale":   "discovery tells of changes 5 s late",
	"release": "the nodes of site c are restarted one by one",
	"restart": "a third of the agents are killed, and started again after a second",
	"down":    "discovery is down",
}

// RandomLoss is one that a seed chooses.
func RandomLoss(seed uint64) Loss {
	rng := rand.New(rand.NewPCG(seed, 21))
	pick := func(m map[string]string) string {
		var keys []string
		for k := range m {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		return keys[rng.IntN(len(keys))]
	}
	l := Loss{Seed: seed, What: pick(Losses), Share: []float64{0.55, 0.75, 0.9}[rng.IntN(3)], AtS: 3, ForS: 5 + 2*rng.Float64(), EndS: 18}
	if rng.IntN(2) == 0 {
		l.Also = pick(Besides)
	}
	return l
}

const (
	lossNodes  = 4
	lossCores  = 2
	lossWorkMs = 20.0
	lossRampMs = 4000.0
	lossCold   = 0.32
	lossWindow = 500 * time.Millisecond
)

var (
	lossSites   = []string{"a", "b", "c"}
	lossParts   = []float64{0.4, 0.3, 0.3} // of the clients
	lossClasses = []lossClass{{"read", 0.6, 1, 300 * time.Millisecond, 600 * time.Millisecond}, {"sub", 0.4, 5, 400 * time.Millisecond, 800 * time.Millisecond}}
)

type lossClass struct {
	name      string
	part      float64
	worth     float64
	aim, left time.Duration
}

// classOf is a played request's.
func classOf(s *load.Sample) *lossClass {
	return &lossClasses[slices.IndexFunc(lossClasses, func(k lossClass) bool { return k.name == s.Request.Class })]
}

// capacity of a site, in requests a second.
const lossCapacity = lossNodes * lossCores * 1000 / lossWorkMs

// down is when a node of site b is gone or of no use, and whether it comes back cold.
type down struct {
	node       int
	from, till float64
	cold       bool
}

func (l *Loss) downs() (all []down) {
	for i := range lossNodes {
		d := down{i, l.AtS, l.AtS + l.ForS, false}
		switch l.What {
		case "refuses":
			d.cold = true
		case "half":
			if d.cold = true; i >= lossNodes/2 {
				continue
			}
		case "one-by-one":
			d.cold = true
			d.from += float64(i) * 0.75
			d.till += float64(i) * 0.75
		case "flaps":
			d.cold = true
			d.till = l.AtS + 2
			all = append(all, d, down{i, l.AtS + 4, l.AtS + 6, true})
			continue
		case "cut", "zone-cut": // the site lives
			continue
		}
		all = append(all, d)
	}
	return all
}

// scenario is the site's text.
func (l *Loss) scenario(agents int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed = %d\nseconds = 600\nsites = [\"a\", \"b\", \"c\"]\nagents = %d\n", l.Seed, agents)
	fmt.Fprintf(&b, "[rules]\nramp_ms = %g\ncold_share = %g\n[allow]\nattempts = 4\nretry_after = true\npeers = true\n", lossRampMs, lossCold)
	b.WriteString("[report]\nfields = [\"latency_ms\", \"queue\", \"inflight\"]\n")
	for _, c := range lossClasses {
		fmt.Fprintf(&b, "[[class]]\nname = %q\nwork_ms = %g\ncv = 0.7\naim_ms = %d\ndeadline_ms = %d\nworth = %g\nlate_worth = 0.25\n",
			c.name, lossWorkMs, c.aim.Milliseconds(), c.left.Milliseconds(), c.worth)
		if c.name == "sub" {
			b.WriteString("effect = \"keyed\"\ngroup = \"zone\"\nwindow_ms = 2000\n")
		}
	}
	fmt.Fprintf(&b, "[[kind]]\nname = \"plain\"\ncores = %d\nqueue = 16\nconns = 400\nhandshake_ms = 0.5\n", lossCores)
	for _, s := range lossSites {
		fmt.Fprintf(&b, "[[node]]\nname = \"n%s\"\nkind = \"plain\"\nsite = %q\ncount = %d\n", s, s, lossNodes)
	}
	fault := func(what string, at, span, size float64, nodes string, agents ...string) {
		fmt.Fprintf(&b, "[[fault]]\nwhat = %q\nat_s = %g\nfor_s = %g\nnodes = [%q]\n", what, at, span, nodes)
		if size > 0 {
			fmt.Fprintf(&b, "size = %g\n", size)
		}
		for i := range agents {
			agents[i] = fmt.Sprintf("%q", agents[i])
		}
		if len(agents) > 0 {
			fmt.Fprintf(&b, "agents = [%s]\n", strings.Join(agents, ", "))
		}
	}
	switch l.What {
	case "silent":
		fault("silent", l.AtS, l.ForS, 0, "nb")
	case "resets":
		fault("reset_before", l.AtS, l.ForS, 1, "nb")
	case "errors":
		fault("fail_fast", l.AtS, l.ForS, 1, "nb")
	case "cut":
		fault("cut", l.AtS, l.ForS, 0, "nb", "site:a", "site:c")
	case "zone-cut":
		fault("cut", l.AtS, l.ForS, 0, "nb", "site:a")
	default:
		for _, d := range l.downs() {
			fault("restart", d.from, 0, d.till-d.from, fmt.Sprintf("nb-%d", d.node+1))
		}
	}
	switch l.Also {
	case "stale":
		b.WriteString("[[fault]]\nwhat = \"discovery_stale\"\nat_s = 0\nsize = 5\n")
	case "down":
		fmt.Fprintf(&b, "[[fault]]\nwhat = \"discovery_down\"\nat_s = %g\nfor_s = %g\n", l.AtS-1, l.ForS)
	case "release":
		for i := range lossNodes {
			fault("restart", l.AtS+1+2*float64(i), 0, 0.5, fmt.Sprintf("nc-%d", i+1))
		}
	}
	return b.String()
}

// truth is the problem as one who knows all sees it at a time.
func (l *Loss) truth(t float64) site.Problem {
	p := site.Problem{}
	for o, part := range lossParts {
		p.Capacity, p.Remain = append(p.Capacity, lossCapacity), append(p.Remain, 1)
		p.Demand, p.Cross = append(p.Demand, nil), append(p.Cross, make([]float64, len(lossParts)))
		for _, c := range lossClasses {
			p.Demand[o] = append(p.Demand[o], l.rate()*part*c.part)
		}
	}
	for _, c := range lossClasses {
		p.Classes = append(p.Classes, site.Class{Name: c.name, Worth: c.worth})
	}
	share := func(downs []down) float64 {
		left := 0.0
		for i := range lossNodes {
			can := 1.0
			for _, d := range downs {
				switch {
				case d.node != i || t < d.from:
				case t < d.till:
					can = 0
				case d.cold:
					can = min(can, lossCold+(1-lossCold)*min(1, (t-d.till)*1000/lossRampMs))
				}
			}
			left += can / lossNodes
		}
		return left
	}
	p.Remain[1] = share(l.downs())
	if l.Also == "release" {
		var c []down
		for i := range lossNodes {
			at := l.AtS + 1 + 2*float64(i)
			c = append(c, down{i, at, at + 0.5, true})
		}
		p.Remain[2] = share(c)
	}
	if t >= l.AtS && t < l.AtS+l.ForS {
		const never = 1e6
		switch l.What {
		case "cut":
			p.Cross[0][1], p.Cross[2][1] = never, never
		case "zone-cut":
			p.Cross[0][1] = never
		}
	}
	return p
}

func (l *Loss) rate() float64 { return l.Share * lossCapacity * float64(len(lossSites)) }

// LossRun plays a Loss with agents that are set up in one way.
type LossRun struct {
	Loss     Loss
	Program  string
	Dir      string
	Agents   int
	Members  string // the agents' file on members; empty: they keep none
	Sites    string // and on sites; empty: as without any plan
	Progress io.Writer
}

// LossFile is the agents' file on sites, with the figures of the rig and a way of planning.
func (l *Loss) LossFile(way string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "way = %q\nheadroom = 0.05\ncross = 0.02\n[return]\ncold_share = %g\nramp_ms = %g\n", way, lossCold, lossRampMs)
	for _, s := range lossSites {
		fmt.Fprintf(&b, "[[site]]\nname = %q\ncapacity = %g\n", s, float64(lossCapacity))
	}
	for _, c := range lossClasses {
		fmt.Fprintf(&b, "[[class]]\nname = %q\nworth = %g\n", c.name, c.worth)
		for i, s := range lossSites {
			fmt.Fprintf(&b, "[[demand]]\nsite = %q\nclass = %q\nper_s = %g\n", s, c.name, l.rate()*lossParts[i]*c.part)
		}
	}
	return b.String()
}

// LossWindow is half a second of a run.
type LossWindow struct {
	AtS    float64 `json:"at_s"`
	Asked  float64 `json:"asked"`  // worth
	Served float64 `json:"served"` // worth, in time; a quarter of it late
	Best   float64 `json:"best"`   // worth that one who knows all serves
	Got    []int   `json:"got"`    // attempts that came to each site
}

// LossResult is what came of it.
type LossResult struct {
	Loss    Loss           `json:"loss"`
	Windows []LossWindow   `json:"windows"`
	Served  float64        `json:"served"`        // share of the best, from the loss on
	Soon    float64        `json:"three_to_five"` // the same from 3 s after the loss for 2 s
	After   float64        `json:"after_s"`       // from the loss until 95 % of the best; the whole time: never
	Return  float64        `json:"return_s"`      // the same from its end
	Wave    float64        `json:"wave"`          // most attempts at site b in its ramp, over its usual ones times the ramp
	Refused map[string]int `json:"refused"`       // by class
	Asked   map[string]int `json:"asked"`
	InTime  map[string]int `json:"in_time"`
	Held    bool           `json:"rules_held"`
	Verdict string         `json:"verdict"`
	States  map[string]int `json:"states,omitempty"` // what agents held site b for 2 s after its loss
}

// counting is a ledger that counts what comes to which site, and when.
type counting struct {
	*ledger.Ledger
	mu    sync.Mutex
	begun time.Time
	got   [][]int
}

func (c *counting) Began(a ledger.Attempt) func(ledger.Ending) {
	c.mu.Lock()
	if i := int(time.Since(c.begun) / lossWindow); !c.begun.IsZero() && i >= 0 && i < 1<<12 {
		for len(c.got) <= i {
			c.got = append(c.got, make([]int, len(lossSites)))
		}
		c.got[i][slices.Index(lossSites, a.Zone)]++
	}
	c.mu.Unlock()
	return c.Ledger.Began(a)
}

// Run plays it.
func (o LossRun) Run(ctx context.Context) (out *LossResult, err error) {
	l := &o.Loss
	sc, err := standin.ParseScenario("the rig's site", []byte(l.scenario(o.Agents)))
	if err != nil {
		return nil, err
	}
	book := &counting{Ledger: ledger.New(standin.RulesOf(sc))}
	opt := Options{Program: o.Program, Dir: o.Dir, Scenario: sc, Members: o.Members, Seed: l.Seed, Observer: book, Sites: o.Sites}
	c, err := Open(opt)
	if err != nil {
		return nil, err
	}
	closed := false
	defer func() {
		if !closed {
			err = errors.Join(err, c.Close())
		}
	}()
	if err := c.StartAll(30 * time.Second); err != nil {
		return nil, err
	}
	if o.Members != "" {
		if err := c.Until(30*time.Second, c.Agree); err != nil {
			return nil, err
		}
	}
	out = &LossResult{Loss: *l, Refused: map[string]int{}, Asked: map[string]int{}, InTime: map[string]int{}, States: map[string]int{}}
	var mu sync.Mutex
	var windows []LossWindow
	begun := time.Now()
	book.mu.Lock()
	book.begun = begun
	book.mu.Unlock()
	c.Site.Begin()
	done := func(s *load.Sample) {
		class := classOf(s)
		mu.Lock()
		defer mu.Unlock()
		i := int(max(0, s.Due.Sub(begun)) / lossWindow)
		for len(windows) <= i {
			windows = append(windows, LossWindow{AtS: float64(len(windows)) * lossWindow.Seconds()})
		}
		w := &windows[i]
		w.Asked += class.worth
		out.Asked[class.name]++
		switch {
		case s.Outcome == load.Served && s.Ended.Sub(s.Due) <= class.aim:
			w.Served += class.worth
			out.InTime[class.name]++
		case s.Outcome == load.Served:
			w.Served += class.worth / 4
		case s.Outcome == load.Refused:
			out.Refused[class.name]++
		}
	}
	errs := make([]error, len(lossSites))
	var all sync.WaitGroup
	for z := range lossSites {
		var agents []*Agent
		for i, a := range c.Agents {
			if i%len(lossSites) == z {
				agents = append(agents, a)
			}
		}
		all.Go(func() {
			errs[z] = c.send(ctx, book.Ledger, agents, l.rate()*lossParts[z], time.Duration(l.EndS*float64(time.Second)), l.Seed*8+uint64(z), done)
		})
	}
	at := func(s float64, do func()) {
		all.Go(func() {
			if sleep(ctx, time.Until(begun.Add(time.Duration(s*float64(time.Second))))) == nil {
				do()
			}
		})
	}
	if l.Also == "restart" {
		at(l.AtS+1, func() {
			var some sync.WaitGroup
			for i, a := range c.Agents {
				if i%3 == int(l.Seed%3) {
					some.Go(func() {
						a.Kill()
						if sleep(ctx, time.Second) == nil {
							a.Start()
						}
					})
				}
			}
			some.Wait()
		})
	}
	if o.Sites != "" {
		at(l.AtS+2, func() {
			for _, a := range c.Agents {
				if r, err := a.Sites(); err == nil {
					mu.Lock()
					out.States[r.Sites[1].State]++
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	closed = true
	err = errors.Join(append(errs, c.Close())...)
	v := book.Verdict()
	out.Held, out.Verdict = v.Held(), v.String()
	out.Windows = windows[:min(len(windows), int(l.EndS/lossWindow.Seconds()))]
	if err2 := out.judge(book.got); err2 != nil {
		err = errors.Join(err, err2)
	}
	return out, err
}

// judge works the figures out.
func (r *LossResult) judge(got [][]int) error {
	l := &r.Loss
	sum := func(from, till float64) (served, best float64) {
		for _, w := range r.Windows {
			if w.AtS >= from-1e-9 && w.AtS < till-1e-9 {
				served += w.Served
				best += w.Best
			}
		}
		return served, best
	}
	for i := range r.Windows {
		w := &r.Windows[i]
		p := l.truth(w.AtS + lossWindow.Seconds()/2)
		plan, err := p.Solve()
		if err != nil {
			return err
		}
		full := 0.0
		for o := range p.Demand {
			for c, v := range p.Demand[o] {
				full += v * p.Classes[c].Worth
			}
		}
		// What was asked for differs from the mean by chance: the best is a share of it.
		if w.Best = w.Asked; full > 0 {
			w.Best *= plan.Worth / full
		}
		if i < len(got) {
			w.Got = got[i]
		}
	}
	share := func(a, b float64) float64 { return a / max(b, 1e-9) }
	r.Served = share(sum(l.AtS, l.EndS))
	r.Soon = share(sum(l.AtS+3, l.AtS+5))
	until := func(from, till float64) float64 {
		for t := from; t < till; t += lossWindow.Seconds() {
			if s, b := sum(t, t+2*lossWindow.Seconds()); s >= 0.95*b {
				return t - from
			}
		}
		return till - from
	}
	end := l.AtS + l.ForS
	r.After, r.Return = until(l.AtS, end), until(end, l.EndS)
	usual, n := 0.0, 0.0
	for _, w := range r.Windows {
		if w.AtS >= 1 && w.AtS < l.AtS && w.Got != nil {
			usual += float64(w.Got[1])
			n++
		}
	}
	for _, w := range r.Windows {
		if w.AtS >= end && w.AtS < end+lossRampMs/1000 && w.Got != nil && usual > 0 {
			ramp := lossCold + (1-lossCold)*min(1, (w.AtS+lossWindow.Seconds()-end)*1000/lossRampMs)
			r.Wave = max(r.Wave, float64(w.Got[1])/(usual/n*ramp))
		}
	}
	return nil
}

// Load plays requests of the rig's classes to agents in an open loop until ctx ends, and holds them against a ledger.
func (c *Cluster) Load(ctx context.Context, l *ledger.Ledger, agents []*Agent, rate float64, seed uint64) error {
	return c.send(ctx, l, agents, rate, time.Hour, seed, func(*load.Sample) {})
}

// send plays requests of the rig's classes to some agents, in an open loop.
func (c *Cluster) send(ctx context.Context, l *ledger.Ledger, agents []*Agent, rate float64, span time.Duration, seed uint64, done func(*load.Sample)) error {
	names := map[string]string{}
	var targets []netip.AddrPort
	for _, a := range agents {
		targets = append(targets, a.Listen)
		names[a.Listen.String()] = a.Name
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	at, n := 0.0, int64(0)
	next := func() (*load.Request, error) {
		if at += rng.ExpFloat64() / rate; at >= span.Seconds() {
			return nil, io.EOF
		}
		n++
		k := &lossClasses[0]
		if rng.Float64() >= k.part {
			k = &lossClasses[1]
		}
		q := &load.Request{At: time.Duration(at * float64(time.Second)), Class: k.name, Method: "GET", Target: "/" + k.name, Left: k.left, Origin: n, Seq: n}
		if k.name == "sub" {
			q.Method, q.Body, q.Effect = "POST", []byte(`{"for":"a rig"}`), fmt.Sprintf("%016x%016x", rng.Uint64(), uint64(n))
		}
		return q, nil
	}
	_, err := load.Play(ctx, next, load.PlayOptions{Targets: targets, Seed: seed, Observer: &trial.Watch{Ledger: l, Agent: names}, Done: done})
	return err
}
