package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/internal/standin"
)

const diameterCrowd = 240 // clients; the shipped rules allow 256

// Guards against a process over its memory limit while hundreds of Diameter clients are connected that stop half way through
// a long message, write it slowly or don't read their answers.
func TestDiameterCrowdStaysWithinMemory(t *testing.T) {
	long := strings.Repeat("x", 56<<10)
	whole := func(n uint32) []byte {
		m := creditControl(n, "client1.example.net", fmt.Sprint("s;", n), "example.net", true)
		m.AVPs = append(m.AVPs, diameter.WithoutMandatory(diameter.Str(diameter.CodeErrorMessage, long)))
		raw, _ := m.Append(nil)
		return raw
	}
	for name, play := range map[string]func(nc net.Conn, n uint32, stop <-chan struct{}){
		"head of a long message": func(nc net.Conn, n uint32, _ <-chan struct{}) { nc.Write(whole(n)[:100]) },
		"half a long message":    func(nc net.Conn, n uint32, _ <-chan struct{}) { nc.Write(whole(n)[:28<<10]) },
		"slow long message": func(nc net.Conn, n uint32, stop <-chan struct{}) {
			writeInParts(nc, string(whole(n)), 1<<10, 40*time.Millisecond, stop)
		},
		"unread answers": func(nc net.Conn, n uint32, _ <-chan struct{}) {
			nc.(*net.TCPConn).SetReadBuffer(4 << 10)
			nc.SetWriteDeadline(time.Now().Add(time.Second))
			for i := range uint32(40) {
				nc.Write(whole(n + i<<16))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			node, err := standin.NewDiameterNode("s0.example.net", func(c *standin.DiameterConn, m *diameter.Message) {
				if m.Request() {
					c.Answer(m, diameter.Success, diameter.WithoutMandatory(diameter.Str(diameter.CodeErrorMessage, long)))
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer node.Stop()
			p := newPlatform(t, node.Addr())
			p.env = []string{"GOMAXPROCS=1"}
			p.config = p.configWith(`"limits":{"memory_mb":64,"sockets":384}`, fmt.Sprintf(`"limits":{"memory_mb":%d,"sockets":%d}`, smallMemoryMB, manyDescriptors))
			listen := freeAddress(t)
			agent := p.start(p.config, "-diameter", diameterRules(t, listen)).awaitReady()
			client := &diameterClient{t: t, listen: listen}
			client.ask(1 << 30)
			stop := make(chan struct{})
			var crowd sync.WaitGroup
			for i := range uint32(diameterCrowd) {
				conn, err := standin.DialDiameter(listen, "client1.example.net", diameter.AppCreditControl)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				crowd.Go(func() { play(conn.Conn, i+1, stop) })
			}
			results := map[uint32]int{}
			for n := range uint32(20) {
				results[client.ask(1<<30+1+n)]++
				time.Sleep(100 * time.Millisecond)
			}
			client.conn.Close()
			close(stop)
			crowd.Wait()
			peak := peakResidentMB(t, agent.cmd.Process.Pid)
			t.Logf("peak %d MB of %d, usual requests: %v", peak, smallMemoryMB, results)
			if peak > smallMemoryMB {
				t.Errorf("%d MB were resident, the limit is %d", peak, smallMemoryMB)
			}
		})
	}
}
