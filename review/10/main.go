// Command 10 is a case of the second review: claim.txt has the claim.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lemonrail/review/lab2"
)

const (
	sockets  = 512                    // half of 1,024
	memory   = 96                     // half of 192 MB
	crowd    = 1500                   // connections that never finish a request
	slack    = 150 * time.Millisecond // for the time that a backend is told
	deadline = 300 * time.Millisecond // how long the true clients wait
	grace    = 550 * time.Millisecond // half a second, and 50 ms on sockets
	patience = 3 * time.Second        // for which the case watches a connection
)

func main() {
	c := lab2.Begin()
	var mu sync.Mutex
	sent := map[string]time.Time{}
	type excess struct {
		told, left time.Duration
	}
	var broken []excess
	attempts := 0
	serve := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		told, _ := strconv.ParseFloat(strings.TrimSuffix(r.Header.Get("X-Time-Left"), "u"), 64)
		id := r.Header.Get("X-Correlation-Id")
		mu.Lock()
		attempts++
		left := sent[id].Add(deadline).Sub(now)
		if t := time.Duration(told) * time.Microsecond; t > left+slack {
			broken = append(broken, excess{t, left})
		}
		mu.Unlock()
		time.Sleep(150 * time.Millisecond)
		io.WriteString(w, "served "+id)
	})
	var hosts []lab2.Host
	for i := range 4 {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Need(err, "backend")
		go http.Serve(ln, serve)
		hosts = append(hosts, lab2.Host{Host: fmt.Sprint("s", i), Dial: ln.Addr().String(), Site: "gandhinagar", Class: "fast-4", Health: "ready", Share: 1})
	}
	d := c.StartDiscovery(hosts)
	listen := c.FreeAddr()
	config := c.Write("n0.json", c.AgentConfig("n0", listen, d.Addr, hosts, lab2.Settings(), memory, sockets))
	agent := c.Start("agent", fmt.Sprintf("ulimit -n %d; ", sockets)+c.RunLine(""), "LB_CONFIG="+config)
	c.WaitUp(listen)
	stop := make(chan struct{})
	if c.Trouble {
		for range crowd {
			go func() {
				for {
					nc, err := net.DialTimeout("tcp4", listen, 3*time.Second)
					if err == nil {
						io.WriteString(nc, "POST /alert-sub HTTP/1.1\r\nHost: api.internal\r\n")
						nc.SetReadDeadline(time.Now().Add(5 * time.Second))
						io.Copy(io.Discard, nc)
						nc.Close()
					}
					select {
					case <-stop:
						return
					case <-time.After(time.Second):
					}
				}
			}()
		}
		time.Sleep(time.Second)
	}
	results := map[string]int{}
	var late []string
	var wg sync.WaitGroup
	for i := range 1500 {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", i+1)
			nc, err := net.DialTimeout("tcp4", listen, time.Second)
			if err != nil {
				return
			}
			defer nc.Close()
			mu.Lock()
			sent[id] = time.Now()
			mu.Unlock()
			fmt.Fprintf(nc, "POST /alert-sub HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\nX-Correlation-Id: %s\r\nX-Time-Left: %dm\r\nIdempotency-Key: k%s\r\nContent-Length: 1\r\n\r\nx", id, deadline.Milliseconds(), id)
			written := time.Now() // the last byte; the client stays and takes what comes
			mu.Lock()
			sent[id] = written
			mu.Unlock()
			nc.SetReadDeadline(written.Add(patience))
			var raw []byte
			took, err := time.Duration(0), error(nil) // until the last byte of the answer
			for part := make([]byte, 1024); err == nil; {
				var n int
				if n, err = nc.Read(part); n > 0 {
					raw, took = append(raw, part[:n]...), time.Since(written)
				}
			}
			line, _, _ := strings.Cut(string(raw), "\r\n")
			if len(raw) == 0 {
				line = "no answer" // a connection that is shut unread: allowed in a crowd
			}
			mu.Lock()
			defer mu.Unlock()
			results[line]++
			// Only answers of backends count: these requests were read, taken and sent on. A connection may be shut unread in
			// a crowd, so that a late 503 is not judged.
			if strings.Contains(line, " 200 ") && took > deadline+grace {
				late = append(late, fmt.Sprintf("request %s: served after %v, %v after its time", id, took, took-deadline))
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	close(stop)
	if agent.Wait(0) {
		c.End(lab2.Broken, "the agent ended by itself")
	}
	mu.Lock()
	defer mu.Unlock()
	worst := time.Duration(0)
	for _, b := range broken {
		worst = max(worst, b.told-b.left)
	}
	for _, line := range late {
		c.Logf("%s", line)
	}
	c.Logf("answers %v, %d attempts", results, attempts)
	c.Logf("not judged: %d attempts were told over %v more than the client had left, up to %v", len(broken), slack, worst)
	if len(late) > 0 {
		c.End(lab2.Broken, "%d of %d served requests were answered later than half a second after their time", len(late), results["HTTP/1.1 200 OK"])
	}
	c.End(lab2.Held, "%d requests, none answered too late", len(sent))
}
