package calltree

import "time"

// eventKind says what an event is about.
type eventKind uint8

const (
	eventRoot     eventKind = iota // a root arrives
	eventArrive                    // an attempt reaches its backend
	eventDone                      // a core has finished an execution's work
	eventOutcome                   // an attempt's outcome reaches its agent
	eventTimer                     // a balancer's timer comes due
	eventDeadline                  // a call's time is over
	eventEnded                     // a call's ending reaches who made it
	eventCancel                    // nobody waits for an execution any longer
	eventPeers                     // a balancer's message reaches the others
	eventRetry                     // a client tries again
)

// event is something that will happen. Which fields are set follows from its kind.
type event struct {
	kind    eventKind
	outcome outcome
	agent   *agent
	attempt *attempt
	call    *call
	run     *execution
	root    *root
	token   int64
	data    []byte
}

// entry is an event's place in the queue.
type entry struct {
	at    time.Duration
	order uint64 // of scheduling, which decides between events of one time
	slot  int    // of the event
}

// queue is a binary heap of entries, the earliest first. Events lie apart, so that the heap moves little.
type queue struct {
	entries []entry
	events  []event
	free    []int // slots
	order   uint64
}

// before orders entries by time, then by scheduling.
func (q *queue) before(i, j int) bool {
	if q.entries[i].at != q.entries[j].at {
		return q.entries[i].at < q.entries[j].at
	}
	return q.entries[i].order < q.entries[j].order
}

// push adds an event.
func (q *queue) push(at time.Duration, e event) {
	q.order++
	q.entries = append(q.entries, entry{at: at, order: q.order, slot: q.store(e)})
	for i := len(q.entries) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.before(i, parent) {
			return
		}
		q.entries[i], q.entries[parent] = q.entries[parent], q.entries[i]
		i = parent
	}
}

// store puts an event into a slot.
func (q *queue) store(e event) int {
	if last := len(q.free) - 1; last >= 0 {
		slot := q.free[last]
		q.free = q.free[:last]
		q.events[slot] = e
		return slot
	}
	q.events = append(q.events, e)
	return len(q.events) - 1
}

// pop takes the earliest event off; there must be one.
func (q *queue) pop() (time.Duration, event) {
	first := q.entries[0]
	last := len(q.entries) - 1
	q.entries[0] = q.entries[last]
	q.entries = q.entries[:last]
	q.sink()
	e := q.events[first.slot]
	q.events[first.slot] = event{} // keeps nothing alive
	q.free = append(q.free, first.slot)
	return first.at, e
}

// sink moves the first entry down to its place.
func (q *queue) sink() {
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.entries); child++ {
			if q.before(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.entries[i], q.entries[least] = q.entries[least], q.entries[i]
		i = least
	}
}
