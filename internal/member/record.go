package member

import (
	"net/netip"
	"time"
)

// Kinds of record. The numbers are part of the wire format; of two ends of the same life the higher number counts.
const (
	kindFull    byte = iota // describes a life that goes on; published by the agent itself
	kindDead                // life ended: enough observers had no contact for Config.Pause
	kindRefused             // life ended: the host reported that no process listens
	kindLeft                // life ended: announced by the agent itself
)

// mark is a bit set that says how an agent is unreachable for the agent that lists it.
type mark uint8

const (
	markNoInbound   mark = 1 << iota // the listing agent receives nothing directly from the listed one
	markNoOutbound                   // the listed agent receives nothing directly from the listing one
	markUnreachable                  // neither a direct nor an indirect probe of the listed agent is answered
	markRefused                      // the host of the listed agent reported that no process listens
	markConfirmable                  // unreachable for Config.Pause, or refused at least twice: the entry counts for a declaration of death
)

// listEntry is one agent on the list in another agent's record.
type listEntry struct {
	id      ID
	mark    mark
	lifeTag uint8 // hash of the life that is meant (record.lifeTag), so that the entry doesn't apply to a later life
}

// record is what is known of one life of an agent. Of the records of an agent the one with the highest rank
// counts, and at equal rank the one with the highest version.
type record struct {
	id          ID
	kind        byte
	start       uint32 // start counter of the agent's process; with incarnation it identifies the life
	incarnation uint16 // number of times that the agent has learned of its own end since that start
	// The following fields are set in full records only.
	version uint32 // grows with each publication within a life
	doubt   bool   // the agent may be cut off itself, by its own judgement
	zone    string
	name    string
	addr    netip.AddrPort // IPv4; set if the agent is not in Config.Peers
	note    string         // bytes that only users of the view interpret; see SetNote
	list    []listEntry    // agents that this one cannot hear or reach
}

// rank orders the lives of one agent and their ends.
func (r *record) rank() uint64 {
	rank := uint64(r.start)<<18 | uint64(r.incarnation)<<2
	if r.kind != kindFull {
		rank |= uint64(r.kind)
	}
	return rank
}

// supersedes reports whether r replaces o, an older record of the same agent.
func (r *record) supersedes(o *record) bool {
	if a, b := r.rank(), o.rank(); a != b {
		return a > b
	}
	return r.kind == kindFull && int32(r.version-o.version) > 0
}

// lifeTag returns a short hash of the life that r describes.
func (r *record) lifeTag() uint8 { return uint8(r.start) ^ uint8(r.start>>8) ^ uint8(r.incarnation)*31 }

// hash returns a hash of all fields that tell two current copies of a record apart: version stands for the rest.
func (r *record) hash() uint32 {
	h := mix(uint64(r.id)<<32 | uint64(r.start))
	h = mix(h ^ uint64(r.incarnation)<<40 ^ uint64(r.kind)<<32 ^ uint64(r.version))
	return uint32(h)
}

// mix returns a hash of x: the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// peer is what this agent knows of one member.
type peer struct {
	id            ID
	listed        bool // in Config.Peers
	known         bool // a record of it was received, or it is this agent
	rec           record
	ringPositions [rings]uint64 // its position on each hash ring

	state         State
	since         time.Duration // when it entered state
	clearingSince time.Duration // in state Suspect: since when too few observers accuse it; 0: enough do
	heardAt       time.Duration // when its last direct datagram came; -1: none came
	lastAckAt     time.Duration // when it last answered a probe of this agent; -1: never
	lastFailAt    time.Duration // when it last failed to answer one in time; -1: never
	sendLimit     int           // number of sends after which its record is no longer gossiped
	sendCount     int           // number of times that this agent has sent its record since it changed
	slot          *probeState   // probe state; nil: none

	// As of the last evaluate, the number of observers that list it as unreachable; of these, the number whose entries
	// are confirmable; of those, the number whose entries say refused.
	accusers, confirmers, refusers int

	pending         bool // in Member.pending
	reporting       bool // in Member.reporters
	queued          bool // in Member.updates, at the following tier and index
	tier, tierIndex int
}

// ended reports whether the latest known life of p has ended: it died or left.
func (p *peer) ended() bool { return p.rec.kind != kindFull }
