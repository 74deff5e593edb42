package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Backend is a backend over HTTP/1.1 that runs each request after its last byte and answers it with a body of its own.
type Backend struct {
	Name string
	lab  *Lab
	ln   net.Listener
	mu   sync.Mutex
	runs map[string]int // by id of the request
	hung atomic.Bool
}

// NewBackend starts a backend that takes runTime for a request.
func (l *Lab) NewBackend(name string, runTime time.Duration) (*Backend, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{Name: name, lab: l, ln: ln, runs: map[string]int{}}
	go http.Serve(hangingListener{ln, b}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Correlation-Id")
		if id == "" {
			http.NotFound(w, r)
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.runs[id]++
		b.mu.Unlock()
		l.Record("%s runs %s, %d bytes", name, id, n)
		time.Sleep(runTime)
		fmt.Fprintf(w, "%s ran %s with %d bytes\n", name, id, n)
	}))
	return b, nil
}

// Address returns the backend's address.
func (b *Backend) Address() string { return b.ln.Addr().String() }

// Runs returns how often the backend has run each request.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := map[string]int{}
	for id, n := range b.runs {
		all[id] = n
	}
	return all
}

// freight are settings with the classes, deadlines and windows of the users' second deployment; the drain grace is 250 ms.
const freight = `{
 "Balancers": 3, "Me": 0, "Zone": 0,
 "Dcs": ["dc-burnaby", "dc-surrey", "dc-richmond"], "Kinds": ["std-2core", "small-1core"],
 "Contract": {"ColdFrom": 0.3, "DrainGraceMs": 250, "FallMs": 1500, "FallMultiple": 3, "GraceToAnswerMs": 20, "RampTimeMs": 8600},
 "MembershipMode": "automatic",
 "PolicyLimits": {"Cancel": true, "ConnectTimeoutMs": 500, "IdleCloseMs": 10000, "MaxRetryAfterMs": 750, "RetryAfter": true, "SecondCopies": true, "TryLimit": 6},
 "Prices": {"CrossZone": 0.018},
 "Profiles": [
  {"AimMs": 1500, "DeadlineMs": 5000, "Group": "all", "LateValue": 0, "Name": "lookup", "Semantics": "repeatable", "WindowMs": 0, "Worth": 5},
  {"AimMs": 1500, "DeadlineMs": 8000, "Group": "zone", "LateValue": 0, "Name": "book", "Semantics": "by_key", "WindowMs": 15000, "Worth": 5},
  {"AimMs": 2000, "DeadlineMs": 6000, "Group": "cell", "LateValue": 0, "Name": "manifest", "Semantics": "by_key", "WindowMs": 12000, "Worth": 10}],
 "Report": {"Fields": [], "Source": "off"}, "TickMs": 0}`

// Freight replaces the settings by those of the users' second deployment.
func (c *Config) Freight() { c.Settings = json.RawMessage(freight) }

// Hang makes the backend hang: it reads and answers nothing more, on open and on new connections.
func (b *Backend) Hang() {
	b.lab.Record("%s hangs", b.Name)
	b.hung.Store(true)
}

// hangingListener accepts connections of a backend.
type hangingListener struct {
	net.Listener
	backend *Backend
}

func (l hangingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return hangingConn{c, l.backend}, err
}

// hangingConn is a connection of a backend. Once the backend hangs, nothing is read from it or written to it.
type hangingConn struct {
	net.Conn
	backend *Backend
}

func (c hangingConn) Read(p []byte) (int, error) {
	if c.backend.hung.Load() {
		select {} // until the case ends
	}
	return c.Conn.Read(p)
}

func (c hangingConn) Write(p []byte) (int, error) {
	if c.backend.hung.Load() {
		select {}
	}
	return c.Conn.Write(p)
}
