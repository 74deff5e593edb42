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

// fullVariants are the changes to the default configuration that BenchmarkFullSize runs.
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

// BenchmarkFullSize runs the default configuration with each fault and variant.
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
					recordResult(b, s.String()+"-"+v.name, r)
				}
			})
		}
	}
}

// recordResult reports the main figures of a result and writes it to the -out folder, if one is set.
func recordResult(b *testing.B, name string, r Result) {
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

// fullList returns a full list with the given number of backends.
func fullList(backends int) balance.List {
	l := balance.List{Kind: balance.ListFull}
	for i := range backends {
		l.Backends = append(l.Backends, balance.Backend{ID: fmt.Sprint("10.0.", i/250, ".", i%250, ":8080"), Zone: i % 8, Weight: 1})
	}
	return l
}

// newBalancer creates a balancer with the given numbers of backends and classes.
func newBalancer(b *testing.B, backends, classes int) (*balance.Balancer, time.Duration) {
	s := balance.Settings{Balancers: 13, MaxAttempts: 4, Peers: true, Reports: balance.ReportsInline,
		RampTime: 5 * time.Second, ColdShare: 0.3, FallMultiple: 2, FallWindow: 500 * time.Millisecond}
	for range classes {
		s.Classes = append(s.Classes, balance.Class{Aim: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 1})
	}
	lb, err := balance.New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	lb.Step(epoch, []balance.Event{fullList(backends)})
	return lb, epoch
}

// startRequest passes a request to a balancer and returns the backend, or "" if the request isn't sent immediately.
func startRequest(lb *balance.Balancer, now time.Duration, id string) string {
	for _, a := range lb.Step(now, []balance.Event{balance.Request{ID: id, TimeLeft: time.Hour}}) {
		if send, ok := a.(balance.Send); ok {
			return send.Backend
		}
	}
	return ""
}

// finishRequest passes the outcome of a request's attempt, served, to a balancer.
func finishRequest(lb *balance.Balancer, now time.Duration, id, backend string) {
	lb.Step(now, []balance.Event{balance.Outcome{Request: id, Backend: backend, Latency: 4 * time.Millisecond, Done: true, Load: balance.NoLoad()}})
}

// warmUp serves two calls per backend, at most a fixed number, so that the balancer knows the backends. It returns the time
// after the last one.
func warmUp(lb *balance.Balancer, now time.Duration, backends int) time.Duration {
	const maxCalls = 2000
	for i := range min(2*backends, maxCalls) {
		now += time.Millisecond
		id := fmt.Sprint("w", i)
		if t := startRequest(lb, now, id); t != "" {
			finishRequest(lb, now+4*time.Millisecond, id, t)
		}
	}
	return now
}

// BenchmarkCall measures a served call, which is two steps, with other calls in flight, after a warm-up of the backends.
func BenchmarkCall(b *testing.B) {
	for _, backends := range []int{10, 100, 450, 2000, 10000} {
		for _, flight := range []int{0, 10, 100, 1000} {
			if flight > 5*backends {
				continue // the concurrency limit would hold requests back
			}
			b.Run(fmt.Sprintf("backends=%d/flight=%d", backends, flight), func(b *testing.B) {
				lb, now := newBalancer(b, backends, 1)
				now = warmUp(lb, now, backends)
				sent := 0
				for i := range flight {
					if startRequest(lb, now, fmt.Sprint("f", i)) != "" {
						sent++
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					now += time.Millisecond
					if t := startRequest(lb, now, "x"); t != "" {
						finishRequest(lb, now+4*time.Millisecond, "x", t)
					}
				}
				b.ReportMetric(float64(sent), "sent-in-flight")
			})
		}
	}
}

// BenchmarkTimer measures a step that decides nothing (a TimerFired event), which is the fixed cost of each step.
func BenchmarkTimer(b *testing.B) {
	for _, backends := range []int{10, 100, 450, 2000, 10000} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			lb, now := newBalancer(b, backends, 1)
			for b.Loop() {
				now += time.Microsecond
				lb.Step(now, []balance.Event{balance.TimerFired{}})
			}
		})
	}
}

// BenchmarkList measures a full list without changes and a delta with one backend.
func BenchmarkList(b *testing.B) {
	for _, backends := range []int{10, 100, 450, 2000, 10000} {
		for _, kind := range []string{"whole", "delta"} {
			b.Run(fmt.Sprintf("%s/backends=%d", kind, backends), func(b *testing.B) {
				lb, now := newBalancer(b, backends, 1)
				list := fullList(backends)
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

// liveHeapBytes returns the bytes of live heap objects after a garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory reports the heap bytes per balancer, each after calls to all backends.
func BenchmarkMemory(b *testing.B) {
	const listed = 9000 // backends in the lists of all balancers together
	for _, size := range []struct{ backends, classes, flight int }{
		{10, 1, 0}, {100, 1, 0}, {450, 1, 0}, {2000, 1, 0}, {10000, 1, 0},
		{450, 4, 0}, {450, 16, 0}, {450, 64, 0}, {450, 1, 100}, {450, 1, 1000},
	} {
		b.Run(fmt.Sprintf("backends=%d/classes=%d/flight=%d", size.backends, size.classes, size.flight), func(b *testing.B) {
			copies := max(1, listed/size.backends)
			for b.Loop() {
				before := liveHeapBytes()
				var balancers []*balance.Balancer
				for range copies {
					lb, now := newBalancer(b, size.backends, size.classes)
					now = warmUp(lb, now, size.backends)
					for i := range size.flight {
						startRequest(lb, now, fmt.Sprint("f", i))
					}
					balancers = append(balancers, lb)
				}
				b.ReportMetric((liveHeapBytes()-before)/float64(copies), "B/balancer")
				runtime.KeepAlive(balancers)
			}
		})
	}
}
