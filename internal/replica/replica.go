// Package replica keeps a state machine the same at all members of a group, by raft over TCP. Package voter drives raft and
// the store, package transport carries the messages.
//
// A leader proposes a command only after a majority has confirmed that it follows this leader (a read index). If the
// majority is missing, the command is refused with ErrNoQuorum and no log contains it. If the majority is lost between
// the confirmation and the commit, the outcome is unknown. Commands should carry an ID of their own, so that they can be
// sent again.
//
// If a member's disk has lost log entries or votes that the member had promised to others, the store is quarantined and the
// member returns under a new raft identity. A failed or corrupt disk, or a panic of raft or of the state machine, ends this
// member's vote with a reason (Status), not the process.
//
// The goroutine of Run owns raft, store and state machine. Connections and callers send it functions through a bounded
// inbox.
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
	defaultTick = 50 * time.Millisecond // the raft tick if Options.Tick is 0
	maxMembers  = 7                     // of a group
	inboxSize   = 1024                  // functions that wait for the replica's goroutine
)

// StateMachine is the replicated state of a group. It is called on the replica's goroutine only.
type StateMachine interface {
	// Apply executes a committed command and returns its result. epoch is the raft term of the entry. Apply must be
	// deterministic and can't fail: for an invalid command it returns a result that says so, the same at all members.
	Apply(epoch uint64, command []byte) (result []byte)
	// Snapshot returns the whole state. While it is longer than MaxSnapshotBytes bytes the log isn't compacted.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Member is a voter of a group.
type Member struct {
	Name    string
	Address string // host:port; each group has a port of its own on each machine
}

// Options configure a Replica.
type Options struct {
	Group     string        // connections of another group are refused
	Name      string        // of this member
	Members   []Member      // all voters, the same at all members: 1 to 7, even numbers allowed
	FS        store.FS      // where the log and the votes are stored
	Listener  net.Listener  // nil: New listens on the member's address
	Tick      time.Duration // 0: 50 ms; members elect another leader after at least ten ticks without one
	Machine   StateMachine  // the state to replicate
	OnApplied func()        // optional: called on the replica's goroutine after entries or a snapshot were applied
	Log       *slog.Logger  // nil: nothing is logged

	Now  func() time.Duration // nil: the monotonic clock. If set, the replica is simulated: it opens no listener and can't Run
	Rand *rand.Rand           // source of raft identities; nil: seeded at random
}

// check returns an error if the options are invalid.
func (o *Options) check() error {
	if len(o.Members) < 1 || len(o.Members) > maxMembers {
		return fmt.Errorf("replica: group %q: %d members, must be 1 to %d", o.Group, len(o.Members), maxMembers)
	}
	known := map[string]bool{}
	for i, member := range o.Members {
		if member.Name == "" || known[member.Name] {
			return fmt.Errorf("replica: group %q: member %d: name %q is empty or a duplicate", o.Group, i, member.Name)
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
		return fmt.Errorf("replica: group %q: tick %v must not be negative", o.Group, o.Tick)
	}
	return nil
}

// address returns the address of a member; empty: there is no member of that name.
func (o *Options) address(name string) string {
	for _, member := range o.Members {
		if member.Name == name {
			return member.Address
		}
	}
	return ""
}

// names returns the names of all members, in the order of the options.
func (o *Options) names() []string {
	names := make([]string, 0, len(o.Members))
	for _, member := range o.Members {
		names = append(names, member.Name)
	}
	return names
}

// Replica is one member of a group, with the state machine that it replicates.
type Replica struct {
	options     Options
	log         *slog.Logger
	startedAt   time.Time
	inbox       chan func()                  // functions for the replica's goroutine
	stopped     chan struct{}                // closed when Run returns
	server      *transport.Server            // nil: simulated
	peers       map[string]*transport.Dialer // connections to the other members, by name
	incarnation uint64                       // random number of this process: marks the entries that it proposed

	voter    *voter.Voter // used on the replica's goroutine only, like requests
	requests requests
}

// New opens the member's listener. Run opens its store, which may be slow.
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
	r := &Replica{options: o, log: o.Log.With("group", o.Group), startedAt: time.Now(), inbox: make(chan func(), inboxSize), stopped: make(chan struct{}),
		peers: map[string]*transport.Dialer{}, incarnation: o.Rand.Uint64(), requests: newRequests()}
	r.voter = voter.New(voter.Options{Name: o.Name, Candidates: o.names(), InitialVoters: len(o.Members), FS: o.FS, Log: r.log, Rand: o.Rand}, host{r})
	if err := r.connect(); err != nil {
		return nil, err
	}
	return r, nil
}

// connect opens the listener and creates the dialers to the other members.
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
		r.server = &transport.Server{Listener: listener, Protocol: protocol, Handle: r.receive, OnInvalid: r.logInvalid}
	}
	for _, member := range r.options.Members {
		if member.Name != r.options.Name {
			r.peers[member.Name] = &transport.Dialer{Address: member.Address, Protocol: protocol, Handle: r.receive, OnInvalid: r.logInvalid}
		}
	}
	return nil
}

// now returns the time on the replica's clock.
func (r *Replica) now() time.Duration {
	if r.options.Now != nil {
		return r.options.Now()
	}
	return time.Since(r.startedAt)
}

// electionTimeout is the minimum time without a leader after which members elect another.
func (r *Replica) electionTimeout() time.Duration { return voter.ElectionTicks * r.options.Tick }

// Run drives the replica until ctx ends. It must be called once.
func (r *Replica) Run(ctx context.Context) error {
	if r.server == nil {
		return errors.New("replica: Run was called on a simulated replica")
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
		r.step(ticked)
	}
}

// drainInbox runs the functions that are in the inbox at the time of the call.
func (r *Replica) drainInbox() {
	for queued := len(r.inbox); queued > 0; queued-- {
		r.voter.Guard(<-r.inbox)
	}
}

// open opens the member's store.
func (r *Replica) open() {
	r.voter.Guard(func() { r.voter.Open(r.now()) })
}

// step drops overdue requests, advances raft, sends and applies what that yields, and answers requests.
// ticked: a raft tick has passed.
func (r *Replica) step(ticked bool) {
	r.voter.Guard(func() {
		now, applied := r.now(), r.voter.Applied()
		r.expireRequests(now)
		r.voter.Step(now, ticked)
		if r.voter.Leads() {
			r.voter.ReplaceMember(now)
			r.confirmWaiting()
			r.voter.Advance()
		}
		r.finishReads()
		if r.voter.Applied() != applied && r.options.OnApplied != nil {
			r.options.OnApplied()
		}
	})
}
