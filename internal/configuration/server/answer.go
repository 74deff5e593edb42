package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"lemonrail/internal/configuration"
)

// statusCodes maps each kind of error to its HTTP status.
var statusCodes = map[configuration.ErrorKind]int{
	configuration.ErrorInvalid:  http.StatusUnprocessableEntity,
	configuration.ErrorConflict: http.StatusConflict,
	configuration.ErrorNoQuorum: http.StatusServiceUnavailable,
	configuration.ErrorUnknown:  http.StatusGatewayTimeout,
	configuration.ErrorNotHere:  http.StatusMisdirectedRequest,
	configuration.ErrorMissing:  http.StatusNotFound,
}

// newError returns an error of the given kind.
func newError(kind configuration.ErrorKind, format string, args ...any) *configuration.ErrorBody {
	return &configuration.ErrorBody{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// writeJSON answers with status 200 and the body as JSON.
func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body) // a write error means that the client has disconnected
}

// writeError answers with an *ErrorBody and the status of its kind. Any other error is reported as an invalid
// request.
func writeError(w http.ResponseWriter, err error) {
	var body *configuration.ErrorBody
	if !errors.As(err, &body) {
		body = newError(configuration.ErrorInvalid, "%v", err)
	}
	code, known := statusCodes[body.Kind]
	if !known {
		code = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(body)
}

// decodeBody decodes the JSON body of a request, which may have at most maxBytes, into the value that into
// points to.
func decodeBody(w http.ResponseWriter, r *http.Request, maxBytes int64, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes))
	if err := decoder.Decode(into); err != nil {
		return newError(configuration.ErrorInvalid, "body: %v", err)
	}
	return nil
}

// requestedScope parses the query's scope and checks that the group that writes it exists.
func (s *Server) requestedScope(r *http.Request) (configuration.Scope, error) {
	scope, err := configuration.ParseScope(r.URL.Query().Get("scope"))
	if err != nil {
		return scope, newError(configuration.ErrorInvalid, "%v", err)
	}
	return scope, s.checkGroup(scope)
}

// checkGroup rejects a scope of a region that has no control machine.
func (s *Server) checkGroup(scope configuration.Scope) error {
	if len(s.settings.voters(scope.Group())) == 0 {
		return newError(configuration.ErrorInvalid, "scope %s: no control machine stands in region %s", scope, scope.Region)
	}
	return nil
}

// groupOf returns this machine's member of the group that writes a scope. If this machine doesn't vote in the
// group, the error names the machines that do.
func (s *Server) groupOf(scope configuration.Scope) (*group, error) {
	if g := s.groups[scope.Group()]; g != nil {
		return g, nil
	}
	return nil, s.notHere(scope.Group(), "machine %s doesn't vote in %s", s.settings.Name, scope.Group())
}

// notHere returns an error of kind not-here with the addresses of the other machines that vote in the group.
// Such an error sends the caller to those machines.
func (s *Server) notHere(group, format string, args ...any) *configuration.ErrorBody {
	body := newError(configuration.ErrorNotHere, format, args...)
	for _, m := range s.settings.voters(group) {
		if m.Name != s.settings.Name {
			body.Machines = append(body.Machines, m.Address)
		}
	}
	return body
}
