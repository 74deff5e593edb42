// Package voter runs one member of a raft group (go.etcd.io/raft): its store (internal/duty/store), the check-in before it
// votes (duty.StartupCheck), raft itself and changes of members. It has no goroutine, socket or clock: its host passes in the
// time and messages, and applies committed entries. A Voter belongs to one goroutine.
//
// Before a member votes it asks the others what its log and votes had promised them. A store that has lost any of that is
// quarantined, and the member returns under a new identity in place of the old one. A failed disk, a panic of raft or one
// of the host's state machine ends this member's vote with a reason (Fault).
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

// ElectionTicks is the minimum number of ticks without a leader after which members elect another.
const ElectionTicks = 10

const heartbeatTicks = 2 // ticks between a leader's heartbeats

// Host is the owner of a voter. Its methods are called on the voter's goroutine, within calls of the Voter's methods.
type Host interface {
	// Send queues a message to a member. It returns false if the message is lost.
	Send(to string, kind Kind, content []byte) bool
	// Apply applies a committed entry, which isn't empty. After an error this member stops voting.
	Apply(entry *pb.Entry) error
	// Snapshot returns the encoded state together with the membership.
	Snapshot(m Membership) ([]byte, error)
	// Restore replaces the state by that of a snapshot, and returns the membership that the snapshot holds.
	Restore(snapshot []byte) (Membership, error)
	// LeadershipChanged reports that this member has become the leader or no longer is.
	LeadershipChanged(leads bool)
	// ReadIndexConfirmed reports that, after the call of ReadIndex, a majority followed this leader.
	ReadIndexConfirmed(read raft.ReadState)
}

// Membership holds the names of the voters by identity.
type Membership struct {
	Members map[uint64]string // the current voters
	Initial map[uint64]string // the voters with which the group began
}

// Options configure a Voter.
type Options struct {
	Name          string   // name of this member
	Candidates    []string // all members that may vote, in the same order at every member
	InitialVoters int      // the group begins with this many of the Candidates, the first ones
	FS            store.FS // where the log and the votes are stored
	Log           *slog.Logger
	Rand          *rand.Rand    // source of identities
	ReplaceAfter  time.Duration // a spare member takes the place of one that was dead for this long; 0: never
	// Liveness returns for how long members have been dead, and which members are alive. nil: a member's place is taken
	// only by the same member under a new identity.
	Liveness func() (dead map[string]time.Duration, lives map[string]bool)
}

// Voter is one member's part in a raft group.
type Voter struct {
	options Options
	host    Host
	log     *slog.Logger

	fault       error              // why this member stopped voting; nil: it hasn't
	store       *store.Store       // the log and the votes; nil: not opened
	checkIn     *duty.StartupCheck // decides how this member starts, by the others' answers
	decision    duty.Decision      // the latest decision of checkIn
	lastRequest time.Duration      // when the last check-in or join request was sent

	node        *raft.RawNode // nil: this member doesn't vote
	applied     uint64        // index of the last applied entry
	appliedTerm uint64        // term of the last applied entry
	leads       bool          // this member believes that it is the leader
	leadTerm    uint64        // the latest term in which this member led
	leader      uint64        // identity of the leader; raft.None: unknown

	confState       *pb.ConfState           // raft's configuration of voters, as last applied
	membership      Membership              // names of the voters, as committed
	joining         map[string]uint64       // identities that asked to become voters, by member name
	promises        map[uint64]duty.Promise // by identity: the log position and the votes that it has promised to this member
	origins         map[uint64]string       // by identity: name of the member that sends raft messages under it
	membersChanged  bool                    // a change of members was applied since the last snapshot
	lastChange      time.Duration           // when a change of members was last proposed
	snapshotTooLong bool                    // the last snapshot exceeded MaxSnapshotBytes
}

// New returns a voter whose store isn't opened yet; see Open.
func New(o Options, host Host) *Voter {
	return &Voter{options: o, host: host, log: o.Log, membership: Membership{Members: map[uint64]string{}}, joining: map[string]uint64{},
		promises: map[uint64]duty.Promise{}, origins: map[uint64]string{}}
}

// Guard calls f. A panic in f ends this member's vote instead of the process.
func (v *Voter) Guard(f func()) {
	defer func() {
		if reason := recover(); reason != nil {
			v.fail(fmt.Errorf("panic: %v", reason))
		}
	}()
	f()
}

// Step does the work that is due: check-ins before this member votes, raft and requests to join afterwards.
// ticked: a raft tick has passed.
func (v *Voter) Step(now time.Duration, ticked bool) {
	if v.fault != nil {
		return
	}
	if v.node == nil {
		v.startAfterCheckIn(now)
		return
	}
	if ticked {
		v.node.Tick()
	}
	v.requestJoin(now)
	v.Advance()
}

// Propose has the leader append an entry to the log. After an error nothing was appended.
func (v *Voter) Propose(data []byte) error {
	if v.node == nil {
		return raft.ErrProposalDropped
	}
	return v.node.Propose(data)
}

// ReadIndex requests confirmation that a majority follows this leader. Host.ReadIndexConfirmed reports it with the same
// context.
func (v *Voter) ReadIndex(context []byte) {
	if v.node != nil {
		v.node.ReadIndex(context)
	}
}

// fail ends this member's vote: its disk failed or can't be trusted, or something panicked.
func (v *Voter) fail(reason error) {
	v.fault, v.node, v.checkIn = reason, nil, nil
	v.leader = raft.None
	v.setLeads(false)
	v.log.Error("this member doesn't vote", "err", reason)
}

// setLeads records whether this member leads, and notifies the host of a change.
func (v *Voter) setLeads(leads bool) {
	if v.leads != leads {
		v.leads = leads
		v.log.Info("leadership changed", "leads", leads, "term", v.leadTerm)
		v.host.LeadershipChanged(leads)
	}
}

// Close closes the store.
func (v *Voter) Close() {
	if v.store == nil {
		return
	}
	if err := v.store.Close(); err != nil {
		v.log.Warn("the store was not closed cleanly", "err", err)
	}
}

// Fault returns why this member has stopped voting; nil: it hasn't.
func (v *Voter) Fault() error { return v.fault }

// Voting reports whether this member takes part in elections and commits.
func (v *Voter) Voting() bool { return v.node != nil }

// Decision returns how this member started, or why it still waits for replies to its check-in.
func (v *Voter) Decision() duty.Decision { return v.decision }

// Store returns the store; nil: it couldn't be opened.
func (v *Voter) Store() *store.Store { return v.store }

// Applied returns the index of the last applied entry.
func (v *Voter) Applied() uint64 { return v.applied }

// Leads reports whether this member believes that it leads.
func (v *Voter) Leads() bool { return v.leads }

// LeadTerm returns the latest term in which this member led.
func (v *Voter) LeadTerm() uint64 { return v.leadTerm }

// Established reports whether this member leads and has applied an entry of its own term. Before that it may not know of
// all committed entries.
func (v *Voter) Established() bool { return v.leads && v.appliedTerm == v.leadTerm }

// Leader returns the name of the leader; empty: unknown.
func (v *Voter) Leader() string {
	if v.node == nil || v.leader == raft.None {
		return ""
	}
	return v.membership.Members[v.leader]
}

// Members returns the names of the committed members by identity.
func (v *Voter) Members() map[uint64]string { return maps.Clone(v.membership.Members) }

// IdentityText formats an identity as 16 hexadecimal digits.
func IdentityText(id uint64) string { return fmt.Sprintf("%016x", id) }
