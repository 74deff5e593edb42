package quorum

import (
	"math/rand/v2"
	"testing"
	"time"

	"lemonrail/internal/duty"
)

// replaceDuringHandOn hands the duty on to an agent that is about to be replaced: its second process starts within 30 ms of
// the naming of the successor, before or after, and its first one ends two seconds later. guarded: the second process leaves the agent's duties
// to the first while that runs. It returns the simulation, and whether the second process holds the duty at the end.
func replaceDuringHandOn(t *testing.T, seed uint64, guarded bool) (x *sim, successorHolds bool) {
	x = newSim(t, seed, disabledGuards{})
	first, second := x.procs[simAgents-2], x.procs[simAgents-1] // without voters
	second.kill()
	second.name = first.name
	if guarded {
		second.owns = func() bool { return !first.up }
	}
	holder := func() *proc {
		for _, p := range x.procs {
			if p.up {
				if _, ok := p.client.holders["work"].MayAct(p.clock()); ok {
					return p
				}
			}
		}
		return nil
	}
	for holder() == nil || holder() == first {
		if holder() == first { // another agent must hold it first
			first.client.holders["work"].Release(first.clock())
		}
		x.step()
		if x.now > time.Minute {
			t.Fatalf("seed %d: no other agent held the duty", seed)
		}
	}
	rng := rand.New(rand.NewPCG(seed, 37))
	named := x.now + 30*time.Millisecond
	starts := named + time.Duration((2*rng.Float64()-1)*float64(30*time.Millisecond))
	ends := named + 2*time.Second
	for x.now < ends+5*time.Second && x.violation == "" {
		if x.now >= starts && !second.up {
			second.start()
		}
		if x.now >= named {
			h := holder()
			if h == nil {
				h = x.procs[0]
			}
			h.client.send([]duty.Command{{Kind: duty.NameSuccessor, Duty: "work", Agent: first.name}})
			named = ends + time.Hour
		}
		if x.now >= ends && first.up {
			first.kill()
		}
		x.step()
	}
	return x, holder() == second
}

// Guards against two holders of one duty: an agent to which it is handed on has two processes just then, since the platform
// replaces one by the other.
func TestHandOnToAnAgentThatIsReplaced(t *testing.T) {
	for seed := range *seedCount {
		if x, _ := replaceDuringHandOn(t, uint64(seed), true); x.violation != "" {
			t.Errorf("seed %d: %s", seed, x.violation)
		}
	}
}

// The check above can fail: without the guard two processes hold the duty in some runs.
func TestHandOnWithoutOwnershipIsDetected(t *testing.T) {
	violations := 0
	for seed := range uint64(*seedCount) {
		if x, _ := replaceDuringHandOn(t, seed, false); x.violation != "" {
			violations++
		}
	}
	t.Logf("two processes hold the duty in %d of %d runs", violations, *seedCount)
	if violations == 0 {
		t.Error("no run in which two processes hold the duty")
	}
}

// A process takes the agent's duties over once its predecessor has ended: with the duty free for this agent alone, it holds it.
func TestSuccessorTakesDutiesOver(t *testing.T) {
	x := newSim(t, 1, disabledGuards{})
	first, second := x.procs[simAgents-2], x.procs[simAgents-1]
	second.kill()
	second.name, second.owns = first.name, func() bool { return !first.up }
	second.start()
	for _, p := range x.procs[:simSeats] { // the voters' agents don't want it
		p.client.holders["work"].SetWanted(p.clock(), false)
		p.client.holders["work"].Release(p.clock())
	}
	holds := func(p *proc) bool {
		_, ok := p.client.holders["work"].MayAct(p.clock())
		return ok
	}
	for ; !holds(first); x.step() {
		if x.now > time.Minute {
			t.Fatal("the first process never held the duty")
		}
	}
	first.kill()
	for begun := x.now; !holds(second); x.step() {
		if x.now > begun+time.Minute {
			t.Fatal("the second process never held the duty")
		}
	}
	if x.violation != "" {
		t.Error(x.violation)
	}
}
