package configuration

import (
	"testing"
	"time"
)

// No period of one second has more bytes than PaceRate and PaceBurst together, whatever is sent.
func TestPacerBoundsEachSecond(t *testing.T) {
	type send struct {
		at    time.Duration
		bytes int
	}
	for seed := range uint64(100) {
		rng := newRand(seed)
		now := time.Duration(rng.IntN(1e9))
		pacer := NewPacer(PaceRate, PaceBurst, now)
		var sends []send
		total := 0
		begin := now
		for range 300 {
			if rng.IntN(10) == 0 {
				now += time.Duration(rng.IntN(3e9))
			}
			bytes := 1 + rng.IntN(PaceBurst)
			now += pacer.Reserve(bytes, now)
			sends = append(sends, send{now, bytes})
			total += bytes
		}
		for i, from := range sends {
			within := 0
			for _, s := range sends[i:] {
				if s.at-from.at < time.Second {
					within += s.bytes
				}
			}
			if within > PaceRate+PaceBurst {
				t.Fatalf("seed %d: %d bytes in the second from %v", seed, within, from.at)
			}
		}
		if maxTotal := PaceBurst + PaceRate*(now-begin).Seconds() + 1; float64(total) > maxTotal {
			t.Fatalf("seed %d: %d bytes in %v", seed, total, now-begin)
		}
	}
}

// A queue of lines is sent at PaceRate, after the first PaceBurst bytes at once.
func TestPacerSendsAtTheRate(t *testing.T) {
	pacer, now := NewPacer(PaceRate, PaceBurst, 0), time.Duration(0)
	for range 11 {
		now += pacer.Reserve(1500, now)
	}
	if want := 4500 * time.Millisecond; now < want-time.Millisecond || now > want+time.Millisecond { // 16,500 bytes, the first 3,000 without a wait
		t.Errorf("sending took %v", now)
	}
	if wait := pacer.Reserve(1, now-time.Hour); wait < 0 || wait > time.Second {
		t.Errorf("wait %v after the clock went backwards", wait)
	}
}

// The longest document is sent within 7 of the 9 s in which a change has to be in force.
func TestPacerSendsLongestDocumentInTime(t *testing.T) {
	r := NewRegistry(FleetGroup)
	document := longDocument(1, 1)
	for n := 2; len(document.Canonical()) < MaxDocumentBytes-100; n++ {
		document = longDocument(n, 1)
	}
	mustPut(t, r, 1, newChange("c", Fleet, 0, document))
	pacer, now, total := NewPacer(PaceRate, PaceBurst, 0), time.Duration(0), 0
	for _, u := range r.Updates(Fleet, Position{}) {
		line, err := jsonLine(u)
		must(t, err)
		now += pacer.Reserve(len(line), now)
		total += len(line)
	}
	t.Logf("%d bytes of document in %d bytes of lines, %v", len(document.Canonical()), total, now)
	if now > 7*time.Second {
		t.Errorf("sending took %v", now)
	}
}
