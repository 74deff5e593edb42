package seat

import (
	"encoding/json"
	"fmt"

	"lemonrail/internal/duty"
	"lemonrail/internal/replica/transport"
	"lemonrail/internal/replica/voter"
)

const waitingMost = 4096 // commands whose answers are owed

// asked is a command on its way to a seat; answered what came of it, or where to ask.
type asked struct{ Command duty.Command }

type answered struct {
	Agent  string
	Answer duty.Answer
	Asked  bool   // it was the one that leads
	Leader string // seat; empty: not known
}

// shown is the table as a seat has it.
type shown struct {
	Seat   string
	Leader string
	Leads  bool
	Duties []duty.Duty
}

// receive takes a frame; it is called by the connections' goroutines.
func (s *Seat) receive(c *transport.Conn, frame transport.Kind, content []byte) {
	if kind, ok := kindOf(frame); ok {
		s.receiveVoter(c, kind, content)
		return
	}
	switch frame {
	case frameAsk:
		var a asked
		if err := json.Unmarshal(content, &a); err != nil {
			s.reject(c, err)
			return
		}
		s.post(func() { s.ask(c, a.Command) })
	case frameLook:
		s.post(func() { c.SendJSON(frameTable, s.show()) })
	}
}

// receiveVoter hands a message of another seat to the voter.
func (s *Seat) receiveVoter(c *transport.Conn, kind voter.Kind, content []byte) {
	m, err := voter.Decode(kind, content)
	if err != nil {
		s.reject(c, err)
		return
	}
	s.post(func() {
		s.voter.Guard(func() {
			if answer := s.voter.Receive(c.Peer(), m); answer != nil {
				c.SendJSON(frameCheckedIn, answer)
			}
		})
	})
}

func (s *Seat) reject(c *transport.Conn, err error) {
	s.invalid(fmt.Errorf("%w: %w", transport.ErrFrame, err))
	c.Close()
}

// ask takes a command of an agent.
func (s *Seat) ask(from *transport.Conn, c duty.Command) {
	reply := func(a duty.Answer, led bool) {
		from.SendJSON(frameAnswer, answered{c.Agent, a, led, s.voter.Leader()})
	}
	if !s.voter.Leads() || s.owed >= waitingMost {
		reply(duty.Answer{ID: c.ID, Duty: c.Duty}, false)
		return
	}
	if c.Kind == duty.Define || c.Kind == duty.Expire { // the seats' own
		return
	}
	if !s.propose(&c) {
		reply(duty.Answer{ID: c.ID, Duty: c.Duty}, false)
		return
	}
	if c.ID != 0 {
		k := key(c.Agent, c.Duty, c.ID)
		s.waiting[k] = append(s.waiting[k], func(a duty.Answer) { reply(a, true) })
		s.owed++
	}
}

func (s *Seat) propose(c *duty.Command) bool {
	raw, err := c.Bytes()
	return err == nil && s.voter.Propose(raw) == nil
}

func key(agent, name string, id uint64) string { return fmt.Sprintf("%s\x00%s\x00%d", agent, name, id) }

// answer tells those that asked what came of a command.
func (s *Seat) answer(c *duty.Command, a duty.Answer) {
	if c.ID == 0 {
		return
	}
	k := key(c.Agent, c.Duty, c.ID)
	for _, f := range s.waiting[k] {
		f(a)
		s.owed--
	}
	delete(s.waiting, k)
}

func (s *Seat) show() shown {
	return shown{Seat: s.o.Name, Leader: s.voter.Leader(), Leads: s.voter.Leads(), Duties: s.table.Duties()}
}
