// Package pace limits rates with token buckets. It has no clock: callers pass the current time.
package pace

import "time"

// Rate is how many events are allowed: Burst at once, and one per Interval beyond them.
type Rate struct {
	Interval time.Duration
	Burst    int
}

// Bucket counts events against a rate. The zero Bucket is full. All times are on one clock with an arbitrary zero.
type Bucket struct{ fullAt time.Duration }

// Take records an event and returns how long the caller is to wait for it.
func (b *Bucket) Take(now time.Duration, r Rate) time.Duration {
	b.fullAt = max(b.fullAt, now) + r.Interval
	return max(0, b.fullAt-now-time.Duration(r.Burst)*r.Interval)
}

// Allow records an event if the caller needs not wait for it, and reports whether that is so.
func (b *Bucket) Allow(now time.Duration, r Rate) bool {
	before := *b
	if b.Take(now, r) > 0 {
		*b = before
		return false
	}
	return true
}
