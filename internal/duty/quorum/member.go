// Package quorum runs the quorum that decides who holds a duty: Member is one voter of it
// (internal/replica/voter), Client is an agent's side, which sends commands to the voters and runs the tasks
// of the duties that the agent holds. They talk over TCP (internal/replica/transport), on a port of their own.
//
// A Member is owned by one goroutine (Run), which also owns the voter, the store and the table. Connections pass
// what they receive to it as functions on an inbox; outgoing messages are queued, and dropped when the queue
// is full. A disk that fails or can't be trusted ends the voter's part in the quorum and nothing else: Report
// tells which file and why, and the agent keeps serving.
package quorum

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lemonrail/internal/duty"
	"lemonrail/internal/duty/store"
	"lemonrail/internal/replica/transport"
	"lemonrail/internal/replica/voter"
)

const (
	inboxSize = 1024 // functions that wait for the goroutine of Run
	// How often the leader compares the duties' definitions and the quorum's members with the settings.
	defineInterval = time.Second
)

// Options configure a Member.
type Options struct {
	Settings *Settings
	Name     string // name of the agent, and of its voter
	FS       store.FS
	Listener net.Listener // nil: a listener on the voter's address in the settings
	Log      *slog.Logger
	// Descriptors is called when the number of descriptors that connections to the voter hold changes; nil: nobody counts them.
	Descriptors func(delta int)
	// Members returns the fleet membership's view of agents by name: for how long they have been dead, and
	// which are alive. nil: there is no view, and a member of the quorum is replaced only if it returns under
	// a new identity.
	Members func() (dead map[string]time.Duration, lives map[string]bool)
	Now     func() time.Duration // nil: the monotonic clock
	Rand    *rand.Rand           // for identities; nil: a random source of its own
}

// Member is one voter of the quorum.
type Member struct {
	options   Options
	server    *transport.Server
	startedAt time.Time
	inbox     chan func()                  // functions for the goroutine of Run
	done      chan struct{}                // closed when Run returns
	dialers   map[string]*transport.Dialer // to the other voters, by name

	// The fields below belong to the goroutine of Run.

	voter          *voter.Voter
	table          *duty.Table
	grantor        *duty.Grantor                  // detects expired leases while this voter leads
	waiters        map[string][]func(duty.Answer) // by waiterKey: what to call with the result of a proposed command
	pendingReplies int                            // number of functions in waiters
	lastDefined    time.Duration                  // when the duties' definitions were last compared with the settings
	lastIteration  time.Duration                  // when iterate was last called

	invalidFrames          atomic.Int64 // number of invalid frames and messages received
	leadsGauge, votesGauge atomic.Int64 // 1 while the voter leads, and while it takes part in the quorum; else 0
}

// New listens on the voter's address. Run opens the store, which may be slow.
func New(o Options) (*Member, error) {
	addr, ok := o.Settings.seatAddr(o.Name)
	if !ok {
		return nil, fmt.Errorf("duties: %q is not listed as a seat", o.Name)
	}
	if o.Rand == nil {
		o.Rand = newRand()
	}
	s := &Member{options: o, startedAt: time.Now(), inbox: make(chan func(), inboxSize), done: make(chan struct{}), dialers: map[string]*transport.Dialer{},
		table: duty.NewTable(), grantor: duty.NewGrantor(duty.Clocks{Drift: o.Settings.Drift}), waiters: map[string][]func(duty.Answer){}}
	s.voter = voter.New(voter.Options{Name: o.Name, Candidates: o.Settings.seatNames(), InitialVoters: o.Settings.Voters, FS: o.FS, Log: o.Log, Rand: o.Rand,
		ReplaceAfter: time.Duration(o.Settings.ReplaceS * float64(time.Second)), Liveness: o.Members}, host{s})
	ln := o.Listener
	if ln == nil && o.Now == nil {
		var err error
		if ln, err = net.Listen("tcp", addr.String()); err != nil {
			return nil, fmt.Errorf("duties: %w", err)
		}
	}
	proto := protocol(o.Settings, o.Name)
	s.server = &transport.Server{Listener: ln, Protocol: proto, Handle: s.receive, OnInvalid: s.countInvalid, Descriptors: o.Descriptors}
	for _, p := range o.Settings.seats {
		if p.name != o.Name {
			s.dialers[p.name] = &transport.Dialer{Address: p.addr.String(), Protocol: proto, Handle: s.receive, OnInvalid: s.countInvalid}
		}
	}
	return s, nil
}

// countInvalid counts and logs an invalid frame or message.
func (s *Member) countInvalid(err error) {
	s.invalidFrames.Add(1)
	s.options.Log.Debug("duties", "err", err)
}

// openStore opens the store and reads what the disk holds.
func (s *Member) openStore() { s.voter.Guard(func() { s.voter.Open(s.now()) }) }

// newRand returns a randomly seeded source, whose numbers can't be predicted.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// now returns the time on the voter's clock.
func (s *Member) now() time.Duration {
	if s.options.Now != nil {
		return s.options.Now()
	}
	return time.Since(s.startedAt)
}

// post passes f to the goroutine of Run, and blocks while the inbox is full.
func (s *Member) post(f func()) {
	select {
	case s.inbox <- f:
	case <-s.done:
	}
}

// Run runs the voter until ctx ends.
func (s *Member) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(ctx)
	var connections sync.WaitGroup
	defer func() {
		cancel()
		close(s.done)
		connections.Wait()
		s.voter.Close()
	}()
	s.openStore()
	connections.Go(func() { s.server.Run(inner) })
	for _, d := range s.dialers {
		connections.Go(func() { d.Run(inner, rand.Float64) })
	}
	tick := time.NewTicker(s.options.Settings.tickInterval())
	defer tick.Stop()
	for {
		ticked := false
		select {
		case f := <-s.inbox:
			f()
		case <-tick.C:
			ticked = true
		case <-ctx.Done():
			return nil
		}
		for queued := len(s.inbox); queued > 0; queued-- {
			(<-s.inbox)()
		}
		s.doDueWork(ticked)
	}
}

// doDueWork advances raft and, at the leader, expires leases and compares the settings. ticked: a raft tick has
// passed. A panic in the voter ends its part in the quorum, and not the agent.
func (s *Member) doDueWork(ticked bool) {
	s.voter.Guard(func() {
		now := s.now()
		if gap := now - s.lastIteration; s.lastIteration > 0 && gap > voter.ElectionTicks*s.options.Settings.tickInterval() && s.voter.Leads() {
			// The process was paused: leases that seem to have expired may have been renewed through another leader.
			s.grantor.StartLeading(now, s.table)
		}
		s.lastIteration = now
		s.voter.Step(now, ticked)
		if s.voter.Leads() {
			s.runLeaderTasks(now)
			s.voter.Advance()
		}
	})
	s.leadsGauge.Store(gauge(s.voter.Leads()))
	s.votesGauge.Store(gauge(s.voter.Voting()))
}

// gauge returns 1 for true and 0 for false.
func gauge(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// runLeaderTasks does the work of the leader: it proposes the end of expired leases and, at every
// defineInterval, the duties' definitions that differ from the settings and the replacement of a dead member
// of the quorum.
func (s *Member) runLeaderTasks(now time.Duration) {
	for _, c := range s.grantor.ExpiredLeases(now) {
		s.propose(&c)
	}
	if now-s.lastDefined < defineInterval {
		return
	}
	s.lastDefined = now
	for _, spec := range s.options.Settings.specs {
		d, known := s.table.Duty(spec.Name)
		if !known || d.Lease != spec.Lease || d.Zone != spec.Zone || !slices.Equal(d.Eligible, spec.Eligible) {
			s.propose(&duty.Command{Kind: duty.Define, Duty: spec.Name, Spec: spec})
		}
	}
	s.voter.ReplaceMember(now)
}

// Report returns the voter's status.
func (s *Member) Report(ctx context.Context) (*MemberReport, error) {
	var r *MemberReport
	done := make(chan struct{})
	select {
	case s.inbox <- func() { r = s.report(); close(done) }:
	case <-ctx.Done():
		return nil, fmt.Errorf("the seat is busy: %w", ctx.Err())
	case <-s.done:
		return nil, ErrStopped
	}
	select {
	case <-done:
		return r, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("the seat is busy: %w", ctx.Err())
	case <-s.done:
		return nil, ErrStopped
	}
}

func (s *Member) report() *MemberReport {
	v := s.voter
	r := &MemberReport{Name: s.options.Name, Votes: v.Voting(), Leads: v.Leads(), Leader: v.Leader(), Start: v.Decision().Start.String(), Why: v.Decision().Why,
		Seats: map[string]string{}, Applied: v.Applied(), Garbled: s.invalidFrames.Load()}
	if st := v.Store(); st != nil {
		r.Identity, r.Term, r.Written, r.Syncs = voter.IdentityText(st.ID()), st.State().Term, st.Written, st.Syncs
	}
	if fault := v.Fault(); fault != nil {
		r.Start, r.Why = "distrusted", fault.Error()
	}
	for id, name := range v.Members() {
		r.Seats[name] = voter.IdentityText(id)
	}
	return r
}

// Votes returns 1 while the voter takes part in the quorum. It may be called from any goroutine.
func (s *Member) Votes() int64 { return s.votesGauge.Load() }

// Leads returns 1 while the voter is the leader. It may be called from any goroutine.
func (s *Member) Leads() int64 { return s.leadsGauge.Load() }
