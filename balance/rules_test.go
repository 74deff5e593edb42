package balance_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
)

// auditor checks the four rules (one final answer to each request in time, repeats only where allowed, drains
// kept, no cold backend overloaded) from events and actions alone: it records them and models no backend.
type auditor struct {
	settings balance.Settings
	now      time.Duration
	requests map[string]*auditedRequest // by ID, all that arrived
	backends map[string]*auditedBackend // by ID, all that were listed
	faults   []string                   // descriptions of the broken rules

	loosestCold coldLimits // the loosest of all settings so far, since attempts sent under earlier ones still count
}

// coldLimits are the settings that bound a cold backend's load.
type coldLimits struct {
	share, multiple float64       // ColdShare and FallMultiple
	ramp            time.Duration // RampTime
}

// auditedRequest is what the auditor knows about a request.
type auditedRequest struct {
	class    balance.Class
	deadline time.Duration
	sends    []auditedSend
	ended    bool          // it has its final answer, or its client left
	leftAt   time.Duration // when its client left; answers in the same step are allowed
	stream   bool          // its answer has begun to reach the client

	maxAttempts  int  // by the settings that applied when it came
	secondCopies bool // by the same settings: two attempts may be open together
}

// auditedSend is one attempt of a request.
type auditedSend struct {
	backend    string
	at         time.Duration
	open       bool // it has no outcome yet
	mayHaveRun bool // set once it has ended
}

// auditedBackend is what the auditor knows about a backend.
type auditedBackend struct {
	balance.Backend
	unavailableSince time.Duration   // when the list said that it drains or is gone; 0: it is up
	started          time.Duration   // when it started, by the list; 0: it is warm
	sends            []time.Duration // when attempts were sent to it since its latest start by the list
}

func newAuditor(s balance.Settings) *auditor {
	return &auditor{settings: s, requests: map[string]*auditedRequest{}, backends: map[string]*auditedBackend{},
		loosestCold: coldLimits{share: s.ColdShare, multiple: s.FallMultiple, ramp: s.RampTime}}
}

// reconfigured records new settings, which apply to requests that come from now on.
func (a *auditor) reconfigured(s balance.Settings) {
	a.settings = s
	a.loosestCold = coldLimits{share: max(a.loosestCold.share, s.ColdShare), multiple: max(a.loosestCold.multiple, s.FallMultiple),
		ramp: min(a.loosestCold.ramp, s.RampTime)}
}

// fault records a broken rule.
func (a *auditor) fault(format string, args ...any) {
	a.faults = append(a.faults, fmt.Sprintf("at %v: ", a.now)+fmt.Sprintf(format, args...))
}

// event records an event that the Balancer gets in the current step.
func (a *auditor) event(e balance.Event) {
	switch e := e.(type) {
	case balance.Request:
		if e.Class >= 0 && e.Class < len(a.settings.Classes) && a.requests[e.ID] == nil {
			a.requests[e.ID] = &auditedRequest{class: a.settings.Classes[e.Class], deadline: a.now + e.TimeLeft,
				maxAttempts: max(1, a.settings.MaxAttempts), secondCopies: a.settings.SecondCopies}
		}
	case balance.Reconfigure:
		a.reconfigured(e.Settings)
	case balance.Outcome:
		r := a.requests[e.Request]
		if r == nil || e.Attempt < 0 || e.Attempt >= len(r.sends) || !r.sends[e.Attempt].open {
			return
		}
		r.sends[e.Attempt].open = false
		r.sends[e.Attempt].mayHaveRun = !e.Result.NeverRan()
		r.ended = r.ended || e.Done
	case balance.StreamStarted:
		if r := a.requests[e.Request]; r != nil {
			r.stream = true
		}
	case balance.Abandoned:
		if r := a.requests[e.Request]; r != nil && !r.ended {
			r.ended, r.leftAt = true, a.now
		}
	case balance.List:
		if e.Kind == balance.ListFailed {
			return
		}
		listed := map[string]bool{}
		for _, n := range e.Backends {
			listed[n.ID] = true
			b := a.backends[n.ID]
			if b == nil {
				b = &auditedBackend{}
				a.backends[n.ID] = b
			}
			if n.Started > b.Started {
				b.started, b.sends = n.Started, nil
			}
			if n.State == balance.Up {
				b.unavailableSince = 0
			} else if b.Backend.State == balance.Up || b.unavailableSince == 0 {
				b.unavailableSince = a.now
			}
			b.Backend = n
		}
		if e.Kind != balance.ListDelta {
			for id, b := range a.backends {
				if !listed[id] && b.unavailableSince == 0 {
					b.unavailableSince = a.now
					b.State = balance.Gone
				}
			}
		}
	}
}

// action checks an action of the Balancer against the rules and records it.
func (a *auditor) action(act balance.Action) {
	switch act := act.(type) {
	case balance.Send:
		a.send(act)
	case balance.Refuse:
		r := a.final(act.Request)
		if r == nil {
			return
		}
		for _, s := range r.sends {
			free := r.class.Effect == balance.Safe ||
				r.class.Effect == balance.Keyed && r.class.Group == balance.GroupAll
			if (s.mayHaveRun || s.open) && !free {
				a.fault("%s refused though an attempt may have run", act.Request)
			}
		}
	case balance.Fail:
		a.final(act.Request)
	case balance.SetTimer:
		if act.After < 0 {
			a.fault("a timer in the past: %v", act.After)
		}
	case balance.TellPeer:
		if !a.settings.Peers || len(act.Data) > 256 || act.To < balance.EveryPeer || act.To >= a.settings.Balancers || act.To == a.settings.Self {
			a.fault("%d bytes to peer %d", len(act.Data), act.To)
		}
	}
}

// final checks and records the final answer to a request. It returns the request, nil if it is unknown.
func (a *auditor) final(id string) *auditedRequest {
	r := a.requests[id]
	switch {
	case r == nil:
		a.fault("answer for the unknown request %s", id)
		return nil
	case r.ended && r.leftAt != a.now:
		a.fault("%s answered twice", id)
	case a.now > r.deadline+a.settings.AnswerGrace && !r.stream:
		a.fault("%s answered late", id)
	}
	r.ended, r.leftAt = true, 0
	return r
}

// send checks an attempt against the rules (open requests and listed backends only, number of attempts,
// repeats, draining and cold backends) and records it.
func (a *auditor) send(act balance.Send) {
	r, b := a.requests[act.Request], a.backends[act.Backend]
	if r == nil || b == nil {
		a.fault("send of %q to %q, one of which was never told", act.Request, act.Backend)
		return
	}
	if r.ended && r.leftAt != a.now {
		a.fault("%s sent after its end", act.Request)
	}
	if len(r.sends) >= r.maxAttempts {
		a.fault("%s sent past the attempt limit", act.Request)
	}
	if b.unavailableSince > 0 && a.now > b.unavailableSince+a.settings.DrainGrace {
		a.fault("%s sent to %s, told %v ago to drain or be gone", act.Request, act.Backend, a.now-b.unavailableSince)
	}
	var anchor *auditedSend
	for i := range r.sends {
		s := &r.sends[i]
		if s.open && !r.secondCopies {
			a.fault("%s has two attempts out", act.Request)
		}
		if anchor == nil && (s.open || s.mayHaveRun) {
			anchor = s
		}
	}
	if anchor != nil {
		from := a.backends[anchor.backend]
		switch {
		case r.class.Effect == balance.Unsafe:
			a.fault("%s is unsafe and may have run, sent again", act.Request)
		case r.class.Effect == balance.Keyed && a.now-anchor.at > r.class.Window:
			a.fault("%s sent again after its window", act.Request)
		case r.class.Effect == balance.Keyed && r.class.Group == balance.GroupZone && from.Zone != b.Zone,
			r.class.Effect == balance.Keyed && r.class.Group == balance.GroupCell && from.Cell != b.Cell:
			a.fault("%s sent again outside its group", act.Request)
		}
	}
	r.sends = append(r.sends, auditedSend{backend: act.Backend, at: a.now, open: true})
	b.sends = append(b.sends, a.now)
	a.checkCold(b)
}

// checkCold checks this agent's part of a cold backend's load. The capacity of backends is unknown; the
// attempts sent to the busiest warm one in the same time stand in for it. The warmth of the cold backend
// times FallMultiple times those, plus a slack of two attempts, bounds the attempts sent to the cold one.
func (a *auditor) checkCold(b *auditedBackend) {
	if b.started == 0 || a.now-b.started >= a.loosestCold.ramp || a.loosestCold.ramp == 0 {
		return
	}
	span := max(a.settings.FallWindow, 1)
	count := func(b *auditedBackend, span time.Duration) (n int) {
		for _, at := range b.sends {
			if a.now-at < span {
				n++
			}
		}
		return n
	}
	most, warm := 0, false
	for _, o := range a.backends {
		if o != b && (o.started == 0 || a.now-o.started >= a.loosestCold.ramp) {
			most = max(most, count(o, 3*span))
			warm = warm || o.State == balance.Up
		}
	}
	if !warm { // no warm backend to compare with: assume one core that needs a quarter of the aim for a request
		most = max(most, int(4*span/a.settings.Classes[0].Aim))
	}
	warmth := a.loosestCold.share + (1-a.loosestCold.share)*max(0, float64(a.now-b.started)/float64(a.loosestCold.ramp))
	if got := count(b, span); float64(got) > a.loosestCold.multiple*warmth*float64(most)+2 {
		a.fault("%s is cold (%v) and got %d sends in %v, the busiest warm one %d in three times that",
			b.ID, a.now-b.started, got, span, most)
	}
}

// checkAnswered checks that every request whose time has passed has its final answer.
func (a *auditor) checkAnswered() {
	for id, r := range a.requests {
		if !r.ended && !r.stream && a.now > r.deadline+a.settings.AnswerGrace {
			a.fault("%s got no answer in time", id)
			r.ended = true
		}
	}
}

// playRandomEvents plays random valid events in random order to a Balancer and audits its actions.
func playRandomEvents(t *testing.T, seed uint64, steps int) *auditor {
	t.Helper()
	return playRandomEventsWith(t, seed, steps, func(balance.Settings) []balance.Event { return nil }, func(balance.Action) {})
}

// playRandomEventsWith is playRandomEvents with further events at the beginning of each step, which further
// makes from the current settings. It passes each action of the Balancer to decided.
func playRandomEventsWith(t *testing.T, seed uint64, steps int, further func(balance.Settings) []balance.Event, decided func(balance.Action)) *auditor {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	s := settings()
	s.Balancers = 1 + rng.IntN(9)
	s.Self = rng.IntN(s.Balancers)
	s.Subscribe = rng.IntN(2) == 0
	s.SecondCopies = rng.IntN(2) == 0
	s.Peers = rng.IntN(2) == 0
	s.MaxAttempts = rng.IntN(6)
	s.Prices.CrossZone = float64(rng.IntN(2)) * 0.02
	if rng.IntN(4) == 0 {
		s.RampTime, s.FallWindow, s.AskWithin, s.Tick = 0, 0, 0, 0
	}
	s.Classes = s.Classes[:1+rng.IntN(len(s.Classes))]
	for i := range s.Classes {
		s.Classes[i].Window = time.Duration(rng.IntN(100)) * ms
	}
	b, err := balance.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	a := newAuditor(s)
	a.now = time.Hour
	type timer struct {
		at    time.Duration
		token int64
	}
	var timers []timer
	var open []balance.Outcome // attempts without an outcome
	due := map[string]time.Duration{}
	pool := backends(8)
	next := 0
	for range steps {
		a.now += time.Duration(rng.IntN(30)) * ms / 4
		var events []balance.Event
		keep := timers[:0]
		for _, tm := range timers {
			if tm.at <= a.now {
				events = append(events, balance.TimerFired{Token: tm.token})
			} else {
				keep = append(keep, tm)
			}
		}
		timers = keep
		for range rng.IntN(3) {
			next++
			id := fmt.Sprint("q", next)
			left := time.Duration(1+rng.IntN(1500)) * ms
			due[id] = a.now + left
			events = append(events, balance.Request{ID: id, Class: rng.IntN(len(s.Classes)), TimeLeft: left,
				Work: time.Duration(rng.IntN(3)*rng.IntN(200)) * ms, Repeat: rng.IntN(5) == 0})
		}
		// Every attempt ends when its request's time is over; some end earlier, with a random result.
		rest := open[:0]
		for _, o := range open {
			switch {
			case due[o.Request] <= a.now:
				o.Result = balance.TimedOut
			case rng.IntN(8) == 0:
				o.Result = balance.Result(rng.IntN(8))
			default:
				rest = append(rest, o)
				continue
			}
			o.Latency = time.Duration(rng.IntN(900)) * ms
			o.Done = o.Result == balance.OK || a.requests[o.Request].ended
			events = append(events, o)
			if rng.IntN(10) == 0 {
				events = append(events, o) // delivered twice
			}
		}
		open = rest
		switch rng.IntN(25) {
		case 0:
			n := &pool[rng.IntN(len(pool))]
			n.State = balance.BackendState(rng.IntN(3))
			if rng.IntN(2) == 0 {
				n.State, n.Started = balance.Up, a.now
			}
			events = append(events, balance.List{Kind: balance.ListDelta, Backends: []balance.Backend{*n}})
		case 1:
			var full []balance.Backend // possibly empty
			for _, n := range pool[:rng.IntN(len(pool)+1)] {
				n.State = balance.Up
				full = append(full, n)
			}
			events = append(events, balance.List{Kind: balance.ListKind(1 + rng.IntN(2)), Backends: full})
		case 2:
			events = append(events, balance.List{Kind: balance.ListFailed})
		case 3:
			if next > 0 {
				events = append(events, balance.Abandoned{Request: fmt.Sprint("q", 1+rng.IntN(next))})
			}
		case 4:
			events = append(events, balance.TimerFired{Token: rng.Int64N(1 << 20)},
				balance.Outcome{Request: fmt.Sprint("q", rng.IntN(next+2)), Attempt: rng.IntN(2)*99 - 1},
				balance.ProbeResult{Backend: "x"}, balance.PeerMessage{From: 70})
		case 5:
			events = append(events, balance.PeerMessage{From: rng.IntN(12) - 1,
				Data: binary.BigEndian.AppendUint64(nil, rng.Uint64())[:rng.IntN(9)]})
		}
		rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		events = append(further(a.settings), events...)
		for _, e := range events {
			a.event(e)
		}
		for _, act := range b.Step(a.now, events) {
			a.action(act)
			decided(act)
			switch act := act.(type) {
			case balance.SetTimer:
				timers = append(timers, timer{a.now + act.After, act.Token})
			case balance.Send:
				open = append(open, balance.Outcome{Request: act.Request, Backend: act.Backend,
					Attempt: len(a.requests[act.Request].sends) - 1})
			}
		}
		a.checkAnswered()
	}
	return a
}

func TestRulesUnderAnyOrder(t *testing.T) {
	for seed := uint64(1); seed <= 150; seed++ {
		a := playRandomEvents(t, seed, 600)
		if len(a.faults) > 0 {
			t.Fatalf("seed %d: %s", seed, strings.Join(a.faults[:min(3, len(a.faults))], "\n"))
		}
	}
}

func FuzzRulesUnderAnyOrder(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if a := playRandomEvents(t, seed, 400); len(a.faults) > 0 {
			t.Fatal(strings.Join(a.faults[:min(3, len(a.faults))], "\n"))
		}
	})
}

// Each check of the auditor must be able to fail: each of these sequences of events and actions breaks a rule.
func TestAuditorRejects(t *testing.T) {
	send := func(b string) balance.Action { return balance.Send{Request: "q", Backend: b} }
	ended := func(n int, res balance.Result) balance.Event {
		return balance.Outcome{Request: "q", Attempt: n, Result: res, Done: res == balance.OK}
	}
	refuse, fail := balance.Refuse{Request: "q"}, balance.Fail{Request: "q"}
	off := balance.List{Kind: balance.ListDelta, Backends: []balance.Backend{{ID: "a", State: balance.Draining}}}
	empty := balance.List{Kind: balance.ListFull}
	cold := balance.List{Kind: balance.ListDelta, Backends: []balance.Backend{{ID: "a", Started: time.Hour}}}
	sendAs := func(id, b string) balance.Action { return balance.Send{Request: id, Backend: b} }
	another := balance.Event(balance.Request{ID: "p", Class: safe, TimeLeft: 2000 * ms})
	allCold := balance.List{Kind: balance.ListFull, Backends: []balance.Backend{{ID: "a", Started: time.Hour}}}
	tests := []struct {
		name  string
		class int
		play  []any // events, actions, and durations by which the clock moves
		want  string
	}{
		{"no answer", safe, []any{2021 * ms}, "got no answer in time"},
		{"two answers", safe, []any{fail, fail}, "answered twice"},
		{"answer after being served", safe, []any{send("a"), ended(0, balance.OK), refuse}, "answered twice"},
		{"late answer", safe, []any{2020*ms + 1, fail}, "answered late"},
		{"send after the answer", safe, []any{fail, send("a")}, "sent after its end"},
		{"unknown backend", safe, []any{send("zz")}, "never told"},
		{"past the limit", safe, []any{send("a"), ended(0, balance.Errored), send("b"), ended(1, balance.Errored),
			send("a"), ended(2, balance.Errored), send("b"), ended(3, balance.Errored), send("a")}, "past the attempt limit"},
		{"second copy", safe, []any{send("a"), send("b")}, "two attempts out"},
		{"unsafe repeated", unsafe, []any{send("a"), ended(0, balance.TimedOut), send("b")}, "is unsafe"},
		{"unsafe refused", unsafe, []any{send("a"), ended(0, balance.Reset), refuse}, "refused though"},
		{"unsafe refused while out", unsafe, []any{send("a"), refuse}, "refused though"},
		{"zone refused", keyedZone, []any{send("a"), ended(0, balance.Errored), refuse}, "refused though"},
		{"outside the zone", keyedZone, []any{send("a"), ended(0, balance.Errored), send("c")}, "outside its group"},
		{"outside the cell", keyedCell, []any{send("a"), ended(0, balance.Errored), send("d")}, "outside its group"},
		{"after the window", keyedAll, []any{send("a"), 301 * ms, ended(0, balance.Errored), send("b")}, "after its window"},
		{"drained", safe, []any{off, 501 * ms, send("a")}, "drain or be gone"},
		{"gone from the list", safe, []any{empty, 501 * ms, send("b")}, "drain or be gone"},
		{"all cold", safe, []any{allCold, send("a"), ended(0, balance.Full), send("a"), ended(1, balance.Full),
			send("a"), ended(2, balance.Full), send("a"), another, sendAs("p", "a"), sendAs("p", "a"), sendAs("p", "a"), sendAs("p", "a")}, "is cold"},
		{"cold", safe, []any{cold, send("a"), ended(0, balance.Full), send("a"), ended(1, balance.Full),
			send("a")}, "is cold"},
		{"message where none is allowed", safe, []any{balance.TellPeer{Data: []byte{1}}}, "bytes to peer"},
		{"timer in the past", safe, []any{balance.SetTimer{After: -1}}, "timer in the past"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAuditor(settings())
			a.now = time.Hour
			a.event(balance.List{Kind: balance.ListFull, Backends: backends(4)})
			a.event(balance.Request{ID: "q", Class: tt.class, TimeLeft: 2000 * ms})
			for _, p := range tt.play {
				switch p := p.(type) {
				case time.Duration:
					a.now += p
				case balance.Event:
					a.event(p)
				case balance.Action:
					a.action(p)
				}
			}
			a.checkAnswered()
			if got := strings.Join(a.faults, "; "); !strings.Contains(got, tt.want) {
				t.Errorf("faults %q, want one with %q", got, tt.want)
			}
		})
	}
}

// A request for one backend only goes to no other, also for a retry, and is refused at once if that backend
// is not up.
func TestRequestForOneBackend(t *testing.T) {
	list := backends(4)
	list[3].State = balance.Draining
	retried := 0
	for i := range 40 {
		r := newRig(t, settings(), uint64(i), list)
		id := fmt.Sprint("q", i)
		r.step(balance.Request{ID: id, Class: safe, TimeLeft: 2000 * ms, OnlyBackend: "b"})
		r.endAttempt(id, balance.Errored, 10*ms)
		r.advance(1000 * ms)
		if len(r.sent[id]) > 1 {
			retried++
			r.endAttempt(id, balance.OK, 20*ms)
		}
		for _, to := range r.sent[id] {
			if to != "b" {
				t.Fatalf("%s: sent to %v", id, r.sent[id])
			}
		}
	}
	if retried < 20 {
		t.Errorf("%d of 40 got another attempt", retried)
	}
	r := newRig(t, settings(), 1, list)
	for _, missing := range []string{"d", "unknown"} { // one that drains and one that is not listed
		if end := final(missing, r.step(balance.Request{ID: missing, Class: safe, TimeLeft: 2000 * ms, OnlyBackend: missing})); end != "refuse" {
			t.Errorf("request for %s only: %q", missing, end)
		}
	}
}
