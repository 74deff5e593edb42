package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"lemonrail/internal/duty"
	"lemonrail/internal/replica/transport"
)

const (
	protocolMagic = "lemonrail replica 1"
	pingInterval  = 2 * time.Second
	silenceLimit  = 3 * pingInterval // a connection on which nothing comes is dialled anew
)

// Kinds of frames between members.
const (
	kindRaft         transport.Kind = 1 + iota // a message of raft
	kindCheckIn                                // identity: what was promised under it?
	kindCheckInReply                           // duty.CheckIn
	kindJoin                                   // identity: asks to be let in
	kindCount
)

// identity is what a member calls itself by in kindCheckIn and kindJoin.
type identity struct {
	Name string
	ID   uint64
}

func (r *Replica) protocol() transport.Protocol {
	admit := func(name string) bool { return name != r.options.Name && r.options.address(name) != "" }
	return transport.Protocol{Magic: protocolMagic, Group: r.options.Group, Name: r.options.Name, Kinds: kindCount, Ping: pingInterval, Silence: silenceLimit, Admit: admit}
}

// serve starts the goroutines of the connections; the channel is closed once they have ended.
func (r *Replica) serve(ctx context.Context) (finished chan struct{}) {
	var connections sync.WaitGroup
	connections.Go(func() { r.server.Run(ctx) })
	for _, peer := range r.peers {
		connections.Go(func() { peer.Run(ctx, rand.Float64) })
	}
	finished = make(chan struct{})
	go func() {
		connections.Wait()
		close(finished)
	}()
	return finished
}

// invalid takes note of a frame that can't be decoded.
func (r *Replica) invalid(err error) { r.log.Warn("a connection is closed", "err", err) }

// post hands f to the replica's goroutine; it waits while there is no room.
func (r *Replica) post(f func()) {
	select {
	case r.inbox <- f:
	case <-r.stopped:
	}
}

// receive takes a frame; it is called by the connections' goroutines.
func (r *Replica) receive(c *transport.Conn, kind transport.Kind, content []byte) {
	switch kind {
	case kindRaft:
		m := &pb.Message{}
		if err := proto.Unmarshal(content, m); err != nil {
			r.reject(c, err)
			return
		}
		r.post(func() { r.step(c.Peer(), m) })
	case kindCheckIn:
		var asking identity
		if r.decode(c, content, &asking) {
			r.post(func() { c.SendJSON(kindCheckInReply, r.checkInReply(asking.ID)) })
		}
	case kindCheckInReply:
		var reply duty.CheckIn
		if r.decode(c, content, &reply) && reply.Seat == c.Peer() {
			r.post(func() {
				if r.checkIn != nil && r.node == nil {
					r.checkIn.Heard(reply)
				}
			})
		}
	case kindJoin:
		var asking identity
		if r.decode(c, content, &asking) && asking.Name == c.Peer() {
			r.post(func() { r.joining[asking.Name] = asking.ID })
		}
	}
}

// decode reads JSON, or ends the connection.
func (r *Replica) decode(c *transport.Conn, content []byte, into any) bool {
	err := json.Unmarshal(content, into)
	if err != nil {
		r.reject(c, err)
	}
	return err == nil
}

func (r *Replica) reject(c *transport.Conn, err error) {
	r.invalid(fmt.Errorf("%w: %w", transport.ErrFrame, err))
	c.Close()
}

// sendToAll sends the other members who this one is, in the order of the options.
func (r *Replica) sendToAll(kind transport.Kind) {
	for _, member := range r.options.Members {
		if peer := r.peers[member.Name]; peer != nil {
			peer.SendJSON(kind, identity{r.options.Name, r.store.ID()})
		}
	}
}

// send carries a message of raft.
func (r *Replica) send(m *pb.Message) {
	raw, err := proto.Marshal(m)
	peer := r.peers[r.nameOf(m.GetTo())]
	sent := err == nil && peer != nil && peer.Send(kindRaft, raw)
	if m.GetType() == pb.MsgSnap {
		status := raft.SnapshotFinish
		if !sent {
			status = raft.SnapshotFailure
		}
		r.node.ReportSnapshot(m.GetTo(), status)
	}
	if !sent {
		r.node.ReportUnreachable(m.GetTo())
	}
}

// step takes a message of raft from a member.
func (r *Replica) step(from string, m *pb.Message) {
	if r.node == nil || m.GetTo() != r.store.ID() || !r.expects(from, m.GetFrom()) {
		return
	}
	if raft.IsLocalMsg(m.GetType()) || m.GetType() == pb.MsgProp || m.GetType() == pb.MsgReadIndex {
		return // never sent by a member
	}
	if len(r.origins) < 4*memberLimit {
		r.origins[m.GetFrom()] = from
	}
	r.notePromise(m)
	if err := r.node.Step(m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) {
		r.log.Debug("raft message refused", "from", from, "err", err)
	}
}

// expects reports whether an identity's messages may come from a member.
func (r *Replica) expects(from string, id uint64) bool {
	name, known := r.members[id]
	if known {
		return name == from
	}
	return len(r.members) == 0 || r.joining[from] == id
}

// notePromise remembers what the sender of a message lets this member have of its log and votes, to tell it should its disk forget.
func (r *Replica) notePromise(m *pb.Message) {
	promise := r.promised[m.GetFrom()]
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
	r.promised[m.GetFrom()] = promise
}
