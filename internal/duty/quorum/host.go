package quorum

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"lemonrail/internal/duty"
	"lemonrail/internal/replica/voter"
)

// host implements voter.Host for a Member.
type host struct{ *Member }

// Send queues a voter's message to another voter. It returns false if the message is lost.
func (h host) Send(to string, kind voter.Kind, content []byte) bool {
	d := h.dialers[to]
	return d != nil && d.Send(frameOfVoterKind[kind], content)
}

// Apply applies a committed command.
func (h host) Apply(e *pb.Entry) error {
	c, err := duty.ParseCommand(e.GetData())
	if err != nil {
		return err
	}
	a := h.table.Apply(c)
	h.grantor.Applied(h.now(), &c, h.table)
	h.replyToWaiters(&c, a)
	return nil
}

// snapshotData is the content of a snapshot. The JSON keys are part of the stored format.
type snapshotData struct {
	Table   json.RawMessage   // duty.Table.Snapshot
	Seats   map[uint64]string // names of the quorum's members, by identity
	Initial map[uint64]string // names of the initial quorum's members, by identity
}

// Snapshot encodes the table and the members of the quorum.
func (h host) Snapshot(m voter.Membership) ([]byte, error) {
	raw, err := h.table.Snapshot()
	if err != nil {
		return nil, err
	}
	return json.Marshal(snapshotData{raw, m.Members, m.Initial})
}

// Restore replaces the table by that of a snapshot, and returns the members of the quorum.
func (h host) Restore(snapshot []byte) (voter.Membership, error) {
	var k snapshotData
	if err := json.Unmarshal(snapshot, &k); err != nil {
		return voter.Membership{}, fmt.Errorf("%w: %w", duty.ErrInvalidTable, err)
	}
	t, err := duty.Restore(k.Table)
	if err != nil {
		return voter.Membership{}, err
	}
	h.table = t
	return voter.Membership{Members: k.Seats, Initial: k.Initial}, nil
}

// LeadershipChanged starts or stops the grantor's lease tracking.
func (h host) LeadershipChanged(leads bool) {
	if leads {
		h.grantor.StartLeading(h.now(), h.table)
		return
	}
	h.grantor.StopLeading()
	clear(h.waiters) // agents retry commands that get no answer
	h.pendingReplies = 0
}

// ReadIndexConfirmed does nothing: no read index is requested.
func (h host) ReadIndexConfirmed(raft.ReadState) {}
