package calltree

import (
	"time"

	"lemonrail/balance"
)

// outcome is the result of an attempt or an execution. A marked outcome is a failure that no agent above may retry
// (Config.DontRetryMark).
type outcome struct {
	result balance.Result
	marked bool
	load   balance.Load // reported by the backend
}

// agent is the balancer through which one caller, a gateway or a backend, calls one service.
type agent struct {
	balancer *balance.Balancer
	service  int              // index of the called service
	index    int              // index among the agents that call the service
	calls    map[string]*call // open calls by ID; never iterated, since map order is random
}

// server is one backend, or a gateway, which only calls.
type server struct {
	id          string
	service     int           // index of its service; -1: a gateway
	agents      []*agent      // one per service that this backend calls, in the order of service.children
	busy        int           // busy cores
	outstanding int           // executions accepted and not yet answered
	waiting     []*execution  // executions that wait for a core, the first one first
	worked      time.Duration // core time spent in the measured period
}

// root is a client's call, over all its tries.
type root struct {
	tree     *tree // its call tree, the same at each try
	gateway  int   // index of the gateway that the client uses
	arrived  time.Duration
	deadline time.Duration // time at which the client stops waiting
	tries    int           // number of tries so far
	measured bool          // it arrived in the measured period

	attempts, leafAttempts, deepAttempts, steps int // over all calls of its trees; deepAttempts: at the last layer of all, Config.Depth; steps: of balancers
}

// try is one try of a client, with all executions of the tree that it caused.
type try struct {
	root   *root
	call   *call // the call at the root of the tree
	ended  bool  // the client has its result
	served bool
	worked time.Duration // core time of its executions
}

// call is one call to a service, decided by one agent. Its attempts are sequential.
type call struct {
	id           string
	agent        *agent // agent that decides the call
	node         *node  // its place in the tree
	try          *try
	parent       *execution // nil: made by the client
	started      time.Duration
	deadline     time.Duration // time at which the caller stops waiting
	attempts     []*attempt
	waitingSince time.Duration // start of the wait for the next attempt
	ending       ending
	reason       balance.Reason // the balancer's reason for refusing or failing the call
	retryAfter   time.Duration  // Retry-After of a refusal
	ended        bool           // its ending has been recorded
}

// attempt is one attempt of a call at a backend.
type attempt struct {
	call   *call
	number int // 0: the first attempt of the call
	server *server
	sent   time.Duration
	run    *execution // execution of the attempt; nil: not accepted by the backend yet or at all
	closed bool       // the outcome has been handled
}

// execution is a backend's processing of one attempt.
type execution struct {
	attempt   *attempt
	server    *server
	work      time.Duration // core time that it needs
	repeated  bool          // the same node was executed before
	pending   int           // number of child calls that have not ended
	children  []*call       // child calls, after the work on the core
	answered  bool          // its outcome has been sent to the agent
	cancelled bool          // its caller no longer waits for it
}

// ending is the way a call ended.
type ending uint8

const (
	notEnded ending = iota
	endedServed
	endedRefused
	endedFailed
	endedAbandoned // abandoned by the caller
)
