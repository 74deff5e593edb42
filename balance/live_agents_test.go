package balance

import (
	"math"
	"testing"
	"time"
)

// newSettledBalancer returns the Balancer of agent self, with four backends. All other agents have reported
// a demand of want attempts, and its own mean demand is want too.
func newSettledBalancer(t *testing.T, agents, self int, want float64) *Balancer {
	t.Helper()
	b, err := New(Settings{Balancers: agents, Self: self, Peers: true, MaxAttempts: 3, ColdShare: 0.3, RampTime: time.Second, FallMultiple: 3, FallWindow: time.Second,
		Classes: []Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}}}, uint64(self))
	if err != nil {
		t.Fatal(err)
	}
	var list List
	list.Kind = ListFull
	for _, id := range []string{"a", "b", "c", "d"} {
		list.Backends = append(list.Backends, Backend{ID: id, Weight: 1})
	}
	events := []Event{list}
	for i := range agents {
		if i != self {
			events = append(events, PeerMessage{From: i, Data: []byte{demandTag, 0, 0, byte(want), 0}})
		}
	}
	b.Step(time.Millisecond, events)
	b.meanDemand = want
	b.Step(2*time.Millisecond, nil)
	return b
}

// The limit shares of the live agents add up to no more than 1, even if an agent that counts as dead still
// sends its demand, and grow as fewer agents are alive.
func TestLimitSharesFollowLiveAgents(t *testing.T) {
	const agents, left = 20, 6
	var away []int
	for i := left; i < agents; i++ {
		away = append(away, i)
	}
	before, after, spoken := 0.0, 0.0, 0.0
	for self := range left {
		b := newSettledBalancer(t, agents, self, 5)
		before += b.limitShare
		b.Step(3*time.Millisecond, []Event{Fleet{Alive: left, MaxAlive: left, Departed: away}})
		after += b.limitShare
		b.Step(4*time.Millisecond, []Event{PeerMessage{From: agents - 1, Data: []byte{demandTag, 0, 0, 5, 0}}})
		spoken += b.limitShare
	}
	if before > 0.31 || after < 0.95 || after > 1.0001 || spoken > 1.0001 {
		t.Errorf("six of twenty agents have %.3f of the limit, %.3f once the others are gone, %.3f after one of those sends its demand", before, after, spoken)
	}
}

// An agent that is cut off counts the agents it can't see as alive, so its limit share stays the same. The
// budget of a cold fleet follows the number of agents that may be alive.
func TestUnseenAgentsCountAsAlive(t *testing.T) {
	b := newSettledBalancer(t, 10, 0, 5)
	was := b.limitShare
	b.Step(3*time.Millisecond, []Event{Fleet{Alive: 10, MaxAlive: 10}})
	if math.Abs(b.limitShare-was) > 0.01*was {
		t.Errorf("limit share %v, was %v", b.limitShare, was)
	}
	b.Step(4*time.Millisecond, []Event{Fleet{Alive: 6, MaxAlive: 10, Departed: []int{9, 77, -1}}})
	if b.maxBalancers != 10 || b.settings.Balancers != 6 {
		t.Errorf("%d agents may be alive, %d are", b.maxBalancers, b.settings.Balancers)
	}
	b.Step(5*time.Millisecond, []Event{Fleet{}}) // invalid: no agent is alive
	if b.maxBalancers != 1 || b.settings.Balancers != 1 || !(b.limitShare <= 1) {
		t.Errorf("%d agents may be alive, %d are, limit share %v", b.maxBalancers, b.settings.Balancers, b.limitShare)
	}
}
