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

// newPeerClient is for calls of one control machine to another.
func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: probeLimit}).DialContext,
		MaxIdleConnsPerHost: 2,
		MaxConnsPerHost:     32,
		IdleConnTimeout:     idleLimit / 2,
	}}
}

// probe finds whether a machine answers.
func (s *Server) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	return s.get(ctx, address, UpPath, nil)
}

// get asks another machine; into may be nil.
func (s *Server) get(ctx context.Context, address, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	return s.call(request, into)
}

// call makes a request at another machine and reads the answer; an *ErrorBody is returned as the error.
func (s *Server) call(request *http.Request, into any) error {
	request.Header.Set(forwardedHeader, s.settings.Name)
	response, err := s.peers.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, peerBytesMost))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return refusalOf(response.StatusCode, raw)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(raw, into)
}

// refusalOf is the *ErrorBody of an answer that is no yes.
func refusalOf(status int, raw []byte) error {
	body := &configuration.ErrorBody{}
	if err := json.Unmarshal(raw, body); err != nil || body.Kind == "" {
		return fmt.Errorf("status %d", status)
	}
	return body
}

// askAll asks every machine for the status of the agents that it knows, at once; unreachable names those that didn't
// answer in time.
func (s *Server) askAll(ctx context.Context) (all [][]configuration.AgentStatus, unreachable []string) {
	ctx, cancel := context.WithTimeout(ctx, localStatusLimit)
	defer cancel()
	answers := make([][]configuration.AgentStatus, len(s.settings.Machines))
	errs := make([]error, len(s.settings.Machines))
	var asking sync.WaitGroup
	for i, m := range s.settings.Machines {
		if m.Name == s.settings.Name {
			answers[i], errs[i] = s.local()
			continue
		}
		asking.Go(func() { errs[i] = s.get(ctx, m.Address, configuration.LocalStatusPath, &answers[i]) })
	}
	asking.Wait()
	for i, m := range s.settings.Machines {
		if errs[i] != nil {
			unreachable = append(unreachable, m.Name)
			continue
		}
		all = append(all, answers[i])
	}
	return all, unreachable
}

// now is the time on the clock of the tracker and the pacers.
func (s *Server) now() time.Duration { return time.Since(s.started) }
