package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"lemonrail/internal/duty"
	"lemonrail/internal/duty/seat"
	"lemonrail/internal/duty/store"
)

// HollowDuties runs the duty clients of many agents in one process against three voters with real stores.
type HollowDuties struct {
	Agents   []int
	Rest     time.Duration
	Releases int    // of the duty by its holder, one after the other
	Dir      string // of the voters' stores
	Seed     uint64
	Say      func(format string, args ...any)
}

const (
	voters    = 3
	dutyName  = "notes"
	dutyLease = 3000 // milliseconds
)

type dutyFleet struct {
	agents  int
	clients []*seat.Clerk
	traffic traffic

	mu      sync.Mutex
	epoch   duty.Epoch
	holder  string
	changed chan struct{}
	arrived map[duty.Epoch]*arrivals
	latest  map[int]duty.Epoch // by agent: what it heard last
}

// Run measures all sizes.
func (o HollowDuties) Run(ctx context.Context) ([]*Series, error) {
	set := newSeriesSet(Hollow, "agents", "3 voters, one duty with a lease of 3 s")
	for _, agents := range o.Agents {
		o.Say("hollow agents: %d duty clients, %d voters", agents, voters)
		if err := o.size(ctx, set, agents); err != nil {
			return nil, err
		}
	}
	return set.fit()
}

func (o HollowDuties) size(ctx context.Context, set *seriesSet, agents int) error {
	inner, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer func() {
		cancel()
		running.Wait()
	}()
	f := &dutyFleet{agents: agents, changed: make(chan struct{}), arrived: map[duty.Epoch]*arrivals{}, latest: map[int]duty.Epoch{}}
	settings, listeners, err := f.listen()
	if err != nil {
		return err
	}
	for i, ln := range listeners {
		dir := filepath.Join(o.Dir, fmt.Sprintf("voter-%d-of-%d", i, agents))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return errors.Join(err, closeAll(listeners[i:]))
		}
		s, err := seat.New(seat.Options{Settings: settings, Name: voterName(i), FS: store.Dir(dir), Listener: ln, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			return errors.Join(err, closeAll(listeners[i:]))
		}
		running.Go(func() { s.Run(inner) })
	}
	for i := range agents {
		c := seat.NewClerk(seat.ClerkOptions{Settings: settings, Name: fmt.Sprintf("agent-%d", i), Work: map[string]seat.Work{dutyName: &dutyWork{f, i}},
			Log: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(o.Seed, uint64(i)))})
		f.clients = append(f.clients, c)
		running.Go(func() { c.Run(inner) })
	}
	return o.measure(ctx, set, f)
}

func (o HollowDuties) measure(ctx context.Context, set *seriesSet, f *dutyFleet) error {
	x := float64(f.agents)
	epoch, _, err := f.heldSince(ctx, 0)
	if err != nil {
		return fmt.Errorf("nobody holds the duty: %w", err)
	}
	took, err := f.arrivalsOf(epoch).wait(ctx)
	if err != nil {
		return err
	}
	set.spread("the first holder known to all, from its grant", x, took)
	u := startSpan(&f.traffic)
	if err := pause(ctx, o.Rest); err != nil {
		return err
	}
	spent, err := u.end()
	if err != nil {
		return err
	}
	f.mu.Lock()
	set.add("duties at rest, changes of the holder", "", x, float64(f.epoch-epoch))
	epoch = f.epoch
	f.mu.Unlock()
	seconds := spent.took.Seconds()
	set.add("duties at rest, bytes from voters an agent-second", "B/s", x, float64(spent.sent)/x/seconds)
	set.add("duties at rest, bytes to voters an agent-second", "B/s", x, float64(spent.received)/x/seconds)
	set.add("duties at rest, share of a core an agent (agents and voters)", "%", x, 100*spent.cpu.Seconds()/x/seconds)
	return o.releases(ctx, set, f, epoch)
}

// releases measures how long it takes from a release of the duty until all know its next holder.
func (o HollowDuties) releases(ctx context.Context, set *seriesSet, f *dutyFleet, epoch duty.Epoch) error {
	var all []time.Duration
	for range o.Releases {
		f.mu.Lock()
		holder := f.holder
		f.mu.Unlock()
		began := time.Now()
		for i, c := range f.clients {
			if fmt.Sprintf("agent-%d", i) != holder {
				continue
			}
			if _, err := c.Release(ctx, dutyName); err != nil {
				return err
			}
		}
		next, _, err := f.heldSince(ctx, epoch)
		if err != nil {
			return err
		}
		arrived := f.arrivalsOf(next)
		if _, err := arrived.wait(ctx); err != nil {
			return err
		}
		for _, d := range arrived.took {
			all = append(all, arrived.began.Sub(began)+d)
		}
		epoch = next
	}
	set.spread("a released duty's next holder known to all", float64(f.agents), spreadOf(all))
	return nil
}

// listen opens the voters' addresses and writes the settings that name them.
func (f *dutyFleet) listen() (*seat.Settings, []net.Listener, error) {
	var text strings.Builder
	fmt.Fprintf(&text, "voters = %d\nfolder = \"unused\"\n", voters)
	var listeners []net.Listener
	for i := range voters {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, errors.Join(err, closeAll(listeners))
		}
		listeners = append(listeners, countingListener{ln, &f.traffic})
		fmt.Fprintf(&text, "[[seat]]\nname = %q\naddress = %q\n", voterName(i), ln.Addr())
	}
	fmt.Fprintf(&text, "[[duty]]\nname = %q\nlease_ms = %d\n", dutyName, dutyLease)
	settings, err := seat.ParseSettings("hollow duties", []byte(text.String()))
	if err != nil {
		return nil, nil, errors.Join(err, closeAll(listeners))
	}
	return settings, listeners, nil
}

func voterName(i int) string { return fmt.Sprintf("voter-%d", i) }

func closeAll(listeners []net.Listener) error {
	var errs []error
	for _, ln := range listeners {
		errs = append(errs, ln.Close())
	}
	return errors.Join(errs...)
}

// heldSince waits until somebody holds the duty in a later epoch.
func (f *dutyFleet) heldSince(ctx context.Context, after duty.Epoch) (duty.Epoch, string, error) {
	for {
		f.mu.Lock()
		epoch, holder, changed := f.epoch, f.holder, f.changed
		f.mu.Unlock()
		if epoch > after && holder != "" {
			return epoch, holder, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, "", context.Cause(ctx)
		}
	}
}

// arrivalsOf is who has heard of an epoch's holder, or of a later one: a busy holder may lose the duty meanwhile.
func (f *dutyFleet) arrivalsOf(epoch duty.Epoch) *arrivals {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.arrivalsLocked(epoch)
}

func (f *dutyFleet) arrivalsLocked(epoch duty.Epoch) *arrivals {
	a := f.arrived[epoch]
	if a != nil {
		return a
	}
	a = newArrivals(f.agents)
	f.arrived[epoch] = a
	for agent, latest := range f.latest {
		if latest >= epoch {
			a.at(agent)
		}
	}
	return a
}

func (f *dutyFleet) heard(agent int, d duty.Duty) {
	if d.Name != dutyName || d.Holder == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest[agent] = max(f.latest[agent], d.Epoch)
	f.arrivalsLocked(d.Epoch)
	for epoch, a := range f.arrived {
		if epoch <= d.Epoch {
			a.at(agent)
		}
	}
	if d.Epoch > f.epoch {
		f.epoch, f.holder = d.Epoch, d.Holder
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// dutyWork is an agent's work under the duty: none.
type dutyWork struct {
	fleet *dutyFleet
	agent int
}

// Step implements seat.Work.
func (w *dutyWork) Step(time.Time, duty.Permit, []byte) ([]byte, bool) { return nil, false }

// Heard implements seat.Work.
func (w *dutyWork) Heard(_ time.Time, d duty.Duty) { w.fleet.heard(w.agent, d) }
