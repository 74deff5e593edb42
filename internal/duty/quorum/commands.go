package quorum

import (
	"encoding/json"
	"fmt"

	"lemonrail/internal/duty"
	"lemonrail/internal/replica/transport"
	"lemonrail/internal/replica/voter"
)

const maxPendingReplies = 4096 // limit of the commands whose answers have not been sent yet

// commandRequest is an agent's command, sent to a voter.
type commandRequest struct{ Command duty.Command }

// commandReply is the result of a command or, if the voter that got it isn't the leader, the leader's name.
type commandReply struct {
	Agent  string // the agent that sent the command
	Answer duty.Answer
	Asked  bool   // the replying voter is the leader, and Answer is the command's result
	Leader string // name of the leader; empty: not known
}

// tableReply is the table as a voter knows it, which may lag behind the leader's.
type tableReply struct {
	Seat   string // name of the replying voter
	Leader string // name of the leader; empty: not known
	Leads  bool   // the replying voter is the leader
	Duties []duty.Duty
}

// receive handles a frame. It is called by the connections' goroutines.
func (s *Member) receive(c *transport.Conn, frame transport.Kind, content []byte) {
	if kind, ok := voterKindOf(frame); ok {
		s.receiveVoter(c, kind, content)
		return
	}
	switch frame {
	case frameCommand:
		var request commandRequest
		if err := json.Unmarshal(content, &request); err != nil {
			s.reject(c, err)
			return
		}
		s.post(func() { s.handleCommand(c, request.Command) })
	case frameTableRequest:
		s.post(func() { c.SendJSON(frameTableReply, s.currentTable()) })
	}
}

// receiveVoter passes a message of another voter to the voter.
func (s *Member) receiveVoter(c *transport.Conn, kind voter.Kind, content []byte) {
	m, err := voter.Decode(kind, content)
	if err != nil {
		s.reject(c, err)
		return
	}
	s.post(func() {
		s.voter.Guard(func() {
			if answer := s.voter.Receive(c.Peer(), m); answer != nil {
				c.SendJSON(frameCheckInReply, answer)
			}
		})
	})
}

// reject counts an invalid message, and closes the connection that it came from.
func (s *Member) reject(c *transport.Conn, err error) {
	s.countInvalid(fmt.Errorf("%w: %w", transport.ErrInvalidFrame, err))
	c.Close()
}

// handleCommand proposes a command that an agent sent, and answers the agent once the command has been
// applied. If this voter isn't the leader or has too many commands in hand, it answers at once that the
// command was not proposed.
func (s *Member) handleCommand(from *transport.Conn, c duty.Command) {
	reply := func(a duty.Answer, leads bool) {
		from.SendJSON(frameCommandReply, commandReply{c.Agent, a, leads, s.voter.Leader()})
	}
	if !s.voter.Leads() || s.pendingReplies >= maxPendingReplies {
		reply(duty.Answer{ID: c.ID, Duty: c.Duty}, false)
		return
	}
	if c.Kind == duty.Define || c.Kind == duty.Expire { // only the voters themselves send these
		return
	}
	if !s.propose(&c) {
		reply(duty.Answer{ID: c.ID, Duty: c.Duty}, false)
		return
	}
	if c.ID != 0 { // 0: the agent expects no answer
		k := waiterKey(c.Agent, c.Duty, c.ID)
		s.waiters[k] = append(s.waiters[k], func(a duty.Answer) { reply(a, true) })
		s.pendingReplies++
	}
}

// propose reports whether raft has taken a command for the log. It may still not be committed.
func (s *Member) propose(c *duty.Command) bool {
	raw, err := c.Bytes()
	return err == nil && s.voter.Propose(raw) == nil
}

// waiterKey returns the key in Member.waiters of an agent's command about a duty.
func waiterKey(agent, name string, id uint64) string {
	return fmt.Sprintf("%s\x00%s\x00%d", agent, name, id)
}

// replyToWaiters sends an applied command's result to the agents that sent it.
func (s *Member) replyToWaiters(c *duty.Command, a duty.Answer) {
	if c.ID == 0 {
		return
	}
	k := waiterKey(c.Agent, c.Duty, c.ID)
	for _, reply := range s.waiters[k] {
		reply(a)
		s.pendingReplies--
	}
	delete(s.waiters, k)
}

// currentTable returns the table as this voter knows it.
func (s *Member) currentTable() tableReply {
	return tableReply{Seat: s.options.Name, Leader: s.voter.Leader(), Leads: s.voter.Leads(), Duties: s.table.Duties()}
}
