package configuration

import "time"

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
	ReturnAfter     = 30 * time.Second  // shortest time at another machine before the preferred one is tried again
	ReturnSpread    = 120 * time.Second // agents return evenly spread over this time after it
)

// Selector decides which control machine an agent watches and when: one of its own region, by a hash of the agent's
// name, then the region's others, then those of other regions that hold the region's scopes.
type Selector struct{}

// NewSelector returns the selector of an agent. random returns evenly spread numbers in [0, 1).
func NewSelector(place Place, machines []Machine, random func() float64) *Selector {
	return &Selector{}
}

// Machines are those that the agent may use, in its order of preference.
func (s *Selector) Machines() []Machine { return nil }

// Next is the machine to connect to, and how long to wait before. ok is false where no machine holds the agent's scopes.
func (s *Selector) Next() (machine Machine, wait time.Duration, ok bool) { return Machine{}, 0, false }

// Connected says that a watch of the machine of the last Next stands.
func (s *Selector) Connected(now time.Duration) {}

// Failed says that the machine couldn't be reached, refused, or that its watch ended. Next then goes on to another.
func (s *Selector) Failed(now time.Duration) {}

// Return is the preferred machine where it is time to try it again beside the watch of another one, which is to be
// kept until the new one stands.
func (s *Selector) Return(now time.Duration) (machine Machine, due bool) { return Machine{}, false }

// Returned says whether the preferred machine could be reached. If not it is tried again later.
func (s *Selector) Returned(now time.Duration, reached bool) {}
