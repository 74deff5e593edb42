package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lemonrail/balance"
)

// changeList delivers a change of the list to every agent, each at a random time between now and within.
func (d *simulation) changeList(within time.Duration, change ...balance.Backend) {
	for i := range d.agents {
		d.at(d.now+time.Duration(d.rng.Float64()*float64(within)), func() {
			d.step(i, balance.List{Kind: balance.ListDelta, Backends: change})
		})
	}
}

// simWarmth returns the share of its full capacity that a simulated node has at an age since its cold start.
func simWarmth(age time.Duration) float64 {
	return min(1, .3+.7*float64(age)/float64(4*time.Second))
}

// startNode starts a cold node under a new ID or its old one.
func (d *simulation) startNode(id string) balance.Backend {
	d.nodes[id] = &simNode{cores: 4, startedAt: d.now}
	return balance.Backend{ID: id, Weight: 1, Started: d.now}
}

// maxColdLoad returns the maximum over all fall windows of the work that all agents together sent a cold
// node, as a share of the work that overloads it: 1 overloads it.
func (d *simulation) maxColdLoad(id string) (most float64) {
	n := d.nodes[id]
	for first := range n.sentAt {
		sum := 0.0
		for _, at := range n.sentAt[first:] {
			if at > n.sentAt[first]+1500*time.Millisecond || at-n.startedAt > 4*time.Second {
				break
			}
			sum += simMeanWork.Seconds()
		}
		room := 3 * 4 * simWarmth(n.sentAt[first]-n.startedAt) * 1.5
		most = max(most, sum/room)
	}
	return most
}

// Six in ten nodes are replaced within seconds, two of the new ones by failing nodes. All agents together
// must overload none of the new nodes, and refuse little while other nodes have room.
func TestReplacedNodesAreNotOverloaded(t *testing.T) {
	for seed := range uint64(2) {
		const agents, nodes, replaced = 80, 60, 36
		d := newSimulation(t, seed, agents, nodes)
		d.resets = func(node string, n int) bool { return node == "new3" || node == "new7" && n%2 == 0 }
		began := d.now
		for i := range replaced {
			d.at(began+time.Second+time.Duration(i)*100*time.Millisecond, func() {
				d.changeList(time.Second, d.startNode(fmt.Sprint("new", i)))
			})
			d.at(began+1500*time.Millisecond+time.Duration(i)*100*time.Millisecond, func() {
				d.changeList(time.Second, balance.Backend{ID: fmt.Sprint("b", i), State: balance.Draining})
			})
		}
		d.arriveSkewed(0.55*d.capacity(), 6*time.Second)
		d.run(d.now + 8*time.Second)
		for i := range replaced {
			id := fmt.Sprint("new", i)
			if share := d.maxColdLoad(id); share >= 1 {
				t.Errorf("seed %d: %s was sent %.2f of the work that overloads it", seed, id, share)
			}
			if len(d.nodes[id].sentAt) == 0 {
				t.Errorf("seed %d: %s was sent nothing", seed, id)
			}
			for _, at := range d.nodes[fmt.Sprint("b", i)].sentAt {
				if told := began + 2500*time.Millisecond + time.Duration(i)*100*time.Millisecond; at > told {
					t.Fatalf("seed %d: b%d was sent an attempt %v after all agents knew that it drains", seed, i, at-told)
				}
			}
		}
		if n := d.total(); d.refused > n/20 || len(d.open) > 0 {
			t.Errorf("seed %d: %d of %d refused, %d open", seed, d.refused, n, len(d.open))
		}
	}
}

// A third of the nodes stops answering and comes back cold under the same IDs. The attempts wasted on them
// must stay bounded, most requests must be served meanwhile, and the returning nodes must not be overloaded.
func TestThirdOfNodesFailsAndReturns(t *testing.T) {
	const agents, nodes, lost = 80, 60, 20
	d := newSimulation(t, 3, agents, nodes)
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
			for _, at := range d.nodes[id].sentAt {
				if at >= began+2*time.Second {
					wasted++
				}
			}
			d.changeList(time.Second, d.startNode(id))
		}
	})
	d.arriveSkewed(0.45*d.capacity(), 8*time.Second)
	d.run(d.now + 10*time.Second)
	n := d.total()
	if most := n * 3 / 50; wasted > most {
		t.Errorf("%d attempts went to silent nodes in 3 s, want %d at most", wasted, most)
	}
	if d.served < n*9/10 || len(d.open) > 0 {
		t.Errorf("%d of %d served, %d refused, %d failed, %d open", d.served, n, d.refused, d.failed, len(d.open))
	}
	for i := range lost {
		if share := d.maxColdLoad(fmt.Sprint("b", i)); share >= 1 {
			t.Errorf("b%d was sent %.2f of the work that overloads it on its return", i, share)
		}
	}
	t.Logf("%d of %d served, %d refused, %d failed, %d attempts wasted", d.served, n, d.refused, d.failed, wasted)
}

// At the same relative load, the served share must not jump between fleets of neighbouring sizes.
func TestFleetSizesChangeSmoothly(t *testing.T) {
	for _, nodes := range []int{8, 60} {
		before := math.NaN()
		for _, agents := range []int{1, 4, 40, 80, 400} {
			d := newSimulation(t, 4, agents, nodes)
			d.arriveSkewed(0.5*d.capacity(), 2*time.Second)
			d.run(d.now + 4*time.Second)
			served := float64(d.served) / float64(d.total())
			t.Logf("%d agents, %d nodes: %.3f served, %d refused", agents, nodes, served, d.refused)
			// With 400 agents on 8 nodes, 50 per node, each agent sends too little to learn from.
			if served < 0.85 || math.Abs(served-before) > 0.15 {
				t.Errorf("%d agents, %d nodes: %.3f served, %.3f in the fleet before", agents, nodes, served, before)
			}
			before = served
		}
	}
}

// Peer messages that come late, twice, truncated, corrupt or from unknown agents must not make refusals much
// more likely than no messages at all.
func TestBadPeerMessagesDoLittleHarm(t *testing.T) {
	type peerDelivery = func(d *simulation, from, to int, data []byte)
	later := func(d *simulation, wait time.Duration, to int, e balance.PeerMessage) {
		d.at(d.now+wait, func() { d.step(to, e) })
	}
	play := func(carry peerDelivery) (refused float64) {
		d := newSimulation(t, 9, 80, 40)
		d.deliver = carry
		d.arriveSkewed(0.6*d.capacity(), 3*time.Second)
		d.run(d.now + 8*time.Second)
		if len(d.open) > 0 {
			t.Errorf("%d requests have no final answer", len(d.open))
		}
		return float64(d.refused) / float64(d.total())
	}
	without := play(func(*simulation, int, int, []byte) {})
	for name, carry := range map[string]peerDelivery{
		"whole": func(d *simulation, from, to int, data []byte) {
			later(d, 10*time.Millisecond, to, balance.PeerMessage{From: from, Data: data})
		},
		"twice": func(d *simulation, from, to int, data []byte) {
			later(d, 10*time.Millisecond, to, balance.PeerMessage{From: from, Data: data})
			later(d, 15*time.Millisecond, to, balance.PeerMessage{From: from, Data: data})
		},
		"late by seconds": func(d *simulation, from, to int, data []byte) {
			later(d, 2*time.Second, to, balance.PeerMessage{From: from, Data: data})
		},
		"cut": func(d *simulation, from, to int, data []byte) {
			later(d, 10*time.Millisecond, to, balance.PeerMessage{From: from, Data: data[:d.rng.IntN(len(data))]})
		},
		"garbage": func(d *simulation, from, to int, data []byte) {
			junk := make([]byte, d.rng.IntN(257))
			for i := range junk {
				junk[i] = byte(d.rng.Uint32())
			}
			later(d, 10*time.Millisecond, to, balance.PeerMessage{From: from, Data: junk})
		},
		"from an unknown agent": func(d *simulation, from, to int, data []byte) {
			later(d, 10*time.Millisecond, to, balance.PeerMessage{From: from - 1000*(from%2) + 80, Data: data})
		},
	} {
		if refused := play(carry); refused > without+0.02 {
			t.Errorf("%s: %.3f refused, %.3f without messages", name, refused, without)
		} else {
			t.Logf("%s: %.3f refused, %.3f without messages", name, refused, without)
		}
	}
}
