package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/configuration"
	"lemonrail/internal/configuration/watch"
	"lemonrail/internal/control"
	"lemonrail/internal/core"
	"lemonrail/internal/figures"
	front "lemonrail/internal/front/http1"
	"lemonrail/internal/strict"
)

// configurationSet is what a file on configuration says, with what the platform does.
type configurationSet struct {
	place    configuration.Place
	machines []configuration.Machine
	folder   string
}

// configurationFile is the form of the file.
type configurationFile struct {
	Region  string `toml:"region"`
	Service string `toml:"service"`
	Folder  string `toml:"folder"`
	Machine []struct {
		Name      string   `toml:"name"`
		Region    string   `toml:"region"`
		Address   string   `toml:"address"`
		WitnessOf []string `toml:"witness_of"`
	} `toml:"machine"`
}

// WithConfiguration has the agent take settings that change while it runs, by a file's text; name is what errors call it.
func (c *Config) WithConfiguration(name string, raw []byte) error {
	var f configurationFile
	if err := strict.Decode(name, raw, &f); err != nil {
		return err
	}
	set := &configurationSet{folder: f.Folder, place: configuration.Place{Agent: c.Name, Region: f.Region, Service: f.Service}}
	if z := c.Settings.Zone; z >= 0 && z < len(c.Names.Zones) {
		set.place.Zone = c.Names.Zones[z]
	}
	if err := set.place.Check(); err != nil {
		return fmt.Errorf("%s: %w (agent and zone are the platform's)", name, err)
	}
	for i, m := range f.Machine {
		at := fmt.Sprintf("%s: line %d: machine %q", name, strict.Table(raw, "machine", i), m.Name)
		if err := checkMachine(m.Name, m.Region, m.Address); err != nil {
			return fmt.Errorf("%s: %w", at, err)
		}
		if slices.ContainsFunc(set.machines, func(o configuration.Machine) bool { return o.Name == m.Name || o.Address == m.Address }) {
			return fmt.Errorf("%s: name or address is another one's too", at)
		}
		set.machines = append(set.machines, configuration.Machine{Name: m.Name, Region: m.Region, Address: m.Address, WitnessOf: m.WitnessOf})
	}
	if len(set.machines) == 0 {
		return fmt.Errorf("%s: machine: none", name)
	}
	c.configuration = set
	return nil
}

func checkMachine(name, region, address string) error {
	if name == "" {
		return errors.New("name: missing")
	}
	if region == "" {
		return errors.New("region: missing")
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return fmt.Errorf("address: %q is no host and port", address)
	}
	return nil
}

// configured puts documents in force in a running agent.
type configured struct {
	cfg    *Config
	loop   *core.Loop
	server *front.Server

	mu  sync.Mutex
	now balance.Settings // in force
}

// settings are those that a document makes of the start's, or why this agent can't have them.
func (c *configured) settings(d *configuration.Document) (*balance.Settings, error) {
	next, err := d.Apply(c.cfg.Settings, c.cfg.Names)
	if err != nil {
		return nil, err
	}
	if err := c.cfg.Settings.CanBecome(&next); err != nil {
		return nil, err
	}
	if err := c.cfg.stopAllows(&next); err != nil {
		return nil, err
	}
	return &next, c.cfg.sitesAllow(&next)
}

// stopAllows refuses deadlines that a planned stop wouldn't wait for. Only the platform's classes count: those of Diameter
// stand behind them, and don't change.
func (c *Config) stopAllows(next *balance.Settings) error {
	platforms := func(s *balance.Settings) *balance.Settings {
		return &balance.Settings{Classes: s.Classes[:len(c.Names.Classes)]}
	}
	longest := longestDeadline(platforms(&c.Settings))
	if most := longestDeadline(platforms(next)); most > longest {
		return fmt.Errorf("deadline: %v is over %v, the longest of the platform's classes at the start, by which a stop is planned", most, longest)
	}
	return nil
}

// sitesAllow refuses settings from which the plan for lost sites was made at the start.
func (c *Config) sitesAllow(next *balance.Settings) error {
	if c.sites == nil {
		return nil
	}
	field := ""
	for i, k := range next.Classes {
		if k.Worth != c.Settings.Classes[i].Worth {
			field = fmt.Sprintf("Classes[%d].Worth", i)
		}
	}
	switch {
	case next.ColdShare != c.Settings.ColdShare:
		field = "ColdShare"
	case next.RampTime != c.Settings.RampTime:
		field = "RampTime"
	case next.MaxRetryAfter != c.Settings.MaxRetryAfter:
		field = "MaxRetryAfter"
	}
	if field == "" {
		return nil
	}
	return fmt.Errorf("%s: can't change without a restart while sites are watched: the plan for lost sites rests on it", field)
}

func (c *configured) check(d *configuration.Document) error {
	_, err := c.settings(d)
	return err
}

// apply returns once the module has been told, and what it decided then has been done.
func (c *configured) apply(ctx context.Context, d *configuration.Document) error {
	next, err := c.settings(d)
	if err != nil {
		return err
	}
	var begun atomic.Bool // by the loop, or given up here: whichever is first
	done := make(chan struct{})
	go c.loop.Post(func() { // Post waits where the loop is behind
		if !begun.CompareAndSwap(false, true) {
			return
		}
		c.loop.Reconfigure(next)
		c.server.Advise(next.MaxRetryAfter)
		c.loop.Then(func() { close(done) })
	})
	select {
	case <-done:
	case <-c.loop.Dead:
		return core.ErrEnded
	case <-ctx.Done():
		// Guards against settings that take effect after this has said that they don't.
		if begun.CompareAndSwap(false, true) {
			return fmt.Errorf("the loop is busy: %w", ctx.Err())
		}
		select {
		case <-done:
		case <-c.loop.Dead:
			return core.ErrEnded
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = *next
	return nil
}

// configurationPart follows the control machines. It does nothing where settings are those of the start.
func configurationPart(cfg *Config, l *core.Loop, server *front.Server, processes *processGroup, log *slog.Logger) (*part, error) {
	if cfg.configuration == nil {
		return &part{name: "configuration"}, nil
	}
	c := &configured{cfg: cfg, loop: l, server: server, now: cfg.Settings}
	set := cfg.configuration
	w, err := watch.New(watch.Config{Place: set.place, Machines: set.machines, Check: c.check, Apply: c.apply, Folder: set.folder, Log: log})
	if err != nil {
		return nil, err
	}
	return &part{name: "configuration",
		start: func(t *tasks) {
			w.Restore(t.ctx) // within the loop's next step: what was kept holds for the first client
			t.Go(w.Run)
		},
		drain: func() {
			if !processes.successorServes() { // a successor is the same agent to control
				w.Leave()
			}
		},
		routes: []control.Route{control.Text("GET /api/config", "application/json",
			func(context.Context) ([]byte, error) { return c.describe(set.place, w.Status()) })},
		figures: configurationGauges(w)}, nil
}

// configurationGauges are the figures of a watch.
func configurationGauges(w *watch.Watcher) []figures.Gauge {
	age := func(since func(watch.Status) time.Time) func() int64 {
		return func() int64 { return ageMs(since(w.Status())) }
	}
	return []figures.Gauge{
		{Name: "configuration_revision_age_ms", Value: age(func(s watch.Status) time.Time { return s.Changed })},
		{Name: "configuration_control_age_ms", Value: age(func(s watch.Status) time.Time { return s.LastWord })},
		{Name: "configuration_changes", Value: func() int64 { return int64(w.Status().Changes) }},
		{Name: "configuration_refusals", Value: func() int64 { return int64(w.Status().Refusals) }},
		{Name: "configuration_refused", Value: func() int64 { return int64(len(w.Status().Report.Refused)) }},
	}
}

// ageMs is -1 for never.
func ageMs(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// configurationState is the answer to GET /api/config.
type configurationState struct {
	configuration.Place
	Machine    string                                         `json:"machine"` // that is watched, or was last; empty: none yet
	Connected  bool                                           `json:"connected"`
	ControlAge int64                                          `json:"control_age_ms"`  // since control's last word; -1: none yet
	Revision   int64                                          `json:"revision_age_ms"` // since the last change took effect; -1: none did
	Kept       bool                                           `json:"kept"`            // in force are documents from the disk
	InForce    map[configuration.Scope]configuration.Position `json:"in_force"`
	Digest     string                                         `json:"digest"`
	Refused    []configuration.Refusal                        `json:"refused"`
	Changed    []settingChange                                `json:"changed"` // settings that differ from the start file's
}

// settingChange is a setting that differs from the start file's.
type settingChange struct {
	Setting string `json:"setting"` // as documents call it
	Start   any    `json:"start"`
	Now     any    `json:"now"`
}

func (c *configured) describe(place configuration.Place, st watch.Status) ([]byte, error) {
	c.mu.Lock()
	now := c.now
	c.mu.Unlock()
	s := configurationState{Place: place, Machine: st.Machine, Connected: st.Connected, ControlAge: ageMs(st.LastWord), Revision: ageMs(st.Changed),
		Kept: st.Kept, InForce: st.Report.InForce, Digest: st.Report.Digest, Refused: st.Report.Refused, Changed: c.changed(&now)}
	if s.InForce == nil {
		s.InForce = map[configuration.Scope]configuration.Position{}
	}
	if s.Refused == nil {
		s.Refused = []configuration.Refusal{}
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	return append(raw, '\n'), err
}

// changed lists the settings that differ from the start file's, by the names that documents have for them.
func (c *configured) changed(now *balance.Settings) []settingChange {
	start := &c.cfg.Settings
	all := []settingChange{}
	compare := func(setting string, old, new any) {
		if old != new {
			all = append(all, settingChange{setting, old, new})
		}
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	for i, name := range c.cfg.Names.Classes {
		old, new, at := start.Classes[i], now.Classes[i], "classes."+name+"."
		compare(at+"aim_ms", ms(old.Aim), ms(new.Aim))
		compare(at+"deadline_ms", ms(old.Deadline), ms(new.Deadline))
		compare(at+"worth", old.Worth, new.Worth)
		compare(at+"late_worth", old.LateWorth, new.LateWorth)
	}
	for i, name := range c.cfg.Names.Tenants {
		compare("tenants."+name+".per_second", start.Tenants[i].PerSecond, now.Tenants[i].PerSecond)
		compare("tenants."+name+".portion", start.Tenants[i].Portion, now.Tenants[i].Portion)
	}
	compare("limits.attempts", start.MaxAttempts, now.MaxAttempts)
	compare("limits.second_copies", start.SecondCopies, now.SecondCopies)
	compare("limits.max_retry_after_ms", ms(start.MaxRetryAfter), ms(now.MaxRetryAfter))
	compare("limits.over_share_worth", start.OverShare, now.OverShare)
	compare("cold.from", start.ColdShare, now.ColdShare)
	compare("cold.ramp_ms", ms(start.RampTime), ms(now.RampTime))
	compare("cold.fall_multiple", start.FallMultiple, now.FallMultiple)
	compare("cold.fall_ms", ms(start.FallWindow), ms(now.FallWindow))
	return all
}
