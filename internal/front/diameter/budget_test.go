package diameter

import (
	"strings"
	"sync"
	"testing"

	"lemonrail/internal/diameter"
	"lemonrail/internal/scripted"
	"lemonrail/internal/standin"
)

// Guards against memory that grows until the process is killed, with long requests whose server hangs: what exceeds the room
// for pending requests is refused at once and reaches no server.
func TestLongRequestsToAHungServerAreRefused(t *testing.T) {
	const requests, textBytes = 60, 48 << 10
	const room = (64 << 20) / 32 // a sixteenth of the memory, with two copies of each request
	hold := make(chan struct{})
	var asked runCounter
	var answering sync.WaitGroup
	s := newSiteWithMemory(t, 64<<20, 64, func(c *standin.DiameterConn, m *diameter.Message) {
		asked.add(m)
		answering.Go(func() {
			<-hold
			c.Answer(m, diameter.Success)
		})
	})
	c := s.client()
	var sent []*diameter.Message
	messageBytes := 0
	for range requests {
		m := s.newRequest(0, 0)
		m.AVPs = append(m.AVPs, diameter.WithoutMandatory(diameter.Str(diameter.CodeErrorMessage, strings.Repeat("x", textBytes))))
		raw, err := m.Append(nil)
		if err != nil {
			t.Fatal(err)
		}
		messageBytes = len(raw)
		c.Send(m)
		sent = append(sent, m)
	}
	accepted := room / messageBytes
	s.waitForFront("all requests have come", func(f *Front) bool { return f.callCount+f.busyCount == requests })
	if got := int(s.front.callCount); got != accepted {
		t.Errorf("%d of %d requests were accepted, want %d", got, requests, accepted)
	}
	for range requests - accepted {
		if got := code(scripted.Await(t, c.Received)); got != diameter.TooBusy {
			t.Errorf("got %d while the server hangs", got)
		}
	}
	close(hold)
	results := map[uint32]int{}
	for range accepted {
		results[code(scripted.Await(t, c.Received))]++
	}
	answering.Wait()
	ran := 0
	for _, m := range sent {
		ran += asked.count(m)
	}
	if results[diameter.Success]+results[diameter.TooBusy] != accepted || ran != results[diameter.Success] {
		t.Errorf("%d requests were run, results %v", ran, results)
	}
}
