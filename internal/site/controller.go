package site

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// ControllerConfig sets how a Controller turns the states of sites into orders. DefaultControllerConfig sets all fields
// but Watch.Sites, Classes and Figures.Problem.
type ControllerConfig struct {
	Watch   Config
	Ramp    Ramp
	Classes []Class // in the order of the class indices in package balance
	Figures Figures

	MaxAdvice time.Duration // longest advice that a refused client may get

	TrialInterval    time.Duration // approximate time between two trials (requests sent to a lost or cut site to see if it serves) at first ...
	MaxTrialInterval time.Duration // ... and at most, after it has doubled with each trial
	DoubtedShare     float64       // weight of a doubted site's backends when a backend is picked; 1: as any other
	MinShare         float64       // lower bound of the weight of a well site's backends, in case the plan sends nothing there
}

// Figures are the known or assumed demand and prices that plans are computed from. All agents use the same, so that
// they compute the same plans.
type Figures struct {
	Problem  *Problem // configured capacity, demand and prices, sites in the order of Watch.Sites; nil: not configured
	Headroom float64  // Headroom to Cross and Method are used if Problem is nil: see UniformProblem
	Load     float64  // work demanded at each site, as a share of its capacity
	Cross    float64  // price of work sent from one site to another, in worth
	Method   PlanMethod
}

// DefaultControllerConfig returns settings for agents that get a few requests a second.
func DefaultControllerConfig(sites []string, coldShare float64, ramp time.Duration) ControllerConfig {
	return ControllerConfig{Watch: DefaultConfig(sites), Ramp: DefaultRamp(coldShare, ramp), Figures: Figures{Headroom: 0.05, Load: 0.7, Cross: 0.02, Method: MaxWorth},
		MaxAdvice: time.Second, TrialInterval: time.Second, MaxTrialInterval: 4 * time.Second, DoubtedShare: 0.1, MinShare: 0.02}
}

// Check returns an error that names the first invalid setting by its key in the settings file.
func (c *ControllerConfig) Check() error {
	if err := c.Watch.Check(); err != nil {
		return err
	}
	switch {
	case len(c.Classes) == 0:
		return errors.New("classes: at least one is required")
	case c.MaxAdvice <= 0:
		return fmt.Errorf("advice: %v must be greater than 0", c.MaxAdvice)
	case c.TrialInterval <= 0 || c.MaxTrialInterval < c.TrialInterval:
		return fmt.Errorf("trial: the first interval, %v, must be greater than 0 and at most the longest, %v", c.TrialInterval, c.MaxTrialInterval)
	case !(c.DoubtedShare > 0 && c.DoubtedShare <= 1):
		return fmt.Errorf("lean: %v is not within (0, 1]", c.DoubtedShare)
	case !(c.MinShare >= 0 && c.MinShare <= 1):
		return fmt.Errorf("floor: %v is not within [0, 1]", c.MinShare)
	case !(c.Ramp.ColdShare > 0 && c.Ramp.ColdShare <= 1) || c.Ramp.Duration < 0 || !(c.Ramp.Slowdown >= 1):
		return fmt.Errorf("ramp: cold share %v, time %v or factor %v is invalid: they must be within (0, 1], not negative, and at least 1", c.Ramp.ColdShare, c.Ramp.Duration, c.Ramp.Slowdown)
	case c.Figures.Problem != nil && len(c.Figures.Problem.Capacity) != len(c.Watch.Sites):
		return fmt.Errorf("figures: for %d sites, but there are %d", len(c.Figures.Problem.Capacity), len(c.Watch.Sites))
	case c.Figures.Problem != nil && len(c.Figures.Problem.Classes) != len(c.Classes):
		return fmt.Errorf("figures: for %d classes, but there are %d", len(c.Figures.Problem.Classes), len(c.Classes))
	case !(c.Figures.Load > 0) || !(c.Figures.Cross >= 0) || !(c.Figures.Headroom >= 0 && c.Figures.Headroom < 1):
		return fmt.Errorf("figures: load %v, price of crossing %v or headroom %v is invalid: they must be greater than 0, not negative, and within [0, 1)", c.Figures.Load, c.Figures.Cross, c.Figures.Headroom)
	}
	return nil
}

// OrderBasis is what the shares of an order are based on.
type OrderBasis uint8

const (
	Ordinary       OrderBasis = iota // all sites are well: there is no order
	DoubtedOnly                      // a site is doubted and none is lost or returning: the doubted one gets less load
	Planned                          // a plan for exactly the present remaining shares
	SubstitutePlan                   // a plan for other remaining shares, since the right one is not computed yet; sites without capacity are left out
	Unplanned                        // there is no plan: each site gets load by its remaining share; or no site would be left: all get their usual load
)

var orderBasisNames = [...]string{"ordinary", "leaning", "planned", "stand-in", "unplanned"}

func (b OrderBasis) String() string {
	if int(b) < len(orderBasisNames) {
		return orderBasisNames[b]
	}
	return fmt.Sprintf("basis %d", uint8(b))
}

// Order holds the instructions for the decision module (package balance). The zero value means that all sites are well.
type Order struct {
	Number         uint64 // number of orders that this agent's Controller has made, this one included
	Basis          OrderBasis
	Remain         []float64 // by site: share of its capacity that plans may use
	BackendWeights []float64 // by site: weight of its backends when a backend is picked, see balance.Sites; nil: all have the same
	AdmitShares    []float64 // by class: share of its requests that is admitted; nil: all
	Trial          []bool    // by site: a lost or cut site that one request is to try now; nil: none
	RepeatableOnly []bool    // by site: it has just begun to return and gets only requests that can safely be repeated; nil: none
	NewlyCold      []int     // indices of sites that have begun to return with this order: their backends count as just started
}

// controlledSite is what a Controller stores for a site besides the state in its Watch.
type controlledSite struct {
	nextTrial     time.Duration // when the next trial is due
	trialInterval time.Duration // time until the next trial, before jitter; 0: the site is neither lost nor cut
	lastState     State         // as of the last Tick
	served        int           // trials served, as of the last time that the interval started over
	started       int           // backends started since the loss, as of the same time
	maxUp         int           // greatest number of backends that were ever up at the same time
}

// Controller turns the states of a Watch into orders, with the plans of a PlanCache. It is not safe for
// concurrent use and performs no I/O; the caller computes the plans (NextProblem, AddPlan).
type Controller struct {
	cfg           ControllerConfig
	watch         *Watch
	ownSite       int
	rng           *rand.Rand
	now           time.Duration
	sites         []controlledSite
	capacity      []float64  // listed capacity, by site
	plans         *PlanCache // nil: neither figures nor a backend list are known yet
	order         Order
	orders        uint64   // number of orders so far
	changes       []Change // changes of state that Changes has not returned yet
	returns       *returnSchedule
	rampOverrides []rampOverride // by site; nil: none yet
}

// rampOverride is a share of its usual load that a returning site may have until a time, in place of what this agent's
// own ramp allows.
type rampOverride struct {
	share float64
	until time.Duration
}

// NewController returns a Controller for an agent in site own, an index into cfg.Watch.Sites; -1: in none of them.
func NewController(cfg ControllerConfig, own int, seed uint64, now time.Duration) (*Controller, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("sites: %w", err)
	}
	w, err := New(cfg.Watch, own, now)
	if err != nil {
		return nil, err
	}
	s := &Controller{cfg: cfg, watch: w, ownSite: own, rng: rand.New(rand.NewPCG(seed, 32)), now: now, sites: make([]controlledSite, len(cfg.Watch.Sites)),
		capacity: make([]float64, len(cfg.Watch.Sites))}
	s.order.Remain = slices.Repeat([]float64{1}, len(s.sites))
	if s.returns, err = newReturnSchedule(s, seed); err != nil {
		return nil, err
	}
	if cfg.Figures.Problem != nil {
		p := *cfg.Figures.Problem
		if s.plans, err = NewPlanCache(p); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Watch returns the Watch to which the caller reports evidence.
func (s *Controller) Watch() *Watch { return s.watch }

// SetList replaces the counts of the backend list, given by site. capacity is the sum of the weights of a site's
// backends that are up; plans are based on it if Figures.Problem is not set.
func (s *Controller) SetList(now time.Duration, listed []ListCounts, capacity []float64) {
	s.now = max(now, s.now)
	s.watch.SetList(now, listed)
	for i := range s.sites {
		if i < len(listed) {
			s.sites[i].maxUp = max(s.sites[i].maxUp, listed[i].Up)
		}
	}
	if s.cfg.Figures.Problem != nil {
		return
	}
	grown := s.plans == nil
	for i := range s.capacity {
		c := 0.0
		if i < len(capacity) {
			c = capacity[i]
		}
		// A loss of capacity needs no new plans: states and remaining shares account for it.
		if c > s.capacity[i]*(1+capacitySlack) || s.capacity[i] == 0 && c > 0 {
			s.capacity[i], grown = c, true
		}
	}
	if !grown || slices.Max(s.capacity) == 0 {
		return
	}
	p, err := UniformProblem(s.capacity, s.cfg.Classes, s.cfg.Figures.Load, s.cfg.Figures.Cross, s.cfg.Figures.Headroom)
	if err == nil {
		p.Method = s.cfg.Figures.Method
		if b, err := NewPlanCache(p); err == nil {
			s.plans = b
		}
	}
}

const capacitySlack = 0.1 // relative growth of a site's capacity that makes new plans necessary

// NextProblem returns the problem to solve next, if there is one. The caller solves it (Problem.Plan), on any
// goroutine, and passes the result to AddPlan.
func (s *Controller) NextProblem() (Problem, bool) {
	if s.plans == nil {
		return Problem{}, false
	}
	return s.plans.Next()
}

// AddPlan stores the plan for a problem from NextProblem. It ignores a plan for capacities that have changed since.
func (s *Controller) AddPlan(p Problem, plan *Plan, err error) {
	if s.plans != nil && slices.Equal(p.Capacity, s.plans.base.Capacity) {
		s.plans.Add(p.Remain, plan, err)
	}
}

// Changes returns the changes of state since its last call, oldest first; only the latest maxChanges are kept.
func (s *Controller) Changes() []Change {
	c := s.changes
	s.changes = nil
	return c
}

// Tick updates the states, and returns the present order and whether it is a new one.
func (s *Controller) Tick(now time.Duration) (Order, bool) {
	s.now = max(now, s.now)
	for i := range s.sites {
		if s.watch.State(i) == Returning && s.rampShare(i) >= 1 {
			s.watch.RampDone(s.now, i)
		}
	}
	s.watch.Tick(s.now)
	next := Order{Remain: make([]float64, len(s.sites))}
	reduced := false
	for i := range s.sites {
		next.Remain[i] = s.remainingShare(i)
		reduced = reduced || next.Remain[i] < 1
		if s.trialDue(i) {
			if next.Trial == nil {
				next.Trial = make([]bool, len(s.sites))
			}
			next.Trial[i] = true
		}
		x := &s.sites[i]
		if state := s.watch.State(i); state != x.lastState {
			if state == Returning {
				next.NewlyCold = append(next.NewlyCold, i)
			}
			x.lastState = state
		}
	}
	s.changes = append(s.changes, s.watch.Changes()...)
	s.changes = s.changes[max(0, len(s.changes)-maxChanges):]
	if reduced {
		s.fillShares(&next)
	}
	if sameOrder(&next, &s.order) && next.Trial == nil && next.NewlyCold == nil {
		return s.order, false
	}
	s.orders++
	next.Number = s.orders
	s.order = next
	return next, true
}

// sameOrder reports whether a and b agree in all but their numbers, trials and newly returning sites.
func sameOrder(a, b *Order) bool {
	return a.Basis == b.Basis && slices.Equal(a.Remain, b.Remain) && slices.Equal(a.BackendWeights, b.BackendWeights) && slices.Equal(a.AdmitShares, b.AdmitShares) && slices.Equal(a.RepeatableOnly, b.RepeatableOnly)
}

// OverrideRamp makes a returning site follow a share of its usual load that one agent sets for all agents, until a
// time. After it the site follows this agent's own ramp again.
func (s *Controller) OverrideRamp(site int, share float64, until time.Duration) {
	if s.rampOverrides == nil {
		s.rampOverrides = make([]rampOverride, len(s.sites))
	}
	if site >= 0 && site < len(s.rampOverrides) && share >= 0 && share <= 1 {
		s.rampOverrides[site] = rampOverride{share, until}
	}
}

// RampShares returns, by site, the share of its usual load that it may have by this agent's own ramps: 0 if it is lost
// or cut, 1 if it is well or doubted.
func (s *Controller) RampShares() []float64 {
	all := make([]float64, len(s.sites))
	for i := range all {
		switch s.watch.State(i) {
		case Lost, Cut:
		case Returning:
			all[i] = s.cfg.Ramp.Share(s.now-s.watch.sites[i].since, s.watch.recentLosses(i))
		default:
			all[i] = 1
		}
	}
	return all
}

// rampShare returns the share of its usual load that returning site i may have now, by an override if there is one,
// rounded down to a step of 1/remainSteps but at least one step.
func (s *Controller) rampShare(i int) float64 {
	share := s.cfg.Ramp.Share(s.now-s.watch.sites[i].since, s.watch.recentLosses(i))
	if s.rampOverrides != nil && s.now < s.rampOverrides[i].until {
		share = s.rampOverrides[i].share
	}
	if share >= 1 {
		return 1
	}
	return max(math.Floor(share*remainSteps), 1) / remainSteps
}

// remainingShare returns the share of site i's capacity that plans may use: by its state, and by how many of its
// backends are up.
func (s *Controller) remainingShare(i int) float64 {
	left := 1.0
	// Rounded to halves, so that a release that restarts a few backends at a time doesn't count as a loss of capacity.
	if x := &s.sites[i]; x.maxUp > 0 {
		left = math.Round(2*float64(s.watch.sites[i].listed.Up)/float64(x.maxUp)) / 2
		if s.watch.sites[i].listed.Up > 0 {
			left = max(left, 0.5)
		}
	}
	switch s.watch.State(i) {
	case Lost, Cut:
		return 0
	case Doubted:
		return min(left, s.cfg.DoubtedShare)
	case Returning:
		return min(left, s.rampShare(i))
	}
	return left
}

// fillShares sets Basis, Share, Admit and RepeatableOnly of an order from Remain.
func (s *Controller) fillShares(o *Order) {
	n := len(s.sites)
	if slices.Max(o.Remain) == 0 { // no site would serve: act as if all were well
		o.Basis = Unplanned
		return
	}
	lost := false
	for i := range n {
		lost = lost || s.watch.State(i) != Doubted && o.Remain[i] < 1
	}
	o.BackendWeights = make([]float64, n)
	if !lost { // a doubt alone is no reason for a plan
		o.Basis = DoubtedOnly
		for i := range n {
			o.BackendWeights[i] = 1
			if o.Remain[i] < 1 {
				o.BackendWeights[i] = s.cfg.DoubtedShare
			}
		}
		return
	}
	var plan *Plan
	known := false
	if s.plans != nil {
		plan, known = s.plans.Find(o.Remain)
	}
	switch {
	case plan == nil:
		o.Basis = Unplanned
		for i := range n {
			o.BackendWeights[i] = o.Remain[i]
		}
		return
	case known:
		o.Basis = Planned
	default:
		o.Basis = SubstitutePlan
	}
	to, admit := s.planRow(plan)
	top := 0.0 // greatest weight of a backend
	for i := range n {
		if up := s.watch.sites[i].listed.Up; up > 0 {
			o.BackendWeights[i] = to[i] / float64(up)
			top = max(top, o.BackendWeights[i])
		}
	}
	for i := range n {
		switch {
		case o.Remain[i] == 0:
			o.BackendWeights[i] = 0
		case top == 0:
			o.BackendWeights[i] = o.Remain[i]
		default:
			// A well site to which the plan sends nothing still gets a minimum.
			o.BackendWeights[i] = max(o.BackendWeights[i]/top, s.cfg.MinShare*o.Remain[i])
		}
	}
	for i := range n {
		if s.watch.State(i) == Returning && o.Remain[i] < repeatableOnlyBelow && s.otherSiteWell(i, o) {
			if o.RepeatableOnly == nil {
				o.RepeatableOnly = make([]bool, n)
			}
			o.RepeatableOnly[i] = true
		}
	}
	if slices.ContainsFunc(admit, func(a float64) bool { return a < 1-1e-3 }) {
		o.AdmitShares = admit
	}
}

// repeatableOnlyBelow is the share of its capacity below which a returning site gets only requests that can safely be
// repeated.
const repeatableOnlyBelow = 0.5

// otherSiteWell reports whether a well site other than i has capacity left for the requests that i is not to get.
func (s *Controller) otherSiteWell(i int, o *Order) bool {
	for k := range s.sites {
		if k != i && s.watch.State(k) == Well && o.Remain[k] > 0 {
			return true
		}
	}
	return false
}

// planRow returns the part of a plan for this agent: where the load of its site's clients goes and which share of each
// class is admitted there; the mean over all sites if the agent is in none.
func (s *Controller) planRow(p *Plan) (to, admit []float64) {
	if s.ownSite >= 0 {
		return p.To[s.ownSite], p.Admit[s.ownSite]
	}
	to, admit = make([]float64, len(s.sites)), make([]float64, len(s.cfg.Classes))
	for o := range p.To {
		for t, v := range p.To[o] {
			to[t] += v / float64(len(p.To))
		}
		for c, v := range p.Admit[o] {
			admit[c] += v / float64(len(p.To))
		}
	}
	return to, admit
}

// trialDue reports whether a request is to try lost or cut site i now, and sets the time of the next trial. The
// interval doubles with each trial and starts over when backends of the site have started, when it has served a trial,
// or when other members reach it. It has jitter, so that the agents don't try at the same time.
func (s *Controller) trialDue(i int) bool {
	x, site := &s.sites[i], &s.watch.sites[i]
	if site.state != Lost && site.state != Cut || site.manual {
		x.nextTrial, x.trialInterval, x.served, x.started = 0, 0, 0, 0
		return false
	}
	jitter := func(d time.Duration) time.Duration { return time.Duration((0.5 + s.rng.Float64()) * float64(d)) }
	switch {
	case x.trialInterval == 0:
		x.trialInterval = s.cfg.TrialInterval
		x.nextTrial = s.now + jitter(x.trialInterval)
		return false
	case site.listed.Started > x.started || site.served > x.served || s.watch.reachedByOthers(i) == reachable && x.trialInterval > s.cfg.TrialInterval:
		x.served, x.started, x.trialInterval = site.served, site.listed.Started, s.cfg.TrialInterval
		x.nextTrial = min(x.nextTrial, s.now+jitter(s.cfg.TrialInterval/4))
	}
	if s.now < x.nextTrial {
		return false
	}
	x.trialInterval = min(2*x.trialInterval, s.cfg.MaxTrialInterval)
	x.nextTrial = s.now + jitter(x.trialInterval)
	return true
}

// Note returns what this agent reports to the other members: its reachability value for each site, in two bits, lowest
// bits first, four sites a byte. A site from which no answer came within noteMemory and that isn't lost, cut or failing
// is reported as reachUnknown.
func (s *Controller) Note() []byte {
	note := make([]byte, (len(s.sites)+3)/4)
	for i := range s.sites {
		x := &s.watch.sites[i]
		report := reachUnknown
		switch {
		case (x.state == Lost || x.state == Cut) && (x.served == 0 || x.failedSinceServed > 0), x.state == Doubted && x.failuresInRow > 0:
			report = unreachable
		case x.answeredAt >= 0 && s.now-x.answeredAt < noteMemory*s.cfg.Watch.DoubtWindow && x.recentSummary.failuresInRow < s.cfg.Watch.MinFailing:
			report = reachable
		}
		note[i/4] |= byte(report) << (2 * (i % 4))
	}
	return note
}

// noteMemory is the multiple of Config.DoubtWindow for which Note counts an answer as a sign that the site is
// reachable. It keeps notes from changing
// often, since each change is sent to all members.
const noteMemory = 3

// ReportsNewLoss reports whether a note (see Controller.Note) says that a site is unreachable of which the note before
// it didn't say so.
func ReportsNewLoss(before, note []byte) bool {
	for i := range note {
		for bit := 0; bit < 8; bit += 2 {
			was := reachUnknown
			if i < len(before) {
				was = reachability(before[i] >> bit & 3)
			}
			if reachability(note[i]>>bit&3) == unreachable && was != unreachable {
				return true
			}
		}
	}
	return false
}

// MemberReport is another member of the fleet and what it reports.
type MemberReport struct {
	Site  int // index of the site that the member is in; -1: none of the known ones
	Alive bool
	Note  []byte // as that member's Controller.Note returned it
}

// SetMembers replaces what the other members of the fleet report; majority is whether this agent sees more than half of
// the fleet.
func (s *Controller) SetMembers(now time.Duration, majority bool, all []MemberReport) {
	n := len(s.sites)
	f := FleetReport{Known: true, Majority: majority, Alive: make([]int, n), Expected: make([]int, n), Reaching: make([]int, n), Reporting: make([]int, n)}
	for _, m := range all {
		if m.Site >= 0 && m.Site < n {
			f.Expected[m.Site]++
			if m.Alive {
				f.Alive[m.Site]++
			}
		}
		if !m.Alive || len(m.Note) < (n+3)/4 {
			continue
		}
		for i := range n {
			if i == m.Site { // a member in a site reaches that site even if nobody else does
				continue
			}
			switch reachability(m.Note[i/4] >> (2 * (i % 4)) & 3) {
			case reachable:
				f.Reaching[i]++
				f.Reporting[i]++
			case unreachable:
				f.Reporting[i]++
			}
		}
	}
	s.watch.SetFleet(now, f)
}

// Report is the state of a Controller, for operators.
type Report struct {
	Order       Order
	Evidence    []Evidence
	Remain      []float64       // by site: share of its capacity that plans may use
	FullIn      []time.Duration // by site: time until it gets all of its load by this agent's ramp; 0 if it isn't returning
	Plans       int             // plans in the cache
	PlansFailed int             // plans that could not be computed
}

// Report returns the present state.
func (s *Controller) Report() Report {
	r := Report{Order: s.order}
	if s.plans != nil {
		r.Plans, r.PlansFailed = s.plans.Size(), s.plans.Failed
	}
	for i := range s.sites {
		r.Evidence = append(r.Evidence, s.watch.Evidence(i))
		full := time.Duration(0)
		if s.watch.State(i) == Returning {
			full = max(0, s.cfg.Ramp.DurationAfter(s.watch.recentLosses(i))-(s.now-s.watch.sites[i].since))
		}
		r.Remain, r.FullIn = append(r.Remain, s.remainingShare(i)), append(r.FullIn, full)
	}
	return r
}

// Planned reports whether Share follows a plan. A plan takes the price of crossing between sites into account, so the
// decision module must not do so again.
func (o *Order) Planned() bool { return o.Basis == Planned || o.Basis == SubstitutePlan }
