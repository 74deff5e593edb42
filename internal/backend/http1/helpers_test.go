package http1

import (
	"log/slog"
	"testing"

	"lemonrail/internal/scripted"
)

// Short names for frequently used helpers of package scripted.
const (
	testTimeout = scripted.Patience
	hello       = scripted.Hello
)

var (
	discardLog = slog.New(slog.DiscardHandler)
	deadAddr   = scripted.DeadAddr
	backend    = scripted.Backend
	receive    = scripted.Receive
	always     = scripted.Always
)

func await[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	return scripted.Await(t, c)
}
