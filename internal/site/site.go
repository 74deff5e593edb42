// Package site decides what becomes of the load when a whole site is lost: which sites are well, doubted, lost or
// returning, where the load of a lost one goes, what is refused first, and how fast it comes back. It performs no
// I/O, has no clock and starts no goroutine: time and evidence are handed in. A Watch belongs to one goroutine.
//
//	well ──> doubted ──> lost ──> returning ──> well
//	  ^────────┤│          ^─────────┘
//	  │        └──> cut ──> lost
//	  └──────────────┘
//
// Evidence is kept by kind, since kinds mean different things: a connection that doesn't come up and a machine that
// says nothing speak of the way there or of what stands at its end, an error of a process that lives. A site is
// told from a bad release by contrast with the others, and from this agent's own trouble by whether any other site
// still answers; where the fleet keeps a view of its members, by what that says too. A site that others reach and
// this agent doesn't is cut: this agent keeps off it as if it were lost, and it comes back without a ramp, since the
// others have kept it warm.
//
// Files: site.go states; evidence.go what is counted; judge.go what follows; plan.go where load goes, worked out
// beforehand; ramp.go the return; controller.go what the decision module and clients are told of all that.
//
// Bounds: Config.Most sites; per site a ring of slots of counts, a set of the backends that were tried in them,
// triedMost at the most, and of attempts that are late lateMost.
package site

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Kind is how an attempt ended, as far as a site's state hangs on it.
type Kind uint8

const (
	OK      Kind = iota // served, or turned away by a process that lives and is full
	Errored             // the process lives and returned an error
	Reset               // the connection broke
	Refused             // a connection was refused: the machine lives, the process doesn't
	Silent              // a connection didn't come up, or nothing came in time
	kinds
)

var kindNames = [kinds]string{"ok", "errored", "reset", "refused", "silent"}

func (k Kind) String() string {
	if k < kinds {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// State is what a site is held for.
type State uint8

const (
	Well State = iota
	Doubted
	Lost
	Returning
	Cut // it lives, and this agent doesn't reach it
	states
)

var stateNames = [states]string{"well", "doubted", "lost", "returning", "cut"}

func (s State) String() string {
	if s < states {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Cause is why a site is not held for lost though its attempts fail.
type Cause uint8

const (
	None     Cause = iota
	Everyone       // all sites fail alike: this agent, or a release, is the one
	Mine           // others reach it, or this agent is in a minority that sees few of its members
	Release        // a share of its backends fails and the rest serve
	Stale          // what fails are backends of which the list has said nothing for long, in all sites
)

var causeNames = [...]string{"", "everyone", "mine", "release", "stale"}

func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return fmt.Sprintf("cause %d", uint8(c))
}

// Config are the times and shares. DefaultConfig gives those for agents that see some attempts a second.
type Config struct {
	Sites     []string
	Slot      time.Duration // in which counts are kept
	Doubt     time.Duration // over which attempts are looked at for a doubt, a whole number of slots
	Lose      time.Duration // a doubted site is lost after failing for so long
	Clear     time.Duration // a doubted site is well after serving for so long
	Least     int           // different backends of a site that have to have failed, or all that it has
	FailShare float64       // of its attempts that fail, to doubt it
	LostShare float64       // and to hold it for lost
	Contrast  float64       // the other sites' share that fails has to be under this one's by so much
	Stale     time.Duration // silence of the list after which it explains failures in all sites
	Late      float64       // usual latencies after which an attempt without an answer speaks of silence ...
	LateLeast time.Duration // ... and the least time
	Reached   float64       // share of the members asked, elsewhere, that reach a site: over it the site lives
	Most      int
}

// DefaultConfig watches sites for attempts of some ten milliseconds.
func DefaultConfig(sites []string) Config {
	return Config{Sites: sites, Slot: 200 * time.Millisecond, Doubt: time.Second, Lose: 600 * time.Millisecond, Clear: 2 * time.Second,
		Least: 3, FailShare: 0.5, LostShare: 0.8, Contrast: 0.4, Stale: 10 * time.Second, Late: 4,
		LateLeast: 100 * time.Millisecond, Reached: 0.25, Most: 64}
}

// Check names the first value that makes no sense.
func (c *Config) Check() error {
	switch {
	case len(c.Sites) == 0:
		return errors.New("sites: none")
	case len(c.Sites) > c.Most:
		return fmt.Errorf("sites: %d are over %d", len(c.Sites), c.Most)
	case c.Slot <= 0:
		return fmt.Errorf("slot: %v makes no sense", c.Slot)
	case c.Doubt < c.Slot || c.Doubt > slotsMost*c.Slot:
		return fmt.Errorf("doubt: %v is not within 1 and %d slots of %v", c.Doubt, slotsMost, c.Slot)
	case c.Lose < 0 || c.Clear < 0 || c.Stale < 0:
		return errors.New("lose, clear, stale: negative")
	case c.Least < 1:
		return fmt.Errorf("least: %d backends make no sense", c.Least)
	case !(c.FailShare > 0 && c.FailShare <= c.LostShare && c.LostShare <= 1):
		return fmt.Errorf("fail_share, lost_share: %v and %v have to be over 0, in this order, and 1 at the most", c.FailShare, c.LostShare)
	case !(c.Contrast >= 0 && c.Contrast < 1):
		return fmt.Errorf("contrast: %v is not within 0 and 1", c.Contrast)
	case !(c.Late >= 1) || c.LateLeast < 0:
		return fmt.Errorf("late: %v usual latencies, %v at the least, make no sense", c.Late, c.LateLeast)
	case !(c.Reached >= 0 && c.Reached < 1):
		return fmt.Errorf("reached: %v is not within 0 and 1", c.Reached)
	}
	for i, s := range c.Sites {
		if s == "" || slices.Contains(c.Sites[:i], s) {
			return fmt.Errorf("sites: %q stands twice, or is empty", s)
		}
	}
	return nil
}

const (
	slotsMost = 16
	triedMost = 256 // backends of a site that are told apart in a slot's span
)

// Fleet is what the members of the fleet say, where they are known.
type Fleet struct {
	Known    bool
	Majority bool  // this agent sees more than half of the fleet
	Alive    []int // members of each site that live, this agent's view
	Expected []int // and how many there are when all is well
	// Of the members of other sites those that say that a site answers them, and that say anything of it; nil: they
	// don't tell.
	Reach, Asked []int
}

// Listed is what the list says of a site.
type Listed struct {
	Backends int // that are listed
	Up       int // of these, not draining
	Started  int // of these, started since the site was lost
}

// Evidence is what a state rests on, for those who ask.
type Evidence struct {
	Site      string
	State     State
	Since     time.Duration
	Tried     int // different backends, over Config.Doubt
	Failing   int // of these, that served nothing
	Counts    [kinds]int
	Row       int     // attempts that failed since the last one that was answered
	Share     float64 // of attempts that failed
	Elsewhere float64 // the same in the other sites
	Cause     Cause
	ByHand    bool
	Losses    int // lately
	Listed    int // backends
	Reach     int // members elsewhere that are answered there ...
	Asked     int // ... of those that say anything
}

// Change is a state that a site came to.
type Change struct {
	Site     int
	From, To State
	At       time.Duration
	Cause    Cause
}

type slot struct {
	at     time.Duration // its beginning; -1: empty
	counts [kinds]int
}

type tried struct {
	served, failed time.Duration // when it last did; -1: never
}

type siteState struct {
	state   State
	since   time.Duration
	failing time.Duration // since when LostShare is reached; -1: it isn't
	serving time.Duration // since when it isn't reached any more, while doubted; -1: it is
	slots   [slotsMost]slot
	tried   map[string]*tried
	listed  Listed
	cause   Cause
	byHand  bool
	losses  []time.Duration // when it was lost, lately
	trials  int             // attempts served since it was lost
	failed  int             // and trials that failed since one was served
	row     int             // attempts that failed since the last that was answered
	okAt    time.Duration   // when that was; -1: never
	wasLost bool            // cut: it was lost before, for others too
	late    []Late
	seen    seen // of the last Tick
}

// Watch keeps the state of each site.
type Watch struct {
	cfg     Config
	now     time.Duration
	own     int
	sites   []siteState
	fleet   Fleet
	usual   float64       // running mean of served latency, ns
	listAt  time.Duration // when the list last said something
	changes []Change
}

// New returns a watch of an agent of a site, by its place in Config.Sites; -1: of none of them.
func New(cfg Config, own int, now time.Duration) (*Watch, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("sites: %w", err)
	}
	if own < -1 || own >= len(cfg.Sites) {
		return nil, fmt.Errorf("sites: own site %d is none of %d", own, len(cfg.Sites))
	}
	w := &Watch{cfg: cfg, own: own, now: now, listAt: now, sites: make([]siteState, len(cfg.Sites))}
	for i := range w.sites {
		s := &w.sites[i]
		s.since, s.failing, s.serving, s.okAt, s.tried = now, -1, -1, -1, map[string]*tried{}
		for k := range s.slots {
			s.slots[k].at = -1
		}
	}
	return w, nil
}

// List takes what the list says now, for each site.
func (w *Watch) List(now time.Duration, listed []Listed) {
	w.now, w.listAt = max(w.now, now), max(w.now, now)
	for i := range w.sites {
		s := &w.sites[i]
		was := s.listed.Started
		if s.listed = (Listed{}); i < len(listed) {
			s.listed = listed[i]
		}
		if s.listed.Started > was { // what failed before says nothing of what has started since
			s.failed = 0
		}
	}
}

// Members takes what the fleet's members say.
func (w *Watch) Members(now time.Duration, f Fleet) {
	w.now, w.fleet = max(w.now, now), f
}

// ByHand holds a site for lost until it is called back by hand, whatever the evidence.
func (w *Watch) ByHand(now time.Duration, site int, lost bool) error {
	w.now = max(w.now, now)
	if site < 0 || site >= len(w.sites) {
		return fmt.Errorf("sites: %d is none of %d", site, len(w.sites))
	}
	s := &w.sites[site]
	s.byHand = lost
	switch {
	case lost && s.state != Lost:
		w.become(site, Lost)
	case !lost && s.state == Lost:
		w.become(site, Returning)
	case !lost && (s.state == Cut || s.state == Doubted):
		w.become(site, Well)
	}
	return nil
}

// Returned says that a site's ramp is over.
func (w *Watch) Returned(now time.Duration, site int) {
	w.now = max(w.now, now)
	if site >= 0 && site < len(w.sites) && w.sites[site].state == Returning {
		w.become(site, Well)
	}
}

// Changes hands over what has changed since the last call.
func (w *Watch) Changes() []Change {
	c := w.changes
	w.changes = nil
	return c
}

const changesMost = 1024

func (w *Watch) become(site int, to State) {
	s := &w.sites[site]
	if s.state == to {
		return
	}
	if len(w.changes) < changesMost {
		w.changes = append(w.changes, Change{Site: site, From: s.state, To: to, At: w.now, Cause: s.cause})
	}
	if to == Lost {
		s.losses = append(s.losses, w.now)
		if len(s.losses) > lossesMost {
			s.losses = s.losses[1:]
		}
	}
	if to == Cut {
		s.wasLost = s.state == Lost
	}
	s.state, s.since, s.failing, s.serving, s.trials, s.failed = to, w.now, -1, -1, 0, 0
}

// State is a site's present state.
func (w *Watch) State(site int) State { return w.sites[site].state }

// Since is when a site came to its state.
func (w *Watch) Since(site int) time.Duration { return w.sites[site].since }

// Last reports whether no other site than this one is in use.
func (w *Watch) Last(site int) bool { return !w.another(site) }

// Sites is how many there are.
func (w *Watch) Sites() int { return len(w.sites) }

// Evidence is what a site's state rests on.
func (w *Watch) Evidence(site int) Evidence {
	s := &w.sites[site]
	seen := &s.seen
	e := Evidence{Site: w.cfg.Sites[site], State: s.state, Since: s.since, Tried: seen.tried, Failing: seen.failing, Counts: seen.counts, Row: s.row + len(s.late),
		Share: seen.share(), Elsewhere: w.elsewhere(site), Cause: s.cause, ByHand: s.byHand, Losses: w.losses(site), Listed: s.listed.Backends}
	if f := &w.fleet; f.Known && site < len(f.Asked) && site < len(f.Reach) {
		e.Reach, e.Asked = f.Reach[site], f.Asked[site]
	}
	return e
}
