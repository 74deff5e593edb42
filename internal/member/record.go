package member

import (
	"net/netip"
	"time"
)

// Kinds of record.
const (
	kindFull byte = iota // an agent says it of itself
	kindDead             // this life has ended: its observers heard nothing for Config.Pause
	kindGone             // this life has ended: its machine says that nobody listens
	kindLeft             // this life has ended, by its own word
)

// mark says in which way an agent can't be reached or heard by the one that lists it.
type mark uint8

const (
	unheard   mark = 1 << iota // nothing of it comes here straight
	unhearing                  // nothing from here comes there straight
	lost                       // nobody who was asked reaches it
	refusing                   // its machine says that nobody listens
	ripe                       // for so long, or so often, that it may be held for dead
)

// entry is one agent on another's list.
type entry struct {
	id   ID
	mark mark
	tag  uint8 // of the life that is meant: a new one starts with a clean slate
}

// record is what is known of one life of an agent. Of one agent the highest rank counts, of one rank the
// highest version.
type record struct {
	id    ID
	kind  byte
	start uint32
	inc   uint16
	// The rest stands in full records only.
	ver   uint32
	doubt bool // it may itself be the one that is cut off
	zone  string
	name  string
	addr  netip.AddrPort // IPv4; of a stranger
	note  string         // what the agent has the others know, of no meaning here
	list  []entry
}

// rank orders the lives of one agent and their ends.
func (r *record) rank() uint64 {
	rank := uint64(r.start)<<18 | uint64(r.inc)<<2
	if r.kind != kindFull {
		rank |= uint64(r.kind)
	}
	return rank
}

// newer reports whether r counts before o.
func (r *record) newer(o *record) bool {
	if a, b := r.rank(), o.rank(); a != b {
		return a > b
	}
	return r.kind == kindFull && int32(r.ver-o.ver) > 0
}

func (r *record) tag() uint8 { return uint8(r.start) ^ uint8(r.start>>8) ^ uint8(r.inc)*31 }

// hash is over all in which two copies of a record that counts can differ.
func (r *record) hash() uint32 {
	h := mix(uint64(r.id)<<32 | uint64(r.start))
	h = mix(h ^ uint64(r.inc)<<40 ^ uint64(r.kind)<<32 ^ uint64(r.ver))
	return uint32(h)
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// peer is what this agent knows of one member.
type peer struct {
	id     ID
	listed bool // by the configuration
	known  bool // a record of it has come
	rec    record
	ring   [rings]uint64

	state   State
	since   time.Duration
	fewAt   time.Duration // suspect: since when too few accuse it; 0: enough do
	heardAt time.Duration // straight, by whatever came; -1: never
	okAt    time.Duration // last probe that it answered, and last one that it didn't; -1: none
	failAt  time.Duration
	spreads int   // times that its record is still to be sent
	sent    int   // times that it has been
	slot    *slot // nil: not probed now

	accused, ripe, refused int // observers that list it; evaluate's

	attended    bool // stands in Member.attended
	lists       bool // and in Member.listers
	queued      bool // is news, and where it stands among them
	tier, place int
}

func (p *peer) ended() bool { return p.rec.kind != kindFull }
