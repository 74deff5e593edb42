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

// bulletin is a discovery that says of every backend what a test says.
type bulletin struct {
	addr string

	mu      sync.Mutex
	seq     int
	hosts   []string // as JSON
	changed chan struct{}
}

func newBulletin(t *testing.T, backends ...string) *bulletin {
	b := &bulletin{seq: 10, changed: make(chan struct{})}
	for i, addr := range backends {
		b.hosts = append(b.hosts, listed(i, addr, "ready"))
	}
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	b.addr = scripted.Backend(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := scripted.Receive(r); err != nil {
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
			case <-over:
				return
			}
		}
	})
	return b
}

func listed(i int, addr, health string) string {
	return fmt.Sprintf(`{"host":"h%d","dial":%q,"site":"a","class":"m","health":%q,"share":1}`, i, addr, health)
}

// say tells all who watch.
func (b *bulletin) say(i int, addr, health string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	b.hosts[i] = listed(i, addr, health)
	close(b.changed)
	b.changed = make(chan struct{})
}

// rewritten is the platform's configuration with one part replaced by another, in a file of its own.
func (p *platform) rewritten(part, by string) string {
	p.t.Helper()
	raw, err := os.ReadFile(p.config)
	if err != nil {
		p.t.Fatal(err)
	}
	if !strings.Contains(string(raw), part) {
		p.t.Fatalf("no %s in the configuration", part)
	}
	path := filepath.Join(p.t.TempDir(), "config.json")
	p.write(path, strings.Replace(string(raw), part, by, 1))
	return path
}

// quietRow is how many requests in a row must miss a backend before it counts as left alone: of two that are
// idle either is picked as often as the other.
const quietRow = 60

// A backend that drains when its agent's process is replaced gets nothing from the new one either, though the list
// that the new one starts with says that it is ready.
func TestUpgradeWhileABackendDrains(t *testing.T) {
	t.Parallel()
	leaving, _, hits, _ := scripted.Counting(t)
	staying := scripted.Backend(t, scripted.Always(scripted.Hello))
	p := newPlatform(t, leaving, staying)
	news := newBulletin(t, leaving, staying)
	p.config = p.rewritten(`"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, news.addr))
	old := p.start(p.config).ready()
	stop := p.load()
	ask := func() {
		t.Helper()
		if err := p.ask(http.DefaultClient); err != nil {
			t.Error(err)
		}
	}
	for hits.Load() == 0 {
		ask()
	}
	news.say(0, leaving, "draining")
	before := hits.Load()
	for row, end := 0, time.Now().Add(scripted.Patience); row < quietRow; row++ {
		ask()
		if now := hits.Load(); now != before {
			before, row = now, 0
		}
		if time.Now().After(end) {
			t.Fatal("the backend that drains is never left alone")
		}
	}
	fresh := p.start(p.config).ready()
	old.cmd.Process.Signal(syscall.SIGTERM)
	old.ended()
	for range quietRow {
		ask()
	}
	if n := stop(); n < quietRow {
		t.Errorf("only %d requests", n)
	}
	if got := hits.Load(); got != before {
		t.Errorf("%d requests at the backend that drains", got-before)
	}
	fresh.cmd.Process.Signal(syscall.SIGTERM)
	fresh.ended()
}

// A new process that hangs before its yes takes no client and holds up no call to the old one; once it is ended
// another may come.
func TestNewProcessThatHangs(t *testing.T) {
	t.Parallel()
	silent := scripted.Backend(t, func(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }) // a discovery without a word
	for name, hang := range map[string]func(*testing.T, *platform) *instance{
		"reading its configuration": func(t *testing.T, p *platform) *instance {
			pipe := filepath.Join(p.dir, "config.pipe")
			if err := syscall.Mkfifo(pipe, 0o600); err != nil {
				t.Fatal(err)
			}
			return p.start(pipe)
		},
		"after taking its place": func(t *testing.T, p *platform) *instance {
			i := p.start(p.rewritten(`"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, silent)))
			place := filepath.Join(p.dir, "lemonrail-n0.2.alive")
			for end := time.Now().Add(scripted.Patience); ; {
				if _, err := os.Stat(place); err == nil {
					break
				}
				if time.Now().After(end) {
					t.Fatal("it never took its place")
				}
			}
			// With the lock in our hands it is surely not in the hands of a process that will not let go.
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
					if _, _, err := scripted.Receive(r); err != nil {
						return
					}
					hits.Add(1)
					io.WriteString(c, scripted.Hello)
				}
			}), scripted.Backend(t, scripted.Always(scripted.Hello)))
			old := p.start(p.config).ready()
			stop := p.load()
			stuck := hang(t, p)
			if status := old.call("PUT", "/api/exclude/h0"); status != http.StatusOK {
				t.Errorf("exclude: %d", status)
			}
			before := hits.Load()
			for range quietRow {
				if err := p.ask(http.DefaultClient); err != nil {
					t.Error(err)
				}
			}
			stuck.cmd.Process.Kill()
			scripted.Await(t, stuck.done)
			fresh := p.start(p.config).ready()
			old.cmd.Process.Signal(syscall.SIGTERM)
			old.ended()
			if n := stop(); n < quietRow {
				t.Errorf("only %d requests", n)
			}
			// One request a client may have been on its way when the call was answered.
			if got := hits.Load() - before; got > 6 {
				t.Errorf("%d requests at the backend that is out", got)
			}
			fresh.cmd.Process.Signal(syscall.SIGTERM)
			fresh.ended()
		})
	}
}

// Without discovery the backends come from a file, which a SIGHUP has read again: one that drains is left alone.
func TestServersFromAFile(t *testing.T) {
	t.Parallel()
	one, _, first, _ := scripted.Counting(t)
	two, _, second, _ := scripted.Counting(t)
	p := newPlatform(t, one)
	p.config = p.rewritten(`"discovery":"127.0.0.1:1",`, "")
	servers := filepath.Join(t.TempDir(), "servers.toml")
	server := func(id, addr, state string) string {
		return fmt.Sprintf("[[server]]\nhost = %q\naddress = %q\nstate = %q\n", id, addr, state)
	}
	p.write(servers, server("h0", one, "ready"))
	bad := p.start(p.config) // neither discovery nor a file
	scripted.Await(t, bad.done)
	if bad.err == nil || !strings.Contains(bad.log.String(), "discovery: missing") {
		t.Errorf("%v: %s", bad.err, bad.log.String())
	}
	i := p.start(p.config, "-servers", servers).ready()
	ask := func() {
		t.Helper()
		if err := p.ask(http.DefaultClient); err != nil {
			t.Error(err)
		}
	}
	for range 20 {
		ask()
	}
	if n := first.Load(); n != 20 {
		t.Errorf("%d requests at the one listed", n)
	}
	p.write(servers, server("h0", one, "draining")+server("h1", two, "ready"))
	i.cmd.Process.Signal(syscall.SIGHUP)
	end := time.Now().Add(scripted.Patience)
	for second.Load() == 0 && time.Now().Before(end) {
		ask()
	}
	before := first.Load()
	for range quietRow {
		ask()
	}
	if got := first.Load(); got != before || second.Load() < quietRow {
		t.Errorf("%d requests at the one that drains, %d at the other", got-before, second.Load())
	}
	i.cmd.Process.Signal(syscall.SIGTERM)
	i.ended()
}
