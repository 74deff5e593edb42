package core

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/pace"
)

// This file logs why calls have failed, with the attempts that were made for them.

// failureLogRate bounds the lines about failed calls, so that an outage doesn't fill the log.
var failureLogRate = pace.Rate{Interval: 100 * time.Millisecond, Burst: 50}

// failureLogs counts the lines about failed calls.
type failureLogs struct {
	written pace.Bucket
	omitted int // since the last line
}

// logFailure logs once why a call has failed, unless there are too many such lines.
func (l *Loop) logFailure(c *Call, level slog.Level, why string) {
	if c.logged {
		return
	}
	c.logged = true
	now := time.Now()
	if !l.failureLogs.written.Allow(l.clock.at(now), failureLogRate) {
		l.failureLogs.omitted++
		return
	}
	l.log.Log(context.Background(), level, why, "request", c.Event.ID, "attempts", describeAttempts(c, now), "omitted", l.failureLogs.omitted)
	l.failureLogs.omitted = 0
}

// describeAttempts returns a call's attempts for the log: the backend, the age and how the attempt ended.
func describeAttempts(c *Call, now time.Time) string {
	var parts []string
	for _, a := range c.attempts {
		state := "out"
		if a.ended {
			state = resultTexts[a.result]
		}
		parts = append(parts, fmt.Sprintf("%s %dms %s", a.backend, now.Sub(a.sent).Milliseconds(), state))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// resultTexts names the results of attempts in the log.
var resultTexts = map[balance.Result]string{balance.OK: "served", balance.Errored: "error", balance.Full: "full", balance.ConnectFailed: "not connected",
	balance.Reset: "reset", balance.TimedOut: "timed out", balance.Cancelled: "cancelled", balance.NotSent: "not sent", balance.DroppedUnsent: "dropped unsent"}
