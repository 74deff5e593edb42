package diameter

import (
	"net"
	"syscall"
	"testing"

	"lemonrail/internal/diameter"
	"lemonrail/internal/scripted"
)

// Guards against a front that ends, and the whole process with it, because accepting one connection failed for a moment.
func TestFailedAcceptsDontEndTheFront(t *testing.T) {
	s := newSiteWith(t, siteOptions{window: 16, wrap: func(ln net.Listener) net.Listener {
		return scripted.FailAccepts(ln, syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENETUNREACH)
	}}, answerSuccess)
	c := s.client()
	c.Send(s.newRequest(4, 2))
	if got := code(scripted.Await(t, c.Received)); got != diameter.Success {
		t.Errorf("got %d", got)
	}
}
