package agent

import (
	"strings"
	"testing"
)

func TestParseConfig(t *testing.T) {
	good := configJSON("127.0.0.1:8500", `"limits":{"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:7946",
	 "peers":["127.0.0.1:7946","127.0.0.2:7946"],"peers_all":"127.0.0.9:7946",`, "127.0.0.1:9000")
	cfg, err := parseConfig([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Seed != 0x8c1f30d27a5be964 || cfg.MemoryMB != 192 || cfg.Sockets != 1024 || len(cfg.Peers) != 2 ||
		cfg.Known.Seq != 41 || len(cfg.Known.Hosts) != 1 || cfg.Names.Classes[1] != "sub" || cfg.Names.Zones[1] != "b" {
		t.Errorf("got %+v", cfg)
	}
	for _, tt := range []struct{ name, old, new, want string }{
		{"not JSON", `{"name"`, `{name`, "invalid"},
		{"no address to listen on", `"listen":"127.0.0.1:0",`, "", "listen"},
		{"a name for an address", "127.0.0.1:8500", "discovery.internal:8500", "discovery"},
		{"seed", "8c1f30d27a5be964", "eight", "seed"},
		{"settings left out", `"settings"`, `"settlings"`, "settings"},
		{"settings that are invalid", `"Balancers":2`, `"Balancers":0`, "Balancers"},
		{"an unknown effect", "by_key", "maybe", "Semantics"},
		{"too few sockets", "1024", "40", "sockets"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := parseConfig([]byte(strings.Replace(good, tt.old, tt.new, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one line with %q", err, tt.want)
			}
		})
	}
}
