// Package replica keeps a state machine the same at all members of a group, by raft over TCP. internal/replica/voter drives raft and the
// store, internal/replica/transport carries the messages.
//
// A leader confirms that a majority follows it (a read index) before it proposes a command: a command that can't be agreed on is
// refused with ErrNoQuorum and nothing of it stands in any log. A majority that is lost between the two leaves the outcome unknown;
// commands should carry an identity of their own, so that one can be sent again.
//
// A disk that forgot what it had promised is put aside, and the member returns under another identity. A disk that fails or is corrupt, or a
// panic of raft or of the state machine, ends this member's vote with a reason (Status), not the process.
//
// A Replica is owned by one goroutine (Run): raft, store and state machine. Connections and callers hand it functions over a
// bounded inbox.
package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"lemonrail/internal/duty/store"
	"lemonrail/internal/replica/transport"
	"lemonrail/internal/replica/voter"
)

const (
	defaultTick = 50 * time.Millisecond
	memberLimit = 7
	inboxSize   = 1024
)

// StateMachine is what the members of a group agree on. It is called on the replica's goroutine only.
type StateMachine interface {
	// Apply carries out a command and returns its result. epoch is the raft term of the entry. It never fails: a bad command has a result
	// that says so, the same at all members.
	Apply(epoch uint64, command []byte) (result []byte)
	// Snapshot returns the whole state, SnapshotLimit bytes at most: while it is longer the log isn't shortened.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot's.
	Restore(snapshot []byte) error
}

// Member is a voter of a group.
type Member struct {
	Name    string
	Address string // host:port, one port a group and machine
}

// Options say what a Replica is made from.
type Options struct {
	Group    string        // members of another group are refused at the hello
	Name     string        // of this member
	Members  []Member      // all voters, the same at all members: 1 to 7, even numbers allowed
	FS       store.FS      // where log and votes are kept
	Listener net.Listener  // nil: on the member's address
	Tick     time.Duration // 0: 50 ms; an election after ten
	Machine  StateMachine
	Applied  func()       // optional: called on the replica's goroutine after entries or a snapshot were applied
	Log      *slog.Logger // nil: none

	Now  func() time.Duration // nil: the monotonic clock. With a clock of its own a replica opens no listener: it is simulated
	Rand *rand.Rand           // for identities; nil: unpredictable
}

// check reports what makes no sense.
func (o *Options) check() error {
	if len(o.Members) < 1 || len(o.Members) > memberLimit {
		return fmt.Errorf("replica: group %q: %d members are not within 1 and %d", o.Group, len(o.Members), memberLimit)
	}
	known := map[string]bool{}
	for i, member := range o.Members {
		if member.Name == "" || known[member.Name] {
			return fmt.Errorf("replica: group %q: member %d: name %q is empty or stands twice", o.Group, i, member.Name)
		}
		if _, _, err := net.SplitHostPort(member.Address); err != nil {
			return fmt.Errorf("replica: group %q: member %q: address: %w", o.Group, member.Name, err)
		}
		known[member.Name] = true
	}
	switch {
	case !known[o.Name]:
		return fmt.Errorf("replica: group %q: %q is not a member", o.Group, o.Name)
	case o.FS == nil || o.Machine == nil:
		return fmt.Errorf("replica: group %q: a store and a state machine are needed", o.Group)
	case o.Tick < 0:
		return fmt.Errorf("replica: group %q: a tick of %v", o.Group, o.Tick)
	}
	return nil
}

// address is a member's; empty: there is none of that name.
func (o *Options) address(name string) string {
	for _, member := range o.Members {
		if member.Name == name {
			return member.Address
		}
	}
	return ""
}

func (o *Options) names() []string {
	names := make([]string, 0, len(o.Members))
	for _, member := range o.Members {
		names = append(names, member.Name)
	}
	return names
}

// Replica is a member of a group.
type Replica struct {
	options Options
	log     *slog.Logger
	began   time.Time
	inbox   chan func()
	stopped chan struct{}
	server  *transport.Server            // nil: simulated
	peers   map[string]*transport.Dialer // the other members, by name
	life    uint64                       // of this process: tells own entries from those of an earlier life

	voter    *voter.Voter // belongs to the replica's goroutine, as the requests do
	requests requests
}

// New opens the member's address. Run opens its store, which may be slow.
func New(o Options) (*Replica, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Tick == 0 {
		o.Tick = defaultTick
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	r := &Replica{options: o, log: o.Log.With("group", o.Group), began: time.Now(), inbox: make(chan func(), inboxSize), stopped: make(chan struct{}),
		peers: map[string]*transport.Dialer{}, life: o.Rand.Uint64(), requests: newRequests()}
	r.voter = voter.New(voter.Options{Name: o.Name, Candidates: o.names(), Voters: len(o.Members), FS: o.FS, Log: r.log, Rand: o.Rand}, host{r})
	if err := r.connect(); err != nil {
		return nil, err
	}
	return r, nil
}

// connect opens the listener and makes the dialers.
func (r *Replica) connect() error {
	protocol := r.protocol()
	if r.options.Now == nil {
		listener := r.options.Listener
		if listener == nil {
			var err error
			if listener, err = net.Listen("tcp", r.options.address(r.options.Name)); err != nil {
				return fmt.Errorf("replica: group %q: %w", r.options.Group, err)
			}
		}
		r.server = &transport.Server{Listener: listener, Protocol: protocol, Handle: r.receive, Invalid: r.invalid}
	}
	for _, member := range r.options.Members {
		if member.Name != r.options.Name {
			r.peers[member.Name] = &transport.Dialer{Address: member.Address, Protocol: protocol, Handle: r.receive, Invalid: r.invalid}
		}
	}
	return nil
}

func (r *Replica) now() time.Duration {
	if r.options.Now != nil {
		return r.options.Now()
	}
	return time.Since(r.began)
}

// electionTimeout is the least time without a leader after which members elect another.
func (r *Replica) electionTimeout() time.Duration { return voter.ElectionTicks * r.options.Tick }

// Run drives the replica until ctx ends. It is called once.
func (r *Replica) Run(ctx context.Context) error {
	if r.server == nil {
		return errors.New("replica: a simulated one doesn't run")
	}
	inner, cancel := context.WithCancel(ctx)
	finished := r.serve(inner)
	defer func() {
		cancel()
		close(r.stopped)
		<-finished
		r.voter.Close()
	}()
	r.open()
	ticker := time.NewTicker(r.options.Tick)
	defer ticker.Stop()
	for {
		ticked := false
		select {
		case f := <-r.inbox:
			r.voter.Guard(f)
		case <-ticker.C:
			ticked = true
		case <-ctx.Done():
			return nil
		}
		r.drainInbox()
		r.turn(ticked)
	}
}

// drainInbox carries out what is in the inbox now.
func (r *Replica) drainInbox() {
	for queued := len(r.inbox); queued > 0; queued-- {
		r.voter.Guard(<-r.inbox)
	}
}

// open reads what the disk holds.
func (r *Replica) open() {
	r.voter.Guard(func() { r.voter.Open(r.now()) })
}

// turn does what is due.
func (r *Replica) turn(ticked bool) {
	r.voter.Guard(func() {
		now, applied := r.now(), r.voter.Applied()
		r.expireRequests(now)
		r.voter.Turn(now, ticked)
		if r.voter.Leads() {
			r.voter.ReplaceMember(now)
			r.confirmWaiting()
			r.voter.Advance()
		}
		r.finishReads()
		if r.voter.Applied() != applied && r.options.Applied != nil {
			r.options.Applied()
		}
	})
}
