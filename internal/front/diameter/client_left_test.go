package diameter

import (
	"sync/atomic"
	"testing"
	"time"

	"lemonrail/internal/diameter"
	"lemonrail/internal/scripted"
	"lemonrail/internal/standin"
)

// waitForFront waits until a condition on the front holds, which is checked under its lock.
func (s *relaySite) waitForFront(what string, holds func(f *Front) bool) {
	s.t.Helper()
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		s.front.mu.Lock()
		ok := holds(s.front)
		s.front.mu.Unlock()
		if ok {
			return
		}
		if time.Since(begun) > scripted.WaitTimeout {
			s.t.Fatalf("waited in vain until %s", what)
		}
	}
}

// Guards against a further attempt of a request whose client has closed its connection: nobody waits for its answer. The
// client's resend, when it is back, is treated by what is known: a safe request runs, others may have run.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	for _, tt := range []struct {
		name   string
		kind   uint32
		resend uint32 // result of the resend
		asked  int64  // requests that servers get in all
	}{
		{"safe", 4, diameter.Success, 2},
		{"keyed", 1, diameter.UnableToComply, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var asked atomic.Int64
			first, release := make(chan struct{}), make(chan struct{})
			script := func(c *standin.DiameterConn, m *diameter.Message) {
				if asked.Add(1) == 1 {
					close(first)
					<-release
					c.Close() // without an answer: the request may be repeated, and another server is there
					return
				}
				c.Answer(m, diameter.Success)
			}
			s := newSite(t, 16, script, script)
			c := s.client()
			m := s.newRequest(tt.kind, 2)
			c.Send(m)
			scripted.Await(t, first)
			c.Close()
			s.waitForFront("the connection is gone", func(f *Front) bool { return len(f.conns) == 0 })
			close(release)
			s.waitForFront("the request has ended", func(f *Front) bool { return f.table.Pending() == 0 })
			if n := asked.Load(); n != 1 {
				t.Errorf("%d attempts, want the first alone", n)
			}
			back := s.client()
			back.Send(resent(m, true))
			if got := code(scripted.Await(t, back.Received)); got != tt.resend {
				t.Errorf("the resend got %d, want %d", got, tt.resend)
			}
			if n := asked.Load(); n != tt.asked {
				t.Errorf("%d attempts with the resend, want %d", n, tt.asked)
			}
		})
	}
}

// A client that is back before the first attempt has failed gets the answer of a further one.
func TestClientThatIsBackGetsFurtherAttempts(t *testing.T) {
	var asked atomic.Int64
	first, release := make(chan struct{}), make(chan struct{})
	script := func(c *standin.DiameterConn, m *diameter.Message) {
		if asked.Add(1) == 1 {
			close(first)
			<-release
			c.Close()
			return
		}
		c.Answer(m, diameter.Success)
	}
	s := newSite(t, 16, script, script)
	c := s.client()
	m := s.newRequest(4, 2)
	c.Send(m)
	scripted.Await(t, first)
	c.Close()
	s.waitForFront("the connection is gone", func(f *Front) bool { return len(f.conns) == 0 })
	back := s.client()
	back.Send(resent(m, true))
	s.waitForFront("the resend has joined the request", func(f *Front) bool { return len(f.table.Waiters(requestKey(m))) > 0 })
	close(release)
	if got := code(scripted.Await(t, back.Received)); got != diameter.Success || asked.Load() != 2 {
		t.Errorf("got %d after %d attempts", got, asked.Load())
	}
}
