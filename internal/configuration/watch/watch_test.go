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
	here = configuration.Place{Agent: "n0", Region: "a", Zone: "a1", Service: "front"}
	own  = configuration.Scope{Level: configuration.LevelAgent, Region: "a", Name: "n0"}
)

// control is a control machine that says what a test has it say.
type control struct {
	machine configuration.Machine
	server  *httptest.Server
	asked   chan url.Values             // queries of watches
	lines   chan string                 // to be sent on the watch that is open
	reports chan configuration.Report   // as they come
	answer  func(w http.ResponseWriter) // to a report; nil: yes
	refuse  func(w http.ResponseWriter) // in place of a watch; nil: it is opened
}

func newControl(t testing.TB, name, region string) *control {
	c := &control{asked: make(chan url.Values, 100), lines: make(chan string), reports: make(chan configuration.Report, 100)}
	c.server = httptest.NewServer(http.HandlerFunc(c.serve))
	c.machine = configuration.Machine{Name: name, Region: region, Address: strings.TrimPrefix(c.server.URL, "http://")}
	t.Cleanup(func() {
		c.server.CloseClientConnections()
		c.server.Close()
	})
	return c
}

func (c *control) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == configuration.ReportPath {
		var report configuration.Report
		if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.reports <- report
		if c.answer != nil {
			c.answer(w)
			return
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	c.asked <- r.URL.Query()
	if c.refuse != nil {
		c.refuse(w)
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

// say sends a line on the open watch.
func (c *control) say(t testing.TB, line string) {
	t.Helper()
	select {
	case c.lines <- line:
	case <-time.After(scripted.Patience):
		t.Fatal("no watch is open")
	}
}

// reported awaits a report that says what a test looks for.
func (c *control) reported(t testing.TB, fits func(configuration.Report) bool) configuration.Report {
	t.Helper()
	for {
		if r := await(t, c.reports); fits(r) {
			return r
		}
	}
}

func at(scope configuration.Scope, revision uint64) func(configuration.Report) bool {
	return func(r configuration.Report) bool { return r.InForce[scope].Revision == revision }
}

// update is a line that carries a whole document.
func update(t testing.TB, scope configuration.Scope, revision uint64, document string, more bool) string {
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

// logged is a log that a test reads.
type logged struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logged) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logged) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// config is one whose documents are all applied, and sent to the channel.
func config(machines ...configuration.Machine) (Config, chan *configuration.Document) {
	applied := make(chan *configuration.Document, 1000)
	return Config{Place: here, Machines: machines, Rand: func() float64 { return 0 }, Log: slog.New(slog.DiscardHandler),
		Check: func(*configuration.Document) error { return nil },
		Apply: func(_ context.Context, d *configuration.Document) error {
			applied <- d
			return nil
		}}, applied
}

func start(t testing.TB, cfg Config, change func(*times)) *Watcher {
	t.Helper()
	w, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	w.times.reportAgain, w.times.tick = 5*time.Millisecond, 5*time.Millisecond
	if change != nil {
		change(&w.times)
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

// What is reported is in force: the report comes after the agent has applied it, not when it came.
func TestReportFollowsTheApplication(t *testing.T) {
	c := newControl(t, "a1", "a")
	cfg, _ := config(c.machine)
	begun, go1 := make(chan *configuration.Document), make(chan struct{})
	cfg.Apply = func(_ context.Context, d *configuration.Document) error {
		begun <- d
		<-go1
		return nil
	}
	w := start(t, cfg, nil)
	q := await(t, c.asked)
	if q.Get("agent") != "n0" || q.Get("region") != "a" || q.Get("zone") != "a1" || q.Get("service") != "front" || q.Get("format") != "1" || q.Has("have") {
		t.Errorf("asked with %v", q)
	}
	if first := await(t, c.reports); len(first.InForce) != 0 || first.Agent != "n0" {
		t.Errorf("first report %+v", first)
	}
	c.say(t, "")
	c.say(t, update(t, configuration.Fleet, 1, attempts(2), false))
	if d := await(t, begun); *d.Limits.Attempts != 2 {
		t.Errorf("applies %+v", d.Limits)
	}
	if len(c.reports) > 0 || w.Status().Changes != 0 {
		t.Errorf("reported %+v before it was applied, status %+v", <-c.reports, w.Status())
	}
	close(go1)
	r := c.reported(t, at(configuration.Fleet, 1))
	if r.InForce[configuration.Fleet].Epoch != 3 || r.Digest != configuration.Digest([]byte(attempts(2))) || len(r.Refused) > 0 {
		t.Errorf("reported %+v", r)
	}
	if st := w.Status(); st.Changes != 1 || !st.Connected || st.Machine != "a1" || st.LastWord.IsZero() || st.Report.InForce[configuration.Fleet].Revision != 1 {
		t.Errorf("status %+v", st)
	}
}

// Updates that belong together take effect in one step.
func TestUpdatesOfOneSetTakeEffectTogether(t *testing.T) {
	c := newControl(t, "a1", "a")
	cfg, applied := config(c.machine)
	start(t, cfg, nil)
	c.say(t, update(t, configuration.Fleet, 1, attempts(2), true))
	c.say(t, update(t, own, 4, `{"format":1,"limits":{"second_copies":true}}`, false))
	if d := await(t, applied); *d.Limits.Attempts != 2 || d.Limits.SecondCopies == nil || !*d.Limits.SecondCopies {
		t.Errorf("applied %+v", d.Limits)
	}
	c.reported(t, func(r configuration.Report) bool {
		return r.InForce[own].Revision == 4 && r.InForce[configuration.Fleet].Revision == 1
	})
	if len(applied) > 0 {
		t.Errorf("applied again: %+v", <-applied)
	}
}

// An agent that can't apply a revision keeps what it has, says why, and takes the next one.
func TestRefusalIsReported(t *testing.T) {
	for _, by := range []string{"check", "application"} {
		t.Run(by, func(t *testing.T) {
			c := newControl(t, "a1", "a")
			cfg, applied := config(c.machine)
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
			log := &logged{}
			cfg.Log = slog.New(slog.NewTextHandler(log, nil))
			w := start(t, cfg, nil)
			c.say(t, update(t, configuration.Fleet, 1, attempts(2), false))
			c.reported(t, at(configuration.Fleet, 1))
			c.say(t, update(t, configuration.Fleet, 2, attempts(7), false))
			r := c.reported(t, func(r configuration.Report) bool { return len(r.Refused) > 0 })
			if r.InForce[configuration.Fleet].Revision != 1 || r.Refused[0].Revision != 2 || !strings.Contains(r.Refused[0].Why, "seven are too many") {
				t.Errorf("reported %+v", r)
			}
			if st := w.Status(); st.Refusals != 1 {
				t.Errorf("status %+v", st)
			}
			if text := log.String(); strings.Count(text, "refused") != 1 || !strings.Contains(text, "revision=2") {
				t.Errorf("logged %s", text)
			}
			c.say(t, update(t, configuration.Fleet, 3, attempts(3), false))
			if r := c.reported(t, at(configuration.Fleet, 3)); len(r.Refused) != 0 {
				t.Errorf("reported %+v", r)
			}
			if len(applied) != 2 {
				t.Errorf("%d applications", len(applied))
			}
		})
	}
}

// An agent that is too busy to apply a document in time refuses nothing: it is tried again.
func TestBusyAgentIsTriedAgain(t *testing.T) {
	c := newControl(t, "a1", "a")
	cfg, applied := config(c.machine)
	apply, busy := cfg.Apply, 3
	cfg.Apply = func(ctx context.Context, d *configuration.Document) error {
		if busy--; busy >= 0 {
			<-ctx.Done()
			return fmt.Errorf("busy: %w", ctx.Err())
		}
		return apply(ctx, d)
	}
	w := start(t, cfg, func(tm *times) { tm.apply = 5 * time.Millisecond })
	c.say(t, update(t, configuration.Fleet, 1, attempts(2), false))
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

// machines returns two control machines in the agent's order of preference.
func machines(t testing.TB) (first, second *control) {
	t.Helper()
	first, second = newControl(t, "a1", "a"), newControl(t, "a2", "a")
	both := []configuration.Machine{first.machine, second.machine}
	if configuration.NewSelector(here, both, func() float64 { return 0 }).Machines()[0].Name != first.machine.Name {
		first, second = second, first
	}
	return first, second
}

// A machine that falls silent, breaks off or says what can't be read is left for another one, which is asked for what
// is missing and told what is in force.
func TestBrokenWatch(t *testing.T) {
	tests := map[string]func(*testing.T, *control){
		"silent":       func(*testing.T, *control) {},
		"ended":        func(_ *testing.T, c *control) { c.server.CloseClientConnections() },
		"not JSON":     func(t *testing.T, c *control) { c.say(t, "{") },
		"endless line": func(t *testing.T, c *control) { c.say(t, strings.Repeat("x", 2*LineMost)) },
		"unknown origin": func(t *testing.T, c *control) {
			c.say(t, `{"scope":"fleet","revision":9,"epoch":3,"from":8,"patch":{},"digest":"x"}`)
		},
	}
	for name, breaks := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := machines(t)
			cfg, _ := config(first.machine, second.machine)
			start(t, cfg, func(tm *times) { tm.silence = 300 * time.Millisecond })
			await(t, first.asked)
			first.say(t, update(t, configuration.Fleet, 1, attempts(2), false))
			first.reported(t, at(configuration.Fleet, 1))
			breaks(t, first)
			q := await(t, second.asked)
			if have := q["have"]; name != "unknown origin" && !slices.Equal(have, []string{"fleet@1.3"}) {
				t.Errorf("asked with %v", q)
			} else if name == "unknown origin" && !slices.Equal(have, []string{"fleet@1.0"}) { // whole
				t.Errorf("asked with %v", q)
			}
			second.reported(t, at(configuration.Fleet, 1))
		})
	}
}

// A machine that can't be reached, or accepts and never answers, is left for another one.
func TestMachineThatDoesNotAnswer(t *testing.T) {
	for name, address := range map[string]func(testing.TB) string{
		"refuses": scripted.DeadAddr,
		"hangs":   func(t testing.TB) string { return scripted.Listen(t).Addr().String() },
		"noise":   noise,
	} {
		t.Run(name, func(t *testing.T) {
			live := newControl(t, "a2", "a")
			dead := configuration.Machine{Name: "a1", Region: "a", Address: address(t)}
			if configuration.NewSelector(here, []configuration.Machine{dead, live.machine}, nil).Machines()[0].Name != dead.Name {
				dead.Name, live.machine.Name = live.machine.Name, dead.Name // the dead one is tried first
			}
			cfg, _ := config(dead, live.machine)
			start(t, cfg, func(tm *times) {
				if tm.open = 100 * time.Millisecond; name == "noise" {
					tm.open = 2 * scripted.Patience // its length is what ends it
				}
			})
			await(t, live.asked)
			live.say(t, update(t, configuration.Fleet, 1, attempts(2), false))
			live.reported(t, at(configuration.Fleet, 1))
		})
	}
}

// noise is an address that answers with an endless head.
func noise(t testing.TB) string {
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

// A machine that doesn't hold the agent's settings names one that does: it is asked next.
func TestNotHereLeadsToTheNamedMachine(t *testing.T) {
	first, second := machines(t)
	third := newControl(t, "b1", "b")
	third.machine.WitnessOf = []string{"a"}
	first.refuse = func(w http.ResponseWriter) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		json.NewEncoder(w).Encode(&configuration.ErrorBody{Kind: configuration.ErrorNotHere, Message: "not here", Machines: []string{"b1"}})
	}
	cfg, _ := config(first.machine, second.machine, third.machine)
	w := start(t, cfg, nil)
	await(t, third.asked)
	if len(second.asked) > 0 {
		t.Error("another machine was asked before")
	}
	third.reported(t, func(configuration.Report) bool { return true })
	if st := w.Status(); st.Machine != "b1" {
		t.Errorf("status %+v", st)
	}
}

// While a report is on its way no other one is; what changes meanwhile is in the next one.
func TestReportsAreCoalesced(t *testing.T) {
	c := newControl(t, "a1", "a")
	free := make(chan struct{})
	c.answer = func(w http.ResponseWriter) {
		<-free
		w.WriteHeader(http.StatusNoContent)
	}
	t.Cleanup(func() {
		select {
		case <-free:
		default:
			close(free)
		}
	})
	cfg, applied := config(c.machine)
	start(t, cfg, func(tm *times) { tm.report = scripted.Patience })
	await(t, c.reports)
	const last = 20
	for n := uint64(1); n <= last; n++ {
		c.say(t, update(t, configuration.Fleet, n, attempts(int(n%4)+1), false))
		await(t, applied)
	}
	if len(c.reports) > 0 {
		t.Errorf("another report while one was on its way: %+v", <-c.reports)
	}
	close(free)
	if r := await(t, c.reports); r.InForce[configuration.Fleet].Revision != last {
		t.Errorf("reported %+v", r.InForce)
	}
}

// A report that wasn't taken is sent again.
func TestReportThatFailsIsSentAgain(t *testing.T) {
	c := newControl(t, "a1", "a")
	left := 3
	c.answer = func(w http.ResponseWriter) {
		if left--; left >= 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
	cfg, _ := config(c.machine)
	start(t, cfg, func(tm *times) { tm.silence = 2 * scripted.Patience }) // no new watch brings one
	for range 4 {
		await(t, c.reports)
	}
}

// An agent that stops as planned says so last, and ends; where control hangs it ends all the same.
func TestGoodbye(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		c := newControl(t, "a1", "a")
		free := make(chan struct{})
		var hang atomic.Bool
		c.answer = func(w http.ResponseWriter) {
			if hang.Load() {
				<-free
			}
			w.WriteHeader(http.StatusNoContent)
		}
		cfg, _ := config(c.machine)
		w, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		w.times.leave = 50 * time.Millisecond
		if !hangs {
			w.times.leave = scripted.Patience
		}
		ended := make(chan error, 1)
		go func() { ended <- w.Run(context.Background()) }()
		c.say(t, update(t, configuration.Fleet, 1, attempts(2), false))
		if r := c.reported(t, at(configuration.Fleet, 1)); r.Leaving {
			t.Errorf("reported %+v", r)
		}
		hang.Store(hangs)
		w.Leave()
		w.Leave() // twice says no more
		c.reported(t, func(r configuration.Report) bool { return r.Leaving })
		if err := await(t, ended); err != nil {
			t.Error(err)
		}
		close(free)
	}
}

// restarted is what a new process with a folder puts in force before any control machine is asked; nil: nothing.
func restarted(t *testing.T, folder string) (*configuration.Document, Status, string) {
	t.Helper()
	cfg, applied := config(configuration.Machine{Name: "a1", Region: "a", Address: scripted.DeadAddr(t)})
	cfg.Folder = folder
	log := &logged{}
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

// What was in force is kept, and taken by the next process before it has reached control. A file that is torn, changed or
// another agent's is refused as a whole.
func TestKeptDocuments(t *testing.T) {
	folder := t.TempDir()
	c := newControl(t, "a1", "a")
	cfg, applied := config(c.machine)
	cfg.Folder = folder
	start(t, cfg, nil)
	path := filepath.Join(folder, "configuration-a-n0.json")
	c.say(t, update(t, configuration.Fleet, 1, attempts(2), false))
	await(t, applied)
	c.say(t, update(t, own, 5, `{"format":1,"classes":{"read":{"aim_ms":80}}}`, false))
	await(t, applied)
	var whole []byte
	for end := time.Now().Add(scripted.Patience); ; time.Sleep(time.Millisecond) {
		d, st, _ := restarted(t, folder)
		if d != nil && d.Limits != nil && *d.Limits.Attempts == 2 && d.Classes["read"].AimMs != nil && *d.Classes["read"].AimMs == 80 &&
			st.Kept && st.Report.InForce[own].Revision == 5 {
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
	if d, st, log := restarted(t, t.TempDir()); d != nil || st.Changes != 0 || log != "" {
		t.Errorf("without a file: %+v, %+v, %s", d, st, log)
	}
	for cut := range whole {
		bad := map[string][]byte{"cut": whole[:cut], "changed": slices.Clone(whole), "tail of noughts": append(slices.Clone(whole[:cut]), make([]byte, len(whole)-cut)...)}
		bad["changed"][cut] ^= 1
		for how, raw := range bad {
			torn := t.TempDir()
			if err := os.WriteFile(filepath.Join(torn, filepath.Base(path)), raw, 0o600); err != nil {
				t.Fatal(err)
			}
			d, st, log := restarted(t, torn)
			if d != nil || st.Changes != 0 || len(st.Report.InForce) > 0 {
				t.Fatalf("%s at byte %d: %+v is in force: %s", how, cut, st.Report.InForce, raw)
			}
			if !strings.Contains(log, "start file holds") {
				t.Fatalf("%s at byte %d: logged %q", how, cut, log)
			}
		}
	}
	other := t.TempDir()
	if err := os.WriteFile(filepath.Join(other, filepath.Base(path)), bytes.Replace(whole, []byte("n0"), []byte("n1"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	if d, _, _ := restarted(t, other); d != nil {
		t.Errorf("another agent's: %+v", d)
	}
}

// A disk that takes nothing changes nothing but the log.
func TestNothingCanBeKept(t *testing.T) {
	c := newControl(t, "a1", "a")
	cfg, _ := config(c.machine)
	cfg.Folder = filepath.Join(t.TempDir(), "missing")
	log := &logged{}
	cfg.Log = slog.New(slog.NewTextHandler(log, nil))
	start(t, cfg, nil)
	for n := uint64(1); n <= 2; n++ {
		c.say(t, update(t, configuration.Fleet, n, attempts(int(n)), false))
		c.reported(t, at(configuration.Fleet, n))
	}
	if !strings.Contains(log.String(), "not kept") {
		t.Errorf("logged %s", log)
	}
}

// With control away the log says for how long, and that it is back.
func TestControlAway(t *testing.T) {
	c := newControl(t, "a1", "a")
	cfg, _ := config(c.machine)
	log := &logged{}
	cfg.Log = slog.New(slog.NewTextHandler(log, nil))
	w, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	clock := func(ago time.Duration) { w.status.LastWord = time.Now().Add(-ago) }
	said := func() (n int) { return strings.Count(log.String(), "control is away") }
	for _, step := range []struct {
		away time.Duration
		said int
	}{{time.Second, 0}, {16 * time.Second, 1}, {20 * time.Second, 1}, {33 * time.Second, 2}, {time.Minute, 2}, {70 * time.Second, 3},
		{10 * time.Hour, 4}, {10*time.Hour + 50*time.Minute, 4}, {11*time.Hour + time.Minute, 5}} {
		clock(step.away)
		w.warnAway(errSilent)
		if said() != step.said {
			t.Errorf("away for %v: said %d times, want %d", step.away, said(), step.said)
		}
	}
	w.spoke()
	if !strings.Contains(log.String(), "control is back") || !strings.Contains(log.String(), "away=11h") {
		t.Errorf("logged %s", log)
	}
}

func TestConfigIsChecked(t *testing.T) {
	cfg, _ := config(configuration.Machine{Name: "b1", Region: "b", Address: "127.0.0.1:1"})
	if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), `region "a"`) {
		t.Errorf("no machine: %v", err)
	}
	cfg.Place.Zone = ""
	if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), "zone") {
		t.Errorf("no zone: %v", err)
	}
}

// Many watchers in one process take few goroutines, and all get what is new.
func TestManyWatchers(t *testing.T) {
	const watchers = 200
	quiet := make(chan struct{}) // closed: the line is out
	c := newControl(t, "a1", "a")
	line := update(t, configuration.Fleet, 1, attempts(2), false)
	all := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == configuration.ReportPath {
			c.serve(w, r)
			return
		}
		out := http.NewResponseController(w)
		out.Flush()
		c.asked <- r.URL.Query()
		<-quiet
		io.WriteString(w, line+"\n")
		out.Flush()
		<-r.Context().Done()
	})
	c.server.Config.Handler = all
	c.reports, c.asked = make(chan configuration.Report, 4*watchers), make(chan url.Values, 2*watchers)
	before := runtime.NumGoroutine()
	for i := range watchers {
		cfg, _ := config(c.machine)
		cfg.Place.Agent = fmt.Sprint("n", i)
		start(t, cfg, func(tm *times) { tm.silence, tm.tick = scripted.Patience, time.Second })
	}
	for range watchers {
		await(t, c.asked)
	}
	for range watchers { // the first report of each
		await(t, c.reports)
	}
	// Of the server one for each connection, of a watcher its own, its reader and what a test keeps beside it.
	if n := runtime.NumGoroutine() - before; n > 6*watchers {
		t.Errorf("%d goroutines for %d watchers", n, watchers)
	}
	close(quiet)
	seen := map[string]bool{}
	for len(seen) < watchers {
		if r := c.reported(t, at(configuration.Fleet, 1)); true {
			seen[r.Agent] = true
		}
	}
}
