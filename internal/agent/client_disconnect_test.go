package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"lemonrail/balance"
)

// observingBalancer is the real balancer; it records the events and decisions that pass through it.
type observingBalancer struct {
	*balance.Balancer
	mu             sync.Mutex
	requested      chan string     // ids of requests that the balancer received
	failed         chan string     // ids of requests with a failed attempt
	left           chan string     // ids of requests whose client has left
	sends          map[string]int  // number of Send decisions, by request id
	sentAfterLeave []string        // ids of requests sent after their client had left
	abandoned      map[string]bool // ids of requests whose client has left
}

func (s *observingBalancer) Step(now time.Duration, events []balance.Event) []balance.Action {
	actions := s.Balancer.Step(now, events)
	s.mu.Lock()
	for _, e := range events {
		if e, ok := e.(balance.Abandoned); ok {
			s.abandoned[e.Request] = true
		}
	}
	for _, a := range actions {
		if a, ok := a.(balance.Send); ok {
			s.sends[a.Request]++
			if s.abandoned[a.Request] {
				s.sentAfterLeave = append(s.sentAfterLeave, a.Request)
			}
		}
	}
	s.mu.Unlock()
	for _, e := range events {
		switch e := e.(type) {
		case balance.Request:
			s.requested <- e.ID
		case balance.Abandoned:
			s.left <- e.Request
		case balance.Outcome:
			if e.Result == balance.Errored {
				s.failed <- e.Request
			}
		}
	}
	return actions
}

func (s *observingBalancer) locked(f func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f()
}

// disconnectRig is an agent with the real balancer and one backend, which counts its requests. The backend answers
// requests "fail..." with an error, and holds its answers to "fill..." until released.
type disconnectRig struct {
	*observingBalancer
	t       *testing.T
	base    string // URL for clients
	release func() // lets the backend answer requests "fill..."

	mu       sync.Mutex
	received map[string]int // how often the backend received a request, by id
}

func newDisconnectRig(t *testing.T) *disconnectRig {
	release := make(chan struct{})
	l := &disconnectRig{t: t, received: map[string]int{}, release: sync.OnceFunc(func() { close(release) })}
	t.Cleanup(l.release)
	addr := backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _, err := receive(r)
			if err != nil {
				return
			}
			id := req.Header.Get("X-Correlation-Id")
			l.mu.Lock()
			l.received[id]++
			l.mu.Unlock()
			answer := hello
			switch {
			case strings.HasPrefix(id, "fail"):
				answer = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
			case strings.HasPrefix(id, "fill"):
				<-release
			}
			io.WriteString(c, answer)
		}
	})
	cfg := testConfig(t, addr)
	bal, err := balance.New(cfg.Settings, cfg.Seed)
	if err != nil {
		t.Fatal(err)
	}
	l.observingBalancer = &observingBalancer{Balancer: bal, requested: make(chan string, 1000), failed: make(chan string, 1000), left: make(chan string, 1000),
		sends: map[string]int{}, abandoned: map[string]bool{}}
	l.base, _, _ = startAgent(t, cfg, l.observingBalancer)
	return l
}

// dial sends a request on a new connection, and returns once the balancer has received it.
func (l *disconnectRig) dial(id string) net.Conn {
	c, err := net.Dial("tcp", strings.TrimPrefix(l.base, "http://"))
	if err != nil {
		l.t.Fatal(err)
	}
	io.WriteString(c, readRequest(id))
	for await(l.t, l.requested) != id {
	}
	return c
}

// checkAttempts has the agent serve ten more requests. It fails the test if a request was sent after its client had left, or if the
// backend received a request more often than it was sent, or one "held..." at all. It returns how many "fail..." requests
// were attempted only once.
func (l *disconnectRig) checkAttempts() (once int) {
	for n := range 10 {
		if resp, _, err := sendRead(newClient(l.t), l.base, fmt.Sprint("last", n)); err != nil || resp.StatusCode != 200 {
			l.t.Errorf("request after the disconnects: got %v, %v", resp, err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.locked(func() bool {
		if len(l.sentAfterLeave) > 0 {
			l.t.Errorf("sent after their clients had left: %v", l.sentAfterLeave)
		}
		for id, n := range l.received {
			if n > l.sends[id] || strings.HasPrefix(id, "held") {
				l.t.Errorf("%s: %d arrived, %d were sent", id, n, l.sends[id])
			}
			if strings.HasPrefix(id, "fail") && n == 1 {
				once++
			}
		}
		return true
	})
	return once
}

// 300 clients leave while their requests wait for capacity: the backend never gets one of them.
func TestClientsLeaveWhileHeld(t *testing.T) {
	l := newDisconnectRig(t)
	var keep []net.Conn
	for full := false; !full; { // until the balancer doesn't send a request at once, as the backend has no capacity left
		id := fmt.Sprint("fill", len(keep))
		keep = append(keep, l.dial(id))
		full = l.locked(func() bool { return l.sends[id] == 0 })
	}
	for n := range 300 {
		id := fmt.Sprint("held", n)
		c := l.dial(id)
		c.Close()
		for await(t, l.left) != id {
		}
	}
	l.release()
	for _, c := range keep { // their answers free capacity
		if _, err := bufio.NewReader(c).ReadByte(); err != nil {
			t.Errorf("a client that stayed got no answer: %v", err)
		}
		c.Close()
	}
	l.checkAttempts()
}

// 300 clients leave while their requests wait for a retry, which is not made. The retry budget of an agent covers some
// twenty requests only, hence 20 agents. A few requests may be retried in the instant in which the client leaves.
func TestClientsLeaveDuringBackoff(t *testing.T) {
	once, all := 0, 0
	for range 20 {
		l := newDisconnectRig(t)
		for n := range 15 {
			id := fmt.Sprint("fail", n)
			c := l.dial(id)
			for await(t, l.failed) != id {
			}
			c.Close()
			for await(t, l.left) != id {
			}
			all++
		}
		once += l.checkAttempts()
	}
	if once < all/2 {
		t.Errorf("only %d of %d left before another attempt", once, all)
	}
}

// Clients send their requests and leave before the agent accepts their connections, since it is busy or starting. The
// balancer receives none of these requests, and no backend gets one.
func TestClientsLeaveBeforeAccept(t *testing.T) {
	const leave, stay = 300, 10
	got := make(chan string, leave+stay)
	cfg := testConfig(t, backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _, err := receive(r)
			if err != nil {
				return
			}
			got <- req.Header.Get("X-Correlation-Id")
			io.WriteString(c, hello)
		}
	}))
	cfg.Settings.ConnectTimeout = time.Hour // the result must not depend on the machine's speed
	ln := listen(t)
	for n := range leave {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, readRequest(fmt.Sprint("left", n)))
		c.Close()
	}
	requested := make(chan string, leave+stay)
	bal := stepFunc(func(e balance.Event) []balance.Action {
		switch e := e.(type) {
		case balance.Request:
			requested <- e.ID
		case balance.Outcome:
			if e.Result != balance.OK {
				t.Logf("%s: attempt ended as %v after %v", e.Request, e.Result, e.Latency)
			}
		}
		return sendAll(e)
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, cfg, bal, ln, nil, nil, nil, quiet) }()
	for n := range stay {
		if resp, _, err := sendRead(newClient(t), "http://"+ln.Addr().String(), fmt.Sprint("stays", n)); err != nil || resp.StatusCode != 200 {
			t.Errorf("a client that stays: %v, %v", resp, err)
		}
	}
	stop() // everything accepted has been handled once serve returns
	if err := await(t, ended); err != nil {
		t.Error(err)
	}
	for what, ids := range map[string]chan string{"the balancer received": requested, "the backend got": got} {
		close(ids)
		n := 0
		for id := range ids {
			if strings.HasPrefix(id, "left") {
				n++
			}
		}
		if n > 0 {
			t.Errorf("%s %d of %d requests whose clients had left", what, n, leave)
		}
	}
}
