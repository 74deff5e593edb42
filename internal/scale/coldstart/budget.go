package coldstart

import (
	"math"
	"time"
)

// Arrival is one attempt that reached a backend after the backend's cold start, accepted or not.
type Arrival struct {
	Age      time.Duration // time since the backend's start
	Work     time.Duration // core time on a warm backend
	Notified bool          // the sending agent had been notified of the start
}

// Bound returns the limit on the requests that all agents together may send a cold backend in a fall window:
// N + 2 sqrt(N) + 2, where N (allowed) is the number that the settings allow. Requests up to the margin above N count as
// chance, as agreed with the users.
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

// Peak describes the highest loads of a cold backend in its fall windows. Load is in requests of mean work, relative to N,
// the number that the settings allow within one fall window (see allowed), or to Bound(N). N grows with the backend's age.
type Peak struct {
	ShareOfN          float64 // highest load relative to N at the age at the window's first request
	ShareOfBound      float64 // highest load relative to Bound(N), N at the age at the window's first request: the strictest interpretation
	ShareOfFinalBound float64 // highest load relative to Bound(N), N at the age at the window's last request
	ExceedsFinalBound bool    // in some window the load exceeded Bound(N), N at its last request, and over two thirds came from notified agents
}

// merge takes each field's maximum of p and o; Violated is set if it is set in either.
func (p *Peak) merge(o Peak) {
	p.ShareOfN, p.ShareOfBound = max(p.ShareOfN, o.ShareOfN), max(p.ShareOfBound, o.ShareOfBound)
	p.ShareOfFinalBound, p.ExceedsFinalBound = max(p.ShareOfFinalBound, o.ShareOfFinalBound), p.ExceedsFinalBound || o.ExceedsFinalBound
}

// peakLoad returns the peak over all fall windows that end with one of a backend's arrivals during its ramp. Arrivals must
// be in order of time. perSecond is as in allowed; weigh returns the load that an arrival counts as, in requests of mean work.
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
		p.merge(Peak{ShareOfN: sum / n, ShareOfBound: sum / Bound(n), ShareOfFinalBound: then, ExceedsFinalBound: then > 1 && told > sum*2/3})
	}
	return p
}
