package coldstart

import (
	"math"
	"time"
)

// Arrival is one attempt that reached a backend while it was cold.
type Arrival struct {
	At   time.Duration // since the backend's start
	Work time.Duration // on one core of a warm backend
	Told bool          // its agent had been told of the start
}

// Bound is what the users put down to chance: a backend falls when it gets more than this.
func Bound(allowed float64) float64 { return allowed + 2*math.Sqrt(allowed) + 2 }

// warmth is the share of its capacity that a backend has at an age, by the settings.
func warmth(age time.Duration) float64 {
	return min(1, coldShare+(1-coldShare)*float64(age)/float64(rampTime))
}

// allowed is N: how many requests of mean work the settings allow a backend within one fall window, reckoned from its capacity at an age.
func allowed(perSecond float64, age time.Duration) float64 {
	return fallMultiple * perSecond * warmth(age) * fallWindow.Seconds()
}

// Peak is the most that a cold backend got in any window, in requests of mean work.
type Peak struct {
	Share     float64 // of N at the window's begin
	Bound     float64 // of N + 2 sqrt(N) + 2, N as at the window's begin: the strictest reading
	BoundThen float64 // the same, N as at the last arrival: "what it can do at that moment"
	Broken    bool    // a window over the bound, by BoundThen, of which over two thirds came from agents that had been told
}

func (p *Peak) merge(o Peak) {
	p.Share, p.Bound = max(p.Share, o.Share), max(p.Bound, o.Bound)
	p.BoundThen, p.Broken = max(p.BoundThen, o.BoundThen), p.Broken || o.Broken
}

// heaviest looks at each window that ends with an arrival. Arrivals are in order of time; weigh gives what one counts for.
func heaviest(arrivals []Arrival, perSecond float64, weigh func(Arrival) float64) (p Peak) {
	first, sum, told := 0, 0.0, 0.0
	for _, a := range arrivals {
		if a.At >= rampTime {
			break
		}
		sum += weigh(a)
		if a.Told {
			told += weigh(a)
		}
		for ; arrivals[first].At <= a.At-fallWindow; first++ {
			sum -= weigh(arrivals[first])
			if arrivals[first].Told {
				told -= weigh(arrivals[first])
			}
		}
		n := allowed(perSecond, arrivals[first].At)
		then := sum / Bound(allowed(perSecond, a.At))
		p.merge(Peak{Share: sum / n, Bound: sum / Bound(n), BoundThen: then, Broken: then > 1 && told > sum*2/3})
	}
	return p
}
