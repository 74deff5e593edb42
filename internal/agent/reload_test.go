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

// On a signal the agent follows discovery to its new address. A file that is half written then is read again, and until
// it is valid the old configuration stays.
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
	warned := make(logLines, 100)
	go reloadOnSignal(ctx, hup, path, firstReloadWait, func(a netip.AddrPort) { moved <- a }, slog.New(slog.NewTextHandler(warned, nil)))
	hup <- os.Interrupt // any signal triggers a reload
	if w := await(t, (<-chan string)(warned)); !strings.Contains(w, "kept") {
		t.Errorf("logged %q", w)
	}
	write(whole)
	if got := await(t, moved); got != addrPort(t, "127.0.0.1:8501") {
		t.Errorf("moved to %v", got)
	}
}

// logLines is a writer for logs that passes each line to a test.
type logLines chan string

func (l logLines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// With discovery down an agent serves from the list in its configuration.
func TestDiscoveryDown(t *testing.T) {
	base, _, _ := startAgent(t, testConfig(t, backend(t, always(hello))), nil)
	if resp, body, err := sendRead(newClient(t), base, "d1"); err != nil || resp.StatusCode != http.StatusOK || body != "hello" {
		t.Errorf("got %v, %q, %v", resp, body, err)
	}
}

// A signal comes during the wait after an invalid file: the new file is read at once, not at the end of the wait. The
// wait grows to seconds, but the change announced by the signal has to take effect within four.
func TestSignalDuringReloadRetry(t *testing.T) {
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
		reloadOnSignal(ctx, hup, path, time.Hour, func(to netip.AddrPort) { moved <- to }, slog.New(keptLog{quiet.Handler(), kept}))
	}()
	for range 3 { // more than one signal during a wait
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

// keptLog signals on kept that an invalid configuration was ignored.
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
