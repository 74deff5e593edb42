package duty

import (
	"maps"
	"slices"
	"time"
)

// Clocks bounds the drift of the agents' monotonic clocks: the share by which one may run fast or slow.
type Clocks struct{ Drift float64 }

// upperBound returns the time on the grantor's clock after which a lease has ended on every holder's clock.
func (c Clocks) upperBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + c.Drift))
}

// lowerBound returns the time on the holder's clock for which a lease is certain to last.
func (c Clocks) lowerBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 - c.Drift))
}

// Grantor detects expired leases by the clock of its voter. It runs beside each voter's table, and is active
// at the leader only.
type Grantor struct {
	clocks  Clocks
	leading bool             // this voter is the leader
	grants  map[string]grant // by duty
}

// grant is the lease of a duty's current holder, as the Grantor counts it.
type grant struct {
	epoch         Epoch
	extendedAt    time.Duration // when the last command that extended the lease was applied, or this voter became leader
	lease         time.Duration // length of the lease
	renewals      uint64        // Duty.Kept when the lease was last extended
	expirePending bool          // an Expire command has been returned and not been applied yet
}

// NewGrantor returns the grantor of a voter that is not the leader.
func NewGrantor(c Clocks) *Grantor { return &Grantor{clocks: c, grants: map[string]grant{}} }

// StartLeading makes this voter's grantor the active one. All leases count from now, since a new leader can't
// know when they began. A pause of the leader's own process is handled in the same way.
func (g *Grantor) StartLeading(now time.Duration, t *Table) {
	g.leading = true
	clear(g.grants)
	for _, d := range t.duties {
		if d.Holder != "" {
			g.grants[d.Name] = grant{epoch: d.Epoch, extendedAt: now, lease: d.Lease, renewals: d.Kept}
		}
	}
}

// StopLeading makes the grantor inactive, since this voter is no longer the leader.
func (g *Grantor) StopLeading() { g.leading = false }

// Applied records the effect that an applied command had on its duty's lease.
func (g *Grantor) Applied(now time.Duration, c *Command, t *Table) {
	d := t.duties[c.Duty]
	if d == nil || d.Holder == "" {
		delete(g.grants, c.Duty)
		return
	}
	previous := g.grants[c.Duty]
	if previous.epoch != d.Epoch || (c.Kind == Renew || c.Kind == SaveState) && c.Epoch == d.Epoch && c.Agent == d.Holder {
		g.grants[c.Duty] = grant{epoch: d.Epoch, extendedAt: now, lease: d.Lease, renewals: d.Kept}
	}
}

// ExpiredLeases returns an Expire command for each lease that has run out. A command is returned again only
// after a further lease's duration, in case it was lost.
func (g *Grantor) ExpiredLeases(now time.Duration) (all []Command) {
	if !g.leading {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(g.grants)) {
		lease := g.grants[name]
		limit := g.clocks.upperBound(lease.lease)
		if lease.expirePending {
			limit *= 2
		}
		if now-lease.extendedAt < limit {
			continue
		}
		if lease.expirePending {
			lease.extendedAt = now - g.clocks.upperBound(lease.lease)
		}
		lease.expirePending = true
		g.grants[name] = lease
		all = append(all, Command{Kind: Expire, Duty: name, Epoch: lease.epoch, Kept: lease.renewals})
	}
	return all
}

// NextExpiry returns the time at which ExpiredLeases may next return a command; 0 means never.
func (g *Grantor) NextExpiry() (at time.Duration) {
	if !g.leading {
		return 0
	}
	for _, lease := range g.grants {
		limit := g.clocks.upperBound(lease.lease)
		if lease.expirePending {
			limit *= 2
		}
		if at == 0 || lease.extendedAt+limit < at {
			at = lease.extendedAt + limit
		}
	}
	return at
}
