package load

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"strconv"
	"time"
)

// MaxRemembered bounds the requests that are kept to recognise repeats by.
const MaxRemembered = 1 << 16

// Repeats recognises requests that a client sent again: the same idempotency key, or the same
// request (class, target, body) of the same client, within a window. Each keeps its place in time and
// its number; a repeat names the first one as its origin, and shares its key.
type Repeats struct {
	window, keyWindow time.Duration
	byKey             map[[sha256.Size]byte]*list.Element
	text              []byte     // of which a key is made
	recent, keys      *list.List // of remembered, the oldest first; those by key last for longer
	seq               int64

	Count int64 // repeats so far
}

type remembered struct {
	key    [sha256.Size]byte
	at     time.Time // of the latest
	origin int64
	effect string
}

// NewRepeats returns an empty memory for the windows of a mapping.
func NewRepeats(m *Mapping) *Repeats {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	return &Repeats{window: ms(m.RepeatWindowMs), keyWindow: ms(m.KeyRepeatWindowMs), byKey: map[[sha256.Size]byte]*list.Element{}, recent: list.New(), keys: list.New()}
}

// Note numbers a request and notes whether it repeats one. Requests must come in order of time.
// One that needs an idempotency key gets one if none was recorded.
func (r *Repeats) Note(q *Request) {
	q.Seq, q.Origin = r.seq, r.seq
	r.seq++
	known, among := true, r.recent
	r.forget(r.recent, q.Time.Add(-r.window))
	r.forget(r.keys, q.Time.Add(-r.keyWindow))
	r.text = r.text[:0]
	add := func(parts ...string) { // a zero byte parts them
		for _, p := range parts {
			r.text = append(append(r.text, p...), 0)
		}
	}
	switch {
	case q.Effect != "":
		among = r.keys
		add("key", q.Class, q.Effect)
	case q.Client != "":
		add("request", q.Client, q.Class, q.Target)
		r.text = append(r.text, q.Body...)
	default:
		known = false
	}
	key := sha256.Sum256(r.text)
	if known {
		if at := r.byKey[key]; at != nil {
			m := at.Value.(*remembered) // within its window, or it would have been forgotten
			q.Repeat, q.Origin, q.Effect = true, m.origin, m.effect
			r.Count++
			m.at = q.Time
			among.MoveToBack(at)
			return
		}
	}
	if q.keyed && q.Effect == "" {
		q.Effect = madeKey(q.Seq)
	}
	if !known {
		return
	}
	r.byKey[key] = among.PushBack(&remembered{key: key, at: q.Time, origin: q.Origin, effect: q.Effect})
	for among.Len() > MaxRemembered/2 {
		r.drop(among)
	}
}

// forget drops what can't be repeated any longer.
func (r *Repeats) forget(among *list.List, before time.Time) {
	for at := among.Front(); at != nil && at.Value.(*remembered).at.Before(before); at = among.Front() {
		r.drop(among)
	}
}

func (r *Repeats) drop(among *list.List) {
	delete(r.byKey, among.Remove(among.Front()).(*remembered).key)
}

// madeKey is an idempotency key for a request of which none was recorded.
func madeKey(seq int64) string {
	h := fnv.New128a()
	h.Write(strconv.AppendInt([]byte("lemonrail load "), seq, 10))
	return hex.EncodeToString(h.Sum(nil))
}
