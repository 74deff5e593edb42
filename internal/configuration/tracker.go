package configuration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Tracker holds what one control machine knows of the agents that watch it or have reported to it. Times are
// readings of the machine's monotonic clock, with an arbitrary zero.
type Tracker struct {
	machine string                     // name of the control machine
	started time.Duration              // when the machine started
	agents  map[agentKey]*trackedAgent // by region and name of the agent

	keepReportsOnConnect bool // set by a test that shows why a new watch must invalidate earlier reports
}

// Limits of a Tracker.
const (
	MaxAgents   = 4096             // agents that are remembered
	ForgetAfter = 24 * time.Hour   // time since the last contact after which a disconnected agent is forgotten
	SettleTime  = 15 * time.Second // time after the machine's start in which agents may not have found it yet
)

// agentKey identifies an agent within the fleet by its region and name.
type agentKey struct{ region, agent string }

func keyOf(p Place) agentKey { return agentKey{p.Region, p.Agent} }

// compareKeys orders keys by region and then by agent.
func compareKeys(a, b agentKey) int {
	return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.agent, b.agent))
}

// trackedAgent is what the machine knows of one agent.
type trackedAgent struct {
	report      Report        // the agent's last report; Format 0: none since the last watch began
	reportedAt  time.Duration // when the last report came, or when the last watch began if no report has come since
	lastContact time.Duration // last report, or beginning or end of a watch, whichever was latest
	watches     int           // number of watches that the agent has open at this machine
}

// NewTracker returns the tracker of a machine that starts now and knows no agents.
func NewTracker(machine string, now time.Duration) *Tracker {
	return &Tracker{machine: machine, started: now, agents: map[agentKey]*trackedAgent{}}
}

// Settled reports whether the machine has run for SettleTime. Before that it may not know all agents, and
// must be counted as unreachable for InForce.
func (t *Tracker) Settled(now time.Duration) bool { return now-t.started >= SettleTime }

// Connected records that an agent has begun a watch; call it before the watch is answered. It invalidates the
// agent's earlier reports, because the process may be a new one, and the agent reports again as soon as the
// watch is answered. An agent may have several watches open. It is an error if MaxAgents other agents are
// connected.
func (t *Tracker) Connected(place Place, now time.Duration) error {
	agent, err := t.agent(place, now)
	if err != nil {
		return err
	}
	agent.watches++
	if !t.keepReportsOnConnect {
		agent.report, agent.reportedAt = Report{Place: place}, now
	}
	return nil
}

// Disconnected records that a watch of an agent has ended.
func (t *Tracker) Disconnected(place Place, now time.Duration) {
	agent, ok := t.agents[keyOf(place)]
	if !ok {
		return
	}
	agent.watches = max(0, agent.watches-1)
	agent.lastContact = now
}

// Reported records an agent's report. It is an error if the report is invalid, or if MaxAgents other agents are
// connected.
func (t *Tracker) Reported(report Report, now time.Duration) error {
	if err := report.check(); err != nil {
		return err
	}
	if report.Leaving {
		delete(t.agents, keyOf(report.Place))
		return nil
	}
	agent, err := t.agent(report.Place, now)
	if err != nil {
		return err
	}
	agent.report, agent.reportedAt = report, now
	return nil
}

// check returns an error if a report is invalid or exceeds a limit.
func (r *Report) check() error {
	if err := r.Place.Check(); err != nil {
		return err
	}
	if r.Format < 1 {
		return fmt.Errorf("format: %d", r.Format)
	}
	for scope := range r.InForce {
		if !scope.AppliesTo(r.Place) {
			return fmt.Errorf("in_force: %v doesn't hold for this agent", scope)
		}
	}
	if maxRefusals := len(r.Place.Scopes()); len(r.Refused) > maxRefusals {
		return fmt.Errorf("refused: %d, over %d", len(r.Refused), maxRefusals)
	}
	for i, refusal := range r.Refused {
		if !refusal.Scope.AppliesTo(r.Place) {
			return fmt.Errorf("refused[%d]: %v doesn't hold for this agent", i, refusal.Scope)
		}
		if len(refusal.Reason) > MaxRefusalBytes {
			return fmt.Errorf("refused[%d].why: %d bytes, over %d", i, len(refusal.Reason), MaxRefusalBytes)
		}
	}
	if len(r.Digest) > 2*digestBytes {
		return fmt.Errorf("digest: %d bytes, over %d", len(r.Digest), 2*digestBytes)
	}
	return nil
}

// agent returns the entry of an agent that has just made contact, and creates it if necessary.
func (t *Tracker) agent(place Place, now time.Duration) (*trackedAgent, error) {
	if err := place.Check(); err != nil {
		return nil, err
	}
	key := keyOf(place)
	agent, known := t.agents[key]
	if !known {
		if err := t.makeRoom(now); err != nil {
			return nil, err
		}
		agent = &trackedAgent{}
		t.agents[key] = agent
	}
	agent.report.Place = place
	agent.lastContact = now
	return agent, nil
}

// makeRoom forgets the agent that has been disconnected for longest if MaxAgents agents are remembered.
func (t *Tracker) makeRoom(now time.Duration) error {
	t.expire(now)
	if len(t.agents) < MaxAgents {
		return nil
	}
	var oldest *agentKey
	for key, agent := range t.agents {
		if agent.watches == 0 && (oldest == nil || t.lastContactBefore(key, *oldest)) {
			oldest = &key
		}
	}
	if oldest == nil {
		return fmt.Errorf("%d agents are connected to %s, the most it can have", MaxAgents, t.machine)
	}
	delete(t.agents, *oldest)
	return nil
}

// lastContactBefore reports whether agent a made its last contact before agent b, with ties broken by key.
func (t *Tracker) lastContactBefore(a, b agentKey) bool {
	order := cmp.Or(cmp.Compare(t.agents[a].lastContact, t.agents[b].lastContact), compareKeys(a, b))
	return order < 0
}

// expire forgets agents that have been disconnected for ForgetAfter.
func (t *Tracker) expire(now time.Duration) {
	maps.DeleteFunc(t.agents, func(_ agentKey, agent *trackedAgent) bool {
		return agent.watches == 0 && now-agent.lastContact >= ForgetAfter
	})
}

// Statuses returns the status of each agent that the machine knows, sorted by region and agent. An agent that
// has not reported since it connected has a Format of 0 and the age of its watch.
func (t *Tracker) Statuses(now time.Duration) []AgentStatus {
	t.expire(now)
	statuses := make([]AgentStatus, 0, len(t.agents))
	for _, key := range slices.SortedFunc(maps.Keys(t.agents), compareKeys) {
		agent := t.agents[key]
		statuses = append(statuses, AgentStatus{Report: agent.report, Connected: agent.watches > 0,
			Machine: t.machine, AgeMs: float64(now-agent.reportedAt) / float64(time.Millisecond)})
	}
	return statuses
}
