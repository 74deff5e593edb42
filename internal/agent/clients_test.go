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

// sendRaw sends bytes on a new connection and returns what comes until it is closed.
func sendRaw(t *testing.T, base, request string) string {
	t.Helper()
	c := dial(t, base)
	io.WriteString(c, request)
	return readRest(t, c)
}

func dial(t *testing.T, base string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(timeout))
	return c
}

func readRest(t *testing.T, c net.Conn) string {
	t.Helper()
	got, err := io.ReadAll(c)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatalf("the connection stays open after %q", got)
	}
	return string(got)
}

const validHeaders = "X-Correlation-Id: d1\r\nX-Time-Left: 10000m\r\n"

// A request that could be a smuggling attempt gets an error and a close, and never reaches the balancer: a second request
// may be hidden behind an ambiguous head.
func TestAmbiguousRequestsAreRejected(t *testing.T) {
	bal := newDecider(sendAll)
	base, _, _ := startAgent(t, testConfig(t, backend(t, always(hello))), bal)
	inner := "GET /read HTTP/1.1\r\nHost: x\r\n" + validHeaders + "\r\n"
	for _, tt := range []struct{ name, request, status string }{
		{"both Content-Length and Transfer-Encoding", "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + validHeaders +
			fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 5+len(inner)) + inner, "411"},
		{"a length behind the coding", "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + validHeaders +
			fmt.Sprintf("Transfer-Encoding: chunked\r\ncontent-LENGTH : %d\r\n\r\n0\r\n\r\n", 5+len(inner)) + inner, "400"},
		{"a coding that is not chunked", "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + validHeaders + "Transfer-Encoding: gzip\r\n\r\n" + inner, "501"},
		{"chunks with GET", "GET /read HTTP/1.1\r\nHost: x\r\n" + validHeaders + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner, "400"},
		{"a target without a path", "GET http://x?/read HTTP/1.1\r\nHost: x\r\n" + validHeaders + "\r\n" + inner, "400"},
		{"two lengths", "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + validHeaders + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab" + inner, "400"},
		{"a negative length", "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + validHeaders + "Content-Length: -1\r\n\r\n" + inner, "400"},
		{"a body with GET", fmt.Sprintf("GET /read HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", validHeaders, len(inner), inner), "400"},
		{"60 MB", "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + validHeaders + "Content-Length: 60000000\r\n\r\n", "413"},
		{"no host", "GET /read HTTP/1.1\r\n" + validHeaders + "\r\n" + inner, "400"},
		{"an empty host", "GET /read HTTP/1.1\r\nHost:\r\n" + validHeaders + "\r\n" + inner, "400"},
		{"an old version", "POST /sub HTTP/1.0\r\nHost: x\r\nIdempotency-Key: k\r\n" + validHeaders +
			fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 5+len(inner)) + inner, "505"},
		{"behind a call of /up", fmt.Sprintf("GET /up HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 5+len(inner)) + inner, "411"},
		{"two ids", "GET /read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: d2\r\n" + validHeaders + "\r\n" + inner, "400"},
		{"a time in hexadecimal", "GET /read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: d1\r\nX-Time-Left: 0x1p9m\r\n\r\n" + inner, "400"},
		{"a time with an exponent", "GET /read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: d1\r\nX-Time-Left: 1e3m\r\n\r\n" + inner, "400"},
		{"a hint that is infinite", "GET /read HTTP/1.1\r\nHost: x\r\nX-Weight-Hint: Inf\r\n" + validHeaders + "\r\n" + inner, "400"},
		{"a query that can't be read", "GET /read?key=%zz HTTP/1.1\r\nHost: x\r\n" + validHeaders + "\r\n" + inner, "400"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := sendRaw(t, base, tt.request)
			if len(got) < 12 || got[9:12] != tt.status || strings.Count(got, "Content-Type:") != 1 {
				t.Errorf("got %q", got)
			}
		})
	}
	if resp, _, err := sendRead(newClient(t), base, "last"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %v, %v", resp, err)
	}
	if e := nextEvent[balance.Request](t, bal); e.ID != "last" {
		t.Errorf("the balancer received %+v", e)
	}
}

// Clients that send nothing, don't finish their request or keep a connection idle hold a socket for at most 3 s.
func TestSilentClients(t *testing.T) {
	base, _, _ := startAgent(t, testConfig(t, backend(t, always(hello))), newDecider(sendAll))
	begun := time.Now()
	var conns []net.Conn
	for _, begin := range []string{"", "GET /re", "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + validHeaders + "Content-Length: 9\r\n\r\nhalf",
		"GET /read HTTP/1.1\r\nHost: x\r\n" + validHeaders + "\r\n"} {
		c := dial(t, base)
		io.WriteString(c, begin)
		conns = append(conns, c)
	}
	for i, c := range conns {
		got := readRest(t, c)
		if served := strings.HasPrefix(got, "HTTP/1.1 200"); served != (i == 3) {
			t.Errorf("%d: got %q", i, got)
		}
	}
	if d := time.Since(begun); d < 2*time.Second { // an idle connection is kept at least this long
		t.Errorf("closed after %v", d)
	}
}

// A wait for an answer that is longer than the limit on reading a head is not taken for a disconnect of the client.
func TestReadLimitEndsWithTheRequest(t *testing.T) {
	base, _, _ := startAgent(t, testConfig(t, backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		time.Sleep(front.HeadTimeout + 200*time.Millisecond)
		io.WriteString(c, hello)
	})), newDecider(sendAll))
	if resp, body, err := sendRead(newClient(t), base, "d1"); err != nil || resp.StatusCode != http.StatusOK || body != "hello" {
		t.Errorf("got %v, %q, %v", resp, body, err)
	}
}

// At the cap on connections the one that has been silent for longest is closed, never one with a request in hand,
// whatever its age.
func TestClientsAreCapped(t *testing.T) {
	release := make(chan struct{})
	cfg := testConfig(t, backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		<-release
		io.WriteString(c, hello)
	}))
	cfg.Sockets = reservedSockets + 7 // four for clients while one request is in hand, and two for those that are turned away
	bal := newDecider(sendAll)
	base, _, _ := startAgent(t, cfg, bal)
	busy := dial(t, base)
	io.WriteString(busy, "GET /read HTTP/1.1\r\nHost: x\r\n"+validHeaders+"\r\n")
	nextEvent[balance.Request](t, bal)
	begun := time.Now()
	var silent []net.Conn
	for range 5 {
		silent = append(silent, dial(t, base))
	}
	for _, c := range silent[:2] {
		readRest(t, c)
	}
	if time.Since(begun) >= front.IdleTimeout {
		t.Error("silent connections are closed by their idle limit only")
	}
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(busy), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the request in hand got %v, %v", resp, err)
	}
}

// A request with an id that has just been answered must not reach a backend.
func TestIDJustUsed(t *testing.T) {
	base, _, _ := startAgent(t, testConfig(t, backend(t, always(hello))), newDecider(sendAll))
	client := newClient(t)
	for i, want := range []int{http.StatusOK, http.StatusBadRequest} {
		if resp, _, err := sendRead(client, base, "d1"); err != nil || resp.StatusCode != want {
			t.Errorf("%d: got %v, %v", i, resp, err)
		}
	}
}
