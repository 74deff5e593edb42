package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"lemonrail/internal/configuration"
)

// handlePut handles a change: it proposes the change here if this machine leads the group that writes the scope,
// and otherwise has the group's leader propose it.
func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	accepted, err := s.acceptChange(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, accepted)
}

// acceptChange has the change in a request's body written, here or at the leader, and returns the new
// revision.
func (s *Server) acceptChange(w http.ResponseWriter, r *http.Request) (configuration.Accepted, error) {
	var change configuration.Change
	if err := decodeBody(w, r, maxChangeBytes, &change); err != nil {
		return configuration.Accepted{}, err
	}
	if err := s.checkGroup(change.Scope); err != nil {
		return configuration.Accepted{}, err
	}
	if change.At == "" {
		change.At = time.Now().UTC().Format(time.RFC3339)
	}
	if isForwarded(r) {
		g, err := s.groupOf(change.Scope)
		if err != nil {
			return configuration.Accepted{}, err
		}
		return s.propose(r.Context(), g, change)
	}
	return route(r.Context(), s, call[configuration.Accepted]{
		group: change.Scope.Group(),
		local: func(ctx context.Context, g *group) (configuration.Accepted, error) {
			return s.propose(ctx, g, change)
		},
		remote: func(ctx context.Context, address string) (configuration.Accepted, error) {
			return s.forwardChange(ctx, address, change)
		},
	})
}

// propose proposes a change to the group if this machine leads it. The change is first checked against the
// committed revisions that the leader has applied, so that most invalid changes don't reach the log; Apply
// makes the final decision.
func (s *Server) propose(ctx context.Context, g *group, change configuration.Change) (configuration.Accepted, error) {
	none := configuration.Accepted{}
	// A client that disconnects doesn't cancel its change.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposeTimeout)
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
		return none, newError(configuration.ErrorInvalid, "%v", err)
	}
	result, err := g.replica.Propose(ctx, command)
	if err != nil {
		err = s.replicaError(g, err)
		g.logChange(change, none, err)
		return none, err
	}
	accepted, err := configuration.DecodeResult(result)
	g.logChange(change, accepted, err)
	return accepted, err
}

// logChange logs a change that this machine has committed or refused as the group's leader.
func (g *group) logChange(change configuration.Change, accepted configuration.Accepted, err error) {
	if errorKind(err) == configuration.ErrorNotHere {
		return // the leader logs the change
	}
	attributes := []any{"scope", change.Scope.String(), "change", change.ID, "by", change.Author, "why", change.Reason, "base", change.Base}
	if err != nil {
		g.log.Warn("change failed", append(attributes, "err", err)...)
		return
	}
	g.log.Info("change committed", append(attributes, "revision", accepted.Revision, "epoch", accepted.Epoch, "digest", accepted.Digest)...)
}

// forwardChange has another machine propose a change. If that machine doesn't answer, the error is of kind
// unknown, since the change may have been written.
func (s *Server) forwardChange(ctx context.Context, address string, change configuration.Change) (configuration.Accepted, error) {
	var accepted configuration.Accepted
	raw, err := json.Marshal(change)
	if err != nil {
		return accepted, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout+probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+configuration.PutPath, bytes.NewReader(raw))
	if err != nil {
		return accepted, err
	}
	err = s.call(request, &accepted)
	if err != nil && errorKind(err) == "" {
		return accepted, newError(configuration.ErrorUnknown, "the machine at %s: %v; send the change again with the same id", address, err)
	}
	return accepted, err
}
