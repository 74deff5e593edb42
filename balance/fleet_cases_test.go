package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lemonrail/balance"
)

// relist tells every agent of one change of the list, each a little later than the other, as lists arrive.
func (d *crowdDay) relist(within time.Duration, change ...balance.Backend) {
	for i := range d.agents {
		d.at(d.now+time.Duration(d.rng.Float64()*float64(within)), func() {
			d.step(i, balance.List{Kind: balance.ListDelta, Backends: change})
		})
	}
}

// coldWarmth is what a node of the harness can do of its full capacity, a time after its start.
func coldWarmth(age time.Duration) float64 {
	return min(1, .3+.7*float64(age)/float64(4*time.Second))
}

// start has a node run from now on, cold, under a new id or its old one.
func (d *crowdDay) start(id string) balance.Backend {
	d.nodes[id] = &crowdNode{cores: 4, born: d.now}
	return balance.Backend{ID: id, Weight: 1, Started: d.now}
}

// heaviest is the largest share of the work that pushes a cold node over which all agents together sent it
// in any window: 1 pushes it over.
func (d *crowdDay) heaviest(id string) (most float64) {
	n := d.nodes[id]
	for first := range n.sent {
		sum := 0.0
		for _, at := range n.sent[first:] {
			if at > n.sent[first]+1500*time.Millisecond || at-n.born > 4*time.Second {
				break
			}
			sum += crowdWork.Seconds()
		}
		room := 3 * 4 * coldWarmth(n.sent[first]-n.born) * 1.5
		most = max(most, sum/room)
	}
	return most
}

// Six in ten nodes are replaced within seconds, some of the new ones bad: none of them is pushed over by
// all agents together, and little is refused while others have room.
func TestReplacedNodesAreNotPushedOver(t *testing.T) {
	for seed := range uint64(2) {
		const agents, nodes, replaced = 80, 60, 36
		d := newCrowdDay(t, seed, agents, nodes)
		d.resets = func(node string, n int) bool { return node == "new3" || node == "new7" && n%2 == 0 }
		began := d.now
		for i := range replaced {
			d.at(began+time.Second+time.Duration(i)*100*time.Millisecond, func() {
				d.relist(time.Second, d.start(fmt.Sprint("new", i)))
			})
			d.at(began+1500*time.Millisecond+time.Duration(i)*100*time.Millisecond, func() {
				d.relist(time.Second, balance.Backend{ID: fmt.Sprint("b", i), State: balance.Draining})
			})
		}
		d.skewed(0.55*d.capacity(), 6*time.Second)
		d.run(d.now + 8*time.Second)
		for i := range replaced {
			id := fmt.Sprint("new", i)
			if share := d.heaviest(id); share >= 1 {
				t.Errorf("seed %d: %s was sent %.2f of what pushes it over", seed, id, share)
			}
			if len(d.nodes[id].sent) == 0 {
				t.Errorf("seed %d: %s was sent nothing", seed, id)
			}
			for _, at := range d.nodes[fmt.Sprint("b", i)].sent {
				if told := began + 2500*time.Millisecond + time.Duration(i)*100*time.Millisecond; at > told {
					t.Fatalf("seed %d: b%d was sent something %v after all had been told that it drains", seed, i, at-told)
				}
			}
		}
		if n := d.total(); d.refused > n/20 || len(d.open) > 0 {
			t.Errorf("seed %d: %d of %d refused, %d open", seed, d.refused, n, len(d.open))
		}
	}
}

// A third of the nodes falls silent and comes back cold under the same ids: what the fleet wastes on them
// stays bounded, most is served meanwhile, and their first work is within what a cold one bears.
func TestSilentThirdAndItsReturn(t *testing.T) {
	const agents, nodes, lost = 80, 60, 20
	d := newCrowdDay(t, 3, agents, nodes)
	began := d.now
	d.at(began+2*time.Second, func() {
		for i := range lost {
			d.nodes[fmt.Sprint("b", i)].silent = true
		}
	})
	wasted := 0
	d.at(began+5*time.Second, func() {
		for i := range lost {
			id := fmt.Sprint("b", i)
			for _, at := range d.nodes[id].sent {
				if at >= began+2*time.Second {
					wasted++
				}
			}
			d.relist(time.Second, d.start(id))
		}
	})
	d.skewed(0.45*d.capacity(), 8*time.Second)
	d.run(d.now + 10*time.Second)
	n := d.total()
	if most := n * 3 / 50; wasted > most {
		t.Errorf("%d attempts went to silent nodes in 3 s, %d at the most", wasted, most)
	}
	if d.served < n*9/10 || len(d.open) > 0 {
		t.Errorf("%d of %d served, %d refused, %d failed, %d open", d.served, n, d.refused, d.failed, len(d.open))
	}
	for i := range lost {
		if share := d.heaviest(fmt.Sprint("b", i)); share >= 1 {
			t.Errorf("b%d was sent %.2f of what pushes it over on its return", i, share)
		}
	}
	t.Logf("%d of %d served, %d refused, %d failed, %d attempts wasted", d.served, n, d.refused, d.failed, wasted)
}

// The same load over fleets of all sizes: nothing jumps between neighbours.
func TestFleetSizesChangeSmoothly(t *testing.T) {
	for _, nodes := range []int{8, 60} {
		before := math.NaN()
		for _, agents := range []int{1, 4, 40, 80, 400} {
			d := newCrowdDay(t, 4, agents, nodes)
			d.skewed(0.5*d.capacity(), 2*time.Second)
			d.run(d.now + 4*time.Second)
			served := float64(d.served) / float64(d.total())
			t.Logf("%d agents, %d nodes: %.3f served, %d refused", agents, nodes, served, d.refused)
			// With 50 agents a node each sends too little to learn from.
			if served < 0.85 || math.Abs(served-before) > 0.15 {
				t.Errorf("%d agents, %d nodes: %.3f served, %.3f in the fleet before", agents, nodes, served, before)
			}
			before = served
		}
	}
}

// What other agents say comes late, twice, cut, spoilt, from nobody or not at all: never much worse than
// without a word.
func TestPeersNeverHarm(t *testing.T) {
	type hear = func(d *crowdDay, from, to int, data []byte)
	later := func(d *crowdDay, wait time.Duration, to int, e balance.PeerMessage) {
		d.at(d.now+wait, func() { d.step(to, e) })
	}
	play := func(carry hear) (refused float64) {
		d := newCrowdDay(t, 9, 80, 40)
		d.carry = carry
		d.skewed(0.6*d.capacity(), 3*time.Second)
		d.run(d.now + 8*time.Second)
		if len(d.open) > 0 {
			t.Errorf("%d have no end", len(d.open))
		}
		return float64(d.refused) / float64(d.total())
	}
	without := play(func(*crowdDay, int, int, []byte) {})
	for name, carry := range map[string]hear{
		"whole": func(d *crowdDay, from, to int, data []byte) {
			later(d, 10*time.Millisecond, to, balance.PeerMessage{From: from, Data: data})
		},
		"twice": func(d *crowdDay, from, to int, data []byte) {
			later(d, 10*time.Millisecond, to, balance.PeerMessage{From: from, Data: data})
			later(d, 15*time.Millisecond, to, balance.PeerMessage{From: from, Data: data})
		},
		"late by seconds": func(d *crowdDay, from, to int, data []byte) {
			later(d, 2*time.Second, to, balance.PeerMessage{From: from, Data: data})
		},
		"cut": func(d *crowdDay, from, to int, data []byte) {
			later(d, 10*time.Millisecond, to, balance.PeerMessage{From: from, Data: data[:d.rng.IntN(len(data))]})
		},
		"garbage": func(d *crowdDay, from, to int, data []byte) {
			junk := make([]byte, d.rng.IntN(257))
			for i := range junk {
				junk[i] = byte(d.rng.Uint32())
			}
			later(d, 10*time.Millisecond, to, balance.PeerMessage{From: from, Data: junk})
		},
		"from nobody": func(d *crowdDay, from, to int, data []byte) {
			later(d, 10*time.Millisecond, to, balance.PeerMessage{From: from - 1000*(from%2) + 80, Data: data})
		},
	} {
		if refused := play(carry); refused > without+0.02 {
			t.Errorf("%s: %.3f refused, %.3f without a word", name, refused, without)
		} else {
			t.Logf("%s: %.3f refused, %.3f without a word", name, refused, without)
		}
	}
}
