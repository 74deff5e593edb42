package load

import (
	"container/heap"
	"errors"
	"io"
	"slices"
	"time"
)

// MaxPending bounds the entries that are held to be put in order.
const MaxPending = 1 << 16

// OrderOptions say how times are put right.
type OrderOptions struct {
	Window  time.Duration // entries may stand so much too late in a file; 0: DefaultWindow
	MaxGap  time.Duration // longer silences are shortened to this; 0: kept
	backRun int           // entries in a row that tell that the clock was stepped back; 0: defaultBackRun
}

// DefaultWindow is the usual reorder window: servers log requests when they end.
const DefaultWindow = 5 * time.Second

const defaultBackRun = 20

// order puts the entries of one file into the order of their times, in bounded memory:
//
//   - within the window they are sorted;
//   - one that comes later than that stays where it stood in the file;
//   - one without a time is spread between its neighbours;
//   - where times are in whole seconds, those of one second are spread over it evenly, instead of
//     standing in a burst at its edge;
//   - when the clock was stepped back, as a run of entries that are all late shows, what follows
//     moves on by the step: the log's order then tells more than its clock.
type order struct {
	src    Source
	opt    OrderOptions
	counts *Counts

	heap    entryHeap
	seq     int64
	high    time.Time     // latest time read, corrected
	out     time.Time     // latest time given out
	shift   time.Duration // added to what is read, after the clock was stepped back
	late    []*Entry      // in a row, all beyond the window
	noTime  []*Entry      // since the last entry with a time
	second  []*Entry      // of one whole second, in order
	ready   []*Entry      // to be given out next
	skip    error         // to be said next
	end     error         // of the source
	gapped  time.Duration // taken out of long silences
	lastRaw time.Time
}

// Order wraps a source of one file.
func Order(src Source, opt OrderOptions, counts *Counts) Source {
	if opt.Window <= 0 {
		opt.Window = DefaultWindow
	}
	if opt.backRun == 0 {
		opt.backRun = defaultBackRun
	}
	return &order{src: src, opt: opt, counts: counts}
}

func (o *order) Close() error { return o.src.Close() }

type ordered struct {
	e   *Entry
	at  time.Time
	seq int64
}

type entryHeap []ordered

func (h entryHeap) Len() int { return len(h) }
func (h entryHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h entryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *entryHeap) Push(x any)   { *h = append(*h, x.(ordered)) }
func (h *entryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = ordered{}
	*h = (*h)[:len(*h)-1]
	return last
}

func (o *order) Next() (*Entry, error) {
	for {
		if len(o.ready) > 0 {
			e := o.ready[0]
			o.ready[0] = nil
			o.ready = o.ready[1:]
			return e, nil
		}
		if o.skip != nil {
			err := o.skip
			o.skip = nil
			return nil, err
		}
		if o.end != nil {
			if len(o.heap) == 0 && len(o.second) == 0 {
				return nil, o.end
			}
			o.pop()
			continue
		}
		e, err := o.src.Next()
		var s *Skip
		switch {
		case errors.As(err, &s):
			return nil, err
		case err != nil:
			o.settle()
			o.end = err
			continue
		}
		o.take(e)
		for len(o.heap) > 0 && (o.heap[0].at.Before(o.high.Add(-o.opt.Window)) || len(o.heap) > MaxPending) {
			o.pop()
		}
	}
}

// take adds one entry that was read.
func (o *order) take(e *Entry) {
	if e.Time.IsZero() {
		o.noTime = append(o.noTime, e)
		if len(o.noTime) > MaxPending/4 { // a long stretch without times: it stands where the last time was
			o.place(o.high)
		}
		return
	}
	at := e.Time.Add(o.shift)
	if !o.high.IsZero() && at.Before(o.high.Add(-o.opt.Window)) {
		o.late = append(o.late, e)
		if len(o.late) >= o.opt.backRun {
			o.steppedBack()
		}
		return
	}
	o.flushLate()
	e.Time = at
	o.place(at)
	o.push(e, at)
	if at.After(o.high) {
		o.high = at
	}
}

func (o *order) push(e *Entry, at time.Time) {
	o.seq++
	heap.Push(&o.heap, ordered{e, at, o.seq})
}

// place spreads the entries without a time between the last one that had one and now.
func (o *order) place(now time.Time) {
	if len(o.noTime) == 0 {
		return
	}
	from := o.high
	if from.IsZero() {
		from = now
	}
	if now.Before(from) {
		now = from
	}
	step := now.Sub(from) / time.Duration(len(o.noTime)+1)
	for i, e := range o.noTime {
		if now.IsZero() { // not one time so far
			o.second = append(o.second, e)
			continue
		}
		e.Time, e.Coarse = from.Add(step*time.Duration(i+1)), false
		o.counts.Note(NoteTimeMissing)
		o.push(e, e.Time)
	}
	o.noTime = o.noTime[:0]
}

// flushLate places entries beyond the window where they stood: at the latest time so far.
func (o *order) flushLate() {
	for _, e := range o.late {
		e.Time, e.Coarse = o.high, false
		o.counts.Note(NoteTimeLate)
		o.push(e, o.high)
	}
	o.late = o.late[:0]
}

// steppedBack moves on the clock by what it was stepped back.
func (o *order) steppedBack() {
	first := o.late[0].Time.Add(o.shift)
	o.shift += o.high.Sub(first)
	o.counts.Note(NoteClockBack)
	run := append([]*Entry(nil), o.late...)
	o.late = o.late[:0]
	for _, e := range run {
		at := e.Time.Add(o.shift)
		if at.Before(o.high.Add(-o.opt.Window)) {
			at = o.high
		}
		e.Time = at
		o.push(e, at)
		if at.After(o.high) {
			o.high = at
		}
	}
}

// settle ends the file: nothing more will tell what to make of what is still open.
func (o *order) settle() {
	o.flushLate()
	if o.high.IsZero() { // no time at all
		if n := len(o.noTime); n > 0 {
			e := o.noTime[0]
			o.skip = &Skip{Reason: ReasonNoTime, File: e.File, Line: e.Line}
			o.counts.Skipped[ReasonNoTime] += int64(n) - 1 // and the one that is said
			o.noTime = nil
		}
		return
	}
	o.place(o.high)
}

// pop moves the earliest entry on. Those of one whole second are collected, and spread when the
// next second begins.
func (o *order) pop() {
	if len(o.heap) == 0 {
		o.spread()
		return
	}
	x := heap.Pop(&o.heap).(ordered)
	if len(o.second) > 0 && (!x.at.Truncate(time.Second).Equal(o.second[0].Time.Truncate(time.Second)) || len(o.second) >= MaxPending) {
		o.spread()
	}
	x.e.Time = x.at
	o.second = append(o.second, x.e)
	if len(o.heap) == 0 && o.end != nil {
		o.spread()
	}
}

// spread gives out the entries of one second. Those whose times are coarse are laid out evenly
// over it, in the order in which they stand among each other; the others keep their times.
func (o *order) spread() {
	coarse := 0
	for _, e := range o.second {
		if e.Coarse {
			coarse++
		}
	}
	n := 0
	for _, e := range o.second {
		if e.Coarse {
			base := e.Time.Truncate(time.Second)
			e.Time = base.Add(time.Duration((float64(n) + 0.5) / float64(coarse) * float64(time.Second)))
			n++
		}
	}
	slices.SortStableFunc(o.second, func(a, b *Entry) int { return a.Time.Compare(b.Time) })
	for _, e := range o.second {
		o.gap(e)
		o.ready = append(o.ready, e)
	}
	o.second = o.second[:0]
}

// gap shortens long silences, and keeps times from running backwards.
func (o *order) gap(e *Entry) {
	raw := e.Time
	if o.opt.MaxGap > 0 && !o.lastRaw.IsZero() && raw.Sub(o.lastRaw) > o.opt.MaxGap {
		o.gapped += raw.Sub(o.lastRaw) - o.opt.MaxGap
		o.counts.Note(NoteClockAhead)
	}
	o.lastRaw = raw
	e.Time = raw.Add(-o.gapped)
	if e.Time.Before(o.out) {
		e.Time = o.out
	}
	o.out = e.Time
}

// Merge joins sources that are each in order of time into one that is.
func Merge(sources ...Source) Source {
	if len(sources) == 1 {
		return sources[0]
	}
	return &merge{sources: sources, heads: make([]*Entry, len(sources)), ended: make([]bool, len(sources))}
}

type merge struct {
	sources []Source
	heads   []*Entry
	ended   []bool
}

func (m *merge) Close() error {
	var err error
	for _, s := range m.sources {
		err = errors.Join(err, s.Close())
	}
	return err
}

func (m *merge) Next() (*Entry, error) {
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
