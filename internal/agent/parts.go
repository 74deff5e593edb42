package agent

import (
	"context"
	"sync"
	"time"

	"lemonrail/internal/control"
	"lemonrail/internal/metrics"
)

// part is a component of an agent: created from the configuration, started, asked for its readiness and stopped together
// with the others, in the order of the list. Functions that a part doesn't need are nil. Each part brings its own routes
// of the control API and metrics.
type part struct {
	name string

	start     func(*tasks)                // starts the part, in the order of the list; must not block
	ready     func() bool                 // reports whether this part is ready; the agent is once all parts are
	beginStop func(answerBy time.Time)    // begins a planned stop, in the order of the list; must not block
	drain     func()                      // called drainDelay after beginStop, when clients' connections are no longer kept, in the order of the list
	finish    func(timeout time.Duration) // ends what the part still has in hand, within the timeout, in the order of the list
	close     func()                      // releases resources, in the reverse order

	routes []control.Route
	gauges []metrics.Gauge
}

// tasks holds the goroutines of an agent's parts.
type tasks struct {
	ctx    context.Context // ends once all parts have been closed
	failed chan error      // receives the first error of a goroutine, which ends the agent
	wg     sync.WaitGroup
}

func newTasks(ctx context.Context) *tasks { return &tasks{ctx: ctx, failed: make(chan error, 1)} }

// Go runs f in a goroutine; an error that it returns ends the agent.
func (t *tasks) Go(f func(context.Context) error) {
	t.wg.Go(func() {
		if err := f(t.ctx); err != nil {
			select {
			case t.failed <- err:
			default: // an earlier failure is already reported
			}
		}
	})
}

// parts is the list of an agent's parts, in the order in which they start.
type parts []*part

func (ps parts) start(t *tasks) {
	for _, p := range ps {
		if p.start != nil {
			p.start(t)
		}
	}
}

func (ps parts) ready() bool {
	for _, p := range ps {
		if p.ready != nil && !p.ready() {
			return false
		}
	}
	return true
}

func (ps parts) beginStop(answerBy time.Time) {
	for _, p := range ps {
		if p.beginStop != nil {
			p.beginStop(answerBy)
		}
	}
}

func (ps parts) drain() {
	for _, p := range ps {
		if p.drain != nil {
			p.drain()
		}
	}
}

func (ps parts) finish(closeAt time.Time) {
	for _, p := range ps {
		if p.finish != nil {
			p.finish(time.Until(closeAt))
		}
	}
}

func (ps parts) close() {
	for i := len(ps) - 1; i >= 0; i-- {
		if ps[i].close != nil {
			ps[i].close()
		}
	}
}

func (ps parts) routes() (all []control.Route) {
	for _, p := range ps {
		all = append(all, p.routes...)
	}
	return all
}

func (ps parts) gauges() (all []metrics.Gauge) {
	for _, p := range ps {
		all = append(all, p.gauges...)
	}
	return all
}
