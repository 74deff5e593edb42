package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lemonrail/internal/scripted"
)

// answerTimes makes the flood's test check the times of answers against the operators' bound, which needs an idle machine.
var answerTimes = flag.Bool("answer-times", false, "check the times of answers; needs an idle machine")

const (
	floodClients     = 6  // clients that send at full speed, each on one connection
	usualClients     = 8  // clients beside them that wait for their answers
	requestsOfEach   = 50 // by each usual client
	localAnswerBurst = 256
	localAnswersPerS = 1000 // beyond the burst
)

// floodTraffic counts what the clients at full speed have sent and got.
type floodTraffic struct{ sent, answers atomic.Int64 }

// countAnswers counts the answers that arrive on a connection, until it ends.
func (f *floodTraffic) countAnswers(nc net.Conn) {
	lines := bufio.NewScanner(nc)
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("HTTP/1.1 ")) {
			f.answers.Add(1)
		}
	}
}

// floodRequests are the requests of clients that send at full speed: n is new with each of them.
func floodRequests() map[string]func(n int64) string {
	return map[string]func(n int64) string{
		"ready": func(int64) string { return "GET /up HTTP/1.1\r\nHost: x\r\n\r\n" },
		"unsound": func(n int64) string {
			return fmt.Sprintf("GET /read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: u%d\r\nX-Time-Left: soon\r\n\r\n", n)
		},
		"unknown classes": func(n int64) string {
			return fmt.Sprintf("GET /class-%d HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: c%d\r\nX-Time-Left: 100m\r\n\r\n", n, n)
		},
		"one id": func(int64) string {
			return "GET /read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: same\r\nX-Time-Left: 100m\r\n\r\n"
		},
		"new ids and keys": func(n int64) string {
			return fmt.Sprintf("GET /read?key=%d HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: n%0200d\r\nX-Time-Left: 100m\r\n\r\n", n, n)
		},
		"no line ends": func(int64) string { return "\r\n\r\n\r\n\r\n" },
	}
}

// flood writes requests on one connection at full speed until stop is closed, without waiting for the answers, which it
// discards. When its connection ends it opens another one.
func (p *platform) flood(request func(n int64) string, traffic *floodTraffic, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		nc, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		if err != nil {
			continue
		}
		go traffic.countAnswers(nc)
		ended := make(chan struct{})
		go func() {
			select {
			case <-stop:
			case <-ended:
			}
			nc.Close()
		}()
		for err == nil {
			var batch strings.Builder
			for range 50 {
				batch.WriteString(request(traffic.sent.Add(1)))
			}
			_, err = io.WriteString(nc, batch.String())
		}
		close(ended)
	}
}

// Guards against late answers to other clients while some send at full speed what costs no backend anything.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	wait, lateBy := 3*time.Second, scripted.WaitTimeout
	if *answerTimes {
		wait, lateBy = 80*time.Millisecond, 500*time.Millisecond
	}
	for kind, request := range floodRequests() {
		t.Run(kind, func(t *testing.T) {
			slowBackend := func(c net.Conn, r *bufio.Reader) {
				for {
					if _, _, err := scripted.ReadRequest(r); err != nil {
						return
					}
					time.Sleep(5 * time.Millisecond)
					io.WriteString(c, scripted.HelloResponse)
				}
			}
			p := newPlatform(t, scripted.Backend(t, slowBackend), scripted.Backend(t, slowBackend))
			p.env = []string{"GOMAXPROCS=1"}
			agent := p.start(p.config).awaitReady()
			stop := make(chan struct{})
			var flood sync.WaitGroup
			var traffic floodTraffic
			started := time.Now()
			for range floodClients {
				flood.Go(func() { p.flood(request, &traffic, stop) })
			}
			statuses, longest := p.playUsualClients(wait)
			answers, elapsed, peak := traffic.answers.Load(), time.Since(started), peakResidentMB(t, agent.cmd.Process.Pid)
			close(stop)
			flood.Wait()
			t.Logf("flood: %d sent, %d answered in %v; usual clients: %v, longest %v; peak %d MB", traffic.sent.Load(), answers, elapsed, statuses, longest, peak)
			valid := kind == "new ids and keys" // such a flood competes for the backends too, so that some requests may be refused
			if most := localAnswerBurst + int64(elapsed.Seconds()*localAnswersPerS) + floodClients; answers > most && !valid {
				t.Errorf("%d requests of the flood were answered in %v, at most %d may be", answers, elapsed, most)
			}
			if longest > wait+lateBy {
				t.Errorf("an answer came after %v, its client waits %v", longest, wait)
			}
			all := usualClients * requestsOfEach
			if statuses["200"] < all && !(valid && statuses["200"]+statuses["503"] == all) {
				t.Errorf("of %d usual requests %v", all, statuses)
			}
			if peak > floodMemoryMB {
				t.Errorf("%d MB were resident, the limit is %d", peak, floodMemoryMB)
			}
		})
	}
}

const floodMemoryMB = 64 // as newPlatform configures it

// playUsualClients plays clients that wait that long for each answer. It returns the number of answers by status and the
// longest time that one took.
func (p *platform) playUsualClients(wait time.Duration) (statuses map[string]int, longest time.Duration) {
	var mu sync.Mutex
	var usual sync.WaitGroup
	statuses = map[string]int{}
	for i := range usualClients {
		usual.Go(func() {
			for n := range requestsOfEach {
				start := time.Now()
				got := p.readWithin(fmt.Sprintf("usual-%d-%d", i, n), wait)
				mu.Lock()
				statuses[got]++
				longest = max(longest, time.Since(start))
				mu.Unlock()
				time.Sleep(usualClientPause)
			}
		})
	}
	usual.Wait()
	return statuses, longest
}

// readWithin sends a request on a connection of its own and returns the status of its answer, or the error. A connection that
// the agent closes before it has read anything crosses the request, which is sent once more (PROTOCOL).
func (p *platform) readWithin(id string, wait time.Duration) (result string) {
	for range 2 {
		answer, err := p.exchangeOnce(fmt.Sprintf("GET /read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Time-Left: %dm\r\nConnection: close\r\n\r\n", id, wait.Milliseconds()))
		if len(answer) >= len("HTTP/1.1 200") {
			return string(answer[9:12])
		}
		result = fmt.Sprintf("%d bytes of an answer, %v", len(answer), err)
	}
	return result
}

// exchangeOnce writes a request on a connection of its own and returns all that comes back.
func (p *platform) exchangeOnce(request string) ([]byte, error) {
	nc, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	if err != nil {
		return nil, err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(scripted.WaitTimeout))
	if _, err := io.WriteString(nc, request); err != nil {
		return nil, err
	}
	return io.ReadAll(nc)
}
