package admission

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const longWait = 20 * time.Second // bounds every wait of a test; none is expected to last nearly so long

var seed = flag.Uint64("seed", 1, "seed of the races")

// site is a server behind a Listener whose handler notes each request that it has read whole.
type site struct {
	l    *Listener
	srv  *http.Server
	done chan struct{}

	mu   sync.Mutex
	read map[string]int // by id
	hold map[string]chan struct{}

	opened, closed atomic.Int64
}

func newSite(t *testing.T, cfg Config) *site {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newSiteOn(t, ln, cfg)
}

func newSiteOn(t *testing.T, ln net.Listener, cfg Config) *site {
	t.Helper()
	s := &site{done: make(chan struct{}), read: map[string]int{}, hold: map[string]chan struct{}{}}
	var err error
	s.l, err = Listen(ln, cfg, 250*ms, Hooks{Opened: func() { s.opened.Add(1) }, Closed: func() { s.closed.Add(1) }})
	if err != nil {
		t.Fatal(err)
	}
	s.srv = &http.Server{Handler: s, ReadTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second, MaxHeaderBytes: 4096,
		ConnContext: Context, ConnState: StateChanged, ErrorLog: log.New(io.Discard, "", 0)}
	go func() {
		defer close(s.done)
		if err := s.srv.Serve(s.l); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve ended with %v", err)
		}
	}()
	t.Cleanup(func() {
		s.stop(t)
		if o, c := s.opened.Load(), s.closed.Load(); o != c {
			t.Errorf("%d connections have come, %d descriptors are free again", o, c)
		}
	})
	return s
}

// stop ends the site; no connection may be left by then.
func (s *site) stop(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), longWait)
	defer cancel()
	if left := s.l.Finish(ctx); left != 0 {
		t.Errorf("%d connections are left: %+v", left, s.l.Counts())
	}
	s.srv.Close()
	<-s.done
}

func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := Of(r.Context())
	id := r.Header.Get("X-Id")
	status := http.StatusOK
	if !c.Reserve(int(r.ContentLength)) {
		status = http.StatusServiceUnavailable
	} else if err := s.body(c, r); err != nil {
		status = http.StatusRequestTimeout
	} else {
		c.Taken()
		s.mu.Lock()
		s.read[id]++
		hold := s.hold[id]
		s.mu.Unlock()
		if hold != nil {
			<-hold
		}
	}
	if !c.Answer() || status != http.StatusOK {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, "answer to %s", id)
}

func (s *site) body(c *Conn, r *http.Request) error {
	buf := make([]byte, r.ContentLength)
	for at := 0; at < len(buf); {
		n, err := c.ReadBody(r.Body, buf[at:], time.Now().Add(longWait))
		if at += n; err != nil && at < len(buf) {
			return err
		}
	}
	return nil
}

// holding makes the handler wait with the answer to a request until the returned function is called.
func (s *site) holding(id string) (release func()) {
	c := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold[id] = c
	return sync.OnceFunc(func() { close(c) })
}

func (s *site) hasRead(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read[id]
}

// until waits until the listener's counts are as they should be.
func (s *site) until(t *testing.T, what string, ok func(Counts) bool) {
	t.Helper()
	for end := time.Now().Add(longWait); !ok(s.l.Counts()); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: never; %+v", what, s.l.Counts())
		}
	}
}

// client is one connection to the site.
type client struct {
	t testing.TB
	net.Conn
	r *bufio.Reader
}

func (s *site) dial(t testing.TB) *client {
	t.Helper()
	nc, err := net.Dial("tcp", s.l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(longWait))
	return &client{t, nc, bufio.NewReader(nc)}
}

func request(id, body string) string {
	return fmt.Sprintf("POST /sub HTTP/1.1\r\nHost: x\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// answer reads one answer. 0: the connection ended with none.
func (c *client) answer() (status int, body string, last bool, err error) {
	if _, err := c.r.Peek(1); err != nil {
		if e, ok := err.(net.Error); ok && e.Timeout() {
			return 0, "", false, err
		}
		return 0, "", true, nil
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, "", false, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), resp.Close, err
}

// ask sends a request and requires its answer.
func (c *client) ask(id string) (last bool) {
	c.t.Helper()
	io.WriteString(c, request(id, "body"))
	status, body, last, err := c.answer()
	if err != nil || status != http.StatusOK || body != "answer to "+id {
		c.t.Fatalf("%s got %d %q, %v", id, status, body, err)
	}
	return last
}

// A request that crosses the arrival of a newcomer at the cap. Whatever has been read whole is
// answered whole; what ends without an answer had not been read. The seed decides how many bytes
// the request has sent when the newcomer comes, and whether the answer is on its way just then.
func TestRequestCrossesNewcomer(t *testing.T) {
	for _, granted := range []time.Duration{0, time.Hour} {
		t.Run(fmt.Sprintf("granted %v", granted), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(*seed, uint64(granted)))
			cfg := Config{Most: 1, Spare: 1, Fresh: 0, Stall: 0, Granted: granted, Patience: longWait}
			if granted > 0 {
				cfg.Stall = time.Hour
			}
			s := newSite(t, cfg)
			served, closed, timedOut := 0, 0, 0
			for i := range 1000 {
				if t.Failed() {
					t.Fatalf("round %d; again with: go test ./internal/admission -run %s -seed %d", i, "TestRequestCrossesNewcomer", *seed)
				}
				id := fmt.Sprint("crossing-", i)
				kept := s.dial(t)
				kept.ask(fmt.Sprint("first-", i))
				text := request(id, strings.Repeat("b", rng.IntN(200)))
				head := strings.Index(text, "\r\n\r\n") + 4
				cut := []int{0, 1 + rng.IntN(head-1), head, head + (len(text)-head)/2, len(text)}[rng.IntN(5)]
				release := func() {}
				if cut == len(text) && rng.IntN(2) == 0 {
					release = s.holding(id)
				}
				var newcomer *client
				var both sync.WaitGroup
				together := make(chan struct{})
				both.Go(func() {
					<-together
					io.WriteString(kept, text[:cut])
				})
				both.Go(func() {
					<-together
					newcomer = s.dial(t)
					release()
				})
				close(together)
				both.Wait()
				io.WriteString(kept, text[cut:])
				status, body, _, err := kept.answer()
				switch {
				case err != nil:
					t.Errorf("round %d, cut at %d of %d: %v", i, cut, len(text), err)
				case status == http.StatusOK && body == "answer to "+id && s.hasRead(id) == 1:
					served++
				case s.hasRead(id) != 0:
					t.Errorf("round %d, cut at %d of %d: read %d times and answered %d %q", i, cut, len(text), s.hasRead(id), status, body)
				case granted > 0:
					t.Errorf("round %d, cut at %d of %d: got %d %q within what is granted", i, cut, len(text), status, body)
				case status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout:
					timedOut++
				case status == 0:
					closed++
				default:
					t.Errorf("round %d: got %d %q", i, status, body)
				}
				kept.Close()
				newcomer.Close()
			}
			t.Logf("%d served, %d closed between requests, %d told to begin anew", served, closed, timedOut)
			if served == 0 || granted == 0 && closed+timedOut == 0 {
				t.Error("the race was not met from both sides")
			}
		})
	}
}

// Those that ask once and keep their connection for good, more of them than the cap: others can
// still connect and are served at once, since answers begin to end their connections.
func TestAskOnceAndStay(t *testing.T) {
	s := newSite(t, Config{Most: 8, Spare: 1, Fresh: time.Hour, Stall: time.Hour, Granted: time.Hour, Patience: time.Hour})
	kept := 0
	for i := range 40 {
		if !s.dial(t).ask(fmt.Sprint("once-", i)) {
			kept++
		}
	}
	if kept == 0 || kept > 4 {
		t.Errorf("%d connections are kept", kept)
	}
}

// When nobody may give way newcomers wait, then get a short refusal that says when to come back.
func TestNoRoom(t *testing.T) {
	s := newSite(t, Config{Most: 2, Spare: 1, Fresh: 0, Patience: 20 * ms, Granted: time.Hour})
	release := s.holding("a")
	releaseB := s.holding("b")
	a, b := s.dial(t), s.dial(t)
	io.WriteString(a, request("a", "body"))
	io.WriteString(b, request("b", "body"))
	s.until(t, "both in hand", func(c Counts) bool { return c.By[InHand] == 2 })
	for i := range 3 {
		c := s.dial(t)
		io.WriteString(c, request("none", "body"))
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "0.250" || !resp.Close {
			t.Errorf("%d: got %+v", i, resp)
		}
		if _, err := c.r.ReadByte(); err != io.EOF {
			t.Errorf("%d: ended with %v", i, err)
		}
		c.Close()
	}
	waits := s.dial(t)
	release()
	if status, body, _, err := a.answer(); status != http.StatusOK || body != "answer to a" {
		t.Errorf("got %d %q, %v", status, body, err)
	}
	a.Close()
	waits.Close()
	s.until(t, "room", func(c Counts) bool { return c.Held == 1 && c.TurnedNow == 0 })
	s.dial(t).ask("after")
	releaseB()
	if status, _, _, err := b.answer(); status != http.StatusOK {
		t.Errorf("got %d, %v", status, err)
	}
	if n := s.hasRead("none"); n != 0 {
		t.Errorf("requests of those turned away were read %d times", n)
	}
	if c := s.l.Counts(); c.TurnedAway < 3 {
		t.Errorf("got %+v", c)
	}
}

// A crowd that connects and says nothing makes room for those that ask, one by one.
func TestSilentCrowd(t *testing.T) {
	s := newSite(t, Config{Most: 10, Spare: 1, Fresh: 0, Granted: time.Hour, Stall: time.Hour, Patience: time.Hour})
	var crowd []*client
	for i := range 100 {
		crowd = append(crowd, s.dial(t))
		if i%10 == 9 {
			c := s.dial(t)
			c.ask(fmt.Sprint("usual-", i))
			c.Close()
		}
	}
	for _, c := range crowd[:90] {
		if _, err := c.r.ReadByte(); err != io.EOF {
			t.Fatalf("one that said nothing got %v", err)
		}
	}
}

// One that begins a request and does not go on is told so, and makes room.
func TestBegunAndNotGoneOn(t *testing.T) {
	s := newSite(t, Config{Most: 1, Spare: 1, Fresh: time.Hour, Stall: 10 * ms, Granted: time.Hour, Patience: time.Hour})
	begun := s.dial(t)
	io.WriteString(begun, "POST /sub HT")
	s.until(t, "begun", func(c Counts) bool { return c.By[Head] == 1 })
	s.dial(t).ask("usual")
	if status, _, last, err := begun.answer(); status != http.StatusServiceUnavailable || !last || err != nil {
		t.Errorf("got %d, last: %v, %v", status, last, err)
	}
	if _, err := begun.r.ReadByte(); err != io.EOF {
		t.Errorf("behind the refusal came %v", err)
	}
}

// A body that stops coming is given up, one that drips goes on until the limit on the whole.
func TestBodyStops(t *testing.T) {
	s := newSite(t, Config{Most: 4, Spare: 1, Fresh: time.Hour, Stall: 10 * ms, Granted: time.Hour, Patience: time.Hour})
	c := s.dial(t)
	text := request("stops", "a body")
	io.WriteString(c, text[:len(text)-3])
	if status, _, last, err := c.answer(); status != http.StatusRequestTimeout || !last || err != nil {
		t.Errorf("got %d, last: %v, %v", status, last, err)
	}
	if s.hasRead("stops") != 0 {
		t.Error("a request that never came was taken")
	}
}

// Bodies beyond the bound are refused unread.
func TestBodiesBeyondTheBound(t *testing.T) {
	s := newSite(t, Config{Most: 4, Spare: 1, Bytes: 100, Fresh: time.Hour, Stall: time.Hour, Granted: time.Hour})
	release := s.holding("a")
	a := s.dial(t)
	io.WriteString(a, request("a", strings.Repeat("b", 60)))
	s.until(t, "in hand", func(c Counts) bool { return c.By[InHand] == 1 && c.Bytes == 60 })
	b := s.dial(t)
	io.WriteString(b, request("b", strings.Repeat("b", 60)))
	if status, _, _, err := b.answer(); status != http.StatusServiceUnavailable || err != nil {
		t.Errorf("got %d, %v", status, err)
	}
	release()
	if status, _, _, err := a.answer(); status != http.StatusOK || err != nil {
		t.Errorf("got %d, %v", status, err)
	}
	s.until(t, "free again", func(c Counts) bool { return c.Bytes == 0 })
	if s.hasRead("b") != 0 {
		t.Error("one beyond the bound was taken")
	}
}

// Two requests sent at once on one connection: both are answered, in order, also when a newcomer
// wants the place between the two.
func TestPipelined(t *testing.T) {
	s := newSite(t, Config{Most: 1, Spare: 1, Fresh: 0, Stall: 0, Granted: 0, Patience: longWait})
	for i := range 200 {
		c := s.dial(t)
		a, b := fmt.Sprint("a-", i), fmt.Sprint("b-", i)
		release := s.holding(a)
		io.WriteString(c, request(a, "body")+request(b, "body"))
		newcomer := s.dial(t)
		release()
		if status, body, _, err := c.answer(); status != http.StatusOK || body != "answer to "+a {
			t.Fatalf("got %d %q, %v", status, body, err)
		}
		status, body, _, err := c.answer()
		if err != nil || s.hasRead(b) > 0 && body != "answer to "+b || status == 0 && s.hasRead(b) > 0 {
			t.Fatalf("got %d %q, %v; read %d times", status, body, err, s.hasRead(b))
		}
		c.Close()
		newcomer.Close()
	}
}

// A planned stop while clients ask as fast as they can: whatever was read is answered whole.
func TestStopWhileAsked(t *testing.T) {
	for round := range 20 {
		s := newSite(t, Config{Most: 16, Spare: 2, Fresh: time.Hour, Stall: time.Hour, Granted: time.Hour, Patience: time.Hour})
		var clients sync.WaitGroup
		begun := make(chan struct{}, 8)
		for n := range 8 {
			clients.Go(func() {
				defer func() { begun <- struct{}{} }()
				var c *client
				for i := 0; ; i++ {
					id := fmt.Sprintf("%d-%d-%d", round, n, i)
					if c == nil {
						nc, err := net.Dial("tcp", s.l.Addr().String())
						if err != nil {
							return // stopped
						}
						defer nc.Close()
						nc.SetDeadline(time.Now().Add(longWait))
						c = &client{t, nc, bufio.NewReader(nc)}
					}
					io.WriteString(c, request(id, "body"))
					status, body, last, err := c.answer()
					if s.hasRead(id) > 0 && (err != nil || status != http.StatusOK || body != "answer to "+id) {
						t.Errorf("%s was read and answered %d %q, %v", id, status, body, err)
						return
					}
					if status == 0 || last {
						c = nil
					}
					if i == 5 {
						begun <- struct{}{}
					}
				}
			})
		}
		for range 8 {
			<-begun
		}
		s.l.Drain()
		s.stop(t)
		clients.Wait()
	}
}

// The listener closes while connections lie in its backlog, each with a whole request: this machine has accepted them,
// so each is owed an answer, if only that there is no room.
func TestStopWithABacklog(t *testing.T) {
	s := newSite(t, Config{Most: 1, Spare: 1, Fresh: time.Hour, Stall: time.Hour, Granted: time.Hour, Patience: time.Hour})
	release := s.holding("held")
	held := s.dial(t)
	io.WriteString(held, request("held", "body"))
	for s.hasRead("held") == 0 {
		runtime.Gosched()
	}
	var waiting []*client
	for n := range 20 {
		c := s.dial(t)
		io.WriteString(c, request(fmt.Sprint("waits", n), "body"))
		waiting = append(waiting, c)
	}
	s.l.Close()
	for n, c := range waiting {
		if status, _, last, err := c.answer(); err != nil || status != http.StatusServiceUnavailable || !last {
			t.Errorf("%d in the backlog got %d, %v", n, status, err)
		}
	}
	release()
	if status, body, _, err := held.answer(); err != nil || status != http.StatusOK || body != "answer to held" {
		t.Errorf("the one in hand got %d %q, %v", status, body, err)
	}
	s.stop(t)
	if nc, err := net.Dial("tcp", s.l.Addr().String()); err == nil {
		t.Error("it still listens")
		nc.Close()
	}
}

// scarce is a listener that is out of descriptors as often as it is told, and not before it may be.
type scarce struct {
	net.Listener
	left  atomic.Int64
	calls atomic.Int64
	may   chan struct{}
}

func (s *scarce) Accept() (net.Conn, error) {
	out := s.left.Add(-1) >= 0
	s.calls.Add(1)
	if out {
		<-s.may
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return s.Listener.Accept()
}

// Want of descriptors neither ends the server nor makes it spin, and costs no request; silent
// connections give way meanwhile.
func TestOutOfDescriptors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sc := &scarce{Listener: ln, may: make(chan struct{})}
	s := newSiteOn(t, sc, Config{Most: 10, Spare: 1, Fresh: 0, Stall: time.Hour, Granted: time.Hour})
	kept, silent := s.dial(t), s.dial(t)
	kept.ask("before")
	s.until(t, "both have come", func(c Counts) bool { return c.Held == 2 })
	for sc.calls.Load() < 3 { // the third accept has seen that there are descriptors
		runtime.Gosched()
	}
	sc.left.Store(3)
	first := s.dial(t) // takes the accept that already waits
	first.ask("first")
	first.Close()
	close(sc.may) // only now: a connection that has said nothing yet would be let go
	calls := sc.calls.Load()
	kept.ask("meanwhile")
	s.dial(t).ask("after")
	if n := sc.calls.Load() - calls; n > 8 {
		t.Errorf("%d accepts for one connection", n)
	}
	if _, err := silent.r.ReadByte(); err != io.EOF {
		t.Errorf("the silent one got %v", err)
	}
	kept.ask("still there")
}

func TestRefusal(t *testing.T) {
	for after, want := range map[time.Duration]string{0: "", 1500 * ms: "1.500"} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(Refusal(503, after)))), nil)
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") != want || !resp.Close || resp.ContentLength != 0 {
			t.Errorf("%s: got %+v, %v", strconv.Quote(want), resp, err)
		}
	}
}
