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
	askInterval    = 200 * time.Millisecond // between questions to the other members before this one votes
	changeInterval = 5 * time.Second        // between proposed changes of members
	distrusted     = ".distrusted"          // ends the names of files that were put aside
	never          = time.Duration(1<<63 - 1)
	firstIndex     = 1 // of the snapshot with which a group begins, and its term
)

// newIdentity draws a raft identity.
func newIdentity(source *rand.Rand) uint64 {
	for {
		if id := source.Uint64() >> 1; id != raft.None {
			return id
		}
	}
}

// Open reads what the disk holds, and begins to ask the others about it.
func (v *Voter) Open(now time.Duration) {
	opened, empty, err := store.Open(v.options.FS, newIdentity(v.options.Rand))
	if err != nil {
		v.fail(err)
		return
	}
	v.store, v.fault = opened, nil
	state, hard := opened.State(), opened.Hard()
	v.checkIn = duty.NewSeating(duty.SeatingConfig{Name: v.options.Name, Seats: v.options.Candidates, Voters: v.options.Voters, ID: opened.ID(), Empty: opened.Empty(),
		Has: duty.Promise{Term: state.Term, Index: state.Index, Voted: hard.GetTerm()}, Vote: hard.GetVote()}, now)
	v.decision = duty.Decision{Start: duty.Wait, Why: "no other member was heard yet"}
	v.log.Info("store opened", "identity", IdentityText(opened.ID()), "new", empty, "term", state.Term, "entry", state.Index)
}

// start asks the other members and takes part once what they answer allows it.
func (v *Voter) start(now time.Duration) {
	if now-v.lastAsk >= askInterval || v.lastAsk == 0 {
		v.lastAsk = now
		v.sendToAll(KindCheckIn)
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
	case duty.Begin:
		err = v.writeFirst(decision.Initial)
	case duty.Forget:
		v.putAside(now)
		return
	case duty.Join:
		if !v.store.Empty() { // it was replaced: what it promised under its old identity is of no use
			v.putAside(now)
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

// putAside keeps what the disk holds out of the way and begins anew under another identity.
func (v *Voter) putAside(now time.Duration) {
	reason := v.decision.Why
	v.Close()
	if err := v.renameStore(); err != nil {
		v.fail(fmt.Errorf("what the disk holds can't be put aside: %w", err))
		return
	}
	v.log.Warn("what the disk holds is put aside", "why", reason)
	v.Open(now)
}

// renameStore gives the store's files names under which they aren't read.
func (v *Voter) renameStore() error {
	names, err := v.options.FS.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasSuffix(name, distrusted) {
			continue
		}
		if err := v.options.FS.Rename(name, fmt.Sprintf("%s.%s%s", name, IdentityText(v.store.ID()), distrusted)); err != nil {
			return err
		}
	}
	return v.options.FS.SyncDir()
}

// writeFirst writes the snapshot with which a group begins: the same at all its first members.
func (v *Voter) writeFirst(initial map[uint64]string) error {
	v.membership = Membership{Members: maps.Clone(initial), Initial: initial}
	data, err := v.host.Snapshot(v.membership)
	if err != nil {
		return err
	}
	first := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(firstIndex), Term: proto.Uint64(firstIndex),
		ConfState: &pb.ConfState{Voters: slices.Sorted(maps.Keys(initial))}}}
	return v.store.Save(&pb.HardState{Term: proto.Uint64(firstIndex), Vote: proto.Uint64(raft.None), Commit: proto.Uint64(firstIndex)}, nil, first)
}

// checkInReply answers a member that is about to vote under an identity.
func (v *Voter) checkInReply(id uint64) duty.CheckIn {
	reply := duty.CheckIn{Seat: v.options.Name, Sits: v.node != nil && len(v.membership.Members) > 0, Seats: v.membership.Members, Initial: v.membership.Initial, Promised: v.promised[id]}
	if v.store != nil {
		reply.ID, reply.Empty = v.store.ID(), v.store.Empty()
	}
	return reply
}

// askToJoin has a member whose identity isn't agreed on ask to be let in.
func (v *Voter) askToJoin(now time.Duration) {
	if _, agreed := v.membership.Members[v.store.ID()]; agreed || now-v.lastAsk < askInterval {
		return
	}
	v.lastAsk = now
	v.sendToAll(KindJoin)
}

// nameOf is the member behind an identity; empty: unknown.
func (v *Voter) nameOf(id uint64) string {
	if name := v.membership.Members[id]; name != "" {
		return name
	}
	for name, joining := range v.joining {
		if joining == id {
			return name
		}
	}
	return v.origins[id] // a member that joins knows no others yet
}

// replacement goes with a change of voters: who it is about.
type replacement struct {
	Out, In uint64
	Name    string
}

// ReplaceMember proposes, at the leader, that a member that came back under another identity takes the place of its old one, or a spare one
// that of a member that is dead. Host calls it now and then.
func (v *Voter) ReplaceMember(now time.Duration) {
	if v.node == nil || v.lastChange > 0 && now-v.lastChange < changeInterval || len(v.voters.GetVotersOutgoing()) > 0 {
		return
	}
	var dead map[string]time.Duration
	lives := map[string]bool{}
	if v.options.Liveness != nil {
		dead, lives = v.options.Liveness()
	}
	after := v.options.ReplaceAfter
	if after == 0 {
		after = never
	}
	out, in, name := duty.Replace(v.membership.Members, v.options.Candidates, v.joining, dead, lives, after)
	if in == raft.None {
		return
	}
	v.lastChange = now
	context, err := json.Marshal(replacement{out, in, name})
	if err != nil {
		v.log.Warn("a member is not replaced", "member", name, "err", err)
		return
	}
	add, remove := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode
	transition := pb.ConfChangeTransitionAuto
	err = v.node.ProposeConfChange(&pb.ConfChangeV2{Transition: &transition, Context: context, Changes: []*pb.ConfChangeSingle{
		{Type: &add, NodeId: proto.Uint64(in)}, {Type: &remove, NodeId: proto.Uint64(out)}}})
	if err != nil {
		v.log.Warn("a member is not replaced", "member", name, "err", err)
	}
}

// applyReplacement carries out a change of voters that was agreed on.
func (v *Voter) applyReplacement(e *pb.Entry) error {
	change := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), change); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	v.voters = v.node.ApplyConfChange(change)
	if len(change.GetContext()) == 0 { // the end of a joint change
		return nil
	}
	var about replacement
	if err := json.Unmarshal(change.GetContext(), &about); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	if about.Name == "" {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), errors.New("a change of members without a name"))
	}
	delete(v.membership.Members, about.Out)
	v.membership.Members[about.In] = about.Name
	v.changed = true // one that holds nothing takes only a snapshot in which it is a member
	v.log.Info("member replaced", "member", about.Name, "identity", IdentityText(about.In), "instead of", IdentityText(about.Out))
	return nil
}
