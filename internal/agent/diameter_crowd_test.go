package agent

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
	"lemonrail/internal/standin"
)

// relayRules returns the rules of deploy/diameter.toml, with another address to listen on and the node as server h0.
func relayRules(t *testing.T, listen string, node *standin.DiameterNode) string {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/diameter.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(raw), "127.0.0.1:3868", listen, 1)
	return strings.Replace(text, "[[peer]]", fmt.Sprintf("[[server]]\nhost = \"h0\"\naddress = %q\n\n[[peer]]", node.Addr()), 1)
}

// relayClient is a Diameter client that connects again when its connection is closed.
type relayClient struct {
	address string
	number  uint32
	conn    *standin.DiameterConn
}

// exchange sends a request and returns the result of its answer; 0: the client could not get one.
func (c *relayClient) exchange(request uint32) uint32 {
	id := c.number<<8 | request
	for range 200 {
		if c.conn == nil {
			conn, err := standin.DialDiameter(c.address, "client1.example.net", diameter.AppCreditControl)
			if err == nil && <-conn.Received != nil {
				c.conn = conn
			} else {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		c.conn.Send(&diameter.Message{Flags: diameter.FlagRequest | diameter.FlagProxiable, Command: diameter.CreditControl,
			Application: diameter.AppCreditControl, HopByHop: id, EndToEnd: id,
			AVPs: []diameter.AVP{diameter.Str(diameter.CodeSessionID, fmt.Sprint("s;", id)), diameter.Str(diameter.CodeOriginHost, "client1.example.net"),
				diameter.Str(diameter.CodeOriginRealm, "example.net"), diameter.Str(diameter.CodeDestinationRealm, "example.net"),
				diameter.U32(diameter.CodeCCRequestType, 4), diameter.U32(diameter.CodeRequestedAction, 2)}})
		if m := <-c.conn.Received; m != nil {
			return m.Result()
		}
		c.conn = nil
	}
	return 0
}

// holdSilent keeps n connections open on which nothing is sent, each opened anew when it is closed.
func holdSilent(t *testing.T, address string, n int) {
	stop := make(chan struct{})
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			for {
				if nc, err := net.Dial("tcp", address); err == nil {
					ended := make(chan struct{})
					go func() {
						nc.Read(make([]byte, 1))
						close(ended)
					}()
					select {
					case <-ended:
					case <-stop:
					}
					nc.Close()
					<-ended
				}
				select {
				case <-time.After(50 * time.Millisecond):
				case <-stop:
					return
				}
			}
		})
	}
	t.Cleanup(func() {
		close(stop)
		all.Wait()
	})
}

// Guards against the end of the whole process when Diameter's listener finds no free descriptor, and against crowds that take the
// descriptors of sound Diameter clients: over HTTP/1.1, which didn't count Diameter's connections, or over Diameter itself.
func TestDiameterClientsAmongCrowds(t *testing.T) {
	for _, limit := range []int{128, 300} {
		for _, crowd := range []string{"http", "diameter", "both"} {
			t.Run(fmt.Sprint(limit, " descriptors, ", crowd), func(t *testing.T) { diameterAmongCrowds(t, limit, crowd) })
		}
	}
}

func diameterAmongCrowds(t *testing.T, limit int, crowd string) {
	node, err := standin.NewDiameterNode("s0.example.net", func(c *standin.DiameterConn, m *diameter.Message) { c.Answer(m, diameter.Success) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Stop)
	fd, listen, err := standin.ReserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	rules := filepath.Join(t.TempDir(), "diameter.toml")
	if err := os.WriteFile(rules, []byte(relayRules(t, listen, node)), 0o600); err != nil {
		t.Fatal(err)
	}
	p := newAgentProcess(t, "n0", envRelay+"="+rules)
	p.descriptorLimit = limit
	p.configure(configJSON(deadAddr(t), fmt.Sprintf(`"limits":{"sockets":%d},`, limit), backend(t, always(hello))))
	p.start()
	p.awaitReady()

	clients := make([]relayClient, limit/4)
	exchange := func(from, to int, request uint32) {
		var all sync.WaitGroup
		for i := from; i < to; i++ {
			c := &clients[i]
			c.address, c.number = listen, uint32(i+1)
			all.Go(func() {
				if got := c.exchange(request); got != diameter.Success {
					t.Errorf("client %d, request %d: got %d", c.number, request, got)
				}
			})
		}
		all.Wait()
	}
	exchange(0, len(clients)/2, 1)
	if crowd != "diameter" {
		idle := newIdleClients(t, p.address, limit+100)
		defer idle.end()
	}
	if crowd != "http" {
		holdSilent(t, listen, limit+100)
	}
	p.mustBecome("crowded", func() bool { return p.descriptors() >= limit/3 })
	for request := range uint32(3) {
		exchange(0, len(clients), 2+request)
	}
	if !p.running() {
		t.Error("the process has ended")
	}
	if n := p.descriptors(); n > limit {
		t.Errorf("%d of %d descriptors are held", n, limit)
	}
	if log, err := os.ReadFile(filepath.Join(p.dir, "log")); err != nil || strings.Contains(string(log), syscall.EMFILE.Error()) {
		t.Errorf("out of descriptors: %v", err)
	}
}
