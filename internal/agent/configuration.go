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
	front "lemonrail/internal/front/http1"
	"lemonrail/internal/metrics"
	"lemonrail/internal/strict"
)

// configurationSettings holds the settings for following the control machines, from the file and from the platform.
type configurationSettings struct {
	place    configuration.Place     // of this agent; it decides which documents apply
	machines []configuration.Machine // control machines to choose from
	folder   string                  // where documents are saved for a restart; empty: nowhere
}

// configurationFile is the TOML format of the file given to WithConfiguration.
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

// WithConfiguration has the agent follow the control machines of a file and change its settings while it runs. raw is the
// text of the file; errors name it as name.
func (c *Config) WithConfiguration(name string, raw []byte) error {
	var f configurationFile
	if err := strict.Decode(name, raw, &f); err != nil {
		return err
	}
	set := &configurationSettings{folder: f.Folder, place: configuration.Place{Agent: c.Name, Region: f.Region, Service: f.Service}}
	if z := c.Settings.Zone; z >= 0 && z < len(c.Names.Zones) {
		set.place.Zone = c.Names.Zones[z]
	}
	if err := set.place.Check(); err != nil {
		return fmt.Errorf("%s: %w (agent and zone come from the platform)", name, err)
	}
	for i, m := range f.Machine {
		where := fmt.Sprintf("%s: line %d: machine %q", name, strict.TableLine(raw, "machine", i), m.Name)
		if err := checkMachine(m.Name, m.Region, m.Address); err != nil {
			return fmt.Errorf("%s: %w", where, err)
		}
		if slices.ContainsFunc(set.machines, func(o configuration.Machine) bool { return o.Name == m.Name || o.Address == m.Address }) {
			return fmt.Errorf("%s: name or address is used by another machine", where)
		}
		set.machines = append(set.machines, configuration.Machine{Name: m.Name, Region: m.Region, Address: m.Address, WitnessOf: m.WitnessOf})
	}
	if len(set.machines) == 0 {
		return fmt.Errorf("%s: machine: none", name)
	}
	c.configuration = set
	return nil
}

// checkMachine returns an error unless a control machine has a name, a region and a valid address.
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
		return fmt.Errorf("address: %q is not a host and a port from 1 to 65535", address)
	}
	return nil
}

// settingsApplier applies configuration documents to a running agent.
type settingsApplier struct {
	cfg    *Config
	loop   *core.Loop
	server *front.Server

	mu      sync.Mutex
	current balance.Settings // settings that the balancer uses now
}

// resolve returns the settings that result from applying d to those of the start, or an error that says why this agent can't
// apply them.
func (c *settingsApplier) resolve(d *configuration.Document) (*balance.Settings, error) {
	next, err := d.Apply(c.cfg.Settings, c.cfg.Names)
	if err != nil {
		return nil, err
	}
	if err := c.cfg.Settings.CheckChange(&next); err != nil {
		return nil, err
	}
	if err := c.cfg.checkDeadlines(&next); err != nil {
		return nil, err
	}
	return &next, c.cfg.checkSitePlan(&next)
}

// checkDeadlines refuses deadlines that a planned stop would not wait for. It compares the platform's classes only: those
// of Diameter come after them and do not change.
func (c *Config) checkDeadlines(next *balance.Settings) error {
	platformClasses := func(s *balance.Settings) *balance.Settings {
		return &balance.Settings{Classes: s.Classes[:len(c.Names.Classes)]}
	}
	longest := longestDeadline(platformClasses(&c.Settings))
	if requested := longestDeadline(platformClasses(next)); requested > longest {
		return fmt.Errorf("deadline: %v is over %v, the longest of the platform's classes at the start, by which a stop is planned", requested, longest)
	}
	return nil
}

// checkSitePlan refuses changes of settings on which the plan for lost sites, made at the start, rests.
func (c *Config) checkSitePlan(next *balance.Settings) error {
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

// check returns the error with which apply would refuse d, or nil.
func (c *settingsApplier) check(d *configuration.Document) error {
	_, err := c.resolve(d)
	return err
}

// apply changes the settings to those of the start with d applied. It returns once the balancer has received them and its
// decisions on them have been carried out.
func (c *settingsApplier) apply(ctx context.Context, d *configuration.Document) error {
	next, err := c.resolve(d)
	if err != nil {
		return err
	}
	var claimed atomic.Bool // by the loop, which applies the settings, or below, when ctx ends first
	done := make(chan struct{})
	go c.loop.Post(func() { // Post blocks while the loop's inbox is full
		if !claimed.CompareAndSwap(false, true) {
			return
		}
		c.loop.Reconfigure(next)
		c.server.SetMaxRetryAfter(next.MaxRetryAfter)
		c.loop.AfterStep(func() { close(done) })
	})
	select {
	case <-done:
	case <-c.loop.Done:
		return core.ErrEnded
	case <-ctx.Done():
		// Prevents settings from taking effect after apply has returned an error.
		if claimed.CompareAndSwap(false, true) {
			return fmt.Errorf("the loop is busy: %w", ctx.Err())
		}
		select {
		case <-done:
		case <-c.loop.Done:
			return core.ErrEnded
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = *next
	return nil
}

// configurationPart creates the part that follows the control machines and applies their documents. Without a file on
// configuration it does nothing: the settings stay as they were at the start.
func configurationPart(cfg *Config, l *core.Loop, server *front.Server, processes *processGroup, log *slog.Logger) (*part, error) {
	if cfg.configuration == nil {
		return &part{name: "configuration"}, nil
	}
	c := &settingsApplier{cfg: cfg, loop: l, server: server, current: cfg.Settings}
	settings := cfg.configuration
	watcher, err := watch.New(watch.Config{Place: settings.place, Machines: settings.machines, Check: c.check, Apply: c.apply, Folder: settings.folder, Log: log})
	if err != nil {
		return nil, err
	}
	return &part{name: "configuration",
		start: func(t *tasks) {
			watcher.Restore(t.ctx) // queued for the loop's next step, so that restored settings apply to the first request
			t.Go(watcher.Run)
		},
		drain: func() {
			if !processes.successorServes() { // control sees a successor as the same agent
				watcher.Leave()
			}
		},
		routes: []control.Route{control.TextRoute("GET /api/config", "application/json",
			func(context.Context) ([]byte, error) { return c.describe(settings.place, watcher.Status()) })},
		gauges: configurationGauges(watcher)}, nil
}

// configurationGauges returns the metrics of following the control machines.
func configurationGauges(w *watch.Watcher) []metrics.Gauge {
	age := func(since func(watch.Status) time.Time) func() int64 {
		return func() int64 { return ageMs(since(w.Status())) }
	}
	return []metrics.Gauge{
		{Name: "configuration_revision_age_ms", Value: age(func(s watch.Status) time.Time { return s.AppliedAt })},
		{Name: "configuration_control_age_ms", Value: age(func(s watch.Status) time.Time { return s.LastContact })},
		{Name: "configuration_changes", Value: func() int64 { return int64(w.Status().Changes) }},
		{Name: "configuration_refusals", Value: func() int64 { return int64(w.Status().Refusals) }},
		{Name: "configuration_refused", Value: func() int64 { return int64(len(w.Status().Report.Refused)) }},
	}
}

// ageMs returns the time since at in milliseconds, or -1 if at is zero.
func ageMs(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// configurationState is the body of the answer to GET /api/config.
type configurationState struct {
	configuration.Place
	Machine    string                                         `json:"machine"` // control machine that is watched, or was last; empty: none yet
	Connected  bool                                           `json:"connected"`
	ControlAge int64                                          `json:"control_age_ms"`  // since the last data from control; -1: none yet
	Revision   int64                                          `json:"revision_age_ms"` // since the last change took effect; -1: no change yet
	Kept       bool                                           `json:"kept"`            // the documents in force were restored from disk
	InForce    map[configuration.Scope]configuration.Position `json:"in_force"`        // position of the document in force, by scope
	Digest     string                                         `json:"digest"`          // of the effective document, which all scopes together make
	Refused    []configuration.Refusal                        `json:"refused"`
	Changed    []settingChange                                `json:"changed"` // settings that differ from those of the start
}

// settingChange is a setting whose value differs from the one at the start.
type settingChange struct {
	Setting string `json:"setting"` // name in configuration documents
	Start   any    `json:"start"`
	Now     any    `json:"now"`
}

// describe returns the answer to GET /api/config as JSON.
func (c *settingsApplier) describe(place configuration.Place, st watch.Status) ([]byte, error) {
	c.mu.Lock()
	current := c.current
	c.mu.Unlock()
	s := configurationState{Place: place, Machine: st.Machine, Connected: st.Connected, ControlAge: ageMs(st.LastContact), Revision: ageMs(st.AppliedAt),
		Kept: st.Restored, InForce: st.Report.InForce, Digest: st.Report.Digest, Refused: st.Report.Refused, Changed: c.changedSettings(&current)}
	if s.InForce == nil {
		s.InForce = map[configuration.Scope]configuration.Position{}
	}
	if s.Refused == nil {
		s.Refused = []configuration.Refusal{}
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	return append(raw, '\n'), err
}

// changedSettings lists the settings whose value in current differs from that of the start, by their names in documents.
func (c *settingsApplier) changedSettings(current *balance.Settings) []settingChange {
	start := &c.cfg.Settings
	changes := []settingChange{}
	compare := func(setting string, old, new any) {
		if old != new {
			changes = append(changes, settingChange{setting, old, new})
		}
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	for i, name := range c.cfg.Names.Classes {
		old, new, prefix := start.Classes[i], current.Classes[i], "classes."+name+"."
		compare(prefix+"aim_ms", ms(old.Aim), ms(new.Aim))
		compare(prefix+"deadline_ms", ms(old.Deadline), ms(new.Deadline))
		compare(prefix+"worth", old.Worth, new.Worth)
		compare(prefix+"late_worth", old.LateWorth, new.LateWorth)
	}
	for i, name := range c.cfg.Names.Tenants {
		compare("tenants."+name+".per_second", start.Tenants[i].PerSecond, current.Tenants[i].PerSecond)
		compare("tenants."+name+".portion", start.Tenants[i].Portion, current.Tenants[i].Portion)
	}
	compare("limits.attempts", start.MaxAttempts, current.MaxAttempts)
	compare("limits.second_copies", start.SecondCopies, current.SecondCopies)
	compare("limits.max_retry_after_ms", ms(start.MaxRetryAfter), ms(current.MaxRetryAfter))
	compare("limits.over_share_worth", start.OverShare, current.OverShare)
	compare("cold.from", start.ColdShare, current.ColdShare)
	compare("cold.ramp_ms", ms(start.RampTime), ms(current.RampTime))
	compare("cold.fall_multiple", start.FallMultiple, current.FallMultiple)
	compare("cold.fall_ms", ms(start.FallWindow), ms(current.FallWindow))
	return changes
}
