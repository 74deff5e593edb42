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

// Guards against clients that keep the process busy with requests that are refused: beyond a burst the next request on their
// connection waits, for a bounded time, and those on other connections don't.
func TestRefusedClientsArePaced(t *testing.T) {
	g := newGovernorHarness(t, DefaultConfig(0, 0)).governor
	busy, other := g.Open(0, nil), g.Open(0, nil)
	for n := range connRefusalRate.Burst {
		if wait := g.RecordRefusal(busy, 0); wait != 0 {
			t.Fatalf("refusal %d: the next request waits %v", n, wait)
		}
	}
	if wait := g.RecordRefusal(busy, 0); wait != connRefusalRate.Interval {
		t.Errorf("beyond the burst: the next request waits %v, want %v", wait, connRefusalRate.Interval)
	}
	if wait := g.RecordRefusal(other, 0); wait != 0 {
		t.Errorf("on another connection the next request waits %v", wait)
	}
	for range 10000 {
		if wait := g.RecordRefusal(busy, 0); wait > maxRefusalPause {
			t.Fatalf("the next request waits %v", wait)
		}
	}
	g.Drain(0)
	if wait := g.RecordRefusal(busy, 0); wait != 0 {
		t.Errorf("during a planned stop the next request waits %v", wait)
	}
}
