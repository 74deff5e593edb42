package voter

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

const (
	maxMessageBytes       = 256 << 10 // of entries in one message; a message has at least one entry, whatever its size
	maxInflightMessages   = 64        // sent to one member and not acknowledged yet
	maxUncommittedBytes   = 4 << 20   // of proposed entries; further proposals are dropped
	minSnapshotSpacing    = 64        // minimum number of applied entries between two snapshots
	maxRecordBytes        = 4 << 20   // of one record of the store
	snapshotOverheadBytes = 64 << 10  // of a record: left for the snapshot's metadata
)

// MaxSnapshotBytes is the maximum size of a snapshot in bytes, since the store keeps it as one record. While a snapshot is
// larger the log isn't compacted.
const MaxSnapshotBytes = maxRecordBytes - snapshotOverheadBytes

// startNode restores the stored snapshot and starts raft on the store: from here on this member votes.
func (v *Voter) startNode() error {
	snapshot, err := v.store.Snapshot()
	if err != nil {
		return err
	}
	if v.applied = snapshot.GetMetadata().GetIndex(); v.applied > 0 {
		if err := v.restore(snapshot); err != nil {
			return err
		}
	}
	node, err := raft.NewRawNode(&raft.Config{ID: v.store.ID(), ElectionTick: ElectionTicks, HeartbeatTick: heartbeatTicks, Storage: v.store, Applied: v.applied,
		MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, MaxUncommittedEntriesSize: maxUncommittedBytes, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: raftLogger{}})
	if err != nil {
		return err
	}
	v.node = node
	v.log.Info("this member votes", "members", len(v.membership.Members))
	return nil
}

// Advance processes all that raft has ready. Of each batch, state and entries are first persisted, then messages are sent,
// committed entries are applied, and read indexes are confirmed. Afterwards it compacts the log if that is due.
func (v *Voter) Advance() {
	for v.node != nil && v.node.HasReady() {
		ready := v.node.Ready()
		if err := v.store.Save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
			v.fail(err)
			return
		}
		v.updateLeader(ready.SoftState)
		for _, m := range ready.Messages {
			v.sendRaft(m)
		}
		if err := v.applyReady(ready); err != nil {
			v.fail(err)
			return
		}
		v.node.Advance(ready)
		for _, read := range ready.ReadStates {
			v.host.ReadIndexConfirmed(read)
		}
	}
	v.compact()
}

// updateLeader records the leader that raft reports and the term in which this member leads. Leadership that is regained
// in another term counts as lost and won again.
func (v *Voter) updateLeader(state *raft.SoftState) {
	term := v.store.HardState().GetTerm()
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

// applyReady applies a received snapshot and the committed entries.
func (v *Voter) applyReady(ready raft.Ready) error {
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

// apply applies a committed entry, unless it was applied before.
func (v *Voter) apply(e *pb.Entry) error {
	if e.GetIndex() <= v.applied {
		return nil
	}
	v.applied, v.appliedTerm = e.GetIndex(), e.GetTerm()
	switch {
	case e.GetType() == pb.EntryConfChangeV2:
		return v.applyReplacement(e)
	case e.GetType() != pb.EntryNormal || len(e.GetData()) == 0: // a new leader's first entry is empty
		return nil
	}
	if err := v.host.Apply(e); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	return nil
}

// restore replaces the host's state and the membership by those of a snapshot.
func (v *Voter) restore(snapshot *pb.Snapshot) error {
	membership, err := v.host.Restore(snapshot.GetData())
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	metadata := snapshot.GetMetadata()
	v.membership, v.confState = membership, metadata.GetConfState()
	v.applied, v.appliedTerm = metadata.GetIndex(), metadata.GetTerm()
	return nil
}

// compact replaces the applied part of the log by a snapshot once the log is long, or when the members have changed.
func (v *Voter) compact() {
	if v.node == nil || !v.membersChanged && !v.compactionDue() {
		return
	}
	v.membersChanged = false
	data, err := v.host.Snapshot(v.membership)
	if err != nil {
		v.fail(err)
		return
	}
	if len(data) > MaxSnapshotBytes {
		if !v.snapshotTooLong {
			v.log.Error("the snapshot is too long: the log is not compacted", "bytes", len(data))
		}
		v.snapshotTooLong = true
		return
	}
	v.snapshotTooLong = false
	if err := v.store.Compact(v.applied, v.confState, data); err != nil {
		v.fail(err)
	}
}

// compactionDue reports whether the store asks for a snapshot and enough entries were applied since the last
// one.
func (v *Voter) compactionDue() bool {
	if !v.store.SnapshotDue() {
		return false
	}
	first, err := v.store.FirstIndex()
	return err == nil && v.applied >= first-1+minSnapshotSpacing
}

// raftLogger discards the log lines of raft, since the voter logs these events itself. Fatal and Panic must still panic:
// Guard turns that into the end of this member's vote.
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
