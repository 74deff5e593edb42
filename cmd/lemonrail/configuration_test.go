package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/configuration"
	"lemonrail/internal/scripted"
)

// controlMachine sends the latest document of the fleet to all who watch, and notes what processes report.
type controlMachine struct {
	addr   string
	server *httptest.Server

	mu      sync.Mutex
	latest  configuration.Update
	changed chan struct{} // closed with the next change
	reports []configuration.Report
}

func newControlMachine(t *testing.T) *controlMachine {
	c := &controlMachine{changed: make(chan struct{})}
	c.server = httptest.NewServer(http.HandlerFunc(c.serve))
	c.addr = strings.TrimPrefix(c.server.URL, "http://")
	t.Cleanup(c.stop)
	return c
}

func (c *controlMachine) stop() {
	c.server.CloseClientConnections()
	c.server.Close()
}

func (c *controlMachine) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == configuration.ReportPath {
		var report configuration.Report
		if err := json.NewDecoder(r.Body).Decode(&report); err == nil {
			c.mu.Lock()
			c.reports = append(c.reports, report)
			c.mu.Unlock()
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	out := http.NewResponseController(w)
	out.Flush()
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	var sent uint64
	for {
		c.mu.Lock()
		latest, changed := c.latest, c.changed
		c.mu.Unlock()
		if latest.Revision > sent {
			sent = latest.Revision
			json.NewEncoder(w).Encode(latest)
			out.Flush()
		}
		select {
		case <-changed:
		case <-beat.C:
			io.WriteString(w, "\n")
			out.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// change makes a document the latest one.
func (c *controlMachine) change(t *testing.T, revision uint64, document string) {
	t.Helper()
	d, err := configuration.ParseDocument([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	text := d.Canonical()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest = configuration.Update{Scope: configuration.Fleet, Position: configuration.Position{Revision: revision, Epoch: 1}, Patch: text,
		Digest: configuration.Digest(text)}
	close(c.changed)
	c.changed = make(chan struct{})
}

// left reports whether a process has said that the agent stops.
func (c *controlMachine) left() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.reports, func(r configuration.Report) bool { return r.Leaving })
}

// configState is what the test reads of GET /api/config.
type configState struct {
	InForce map[configuration.Scope]configuration.Position `json:"in_force"`
	Kept    bool                                           `json:"kept"`
	Changed []struct {
		Setting string `json:"setting"`
		Now     any    `json:"now"`
	} `json:"changed"`
}

// hasInForce waits until a process has a revision in force.
func (i *instance) hasInForce(revision uint64) (s configState) {
	i.p.t.Helper()
	client := &http.Client{Timeout: scripted.Patience, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(scripted.Patience); ; time.Sleep(5 * time.Millisecond) {
		s = configState{}
		resp, err := client.Get(i.staff + "/api/config")
		if err == nil {
			err = json.NewDecoder(resp.Body).Decode(&s)
			resp.Body.Close()
		}
		if err == nil && s.InForce[configuration.Fleet].Revision == revision {
			return s
		}
		if time.Now().After(end) {
			i.p.t.Fatalf("revision %d is not in force: %+v, %v", revision, s, err)
		}
	}
}

func (p *platform) configuration(addr, folder string) string {
	path := filepath.Join(p.t.TempDir(), "configuration.toml")
	p.write(path, fmt.Sprintf("region = \"x\"\nservice = \"front\"\nfolder = %q\n[[machine]]\nname = \"x1\"\nregion = \"x\"\naddress = %q\n", folder, addr))
	return path
}

// Under load one process replaces another while the fleet's document changes again and again: no request is lost, and the
// successor has the last revision in force.
func TestChangesDuringAnUpgrade(t *testing.T) {
	machine := newControlMachine(t)
	p := newPlatform(t, scripted.Backend(t, scripted.Always(scripted.Hello)), scripted.Backend(t, scripted.Always(scripted.Hello)))
	file := p.configuration(machine.addr, t.TempDir())
	machine.change(t, 1, `{"format":1,"limits":{"attempts":2}}`)
	old := p.start(p.config, "-configuration", file).ready()
	old.hasInForce(1)
	stop := p.load()
	over, last := make(chan struct{}), make(chan uint64)
	go func() {
		for n := uint64(2); ; n++ {
			select {
			case <-over:
				last <- n - 1
				return
			case <-time.After(20 * time.Millisecond):
				machine.change(t, n, fmt.Sprintf(`{"format":1,"limits":{"attempts":%d},"classes":{"read":{"aim_ms":%d}}}`, n%4+1, 500+n))
			}
		}
	}()
	next := p.start(p.config, "-configuration", file).ready()
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	old.ended()
	close(over)
	revision := <-last
	next.hasInForce(revision)
	defer func() {
		if err := next.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		next.ended()
		if !machine.left() {
			t.Error("the last process hasn't told control that the agent stops")
		}
	}()
	if machine.left() {
		t.Error("the process that was replaced has told control that the agent stops")
	}
	if n := stop(); n < 20 || revision < 3 {
		t.Errorf("%d requests, %d revisions", n, revision)
	}
}

// A process that is killed and started again by its old file, with control away, has what was in force before.
func TestKilledProcessKeepsItsSettings(t *testing.T) {
	machine := newControlMachine(t)
	p := newPlatform(t, scripted.Backend(t, scripted.Always(scripted.Hello)))
	folder := t.TempDir()
	file := p.configuration(machine.addr, folder)
	machine.change(t, 9, `{"format":1,"limits":{"attempts":2}}`)
	first := p.start(p.config, "-configuration", file).ready()
	if s := first.hasInForce(9); s.Kept {
		t.Errorf("first %+v", s)
	}
	for end := time.Now().Add(scripted.Patience); ; time.Sleep(5 * time.Millisecond) {
		if kept, _ := filepath.Glob(filepath.Join(folder, "configuration-*")); len(kept) > 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("nothing is kept")
		}
	}
	machine.stop()
	if err := first.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	<-first.done
	second := p.start(p.config, "-configuration", file).ready()
	if s := second.hasInForce(9); !s.Kept || len(s.Changed) != 1 || s.Changed[0].Setting != "limits.attempts" || s.Changed[0].Now != 2.0 {
		t.Errorf("second %+v", s)
	}
	if err := p.ask(&http.Client{Timeout: scripted.Patience, Transport: &http.Transport{DisableKeepAlives: true}}); err != nil {
		t.Error(err)
	}
}
