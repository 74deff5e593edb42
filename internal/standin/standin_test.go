package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lemonrail/internal/ledger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const longWait = 20 * time.Second

const small = `
seed = 3
sites = ["a", "b"]
agents = 2
[rules]
ramp_ms = 1000
[discovery]
heartbeat_ms = 20
[report]
fields = ["latency_ms", "qps", "queue"]
[[class]]
name = "read"
work_ms = 1
[[class]]
name = "sub"
effect = "keyed"
group = "zone"
window_ms = 60000
work_ms = 1
[[kind]]
name = "k"
cores = 2
queue = 1
conns = 3
[[node]]
name = "x"
kind = "k"
[[node]]
name = "y"
kind = "k"
site = "b"
block = 1
`

// recorder is an Observer that keeps the events that it is notified of.
type recorder struct {
	mu       sync.Mutex
	attempts []ledger.Attempt
	outcomes []ledger.Outcome
	states   []string
	falls    bool
}

func (n *recorder) AttemptStarted(a ledger.Attempt) func(ledger.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.attempts = append(n.attempts, a)
	return func(e ledger.Outcome) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.outcomes = append(n.outcomes, e)
	}
}
func (n *recorder) WorkSent(string, string, time.Time, float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.falls
}
func (n *recorder) StateReported(agent, node, state string, _, _ time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.states = append(n.states, agent+" "+node+" "+state)
}
func (n *recorder) NodeStarted(string, time.Time, float64) {}

func (n *recorder) endings() []ledger.Outcome {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]ledger.Outcome(nil), n.outcomes...)
}

func open(t *testing.T, more string) (*Site, *recorder) {
	t.Helper()
	sc, err := ParseScenario("small.toml", []byte(small+more))
	if err != nil {
		t.Fatal(err)
	}
	n := &recorder{}
	s, err := Open(sc, n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s, n
}

// known returns the discovery address and the list in an agent's configuration.
func (s *Site) known(t *testing.T, agent int) (discovery string, l listing) {
	t.Helper()
	raw, err := s.Config(agent, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	var c struct {
		Discovery string  `json:"discovery"`
		Known     listing `json:"known"`
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		t.Fatal(err)
	}
	return c.Discovery, c.Known
}

type conn struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *conn {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(longWait))
	return &conn{nc, bufio.NewReader(nc)}
}

func (c *conn) ask(id, class, key string) (int, string, http.Header, error) {
	method := "GET"
	if key != "" {
		method = "POST"
	}
	fmt.Fprintf(c, "%s /%s?key=1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nIdempotency-Key: %s\r\nContent-Length: 0\r\n\r\n", method, class, id, key)
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, "", nil, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), resp.Header, err
}

func TestNodeAnswers(t *testing.T) {
	s, n := open(t, "")
	_, l := s.known(t, 1)
	if len(l.Hosts) != 2 || l.Hosts[1].Site != "b" || l.Hosts[1].Block != 1 || l.Hosts[0].Health != "ready" {
		t.Fatalf("knows %+v", l)
	}
	c := dial(t, l.Hosts[0].Dial)
	status, body, header, err := c.ask("d1", "read", "")
	if err != nil || status != 200 || !strings.HasPrefix(body, "d1 by x") || !strings.Contains(header.Get("X-Backend-Load"), `"queue":`) {
		t.Errorf("got %d %q %v, %v", status, body, header, err)
	}
	if status, _, _, err := c.ask("d2", "none", ""); err != nil || status != 404 {
		t.Errorf("an unknown class got %d, %v", status, err)
	}
	if n.attempts[0].Agent != "n1" || n.attempts[0].Node != "x" || n.attempts[0].Zone != "a" || string(n.endings()[0].AnswerBody) != body || !n.endings()[0].TookEffect {
		t.Errorf("the observer recorded %+v, %+v", n.attempts, n.outcomes)
	}
}

// A repeated key takes no effect within the group that remembers it, but does in another group.
func TestRepeatOfKeyIsDropped(t *testing.T) {
	s, n := open(t, "")
	_, l := s.known(t, 0)
	for i, node := range []int{0, 0, 1} {
		if status, _, _, err := dial(t, l.Hosts[node].Dial).ask(fmt.Sprint("d", i), "sub", "k"); err != nil || status != 200 {
			t.Fatalf("got %d, %v", status, err)
		}
	}
	e := n.endings()
	if !e[0].TookEffect || e[1].TookEffect || !e[2].TookEffect {
		t.Errorf("effects: %+v", e)
	}
}

func TestFaultsOfANode(t *testing.T) {
	for _, tt := range []struct {
		what string
		size float64
		want func(status int, body string, header http.Header, err error) bool
		ran  bool
	}{
		{"fail_fast", 1, func(status int, _ string, _ http.Header, err error) bool { return err == nil && status == 500 }, false},
		{"reset_before", 1, func(_ int, _ string, _ http.Header, err error) bool {
			return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrUnexpectedEOF)
		}, false},
		{"reset_after", 1, func(_ int, _ string, _ http.Header, err error) bool { return errors.Is(err, syscall.ECONNRESET) }, true},
		{"spoilt", 1, func(_ int, _ string, _ http.Header, err error) bool { return err != nil }, true},
		{"report_unreadable", 1, func(status int, _ string, h http.Header, err error) bool {
			return err == nil && status == 200 && !json.Valid([]byte(h.Get("X-Backend-Load")))
		}, true},
	} {
		t.Run(tt.what, func(t *testing.T) {
			s, n := open(t, "")
			_, l := s.known(t, 0)
			s.applyFault(&FaultSpec{What: tt.what, Size: tt.size, Nodes: []string{"x"}})
			status, body, header, err := dial(t, l.Hosts[0].Dial).ask("d1", "read", "")
			if !tt.want(status, body, header, err) {
				t.Errorf("got %d %q, %v", status, body, err)
			}
			if tt.ran {
				for end := time.Now().Add(longWait); ; time.Sleep(time.Millisecond) {
					if e := n.endings(); len(e) == 1 && e[0].TookEffect {
						break
					}
					if time.Now().After(end) {
						t.Fatalf("the request took no effect: %+v", n.endings())
					}
				}
			}
			if status, _, _, err := dial(t, l.Hosts[1].Dial).ask("d2", "read", ""); err != nil || status != 200 {
				t.Errorf("the other node got %d, %v", status, err)
			}
		})
	}
}

// A silent machine does not answer, and resets its connections when it is back.
func TestSilentMachine(t *testing.T) {
	s, _ := open(t, "")
	_, l := s.known(t, 0)
	s.applyFault(&FaultSpec{What: "silent", Nodes: []string{"x"}, ForS: 0.05})
	if _, _, _, err := dial(t, l.Hosts[0].Dial).ask("d1", "read", ""); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("ended with %v", err)
	}
	for end := time.Now().Add(longWait); ; time.Sleep(time.Millisecond) {
		if status, _, _, err := dial(t, l.Hosts[0].Dial).ask("d2", "read", ""); err == nil && status == 200 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the machine does not answer again")
		}
	}
}

// A node rejects requests beyond its queue and marks them as unprocessed, and resets connections beyond its maximum.
func TestFullNodeRejects(t *testing.T) {
	s, n := open(t, "")
	_, l := s.known(t, 0)
	s.applyFault(&FaultSpec{What: "slow", Size: 1e6, Nodes: []string{"x"}})
	var waiting []*conn
	for i := range 3 { // two being worked on, one in the queue
		c := dial(t, l.Hosts[0].Dial)
		fmt.Fprintf(c, "GET /read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: d%d\r\n\r\n", i)
		waiting = append(waiting, c)
		for end := time.Now().Add(longWait); ; time.Sleep(time.Millisecond) {
			n.mu.Lock()
			came := len(n.attempts)
			n.mu.Unlock()
			if came == i+1 {
				break
			}
			if time.Now().After(end) {
				t.Fatal("the request did not arrive")
			}
		}
	}
	fourth := func() (status int, header http.Header, err error) {
		nc, err := net.Dial("tcp", l.Hosts[0].Dial)
		if err != nil {
			return 0, nil, err
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(longWait))
		status, _, header, err = (&conn{nc, bufio.NewReader(nc)}).ask("d9", "read", "")
		return status, header, err
	}
	if status, _, err := fourth(); err == nil {
		t.Errorf("a fourth connection got %d", status)
	}
	waiting[0].Close()
	for end := time.Now().Add(longWait); ; time.Sleep(time.Millisecond) {
		status, header, err := fourth()
		if err == nil && status == 503 && header.Get("X-Unprocessed") == "1" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("got %d, %v", status, err)
		}
	}
}

// A process that dies refuses connections at its address. Afterwards a cold process starts at the same address, under the same
// id (restart) or another one (replace).
func TestRestartAndReplace(t *testing.T) {
	for _, what := range []string{"restart", "replace"} {
		s, n := open(t, "")
		_, l := s.known(t, 0)
		x := l.Hosts[0]
		if status, _, _, err := dial(t, x.Dial).ask("d1", "read", ""); err != nil || status != 200 {
			t.Fatalf("got %d, %v", status, err)
		}
		s.applyFault(&FaultSpec{What: what, Nodes: []string{"x"}, Size: 0.03})
		if nc, err := net.Dial("tcp", x.Dial); !errors.Is(err, syscall.ECONNREFUSED) {
			if err == nil {
				nc.Close()
			}
			t.Errorf("%s: a connection got %v", what, err)
		}
		for end := time.Now().Add(longWait); ; time.Sleep(time.Millisecond) {
			_, l := s.known(t, 0)
			again := l.Hosts[len(l.Hosts)-1]
			if again.BornMs > 0 && again.Dial == x.Dial && (again.Host == "x") == (what == "restart") {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%s: listed are %+v", what, l)
			}
		}
		status, body, _, err := dial(t, x.Dial).ask("d2", "read", "")
		if err != nil || status != 200 || strings.HasPrefix(body, "d2 by x,") != (what == "restart") {
			t.Errorf("%s: got %d %q, %v", what, status, body, err)
		}
		_ = n
	}
}

func TestColdNodeFallsOver(t *testing.T) {
	s, n := open(t, "")
	_, l := s.known(t, 0)
	n.mu.Lock()
	n.falls = true
	n.mu.Unlock()
	dial(t, l.Hosts[0].Dial).ask("d1", "read", "")
	for end := time.Now().Add(longWait); ; time.Sleep(time.Millisecond) {
		if _, l := s.known(t, 0); len(l.Hosts) == 1 && l.Hosts[0].Host == "y" {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the node is still listed")
		}
	}
}

// watch returns a function that reads the next list of a watch, skipping heartbeats.
func watch(t *testing.T, addr, query string) (next func() (listing, bool)) {
	t.Helper()
	tr := &http.Transport{}
	t.Cleanup(tr.CloseIdleConnections)
	resp, err := (&http.Client{Transport: tr}).Get("http://" + addr + "/discovery/hosts" + query)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	lines := bufio.NewScanner(resp.Body)
	return func() (listing, bool) {
		for lines.Scan() {
			if len(lines.Bytes()) == 0 {
				continue // a heartbeat
			}
			var l listing
			if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
				t.Fatal(err)
			}
			return l, true
		}
		return listing{}, false
	}
}

func TestDiscovery(t *testing.T) {
	s, n := open(t, "")
	addr, known := s.known(t, 1)
	next := watch(t, addr, "?follow=1")
	if l, ok := next(); !ok || !l.Whole || l.Seq != known.Seq || len(l.Hosts) != 2 {
		t.Errorf("the first line is %+v", l)
	}
	s.applyFault(&FaultSpec{What: "drain", Nodes: []string{"y"}, ForS: 0.01})
	for _, health := range []string{"draining", "ready"} {
		if l, ok := next(); !ok || l.Whole || len(l.Hosts) != 1 || l.Hosts[0].Health != health {
			t.Errorf("got %+v, want %s", l, health)
		}
	}
	since := watch(t, addr, fmt.Sprintf("?follow=1&since=%d", known.Seq))
	if l, ok := since(); !ok || l.Whole || l.Seq != known.Seq+1 {
		t.Errorf("a watch from the known version got %+v", l)
	}
	s.applyFault(&FaultSpec{What: "discovery_down", ForS: 0.05})
	if l, ok := next(); ok {
		t.Errorf("while discovery is down the watch got %+v", l)
	}
	s.applyFault(&FaultSpec{What: "discovery_moves"})
	if name := <-s.DiscoveryMoved(); name != "n0" && name != "n1" {
		t.Errorf("moved: %q", name)
	}
	if moved, _ := s.known(t, 1); moved == addr {
		t.Error("discovery has not moved")
	}
	if nc, err := net.Dial("tcp", addr); err == nil {
		nc.Close()
		t.Error("the old address accepts connections")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if told := strings.Join(n.states, "; "); !strings.Contains(told, "n1 y draining; n1 y ready") {
		t.Errorf("the observer recorded %s", told)
	}
}

// The random choices for the nth attempt (faults, work) depend on the scenario's seed only: the same seed gives the same ones,
// another seed others.
func TestSeed(t *testing.T) {
	draw := func(seed uint64) (out []float64) {
		m := &machine{site: &Site{scenario: &Scenario{Seed: seed}}, index: 2}
		for n := range uint64(1000) {
			out = append(out, m.draw(n, 4), m.drawWork(&ClassSpec{WorkMs: 10, CV: 1}, n))
		}
		return out
	}
	a, b, c := draw(1), draw(1), draw(2)
	mean := 0.0
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("choice %d differs", i)
		}
		if i%2 == 1 {
			mean += a[i] / 1000
		}
	}
	if a[0] == c[0] || a[2] == c[2] {
		t.Error("different seeds draw the same numbers")
	}
	if mean < 0.0085 || mean > 0.0115 { // 10 ms, with a standard error of 3 %
		t.Errorf("the mean work is %v s", mean)
	}
}

func TestInvalidScenarios(t *testing.T) {
	for more, want := range map[string]string{
		"[[fault]]\nwhat='fire'\n":                 "fault 1 (fire): what",
		"[[fault]]\nwhat='drain'\nnodes=['z']\n":   "fault 1 (drain): nodes",
		"[[fault]]\nwhat='slow'\nsize=0.5\n":       "fault 1 (slow): size",
		"[[fault]]\nwhat='fail_fast'\nsize=2\n":    "fault 1 (fail_fast): size",
		"[[fault]]\nwhat='gone'\nat=1\n":           "unknown key fault.at",
		"[[node]]\nname='x'\nkind='k'\n":           "node 3 (x): name",
		"[[node]]\nname='z'\nkind='q'\n":           "node 3 (z): kind",
		"[[node]]\nname='z'\nkind='k'\nsite='c'\n": "node 3 (z): site",
		"[[class]]\nname='z'\neffect='maybe'\n":    "class 3 (z): effect",
		"[[class]]\nname='z'\nwork_ms=-1\n":        "class 3 (z): work_ms",
		"[[kind]]\nname='z'\ncores=-1\n":           "kind 2 (z): cores",
	} {
		if _, err := ParseScenario("s.toml", []byte(small+more)); err == nil || !strings.HasPrefix(err.Error(), "s.toml: ") || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", more, err, want)
		}
	}
}
