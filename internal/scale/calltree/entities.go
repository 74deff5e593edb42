package calltree

import (
	"time"

	"lemonrail/balance"
)

// outcome is how an attempt or an execution ended. Marked goes with a failure that no agent above is to retry.
type outcome struct {
	result balance.Result
	marked bool
	load   balance.Load // as the backend reported it
}

// agent is one balancer: that of a caller for one service.
type agent struct {
	balancer *balance.Balancer
	service  int
	self     int
	calls    map[string]*call // open ones; never walked
}

// server is one backend.
type server struct {
	id      string
	service int
	agents  []*agent // for the services that it calls, by their place among the service's children
	busy    int      // cores at work
	held    int      // executions taken and not answered
	waiting []*execution
	spent   time.Duration // work in the measured time
}

// root is a client's call, with its tries.
type root struct {
	tree     *tree
	gateway  int
	came     time.Duration
	deadline time.Duration
	tries    int
	measured bool

	attempts, leafAttempts, deepAttempts, steps int
}

// try is one try of a client; all executions of its tree belong to it.
type try struct {
	root   *root
	call   *call // the root of the tree
	ended  bool
	served bool
	spent  time.Duration // work of its executions
}

// call is one call to a service, decided by one agent. Its attempts follow one another.
type call struct {
	id       string
	agent    *agent
	node     *node
	try      *try
	parent   *execution // nil: the client waits for it
	came     time.Duration
	deadline time.Duration
	attempts []*attempt
	waitFrom time.Duration // since when it waits for its next attempt
	ending   ending
	why      balance.Reason // it ended unserved, as its balancer says
	advice   time.Duration  // after which to come again, where it was refused
	ended    bool
}

// attempt is one sending of a call to a backend.
type attempt struct {
	call   *call
	number int
	server *server
	sent   time.Duration
	run    *execution
	closed bool // its outcome is in
}

// execution is what a backend does for one attempt.
type execution struct {
	attempt  *attempt
	server   *server
	work     time.Duration
	repeated bool // an execution of the same node went before
	pending  int  // children not yet ended
	children []*call
	answered bool
	gone     bool // cancelled
}

// ending is how a call ended.
type ending uint8

const (
	endedNot ending = iota
	endedServed
	endedRefused
	endedFailed
	endedGone // nobody waited any longer
)
