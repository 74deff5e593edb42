// Package driver runs internal/site in an agent: it reports the outcomes of the decision loop's attempts and
// the reports of the fleet's members to the Controller, computes plans off the loop, and passes the orders on
// to the decision module. It makes no decisions itself.
//
// All of its state belongs to the loop's goroutine, except the plan being computed: one at a time, on a
// goroutine of its own. Run wakes the loop ten times a second.
//
// Memory is bounded by the listed backends and by the bounds of internal/site.
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
	"lemonrail/internal/member"
	"lemonrail/internal/metrics"
	"lemonrail/internal/site"
)

const (
	tickInterval = 100 * time.Millisecond
	viewInterval = 500 * time.Millisecond // between two reads of the membership
	noteInterval = 400 * time.Millisecond // minimum time between two notes to the members, unless a note reports a new loss
)

// Members is the part of a membership that a Driver uses. Its methods must not block.
type Members interface {
	WithView(func(member.View))
	SetNote([]byte) bool
}

// Options are the settings and the environment of a Driver.
type Options struct {
	Controller site.ControllerConfig // its Watch.Sites are the platform's zones, in the same order
	OwnSite    int                   // this agent's site; -1: none
	Seed       uint64
	Members    Members // nil: there is no membership
	Log        *slog.Logger
	// ExcludeZone takes a zone out of use on behalf of an operator (out true) or back into use, in all processes of the
	// agent, and waits until that is done.
	ExcludeZone func(ctx context.Context, zone int, out bool) error
}

// Driver connects the site Controller of one agent to its decision loop and to the membership.
type Driver struct {
	options       Options
	loop          *core.Loop
	controller    *site.Controller
	listed        map[string]balance.Backend // the listed backends, by ID
	lateAttempts  [][]site.LateAttempt       // by site
	endedAttempts []uint64                   // number of attempts that ended, by site
	excluded      []int                      // zones that operators have taken out of use, as of the last tick
	solving       bool                       // a plan is being computed
	sentNote      []byte                     // the latest note (site.Controller.Note) that was published to the members
	noteSentAt    time.Duration
	viewedAt      time.Duration // when the membership was last read
	changes       []StateChange // the latest changes of state, at most maxChanges

	lostSites, doubtedSites, cutSites atomic.Int64
	rampShares                        atomic.Pointer[map[string]float64] // by name of the site, see RampShares
	plansSolved, plansFailed          atomic.Int64
}

// StateChange is a change of a site's state as operators see it.
type StateChange struct {
	At    time.Time `json:"at"`
	Site  string    `json:"site"`
	From  string    `json:"from"`
	To    string    `json:"to"`
	Cause string    `json:"cause,omitempty"`
}

const maxChanges = 256 // maximum number of state changes kept for the report

// New returns a Driver and makes it the observer of the loop's requests, attempts and lists (core.Loop.Observer). The
// loop must not run yet.
func New(o Options, l *core.Loop) (*Driver, error) {
	s, err := site.NewController(o.Controller, o.OwnSite, o.Seed, l.Now())
	if err != nil {
		return nil, err
	}
	d := &Driver{options: o, loop: l, controller: s, listed: map[string]balance.Backend{}, lateAttempts: make([][]site.LateAttempt, len(o.Controller.Watch.Sites)),
		endedAttempts: make([]uint64, len(o.Controller.Watch.Sites))}
	l.Observer = d
	return d, nil
}

// Arrived counts a request; repeat: the client says that it has sent the request before.
func (d *Driver) Arrived(_ int, repeat bool) { d.controller.Arrived(d.loop.Now(), repeat) }

// Listed applies a backend list, whole or a change to the last one, and passes its counts on to the Controller.
func (d *Driver) Listed(list balance.List) {
	if list.Kind == balance.ListFailed {
		return
	}
	if list.Kind != balance.ListDelta {
		clear(d.listed)
	}
	for _, b := range list.Backends {
		if b.State == balance.Gone {
			delete(d.listed, b.ID)
		} else {
			d.listed[b.ID] = b
		}
	}
	n := len(d.lateAttempts)
	listed, capacity := make([]site.ListCounts, n), make([]float64, n)
	for _, b := range d.listed {
		if b.Zone < 0 || b.Zone >= n {
			continue
		}
		l := &listed[b.Zone]
		l.Backends++
		if b.State == balance.Up {
			l.Up++
			if w := d.controller.Watch(); w.State(b.Zone) == site.Lost && b.Started > w.Since(b.Zone) {
				l.Started++
			}
			capacity[b.Zone] += max(b.Weight, 0)
		}
	}
	d.controller.SetList(d.loop.Now(), listed, capacity)
}

// Ended records how an attempt ended.
func (d *Driver) Ended(backend string, r core.Response, latency time.Duration) {
	b, known := d.listed[backend]
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
		if kind = site.Silent; r.PortClosed {
			kind = site.Refused
		}
	default: // withdrawn, or never sent: says nothing about the backend
		return
	}
	if b.Zone >= 0 && b.Zone < len(d.endedAttempts) {
		d.endedAttempts[b.Zone]++
	}
	d.controller.Watch().RecordOutcome(d.loop.Now(), b.Zone, backend, kind, latency)
}

// Run posts a tick to the loop every tickInterval until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			d.loop.Post(d.tick)
		case <-ctx.Done():
			return nil
		}
	}
}

// tick updates the states, applies a changed order, sets the metrics, starts the next plan and exchanges reports
// with the members. It must run on the loop.
func (d *Driver) tick() {
	now, w := d.loop.Now(), d.controller.Watch()
	d.syncExclusions(now)
	for i := range d.lateAttempts {
		d.lateAttempts[i] = d.lateAttempts[i][:0]
	}
	d.loop.EachPendingAttempt(func(backend string, sent time.Time) {
		if b, known := d.listed[backend]; known && b.Zone >= 0 && b.Zone < len(d.lateAttempts) {
			if at := d.loop.At(sent); w.IsLate(now, at) {
				d.lateAttempts[b.Zone] = append(d.lateAttempts[b.Zone], site.LateAttempt{Backend: backend, Sent: at})
			}
		}
	})
	for i := range d.lateAttempts {
		w.SetLate(now, i, d.lateAttempts[i])
	}
	order, changed := d.controller.Tick(now)
	if changed {
		d.applyOrder(&order)
	}
	for _, c := range d.controller.Changes() {
		d.recordChange(c)
	}
	d.updateGauges(w)
	ramps := map[string]float64{}
	for i, share := range d.controller.RampShares() {
		ramps[d.options.Controller.Watch.Sites[i]] = share
	}
	d.rampShares.Store(&ramps)
	d.startSolver()
	d.syncMembers(now)
}

// applyOrder passes an order on to the decision module (package balance).
func (d *Driver) applyOrder(o *site.Order) {
	for _, zone := range o.NewlyCold { // before the order, so that the order already applies to cold backends
		d.loop.MarkZoneRestarted(zone)
	}
	sites := balance.Sites{ZoneWeights: o.BackendWeights, WeightsPlanned: o.Planned(), AdmitShares: o.AdmitShares, TrialZones: o.Trial, SafeOnlyZones: o.RepeatableOnly}
	if o.Planned() {
		sites.RetryAfter = func(class int) time.Duration { return d.controller.ReturnAfter(d.loop.Now(), class) }
	}
	d.loop.Event(sites)
}

// syncExclusions passes changes in which zones operators have taken out of use on to the Watch, which holds these sites
// for lost.
func (d *Driver) syncExclusions(now time.Duration) {
	out := d.loop.ExcludedZones()
	for i := range d.lateAttempts {
		if was, is := slices.Contains(d.excluded, i), slices.Contains(out, i); was != is {
			d.controller.Watch().SetManual(now, i, is)
		}
	}
	d.excluded = out
}

// recordChange logs a change of state and keeps it for the report.
func (d *Driver) recordChange(c site.Change) {
	h := StateChange{At: time.Now(), Site: d.options.Controller.Watch.Sites[c.Site], From: c.From.String(), To: c.To.String(), Cause: c.Cause.String()}
	d.changes = append(d.changes, h)
	d.changes = d.changes[max(0, len(d.changes)-maxChanges):]
	d.options.Log.Info("site state changed", "site", h.Site, "was", h.From, "is", h.To, "cause", h.Cause)
}

// updateGauges sets the metrics that count lost, doubted and cut sites.
func (d *Driver) updateGauges(w *site.Watch) {
	var n [3]int64
	for i := range d.lateAttempts {
		switch w.State(i) {
		case site.Lost:
			n[0]++
		case site.Doubted:
			n[1]++
		case site.Cut:
			n[2]++
		}
	}
	d.lostSites.Store(n[0])
	d.doubtedSites.Store(n[1])
	d.cutSites.Store(n[2])
}

// startSolver computes the next plan on a goroutine of its own, unless one is being computed.
func (d *Driver) startSolver() {
	if d.solving {
		return
	}
	job, ok := d.controller.NextProblem()
	if !ok {
		return
	}
	d.solving = true
	go func() {
		plan, err := solve(&job)
		d.loop.Post(func() {
			d.solving = false
			d.controller.AddPlan(job, plan, err)
			if err != nil {
				d.plansFailed.Add(1)
				d.options.Log.Warn("no plan for the loss of sites", "remain", job.Remain, "err", err)
				return
			}
			d.plansSolved.Add(1)
		})
	}()
}

// solve computes a plan. A panic of the solver becomes an error, so that the agent goes on with the plans that it has.
func solve(job *site.Problem) (plan *site.Plan, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: the solver panicked: %v", site.ErrPlan, r)
		}
	}()
	return job.Plan()
}

// syncMembers reads the reports of the fleet's members at most every viewInterval, and publishes this agent's note to
// them when it has changed.
func (d *Driver) syncMembers(now time.Duration) {
	if d.options.Members == nil {
		return
	}
	if now-d.viewedAt >= viewInterval {
		d.viewedAt = now
		d.options.Members.WithView(func(v member.View) { go d.loop.Post(func() { d.applyView(&v) }) }) // Post may block
	}
	note := d.controller.Note()
	if slices.Equal(note, d.sentNote) || now-d.noteSentAt < noteInterval && !site.ReportsNewLoss(d.sentNote, note) {
		return
	}
	if d.options.Members.SetNote(note) {
		d.sentNote, d.noteSentAt = note, now
	}
}

// applyView passes a view of the membership, without this agent itself, on to the Controller.
func (d *Driver) applyView(v *member.View) {
	all := make([]site.MemberReport, 0, len(v.Members))
	for i := range v.Members {
		m := &v.Members[i]
		if m.ID == v.Self {
			continue
		}
		all = append(all, site.MemberReport{Site: slices.Index(d.options.Controller.Watch.Sites, m.Zone), Alive: m.State == member.Alive, Note: []byte(m.Note)})
	}
	d.controller.SetMembers(d.loop.Now(), v.Majority(), all)
}

// RampShares returns, by name of the site, the share of its usual load that it may have by this agent's own ramps; nil
// before the first tick. It is safe for concurrent use.
func (d *Driver) RampShares() map[string]float64 {
	if r := d.rampShares.Load(); r != nil {
		return *r
	}
	return nil
}

// OverrideRamps makes returning sites, given by name, follow shares of their usual load that one agent sets for all
// agents, for a span of time from now. It is safe for concurrent use.
func (d *Driver) OverrideRamps(ramps map[string]float64, span time.Duration) {
	go d.loop.Post(func() { // Post may block
		until := d.loop.Now() + span
		for i, name := range d.options.Controller.Watch.Sites {
			if share, told := ramps[name]; told {
				d.controller.OverrideRamp(i, share, until)
			}
		}
	})
}

// Gauges returns the driver's metrics.
func (d *Driver) Gauges() []metrics.Gauge {
	return []metrics.Gauge{{Name: "sites_lost", Value: d.lostSites.Load}, {Name: "sites_doubted", Value: d.doubtedSites.Load},
		{Name: "sites_cut", Value: d.cutSites.Load}, {Name: "sites_plans", Value: d.plansSolved.Load}, {Name: "sites_plans_failed", Value: d.plansFailed.Load}}
}
