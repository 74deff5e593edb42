// Package client is the operators' client for control machines: put, show, status and history. It tries one
// machine after another until one answers, and sends a change whose outcome is unknown again with the same
// ID.
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
	dialTimeout      = time.Second            // to connect to a machine
	callTimeout      = 10 * time.Second       // for one request to one machine
	maxResponseBytes = 16 << 20               // longest response that is read
	retryDelay       = 100 * time.Millisecond // wait before all machines are tried once more
)

// Client makes calls to control machines.
type Client struct {
	machines []string // HTTP addresses, HOST:PORT, in the order in which they are tried
	http     *http.Client
}

// New returns a client for the machines at the given HTTP addresses (HOST:PORT).
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
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     10 * time.Second,
	}
	return &Client{machines: machines, http: &http.Client{Transport: transport, Timeout: callTimeout}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// NewChangeID returns a unique ID for a change.
func NewChangeID() string { return rand.Text() }

// Put makes a change. After an attempt of unknown outcome the change is sent again with the same ID, until a
// machine reports the outcome or ctx ends; in the latter case the error is of kind unknown. Any other error
// means that nothing was written.
func (c *Client) Put(ctx context.Context, change configuration.Change) (configuration.Accepted, error) {
	var accepted configuration.Accepted
	if change.ID == "" {
		change.ID = NewChangeID()
	}
	raw, err := json.Marshal(change)
	if err != nil {
		return accepted, err
	}
	maybeWritten := false // an attempt may have written the change, whatever later attempts report
	for {
		var reason error
		for _, address := range c.machines {
			err := c.do(ctx, http.MethodPost, address, configuration.PutPath, raw, &accepted)
			switch outcomeOf(err) {
			case outcomeFinal:
				return accepted, err
			case outcomeUnknown:
				maybeWritten = true
			case outcomeNotWritten:
				reason = moreSpecific(reason, err)
			}
		}
		if !maybeWritten {
			return accepted, reason
		}
		if !waitRetry(ctx) {
			return accepted, &configuration.ErrorBody{
				Kind:    configuration.ErrorUnknown,
				Message: fmt.Sprintf("change %s may have been written or may yet be", change.ID),
			}
		}
	}
}

// outcome says what is known after one attempt to make a change.
type outcome uint8

const (
	outcomeFinal      outcome = iota // written, or refused for good
	outcomeNotWritten                // this attempt wrote nothing; another machine may write the change
	outcomeUnknown                   // the change may or may not have been written
)

// outcomeOf returns the outcome of an attempt that ended with err; nil: the change was written.
func outcomeOf(err error) outcome {
	var body *configuration.ErrorBody
	switch {
	case err == nil:
		return outcomeFinal
	case errors.As(err, &body):
		switch body.Kind {
		case configuration.ErrorUnknown:
			return outcomeUnknown
		case configuration.ErrorNoQuorum, configuration.ErrorNotHere:
			return outcomeNotWritten
		}
		return outcomeFinal
	case neverSent(err):
		return outcomeNotWritten
	}
	return outcomeUnknown
}

// neverSent reports whether a request failed before any of it was sent, so that certainly nothing was
// written.
func neverSent(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// moreSpecific returns the error that tells the caller more: a no-quorum error from a machine rather than an
// earlier error, and otherwise the earlier one.
func moreSpecific(earlier, later error) error {
	var body *configuration.ErrorBody
	if earlier == nil || errors.As(later, &body) && body.Kind == configuration.ErrorNoQuorum {
		return later
	}
	return earlier
}

// Show returns the latest revision of a scope, confirmed by a majority of its group.
func (c *Client) Show(ctx context.Context, scope configuration.Scope) (configuration.Revision, error) {
	var revision configuration.Revision
	err := c.get(ctx, configuration.ShowPath, url.Values{"scope": {scope.String()}}, &revision)
	return revision, err
}

// ShowApplied returns the latest revision of a scope that the answering machine has applied. There may be a
// later one. It needs no majority.
func (c *Client) ShowApplied(ctx context.Context, scope configuration.Scope) (configuration.Revision, error) {
	var revision configuration.Revision
	err := c.get(ctx, configuration.ShowPath, url.Values{"scope": {scope.String()}, "applied": {"true"}}, &revision)
	return revision, err
}

// Status reports whether a revision of a scope is in force everywhere; revision 0 is the latest.
func (c *Client) Status(ctx context.Context, scope configuration.Scope, revision uint64) (configuration.Status, error) {
	var status configuration.Status
	query := url.Values{"scope": {scope.String()}}
	if revision > 0 {
		query.Set("revision", strconv.FormatUint(revision, 10))
	}
	err := c.get(ctx, configuration.StatusPath, query, &status)
	return status, err
}

// Wait polls the status until the revision is in force everywhere or ctx ends, and returns the last status.
// While no machine can answer, the machines are tried again.
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
			revision = status.Revision // a later change doesn't move the target
		case ctx.Err() == nil:
			if outcomeOf(err) == outcomeFinal {
				return last, err
			}
			lastErr = err
		}
		if !waitRetry(ctx) {
			return last, lastErr
		}
	}
}

// History returns the revisions of a scope recorded by the machine that answers, the latest first.
func (c *Client) History(ctx context.Context, scope configuration.Scope) ([]configuration.Revision, error) {
	var revisions []configuration.Revision
	err := c.get(ctx, configuration.HistoryPath, url.Values{"scope": {scope.String()}}, &revisions)
	return revisions, err
}

// Machine returns the status of the first machine that answers.
func (c *Client) Machine(ctx context.Context) (configuration.MachineStatus, error) {
	var status configuration.MachineStatus
	err := c.get(ctx, configuration.MachinePath, nil, &status)
	return status, err
}

// get sends a GET request to one machine after another until one answers it or refuses it for good, and
// decodes the answer into the value that into points to.
func (c *Client) get(ctx context.Context, path string, query url.Values, into any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var reason error
	for _, address := range c.machines {
		err := c.do(ctx, http.MethodGet, address, path, nil, into)
		if outcomeOf(err) == outcomeFinal {
			return err
		}
		reason = moreSpecific(reason, err)
	}
	return reason
}

// do sends a request to one machine and decodes the response into the value that into points to. An
// *ErrorBody in the response is returned as the error.
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
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
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

// waitRetry waits for retryDelay before all machines are tried again. It returns false if ctx is done.
func waitRetry(ctx context.Context) bool {
	select {
	case <-time.After(retryDelay):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
