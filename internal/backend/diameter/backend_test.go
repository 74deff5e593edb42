package diameter

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lemonrail/balance"
	"lemonrail/internal/core"
	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/relay"
	"lemonrail/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// CloseIdleExcept identifies servers by their listed addresses. A server with another Diameter address in the rules is
// kept while it is listed, and disconnected when it no longer is.
func TestCloseIdleExceptClosesUnlistedServers(t *testing.T) {
	node, err := standin.NewDiameterNode("s0", func(c *standin.DiameterConn, m *diameter.Message) { c.Answer(m, diameter.Success) })
	if err != nil {
		t.Fatal(err)
	}
	defer node.Stop()
	raw, err := os.ReadFile("../../../deploy/diameter.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(raw), "[[peer]]", fmt.Sprintf("[[server]]\nhost = \"h0\"\naddress = %q\n\n[[peer]]", node.Addr()), 1)
	rules, err := relay.ParseRules("diameter.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	b := New(Config{Rules: rules, Identity: "relay", Realm: "r", ConnectTimeout: 10 * time.Second, Window: 4,
		Peer: diameter.DefaultPeerConfig(), Log: slog.New(slog.DiscardHandler)})
	defer b.Close()
	listed := core.Target{ID: "h0", Addr: "127.0.0.1:1"}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	m := &diameter.Message{Flags: diameter.FlagRequest | diameter.FlagProxiable, Command: diameter.CreditControl, Application: diameter.AppCreditControl}
	if r := b.Exchange(ctx, nil, listed, &Request{Message: m, From: "c"}); r.Result != balance.OK {
		t.Fatalf("got %v", r.Result)
	}
	b.CloseIdleExcept(func(to core.Target) bool { return to == listed })
	if len(b.servers) != 1 {
		t.Error("a listed server was removed")
	}
	b.CloseIdleExcept(func(core.Target) bool { return false })
	if len(b.servers) != 0 {
		t.Error("a server that is no longer listed was kept")
	}
}
