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
	"lemonrail/internal/duty/quorum"
	"lemonrail/internal/duty/store"
)

// HollowDuties runs the duty clients of many agents, without the agents' other parts, in one process with the three voters
// that grant the duty and keep their stores on disk.
type HollowDuties struct {
	FleetSizes []int         // numbers of agents
	RestTime   time.Duration // duration of the measurement without releases
	Releases   int           // number of sequential releases of the duty by its holder
	Dir        string        // parent directory of the voters' stores
	Seed       uint64
	Logf       func(format string, args ...any)
}

const (
	voters      = 3
	dutyName    = "notes"
	dutyLeaseMs = 3000 // lease of the duty, in milliseconds
)

// dutyFleet is the clients of one fleet size, and what they have learned about the duty.
type dutyFleet struct {
	agents  int
	clients []*quorum.Client
	traffic traffic // traffic of the voters' connections, as seen by the voters

	mu      sync.Mutex
	epoch   duty.Epoch               // latest epoch that any agent has been notified of
	holder  string                   // holder in that epoch
	changed chan struct{}            // closed and replaced at each later epoch
	arrived map[duty.Epoch]*arrivals // by epoch: when each agent was notified of its holder
	latest  map[int]duty.Epoch       // by agent: latest epoch that it has been notified of
}

// Run measures, for each fleet size, the time until all agents know the duty's holder, first and after each release, and
// the traffic and processor time at rest. The fleet size is the series' X.
func (o HollowDuties) Run(ctx context.Context) ([]*Series, error) {
	set := newSeriesSet(Hollow, "agents", "3 voters, one duty with a lease of 3 s")
	for _, agents := range o.FleetSizes {
		o.Logf("hollow agents: %d duty clients, %d voters", agents, voters)
		if err := o.measureSize(ctx, set, agents); err != nil {
			return nil, err
		}
	}
	return set.fit()
}

// measureSize starts voters and the given number of clients, measures them and appends the results to set.
func (o HollowDuties) measureSize(ctx context.Context, set *seriesSet, agents int) error {
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
		s, err := quorum.New(quorum.Options{Settings: settings, Name: voterName(i), FS: store.Dir(dir), Listener: ln, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			return errors.Join(err, closeAll(listeners[i:]))
		}
		running.Go(func() { s.Run(inner) })
	}
	for i := range agents {
		c := quorum.NewClient(quorum.ClientOptions{Settings: settings, Name: fmt.Sprintf("agent-%d", i), Tasks: map[string]quorum.Task{dutyName: &notificationRecorder{f, i}},
			Log: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(o.Seed, uint64(i)))})
		f.clients = append(f.clients, c)
		running.Go(func() { c.Run(inner) })
	}
	return o.measure(ctx, set, f)
}

// measure measures the time until all agents know the duty's first holder, the traffic and processor time at rest, and
// the releases.
func (o HollowDuties) measure(ctx context.Context, set *seriesSet, f *dutyFleet) error {
	x := float64(f.agents)
	epoch, _, err := f.waitHolder(ctx, 0)
	if err != nil {
		return fmt.Errorf("no agent holds the duty: %w", err)
	}
	took, err := f.arrivalsOf(epoch).wait(ctx)
	if err != nil {
		return err
	}
	set.addDurations("the first holder known to all, from its grant", x, took)
	usage := startUsageSpan(&f.traffic)
	if err := pause(ctx, o.RestTime); err != nil {
		return err
	}
	spent, err := usage.end()
	if err != nil {
		return err
	}
	f.mu.Lock()
	set.add("duties at rest, changes of the holder", "", x, float64(f.epoch-epoch))
	epoch = f.epoch
	f.mu.Unlock()
	seconds := spent.elapsed.Seconds()
	set.add("duties at rest, bytes from voters an agent-second", "B/s", x, float64(spent.sent)/x/seconds)
	set.add("duties at rest, bytes to voters an agent-second", "B/s", x, float64(spent.received)/x/seconds)
	set.add("duties at rest, share of a core an agent (agents and voters)", "%", x, 100*spent.cpu.Seconds()/x/seconds)
	return o.measureReleases(ctx, set, f, epoch)
}

// measureReleases lets the duty's holder release it o.Releases times, and measures the time until all agents know the next holder.
func (o HollowDuties) measureReleases(ctx context.Context, set *seriesSet, f *dutyFleet, epoch duty.Epoch) error {
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
		next, _, err := f.waitHolder(ctx, epoch)
		if err != nil {
			return err
		}
		arrived := f.arrivalsOf(next)
		if _, err := arrived.wait(ctx); err != nil {
			return err
		}
		for _, d := range arrived.durations {
			all = append(all, arrived.started.Sub(began)+d)
		}
		epoch = next
	}
	set.addDurations("a released duty's next holder known to all", float64(f.agents), summarize(all))
	return nil
}

// listen opens the voters' listeners and returns settings with their addresses.
func (f *dutyFleet) listen() (*quorum.Settings, []net.Listener, error) {
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
	fmt.Fprintf(&text, "[[duty]]\nname = %q\nlease_ms = %d\n", dutyName, dutyLeaseMs)
	settings, err := quorum.ParseSettings("hollow duties", []byte(text.String()))
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

// waitHolder waits until the duty has a holder in an epoch later than after.
func (f *dutyFleet) waitHolder(ctx context.Context, after duty.Epoch) (duty.Epoch, string, error) {
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

// arrivalsOf returns the arrivals at all agents of the holder of an epoch or a later one. Later epochs count since a
// busy holder may lose the duty in the meantime.
func (f *dutyFleet) arrivalsOf(epoch duty.Epoch) *arrivals {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.arrivalsLocked(epoch)
}

// arrivalsLocked is arrivalsOf with f.mu held.
func (f *dutyFleet) arrivalsLocked(epoch duty.Epoch) *arrivals {
	a := f.arrived[epoch]
	if a != nil {
		return a
	}
	a = newArrivals(f.agents)
	f.arrived[epoch] = a
	for agent, latest := range f.latest {
		if latest >= epoch {
			a.record(agent)
		}
	}
	return a
}

// recordHolder records that an agent has been notified of a holder of the duty.
func (f *dutyFleet) recordHolder(agent int, d duty.Duty) {
	if d.Name != dutyName || d.Holder == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest[agent] = max(f.latest[agent], d.Epoch)
	f.arrivalsLocked(d.Epoch)
	for epoch, a := range f.arrived {
		if epoch <= d.Epoch {
			a.record(agent)
		}
	}
	if d.Epoch > f.epoch {
		f.epoch, f.holder = d.Epoch, d.Holder
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// notificationRecorder is the task of an agent. It does no work and only records notifications.
type notificationRecorder struct {
	fleet *dutyFleet
	agent int
}

// Step implements quorum.Task.
func (w *notificationRecorder) Step(time.Time, duty.Permit, []byte) ([]byte, bool) { return nil, false }

// Observe implements quorum.Task.
func (w *notificationRecorder) Observe(_ time.Time, d duty.Duty) { w.fleet.recordHolder(w.agent, d) }
