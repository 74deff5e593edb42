package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/configuration"
	"lemonrail/internal/core"
	"lemonrail/internal/diameter/relay"
	front "lemonrail/internal/front/http1"
	"lemonrail/internal/http1"
	"lemonrail/internal/ledger"
	"lemonrail/internal/scripted"
)

// controlMachine is a control machine that sends the updates of a test and records the agents' reports.
type controlMachine struct {
	addr    string
	updates chan configuration.Update // to be sent to the agent that watches
	reports chan configuration.Report // reports received from agents
}

func newControlMachine(t testing.TB) *controlMachine {
	c := &controlMachine{updates: make(chan configuration.Update), reports: make(chan configuration.Report, 10000)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == configuration.ReportPath {
			var report configuration.Report
			if err := json.NewDecoder(r.Body).Decode(&report); err == nil {
				c.reports <- report
			}
			w.WriteHeader(http.StatusNoContent)
			return
		}
		out := http.NewResponseController(w)
		out.Flush()
		beat := time.NewTicker(time.Second)
		defer beat.Stop()
		for {
			select {
			case u := <-c.updates:
				json.NewEncoder(w).Encode(u)
			case <-beat.C:
				io.WriteString(w, "\n")
			case <-r.Context().Done():
				return
			}
			out.Flush()
		}
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	c.addr = strings.TrimPrefix(server.URL, "http://")
	return c
}

// send sends a revision of the fleet's document.
func (c *controlMachine) send(t testing.TB, revision uint64, document string) {
	t.Helper()
	d, err := configuration.ParseDocument([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	text := d.Canonical()
	select {
	case c.updates <- configuration.Update{Scope: configuration.Fleet, Position: configuration.Position{Revision: revision, Epoch: 1}, Patch: text,
		Digest: configuration.Digest(text)}:
	case <-time.After(timeout):
		t.Fatal("no watch is open")
	}
}

// awaitReport waits for a report for which fits returns true.
func (c *controlMachine) awaitReport(t testing.TB, fits func(configuration.Report) bool) configuration.Report {
	t.Helper()
	for {
		if r := await(t, c.reports); fits(r) {
			return r
		}
	}
}

func inForce(revision uint64) func(configuration.Report) bool {
	return func(r configuration.Report) bool { return r.InForce[configuration.Fleet].Revision == revision }
}

// configurationText is a file that names one control machine.
func configurationText(addr, folder string) []byte {
	return fmt.Appendf(nil, "region = \"x\"\nservice = \"front\"\nfolder = %q\n[[machine]]\nname = \"x1\"\nregion = \"x\"\naddress = %q\n", folder, addr)
}

// configuredAgent is an agent that follows a control machine.
type configuredAgent struct {
	clients, controlURL string             // URLs for clients and for operators
	stop                context.CancelFunc // begins a planned stop
	done                <-chan error       // receives the agent's result once it has ended
}

// startConfiguredAgent starts an agent with the balancer bal; nil: a real one.
func startConfiguredAgent(t testing.TB, cfg *Config, bal core.Decider, log *slog.Logger) configuredAgent {
	t.Helper()
	if bal == nil {
		var err error
		if bal, err = balance.New(cfg.Settings, cfg.Seed); err != nil {
			t.Fatal(err)
		}
	}
	ln, controlListener := listen(t), listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended, finished := make(chan error, 1), make(chan struct{})
	go func() {
		ended <- serve(ctx, cfg, bal, ln, controlListener, nil, nil, log)
		close(finished)
	}()
	t.Cleanup(func() {
		cancel()
		await(t, finished)
	})
	return configuredAgent{"http://" + ln.Addr().String(), "http://" + controlListener.Addr().String(), cancel, ended}
}

// state returns the agent's answer to GET /api/config.
func (c configuredAgent) state(t *testing.T) configurationState {
	t.Helper()
	status, body := call(t, "GET", c.controlURL+"/api/config")
	var s configurationState
	if err := json.Unmarshal([]byte(body), &s); status != 200 || err != nil {
		t.Fatalf("%d %v %s", status, err, body)
	}
	return s
}

// observedSite records in a ledger the requests between the test's clients and its backends, which fail now and then.
type observedSite struct {
	*ledger.Ledger
	seed  uint64
	calls atomic.Int64 // requests that clients have sent
}

func newObservedSite(seed uint64) *observedSite {
	return &observedSite{seed: seed, Ledger: ledger.New(ledger.Rules{AnswerGrace: 20 * time.Millisecond, DrainGrace: 500 * time.Millisecond,
		ColdShare: 1, Slack: 5 * time.Second, // the result must not depend on the machine's speed
		Classes: map[string]ledger.Class{"read": {Effect: ledger.Safe},
			"sub": {Effect: ledger.Keyed, Group: ledger.Zone, Window: time.Minute}}})}
}

// backend answers with the request's id after up to 2 ms; of reads 1 in 20 gets an error and 1 in 20 a closed connection.
func (s *observedSite) backend(t testing.TB, node string) string {
	rng := rand.New(rand.NewPCG(s.seed, uint64(len(node))+uint64(node[len(node)-1])))
	var mu sync.Mutex
	return backend(t, func(nc net.Conn, r *bufio.Reader) {
		for {
			req, _, err := receive(r)
			if err != nil {
				return
			}
			now := time.Now()
			id := req.Header.Get(http1.HeaderCorrelationID)
			ended := s.AttemptStarted(ledger.Attempt{Request: id, Agent: "n0", Node: node, Zone: "a", FirstByte: now, LastByte: now})
			mu.Lock()
			chance, wait := rng.IntN(20), time.Duration(rng.IntN(2000))*time.Microsecond
			mu.Unlock()
			time.Sleep(wait)
			switch {
			case chance == 0 && req.Method == http.MethodGet:
				ended(ledger.Outcome{TookEffect: true})
				io.WriteString(nc, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
			case chance == 1 && req.Method == http.MethodGet:
				ended(ledger.Outcome{TookEffect: true})
				return
			default:
				ended(ledger.Outcome{TookEffect: true, AnswerBody: []byte(id)})
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			}
		}
	})
}

// client sends requests until stop is closed.
func (s *observedSite) client(t testing.TB, url string, name string, stop <-chan struct{}) {
	client := newClient(t)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id, class := fmt.Sprintf("%s-%d", name, n), "read"
		method := http.MethodGet
		if n%3 == 0 {
			class, method = "sub", http.MethodPost
		}
		req, err := http.NewRequest(method, url+"/"+class+"?key=7f", nil)
		if err != nil {
			t.Error(err)
			return
		}
		req.Header.Set(http1.HeaderCorrelationID, id)
		req.Header.Set(http1.HeaderTimeLeft, "10000m")
		req.Header.Set(http1.HeaderIdempotencyKey, "k"+id)
		s.calls.Add(1)
		s.RequestSent(id, class, "n0", time.Now(), 10*time.Second)
		answer := ledger.Answer{}
		if resp, err := client.Do(req); err == nil {
			answer.Status = resp.StatusCode
			answer.Body, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil {
				answer = ledger.Answer{Partial: true}
			}
		} else if errors.Is(err, net.ErrClosed) {
			answer.FirstOnConnection = true
		}
		s.AnswerReceived(id, time.Now(), answer)
	}
}

// anyDocument returns a valid document that changes every setting that may change.
func anyDocument(rng *rand.Rand) string {
	class := func() string {
		return fmt.Sprintf(`{"aim_ms":%d,"deadline_ms":%d,"worth":%d,"late_worth":0.%d}`, 200+rng.IntN(5000), 6000+rng.IntN(4000), 1+rng.IntN(5), rng.IntN(10))
	}
	return fmt.Sprintf(`{"format":1,"classes":{"read":%s,"sub":%s},"limits":{"attempts":%d,"second_copies":%v,"max_retry_after_ms":%d,"over_share_worth":0.5},
		"cold":{"from":0.%d,"ramp_ms":%d,"fall_multiple":%d,"fall_ms":%d}}`, class(), class(), 1+rng.IntN(5), rng.IntN(2) == 0, rng.IntN(500),
		1+rng.IntN(9), 1+rng.IntN(9000), 1+rng.IntN(4), 100+rng.IntN(3000))
}

// 100 changes under load with real clients and backends: each takes effect, no request is lost, each gets one answer, and
// none is sent twice that may not be.
func TestHundredChangesUnderLoad(t *testing.T) {
	const changes, clients, seed = 100, 8, 43
	s := newObservedSite(seed)
	machine := newControlMachine(t)
	cfg := testConfig(t, s.backend(t, "h0"), s.backend(t, "h1"), s.backend(t, "h2"))
	if err := cfg.WithConfiguration("configuration.toml", configurationText(machine.addr, "")); err != nil {
		t.Fatal(err)
	}
	a := startConfiguredAgent(t, cfg, nil, quiet)
	waitUntilReady(t, a.controlURL)
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() { s.client(t, a.clients, fmt.Sprint("c", i), stop) })
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	for n := uint64(1); n <= changes; n++ {
		before := s.calls.Load()
		machine.send(t, n, anyDocument(rng))
		if r := machine.awaitReport(t, inForce(n)); len(r.Refused) > 0 {
			t.Fatalf("refused: %+v", r.Refused)
		}
		for s.calls.Load() < before+4 { // some requests under each
			time.Sleep(100 * time.Microsecond)
		}
	}
	close(stop)
	all.Wait()
	v := s.Verdict()
	if !v.Held() || v.Requests < changes*4 || v.Served < v.Requests/2 {
		t.Errorf("seed %d: %s", seed, v.String())
	}
	if st := a.state(t); st.InForce[configuration.Fleet].Revision != changes || len(st.Changed) < 5 {
		t.Errorf("state %+v", st)
	}
}

// A change that comes during a planned stop is applied or ignored; requests in hand are answered, and the agent ends.
func TestChangeDuringStop(t *testing.T) {
	s := newObservedSite(1)
	machine := newControlMachine(t)
	cfg := testConfig(t, s.backend(t, "h0"), s.backend(t, "h1"))
	cfg.drainDelay = 300 * time.Millisecond
	if err := cfg.WithConfiguration("configuration.toml", configurationText(machine.addr, "")); err != nil {
		t.Fatal(err)
	}
	h := stopLog{quiet.Handler(), make(chan struct{})}
	a := startConfiguredAgent(t, cfg, nil, slog.New(h))
	waitUntilReady(t, a.controlURL)
	machine.send(t, 1, `{"format":1,"limits":{"attempts":2}}`)
	machine.awaitReport(t, inForce(1))
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i := range 4 {
		all.Go(func() { s.client(t, a.clients, fmt.Sprint("c", i), stop) })
	}
	for s.calls.Load() < 20 {
		time.Sleep(time.Millisecond)
	}
	a.stop()
	await(t, h.stopping)
	machine.send(t, 2, `{"format":1,"limits":{"attempts":3}}`)
	machine.awaitReport(t, inForce(2))
	close(stop) // clients end before the listener closes
	all.Wait()
	if err := await(t, a.done); err != nil {
		t.Errorf("ended with %v", err)
	}
	if v := s.Verdict(); !v.Held() || v.Requests < 20 {
		t.Error(v.String())
	}
	machine.awaitReport(t, func(r configuration.Report) bool { return r.Leaving })
}

// An agent refuses a change that it can't apply, reports why to control and to operators, and keeps the old settings.
func TestRefusedChange(t *testing.T) {
	machine := newControlMachine(t)
	cfg := testConfig(t, backend(t, always(hello)))
	if err := cfg.WithConfiguration("configuration.toml", configurationText(machine.addr, "")); err != nil {
		t.Fatal(err)
	}
	a := startConfiguredAgent(t, cfg, nil, quiet)
	machine.send(t, 1, `{"format":1,"limits":{"attempts":2},"classes":{"read":{"aim_ms":80.5}}}`)
	machine.awaitReport(t, inForce(1))
	for n, bad := range []struct{ document, why string }{
		{`{"format":1,"classes":{"read":{"deadline_ms":10001}}}`, "deadline"},
		{`{"format":1,"classes":{"unheard-of":{"aim_ms":1}}}`, "unheard-of"},
		{`{"format":1,"tenants":{"nobody":{"per_second":1}}}`, "nobody"},
	} {
		machine.send(t, uint64(2+n), bad.document)
		r := machine.awaitReport(t, func(r configuration.Report) bool { return len(r.Refused) > 0 && r.Refused[0].Revision == uint64(2+n) })
		if !strings.Contains(r.Refused[0].Reason, bad.why) || r.InForce[configuration.Fleet].Revision != 1 {
			t.Errorf("%s: %+v", bad.document, r)
		}
	}
	st := a.state(t)
	want := []settingChange{{"classes.read.aim_ms", 5000.0, 80.5}, {"limits.attempts", 5.0, 2.0}}
	if st.InForce[configuration.Fleet].Revision != 1 || len(st.Refused) != 1 || !reflect.DeepEqual(st.Changed, want) || st.Machine != "x1" || !st.Connected ||
		st.ControlAge < 0 || st.Agent != "n0" || st.Zone != "a" || st.Digest == "" {
		t.Errorf("state %+v", st)
	}
	_, figures := call(t, "GET", a.controlURL+"/api/telemetry")
	for _, line := range []string{"svc_configuration_changes 1\n", "svc_configuration_refusals 3\n", "svc_configuration_refused 1\n", "svc_configuration_revision_age_ms "} {
		if !strings.Contains(figures, line) {
			t.Errorf("no %q in\n%s", line, figures)
		}
	}
	if resp, body, err := sendRead(newClient(t), a.clients, "after"); err != nil || resp.StatusCode != 200 || body != "hello" {
		t.Errorf("%v %q %v", resp, body, err)
	}
}

// An agent restarts with an old start file and a folder of stored settings: the stored settings apply to the first
// request, before control is reached. If the stored file is truncated, the start file applies.
func TestRestartWithStoredSettings(t *testing.T) {
	folder := t.TempDir()
	machine := newControlMachine(t)
	config := func(addr string) *Config {
		cfg := testConfig(t, backend(t, always(hello)))
		if err := cfg.WithConfiguration("configuration.toml", configurationText(addr, folder)); err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	first := startConfiguredAgent(t, config(machine.addr), nil, quiet)
	machine.send(t, 7, `{"format":1,"limits":{"attempts":2}}`)
	machine.awaitReport(t, inForce(7))
	path := filepath.Join(folder, "configuration-x-n0.json")
	for end := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) { // the file is written after the report
		if _, err := os.Stat(path); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal("nothing is stored")
		}
	}
	first.stop()
	await(t, first.done)

	// order starts a new process, sends it a request, and lists what its balancer receives: changes of settings, then the request.
	order := func() (kinds []string) {
		bal := newDecider(sendAll)
		a := startConfiguredAgent(t, config(deadAddr(t)), bal, quiet)
		if resp, _, err := sendRead(newClient(t), a.clients, "first"); err != nil || resp.StatusCode != 200 {
			t.Fatal(resp, err)
		}
		for {
			switch e := await(t, bal.events).(type) {
			case balance.Reconfigure:
				kinds = append(kinds, fmt.Sprint("attempts ", e.Settings.MaxAttempts))
			case balance.Request:
				return append(kinds, "request")
			}
		}
	}
	if got := order(); !reflect.DeepEqual(got, []string{"attempts 2", "request"}) {
		t.Errorf("the balancer received %v", got)
	}
	if !storedSettingsApplyFirst(t, config(deadAddr(t))) {
		t.Error("the next part, which accepts clients, would start before the stored settings apply")
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, whole[:len(whole)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	if got := order(); !reflect.DeepEqual(got, []string{"request"}) {
		t.Errorf("with a truncated file the balancer received %v", got)
	}
}

// storedSettingsApplyFirst reports whether the balancer has received the stored settings by the time that the part which
// follows control has been started.
func storedSettingsApplyFirst(t *testing.T, cfg *Config) bool {
	t.Helper()
	bal := newDecider(func(balance.Event) []balance.Action { return nil })
	l := core.New(bal, &cfg.Settings, quiet)
	p, err := configurationPart(cfg, l, &front.Server{Settings: &cfg.Settings}, nil, quiet)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	running := newTasks(ctx)
	defer running.wg.Wait()
	defer stop()
	running.Go(l.Run)
	p.start(running)
	return len(bal.events) == 1
}

// If control refuses connections, hangs, drops packets or answers and then stays silent, the agent serves by its start
// file, and reports that no update has come.
func TestControlMachineUnavailable(t *testing.T) {
	for name, addr := range map[string]string{
		"refuses": deadAddr(t), "hangs": listen(t).Addr().String(), "vanished": scripted.UnresponsiveAddr(t),
		"silent": backend(t, func(nc net.Conn, r *bufio.Reader) {
			if _, _, err := receive(r); err == nil {
				io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				r.ReadByte()
			}
		}),
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig(t, backend(t, always(hello)))
			if err := cfg.WithConfiguration("configuration.toml", configurationText(addr, t.TempDir())); err != nil {
				t.Fatal(err)
			}
			a := startConfiguredAgent(t, cfg, nil, quiet)
			for n := range 20 {
				if resp, body, err := sendRead(newClient(t), a.clients, fmt.Sprint(n)); err != nil || resp.StatusCode != 200 || body != "hello" {
					t.Fatal(resp, body, err)
				}
			}
			if st := a.state(t); len(st.InForce) != 0 || len(st.Changed) != 0 || st.Revision != -1 {
				t.Errorf("state %+v", st)
			}
		})
	}
}

// Without the file nothing changes: no event, no route, no metric.
func TestConfigurationOffByDefault(t *testing.T) {
	bal := newDecider(sendAll)
	a := startConfiguredAgent(t, testConfig(t, backend(t, always(hello))), bal, quiet)
	if resp, _, err := sendRead(newClient(t), a.clients, "first"); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	for {
		e := await(t, bal.events)
		if _, ok := e.(balance.Reconfigure); ok {
			t.Error("reconfigured")
		}
		if _, ok := e.(balance.Outcome); ok {
			break
		}
	}
	if status, _ := call(t, "GET", a.controlURL+"/api/config"); status != 404 {
		t.Errorf("answers %d", status)
	}
	if _, figures := call(t, "GET", a.controlURL+"/api/telemetry"); strings.Contains(figures, "configuration") {
		t.Error(figures)
	}
	raw, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil || !bytes.Contains(raw, []byte("run = \"exec bin/lemonrail\"\n")) {
		t.Errorf("run has arguments: %v", err)
	}
}

// The classes of Diameter come after the platform's; a change leaves them as they are.
func TestChangeKeepsDiameterClasses(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/diameter.toml")
	if err != nil {
		t.Fatal(err)
	}
	rules, err := relay.ParseRules("diameter.toml", raw)
	if err != nil {
		t.Fatal(err)
	}
	rules.Classes[0].Deadline = time.Minute
	cfg := testConfig(t, deadAddr(t))
	own := len(cfg.Settings.Classes)
	if err := cfg.WithDiameter(rules); err != nil {
		t.Fatal(err)
	}
	aim := 77.0
	c := &settingsApplier{cfg: cfg, current: cfg.Settings}
	next, err := c.resolve(&configuration.Document{Format: 1, Classes: map[string]configuration.ClassDocument{"sub": {AimMs: &aim}}})
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(next.Classes[own:], rules.Classes) || next.Classes[1].Aim != 77*time.Millisecond || cfg.Settings.Classes[1].Aim == next.Classes[1].Aim {
		t.Errorf("classes %+v", next.Classes)
	}
	deadline := 10001.0 // within Diameter's longest deadline, but over the platform's longest, for which a stop is planned
	if _, err := c.resolve(&configuration.Document{Format: 1, Classes: map[string]configuration.ClassDocument{"sub": {DeadlineMs: &deadline}}}); err == nil {
		t.Error("a deadline over the platform's longest is accepted")
	}
}

// While sites are watched, the settings on which their plan rests may not change.
func TestChangeWhileSitesAreWatched(t *testing.T) {
	cfg := testConfig(t, deadAddr(t))
	cfg.sites = &sitesSettings{}
	c := &settingsApplier{cfg: cfg, current: cfg.Settings}
	for document, why := range map[string]string{
		`{"format":1,"classes":{"sub":{"worth":9}}}`:         "Classes[1].Worth",
		`{"format":1,"cold":{"from":0.9}}`:                   "ColdShare",
		`{"format":1,"cold":{"ramp_ms":9}}`:                  "RampTime",
		`{"format":1,"limits":{"max_retry_after_ms":9}}`:     "MaxRetryAfter",
		`{"format":1,"limits":{"attempts":1}}`:               "",
		`{"format":1,"classes":{"sub":{"late_worth":0.25}}}`: "",
	} {
		d, err := configuration.ParseDocument([]byte(document))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.check(d); (err == nil) != (why == "") || err != nil && !strings.Contains(err.Error(), why) {
			t.Errorf("%s: %v", document, err)
		}
	}
}

// A change that the loop is too busy to make in time is refused, and not made later.
func TestChangeWhileLoopIsBusy(t *testing.T) {
	bal := newDecider(func(balance.Event) []balance.Action { return nil })
	cfg := testConfig(t, deadAddr(t))
	cfg.Settings.RetryAfter = true
	l := core.New(bal, &cfg.Settings, quiet)
	c := &settingsApplier{cfg: cfg, loop: l, server: &front.Server{Settings: &cfg.Settings}, current: cfg.Settings}
	attempts, advice := 2, 70.0
	d := &configuration.Document{Format: 1, Limits: &configuration.LimitsDocument{Attempts: &attempts, MaxRetryAfterMs: &advice}}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 50 { // so many that some of these changes are surely queued in the loop before it runs
		if err := c.apply(ctx, d); err == nil || !strings.Contains(err.Error(), "busy") {
			t.Errorf("got %v", err)
		}
	}
	running, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(running) }()
	attempts = 3
	if err := c.apply(context.Background(), d); err != nil {
		t.Fatal(err)
	}
	if e := nextEvent[balance.Reconfigure](t, bal); e.Settings.MaxAttempts != 3 {
		t.Errorf("the balancer received %d attempts", e.Settings.MaxAttempts)
	}
	if got := c.server.RetryAfter(); got != 70*time.Millisecond {
		t.Errorf("the front's retry advice is %v", got)
	}
	stop()
	await(t, ended)
	for len(bal.events) > 0 {
		if e, ok := (<-bal.events).(balance.Reconfigure); ok {
			t.Errorf("the balancer received a refused change: %d attempts", e.Settings.MaxAttempts)
		}
	}
	if err := c.apply(context.Background(), d); !errors.Is(err, core.ErrEnded) {
		t.Errorf("once the loop has ended: %v", err)
	}
}

// The retry advice that the front gives to clients that it turns away follows a change, from any goroutine.
func TestRetryAfterFollowsChange(t *testing.T) {
	s := &front.Server{Settings: &balance.Settings{RetryAfter: true, MaxRetryAfter: time.Second}}
	if got := s.RetryAfter(); got != time.Second {
		t.Errorf("at the start %v", got)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.SetMaxRetryAfter(0)
	}()
	s.RetryAfter()
	await(t, done)
	if got := s.RetryAfter(); got != 0 {
		t.Errorf("after the change %v", got)
	}
	off := &front.Server{Settings: &balance.Settings{}}
	off.SetMaxRetryAfter(time.Second)
	if got := off.RetryAfter(); got != 0 {
		t.Errorf("without advice %v", got)
	}
}

func TestConfigurationFile(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/configuration.toml")
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(t, deadAddr(t))
	if err := cfg.WithConfiguration("configuration.toml", raw); err != nil {
		t.Fatal(err)
	}
	if p := cfg.configuration.place; p != (configuration.Place{Agent: "n0", Region: "a", Zone: "a", Service: "front"}) || len(cfg.configuration.machines) != 4 {
		t.Errorf("%+v", cfg.configuration)
	}
	const machine = "[[machine]]\nname = \"x1\"\nregion = \"x\"\naddress = \"127.0.0.1:9\"\n"
	const top = "region = \"x\"\nservice = \"front\"\n"
	for text, want := range map[string]string{
		top:                                     "machine: none",
		"region = \"x\"\n" + machine:            "service: name",
		"region = \"x/y\"\nservice = \"front\"": "region: name",
		top + "speed = 1\n" + machine:           "line 3: unknown key speed",
		top + machine + machine:                 "line 7: machine \"x1\": name or address",
		top + "[[machine]]\nname = \"x1\"\nregion = \"x\"\naddress = \"127.0.0.1\"\n":   "line 3: machine \"x1\": address",
		top + "[[machine]]\nname = \"x1\"\nregion = \"x\"\naddress = \"127.0.0.1:0\"\n": "address: \"127.0.0.1:0\"",
		top + "[[machine]]\nname = \"x1\"\naddress = \"127.0.0.1:9\"\n":                 "region: missing",
		top + "[[machine]]\nregion = \"x\"\naddress = \"127.0.0.1:9\"\n":                "name: missing",
	} {
		if err := testConfig(t, deadAddr(t)).WithConfiguration("c.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
