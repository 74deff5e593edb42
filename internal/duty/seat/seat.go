// Package seat drives internal/duty: a seat of the agreement (internal/replica/voter), and the client, an agent's side that asks
// the seats. TCP between them (internal/replica/transport), on a port of its own.
//
// A Seat is owned by one goroutine (Run): agreement, store, table. Connections hand over what comes as functions on an inbox;
// what is sent is queued and lost beyond a bound. A disk that fails or can't be trusted ends the seat's vote and nothing else:
// Report says which file and why, the agent goes on serving.
package seat

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
	inboxSize   = 1024
	defineEvery = time.Second // that the seat that leads looks at the duties' definitions and at who sits
)

// Options say what a Seat is made from.
type Options struct {
	Settings *Settings
	Name     string // of the agent, and of its seat
	FS       store.FS
	Listener net.Listener // nil: on the seat's address
	Log      *slog.Logger
	// Members says what the fleet's view holds of agents by name: for how long they have been dead, and which live.
	// nil: there is no view, and no seat is replaced but one that comes back under another identity.
	Members func() (dead map[string]time.Duration, lives map[string]bool)
	Now     func() time.Duration // nil: the monotonic clock
	Rand    *rand.Rand           // for identities; nil: one of its own
}

// Seat is one of those that agree.
type Seat struct {
	o       Options
	server  *transport.Server
	begun   time.Time
	inbox   chan func()
	ended   chan struct{}
	dialers map[string]*transport.Dialer // to the other seats, by name

	// All below belongs to the goroutine of Run.

	voter    *voter.Voter
	table    *duty.Table
	grantor  *duty.Grantor
	waiting  map[string][]func(duty.Answer)
	owed     int
	defined  time.Duration
	lastTurn time.Duration

	bad            atomic.Int64
	gLeads, gVotes atomic.Int64
}

// New opens a seat's address; Run opens its store, which may be slow.
func New(o Options) (*Seat, error) {
	addr, ok := o.Settings.seat(o.Name)
	if !ok {
		return nil, fmt.Errorf("duties: %q has no seat", o.Name)
	}
	if o.Rand == nil {
		o.Rand = newRand()
	}
	s := &Seat{o: o, begun: time.Now(), inbox: make(chan func(), inboxSize), ended: make(chan struct{}), dialers: map[string]*transport.Dialer{},
		table: duty.NewTable(), grantor: duty.NewGrantor(duty.Clocks{Drift: o.Settings.Drift}), waiting: map[string][]func(duty.Answer){}}
	s.voter = voter.New(voter.Options{Name: o.Name, Candidates: o.Settings.names(), Voters: o.Settings.Voters, FS: o.FS, Log: o.Log, Rand: o.Rand,
		ReplaceAfter: time.Duration(o.Settings.ReplaceS * float64(time.Second)), Liveness: o.Members}, host{s})
	ln := o.Listener
	if ln == nil && o.Now == nil {
		var err error
		if ln, err = net.Listen("tcp", addr.String()); err != nil {
			return nil, fmt.Errorf("duties: %w", err)
		}
	}
	mine := protocol(o.Settings, o.Name)
	s.server = &transport.Server{Listener: ln, Protocol: mine, Handle: s.receive, Invalid: s.invalid}
	for _, p := range o.Settings.seats {
		if p.name != o.Name {
			s.dialers[p.name] = &transport.Dialer{Address: p.addr.String(), Protocol: mine, Handle: s.receive, Invalid: s.invalid}
		}
	}
	return s, nil
}

func (s *Seat) invalid(err error) {
	s.bad.Add(1)
	s.o.Log.Debug("duties", "err", err)
}

// openStore reads what the disk holds.
func (s *Seat) openStore() { s.voter.Guard(func() { s.voter.Open(s.now()) }) }

// newRand is a source that nobody can foretell.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (s *Seat) now() time.Duration {
	if s.o.Now != nil {
		return s.o.Now()
	}
	return time.Since(s.begun)
}

// post hands f to Run; it waits while there is no room.
func (s *Seat) post(f func()) {
	select {
	case s.inbox <- f:
	case <-s.ended:
	}
}

// Run drives the seat until ctx ends.
func (s *Seat) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(ctx)
	var connections sync.WaitGroup
	defer func() {
		cancel()
		close(s.ended)
		connections.Wait()
		s.voter.Close()
	}()
	s.openStore()
	connections.Go(func() { s.server.Run(inner) })
	for _, d := range s.dialers {
		connections.Go(func() { d.Run(inner, rand.Float64) })
	}
	tick := time.NewTicker(s.o.Settings.tick())
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
		s.turn(ticked)
	}
}

// turn does what is due. A panic of the agreement ends the seat's vote, and not the agent.
func (s *Seat) turn(ticked bool) {
	s.voter.Guard(func() {
		now := s.now()
		if gap := now - s.lastTurn; s.lastTurn > 0 && gap > voter.ElectionTicks*s.o.Settings.tick() && s.voter.Leads() {
			s.grantor.Lead(now, s.table) // it was stopped: what ran out meanwhile may have been renewed elsewhere
		}
		s.lastTurn = now
		s.voter.Turn(now, ticked)
		if s.voter.Leads() {
			s.lead(now)
			s.voter.Advance()
		}
	})
	s.gLeads.Store(gauge(s.voter.Leads()))
	s.gVotes.Store(gauge(s.voter.Votes()))
}

func gauge(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// lead does what the seat that leads does: ends leases, defines duties, replaces seats.
func (s *Seat) lead(now time.Duration) {
	for _, c := range s.grantor.Due(now) {
		s.propose(&c)
	}
	if now-s.defined < defineEvery {
		return
	}
	s.defined = now
	for _, spec := range s.o.Settings.specs {
		d, known := s.table.Duty(spec.Name)
		if !known || d.Lease != spec.Lease || d.Zone != spec.Zone || !slices.Equal(d.Eligible, spec.Eligible) {
			s.propose(&duty.Command{Kind: duty.Define, Duty: spec.Name, Spec: spec})
		}
	}
	s.voter.ReplaceMember(now)
}

// Report returns how the seat stands.
func (s *Seat) Report(ctx context.Context) (*SeatReport, error) {
	var r *SeatReport
	done := make(chan struct{})
	select {
	case s.inbox <- func() { r = s.report(); close(done) }:
	case <-ctx.Done():
		return nil, fmt.Errorf("the seat is busy: %w", ctx.Err())
	case <-s.ended:
		return nil, ErrEnded
	}
	select {
	case <-done:
		return r, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("the seat is busy: %w", ctx.Err())
	case <-s.ended:
		return nil, ErrEnded
	}
}

func (s *Seat) report() *SeatReport {
	v := s.voter
	r := &SeatReport{Name: s.o.Name, Votes: v.Votes(), Leads: v.Leads(), Leader: v.Leader(), Start: v.Decision().Start.String(), Why: v.Decision().Why,
		Seats: map[string]string{}, Applied: v.Applied(), Garbled: s.bad.Load()}
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

// Votes is 1 while the seat takes part. It may be called from any goroutine.
func (s *Seat) Votes() int64 { return s.gVotes.Load() }

// Leads is 1 while it leads. It may be called from any goroutine.
func (s *Seat) Leads() int64 { return s.gLeads.Load() }
