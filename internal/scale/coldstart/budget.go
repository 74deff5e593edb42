package coldstart

import (
	"math"
	"time"
)

// Arrival is one attempt that reached a backend after the backend's cold start.
type Arrival struct {
	Age      time.Duration // time since the backend's start
	Work     time.Duration // core time on a warm backend
	Notified bool          // the sending agent had been notified of the start
}

// Bound returns the number of requests in a window that all agents together may send a cold backend:
// N + 2 sqrt(N) + 2, where N is the number that the settings allow. The users accept the margin above N as chance.
func Bound(allowed float64) float64 { return allowed + 2*math.Sqrt(allowed) + 2 }

// assumedCapacity returns the share of its full capacity that the settings assume for a backend of the given age.
func assumedCapacity(age time.Duration) float64 {
	return min(1, coldShare+(1-coldShare)*float64(age)/float64(rampTime))
}

// allowed returns N, the number of requests of mean work that the settings allow a backend of the given age within
// one fall window. perSecond is the rate at which a warm backend serves such requests.
func allowed(perSecond float64, age time.Duration) float64 {
	return fallMultiple * perSecond * assumedCapacity(age) * fallWindow.Seconds()
}

// Peak describes the highest load of a cold backend in any window, in requests of mean work.
type Peak struct {
	ShareOfN          float64 // requests relative to N at the window's beginning
	ShareOfBound      float64 // relative to N + 2 sqrt(N) + 2, N as at the window's beginning: the strictest interpretation
	ShareOfFinalBound float64 // the same, N as at the last arrival: the backend's capacity "at that moment"
	Violated          bool    // a window had ShareOfFinalBound over 1 and over two thirds of its requests from notified agents
}

func (p *Peak) merge(o Peak) {
	p.ShareOfN, p.ShareOfBound = max(p.ShareOfN, o.ShareOfN), max(p.ShareOfBound, o.ShareOfBound)
	p.ShareOfFinalBound, p.Violated = max(p.ShareOfFinalBound, o.ShareOfFinalBound), p.Violated || o.Violated
}

// peakLoad returns the peak over all windows that end with an arrival. Arrivals must be in order of time; weigh returns
// the weight of one arrival in requests of mean work.
func peakLoad(arrivals []Arrival, perSecond float64, weigh func(Arrival) float64) (p Peak) {
	first, sum, told := 0, 0.0, 0.0
	for _, a := range arrivals {
		if a.Age >= rampTime {
			break
		}
		sum += weigh(a)
		if a.Notified {
			told += weigh(a)
		}
		for ; arrivals[first].Age <= a.Age-fallWindow; first++ {
			sum -= weigh(arrivals[first])
			if arrivals[first].Notified {
				told -= weigh(arrivals[first])
			}
		}
		n := allowed(perSecond, arrivals[first].Age)
		then := sum / Bound(allowed(perSecond, a.Age))
		p.merge(Peak{ShareOfN: sum / n, ShareOfBound: sum / Bound(n), ShareOfFinalBound: then, Violated: then > 1 && told > sum*2/3})
	}
	return p
}
