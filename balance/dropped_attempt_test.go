package balance_test

import (
	"testing"
	"time"

	"lemonrail/balance"
)

// An attempt that was dropped unsent, since its backend takes no new requests, is made again at once at
// another backend: for every class, and even with an empty retry bucket. No backend is ejected for it.
func TestDroppedAttemptIsRetriedElsewhere(t *testing.T) {
	for class := range settings().Classes {
		s := settings()
		s.SecondCopies = class == keyedAll
		r := newRig(t, s, 1, backends(2))
		r.request("q", class)
		first := r.sent["q"][0]
		other := map[string]string{"a": "b", "b": "a"}[first]
		r.step(balance.List{Kind: balance.ListDelta, Backends: []balance.Backend{{ID: first, State: balance.Draining}}},
			balance.Outcome{Request: "q", Attempt: 0, Backend: first, Result: balance.DroppedUnsent, Load: balance.NoLoad()})
		if got := r.sent["q"]; len(got) != 2 || got[1] != other {
			t.Errorf("class %d: sent to %v", class, got)
		}
		if ejected := r.b.Ejected(r.now); len(ejected) != 0 {
			t.Errorf("class %d: %v ejected", class, ejected)
		}
	}
}

// If a client leaves while its request is held or backs off, the request is not sent later.
func TestAbandonedIsNotSent(t *testing.T) {
	for seed := range uint64(300) {
		r := newRig(t, settings(), seed, backends(2))
		r.request("backoff", safe)
		r.step(balance.Outcome{Request: "backoff", Attempt: 0, Backend: r.sent["backoff"][0], Result: balance.ConnectFailed, Load: balance.NoLoad()})
		// The client leaves before the timer, in the same step as the timer, or in the same step as an
		// outcome.
		switch seed % 4 {
		case 0:
			r.step(balance.Abandoned{Request: "backoff"})
		case 1:
			r.step(balance.Abandoned{Request: "backoff"}, r.timers[len(r.timers)-1])
		case 2:
			r.request("early", safe)
			r.step(balance.Abandoned{Request: "early"}, balance.Outcome{Request: "early", Attempt: 0, Backend: r.sent["early"][0],
				Result: balance.DroppedUnsent, Done: true, Load: balance.NoLoad()}, balance.Abandoned{Request: "backoff"})
		case 3:
			r.request("unsafe", unsafe)
			r.step(balance.Outcome{Request: "unsafe", Attempt: 0, Backend: r.sent["unsafe"][0], Result: balance.Full, Load: balance.NoLoad()},
				balance.Abandoned{Request: "unsafe"}, balance.Abandoned{Request: "backoff"})
		}
		for n := 0; n < 100; n++ { // fills the limit, so that later requests are held
			r.request(string(rune(1000+n)), safe)
		}
		if len(r.sent["held"]) == 0 {
			r.request("held", safe)
		}
		before := map[string]int{}
		for _, id := range []string{"backoff", "held", "early", "unsafe"} {
			before[id] = len(r.sent[id])
			r.step(balance.Abandoned{Request: id})
		}
		for n := 0; n < 50; n++ { // makes room
			id := string(rune(1000 + n))
			if len(r.sent[id]) > 0 {
				r.step(balance.Outcome{Request: id, Attempt: 0, Backend: r.sent[id][0], Result: balance.OK, Latency: time.Millisecond, Done: true, Load: balance.NoLoad()})
			}
		}
		r.advance(5 * time.Second)
		for id, n := range before {
			if len(r.sent[id]) != n {
				t.Fatalf("seed %d: %s was sent on after its client had left", seed, id)
			}
		}
		if before["held"] != 0 {
			t.Fatalf("seed %d: nothing was held", seed)
		}
	}
}

// After a ListFailed with RetryWithin, the next Subscribe comes within that time for any number of agents
// and failures, so that changes missed by a broken watch arrive soon. Without RetryWithin the wait grows with
// the fleet.
func TestSubscribeRetryWithin(t *testing.T) {
	for _, agents := range []int{1, 5, 300} {
		longest := time.Duration(0)
		for seed := range uint64(200) {
			s := settings()
			s.Balancers, s.Subscribe = agents, true
			r := newRig(t, s, seed, backends(2))
			for _, within := range []time.Duration{time.Second, time.Second, 0} {
				for _, a := range r.step(balance.List{Kind: balance.ListFailed, RetryWithin: within}) {
					if set, ok := a.(balance.SetTimer); ok && within > 0 && set.After > within {
						t.Errorf("%d agents: subscribes again after %v", agents, set.After)
					} else if ok && within == 0 {
						longest = max(longest, set.After)
					}
				}
			}
		}
		if agents == 300 && longest < 5*time.Second {
			t.Errorf("the longest wait of 300 agents is %v", longest)
		}
	}
}

// A retry of a keyed request may not be written once backends have forgotten the key: a connection may take
// longer to come up than is left of the window. Other sends have no such bound.
func TestKeyedRetryIsBoundByWindow(t *testing.T) {
	for class, c := range settings().Classes {
		r := newRig(t, settings(), 1, backends(2))
		r.request("q", class)
		first := r.now
		send := func() (s balance.Send) {
			for _, a := range r.actions {
				if x, ok := a.(balance.Send); ok {
					s = x
				}
			}
			return s
		}
		if s := send(); s.WriteBy != 0 {
			t.Errorf("class %d: the first attempt is bound to %v", class, s.WriteBy)
		}
		res := balance.Reset
		if class == unsafe {
			res = balance.Full
		}
		r.endAttempt("q", res, time.Millisecond)
		var again balance.Send
		for _, a := range r.advance(250 * ms) {
			if x, ok := a.(balance.Send); ok {
				again = x
			}
		}
		want := time.Duration(0)
		if c.Effect == balance.Keyed {
			want = first + c.Window
		}
		if again.Request != "q" || again.WriteBy != want {
			t.Errorf("class %d: sent again %+v, want by %v", class, again, want)
			continue
		}
		if c.Effect != balance.Keyed {
			continue
		}
		r.now = first + c.Window // the connection has not come up by then; the request must fail at once
		got := r.step(balance.Outcome{Request: "q", Attempt: 1, Backend: again.Backend, Result: balance.DroppedUnsent, Load: balance.NoLoad()})
		if len(got) != 1 || got[0] != (balance.Fail{Request: "q"}) {
			t.Errorf("class %d: got %v", class, got)
		}
	}
}
