package diameter

import (
	"net"
	"testing"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/internal/scripted"
	"lemonrail/internal/standin"
)

// shortDeadline is the time of clients in these tests; requests wait to be read for longer.
const shortDeadline = 100 * time.Millisecond

// newUnaskedSite returns a site whose server must get no request, with shortDeadline.
func newUnaskedSite(t *testing.T, wrap func(net.Listener) net.Listener) *relaySite {
	return newSiteWith(t, siteOptions{window: 16, deadline: shortDeadline, wrap: wrap}, func(c *standin.DiameterConn, m *diameter.Message) {
		t.Errorf("the server got request %d after its client's time", m.EndToEnd)
		answerSuccess(c, m)
	})
}

// A client's time runs while its connection waits to be accepted: a request that is read after it is refused.
func TestTimeRunsInTheListenersQueue(t *testing.T) {
	var held *scripted.HeldListener
	s := newUnaskedSite(t, func(ln net.Listener) net.Listener {
		held = scripted.HoldAccepts(ln)
		return held
	})
	c, err := standin.DialDiameter(s.addr, "client1.example.net", diameter.AppCreditControl)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.Send(s.newRequest(4, 2))
	time.Sleep(4 * shortDeadline)
	close(held.Release)
	if m := scripted.Await(t, c.Received); m.Command != diameter.CapabilitiesExchange {
		t.Fatalf("got %+v", m)
	}
	if got := code(scripted.Await(t, c.Received)); got != diameter.TooBusy {
		t.Errorf("got %d", got)
	}
}

// A client's time runs while it isn't read from because it is ahead of its pace, whether its request has been read with others
// or waits in the socket.
func TestTimeRunsWhileAClientIsPaced(t *testing.T) {
	const invalid = 100 // answers that need no server: beyond 32, each pauses the reading for 10 ms
	for name, split := range map[string]bool{"read ahead": false, "in the socket": true} {
		t.Run(name, func(t *testing.T) {
			s := newUnaskedSite(t, nil)
			c := s.client()
			var raw []byte
			for range invalid {
				m := s.newRequest(4, 2)
				m.AVPs = m.AVPs[:1]
				raw, _ = m.Append(raw)
			}
			last := s.newRequest(4, 2)
			if !split {
				raw, _ = last.Append(raw)
			}
			c.Write(raw)
			if split {
				for range 40 {
					scripted.Await(t, c.Received)
				}
				c.Send(last)
			}
			for m := range c.Received {
				if m.EndToEnd == last.EndToEnd {
					if got := code(m); got != diameter.TooBusy {
						t.Errorf("got %d", got)
					}
					return
				}
			}
			t.Error("no answer")
		})
	}
}
