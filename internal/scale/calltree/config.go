// Package calltree plays calls as trees over many services in simulated time. Each hop of a tree is decided by a
// balance.Balancer as it stands: each backend calls its children's services through balancers of its own, so that the
// retries of all layers meet.
//
// # Model
//
// Services stand in layers, as many as a call may be deep. A service calls two services of the next layer. Roots
// arrive as a Poisson stream; each draws its depth from a truncated geometric distribution, has one chain of that
// depth, and further branches on the way (Config.Continue, Config.Branch). The tree is drawn when the root arrives, from
// a source of its own, so that scenarios of one seed differ in what happens to the calls and not in the calls.
//
// A backend has cores and a bounded queue. A call is served by work on a core, then by calls to all children at once;
// the first child that fails fails it. The deadline is told downwards: a child's call ends before its parent's does.
//
// # Determinism
//
// A run is one goroutine, one queue of events in order of time and then of scheduling, and random sources that come
// from the seed. Nothing depends on the order of a map or on the machine's time.
package calltree

import (
	"fmt"
	"time"
)

// Fault says what is wrong during a run. Faults begin at the end of the warm-up and last to the end.
type Fault string

// The faults.
const (
	FaultNone         Fault = "none"
	FaultLeafAttempts Fault = "leaf-attempts" // each attempt at a leaf fails by chance, at once: a retry may help
	FaultLeafCalls    Fault = "leaf-calls"    // some leaves of trees fail whenever they are tried: no retry helps
	FaultAnswers      Fault = "answers"       // at each layer, answers fail by chance when all below has been served
	FaultSlow         Fault = "slow"          // one service answers after the deadline
	FaultRefused      Fault = "refused"       // one service is dead, and connections to it are refused
	FaultSilent       Fault = "silent"        // one service is dead, and says nothing until the deadline
)

// Config describes a run. DefaultConfig has the full size.
type Config struct {
	Seed uint64

	Services int     // stand in layers, evenly
	Backends int     // over all services, by their load
	Depth    int     // layers, and the depth of the deepest call
	Gateways int     // agents through which clients reach the first layer
	Rate     float64 // calls a second over all layers, where nothing fails

	Continue float64 // chance that a tree, or a branch, goes one layer deeper
	Branch   float64 // chance that a call on the way has a second child
	Unsafe   float64 // share of trees whose deepest chain may not be repeated

	Warm    time.Duration // simulated time before faults and counting begin
	Measure time.Duration // simulated time in which roots are counted

	Work     time.Duration // mean work of a call on a core, without its children; exponential
	Cores    int           // of a backend
	Queue    int           // calls that wait at a backend beyond those on cores
	Network  time.Duration // one way between an agent and a backend
	Aim      time.Duration // of a root; a service's aim shrinks evenly with the layers below it
	Deadline time.Duration // of a root, over the client's tries
	Patience time.Duration // of the client's first try

	ClientRetry bool // the client tries once more by itself
	MaxAttempts int  // of a balancer for one call; 1: no retries
	Peers       bool // balancers of one service tell each other what they want
	Reports     bool // answers carry what the backend holds
	TellLeft    bool // balancers are told the time that a call has left; else the root's deadline, always
	Cancel      bool // what nobody waits for any longer is cancelled, down the tree

	Fault        Fault
	FailShare    float64 // of FaultLeafAttempts, FaultLeafCalls and FaultAnswers
	FaultService int     // of the other faults

	// DontRetryMark tries a mechanism that isn't built: a failure of a call that its own agent has dealt with is marked
	// on its way up, and no agent above retries it.
	DontRetryMark bool
}

// DefaultConfig is the size to design for: 450 backends, 68 services, 76,000 calls a second, 17 deep.
func DefaultConfig() Config {
	const ms = time.Millisecond
	return Config{
		Seed: 1, Services: 68, Backends: 450, Depth: 17, Gateways: 8, Rate: 76000,
		Continue: 0.85, Branch: 0.25, Unsafe: 0.15,
		Warm: 4 * time.Second, Measure: 6 * time.Second,
		Work: 4 * ms, Cores: 2, Queue: 64, Network: 250 * time.Microsecond,
		Aim: 400 * ms, Deadline: 1500 * ms, Patience: 900 * ms,
		ClientRetry: true, MaxAttempts: 4, Peers: true, Reports: true, TellLeft: true,
		Fault: FaultNone, FaultService: 20,
	}
}

// check names the first field that makes no sense.
func (c *Config) check() error {
	for _, f := range []struct {
		field string
		ok    bool
	}{
		{"Depth", c.Depth >= 1 && c.Depth <= maxDepth},
		{"Services", c.Services >= c.Depth},
		{"Backends", c.Backends >= c.Services},
		{"Gateways", c.Gateways >= 1},
		{"Rate", c.Rate > 0},
		{"Continue", c.Continue >= 0 && c.Continue <= 1},
		{"Branch", c.Branch >= 0 && c.Branch <= 1},
		{"Unsafe", c.Unsafe >= 0 && c.Unsafe <= 1},
		{"Warm", c.Warm >= 0},
		{"Measure", c.Measure > 0},
		{"Work", c.Work > 0},
		{"Cores", c.Cores >= 1},
		{"Queue", c.Queue >= 0},
		{"Network", c.Network > 0},
		{"Aim", c.Aim > 0},
		{"Deadline", c.Deadline > 0},
		{"Patience", c.Patience > 0 && c.Patience <= c.Deadline},
		{"MaxAttempts", c.MaxAttempts >= 1},
		{"FailShare", c.FailShare >= 0 && c.FailShare <= 1},
		{"FaultService", !c.faultsService() || c.FaultService >= 0 && c.FaultService < c.Services},
		{"Fault", c.Fault == FaultNone || c.Fault == FaultAnswers || c.Fault == FaultLeafAttempts || c.Fault == FaultLeafCalls ||
			c.Fault == FaultSlow || c.Fault == FaultRefused || c.Fault == FaultSilent},
	} {
		if !f.ok {
			return fmt.Errorf("calltree: %s makes no sense", f.field)
		}
	}
	return nil
}

// maxDepth bounds the layers of a run.
const maxDepth = 64
