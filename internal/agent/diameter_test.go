package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"testing"

	"lemonrail/balance"
	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/relay"
	"lemonrail/internal/standin"
)

// HTTP and Diameter in one process share one balancer, which treats a backend of both as one.
func TestBothProtocolsShareOneBalancer(t *testing.T) {
	node, err := standin.NewDiameterNode("s0.example.net", func(c *standin.DiameterConn, m *diameter.Message) { c.Answer(m, diameter.Success) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Stop)
	raw, err := os.ReadFile("../../deploy/diameter.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(raw), "127.0.0.1:3868", "127.0.0.1:0", 1)
	text = strings.Replace(text, "[[peer]]", fmt.Sprintf("[[server]]\nhost = \"h0\"\naddress = %q\n\n[[peer]]", node.Addr()), 1)
	rules, err := relay.ParseRules("diameter.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(t, backend(t, always(hello)))
	if err := cfg.WithDiameter(rules); err != nil {
		t.Fatal(err)
	}
	bal := newDecider(sendAll)
	ln := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	said := make(logLines, 100)
	done := make(chan error, 1)
	go func() { done <- serve(ctx, cfg, bal, ln, nil, nil, nil, slog.New(slog.NewTextHandler(said, nil))) }()
	t.Cleanup(func() {
		cancel()
		if err := await(t, done); err != nil {
			t.Error(err)
		}
	})
	addr := ""
	for addr == "" {
		if _, rest, ok := strings.Cut(await(t, (<-chan string)(said)), `msg="serving diameter" listen=`); ok {
			addr = strings.TrimSpace(rest)
		}
	}
	if resp, body, err := sendRead(newClient(t), "http://"+ln.Addr().String(), "d1"); err != nil || resp.StatusCode != http.StatusOK || body != "hello" {
		t.Errorf("over HTTP: %v, %q, %v", resp, body, err)
	}
	if r := nextEvent[balance.Request](t, bal); r.Class != 0 {
		t.Errorf("over HTTP: class %d", r.Class)
	}
	c, err := standin.DialDiameter(addr, "client1.example.net", diameter.AppCreditControl)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	await(t, c.Received)
	c.Send(&diameter.Message{Flags: diameter.FlagRequest | diameter.FlagProxiable, Command: diameter.CreditControl, Application: diameter.AppCreditControl,
		HopByHop: 5, EndToEnd: 6, AVPs: []diameter.AVP{diameter.Str(diameter.CodeSessionID, "s;1"), diameter.Str(diameter.CodeOriginHost, "client1.example.net"),
			diameter.Str(diameter.CodeDestinationRealm, "example.net"), diameter.U32(diameter.CodeCCRequestType, 1)}})
	a := await(t, c.Received)
	if v, err := diameter.Find(a.AVPs, diameter.CodeResultCode, 0).Uint32(); err != nil || v != diameter.Success || a.HopByHop != 5 {
		t.Errorf("over Diameter: %+v", a)
	}
	if r := nextEvent[balance.Request](t, bal); r.Class != 2+1 { // charge, which comes after read and sub
		t.Errorf("over Diameter: class %d", r.Class)
	}
}
