package admission

import "time"

// This file limits how fast answers are given that need no backend, such as those to readiness checks and to invalid
// requests. Nothing else slows down a client that sends such requests without a pause: its reader would never wait, and
// the requests of other clients would wait for the processor.

const (
	connAnswerInterval  = 10 * time.Millisecond // between two local answers on one connection
	connAnswerBurst     = 32                    // local answers on one connection that need not wait
	totalAnswerInterval = time.Millisecond      // between two local answers of the process
	totalAnswerBurst    = 256                   // local answers of the process that need not wait
)

// answerRate is a token bucket. It holds the time at which the bucket would be full again.
type answerRate struct{ fullAt time.Duration }

// reserve takes a token and returns how long to wait for it. Tokens come one per interval; up to burst of them are kept.
func (r *answerRate) reserve(now, interval time.Duration, burst int) time.Duration {
	r.fullAt = max(r.fullAt, now) + interval
	return max(0, r.fullAt-now-time.Duration(burst)*interval)
}

// ReserveLocalAnswer records that a request is answered without a backend, and returns how long its answer is to wait.
// While the process stops, no answer waits.
func (g *Governor) ReserveLocalAnswer(e *Entry, now time.Duration) time.Duration {
	if g.draining {
		return 0
	}
	if wait := e.localAnswers.reserve(now, connAnswerInterval, connAnswerBurst); wait > 0 {
		return wait // such a connection doesn't use up the tokens of the others
	}
	return g.localAnswers.reserve(now, totalAnswerInterval, totalAnswerBurst)
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
