package replica

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lemonrail/internal/duty/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// group is a group of members over loopback, each with a folder of its own.
type group struct {
	t       *testing.T
	members []Member         // all members, started or not
	folders []string         // of the members' stores
	running []*runningMember // by index of the member; nil: stopped
	applied chan struct{}    // notified after a member has applied entries or a snapshot
}

// runningMember is a started member with its state machine.
type runningMember struct {
	replica *Replica
	machine *register
	cancel  context.CancelFunc
	ended   sync.WaitGroup // done once Run has returned
}

// newGroup starts a group of the given size, which the test's cleanup stops.
func newGroup(t *testing.T, size int) *group {
	g := &group{t: t, running: make([]*runningMember, size), applied: make(chan struct{}, 1)}
	listeners := make([]net.Listener, size)
	for i := range size {
		var err error
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		g.members = append(g.members, Member{Name: fmt.Sprint("m", i), Address: listeners[i].Addr().String()})
		g.folders = append(g.folders, t.TempDir())
	}
	for i, l := range listeners {
		g.start(i, l)
	}
	t.Cleanup(func() {
		for i := range g.running {
			g.stop(i)
		}
	})
	return g
}

// start starts member i on its folder; l nil: it opens its own listener.
func (g *group) start(i int, l net.Listener) {
	g.t.Helper()
	m := newRegister()
	notify := func() {
		select {
		case g.applied <- struct{}{}:
		default:
		}
	}
	r, err := New(Options{Group: "test", Name: g.members[i].Name, Members: g.members, FS: store.Dir(g.folders[i]), Listener: l, Tick: 10 * time.Millisecond, Machine: m, OnApplied: notify})
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	run := &runningMember{replica: r, machine: m, cancel: cancel}
	run.ended.Go(func() {
		if err := r.Run(ctx); err != nil {
			g.t.Error(err)
		}
	})
	g.running[i] = run
}

// stop ends member i and waits for it.
func (g *group) stop(i int) {
	if run := g.running[i]; run != nil {
		run.cancel()
		run.ended.Wait()
		g.running[i] = nil
	}
}

// propose retries a command at all running members until the leader has executed it, and returns the leader's index.
// Between rounds it waits for a member to apply an entry, since a new leader's first entry ends the time without a leader.
func (g *group) propose(c command) (leader int, result string) {
	g.t.Helper()
	for {
		for i, run := range g.running {
			if run == nil {
				continue
			}
			raw, err := run.replica.Propose(g.t.Context(), c.bytes())
			if err == nil {
				return i, string(raw)
			}
			var other *NotLeaderError
			if !errors.As(err, &other) && !errors.Is(err, ErrNoQuorum) && !errors.Is(err, ErrOutcomeUnknown) {
				g.t.Fatal(err)
			}
		}
		select {
		case <-g.applied:
		case <-time.After(50 * time.Millisecond): // the notification may have been for an earlier entry
		}
	}
}

// waitFor returns once a member has executed a command.
func (g *group) waitFor(i int, id string) {
	g.t.Helper()
	for {
		run, found := g.running[i], false
		if err := run.replica.Inspect(g.t.Context(), func() { found = slices.Contains(run.machine.Order, id) }); err != nil {
			g.t.Fatal(err)
		}
		if found {
			return
		}
		select {
		case <-g.applied:
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Commands, reads and redirects to the leader work; after the leader's end another member leads, and the old
// one catches up.
func TestGroupOverLoopback(t *testing.T) {
	for _, size := range []int{1, 3, 4} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := newGroup(t, size)
			leader, result := g.propose(command{ID: "first", New: "1"})
			if result != "done" {
				t.Errorf("%q", result)
			}
			at := g.running[leader].replica
			if err := at.Read(t.Context()); err != nil {
				t.Error(err)
			}
			status, err := at.Status(t.Context())
			if err != nil || !status.Leads || !status.Voting || status.Leader != g.members[leader].Name || len(status.Members) != size || status.Applied == 0 || status.Syncs == 0 || status.Group != "test" {
				t.Errorf("%+v, %v", status, err)
			}
			for i := range size {
				g.waitFor(i, "first")
			}
			if size == 1 {
				return
			}
			other := (leader + 1) % size
			var redirect *NotLeaderError
			if _, err := g.running[other].replica.Propose(t.Context(), command{ID: "elsewhere"}.bytes()); !errors.As(err, &redirect) || redirect.Leader != g.members[leader].Name {
				t.Errorf("a command proposed to a follower: %v", err)
			}
			if err := g.running[other].replica.Read(t.Context()); !errors.As(err, &redirect) {
				t.Errorf("a read from a follower: %v", err)
			}
			// The leader stops and another takes over; the first one restarts and catches up.
			g.stop(leader)
			second, _ := g.propose(command{ID: "second", New: "2"})
			if second == leader {
				t.Error("the stopped member leads")
			}
			g.start(leader, nil)
			g.waitFor(leader, "second")
		})
	}
}

// Calls end with an error that states the outcome, also when their context has ended, the majority is gone or the member
// has stopped.
func TestCallsEndWithContextOrMember(t *testing.T) {
	g := newGroup(t, 3)
	leader, _ := g.propose(command{ID: "first", New: "1"})
	at := g.running[leader].replica
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := at.Propose(ended, command{ID: "late"}.bytes()); err != nil && (!errors.Is(err, context.Canceled) || !errors.Is(err, ErrNoQuorum) && !errors.Is(err, ErrOutcomeUnknown)) {
		t.Error(err)
	}
	if _, err := at.Propose(t.Context(), make([]byte, MaxCommandBytes+1)); !errors.Is(err, ErrCommandTooLong) {
		t.Error(err)
	}
	for i := range g.running { // leaves the leader without a majority
		if i != leader {
			g.stop(i)
		}
	}
	if _, err := at.Propose(t.Context(), command{ID: "alone"}.bytes()); !notProposed(err) {
		t.Errorf("without a majority: %v", err)
	}
	g.stop(leader)
	if _, err := at.Propose(t.Context(), command{ID: "stopped"}.bytes()); !errors.Is(err, ErrStopped) && !errors.Is(err, ErrNoQuorum) {
		t.Errorf("Propose at a stopped member: %v", err)
	}
	if _, err := at.Status(t.Context()); !errors.Is(err, ErrStopped) {
		t.Errorf("Status of a stopped member: %v", err)
	}
}

// New refuses each invalid option.
func TestInvalidOptions(t *testing.T) {
	good := func() Options {
		return Options{Group: "g", Name: "m0", Members: []Member{{"m0", "127.0.0.1:0"}}, FS: store.NewFaultyDisk(1), Machine: newRegister(), Now: func() time.Duration { return 0 }}
	}
	if _, err := New(good()); err != nil {
		t.Fatal(err)
	}
	for name, invalidate := range map[string]func(o *Options){
		"no members":    func(o *Options) { o.Members = nil },
		"eight members": func(o *Options) { o.Members = make([]Member, 8) },
		"twice":         func(o *Options) { o.Members = append(o.Members, o.Members[0]) },
		"empty name":    func(o *Options) { o.Members = []Member{{"", "127.0.0.1:0"}} },
		"no port":       func(o *Options) { o.Members = []Member{{"m0", "127.0.0.1"}} },
		"not a member":  func(o *Options) { o.Name = "m1" },
		"no store":      func(o *Options) { o.FS = nil },
		"no machine":    func(o *Options) { o.Machine = nil },
		"negative tick": func(o *Options) { o.Tick = -1 },
	} {
		o := good()
		invalidate(&o)
		if _, err := New(o); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
