// Command 9 is a case of the second review: claim.txt has the claim.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/internal/standin"
	"lemonrail/review/lab2"
)

const requests = 24

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
group = "zone"
window_ms = 30000
`

// zone is what the servers of a data centre know together: they drop a repeat by its Session-Id and answer it as before.
type zone struct {
	mu  sync.Mutex
	ran map[string]bool
}

// runs reports whether a request runs now: it doesn't if the zone has run it.
func (z *zone) runs(session string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.ran[session] {
		return false
	}
	z.ran[session] = true
	return true
}

func main() {
	c := lab2.Begin()
	zones := map[string]*zone{"gandhinagar": {ran: map[string]bool{}}, "vadodara": {ran: map[string]bool{}}}
	var hosts []lab2.Host
	for i, site := range []string{"gandhinagar", "gandhinagar", "vadodara", "vadodara"} {
		name := fmt.Sprintf("server%d.example.net", i+1)
		node, err := standin.NewDiameterNode(name, func(s *standin.DiameterConn, m *diameter.Message) {
			session := ""
			if a := diameter.Find(m.AVPs, diameter.CodeSessionID, 0); a != nil {
				session, _ = a.Text()
			}
			ran := zones[site].runs(session)
			c.Logf("%s in %s received %s, T %v: it runs %v", name, site, session, m.Flags&diameter.FlagRetransmitted != 0, ran)
			time.AfterFunc(150*time.Millisecond, func() { s.Answer(m, diameter.Success) })
		})
		c.Need(err, "server")
		hosts = append(hosts, lab2.Host{Host: name, Dial: node.Addr(), Site: site, Class: "fast-4", Health: "ready", Share: 1})
	}
	d := c.StartDiscovery(hosts)
	listen, relay := c.FreeAddr(), c.FreeAddr()
	config := c.Write("n0.json", c.AgentConfig("n0", listen, d.Addr, hosts, lab2.Settings(), 192, 1024))
	line := c.RunLine("-diameter " + c.Write("diameter.toml", fmt.Sprintf(rules, relay)))
	agent := c.Start("agent", line, "LB_CONFIG="+config)
	c.WaitUp(listen)

	answered := map[uint32]bool{}
	connect := func() *standin.DiameterConn {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			conn, err := standin.DialDiameter(relay, "client1.example.net", 4)
			if err == nil {
				if m := <-conn.Received; m != nil && m.Result() == diameter.Success {
					return conn
				}
				conn.Close()
			}
			if time.Now().After(end) {
				c.End(lab2.Unknown, "the client could not connect: %v", err)
			}
		}
	}
	send := func(conn *standin.DiameterConn, id uint32, flags uint8) {
		conn.Send(&diameter.Message{Flags: diameter.FlagRequest | diameter.FlagProxiable | flags, Command: 272, Application: 4, HopByHop: id, EndToEnd: id,
			AVPs: []diameter.AVP{diameter.Str(diameter.CodeSessionID, fmt.Sprint("session", id)), diameter.Str(diameter.CodeOriginHost, "client1.example.net"),
				diameter.Str(diameter.CodeOriginRealm, "example.net"), diameter.Str(diameter.CodeDestinationRealm, "example.net")}})
	}
	receive := func(conn *standin.DiameterConn, d time.Duration) {
		end := time.After(d)
		for len(answered) < requests {
			select {
			case m, open := <-conn.Received:
				if !open {
					return
				}
				answered[m.EndToEnd] = true
				c.Logf("answer to session%d: %d", m.EndToEnd, m.Result())
			case <-end:
				return
			}
		}
	}
	conn := connect()
	for id := range uint32(requests) {
		send(conn, id, 0)
	}
	if c.Trouble {
		time.Sleep(100 * time.Millisecond)
		agent.Signal(syscall.SIGKILL)
		agent.Wait(5 * time.Second)
		c.Logf("the agent was killed")
		receive(conn, 100*time.Millisecond)
		conn.Close()
		c.Start("again", line, "LB_CONFIG="+config)
		c.WaitUp(listen)
		conn = connect()
		for id := range uint32(requests) { // the client resends what has no answer, marked as such (RFC 6733, 5.5.4)
			if !answered[id] {
				send(conn, id, diameter.FlagRetransmitted)
			}
		}
	}
	receive(conn, 5*time.Second)
	time.Sleep(300 * time.Millisecond)
	twice := 0
	for session := range zones["gandhinagar"].ran {
		if zones["vadodara"].ran[session] {
			twice++
			c.Logf("%s ran in both data centres", session)
		}
	}
	if twice > 0 {
		c.End(lab2.Broken, "%d of %d charges ran in both data centres", twice, requests)
	}
	c.End(lab2.Held, "%d of %d requests answered, none ran twice", len(answered), requests)
}
