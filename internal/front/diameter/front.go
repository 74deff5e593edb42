// Package diameter takes clients' requests over Diameter, as a relay, and answers them as the core decides.
//
// Each connection has a reader and a writer goroutine, each request in hand one that waits for the core's
// answer. A mutex guards connections and the table of requests. A request that is sent again, on the same
// connection or another, is the same one: it has one final answer, which goes to all who wait for it.
// Bounded are connections, the time until a client has made itself known, what waits to be written to each,
// and by relay.Limits the requests in hand and the answers kept.
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
	"lemonrail/internal/core"
	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/overload"
	"lemonrail/internal/diameter/relay"
)

// Config is what a Front is told.
type Config struct {
	Rules       *relay.Rules
	Identity    string
	Realm       string
	Offset      int // of the rules' classes among the module's
	Limits      relay.Limits
	Overload    overload.Config // what clients that heed it are told of overload
	Peer        diameter.PeerConfig
	Named       func(identity string) (backend string, ok bool) // whose server has an identity
	Connections int                                             // of clients; more are closed at once
	Hello       time.Duration                                   // for a client to make itself known
	Log         *slog.Logger
}

const (
	writeQueue = 256         // messages that wait for a client; one that reads so little is cut off
	writeLimit = time.Second // for one of them
)

// Front takes clients' requests.
type Front struct {
	cfg   Config
	loop  *core.Loop
	began time.Time
	wait  sync.WaitGroup

	mu    sync.Mutex
	load  *overload.Reporter
	table *relay.Table
	conns map[uint64]*conn
	next  uint64
	calls uint64
	leave bool // a stop is planned: clients have been told, what is in hand is answered yet
	done  bool
}

// New returns a front for a loop.
func New(cfg Config, loop *core.Loop) (*Front, error) {
	load, err := overload.New(cfg.Overload, uint64(time.Now().Unix())<<20) // above those of an earlier process
	if err != nil {
		return nil, err
	}
	return &Front{cfg: cfg, loop: loop, began: time.Now(), load: load, table: relay.NewTable(cfg.Limits), conns: map[uint64]*conn{}}, nil
}

func (f *Front) now() time.Duration { return time.Since(f.began) + time.Millisecond }

// conn is a client's connection.
type conn struct {
	net.Conn
	f      *Front
	no     uint64
	writes chan []byte
	ended  chan struct{}

	mu     sync.Mutex
	peer   *diameter.Peer
	name   string // the client's identity, once known
	timer  *time.Timer
	ids    uint32
	gone   bool
	agreed bool // the client knows that we leave: it has answered our DPR
}

// Serve takes connections until ctx ends; then it ends them, once what is in hand has been answered or by
// has passed, and waits for its goroutines.
func (f *Front) Serve(ctx context.Context, ln net.Listener, by func() time.Time) error {
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
	told := f.sayGoodbye()
	end := by()
	for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		n := f.table.InHand()
		f.mu.Unlock()
		if n == 0 && !slices.ContainsFunc(told, (*conn).waits) {
			break
		}
	}
	f.mu.Lock()
	f.done = true
	open := slices.Collect(maps.Values(f.conns))
	f.mu.Unlock()
	for _, c := range open {
		c.finish()
	}
	late := time.AfterFunc(time.Until(end), func() { // whatever is still to be written
		for _, c := range open {
			c.Close()
		}
	})
	defer late.Stop()
	f.wait.Wait()
	return fault
}

// finish reads nothing more of a connection, which ends once what is queued for its client has been written. Guards
// against an answer that is in the queue, and no longer in hand, when the connection is closed.
func (c *conn) finish() {
	reader, ok := c.Conn.(interface{ CloseRead() error })
	if !ok || reader.CloseRead() != nil {
		c.Close()
	}
}

// sayGoodbye asks the clients that are known to end their connections (DPR, RFC 6733, 5.4) and returns theirs. What
// they still send is taken, what they are owed they get: the connections end once all is answered.
func (f *Front) sayGoodbye() (told []*conn) {
	f.mu.Lock()
	f.leave = true
	for _, c := range f.conns {
		told = append(told, c)
	}
	f.mu.Unlock()
	for _, c := range told { // outside the lock: a connection takes it within its own
		c.mu.Lock()
		switch {
		case c.gone:
		case c.name == "":
			c.Close()
		default:
			c.step(diameter.Event{Input: diameter.Stop, Cause: diameter.Rebooting})
		}
		c.mu.Unlock()
	}
	return told
}

// waits reports whether a client has not yet answered our DPR, and has not gone.
func (c *conn) waits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.gone && !c.agreed
}

// leaving reports whether a stop is planned and something is in hand yet.
func (f *Front) leaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leave && f.table.InHand() > 0
}

func (f *Front) accept(nc net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.done || len(f.conns) >= f.cfg.Connections {
		nc.Close()
		return
	}
	f.next++
	cfg := f.cfg.Peer
	cfg.Persistent = false
	c := &conn{Conn: nc, f: f, no: f.next, writes: make(chan []byte, writeQueue), ended: make(chan struct{}), ids: rand.Uint32(),
		peer: diameter.NewPeer(f.cfg.Identity, cfg, rand.New(rand.NewPCG(rand.Uint64(), 0)))}
	f.conns[c.no] = c
	f.wait.Go(c.write)
	f.wait.Go(c.read)
}

// enqueue hands a message to the writer. A client that does not read is cut off, and holds up nobody.
func (c *conn) enqueue(raw []byte) {
	select {
	case c.writes <- raw:
	default:
		c.Close()
	}
}

func (c *conn) write() {
	for {
		select {
		case raw := <-c.writes:
			c.SetWriteDeadline(time.Now().Add(writeLimit))
			if _, err := c.Write(raw); err != nil {
				c.Close()
				return
			}
		case <-c.ended:
			for { // what was decided before the end, such as the reason for it
				select {
				case raw := <-c.writes:
					c.SetWriteDeadline(time.Now().Add(writeLimit))
					if _, err := c.Write(raw); err != nil {
						c.Close()
						return
					}
				default:
					c.Close()
					return
				}
			}
		}
	}
}

func (c *conn) read() {
	defer c.end()
	limits := diameter.DefaultLimits()
	messages := diameter.NewReader(c, limits)
	c.SetReadDeadline(time.Now().Add(c.f.cfg.Hello))
	for {
		raw, err := messages.Next()
		var breach *diameter.Error
		if err != nil {
			if errors.As(err, &breach) {
				c.f.cfg.Log.Debug("diameter client", "err", err)
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
		if err != nil || !c.take(m) {
			return
		}
	}
}

// end forgets a connection. What it asked for stays in hand: what runs, runs, and the client may ask again.
func (c *conn) end() {
	c.mu.Lock()
	c.gone = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	c.f.mu.Lock()
	delete(c.f.conns, c.no)
	c.f.table.Left(c.no)
	c.f.mu.Unlock()
	close(c.ended)
}

// answer answers a request that ends here.
func (c *conn) answer(m *diameter.Message, e *diameter.Error) {
	a := c.f.cfg.Rules.Refusal(m, e.Result, e.Text)
	if e.Failed != nil {
		a.AVPs = append(a.AVPs, diameter.Group(diameter.CodeFailedAVP, *e.Failed))
	}
	if raw, err := a.Append(nil); err == nil {
		c.enqueue(raw)
	}
}

// take reports whether the connection goes on.
func (c *conn) take(m *diameter.Message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.name == "" {
		return c.hello(m)
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
		return m.Command != diameter.CapabilitiesExchange // a second one: RFC 6733, 5.6, has no state for it
	}
	c.step(diameter.Event{Input: diameter.GotOther, Side: diameter.Responder})
	if !m.Request() {
		return true // nothing was asked of clients
	}
	if err := c.f.cfg.Rules.Take(m); err != nil {
		c.answer(m, err)
		return true
	}
	c.request(m)
	return true
}

// hello takes the first message of a connection, which has to be a CER from a client that may connect.
func (c *conn) hello(m *diameter.Message) bool {
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
	case !c.f.cfg.Rules.Known(name, machine):
		c.answer(m, &diameter.Error{Result: diameter.UnknownPeer, Text: "not known here"})
		return false
	case !common(m, c.f.cfg.Rules.Applications()):
		c.answer(m, &diameter.Error{Result: diameter.NoCommonApplication, Text: "no application in common"})
		return false
	}
	c.name = name
	a := c.f.cfg.Rules.Refusal(m, diameter.Success, "")
	if t, ok := c.LocalAddr().(*net.TCPAddr); ok {
		a.AVPs = append(a.AVPs, diameter.IP(diameter.CodeHostIPAddress, t.AddrPort().Addr().Unmap()))
	}
	a.AVPs = append(a.AVPs, diameter.U32(diameter.CodeVendorID, 0), diameter.Optional(diameter.Str(diameter.CodeProductName, "lemonrail")))
	for _, app := range c.f.cfg.Rules.Applications() {
		a.AVPs = append(a.AVPs, diameter.U32(diameter.CodeAuthApplication, app))
	}
	raw, err := a.Append(nil)
	if err != nil {
		return false
	}
	c.enqueue(raw)
	c.SetReadDeadline(time.Time{}) // the watchdog's matter from here on
	c.step(diameter.Event{Input: diameter.GotCER, Host: name})
	return true
}

// common reports whether a client's capabilities hold one of our applications, or are a relay's.
func common(m *diameter.Message, ours []uint32) bool {
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
				for _, o := range ours {
					found = found || err == nil && (v == o || v == diameter.AppRelay)
				}
			}
		}
	}
	look(m.AVPs, 0)
	return found
}

// tell sends a request of the base protocol. The lock is held.
func (c *conn) tell(command uint32, more ...diameter.AVP) {
	c.ids++
	m := diameter.Message{Flags: diameter.FlagRequest, Command: command, HopByHop: c.ids, EndToEnd: c.ids,
		AVPs: append([]diameter.AVP{diameter.Str(diameter.CodeOriginHost, c.f.cfg.Identity), diameter.Str(diameter.CodeOriginRealm, c.f.cfg.Realm)}, more...)}
	if raw, err := m.Append(nil); err == nil {
		c.enqueue(raw)
	}
}

// step takes an event and carries out what the peer's machine wants; answers of the base protocol have been
// written already. The lock is held.
func (c *conn) step(e diameter.Event) {
	for _, act := range c.peer.Step(c.f.now(), e) {
		switch act.Act {
		case diameter.SendDWR:
			c.tell(diameter.DeviceWatchdog)
		case diameter.SendDPR:
			c.tell(diameter.DisconnectPeer, diameter.U32(diameter.CodeDisconnectCause, diameter.Rebooting))
		case diameter.Disconnect, diameter.Reject:
			c.agreed = true
			// Guards against an answer that is owed on a connection whose client has agreed to its end.
			if act.Act == diameter.Reject || !c.f.leaving() {
				c.Close()
			}
		}
	}
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if due := c.peer.Due(); due > 0 && !c.gone {
		c.timer = time.AfterFunc(max(0, due-c.f.now())+time.Millisecond, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !c.gone {
				c.step(diameter.Event{Input: diameter.Tick})
			}
		})
	}
}

// request takes a request that is to be relayed.
func (c *conn) request(m *diameter.Message) {
	f := c.f
	host := ""
	if a := diameter.Find(m.AVPs, diameter.CodeOriginHost, 0); a != nil {
		host, _ = a.Identity()
	}
	only := ""
	if name := f.cfg.Rules.Wanted(m); name != "" {
		known := false
		if only, known = f.cfg.Named(name); !known {
			c.answer(m, &diameter.Error{Result: diameter.UnableToDeliver, Text: "no server of that name is known"})
			return
		}
	}
	origin := relay.Origin{Host: strings.ToLower(host), EndToEnd: m.EndToEnd}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.done { // it has come as the connection ends: nobody would get its answer
		return
	}
	verdict, kept := f.table.Arrive(origin, relay.Waiter{Conn: c.no, HopByHop: m.HopByHop}, f.now())
	switch verdict {
	case relay.Answered:
		c.enqueue(addressed(kept, m.HopByHop))
		return
	case relay.Joined:
		return
	case relay.Busy:
		f.load.Ended(true, f.now())
		if raw, err := f.cfg.Rules.Refusal(m, diameter.TooBusy, "too many requests in hand").Append(nil); err == nil {
			c.enqueue(f.report(m, raw))
		}
		return
	}
	f.calls++
	class := f.cfg.Rules.Classify(m)
	call := &core.Call{
		// An id of its own for each: a request that was refused may come again under its old ids.
		Event:    balance.Request{ID: fmt.Sprintf("diameter-%d", f.calls), Class: f.cfg.Offset + class, Only: only},
		Request:  &backend.Request{Message: m, From: c.name},
		Deadline: time.Now().Add(f.cfg.Rules.Classes[class].Deadline),
		Reply:    make(chan core.Answer, 1),
	}
	f.wait.Go(func() {
		f.loop.Post(func() { f.loop.Arrived(call) })
		var a core.Answer
		select {
		case a = <-call.Reply:
		case <-f.loop.Dead:
			select { // the loop may have answered on its way out
			case a = <-call.Reply:
			default:
				a.Kind = core.Failed
			}
		}
		f.answered(origin, m, a)
	})
}

// answered gives a request its one final answer.
func (f *Front) answered(origin relay.Origin, m *diameter.Message, a core.Answer) {
	var raw []byte
	switch a.Kind {
	case core.Served:
		raw = a.Payload.([]byte)
	case core.Refused: // nothing ran
		raw, _ = f.cfg.Rules.Refusal(m, diameter.TooBusy, "no server has room").Append(nil)
	default: // it may have run: unable to deliver (3002) would tell the client to try another agent
		raw, _ = f.cfg.Rules.Refusal(m, diameter.UnableToComply, "no server has answered").Append(nil)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.Ended(a.Kind == core.Refused, f.now())
	raw = f.report(m, raw)
	for _, w := range f.table.Answer(origin, raw, a.Kind != core.Refused, f.now()) {
		if c := f.conns[w.Conn]; c != nil {
			c.enqueue(addressed(raw, w.HopByHop))
		}
	}
}

// report puts into an answer what its client, if it heeds such, is to know of overload. The lock is held.
func (f *Front) report(m *diameter.Message, raw []byte) []byte {
	if r, told := f.load.Report(f.now()); told && relay.Heeds(m) {
		return relay.Reported(raw, r)
	}
	return raw
}

// addressed is a copy of an answer under a waiter's Hop-by-Hop id.
func addressed(raw []byte, hop uint32) []byte {
	out := append([]byte(nil), raw...)
	diameter.SetHopByHop(out, hop)
	return out
}
