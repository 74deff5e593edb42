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
	"lemonrail/internal/duty/seat"
	"lemonrail/internal/duty/store"
	"lemonrail/internal/figures"
	"lemonrail/internal/member"
	"lemonrail/internal/member/link"
	"lemonrail/internal/site/driver"
)

// WithDuties has the agent hold duties with others, by the settings of a file; one of the file's seats is its own where
// it bears its name.
func (c *Config) WithDuties(s *seat.Settings) error {
	for _, p := range s.Seats {
		if p.Name == c.Name && s.Folder == "" {
			return errors.New("duties: folder: a seat has to keep its votes, and no folder is named")
		}
	}
	c.duties = s
	return nil
}

// dutiesPart makes seat and clerk.
func dutiesPart(cfg *Config, sites *driver.Driver, members *link.Link, log *slog.Logger) (*part, error) {
	s := cfg.duties
	if s == nil {
		return &part{name: "duties"}, nil
	}
	d := &duties{settings: s}
	for _, p := range s.Seats {
		if p.Name != cfg.Name {
			continue
		}
		o := seat.Options{Settings: s, Name: cfg.Name, FS: store.Dir(filepath.Join(s.Folder, cfg.Name)), Log: log}
		if members != nil {
			d.fleet = &fleetView{link: members}
			o.Members = d.fleet.lives
		}
		var err error
		if d.seat, err = seat.New(o); err != nil {
			return nil, err
		}
	}
	work := map[string]seat.Work{}
	if sites != nil {
		work[seat.PaceDuty] = &pacing{sites: sites, fence: duty.NewFence(), span: time.Duration(s.FallbackS * float64(time.Second)), log: log}
	}
	if members != nil {
		if d.fleet == nil {
			d.fleet = &fleetView{link: members}
		}
		work[seat.NotesDuty] = &keeping{fleet: d.fleet, log: log}
	}
	zone := ""
	if z := cfg.Settings.Zone; z >= 0 && z < len(cfg.Names.Zones) {
		zone = cfg.Names.Zones[z]
	}
	d.clerk = seat.NewClerk(seat.ClerkOptions{Settings: s, Name: cfg.Name, Zone: zone, Work: work, Log: log})
	return &part{name: "duties",
		start: func(t *tasks) {
			if d.seat != nil {
				t.Go(d.seat.Run)
			}
			t.Go(d.clerk.Run)
			if d.fleet != nil {
				t.Go(d.fleet.run)
			}
		},
		leave: func(time.Time) { go d.clerk.Leave(time.Second) },
		routes: []control.Route{
			control.Text("GET /api/duties", "application/json", d.report),
			{Pattern: "PUT /api/duties/{name}/hand-on/{to}", Answer: d.handOn},
			{Pattern: "PUT /api/duties/{name}/release", Answer: d.release},
		},
		figures: d.gauges()}, nil
}

// duties is an agent's side of all of them.
type duties struct {
	settings *seat.Settings
	seat     *seat.Seat // nil: it has none
	clerk    *seat.Clerk
	fleet    *fleetView // nil: no membership
}

func (d *duties) report(ctx context.Context) ([]byte, error) {
	r, err := d.clerk.Report(ctx)
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

func (d *duties) handOn(w http.ResponseWriter, r *http.Request) {
	if err := d.clerk.HandOn(r.Context(), r.PathValue("name"), r.PathValue("to")); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "asked for")
}

func (d *duties) release(w http.ResponseWriter, r *http.Request) {
	held, err := d.clerk.Release(r.Context(), r.PathValue("name"))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case !held:
		http.Error(w, "this agent doesn't hold it", http.StatusConflict)
	default:
		fmt.Fprintln(w, "ok")
	}
}

func (d *duties) gauges() []figures.Gauge {
	all := []figures.Gauge{{Name: "duties_held", Value: d.clerk.Held}}
	if d.seat != nil {
		all = append(all, figures.Gauge{Name: "duties_seat_votes", Value: d.seat.Votes}, figures.Gauge{Name: "duties_seat_leads", Value: d.seat.Leads})
	}
	return all
}

// pacing is the duty of pacing a site's return: its holder tells the ramp, all agents follow it while they hear of it.
type pacing struct {
	sites *driver.Driver
	fence *duty.Fence
	span  time.Duration
	log   *slog.Logger
	last  string
	acts  uint64
	epoch duty.Epoch
}

// Step tells the ramps, where any site is not wholly well or was not just before.
func (p *pacing) Step(_ time.Time, _ duty.Permit, _ []byte) ([]byte, bool) {
	ramps := p.sites.Ramps()
	away := map[string]float64{}
	for name, share := range ramps {
		if share < 1 {
			away[name] = share
		}
	}
	raw, err := json.Marshal(away)
	if err != nil || string(raw) == p.last {
		return nil, false
	}
	p.last = string(raw)
	return raw, true
}

// Heard has the sites follow what the holder told; an earlier holder's word is refused.
func (p *pacing) Heard(_ time.Time, d duty.Duty) {
	if d.Holder == "" || len(d.State) == 0 || d.Epoch == p.epoch && d.Acts == p.acts {
		return
	}
	if err := p.fence.Pass(d.Name, d.Epoch); err != nil {
		p.log.Warn("the pace is not heeded", "err", err)
		return
	}
	ramps := map[string]float64{}
	if err := json.Unmarshal(d.State, &ramps); err != nil {
		p.log.Warn("the pace can't be read", "err", err)
		return
	}
	p.epoch, p.acts = d.Epoch, d.Acts
	p.sites.Pace(ramps, p.span)
}

// keeping is the duty of keeping the fleet's notes: its holder writes down which members are not well, and logs what
// changes.
type keeping struct {
	fleet *fleetView
	log   *slog.Logger
	last  string
}

// kept are the fleet's notes.
type kept struct {
	By       string `json:"by"`
	Alive    int    `json:"alive"`
	Expected int    `json:"expected"`
	Majority bool   `json:"majority"`
	Odd      []odd  `json:"odd,omitempty"` // members that are not alive, or that some can't reach; the first ones
	More     int    `json:"more,omitempty"`
}

type odd struct {
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	State   string `json:"state"`
	Unheard int    `json:"unreachable_from,omitempty"`
}

const oddMost = 32

// Step writes the notes anew where they have changed.
func (k *keeping) Step(_ time.Time, _ duty.Permit, _ []byte) ([]byte, bool) {
	v := k.fleet.view()
	if v == nil {
		return nil, false
	}
	n := kept{Alive: v.Alive, Expected: v.Expected, Majority: v.Majority()}
	for i := range v.Members {
		m := &v.Members[i]
		if m.ID == v.Self {
			n.By = m.Name
		}
		if m.State == member.Alive && len(m.UnreachableFrom) == 0 {
			continue
		}
		if len(n.Odd) >= oddMost {
			n.More++
			continue
		}
		n.Odd = append(n.Odd, odd{m.Name, m.Zone, m.State.String(), len(m.UnreachableFrom)})
	}
	raw, err := json.Marshal(n)
	if err != nil || len(raw) > duty.StateMost || string(raw) == k.last {
		return nil, false
	}
	k.last = string(raw)
	k.log.Info("the fleet's notes", "alive", n.Alive, "expected", n.Expected, "odd", len(n.Odd)+n.More)
	return raw, true
}

// Heard has nothing to do: whoever asks reads them in the table.
func (k *keeping) Heard(time.Time, duty.Duty) {}

// fleetView is the membership's view, as it was a moment ago.
type fleetView struct {
	link *link.Link
	mu   sync.Mutex
	last *member.View
	dead map[string]time.Time // since when members have been dead
}

const viewEvery = 500 * time.Millisecond

func (f *fleetView) run(ctx context.Context) error {
	tick := time.NewTicker(viewEvery)
	defer tick.Stop()
	for {
		f.link.Look(f.take)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (f *fleetView) take(v member.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = &v
	now, dead := time.Now(), map[string]time.Time{}
	for _, m := range v.Members {
		if m.State == member.Dead {
			at, was := f.dead[m.Name]
			if !was {
				at = now
			}
			dead[m.Name] = at
		}
	}
	f.dead = dead
}

func (f *fleetView) view() *member.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// lives says for how long members have been dead, and which live.
func (f *fleetView) lives() (dead map[string]time.Duration, lives map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	dead, lives = map[string]time.Duration{}, map[string]bool{}
	if f.last == nil || !f.last.Majority() { // a minority holds nobody's seat for free
		return dead, lives
	}
	for name, at := range f.dead {
		dead[name] = time.Since(at)
	}
	for _, m := range f.last.Members {
		lives[m.Name] = m.State == member.Alive
	}
	return dead, lives
}
