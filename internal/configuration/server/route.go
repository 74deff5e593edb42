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

// forwardedHeader names the machine that forwarded a call. A call is forwarded at most once, which prevents
// loops.
const forwardedHeader = "Lemonrail-Forwarded-By"

// isForwarded reports whether another control machine has forwarded a request.
func isForwarded(r *http.Request) bool { return r.Header.Get(forwardedHeader) != "" }

// call is a request that the leader of a group has to answer; T is the type of the answer.
type call[T any] struct {
	group  string                                               // name of the group
	local  func(ctx context.Context, g *group) (T, error)       // answers here; the error is of kind not-here if this machine isn't the leader
	remote func(ctx context.Context, address string) (T, error) // asks the machine at an HTTP address
}

// route has a call answered by the leader of its group. It tries again for routeTimeoutTicks ticks, the time
// of a few elections, as long as every attempt reports that certainly nothing was written.
func route[T any](ctx context.Context, s *Server, c call[T]) (T, error) {
	until := time.Now().Add(routeTimeoutTicks * s.settings.tick())
	for {
		result, err := routeOnce(ctx, s, c)
		if !nothingWritten(err) || time.Now().After(until) {
			return result, noLeaderError(c.group, err)
		}
		select {
		case <-time.After(s.settings.tick()):
		case <-ctx.Done():
			return result, noLeaderError(c.group, err)
		}
	}
}

// nothingWritten reports whether an error says that certainly nothing was written, because the call reached
// no leader with a majority.
func nothingWritten(err error) bool {
	kind := errorKind(err)
	return kind == configuration.ErrorNoQuorum || kind == configuration.ErrorNotHere
}

// errorKind returns the kind of an error, or "" if the error has none.
func errorKind(err error) configuration.ErrorKind {
	if body := errorBody(err); body != nil {
		return body.Kind
	}
	return ""
}

// errorBody returns the *ErrorBody that an error wraps, or nil.
func errorBody(err error) *configuration.ErrorBody {
	var body *configuration.ErrorBody
	if !errors.As(err, &body) {
		return nil
	}
	return body
}

// noLeaderError converts an error of kind not-here, with which a call ended because no leader was found in
// time, into one of kind no-quorum. Other errors stay as they are.
func noLeaderError(group string, err error) error {
	if errorKind(err) == configuration.ErrorNotHere {
		return newError(configuration.ErrorNoQuorum, "no leader of %s was found: %s; nothing was written", group, errorBody(err).Message)
	}
	return err
}

// routeOnce tries a call once: at this machine or, if it knows that another one leads the group, at that one.
// A machine that doesn't vote in the group asks the voters one after another.
func routeOnce[T any](ctx context.Context, s *Server, c call[T]) (T, error) {
	g := s.groups[c.group]
	if g == nil || !g.votes(ctx) {
		return askVoters(ctx, s, c)
	}
	result, err := c.local(ctx, g)
	body := errorBody(err)
	if body == nil || body.Kind != configuration.ErrorNotHere || len(body.Machines) == 0 {
		return result, err
	}
	return forward(ctx, s, c, body.Machines[0])
}

// askVoters tries the voters of a call's group, and the leaders that they name, until one of them answers.
func askVoters[T any](ctx context.Context, s *Server, c call[T]) (result T, err error) {
	var pending []string
	for _, m := range s.settings.voters(c.group) {
		pending = append(pending, m.Address)
	}
	tried := map[string]bool{s.ownMachine.Address: true}
	err = newError(configuration.ErrorNoQuorum, "%s: no other machine to ask; nothing was written", c.group)
	for len(pending) > 0 {
		address := pending[0]
		pending = pending[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		result, err = forward(ctx, s, c, address)
		if !nothingWritten(err) {
			return result, err
		}
		pending = append(s.machineAddresses(errorBody(err).Leader), pending...)
	}
	return result, err
}

// machineAddresses returns the HTTP address of the named machine, or nothing if no machine has that name.
func (s *Server) machineAddresses(name string) []string {
	if m, ok := s.settings.machine(name); ok {
		return []string{m.Address}
	}
	return nil
}

// forward sends a call to another machine. It probes the machine first: if the machine doesn't answer, it is
// certain that nothing was written.
func forward[T any](ctx context.Context, s *Server, c call[T], address string) (T, error) {
	if err := s.probe(ctx, address); err != nil {
		var none T
		return none, newError(configuration.ErrorNoQuorum, "%s: the machine at %s doesn't answer: %v; nothing was written", c.group, address, err)
	}
	return c.remote(ctx, address)
}

// replicaError converts an error of the replica into an *ErrorBody.
func (s *Server) replicaError(g *group, err error) error {
	var notLeader *replica.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return s.notLeaderError(g.name, notLeader.Leader)
	case errors.Is(err, replica.ErrCommandTooLong):
		return newError(configuration.ErrorInvalid, "%v", err)
	case errors.Is(err, replica.ErrNoQuorum):
		return newError(configuration.ErrorNoQuorum, "%s has no majority that machine %s reaches; nothing was written", g.name, s.settings.Name)
	case errors.Is(err, replica.ErrBusy), errors.Is(err, replica.ErrStopped):
		return newError(configuration.ErrorNoQuorum, "%s at machine %s: %v; nothing was written", g.name, s.settings.Name, err)
	}
	return newError(configuration.ErrorUnknown, "%s at machine %s: %v; send the change again with the same id", g.name, s.settings.Name, err)
}

// notLeaderError returns a not-here error with the leader's name and address, if known.
func (s *Server) notLeaderError(group, leader string) error {
	body := newError(configuration.ErrorNotHere, "machine %s doesn't lead %s and knows no leader", s.settings.Name, group)
	if m, ok := s.settings.machine(leader); ok {
		body.Message = fmt.Sprintf("machine %s doesn't lead %s, but %s does", s.settings.Name, group, leader)
		body.Leader = leader
		body.Machines = []string{m.Address}
	}
	return body
}
