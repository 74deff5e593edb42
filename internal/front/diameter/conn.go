package diameter

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lemonrail/internal/diameter"
)

// This file handles the connection of a client: its messages, its state machine and its end.

// writeTimeout bounds the writing of a message to a client. Clients may pause for seconds.
const writeTimeout = 10 * time.Second

// conn is a connection of a client.
type conn struct {
	net.Conn
	front  *Front
	id     uint64  // number of the connection, as in relay.Waiter
	writes *outbox // encoded messages for the client
	pace   connPace

	mu          sync.Mutex
	peer        *diameter.Peer // state machine of the client's connection
	name        string         // the client's identity; empty until its CER was accepted
	known       atomic.Bool    // name is set
	timer       *time.Timer    // for the state machine's next Tick
	lastID      uint32         // identifier of the last request of the base protocol
	closed      bool
	dpaReceived bool // the client has answered the DPR of a planned stop, or its connection is to be closed
}

// closeAfterWrites stops reading from the connection, which is closed once the messages queued for the client
// have been written. Closing it at once would lose a queued answer whose request is no longer pending.
func (c *conn) closeAfterWrites() {
	reader, ok := c.Conn.(interface{ CloseRead() error })
	if !ok || reader.CloseRead() != nil {
		c.Close()
	}
}

// awaitsDPA reports whether the connection is open and the client has not answered the DPR yet.
func (c *conn) awaitsDPA() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.dpaReceived
}

// enqueue passes a message to the writer without blocking.
func (c *conn) enqueue(raw []byte) { c.writes.push(raw, false) }

// enqueueLocal passes an answer to the writer that needed no server, without blocking.
func (c *conn) enqueueLocal(raw []byte) {
	c.front.pacer.recordLocalAnswer(&c.pace, c.front.now())
	c.writes.push(raw, true)
}

// write writes queued messages until the reader has ended and the queue is empty: what was queued before the end, such as
// an error answer that explains it, is still written.
func (c *conn) write() {
	defer c.front.cfg.Descriptors(-1)
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
	received := &arrivalReader{conn: c.Conn}
	messages := diameter.NewReader(received, limits)
	c.SetReadDeadline(time.Now().Add(c.front.cfg.CERTimeout))
	for {
		c.awaitTurn(received.observe)
		raw, err := messages.Next()
		var breach *diameter.Error
		if err != nil {
			if errors.As(err, &breach) {
				c.front.cfg.Log.Debug("invalid message from diameter client", "err", err)
			}
			return
		}
		arrived := received.next(len(raw))
		m, err := diameter.Decode(raw, limits)
		if errors.As(err, &breach) {
			if m == nil || !m.Request() || breach.Fatal {
				return
			}
			c.answer(m, breach)
			continue
		}
		if err != nil || !c.handle(m, len(raw), arrived) {
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
		c.enqueueLocal(raw)
	}
}

// handle processes a message of that many bytes, which arrived at the given time, and reports whether the connection stays
// open.
func (c *conn) handle(m *diameter.Message, bytes int, arrived time.Time) bool {
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
	c.relayRequest(m, bytes, arrived)
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
	c.known.Store(true)
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
