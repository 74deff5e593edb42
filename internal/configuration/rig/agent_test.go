package rig_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"testing"

	"lemonrail/internal/configuration"
)

// testAgent acts as an agent: it watches one machine, applies all updates and reports what it has in force.
type testAgent struct {
	place    configuration.Place
	cancel   context.CancelFunc
	finished chan struct{} // closed once the agent's goroutine has ended

	mu       sync.Mutex
	follower *configuration.Follower
	changed  chan struct{} // closed and replaced on each update
	err      error         // error that ended the watch
}

// startAgent watches the machine at an address until the test ends or stop is called.
func startAgent(t *testing.T, address string, place configuration.Place) *testAgent {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	a := &testAgent{
		place:    place,
		cancel:   cancel,
		finished: make(chan struct{}),
		follower: configuration.NewFollower(place, func(*configuration.Document) error { return nil }),
		changed:  make(chan struct{}),
	}
	go func() {
		defer close(a.finished)
		err := a.run(ctx, address)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.err = err
		close(a.changed)
		a.changed = make(chan struct{})
	}()
	t.Cleanup(a.stop)
	return a
}

// stop ends the watch without a leaving report, as a crash does.
func (a *testAgent) stop() {
	a.cancel()
	<-a.finished
}

// watchURL returns the URL of a watch at a machine's address, from the positions in have.
func watchURL(address string, place configuration.Place, have map[configuration.Scope]configuration.Position) string {
	query := url.Values{
		"agent":   {place.Agent},
		"region":  {place.Region},
		"zone":    {place.Zone},
		"service": {place.Service},
		"format":  {strconv.Itoa(configuration.Format)},
	}
	for scope, at := range have {
		query.Add("have", fmt.Sprintf("%s@%d.%d", scope, at.Revision, at.Epoch))
	}
	return "http://" + address + configuration.WatchPath + "?" + query.Encode()
}

func (a *testAgent) run(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, watchURL(address, a.place, a.begin()), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body := &configuration.ErrorBody{}
		if err := json.NewDecoder(response.Body).Decode(body); err != nil {
			return err
		}
		return body
	}
	if err := a.report(ctx, address); err != nil {
		return err
	}
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return err
		}
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		if err := a.take(ctx, address, line); err != nil {
			return err
		}
	}
}

// begin prepares the follower for a new watch and returns the positions from which to request it.
func (a *testAgent) begin() map[configuration.Scope]configuration.Position {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follower.Connected()
	return a.follower.Positions()
}

// take applies the update in a line of the watch and reports what is in force after it.
func (a *testAgent) take(ctx context.Context, address string, line []byte) error {
	var update configuration.Update
	if err := json.Unmarshal(line, &update); err != nil {
		return err
	}
	a.mu.Lock()
	result := a.follower.Receive(update)
	if effective, ok := a.follower.Pending(); ok {
		a.follower.Applied(effective)
	}
	close(a.changed)
	a.changed = make(chan struct{})
	a.mu.Unlock()
	if result.Kind == configuration.ResultNeedsWhole {
		return errors.New("update doesn't fit: " + result.Reason)
	}
	return a.report(ctx, address)
}

// report sends the agent's report to the machine at an address.
func (a *testAgent) report(ctx context.Context, address string) error {
	a.mu.Lock()
	raw, err := json.Marshal(a.follower.Report())
	a.mu.Unlock()
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+configuration.ReportPath, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("report: status %d: %s", response.StatusCode, text)
	}
	return nil
}

// waitFor waits until the agent has a revision of a scope in force; it fails the test if the watch or ctx
// ends first.
func (a *testAgent) waitFor(ctx context.Context, t *testing.T, scope configuration.Scope, revision uint64) {
	t.Helper()
	for {
		a.mu.Lock()
		at := a.follower.Report().InForce[scope].Revision
		changed, err := a.changed, a.err
		a.mu.Unlock()
		if at >= revision {
			return
		}
		if err != nil {
			t.Fatalf("agent %s: the watch ended: %v", a.place.Agent, err)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatalf("agent %s has revision %d of %s in force, not %d", a.place.Agent, at, scope, revision)
		}
	}
}

// ended waits for the end of the watch and returns its error.
func (a *testAgent) ended() error {
	<-a.finished
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err
}
