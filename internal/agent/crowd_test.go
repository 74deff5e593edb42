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

// crowd plays clients against an agent, hostile and usual ones, and notes what becomes of them.
type crowd struct {
	t    testing.TB
	addr string
	all  sync.WaitGroup
	stop chan struct{}

	mu   sync.Mutex
	ends map[string]int // by kind and how it ended
	sent map[string]bool
	seen map[string]int // requests that came to the backend, by id
}

func newCrowd(t testing.TB) *crowd {
	return &crowd{t: t, stop: make(chan struct{}), ends: map[string]int{}, sent: map[string]bool{}, seen: map[string]int{}}
}

func (c *crowd) note(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends[what]++
}

func (c *crowd) came(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen[id]
}

// backend answers each request with its own id and some bytes.
func (c *crowd) backend(t testing.TB, bytes int) string {
	return backend(t, func(nc net.Conn, r *bufio.Reader) {
		for {
			req, _, err := receive(r)
			if err != nil {
				return
			}
			id := req.Header.Get(http1.ID)
			c.mu.Lock()
			c.seen[id]++
			c.mu.Unlock()
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id)+1+bytes, id+" "+strings.Repeat("x", bytes))
		}
	})
}

// crowdRead and crowdSub are a safe and a keyed request.
func crowdRead(id string) string {
	return "GET /read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: " + id + "\r\nX-Time-Left: 10000m\r\n\r\n"
}

func crowdSub(id string, bytes int) string {
	return fmt.Sprintf("POST /sub HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Time-Left: 10000m\r\nIdempotency-Key: k%s\r\nContent-Length: %d\r\n\r\n", id, id, bytes)
}

// hostile runs n clients of a kind, each on a connection of its own. Each must get an error or a
// close; what it got is noted.
func (c *crowd) hostile(kind string, n int, play func(nc net.Conn, id string)) {
	for i := range n {
		c.all.Go(func() {
			nc, err := net.Dial("tcp", c.addr)
			if err != nil {
				c.note(kind + ": no connection")
				return
			}
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(patience))
			play(nc, fmt.Sprintf("%s-%d", kind, i))
			switch got, err := io.ReadAll(nc); {
			case errors.Is(err, syscall.ECONNRESET) || len(got) == 0 && err == nil:
				c.note(kind + ": closed")
			case err != nil:
				c.t.Errorf("%s: %v after %d bytes", kind, err, len(got))
			default:
				c.note(kind + ": " + string(got[9:min(len(got), 12)]))
			}
		})
	}
}

func (c *crowd) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// drip writes bytes one by one until the other side has had enough.
func (c *crowd) drip(nc net.Conn, text string) {
	for i := 0; ; i++ {
		if _, err := nc.Write([]byte{text[i%len(text)]}); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// play starts all kinds of hostile clients, n of each.
func (c *crowd) play(n int) {
	c.hostile("silent", 4*n, func(net.Conn, string) {})
	c.hostile("half a head", n, func(nc net.Conn, id string) { io.WriteString(nc, crowdRead(id)[:40]) })
	c.hostile("half a body", n, func(nc net.Conn, id string) { io.WriteString(nc, crowdSub(id, 100)+"half") })
	c.hostile("dripped head", n, func(nc net.Conn, id string) { c.drip(nc, "GET /read HTTP/1.1\r\nHost: x\r\nX-More: ") })
	c.hostile("dripped body", n, func(nc net.Conn, id string) {
		io.WriteString(nc, crowdSub(id, 60000))
		c.drip(nc, "b")
	})
	c.hostile("60 MB", n, func(nc net.Conn, id string) {
		io.WriteString(nc, crowdSub(id, 60<<20))
		chunk := make([]byte, 64<<10)
		for range 60 << 20 / len(chunk) {
			if _, err := nc.Write(chunk); err != nil {
				return
			}
		}
	})
	c.hostile("noise", n, func(nc net.Conn, id string) { io.WriteString(nc, "\x16\x03\x01 noise\r\n\r\n") })
	c.hostile("half closed", n, func(nc net.Conn, id string) {
		io.WriteString(nc, crowdRead(id))
		nc.(*net.TCPConn).CloseWrite()
	})
	c.hostile("two at once", n, func(nc net.Conn, id string) { io.WriteString(nc, crowdRead(id+"a")+crowdRead(id+"b")) })
	c.hostile("never reading", n, func(nc net.Conn, id string) {
		nc.(*net.TCPConn).SetReadBuffer(4 << 10)
		nc.SetWriteDeadline(time.Now().Add(patience / 2))
		for i := 0; ; i++ {
			if _, err := io.WriteString(nc, crowdRead(fmt.Sprint(id, "-", i))); err != nil {
				return
			}
		}
	})
}

// usual asks on kept connections as PROTOCOL says: one request at a time; one that crosses the end
// of its connection unread goes out once more on a new one. It returns how many were served.
func (c *crowd) usual(name string, requests int) (served, refused int) {
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
				nc.SetDeadline(time.Now().Add(patience))
				r = bufio.NewReader(nc)
			}
			text := crowdRead(id)
			if i%2 == 1 {
				text = crowdSub(id, 20) + strings.Repeat("b", 20)
			}
			io.WriteString(nc, text)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				nc.Close()
				nc = nil
				if n := c.came(id); n > 0 {
					c.t.Errorf("%s came to a backend %d times and was lost: %v", id, n, err)
					return served, refused
				}
				if c.stopped() || try == 10 {
					if try == 10 {
						c.t.Errorf("%s was never taken: %v", id, err)
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
				if n := c.came(id); n != 1 {
					c.t.Errorf("%s was served and came to a backend %d times", id, n)
				}
				served++
			case err == nil && resp.StatusCode == http.StatusServiceUnavailable && c.came(id) == 0:
				refused++
			default:
				c.t.Errorf("%s got %d %.40q, %v", id, resp.StatusCode, body, err)
			}
			break
		}
	}
	return served, refused
}

// Usual clients among hostile ones at a cap that these alone would fill: none of theirs is lost,
// each hostile one gets its error or its close.
func TestHostileCrowd(t *testing.T) {
	c := newCrowd(t)
	cfg := testConfig(t, c.backend(t, 8<<10))
	cfg.Sockets = reservedSockets + 100 // 40 for clients
	cfg.MemoryMB = 64
	base, _, _ := running(t, cfg, stepFunc(sendAll))
	c.addr = strings.TrimPrefix(base, "http://")
	c.play(10)
	var usual sync.WaitGroup
	total, refused := 0, 0
	for n := range 8 {
		usual.Go(func() {
			s, f := c.usual(fmt.Sprint("usual-", n), 50)
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
	for kind := range c.ends {
		if strings.HasSuffix(kind, "no connection") {
			t.Error(kind)
		}
	}
}

func (c *crowd) report(t *testing.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lines []string
	for kind, n := range c.ends {
		lines = append(lines, fmt.Sprintf("%s: %d", kind, n))
	}
	slices.Sort(lines)
	t.Log(strings.Join(lines, "; "))
}

// A planned stop in the middle of a hostile crowd: what came to a backend is answered, and the
// agent ends without an error.
func TestStopInACrowd(t *testing.T) {
	c := newCrowd(t)
	cfg := testConfig(t, c.backend(t, 100))
	cfg.Sockets = reservedSockets + 100
	cfg.linger = 200 * time.Millisecond
	base, stop, done := running(t, cfg, stepFunc(sendAll))
	c.addr = strings.TrimPrefix(base, "http://")
	c.play(3)
	var usual sync.WaitGroup
	going := make(chan bool, 8)
	for n := range 8 {
		usual.Go(func() {
			for i := 0; !c.stopped(); i++ {
				if s, _ := c.usual(fmt.Sprintf("stop-%d-%d", n, i), 10); s == 0 && c.stopped() {
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

// A client that has ended its sending only is told that its request failed: it must not be served
// an empty answer that no backend made.
func TestHalfClosed(t *testing.T) {
	release := make(chan struct{})
	bal := newScripted(sendAll)
	base, _, _ := running(t, testConfig(t, backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		<-release
		io.WriteString(c, hello)
	})), bal)
	defer close(release)
	c := dial(t, base)
	io.WriteString(c, crowdRead("d1"))
	next[balance.Request](t, bal)
	c.(*net.TCPConn).CloseWrite()
	if got := rest(t, c); !strings.HasPrefix(got, "HTTP/1.1 502") || strings.Count(got, "HTTP/1.1") != 1 {
		t.Errorf("got %q", got)
	}
	next[balance.Abandoned](t, bal)
}

// More clients that ask once and keep their connection for good than there is room for: usual
// ones can still connect, at once and without a refusal.
func TestClientsThatStay(t *testing.T) {
	c := newCrowd(t)
	cfg := testConfig(t, c.backend(t, 10))
	cfg.Sockets = reservedSockets + 50 // 37 for clients at the most
	base, _, _ := running(t, cfg, stepFunc(sendAll))
	c.addr = strings.TrimPrefix(base, "http://")
	for i := range 100 {
		nc := dial(t, base)
		id := fmt.Sprint("stays-", i)
		io.WriteString(nc, crowdRead(id))
		if resp, err := http.ReadResponse(bufio.NewReader(nc), nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%s got %v, %v", id, resp, err)
		}
	}
	if served, refused := c.usual("usual", 20); served != 20 {
		t.Errorf("%d of 20 are served, %d refused", served, refused)
	}
}

// stepFunc is a decider that answers event by event.
type stepFunc func(balance.Event) []balance.Action

func (f stepFunc) Step(_ time.Duration, events []balance.Event) (actions []balance.Action) {
	for _, e := range events {
		actions = append(actions, f(e)...)
	}
	return actions
}

// A kept connection's next request of which a part has come when newcomers fill the cap: it is
// served on that connection, whatever was still to come.
func TestHalfSentAtTheCap(t *testing.T) {
	whole := func(id string) string { return crowdSub(id, 20) + strings.Repeat("b", 20) }
	for name, cut := range map[string]int{"part-of-the-head": 30, "the-head": len(whole("the-head-2")) - 20,
		"half-of-the-body": len(whole("half-of-the-body-2")) - 10} {
		t.Run(name, func(t *testing.T) { // each with an agent of its own: for a while after one nothing is kept
			c := newCrowd(t)
			cfg := testConfig(t, c.backend(t, 10))
			cfg.Sockets = reservedSockets + 7 // four for clients and one in hand
			base, _, _ := running(t, cfg, stepFunc(sendAll))
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
			for range 8 { // four of them find no room, and the first four no mercy
				silent = append(silent, dial(t, base))
			}
			rest(t, silent[0])
			io.WriteString(kept, text[cut:])
			answered(name + "-2")
			for _, nc := range silent {
				nc.Close()
			}
		})
	}
}
