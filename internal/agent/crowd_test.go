package agent

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
)

// Clients that never finish their bodies don't keep requests out whose bodies have come whole: these were refused while as
// many bodies were being read as the limit allows.
func TestWholeBodiesPassUnfinishedOnes(t *testing.T) {
	const connections = 12 // half of them may be reading a body
	c := newClientMix(t)
	cfg := testConfig(t, c.backend(t, 10))
	cfg.Sockets = reservedSockets + 4*connections/3
	base, _, _ := startAgent(t, cfg, stepFunc(sendAll))
	head := func(id string, length int) string {
		return fmt.Sprintf("POST /sub HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nX-Correlation-Id: %s\r\nX-Time-Left: 10000m\r\nContent-Length: %d\r\n\r\n", id, length)
	}
	answers := make(chan int, connections)
	for i := range connections/2 + 1 {
		nc := dial(t, base)
		io.WriteString(nc, head(fmt.Sprint("unfinished-", i), 10)+"part")
		go func() {
			status := 0
			if resp, err := http.ReadResponse(bufio.NewReader(nc), nil); err == nil {
				status = resp.StatusCode
			}
			answers <- status
		}()
	}
	if status := await(t, answers); status != http.StatusServiceUnavailable { // beyond the limit: all others are being read
		t.Fatalf("an unfinished body beyond the limit got %d", status)
	}
	for i, body := range []string{"x", "0123456789"} {
		sound := dial(t, base)
		io.WriteString(sound, head(fmt.Sprint("sound-", i), len(body))+body)
		if resp, err := http.ReadResponse(bufio.NewReader(sound), nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("a whole body got %v, %v", resp, err)
		}
	}
}
