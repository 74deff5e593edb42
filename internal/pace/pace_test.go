package pace

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any times of events: as many as the burst allows need not wait after a long pause, and no more than the burst and one
// per interval pass in any time.
func TestBucket(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := Rate{Interval: time.Duration(rapid.IntRange(1, 50).Draw(rt, "interval")) * time.Millisecond, Burst: rapid.IntRange(1, 8).Draw(rt, "burst")}
		var b Bucket
		var passed []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(rt, "pause")) * time.Millisecond
			now += b.Take(now, rate) // the caller waits
			passed = append(passed, now)
		}
		for i := range passed {
			for j := i; j < len(passed); j++ {
				if most := rate.Burst + int((passed[j]-passed[i])/rate.Interval) + 1; j-i+1 > most {
					rt.Fatalf("%d events in %v, at most %d are allowed", j-i+1, passed[j]-passed[i], most)
				}
			}
		}
		now += time.Duration(rate.Burst) * rate.Interval
		for n := range rate.Burst {
			if wait := b.Take(now, rate); wait != 0 {
				rt.Fatalf("event %d of a burst waits %v", n, wait)
			}
		}
	})
}
