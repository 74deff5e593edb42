package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/standin"
)

// patience bounds every wait of a test; none is expected to last nearly so long.
const patience = 20 * time.Second

var quiet = slog.New(slog.DiscardHandler)

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
	cfg.stay, cfg.linger, cfg.answerBy = 0, 0, patience
	return cfg
}

// deadAddr is an address that refuses connections: bound, so that nobody else gets it, but not
// listened on.
func deadAddr(t testing.TB) string {
	t.Helper()
	fd, addr, err := standin.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	return addr
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// backend is a scripted one. Every connection is handed to handle; it closes when that returns.
func backend(t testing.TB, handle func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln := listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// receive reads one request with its body.
func receive(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

const hello = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// always answers each request on a connection with the same bytes.
func always(answer string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := receive(r); err != nil {
				return
			}
			io.WriteString(c, answer)
		}
	}
}

// running starts an agent round bal, or round a real balancer if that is nil.
func running(t testing.TB, cfg *Config, bal decider) (url string, stop context.CancelFunc, done <-chan error) {
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
		ended <- serve(ctx, cfg, bal, ln, nil, nil, quiet)
		close(finished)
	}()
	t.Cleanup(func() {
		cancel()
		await(t, finished)
	})
	return "http://" + ln.Addr().String(), cancel, ended
}

func await[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	panic("unreachable")
}

// ask sends a read with an id of its own.
func ask(client *http.Client, url, id string) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodGet, url+"/read?key=7f", nil)
	if err != nil {
		return nil, "", err
	}
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Time-Left", "10000m")
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

// scripted is a decider that does what a test says and shows what it was told.
type scripted struct {
	seen chan balance.Event
	step func(balance.Event) []balance.Action
}

func newScripted(step func(balance.Event) []balance.Action) *scripted {
	return &scripted{seen: make(chan balance.Event, 100), step: step}
}

func (s *scripted) Step(_ time.Duration, events []balance.Event) (actions []balance.Action) {
	for _, e := range events {
		actions = append(actions, s.step(e)...)
		s.seen <- e
	}
	return actions
}

// next returns the next event of a type.
func next[E balance.Event](t testing.TB, s *scripted) E {
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
