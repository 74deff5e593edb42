package server

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"lemonrail/internal/configuration"
)

// handleShow answers with the latest revision of a scope, confirmed by the leader of its group. With applied=true
// it answers with the latest revision that this machine has applied, which needs no majority.
func (s *Server) handleShow(w http.ResponseWriter, r *http.Request) {
	scope, err := s.requestedScope(r)
	if err != nil {
		writeError(w, err)
		return
	}
	var revision configuration.Revision
	if r.URL.Query().Get("applied") == "true" {
		revision, err = s.appliedRevision(scope)
	} else {
		revision, err = s.latest(r.Context(), scope, isForwarded(r))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, revision)
}

// latest returns a scope's latest revision, confirmed by the leader of its group.
func (s *Server) latest(ctx context.Context, scope configuration.Scope, forwarded bool) (configuration.Revision, error) {
	if forwarded {
		g, err := s.groupOf(scope)
		if err != nil {
			return configuration.Revision{}, err
		}
		return s.confirmedRevision(ctx, g, scope)
	}
	return route(ctx, s, call[configuration.Revision]{
		group: scope.Group(),
		local: func(ctx context.Context, g *group) (configuration.Revision, error) {
			return s.confirmedRevision(ctx, g, scope)
		},
		remote: func(ctx context.Context, address string) (configuration.Revision, error) {
			return s.remoteRevision(ctx, address, scope)
		},
	})
}

// confirmedRevision returns a scope's latest revision if this machine leads the scope's group and a majority
// confirms that it still does.
func (s *Server) confirmedRevision(ctx context.Context, g *group, scope configuration.Scope) (configuration.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := g.replica.Read(ctx); err != nil {
		return configuration.Revision{}, s.readError(g, err)
	}
	return g.revisionOrError(scope)
}

// readError converts a replica's error of a call that proposes nothing into an *ErrorBody. Nothing can have
// been written, so the kind is never unknown.
func (s *Server) readError(g *group, err error) error {
	body := errorBody(s.replicaError(g, err))
	if body.Kind == configuration.ErrorUnknown {
		body.Kind = configuration.ErrorNoQuorum
	}
	return body
}

// appliedRevision returns a scope's latest revision that this machine has applied.
func (s *Server) appliedRevision(scope configuration.Scope) (configuration.Revision, error) {
	g, err := s.groupOf(scope)
	if err != nil {
		return configuration.Revision{}, err
	}
	return g.revisionOrError(scope)
}

// revisionOrError returns a scope's latest applied revision, or an error if the scope has no document.
func (g *group) revisionOrError(scope configuration.Scope) (configuration.Revision, error) {
	revision, ok := g.revision(scope)
	if !ok {
		return revision, newError(configuration.ErrorMissing, "scope %s has no document", scope)
	}
	return revision, nil
}

// remoteRevision asks the leader for a scope's latest revision.
func (s *Server) remoteRevision(ctx context.Context, address string, scope configuration.Scope) (configuration.Revision, error) {
	var revision configuration.Revision
	ctx, cancel := context.WithTimeout(ctx, readTimeout+probeTimeout)
	defer cancel()
	path := configuration.ShowPath + "?" + url.Values{"scope": {scope.String()}}.Encode()
	err := s.get(ctx, address, path, &revision)
	if err != nil && errorKind(err) == "" {
		return revision, newError(configuration.ErrorNoQuorum, "%s: the machine at %s: %v", scope.Group(), address, err)
	}
	return revision, err
}

// showHistory answers with the revisions of a scope that this machine has recorded, the latest first.
func (s *Server) showHistory(w http.ResponseWriter, r *http.Request) {
	scope, err := s.requestedScope(r)
	if err != nil {
		writeError(w, err)
		return
	}
	if _, err := s.groupOf(scope); err != nil {
		writeError(w, err)
		return
	}
	revisions, err := s.history.list(scope)
	if err != nil {
		writeError(w, newError(configuration.ErrorMissing, "history of %s: %v", scope, err))
		return
	}
	writeJSON(w, revisions)
}

// handleMachine answers with this machine's status in each group that it votes in.
func (s *Server) handleMachine(w http.ResponseWriter, r *http.Request) {
	status := configuration.MachineStatus{Name: s.settings.Name, Region: s.settings.Region, Watches: len(s.watchSlots)}
	for _, g := range s.groups {
		status.Groups = append(status.Groups, g.status(r.Context()))
	}
	slices.SortFunc(status.Groups, func(a, b configuration.GroupStatus) int { return strings.Compare(a.Group, b.Group) })
	writeJSON(w, status)
}

// status returns this machine's status as a voter of the group, with the positions that it has applied.
func (g *group) status(ctx context.Context) configuration.GroupStatus {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	status := configuration.GroupStatus{Group: g.name, Scopes: g.positions()}
	member, err := g.replica.Status(ctx)
	if err != nil {
		status.Reason = err.Error()
		return status
	}
	status.Voting, status.Reason = member.Voting, member.Reason
	status.Leader, status.Term, status.Applied = member.Leader, member.Term, member.Applied
	return status
}
