// Package voter drives one member of a raft group (go.etcd.io/raft): its store (internal/duty/store), what has to be asked before it votes
// (duty.Seating), raft itself and changes of members. It has no goroutine, socket or clock: its host hands in time and messages, and
// carries out what was agreed on. A Voter belongs to one goroutine.
//
// Before a member votes it asks the others what its disk had promised them: a disk that forgot is found, put aside, and the member
// returns under another identity in place of the old one. A disk that fails, a panic of raft or one of the host's state machine ends its
// part with a reason (Fault).
package voter

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"lemonrail/internal/duty"
	"lemonrail/internal/duty/store"
)

// ElectionTicks is how many ticks without a leader members wait, at least, before they elect another.
const ElectionTicks = 10

const heartbeatTicks = 2

// Host is what a voter works for. It is called on the voter's goroutine, while the voter carries out a call of its host.
type Host interface {
	// Send hands a message to the connection to a member; false: it is lost.
	Send(to string, kind Kind, content []byte) bool
	// Apply carries out an entry that was agreed on and isn't empty. With an error this member stops voting.
	Apply(entry *pb.Entry) error
	// Snapshot returns the state, and the membership with it.
	Snapshot(m Membership) ([]byte, error)
	// Restore takes a state over, and returns the membership that was kept with it.
	Restore(snapshot []byte) (Membership, error)
	// LeadershipChanged says that this member leads from now on, or no longer.
	LeadershipChanged(leads bool)
	// Confirmed says that a majority followed this leader after a read index was asked for.
	Confirmed(read raft.ReadState)
}

// Membership is who votes, by identity.
type Membership struct {
	Members map[uint64]string
	Initial map[uint64]string // with whom the group began
}

// Options say what a Voter is made from.
type Options struct {
	Name         string
	Candidates   []string // all that may vote, the same in the same order everywhere; the first Voters of them begin
	Voters       int
	FS           store.FS
	Log          *slog.Logger
	Rand         *rand.Rand    // for identities
	ReplaceAfter time.Duration // for which a member has to be dead before a spare one takes its place; 0: never
	// Liveness says for how long members have been dead, and which live. nil: no member is replaced but by itself.
	Liveness func() (dead map[string]time.Duration, lives map[string]bool)
}

// Voter is a member's part in its group.
type Voter struct {
	options Options
	host    Host
	log     *slog.Logger

	fault    error // why it doesn't vote; nil: it may
	store    *store.Store
	checkIn  *duty.Seating
	decision duty.Decision
	lastAsk  time.Duration // when the other members were last asked

	node        *raft.RawNode // nil: it doesn't take part
	applied     uint64        // index of the last entry that was applied
	appliedTerm uint64        // its term
	leads       bool
	leadTerm    uint64 // in which it leads
	leader      uint64 // identity

	voters     *pb.ConfState
	membership Membership              // as agreed on
	joining    map[string]uint64       // identities that ask to be let in, by name
	promised   map[uint64]duty.Promise // what other identities let this one have
	origins    map[uint64]string       // member from which an identity's messages come
	changed    bool                    // members changed since the last snapshot
	lastChange time.Duration           // when a change of members was last proposed
	tooLong    bool                    // the last snapshot was
}

// New makes a voter. Open opens its store.
func New(o Options, host Host) *Voter {
	return &Voter{options: o, host: host, log: o.Log, membership: Membership{Members: map[uint64]string{}}, joining: map[string]uint64{},
		promised: map[uint64]duty.Promise{}, origins: map[uint64]string{}}
}

// Guard carries out f; a panic in it ends this member's part, and not the process.
func (v *Voter) Guard(f func()) {
	defer func() {
		if reason := recover(); reason != nil {
			v.fail(fmt.Errorf("panic: %v", reason))
		}
	}()
	f()
}

// Turn does what is due. ticked: a tick of the group's clock is over.
func (v *Voter) Turn(now time.Duration, ticked bool) {
	if v.fault != nil {
		return
	}
	if v.node == nil {
		v.start(now)
		return
	}
	if ticked {
		v.node.Tick()
	}
	v.askToJoin(now)
	v.Advance()
}

// Propose has the leader put an entry into the log. With an error nothing of it was.
func (v *Voter) Propose(data []byte) error {
	if v.node == nil {
		return raft.ErrProposalDropped
	}
	return v.node.Propose(data)
}

// ReadIndex asks for a confirmation that a majority follows this leader; Host.Confirmed tells with the same context.
func (v *Voter) ReadIndex(context []byte) {
	if v.node != nil {
		v.node.ReadIndex(context)
	}
}

// fail ends this member's part: its disk failed or can't be trusted, or something panicked.
func (v *Voter) fail(reason error) {
	v.fault, v.node, v.checkIn = reason, nil, nil
	v.leader = raft.None
	v.setLeads(false)
	v.log.Error("this member does not vote", "err", reason)
}

// setLeads notes whether this member leads, and tells its host.
func (v *Voter) setLeads(leads bool) {
	if v.leads != leads {
		v.leads = leads
		v.log.Info("leadership changed", "leads", leads, "term", v.leadTerm)
		v.host.LeadershipChanged(leads)
	}
}

// Close lets the store go.
func (v *Voter) Close() {
	if v.store == nil {
		return
	}
	if err := v.store.Close(); err != nil {
		v.log.Warn("the store is closed with an error", "err", err)
	}
}

// Fault is why this member doesn't vote any more; nil: nothing is wrong.
func (v *Voter) Fault() error { return v.fault }

// Votes reports whether this member takes part.
func (v *Voter) Votes() bool { return v.node != nil }

// Decision is how this member began, or what it waits for.
func (v *Voter) Decision() duty.Decision { return v.decision }

// Store is what the disk holds; nil: it can't be read.
func (v *Voter) Store() *store.Store { return v.store }

// Applied is the index of the last entry that was applied.
func (v *Voter) Applied() uint64 { return v.applied }

// Leads reports whether this member leads, as far as it knows.
func (v *Voter) Leads() bool { return v.leads }

// LeadTerm is the term in which it leads.
func (v *Voter) LeadTerm() uint64 { return v.leadTerm }

// Established reports whether this member leads and has applied an entry of its term: before that it may not know of all that was agreed on.
func (v *Voter) Established() bool { return v.leads && v.appliedTerm == v.leadTerm }

// Leader is the name of the member that leads; empty: none is known.
func (v *Voter) Leader() string {
	if v.node == nil || v.leader == raft.None {
		return ""
	}
	return v.membership.Members[v.leader]
}

// Members are those that were agreed on, by identity.
func (v *Voter) Members() map[uint64]string { return maps.Clone(v.membership.Members) }

// IdentityText is how an identity is shown.
func IdentityText(id uint64) string { return fmt.Sprintf("%016x", id) }
