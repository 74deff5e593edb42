package diameter

import (
	"context"
	"log/slog"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/core"
	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/relay"
	"lemonrail/internal/standin"
)

// newTestBackend returns a backend by the shipped rules, with these lines for servers added.
func newTestBackend(t *testing.T, servers string) *Backend {
	t.Helper()
	raw, err := os.ReadFile("../../../deploy/diameter.toml")
	if err != nil {
		t.Fatal(err)
	}
	rules, err := relay.ParseRules("diameter.toml", []byte(strings.Replace(string(raw), "[[peer]]", servers+"\n[[peer]]", 1)))
	if err != nil {
		t.Fatal(err)
	}
	b := New(Config{Rules: rules, Identity: "relay", Realm: "r", ConnectTimeout: 10 * time.Second, Window: 4,
		Peer: diameter.DefaultPeerConfig(), Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(b.Close)
	return b
}

// Guards against requests that reach the wrong server: another one has come up at the address of a configured server.
func TestRequestDoesNotReachAnotherServerAtTheAddress(t *testing.T) {
	for identity, want := range map[string]balance.Result{"OCS1.example.net": balance.OK, "ocs2.example.net": balance.NotSent} {
		var reached atomic.Int32
		node, err := standin.NewDiameterNode(identity, func(c *standin.DiameterConn, m *diameter.Message) {
			reached.Add(1)
			c.Answer(m, diameter.Success)
		})
		if err != nil {
			t.Fatal(err)
		}
		b := newTestBackend(t, "[[server]]\nhost = \"h0\"\nidentity = \"ocs1.example.net\"\n")
		request := &Request{From: "c", Message: &diameter.Message{Flags: diameter.FlagRequest | diameter.FlagProxiable,
			Command: diameter.CreditControl, Application: diameter.AppCreditControl}}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if r := b.Exchange(ctx, nil, core.Target{ID: "h0", Addr: node.Addr()}, request); r.Result != want {
			t.Errorf("%s: got %v, want %v", identity, r.Result, want)
		}
		cancel()
		node.Stop()
		if got := reached.Load() > 0; got != (want == balance.OK) {
			t.Errorf("%s: the request reached it: %v", identity, got)
		}
	}
}
