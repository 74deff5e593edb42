package configuration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Tracker is what one control machine knows of the agents that watch it or have reported to it. Times are on the
// machine's monotonic clock, whose zero is of no matter.
type Tracker struct {
	machine string
	started time.Duration
	agents  map[agentKey]*trackedAgent

	keepsReports bool // set by a test that shows why a watch voids what was reported before
}

// Bounds of a Tracker.
const (
	AgentsMost  = 4096             // agents that are remembered
	ForgetAfter = 24 * time.Hour   // after the last word of an agent that isn't connected
	SettleTime  = 15 * time.Second // after the machine's start, in which agents may not have found it yet
)

// agentKey names an agent over the whole fleet.
type agentKey struct{ region, agent string }

func keyOf(p Place) agentKey { return agentKey{p.Region, p.Agent} }

func compareKeys(a, b agentKey) int {
	return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.agent, b.agent))
}

type trackedAgent struct {
	report     Report        // Format 0: none has come
	reportedAt time.Duration // when it came, or when the watch began for which none has come yet
	lastWord   time.Duration // when something was last heard of it
	watches    int           // that are open
}

// NewTracker returns the tracker of a machine that starts now and knows nobody.
func NewTracker(machine string, now time.Duration) *Tracker {
	return &Tracker{machine: machine, started: now, agents: map[agentKey]*trackedAgent{}}
}

// Settled reports whether the machine has run for SettleTime. Until then what it knows may be short of agents, and it
// is to count as unreachable for InForce.
func (t *Tracker) Settled(now time.Duration) bool { return now-t.started >= SettleTime }

// Connected says that an agent has begun a watch; it is to be called before the watch is answered. What the agent
// reported before doesn't count any more, as its process may be another one: an agent reports anew as soon as a watch is
// answered. An agent may have several watches open. It is refused where AgentsMost agents are connected already.
func (t *Tracker) Connected(place Place, now time.Duration) error {
	agent, err := t.agent(place, now)
	if err != nil {
		return err
	}
	agent.watches++
	if !t.keepsReports {
		agent.report, agent.reportedAt = Report{Place: place}, now
	}
	return nil
}

// Disconnected says that a watch of an agent has ended.
func (t *Tracker) Disconnected(place Place, now time.Duration) {
	agent, ok := t.agents[keyOf(place)]
	if !ok {
		return
	}
	agent.watches = max(0, agent.watches-1)
	agent.lastWord = now
}

// Reported takes an agent's report. It is refused where it makes no sense, and where AgentsMost agents are connected
// and this one is none of them.
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

// check refuses a report that no agent makes, and with it what is out of bounds.
func (r *Report) check() error {
	if err := r.Place.Check(); err != nil {
		return err
	}
	if r.Format < 1 {
		return fmt.Errorf("format: %d", r.Format)
	}
	for scope := range r.InForce {
		if !scope.Holds(r.Place) {
			return fmt.Errorf("in_force: %v doesn't hold for this agent", scope)
		}
	}
	if most := len(r.Place.Scopes()); len(r.Refused) > most {
		return fmt.Errorf("refused: %d, over %d", len(r.Refused), most)
	}
	for i, refusal := range r.Refused {
		if !refusal.Scope.Holds(r.Place) {
			return fmt.Errorf("refused[%d]: %v doesn't hold for this agent", i, refusal.Scope)
		}
		if len(refusal.Why) > RefusalMost {
			return fmt.Errorf("refused[%d].why: %d bytes, over %d", i, len(refusal.Why), RefusalMost)
		}
	}
	if len(r.Digest) > 2*digestBytes {
		return fmt.Errorf("digest: %d bytes, over %d", len(r.Digest), 2*digestBytes)
	}
	return nil
}

// agent finds an agent of which something has just been heard, or makes room for it.
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
	agent.lastWord = now
	return agent, nil
}

// makeRoom forgets the agent that has been away for longest where there are as many as there may be.
func (t *Tracker) makeRoom(now time.Duration) error {
	t.forget(now)
	if len(t.agents) < AgentsMost {
		return nil
	}
	var oldest *agentKey
	for key, agent := range t.agents {
		if agent.watches == 0 && (oldest == nil || t.longerAway(key, *oldest)) {
			oldest = &key
		}
	}
	if oldest == nil {
		return fmt.Errorf("%d agents are connected to %s, the most it can have", AgentsMost, t.machine)
	}
	delete(t.agents, *oldest)
	return nil
}

func (t *Tracker) longerAway(a, b agentKey) bool {
	order := cmp.Or(cmp.Compare(t.agents[a].lastWord, t.agents[b].lastWord), compareKeys(a, b))
	return order < 0
}

// forget drops agents of which nothing has been heard for long.
func (t *Tracker) forget(now time.Duration) {
	maps.DeleteFunc(t.agents, func(_ agentKey, agent *trackedAgent) bool {
		return agent.watches == 0 && now-agent.lastWord >= ForgetAfter
	})
}

// Local is what the machine knows, by region and agent. An agent that has not reported since it connected has a Format
// of 0 and the age of its watch.
func (t *Tracker) Local(now time.Duration) []AgentStatus {
	t.forget(now)
	statuses := make([]AgentStatus, 0, len(t.agents))
	for _, key := range slices.SortedFunc(maps.Keys(t.agents), compareKeys) {
		agent := t.agents[key]
		statuses = append(statuses, AgentStatus{Report: agent.report, Connected: agent.watches > 0,
			Machine: t.machine, AgeMs: float64(now-agent.reportedAt) / float64(time.Millisecond)})
	}
	return statuses
}
