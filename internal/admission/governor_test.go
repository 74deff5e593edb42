package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// smallConfig returns limits that a test reaches with a few connections: four connections, two refusals, two bodies.
func smallConfig() Config {
	return Config{MaxConnections: 4, MaxRefusals: 2, MaxBodyReads: 2, MaxBodyBytes: 100, NewGrace: 50 * ms, StallTimeout: 500 * ms,
		MinIdle: 2000 * ms, AdmitTimeout: 250 * ms}
}

const ms = time.Millisecond

// governorHarness is a Governor with a clock that the test advances, and connections by name.
type governorHarness struct {
	t        testing.TB
	governor *Governor
	now      time.Duration     // the Governor's clock
	entries  map[string]*Entry // connections opened, by name
}

func newGovernorHarness(t testing.TB, cfg Config) *governorHarness {
	g, err := NewGovernor(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return &governorHarness{t: t, governor: g, entries: map[string]*Entry{}}
}

// open opens connections and brings each into the state that the prefix of its name gives: new, head, body, hand (for
// StateProcessing) or idle.
func (b *governorHarness) open(names ...string) {
	for _, name := range names {
		e := b.governor.Open(b.now, name)
		b.entries[name] = e
		kind, _, _ := strings.Cut(name, "-")
		if kind != "new" {
			b.governor.BytesArrived(e, b.now)
		}
		if kind == "body" || kind == "hand" || kind == "idle" {
			b.governor.HeadRead(e, b.now)
		}
		if kind == "hand" || kind == "idle" {
			b.governor.RequestRead(e, b.now)
		}
		if kind == "idle" {
			b.governor.BeginAnswer(e, b.now)
			b.governor.EndAnswer(e, b.now)
		}
	}
}

// closeRequests returns the names of the connections that a decision asks to close, in their order.
func (b *governorHarness) closeRequests(v Decision) string {
	var names []string
	for _, e := range v.RequestClose {
		names = append(names, e.Tag.(string))
	}
	return strings.Join(names, " ")
}

// Tests which connections are evicted, in which order, and what happens to the new one when none may be.
func TestEvictionOrder(t *testing.T) {
	for _, tt := range []struct {
		name       string
		held       string
		elapsed    time.Duration
		wantClose  string
		wantWait   time.Duration
		wantRefuse bool
	}{
		{"below the limit none", "new-1 new-2 idle-1", time.Hour, "", 0, false},
		{"one that sent nothing first", "idle-1 head-1 new-1 new-2", 3000 * ms, "new-1", 0, false},
		{"none that was just accepted", "hand-1 hand-2 hand-3 new-1", 49 * ms, "", 1 * ms, false},
		{"then one with a stalled head", "idle-1 hand-1 body-1 head-1", 3000 * ms, "head-1", 0, false},
		{"none whose head still arrives", "hand-1 hand-2 hand-3 head-1", 499 * ms, "", 1 * ms, false},
		{"then the longest idle beyond the minimum", "idle-1 idle-2 hand-1 hand-2", 2000 * ms, "idle-1", 0, false},
		{"none idle for less than the minimum", "idle-1 idle-2 hand-1 hand-2", 1900 * ms, "", 100 * ms, false},
		{"none with a body or a request in progress", "hand-1 hand-2 body-1 body-2", time.Hour, "", 250 * ms, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newGovernorHarness(t, smallConfig())
			b.open(strings.Fields(tt.held)...)
			b.now += tt.elapsed
			v := b.governor.Decide(b.now)
			if len(b.entries) < 4 {
				if !v.Admit {
					t.Errorf("not admitted: %+v", v)
				}
				return
			}
			if got := b.closeRequests(v); got != tt.wantClose || v.Admit || v.Refuse != tt.wantRefuse {
				t.Errorf("asked %q, want %q; %+v", got, tt.wantClose, v)
			}
			if tt.wantWait > 0 && v.Wait != tt.wantWait {
				t.Errorf("waits %v, want %v", v.Wait, tt.wantWait)
			}
		})
	}
}

// A new connection waits for AdmitTimeout and is then refused; later ones are refused at once, up to
// MaxRefusals at a time; accepting continues as soon as a connection has closed.
func TestRefusalAfterWait(t *testing.T) {
	b := newGovernorHarness(t, smallConfig())
	b.open("hand-1", "hand-2", "hand-3", "hand-4")
	if v := b.governor.Decide(b.now); v.Admit || v.Refuse || v.Wait != 250*ms {
		t.Fatalf("got %+v", v)
	}
	b.now += 250 * ms
	for range 2 {
		if v := b.governor.Decide(b.now); !v.Refuse {
			t.Fatalf("got %+v", v)
		}
		b.governor.BeginRefusal()
	}
	if v := b.governor.Decide(b.now); v.Refuse || v.Admit {
		t.Errorf("a third connection is being refused at the same time: %+v", v)
	}
	b.governor.EndRefusal()
	if v := b.governor.Decide(b.now); !v.Refuse {
		t.Errorf("got %+v", v)
	}
	b.governor.DescriptorFreed(b.entries["hand-2"], b.now)
	if v := b.governor.Decide(b.now); !v.Admit {
		t.Errorf("got %+v", v)
	}
	b.open("hand-5")
	if v := b.governor.Decide(b.now); v.Refuse || v.Wait != 250*ms {
		t.Errorf("the next connection does not wait for the full time again: %+v", v)
	}
}

// A connection that receives bytes after its close was requested stays open, and another is asked instead.
func TestBytesCancelCloseRequest(t *testing.T) {
	b := newGovernorHarness(t, smallConfig())
	b.open("new-1", "new-2", "hand-1", "hand-2")
	b.now += time.Second
	if got := b.closeRequests(b.governor.Decide(b.now)); got != "new-1" {
		t.Fatalf("asked %q", got)
	}
	if got := b.closeRequests(b.governor.Decide(b.now)); got != "" {
		t.Errorf("requested the close of %q although one is pending", got)
	}
	b.governor.BytesArrived(b.entries["new-1"], b.now)
	if b.governor.ConfirmClose(b.entries["new-1"], b.now) {
		t.Error("a connection with a request is closed")
	}
	if got := b.closeRequests(b.governor.Decide(b.now)); got != "new-2" {
		t.Errorf("asked %q", got)
	}
	if !b.governor.ConfirmClose(b.entries["new-2"], b.now) || b.entries["new-2"].State() != StateClosing {
		t.Error("the connection is not closed")
	}
	if v := b.governor.Decide(b.now); v.Admit || len(v.RequestClose) > 0 {
		t.Errorf("admitted, or another close requested, before the descriptor was freed: %+v", v)
	}
	b.governor.DescriptorFreed(b.entries["new-2"], b.now)
	if !b.governor.Decide(b.now).Admit {
		t.Error("not admitted")
	}
}

// A connection that received its next request before the answer to the previous one is not idle.
func TestPipelinedBytesStartHead(t *testing.T) {
	b := newGovernorHarness(t, smallConfig())
	b.open("hand-1")
	e := b.entries["hand-1"]
	b.governor.BytesArrived(e, b.now)
	b.governor.BeginAnswer(e, b.now)
	b.governor.EndAnswer(e, b.now)
	if e.State() != StateHead || e.Served() != 1 {
		t.Errorf("state %v after %d answers", e.State(), e.Served())
	}
}

// Answers end connections while too many are idle, while a new connection waits, and during a planned stop.
func TestAnswersThatCloseConnections(t *testing.T) {
	b := newGovernorHarness(t, smallConfig())
	b.open("idle-1", "hand-1")
	if b.governor.BeginAnswer(b.entries["hand-1"], b.now) {
		t.Error("kept alive although a quarter is idle and half is in use")
	}
	b.governor.DescriptorFreed(b.entries["hand-1"], b.now)
	b.governor.DescriptorFreed(b.entries["idle-1"], b.now)
	b.open("hand-2", "hand-3", "hand-4", "hand-5")
	if !b.governor.BeginAnswer(b.entries["hand-2"], b.now) {
		t.Error("not kept alive although none is idle")
	}
	b.governor.Decide(b.now)
	if b.governor.BeginAnswer(b.entries["hand-3"], b.now) {
		t.Error("kept alive while a new connection waits")
	}
	b.governor.DescriptorFreed(b.entries["hand-3"], b.now)
	if !b.governor.BeginAnswer(b.entries["hand-4"], b.now) {
		t.Error("not kept alive although there is room again")
	}
	b.governor.Drain(b.now)
	if b.governor.BeginAnswer(b.entries["hand-5"], b.now) {
		t.Error("kept alive during a planned stop")
	}
	if !b.governor.EndAnswer(b.entries["hand-4"], b.now) || !b.entries["hand-4"].CloseRequested() {
		t.Error("no close requested for a connection that was to be kept alive")
	}
}

// A planned stop first closes idle connections, and closes those that sent nothing only once accepting has
// ended.
func TestDrainRequestsClose(t *testing.T) {
	b := newGovernorHarness(t, smallConfig())
	b.open("new-1", "idle-1", "hand-1", "head-1")
	if got := b.closeRequests(Decision{RequestClose: b.governor.Drain(b.now)}); got != "idle-1" {
		t.Errorf("asked %q", got)
	}
	ask, wait := b.governor.Finish(b.now)
	if got := b.closeRequests(Decision{RequestClose: ask}); got != "new-1" || wait != 0 {
		t.Errorf("asked %q, wait %v", got, wait)
	}
}

// The last phase of a planned stop spares connections that were just accepted: a close would race with their
// request.
func TestFinishSparesNewConnections(t *testing.T) {
	cfg := smallConfig()
	cfg.DrainGrace = 300 * ms
	b := newGovernorHarness(t, cfg)
	b.open("new-1")
	b.now += 200 * ms
	b.open("new-2", "idle-1", "head-1")
	for _, step := range []struct {
		after     time.Duration
		wantClose string
		wantWait  time.Duration
	}{{0, "idle-1", 300 * ms}, {100 * ms, "new-1", 200 * ms}, {199 * ms, "", ms}, {ms, "new-2", 0}, {time.Second, "", 0}} {
		b.now += step.after
		ask, wait := b.governor.Finish(b.now)
		if got := b.closeRequests(Decision{RequestClose: ask}); got != step.wantClose || wait != step.wantWait {
			t.Errorf("at %v asked %q, wait %v; want %q, %v", b.now, got, wait, step.wantClose, step.wantWait)
		}
	}
}

func TestBodyReservationLimits(t *testing.T) {
	b := newGovernorHarness(t, smallConfig())
	b.open("body-1", "body-2")
	for _, tt := range []struct {
		who   string
		bytes int
		ok    bool
	}{{"body-1", 60, true}, {"body-2", 41, false}, {"body-2", 40, true}} {
		if ok := b.governor.Reserve(b.entries[tt.who], tt.bytes); ok != tt.ok {
			t.Errorf("%s, %d bytes: %v", tt.who, tt.bytes, ok)
		}
	}
	b.governor.DescriptorFreed(b.entries["body-1"], b.now)
	b.open("body-3", "body-4")
	if b.governor.Reserve(b.entries["body-4"], 1) {
		t.Error("a third body is read at the same time")
	}
	if n := b.governor.Counts().ReservedBytes; n != 40 {
		t.Errorf("%d bytes are reserved", n)
	}
}

func TestInvalidConfig(t *testing.T) {
	for field, cfg := range map[string]Config{"MaxConnections": {MaxConnections: -1, MaxRefusals: 1}, "MaxRefusals": {},
		"StallTimeout": {MaxRefusals: 1, StallTimeout: -1}} {
		if _, err := NewGovernor(cfg); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got %v", field, err)
		}
	}
	if cfg := DefaultConfig(0, 0); cfg.MaxConnections != 0 || cfg.check() != nil {
		t.Errorf("no limits make %+v", cfg)
	}
}

// In any order of events no connection with a body or a request in progress is selected or evicted, counts stay
// consistent, and either the limit holds or accepting is paused.
func TestGovernorInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := smallConfig()
		cfg.MaxConnections = rapid.IntRange(1, 6).Draw(t, "most")
		g, err := NewGovernor(cfg)
		if err != nil {
			t.Fatal(err)
		}
		var now time.Duration
		var held []*Entry
		refusing, opened, gone := 0, 0, 0
		check := func() {
			c := g.Counts()
			sum, asked, bytes := 0, 0, 0
			by := [stateCount]int{}
			for _, e := range held {
				by[e.state]++
				if e.closeRequested {
					asked++
					if e.state != StateNew && e.state != StateHead && e.state != StateIdle {
						t.Fatalf("a close is requested in state %v", e.state)
					}
				}
				bytes += e.reservedBytes
				if e.reservedBytes > 0 && e.state != StateBody && e.state != StateProcessing && e.state != StateAnswering {
					t.Fatalf("%d bytes stay reserved in state %v", e.reservedBytes, e.state)
				}
			}
			for s := range stateCount {
				sum += c.ByState[s]
				if c.ByState[s] != by[s] || g.lists[s].Len() != by[s] {
					t.Fatalf("%d connections are counted as %v, want %d", c.ByState[s], s, by[s])
				}
			}
			if c.Held != len(held) || sum != c.Held || c.CloseRequested != asked || c.ReservedBytes != bytes || c.ReservedBytes > cfg.MaxBodyBytes ||
				c.Refusing != refusing || c.Refusing > cfg.MaxRefusals || int(c.Accepted) != opened || opened-gone != c.Held {
				t.Fatalf("inconsistent counts: %+v with %d held, %d asked to close, %d bytes", c, len(held), asked, bytes)
			}
			if c.Held > cfg.MaxConnections {
				t.Fatalf("%d held, the limit is %d", c.Held, cfg.MaxConnections)
			}
		}
		drawEntry := func(t *rapid.T, s ...State) *Entry {
			var fit []*Entry
			for _, e := range held {
				for _, want := range s {
					if e.state == want {
						fit = append(fit, e)
					}
				}
			}
			if len(fit) == 0 {
				t.Skip("none")
			}
			return fit[rapid.IntRange(0, len(fit)-1).Draw(t, "which")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * ms
			},
			"newcomer": func(*rapid.T) {
				room := len(held) < cfg.MaxConnections
				v := g.Decide(now)
				if v.Admit != room {
					t.Fatalf("%d held of %d: %+v", len(held), cfg.MaxConnections, v)
				}
				for _, e := range v.RequestClose {
					minAge := map[State]time.Duration{StateNew: cfg.NewGrace, StateHead: cfg.StallTimeout, StateIdle: cfg.MinIdle}[e.state]
					if now-e.since < minAge || minAge == 0 {
						t.Fatalf("close requested in state %v since %v, at %v", e.state, e.since, now)
					}
				}
				switch {
				case v.Admit:
					held = append(held, g.Open(now, opened))
					opened++
				case v.Refuse:
					g.BeginRefusal()
					refusing++
				case v.Wait <= 0:
					t.Fatalf("no time to wait: %+v", v)
				}
			},
			"turned": func(t *rapid.T) {
				if refusing == 0 {
					t.Skip("none")
				}
				g.EndRefusal()
				refusing--
			},
			"shed":   func(*rapid.T) { g.RequestCloseOne(now) },
			"drain":  func(*rapid.T) { g.Drain(now) },
			"finish": func(*rapid.T) { g.Finish(now) },
			"bytes": func(t *rapid.T) {
				g.BytesArrived(drawEntry(t, StateNew, StateHead, StateIdle, StateProcessing, StateAnswering), now)
			},
			"head": func(t *rapid.T) { g.HeadRead(drawEntry(t, StateNew, StateHead, StateIdle, StateBody), now) },
			"reserve": func(t *rapid.T) {
				g.Reserve(drawEntry(t, StateBody, StateProcessing, StateNew), rapid.IntRange(0, 120).Draw(t, "bytes"))
			},
			"taken":    func(t *rapid.T) { g.RequestRead(drawEntry(t, StateBody, StateProcessing), now) },
			"answer":   func(t *rapid.T) { g.BeginAnswer(drawEntry(t, StateBody, StateProcessing), now) },
			"answered": func(t *rapid.T) { g.EndAnswer(drawEntry(t, StateAnswering), now) },
			"yield": func(t *rapid.T) {
				e := drawEntry(t, StateNew, StateHead, StateBody, StateProcessing, StateAnswering, StateIdle)
				was, asked := e.state, e.closeRequested
				if g.ConfirmClose(e, now) != asked || asked && was != StateNew && was != StateHead && was != StateIdle {
					t.Fatalf("closed in state %v (close requested: %v)", was, asked)
				}
			},
			"close": func(t *rapid.T) {
				g.Close(drawEntry(t, StateNew, StateHead, StateBody, StateProcessing, StateAnswering, StateIdle, StateClosing), now)
			},
			"gone": func(t *rapid.T) {
				e := drawEntry(t, StateNew, StateHead, StateBody, StateProcessing, StateAnswering, StateIdle, StateClosing)
				g.DescriptorFreed(e, now)
				g.DescriptorFreed(e, now)
				for i := range held {
					if held[i] == e {
						held = append(held[:i], held[i+1:]...)
						break
					}
				}
				gone++
			},
		})
	})
}

func TestStateNames(t *testing.T) {
	if got := fmt.Sprint(StateNew, StateProcessing, State(9)); got != "new in hand State(9)" {
		t.Errorf("got %q", got)
	}
}

// A connection without a complete head counts as one descriptor, one with a request as two, so more of the
// former fit.
func TestDescriptorLimit(t *testing.T) {
	g, err := NewGovernor(Config{MaxConnections: 15, MaxDescriptors: 20, MaxRefusals: 1, AdmitTimeout: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	open := func(inHand int) (n int) {
		for g.Decide(0).Admit {
			e := g.Open(0, nil)
			if n < inHand {
				g.BytesArrived(e, 0)
				g.HeadRead(e, 0)
				g.RequestRead(e, 0)
			}
			n++
		}
		return n
	}
	if n := open(0); n != 15 {
		t.Errorf("%d new connections", n)
	}
	g, _ = NewGovernor(Config{MaxConnections: 15, MaxDescriptors: 20, MaxRefusals: 1, AdmitTimeout: time.Hour})
	if n := open(15); n != 9 { // 18 descriptors, and two for a refused connection
		t.Errorf("%d requests in progress", n)
	}
}

// No connection is kept alive while new ones have to wait, nor for PressureTime afterwards.
func TestNoKeepAliveUnderPressure(t *testing.T) {
	g, err := NewGovernor(Config{MaxConnections: 2, MaxRefusals: 1, AdmitTimeout: time.Hour, PressureTime: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	a, b := g.Open(0, nil), g.Open(0, nil)
	exchange := func(e *Entry, now time.Duration) bool {
		g.BytesArrived(e, now)
		g.HeadRead(e, now)
		g.RequestRead(e, now)
		keep := g.BeginAnswer(e, now)
		g.EndAnswer(e, now)
		return keep
	}
	if !exchange(a, 0) {
		t.Error("not kept alive although no connection waits")
	}
	g.Decide(time.Second)
	g.Close(b, time.Second)
	g.DescriptorFreed(b, time.Second)
	for now, want := range map[time.Duration]bool{1500 * time.Millisecond: false, 2 * time.Second: true} {
		if got := exchange(a, now); got != want {
			t.Errorf("at %v: kept alive %v", now, got)
		}
	}
}

// Extra reservations leave half of the bytes to others, and a body shorter than its reservation releases the
// rest.
func TestReserveExtraLeavesHalf(t *testing.T) {
	g, err := NewGovernor(Config{MaxConnections: 10, MaxRefusals: 1, MaxBodyBytes: 100, AdmitTimeout: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	var e [4]*Entry
	for i := range e {
		e[i] = g.Open(0, nil)
		g.HeadRead(e[i], 0)
	}
	for i, step := range []struct {
		do   func(*Entry, int) bool
		who  int
		n    int
		want bool
	}{{g.Reserve, 0, 10, true}, {g.ReserveExtra, 0, 41, false}, {g.ReserveExtra, 0, 40, true}, {g.ReserveExtra, 1, 1, false}, {g.Reserve, 1, 50, true},
		{g.Reserve, 2, 1, false}} {
		if got := step.do(e[step.who], step.n); got != step.want {
			t.Errorf("step %d: %v", i, got)
		}
	}
	g.ShrinkReservation(e[1], 5)
	g.ShrinkReservation(e[1], 50)
	if !g.Reserve(e[2], 45) || g.Reserve(e[3], 1) || g.Counts().ReservedBytes != 100 {
		t.Errorf("%d bytes held", g.Counts().ReservedBytes)
	}
}
