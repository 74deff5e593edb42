package relay

import "slices"

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
