package ledger

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var t0 = time.Unix(1784003400, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

const ms = time.Millisecond

func rules() Rules {
	return Rules{Classes: map[string]Class{"read": {Effect: Safe}, "sub": {Effect: Keyed, Group: Zone, Window: 1000 * ms},
		"any": {Effect: Keyed, Group: All, Window: 1000 * ms}, "cell": {Effect: Keyed, Group: Cell, Window: 1000 * ms}, "pay": {Effect: Unsafe}},
		AnswerGrace: 20 * ms, DrainGrace: 500 * ms, ColdShare: 0.5, Ramp: 10000 * ms, FallMultiple: 2, FallWindow: 1000 * ms, Slack: 50 * ms}
}

// play is one request through a peer that keeps the rules or doesn't.
type play struct{ l *Ledger }

func (p play) sent(class string) { p.l.Sent("d1", class, "n0", at(0), 1000*ms) }

// try is an attempt from first to last, with what became of it; nothing: it never ended.
func (p play) try(node, zone string, cell, first, last int, e ...Ending) {
	ended := p.l.Began(Attempt{Request: "d1", Agent: "n0", Node: node, Zone: zone, Cell: cell, First: at(first), Last: at(last)})
	for _, x := range e {
		ended(x)
	}
}

func (p play) got(ms, status int, body string) {
	p.l.Got("d1", at(ms), Answer{Status: status, Body: []byte(body)})
}

var (
	served = Ending{Ran: true, Answer: []byte("yes")}
	turned = Ending{Turned: true}
	failed = Ending{}
)

// Each rule, broken by a peer that does wrong, and kept by one that only just does not.
func TestRules(t *testing.T) {
	for _, tt := range []struct {
		name   string
		play   func(p play)
		breach string // empty: none
	}{
		{"served", func(p play) { p.sent("sub"); p.try("s1", "a", 0, 5, 6, served); p.got(50, 200, "yes") }, ""},
		{"refused, never sent on", func(p play) { p.sent("pay"); p.got(50, 503, "") }, ""},
		{"failed after an attempt", func(p play) { p.sent("pay"); p.try("s1", "a", 0, 5, 6, failed); p.got(50, 502, "") }, ""},
		{"the client goes away", func(p play) { p.sent("pay"); p.try("s1", "a", 0, 5, 6, failed); p.l.Gone("d1", at(40)) }, ""},

		{"no answer", func(p play) { p.sent("read"); p.try("s1", "a", 0, 5, 6, served) }, "no answer"},
		{"two answers", func(p play) { p.sent("read"); p.got(50, 503, ""); p.got(60, 503, "") }, "2 final answers"},
		{"an answer that no node made", func(p play) { p.sent("read"); p.try("s1", "a", 0, 5, 6, served); p.got(50, 200, "no") }, "which no node made"},
		{"an answer before any node saw it", func(p play) { p.sent("read"); p.got(50, 200, "yes") }, "which no node made"},
		{"an empty answer", func(p play) { p.sent("read"); p.try("s1", "a", 0, 5, 6); p.got(50, 200, "") }, "which no node made"},
		{"just in time", func(p play) { p.sent("read"); p.got(1069, 502, "") }, ""},
		{"too late", func(p play) { p.sent("read"); p.got(1071, 502, "") }, "after its time"},
		{"its connection ends", func(p play) { p.sent("read"); p.try("s1", "a", 0, 5, 6); p.got(50, 0, "") }, "without a whole answer"},
		{"its connection ends, the first on it, nothing sent on", func(p play) {
			p.sent("read")
			p.l.Got("d1", at(50), Answer{Unsent: true})
		}, ""},
		{"its connection ends, the first on it, but sent on", func(p play) {
			p.sent("read")
			p.try("s1", "a", 0, 5, 6)
			p.l.Got("d1", at(50), Answer{Unsent: true})
		}, "without a whole answer"},
		{"its connection ends within the answer", func(p play) {
			p.sent("read")
			p.try("s1", "a", 0, 5, 6, served)
			p.l.Got("d1", at(50), Answer{Begun: true})
		}, ""},
		{"sent on after its answer", func(p play) { p.sent("read"); p.got(50, 503, ""); p.try("s1", "a", 0, 101, 102, served) }, "after its end"},
		{"sent on as its answer goes out", func(p play) { p.sent("read"); p.got(50, 503, ""); p.try("s1", "a", 0, 99, 100, served) }, ""},
		{"sent on after the client went away", func(p play) { p.sent("read"); p.l.Gone("d1", at(50)); p.try("s1", "a", 0, 101, 102, served) }, "after its end"},
		{"made up", func(p play) { p.try("s1", "a", 0, 5, 6, served) }, "no client sent it"},

		{"safe: again anywhere", func(p play) {
			p.sent("read")
			p.try("s1", "a", 0, 5, 6, failed)
			p.try("s2", "b", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, ""},
		{"unsafe: again after it was turned away", func(p play) {
			p.sent("pay")
			p.try("s1", "a", 0, 5, 6, turned)
			p.try("s2", "b", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, ""},
		{"unsafe: again after an error", func(p play) {
			p.sent("pay")
			p.try("s1", "a", 0, 5, 6, failed)
			p.try("s2", "b", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, "the class is unsafe"},
		{"unsafe: again after silence", func(p play) {
			p.sent("pay")
			p.try("s1", "a", 0, 5, 6)
			p.try("s2", "b", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, "the class is unsafe"},
		{"unsafe: refused after silence", func(p play) { p.sent("pay"); p.try("s1", "a", 0, 5, 6); p.got(50, 503, "") }, "refused with 503"},
		{"unsafe: refused after it was turned away", func(p play) { p.sent("pay"); p.try("s1", "a", 0, 5, 6, turned); p.got(50, 429, "") }, ""},
		{"keyed: again in its zone", func(p play) {
			p.sent("sub")
			p.try("s1", "a", 0, 5, 6, failed)
			p.try("s2", "a", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, ""},
		{"keyed: again in another zone", func(p play) {
			p.sent("sub")
			p.try("s1", "a", 0, 5, 6, failed)
			p.try("s2", "b", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, "to zone b"},
		{"keyed: turned away in one zone, again in another", func(p play) {
			p.sent("sub")
			p.try("s1", "a", 0, 5, 6, turned)
			p.try("s2", "b", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, ""},
		{"keyed: as the window ends", func(p play) {
			p.sent("sub")
			p.try("s1", "a", 0, 0, 1, failed)
			p.try("s2", "a", 1, 1049, 1050, Ending{Answer: []byte("yes")})
			p.got(1060, 200, "yes")
		}, ""},
		{"keyed: beyond the window", func(p play) {
			p.sent("sub")
			p.try("s1", "a", 0, 0, 1, failed)
			p.try("s2", "a", 1, 1051, 1052, Ending{Answer: []byte("yes")})
			p.got(1060, 200, "yes")
		}, "repeats are dropped for 1s"},
		{"keyed by cell: again in another cell", func(p play) {
			p.sent("cell")
			p.try("s1", "a", 0, 5, 6, failed)
			p.try("s2", "a", 1, 15, 16, served)
			p.got(50, 200, "yes")
		}, "to cell 1"},
		{"keyed: its effect took place twice", func(p play) {
			p.sent("sub")
			p.try("s1", "a", 0, 5, 6, Ending{Ran: true})
			p.try("s2", "a", 0, 15, 16, served)
			p.got(50, 200, "yes")
		}, "took place 2 times"},
		{"keyed by zone: refused though it may have run", func(p play) { p.sent("sub"); p.try("s1", "a", 0, 5, 6, failed); p.got(50, 503, "") }, "refused with 503"},
		{"keyed by all: refused though it may have run", func(p play) { p.sent("any"); p.try("s1", "a", 0, 5, 6, failed); p.got(50, 503, "") }, ""},

		{"sent as the drain grace ends", func(p play) {
			p.l.Told("n0", "s1", "ready", time.Time{}, at(-9000))
			p.l.Told("n0", "s1", "draining", time.Time{}, at(0))
			p.sent("read")
			p.try("s1", "a", 0, 549, 550, served)
			p.got(560, 200, "yes")
		}, ""},
		{"sent after the drain grace", func(p play) {
			p.l.Told("n0", "s1", "draining", time.Time{}, at(0))
			p.sent("read")
			p.try("s1", "a", 0, 551, 552, served)
			p.got(560, 200, "yes")
		}, "the node is draining"},
		{"told gone after draining", func(p play) {
			p.l.Told("n0", "s1", "draining", time.Time{}, at(0))
			p.l.Told("n0", "s1", "gone", time.Time{}, at(400))
			p.sent("read")
			p.try("s1", "a", 0, 600, 601, served)
			p.got(700, 200, "yes")
		}, "the node is gone"},
		{"ready again", func(p play) {
			p.l.Told("n0", "s1", "draining", time.Time{}, at(0))
			p.l.Told("n0", "s1", "ready", time.Time{}, at(590))
			p.sent("read")
			p.try("s1", "a", 0, 600, 601, served)
			p.got(700, 200, "yes")
		}, ""},
		{"another agent was told", func(p play) {
			p.l.Told("n1", "s1", "draining", time.Time{}, at(0))
			p.sent("read")
			p.try("s1", "a", 0, 900, 901, served)
			p.got(950, 200, "yes")
		}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := New(rules())
			tt.play(play{l})
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

// A cold node falls over when it is sent too much, and it is a breach if agents that knew sent it.
func TestColdNode(t *testing.T) {
	// At its start the node does 0.5 of 4 s a second: 2 × 0.5 × 4 × 1 s = 4 s of work within 1 s are too much.
	for _, tt := range []struct {
		name   string
		told   bool
		start  int // ms after the start
		pieces int // of 0.1 s each, over 900 ms
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
			l.Started("s1", at(0), 4)
			if tt.told {
				l.Told("n0", "s1", "ready", at(0).Truncate(time.Millisecond), at(0))
			}
			falls := false
			for i := range tt.pieces {
				falls = l.Work("s1", "n0", at(tt.start+i*900/tt.pieces), 0.1) || falls
			}
			v := l.Verdict()
			if falls != tt.falls || !v.Held() != tt.breach {
				t.Errorf("falls: %v; %s", falls, &v)
			}
		})
	}
}

// Memory follows what happens within a while, not the length of the run; settled requests have
// been judged.
func TestSettles(t *testing.T) {
	l := New(rules())
	for i := range 20000 {
		id := fmt.Sprint(i)
		l.Sent(id, "read", "n0", at(10*i), 100*ms)
		if i%100 != 0 {
			l.Got(id, at(10*i+5), Answer{Status: 503})
		}
		if len(l.requests) > 1100 || len(l.ends) > 1100 {
			t.Fatalf("%d requests are kept", len(l.requests))
		}
	}
	v := l.Verdict()
	if v.Requests != 20000 || v.Refused != 19800 || v.Broken[Lost] != 200 || len(v.Breaches) != maxBreaches {
		t.Errorf("got %d requests, %d refused, %v, %d breaches", v.Requests, v.Refused, v.Broken, len(v.Breaches))
	}
	if len(l.requests) != 0 {
		t.Errorf("%d requests are left", len(l.requests))
	}
}

func TestSentAgain(t *testing.T) {
	l := New(rules())
	p := play{l}
	p.sent("read")
	l.Sent("d1", "read", "n0", at(10), 1000*ms) // once more, on a new connection
	p.try("s1", "a", 0, 15, 16, served)
	p.got(50, 200, "yes")
	if v := l.Verdict(); !v.Held() || v.Requests != 1 || v.Served != 1 {
		t.Errorf("got %s", &v)
	}
}
