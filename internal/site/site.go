// Package site decides how an agent handles the loss of a whole site: which sites are well, doubted, lost or
// returning, where the load of a lost site goes, which classes are refused first, and how fast a returning site
// gets its load back. The package performs no I/O, has no clock and starts no goroutine: the caller passes time
// and evidence in. A Watch is not safe for concurrent use.
//
//	well ──> doubted ──> lost ──> returning ──> well
//	  ^────────┤│          ^─────────┘
//	  │        └──> cut ──> lost
//	  └──────────────┘
//
// Outcomes of attempts are counted by kind, since the kinds have different causes: a connection that doesn't
// come up and a missing answer point to the network or to the machine, an error response comes from a live
// process. A lost site is distinguished from a bad release by comparison with the other sites, and from trouble of
// this agent by whether any other site still answers and, where the fleet has a membership, by what its members
// report. A site that other members reach but this agent doesn't is cut: the agent sends it no load, as if it
// were lost, but its load comes back without a ramp, since the other agents have kept it warm.
//
// Files: site.go has the configuration and the states; evidence.go the counters; transitions.go the state
// changes; plan.go and plancache.go the plans of where load goes, computed in advance; ramp.go and returns.go
// the return; controller.go the orders for the decision module and the advice for refused clients.
//
// Memory is bounded: Config.MaxSites sites and, per site, maxSlots slots of counters, at most maxTried backends
// and at most maxLate late attempts.
package site

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Outcome is the outcome of an attempt (one request sent to one backend), as far as the state of a site depends on it.
type Outcome uint8

const (
	OK          Outcome = iota // served, or refused by a live process that is full
	Errored                    // a live process returned an error
	Reset                      // the connection broke
	Refused                    // the connection was refused: the machine is alive, the process is not
	Silent                     // the connection didn't come up, or no answer came in time
	numOutcomes                // number of outcomes, not an outcome itself
)

var outcomeNames = [numOutcomes]string{"ok", "errored", "reset", "refused", "silent"}

func (k Outcome) String() string {
	if k < numOutcomes {
		return outcomeNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// State is the state of a site as this agent sees it.
type State uint8

const (
	Well      State = iota // its attempts succeed: it gets its usual load
	Doubted                // its attempts fail: it gets less load until it is clear whether it is lost
	Lost                   // it gets no load but trials
	Returning              // it was lost, and its load comes back on a ramp
	Cut                    // the site is alive, but this agent doesn't reach it
	numStates              // number of states, not a state itself
)

var stateNames = [numStates]string{"well", "doubted", "lost", "returning", "cut"}

func (s State) String() string {
	if s < numStates {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Cause is the reason why the failing attempts at a site are not taken for a loss of that site.
type Cause uint8

const (
	NoCause        Cause = iota // there is no such reason: if attempts fail, the site itself is at fault
	CauseAllSites               // all sites fail alike: the fault is with this agent or with a release
	CauseThisAgent              // other members reach the site, or this agent is in a minority that sees few of the site's members
	CauseRelease                // only some of the site's backends fail
	CauseStaleList              // all sites fail, and the backend list hasn't been updated for long
)

var causeNames = [...]string{"", "everyone", "mine", "release", "stale"}

func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return fmt.Sprintf("cause %d", uint8(c))
}

// Config sets the times and thresholds of a Watch. DefaultConfig fits agents that send a few attempts a second.
type Config struct {
	Sites        []string      // names of the sites; a site is identified by its index here everywhere else
	Slot         time.Duration // duration of one slot of counters
	DoubtWindow  time.Duration // span of attempts that raises a doubt, 1 to maxSlots slots
	LoseAfter    time.Duration // a doubted site is lost after failing for this long
	ClearAfter   time.Duration // a doubted site is well after serving for this long
	MinFailing   int           // backends of a site that must fail before it is doubted or lost; all of them if it has fewer
	FailShare    float64       // share of a site's attempts that must fail to doubt it
	LostShare    float64       // share of a doubted site's attempts that must fail during LoseAfter for it to become lost
	Contrast     float64       // minimum by which a site's share of failed attempts must exceed that of the other sites, for the site to be at fault
	StaleAfter   time.Duration // time since the last update of the backend list after which the list is held to be the cause if all sites fail
	LateFactor   float64       // multiple of the mean latency after which an unanswered attempt counts as Silent ...
	MinLate      time.Duration // ... but not before this time
	ReachedShare float64       // a site counts as alive if more than this share of the reporting members in other sites reach it
	MaxSites     int           // upper bound of len(Sites)
}

// DefaultConfig returns settings for attempts that take some 10 ms.
func DefaultConfig(sites []string) Config {
	return Config{Sites: sites, Slot: 200 * time.Millisecond, DoubtWindow: time.Second, LoseAfter: 600 * time.Millisecond, ClearAfter: 2 * time.Second,
		MinFailing: 3, FailShare: 0.5, LostShare: 0.8, Contrast: 0.4, StaleAfter: 10 * time.Second, LateFactor: 4,
		MinLate: 100 * time.Millisecond, ReachedShare: 0.25, MaxSites: 64}
}

// Check returns an error that names the first invalid setting by its key in the settings file.
func (c *Config) Check() error {
	switch {
	case len(c.Sites) == 0:
		return errors.New("sites: at least one is required")
	case len(c.Sites) > c.MaxSites:
		return fmt.Errorf("sites: %d exceed the maximum of %d", len(c.Sites), c.MaxSites)
	case c.Slot <= 0:
		return fmt.Errorf("slot: %v must be greater than 0", c.Slot)
	case c.DoubtWindow < c.Slot || c.DoubtWindow > maxSlots*c.Slot:
		return fmt.Errorf("doubt: %v is not within 1 and %d slots of %v", c.DoubtWindow, maxSlots, c.Slot)
	case c.LoseAfter < 0 || c.ClearAfter < 0 || c.StaleAfter < 0:
		return errors.New("lose, clear, stale: must not be negative")
	case c.MinFailing < 1:
		return fmt.Errorf("least: %d backends must be at least 1", c.MinFailing)
	case !(c.FailShare > 0 && c.FailShare <= c.LostShare && c.LostShare <= 1):
		return fmt.Errorf("fail_share, lost_share: %v and %v must satisfy 0 < fail_share <= lost_share <= 1", c.FailShare, c.LostShare)
	case !(c.Contrast >= 0 && c.Contrast < 1):
		return fmt.Errorf("contrast: %v is not within [0, 1)", c.Contrast)
	case !(c.LateFactor >= 1) || c.MinLate < 0:
		return fmt.Errorf("late, late_least: %v mean latencies must be at least 1, and %v must not be negative", c.LateFactor, c.MinLate)
	case !(c.ReachedShare >= 0 && c.ReachedShare < 1):
		return fmt.Errorf("reached: %v is not within [0, 1)", c.ReachedShare)
	}
	for i, s := range c.Sites {
		if s == "" || slices.Contains(c.Sites[:i], s) {
			return fmt.Errorf("sites: %q is a duplicate or empty", s)
		}
	}
	return nil
}

const (
	maxSlots = 16  // slots of counters per site
	maxTried = 256 // backends tracked per site
)

// FleetReport is what the members of the fleet (the agents in the membership, package member) report.
type FleetReport struct {
	Known    bool  // there is a membership and the other fields are set
	Majority bool  // this agent sees more than half of the fleet
	Alive    []int // by site: live members there, as this agent sees them
	Expected []int // by site: members there when all are alive
	// By site: number of members in other sites that report that they reach this site, and number of members
	// in other sites that report on it at all. Both are nil if members send no reports.
	Reaching, Reporting []int
}

// ListCounts counts the backends of one site in the backend list.
type ListCounts struct {
	Backends int // listed backends
	Up       int // of these, backends that are up and not draining
	Started  int // of the backends that are up, those that started after the site became lost; 0 unless it is lost
}

// Evidence is what the state of a site is based on, for operators.
type Evidence struct {
	Site               string
	State              State
	Since              time.Duration    // the time at which the site entered State
	TriedBackends      int              // distinct backends that were tried within Config.DoubtWindow
	FailingBackends    int              // number of the tried backends that served nothing since their last failure
	Counts             [numOutcomes]int // attempts within Config.DoubtWindow, by Kind
	FailuresInRow      int              // consecutive failed attempts since the last answer; attempts that are late now count as failed
	FailShare          float64          // share of the attempts within Config.DoubtWindow that failed; an error response is no failure
	FailShareElsewhere float64          // the same share for the attempts at all other sites that are neither lost nor cut
	Cause              Cause            // why the failures aren't taken for a loss of the site
	Manual             bool             // an operator holds the site for lost
	Losses             int              // times that the site became lost within the last 5 minutes (lossMemory)
	Listed             int              // backends of the site in the backend list
	Reaching           int              // members in other sites that report that they reach the site ...
	Reporting          int              // ... of this many that report on it
}

// Change is a transition of a site from one state to another.
type Change struct {
	Site     int // index in Config.Sites
	From, To State
	At       time.Duration
	Cause    Cause // the site's cause when it changed
}

// slot counts the attempts that ended within one Config.Slot.
type slot struct {
	start  time.Duration // start of the slot; -1: unused
	counts [numOutcomes]int
}

// backendTimes holds when an attempt at a backend was last answered and when one last failed.
type backendTimes struct {
	served, failed time.Duration // end of the last answered (an error response included) and of the last failed attempt; -1: none
}

// siteState holds what a Watch stores for one site.
type siteState struct {
	state             State
	since             time.Duration // when the site entered state
	failingSince      time.Duration // start of the time in which nearly all attempts fail, in state Doubted; -1: not the case now
	servingSince      time.Duration // start of the time in which most attempts no longer fail, in state Doubted; -1: not the case now
	slots             [maxSlots]slot
	backends          map[string]*backendTimes // by backend ID
	listed            ListCounts
	cause             Cause           // as of the last Tick
	manual            bool            // an operator holds the site for lost
	lossTimes         []time.Duration // times of the last losses, at most maxLosses
	served            int             // attempts that ended OK since the last change of state
	failedSinceServed int             // attempts that failed since the last one that ended OK or the last change of state
	failuresInRow     int             // consecutive failed attempts since the last answer, late attempts not included
	answeredAt        time.Duration   // time of the last answer, an error response included; -1: never
	wasLost           bool            // the site was Lost before it became Cut: its load then returns on a ramp, not at once
	late              []LateAttempt   // attempts that are without an answer now and count as Silent (IsLate)
	recentSummary     windowSummary   // summary of the attempts within Config.DoubtWindow, made by the last Tick
}

// Watch tracks the state of each site of one agent.
type Watch struct {
	cfg         Config
	now         time.Duration // latest time that a caller passed in
	ownSite     int           // index of this agent's site; -1: none
	sites       []siteState   // in the order of Config.Sites
	fleet       FleetReport
	meanLatency float64       // running mean of the latency of served attempts, in ns
	listedAt    time.Duration // when the backend list was last updated
	changes     []Change      // changes of state that Changes has not returned yet
}

// New returns a Watch for an agent in site own, an index into Config.Sites; -1: the agent is in none of them.
func New(cfg Config, own int, now time.Duration) (*Watch, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("sites: %w", err)
	}
	if own < -1 || own >= len(cfg.Sites) {
		return nil, fmt.Errorf("sites: own site %d is not one of %d sites", own, len(cfg.Sites))
	}
	w := &Watch{cfg: cfg, ownSite: own, now: now, listedAt: now, sites: make([]siteState, len(cfg.Sites))}
	for i := range w.sites {
		s := &w.sites[i]
		s.since, s.failingSince, s.servingSince, s.answeredAt, s.backends = now, -1, -1, -1, map[string]*backendTimes{}
		for k := range s.slots {
			s.slots[k].start = -1
		}
	}
	return w, nil
}

// SetList replaces the counts of the backend list, given by site. Sites beyond the end of listed have no backends.
func (w *Watch) SetList(now time.Duration, listed []ListCounts) {
	w.now, w.listedAt = max(w.now, now), max(w.now, now)
	for i := range w.sites {
		s := &w.sites[i]
		was := s.listed.Started
		if s.listed = (ListCounts{}); i < len(listed) {
			s.listed = listed[i]
		}
		if s.listed.Started > was { // new backends have started: failures from before say nothing about them
			s.failedSinceServed = 0
		}
	}
}

// SetFleet replaces what the members of the fleet report.
func (w *Watch) SetFleet(now time.Duration, f FleetReport) {
	w.now, w.fleet = max(w.now, now), f
}

// SetManual holds a site for lost on behalf of an operator, whatever the evidence, until it is called again with lost
// false. The site then returns on its ramp if it was lost, and is well if it was cut or doubted.
func (w *Watch) SetManual(now time.Duration, site int, lost bool) error {
	w.now = max(w.now, now)
	if site < 0 || site >= len(w.sites) {
		return fmt.Errorf("sites: %d is not one of %d sites", site, len(w.sites))
	}
	s := &w.sites[site]
	s.manual = lost
	switch {
	case lost && s.state != Lost:
		w.setState(site, Lost)
	case !lost && s.state == Lost:
		w.setState(site, Returning)
	case !lost && (s.state == Cut || s.state == Doubted):
		w.setState(site, Well)
	}
	return nil
}

// RampDone makes a returning site well. The caller calls it when the site's ramp allows it all of its load.
func (w *Watch) RampDone(now time.Duration, site int) {
	w.now = max(w.now, now)
	if site >= 0 && site < len(w.sites) && w.sites[site].state == Returning {
		w.setState(site, Well)
	}
}

// Changes returns the changes of state since its last call, oldest first. Only the first maxChanges are kept.
func (w *Watch) Changes() []Change {
	c := w.changes
	w.changes = nil
	return c
}

// maxChanges is the greatest number of changes kept for Changes.
const maxChanges = 1024

// setState moves a site to another state, records the change, and restarts the counts that begin with a state.
func (w *Watch) setState(site int, to State) {
	s := &w.sites[site]
	if s.state == to {
		return
	}
	if len(w.changes) < maxChanges {
		w.changes = append(w.changes, Change{Site: site, From: s.state, To: to, At: w.now, Cause: s.cause})
	}
	if to == Lost {
		s.lossTimes = append(s.lossTimes, w.now)
		if len(s.lossTimes) > maxLosses {
			s.lossTimes = s.lossTimes[1:]
		}
	}
	if to == Cut {
		s.wasLost = s.state == Lost
	}
	s.state, s.since, s.failingSince, s.servingSince, s.served, s.failedSinceServed = to, w.now, -1, -1, 0, 0
}

// State returns the present state of a site.
func (w *Watch) State(site int) State { return w.sites[site].state }

// Since returns when a site entered its present state.
func (w *Watch) Since(site int) time.Duration { return w.sites[site].since }

// IsLastInUse reports whether all other sites are lost or cut.
func (w *Watch) IsLastInUse(site int) bool { return !w.otherSiteInUse(site) }

// NumSites returns the number of configured sites.
func (w *Watch) NumSites() int { return len(w.sites) }

// Evidence returns what the state of a site is based on, as of the last Tick.
func (w *Watch) Evidence(site int) Evidence {
	s := &w.sites[site]
	seen := &s.recentSummary
	e := Evidence{Site: w.cfg.Sites[site], State: s.state, Since: s.since, TriedBackends: seen.tried, FailingBackends: seen.failing, Counts: seen.counts, FailuresInRow: s.failuresInRow + len(s.late),
		FailShare: seen.failShare(), FailShareElsewhere: w.failShareElsewhere(site), Cause: s.cause, Manual: s.manual, Losses: w.recentLosses(site), Listed: s.listed.Backends}
	if f := &w.fleet; f.Known && site < len(f.Reporting) && site < len(f.Reaching) {
		e.Reaching, e.Reporting = f.Reaching[site], f.Reporting[site]
	}
	return e
}
