package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"lemonrail/internal/scripted"
)

// Limits of the smallest agent that the platform runs, with the most descriptors.
const (
	smallMemoryMB    = 32
	manyDescriptors  = 1024
	crowdClients     = 700
	crowdTime        = 2 * time.Second
	usualClientPause = 20 * time.Millisecond
)

// crowdBehaviour is what each client of a crowd does on its connection.
type crowdBehaviour struct {
	name string
	play func(nc net.Conn, id string, stop <-chan struct{})
}

// crowdBehaviours are those of picture (a): clients that connect at once and stay.
func crowdBehaviours() []crowdBehaviour {
	head := func(method, path, id string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Time-Left: 3000m\r\nIdempotency-Key: k%s\r\n", method, path, id, id)
	}
	fields := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "%x:\r\n", i)
		}
		return b.String()
	}
	return []crowdBehaviour{
		{"silent", func(net.Conn, string, <-chan struct{}) {}},
		{"slow head", func(nc net.Conn, id string, stop <-chan struct{}) {
			text := head("GET", "/read", id) + "X-Fill: " + strings.Repeat("f", 14<<10)
			writeInParts(nc, text, 512, 50*time.Millisecond, stop)
		}},
		{"half a body", func(nc net.Conn, id string, _ <-chan struct{}) {
			io.WriteString(nc, head("POST", "/sub", id)+"Content-Length: 500000\r\n\r\n"+strings.Repeat("b", 200<<10))
		}},
		{"half a chunked body", func(nc net.Conn, id string, _ <-chan struct{}) {
			io.WriteString(nc, head("POST", "/sub", id)+"Transfer-Encoding: chunked\r\n\r\n40000\r\n"+strings.Repeat("b", 200<<10))
		}},
		{"slow body", func(nc net.Conn, id string, stop <-chan struct{}) {
			writeInParts(nc, head("POST", "/sub", id)+"Content-Length: 60000\r\n\r\n"+strings.Repeat("b", 60000), 2<<10, 40*time.Millisecond, stop)
		}},
		{"many short fields", func(nc net.Conn, id string, _ <-chan struct{}) {
			io.WriteString(nc, head("GET", "/read", id)+fields(2500)+"\r\n")
		}},
		{"many short fields, unfinished", func(nc net.Conn, id string, _ <-chan struct{}) {
			io.WriteString(nc, head("GET", "/read", id)+fields(2500))
		}},
		{"slow reader", func(nc net.Conn, id string, _ <-chan struct{}) {
			nc.(*net.TCPConn).SetReadBuffer(4 << 10)
			io.WriteString(nc, head("GET", "/read?long=1", id)+"\r\n")
		}},
		{"slow reader, no length", func(nc net.Conn, id string, _ <-chan struct{}) {
			nc.(*net.TCPConn).SetReadBuffer(4 << 10)
			io.WriteString(nc, head("GET", "/read?long=2", id)+"\r\n")
		}},
		{"slow reader, short answers", func(nc net.Conn, id string, _ <-chan struct{}) {
			nc.(*net.TCPConn).SetReadBuffer(4 << 10)
			for i := range 8 {
				io.WriteString(nc, head("GET", "/read?long=3", fmt.Sprint(id, "-", i))+"\r\n")
			}
		}},
		{"long heads, backend hangs", func(nc net.Conn, id string, _ <-chan struct{}) {
			io.WriteString(nc, head("GET", "/read?long=4", id)+"X-Fill: "+strings.Repeat("f", 12<<10)+"\r\n\r\n")
		}},
		{"bodies, backend hangs", func(nc net.Conn, id string, _ <-chan struct{}) {
			io.WriteString(nc, head("POST", "/sub?long=4", id)+"Content-Length: 60000\r\n\r\n"+strings.Repeat("b", 60000))
		}},
		{"pipelined", func(nc net.Conn, id string, _ <-chan struct{}) {
			var b strings.Builder
			for i := range 200 {
				b.WriteString(head("GET", "/read", fmt.Sprint(id, "-", i)) + "\r\n")
			}
			io.WriteString(nc, b.String())
		}},
	}
}

// writeInParts writes text in parts of that many bytes, with a pause between two.
func writeInParts(nc net.Conn, text string, bytes int, pause time.Duration, stop <-chan struct{}) {
	for len(text) > 0 {
		n := min(bytes, len(text))
		if _, err := io.WriteString(nc, text[:n]); err != nil {
			return
		}
		text = text[n:]
		select {
		case <-time.After(pause):
		case <-stop:
			return
		}
	}
}

// longAnswerBackend answers at once: with 4 MB to requests with the query long=1 or, without a length, long=2, with 60 kB to
// those with long=3, and never to those with long=4.
func longAnswerBackend(t *testing.T) string {
	const size = 4 << 20
	part := strings.Repeat("x", 64<<10)
	return scripted.Backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _, err := scripted.ReadRequest(r)
			if err != nil {
				return
			}
			switch req.URL.Query().Get("long") {
			case "3":
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 60000, part[:60000])
				continue
			case "4":
				io.Copy(io.Discard, r)
				return
			case "1":
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
			case "2":
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			default:
				io.WriteString(c, scripted.HelloResponse)
				continue
			}
			for range size / len(part) {
				if _, err := io.WriteString(c, part); err != nil {
					return
				}
			}
			if req.URL.Query().Get("long") == "2" {
				return
			}
		}
	})
}

// Guards against a process over its memory limit while hundreds of clients are connected that write or read slowly, stop
// half way, or send heads of very many short fields.
func TestCrowdStaysWithinMemory(t *testing.T) {
	for _, behaviour := range crowdBehaviours() {
		t.Run(behaviour.name, func(t *testing.T) {
			p := newPlatform(t, longAnswerBackend(t), longAnswerBackend(t))
			p.env = []string{"GOMAXPROCS=1"}
			p.config = p.configWith(`"limits":{"memory_mb":64,"sockets":384}`, fmt.Sprintf(`"limits":{"memory_mb":%d,"sockets":%d}`, smallMemoryMB, manyDescriptors))
			agent := p.start(p.config).awaitReady()
			stop := make(chan struct{})
			var crowd sync.WaitGroup
			for i := range crowdClients {
				crowd.Go(func() { p.playCrowdClient(behaviour, fmt.Sprintf("crowd-%d", i), stop) })
			}
			statuses := p.countStatuses(crowdTime)
			close(stop)
			crowd.Wait()
			peak := peakResidentMB(t, agent.cmd.Process.Pid)
			t.Logf("peak %d MB of %d, usual requests: %v", peak, smallMemoryMB, statuses)
			if peak > smallMemoryMB {
				t.Errorf("%d MB were resident, the limit is %d", peak, smallMemoryMB)
			}
			delete(statuses, "200")
			delete(statuses, "503")
			if len(statuses) > 0 {
				t.Errorf("usual requests were neither served nor refused: %v", statuses)
			}
		})
	}
}

// playCrowdClient keeps one client of a crowd connected until stop is closed: when its connection ends, it comes back.
func (p *platform) playCrowdClient(behaviour crowdBehaviour, id string, stop <-chan struct{}) {
	for n := 0; ; n++ {
		if nc, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://")); err == nil {
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				behaviour.play(nc, fmt.Sprint(id, "-", n), stop)
				if strings.HasPrefix(behaviour.name, "slow reader") {
					<-stop
					return
				}
				io.Copy(io.Discard, nc)
			}()
			select {
			case <-ended:
			case <-stop:
			}
			nc.Close()
			<-ended
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// countStatuses sends usual requests for a while, one after the other and each on a connection of its own. It returns the
// number of answers by status, and of errors by their text.
func (p *platform) countStatuses(d time.Duration) map[string]int {
	statuses := map[string]int{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(usualClientPause) {
		statuses[p.readWithin(fmt.Sprint("usual-", requestCount.Add(1)), 3*time.Second)]++
	}
	return statuses
}
