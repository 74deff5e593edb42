package core

import (
	"container/heap"
	"time"
)

// timer expires at a given time. It belongs to a SetTimer action or, if call is set, to that call's answer
// deadline.
type timer struct {
	at    time.Time
	token int64 // of the SetTimer action
	call  *Call
	index int // position in timers; negative: not in it
}

// timers is a heap with the next timer to expire first.
type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push adds a timer for package heap.
func (t *timers) Push(x any) {
	added := x.(*timer)
	added.index = len(*t)
	*t = append(*t, added)
}

// Pop removes the last timer for package heap.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = nil
	*t = (*t)[:len(*t)-1]
	last.index = -1
	return last
}

// set adds a timer, or moves it if it has been added before.
func (t *timers) set(x *timer, at time.Time) {
	x.at = at
	if x.index >= 0 {
		heap.Fix(t, x.index)
		return
	}
	heap.Push(t, x)
}

// remove removes a timer, if it is there.
func (t *timers) remove(x *timer) {
	if x != nil && x.index >= 0 {
		heap.Remove(t, x.index)
	}
}

// next removes and returns the next timer that has expired by now; nil: none has.
func (t *timers) next(now time.Time) *timer {
	if len(*t) == 0 || (*t)[0].at.After(now) {
		return nil
	}
	return heap.Pop(t).(*timer)
}
