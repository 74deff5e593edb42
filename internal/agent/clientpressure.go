package agent

import (
	"context"
	"log/slog"
	"time"

	"lemonrail/internal/admission"
	"lemonrail/internal/metrics"
)

// This file reports what clients are refused, and what they hold.

// pressureInterval is the least time between two log lines about refused or slowed clients.
const pressureInterval = 5 * time.Second

// clientGauges returns the metrics of the clients' connections.
func clientGauges(l *admission.Listener) []metrics.Gauge {
	gauge := func(name string, value func(c admission.Counts) uint64) metrics.Gauge {
		return metrics.Gauge{Name: name, Value: func() int64 { return int64(value(l.Counts())) }}
	}
	return []metrics.Gauge{
		gauge("client_connections", func(c admission.Counts) uint64 { return uint64(c.Held) }),
		gauge("client_body_bytes", func(c admission.Counts) uint64 { return uint64(c.ReservedBytes) }),
		gauge("client_head_bytes", func(c admission.Counts) uint64 { return uint64(c.HeadBytes) }),
		{Name: "client_read_ahead_bytes", Value: l.ReadAheadBytes},
		gauge("client_connections_refused", func(c admission.Counts) uint64 { return c.Refused }),
		gauge("client_connections_evicted", func(c admission.Counts) uint64 { return c.Evicted }),
		gauge("client_connections_closed_unread", func(c admission.Counts) uint64 { return c.ClosedUnread }),
		gauge("client_heads_refused", func(c admission.Counts) uint64 { return c.HeadsRefused }),
		gauge("client_bodies_refused", func(c admission.Counts) uint64 { return c.BodiesRefused }),
		gauge("client_answers_paced", func(c admission.Counts) uint64 { return c.AnswersPaced }),
	}
}

// reportPressure logs what clients were refused, and how often they were slowed down, whenever that has grown, until ctx ends.
func reportPressure(ctx context.Context, l *admission.Listener, log *slog.Logger) {
	tick := time.NewTicker(pressureInterval)
	defer tick.Stop()
	var last admission.Counts
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		now := l.Counts()
		if now.Refused > last.Refused || now.Evicted > last.Evicted || now.HeadsRefused > last.HeadsRefused ||
			now.BodiesRefused > last.BodiesRefused || now.AnswersPaced > last.AnswersPaced {
			log.Info("clients were refused or slowed", "connections", now.Held, "refused", now.Refused-last.Refused, "evicted", now.Evicted-last.Evicted,
				"heads", now.HeadsRefused-last.HeadsRefused, "bodies", now.BodiesRefused-last.BodiesRefused, "paced", now.AnswersPaced-last.AnswersPaced,
				"head-bytes", now.HeadBytes, "body-bytes", now.ReservedBytes, "read-ahead-bytes", l.ReadAheadBytes())
		}
		last = now
	}
}
