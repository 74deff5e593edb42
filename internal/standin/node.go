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

// Limits of PROTOCOL on a request, in bytes.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 64 << 10
)

// machine simulates one node: a machine with a process on it. The process may die and start again, cold and
// possibly under another id.
type machine struct {
	site  *Site
	kind  *KindSpec
	zone  string // name of its data centre
	block int    // number of its cell
	index int    // index in Site.machines

	mu         sync.Mutex
	id         string          // id of the current process; a replacement has another
	up         bool            // whether a process is running
	processCtx context.Context // ends with the process
	endProcess context.CancelFunc
	started    time.Time           // start of a process that starts cold; zero: long ago, so the process is warm
	draining   time.Time           // from when on new work is rejected; zero: not draining
	silent     bool                // it reads requests but sends nothing, to any agent
	faults     map[string]float64  // sizes of the active faults of the other kinds, by kind (see Faults)
	conns      map[net.Conn]string // open connections, and the agent that each belongs to
	cutAgents  map[string]int      // number of active cut faults by agent; the node sends nothing to these agents
	working    []*job              // jobs being worked on, sharing the cores
	queue      []*job              // jobs waiting for a slot
	rate       float64             // seconds of work (on a core of speed 1) that each working job receives per second
	progressAt time.Time           // time up to which the working jobs' progress is counted
	generation uint64              // number of the latest timer that schedule has set; finishJobs ignores earlier ones
	attempts   uint64              // number of attempts received so far; numbers the attempts for draw
	durations  []time.Duration     // durations of the latest jobs, for load reports
	endedAt    []time.Time         // ends of the same jobs
	report     string              // latest load report, sent until it is refreshed
	reportAt   time.Time           // when report was made

	listeners   []net.Listener // one per agent; a listener is opened again at its old address
	addrs       []string       // addresses of listeners
	reservedFDs []int          // descriptors that keep the addresses bound while the process is down
	accepting   sync.WaitGroup
}

// job is the work of one attempt at a machine, being worked on or in the queue.
type job struct {
	remaining float64   // remaining work, in seconds on a core of speed 1
	begun     time.Time // time at which it left the queue
	done      func()    // called once the work is done
}

// draw returns a pseudo-random number from 0 to 1 that depends on the scenario's seed, the node, the attempt (n, from 0) and the
// decision (what) only, so that timing doesn't change the faults.
func (m *machine) draw(n uint64, what uint64) float64 {
	x := m.site.scenario.Seed*0x9e3779b97f4a7c15 + uint64(m.index)*0xbf58476d1ce4e5b9 + n*0x94d049bb133111eb + what*0xd6e8feb86659fd93
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}

// drawWork returns the work of an attempt in seconds on a core of speed 1.
func (m *machine) drawWork(c *ClassSpec, n uint64) float64 {
	mean := c.WorkMs / 1000
	if c.CV == 0 {
		return mean
	}
	sigma2 := math.Log(1 + c.CV*c.CV)
	u := max(m.draw(n, 1), 1e-12)
	normal := math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*m.draw(n, 2))
	return mean * math.Exp(normal*math.Sqrt(sigma2)-sigma2/2)
}

// listen opens one listener per agent. It reuses the addresses of earlier listeners, which are closed.
func (m *machine) listen() error {
	for i := range m.site.scenario.Agents {
		if i == len(m.addrs) {
			fd, addr, err := ReserveAddr()
			if err != nil {
				return fmt.Errorf("node %s: %w", m.id, err)
			}
			m.reservedFDs, m.addrs = append(m.reservedFDs, fd), append(m.addrs, addr)
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

// ReserveAddr binds a loopback address without listening on it, so that connections are refused and no other
// process gets the address while a node is down.
func ReserveAddr() (fd int, addr string, err error) {
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

// accept serves an agent's connections until the listener is closed. Connections beyond the maximum of the machine's kind are reset.
func (m *machine) accept(ln net.Listener, agent string) {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(5 * time.Millisecond) // out of descriptors; retry
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

// reset closes a connection with a TCP reset, as happens when a process dies.
func reset(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	nc.Close()
}

// stop simulates the death of the process: its connections are reset, its jobs are lost and new connections
// are refused.
func (m *machine) stop() {
	m.mu.Lock()
	m.up = false
	listeners := m.listeners
	m.listeners = nil
	m.queue = nil
	if m.endProcess != nil {
		m.endProcess()
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

// start starts a process under the given id, cold as of now. A zero now starts it warm.
func (m *machine) start(id string, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.id, m.up, m.started, m.draining, m.silent = id, true, now, time.Time{}, false
	m.working, m.queue, m.report = nil, nil, ""
	m.processCtx, m.endProcess = context.WithCancel(m.site.ctx)
	if !now.IsZero() {
		m.site.observer.NodeStarted(id, now, float64(m.kind.Cores))
	}
	return m.listen()
}

// speed returns the seconds of work that one core does per second; a core of speed 1 does 1. Less if the machine is slow or cold.
func (m *machine) speed(now time.Time) float64 {
	speed := m.kind.Speed
	if f := m.faults["slow"]; f > 1 {
		speed /= f
	}
	if ramp := ms(m.site.scenario.Rules.RampMs); !m.started.IsZero() && ramp > 0 {
		if age := now.Sub(m.started); age < ramp {
			cold := m.site.scenario.Rules.ColdShare
			speed *= cold + (1-cold)*age.Seconds()/ramp.Seconds()
		}
	}
	return speed
}

// submit starts the work, or queues it if no slot is free; done is called when the work is done. It reports false if the queue is full.
func (m *machine) submit(work float64, done func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	j := &job{remaining: work, done: done}
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
	m.schedule(now)
	return true
}

// progress subtracts the work done since the last call from the working jobs.
func (m *machine) progress(now time.Time) {
	if done := m.rate * now.Sub(m.progressAt).Seconds(); done > 0 {
		for _, j := range m.working {
			j.remaining -= done
		}
	}
	m.progressAt = now
}

// schedule divides the cores among the working jobs and sets a timer for the end of the job that ends next. While the speed may
// change, since the machine is cold or has a fault, the timer is set to at most 20 ms.
func (m *machine) schedule(now time.Time) {
	m.generation++
	if len(m.working) == 0 {
		return
	}
	m.rate = m.speed(now) * min(1, float64(m.kind.Cores)/float64(len(m.working)))
	shortest := math.Inf(1)
	for _, j := range m.working {
		shortest = min(shortest, j.remaining)
	}
	wait := time.Duration(max(0, shortest/m.rate) * float64(time.Second))
	if !m.started.IsZero() || len(m.faults) > 0 {
		wait = min(wait, 20*time.Millisecond)
	}
	turn, life := m.generation, m.processCtx
	m.site.timers.after(wait, func() { m.finishJobs(turn, life) })
}

// finishJobs ends the jobs whose work is done and starts queued ones. turn and life are the generation and the process that the
// timer was set for.
func (m *machine) finishJobs(turn uint64, life context.Context) {
	m.mu.Lock()
	if turn != m.generation || life.Err() != nil { // superseded by a later schedule, or the process has died
		m.mu.Unlock()
		return
	}
	now := time.Now()
	m.progress(now)
	var ended []*job
	unfinished := m.working[:0]
	for _, j := range m.working {
		if j.remaining <= 1e-6 {
			ended = append(ended, j)
			m.recordDuration(now.Sub(j.begun))
		} else {
			unfinished = append(unfinished, j)
		}
	}
	m.working = unfinished
	for len(m.queue) > 0 && len(m.working) < m.kind.Slots {
		j := m.queue[0]
		m.queue = m.queue[1:]
		j.begun = now
		m.working = append(m.working, j)
	}
	m.schedule(now)
	m.mu.Unlock()
	for _, j := range ended {
		j.done()
	}
}

// recordDuration keeps the durations and ends of the latest 64 jobs, for load reports.
func (m *machine) recordDuration(d time.Duration) {
	const maxDurations = 64
	m.durations = append(m.durations, d)
	m.endedAt = append(m.endedAt, time.Now())
	if len(m.durations) > maxDurations {
		m.durations = append(m.durations[:0], m.durations[1:]...)
		m.endedAt = append(m.endedAt[:0], m.endedAt[1:]...)
	}
}

// loadReport returns the load report header for the answer to attempt n, or "" if the scenario has no reports. The report is
// computed again when it is older than the scenario's refresh_ms.
func (m *machine) loadReport(n uint64) string {
	fields := m.site.scenario.Report.Fields
	if len(fields) == 0 {
		return ""
	}
	if m.draw(n, 7) < m.faults["report_unreadable"] {
		return "X-Backend-Load: {\"latency_ms\":oops\r\n"
	}
	now := time.Now()
	if m.report == "" || now.Sub(m.reportAt) >= ms(m.site.scenario.Report.RefreshMs) {
		mean, qps := 0.0, 0.0
		for i, d := range m.durations {
			mean += d.Seconds() * 1000 / float64(len(m.durations))
			if now.Sub(m.endedAt[i]) < time.Second {
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

// serve answers the requests of one connection of an agent, one after another, until the connection ends.
func (m *machine) serve(nc net.Conn, agent string) {
	r := bufio.NewReaderSize(nc, maxHeaderBytes)
	idle := ms(m.site.scenario.Allow.IdleCloseMs)
	first := true
	var idleSince time.Time // start of the current wait for a request
	for {
		idleSince = time.Now()
		nc.SetReadDeadline(idleSince.Add(idle))
		if _, err := r.Peek(1); err != nil {
			return
		}
		began := time.Now()
		m.mu.Lock()
		n := m.attempts
		m.attempts++
		resetBefore := m.draw(n, 3) < m.faults["reset_before"]
		if minIdle := m.faults["stale"]; minIdle > 0 && !first && began.Sub(idleSince) >= ms(minIdle) {
			resetBefore = true
		}
		silent := m.silent || m.cutAgents[agent] > 0
		m.mu.Unlock()
		if resetBefore {
			reset(nc)
			return
		}
		if silent {
			m.holdSilent(nc)
			return
		}
		nc.SetReadDeadline(time.Now().Add(5 * time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.ContentLength > maxBodyBytes || req.ContentLength < 0 {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || int64(len(body)) != max(req.ContentLength, 0) {
			return
		}
		if !m.handleRequest(nc, req, agent, n, began, first) {
			return
		}
		first = false
	}
}

// holdSilent keeps a connection open without answering, until it is closed.
func (m *machine) holdSilent(nc net.Conn) {
	nc.SetReadDeadline(time.Time{})
	buf := make([]byte, 4096)
	for {
		if _, err := nc.Read(buf); err != nil {
			return
		}
	}
}

// handleRequest handles one request: attempt n of the machine, of which the first byte arrived at began. first is set for the first
// request on its connection. It reports whether the connection stays open.
func (m *machine) handleRequest(nc net.Conn, req *http.Request, agent string, n uint64, began time.Time, first bool) bool {
	now := time.Now()
	id := req.Header.Get("X-Correlation-Id")
	name, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	class := m.site.class(name)
	if id == "" || class == nil {
		answer(nc, 404, "", "no such thing\n")
		return true
	}
	m.mu.Lock()
	node, life := m.id, m.processCtx
	m.mu.Unlock()
	ended := m.site.observer.AttemptStarted(ledger.Attempt{Request: id, Agent: agent, Node: node, Zone: m.zone, Cell: m.block, FirstByte: began, LastByte: now})
	work := m.drawWork(class, n)
	if first {
		work += m.kind.HandshakeMs / 1000
	}
	if m.site.observer.WorkSent(node, agent, now, work/m.kind.Speed) {
		m.site.goTask(func() { m.site.nodeFailed(m) })
	}
	m.mu.Lock()
	report := m.loadReport(n)
	rejected := !m.draining.IsZero() && now.After(m.draining)
	fails := m.draw(n, 4) < m.faults["fail_fast"]
	resetAfter := m.draw(n, 5) < m.faults["reset_after"]
	unreadable := m.draw(n, 6) < m.faults["spoilt"]
	m.mu.Unlock()
	switch {
	case rejected:
		ended(ledger.Outcome{Rejected: true})
		answer(nc, 503, report+"X-Unprocessed: 1\r\n", "draining\n")
		return true
	case fails:
		ended(ledger.Outcome{})
		answer(nc, 500, report, "failing fast\n")
		return true
	}
	done := make(chan struct{})
	if !m.submit(work, func() { close(done) }) {
		ended(ledger.Outcome{Rejected: true})
		answer(nc, 503, report+"X-Unprocessed: 1\r\n", "queue full\n")
		return true
	}
	finishUnanswered := func() { // lets the work finish and take effect, although no answer is sent
		m.site.goTask(func() {
			select {
			case <-done:
				ended(ledger.Outcome{TookEffect: m.applyEffect(class, req, id)})
			case <-life.Done():
			}
		})
	}
	if resetAfter {
		finishUnanswered()
		reset(nc)
		return false
	}
	gone := make(chan struct{})
	stop := m.watchClient(nc, gone)
	select {
	case <-done:
	case <-gone: // closing the connection does not stop the work
		stop()
		finishUnanswered()
		return false
	case <-life.Done():
		stop()
		return false
	}
	if !stop() {
		ended(ledger.Outcome{TookEffect: m.applyEffect(class, req, id)})
		return false
	}
	m.mu.Lock()
	silent := m.silent || m.cutAgents[agent] > 0
	m.mu.Unlock()
	ran := m.applyEffect(class, req, id)
	if unreadable {
		ended(ledger.Outcome{TookEffect: ran})
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n\x00\x01 spoilt")
		return false
	}
	text := fmt.Sprintf("%s by %s, attempt %d\n", id, node, n)
	if silent {
		ended(ledger.Outcome{TookEffect: ran})
		m.holdSilent(nc)
		return false
	}
	ended(ledger.Outcome{TookEffect: ran, AnswerBody: []byte(text)})
	m.mu.Lock()
	report = m.loadReport(n)
	m.mu.Unlock()
	return answer(nc, 200, report, text) == nil
}

// watchClient closes gone when the client closes the connection, or sends more, while it waits for an answer. The returned
// function ends the watch and reports whether the connection is still usable.
func (m *machine) watchClient(nc net.Conn, gone chan struct{}) (stop func() bool) {
	var done sync.WaitGroup
	left := false
	nc.SetReadDeadline(time.Time{})
	done.Go(func() {
		var b [1]byte
		n, err := nc.Read(b[:])
		var timeout net.Error
		if n > 0 || err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			left = true // bytes before the answer are a protocol violation, so the connection is given up as well
			close(gone)
		}
	})
	return func() bool {
		nc.SetReadDeadline(time.Unix(1, 0))
		done.Wait()
		return !left
	}
}

// applyEffect records that a request takes effect, unless it repeats an idempotency key that its group has seen within the
// class's window. It reports whether the request takes effect.
func (m *machine) applyEffect(c *ClassSpec, req *http.Request, id string) bool {
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
	return m.site.rememberKey(c.Name+" "+group+" "+key, ms(c.WindowMs))
}

// answer writes an HTTP answer. headers are complete header lines, each with its line break.
func answer(nc net.Conn, status int, headers, body string) error {
	nc.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := fmt.Fprintf(nc, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
	return err
}
