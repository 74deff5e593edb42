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

// SiteLoss is an experiment in which site b of the sites a to c, with four nodes each, is lost under load, with an
// optional further fault.
type SiteLoss struct {
	Seed  uint64  `json:"seed"`
	What  string  `json:"what"`  // key of LossKinds
	Also  string  `json:"also"`  // key of SideFaults
	Share float64 `json:"share"` // load as a share of the capacity of all sites
	AtS   float64 `json:"at_s"`  // time of the loss
	ForS  float64 `json:"for_s"` // duration of the loss
	EndS  float64 `json:"end_s"` // duration of the run
}

// LossKinds describes the ways in which site b can be lost.
var LossKinds = map[string]string{
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

// SideFaults describes the further faults that can accompany the loss of site b.
var SideFaults = map[string]string{
	"":        "nothing",
	"stale":   "discovery tells of changes 5 s late",
	"release": "the nodes of site c are restarted one by one",
	"restart": "a third of the agents are killed, and started again after a second",
	"down":    "discovery is down",
}

// RandomLoss returns a Loss drawn from a seed.
func RandomLoss(seed uint64) SiteLoss {
	rng := rand.New(rand.NewPCG(seed, 21))
	pick := func(m map[string]string) string {
		var keys []string
		for k := range m {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		return keys[rng.IntN(len(keys))]
	}
	l := SiteLoss{Seed: seed, What: pick(LossKinds), Share: []float64{0.55, 0.75, 0.9}[rng.IntN(3)], AtS: 3, ForS: 5 + 2*rng.Float64(), EndS: 18}
	if rng.IntN(2) == 0 {
		l.Also = pick(SideFaults)
	}
	return l
}

// Properties of the simulated sites.
const (
	lossNodes  = 4                      // nodes of each site
	lossCores  = 2                      // cores of each node
	lossWorkMs = 20.0                   // mean work of a request, in ms on a core
	lossRampMs = 4000.0                 // time in ms until a started node has its full capacity
	lossCold   = 0.32                   // share of its capacity with which a node starts
	lossWindow = 500 * time.Millisecond // length of a LossWindow
)

var (
	lossSites   = []string{"a", "b", "c"}
	siteShares  = []float64{0.4, 0.3, 0.3} // shares of the clients, by site
	lossClasses = []requestClass{{"read", 0.6, 1, 300 * time.Millisecond, 600 * time.Millisecond}, {"sub", 0.4, 5, 400 * time.Millisecond, 800 * time.Millisecond}}
)

// requestClass is a class of the experiment's requests; a request served within aim earns worth.
type requestClass struct {
	name          string
	share         float64
	worth         float64
	aim, deadline time.Duration
}

// classOf returns the class of a request that playRequests made, by its name.
func classOf(s *load.Sample) *requestClass {
	return &lossClasses[slices.IndexFunc(lossClasses, func(k requestClass) bool { return k.name == s.Request.Class })]
}

// lossCapacity is the capacity of a site, in requests per second.
const lossCapacity = lossNodes * lossCores * 1000 / lossWorkMs

// outage is a span of time in which a node of site b is unusable, and whether the node starts cold afterwards.
type outage struct {
	node       int     // index of the node in site b
	from, till float64 // seconds since the start of the run
	cold       bool
}

// outages returns when the nodes of site b are unusable. A cut, in which the nodes keep running, is none.
func (l *SiteLoss) outages() (all []outage) {
	for i := range lossNodes {
		d := outage{i, l.AtS, l.AtS + l.ForS, false}
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
			all = append(all, d, outage{i, l.AtS + 4, l.AtS + 6, true})
			continue
		case "cut", "zone-cut": // the nodes keep running
			continue
		}
		all = append(all, d)
	}
	return all
}

// scenario returns the text (TOML) of the scenario with the sites, their nodes and the faults, for the given number of agents.
func (l *SiteLoss) scenario(agents int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed = %d\nseconds = 600\nsites = [\"a\", \"b\", \"c\"]\nagents = %d\n", l.Seed, agents)
	fmt.Fprintf(&b, "[rules]\nramp_ms = %g\ncold_share = %g\n[allow]\nattempts = 4\nretry_after = true\npeers = true\n", lossRampMs, lossCold)
	b.WriteString("[report]\nfields = [\"latency_ms\", \"queue\", \"inflight\"]\n")
	for _, c := range lossClasses {
		fmt.Fprintf(&b, "[[class]]\nname = %q\nwork_ms = %g\ncv = 0.7\naim_ms = %d\ndeadline_ms = %d\nworth = %g\nlate_worth = 0.25\n",
			c.name, lossWorkMs, c.aim.Milliseconds(), c.deadline.Milliseconds(), c.worth)
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
		for _, d := range l.outages() {
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

// problemAt returns the site-planning problem t seconds after the start of the run, as a planner with full knowledge of the faults
// would pose it.
func (l *SiteLoss) problemAt(t float64) site.Problem {
	p := site.Problem{}
	for o, part := range siteShares {
		p.Capacity, p.Remain = append(p.Capacity, lossCapacity), append(p.Remain, 1)
		p.Demand, p.Cross = append(p.Demand, nil), append(p.Cross, make([]float64, len(siteShares)))
		for _, c := range lossClasses {
			p.Demand[o] = append(p.Demand[o], l.rate()*part*c.share)
		}
	}
	for _, c := range lossClasses {
		p.Classes = append(p.Classes, site.Class{Name: c.name, Worth: c.worth})
	}
	share := func(downs []outage) float64 {
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
	p.Remain[1] = share(l.outages())
	if l.Also == "release" {
		var c []outage
		for i := range lossNodes {
			at := l.AtS + 1 + 2*float64(i)
			c = append(c, outage{i, at, at + 0.5, true})
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

// rate returns the mean load in requests per second.
func (l *SiteLoss) rate() float64 { return l.Share * lossCapacity * float64(len(lossSites)) }

// LossRun runs a Loss with agents that are configured in one way.
type LossRun struct {
	Loss     SiteLoss
	Program  string    // path of the agent's program
	Dir      string    // directory for configurations, folders and logs; must exist
	Agents   int       // number of agents
	Members  string    // text of the agents' members file; empty: no membership
	Sites    string    // text of the agents' sites file; empty: no site planning
	Progress io.Writer // receives lines on the progress
}

// SitesFile returns the text of the agents' sites file with the sites of the experiment. way is the agents' way of planning.
func (l *SiteLoss) SitesFile(way string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "way = %q\nheadroom = 0.05\ncross = 0.02\n[return]\ncold_share = %g\nramp_ms = %g\n", way, lossCold, lossRampMs)
	for _, s := range lossSites {
		fmt.Fprintf(&b, "[[site]]\nname = %q\ncapacity = %g\n", s, float64(lossCapacity))
	}
	for _, c := range lossClasses {
		fmt.Fprintf(&b, "[[class]]\nname = %q\nworth = %g\n", c.name, c.worth)
		for i, s := range lossSites {
			fmt.Fprintf(&b, "[[demand]]\nsite = %q\nclass = %q\nper_s = %g\n", s, c.name, l.rate()*siteShares[i]*c.share)
		}
	}
	return b.String()
}

// LossWindow holds the results of half a second of a run.
type LossWindow struct {
	AtS    float64 `json:"at_s"`   // start of the window, in seconds since the start of the run
	Asked  float64 `json:"asked"`  // worth of the requests that were due
	Served float64 `json:"served"` // worth of the served requests; a late one counts a quarter
	Best   float64 `json:"best"`   // worth that a plan with full knowledge would serve
	Got    []int   `json:"got"`    // attempts received by each site
}

// LossResult is the result of a LossRun.
type LossResult struct {
	Loss               SiteLoss       `json:"loss"`
	Windows            []LossWindow   `json:"windows"`
	Served             float64        `json:"served"`        // worth of the served requests from the loss on, as a share of the sum of Best
	Served3To5S        float64        `json:"three_to_five"` // as Served, from 3 s to 5 s after the loss
	After              float64        `json:"after_s"`       // time from the loss until 95 % of the best is served; the whole span if it never is
	Return             float64        `json:"return_s"`      // time from the end of the loss until 95 % of the best is served
	MaxReturnOvershoot float64        `json:"wave"`          // maximum, over the windows of the ramp of site b, of its attempts divided by the usual number times its warmth
	Refused            map[string]int `json:"refused"`       // number of refused requests, by class
	Asked              map[string]int `json:"asked"`         // number of requests, by class
	InTime             map[string]int `json:"in_time"`       // number of requests served within the aim, by class
	Held               bool           `json:"rules_held"`    // whether no rule of the ledger was broken
	Verdict            string         `json:"verdict"`
	States             map[string]int `json:"states,omitempty"` // number of agents by their state of site b, 2 s after its loss
}

// countingLedger is a ledger that also counts attempts by site and time.
type countingLedger struct {
	*ledger.Ledger
	mu       sync.Mutex
	start    time.Time
	attempts [][]int // by window of length lossWindow and by site
}

func (c *countingLedger) AttemptStarted(a ledger.Attempt) func(ledger.Outcome) {
	c.mu.Lock()
	if i := int(time.Since(c.start) / lossWindow); !c.start.IsZero() && i >= 0 && i < 1<<12 {
		for len(c.attempts) <= i {
			c.attempts = append(c.attempts, make([]int, len(lossSites)))
		}
		c.attempts[i][slices.Index(lossSites, a.Zone)]++
	}
	c.mu.Unlock()
	return c.Ledger.AttemptStarted(a)
}

// Run plays the load while the faults of the Loss occur, and compares what is served with what a planner with full knowledge of the
// faults would serve.
func (o LossRun) Run(ctx context.Context) (out *LossResult, err error) {
	l := &o.Loss
	sc, err := standin.ParseScenario("the rig's site", []byte(l.scenario(o.Agents)))
	if err != nil {
		return nil, err
	}
	observed := &countingLedger{Ledger: ledger.New(standin.LedgerRules(sc))}
	opt := Options{Program: o.Program, Dir: o.Dir, Scenario: sc, Members: o.Members, Seed: l.Seed, Observer: observed, Sites: o.Sites}
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
	observed.mu.Lock()
	observed.start = begun
	observed.mu.Unlock()
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
			errs[z] = c.playRequests(ctx, observed.Ledger, agents, l.rate()*siteShares[z], time.Duration(l.EndS*float64(time.Second)), l.Seed*8+uint64(z), done)
		})
	}
	schedule := func(s float64, do func()) {
		all.Go(func() {
			if sleep(ctx, time.Until(begun.Add(time.Duration(s*float64(time.Second))))) == nil {
				do()
			}
		})
	}
	if l.Also == "restart" {
		schedule(l.AtS+1, func() {
			var restarts sync.WaitGroup
			for i, a := range c.Agents {
				if i%3 == int(l.Seed%3) {
					restarts.Go(func() {
						a.Kill()
						if sleep(ctx, time.Second) == nil {
							a.Start()
						}
					})
				}
			}
			restarts.Wait()
		})
	}
	if o.Sites != "" {
		schedule(l.AtS+2, func() {
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
	v := observed.Verdict()
	out.Held, out.Verdict = v.Held(), v.String()
	out.Windows = windows[:min(len(windows), int(l.EndS/lossWindow.Seconds()))]
	if err2 := out.evaluate(observed.attempts); err2 != nil {
		err = errors.Join(err, err2)
	}
	return out, err
}

// evaluate computes the figures of the result from its windows. got holds the attempts by window and site.
func (r *LossResult) evaluate(got [][]int) error {
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
		p := l.problemAt(w.AtS + lossWindow.Seconds()/2)
		plan, err := p.Solve()
		if err != nil {
			return err
		}
		requested := 0.0
		for o := range p.Demand {
			for c, v := range p.Demand[o] {
				requested += v * p.Classes[c].Worth
			}
		}
		// The requested load varies randomly around its mean, so the plan's share of the mean load is applied to the load of this window.
		if w.Best = w.Asked; requested > 0 {
			w.Best *= plan.Worth / requested
		}
		if i < len(got) {
			w.Got = got[i]
		}
	}
	share := func(a, b float64) float64 { return a / max(b, 1e-9) }
	r.Served = share(sum(l.AtS, l.EndS))
	r.Served3To5S = share(sum(l.AtS+3, l.AtS+5))
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
	attempts, n := 0.0, 0.0
	for _, w := range r.Windows {
		if w.AtS >= 1 && w.AtS < l.AtS && w.Got != nil {
			attempts += float64(w.Got[1])
			n++
		}
	}
	for _, w := range r.Windows {
		if w.AtS >= end && w.AtS < end+lossRampMs/1000 && w.Got != nil && attempts > 0 {
			ramp := lossCold + (1-lossCold)*min(1, (w.AtS+lossWindow.Seconds()-end)*1000/lossRampMs)
			r.MaxReturnOvershoot = max(r.MaxReturnOvershoot, float64(w.Got[1])/(attempts/n*ramp))
		}
	}
	return nil
}

// Load plays requests of the classes read and sub (lossClasses) to agents in an open loop until ctx ends, rate per second, and records
// them in a ledger.
func (c *Cluster) Load(ctx context.Context, l *ledger.Ledger, agents []*Agent, rate float64, seed uint64) error {
	return c.playRequests(ctx, l, agents, rate, time.Hour, seed, func(*load.Sample) {})
}

// playRequests plays requests of the classes read and sub (lossClasses) to agents in an open loop for span, rate per second, and records
// them in a ledger. done is called for each request that has ended.
func (c *Cluster) playRequests(ctx context.Context, l *ledger.Ledger, agents []*Agent, rate float64, span time.Duration, seed uint64, done func(*load.Sample)) error {
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
		if rng.Float64() >= k.share {
			k = &lossClasses[1]
		}
		q := &load.Request{Offset: time.Duration(at * float64(time.Second)), Class: k.name, Method: "GET", Target: "/" + k.name, TimeLeft: k.deadline, Origin: n, Seq: n}
		if k.name == "sub" {
			q.Method, q.Body, q.IdempotencyKey = "POST", []byte(`{"for":"a rig"}`), fmt.Sprintf("%016x%016x", rng.Uint64(), uint64(n))
		}
		return q, nil
	}
	_, err := load.Play(ctx, next, load.PlayOptions{Targets: targets, Seed: seed, Observer: &trial.LedgerObserver{Ledger: l, AgentNames: names}, Done: done})
	return err
}
