package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lemonrail/internal/configuration"
)

const (
	heartbeatInterval = 2 * time.Second  // between the empty lines that show the agent that the watch is alive
	watchWriteTimeout = 10 * time.Second // for which a write may block before the reader is disconnected
	lineOverheadBytes = 48               // added to a line by chunked encoding and the headers of TCP and IP
)

// watchQuery holds the parameters of an agent's watch request.
type watchQuery struct {
	place  configuration.Place                            // name and location of the agent
	format int                                            // latest document format that the agent supports
	have   map[configuration.Scope]configuration.Position // position of each scope's document that the agent has
}

// parseWatchQuery parses a watch's parameters: agent, region, zone, service, format and, repeated,
// have=SCOPE@REVISION.EPOCH.
func parseWatchQuery(values url.Values) (watchQuery, error) {
	query := watchQuery{
		place: configuration.Place{
			Agent:   values.Get("agent"),
			Region:  values.Get("region"),
			Zone:    values.Get("zone"),
			Service: values.Get("service"),
		},
		have: map[configuration.Scope]configuration.Position{},
	}
	if err := query.place.Check(); err != nil {
		return query, err
	}
	format, err := strconv.Atoi(values.Get("format"))
	if err != nil || format < 1 {
		return query, fmt.Errorf("format %q is no number from 1 on", values.Get("format"))
	}
	query.format = format
	for _, text := range values["have"] {
		scope, position, err := parseHave(text)
		if err != nil {
			return query, err
		}
		if !scope.AppliesTo(query.place) {
			return query, fmt.Errorf("have %q: the scope doesn't hold for the agent", text)
		}
		query.have[scope] = position
	}
	return query, nil
}

// parseHave parses SCOPE@REVISION.EPOCH.
func parseHave(text string) (scope configuration.Scope, at configuration.Position, err error) {
	scopeText, positionText, ok := strings.Cut(text, "@")
	revisionText, epochText, dotted := strings.Cut(positionText, ".")
	if !ok || !dotted {
		return scope, at, fmt.Errorf("have %q is not SCOPE@REVISION.EPOCH", text)
	}
	if scope, err = configuration.ParseScope(scopeText); err != nil {
		return scope, at, err
	}
	if at.Revision, err = strconv.ParseUint(revisionText, 10, 64); err != nil {
		return scope, at, fmt.Errorf("have %q: revision: %w", text, err)
	}
	if at.Epoch, err = strconv.ParseUint(epochText, 10, 64); err != nil {
		return scope, at, fmt.Errorf("have %q: epoch: %w", text, err)
	}
	return scope, at, nil
}

// handleWatch sends an agent the updates that it lacks, and after that an update for each further change, until the
// agent or this process ends the watch.
func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	query, err := parseWatchQuery(r.URL.Query())
	if err != nil {
		writeError(w, err)
		return
	}
	scope := configuration.Scope{Level: configuration.LevelRegion, Region: query.place.Region}
	if err := s.checkGroup(scope); err != nil {
		writeError(w, err)
		return
	}
	if _, err := s.groupOf(scope); err != nil {
		writeError(w, err)
		return
	}
	select {
	case s.watchSlots <- struct{}{}:
		defer func() { <-s.watchSlots }()
	default:
		writeError(w, s.notHere(scope.Group(), "machine %s has %d watches already", s.settings.Name, maxWatches))
		return
	}
	if err := s.trackConnected(query.place); err != nil {
		writeError(w, s.notHere(scope.Group(), "%v", err))
		return
	}
	defer s.trackDisconnected(query.place)
	watcher := newWatcher(s, w, query)
	defer watcher.unsubscribe()
	watcher.run(r.Context().Done())
}

// watcher is the sending side of one watch.
type watcher struct {
	server  *Server
	groups  []*group                                       // those that write the agent's scopes
	place   configuration.Place                            // where the agent is in the fleet, which decides its scopes
	have    map[configuration.Scope]configuration.Position // the agent's positions after all updates sent so far
	changed chan struct{}                                  // receives a value when a group's registry may have changed
	pacer   *configuration.Pacer                           // limits the bytes per second to the agent

	writer     http.ResponseWriter
	controller *http.ResponseController
}

// newWatcher returns the watcher of a query and subscribes it to the groups that write the agent's scopes.
func newWatcher(s *Server, w http.ResponseWriter, query watchQuery) *watcher {
	watcher := &watcher{
		server:     s,
		place:      query.place,
		have:       query.have,
		changed:    make(chan struct{}, 1),
		pacer:      configuration.NewPacer(configuration.PaceRate, configuration.PaceBurst, s.now()),
		writer:     w,
		controller: http.NewResponseController(w),
	}
	for _, name := range []string{configuration.FleetGroup, configuration.RegionGroup(query.place.Region)} {
		if g := s.groups[name]; g != nil {
			watcher.groups = append(watcher.groups, g)
			g.subscribe(watcher.changed)
		}
	}
	return watcher
}

// unsubscribe ends the watcher's subscriptions.
func (w *watcher) unsubscribe() {
	for _, g := range w.groups {
		g.unsubscribe(w.changed)
	}
}

// run sends updates until the agent disconnects (done is closed), the agent stops reading, or this process
// ends.
func (w *watcher) run(done <-chan struct{}) {
	w.writer.Header().Set("Content-Type", "application/x-ndjson")
	w.writer.Header().Set("Connection", "close")
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	if !w.send([]byte("\n")) { // tells the agent at once that the watch is open
		return
	}
	for {
		for _, update := range w.pendingUpdates() {
			if !w.sendUpdate(update, done) {
				return
			}
		}
		select {
		case <-w.changed:
		case <-heartbeat.C:
			if !w.send([]byte("\n")) {
				return
			}
		case <-done:
			return
		case <-w.server.stopping:
			return
		}
	}
}

// pendingUpdates returns the updates of all scopes that the agent lacks, as one set that takes effect
// together, and counts them as sent.
func (w *watcher) pendingUpdates() []configuration.Update {
	var updates []configuration.Update
	for _, scope := range w.place.Scopes() {
		g := w.server.groups[scope.Group()]
		if g == nil {
			continue
		}
		updates = append(updates, g.updatesSince(scope, w.have[scope])...)
	}
	for i := range updates {
		updates[i].More = i+1 < len(updates)
		w.have[updates[i].Scope] = updates[i].Position
	}
	return updates
}

// sendUpdate sends an update after the wait that the pacer requires. It returns false if the watch has ended.
func (w *watcher) sendUpdate(update configuration.Update, done <-chan struct{}) bool {
	line, err := json.Marshal(update)
	if err != nil {
		w.server.log.Error("an update can't be encoded", "scope", update.Scope.String(), "err", err)
		return false
	}
	line = append(line, '\n')
	if wait := w.pacer.Reserve(len(line)+lineOverheadBytes, w.server.now()); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-done:
			return false
		case <-w.server.stopping:
			return false
		}
	}
	return w.send(line)
}

// send writes a line. It returns false if the agent has disconnected or doesn't read.
func (w *watcher) send(line []byte) bool {
	w.controller.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	if _, err := w.writer.Write(line); err != nil {
		return false
	}
	return w.controller.Flush() == nil
}
