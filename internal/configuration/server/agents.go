package server

import (
	"net/http"
	"strconv"

	"lemonrail/internal/configuration"
)

// report takes what an agent has in force.
func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	var report configuration.Report
	err := decodeBody(w, r, reportBytesMost, &report)
	if err == nil {
		err = report.Place.Check()
	}
	if err == nil {
		err = s.reported(report)
	}
	if err != nil {
		answerError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) reported(report configuration.Report) error {
	s.trackerLock.Lock()
	defer s.trackerLock.Unlock()
	for _, refusal := range report.Refused {
		s.log.Warn("an agent refuses a revision", "agent", report.Agent, "service", report.Service, "scope", refusal.Scope.String(),
			"revision", refusal.Revision, "why", refusal.Why)
	}
	return s.tracker.Reported(report, s.now())
}

func (s *Server) connected(place configuration.Place) error {
	s.trackerLock.Lock()
	defer s.trackerLock.Unlock()
	return s.tracker.Connected(place, s.now())
}

func (s *Server) disconnected(place configuration.Place) {
	s.trackerLock.Lock()
	defer s.trackerLock.Unlock()
	s.tracker.Disconnected(place, s.now())
}

// local is what this machine knows of agents. Right after its start it may be short of some, and is an error.
func (s *Server) local() ([]configuration.AgentStatus, error) {
	s.trackerLock.Lock()
	defer s.trackerLock.Unlock()
	now := s.now()
	if now < s.settings.settle() {
		return nil, failure(configuration.ErrorMissing, "machine %s has just started; its agents may not have found it yet", s.settings.Name)
	}
	return s.tracker.Local(now), nil
}

// localStatus answers what this machine knows of agents.
func (s *Server) localStatus(w http.ResponseWriter, r *http.Request) {
	all, err := s.local()
	if err != nil {
		answerError(w, err)
		return
	}
	answer(w, all)
}

// status answers whether a revision of a scope is in force everywhere: that of the query, or the latest.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	scope, err := s.scopeOf(r)
	if err != nil {
		answerError(w, err)
		return
	}
	at, err := s.positionOf(r, scope)
	if err != nil {
		answerError(w, err)
		return
	}
	all, unreachable := s.askAll(r.Context())
	answer(w, configuration.InForce(scope, at, all, unreachable))
}

// positionOf is the position that a query asks about: its revision, or the scope's latest.
func (s *Server) positionOf(r *http.Request, scope configuration.Scope) (configuration.Position, error) {
	text := r.URL.Query().Get("revision")
	if text == "" {
		latest, err := s.latest(r.Context(), scope, false)
		return latest.Position, err
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil || revision == 0 {
		return configuration.Position{}, failure(configuration.ErrorInvalid, "revision %q is no number from 1 on", text)
	}
	if g := s.groups[scope.Group()]; g != nil {
		if applied, ok := g.revision(scope); ok && applied.Revision == revision {
			return applied.Position, nil
		}
	}
	return configuration.Position{Revision: revision}, nil // an earlier one: its epoch isn't known any more
}
