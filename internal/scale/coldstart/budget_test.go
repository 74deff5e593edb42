package coldstart

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The sliding count finds what a look at every window finds.
func TestHeaviestWindow(t *testing.T) {
	one := func(Arrival) float64 { return 1 }
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var arrivals []Arrival
		for range 200 {
			arrivals = append(arrivals, Arrival{At: time.Duration(rng.Float64() * float64(rampTime) * 1.2), Told: rng.IntN(4) > 0})
		}
		slices.SortFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
		perSecond := 5 + 20*rng.Float64()
		var want Peak
		for _, last := range arrivals {
			sum, told := 0.0, 0.0
			for _, a := range slices.Backward(arrivals) {
				if a.At > last.At || a.At <= last.At-fallWindow || last.At >= rampTime {
					continue
				}
				sum++
				if a.Told {
					told++
				}
				n, then := allowed(perSecond, a.At), Bound(allowed(perSecond, last.At))
				want.merge(Peak{Share: sum / n, Bound: sum / Bound(n), BoundThen: sum / then})
			}
			want.Broken = want.Broken || sum > Bound(allowed(perSecond, last.At)) && told > sum*2/3
		}
		if got := heaviest(arrivals, perSecond, one); got != want {
			t.Errorf("seed %d: %+v, every window gives %+v", seed, got, want)
		}
	}
}

// A steady stream at the allowance stays within N and one of twice as much doesn't.
func TestSteadyStreams(t *testing.T) {
	const perSecond = 40.0
	stream := func(times float64) (arrivals []Arrival) {
		for at := 0.0; at < rampTime.Seconds(); at += 1 / (times * fallMultiple * coldShare * perSecond) {
			arrivals = append(arrivals, Arrival{At: time.Duration(at * float64(time.Second)), Told: true})
		}
		return arrivals
	}
	one := func(Arrival) float64 { return 1 }
	if p := heaviest(stream(.98), perSecond, one); p.Share > 1 || p.Broken {
		t.Errorf("just under the allowance: %+v", p)
	}
	if p := heaviest(stream(2), perSecond, one); p.Bound < 1 || !p.Broken {
		t.Errorf("twice the allowance: %+v", p)
	}
}
