package admission

import (
	"time"

	"lemonrail/internal/pace"
)

// This file limits how fast answers are given that need no backend, such as those to readiness checks and to invalid
// requests. Nothing else slows down a client that sends such requests without a pause: its reader would never wait, and
// the requests of other clients would wait for the processor.

// The rates of local answers, on one connection and of the process.
var (
	connAnswerRate  = pace.Rate{Interval: 10 * time.Millisecond, Burst: 32}
	totalAnswerRate = pace.Rate{Interval: time.Millisecond, Burst: 256}
)

// ReserveLocalAnswer records that a request is answered without a backend, and returns how long its answer is to wait.
// While the process stops, no answer waits.
func (g *Governor) ReserveLocalAnswer(e *Entry, now time.Duration) time.Duration {
	if g.draining {
		return 0
	}
	if wait := e.localAnswers.Take(now, connAnswerRate); wait > 0 {
		return wait // such a connection doesn't use up the tokens of the others
	}
	return g.localAnswers.Take(now, totalAnswerRate)
}

// PaceLocalAnswer waits until an answer that needs no backend may be given on the connection, or until the process stops
// accepting connections.
func (c *Conn) PaceLocalAnswer() {
	var wait time.Duration
	c.withGovernor(func(g *Governor, e *Entry, now time.Duration) { wait = g.ReserveLocalAnswer(e, now) })
	if wait == 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.listener.stopped:
	}
}
