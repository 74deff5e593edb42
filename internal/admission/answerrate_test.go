package admission

import (
	"testing"
	"time"
)

// Guards against a client that keeps the process busy with requests that need no backend: beyond a burst its answers wait,
// and those of other connections don't.
func TestLocalAnswersArePaced(t *testing.T) {
	g := newGovernorHarness(t, DefaultConfig(0, 0)).governor
	busy, other := g.Open(0, nil), g.Open(0, nil)
	for n := range connAnswerRate.Burst {
		if wait := g.ReserveLocalAnswer(busy, 0); wait != 0 {
			t.Fatalf("answer %d waits %v", n, wait)
		}
	}
	if wait := g.ReserveLocalAnswer(busy, 0); wait != connAnswerRate.Interval {
		t.Errorf("the first answer beyond the burst waits %v, want %v", wait, connAnswerRate.Interval)
	}
	if wait := g.ReserveLocalAnswer(other, 0); wait != 0 {
		t.Errorf("the answer on another connection waits %v", wait)
	}
	if wait := g.ReserveLocalAnswer(busy, time.Minute); wait != 0 {
		t.Errorf("an answer after a pause waits %v", wait)
	}
	g.Drain(0)
	for range 2 * connAnswerRate.Burst {
		if wait := g.ReserveLocalAnswer(busy, time.Minute); wait != 0 {
			t.Fatalf("an answer waits %v during a planned stop", wait)
		}
	}
}

// All connections together have a rate as well, so that many of them don't keep the process busy.
func TestLocalAnswersOfAllConnectionsArePaced(t *testing.T) {
	g := newGovernorHarness(t, DefaultConfig(0, 0)).governor
	for n := range totalAnswerRate.Burst {
		if wait := g.ReserveLocalAnswer(g.Open(0, nil), 0); wait != 0 {
			t.Fatalf("answer %d waits %v", n, wait)
		}
	}
	if wait := g.ReserveLocalAnswer(g.Open(0, nil), 0); wait != totalAnswerRate.Interval {
		t.Errorf("the first answer beyond the burst waits %v, want %v", wait, totalAnswerRate.Interval)
	}
}
