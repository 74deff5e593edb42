package configuration

import "time"

// Limits on the bytes sent to one agent. No period of a second has more than PaceRate + PaceBurst = 6,000
// bytes.
const (
	PaceRate  = 3000 // bytes per second in the long run
	PaceBurst = 3000 // bytes at once after an idle time; every update is shorter than this
)

// Pacer is a token bucket for the bytes sent to one agent.
type Pacer struct {
	rate, burst float64       // bytes per second; bytes that the full bucket holds
	tokens      float64       // bytes that may be sent at once; below 0 while bytes taken earlier wait to be sent
	updatedAt   time.Duration // when tokens was last computed
}

// NewPacer returns a full bucket.
func NewPacer(rate, burst float64, now time.Duration) *Pacer {
	return &Pacer{rate: rate, burst: burst, tokens: burst, updatedAt: now}
}

// Reserve takes bytes out of the bucket and returns how long to wait before sending them. Bytes taken later wait
// for these as well.
func (p *Pacer) Reserve(bytes int, now time.Duration) time.Duration {
	p.tokens = min(p.burst, p.tokens+p.rate*max(0, now-p.updatedAt).Seconds())
	p.updatedAt = now
	p.tokens -= float64(bytes)
	if p.tokens >= 0 {
		return 0
	}
	return time.Duration(-p.tokens / p.rate * float64(time.Second))
}
