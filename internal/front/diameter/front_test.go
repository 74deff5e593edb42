package diameter

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lemonrail/balance"
	backend "lemonrail/internal/backend/diameter"
	"lemonrail/internal/core"
	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/overload"
	"lemonrail/internal/diameter/relay"
	"lemonrail/internal/scripted"
	"lemonrail/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// relaySite is a relay between clients and scripted servers.
type relaySite struct {
	t     testing.TB
	addr  string
	loop  *core.Loop
	nodes []*standin.DiameterNode
	list  func(state ...balance.BackendState)
	ids   atomic.Uint32
	leave context.CancelFunc // begins a planned stop of the front
	left  chan struct{}      // closed at its end
	by    time.Duration      // that it may take
}

func newSite(t testing.TB, window int, scripts ...func(c *standin.DiameterConn, m *diameter.Message)) *relaySite {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	raw, err := os.ReadFile("../../../deploy/diameter.toml")
	if err != nil {
		t.Fatal(err)
	}
	rules, err := relay.ParseRules("diameter.toml", raw)
	if err != nil {
		t.Fatal(err)
	}
	s := balance.Settings{Balancers: 1, MaxAttempts: 4, ConnectTimeout: 5 * time.Second, AnswerGrace: 100 * time.Millisecond,
		RampTime: time.Second, FallMultiple: 3, FallWindow: time.Second, DrainGrace: 500 * time.Millisecond, Classes: rules.Classes}
	bal, err := balance.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	loop := core.New(bal, &s, log)
	b := backend.New(backend.Config{Rules: rules, Identity: "relay.example.net", Realm: "example.net", ConnectTimeout: 5 * time.Second,
		Window: window, Peer: diameter.DefaultPeerConfig(), Log: log,
		Leaves: func(id string, leaves bool) { loop.Post(func() { loop.Leaves(id, leaves) }) }})
	loop.Backend = b
	site := &relaySite{t: t, loop: loop, left: make(chan struct{}), by: 5 * time.Second}
	for i, script := range scripts {
		n, err := standin.NewDiameterNode(fmt.Sprintf("s%d.example.net", i), script)
		if err != nil {
			t.Fatal(err)
		}
		site.nodes = append(site.nodes, n)
	}
	site.list = func(state ...balance.BackendState) {
		l := balance.List{Kind: balance.ListFull}
		addrs := map[string]string{}
		for i, n := range site.nodes {
			e := balance.Backend{ID: n.Identity, Weight: 1}
			if i < len(state) {
				e.State = state[i]
			}
			l.Backends = append(l.Backends, e)
			addrs[n.Identity] = n.Addr()
		}
		done := make(chan struct{})
		loop.Post(func() { loop.Listed(l, addrs); close(done) })
		scripted.Await(t, done)
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	site.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	inner, stop := context.WithCancel(context.Background())
	front, err := New(Config{Rules: rules, Identity: "relay.example.net", Realm: "example.net", Limits: relay.DefaultLimits(),
		Overload: overload.Config{Span: 100 * time.Millisecond, Validity: time.Second, Least: 8, Grow: 2, Step: 0.05, Most: 0.9},
		Peer:     diameter.DefaultPeerConfig(), Named: b.Named, Connections: 8, Hello: 10 * time.Second, Log: log}, loop)
	if err != nil {
		t.Fatal(err)
	}
	var parts sync.WaitGroup
	parts.Go(func() { loop.Run(inner) })
	site.leave = cancel
	parts.Go(func() {
		defer close(site.left)
		front.Serve(ctx, ln, func() time.Time { return time.Now().Add(site.by) })
	})
	site.list()
	t.Cleanup(func() {
		stop() // answers what is in hand as failed
		cancel()
		parts.Wait()
		b.Close()
		for _, n := range site.nodes {
			n.Stop()
		}
	})
	return site
}

func (s *relaySite) client() *standin.DiameterConn {
	s.t.Helper()
	c, err := standin.DialDiameter(s.addr, "client1.example.net", diameter.AppCreditControl)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	if m := scripted.Await(s.t, c.Got); m.Command != diameter.CapabilitiesExchange || code(m) != diameter.Success {
		s.t.Fatalf("no capabilities exchange: %+v", m)
	}
	return c
}

func code(m *diameter.Message) uint32 {
	if m == nil {
		return 0
	}
	return m.Result()
}

// ask is a request of a kind: action 2 is safe, others are keyed; type 0 stands for one of no class.
func (s *relaySite) ask(kind, action uint32) *diameter.Message {
	id := s.ids.Add(1)
	m := &diameter.Message{Flags: diameter.FlagRequest | diameter.FlagProxiable, Command: diameter.CreditControl,
		Application: diameter.AppCreditControl, HopByHop: 100 + id, EndToEnd: 1000 + id,
		AVPs: []diameter.AVP{diameter.Str(diameter.CodeSessionID, fmt.Sprint("s;", id)), diameter.Str(diameter.CodeOriginHost, "client1.example.net"),
			diameter.Str(diameter.CodeOriginRealm, "example.net"), diameter.Str(diameter.CodeDestinationRealm, "example.net"),
			diameter.U32(diameter.CodeCCRequestType, kind), diameter.U32(diameter.CodeRequestedAction, action)}}
	if kind == 0 {
		m.Command = diameter.ReAuth
	}
	return m
}

func good(c *standin.DiameterConn, m *diameter.Message) { c.Answer(m, diameter.Success) }

// What comes back is the server's answer under the client's ids; what went on carries Route-Record.
func TestRelays(t *testing.T) {
	routes := make(chan string, 1)
	s := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) {
		v, _ := diameter.Find(m.AVPs, diameter.CodeRouteRecord, 0).Identity()
		routes <- v
		good(c, m)
	})
	c := s.client()
	m := s.ask(4, 2)
	c.Send(m)
	a := scripted.Await(t, c.Got)
	host, _ := diameter.Find(a.AVPs, diameter.CodeOriginHost, 0).Identity()
	if code(a) != diameter.Success || a.HopByHop != m.HopByHop || a.EndToEnd != m.EndToEnd || host != "s0.example.net" {
		t.Errorf("got %+v", a)
	}
	if r := scripted.Await(t, routes); r != "client1.example.net" {
		t.Errorf("Route-Record %q", r)
	}
}

// A server vanishes with the answer owed. Whatever the class allows happens, marked as sent before; and the
// client that asks again, on its connection and on a new one, gets the one answer.
func TestServerVanishes(t *testing.T) {
	for _, tt := range []struct {
		name         string
		kind, action uint32
		want         uint32
		runs         int
	}{{"safe", 4, 2, diameter.Success, 2}, {"keyed", 1, 0, diameter.Success, 2}, {"of no class", 0, 0, diameter.UnableToComply, 1}} {
		t.Run(tt.name, func(t *testing.T) {
			var mu sync.Mutex
			var marked []bool
			asked, release := make(chan struct{}, 10), make(chan struct{})
			script := func(c *standin.DiameterConn, m *diameter.Message) {
				mu.Lock()
				marked = append(marked, m.Flags&diameter.FlagRetransmitted != 0)
				first := len(marked) == 1
				mu.Unlock()
				if first {
					asked <- struct{}{}
					<-release
					c.Close() // with the answer owed
					return
				}
				good(c, m)
			}
			s := newSite(t, 16, script, script)
			one, two := s.client(), s.client()
			m := s.ask(tt.kind, tt.action)
			one.Send(m)
			scripted.Await(t, asked)
			again := *m
			again.Flags |= diameter.FlagRetransmitted
			again.HopByHop = 5000
			two.Send(&again)
			barrier := s.ask(4, 2) // by its answer what was sent before has been taken
			barrier.Application = 77
			two.Send(barrier)
			if a := scripted.Await(t, two.Got); code(a) != diameter.ApplicationUnsupported {
				t.Fatalf("got %+v", a)
			}
			close(release)
			if a := scripted.Await(t, one.Got); code(a) != tt.want || a.HopByHop != m.HopByHop {
				t.Errorf("first connection: %d", code(a))
			}
			if a := scripted.Await(t, two.Got); code(a) != tt.want || a.HopByHop != 5000 {
				t.Errorf("second connection: %d", code(a))
			}
			again.HopByHop = 6000 // once more, after the answer
			one.Send(&again)
			if a := scripted.Await(t, one.Got); code(a) != tt.want || a.HopByHop != 6000 {
				t.Errorf("after the answer: %d", code(a))
			}
			mu.Lock()
			defer mu.Unlock()
			if len(marked) != tt.runs || marked[0] || tt.runs == 2 && !marked[1] {
				t.Errorf("attempts, marked as sent before: %v, want %d", marked, tt.runs)
			}
		})
	}
}

// A server that takes leave by DPR while it owes answers still gives them, and gets nothing new.
func TestServerTakesLeave(t *testing.T) {
	var leaving atomic.Bool
	var late atomic.Int32
	asked, release, bye := make(chan struct{}, 1), make(chan struct{}), make(chan struct{}, 1)
	s := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) {
		switch {
		case m.Command == diameter.DisconnectPeer && !m.Request(): // the relay's DPA
			bye <- struct{}{}
			return
		case leaving.Load():
			late.Add(1)
		}
		asked <- struct{}{}
		go func() {
			<-release
			good(c, m)
		}()
	}, good)
	s.list(balance.Up, balance.Draining) // so that the first has it
	c := s.client()
	first := s.ask(1, 0)
	c.Send(first)
	scripted.Await(t, asked)
	leaving.Store(true)
	s.nodes[0].Each(func(c *standin.DiameterConn) {
		c.Send(&diameter.Message{Flags: diameter.FlagRequest, Command: diameter.DisconnectPeer, HopByHop: 3, EndToEnd: 3,
			AVPs: []diameter.AVP{diameter.Str(diameter.CodeOriginHost, "s0.example.net"), diameter.Str(diameter.CodeOriginRealm, "example.net"),
				diameter.U32(diameter.CodeDisconnectCause, 0)}})
	})
	scripted.Await(t, bye)
	s.list() // which says that it is up
	for range 20 {
		m := s.ask(4, 2)
		c.Send(m)
		if a := scripted.Await(t, c.Got); code(a) != diameter.Success || a.EndToEnd != m.EndToEnd {
			t.Errorf("got %d", code(a))
		}
	}
	close(release)
	if a := scripted.Await(t, c.Got); code(a) != diameter.Success || a.EndToEnd != first.EndToEnd {
		t.Errorf("the answer that was owed: %d", code(a))
	}
	if n := late.Load(); n > 0 {
		t.Errorf("%d requests to a server that had taken leave", n)
	}
}

// A full window and a busy server turn away unseen, and another serves; where none is left, nothing ran.
func TestBusy(t *testing.T) {
	busy := func(c *standin.DiameterConn, m *diameter.Message) { c.Answer(m, diameter.TooBusy) }
	s := newSite(t, 16, busy, good)
	c := s.client()
	for range 10 {
		m := s.ask(0, 0)
		c.Send(m)
		if a := scripted.Await(t, c.Got); code(a) != diameter.Success {
			t.Errorf("got %d", code(a))
		}
	}
	s = newSite(t, 16, busy)
	c = s.client()
	m := s.ask(0, 0)
	c.Send(m)
	if a := scripted.Await(t, c.Got); code(a) != diameter.TooBusy || a.Flags&diameter.FlagError == 0 {
		t.Errorf("got %d", code(a))
	}
}

// Answers that nobody asked for, twice, or under another's id reach nobody.
func TestStrayAnswers(t *testing.T) {
	s := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) {
		stray := *m
		stray.HopByHop += 77
		good(c, &stray)
		good(c, m)
		good(c, m)
	})
	c := s.client()
	for range 5 {
		m := s.ask(4, 2)
		c.Send(m)
		if a := scripted.Await(t, c.Got); a.EndToEnd != m.EndToEnd || a.HopByHop != m.HopByHop {
			t.Errorf("got the answer to %d for %d", a.EndToEnd, m.EndToEnd)
		}
	}
	if len(c.Got) > 0 {
		t.Errorf("%d answers too many", len(c.Got))
	}
}

// Two clients with equal ids are two requests; equal ids of one client are one.
func TestEqualIDs(t *testing.T) {
	var n atomic.Int32
	s := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) { n.Add(1); good(c, m) })
	one, two := s.client(), s.client()
	a, b := s.ask(4, 2), s.ask(4, 2)
	b.HopByHop, b.EndToEnd = a.HopByHop, a.EndToEnd
	b.AVPs[1] = diameter.Str(diameter.CodeOriginHost, "other.example.net")
	one.Send(a)
	two.Send(b)
	scripted.Await(t, one.Got)
	scripted.Await(t, two.Got)
	if n.Load() != 2 {
		t.Errorf("%d attempts", n.Load())
	}
}

// Who may not connect is told why; what makes no sense gets the RFC's code or a close.
func TestStrangers(t *testing.T) {
	s := newSite(t, 16, good)
	for _, tt := range []struct {
		identity    string
		application uint32
		want        uint32
	}{{"stranger.example.net", diameter.AppCreditControl, diameter.UnknownPeer}, {"client1.example.net", 99, diameter.NoCommonApplication}} {
		c, err := standin.DialDiameter(s.addr, tt.identity, tt.application)
		if err != nil {
			t.Fatal(err)
		}
		if a := scripted.Await(t, c.Got); code(a) != tt.want {
			t.Errorf("%s: %d, want %d", tt.identity, code(a), tt.want)
		}
		if m, open := <-c.Got; open {
			t.Errorf("%s: then %+v", tt.identity, m)
		}
		c.Close()
	}
	for _, junk := range []string{strings.Repeat("\x00", 20), "\x01\x00\x00\x13" + strings.Repeat("x", 40), "\x01\xff\xff\xff"} {
		nc, err := net.Dial("tcp4", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(scripted.Patience))
		nc.Write([]byte(junk))
		if n, err := nc.Read(make([]byte, 1)); err == nil {
			t.Errorf("%q got %d bytes", junk, n)
		} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Errorf("%q keeps its connection", junk)
		}
		nc.Close()
	}
	c := s.client()
	m := s.ask(4, 2)
	m.AVPs = m.AVPs[:3]
	c.Send(m)
	if a := scripted.Await(t, c.Got); code(a) != diameter.MissingAVP {
		t.Errorf("no realm: %d", code(a))
	}
}

// A message that is cut off at any byte ends with its connection: nothing of it is asked of a server, and
// others are served.
func TestCutAtEveryByte(t *testing.T) {
	var n atomic.Int32
	s := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) { n.Add(1); good(c, m) })
	whole, err := s.ask(4, 2).Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		c := s.client()
		c.Conn.Write(whole[:cut])
		c.Conn.(*net.TCPConn).CloseWrite()
		if m, open := <-c.Got; open { // the relay closes its side
			t.Errorf("cut at %d: got %+v", cut, m)
		}
		c.Close()
	}
	c := s.client()
	c.Send(s.ask(4, 2))
	if a := scripted.Await(t, c.Got); code(a) != diameter.Success || n.Load() != 1 {
		t.Errorf("got %d after %d attempts", code(a), n.Load())
	}
}

// One server that never answers and fills its window holds up nobody: others serve what comes.
func TestSilentServerHoldsUpNobody(t *testing.T) {
	s := newSite(t, 2, func(*standin.DiameterConn, *diameter.Message) {}, good)
	c := s.client()
	// Of no class: neither tried again nor answered before its time, so that what the silent one has stays there,
	// two at the most. With three out, one has its answer soon.
	out, served := 0, 0
	for served < 30 {
		for ; out < 3; out++ {
			c.Send(s.ask(0, 0))
		}
		if a := scripted.Await(t, c.Got); code(a) != diameter.Success {
			t.Fatalf("%d after %d served", code(a), served)
		}
		out--
		served++
	}
}

// At a planned stop clients are told so, are owed what they asked for, and then lose their connection.
func TestGoodbyeToClients(t *testing.T) {
	arrived, give := make(chan struct{}), make(chan struct{})
	site := newSite(t, 8, func(c *standin.DiameterConn, m *diameter.Message) {
		if !m.Request() {
			return
		}
		close(arrived)
		<-give
		c.Answer(m, diameter.Success)
	})
	idle, busy := site.client(), site.client()
	busy.Send(site.ask(4, 2))
	scripted.Await(t, arrived)
	site.leave()
	for _, c := range []*standin.DiameterConn{idle, busy} {
		if cause := scripted.Await(t, c.Goodbye); cause != 0 {
			t.Errorf("cause %d, want REBOOTING", cause)
		}
	}
	close(give)
	if m := scripted.Await(t, busy.Got); code(m) != diameter.Success {
		t.Errorf("got %+v", m)
	}
	for _, c := range []*standin.DiameterConn{idle, busy} {
		if m := scripted.Await(t, c.Got); m != nil {
			t.Errorf("more came: %+v", m)
		}
	}
	scripted.Await(t, site.left)
}

// A client that never answers the goodbye holds the stop up for no longer than it may take.
func TestStubbornClient(t *testing.T) {
	site := newSite(t, 8, good)
	site.by = 100 * time.Millisecond
	c := site.client()
	c.Stubborn = true
	site.leave()
	scripted.Await(t, c.Goodbye)
	scripted.Await(t, site.left)
	if m := scripted.Await(t, c.Got); m != nil {
		t.Errorf("more came: %+v", m)
	}
}

// While requests are refused, clients that heed reports of overload are told by how much to send less; others get
// their refusals as before. Once all is served again the report ends.
func TestOverloadIsReported(t *testing.T) {
	var busy atomic.Bool
	busy.Store(true)
	s := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) {
		if busy.Load() {
			c.Answer(m, diameter.TooBusy)
		} else {
			c.Answer(m, diameter.Success)
		}
	})
	c := s.client()
	const batch = 20 // at once: a refusal is held for as long as another server might yet have room
	told := func(heeds bool) (result, percent, seconds uint32, told bool) {
		t.Helper()
		for range batch {
			m := s.ask(4, 2)
			if heeds {
				m.AVPs = append(m.AVPs, diameter.Optional(diameter.Group(diameter.CodeOCSupportedFeatures)))
			}
			c.Send(m)
		}
		for range batch {
			a := scripted.Await(t, c.Got)
			result = code(a)
			report := diameter.Find(a.AVPs, diameter.CodeOCOLR, 0)
			if report == nil {
				continue
			}
			list, err := report.Group(diameter.DefaultLimits(), 0)
			if err != nil {
				t.Fatal(err)
			}
			percent, _ = diameter.Find(list, diameter.CodeOCReduction, 0).Uint32()
			seconds, _ = diameter.Find(list, diameter.CodeOCValidityDuration, 0).Uint32()
			told = true
		}
		return result, percent, seconds, told
	}
	until := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(scripted.Patience); !done(); {
			if time.Now().After(end) {
				t.Fatal("never " + what)
			}
		}
	}
	until("told of overload", func() bool {
		result, percent, seconds, told := told(true)
		if told && (result != diameter.TooBusy || percent == 0 || seconds == 0) {
			t.Errorf("%d with a reduction by %d %% for %d s", result, percent, seconds)
		}
		return told
	})
	if result, _, _, told := told(false); told || result != diameter.TooBusy {
		t.Errorf("one that heeds no reports got %d, with one: %v", result, told)
	}
	busy.Store(false)
	until("told of its end", func() bool {
		result, percent, seconds, told := told(true)
		return result == diameter.Success && told && percent == 0 && seconds == 0
	})
}

// A request that names a server goes to that one or to none: under the name that the server gives itself, once it has
// been connected to.
func TestDestinationHost(t *testing.T) {
	var hits [2]atomic.Int64
	script := func(i int) func(c *standin.DiameterConn, m *diameter.Message) {
		return func(c *standin.DiameterConn, m *diameter.Message) {
			hits[i].Add(1)
			good(c, m)
		}
	}
	s := newSite(t, 16, script(0), script(1))
	c := s.client()
	ask := func(server string) uint32 {
		t.Helper()
		m := s.ask(4, 2)
		if server != "" {
			m.AVPs = append(m.AVPs, diameter.Str(diameter.CodeDestinationHost, server))
		}
		c.Send(m)
		return code(scripted.Await(t, c.Got))
	}
	for end := time.Now().Add(scripted.Patience); hits[0].Load() == 0 || hits[1].Load() == 0; {
		if got := ask(""); got != diameter.Success {
			t.Fatalf("got %d", got)
		}
		if time.Now().After(end) {
			t.Fatal("one server gets nothing")
		}
	}
	before := hits[0].Load()
	for range 30 {
		if got := ask("S1.Example.net"); got != diameter.Success { // names know no case
			t.Errorf("got %d", got)
		}
	}
	if got := hits[0].Load(); got != before {
		t.Errorf("%d requests at another server", got-before)
	}
	if got := ask("s9.example.net"); got != diameter.UnableToDeliver {
		t.Errorf("for a server that nobody knows: %d", got)
	}
	s.list(balance.Up, balance.Draining)
	if got := ask("s1.example.net"); got != diameter.TooBusy {
		t.Errorf("for a server that drains: %d", got)
	}
	if got := hits[0].Load(); got != before {
		t.Errorf("%d requests at another server", got-before)
	}
}

// A server that ends its connection in the middle of an answer may have run the request: what may be repeated goes to
// another, marked; what may not has failed. Nobody gets the half.
func TestHalfAnAnswer(t *testing.T) {
	for _, tt := range []struct {
		name         string
		kind, action uint32
		want         uint32
	}{{"safe", 4, 2, diameter.Success}, {"of no class", 0, 0, diameter.UnableToComply}} {
		t.Run(tt.name, func(t *testing.T) {
			var n atomic.Int64
			var marked atomic.Bool
			script := func(c *standin.DiameterConn, m *diameter.Message) {
				if n.Add(1) > 1 {
					marked.Store(m.Flags&diameter.FlagRetransmitted != 0)
					good(c, m)
					return
				}
				a := m.Answer()
				a.AVPs = []diameter.AVP{diameter.U32(diameter.CodeResultCode, diameter.Success)}
				raw, err := a.Append(nil)
				if err != nil {
					t.Error(err)
				}
				c.Write(raw[:len(raw)-4])
				c.Close()
			}
			s := newSite(t, 16, script, script)
			c := s.client()
			m := s.ask(tt.kind, tt.action)
			c.Send(m)
			if a := scripted.Await(t, c.Got); code(a) != tt.want || a.EndToEnd != m.EndToEnd {
				t.Errorf("got %d", code(a))
			}
			if again := tt.want == diameter.Success; n.Load() != map[bool]int64{true: 2, false: 1}[again] || marked.Load() != again {
				t.Errorf("%d attempts, the last one marked: %v", n.Load(), marked.Load())
			}
		})
	}
}
