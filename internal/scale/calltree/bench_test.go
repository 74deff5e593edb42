package calltree

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"lemonrail/balance"
)

var (
	outDir   = flag.String("out", "", "folder for the results of BenchmarkFullSize, as JSON")
	fullSeed = flag.Uint64("seed", 1, "seed of BenchmarkFullSize")
)

// fullVariants are what the full size is played with.
var fullVariants = []struct {
	name string
	set  func(*Config)
}{
	{"landed", func(*Config) {}},
	{"off", func(c *Config) { c.MaxAttempts = 1 }},
	{"none", func(c *Config) { c.MaxAttempts, c.ClientRetry = 1, false }},
	{"no-client-retry", func(c *Config) { c.ClientRetry = false }},
	{"mark", func(c *Config) { c.DontRetryMark = true }},
	{"untold", func(c *Config) { c.TellLeft = false }},
	{"cancel", func(c *Config) { c.Cancel = true }},
}

// BenchmarkFullSize plays the default configuration once for each fault and variant.
func BenchmarkFullSize(b *testing.B) {
	for _, s := range []scenario{
		{FaultNone, 0},
		{FaultLeafAttempts, 0.01}, {FaultLeafAttempts, 0.05}, {FaultLeafAttempts, 0.17}, {FaultLeafAttempts, 0.4},
		{FaultLeafCalls, 0.002}, {FaultLeafCalls, 0.01}, {FaultLeafCalls, 0.05}, {FaultLeafCalls, 0.17}, {FaultLeafCalls, 0.4},
		{FaultAnswers, 0.01}, {FaultAnswers, 0.05}, {FaultAnswers, 0.17},
		{FaultSlow, 0}, {FaultRefused, 0}, {FaultSilent, 0},
	} {
		for _, v := range fullVariants {
			b.Run(s.String()+"/"+v.name, func(b *testing.B) {
				c := DefaultConfig()
				c.Seed = *fullSeed
				c.Fault, c.FailShare = s.fault, s.share
				v.set(&c)
				for b.Loop() {
					r, err := Run(c)
					if err != nil {
						b.Fatal(err)
					}
					keep(b, s.String()+"-"+v.name, r)
				}
			})
		}
	}
}

// keep writes a result where it is asked for, and reports the main figures.
func keep(b *testing.B, name string, r Result) {
	b.ReportMetric(float64(r.Attempts)/float64(r.Roots.Calls), "attempts/root")
	b.ReportMetric(float64(r.LeafAttempts)/float64(r.Roots.Calls), "leaf-attempts/root")
	b.ReportMetric(float64(r.Roots.Served)/float64(r.Roots.Calls), "served")
	if *outDir == "" {
		return
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		b.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(*outDir, name+".json"), text, 0o644); err != nil {
		b.Fatal(err)
	}
}

// listOf is a list of so many backends.
func listOf(backends int) balance.List {
	l := balance.List{Kind: balance.ListFull}
	for i := range backends {
		l.Backends = append(l.Backends, balance.Backend{ID: fmt.Sprint("10.0.", i/250, ".", i%250, ":8080"), Zone: i % 8, Weight: 1})
	}
	return l
}

// one is a balancer that knows so many backends and classes.
func one(b *testing.B, backends, classes int) (*balance.Balancer, time.Duration) {
	s := balance.Settings{Balancers: 13, MaxAttempts: 4, Peers: true, Reports: balance.ReportsInline,
		RampTime: 5 * time.Second, ColdShare: 0.3, FallMultiple: 2, FallWindow: 500 * time.Millisecond}
	for range classes {
		s.Classes = append(s.Classes, balance.Class{Aim: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 1})
	}
	lb, err := balance.New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	lb.Step(epoch, []balance.Event{listOf(backends)})
	return lb, epoch
}

// begin hands a balancer a request and returns the attempt's backend, if it is sent at once.
func begin(lb *balance.Balancer, now time.Duration, id string) string {
	for _, a := range lb.Step(now, []balance.Event{balance.Request{ID: id, Left: time.Hour}}) {
		if send, ok := a.(balance.Send); ok {
			return send.Backend
		}
	}
	return ""
}

// serve has an attempt end served.
func serve(lb *balance.Balancer, now time.Duration, id, backend string) {
	lb.Step(now, []balance.Event{balance.Outcome{Request: id, Backend: backend, Latency: 4 * time.Millisecond, Done: true, Load: balance.NoLoad()}})
}

// warmUp serves calls, two for each backend where there are few.
func warmUp(lb *balance.Balancer, now time.Duration, backends int) time.Duration {
	const most = 2000
	for i := range min(2*backends, most) {
		now += time.Millisecond
		id := fmt.Sprint("w", i)
		if t := begin(lb, now, id); t != "" {
			serve(lb, now+4*time.Millisecond, id, t)
		}
	}
	return now
}

// BenchmarkCall plays a served call, which is two steps, beside others in flight, and lets each backend answer before.
func BenchmarkCall(b *testing.B) {
	for _, backends := range []int{10, 100, 450, 2000, 10000} {
		for _, flight := range []int{0, 10, 100, 1000} {
			if flight > 5*backends {
				continue // the limit holds them back: another case
			}
			b.Run(fmt.Sprintf("backends=%d/flight=%d", backends, flight), func(b *testing.B) {
				lb, now := one(b, backends, 1)
				now = warmUp(lb, now, backends)
				sent := 0
				for i := range flight {
					if begin(lb, now, fmt.Sprint("f", i)) != "" {
						sent++
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					now += time.Millisecond
					if t := begin(lb, now, "x"); t != "" {
						serve(lb, now+4*time.Millisecond, "x", t)
					}
				}
				b.ReportMetric(float64(sent), "sent-in-flight")
			})
		}
	}
}

// BenchmarkTimer plays the step that decides nothing: what each step costs.
func BenchmarkTimer(b *testing.B) {
	for _, backends := range []int{10, 100, 450, 2000, 10000} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			lb, now := one(b, backends, 1)
			for b.Loop() {
				now += time.Microsecond
				lb.Step(now, []balance.Event{balance.TimerFired{}})
			}
		})
	}
}

// BenchmarkList plays a whole list that changes nothing, and a change of one backend.
func BenchmarkList(b *testing.B) {
	for _, backends := range []int{10, 100, 450, 2000, 10000} {
		for _, kind := range []string{"whole", "delta"} {
			b.Run(fmt.Sprintf("%s/backends=%d", kind, backends), func(b *testing.B) {
				lb, now := one(b, backends, 1)
				list := listOf(backends)
				if kind == "delta" {
					list.Kind, list.Backends = balance.ListDelta, list.Backends[:1]
				}
				b.ReportAllocs()
				for b.Loop() {
					now += time.Millisecond
					lb.Step(now, []balance.Event{list})
				}
			})
		}
	}
}

// heap is what is held, after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory reports the bytes that balancers of a size hold, each after calls to all backends.
func BenchmarkMemory(b *testing.B) {
	const listed = 9000 // backends over all copies
	for _, size := range []struct{ backends, classes, flight int }{
		{10, 1, 0}, {100, 1, 0}, {450, 1, 0}, {2000, 1, 0}, {10000, 1, 0},
		{450, 4, 0}, {450, 16, 0}, {450, 64, 0}, {450, 1, 100}, {450, 1, 1000},
	} {
		b.Run(fmt.Sprintf("backends=%d/classes=%d/flight=%d", size.backends, size.classes, size.flight), func(b *testing.B) {
			copies := max(1, listed/size.backends)
			for b.Loop() {
				before := heap()
				var kept []*balance.Balancer
				for range copies {
					lb, now := one(b, size.backends, size.classes)
					now = warmUp(lb, now, size.backends)
					for i := range size.flight {
						begin(lb, now, fmt.Sprint("f", i))
					}
					kept = append(kept, lb)
				}
				b.ReportMetric((heap()-before)/float64(copies), "B/balancer")
				runtime.KeepAlive(kept)
			}
		})
	}
}
