package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/roster"
	"lemonrail/internal/scripted"
)

// A client leaves while the connection to the backend is being established: the attempt ends at once as never sent, long
// before the connect timeout, and no byte of it can be written later.
func TestClientLeavesDuringDial(t *testing.T) {
	bal := newDecider(sendAll)
	cfg := testConfig(t, scripted.UnresponsiveAddr(t))
	cfg.Settings.ConnectTimeout = time.Hour
	base, _, _ := startAgent(t, cfg, bal)
	ctx, leave := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/read", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Correlation-Id", "d1")
	req.Header.Set("X-Time-Left", "3600000m")
	go newClient(t).Do(req)
	nextEvent[balance.Request](t, bal)
	leave()
	nextEvent[balance.Abandoned](t, bal)
	if e := nextEvent[balance.Outcome](t, bal); e.Result != balance.DroppedUnsent || !e.Done {
		t.Errorf("got %+v", e)
	}
}

// The list marks a backend as draining while a connection to it is being established: the request goes to another
// backend, and the first one never gets a byte.
func TestDrainDuringDial(t *testing.T) {
	cfg := testConfig(t, scripted.UnresponsiveAddr(t), backend(t, always(hello)))
	cfg.Settings.ConnectTimeout = time.Hour
	dialled := make(chan struct{}, 1)
	bal := newDecider(func(e balance.Event) []balance.Action {
		switch e := e.(type) {
		case balance.Request:
			dialled <- struct{}{}
			return []balance.Action{balance.Send{Request: e.ID, Backend: "h0"}}
		case balance.Outcome:
			if e.Result == balance.DroppedUnsent {
				return []balance.Action{balance.Send{Request: e.Request, Backend: "h1"}}
			}
		}
		return nil
	})
	service := newPushingDiscovery(t)
	cfg.Discovery = addrPort(t, service.addr)
	base, _, _ := startAgent(t, cfg, bal)
	got := make(chan int, 1)
	go func() {
		resp, _, err := sendReadWithin(newClient(t), base, "d1", "3600000m")
		if err != nil {
			t.Error(err)
			resp = &http.Response{}
		}
		got <- resp.StatusCode
	}()
	await(t, dialled)
	service.push <- roster.List{Seq: 42, Hosts: []roster.Host{{Host: "h0", Dial: cfg.Known.Hosts[0].Dial, Site: "a", Class: "m1", Health: "draining"}}}
	if e := nextEvent[balance.Outcome](t, bal); e.Result != balance.DroppedUnsent || e.Backend != "h0" {
		t.Errorf("got %+v", e)
	}
	if status := await(t, got); status != http.StatusOK {
		t.Errorf("got %d", status)
	}
}

// A client sends a request in the instant in which its agent starts with an old list in its configuration: the request
// waits for discovery's first list, which binds the agent from the start of the process.
func TestFirstRequestWaitsForFirstList(t *testing.T) {
	for range 10 {
		service, bal := newPushingDiscovery(t), newDecider(sendAll)
		cfg := testConfig(t, backend(t, always(hello)))
		cfg.Discovery, cfg.firstListTimeout = addrPort(t, service.addr), time.Hour
		base, _, _ := startAgent(t, cfg, bal)
		c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, readRequest("first"))
		time.Sleep(5 * time.Millisecond) // an agent that doesn't wait has begun the request by now; one that does passes at any speed
		service.push <- roster.List{Seq: 42, Hosts: []roster.Host{{Host: "h9", Dial: cfg.Known.Hosts[0].Dial, Site: "a", Class: "m1", Health: "draining"}}}
		for listed := false; ; {
			e := await(t, bal.events)
			if l, ok := e.(balance.List); ok && l.Kind == balance.ListDelta {
				listed = true
			}
			if r, ok := e.(balance.Request); ok {
				if !listed {
					t.Errorf("%s came before discovery's list", r.ID)
				}
				break
			}
		}
	}
}

// Discovery that is unreachable or silent delays the first client only briefly.
func TestFirstRequestWithoutDiscovery(t *testing.T) {
	silent := backend(t, func(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) })
	for _, c := range []struct {
		service string
		wait    time.Duration
	}{{deadAddr(t), time.Hour}, {silent, time.Millisecond}} {
		cfg := testConfig(t, backend(t, always(hello)))
		cfg.Discovery, cfg.firstListTimeout = addrPort(t, c.service), c.wait
		base, _, _ := startAgent(t, cfg, nil)
		if resp, _, err := sendRead(newClient(t), base, "first"); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%v: %v, %v", c, resp, err)
		}
	}
}

// readRequest returns the bytes of a read with an hour left.
func readRequest(id string) string {
	return "GET /read?key=7f HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: " + id + "\r\nX-Time-Left: 3600000m\r\n\r\n"
}

// The agent notices that a client has left although unread bytes or pipelined requests follow its request: the request
// in hand, which waits, is abandoned, and the pipelined ones never begin. A half-closed connection counts as left too.
func TestClientSendsMoreAndLeaves(t *testing.T) {
	pad := strings.Repeat("x", 15<<10)
	for name, behind := range map[string]string{
		"nothing":            "",
		"half a head":        "GET /re",
		"one request":        readRequest("behind"),
		"requests of 40 KB":  strings.Repeat(strings.Replace(readRequest("behind"), "Host: x", "Host: x\r\nX-Pad: "+pad[:3<<10], 1), 13),
		"noise of 50 KB":     strings.Repeat("\x00", 50<<10),
		"requests of 200 KB": strings.Repeat(strings.Replace(readRequest("behind"), "Host: x", "Host: x\r\nX-Pad: "+pad, 1), 13),
	} {
		for _, half := range []bool{false, true} {
			bal := newDecider(func(balance.Event) []balance.Action { return nil }) // the request waits
			base, _, _ := startAgent(t, testConfig(t), bal)
			for n := range 20 {
				c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				id := fmt.Sprint("first", n)
				io.WriteString(c, readRequest(id))
				nextEvent[balance.Request](t, bal)
				io.WriteString(c, behind)
				if half {
					c.(*net.TCPConn).CloseWrite()
				} else {
					c.Close()
				}
				if e := nextEvent[balance.Abandoned](t, bal); e.Request != id {
					t.Errorf("%s, half closed %v: got %+v", name, half, e)
				}
				c.Close()
			}
			for len(bal.events) > 0 {
				if e, ok := (<-bal.events).(balance.Request); ok && !strings.HasPrefix(e.ID, "first") {
					t.Errorf("%s, half closed %v: the balancer received %+v", name, half, e)
				}
			}
		}
	}
}

// Clients that pipeline requests and stay get an answer to each, in order: bytes that were read ahead are not lost,
// whatever their length.
func TestPipelinedRequests(t *testing.T) {
	bal := newDecider(func(e balance.Event) []balance.Action {
		if r, ok := e.(balance.Request); ok {
			return []balance.Action{balance.Send{Request: r.ID, Backend: "h0"}}
		}
		return nil
	})
	addr := backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, body, err := receive(r)
			if err != nil {
				return
			}
			answer := req.Header.Get("X-Correlation-Id") + " " + fmt.Sprint(len(body))
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		}
	})
	base, _, _ := startAgent(t, testConfig(t, addr), bal)
	go func() { // drains the events, which this test ignores
		for range bal.events {
		}
	}()
	for round := range 10 {
		c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(timeout))
		const n = 60
		go func() {
			for i := range n {
				length := (i * 977) % (9 << 10)
				fmt.Fprintf(c, "POST /sub HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: r%d-%d\r\nIdempotency-Key: k\r\nX-Time-Left: 3600000m\r\nContent-Length: %d\r\n\r\n%s",
					round, i, length, strings.Repeat("x", length))
			}
		}()
		r := bufio.NewReader(c)
		for i := range n {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("round %d, answer %d: %v", round, i, err)
			}
			body, err := io.ReadAll(resp.Body)
			if want := fmt.Sprintf("r%d-%d %d", round, i, (i*977)%(9<<10)); err != nil || string(body) != want {
				t.Fatalf("got %q, %v, want %q", body, err, want)
			}
		}
	}
}
