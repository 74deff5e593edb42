package diameter

import (
	"strings"
	"sync"
	"testing"
	"time"

	"lemonrail/balance"
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

// Guards against 3002, which invites a client to try another agent, for the resend of a request that has run: its server has
// left the list since.
func TestResendNamesAServerThatLeft(t *testing.T) {
	s := newSite(t, 16, answerSuccess, answerSuccess)
	c := s.client()
	send := func(m *diameter.Message) uint32 {
		t.Helper()
		c.Send(m)
		return code(scripted.Await(t, c.Received))
	}
	for _, kind := range []uint32{0, 1, 4} { // unsafe, keyed, safe
		s.list(balance.Up, balance.Up)
		m := s.newRequest(kind, 2)
		m.AVPs = append(m.AVPs, diameter.Str(diameter.CodeDestinationHost, "s1.example.net"))
		for end := time.Now().Add(scripted.WaitTimeout); send(m) != diameter.Success; { // until the server's name is known from its CEA
			if time.Now().After(end) {
				t.Fatal("the server gets no requests")
			}
			if got := send(s.newRequest(4, 2)); got != diameter.Success {
				t.Fatalf("without a server's name: got %d", got)
			}
			m.EndToEnd += 1 << 10 // a new request
		}
		s.list(balance.Up, balance.Gone)
		for _, marked := range []bool{true, false} {
			if got := send(resent(m, marked)); got != diameter.Success {
				t.Errorf("kind %d, T bit %v: got %d", kind, marked, got)
			}
		}
		for range 2 { // the first one is not left pending
			again := resent(m, false)
			again.EndToEnd += 1 << 20
			if got := send(again); got != diameter.UnableToDeliver {
				t.Errorf("kind %d, a new request for that server: got %d", kind, got)
			}
		}
	}
}
