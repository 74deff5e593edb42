package seat

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"lemonrail/internal/duty"
	"lemonrail/internal/replica/voter"
)

// host is a seat as its voter sees it.
type host struct{ *Seat }

// Send sends a message to another seat.
func (h host) Send(to string, kind voter.Kind, content []byte) bool {
	d := h.dialers[to]
	return d != nil && d.Send(frameOf[kind], content)
}

// Apply carries out a command that was agreed on.
func (h host) Apply(e *pb.Entry) error {
	c, err := duty.ParseCommand(e.GetData())
	if err != nil {
		return err
	}
	a := h.table.Apply(c)
	h.grantor.Applied(h.now(), &c, h.table)
	h.answer(&c, a)
	return nil
}

// kept is what a snapshot holds.
type kept struct {
	Table   json.RawMessage
	Seats   map[uint64]string
	Initial map[uint64]string
}

// Snapshot returns the table, and who sits.
func (h host) Snapshot(m voter.Membership) ([]byte, error) {
	raw, err := h.table.Snapshot()
	if err != nil {
		return nil, err
	}
	return json.Marshal(kept{raw, m.Members, m.Initial})
}

// Restore puts a snapshot in the table's place.
func (h host) Restore(snapshot []byte) (voter.Membership, error) {
	var k kept
	if err := json.Unmarshal(snapshot, &k); err != nil {
		return voter.Membership{}, fmt.Errorf("%w: %w", duty.ErrTable, err)
	}
	t, err := duty.Restore(k.Table)
	if err != nil {
		return voter.Membership{}, err
	}
	h.table = t
	return voter.Membership{Members: k.Seats, Initial: k.Initial}, nil
}

// LeadershipChanged has leases count from now on, or no more.
func (h host) LeadershipChanged(leads bool) {
	if leads {
		h.grantor.Lead(h.now(), h.table)
		return
	}
	h.grantor.Follow()
	clear(h.waiting) // who asked asks again
	h.owed = 0
}

// Confirmed has nothing to do: seats ask for no read index.
func (h host) Confirmed(raft.ReadState) {}
