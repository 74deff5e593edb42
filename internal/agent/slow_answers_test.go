package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// slowAnswer is how a sound backend writes a long answer with pauses.
type slowAnswer struct {
	name  string
	parts func(head, body string) []string // what is written, with a pause before each part but the first
}

// slowAnswers are the ways in which answers were cut off, and those beside them.
var slowAnswers = []slowAnswer{
	{"late body", func(head, body string) []string { return []string{head, body} }},
	{"lumps", func(head, body string) []string {
		n := len(body) / 3
		return []string{head + body[:n], body[n : 2*n], body[2*n:]}
	}},
	{"lumps that part lines", func(head, body string) []string {
		n := len(body) - 4
		return []string{head + body[:3], body[3 : n-30000], body[n-30000 : n], body[n:]}
	}},
	{"head in parts", func(head, body string) []string {
		return []string{head[:10], head[10 : len(head)-1], head[len(head)-1:] + body}
	}},
}

// onceSettings returns a configuration whose class sub may not be repeated, as in the report.
func onceConfig(t *testing.T, backend string) *Config {
	t.Helper()
	text := strings.Replace(configJSON(deadAddr(t), "", backend), `"Semantics":"by_key","Group":"zone","WindowMs":1000`, `"Semantics":"once"`, 1)
	cfg, err := parseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// Guards against a cut of an answer that its backend is still writing, with pauses, where no length announces how long it is
// or only its head has come.
func TestSlowAnswerIsNotCutOff(t *testing.T) {
	const size, pause = 190_000, 300 * time.Millisecond
	whole := strings.Repeat("0123456789", size/10)
	framings := map[string][2]string{
		"length":  {fmt.Sprintf("Content-Length: %d\r\n", size), whole},
		"chunked": {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x;x=y\r\n%s\r\n%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", size/2, whole[:size/2], size/2, whole[size/2:])},
		"close":   {"", whole},
	}
	for framing, form := range framings {
		for _, shape := range slowAnswers {
			for class, request := range map[string]string{"unsafe": "POST /sub", "safe": "GET /read"} {
				t.Run(framing+", "+shape.name+", "+class, func(t *testing.T) {
					t.Parallel()
					addr := backend(t, func(c net.Conn, r *bufio.Reader) {
						if _, _, err := receive(r); err != nil {
							return
						}
						for i, part := range shape.parts("HTTP/1.1 200 OK\r\n"+form[0]+"\r\n", form[1]) {
							if i > 0 {
								time.Sleep(pause)
							}
							io.WriteString(c, part)
						}
						if framing != "close" {
							io.Copy(io.Discard, r)
						}
					})
					url, _, _ := startAgent(t, onceConfig(t, addr), nil)
					status, body, err := exchangeText(url, request+" HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 1\r\nX-Time-Left: 5000m\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
					if status != 200 || body != whole || err != nil {
						t.Errorf("status %d, %d bytes of %d, %v", status, len(body), size, err)
					}
				})
			}
		}
	}
}

// Guards against a failure of a short answer that its backend writes with a pause, for a request that can't be repeated.
func TestShortSlowAnswerToUnrepeatableRequestIsAwaited(t *testing.T) {
	addr := backend(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := receive(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe")
		time.Sleep(400 * time.Millisecond)
		io.WriteString(c, "llo")
		io.Copy(io.Discard, r)
	})
	url, _, _ := startAgent(t, onceConfig(t, addr), nil)
	status, body, err := exchangeText(url, "POST /sub HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 1\r\nX-Time-Left: 5000m\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	if status != 200 || body != "hello" || err != nil {
		t.Errorf("status %d, %q, %v", status, body, err)
	}
}
