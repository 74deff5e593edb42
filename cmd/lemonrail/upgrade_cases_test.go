package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/scripted"
)

// fakeDiscovery is a discovery service that sends watchers the backends with the health that a test sets.
type fakeDiscovery struct {
	addr string

	mu      sync.Mutex
	seq     int           // version of the list, which rises with each change
	hosts   []string      // the list: one JSON object for each backend, by index
	changed chan struct{} // closed and replaced on each change
}

func newFakeDiscovery(t *testing.T, backends ...string) *fakeDiscovery {
	b := &fakeDiscovery{seq: 10, changed: make(chan struct{})}
	for i, addr := range backends {
		b.hosts = append(b.hosts, hostJSON(i, addr, "ready"))
	}
	testOver := make(chan struct{})
	t.Cleanup(func() { close(testOver) })
	b.addr = scripted.Backend(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := scripted.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for {
			b.mu.Lock()
			line := fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`+"\n", b.seq, strings.Join(b.hosts, ","))
			changed := b.changed
			b.mu.Unlock()
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(line), line); err != nil {
				return
			}
			select {
			case <-changed:
			case <-testOver:
				return
			}
		}
	})
	return b
}

// hostJSON returns the entry of backend number i in the list of discovery.
func hostJSON(i int, addr, health string) string {
	return fmt.Sprintf(`{"host":"h%d","dial":%q,"site":"a","class":"m","health":%q,"share":1}`, i, addr, health)
}

// setHealth sets the health of backend number i and sends the list to all watchers.
func (b *fakeDiscovery) setHealth(i int, addr, health string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	b.hosts[i] = hostJSON(i, addr, health)
	close(b.changed)
	b.changed = make(chan struct{})
}

// configWith writes a copy of the platform's configuration with the first occurrence of old replaced, and returns the
// copy's path.
func (p *platform) configWith(old, replacement string) string {
	p.t.Helper()
	raw, err := os.ReadFile(p.config)
	if err != nil {
		p.t.Fatal(err)
	}
	if !strings.Contains(string(raw), old) {
		p.t.Fatalf("no %s in the configuration", old)
	}
	path := filepath.Join(p.t.TempDir(), "config.json")
	p.write(path, strings.Replace(string(raw), old, replacement, 1))
	return path
}

// quietRequests is how many consecutive requests must miss a backend before it counts as avoided. Of two idle
// backends each is picked equally often, so that fewer misses could be chance.
const quietRequests = 60

// A backend that is draining while the agent's process is replaced gets no requests from the successor either, although
// the list in the successor's configuration says that the backend is ready.
func TestUpgradeWhileABackendDrains(t *testing.T) {
	t.Parallel()
	drainingAddr, _, hits, _ := scripted.CountingBackend(t)
	readyAddr := scripted.Backend(t, scripted.AnswerAlways(scripted.HelloResponse))
	p := newPlatform(t, drainingAddr, readyAddr)
	discovery := newFakeDiscovery(t, drainingAddr, readyAddr)
	p.config = p.configWith(`"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, discovery.addr))
	old := p.start(p.config).awaitReady()
	stop := p.startLoad()
	ask := func() {
		t.Helper()
		if err := p.sendRequest(http.DefaultClient); err != nil {
			t.Error(err)
		}
	}
	for hits.Load() == 0 {
		ask()
	}
	discovery.setHealth(0, drainingAddr, "draining")
	before := hits.Load()
	for misses, deadline := 0, time.Now().Add(scripted.WaitTimeout); misses < quietRequests; misses++ {
		ask()
		if now := hits.Load(); now != before {
			before, misses = now, 0
		}
		if time.Now().After(deadline) {
			t.Fatal("the draining backend still gets requests")
		}
	}
	successor := p.start(p.config).awaitReady()
	old.cmd.Process.Signal(syscall.SIGTERM)
	old.awaitCleanExit()
	for range quietRequests {
		ask()
	}
	if n := stop(); n < quietRequests {
		t.Errorf("only %d requests", n)
	}
	if got := hits.Load(); got != before {
		t.Errorf("%d requests at the draining backend", got-before)
	}
	successor.cmd.Process.Signal(syscall.SIGTERM)
	successor.awaitCleanExit()
}

// A successor that hangs before it is ready gets no requests of clients and doesn't delay control calls to
// the old process. Once it is killed another successor can take over.
func TestSuccessorHangsBeforeReady(t *testing.T) {
	t.Parallel()
	silentDiscovery := scripted.Backend(t, func(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }) // a discovery service that never answers
	for name, hang := range map[string]func(*testing.T, *platform) *instance{
		"reading its configuration": func(t *testing.T, p *platform) *instance {
			pipe := filepath.Join(p.dir, "config.pipe")
			if err := syscall.Mkfifo(pipe, 0o600); err != nil {
				t.Fatal(err)
			}
			return p.start(pipe)
		},
		"after taking its place": func(t *testing.T, p *platform) *instance {
			i := p.start(p.configWith(`"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, silentDiscovery)))
			alivePath := filepath.Join(p.dir, "lemonrail-n0.2.alive")
			for deadline := time.Now().Add(scripted.WaitTimeout); ; {
				if _, err := os.Stat(alivePath); err == nil {
					break
				}
				if time.Now().After(deadline) {
					t.Fatal("the process never claimed its generation")
				}
			}
			// The test takes the lock on the shared state first, so that the process isn't stopped while it
			// holds that lock itself, which would block the old process.
			lock, err := os.OpenFile(filepath.Join(p.dir, "lemonrail-n0.lock"), os.O_RDWR, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer lock.Close()
			if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
				t.Fatal(err)
			}
			i.cmd.Process.Signal(syscall.SIGSTOP)
			return i
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hits := new(atomic.Int64)
			p := newPlatform(t, scripted.Backend(t, func(c net.Conn, r *bufio.Reader) {
				for {
					if _, _, err := scripted.ReadRequest(r); err != nil {
						return
					}
					hits.Add(1)
					io.WriteString(c, scripted.HelloResponse)
				}
			}), scripted.Backend(t, scripted.AnswerAlways(scripted.HelloResponse)))
			old := p.start(p.config).awaitReady()
			stop := p.startLoad()
			stuck := hang(t, p)
			if status := old.controlStatus("PUT", "/api/exclude/h0"); status != http.StatusOK {
				t.Errorf("exclude: %d", status)
			}
			before := hits.Load()
			for range quietRequests {
				if err := p.sendRequest(http.DefaultClient); err != nil {
					t.Error(err)
				}
			}
			stuck.cmd.Process.Kill()
			scripted.Await(t, stuck.done)
			successor := p.start(p.config).awaitReady()
			old.cmd.Process.Signal(syscall.SIGTERM)
			old.awaitCleanExit()
			if n := stop(); n < quietRequests {
				t.Errorf("only %d requests", n)
			}
			// Each of the 6 clients of startLoad may have had one request in flight when the exclude call was
			// answered.
			if got := hits.Load() - before; got > 6 {
				t.Errorf("%d requests at the excluded backend", got)
			}
			successor.cmd.Process.Signal(syscall.SIGTERM)
			successor.awaitCleanExit()
		})
	}
}

// Without discovery the backends come from a file. It is read again on SIGHUP, and a backend that is draining in it then
// gets no requests.
func TestServersFromAFile(t *testing.T) {
	t.Parallel()
	firstAddr, _, firstHits, _ := scripted.CountingBackend(t)
	secondAddr, _, secondHits, _ := scripted.CountingBackend(t)
	p := newPlatform(t, firstAddr)
	p.config = p.configWith(`"discovery":"127.0.0.1:1",`, "")
	servers := filepath.Join(t.TempDir(), "servers.toml")
	server := func(id, addr, state string) string {
		return fmt.Sprintf("[[server]]\nhost = %q\naddress = %q\nstate = %q\n", id, addr, state)
	}
	p.write(servers, server("h0", firstAddr, "ready"))
	withoutBackends := p.start(p.config) // neither discovery nor a file
	scripted.Await(t, withoutBackends.done)
	if withoutBackends.err == nil || !strings.Contains(withoutBackends.log.String(), "discovery: missing") {
		t.Errorf("%v: %s", withoutBackends.err, withoutBackends.log.String())
	}
	i := p.start(p.config, "-servers", servers).awaitReady()
	ask := func() {
		t.Helper()
		if err := p.sendRequest(http.DefaultClient); err != nil {
			t.Error(err)
		}
	}
	for range 20 {
		ask()
	}
	if n := firstHits.Load(); n != 20 {
		t.Errorf("%d requests at the only listed backend, want 20", n)
	}
	p.write(servers, server("h0", firstAddr, "draining")+server("h1", secondAddr, "ready"))
	i.cmd.Process.Signal(syscall.SIGHUP)
	deadline := time.Now().Add(scripted.WaitTimeout)
	for secondHits.Load() == 0 && time.Now().Before(deadline) {
		ask()
	}
	before := firstHits.Load()
	for range quietRequests {
		ask()
	}
	if got := firstHits.Load(); got != before || secondHits.Load() < quietRequests {
		t.Errorf("%d requests at the draining backend, %d at the other", got-before, secondHits.Load())
	}
	i.cmd.Process.Signal(syscall.SIGTERM)
	i.awaitCleanExit()
}
