package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"lemonrail/internal/control"
	"lemonrail/internal/duty"
	"lemonrail/internal/duty/quorum"
	"lemonrail/internal/duty/store"
	"lemonrail/internal/member"
	"lemonrail/internal/member/link"
	"lemonrail/internal/metrics"
	"lemonrail/internal/site/driver"
)

// WithDuties has the agent take part in duties, by the settings of a file: tasks that one agent of the fleet holds at a time, as
// voters decide. The agent is a voter itself if one of the file's seats (places of voters) has its name.
func (c *Config) WithDuties(s *quorum.Settings) error {
	for _, p := range s.Seats {
		if p.Name == c.Name && s.Folder == "" {
			return errors.New("duties: folder: missing; a seat stores its votes there")
		}
	}
	c.duties = s
	return nil
}

// dutiesPart creates the part that runs the agent's client of the duties, by which it can hold them, and, where it is a
// voter, its voter.
func dutiesPart(cfg *Config, sites *driver.Driver, members *link.Link, processes *processGroup, countDescriptors func(delta int), log *slog.Logger) (*part, error) {
	s := cfg.duties
	if s == nil {
		return &part{name: "duties"}, nil
	}
	d := &duties{settings: s}
	for _, p := range s.Seats {
		if p.Name != cfg.Name {
			continue
		}
		o := quorum.Options{Settings: s, Name: cfg.Name, FS: store.Dir(filepath.Join(s.Folder, cfg.Name)), Log: log, Descriptors: countDescriptors}
		if members != nil {
			d.fleet = &fleetView{link: members}
			o.Members = d.fleet.liveness
		}
		var err error
		if d.seat, err = quorum.New(o); err != nil {
			return nil, err
		}
	}
	dutyTasks := map[string]quorum.Task{}
	if sites != nil {
		dutyTasks[quorum.PaceDuty] = &paceTask{sites: sites, fence: duty.NewFence(), fallback: time.Duration(s.FallbackS * float64(time.Second)), log: log}
	}
	if members != nil {
		if d.fleet == nil {
			d.fleet = &fleetView{link: members}
		}
		dutyTasks[quorum.NotesDuty] = &fleetNotesTask{fleet: d.fleet, log: log}
	}
	zone := ""
	if z := cfg.Settings.Zone; z >= 0 && z < len(cfg.Names.Zones) {
		zone = cfg.Names.Zones[z]
	}
	d.client = quorum.NewClient(quorum.ClientOptions{Settings: s, Name: cfg.Name, Zone: zone, Tasks: dutyTasks, Log: log,
		Owns: func() bool { return !processes.predecessorRuns() }})
	return &part{name: "duties",
		start: func(t *tasks) {
			if d.seat != nil {
				t.Go(d.seat.Run)
			}
			t.Go(d.client.Run)
			if d.fleet != nil {
				t.Go(d.fleet.run)
			}
		},
		beginStop: func(time.Time) { go d.client.ReleaseAll(time.Second) },
		routes: []control.Route{
			control.TextRoute("GET /api/duties", "application/json", d.report),
			{Pattern: "PUT /api/duties/{name}/hand-on/{to}", Handle: d.handOn},
			{Pattern: "PUT /api/duties/{name}/release", Handle: d.release},
		},
		gauges: d.gauges()}, nil
}

// duties holds the agent's client of the duties and, if it is a voter, its voter.
type duties struct {
	settings *quorum.Settings
	seat     *quorum.Member // this agent's voter; nil: the agent is not a voter
	client   *quorum.Client
	fleet    *fleetView // nil: the agent takes no part in the membership
}

// report returns the answer to GET /api/duties as JSON.
func (d *duties) report(ctx context.Context) ([]byte, error) {
	r, err := d.client.Report(ctx)
	if err != nil {
		return nil, err
	}
	if d.seat != nil {
		if r.Seat, err = d.seat.Report(ctx); err != nil {
			return nil, err
		}
	}
	return json.Marshal(r)
}

// handOn handles an operator's request that the holder of the duty {name} hands it on to the agent {to}.
func (d *duties) handOn(w http.ResponseWriter, r *http.Request) {
	if err := d.client.HandOn(r.Context(), r.PathValue("name"), r.PathValue("to")); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "asked for")
}

// release handles an operator's request that this agent gives up the duty {name}.
func (d *duties) release(w http.ResponseWriter, r *http.Request) {
	held, err := d.client.Release(r.Context(), r.PathValue("name"))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case !held:
		http.Error(w, "this agent doesn't hold it", http.StatusConflict)
	default:
		fmt.Fprintln(w, "ok")
	}
}

func (d *duties) gauges() []metrics.Gauge {
	all := []metrics.Gauge{{Name: "duties_held", Value: d.client.HeldCount}}
	if d.seat != nil {
		all = append(all, metrics.Gauge{Name: "duties_seat_votes", Value: d.seat.Votes}, metrics.Gauge{Name: "duties_seat_leads", Value: d.seat.Leads})
	}
	return all
}

// paceTask is the duty of pacing the return of sites: its holder publishes the ramps (the share of its load that each
// returning site takes, which rises to 1), and all agents apply the last ones published. Its methods run on the goroutine
// of the duties' client.
type paceTask struct {
	sites        *driver.Driver
	fence        *duty.Fence
	fallback     time.Duration // how long ramps apply without new ones; then the agent's own ramps apply again
	log          *slog.Logger
	published    string     // state that Step returned last
	appliedActs  uint64     // Duty.Acts of the ramps applied last
	appliedEpoch duty.Epoch // Duty.Epoch of the ramps applied last
}

// Step publishes the ramps of the sites whose share is below 1, whenever they differ from those published last.
func (p *paceTask) Step(_ time.Time, _ duty.Permit, _ []byte) ([]byte, bool) {
	ramps := p.sites.RampShares()
	reduced := map[string]float64{}
	for name, share := range ramps {
		if share < 1 {
			reduced[name] = share
		}
	}
	raw, err := json.Marshal(reduced)
	if err != nil || string(raw) == p.published {
		return nil, false
	}
	p.published = string(raw)
	return raw, true
}

// Observe applies the ramps that the holder published; those of an earlier epoch are refused.
func (p *paceTask) Observe(_ time.Time, d duty.Duty) {
	if d.Holder == "" || len(d.State) == 0 || d.Epoch == p.appliedEpoch && d.Acts == p.appliedActs {
		return
	}
	if err := p.fence.Admit(d.Name, d.Epoch); err != nil {
		p.log.Warn("ramps of an outdated epoch are refused", "err", err)
		return
	}
	ramps := map[string]float64{}
	if err := json.Unmarshal(d.State, &ramps); err != nil {
		p.log.Warn("invalid ramps", "err", err)
		return
	}
	p.appliedEpoch, p.appliedActs = d.Epoch, d.Acts
	p.sites.OverrideRamps(ramps, p.fallback)
}

// fleetNotesTask is the duty of keeping notes on the fleet: its holder publishes how many members are alive and which are
// unhealthy, and logs changes.
type fleetNotesTask struct {
	fleet     *fleetView
	log       *slog.Logger
	published string // state that Step returned last
}

// fleetNotes is the state that the holder publishes.
type fleetNotes struct {
	By        string            `json:"by"`             // name of the holder
	Alive     int               `json:"alive"`          // number of members that are alive
	Expected  int               `json:"expected"`       // size of the complete fleet
	Majority  bool              `json:"majority"`       // the holder sees more than half of the expected fleet
	Unhealthy []unhealthyMember `json:"odd,omitempty"`  // at most maxUnhealthyMembers
	Omitted   int               `json:"more,omitempty"` // number of further unhealthy members
}

// unhealthyMember is a member that is not alive, or that other members can't reach.
type unhealthyMember struct {
	Name            string `json:"name"`
	Zone            string `json:"zone,omitempty"`
	State           string `json:"state"`
	UnreachableFrom int    `json:"unreachable_from,omitempty"` // number of members that can't reach it
}

const maxUnhealthyMembers = 32 // members listed in fleetNotes; further ones are only counted

// Step publishes the notes whenever they have changed.
func (k *fleetNotesTask) Step(_ time.Time, _ duty.Permit, _ []byte) ([]byte, bool) {
	v := k.fleet.view()
	if v == nil {
		return nil, false
	}
	notes := fleetNotes{Alive: v.Alive, Expected: v.Expected, Majority: v.Majority()}
	for i := range v.Members {
		m := &v.Members[i]
		if m.ID == v.Self {
			notes.By = m.Name
		}
		if m.State == member.Alive && len(m.UnreachableFrom) == 0 {
			continue
		}
		if len(notes.Unhealthy) >= maxUnhealthyMembers {
			notes.Omitted++
			continue
		}
		notes.Unhealthy = append(notes.Unhealthy, unhealthyMember{m.Name, m.Zone, m.State.String(), len(m.UnreachableFrom)})
	}
	raw, err := json.Marshal(notes)
	if err != nil || len(raw) > duty.MaxStateBytes || string(raw) == k.published {
		return nil, false
	}
	k.published = string(raw)
	k.log.Info("fleet notes changed", "alive", notes.Alive, "expected", notes.Expected, "odd", len(notes.Unhealthy)+notes.Omitted)
	return raw, true
}

// Observe does nothing: the notes are read from the table of duties.
func (k *fleetNotesTask) Observe(time.Time, duty.Duty) {}

// fleetView caches the membership's view of the fleet, which run renews every viewInterval.
type fleetView struct {
	link      *link.Link
	mu        sync.Mutex
	latest    *member.View         // nil: none yet
	deadSince map[string]time.Time // by name: when a member was first seen dead
}

const viewInterval = 500 * time.Millisecond // between two updates of a fleetView

func (f *fleetView) run(ctx context.Context) error {
	tick := time.NewTicker(viewInterval)
	defer tick.Stop()
	for {
		f.link.WithView(f.update)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (f *fleetView) update(v member.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest = &v
	now, dead := time.Now(), map[string]time.Time{}
	for _, m := range v.Members {
		if m.State == member.Dead {
			at, known := f.deadSince[m.Name]
			if !known {
				at = now
			}
			dead[m.Name] = at
		}
	}
	f.deadSince = dead
}

func (f *fleetView) view() *member.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest
}

// liveness returns how long each dead member has been dead, and whether each member is alive. Both are empty
// without a majority.
func (f *fleetView) liveness() (dead map[string]time.Duration, alive map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	dead, alive = map[string]time.Duration{}, map[string]bool{}
	if f.latest == nil || !f.latest.Majority() { // a minority must not declare the seats of voters vacant
		return dead, alive
	}
	for name, at := range f.deadSince {
		dead[name] = time.Since(at)
	}
	for _, m := range f.latest.Members {
		alive[m.Name] = m.State == member.Alive
	}
	return dead, alive
}
