// Package diameter implements the Diameter relay's client side: it accepts clients' requests and sends them
// the answers that the core obtains.
//
// Each connection has a reader and a writer goroutine; each pending request has a goroutine that waits for
// the core's answer. A mutex guards the connections and the table of requests. A request that is resent, on
// the same connection or another, is treated as the same request: it has one final answer, which is sent to
// all waiters. Bounded are the number of connections, the time until a client has sent its CER, the messages
// queued for each client, and, by relay.Limits, the pending requests, the kept answers and the answers that clients don't read.
package diameter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"lemonrail/balance"
	backend "lemonrail/internal/backend/diameter"
	"lemonrail/internal/connstate"
	"lemonrail/internal/core"
	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/overload"
	"lemonrail/internal/diameter/relay"
)

// Config holds the parameters of a Front.
type Config struct {
	Rules             *relay.Rules
	Identity          string                                          // the relay's Diameter identity, for Origin-Host
	Realm             string                                          // the relay's realm, for Origin-Realm
	ClassOffset       int                                             // index of the rules' first class among the decision module's classes
	Limits            relay.Limits                                    // of the pending requests and the kept answers
	Overload          overload.Config                                 // for clients that accept overload reports
	Peer              diameter.PeerConfig                             // timing of the clients' connections
	BackendByIdentity func(identity string) (backend string, ok bool) // returns the backend whose server has this Diameter identity
	Connections       int                                             // maximum number of client connections; further ones are closed at once
	CERTimeout        time.Duration                                   // time limit for a client's CER
	Log               *slog.Logger
}

// writeTimeout bounds the writing of a message to a client. Clients may pause for seconds.
const writeTimeout = 10 * time.Second

// Front accepts Diameter clients and passes their requests to the core.
type Front struct {
	cfg       Config
	loop      *core.Loop
	startedAt time.Time
	wait      sync.WaitGroup

	queues clientQueues

	mu        sync.Mutex
	reporter  *overload.Reporter // counts answers and refusals of all clients
	table     *relay.Table       // pending and recently answered requests
	conns     map[uint64]*conn   // open connections, by number
	lastConn  uint64             // number of the last connection
	callCount uint64             // number of requests passed to the core
	busyCount uint64             // number of requests refused here with DIAMETER_TOO_BUSY
	stopping  bool               // a planned stop has begun: a DPR was sent to the clients, pending requests are still answered
	closed    bool               // no connections or requests are accepted any longer
}

// New returns a front that passes requests to loop.
func New(cfg Config, loop *core.Loop) (*Front, error) {
	load, err := overload.New(cfg.Overload, uint64(time.Now().Unix())<<20) // sequence numbers above those of an earlier process
	if err != nil {
		return nil, err
	}
	return &Front{cfg: cfg, loop: loop, startedAt: time.Now(), reporter: load, table: relay.NewTable(cfg.Limits), conns: map[uint64]*conn{},
		queues: clientQueues{answers: relay.NewAnswerQueues(cfg.Limits.MaxQueuedBytes)}}, nil
}

// clientQueues is the account of what waits for all clients. It is safe for concurrent use.
type clientQueues struct {
	mu      sync.Mutex
	answers *relay.AnswerQueues
}

func (q *clientQueues) add(conn uint64, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answers.Add(conn, bytes)
}

// accepts reports whether a further request on a connection is accepted.
func (q *clientQueues) accepts(conn uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.answers.Accepts(conn)
}

// now returns the time since the start; it is never 0, which the state machines take for unset.
func (f *Front) now() time.Duration { return time.Since(f.startedAt) + time.Millisecond }

// conn is a connection of a client.
type conn struct {
	net.Conn
	front  *Front
	id     uint64  // number of the connection, as in relay.Waiter
	writes *outbox // encoded messages for the client

	mu          sync.Mutex
	peer        *diameter.Peer // state machine of the client's connection
	name        string         // the client's identity; empty until its CER was accepted
	timer       *time.Timer    // for the state machine's next Tick
	lastID      uint32         // identifier of the last request of the base protocol
	closed      bool
	dpaReceived bool // the client has answered the DPR of a planned stop, or its connection is to be closed
}

// Serve accepts connections until ctx ends. It then closes them, once all pending requests have been answered
// or the time that stopDeadline returns has passed, and waits for its goroutines.
func (f *Front) Serve(ctx context.Context, ln net.Listener, stopDeadline func() time.Time) error {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	var fault error
	for {
		nc, err := ln.Accept()
		if err != nil {
			if ctx.Err() == nil {
				fault = fmt.Errorf("diameter clients: %w", err)
			}
			break
		}
		f.accept(nc)
	}
	clients := f.disconnectClients()
	deadline := stopDeadline()
	for ; time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		n := f.table.Pending()
		f.mu.Unlock()
		if n == 0 && !slices.ContainsFunc(clients, (*conn).awaitsDPA) {
			break
		}
	}
	f.mu.Lock()
	f.closed = true
	open := slices.Collect(maps.Values(f.conns))
	f.mu.Unlock()
	for _, c := range open {
		c.closeAfterWrites()
	}
	late := time.AfterFunc(time.Until(deadline), func() { // abandons what is still queued
		for _, c := range open {
			c.Close()
		}
	})
	defer late.Stop()
	f.wait.Wait()
	if f.busyCount > 0 {
		f.cfg.Log.Info("diameter requests were refused for want of room here", "count", f.busyCount)
	}
	return fault
}

// closeAfterWrites stops reading from the connection, which is closed once the messages queued for the client
// have been written. Closing it at once would lose a queued answer whose request is no longer pending.
func (c *conn) closeAfterWrites() {
	reader, ok := c.Conn.(interface{ CloseRead() error })
	if !ok || reader.CloseRead() != nil {
		c.Close()
	}
}

// disconnectClients sends a DPR (RFC 6733, 5.4) to the clients that have exchanged capabilities, closes the
// connections of the others and returns all connections. Requests that still arrive are accepted; the
// connections are closed once all requests have been answered.
func (f *Front) disconnectClients() (clients []*conn) {
	f.mu.Lock()
	f.stopping = true
	for _, c := range f.conns {
		clients = append(clients, c)
	}
	f.mu.Unlock()
	for _, c := range clients { // without the lock, since a connection takes it while holding its own
		c.mu.Lock()
		switch {
		case c.closed:
		case c.name == "":
			c.Close()
		default:
			c.step(diameter.Event{Input: diameter.Stop, Cause: diameter.Rebooting})
		}
		c.mu.Unlock()
	}
	return clients
}

// awaitsDPA reports whether the connection is open and the client has not answered the DPR yet.
func (c *conn) awaitsDPA() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.dpaReceived
}

// stopState reports whether a planned stop has begun, and how many requests are pending.
func (f *Front) stopState() (stopping bool, pending int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping, f.table.Pending()
}

// accept starts the goroutines of a new connection, or closes it beyond the bound.
func (f *Front) accept(nc net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || len(f.conns) >= f.cfg.Connections {
		nc.Close()
		return
	}
	f.lastConn++
	cfg := f.cfg.Peer
	cfg.Persistent = false
	c := &conn{Conn: nc, front: f, id: f.lastConn, lastID: rand.Uint32(),
		peer: diameter.NewPeer(f.cfg.Identity, cfg, rand.New(rand.NewPCG(rand.Uint64(), 0)))}
	c.writes = newOutbox(func(bytes int) { f.queues.add(c.id, bytes) })
	f.conns[c.id] = c
	f.wait.Go(c.write)
	f.wait.Go(c.read)
}

// enqueue passes a message to the writer without blocking.
func (c *conn) enqueue(raw []byte) { c.writes.push(raw) }

// write writes queued messages until the reader has ended and the queue is empty: what was queued before the end, such as
// an error answer that explains it, is still written.
func (c *conn) write() {
	defer c.writes.close()
	defer c.Close()
	for raw, ok := c.writes.first(); ok; raw, ok = c.writes.first() {
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.Write(raw); err != nil {
			return
		}
		c.writes.written()
	}
}

// read handles messages until the connection ends or a message makes it end.
func (c *conn) read() {
	defer c.handleClosed()
	limits := diameter.DefaultLimits()
	messages := diameter.NewReader(c, limits)
	c.SetReadDeadline(time.Now().Add(c.front.cfg.CERTimeout))
	for {
		c.writes.awaitRoom()
		raw, err := messages.Next()
		var breach *diameter.Error
		if err != nil {
			if errors.As(err, &breach) {
				c.front.cfg.Log.Debug("invalid message from diameter client", "err", err)
			}
			return
		}
		m, err := diameter.Decode(raw, limits)
		if errors.As(err, &breach) {
			if m == nil || !m.Request() || breach.Fatal {
				return
			}
			c.answer(m, breach)
			continue
		}
		if err != nil || !c.handle(m, len(raw)) {
			return
		}
	}
}

// handleClosed removes the connection. Its requests remain pending, so that a resend finds their answers.
func (c *conn) handleClosed() {
	c.mu.Lock()
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	c.front.mu.Lock()
	delete(c.front.conns, c.id)
	c.front.table.RemoveConn(c.id)
	c.front.mu.Unlock()
	c.writes.end()
}

// answer sends the relay's own answer to a request that isn't relayed: an error, or success for requests of
// the base protocol.
func (c *conn) answer(m *diameter.Message, e *diameter.Error) {
	a := c.front.cfg.Rules.LocalAnswer(m, e.Result, e.Text)
	if e.Failed != nil {
		a.AVPs = append(a.AVPs, diameter.Group(diameter.CodeFailedAVP, *e.Failed))
	}
	if raw, err := a.Append(nil); err == nil {
		c.enqueue(raw)
	}
}

// handle processes a message of that many bytes and reports whether the connection stays open.
func (c *conn) handle(m *diameter.Message, bytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.name == "" {
		return c.handleCER(m)
	}
	if m.Application == diameter.AppBase {
		in, known := map[uint32][2]diameter.Input{
			diameter.DeviceWatchdog: {diameter.GotDWR, diameter.GotDWA},
			diameter.DisconnectPeer: {diameter.GotDPR, diameter.GotDPA},
		}[m.Command]
		if known {
			input := in[1]
			if m.Request() {
				input = in[0]
				c.answer(m, &diameter.Error{Result: diameter.Success})
			}
			c.step(diameter.Event{Input: input, Side: diameter.Responder})
			return true
		}
		if m.Request() {
			c.answer(m, &diameter.Error{Result: diameter.CommandUnsupported, Text: "not for a relay"})
		}
		return m.Command != diameter.CapabilitiesExchange // RFC 6733, 5.6, has no transition for a second one
	}
	c.step(diameter.Event{Input: diameter.GotOther, Side: diameter.Responder})
	if !m.Request() {
		return true // no requests are sent to clients, so this answer is unexpected
	}
	if err := c.front.cfg.Rules.CheckRequest(m); err != nil {
		c.answer(m, err)
		return true
	}
	c.relayRequest(m, bytes)
	return true
}

// handleCER processes the first message of a connection, which must be a CER of a client that may connect.
func (c *conn) handleCER(m *diameter.Message) bool {
	if m.Command != diameter.CapabilitiesExchange || m.Application != diameter.AppBase || !m.Request() {
		return false
	}
	name := ""
	if a := diameter.Find(m.AVPs, diameter.CodeOriginHost, 0); a != nil {
		name, _ = a.Identity()
	}
	machine, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	switch {
	case name == "":
		c.answer(m, &diameter.Error{Result: diameter.MissingAVP, Text: "Origin-Host is missing"})
		return false
	case !c.front.cfg.Rules.AllowsPeer(name, machine):
		c.answer(m, &diameter.Error{Result: diameter.UnknownPeer, Text: "not known here"})
		return false
	case !hasCommonApplication(m, c.front.cfg.Rules.Applications()):
		c.answer(m, &diameter.Error{Result: diameter.NoCommonApplication, Text: "no application in common"})
		return false
	}
	c.name = name
	a := c.front.cfg.Rules.LocalAnswer(m, diameter.Success, "")
	if t, ok := c.LocalAddr().(*net.TCPAddr); ok {
		a.AVPs = append(a.AVPs, diameter.IP(diameter.CodeHostIPAddress, t.AddrPort().Addr().Unmap()))
	}
	a.AVPs = append(a.AVPs, diameter.U32(diameter.CodeVendorID, 0), diameter.WithoutMandatory(diameter.Str(diameter.CodeProductName, "lemonrail")))
	for _, app := range c.front.cfg.Rules.Applications() {
		a.AVPs = append(a.AVPs, diameter.U32(diameter.CodeAuthApplication, app))
	}
	raw, err := a.Append(nil)
	if err != nil {
		return false
	}
	c.enqueue(raw)
	c.SetReadDeadline(time.Time{}) // from here on the watchdog detects an unresponsive client
	c.step(diameter.Event{Input: diameter.GotCER, Host: name})
	return true
}

// hasCommonApplication reports whether a client's CER names one of the applications or the relay application.
func hasCommonApplication(m *diameter.Message, applications []uint32) bool {
	found := false
	var look func(list []diameter.AVP, depth int)
	look = func(list []diameter.AVP, depth int) {
		for i := range list {
			a := &list[i]
			switch {
			case a.Vendor != 0:
			case a.Code == diameter.CodeVendorSpecificApplication && depth == 0:
				if inner, err := a.Group(diameter.DefaultLimits(), 0); err == nil {
					look(inner, 1)
				}
			case a.Code == diameter.CodeAuthApplication || a.Code == diameter.CodeAcctApplication:
				v, err := a.Uint32()
				for _, o := range applications {
					found = found || err == nil && (v == o || v == diameter.AppRelay)
				}
			}
		}
	}
	look(m.AVPs, 0)
	return found
}

// sendRequest sends a request of the base protocol. The caller holds c.mu.
func (c *conn) sendRequest(command uint32, more ...diameter.AVP) {
	c.lastID++
	m := diameter.Message{Flags: diameter.FlagRequest, Command: command, HopByHop: c.lastID, EndToEnd: c.lastID,
		AVPs: append([]diameter.AVP{diameter.Str(diameter.CodeOriginHost, c.front.cfg.Identity), diameter.Str(diameter.CodeOriginRealm, c.front.cfg.Realm)}, more...)}
	if raw, err := m.Append(nil); err == nil {
		c.enqueue(raw)
	}
}

// step passes an event to the peer state machine and carries out its actions. Answers of the base protocol
// have already been queued by handle. The caller holds c.mu.
func (c *conn) step(e diameter.Event) {
	for _, act := range c.peer.Step(c.front.now(), e) {
		switch act.Kind {
		case diameter.SendDWR:
			c.sendRequest(diameter.DeviceWatchdog)
		case diameter.SendDPR:
			c.sendRequest(diameter.DisconnectPeer, diameter.U32(diameter.CodeDisconnectCause, diameter.Rebooting))
		case diameter.Reject:
			c.dpaReceived = true
			c.Close()
		case diameter.Disconnect:
			c.dpaReceived = true
			c.disconnect()
		}
	}
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if due := c.peer.Due(); due > 0 && !c.closed {
		c.timer = time.AfterFunc(max(0, due-c.front.now())+time.Millisecond, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !c.closed {
				c.step(diameter.Event{Input: diameter.Tick})
			}
		})
	}
}

// disconnect closes the connection as the state machine wants it. During a planned stop it stays open until the pending
// requests have been answered, and then until the answers that are queued have been written.
func (c *conn) disconnect() {
	switch stopping, pending := c.front.stopState(); {
	case !stopping:
		c.Close()
	case pending == 0:
		c.closeAfterWrites()
	}
}

// relayRequest passes a request of that many bytes to the core, unless it is a resend or is refused here. Whether it is a resend is checked
// first: a request that may have run must not be refused for the server that it names.
func (c *conn) relayRequest(m *diameter.Message, bytes int) {
	f := c.front
	backendID, known := f.destination(m)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed { // Serve closes this connection, so an answer could not be sent
		return
	}
	key, class := requestKey(m), f.cfg.Rules.Classify(m)
	arrival := relay.Arrival{Key: key, From: relay.Waiter{Conn: c.id, HopByHop: m.HopByHop},
		Resent: m.Flags&diameter.FlagRetransmitted != 0, Effect: f.cfg.Rules.Classes[class].Effect, Bytes: bytes}
	verdict, kept := f.table.Arrive(arrival, f.now())
	switch verdict {
	case relay.Answered:
		c.enqueue(withHopByHop(kept, m.HopByHop))
	case relay.Joined:
	case relay.MayHaveRun: // 3002 or 3004 would make the client try again
		c.answer(m, &diameter.Error{Result: diameter.UnableToComply, Text: "it may have run before, and its answer is not known"})
	case relay.Busy:
		c.refuseBusy(m, "too many requests in hand")
	case relay.New:
		switch {
		case !known:
			f.table.Complete(key, nil, false, f.now())
			c.answer(m, &diameter.Error{Result: diameter.UnableToDeliver, Text: "no server of that name is known"})
		case !f.queues.accepts(c.id):
			f.table.Complete(key, nil, false, f.now())
			c.refuseBusy(m, "too many answers are unread")
		default:
			f.startCall(m, key, class, backendID, c.name)
		}
	}
}

// refuseBusy answers a request that has not been passed on with DIAMETER_TOO_BUSY. The caller holds f.mu.
func (c *conn) refuseBusy(m *diameter.Message, why string) {
	f := c.front
	f.busyCount++
	f.reporter.Record(true, f.now())
	if raw, err := f.cfg.Rules.LocalAnswer(m, diameter.TooBusy, why).Append(nil); err == nil {
		c.enqueue(f.addReport(m, raw))
	}
}

// requestKey returns the identity of a request.
func requestKey(m *diameter.Message) relay.RequestKey {
	host := ""
	if a := diameter.Find(m.AVPs, diameter.CodeOriginHost, 0); a != nil {
		host, _ = a.Identity()
	}
	return relay.RequestKey{Host: strings.ToLower(host), EndToEnd: m.EndToEnd}
}

// destination returns the ID of the backend that a request is for, empty for any. known is false if it names a server that
// is not known.
func (f *Front) destination(m *diameter.Message) (backendID string, known bool) {
	name := f.cfg.Rules.DestinationHost(m)
	if name == "" {
		return "", true
	}
	return f.cfg.BackendByIdentity(name)
}

// startCall passes a new request from a client to the core. The caller holds f.mu.
func (f *Front) startCall(m *diameter.Message, key relay.RequestKey, class int, backendID, client string) {
	f.callCount++
	call := &core.Call{
		// A new ID for each call: a client may resend a refused request with the same identifiers.
		Event:    balance.Request{ID: fmt.Sprintf("diameter-%d", f.callCount), Class: f.cfg.ClassOffset + class, OnlyBackend: backendID},
		Request:  &backend.Request{Message: m, From: client},
		Deadline: time.Now().Add(f.cfg.Rules.Classes[class].Deadline),
		Reply:    make(chan core.Answer, 1),
		// Nobody waits for further attempts once the client's connection has closed. One that is out goes on: its
		// answer is kept for the client's resend.
		HasClientLeft: func() bool { return f.isAbandoned(key) },
	}
	f.wait.Go(func() {
		f.loop.Post(func() { f.loop.Arrived(call) })
		var a core.Answer
		select {
		case a = <-call.Reply:
		case <-f.loop.Done:
			select { // the loop may have answered before it ended
			case a = <-call.Reply:
			default:
				a.Kind = core.Failed
			}
		}
		f.complete(key, m, f.cfg.Rules.Classes[class].Effect, a)
	})
}

// isAbandoned reports whether nobody waits for the answer to a request any more. It must be called without f.mu.
func (f *Front) isAbandoned(key relay.RequestKey) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.table.Waiters(key) {
		// The end of a connection may not have been read yet if the process was short of processor time.
		if c := f.conns[w.Conn]; c != nil && !connstate.PeerClosed(c.Conn) {
			return false
		}
	}
	return true
}

// answersResends reports whether resends of a request get its final answer; otherwise they are new requests.
func answersResends(a core.Answer, effect balance.Effect) bool {
	switch a.Kind {
	case core.Refused: // nothing ran
		return false
	case core.Abandoned: // it ended since nobody waited
		return !a.NeverRan && effect != balance.Safe
	}
	return true
}

// complete sends the final answer of a request to all its waiters.
func (f *Front) complete(origin relay.RequestKey, m *diameter.Message, effect balance.Effect, a core.Answer) {
	var raw []byte
	switch a.Kind {
	case core.Served:
		raw = a.Payload.([]byte)
	case core.Refused: // nothing ran
		raw, _ = f.cfg.Rules.LocalAnswer(m, diameter.TooBusy, "no server has room").Append(nil)
	default: // the request may have run: 3002 (unable to deliver) would make the client try another agent
		raw, _ = f.cfg.Rules.LocalAnswer(m, diameter.UnableToComply, "no server has answered").Append(nil)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reporter.Record(a.Kind == core.Refused, f.now())
	raw = f.addReport(m, raw)
	for _, w := range f.table.Complete(origin, raw, answersResends(a, effect), f.now()) {
		if c := f.conns[w.Conn]; c != nil {
			c.enqueue(withHopByHop(raw, w.HopByHop))
		}
	}
}

// addReport adds the current overload report, if any, to an answer for a client that accepts reports. The
// caller holds f.mu.
func (f *Front) addReport(m *diameter.Message, raw []byte) []byte {
	if r, present := f.reporter.Report(f.now()); present && relay.AcceptsOverloadReports(m) {
		return relay.AppendReport(raw, r)
	}
	return raw
}

// withHopByHop returns a copy of an encoded answer with a waiter's Hop-by-Hop identifier.
func withHopByHop(raw []byte, hop uint32) []byte {
	out := append([]byte(nil), raw...)
	diameter.SetHopByHop(out, hop)
	return out
}
