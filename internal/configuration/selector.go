package configuration

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// Machine is a control machine as agents see it.
type Machine struct {
	Name    string
	Region  string
	Address string
	// WitnessOf are other regions whose scopes the machine holds too.
	WitnessOf []string
}

// Times of a Selector.
const (
	FirstWaitMost   = time.Second       // before the first attempt of a process
	FailureWaitBase = time.Second       // longest wait after the first failure; doubles with each further one
	FailureWaitMost = 6 * time.Second   // up to this
	HeldAfter       = 10 * time.Second  // a watch that has lasted this long ends a row of failures
	ReturnAfter     = 30 * time.Second  // shortest time at another machine before a preferred one is tried again
	ReturnSpread    = 120 * time.Second // agents return evenly spread over this time after it
)

// Selector decides which control machine an agent watches and when: one of its own region, by a hash of the agent's
// name, then the region's others, then those of other regions that hold the region's scopes. After a failure it goes
// on to the next one, with waits of full jitter, and returns to a preferred one later, at a time of chance.
type Selector struct {
	random   func() float64
	machines []Machine // in order of preference
	current  int       // place of the machine that is watched or tried
	failures int       // in a row

	connected   bool
	connectedAt time.Duration
	candidate   int // place of the preferred machine that is tried next, less than current
	returnAt    time.Duration
}

// NewSelector returns the selector of an agent. random returns evenly spread numbers in [0, 1).
func NewSelector(place Place, machines []Machine, random func() float64) *Selector {
	return &Selector{random: random, machines: preferred(place, machines)}
}

// preferred are the machines that hold an agent's scopes, in its order of preference.
func preferred(place Place, machines []Machine) []Machine {
	holding := slices.Clone(machines)
	holding = slices.DeleteFunc(holding, func(m Machine) bool {
		return m.Region != place.Region && !slices.Contains(m.WitnessOf, place.Region)
	})
	distance := func(m Machine) int {
		if m.Region == place.Region {
			return 0
		}
		return 1
	}
	slices.SortFunc(holding, func(a, b Machine) int {
		return cmp.Or(
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(rank(place, b), rank(place, a)),
			cmp.Compare(a.Name, b.Name))
	})
	return holding
}

// rank is the rendezvous hash of an agent and a machine: the agent prefers the highest. A machine more or less moves
// only the agents that prefer it.
func rank(place Place, m Machine) uint64 {
	sum := sha256.Sum256([]byte(place.Region + "/" + place.Agent + "/" + m.Name))
	return binary.BigEndian.Uint64(sum[:])
}

// Machines are those that the agent may use, in its order of preference.
func (s *Selector) Machines() []Machine { return slices.Clone(s.machines) }

// Next is the machine to connect to, and how long to wait before. ok is false where no machine holds the agent's
// scopes.
func (s *Selector) Next() (machine Machine, wait time.Duration, ok bool) {
	if len(s.machines) == 0 {
		return Machine{}, 0, false
	}
	return s.machines[s.current], s.wait(), true
}

// wait is full jitter: any time up to one that doubles with each failure.
func (s *Selector) wait() time.Duration {
	longest := FirstWaitMost
	if s.failures > 0 {
		longest = FailureWaitBase
		for i := 1; i < s.failures && longest < FailureWaitMost; i++ {
			longest *= 2
		}
		longest = min(longest, FailureWaitMost)
	}
	return time.Duration(s.random() * float64(longest))
}

// Connected says that a watch of the machine of the last Next stands.
func (s *Selector) Connected(now time.Duration) {
	s.connected, s.connectedAt = true, now
	s.candidate = 0
	s.planReturn(now)
}

// Failed says that the machine couldn't be reached, refused, or that its watch ended. Next then goes on to another.
func (s *Selector) Failed(now time.Duration) {
	if s.connected && now-s.connectedAt >= HeldAfter {
		s.failures = 0
	}
	s.failures++
	s.connected = false
	if len(s.machines) > 0 {
		s.current = (s.current + 1) % len(s.machines)
	}
}

// Return is a preferred machine where it is time to try it beside the watch of another one, which is to be kept until
// the new one stands.
func (s *Selector) Return(now time.Duration) (machine Machine, due bool) {
	if !s.connected || s.current == 0 || now < s.returnAt {
		return Machine{}, false
	}
	return s.machines[s.candidate], true
}

// Returned says whether the machine of Return could be reached. If not, it or another preferred one is tried later.
func (s *Selector) Returned(now time.Duration, reached bool) {
	if !s.connected || s.current == 0 {
		return
	}
	if reached {
		s.current = s.candidate
		s.Connected(now)
		return
	}
	s.candidate = (s.candidate + 1) % s.current
	s.planReturn(now)
}

func (s *Selector) planReturn(now time.Duration) {
	s.returnAt = now + ReturnAfter + time.Duration(s.random()*float64(ReturnSpread))
}
