package http1

import (
	"log/slog"
	"testing"

	"lemonrail/internal/scripted"
)

// Short names for frequently used helpers of package scripted.
const (
	testTimeout = scripted.WaitTimeout
	hello       = scripted.HelloResponse
)

var (
	discardLog = slog.New(slog.DiscardHandler)
	deadAddr   = scripted.DeadAddr
	backend    = scripted.Backend
	receive    = scripted.ReadRequest
	always     = scripted.AnswerAlways
)

// await returns the next value from c; if none comes within testTimeout, the test fails.
func await[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	return scripted.Await(t, c)
}
