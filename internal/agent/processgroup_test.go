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

// groupMember is one of the processes of an agent.
type groupMember struct {
	controlURL string
	stop       context.CancelFunc // begins the process's planned stop
	done       chan struct{}      // closed once the process has ended
}

// startProcess starts a process on the inherited listener held, and waits until it is ready.
func startProcess(t *testing.T, dir string, held *os.File, backends ...string) *groupMember {
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
	p := &groupMember{controlURL: "http://" + controlListener.Addr().String(), stop: cancel, done: make(chan struct{})}
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
	waitUntilReady(t, p.controlURL)
	return p
}

// Processes replace one another under load: no request is refused, reset or lost, and backends excluded by operators stay
// excluded, also if the call goes to the process that is about to stop.
func TestProcessReplacementUnderLoad(t *testing.T) {
	ln := listen(t)
	held, err := ln.(*net.TCPListener).File() // as the platform holds it
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	url := "http://" + ln.Addr().String()
	ln.Close()
	a, b := backend(t, scripted.AnswerAlways(scripted.HelloResponse)), backend(t, scripted.AnswerAlways(scripted.HelloResponse))
	dir := t.TempDir()
	old := startProcess(t, dir, held, a, b)

	var load sync.WaitGroup
	var asked, failed atomic.Int64
	ended := make(chan struct{})
	for c := range 8 {
		load.Go(func() {
			kept, anew := newClient(t), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: timeout}
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
				resp, _, err := sendRead(client, url, fmt.Sprint(c, "-", i))
				if asked.Add(1); err != nil || resp.StatusCode != http.StatusOK {
					failed.Add(1)
					t.Error(resp, err)
				}
			}
		})
	}
	if status, text := call(t, "PUT", old.controlURL+"/api/exclude/h1"); status != 200 {
		t.Fatal(status, text)
	}
	for i := range 3 {
		before := asked.Load()
		fresh := startProcess(t, dir, held, a, b)
		if i == 1 { // calls to the process that is about to stop count too
			if status, text := call(t, "PUT", fresh.controlURL+"/api/include/h1"); status != 200 {
				t.Fatal(status, text)
			}
			if status, text := call(t, "PUT", old.controlURL+"/api/exclude/h0"); status != 200 {
				t.Fatal(status, text)
			}
		}
		old.stop()
		await(t, old.done)
		for asked.Load() < before+50 {
			sendRead(newClient(t), url, fmt.Sprint("more-", i, "-", asked.Load()))
			asked.Add(1)
		}
		old = fresh
	}
	close(ended)
	load.Wait()
	if failed.Load() != 0 {
		t.Errorf("%d of %d requests failed", failed.Load(), asked.Load())
	}
	if _, text := call(t, "GET", old.controlURL+"/api/telemetry"); !strings.Contains(text, "svc_pool_ejected 1\n") {
		t.Errorf("the excluded backend is not known:\n%s", text)
	}
	if status, _ := call(t, "PUT", old.controlURL+"/api/exclude/h9"); status != 404 {
		t.Errorf("unknown backend: %d", status)
	}
}

// InheritListener refuses a file, a listener at another address and a connection.
func TestInheritInvalidDescriptors(t *testing.T) {
	f, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd())) // InheritListener closes descriptors of listeners
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if ln, err := InheritListener(fd, netip.AddrPort{}); err == nil {
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
	if ln, err := InheritListener(fd, netip.MustParseAddrPort("127.0.0.1:1")); err == nil || !strings.Contains(err.Error(), "LB_FD") {
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
	if _, err := InheritListener(int(conn.Fd()), netip.AddrPort{}); err == nil || !strings.Contains(err.Error(), "not a listener") {
		t.Errorf("a connection: %v", err)
	}
}
