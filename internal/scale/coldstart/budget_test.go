package coldstart

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// peakLoad's sliding window gives the same peak as adding up each window separately.
func TestHeaviestWindow(t *testing.T) {
	one := func(Arrival) float64 { return 1 }
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var arrivals []Arrival
		for range 200 {
			arrivals = append(arrivals, Arrival{Age: time.Duration(rng.Float64() * float64(rampTime) * 1.2), Notified: rng.IntN(4) > 0})
		}
		slices.SortFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.Age, b.Age) })
		perSecond := 5 + 20*rng.Float64()
		var want Peak
		for _, last := range arrivals {
			sum, told := 0.0, 0.0
			for _, a := range slices.Backward(arrivals) {
				if a.Age > last.Age || a.Age <= last.Age-fallWindow || last.Age >= rampTime {
					continue
				}
				sum++
				if a.Notified {
					told++
				}
				n, then := allowed(perSecond, a.Age), Bound(allowed(perSecond, last.Age))
				want.merge(Peak{ShareOfN: sum / n, ShareOfBound: sum / Bound(n), ShareOfFinalBound: sum / then})
			}
			want.ExceedsFinalBound = want.ExceedsFinalBound || sum > Bound(allowed(perSecond, last.Age)) && told > sum*2/3
		}
		if got := peakLoad(arrivals, perSecond, one); got != want {
			t.Errorf("seed %d: %+v, every window gives %+v", seed, got, want)
		}
	}
}

// Peaks of steady streams of requests to a cold backend: just under the allowed rate they stay within N, the number that the
// settings allow; at twice the allowed rate they exceed Bound(N).
func TestSteadyStreams(t *testing.T) {
	const perSecond = 40.0
	stream := func(times float64) (arrivals []Arrival) {
		for at := 0.0; at < rampTime.Seconds(); at += 1 / (times * fallMultiple * coldShare * perSecond) {
			arrivals = append(arrivals, Arrival{Age: time.Duration(at * float64(time.Second)), Notified: true})
		}
		return arrivals
	}
	one := func(Arrival) float64 { return 1 }
	if p := peakLoad(stream(.98), perSecond, one); p.ShareOfN > 1 || p.ExceedsFinalBound {
		t.Errorf("just under the allowance: %+v", p)
	}
	if p := peakLoad(stream(2), perSecond, one); p.ShareOfBound < 1 || !p.ExceedsFinalBound {
		t.Errorf("twice the allowance: %+v", p)
	}
}
