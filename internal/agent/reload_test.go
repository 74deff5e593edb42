package agent

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
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
	go follow(ctx, hup, path, rereadFirst, func(a netip.AddrPort) { moved <- a }, slog.New(slog.NewTextHandler(warned, nil)))
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

// With discovery down an agent starts from the list that it last had.
func TestDiscoveryDown(t *testing.T) {
	base, _, _ := running(t, testConfig(t, backend(t, always(hello))), nil)
	if resp, body, err := ask(newClient(t), base, "d1"); err != nil || resp.StatusCode != http.StatusOK || body != "hello" {
		t.Errorf("got %v, %q, %v", resp, body, err)
	}
}

// A signal that crosses with the wait after a file that made no sense: the new file is read at once, not when that
// wait is over, which grows to seconds while what the signal speaks of counts after four.
func TestSignalCrossesWithARetry(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("half a fi")
	hup, moved, kept := make(chan os.Signal, 1), make(chan netip.AddrPort, 1), make(chan struct{}, 10)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		follow(ctx, hup, path, time.Hour, func(to netip.AddrPort) { moved <- to }, slog.New(keptLog{quiet.Handler(), kept}))
	}()
	for range 3 { // as often as it comes
		hup <- syscall.SIGHUP
		await(t, kept)
	}
	at := deadAddr(t)
	write(configJSON(at, "", at))
	hup <- syscall.SIGHUP
	if to := await(t, moved); to.String() != at {
		t.Errorf("moved to %v", to)
	}
	cancel()
	await(t, ended)
}

// keptLog tells when a configuration is kept as it was.
type keptLog struct {
	slog.Handler
	kept chan struct{}
}

func (h keptLog) Enabled(context.Context, slog.Level) bool { return true }

func (h keptLog) Handle(_ context.Context, r slog.Record) error {
	if r.Level == slog.LevelWarn {
		h.kept <- struct{}{}
	}
	return nil
}
