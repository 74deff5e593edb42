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
)

const subHead = "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + validHeaders

// receivedRequest is what a backend received of one request.
type receivedRequest struct {
	path, body, timeLeft string
	err                  error
}

// recordingBackend answers each request and sends what it received to seen.
func recordingBackend(t *testing.T) (addr string, seen chan receivedRequest) {
	seen = make(chan receivedRequest, 10)
	return backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, body, err := receive(r)
			if req == nil {
				return
			}
			seen <- receivedRequest{req.RequestURI, body, req.Header.Get("X-Time-Left"), err}
			if err != nil {
				return
			}
			io.WriteString(c, hello)
		}
	}), seen
}

// chunked encodes text in chunks of n bytes, with extensions and a trailer.
func chunked(text string, n int) string {
	var b strings.Builder
	for ; text != ""; text = text[min(n, len(text)):] {
		part := text[:min(n, len(text))]
		fmt.Fprintf(&b, "%X;ext=\"1\"\r\n%s\r\n", len(part), part)
	}
	b.WriteString("0\r\nX-Trailer: 1\r\n\r\n")
	return b.String()
}

// Requests of each form reach the backend unchanged: short and long, with a length or in chunks, buffered or streamed.
func TestRequestFormsAreForwardedUnchanged(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 6<<20/16) // more than the agent buffers
	for _, tt := range []struct{ name, request, path, body string }{
		{"chunks", subHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked("hello, world", 5), "/sub", "hello, world"},
		{"chunks without a body", subHead + "transfer-encoding: Chunked\r\n\r\n0\r\n\r\n", "/sub", ""},
		{"chunks buffered", subHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked(long[:300<<10], 1000), "/sub", long[:300<<10]},
		{"chunks streamed", subHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked(long, 70000), "/sub", long},
		{"a length buffered", subHead + "Content-Length: 300000\r\n\r\n" + long[:300000], "/sub", long[:300000]},
		{"a length streamed", subHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)) + long, "/sub", long},
		{"an absolute target", "GET HTTP://x:80/read?key=1 HTTP/1.1\r\nHost: x\r\n" + validHeaders + "\r\n", "/read?key=1", ""},
		{"a long header", "GET /read HTTP/1.1\r\nHost: x\r\nX-Trace: " + strings.Repeat("t", 12<<10) + "\r\n" + validHeaders + "\r\n", "/read", ""},
		{"a folded header", "GET /read HTTP/1.1\r\nHost: x\r\nX-Trace: a\r\n b\r\n" + validHeaders + "\r\n", "/read", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr, seen := recordingBackend(t)
			base, _, _ := startAgent(t, testConfig(t, addr), nil)
			c := dial(t, base)
			go io.WriteString(c, tt.request)
			r := bufio.NewReader(c)
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("%v, %v", resp, err)
			}
			io.Copy(io.Discard, resp.Body)
			g := await(t, seen)
			if g.err != nil || g.path != tt.path || g.body != tt.body {
				t.Errorf("%s with %d bytes of %d, %v", g.path, len(g.body), len(tt.body), g.err)
			}
			if resp.Close {
				t.Error("the connection is not kept")
			}
			io.WriteString(c, "GET /read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: d2\r\nX-Time-Left: 10000m\r\n\r\n")
			if resp, err = http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("the next one: %v, %v", resp, err)
			}
		})
	}
}

// A client that waits for 100 Continue gets it, and then its answer.
func TestExpectContinue(t *testing.T) {
	addr, seen := recordingBackend(t)
	base, _, _ := startAgent(t, testConfig(t, addr), nil)
	c := dial(t, base)
	io.WriteString(c, subHead+"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	r := bufio.NewReader(c)
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusContinue {
		t.Fatal(resp, err)
	}
	io.WriteString(c, "hello")
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	if g := await(t, seen); g.body != "hello" {
		t.Errorf("%+v", g)
	}
}

// startStreamedRequest begins a request whose body is too long to be buffered, and sends that many bytes of the body.
func startStreamedRequest(t *testing.T, base string, sent int) net.Conn {
	t.Helper()
	c := dial(t, base)
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", subHead, 6<<20, strings.Repeat("x", sent))
	return c
}

// As long as only the first part of a streamed body has been read, the request may go to another backend.
func TestStreamedBodyAfterRefusedConnection(t *testing.T) {
	addr, seen := recordingBackend(t)
	sends := 0
	bal := newDecider(func(e balance.Event) []balance.Action {
		switch e := e.(type) {
		case balance.Request:
			return []balance.Action{balance.Send{Request: e.ID, Backend: "h0"}}
		case balance.Outcome:
			if sends++; e.Result == balance.ConnectFailed && sends == 1 {
				return []balance.Action{balance.Send{Request: e.Request, Backend: "h1"}}
			}
		}
		return nil
	})
	base, _, _ := startAgent(t, testConfig(t, deadAddr(t), addr), bal)
	c := startStreamedRequest(t, base, 6<<20)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	if g := await(t, seen); g.err != nil || len(g.body) != 6<<20 {
		t.Errorf("%d bytes, %v", len(g.body), g.err)
	}
}

// Once more than the first part of a streamed body has been read, no other attempt is possible. If the backend resets
// the connection before the last byte, the request never ran, and the client is told with 503 to send it again.
func TestStreamedBodyBackendResets(t *testing.T) {
	broken := backend(t, func(c net.Conn, r *bufio.Reader) {
		io.CopyN(io.Discard, r, 1<<20)
		c.(*net.TCPConn).SetLinger(0)
	})
	base, _, _ := startAgent(t, testConfig(t, broken, broken), nil)
	c := startStreamedRequest(t, base, 6<<20)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Error(resp, err)
	}
}

// A client that disconnects in the middle of a body leaves no request behind, and no backend gets a whole request.
func TestStreamedBodyClientDisconnects(t *testing.T) {
	addr, seen := recordingBackend(t)
	bal := newDecider(func(e balance.Event) []balance.Action {
		if r, ok := e.(balance.Request); ok {
			return []balance.Action{balance.Send{Request: r.ID, Backend: "h0"}}
		}
		return nil
	})
	base, _, _ := startAgent(t, testConfig(t, addr), bal)
	c := startStreamedRequest(t, base, 1<<20)
	nextEvent[balance.Request](t, bal)
	c.Close()
	if g := await(t, seen); g.err == nil {
		t.Errorf("a whole request of %d bytes", len(g.body))
	}
	if o := nextEvent[balance.Outcome](t, bal); !o.Result.NeverRan() {
		t.Errorf("outcome %v", o.Result)
	}
}

// Guards against a streamed request without an answer: its backend hangs and takes no more of the body, while the rest waits
// in the agent's socket, so that the client has sent its last byte and waits. Nothing of it ran, so the client may send it again.
func TestStreamedBodyToHungBackendIsAnswered(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	hung := backend(t, func(c net.Conn, _ *bufio.Reader) {
		c.(*net.TCPConn).SetReadBuffer(64 << 10) // the backend's socket must not take the whole body
		<-release
	})
	bal := newDecider(func(e balance.Event) []balance.Action {
		switch e := e.(type) {
		case balance.Request:
			return []balance.Action{balance.Send{Request: e.ID, Backend: "h0"}}
		case balance.Outcome:
			if !e.Result.NeverRan() {
				t.Errorf("outcome %v", e.Result)
			}
			return []balance.Action{balance.Refuse{Request: e.Request}}
		}
		return nil
	})
	base, _, _ := startAgent(t, testConfig(t, hung), bal)
	c := dial(t, base)
	const length = 8 << 20
	go func() {
		fmt.Fprintf(c, "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nX-Correlation-Id: d1\r\nX-Time-Left: 300m\r\nContent-Length: %d\r\n\r\n", length)
		io.WriteString(c, strings.Repeat("x", length))
	}()
	c.SetReadDeadline(time.Now().Add(timeout))
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("got %v, %v", resp, err)
	}
}

// The time that a client waits counts from the last byte of its body, so a body that comes slowly uses none of it, whether
// it is held whole or streamed.
func TestTimeCountsFromLastByte(t *testing.T) {
	const streamedLength = 6 << 20
	for _, tt := range []struct {
		name        string
		first, last string // parts of the body, the last one sent after a pause
	}{
		{"held", "hel", "lo"},
		{"streamed", strings.Repeat("x", streamedLength-5), "hello"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr, seen := recordingBackend(t)
			bal := newDecider(sendAll)
			base, _, _ := startAgent(t, testConfig(t, addr), bal)
			c := dial(t, base)
			fmt.Fprintf(c, "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nX-Correlation-Id: d1\r\nX-Time-Left: 400m\r\nContent-Length: %d\r\n\r\n%s",
				len(tt.first)+len(tt.last), tt.first)
			time.Sleep(500 * time.Millisecond) // longer than the client waits
			io.WriteString(c, tt.last)
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Fatal(resp, err)
			}
			if e := nextEvent[balance.Request](t, bal); e.TimeLeft <= 0 {
				t.Errorf("left %v", e.TimeLeft)
			}
			await(t, seen)
		})
	}
}
