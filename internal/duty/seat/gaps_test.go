package seat

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lemonrail/internal/duty"
)

// gaps is how long nobody may act, in simulated time, for a lease: after the holder was killed, and after it handed on
// or let go.
func gaps(t testing.TB, lease time.Duration, planned string, n int) (all []time.Duration) {
	for seed := range n {
		x := newSim(t, uint64(1000+seed), missing{})
		for i := range x.set.specs {
			x.set.specs[i].Lease = lease
		}
		for _, p := range x.procs { // anew, with that lease
			p.kill()
			p.start()
		}
		may := func() int {
			for i, p := range x.procs {
				if p.up && !p.stopped {
					if _, ok := p.client.holders["work"].May(p.clock()); ok {
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
			holder = may()
			if x.now > time.Minute {
				t.Fatalf("seed %d: nobody ever held it", seed)
			}
		}
		p := x.procs[holder]
		begun := x.now
		switch planned {
		case "killed":
			p.kill()
		case "released":
			p.client.holders["work"].Want(p.clock(), false)
			p.client.holders["work"].Release(p.clock())
		case "handed on":
			to := x.procs[(holder+1)%simAgents]
			to.client.send([]duty.Command{{Kind: duty.Name, Duty: "work", Agent: to.name}})
			for may() == holder && x.now < begun+time.Minute {
				x.step()
			}
			begun = x.now
		}
		for x.step(); may() < 0 && x.now < begun+2*time.Minute; {
			x.step()
		}
		if x.broken != "" {
			t.Fatalf("seed %d: %s", seed, x.broken)
		}
		all = append(all, x.now-begun)
	}
	slices.Sort(all)
	return all
}

func TestGapsWithoutAHolder(t *testing.T) {
	n := 6
	if *seeds >= 500 {
		n = 200
	}
	for _, lease := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		for _, planned := range []string{"killed", "released", "handed on"} {
			all := gaps(t, lease, planned, n)
			t.Logf("lease %v, %s: p50 %v, p99 %v", lease, planned, all[len(all)/2], all[len(all)*99/100])
			bound := 2 * time.Second // some rounds, an election among them
			if planned == "killed" {
				bound += lease * 11 / 10
			}
			if planned == "handed on" {
				bound = 600 * time.Millisecond
			}
			if worst := all[len(all)-1]; worst > bound {
				t.Errorf("lease %v, %s: nobody may act for %v, %v at the most is wanted", lease, planned, worst, bound)
			}
		}
	}
}

// False handovers: one in five processes stopped for 1 to 5 s each minute, and every link's frames up to a fifth of a
// second late. A stop that outlasts a lease is no false one.
func TestHandoversAnHour(t *testing.T) {
	if *seeds < 500 {
		t.Skip("a measurement: -timetables 500")
	}
	for _, lease := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		for _, stops := range []bool{false, true} {
			x := newSim(t, 7, missing{})
			x.set.specs[0].Lease = lease
			for _, p := range x.procs {
				p.kill()
				p.start()
			}
			until := map[int]time.Duration{}
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
			if x.broken != "" {
				t.Fatal(x.broken)
			}
			t.Logf("lease %v, stops %v: %d epochs in an hour", lease, stops, len(x.holders))
		}
	}
}
