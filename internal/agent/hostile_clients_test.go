package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/http1"
)

// clientMix plays clients against an agent, hostile and usual ones, and records their outcomes.
type clientMix struct {
	t    testing.TB
	addr string         // the agent's address for clients
	all  sync.WaitGroup // hostile clients that run
	stop chan struct{}  // closed to end the hostile clients

	mu       sync.Mutex
	outcomes map[string]int  // number of clients by "kind: outcome"
	sent     map[string]bool // not used
	received map[string]int  // how many requests the backend received, by id
}

func newClientMix(t testing.TB) *clientMix {
	return &clientMix{t: t, stop: make(chan struct{}), outcomes: map[string]int{}, sent: map[string]bool{}, received: map[string]int{}}
}

// record counts one client with an outcome.
func (c *clientMix) record(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[what]++
}

func (c *clientMix) receivedCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received[id]
}

// backend starts a backend that answers each request with its id, followed by that many bytes, and returns its address.
func (c *clientMix) backend(t testing.TB, bytes int) string {
	return backend(t, func(nc net.Conn, r *bufio.Reader) {
		for {
			req, _, err := receive(r)
			if err != nil {
				return
			}
			id := req.Header.Get(http1.HeaderCorrelationID)
			c.mu.Lock()
			c.received[id]++
			c.mu.Unlock()
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id)+1+bytes, id+" "+strings.Repeat("x", bytes))
		}
	})
}

// readRequestWithin10s returns a GET request (class read, safe) whose client waits 10 s.
func readRequestWithin10s(id string) string {
	return "GET /read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: " + id + "\r\nX-Time-Left: 10000m\r\n\r\n"
}

// subRequest returns the head of a POST request (class sub, with an idempotency key) for a body of that many bytes.
func subRequest(id string, bytes int) string {
	return fmt.Sprintf("POST /sub HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Time-Left: 10000m\r\nIdempotency-Key: k%s\r\nContent-Length: %d\r\n\r\n", id, id, bytes)
}

// startHostile runs n clients of a kind, each on a connection of its own. Each must get an error status or a close; the
// outcome is recorded.
func (c *clientMix) startHostile(kind string, n int, play func(nc net.Conn, id string)) {
	for i := range n {
		c.all.Go(func() {
			nc, err := net.Dial("tcp", c.addr)
			if err != nil {
				c.record(kind + ": no connection")
				return
			}
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(timeout))
			play(nc, fmt.Sprintf("%s-%d", kind, i))
			switch got, err := io.ReadAll(nc); {
			case errors.Is(err, syscall.ECONNRESET) || len(got) == 0 && err == nil:
				c.record(kind + ": closed")
			case err != nil:
				c.t.Errorf("%s: %v after %d bytes", kind, err, len(got))
			default:
				c.record(kind + ": " + string(got[9:min(len(got), 12)]))
			}
		})
	}
}

// stopped reports whether stop has been closed.
func (c *clientMix) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// writeByteByByte writes text byte by byte, over and over, until the connection is closed.
func (c *clientMix) writeByteByByte(nc net.Conn, text string) {
	for i := 0; ; i++ {
		if _, err := nc.Write([]byte{text[i%len(text)]}); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startAllHostile starts hostile clients of all kinds, n of each; of silent ones 4n.
func (c *clientMix) startAllHostile(n int) {
	c.startHostile("silent", 4*n, func(net.Conn, string) {})
	c.startHostile("half a head", n, func(nc net.Conn, id string) { io.WriteString(nc, readRequestWithin10s(id)[:40]) })
	c.startHostile("half a body", n, func(nc net.Conn, id string) { io.WriteString(nc, subRequest(id, 100)+"half") })
	c.startHostile("dripped head", n, func(nc net.Conn, id string) { c.writeByteByByte(nc, "GET /read HTTP/1.1\r\nHost: x\r\nX-More: ") })
	c.startHostile("dripped body", n, func(nc net.Conn, id string) {
		io.WriteString(nc, subRequest(id, 60000))
		c.writeByteByByte(nc, "b")
	})
	c.startHostile("60 MB", n, func(nc net.Conn, id string) {
		io.WriteString(nc, subRequest(id, 60<<20))
		chunk := make([]byte, 64<<10)
		for range 60 << 20 / len(chunk) {
			if _, err := nc.Write(chunk); err != nil {
				return
			}
		}
	})
	c.startHostile("noise", n, func(nc net.Conn, id string) { io.WriteString(nc, "\x16\x03\x01 noise\r\n\r\n") })
	c.startHostile("half closed", n, func(nc net.Conn, id string) {
		io.WriteString(nc, readRequestWithin10s(id))
		nc.(*net.TCPConn).CloseWrite()
	})
	c.startHostile("two at once", n, func(nc net.Conn, id string) {
		io.WriteString(nc, readRequestWithin10s(id+"a")+readRequestWithin10s(id+"b"))
	})
	c.startHostile("never reading", n, func(nc net.Conn, id string) {
		nc.(*net.TCPConn).SetReadBuffer(4 << 10)
		nc.SetWriteDeadline(time.Now().Add(timeout / 2))
		for i := 0; ; i++ {
			if _, err := io.WriteString(nc, readRequestWithin10s(fmt.Sprint(id, "-", i))); err != nil {
				return
			}
		}
	})
}

// runUsual sends that many requests one at a time on a kept connection. A request that races with the close of its connection,
// and was not read, is sent again on a new one. It returns how many were served and how many refused.
func (c *clientMix) runUsual(name string, requests int) (served, refused int) {
	var nc net.Conn
	var r *bufio.Reader
	defer func() {
		if nc != nil {
			nc.Close()
		}
	}()
	for i := 0; i < requests; i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		for try := 0; ; try++ {
			if nc == nil {
				var err error
				if nc, err = net.Dial("tcp", c.addr); err != nil {
					return served, refused // the agent has stopped
				}
				nc.SetDeadline(time.Now().Add(timeout))
				r = bufio.NewReader(nc)
			}
			text := readRequestWithin10s(id)
			if i%2 == 1 {
				text = subRequest(id, 20) + strings.Repeat("b", 20)
			}
			io.WriteString(nc, text)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				nc.Close()
				nc = nil
				if n := c.receivedCount(id); n > 0 {
					c.t.Errorf("%s was received by a backend %d times and lost: %v", id, n, err)
					return served, refused
				}
				if c.stopped() || try == 10 {
					if try == 10 {
						c.t.Errorf("%s was never accepted: %v", id, err)
					}
					return served, refused
				}
				continue
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.Close || err != nil {
				nc.Close()
				nc = nil
			}
			switch {
			case err == nil && resp.StatusCode == http.StatusOK && strings.HasPrefix(string(body), id+" "):
				if n := c.receivedCount(id); n != 1 {
					c.t.Errorf("%s was served and received by a backend %d times", id, n)
				}
				served++
			case err == nil && resp.StatusCode == http.StatusServiceUnavailable && c.receivedCount(id) == 0:
				refused++
			default:
				c.t.Errorf("%s got %d %.40q, %v", id, resp.StatusCode, body, err)
			}
			break
		}
	}
	return served, refused
}

// Hostile clients alone would fill the cap on connections: no request of a usual client is lost, and each hostile client
// gets an error status or a close.
func TestUsualClientsAmongHostileOnes(t *testing.T) {
	c := newClientMix(t)
	cfg := testConfig(t, c.backend(t, 8<<10))
	cfg.Sockets = reservedSockets + 100 // room for 40 clients
	cfg.MemoryMB = 64
	base, _, _ := startAgent(t, cfg, stepFunc(sendAll))
	c.addr = strings.TrimPrefix(base, "http://")
	c.startAllHostile(10)
	var usual sync.WaitGroup
	total, refused := 0, 0
	for n := range 8 {
		usual.Go(func() {
			s, f := c.runUsual(fmt.Sprint("usual-", n), 50)
			c.mu.Lock()
			defer c.mu.Unlock()
			total += s
			refused += f
		})
	}
	usual.Wait()
	c.all.Wait()
	if total+refused != 400 || total == 0 {
		t.Errorf("%d of 400 are served, %d refused", total, refused)
	}
	t.Logf("usual clients: %d served, %d refused", total, refused)
	c.report(t)
	for kind := range c.outcomes {
		if strings.HasSuffix(kind, "no connection") {
			t.Error(kind)
		}
	}
}

// report logs the outcomes with their counts.
func (c *clientMix) report(t *testing.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lines []string
	for kind, n := range c.outcomes {
		lines = append(lines, fmt.Sprintf("%s: %d", kind, n))
	}
	slices.Sort(lines)
	t.Log(strings.Join(lines, "; "))
}

// During a planned stop among hostile clients each request that reached a backend is answered, and the agent ends
// without an error.
func TestPlannedStopAmongHostileClients(t *testing.T) {
	c := newClientMix(t)
	cfg := testConfig(t, c.backend(t, 100))
	cfg.Sockets = reservedSockets + 100
	cfg.minListenTime = 200 * time.Millisecond
	base, stop, done := startAgent(t, cfg, stepFunc(sendAll))
	c.addr = strings.TrimPrefix(base, "http://")
	c.startAllHostile(3)
	var usual sync.WaitGroup
	going := make(chan bool, 8)
	for n := range 8 {
		usual.Go(func() {
			for i := 0; !c.stopped(); i++ {
				if s, _ := c.runUsual(fmt.Sprintf("stop-%d-%d", n, i), 10); s == 0 && c.stopped() {
					return
				}
				select {
				case going <- true:
				default:
				}
			}
		})
	}
	for range 8 {
		await(t, going)
	}
	close(c.stop)
	stop()
	usual.Wait()
	c.all.Wait()
	if err := await(t, done); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A client that half-closes its connection gets an error: it must not get an empty 200 that no backend sent.
func TestHalfClosed(t *testing.T) {
	release := make(chan struct{})
	bal := newDecider(sendAll)
	base, _, _ := startAgent(t, testConfig(t, backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		<-release
		io.WriteString(c, hello)
	})), bal)
	defer close(release)
	c := dial(t, base)
	io.WriteString(c, readRequestWithin10s("d1"))
	nextEvent[balance.Request](t, bal)
	c.(*net.TCPConn).CloseWrite()
	if got := readRest(t, c); !strings.HasPrefix(got, "HTTP/1.1 502") || strings.Count(got, "HTTP/1.1") != 1 {
		t.Errorf("got %q", got)
	}
	nextEvent[balance.Abandoned](t, bal)
}

// More clients than there is room for send one request each and keep their connection open: usual clients can still
// connect, at once and without a refusal.
func TestIdleClientsBeyondCapacity(t *testing.T) {
	c := newClientMix(t)
	cfg := testConfig(t, c.backend(t, 10))
	cfg.Sockets = reservedSockets + 50 // at most 37 for clients
	base, _, _ := startAgent(t, cfg, stepFunc(sendAll))
	c.addr = strings.TrimPrefix(base, "http://")
	for i := range 100 {
		nc := dial(t, base)
		id := fmt.Sprint("stays-", i)
		io.WriteString(nc, readRequestWithin10s(id))
		if resp, err := http.ReadResponse(bufio.NewReader(nc), nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%s got %v, %v", id, resp, err)
		}
	}
	if served, refused := c.runUsual("usual", 20); served != 20 {
		t.Errorf("%d of 20 are served, %d refused", served, refused)
	}
}

// stepFunc is a balancer that returns the decisions on one event, which don't depend on other events.
type stepFunc func(balance.Event) []balance.Action

func (f stepFunc) Step(_ time.Duration, events []balance.Event) (actions []balance.Action) {
	for _, e := range events {
		actions = append(actions, f(e)...)
	}
	return actions
}

// New connections fill the cap when part of the next request of a kept connection has come: that request is served on
// its connection, whichever part was still missing.
func TestPartialRequestAtTheCap(t *testing.T) {
	whole := func(id string) string { return subRequest(id, 20) + strings.Repeat("b", 20) }
	for name, cut := range map[string]int{"part-of-the-head": 30, "the-head": len(whole("the-head-2")) - 20,
		"half-of-the-body": len(whole("half-of-the-body-2")) - 10} {
		t.Run(name, func(t *testing.T) { // a new agent each: for a while after it has turned a client away, it keeps no connection
			c := newClientMix(t)
			cfg := testConfig(t, c.backend(t, 10))
			cfg.Sockets = reservedSockets + 7 // room for four clients while one of them has a request in hand
			base, _, _ := startAgent(t, cfg, stepFunc(sendAll))
			kept := dial(t, base)
			r := bufio.NewReader(kept)
			answered := func(id string) {
				t.Helper()
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatalf("%s: %v", id, err)
				}
				if body, err := io.ReadAll(resp.Body); err != nil || !strings.HasPrefix(string(body), id+" ") {
					t.Fatalf("%s got %d %q, %v", id, resp.StatusCode, body, err)
				}
			}
			io.WriteString(kept, whole(name+"-1"))
			answered(name + "-1")
			text := whole(name + "-2")
			io.WriteString(kept, text[:cut])
			var silent []net.Conn
			for range 8 { // four of them exceed the cap, and the first four may be closed for newer ones
				silent = append(silent, dial(t, base))
			}
			readRest(t, silent[0])
			io.WriteString(kept, text[cut:])
			answered(name + "-2")
			for _, nc := range silent {
				nc.Close()
			}
		})
	}
}
