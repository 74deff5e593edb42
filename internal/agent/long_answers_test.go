package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

func startRead(t *testing.T, url, id string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url+"/read", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Time-Left", "10000m")
	resp, err := newClient(t).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// The first bytes of a long answer reach the client before the backend has sent the rest, and the whole answer arrives
// unchanged, whether a length, chunks or a close mark its end.
func TestLongAnswerIsStreamed(t *testing.T) {
	const size = 3 << 20
	whole := strings.Repeat("0123456789abcdef", size/16)
	for _, form := range []string{"length", "chunks", "close"} {
		t.Run(form, func(t *testing.T) {
			more := make(chan struct{})
			addr := backend(t, func(c net.Conn, r *bufio.Reader) {
				if _, _, err := receive(r); err != nil {
					return
				}
				part := func(text string) {
					if form == "chunks" {
						fmt.Fprintf(c, "%x;note=1\r\n%s\r\n", len(text), text)
					} else {
						io.WriteString(c, text)
					}
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\n"+map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", size),
					"chunks": "Transfer-Encoding: chunked\r\n"}[form]+"\r\n")
				part(whole[:100<<10])
				<-more
				part(whole[100<<10:])
				if form == "chunks" {
					io.WriteString(c, "0\r\nX-Sum: 1\r\n\r\n")
				}
			})
			url, _, _ := startAgent(t, testConfig(t, addr), nil)
			resp := startRead(t, url, "1")
			first := make([]byte, 64<<10)
			if _, err := io.ReadFull(resp.Body, first); err != nil {
				t.Fatal(err)
			}
			close(more)
			rest, err := io.ReadAll(resp.Body)
			if err != nil || string(first)+string(rest) != whole {
				t.Errorf("%d bytes of %d, %v", len(first)+len(rest), size, err)
			}
		})
	}
}

// A long answer that the backend truncates is truncated for the client too.
func TestLongAnswerTruncated(t *testing.T) {
	for _, head := range []string{"Content-Length: 3000000", "Transfer-Encoding: chunked"} {
		addr := backend(t, func(c net.Conn, r *bufio.Reader) {
			receive(r)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", head)
			if head[0] == 'T' {
				fmt.Fprintf(c, "%x\r\n", 3000000)
			}
			io.WriteString(c, strings.Repeat("x", 200<<10))
		})
		url, _, _ := startAgent(t, testConfig(t, addr), nil)
		resp := startRead(t, url, "1")
		if got, err := io.ReadAll(resp.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: %d bytes, %v", head, len(got), err)
		}
	}
}
