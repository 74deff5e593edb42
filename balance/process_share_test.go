package balance_test

import (
	"fmt"
	"testing"
	"time"

	"lemonrail/balance"
)

// sends counts the Send actions.
func sends(actions []balance.Action) (n int) {
	for _, a := range actions {
		if _, ok := a.(balance.Send); ok {
			n++
		}
	}
	return n
}

// While two processes serve for one agent, each keeps to its share of the limit; a single process has all of
// it.
func TestProcessShareOfLimit(t *testing.T) {
	fill := func(parts ...float64) int {
		b, err := balance.New(balance.Settings{Balancers: 1, MaxAttempts: 3, RampTime: time.Second,
			Classes: []balance.Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		var list []balance.Backend
		for i := range 10 {
			list = append(list, balance.Backend{ID: fmt.Sprint("h", i)})
		}
		events := []balance.Event{balance.List{Kind: balance.ListFull, Backends: list}}
		for _, p := range parts {
			events = append(events, balance.ProcessShare{Share: p})
		}
		b.Step(time.Second, events)
		events = nil
		for i := range 200 {
			events = append(events, balance.Request{ID: fmt.Sprint("r", i), TimeLeft: 2 * time.Second})
		}
		return sends(b.Step(time.Second+time.Millisecond, events))
	}
	whole := fill()
	if whole < 20 {
		t.Fatalf("only %d attempts of a single process", whole)
	}
	if got := fill(0.5); got < whole/2-1 || got > whole/2+1 {
		t.Errorf("share 0.5: %d attempts of %d", got, whole)
	}
	if got := fill(0.5, 1); got != whole {
		t.Errorf("share 1 after 0.5: %d attempts of %d", got, whole)
	}
	if got := fill(0); got < 1 || got > whole/10 {
		t.Errorf("share 0: %d attempts of %d", got, whole)
	}
}

// Two processes together have as many retry tokens as one.
func TestProcessShareOfRetryTokens(t *testing.T) {
	retries := func(part float64) (n int) {
		b, err := balance.New(balance.Settings{Balancers: 1, MaxAttempts: 2, RampTime: time.Second,
			Classes: []balance.Class{{Aim: time.Second, Deadline: 20 * time.Second, Worth: 1}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Second
		b.Step(now, []balance.Event{balance.ProcessShare{Share: part}, balance.List{Kind: balance.ListFull,
			Backends: []balance.Backend{{ID: "a"}, {ID: "b"}}}})
		for i := range 100 { // each fails once; a retry shows as the timer of its backoff
			now += time.Millisecond
			id := fmt.Sprint("r", i)
			for _, a := range b.Step(now, []balance.Event{balance.Request{ID: id, TimeLeft: 20 * time.Second}}) {
				s, ok := a.(balance.Send)
				if !ok {
					continue
				}
				for _, after := range b.Step(now, []balance.Event{balance.Outcome{Request: id, Backend: s.Backend,
					Result: balance.Full, Load: balance.NoLoad()}}) {
					if _, waits := after.(balance.SetTimer); waits {
						n++
					}
				}
			}
			now += time.Minute // no backend counts as full any longer
		}
		return n
	}
	whole, half := retries(1), retries(0.5)
	if whole == 0 || half != whole/2 {
		t.Errorf("%d retries with half of the tokens, %d with all", half, whole)
	}
}
