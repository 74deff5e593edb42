// Command 8 is a case of the second review: claim.txt has the claim.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/internal/standin"
	"lemonrail/review/lab2"
)

const (
	restarts        = 20 // at most; each takes 5 s
	backends        = 8
	diameterClients = 8
	httpClients     = 24
)

const rules = `
listen = %q
identity = "relay.example.net"
realm = "example.net"
[[peer]]
identity = "client1.example.net"
[[route]]
realm = "example.net"
application = 4
[[class]]
name = "charge"
application = 4
command = 272
aim_ms = 1500
deadline_ms = 5000
effect = "keyed"
group = "all"
window_ms = 30000
`

// settings are those of the second users: their classes, one data centre.
func settings() map[string]any {
	s := lab2.Settings()
	s["Dcs"] = []string{"dc-burnaby"}
	s["Profiles"] = []map[string]any{
		{"Name": "lookup", "AimMs": 1500, "DeadlineMs": 5000, "Semantics": "repeatable", "Group": "all", "WindowMs": 0, "LateValue": 0, "Worth": 5}}
	return s
}

// backend is a machine with an HTTP and a Diameter server. While it hangs, it takes requests and answers none.
type backend struct {
	hangs    atomic.Bool
	node     *standin.DiameterNode
	ln       net.Listener
	received atomic.Int64
}

func newBackend(c *lab2.Case, n int) *backend {
	b := &backend{}
	var err error
	b.node, err = standin.NewDiameterNode(fmt.Sprintf("server%d.example.net", n), func(s *standin.DiameterConn, m *diameter.Message) {
		b.received.Add(1)
		if !b.hangs.Load() {
			time.AfterFunc(20*time.Millisecond, func() { s.Answer(m, diameter.Success) })
		}
	})
	c.Need(err, "server")
	b.ln, err = net.Listen("tcp4", "127.0.0.1:0")
	c.Need(err, "server")
	go http.Serve(b.ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.received.Add(1)
		if b.hangs.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(20 * time.Millisecond)
		io.WriteString(w, "served "+r.Header.Get("X-Correlation-Id"))
	}))
	return b
}

// charge is a request of a Diameter client.
type charge struct {
	sent    time.Time
	result  uint32
	answers int
}

// restart starts an agent, ends it as planned under load, and returns how many Diameter requests got no answer and
// whether the run can be judged.
func restart(c *lab2.Case, n int) (lost int) {
	var all []*backend
	var hosts []lab2.Host
	servers := ""
	for i := range backends {
		b := newBackend(c, i+1)
		defer b.node.Stop()
		defer b.ln.Close()
		all = append(all, b)
		servers += fmt.Sprintf("[[server]]\nhost = %q\naddress = %q\nidentity = %q\n", b.node.Identity, b.node.Addr(), b.node.Identity)
		hosts = append(hosts, lab2.Host{Host: b.node.Identity, Dial: b.ln.Addr().String(), Site: "dc-burnaby", Class: "fast-4", Health: "ready", Share: 1})
	}
	d := c.StartDiscovery(hosts)
	listen, relay := c.FreeAddr(), c.FreeAddr()
	config := c.Write("n0.json", c.AgentConfig("n0", listen, d.Addr, hosts, settings(), 192, 1024))
	file := c.Write("diameter.toml", fmt.Sprintf(rules, relay)+servers)
	agent := c.Start(fmt.Sprintf("agent%d", n), c.RunLine("-diameter "+file), "LB_CONFIG="+config)
	defer agent.Kill()
	c.WaitUp(listen)

	var mu sync.Mutex
	charges := map[uint32]*charge{}
	var readers sync.WaitGroup
	stop := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(stop) }) }
	defer end()
	for k := range diameterClients {
		conn, err := standin.DialDiameter(relay, "client1.example.net", 4)
		c.Need(err, "client")
		defer conn.Close()
		if m := <-conn.Received; m == nil || m.Result() != diameter.Success {
			c.End(lab2.Unknown, "a client is not accepted")
		}
		told := make(chan struct{}) // closed by the DPR, which the client answers; it sends nothing after it
		go func() {
			select {
			case <-conn.DisconnectCauses:
				close(told)
			case <-stop:
			}
		}()
		readers.Go(func() {
			for m := range conn.Received {
				mu.Lock()
				if s := charges[m.EndToEnd]; s != nil {
					s.answers++
					s.result = m.Result()
				}
				mu.Unlock()
			}
		})
		go func() {
			tick := time.NewTicker(27 * time.Millisecond)
			defer tick.Stop()
			for i := uint32(0); ; i++ {
				select {
				case <-told:
					return
				case <-stop:
					return
				case <-tick.C:
				}
				id := uint32(k)<<20 | i
				mu.Lock()
				charges[id] = &charge{sent: time.Now()}
				mu.Unlock()
				conn.Send(&diameter.Message{Flags: diameter.FlagRequest | diameter.FlagProxiable, Command: 272, Application: 4, HopByHop: id, EndToEnd: id,
					AVPs: []diameter.AVP{diameter.Str(diameter.CodeSessionID, fmt.Sprint("s", id)), diameter.Str(diameter.CodeOriginHost, "client1.example.net"),
						diameter.Str(diameter.CodeOriginRealm, "example.net"), diameter.Str(diameter.CodeDestinationRealm, "example.net")}})
			}
		}()
	}
	for k := range httpClients {
		go httpClient(listen, fmt.Sprintf("%d-%d", n, k), stop)
	}

	time.Sleep(1500 * time.Millisecond)
	for i, b := range all {
		b.hangs.Store(c.Trouble && i < backends/2)
	}
	agent.Signal(syscall.SIGTERM)
	terminated := time.Now()
	// The earliest SIGKILL: the longest deadline, counted as 3 s, and 0.7 s.
	byItself := agent.Wait(3700 * time.Millisecond)
	took := time.Since(terminated)
	if !byItself {
		agent.Kill()
	}
	readers.Wait()
	end()
	mu.Lock()
	defer mu.Unlock()
	results, late := map[uint32]int{}, 0
	for id, s := range charges {
		results[s.result]++
		switch after := s.sent.Sub(terminated); {
		case s.answers == 0 && after > 2700*time.Millisecond: // it may cross with the DPR
			late++
		case s.answers == 0:
			lost++
			c.Logf("restart %d: request %x, sent %.3f s after SIGTERM: no answer", n, id, after.Seconds())
		}
	}
	received := int64(0)
	for _, b := range all {
		received += b.received.Load()
	}
	c.Logf("restart %d: %d Diameter requests, by Result-Code %v (0: none); %d without an answer, and %d of the last 60 ms; %d attempts at backends; the agent ended by itself: %v, %.3f s after SIGTERM",
		n, len(charges), results, lost, late, received, byItself, took.Seconds())
	return lost
}

// httpClient sends requests one at a time on a connection that it keeps.
func httpClient(listen, name string, stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: 5 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		req, _ := http.NewRequest(http.MethodGet, "http://"+listen+"/lookup", nil)
		req.Header.Set("X-Correlation-Id", fmt.Sprintf("%s-%d", name, i))
		req.Header.Set("X-Time-Left", "5000m")
		resp, err := client.Do(req)
		if err != nil {
			if strings.Contains(err.Error(), "refused") {
				return
			}
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

func main() {
	c := lab2.Begin()
	for n := range restarts {
		if lost := restart(c, n+1); lost > 0 {
			c.End(lab2.Broken, "restart %d: %d Diameter requests that the agent had taken got no answer", n+1, lost)
		}
	}
	c.End(lab2.Held, "%d restarts, every request got its answer", restarts)
}
