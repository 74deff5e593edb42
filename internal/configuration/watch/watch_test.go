package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lemonrail/internal/configuration"
	"lemonrail/internal/scripted"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func await[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	return scripted.Await(t, c)
}

var (
	testPlace  = configuration.Place{Agent: "n0", Region: "a", Zone: "a1", Service: "front"}
	agentScope = configuration.Scope{Level: configuration.LevelAgent, Region: "a", Name: "n0"}
)

// fakeControl is a control machine that a test controls.
type fakeControl struct {
	machine  configuration.Machine
	server   *httptest.Server
	queries  chan url.Values             // the query of each watch request, in order of arrival
	lines    chan string                 // each is sent on the open watch
	reports  chan configuration.Report   // in order of arrival
	onReport func(w http.ResponseWriter) // answers a report; nil: with 204
	onWatch  func(w http.ResponseWriter) // answers in place of a watch; nil: the watch is opened
}

func newFakeControl(t testing.TB, name, region string) *fakeControl {
	c := &fakeControl{queries: make(chan url.Values, 100), lines: make(chan string), reports: make(chan configuration.Report, 100)}
	c.server = httptest.NewServer(http.HandlerFunc(c.serve))
	c.machine = configuration.Machine{Name: name, Region: region, Address: strings.TrimPrefix(c.server.URL, "http://")}
	t.Cleanup(func() {
		c.server.CloseClientConnections()
		c.server.Close()
	})
	return c
}

func (c *fakeControl) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == configuration.ReportPath {
		var report configuration.Report
		if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.reports <- report
		if c.onReport != nil {
			c.onReport(w)
			return
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	c.queries <- r.URL.Query()
	if c.onWatch != nil {
		c.onWatch(w)
		return
	}
	out := http.NewResponseController(w)
	out.Flush()
	for {
		select {
		case line := <-c.lines:
			io.WriteString(w, line+"\n")
			out.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// send sends a line on the open watch.
func (c *fakeControl) send(t testing.TB, line string) {
	t.Helper()
	select {
	case c.lines <- line:
	case <-time.After(scripted.WaitTimeout):
		t.Fatal("no watch is open")
	}
}

// waitReport waits for a report that meets a condition.
func (c *fakeControl) waitReport(t testing.TB, matches func(configuration.Report) bool) configuration.Report {
	t.Helper()
	for {
		if r := await(t, c.reports); matches(r) {
			return r
		}
	}
}

func hasRevision(scope configuration.Scope, revision uint64) func(configuration.Report) bool {
	return func(r configuration.Report) bool { return r.InForce[scope].Revision == revision }
}

// updateLine returns a line that carries a whole document.
func updateLine(t testing.TB, scope configuration.Scope, revision uint64, document string, more bool) string {
	t.Helper()
	parsed, err := configuration.ParseDocument([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	text := parsed.Canonical()
	raw, err := json.Marshal(configuration.Update{Scope: scope, Position: configuration.Position{Revision: revision, Epoch: 3},
		Patch: text, Digest: configuration.Digest(text), More: more})
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func attempts(n int) string { return fmt.Sprintf(`{"format":1,"limits":{"attempts":%d}}`, n) }

// logBuffer collects the log for a test.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// testConfig returns a Config and a channel. Its Check accepts every document, and its Apply succeeds and
// sends the document to the channel.
func testConfig(machines ...configuration.Machine) (Config, chan *configuration.Document) {
	applied := make(chan *configuration.Document, 1000)
	return Config{Place: testPlace, Machines: machines, Rand: func() float64 { return 0 }, Log: slog.New(slog.DiscardHandler),
		Check: func(*configuration.Document) error { return nil },
		Apply: func(_ context.Context, d *configuration.Document) error {
			applied <- d
			return nil
		}}, applied
}

// start runs a Watcher until the test ends, with short intervals that change may adjust.
func start(t testing.TB, cfg Config, change func(*timeouts)) *Watcher {
	t.Helper()
	w, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	w.timeouts.reportRetry, w.timeouts.tick = 5*time.Millisecond, 5*time.Millisecond
	if change != nil {
		change(&w.timeouts)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := await(t, ended); err != nil {
			t.Error(err)
		}
	})
	return w
}

// A report is sent after the agent has applied an update, not when the update arrives.
func TestReportIsSentAfterApply(t *testing.T) {
	c := newFakeControl(t, "a1", "a")
	cfg, _ := testConfig(c.machine)
	begun, release := make(chan *configuration.Document), make(chan struct{})
	cfg.Apply = func(_ context.Context, d *configuration.Document) error {
		begun <- d
		<-release
		return nil
	}
	w := start(t, cfg, nil)
	q := await(t, c.queries)
	if q.Get("agent") != "n0" || q.Get("region") != "a" || q.Get("zone") != "a1" || q.Get("service") != "front" || q.Get("format") != "1" || q.Has("have") {
		t.Errorf("asked with %v", q)
	}
	if first := await(t, c.reports); len(first.InForce) != 0 || first.Agent != "n0" {
		t.Errorf("first report %+v", first)
	}
	c.send(t, "")
	c.send(t, updateLine(t, configuration.Fleet, 1, attempts(2), false))
	if d := await(t, begun); *d.Limits.Attempts != 2 {
		t.Errorf("applies %+v", d.Limits)
	}
	if len(c.reports) > 0 || w.Status().Changes != 0 {
		t.Errorf("reported %+v before it was applied, status %+v", <-c.reports, w.Status())
	}
	close(release)
	r := c.waitReport(t, hasRevision(configuration.Fleet, 1))
	if r.InForce[configuration.Fleet].Epoch != 3 || r.Digest != configuration.Digest([]byte(attempts(2))) || len(r.Refused) > 0 {
		t.Errorf("reported %+v", r)
	}
	if st := w.Status(); st.Changes != 1 || !st.Connected || st.Machine != "a1" || st.LastContact.IsZero() || st.Report.InForce[configuration.Fleet].Revision != 1 {
		t.Errorf("status %+v", st)
	}
}

// The updates of a set take effect in one step.
func TestUpdatesOfOneSetTakeEffectTogether(t *testing.T) {
	c := newFakeControl(t, "a1", "a")
	cfg, applied := testConfig(c.machine)
	start(t, cfg, nil)
	c.send(t, updateLine(t, configuration.Fleet, 1, attempts(2), true))
	c.send(t, updateLine(t, agentScope, 4, `{"format":1,"limits":{"second_copies":true}}`, false))
	if d := await(t, applied); *d.Limits.Attempts != 2 || d.Limits.SecondCopies == nil || !*d.Limits.SecondCopies {
		t.Errorf("applied %+v", d.Limits)
	}
	c.waitReport(t, func(r configuration.Report) bool {
		return r.InForce[agentScope].Revision == 4 && r.InForce[configuration.Fleet].Revision == 1
	})
	if len(applied) > 0 {
		t.Errorf("applied again: %+v", <-applied)
	}
}

// An agent that can't apply a revision keeps the one in force, reports the reason, and applies the next revision.
func TestRefusalIsReported(t *testing.T) {
	for _, by := range []string{"check", "application"} {
		t.Run(by, func(t *testing.T) {
			c := newFakeControl(t, "a1", "a")
			cfg, applied := testConfig(c.machine)
			refuse := func(d *configuration.Document) error {
				if d.Limits != nil && d.Limits.Attempts != nil && *d.Limits.Attempts == 7 {
					return errors.New("seven are too many")
				}
				return nil
			}
			apply := cfg.Apply
			if by == "check" {
				cfg.Check = refuse
			} else {
				cfg.Apply = func(ctx context.Context, d *configuration.Document) error {
					if err := refuse(d); err != nil {
						return err
					}
					return apply(ctx, d)
				}
			}
			log := &logBuffer{}
			cfg.Log = slog.New(slog.NewTextHandler(log, nil))
			w := start(t, cfg, nil)
			c.send(t, updateLine(t, configuration.Fleet, 1, attempts(2), false))
			c.waitReport(t, hasRevision(configuration.Fleet, 1))
			c.send(t, updateLine(t, configuration.Fleet, 2, attempts(7), false))
			r := c.waitReport(t, func(r configuration.Report) bool { return len(r.Refused) > 0 })
			if r.InForce[configuration.Fleet].Revision != 1 || r.Refused[0].Revision != 2 || !strings.Contains(r.Refused[0].Reason, "seven are too many") {
				t.Errorf("reported %+v", r)
			}
			if st := w.Status(); st.Refusals != 1 {
				t.Errorf("status %+v", st)
			}
			if text := log.String(); strings.Count(text, "refused") != 1 || !strings.Contains(text, "revision=2") {
				t.Errorf("logged %s", text)
			}
			c.send(t, updateLine(t, configuration.Fleet, 3, attempts(3), false))
			if r := c.waitReport(t, hasRevision(configuration.Fleet, 3)); len(r.Refused) != 0 {
				t.Errorf("reported %+v", r)
			}
			if len(applied) != 2 {
				t.Errorf("%d applications", len(applied))
			}
		})
	}
}

// An agent that is too busy to apply a document in time doesn't refuse the document, but applies it again
// later.
func TestBusyAgentIsRetried(t *testing.T) {
	c := newFakeControl(t, "a1", "a")
	cfg, applied := testConfig(c.machine)
	apply, busy := cfg.Apply, 3
	cfg.Apply = func(ctx context.Context, d *configuration.Document) error {
		if busy--; busy >= 0 {
			<-ctx.Done()
			return fmt.Errorf("busy: %w", ctx.Err())
		}
		return apply(ctx, d)
	}
	w := start(t, cfg, func(tm *timeouts) { tm.apply = 5 * time.Millisecond })
	c.send(t, updateLine(t, configuration.Fleet, 1, attempts(2), false))
	await(t, applied)
	for r := range c.reports {
		if len(r.Refused) > 0 {
			t.Errorf("reported %+v", r)
		}
		if r.InForce[configuration.Fleet].Revision == 1 {
			break
		}
	}
	if st := w.Status(); st.Refusals != 0 || st.Changes != 1 {
		t.Errorf("status %+v", st)
	}
}

// preferenceOrder starts two control machines and returns them in the agent's order of preference.
func preferenceOrder(t testing.TB) (first, second *fakeControl) {
	t.Helper()
	first, second = newFakeControl(t, "a1", "a"), newFakeControl(t, "a2", "a")
	both := []configuration.Machine{first.machine, second.machine}
	if configuration.NewSelector(testPlace, both, func() float64 { return 0 }).Machines()[0].Name != first.machine.Name {
		first, second = second, first
	}
	return first, second
}

// When a machine sends nothing, ends the watch, sends an invalid line or sends a patch to a revision that the
// agent doesn't have, the agent switches to another machine, asks it for the missing updates and reports what
// is in force.
func TestBrokenWatch(t *testing.T) {
	tests := map[string]func(*testing.T, *fakeControl){
		"silent":       func(*testing.T, *fakeControl) {},
		"ended":        func(_ *testing.T, c *fakeControl) { c.server.CloseClientConnections() },
		"not JSON":     func(t *testing.T, c *fakeControl) { c.send(t, "{") },
		"endless line": func(t *testing.T, c *fakeControl) { c.send(t, strings.Repeat("x", 2*MaxLineBytes)) },
		"unknown origin": func(t *testing.T, c *fakeControl) {
			c.send(t, `{"scope":"fleet","revision":9,"epoch":3,"from":8,"patch":{},"digest":"x"}`)
		},
	}
	for name, breakWatch := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := preferenceOrder(t)
			cfg, _ := testConfig(first.machine, second.machine)
			start(t, cfg, func(tm *timeouts) { tm.silence = 300 * time.Millisecond })
			await(t, first.queries)
			first.send(t, updateLine(t, configuration.Fleet, 1, attempts(2), false))
			first.waitReport(t, hasRevision(configuration.Fleet, 1))
			breakWatch(t, first)
			q := await(t, second.queries)
			if have := q["have"]; name != "unknown origin" && !slices.Equal(have, []string{"fleet@1.3"}) {
				t.Errorf("asked with %v", q)
			} else if name == "unknown origin" && !slices.Equal(have, []string{"fleet@1.0"}) { // epoch 0 asks for the whole document
				t.Errorf("asked with %v", q)
			}
			second.waitReport(t, hasRevision(configuration.Fleet, 1))
		})
	}
}

// The agent tries another machine after one that can't be reached, or that accepts connections and never
// completes the head of a response.
func TestMachineThatDoesNotAnswer(t *testing.T) {
	for name, address := range map[string]func(testing.TB) string{
		"refuses": scripted.DeadAddr,
		"hangs":   func(t testing.TB) string { return scripted.Listen(t).Addr().String() },
		"noise":   endlessHeaderAddress,
	} {
		t.Run(name, func(t *testing.T) {
			live := newFakeControl(t, "a2", "a")
			dead := configuration.Machine{Name: "a1", Region: "a", Address: address(t)}
			if configuration.NewSelector(testPlace, []configuration.Machine{dead, live.machine}, nil).Machines()[0].Name != dead.Name {
				dead.Name, live.machine.Name = live.machine.Name, dead.Name // so that the dead machine is tried first
			}
			cfg, _ := testConfig(dead, live.machine)
			start(t, cfg, func(tm *timeouts) {
				if tm.open = 100 * time.Millisecond; name == "noise" {
					tm.open = 2 * scripted.WaitTimeout // longer than the test waits, so that only the limit on the head's length can end the attempt
				}
			})
			await(t, live.queries)
			live.send(t, updateLine(t, configuration.Fleet, 1, attempts(2), false))
			live.waitReport(t, hasRevision(configuration.Fleet, 1))
		})
	}
}

// endlessHeaderAddress returns the address of a server that sends headers without end.
func endlessHeaderAddress(t testing.TB) string {
	ln := scripted.Listen(t)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func(nc net.Conn) {
				defer nc.Close()
				io.WriteString(nc, "HTTP/1.1 200 OK\r\n")
				for i := 0; ; i++ {
					if _, err := fmt.Fprintf(nc, "X-%d: %s\r\n", i, strings.Repeat("x", 1000)); err != nil {
						return
					}
				}
			}(nc)
		}
	}()
	return ln.Addr().String()
}

// A machine that doesn't hold the agent's settings names one that does, and the agent tries that one next.
func TestNotHereRedirectsToTheNamedMachine(t *testing.T) {
	first, second := preferenceOrder(t)
	third := newFakeControl(t, "b1", "b")
	third.machine.WitnessOf = []string{"a"}
	first.onWatch = func(w http.ResponseWriter) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		json.NewEncoder(w).Encode(&configuration.ErrorBody{Kind: configuration.ErrorNotHere, Message: "not here", Machines: []string{"b1"}})
	}
	cfg, _ := testConfig(first.machine, second.machine, third.machine)
	w := start(t, cfg, nil)
	await(t, third.queries)
	if len(second.queries) > 0 {
		t.Error("another machine was tried before")
	}
	third.waitReport(t, func(configuration.Report) bool { return true })
	if st := w.Status(); st.Machine != "b1" {
		t.Errorf("status %+v", st)
	}
}

// Only one report is sent at a time; changes that take effect meanwhile are in the next report.
func TestReportsAreCoalesced(t *testing.T) {
	c := newFakeControl(t, "a1", "a")
	release := make(chan struct{})
	c.onReport = func(w http.ResponseWriter) {
		<-release
		w.WriteHeader(http.StatusNoContent)
	}
	t.Cleanup(func() {
		select {
		case <-release:
		default:
			close(release)
		}
	})
	cfg, applied := testConfig(c.machine)
	start(t, cfg, func(tm *timeouts) { tm.report = scripted.WaitTimeout })
	await(t, c.reports)
	const last = 20
	for n := uint64(1); n <= last; n++ {
		c.send(t, updateLine(t, configuration.Fleet, n, attempts(int(n%4)+1), false))
		await(t, applied)
	}
	if len(c.reports) > 0 {
		t.Errorf("a second report was sent before the first was answered: %+v", <-c.reports)
	}
	close(release)
	if r := await(t, c.reports); r.InForce[configuration.Fleet].Revision != last {
		t.Errorf("reported %+v", r.InForce)
	}
}

// A report that fails is sent again.
func TestFailedReportIsRetried(t *testing.T) {
	c := newFakeControl(t, "a1", "a")
	left := 3
	c.onReport = func(w http.ResponseWriter) {
		if left--; left >= 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
	cfg, _ := testConfig(c.machine)
	start(t, cfg, func(tm *timeouts) { tm.silence = 2 * scripted.WaitTimeout }) // so that no new watch causes a report
	for range 4 {
		await(t, c.reports)
	}
}

// An agent that stops as planned sends a last report that says so. It stops even if the control machine
// doesn't answer that report.
func TestLeaveSendsALastReport(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		c := newFakeControl(t, "a1", "a")
		release := make(chan struct{})
		var hang atomic.Bool
		c.onReport = func(w http.ResponseWriter) {
			if hang.Load() {
				<-release
			}
			w.WriteHeader(http.StatusNoContent)
		}
		cfg, _ := testConfig(c.machine)
		w, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		w.timeouts.leave = 50 * time.Millisecond
		if !hangs {
			w.timeouts.leave = scripted.WaitTimeout
		}
		ended := make(chan error, 1)
		go func() { ended <- w.Run(context.Background()) }()
		c.send(t, updateLine(t, configuration.Fleet, 1, attempts(2), false))
		if r := c.waitReport(t, hasRevision(configuration.Fleet, 1)); r.Leaving {
			t.Errorf("reported %+v", r)
		}
		hang.Store(hangs)
		w.Leave()
		w.Leave() // a second call has no effect
		c.waitReport(t, func(r configuration.Report) bool { return r.Leaving })
		if err := await(t, ended); err != nil {
			t.Error(err)
		}
		close(release)
	}
}

// restore returns the document that a new process restores from a folder before it contacts a control machine
// (nil: none), with the Watcher's status and log.
func restore(t *testing.T, folder string) (*configuration.Document, Status, string) {
	t.Helper()
	cfg, applied := testConfig(configuration.Machine{Name: "a1", Region: "a", Address: scripted.DeadAddr(t)})
	cfg.Folder = folder
	log := &logBuffer{}
	cfg.Log = slog.New(slog.NewTextHandler(log, nil))
	w, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	w.Restore(context.Background())
	select {
	case d := <-applied:
		return d, w.Status(), log.String()
	default:
		return nil, w.Status(), log.String()
	}
}

// Documents in force are saved, and the next process restores them before it has reached a control machine. A
// file that is truncated, modified or written by another agent is rejected as a whole.
func TestDocumentsSurviveARestart(t *testing.T) {
	folder := t.TempDir()
	c := newFakeControl(t, "a1", "a")
	cfg, applied := testConfig(c.machine)
	cfg.Folder = folder
	start(t, cfg, nil)
	path := filepath.Join(folder, "configuration-a-n0.json")
	c.send(t, updateLine(t, configuration.Fleet, 1, attempts(2), false))
	await(t, applied)
	c.send(t, updateLine(t, agentScope, 5, `{"format":1,"classes":{"read":{"aim_ms":80}}}`, false))
	await(t, applied)
	var whole []byte
	for end := time.Now().Add(scripted.WaitTimeout); ; time.Sleep(time.Millisecond) {
		d, st, _ := restore(t, folder)
		if d != nil && d.Limits != nil && *d.Limits.Attempts == 2 && d.Classes["read"].AimMs != nil && *d.Classes["read"].AimMs == 80 &&
			st.Restored && st.Report.InForce[agentScope].Revision == 5 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("restarted with %+v, %+v", d, st)
		}
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if d, st, log := restore(t, t.TempDir()); d != nil || st.Changes != 0 || log != "" {
		t.Errorf("without a file: %+v, %+v, %s", d, st, log)
	}
	for cut := range whole {
		bad := map[string][]byte{"cut": whole[:cut], "changed": slices.Clone(whole), "zeroed tail": append(slices.Clone(whole[:cut]), make([]byte, len(whole)-cut)...)}
		bad["changed"][cut] ^= 1
		for how, raw := range bad {
			torn := t.TempDir()
			if err := os.WriteFile(filepath.Join(torn, filepath.Base(path)), raw, 0o600); err != nil {
				t.Fatal(err)
			}
			d, st, log := restore(t, torn)
			if d != nil || st.Changes != 0 || len(st.Report.InForce) > 0 {
				t.Fatalf("%s at byte %d: %+v is in force: %s", how, cut, st.Report.InForce, raw)
			}
			if !strings.Contains(log, "start file stays in force") {
				t.Fatalf("%s at byte %d: logged %q", how, cut, log)
			}
		}
	}
	other := t.TempDir()
	if err := os.WriteFile(filepath.Join(other, filepath.Base(path)), bytes.Replace(whole, []byte("n0"), []byte("n1"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	if d, _, _ := restore(t, other); d != nil {
		t.Errorf("another agent's: %+v", d)
	}
}

// If the documents can't be written to the disk, this is logged as a warning and has no other effect.
func TestFailingDiskIsOnlyLogged(t *testing.T) {
	c := newFakeControl(t, "a1", "a")
	cfg, _ := testConfig(c.machine)
	cfg.Folder = filepath.Join(t.TempDir(), "missing")
	log := &logBuffer{}
	cfg.Log = slog.New(slog.NewTextHandler(log, nil))
	start(t, cfg, nil)
	for n := uint64(1); n <= 2; n++ {
		c.send(t, updateLine(t, configuration.Fleet, n, attempts(int(n)), false))
		c.waitReport(t, hasRevision(configuration.Fleet, n))
	}
	if !strings.Contains(log.String(), "not saved") {
		t.Errorf("logged %s", log)
	}
}

// While no control machine can be reached, the log says for how long, and afterwards that contact was made
// again.
func TestDisconnectionWarnings(t *testing.T) {
	c := newFakeControl(t, "a1", "a")
	cfg, _ := testConfig(c.machine)
	log := &logBuffer{}
	cfg.Log = slog.New(slog.NewTextHandler(log, nil))
	w, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	setSilence := func(ago time.Duration) { w.status.LastContact = time.Now().Add(-ago) }
	warnings := func() (n int) { return strings.Count(log.String(), "control unreachable") }
	for _, step := range []struct {
		away     time.Duration
		warnings int
	}{{time.Second, 0}, {16 * time.Second, 1}, {20 * time.Second, 1}, {33 * time.Second, 2}, {time.Minute, 2}, {70 * time.Second, 3},
		{10 * time.Hour, 4}, {10*time.Hour + 50*time.Minute, 4}, {11*time.Hour + time.Minute, 5}} {
		setSilence(step.away)
		w.warnDisconnected(errSilence)
		if warnings() != step.warnings {
			t.Errorf("unreachable for %v: %d warnings, want %d", step.away, warnings(), step.warnings)
		}
	}
	w.lineReceived()
	if !strings.Contains(log.String(), "control reachable again") || !strings.Contains(log.String(), "away=11h") {
		t.Errorf("logged %s", log)
	}
}

func TestConfigIsChecked(t *testing.T) {
	cfg, _ := testConfig(configuration.Machine{Name: "b1", Region: "b", Address: "127.0.0.1:1"})
	if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), `region "a"`) {
		t.Errorf("no machine: %v", err)
	}
	cfg.Place.Zone = ""
	if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), "zone") {
		t.Errorf("no zone: %v", err)
	}
}

// Many watchers in one process need few goroutines each, and all of them receive an update.
func TestManyWatchers(t *testing.T) {
	const watchers = 200
	release := make(chan struct{}) // closed to make the server send the line on all watches
	c := newFakeControl(t, "a1", "a")
	line := updateLine(t, configuration.Fleet, 1, attempts(2), false)
	all := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == configuration.ReportPath {
			c.serve(w, r)
			return
		}
		out := http.NewResponseController(w)
		out.Flush()
		c.queries <- r.URL.Query()
		<-release
		io.WriteString(w, line+"\n")
		out.Flush()
		<-r.Context().Done()
	})
	c.server.Config.Handler = all
	c.reports, c.queries = make(chan configuration.Report, 4*watchers), make(chan url.Values, 2*watchers)
	before := runtime.NumGoroutine()
	for i := range watchers {
		cfg, _ := testConfig(c.machine)
		cfg.Place.Agent = fmt.Sprint("n", i)
		start(t, cfg, func(tm *timeouts) { tm.silence, tm.tick = scripted.WaitTimeout, time.Second })
	}
	for range watchers {
		await(t, c.queries)
	}
	for range watchers { // the first report of each
		await(t, c.reports)
	}
	// Goroutines per watcher: Run, the stream's reader, the one that the test's start makes to call Run, and
	// those of the HTTP server and the client for its connections.
	if n := runtime.NumGoroutine() - before; n > 6*watchers {
		t.Errorf("%d goroutines for %d watchers", n, watchers)
	}
	close(release)
	seen := map[string]bool{}
	for len(seen) < watchers {
		if r := c.waitReport(t, hasRevision(configuration.Fleet, 1)); true {
			seen[r.Agent] = true
		}
	}
}
