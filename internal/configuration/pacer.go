package configuration

import "time"

// What is sent to an agent: no span of a second has more than PaceRate + PaceBurst = 6,000 bytes.
const (
	PaceRate  = 3000 // bytes a second in the long run
	PaceBurst = 3000 // bytes at once, after a silence; an update is shorter than this
)

// Pacer is a token bucket for the bytes sent to one agent.
type Pacer struct {
	rate, burst float64
	tokens      float64 // bytes that may go at once; below 0 while what was last taken waits
	at          time.Duration
}

// NewPacer returns a full bucket.
func NewPacer(rate, burst float64, now time.Duration) *Pacer {
	return &Pacer{rate: rate, burst: burst, tokens: burst, at: now}
}

// Wait takes so many bytes out of the bucket and returns how long to wait before they are sent. What is taken next
// waits for these too.
func (p *Pacer) Wait(bytes int, now time.Duration) time.Duration {
	p.tokens = min(p.burst, p.tokens+p.rate*max(0, now-p.at).Seconds())
	p.at = now
	p.tokens -= float64(bytes)
	if p.tokens >= 0 {
		return 0
	}
	return time.Duration(-p.tokens / p.rate * float64(time.Second))
}
