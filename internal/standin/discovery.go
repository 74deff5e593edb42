package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lemonrail/internal/accept"
)

// host is one node as discovery lists it, in the JSON of PROTOCOL.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`    // address that the agent connects to
	Site   string  `json:"site"`    // data centre (zone)
	Class  string  `json:"class"`   // name of the machine's kind (KindSpec.Name)
	Block  int     `json:"block"`   // number of the node's cell
	Health string  `json:"health"`  // "ready", "draining" or "gone"
	Share  float64 `json:"share"`   // weight of the node; always 1
	BornMs float64 `json:"born_ms"` // start of the process as Unix time in milliseconds; 0: long ago
}

// listing is a message of discovery: the full list, or the entries that changed.
type listing struct {
	Seq   int64  `json:"seq"`   // version of the list after the message
	Whole bool   `json:"whole"` // Hosts is the full list
	Hosts []host `json:"hosts"`
}

// agentDiscovery is the discovery service as one agent sees it. Each agent has its own, since changes reach
// agents at different times.
type agentDiscovery struct {
	site  *Site
	agent string

	mu      sync.Mutex
	seq     int64         // number of the latest change
	hosts   []host        // current list for this agent, without nodes that are gone
	changes []listing     // the latest changes, at most maxChanges
	down    bool          // calls are answered with 503
	changed chan struct{} // closed at each change and replaced
	ln      net.Listener
	srv     *http.Server
	serving sync.WaitGroup
	addr    string
}

const maxChanges = 256 // a watch from a version older than these starts with the full list

func newAgentDiscovery(site *Site, agent string, hosts []host) (*agentDiscovery, error) {
	r := &agentDiscovery{site: site, agent: agent, seq: 1, hosts: hosts, changed: make(chan struct{})}
	return r, r.open()
}

// open starts to serve at a new address.
func (r *agentDiscovery) open() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	srv := &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second, BaseContext: func(net.Listener) context.Context { return r.site.ctx }}
	r.mu.Lock()
	r.ln, r.srv, r.addr = ln, srv, ln.Addr().String()
	r.mu.Unlock()
	r.serving.Go(func() {
		if err := srv.Serve(accept.Retry(ln, nil, slog.New(slog.DiscardHandler))); !errors.Is(err, http.ErrServerClosed) {
			r.site.recordError(fmt.Errorf("discovery: %w", err))
		}
	})
	return nil
}

func (r *agentDiscovery) close() {
	r.mu.Lock()
	srv := r.srv
	r.mu.Unlock()
	srv.Close()
	r.serving.Wait()
}

// move serves at a new address and closes the old one.
func (r *agentDiscovery) move() (string, error) {
	r.mu.Lock()
	old := r.srv
	r.mu.Unlock()
	if err := r.open(); err != nil {
		return "", err
	}
	old.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr, nil
}

// apply changes, adds or removes (Health "gone") one node in this agent's list, and notifies its watches.
func (r *agentDiscovery) apply(e host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	kept := r.hosts[:0]
	for _, h := range r.hosts {
		if h.Host != e.Host {
			kept = append(kept, h)
		}
	}
	if r.hosts = kept; e.Health != "gone" {
		r.hosts = append(r.hosts, e)
	}
	if r.changes = append(r.changes, listing{Seq: r.seq, Hosts: []host{e}}); len(r.changes) > maxChanges {
		r.changes = append(r.changes[:0], r.changes[len(r.changes)-maxChanges/2:]...)
	}
	r.notify()
}

// notify wakes the watches that wait for a change. The caller holds mu.
func (r *agentDiscovery) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// setDown makes discovery answer this agent with 503 and ends its watches, or makes it available again.
func (r *agentDiscovery) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	r.notify()
}

// fullList returns the current list. The caller holds mu.
func (r *agentDiscovery) fullList() listing {
	return listing{Seq: r.seq, Whole: true, Hosts: append([]host{}, r.hosts...)}
}

// changesSince returns the changes after a version, or the full list if they are not all kept. The caller
// holds mu.
func (r *agentDiscovery) changesSince(seq int64) []listing {
	if seq == r.seq {
		return nil
	}
	if len(r.changes) == 0 || r.changes[0].Seq > seq+1 || seq > r.seq {
		return []listing{r.fullList()}
	}
	var out []listing
	for _, c := range r.changes {
		if c.Seq > seq {
			out = append(out, c)
		}
	}
	return out
}

// reportToObserver reports to the observer the node states in a list that is being sent to the agent. In a full list a node
// that is missing counts as gone.
func (r *agentDiscovery) reportToObserver(l listing) {
	now := time.Now()
	listed := map[string]bool{}
	for _, h := range l.Hosts {
		var born time.Time
		if h.BornMs > 0 {
			born = time.UnixMilli(int64(h.BornMs))
		}
		listed[h.Host] = true
		r.site.observer.StateReported(r.agent, h.Host, h.Health, born, now)
	}
	if l.Whole {
		for _, id := range r.site.listedNodes() {
			if !listed[id] {
				r.site.observer.StateReported(r.agent, id, "gone", time.Time{}, now)
			}
		}
	}
}

func (r *agentDiscovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/discovery/hosts" || req.Method != http.MethodGet {
		http.NotFound(w, req)
		return
	}
	r.mu.Lock()
	down := r.down
	r.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if req.URL.Query().Get("follow") != "1" {
		r.mu.Lock()
		l := r.fullList()
		r.mu.Unlock()
		json.NewEncoder(w).Encode(l)
		r.reportToObserver(l)
		return
	}
	seq, err := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	if err != nil {
		seq = -1
	}
	r.follow(w, req, seq)
}

// follow writes the changes after version seq, and heartbeats, until the watch ends.
func (r *agentDiscovery) follow(w http.ResponseWriter, req *http.Request, seq int64) {
	flush := http.NewResponseController(w)
	beat := time.NewTicker(ms(r.site.scenario.Discovery.HeartbeatMs))
	defer beat.Stop()
	w.Write(nil)
	for {
		r.mu.Lock()
		list, changed, down := r.changesSince(seq), r.changed, r.down
		r.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		for _, l := range list {
			if json.NewEncoder(w).Encode(l) != nil || flush.Flush() != nil {
				return
			}
			r.reportToObserver(l)
			seq = l.Seq
		}
		if flush.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-beat.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-req.Context().Done():
			return
		}
	}
}
