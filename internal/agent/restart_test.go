package agent

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// failingDiscovery is a discovery whose calls fail until it recovers: drawn at random, they are reset, get a 503, hang or are
// truncated; if slow is set, all are answered very slowly. After that it answers; if subscribe is set, one call at a time.
type failingDiscovery struct {
	address   string
	list      string // answer to each call once it has recovered: a list in discovery's format
	mu        sync.Mutex
	rng       *rand.Rand // decides how each call fails
	recovered bool
	callSlot  sync.Mutex // held by the call that is being processed
	subscribe bool       // agents ask for lists: calls are processed one at a time
	slow      bool       // until it recovers, answers begin after 1 s and come byte by byte
}

func newFailingDiscovery(t *testing.T, seed uint64, subscribe, slow bool, list string) *failingDiscovery {
	d := &failingDiscovery{rng: rand.New(rand.NewPCG(seed, 1)), subscribe: subscribe, slow: slow, list: list + "\n"}
	d.address = backend(t, d.serve)
	return d
}

// recover makes the discovery answer all calls from now on.
func (d *failingDiscovery) recover() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recovered = true
}

const subscribeCallTime = 20 * time.Millisecond // processing time of a call if subscribe is set

func (d *failingDiscovery) serve(c net.Conn, r *bufio.Reader) {
	d.mu.Lock()
	up, way, wait := d.recovered, d.rng.IntN(5), time.Duration(d.rng.Int64N(int64(time.Second)))
	d.mu.Unlock()
	if _, err := http.ReadRequest(r); err != nil {
		return
	}
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	gone := make(chan struct{})
	go func() {
		io.Copy(io.Discard, r)
		close(gone)
	}()
	write := func(text string) bool {
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		return err == nil
	}
	switch {
	case up:
		if d.subscribe {
			d.callSlot.Lock()
			time.Sleep(subscribeCallTime)
			d.callSlot.Unlock()
		}
		io.WriteString(c, head)
		for text := d.list; write(text); text = "\n" {
			time.Sleep(2 * time.Second)
		}
		return
	case d.slow:
		time.Sleep(time.Second)
		io.WriteString(c, head)
		for i := 0; i < len(d.list)/2 && write(d.list[i:i+1]); i++ {
			time.Sleep(20 * time.Millisecond)
		}
	case way == 0: // a reset
		return
	case way == 1:
		time.Sleep(wait)
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	case way == 2:
		io.WriteString(c, head)
	case way == 3:
		io.WriteString(c, head)
		write(d.list[:len(d.list)/2])
	}
	<-gone
}

// fleetSize returns how many processes TestMassRestart runs: FLEET, from 10 to 200; default 50.
func fleetSize(t *testing.T) int {
	text := os.Getenv("FLEET")
	if text == "" {
		return 50
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 10 || n > 200 {
		t.Fatalf("FLEET: %q is not within 10 and 200", text)
	}
	return n
}

// Nine in ten processes of a fleet are killed and restarted at once, while discovery is failing, slow or at its limit of
// connections, and lists are pushed or asked for. Nine in ten of the restarted ones are ready within 10 s. Once discovery
// can be reached again, with a changed list, each agent has that list within 6 s, however many calls have failed before.
func TestMassRestart(t *testing.T) {
	const readyWithin, updatedWithin = 10 * time.Second, 6 * time.Second
	n := fleetSize(t)
	known := backend(t, always(hello))
	list := fullListText(77, known, backend(t, always(hello)))

	type kind struct {
		name      string
		subscribe bool
		discovery *failingDiscovery
		full      *lateListener // a discovery that is at its limit of connections until it is opened; nil: discovery is used
	}
	var kinds []kind
	for i, subscribe := range []bool{false, true} {
		what := []string{"pushed", "asked for"}[i]
		failing, slow := newFailingDiscovery(t, uint64(i), subscribe, false, list), newFailingDiscovery(t, uint64(i), subscribe, true, list)
		full := newFailingDiscovery(t, uint64(i), subscribe, false, list)
		full.recover()
		kinds = append(kinds, kind{what + ", failing", subscribe, failing, nil}, kind{what + ", slow", subscribe, slow, nil},
			kind{what + ", full", subscribe, nil, newLateListener(t, full.serve)})
	}
	var fleet []*agentProcess
	for i := range n {
		k := kinds[i%len(kinds)]
		p := newAgentProcess(t, fmt.Sprintf("n%d (%s)", i, k.name))
		address := ""
		if k.full != nil {
			address = k.full.address
		} else {
			address = k.discovery.address
		}
		text := strings.Replace(configJSON(address, "", known), `"Balancers":2`, fmt.Sprintf(`"Balancers":%d`, n), 1)
		text = strings.Replace(text, `"Contract":{`, `"Contract":{"AskWithinMs":10000,`, 1)
		if k.subscribe {
			text = strings.Replace(text, `"TickMs":5`, `"TickMs":5,"MembershipMode":"subscribe"`, 1)
		}
		p.configure(text)
		p.start()
		fleet = append(fleet, p)
	}
	for _, p := range fleet {
		p.awaitReady()
	}

	restarted := fleet[:n*9/10]
	began := map[*agentProcess]time.Time{}
	for _, p := range restarted {
		p.kill()
	}
	for _, p := range restarted {
		began[p] = time.Now()
		p.start()
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	ready, slowest := 0, time.Duration(0)
	for _, p := range restarted {
		all.Go(func() {
			p.becomes(func() bool { return p.isUp() && p.isReady() })
			took := time.Since(began[p])
			mu.Lock()
			defer mu.Unlock()
			if slowest = max(slowest, took); took <= readyWithin {
				ready++
			}
		})
	}
	all.Wait()
	if 10*ready < 9*len(restarted) {
		t.Errorf("%d of %d restarted processes were ready within %v", ready, len(restarted), readyWithin)
	}

	time.Sleep(3 * time.Second) // calls keep failing, so that agents wait longer before they try again
	reached := time.Now()
	for _, k := range kinds {
		if k.full != nil {
			k.full.open()
		} else {
			k.discovery.recover()
		}
	}
	latest := time.Duration(0)
	for _, p := range fleet {
		all.Go(func() {
			p.becomes(func() bool { return strings.Contains(p.call("/api/telemetry"), "svc_pool_size 2\n") })
			took := time.Since(reached)
			mu.Lock()
			defer mu.Unlock()
			if latest = max(latest, took); took > updatedWithin {
				t.Errorf("%s: updated after %v", p.name, took)
			}
		})
	}
	all.Wait()
	t.Logf("%d processes, %d restarted: %d ready within %v, the slowest after %v; the last one updated after %v", n, len(restarted), ready, readyWithin, slowest, latest)
}

// isUp reports whether the process answers clients' health checks with 200.
func (p *agentProcess) isUp() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(p.url() + "/up")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
