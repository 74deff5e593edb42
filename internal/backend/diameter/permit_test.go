package diameter

import (
	"context"
	"testing"

	"lemonrail/balance"
	"lemonrail/internal/core"
	"lemonrail/internal/diameter/relay"
)

// An attempt whose turn to be written has not come is taken back at once, and what is out is not.
func TestTakenBack(t *testing.T) {
	for name, take := range map[string]func(*core.Permit){"dropped": func(p *core.Permit) { p.Drop() }, "withdrawn": (*core.Permit).Withdraw} {
		s := &server{b: &Backend{}, opened: make(chan struct{}), window: relay.NewWindow(4, 1)}
		s.b.cfg.ConnectTimeout = 1 << 40 // the server does not come up
		p, back := &core.Permit{}, make(chan struct{})
		p.Await(func() { close(back) })
		take(p)
		if res, ok := s.await(context.Background(), back, nil); ok || res != balance.Withdrawn {
			t.Errorf("%s while it waits for the server: got %v, %v", name, res, ok)
		}
		for _, state := range []itemState{queued, begun, written} {
			s.out = map[uint64]*attempt{1: {no: 1, it: &item{state: state, permit: p}}}
			if got := s.withdraw(s.out[1]); got != (state == queued) || (len(s.out) == 0) != got {
				t.Errorf("%s in state %v: taken back %v, %d out", name, state, got, len(s.out))
			}
		}
	}
}
