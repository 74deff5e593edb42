package voter

import (
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"lemonrail/internal/duty"
)

// Kind is the type of a message between members.
type Kind uint8

// Kinds of messages.
const (
	KindRaft         Kind = iota // pb.Message
	KindCheckIn                  // identity: asks what the sender has promised under it
	KindCheckInReply             // duty.CheckInReply
	KindJoin                     // identity: asks to become a voter
)

const maxOrigins = 64 // bound of Voter.origins

// identity is the sender of a KindCheckIn or KindJoin message. The JSON keys are part of the protocol.
type identity struct {
	Name string `json:"Seat"`
	ID   uint64
}

// Message is a decoded message. Only the field that belongs to its kind is set.
type Message struct {
	kind     Kind
	raft     *pb.Message
	identity identity
	reply    duty.CheckInReply
}

// Decode decodes a message. It may be called from any goroutine.
func Decode(kind Kind, content []byte) (m Message, err error) {
	m.kind = kind
	switch kind {
	case KindRaft:
		m.raft = &pb.Message{}
		err = proto.Unmarshal(content, m.raft)
	case KindCheckIn, KindJoin:
		err = json.Unmarshal(content, &m.identity)
	case KindCheckInReply:
		err = json.Unmarshal(content, &m.reply)
	default:
		err = fmt.Errorf("message kind %d is unknown", kind)
	}
	return m, err
}

// Receive processes a message from a member. A non-nil answer is to be sent as KindCheckInReply over the same connection.
func (v *Voter) Receive(from string, m Message) (answer *duty.CheckInReply) {
	switch m.kind {
	case KindRaft:
		v.receiveRaft(from, m.raft)
	case KindCheckIn:
		reply := v.checkInReply(m.identity.ID)
		return &reply
	case KindCheckInReply:
		if m.reply.Seat == from && v.checkIn != nil && v.node == nil {
			v.checkIn.AddReply(m.reply)
		}
	case KindJoin:
		if m.identity.Name == from {
			v.joining[from] = m.identity.ID
		}
	}
	return nil
}

// broadcastIdentity sends this member's identity to all others as a message of the given kind, in the order
// of Options.Candidates.
func (v *Voter) broadcastIdentity(kind Kind) {
	raw, err := json.Marshal(identity{v.options.Name, v.store.ID()})
	if err != nil {
		v.log.Warn("this member's identity can't be encoded", "err", err)
		return
	}
	for _, name := range v.options.Candidates {
		if name != v.options.Name {
			v.host.Send(name, kind, raw)
		}
	}
}

// sendRaft sends a raft message, and reports to raft if that failed.
func (v *Voter) sendRaft(m *pb.Message) {
	raw, err := proto.Marshal(m)
	name := v.memberName(m.GetTo())
	sent := err == nil && name != "" && name != v.options.Name && v.host.Send(name, KindRaft, raw)
	if m.GetType() == pb.MsgSnap {
		status := raft.SnapshotFinish
		if !sent {
			status = raft.SnapshotFailure
		}
		v.node.ReportSnapshot(m.GetTo(), status)
	}
	if !sent {
		v.node.ReportUnreachable(m.GetTo())
	}
}

// receiveRaft passes a raft message from a member to raft. It drops those of an unexpected sender, to another identity, or
// of a type that members don't send to each other.
func (v *Voter) receiveRaft(from string, m *pb.Message) {
	if v.node == nil || m.GetTo() != v.store.ID() || !v.acceptsSender(from, m.GetFrom()) {
		return
	}
	if raft.IsLocalMsg(m.GetType()) || m.GetType() == pb.MsgProp || m.GetType() == pb.MsgReadIndex {
		return // proposals and read indexes are never forwarded between members
	}
	if len(v.origins) < maxOrigins {
		v.origins[m.GetFrom()] = from
	}
	v.recordPromise(m)
	if err := v.node.Step(m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) {
		v.log.Debug("raft message refused", "from", from, "err", err)
	}
}

// acceptsSender reports whether a member may send raft messages under an identity: it is that member's as
// committed or as asked for by KindJoin, or no membership is known yet.
func (v *Voter) acceptsSender(from string, id uint64) bool {
	if name := v.membership.Members[id]; name != "" {
		return name == from
	}
	return len(v.membership.Members) == 0 || v.joining[from] == id
}

// recordPromise remembers the log position and votes that a message's sender has promised to this member. A sender whose
// disk has lost them learns of them from the reply to its check-in.
func (v *Voter) recordPromise(m *pb.Message) {
	promise := v.promises[m.GetFrom()]
	kind, term := m.GetType(), m.GetTerm()
	if term > promise.Term && kind != pb.MsgPreVote && kind != pb.MsgPreVoteResp {
		promise.Term, promise.Index = term, 0
	}
	switch {
	case kind == pb.MsgAppResp && !m.GetReject() && term == promise.Term:
		promise.Index = max(promise.Index, m.GetIndex())
	case kind == pb.MsgApp && term == promise.Term: // a leader persists entries and counts itself before it sends them
		promise.Index = max(promise.Index, m.GetIndex()+uint64(len(m.GetEntries())))
	case kind == pb.MsgVoteResp && !m.GetReject():
		promise.Voted = max(promise.Voted, term)
	}
	v.promises[m.GetFrom()] = promise
}
