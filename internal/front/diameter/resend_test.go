package diameter

import (
	"strings"
	"sync"
	"testing"

	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/relay"
	"lemonrail/internal/scripted"
	"lemonrail/internal/standin"
)

// runCounter counts how often servers ran each request, by Session-Id.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *runCounter) add(m *diameter.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]int{}
	}
	r.runs[sessionID(m)]++
}

func (r *runCounter) count(m *diameter.Message) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[sessionID(m)]
}

// resent returns a copy of m with another Hop-by-Hop identifier, with or without the T bit.
func resent(m *diameter.Message, marked bool) *diameter.Message {
	again := *m
	again.HopByHop += 1 << 20
	if marked {
		again.Flags |= diameter.FlagRetransmitted
	}
	return &again
}

// Guards against a second run of a request that must not run twice: its answer got lost with the client's connection, and
// the long answers to another client took all the room for kept answers before the client resent it.
func TestResendAfterOthersAnswersRunsOnce(t *testing.T) {
	const longAnswer = 32 << 10
	var ran runCounter
	s := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) {
		ran.add(m)
		if className(m) != "balance-check" {
			c.Answer(m, diameter.Success)
			return
		}
		c.Answer(m, diameter.Success, diameter.WithoutMandatory(diameter.Str(diameter.CodeErrorMessage, strings.Repeat("x", longAnswer))))
	})
	requests := map[string]*diameter.Message{"unsafe": s.newRequest(0, 0), "keyed": s.newRequest(1, 0)}
	first := s.client()
	for name, m := range requests {
		first.Send(m)
		if got := code(scripted.Await(t, first.Received)); got != diameter.Success {
			t.Fatalf("%s: got %d", name, got)
		}
	}
	first.Close() // as if the answers had been lost with it
	other := s.client()
	for range relay.DefaultLimits().MaxKeptBytes/longAnswer + 1 {
		other.Send(s.newRequest(4, 2))
		if got := code(scripted.Await(t, other.Received)); got != diameter.Success {
			t.Fatalf("another client's request: got %d", got)
		}
	}
	second := s.client()
	for name, m := range requests {
		for _, marked := range []bool{true, false} {
			second.Send(resent(m, marked))
			if got := code(scripted.Await(t, second.Received)); got != diameter.Success {
				t.Errorf("%s, T bit %v: got %d", name, marked, got)
			}
			if n := ran.count(m); n != 1 {
				t.Errorf("%s, T bit %v: run %d times", name, marked, n)
			}
		}
	}
}

// Guards against a second run of an unsafe request that this agent doesn't know, since it is a resend, with the T bit, from
// another agent or from before a restart. It fails without a promise: a refusal would invite the client to try again.
func TestUnknownUnsafeResendIsNotRun(t *testing.T) {
	var ran runCounter
	s := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) {
		ran.add(m)
		c.Answer(m, diameter.Success)
	})
	c := s.client()
	m := s.newRequest(0, 0)
	c.Send(resent(m, true))
	if got := code(scripted.Await(t, c.Received)); got != diameter.UnableToComply {
		t.Errorf("got %d, want %d", got, diameter.UnableToComply)
	}
	if n := ran.count(m); n != 0 {
		t.Errorf("run %d times", n)
	}
	first := s.newRequest(0, 0)
	c.Send(first)
	if got := code(scripted.Await(t, c.Received)); got != diameter.Success || ran.count(first) != 1 {
		t.Errorf("without the T bit: got %d, run %d times", got, ran.count(first))
	}
}
