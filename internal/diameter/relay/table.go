package relay

import (
	"slices"
	"time"

	"lemonrail/balance"
)

// RequestKey identifies a request for several minutes, whichever client connection it is resent on (RFC 6733, 3
// and 5.5.4). Hop-by-Hop identifiers are not suitable: two clients may use the same one.
type RequestKey struct {
	Host     string // Origin-Host
	EndToEnd uint32
}

// Waiter is a destination for an answer: a client connection and the Hop-by-Hop identifier of the request on
// it.
type Waiter struct {
	Conn     uint64 // number of the client connection
	HopByHop uint32 // of the request on that connection
}

// Arrival is a request that has arrived from a client.
type Arrival struct {
	Key    RequestKey
	From   Waiter
	Resent bool           // it has the T bit: the client may have sent it before, to this agent or to another one
	Effect balance.Effect // of its class
	Bytes  int            // its encoded size
}

// Verdict is how a request that has arrived is to be treated.
type Verdict uint8

const (
	New        Verdict = iota // pass it to the decision module
	Joined                    // the same request is pending: its answer will go to this waiter as well
	Answered                  // the same request has been answered: send that answer again
	MayHaveRun                // it may have run before, and its answer is not known: fail it, without passing it on or refusing it
	Busy                      // too many requests are pending: refuse it; it has not reached any server
)

// Limits bounds a Table.
type Limits struct {
	MaxPending      int           // number of pending requests
	MaxPendingBytes int           // total size of the pending requests in bytes
	MaxKept         int           // number of kept answers
	MaxKeptBytes    int           // total size of the kept answers in bytes
	MaxQueuedBytes  int           // total size of the answers that wait for clients to read them; see AnswerQueues
	MaxRecorded     int           // number of answered requests that must not run again, with or without a kept answer
	KeepFor         time.Duration // how long an answer is kept, and an answered request is recorded
}

// DefaultLimits keeps answers for the duration of a client's time-out and one resend.
func DefaultLimits() Limits {
	return Limits{MaxPending: 4096, MaxPendingBytes: 32 << 20, MaxKept: 4096, MaxKeptBytes: 4 << 20, MaxQueuedBytes: 32 << 20,
		MaxRecorded: 16384, KeepFor: 30 * time.Second}
}

// MaxWaiters is the number of connections that may wait for one request. A further one replaces the oldest.
const MaxWaiters = 4

// Table holds the pending requests and the recently answered ones. A request that is resent, with or without
// the T bit, on the same connection or another, is treated as the same request. This prevents a second
// attempt that its class does not allow, and a second final answer.
//
// All clients share the room for kept answers. If it is short, answers to safe requests are dropped first: these may run
// again. Of other requests only the answer is dropped, and the request stays recorded.
type Table struct {
	limits    Limits
	pending   map[RequestKey]*entry // by identity of the request
	answered  map[RequestKey]*entry // answered requests, by identity of the request
	safe      answerQueue           // those that may run again
	others    answerQueue           // those that may not
	keptBytes int                   // total size of the kept answers in bytes

	pendingBytes int // total size of the pending requests in bytes
}

// entry is a pending request with its waiters, or an answered one with its answer.
type entry struct {
	origin     RequestKey
	effect     balance.Effect
	bytes      int           // encoded size of the request
	waiters    []Waiter      // where the answer is to be sent
	answer     []byte        // encoded; nil while the request is pending, and once the answer has been dropped
	answeredAt time.Duration // on the caller's clock
}

// NewTable returns a table without pending or answered requests.
func NewTable(l Limits) *Table {
	return &Table{limits: l, pending: map[RequestKey]*entry{}, answered: map[RequestKey]*entry{}}
}

// Arrive records a request that has arrived, and returns how it is to be treated. For Answered it also returns the kept
// answer, in which the caller sets the waiter's Hop-by-Hop identifier.
func (t *Table) Arrive(a Arrival, now time.Duration) (Verdict, []byte) {
	t.expire(now)
	if e := t.answered[a.Key]; e != nil {
		if e.answer == nil {
			return MayHaveRun, nil
		}
		return Answered, e.answer
	}
	if e := t.pending[a.Key]; e != nil {
		e.addWaiter(a.From)
		return Joined, nil
	}
	// Another agent, or this one before a restart, may have passed it on, or it may no longer be recorded. Servers recognise
	// keyed requests that they have run.
	if a.Resent && a.Effect == balance.Unsafe {
		return MayHaveRun, nil
	}
	if len(t.pending) >= t.limits.MaxPending || t.pendingBytes+a.Bytes > t.limits.MaxPendingBytes {
		return Busy, nil
	}
	t.pendingBytes += a.Bytes
	t.pending[a.Key] = &entry{origin: a.Key, effect: a.Effect, bytes: a.Bytes, waiters: []Waiter{a.From}}
	return New, nil
}

// addWaiter adds a waiter to a pending request. A resend on the same connection replaces the earlier one, for which the
// client may no longer wait.
func (e *entry) addWaiter(w Waiter) {
	e.waiters = slices.DeleteFunc(e.waiters, func(x Waiter) bool { return x.Conn == w.Conn })
	if len(e.waiters) >= MaxWaiters {
		e.waiters = slices.Delete(e.waiters, 0, 1)
	}
	e.waiters = append(e.waiters, w)
}

// Complete ends a pending request and returns its waiters: none if their connections have closed or the
// request is not pending, as for a second answer. mayHaveRun: the request may have run, so the answer is kept for
// resends. After an answer that reports that nothing ran, a resend is a new request.
func (t *Table) Complete(o RequestKey, raw []byte, mayHaveRun bool, now time.Duration) []Waiter {
	e := t.pending[o]
	if e == nil {
		return nil
	}
	delete(t.pending, o)
	t.pendingBytes -= e.bytes
	t.expire(now)
	if mayHaveRun {
		t.record(e, raw, now)
	}
	waiters := e.waiters
	e.waiters = nil
	return waiters
}

// record records an answered request with its answer, and drops what exceeds the limits.
func (t *Table) record(e *entry, raw []byte, now time.Duration) {
	tooLong := len(raw) > t.limits.MaxKeptBytes
	if tooLong && e.effect == balance.Safe {
		return
	}
	e.answeredAt = now
	if !tooLong {
		e.answer = raw
		t.keptBytes += len(raw)
	}
	t.answered[e.origin] = e
	if e.effect == balance.Safe {
		t.safe.add(e)
	} else {
		t.others.add(e)
	}
	for t.safe.kept()+t.others.kept() > t.limits.MaxKept || t.keptBytes > t.limits.MaxKeptBytes {
		if t.safe.kept() > 0 {
			t.forget(&t.safe)
		} else {
			t.keptBytes -= t.others.dropAnswer()
		}
	}
	for len(t.others.entries) > t.limits.MaxRecorded {
		t.forget(&t.others)
	}
}

// RemoveConn drops the waiters of a closed connection. Their requests remain pending, since servers may be
// running them.
func (t *Table) RemoveConn(conn uint64) {
	for _, e := range t.pending {
		e.waiters = slices.DeleteFunc(e.waiters, func(w Waiter) bool { return w.Conn == conn })
	}
}

// Waiters returns the waiters of a pending request, which the caller must not modify; nil if it isn't pending.
func (t *Table) Waiters(o RequestKey) []Waiter {
	if e := t.pending[o]; e != nil {
		return e.waiters
	}
	return nil
}

// Pending returns the number of pending requests.
func (t *Table) Pending() int { return len(t.pending) }

// expire drops what was answered Limits.KeepFor ago or earlier.
func (t *Table) expire(now time.Duration) {
	for _, q := range []*answerQueue{&t.safe, &t.others} {
		for len(q.entries) > 0 && now-q.entries[0].answeredAt >= t.limits.KeepFor {
			t.forget(q)
		}
	}
}

// forget drops the request that was answered first of a queue, with its answer.
func (t *Table) forget(q *answerQueue) {
	e := q.removeFirst()
	t.keptBytes -= len(e.answer)
	delete(t.answered, e.origin)
}

// answerQueue holds answered requests in the order of their answers. The answers are dropped from the first one on.
type answerQueue struct {
	entries []*entry
	dropped int // how many of entries, from the first on, have lost their answers
}

func (q *answerQueue) add(e *entry) { q.entries = append(q.entries, e) }

// kept returns the number of requests whose answers have not been dropped.
func (q *answerQueue) kept() int { return len(q.entries) - q.dropped }

// dropAnswer drops the first kept answer and returns its size in bytes.
func (q *answerQueue) dropAnswer() (size int) {
	e := q.entries[q.dropped]
	q.dropped++
	size = len(e.answer)
	e.answer = nil
	return size
}

// removeFirst removes the first request and returns it.
func (q *answerQueue) removeFirst() *entry {
	e := q.entries[0]
	q.entries[0] = nil
	q.entries = q.entries[1:]
	q.dropped = max(0, q.dropped-1)
	return e
}
