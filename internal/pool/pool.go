// Package pool combines the list of backends with overrides from other sources: backends that announced that
// they accept no new requests, backends and zones that operators excluded, and backends that were included
// again. The decision module (package balance) gets the result in the form of an ordinary list. The package
// performs no I/O, has no clock and starts no goroutine; a Pool belongs to the owner of the decision module.
//
// Bounds: the state of a backend is kept while it is listed. Excluded backends are kept until they are
// included again, at most MaxExcluded of them.
package pool

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"lemonrail/balance"
)

// MaxExcluded is the maximum number of backends that may be manually excluded at a time.
const MaxExcluded = 1024

// Errors of Exclude and Include.
var (
	ErrUnknownBackend  = errors.New("unknown backend")
	ErrTooManyExcluded = fmt.Errorf("more than %d backends are out", MaxExcluded)
)

// Pool holds the listed backends and their overrides. It is not safe for concurrent use.
type Pool struct {
	listed            map[string]balance.Backend // as listed by discovery
	leaving           map[string]bool            // listed backends that announced that they accept no new requests
	excluded          map[string]bool            // manually excluded, listed or not
	includedAt        map[string]time.Duration   // listed backends that were manually included again, and when
	adoptedIncludedAt map[string]time.Duration   // times passed to the last ReplaceExcluded, of backends listed or not
	excludedZones     map[int]bool               // zones that are manually excluded as a whole
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{listed: map[string]balance.Backend{}, leaving: map[string]bool{}, excluded: map[string]bool{},
		includedAt: map[string]time.Duration{}, excludedZones: map[int]bool{}}
}

// ApplyList takes a list from discovery and returns it with the overrides applied, for the decision module.
func (p *Pool) ApplyList(list balance.List) balance.List {
	before := p.listed
	if list.Kind == balance.ListFull || list.Kind == balance.ListCached {
		p.listed = map[string]balance.Backend{}
	}
	entries := slices.Clone(list.Backends)
	for i, b := range entries {
		if b.State == balance.Gone {
			p.forget(b.ID)
			continue
		}
		if b.Started > before[b.ID].Started { // a new process, not the one that announced that it accepts no new requests
			delete(p.leaving, b.ID)
		}
		p.listed[b.ID] = b
		if at := p.adoptedIncludedAt[b.ID]; at > p.includedAt[b.ID] {
			p.includedAt[b.ID] = at
		}
		entries[i] = p.effective(b)
	}
	for id := range before {
		if _, known := p.listed[id]; !known {
			p.forget(id)
		}
	}
	list.Backends = entries
	return list
}

// forget drops the state of a backend that is no longer listed, except for a manual exclusion.
func (p *Pool) forget(id string) {
	delete(p.listed, id)
	delete(p.leaving, id)
	delete(p.includedAt, id)
}

// effective returns a listed backend with the overrides applied.
func (p *Pool) effective(b balance.Backend) balance.Backend {
	if p.leaving[b.ID] || p.excluded[b.ID] || p.excludedZones[b.Zone] {
		b.State = balance.Draining
	}
	b.Started = max(b.Started, p.includedAt[b.ID])
	return b
}

// Change holds the backends whose state for the decision module changed, with overrides applied; nil if none
// did.
type Change []balance.Backend

// change returns the Change of one backend, nil if it is not listed.
func (p *Pool) change(id string) Change {
	if b, known := p.listed[id]; known {
		return Change{p.effective(b)}
	}
	return nil
}

// SetLeaving records that a backend announced that it accepts no new requests, or that it is back. The list
// may still show it as up for seconds.
func (p *Pool) SetLeaving(id string, leaving bool) Change {
	if _, known := p.listed[id]; !known || p.leaving[id] == leaving {
		return nil
	}
	if leaving {
		p.leaving[id] = true
	} else {
		delete(p.leaving, id)
	}
	return p.change(id)
}

// Exclude excludes a backend until Include. A second call has no effect.
func (p *Pool) Exclude(id string) (Change, error) {
	switch _, known := p.listed[id]; {
	case p.excluded[id]:
		return nil, nil
	case !known:
		return nil, fmt.Errorf("%q: %w", id, ErrUnknownBackend)
	case len(p.excluded) >= MaxExcluded:
		return nil, ErrTooManyExcluded
	}
	p.excluded[id] = true
	return p.change(id), nil
}

// Include ends the exclusion of a backend, which then counts as started now. Otherwise a cold backend would
// be taken for warm: it may have been restarted just now, which the list shows only seconds later.
func (p *Pool) Include(id string, now time.Duration) (Change, error) {
	_, known := p.listed[id]
	switch {
	case p.excluded[id]:
		delete(p.excluded, id)
		if known {
			p.includedAt[id] = now
		}
		return p.change(id), nil
	case !known:
		return nil, fmt.Errorf("%q: %w", id, ErrUnknownBackend)
	}
	return nil, nil
}

// ExcludeZone excludes a zone as a whole, with the backends that are listed later, or includes it again at
// now.
func (p *Pool) ExcludeZone(zone int, exclude bool, now time.Duration) (c Change) {
	if p.excludedZones[zone] == exclude {
		return nil
	}
	if exclude {
		p.excludedZones[zone] = true
		return p.zoneChange(zone)
	}
	delete(p.excludedZones, zone)
	return p.MarkZoneRestarted(zone, now)
}

// MarkZoneRestarted makes a zone's listed backends count as started at now: the whole zone was away, so they
// are cold.
func (p *Pool) MarkZoneRestarted(zone int, now time.Duration) Change {
	for id, b := range p.listed {
		if b.Zone == zone {
			p.includedAt[id] = max(p.includedAt[id], now)
		}
	}
	return p.zoneChange(zone)
}

// zoneChange returns a zone's listed backends with overrides applied, ordered by id.
func (p *Pool) zoneChange(zone int) (c Change) {
	for _, b := range p.listed {
		if b.Zone == zone {
			c = append(c, p.effective(b))
		}
	}
	slices.SortFunc(c, func(a, b balance.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return c
}

// ExcludedZones lists the manually excluded zones, sorted.
func (p *Pool) ExcludedZones() []int { return slices.Sorted(maps.Keys(p.excludedZones)) }

// ReplaceExcludedZones replaces the set of excluded zones. Zones that are no longer in it are included again
// at now.
func (p *Pool) ReplaceExcludedZones(excluded []int, now time.Duration) (c Change) {
	for _, z := range p.ExcludedZones() {
		if !slices.Contains(excluded, z) {
			c = append(c, p.ExcludeZone(z, false, now)...)
		}
	}
	for _, z := range excluded {
		c = append(c, p.ExcludeZone(z, true, now)...)
	}
	return c
}

// Known reports whether a backend is listed or manually excluded.
func (p *Pool) Known(id string) bool {
	_, known := p.listed[id]
	return known || p.excluded[id]
}

// ReplaceExcluded replaces the set of excluded backends, listed or not, where several processes act as one.
// includedAt holds the times at which backends were included again.
func (p *Pool) ReplaceExcluded(excluded []string, includedAt map[string]time.Duration) (c Change) {
	before := p.excluded
	p.excluded = map[string]bool{}
	for _, id := range excluded {
		if p.excluded[id] = true; !before[id] {
			c = append(c, p.change(id)...)
		}
	}
	for id, at := range includedAt {
		if _, known := p.listed[id]; known && p.includedAt[id] < at {
			p.includedAt[id] = at
		}
	}
	p.adoptedIncludedAt = includedAt
	for id := range before {
		if !p.excluded[id] {
			c = append(c, p.change(id)...)
		}
	}
	return c
}

// Excluded lists the manually excluded backends, sorted.
func (p *Pool) Excluded() []string {
	ids := make([]string, 0, len(p.excluded))
	for id := range p.excluded {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// IsExcluded reports whether a backend is manually excluded.
func (p *Pool) IsExcluded(id string) bool { return p.excluded[id] }

// ListedExcluded lists the manually excluded backends that are listed, sorted.
func (p *Pool) ListedExcluded() []string {
	return slices.DeleteFunc(p.Excluded(), func(id string) bool { _, known := p.listed[id]; return !known })
}

// AcceptsRequests reports whether a backend accepts new requests, with overrides applied.
func (p *Pool) AcceptsRequests(id string) bool {
	b, known := p.listed[id]
	return known && p.effective(b).State == balance.Up
}

// Size returns the number of listed backends.
func (p *Pool) Size() int { return len(p.listed) }
