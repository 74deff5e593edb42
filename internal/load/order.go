package load

import (
	"container/heap"
	"errors"
	"io"
	"slices"
	"time"
)

// MaxPending is the maximum number of entries that Order holds back for sorting.
const MaxPending = 1 << 16

// OrderOptions define how recorded times are corrected.
type OrderOptions struct {
	Window      time.Duration // how late an entry may stand in a file and still be sorted; 0 for DefaultWindow
	MaxGap      time.Duration // longer gaps between entries are shortened to this; 0 to keep them
	stepBackRun int           // number of consecutive late entries that show a clock stepped back; 0 for defaultStepBackRun
}

// DefaultWindow is the usual reorder window. Entries are out of order because servers log requests when they end.
const DefaultWindow = 5 * time.Second

const defaultStepBackRun = 20

// orderedSource sorts the entries of one file by time, in bounded memory:
//
//   - entries within the window are sorted;
//   - an entry that is late by more than the window keeps its place in the file;
//   - entries without a time are spread evenly between their neighbours;
//   - entries whose times are in whole seconds are spread evenly over their second, instead of forming a
//     burst at its start;
//   - when the clock was stepped back, which shows as a run of late entries, later times are shifted forward by
//     the size of the step: the order in the log is then more reliable than its clock.
type orderedSource struct {
	src     Source
	options OrderOptions
	counts  *Counts

	heap            entryHeap
	seq             int64
	latestRead      time.Time     // latest time read, after clockShift was added
	latestReturned  time.Time     // latest time returned by Next
	clockShift      time.Duration // added to times that are read, after the clock was stepped back
	lateRun         []*Entry      // consecutive entries that are late by more than the window
	untimed         []*Entry      // entries without a time, since the last entry with one
	currentSecond   []*Entry      // sorted entries of one whole second, not spread yet
	ready           []*Entry      // entries that Next returns first
	pendingSkip     error         // *Skip that Next returns before anything is read
	sourceErr       error         // final error of src, io.EOF included
	removedSilence  time.Duration // sum of what was cut from long gaps
	lastUnshortened time.Time     // time of the last entry, before long gaps were shortened
}

// Order returns a Source that yields the entries of src, which reads one file, in order of time.
func Order(src Source, opt OrderOptions, counts *Counts) Source {
	if opt.Window <= 0 {
		opt.Window = DefaultWindow
	}
	if opt.stepBackRun == 0 {
		opt.stepBackRun = defaultStepBackRun
	}
	return &orderedSource{src: src, options: opt, counts: counts}
}

func (o *orderedSource) Close() error { return o.src.Close() }

// heapItem is an entry in the heap; entries with the same time keep the order in which they were read.
type heapItem struct {
	entry *Entry
	at    time.Time
	seq   int64
}

// entryHeap is a heap (container/heap) of entries, the earliest first.
type entryHeap []heapItem

func (h entryHeap) Len() int { return len(h) }
func (h entryHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h entryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *entryHeap) Push(x any)   { *h = append(*h, x.(heapItem)) }
func (h *entryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = heapItem{}
	*h = (*h)[:len(*h)-1]
	return last
}

func (o *orderedSource) Next() (*Entry, error) {
	for {
		if len(o.ready) > 0 {
			e := o.ready[0]
			o.ready[0] = nil
			o.ready = o.ready[1:]
			return e, nil
		}
		if o.pendingSkip != nil {
			err := o.pendingSkip
			o.pendingSkip = nil
			return nil, err
		}
		if o.sourceErr != nil {
			if len(o.heap) == 0 && len(o.currentSecond) == 0 {
				return nil, o.sourceErr
			}
			o.popEarliest()
			continue
		}
		e, err := o.src.Next()
		var s *Skip
		switch {
		case errors.As(err, &s):
			return nil, err
		case err != nil:
			o.finish()
			o.sourceErr = err
			continue
		}
		o.add(e)
		for len(o.heap) > 0 && (o.heap[0].at.Before(o.latestRead.Add(-o.options.Window)) || len(o.heap) > MaxPending) {
			o.popEarliest()
		}
	}
}

// add sorts one entry that was read from the source into the heap, or into the entries whose place isn't known yet.
func (o *orderedSource) add(e *Entry) {
	if e.Time.IsZero() {
		o.untimed = append(o.untimed, e)
		if len(o.untimed) > MaxPending/4 { // bounds memory in a long stretch without times: all get the last time
			o.placeUntimed(o.latestRead)
		}
		return
	}
	at := e.Time.Add(o.clockShift)
	if !o.latestRead.IsZero() && at.Before(o.latestRead.Add(-o.options.Window)) {
		o.lateRun = append(o.lateRun, e)
		if len(o.lateRun) >= o.options.stepBackRun {
			o.handleStepBack()
		}
		return
	}
	o.flushLate()
	e.Time = at
	o.placeUntimed(at)
	o.push(e, at)
	if at.After(o.latestRead) {
		o.latestRead = at
	}
}

// push adds an entry to the heap, sorted by the time at.
func (o *orderedSource) push(e *Entry, at time.Time) {
	o.seq++
	heap.Push(&o.heap, heapItem{e, at, o.seq})
}

// placeUntimed gives the entries without a time times evenly between the last recorded time and now, and pushes them.
func (o *orderedSource) placeUntimed(now time.Time) {
	if len(o.untimed) == 0 {
		return
	}
	from := o.latestRead
	if from.IsZero() {
		from = now
	}
	if now.Before(from) {
		now = from
	}
	step := now.Sub(from) / time.Duration(len(o.untimed)+1)
	for i, e := range o.untimed {
		if now.IsZero() { // no time was read so far
			o.currentSecond = append(o.currentSecond, e)
			continue
		}
		e.Time, e.Coarse = from.Add(step*time.Duration(i+1)), false
		o.counts.AddRepair(RepairTimeMissing)
		o.push(e, e.Time)
	}
	o.untimed = o.untimed[:0]
}

// flushLate gives the entries that came late the latest time read so far, as their place in the file, and pushes them.
func (o *orderedSource) flushLate() {
	for _, e := range o.lateRun {
		e.Time, e.Coarse = o.latestRead, false
		o.counts.AddRepair(RepairTimeLate)
		o.push(e, o.latestRead)
	}
	o.lateRun = o.lateRun[:0]
}

// handleStepBack adds to clockShift the step by which the run of late entries shows that the clock was set back.
func (o *orderedSource) handleStepBack() {
	first := o.lateRun[0].Time.Add(o.clockShift)
	o.clockShift += o.latestRead.Sub(first)
	o.counts.AddRepair(RepairClockBack)
	run := append([]*Entry(nil), o.lateRun...)
	o.lateRun = o.lateRun[:0]
	for _, e := range run {
		at := e.Time.Add(o.clockShift)
		if at.Before(o.latestRead.Add(-o.options.Window)) {
			at = o.latestRead
		}
		e.Time = at
		o.push(e, at)
		if at.After(o.latestRead) {
			o.latestRead = at
		}
	}
}

// finish places the entries that are still held back when the source has ended.
func (o *orderedSource) finish() {
	o.flushLate()
	if o.latestRead.IsZero() { // the file has no time at all
		if n := len(o.untimed); n > 0 {
			e := o.untimed[0]
			o.pendingSkip = &Skip{Reason: ReasonNoTime, File: e.File, Line: e.Line}
			o.counts.Skipped[ReasonNoTime] += int64(n) - 1 // the caller counts pendingSkip itself
			o.untimed = nil
		}
		return
	}
	o.placeUntimed(o.latestRead)
}

// popEarliest moves the earliest entry from the heap to currentSecond, and releases that when the next second
// begins.
func (o *orderedSource) popEarliest() {
	if len(o.heap) == 0 {
		o.releaseSecond()
		return
	}
	x := heap.Pop(&o.heap).(heapItem)
	if len(o.currentSecond) > 0 && (!x.at.Truncate(time.Second).Equal(o.currentSecond[0].Time.Truncate(time.Second)) || len(o.currentSecond) >= MaxPending) {
		o.releaseSecond()
	}
	x.entry.Time = x.at
	o.currentSecond = append(o.currentSecond, x.entry)
	if len(o.heap) == 0 && o.sourceErr != nil {
		o.releaseSecond()
	}
}

// releaseSecond moves the entries of currentSecond to ready. Entries with coarse times are spread evenly over
// the second in their order; the other entries keep their times.
func (o *orderedSource) releaseSecond() {
	coarse := 0
	for _, e := range o.currentSecond {
		if e.Coarse {
			coarse++
		}
	}
	n := 0
	for _, e := range o.currentSecond {
		if e.Coarse {
			base := e.Time.Truncate(time.Second)
			e.Time = base.Add(time.Duration((float64(n) + 0.5) / float64(coarse) * float64(time.Second)))
			n++
		}
	}
	slices.SortStableFunc(o.currentSecond, func(a, b *Entry) int { return a.Time.Compare(b.Time) })
	for _, e := range o.currentSecond {
		o.adjustTime(e)
		o.ready = append(o.ready, e)
	}
	o.currentSecond = o.currentSecond[:0]
}

// adjustTime shortens a long gap before an entry, and keeps times from decreasing.
func (o *orderedSource) adjustTime(e *Entry) {
	raw := e.Time
	if o.options.MaxGap > 0 && !o.lastUnshortened.IsZero() && raw.Sub(o.lastUnshortened) > o.options.MaxGap {
		o.removedSilence += raw.Sub(o.lastUnshortened) - o.options.MaxGap
		o.counts.AddRepair(RepairGapShortened)
	}
	o.lastUnshortened = raw
	e.Time = raw.Add(-o.removedSilence)
	if e.Time.Before(o.latestReturned) {
		e.Time = o.latestReturned
	}
	o.latestReturned = e.Time
}

// Merge returns a Source that merges sources, each in order of time, by time.
func Merge(sources ...Source) Source {
	if len(sources) == 1 {
		return sources[0]
	}
	return &mergedSource{sources: sources, heads: make([]*Entry, len(sources)), ended: make([]bool, len(sources))}
}

// mergedSource merges sources by time.
type mergedSource struct {
	sources []Source
	heads   []*Entry // next entry of each source; nil: not read yet
	ended   []bool   // whether each source has ended
}

func (m *mergedSource) Close() error {
	var err error
	for _, s := range m.sources {
		err = errors.Join(err, s.Close())
	}
	return err
}

func (m *mergedSource) Next() (*Entry, error) {
	best := -1
	for i, s := range m.sources {
		if m.heads[i] == nil && !m.ended[i] {
			e, err := s.Next()
			switch {
			case errors.Is(err, io.EOF):
				m.ended[i] = true
				continue
			case err != nil:
				return nil, err
			}
			m.heads[i] = e
		}
		if m.heads[i] != nil && (best < 0 || m.heads[i].Time.Before(m.heads[best].Time)) {
			best = i
		}
	}
	if best < 0 {
		return nil, io.EOF
	}
	e := m.heads[best]
	m.heads[best] = nil
	return e, nil
}
