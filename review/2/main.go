// Command 2 shows a case of the review; claim.txt beside it says which.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"lemonrail/review/lab"
)

const (
	bodyBytes = 9 << 19 // 4.5 MiB
	requests  = 40
	gap       = 150 * time.Millisecond // between two requests
	deadline  = 1500 * time.Millisecond
	grace     = 500*time.Millisecond + 50*time.Millisecond // up to half a second after its time an answer only earns nothing
	watch     = 30 * time.Second                           // how long a client waits for an answer here, to see whether one comes at all
)

func main() { lab.Run("review/2", run) }

// result is what became of a request.
type result struct {
	id      string
	written time.Duration // from the first to the last byte; 0: not all was written
	after   time.Duration // from the last byte to the answer's last byte; 0: no answer
	status  string
}

// send sends a request with a long body on a connection of its own.
func send(l *lab.Lab, listen, id string) (r result, err error) {
	r.id = id
	nc, err := net.Dial("tcp4", listen)
	if err != nil {
		return r, err
	}
	defer nc.Close()
	began := time.Now()
	written := make(chan time.Time, 1)
	go func() {
		defer close(written)
		_, err := fmt.Fprintf(nc, "POST /alert-sub?key=%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Time-Left: %dm\r\nIdempotency-Key: %s%s\r\nContent-Length: %d\r\n\r\n",
			id, id, deadline.Milliseconds(), id, id, bodyBytes)
		part := make([]byte, 64<<10)
		for n := 0; err == nil && n < bodyBytes; n += len(part) {
			_, err = nc.Write(part)
		}
		if err == nil {
			l.Record("%s: last byte written", id)
			written <- time.Now()
		}
	}()
	nc.SetReadDeadline(began.Add(watch))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	answered := time.Now()
	if err != nil {
		r.status = err.Error()
		nc.Close()
	} else if r.status = resp.Status; resp.StatusCode == 200 && !strings.Contains(string(body), id) {
		r.status = "200 with a foreign body"
	}
	if at, ok := <-written; ok {
		r.written = at.Sub(began)
		if err == nil {
			r.after = max(answered.Sub(at), 1)
		}
	}
	l.Record("%s: %s, %v after its last byte", id, r.status, answered.Sub(began)-r.written)
	return r, nil
}

func run(l *lab.Lab) (violations []string, err error) {
	var hosts []lab.Host
	var backends []*lab.Backend
	for i := range 4 {
		b, err := l.NewBackend(fmt.Sprintf("s%d", i+1), 50*time.Millisecond)
		if err != nil {
			return nil, err
		}
		backends, hosts = append(backends, b), append(hosts, lab.NewHost(b.Name, b.Address(), []string{"gandhinagar", "vadodara"}[i%2]))
	}
	d, err := l.NewDiscovery(hosts...)
	if err != nil {
		return nil, err
	}
	config, err := lab.NewConfig("n0", d)
	if err != nil {
		return nil, err
	}
	if _, err := l.StartAgent(config, ""); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var all []result
	var failure error
	var tasks sync.WaitGroup
	for n := range requests {
		if n == requests/4 && l.Trouble {
			backends[0].Hang()
		}
		tasks.Go(func() {
			r, err := send(l, config.Listen, fmt.Sprintf("9b1f03aa5c7e%04x", n))
			mu.Lock()
			defer mu.Unlock()
			all = append(all, r)
			failure = errors.Join(failure, err)
		})
		time.Sleep(gap)
	}
	tasks.Wait()
	if failure != nil {
		return nil, failure
	}
	served := 0
	for _, r := range all {
		switch {
		case r.status == "200 OK":
			served++
		case strings.HasPrefix(r.status, "200"):
			violations = append(violations, r.id+": "+r.status)
		}
		if r.written > 0 && (r.after == 0 || r.after > deadline+grace) {
			what := fmt.Sprintf("an answer only after %v (%s)", r.after, r.status)
			if r.after == 0 {
				what = fmt.Sprintf("no answer within %v (%s)", watch, r.status)
			}
			violations = append(violations, fmt.Sprintf("%s: the agent had its last byte after %v, the client waits %v: %s", r.id, r.written.Round(time.Millisecond), deadline, what))
		}
	}
	if served < requests/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, requests)
	}
	return violations, nil
}
