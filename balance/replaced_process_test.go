package balance_test

import (
	"testing"

	"lemonrail/balance"
)

// Guards against a keyed request that runs twice: a new process has come up in another zone under the name of the one that may
// have run it, so that the backends of that zone don't know its key.
func TestKeyedRetryStaysInTheZoneOfItsFirstAttempt(t *testing.T) {
	for name, zone := range map[string]int{"unchanged": 0, "moved": 1} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				first := balance.Backend{ID: "a", Zone: 0}
				r := newRig(t, settings(), seed, []balance.Backend{first})
				r.request("q", keyedZone)
				r.now += 5 * ms
				first.Zone, first.Started = zone, r.now
				r.step(balance.List{Kind: balance.ListFull, Backends: []balance.Backend{first, {ID: "same", Zone: 0}, {ID: "other", Zone: 1}}})
				r.now += 5 * ms
				r.endAttempt("q", balance.TimedOut, 10*ms)
				r.advance(200 * ms)
				for _, id := range r.sent["q"][1:] {
					if id != "same" {
						t.Errorf("seed %d: attempts at %v", seed, r.sent["q"])
					}
				}
			}
		})
	}
}
