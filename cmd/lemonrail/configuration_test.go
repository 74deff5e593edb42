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

// controlMachine is a control machine for tests. It sends the latest document of the fleet's scope to all
// watchers and records the reports that agents' processes send.
type controlMachine struct {
	addr   string
	server *httptest.Server

	mu      sync.Mutex
	latest  configuration.Update   // whole document of the fleet's scope
	changed chan struct{}          // closed and replaced on each change
	reports []configuration.Report // in order of arrival
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
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
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
		case <-heartbeat.C:
			io.WriteString(w, "\n")
			out.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// publish makes a document the latest revision of the fleet's scope and sends it to all watchers.
func (c *controlMachine) publish(t *testing.T, revision uint64, document string) {
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

// receivedLeaving reports whether a process has reported that its agent stops.
func (c *controlMachine) receivedLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.reports, func(r configuration.Report) bool { return r.Leaving })
}

// configState holds the parts of the answer to GET /api/config that the tests check.
type configState struct {
	InForce map[configuration.Scope]configuration.Position `json:"in_force"`
	Kept    bool                                           `json:"kept"` // the documents in force were restored from disk
	Changed []struct {                                     // settings that differ from those of the start file
		Setting string `json:"setting"`
		Now     any    `json:"now"`
	} `json:"changed"`
}

// awaitRevision waits until the process has the revision of the fleet's scope in force, and returns its state
// then.
func (i *instance) awaitRevision(revision uint64) (s configState) {
	i.p.t.Helper()
	client := &http.Client{Timeout: scripted.WaitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(scripted.WaitTimeout); ; time.Sleep(5 * time.Millisecond) {
		s = configState{}
		resp, err := client.Get(i.controlURL + "/api/config")
		if err == nil {
			err = json.NewDecoder(resp.Body).Decode(&s)
			resp.Body.Close()
		}
		if err == nil && s.InForce[configuration.Fleet].Revision == revision {
			return s
		}
		if time.Now().After(deadline) {
			i.p.t.Fatalf("revision %d is not in force: %+v, %v", revision, s, err)
		}
	}
}

// configuration writes a settings file for the flag -configuration, with the control machine at addr and the
// folder for saved documents, and returns its path.
func (p *platform) configuration(addr, folder string) string {
	path := filepath.Join(p.t.TempDir(), "configuration.toml")
	p.write(path, fmt.Sprintf("region = \"x\"\nservice = \"front\"\nfolder = %q\n[[machine]]\nname = \"x1\"\nregion = \"x\"\naddress = %q\n", folder, addr))
	return path
}

// One process replaces another under load while the fleet's document keeps changing: no request is lost, the successor
// ends with the last revision in force, and only the last process to stop reports that the agent leaves.
func TestDocumentChangesDuringUpgrade(t *testing.T) {
	machine := newControlMachine(t)
	p := newPlatform(t, scripted.Backend(t, scripted.AnswerAlways(scripted.HelloResponse)), scripted.Backend(t, scripted.AnswerAlways(scripted.HelloResponse)))
	file := p.configuration(machine.addr, t.TempDir())
	machine.publish(t, 1, `{"format":1,"limits":{"attempts":2}}`)
	old := p.start(p.config, "-configuration", file).awaitReady()
	old.awaitRevision(1)
	stop := p.startLoad()
	stopPublishing, lastRevision := make(chan struct{}), make(chan uint64)
	go func() {
		for n := uint64(2); ; n++ {
			select {
			case <-stopPublishing:
				lastRevision <- n - 1
				return
			case <-time.After(20 * time.Millisecond):
				machine.publish(t, n, fmt.Sprintf(`{"format":1,"limits":{"attempts":%d},"classes":{"read":{"aim_ms":%d}}}`, n%4+1, 500+n))
			}
		}
	}()
	next := p.start(p.config, "-configuration", file).awaitReady()
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	old.awaitCleanExit()
	close(stopPublishing)
	revision := <-lastRevision
	next.awaitRevision(revision)
	defer func() {
		if err := next.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		next.awaitCleanExit()
		if !machine.receivedLeaving() {
			t.Error("the last process didn't report that the agent stops")
		}
	}()
	if machine.receivedLeaving() {
		t.Error("the replaced process reported that the agent stops")
	}
	if n := stop(); n < 20 || revision < 3 {
		t.Errorf("%d requests, %d revisions", n, revision)
	}
}

// A process that is killed and started again while no control machine can be reached restores the settings
// that were in force from the copy on its disk.
func TestKilledProcessKeepsItsSettings(t *testing.T) {
	machine := newControlMachine(t)
	p := newPlatform(t, scripted.Backend(t, scripted.AnswerAlways(scripted.HelloResponse)))
	folder := t.TempDir()
	file := p.configuration(machine.addr, folder)
	machine.publish(t, 9, `{"format":1,"limits":{"attempts":2}}`)
	first := p.start(p.config, "-configuration", file).awaitReady()
	if s := first.awaitRevision(9); s.Kept {
		t.Errorf("first %+v", s)
	}
	for deadline := time.Now().Add(scripted.WaitTimeout); ; time.Sleep(5 * time.Millisecond) {
		if kept, _ := filepath.Glob(filepath.Join(folder, "configuration-*")); len(kept) > 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no local copy was written")
		}
	}
	machine.stop()
	if err := first.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	<-first.done
	second := p.start(p.config, "-configuration", file).awaitReady()
	if s := second.awaitRevision(9); !s.Kept || len(s.Changed) != 1 || s.Changed[0].Setting != "limits.attempts" || s.Changed[0].Now != 2.0 {
		t.Errorf("second %+v", s)
	}
	if err := p.sendRequest(&http.Client{Timeout: scripted.WaitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}); err != nil {
		t.Error(err)
	}
}
