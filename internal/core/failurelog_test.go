package core

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"lemonrail/balance"
)

// An outage doesn't fill the log: beyond a burst failed calls are counted, and each line names the attempts.
func TestFailedCallsAreLoggedAtABoundedRate(t *testing.T) {
	l, _ := newTestLoop(nil)
	var log bytes.Buffer
	l.log = slog.New(slog.NewTextHandler(&log, nil))
	for i := range 40 * failureLogRate.Burst {
		endCall(l, fmt.Sprint("request-", i), "", balance.Reset)
	}
	lines := strings.Count(log.String(), "\n")
	if lines < failureLogRate.Burst || lines > 20*failureLogRate.Burst {
		t.Errorf("%d lines", lines)
	}
	if first, _, _ := strings.Cut(log.String(), "\n"); !strings.Contains(first, `msg="request failed" request=request-0 attempts="h0 `) || !strings.Contains(first, "reset") {
		t.Errorf("first line %q", first)
	}
}
