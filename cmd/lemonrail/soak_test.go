package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/scripted"
)

var (
	soakSeeds = flag.Int("soak-seeds", 3, "number of seeds that the soak plays")
	soakFirst = flag.Uint64("soak-first", 1, "first seed of the soak")
)

// Shape of one run of the soak.
const (
	soakClients    = 10
	soakDeadline   = 3 * time.Second // the longest of all classes
	soakKillDelay  = 700 * time.Millisecond
	soakLongAnswer = 150_000 // bytes
)

// soak is one seeded run: usual clients beside hostile ones, backends in trouble, and processes that replace each other.
type soak struct {
	*platform
	memoryMB int        // of all processes of the agent together
	plan     []string   // what was drawn, for the log
	rng      *rand.Rand // of the timetable; clients and backends have their own
	stop     chan struct{}
	hostile  sync.WaitGroup
	usual    sync.WaitGroup

	mu       sync.Mutex
	executed map[string]int // whole requests that reached a backend, by id; only of the class that runs once
	statuses map[string]int // answers to usual requests, by status
}

// Guards against lost, late and repeated requests, and a process over its memory, under the pictures of an incident at once:
// crowds, floods, slow answers and backends, and processes replaced with the kill at its earliest. Replay a seed with
// go test -run TestSoakUnderIncidentFaults ./cmd/lemonrail -soak-first SEED -soak-seeds 1
func TestSoakUnderIncidentFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("plays for some 10 s a seed")
	}
	for n := range *soakSeeds {
		seed := *soakFirst + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{rng: rand.New(rand.NewPCG(seed, 0)), stop: make(chan struct{}), executed: map[string]int{}, statuses: map[string]int{}}
	var backends []string
	for range 3 + s.rng.IntN(4) {
		trouble := s.rng.IntN(4) == 0
		s.plan = append(s.plan, fmt.Sprint("backend in trouble: ", trouble))
		backends = append(backends, s.backend(t, s.rng.Uint64(), trouble))
	}
	s.platform = newPlatform(t, backends...)
	s.env = []string{"GOMAXPROCS=1"}
	s.memoryMB = []int{64, 96, 128, 384}[s.rng.IntN(4)]
	s.config = s.configWith(`"limits":{"memory_mb":64,"sockets":384}`, s.limits())
	s.config = s.configWith(`"Profiles":[`, `"Profiles":[{"Name":"claim","AimMs":1000,"DeadlineMs":3000,"Worth":1,"Semantics":"once"},`)
	return s
}

// limits draws the agent's limits and returns them as its configuration has them.
func (s *soak) limits() string {
	text := fmt.Sprintf(`"limits":{"memory_mb":%d,"sockets":%d}`, s.memoryMB, 256<<s.rng.IntN(3))
	s.plan = append(s.plan, text)
	return text
}

// backend starts a backend that answers after some milliseconds, long answers in lumps. One in trouble hangs now and then and
// resets some connections.
func (s *soak) backend(t *testing.T, seed uint64, trouble bool) string {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	return scripted.Backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _, err := scripted.ReadRequest(r)
			if err != nil {
				return
			}
			if strings.HasPrefix(req.URL.Path, "/claim") {
				s.mu.Lock()
				s.executed[req.Header.Get("X-Correlation-Id")]++
				s.mu.Unlock()
			}
			time.Sleep(time.Duration(draw(15)) * time.Millisecond)
			if trouble && draw(20) == 0 {
				time.Sleep(time.Duration(draw(4000)) * time.Millisecond)
			}
			if trouble && draw(40) == 0 {
				c.(*net.TCPConn).SetLinger(0)
				return
			}
			if req.URL.Query().Get("long") == "" {
				io.WriteString(c, scripted.HelloResponse)
				continue
			}
			if !writeLongAnswer(c, draw) {
				return
			}
		}
	})
}

// writeLongAnswer writes a long answer with pauses, in one of the forms of HTTP/1.1, and reports whether the connection can be
// used again.
func writeLongAnswer(c net.Conn, draw func(int) int) bool {
	body := strings.Repeat("x", soakLongAnswer)
	form := draw(3)
	text := []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"HTTP/1.1 200 OK\r\n\r\n" + body}[form]
	cut := 10 + draw(60)
	for _, part := range []string{text[:cut], text[cut : cut+60_000], text[cut+60_000:]} {
		if _, err := io.WriteString(c, part); err != nil {
			return false
		}
		time.Sleep(time.Duration(draw(250)) * time.Millisecond)
	}
	return form < 2
}

// run plays the run and checks it.
func (s *soak) run() {
	current := s.start(s.config).awaitReady()
	processes := []*instance{current}
	s.startHostile()
	s.t.Logf("plan: %q", s.plan)
	for i := range soakClients {
		s.usual.Go(func() { s.playUsual(i, rand.New(rand.NewPCG(uint64(i), s.rng.Uint64()))) })
	}
	for range 1 + s.rng.IntN(2) {
		time.Sleep(time.Duration(500+s.rng.IntN(1500)) * time.Millisecond)
		successor := s.start(s.config).awaitReady()
		s.checkMemory(processes)
		current.cmd.Process.Signal(syscall.SIGTERM)
		s.checkMemory(append(processes, successor))
		select { // the kill comes at the page's earliest
		case <-current.done:
		case <-time.After(soakDeadline + soakKillDelay):
			s.t.Error("the process has not ended when the kill may come")
			current.cmd.Process.Kill()
		}
		current = successor
		processes = append(processes, successor)
	}
	time.Sleep(time.Duration(500+s.rng.IntN(1000)) * time.Millisecond)
	s.checkMemory(processes)
	close(s.stop)
	s.usual.Wait()
	s.hostile.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.executed {
		if n > 1 {
			s.t.Errorf("%s ran %d times", id, n)
		}
	}
	s.t.Logf("%d MB, %d processes, answers %v", s.memoryMB, len(processes), s.statuses)
	if s.statuses["200"] == 0 {
		s.t.Error("nothing was served")
	}
}

// checkMemory checks that the processes that run are within the agent's memory together.
func (s *soak) checkMemory(processes []*instance) {
	total := 0
	for _, p := range processes {
		select {
		case <-p.done:
		default:
			total += residentMB(s.t, p.cmd.Process.Pid, "VmRSS")
		}
	}
	if total > s.memoryMB {
		s.t.Errorf("%d MB are resident, the limit is %d", total, s.memoryMB)
	}
}

// startHostile starts a crowd of mixed behaviours and some floods.
func (s *soak) startHostile() {
	behaviours := crowdBehaviours()
	crowd := 50 + s.rng.IntN(250)
	s.plan = append(s.plan, fmt.Sprint("crowd of ", crowd))
	for i := range crowd {
		behaviour := behaviours[s.rng.IntN(len(behaviours))]
		s.hostile.Go(func() { s.playCrowdClient(behaviour, fmt.Sprint("crowd-", i), s.stop) })
	}
	kinds := []string{"ready", "unsound", "unknown classes", "one id", "no line ends"}
	for range s.rng.IntN(4) {
		kind := kinds[s.rng.IntN(len(kinds))]
		s.plan = append(s.plan, "flood: "+kind)
		request := floodRequests()[kind]
		s.hostile.Go(func() { s.flood(request, new(floodTraffic), s.stop) })
	}
}

// playUsual sends one request after the other, on one connection while that stays open.
func (s *soak) playUsual(client int, rng *rand.Rand) {
	var nc net.Conn
	var answers *bufio.Reader
	defer func() {
		if nc != nil {
			nc.Close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		default:
		}
		id := fmt.Sprintf("usual-%d-%d", client, n)
		wait := time.Duration(200+rng.IntN(2800)) * time.Millisecond
		long := rng.IntN(6) == 0
		request := fmt.Sprintf("POST /claim HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Time-Left: %dm\r\nContent-Length: 1\r\n\r\nx", id, wait.Milliseconds())
		if rng.IntN(2) == 0 {
			request = fmt.Sprintf("GET /read?key=%d HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Time-Left: %dm\r\n\r\n", n%9, id, wait.Milliseconds())
			if long {
				request = strings.Replace(request, "?", "?long=1&", 1)
			}
		} else if long {
			request = strings.Replace(request, "/claim ", "/claim?long=1 ", 1)
		}
		for try := 0; ; try++ {
			if nc == nil {
				var err error
				if nc, err = net.Dial("tcp", strings.TrimPrefix(s.url, "http://")); err != nil {
					s.t.Errorf("%s: %v", id, err)
					return
				}
				answers = bufio.NewReader(nc)
			}
			sent := time.Now()
			status, keep, err := s.exchangeOn(nc, answers, request, long)
			if !keep {
				nc.Close()
				nc = nil
			}
			if status == 0 && try == 0 { // the close crossed the request, which has not been read
				continue
			}
			s.record(id, status, err, time.Since(sent), wait, long)
			break
		}
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	}
}

// exchangeOn sends a request on a connection and reads its answer. A status of 0 means that the connection ended without one.
func (s *soak) exchangeOn(nc net.Conn, answers *bufio.Reader, request string, long bool) (status int, keep bool, err error) {
	nc.SetDeadline(time.Now().Add(scripted.WaitTimeout))
	if _, err := io.WriteString(nc, request); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if want := map[bool]int64{true: soakLongAnswer, false: 5}[long]; err == nil && resp.StatusCode == http.StatusOK && n != want {
		err = fmt.Errorf("%d bytes of %d", n, want)
	}
	return resp.StatusCode, err == nil && !resp.Close, err
}

// record counts an answer, and reports one that is missing or late. A served answer may end early, as backends in trouble do.
func (s *soak) record(id string, status int, err error, took, wait time.Duration, long bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprint(status)
	if err != nil && status != 0 {
		text += " cut"
	}
	s.statuses[text]++
	if status == 0 || status == http.StatusBadRequest {
		s.t.Errorf("%s: status %d, %v after %v", id, status, err, took)
	}
	if lateBy := 500 * time.Millisecond; *answerTimes && took > wait+lateBy && !(long && status == http.StatusOK) {
		s.t.Errorf("%s: status %d after %v, its client waits %v", id, status, took, wait)
	}
}
