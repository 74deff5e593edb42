package balance_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
)

// changeable are the settings that may change during the life of a Balancer. All others may not: a field
// that is added to Settings is rejected until it is listed here and copied by Settings.copyChangeable.
var changeable = []string{
	"Classes.Aim", "Classes.Deadline", "Classes.Worth", "Classes.LateWorth", "Tenants.PerSecond", "Tenants.Portion",
	"MaxAttempts", "SecondCopies", "MaxRetryAfter", "OverShare", "ColdShare", "RampTime", "FallMultiple", "FallWindow",
}

// fullSettings returns settings with a tenant, in which alter can change each field to a valid value.
func fullSettings() balance.Settings {
	s := settings()
	s.Balancers, s.Classes = 3, s.Classes[:2]
	s.Tenants = []balance.Tenant{{PerSecond: 1, Portion: 0.5}}
	return s
}

// alter changes a value to another valid one.
func alter(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Float64:
		v.SetFloat(v.Float()/2 + 0.125)
	case reflect.Uint8:
		v.SetUint(1 - min(v.Uint(), 1))
	default:
		v.SetInt(v.Int()/2 + 1)
	}
}

// leafFields returns the paths and values of all scalar fields of v, a struct whose own path is name, taking the
// first element of each slice.
func leafFields(v reflect.Value, name string) (names []string, values []reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			n, f := leafFields(v.Field(i), strings.TrimPrefix(name+"."+v.Type().Field(i).Name, "."))
			names, values = append(names, n...), append(values, f...)
		}
		return names, values
	case reflect.Slice:
		return leafFields(v.Index(0), name)
	}
	return []string{name}, []reflect.Value{v}
}

// Every field of the settings either may change or is rejected with an error that names it.
func TestWhichSettingsMayChange(t *testing.T) {
	start := fullSettings()
	names, _ := leafFields(reflect.ValueOf(start), "")
	allowed := 0
	for i, name := range names {
		next := fullSettings()
		_, values := leafFields(reflect.ValueOf(&next).Elem(), "")
		alter(values[i])
		err := start.CheckChange(&next)
		if slices.Contains(changeable, name) {
			allowed++
			if err != nil {
				t.Errorf("%s: %v", name, err)
			}
			continue
		}
		field := strings.Replace(strings.Replace(name, "Classes.", "Classes[0].", 1), "Tenants.", "Tenants[0].", 1)
		if err == nil || !strings.Contains(err.Error(), field+": ") {
			t.Errorf("%s: error %v names no field", name, err)
		}
	}
	if allowed != len(changeable) {
		t.Errorf("%d of %d changeable fields exist", allowed, len(changeable))
	}
}

func TestInvalidChangesAreRejected(t *testing.T) {
	for _, tt := range []struct {
		field  string
		change func(*balance.Settings)
	}{
		{"Classes[1].Aim", func(s *balance.Settings) { s.Classes[1].Aim = 0 }},
		{"Classes[0].Deadline", func(s *balance.Settings) { s.Classes[0].Deadline = -1 }},
		{"Classes[0].Deadline", func(s *balance.Settings) { s.Classes[0].Deadline = 2001 * ms }}, // above the longest deadline at the start
		{"Classes", func(s *balance.Settings) { s.Classes = nil }},
		{"Classes", func(s *balance.Settings) { s.Classes = s.Classes[:1] }},
		{"Tenants", func(s *balance.Settings) { s.Tenants = nil }},
		{"Tenants[0].PerSecond", func(s *balance.Settings) { s.Tenants[0].PerSecond = -1 }},
		{"ColdShare", func(s *balance.Settings) { s.ColdShare = 1.5 }},
		{"MaxAttempts", func(s *balance.Settings) { s.MaxAttempts = -1 }},
		{"FallMultiple", func(s *balance.Settings) { s.FallMultiple = -1 }},
	} {
		start, next := fullSettings(), fullSettings()
		tt.change(&next)
		if err := start.CheckChange(&next); err == nil || !strings.Contains(err.Error(), " "+tt.field+": ") {
			t.Errorf("%s: %v", tt.field, err)
		}
	}
}

// randomChange returns a copy of s with a random valid change.
func randomChange(rng *rand.Rand, s balance.Settings) balance.Settings {
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		c := &s.Classes[i]
		c.Aim = time.Duration(50+rng.IntN(1500)) * ms
		c.Deadline = time.Duration(100+rng.IntN(1900)) * ms
		c.Worth, c.LateWorth = rng.Float64()*5, rng.Float64()
	}
	s.MaxAttempts = rng.IntN(6)
	s.SecondCopies = rng.IntN(2) == 0
	s.MaxRetryAfter = time.Duration(rng.IntN(500)) * ms
	s.OverShare = rng.Float64()
	s.ColdShare = 0.1 + 0.8*rng.Float64()
	s.RampTime = time.Duration(1+rng.IntN(20)) * time.Second
	s.FallMultiple = 1 + 3*rng.Float64()
	s.FallWindow = time.Duration(200+rng.IntN(2000)) * ms
	return s
}

// No order of events and changes breaks a rule: no request is lost, answered twice or sent against the
// settings that it came with.
func TestRulesUnderRandomReconfigure(t *testing.T) {
	for seed := uint64(1); seed <= 150; seed++ {
		rng := rand.New(rand.NewPCG(seed, 7))
		changes := 0
		a := playRandomEventsWith(t, seed, 600, func(s balance.Settings) []balance.Event {
			if rng.IntN(10) > 0 {
				return nil
			}
			next := randomChange(rng, s)
			changes++
			return []balance.Event{balance.Reconfigure{Settings: next}}
		}, func(balance.Action) {})
		if len(a.faults) > 0 || changes < 20 {
			t.Fatalf("go test ./balance -run TestRulesUnderRandomReconfigure: seed %d, %d changes: %s", seed, changes,
				strings.Join(a.faults[:min(3, len(a.faults))], "\n"))
		}
	}
}

// Replacing the settings by the same ones changes no later decision, random choices included.
func TestReconfigureWithSameSettings(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		play := func(further func(balance.Settings) []balance.Event) (decisions []string) {
			a := playRandomEventsWith(t, seed, 400, further, func(act balance.Action) { decisions = append(decisions, fmt.Sprintf("%T%+v", act, act)) })
			if len(a.faults) > 0 {
				t.Fatalf("seed %d: %s", seed, a.faults[0])
			}
			return decisions
		}
		want := play(func(balance.Settings) []balance.Event { return nil })
		rng := rand.New(rand.NewPCG(seed, 8))
		changes := 0
		got := play(func(s balance.Settings) []balance.Event {
			if rng.IntN(5) > 0 {
				return nil
			}
			changes++
			return []balance.Event{balance.Reconfigure{Settings: s}}
		})
		if !slices.Equal(got, want) || changes == 0 || len(want) < 100 {
			t.Fatalf("go test ./balance -run TestReconfigureWithSameSettings: seed %d: %d and %d decisions differ after %d changes",
				seed, len(got), len(want), changes)
		}
	}
}

// A change of settings keeps the number of live agents, rather than going back to the initial one.
func TestReconfigureKeepsAgentCount(t *testing.T) {
	s := settings()
	s.Balancers = 9
	part := func(events ...balance.Event) float64 {
		r := newRig(t, s, 1, backends(4))
		r.step(events...)
		var last balance.Note
		r.b.Explain(func(n balance.Note) { last = n })
		r.now += time.Second
		r.step()
		return last.LimitShare
	}
	counted := balance.Fleet{Alive: 3, MaxAlive: 3}
	if got, want := part(counted, balance.Reconfigure{Settings: s}), part(counted); got != want {
		t.Errorf("limit share %v, %v without the change", got, want)
	}
}

// A request keeps the settings that it came with; later requests follow the new ones.
func TestRequestKeepsItsSettings(t *testing.T) {
	change := func(f func(*balance.Settings)) balance.Event {
		s := settings()
		f(&s)
		return balance.Reconfigure{Settings: s}
	}
	t.Run("attempts", func(t *testing.T) {
		for _, tt := range []struct{ before, after int }{{4, 1}, {1, 4}} {
			s := settings()
			s.MaxAttempts = tt.before
			r := newRig(t, s, 1, backends(6))
			r.request("old", safe)
			r.step(change(func(s *balance.Settings) { s.MaxAttempts = tt.after }))
			r.request("new", safe)
			for range 4 {
				for _, id := range []string{"old", "new"} {
					r.endAttempt(id, balance.Errored, 5*ms)
				}
				r.advance(200 * ms)
			}
			if len(r.sent["old"]) != tt.before || len(r.sent["new"]) != tt.after {
				t.Errorf("%d to %d attempts: %v", tt.before, tt.after, r.sent)
			}
		}
	})
	t.Run("aim while held", func(t *testing.T) {
		end := func(events ...balance.Event) time.Duration { // the time until a request without a backend is refused
			r := newRig(t, settings(), 1, nil)
			began := r.now
			r.request("old", safe)
			r.step(events...)
			for final("old", r.advance(ms)) == "" {
				if r.now-began > time.Minute {
					t.Fatal("no answer")
				}
			}
			return r.now - began
		}
		shorter := change(func(s *balance.Settings) { s.Classes[safe].Aim = 100 * ms })
		if got, want := end(shorter), end(); got != want {
			t.Errorf("refused after %v, %v without the change", got, want)
		}
	})
	t.Run("retry after", func(t *testing.T) {
		advice := func(before, after time.Duration) map[string]time.Duration {
			told := map[string]time.Duration{}
			s := settings()
			s.RetryAfter, s.MaxRetryAfter = true, before
			r := newRig(t, s, 1, nil)
			r.request("old", safe)
			n := s
			n.MaxRetryAfter = after
			r.step(balance.Reconfigure{Settings: n})
			r.request("new", safe)
			for _, a := range r.advance(time.Second) {
				if a, ok := a.(balance.Refuse); ok {
					told[a.Request] = a.RetryAfter
				}
			}
			return told
		}
		for _, tt := range [][2]time.Duration{{3 * ms, 2 * ms}, {2 * ms, 3 * ms}} {
			if got := advice(tt[0], tt[1]); got["old"] != tt[0] || got["new"] != tt[1] {
				t.Errorf("from %v to %v: told %v", tt[0], tt[1], got)
			}
		}
	})
	t.Run("worth", func(t *testing.T) { // the more valuable request is sent first when there is room again
		s := settings()
		s.Classes[safe].Worth, s.Classes[unsafe].Worth = 1, 2
		r := newRig(t, s, 1, nil)
		r.request("cheap", safe)
		r.request("dear", unsafe)
		n := settings()
		n.Classes[safe].Worth, n.Classes[unsafe].Worth = 2, 1
		r.step(balance.Reconfigure{Settings: n})
		acts := r.step(balance.List{Kind: balance.ListFull, Backends: backends(1)})
		if len(acts) == 0 {
			t.Fatal("nothing was sent")
		}
		if first, ok := acts[0].(balance.Send); !ok || first.Request != "dear" {
			t.Errorf("first %+v", acts[0])
		}
	})
}

// A step handles a change and requests in their order.
func TestReconfigureWithinStep(t *testing.T) {
	s := settings()
	n := settings()
	n.MaxAttempts = 1
	r := newRig(t, s, 1, backends(6))
	r.step(balance.Request{ID: "old", Class: safe, TimeLeft: 2000 * ms}, balance.Reconfigure{Settings: n},
		balance.Request{ID: "new", Class: safe, TimeLeft: 2000 * ms})
	r.endAttempt("old", balance.Errored, 5*ms)
	r.endAttempt("new", balance.Errored, 5*ms)
	r.advance(500 * ms)
	if len(r.sent["old"]) != 2 || len(r.sent["new"]) != 1 {
		t.Errorf("sent %v", r.sent)
	}
}

// A change keeps the learned state: the limit, the mean delay, tokens, ejections and backends' slowness.
func TestReconfigureKeepsLearnedState(t *testing.T) {
	r := newRig(t, settings(), 1, backends(6))
	r.serve(200, safe, 40*ms)
	r.request("bad", safe)
	r.endAttempt("bad", balance.Errored, 5*ms)
	r.advance(100 * ms)
	var notes []balance.Note
	r.b.Explain(func(n balance.Note) { notes = append(notes, n) })
	r.step()
	n := settings()
	n.Classes[safe].Worth, n.MaxAttempts, n.ColdShare = 9, 2, 0.5
	r.b.Explain(func(n balance.Note) { notes = append(notes, n) }) // resets the interval, so that the next step emits a note
	r.step(balance.Reconfigure{Settings: n})
	if len(notes) != 2 || !reflect.DeepEqual(notes[0], notes[1]) {
		t.Errorf("before and after:\n%+v", notes)
	}
	if notes[0].RetryTokens >= 100 || notes[0].Backends[0].SlowRatio == 0 {
		t.Errorf("nothing was learned: %+v", notes[0])
	}
}

// The base delay is measured in aims. If aims become shorter, latencies that stay the same are no sign of a
// queue and must not cut the limit.
func TestShorterAimsDoNotCutLimit(t *testing.T) {
	limit := func(change bool) float64 {
		s := settings()
		s.Reports = balance.ReportsInline
		r := newRig(t, s, 1, backends(6))
		serve := func(latency time.Duration) {
			for i := range 2000 {
				id := fmt.Sprint(latency, i)
				r.request(id, safe)
				r.now += latency
				r.step(balance.Outcome{Request: id, Backend: r.sent[id][0], Latency: latency, Done: true,
					Load: balance.Load{Valid: true, Outstanding: 1, Queue: -1}})
			}
		}
		serve(10 * ms)
		if change {
			shorter := settings()
			shorter.Reports = s.Reports
			for i := range shorter.Classes {
				shorter.Classes[i].Aim = 50 * ms
			}
			r.step(balance.Reconfigure{Settings: shorter})
		}
		serve(18 * ms) // less than twice the time, and still under 0.4 of the aim
		var last balance.Note
		r.b.Explain(func(n balance.Note) { last = n })
		r.step()
		return last.PerBackend
	}
	if got, want := limit(true), limit(false); got < want*0.9 {
		t.Errorf("limit %.2f per backend, %.2f without the change", got, want)
	}
}

// A change of the fall window keeps the rate of warm backends, which bounds what a cold one gets.
func TestFallWindowChangeKeepsRate(t *testing.T) {
	sends := func(before, after time.Duration) int {
		s := settings()
		s.FallWindow = before
		list := backends(4)
		r := newRig(t, s, 1, list)
		r.serve(400, safe, 10*ms)
		s.FallWindow = after
		r.step(balance.Reconfigure{Settings: s})
		list[3].Started = r.now
		r.step(balance.List{Kind: balance.ListFull, Backends: list})
		return r.serve(100, safe, 10*ms)[list[3].ID]
	}
	const short, long = 100 * ms, 10 * time.Second
	if same, shorter := sends(short, short), sends(long, short); same == 0 || shorter > same+1 {
		t.Errorf("%d requests to the cold backend, %d after a change to a shorter window", same, shorter)
	}
	if same, longer := sends(long, long), sends(short, long); longer < same-1 {
		t.Errorf("%d requests to the cold backend, %d after a change to a longer window", same, longer)
	}
}
