package scale

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// durationSummary summarizes the durations that an operation took for the members of a group.
type durationSummary struct{ p50, p99, worst time.Duration }

func summarize(took []time.Duration) durationSummary {
	if len(took) == 0 {
		return durationSummary{}
	}
	sorted := slices.Sorted(slices.Values(took))
	at := func(share float64) time.Duration { return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))] }
	return durationSummary{p50: at(0.5), p99: at(0.99), worst: sorted[len(sorted)-1]}
}

// arrivals records when each of a number of receivers got an item, and lets a caller wait for all of them. Use
// newArrivals; the zero value is not usable.
type arrivals struct {
	started time.Time     // time of creation
	done    chan struct{} // closed when all receivers have the item

	mu        sync.Mutex
	durations map[int]time.Duration // time from started until the item arrived, by receiver
	count     int                   // number of receivers
}

func newArrivals(n int) *arrivals {
	return &arrivals{started: time.Now(), done: make(chan struct{}), durations: map[int]time.Duration{}, count: n}
}

// record records that a receiver has the item. Repeated calls for a receiver are ignored.
func (a *arrivals) record(receiver int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.durations[receiver]; known {
		return
	}
	a.durations[receiver] = time.Since(a.started)
	if len(a.durations) == a.count {
		close(a.done)
	}
}

// wait waits until all receivers have the item and returns their durations since the creation of a.
func (a *arrivals) wait(ctx context.Context) (durationSummary, error) {
	select {
	case <-a.done:
	case <-ctx.Done():
		a.mu.Lock()
		defer a.mu.Unlock()
		return durationSummary{}, fmt.Errorf("only %d of %d received it: %w", len(a.durations), a.count, context.Cause(ctx))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var took []time.Duration
	for _, d := range a.durations {
		took = append(took, d)
	}
	return summarize(took), nil
}

// pause waits for d, or returns the cause if ctx ends earlier.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
