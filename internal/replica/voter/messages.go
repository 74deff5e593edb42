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

// Kind says what a message between members is.
type Kind uint8

// Kinds of messages.
const (
	KindRaft         Kind = iota // of raft
	KindCheckIn                  // identity: what was promised under it?
	KindCheckInReply             // duty.CheckIn
	KindJoin                     // identity: asks to be let in
)

const originLimit = 64 // identities whose origin is remembered

// identity is what a member calls itself by in KindCheckIn and KindJoin. The keys are part of the protocol.
type identity struct {
	Name string `json:"Seat"`
	ID   uint64
}

// Message is one that was decoded.
type Message struct {
	kind     Kind
	raft     *pb.Message
	identity identity
	reply    duty.CheckIn
}

// Decode reads a message. It may be called from any goroutine.
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
		err = fmt.Errorf("message of kind %d", kind)
	}
	return m, err
}

// Receive takes a message from a member. It returns an answer for the connection from which it came, of KindCheckInReply; nil: none.
func (v *Voter) Receive(from string, m Message) (answer *duty.CheckIn) {
	switch m.kind {
	case KindRaft:
		v.step(from, m.raft)
	case KindCheckIn:
		reply := v.checkInReply(m.identity.ID)
		return &reply
	case KindCheckInReply:
		if m.reply.Seat == from && v.checkIn != nil && v.node == nil {
			v.checkIn.Heard(m.reply)
		}
	case KindJoin:
		if m.identity.Name == from {
			v.joining[from] = m.identity.ID
		}
	}
	return nil
}

// sendToAll sends the other members who this one is, in the order of the options.
func (v *Voter) sendToAll(kind Kind) {
	raw, err := json.Marshal(identity{v.options.Name, v.store.ID()})
	if err != nil {
		v.log.Warn("a message can't be encoded", "err", err)
		return
	}
	for _, name := range v.options.Candidates {
		if name != v.options.Name {
			v.host.Send(name, kind, raw)
		}
	}
}

// send carries a message of raft.
func (v *Voter) send(m *pb.Message) {
	raw, err := proto.Marshal(m)
	name := v.nameOf(m.GetTo())
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

// step takes a message of raft from a member.
func (v *Voter) step(from string, m *pb.Message) {
	if v.node == nil || m.GetTo() != v.store.ID() || !v.expects(from, m.GetFrom()) {
		return
	}
	if raft.IsLocalMsg(m.GetType()) || m.GetType() == pb.MsgProp || m.GetType() == pb.MsgReadIndex {
		return // never sent by a member
	}
	if len(v.origins) < originLimit {
		v.origins[m.GetFrom()] = from
	}
	v.notePromise(m)
	if err := v.node.Step(m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) {
		v.log.Debug("raft message refused", "from", from, "err", err)
	}
}

// expects reports whether an identity's messages may come from a member.
func (v *Voter) expects(from string, id uint64) bool {
	if name := v.membership.Members[id]; name != "" {
		return name == from
	}
	return len(v.membership.Members) == 0 || v.joining[from] == id
}

// notePromise remembers what the sender of a message lets this member have of its log and votes, to tell it should its disk forget.
func (v *Voter) notePromise(m *pb.Message) {
	promise := v.promised[m.GetFrom()]
	kind, term := m.GetType(), m.GetTerm()
	if term > promise.Term && kind != pb.MsgPreVote && kind != pb.MsgPreVoteResp {
		promise.Term, promise.Index = term, 0
	}
	switch {
	case kind == pb.MsgAppResp && !m.GetReject() && term == promise.Term:
		promise.Index = max(promise.Index, m.GetIndex())
	case kind == pb.MsgApp && term == promise.Term: // a leader keeps an entry before it sends it, and counts itself
		promise.Index = max(promise.Index, m.GetIndex()+uint64(len(m.GetEntries())))
	case kind == pb.MsgVoteResp && !m.GetReject():
		promise.Voted = max(promise.Voted, term)
	}
	v.promised[m.GetFrom()] = promise
}
