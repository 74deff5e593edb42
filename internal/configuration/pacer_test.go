package configuration

import (
	"testing"
	"time"
)

// No span of a second has more than the rate and the burst, whatever is sent.
func TestPacerBoundsEachSecond(t *testing.T) {
	type sent struct {
		at    time.Duration
		bytes int
	}
	for seed := range uint64(100) {
		rng := newRand(seed)
		now := time.Duration(rng.IntN(1e9))
		pacer := NewPacer(PaceRate, PaceBurst, now)
		var all []sent
		total := 0
		begin := now
		for range 300 {
			if rng.IntN(10) == 0 {
				now += time.Duration(rng.IntN(3e9))
			}
			bytes := 1 + rng.IntN(PaceBurst)
			now += pacer.Wait(bytes, now)
			all = append(all, sent{now, bytes})
			total += bytes
		}
		for i, from := range all {
			within := 0
			for _, s := range all[i:] {
				if s.at-from.at < time.Second {
					within += s.bytes
				}
			}
			if within > PaceRate+PaceBurst {
				t.Fatalf("seed %d: %d bytes in the second from %v", seed, within, from.at)
			}
		}
		if most := PaceBurst + PaceRate*(now-begin).Seconds() + 1; float64(total) > most {
			t.Fatalf("seed %d: %d bytes in %v", seed, total, now-begin)
		}
	}
}

// A queue is sent at the rate, no slower.
func TestPacerSendsAtTheRate(t *testing.T) {
	pacer, now := NewPacer(PaceRate, PaceBurst, 0), time.Duration(0)
	for range 11 {
		now += pacer.Wait(1500, now)
	}
	if want := 4500 * time.Millisecond; now < want-time.Millisecond || now > want+time.Millisecond { // 16,500 bytes, of them a burst at once
		t.Errorf("it took %v", now)
	}
	if wait := pacer.Wait(1, now-time.Hour); wait < 0 || wait > time.Second {
		t.Errorf("a clock that runs backwards: wait %v", wait)
	}
}

// The longest document reaches an agent well within the nine seconds that a change has.
func TestPacerLetsTheLongestDocumentThrough(t *testing.T) {
	r := NewRegistry(FleetGroup)
	document := longDocument(1, 1)
	for n := 2; len(document.Canonical()) < DocumentMost-100; n++ {
		document = longDocument(n, 1)
	}
	mustPut(t, r, 1, change("c", Fleet, 0, document))
	pacer, now, total := NewPacer(PaceRate, PaceBurst, 0), time.Duration(0), 0
	for _, u := range r.Updates(Fleet, Position{}) {
		line, err := jsonLine(u)
		must(t, err)
		now += pacer.Wait(len(line), now)
		total += len(line)
	}
	t.Logf("%d bytes of document in %d bytes of lines, %v", len(document.Canonical()), total, now)
	if now > 7*time.Second {
		t.Errorf("it took %v", now)
	}
}
