package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"lemonrail/balance"
	"lemonrail/internal/http1"
)

// A connection that breaks beside one that stands is no end of the process; one that breaks with all
// the others may be.
func TestStandingConnectionsAreTold(t *testing.T) {
	for _, all := range []bool{false, true} {
		t.Run(fmt.Sprint("all break ", all), func(t *testing.T) {
			u := newTestUpstream(t)
			var mu sync.Mutex
			var open []net.Conn
			var both sync.WaitGroup // Guards against a second request on the first one's connection.
			both.Add(2)
			addr := backend(t, func(c net.Conn, r *bufio.Reader) {
				mu.Lock()
				open = append(open, c)
				mu.Unlock()
				receive(r)
				both.Done()
				both.Wait()
				io.WriteString(c, hello)
				if _, _, err := receive(r); err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				for _, o := range open {
					if all || o == c {
						o.(*net.TCPConn).SetLinger(0)
						o.Close()
					}
				}
			})
			var two sync.WaitGroup
			for range 2 {
				two.Go(func() {
					if r := attemptOf(t, u, addr, read); r.Result != balance.OK {
						t.Errorf("got %v", r.Result)
					}
				})
			}
			two.Wait()
			r := attemptOf(t, u, addr, read)
			if r.Result != balance.Reset || r.Standing == all {
				t.Errorf("got %v, standing %v", r.Result, r.Standing)
			}
		})
	}
}

// Answers over 64 KiB come in parts: each part has its time, not the whole.
func TestLongAnswerInPartsIsServed(t *testing.T) {
	u := newTestUpstream(t)
	part := strings.Repeat("x", bodyPart)
	const parts = 25
	addr := backend(t, func(c net.Conn, r *bufio.Reader) {
		receive(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", parts*len(part))
		for range parts {
			io.WriteString(c, part)
		}
		receive(r)
	})
	r := attemptOf(t, u, addr, read)
	if r.Result != balance.OK || string(r.Payload.(*http1.Answer).Body) != strings.Repeat(part, parts) {
		t.Errorf("got %v with %d bytes, want %d", r.Result, len(r.Payload.(*http1.Answer).Body), parts*len(part))
	}
}

// What one answer may take follows the memory.
func TestLongestAnswerFollowsMemory(t *testing.T) {
	for memory, want := range map[int64]int64{0: mostReply, 4 << 20: leastReply, 32 << 20: 256 << 10, 192 << 20: mostReply} {
		if u := New(&balance.Settings{}, &Sockets{}, memory, quiet); u.maxReply != want {
			t.Errorf("%d bytes of memory: %d, want %d", memory, u.maxReply, want)
		}
	}
}
