package diameter

import (
	"context"
	"testing"

	"lemonrail/balance"
	"lemonrail/internal/core"
	"lemonrail/internal/diameter/relay"
)

// A waiting attempt whose permit is aborted or withdrawn ends at once; a queued one can be withdrawn, one
// whose writing has begun can't.
func TestWithdraw(t *testing.T) {
	for name, take := range map[string]func(*core.Permit){"dropped": func(p *core.Permit) { p.Abort() }, "withdrawn": (*core.Permit).Withdraw} {
		s := &server{backend: &Backend{}, opened: make(chan struct{}), window: relay.NewWindow(4, 1)}
		s.backend.cfg.ConnectTimeout = 1 << 40 // longer than the test: the server never opens
		p, back := &core.Permit{}, make(chan struct{})
		p.BeginWait(func() { close(back) })
		take(p)
		if res, ok := s.awaitOpen(context.Background(), back, nil); ok || res != balance.DroppedUnsent {
			t.Errorf("%s while waiting for the server: got %v, %v", name, res, ok)
		}
		for _, state := range []itemState{queued, writing, written} {
			s.pending = map[uint64]*attempt{1: {id: 1, item: &queuedMessage{state: state, permit: p}}}
			if got := s.withdraw(s.pending[1]); got != (state == queued) || (len(s.pending) == 0) != got {
				t.Errorf("%s in state %v: withdrawn %v, %d pending", name, state, got, len(s.pending))
			}
		}
	}
}
