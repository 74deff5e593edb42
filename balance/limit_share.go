package balance

import (
	"encoding/binary"
	"math"
	"time"
)

// The limit on attempts in flight is one for all agents together. This file decides which part of it
// is this agent's: where agents may talk, by what each wants, else an even one. Even parts would have
// a busy agent refuse while backends stand idle, since agents differ in traffic by far.

const (
	evenPart  = 0.25 // of the limit, that is split evenly whatever agents want: a burst finds it
	tellPace  = 4.0  // mean latencies between two messages at the least
	tellBytes = 32.0 // bytes to all peers together that a request pays for
	demandOld = 20.0 // such spans over which what was heard fades
	demandTag = 0xd1 // begins a message: a demand, in 256ths of an attempt, follows
	demandLen = 5    // bytes of it
)

// demand is what a peer wanted and when it said so.
type demand struct {
	want  float64
	heard time.Duration
}

// talks reports whether agents tell each other what they want.
func (b *Balancer) talks() bool { return b.s.Peers && b.s.Balancers > 1 }

// want moves the running mean of the attempts that this agent would have out, those that wait for
// room included.
func (b *Balancer) want() {
	b.asked += float64(b.inFlight+len(b.held)) * float64(b.now-b.wantAt)
	weight := 1 - math.Exp(-float64(b.now-b.wantAt)/(tellPace*b.usual()))
	b.wanted += weight * (float64(b.inFlight+len(b.held)) - b.wanted)
	b.wantAt = b.now
}

// tell sends the other agents what this one wanted since the last time: each message goes to every agent,
// so that in a large fleet one takes several requests to pay for it. An agent with no traffic says nothing.
func (b *Balancer) tell() {
	since, requests := float64(b.now-b.toldAt), b.asked/b.usual()
	if !b.talks() || since < tellPace*b.usual()*b.tellAfter ||
		requests < b.tellAfter*demandLen*float64(b.s.Balancers-1)/tellBytes {
		return
	}
	data := binary.BigEndian.AppendUint32([]byte{demandTag}, uint32(min(b.asked/since*256, math.MaxUint32)))
	b.actions = append(b.actions, TellPeer{To: EveryPeer, Data: data})
	// Spread, so that agents that started together don't all speak at once.
	b.toldAt, b.asked, b.tellAfter = b.now, 0, 0.75+0.5*b.advice.Float64()
}

// onPeer takes what another agent wants. What is no such message says nothing.
func (b *Balancer) onPeer(e PeerMessage) {
	if !b.talks() || len(e.Data) != 5 || e.Data[0] != demandTag ||
		e.From < 0 || e.From >= len(b.demands) || e.From == b.s.Self {
		return
	}
	b.demands[e.From] = demand{float64(binary.BigEndian.Uint32(e.Data[1:])) / 256, b.now}
}

// onFleet follows the agents that live: limit, waits and rests are reckoned by them, what all together may
// send where no backend is warm by those that may live. What those that are away wanted counts no more.
func (b *Balancer) onFleet(e Fleet) {
	b.s.Balancers, b.possible = max(1, e.Living), max(1, e.Living, e.Possible)
	for _, i := range e.Away {
		if i >= 0 && i < len(b.demands) {
			b.demands[i] = demand{}
		}
	}
	b.divide()
}

// divide works out this agent's part of the limit. Agents that have not been heard of lately keep
// their even parts; the rest is split by what is wanted, but for a share that is split evenly.
func (b *Balancer) divide() {
	even := b.portion / float64(b.s.Balancers)
	b.fraction = even
	if !b.talks() {
		return
	}
	known, sum := 1.0, b.wanted
	for _, d := range b.demands {
		if d.heard > 0 {
			fresh := math.Exp(-float64(b.now-d.heard) / (demandOld * tellPace * b.usual()))
			known += fresh
			sum += fresh * d.want
		}
	}
	if sum > 0 {
		known = min(known, float64(b.s.Balancers)) // no more than all, also while one comes back
		b.fraction = even*evenPart + known*even*(1-evenPart)*b.wanted/sum
	}
}
