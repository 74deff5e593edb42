package scale

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// spread tells how long something took for all members of a group.
type spread struct{ p50, p99, worst time.Duration }

func spreadOf(took []time.Duration) spread {
	if len(took) == 0 {
		return spread{}
	}
	sorted := slices.Sorted(slices.Values(took))
	at := func(share float64) time.Duration { return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))] }
	return spread{p50: at(0.5), p99: at(0.99), worst: sorted[len(sorted)-1]}
}

// arrivals waits until each of n receivers has got something, and notes when each did. The zero value isn't usable.
type arrivals struct {
	began time.Time
	all   chan struct{} // closed once each receiver has it

	mu   sync.Mutex
	took map[int]time.Duration
	want int
}

func newArrivals(n int) *arrivals {
	return &arrivals{began: time.Now(), all: make(chan struct{}), took: map[int]time.Duration{}, want: n}
}

// at notes that a receiver has it. Only the first time counts.
func (a *arrivals) at(receiver int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, again := a.took[receiver]; again {
		return
	}
	a.took[receiver] = time.Since(a.began)
	if len(a.took) == a.want {
		close(a.all)
	}
}

// wait returns how long all took, once each has it.
func (a *arrivals) wait(ctx context.Context) (spread, error) {
	select {
	case <-a.all:
	case <-ctx.Done():
		a.mu.Lock()
		defer a.mu.Unlock()
		return spread{}, fmt.Errorf("%d of %d have it: %w", len(a.took), a.want, context.Cause(ctx))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var took []time.Duration
	for _, d := range a.took {
		took = append(took, d)
	}
	return spreadOf(took), nil
}

// pause waits, unless ctx ends before.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
