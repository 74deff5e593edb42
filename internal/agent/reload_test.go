package agent

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lemonrail/balance"
)

// A signal moves the watch; a file that is half written when it comes is read again, and what
// held goes on to hold.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	whole := configJSON("127.0.0.1:8501", "")
	write(whole[:len(whole)/2])
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	hup := make(chan os.Signal)
	moved := make(chan netip.AddrPort, 1)
	warned := make(lines, 100)
	go follow(ctx, hup, path, func(a netip.AddrPort) { moved <- a }, slog.New(slog.NewTextHandler(warned, nil)))
	hup <- os.Interrupt // any signal will do
	if w := await(t, (<-chan string)(warned)); !strings.Contains(w, "kept") {
		t.Errorf("logged %q", w)
	}
	write(whole)
	if got := await(t, moved); got != addrPort(t, "127.0.0.1:8501") {
		t.Errorf("moved to %v", got)
	}
}

// lines is a log that a test reads.
type lines chan string

func (l lines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// The new service's list counts from its first word on, whatever its version: what is not on it
// has gone. Until then the old list holds, and the old service is heard no more.
func TestDiscoveryMoves(t *testing.T) {
	one, two := newRoster(t), newRoster(t)
	d, lists := following(t, one, false)
	go d.run()
	first := await(t, one.calls)
	first.lines <- roll(90, true, entry("h1", "a", "m1", "ready"), entry("h2", "a", "m1", "ready"))
	await(t, lists)
	d.move(addrPort(t, two.srv.Listener.Addr().String()))
	c := await(t, two.calls)
	if c.query != "follow=1" {
		t.Errorf("asked %q", c.query)
	}
	if len(lists) > 0 {
		t.Errorf("told %+v before the new service spoke", await(t, lists))
	}
	c.lines <- roll(3, true, entry("h1", "a", "m1", "ready"))
	if got := await(t, lists); got.list.Kind != balance.ListFull || got.list.Version != 3 || len(got.list.Backends) != 1 {
		t.Errorf("got %+v", got)
	}
	close(c.lines)
	if c = await(t, two.calls); c.query != "follow=1&since=3" {
		t.Errorf("asked %q after the break", c.query)
	}
}
