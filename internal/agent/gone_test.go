package agent

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/standin"
)

// longAim has retries wait for up to half a second.
var longAim = strings.NewReplacer(`"AimMs":5000,"DeadlineMs":10000`, `"AimMs":16000,"DeadlineMs":600000`,
	`"ConnectTimeoutMs":2000`, `"ConnectTimeoutMs":60000`)

// attempts notes when which requests came to a backend.
type attempts struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *attempts) note(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at == nil {
		a.at = map[string][]time.Time{}
	}
	a.at[id] = append(a.at[id], time.Now())
}

// since counts those of requests with a prefix that came after a time.
func (a *attempts) since(prefix string, from time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, at := range a.at {
		for _, t := range at {
			if strings.HasPrefix(id, prefix) && t.After(from) {
				n++
			}
		}
	}
	return n
}

// ids counts the requests with a prefix that have come.
func (a *attempts) ids(prefix string) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.at {
		if strings.HasPrefix(id, prefix) {
			n++
		}
	}
	return n
}

// serve answers "wait" with a failure, "fill" once released, and others at once.
func (a *attempts) serve(release <-chan struct{}) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			req, _, err := receive(r)
			if err != nil {
				return
			}
			id := req.Header.Get("X-Correlation-Id")
			a.note(id)
			answer := hello
			switch {
			case strings.HasPrefix(id, "wait"):
				answer = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
			case strings.HasPrefix(id, "fill"):
				<-release
			}
			io.WriteString(c, answer)
		}
	}
}

// leave ends a client's connection in one of the ways in which clients do.
func leave(c net.Conn, way int) {
	tcp := c.(*net.TCPConn)
	switch way % 3 {
	case 0:
		tcp.Close()
	case 1: // with a reset
		tcp.SetLinger(0)
		tcp.Close()
	case 2: // its sending first
		tcp.CloseWrite()
	}
}

// openClient sends a request on a connection of its own: a new one, one that is kept from a request before, or one on which
// another request follows at once.
func openClient(t *testing.T, address, id string, kind int, warm bool) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	text := readOf(id)
	switch kind % 3 {
	case 1:
		if !warm {
			break
		}
		io.WriteString(c, readOf("warm-"+id))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%s: %v, %v", id, resp, err)
		}
	case 2:
		text += readOf("behind-" + id)
	}
	io.WriteString(c, text)
	return c
}

// Several hundred clients leave while their agents, processes of their own, are stopped, and what their requests waited for
// comes meanwhile: the time of a retry, room, a connection that comes up. When an agent goes on it finds both at once, and
// no attempt begins for a client that has left.
func TestLeaversOfStoppedAgents(t *testing.T) {
	const retrying, each, held, dialling = 8, 18, 150, 4
	var got attempts
	release := make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseOnce)
	steady := backend(t, got.serve(release))
	late := newLateListener(t, got.serve(release))

	var all []*agentProcess
	add := func(name, address string) *agentProcess {
		p := newAgentProcess(t, name)
		p.configure(longAim.Replace(configJSON(deadAddr(t), "", address)))
		p.start()
		all = append(all, p)
		return p
	}
	for n := range retrying {
		add(fmt.Sprint("retry", n), steady)
	}
	holding := add("hold", steady)
	for n := range dialling {
		add(fmt.Sprint("dial", n), late.address)
	}
	for _, p := range all {
		p.ready()
	}

	var leavers, keep []net.Conn
	for _, p := range all[retrying+1:] {
		for n := range each {
			leavers = append(leavers, openClient(t, p.address, fmt.Sprintf("dial-%s-%d", p.name, n), n, false))
		}
		p.active(each)
	}
	const fill = 64 // more than one agent has out at a time to one backend
	for n := range fill {
		keep = append(keep, openClient(t, holding.address, fmt.Sprint("fill-", n), 0, false))
	}
	holding.active(fill)
	for n := range held {
		leavers = append(leavers, openClient(t, holding.address, fmt.Sprint("held-", n), 2*(n%2), true))
	}
	holding.active(fill + held)
	for _, p := range all[:retrying] {
		var own []net.Conn
		for n := range each {
			own = append(own, openClient(t, p.address, fmt.Sprintf("wait-%s-%d", p.name, n), n, true))
		}
		p.until("sending", func() bool { return got.ids("wait-"+p.name) == each })
		p.pause()
		leavers = append(leavers, own...)
	}
	for _, p := range all[retrying:] {
		p.pause()
	}
	for n, c := range leavers {
		leave(c, n)
	}
	releaseOnce()
	late.open()
	time.Sleep(1500 * time.Millisecond) // the kernel asks for connections again after a second; retries wait for half of one
	resumed := time.Now()
	for _, p := range all {
		p.signal(syscall.SIGCONT)
	}
	for _, c := range keep {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("one that stayed: %v, %v", resp, err)
		}
	}
	for _, p := range all {
		for n := range 3 {
			if resp, _, err := ask(newClient(t), p.url(), fmt.Sprint("last-", p.name, n)); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%s: %v, %v", p.name, resp, err)
			}
		}
		p.active(0)
	}
	for _, prefix := range []string{"wait", "held", "dial", "behind"} {
		if n := got.since(prefix, resumed); n > 0 {
			t.Errorf("%d attempts of %s began after their clients had left", n, prefix)
		}
	}
	t.Logf("%d clients left", len(leavers))
}

// Clients leave at any moment of their requests' retries while their agent, on one processor, has as much to do as it can, or
// runs for a quarter of the time: of some hundred, two attempts at the most may begin over 0.1 s after the close.
func TestLeaversUnderLoad(t *testing.T) {
	t.Run("busy", func(t *testing.T) {
		t.Parallel()
		leaversUnderLoad(t, 60, false)
	})
	t.Run("slow", func(t *testing.T) {
		t.Parallel()
		leaversUnderLoad(t, 6, true)
	})
}

func leaversUnderLoad(t *testing.T, busy int, slow bool) {
	const leavers, late, mayBreak = 400, 100 * time.Millisecond, 2
	var got attempts
	p := newAgentProcess(t, "n0")
	p.configure(longAim.Replace(configJSON(deadAddr(t), "", backend(t, got.serve(nil)), backend(t, got.serve(nil)))))
	p.start()
	p.ready()
	stop := make(chan struct{})
	var load, leaving sync.WaitGroup
	for n := range busy {
		load.Go(func() {
			client := newClient(t)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if _, _, err := ask(client, p.url(), fmt.Sprintf("busy-%d-%d", n, i)); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	if slow {
		load.Go(func() { p.slow(stop) })
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	closed := map[string]time.Time{}
	for n := range leavers {
		id, stay := fmt.Sprint("wait-", n), time.Duration(rng.Int64N(int64(600*time.Millisecond)))
		c := openClient(t, p.address, id, n, true)
		leaving.Go(func() {
			time.Sleep(stay)
			at := time.Now()
			leave(c, n)
			mu.Lock()
			defer mu.Unlock()
			closed[id] = at
		})
	}
	leaving.Wait()
	time.Sleep(time.Second) // in which a retry that was to come would
	close(stop)
	load.Wait()
	p.active(0)
	got.mu.Lock()
	defer got.mu.Unlock()
	breaks, retried, served := 0, 0, 0
	for id, at := range got.at {
		if strings.HasPrefix(id, "busy") {
			served++
		}
		if !strings.HasPrefix(id, "wait") {
			continue
		}
		if len(at) > 1 {
			retried++
		}
		for _, t := range at {
			if t.Sub(closed[id]) > late {
				breaks++
			}
		}
	}
	if breaks > mayBreak {
		t.Errorf("%d attempts began over %v after the close", breaks, late)
	}
	t.Logf("%d clients left, %d after a retry; %d attempts began over %v after the close; %d requests served beside", leavers, retried, breaks, late, served)
}

// slow lets the process run for a quarter of the time, until stop.
func (p *agentProcess) slow(stop <-chan struct{}) {
	const standing, running = 150 * time.Millisecond, 50 * time.Millisecond
	for {
		for _, step := range []struct {
			s syscall.Signal
			d time.Duration
		}{{syscall.SIGSTOP, standing}, {syscall.SIGCONT, running}} {
			p.signal(step.s)
			time.Sleep(step.d)
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

// lateListener is an address where connections don't come up before it is opened: the kernel's queue of them is full.
type lateListener struct {
	t       *testing.T
	address string
	fd      int
	handle  func(net.Conn, *bufio.Reader)
}

func newLateListener(t *testing.T, handle func(net.Conn, *bufio.Reader)) *lateListener {
	t.Helper()
	fd, address, err := standin.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", address) // takes the one place
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &lateListener{t, address, fd, handle}
}

// open has connections come up from now on.
func (l *lateListener) open() {
	l.t.Helper()
	if err := syscall.Listen(l.fd, 4096); err != nil {
		l.t.Fatal(err)
	}
	own, err := syscall.Dup(l.fd)
	if err != nil {
		l.t.Fatal(err)
	}
	file := os.NewFile(uintptr(own), "late")
	defer file.Close()
	ln, err := net.FileListener(file)
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				l.handle(c, bufio.NewReader(c))
			}()
		}
	}()
}
