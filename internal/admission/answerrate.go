package admission

import (
	"time"

	"lemonrail/internal/pace"
)

// This file limits how fast answers are given that need no backend, such as those to readiness checks and to invalid
// requests, and how fast requests are read of clients that are refused. Nothing else slows down a client that sends such
// requests without a pause: its reader would never wait, and the requests of other clients would wait for the processor.

// The rates of local answers and of refusals, on one connection and of the process.
var (
	connRefusalRate  = pace.Rate{Interval: 2 * time.Millisecond, Burst: 64}
	totalRefusalRate = pace.Rate{Interval: time.Millisecond, Burst: 512}

	connAnswerRate  = pace.Rate{Interval: 10 * time.Millisecond, Burst: 32}
	totalAnswerRate = pace.Rate{Interval: time.Millisecond, Burst: 256}
)

// ReserveLocalAnswer records that a request is answered without a backend, and returns how long its answer is to wait.
// While the process stops, no answer waits.
func (g *Governor) ReserveLocalAnswer(e *Entry, now time.Duration) time.Duration {
	if g.draining {
		return 0
	}
	wait := e.localAnswers.Take(now, connAnswerRate)
	if wait == 0 { // a connection over its own rate doesn't use up the tokens of the others
		wait = g.localAnswers.Take(now, totalAnswerRate)
	}
	if wait > 0 {
		g.counts.AnswersPaced++
	}
	return wait
}

// RecordRefusal records that a request has been refused and returns how long the next one on its connection is to wait.
func (g *Governor) RecordRefusal(e *Entry, now time.Duration) time.Duration {
	if g.draining {
		return 0
	}
	wait := e.refusals.Take(now, connRefusalRate)
	if wait == 0 {
		wait = g.refusals.Take(now, totalRefusalRate)
	}
	if wait > 0 {
		g.counts.AnswersPaced++
	}
	return min(wait, maxRefusalPause)
}

// maxRefusalPause bounds the time for which a connection isn't read from after a refusal.
const maxRefusalPause = 250 * time.Millisecond

// PaceLocalAnswer waits until an answer that needs no backend may be given on the connection, or until the process stops
// accepting connections.
func (c *Conn) PaceLocalAnswer() {
	var wait time.Duration
	c.withGovernor(func(g *Governor, e *Entry, now time.Duration) { wait = g.ReserveLocalAnswer(e, now) })
	c.pause(wait)
}

// PaceAfterRefusal waits until the next request may be read on a connection that has just been sent a refusal.
func (c *Conn) PaceAfterRefusal() {
	var wait time.Duration
	c.withGovernor(func(g *Governor, e *Entry, now time.Duration) { wait = g.RecordRefusal(e, now) })
	c.pause(wait)
}

// pause waits, at most until the process stops accepting connections.
func (c *Conn) pause(wait time.Duration) {
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
