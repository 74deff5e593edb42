package link

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lemonrail/internal/member"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var quiet = slog.New(slog.DiscardHandler)

func TestSettingsAreChecked(t *testing.T) {
	for _, tt := range []struct{ text, want string }{
		{"sone = 'a'", "m.toml: line 1: unknown key sone"},
		{"\nperiod_ms = 1", "m.toml: line 2: period_ms"},
		{"pause_ms = 100", "m.toml: line 1: pause_ms"},
		{"rate = 3.0", "m.toml: line 1: rate"},
		{"expected = -1", "m.toml: line 1: expected"},
		{"zone = 'a-zone-that-is-too-long'", "m.toml: line 1: zone"},
		{"listen = 'here'", "m.toml: line 1: listen"},
		{"listen = '[::1]:80'", "m.toml: line 1: listen"},
		{"strangers = true", "m.toml: line 1: strangers"},
		{"folder = '/nowhere/at/all'", "m.toml: line 1: folder"},
		{"[[member]]\nname = 'a'\naddress = '127.0.0.1:1'", "m.toml: listen"},
		{"listen = '127.0.0.1:1'\n[[member]]\naddress = '127.0.0.1:1'", "m.toml: line 2: member.name"},
		{"listen = '127.0.0.1:1'\n[[member]]\nname = 'a'", "m.toml: line 2: member.address"},
		{"listen = '127.0.0.1:1'\n[[member]]\nname = 'a'\naddress = '127.0.0.1:1'\n[[member]]\nname = 'a'\naddress = '127.0.0.1:2'", "m.toml: line 5: member.name"},
		{"listen = '127.0.0.1:1'\n[[member]]\nname = 'a'\naddress = '127.0.0.1:1'\n[[member]]\nname = 'b'\naddress = '127.0.0.1:1'", "m.toml: line 5: member.address"},
	} {
		if _, err := ParseSettings("m.toml", []byte(tt.text)); err == nil || !strings.HasPrefix(err.Error(), tt.want) {
			t.Errorf("%q: %v, want %s", tt.text, err, tt.want)
		}
	}
	if _, err := ReadSettings("../../../deploy/members.toml"); err != nil {
		t.Errorf("deploy/members.toml: %v", err)
	}
}

func TestStartCounters(t *testing.T) {
	dir := t.TempDir()
	now := startCounterEpoch.Add(time.Hour)
	a, err := nextStartCounter(dir, "n0", now)
	if err != nil {
		t.Fatal(err)
	}
	b, err := nextStartCounter(dir, "n0", now.Add(-30*time.Minute)) // the clock went back
	if err != nil || b <= a {
		t.Errorf("counter %d after %d, error %v", b, a, err)
	}
	if err := os.WriteFile(filepath.Join(dir, "n0.life"), []byte("garbage"), 0o600); err != nil {
		t.Fatal(err)
	}
	if c, err := nextStartCounter(dir, "n0", now); err == nil || c == 0 {
		t.Errorf("counter %d, error %v; want a counter and an error for a damaged file", c, err)
	}
	if c, err := nextStartCounter(filepath.Join(dir, "none"), "n0", now); err == nil || c == 0 {
		t.Errorf("counter %d, error %v; want a counter and an error for a missing folder", c, err)
	}
}

// Two links that exchange datagrams see each other, and a link that leaves is seen as left.
func TestJoinAndLeave(t *testing.T) {
	at := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")}
	var links [2]*Link
	counted := make(chan member.AgentCount, 100)
	for i := range links {
		s, err := ParseSettings("m.toml", []byte("period_ms = 20\npause_ms = 500\nrate = 1000.0"))
		if err != nil {
			t.Fatal(err)
		}
		links[i], err = New(Options{Settings: s, Name: string(rune('x' + i)), Self: member.ID(i), Peers: at, Log: quiet,
			Send: func(to netip.AddrPort, data []byte) {
				for j := range at {
					if at[j] == to {
						go links[j].Received(at[i], data)
					}
				}
			},
			OnCount: func(c member.AgentCount) {
				if i == 0 {
					counted <- c
				}
			}})
		if err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done [2]chan struct{}
	for i, l := range links {
		done[i] = make(chan struct{})
		go func() {
			l.Run(ctx)
			close(done[i])
		}()
	}
	until := func(what string, met func(*Report) bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			r, err := links[0].Report(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if met(r) {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("timed out waiting for %s; last report: %+v", what, r)
			}
		}
	}
	until("two alive", func(r *Report) bool { return r.Alive == 2 && r.Majority && r.Members[1].Name == "y" })
	links[1].Leave(time.Second)
	until("one left", func(r *Report) bool { return r.Members[1].State == "left" })
	for c := range counted {
		if c.Living == 1 && c.Possible == 1 {
			break
		}
	}
	cancel()
	for i := range done {
		<-done[i]
	}
	if _, err := links[0].Report(context.Background()); err == nil {
		t.Error("a membership that has ended returned a report")
	}
}
