package configuration

import "time"

// Tracker is what one control machine knows of the agents that watch it or have reported to it. Times are on the
// machine's monotonic clock, whose zero is of no matter.
type Tracker struct{}

// Bounds of a Tracker.
const (
	AgentsMost  = 4096             // agents that are remembered
	ForgetAfter = 24 * time.Hour   // after the last word of an agent that isn't connected
	SettleTime  = 15 * time.Second // after the machine's start, in which agents may not have found it yet
)

// NewTracker returns the tracker of a machine that starts now and knows nobody.
func NewTracker(machine string, now time.Duration) *Tracker { return &Tracker{} }

// Settled reports whether the machine has run for SettleTime. Until then what it knows may be short of agents, and it
// is to count as unreachable for InForce.
func (t *Tracker) Settled(now time.Duration) bool { return false }

// Connected says that an agent has begun a watch. It is refused where AgentsMost agents are connected already. An
// agent may have several watches open.
func (t *Tracker) Connected(place Place, now time.Duration) error { return errStub }

// Disconnected says that a watch of an agent has ended.
func (t *Tracker) Disconnected(place Place, now time.Duration) {}

// Reported takes an agent's report. It is refused where AgentsMost agents are connected and this one is none of them.
func (t *Tracker) Reported(report Report, now time.Duration) error { return errStub }

// Local is what the machine knows, by region and agent.
func (t *Tracker) Local(now time.Duration) []AgentStatus { return nil }

// InForce says whether a revision of a scope (or a later one) is in force everywhere, by what machines know of agents.
// The newest report of an agent counts; it is connected if it is at any machine. Everywhere needs at least one agent,
// all of them connected and at the revision, and no machine unreachable.
func InForce(scope Scope, at Position, all [][]AgentStatus, unreachable []string) Status {
	return Status{}
}
