package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"lemonrail/balance"
	"lemonrail/internal/scripted"
)

// process is one of those that are one agent.
type process struct {
	staff string
	stop  context.CancelFunc
	done  chan struct{}
}

// startProcess runs one on a listener that all have inherited.
func startProcess(t *testing.T, dir string, held *os.File, backends ...string) *process {
	t.Helper()
	cfg := testConfig(t, backends...)
	cfg.SharedDir, cfg.Name = dir, "n0"
	ln, err := net.FileListener(held)
	if err != nil {
		t.Fatal(err)
	}
	controlListener := listen(t)
	cfg.Control = netip.MustParseAddrPort(controlListener.Addr().String())
	bal, err := balance.New(cfg.Settings, cfg.Seed)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{staff: "http://" + controlListener.Addr().String(), stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		defer controlListener.Close()
		defer ln.Close()
		if err := serve(ctx, cfg, bal, ln, controlListener, nil, nil, quiet); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		await(t, p.done)
	})
	untilReady(t, p.staff)
	return p
}

// Under load one process after another replaces the one before: no request is refused, reset or lost, and what
// staff took out stays out, also where the call goes to the one that is about to leave.
func TestReplacedUnderLoad(t *testing.T) {
	ln := listen(t)
	held, err := ln.(*net.TCPListener).File() // as the platform holds it
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	url := "http://" + ln.Addr().String()
	ln.Close()
	a, b := backend(t, scripted.Always(scripted.Hello)), backend(t, scripted.Always(scripted.Hello))
	dir := t.TempDir()
	old := startProcess(t, dir, held, a, b)

	var load sync.WaitGroup
	var asked, failed atomic.Int64
	ended := make(chan struct{})
	for c := range 8 {
		load.Go(func() {
			kept, anew := newClient(t), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
			for i := 0; ; i++ {
				select {
				case <-ended:
					return
				default:
				}
				client := kept
				if c%2 == 0 {
					client = anew
				}
				resp, _, err := ask(client, url, fmt.Sprint(c, "-", i))
				if asked.Add(1); err != nil || resp.StatusCode != http.StatusOK {
					failed.Add(1)
					t.Error(resp, err)
				}
			}
		})
	}
	if status, text := call(t, "PUT", old.staff+"/api/exclude/h1"); status != 200 {
		t.Fatal(status, text)
	}
	for i := range 3 {
		before := asked.Load()
		fresh := startProcess(t, dir, held, a, b)
		if i == 1 { // the process that is about to leave hears of it, too
			if status, text := call(t, "PUT", fresh.staff+"/api/include/h1"); status != 200 {
				t.Fatal(status, text)
			}
			if status, text := call(t, "PUT", old.staff+"/api/exclude/h0"); status != 200 {
				t.Fatal(status, text)
			}
		}
		old.stop()
		await(t, old.done)
		for asked.Load() < before+50 {
			ask(newClient(t), url, fmt.Sprint("more-", i, "-", asked.Load()))
			asked.Add(1)
		}
		old = fresh
	}
	close(ended)
	load.Wait()
	if failed.Load() != 0 {
		t.Errorf("%d of %d requests failed", failed.Load(), asked.Load())
	}
	if _, text := call(t, "GET", old.staff+"/api/telemetry"); !strings.Contains(text, "svc_pool_ejected 1\n") {
		t.Errorf("what is out is forgotten:\n%s", text)
	}
	if status, _ := call(t, "PUT", old.staff+"/api/exclude/h9"); status != 404 {
		t.Errorf("unknown backend: %d", status)
	}
}

// A process that inherits what is no listener says so.
func TestInheritNonsense(t *testing.T) {
	f, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd())) // Inherit closes those that listen
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if ln, err := Inherit(fd, netip.AddrPort{}); err == nil {
		ln.Close()
		t.Error("no error for a file")
	}
	ln := listen(t)
	held, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	if fd, err = syscall.Dup(int(held.Fd())); err != nil {
		t.Fatal(err)
	}
	if ln, err := Inherit(fd, netip.MustParseAddrPort("127.0.0.1:1")); err == nil || !strings.Contains(err.Error(), "LB_FD") {
		ln.Close()
		t.Errorf("another address: %v", err)
	}
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	conn, err := nc.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := Inherit(int(conn.Fd()), netip.AddrPort{}); err == nil || !strings.Contains(err.Error(), "no listener") {
		t.Errorf("a connection: %v", err)
	}
}
