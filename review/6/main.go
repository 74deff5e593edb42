// Command 6 is a case of the second review: claim.txt has the claim.
package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/internal/standin"
	"lemonrail/review/lab2"
)

const (
	sockets       = 512 // the agent's limit on descriptors, which the platform sets
	firstClients  = 120 // Diameter clients that are connected before the crowd comes
	furtherClient = 40  // Diameter clients that come while it is there
	crowd         = 600 // idle HTTP connections
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
aim_ms = 500
deadline_ms = 2000
effect = "keyed"
group = "all"
window_ms = 30000
`

// client is a Diameter client that sends a request every 500 ms and counts the answers.
type client struct {
	sent, answered atomic.Int64
}

// run connects and sends until stop is closed. A connection that is closed unread is allowed in a crowd, and tried again.
func (t *client) run(relay string, n int, stop chan struct{}) {
	for i := uint32(0); ; {
		conn, err := standin.DialDiameter(relay, "client1.example.net", 4)
		if err == nil {
			if m := <-conn.Received; m != nil {
				go func() {
					for range conn.Received {
						t.answered.Add(1)
					}
				}()
				for open := true; open; {
					select {
					case <-stop:
						conn.Close()
						return
					case <-time.After(500 * time.Millisecond):
					}
					i++
					id := uint32(n)<<20 | i
					t.sent.Add(1)
					conn.Send(&diameter.Message{Flags: diameter.FlagRequest | diameter.FlagProxiable, Command: 272, Application: 4, HopByHop: id, EndToEnd: id,
						AVPs: []diameter.AVP{diameter.Str(diameter.CodeSessionID, fmt.Sprint("s", id)), diameter.Str(diameter.CodeOriginHost, "client1.example.net"),
							diameter.Str(diameter.CodeOriginRealm, "example.net"), diameter.Str(diameter.CodeDestinationRealm, "example.net")}})
				}
			}
			conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func main() {
	c := lab2.Begin()
	var hosts []lab2.Host
	for i := range 4 {
		node, err := standin.NewDiameterNode(fmt.Sprintf("server%d.example.net", i+1), func(s *standin.DiameterConn, m *diameter.Message) {
			time.AfterFunc(20*time.Millisecond, func() { s.Answer(m, diameter.Success) })
		})
		c.Need(err, "server")
		hosts = append(hosts, lab2.Host{Host: node.Identity, Dial: node.Addr(), Site: "gandhinagar", Class: "fast-4", Health: "ready", Share: 1})
	}
	d := c.StartDiscovery(hosts)
	listen, relay := c.FreeAddr(), c.FreeAddr()
	config := c.Write("n0.json", c.AgentConfig("n0", listen, d.Addr, hosts, lab2.Settings(), 128, sockets))
	file := c.Write("diameter.toml", fmt.Sprintf(rules, relay))
	agent := c.Start("agent", fmt.Sprintf("ulimit -n %d; ", sockets)+c.RunLine("-diameter "+file), "LB_CONFIG="+config)
	c.WaitUp(listen)

	stop := make(chan struct{})
	var all []*client
	begin := func(count int) {
		for range count {
			t := &client{}
			all = append(all, t)
			go t.run(relay, len(all), stop)
		}
	}
	begin(firstClients)
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var idle []net.Conn
	if c.Trouble {
		for range crowd {
			go func() {
				nc, err := net.DialTimeout("tcp4", listen, 2*time.Second)
				if err != nil {
					return
				}
				mu.Lock()
				idle = append(idle, nc)
				mu.Unlock()
			}()
		}
	}
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	c.Logf("%d idle connections of HTTP clients", len(idle))
	mu.Unlock()
	begin(furtherClient)
	ended := agent.Wait(10 * time.Second)
	close(stop)
	sent, answered := int64(0), int64(0)
	for _, t := range all {
		sent, answered = sent+t.sent.Load(), answered+t.answered.Load()
	}
	c.Logf("%d Diameter requests sent, %d answers", sent, answered)
	for line := range strings.Lines(c.LogText("agent")) {
		c.Logf("agent: %s", strings.TrimSpace(line))
	}
	if ended {
		c.End(lab2.Broken, "the agent ended by itself, with exit code %d", agent.ExitCode())
	}
	c.End(lab2.Held, "the agent runs; %d Diameter requests sent, %d answers", sent, answered)
}
