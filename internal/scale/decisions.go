package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"lemonrail/balance"
)

// Decisions runs the decision module alone with lists of growing length: what a call and a change of the list cost it.
type Decisions struct {
	Listed []int
	Calls  int // at each length
	Seed   uint64
	Say    func(format string, args ...any)
}

const (
	callEvery   = 6 * time.Millisecond // 169 calls a second
	callTakes   = 5 * time.Millisecond
	warmedUp    = time.Minute // after which no backend of the list is cold
	changedRate = 16          // calls for each change of the list
)

// decisionSettings are those of an agent that is alone: its limit never binds, since the limit is not what is measured.
func decisionSettings() balance.Settings {
	class := balance.Class{Aim: 300 * time.Millisecond, Deadline: 600 * time.Millisecond, Worth: 1}
	return balance.Settings{Balancers: 1, Zones: len(Sites), Kinds: 1, Classes: []balance.Class{class}, MaxAttempts: 3,
		ConnectTimeout: 150 * time.Millisecond, DrainGrace: 500 * time.Millisecond, ColdShare: 0.32, RampTime: 7800 * time.Millisecond}
}

// Run measures all lengths.
func (o Decisions) Run(ctx context.Context) ([]*Series, error) {
	set := newSeriesSet(Simulated, "listed backends", "the decision module alone, 169 calls a second of its time")
	for _, listed := range o.Listed {
		o.Say("decisions: a list of %d backends", listed)
		if err := o.length(ctx, set, listed); err != nil {
			return nil, err
		}
	}
	return set.fit()
}

// decider drives a Balancer by simulated time.
type decider struct {
	b       *balance.Balancer
	now     time.Duration
	sends   int
	refused int
}

func (o Decisions) length(ctx context.Context, set *seriesSet, listed int) error {
	before := heapBytes()
	b, err := balance.New(decisionSettings(), o.Seed)
	if err != nil {
		return err
	}
	d := &decider{b: b}
	d.list(listed)
	d.now = warmedUp
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
	for n := range o.Calls / changedRate {
		d.change(n, listed)
	}
	changes, err := processorTime()
	if err != nil {
		return err
	}
	if d.sends != o.Calls || d.refused > 0 {
		return fmt.Errorf("scale: %d of %d calls were sent, %d refused", d.sends, o.Calls, d.refused)
	}
	set.add("decision module, processor time for a call", "us", x, 1e6*(calls-began).Seconds()/float64(o.Calls))
	set.add("decision module, processor time for a change of the list", "us", x, 1e6*(changes-calls).Seconds()/float64(max(1, o.Calls/changedRate)))
	runtime.KeepAlive(b)
	return ctx.Err()
}

func listed(n int) balance.Backend {
	return balance.Backend{ID: entry(n).Host, Zone: n % len(Sites), Cell: n / 10, Weight: 1}
}

func (d *decider) list(length int) {
	l := balance.List{Kind: balance.ListFull, Version: 1}
	for n := range length {
		l.Backends = append(l.Backends, listed(n))
	}
	d.b.Step(d.now, []balance.Event{l})
}

func (d *decider) change(n, length int) {
	changed := listed(n % length)
	changed.Weight = 1 + float64(n%2)
	d.now += callEvery
	d.b.Step(d.now, []balance.Event{balance.List{Kind: balance.ListDelta, Version: int64(2 + n), Backends: []balance.Backend{changed}}})
}

// call plays one call that is served by its first attempt.
func (d *decider) call(n int) {
	d.now += callEvery - callTakes
	id := sprintf("r%d", n)
	for _, action := range d.b.Step(d.now, []balance.Event{balance.Request{ID: id, Left: 600 * time.Millisecond}}) {
		switch a := action.(type) {
		case balance.Send:
			d.sends++
			d.now += callTakes
			d.b.Step(d.now, []balance.Event{balance.Outcome{Request: id, Backend: a.Backend, Result: balance.OK, Latency: callTakes, Done: true, Load: balance.NoLoad()}})
		case balance.Refuse, balance.Fail:
			d.refused++
		}
	}
}
