package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/internal/scripted"
	"lemonrail/internal/standin"
)

// diameterRules returns the path of a copy of the shipped rules for an address of clients.
func diameterRules(t *testing.T, listen string) string {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/diameter.toml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "diameter.toml")
	if err := os.WriteFile(path, []byte(strings.Replace(string(raw), "127.0.0.1:3868", listen, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// freeAddress returns an address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// diameterClient sends requests one after the other, and connects anew when its connection has ended.
type diameterClient struct {
	t      *testing.T
	listen string
	conn   *standin.DiameterConn // nil: not connected
}

// connect connects the client and exchanges capabilities, while the listener may pass from one process to the next.
func (c *diameterClient) connect() {
	c.t.Helper()
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		if time.Since(begun) > scripted.WaitTimeout {
			c.t.Fatal("no process accepts diameter clients")
		}
		conn, err := standin.DialDiameter(c.listen, "client1.example.net", diameter.AppCreditControl)
		if err != nil {
			continue
		}
		if m := scripted.Await(c.t, conn.Received); m != nil && m.Result() == diameter.Success {
			c.conn = conn
			return
		}
		conn.Close()
	}
}

// ask sends a safe request, and again on a new connection if the one that it was sent on ends. It returns the Result-Code.
func (c *diameterClient) ask(id uint32) uint32 {
	c.t.Helper()
	m := &diameter.Message{Flags: diameter.FlagRequest | diameter.FlagProxiable, Command: diameter.CreditControl,
		Application: diameter.AppCreditControl, HopByHop: id, EndToEnd: id,
		AVPs: []diameter.AVP{diameter.Str(diameter.CodeSessionID, fmt.Sprint("s;", id)), diameter.Str(diameter.CodeOriginHost, "client1.example.net"),
			diameter.Str(diameter.CodeOriginRealm, "example.net"), diameter.Str(diameter.CodeDestinationRealm, "example.net"),
			diameter.U32(diameter.CodeCCRequestType, 4), diameter.U32(diameter.CodeRequestedAction, 2)}}
	for {
		if c.conn == nil {
			c.connect()
		}
		c.conn.Send(m)
		if a := scripted.Await(c.t, c.conn.Received); a != nil {
			return a.Result()
		}
		c.conn.Close()
		c.conn = nil
		m.Flags |= diameter.FlagRetransmitted
	}
}

// Guards against a successor that ends at once since its predecessor still listens for Diameter clients: two replacements in
// a row under load, after which the last process serves them. A client's connection ends only with a notice (DPR), and each
// request is served.
func TestUpgradesWithDiameter(t *testing.T) {
	node, err := standin.NewDiameterNode("s0.example.net", func(c *standin.DiameterConn, m *diameter.Message) {
		if m.Request() {
			c.Answer(m, diameter.Success)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Stop()
	p := newPlatform(t, node.Addr())
	listen := freeAddress(t)
	rules := diameterRules(t, listen)
	old := p.start(p.config, "-diameter", rules).awaitReady()

	client := &diameterClient{t: t, listen: listen}
	stop, asked := make(chan struct{}), uint32(0)
	var load sync.WaitGroup
	load.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			asked++
			if got := client.ask(asked); got != diameter.Success {
				t.Errorf("request %d: got %d", asked, got)
			}
		}
	})
	defer load.Wait()
	defer close(stop)
	for range 2 {
		successor := p.start(p.config, "-diameter", rules).awaitReady()
		old.cmd.Process.Signal(syscall.SIGTERM)
		old.awaitCleanExit()
		old = successor
	}
	last := &diameterClient{t: t, listen: listen}
	if got := last.ask(1 << 20); got != diameter.Success {
		t.Errorf("after the replacements: got %d", got)
	}
	last.conn.Close()
}

// A second process on the same address, without a predecessor of its own agent, ends with an error.
func TestSecondAgentOnADiameterAddress(t *testing.T) {
	p := newPlatform(t, "127.0.0.1:1")
	taken := scripted.Listen(t)
	i := p.start(p.config, "-diameter", diameterRules(t, taken.Addr().String()))
	scripted.Await(t, i.done)
	if i.err == nil || !strings.Contains(i.log.String(), "address already in use") {
		t.Errorf("ended with %v: %s", i.err, i.log.String())
	}
}
