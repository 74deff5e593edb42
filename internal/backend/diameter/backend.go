// Package diameter makes attempts over Diameter: one kept connection to each server carries many requests
// at a time, up to a window. It connects to servers that the core sends something to, and to no others.
//
// Of each server a mutex guards all state; a reader and a writer goroutine live as long as its connection,
// and a timer wakes the peer state machine. Attempts are written once: one whose message was not written
// whole never ran; one that was written and has no answer when the connection ends may have run.
package diameter

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/core"
	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/relay"
)

// Request is a client's request as the core carries it. Attempts share it.
type Request struct {
	Message *diameter.Message
	From    string       // the client's identity
	tries   atomic.Int32 // attempts written or begun
}

// Config is what a Backend is told.
type Config struct {
	Rules          *relay.Rules
	Identity       string
	Realm          string
	ConnectTimeout time.Duration // for a connection and its capabilities exchange
	Window         int           // attempts on one connection
	Peer           diameter.PeerConfig
	Leaves         func(id string, leaves bool) // a server wants nothing new, or is back; may be nil
	Log            *slog.Logger
}

const (
	writeLimit = time.Second     // a server that does not read for so long has gone
	leaveRest  = 5 * time.Second // before a server that takes leave to restart is connected to again
	leaveLong  = time.Minute     // and one that is busy, or does not want to talk to us
	baseRoom   = 8               // messages of the base protocol that may wait beside a window's requests
)

// Backend implements core.Backend.
type Backend struct {
	cfg   Config
	began time.Time

	mu      sync.Mutex
	servers map[core.Target]*server
	leaving map[*server]bool // taken leave of, with a connection yet
	closed  bool
	wait    sync.WaitGroup
}

// New returns a backend without connections. Close ends it.
func New(cfg Config) *Backend {
	return &Backend{cfg: cfg, began: time.Now(), servers: map[core.Target]*server{}, leaving: map[*server]bool{}}
}

func (b *Backend) now() time.Duration { return time.Since(b.began) + time.Millisecond }

// server is one server: its peer, connection and what is out there.
type server struct {
	b  *Backend
	to core.Target // by the list; where it speaks Diameter is the rules' matter

	mu      sync.Mutex
	peer    *diameter.Peer
	conn    net.Conn
	writes  chan *item
	window  *relay.Window
	out     map[uint64]*attempt
	next    uint64
	opened  chan struct{} // closed while requests may be sent
	open    bool
	timer   *time.Timer
	ids     uint32        // of our own requests
	name    string        // its identity, once it has said so
	leaves  bool          // took leave and has not been back
	shun    time.Duration // no connection before
	stopped bool
	told    chan struct{} // closed when the last Leaves has been told
}

// attempt is one that is out.
type attempt struct {
	no   uint64
	hop  uint32
	it   *item
	done chan core.Response
}

// item is a message on its way to a connection.
type item struct {
	raw   []byte
	state itemState

	permit *core.Permit // nil: of the base protocol
}

type itemState uint8

const (
	queued itemState = iota
	begun            // being written: not whole
	written
	dropped // not to be written any more
)

// server returns the one at an address, nil once the backend has ended.
func (b *Backend) server(to core.Target) *server {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	s := b.servers[to]
	if s == nil {
		seed := rand.Uint64()
		s = &server{b: b, to: to, window: relay.NewWindow(b.cfg.Window, rand.Uint32()), out: map[uint64]*attempt{}, opened: make(chan struct{}),
			ids: rand.Uint32(), peer: diameter.NewPeer(b.cfg.Identity, b.cfg.Peer, rand.New(rand.NewPCG(seed, 0)))}
		b.servers[to] = s
		s.mu.Lock()
		s.step(diameter.Event{Input: diameter.Start})
		s.mu.Unlock()
	}
	return s
}

// Exchange makes one attempt.
func (b *Backend) Exchange(ctx context.Context, p *core.Permit, to core.Target, request any) core.Response {
	r := request.(*Request)
	s := b.server(to)
	if s == nil {
		return core.Response{Result: balance.NotSent}
	}
	back := make(chan struct{})
	if !p.Await(func() { close(back) }) {
		return core.Response{Result: balance.Withdrawn}
	}
	var late <-chan time.Time
	if by := p.By(); !by.IsZero() {
		t := time.NewTimer(time.Until(by))
		defer t.Stop()
		late = t.C
	}
	if res, ok := s.await(ctx, back, late); !ok {
		return core.Response{Result: res}
	}
	a, res := s.send(r, p)
	if a == nil {
		return core.Response{Result: res}
	}
	for {
		select {
		case got := <-a.done:
			return got
		case <-ctx.Done():
			return s.giveUp(ctx, a)
		case <-back:
			if s.withdraw(a) {
				return core.Response{Result: balance.Withdrawn}
			}
			back = nil // it is out
		case <-late:
			if s.withdraw(a) {
				return core.Response{Result: balance.Withdrawn}
			}
			late = nil
		}
	}
}

// Named is the backend whose server has an identity: by the rules, else as the servers said themselves.
func (b *Backend) Named(identity string) (id string, ok bool) {
	if id, ok = b.cfg.Rules.Named(identity); ok {
		return id, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for to, s := range b.servers {
		s.mu.Lock()
		name := s.name
		s.mu.Unlock()
		if strings.EqualFold(name, identity) {
			return to.ID, true
		}
	}
	return "", false
}

// await waits until requests may be sent, for as long as a connection may take.
func (s *server) await(ctx context.Context, back <-chan struct{}, late <-chan time.Time) (balance.Result, bool) {
	s.mu.Lock()
	opened := s.opened
	s.mu.Unlock()
	limit := time.NewTimer(s.b.cfg.ConnectTimeout)
	defer limit.Stop()
	select {
	case <-opened:
		return 0, true
	case <-limit.C:
		return balance.ConnectFailed, false
	case <-back:
		return balance.Withdrawn, false
	case <-late:
		return balance.Withdrawn, false
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return balance.Cancelled, false
		}
		return balance.NotSent, false
	}
}

func (s *server) send(r *Request, p *core.Permit) (*attempt, balance.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open || s.conn == nil {
		return nil, balance.ConnectFailed
	}
	s.next++
	a := &attempt{no: s.next, done: make(chan core.Response, 1)}
	hop, ok := s.window.Send(a.no)
	if !ok {
		return nil, balance.Full // nothing of it has left
	}
	a.hop = hop
	again := r.tries.Add(1) > 1
	raw, err := s.b.cfg.Rules.Onward(r.Message, r.From, hop, again).Append(nil)
	if err != nil {
		s.window.Answer(hop)
		return nil, balance.NotSent
	}
	a.it = &item{raw: raw, permit: p}
	select {
	case s.writes <- a.it:
	default: // the window bounds what waits, so that this is a full window too
		s.window.Answer(hop)
		return nil, balance.Full
	}
	s.out[a.no] = a
	return a, 0
}

// withdraw takes an attempt back whose turn to be written has not come. It reports whether it could.
func (s *server) withdraw(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.it.state != queued && a.it.state != dropped {
		return false
	}
	a.it.state = dropped
	delete(s.out, a.no)
	s.window.Answer(a.hop)
	return true
}

// giveUp ends an attempt whose time is up. A late answer to it finds nobody.
func (s *server) giveUp(ctx context.Context, a *attempt) core.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case got := <-a.done: // it came at the same instant
		return got
	default:
	}
	delete(s.out, a.no)
	s.window.Answer(a.hop)
	if a.it.state == queued || a.it.state == dropped {
		a.it.state = dropped
		return core.Response{Result: balance.NotSent}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return core.Response{Result: balance.Cancelled}
	}
	return core.Response{Result: balance.TimedOut}
}

// step takes an event and carries out what the peer's machine wants. The lock is held.
func (s *server) step(e diameter.Event) {
	for _, act := range s.peer.Step(s.b.now(), e) {
		switch act.Act {
		case diameter.Connect:
			s.connect()
		case diameter.SendCER:
			s.base(s.capabilities())
		case diameter.SendDWR:
			s.base(s.own(diameter.DeviceWatchdog))
		case diameter.SendDPR:
			m := s.own(diameter.DisconnectPeer)
			m.AVPs = append(m.AVPs, diameter.U32(diameter.CodeDisconnectCause, diameter.Rebooting))
			s.base(m)
		case diameter.Disconnect:
			if s.conn != nil {
				s.conn.Close()
			}
		case diameter.Opened, diameter.Failback:
			s.setOpen(true)
			if s.leaves && act.Act == diameter.Opened {
				s.left(false)
			}
		case diameter.Failover, diameter.Lost:
			s.setOpen(false)
		}
	}
	if _, usable := s.peer.Usable(); !usable {
		s.setOpen(false)
	}
	s.wake()
}

func (s *server) setOpen(open bool) {
	switch {
	case open && !s.open:
		close(s.opened)
	case !open && s.open:
		s.opened = make(chan struct{})
	}
	s.open = open
}

// wake has the machine ticked when it wants to be.
func (s *server) wake() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if due := s.peer.Due(); due > 0 && !s.stopped {
		s.timer = time.AfterFunc(max(0, due-s.b.now())+time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.stopped {
				s.step(diameter.Event{Input: diameter.Tick})
			}
		})
	}
}

func (s *server) own(command uint32) *diameter.Message {
	s.ids++
	return &diameter.Message{Flags: diameter.FlagRequest, Command: command, HopByHop: s.ids, EndToEnd: s.ids,
		AVPs: []diameter.AVP{diameter.Str(diameter.CodeOriginHost, s.b.cfg.Identity), diameter.Str(diameter.CodeOriginRealm, s.b.cfg.Realm)}}
}

func (s *server) capabilities() *diameter.Message {
	m := s.own(diameter.CapabilitiesExchange)
	if a, ok := s.conn.LocalAddr().(*net.TCPAddr); ok {
		m.AVPs = append(m.AVPs, diameter.IP(diameter.CodeHostIPAddress, a.AddrPort().Addr().Unmap()))
	}
	m.AVPs = append(m.AVPs, diameter.U32(diameter.CodeVendorID, 0), diameter.Optional(diameter.Str(diameter.CodeProductName, "lemonrail")))
	for _, app := range s.b.cfg.Rules.Applications() {
		m.AVPs = append(m.AVPs, diameter.U32(diameter.CodeAuthApplication, app))
	}
	return m
}

// base queues a message of the base protocol.
func (s *server) base(m *diameter.Message) {
	raw, err := m.Append(nil)
	if err != nil || s.conn == nil {
		return
	}
	select {
	case s.writes <- &item{raw: raw}:
	default:
		s.conn.Close() // it does not read
	}
}

func (s *server) connect() {
	if s.stopped {
		return
	}
	if s.b.now() < s.shun { // the machine waits, longer each time
		s.step(diameter.Event{Input: diameter.ConnFailed})
		return
	}
	s.b.wait.Go(func() {
		conn, err := (&net.Dialer{Timeout: s.b.cfg.ConnectTimeout, KeepAlive: -1}).Dial("tcp4", s.b.cfg.Rules.Address(s.to.ID, s.to.Addr))
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case err != nil:
			s.step(diameter.Event{Input: diameter.ConnFailed})
			return
		case s.stopped:
			conn.Close()
			return
		}
		s.conn = conn
		s.writes = make(chan *item, s.b.cfg.Window+baseRoom)
		ended := make(chan struct{})
		writes := s.writes
		s.b.wait.Go(func() { s.write(conn, writes, ended) })
		s.b.wait.Go(func() {
			s.read(conn)
			close(ended)
			s.gone(conn)
		})
		s.step(diameter.Event{Input: diameter.ConnUp})
	})
}

func (s *server) write(conn net.Conn, writes <-chan *item, ended <-chan struct{}) {
	for {
		var it *item
		select {
		case it = <-writes:
		case <-ended:
			return
		}
		s.mu.Lock()
		if it.state == queued && !it.permit.Begin(nil) {
			it.state = dropped
		}
		skip := it.state == dropped
		if !skip {
			it.state = begun
		}
		s.mu.Unlock()
		if skip {
			continue
		}
		conn.SetWriteDeadline(time.Now().Add(writeLimit))
		_, err := conn.Write(it.raw)
		s.mu.Lock()
		if err == nil {
			it.state = written
		}
		s.mu.Unlock()
		if err != nil {
			conn.Close() // the reader ends, and tells
			return
		}
	}
}

func (s *server) read(conn net.Conn) {
	limits := diameter.DefaultLimits()
	messages := diameter.NewReader(conn, limits)
	for {
		raw, err := messages.Next()
		if err != nil {
			return
		}
		m, err := diameter.Decode(raw, limits)
		if err != nil {
			s.b.cfg.Log.Warn("diameter server sent what can't be read", "server", s.to.ID, "err", err)
			return // what follows can't be trusted to begin where it seems to
		}
		if !s.take(m, raw) {
			return
		}
	}
}

// take reports whether the connection goes on.
func (s *server) take(m *diameter.Message, raw []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	event := func(request, answer diameter.Input) {
		in := answer
		if m.Request() {
			in = request
		}
		if in == diameter.GotDWR || in == diameter.GotDPR {
			a := m.Answer()
			a.AVPs = []diameter.AVP{diameter.U32(diameter.CodeResultCode, diameter.Success),
				diameter.Str(diameter.CodeOriginHost, s.b.cfg.Identity), diameter.Str(diameter.CodeOriginRealm, s.b.cfg.Realm)}
			s.base(a)
		}
		s.step(diameter.Event{Input: in, Side: diameter.Initiator, Result: m.Result()})
	}
	switch {
	case m.Application != diameter.AppBase:
	case m.Command == diameter.CapabilitiesExchange && !m.Request():
		if a := diameter.Find(m.AVPs, diameter.CodeOriginHost, 0); a != nil {
			if name, err := a.Identity(); err == nil && m.Result() == diameter.Success {
				s.name = name
			}
		}
		s.step(diameter.Event{Input: diameter.GotCEA, Result: m.Result()})
		return true
	case m.Command == diameter.DeviceWatchdog:
		event(diameter.GotDWR, diameter.GotDWA)
		return true
	case m.Command == diameter.DisconnectPeer:
		if m.Request() {
			rest := leaveRest
			if a := diameter.Find(m.AVPs, diameter.CodeDisconnectCause, 0); a != nil {
				if cause, err := a.Uint32(); err == nil && cause != diameter.Rebooting {
					rest = leaveLong
				}
			}
			s.shun = s.b.now() + rest
			s.left(true)
		}
		event(diameter.GotDPR, diameter.GotDPA)
		return true
	}
	s.step(diameter.Event{Input: diameter.GotOther, Side: diameter.Initiator})
	if m.Request() { // a server has nothing to ask here
		a := s.b.cfg.Rules.Refusal(m, diameter.UnableToDeliver, "requests of servers are not relayed")
		s.base(a)
		return true
	}
	no, ok := s.window.Answer(m.HopByHop)
	a := s.out[no]
	if !ok || a == nil {
		s.b.cfg.Log.Debug("diameter answer that nobody waits for", "server", s.to.ID, "hop-by-hop", m.HopByHop)
		return true
	}
	delete(s.out, no)
	a.done <- outcome(m, raw)
	return true
}

// left tells that the server takes leave, or is back. Not under its lock: who is told may wait, and in the
// order in which it happened.
func (s *server) left(leaves bool) {
	s.leaves = leaves
	if s.b.cfg.Leaves == nil {
		return
	}
	before, told := s.told, make(chan struct{})
	s.told = told
	s.b.wait.Go(func() {
		if before != nil {
			<-before
		}
		s.b.cfg.Leaves(s.to.ID, leaves)
		close(told)
	})
}

// outcome is what a server's answer says. Too busy, and unable to deliver, come before anything ran; unable
// to comply (5012) is the server's own trouble. All else is the answer to the request, good or bad.
func outcome(m *diameter.Message, raw []byte) core.Response {
	r := core.Response{Result: balance.OK, Payload: raw, Load: load(m)}
	switch code := m.Result(); {
	case code == diameter.TooBusy || code == diameter.UnableToDeliver && m.Flags&diameter.FlagError != 0:
		r.Result, r.Payload = balance.Full, nil
	case code == diameter.UnableToComply:
		r.Result, r.Payload = balance.Errored, nil
	}
	return r
}

// Codes of RFC 8583.
const (
	codeLoad      = 650
	codeLoadValue = 652
	loadMost      = 65535
)

// load reads a report of load (RFC 8583): 0 to 65535, of what the server can do.
func load(m *diameter.Message) balance.Load {
	l := balance.NoLoad()
	if a := diameter.Find(m.AVPs, codeLoad, 0); a != nil {
		if list, err := a.Group(diameter.DefaultLimits(), 0); err == nil {
			if v := diameter.Find(list, codeLoadValue, 0); v != nil {
				if n, err := v.Uint64(); err == nil && n <= loadMost {
					l.Valid, l.Utilization = true, float64(n)/loadMost
				}
			}
		}
	}
	return l
}

// gone ends a connection: what is out there gets its outcome.
func (s *server) gone(conn net.Conn) {
	conn.Close()
	defer func() {
		s.b.mu.Lock()
		delete(s.b.leaving, s)
		s.b.mu.Unlock()
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != conn {
		return
	}
	s.conn = nil
	s.setOpen(false)
	for _, no := range s.window.Close() {
		a := s.out[no]
		if a == nil {
			continue
		}
		delete(s.out, no)
		res := balance.Reset
		if a.it.state != written { // no whole message has left
			a.it.state = dropped
			res = balance.ConnectFailed
		}
		a.done <- core.Response{Result: res}
	}
	s.step(diameter.Event{Input: diameter.PeerGone, Side: diameter.Initiator})
}

// Probe reports whether requests may be sent; nothing goes out for it.
func (b *Backend) Probe(to core.Target) core.Response {
	b.mu.Lock()
	s := b.servers[to]
	b.mu.Unlock()
	if s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.open {
			return core.Response{Result: balance.OK}
		}
	}
	return core.Response{Result: balance.ConnectFailed}
}

// Keep takes leave of all servers but those that are wanted.
func (b *Backend) Keep(wanted func(core.Target) bool) {
	b.mu.Lock()
	var leave []*server
	for to, s := range b.servers {
		if !wanted(to) {
			leave = append(leave, s)
			b.leaving[s] = true
			delete(b.servers, to)
		}
	}
	b.mu.Unlock()
	for _, s := range leave {
		s.mu.Lock()
		s.step(diameter.Event{Input: diameter.Stop}) // by DPR; answers that are owed still come
		idle := s.conn == nil
		s.mu.Unlock()
		if idle {
			b.mu.Lock()
			delete(b.leaving, s)
			b.mu.Unlock()
		}
	}
}

// Close ends all connections and waits for their goroutines.
func (b *Backend) Close() {
	b.mu.Lock()
	b.closed = true
	for _, s := range b.servers {
		b.leaving[s] = true
	}
	for s := range b.leaving {
		s.mu.Lock()
		s.stopped = true
		if s.timer != nil {
			s.timer.Stop()
		}
		if s.conn != nil {
			s.conn.Close()
		}
		s.mu.Unlock()
	}
	b.mu.Unlock()
	b.wait.Wait()
}
