package replica

import (
	"encoding/json"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"lemonrail/internal/replica/transport"
	"lemonrail/internal/replica/voter"
)

// SnapshotLimit bounds a state machine's snapshot, which is kept as base64 within JSON.
const SnapshotLimit = (voter.SnapshotLimit - membershipBytes) / 4 * 3

const membershipBytes = 16 << 10 // that the members take in a snapshot, at most

// host is a replica as its voter sees it.
type host struct{ *Replica }

// Send sends a message to a member.
func (h host) Send(to string, kind voter.Kind, content []byte) bool {
	peer := h.peers[to]
	return peer != nil && peer.Send(firstKind+transport.Kind(kind), content)
}

// Apply carries out a command that was agreed on.
func (h host) Apply(e *pb.Entry) error {
	id, command, err := decodeEntry(e.GetData())
	if err != nil {
		return err
	}
	h.answer(id, h.options.Machine.Apply(e.GetTerm(), command))
	return nil
}

// snapshotData is what a snapshot holds.
type snapshotData struct {
	Machine    []byte
	Membership voter.Membership
}

// Snapshot returns the machine's state.
func (h host) Snapshot(m voter.Membership) ([]byte, error) {
	state, err := h.options.Machine.Snapshot()
	if err != nil {
		return nil, err
	}
	return json.Marshal(snapshotData{state, m})
}

// Restore puts a snapshot in place of the machine's state.
func (h host) Restore(snapshot []byte) (voter.Membership, error) {
	var data snapshotData
	if err := json.Unmarshal(snapshot, &data); err != nil {
		return voter.Membership{}, err
	}
	return data.Membership, h.options.Machine.Restore(data.Machine)
}

// LeadershipChanged ends what was under way when leadership is lost.
func (h host) LeadershipChanged(leads bool) {
	if !leads {
		h.loseLeadership()
	}
}

// Confirmed goes on with the requests of a read index.
func (h host) Confirmed(read raft.ReadState) { h.confirmed(read) }
