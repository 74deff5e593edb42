package diameter

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

// newPeer returns a closed peer with the default times and no jitter; local is this node's identity.
func newPeer(local string) *Peer {
	cfg := DefaultPeerConfig()
	cfg.WatchdogJitter = 0
	return NewPeer(local, cfg, rand.New(rand.NewPCG(1, 2)))
}

// Scripts for a peer: each line holds a time in seconds, an event, the expected actions and the state after
// it.
func TestPeerScripts(t *testing.T) {
	inputs := map[string]Event{
		"start": {Input: Start}, "stop": {Input: Stop}, "conn-up": {Input: ConnUp}, "conn-failed": {Input: ConnFailed},
		"cer": {Input: GotCER, Side: Responder, Host: "b.example"}, "cea": {Input: GotCEA, Side: Initiator, Result: Success},
		"cea-5010": {Input: GotCEA, Side: Initiator, Result: NoCommonApplication},
		"i-dwr":    {Input: GotDWR, Side: Initiator}, "i-dwa": {Input: GotDWA, Side: Initiator}, "i-dpr": {Input: GotDPR, Side: Initiator},
		"i-dpa": {Input: GotDPA, Side: Initiator}, "i-other": {Input: GotOther, Side: Initiator}, "i-gone": {Input: PeerDisconnected, Side: Initiator},
		"r-dwr": {Input: GotDWR, Side: Responder}, "r-dpr": {Input: GotDPR, Side: Responder}, "r-other": {Input: GotOther, Side: Responder},
		"r-gone": {Input: PeerDisconnected, Side: Responder}, "tick": {Input: Tick},
	}
	for _, tt := range []struct{ name, local, script string }{
		{"we connect, talk and stop", "a.example", `
			1 start -> Connect(I) | Wait-Conn-Ack
			2 conn-up -> SendCER(I) | Wait-I-CEA
			3 cea -> Opened(I) | I-Open OKAY
			4 i-other -> Deliver(I) | I-Open OKAY
			5 i-dwr -> SendDWA(I) | I-Open OKAY
			6 stop -> SendDPR(I) | Closing
			7 i-other -> Deliver(I) | Closing
			8 i-dpa -> Disconnect(I) Lost | Closed`},
		{"the peer connects", "a.example", `
			1 cer -> SendCEA(R) Opened(R) | R-Open OKAY
			2 cer -> Reject(R) | R-Open OKAY
			3 r-dpr -> SendDPA(R) | Closing
			4 r-other -> Deliver(R) | Closing
			5 r-gone -> Disconnect(R) Lost | Closed`},
		{"both connect, and we lose the election", "a.example", `
			1 start -> Connect(I) | Wait-Conn-Ack
			2 cer -> | Wait-Conn-Ack/Elect
			3 conn-up -> SendCER(I) | Wait-Returns
			4 cea -> Disconnect(R) Opened(I) | I-Open OKAY`},
		{"both connect, and we win the election", "c.example", `
			1 start -> Connect(I) | Wait-Conn-Ack
			2 conn-up -> SendCER(I) | Wait-I-CEA
			3 cer -> Disconnect(I) SendCEA(R) Opened(R) | R-Open OKAY`},
		{"both connect, and our connection fails", "a.example", `
			1 start -> Connect(I) | Wait-Conn-Ack
			2 cer -> | Wait-Conn-Ack/Elect
			3 conn-failed -> SendCEA(R) Opened(R) | R-Open OKAY`},
		{"both connect, and the peer's connection ends", "a.example", `
			1 start -> Connect(I) | Wait-Conn-Ack
			2 cer -> | Wait-Conn-Ack/Elect
			3 r-gone -> | Wait-Conn-Ack
			4 conn-up -> SendCER(I) | Wait-I-CEA
			5 cer -> | Wait-Returns
			6 r-gone -> | Wait-I-CEA
			7 cea -> Opened(I) | I-Open OKAY`},
		{"no common application", "a.example", `
			1 start -> Connect(I) | Wait-Conn-Ack
			2 conn-up -> SendCER(I) | Wait-I-CEA
			3 cea-5010 -> Disconnect(I) | Closed`},
		{"a request before the CEA", "a.example", `
			1 start -> Connect(I) | Wait-Conn-Ack
			2 conn-up -> SendCER(I) | Wait-I-CEA
			3 i-other -> Disconnect(I) | Closed`},
		{"our connection attempt times out", "a.example", `
			1 start -> Connect(I) | Wait-Conn-Ack
			10 tick -> | Wait-Conn-Ack
			11 tick -> Disconnect(I) | Closed
			13 tick -> Connect(I) | Wait-Conn-Ack`},
		{"the peer does not answer our DPR", "a.example", `
			1 cer -> SendCEA(R) Opened(R) | R-Open OKAY
			2 stop -> SendDPR(R) | Closing
			12 tick -> Disconnect(R) Lost | Closed`},
		{"the peer is suspect and recovers", "a.example", `
			1 cer -> SendCEA(R) Opened(R) | R-Open OKAY
			30 tick -> | R-Open OKAY
			31 tick -> SendDWR(R) | R-Open OKAY
			61 tick -> Failover(R) | R-Open SUSPECT
			62 r-other -> Failback(R) Deliver(R) | R-Open OKAY`},
		{"the peer goes down and is reopened", "a.example", `
			1 start -> Connect(I) | Wait-Conn-Ack
			2 conn-up -> SendCER(I) | Wait-I-CEA
			3 cea -> Opened(I) | I-Open OKAY
			33 tick -> SendDWR(I) | I-Open OKAY
			63 tick -> Failover(I) | I-Open SUSPECT
			93 tick -> Disconnect(I) Lost | Closed
			95 tick -> Connect(I) | Wait-Conn-Ack
			96 conn-up -> SendCER(I) | Wait-I-CEA
			97 cea -> SendDWR(I) | I-Open REOPEN
			98 i-dwa -> | I-Open REOPEN
			128 tick -> SendDWR(I) | I-Open REOPEN
			129 i-dwa -> | I-Open REOPEN
			159 tick -> SendDWR(I) | I-Open REOPEN
			160 i-dwa -> Opened(I) | I-Open OKAY`},
		{"the connection is lost", "a.example", `
			1 start -> Connect(I) | Wait-Conn-Ack
			2 conn-up -> SendCER(I) | Wait-I-CEA
			3 cea -> Opened(I) | I-Open OKAY
			4 i-gone -> Disconnect(I) Lost | Closed`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newPeer(tt.local)
			for _, line := range strings.Split(strings.TrimSpace(tt.script), "\n") {
				what, want, _ := strings.Cut(strings.TrimSpace(line), " -> ")
				if want == "" {
					what, want, _ = strings.Cut(strings.TrimSpace(line), " ->")
				}
				wantActs, wantState, _ := strings.Cut(want, "|")
				var at int
				var input string
				fmt.Sscan(what, &at, &input)
				e, known := inputs[input]
				if !known {
					t.Fatalf("no input %q", input)
				}
				acts := strings.Trim(fmt.Sprint(p.Step(time.Duration(at)*s, e)), "[]")
				state := p.State().String()
				if p.State() == IOpen || p.State() == ROpen {
					state += " " + p.Health().String()
				}
				if acts != strings.TrimSpace(wantActs) || state != strings.TrimSpace(wantState) {
					t.Fatalf("%s: got actions %q and state %q", line, acts, state)
				}
			}
		})
	}
}

// For any sequence of events: requests are sent only on a connection that has exchanged capabilities and is
// not closed, nothing is sent on a closed connection, and every state that waits has a timer.
func TestPeerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPeer(rapid.SampledFrom([]string{"a.example", "c.example"}).Draw(t, "local"))
		now := s
		up := map[Side]bool{} // connections that are established, by side
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "s")) * s
			e := Event{Input: Input(rapid.IntRange(0, int(Tick)).Draw(t, "input")), Side: Side(rapid.IntRange(0, 2).Draw(t, "side")), Host: "b.example", Result: Success}
			switch e.Input { // set the side that the event can occur on
			case GotCER:
				e.Side = Responder
			case GotCEA, ConnUp, ConnFailed:
				e.Side = Initiator
			}
			switch e.Input {
			case ConnUp:
				up[Initiator] = true
			case PeerDisconnected:
				up[e.Side] = false
			}
			had := up[Responder]
			for _, a := range p.Step(now, e) {
				switch a.Kind {
				case Disconnect:
					up[a.Side] = false
				case Connect:
					up[Initiator] = false
				case SendCEA:
					up[Responder] = true
				case Reject:
					up[Responder] = had
				case SendDWR, SendDWA, SendDPR, SendDPA, Deliver, Opened:
					if a.Side != p.side() && p.State() != Closing && p.State() != Closed {
						t.Fatalf("%v in %v", a, p.State())
					}
				}
			}
			if side, ok := p.Usable(); ok && (side != p.side() || p.Health() != Okay) {
				t.Fatalf("usable on %v in %v %v", side, p.State(), p.Health())
			}
			if p.State() != Closed && p.Due() == 0 || p.Due() < 0 {
				t.Fatalf("no timer is set in %v", p.State())
			}
			if p.State() == Closed && p.started && p.reconnectDue == 0 {
				t.Fatal("the peer is started and closed, and no reconnect is planned")
			}
		}
	})
}
