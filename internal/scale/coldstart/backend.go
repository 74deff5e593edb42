package coldstart

import (
	"time"

	"lemonrail/balance"
)

// backend serves requests in order of arrival on a few cores, at a speed that grows after a cold start.
type backend struct {
	fleet        *fleet
	id           string
	zone         int     // index of its zone
	kind         int     // index of its kind of machine, as in balance.Backend
	size         float64 // capacity relative to a normal backend
	cold         bool    // starts at coldStart
	down         bool
	started      time.Duration            // time of the start; 0: before the run
	process      int                      // incremented at each crash, to ignore completions of earlier processes
	busy         int                      // number of busy cores
	queue        []*attempt               // attempts that wait for a core, the first one first
	keys         map[string]time.Duration // time at which each key was last served
	arrivals     []Arrival                // attempts since the start, if it starts during this run
	receivedWork time.Duration            // work of all attempts that arrived since coldStart
}

// attempt is one attempt of a request, from the balance.Send to its outcome.
type attempt struct {
	agent    *agent
	request  *request
	number   int // 0: the first attempt of the request
	backend  *backend
	sent     time.Duration // time at which the balancer sent it
	notified bool          // whether the agent had been notified of the cold start when it sent the attempt
	ended    bool          // its outcome has been passed to the agent
}

// A backend that served a key within the last keyMemory needs only the share warmKeyWork of the normal work for a request with it.
const (
	keyMemory   = 5 * time.Second
	warmKeyWork = 0.4
)

// receive handles an attempt that arrives: it is served, queued or rejected. Rejected attempts count as received, too,
// unless the backend is down.
func (b *backend) receive(t *attempt) {
	if b.down {
		b.fleet.endAttempt(t, balance.ConnectFailed)
		return
	}
	if b.fleet.now >= coldStart {
		b.receivedWork += t.request.work
	}
	if b.started > 0 {
		b.arrivals = append(b.arrivals, Arrival{Age: b.fleet.now - b.started, Work: t.request.work, Notified: t.notified})
	}
	f := b.fleet
	switch {
	case b.cold && f.ColdFails && f.rng.IntN(2) == 0:
		f.endAttempt(t, balance.Errored)
	case b.busy < cores:
		b.serve(t)
	case len(b.queue) < f.maxQueue():
		b.queue = append(b.queue, t)
	default:
		f.endAttempt(t, balance.Full)
	}
}

// serve starts the work on an attempt on a free core and schedules its completion.
func (b *backend) serve(t *attempt) {
	b.busy++
	f, life := b.fleet, b.process
	work := float64(t.request.work) / b.size
	if b.started > 0 {
		work /= f.actualCapacity(f.now - b.started)
	}
	if at, met := b.keys[t.request.key]; t.request.key != "" && met && f.now-at < keyMemory {
		work *= warmKeyWork
	}
	b.keys[t.request.key] = f.now
	f.scheduleAt(f.now+time.Duration(work), func() {
		if b.process != life {
			return
		}
		b.busy--
		if len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			b.serve(next)
		}
		if f.rng.Float64() < f.ErrorShare {
			f.endAttempt(t, balance.Errored)
		} else {
			f.endAttempt(t, balance.OK)
		}
	})
}

// crash crashes the backend. Attempts that it holds get no answer.
func (b *backend) crash() {
	b.down, b.busy = true, 0
	b.process++
	b.queue = nil
	clear(b.keys)
}
