package load

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"time"
)

// MaxRemembered bounds the requests that are kept to recognise repeats by.
const MaxRemembered = 1 << 16

// Repeats recognises requests that a client sent again: the same idempotency key, or the same
// request (class, target, body) of the same client, within a window. Each keeps its place in time and
// its number; a repeat names the first one as its origin, and shares its key.
type Repeats struct {
	window, keyWindow time.Duration
	byKey             map[string]*list.Element
	recent            *list.List // of remembered, the oldest first
	seq               int64

	Count int64 // repeats so far
}

type remembered struct {
	key    string
	at     time.Time // of the latest
	origin int64
	effect string
}

// NewRepeats returns an empty memory for the windows of a mapping.
func NewRepeats(m *Mapping) *Repeats {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	return &Repeats{window: ms(m.RepeatWindowMs), keyWindow: ms(m.KeyRepeatWindowMs), byKey: map[string]*list.Element{}, recent: list.New()}
}

// Note numbers a request and notes whether it repeats one. Requests must come in order of time.
// One that needs an idempotency key gets one if none was recorded.
func (r *Repeats) Note(q *Request) {
	q.Seq, q.Origin = r.seq, r.seq
	r.seq++
	key, window := "", r.window
	switch {
	case q.Effect != "":
		key, window = "k "+q.Class+" "+q.Effect, r.keyWindow
	case q.Client != "":
		h := sha256.New()
		fmt.Fprintf(h, "%q %q %q ", q.Client, q.Class, q.Target)
		h.Write(q.Body)
		key = "r " + string(h.Sum(nil))
	}
	if key != "" {
		if at := r.byKey[key]; at != nil {
			m := at.Value.(*remembered)
			if d := q.Time.Sub(m.at); d >= 0 && d <= window {
				q.Repeat, q.Origin, q.Effect = true, m.origin, m.effect
				r.Count++
				m.at = q.Time
				r.recent.MoveToBack(at)
				return
			}
			r.recent.Remove(at)
			delete(r.byKey, key)
		}
	}
	if q.keyed && q.Effect == "" {
		q.Effect = madeKey(q.Seq)
	}
	if key == "" {
		return
	}
	r.byKey[key] = r.recent.PushBack(&remembered{key: key, at: q.Time, origin: q.Origin, effect: q.Effect})
	for r.recent.Len() > MaxRemembered {
		oldest := r.recent.Remove(r.recent.Front()).(*remembered)
		delete(r.byKey, oldest.key)
	}
}

// madeKey is an idempotency key for a request of which none was recorded.
func madeKey(seq int64) string {
	h := fnv.New128a()
	fmt.Fprintf(h, "lemonrail load %d", seq)
	return hex.EncodeToString(h.Sum(nil))
}
