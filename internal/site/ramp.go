package site

import (
	"math"
	"time"
)

// Ramp sets how fast the load of a returning site comes back, from all agents together. All backends of the
// site count as cold, whatever their own start times are.
type Ramp struct {
	ColdShare   float64       // share of its load that the site gets at once
	Duration    time.Duration // time until it gets all of its load, after the first loss
	Slowdown    float64       // factor by which each further recent loss lengthens the ramp
	MaxDuration time.Duration // upper bound of the lengthened ramp
}

// DefaultRamp returns a ramp like that of a single cold backend.
func DefaultRamp(coldShare float64, ramp time.Duration) Ramp {
	return Ramp{ColdShare: coldShare, Duration: ramp, Slowdown: 2, MaxDuration: 8 * ramp}
}

// DurationAfter returns how long the ramp takes after a number of recent losses, 1 for the first.
func (r Ramp) DurationAfter(losses int) time.Duration {
	d := float64(r.Duration) * math.Pow(max(1, r.Slowdown), float64(max(0, losses-1)))
	return time.Duration(min(d, float64(max(r.MaxDuration, r.Duration))))
}

// Share returns the share of its load that a site may have at a time since it began to return. It never
// decreases.
func (r Ramp) Share(since time.Duration, losses int) float64 {
	length := r.DurationAfter(losses)
	if since >= length || length <= 0 {
		return 1
	}
	return r.ColdShare + (1-r.ColdShare)*max(0, float64(since)/float64(length))
}

// TimeToShare returns when the ramp reaches a share, counted from its beginning.
func (r Ramp) TimeToShare(share float64, losses int) time.Duration {
	if share <= r.ColdShare || r.ColdShare >= 1 {
		return 0
	}
	return time.Duration(min(1, (share-r.ColdShare)/(1-r.ColdShare)) * float64(r.DurationAfter(losses)))
}
