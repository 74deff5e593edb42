package balance_test

import (
	"fmt"
	"testing"
	"time"

	"lemonrail/balance"
)

// requestKeys plays rounds of requests, one for each key in a round, one at a time, and returns for each key the
// number of its requests by backend. A backend that has served a key before takes two fifths of the time for it.
func requestKeys(t *testing.T, s balance.Settings, seed uint64, rounds, keys int) map[string]map[string]int {
	t.Helper()
	r := newRig(t, s, seed, backends(8))
	got := map[string]map[string]int{}
	for i := range rounds * keys {
		id, key := fmt.Sprint("q", i), fmt.Sprint("k", i%keys)
		r.step(balance.Request{ID: id, Class: safe, Key: key, TimeLeft: 2000 * ms})
		if len(r.sent[id]) != 1 {
			t.Fatalf("request %d of an idle site was sent %d times", i, len(r.sent[id]))
		}
		to := r.sent[id][0]
		if got[key] == nil {
			got[key] = map[string]int{}
		}
		latency := 5 * ms
		if got[key][to]++; got[key][to] > 1 {
			latency = 2 * ms
		}
		r.now += latency
		r.step(balance.Outcome{Request: id, Backend: to, Result: balance.OK, Latency: latency, Done: true})
		r.now += ms
	}
	return got
}

// With WarmKeys, most requests for a key go to the backend that served it before; without, they spread.
func TestKeyStaysAtKnownBackend(t *testing.T) {
	share := func(warm bool) float64 {
		s := settings()
		s.WarmKeys = warm
		most, all := 0, 0
		for _, at := range requestKeys(t, s, 7, 20, 40) {
			top := 0
			for _, n := range at {
				top, all = max(top, n), all+n
			}
			most += top
		}
		return float64(most) / float64(all)
	}
	if got := share(true); got < 0.8 {
		t.Errorf("%.2f of a key's requests went to its usual backend, want 0.8 at least", got)
	}
	if got := share(false); got > 0.5 { // by chance, a key's most used backend of 8 gets 0.25 or so
		t.Errorf("without warm keys %.2f of a key's requests went to one backend", got)
	}
}

// Agents that know nothing about a key mostly send it to the same backend, without messages between them.
func TestAgentsAgreeOnKeyHome(t *testing.T) {
	s := settings()
	s.WarmKeys, s.Balancers = true, 2
	one := requestKeys(t, s, 1, 1, 200)
	s.Self = 1
	other := requestKeys(t, s, 2, 1, 200)
	same := 0
	for key, at := range one {
		for to := range at {
			same += other[key][to]
		}
	}
	if same < 140 { // by chance it would be one key in 8, 25
		t.Errorf("two agents chose the same backend for %d of 200 keys", same)
	}
}

// Requests for one popular key must not pile up at the backends that know it.
func TestPopularKeySpreads(t *testing.T) {
	s := settings()
	s.WarmKeys = true
	r := newRig(t, s, 3, backends(8))
	out := map[string]int{}
	for i := range 16 {
		id := fmt.Sprint("q", i)
		r.step(balance.Request{ID: id, Class: safe, Key: "one", TimeLeft: 2000 * ms})
		for _, to := range r.sent[id] {
			out[to]++
		}
	}
	for to, n := range out {
		if n > 4 {
			t.Errorf("backend %s holds %d of 16 requests for one key", to, n)
		}
	}
	if len(out) < 4 {
		t.Errorf("16 requests at once for one key use %d of 8 backends", len(out))
	}
}

// A key is forgotten after some time: requests for other keys then spread over the backends.
func TestKeysAreForgotten(t *testing.T) {
	s := settings()
	s.WarmKeys = true
	r := newRig(t, s, 5, backends(2))
	ask := func(i int, key string) string {
		id := fmt.Sprint("q", i)
		r.step(balance.Request{ID: id, Class: safe, Key: key, TimeLeft: 2000 * ms})
		to := r.sent[id][0]
		r.now += 2 * ms
		r.step(balance.Outcome{Request: id, Backend: to, Result: balance.OK, Latency: 2 * ms, Done: true})
		return to
	}
	first := ask(0, "first")
	for i := range 50 {
		if to := ask(1+i, "first"); to != first {
			t.Fatalf("request %d for a known key went to %s, not %s", i, to, first)
		}
	}
	r.now += time.Minute // longer than backends are assumed to remember keys
	moved := 0
	for i := range 400 {
		if ask(100+i, fmt.Sprint("other", i)) != first {
			moved++
		}
	}
	if moved < 100 || moved > 300 {
		t.Errorf("of 400 keys asked for once %d went to one of two backends", moved)
	}
}

// At the limit, a held request whose key a backend knows is sent first, since it takes less backend time.
func TestKnownKeysAreSentFirstAtLimit(t *testing.T) {
	for _, warm := range []bool{true, false} {
		s := settings()
		s.WarmKeys = warm
		r := newRig(t, s, 1, backends(1))
		ask := func(id, key string) {
			r.step(balance.Request{ID: id, Class: safe, Key: key, TimeLeft: 2000 * ms})
			r.now += ms
		}
		for i := range 50 {
			ask(fmt.Sprint("q", i), "known")
		}
		if len(r.sent["q49"]) > 0 {
			t.Fatal("50 requests found room at one backend")
		}
		ask("known", "known")
		ask("new", "new")
		first := ""
		for i := 0; i < 5 && first == ""; i++ {
			for _, a := range r.step(balance.Outcome{Request: fmt.Sprint("q", i), Backend: "a",
				Result: balance.OK, Latency: 20 * ms, Done: true}) {
				if a, ok := a.(balance.Send); ok && first == "" {
					first = a.Request
				}
			}
		}
		if want := map[bool]string{true: "known", false: "new"}[warm]; first != want {
			t.Errorf("warm keys %v: %q was sent first, want %q", warm, first, want)
		}
	}
}
