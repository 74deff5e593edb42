package lab

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/internal/standin"
)

// Applications and commands that the cases use.
const (
	AppSh         = 16777217 // 3GPP TS 29.329
	ProfileUpdate = 307      // changes a subscriber's data: it matches no class of the deploy file, and so is unsafe
	Realm         = "example.net"
)

// DiameterFile writes deploy/diameter.toml with other listen address and clients, and returns its path. change may edit
// the text; nil: it stays.
func (l *Lab) DiameterFile(listen string, clients int, change func(string) string) (string, error) {
	raw, err := os.ReadFile("deploy/diameter.toml")
	if err != nil {
		return "", err
	}
	text := strings.Replace(string(raw), `listen = "127.0.0.1:3868"`, fmt.Sprintf("listen = %q", listen), 1)
	for i := 2; i <= clients; i++ {
		text = strings.Replace(text, "[[route]]", fmt.Sprintf("[[peer]]\nidentity = %q\naddress = \"127.0.0.1\"\n\n[[route]]", ClientName(i)), 1)
	}
	if change != nil {
		text = change(text)
	}
	return l.Write("diameter.toml", text)
}

// ClientName returns the identity of a client, from 1.
func ClientName(n int) string { return fmt.Sprintf("client%d.example.net", n) }

// Request returns a request of a client.
func Request(command, application uint32, client, session string, id uint32, more ...diameter.AVP) *diameter.Message {
	return &diameter.Message{Flags: diameter.FlagRequest | diameter.FlagProxiable, Command: command, Application: application, HopByHop: id, EndToEnd: id,
		AVPs: append([]diameter.AVP{diameter.Str(diameter.CodeSessionID, session), diameter.U32(diameter.CodeAuthApplication, application),
			diameter.Str(diameter.CodeOriginHost, client), diameter.Str(diameter.CodeOriginRealm, Realm),
			diameter.Str(diameter.CodeDestinationRealm, Realm)}, more...)}
}

// Session returns the Session-Id of a message.
func Session(m *diameter.Message) string {
	if a := diameter.Find(m.AVPs, diameter.CodeSessionID, 0); a != nil {
		return string(a.Data)
	}
	return ""
}

// Again returns m as a client resends it after its connection has failed (RFC 6733, 5.5.4): with the T flag, the same
// End-to-End and another Hop-by-Hop identifier.
func Again(m *diameter.Message, hop uint32) *diameter.Message {
	again := *m
	again.Flags |= diameter.FlagRetransmitted
	again.HopByHop = hop
	return &again
}

// RunAt is one execution of a request at a server.
type RunAt struct {
	Server string
	At     time.Time
	T      bool // the request had the T flag
}

// Servers are Diameter servers that run each request that reaches them, after a delay, and answer it.
type Servers struct {
	lab   *Lab
	Nodes []*standin.DiameterNode
	mu    sync.Mutex
	runs  map[string][]RunAt // by Session-Id
}

// NewServers starts servers with the given identities. after returns how long the server with a number takes for a request;
// negative: it never answers. data returns what an answer carries.
func (l *Lab) NewServers(identities []string, after func(server int, m *diameter.Message) time.Duration, data func(m *diameter.Message) []diameter.AVP) (*Servers, error) {
	s := &Servers{lab: l, runs: map[string][]RunAt{}}
	for i, name := range identities {
		n, err := standin.NewDiameterNode(name, func(c *standin.DiameterConn, m *diameter.Message) {
			if !m.Request() {
				return
			}
			s.mu.Lock()
			s.runs[Session(m)] = append(s.runs[Session(m)], RunAt{name, time.Now(), m.Flags&diameter.FlagRetransmitted != 0})
			s.mu.Unlock()
			if m.Command == ProfileUpdate {
				l.Record("%s runs %s, end-to-end %d, T %v", name, Session(m), m.EndToEnd, m.Flags&diameter.FlagRetransmitted != 0)
			}
			wait := after(i, m)
			if wait < 0 {
				return
			}
			time.AfterFunc(wait, func() {
				c.Answer(m, diameter.Success, append([]diameter.AVP{diameter.Str(diameter.CodeSessionID, Session(m))}, data(m)...)...)
			})
		})
		if err != nil {
			return nil, err
		}
		s.Nodes = append(s.Nodes, n)
	}
	return s, nil
}

// Runs returns the executions of a request.
func (s *Servers) Runs(session string) []RunAt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RunAt{}, s.runs[session]...)
}

// Count returns the number of requests that the servers have run.
func (s *Servers) Count() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		n += len(r)
	}
	return n
}

// Dial connects a client and waits until capabilities are exchanged.
func Dial(addr, identity string, application uint32) (*standin.DiameterConn, error) {
	c, err := standin.DialDiameter(addr, identity, application)
	if err != nil {
		return nil, err
	}
	select {
	case m, open := <-c.Received:
		if !open || m.Result() != diameter.Success {
			return nil, fmt.Errorf("%s: capabilities were not exchanged", identity)
		}
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("%s: no answer to the capabilities exchange", identity)
	}
	return c, nil
}

// Proxy passes connections on to an address until it is told to reset them.
type Proxy struct {
	ln    net.Listener
	to    string
	mu    sync.Mutex
	conns []*net.TCPConn
}

// NewProxy starts a proxy to an address.
func NewProxy(to string) (*Proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, to: to}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go p.pass(in.(*net.TCPConn))
		}
	}()
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

func (p *Proxy) pass(in *net.TCPConn) {
	nc, err := net.Dial("tcp4", p.to)
	if err != nil {
		in.Close()
		return
	}
	out := nc.(*net.TCPConn)
	p.mu.Lock()
	p.conns = append(p.conns, in, out)
	p.mu.Unlock()
	copyTo := func(to, from *net.TCPConn) {
		to.ReadFrom(from)
		to.CloseWrite()
	}
	go copyTo(in, out)
	copyTo(out, in)
}

// Reset resets all connections that the proxy has, on both sides. New ones are passed on as before.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.SetLinger(0)
		c.Close()
	}
	p.conns = nil
}

// SetKey sets a key of the class with a name in the text of a file like deploy/diameter.toml.
func SetKey(text, class, key string, value int64) string {
	before, after, found := strings.Cut(text, fmt.Sprintf("name = %q", class))
	at := strings.Index(after, key+" = ")
	if !found || at < 0 {
		panic("no " + key + " of " + class)
	}
	end := at + strings.IndexByte(after[at:], '\n')
	return before + fmt.Sprintf("name = %q", class) + after[:at] + fmt.Sprintf("%s = %d", key, value) + after[end:]
}

// Capabilities exchanges capabilities on a client's connection.
func Capabilities(nc net.Conn, identity string, application uint32) error {
	m := &diameter.Message{Flags: diameter.FlagRequest, Command: diameter.CapabilitiesExchange, HopByHop: 1, EndToEnd: 1,
		AVPs: []diameter.AVP{diameter.Str(diameter.CodeOriginHost, identity), diameter.Str(diameter.CodeOriginRealm, Realm),
			diameter.U32(diameter.CodeAuthApplication, application)}}
	raw, err := m.Append(nil)
	if err != nil {
		return err
	}
	if _, err := nc.Write(raw); err != nil {
		return err
	}
	nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	defer nc.SetReadDeadline(time.Time{})
	head := make([]byte, 4)
	if _, err := io.ReadFull(nc, head); err != nil { // byte by byte: what follows the answer is left for the caller
		return err
	}
	rest := make([]byte, int(head[1])<<16|int(head[2])<<8|int(head[3])-4)
	if _, err := io.ReadFull(nc, rest); err != nil {
		return err
	}
	a, err := diameter.Decode(append(head, rest...), diameter.DefaultLimits())
	if err == nil && a.Result() != diameter.Success {
		err = fmt.Errorf("capabilities exchange: %d", a.Result())
	}
	return err
}

// AnswerBase answers a request of the base protocol with success.
func AnswerBase(nc net.Conn, m *diameter.Message, identity string) {
	a := m.Answer()
	a.AVPs = []diameter.AVP{diameter.U32(diameter.CodeResultCode, diameter.Success), diameter.Str(diameter.CodeOriginHost, identity),
		diameter.Str(diameter.CodeOriginRealm, Realm)}
	if raw, err := a.Append(nil); err == nil {
		nc.Write(raw)
	}
}
