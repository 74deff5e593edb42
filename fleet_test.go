package aldermux_test

import (
	"math"
	"testing"
	"time"
)

// skewed has requests come at a rate for a time, to agents that differ in traffic by far.
func (d *crowdDay) skewed(perS float64, length time.Duration) {
	shares, sum := make([]float64, len(d.agents)), 0.0
	for i := range shares {
		sum += math.Exp(1.2 * d.rng.NormFloat64())
		shares[i] = sum
	}
	for at := d.now; at < d.now+length; at += time.Duration(d.rng.ExpFloat64() / perS * float64(time.Second)) {
		agent, x := 0, d.rng.Float64()*sum
		for shares[agent] < x {
			agent++
		}
		d.at(at, func() { d.request(agent) })
	}
}

// A limit that is split evenly among many agents refuses at the busy ones while nodes stand idle, and
// at the quiet ones by chance. Fleets of all sizes split it by what each wants, at a bounded price.
func TestLargeFleetsUseTheirRoom(t *testing.T) {
	for _, size := range []struct{ agents, nodes int }{{4, 8}, {32, 24}, {33, 24}, {40, 50}, {80, 50}, {200, 30}} {
		d := newCrowdDay(t, 5, size.agents, size.nodes)
		d.skewed(0.6*d.capacity(), 4*time.Second)
		d.run(d.now + 6*time.Second)
		n := d.total()
		if d.refused > n/50 {
			t.Errorf("%d agents, %d nodes: %d of %d refused at 0.6 of capacity", size.agents, size.nodes, d.refused, n)
		}
		if told := float64(d.told) / float64(n); told > 48 {
			t.Errorf("%d agents, %d nodes: %.0f bytes told for each request", size.agents, size.nodes, told)
		}
		t.Logf("%d agents, %d nodes: %d of %d refused, %d bytes told for each", size.agents, size.nodes, d.refused, n, d.told/n)
	}
}
