package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"lemonrail/internal/scripted"
)

// peakResidentMB returns the peak resident memory of a process.
func peakResidentMB(t *testing.T, pid int) int { return residentMB(t, pid, "VmHWM") }

// residentMB returns a process's resident memory: now (field VmRSS) or at its peak (VmHWM).
func residentMB(t *testing.T, pid int, field string) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Skip("reads /proc")
	}
	m := regexp.MustCompile(field + `:\s+(\d+) kB`).FindSubmatch(raw)
	if m == nil {
		t.Skip("/proc has no resident size")
	}
	kb, _ := strconv.Atoi(string(m[1]))
	return kb / 1024
}

// Answers and request bodies of 32 MB each, together twenty times the process's memory limit, are in flight
// at the same time. Each of them arrives whole, and the process stays within its memory limit.
func TestBulkWithinMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("moves 1.3 GB over loopback")
	}
	const size, requestsEach, memoryLimitMB = 32 << 20, 20, 64
	var reachedPause sync.WaitGroup
	reachedPause.Add(2 * requestsEach)
	part := strings.Repeat("x", 64<<10)
	p := newPlatform(t, scripted.Backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.Method == http.MethodPost {
				n, err := io.Copy(io.Discard, req.Body)
				if err != nil || n != size {
					t.Errorf("a body of %d bytes, %v", n, err)
				}
				io.WriteString(c, scripted.HelloResponse)
				continue
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
			for range size / len(part) {
				if _, err := io.WriteString(c, part); err != nil {
					return
				}
			}
		}
	}))
	// The test is about memory, so aims and deadlines are set to 60 s: a busy machine can't move this much
	// data within an aim of 1 s, and the agent rightly refuses requests that wait for longer.
	for range 2 {
		p.config = p.configWith(`"AimMs":1000,"DeadlineMs":3000`, `"AimMs":60000,"DeadlineMs":60000`)
	}
	agent := p.start(p.config).awaitReady()
	var clients sync.WaitGroup
	allUnderWay := make(chan struct{})
	for i := range 2 * requestsEach {
		clients.Go(func() {
			method, path, body := http.MethodGet, "/read", io.Reader(nil)
			if i%2 == 1 {
				method, path, body = http.MethodPost, "/sub", &pausingBody{remaining: size, resume: allUnderWay, reachedPause: &reachedPause}
			}
			req, err := http.NewRequest(method, p.url+path, body)
			if err != nil {
				t.Error(err)
				return
			}
			if i%2 == 1 {
				req.ContentLength = size
				req.Header.Set("Idempotency-Key", fmt.Sprint("k", i))
			}
			req.Header.Set("X-Correlation-Id", fmt.Sprint("bulk-", i))
			req.Header.Set("X-Time-Left", "60000m")
			resp, err := (&http.Client{Timeout: 3 * scripted.WaitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
			if err != nil {
				t.Error(err)
				if i%2 == 0 {
					reachedPause.Done()
				}
				return
			}
			defer resp.Body.Close()
			if i%2 == 0 { // this client doesn't read its answer until all transfers have begun
				reachedPause.Done()
				<-allUnderWay
			}
			n, err := io.Copy(io.Discard, resp.Body)
			if want := map[bool]int64{true: size, false: 5}[i%2 == 0]; err != nil || n != want || resp.StatusCode != http.StatusOK {
				t.Errorf("%s: %s, %d bytes, %v", method, resp.Status, n, err)
			}
		})
	}
	reachedPause.Wait()
	close(allUnderWay)
	clients.Wait()
	peak := peakResidentMB(t, agent.cmd.Process.Pid)
	t.Logf("peak %d MB of %d", peak, memoryLimitMB)
	if peak > memoryLimitMB {
		t.Errorf("%d MB were resident, the limit is %d", peak, memoryLimitMB)
	}
}

// pausingBody is a request body that pauses after its first 128 KiB until the channel resume is closed.
type pausingBody struct {
	remaining    int // bytes not yet read
	sent         int // bytes read so far
	resume       chan struct{}
	reachedPause *sync.WaitGroup // counted down when the pause begins
	paused       bool            // the pause has begun
}

func (h *pausingBody) Read(p []byte) (int, error) {
	if h.remaining == 0 {
		return 0, io.EOF
	}
	if h.sent > 128<<10 && !h.paused {
		h.paused = true
		h.reachedPause.Done()
		<-h.resume
	}
	n := min(len(p), h.remaining)
	for i := range p[:n] {
		p[i] = 'y'
	}
	h.remaining -= n
	h.sent += n
	return n, nil
}
