package relay

import (
	"slices"
	"time"
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

// Verdict is how a request that has arrived is to be treated.
type Verdict uint8

const (
	New      Verdict = iota // pass it to the decision module
	Joined                  // the same request is pending: its answer will go to this waiter as well
	Answered                // the same request has been answered: send that answer again
	Busy                    // too many requests are pending: refuse it; it has not reached any server
)

// Limits bounds a Table.
type Limits struct {
	MaxPending   int           // number of pending requests
	MaxKept      int           // number of kept answers
	MaxKeptBytes int           // total size of the kept answers in bytes
	KeepFor      time.Duration // how long an answer is kept
}

// DefaultLimits keeps answers for the duration of a client's time-out and one resend.
func DefaultLimits() Limits {
	return Limits{MaxPending: 4096, MaxKept: 4096, MaxKeptBytes: 4 << 20, KeepFor: 30 * time.Second}
}

// MaxWaiters is the number of connections that may wait for one request. A further one replaces the oldest.
const MaxWaiters = 4

// Table holds the pending requests and the recently answered ones. A request that is resent, with or without
// the T bit, on the same connection or another, is treated as the same request. This prevents a second
// attempt that its class does not allow, and a second final answer.
type Table struct {
	limits    Limits
	pending   map[RequestKey]*entry // by identity of the request
	kept      map[RequestKey]*entry // answered requests with their answers, by identity of the request
	keptOrder []*entry              // the entries of kept, oldest first
	keptBytes int                   // total size of the kept answers in bytes
}

// entry is a pending request with its waiters, or an answered one with its answer.
type entry struct {
	origin     RequestKey
	waiters    []Waiter      // where the answer is to be sent
	answer     []byte        // encoded; nil while the request is pending
	answeredAt time.Duration // on the caller's clock
}

// NewTable returns a table without pending or answered requests.
func NewTable(l Limits) *Table {
	return &Table{limits: l, pending: map[RequestKey]*entry{}, kept: map[RequestKey]*entry{}}
}

// Arrive records a request that arrived from w, and returns how it is to be treated. For Answered it also
// returns the kept answer, in which the caller sets w's Hop-by-Hop identifier.
func (t *Table) Arrive(o RequestKey, w Waiter, now time.Duration) (Verdict, []byte) {
	t.expire(now)
	if e := t.kept[o]; e != nil {
		return Answered, e.answer
	}
	if e := t.pending[o]; e != nil {
		// A resend on the same connection replaces the earlier one, for which the client may no longer wait.
		e.waiters = slices.DeleteFunc(e.waiters, func(x Waiter) bool { return x.Conn == w.Conn })
		if len(e.waiters) >= MaxWaiters {
			e.waiters = slices.Delete(e.waiters, 0, 1)
		}
		e.waiters = append(e.waiters, w)
		return Joined, nil
	}
	if len(t.pending) >= t.limits.MaxPending {
		return Busy, nil
	}
	t.pending[o] = &entry{origin: o, waiters: []Waiter{w}}
	return New, nil
}

// Complete ends a pending request and returns its waiters: none if their connections have closed or the
// request is not pending, as for a second answer. keep: the request may have run, so the answer is kept for
// resends. After an answer that reports that nothing ran, a resend is a new request.
func (t *Table) Complete(o RequestKey, raw []byte, keep bool, now time.Duration) []Waiter {
	e := t.pending[o]
	if e == nil {
		return nil
	}
	delete(t.pending, o)
	t.expire(now)
	if keep && len(raw) <= t.limits.MaxKeptBytes && t.limits.MaxKept > 0 {
		e.answer, e.answeredAt = raw, now
		t.kept[o] = e
		t.keptOrder = append(t.keptOrder, e)
		t.keptBytes += len(raw)
		for len(t.keptOrder) > t.limits.MaxKept || t.keptBytes > t.limits.MaxKeptBytes {
			t.dropOldest()
		}
	}
	waiters := e.waiters
	e.waiters = nil
	return waiters
}

// RemoveConn drops the waiters of a closed connection. Their requests remain pending, since servers may be
// running them.
func (t *Table) RemoveConn(conn uint64) {
	for _, e := range t.pending {
		e.waiters = slices.DeleteFunc(e.waiters, func(w Waiter) bool { return w.Conn == conn })
	}
}

// Pending returns the number of pending requests.
func (t *Table) Pending() int { return len(t.pending) }

// expire drops the answers that were kept for Limits.KeepFor.
func (t *Table) expire(now time.Duration) {
	for len(t.keptOrder) > 0 && now-t.keptOrder[0].answeredAt >= t.limits.KeepFor {
		t.dropOldest()
	}
}

// dropOldest drops the answer that was kept for the longest time.
func (t *Table) dropOldest() {
	e := t.keptOrder[0]
	t.keptOrder[0] = nil
	t.keptOrder = t.keptOrder[1:]
	t.keptBytes -= len(e.answer)
	delete(t.kept, e.origin)
}

// Window assigns Hop-by-Hop identifiers to a bounded number of pending attempts on one server's connection.
// Identifiers wrap around; those in use are skipped.
type Window struct {
	size     int               // maximum number of pending attempts
	next     uint32            // the identifier to try next
	attempts map[uint32]uint64 // numbers of the pending attempts, by Hop-by-Hop identifier
}

// NewWindow returns an empty window whose identifiers start at first, which should be random (RFC 6733, 3).
func NewWindow(size int, first uint32) *Window {
	return &Window{size: size, next: first, attempts: map[uint32]uint64{}}
}

// Assign assigns a Hop-by-Hop identifier to an attempt; !ok: the window is full and the attempt must not be
// sent.
func (w *Window) Assign(attempt uint64) (hop uint32, ok bool) {
	if len(w.attempts) >= w.size {
		return 0, false
	}
	for {
		hop = w.next
		w.next++
		if _, used := w.attempts[hop]; !used {
			w.attempts[hop] = attempt
			return hop, true
		}
	}
}

// Release frees an identifier and returns its attempt; !ok: the identifier is not in use, because its attempt
// was answered or abandoned, or because it was never assigned.
func (w *Window) Release(hop uint32) (attempt uint64, ok bool) {
	attempt, ok = w.attempts[hop]
	delete(w.attempts, hop)
	return attempt, ok
}

// Close frees all identifiers when the connection has ended and returns the attempts without an answer, in
// ascending order. They may have run.
func (w *Window) Close() (unanswered []uint64) {
	for _, attempt := range w.attempts {
		unanswered = append(unanswered, attempt)
	}
	clear(w.attempts)
	slices.Sort(unanswered)
	return unanswered
}

// InUse returns the number of assigned identifiers: attempts that are neither answered nor abandoned.
func (w *Window) InUse() int { return len(w.attempts) }
