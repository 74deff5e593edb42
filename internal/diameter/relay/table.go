package relay

import (
	"slices"
	"time"
)

// Origin tells a request from all others for minutes, whoever sends it again and by which connection
// (RFC 6733, 3 and 5.5.4). Hop-by-Hop ids can't: two clients may use the same.
type Origin struct {
	Host     string // Origin-Host
	EndToEnd uint32
}

// Waiter is where an answer goes: a client's connection, and the Hop-by-Hop id that it used there.
type Waiter struct {
	Conn     uint64
	HopByHop uint32
}

// Verdict is what becomes of a request that has arrived.
type Verdict uint8

const (
	New      Verdict = iota // to the decision module
	Joined                  // the same is in hand: its one answer will go to this waiter too
	Answered                // the same has been answered: that answer again
	Busy                    // nothing more can be held: refuse it, nothing ran
)

// Limits bound a Table.
type Limits struct {
	InHand    int           // requests
	Kept      int           // answers
	KeptBytes int           // of these
	KeepFor   time.Duration // an answer
}

// DefaultLimits keep answers for as long as a client's time-out and one resend usually take.
func DefaultLimits() Limits {
	return Limits{InHand: 4096, Kept: 4096, KeptBytes: 4 << 20, KeepFor: 30 * time.Second}
}

// WaitersMost is how many connections may wait for one request. Further ones take the place of the oldest.
const WaitersMost = 4

// Table knows the requests in hand and those that were answered lately. Guards against a second attempt
// that the class forbids, and against a second final answer: a request that is sent again, marked or not, on
// the same connection or another, is the same request.
type Table struct {
	limits Limits
	hand   map[Origin]*entry
	kept   map[Origin]*entry
	order  []*entry // kept, the oldest first
	bytes  int
}

type entry struct {
	origin  Origin
	waiters []Waiter
	answer  []byte
	at      time.Duration
}

// NewTable returns an empty table.
func NewTable(l Limits) *Table {
	return &Table{limits: l, hand: map[Origin]*entry{}, kept: map[Origin]*entry{}}
}

// Arrive takes a request. With Answered comes the answer, whose Hop-by-Hop id is to be set for w.
func (t *Table) Arrive(o Origin, w Waiter, now time.Duration) (Verdict, []byte) {
	t.expire(now)
	if e := t.kept[o]; e != nil {
		return Answered, e.answer
	}
	if e := t.hand[o]; e != nil {
		// A resend on the same connection takes the place of the first, for which the client may no longer wait.
		e.waiters = slices.DeleteFunc(e.waiters, func(x Waiter) bool { return x.Conn == w.Conn })
		if len(e.waiters) >= WaitersMost {
			e.waiters = slices.Delete(e.waiters, 0, 1)
		}
		e.waiters = append(e.waiters, w)
		return Joined, nil
	}
	if len(t.hand) >= t.limits.InHand {
		return Busy, nil
	}
	t.hand[o] = &entry{origin: o, waiters: []Waiter{w}}
	return New, nil
}

// Answer ends a request in hand and returns who waits for it: nobody, where its connections have gone, or
// where it is not in hand, as for a second answer. keep: the answer says that the request may have run, so
// that it stands for resends too; one that says that nothing ran ends the matter, and a resend is a new try.
func (t *Table) Answer(o Origin, raw []byte, keep bool, now time.Duration) []Waiter {
	e := t.hand[o]
	if e == nil {
		return nil
	}
	delete(t.hand, o)
	t.expire(now)
	if keep && len(raw) <= t.limits.KeptBytes && t.limits.Kept > 0 {
		e.answer, e.at = raw, now
		t.kept[o] = e
		t.order = append(t.order, e)
		t.bytes += len(raw)
		for len(t.order) > t.limits.Kept || t.bytes > t.limits.KeptBytes {
			t.drop()
		}
	}
	waiters := e.waiters
	e.waiters = nil
	return waiters
}

// Left drops the waiters of a connection that has ended. Their requests stay in hand: what runs, runs.
func (t *Table) Left(conn uint64) {
	for _, e := range t.hand {
		e.waiters = slices.DeleteFunc(e.waiters, func(w Waiter) bool { return w.Conn == conn })
	}
}

// InHand is how many requests are.
func (t *Table) InHand() int { return len(t.hand) }

func (t *Table) expire(now time.Duration) {
	for len(t.order) > 0 && now-t.order[0].at >= t.limits.KeepFor {
		t.drop()
	}
}

func (t *Table) drop() {
	e := t.order[0]
	t.order[0] = nil
	t.order = t.order[1:]
	t.bytes -= len(e.answer)
	delete(t.kept, e.origin)
}

// Window maps the attempts on one server's connection to the Hop-by-Hop ids that they go out under, a
// bounded number at a time. Ids wrap; one that is in use is passed over.
type Window struct {
	size int
	next uint32
	out  map[uint32]uint64
}

// NewWindow returns an empty window whose ids begin at first, which should be random (RFC 6733, 3).
func NewWindow(size int, first uint32) *Window {
	return &Window{size: size, next: first, out: map[uint32]uint64{}}
}

// Send gives an attempt its id; !ok: the window is full, and nothing was sent.
func (w *Window) Send(attempt uint64) (hop uint32, ok bool) {
	if len(w.out) >= w.size {
		return 0, false
	}
	for {
		hop = w.next
		w.next++
		if _, used := w.out[hop]; !used {
			w.out[hop] = attempt
			return hop, true
		}
	}
}

// Answer is the attempt that an answer's id belongs to, once; !ok: nobody asked for it, or it has been
// answered, or given up.
func (w *Window) Answer(hop uint32) (attempt uint64, ok bool) {
	attempt, ok = w.out[hop]
	delete(w.out, hop)
	return attempt, ok
}

// Close ends the connection: the attempts that are owed an answer may have run, each is a reset.
func (w *Window) Close() (owed []uint64) {
	for _, attempt := range w.out {
		owed = append(owed, attempt)
	}
	clear(w.out)
	slices.Sort(owed)
	return owed
}

// Open is how many attempts are out.
func (w *Window) Open() int { return len(w.out) }
