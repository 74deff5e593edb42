package configuration

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// InForce returns which agents have a revision of a scope, or a later one, in force, and which are behind and
// why. all holds the agents' statuses from each control machine that answered; unreachable names the machines
// that didn't. Of an agent's statuses the newest counts, and the agent is connected if it has a watch open at
// any machine. Everywhere is set if the scope has at least one agent, all its agents are connected and at the
// revision, and no machine is unreachable.
func InForce(scope Scope, at Position, all [][]AgentStatus, unreachable []string) Status {
	agents := newestStatuses(scope, all)
	status := Status{Scope: scope, Position: at, Agents: len(agents), Unreachable: unreachable}
	for _, key := range slices.SortedFunc(maps.Keys(agents), compareKeys) {
		agent := agents[key]
		reason := behindReason(scope, at, agent)
		if reason == "" {
			status.InForce++
			continue
		}
		status.Behind = append(status.Behind,
			AgentBehind{Place: agent.Place, Position: agent.InForce[scope], Reason: truncateText(reason, MaxRefusalBytes)})
	}
	status.Everywhere = status.Agents > 0 && status.InForce == status.Agents && len(unreachable) == 0
	return status
}

// newestStatuses returns the newest status of each agent that a scope applies to. all holds the statuses from
// each control machine.
func newestStatuses(scope Scope, all [][]AgentStatus) map[agentKey]AgentStatus {
	agents := map[agentKey]AgentStatus{}
	for _, statuses := range all {
		for _, status := range statuses {
			if !scope.AppliesTo(status.Place) {
				continue
			}
			key := keyOf(status.Place)
			if known, ok := agents[key]; ok {
				status = newerStatus(known, status)
			}
			agents[key] = status
		}
	}
	return agents
}

// newerStatus returns the newer of two machines' statuses of one agent, marked as connected if the agent has
// a watch open at either machine. A status without a report, since a watch has just begun, is newer than a
// report from before the watch, because the agent may have been restarted in between.
func newerStatus(a, b AgentStatus) AgentStatus {
	newer := a
	if b.AgeMs < a.AgeMs {
		newer = b
	}
	newer.Connected = a.Connected || b.Connected
	return newer
}

// behindReason returns why an agent doesn't have the revision or a later one in force, or "" if it has.
func behindReason(scope Scope, at Position, agent AgentStatus) string {
	age := time.Duration(agent.AgeMs * float64(time.Millisecond)).Round(time.Millisecond)
	has := agent.InForce[scope]
	if refusal, ok := refusalFor(scope, agent); ok && has.Revision < at.Revision && refusal.Revision >= at.Revision {
		return fmt.Sprintf("refused revision %d: %s", refusal.Revision, refusal.Reason)
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

// refusalFor returns the refusal of a revision of the scope from the agent's last report, if there is one.
func refusalFor(scope Scope, agent AgentStatus) (Refusal, bool) {
	i := slices.IndexFunc(agent.Refused, func(r Refusal) bool { return r.Scope == scope })
	if i < 0 {
		return Refusal{}, false
	}
	return agent.Refused[i], true
}
