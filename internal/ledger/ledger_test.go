package ledger

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var t0 = time.Unix(1784003400, 0)

// at returns the time the given number of milliseconds after the beginning of a test.
func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

const ms = time.Millisecond

// rules returns rules with one class of each kind of effect and group.
func rules() Rules {
	return Rules{Classes: map[string]Class{"read": {Effect: Safe}, "sub": {Effect: Keyed, Group: Zone, Window: 1000 * ms},
		"any": {Effect: Keyed, Group: All, Window: 1000 * ms}, "cell": {Effect: Keyed, Group: Cell, Window: 1000 * ms}, "pay": {Effect: Unsafe}},
		AnswerGrace: 20 * ms, DrainGrace: 500 * ms, ColdShare: 0.5, Ramp: 10000 * ms, FallMultiple: 2, FallWindow: 1000 * ms, Slack: 50 * ms}
}

// exchange records the events of one request in a ledger.
type exchange struct{ l *Ledger }

func (p exchange) sent(class string) { p.l.RequestSent("d1", class, "n0", at(0), 1000*ms) }

// attempt records an attempt whose first and last byte reach the node at the given times (ms), with its outcome if it ended.
func (p exchange) attempt(node, zone string, cell, first, last int, e ...Outcome) {
	ended := p.l.AttemptStarted(Attempt{Request: "d1", Agent: "n0", Node: node, Zone: zone, Cell: cell, FirstByte: at(first), LastByte: at(last)})
	for _, x := range e {
		ended(x)
	}
}

func (p exchange) got(ms, status int, body string) {
	p.l.AnswerReceived("d1", at(ms), Answer{Status: status, Body: []byte(body)})
}

var (
	served = Outcome{TookEffect: true, AnswerBody: []byte("yes")}
	turned = Outcome{Rejected: true}
	failed = Outcome{}
)

// TestRules checks each rule with a sequence of events that breaks it and with one that stays just within it.
func TestRules(t *testing.T) {
	for _, tt := range []struct {
		name   string
		play   func(p exchange)
		breach string // part of the evidence; empty: no breach
	}{
		{"served", func(p exchange) { p.sent("sub"); p.attempt("s1", "a", 0, 5, 6, served); p.got(50, 200, "yes") }, ""},
		{"refused, never sent on", func(p exchange) { p.sent("pay"); p.got(50, 503, "") }, ""},
		{"failed after an attempt", func(p exchange) { p.sent("pay"); p.attempt("s1", "a", 0, 5, 6, failed); p.got(50, 502, "") }, ""},
		{"the client goes away", func(p exchange) { p.sent("pay"); p.attempt("s1", "a", 0, 5, 6, failed); p.l.ClientLeft("d1", at(40)) }, ""},

		{"no answer", func(p exchange) { p.sent("read"); p.attempt("s1", "a", 0, 5, 6, served) }, "no answer"},
		{"two answers", func(p exchange) { p.sent("read"); p.got(50, 503, ""); p.got(60, 503, "") }, "2 final answers"},
		{"an answer that no node made", func(p exchange) { p.sent("read"); p.attempt("s1", "a", 0, 5, 6, served); p.got(50, 200, "no") }, "which no node made"},
		{"an answer before any node saw it", func(p exchange) { p.sent("read"); p.got(50, 200, "yes") }, "which no node made"},
		{"an empty answer", func(p exchange) { p.sent("read"); p.attempt("s1", "a", 0, 5, 6); p.got(50, 200, "") }, "which no node made"},
		{"just in time", func(p exchange) { p.sent("read"); p.got(1069, 502, "") }, ""},
		{"too late", func(p exchange) { p.sent("read"); p.got(1071, 502, "") }, "after its time"},
		{"its connection ends", func(p exchange) { p.sent("read"); p.attempt("s1", "a", 0, 5, 6); p.got(50, 0, "") }, "without a whole answer"},
		{"its connection ends, the first on it, nothing sent on", func(p exchange) {
			p.sent("read")
			p.l.AnswerReceived("d1", at(50), Answer{FirstOnConnection: true})
		}, ""},
		{"its connection ends, the first on it, but sent on", func(p exchange) {
			p.sent("read")
			p.attempt("s1", "a", 0, 5, 6)
			p.l.AnswerReceived("d1", at(50), Answer{FirstOnConnection: true})
		}, "without a whole answer"},
		{"its connection ends within the answer", func(p exchange) {
			p.sent("read")
			p.attempt("s1", "a", 0, 5, 6, served)
			p.l.AnswerReceived("d1", at(50), Answer{Partial: true})
		}, ""},
		{"sent on after its answer", func(p exchange) { p.sent("read"); p.got(50, 503, ""); p.attempt("s1", "a", 0, 101, 102, served) }, "after its end"},
		{"sent on as its answer goes out", func(p exchange) { p.sent("read"); p.got(50, 503, ""); p.attempt("s1", "a", 0, 99, 100, served) }, ""},
		{"sent on after the client went away", func(p exchange) {
			p.sent("read")
			p.l.ClientLeft("d1", at(50))
			p.attempt("s1", "a", 0, 101, 102, served)
		}, "after its end"},
		{"attempt for a request that no client sent", func(p exchange) { p.attempt("s1", "a", 0, 5, 6, served) }, "no client sent it"},

		{"safe: again anywhere", func(p exchange) {
			p.sent("read")
			p.attempt("s1", "a", 0, 5, 6, failed)
			p.attempt("s2", "b", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, ""},
		{"unsafe: again after it was turned away", func(p exchange) {
			p.sent("pay")
			p.attempt("s1", "a", 0, 5, 6, turned)
			p.attempt("s2", "b", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, ""},
		{"unsafe: again after an error", func(p exchange) {
			p.sent("pay")
			p.attempt("s1", "a", 0, 5, 6, failed)
			p.attempt("s2", "b", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, "the class is unsafe"},
		{"unsafe: again after silence", func(p exchange) {
			p.sent("pay")
			p.attempt("s1", "a", 0, 5, 6)
			p.attempt("s2", "b", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, "the class is unsafe"},
		{"unsafe: refused after silence", func(p exchange) { p.sent("pay"); p.attempt("s1", "a", 0, 5, 6); p.got(50, 503, "") }, "refused with 503"},
		{"unsafe: refused after it was turned away", func(p exchange) { p.sent("pay"); p.attempt("s1", "a", 0, 5, 6, turned); p.got(50, 429, "") }, ""},
		{"keyed: again in its zone", func(p exchange) {
			p.sent("sub")
			p.attempt("s1", "a", 0, 5, 6, failed)
			p.attempt("s2", "a", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, ""},
		{"keyed: again in another zone", func(p exchange) {
			p.sent("sub")
			p.attempt("s1", "a", 0, 5, 6, failed)
			p.attempt("s2", "b", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, "to zone b"},
		{"keyed: turned away in one zone, again in another", func(p exchange) {
			p.sent("sub")
			p.attempt("s1", "a", 0, 5, 6, turned)
			p.attempt("s2", "b", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, ""},
		{"keyed: again just within the window", func(p exchange) {
			p.sent("sub")
			p.attempt("s1", "a", 0, 0, 1, failed)
			p.attempt("s2", "a", 1, 1049, 1050, Outcome{AnswerBody: []byte("yes")})
			p.got(1060, 200, "yes")
		}, ""},
		{"keyed: again after the window", func(p exchange) {
			p.sent("sub")
			p.attempt("s1", "a", 0, 0, 1, failed)
			p.attempt("s2", "a", 1, 1051, 1052, Outcome{AnswerBody: []byte("yes")})
			p.got(1060, 200, "yes")
		}, "repeats are dropped for 1s"},
		{"keyed by cell: again in another cell", func(p exchange) {
			p.sent("cell")
			p.attempt("s1", "a", 0, 5, 6, failed)
			p.attempt("s2", "a", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, "to cell 1"},
		{"keyed: its effect took place twice", func(p exchange) {
			p.sent("sub")
			p.attempt("s1", "a", 0, 5, 6, Outcome{TookEffect: true})
			p.attempt("s2", "a", 0, 15, 16, served)
			p.got(50, 200, "yes")
		}, "took place 2 times"},
		{"keyed by zone: refused though it may have run", func(p exchange) { p.sent("sub"); p.attempt("s1", "a", 0, 5, 6, failed); p.got(50, 503, "") }, "refused with 503"},
		{"keyed by all: refused though it may have run", func(p exchange) { p.sent("any"); p.attempt("s1", "a", 0, 5, 6, failed); p.got(50, 503, "") }, ""},

		{"sent as the drain grace ends", func(p exchange) {
			p.l.StateReported("n0", "s1", "ready", time.Time{}, at(-9000))
			p.l.StateReported("n0", "s1", "draining", time.Time{}, at(0))
			p.sent("read")
			p.attempt("s1", "a", 0, 549, 550, served)
			p.got(560, 200, "yes")
		}, ""},
		{"sent after the drain grace", func(p exchange) {
			p.l.StateReported("n0", "s1", "draining", time.Time{}, at(0))
			p.sent("read")
			p.attempt("s1", "a", 0, 551, 552, served)
			p.got(560, 200, "yes")
		}, "the node is draining"},
		{"told gone after draining", func(p exchange) {
			p.l.StateReported("n0", "s1", "draining", time.Time{}, at(0))
			p.l.StateReported("n0", "s1", "gone", time.Time{}, at(400))
			p.sent("read")
			p.attempt("s1", "a", 0, 600, 601, served)
			p.got(700, 200, "yes")
		}, "the node is gone"},
		{"ready again", func(p exchange) {
			p.l.StateReported("n0", "s1", "draining", time.Time{}, at(0))
			p.l.StateReported("n0", "s1", "ready", time.Time{}, at(590))
			p.sent("read")
			p.attempt("s1", "a", 0, 600, 601, served)
			p.got(700, 200, "yes")
		}, ""},
		{"another agent was told", func(p exchange) {
			p.l.StateReported("n1", "s1", "draining", time.Time{}, at(0))
			p.sent("read")
			p.attempt("s1", "a", 0, 900, 901, served)
			p.got(950, 200, "yes")
		}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := New(rules())
			tt.play(exchange{l})
			v := l.Verdict()
			switch {
			case tt.breach == "" && !v.Held():
				t.Errorf("found %s", &v)
			case tt.breach != "" && (len(v.Breaches) != 1 || !strings.Contains(v.Breaches[0].Evidence, tt.breach)):
				t.Errorf("found %v, want %s", v.Breaches, tt.breach)
			}
		})
	}
}

// A cold node fails when it is sent too much work. That is a breach only if agents to which discovery had reported its start
// sent at least two thirds of the work.
func TestColdNode(t *testing.T) {
	// At its start the node has 0.5 of 4 s per second: more than 2 × 0.5 × 4 × 1 s = 4 s of work within 1 s
	// makes it fail.
	for _, tt := range []struct {
		name   string
		told   bool
		start  int // ms after the node's start
		pieces int // pieces of work of 0.1 s each, over 900 ms
		falls  bool
		breach bool
	}{
		{"just kept", true, 0, 40, false, false},
		{"pushed over", true, 0, 46, true, true},
		{"pushed over by agents that could not know", false, 0, 46, true, false},
		{"half warm", true, 5000, 55, false, false},
		{"warm", true, 10000, 400, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := New(rules())
			l.NodeStarted("s1", at(0), 4)
			if tt.told {
				l.StateReported("n0", "s1", "ready", at(0).Truncate(time.Millisecond), at(0))
			}
			falls := false
			for i := range tt.pieces {
				falls = l.WorkSent("s1", "n0", at(tt.start+i*900/tt.pieces), 0.1) || falls
			}
			v := l.Verdict()
			if falls != tt.falls || !v.Held() != tt.breach {
				t.Errorf("falls: %v; %s", falls, &v)
			}
		})
	}
}

// The ledger keeps only the requests that ended within the last Settle, so that its memory doesn't grow with the run, and has
// checked the requests that it no longer keeps.
func TestSettles(t *testing.T) {
	l := New(rules())
	for i := range 20000 {
		id := fmt.Sprint(i)
		l.RequestSent(id, "read", "n0", at(10*i), 100*ms)
		if i%100 != 0 {
			l.AnswerReceived(id, at(10*i+5), Answer{Status: 503})
		}
		if len(l.requests) > 1100 || len(l.deadlines) > 1100 {
			t.Fatalf("%d requests are kept", len(l.requests))
		}
	}
	v := l.Verdict()
	if v.Requests != 20000 || v.Refused != 19800 || v.Broken[RuleNoRequestLost] != 200 || len(v.Breaches) != maxBreaches {
		t.Errorf("got %d requests, %d refused, %v, %d breaches", v.Requests, v.Refused, v.Broken, len(v.Breaches))
	}
	if len(l.requests) != 0 {
		t.Errorf("%d requests are left", len(l.requests))
	}
}

// A request that a client sends once more on a new connection counts as one request.
func TestSentAgain(t *testing.T) {
	l := New(rules())
	p := exchange{l}
	p.sent("read")
	l.RequestSent("d1", "read", "n0", at(10), 1000*ms) // again, on a new connection
	p.attempt("s1", "a", 0, 15, 16, served)
	p.got(50, 200, "yes")
	if v := l.Verdict(); !v.Held() || v.Requests != 1 || v.Served != 1 {
		t.Errorf("got %s", &v)
	}
}
