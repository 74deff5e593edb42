package replica

import (
	"encoding/json"
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

// SnapshotLimit bounds a state machine's snapshot, which is kept as one record, base64 within JSON.
const SnapshotLimit = (recordLimit - snapshotOverhead) / 4 * 3

// startNode has raft take part with what is kept.
func (r *Replica) startNode() error {
	kept, err := r.store.Snapshot()
	if err != nil {
		return err
	}
	if r.applied = kept.GetMetadata().GetIndex(); r.applied > 0 {
		if err := r.restore(kept); err != nil {
			return err
		}
	}
	node, err := raft.NewRawNode(&raft.Config{ID: r.store.ID(), ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: r.store, Applied: r.applied,
		MaxSizePerMsg: messageBytes, MaxInflightMsgs: messagesInFlight, MaxUncommittedEntriesSize: uncommittedBytes, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: raftLogger{}})
	if err != nil {
		return err
	}
	r.node = node
	r.log.Info("this member takes part", "members", len(r.members))
	return nil
}

// advance carries out what raft asks for: kept first, then sent, then applied, then confirmed.
func (r *Replica) advance() {
	for r.node != nil && r.node.HasReady() {
		ready := r.node.Ready()
		if err := r.store.Save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
			r.stopVoting(err)
			return
		}
		r.observeLeader(ready.SoftState)
		for _, m := range ready.Messages {
			r.send(m)
		}
		if err := r.applyAll(ready); err != nil {
			r.stopVoting(err)
			return
		}
		r.node.Advance(ready)
		for _, read := range ready.ReadStates {
			r.confirmed(read)
		}
		r.finishReads()
	}
	r.compact()
}

// observeLeader notes who leads, and in which term.
func (r *Replica) observeLeader(state *raft.SoftState) {
	term := r.store.Hard().GetTerm()
	if r.leads && term != r.leadTerm {
		r.loseLeadership()
	}
	if state == nil {
		return
	}
	r.leader = state.Lead
	leads := state.RaftState == raft.StateLeader
	switch {
	case leads && !r.leads:
		r.leads, r.leadTerm = true, term
		r.log.Info("this member leads", "term", term)
	case !leads && r.leads:
		r.loseLeadership()
		r.log.Info("this member leads no longer", "term", term)
	}
}

// applyAll applies a snapshot and entries that were agreed on.
func (r *Replica) applyAll(ready raft.Ready) error {
	before := r.applied
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := r.restore(ready.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range ready.CommittedEntries {
		if err := r.apply(e); err != nil {
			return err
		}
	}
	if r.applied != before && r.options.Applied != nil {
		r.options.Applied()
	}
	return nil
}

// apply carries out an entry.
func (r *Replica) apply(e *pb.Entry) error {
	if e.GetIndex() <= r.applied {
		return nil
	}
	r.applied, r.appliedTerm = e.GetIndex(), e.GetTerm()
	switch {
	case e.GetType() == pb.EntryConfChangeV2:
		return r.applyReplacement(e)
	case e.GetType() != pb.EntryNormal || len(e.GetData()) == 0: // a leader's first entry is empty
		return nil
	}
	id, command, err := decodeEntry(e.GetData())
	if err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	r.answer(id, r.options.Machine.Apply(e.GetTerm(), command))
	return nil
}

// snapshotData is what a snapshot holds.
type snapshotData struct {
	Machine []byte
	Members map[uint64]string
	Initial map[uint64]string
}

func (r *Replica) snapshot() ([]byte, error) {
	state, err := r.options.Machine.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return json.Marshal(snapshotData{state, r.members, r.initial})
}

// restore takes over a snapshot's state.
func (r *Replica) restore(snapshot *pb.Snapshot) error {
	var data snapshotData
	if err := json.Unmarshal(snapshot.GetData(), &data); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := r.options.Machine.Restore(data.Machine); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	metadata := snapshot.GetMetadata()
	r.members, r.initial, r.voters = data.Members, data.Initial, metadata.GetConfState()
	r.applied, r.appliedTerm = metadata.GetIndex(), metadata.GetTerm()
	return nil
}

// compact puts a snapshot in place of the log once that is long, or its members have changed.
func (r *Replica) compact() {
	if r.node == nil || !r.changed && !r.compactionDue() {
		return
	}
	r.changed = false
	data, err := r.snapshot()
	if err != nil {
		r.stopVoting(err)
		return
	}
	if tooLong := len(data) > recordLimit-snapshotOverhead; tooLong {
		if !r.unsaved {
			r.log.Error("the snapshot is too long: the log is not shortened", "bytes", len(data))
		}
		r.unsaved = true
		return
	}
	r.unsaved = false
	if err := r.store.Compact(r.applied, r.voters, data); err != nil {
		r.stopVoting(err)
	}
}

func (r *Replica) compactionDue() bool {
	if !r.store.Due() {
		return false
	}
	first, err := r.store.FirstIndex()
	return err == nil && r.applied >= first-1+snapshotSpacing
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
