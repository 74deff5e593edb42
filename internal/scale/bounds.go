package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// MaxProcesses is the maximum number of processes that a run may start.
const MaxProcesses = 200

// Bounds limits the resources of a run.
type Bounds struct {
	Time        time.Duration // maximum duration of the run
	MemoryBytes uint64        // resident memory of this process
}

// DefaultBounds returns bounds with the given time limit and half of the machine's memory.
func DefaultBounds(limit time.Duration) (Bounds, error) {
	total, err := memoryTotal()
	return Bounds{Time: limit, MemoryBytes: total / 2}, err
}

// ErrMemory is the cancellation cause of a run that exceeded Bounds.MemoryBytes.
var ErrMemory = errors.New("scale: memory limit exceeded")

// memoryCheckInterval is the time between two checks of Bounds.MemoryBytes.
const memoryCheckInterval = 200 * time.Millisecond

// Apply returns a context that is cancelled when the run exceeds a bound, with a cause that names the bound. The caller
// must call the returned function at the end of the run.
func (b Bounds) Apply(ctx context.Context) (context.Context, func()) {
	limited, cancelTime := context.WithTimeoutCause(ctx, b.Time, fmt.Errorf("scale: time limit of %v exceeded", b.Time))
	inner, cancel := context.WithCancelCause(limited)
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.watch(inner, cancel)
	}()
	return inner, func() {
		cancel(nil)
		cancelTime()
		<-done
	}
}

// watch cancels the run when this process exceeds the memory bound. It returns when ctx ends.
func (b Bounds) watch(ctx context.Context, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(memoryCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if used, err := residentBytes(); err == nil && used > b.MemoryBytes {
			cancel(fmt.Errorf("%w: %d MB of %d MB", ErrMemory, used>>20, b.MemoryBytes>>20))
			return
		}
	}
}

// memoryTotal returns the machine's memory in bytes.
func memoryTotal() (uint64, error) {
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		rest, found := strings.CutPrefix(line, "MemTotal:")
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
		return kilobytes << 10, err
	}
	return 0, errors.New("/proc/meminfo: no MemTotal")
}

// residentBytes returns the resident memory of this process.
func residentBytes() (uint64, error) {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, errors.New("/proc/self/statm: too short")
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize()), err
}
