package balance

import "math"

// hear takes the report that came with an answer: what the backend holds besides this agent's
// own attempts, the one just answered included.
func (b *Balancer) hear(t *backend, l Load) {
	if l.Outstanding < 0 || !l.Valid {
		return
	}
	t.crowd, t.heard = max(0, l.Outstanding-float64(len(t.out)+1)), b.now
	b.crowd = blend(b.crowd, t.crowd)
	old := 0.0
	if l.Outstanding < 0.5 { // it held at least the attempt that has just been answered
		old = 1
	}
	b.stale += smooth * (old - b.stale)
	if l.Queue >= 0 {
		b.width = max(b.width*(1-smooth/100), math.Round(l.Outstanding-l.Queue))
	}
}

// crowdAt is the guess at what other agents have at t now. A report fades to the mean of all.
// Departure: of the backends that are idle as far as this agent's own attempts tell, those where
// others have little count for more, by the inverse cube. Guards against crowds that no agent's
// own count shows, whatever gathers them; acts while the reports that answers bring are fresh.
// A report without the attempt it came with is older: agents that all heed such ones herd (i4a227c).
// May harm where reports are older than they seem.
func (b *Balancer) crowdAt(t *backend) float64 {
	if t.heard == 0 {
		return b.crowd
	}
	return b.crowd + (t.crowd-b.crowd)*math.Exp(-float64(b.now-t.heard)/(reportSpan*b.usual()))
}
