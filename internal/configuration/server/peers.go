package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"lemonrail/internal/configuration"
)

// newPeerClient returns the HTTP client for calls to other control machines.
func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: probeTimeout}).DialContext,
		MaxIdleConnsPerHost: 2,
		MaxConnsPerHost:     32,
		IdleConnTimeout:     idleTimeout / 2,
	}}
}

// probe checks within probeTimeout that the machine at an address answers.
func (s *Server) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.get(ctx, address, UpPath, nil)
}

// get sends a GET request to another machine and decodes the response into the value that into points to, if
// it isn't nil.
func (s *Server) get(ctx context.Context, address, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	return s.call(request, into)
}

// call sends a request to another machine and decodes the response. An *ErrorBody in the response is returned
// as the error.
func (s *Server) call(request *http.Request, into any) error {
	request.Header.Set(forwardedHeader, s.settings.Name)
	response, err := s.peers.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxPeerResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, raw)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(raw, into)
}

// responseError returns the *ErrorBody of a response whose status isn't 200.
func responseError(status int, raw []byte) error {
	body := &configuration.ErrorBody{}
	if err := json.Unmarshal(raw, body); err != nil || body.Kind == "" {
		return fmt.Errorf("status %d", status)
	}
	return body
}

// collectAgents asks all machines concurrently for the statuses of the agents that each of them knows.
// unreachable names the machines that didn't answer within localStatusTimeout.
func (s *Server) collectAgents(ctx context.Context) (all [][]configuration.AgentStatus, unreachable []string) {
	ctx, cancel := context.WithTimeout(ctx, localStatusTimeout)
	defer cancel()
	results := make([][]configuration.AgentStatus, len(s.settings.Machines))
	errs := make([]error, len(s.settings.Machines))
	var requests sync.WaitGroup
	for i, m := range s.settings.Machines {
		if m.Name == s.settings.Name {
			results[i], errs[i] = s.localAgents()
			continue
		}
		requests.Go(func() { errs[i] = s.get(ctx, m.Address, configuration.LocalStatusPath, &results[i]) })
	}
	requests.Wait()
	for i, m := range s.settings.Machines {
		if errs[i] != nil {
			unreachable = append(unreachable, m.Name)
			continue
		}
		all = append(all, results[i])
	}
	return all, unreachable
}

// now returns the time since the process started, which is the clock of the tracker and the pacers.
func (s *Server) now() time.Duration { return time.Since(s.started) }
