package voter

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"lemonrail/internal/duty"
	"lemonrail/internal/duty/store"
)

const (
	requestInterval   = 200 * time.Millisecond   // between check-ins before this member votes, and between requests to join
	minChangeInterval = 5 * time.Second          // between proposed changes of members
	distrustedSuffix  = ".distrusted"            // of the names of quarantined files
	neverReplace      = time.Duration(1<<63 - 1) // stands for a ReplaceAfter of 0: longer than any member can be dead
	initialIndex      = 1                        // index and term of the snapshot with which a group begins
)

// newIdentity draws a random raft identity.
func newIdentity(source *rand.Rand) uint64 {
	for {
		if id := source.Uint64() >> 1; id != raft.None {
			return id
		}
	}
}

// Open opens the store and prepares the check-in, in which this member asks the others what it promised them
// under its stored identity.
func (v *Voter) Open(now time.Duration) {
	opened, empty, err := store.Open(v.options.FS, newIdentity(v.options.Rand))
	if err != nil {
		v.fail(err)
		return
	}
	v.store, v.fault = opened, nil
	state, hard := opened.State(), opened.HardState()
	v.checkIn = duty.NewStartupCheck(duty.StartupConfig{Name: v.options.Name, Candidates: v.options.Candidates, Voters: v.options.InitialVoters, ID: opened.ID(), Empty: opened.Empty(),
		Stored: duty.Promise{Term: state.Term, Index: state.Index, Voted: hard.GetTerm()}, Vote: hard.GetVote()}, now)
	v.decision = duty.Decision{Start: duty.Wait, Why: "no other member was heard yet"}
	v.log.Info("store opened", "identity", IdentityText(opened.ID()), "new", empty, "term", state.Term, "entry", state.Index)
}

// startAfterCheckIn sends the check-in to the other members at every requestInterval, and acts by
// duty.StartupCheck on their replies: it starts raft once they show that the store has lost no promise, or
// that this member starts new or under a new identity; it quarantines a store that has lost a promise or
// whose identity was replaced.
func (v *Voter) startAfterCheckIn(now time.Duration) {
	if now-v.lastRequest >= requestInterval || v.lastRequest == 0 {
		v.lastRequest = now
		v.broadcastIdentity(KindCheckIn)
	}
	decision := v.checkIn.Decide(now)
	if decision.Start != v.decision.Start || decision.Why != v.decision.Why {
		v.log.Info("start", "decision", decision.Start, "why", decision.Why)
	}
	v.decision = decision
	var err error
	switch decision.Start {
	case duty.Wait:
		return
	case duty.Bootstrap:
		err = v.writeInitialSnapshot(decision.Initial)
	case duty.Discard:
		v.quarantineStore(now)
		return
	case duty.Join:
		if !v.store.Empty() { // the identity was replaced in the group, so its log and votes are of no use
			v.quarantineStore(now)
			return
		}
	}
	if err == nil {
		err = v.startNode()
	}
	if err != nil {
		v.fail(err)
	}
}

// quarantineStore renames the store's files out of the way and opens an empty store under a new identity.
func (v *Voter) quarantineStore(now time.Duration) {
	reason := v.decision.Why
	v.Close()
	if err := v.renameStoreFiles(); err != nil {
		v.fail(fmt.Errorf("what the disk holds can't be put aside: %w", err))
		return
	}
	v.log.Warn("the store is distrusted and quarantined", "why", reason)
	v.Open(now)
}

// renameStoreFiles gives the store's files names under which the store doesn't read them.
func (v *Voter) renameStoreFiles() error {
	names, err := v.options.FS.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasSuffix(name, distrustedSuffix) {
			continue
		}
		if err := v.options.FS.Rename(name, fmt.Sprintf("%s.%s%s", name, IdentityText(v.store.ID()), distrustedSuffix)); err != nil {
			return err
		}
	}
	return v.options.FS.SyncDir()
}

// writeInitialSnapshot writes the snapshot with which a group begins. It is the same at all initial members.
func (v *Voter) writeInitialSnapshot(initial map[uint64]string) error {
	v.membership = Membership{Members: maps.Clone(initial), Initial: initial}
	data, err := v.host.Snapshot(v.membership)
	if err != nil {
		return err
	}
	snapshot := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(initialIndex), Term: proto.Uint64(initialIndex),
		ConfState: &pb.ConfState{Voters: slices.Sorted(maps.Keys(initial))}}}
	return v.store.Save(&pb.HardState{Term: proto.Uint64(initialIndex), Vote: proto.Uint64(raft.None), Commit: proto.Uint64(initialIndex)}, nil, snapshot)
}

// checkInReply returns the reply to a member that checks in: what it promised to this one under an identity,
// and the membership as this member knows it.
func (v *Voter) checkInReply(id uint64) duty.CheckInReply {
	reply := duty.CheckInReply{Seat: v.options.Name, Sits: v.node != nil && len(v.membership.Members) > 0, Seats: v.membership.Members, Initial: v.membership.Initial, Promised: v.promises[id]}
	if v.store != nil {
		reply.ID, reply.Empty = v.store.ID(), v.store.Empty()
	}
	return reply
}

// requestJoin asks the other members at every requestInterval to admit this one's identity, until the
// committed membership contains it.
func (v *Voter) requestJoin(now time.Duration) {
	if _, agreed := v.membership.Members[v.store.ID()]; agreed || now-v.lastRequest < requestInterval {
		return
	}
	v.lastRequest = now
	v.broadcastIdentity(KindJoin)
}

// memberName returns the name of the member with an identity; empty: unknown.
func (v *Voter) memberName(id uint64) string {
	if name := v.membership.Members[id]; name != "" {
		return name
	}
	for name, joining := range v.joining {
		if joining == id {
			return name
		}
	}
	return v.origins[id] // a member that is joining has no membership yet
}

// replacement is the content of a log entry that changes the voters: identity In of member Name takes the
// place of identity Out.
type replacement struct {
	Out, In uint64
	Name    string
}

// ReplaceMember proposes a change of members if one is due: a member that returned under a new identity takes the place of
// its old one, or a spare member that of a dead one. The host calls it regularly while this member leads.
func (v *Voter) ReplaceMember(now time.Duration) {
	if v.node == nil || v.lastChange > 0 && now-v.lastChange < minChangeInterval || len(v.confState.GetVotersOutgoing()) > 0 {
		return
	}
	var dead map[string]time.Duration
	lives := map[string]bool{}
	if v.options.Liveness != nil {
		dead, lives = v.options.Liveness()
	}
	after := v.options.ReplaceAfter
	if after == 0 {
		after = neverReplace
	}
	out, in, name := duty.PlanReplacement(v.membership.Members, v.options.Candidates, v.joining, dead, lives, after)
	if in == raft.None {
		return
	}
	v.lastChange = now
	context, err := json.Marshal(replacement{out, in, name})
	if err != nil {
		v.log.Warn("the replacement of a member can't be encoded", "member", name, "err", err)
		return
	}
	add, remove := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode
	transition := pb.ConfChangeTransitionAuto
	err = v.node.ProposeConfChange(&pb.ConfChangeV2{Transition: &transition, Context: context, Changes: []*pb.ConfChangeSingle{
		{Type: &add, NodeId: proto.Uint64(in)}, {Type: &remove, NodeId: proto.Uint64(out)}}})
	if err != nil {
		v.log.Warn("the replacement of a member was not proposed", "member", name, "err", err)
	}
}

// applyReplacement applies a committed change of voters.
func (v *Voter) applyReplacement(e *pb.Entry) error {
	change := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), change); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	v.confState = v.node.ApplyConfChange(change)
	if len(change.GetContext()) == 0 { // the entry that leaves a joint configuration
		return nil
	}
	var details replacement
	if err := json.Unmarshal(change.GetContext(), &details); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	if details.Name == "" {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), errors.New("a change of members without a name"))
	}
	delete(v.membership.Members, details.Out)
	v.membership.Members[details.In] = details.Name
	v.membersChanged = true // lets compact take a snapshot: the new, empty member accepts only one whose configuration contains it
	v.log.Info("member replaced", "member", details.Name, "identity", IdentityText(details.In), "instead of", IdentityText(details.Out))
	return nil
}
