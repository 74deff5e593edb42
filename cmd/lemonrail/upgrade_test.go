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

// platform holds the clients' listener and starts processes of the built program on it.
type platform struct {
	t      *testing.T
	bin    string
	dir    string // TMPDIR of all
	config string
	held   *os.File
	url    string
}

func newPlatform(t *testing.T, backends ...string) *platform {
	t.Helper()
	ln := scripted.Listen(t)
	held, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { held.Close() })
	p := &platform{t: t, bin: built(t), dir: t.TempDir(), held: held, url: "http://" + ln.Addr().String()}
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
	ln.Close() // held is what listens on
	return p
}

func (p *platform) write(path, text string) {
	p.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// instance is one process.
type instance struct {
	p     *platform
	cmd   *exec.Cmd
	staff string
	done  chan struct{}
	err   error // of its end, once done
	log   bytes.Buffer
}

// start starts a process with a configuration and a control address of its own.
func (p *platform) start(config string, args ...string) *instance {
	p.t.Helper()
	desk := scripted.Listen(p.t)
	i := &instance{p: p, cmd: exec.Command(p.bin, args...), staff: "http://" + desk.Addr().String(), done: make(chan struct{})}
	i.cmd.Env = []string{"LB_CONFIG=" + config, "LB_CONTROL=" + desk.Addr().String(), "LB_FD=3", "TMPDIR=" + p.dir}
	i.cmd.ExtraFiles = []*os.File{p.held}
	i.cmd.Stderr = &i.log
	desk.Close()
	if err := i.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		i.err = i.cmd.Wait()
		close(i.done)
	}()
	p.t.Cleanup(func() { // none is left behind
		i.cmd.Process.Kill()
		<-i.done
		if p.t.Failed() {
			p.t.Logf("a process said\n%s", i.log.String())
		}
	})
	return i
}

func (i *instance) call(method, path string) int {
	req, err := http.NewRequest(method, i.staff+path, nil)
	if err != nil {
		i.p.t.Fatal(err)
	}
	resp, err := (&http.Client{Timeout: scripted.Patience, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (i *instance) ready() *instance {
	i.p.t.Helper()
	for end := time.Now().Add(scripted.Patience); i.call("GET", "/api/ready") != http.StatusOK; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			i.p.t.Fatal("never ready")
		}
	}
	return i
}

// ended waits for a process's end, which has to be without an error.
func (i *instance) ended() {
	i.p.t.Helper()
	scripted.Await(i.p.t, i.done)
	if i.err != nil {
		i.p.t.Errorf("ended with %v", i.err)
	}
}

var requests atomic.Int64

// ask sends one request by a client and reports what went wrong.
func (p *platform) ask(client *http.Client) error {
	req, err := http.NewRequest(http.MethodGet, p.url+"/read", nil)
	if err != nil {
		return err
	}
	req.Header.Set("X-Correlation-Id", fmt.Sprint("r", requests.Add(1)))
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

// load asks from several sides, on kept and on new connections, until the returned function is called, which
// tells how many requests there were.
func (p *platform) load() (stop func() int64) {
	var wg sync.WaitGroup
	var n atomic.Int64
	over := make(chan struct{})
	for c := range 6 {
		client := &http.Client{Timeout: scripted.Patience, Transport: &http.Transport{DisableKeepAlives: c%2 == 0}}
		wg.Go(func() {
			defer client.CloseIdleConnections()
			for {
				select {
				case <-over:
					return
				default:
				}
				if err := p.ask(client); err != nil {
					p.t.Error(err)
				}
				n.Add(1)
			}
		})
	}
	return func() int64 {
		close(over)
		wg.Wait()
		return n.Load()
	}
}

// Under load two upgrades in a row, with a backend taken out by a call to the one that is about to go, lose no
// request, and the backend stays out.
func TestUpgradesUnderLoad(t *testing.T) {
	hits := new(atomic.Int64)
	counted := scripted.Backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := scripted.Receive(r); err != nil {
				return
			}
			hits.Add(1)
			io.WriteString(c, scripted.Hello)
		}
	})
	p := newPlatform(t, counted, scripted.Backend(t, scripted.Always(scripted.Hello)))
	old := p.start(p.config).ready()
	stop := p.load()
	for round := range 2 {
		fresh := p.start(p.config).ready()
		if round == 0 {
			if status := old.call("PUT", "/api/exclude/h0"); status != http.StatusOK {
				t.Errorf("exclude: %d", status)
			}
		}
		old.cmd.Process.Signal(syscall.SIGTERM)
		old.ended()
		if !strings.Contains(old.log.String(), "a successor serves") {
			t.Error("the old process did not see the new one")
		}
		old = fresh
	}
	before := hits.Load()
	for range 50 {
		if err := p.ask(http.DefaultClient); err != nil {
			t.Error(err)
		}
	}
	if n := stop(); n < 50 {
		t.Errorf("only %d requests", n)
	}
	if got := hits.Load(); got != before {
		t.Errorf("%d requests at the backend that is out", got-before)
	}
	if status := old.call("PUT", "/api/include/h0"); status != http.StatusOK {
		t.Errorf("include: %d", status)
	}
}

// A new process that can't start, or dies, leaves the old one as it was; at its own stop there is no successor.
func TestFailedUpgrades(t *testing.T) {
	p := newPlatform(t, scripted.Backend(t, scripted.Always(scripted.Hello)))
	old := p.start(p.config).ready()
	stop := p.load()

	bad := filepath.Join(p.dir, "bad.json")
	p.write(bad, `{"name":`)
	broken := p.start(bad)
	scripted.Await(t, broken.done)
	if broken.err == nil || !strings.Contains(broken.log.String(), "bad.json") {
		t.Errorf("a broken configuration: %v", broken.err)
	}

	early := p.start(p.config) // dies before it says yes: nobody notices
	early.cmd.Process.Kill()
	scripted.Await(t, early.done)
	if n := stop(); n == 0 {
		t.Error("no requests")
	}
	late := p.start(p.config).ready() // and one after its yes: what it had taken is its clients' to repeat
	late.cmd.Process.Kill()
	scripted.Await(t, late.done)
	for range 20 {
		if err := p.ask(http.DefaultClient); err != nil {
			t.Error(err)
		}
	}
	if old.call("GET", "/api/ready") != http.StatusOK {
		t.Error("the old process no longer serves")
	}
	old.cmd.Process.Signal(syscall.SIGTERM)
	old.ended()
	if strings.Contains(old.log.String(), "a successor serves") {
		t.Error("the old process saw a successor that had died")
	}
}

// The old process is told to stop before the new one has said yes, or is killed: the new one goes on, and no request
// that comes behind is refused or reset.
func TestOldProcessGoesFirst(t *testing.T) {
	for _, how := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(how.String(), func(t *testing.T) {
			p := newPlatform(t, scripted.Backend(t, scripted.Always(scripted.Hello)))
			old := p.start(p.config).ready()
			fresh := p.start(p.config)
			old.cmd.Process.Signal(how)
			scripted.Await(t, old.done)
			if how == syscall.SIGTERM && old.err != nil {
				t.Errorf("ended with %v", old.err)
			}
			for range 20 { // the first ones wait in the listener's queue until the new process serves
				if err := p.ask(http.DefaultClient); err != nil {
					t.Error(err)
				}
			}
			fresh.ready()
			fresh.cmd.Process.Signal(syscall.SIGTERM)
			fresh.ended()
		})
	}
}

// descriptors is how many a process holds; 0 where it has ended.
func (i *instance) descriptors() int {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.cmd.Process.Pid))
	return len(open)
}

// An upgrade in a crowd that connects and says nothing, with a backend out by hand meanwhile. Both processes together
// hold no more descriptors than one may.
func TestUpgradeInACrowd(t *testing.T) {
	p := newPlatform(t, scripted.Backend(t, scripted.Always(scripted.Hello)), scripted.Backend(t, scripted.Always(scripted.Hello)))
	old := p.start(p.config).ready()
	for i := range 700 { // more than two processes have places for
		nc, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		if i%2 == 0 {
			io.WriteString(nc, "GET /re")
		}
	}
	fresh := p.start(p.config).ready()
	if status := fresh.call("PUT", "/api/exclude/h1"); status != http.StatusOK {
		t.Errorf("exclude: %d", status)
	}
	old.cmd.Process.Signal(syscall.SIGTERM)
	most := 0
	for range 50 {
		if err := p.ask(&http.Client{Timeout: scripted.Patience, Transport: &http.Transport{DisableKeepAlives: true}}); err != nil {
			t.Error(err)
		}
		most = max(most, old.descriptors()+fresh.descriptors())
	}
	old.ended()
	if most > 384 {
		t.Errorf("%d descriptors at one time", most)
	}
}

// A long answer that is under way when the process is replaced comes whole.
func TestUpgradeDuringLongAnswer(t *testing.T) {
	const size = 8 << 20
	more := make(chan struct{})
	p := newPlatform(t, scripted.Backend(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := scripted.Receive(r); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		io.WriteString(c, strings.Repeat("x", 1<<20))
		<-more
		io.WriteString(c, strings.Repeat("x", size-1<<20))
	}))
	old := p.start(p.config).ready()
	req, _ := http.NewRequest(http.MethodGet, p.url+"/read", nil)
	req.Header.Set("X-Correlation-Id", "long")
	req.Header.Set("X-Time-Left", "3000m")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	p.start(p.config).ready()
	old.cmd.Process.Signal(syscall.SIGTERM)
	for end := time.Now().Add(scripted.Patience); old.call("GET", "/api/ready") == http.StatusOK && time.Now().Before(end); {
	}
	close(more)
	if got, err := io.Copy(io.Discard, resp.Body); err != nil || got != size {
		t.Errorf("%d bytes of %d, %v", got, size, err)
	}
	old.ended()
}

// What is no listener at the told address ends the program, with a word that names it.
func TestInheritedNonsense(t *testing.T) {
	p := newPlatform(t)
	null, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer null.Close()
	p.held = null
	i := p.start(p.config)
	scripted.Await(t, i.done)
	if i.err == nil || !strings.Contains(i.log.String(), "LB_FD") {
		t.Errorf("%v, %s", i.err, i.log.String())
	}
}
