package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/scripted"
)

// sendAll sends each request to h0, and fails those whose attempt is not answered.
func sendAll(e balance.Event) []balance.Action {
	switch e := e.(type) {
	case balance.Request:
		return []balance.Action{balance.Send{Request: e.ID, Backend: "h0"}}
	case balance.Outcome:
		if !e.Done {
			return []balance.Action{balance.Fail{Request: e.Request}}
		}
	}
	return nil
}

func TestAnswers(t *testing.T) {
	for _, tt := range []struct {
		name, backend string
		action        func(id string) balance.Action
		status        int
		body, after   string
	}{
		{"served", hello, func(id string) balance.Action { return balance.Send{Request: id, Backend: "h0"} },
			http.StatusOK, "hello", ""},
		{"refused", hello, func(id string) balance.Action { return balance.Refuse{Request: id} },
			http.StatusServiceUnavailable, "Service Unavailable\n", ""},
		{"refused with advice", hello, func(id string) balance.Action {
			return balance.Refuse{Request: id, RetryAfter: 250 * time.Millisecond}
		}, http.StatusServiceUnavailable, "Service Unavailable\n", "0.250"},
		{"failed", hello, func(id string) balance.Action { return balance.Fail{Request: id} },
			http.StatusBadGateway, "Bad Gateway\n", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			bal := newDecider(func(e balance.Event) []balance.Action {
				if r, ok := e.(balance.Request); ok {
					return []balance.Action{tt.action(r.ID)}
				}
				return nil
			})
			url, _, _ := startAgent(t, testConfig(t, backend(t, always(tt.backend))), bal)
			resp, body, err := sendRead(newClient(t), url, "d1")
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status || body != tt.body || resp.Header.Get("Retry-After") != tt.after {
				t.Errorf("got %d %q, Retry-After %q", resp.StatusCode, body, resp.Header.Get("Retry-After"))
			}
			e := nextEvent[balance.Request](t, bal)
			if e.Key != "7f" || e.TimeLeft <= 0 || e.TimeLeft > 10*time.Second {
				t.Errorf("the balancer received %+v", e)
			}
		})
	}
}

// Invalid requests are answered by the server: the balancer never receives them.
func TestBadInput(t *testing.T) {
	bal := newDecider(sendAll)
	base, _, _ := startAgent(t, testConfig(t, backend(t, always(hello))), bal)
	for _, tt := range []struct {
		name, method, path, left, id, effect, body string
		want                                       int
	}{
		{"unknown class", "GET", "/write", "1000m", "d1", "", "", 404},
		{"no class", "GET", "/", "1000m", "d1", "", "", 404},
		{"no id", "GET", "/read", "1000m", "", "", "", 400},
		{"no time", "GET", "/read", "", "d1", "", "", 400},
		{"no unit", "GET", "/read", "1000", "d1", "", "", 400},
		{"no number", "GET", "/read", "NaNm", "d1", "", "", 400},
		{"a negative time", "GET", "/read", "-5m", "d1", "", "", 400},
		{"an endless time", "GET", "/read", "1e300m", "d1", "", "", 400},
		{"no idempotency key", "POST", "/sub", "1000m", "d1", "", "x", 400},
		{"wrong method", "GET", "/sub", "1000m", "d1", "5c", "", 405},
		{"large", "POST", "/sub", "1000000u", "d2", "5c", strings.Repeat("x", 3<<20), 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			req, err := http.NewRequest(tt.method, base+tt.path, strings.NewReader(tt.body))
			if err != nil {
				t.Fatal(err)
			}
			for name, v := range map[string]string{"X-Correlation-Id": tt.id, "X-Time-Left": tt.left, "Idempotency-Key": tt.effect} {
				if v != "" {
					req.Header.Set(name, v)
				}
			}
			resp, err := newClient(t).Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != tt.want {
				t.Errorf("got %d, want %d", resp.StatusCode, tt.want)
			}
		})
	}
	if e := nextEvent[balance.Request](t, bal); e.ID != "d2" {
		t.Errorf("the balancer received %+v", e)
	}
}

// A client that leaves gets no answer; its attempt, already written, goes on and has exactly one outcome.
func TestClientLeaves(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	bal := newDecider(sendAll)
	base, _, _ := startAgent(t, testConfig(t, backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		close(received)
		<-release
		io.WriteString(c, hello)
	})), bal)
	ctx, leave := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/read", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Correlation-Id", "d1")
	req.Header.Set("X-Time-Left", "10000m")
	client := newClient(t)
	go client.Do(req)
	nextEvent[balance.Request](t, bal)
	await(t, received)
	leave()
	if e := nextEvent[balance.Abandoned](t, bal); e.Request != "d1" {
		t.Errorf("got %+v", e)
	}
	close(release)
	if e := nextEvent[balance.Outcome](t, bal); e.Result != balance.OK || !e.Done {
		t.Errorf("got %+v", e)
	}
}

// The id of a request in hand is refused for a second request: the balancer identifies requests by their id.
func TestIDInUse(t *testing.T) {
	release := make(chan struct{})
	bal := newDecider(sendAll)
	base, _, _ := startAgent(t, testConfig(t, backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		<-release
		io.WriteString(c, hello)
	})), bal)
	first := make(chan int, 1)
	client := newClient(t)
	go func() {
		resp, _, err := sendRead(client, base, "d1")
		if err != nil {
			first <- 0
			return
		}
		first <- resp.StatusCode
	}()
	nextEvent[balance.Request](t, bal)
	if resp, _, err := sendRead(client, base, "d1"); err != nil || resp.StatusCode != http.StatusBadRequest {
		t.Errorf("the second got %v, %v", resp, err)
	}
	close(release)
	if status := await(t, first); status != http.StatusOK {
		t.Errorf("the first got %d", status)
	}
}

// A balancer that never decides must not keep a client waiting beyond the deadline.
func TestAnswerPastDeadline(t *testing.T) {
	bal := newDecider(func(balance.Event) []balance.Action { return nil })
	base, _, _ := startAgent(t, testConfig(t), bal)
	req, err := http.NewRequest(http.MethodGet, base+"/read", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Correlation-Id", "d1")
	req.Header.Set("X-Time-Left", "10m")
	resp, err := newClient(t).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got %d", resp.StatusCode)
	}
	nextEvent[balance.Abandoned](t, bal)
}

func TestTimersFireInOrder(t *testing.T) {
	bal := newDecider(func(e balance.Event) []balance.Action {
		if _, ok := e.(balance.List); ok {
			return []balance.Action{balance.SetTimer{After: 20 * time.Millisecond, Token: 2},
				balance.SetTimer{After: time.Millisecond, Token: 1}, balance.Trace{Text: "set"}}
		}
		return nil
	})
	startAgent(t, testConfig(t), bal)
	for want := int64(1); want <= 2; want++ {
		if e := nextEvent[balance.TimerFired](t, bal); e.Token != want {
			t.Errorf("got %d, want %d", e.Token, want)
		}
	}
}

func TestProbeAction(t *testing.T) {
	bal := newDecider(func(e balance.Event) []balance.Action {
		if _, ok := e.(balance.List); ok {
			return []balance.Action{balance.Probe{Backend: "h0"}}
		}
		return nil
	})
	startAgent(t, testConfig(t, backend(t, always(hello))), bal)
	if e := nextEvent[balance.ProbeResult](t, bal); e.Backend != "h0" || e.Result != balance.OK {
		t.Errorf("got %+v", e)
	}
}

// After a panic in the balancer the client of a request in hand gets an error, and the agent ends with the panic's text.
func TestPanicIsVisible(t *testing.T) {
	bal := newDecider(func(e balance.Event) []balance.Action {
		if _, ok := e.(balance.Request); ok {
			panic("out of ideas")
		}
		return nil
	})
	base, _, done := startAgent(t, testConfig(t), bal)
	resp, _, err := sendRead(newClient(t), base, "d1")
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got %v, %v", resp, err)
	}
	if err := await(t, done); err == nil || !strings.Contains(err.Error(), "out of ideas") {
		t.Errorf("the agent ended with %v", err)
	}
}

// At a planned stop requests in hand are answered; connections that come while the listener is still open are served,
// each with a close; then the agent ends without an error.
func TestPlannedStop(t *testing.T) {
	release := make(chan struct{})
	cfg := testConfig(t, backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		<-release
		io.WriteString(c, hello)
	}))
	cfg.minListenTime = 3 * time.Second // the result must not depend on the machine's speed
	bal := newDecider(sendAll)
	base, stop, done := startAgent(t, cfg, bal)
	client := newClient(t)
	closing := func() bool { // asks for /up, on the connection that the previous call left idle; reports whether the answer ends it
		resp, err := client.Get(base + "/up")
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp.Close
	}
	if closing() {
		t.Error("connections are not kept before the stop")
	}
	type result struct {
		resp *http.Response
		body string
		err  error
	}
	results := make(chan result, 2)
	request := func(c *http.Client, id string) {
		resp, body, err := sendRead(c, base, id)
		results <- result{resp, body, err}
	}
	go request(newClient(t), "in hand")
	nextEvent[balance.Request](t, bal)
	stop()
	for !closing() {
		time.Sleep(time.Millisecond)
	}
	go request(newClient(t), "late")
	nextEvent[balance.Request](t, bal)
	close(release)
	for range 2 {
		r := await(t, results)
		if r.err != nil || r.resp.StatusCode != http.StatusOK || r.body != "hello" {
			t.Errorf("got %v, %q, %v", r.resp, r.body, r.err)
		} else if !r.resp.Close {
			t.Error("the connection stays open")
		}
	}
	if err := await(t, done); err != nil {
		t.Errorf("ended with %v", err)
	}
	if _, err := client.Get(base + "/up"); err == nil {
		t.Error("still listening")
	}
}

// A backend restarts: the real balancer serves the next request although the connections kept to the backend are dead.
func TestBackendRestarts(t *testing.T) {
	addr, conns, _, restart := scripted.CountingBackend(t)
	base, _, _ := startAgent(t, testConfig(t, addr), nil)
	client := newClient(t)
	served := func(id string) {
		if resp, body, err := sendRead(client, base, id); err != nil || resp.StatusCode != http.StatusOK || body != "hello" {
			t.Errorf("%s: got %v, %q, %v", id, resp, body, err)
		}
	}
	served("before")
	restart()
	served("after")
	if n := conns.Load(); n < 2 {
		t.Errorf("%d connections", n)
	}
}
