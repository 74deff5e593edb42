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

// slowReadingBackend reads requests at that many bytes per second, and answers those that it has read whole.
func slowReadingBackend(t *testing.T, rate int) string {
	const pause = 20 * time.Millisecond
	return backend(t, func(c net.Conn, _ *bufio.Reader) {
		c.(*net.TCPConn).SetReadBuffer(16 << 10)
		part := make([]byte, rate*int(pause)/int(time.Second))
		for {
			if _, err := c.Read(part); err != nil {
				return
			}
			time.Sleep(pause)
		}
	})
}

// Guards against an answer that comes long after its client's time, where the backend reads a large request slowly and the
// client has sent all of it.
func TestSlowlyReadRequestIsAnsweredInTime(t *testing.T) {
	const wait, lateBy = 500 * time.Millisecond, 500 * time.Millisecond
	for _, size := range []int{200 << 10, 800 << 10, 1500 << 10, 3 << 20, 6 << 20} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d KiB, chunked %v", size>>10, chunked), func(t *testing.T) {
				t.Parallel()
				cfg := testConfig(t, slowReadingBackend(t, 400_000))
				cfg.MemoryMB = 32
				url, _, _ := startAgent(t, cfg, nil)
				nc, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				defer nc.Close()
				nc.SetDeadline(time.Now().Add(timeout))
				body := strings.Repeat("b", size)
				framing := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body)
				if chunked {
					framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
				}
				fmt.Fprintf(nc, "POST /sub HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 1\r\nIdempotency-Key: k\r\nX-Time-Left: %dm\r\n%s", wait.Milliseconds(), framing)
				written := time.Now()
				resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
				if err != nil {
					t.Fatalf("%v after %v", err, time.Since(written))
				}
				io.Copy(io.Discard, resp.Body)
				t.Logf("%s after %v", resp.Status, time.Since(written))
				if took := time.Since(written); took > wait+lateBy {
					t.Errorf("%s after %v, the client waits %v", resp.Status, took, wait)
				}
			})
		}
	}
}
