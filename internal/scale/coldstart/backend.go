package coldstart

import (
	"time"

	"lemonrail/balance"
)

// backend serves in turn on a few cores, as fast as its warmth allows.
type backend struct {
	fleet    *fleet
	id       string
	zone     int
	kind     int
	size     float64 // capacity over the usual one
	cold     bool    // starts cold in this run
	down     bool
	started  time.Duration // 0: long ago
	life     int           // counts its processes
	busy     int
	queue    []*attempt
	keys     map[string]time.Duration // when each key was last served
	arrivals []Arrival                // since its start, where it starts in this run
	got      time.Duration            // work that arrived since Start
}

// attempt is one Send on its way.
type attempt struct {
	agent   *agent
	request *request
	number  int
	backend *backend
	sent    time.Duration
	told    bool
	ended   bool
}

// keyMemory is how long a backend remembers a key, and warmKeyWork what is left of the work then.
const (
	keyMemory   = 5 * time.Second
	warmKeyWork = 0.4
)

// take accepts an attempt that has arrived, or turns it away; both add to what it got.
func (b *backend) take(t *attempt) {
	if b.down {
		b.fleet.outcome(t, balance.ConnectFailed)
		return
	}
	if b.fleet.now >= start {
		b.got += t.request.work
	}
	if b.started > 0 {
		b.arrivals = append(b.arrivals, Arrival{At: b.fleet.now - b.started, Work: t.request.work, Told: t.told})
	}
	f := b.fleet
	switch {
	case b.cold && f.ColdFails && f.rng.IntN(2) == 0:
		f.outcome(t, balance.Errored)
	case b.busy < cores:
		b.serve(t)
	case len(b.queue) < f.queueRoom():
		b.queue = append(b.queue, t)
	default:
		f.outcome(t, balance.Full)
	}
}

func (b *backend) serve(t *attempt) {
	b.busy++
	f, life := b.fleet, b.life
	work := float64(t.request.work) / b.size
	if b.started > 0 {
		work /= f.ability(f.now - b.started)
	}
	if at, met := b.keys[t.request.key]; t.request.key != "" && met && f.now-at < keyMemory {
		work *= warmKeyWork
	}
	b.keys[t.request.key] = f.now
	f.at(f.now+time.Duration(work), func() {
		if b.life != life {
			return
		}
		b.busy--
		if len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			b.serve(next)
		}
		if f.rng.Float64() < f.Errors {
			f.outcome(t, balance.Errored)
		} else {
			f.outcome(t, balance.OK)
		}
	})
}

// fail ends the backend's process. What it holds gets no answer.
func (b *backend) fail() {
	b.down, b.busy = true, 0
	b.life++
	b.queue = nil
	clear(b.keys)
}
