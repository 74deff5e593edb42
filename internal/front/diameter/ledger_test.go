package diameter

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/diameter"
	"lemonrail/internal/ledger"
	"lemonrail/internal/scripted"
	"lemonrail/internal/standin"
)

// effectLog records which requests took effect at the servers, which drop repeats of keyed requests by
// Session-Id.
type effectLog struct {
	mu  sync.Mutex
	ran map[string]bool // by Session-Id: the request was run
}

// first reports whether a keyed request is the first one with its Session-Id, and records it.
func (e *effectLog) first(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	again := e.ran[id]
	e.ran[id] = true
	return !again
}

// fault is what a scripted server does instead of answering.
type fault uint8

const (
	none   fault = iota
	vanish       // closes its connection without an answer
	busy         // answers 3004: nothing ran
	fails        // answers 5012: the request may have run
	silent       // gives no answer
	late         // answers after 1.5 s, which is past the deadline of a balance check
)

// sessionID returns a request's Session-Id; empty: it has none.
func sessionID(m *diameter.Message) string {
	if a := diameter.Find(m.AVPs, diameter.CodeSessionID, 0); a != nil {
		return string(a.Data)
	}
	return ""
}

// className returns the request's class in deploy/diameter.toml.
func className(m *diameter.Message) string {
	if m.Command != diameter.CreditControl {
		return "other"
	}
	if v, _ := diameter.Find(m.AVPs, diameter.CodeCCRequestType, 0).Uint32(); v == 4 {
		return "balance-check"
	}
	return "charge"
}

// recordingScript returns a script of the server node that records each attempt and its outcome in the
// ledger. decide picks the fault by the number of requests that the server has received and the request's
// class; after counts the late answers that are still to be sent.
func recordingScript(l *ledger.Ledger, done *effectLog, node string, after *sync.WaitGroup, decide func(n int64, kind string) fault) func(*standin.DiameterConn, *diameter.Message) {
	var n atomic.Int64
	return func(c *standin.DiameterConn, m *diameter.Message) {
		id, kind, now := sessionID(m), className(m), time.Now()
		ended := l.AttemptStarted(ledger.Attempt{Request: id, Agent: "relay", Node: node, Zone: "a", FirstByte: now, LastByte: now})
		chosen := decide(n.Add(1), kind)
		if chosen == busy {
			ended(ledger.Outcome{Rejected: true})
			c.Answer(m, diameter.TooBusy)
			return
		}
		ran := kind != "charge" || done.first(id)
		switch chosen {
		case vanish:
			ended(ledger.Outcome{TookEffect: ran})
			c.Close()
		case fails:
			ended(ledger.Outcome{TookEffect: ran})
			c.Answer(m, diameter.UnableToComply)
		case silent:
			ended(ledger.Outcome{TookEffect: ran})
		case late: // in time for a charge
			ended(ledger.Outcome{TookEffect: ran, AnswerBody: []byte(id)})
			after.Add(1)
			time.AfterFunc(1500*time.Millisecond, func() {
				defer after.Done()
				c.Answer(m, diameter.Success)
			})
		default:
			ended(ledger.Outcome{TookEffect: ran, AnswerBody: []byte(id)})
			c.Answer(m, diameter.Success)
		}
	}
}

// The balancer's four rules over Diameter, checked by an independent ledger: each request gets one final
// answer, no effect takes place twice, and a draining server gets no new requests. Servers close connections
// without answers, refuse, fail, stay silent, answer too late and drain; clients resend requests that are
// pending or answered.
func TestGuaranteesOverDiameter(t *testing.T) {
	l := ledger.New(ledger.Rules{Classes: map[string]ledger.Class{"balance-check": {Effect: ledger.Safe}, "other": {Effect: ledger.Unsafe},
		"charge": {Effect: ledger.Keyed, Group: ledger.Zone, Window: 30 * time.Second}},
		// Deadlines are not checked here: on a slow machine every answer may be late.
		AnswerGrace: scripted.WaitTimeout, DrainGrace: 500 * time.Millisecond, Slack: time.Second, Settle: time.Hour})
	done := &effectLog{ran: map[string]bool{}}
	var lateAnswers sync.WaitGroup
	every := func(n int64, k int64, f fault) fault {
		if n%k == 0 {
			return f
		}
		return none
	}
	s := newSite(t, 32,
		recordingScript(l, done, "s0.example.net", &lateAnswers, func(n int64, _ string) fault { return every(n, 25, vanish) }),
		recordingScript(l, done, "s1.example.net", &lateAnswers, func(int64, string) fault { return none }),
		recordingScript(l, done, "s2.example.net", &lateAnswers, func(n int64, _ string) fault { return max(every(n, 5, busy), every(n, 12, fails)) }),
		recordingScript(l, done, "s3.example.net", &lateAnswers, func(n int64, kind string) fault {
			if kind == "other" { // a silent server would delay the test by the class's 5 s
				return none
			}
			return max(every(n, 20, silent), every(n, 15, late))
		}))
	for _, n := range s.nodes {
		l.StateReported("relay", n.Identity, "ready", time.Time{}, time.Now())
	}
	const clients, each, out = 4, 150, 8  // each: requests of a client; out: how many of them it has pending at most
	third := make(chan struct{}, clients) // gets a value from each client that has sent a third of its requests
	deadlines := map[string]time.Duration{"balance-check": time.Second, "charge": 2 * time.Second, "other": 5 * time.Second}
	var wait sync.WaitGroup
	for range clients {
		c := s.client()
		wait.Go(func() {
			type request struct {
				sends, answers int
				result         uint32
			}
			open := map[uint32]*request{} // by End-to-End id
			ids := map[uint32]string{}    // Session-Ids by End-to-End id
			awaited := 0
			send := func(i int) {
				m := s.newRequest([]uint32{4, 1, 0}[i%3], []uint32{2, 0, 0}[i%3])
				x := &request{sends: 1}
				open[m.EndToEnd], ids[m.EndToEnd] = x, sessionID(m)
				l.RequestSent(sessionID(m), className(m), "relay", time.Now(), deadlines[className(m)])
				c.Send(m)
				if i%10 == 0 { // a resend right after the request
					again := *m
					again.Flags |= diameter.FlagRetransmitted
					again.HopByHop += 1 << 20
					c.Send(&again)
					x.sends++
				}
				awaited++
			}
			sent := 0
			for sent < each || awaited > 0 {
				for ; sent < each && awaited < out; sent++ {
					send(sent)
					if sent == each/3 {
						third <- struct{}{}
					}
				}
				a, connected := <-c.Received
				if !connected {
					t.Error("the relay ended a client's connection")
					return
				}
				x := open[a.EndToEnd]
				if x == nil {
					t.Errorf("an answer to an unknown request: %d", a.EndToEnd)
					continue
				}
				if x.answers++; x.answers > x.sends {
					t.Errorf("%s: %d answers to %d copies", ids[a.EndToEnd], x.answers, x.sends)
				}
				if x.answers > 1 { // the answer to a resend must be the same
					if code(a) != x.result && x.result != diameter.TooBusy {
						t.Errorf("%s: answered %d, then %d", ids[a.EndToEnd], x.result, code(a))
					}
					continue
				}
				awaited--
				x.result = code(a)
				answer := ledger.Answer{Status: 500}
				switch x.result {
				case diameter.Success:
					answer = ledger.Answer{Status: 200, Body: []byte(ids[a.EndToEnd])}
				case diameter.TooBusy:
					answer.Status = 503
				case diameter.UnableToComply:
					answer.Status = 502
				default:
					t.Errorf("%s: %d", ids[a.EndToEnd], x.result)
				}
				l.AnswerReceived(ids[a.EndToEnd], time.Now(), answer)
			}
		})
	}
	for range clients {
		scripted.Await(t, third)
	}
	s.list(balance.Up, balance.Draining)
	l.StateReported("relay", "s1.example.net", "draining", time.Time{}, time.Now())
	wait.Wait()
	lateAnswers.Wait() // late answers must reach no client
	v := l.Verdict()
	t.Log(v.String())
	if !v.Held() || v.Requests != clients*each {
		t.Errorf("%s", v.String())
		for _, b := range v.Breaches {
			t.Error(b)
		}
	}
	if v.Served < clients*each/2 {
		t.Errorf("%d of %d requests served, want at least half", v.Served, clients*each)
	}
}

// A client that lost its agent resends a request to a second agent, which can't know the request but forwards
// the T flag. The servers drop repeats by Session-Id, so that it takes effect once. Both clients get a
// successful answer.
func TestResendToASecondAgent(t *testing.T) {
	done := &effectLog{ran: map[string]bool{}}
	var ran atomic.Int64
	asked, release := make(chan struct{}), make(chan struct{})
	marked := make(chan bool, 1)
	first := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) {
		if done.first(sessionID(m)) {
			ran.Add(1)
		}
		close(asked)
		<-release // until the second agent has answered
		c.Answer(m, diameter.Success)
	})
	second := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) {
		if done.first(sessionID(m)) {
			ran.Add(1)
		}
		marked <- m.Flags&diameter.FlagRetransmitted != 0
		c.Answer(m, diameter.Success)
	})
	one, two := first.client(), second.client()
	m := first.newRequest(1, 0) // a charge
	one.Send(m)
	scripted.Await(t, asked)
	again := *m
	again.Flags |= diameter.FlagRetransmitted
	two.Send(&again)
	if a := scripted.Await(t, two.Received); code(a) != diameter.Success || a.EndToEnd != m.EndToEnd {
		t.Errorf("the second agent answered %d", code(a))
	}
	if !scripted.Await(t, marked) {
		t.Error("the request was forwarded to the server without the T bit")
	}
	close(release)
	if a := scripted.Await(t, one.Received); code(a) != diameter.Success { // the first client is still connected
		t.Errorf("the first agent answered %d", code(a))
	}
	if n := ran.Load(); n != 1 {
		t.Errorf("the effect took place %d times", n)
	}
}
