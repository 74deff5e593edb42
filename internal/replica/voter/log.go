package voter

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

const (
	messageBytes     = 256 << 10 // of entries in a message, beyond its first
	messagesInFlight = 64
	uncommittedBytes = 4 << 20 // of proposed entries
	snapshotSpacing  = 64      // entries that are applied between two snapshots, at least
	recordLimit      = 4 << 20 // bytes of a record of the store
	snapshotOverhead = 64 << 10
)

// SnapshotLimit bounds a snapshot's bytes: it is kept as one record. While one is longer the log isn't shortened.
const SnapshotLimit = recordLimit - snapshotOverhead

// startNode has raft take part with what is kept.
func (v *Voter) startNode() error {
	kept, err := v.store.Snapshot()
	if err != nil {
		return err
	}
	if v.applied = kept.GetMetadata().GetIndex(); v.applied > 0 {
		if err := v.restore(kept); err != nil {
			return err
		}
	}
	node, err := raft.NewRawNode(&raft.Config{ID: v.store.ID(), ElectionTick: ElectionTicks, HeartbeatTick: heartbeatTicks, Storage: v.store, Applied: v.applied,
		MaxSizePerMsg: messageBytes, MaxInflightMsgs: messagesInFlight, MaxUncommittedEntriesSize: uncommittedBytes, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: raftLogger{}})
	if err != nil {
		return err
	}
	v.node = node
	v.log.Info("this member takes part", "members", len(v.membership.Members))
	return nil
}

// Advance carries out what raft asks for: kept first, then sent, then applied, then confirmed.
func (v *Voter) Advance() {
	for v.node != nil && v.node.HasReady() {
		ready := v.node.Ready()
		if err := v.store.Save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
			v.fail(err)
			return
		}
		v.observeLeader(ready.SoftState)
		for _, m := range ready.Messages {
			v.send(m)
		}
		if err := v.applyAll(ready); err != nil {
			v.fail(err)
			return
		}
		v.node.Advance(ready)
		for _, read := range ready.ReadStates {
			v.host.Confirmed(read)
		}
	}
	v.compact()
}

// observeLeader notes who leads, and in which term.
func (v *Voter) observeLeader(state *raft.SoftState) {
	term := v.store.Hard().GetTerm()
	if v.leads && term != v.leadTerm {
		v.setLeads(false)
	}
	if state == nil {
		return
	}
	v.leader = state.Lead
	leads := state.RaftState == raft.StateLeader
	if leads {
		v.leadTerm = term
	}
	v.setLeads(leads)
}

// applyAll applies a snapshot and entries that were agreed on.
func (v *Voter) applyAll(ready raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := v.restore(ready.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range ready.CommittedEntries {
		if err := v.apply(e); err != nil {
			return err
		}
	}
	return nil
}

// apply carries out an entry.
func (v *Voter) apply(e *pb.Entry) error {
	if e.GetIndex() <= v.applied {
		return nil
	}
	v.applied, v.appliedTerm = e.GetIndex(), e.GetTerm()
	switch {
	case e.GetType() == pb.EntryConfChangeV2:
		return v.applyReplacement(e)
	case e.GetType() != pb.EntryNormal || len(e.GetData()) == 0: // a leader's first entry is empty
		return nil
	}
	if err := v.host.Apply(e); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	return nil
}

// restore takes over a snapshot's state.
func (v *Voter) restore(snapshot *pb.Snapshot) error {
	membership, err := v.host.Restore(snapshot.GetData())
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	metadata := snapshot.GetMetadata()
	v.membership, v.voters = membership, metadata.GetConfState()
	v.applied, v.appliedTerm = metadata.GetIndex(), metadata.GetTerm()
	return nil
}

// compact puts a snapshot in place of the log once that is long, or its members have changed.
func (v *Voter) compact() {
	if v.node == nil || !v.changed && !v.compactionDue() {
		return
	}
	v.changed = false
	data, err := v.host.Snapshot(v.membership)
	if err != nil {
		v.fail(err)
		return
	}
	if len(data) > SnapshotLimit {
		if !v.tooLong {
			v.log.Error("the snapshot is too long: the log is not shortened", "bytes", len(data))
		}
		v.tooLong = true
		return
	}
	v.tooLong = false
	if err := v.store.Compact(v.applied, v.voters, data); err != nil {
		v.fail(err)
	}
}

func (v *Voter) compactionDue() bool {
	if !v.store.Due() {
		return false
	}
	first, err := v.store.FirstIndex()
	return err == nil && v.applied >= first-1+snapshotSpacing
}

// raftLogger drops what raft logs, which the replica logs itself. Its panics stay: they end the vote.
type raftLogger struct{}

func (raftLogger) Debug(...any)              {}
func (raftLogger) Debugf(string, ...any)     {}
func (raftLogger) Error(...any)              {}
func (raftLogger) Errorf(string, ...any)     {}
func (raftLogger) Info(...any)               {}
func (raftLogger) Infof(string, ...any)      {}
func (raftLogger) Warning(...any)            {}
func (raftLogger) Warningf(string, ...any)   {}
func (raftLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (raftLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
