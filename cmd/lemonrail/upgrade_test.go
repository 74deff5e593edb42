package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/scripted"
)

// platform owns the clients' listener and starts agent processes of the built program, which inherit that
// listener.
type platform struct {
	t            *testing.T
	bin          string   // path of the built program
	dir          string   // TMPDIR of all processes
	config       string   // path of the processes' configuration file
	listenerFile *os.File // the clients' listener, which the processes inherit
	url          string   // URL at which the clients' listener is reached
	env          []string // added to the environment of all processes
}

func newPlatform(t *testing.T, backends ...string) *platform {
	t.Helper()
	ln := scripted.Listen(t)
	listenerFile, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listenerFile.Close() })
	p := &platform{t: t, bin: builtProgram(t), dir: t.TempDir(), listenerFile: listenerFile, url: "http://" + ln.Addr().String()}
	hosts := ""
	for i, addr := range backends {
		hosts += fmt.Sprintf(`,{"host":"h%d","dial":%q,"site":"a","class":"m","health":"ready","share":1}`, i, addr)
	}
	p.config = filepath.Join(t.TempDir(), "config.json")
	p.write(p.config, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1","limits":{"memory_mb":64,"sockets":384},
	 "known":{"seq":1,"whole":true,"hosts":[%s]},
	 "settings":{"Balancers":1,"Dcs":["a"],"Kinds":["m"],"PolicyLimits":{"TryLimit":3,"ConnectTimeoutMs":1000,"IdleCloseMs":10000},
	 "Contract":{"ColdFrom":0.3,"GraceToAnswerMs":20,"RampTimeMs":1000,"FallMultiple":3,"FallMs":1500,"DrainGraceMs":500},
	 "Profiles":[{"Name":"read","AimMs":1000,"DeadlineMs":3000,"Worth":1,"Semantics":"repeatable"},
	  {"Name":"sub","AimMs":1000,"DeadlineMs":3000,"Worth":1,"Semantics":"by_key","Group":"all","WindowMs":1000}]}}`,
		ln.Addr().String(), strings.TrimPrefix(hosts, ",")))
	ln.Close() // listenerFile keeps the socket listening
	return p
}

func (p *platform) write(path, text string) {
	p.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// instance is one process of the built program.
type instance struct {
	p          *platform
	cmd        *exec.Cmd
	controlURL string        // URL of the process's control listener
	done       chan struct{} // closed once the process has ended
	err        error         // the process's exit error, valid once done is closed
	log        bytes.Buffer  // standard error
}

// start starts a process with a configuration file and a control address of its own. It is killed at the test's end.
func (p *platform) start(config string, args ...string) *instance {
	p.t.Helper()
	controlListener := scripted.Listen(p.t)
	i := &instance{p: p, cmd: exec.Command(p.bin, args...), controlURL: "http://" + controlListener.Addr().String(), done: make(chan struct{})}
	i.cmd.Env = append([]string{"LB_CONFIG=" + config, "LB_CONTROL=" + controlListener.Addr().String(), "LB_FD=3", "TMPDIR=" + p.dir}, p.env...)
	i.cmd.ExtraFiles = []*os.File{p.listenerFile}
	i.cmd.Stderr = &i.log
	controlListener.Close()
	if err := i.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		i.err = i.cmd.Wait()
		close(i.done)
	}()
	p.t.Cleanup(func() { // kills a process that the test left running
		i.cmd.Process.Kill()
		<-i.done
		if p.t.Failed() {
			p.t.Logf("log of a process\n%s", i.log.String())
		}
	})
	return i
}

// controlStatus makes a control call to the process and returns the HTTP status of the answer; 0: there was
// no answer.
func (i *instance) controlStatus(method, path string) int {
	req, err := http.NewRequest(method, i.controlURL+path, nil)
	if err != nil {
		i.p.t.Fatal(err)
	}
	resp, err := (&http.Client{Timeout: scripted.WaitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// awaitReady waits until the process reports that it is ready.
func (i *instance) awaitReady() *instance {
	i.p.t.Helper()
	for deadline := time.Now().Add(scripted.WaitTimeout); i.controlStatus("GET", "/api/ready") != http.StatusOK; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			i.p.t.Fatal("never ready")
		}
	}
	return i
}

// awaitCleanExit waits until the process has ended, and fails the test if it ended with an error.
func (i *instance) awaitCleanExit() {
	i.p.t.Helper()
	scripted.Await(i.p.t, i.done)
	if i.err != nil {
		i.p.t.Errorf("ended with %v", i.err)
	}
}

// requestCount makes the ids of requests unique.
var requestCount atomic.Int64

// sendRequest sends one request through client. It returns an error unless the answer is complete and has status 200.
func (p *platform) sendRequest(client *http.Client) error {
	req, err := http.NewRequest(http.MethodGet, p.url+"/read", nil)
	if err != nil {
		return err
	}
	req.Header.Set("X-Correlation-Id", fmt.Sprint("r", requestCount.Add(1)))
	req.Header.Set("X-Time-Left", "3000m")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s, %v", resp.Status, err)
	}
	return nil
}

// startLoad sends requests from six clients, half of them on a new connection for each request. The returned
// function stops them and returns the number of requests that they sent.
func (p *platform) startLoad() (stop func() int64) {
	var wg sync.WaitGroup
	var n atomic.Int64
	stopped := make(chan struct{})
	for c := range 6 {
		client := &http.Client{Timeout: scripted.WaitTimeout, Transport: &http.Transport{DisableKeepAlives: c%2 == 0}}
		wg.Go(func() {
			defer client.CloseIdleConnections()
			for {
				select {
				case <-stopped:
					return
				default:
				}
				if err := p.sendRequest(client); err != nil {
					p.t.Error(err)
				}
				n.Add(1)
			}
		})
	}
	return func() int64 {
		close(stopped)
		wg.Wait()
		return n.Load()
	}
}

// Two upgrades in a row under load lose no request. A backend that is excluded by a call to the process that is about
// to be replaced stays excluded.
func TestUpgradesUnderLoad(t *testing.T) {
	hits := new(atomic.Int64)
	counted := scripted.Backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := scripted.ReadRequest(r); err != nil {
				return
			}
			hits.Add(1)
			io.WriteString(c, scripted.HelloResponse)
		}
	})
	p := newPlatform(t, counted, scripted.Backend(t, scripted.AnswerAlways(scripted.HelloResponse)))
	old := p.start(p.config).awaitReady()
	stop := p.startLoad()
	for round := range 2 {
		successor := p.start(p.config).awaitReady()
		if round == 0 {
			if status := old.controlStatus("PUT", "/api/exclude/h0"); status != http.StatusOK {
				t.Errorf("exclude: %d", status)
			}
		}
		old.cmd.Process.Signal(syscall.SIGTERM)
		old.awaitCleanExit()
		if !strings.Contains(old.log.String(), "a successor serves") {
			t.Error("the old process did not see its successor")
		}
		old = successor
	}
	before := hits.Load()
	for range 50 {
		if err := p.sendRequest(http.DefaultClient); err != nil {
			t.Error(err)
		}
	}
	if n := stop(); n < 50 {
		t.Errorf("only %d requests", n)
	}
	if got := hits.Load(); got != before {
		t.Errorf("%d requests at the excluded backend", got-before)
	}
	if status := old.controlStatus("PUT", "/api/include/h0"); status != http.StatusOK {
		t.Errorf("include: %d", status)
	}
}

// A successor that can't start, or dies, has no effect on the old process, which notices no successor when it
// is stopped.
func TestFailedUpgrades(t *testing.T) {
	p := newPlatform(t, scripted.Backend(t, scripted.AnswerAlways(scripted.HelloResponse)))
	old := p.start(p.config).awaitReady()
	stop := p.startLoad()

	bad := filepath.Join(p.dir, "bad.json")
	p.write(bad, `{"name":`)
	broken := p.start(bad)
	scripted.Await(t, broken.done)
	if broken.err == nil || !strings.Contains(broken.log.String(), "bad.json") {
		t.Errorf("a broken configuration: %v", broken.err)
	}

	diesEarly := p.start(p.config) // dies before it is ready, without any effect
	diesEarly.cmd.Process.Kill()
	scripted.Await(t, diesEarly.done)
	if n := stop(); n == 0 {
		t.Error("no requests")
	}
	diesReady := p.start(p.config).awaitReady() // dies once ready; the load was stopped before, since the requests that this process accepted would be lost
	diesReady.cmd.Process.Kill()
	scripted.Await(t, diesReady.done)
	for range 20 {
		if err := p.sendRequest(http.DefaultClient); err != nil {
			t.Error(err)
		}
	}
	if old.controlStatus("GET", "/api/ready") != http.StatusOK {
		t.Error("the old process no longer serves")
	}
	old.cmd.Process.Signal(syscall.SIGTERM)
	old.awaitCleanExit()
	if strings.Contains(old.log.String(), "a successor serves") {
		t.Error("the old process saw a successor that had died")
	}
}

// The old process is stopped or killed before its successor is ready. The successor starts nevertheless, and
// no request after that is refused or reset.
func TestOldProcessEndsBeforeSuccessorIsReady(t *testing.T) {
	for _, how := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(how.String(), func(t *testing.T) {
			p := newPlatform(t, scripted.Backend(t, scripted.AnswerAlways(scripted.HelloResponse)))
			old := p.start(p.config).awaitReady()
			successor := p.start(p.config)
			old.cmd.Process.Signal(how)
			scripted.Await(t, old.done)
			if how == syscall.SIGTERM && old.err != nil {
				t.Errorf("ended with %v", old.err)
			}
			for range 20 { // the first ones wait in the listener's queue until the new process serves
				if err := p.sendRequest(http.DefaultClient); err != nil {
					t.Error(err)
				}
			}
			successor.awaitReady()
			successor.cmd.Process.Signal(syscall.SIGTERM)
			successor.awaitCleanExit()
		})
	}
}

// descriptors returns the number of descriptors that the process holds; 0 once it has ended.
func (i *instance) descriptors() int {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.cmd.Process.Pid))
	return len(open)
}

// An upgrade happens while many clients hold connections without a complete request, and an operator excludes
// a backend in between. Both processes together hold no more descriptors than one process may.
func TestUpgradeWithManyIdleConnections(t *testing.T) {
	p := newPlatform(t, scripted.Backend(t, scripted.AnswerAlways(scripted.HelloResponse)), scripted.Backend(t, scripted.AnswerAlways(scripted.HelloResponse)))
	old := p.start(p.config).awaitReady()
	for i := range 700 { // more connections than two processes accept
		nc, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		if i%2 == 0 {
			io.WriteString(nc, "GET /re")
		}
	}
	successor := p.start(p.config).awaitReady()
	if status := successor.controlStatus("PUT", "/api/exclude/h1"); status != http.StatusOK {
		t.Errorf("exclude: %d", status)
	}
	old.cmd.Process.Signal(syscall.SIGTERM)
	maxOpen := 0
	for range 50 {
		if err := p.sendRequest(&http.Client{Timeout: scripted.WaitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}); err != nil {
			t.Error(err)
		}
		maxOpen = max(maxOpen, old.descriptors()+successor.descriptors())
	}
	old.awaitCleanExit()
	if maxOpen > 384 {
		t.Errorf("%d descriptors at the same time, want at most 384", maxOpen)
	}
}

// A long answer that is in flight when the process is replaced arrives whole.
func TestUpgradeDuringLongAnswer(t *testing.T) {
	const size = 8 << 20
	sendRest := make(chan struct{})
	p := newPlatform(t, scripted.Backend(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := scripted.ReadRequest(r); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		io.WriteString(c, strings.Repeat("x", 1<<20))
		<-sendRest
		io.WriteString(c, strings.Repeat("x", size-1<<20))
	}))
	old := p.start(p.config).awaitReady()
	req, _ := http.NewRequest(http.MethodGet, p.url+"/read", nil)
	req.Header.Set("X-Correlation-Id", "long")
	req.Header.Set("X-Time-Left", "3000m")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	p.start(p.config).awaitReady()
	old.cmd.Process.Signal(syscall.SIGTERM)
	for deadline := time.Now().Add(scripted.WaitTimeout); old.controlStatus("GET", "/api/ready") == http.StatusOK && time.Now().Before(deadline); {
	}
	close(sendRest)
	if got, err := io.Copy(io.Discard, resp.Body); err != nil || got != size {
		t.Errorf("%d bytes of %d, %v", got, size, err)
	}
	old.awaitCleanExit()
}

// The program ends with an error that names LB_FD where the inherited descriptor isn't a listener on the configured
// address.
func TestInheritedDescriptorIsNoListener(t *testing.T) {
	p := newPlatform(t)
	null, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer null.Close()
	p.listenerFile = null
	i := p.start(p.config)
	scripted.Await(t, i.done)
	if i.err == nil || !strings.Contains(i.log.String(), "LB_FD") {
		t.Errorf("%v, %s", i.err, i.log.String())
	}
}
