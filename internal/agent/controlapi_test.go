package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/scripted"
)

// startAgentWithControl runs an agent with a control listener and returns the URLs for clients and for operators.
func startAgentWithControl(t *testing.T, bal *decider, backends ...string) (clients, controlURL string) {
	t.Helper()
	cfg := testConfig(t, backends...)
	controlListener := listen(t)
	cfg.Control = netip.MustParseAddrPort(controlListener.Addr().String())
	ln := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		if bal != nil {
			serve(ctx, cfg, bal, ln, controlListener, nil, nil, quiet)
			return
		}
		real, _ := balance.New(cfg.Settings, cfg.Seed)
		serve(ctx, cfg, real, ln, controlListener, nil, nil, quiet)
	}()
	t.Cleanup(func() {
		cancel()
		await(t, finished)
		controlListener.Close()
	})
	return "http://" + ln.Addr().String(), "http://" + controlListener.Addr().String()
}

func call(t *testing.T, method, url string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := newClient(t).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// waitUntilReady waits until the process at controlURL is ready.
func waitUntilReady(t *testing.T, controlURL string) {
	t.Helper()
	for end := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) {
		if status, _ := call(t, "GET", controlURL+"/api/ready"); status == 200 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("never ready")
		}
	}
}

// The balancer receives an excluded backend as draining before the operator's call is answered. Only an include brings
// the backend back; it then counts as started anew.
func TestControlExcludesAndIncludes(t *testing.T) {
	bal := newDecider(func(balance.Event) []balance.Action { return nil })
	_, controlURL := startAgentWithControl(t, bal, deadAddr(t))
	if l := nextEvent[balance.List](t, bal); l.Kind != balance.ListCached {
		t.Fatal(l)
	}
	for _, c := range []struct {
		method, path string
		status       int
		received     string // state that the balancer receives: d draining, u up, empty for no event
	}{
		{"PUT", "/api/exclude/nobody", 404, ""},
		{"PUT", "/api/include/nobody", 404, ""},
		{"GET", "/api/exclude/h0", 405, ""},
		{"PUT", "/api/exclude/h0", 200, "d"},
		{"PUT", "/api/exclude/h0", 200, ""},
		{"PUT", "/api/include/h0", 200, "u"},
		{"PUT", "/api/include/h0", 200, ""},
		{"GET", "/api/nothing", 404, ""},
	} {
		before := time.Duration(time.Now().UnixNano())
		if status, body := call(t, c.method, controlURL+c.path); status != c.status {
			t.Errorf("%s %s: %d %s", c.method, c.path, status, body)
		}
		received := ""
		select {
		case e := <-bal.events:
			b := e.(balance.List).Backends[0]
			received = map[balance.BackendState]string{balance.Up: "u", balance.Draining: "d"}[b.State]
			if received == "u" && b.Started < before {
				t.Errorf("included as started at %v, before %v", b.Started, before)
			}
		default:
		}
		if received != c.received {
			t.Errorf("%s %s: the balancer received %q", c.method, c.path, received)
		}
	}
}

// Invalid calls get an error status.
func TestControlRejectsInvalidCalls(t *testing.T) {
	_, controlURL := startAgentWithControl(t, nil, deadAddr(t))
	waitUntilReady(t, controlURL)
	for call, want := range map[string]string{
		"PUT /api/exclude/h0 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}": "400",
		"PUT /api/exclude/%zz HTTP/1.1\r\nHost: x\r\n\r\n":                       "400",
		"PUT /api/exclude/ HTTP/1.1\r\nHost: x\r\n\r\n":                          "404",
		"PUT /api/exclude/a/b HTTP/1.1\r\nHost: x\r\n\r\n":                       "404",
		"DELETE /api/include/h0 HTTP/1.1\r\nHost: x\r\n\r\n":                     "405",
		"POST /api/ready HTTP/1.1\r\nHost: x\r\n\r\n":                            "405",
		"noise\r\n\r\n": "400",
		"GET /api/ready HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 20<<10): "431",
	} {
		if got := sendRaw(t, controlURL, call); len(got) < 12 || got[9:12] != want {
			t.Errorf("%.40q: %.60q, want %s", call, got, want)
		}
	}
}

// The metrics count the answers that clients got, and are served although 40 callers hold idle connections.
func TestControlTelemetry(t *testing.T) {
	clients, controlURL := startAgentWithControl(t, nil, backend(t, scripted.AnswerAlways(scripted.HelloResponse)))
	for range 40 {
		nc, err := net.Dial("tcp", strings.TrimPrefix(controlURL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
	}
	waitUntilReady(t, controlURL)
	client := newClient(t)
	for _, id := range []string{"1", "2", "3"} {
		if resp, body, err := sendRead(client, clients, id); err != nil || resp.StatusCode != 200 {
			t.Fatal(resp, body, err)
		}
	}
	// The answer is counted once it is written, so the client may see it first.
	want := []string{`svc_responses{kind="read",result="ok"} 3`, "svc_tries 3", "svc_active 0", "svc_pool_size 1", "svc_pool_ejected 0"}
	for end := time.Now().Add(timeout); ; {
		_, text := call(t, "GET", controlURL+"/api/telemetry")
		missing := ""
		for _, w := range want {
			if !strings.Contains(text, w+"\n") {
				missing = w
			}
		}
		if missing == "" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("no %q in\n%s", missing, text)
		}
	}
}
