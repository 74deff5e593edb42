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

// spy is the real module, with a look at what it is told and what it decides.
type spy struct {
	*balance.Balancer
	mu     sync.Mutex
	asked  chan string    // ids of requests, as the module is told of them
	failed chan string    // and of those whose attempt was an error
	left   chan string    // and of those whose client has left
	sends  map[string]int // by id
	after  []string       // sent though their client had left
	gone   map[string]bool
}

func (s *spy) Step(now time.Duration, events []balance.Event) []balance.Action {
	actions := s.Balancer.Step(now, events)
	s.mu.Lock()
	for _, e := range events {
		if e, ok := e.(balance.Abandoned); ok {
			s.gone[e.Request] = true
		}
	}
	for _, a := range actions {
		if a, ok := a.(balance.Send); ok {
			s.sends[a.Request]++
			if s.gone[a.Request] {
				s.after = append(s.after, a.Request)
			}
		}
	}
	s.mu.Unlock()
	for _, e := range events {
		switch e := e.(type) {
		case balance.Request:
			s.asked <- e.ID
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

func (s *spy) look(f func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f()
}

// leavers is an agent with the real module before one backend, which counts what it gets. Of requests whose id begins
// with "fail" it answers that they failed, of those with "fill" it holds the answer until released.
type leavers struct {
	*spy
	t       *testing.T
	base    string
	release func()

	mu  sync.Mutex
	got map[string]int
}

func newLeavers(t *testing.T) *leavers {
	release := make(chan struct{})
	l := &leavers{t: t, got: map[string]int{}, release: sync.OnceFunc(func() { close(release) })}
	t.Cleanup(l.release)
	addr := backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _, err := receive(r)
			if err != nil {
				return
			}
			id := req.Header.Get("X-Correlation-Id")
			l.mu.Lock()
			l.got[id]++
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
	l.spy = &spy{Balancer: bal, asked: make(chan string, 1000), failed: make(chan string, 1000), left: make(chan string, 1000),
		sends: map[string]int{}, gone: map[string]bool{}}
	l.base, _, _ = running(t, cfg, l.spy)
	return l
}

func (l *leavers) dial(id string) net.Conn {
	c, err := net.Dial("tcp", strings.TrimPrefix(l.base, "http://"))
	if err != nil {
		l.t.Fatal(err)
	}
	io.WriteString(c, readOf(id))
	for await(l.t, l.asked) != id {
	}
	return c
}

// check has the agent serve a few more, then holds what the backend got against what had been sent before the leaves.
func (l *leavers) check() (once int) {
	for n := range 10 {
		if resp, _, err := ask(newClient(l.t), l.base, fmt.Sprint("last", n)); err != nil || resp.StatusCode != 200 {
			l.t.Errorf("got %v, %v", resp, err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.look(func() bool {
		if len(l.after) > 0 {
			l.t.Errorf("sent on after their clients had left: %v", l.after)
		}
		for id, n := range l.got {
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

// Several hundred clients leave while their requests are held for room: the backend never gets one of them.
func TestLeaversInAHold(t *testing.T) {
	l := newLeavers(t)
	var keep []net.Conn
	for full := false; !full; { // until one is held
		id := fmt.Sprint("fill", len(keep))
		keep = append(keep, l.dial(id))
		full = l.look(func() bool { return l.sends[id] == 0 })
	}
	for n := range 300 {
		id := fmt.Sprint("held", n)
		c := l.dial(id)
		c.Close()
		for await(t, l.left) != id {
		}
	}
	l.release()
	for _, c := range keep { // room comes
		if _, err := bufio.NewReader(c).ReadByte(); err != nil {
			t.Errorf("one that stayed got no answer: %v", err)
		}
		c.Close()
	}
	l.check()
}

// Several hundred clients leave while their requests wait for their next attempt: it is not made. An agent's bucket
// pays for some twenty only, so that there are many agents. A few are sent again in the instant of the leave.
func TestLeaversInABackOff(t *testing.T) {
	once, all := 0, 0
	for range 20 {
		l := newLeavers(t)
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
		once += l.check()
	}
	if once < all/2 {
		t.Errorf("only %d of %d left before another attempt", once, all)
	}
}

// Clients send their requests and leave before the agent takes their connections: it was busy, or has just been started.
// The module is told of none of them, and no backend gets one.
func TestLeftBeforeTheyWereRead(t *testing.T) {
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
	cfg.Settings.ConnectTimeout = time.Hour // a slow machine must not turn the verdict
	ln := listen(t)
	for n := range leave {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, readOf(fmt.Sprint("left", n)))
		c.Close()
	}
	told := make(chan string, leave+stay)
	bal := stepFunc(func(e balance.Event) []balance.Action {
		switch e := e.(type) {
		case balance.Request:
			told <- e.ID
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
		if resp, _, err := ask(newClient(t), "http://"+ln.Addr().String(), fmt.Sprint("stays", n)); err != nil || resp.StatusCode != 200 {
			t.Errorf("one that stays: %v, %v", resp, err)
		}
	}
	stop() // all that was accepted has been dealt with once it has ended
	if err := await(t, ended); err != nil {
		t.Error(err)
	}
	for what, ids := range map[string]chan string{"the module was told of": told, "the backend got": got} {
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
