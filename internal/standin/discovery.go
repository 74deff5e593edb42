package standin

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
)

// entry is one node as discovery lists it.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

type listing struct {
	Seq   int64   `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

// register is discovery as one agent meets it: what it has been sent so far.
type register struct {
	site  *Site
	agent string

	mu      sync.Mutex
	seq     int64
	hosts   []entry // up to date for this agent, gone ones left out
	changes []listing
	down    bool
	changed chan struct{} // closed at each change
	ln      net.Listener
	srv     *http.Server
	serving sync.WaitGroup
	addr    string
}

const keptChanges = 256 // beyond that a watch begins with the whole list

func newRegister(site *Site, agent string, hosts []entry) (*register, error) {
	r := &register{site: site, agent: agent, seq: 1, hosts: hosts, changed: make(chan struct{})}
	return r, r.open()
}

// open serves at an address of its own.
func (r *register) open() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	srv := &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second, BaseContext: func(net.Listener) context.Context { return r.site.ctx }}
	r.mu.Lock()
	r.ln, r.srv, r.addr = ln, srv, ln.Addr().String()
	r.mu.Unlock()
	r.serving.Go(func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			r.site.fail(fmt.Errorf("discovery: %w", err))
		}
	})
	return nil
}

func (r *register) close() {
	r.mu.Lock()
	srv := r.srv
	r.mu.Unlock()
	srv.Close()
	r.serving.Wait()
}

// move closes the address and serves at another.
func (r *register) move() (string, error) {
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

// apply makes a change known to this agent from now on.
func (r *register) apply(e entry) {
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
	if r.changes = append(r.changes, listing{Seq: r.seq, Hosts: []entry{e}}); len(r.changes) > keptChanges {
		r.changes = append(r.changes[:0], r.changes[len(r.changes)-keptChanges/2:]...)
	}
	r.tick()
}

func (r *register) tick() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *register) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	r.tick()
}

// whole is the list as it is now; it is called with the lock held.
func (r *register) whole() listing {
	return listing{Seq: r.seq, Whole: true, Hosts: append([]entry{}, r.hosts...)}
}

// since is what changed after a version; it is called with the lock held.
func (r *register) since(seq int64) []listing {
	if seq == r.seq {
		return nil
	}
	if len(r.changes) == 0 || r.changes[0].Seq > seq+1 || seq > r.seq {
		return []listing{r.whole()}
	}
	var out []listing
	for _, c := range r.changes {
		if c.Seq > seq {
			out = append(out, c)
		}
	}
	return out
}

// note tells the observer what the agent has now been told.
func (r *register) note(l listing) {
	now := time.Now()
	listed := map[string]bool{}
	for _, h := range l.Hosts {
		var born time.Time
		if h.BornMs > 0 {
			born = time.UnixMilli(int64(h.BornMs))
		}
		listed[h.Host] = true
		r.site.watch.Told(r.agent, h.Host, h.Health, born, now)
	}
	if l.Whole {
		for _, id := range r.site.ids() {
			if !listed[id] {
				r.site.watch.Told(r.agent, id, "gone", time.Time{}, now)
			}
		}
	}
}

func (r *register) ServeHTTP(w http.ResponseWriter, req *http.Request) {
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
		l := r.whole()
		r.mu.Unlock()
		json.NewEncoder(w).Encode(l)
		r.note(l)
		return
	}
	seq, err := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	if err != nil {
		seq = -1
	}
	r.follow(w, req, seq)
}

// follow keeps a watch open.
func (r *register) follow(w http.ResponseWriter, req *http.Request, seq int64) {
	flush := http.NewResponseController(w)
	beat := time.NewTicker(ms(r.site.sc.Discovery.HeartbeatMs))
	defer beat.Stop()
	w.Write(nil)
	for {
		r.mu.Lock()
		list, changed, down := r.since(seq), r.changed, r.down
		r.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		for _, l := range list {
			if json.NewEncoder(w).Encode(l) != nil || flush.Flush() != nil {
				return
			}
			r.note(l)
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
