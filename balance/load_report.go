package balance

import "math"

// recordLoad records the load report that came with an answer. What the backend holds besides this agent's
// attempts, the one just answered included, is the load of other agents.
func (b *Balancer) recordLoad(t *backend, l Load) {
	if l.Outstanding < 0 || !l.Valid {
		return
	}
	t.otherLoad, t.reportedAt = max(0, l.Outstanding-float64(len(t.inFlight)+1)), b.now
	b.meanOtherLoad = updateMean(b.meanOtherLoad, t.otherLoad)
	stale := 0.0
	if l.Outstanding < 0.5 { // the report is older than the attempt just answered, or it would count that one
		stale = 1
	}
	b.staleShare += meanStep * (stale - b.staleShare)
	if l.Queue >= 0 {
		b.parallelism = max(b.parallelism*(1-meanStep/100), math.Round(l.Outstanding-l.Queue))
	}
}

// otherLoadAt estimates the attempts that other agents have at t now: its last report, which fades to the
// mean of all backends. Among idle backends, pick prefers those with little load of other agents, by the
// inverse cube. This prevents crowds that no single agent sees in its own counts. It acts only while reports
// are fresh: a report older than the attempt it came with is stale, and agents that all follow stale reports
// herd to the same backends (incident i4a227c). It may harm if reports are older than they seem.
func (b *Balancer) otherLoadAt(t *backend) float64 {
	if t.reportedAt == 0 {
		return b.meanOtherLoad
	}
	return b.meanOtherLoad + (t.otherLoad-b.meanOtherLoad)*
		math.Exp(-float64(b.now-t.reportedAt)/(reportFadeLatencies*b.meanLatency()))
}
