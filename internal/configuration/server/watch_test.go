package server

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"testing"
	"time"

	"lemonrail/internal/configuration"
)

// testWatch is an open watch as the agent sees it.
type testWatch struct {
	status int // HTTP status of the response
	body   io.ReadCloser
	lines  *bufio.Reader // reads body
}

// watchQueryOf returns the query of an agent's watch. have holds the positions that the agent has, as
// SCOPE@REVISION.EPOCH.
func watchQueryOf(place configuration.Place, have ...string) url.Values {
	return url.Values{"agent": {place.Agent}, "region": {place.Region}, "zone": {place.Zone}, "service": {place.Service}, "format": {"1"}, "have": have}
}

func openWatch(t *testing.T, f *fakeFleet, machine string, query url.Values) *testWatch {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address(machine)+configuration.WatchPath+"?"+query.Encode(), nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return &testWatch{status: response.StatusCode, body: response.Body, lines: bufio.NewReader(response.Body)}
}

// next returns the next update and skips heartbeats.
func (w *testWatch) next(t *testing.T) configuration.Update {
	t.Helper()
	for {
		line, err := w.lines.ReadBytes('\n')
		if err != nil {
			t.Fatal(err)
		}
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		var update configuration.Update
		if err := json.Unmarshal(line, &update); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		return update
	}
}

// refusal returns the error body of a refused watch, and checks that the HTTP status matches the error's
// kind.
func (w *testWatch) refusal(t *testing.T) *configuration.ErrorBody {
	t.Helper()
	body := &configuration.ErrorBody{}
	if err := json.NewDecoder(w.body).Decode(body); err != nil {
		t.Fatal(err)
	}
	if w.status != statusCodes[body.Kind] {
		t.Errorf("%s came with status %d", body.Kind, w.status)
	}
	return body
}

// mustPut makes a change at a1 and fails the test if the change isn't accepted.
func mustPut(t *testing.T, f *fakeFleet, change configuration.Change) configuration.Accepted {
	t.Helper()
	accepted, err := put(t, f, "a1", change)
	if err != nil {
		t.Fatal(err)
	}
	return accepted
}

func TestWatchSendsMissingUpdatesThenChanges(t *testing.T) {
	f := newFakeFleet(t)
	service := configuration.Scope{Level: configuration.LevelService, Name: "search"}
	other := configuration.Scope{Level: configuration.LevelService, Name: "cart"}
	mustPut(t, f, testChange("1", configuration.Fleet, 0, 2))
	mustPut(t, f, testChange("2", testRegionA, 0, 3))
	mustPut(t, f, testChange("3", other, 0, 4))
	w := openWatch(t, f, "b1", watchQueryOf(testPlace))
	first, second := w.next(t), w.next(t)
	if first.Scope != configuration.Fleet || !first.More || first.Revision != 1 || second.Scope != testRegionA || second.More || second.Revision != 1 {
		t.Fatalf("got %+v and %+v, want the fleet's and the region's as one set", first, second)
	}
	mustPut(t, f, testChange("4", other, 1, 5))
	mustPut(t, f, testChange("5", service, 0, 6))
	third := w.next(t)
	if third.Scope != service || third.More || third.Revision != 1 {
		t.Errorf("after a change of another service and one of this service: got %+v", third)
	}
}

func TestWatchSkipsRevisionsThatTheAgentHas(t *testing.T) {
	f := newFakeFleet(t)
	fleet := mustPut(t, f, testChange("1", configuration.Fleet, 0, 2))
	region := mustPut(t, f, testChange("2", testRegionA, 0, 3))
	have := []string{
		fmt.Sprintf("fleet@%d.%d", fleet.Revision, fleet.Epoch),
		fmt.Sprintf("region/a@%d.%d", region.Revision+5, region.Epoch), // a later revision, received from a machine that has applied more than a1
	}
	w := openWatch(t, f, "a1", watchQueryOf(testPlace, have...))
	mustPut(t, f, testChange("3", configuration.Fleet, 1, 4))
	if update := w.next(t); update.Scope != configuration.Fleet || update.Revision != 2 {
		t.Errorf("got %+v first, want revision 2 of the fleet", update)
	}
}

func TestWatchOfAnotherRegionIsRedirected(t *testing.T) {
	f := newFakeFleet(t)
	body := openWatch(t, f, "b2", watchQueryOf(testPlace)).refusal(t)
	want := []string{f.address("a1"), f.address("a2"), f.address("b1")}
	if body.Kind != configuration.ErrorNotHere || strings.Join(body.Machines, " ") != strings.Join(want, " ") {
		t.Errorf("got %+v, want not-here and the machines %v", body, want)
	}
}

func TestWatchesAreBounded(t *testing.T) {
	f := newFakeFleet(t)
	s := f.servers["a2"]
	for range maxWatches {
		s.watchSlots <- struct{}{}
	}
	body := openWatch(t, f, "a2", watchQueryOf(testPlace)).refusal(t)
	if body.Kind != configuration.ErrorNotHere || len(body.Machines) != 2 {
		t.Errorf("got %+v, want not-here and the two other machines", body)
	}
}

func TestInvalidWatchQueries(t *testing.T) {
	f := newFakeFleet(t)
	for _, tt := range []struct{ name, key, value, names string }{
		{"no agent", "agent", "", "agent"},
		{"an invalid zone", "zone", "a/b", "zone"},
		{"no format", "format", "", "format"},
		{"a position without epoch", "have", "fleet@1", "have"},
		{"a revision that isn't a number", "have", "fleet@x.1", "revision"},
		{"a scope of another agent", "have", "agent/a/other@1.1", "doesn't hold"},
		{"a region without machines", "region", "elsewhere", "elsewhere"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			query := watchQueryOf(testPlace)
			query.Set(tt.key, tt.value)
			body := openWatch(t, f, "a1", query).refusal(t)
			if body.Kind != configuration.ErrorInvalid || !strings.Contains(body.Message, tt.names) {
				t.Errorf("got %+v, want an invalid error that contains %q", body, tt.names)
			}
		})
	}
}

func TestWatchEndsOnShutdown(t *testing.T) {
	f := newFakeFleet(t)
	w := openWatch(t, f, "a1", watchQueryOf(testPlace))
	close(f.servers["a1"].stopping)
	if _, err := io.ReadAll(w.lines); err != nil {
		t.Errorf("the watch ended with %v, want a complete response", err)
	}
}

// stalledWriter is the response to a client that doesn't read: each write blocks until its deadline.
type stalledWriter struct {
	header   http.Header
	deadline time.Time
}

func (w *stalledWriter) Header() http.Header { return w.header }
func (w *stalledWriter) WriteHeader(int)     {}
func (w *stalledWriter) Flush()              {}

func (w *stalledWriter) SetWriteDeadline(deadline time.Time) error {
	w.deadline = deadline
	return nil
}

func (w *stalledWriter) Write([]byte) (int, error) {
	if w.deadline.IsZero() {
		select {} // blocks forever
	}
	return 0, os.ErrDeadlineExceeded
}

func TestStalledReaderIsDisconnected(t *testing.T) {
	f := newFakeFleet(t)
	w := newWatcher(f.servers["a1"], &stalledWriter{header: http.Header{}}, watchQuery{place: testPlace})
	defer w.unsubscribe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.run(nil)
	}()
	select {
	case <-ended:
	case <-time.After(hangTimeout):
		t.Fatal("the watch still waits for a stalled reader")
	}
}

// hangTimeout ends a test that hangs; it is no performance criterion.
const hangTimeout = 30 * time.Second

func TestSlowReaderGetsOnlyTheLatestRevision(t *testing.T) {
	f := newFakeFleet(t)
	query := watchQuery{place: testPlace, have: map[configuration.Scope]configuration.Position{}}
	w := newWatcher(f.servers["a1"], httptest.NewRecorder(), query)
	defer w.unsubscribe()
	const changes = 50
	for base := range uint64(changes) {
		mustPut(t, f, testChange(fmt.Sprint(base), configuration.Fleet, base, 2+int(base)%3))
	}
	if got := len(w.changed); got != 1 {
		t.Errorf("%d signals are pending, want 1", got)
	}
	updates := w.pendingUpdates()
	if len(updates) != 1 || updates[0].Revision != changes {
		t.Errorf("after %d changes %d updates are pending: %+v", changes, len(updates), updates)
	}
}

func TestUpdatesArePaced(t *testing.T) {
	f := newFakeFleet(t)
	s := f.servers["a1"]
	close(s.stopping) // sendUpdate then returns false for a line that has to wait
	w := newWatcher(s, httptest.NewRecorder(), watchQuery{place: testPlace})
	defer w.unsubscribe()
	const lines = 40 // of 1 KB each: more than 10 s at the pacer's rate
	sent := 0
	for sent < lines && w.sendUpdate(configuration.Update{Scope: configuration.Fleet, Text: strings.Repeat("x", 1000)}, nil) {
		sent++
	}
	if sent == 0 || sent == lines {
		t.Errorf("%d of %d lines were sent at once", sent, lines)
	}
}
