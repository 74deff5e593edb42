package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"lemonrail/internal/configuration"
	"lemonrail/internal/replica"
)

// forwardedHeader names the machine that forwarded a call. A call is forwarded once, so that none goes round.
const forwardedHeader = "Lemonrail-Forwarded-By"

func forwarded(r *http.Request) bool { return r.Header.Get(forwardedHeader) != "" }

// call is one that the leader of a group has to answer.
type call[T any] struct {
	group string
	here  func(ctx context.Context, g *group) (T, error)       // refuses with not-here if this machine doesn't lead
	there func(ctx context.Context, address string) (T, error) // at another machine
}

// route brings a call to the leader of its group, which it seeks for the time of a few elections: as long as every try
// says for sure that nothing was done.
func route[T any](ctx context.Context, s *Server, c call[T]) (T, error) {
	until := time.Now().Add(routeTicks * s.settings.tick())
	for {
		result, err := routeOnce(ctx, s, c)
		if !nothingDone(err) || time.Now().After(until) {
			return result, noLeader(c.group, err)
		}
		select {
		case <-time.After(s.settings.tick()):
		case <-ctx.Done():
			return result, noLeader(c.group, err)
		}
	}
}

// nothingDone reports whether an error says that the call has reached no leader with a majority.
func nothingDone(err error) bool {
	kind := kindOf(err)
	return kind == configuration.ErrorNoQuorum || kind == configuration.ErrorNotHere
}

// kindOf is an error's kind; empty: it has none.
func kindOf(err error) configuration.ErrorKind {
	if body := bodyOf(err); body != nil {
		return body.Kind
	}
	return ""
}

func bodyOf(err error) *configuration.ErrorBody {
	var body *configuration.ErrorBody
	if !errors.As(err, &body) {
		return nil
	}
	return body
}

// noLeader is what a client is told at the end of a search that didn't find the leader.
func noLeader(group string, err error) error {
	if kindOf(err) == configuration.ErrorNotHere {
		return failure(configuration.ErrorNoQuorum, "no leader of %s was found: %s; nothing was written", group, bodyOf(err).Message)
	}
	return err
}

// routeOnce tries once: here, and if another machine leads there. A machine that doesn't vote asks those that do.
func routeOnce[T any](ctx context.Context, s *Server, c call[T]) (T, error) {
	g := s.groups[c.group]
	if g == nil || !g.votes(ctx) {
		return askVoters(ctx, s, c)
	}
	result, err := c.here(ctx, g)
	body := bodyOf(err)
	if body == nil || body.Kind != configuration.ErrorNotHere || len(body.Machines) == 0 {
		return result, err
	}
	return forward(ctx, s, c, body.Machines[0])
}

// askVoters tries the voters of a call's group until one of them, or the leader that it names, answers.
func askVoters[T any](ctx context.Context, s *Server, c call[T]) (result T, err error) {
	var ask []string
	for _, m := range s.settings.voters(c.group) {
		ask = append(ask, m.Address)
	}
	asked := map[string]bool{s.own.Address: true}
	err = failure(configuration.ErrorNoQuorum, "%s: no other machine to ask; nothing was written", c.group)
	for len(ask) > 0 {
		address := ask[0]
		ask = ask[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		result, err = forward(ctx, s, c, address)
		if !nothingDone(err) {
			return result, err
		}
		ask = append(s.addressesOf(bodyOf(err).Leader), ask...)
	}
	return result, err
}

// addressesOf is the address at which this machine reaches one that another names.
func (s *Server) addressesOf(name string) []string {
	if m, ok := s.settings.machine(name); ok {
		return []string{m.Address}
	}
	return nil
}

// forward makes a call at another machine. One that doesn't answer at all is found before the call is made: that nothing
// was done is sure then.
func forward[T any](ctx context.Context, s *Server, c call[T], address string) (T, error) {
	if err := s.probe(ctx, address); err != nil {
		var none T
		return none, failure(configuration.ErrorNoQuorum, "%s: the machine at %s doesn't answer: %v; nothing was written", c.group, address, err)
	}
	return c.there(ctx, address)
}

// leaderError says what a call of the replica that failed comes to.
func (s *Server) leaderError(g *group, err error) error {
	var notLeader *replica.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return s.notLeader(g.name, notLeader.Leader)
	case errors.Is(err, replica.ErrTooLong):
		return failure(configuration.ErrorInvalid, "%v", err)
	case errors.Is(err, replica.ErrNoQuorum):
		return failure(configuration.ErrorNoQuorum, "%s has no majority that machine %s reaches; nothing was written", g.name, s.settings.Name)
	case errors.Is(err, replica.ErrBusy), errors.Is(err, replica.ErrStopped):
		return failure(configuration.ErrorNoQuorum, "%s at machine %s: %v; nothing was written", g.name, s.settings.Name, err)
	}
	return failure(configuration.ErrorUnknown, "%s at machine %s: %v; send the change again with the same id", g.name, s.settings.Name, err)
}

// notLeader refuses a call that the leader has to answer, and names it if it is known.
func (s *Server) notLeader(group, leader string) error {
	body := failure(configuration.ErrorNotHere, "machine %s doesn't lead %s and knows no leader", s.settings.Name, group)
	if m, ok := s.settings.machine(leader); ok {
		body.Message = fmt.Sprintf("machine %s doesn't lead %s, but %s does", s.settings.Name, group, leader)
		body.Leader = leader
		body.Machines = []string{m.Address}
	}
	return body
}
