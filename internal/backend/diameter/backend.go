// Package diameter makes attempts over Diameter: one persistent connection to each server carries many
// requests at a time, up to a window. It connects only to servers that the core makes attempts at.
//
// A mutex guards all state of a server; a reader and a writer goroutine live as long as its connection, and a
// timer drives the peer state machine. An attempt is written once: one whose message was not written
// completely has not run; one that was written and has no answer when the connection ends may have run.
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
	"syscall"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/accept"
	"lemonrail/internal/core"
	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/relay"
)

// Request is a client's request as the core carries it. All its attempts share it.
type Request struct {
	Message  *diameter.Message
	From     string       // the client's identity
	attempts atomic.Int32 // attempts queued so far
}

// Config holds the parameters of a Backend.
type Config struct {
	Rules          *relay.Rules
	Identity       string                       // the relay's Diameter identity, for Origin-Host
	Realm          string                       // the relay's realm, for Origin-Realm
	ConnectTimeout time.Duration                // how long an attempt waits for a connection with capabilities exchanged
	Window         int                          // maximum number of pending attempts on a connection
	Peer           diameter.PeerConfig          // timing of the servers' connections
	OnLeaving      func(id string, leaves bool) // called with true after a server's DPR, with false once it is open again; may be nil
	Descriptors    func(delta int)              // called when the number of descriptors that servers hold changes; may be nil
	FreeDescriptor func()                       // called when the process is out of descriptors; may be nil
	Log            *slog.Logger
}

const (
	writeTimeout = time.Second     // the connection to a server that reads no data for this time is closed
	restartPause = 5 * time.Second // before reconnecting to a server whose DPR has the cause REBOOTING
	busyPause    = time.Minute     // before reconnecting to a server whose DPR has another cause
	baseQueue    = 8               // queued messages of the base protocol, in addition to a window of requests
)

// Backend implements core.Backend.
type Backend struct {
	cfg       Config
	startedAt time.Time

	mu      sync.Mutex
	servers map[core.Target]*server // by ID and listed address
	closing map[*server]bool        // removed from servers while still connected
	closed  bool                    // Close was called
	wait    sync.WaitGroup          // for all goroutines
}

// New returns a backend without connections. Close releases it.
func New(cfg Config) *Backend {
	if cfg.Descriptors == nil {
		cfg.Descriptors = func(int) {}
	}
	if cfg.FreeDescriptor == nil {
		cfg.FreeDescriptor = func() {}
	}
	return &Backend{cfg: cfg, startedAt: time.Now(), servers: map[core.Target]*server{}, closing: map[*server]bool{}}
}

// now returns the time since New; it is never 0, which the state machine takes for unset.
func (b *Backend) now() time.Duration { return time.Since(b.startedAt) + time.Millisecond }

// server is the state of one server: its peer state machine, its connection and its pending attempts.
type server struct {
	backend *Backend
	target  core.Target // as listed; the rules may give another Diameter address

	mu              sync.Mutex
	peer            *diameter.Peer
	conn            net.Conn            // nil: not connected
	writes          chan *queuedMessage // queue of the connection's writer
	window          *relay.Window       // Hop-by-Hop identifiers of the pending attempts
	pending         map[uint64]*attempt // by number of the attempt
	lastAttempt     uint64              // number of the last attempt
	opened          chan struct{}       // closed while requests may be sent, replaced when they no longer may
	open            bool                // requests may be sent; opened is closed
	timer           *time.Timer         // for the state machine's next Tick
	lastID          uint32              // identifier of the last request of the base protocol
	identity        string              // Origin-Host of the server's CEA
	leaving         bool                // the server sent a DPR and has not been opened since
	noConnectBefore time.Duration       // no connection is made before this time; set by a DPR
	stopped         bool                // the backend was closed: no new connection is made
	lastNotified    chan struct{}       // closed when the last call of Config.OnLeaving has returned
}

// attempt is a request that was queued for a server and has no result yet.
type attempt struct {
	id   uint64             // number of the attempt
	hop  uint32             // Hop-by-Hop identifier
	item *queuedMessage     // the encoded request in the write queue
	done chan core.Response // gets the one result
}

// queuedMessage is a message in a connection's write queue.
type queuedMessage struct {
	raw   []byte // the encoded message
	state itemState

	permit *core.Permit  // nil for messages of the base protocol
	denied chan struct{} // closed when the permit doesn't allow the writing; nil for messages of the base protocol
}

// itemState is how far the writing of an item has come.
type itemState uint8

const (
	queued  itemState = iota // waits in the queue
	writing                  // may have been written in part
	written                  // completely
	dropped                  // must not be written
)

// server returns the server of a target, creating it if necessary, or nil if the backend is closed.
func (b *Backend) server(to core.Target) *server {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	s := b.servers[to]
	if s == nil {
		seed := rand.Uint64()
		s = &server{backend: b, target: to, window: relay.NewWindow(b.cfg.Window, rand.Uint32()), pending: map[uint64]*attempt{}, opened: make(chan struct{}),
			lastID: rand.Uint32(), peer: diameter.NewPeer(b.cfg.Identity, b.cfg.Peer, rand.New(rand.NewPCG(seed, 0)))}
		b.servers[to] = s
		s.mu.Lock()
		s.step(diameter.Event{Input: diameter.Start})
		s.mu.Unlock()
	}
	return s
}

// Exchange makes one attempt and returns its outcome.
func (b *Backend) Exchange(ctx context.Context, p *core.Permit, to core.Target, request any) core.Response {
	r := request.(*Request)
	s := b.server(to)
	if s == nil {
		return core.Response{Result: balance.NotSent}
	}
	revoked := make(chan struct{})
	if !p.BeginWait(func() { close(revoked) }) {
		return core.Response{Result: balance.DroppedUnsent}
	}
	var expired <-chan time.Time
	if by := p.WriteDeadline(); !by.IsZero() {
		t := time.NewTimer(time.Until(by))
		defer t.Stop()
		expired = t.C
	}
	if res, ok := s.awaitOpen(ctx, revoked, expired); !ok {
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
			return s.abandon(ctx, a)
		case <-a.item.denied: // the client has left, or a revocation came just now
			s.withdraw(a)
			return core.Response{Result: balance.DroppedUnsent}
		case <-revoked:
			if s.withdraw(a) {
				return core.Response{Result: balance.DroppedUnsent}
			}
			revoked = nil // its writing has begun
		case <-expired:
			if s.withdraw(a) {
				return core.Response{Result: balance.DroppedUnsent}
			}
			expired = nil
		}
	}
}

// BackendByIdentity returns the ID of the backend whose server has the given Diameter identity (Origin-Host): by the
// rules, or else by the CEA of a connected server.
func (b *Backend) BackendByIdentity(identity string) (id string, ok bool) {
	if id, ok = b.cfg.Rules.HostByIdentity(identity); ok {
		return id, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for to, s := range b.servers {
		s.mu.Lock()
		name := s.identity
		s.mu.Unlock()
		if strings.EqualFold(name, identity) {
			return to.ID, true
		}
	}
	return "", false
}

// awaitOpen waits until requests may be sent, for at most the connect timeout. If they can't, it returns the
// result.
func (s *server) awaitOpen(ctx context.Context, revoked <-chan struct{}, expired <-chan time.Time) (balance.Result, bool) {
	s.mu.Lock()
	opened := s.opened
	s.mu.Unlock()
	limit := time.NewTimer(s.backend.cfg.ConnectTimeout)
	defer limit.Stop()
	select {
	case <-opened:
		return 0, true
	case <-limit.C:
		return balance.ConnectFailed, false
	case <-revoked:
		return balance.DroppedUnsent, false
	case <-expired:
		return balance.DroppedUnsent, false
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return balance.Cancelled, false
		}
		return balance.NotSent, false
	}
}

// send queues a request for the server. If it returns no attempt, nothing was sent, for the reason in the
// result.
func (s *server) send(r *Request, p *core.Permit) (*attempt, balance.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open || s.conn == nil {
		return nil, balance.ConnectFailed
	}
	s.lastAttempt++
	a := &attempt{id: s.lastAttempt, done: make(chan core.Response, 1)}
	hop, ok := s.window.Assign(a.id)
	if !ok {
		return nil, balance.Full // nothing was written
	}
	a.hop = hop
	again := r.attempts.Add(1) > 1
	raw, err := s.backend.cfg.Rules.Forward(r.Message, r.From, hop, again).Append(nil)
	if err != nil {
		s.window.Release(hop)
		return nil, balance.NotSent
	}
	a.item = &queuedMessage{raw: raw, permit: p, denied: make(chan struct{})}
	select {
	case s.writes <- a.item:
	default: // unreachable in practice, since the window bounds the queue; treated as a full window
		s.window.Release(hop)
		return nil, balance.Full
	}
	s.pending[a.id] = a
	return a, 0
}

// withdraw drops an attempt that has not begun to be written, and reports whether it could.
func (s *server) withdraw(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.item.state != queued && a.item.state != dropped {
		return false
	}
	a.item.state = dropped
	delete(s.pending, a.id)
	s.window.Release(a.hop)
	return true
}

// abandon ends an attempt whose context has ended. A later answer to it is ignored.
func (s *server) abandon(ctx context.Context, a *attempt) core.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case got := <-a.done: // the answer arrived at the same time
		return got
	default:
	}
	delete(s.pending, a.id)
	s.window.Release(a.hop)
	if a.item.state == queued || a.item.state == dropped {
		a.item.state = dropped
		return core.Response{Result: balance.NotSent}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return core.Response{Result: balance.Cancelled}
	}
	return core.Response{Result: balance.TimedOut}
}

// step passes an event to the peer state machine and carries out its actions. The caller holds s.mu.
func (s *server) step(e diameter.Event) {
	for _, act := range s.peer.Step(s.backend.now(), e) {
		switch act.Kind {
		case diameter.Connect:
			s.connect()
		case diameter.SendCER:
			s.enqueueBase(s.newCER())
		case diameter.SendDWR:
			s.enqueueBase(s.baseRequest(diameter.DeviceWatchdog))
		case diameter.SendDPR:
			m := s.baseRequest(diameter.DisconnectPeer)
			m.AVPs = append(m.AVPs, diameter.U32(diameter.CodeDisconnectCause, diameter.Rebooting))
			s.enqueueBase(m)
		case diameter.Disconnect:
			if s.conn != nil {
				s.conn.Close()
			}
		case diameter.Opened, diameter.Failback:
			s.setOpen(true)
			if s.leaving && act.Kind == diameter.Opened {
				s.setLeaving(false)
			}
		case diameter.Failover, diameter.Lost:
			s.setOpen(false)
		}
	}
	if _, usable := s.peer.Usable(); !usable {
		s.setOpen(false)
	}
	s.scheduleTick()
}

// setOpen sets whether requests may be sent, and wakes or holds back the attempts in awaitOpen. The caller
// holds s.mu.
func (s *server) setOpen(open bool) {
	switch {
	case open && !s.open:
		close(s.opened)
	case !open && s.open:
		s.opened = make(chan struct{})
	}
	s.open = open
}

// scheduleTick sets the timer for the state machine's next Tick. The caller holds s.mu.
func (s *server) scheduleTick() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if due := s.peer.Due(); due > 0 && !s.stopped {
		s.timer = time.AfterFunc(max(0, due-s.backend.now())+time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.stopped {
				s.step(diameter.Event{Input: diameter.Tick})
			}
		})
	}
}

// baseRequest returns a request of the base protocol with a new identifier. The caller holds s.mu.
func (s *server) baseRequest(command uint32) *diameter.Message {
	s.lastID++
	return &diameter.Message{Flags: diameter.FlagRequest, Command: command, HopByHop: s.lastID, EndToEnd: s.lastID,
		AVPs: []diameter.AVP{diameter.Str(diameter.CodeOriginHost, s.backend.cfg.Identity), diameter.Str(diameter.CodeOriginRealm, s.backend.cfg.Realm)}}
}

// newCER returns the CER for the current connection. The caller holds s.mu.
func (s *server) newCER() *diameter.Message {
	m := s.baseRequest(diameter.CapabilitiesExchange)
	if a, ok := s.conn.LocalAddr().(*net.TCPAddr); ok {
		m.AVPs = append(m.AVPs, diameter.IP(diameter.CodeHostIPAddress, a.AddrPort().Addr().Unmap()))
	}
	m.AVPs = append(m.AVPs, diameter.U32(diameter.CodeVendorID, 0), diameter.WithoutMandatory(diameter.Str(diameter.CodeProductName, "lemonrail")))
	for _, app := range s.backend.cfg.Rules.Applications() {
		m.AVPs = append(m.AVPs, diameter.U32(diameter.CodeAuthApplication, app))
	}
	return m
}

// enqueueBase queues a message of the base protocol. The caller holds s.mu.
func (s *server) enqueueBase(m *diameter.Message) {
	raw, err := m.Append(nil)
	if err != nil || s.conn == nil {
		return
	}
	select {
	case s.writes <- &queuedMessage{raw: raw}:
	default:
		s.conn.Close() // the server does not read
	}
}

// connect dials the server in a goroutine and starts the connection's reader and writer. The caller holds
// s.mu.
func (s *server) connect() {
	if s.stopped {
		return
	}
	if s.backend.now() < s.noConnectBefore { // fail, so that the state machine retries after a growing delay
		s.step(diameter.Event{Input: diameter.ConnFailed})
		return
	}
	s.backend.wait.Go(func() {
		s.backend.cfg.Descriptors(1)
		conn, err := s.backend.dial(s.backend.cfg.Rules.Address(s.target.ID, s.target.Addr))
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case err != nil:
			s.backend.cfg.Descriptors(-1)
			s.step(diameter.Event{Input: diameter.ConnFailed})
			return
		case s.stopped:
			conn.Close()
			s.backend.cfg.Descriptors(-1)
			return
		}
		s.conn = conn
		s.writes = make(chan *queuedMessage, s.backend.cfg.Window+baseQueue)
		ended := make(chan struct{})
		writes := s.writes
		s.backend.wait.Go(func() { s.write(conn, writes, ended) })
		s.backend.wait.Go(func() {
			s.read(conn)
			close(ended)
			s.handleClosed(conn)
		})
		s.step(diameter.Event{Input: diameter.ConnUp})
	})
}

// dial connects to an address. While the process is out of descriptors, it has some freed and tries again: the state machine
// would wait for much longer.
func (b *Backend) dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Deadline: time.Now().Add(b.cfg.ConnectTimeout), KeepAlive: -1}
	for {
		conn, err := dialer.Dial("tcp4", address)
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) || time.Now().After(dialer.Deadline) {
			return conn, err
		}
		b.cfg.FreeDescriptor()
		time.Sleep(accept.RetryPause)
	}
}

// write writes queued messages until the connection ends, except those that were dropped or whose permit is
// withdrawn.
func (s *server) write(conn net.Conn, writes <-chan *queuedMessage, ended <-chan struct{}) {
	for {
		var it *queuedMessage
		select {
		case it = <-writes:
		case <-ended:
			return
		}
		s.mu.Lock()
		if it.state == queued && !it.permit.BeginWrite(nil) {
			it.state = dropped
			close(it.denied)
		}
		skip := it.state == dropped
		if !skip {
			it.state = writing
		}
		s.mu.Unlock()
		if skip {
			continue
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := conn.Write(it.raw)
		s.mu.Lock()
		if err == nil {
			it.state = written
		}
		s.mu.Unlock()
		if err != nil {
			conn.Close() // the reader then ends and reports the closed connection
			return
		}
	}
}

// read handles messages until the connection ends or a message is invalid.
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
			s.backend.cfg.Log.Warn("invalid message from diameter server", "server", s.target.ID, "err", err)
			return // the start of the next message is uncertain
		}
		if !s.handle(m, raw) {
			return
		}
	}
}

// handle processes a message and reports whether the connection stays open.
func (s *server) handle(m *diameter.Message, raw []byte) bool {
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
				diameter.Str(diameter.CodeOriginHost, s.backend.cfg.Identity), diameter.Str(diameter.CodeOriginRealm, s.backend.cfg.Realm)}
			s.enqueueBase(a)
		}
		s.step(diameter.Event{Input: in, Side: diameter.Initiator, Result: m.Result()})
	}
	switch {
	case m.Application != diameter.AppBase:
	case m.Command == diameter.CapabilitiesExchange && !m.Request():
		s.step(diameter.Event{Input: diameter.GotCEA, Result: s.checkCEA(m)})
		return true
	case m.Command == diameter.DeviceWatchdog:
		event(diameter.GotDWR, diameter.GotDWA)
		return true
	case m.Command == diameter.DisconnectPeer:
		if m.Request() {
			rest := restartPause
			if a := diameter.Find(m.AVPs, diameter.CodeDisconnectCause, 0); a != nil {
				if cause, err := a.Uint32(); err == nil && cause != diameter.Rebooting {
					rest = busyPause
				}
			}
			s.noConnectBefore = s.backend.now() + rest
			s.setLeaving(true)
		}
		event(diameter.GotDPR, diameter.GotDPA)
		return true
	}
	s.step(diameter.Event{Input: diameter.GotOther, Side: diameter.Initiator})
	if m.Request() { // requests from servers are not supported
		a := s.backend.cfg.Rules.LocalAnswer(m, diameter.UnableToDeliver, "requests of servers are not relayed")
		s.enqueueBase(a)
		return true
	}
	no, ok := s.window.Release(m.HopByHop)
	a := s.pending[no]
	if !ok || a == nil {
		s.backend.cfg.Log.Debug("unexpected answer from diameter server", "server", s.target.ID, "hop-by-hop", m.HopByHop)
		return true
	}
	delete(s.pending, no)
	a.done <- outcome(m, raw)
	return true
}

// checkCEA records the identity of the server that has answered and returns the Result-Code of its CEA. A server other than
// the configured one has come up at the address: its CEA counts as a failure. The caller holds s.mu.
func (s *server) checkCEA(m *diameter.Message) (result uint32) {
	result = m.Result()
	a := diameter.Find(m.AVPs, diameter.CodeOriginHost, 0)
	if a == nil || result != diameter.Success {
		return result
	}
	name, err := a.Identity()
	if err != nil {
		return result
	}
	if want := s.backend.cfg.Rules.IdentityOf(s.target.ID); want != "" && !strings.EqualFold(name, want) {
		s.backend.cfg.Log.Warn("another diameter server is at the address", "server", s.target.ID, "identity", name, "configured", want)
		return diameter.UnknownPeer
	}
	s.identity = name
	return result
}

// setLeaving sets s.leaving and calls Config.OnLeaving in a goroutine, since the caller holds s.mu and the
// callback may block. Calls are made in the order of the events.
func (s *server) setLeaving(leaves bool) {
	s.leaving = leaves
	if s.backend.cfg.OnLeaving == nil {
		return
	}
	previous, notified := s.lastNotified, make(chan struct{})
	s.lastNotified = notified
	s.backend.wait.Go(func() {
		if previous != nil {
			<-previous
		}
		s.backend.cfg.OnLeaving(s.target.ID, leaves)
		close(notified)
	})
}

// outcome converts a server's answer to the core's response. Too busy (3004) and unable to deliver (3002) are
// sent before anything has run; unable to comply (5012) is a failure of the server. Any other answer is the
// result of the request.
func outcome(m *diameter.Message, raw []byte) core.Response {
	r := core.Response{Result: balance.OK, Payload: raw, Load: loadReport(m)}
	switch code := m.Result(); {
	case code == diameter.TooBusy || code == diameter.UnableToDeliver && m.Flags&diameter.FlagError != 0:
		r.Result, r.Payload = balance.Full, nil
	case code == diameter.UnableToComply:
		r.Result, r.Payload = balance.Errored, nil
	}
	return r
}

// AVP codes and the largest Load-Value of RFC 8583.
const (
	codeLoad      = 650
	codeLoadValue = 652
	maxLoad       = 65535
)

// loadReport reads a Load AVP (RFC 8583), whose value 0 to 65535 stands for a utilization of 0 to 1.
func loadReport(m *diameter.Message) balance.Load {
	l := balance.NoLoad()
	if a := diameter.Find(m.AVPs, codeLoad, 0); a != nil {
		if list, err := a.Group(diameter.DefaultLimits(), 0); err == nil {
			if v := diameter.Find(list, codeLoadValue, 0); v != nil {
				if n, err := v.Uint64(); err == nil && n <= maxLoad {
					l.Valid, l.Utilization = true, float64(n)/maxLoad
				}
			}
		}
	}
	return l
}

// handleClosed cleans up after a connection has ended: attempts whose request was written completely end with
// Reset, the others with ConnectFailed.
func (s *server) handleClosed(conn net.Conn) {
	conn.Close()
	s.backend.cfg.Descriptors(-1)
	defer func() {
		s.backend.mu.Lock()
		delete(s.backend.closing, s)
		s.backend.mu.Unlock()
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != conn {
		return
	}
	s.conn = nil
	s.setOpen(false)
	for _, no := range s.window.Close() {
		a := s.pending[no]
		if a == nil {
			continue
		}
		delete(s.pending, no)
		res := balance.Reset
		if a.item.state != written { // the message was not written completely
			a.item.state = dropped
			res = balance.ConnectFailed
		}
		a.done <- core.Response{Result: res}
	}
	s.step(diameter.Event{Input: diameter.PeerDisconnected, Side: diameter.Initiator})
}

// Probe reports whether requests may be sent to a server. It does not send anything.
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

// CloseIdleExcept disconnects from all servers for which wanted returns false: the core makes no attempts at them
// any longer. Each gets a DPR; answers to its pending attempts are still received before the connection closes.
func (b *Backend) CloseIdleExcept(wanted func(core.Target) bool) {
	b.mu.Lock()
	var leave []*server
	for to, s := range b.servers {
		if !wanted(to) {
			leave = append(leave, s)
			b.closing[s] = true
			delete(b.servers, to)
		}
	}
	b.mu.Unlock()
	for _, s := range leave {
		s.mu.Lock()
		s.step(diameter.Event{Input: diameter.Stop}) // sends a DPR; pending answers are still received
		idle := s.conn == nil
		s.mu.Unlock()
		if idle {
			b.mu.Lock()
			delete(b.closing, s)
			b.mu.Unlock()
		}
	}
}

// Close closes all connections and waits for the goroutines.
func (b *Backend) Close() {
	b.mu.Lock()
	b.closed = true
	for _, s := range b.servers {
		b.closing[s] = true
	}
	for s := range b.closing {
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
