package diameter

import (
	"net"
	"testing"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/internal/scripted"
	"lemonrail/internal/standin"
)

// Guards against a request that reaches the wrong server: the one that it names has gone, and a new process with another
// identity has come up at its address.
func TestPinnedRequestDoesNotReachANewServerAtTheAddress(t *testing.T) {
	s := newSite(t, 4, answerSuccess)
	c := s.client()
	pinned := func() *diameter.Message {
		m := s.newRequest(0, 0) // of the class that waits for five seconds
		m.AVPs = append(m.AVPs, diameter.Str(diameter.CodeDestinationHost, "s0.example.net"))
		return m
	}
	c.Send(pinned())
	c.Send(s.newRequest(4, 2)) // the first one may come before the server's identity is known
	for range 2 {
		scripted.Await(t, c.Received)
	}
	c.Send(pinned())
	if got := code(scripted.Await(t, c.Received)); got != diameter.Success {
		t.Fatalf("before the change: got %d", got)
	}
	address := s.nodes[0].Addr()
	s.nodes[0].Stop()
	c.Send(pinned()) // waits for the connection
	var ln net.Listener
	for begun := time.Now(); ln == nil; time.Sleep(time.Millisecond) {
		var err error
		if ln, err = net.Listen("tcp4", address); err != nil && time.Since(begun) > scripted.WaitTimeout {
			t.Fatal(err)
		}
	}
	var reached runCounter
	var pinnedReached []string
	s.nodes[0] = standin.NewDiameterNodeOn(ln, "s9.example.net", func(c *standin.DiameterConn, m *diameter.Message) {
		if a := diameter.Find(m.AVPs, diameter.CodeDestinationHost, 0); a != nil {
			name, _ := a.Identity()
			pinnedReached = append(pinnedReached, name)
		}
		reached.add(m)
		c.Answer(m, diameter.Success)
	})
	if got := code(scripted.Await(t, c.Received)); got == diameter.Success {
		t.Errorf("a request for s0.example.net is answered by %v", pinnedReached)
	}
	s.nodes[0].Stop()
	if len(pinnedReached) > 0 {
		t.Errorf("requests for %v reached s9.example.net", pinnedReached)
	}
}
