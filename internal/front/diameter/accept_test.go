package diameter

import (
	"net"
	"syscall"
	"testing"
	"time"

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

// Guards against a crowd that connects and sends nothing: it doesn't keep clients out that exchange capabilities.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s := newSite(t, 16, answerSuccess) // with room for 8 connections
	first := s.client()
	for range 20 {
		nc, err := net.Dial("tcp4", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
	}
	for range 4 {
		c := s.client()
		c.Send(s.newRequest(4, 2))
		if got := code(scripted.Await(t, c.Received)); got != diameter.Success {
			t.Errorf("got %d", got)
		}
	}
	first.Send(s.newRequest(4, 2)) // one that was there before stays
	if got := code(scripted.Await(t, first.Received)); got != diameter.Success {
		t.Errorf("got %d", got)
	}
	s.waitForFront("the bound holds", func(f *Front) bool { return len(f.conns) <= f.cfg.Connections })
}

// The descriptors of clients are counted from the accept to the close, whoever closes.
func TestDescriptorsAreCounted(t *testing.T) {
	count := make(chan int, 64)
	s := newSiteWith(t, siteOptions{window: 16, descriptors: func(delta int) { count <- delta }}, answerSuccess)
	open := 0
	awaitOpen := func(want int) {
		t.Helper()
		for open != want {
			open += scripted.Await(t, count)
		}
	}
	c := s.client()
	awaitOpen(1)
	for range 12 { // some of them are closed for others
		nc, err := net.Dial("tcp4", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
	}
	awaitOpen(8)
	c.Close()
	s.stopFront()
	awaitOpen(0)
	select {
	case <-s.stopped:
	case <-time.After(scripted.WaitTimeout):
		t.Error("the front has not stopped")
	}
}
