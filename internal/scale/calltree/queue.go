package calltree

import "time"

// eventKind is the kind of a simulation event.
type eventKind uint8

const (
	eventRoot        eventKind = iota // a root arrives
	eventAttempt                      // an attempt reaches its backend
	eventWorkDone                     // a core has finished an execution's work
	eventOutcome                      // an attempt's outcome reaches its agent
	eventTimer                        // a balancer's timer fires
	eventDeadline                     // a call's deadline expires
	eventCallEnded                    // a call's ending reaches its caller
	eventCancel                       // the cancellation of an execution reaches its backend
	eventPeerMessage                  // a balancer's message reaches its peers
	eventClientRetry                  // a client starts its second try
)

// event is a scheduled event of the simulation. Its kind determines which fields are set.
type event struct {
	kind    eventKind
	outcome outcome
	agent   *agent
	attempt *attempt
	call    *call
	run     *execution
	root    *root
	token   int64  // token of a balancer's timer (eventTimer)
	data    []byte // content of a balancer's message (eventPeerMessage)
}

// entry is an element of the heap: when an event happens, and the slot in which the event is stored.
type entry struct {
	at    time.Duration
	order uint64 // scheduling order, breaks ties between events at the same time
	slot  int    // index in queue.events
}

// queue is a binary heap of entries, earliest first. Events are stored separately, so that the heap moves small values.
type queue struct {
	entries []entry
	events  []event // scheduled events, by slot
	free    []int   // unused slots of events
	order   uint64  // order of the next entry
}

// less orders entries by time, then by scheduling order.
func (q *queue) less(i, j int) bool {
	if q.entries[i].at != q.entries[j].at {
		return q.entries[i].at < q.entries[j].at
	}
	return q.entries[i].order < q.entries[j].order
}

// push schedules an event at a time.
func (q *queue) push(at time.Duration, e event) {
	q.order++
	q.entries = append(q.entries, entry{at: at, order: q.order, slot: q.store(e)})
	for i := len(q.entries) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.entries[i], q.entries[parent] = q.entries[parent], q.entries[i]
		i = parent
	}
}

// store puts an event into a free slot and returns the slot.
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

// pop removes and returns the earliest event. The queue must not be empty.
func (q *queue) pop() (time.Duration, event) {
	first := q.entries[0]
	last := len(q.entries) - 1
	q.entries[0] = q.entries[last]
	q.entries = q.entries[:last]
	q.siftDown()
	e := q.events[first.slot]
	q.events[first.slot] = event{} // release references for the garbage collector
	q.free = append(q.free, first.slot)
	return first.at, e
}

// siftDown restores the heap order by moving the first entry down.
func (q *queue) siftDown() {
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.entries); child++ {
			if q.less(child, least) {
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
