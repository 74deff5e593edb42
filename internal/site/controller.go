package site

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// ControllerConfig says how states become orders. DefaultControllerConfig fills all but Watch, Classes and Figures.
type ControllerConfig struct {
	Watch   Config
	Ramp    Ramp
	Classes []Class // in the decision module's order
	Figures Figures

	Advice time.Duration // the longest that a refused client may be told to stay away

	Trial   time.Duration // about the time between two trials of a lost site at first ...
	Longest time.Duration // ... and at the most
	Lean    float64       // what a doubted site counts for in picks
	Floor   float64       // what a site that is well counts for at the least, though the plan sends nothing there
}

// Figures are what plans are worked out from. All agents hold the same.
type Figures struct {
	Problem  *Problem // of the sites in Watch's order; nil: none are known
	Headroom float64  // without Problem: see Plain
	Load     float64
	Cross    float64
	Way      Way
}

// DefaultControllerConfig is for agents that see some requests a second.
func DefaultControllerConfig(sites []string, coldShare float64, ramp time.Duration) ControllerConfig {
	return ControllerConfig{Watch: DefaultConfig(sites), Ramp: DefaultRamp(coldShare, ramp), Figures: Figures{Headroom: 0.05, Load: 0.7, Cross: 0.02, Way: Best},
		Advice: time.Second, Trial: time.Second, Longest: 4 * time.Second, Lean: 0.1, Floor: 0.02}
}

// Check names the first value that makes no sense.
func (c *ControllerConfig) Check() error {
	if err := c.Watch.Check(); err != nil {
		return err
	}
	switch {
	case len(c.Classes) == 0:
		return errors.New("classes: none")
	case c.Advice <= 0:
		return fmt.Errorf("advice: %v makes no sense", c.Advice)
	case c.Trial <= 0 || c.Longest < c.Trial:
		return fmt.Errorf("trial: every %v at first and %v at the most make no sense", c.Trial, c.Longest)
	case !(c.Lean > 0 && c.Lean <= 1):
		return fmt.Errorf("lean: %v is not within 0 and 1", c.Lean)
	case !(c.Floor >= 0 && c.Floor <= 1):
		return fmt.Errorf("floor: %v is not within 0 and 1", c.Floor)
	case !(c.Ramp.ColdShare > 0 && c.Ramp.ColdShare <= 1) || c.Ramp.Time < 0 || !(c.Ramp.Slower >= 1):
		return fmt.Errorf("ramp: from %v within %v, %v times slower, makes no sense", c.Ramp.ColdShare, c.Ramp.Time, c.Ramp.Slower)
	case c.Figures.Problem != nil && len(c.Figures.Problem.Capacity) != len(c.Watch.Sites):
		return fmt.Errorf("figures: of %d sites, there are %d", len(c.Figures.Problem.Capacity), len(c.Watch.Sites))
	case c.Figures.Problem != nil && len(c.Figures.Problem.Classes) != len(c.Classes):
		return fmt.Errorf("figures: of %d classes, there are %d", len(c.Figures.Problem.Classes), len(c.Classes))
	case !(c.Figures.Load > 0) || !(c.Figures.Cross >= 0) || !(c.Figures.Headroom >= 0 && c.Figures.Headroom < 1):
		return fmt.Errorf("figures: load %v, price of crossing %v and headroom %v make no sense", c.Figures.Load, c.Figures.Cross, c.Figures.Headroom)
	}
	return nil
}

// Basis says what an order rests on.
type Basis uint8

const (
	Ordinary  Basis = iota // all is well: no order
	Leaning                // a site is doubted
	Planned                // a plan for just this
	StandIn                // the last good plan, without what is lost
	Unplanned              // there was never a plan: what is lost is kept off, and no more
)

var basisNames = [...]string{"ordinary", "leaning", "planned", "stand-in", "unplanned"}

func (b Basis) String() string {
	if int(b) < len(basisNames) {
		return basisNames[b]
	}
	return fmt.Sprintf("basis %d", uint8(b))
}

// Order is what the decision module is to heed. The zero value is that all is well.
type Order struct {
	Number uint64 // of orders so far
	Basis  Basis
	Remain []float64 // what plans reckon with, by site
	Share  []float64 // see balance.Sites
	Admit  []float64
	Trial  []bool
	Gentle []bool // sites that have just come back: what may not simply be repeated is not begun there
	Cold   []int  // sites whose backends count as just started, from this order on; once for each return
}

// controlledSite is what Controller keeps of a site beside its state.
type controlledSite struct {
	trialAt time.Duration // when the next trial is wanted
	wait    time.Duration
	was     State
	trials  int // served when it was last looked at
	started int // backends anew then
	most    int // backends that were up, at the most lately
}

// Controller makes orders out of what a Watch holds, and plans out of a PlanCache. Like both it belongs to one goroutine and
// performs no I/O; plans are worked out elsewhere (Job, Done).
type Controller struct {
	cfg   ControllerConfig
	w     *Watch
	own   int
	rng   *rand.Rand
	now   time.Duration
	sites []controlledSite
	cap   []float64  // listed, by site
	plans *PlanCache // nil: no figures yet
	order Order
	said  uint64
	moves []Change
	came  *returns
	paced []pace // by site, of one who paces the return for all
}

// pace is what a site may have, and until when that holds.
type pace struct {
	share float64
	till  time.Duration
}

// NewController returns one for an agent of a site (-1: of none), at a time.
func NewController(cfg ControllerConfig, own int, seed uint64, now time.Duration) (*Controller, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("sites: %w", err)
	}
	w, err := New(cfg.Watch, own, now)
	if err != nil {
		return nil, err
	}
	s := &Controller{cfg: cfg, w: w, own: own, rng: rand.New(rand.NewPCG(seed, 32)), now: now, sites: make([]controlledSite, len(cfg.Watch.Sites)),
		cap: make([]float64, len(cfg.Watch.Sites))}
	s.order.Remain = slices.Repeat([]float64{1}, len(s.sites))
	if s.came, err = newReturns(s, seed); err != nil {
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

// Watch is where evidence is told.
func (s *Controller) Watch() *Watch { return s.w }

// List takes what the list says now. Capacity is each site's sum of its backends' weights; plans rest on it where
// the settings give no figures.
func (s *Controller) List(now time.Duration, listed []Listed, capacity []float64) {
	s.now = max(now, s.now)
	s.w.List(now, listed)
	for i := range s.sites {
		if i < len(listed) {
			s.sites[i].most = max(s.sites[i].most, listed[i].Up)
		}
	}
	if s.cfg.Figures.Problem != nil {
		return
	}
	moved := s.plans == nil
	for i := range s.cap {
		c := 0.0
		if i < len(capacity) {
			c = capacity[i]
		}
		// What is missing for a while is no reason for other plans: states and remains tell of that.
		if c > s.cap[i]*(1+capacitySlack) || s.cap[i] == 0 && c > 0 {
			s.cap[i], moved = c, true
		}
	}
	if !moved || slices.Max(s.cap) == 0 {
		return
	}
	p, err := Plain(s.cap, s.cfg.Classes, s.cfg.Figures.Load, s.cfg.Figures.Cross, s.cfg.Figures.Headroom)
	if err == nil {
		p.Way = s.cfg.Figures.Way
		if b, err := NewPlanCache(p); err == nil {
			s.plans = b
		}
	}
}

const capacitySlack = 0.1 // by which a site grows before plans are worked out anew

// Job is the problem whose plan is wanted next, if any. It is worked out (Problem.Plan) wherever there is time, and
// told to Done.
func (s *Controller) Job() (Problem, bool) {
	if s.plans == nil {
		return Problem{}, false
	}
	return s.plans.Next()
}

// Done takes the plan for a job.
func (s *Controller) Done(p Problem, plan *Plan, err error) {
	if s.plans != nil && slices.Equal(p.Capacity, s.plans.whole.Capacity) {
		s.plans.Add(p.Remain, plan, err)
	}
}

// Changes hands over the sites' changes of state since the last call.
func (s *Controller) Changes() []Change {
	c := s.moves
	s.moves = nil
	return c
}

// Tick brings states up to date, and returns the order in force and whether it is another one than before.
func (s *Controller) Tick(now time.Duration) (Order, bool) {
	s.now = max(now, s.now)
	for i := range s.sites {
		if s.w.State(i) == Returning && s.ramp(i) >= 1 {
			s.w.Returned(s.now, i)
		}
	}
	s.w.Tick(s.now)
	next := Order{Remain: make([]float64, len(s.sites))}
	off := false
	for i := range s.sites {
		next.Remain[i] = s.remains(i)
		off = off || next.Remain[i] < 1
		if s.trial(i) {
			if next.Trial == nil {
				next.Trial = make([]bool, len(s.sites))
			}
			next.Trial[i] = true
		}
		x := &s.sites[i]
		if state := s.w.State(i); state != x.was {
			if state == Returning {
				next.Cold = append(next.Cold, i)
			}
			x.was = state
		}
	}
	s.moves = append(s.moves, s.w.Changes()...)
	s.moves = s.moves[max(0, len(s.moves)-changesMost):]
	if off {
		s.fill(&next)
	}
	if same(&next, &s.order) && next.Trial == nil && next.Cold == nil {
		return s.order, false
	}
	s.said++
	next.Number = s.said
	s.order = next
	return next, true
}

func same(a, b *Order) bool {
	return a.Basis == b.Basis && slices.Equal(a.Remain, b.Remain) && slices.Equal(a.Share, b.Share) && slices.Equal(a.Admit, b.Admit) && slices.Equal(a.Gentle, b.Gentle)
}

// Pace has a returning site's part follow what one agent says for all, until a time; the own ramp holds again after it.
func (s *Controller) Pace(site int, share float64, till time.Duration) {
	if s.paced == nil {
		s.paced = make([]pace, len(s.sites))
	}
	if site >= 0 && site < len(s.paced) && share >= 0 && share <= 1 {
		s.paced[site] = pace{share, till}
	}
}

// Ramps are the parts that sites may have by this agent's own ramps.
func (s *Controller) Ramps() []float64 {
	all := make([]float64, len(s.sites))
	for i := range all {
		switch s.w.State(i) {
		case Lost, Cut:
		case Returning:
			all[i] = s.cfg.Ramp.Share(s.now-s.w.sites[i].since, s.w.losses(i))
		default:
			all[i] = 1
		}
	}
	return all
}

// ramp is the part of its load that a returning site may have by now, in steps.
func (s *Controller) ramp(i int) float64 {
	share := s.cfg.Ramp.Share(s.now-s.w.sites[i].since, s.w.losses(i))
	if s.paced != nil && s.now < s.paced[i].till {
		share = s.paced[i].share
	}
	if share >= 1 {
		return 1
	}
	return max(math.Floor(share*steps), 1) / steps
}

// remains is what plans reckon with of a site.
func (s *Controller) remains(i int) float64 {
	left := 1.0
	if x := &s.sites[i]; x.most > 0 { // in halves: a release of a few at a time is no loss
		left = math.Round(2*float64(s.w.sites[i].listed.Up)/float64(x.most)) / 2
		if s.w.sites[i].listed.Up > 0 {
			left = max(left, 0.5)
		}
	}
	switch s.w.State(i) {
	case Lost, Cut:
		return 0
	case Doubted:
		return min(left, s.cfg.Lean)
	case Returning:
		return min(left, s.ramp(i))
	}
	return left
}

// fill says what is made of what remains.
func (s *Controller) fill(o *Order) {
	n := len(s.sites)
	if slices.Max(o.Remain) == 0 { // nobody would be served: as if all were well
		o.Basis = Unplanned
		return
	}
	lost := false
	for i := range n {
		lost = lost || s.w.State(i) != Doubted && o.Remain[i] < 1
	}
	o.Share = make([]float64, n)
	if !lost { // a doubt is no reason for a plan yet
		o.Basis = Leaning
		for i := range n {
			o.Share[i] = 1
			if o.Remain[i] < 1 {
				o.Share[i] = s.cfg.Lean
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
			o.Share[i] = o.Remain[i]
		}
		return
	case known:
		o.Basis = Planned
	default:
		o.Basis = StandIn
	}
	to, admit := s.row(plan)
	top := 0.0
	for i := range n {
		if up := s.w.sites[i].listed.Up; up > 0 {
			o.Share[i] = to[i] / float64(up)
			top = max(top, o.Share[i])
		}
	}
	for i := range n {
		switch {
		case o.Remain[i] == 0:
			o.Share[i] = 0
		case top == 0:
			o.Share[i] = o.Remain[i]
		default:
			// Where the plan sends nothing, a site that is well is still better than none.
			o.Share[i] = max(o.Share[i]/top, s.cfg.Floor*o.Remain[i])
		}
	}
	for i := range n {
		if s.w.State(i) == Returning && o.Remain[i] < gentleUntil && s.elsewhere(i, o) {
			if o.Gentle == nil {
				o.Gentle = make([]bool, n)
			}
			o.Gentle[i] = true
		}
	}
	if slices.ContainsFunc(admit, func(a float64) bool { return a < 1-1e-3 }) {
		o.Admit = admit
	}
}

// gentleUntil is the part of its load up to which a returning site gets only what may be repeated.
const gentleUntil = 0.5

// elsewhere reports whether another site is there for the rest.
func (s *Controller) elsewhere(i int, o *Order) bool {
	for k := range s.sites {
		if k != i && s.w.State(k) == Well && o.Remain[k] > 0 {
			return true
		}
	}
	return false
}

// row is what a plan says to this agent: its site's, or for one of no site the mean.
func (s *Controller) row(p *Plan) (to, admit []float64) {
	if s.own >= 0 {
		return p.To[s.own], p.Admit[s.own]
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

// trial reports whether a request is to try a site now, and sets the time of the next one: twice as far each time,
// at once where members elsewhere are answered there or one has been served, and never at the same time at all agents.
func (s *Controller) trial(i int) bool {
	x, site := &s.sites[i], &s.w.sites[i]
	if site.state != Lost && site.state != Cut || site.byHand {
		x.trialAt, x.wait, x.trials, x.started = 0, 0, 0, 0
		return false
	}
	jitter := func(d time.Duration) time.Duration { return time.Duration((0.5 + s.rng.Float64()) * float64(d)) }
	switch {
	case x.wait == 0:
		x.wait = s.cfg.Trial
		x.trialAt = s.now + jitter(x.wait)
		return false
	case site.listed.Started > x.started || site.trials > x.trials || s.w.told(i) == answers && x.wait > s.cfg.Trial:
		x.trials, x.started, x.wait = site.trials, site.listed.Started, s.cfg.Trial
		x.trialAt = min(x.trialAt, s.now+jitter(s.cfg.Trial/4))
	}
	if s.now < x.trialAt {
		return false
	}
	x.wait = min(2*x.wait, s.cfg.Longest)
	x.trialAt = s.now + jitter(x.wait)
	return true
}

// Note is what this agent tells the others of the sites: two bits each, lowest first. Silence of long says nothing.
func (s *Controller) Note() []byte {
	note := make([]byte, (len(s.sites)+3)/4)
	for i := range s.sites {
		x := &s.w.sites[i]
		says := nothing
		switch {
		case (x.state == Lost || x.state == Cut) && (x.trials == 0 || x.failed > 0), x.state == Doubted && x.row > 0:
			says = silent
		case x.okAt >= 0 && s.now-x.okAt < noteFor*s.cfg.Watch.Doubt && x.seen.row < s.cfg.Watch.Least:
			says = answers
		}
		note[i/4] |= byte(says) << (2 * (i % 4))
	}
	return note
}

const noteFor = 3 // Config.Doubt for which an answer says that a site answers: a note that flickers is told to all

// Worse reports whether a note says of a site that it is silent, and the one before didn't.
func Worse(before, note []byte) bool {
	for i := range note {
		for bit := 0; bit < 8; bit += 2 {
			was := nothing
			if i < len(before) {
				was = told(before[i] >> bit & 3)
			}
			if told(note[i]>>bit&3) == silent && was != silent {
				return true
			}
		}
	}
	return false
}

// Member is what another agent says.
type Member struct {
	Site  int // where it is; -1: of none
	Alive bool
	Note  []byte
}

// Members takes what the fleet's view holds.
func (s *Controller) Members(now time.Duration, majority bool, all []Member) {
	n := len(s.sites)
	f := Fleet{Known: true, Majority: majority, Alive: make([]int, n), Expected: make([]int, n), Reach: make([]int, n), Asked: make([]int, n)}
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
			if i == m.Site { // who stands beside a site reaches it also when nobody else does
				continue
			}
			switch told(m.Note[i/4] >> (2 * (i % 4)) & 3) {
			case answers:
				f.Reach[i]++
				f.Asked[i]++
			case silent:
				f.Asked[i]++
			}
		}
	}
	s.w.Members(now, f)
}

// Report is how things stand, for those who ask.
type Report struct {
	Order    Order
	Evidence []Evidence
	Ramp     []float64       // of each site, what it may have
	Full     []time.Duration // until it may have all; 0: it has, or nobody knows
	Plans    int
	Fails    int
}

// Report returns how things stand now.
func (s *Controller) Report() Report {
	r := Report{Order: s.order}
	if s.plans != nil {
		r.Plans, r.Fails = s.plans.Size(), s.plans.Fails
	}
	for i := range s.sites {
		r.Evidence = append(r.Evidence, s.w.Evidence(i))
		full := time.Duration(0)
		if s.w.State(i) == Returning {
			full = max(0, s.cfg.Ramp.Length(s.w.losses(i))-(s.now-s.w.sites[i].since))
		}
		r.Ramp, r.Full = append(r.Ramp, s.remains(i)), append(r.Full, full)
	}
	return r
}

// Planned reports whether Share says where load is to go: then crossing between sites is no price of its own.
func (o *Order) Planned() bool { return o.Basis == Planned || o.Basis == StandIn }
