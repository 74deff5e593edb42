// Package seat drives internal/duty: a seat of the agreement (go.etcd.io/raft with internal/duty/store under it), and the
// clerk, an agent's side that asks the seats. TCP between them, framed and bounded, on a port of its own.
//
// A Seat is owned by one goroutine (Run): agreement, store, table. Lines to others have two goroutines each and hand
// over what comes as functions on an inbox; what is sent is queued and lost beyond a bound. A disk that fails or can't be
// trusted ends the seat's vote and nothing else: Report says which file and why, the agent goes on serving.
package seat

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"lemonrail/internal/duty"
	"lemonrail/internal/duty/store"
)

const (
	electionTicks  = 10
	heartbeatTicks = 2
	inboxSize      = 1024
	waitingMost    = 4096 // commands whose answers are owed
	checkInEvery   = 200 * time.Millisecond
	keptEntries    = 64 // behind a snapshot, for those that are a little late
	distrusted     = ".distrusted"
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
	o     Options
	ln    net.Listener
	begun time.Time
	inbox chan func()
	ended chan struct{}
	lines sync.WaitGroup

	dialers map[string]*dialer // to the other seats, by name
	mu      sync.Mutex
	open    map[*line]bool // that others opened

	st       *store.Store
	seating  *duty.Seating
	decision duty.Decision
	fault    error // why it doesn't vote; nil: it may
	rn       *raft.RawNode
	conf     *pb.ConfState
	applied  uint64
	table    *duty.Table
	grantor  *duty.Grantor
	leads    bool
	leader   uint64
	seats    map[uint64]string // that sit
	initial  map[uint64]string
	came     map[string]uint64 // identities that ask to sit, by seat
	promised map[uint64]duty.Promise
	via      map[uint64]string // where messages of identities come from: one that joins knows of no seats yet
	waiting  map[string][]func(duty.Answer)
	owed     int
	seated   bool          // who sits has changed since the last snapshot
	changing time.Duration // when a change of seats was last asked for
	defined  time.Duration
	lastTurn time.Duration
	lastAsk  time.Duration

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
	s := &Seat{o: o, ln: o.Listener, begun: time.Now(), inbox: make(chan func(), inboxSize), ended: make(chan struct{}), dialers: map[string]*dialer{}, open: map[*line]bool{},
		table: duty.NewTable(), grantor: duty.NewGrantor(duty.Clocks{Drift: o.Settings.Drift}), seats: map[uint64]string{}, came: map[string]uint64{},
		promised: map[uint64]duty.Promise{}, via: map[uint64]string{}, waiting: map[string][]func(duty.Answer){}}
	if s.ln == nil && o.Now == nil {
		var err error
		if s.ln, err = net.Listen("tcp", addr.String()); err != nil {
			return nil, fmt.Errorf("duties: %w", err)
		}
	}
	mine := hello{magic, o.Settings.Fleet, o.Name}
	for _, p := range o.Settings.seats {
		if p.name != o.Name {
			s.dialers[p.name] = &dialer{addr: p.addr.String(), mine: mine, heard: s.heard, bad: s.garbled}
		}
	}
	return s, nil
}

func (s *Seat) garbled(err error) {
	s.bad.Add(1)
	s.o.Log.Debug("duties", "err", err)
}

func (s *Seat) openStore() {
	st, empty, err := store.Open(s.o.FS, newID(s.o.Rand))
	if err != nil {
		s.distrust(err)
		return
	}
	s.st, s.fault = st, nil
	has, hard := st.State(), st.Hard()
	c := duty.SeatingConfig{Name: s.o.Name, Seats: s.o.Settings.names(), Voters: s.o.Settings.Voters, ID: st.ID(), Empty: st.Empty(),
		Has: duty.Promise{Term: has.Term, Index: has.Index, Voted: hard.GetTerm()}, Vote: hard.GetVote()}
	s.seating = duty.NewSeating(c, s.now())
	s.decision = duty.Decision{Start: duty.Wait, Why: "nobody was heard yet"}
	s.o.Log.Info("seat", "identity", fmt.Sprintf("%016x", st.ID()), "new", empty, "term", has.Term, "entry", has.Index)
}

// newRand is a source that nobody can foretell.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func newID(rng *rand.Rand) uint64 {
	for {
		if id := rng.Uint64() >> 1; id != raft.None {
			return id
		}
	}
}

// distrust ends the vote: the disk failed, or what it holds can't be trusted.
func (s *Seat) distrust(err error) {
	s.fault, s.rn, s.leads, s.seating = err, nil, false, nil
	s.grantor.Follow()
	s.gLeads.Store(0)
	s.gVotes.Store(0)
	s.o.Log.Error("this seat does not vote", "err", err)
}

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
	defer func() {
		cancel()
		close(s.ended)
		s.ln.Close()
		s.mu.Lock()
		for l := range s.open {
			l.close()
		}
		s.mu.Unlock()
		s.lines.Wait()
		if s.st != nil {
			s.st.Close()
		}
	}()
	s.openStore()
	s.lines.Go(func() { s.accept(inner) })
	for _, d := range s.dialers {
		s.lines.Go(func() { d.run(inner, rand.Float64) })
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
		s.guarded(func() { s.turn(ticked) })
	}
}

// guarded has a panic of the agreement end the seat's vote, and not the agent.
func (s *Seat) guarded(f func()) {
	defer func() {
		if r := recover(); r != nil {
			s.distrust(fmt.Errorf("the agreement panicked: %v", r))
		}
	}()
	f()
}

func (s *Seat) accept(ctx context.Context) {
	mine := hello{magic, s.o.Settings.Fleet, s.o.Name}
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return
			}
			time.Sleep(20 * time.Millisecond) // out of descriptors
			continue
		}
		l := newLine(conn)
		s.mu.Lock()
		full := len(s.open) >= connsMost
		if !full {
			s.open[l] = true
		}
		s.mu.Unlock()
		if full {
			conn.Close()
			continue
		}
		s.lines.Go(func() {
			if err := l.run(ctx, mine, s.heard); errors.Is(err, errFrame) {
				s.garbled(err)
			}
			s.mu.Lock()
			delete(s.open, l)
			s.mu.Unlock()
		})
	}
}

// turn does what is due.
func (s *Seat) turn(ticked bool) {
	now := s.now()
	if gap := now - s.lastTurn; s.lastTurn > 0 && gap > electionTicks*s.o.Settings.tick() && s.leads {
		s.grantor.Lead(now, s.table) // it was stopped: what ran out meanwhile may have been renewed elsewhere
	}
	s.lastTurn = now
	if s.fault != nil {
		return
	}
	if s.rn == nil {
		s.begin(now)
		return
	}
	if ticked {
		s.rn.Tick()
	}
	if s.seats[s.st.ID()] == "" && now-s.lastAsk >= checkInEvery { // it is to be let in
		s.lastAsk = now
		s.tellAll(frameJoin)
	}
	s.ready()
	if s.rn != nil && s.leads {
		s.lead(now)
		s.ready()
	}
}

// tellAll sends the other seats who this one is, in the settings' order.
func (s *Seat) tellAll(k frameKind) {
	for _, p := range s.o.Settings.seats {
		if d := s.dialers[p.name]; d != nil {
			d.sendJSON(k, checkIn{s.o.Name, s.st.ID()})
		}
	}
}

// begin asks the other seats and does what follows.
func (s *Seat) begin(now time.Duration) {
	if now-s.lastAsk >= checkInEvery || s.lastAsk == 0 {
		s.lastAsk = now
		s.tellAll(frameCheckIn)
	}
	d := s.seating.Decide(now)
	if d.Start != s.decision.Start || d.Why != s.decision.Why {
		s.o.Log.Info("seat", "start", d.Start, "why", d.Why)
	}
	s.decision = d
	var err error
	switch d.Start {
	case duty.Wait:
		return
	case duty.Begin:
		err = s.first(d.Initial)
	case duty.Forget:
		s.forget()
		return
	case duty.Join:
		if !s.st.Empty() { // it was replaced: its old promises are of no use
			s.forget()
			return
		}
	}
	if err == nil {
		err = s.start()
	}
	if err != nil {
		s.distrust(err)
	}
}

// forget puts what is kept away, and has the seat begin with another identity.
func (s *Seat) forget() {
	why := s.decision.Why
	s.st.Close()
	names, err := s.o.FS.List()
	for _, n := range names {
		if err == nil && !isPutAway(n) {
			err = s.o.FS.Rename(n, fmt.Sprintf("%s.%d%s", n, time.Now().UnixNano(), distrusted))
		}
	}
	if err == nil {
		err = s.o.FS.SyncDir()
	}
	if err != nil {
		s.distrust(fmt.Errorf("what is kept can't be put away: %w", err))
		return
	}
	s.o.Log.Warn("what this seat kept is put away", "why", why)
	s.openStore()
}

func isPutAway(name string) bool {
	return len(name) > len(distrusted) && name[len(name)-len(distrusted):] == distrusted
}

// kept is what a snapshot holds.
type kept struct {
	Table   json.RawMessage
	Seats   map[uint64]string
	Initial map[uint64]string
}

func (s *Seat) snapshot() ([]byte, error) {
	raw, err := s.table.Snapshot()
	if err != nil {
		return nil, err
	}
	return json.Marshal(kept{raw, s.seats, s.initial})
}

func (s *Seat) restore(data []byte) error {
	var k kept
	if err := json.Unmarshal(data, &k); err != nil {
		return fmt.Errorf("%w: %w", duty.ErrTable, err)
	}
	t, err := duty.Restore(k.Table)
	if err != nil {
		return err
	}
	s.table, s.seats, s.initial = t, k.Seats, k.Initial
	return nil
}

// first is the beginning of all: the same at all seats that begin.
func (s *Seat) first(initial map[uint64]string) error {
	s.seats, s.initial, s.table = maps.Clone(initial), initial, duty.NewTable()
	data, err := s.snapshot()
	if err != nil {
		return err
	}
	snap := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
		ConfState: &pb.ConfState{Voters: slices.Sorted(maps.Keys(initial))}}}
	return s.st.Save(&pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}, nil, snap)
}

// start takes part, with what is kept.
func (s *Seat) start() error {
	snap, err := s.st.Snapshot()
	if err != nil {
		return err
	}
	if s.applied = snap.GetMetadata().GetIndex(); s.applied > 0 {
		if err := s.restore(snap.GetData()); err != nil {
			return err
		}
		s.conf = snap.GetMetadata().GetConfState()
	}
	rn, err := raft.NewRawNode(&raft.Config{ID: s.st.ID(), ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: s.st, Applied: s.applied,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet{}})
	if err != nil {
		return err
	}
	s.rn = rn
	s.gVotes.Store(1)
	s.o.Log.Info("seat", "sits", len(s.seats), "joins", s.applied == 0)
	return nil
}

// ready carries out what raft wants: kept first, then sent, then carried out.
func (s *Seat) ready() {
	for s.rn != nil && s.rn.HasReady() {
		rd := s.rn.Ready()
		if err := s.st.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
			s.distrust(err)
			return
		}
		if rd.SoftState != nil {
			s.leader = rd.SoftState.Lead
			if leads := rd.SoftState.RaftState == raft.StateLeader; leads != s.leads {
				s.leads = leads
				if leads {
					s.grantor.Lead(s.now(), s.table)
					s.gLeads.Store(1)
				} else {
					s.grantor.Follow()
					s.gLeads.Store(0)
					clear(s.waiting) // who asked asks again
					s.owed = 0
				}
				s.o.Log.Info("seat", "leads", leads)
			}
		}
		for _, m := range rd.Messages {
			s.carry(m)
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := s.restore(rd.Snapshot.GetData()); err != nil {
				s.distrust(err)
				return
			}
			s.applied, s.conf = rd.Snapshot.GetMetadata().GetIndex(), rd.Snapshot.GetMetadata().GetConfState()
		}
		for _, e := range rd.CommittedEntries {
			if err := s.apply(e); err != nil {
				s.distrust(err)
				return
			}
		}
		s.rn.Advance(rd)
	}
	if s.rn != nil && (s.st.Due() && s.applied > keptEntries || s.seated) {
		s.seated = false
		data, err := s.snapshot()
		if err == nil {
			err = s.st.Compact(s.applied, s.conf, data)
		}
		if err != nil {
			s.distrust(err)
		}
	}
}

// carry sends a message of the agreement.
func (s *Seat) carry(m *pb.Message) {
	name := s.seats[m.GetTo()]
	if name == "" {
		for n, id := range s.came {
			if id == m.GetTo() {
				name = n
			}
		}
	}
	if name == "" {
		name = s.via[m.GetTo()]
	}
	raw, err := proto.Marshal(m)
	sent := false
	if d := s.dialers[name]; err == nil && d != nil {
		sent = d.send(frameRaft, raw)
	}
	if m.GetType() == pb.MsgSnap {
		status := raft.SnapshotFinish
		if !sent {
			status = raft.SnapshotFailure
		}
		s.rn.ReportSnapshot(m.GetTo(), status)
	}
	if !sent {
		s.rn.ReportUnreachable(m.GetTo())
	}
}

// change is what a change of seats says beside raft's own words.
type change struct {
	Out, In uint64
	Name    string
}

func (s *Seat) apply(e *pb.Entry) error {
	if e.GetIndex() <= s.applied {
		return nil
	}
	s.applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryConfChangeV2:
		cc := &pb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		s.conf = s.rn.ApplyConfChange(cc)
		if len(cc.GetContext()) > 0 {
			var c change
			if err := json.Unmarshal(cc.GetContext(), &c); err != nil {
				return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
			}
			delete(s.seats, c.Out)
			s.seats[c.In] = c.Name
			s.seated = true // one that has nothing takes only a snapshot in which it sits
			s.o.Log.Info("seat", "comes", c.Name, "identity", fmt.Sprintf("%016x", c.In), "goes", fmt.Sprintf("%016x", c.Out))
		}
	case pb.EntryNormal:
		if len(e.GetData()) == 0 { // a leader's first
			return nil
		}
		c, err := duty.ParseCommand(e.GetData())
		if err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		a := s.table.Apply(c)
		s.grantor.Applied(s.now(), &c, s.table)
		s.answer(&c, a)
	}
	return nil
}

func key(agent, name string, id uint64) string { return fmt.Sprintf("%s\x00%s\x00%d", agent, name, id) }

func (s *Seat) answer(c *duty.Command, a duty.Answer) {
	if c.ID == 0 {
		return
	}
	k := key(c.Agent, c.Duty, c.ID)
	for _, f := range s.waiting[k] {
		f(a)
		s.owed--
	}
	delete(s.waiting, k)
}

// lead does what the seat that leads does: ends leases, defines duties, replaces seats.
func (s *Seat) lead(now time.Duration) {
	for _, c := range s.grantor.Due(now) {
		s.propose(&c)
	}
	if now-s.defined >= time.Second {
		s.defined = now
		for _, spec := range s.o.Settings.specs {
			d, known := s.table.Duty(spec.Name)
			if !known || d.Lease != spec.Lease || d.Zone != spec.Zone || !slices.Equal(d.Eligible, spec.Eligible) {
				s.propose(&duty.Command{Kind: duty.Define, Duty: spec.Name, Spec: spec})
			}
		}
		s.replace(now)
	}
}

func (s *Seat) replace(now time.Duration) {
	if now-s.changing < 5*time.Second && s.changing > 0 || len(s.conf.GetVotersOutgoing()) > 0 {
		return
	}
	var dead map[string]time.Duration
	lives := map[string]bool{}
	if s.o.Members != nil {
		dead, lives = s.o.Members()
	}
	after := time.Duration(s.o.Settings.ReplaceS * float64(time.Second))
	if after == 0 {
		after = 1 << 62
	}
	out, in, name := duty.Replace(s.seats, s.o.Settings.names(), s.came, dead, lives, after)
	if in == 0 {
		return
	}
	s.changing = now
	raw, err := json.Marshal(change{out, in, name})
	if err != nil {
		return
	}
	add, remove := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode
	auto := pb.ConfChangeTransitionAuto
	if err := s.rn.ProposeConfChange(&pb.ConfChangeV2{Transition: &auto, Context: raw, Changes: []*pb.ConfChangeSingle{
		{Type: &add, NodeId: proto.Uint64(in)}, {Type: &remove, NodeId: proto.Uint64(out)}}}); err != nil {
		s.o.Log.Warn("a seat is not replaced", "seat", name, "err", err)
	}
}

func (s *Seat) propose(c *duty.Command) bool {
	raw, err := c.Bytes()
	return err == nil && s.rn.Propose(raw) == nil
}

// ---- What others send ----

// checkIn is what a seat that begins asks with.
type checkIn struct {
	Seat string
	ID   uint64
}

// asked is a command on its way to a seat; answered what came of it, or where to ask.
type asked struct{ Command duty.Command }

type answered struct {
	Agent  string
	Answer duty.Answer
	Asked  bool   // it was the one that leads
	Leader string // seat; empty: not known
}

// shown is the table as a seat has it.
type shown struct {
	Seat   string
	Leader string
	Leads  bool
	Duties []duty.Duty
}

// heard takes a frame; it is called by the lines' goroutines.
func (s *Seat) heard(l *line, k frameKind, content []byte) {
	switch k {
	case frameRaft:
		m := &pb.Message{}
		if err := proto.Unmarshal(content, m); err != nil {
			s.garbled(fmt.Errorf("%w: %w", errFrame, err))
			l.close()
			return
		}
		s.post(func() { s.guarded(func() { s.step(l.name, m) }) })
	case frameCheckIn:
		var c checkIn
		if s.parse(l, content, &c) {
			s.post(func() { l.sendJSON(frameCheckedIn, s.checkedIn(c.ID)) })
		}
	case frameCheckedIn:
		var c duty.CheckIn
		if s.parse(l, content, &c) {
			s.post(func() {
				if s.seating != nil && s.rn == nil {
					s.seating.Heard(c)
				}
			})
		}
	case frameJoin:
		var c checkIn
		if s.parse(l, content, &c) && c.Seat == l.name {
			s.post(func() { s.came[c.Seat] = c.ID })
		}
	case frameAsk:
		var a asked
		if s.parse(l, content, &a) {
			s.post(func() { s.ask(l, a.Command) })
		}
	case frameLook:
		s.post(func() { l.sendJSON(frameTable, s.show()) })
	}
}

func (s *Seat) parse(l *line, content []byte, into any) bool {
	if err := json.Unmarshal(content, into); err != nil {
		s.garbled(fmt.Errorf("%w: %w", errFrame, err))
		l.close()
		return false
	}
	return true
}

func (s *Seat) step(from string, m *pb.Message) {
	if s.rn == nil || m.GetTo() != s.st.ID() {
		return
	}
	if n := s.seats[m.GetFrom()]; n != "" && n != from || n == "" && len(s.seats) > 0 && s.came[from] != m.GetFrom() {
		return // it doesn't sit, or not there
	}
	if raft.IsLocalMsg(m.GetType()) || m.GetType() == pb.MsgProp {
		return
	}
	if len(s.via) < seatsMost {
		s.via[m.GetFrom()] = from
	}
	p := s.promised[m.GetFrom()]
	switch {
	case m.GetTerm() > p.Term && m.GetType() != pb.MsgPreVote && m.GetType() != pb.MsgPreVoteResp:
		p.Term, p.Index = m.GetTerm(), 0
	}
	switch {
	case m.GetType() == pb.MsgAppResp && !m.GetReject() && m.GetTerm() == p.Term:
		p.Index = max(p.Index, m.GetIndex())
	case m.GetType() == pb.MsgApp && m.GetTerm() == p.Term: // whoever leads keeps an entry before it sends it, and counts itself
		p.Index = max(p.Index, m.GetIndex()+uint64(len(m.GetEntries())))
	case m.GetType() == pb.MsgVoteResp && !m.GetReject():
		p.Voted = max(p.Voted, m.GetTerm())
	}
	s.promised[m.GetFrom()] = p
	if err := s.rn.Step(m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) {
		s.o.Log.Debug("duties", "err", err)
	}
}

func (s *Seat) checkedIn(id uint64) duty.CheckIn {
	c := duty.CheckIn{Seat: s.o.Name, Sits: s.rn != nil && len(s.seats) > 0, Seats: s.seats, Initial: s.initial, Promised: s.promised[id]}
	if s.st != nil {
		c.ID, c.Empty = s.st.ID(), s.st.Empty()
	}
	return c
}

func (s *Seat) leaderName() string {
	if s.rn == nil || s.leader == raft.None {
		return ""
	}
	return s.seats[s.leader]
}

func (s *Seat) ask(l *line, c duty.Command) {
	reply := func(a duty.Answer, led bool) {
		l.sendJSON(frameAnswer, answered{c.Agent, a, led, s.leaderName()})
	}
	if s.rn == nil || !s.leads || s.owed >= waitingMost {
		reply(duty.Answer{ID: c.ID, Duty: c.Duty}, false)
		return
	}
	if c.Kind == duty.Define || c.Kind == duty.Expire { // the seats' own
		return
	}
	if !s.propose(&c) {
		reply(duty.Answer{ID: c.ID, Duty: c.Duty}, false)
		return
	}
	if c.ID != 0 {
		k := key(c.Agent, c.Duty, c.ID)
		s.waiting[k] = append(s.waiting[k], func(a duty.Answer) { reply(a, true) })
		s.owed++
	}
}

func (s *Seat) show() shown {
	return shown{Seat: s.o.Name, Leader: s.leaderName(), Leads: s.leads, Duties: s.table.Duties()}
}

// quiet is raft's log: what it says of itself is the seat's to tell. Its panics stay.
type quiet struct{}

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

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
	r := &SeatReport{Name: s.o.Name, Votes: s.rn != nil, Leads: s.leads, Leader: s.leaderName(), Start: s.decision.Start.String(), Why: s.decision.Why,
		Seats: map[string]string{}, Applied: s.applied, Garbled: s.bad.Load()}
	if s.st != nil {
		r.Identity, r.Term, r.Written, r.Syncs = fmt.Sprintf("%016x", s.st.ID()), s.st.State().Term, s.st.Written, s.st.Syncs
	}
	if s.fault != nil {
		r.Start, r.Why = "distrusted", s.fault.Error()
	}
	for id, name := range s.seats {
		r.Seats[name] = fmt.Sprintf("%016x", id)
	}
	return r
}

// Votes is 1 while the seat takes part. It may be called from any goroutine.
func (s *Seat) Votes() int64 { return s.gVotes.Load() }

// Leads is 1 while it leads. It may be called from any goroutine.
func (s *Seat) Leads() int64 { return s.gLeads.Load() }
