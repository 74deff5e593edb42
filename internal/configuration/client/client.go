// Package client makes the calls of operators at control machines: put, show, status, history. It asks one machine after
// another until one answers, and sends a change whose outcome is unknown again under the same identity.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lemonrail/internal/configuration"
)

const (
	dialLimit       = time.Second
	callLimit       = 10 * time.Second // of one call at one machine
	answerBytesMost = 16 << 20
	retryPause      = 100 * time.Millisecond // before all machines are asked once more
)

// Client asks control machines.
type Client struct {
	machines []string // HTTP addresses, HOST:PORT, in the order in which they are asked
	http     *http.Client
}

// New returns a client of the machines at these HTTP addresses (HOST:PORT).
func New(machines ...string) (*Client, error) {
	if len(machines) == 0 {
		return nil, errors.New("no control machine is named")
	}
	for _, address := range machines {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("control machine %q: %w", address, err)
		}
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialLimit}).DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     10 * time.Second,
	}
	return &Client{machines: machines, http: &http.Client{Transport: transport, Timeout: callLimit}}, nil
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// NewChangeID returns an identity that no other change has.
func NewChangeID() string { return rand.Text() }

// Put makes a change. Where the outcome of a try is unknown the change is sent again with the same identity, until a
// machine says what became of it or ctx ends; then the error is of kind unknown. Any other error says that nothing was
// written.
func (c *Client) Put(ctx context.Context, change configuration.Change) (configuration.Accepted, error) {
	var accepted configuration.Accepted
	if change.ID == "" {
		change.ID = NewChangeID()
	}
	raw, err := json.Marshal(change)
	if err != nil {
		return accepted, err
	}
	unsettled := false // a try may have been written, whatever the later ones say of themselves
	for {
		var refused error
		for _, address := range c.machines {
			err := c.do(ctx, http.MethodPost, address, configuration.PutPath, raw, &accepted)
			switch outcomeOf(err) {
			case outcomeKnown:
				return accepted, err
			case outcomeUnknown:
				unsettled = true
			case outcomeNothing:
				refused = preferred(refused, err)
			}
		}
		if !unsettled {
			return accepted, refused
		}
		if !pause(ctx) {
			return accepted, &configuration.ErrorBody{
				Kind:    configuration.ErrorUnknown,
				Message: fmt.Sprintf("change %s may have been written or may yet be", change.ID),
			}
		}
	}
}

// outcome is what became of one try of a change.
type outcome uint8

const (
	outcomeKnown   outcome = iota // written, or refused for good
	outcomeNothing                // nothing was written, by this try; another machine may write it
	outcomeUnknown
)

func outcomeOf(err error) outcome {
	var body *configuration.ErrorBody
	switch {
	case err == nil:
		return outcomeKnown
	case errors.As(err, &body):
		switch body.Kind {
		case configuration.ErrorUnknown:
			return outcomeUnknown
		case configuration.ErrorNoQuorum, configuration.ErrorNotHere:
			return outcomeNothing
		}
		return outcomeKnown
	case neverSent(err):
		return outcomeNothing
	}
	return outcomeUnknown
}

// neverSent reports whether a call failed before any of it was sent.
func neverSent(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// preferred is the error that says more: a machine's own over one of the network.
func preferred(earlier, later error) error {
	var body *configuration.ErrorBody
	if earlier == nil || errors.As(later, &body) && body.Kind == configuration.ErrorNoQuorum {
		return later
	}
	return earlier
}

// Show returns the latest revision of a scope, as a majority of its group has it.
func (c *Client) Show(ctx context.Context, scope configuration.Scope) (configuration.Revision, error) {
	var revision configuration.Revision
	err := c.ask(ctx, configuration.ShowPath, url.Values{"scope": {scope.String()}}, &revision)
	return revision, err
}

// ShowApplied returns the latest revision of a scope that a machine has applied, which may not be the latest of all. It
// needs no majority.
func (c *Client) ShowApplied(ctx context.Context, scope configuration.Scope) (configuration.Revision, error) {
	var revision configuration.Revision
	err := c.ask(ctx, configuration.ShowPath, url.Values{"scope": {scope.String()}, "applied": {"true"}}, &revision)
	return revision, err
}

// Status returns whether a revision of a scope is in force everywhere; 0 is the latest.
func (c *Client) Status(ctx context.Context, scope configuration.Scope, revision uint64) (configuration.Status, error) {
	var status configuration.Status
	query := url.Values{"scope": {scope.String()}}
	if revision > 0 {
		query.Set("revision", strconv.FormatUint(revision, 10))
	}
	err := c.ask(ctx, configuration.StatusPath, query, &status)
	return status, err
}

// Wait asks for the status until it is in force everywhere or ctx ends, and returns the last one. Machines that can't
// answer meanwhile are asked again.
func (c *Client) Wait(ctx context.Context, scope configuration.Scope, revision uint64) (configuration.Status, error) {
	var last configuration.Status
	var lastErr error = errors.New("not asked")
	for {
		status, err := c.Status(ctx, scope, revision)
		switch {
		case err == nil && status.Everywhere:
			return status, nil
		case err == nil:
			last, lastErr = status, nil
			revision = status.Revision // a later change doesn't move the goal
		case ctx.Err() == nil:
			if outcomeOf(err) == outcomeKnown {
				return last, err
			}
			lastErr = err
		}
		if !pause(ctx) {
			return last, lastErr
		}
	}
}

// History returns the revisions of a scope that a machine has recorded, the latest first.
func (c *Client) History(ctx context.Context, scope configuration.Scope) ([]configuration.Revision, error) {
	var revisions []configuration.Revision
	err := c.ask(ctx, configuration.HistoryPath, url.Values{"scope": {scope.String()}}, &revisions)
	return revisions, err
}

// Machine returns how the first machine that answers stands in its groups.
func (c *Client) Machine(ctx context.Context) (configuration.MachineStatus, error) {
	var status configuration.MachineStatus
	err := c.ask(ctx, configuration.MachinePath, nil, &status)
	return status, err
}

// ask asks one machine after another until one answers or refuses for good.
func (c *Client) ask(ctx context.Context, path string, query url.Values, into any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var refused error
	for _, address := range c.machines {
		err := c.do(ctx, http.MethodGet, address, path, nil, into)
		if outcomeOf(err) == outcomeKnown {
			return err
		}
		refused = preferred(refused, err)
	}
	return refused
}

// do makes a call at a machine and reads the answer; an *ErrorBody is returned as the error.
func (c *Client) do(ctx context.Context, method, address, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, answerBytesMost))
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		return json.Unmarshal(raw, into)
	}
	refusal := &configuration.ErrorBody{}
	if err := json.Unmarshal(raw, refusal); err != nil || refusal.Kind == "" {
		return fmt.Errorf("control machine %s: status %d", address, response.StatusCode)
	}
	return refusal
}

// pause waits before a next round; false: ctx has ended.
func pause(ctx context.Context) bool {
	select {
	case <-time.After(retryPause):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
