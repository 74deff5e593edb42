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
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/core"
	"lemonrail/internal/roster"
	"lemonrail/internal/scripted"
)

// Short names for what the tests use on most lines.
const (
	patience = scripted.Patience
	hello    = scripted.Hello
)

var (
	quiet    = slog.New(slog.DiscardHandler)
	deadAddr = scripted.DeadAddr
	listen   = scripted.Listen
	backend  = scripted.Backend
	receive  = scripted.Receive
	always   = scripted.Always
)

func await[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	return scripted.Await(t, c)
}

const settingsJSON = `{"Balancers":2,"Me":0,"Zone":0,"Dcs":["a","b"],"Kinds":["m1","m2"],"TickMs":5,
 "Profiles":[{"Name":"read","AimMs":5000,"DeadlineMs":10000,"Worth":1,"Semantics":"repeatable"},
  {"Name":"sub","AimMs":5000,"DeadlineMs":10000,"Worth":1,"Semantics":"by_key","Group":"zone","WindowMs":1000}],
 "PolicyLimits":{"TryLimit":5,"ConnectTimeoutMs":2000,"IdleCloseMs":10000,"Peers":true,"MayProbe":true,"Cancel":true},
 "Report":{"Source":"inline","Fields":["backlog"]},
 "Contract":{"ColdFrom":0.3,"GraceToAnswerMs":20,"RampTimeMs":1000,"FallMultiple":3,"FallMs":1500,"DrainGraceMs":500}}`

// configJSON is a configuration with free ports and the backends given by their addresses.
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
	cfg.stay, cfg.linger, cfg.crossing, cfg.answerBy = 0, 0, 0, patience
	return cfg
}

// running starts an agent round bal, or round a real balancer if that is nil.
func running(t testing.TB, cfg *Config, bal core.Decider) (url string, stop context.CancelFunc, done <-chan error) {
	t.Helper()
	if bal == nil {
		var err error
		if bal, err = balance.New(cfg.Settings, cfg.Seed); err != nil {
			t.Fatal(err)
		}
	}
	ln := listen(t)
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

// ask sends a read with an id of its own.
func ask(client *http.Client, url, id string) (*http.Response, string, error) {
	return askWithin(client, url, id, "10000m")
}

// askWithin is ask with the time that the client waits.
func askWithin(client *http.Client, url, id, left string) (*http.Response, string, error) {
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
	return &http.Client{Transport: tr, Timeout: patience}
}

// decider is one that does what a test says and shows what it was told.
type decider struct {
	seen chan balance.Event
	step func(balance.Event) []balance.Action
}

func newScripted(step func(balance.Event) []balance.Action) *decider {
	return &decider{seen: make(chan balance.Event, 100), step: step}
}

func (s *decider) Step(_ time.Duration, events []balance.Event) (actions []balance.Action) {
	for _, e := range events {
		actions = append(actions, s.step(e)...)
		s.seen <- e
	}
	return actions
}

// next returns the next event of a type.
func next[E balance.Event](t testing.TB, s *decider) E {
	t.Helper()
	for {
		if e, ok := await(t, s.seen).(E); ok {
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

// lists is a discovery that pushes what a test tells.
type lists struct {
	addr string
	tell chan roster.List
}

func newLists(t testing.TB) *lists {
	l := &lists{tell: make(chan roster.List, 10)}
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
			case list := <-l.tell:
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
