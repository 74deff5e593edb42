package diameter

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/relay"
	"lemonrail/internal/scripted"
	"lemonrail/internal/standin"
)

const longAnswerBytes = 40 << 10

// answerLong is a script of a server that answers with success and longAnswerBytes of text.
func answerLong(c *standin.DiameterConn, m *diameter.Message) {
	c.Answer(m, diameter.Success, diameter.WithoutMandatory(diameter.Str(diameter.CodeErrorMessage, strings.Repeat("x", longAnswerBytes))))
}

// silentClient is a client that sends and does not read until told.
type silentClient struct {
	t *testing.T
	net.Conn
}

// dialSilent connects a client and sends its CER.
func (s *relaySite) dialSilent(t *testing.T) *silentClient {
	t.Helper()
	nc, err := net.Dial("tcp4", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	c := &silentClient{t, nc}
	c.send(&diameter.Message{Flags: diameter.FlagRequest, Command: diameter.CapabilitiesExchange, HopByHop: 1, EndToEnd: 1,
		AVPs: []diameter.AVP{diameter.Str(diameter.CodeOriginHost, "client1.example.net"), diameter.Str(diameter.CodeOriginRealm, "example.net"),
			diameter.U32(diameter.CodeAuthApplication, diameter.AppCreditControl)}})
	return c
}

func (c *silentClient) send(m *diameter.Message) {
	c.t.Helper()
	raw, err := m.Append(nil)
	if err != nil {
		c.t.Fatal(err)
	}
	c.SetWriteDeadline(time.Now().Add(scripted.WaitTimeout))
	if _, err := c.Write(raw); err != nil {
		c.t.Fatal(err)
	}
}

// results reads n answers to requests and returns how many came with each Result-Code.
func (c *silentClient) results(n int) map[uint32]int {
	c.t.Helper()
	c.SetReadDeadline(time.Now().Add(scripted.WaitTimeout))
	messages, got := diameter.NewReader(c, diameter.DefaultLimits()), map[uint32]int{}
	for seen := 0; seen < n; {
		raw, err := messages.Next()
		if err != nil {
			c.t.Fatalf("after %d of %d answers: %v", seen, n, err)
		}
		m, err := diameter.Decode(raw, diameter.DefaultLimits())
		if err != nil {
			c.t.Fatal(err)
		}
		if m.Command != diameter.CapabilitiesExchange {
			seen++
			got[m.Result()]++
		}
	}
	return got
}

// Guards against lost answers of a client that stops reading for some seconds: its connection was closed when 256 answers
// waited, or after one second. Each request gets its one answer once the client reads again.
func TestClientThatPausesGetsAllAnswers(t *testing.T) {
	const requests = 600
	s := newSite(t, 64, answerLong)
	c := s.dialSilent(t)
	for range requests {
		c.send(s.newRequest(4, 2))
	}
	s.waitForAnswers(requests)
	got := c.results(requests)
	if got[diameter.Success]+got[diameter.TooBusy] != requests || got[diameter.Success] <= 256 {
		t.Errorf("got %v", got)
	}
	s.waitForQueues(t)
}

// waitForAnswers waits until that many requests have come and have their final answers.
func (s *relaySite) waitForAnswers(requests int) {
	s.t.Helper()
	s.waitForFront("all requests have their answers", func(f *Front) bool {
		return f.callCount+f.busyCount == uint64(requests) && f.table.Pending() == 0
	})
}

// waitForQueues waits until no answers wait for clients.
func (s *relaySite) waitForQueues(t *testing.T) {
	t.Helper()
	s.waitForFront("nothing waits for clients", func(f *Front) bool {
		f.queues.mu.Lock()
		defer f.queues.mu.Unlock()
		return f.queues.answers.Bytes() == 0
	})
}

// A client that doesn't read is refused once its unread answers have filled the room for all, and another one is served.
func TestUnreadAnswersAreBounded(t *testing.T) {
	const requests, room = 400, 1 << 20
	var asked atomic.Int64
	s := newSite(t, 64, func(c *standin.DiameterConn, m *diameter.Message) {
		asked.Add(1)
		answerLong(c, m)
	})
	s.front.queues.answers = relay.NewAnswerQueues(room)
	stalled := s.dialSilent(t)
	most := 0
	others := 0
	for i := range requests {
		stalled.send(s.newRequest(4, 2))
		s.waitForAnswers(i + 1 + others)
		s.front.queues.mu.Lock()
		most = max(most, s.front.queues.answers.Bytes())
		s.front.queues.mu.Unlock()
		if i == requests/2 {
			reading := s.client()
			for others < 20 {
				others++
				reading.Send(s.newRequest(4, 2))
				if got := code(scripted.Await(t, reading.Received)); got != diameter.Success {
					t.Fatalf("another client got %d", got)
				}
			}
		}
	}
	// Beyond the room: the answer that came last, one to the other client, and refusals of under 1 KiB.
	if limit := room + 2*(longAnswerBytes+1<<10) + requests<<10; most > limit {
		t.Errorf("%d bytes waited, want at most %d", most, limit)
	}
	got := stalled.results(requests)
	if got[diameter.Success]+got[diameter.TooBusy] != requests || got[diameter.TooBusy] == 0 {
		t.Errorf("got %v", got)
	}
	if n := asked.Load(); n != int64(got[diameter.Success]+others) {
		t.Errorf("servers were asked %d times, %d were served: a refused request must not run", n, got[diameter.Success])
	}
	s.waitForQueues(t)
}

// What waits for a client that has left is dropped from the account.
func TestQueueOfAClientThatLeavesIsDropped(t *testing.T) {
	s := newSite(t, 64, answerLong)
	c := s.dialSilent(t)
	const requests = 300
	for range requests {
		c.send(s.newRequest(4, 2))
	}
	s.waitForAnswers(requests)
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
	s.waitForQueues(t)
}
