package duty

import (
	"maps"
	"slices"
	"time"
)

// Clocks bounds how far the agents' monotonic clocks may differ in speed: the share by which one may run fast or slow.
type Clocks struct{ Drift float64 }

// held is for how long, by the grantor's clock, a lease surely lasts no longer anywhere.
func (c Clocks) held(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + c.Drift))
}

// mine is for how long, by the holder's clock, a lease surely lasts.
func (c Clocks) mine(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 - c.Drift))
}

// Grantor says, at the seat that leads, which leases have run out.
type Grantor struct {
	clocks Clocks
	leads  bool
	since  map[string]grant
}

type grant struct {
	epoch Epoch
	at    time.Duration // when the last command that keeps it was agreed on, or this seat began to lead
	lease time.Duration
	kept  uint64 // how often it had been kept by then
	asked bool   // an Expire of it is on its way
}

// NewGrantor is that of a seat that doesn't lead.
func NewGrantor(c Clocks) *Grantor { return &Grantor{clocks: c, since: map[string]grant{}} }

// Lead says that the seat begins to lead: all leases count from now, since it can't know when they began. A stop of its
// own process counts as such a beginning too.
func (g *Grantor) Lead(now time.Duration, t *Table) {
	g.leads = true
	clear(g.since)
	for _, d := range t.duties {
		if d.Holder != "" {
			g.since[d.Name] = grant{epoch: d.Epoch, at: now, lease: d.Lease, kept: d.Kept}
		}
	}
}

// Follow says that it leads no longer.
func (g *Grantor) Follow() { g.leads = false }

// Applied takes that a command was carried out.
func (g *Grantor) Applied(now time.Duration, c *Command, t *Table) {
	d := t.duties[c.Duty]
	if d == nil || d.Holder == "" {
		delete(g.since, c.Duty)
		return
	}
	was := g.since[c.Duty]
	if was.epoch != d.Epoch || (c.Kind == Renew || c.Kind == Tell) && c.Epoch == d.Epoch && c.Agent == d.Holder {
		g.since[c.Duty] = grant{epoch: d.Epoch, at: now, lease: d.Lease, kept: d.Kept}
	}
}

// Due are the leases that have run out, as commands; each comes again only after another lease's time, should it be lost.
func (g *Grantor) Due(now time.Duration) (all []Command) {
	if !g.leads {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(g.since)) {
		s := g.since[name]
		over := g.clocks.held(s.lease)
		if s.asked {
			over *= 2
		}
		if now-s.at < over {
			continue
		}
		if s.asked {
			s.at = now - g.clocks.held(s.lease)
		}
		s.asked = true
		g.since[name] = s
		all = append(all, Command{Kind: Expire, Duty: name, Epoch: s.epoch, Kept: s.kept})
	}
	return all
}

// Next is when Due may have something; 0: not by time.
func (g *Grantor) Next() (at time.Duration) {
	if !g.leads {
		return 0
	}
	for _, s := range g.since {
		over := g.clocks.held(s.lease)
		if s.asked {
			over *= 2
		}
		if at == 0 || s.at+over < at {
			at = s.at + over
		}
	}
	return at
}
