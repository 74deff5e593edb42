package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
	front "lemonrail/internal/front/http1"
)

// raw sends bytes on a connection of its own and returns what comes until it is closed.
func raw(t *testing.T, base, request string) string {
	t.Helper()
	c := dial(t, base)
	io.WriteString(c, request)
	return rest(t, c)
}

func dial(t *testing.T, base string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c
}

func rest(t *testing.T, c net.Conn) string {
	t.Helper()
	got, err := io.ReadAll(c)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatalf("the connection stays open after %q", got)
	}
	return string(got)
}

const good = "X-Correlation-Id: d1\r\nX-Time-Left: 10000m\r\n"

// What can't be told apart from an attack gets an error and a close, and never reaches the module:
// behind a head that is misread another request may hide.
func TestMisleadingRequests(t *testing.T) {
	bal := newScripted(sendAll)
	base, _, _ := running(t, testConfig(t, backend(t, always(hello))), bal)
	inner := "GET /read HTTP/1.1\r\nHost: x\r\n" + good + "\r\n"
	for _, tt := range []struct{ name, request, status string }{
		{"two ways to tell a length", "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + good +
			fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 5+len(inner)) + inner, "411"},
		{"a length behind the coding", "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + good +
			fmt.Sprintf("Transfer-Encoding: chunked\r\ncontent-LENGTH : %d\r\n\r\n0\r\n\r\n", 5+len(inner)) + inner, "400"},
		{"a coding that is not chunked", "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + good + "Transfer-Encoding: gzip\r\n\r\n" + inner, "501"},
		{"chunks with GET", "GET /read HTTP/1.1\r\nHost: x\r\n" + good + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner, "400"},
		{"a target without a path", "GET http://x?/read HTTP/1.1\r\nHost: x\r\n" + good + "\r\n" + inner, "400"},
		{"two lengths", "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + good + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab" + inner, "400"},
		{"a negative length", "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + good + "Content-Length: -1\r\n\r\n" + inner, "400"},
		{"a body with GET", fmt.Sprintf("GET /read HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", good, len(inner), inner), "400"},
		{"60 MB", "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + good + "Content-Length: 60000000\r\n\r\n", "413"},
		{"no host", "GET /read HTTP/1.1\r\n" + good + "\r\n" + inner, "400"},
		{"an empty host", "GET /read HTTP/1.1\r\nHost:\r\n" + good + "\r\n" + inner, "400"},
		{"an old version", "POST /sub HTTP/1.0\r\nHost: x\r\nIdempotency-Key: k\r\n" + good +
			fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 5+len(inner)) + inner, "505"},
		{"behind a call of /up", fmt.Sprintf("GET /up HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 5+len(inner)) + inner, "411"},
		{"two ids", "GET /read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: d2\r\n" + good + "\r\n" + inner, "400"},
		{"a time in hexadecimal", "GET /read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: d1\r\nX-Time-Left: 0x1p9m\r\n\r\n" + inner, "400"},
		{"a time with an exponent", "GET /read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: d1\r\nX-Time-Left: 1e3m\r\n\r\n" + inner, "400"},
		{"a hint that is infinite", "GET /read HTTP/1.1\r\nHost: x\r\nX-Weight-Hint: Inf\r\n" + good + "\r\n" + inner, "400"},
		{"a query that can't be read", "GET /read?key=%zz HTTP/1.1\r\nHost: x\r\n" + good + "\r\n" + inner, "400"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := raw(t, base, tt.request)
			if len(got) < 12 || got[9:12] != tt.status || strings.Count(got, "Content-Type:") != 1 {
				t.Errorf("got %q", got)
			}
		})
	}
	if resp, _, err := ask(newClient(t), base, "last"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %v, %v", resp, err)
	}
	if e := next[balance.Request](t, bal); e.ID != "last" {
		t.Errorf("the module was told of %+v", e)
	}
}

// Clients that say nothing, don't end what they begin, or keep a connection for good hold no
// socket for longer than they are owed one: 3 s.
func TestSilentClients(t *testing.T) {
	base, _, _ := running(t, testConfig(t, backend(t, always(hello))), newScripted(sendAll))
	begun := time.Now()
	var conns []net.Conn
	for _, begin := range []string{"", "GET /re", "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + good + "Content-Length: 9\r\n\r\nhalf",
		"GET /read HTTP/1.1\r\nHost: x\r\n" + good + "\r\n"} {
		c := dial(t, base)
		io.WriteString(c, begin)
		conns = append(conns, c)
	}
	for i, c := range conns {
		got := rest(t, c)
		if served := strings.HasPrefix(got, "HTTP/1.1 200"); served != (i == 3) {
			t.Errorf("%d: got %q", i, got)
		}
	}
	if d := time.Since(begun); d < 2*time.Second { // that much is due to an idle connection
		t.Errorf("closed after %v", d)
	}
}

// A wait for an answer that outlasts the limit on reading is not the client leaving.
func TestReadLimitEndsWithTheRequest(t *testing.T) {
	base, _, _ := running(t, testConfig(t, backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		time.Sleep(front.HeadLimit + 200*time.Millisecond)
		io.WriteString(c, hello)
	})), newScripted(sendAll))
	if resp, body, err := ask(newClient(t), base, "d1"); err != nil || resp.StatusCode != http.StatusOK || body != "hello" {
		t.Errorf("got %v, %q, %v", resp, body, err)
	}
}

// At the cap the connection that has been silent for longest gives way, and never one with a
// request in hand, however old.
func TestClientsAreCapped(t *testing.T) {
	release := make(chan struct{})
	cfg := testConfig(t, backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		<-release
		io.WriteString(c, hello)
	}))
	cfg.Sockets = reservedSockets + 7 // four for clients while one is in hand, and two for those that are turned away
	bal := newScripted(sendAll)
	base, _, _ := running(t, cfg, bal)
	busy := dial(t, base)
	io.WriteString(busy, "GET /read HTTP/1.1\r\nHost: x\r\n"+good+"\r\n")
	next[balance.Request](t, bal)
	begun := time.Now()
	var silent []net.Conn
	for range 5 {
		silent = append(silent, dial(t, base))
	}
	for _, c := range silent[:2] {
		rest(t, c)
	}
	if time.Since(begun) >= front.IdleLimit {
		t.Error("silent connections are closed by their time only")
	}
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(busy), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the request in hand got %v, %v", resp, err)
	}
}

// A client that sends an id again after its answer must not reach a backend with it.
func TestIDJustUsed(t *testing.T) {
	base, _, _ := running(t, testConfig(t, backend(t, always(hello))), newScripted(sendAll))
	client := newClient(t)
	for i, want := range []int{http.StatusOK, http.StatusBadRequest} {
		if resp, _, err := ask(client, base, "d1"); err != nil || resp.StatusCode != want {
			t.Errorf("%d: got %v, %v", i, resp, err)
		}
	}
}
