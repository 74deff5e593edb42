package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"lemonrail/internal/core"
	"lemonrail/internal/member/link"
	"lemonrail/internal/site"
	"lemonrail/internal/site/driver"
	"lemonrail/internal/takeover"
)

// sitesSettings holds the contents of the file on sites.
type sitesSettings struct {
	file    *site.File
	problem site.Problem // load and capacity of all sites, from the file
}

// WithSites has the agent watch for the loss of whole sites. raw is the text of the file on sites; errors name it as name.
func (c *Config) WithSites(name string, raw []byte) error {
	f, p, err := site.ParseFile(name, raw)
	if err != nil {
		return err
	}
	if len(c.Names.Zones) == 0 {
		return errors.New("sites: the platform's settings name no zones")
	}
	c.sites = &sitesSettings{f, p}
	if _, err := c.controllerConfig(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// controllerConfig derives the settings of the controller of sites from the file on sites and the platform's settings. A
// class of worth 0 counts as 1e-6.
func (c *Config) controllerConfig() (site.ControllerConfig, error) {
	var classes []site.Class
	for i, k := range c.Settings.Classes {
		name := fmt.Sprint("class ", i)
		if i < len(c.Names.Classes) {
			name = c.Names.Classes[i]
		}
		classes = append(classes, site.Class{Name: name, Worth: max(k.Worth, 1e-6)})
	}
	cold := c.Settings.ColdShare
	if cold == 0 {
		cold = 1
	}
	s, err := c.sites.file.ControllerConfig(c.sites.problem, c.Names.Zones, classes, cold, c.Settings.RampTime)
	if advice := c.Settings.MaxRetryAfter; advice > 0 {
		s.MaxAdvice = advice
	}
	return s, err
}

// sitesPart creates the part that watches whole sites through the loop, with its driver; without a file on sites the part
// does nothing and the driver is nil.
func sitesPart(cfg *Config, l *core.Loop, members *link.Link, operators *controlAPI, log *slog.Logger) (*part, *driver.Driver, error) {
	if cfg.sites == nil {
		return &part{name: "sites"}, nil, nil
	}
	config, err := cfg.controllerConfig()
	if err != nil {
		return nil, nil, err
	}
	ownZone := cfg.Settings.Zone
	if ownZone >= len(cfg.Names.Zones) {
		ownZone = -1
	}
	o := driver.Options{Controller: config, OwnSite: ownZone, Seed: cfg.Seed, Log: log, ExcludeZone: operators.excludeZone}
	if members != nil {
		o.Members = members
	}
	sites, err := driver.New(o, l)
	if err != nil {
		return nil, nil, err
	}
	return &part{name: "sites",
		start:  func(t *tasks) { t.Go(sites.Run) },
		routes: sites.Routes(), gauges: sites.Gauges()}, sites, nil
}

// excludeZone excludes all backends of a zone, or includes them again if out is false.
func (s *controlAPI) excludeZone(ctx context.Context, zone int, out bool) error {
	if s.processes == nil {
		return s.runInLoop(ctx, func() error {
			s.loop.ExcludeZone(zone, out)
			return nil
		})
	}
	state, err := s.processes.claim.Change(func(t *takeover.State) error {
		t.SetZoneExcluded(zone, out)
		return nil
	})
	if err != nil {
		return err
	}
	return s.runInLoop(ctx, func() error {
		s.processes.adopt(state)
		return nil
	})
}
