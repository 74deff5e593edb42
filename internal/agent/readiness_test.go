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
)

// Guards against a second answer behind that to a readiness check: a body that it brings along isn't the next request's head.
func TestReadinessCheckWithABodyGetsOneAnswer(t *testing.T) {
	url, _, _ := startAgent(t, testConfig(t, backend(t, always(hello))), nil)
	nc, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(timeout))
	body := strings.Repeat("x\n", 20000)
	fmt.Fprintf(nc, "POST /up HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	io.WriteString(nc, strings.Replace(readRequestWithin10s("1"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	answers := bufio.NewReader(nc)
	for n := range 2 {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", n, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusOK {
			t.Errorf("answer %d: %s", n, resp.Status)
		}
	}
}
