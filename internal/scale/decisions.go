package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"lemonrail/balance"
)

// Decisions measures package balance alone, for lists of several lengths: a Balancer's memory, and its processor time for
// a call and for a list change.
type Decisions struct {
	ListLengths []int // numbers of backends in the list
	Calls       int   // number of calls at each length
	Seed        uint64
	Logf        func(format string, args ...any)
}

const (
	callInterval   = 6 * time.Millisecond // simulated time between the starts of two calls: 169 calls per second
	callDuration   = 5 * time.Millisecond // simulated time from a call's attempt until its answer
	warmAfter      = time.Minute          // time after which no backend of the list is cold
	callsPerChange = 16                   // calls that are measured for each list change that is measured
)

// decisionSettings returns the settings of a fleet of one agent. Its concurrency limit is never reached, so that the
// limit doesn't affect the measurement.
func decisionSettings() balance.Settings {
	class := balance.Class{Aim: 300 * time.Millisecond, Deadline: 600 * time.Millisecond, Worth: 1}
	return balance.Settings{Balancers: 1, Zones: len(siteNames), Kinds: 1, Classes: []balance.Class{class}, MaxAttempts: 3,
		ConnectTimeout: 150 * time.Millisecond, DrainGrace: 500 * time.Millisecond, ColdShare: 0.32, RampTime: 7800 * time.Millisecond}
}

// Run creates a Balancer for each list length and returns its memory and its processor time for a call and for a list
// change, with the list length as X.
func (o Decisions) Run(ctx context.Context) ([]*Series, error) {
	set := newSeriesSet(Simulated, "listed backends", "the decision module alone, 169 calls a second of its time")
	for _, listed := range o.ListLengths {
		o.Logf("decisions: a list of %d backends", listed)
		if err := o.measureLength(ctx, set, listed); err != nil {
			return nil, err
		}
	}
	return set.fit()
}

// decisionDriver drives a Balancer in simulated time, one call after another.
type decisionDriver struct {
	b       *balance.Balancer
	now     time.Duration
	sends   int // number of attempts that the Balancer has sent
	refused int // number of calls that it has refused or failed
}

// measureLength measures a Balancer with a list of the given length and appends the results to set. It fails unless every
// call is sent.
func (o Decisions) measureLength(ctx context.Context, set *seriesSet, listed int) error {
	before := heapBytes()
	b, err := balance.New(decisionSettings(), o.Seed)
	if err != nil {
		return err
	}
	d := &decisionDriver{b: b}
	d.list(listed)
	d.now = warmAfter
	x := float64(listed)
	set.add("decision module, memory", "KB", x, heapGrowthKB(before))
	began, err := processorTime()
	if err != nil {
		return err
	}
	for n := range o.Calls {
		d.call(n)
	}
	calls, err := processorTime()
	if err != nil {
		return err
	}
	for n := range o.Calls / callsPerChange {
		d.change(n, listed)
	}
	changes, err := processorTime()
	if err != nil {
		return err
	}
	if d.sends != o.Calls || d.refused > 0 {
		return fmt.Errorf("scale: %d of %d calls were sent and %d were refused, want all sent", d.sends, o.Calls, d.refused)
	}
	set.add("decision module, processor time for a call", "us", x, 1e6*(calls-began).Seconds()/float64(o.Calls))
	set.add("decision module, processor time for a change of the list", "us", x, 1e6*(changes-calls).Seconds()/float64(max(1, o.Calls/callsPerChange)))
	runtime.KeepAlive(b)
	return ctx.Err()
}

// listedBackend returns the nth backend of the list.
func listedBackend(n int) balance.Backend {
	return balance.Backend{ID: listEntry(n).Host, Zone: n % len(siteNames), Cell: n / 10, Weight: 1}
}

// list passes a full list of the given length to the balancer.
func (d *decisionDriver) list(length int) {
	l := balance.List{Kind: balance.ListFull, Version: 1}
	for n := range length {
		l.Backends = append(l.Backends, listedBackend(n))
	}
	d.b.Step(d.now, []balance.Event{l})
}

// change passes a delta that changes the weight of backend n modulo length to the balancer.
func (d *decisionDriver) change(n, length int) {
	changed := listedBackend(n % length)
	changed.Weight = 1 + float64(n%2)
	d.now += callInterval
	d.b.Step(d.now, []balance.Event{balance.List{Kind: balance.ListDelta, Version: int64(2 + n), Backends: []balance.Backend{changed}}})
}

// call simulates the nth call, which is answered successfully by its first attempt after callDuration.
func (d *decisionDriver) call(n int) {
	d.now += callInterval - callDuration
	id := sprintf("r%d", n)
	for _, action := range d.b.Step(d.now, []balance.Event{balance.Request{ID: id, TimeLeft: 600 * time.Millisecond}}) {
		switch a := action.(type) {
		case balance.Send:
			d.sends++
			d.now += callDuration
			d.b.Step(d.now, []balance.Event{balance.Outcome{Request: id, Backend: a.Backend, Result: balance.OK, Latency: callDuration, Done: true, Load: balance.NoLoad()}})
		case balance.Refuse, balance.Fail:
			d.refused++
		}
	}
}
