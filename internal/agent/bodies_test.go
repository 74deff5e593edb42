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

const subHead = "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + good

// got is what a backend received of one request.
type got struct {
	path, body, left string
	err              error
}

// receiving is a backend that shows what it receives, and answers.
func receiving(t *testing.T) (addr string, seen chan got) {
	seen = make(chan got, 10)
	return backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, body, err := receive(r)
			if req == nil {
				return
			}
			seen <- got{req.RequestURI, body, req.Header.Get("X-Time-Left"), err}
			if err != nil {
				return
			}
			io.WriteString(c, hello)
		}
	}), seen
}

// chunk is text in chunks of n bytes, with all that may stand round them.
func chunk(text string, n int) string {
	var b strings.Builder
	for ; text != ""; text = text[min(n, len(text)):] {
		part := text[:min(n, len(text))]
		fmt.Fprintf(&b, "%X;ext=\"1\"\r\n%s\r\n", len(part), part)
	}
	b.WriteString("0\r\nX-Trailer: 1\r\n\r\n")
	return b.String()
}

// All forms of a request go on unchanged: short and long, of known length or in chunks, held or streamed.
func TestFormsOfRequests(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 6<<20/16) // more than is held
	for _, tt := range []struct{ name, request, path, body string }{
		{"chunks", subHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("hello, world", 5), "/sub", "hello, world"},
		{"chunks without a body", subHead + "transfer-encoding: Chunked\r\n\r\n0\r\n\r\n", "/sub", ""},
		{"chunks held", subHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(long[:300<<10], 1000), "/sub", long[:300<<10]},
		{"chunks streamed", subHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(long, 70000), "/sub", long},
		{"a length held", subHead + "Content-Length: 300000\r\n\r\n" + long[:300000], "/sub", long[:300000]},
		{"a length streamed", subHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)) + long, "/sub", long},
		{"an absolute target", "GET HTTP://x:80/read?key=1 HTTP/1.1\r\nHost: x\r\n" + good + "\r\n", "/read?key=1", ""},
		{"a long header", "GET /read HTTP/1.1\r\nHost: x\r\nX-Trace: " + strings.Repeat("t", 12<<10) + "\r\n" + good + "\r\n", "/read", ""},
		{"a folded header", "GET /read HTTP/1.1\r\nHost: x\r\nX-Trace: a\r\n b\r\n" + good + "\r\n", "/read", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr, seen := receiving(t)
			base, _, _ := running(t, testConfig(t, addr), nil)
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
	addr, seen := receiving(t)
	base, _, _ := running(t, testConfig(t, addr), nil)
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

// streamed begins a request whose body is longer than what is held, and sends so much of it.
func streamed(t *testing.T, base string, sent int) net.Conn {
	t.Helper()
	c := dial(t, base)
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", subHead, 6<<20, strings.Repeat("x", sent))
	return c
}

// While nothing behind the first part has been read, a streamed request may go to another backend.
func TestStreamedBodyAfterRefusedConnection(t *testing.T) {
	addr, seen := receiving(t)
	sends := 0
	bal := newScripted(func(e balance.Event) []balance.Action {
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
	base, _, _ := running(t, testConfig(t, deadAddr(t), addr), bal)
	c := streamed(t, base, 6<<20)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	if g := await(t, seen); g.err != nil || len(g.body) != 6<<20 {
		t.Errorf("%d bytes, %v", len(g.body), g.err)
	}
}

// Once more has been read no other attempt is possible: what broke before its last byte never ran, and the client
// is told to come again.
func TestStreamedBodyBrokenBackend(t *testing.T) {
	broken := backend(t, func(c net.Conn, r *bufio.Reader) {
		io.CopyN(io.Discard, r, 1<<20)
		c.(*net.TCPConn).SetLinger(0)
	})
	base, _, _ := running(t, testConfig(t, broken, broken), nil)
	c := streamed(t, base, 6<<20)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Error(resp, err)
	}
}

// A client that breaks off leaves nothing behind, and no backend gets a whole request.
func TestStreamedBodyBrokenOff(t *testing.T) {
	addr, seen := receiving(t)
	bal := newScripted(func(e balance.Event) []balance.Action {
		if r, ok := e.(balance.Request); ok {
			return []balance.Action{balance.Send{Request: r.ID, Backend: "h0"}}
		}
		return nil
	})
	base, _, _ := running(t, testConfig(t, addr), bal)
	c := streamed(t, base, 1<<20)
	next[balance.Request](t, bal)
	c.Close()
	if g := await(t, seen); g.err == nil {
		t.Errorf("a whole request of %d bytes", len(g.body))
	}
	if o := next[balance.Outcome](t, bal); !o.Result.NeverRan() {
		t.Errorf("outcome %v", o.Result)
	}
}

// A body that comes slowly takes none of the time that its client waits for the answer.
func TestTimeCountsFromLastByte(t *testing.T) {
	addr, seen := receiving(t)
	bal := newScripted(sendAll)
	base, _, _ := running(t, testConfig(t, addr), bal)
	c := dial(t, base)
	first, last := "hel", "lo"
	fmt.Fprintf(c, "POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nX-Correlation-Id: d1\r\nX-Time-Left: 400m\r\nContent-Length: 5\r\n\r\n%s", first)
	time.Sleep(500 * time.Millisecond) // longer than it waits
	io.WriteString(c, last)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	if e := next[balance.Request](t, bal); e.Left <= 0 {
		t.Errorf("left %v", e.Left)
	}
	await(t, seen)
}
