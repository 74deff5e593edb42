package standin

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"lemonrail/internal/accept"
	"lemonrail/internal/diameter"
)

// DiameterNode is a scripted Diameter server: it answers the base protocol itself and passes all other
// messages to its handler.
type DiameterNode struct {
	Identity string // Origin-Host of its answers
	ln       net.Listener
	handle   func(c *DiameterConn, m *diameter.Message) // called for each message outside of the base protocol, in the connection's goroutine
	mu       sync.Mutex
	conns    map[*DiameterConn]bool // open connections
	wait     sync.WaitGroup
}

// DiameterConn is a connection of a DiameterNode, or of a client made by DialDiameter.
type DiameterConn struct {
	net.Conn
	identity         string // Origin-Host of what it sends
	mu               sync.Mutex
	Received         chan *diameter.Message // client only: all messages but base protocol requests, which the connection answers itself
	DisconnectCauses chan uint32            // client only: Disconnect-Cause of each DPR received
	IgnoreDPR        bool                   // do not answer DPRs; set it before one can arrive
}

// NewDiameterNode starts a node on a free loopback port.
func NewDiameterNode(identity string, handle func(c *DiameterConn, m *diameter.Message)) (*DiameterNode, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return NewDiameterNodeOn(ln, identity, handle), nil
}

// NewDiameterNodeOn starts a node on a listener and takes ownership of the listener.
func NewDiameterNodeOn(ln net.Listener, identity string, handle func(c *DiameterConn, m *diameter.Message)) *DiameterNode {
	n := &DiameterNode{Identity: identity, ln: ln, handle: handle, conns: map[*DiameterConn]bool{}}
	n.wait.Go(func() {
		connections := accept.Retry(ln, nil, slog.New(slog.DiscardHandler))
		for {
			nc, err := connections.Accept()
			if err != nil {
				return
			}
			c := &DiameterConn{Conn: nc, identity: identity}
			n.mu.Lock()
			n.conns[c] = true
			n.mu.Unlock()
			n.wait.Go(func() {
				defer func() {
					nc.Close()
					n.mu.Lock()
					delete(n.conns, c)
					n.mu.Unlock()
				}()
				c.read(func(m *diameter.Message) { n.handle(c, m) })
			})
		}
	})
	return n
}

// Addr returns the address that the node listens on.
func (n *DiameterNode) Addr() string { return n.ln.Addr().String() }

// ForEachConn calls do for each open connection. do must not open or close connections of the node, whose lock is held.
func (n *DiameterNode) ForEachConn(do func(c *DiameterConn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		do(c)
	}
}

// Stop closes the listener and all connections, as when a process dies, and waits for the handlers.
func (n *DiameterNode) Stop() {
	n.ln.Close()
	n.ForEachConn(func(c *DiameterConn) { c.Close() })
	n.wait.Wait()
}

// read reads messages until the connection ends. It answers base protocol requests and passes all other messages to rest.
func (c *DiameterConn) read(rest func(m *diameter.Message)) {
	limits := diameter.DefaultLimits()
	messages := diameter.NewReader(c.Conn, limits)
	for {
		raw, err := messages.Next()
		if err != nil {
			return
		}
		m, err := diameter.Decode(raw, limits)
		if err != nil {
			return
		}
		if m.Request() && m.Application == diameter.AppBase && (m.Command == diameter.CapabilitiesExchange ||
			m.Command == diameter.DeviceWatchdog || m.Command == diameter.DisconnectPeer) {
			if m.Command == diameter.DisconnectPeer && c.DisconnectCauses != nil {
				cause := uint32(0)
				if a := diameter.Find(m.AVPs, diameter.CodeDisconnectCause, 0); a != nil {
					cause, _ = a.Uint32()
				}
				c.DisconnectCauses <- cause
				if c.IgnoreDPR {
					continue
				}
			}
			c.Answer(m, diameter.Success)
			continue
		}
		rest(m)
	}
}

// Answer sends an answer to m with the given result code.
func (c *DiameterConn) Answer(m *diameter.Message, result uint32, more ...diameter.AVP) {
	a := m.Answer()
	if result/1000 == 3 {
		a.Flags |= diameter.FlagError
	}
	a.AVPs = append([]diameter.AVP{diameter.U32(diameter.CodeResultCode, result), diameter.Str(diameter.CodeOriginHost, c.identity),
		diameter.Str(diameter.CodeOriginRealm, "example.net")}, more...)
	c.Send(a)
}

// Send writes a message. On an error it closes the connection, so that the connection's reader ends.
func (c *DiameterConn) Send(m *diameter.Message) {
	raw, err := m.Append(nil)
	if err != nil {
		panic(err) // an invalid script
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	c.Write(raw)
}

// DialDiameter connects a client and sends a CER. The answer to the CER is the first message on Received.
func DialDiameter(addr, identity string, application uint32) (*DiameterConn, error) {
	nc, err := net.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	c := &DiameterConn{Conn: nc, identity: identity, Received: make(chan *diameter.Message, 256), DisconnectCauses: make(chan uint32, 8)}
	c.Send(&diameter.Message{Flags: diameter.FlagRequest, Command: diameter.CapabilitiesExchange, HopByHop: 1, EndToEnd: 1,
		AVPs: []diameter.AVP{diameter.Str(diameter.CodeOriginHost, identity), diameter.Str(diameter.CodeOriginRealm, "example.net"),
			diameter.U32(diameter.CodeAuthApplication, application)}})
	go func() {
		defer close(c.Received)
		c.read(func(m *diameter.Message) { c.Received <- m })
	}()
	return c, nil
}
