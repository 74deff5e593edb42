package control

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"syscall"
	"testing"

	"lemonrail/internal/scripted"
)

// Guards against a control listener that ends, and the whole agent with it, because accepting one call failed for a moment.
func TestFailedAcceptsDontEndTheListener(t *testing.T) {
	ln := scripted.Listen(t)
	failing := scripted.FailAccepts(ln, syscall.EMFILE, syscall.ENOBUFS, syscall.ENETUNREACH)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- Serve(ctx, failing, []Route{ReadyRoute("GET /api/ready", func() bool { return true })}, slog.New(slog.DiscardHandler))
	}()
	resp, err := http.Get("http://" + ln.Addr().String() + "/api/ready")
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("got %d", resp.StatusCode)
	}
	cancel()
	if err := scripted.Await(t, ended); err != nil {
		t.Error(err)
	}
}
