package site

import (
	"math"
	"time"
)

// Ramp is how fast a returning site's load comes back, for all agents together. Its backends are taken for cold as a
// whole, whatever their own start times say.
type Ramp struct {
	ColdShare float64       // of its load that it gets at once
	Time      time.Duration // until it has all, the first time
	Slower    float64       // times longer with each further loss lately
	Longest   time.Duration
}

// DefaultRamp follows a cold backend's own.
func DefaultRamp(coldShare float64, ramp time.Duration) Ramp {
	return Ramp{ColdShare: coldShare, Time: ramp, Slower: 2, Longest: 8 * ramp}
}

// Length is how long the return takes after so many losses lately, 1 for the first.
func (r Ramp) Length(losses int) time.Duration {
	d := float64(r.Time) * math.Pow(max(1, r.Slower), float64(max(0, losses-1)))
	return time.Duration(min(d, float64(max(r.Longest, r.Time))))
}

// Share is the part of its load that a site may have so long after it began to return. It never falls.
func (r Ramp) Share(since time.Duration, losses int) float64 {
	length := r.Length(losses)
	if since >= length || length <= 0 {
		return 1
	}
	return r.ColdShare + (1-r.ColdShare)*max(0, float64(since)/float64(length))
}

// At is when a share is reached: what refused clients are told, so that they come as there is room.
func (r Ramp) At(share float64, losses int) time.Duration {
	if share <= r.ColdShare || r.ColdShare >= 1 {
		return 0
	}
	return time.Duration(min(1, (share-r.ColdShare)/(1-r.ColdShare)) * float64(r.Length(losses)))
}
