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

// peakMB is the most memory that a process has had resident.
func peakMB(t *testing.T, pid int) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Skip("reads /proc")
	}
	m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(raw)
	if m == nil {
		t.Skip("/proc tells no peak")
	}
	kb, _ := strconv.Atoi(string(m[1]))
	return kb / 1024
}

// Answers and bodies of 32 MB, together twenty times the memory told, are all on their way at one time: each comes
// whole, and the process keeps to its memory.
func TestBulkWithinMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("moves 1.3 GB over loopback")
	}
	const size, each, told = 32 << 20, 20, 64
	var arrived sync.WaitGroup
	arrived.Add(2 * each)
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
				io.WriteString(c, scripted.Hello)
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
	// It is about memory: within an aim of a second a busy machine is no match for what is moved here, and requests that wait
	// for longer than that are refused, as they should be.
	for range 2 {
		p.config = p.rewritten(`"AimMs":1000,"DeadlineMs":3000`, `"AimMs":60000,"DeadlineMs":60000`)
	}
	agent := p.start(p.config).ready()
	var all sync.WaitGroup
	underWay := make(chan struct{})
	for i := range 2 * each {
		all.Go(func() {
			method, path, body := http.MethodGet, "/read", io.Reader(nil)
			if i%2 == 1 {
				method, path, body = http.MethodPost, "/sub", &held{left: size, until: underWay, arrived: &arrived}
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
			resp, err := (&http.Client{Timeout: 3 * scripted.Patience, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
			if err != nil {
				t.Error(err)
				if i%2 == 0 {
					arrived.Done()
				}
				return
			}
			defer resp.Body.Close()
			if i%2 == 0 { // holds the rest back until all are under way
				arrived.Done()
				<-underWay
			}
			n, err := io.Copy(io.Discard, resp.Body)
			if want := map[bool]int64{true: size, false: 5}[i%2 == 0]; err != nil || n != want || resp.StatusCode != http.StatusOK {
				t.Errorf("%s: %s, %d bytes, %v", method, resp.Status, n, err)
			}
		})
	}
	arrived.Wait()
	close(underWay)
	all.Wait()
	peak := peakMB(t, agent.cmd.Process.Pid)
	t.Logf("peak %d MB of %d", peak, told)
	if peak > told {
		t.Errorf("%d MB were resident, %d are told", peak, told)
	}
}

// held is a body that stops after its first 128 KiB until all others are as far.
type held struct {
	left    int
	sent    int
	until   chan struct{}
	arrived *sync.WaitGroup
	waited  bool
}

func (h *held) Read(p []byte) (int, error) {
	if h.left == 0 {
		return 0, io.EOF
	}
	if h.sent > 128<<10 && !h.waited {
		h.waited = true
		h.arrived.Done()
		<-h.until
	}
	n := min(len(p), h.left)
	for i := range p[:n] {
		p[i] = 'y'
	}
	h.left -= n
	h.sent += n
	return n, nil
}
