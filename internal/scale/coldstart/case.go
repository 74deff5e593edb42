package coldstart

import (
	"time"

	"lemonrail/balance"
)

// Case is one scenario in which backends start cold under the load of a whole fleet. Each agent is one balancer of
// package balance.
type Case struct {
	Name   string
	Agents int // agents that share the backends
	Warm   int // backends that have been up for a long time
	Cold   int // backends that start cold at coldStart

	Load             float64 // offered work relative to the capacity of the warm backends
	Burst            float64 // factor on Load for burstLength, from coldStart on or later (LateBurst); 0: no burst
	QuietBeforeBurst bool    // a tenth of Load before the burst, so that agents accumulate unused budget
	LateBurst        bool    // the burst begins halfway through the ramp
	Skew             float64 // standard deviation of the logarithm of an agent's traffic; 0: all agents have equal traffic

	NotifyWithin time.Duration // each agent is notified of the start after a random delay of up to this time
	Returned     bool          // the cold backends ran before under the same IDs and were down for downTime
	Zones        int           // number of zones of agents and backends; all cold backends are in zone 1
	ColdSize     float64       // capacity of a cold backend relative to a normal warm one; 0: 1
	MixedSizes   bool          // backends have 0.7, 0.8 or 1.8 times the normal capacity; ColdSize overrides this

	RestartedShare float64       // share of the agents that restart, at random times within restartSpan
	RestartedFrom  time.Duration // beginning of the restarts, relative to coldStart
	DeadShare      float64       // share of the agents that die at coldStart; their clients use the other agents

	BelievedAgents int  // fleet size in the agents' settings and Fleet events; 0: the true one
	NoColdStart    bool // the agents' settings say that no backend is ever cold

	Keys          bool    // requests carry keys, and a backend that served a key recently needs less work for it
	UnequalWork   bool    // one class with little work and one with twenty times as much
	WorkHints     bool    // requests carry their work
	ErrorShare    float64 // share of error answers
	ColdFails     bool    // a cold backend immediately answers half of its requests with an error
	ShortQueues   bool    // backends queue at most one request
	SlowConnShare float64 // share of attempts whose connection takes up to a second longer
	Peers         bool    // agents exchange peer messages
	InlineReports bool    // answers carry load reports
	LeaverShare   float64 // share of the clients that may leave before their deadline
}

// The cold-start settings are the same in every case. The real initial capacity of cold backends is random, between
// coldShare, which the settings assume, and the capacity of a warm backend.
const (
	coldShare    = 0.3
	rampTime     = 6 * time.Second
	fallMultiple = 3.0
	fallWindow   = 1500 * time.Millisecond

	cores        = 4.0
	queuePerCore = 16 // maximum queue length per core; further requests are rejected
	warmUp       = 3 * time.Second
	downTime     = 2 * time.Second
	burstLength  = 4 * time.Second
	restartSpan  = time.Second

	connectTimeout  = 150 * time.Millisecond
	simulationStart = time.Hour // beginning of the simulated time
	coldStart       = simulationStart + warmUp
	simulationEnd   = coldStart + rampTime
)

// class is a balance.Class with the share and work of its requests.
type class struct {
	balance.Class
	share float64       // share of all requests
	work  time.Duration // mean core time on a warm backend
}

var defaultClasses = []class{
	{balance.Class{Aim: 300 * time.Millisecond, Deadline: 600 * time.Millisecond, Worth: 2, LateWorth: .25}, .6, 60 * time.Millisecond},
	{balance.Class{Aim: 750 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 10, LateWorth: .25,
		Effect: balance.Keyed, Group: balance.GroupZone, Window: time.Second}, .4, 160 * time.Millisecond},
}

var unequalClasses = []class{
	{balance.Class{Aim: 300 * time.Millisecond, Deadline: 600 * time.Millisecond, Worth: 1, LateWorth: .25}, .9, 25 * time.Millisecond},
	{balance.Class{Aim: 1500 * time.Millisecond, Deadline: 3000 * time.Millisecond, Worth: 20, LateWorth: .25}, .1, 500 * time.Millisecond},
}

func (c *Case) classes() []class {
	if c.UnequalWork {
		return unequalClasses
	}
	return defaultClasses
}

// meanWork returns the mean work of a request over all classes.
func (c *Case) meanWork() (mean time.Duration) {
	for _, k := range c.classes() {
		mean += time.Duration(k.share * float64(k.work))
	}
	return mean
}

// settings returns the balancer settings of one agent.
func (c *Case) settings(agent int) balance.Settings {
	s := balance.Settings{
		Balancers: c.believedAgents(), Zone: agent % max(c.Zones, 1), Zones: c.Zones, MaxAttempts: 5, SecondCopies: true,
		Peers: c.Peers, RetryAfter: true, MaxRetryAfter: time.Second, ConnectTimeout: connectTimeout, IdleClose: 10 * time.Second,
		DrainGrace: 500 * time.Millisecond, AnswerGrace: 20 * time.Millisecond, WarmKeys: c.Keys,
		ColdShare: coldShare, RampTime: rampTime, FallMultiple: fallMultiple, FallWindow: fallWindow,
		Prices: balance.Prices{CrossZone: .02, Waste: .04},
	}
	s.Self = agent % s.Balancers
	if c.NoColdStart {
		s.ColdShare, s.RampTime, s.FallMultiple = 1, 0, 0
	}
	if c.InlineReports {
		s.Reports = balance.ReportsInline
	}
	for _, k := range c.classes() {
		s.Classes = append(s.Classes, k.Class)
	}
	return s
}

// believedAgents returns the fleet size in the agents' settings.
func (c *Case) believedAgents() int {
	if c.BelievedAgents > 0 {
		return c.BelievedAgents
	}
	return c.Agents
}
