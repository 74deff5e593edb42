package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func small() Config {
	return Config{Most: 4, Spare: 2, Reading: 2, Bytes: 100, Fresh: 50 * ms, Stall: 500 * ms,
		Granted: 2000 * ms, Patience: 250 * ms}
}

const ms = time.Millisecond

// bench is a Governor with a clock that the test moves, and connections by name.
type bench struct {
	t   testing.TB
	g   *Governor
	now time.Duration
	by  map[string]*Entry
}

func newBench(t testing.TB, cfg Config) *bench {
	g, err := NewGovernor(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return &bench{t: t, g: g, by: map[string]*Entry{}}
}

// come opens connections and brings each into the state that its name's prefix tells.
func (b *bench) come(names ...string) {
	for _, name := range names {
		e := b.g.Open(b.now, name)
		b.by[name] = e
		kind, _, _ := strings.Cut(name, "-")
		if kind != "new" {
			b.g.Arrived(e, b.now)
		}
		if kind == "body" || kind == "hand" || kind == "idle" {
			b.g.HeadWhole(e, b.now)
		}
		if kind == "hand" || kind == "idle" {
			b.g.Taken(e, b.now)
		}
		if kind == "idle" {
			b.g.Answer(e, b.now)
			b.g.Answered(e, b.now)
		}
	}
}

func (b *bench) asked(v Verdict) string {
	var names []string
	for _, e := range v.Ask {
		names = append(names, e.Tag.(string))
	}
	return strings.Join(names, " ")
}

// Who gives way, in which order, and what becomes of the newcomer when nobody may.
func TestWhoGivesWay(t *testing.T) {
	for _, tt := range []struct {
		name  string
		held  string
		after time.Duration
		ask   string
		wait  time.Duration
		turn  bool
	}{
		{"below the cap nobody", "new-1 new-2 idle-1", time.Hour, "", 0, false},
		{"one that never asked first", "idle-1 head-1 new-1 new-2", 3000 * ms, "new-1", 0, false},
		{"a fresh one is left alone", "hand-1 hand-2 hand-3 new-1", 49 * ms, "", 1 * ms, false},
		{"then one that does not go on", "idle-1 hand-1 body-1 head-1", 3000 * ms, "head-1", 0, false},
		{"one that still goes on is left alone", "hand-1 hand-2 hand-3 head-1", 499 * ms, "", 1 * ms, false},
		{"then the longest idle past what it is granted", "idle-1 idle-2 hand-1 hand-2", 2000 * ms, "idle-1", 0, false},
		{"idle ones keep what they are granted", "idle-1 idle-2 hand-1 hand-2", 1900 * ms, "", 100 * ms, false},
		{"never one with a request arriving or in hand", "hand-1 hand-2 body-1 body-2", time.Hour, "", 250 * ms, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, small())
			b.come(strings.Fields(tt.held)...)
			b.now += tt.after
			v := b.g.Newcomer(b.now)
			if len(b.by) < 4 {
				if !v.Admit {
					t.Errorf("not admitted: %+v", v)
				}
				return
			}
			if got := b.asked(v); got != tt.ask || v.Admit || v.TurnAway != tt.turn {
				t.Errorf("asked %q, want %q; %+v", got, tt.ask, v)
			}
			if tt.wait > 0 && v.Wait != tt.wait {
				t.Errorf("waits %v, want %v", v.Wait, tt.wait)
			}
		})
	}
}

// A newcomer waits for so long, then is turned away; those behind it at once, a bounded number at
// a time; and accepting goes on as soon as one has closed.
func TestNewcomersAreTurnedAway(t *testing.T) {
	b := newBench(t, small())
	b.come("hand-1", "hand-2", "hand-3", "hand-4")
	if v := b.g.Newcomer(b.now); v.Admit || v.TurnAway || v.Wait != 250*ms {
		t.Fatalf("got %+v", v)
	}
	b.now += 250 * ms
	for range 2 {
		if v := b.g.Newcomer(b.now); !v.TurnAway {
			t.Fatalf("got %+v", v)
		}
		b.g.Turn()
	}
	if v := b.g.Newcomer(b.now); v.TurnAway || v.Admit {
		t.Errorf("a third is turned away at a time: %+v", v)
	}
	b.g.Turned()
	if v := b.g.Newcomer(b.now); !v.TurnAway {
		t.Errorf("got %+v", v)
	}
	b.g.Gone(b.by["hand-2"], b.now)
	if v := b.g.Newcomer(b.now); !v.Admit {
		t.Errorf("got %+v", v)
	}
	b.come("hand-5")
	if v := b.g.Newcomer(b.now); v.TurnAway || v.Wait != 250*ms {
		t.Errorf("the next one does not wait anew: %+v", v)
	}
}

// One that was asked and then sends something stays, and another is asked in its place.
func TestAskedAndThenBytes(t *testing.T) {
	b := newBench(t, small())
	b.come("new-1", "new-2", "hand-1", "hand-2")
	b.now += time.Second
	if got := b.asked(b.g.Newcomer(b.now)); got != "new-1" {
		t.Fatalf("asked %q", got)
	}
	if got := b.asked(b.g.Newcomer(b.now)); got != "" {
		t.Errorf("asked %q though one is on its way", got)
	}
	b.g.Arrived(b.by["new-1"], b.now)
	if b.g.Yield(b.by["new-1"], b.now) {
		t.Error("it gives way with a request on it")
	}
	if got := b.asked(b.g.Newcomer(b.now)); got != "new-2" {
		t.Errorf("asked %q", got)
	}
	if !b.g.Yield(b.by["new-2"], b.now) || b.by["new-2"].State() != Closing {
		t.Error("it does not give way")
	}
	if v := b.g.Newcomer(b.now); v.Admit || len(v.Ask) > 0 {
		t.Errorf("its descriptor is still held: %+v", v)
	}
	b.g.Gone(b.by["new-2"], b.now)
	if !b.g.Newcomer(b.now).Admit {
		t.Error("not admitted")
	}
}

// A request that came before the answer to the one before it is no idle connection.
func TestBytesThatCameEarly(t *testing.T) {
	b := newBench(t, small())
	b.come("hand-1")
	e := b.by["hand-1"]
	b.g.Arrived(e, b.now)
	b.g.Answer(e, b.now)
	b.g.Answered(e, b.now)
	if e.State() != Head || e.Served() != 1 {
		t.Errorf("it is %v after %d answers", e.State(), e.Served())
	}
}

// Answers end connections while too many are idle, while a newcomer waits, and at a planned stop.
func TestAnswersThatEndConnections(t *testing.T) {
	b := newBench(t, small())
	b.come("idle-1", "hand-1")
	if b.g.Answer(b.by["hand-1"], b.now) {
		t.Error("kept while a quarter is idle and half is held")
	}
	b.g.Gone(b.by["hand-1"], b.now)
	b.g.Gone(b.by["idle-1"], b.now)
	b.come("hand-2", "hand-3", "hand-4", "hand-5")
	if !b.g.Answer(b.by["hand-2"], b.now) {
		t.Error("not kept though none is idle")
	}
	b.g.Newcomer(b.now)
	if b.g.Answer(b.by["hand-3"], b.now) {
		t.Error("kept while a newcomer waits")
	}
	b.g.Gone(b.by["hand-3"], b.now)
	if !b.g.Answer(b.by["hand-4"], b.now) {
		t.Error("not kept when there is room again")
	}
	b.g.Drain(b.now)
	if b.g.Answer(b.by["hand-5"], b.now) {
		t.Error("kept at a planned stop")
	}
	if !b.g.Answered(b.by["hand-4"], b.now) || !b.by["hand-4"].Asked() {
		t.Error("one that was to be kept is not asked to go")
	}
}

// A planned stop first asks the idle ones, and those that say nothing only when nothing new is
// accepted any longer.
func TestPlannedStopAsks(t *testing.T) {
	b := newBench(t, small())
	b.come("new-1", "idle-1", "hand-1", "head-1")
	if got := b.asked(Verdict{Ask: b.g.Drain(b.now)}); got != "idle-1" {
		t.Errorf("asked %q", got)
	}
	ask, wait := b.g.Finish(b.now)
	if got := b.asked(Verdict{Ask: ask}); got != "new-1" || wait != 0 {
		t.Errorf("asked %q, wait %v", got, wait)
	}
}

// The last phase of a planned stop leaves those alone that came a moment ago: a close would cross their request.
func TestPlannedStopLetsNewcomersSpeak(t *testing.T) {
	cfg := small()
	cfg.Settle = 300 * ms
	b := newBench(t, cfg)
	b.come("new-1")
	b.now += 200 * ms
	b.come("new-2", "idle-1", "head-1")
	for _, step := range []struct {
		after time.Duration
		asked string
		wait  time.Duration
	}{{0, "idle-1", 300 * ms}, {100 * ms, "new-1", 200 * ms}, {199 * ms, "", ms}, {ms, "new-2", 0}, {time.Second, "", 0}} {
		b.now += step.after
		ask, wait := b.g.Finish(b.now)
		if got := b.asked(Verdict{Ask: ask}); got != step.asked || wait != step.wait {
			t.Errorf("at %v asked %q, wait %v; want %q, %v", b.now, got, wait, step.asked, step.wait)
		}
	}
}

func TestBodiesAreBounded(t *testing.T) {
	b := newBench(t, small())
	b.come("body-1", "body-2")
	for _, tt := range []struct {
		who   string
		bytes int
		ok    bool
	}{{"body-1", 60, true}, {"body-2", 41, false}, {"body-2", 40, true}} {
		if ok := b.g.Reserve(b.by[tt.who], tt.bytes); ok != tt.ok {
			t.Errorf("%s, %d bytes: %v", tt.who, tt.bytes, ok)
		}
	}
	b.g.Gone(b.by["body-1"], b.now)
	b.come("body-3", "body-4")
	if b.g.Reserve(b.by["body-4"], 1) {
		t.Error("a third body is read at a time")
	}
	if n := b.g.Counts().Bytes; n != 40 {
		t.Errorf("%d bytes are reserved", n)
	}
}

func TestSettingsThatMakeNoSense(t *testing.T) {
	for field, cfg := range map[string]Config{"Most": {Most: -1, Spare: 1}, "Spare": {}, "Stall": {Spare: 1, Stall: -1}} {
		if _, err := NewGovernor(cfg); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got %v", field, err)
		}
	}
	if cfg := DefaultConfig(0, 0); cfg.Most != 0 || cfg.check() != nil {
		t.Errorf("no limits make %+v", cfg)
	}
}

// Over any order of events: nobody who has a request arriving past its head or in hand is picked
// or gives way, counts never leak, and the cap holds or accepting is paused.
func TestGovernorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := small()
		cfg.Most = rapid.IntRange(1, 6).Draw(t, "most")
		g, err := NewGovernor(cfg)
		if err != nil {
			t.Fatal(err)
		}
		var now time.Duration
		var held []*Entry
		turning, opened, gone := 0, 0, 0
		check := func() {
			c := g.Counts()
			sum, asked, bytes := 0, 0, 0
			by := [states]int{}
			for _, e := range held {
				by[e.state]++
				if e.asked {
					asked++
					if e.state != New && e.state != Head && e.state != Idle {
						t.Fatalf("one that is %v has been asked to give way", e.state)
					}
				}
				bytes += e.bytes
				if e.bytes > 0 && e.state != Body && e.state != InHand && e.state != Answering {
					t.Fatalf("%d bytes stay reserved: %v", e.bytes, e.state)
				}
			}
			for s := range states {
				sum += c.By[s]
				if c.By[s] != by[s] || g.lists[s].Len() != by[s] {
					t.Fatalf("%d are counted as %v, %d are", c.By[s], s, by[s])
				}
			}
			if c.Held != len(held) || sum != c.Held || c.Asked != asked || c.Bytes != bytes || c.Bytes > cfg.Bytes ||
				c.TurnedNow != turning || c.TurnedNow > cfg.Spare || int(c.Accepted) != opened || opened-gone != c.Held {
				t.Fatalf("counts leak: %+v with %d held, %d asked, %d bytes", c, len(held), asked, bytes)
			}
			if c.Held > cfg.Most {
				t.Fatalf("%d held, the cap is %d", c.Held, cfg.Most)
			}
		}
		one := func(t *rapid.T, s ...State) *Entry {
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
				room := len(held) < cfg.Most
				v := g.Newcomer(now)
				if v.Admit != room {
					t.Fatalf("%d held of %d: %+v", len(held), cfg.Most, v)
				}
				for _, e := range v.Ask {
					rest := map[State]time.Duration{New: cfg.Fresh, Head: cfg.Stall, Idle: cfg.Granted}[e.state]
					if now-e.since < rest || rest == 0 {
						t.Fatalf("one that is %v since %v is asked at %v", e.state, e.since, now)
					}
				}
				switch {
				case v.Admit:
					held = append(held, g.Open(now, opened))
					opened++
				case v.TurnAway:
					g.Turn()
					turning++
				case v.Wait <= 0:
					t.Fatalf("waits for nothing: %+v", v)
				}
			},
			"turned": func(t *rapid.T) {
				if turning == 0 {
					t.Skip("none")
				}
				g.Turned()
				turning--
			},
			"shed":   func(*rapid.T) { g.Shed(now) },
			"drain":  func(*rapid.T) { g.Drain(now) },
			"finish": func(*rapid.T) { g.Finish(now) },
			"bytes":  func(t *rapid.T) { g.Arrived(one(t, New, Head, Idle, InHand, Answering), now) },
			"head":   func(t *rapid.T) { g.HeadWhole(one(t, New, Head, Idle, Body), now) },
			"reserve": func(t *rapid.T) {
				g.Reserve(one(t, Body, InHand, New), rapid.IntRange(0, 120).Draw(t, "bytes"))
			},
			"taken":    func(t *rapid.T) { g.Taken(one(t, Body, InHand), now) },
			"answer":   func(t *rapid.T) { g.Answer(one(t, Body, InHand), now) },
			"answered": func(t *rapid.T) { g.Answered(one(t, Answering), now) },
			"yield": func(t *rapid.T) {
				e := one(t, New, Head, Body, InHand, Answering, Idle)
				was, asked := e.state, e.asked
				if g.Yield(e, now) != asked || asked && was != New && was != Head && was != Idle {
					t.Fatalf("one that is %v (asked: %v) gives way", was, asked)
				}
			},
			"close": func(t *rapid.T) { g.Close(one(t, New, Head, Body, InHand, Answering, Idle, Closing), now) },
			"gone": func(t *rapid.T) {
				e := one(t, New, Head, Body, InHand, Answering, Idle, Closing)
				g.Gone(e, now)
				g.Gone(e, now)
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
	if got := fmt.Sprint(New, InHand, State(9)); got != "new in hand State(9)" {
		t.Errorf("got %q", got)
	}
}

// A head under way holds one place, a request in hand two; so there is room for more of the former.
func TestPlacesByWhatTheyNeed(t *testing.T) {
	g, err := NewGovernor(Config{Most: 15, Total: 20, Spare: 1, Patience: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	open := func(inHand int) (n int) {
		for g.Newcomer(0).Admit {
			e := g.Open(0, nil)
			if n < inHand {
				g.Arrived(e, 0)
				g.HeadWhole(e, 0)
				g.Taken(e, 0)
			}
			n++
		}
		return n
	}
	if n := open(0); n != 15 {
		t.Errorf("%d new ones", n)
	}
	g, _ = NewGovernor(Config{Most: 15, Total: 20, Spare: 1, Patience: time.Hour})
	if n := open(15); n != 9 { // 18 places, and two for who is turned away
		t.Errorf("%d in hand", n)
	}
}

// While newcomers have to wait no connection is kept, and for a while after.
func TestNothingIsKeptUnderPressure(t *testing.T) {
	g, err := NewGovernor(Config{Most: 2, Spare: 1, Patience: time.Hour, Pressed: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	a, b := g.Open(0, nil), g.Open(0, nil)
	take := func(e *Entry, now time.Duration) bool {
		g.Arrived(e, now)
		g.HeadWhole(e, now)
		g.Taken(e, now)
		keep := g.Answer(e, now)
		g.Answered(e, now)
		return keep
	}
	if !take(a, 0) {
		t.Error("not kept though nobody waits")
	}
	g.Newcomer(time.Second)
	g.Close(b, time.Second)
	g.Gone(b, time.Second)
	for now, want := range map[time.Duration]bool{1500 * time.Millisecond: false, 2 * time.Second: true} {
		if got := take(a, now); got != want {
			t.Errorf("at %v: kept %v", now, got)
		}
	}
}

// Long bodies that are held leave half of the bytes to others, and what turns out shorter gives back the rest.
func TestHeldBodiesLeaveRoom(t *testing.T) {
	g, err := NewGovernor(Config{Most: 10, Spare: 1, Bytes: 100, Patience: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	var e [4]*Entry
	for i := range e {
		e[i] = g.Open(0, nil)
		g.HeadWhole(e[i], 0)
	}
	for i, step := range []struct {
		do   func(*Entry, int) bool
		who  int
		n    int
		want bool
	}{{g.Reserve, 0, 10, true}, {g.Hold, 0, 41, false}, {g.Hold, 0, 40, true}, {g.Hold, 1, 1, false}, {g.Reserve, 1, 50, true},
		{g.Reserve, 2, 1, false}} {
		if got := step.do(e[step.who], step.n); got != step.want {
			t.Errorf("step %d: %v", i, got)
		}
	}
	g.Settle(e[1], 5)
	g.Settle(e[1], 50)
	if !g.Reserve(e[2], 45) || g.Reserve(e[3], 1) || g.Counts().Bytes != 100 {
		t.Errorf("%d bytes held", g.Counts().Bytes)
	}
}
