package balance_test

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"

	"lemonrail/balance"
)

const ms = time.Millisecond

// Indices of the classes in the test settings.
const (
	safe = iota
	unsafe
	keyedAll
	keyedZone
	keyedCell
)

// settings returns settings with a class for each effect and group of repeats, for a single agent.
func settings() balance.Settings {
	class := func(e balance.Effect, g balance.Group) balance.Class {
		return balance.Class{Aim: 400 * ms, Deadline: 2000 * ms, Worth: 1, Effect: e, Group: g, Window: 300 * ms}
	}
	return balance.Settings{
		Balancers: 1, MaxAttempts: 4, Tick: 5 * ms,
		Classes: []balance.Class{
			class(balance.Safe, 0), class(balance.Unsafe, 0), class(balance.Keyed, balance.GroupAll),
			class(balance.Keyed, balance.GroupZone), class(balance.Keyed, balance.GroupCell),
		},
		DrainGrace: 500 * ms, AnswerGrace: 20 * ms, ColdShare: 0.2, RampTime: 10 * time.Second,
		FallMultiple: 2.5, FallWindow: time.Second, AskWithin: 10 * time.Second,
		GoalWhole: 0.6, GoalWindow: 0.2, GoalClass: 0.2,
	}
}

// backends returns n backends named a, b, c ..., two in each zone and cell.
func backends(n int) []balance.Backend {
	var list []balance.Backend
	for i := range n {
		list = append(list, balance.Backend{ID: string(rune('a' + i)), Zone: i / 2, Cell: i / 2})
	}
	return list
}

// rig drives one Balancer and records its actions.
type rig struct {
	t       *testing.T
	b       *balance.Balancer
	now     time.Duration
	sent    map[string][]string  // by request ID: the backends of its attempts, in order
	timers  []balance.TimerFired // pending timers
	due     []time.Duration      // when each of timers fires, by the same index
	actions []balance.Action     // of the last step
}

// newRig returns a rig whose Balancer knows the list.
func newRig(t *testing.T, s balance.Settings, seed uint64, list []balance.Backend) *rig {
	t.Helper()
	b, err := balance.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: time.Hour, sent: map[string][]string{}}
	r.step(balance.List{Kind: balance.ListCached, Backends: list})
	return r
}

// step passes events to the Balancer at the rig's time, records the actions and returns them.
func (r *rig) step(events ...balance.Event) []balance.Action {
	r.actions = r.b.Step(r.now, events)
	for _, a := range r.actions {
		switch a := a.(type) {
		case balance.Send:
			r.sent[a.Request] = append(r.sent[a.Request], a.Backend)
		case balance.SetTimer:
			r.timers = append(r.timers, balance.TimerFired{Token: a.Token})
			r.due = append(r.due, r.now+a.After)
		}
	}
	return r.actions
}

// advance moves the clock by d, fires the timers that come due, and returns all actions.
func (r *rig) advance(d time.Duration) []balance.Action {
	var all []balance.Action
	end := r.now + d
	for {
		next := -1
		for i, at := range r.due {
			if at <= end && (next < 0 || at < r.due[next]) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		token := r.timers[next]
		r.now = max(r.now, r.due[next])
		r.timers = append(r.timers[:next], r.timers[next+1:]...)
		r.due = append(r.due[:next], r.due[next+1:]...)
		all = append(all, r.step(token)...)
	}
	r.now = end
	return all
}

// request makes a request of a class arrive now, whose client waits 2 s, and returns the actions.
func (r *rig) request(id string, class int) []balance.Action {
	return r.step(balance.Request{ID: id, Class: class, TimeLeft: 2000 * ms})
}

// endAttempt ends the latest attempt of a request with the result res, latency after it was sent.
func (r *rig) endAttempt(id string, res balance.Result, latency time.Duration) []balance.Action {
	r.t.Helper()
	n := len(r.sent[id]) - 1
	if n < 0 {
		r.t.Fatalf("%s: nothing was sent", id)
	}
	return r.step(balance.Outcome{Request: id, Attempt: n, Backend: r.sent[id][n], Result: res,
		Latency: latency, Done: res == balance.OK})
}

// serve plays n requests of a class one after the other, each served after latency, and counts them by backend.
func (r *rig) serve(n int, class int, latency time.Duration) map[string]int {
	r.t.Helper()
	counts := map[string]int{}
	for range n {
		id := fmt.Sprintf("serve-%d", len(r.sent))
		r.request(id, class)
		r.now += latency
		r.endAttempt(id, balance.OK, latency)
		counts[r.sent[id][0]]++
	}
	return counts
}

// final returns the final answer of a request among the actions, "refuse" or "fail", or "" if there is none.
func final(id string, actions []balance.Action) string {
	found := ""
	for _, a := range actions {
		switch a := a.(type) {
		case balance.Refuse:
			if a.Request == id {
				found += "refuse"
			}
		case balance.Fail:
			if a.Request == id {
				found += "fail"
			}
		}
	}
	return found
}

func TestNewRejectsSettings(t *testing.T) {
	tests := []struct {
		name string
		edit func(*balance.Settings)
		want string
	}{
		{"no classes", func(s *balance.Settings) { s.Classes = nil }, "Classes: none"},
		{"no balancers", func(s *balance.Settings) { s.Balancers = 0 }, "Balancers: 0"},
		{"own number out of range", func(s *balance.Settings) { s.Self = 1 }, "Self: 1"},
		{"negative number", func(s *balance.Settings) { s.Self = -1 }, "Self: -1"},
		{"attempt limit below zero", func(s *balance.Settings) { s.MaxAttempts = -2 }, "MaxAttempts: -2"},
		{"drain grace below zero", func(s *balance.Settings) { s.DrainGrace = -ms }, "DrainGrace: -0.001"},
		{"cold share above one", func(s *balance.Settings) { s.ColdShare = 1.5 }, "ColdShare: 1.5"},
		{"unknown effect", func(s *balance.Settings) { s.Classes[2].Effect = 9 }, "Classes[2].Effect: 9"},
		{"unknown group", func(s *balance.Settings) { s.Classes[1].Group = 7 }, "Classes[1].Group: 7"},
		{"no aim", func(s *balance.Settings) { s.Classes[0].Aim = 0 }, "Classes[0].Aim: 0s"},
		{"tenant below zero", func(s *balance.Settings) { s.Tenants = []balance.Tenant{{PerSecond: -1}} }, "Tenants[0].PerSecond: -1"},
		{"worth not a number", func(s *balance.Settings) { s.Classes[1].Worth = math.NaN() }, "Classes[1].Worth: NaN"},
		{"infinite goal", func(s *balance.Settings) { s.GoalTenant = math.Inf(1) }, "GoalTenant: +Inf"},
		{"price below zero", func(s *balance.Settings) { s.Prices.Waste = -1 }, "Prices.Waste: -1"},
		{"unknown report source", func(s *balance.Settings) { s.Reports = 9 }, "Reports: 9"},
		{"unknown weights", func(s *balance.Settings) { s.Weights = 9 }, "Weights: 9"},
		{"no deadline", func(s *balance.Settings) { s.Classes[0].Deadline = 0 }, "Classes[0].Deadline: 0s"},
		{"window below zero", func(s *balance.Settings) { s.Classes[3].Window = -ms }, "Classes[3].Window: -0.001"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			tt.edit(&s)
			if _, err := balance.New(s, 1); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one with %q", err, tt.want)
			}
		})
	}
}

// filesWithoutDecisions are the package's files that decide nothing: the interface, state, the check of
// settings, notes on decisions, and arithmetic.
var filesWithoutDecisions = []string{
	"api.go", "ewma.go", "explain.go", "hash.go", "reconfigure.go", "settings.go", "state.go",
}

// The key policy of deploy/balancer.toml lists exactly the files of the package that hold decisions. A new
// file fails this test until it is listed there or in filesWithoutDecisions.
func TestPolicyFiles(t *testing.T) {
	const maxLines, maxColumns = 500, 110 // non-blank lines of a file; columns of a line, a tab counting for four
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deployed struct{ Policy []string }
	if err := toml.Unmarshal(text, &deployed); err != nil {
		t.Fatal(err)
	}
	sources, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, file := range sources {
		if !strings.HasSuffix(file, "_test.go") && !slices.Contains(filesWithoutDecisions, file) {
			want = append(want, "balance/"+file)
		}
	}
	if got := slices.Sorted(slices.Values(deployed.Policy)); !slices.Equal(got, want) {
		t.Errorf("policy lists %v, the files with decisions are %v", got, want)
	}
	for _, file := range filesWithoutDecisions {
		if !slices.Contains(sources, file) {
			t.Errorf("%s is listed as a file without decisions, but doesn't exist", file)
		}
	}
	for _, path := range deployed.Policy {
		file := filepath.Join("..", path)
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); n > maxColumns {
				t.Errorf("%s: line %d has %d columns", file, i+1, n)
			}
		}
		if lines > maxLines {
			t.Errorf("%s: %d non-blank lines, want %d at most", file, lines, maxLines)
		}
	}
}

// By class and outcome, a request is retried on another backend, refused or failed.
func TestOutcomes(t *testing.T) {
	const retry = "retry"
	tests := []struct {
		class  int
		result balance.Result
		want   string
	}{
		{safe, balance.Errored, retry},
		{safe, balance.TimedOut, retry},
		{safe, balance.Reset, retry},
		{safe, balance.Full, retry},
		{safe, balance.ConnectFailed, retry},
		{safe, balance.NotSent, "refuse"},
		{unsafe, balance.Errored, "fail"},
		{unsafe, balance.TimedOut, "fail"},
		{unsafe, balance.Reset, "fail"},
		{unsafe, balance.Cancelled, "fail"},
		{unsafe, balance.Full, retry},
		{unsafe, balance.ConnectFailed, retry},
		{unsafe, balance.NotSent, "refuse"},
		{keyedAll, balance.Errored, retry},
		{keyedAll, balance.Full, retry},
		{keyedZone, balance.Errored, retry},
		{keyedZone, balance.ConnectFailed, retry},
		{keyedCell, balance.TimedOut, retry},
		{keyedCell, balance.Reset, retry},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("class %d result %d", tt.class, tt.result), func(t *testing.T) {
			r := newRig(t, settings(), 7, backends(6))
			r.request("q", tt.class)
			r.now += 10 * ms
			acts := r.endAttempt("q", tt.result, 10*ms)
			acts = append(acts, r.advance(200*ms)...)
			got := final("q", acts)
			if len(r.sent["q"]) == 2 {
				got += retry
				if r.sent["q"][0] == r.sent["q"][1] {
					t.Errorf("both attempts went to %s, which had just failed", r.sent["q"][0])
				}
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// A keyed request that may have run is retried only within its group and its window.
func TestKeyedGroup(t *testing.T) {
	zone := map[string]int{"a": 0, "b": 0, "c": 1, "d": 1, "e": 2, "f": 2}
	for seed := uint64(0); seed < 40; seed++ {
		for _, class := range []int{keyedZone, keyedCell} {
			r := newRig(t, settings(), seed, backends(6))
			r.request("q", class)
			r.now += 5 * ms
			r.endAttempt("q", balance.Errored, 5*ms)
			r.advance(200 * ms)
			if s := r.sent["q"]; len(s) != 2 || zone[s[0]] != zone[s[1]] {
				t.Errorf("seed %d class %d: attempts %v leave the group", seed, class, s)
			}
		}
	}
	t.Run("window", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(6))
		r.request("q", keyedAll)
		r.now += 300 * ms
		acts := r.endAttempt("q", balance.Errored, 300*ms)
		if final("q", acts) != "fail" {
			t.Errorf("after the window: %v, want it to fail", acts)
		}
	})
	t.Run("never ran", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(6))
		r.request("q", keyedZone)
		r.now += 400 * ms
		r.endAttempt("q", balance.ConnectFailed, 400*ms)
		r.advance(200 * ms)
		if len(r.sent["q"]) != 2 {
			t.Errorf("attempts %v: one that never ran should not bind the request", r.sent["q"])
		}
	})
}

func TestAttemptLimit(t *testing.T) {
	s := settings()
	s.MaxAttempts = 3
	r := newRig(t, s, 3, backends(6))
	r.request("q", safe)
	var all []balance.Action
	for range 6 {
		if final("q", all) != "" {
			break
		}
		r.now += ms
		all = append(all, r.endAttempt("q", balance.Errored, ms)...)
		all = append(all, r.advance(150*ms)...)
	}
	if len(r.sent["q"]) != 3 || final("q", all) != "fail" {
		t.Errorf("attempts %v and answer %q, want 3 and one failure", r.sent["q"], final("q", all))
	}
}

// The retry bucket holds 100 tokens: 20 retries at 5 tokens, or 10 after time-outs at 10. First attempts go
// out even if it is empty. A served request returns one token, up to the maximum.
func TestRetryBucket(t *testing.T) {
	s := settings()
	s.MaxAttempts = 2
	// spend makes n requests fail and returns how many of them were retried. The retries fail too, so that
	// they don't refill the bucket.
	spend := func(r *rig, n int, res balance.Result) (retried int) {
		for range n {
			id := fmt.Sprintf("spend-%d", len(r.sent))
			r.request(id, safe)
			if len(r.sent[id]) != 1 {
				t.Fatalf("first attempt of %s did not go out", id)
			}
			r.now += ms
			r.endAttempt(id, res, ms)
			r.advance(100 * ms)
			if len(r.sent[id]) == 2 {
				retried++
				r.now += ms
				r.endAttempt(id, balance.Errored, ms)
			}
			r.advance(30 * time.Second) // lets ejections pass
		}
		return retried
	}
	tests := []struct {
		name  string
		res   balance.Result
		serve int // requests served between the two calls of spend
		first int
		then  int
	}{
		{"errors cost 5", balance.Errored, 4, 20, 0},
		{"five served requests fund one retry", balance.Errored, 5, 20, 1},
		{"time-outs cost 10", balance.TimedOut, 9, 10, 0},
		{"ten served requests fund one retry after a time-out", balance.TimedOut, 10, 10, 1},
		{"the bucket does not overflow", balance.Errored, 500, 20, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, s, 5, backends(6))
			if got := spend(r, 30, tt.res); got != tt.first {
				t.Errorf("a full bucket funded %d retries, want %d", got, tt.first)
			}
			r.serve(tt.serve, safe, 20*ms)
			r.advance(30 * time.Second)
			if got := spend(r, 30, tt.res); got != tt.then {
				t.Errorf("then funded %d retries, want %d", got, tt.then)
			}
		})
	}
}

// The backoff has full jitter: it is between 0 and a bound that doubles with each retry up to a maximum.
func TestBackoff(t *testing.T) {
	s := settings()
	s.MaxAttempts = 7
	unit := s.Classes[safe].Aim / 32
	longest := make([]time.Duration, 6)
	shortest := []time.Duration{time.Hour, time.Hour, time.Hour, time.Hour, time.Hour, time.Hour}
	for seed := uint64(0); seed < 300; seed++ {
		r := newRig(t, s, seed, backends(8))
		r.request("q", safe)
		for n := range 6 {
			r.endAttempt("q", balance.Full, 0)
			failed := r.now
			for len(r.sent["q"]) == n+1 && len(r.due) > 0 {
				r.advance(ms / 4)
			}
			if len(r.sent["q"]) != n+2 {
				t.Fatalf("seed %d: retry %d was not made", seed, n)
			}
			longest[n] = max(longest[n], r.now-failed)
			shortest[n] = min(shortest[n], r.now-failed)
		}
	}
	for n, got := range longest {
		bound := unit << min(n, 3)
		if got > bound+ms || got < bound*8/10 {
			t.Errorf("retry %d waited up to %v, want close to %v and no more", n, got, bound)
		}
		if shortest[n] > bound/10 {
			t.Errorf("retry %d waited at least %v, want full jitter from 0", n, shortest[n])
		}
	}
}

// A retry whose backoff would outlast the time left is not made.
func TestBackoffWithinTimeLeft(t *testing.T) {
	r := newRig(t, settings(), 1, backends(4))
	r.request("q", safe)
	r.now += 2000 * ms
	if acts := r.endAttempt("q", balance.TimedOut, 2000*ms); final("q", acts) != "fail" {
		t.Errorf("at the deadline: %v, want the final answer at once", acts)
	}
}

func TestPicking(t *testing.T) {
	t.Run("idle backends at random", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		counts := r.serve(400, safe, 50*ms)
		for _, id := range []string{"a", "b", "c", "d"} {
			if counts[id] < 60 || counts[id] > 140 {
				t.Errorf("%s got %d of 400, want about 100", id, counts[id])
			}
		}
	})
	t.Run("idle before busy", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		r.serve(80, safe, 50*ms)
		used := map[string]bool{}
		for i := range 4 {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			used[r.sent[id][0]] = true
		}
		if len(used) != 4 {
			t.Errorf("four requests went to %d backends, want 4", len(used))
		}
	})
	t.Run("fewest in flight", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		r.serve(80, safe, 50*ms)
		counts := map[string]int{}
		for i := range 12 {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			counts[r.sent[id][0]]++
		}
		for id, n := range counts {
			if n < 2 || n > 4 {
				t.Errorf("%s has %d in flight of 12 over 4", id, n)
			}
		}
	})
	t.Run("a new backend counts at the mean", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		r.serve(80, safe, 50*ms)
		for i := range 8 {
			r.request(fmt.Sprint("q", i), safe)
		}
		r.step(balance.List{Kind: balance.ListDelta, Backends: []balance.Backend{{ID: "new"}}})
		rush := 0
		for i := range 4 {
			id := fmt.Sprint("n", i)
			r.request(id, safe)
			if r.sent[id][0] == "new" {
				rush++
			}
		}
		if rush > 2 {
			t.Errorf("the new backend got %d of 4, want no rush", rush)
		}
	})
	t.Run("own zone where crossing is priced", func(t *testing.T) {
		s := settings()
		s.Prices.CrossZone = 0.02
		r := newRig(t, s, 2, backends(4))
		counts := r.serve(400, safe, 50*ms)
		if own := counts["a"] + counts["b"]; own < 260 || own == 400 {
			t.Errorf("own zone got %d of 400, want most but not all", own)
		}
	})
	t.Run("slow backends less", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		late := 0
		for i := range 600 {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			lat := 40 * ms
			if r.sent[id][0] == "a" {
				lat = 160 * ms
				if i >= 300 {
					late++
				}
			}
			r.now += lat
			r.endAttempt(id, balance.OK, lat)
		}
		if late > 40 {
			t.Errorf("a backend four times slower still got %d of 300", late)
		}
	})
}

// A backend that fails fast is always idle. It must not attract the traffic.
func TestFastFailureIsEjected(t *testing.T) {
	r := newRig(t, settings(), 4, backends(6))
	bad := 0
	for i := range 300 {
		id := fmt.Sprint("q", i)
		r.request(id, unsafe)
		res, lat := balance.OK, 30*ms
		if r.sent[id][0] == "a" {
			res, lat = balance.Errored, ms
			bad++
		}
		r.now += lat
		r.endAttempt(id, res, lat)
	}
	if bad > 6 {
		t.Errorf("the failing backend got %d of 300", bad)
	}
	// Once it works again it gets traffic again, at first only requests that may be repeated.
	r.advance(20 * time.Second)
	if counts := r.serve(400, safe, 30*ms); counts["a"] < 20 {
		t.Errorf("after healing it got %d of 400", counts["a"])
	}
}

// Errors and resets that come from all backends alike eject no backend and are no sign of a restart. A
// backend that returns more of them than the others is ejected.
func TestCommonErrorsEjectNoBackend(t *testing.T) {
	for _, res := range []balance.Result{balance.Errored, balance.Reset} {
		checkCommonErrors(t, res)
	}
}

// checkCommonErrors plays a Balancer whose backends all fail one answer in twelve with the result res, and then
// one that fails every other answer.
func checkCommonErrors(t *testing.T, res balance.Result) {
	s := settings()
	s.MaxAttempts = 1
	r := newRig(t, s, 3, backends(4))
	answers := map[string]int{}
	soon := map[string]int{}             // by backend: its uses within 300 ms of its last error, since the last round began
	failed := map[string]time.Duration{} // by backend: when it last failed
	// round plays n requests and returns the number of attempts by backend; answer counts a backend's answers
	// over all rounds.
	round := func(n int, fails func(backend string, answer int) bool) (used map[string]int) {
		used = map[string]int{}
		clear(soon)
		for range n {
			id := fmt.Sprint("q", len(r.sent))
			r.request(id, safe)
			if len(r.sent[id]) == 0 { // all backends are cold and have spent their budget
				r.now += 20 * ms
				continue
			}
			b := r.sent[id][0]
			used[b]++
			answers[b]++
			if r.now < failed[b]+300*ms {
				soon[b]++
			}
			r.now += 20 * ms
			if fails(b, answers[b]) {
				failed[b] = r.now
				r.endAttempt(id, res, 20*ms)
			} else {
				r.endAttempt(id, balance.OK, 20*ms)
			}
		}
		return used
	}
	even := func(_ string, answer int) bool { return answer%12 == 0 }
	round(400, even)
	r.advance(20 * time.Second) // the first errors ejected backends, since no error share was usual yet
	round(100, even)
	round(400, even)
	for _, b := range []string{"a", "b", "c", "d"} {
		if soon[b] < 15 { // without an ejection: about 8 errors, each with 4 uses in the 300 ms after it
			t.Errorf("%s was used %d times soon after an error", b, soon[b])
		}
	}
	if used := round(400, func(b string, answer int) bool { return b == "a" && answer%2 == 0 || even(b, answer) }); used["a"] > 30 {
		t.Errorf("a fails every other request and got %d of 400", used["a"])
	}
}

// An ejected backend must come back even if no class may be repeated.
func TestEjectionEndsWithoutRepeatableClass(t *testing.T) {
	s := settings()
	s.Classes = s.Classes[unsafe : unsafe+1]
	r := newRig(t, s, 4, backends(3))
	for i := 0; ; i++ {
		id := fmt.Sprint("q", i)
		r.request(id, 0)
		r.now += 20 * ms
		if r.sent[id][0] == "a" {
			r.endAttempt(id, balance.Errored, 20*ms)
			break
		}
		r.endAttempt(id, balance.OK, 20*ms)
	}
	r.advance(5 * time.Second)
	if counts := r.serve(200, 0, 30*ms); counts["a"] == 0 {
		t.Error("an ejected backend never got traffic again")
	}
}

// If every backend is ejected, first attempts still go out.
func TestAllEjected(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	r := newRig(t, s, 4, backends(2))
	for i := range 10 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		if len(r.sent[id]) != 1 {
			t.Fatalf("request %d was not sent", i)
		}
		r.now += ms
		r.endAttempt(id, balance.Errored, ms)
	}
}

// A backend that is listed as draining or gone, or missing from a full list, gets no more attempts. One that comes
// back with the same ID gets its share again once it is warm.
func TestDrainAndGone(t *testing.T) {
	for _, state := range []balance.BackendState{balance.Draining, balance.Gone} {
		r := newRig(t, settings(), 1, backends(3))
		r.step(balance.List{Kind: balance.ListDelta,
			Backends: []balance.Backend{{ID: "a", State: state}}})
		if n := r.serve(100, safe, 20*ms)["a"]; n > 0 {
			t.Errorf("state %d: %d requests were sent to the backend", state, n)
		}
	}
	t.Run("missing from a full list", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(3))
		r.step(balance.List{Kind: balance.ListFull, Backends: backends(3)[1:]})
		if n := r.serve(100, safe, 20*ms)["a"]; n > 0 {
			t.Errorf("%d requests were sent to the backend", n)
		}
	})
	t.Run("during a backoff", func(t *testing.T) {
		for seed := uint64(0); seed < 20; seed++ {
			r := newRig(t, settings(), seed, backends(2))
			r.request("q", safe)
			other := map[string]string{"a": "b", "b": "a"}[r.sent["q"][0]]
			r.now += ms
			r.endAttempt("q", balance.Errored, ms)
			r.step(balance.List{Kind: balance.ListDelta,
				Backends: []balance.Backend{{ID: other, State: balance.Draining}}})
			r.advance(time.Second)
			for _, b := range r.sent["q"][1:] {
				if b == other {
					t.Fatalf("seed %d: a retry went to the draining backend", seed)
				}
			}
		}
	})
	t.Run("back with the same id", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(2))
		r.serve(50, safe, 20*ms)
		r.step(balance.List{Kind: balance.ListDelta,
			Backends: []balance.Backend{{ID: "a", State: balance.Gone}}})
		r.step(balance.List{Kind: balance.ListDelta,
			Backends: []balance.Backend{{ID: "a", Started: r.now}}})
		r.serve(400, safe, 20*ms)
		r.advance(10 * time.Second)
		if n := r.serve(200, safe, 20*ms)["a"]; n < 50 {
			t.Errorf("warm again it got %d of 200", n)
		}
	})
}

// A cold backend gets no more than what a warm one serves, times its warmth.
func TestColdShare(t *testing.T) {
	list := backends(5)
	list[0].Started = time.Hour // the rig's clock starts here
	r := newRig(t, settings(), 9, list)
	counts := r.serve(200, safe, 20*ms) // the first 4 s of 10: warmth 0.2 to 0.52
	if warm := (200 - counts["a"]) / 4; float64(counts["a"]) > 0.52*float64(warm)+2 {
		t.Errorf("the cold backend got %d against %d for a warm one", counts["a"], warm)
	}
	if counts["a"] == 0 {
		t.Error("the cold backend got nothing")
	}
	r.advance(10 * time.Second)
	if n := r.serve(200, safe, 20*ms)["a"]; n < 25 {
		t.Errorf("once warm it got %d of 200", n)
	}
}

// Under overload a cold backend must get more than its warmth, as a share of what a warm one serves, and stay
// well below FallMultiple times that share (incidents i37feae and i28e3f7).
func TestColdShareUnderOverload(t *testing.T) {
	list := backends(5)
	r := newRig(t, settings(), 9, list)
	var out []string
	counts := map[string]float64{}
	answer := func(id string, latency time.Duration) {
		counts[r.sent[id][0]]++
		for _, a := range r.endAttempt(id, balance.OK, latency) {
			if a, ok := a.(balance.Send); ok {
				out = append(out, a.Request)
			}
		}
	}
	// drive plays n rounds of 5 ms: in each, all attempts at the cold backend and the oldest attempt of all are
	// answered, and two requests arrive.
	drive := func(n int) {
		for range n {
			r.advance(5 * ms)
			was := out
			out = nil
			for i, id := range was {
				if r.sent[id][0] == "a" && list[0].Started > 0 {
					answer(id, 50*ms)
				} else if i == 0 {
					answer(id, 50*ms)
				} else {
					out = append(out, id)
				}
			}
			for range 2 {
				id := fmt.Sprint("q", len(r.sent), "-", r.now)
				if r.request(id, safe); len(r.sent[id]) > 0 {
					out = append(out, id)
				}
			}
		}
	}
	for i := range 30 {
		id := fmt.Sprint("first", i)
		r.request(id, safe)
		out = append(out, id)
	}
	drive(400)
	list[0].Started = r.now
	r.step(balance.List{Kind: balance.ListDelta, Backends: list[:1]})
	clear(counts)
	drive(400) // two seconds, in which the warmth grows from 0.2 to 0.36, 0.28 in the mean
	warm := (counts["b"] + counts["c"] + counts["d"] + counts["e"]) / 4
	share := counts["a"] / warm
	if share < 0.5 || share > 0.28*2.5 {
		t.Errorf("the cold backend served %.2f of a warm one's work", share)
	}
}

// A cold backend gets light requests but no heavy one, since a single heavy request could overload it.
func TestColdGetsNoHeavyRequest(t *testing.T) {
	list := backends(3)
	r := newRig(t, settings(), 9, list)
	send := func(id string, work time.Duration) {
		r.step(balance.Request{ID: id, Class: safe, TimeLeft: 2000 * ms, Work: work})
		r.now += 20 * ms
		r.endAttempt(id, balance.OK, 20*ms)
	}
	for i := range 100 {
		send(fmt.Sprint("w", i), 20*ms)
	}
	r.step(balance.List{Kind: balance.ListDelta,
		Backends: []balance.Backend{{ID: "cold", Started: r.now}}})
	got := 0
	for i := range 100 {
		send(fmt.Sprint("l", i), 20*ms)
		if h := fmt.Sprint("h", i); i%10 == 0 {
			if send(h, 300*ms); r.sent[h][0] == "cold" {
				t.Fatalf("heavy request %d went to the cold backend", i)
			}
		}
		if r.sent[fmt.Sprint("l", i)][0] == "cold" {
			got++
		}
	}
	if got == 0 {
		t.Error("the cold backend got no light request either")
	}
}

// A backend that comes back before the list reports its restart counts as cold.
func TestRecoveredBackendIsCold(t *testing.T) {
	r := newRig(t, settings(), 3, backends(3))
	r.serve(60, safe, 20*ms)
	for i := 0; ; i++ {
		id := fmt.Sprint("d", i)
		r.request(id, safe)
		r.now += 20 * ms
		if r.sent[id][0] == "a" {
			r.endAttempt(id, balance.ConnectFailed, 20*ms)
			break
		}
		r.endAttempt(id, balance.OK, 20*ms)
	}
	r.advance(2 * time.Second)
	seen := 0
	for i := range 200 {
		id := fmt.Sprint("r", i)
		r.request(id, safe)
		r.now += 20 * ms
		r.endAttempt(id, balance.OK, 20*ms)
		if r.sent[id][0] == "a" {
			seen++
		}
	}
	if seen == 0 || seen > 35 {
		t.Errorf("after its return it got %d of 200, want a cold backend's share", seen)
	}
}

// With an empty list at the start, requests wait and are refused within their aim.
func TestNoBackend(t *testing.T) {
	for _, class := range []int{safe, unsafe, keyedZone} {
		r := newRig(t, settings(), 1, nil)
		acts := r.request("q", class)
		acts = append(acts, r.advance(399*ms)...)
		if final("q", acts) != "refuse" {
			t.Errorf("class %d: %q, want one refusal within the aim", class, final("q", acts))
		}
	}
	t.Run("list comes in time", func(t *testing.T) {
		r := newRig(t, settings(), 1, nil)
		r.request("q", safe)
		r.now += 50 * ms
		r.step(balance.List{Kind: balance.ListFull, Backends: backends(2)})
		if len(r.sent["q"]) != 1 {
			t.Error("the waiting request was not sent")
		}
	})
}

// A refusal carries the advised wait if clients are shown it (RetryAfter), at most MaxRetryAfter.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	for _, tt := range []struct {
		name      string
		told      bool
		most      time.Duration
		low, high time.Duration
	}{
		{"not shown", false, time.Hour, 0, 0},
		{"half to one and a half mean latencies", true, time.Hour, 50 * ms, 150 * ms},
		{"at most MaxRetryAfter", true, 20 * ms, 20 * ms, 20 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			s.RetryAfter, s.MaxRetryAfter = tt.told, tt.most
			r := newRig(t, s, 1, nil) // the mean latency starts at a quarter of the aim
			seen := map[time.Duration]bool{}
			for i := range 50 {
				r.request(fmt.Sprint(i), safe) // held in vain: there is no backend
				for _, a := range r.advance(time.Second) {
					if a, ok := a.(balance.Refuse); ok {
						seen[a.RetryAfter] = true
						if a.RetryAfter < tt.low || a.RetryAfter > tt.high {
							t.Errorf("RetryAfter is %v", a.RetryAfter)
						}
					}
				}
			}
			if len(seen) == 0 || tt.low < tt.high && len(seen) < 25 {
				t.Errorf("%d different waits advised", len(seen))
			}
		})
	}
}

// Latency above the target delay cuts the limit on attempts in flight. Requests beyond it wait and are then
// refused.
func TestInFlightLimit(t *testing.T) {
	s := settings()
	s.Balancers = 2
	r := newRig(t, s, 1, backends(2))
	for i := range 200 { // slow answers
		id := fmt.Sprint("s", i)
		r.request(id, safe)
		r.now += 350 * ms
		r.endAttempt(id, balance.OK, 350*ms)
	}
	out := 0
	var all []balance.Action
	for i := range 20 {
		id := fmt.Sprint("q", i)
		all = append(all, r.request(id, safe)...)
		out += len(r.sent[id])
	}
	// The minimum of the limit is 5 per backend, and a quarter more since another agent shares the two backends:
	// 6.25. This agent's half of it for both is 6.25 too: 7 attempts begin below it, and saved time allows one more.
	if want := 7; out < want || out > want+1 {
		t.Errorf("%d in flight, want this agent's share of 6.25 per backend, %d, and at most one from saved time", out, want)
	}
	repeat := r.step(balance.Request{ID: "again", Class: safe, TimeLeft: 2000 * ms, Repeat: true})
	if final("again", repeat) != "" {
		t.Errorf("a client's repeat: %v, want it held", repeat)
	}
	all = append(all, r.advance(400*ms)...)
	for i := range 20 {
		id := fmt.Sprint("q", i)
		if len(r.sent[id]) == 0 && final(id, all) != "refuse" {
			t.Errorf("%s: %q, want one refusal", id, final(id, all))
		}
	}
}

// With many agents, each agent's share of the limit on attempts in flight must shrink, also on idle backends
// (incident i6c6372).
func TestLimitIsSharedAmongAgents(t *testing.T) {
	inFlight := func(balancers int) (n int) {
		s := settings()
		s.Balancers = balancers
		r := newRig(t, s, 1, backends(10))
		for i := range 100 {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			n += len(r.sent[id])
		}
		return n
	}
	if one, many := inFlight(1), inFlight(20); many*10 > one {
		t.Errorf("%d in flight among 20 agents against %d alone", many, one)
	}
}

// The limit on attempts in flight must shrink when the list names fewer backends (incident ia38185).
func TestLimitFollowsTheList(t *testing.T) {
	r := newRig(t, settings(), 1, backends(10))
	r.step(balance.List{Kind: balance.ListFull, Backends: backends(2)})
	n := 0
	for i := range 100 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		n += len(r.sent[id])
	}
	if n > 12 {
		t.Errorf("%d in flight on two backends", n)
	}
}

// While the list still names dead backends, their part of the limit on attempts in flight must not be used at
// the live ones (incidents idacc77 and i574e74).
func TestLimitExcludesDownBackends(t *testing.T) {
	r := newRig(t, settings(), 1, backends(10))
	r.serve(50, safe, 5*ms)
	dead := map[string]bool{}
	for i := 0; len(dead) < 6 && i < 500; i++ {
		id := fmt.Sprint("d", i)
		r.request(id, safe)
		r.now += ms
		if b := r.sent[id][0]; b < "g" { // a to f
			dead[b] = true
			r.endAttempt(id, balance.ConnectFailed, ms)
		} else {
			r.endAttempt(id, balance.OK, ms)
		}
	}
	r.advance(50 * ms)
	n := 0
	for i := range 100 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		n += len(r.sent[id])
	}
	if n > 28 { // six for each of four backends, and a few for the growth of the limit
		t.Errorf("%d in flight on four live backends", n)
	}
}

// Attempts that hang at a backend without answers must not use up the room of the other backends, within the
// limit on attempts in flight, once that backend is ejected (incident ieb2a7b).
func TestHangingAttemptsUseNoRoom(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	r := newRig(t, s, 1, backends(3))
	r.serve(60, safe, 20*ms)
	r.now += ms
	var hung []string
	for i := range 18 {
		id := fmt.Sprint("h", i)
		r.request(id, safe)
		if len(r.sent[id]) == 1 && r.sent[id][0] == "a" {
			hung = append(hung, id)
		}
	}
	if len(hung) < 3 {
		t.Fatalf("only %v hang", hung)
	}
	r.now += 20 * ms
	for i := range 18 {
		if id := fmt.Sprint("h", i); len(r.sent[id]) == 1 && r.sent[id][0] != "a" {
			r.endAttempt(id, balance.OK, 20*ms)
		}
	}
	r.now += 100 * ms
	r.endAttempt(hung[0], balance.TimedOut, 120*ms)
	n := 0
	for i := range 40 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		for _, b := range r.sent[id] {
			if n++; b == "a" {
				t.Errorf("%s went to the backend that answers nothing", id)
			}
		}
	}
	if n < 12 {
		t.Errorf("%d in flight on the two that answer, want all of their room of 12", n)
	}
}

// A time-out counts as a latency in a backend's slowness, although it only gives a lower bound. Otherwise a
// backend that answers only its light requests would look fast because of those.
func TestTimeOutsRaiseSlowness(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	r := newRig(t, s, 3, backends(3))
	r.serve(60, safe, 20*ms)
	got := 0
	for round := range 60 {
		var hang []string
		answered := false
		for i := range 6 {
			r.request(fmt.Sprint("q", round, "-", i), safe)
		}
		r.now += 20 * ms
		for i := range 6 {
			id := fmt.Sprint("q", round, "-", i)
			if r.sent[id][0] == "a" {
				if got++; answered {
					hang = append(hang, id)
					continue
				}
				answered = true
			}
			r.endAttempt(id, balance.OK, 20*ms)
		}
		r.now += 60 * ms
		for _, id := range hang {
			r.endAttempt(id, balance.TimedOut, 80*ms)
		}
		r.now += 20 * ms
	}
	if got > 90 {
		t.Errorf("a backend that times out half its requests got %d of 360", got)
	}
}

// Most of a fleet that has grown fivefold is cold. The requests that the cold backends can't take yet must not
// overload the warm ones, together or one of them (incident i37feae).
func TestGrowthDoesNotOverloadWarmBackends(t *testing.T) {
	r := newRig(t, settings(), 1, backends(4))
	r.serve(100, safe, 50*ms)
	grown := backends(20)
	for i := 4; i < 20; i++ {
		grown[i].Started = r.now
	}
	r.step(balance.List{Kind: balance.ListFull, Backends: grown})
	warm := map[string]int{}
	for i := range 300 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		for _, b := range r.sent[id] {
			if b < "e" {
				warm[b]++
			}
		}
	}
	for id, n := range warm {
		if n > 18 { // three times the mean share of six attempts per backend
			t.Errorf("%s holds %d in flight", id, n)
		}
	}
	if sum := warm["a"] + warm["b"] + warm["c"] + warm["d"]; sum > 60 {
		t.Errorf("the four warm backends hold %d in flight", sum)
	}
}

// A few slow answers in a row, by chance, must not cut the limit of a busy agent whose mean latency is well
// within the aim but varies a lot (incident ieeee80).
func TestBusyAgentIsNotCutByChance(t *testing.T) {
	s := settings()
	s.Balancers = 2
	r := newRig(t, s, 1, backends(30))
	seq := []time.Duration{30, 40, 300, 20, 60, 380, 50, 90, 30, 100} // ms; mean 110 of an aim of 400
	refused, queue := 0, []string{}
	for i := range 4000 {
		id := fmt.Sprint("q", i)
		if final(id, r.request(id, safe)) != "" {
			refused++
		}
		queue = append(queue, id)
		r.now += ms
		if len(queue) > 75 {
			if len(r.sent[queue[0]]) > 0 {
				// latencies come in runs, so that twenty slow answers can follow each other
				r.endAttempt(queue[0], balance.OK, seq[(i/25)%10]*ms)
			}
			queue = queue[1:]
		}
	}
	if refused > 0 {
		t.Errorf("%d of 4000 refused", refused)
	}
}

// Backends that slow down under load reach three times their usual latency long before it gets near the aim.
// The limit must fall then, but not if the latency has always been as high (incident i3ae5f1).
func TestLimitFallsWithRisingLatency(t *testing.T) {
	inFlight := func(usual time.Duration) (n int) {
		r := newRig(t, settings(), 1, backends(2))
		r.serve(1500, safe, usual)
		// 0.245 of the aim. The target is 0.2 of it after a usual latency of 40 ms, so that the limit is cut,
		// and at least 0.25 after one of 98 ms, so that it is not.
		r.serve(200, safe, 98*ms)
		for i := range 40 {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			n += len(r.sent[id])
		}
		return n
	}
	if crowded, slow := inFlight(40*ms), inFlight(98*ms); crowded != 5*2 || slow != 6*2 {
		t.Errorf("%d in flight after a rise, want the minimum of 10; %d if latency was as high from the start, want 12", crowded, slow)
	}
}

// Many agents that raise their limits at the same time must not overshoot together (incident ieb2a7b).
func TestLimitGrowsPerBackend(t *testing.T) {
	total := func(balancers int) int {
		s := settings()
		s.Balancers = balancers
		r := newRig(t, s, 1, backends(20))
		var out []string // in flight, oldest first
		sends := func(actions []balance.Action) {
			for _, a := range actions {
				if a, ok := a.(balance.Send); ok {
					out = append(out, a.Request)
				}
			}
		}
		for i := range 200 { // requests beyond the limit are held
			sends(r.request(fmt.Sprint("q", i), safe))
		}
		for i := range 4 * len(out) { // four rounds of fast answers
			sends(r.endAttempt(out[0], balance.OK, 20*ms))
			out = out[1:]
			sends(r.request(fmt.Sprint("more", i), safe))
		}
		return len(out) * balancers
	}
	if one, many := total(1), total(20); one < 130 || many > one*3/2 {
		t.Errorf("after four rounds one agent has %d in flight, want growth from 120; 20 agents %d", one, many)
	}
}

// A try with less time left than usual is a repeat near the client's deadline. Unlike a first try it does
// not wait for room within the limit on attempts in flight.
func TestShortTimeLeftMarksRepeat(t *testing.T) {
	r := newRig(t, settings(), 1, backends(1))
	submit := func(id string, left time.Duration) []balance.Action {
		return r.step(balance.Request{ID: id, Class: safe, TimeLeft: left})
	}
	for i := range 20 { // about the usual time left
		submit(fmt.Sprint("f", i), 900*ms+time.Duration(i%3)*ms)
	}
	if got := final("first", submit("first", 899*ms)); got != "" {
		t.Errorf("a first try without room got %q at once, want it to wait", got)
	}
	if got := final("late", submit("late", 700*ms)); got != "refuse" {
		t.Errorf("a late try without room got %q, want a refusal at once", got)
	}
}

// With Settings.Subscribe, the Balancer subscribes once after a random wait at the start and after each failure,
// and not while it is subscribed; without, never.
func TestSubscribe(t *testing.T) {
	s := settings()
	s.Subscribe = true
	asks := func(acts []balance.Action) (n int) {
		for _, a := range acts {
			if _, ok := a.(balance.Subscribe); ok {
				n++
			}
		}
		return n
	}
	delays := map[time.Duration]bool{}
	for seed := uint64(0); seed < 10; seed++ {
		r := newRig(t, s, seed, backends(2))
		delays[r.due[0]-r.now] = true
		if n := asks(r.advance(s.AskWithin / 10)); n != 1 {
			t.Fatalf("subscribed %d times at the start, want once", n)
		}
		for range 8 { // each failure is followed by one more Subscribe
			r.step(balance.List{Kind: balance.ListFailed})
			if n := asks(r.advance(s.AskWithin / 2)); n != 1 {
				t.Fatalf("subscribed %d times after a failure, want once", n)
			}
		}
		r.step(balance.List{Kind: balance.ListFull, Backends: backends(2)})
		if n := asks(r.advance(time.Minute)); n != 0 {
			t.Errorf("subscribed %d times while subscribed", n)
		}
	}
	if len(delays) < 9 {
		t.Errorf("10 agents subscribe after only %d different waits", len(delays))
	}
	r := newRig(t, settings(), 1, backends(2))
	if n := asks(append(r.step(balance.List{Kind: balance.ListFailed}), r.advance(time.Minute)...)); n != 0 {
		t.Error("subscribed although the list arrives unasked")
	}
}

// Events on unknown objects, late events and repeated events do nothing.
func TestInvalidEventsAreIgnored(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.request("done", safe)
	r.now += 10 * ms
	r.endAttempt("done", balance.OK, 10*ms)
	r.request("open", unsafe)
	stray := []balance.Event{
		balance.Outcome{Request: "never", Result: balance.Errored},
		balance.Outcome{Request: "done", Result: balance.Errored},
		balance.Outcome{Request: "open", Attempt: 7, Result: balance.Errored},
		balance.Outcome{Request: "open", Attempt: -1, Result: balance.Errored},
		balance.TimerFired{Token: 99}, balance.TimerFired{Token: 0}, balance.TimerFired{Token: -5},
		balance.Abandoned{Request: "never"}, balance.Abandoned{Request: "done"},
		balance.StreamStarted{Request: "never"},
		balance.ProbeResult{Backend: "zz"},
		balance.PeerMessage{From: 44, Data: []byte{1}},
		balance.Request{ID: "bad", Class: 17, TimeLeft: time.Second},
		balance.Request{ID: "bad", Class: -1, TimeLeft: time.Second},
		balance.Request{ID: "open", Class: safe, TimeLeft: time.Second},
	}
	for _, e := range stray {
		if acts := r.step(e); len(acts) != 0 {
			t.Errorf("%#v: %v, want no action", e, acts)
		}
	}
	r.now += 10 * ms
	if acts := r.endAttempt("open", balance.Errored, 10*ms); final("open", acts) != "fail" {
		t.Errorf("the open request: %v, want its one failure", acts)
	}
	if acts := r.endAttempt("open", balance.Errored, 10*ms); len(acts) != 0 {
		t.Errorf("a repeated outcome: %v, want no action", acts)
	}
}

// An abandoned request gets no further actions, though its attempt still counts as in flight.
func TestAbandoned(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.request("q", safe)
	r.step(balance.Abandoned{Request: "q"})
	r.now += 10 * ms
	acts := r.endAttempt("q", balance.Errored, 10*ms)
	acts = append(acts, r.advance(3*time.Second)...)
	if len(acts) != 0 {
		t.Errorf("after the client left: %v", acts)
	}
}

// Once an answer has begun to stream, the request is neither retried nor answered by the balancer.
func TestStream(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.request("q", safe)
	r.step(balance.StreamStarted{Request: "q"})
	r.now += 10 * ms
	acts := r.step(balance.Outcome{Request: "q", Backend: r.sent["q"][0], Result: balance.Reset, Done: true})
	acts = append(acts, r.advance(3*time.Second)...)
	if len(acts) != 0 || len(r.sent["q"]) != 1 {
		t.Errorf("after a broken stream: %v", acts)
	}
}

// The same seed and events give the same actions.
func TestDeterminism(t *testing.T) {
	play := func(seed uint64) (log []string) {
		r := newRig(t, settings(), seed, backends(6))
		for i := range 400 {
			id := fmt.Sprint("q", i)
			log = append(log, fmt.Sprint(r.request(id, i%5)))
			r.now += 3 * ms
			if i%3 != 0 && len(r.sent[id]) > 0 {
				log = append(log, fmt.Sprint(r.endAttempt(id, balance.Result(i%6), 3*ms)))
			}
			log = append(log, fmt.Sprint(r.advance(2*ms)))
		}
		return log
	}
	if !reflect.DeepEqual(play(11), play(11)) {
		t.Error("two runs with one seed differ")
	}
	if reflect.DeepEqual(play(11), play(12)) {
		t.Error("two seeds give the same run")
	}
}

// A quiet agent gets no events between a request's timers. If the mean latency falls in between, the time at
// which the request is given up moves later; it must still be refused before its deadline (found at the large
// site ktm-census).
func TestHeldRequestGivesUpInTime(t *testing.T) {
	r := newRig(t, settings(), 1, backends(1))
	for i := range 3 {
		r.request(fmt.Sprint("q", i), unsafe)
	}
	r.step(balance.List{Backends: []balance.Backend{{ID: "a", State: balance.Draining}}})
	r.request("held", unsafe)
	for i := range 3 {
		r.endAttempt(fmt.Sprint("q", i), balance.OK, ms) // the mean falls
	}
	if got := final("held", r.advance(2000*ms)); got != "refuse" {
		t.Errorf("the held request ended %q within its deadline, want refuse", got)
	}
}

// In large fleets a quiet agent meets most backends for the first time, so it must pick among these by the
// slowness of their kind.
func TestUnknownBackendUsesKindSlowness(t *testing.T) {
	var list []balance.Backend
	for i := range 200 {
		list = append(list, balance.Backend{ID: fmt.Sprint("s", i), Kind: i % 2})
	}
	s := settings()
	s.Balancers = 500
	slow := 0
	for seed := range uint64(20) {
		r := newRig(t, s, seed, list)
		for i := range 30 {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			var n int
			fmt.Sscanf(r.sent[id][0], "s%d", &n)
			latency := 20 * ms
			if n%2 == 1 {
				latency = 80 * ms
				if i >= 15 {
					slow++
				}
			}
			r.now += latency
			r.endAttempt(id, balance.OK, latency)
		}
	}
	if slow > 45 { // of 300: in each of 20 runs, the last 15 requests
		t.Errorf("the slow kind got %d of the last 300 requests", slow)
	}
}

// In large fleets a quiet agent that picked evenly would open a connection for every other request, which
// costs time, backend work and room in the backends' connection tables.
func TestOpenConnectionsArePreferred(t *testing.T) {
	for _, tt := range []struct {
		name      string
		balancers int
		idle      time.Duration
		gap       time.Duration
		want      func(backends int) bool
	}{
		{"within the idle time", 60, 10 * time.Second, 0, func(n int) bool { return n <= 4 }},
		{"each closes before the next request", 60, ms, 10 * ms, func(n int) bool { return n > 15 }},
		{"slightly more agents than backends", 36, 10 * time.Second, 0, func(n int) bool { return n > 4 && n < 12 }},
		{"a busy agent", 2, 10 * time.Second, 0, func(n int) bool { return n > 10 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			s.IdleClose, s.Balancers = tt.idle, tt.balancers
			r := newRig(t, s, 1, backends(26))
			met := map[string]bool{}
			for range 40 {
				for id := range r.serve(1, safe, 20*ms) {
					met[id] = true
				}
				r.advance(tt.gap)
			}
			if !tt.want(len(met)) {
				t.Errorf("%d backends used", len(met))
			}
		})
	}
}

// In large fleets, a thousand agents that each rounded their share of the limit up to one attempt would
// overload the backends.
func TestQuietAgentStaysWithinLimitShare(t *testing.T) {
	for _, tt := range []struct {
		name      string
		balancers int
		latency   time.Duration
		want      func(sent int) bool
	}{
		{"alone, slow", 1, 250 * ms, func(n int) bool { return n == 60 }},
		{"many, slow", 1000, 250 * ms, func(n int) bool { return n > 3 && n < 25 }},
		{"ic3355f, a share above one at the start, slow", 60, 250 * ms, func(n int) bool { return n > 20 && n < 55 }},
		{"many, fast", 1000, 60 * ms, func(n int) bool { return n > 50 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			s.Balancers = tt.balancers
			r := newRig(t, s, 1, backends(20))
			sent := 0
			for i := range 60 {
				id := fmt.Sprint("q", i)
				if r.request(id, safe); len(r.sent[id]) == 0 {
					r.step(balance.Abandoned{Request: id})
				}
				r.advance(tt.latency)
				if len(r.sent[id]) > 0 {
					sent++
					r.endAttempt(id, balance.OK, tt.latency)
				}
				r.advance(250*ms - tt.latency)
			}
			if !tt.want(sent) {
				t.Errorf("%d of 60 sent", sent)
			}
		})
	}
}

// A quiet agent gets no answers between its attempts, so each of its time-outs looks like that of a dead
// backend. The time-outs must lower its limit all the same (incidents i5108da and if78252).
func TestQuietAgentTimeOutsCutLimit(t *testing.T) {
	sent := map[balance.Result]int{}
	for _, res := range []balance.Result{balance.OK, balance.TimedOut} {
		s := settings()
		s.Balancers = 60
		r := newRig(t, s, 1, backends(20))
		for i := range 80 {
			id := fmt.Sprint("q", i)
			if r.request(id, unsafe); len(r.sent[id]) > 0 {
				sent[res]++
			} else {
				r.step(balance.Abandoned{Request: id})
			}
			r.advance(400 * ms)
			if len(r.sent[id]) > 0 {
				r.endAttempt(id, res, 400*ms)
			}
		}
	}
	if ok, out := sent[balance.OK], sent[balance.TimedOut]; out > ok*5/4 {
		t.Errorf("%d of 80 sent with late answers, %d with time-outs", ok, out)
	}
}

// Agents that see only their own few attempts overload some backends while others idle (incident ie3262b). A
// backend's report of the load that other agents cause there steers picks, and the report's effect fades with
// its age; without reports, nothing but the agent's own attempts steers picks.
func TestReportsSteerPicks(t *testing.T) {
	report := func(held float64) balance.Load {
		return balance.Load{Valid: held >= 0, Outstanding: held, Queue: -1, Utilization: -1, Service: -1,
			Throughput: -1, ErrorsPerSec: -1}
	}
	for _, tt := range []struct {
		name  string
		held  func(backend string) float64
		later time.Duration
		want  func(a int) bool // the number of attempts at backend a, of 400 over four backends
	}{
		{"one crowded", func(id string) float64 { return map[string]float64{"a": 7}[id] + 1 }, 0, func(a int) bool { return a < 10 }},
		{"one empty", func(id string) float64 { return map[string]float64{"a": -3}[id] + 4 }, 0, func(a int) bool { return a > 380 }},
		{"one crowded long ago", func(id string) float64 { return map[string]float64{"a": 7}[id] + 1 }, time.Minute, func(a int) bool { return a > 60 && a < 140 }},
		{"no reports", func(string) float64 { return -1 }, 0, func(a int) bool { return a > 60 && a < 140 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, settings(), 2, backends(4))
			serve := func(n int, load func(string) balance.Load) (at int) {
				for range n {
					id := fmt.Sprint("q", len(r.sent))
					r.request(id, safe)
					if r.sent[id][0] == "a" {
						at++
					}
					r.now += 20 * ms
					r.step(balance.Outcome{Request: id, Backend: r.sent[id][0], Latency: 20 * ms, Done: true, Load: load(r.sent[id][0])})
				}
				return at
			}
			serve(80, func(id string) balance.Load { return report(tt.held(id)) })
			r.now += tt.later
			fresh := func(id string) balance.Load { return report(tt.held(id)) }
			if tt.later > 0 {
				fresh = func(string) balance.Load { return report(-1) }
			}
			if a := serve(400, fresh); !tt.want(a) {
				t.Errorf("%d of 400 attempts went to a", a)
			}
		})
	}
}

// The minimum of the limit follows the parallelism of backends: five attempts at each of many single-core
// backends form queues that outlast the aim and overload them (site almaty-harvest, day big-1).
func TestMinimumLimitFollowsParallelism(t *testing.T) {
	for _, tt := range []struct {
		name          string
		held, waiting float64
		want          int
	}{
		{"one at a time", 5, 4, 15},
		{"many at a time", 9, 1, 50},
		{"not reported", -1, -1, 50},
	} {
		r := newRig(t, settings(), 1, backends(10))
		for i := range 200 {
			id := fmt.Sprint("s", i)
			r.request(id, safe)
			r.now += 350 * ms
			r.step(balance.Outcome{Request: id, Backend: r.sent[id][0], Latency: 350 * ms, Done: true,
				Load: balance.Load{Valid: true, Outstanding: tt.held, Queue: tt.waiting}})
		}
		out := 0
		for i := range 80 {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			out += len(r.sent[id])
		}
		if out != tt.want {
			t.Errorf("%s: %d in flight, want %d", tt.name, out, tt.want)
		}
	}
}

// If answers bring load reports, a quiet agent's time-out is a lost answer, no sign of overload, and must not cut
// its limit (site brno-forecast, day big-2). Without reports it must (see TestQuietAgentTimeOutsCutLimit).
func TestTimeOutsWithReportsKeepLimit(t *testing.T) {
	sent := map[balance.ReportSource]int{}
	for _, reports := range []balance.ReportSource{balance.ReportsOff, balance.ReportsInline} {
		s := settings()
		s.Balancers, s.Reports = 200, reports
		r := newRig(t, s, 1, backends(20))
		for i := range 200 {
			id := fmt.Sprint("q", i)
			if r.request(id, unsafe); len(r.sent[id]) > 0 {
				sent[reports]++
			} else {
				r.step(balance.Abandoned{Request: id})
			}
			r.advance(80 * ms)
			if len(r.sent[id]) > 0 && i%2 == 0 {
				r.advance(320 * ms)
				r.endAttempt(id, balance.TimedOut, 400*ms)
			} else if len(r.sent[id]) > 0 {
				r.endAttempt(id, balance.OK, 80*ms)
			}
		}
	}
	if crowd, lost := sent[balance.ReportsOff], sent[balance.ReportsInline]; lost < crowd*5/4 {
		t.Errorf("%d of 200 sent with load reports, %d without", lost, crowd)
	}
}

// The higher the price of crossing zones, the fewer attempts cross.
func TestCrossingByPrice(t *testing.T) {
	crossed := func(price float64) int {
		s := settings()
		s.Prices.CrossZone = price
		r := newRig(t, s, 2, backends(4)) // two in this zone, two in another
		r.serve(40, safe, 300*ms)         // cuts the limit, as chance may do, which must not cause crossing for long
		counts := r.serve(400, safe, 50*ms)
		return counts["c"] + counts["d"]
	}
	if none, low, high := crossed(0), crossed(0.01), crossed(0.1); none < 160 || low > 180 || low < 60 || high > 50 {
		t.Errorf("%d of 400 cross at no price, %d at a price of 0.01, %d at 0.1", none, low, high)
	}
}

// A backend without answers is picked in proportion to its weight in the list. Otherwise slow machines get as much
// as fast ones and are overloaded within two seconds of the start (site kohad-tallinn, day big-1).
func TestUnknownBackendUsesListWeight(t *testing.T) {
	list := backends(4)
	for i := range list {
		list[i].Kind, list[i].Weight, list[i].Zone = i%2, float64(1+7*(i%2)), 0
	}
	big := 0
	for seed := uint64(0); seed < 400; seed++ {
		s := settings()
		s.Balancers = 100 // a quiet agent learns little from one answer
		r := newRig(t, s, seed, list)
		r.request("q", safe)
		if id := r.sent["q"][0]; id == "b" || id == "d" {
			big++
		}
	}
	if big < 320 {
		t.Errorf("%d of 400 first attempts went to the heavy kind, want 8 in 9", big)
	}
}

// Lost answers must not use up the room that a quiet agent has within its limit (incident i42971b, also site
// brno-forecast, day big-2).
func TestOverdueAttemptsUseNoRoom(t *testing.T) {
	for _, tt := range []struct {
		reports balance.ReportSource
		want    func(sent int) bool
	}{
		{balance.ReportsInline, func(n int) bool { return n >= 9 }},
		{balance.ReportsOff, func(n int) bool { return n < 6 }},
	} {
		s := settings()
		s.Balancers, s.Reports = 200, tt.reports
		r := newRig(t, s, 1, backends(20))
		r.serve(1, safe, 20*ms)
		for i := range 16 { // none is answered; the time between two is enough for several attempts
			r.request(fmt.Sprint("q", i), safe)
			r.advance(400 * ms)
		}
		if n := len(r.sent) - 1; !tt.want(n) {
			t.Errorf("reports %d: %d of 16 sent", tt.reports, n)
		}
	}
}

// Without a warm backend there is nothing to compute the budget of a cold one from. An agent must still send
// some requests before the ramp (RampTime) has passed.
func TestWholeFleetCold(t *testing.T) {
	list := backends(4)
	for i := range list {
		list[i].Started = time.Hour
	}
	r := newRig(t, settings(), 1, list)
	sent := 0
	for i := range 100 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		r.advance(50 * ms)
		if len(r.sent[id]) > 0 {
			sent++
			r.endAttempt(id, balance.OK, 50*ms)
		}
	}
	if sent < 5 || sent > 40 {
		t.Errorf("%d of 100 sent to a cold fleet within half its warm-up, want a few", sent)
	}
}

// A report that does not count the attempt that it came with is stale and must not steer picks.
func TestStaleReportsDoNotSteerPicks(t *testing.T) {
	r := newRig(t, settings(), 2, backends(4))
	at := 0
	for i := range 400 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		held := 6.0
		if r.sent[id][0] == "a" {
			held = 0 // as before the attempt arrived
			at++
		}
		r.now += 20 * ms
		r.step(balance.Outcome{Request: id, Backend: r.sent[id][0], Latency: 20 * ms, Done: true,
			Load: balance.Load{Valid: true, Outstanding: held, Queue: -1}})
	}
	if at > 180 {
		t.Errorf("%d of 400 attempts went to the backend with stale reports, want about a quarter", at)
	}
}

// An attempt that has timed out still runs at the backend, so it must keep using a quiet agent's room within
// the limit (incident ibd8710).
func TestTimeOutsUseSavedTime(t *testing.T) {
	next := map[balance.Result]int{}
	for _, res := range []balance.Result{balance.OK, balance.TimedOut} {
		s := settings()
		s.Balancers = 60
		r := newRig(t, s, 1, backends(20))
		r.serve(20, unsafe, 100*ms)
		r.request("q", unsafe)
		r.advance(400 * ms)
		r.endAttempt("q", res, 400*ms)
		for i := 0; i < 400; i++ { // counts the attempts for which there is still room
			id := fmt.Sprint("fill", i)
			if r.request(id, unsafe); len(r.sent[id]) == 0 {
				break
			}
			next[res]++
			r.endAttempt(id, balance.OK, 100*ms)
		}
	}
	if next[balance.TimedOut] >= next[balance.OK] {
		t.Errorf("%d attempts went out after a time-out, %d after an answer as late", next[balance.TimedOut], next[balance.OK])
	}
}

// Ejections must last longer the more agents there are per backend, or the agents' trials together never let
// the backend rest (incident ibd8710).
func TestEjectionGrowsWithAgents(t *testing.T) {
	back := func(balancers int) time.Duration {
		s := settings()
		s.Balancers = balancers
		r := newRig(t, s, 1, backends(2))
		for i := 0; ; i++ {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			r.advance(10 * ms)
			if len(r.sent[id]) == 0 {
				continue
			}
			if r.sent[id][0] == "a" {
				r.endAttempt(id, balance.Errored, 10*ms)
				break
			}
			r.endAttempt(id, balance.OK, 10*ms)
		}
		from := r.now
		for i := 0; i < 20000; i++ {
			id := fmt.Sprint("after", i)
			r.request(id, safe)
			r.advance(10 * ms)
			if len(r.sent[id]) > 0 && r.sent[id][0] == "a" {
				return r.now - from
			} else if len(r.sent[id]) > 0 {
				r.endAttempt(id, balance.OK, 10*ms)
			}
		}
		return time.Hour
	}
	if few, many := back(2), back(80); many < 5*few || many > time.Minute {
		t.Errorf("tried again after %v by one of 2 agents, after %v by one of 80", few, many)
	}
}

// Small versions of site kohad-tallinn were overloaded at a mean delay of 0.55 of the aim. The limit may let
// latency rise that far only if fresh load reports keep agents from crowding at a backend. Without reports
// the minimum of the limit still allows one attempt more than a backend's four cores: with a minimum of
// four, on a day with two of eight backends down or very slow, a sixth of all requests was refused while
// half of the answers came within a sixth of the aim.
func TestTargetDelayNeedsFreshReports(t *testing.T) {
	inFlight := func(load balance.Load) (n int) {
		r := newRig(t, settings(), 1, backends(4))
		for i := range 300 {
			id := fmt.Sprint("s", i)
			r.request(id, safe)
			latency := 80 * ms // below both targets, until the reports count as fresh
			if i >= 60 {
				latency = 180 * ms // 0.45 of the aim
			}
			r.now += latency
			r.step(balance.Outcome{Request: id, Backend: r.sent[id][0], Latency: latency, Done: true, Load: load})
		}
		for i := range 60 {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			n += len(r.sent[id])
		}
		return n
	}
	fresh := inFlight(balance.Load{Valid: true, Outstanding: 5, Queue: -1})
	none := inFlight(balance.Load{Outstanding: -1, Queue: -1})
	if none != 5*4 || fresh < 6*4 {
		t.Errorf("%d in flight without reports, want the minimum of 20; %d with fresh ones, want 24 or more", none, fresh)
	}
}

// A backend that rejects one class for seconds soon gets little of it, and still gets the other classes.
func TestRejectedClassAvoidsBackend(t *testing.T) {
	r := newRig(t, settings(), 1, backends(4))
	turned, others := 0, 0
	for i := range 600 {
		class := []int{safe, unsafe}[i%2]
		id := fmt.Sprint("q", i)
		r.request(id, class)
		r.now += 10 * ms
		for n := 0; n < len(r.sent[id]); n++ {
			if b := r.sent[id][n]; b == "a" && class == unsafe {
				turned++
				r.step(balance.Outcome{Request: id, Attempt: n, Backend: b, Result: balance.Full, Latency: 10 * ms,
					Load: balance.Load{Outstanding: -1, Queue: -1}})
				break
			} else if b == "a" {
				others++
			}
			r.step(balance.Outcome{Request: id, Attempt: n, Backend: r.sent[id][n], Result: balance.OK, Latency: 10 * ms, Done: true,
				Load: balance.Load{Outstanding: -1, Queue: -1}})
		}
	}
	if turned > 45 || others < 40 { // an even share is 75 of each class
		t.Errorf("backend a got %d of the class that it rejects, %d of the other", turned, others)
	}
}

// If answers bring load reports, time-outs, whose answers are lost, must not cut a busy agent's limit either (a
// small version of site brno-forecast, day big-2).
func TestBusyAgentKeepsLimitWithLostAnswers(t *testing.T) {
	inFlight := map[balance.ReportSource]int{}
	for _, reports := range []balance.ReportSource{balance.ReportsOff, balance.ReportsInline} {
		s := settings()
		s.Reports = reports
		r := newRig(t, s, 1, backends(4))
		for i := range 200 {
			lost, served := fmt.Sprint("lost", i), fmt.Sprint("served", i)
			r.request(lost, unsafe)
			r.request(served, unsafe)
			r.now += 50 * ms
			if len(r.sent[served]) > 0 {
				r.endAttempt(served, balance.OK, 50*ms)
			}
			if i >= 8 && len(r.sent[fmt.Sprint("lost", i-8)]) > 0 {
				r.endAttempt(fmt.Sprint("lost", i-8), balance.TimedOut, 400*ms)
			}
		}
		for i := range 60 {
			id := fmt.Sprint("q", i)
			r.request(id, unsafe)
			inFlight[reports] += len(r.sent[id])
		}
	}
	if crowd, lost := inFlight[balance.ReportsOff], inFlight[balance.ReportsInline]; lost < crowd*3/2 {
		t.Errorf("%d more in flight with load reports, %d without", lost, crowd)
	}
}
