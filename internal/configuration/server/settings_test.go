package server

import (
	"os"
	"strings"
	"testing"
)

func deployedFile(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../../../deploy/control.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestDeployedFileIsValid(t *testing.T) {
	s, err := ParseSettings("control.toml", []byte(deployedFile(t)))
	if err != nil {
		t.Fatal(err)
	}
	for group, want := range map[string]int{"fleet": 4, "region-a": 3, "region-b": 3} {
		if got := len(s.voters(group)); got != want {
			t.Errorf("%d machines vote in %s, not %d", got, group, want)
		}
	}
}

func TestFileErrorsNameLineAndKey(t *testing.T) {
	for _, tt := range []struct{ name, old, new, want string }{
		{"an unknown key", "tick_ms", "tock_ms", "control.toml: line 8: unknown key tock_ms"},
		{"a tick that is too short", "tick_ms = 50", "tick_ms = 1", "control.toml: line 8: tick_ms"},
		{"an unknown machine", `name = "a1"   `, `name = "a9"   `, "control.toml: line 4: name"},
		{"another region", `region = "a"`, `region = "b"`, "control.toml: line 5: region"},
		{"no folder", `"/var/lib/lemonrail/control"`, `""`, "control.toml: line 7: folder"},
		{"no port", `address = "127.0.0.1:7961"`, `address = "127.0.0.1"`, "control.toml: line 20: machine.address"},
		{"a name twice", `name = "a2"`, `name = "a1"`, "control.toml: line 20: machine.name"},
		{"an address twice", "127.0.0.1:7974", "127.0.0.1:7971", "control.toml: line 20: machine.groups.region-a"},
		{"no vote in its own region", `region-a = "127.0.0.1:7974"`, "", "control.toml: line 20: machine.groups"},
		{"an unknown group", `region-a = "127.0.0.1:7974"`, "region-a = \"127.0.0.1:7974\"\nregion-c = \"127.0.0.1:1\"",
			"control.toml: line 20: machine.groups.region-c"},
		{"no witness", `region-a = "127.0.0.1:7977"`, "", "control.toml: 0 machines of other regions vote in region-a"},
		{"two witnesses", `region-b = "127.0.0.1:7979"`, "region-b = \"127.0.0.1:7979\"\nregion-a = \"127.0.0.1:1\"",
			"control.toml: 2 machines of other regions vote in region-a"},
		{"a negative settle time", "settle_s = 15", "settle_s = -1", "control.toml: line 9: settle_s"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			text := deployedFile(t)
			if !strings.Contains(text, tt.old) {
				t.Fatalf("the file has no %q", tt.old)
			}
			_, err := ParseSettings("control.toml", []byte(strings.Replace(text, tt.old, tt.new, 1)))
			if err == nil || !strings.HasPrefix(err.Error(), tt.want) {
				t.Errorf("got %v, want %s", err, tt.want)
			}
		})
	}
}
