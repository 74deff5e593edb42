package load

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"strconv"
	"time"
)

// MaxRemembered is the maximum number of requests that Repeats remembers.
const MaxRemembered = 1 << 16

// Repeats detects requests that a client sent again: a request with the same idempotency key, or the same
// request (class, target, body) of the same client, within a window. A repeat keeps its own time and number;
// its origin is the first request, whose idempotency key it shares.
type Repeats struct {
	window, keyWindow time.Duration                       // windows of requests without and with an idempotency key
	byKey             map[[sha256.Size]byte]*list.Element // remembered requests, by a hash of what repeats have in common
	keyText           []byte                              // buffer of the text that is hashed to a key of byKey
	unkeyed, keyed    *list.List                          // of *rememberedRequest, the oldest first; keyed ones are remembered for longer
	seq               int64                               // number of requests so far

	Found int64 // number of repeats detected so far
}

// rememberedRequest is a request that later ones may repeat.
type rememberedRequest struct {
	key            [sha256.Size]byte
	lastTime       time.Time // of the request or its latest repeat
	origin         int64     // number of the first request
	idempotencyKey string
}

// NewRepeats returns a Repeats with the windows of a mapping.
func NewRepeats(m *Mapping) *Repeats {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	return &Repeats{window: ms(m.RepeatWindowMs), keyWindow: ms(m.KeyRepeatWindowMs), byKey: map[[sha256.Size]byte]*list.Element{}, unkeyed: list.New(), keyed: list.New()}
}

// Identify numbers a request and sets Repeat and Origin. Requests must come in order of time. A request that
// needs an idempotency key gets a generated one if none was recorded.
func (r *Repeats) Identify(q *Request) {
	q.Seq, q.Origin = r.seq, r.seq
	r.seq++
	identifiable, entries := true, r.unkeyed
	r.dropBefore(r.unkeyed, q.Time.Add(-r.window))
	r.dropBefore(r.keyed, q.Time.Add(-r.keyWindow))
	r.keyText = r.keyText[:0]
	add := func(parts ...string) { // each part ends with a zero byte
		for _, p := range parts {
			r.keyText = append(append(r.keyText, p...), 0)
		}
	}
	switch {
	case q.IdempotencyKey != "":
		entries = r.keyed
		add("key", q.Class, q.IdempotencyKey)
	case q.Client != "":
		add("request", q.Client, q.Class, q.Target)
		r.keyText = append(r.keyText, q.Body...)
	default:
		identifiable = false
	}
	key := sha256.Sum256(r.keyText)
	if identifiable {
		if element := r.byKey[key]; element != nil {
			earlier := element.Value.(*rememberedRequest) // within its window, since older ones were dropped above
			q.Repeat, q.Origin, q.IdempotencyKey = true, earlier.origin, earlier.idempotencyKey
			r.Found++
			earlier.lastTime = q.Time
			entries.MoveToBack(element)
			return
		}
	}
	if q.needsIdempotencyKey && q.IdempotencyKey == "" {
		q.IdempotencyKey = generatedKey(q.Seq)
	}
	if !identifiable {
		return
	}
	r.byKey[key] = entries.PushBack(&rememberedRequest{key: key, lastTime: q.Time, origin: q.Origin, idempotencyKey: q.IdempotencyKey})
	for entries.Len() > MaxRemembered/2 {
		r.dropOldest(entries)
	}
}

// dropBefore forgets the requests whose last time is before a time: their window has passed.
func (r *Repeats) dropBefore(entries *list.List, before time.Time) {
	for oldest := entries.Front(); oldest != nil && oldest.Value.(*rememberedRequest).lastTime.Before(before); oldest = entries.Front() {
		r.dropOldest(entries)
	}
}

// dropOldest forgets the oldest of the entries.
func (r *Repeats) dropOldest(entries *list.List) {
	delete(r.byKey, entries.Remove(entries.Front()).(*rememberedRequest).key)
}

// generatedKey returns an idempotency key for a request without a recorded one, made of its number, so that it is the same at each play.
func generatedKey(seq int64) string {
	h := fnv.New128a()
	h.Write(strconv.AppendInt([]byte("lemonrail load "), seq, 10))
	return hex.EncodeToString(h.Sum(nil))
}
