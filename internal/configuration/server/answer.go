package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"lemonrail/internal/configuration"
)

// statusCodes go with the kinds of errors.
var statusCodes = map[configuration.ErrorKind]int{
	configuration.ErrorInvalid:  http.StatusUnprocessableEntity,
	configuration.ErrorConflict: http.StatusConflict,
	configuration.ErrorNoQuorum: http.StatusServiceUnavailable,
	configuration.ErrorUnknown:  http.StatusGatewayTimeout,
	configuration.ErrorNotHere:  http.StatusMisdirectedRequest,
	configuration.ErrorMissing:  http.StatusNotFound,
}

// failure makes an error of a kind.
func failure(kind configuration.ErrorKind, format string, args ...any) *configuration.ErrorBody {
	return &configuration.ErrorBody{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body) // a client that has gone needs no answer
}

// answerError answers an *ErrorBody with its status; any other error is the caller's mistake.
func answerError(w http.ResponseWriter, err error) {
	var body *configuration.ErrorBody
	if !errors.As(err, &body) {
		body = failure(configuration.ErrorInvalid, "%v", err)
	}
	code, known := statusCodes[body.Kind]
	if !known {
		code = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(body)
}

// decodeBody reads a JSON body within a bound.
func decodeBody(w http.ResponseWriter, r *http.Request, most int64, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, most))
	if err := decoder.Decode(into); err != nil {
		return failure(configuration.ErrorInvalid, "body: %v", err)
	}
	return nil
}

// scopeOf reads the query's scope, and whether the group that writes it exists.
func (s *Server) scopeOf(r *http.Request) (configuration.Scope, error) {
	scope, err := configuration.ParseScope(r.URL.Query().Get("scope"))
	if err != nil {
		return scope, failure(configuration.ErrorInvalid, "%v", err)
	}
	return scope, s.checkGroup(scope)
}

// checkGroup refuses a scope of a region that no machine stands in.
func (s *Server) checkGroup(scope configuration.Scope) error {
	if len(s.settings.voters(scope.Group())) == 0 {
		return failure(configuration.ErrorInvalid, "scope %s: no control machine stands in region %s", scope, scope.Region)
	}
	return nil
}

// groupOf is this machine's part in the group that writes a scope, or an error that names the machines that have one.
func (s *Server) groupOf(scope configuration.Scope) (*group, error) {
	if g := s.groups[scope.Group()]; g != nil {
		return g, nil
	}
	return nil, s.notHere(scope.Group(), "machine %s doesn't vote in %s", s.settings.Name, scope.Group())
}

// notHere refuses what is another machine's, and names those that vote in the group.
func (s *Server) notHere(group, format string, args ...any) *configuration.ErrorBody {
	body := failure(configuration.ErrorNotHere, format, args...)
	for _, m := range s.settings.voters(group) {
		if m.Name != s.settings.Name {
			body.Machines = append(body.Machines, m.Address)
		}
	}
	return body
}
