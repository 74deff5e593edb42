package diameter

import (
	"testing"

	"lemonrail/internal/diameter"
	"lemonrail/internal/scripted"
	"lemonrail/internal/standin"
)

// pipelined sends b.N requests, of which up to eight are pending at a time.
func pipelined(b *testing.B, c *standin.DiameterConn, ask func() *diameter.Message) {
	const out = 8 // maximum number of pending requests
	b.ReportAllocs()
	b.ResetTimer()
	sent := 0
	for range b.N {
		for ; sent < b.N && sent < out; sent++ {
			c.Send(ask())
		}
		if a := scripted.Await(b, c.Received); code(a) != diameter.Success {
			b.Fatalf("got %d", code(a))
		}
		if sent < b.N {
			c.Send(ask())
			sent++
		}
	}
}

// The time per request of the same client and server, connected directly and through the relay.
func BenchmarkRequests(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		node, err := standin.NewDiameterNode("s0.example.net", answerSuccess)
		if err != nil {
			b.Fatal(err)
		}
		defer node.Stop()
		c, err := standin.DialDiameter(node.Addr(), "client1.example.net", diameter.AppCreditControl)
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		scripted.Await(b, c.Received)
		s := &relaySite{t: b}
		pipelined(b, c, func() *diameter.Message { return s.newRequest(4, 2) })
	})
	b.Run("relayed", func(b *testing.B) {
		s := newSite(b, 64, answerSuccess)
		pipelined(b, s.client(), func() *diameter.Message { return s.newRequest(4, 2) })
	})
}
