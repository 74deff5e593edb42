package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// discoveryWithBackends is the handler of a discovery that answers each call with a full list, followed by a heartbeat every 2 s.
func discoveryWithBackends(seq int, backends ...string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		text := fullListText(seq, backends...) + "\n"
		for {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				return
			}
			text = "\n"
			time.Sleep(2 * time.Second)
		}
	}
}

// fullListText is a full list in discovery's format.
func fullListText(seq int, backends ...string) string {
	var hosts []string
	for i, address := range backends {
		hosts = append(hosts, fmt.Sprintf(`{"host":"h%d","dial":%q,"site":"a","class":"m1","health":"ready","share":1}`, i, address))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, seq, strings.Join(hosts, ","))
}

// idleClients hold connections to an agent: silent, with part of a request, or kept after an answer. Each reconnects
// whenever its connection is closed.
type idleClients struct {
	address string
	stop    chan struct{} // closed to end the clients
	all     sync.WaitGroup
}

func newIdleClients(t *testing.T, address string, n int) *idleClients {
	c := &idleClients{address: address, stop: make(chan struct{})}
	t.Cleanup(c.end)
	for i := range n {
		c.all.Go(func() { c.hold(i) })
	}
	return c
}

// end closes all connections of the clients, and returns once the clients have ended.
func (c *idleClients) end() {
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	c.all.Wait()
}

// hold is client i: by i modulo 3 it is silent, sends part of a request, or sends a whole one and keeps its connection.
func (c *idleClients) hold(i int) {
	for n := 0; ; n++ {
		nc, err := net.Dial("tcp", c.address)
		if err == nil {
			switch i % 3 {
			case 1:
				io.WriteString(nc, "GET /read HTTP/1.1\r\nHo") // an unfinished request
			case 2:
				io.WriteString(nc, readRequest(fmt.Sprintf("idle-%d-%d", i, n))) // a request, then idle
			}
			ended := make(chan struct{})
			go func() {
				io.Copy(io.Discard, nc)
				close(ended)
			}()
			select {
			case <-ended:
			case <-c.stop:
			}
			nc.Close()
			<-ended
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-c.stop:
			return
		}
	}
}

// freeUDPAddress returns a UDP address that is not in use.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	c, address := udp(t)
	c.Close()
	return address.String()
}

// Idle clients take all descriptors that clients may have while discovery is silent. Then discovery returns, SIGHUP moves
// it, a peer restarts, and requests need connections to backends. Each finds a descriptor, in a process whose
// descriptor limit is the configured one.
func TestIdleClientsFillDescriptors(t *testing.T) {
	for _, limit := range []int{256, 384, 1024} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			t.Parallel()
			fillDescriptors(t, limit)
		})
	}
}

// fillDescriptors runs the test with a process whose descriptor limit is limit.
func fillDescriptors(t *testing.T, limit int) {
	var backends []string
	var got receivedAttempts
	for range 3 {
		backends = append(backends, backend(t, got.serve(nil)))
	}
	first := newLateListener(t, discoveryWithBackends(50, backends[:2]...))
	second := backend(t, discoveryWithBackends(60, backends...))

	members := filepath.Join(t.TempDir(), "members.toml")
	if err := os.WriteFile(members, []byte("period_ms = 100\npause_ms = 3000\nrate = 100\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	peers := []string{freeUDPAddress(t), freeUDPAddress(t)}
	config := func(me int, discovery string) string {
		more := fmt.Sprintf(`"peer_listen":%q,"peers":[%q,%q],"limits":{"sockets":%d},`, peers[me], peers[0], peers[1], limit)
		text := configJSON(discovery, more, backends[0])
		text = strings.Replace(text, `"name":"n0"`, fmt.Sprintf(`"name":"n%d"`, me), 1)
		return strings.Replace(text, `"Me":0`, fmt.Sprintf(`"Me":%d`, me), 1)
	}
	p, other := newAgentProcess(t, "n0", envMembers+"="+members), newAgentProcess(t, "n1", envMembers+"="+members)
	p.descriptorLimit = limit
	p.configure(config(0, first.address))
	other.configure(config(1, second))
	p.start()
	p.awaitReady()
	other.start()
	rest := p.descriptors()

	idle := newIdleClients(t, p.address, limit+100)
	clients := (limit - reservedSockets) * 3 / 4
	p.mustBecome("full", func() bool { return p.descriptors() >= clients*9/10+rest })
	peak := 0
	look := func() { peak = max(peak, p.descriptors()) }

	pool := func(n int) func() bool {
		return func() bool {
			look()
			return strings.Contains(p.call("/api/telemetry"), fmt.Sprintf("svc_pool_size %d\n", n))
		}
	}
	within := func(what string, d time.Duration, so func() bool) {
		t.Helper()
		began := time.Now()
		p.mustBecome(what, so)
		if took := time.Since(began); took > d {
			t.Errorf("%s: after %v", what, took)
		}
	}
	if !pool(1)() {
		t.Error("the pool has backends besides those of the configuration")
	}
	first.open()
	within("updated by discovery that is back", 6*time.Second, pool(2))
	p.configure(config(0, second))
	p.signal(syscall.SIGHUP)
	within("updated by the new discovery", 4*time.Second, pool(3))

	sees := func(p *agentProcess, name string) func() bool {
		return func() bool {
			look()
			return strings.Contains(strings.ReplaceAll(p.call("/api/members"), " ", ""), fmt.Sprintf(`"name":%q`, name)) &&
				strings.Count(p.call("/api/members"), `"alive"`) >= 2
		}
	}
	other.awaitReady()
	other.kill()
	other.start()
	other.awaitReady()
	p.mustBecome("aware of its peer", sees(p, "n1"))
	p.mustBecome("seen by its peer", sees(other, "n0"))

	served, refused := usualClients(t, p, &got, 8, 20)
	look()
	if served < 8*20/2 {
		t.Errorf("%d requests are served, %d refused", served, refused)
	}
	log, err := os.ReadFile(filepath.Join(p.dir, "log"))
	if err != nil || strings.Contains(string(log), syscall.EMFILE.Error()) {
		t.Errorf("out of descriptors: %v\n%s", err, p.log())
	}
	if peak >= limit {
		t.Errorf("%d of %d descriptors were held", peak, limit)
	}
	idle.end()
	t.Logf("limit %d: %d held at rest, %d at most; %d requests served, %d refused", limit, rest, peak, served, refused)
}

// usualClients has clients send n requests each, and counts those served and those refused. A request whose connection was
// closed counts as refused, and must not have reached a backend.
func usualClients(t *testing.T, p *agentProcess, got *receivedAttempts, clients, n int) (served, refused int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for c := range clients {
		all.Go(func() {
			client := newClient(t)
			for i := range n {
				id := fmt.Sprintf("usual-%d-%d-", c, i)
				resp, _, err := sendRead(client, p.url(), id)
				mu.Lock()
				switch {
				case err == nil && resp.StatusCode == http.StatusOK:
					served++
				case err == nil && resp.StatusCode == http.StatusServiceUnavailable:
					refused++
				case endedBeforeAnswer(err) && got.countIDs(id) == 0:
					refused++
				default:
					t.Errorf("client %d, request %d: %v, %v", c, i, resp, err)
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return served, refused
}

// endedBeforeAnswer reports whether err means that a connection ended before any byte of an answer had come.
func endedBeforeAnswer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || err != nil && strings.Contains(err.Error(), "server closed idle connection")
}
