// Package calltree simulates calls that fan out as trees over many services. Each hop of a tree is decided by an
// unmodified balance.Balancer: each backend calls the services of its child calls through its own balancers, so that
// the retries of all layers interact.
//
// # Model
//
// Services are arranged in layers; the number of layers is the maximum depth of a call. A service calls up to two
// services of the next layer. Root calls arrive as a Poisson process. Each root draws its depth from a truncated
// geometric distribution, has one chain of that depth, and may have further branches (Config.Continue,
// Config.Branch). The tree is drawn when the root arrives, from a random source of its own, so that scenarios with the
// same seed have the same calls and differ only in how the calls end.
//
// A backend has cores and a bounded queue. It serves a call by working on a core and then calling all children at
// once; the call fails when the first child fails. Deadlines propagate down the tree: a child's deadline is before its
// parent's.
//
// # Determinism
//
// A run uses one goroutine, one event queue ordered by time and then by scheduling order, and random sources derived
// from the seed. Nothing depends on map iteration order or on the wall clock.
package calltree

import (
	"fmt"
	"time"
)

// Fault is the kind of failure injected into a run. Faults start at the end of the warm-up and last until the run ends.
type Fault string

// The faults.
const (
	FaultNone         Fault = "none"
	FaultLeafAttempts Fault = "leaf-attempts" // each attempt at a leaf fails at random, immediately: a retry may succeed
	FaultLeafCalls    Fault = "leaf-calls"    // some leaves of trees fail on every attempt: no retry succeeds
	FaultAnswers      Fault = "answers"       // at each layer, a call fails at random after all its children were served
	FaultSlow         Fault = "slow"          // one service answers after the deadline
	FaultRefused      Fault = "refused"       // one service is down, and connections to it are refused
	FaultSilent       Fault = "silent"        // one service is down, and attempts at it time out
)

// Config describes a run. DefaultConfig returns the full size.
type Config struct {
	Seed uint64

	Services int     // spread evenly over the layers
	Backends int     // of all services, allocated by load
	Depth    int     // number of layers, and maximum depth of a call
	Gateways int     // agents through which clients reach the first layer
	Rate     float64 // calls per second over all layers when nothing fails

	Continue float64 // probability that a chain continues one layer deeper
	Branch   float64 // probability that a call with a child has a second one
	Unsafe   float64 // share of trees whose main chain must not be executed twice

	Warm    time.Duration // simulated time before faults and measurement start
	Measure time.Duration // simulated time in which arriving roots are measured

	Work     time.Duration // mean time of a call on a core without its children, exponentially distributed
	Cores    int           // per backend
	Queue    int           // maximum number of calls that wait for a core at a backend
	Network  time.Duration // one-way delay between an agent and a backend
	Aim      time.Duration // of a root; a service's aim is proportional to the number of layers from its own down
	Deadline time.Duration // of a root, over all tries of its client
	Patience time.Duration // deadline of the client's first try

	ClientRetry bool // the client makes a second try if the first is not served
	MaxAttempts int  // attempts of a balancer per call; 1: no retries
	Peers       bool // balancers of one service exchange peer messages
	Reports     bool // answers carry load reports
	TellLeft    bool // balancers get the time left for each call; otherwise always the root's whole deadline
	Cancel      bool // work for abandoned attempts is cancelled, down the tree

	Fault        Fault
	FailShare    float64 // failure probability of FaultLeafAttempts, FaultLeafCalls and FaultAnswers
	FaultService int     // service affected by the other faults

	// DontRetryMark simulates a mechanism that the balancer doesn't have: a failure that the agent of the failed call has
	// already handled is marked on its way up the tree, and no agent above retries it.
	DontRetryMark bool
}

// DefaultConfig returns the design size: 450 backends, 68 services, 76,000 calls per second, 17 layers.
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

// check returns an error that names the first field with an invalid value.
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
		{"FaultService", !c.hasServiceFault() || c.FaultService >= 0 && c.FaultService < c.Services},
		{"Fault", c.Fault == FaultNone || c.Fault == FaultAnswers || c.Fault == FaultLeafAttempts || c.Fault == FaultLeafCalls ||
			c.Fault == FaultSlow || c.Fault == FaultRefused || c.Fault == FaultSilent},
	} {
		if !f.ok {
			return fmt.Errorf("calltree: %s is invalid", f.field)
		}
	}
	return nil
}

// maxDepth is the maximum number of layers of a run.
const maxDepth = 64
