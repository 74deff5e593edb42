package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"lemonrail/internal/diameter"
	"lemonrail/internal/standin"
)

func TestDiameterDecode(t *testing.T) {
	m := diameter.Message{Flags: diameter.FlagRequest, Command: diameter.DeviceWatchdog, HopByHop: 1, EndToEnd: 2,
		AVPs: []diameter.AVP{diameter.Str(diameter.CodeOriginHost, "a.example.net"), diameter.Str(diameter.CodeOriginRealm, "example.net")}}
	raw, err := m.Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	m.AVPs = m.AVPs[:1]
	two, err := m.Append(raw)
	if err != nil {
		t.Fatal(err)
	}
	code, out, errOut := call(t, string(two), "diameter", "decode", "-")
	if code != 0 || strings.Count(out, "Device-Watchdog-Request") != 2 || !strings.Contains(out, "a.example.net") || strings.Count(out, "wrong: ") != 1 {
		t.Errorf("%d: %s%s", code, out, errOut)
	}
	file := filepath.Join(t.TempDir(), "capture")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	code, out, errOut = call(t, "", "diameter", "decode", "--json", file)
	var got struct {
		Command string
		AVPs    []struct{ Name string }
	}
	if err := json.Unmarshal([]byte(out), &got); code != 0 || err != nil || got.Command != "Device-Watchdog-Request" || len(got.AVPs) != 2 {
		t.Errorf("%d %v: %s%s", code, err, out, errOut)
	}
	if code, _, errOut := call(t, string(two[:len(two)-3]), "diameter", "decode", "-"); code != 1 || !strings.Contains(errOut, "at byte") {
		t.Errorf("cut off: %d %s", code, errOut)
	}
}

// TestDiameterSend runs clients against a server that answers every fifth request with TooBusy, and against
// one that answers each request twice: the command must report that as an error.
func TestDiameterSend(t *testing.T) {
	var n atomic.Int64
	node, err := standin.NewDiameterNode("s0.example.net", func(c *standin.DiameterConn, m *diameter.Message) {
		result := uint32(diameter.Success)
		if n.Add(1)%5 == 0 {
			result = diameter.TooBusy
		}
		c.Answer(m, result)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Stop)
	code, out, errOut := call(t, "", "diameter", "send", "--target", node.Addr(), "--clients", "4", "--each", "25", "--json")
	var got struct {
		Requests, Answered, Twice int
		Results                   map[string]int
	}
	if err := json.Unmarshal([]byte(out), &got); code != 0 || err != nil || got.Answered != 100 || got.Results["2001"] != 80 || got.Results["3004"] != 20 {
		t.Errorf("%d %v: %s%s", code, err, out, errOut)
	}
	code, out, errOut = call(t, "", "diameter", "send", "--target", node.Addr(), "--each", "10")
	if code != 0 || !strings.Contains(out, "10 requests of 1 clients") || !strings.Contains(out, "Result-Code 2001: 8") {
		t.Errorf("%d: %s%s", code, out, errOut)
	}
	twice, err := standin.NewDiameterNode("s1.example.net", func(c *standin.DiameterConn, m *diameter.Message) {
		c.Answer(m, diameter.Success)
		c.Answer(m, diameter.Success)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(twice.Stop)
	if code, _, errOut := call(t, "", "diameter", "send", "--target", twice.Addr(), "--each", "10", "--out", "1"); code != 1 || !strings.Contains(errOut, "extra answers to requests already answered") {
		t.Errorf("answered twice: %d %s", code, errOut)
	}
}

func TestDiameterServe(t *testing.T) {
	code, out, errOut := call(t, "", "diameter", "serve", "--listen", "127.0.0.1:0", "--for", "10ms", "--json")
	if code != 0 || !strings.Contains(out, `"requests": 0`) || !strings.Contains(errOut, "serves Diameter at 127.0.0.1:") {
		t.Errorf("%d: %s%s", code, out, errOut)
	}
	for want, args := range map[string][]string{
		"--busy":   {"--busy", "1.5"},
		"more":     {"--busy", "0.6", "--silent", "0.6"},
		"loopback": {"--listen", "192.0.2.1:3868"},
	} {
		if code, _, errOut := call(t, "", append([]string{"diameter", "serve"}, args...)...); code != 1 || !strings.Contains(errOut, want) {
			t.Errorf("%v: %d %s", args, code, errOut)
		}
	}
	if code, _, errOut := call(t, "", "diameter", "send", "--target", "192.0.2.1:3868"); code != 1 || !strings.Contains(errOut, "loopback") {
		t.Errorf("%d %s", code, errOut)
	}
}
