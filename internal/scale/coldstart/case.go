package coldstart

import (
	"time"

	"lemonrail/balance"
)

// Case is one situation in which backends start cold under the load of a whole fleet. Every agent is one balancer of package balance.
type Case struct {
	Name   string
	Agents int // processes that share the backends
	Warm   int // backends that were up long before
	Cold   int // backends that start cold at Start

	Load  float64 // offered work over what the warm backends can do
	Burst float64 // Load is multiplied by it from BurstAt on, for burstLength; 0: no burst
	Idle  bool    // next to no traffic until the burst: agents have time to save up unused budget
	Late  bool    // the burst begins when the ramp is half over
	Skew  float64 // standard deviation of the logarithm of an agent's traffic; 0: all agents alike

	ToldWithin time.Duration // each agent is told of the start at a random moment within this time
	CameBack   bool          // the cold backends ran before, under the same names, and were down for downTime
	Zones      int           // zones over which agents and backends are spread; the cold backends are all in zone 1
	ColdSize   float64       // capacity of a cold backend over that of a warm one; 0: 1
	Sizes      bool          // backends of several sizes: 0.7, 0.8 and 1.8 of the usual one

	Restarted     float64       // share of the agents that are replaced by new processes, spread over restartSpan
	RestartedFrom time.Duration // when the restarts begin, from Start on
	Dead          float64       // share of the agents that die at Start; their clients go to the others

	BelievedAgents int  // fleet size that the agents are told, by settings and Fleet events; 0: the true one
	NoColdStart    bool // the agents are told that no backend is ever cold

	Keys        bool    // requests carry keys, and a backend that met a key lately needs less work
	Unequal     bool    // one class of little work and one of twenty times as much
	Errors      float64 // share of answers that are errors
	ColdFails   bool    // a cold backend answers half of what it gets with an error, at once
	ShortQueues bool    // backends turn away what finds no free core and one place to wait
	SlowConns   float64 // share of attempts whose connection comes up late, up to a second
	Peers       bool    // agents tell each other what they want
	Inline      bool    // answers carry load reports
	Leavers     float64 // share of the clients that leave before their time
}

// What backends bear by the settings is the same in every case. What a cold one can do in fact is drawn by the seed, from the least that the
// settings promise up to all that a warm one does.
const (
	coldShare    = 0.3
	rampTime     = 6 * time.Second
	fallMultiple = 3.0
	fallWindow   = 1500 * time.Millisecond

	cores        = 4.0
	queuePerCore = 16 // requests that a backend holds per core; beyond that it turns requests away
	warmUp       = 3 * time.Second
	downTime     = 2 * time.Second
	burstLength  = 4 * time.Second
	restartSpan  = time.Second

	connectTimeout = 150 * time.Millisecond
	begin          = time.Hour // the simulated clock's first moment
	start          = begin + warmUp
	end            = start + rampTime
)

// class is a balance.Class and the work of its requests.
type class struct {
	balance.Class
	share float64       // of all requests
	work  time.Duration // mean, on one core of a warm backend
}

var usualClasses = []class{
	{balance.Class{Aim: 300 * time.Millisecond, Deadline: 600 * time.Millisecond, Worth: 2, LateWorth: .25}, .6, 60 * time.Millisecond},
	{balance.Class{Aim: 750 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 10, LateWorth: .25,
		Effect: balance.Keyed, Group: balance.GroupZone, Window: time.Second}, .4, 160 * time.Millisecond},
}

var unequalClasses = []class{
	{balance.Class{Aim: 300 * time.Millisecond, Deadline: 600 * time.Millisecond, Worth: 1, LateWorth: .25}, .9, 25 * time.Millisecond},
	{balance.Class{Aim: 1500 * time.Millisecond, Deadline: 3000 * time.Millisecond, Worth: 20, LateWorth: .25}, .1, 500 * time.Millisecond},
}

func (c *Case) classes() []class {
	if c.Unequal {
		return unequalClasses
	}
	return usualClasses
}

// meanWork is the mean work of a request, over the classes.
func (c *Case) meanWork() (mean time.Duration) {
	for _, k := range c.classes() {
		mean += time.Duration(k.share * float64(k.work))
	}
	return mean
}

// settings are what one agent is told.
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
	if c.Inline {
		s.Reports = balance.ReportsInline
	}
	for _, k := range c.classes() {
		s.Classes = append(s.Classes, k.Class)
	}
	return s
}

func (c *Case) believedAgents() int {
	if c.BelievedAgents > 0 {
		return c.BelievedAgents
	}
	return c.Agents
}
