package agent

import (
	"context"
	"sync"
	"time"

	"lemonrail/internal/control"
	"lemonrail/internal/figures"
)

// part is one of those that an agent is made of: made from the configuration, started, asked whether it is ready,
// and stopped, with the others in a stated order. serve goes through the list; what a part has no use for is nil.
// Calls at the control listener and figures are a part's own.
type part struct {
	name string

	start func(*tasks)               // begins what it does, in the order of the list; never waits
	ready func() bool                // false: the agent doesn't say yet that it serves
	leave func(answerBy time.Time)   // a planned stop begins, in the order of the list; never waits
	drain func()                     // the time for which all is served on is over, in the order of the list
	end   func(cutOff time.Duration) // ends what is still in hand, within a time; in the order of the list
	close func()                     // nothing of it is left; in the reverse order

	routes  []control.Route
	figures []figures.Gauge
}

// tasks are the goroutines of an agent's parts.
type tasks struct {
	ctx    context.Context // ends once all parts are closed
	failed chan error      // of the first that failed; it ends the agent
	all    sync.WaitGroup
}

func newTasks(ctx context.Context) *tasks { return &tasks{ctx: ctx, failed: make(chan error, 1)} }

// Go runs f until it returns; an error ends the agent.
func (t *tasks) Go(f func(context.Context) error) {
	t.all.Go(func() {
		if err := f(t.ctx); err != nil {
			select {
			case t.failed <- err:
			default: // another was first
			}
		}
	})
}

// parts is the list, in order.
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

func (ps parts) leave(answerBy time.Time) {
	for _, p := range ps {
		if p.leave != nil {
			p.leave(answerBy)
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

func (ps parts) end(by time.Time) {
	for _, p := range ps {
		if p.end != nil {
			p.end(time.Until(by))
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

func (ps parts) gauges() (all []figures.Gauge) {
	for _, p := range ps {
		all = append(all, p.figures...)
	}
	return all
}
