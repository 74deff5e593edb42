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

const testTimeout = 20 * time.Second // limit on every wait of a test; none is expected to last nearly that long

var seed = flag.Uint64("seed", 1, "seed of the race tests") // first seed of the tests in which a request and an eviction race

// testServer is an HTTP server behind a Listener. Its handler counts each request that it has read completely.
type testServer struct {
	listener *Listener
	srv      *http.Server
	done     chan struct{} // closed once srv has ended

	mu    sync.Mutex
	reads map[string]int           // how often a request was read completely, by id
	held  map[string]chan struct{} // closed when the handler may answer a request, by id; see holdAnswer

	opened, closed atomic.Int64 // number of calls of the Hooks
}

func newTestServer(t *testing.T, cfg Config) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newTestServerOn(t, ln, cfg)
}

func newTestServerOn(t *testing.T, ln net.Listener, cfg Config) *testServer {
	t.Helper()
	return newTestServerWithTimeout(t, ln, cfg, 5*time.Second)
}

// newTestServerWithTimeout returns a test server that waits so long for a request.
func newTestServerWithTimeout(t *testing.T, ln net.Listener, cfg Config, readTimeout time.Duration) *testServer {
	t.Helper()
	s := &testServer{done: make(chan struct{}), reads: map[string]int{}, held: map[string]chan struct{}{}}
	var err error
	s.listener, err = Listen(ln, cfg, 250*ms, Hooks{Opened: func() { s.opened.Add(1) }, Closed: func() { s.closed.Add(1) }})
	if err != nil {
		t.Fatal(err)
	}
	s.srv = &http.Server{Handler: s, ReadTimeout: readTimeout, IdleTimeout: 5 * time.Second, MaxHeaderBytes: 4096,
		ConnContext: ConnContext, ConnState: StateChanged, ErrorLog: log.New(io.Discard, "", 0)}
	go func() {
		defer close(s.done)
		if err := s.srv.Serve(s.listener); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve ended with %v", err)
		}
	}()
	t.Cleanup(func() {
		s.stop(t)
		if o, c := s.opened.Load(), s.closed.Load(); o != c {
			t.Errorf("%d connections were opened, %d descriptors were closed", o, c)
		}
	})
	return s
}

// stop stops the server and requires that no connection is left.
func (s *testServer) stop(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if left := s.listener.Finish(ctx); left != 0 {
		t.Errorf("%d connections are left: %+v", left, s.listener.Counts())
	}
	s.srv.Close()
	<-s.done
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := ConnFromContext(r.Context())
	id := r.Header.Get("X-Id")
	status := http.StatusOK
	if !c.Reserve(int(r.ContentLength)) {
		status = http.StatusServiceUnavailable
	} else if err := s.body(c, r); err != nil {
		status = http.StatusRequestTimeout
	} else {
		c.RequestRead()
		s.mu.Lock()
		s.reads[id]++
		hold := s.held[id]
		s.mu.Unlock()
		if hold != nil {
			<-hold
		}
	}
	if !c.BeginAnswer() || status != http.StatusOK {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, "answer to %s", id)
}

func (s *testServer) body(c *Conn, r *http.Request) error {
	buf := make([]byte, r.ContentLength)
	for at := 0; at < len(buf); {
		n, err := c.ReadBody(r.Body, buf[at:], time.Now().Add(testTimeout))
		if at += n; err != nil && at < len(buf) {
			return err
		}
	}
	return nil
}

// holdAnswer makes the handler delay the answer to a request until the returned function is called.
func (s *testServer) holdAnswer(id string) (release func()) {
	c := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[id] = c
	return sync.OnceFunc(func() { close(c) })
}

func (s *testServer) readCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[id]
}

// waitForCounts waits until the listener's counts satisfy ok.
func (s *testServer) waitForCounts(t *testing.T, what string, ok func(Counts) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(s.listener.Counts()); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: never; %+v", what, s.listener.Counts())
		}
	}
}

// client is one connection to a testServer.
type client struct {
	t testing.TB
	net.Conn
	r *bufio.Reader
}

func (s *testServer) dial(t testing.TB) *client {
	t.Helper()
	nc, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testTimeout))
	return &client{t, nc, bufio.NewReader(nc)}
}

// request returns the bytes of a POST request with a body.
func request(id, body string) string {
	return fmt.Sprintf("POST /sub HTTP/1.1\r\nHost: x\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// readAnswer reads one answer. Status 0 means that the connection ended without one.
func (c *client) readAnswer() (status int, body string, last bool, err error) {
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

// exchange sends a request and requires a successful answer.
func (c *client) exchange(id string) (last bool) {
	c.t.Helper()
	io.WriteString(c, request(id, "body"))
	status, body, last, err := c.readAnswer()
	if err != nil || status != http.StatusOK || body != "answer to "+id {
		c.t.Fatalf("%s got %d %q, %v", id, status, body, err)
	}
	return last
}

// A request races with the eviction of its connection for a new one at the limit. A request that was read
// completely must be answered completely; a connection that ends without an answer must not have been read
// completely. The seed decides how many bytes have been sent when the new connection arrives, and whether the
// answer is being written.
func TestRequestRacesEviction(t *testing.T) {
	for _, minIdle := range []time.Duration{0, time.Hour} { // Config.MinIdle: with an hour no idle connection is evicted, so the request must be served
		t.Run(fmt.Sprintf("granted %v", minIdle), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(*seed, uint64(minIdle)))
			cfg := Config{MaxConnections: 1, MaxRefusals: 1, NewGrace: 0, StallTimeout: 0, MinIdle: minIdle, AdmitTimeout: testTimeout}
			if minIdle > 0 {
				cfg.StallTimeout = time.Hour
			}
			s := newTestServer(t, cfg)
			served, closed, timedOut := 0, 0, 0
			for i := range 1000 {
				if t.Failed() {
					t.Fatalf("round %d; reproduce with: go test ./internal/admission -run %s -seed %d", i, "TestRequestRacesEviction", *seed)
				}
				id := fmt.Sprint("crossing-", i)
				kept := s.dial(t)
				kept.exchange(fmt.Sprint("first-", i))
				text := request(id, strings.Repeat("b", rng.IntN(200)))
				head := strings.Index(text, "\r\n\r\n") + 4
				cut := []int{0, 1 + rng.IntN(head-1), head, head + (len(text)-head)/2, len(text)}[rng.IntN(5)]
				release := func() {}
				if cut == len(text) && rng.IntN(2) == 0 {
					release = s.holdAnswer(id)
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
				status, body, _, err := kept.readAnswer()
				switch {
				case err != nil:
					t.Errorf("round %d, cut at %d of %d: %v", i, cut, len(text), err)
				case status == http.StatusOK && body == "answer to "+id && s.readCount(id) == 1:
					served++
				case s.readCount(id) != 0:
					t.Errorf("round %d, cut at %d of %d: read %d times and answered %d %q", i, cut, len(text), s.readCount(id), status, body)
				case minIdle > 0:
					t.Errorf("round %d, cut at %d of %d: got %d %q within the minimum idle time", i, cut, len(text), status, body)
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
			t.Logf("%d served, %d closed between requests, %d refused within a request", served, closed, timedOut)
			if served == 0 || minIdle == 0 && closed+timedOut == 0 {
				t.Error("the race did not occur with both outcomes")
			}
		})
	}
}

// More clients than the limit each send one request and stay connected: others can still connect and are
// served at once, since answers begin to end their connections.
func TestIdleClientsBeyondLimit(t *testing.T) {
	s := newTestServer(t, Config{MaxConnections: 8, MaxRefusals: 1, NewGrace: time.Hour, StallTimeout: time.Hour, MinIdle: time.Hour, AdmitTimeout: time.Hour})
	kept := 0
	for i := range 40 {
		if !s.dial(t).exchange(fmt.Sprint("once-", i)) {
			kept++
		}
	}
	if kept == 0 || kept > 4 {
		t.Errorf("%d connections are kept alive", kept)
	}
}

// When no connection may be evicted, new ones wait and then get a short refusal with Retry-After.
func TestRefusalWhenFull(t *testing.T) {
	s := newTestServer(t, Config{MaxConnections: 2, MaxRefusals: 1, NewGrace: 0, AdmitTimeout: 20 * ms, MinIdle: time.Hour})
	release := s.holdAnswer("a")
	releaseB := s.holdAnswer("b")
	a, b := s.dial(t), s.dial(t)
	io.WriteString(a, request("a", "body"))
	io.WriteString(b, request("b", "body"))
	s.waitForCounts(t, "both in hand", func(c Counts) bool { return c.ByState[StateProcessing] == 2 })
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
	if status, body, _, err := a.readAnswer(); status != http.StatusOK || body != "answer to a" {
		t.Errorf("got %d %q, %v", status, body, err)
	}
	a.Close()
	waits.Close()
	s.waitForCounts(t, "room", func(c Counts) bool { return c.Held == 1 && c.Refusing == 0 })
	s.dial(t).exchange("after")
	releaseB()
	if status, _, _, err := b.readAnswer(); status != http.StatusOK {
		t.Errorf("got %d, %v", status, err)
	}
	if n := s.readCount("none"); n != 0 {
		t.Errorf("requests on refused connections were read %d times", n)
	}
	if c := s.listener.Counts(); c.Refused < 3 {
		t.Errorf("got %+v", c)
	}
}

// Connections that send nothing are evicted one by one for clients that send requests.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	s := newTestServer(t, Config{MaxConnections: 10, MaxRefusals: 1, NewGrace: 0, MinIdle: time.Hour, StallTimeout: time.Hour, AdmitTimeout: time.Hour})
	var crowd []*client
	for i := range 100 {
		crowd = append(crowd, s.dial(t))
		if i%10 == 9 {
			c := s.dial(t)
			c.exchange(fmt.Sprint("usual-", i))
			c.Close()
		}
	}
	for _, c := range crowd[:90] {
		if _, err := c.r.ReadByte(); err != io.EOF {
			t.Fatalf("a silent connection ended with %v", err)
		}
	}
}

// A client that begins a request and stalls gets a refusal and is evicted.
func TestStalledHeadIsEvicted(t *testing.T) {
	s := newTestServer(t, Config{MaxConnections: 1, MaxRefusals: 1, NewGrace: time.Hour, StallTimeout: 10 * ms, MinIdle: time.Hour, AdmitTimeout: time.Hour})
	begun := s.dial(t)
	io.WriteString(begun, "POST /sub HT")
	s.waitForCounts(t, "begun", func(c Counts) bool { return c.ByState[StateHead] == 1 })
	s.dial(t).exchange("usual")
	if status, _, last, err := begun.readAnswer(); status != http.StatusServiceUnavailable || !last || err != nil {
		t.Errorf("got %d, last: %v, %v", status, last, err)
	}
	if _, err := begun.r.ReadByte(); err != io.EOF {
		t.Errorf("after the refusal: %v", err)
	}
}

// A body that stalls ends its request with a timeout; one that keeps arriving slowly is read until its total
// time limit.
func TestStalledBodyTimesOut(t *testing.T) {
	s := newTestServer(t, Config{MaxConnections: 4, MaxRefusals: 1, NewGrace: time.Hour, StallTimeout: 10 * ms, MinIdle: time.Hour, AdmitTimeout: time.Hour})
	c := s.dial(t)
	text := request("stops", "a body")
	io.WriteString(c, text[:len(text)-3])
	if status, _, last, err := c.readAnswer(); status != http.StatusRequestTimeout || !last || err != nil {
		t.Errorf("got %d, last: %v, %v", status, last, err)
	}
	if s.readCount("stops") != 0 {
		t.Error("an incomplete request was handled")
	}
}

// A body beyond MaxBodyBytes is refused without being read.
func TestBodyBytesLimit(t *testing.T) {
	s := newTestServer(t, Config{MaxConnections: 4, MaxRefusals: 1, MaxBodyBytes: 100, NewGrace: time.Hour, StallTimeout: time.Hour, MinIdle: time.Hour})
	release := s.holdAnswer("a")
	a := s.dial(t)
	io.WriteString(a, request("a", strings.Repeat("b", 60)))
	s.waitForCounts(t, "in hand", func(c Counts) bool { return c.ByState[StateProcessing] == 1 && c.ReservedBytes == 60 })
	b := s.dial(t)
	io.WriteString(b, request("b", strings.Repeat("b", 60)))
	if status, _, _, err := b.readAnswer(); status != http.StatusServiceUnavailable || err != nil {
		t.Errorf("got %d, %v", status, err)
	}
	release()
	if status, _, _, err := a.readAnswer(); status != http.StatusOK || err != nil {
		t.Errorf("got %d, %v", status, err)
	}
	s.waitForCounts(t, "free again", func(c Counts) bool { return c.ReservedBytes == 0 })
	if s.readCount("b") != 0 {
		t.Error("a request beyond the limit was handled")
	}
}

// Two requests sent at once on one connection are both answered, in order, even if a new connection needs the
// place between the two.
func TestPipelined(t *testing.T) {
	s := newTestServer(t, Config{MaxConnections: 1, MaxRefusals: 1, NewGrace: 0, StallTimeout: 0, MinIdle: 0, AdmitTimeout: testTimeout})
	for i := range 200 {
		c := s.dial(t)
		a, b := fmt.Sprint("a-", i), fmt.Sprint("b-", i)
		release := s.holdAnswer(a)
		io.WriteString(c, request(a, "body")+request(b, "body"))
		newcomer := s.dial(t)
		release()
		if status, body, _, err := c.readAnswer(); status != http.StatusOK || body != "answer to "+a {
			t.Fatalf("got %d %q, %v", status, body, err)
		}
		status, body, _, err := c.readAnswer()
		if err != nil || s.readCount(b) > 0 && body != "answer to "+b || status == 0 && s.readCount(b) > 0 {
			t.Fatalf("got %d %q, %v; read %d times", status, body, err, s.readCount(b))
		}
		c.Close()
		newcomer.Close()
	}
}

// During a planned stop under load, each request that was read is answered completely.
func TestDrainUnderLoad(t *testing.T) {
	for round := range 20 {
		s := newTestServer(t, Config{MaxConnections: 16, MaxRefusals: 2, NewGrace: time.Hour, StallTimeout: time.Hour, MinIdle: time.Hour, AdmitTimeout: time.Hour})
		var clients sync.WaitGroup
		begun := make(chan struct{}, 8)
		for n := range 8 {
			clients.Go(func() {
				defer func() { begun <- struct{}{} }()
				var c *client
				for i := 0; ; i++ {
					id := fmt.Sprintf("%d-%d-%d", round, n, i)
					if c == nil {
						nc, err := net.Dial("tcp", s.listener.Addr().String())
						if err != nil {
							return // stopped
						}
						defer nc.Close()
						nc.SetDeadline(time.Now().Add(testTimeout))
						c = &client{t, nc, bufio.NewReader(nc)}
					}
					io.WriteString(c, request(id, "body"))
					status, body, last, err := c.readAnswer()
					if s.readCount(id) > 0 && (err != nil || status != http.StatusOK || body != "answer to "+id) {
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
		s.listener.Drain()
		s.stop(t)
		clients.Wait()
	}
}

// The listener closes while connections with whole requests are in its backlog. The kernel has accepted them,
// so each must be answered, at least with a refusal.
func TestCloseAnswersBacklog(t *testing.T) {
	s := newTestServer(t, Config{MaxConnections: 1, MaxRefusals: 1, NewGrace: time.Hour, StallTimeout: time.Hour, MinIdle: time.Hour, AdmitTimeout: time.Hour})
	release := s.holdAnswer("held")
	held := s.dial(t)
	io.WriteString(held, request("held", "body"))
	for s.readCount("held") == 0 {
		runtime.Gosched()
	}
	var waiting []*client
	for n := range 20 {
		c := s.dial(t)
		io.WriteString(c, request(fmt.Sprint("waits", n), "body"))
		waiting = append(waiting, c)
	}
	s.listener.Close()
	for n, c := range waiting {
		if status, _, last, err := c.readAnswer(); err != nil || status != http.StatusServiceUnavailable || !last {
			t.Errorf("%d in the backlog got %d, %v", n, status, err)
		}
	}
	release()
	if status, body, _, err := held.readAnswer(); err != nil || status != http.StatusOK || body != "answer to held" {
		t.Errorf("the request in progress got %d %q, %v", status, body, err)
	}
	s.stop(t)
	if nc, err := net.Dial("tcp", s.listener.Addr().String()); err == nil {
		t.Error("the listener still accepts")
		nc.Close()
	}
}

// descriptorStarvedListener fails its next accepts for lack of descriptors, as many as failures says. Each of them returns only
// once release is closed.
type descriptorStarvedListener struct {
	net.Listener
	failures atomic.Int64  // accepts that are still to fail
	calls    atomic.Int64  // calls of Accept
	release  chan struct{} // once closed, failing accepts return
}

func (s *descriptorStarvedListener) Accept() (net.Conn, error) {
	out := s.failures.Add(-1) >= 0
	s.calls.Add(1)
	if out {
		<-s.release
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return s.Listener.Accept()
}

// A lack of descriptors neither ends the server nor makes it spin, and fails no request; silent connections are
// evicted meanwhile.
func TestOutOfDescriptors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sc := &descriptorStarvedListener{Listener: ln, release: make(chan struct{})}
	s := newTestServerOn(t, sc, Config{MaxConnections: 10, MaxRefusals: 1, NewGrace: 0, StallTimeout: time.Hour, MinIdle: time.Hour})
	kept, silent := s.dial(t), s.dial(t)
	kept.exchange("before")
	s.waitForCounts(t, "both have come", func(c Counts) bool { return c.Held == 2 })
	for sc.calls.Load() < 3 { // until the third accept has passed the check for failures, so that it succeeds
		runtime.Gosched()
	}
	sc.failures.Store(3)
	first := s.dial(t) // taken by the accept that is already waiting
	first.exchange("first")
	first.Close()
	close(sc.release) // only now: a connection that hasn't sent anything yet would be evicted
	calls := sc.calls.Load()
	kept.exchange("meanwhile")
	s.dial(t).exchange("after")
	if n := sc.calls.Load() - calls; n > 8 {
		t.Errorf("%d accepts for one connection", n)
	}
	if _, err := silent.r.ReadByte(); err != io.EOF {
		t.Errorf("the silent connection ended with %v", err)
	}
	kept.exchange("still there")
}

func TestRefusal(t *testing.T) {
	for after, want := range map[time.Duration]string{0: "", 1500 * ms: "1.500"} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(RefusalResponse(503, after)))), nil)
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") != want || !resp.Close || resp.ContentLength != 0 {
			t.Errorf("%s: got %+v, %v", strconv.Quote(want), resp, err)
		}
	}
}

// slowListener holds back its first accepted connection, as when the process is short of processor time.
type slowListener struct {
	net.Listener
	once     sync.Once
	accepted chan struct{} // closed when the first connection has been accepted
	release  chan struct{} // the first connection is returned once this is closed
}

func (l *slowListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		l.once.Do(func() {
			close(l.accepted)
			<-l.release
		})
	}
	return nc, err
}

// Guards against a reset at the replacement of a process: a connection has just been accepted when the process stops
// accepting, and the stop must not end before it is served.
func TestFinishWaitsForAnAcceptedConnection(t *testing.T) {
	for name, stopAccepting := range map[string]bool{"with a successor": true, "without one": false} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			slow := &slowListener{Listener: ln, accepted: make(chan struct{}), release: make(chan struct{})}
			s := newTestServerOn(t, slow, Config{MaxConnections: 2, MaxRefusals: 1, AdmitTimeout: time.Second, DrainGrace: time.Second})
			nc, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			io.WriteString(nc, "GET / HTTP/1.1\r\nHost: x\r\nX-Id: 1\r\n\r\n")
			<-slow.accepted
			if stopAccepting {
				s.listener.StopAccepting()
			}
			finished := make(chan int, 1)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			go func() {
				left := s.listener.Finish(ctx)
				s.srv.Close()
				finished <- left
			}()
			time.Sleep(2 * (maxBacklogDrain + backlogIdleTime)) // until the stop would no longer wait for the backlog
			close(slow.release)
			nc.SetReadDeadline(time.Now().Add(testTimeout))
			if resp, err := http.ReadResponse(bufio.NewReader(nc), nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("got %v, %v", resp, err)
			}
			if left := <-finished; left != 0 {
				t.Errorf("%d connections are left", left)
			}
		})
	}
}

// Connections that end in a reset of what their clients have sent are counted, so that such a loss shows in the log.
func TestUnreadClosesAreCounted(t *testing.T) {
	for sent, want := range map[string]uint64{"": 0, "GET / HTTP/1.1\r\n": 1} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l, err := Listen(ln, Config{MaxConnections: 1, MaxRefusals: 1}, 0, Hooks{})
		if err != nil {
			t.Fatal(err)
		}
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		nc, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(client, sent)
		for begun := time.Now(); ; time.Sleep(time.Millisecond) {
			if n, known := nc.(*Conn).UnreadBytes(); known && n == len(sent) {
				break
			}
			if time.Since(begun) > testTimeout {
				t.Fatal("the bytes don't arrive")
			}
		}
		nc.Close()
		if got := l.Counts().ClosedUnread; got != want {
			t.Errorf("%d bytes unread: %d counted, want %d", len(sent), got, want)
		}
		client.Close()
		ln.Close()
	}
}

// Guards against an answer that is held back: a streamed body is no longer wanted at the moment at which its next part is
// about to be read, and that read waited for the client until it stalled for too long.
func TestAbortedBodyIsNotRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l, err := Listen(ln, Config{MaxConnections: 1, MaxRefusals: 1, StallTimeout: time.Hour}, 0, Hooks{})
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	c := nc.(*Conn)
	read := func() <-chan error {
		ended := make(chan error, 1)
		go func() {
			_, err := c.ReadBody(c.Conn, make([]byte, 10), time.Now().Add(time.Hour))
			ended <- err
		}()
		return ended
	}
	expectTimeout := func(what string, ended <-chan error) {
		t.Helper()
		select {
		case err := <-ended:
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s: %v", what, err)
			}
		case <-time.After(testTimeout):
			t.Fatalf("%s: it waits for the client", what)
		}
	}
	c.AbortBody()
	expectTimeout("a read after the abort", read())
	c.BeginAnswer()
	pending := read()
	for begun := time.Now(); !c.bodyIsRead(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > testTimeout {
			t.Fatal("no read begins")
		}
	}
	c.AbortBody()
	expectTimeout("a pending read", pending)
}

// bodyIsRead reports whether a ReadBody is under way.
func (c *Conn) bodyIsRead() bool {
	c.bodyWait.mu.Lock()
	defer c.bodyWait.mu.Unlock()
	return c.bodyWait.reading
}

// Guards against a connection that is evicted within a head, just behind the end of a line, and keeps its room until the
// server's own timeout.
func TestEvictionBetweenLinesFreesTheRoom(t *testing.T) {
	for _, head := range []string{"POST /x HTTP/1.1\r\n", "POST /x HTTP/1.1\r\nHost: x\r\n", "POST /x HTTP/1.1\r\nHost: x\r\nX-Id: 1\r\n", "POST /x HT"} {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := newTestServerWithTimeout(t, ln, Config{MaxConnections: 1, MaxRefusals: 1, NewGrace: time.Hour, StallTimeout: 10 * ms, MinIdle: time.Hour, AdmitTimeout: time.Hour}, time.Hour)
			stalled := s.dial(t)
			io.WriteString(stalled, head)
			s.waitForCounts(t, "the head has begun", func(c Counts) bool { return c.ByState[StateHead] == 1 })
			s.dial(t).exchange("next")
			status, _, _, err := stalled.readAnswer()
			if err != nil || status != http.StatusServiceUnavailable {
				t.Errorf("the evicted client got %d, %v", status, err)
			}
		})
	}
}
