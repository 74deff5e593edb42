package server

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"lemonrail/internal/configuration"
	"lemonrail/internal/replica"
)

// fakeGroup is an in-memory replicated log of one group. A command proposed at its leader is applied by all
// members at once.
type fakeGroup struct {
	mu         sync.Mutex
	leader     string            // name of the machine that leads the group
	members    map[string]*group // by name of the machine
	epoch      uint64            // raft term
	proposeErr error             // returned by Propose, although the command was applied, as if the outcome were unknown
}

// fakeReplica is one machine's member of a fakeGroup.
type fakeReplica struct {
	name    string // name of the machine
	fake    *fakeGroup
	votes   bool  // the member is a voter
	reads   int   // number of calls of Read
	readErr error // returned by Read at the leader
}

func (r *fakeReplica) Run(ctx context.Context) error { <-ctx.Done(); return nil }

func (r *fakeReplica) Propose(_ context.Context, command []byte) ([]byte, error) {
	r.fake.mu.Lock()
	defer r.fake.mu.Unlock()
	if err := r.notLeader(); err != nil {
		return nil, err
	}
	var result []byte
	for name, member := range r.fake.members {
		if out := member.Apply(r.fake.epoch, command); name == r.name {
			result = out
		}
	}
	return result, r.fake.proposeErr
}

func (r *fakeReplica) Read(context.Context) error {
	r.fake.mu.Lock()
	defer r.fake.mu.Unlock()
	r.reads++
	if err := r.notLeader(); err != nil {
		return err
	}
	return r.readErr
}

// notLeader returns an error unless this member is the leader. A member that doesn't vote doesn't know the
// leader.
func (r *fakeReplica) notLeader() error {
	switch {
	case !r.votes:
		return &replica.NotLeaderError{}
	case r.fake.leader != r.name:
		return &replica.NotLeaderError{Leader: r.fake.leader}
	}
	return nil
}

func (r *fakeReplica) Status(context.Context) (replica.Status, error) {
	r.fake.mu.Lock()
	defer r.fake.mu.Unlock()
	return replica.Status{Name: r.name, Voting: r.votes, Leader: r.fake.leader, Term: r.fake.epoch}, nil
}

// fakeFleet runs the control processes of four machines in one process, with fakeGroup in place of raft and
// disk.
type fakeFleet struct {
	servers   map[string]*Server          // by name of the machine
	http      map[string]*httptest.Server // HTTP servers, by name of the machine
	groups    map[string]*fakeGroup       // by name of the group
	replicas  map[string]*fakeReplica     // by group and machine, such as fleet/a1
	putCounts map[string]int              // number of requests for PutPath, by name of the machine
	mu        sync.Mutex
}

// newFakeFleet starts the machines a1 and a2 of region a and b1 and b2 of region b. b1 leads the group
// region-b; a1 leads fleet and region-a.
func newFakeFleet(t *testing.T) *fakeFleet {
	t.Helper()
	f := &fakeFleet{servers: map[string]*Server{}, http: map[string]*httptest.Server{}, groups: map[string]*fakeGroup{},
		replicas: map[string]*fakeReplica{}, putCounts: map[string]int{}}
	settings := Settings{TickMs: minTickMs, Folder: "unused"}
	listeners := map[string]net.Listener{}
	for _, m := range []MachineConfig{
		{Name: "a1", Region: "a", Groups: map[string]string{"fleet": "x", "region-a": "x", "region-b": "x"}},
		{Name: "a2", Region: "a", Groups: map[string]string{"fleet": "x", "region-a": "x"}},
		{Name: "b1", Region: "b", Groups: map[string]string{"fleet": "x", "region-b": "x", "region-a": "x"}},
		{Name: "b2", Region: "b", Groups: map[string]string{"fleet": "x", "region-b": "x"}},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[m.Name] = listener
		m.Address = listener.Addr().String()
		settings.Machines = append(settings.Machines, m)
	}
	for name, leader := range map[string]string{"fleet": "a1", "region-a": "a1", "region-b": "b1"} {
		f.groups[name] = &fakeGroup{leader: leader, members: map[string]*group{}, epoch: 1}
	}
	for _, m := range settings.Machines {
		f.startMachine(t, settings, m, listeners[m.Name])
	}
	return f
}

func (f *fakeFleet) startMachine(t *testing.T, settings Settings, m MachineConfig, listener net.Listener) {
	settings.Name, settings.Region = m.Name, m.Region
	s := newServer(settings, slog.New(slog.DiscardHandler))
	s.history = &history{log: s.log}
	for name := range m.Groups {
		g := newGroup(name, s.history, s.log)
		member := &fakeReplica{name: m.Name, fake: f.groups[name], votes: true}
		g.replica = member
		s.groups[name] = g
		f.groups[name].members[m.Name] = g
		f.replicas[name+"/"+m.Name] = member
	}
	s.ready.Store(true)
	handler := s.handler()
	web := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == configuration.PutPath {
			f.mu.Lock()
			f.putCounts[m.Name]++
			f.mu.Unlock()
		}
		handler.ServeHTTP(w, r)
	}))
	web.Listener.Close()
	web.Listener = listener
	web.Start()
	t.Cleanup(func() {
		s.peers.CloseIdleConnections()
		web.CloseClientConnections()
		web.Close()
	})
	f.servers[m.Name], f.http[m.Name] = s, web
}

func (f *fakeFleet) address(name string) string { return f.http[name].Listener.Addr().String() }

// putCalls returns how many requests for PutPath a machine has received.
func (f *fakeFleet) putCalls(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.putCounts[name]
}

var (
	testRegionA = configuration.Scope{Level: configuration.LevelRegion, Region: "a"}
	testPlace   = configuration.Place{Agent: "n1", Region: "a", Zone: "z1", Service: "search"}
)

// testChange returns a change that sets limits.attempts.
func testChange(id string, scope configuration.Scope, base uint64, attempts int) configuration.Change {
	document := fmt.Sprintf(`{"format":1,"limits":{"attempts":%d}}`, attempts)
	return configuration.Change{ID: id, Scope: scope, Base: base, Document: []byte(document), Author: "test", Reason: "test"}
}
