package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lemonrail/internal/roster"
)

// listServer is a simulated discovery service. It serves one list of backends to any number of watchers, sends each
// change to all of them and counts the traffic. It keeps all changes in memory, since runs are short.
type listServer struct {
	addr           string
	traffic        traffic
	server         *http.Server
	serving        sync.WaitGroup
	bytesPerSecond float64 // bytes per second to each watcher; 0: unlimited

	mu             sync.Mutex
	hosts          []roster.Host
	version        int64
	changes        [][]byte // encoded deltas; the nth, from 0, leads from version n+1 to n+2
	encoded        []byte   // encoded full list of version encodedVersion
	encodedVersion int64
	down           bool          // answers 503 and aborts open watches
	refused        int64         // number of calls answered 503
	changed        chan struct{} // closed and replaced at each change of version or down
}

const heartbeatInterval = 2 * time.Second // interval of the blank lines in a watch

// siteNames lists the sites that the entries of a listServer use, in turn.
var siteNames = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

// hostKind is the machine class of all entries of a listServer.
const hostKind = "plain"

const (
	serviceCount  = 68        // number of service names in host names
	firstBornMs   = 1.7901e12 // milliseconds since 1970, with as many digits as real values
	unusedPort    = 9         // port of all entries; nothing connects to it
	noVersion     = int64(-1) // version of a watcher without a list
	maxChanges    = 1 << 16   // maximum number of changes that a server keeps
	lineBreak     = "\n"      // ends each line; alone, a heartbeat
	listPath      = "/discovery/hosts"
	writeInterval = 50 * time.Millisecond // pause between the parts of a rate-limited answer
)

// listEntry returns the nth entry of a generated list.
func listEntry(n int) roster.Host {
	return roster.Host{Host: fmt.Sprintf("service-%02d-backend-%05d", n%serviceCount, n), Dial: fmt.Sprintf("127.%d.%d.1:%d", 100+n/250, n%250, unusedPort),
		Site: siteNames[n%len(siteNames)], Class: hostKind, Block: n / 10, Health: "ready", Share: 1, BornMs: firstBornMs + float64(n)}
}

func newListServer(entries int, slow float64) (*listServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("simulated discovery: %w", err)
	}
	s := &listServer{addr: ln.Addr().String(), version: 1, changed: make(chan struct{}), bytesPerSecond: slow}
	for n := range entries {
		s.hosts = append(s.hosts, listEntry(n))
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	s.serving.Go(func() { s.server.Serve(countingListener{ln, &s.traffic}) })
	return s, nil
}

func (s *listServer) close() error {
	err := s.server.Close()
	s.serving.Wait()
	return err
}

// fullList returns the current list.
func (s *listServer) fullList() roster.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return roster.List{Seq: s.version, Whole: true, Hosts: append([]roster.Host{}, s.hosts...)}
}

// change changes the share of one entry and returns the list's new version.
func (s *listServer) change(n int) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.changes) == maxChanges {
		return 0, errors.New("simulated discovery: too many changes")
	}
	at := n % len(s.hosts)
	s.hosts[at].Share = 1 + float64(s.version%2)
	s.version++
	line, err := json.Marshal(roster.List{Seq: s.version, Hosts: []roster.Host{s.hosts[at]}})
	if err != nil {
		return 0, err
	}
	s.changes = append(s.changes, append(line, lineBreak...))
	s.notifyWatches()
	return s.version, nil
}

// setDown makes the service unavailable, which also aborts the open watches, or available again.
func (s *listServer) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatches()
}

// refuse answers 503 and counts the call.
func (s *listServer) refuse(w http.ResponseWriter) {
	s.mu.Lock()
	s.refused++
	s.mu.Unlock()
	http.Error(w, "down", http.StatusServiceUnavailable)
}

// refusals returns the number of calls answered 503.
func (s *listServer) refusals() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// notifyWatches wakes all watches. s.mu must be held.
func (s *listServer) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// next returns the lines that a watcher at version since has not received yet, and the state of the server.
func (s *listServer) next(since int64) (lines [][]byte, version int64, changed <-chan struct{}, down bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since < 1 || since > s.version {
		err := s.encode()
		return [][]byte{s.encoded}, s.version, s.changed, s.down, err
	}
	return s.changes[since-1:], s.version, s.changed, s.down, nil
}

// encode updates the encoded full list. s.mu must be held.
func (s *listServer) encode() error {
	if s.encodedVersion == s.version {
		return nil
	}
	whole, err := json.Marshal(roster.List{Seq: s.version, Whole: true, Hosts: s.hosts})
	s.encoded, s.encodedVersion = append(whole, lineBreak...), s.version
	return err
}

// ServeHTTP implements http.Handler.
func (s *listServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != listPath {
		http.NotFound(w, req)
		return
	}
	since, err := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = noVersion
	}
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	follow := req.URL.Query().Get("follow") == "1"
	for first := true; ; first = false {
		lines, version, changed, down, err := s.next(since)
		if err != nil || down && first {
			s.refuse(w)
			return
		}
		if down {
			panic(http.ErrAbortHandler)
		}
		if s.write(req.Context(), w, lines) != nil || !follow {
			return
		}
		since = version
		select {
		case <-changed:
		case <-beat.C:
			if s.write(req.Context(), w, [][]byte{[]byte(lineBreak)}) != nil {
				return
			}
		case <-req.Context().Done():
			return
		}
	}
}

// write sends lines, rate-limited if the server has a rate.
func (s *listServer) write(ctx context.Context, w http.ResponseWriter, lines [][]byte) error {
	flush := http.NewResponseController(w)
	for _, line := range lines {
		for len(line) > 0 {
			part := len(line)
			if s.bytesPerSecond > 0 {
				part = min(part, max(1, int(s.bytesPerSecond*writeInterval.Seconds())))
			}
			if _, err := w.Write(line[:part]); err != nil {
				return err
			}
			if line = line[part:]; len(line) > 0 {
				if err := errors.Join(flush.Flush(), pause(ctx, writeInterval)); err != nil {
					return err
				}
			}
		}
	}
	return flush.Flush()
}
