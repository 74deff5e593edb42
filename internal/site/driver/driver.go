// Package driver drives internal/site in an agent: it tells it what passes through the loop and what the fleet's members
// say, has plans worked out beside the service, and hands its orders to the decision module. It decides nothing.
//
// All that it knows belongs to the loop's goroutine, but for the plan that is being worked out: one at a time, on a
// goroutine of its own. Run wakes the loop ten times a second.
//
// Bounds: what is known of a backend is kept while it is listed; internal/site's own.
package driver

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/core"
	"lemonrail/internal/figures"
	"lemonrail/internal/member"
	"lemonrail/internal/site"
)

const (
	tickEvery = 100 * time.Millisecond
	lookEvery = 500 * time.Millisecond // between two looks at the members
	noteEvery = 400 * time.Millisecond // between two notes to them, but for bad news
)

// Members is a membership, as far as sites rest on it. Its functions never wait.
type Members interface {
	Look(func(member.View))
	Say([]byte) bool
}

// Options say what a Driver is made from.
type Options struct {
	Controller site.ControllerConfig
	Own        int // this agent's site; -1: none
	Seed       uint64
	Members    Members // nil: none
	Log        *slog.Logger
	// Hand takes a zone out by hand or puts it back, at all processes of the agent, and waits until it is so.
	Hand func(ctx context.Context, zone int, out bool) error
}

// Driver is one agent's.
type Driver struct {
	o          Options
	loop       *core.Loop
	controller *site.Controller
	listed     map[string]balance.Backend
	late       [][]site.Late // by site
	ended      []uint64      // attempts that ended, by site
	byHand     []int
	solves     bool // a plan is being worked out
	note       []byte
	noted      time.Duration
	looked     time.Duration
	log        []Happened // the last ones

	lost, doubted, away atomic.Int64
	ramps               atomic.Pointer[map[string]float64]
	plans, fails        atomic.Int64
}

// Happened is a change that staff are shown.
type Happened struct {
	At    time.Time `json:"at"`
	Site  string    `json:"site"`
	From  string    `json:"from"`
	To    string    `json:"to"`
	Cause string    `json:"cause,omitempty"`
}

const happenedMost = 256

// New makes a driver and has it watch the loop, which must not run yet.
func New(o Options, l *core.Loop) (*Driver, error) {
	s, err := site.NewController(o.Controller, o.Own, o.Seed, l.Now())
	if err != nil {
		return nil, err
	}
	p := &Driver{o: o, loop: l, controller: s, listed: map[string]balance.Backend{}, late: make([][]site.Late, len(o.Controller.Watch.Sites)),
		ended: make([]uint64, len(o.Controller.Watch.Sites))}
	l.Watcher = p
	return p, nil
}

// Arrived takes that a request has come.
func (p *Driver) Arrived(_ int, repeat bool) { p.controller.Arrived(p.loop.Now(), repeat) }

// Listed takes a list as the module gets it.
func (p *Driver) Listed(list balance.List) {
	if list.Kind == balance.ListFailed {
		return
	}
	if list.Kind != balance.ListDelta {
		clear(p.listed)
	}
	for _, b := range list.Backends {
		if b.State == balance.Gone {
			delete(p.listed, b.ID)
		} else {
			p.listed[b.ID] = b
		}
	}
	n := len(p.late)
	listed, capacity := make([]site.Listed, n), make([]float64, n)
	for _, b := range p.listed {
		if b.Zone < 0 || b.Zone >= n {
			continue
		}
		l := &listed[b.Zone]
		l.Backends++
		if b.State == balance.Up {
			l.Up++
			if w := p.controller.Watch(); w.State(b.Zone) == site.Lost && b.Started > w.Since(b.Zone) {
				l.Started++
			}
			capacity[b.Zone] += max(b.Weight, 0)
		}
	}
	p.controller.List(p.loop.Now(), listed, capacity)
}

// Ended takes how an attempt ended.
func (p *Driver) Ended(backend string, r core.Response, latency time.Duration) {
	b, known := p.listed[backend]
	if !known {
		return
	}
	kind := site.OK
	switch r.Result {
	case balance.OK, balance.Full:
	case balance.Errored:
		kind = site.Errored
	case balance.Reset:
		kind = site.Reset
	case balance.TimedOut:
		kind = site.Silent
	case balance.ConnectFailed:
		if kind = site.Silent; r.Refused {
			kind = site.Refused
		}
	default: // withdrawn, or never sent
		return
	}
	if b.Zone >= 0 && b.Zone < len(p.ended) {
		p.ended[b.Zone]++
	}
	p.controller.Watch().Outcome(p.loop.Now(), b.Zone, backend, kind, latency)
}

// Run wakes the loop until ctx ends.
func (p *Driver) Run(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.loop.Post(p.turn)
		case <-ctx.Done():
			return nil
		}
	}
}

// turn brings all up to date. It belongs to the loop.
func (p *Driver) turn() {
	now, w := p.loop.Now(), p.controller.Watch()
	p.hands(now)
	for i := range p.late {
		p.late[i] = p.late[i][:0]
	}
	p.loop.Pending(func(backend string, sent time.Time) {
		if b, known := p.listed[backend]; known && b.Zone >= 0 && b.Zone < len(p.late) {
			if at := p.loop.At(sent); w.IsLate(now, at) {
				p.late[b.Zone] = append(p.late[b.Zone], site.Late{Backend: backend, Sent: at})
			}
		}
	})
	for i := range p.late {
		w.Pending(now, i, p.late[i])
	}
	order, moved := p.controller.Tick(now)
	if moved {
		p.give(&order)
	}
	for _, c := range p.controller.Changes() {
		p.tell(c)
	}
	p.count(w)
	ramps := map[string]float64{}
	for i, share := range p.controller.Ramps() {
		ramps[p.o.Controller.Watch.Sites[i]] = share
	}
	p.ramps.Store(&ramps)
	p.solve()
	p.members(now)
}

// give hands an order to the module.
func (p *Driver) give(o *site.Order) {
	for _, zone := range o.Cold { // before the order: from then on its backends are taken for cold
		p.loop.Restarted(zone)
	}
	e := balance.Sites{Share: o.Share, Planned: o.Planned(), Admit: o.Admit, Trial: o.Trial, Gentle: o.Gentle}
	if o.Planned() {
		e.Back = func(class int) time.Duration { return p.controller.Back(p.loop.Now(), class) }
	}
	p.loop.Event(e)
}

// hands has what staff did to sites count as evidence.
func (p *Driver) hands(now time.Duration) {
	out := p.loop.ZonesOut()
	for i := range p.late {
		if was, is := slices.Contains(p.byHand, i), slices.Contains(out, i); was != is {
			p.controller.Watch().ByHand(now, i, is)
		}
	}
	p.byHand = out
}

func (p *Driver) tell(c site.Change) {
	h := Happened{At: time.Now(), Site: p.o.Controller.Watch.Sites[c.Site], From: c.From.String(), To: c.To.String(), Cause: c.Cause.String()}
	p.log = append(p.log, h)
	p.log = p.log[max(0, len(p.log)-happenedMost):]
	p.o.Log.Info("site", "site", h.Site, "was", h.From, "is", h.To, "cause", h.Cause)
}

func (p *Driver) count(w *site.Watch) {
	var n [3]int64
	for i := range p.late {
		switch w.State(i) {
		case site.Lost:
			n[0]++
		case site.Doubted:
			n[1]++
		case site.Cut:
			n[2]++
		}
	}
	p.lost.Store(n[0])
	p.doubted.Store(n[1])
	p.away.Store(n[2])
}

// solve has the next plan worked out beside the loop.
func (p *Driver) solve() {
	if p.solves {
		return
	}
	job, ok := p.controller.Job()
	if !ok {
		return
	}
	p.solves = true
	go func() {
		plan, err := work(&job)
		p.loop.Post(func() {
			p.solves = false
			p.controller.Done(job, plan, err)
			if err != nil {
				p.fails.Add(1)
				p.o.Log.Warn("no plan for the loss of sites", "remain", job.Remain, "err", err)
				return
			}
			p.plans.Add(1)
		})
	}()
}

// work has a solver that panics fail, since the last good plan holds then.
func work(job *site.Problem) (plan *site.Plan, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: the solver panicked: %v", site.ErrPlan, r)
		}
	}()
	return job.Plan()
}

// members asks what the fleet's members say, and tells them what this agent sees.
func (p *Driver) members(now time.Duration) {
	if p.o.Members == nil {
		return
	}
	if now-p.looked >= lookEvery {
		p.looked = now
		p.o.Members.Look(func(v member.View) { go p.loop.Post(func() { p.view(&v) }) }) // Post may wait
	}
	note := p.controller.Note()
	if slices.Equal(note, p.note) || now-p.noted < noteEvery && !site.Worse(p.note, note) {
		return
	}
	if p.o.Members.Say(note) {
		p.note, p.noted = note, now
	}
}

func (p *Driver) view(v *member.View) {
	all := make([]site.Member, 0, len(v.Members))
	for i := range v.Members {
		m := &v.Members[i]
		if m.ID == v.Self {
			continue
		}
		all = append(all, site.Member{Site: slices.Index(p.o.Controller.Watch.Sites, m.Zone), Alive: m.State == member.Alive, Note: []byte(m.Note)})
	}
	p.controller.Members(p.loop.Now(), v.Majority(), all)
}

// Ramps are the parts of their load that sites may have, as this agent sees it, by name; nil: it has not begun. It may
// be called from any goroutine.
func (p *Driver) Ramps() map[string]float64 {
	if r := p.ramps.Load(); r != nil {
		return *r
	}
	return nil
}

// Pace has returning sites follow what one agent says for all, for so long. It may be called from any goroutine.
func (p *Driver) Pace(ramps map[string]float64, span time.Duration) {
	go p.loop.Post(func() { // Post may wait
		till := p.loop.Now() + span
		for i, name := range p.o.Controller.Watch.Sites {
			if share, told := ramps[name]; told {
				p.controller.Pace(i, share, till)
			}
		}
	})
}

// Gauges are the figures.
func (p *Driver) Gauges() []figures.Gauge {
	return []figures.Gauge{{Name: "sites_lost", Value: p.lost.Load}, {Name: "sites_doubted", Value: p.doubted.Load},
		{Name: "sites_cut", Value: p.away.Load}, {Name: "sites_plans", Value: p.plans.Load}, {Name: "sites_plans_failed", Value: p.fails.Load}}
}
