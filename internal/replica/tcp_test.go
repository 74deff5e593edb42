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

// group is members over loopback, each on a folder of its own.
type group struct {
	t       *testing.T
	members []Member
	folders []string
	running []*running
	applied chan struct{} // something was applied at some member
}

type running struct {
	replica *Replica
	machine *register
	cancel  context.CancelFunc
	ended   sync.WaitGroup
}

func newGroup(t *testing.T, size int) *group {
	g := &group{t: t, running: make([]*running, size), applied: make(chan struct{}, 1)}
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

func (g *group) start(i int, l net.Listener) {
	g.t.Helper()
	m := newRegister()
	notify := func() {
		select {
		case g.applied <- struct{}{}:
		default:
		}
	}
	r, err := New(Options{Group: "test", Name: g.members[i].Name, Members: g.members, FS: store.Dir(g.folders[i]), Listener: l, Tick: 10 * time.Millisecond, Machine: m, Applied: notify})
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	run := &running{replica: r, machine: m, cancel: cancel}
	run.ended.Go(func() {
		if err := r.Run(ctx); err != nil {
			g.t.Error(err)
		}
	})
	g.running[i] = run
}

func (g *group) stop(i int) {
	if run := g.running[i]; run != nil {
		run.cancel()
		run.ended.Wait()
		g.running[i] = nil
	}
}

// propose has a command carried out at whichever member leads, and returns that one's number. What is waited for is an event: a leader's
// first entry is applied.
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
		case <-time.After(50 * time.Millisecond): // the event may be of before
		}
	}
}

// waitFor returns once a member has applied a command.
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
			if err != nil || !status.Leads || !status.Votes || status.Leader != g.members[leader].Name || len(status.Members) != size || status.Applied == 0 || status.Syncs == 0 || status.Group != "test" {
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
				t.Errorf("a follower was asked: %v", err)
			}
			if err := g.running[other].replica.Read(t.Context()); !errors.As(err, &redirect) {
				t.Errorf("a follower was read: %v", err)
			}
			// The leader goes, another leads; the first one comes back and catches up.
			g.stop(leader)
			second, _ := g.propose(command{ID: "second", New: "2"})
			if second == leader {
				t.Error("one that was stopped leads")
			}
			g.start(leader, nil)
			g.waitFor(leader, "second")
		})
	}
}

// A member that has been stopped answers, and a call whose context has ended says how it stands.
func TestCallsEnd(t *testing.T) {
	g := newGroup(t, 3)
	leader, _ := g.propose(command{ID: "first", New: "1"})
	at := g.running[leader].replica
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := at.Propose(ended, command{ID: "late"}.bytes()); err != nil && (!errors.Is(err, context.Canceled) || !errors.Is(err, ErrNoQuorum) && !errors.Is(err, ErrOutcomeUnknown)) {
		t.Error(err)
	}
	if _, err := at.Propose(t.Context(), make([]byte, CommandLimit+1)); !errors.Is(err, ErrTooLong) {
		t.Error(err)
	}
	for i := range g.running { // no majority is left
		if i != leader {
			g.stop(i)
		}
	}
	if _, err := at.Propose(t.Context(), command{ID: "alone"}.bytes()); !surelyNot(err) {
		t.Errorf("alone: %v", err)
	}
	g.stop(leader)
	if _, err := at.Propose(t.Context(), command{ID: "stopped"}.bytes()); !errors.Is(err, ErrStopped) && !errors.Is(err, ErrNoQuorum) {
		t.Errorf("stopped: %v", err)
	}
	if _, err := at.Status(t.Context()); !errors.Is(err, ErrStopped) {
		t.Errorf("stopped: %v", err)
	}
}

func TestOptionsThatMakeNoSense(t *testing.T) {
	good := func() Options {
		return Options{Group: "g", Name: "m0", Members: []Member{{"m0", "127.0.0.1:0"}}, FS: store.NewFaultyDisk(1), Machine: newRegister(), Now: func() time.Duration { return 0 }}
	}
	if _, err := New(good()); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(o *Options){
		"no members":   func(o *Options) { o.Members = nil },
		"eight":        func(o *Options) { o.Members = make([]Member, 8) },
		"twice":        func(o *Options) { o.Members = append(o.Members, o.Members[0]) },
		"no name":      func(o *Options) { o.Members = []Member{{"", "127.0.0.1:0"}} },
		"no port":      func(o *Options) { o.Members = []Member{{"m0", "127.0.0.1"}} },
		"no member":    func(o *Options) { o.Name = "m1" },
		"no store":     func(o *Options) { o.FS = nil },
		"no machine":   func(o *Options) { o.Machine = nil },
		"a tick below": func(o *Options) { o.Tick = -1 },
	} {
		o := good()
		spoil(&o)
		if _, err := New(o); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
