package coldstart

import "time"

// Cases returns the cases in which the agents know the fleet size and the cold-start settings. In none of them may the agents
// together overload a cold backend.
func Cases(agents, warm int) []Case {
	usual := Case{Agents: agents, Warm: warm, Cold: 1, Load: .6, Burst: 1.5, Skew: .6, NotifyWithin: 500 * time.Millisecond, Zones: 2}
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
	add("burst 2.5 at 0.8, told at once", func(c *Case) { c.Burst, c.Load, c.NotifyWithin = 2.5, .8, 0 })
	add("all agents alike, told at once", func(c *Case) { c.Burst, c.Skew, c.NotifyWithin = 2.5, 0, 0 })
	add("quiet until a late burst", func(c *Case) { c.Burst, c.Load, c.QuietBeforeBurst, c.LateBurst = 2.5, .6, true, true })
	add("late burst", func(c *Case) { c.Burst, c.Load, c.LateBurst = 2.5, .8, true })
	add("uneven traffic", func(c *Case) { c.Burst, c.Skew = 2.5, 1.5 })
	add("three cold at once", func(c *Case) { c.Burst, c.Cold = 2.5, 3 })
	add("zone back cold", func(c *Case) { c.Burst, c.Cold, c.Returned, c.NotifyWithin = 1.5, c.Warm/2, true, time.Second })
	add("all cold", func(c *Case) { c.Cold, c.Warm, c.Load, c.Burst = c.Warm, 0, .6, 0 })
	add("all cold, overloaded", func(c *Case) { c.Cold, c.Warm, c.Load, c.Burst, c.ShortQueues = c.Warm, 0, 2, 0, true })
	add("restarted before", func(c *Case) { c.Burst, c.RestartedShare, c.RestartedFrom = 2.5, .7, -time.Second })
	add("restarted after, told late", func(c *Case) { c.Burst, c.RestartedShare, c.NotifyWithin, c.Returned = 2.5, .7, 2*time.Second, true })
	add("all restarted", func(c *Case) { c.Burst, c.RestartedShare, c.NotifyWithin = 2.5, 1, 0 })
	add("errors, retries", func(c *Case) { c.Burst, c.ErrorShare = 2.5, .1 })
	add("cold one fails fast", func(c *Case) { c.Burst, c.ColdFails = 2.5, true })
	add("backends turn away", func(c *Case) { c.Burst, c.ShortQueues = 2.5, true })
	add("connections late", func(c *Case) { c.Burst, c.SlowConnShare = 2.5, .3 })
	add("keys", func(c *Case) { c.Burst, c.Keys = 2.5, true })
	add("unequal work", func(c *Case) { c.Burst, c.UnequalWork = 2.5, true })
	add("unequal work, told", func(c *Case) { c.Burst, c.UnequalWork, c.WorkHints = 2.5, true, true })
	add("load reports", func(c *Case) { c.Burst, c.InlineReports = 2.5, true })
	add("sizes", func(c *Case) { c.Burst, c.MixedSizes, c.ColdSize = 2.5, true, .7 })
	return cases
}

// LeaversCase returns a case in which half of the clients leave at a random time before their deadline, while requests are
// held, retried and refused.
func LeaversCase(agents, warm int) Case {
	return Case{Name: "clients leave", Agents: agents, Warm: warm, Cold: 1, Load: .8, Burst: 2.5, Skew: .6, Zones: 2,
		NotifyWithin: 500 * time.Millisecond, ErrorShare: .2, SlowConnShare: .1, LeaverShare: .5}
}

// WrongFleetSizeCases returns cases in which the agents have a wrong fleet size, or some agents have died. They show how
// far the agents' budget of attempts at cold backends depends on the fleet size.
func WrongFleetSizeCases(agents, warm int) []Case {
	usual := Case{Agents: agents, Warm: warm, Cold: 1, Load: .6, Burst: 2.5, Skew: .6, NotifyWithin: 500 * time.Millisecond, Zones: 2}
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
	add("a third dead", func(c *Case) { c.DeadShare = .33 })
	add("two thirds dead", func(c *Case) { c.DeadShare = .67 })
	add("all cold, a third of the fleet told", func(c *Case) {
		c.Cold, c.Warm, c.Burst, c.BelievedAgents = c.Warm, 0, 0, max(1, agents/3)
	})
	add("all cold, each believes to be alone", func(c *Case) { c.Cold, c.Warm, c.Burst, c.BelievedAgents = c.Warm, 0, 0, 1 })
	return append(cases, LoneAgentsCase(agents, warm))
}

// LoneAgentsCase returns the case in which the agents can't keep to the bound for cold backends: no backend is warm, so that
// each agent's budget of attempts at them depends on the fleet size only, and each agent assumes that it is alone.
func LoneAgentsCase(agents, warm int) Case {
	return Case{Name: "all cold, overloaded, each believes to be alone", Agents: agents, Cold: warm, Load: 2, Skew: .6, ShortQueues: true,
		NotifyWithin: 500 * time.Millisecond, Zones: 2, BelievedAgents: 1}
}

// FaultyCases returns cases in which agents overload a cold backend, to test that the measurement detects it: in one the agents
// ignore cold starts, in the other they also assume that they are alone.
func FaultyCases(agents, warm int) []Case {
	unaware := Case{Name: "no cold start known", Agents: agents, Warm: warm, Cold: 1, Load: .6, Burst: 2.5, Skew: .6, Zones: 2,
		ShortQueues: true, NoColdStart: true}
	alone := Case{Name: "no cold start known, each believes to be alone", Agents: agents, Warm: warm, Cold: 1, Load: .8, Burst: 2.5, Skew: .6,
		Zones: 2, ShortQueues: true, NoColdStart: true, BelievedAgents: 1}
	return []Case{unaware, alone}
}
