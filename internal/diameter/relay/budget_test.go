package relay

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonrail/balance"
)

// All that Diameter may hold in bytes is a stated share of the memory: an eighth for pending requests and unread answers, and
// a sixty-fourth for kept answers.
func TestLimitsFollowMemory(t *testing.T) {
	for memory, want := range map[int64]Limits{
		0:         DefaultLimits(),
		64 << 20:  {MaxPendingBytes: 2 << 20, MaxKeptBytes: 1 << 20, MaxQueuedBytes: 4 << 20},
		192 << 20: {MaxPendingBytes: 6 << 20, MaxKeptBytes: 3 << 20, MaxQueuedBytes: 12 << 20},
		8 << 30:   DefaultLimits(),
	} {
		got := DefaultLimits().WithMemory(memory)
		if got.MaxPendingBytes != want.MaxPendingBytes || got.MaxKeptBytes != want.MaxKeptBytes || got.MaxQueuedBytes != want.MaxQueuedBytes {
			t.Errorf("%d bytes of memory: %+v, want %+v", memory, got, want)
		}
	}
}

// Guards against memory that grows with long requests whose servers hang: beyond the room for pending requests a new one is
// refused, but an unsafe resend never is, and the room is free again with the answers.
func TestPendingBytesAreBounded(t *testing.T) {
	const size = 60 << 10
	limits := DefaultLimits()
	limits.MaxPendingBytes = 2*size + 1
	table := NewTable(limits)
	arrive := func(id uint32, resent bool) Verdict {
		v, _ := table.Arrive(Arrival{Key: RequestKey{"c", id}, Resent: resent, Effect: balance.Unsafe, Bytes: size}, 0)
		return v
	}
	for id, want := range []Verdict{New, New, Busy} {
		if got := arrive(uint32(id), false); got != want {
			t.Errorf("request %d: verdict %d, want %d", id, got, want)
		}
	}
	if got := arrive(0, true); got != Joined {
		t.Errorf("the resend of a pending request: verdict %d", got)
	}
	if got := arrive(3, true); got != MayHaveRun {
		t.Errorf("the resend of an unknown request: verdict %d", got)
	}
	table.Complete(RequestKey{"c", 0}, nil, false, time.Second)
	if got := arrive(2, false); got != New {
		t.Errorf("after an answer: verdict %d", got)
	}
}

// For any changes of queues: the total is the sum of all, a client without unread answers is always accepted, and while the
// queues are full, so that somebody is refused, the one with the longest queue is.
func TestAnswerQueues(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const limit = 100
		queues, sizes := NewAnswerQueues(limit), map[uint64]int{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			conn := uint64(rapid.IntRange(1, 5).Draw(rt, "connection"))
			change := rapid.IntRange(-sizes[conn], 60).Draw(rt, "bytes")
			queues.Add(conn, change)
			sizes[conn] += change
			total, longest := 0, uint64(1)
			for c, size := range sizes {
				total += size
				if size > sizes[longest] {
					longest = c
				}
			}
			if queues.Bytes() != total {
				rt.Fatalf("%d bytes, want %d", queues.Bytes(), total)
			}
			for c := uint64(1); c <= 6; c++ {
				if (total < limit || sizes[c] == 0) && !queues.Accepts(c) {
					rt.Fatalf("connection %d with %d of %d bytes is refused", c, sizes[c], total)
				}
			}
			if total >= limit && queues.Accepts(longest) {
				rt.Fatalf("the longest queue, %d of %d bytes, is accepted", sizes[longest], total)
			}
		}
	})
}
