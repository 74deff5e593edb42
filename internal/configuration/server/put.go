package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"lemonrail/internal/configuration"
)

// put takes a change: here if this machine leads the group that writes its scope, or else at the leader.
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	accepted, err := s.takeChange(w, r)
	if err != nil {
		answerError(w, err)
		return
	}
	answer(w, accepted)
}

func (s *Server) takeChange(w http.ResponseWriter, r *http.Request) (configuration.Accepted, error) {
	var change configuration.Change
	if err := decodeBody(w, r, changeBytesMost, &change); err != nil {
		return configuration.Accepted{}, err
	}
	if err := s.checkGroup(change.Scope); err != nil {
		return configuration.Accepted{}, err
	}
	if change.At == "" {
		change.At = time.Now().UTC().Format(time.RFC3339)
	}
	if forwarded(r) {
		g, err := s.groupOf(change.Scope)
		if err != nil {
			return configuration.Accepted{}, err
		}
		return s.propose(r.Context(), g, change)
	}
	return route(r.Context(), s, call[configuration.Accepted]{
		group: change.Scope.Group(),
		here: func(ctx context.Context, g *group) (configuration.Accepted, error) {
			return s.propose(ctx, g, change)
		},
		there: func(ctx context.Context, address string) (configuration.Accepted, error) {
			return s.forwardChange(ctx, address, change)
		},
	})
}

// propose proposes a change to the group if this machine leads it. The change is checked first by what a majority has
// agreed on, as far as the leader has applied it; Apply decides.
func (s *Server) propose(ctx context.Context, g *group, change configuration.Change) (configuration.Accepted, error) {
	none := configuration.Accepted{}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptLimit) // a client that goes away withdraws nothing
	defer cancel()
	if err := g.replica.Read(ctx); err != nil {
		err = s.readError(g, err)
		g.logChange(change, none, err)
		return none, err
	}
	if err := g.check(change); err != nil {
		g.logChange(change, none, err)
		return none, err
	}
	command, err := configuration.EncodeChange(change)
	if err != nil {
		return none, failure(configuration.ErrorInvalid, "%v", err)
	}
	result, err := g.replica.Propose(ctx, command)
	if err != nil {
		err = s.leaderError(g, err)
		g.logChange(change, none, err)
		return none, err
	}
	accepted, err := configuration.DecodeResult(result)
	g.logChange(change, accepted, err)
	return accepted, err
}

// logChange writes a line for each change that this machine has agreed on, or refused.
func (g *group) logChange(change configuration.Change, accepted configuration.Accepted, err error) {
	if kindOf(err) == configuration.ErrorNotHere {
		return // the leader writes the line
	}
	attributes := []any{"scope", change.Scope.String(), "change", change.ID, "by", change.By, "why", change.Why, "base", change.Base}
	if err != nil {
		g.log.Warn("not changed", append(attributes, "err", err)...)
		return
	}
	g.log.Info("changed", append(attributes, "revision", accepted.Revision, "epoch", accepted.Epoch, "digest", accepted.Digest)...)
}

// forwardChange proposes a change at another machine. Whatever isn't an answer leaves it unknown whether it was written.
func (s *Server) forwardChange(ctx context.Context, address string, change configuration.Change) (configuration.Accepted, error) {
	var accepted configuration.Accepted
	raw, err := json.Marshal(change)
	if err != nil {
		return accepted, err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptLimit+probeLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+configuration.PutPath, bytes.NewReader(raw))
	if err != nil {
		return accepted, err
	}
	err = s.call(request, &accepted)
	if err != nil && kindOf(err) == "" {
		return accepted, failure(configuration.ErrorUnknown, "the machine at %s: %v; send the change again with the same id", address, err)
	}
	return accepted, err
}
