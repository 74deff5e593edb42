package balance

import (
	"encoding/binary"
	"math"
	"time"
)

// The limit on attempts in flight is one for all agents together. This file decides which share of it this
// agent has: by the demand of each if agents may send messages to each other, and an even share otherwise.
// Since agents differ widely in traffic, even shares would have a busy agent refuse requests while backends
// are idle.

const (
	evenLimitShare          = 0.25 // share of the limit that is split evenly whatever the demand, for bursts
	demandIntervalLatencies = 4.0  // minimum gap between two messages of an agent, in mean latencies
	demandBytesPerRequest   = 32.0 // bytes sent to all peers together that one request pays for
	demandFadeIntervals     = 20.0 // message intervals over which a peer's demand fades
	demandTag               = 0xd1 // first byte of a message; the demand follows, in 256ths of an attempt
	demandLen               = 5    // bytes of a message
)

// peerDemand is a peer's demand, in attempts, and when its message came.
type peerDemand struct {
	attempts   float64
	receivedAt time.Duration
}

// sharesDemand reports whether agents send each other their demand.
func (b *Balancer) sharesDemand() bool { return b.settings.Peers && b.settings.Balancers > 1 }

// updateDemand updates the running mean of this agent's demand: its attempts in flight and the requests that
// wait for room.
func (b *Balancer) updateDemand() {
	b.demandSinceSent += float64(b.inFlight+len(b.held)) * float64(b.now-b.demandUpdatedAt)
	weight := 1 - math.Exp(-float64(b.now-b.demandUpdatedAt)/(demandIntervalLatencies*b.meanLatency()))
	b.meanDemand += weight * (float64(b.inFlight+len(b.held)) - b.meanDemand)
	b.demandUpdatedAt = b.now
}

// sendDemand sends this agent's mean demand since the last message to all other agents. Requests pay for the
// bytes, so in a large fleet several requests pay for one message, and an agent without traffic sends none.
func (b *Balancer) sendDemand() {
	since, requests := float64(b.now-b.demandSentAt), b.demandSinceSent/b.meanLatency()
	if !b.sharesDemand() || since < demandIntervalLatencies*b.meanLatency()*b.sendIntervalFactor ||
		requests < b.sendIntervalFactor*demandLen*float64(b.settings.Balancers-1)/demandBytesPerRequest {
		return
	}
	data := binary.BigEndian.AppendUint32([]byte{demandTag},
		uint32(min(b.demandSinceSent/since*256, math.MaxUint32)))
	b.actions = append(b.actions, TellPeer{To: EveryPeer, Data: data})
	// Jittered, so that agents that started together don't all send at once.
	b.demandSentAt, b.demandSinceSent, b.sendIntervalFactor = b.now, 0, 0.75+0.5*b.auxRNG.Float64()
}

// onPeerMessage records the demand of another agent. It ignores messages that are not of the form that
// sendDemand sends.
func (b *Balancer) onPeerMessage(e PeerMessage) {
	if !b.sharesDemand() || len(e.Data) != 5 || e.Data[0] != demandTag ||
		e.From < 0 || e.From >= len(b.peerDemands) || e.From == b.settings.Self {
		return
	}
	b.peerDemands[e.From] = peerDemand{float64(binary.BigEndian.Uint32(e.Data[1:])) / 256, b.now}
}

// onFleet updates the number of agents. The limit, the waits before a Subscribe and the ejection times follow
// the agents that are alive; what all agents together may send to a fleet without a warm backend follows
// those that may be alive. The demand of agents that have left is dropped.
func (b *Balancer) onFleet(e Fleet) {
	b.settings.Balancers, b.maxBalancers = max(1, e.Alive), max(1, e.Alive, e.MaxAlive)
	for _, i := range e.Departed {
		if i >= 0 && i < len(b.peerDemands) {
			b.peerDemands[i] = peerDemand{}
		}
	}
	b.updateLimitShare()
}

// updateLimitShare computes this process's share of the limit of all agents. Agents without a recent message
// keep their even shares. The rest is split by demand, except for evenLimitShare, which is split evenly.
func (b *Balancer) updateLimitShare() {
	even := b.processShare / float64(b.settings.Balancers)
	b.limitShare = even
	if !b.sharesDemand() {
		return
	}
	known, sum := 1.0, b.meanDemand
	for _, d := range b.peerDemands {
		if d.receivedAt > 0 {
			fresh := math.Exp(-float64(b.now-d.receivedAt) /
				(demandFadeIntervals * demandIntervalLatencies * b.meanLatency()))
			known += fresh
			sum += fresh * d.attempts
		}
	}
	if sum > 0 {
		known = min(known, float64(b.settings.Balancers)) // an agent that returns may make it one too many
		b.limitShare = even*evenLimitShare + known*even*(1-evenLimitShare)*b.meanDemand/sum
	}
}
