package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/core"
	"lemonrail/internal/roster"
	"lemonrail/internal/scripted"
)

// Short names for identifiers that most tests use.
const (
	timeout = scripted.WaitTimeout
	hello   = scripted.HelloResponse
)

var (
	quiet    = slog.New(slog.DiscardHandler)
	deadAddr = scripted.DeadAddr
	listen   = scripted.Listen
	backend  = scripted.Backend
	receive  = scripted.ReadRequest
	always   = scripted.AnswerAlways
)

// await returns the next value from c; if none comes within timeout, the test fails.
func await[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	return scripted.Await(t, c)
}

// settingsJSON holds the platform's settings of the agents under test: a safe class "read" and a class "sub" whose requests
// carry an idempotency key, each with a deadline of 10 s.
const settingsJSON = `{"Balancers":2,"Me":0,"Zone":0,"Dcs":["a","b"],"Kinds":["m1","m2"],"TickMs":5,
 "Profiles":[{"Name":"read","AimMs":5000,"DeadlineMs":10000,"Worth":1,"Semantics":"repeatable"},
  {"Name":"sub","AimMs":5000,"DeadlineMs":10000,"Worth":1,"Semantics":"by_key","Group":"zone","WindowMs":1000}],
 "PolicyLimits":{"TryLimit":5,"ConnectTimeoutMs":2000,"IdleCloseMs":10000,"Peers":true,"MayProbe":true,"Cancel":true},
 "Report":{"Source":"inline","Fields":["backlog"]},
 "Contract":{"ColdFrom":0.3,"GraceToAnswerMs":20,"RampTimeMs":1000,"FallMultiple":3,"FallMs":1500,"DrainGraceMs":500}}`

// configJSON returns a configuration with a free port and with backends h0, h1, ... at the given addresses.
func configJSON(discovery, more string, backends ...string) string {
	hosts := ""
	for i, addr := range backends {
		if i > 0 {
			hosts += ","
		}
		hosts += fmt.Sprintf(`{"host":"h%d","dial":%q,"site":"a","class":"m1","health":"ready","share":1}`, i, addr)
	}
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",%s
	 "known":{"seq":41,"whole":true,"hosts":[%s]},"settings":%s}`, discovery, more, hosts, settingsJSON)
}

func testConfig(t testing.TB, backends ...string) *Config {
	t.Helper()
	cfg, err := parseConfig([]byte(configJSON(deadAddr(t), "", backends...)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.drainDelay, cfg.minListenTime, cfg.reconnectWindow, cfg.answerTimeout = 0, 0, 0, timeout
	return cfg
}

// startAgent starts an agent with the balancer bal; nil: a real one.
func startAgent(t testing.TB, cfg *Config, bal core.Decider) (url string, stop context.CancelFunc, done <-chan error) {
	t.Helper()
	return startAgentOn(t, listen(t), cfg, bal)
}

// startAgentOn is startAgent with clients on ln.
func startAgentOn(t testing.TB, ln net.Listener, cfg *Config, bal core.Decider) (url string, stop context.CancelFunc, done <-chan error) {
	t.Helper()
	if bal == nil {
		var err error
		if bal, err = balance.New(cfg.Settings, cfg.Seed); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	finished := make(chan struct{})
	go func() {
		ended <- serve(ctx, cfg, bal, ln, nil, nil, nil, quiet)
		close(finished)
	}()
	t.Cleanup(func() {
		cancel()
		await(t, finished)
	})
	return "http://" + ln.Addr().String(), cancel, ended
}

// sendRead sends a read with 10 s left.
func sendRead(client *http.Client, url, id string) (*http.Response, string, error) {
	return sendReadWithin(client, url, id, "10000m")
}

// sendReadWithin sends a read; left is the time that its client waits, as in X-Time-Left ("10000m": 10 s).
func sendReadWithin(client *http.Client, url, id, left string) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodGet, url+"/read?key=7f", nil)
	if err != nil {
		return nil, "", err
	}
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Time-Left", left)
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func newClient(t testing.TB) *http.Client {
	tr := &http.Transport{}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: timeout}
}

// decider is a scripted balancer: step decides, and events receives all that the balancer is sent.
type decider struct {
	events chan balance.Event                   // what the balancer has received, in order; must be read by the test
	step   func(balance.Event) []balance.Action // returns the decisions on one event
}

func newDecider(step func(balance.Event) []balance.Action) *decider {
	return &decider{events: make(chan balance.Event, 100), step: step}
}

func (s *decider) Step(_ time.Duration, events []balance.Event) (actions []balance.Action) {
	for _, e := range events {
		actions = append(actions, s.step(e)...)
		s.events <- e
	}
	return actions
}

// nextEvent returns the next event of a type, and drops those before it.
func nextEvent[E balance.Event](t testing.TB, s *decider) E {
	t.Helper()
	for {
		if e, ok := await(t, s.events).(E); ok {
			return e
		}
	}
}

func addrPort(t testing.TB, text string) netip.AddrPort {
	t.Helper()
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// pushingDiscovery is a discovery that keeps its answer open and sends the lists from push in it.
type pushingDiscovery struct {
	addr string
	push chan roster.List
}

func newPushingDiscovery(t testing.TB) *pushingDiscovery {
	l := &pushingDiscovery{push: make(chan roster.List, 10)}
	l.addr = backend(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := receive(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		gone := make(chan struct{})
		go func() {
			r.ReadByte()
			close(gone)
		}()
		for {
			select {
			case list := <-l.push:
				raw, err := json.Marshal(list)
				if err != nil {
					t.Error(err)
				}
				fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(raw)+1, raw)
			case <-gone:
				return
			}
		}
	})
	return l
}

// exchangeText writes a request as it is on a connection of its own, and reads its answer.
func exchangeText(url, request string) (status int, body string, err error) {
	nc, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		return 0, "", err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(nc, request); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	whole, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(whole), err
}
