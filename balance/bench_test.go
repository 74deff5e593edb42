package balance_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lemonrail/balance"
)

// BenchmarkStep plays requests to their end, one in fifty with an error and a retry. The metric
// heap-growth-B shows whether state grows with the requests played.
func BenchmarkStep(b *testing.B) {
	lb, err := balance.New(settings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	lb.Step(now, []balance.Event{balance.List{Kind: balance.ListFull, Backends: backends(14)}})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		playRequest(lb, &now, i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-growth-B")
	runtime.KeepAlive(lb)
}

// playRequest plays request i to its end and moves now to that time.
func playRequest(lb *balance.Balancer, now *time.Duration, i int) {
	id := fmt.Sprint("q", i)
	events := []balance.Event{balance.Request{ID: id, Class: safe, TimeLeft: time.Second}}
	for n := 0; len(events) > 0; {
		acts := lb.Step(*now, events)
		events = nil
		for _, a := range acts {
			switch a := a.(type) {
			case balance.Send:
				*now += 2 * ms
				o := balance.Outcome{Request: id, Attempt: n, Backend: a.Backend, Latency: 2 * ms, Done: true}
				if n == 0 && i%50 == 0 {
					o.Result, o.Done = balance.Errored, false
				}
				n++
				events = append(events, o)
			case balance.SetTimer:
				*now += a.After
				events = append(events, balance.TimerFired{Token: a.Token})
			}
		}
	}
}

// Memory and the allocations per request stay bounded over a long run.
func TestStateIsBounded(t *testing.T) {
	lb, err := balance.New(settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	lb.Step(now, []balance.Event{balance.List{Kind: balance.ListFull, Backends: backends(14)}})
	heap := func(from, to int) uint64 {
		for i := from; i < to; i++ {
			playRequest(lb, &now, i)
		}
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	early := heap(0, 5000)
	late := heap(5000, 60000)
	runtime.KeepAlive(lb)
	if late > early+256<<10 {
		t.Errorf("the heap grew from %d to %d bytes over 55,000 requests", early, late)
	}
	i := 100000
	if n := testing.AllocsPerRun(2000, func() { playRequest(lb, &now, i); i++ }); n > 25 {
		t.Errorf("%.1f allocations a request", n)
	}
}

// Memory stays bounded if the whole fleet is replaced again and again.
func TestChurnIsBounded(t *testing.T) {
	lb, err := balance.New(settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	heap := func(from, to int) uint64 {
		for i := from; i < to; i++ {
			var list []balance.Backend
			for n := range 50 {
				list = append(list, balance.Backend{ID: fmt.Sprint("b", i, "-", n), Zone: n % 3})
			}
			now += time.Second
			lb.Step(now, []balance.Event{balance.List{Kind: balance.ListFull, Backends: list}})
			playRequest(lb, &now, i)
		}
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	early := heap(0, 20)
	late := heap(20, 1000)
	runtime.KeepAlive(lb)
	if late > early+256<<10 {
		t.Errorf("the heap grew from %d to %d bytes over 980 replacements of the fleet", early, late)
	}
}
