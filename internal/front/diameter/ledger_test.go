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

// effects are what took place at the servers, which drop repeats of keyed requests by their Session-Id.
type effects struct {
	mu  sync.Mutex
	ran map[string]bool
}

// first reports whether a keyed request takes effect.
func (e *effects) first(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	again := e.ran[id]
	e.ran[id] = true
	return !again
}

// fault is what a server does instead of answering.
type fault uint8

const (
	none   fault = iota
	vanish       // ends its connection with the answer owed
	busy         // 3004: nothing ran
	fails        // 5012: it may have run
	silent       // no answer at all
	late         // an answer after 1.5 s: who asked for a balance check has given up by then
)

func sessionID(m *diameter.Message) string {
	if a := diameter.Find(m.AVPs, diameter.CodeSessionID, 0); a != nil {
		return string(a.Data)
	}
	return ""
}

// kindOf is a request's class in deploy/diameter.toml.
func kindOf(m *diameter.Message) string {
	if m.Command != diameter.CreditControl {
		return "other"
	}
	if v, _ := diameter.Find(m.AVPs, diameter.CodeCCRequestType, 0).Uint32(); v == 4 {
		return "balance-check"
	}
	return "charge"
}

// observed is a script that tells the ledger what comes and what becomes of it; decide picks a fault by how many
// requests the server has had.
func observed(l *ledger.Ledger, done *effects, node string, after *sync.WaitGroup, decide func(n int64, kind string) fault) func(*standin.DiameterConn, *diameter.Message) {
	var n atomic.Int64
	return func(c *standin.DiameterConn, m *diameter.Message) {
		id, kind, now := sessionID(m), kindOf(m), time.Now()
		ended := l.Began(ledger.Attempt{Request: id, Agent: "relay", Node: node, Zone: "a", First: now, Last: now})
		what := decide(n.Add(1), kind)
		if what == busy {
			ended(ledger.Ending{Turned: true})
			c.Answer(m, diameter.TooBusy)
			return
		}
		ran := kind != "charge" || done.first(id)
		switch what {
		case vanish:
			ended(ledger.Ending{Ran: ran})
			c.Close()
		case fails:
			ended(ledger.Ending{Ran: ran})
			c.Answer(m, diameter.UnableToComply)
		case silent:
			ended(ledger.Ending{Ran: ran})
		case late: // of a charge it comes in time
			ended(ledger.Ending{Ran: ran, Answer: []byte(id)})
			after.Add(1)
			time.AfterFunc(1500*time.Millisecond, func() {
				defer after.Done()
				c.Answer(m, diameter.Success)
			})
		default:
			ended(ledger.Ending{Ran: ran, Answer: []byte(id)})
			c.Answer(m, diameter.Success)
		}
	}
}

// The four rules over Diameter, judged by an observer: servers that vanish with answers owed, turn away, fail, say
// nothing, answer too late and drain; clients that send requests again while the first copy is in hand or answered. Each
// request gets one final answer, no effect takes place twice, and the one that drains is left alone.
func TestRulesHoldOverDiameter(t *testing.T) {
	l := ledger.New(ledger.Rules{Classes: map[string]ledger.Class{"balance-check": {Effect: ledger.Safe}, "other": {Effect: ledger.Unsafe},
		"charge": {Effect: ledger.Keyed, Group: ledger.Zone, Window: 30 * time.Second}},
		// Lateness is no matter here: a slow machine makes everything late.
		AnswerGrace: scripted.Patience, DrainGrace: 500 * time.Millisecond, Slack: time.Second, Settle: time.Hour})
	done := &effects{ran: map[string]bool{}}
	var after sync.WaitGroup
	every := func(n int64, k int64, f fault) fault {
		if n%k == 0 {
			return f
		}
		return none
	}
	s := newSite(t, 32,
		observed(l, done, "s0.example.net", &after, func(n int64, _ string) fault { return every(n, 25, vanish) }),
		observed(l, done, "s1.example.net", &after, func(int64, string) fault { return none }),
		observed(l, done, "s2.example.net", &after, func(n int64, _ string) fault { return max(every(n, 5, busy), every(n, 12, fails)) }),
		observed(l, done, "s3.example.net", &after, func(n int64, kind string) fault {
			if kind == "other" { // it would hold the test up for its 5 s
				return none
			}
			return max(every(n, 20, silent), every(n, 15, late))
		}))
	for _, n := range s.nodes {
		l.Told("relay", n.Identity, "ready", time.Time{}, time.Now())
	}
	const clients, each, out = 4, 150, 8
	third := make(chan struct{}, clients)
	left := map[string]time.Duration{"balance-check": time.Second, "charge": 2 * time.Second, "other": 5 * time.Second}
	var wait sync.WaitGroup
	for range clients {
		c := s.client()
		wait.Go(func() {
			type copy struct {
				sends, answers int
				result         uint32
			}
			open := map[uint32]*copy{} // by End-to-End id
			ids := map[uint32]string{}
			owed := 0
			send := func(i int) {
				m := s.ask([]uint32{4, 1, 0}[i%3], []uint32{2, 0, 0}[i%3])
				x := &copy{sends: 1}
				open[m.EndToEnd], ids[m.EndToEnd] = x, sessionID(m)
				l.Sent(sessionID(m), kindOf(m), "relay", time.Now(), left[kindOf(m)])
				c.Send(m)
				if i%10 == 0 { // the client has forgotten that it did
					again := *m
					again.Flags |= diameter.FlagRetransmitted
					again.HopByHop += 1 << 20
					c.Send(&again)
					x.sends++
				}
				owed++
			}
			sent := 0
			for sent < each || owed > 0 {
				for ; sent < each && owed < out; sent++ {
					send(sent)
					if sent == each/3 {
						third <- struct{}{}
					}
				}
				a, open2 := <-c.Got
				if !open2 {
					t.Error("the relay ended a client's connection")
					return
				}
				x := open[a.EndToEnd]
				if x == nil {
					t.Errorf("an answer to none: %d", a.EndToEnd)
					continue
				}
				if x.answers++; x.answers > x.sends {
					t.Errorf("%s: %d answers to %d copies", ids[a.EndToEnd], x.answers, x.sends)
				}
				if x.answers > 1 { // to the other copy: it has to be the same one
					if code(a) != x.result && x.result != diameter.TooBusy {
						t.Errorf("%s: answered %d, then %d", ids[a.EndToEnd], x.result, code(a))
					}
					continue
				}
				owed--
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
				l.Got(ids[a.EndToEnd], time.Now(), answer)
			}
		})
	}
	for range clients {
		scripted.Await(t, third)
	}
	s.list(balance.Up, balance.Draining)
	l.Told("relay", "s1.example.net", "draining", time.Time{}, time.Now())
	wait.Wait()
	after.Wait() // late answers reach nobody, and do no harm
	v := l.Verdict()
	t.Log(v.String())
	if !v.Held() || v.Requests != clients*each {
		t.Errorf("%s", v.String())
		for _, b := range v.Breaches {
			t.Error(b)
		}
	}
	if v.Served < clients*each/2 {
		t.Errorf("only %d of %d served", v.Served, clients*each)
	}
}

// A client that lost its agent in the middle asks a second one: that one can't know the request, but passes the T flag
// on, and the servers, which drop repeats by Session-Id, let it take effect once. Both clients' answers are served.
func TestResendToASecondAgent(t *testing.T) {
	done := &effects{ran: map[string]bool{}}
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
	m := first.ask(1, 0) // a charge
	one.Send(m)
	scripted.Await(t, asked)
	again := *m
	again.Flags |= diameter.FlagRetransmitted
	two.Send(&again)
	if a := scripted.Await(t, two.Got); code(a) != diameter.Success || a.EndToEnd != m.EndToEnd {
		t.Errorf("the second agent answered %d", code(a))
	}
	if !scripted.Await(t, marked) {
		t.Error("the server was not told that the request may have been sent before")
	}
	close(release)
	if a := scripted.Await(t, one.Got); code(a) != diameter.Success { // late, and to who still listens
		t.Errorf("the first agent answered %d", code(a))
	}
	if n := ran.Load(); n != 1 {
		t.Errorf("the effect took place %d times", n)
	}
}
