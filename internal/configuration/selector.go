package configuration

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// Machine is a control machine as configured at the agents.
type Machine struct {
	Name    string // unique among the control machines
	Region  string
	Address string // of its HTTP server, HOST:PORT
	// WitnessOf lists the other regions in whose groups the machine votes, so that it has their scopes as
	// well.
	WitnessOf []string
}

// Timing of a Selector.
const (
	MaxFirstWait    = time.Second       // longest wait before the first attempt of a process
	BaseFailureWait = time.Second       // longest wait after the first failure; doubles with each further one
	MaxFailureWait  = 2 * time.Second   // limit of the wait after failures, so that a change is in force within 9 s even if 30% of connections fail
	StableAfter     = 10 * time.Second  // a watch that has lasted this long resets the count of failures
	ReturnAfter     = 30 * time.Second  // shortest time at another machine of the region before a preferred one is tried
	ReturnSpread    = 120 * time.Second // agents return evenly spread over this time after ReturnAfter
	// AwayReturnAfter and AwayReturnSpread take the place of ReturnAfter and ReturnSpread while a machine of
	// another region is watched. They are short because that machine doesn't get the changes of the agent's
	// own region while the regions are partitioned, and those have to be in force within seconds.
	AwayReturnAfter  = 2 * time.Second
	AwayReturnSpread = 4 * time.Second
)

// Selector decides which control machine an agent watches, and when. It prefers the machines of the agent's
// region in an order given by a hash with the agent's name, then those of other regions that hold the
// region's scopes. After a failure it moves to the next machine after a random wait (full jitter: uniform
// between 0 and a limit), and some random time later it returns to a preferred one.
type Selector struct {
	random   func() float64 // uniformly distributed in [0, 1)
	region   string         // region of the agent
	machines []Machine      // in order of preference
	current  int            // index of the machine that is watched or tried
	failures int            // failures since the last watch that lasted StableAfter

	connected   bool          // the watch of the current machine is established
	connectedAt time.Duration // when it was established
	candidate   int           // index of the preferred machine to be tried next, less than current
	returnAt    time.Duration // when to try the candidate
}

// NewSelector returns the selector of an agent. random returns uniformly distributed numbers in [0, 1).
func NewSelector(place Place, machines []Machine, random func() float64) *Selector {
	return &Selector{random: random, region: place.Region, machines: preferenceOrder(place, machines)}
}

// preferenceOrder returns the machines that hold an agent's scopes, in the agent's order of preference.
func preferenceOrder(place Place, machines []Machine) []Machine {
	candidates := slices.Clone(machines)
	candidates = slices.DeleteFunc(candidates, func(m Machine) bool {
		return m.Region != place.Region && !slices.Contains(m.WitnessOf, place.Region)
	})
	distance := func(m Machine) int {
		if m.Region == place.Region {
			return 0
		}
		return 1
	}
	slices.SortFunc(candidates, func(a, b Machine) int {
		return cmp.Or(
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(rendezvousHash(place, b), rendezvousHash(place, a)),
			cmp.Compare(a.Name, b.Name))
	})
	return candidates
}

// rendezvousHash ranks the machines for an agent, which prefers the highest. Adding or removing a machine
// moves only the agents that prefer that machine.
func rendezvousHash(place Place, m Machine) uint64 {
	sum := sha256.Sum256([]byte(place.Region + "/" + place.Agent + "/" + m.Name))
	return binary.BigEndian.Uint64(sum[:])
}

// Machines returns the machines that the agent may use, in order of preference.
func (s *Selector) Machines() []Machine { return slices.Clone(s.machines) }

// Next returns the machine to connect to and how long to wait before. ok is false if no machine holds the
// agent's scopes.
func (s *Selector) Next() (machine Machine, wait time.Duration, ok bool) {
	if len(s.machines) == 0 {
		return Machine{}, 0, false
	}
	return s.machines[s.current], s.jitteredWait(), true
}

// jitteredWait returns a wait with full jitter: uniform up to a limit that doubles with each failure.
func (s *Selector) jitteredWait() time.Duration {
	maxWait := MaxFirstWait
	if s.failures > 0 {
		maxWait = BaseFailureWait
		for i := 1; i < s.failures && maxWait < MaxFailureWait; i++ {
			maxWait *= 2
		}
		maxWait = min(maxWait, MaxFailureWait)
	}
	return time.Duration(s.random() * float64(maxWait))
}

// Connected records that the watch of the machine returned by Next is established.
func (s *Selector) Connected(now time.Duration) {
	s.connected, s.connectedAt = true, now
	s.candidate = 0
	s.scheduleReturn(now)
}

// Failed records that the machine couldn't be reached, refused the watch or ended it. Next then returns
// another machine.
func (s *Selector) Failed(now time.Duration) {
	if s.connected && now-s.connectedAt >= StableAfter {
		s.failures = 0
	}
	s.failures++
	s.connected = false
	if len(s.machines) > 0 {
		s.current = (s.current + 1) % len(s.machines)
	}
}

// ReturnTarget returns a preferred machine and true when it is time to try it while another machine is
// watched. The caller keeps the current watch until the one at the preferred machine is established.
func (s *Selector) ReturnTarget(now time.Duration) (machine Machine, due bool) {
	if !s.connected || s.current == 0 || now < s.returnAt {
		return Machine{}, false
	}
	return s.machines[s.candidate], true
}

// ReturnFinished records whether a watch at the machine of ReturnTarget was established, which then is the
// watched one. If not, a preferred machine is tried again later.
func (s *Selector) ReturnFinished(now time.Duration, reached bool) {
	if !s.connected || s.current == 0 {
		return
	}
	if reached {
		s.current = s.candidate
		s.Connected(now)
		return
	}
	s.candidate = (s.candidate + 1) % s.current
	s.scheduleReturn(now)
}

// scheduleReturn sets the time at which a preferred machine is tried, at random within the spread.
func (s *Selector) scheduleReturn(now time.Duration) {
	after, spread := ReturnAfter, ReturnSpread
	if s.machines[s.current].Region != s.region {
		after, spread = AwayReturnAfter, AwayReturnSpread
	}
	s.returnAt = now + after + time.Duration(s.random()*float64(spread))
}
