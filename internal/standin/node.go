package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"lemonrail/internal/ledger"
)

const (
	maxHead = 16 << 10
	maxBody = 64 << 10
)

// machine is one node's machine with the process on it. The process may die and start again, cold,
// and under another id.
type machine struct {
	site  *Site
	kind  *KindSpec
	zone  string
	block int
	index int // among the site's

	mu       sync.Mutex
	id       string
	up       bool
	life     context.Context // ends with the process
	end      context.CancelFunc
	started  time.Time // zero: long ago
	draining time.Time // since when it turns new work away; zero: not
	silent   bool
	faults   map[string]float64  // by what, its size
	conns    map[net.Conn]string // by whose agent's
	cut      map[string]int      // agents that it says nothing to, by the faults that say so
	working  []*job              // in work, sharing the cores
	queue    []*job              // waiting
	rate     float64             // work that each in work gets done in a second
	counted  time.Time           // until when that is counted
	turn     uint64              // of the last look ahead; earlier ones are void
	count    uint64              // attempts so far, for the choices
	lastings []time.Duration
	lastAt   []time.Time
	report   string // the load report in force
	reportAt time.Time

	listeners []net.Listener // by agent; the addresses stay
	addrs     []string
	places    []int // descriptors that hold the addresses while the process is down
	accepting sync.WaitGroup
}

// job is work on the machine.
type job struct {
	left  float64 // s on a core of speed 1
	begun time.Time
	done  func()
}

// choose draws a number in 0 to 1 for the nth attempt at this node, from the scenario's seed.
func (m *machine) choose(n uint64, what uint64) float64 {
	x := m.site.sc.Seed*0x9e3779b97f4a7c15 + uint64(m.index)*0xbf58476d1ce4e5b9 + n*0x94d049bb133111eb + what*0xd6e8feb86659fd93
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}

// work draws the work of an attempt in seconds on a core of speed 1.
func (m *machine) work(c *ClassSpec, n uint64) float64 {
	mean := c.WorkMs / 1000
	if c.CV == 0 {
		return mean
	}
	sigma2 := math.Log(1 + c.CV*c.CV)
	u := max(m.choose(n, 1), 1e-12)
	normal := math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*m.choose(n, 2))
	return mean * math.Exp(normal*math.Sqrt(sigma2)-sigma2/2)
}

// listen opens the node's addresses, one for each agent; again after it was closed the same ones.
func (m *machine) listen() error {
	for i := range m.site.sc.Agents {
		if i == len(m.addrs) {
			fd, addr, err := Reserve()
			if err != nil {
				return fmt.Errorf("node %s: %w", m.id, err)
			}
			m.places, m.addrs = append(m.places, fd), append(m.addrs, addr)
		}
		ln, err := net.Listen("tcp", m.addrs[i])
		if err != nil {
			return fmt.Errorf("node %s: %w", m.id, err)
		}
		m.listeners = append(m.listeners, ln)
		m.accepting.Go(func() { m.accept(ln, m.site.agentName(i)) })
	}
	return nil
}

// Reserve binds an address without listening on it: connections are refused, and nobody else gets
// it while a node is down.
func Reserve() (fd int, addr string, err error) {
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, "", os.NewSyscallError("socket", err)
	}
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		var name syscall.Sockaddr
		if name, err = syscall.Getsockname(fd); err == nil {
			return fd, fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port), nil
		}
	}
	syscall.Close(fd)
	return -1, "", os.NewSyscallError("bind", err)
}

func (m *machine) accept(ln net.Listener, agent string) {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(5 * time.Millisecond) // out of descriptors
			continue
		}
		m.mu.Lock()
		ok := m.up && len(m.conns) < m.kind.Conns
		if ok {
			m.conns[nc] = agent
		}
		m.mu.Unlock()
		if !ok {
			reset(nc)
			continue
		}
		open.Go(func() {
			m.serve(nc, agent)
			m.mu.Lock()
			delete(m.conns, nc)
			m.mu.Unlock()
			nc.Close()
		})
	}
}

// reset ends a connection as a process that dies does.
func reset(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	nc.Close()
}

// die ends the process: its connections are reset, what it had in work is gone, new ones are refused.
func (m *machine) die() {
	m.mu.Lock()
	m.up = false
	listeners := m.listeners
	m.listeners = nil
	m.queue = nil
	if m.end != nil {
		m.end()
	}
	for nc := range m.conns {
		reset(nc)
	}
	m.mu.Unlock()
	for _, ln := range listeners {
		ln.Close()
	}
	m.accepting.Wait()
}

// start starts the process cold, under an id.
func (m *machine) start(id string, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.id, m.up, m.started, m.draining, m.silent = id, true, now, time.Time{}, false
	m.working, m.queue, m.report = nil, nil, ""
	m.life, m.end = context.WithCancel(m.site.ctx)
	if !now.IsZero() {
		m.site.watch.Started(id, now, float64(m.kind.Cores))
	}
	return m.listen()
}

// speed is what one core does now, against the yardstick.
func (m *machine) speed(now time.Time) float64 {
	speed := m.kind.Speed
	if f := m.faults["slow"]; f > 1 {
		speed /= f
	}
	if ramp := ms(m.site.sc.Rules.RampMs); !m.started.IsZero() && ramp > 0 {
		if age := now.Sub(m.started); age < ramp {
			cold := m.site.sc.Rules.ColdShare
			speed *= cold + (1-cold)*age.Seconds()/ramp.Seconds()
		}
	}
	return speed
}

// submit puts work on the machine. It reports false if the queue is full.
func (m *machine) submit(work float64, done func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	j := &job{left: work, done: done}
	if len(m.working) >= m.kind.Slots {
		if len(m.queue) >= m.kind.Queue {
			return false
		}
		m.queue = append(m.queue, j)
		return true
	}
	now := time.Now()
	m.progress(now)
	j.begun = now
	m.working = append(m.working, j)
	m.ahead(now)
	return true
}

// progress counts what has been done since it was last counted.
func (m *machine) progress(now time.Time) {
	if done := m.rate * now.Sub(m.counted).Seconds(); done > 0 {
		for _, j := range m.working {
			j.left -= done
		}
	}
	m.counted = now
}

// ahead shares the cores out anew and looks ahead to when the next piece of work is done. A cold
// machine gets faster on the way, so that the look is repeated at least every 20 ms.
func (m *machine) ahead(now time.Time) {
	m.turn++
	if len(m.working) == 0 {
		return
	}
	m.rate = m.speed(now) * min(1, float64(m.kind.Cores)/float64(len(m.working)))
	least := math.Inf(1)
	for _, j := range m.working {
		least = min(least, j.left)
	}
	wait := time.Duration(max(0, least/m.rate) * float64(time.Second))
	if !m.started.IsZero() || len(m.faults) > 0 {
		wait = min(wait, 20*time.Millisecond)
	}
	turn, life := m.turn, m.life
	m.site.timers.after(wait, func() { m.look(turn, life) })
}

// look ends the work that is done and begins what waits.
func (m *machine) look(turn uint64, life context.Context) {
	m.mu.Lock()
	if turn != m.turn || life.Err() != nil { // overtaken, or its process has died
		m.mu.Unlock()
		return
	}
	now := time.Now()
	m.progress(now)
	var ended []*job
	still := m.working[:0]
	for _, j := range m.working {
		if j.left <= 1e-6 {
			ended = append(ended, j)
			m.lasted(now.Sub(j.begun))
		} else {
			still = append(still, j)
		}
	}
	m.working = still
	for len(m.queue) > 0 && len(m.working) < m.kind.Slots {
		j := m.queue[0]
		m.queue = m.queue[1:]
		j.begun = now
		m.working = append(m.working, j)
	}
	m.ahead(now)
	m.mu.Unlock()
	for _, j := range ended {
		j.done()
	}
}

// lasted remembers how long the last pieces of work took.
func (m *machine) lasted(d time.Duration) {
	const most = 64
	m.lastings = append(m.lastings, d)
	m.lastAt = append(m.lastAt, time.Now())
	if len(m.lastings) > most {
		m.lastings = append(m.lastings[:0], m.lastings[1:]...)
		m.lastAt = append(m.lastAt[:0], m.lastAt[1:]...)
	}
}

// loadReport is what goes with an answer; it is refreshed now and then.
func (m *machine) loadReport(n uint64) string {
	fields := m.site.sc.Report.Fields
	if len(fields) == 0 {
		return ""
	}
	if m.choose(n, 7) < m.faults["report_unreadable"] {
		return "X-Backend-Load: {\"latency_ms\":oops\r\n"
	}
	now := time.Now()
	if m.report == "" || now.Sub(m.reportAt) >= ms(m.site.sc.Report.RefreshMs) {
		mean, qps := 0.0, 0.0
		for i, d := range m.lastings {
			mean += d.Seconds() * 1000 / float64(len(m.lastings))
			if now.Sub(m.lastAt[i]) < time.Second {
				qps++
			}
		}
		var parts []string
		for _, f := range fields {
			v := map[string]float64{"latency_ms": mean, "qps": qps, "queue": float64(len(m.queue)),
				"inflight": float64(len(m.working) + len(m.queue)), "util": min(1, float64(len(m.working))/float64(m.kind.Cores))}[f]
			parts = append(parts, fmt.Sprintf("%q:%.2f", f, v))
		}
		m.report, m.reportAt = "X-Backend-Load: {"+strings.Join(parts, ",")+"}\r\n", now
	}
	return m.report
}

// serve answers the requests of one connection.
func (m *machine) serve(nc net.Conn, agent string) {
	r := bufio.NewReaderSize(nc, maxHead)
	idle := ms(m.site.sc.Allow.IdleCloseMs)
	first := true
	var rested time.Time // since when it has been idle
	for {
		rested = time.Now()
		nc.SetReadDeadline(rested.Add(idle))
		if _, err := r.Peek(1); err != nil {
			return
		}
		began := time.Now()
		m.mu.Lock()
		n := m.count
		m.count++
		before := m.choose(n, 3) < m.faults["reset_before"]
		if rest := m.faults["stale"]; rest > 0 && !first && began.Sub(rested) >= ms(rest) {
			before = true
		}
		silent := m.silent || m.cut[agent] > 0
		m.mu.Unlock()
		if before {
			reset(nc)
			return
		}
		if silent {
			m.silence(nc)
			return
		}
		nc.SetReadDeadline(time.Now().Add(5 * time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.ContentLength > maxBody || req.ContentLength < 0 {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || int64(len(body)) != max(req.ContentLength, 0) {
			return
		}
		if !m.exchange(nc, req, agent, n, began, first) {
			return
		}
		first = false
	}
}

// silence holds a connection of a machine that says nothing until that ends.
func (m *machine) silence(nc net.Conn) {
	nc.SetReadDeadline(time.Time{})
	buf := make([]byte, 4096)
	for {
		if _, err := nc.Read(buf); err != nil {
			return
		}
	}
}

// exchange answers one request. It reports whether the connection goes on.
func (m *machine) exchange(nc net.Conn, req *http.Request, agent string, n uint64, began time.Time, first bool) bool {
	now := time.Now()
	id := req.Header.Get("X-Correlation-Id")
	name, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	class := m.site.class(name)
	if id == "" || class == nil {
		answer(nc, 404, "", "no such thing\n")
		return true
	}
	m.mu.Lock()
	node, life := m.id, m.life
	m.mu.Unlock()
	ended := m.site.watch.Began(ledger.Attempt{Request: id, Agent: agent, Node: node, Zone: m.zone, Cell: m.block, First: began, Last: now})
	work := m.work(class, n)
	if first {
		work += m.kind.HandshakeMs / 1000
	}
	if m.site.watch.Work(node, agent, now, work/m.kind.Speed) {
		m.site.spawn(func() { m.site.fell(m) })
	}
	m.mu.Lock()
	report := m.loadReport(n)
	turned := !m.draining.IsZero() && now.After(m.draining)
	fails := m.choose(n, 4) < m.faults["fail_fast"]
	after := m.choose(n, 5) < m.faults["reset_after"]
	spoilt := m.choose(n, 6) < m.faults["spoilt"]
	m.mu.Unlock()
	switch {
	case turned:
		ended(ledger.Ending{Turned: true})
		answer(nc, 503, report+"X-Unprocessed: 1\r\n", "draining\n")
		return true
	case fails:
		ended(ledger.Ending{})
		answer(nc, 500, report, "failing fast\n")
		return true
	}
	done := make(chan struct{})
	if !m.submit(work, func() { close(done) }) {
		ended(ledger.Ending{Turned: true})
		answer(nc, 503, report+"X-Unprocessed: 1\r\n", "queue full\n")
		return true
	}
	goesOn := func() { // the work does, and nobody hears of it
		m.site.spawn(func() {
			select {
			case <-done:
				ended(ledger.Ending{Ran: m.effect(class, req, id)})
			case <-life.Done():
			}
		})
	}
	if after {
		goesOn()
		reset(nc)
		return false
	}
	gone := make(chan struct{})
	stop := m.watchClient(nc, gone)
	select {
	case <-done:
	case <-gone: // a cancel stops nothing
		stop()
		goesOn()
		return false
	case <-life.Done():
		stop()
		return false
	}
	if !stop() {
		ended(ledger.Ending{Ran: m.effect(class, req, id)})
		return false
	}
	m.mu.Lock()
	silent := m.silent || m.cut[agent] > 0
	m.mu.Unlock()
	ran := m.effect(class, req, id)
	if spoilt {
		ended(ledger.Ending{Ran: ran})
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n\x00\x01 spoilt")
		return false
	}
	text := fmt.Sprintf("%s by %s, attempt %d\n", id, node, n)
	if silent {
		ended(ledger.Ending{Ran: ran})
		m.silence(nc)
		return false
	}
	ended(ledger.Ending{Ran: ran, Answer: []byte(text)})
	m.mu.Lock()
	report = m.loadReport(n)
	m.mu.Unlock()
	return answer(nc, 200, report, text) == nil
}

// watchClient closes gone when the other side ends the connection while it waits for an answer. The
// returned function ends the watch and reports whether the connection is still there.
func (m *machine) watchClient(nc net.Conn, gone chan struct{}) (stop func() bool) {
	var over sync.WaitGroup
	left := false
	nc.SetReadDeadline(time.Time{})
	over.Go(func() {
		var b [1]byte
		n, err := nc.Read(b[:])
		var timeout net.Error
		if n > 0 || err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			left = true // bytes before the answer make no sense either
			close(gone)
		}
	})
	return func() bool {
		nc.SetReadDeadline(time.Unix(1, 0))
		over.Wait()
		return !left
	}
}

// effect lets a request take effect, unless it is a repeat that its group still remembers. It
// reports whether it did.
func (m *machine) effect(c *ClassSpec, req *http.Request, id string) bool {
	key := req.Header.Get("Idempotency-Key")
	if c.Effect != "keyed" || key == "" {
		return true
	}
	group := ""
	switch c.Group {
	case "zone":
		group = m.zone
	case "cell":
		group = fmt.Sprint(m.zone, " ", m.block)
	}
	return m.site.remember(c.Name+" "+group+" "+key, ms(c.WindowMs))
}

func answer(nc net.Conn, status int, headers, body string) error {
	nc.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := fmt.Fprintf(nc, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
	return err
}
