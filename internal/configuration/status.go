package configuration

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// InForce says whether a revision of a scope (or a later one) is in force everywhere, by what machines know of agents.
// The newest that is known of an agent counts; it is connected if it is at any machine. Everywhere needs at least one agent,
// all of them connected and at the revision, and no machine unreachable.
func InForce(scope Scope, at Position, all [][]AgentStatus, unreachable []string) Status {
	agents := newestOf(scope, all)
	status := Status{Scope: scope, Position: at, Agents: len(agents), Unreachable: unreachable}
	for _, key := range slices.SortedFunc(maps.Keys(agents), compareKeys) {
		agent := agents[key]
		why := whyBehind(scope, at, agent)
		if why == "" {
			status.InForce++
			continue
		}
		status.Behind = append(status.Behind,
			AgentBehind{Place: agent.Place, Position: agent.InForce[scope], Why: cutText(why, RefusalMost)})
	}
	status.Everywhere = status.Agents > 0 && status.InForce == status.Agents && len(unreachable) == 0
	return status
}

// newestOf picks what is newest of each agent that a scope holds for.
func newestOf(scope Scope, all [][]AgentStatus) map[agentKey]AgentStatus {
	agents := map[agentKey]AgentStatus{}
	for _, statuses := range all {
		for _, status := range statuses {
			if !scope.Holds(status.Place) {
				continue
			}
			key := keyOf(status.Place)
			if known, ok := agents[key]; ok {
				status = newerOf(known, status)
			}
			agents[key] = status
		}
	}
	return agents
}

// newerOf is the newer of what two machines know of an agent. A watch without a report yet is newer than a report that
// came before it: the agent may have been restarted in between.
func newerOf(a, b AgentStatus) AgentStatus {
	newer := a
	if b.AgeMs < a.AgeMs {
		newer = b
	}
	newer.Connected = a.Connected || b.Connected
	return newer
}

// whyBehind says why an agent counts as behind; empty: it has the revision in force.
func whyBehind(scope Scope, at Position, agent AgentStatus) string {
	age := time.Duration(agent.AgeMs * float64(time.Millisecond)).Round(time.Millisecond)
	has := agent.InForce[scope]
	if refusal, ok := refusalOf(scope, agent); ok && has.Revision < at.Revision && refusal.Revision >= at.Revision {
		return fmt.Sprintf("refused revision %d: %s", refusal.Revision, refusal.Why)
	}
	switch {
	case agent.Format == 0:
		return "not yet reported"
	case !agent.Connected:
		return fmt.Sprintf("away; it reported revision %d %v ago", has.Revision, age)
	case has.Revision < at.Revision:
		return fmt.Sprintf("not yet reported; it reported revision %d %v ago", has.Revision, age)
	}
	return ""
}

func refusalOf(scope Scope, agent AgentStatus) (Refusal, bool) {
	i := slices.IndexFunc(agent.Refused, func(r Refusal) bool { return r.Scope == scope })
	if i < 0 {
		return Refusal{}, false
	}
	return agent.Refused[i], true
}
