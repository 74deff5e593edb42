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

// Shape of the fleet that configuration is measured with.
const (
	fleetServices     = 68
	fleetRegionsZones = 4 // in each region
	controlMachines   = 4
)

var fleetRegions = []string{"a", "b"}

// mark tells revisions of one scope apart by a value in their documents.
type mark struct {
	level configuration.Level
	value int
}

// document is a document that carries the mark, beside settings of the size that operators write.
func (m mark) document() json.RawMessage {
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

// marksOf are those that an effective document carries.
func marksOf(d *configuration.Document) (all []mark) {
	if d.Limits != nil && d.Limits.MaxRetryAfterMs != nil {
		all = append(all, mark{configuration.LevelFleet, int(*d.Limits.MaxRetryAfterMs)})
	}
	if d.Cold != nil && d.Cold.FallMs != nil {
		all = append(all, mark{configuration.LevelRegion, int(*d.Cold.FallMs)})
	}
	return all
}

// configurationFleet is many watchers in this process, and the machines that they watch.
type configurationFleet struct {
	rig      *rig.Rig
	machines []configuration.Machine
	agents   []*hollowAgent
	seed     uint64

	traffic traffic
	lossy   atomic.Bool // three in ten connections fail, and three in ten that stand are cut

	mu      sync.Mutex
	waiting map[mark]*arrivals
	open    map[*fleetConn]bool
	random  *rand.Rand
}

// hollowAgent is the configuration part of an agent, without the rest.
type hollowAgent struct {
	number  int
	place   configuration.Place
	watcher *watch.Watcher
	cancel  context.CancelFunc
	ended   chan struct{}
}

func newConfigurationFleet(r *rig.Rig, agents int, seed uint64) *configurationFleet {
	f := &configurationFleet{rig: r, seed: seed, waiting: map[mark]*arrivals{}, open: map[*fleetConn]bool{}, random: rand.New(rand.NewPCG(seed, 1))}
	for _, m := range r.Machines() {
		f.machines = append(f.machines, configuration.Machine{Name: m.Name, Region: m.Region, Address: m.Address, WitnessOf: m.WitnessOf()})
	}
	for i := range agents {
		region := fleetRegions[i%len(fleetRegions)]
		place := configuration.Place{
			Agent:   fmt.Sprintf("agent-%d", i),
			Region:  region,
			Zone:    fmt.Sprintf("%s%d", region, i/len(fleetRegions)%fleetRegionsZones),
			Service: fmt.Sprintf("service-%d", i%fleetServices),
		}
		f.agents = append(f.agents, &hollowAgent{number: i, place: place})
	}
	return f
}

// start starts an agent that is not running.
func (f *configurationFleet) start(ctx context.Context, a *hollowAgent) error {
	random := rand.New(rand.NewPCG(f.seed, uint64(a.number)+2))
	w, err := watch.New(watch.Config{
		Place:    a.place,
		Machines: f.machines,
		Check:    func(*configuration.Document) error { return nil },
		Apply: func(_ context.Context, d *configuration.Document) error {
			f.applied(a.number, d)
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
	a.watcher, a.cancel, a.ended = w, cancel, make(chan struct{})
	go func() {
		defer close(a.ended)
		w.Run(running)
	}()
	return nil
}

func (f *configurationFleet) startAll(ctx context.Context) error {
	for _, a := range f.agents {
		if err := f.start(ctx, a); err != nil {
			return err
		}
	}
	return nil
}

// stop ends agents that run, all at once.
func (f *configurationFleet) stop(agents []*hollowAgent) {
	for _, a := range agents {
		if a.cancel != nil {
			a.cancel()
		}
	}
	for _, a := range agents {
		if a.cancel != nil {
			<-a.ended
			a.cancel = nil
		}
	}
}

// expect is called before a document with the mark can arrive anywhere; n agents are to have it.
func (f *configurationFleet) expect(m mark, n int) *arrivals {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := newArrivals(n)
	f.waiting[m] = a
	return a
}

func (f *configurationFleet) applied(agent int, d *configuration.Document) {
	for _, m := range marksOf(d) {
		if m.level == configuration.LevelRegion { // each region has its own
			m.value = m.value*len(fleetRegions) + agent%len(fleetRegions)
		}
		f.mu.Lock()
		a := f.waiting[m]
		f.mu.Unlock()
		if a != nil {
			a.at(agent)
		}
	}
}

const lostShare = 0.3 // of connections, while the fleet is lossy

var errLostConnection = errors.New("the connection is lost")

func (f *configurationFleet) lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < lostShare
}

// dial opens a counted connection.
func (f *configurationFleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if f.lossy.Load() && f.lost() {
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

// setLossy begins or ends a time in which connections are lost.
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

// fleetConn is known to its fleet until it is closed.
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
