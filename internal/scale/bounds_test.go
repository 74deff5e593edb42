package scale

import (
	"context"
	"errors"
	"testing"
	"time"
)

// waitEnded waits until ctx ends and fails the test after testTimeout.
func waitEnded(t *testing.T, ctx context.Context) {
	t.Helper()
	select {
	case <-ctx.Done():
	case <-time.After(testTimeout):
		t.Fatalf("the run goes on after %v", testTimeout)
	}
}

func TestRunEndsAtMemoryBound(t *testing.T) {
	t.Parallel()
	ctx, release := Bounds{Time: time.Hour, MemoryBytes: 1}.Apply(context.Background())
	defer release()
	waitEnded(t, ctx)
	if err := context.Cause(ctx); !errors.Is(err, ErrMemory) {
		t.Errorf("ended by %v", err)
	}
}

func TestRunEndsAtTimeBound(t *testing.T) {
	t.Parallel()
	ctx, release := Bounds{Time: time.Millisecond, MemoryBytes: 1 << 62}.Apply(context.Background())
	defer release()
	waitEnded(t, ctx)
	if err := context.Cause(ctx); errors.Is(err, ErrMemory) || errors.Is(err, context.Canceled) {
		t.Errorf("ended by %v", err)
	}
}

func TestDefaultBoundsUseHalfOfMemory(t *testing.T) {
	t.Parallel()
	total, err := memoryTotal()
	if err != nil {
		t.Fatal(err)
	}
	b, err := DefaultBounds(time.Minute)
	if err != nil || b.MemoryBytes != total/2 || b.Time != time.Minute {
		t.Errorf("%+v of %d, %v", b, total, err)
	}
}
