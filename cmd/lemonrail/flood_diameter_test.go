package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/internal/scripted"
	"lemonrail/internal/standin"
)

// creditControl returns a credit control request of a client. A safe one changes nothing and may be repeated, others are
// recorded by the agent.
func creditControl(id uint32, origin, session, realm string, safe bool) *diameter.Message {
	m := &diameter.Message{Flags: diameter.FlagRequest | diameter.FlagProxiable, Command: diameter.CreditControl,
		Application: diameter.AppCreditControl, HopByHop: id, EndToEnd: id,
		AVPs: []diameter.AVP{diameter.Str(diameter.CodeSessionID, session), diameter.Str(diameter.CodeOriginHost, origin),
			diameter.Str(diameter.CodeOriginRealm, "example.net"), diameter.Str(diameter.CodeDestinationRealm, realm)}}
	if safe {
		m.AVPs = append(m.AVPs, diameter.U32(diameter.CodeCCRequestType, 4), diameter.U32(diameter.CodeRequestedAction, 2))
	}
	return m
}

// diameterFlood is what one client sends at full speed: n is new with each message.
type diameterFlood struct {
	name    string
	message func(n uint32) *diameter.Message
	reads   bool // the client reads its answers
	local   bool // no server is needed for the answers
}

func diameterFloods() []diameterFlood {
	long := strings.Repeat("n", 20<<10)
	watchdog := func(n uint32) *diameter.Message {
		return &diameter.Message{Flags: diameter.FlagRequest, Command: diameter.DeviceWatchdog, HopByHop: n, EndToEnd: n,
			AVPs: []diameter.AVP{diameter.Str(diameter.CodeOriginHost, "client1.example.net"), diameter.Str(diameter.CodeOriginRealm, "example.net")}}
	}
	unknownRealm := func(n uint32) *diameter.Message {
		return creditControl(n, "client1.example.net", fmt.Sprint("s;", n), fmt.Sprint("realm-", n), true)
	}
	return []diameterFlood{
		{"watchdogs", watchdog, true, true},
		{"watchdogs, unread", watchdog, false, true},
		{"unknown realms", unknownRealm, true, true},
		{"long sessions to unknown realms, unread", func(n uint32) *diameter.Message {
			return creditControl(n, "client1.example.net", fmt.Sprint(long, n), fmt.Sprint("realm-", n), true)
		}, false, true},
		{"new names", func(n uint32) *diameter.Message {
			return creditControl(n, fmt.Sprint(long, n), fmt.Sprint("s;", n), "example.net", false)
		}, true, false},
		{"safe requests", func(n uint32) *diameter.Message {
			return creditControl(n, "client1.example.net", fmt.Sprint("s;", n), "example.net", true)
		}, true, false},
	}
}

// play sends at full speed until stop is closed, and connects anew when its connection ends. It counts the answers.
func (f *diameterFlood) play(listen string, answers *atomic.Int64, stop <-chan struct{}) {
	for n := uint32(1 << 24); ; {
		select {
		case <-stop:
			return
		default:
		}
		nc, err := net.Dial("tcp4", listen)
		if err != nil {
			continue
		}
		go func() {
			<-stop
			nc.Close()
		}()
		if f.reads {
			go countDiameterAnswers(nc, answers)
		}
		hello := &diameter.Message{Flags: diameter.FlagRequest, Command: diameter.CapabilitiesExchange, HopByHop: 1, EndToEnd: 1,
			AVPs: []diameter.AVP{diameter.Str(diameter.CodeOriginHost, "client1.example.net"), diameter.Str(diameter.CodeOriginRealm, "example.net"),
				diameter.U32(diameter.CodeAuthApplication, diameter.AppCreditControl)}}
		raw, _ := hello.Append(nil)
		for err == nil {
			_, err = nc.Write(raw)
			raw = raw[:0]
			for range 20 {
				n++
				raw, _ = f.message(n).Append(raw)
			}
		}
		nc.Close()
	}
}

// countDiameterAnswers counts the messages that arrive on a connection.
func countDiameterAnswers(nc net.Conn, answers *atomic.Int64) {
	messages := diameter.NewReader(nc, diameter.DefaultLimits())
	for {
		if _, err := messages.Next(); err != nil {
			io.Copy(io.Discard, nc)
			return
		}
		answers.Add(1)
	}
}

// Guards against late answers to other Diameter clients, and memory that grows, while one client sends at full speed: what
// needs no server, ever new names, or what it doesn't read the answers to.
func TestDiameterFloodDoesNotDelayOthers(t *testing.T) {
	lateBy := scripted.WaitTimeout
	if *answerTimes {
		lateBy = 500 * time.Millisecond
	}
	for _, flood := range diameterFloods() {
		t.Run(flood.name, func(t *testing.T) {
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
			p.env = []string{"GOMAXPROCS=1"}
			listen := freeAddress(t)
			agent := p.start(p.config, "-diameter", diameterRules(t, listen)).awaitReady()
			client := &diameterClient{t: t, listen: listen}
			client.ask(1)
			defer client.conn.Close()
			stop := make(chan struct{})
			var playing sync.WaitGroup
			var answers atomic.Int64
			started := time.Now()
			playing.Go(func() { flood.play(listen, &answers, stop) })
			results, longest := map[uint32]int{}, time.Duration(0)
			for n := range uint32(100) {
				start := time.Now()
				results[client.ask(2+n)]++
				longest = max(longest, time.Since(start))
				time.Sleep(usualClientPause)
			}
			elapsed, peak := time.Since(started), peakResidentMB(t, agent.cmd.Process.Pid)
			close(stop)
			playing.Wait()
			t.Logf("flood: %d answers in %v; usual client: %v, longest %v; peak %d MB", answers.Load(), elapsed, results, longest, peak)
			if most := localAnswerBurst + int64(elapsed.Seconds()*localAnswersPerS); flood.local && answers.Load() > most {
				t.Errorf("%d messages of the flood were answered in %v, at most %d may be", answers.Load(), elapsed, most)
			}
			if longest > time.Second+lateBy {
				t.Errorf("an answer came after %v", longest)
			}
			if results[diameter.Success]+results[diameter.TooBusy] < 100 || results[diameter.Success] < 50 {
				t.Errorf("of 100 usual requests %v", results)
			}
			if peak > floodMemoryMB {
				t.Errorf("%d MB were resident, the limit is %d", peak, floodMemoryMB)
			}
		})
	}
}
