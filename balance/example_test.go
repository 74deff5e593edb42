package balance_test

import (
	"fmt"
	"time"

	"lemonrail/balance"
)

// A request with a first attempt that fails and a retry that is served. The agent owns the clock, the timers
// and the connections.
func Example() {
	b, err := balance.New(balance.Settings{
		Balancers:   1,
		MaxAttempts: 3,
		Classes: []balance.Class{
			{Aim: 200 * time.Millisecond, Deadline: time.Second, Worth: 1, Effect: balance.Safe},
		},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	var backend string
	var timer int64
	step := func(events ...balance.Event) {
		for _, action := range b.Step(now, events) {
			switch a := action.(type) {
			case balance.Send: // start the attempt and pass its Outcome to Step when it ends
				fmt.Println("send", a.Request)
				backend = a.Backend
			case balance.SetTimer: // pass TimerFired to Step when the timer is due
				fmt.Println("set a timer")
				timer = a.Token
			case balance.Refuse:
				fmt.Println("refuse", a.Request)
			case balance.Fail:
				fmt.Println("fail", a.Request)
			}
		}
	}
	step(balance.List{Kind: balance.ListFull, Backends: []balance.Backend{{ID: "10.0.0.1:80"}, {ID: "10.0.0.2:80"}}})
	step(balance.Request{ID: "r1", Class: 0, TimeLeft: time.Second})

	first := backend
	now += 3 * time.Millisecond
	step(balance.Outcome{Request: "r1", Attempt: 0, Backend: backend, Result: balance.Errored, Latency: 3 * time.Millisecond})

	now += 7 * time.Millisecond
	step(balance.TimerFired{Token: timer})
	fmt.Println("on another backend:", backend != first)

	now += 20 * time.Millisecond
	step(balance.Outcome{Request: "r1", Attempt: 1, Backend: backend, Latency: 20 * time.Millisecond, Done: true})
	// Output:
	// send r1
	// set a timer
	// send r1
	// on another backend: true
}
