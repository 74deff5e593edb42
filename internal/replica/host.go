package replica

import (
	"encoding/json"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"lemonrail/internal/replica/transport"
	"lemonrail/internal/replica/voter"
)

// MaxSnapshotBytes is the maximum size of a state machine's snapshot in bytes. It is stored as base64 within JSON.
const MaxSnapshotBytes = (voter.MaxSnapshotBytes - maxMembershipBytes) / 4 * 3

const maxMembershipBytes = 16 << 10 // reserved for the encoded membership in a snapshot

// host implements voter.Host for a replica.
type host struct{ *Replica }

// Send queues a voter's message to a member. It returns false if the message is lost.
func (h host) Send(to string, kind voter.Kind, content []byte) bool {
	peer := h.peers[to]
	return peer != nil && peer.Send(firstVoterKind+transport.Kind(kind), content)
}

// Apply applies a committed command, and delivers its result if a caller of this member waits for it.
func (h host) Apply(e *pb.Entry) error {
	id, command, err := decodeEntry(e.GetData())
	if err != nil {
		return err
	}
	h.deliverResult(id, h.options.Machine.Apply(e.GetTerm(), command))
	return nil
}

// snapshotData is the content of a snapshot. The JSON keys are part of the stored format.
type snapshotData struct {
	Machine    []byte // StateMachine.Snapshot
	Membership voter.Membership
}

// Snapshot returns the state of the state machine and the membership as one snapshot.
func (h host) Snapshot(m voter.Membership) ([]byte, error) {
	state, err := h.options.Machine.Snapshot()
	if err != nil {
		return nil, err
	}
	return json.Marshal(snapshotData{state, m})
}

// Restore replaces the state of the state machine by that of a snapshot.
func (h host) Restore(snapshot []byte) (voter.Membership, error) {
	var data snapshotData
	if err := json.Unmarshal(snapshot, &data); err != nil {
		return voter.Membership{}, err
	}
	return data.Membership, h.options.Machine.Restore(data.Machine)
}

// LeadershipChanged ends all pending requests when leadership is lost.
func (h host) LeadershipChanged(leads bool) {
	if !leads {
		h.loseLeadership()
	}
}

// ReadIndexConfirmed continues the requests that waited for a read index.
func (h host) ReadIndexConfirmed(read raft.ReadState) { h.handleConfirmation(read) }
