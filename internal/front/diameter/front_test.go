package diameter

import (
	"cmp"
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

// relaySite is a relay with scripted servers that test clients connect to.
type relaySite struct {
	t         testing.TB
	addr      string // of the front
	loop      *core.Loop
	front     *Front
	nodes     []*standin.DiameterNode             // the servers
	list      func(state ...balance.BackendState) // gives the balancer a list of all servers; state i is that of server i, default Up
	ids       atomic.Uint32                       // last number used by newRequest
	stopFront context.CancelFunc                  // begins a planned stop of the front
	stopped   chan struct{}                       // closed when the front has stopped
	stopLimit time.Duration                       // maximum duration of the planned stop
}

// newSite starts a relay with one server for each script; window is the bound of pending requests per server.
func newSite(t testing.TB, window int, scripts ...func(c *standin.DiameterConn, m *diameter.Message)) *relaySite {
	t.Helper()
	return newSiteWithMemory(t, 0, window, scripts...)
}

// newSiteWithMemory is newSite for a process that may use that much memory; 0: unknown.
func newSiteWithMemory(t testing.TB, memory int64, window int, scripts ...func(c *standin.DiameterConn, m *diameter.Message)) *relaySite {
	t.Helper()
	return newSiteWith(t, siteOptions{memory: memory, window: window}, scripts...)
}

// siteOptions are the options of a relaySite.
type siteOptions struct {
	memory   int64                           // bytes that the process may use; 0: unknown
	window   int                             // bound of pending requests per server
	deadline time.Duration                   // of all classes; 0: those of deploy/diameter.toml
	wrap     func(net.Listener) net.Listener // replaces the front's listener; may be nil

	descriptors func(delta int) // as Config.Descriptors
}

// newSiteWith is newSite with options.
func newSiteWith(t testing.TB, options siteOptions, scripts ...func(c *standin.DiameterConn, m *diameter.Message)) *relaySite {
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
	for i := range rules.Classes {
		rules.Classes[i].Deadline = cmp.Or(options.deadline, rules.Classes[i].Deadline)
	}
	s := balance.Settings{Balancers: 1, MaxAttempts: 4, ConnectTimeout: 5 * time.Second, AnswerGrace: 100 * time.Millisecond,
		RampTime: time.Second, FallMultiple: 3, FallWindow: time.Second, DrainGrace: 500 * time.Millisecond, Classes: rules.Classes}
	bal, err := balance.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	loop := core.New(bal, &s, log)
	b := backend.New(backend.Config{Rules: rules, Identity: "relay.example.net", Realm: "example.net", ConnectTimeout: 5 * time.Second,
		Window: options.window, Peer: diameter.DefaultPeerConfig(), Log: log,
		OnLeaving: func(id string, leaves bool) { loop.Post(func() { loop.SetLeaving(id, leaves) }) }})
	loop.Backend = b
	site := &relaySite{t: t, loop: loop, stopped: make(chan struct{}), stopLimit: 5 * time.Second}
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
		loop.Post(func() { loop.ApplyList(l, addrs); close(done) })
		scripted.Await(t, done)
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	site.addr = ln.Addr().String()
	if options.wrap != nil {
		ln = options.wrap(ln)
	}
	ctx, cancel := context.WithCancel(context.Background())
	inner, stop := context.WithCancel(context.Background())
	front, err := New(Config{Rules: rules, Identity: "relay.example.net", Realm: "example.net", Limits: rules.Limits(options.memory),
		Overload: overload.Config{Interval: 100 * time.Millisecond, Validity: time.Second, MinAnswers: 8, GrowthFactor: 2, MinReduction: 0.05, MaxReduction: 0.9},
		Peer:     diameter.DefaultPeerConfig(), BackendByIdentity: b.BackendByIdentity, Connections: 8, CERTimeout: 10 * time.Second, Descriptors: options.descriptors, Log: log}, loop)
	if err != nil {
		t.Fatal(err)
	}
	site.front = front
	var parts sync.WaitGroup
	parts.Go(func() { loop.Run(inner) })
	site.stopFront = cancel
	parts.Go(func() {
		defer close(site.stopped)
		front.Serve(ctx, ln, func() time.Time { return time.Now().Add(site.stopLimit) })
	})
	site.list()
	t.Cleanup(func() {
		stop() // completes the pending requests as failed
		cancel()
		parts.Wait()
		b.Close()
		for _, n := range site.nodes {
			n.Stop()
		}
	})
	return site
}

// client returns a connection that has exchanged capabilities with the relay.
func (s *relaySite) client() *standin.DiameterConn {
	s.t.Helper()
	c, err := standin.DialDiameter(s.addr, "client1.example.net", diameter.AppCreditControl)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	if m := scripted.Await(s.t, c.Received); m.Command != diameter.CapabilitiesExchange || code(m) != diameter.Success {
		s.t.Fatalf("no capabilities exchange: %+v", m)
	}
	return c
}

// code returns the Result-Code of an answer; 0: none, or the connection has ended.
func code(m *diameter.Message) uint32 {
	if m == nil {
		return 0
	}
	return m.Result()
}

// newRequest returns a request with new ids, the CC-Request-Type kind and the Requested-Action action: action 2 is
// safe, others are keyed; kind 0 gives one that matches no class.
func (s *relaySite) newRequest(kind, action uint32) *diameter.Message {
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

// answerSuccess is a script of a server that answers each request with success.
func answerSuccess(c *standin.DiameterConn, m *diameter.Message) { c.Answer(m, diameter.Success) }

// A client gets the server's answer with its own identifiers; the forwarded request has Route-Record.
func TestRelaysRequestAndAnswer(t *testing.T) {
	routes := make(chan string, 1)
	s := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) {
		v, _ := diameter.Find(m.AVPs, diameter.CodeRouteRecord, 0).Identity()
		routes <- v
		answerSuccess(c, m)
	})
	c := s.client()
	m := s.newRequest(4, 2)
	c.Send(m)
	a := scripted.Await(t, c.Received)
	host, _ := diameter.Find(a.AVPs, diameter.CodeOriginHost, 0).Identity()
	if code(a) != diameter.Success || a.HopByHop != m.HopByHop || a.EndToEnd != m.EndToEnd || host != "s0.example.net" {
		t.Errorf("got %+v", a)
	}
	if r := scripted.Await(t, routes); r != "client1.example.net" {
		t.Errorf("Route-Record %q", r)
	}
}

// A server closes its connection without an answer. A retry is made if the class allows it, with the T bit
// set; a client that resends the request, on the same connection or a new one, gets the same answer.
func TestServerDisconnectsWithoutAnswer(t *testing.T) {
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
					c.Close() // without an answer
					return
				}
				answerSuccess(c, m)
			}
			s := newSite(t, 16, script, script)
			one, two := s.client(), s.client()
			m := s.newRequest(tt.kind, tt.action)
			one.Send(m)
			scripted.Await(t, asked)
			again := *m
			again.Flags |= diameter.FlagRetransmitted
			again.HopByHop = 5000
			two.Send(&again)
			barrier := s.newRequest(4, 2) // its answer shows that all earlier messages have been processed
			barrier.Application = 77
			two.Send(barrier)
			if a := scripted.Await(t, two.Received); code(a) != diameter.ApplicationUnsupported {
				t.Fatalf("got %+v", a)
			}
			close(release)
			if a := scripted.Await(t, one.Received); code(a) != tt.want || a.HopByHop != m.HopByHop {
				t.Errorf("first connection: %d", code(a))
			}
			if a := scripted.Await(t, two.Received); code(a) != tt.want || a.HopByHop != 5000 {
				t.Errorf("second connection: %d", code(a))
			}
			again.HopByHop = 6000 // a resend after the answer
			one.Send(&again)
			if a := scripted.Await(t, one.Received); code(a) != tt.want || a.HopByHop != 6000 {
				t.Errorf("after the answer: %d", code(a))
			}
			mu.Lock()
			defer mu.Unlock()
			if len(marked) != tt.runs || marked[0] || tt.runs == 2 && !marked[1] {
				t.Errorf("T bit of the attempts: %v, want %d attempts", marked, tt.runs)
			}
		})
	}
}

// A server that sends a DPR while requests are pending still gets its answers relayed, and receives no new
// requests.
func TestServerSendsDPR(t *testing.T) {
	var leaving atomic.Bool
	var lateRequests atomic.Int32
	asked, release, dpaReceived := make(chan struct{}, 1), make(chan struct{}), make(chan struct{}, 1)
	s := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) {
		switch {
		case m.Command == diameter.DisconnectPeer && !m.Request(): // the relay's DPA
			dpaReceived <- struct{}{}
			return
		case leaving.Load():
			lateRequests.Add(1)
		}
		asked <- struct{}{}
		go func() {
			<-release
			answerSuccess(c, m)
		}()
	}, answerSuccess)
	s.list(balance.Up, balance.Draining) // so that the first server gets the request
	c := s.client()
	first := s.newRequest(1, 0)
	c.Send(first)
	scripted.Await(t, asked)
	leaving.Store(true)
	s.nodes[0].ForEachConn(func(c *standin.DiameterConn) {
		c.Send(&diameter.Message{Flags: diameter.FlagRequest, Command: diameter.DisconnectPeer, HopByHop: 3, EndToEnd: 3,
			AVPs: []diameter.AVP{diameter.Str(diameter.CodeOriginHost, "s0.example.net"), diameter.Str(diameter.CodeOriginRealm, "example.net"),
				diameter.U32(diameter.CodeDisconnectCause, 0)}})
	})
	scripted.Await(t, dpaReceived)
	s.list() // the server is listed as up
	for range 20 {
		m := s.newRequest(4, 2)
		c.Send(m)
		if a := scripted.Await(t, c.Received); code(a) != diameter.Success || a.EndToEnd != m.EndToEnd {
			t.Errorf("got %d", code(a))
		}
	}
	close(release)
	if a := scripted.Await(t, c.Received); code(a) != diameter.Success || a.EndToEnd != first.EndToEnd {
		t.Errorf("the pending answer: %d", code(a))
	}
	if n := lateRequests.Load(); n > 0 {
		t.Errorf("%d requests to a server that had sent a DPR", n)
	}
}

// A request that a busy server refuses is served by another server; if there is none, the client gets
// TOO_BUSY.
func TestBusy(t *testing.T) {
	busy := func(c *standin.DiameterConn, m *diameter.Message) { c.Answer(m, diameter.TooBusy) }
	s := newSite(t, 16, busy, answerSuccess)
	c := s.client()
	for range 10 {
		m := s.newRequest(0, 0)
		c.Send(m)
		if a := scripted.Await(t, c.Received); code(a) != diameter.Success {
			t.Errorf("got %d", code(a))
		}
	}
	s = newSite(t, 16, busy)
	c = s.client()
	m := s.newRequest(0, 0)
	c.Send(m)
	if a := scripted.Await(t, c.Received); code(a) != diameter.TooBusy || a.Flags&diameter.FlagError == 0 {
		t.Errorf("got %d", code(a))
	}
}

// Unexpected, duplicate and unknown answers of a server are not relayed to any client.
func TestStrayAnswers(t *testing.T) {
	s := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) {
		stray := *m
		stray.HopByHop += 77
		answerSuccess(c, &stray)
		answerSuccess(c, m)
		answerSuccess(c, m)
	})
	c := s.client()
	for range 5 {
		m := s.newRequest(4, 2)
		c.Send(m)
		if a := scripted.Await(t, c.Received); a.EndToEnd != m.EndToEnd || a.HopByHop != m.HopByHop {
			t.Errorf("got the answer to %d for %d", a.EndToEnd, m.EndToEnd)
		}
	}
	if len(c.Received) > 0 {
		t.Errorf("%d unexpected answers", len(c.Received))
	}
}

// Equal identifiers of clients with different Origin-Hosts belong to different requests.
func TestEqualIDs(t *testing.T) {
	var n atomic.Int32
	s := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) { n.Add(1); answerSuccess(c, m) })
	one, two := s.client(), s.client()
	a, b := s.newRequest(4, 2), s.newRequest(4, 2)
	b.HopByHop, b.EndToEnd = a.HopByHop, a.EndToEnd
	b.AVPs[1] = diameter.Str(diameter.CodeOriginHost, "other.example.net")
	one.Send(a)
	two.Send(b)
	scripted.Await(t, one.Received)
	scripted.Await(t, two.Received)
	if n.Load() != 2 {
		t.Errorf("%d attempts", n.Load())
	}
}

// Clients that may not connect get an error answer that says why; invalid messages get the RFC's Result-Code
// or end the connection.
func TestRejectedConnections(t *testing.T) {
	s := newSite(t, 16, answerSuccess)
	for _, tt := range []struct {
		identity    string
		application uint32
		want        uint32
	}{{"stranger.example.net", diameter.AppCreditControl, diameter.UnknownPeer}, {"client1.example.net", 99, diameter.NoCommonApplication}} {
		c, err := standin.DialDiameter(s.addr, tt.identity, tt.application)
		if err != nil {
			t.Fatal(err)
		}
		if a := scripted.Await(t, c.Received); code(a) != tt.want {
			t.Errorf("%s: %d, want %d", tt.identity, code(a), tt.want)
		}
		if m, open := <-c.Received; open {
			t.Errorf("%s: got another message %+v", tt.identity, m)
		}
		c.Close()
	}
	for _, junk := range []string{strings.Repeat("\x00", 20), "\x01\x00\x00\x13" + strings.Repeat("x", 40), "\x01\xff\xff\xff"} {
		nc, err := net.Dial("tcp4", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(scripted.WaitTimeout))
		nc.Write([]byte(junk))
		if n, err := nc.Read(make([]byte, 1)); err == nil {
			t.Errorf("%q got %d bytes", junk, n)
		} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Errorf("the connection stays open after %q", junk)
		}
		nc.Close()
	}
	c := s.client()
	m := s.newRequest(4, 2)
	m.AVPs = m.AVPs[:3]
	c.Send(m)
	if a := scripted.Await(t, c.Received); code(a) != diameter.MissingAVP {
		t.Errorf("no realm: %d", code(a))
	}
}

// A message that is truncated at any byte ends with its connection: it is not forwarded, and other clients
// are still served.
func TestCutAtEveryByte(t *testing.T) {
	var n atomic.Int32
	s := newSite(t, 16, func(c *standin.DiameterConn, m *diameter.Message) { n.Add(1); answerSuccess(c, m) })
	whole, err := s.newRequest(4, 2).Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		c := s.client()
		c.Conn.Write(whole[:cut])
		c.Conn.(*net.TCPConn).CloseWrite()
		if m, open := <-c.Received; open { // the relay closes its side
			t.Errorf("cut at %d: got %+v", cut, m)
		}
		c.Close()
	}
	c := s.client()
	c.Send(s.newRequest(4, 2))
	if a := scripted.Await(t, c.Received); code(a) != diameter.Success || n.Load() != 1 {
		t.Errorf("got %d after %d attempts", code(a), n.Load())
	}
}

// A server that never answers and has a full window does not delay requests to other servers.
func TestSilentServerDoesNotBlockOthers(t *testing.T) {
	s := newSite(t, 2, func(*standin.DiameterConn, *diameter.Message) {}, answerSuccess)
	c := s.client()
	// The requests match no class, so that they are neither retried nor answered early: at most two stay at
	// the silent server. With three pending, one is therefore answered soon.
	out, served := 0, 0
	for served < 30 {
		for ; out < 3; out++ {
			c.Send(s.newRequest(0, 0))
		}
		if a := scripted.Await(t, c.Received); code(a) != diameter.Success {
			t.Fatalf("%d after %d served", code(a), served)
		}
		out--
		served++
	}
}

// A planned stop sends a DPR to the clients, answers their pending requests and then closes their
// connections.
func TestPlannedStopDisconnectsClients(t *testing.T) {
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
	busy.Send(site.newRequest(4, 2))
	scripted.Await(t, arrived)
	site.stopFront()
	for _, c := range []*standin.DiameterConn{idle, busy} {
		if cause := scripted.Await(t, c.DisconnectCauses); cause != 0 {
			t.Errorf("cause %d, want REBOOTING", cause)
		}
	}
	close(give)
	if m := scripted.Await(t, busy.Received); code(m) != diameter.Success {
		t.Errorf("got %+v", m)
	}
	for _, c := range []*standin.DiameterConn{idle, busy} {
		if m := scripted.Await(t, c.Received); m != nil {
			t.Errorf("another message was received: %+v", m)
		}
	}
	scripted.Await(t, site.stopped)
}

// A client that does not answer the DPR delays a planned stop by no more than the stop's time limit.
func TestPlannedStopWithoutDPA(t *testing.T) {
	site := newSite(t, 8, answerSuccess)
	site.stopLimit = 100 * time.Millisecond
	c := site.client()
	c.IgnoreDPR = true
	site.stopFront()
	scripted.Await(t, c.DisconnectCauses)
	scripted.Await(t, site.stopped)
	if m := scripted.Await(t, c.Received); m != nil {
		t.Errorf("another message was received: %+v", m)
	}
}

// While requests are refused, clients that accept overload reports get reports of the share by which to reduce
// their traffic; others get plain refusals. Once all requests are served again the end of the overload is reported.
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
	const batch = 20 // sent at once, since a refusal is held back while another server might still have room
	sendBatch := func(accepts bool) (result, percent, seconds uint32, reported bool) {
		t.Helper()
		for range batch {
			m := s.newRequest(4, 2)
			if accepts {
				m.AVPs = append(m.AVPs, diameter.WithoutMandatory(diameter.Group(diameter.CodeOCSupportedFeatures)))
			}
			c.Send(m)
		}
		for range batch {
			a := scripted.Await(t, c.Received)
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
			reported = true
		}
		return result, percent, seconds, reported
	}
	until := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(scripted.WaitTimeout); !done(); {
			if time.Now().After(end) {
				t.Fatal("never " + what)
			}
		}
	}
	until("reported an overload", func() bool {
		result, percent, seconds, reported := sendBatch(true)
		if reported && (result != diameter.TooBusy || percent == 0 || seconds == 0) {
			t.Errorf("%d with a reduction by %d %% for %d s", result, percent, seconds)
		}
		return reported
	})
	if result, _, _, reported := sendBatch(false); reported || result != diameter.TooBusy {
		t.Errorf("a client that does not accept reports got result %d, and a report: %v", result, reported)
	}
	busy.Store(false)
	until("reported the end of the overload", func() bool {
		result, percent, seconds, reported := sendBatch(true)
		return result == diameter.Success && reported && percent == 0 && seconds == 0
	})
}

// A request with Destination-Host goes only to the server that has this identity in its CEA, or is refused.
func TestDestinationHost(t *testing.T) {
	var hits [2]atomic.Int64
	script := func(i int) func(c *standin.DiameterConn, m *diameter.Message) {
		return func(c *standin.DiameterConn, m *diameter.Message) {
			hits[i].Add(1)
			answerSuccess(c, m)
		}
	}
	s := newSite(t, 16, script(0), script(1))
	c := s.client()
	ask := func(server string) uint32 {
		t.Helper()
		m := s.newRequest(4, 2)
		if server != "" {
			m.AVPs = append(m.AVPs, diameter.Str(diameter.CodeDestinationHost, server))
		}
		c.Send(m)
		return code(scripted.Await(t, c.Received))
	}
	for end := time.Now().Add(scripted.WaitTimeout); hits[0].Load() == 0 || hits[1].Load() == 0; {
		if got := ask(""); got != diameter.Success {
			t.Fatalf("got %d", got)
		}
		if time.Now().After(end) {
			t.Fatal("one server gets no requests")
		}
	}
	before := hits[0].Load()
	for range 30 {
		if got := ask("S1.Example.net"); got != diameter.Success { // names are case-insensitive
			t.Errorf("got %d", got)
		}
	}
	if got := hits[0].Load(); got != before {
		t.Errorf("%d requests at another server", got-before)
	}
	if got := ask("s9.example.net"); got != diameter.UnableToDeliver {
		t.Errorf("for an unknown server: %d", got)
	}
	s.list(balance.Up, balance.Draining)
	if got := ask("s1.example.net"); got != diameter.TooBusy {
		t.Errorf("for a draining server: %d", got)
	}
	if got := hits[0].Load(); got != before {
		t.Errorf("%d requests at another server", got-before)
	}
}

// A server that closes its connection within an answer may have run the request: a request that may be
// repeated is retried at another server with the T bit, others fail. No client gets the truncated answer.
func TestTruncatedAnswer(t *testing.T) {
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
					answerSuccess(c, m)
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
			m := s.newRequest(tt.kind, tt.action)
			c.Send(m)
			if a := scripted.Await(t, c.Received); code(a) != tt.want || a.EndToEnd != m.EndToEnd {
				t.Errorf("got %d", code(a))
			}
			if again := tt.want == diameter.Success; n.Load() != map[bool]int64{true: 2, false: 1}[again] || marked.Load() != again {
				t.Errorf("%d attempts, T bit of the last one: %v", n.Load(), marked.Load())
			}
		})
	}
}
