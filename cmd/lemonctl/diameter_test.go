package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lemonrail/internal/diameter"
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
	code, out, complaints := call(t, string(two), "diameter", "decode", "-")
	if code != 0 || strings.Count(out, "Device-Watchdog-Request") != 2 || !strings.Contains(out, "a.example.net") || strings.Count(out, "wrong: ") != 1 {
		t.Errorf("%d: %s%s", code, out, complaints)
	}
	file := filepath.Join(t.TempDir(), "capture")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	code, out, complaints = call(t, "", "diameter", "decode", "--json", file)
	var got struct {
		Command string
		AVPs    []struct{ Name string }
	}
	if err := json.Unmarshal([]byte(out), &got); code != 0 || err != nil || got.Command != "Device-Watchdog-Request" || len(got.AVPs) != 2 {
		t.Errorf("%d %v: %s%s", code, err, out, complaints)
	}
	if code, _, complaints := call(t, string(two[:len(two)-3]), "diameter", "decode", "-"); code != 1 || !strings.Contains(complaints, "at byte") {
		t.Errorf("cut off: %d %s", code, complaints)
	}
}
