package aldermux_test

import (
	"fmt"
	"time"

	"aldermux"
)

// One balancer through a first attempt, a failure, a retry and an answer. The
// agent owns the clock, the timers and the connections.
func Example() {
	b, err := aldermux.New(aldermux.Settings{
		Balancers:   1,
		MaxAttempts: 3,
		Classes: []aldermux.Class{
			{Aim: 200 * time.Millisecond, Deadline: time.Second, Worth: 1, Effect: aldermux.Safe},
		},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	var backend string
	var timer int64
	step := func(events ...aldermux.Event) {
		for _, action := range b.Step(now, events) {
			switch a := action.(type) {
			case aldermux.Send: // start the attempt; pass its Outcome on later
				fmt.Println("send", a.Request)
				backend = a.Backend
			case aldermux.SetTimer: // pass TimerFired on when it is due
				fmt.Println("set a timer")
				timer = a.Token
			case aldermux.Refuse:
				fmt.Println("refuse", a.Request)
			case aldermux.Fail:
				fmt.Println("fail", a.Request)
			}
		}
	}
	step(aldermux.List{Kind: aldermux.ListFull, Backends: []aldermux.Backend{{ID: "10.0.0.1:80"}, {ID: "10.0.0.2:80"}}})
	step(aldermux.Request{ID: "r1", Class: 0, Left: time.Second})

	first := backend
	now += 3 * time.Millisecond
	step(aldermux.Outcome{Request: "r1", Attempt: 0, Backend: backend, Result: aldermux.Errored, Latency: 3 * time.Millisecond})

	now += 7 * time.Millisecond
	step(aldermux.TimerFired{Token: timer})
	fmt.Println("on another backend:", backend != first)

	now += 20 * time.Millisecond
	step(aldermux.Outcome{Request: "r1", Attempt: 1, Backend: backend, Latency: 20 * time.Millisecond, Done: true})
	// Output:
	// send r1
	// set a timer
	// send r1
	// on another backend: true
}
