package replica

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
	firstIndex     = 1                      // of the snapshot with which a group begins, and its term
)

// newIdentity draws a raft identity.
func newIdentity(source *rand.Rand) uint64 {
	for {
		if id := source.Uint64() >> 1; id != raft.None {
			return id
		}
	}
}

// openStore reads what the disk holds, and begins to ask the others about it.
func (r *Replica) openStore() {
	opened, empty, err := store.Open(r.options.FS, newIdentity(r.options.Rand))
	if err != nil {
		r.stopVoting(err)
		return
	}
	r.store, r.fault = opened, nil
	state, hard := opened.State(), opened.Hard()
	r.checkIn = duty.NewSeating(duty.SeatingConfig{Name: r.options.Name, Seats: r.options.names(), Voters: len(r.options.Members), ID: opened.ID(), Empty: opened.Empty(),
		Has: duty.Promise{Term: state.Term, Index: state.Index, Voted: hard.GetTerm()}, Vote: hard.GetVote()}, r.now())
	r.decision = duty.Decision{Start: duty.Wait, Why: "no other member was heard yet"}
	r.log.Info("store opened", "identity", identityText(opened.ID()), "new", empty, "term", state.Term, "entry", state.Index)
}

func identityText(id uint64) string { return fmt.Sprintf("%016x", id) }

func (r *Replica) closeStore() {
	if r.store == nil {
		return
	}
	if err := r.store.Close(); err != nil {
		r.log.Warn("the store is closed with an error", "err", err)
	}
}

// startVoting asks the other members and takes part once what they answer allows it.
func (r *Replica) startVoting(now time.Duration) {
	if now-r.lastAsk >= askInterval || r.lastAsk == 0 {
		r.lastAsk = now
		r.sendToAll(kindCheckIn)
	}
	decision := r.checkIn.Decide(now)
	if decision.Start != r.decision.Start || decision.Why != r.decision.Why {
		r.log.Info("start", "decision", decision.Start, "why", decision.Why)
	}
	r.decision = decision
	var err error
	switch decision.Start {
	case duty.Wait:
		return
	case duty.Begin:
		err = r.writeFirst(decision.Initial)
	case duty.Forget:
		r.putAside()
		return
	case duty.Join:
		if !r.store.Empty() { // it was replaced: what it promised under its old identity is of no use
			r.putAside()
			return
		}
	}
	if err == nil {
		err = r.startNode()
	}
	if err != nil {
		r.stopVoting(err)
	}
}

// putAside keeps what the disk holds out of the way and begins anew under another identity.
func (r *Replica) putAside() {
	reason := r.decision.Why
	r.closeStore()
	if err := r.renameStore(); err != nil {
		r.stopVoting(fmt.Errorf("what the disk holds can't be put aside: %w", err))
		return
	}
	r.log.Warn("what the disk holds is put aside", "why", reason)
	r.openStore()
}

// renameStore gives the store's files names under which they aren't read.
func (r *Replica) renameStore() error {
	names, err := r.options.FS.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasSuffix(name, distrusted) {
			continue
		}
		if err := r.options.FS.Rename(name, fmt.Sprintf("%s.%s%s", name, identityText(r.store.ID()), distrusted)); err != nil {
			return err
		}
	}
	return r.options.FS.SyncDir()
}

// writeFirst writes the snapshot with which a group begins: the same at all its first members.
func (r *Replica) writeFirst(initial map[uint64]string) error {
	r.members, r.initial = maps.Clone(initial), initial
	data, err := r.snapshot()
	if err != nil {
		return err
	}
	first := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(firstIndex), Term: proto.Uint64(firstIndex),
		ConfState: &pb.ConfState{Voters: slices.Sorted(maps.Keys(initial))}}}
	return r.store.Save(&pb.HardState{Term: proto.Uint64(firstIndex), Vote: proto.Uint64(raft.None), Commit: proto.Uint64(firstIndex)}, nil, first)
}

// checkInReply answers a member that is about to vote under an identity.
func (r *Replica) checkInReply(id uint64) duty.CheckIn {
	reply := duty.CheckIn{Seat: r.options.Name, Sits: r.node != nil && len(r.members) > 0, Seats: r.members, Initial: r.initial, Promised: r.promised[id]}
	if r.store != nil {
		reply.ID, reply.Empty = r.store.ID(), r.store.Empty()
	}
	return reply
}

// askToJoin has a member whose identity isn't agreed on ask to be let in.
func (r *Replica) askToJoin(now time.Duration) {
	if _, agreed := r.members[r.store.ID()]; agreed || now-r.lastAsk < askInterval {
		return
	}
	r.lastAsk = now
	r.sendToAll(kindJoin)
}

// nameOf is the member behind an identity; empty: unknown.
func (r *Replica) nameOf(id uint64) string {
	if name := r.members[id]; name != "" {
		return name
	}
	for name, joining := range r.joining {
		if joining == id {
			return name
		}
	}
	return r.origins[id] // a member that joins knows no others yet
}

// replacement goes with a change of voters: who it is about.
type replacement struct {
	Out, In uint64
	Name    string
}

// replaceMember proposes, at the leader, that a member that came back under another identity takes the place of its old one.
func (r *Replica) replaceMember(now time.Duration) {
	if r.lastChange > 0 && now-r.lastChange < changeInterval || len(r.voters.GetVotersOutgoing()) > 0 {
		return
	}
	const never = time.Duration(1<<63 - 1)
	out, in, name := duty.Replace(r.members, r.options.names(), r.joining, nil, nil, never)
	if in == raft.None {
		return
	}
	r.lastChange = now
	context, err := json.Marshal(replacement{out, in, name})
	if err != nil {
		r.log.Warn("a member is not replaced", "member", name, "err", err)
		return
	}
	add, remove := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode
	transition := pb.ConfChangeTransitionAuto
	err = r.node.ProposeConfChange(&pb.ConfChangeV2{Transition: &transition, Context: context, Changes: []*pb.ConfChangeSingle{
		{Type: &add, NodeId: proto.Uint64(in)}, {Type: &remove, NodeId: proto.Uint64(out)}}})
	if err != nil {
		r.log.Warn("a member is not replaced", "member", name, "err", err)
	}
}

// applyReplacement carries out a change of voters that was agreed on.
func (r *Replica) applyReplacement(e *pb.Entry) error {
	change := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), change); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	r.voters = r.node.ApplyConfChange(change)
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
	delete(r.members, about.Out)
	r.members[about.In] = about.Name
	r.changed = true // one that holds nothing takes only a snapshot in which it is a member
	r.log.Info("member replaced", "member", about.Name, "identity", identityText(about.In), "instead of", identityText(about.Out))
	return nil
}
