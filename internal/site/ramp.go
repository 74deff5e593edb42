package site

import (
	"math"
	"time"
)

// Ramp sets how fast the load of a returning site grows from ColdShare to all of it, counting the requests of all
// agents together. All backends of the site count as cold (just started), whatever their own start times are.
type Ramp struct {
	ColdShare   float64       // share of its usual load that the site gets as soon as it returns
	Duration    time.Duration // time from the return until the site gets all of its load, after a first loss
	Slowdown    float64       // factor by which each further recent loss (see recentLosses) lengthens the ramp
	MaxDuration time.Duration // upper bound of the lengthened ramp
}

// DefaultRamp returns a ramp with the cold share and the duration that apply to a single backend that has just started.
func DefaultRamp(coldShare float64, ramp time.Duration) Ramp {
	return Ramp{ColdShare: coldShare, Duration: ramp, Slowdown: 2, MaxDuration: 8 * ramp}
}

// DurationAfter returns how long the ramp takes for a site with this number of recent losses; 1: its first loss.
func (r Ramp) DurationAfter(losses int) time.Duration {
	d := float64(r.Duration) * math.Pow(max(1, r.Slowdown), float64(max(0, losses-1)))
	return time.Duration(min(d, float64(max(r.MaxDuration, r.Duration))))
}

// Share returns the share of its usual load that a site may have when since has passed after it began to return. It
// grows linearly and reaches 1 at the end of the ramp; losses is the number of the site's recent losses.
func (r Ramp) Share(since time.Duration, losses int) float64 {
	length := r.DurationAfter(losses)
	if since >= length || length <= 0 {
		return 1
	}
	return r.ColdShare + (1-r.ColdShare)*max(0, float64(since)/float64(length))
}

// TimeToShare returns the time from the beginning of the ramp until it reaches a share of the site's usual load.
func (r Ramp) TimeToShare(share float64, losses int) time.Duration {
	if share <= r.ColdShare || r.ColdShare >= 1 {
		return 0
	}
	return time.Duration(min(1, (share-r.ColdShare)/(1-r.ColdShare)) * float64(r.DurationAfter(losses)))
}
