package quorum

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lemonrail/internal/duty"
)

// gapsWithoutHolder returns, for n seeds, how long no agent may act, in simulated time and sorted: after the holder
// was killed, after it released the duty, or after it handed the duty on, as end says.
func gapsWithoutHolder(t testing.TB, lease time.Duration, end string, n int) (all []time.Duration) {
	for seed := range n {
		x := newSim(t, uint64(1000+seed), disabledGuards{})
		for i := range x.settings.specs {
			x.settings.specs[i].Lease = lease
		}
		for _, p := range x.procs { // restarted, to use that lease
			p.kill()
			p.start()
		}
		holderIndex := func() int { // the process whose agent may act; -1: none
			for i, p := range x.procs {
				if p.up && !p.stopped {
					if _, ok := p.client.holders["work"].MayAct(p.clock()); ok {
						return i
					}
				}
			}
			return -1
		}
		rng := rand.New(rand.NewPCG(uint64(seed), 36))
		settle := x.now + 4*time.Second + time.Duration(rng.Float64()*float64(lease))
		holder := -1
		for x.now < settle || holder < 0 {
			x.step()
			holder = holderIndex()
			if x.now > time.Minute {
				t.Fatalf("seed %d: no agent ever held the duty", seed)
			}
		}
		p := x.procs[holder]
		begun := x.now
		switch end {
		case "killed":
			p.kill()
		case "released":
			p.client.holders["work"].SetWanted(p.clock(), false)
			p.client.holders["work"].Release(p.clock())
		case "handed on":
			to := x.procs[(holder+1)%simAgents]
			to.client.send([]duty.Command{{Kind: duty.NameSuccessor, Duty: "work", Agent: to.name}})
			for holderIndex() == holder && x.now < begun+time.Minute {
				x.step()
			}
			begun = x.now
		}
		for x.step(); holderIndex() < 0 && x.now < begun+2*time.Minute; {
			x.step() // until another agent may act
		}
		if x.violation != "" {
			t.Fatalf("seed %d: %s", seed, x.violation)
		}
		all = append(all, x.now-begun)
	}
	slices.Sort(all)
	return all
}

// After a kill the time without a holder is at most the lease plus 10 % plus two seconds, after a release two
// seconds, after a hand-on 600 ms.
func TestGapsWithoutHolder(t *testing.T) {
	n := 6
	if *seedCount >= 500 {
		n = 200
	}
	for _, lease := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		for _, planned := range []string{"killed", "released", "handed on"} {
			all := gapsWithoutHolder(t, lease, planned, n)
			t.Logf("lease %v, %s: p50 %v, p99 %v", lease, planned, all[len(all)/2], all[len(all)*99/100])
			bound := 2 * time.Second // a few round trips, and possibly an election
			if planned == "killed" {
				bound += lease * 11 / 10
			}
			if planned == "handed on" {
				bound = 600 * time.Millisecond
			}
			if worst := all[len(all)-1]; worst > bound {
				t.Errorf("lease %v, %s: no agent may act for %v, want at most %v", lease, planned, worst, bound)
			}
		}
	}
}

// Counts the epochs of an hour, and so the unnecessary changes of holder: without faults, and with one of the five
// processes paused for 1 to 5 s each minute. Frames take 1 to 8 ms, rounded up to the simulation's steps. A pause
// that outlasts a lease makes its change of holder necessary.
func TestHandoversPerHour(t *testing.T) {
	if *seedCount < 500 {
		t.Skip("long measurement: needs -timetables 500")
	}
	for _, lease := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		for _, stops := range []bool{false, true} {
			x := newSim(t, 7, disabledGuards{})
			x.settings.specs[0].Lease = lease
			for _, p := range x.procs {
				p.kill()
				p.start()
			}
			until := map[int]time.Duration{} // by process: when its pause ends
			for x.now < time.Hour {
				x.step()
				if stops && x.now%time.Minute == 0 {
					i := x.rng.IntN(simAgents)
					x.procs[i].stopped = true
					until[i] = x.now + time.Second + time.Duration(x.rng.Float64()*float64(4*time.Second))
				}
				for i, at := range until {
					if x.now >= at {
						x.procs[i].stopped = false
						delete(until, i)
					}
				}
			}
			if x.violation != "" {
				t.Fatal(x.violation)
			}
			t.Logf("lease %v, stops %v: %d epochs in an hour", lease, stops, len(x.holders))
		}
	}
}
