package diameter

import (
	"sync"
	"time"

	"lemonrail/internal/pace"
)

// This file slows down the reading from clients that send faster than they are served: a reader that never waits would keep
// the processor from the requests of other clients.

// The rates of answers that need no server, on one connection and of all, and of refusals on one connection.
var (
	connAnswerRate  = pace.Rate{Interval: 10 * time.Millisecond, Burst: 32}
	totalAnswerRate = pace.Rate{Interval: time.Millisecond, Burst: 256}
	refusalRate     = pace.Rate{Interval: time.Millisecond, Burst: 256}
)

// connPace is the pace of one connection. The pacer's lock guards it.
type connPace struct {
	localAnswers, refusals pace.Bucket
	pausedUntil            time.Duration // nothing is read from the client before
}

// pacer paces all connections. It is safe for concurrent use.
type pacer struct {
	mu           sync.Mutex
	localAnswers pace.Bucket
	stopping     bool // no connection is paced any more
}

// recordLocalAnswer records an answer that needed no server.
func (p *pacer) recordLocalAnswer(c *connPace, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := c.localAnswers.Take(now, connAnswerRate)
	if wait == 0 { // a connection over its own rate doesn't use up that of the others
		wait = p.localAnswers.Take(now, totalAnswerRate)
	}
	c.pausedUntil = max(c.pausedUntil, now+wait)
}

// recordRefusal records that a client's request was refused.
func (p *pacer) recordRefusal(c *connPace, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.pausedUntil = max(c.pausedUntil, now+c.refusals.Take(now, refusalRate))
}

// wait returns how long nothing is to be read from a client.
func (p *pacer) wait(c *connPace, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return 0
	}
	return max(0, c.pausedUntil-now)
}

// stop ends the pacing: during a planned stop all that clients send is read.
func (p *pacer) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
}

// maxPause bounds the time for which a connection isn't read from, since the client's end isn't noticed meanwhile.
const maxPause = 250 * time.Millisecond
