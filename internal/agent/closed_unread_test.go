package agent

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against requests that are sent on after their client has closed its connection with much of what it sent still
// unread.
func TestRequestsOfAClosedConnectionAreNotSentOn(t *testing.T) {
	const grace = 150 * time.Millisecond // the pages' 0.1 s and the 50 ms by which limits on sockets are longer
	for _, sent := range []int{50 << 10, 200 << 10, 400 << 10, 2 << 20} {
		for _, reads := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d KiB, reads %v", sent>>10, reads), func(t *testing.T) {
				var mu sync.Mutex
				var begun []time.Time
				addr := backend(t, func(c net.Conn, r *bufio.Reader) {
					for {
						if _, _, err := receive(r); err != nil {
							return
						}
						mu.Lock()
						begun = append(begun, time.Now())
						mu.Unlock()
						time.Sleep(10 * time.Millisecond)
						io.WriteString(c, hello)
					}
				})
				url, _, _ := startAgent(t, testConfig(t, addr), nil)
				nc, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				if reads {
					go io.Copy(io.Discard, nc)
				}
				var requests bytes.Buffer
				for i := 0; requests.Len() < sent; i++ {
					requests.WriteString(readRequestWithin10s(fmt.Sprint("d-", i)))
				}
				nc.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
				nc.Write(requests.Bytes()) // what the agent doesn't take stays unsent
				nc.Close()
				closed := time.Now()
				time.Sleep(time.Second)
				mu.Lock()
				defer mu.Unlock()
				late := 0
				for _, at := range begun {
					if at.Sub(closed) > grace {
						late++
					}
				}
				if late > 0 {
					t.Errorf("%d of %d requests began later than %v after the close", late, len(begun), grace)
				}
			})
		}
	}
}
