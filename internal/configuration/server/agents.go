package server

import (
	"net/http"
	"strconv"

	"lemonrail/internal/configuration"
)

// handleReport handles an agent's report of the revisions that it has in force.
func (s *Server) handleReport(w http.ResponseWriter, r *http.Request) {
	var report configuration.Report
	err := decodeBody(w, r, maxReportBytes, &report)
	if err == nil {
		err = report.Place.Check()
	}
	if err == nil {
		err = s.recordReport(report)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// recordReport passes an agent's report to the tracker and logs the agent's refusals.
func (s *Server) recordReport(report configuration.Report) error {
	s.trackerMu.Lock()
	defer s.trackerMu.Unlock()
	for _, refusal := range report.Refused {
		s.log.Warn("agent refused a revision", "agent", report.Agent, "service", report.Service, "scope", refusal.Scope.String(),
			"revision", refusal.Revision, "why", refusal.Reason)
	}
	return s.tracker.Reported(report, s.now())
}

// trackConnected records that an agent has opened a watch at this machine.
func (s *Server) trackConnected(place configuration.Place) error {
	s.trackerMu.Lock()
	defer s.trackerMu.Unlock()
	return s.tracker.Connected(place, s.now())
}

// trackDisconnected records that a watch of an agent has ended.
func (s *Server) trackDisconnected(place configuration.Place) {
	s.trackerMu.Lock()
	defer s.trackerMu.Unlock()
	s.tracker.Disconnected(place, s.now())
}

// localAgents returns the statuses of the agents known to this machine. During the settle time (settle_s in
// the settings) after the machine's start it returns an error, because some agents may not have connected
// yet.
func (s *Server) localAgents() ([]configuration.AgentStatus, error) {
	s.trackerMu.Lock()
	defer s.trackerMu.Unlock()
	now := s.now()
	if now < s.settings.settle() {
		return nil, newError(configuration.ErrorMissing, "machine %s has just started; its agents may not have found it yet", s.settings.Name)
	}
	return s.tracker.Statuses(now), nil
}

// localStatus answers with the statuses of the agents known to this machine alone.
func (s *Server) localStatus(w http.ResponseWriter, r *http.Request) {
	all, err := s.localAgents()
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, all)
}

// handleStatus answers whether a revision of a scope is in force at every agent that the scope applies to: the
// revision in the query, or the latest one.
func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	scope, err := s.requestedScope(r)
	if err != nil {
		writeError(w, err)
		return
	}
	at, err := s.requestedPosition(r, scope)
	if err != nil {
		writeError(w, err)
		return
	}
	all, unreachable := s.collectAgents(r.Context())
	writeJSON(w, configuration.InForce(scope, at, all, unreachable))
}

// requestedPosition returns the position of the revision in the query, or of the scope's latest revision if
// the query names no revision.
func (s *Server) requestedPosition(r *http.Request, scope configuration.Scope) (configuration.Position, error) {
	text := r.URL.Query().Get("revision")
	if text == "" {
		latest, err := s.latest(r.Context(), scope, false)
		return latest.Position, err
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil || revision == 0 {
		return configuration.Position{}, newError(configuration.ErrorInvalid, "revision %q is no number from 1 on", text)
	}
	if g := s.groups[scope.Group()]; g != nil {
		if applied, ok := g.revision(scope); ok && applied.Revision == revision {
			return applied.Position, nil
		}
	}
	return configuration.Position{Revision: revision}, nil // an earlier revision, whose epoch is no longer known
}
