package balance

import (
	"math"
	"testing"
	"time"
)

// settled is a balancer of a fleet with some backends, whose others have said what they want.
func settled(t *testing.T, agents, self int, want float64) *Balancer {
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
	b.wanted = want
	b.Step(2*time.Millisecond, nil)
	return b
}

// The parts of those that live come to no more than the whole, also while one that was held for dead still speaks,
// and are the greater the fewer live.
func TestPartsFollowTheLiving(t *testing.T) {
	const agents, left = 20, 6
	var away []int
	for i := left; i < agents; i++ {
		away = append(away, i)
	}
	before, after, spoken := 0.0, 0.0, 0.0
	for self := range left {
		b := settled(t, agents, self, 5)
		before += b.fraction
		b.Step(3*time.Millisecond, []Event{Fleet{Living: left, Possible: left, Away: away}})
		after += b.fraction
		b.Step(4*time.Millisecond, []Event{PeerMessage{From: agents - 1, Data: []byte{demandTag, 0, 0, 5, 0}}})
		spoken += b.fraction
	}
	if before > 0.31 || after < 0.95 || after > 1.0001 || spoken > 1.0001 {
		t.Errorf("six of twenty have %.3f of the limit, %.3f once the others are known to be gone, %.3f while one of those speaks", before, after, spoken)
	}
}

// One that is cut off counts the unseen as living: its part stays what it was. What may be sent where no backend is
// warm goes by those that may live.
func TestCautionInDoubt(t *testing.T) {
	b := settled(t, 10, 0, 5)
	was := b.fraction
	b.Step(3*time.Millisecond, []Event{Fleet{Living: 10, Possible: 10}})
	if math.Abs(b.fraction-was) > 0.01*was {
		t.Errorf("part %v, was %v", b.fraction, was)
	}
	b.Step(4*time.Millisecond, []Event{Fleet{Living: 6, Possible: 10, Away: []int{9, 77, -1}}})
	if b.possible != 10 || b.s.Balancers != 6 {
		t.Errorf("%d may live, %d do", b.possible, b.s.Balancers)
	}
	b.Step(5*time.Millisecond, []Event{Fleet{}}) // nonsense
	if b.possible != 1 || b.s.Balancers != 1 || !(b.fraction <= 1) {
		t.Errorf("%d, %d, %v", b.possible, b.s.Balancers, b.fraction)
	}
}
