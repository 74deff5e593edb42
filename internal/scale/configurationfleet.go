package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"lemonrail/internal/configuration"
	"lemonrail/internal/configuration/rig"
	"lemonrail/internal/configuration/watch"
)

// Topology of the simulated fleet.
const (
	fleetServices   = 68 // number of services over which the agents are spread
	zonesPerRegion  = 4  // zones in each region
	controlMachines = 4  // number of control processes of the whole fleet
)

var fleetRegionNames = []string{"a", "b"}

// revisionMark identifies a revision of a level's document by a value in that document.
type revisionMark struct {
	level configuration.Level
	value int
}

// document returns a document that contains the mark, with other settings to reach a realistic size.
func (m revisionMark) document() json.RawMessage {
	value := float64(m.value)
	d := configuration.Document{Format: configuration.Format}
	switch m.level {
	case configuration.LevelFleet:
		d.Limits = &configuration.LimitsDocument{MaxRetryAfterMs: &value}
		d.Classes = map[string]configuration.ClassDocument{}
		for i := range 8 {
			aim, deadline := float64(100+i), float64(400+i)
			d.Classes[fmt.Sprintf("class-%d", i)] = configuration.ClassDocument{AimMs: &aim, DeadlineMs: &deadline}
		}
	case configuration.LevelRegion:
		d.Cold = &configuration.ColdDocument{FallMs: &value}
	case configuration.LevelZone:
		d.Cold = &configuration.ColdDocument{RampMs: &value}
	case configuration.LevelService:
		d.Limits = &configuration.LimitsDocument{OverShareWorth: &value}
	}
	return d.Canonical()
}

// marksOf returns the marks of the fleet's and the region's document in an effective document (all levels merged).
func marksOf(d *configuration.Document) (all []revisionMark) {
	if d.Limits != nil && d.Limits.MaxRetryAfterMs != nil {
		all = append(all, revisionMark{configuration.LevelFleet, int(*d.Limits.MaxRetryAfterMs)})
	}
	if d.Cold != nil && d.Cold.FallMs != nil {
		all = append(all, revisionMark{configuration.LevelRegion, int(*d.Cold.FallMs)})
	}
	return all
}

// configurationFleet holds the hollow agents of this process and the control machines that they watch.
type configurationFleet struct {
	rig      *rig.Rig // the running control processes
	machines []configuration.Machine
	agents   []*hollowAgent
	seed     uint64

	traffic traffic     // traffic of the agents' connections, as seen by the agents
	lossy   atomic.Bool // if set, a share lostShare of new connections fails

	mu      sync.Mutex
	waiting map[revisionMark]*arrivals // by expected mark: when each agent applied it
	open    map[*fleetConn]bool        // the agents' open connections
	random  *rand.Rand
}

// hollowAgent is the configuration watcher of an agent, without the agent's other parts.
type hollowAgent struct {
	number  int
	place   configuration.Place
	watcher *watch.Watcher
	cancel  context.CancelFunc
	stopped chan struct{}
}

func newConfigurationFleet(r *rig.Rig, agents int, seed uint64) *configurationFleet {
	f := &configurationFleet{rig: r, seed: seed, waiting: map[revisionMark]*arrivals{}, open: map[*fleetConn]bool{}, random: rand.New(rand.NewPCG(seed, 1))}
	for _, m := range r.Machines() {
		f.machines = append(f.machines, configuration.Machine{Name: m.Name, Region: m.Region, Address: m.Address, WitnessOf: m.WitnessOf()})
	}
	for i := range agents {
		region := fleetRegionNames[i%len(fleetRegionNames)]
		place := configuration.Place{
			Agent:   fmt.Sprintf("agent-%d", i),
			Region:  region,
			Zone:    fmt.Sprintf("%s%d", region, i/len(fleetRegionNames)%zonesPerRegion),
			Service: fmt.Sprintf("service-%d", i%fleetServices),
		}
		f.agents = append(f.agents, &hollowAgent{number: i, place: place})
	}
	return f
}

// start starts the watcher of an agent that is not running.
func (f *configurationFleet) start(ctx context.Context, a *hollowAgent) error {
	random := rand.New(rand.NewPCG(f.seed, uint64(a.number)+2))
	w, err := watch.New(watch.Config{
		Place:    a.place,
		Machines: f.machines,
		Check:    func(*configuration.Document) error { return nil },
		Apply: func(_ context.Context, d *configuration.Document) error {
			f.recordApplied(a.number, d)
			return nil
		},
		Dial: f.dial,
		Rand: random.Float64,
		Log:  slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return err
	}
	running, cancel := context.WithCancel(ctx)
	a.watcher, a.cancel, a.stopped = w, cancel, make(chan struct{})
	go func() {
		defer close(a.stopped)
		w.Run(running)
	}()
	return nil
}

// startAll starts the watchers of all agents.
func (f *configurationFleet) startAll(ctx context.Context) error {
	for _, a := range f.agents {
		if err := f.start(ctx, a); err != nil {
			return err
		}
	}
	return nil
}

// stop ends the running agents among the given ones concurrently and waits for them.
func (f *configurationFleet) stop(agents []*hollowAgent) {
	for _, a := range agents {
		if a.cancel != nil {
			a.cancel()
		}
	}
	for _, a := range agents {
		if a.cancel != nil {
			<-a.stopped
			a.cancel = nil
		}
	}
}

// expect returns arrivals that wait for n agents to apply a document with the mark. It must be called before the
// document is published.
func (f *configurationFleet) expect(m revisionMark, n int) *arrivals {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := newArrivals(n)
	f.waiting[m] = a
	return a
}

// recordApplied records that an agent has applied a document.
func (f *configurationFleet) recordApplied(agent int, d *configuration.Document) {
	for _, m := range marksOf(d) {
		if m.level == configuration.LevelRegion { // each region has its own document; see changeRegion for the values
			m.value = m.value*len(fleetRegionNames) + agent%len(fleetRegionNames)
		}
		f.mu.Lock()
		a := f.waiting[m]
		f.mu.Unlock()
		if a != nil {
			a.record(agent)
		}
	}
}

const lostShare = 0.3 // share of connections that fail or are cut, while the fleet is lossy

var errLostConnection = errors.New("simulated connection failure")

// drawLoss draws whether a new connection fails.
func (f *configurationFleet) drawLoss() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < lostShare
}

// dial opens a connection whose traffic is counted. While the fleet is lossy it may fail.
func (f *configurationFleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if f.lossy.Load() && f.drawLoss() {
		return nil, errLostConnection
	}
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &fleetConn{Conn: countingConn{conn, &f.traffic}, fleet: f}
	f.mu.Lock()
	f.open[c] = true
	f.mu.Unlock()
	return c, nil
}

// setLossy starts or ends a period in which new connections may fail. At its start it cuts a share lostShare of the
// open connections.
func (f *configurationFleet) setLossy(on bool) {
	f.lossy.Store(on)
	if !on {
		return
	}
	f.mu.Lock()
	var cut []*fleetConn
	for c := range f.open {
		if f.random.Float64() < lostShare {
			cut = append(cut, c)
		}
	}
	f.mu.Unlock()
	for _, c := range cut {
		c.Conn.Close()
	}
}

// fleetConn is a connection that is listed in its fleet's open map until it is closed.
type fleetConn struct {
	net.Conn
	fleet *configurationFleet
}

// Close implements net.Conn.
func (c *fleetConn) Close() error {
	c.fleet.mu.Lock()
	delete(c.fleet.open, c)
	c.fleet.mu.Unlock()
	return c.Conn.Close()
}
