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

// listServer is a scripted discovery service: it serves one list of backends to any number of watchers, sends each change
// to all of them, and counts what it carries. It keeps all changes: runs are short.
type listServer struct {
	addr    string
	traffic traffic
	server  *http.Server
	serving sync.WaitGroup
	slow    float64 // bytes a second to each watcher; 0: as fast as it takes them

	mu      sync.Mutex
	hosts   []roster.Host
	version int64
	changes [][]byte      // lines; the nth follows on version n+1
	encoded []byte        // the whole list of a version as a line
	encodes int64         // that version
	down    bool          // answers 503 and ends its watches
	refused int64         // calls while it was down
	changed chan struct{} // closed at each change
}

const heartbeat = 2 * time.Second // between the blank lines of a watch

// Sites and Kind are the names that a listServer's entries use.
var Sites = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

// Kind is the machine class of all entries.
const Kind = "plain"

const (
	services  = 68        // by whose names entries are called
	bornAt    = 1.7901e12 // milliseconds since 1970: as long as real ones
	deadPort  = 9         // of entries: nothing connects to them
	noVersion = int64(-1) // of a watcher that has no list
	keptLines = 1 << 16   // changes that a server holds at the most
	lineBreak = "\n"      // a heartbeat
	listPath  = "/discovery/hosts"
	sliceWait = 50 * time.Millisecond // between the parts of a slow answer
)

// entry is the nth backend of a made-up list.
func entry(n int) roster.Host {
	return roster.Host{Host: fmt.Sprintf("service-%02d-backend-%05d", n%services, n), Dial: fmt.Sprintf("127.%d.%d.1:%d", 100+n/250, n%250, deadPort),
		Site: Sites[n%len(Sites)], Class: Kind, Block: n / 10, Health: "ready", Share: 1, BornMs: bornAt + float64(n)}
}

func newListServer(entries int, slow float64) (*listServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("scripted discovery: %w", err)
	}
	s := &listServer{addr: ln.Addr().String(), version: 1, changed: make(chan struct{}), slow: slow}
	for n := range entries {
		s.hosts = append(s.hosts, entry(n))
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

// whole is the present list.
func (s *listServer) whole() roster.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return roster.List{Seq: s.version, Whole: true, Hosts: append([]roster.Host{}, s.hosts...)}
}

// change gives one entry another share and returns the list's new version.
func (s *listServer) change(n int) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.changes) == keptLines {
		return 0, errors.New("scripted discovery: too many changes")
	}
	at := n % len(s.hosts)
	s.hosts[at].Share = 1 + float64(s.version%2)
	s.version++
	line, err := json.Marshal(roster.List{Seq: s.version, Hosts: []roster.Host{s.hosts[at]}})
	if err != nil {
		return 0, err
	}
	s.changes = append(s.changes, append(line, lineBreak...))
	s.tick()
	return s.version, nil
}

// setDown has the service answer 503 and end its watches, or serve again.
func (s *listServer) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.tick()
}

func (s *listServer) refuse(w http.ResponseWriter) {
	s.mu.Lock()
	s.refused++
	s.mu.Unlock()
	http.Error(w, "down", http.StatusServiceUnavailable)
}

func (s *listServer) refusals() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

func (s *listServer) tick() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// next is what a watcher that has version since lacks.
func (s *listServer) next(since int64) (lines [][]byte, version int64, changed <-chan struct{}, down bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since < 1 || since > s.version {
		err := s.encode()
		return [][]byte{s.encoded}, s.version, s.changed, s.down, err
	}
	return s.changes[since-1:], s.version, s.changed, s.down, nil
}

// encode keeps the present list as a line. It is called with the lock held.
func (s *listServer) encode() error {
	if s.encodes == s.version {
		return nil
	}
	whole, err := json.Marshal(roster.List{Seq: s.version, Whole: true, Hosts: s.hosts})
	s.encoded, s.encodes = append(whole, lineBreak...), s.version
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
	beat := time.NewTicker(heartbeat)
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

// write sends lines, at the server's pace where it has one.
func (s *listServer) write(ctx context.Context, w http.ResponseWriter, lines [][]byte) error {
	flush := http.NewResponseController(w)
	for _, line := range lines {
		for len(line) > 0 {
			part := len(line)
			if s.slow > 0 {
				part = min(part, max(1, int(s.slow*sliceWait.Seconds())))
			}
			if _, err := w.Write(line[:part]); err != nil {
				return err
			}
			if line = line[part:]; len(line) > 0 {
				if err := errors.Join(flush.Flush(), pause(ctx, sliceWait)); err != nil {
					return err
				}
			}
		}
	}
	return flush.Flush()
}
