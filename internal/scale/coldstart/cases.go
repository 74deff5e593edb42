package coldstart

import "time"

// Cases are those in which the agents are told rightly, for a fleet of so many: no backend may be pushed over in any of them.
func Cases(agents, warm int) []Case {
	usual := Case{Agents: agents, Warm: warm, Cold: 1, Load: .6, Burst: 1.5, Skew: .6, ToldWithin: 500 * time.Millisecond, Zones: 2}
	var cases []Case
	add := func(name string, change func(*Case)) {
		c := usual
		c.Name = name
		change(&c)
		cases = append(cases, c)
	}
	add("no burst", func(c *Case) { c.Burst = 0 })
	add("burst 1.5", func(*Case) {})
	add("burst 2.5", func(c *Case) { c.Burst = 2.5 })
	add("burst 2.5 at 0.8, told at once", func(c *Case) { c.Burst, c.Load, c.ToldWithin = 2.5, .8, 0 })
	add("all agents alike, told at once", func(c *Case) { c.Burst, c.Skew, c.ToldWithin = 2.5, 0, 0 })
	add("quiet until a late burst", func(c *Case) { c.Burst, c.Load, c.Idle, c.Late = 2.5, .6, true, true })
	add("late burst", func(c *Case) { c.Burst, c.Load, c.Late = 2.5, .8, true })
	add("uneven traffic", func(c *Case) { c.Burst, c.Skew = 2.5, 1.5 })
	add("three cold at once", func(c *Case) { c.Burst, c.Cold = 2.5, 3 })
	add("zone back cold", func(c *Case) { c.Burst, c.Cold, c.CameBack, c.ToldWithin = 1.5, c.Warm/2, true, time.Second })
	add("all cold", func(c *Case) { c.Cold, c.Warm, c.Load, c.Burst = c.Warm, 0, .6, 0 })
	add("restarted before", func(c *Case) { c.Burst, c.Restarted, c.RestartedFrom = 2.5, .7, -time.Second })
	add("restarted after, told late", func(c *Case) { c.Burst, c.Restarted, c.ToldWithin, c.CameBack = 2.5, .7, 2*time.Second, true })
	add("all restarted", func(c *Case) { c.Burst, c.Restarted, c.ToldWithin = 2.5, 1, 0 })
	add("errors, retries", func(c *Case) { c.Burst, c.Errors = 2.5, .1 })
	add("cold one fails fast", func(c *Case) { c.Burst, c.ColdFails = 2.5, true })
	add("backends turn away", func(c *Case) { c.Burst, c.ShortQueues = 2.5, true })
	add("connections late", func(c *Case) { c.Burst, c.SlowConns = 2.5, .3 })
	add("keys", func(c *Case) { c.Burst, c.Keys = 2.5, true })
	add("unequal work", func(c *Case) { c.Burst, c.Unequal = 2.5, true })
	add("load reports", func(c *Case) { c.Burst, c.Inline = 2.5, true })
	add("sizes", func(c *Case) { c.Burst, c.Sizes, c.ColdSize = 2.5, true, .7 })
	return cases
}

// Leavers has clients leave at any moment while requests are held, tried again and refused.
func Leavers(agents, warm int) Case {
	return Case{Name: "clients leave", Agents: agents, Warm: warm, Cold: 1, Load: .8, Burst: 2.5, Skew: .6, Zones: 2,
		ToldWithin: 500 * time.Millisecond, Errors: .2, SlowConns: .1, Leavers: .5}
}

// WrongCases are those in which agents are told a wrong size of the fleet, or some have died: what the budget rests on then is measured.
func WrongCases(agents, warm int) []Case {
	usual := Case{Agents: agents, Warm: warm, Cold: 1, Load: .6, Burst: 2.5, Skew: .6, ToldWithin: 500 * time.Millisecond, Zones: 2}
	var cases []Case
	add := func(name string, change func(*Case)) {
		c := usual
		c.Name = name
		change(&c)
		cases = append(cases, c)
	}
	add("a third of the fleet told", func(c *Case) { c.BelievedAgents = max(1, agents/3) })
	add("three times the fleet told", func(c *Case) { c.BelievedAgents = 3 * agents })
	add("each believes to be alone", func(c *Case) { c.BelievedAgents = 1 })
	add("a third dead", func(c *Case) { c.Dead = .33 })
	add("two thirds dead", func(c *Case) { c.Dead = .67 })
	add("all cold, a third of the fleet told", func(c *Case) {
		c.Cold, c.Warm, c.Burst, c.BelievedAgents = c.Warm, 0, 0, max(1, agents/3)
	})
	add("all cold, each believes to be alone", func(c *Case) { c.Cold, c.Warm, c.Burst, c.BelievedAgents = c.Warm, 0, 0, 1 })
	return cases
}

// Planted are faults that the count has to see: agents that know of no cold start, and such that believe besides that each is alone.
func Planted(agents, warm int) []Case {
	unaware := Case{Name: "no cold start known", Agents: agents, Warm: warm, Cold: 1, Load: .6, Burst: 2.5, Skew: .6, Zones: 2,
		ShortQueues: true, NoColdStart: true}
	alone := Case{Name: "no cold start known, each believes to be alone", Agents: agents, Warm: warm, Cold: 1, Load: .8, Burst: 2.5, Skew: .6,
		Zones: 2, ShortQueues: true, NoColdStart: true, BelievedAgents: 1}
	return []Case{unaware, alone}
}
