// Package pool lays over the list of backends what else is known of them: that one took leave by
// itself, that staff took one out, that one was put back. What the decision module is told is a list like any
// other. The package performs no I/O, has no clock and starts no goroutine; a Pool belongs to whoever owns the
// decision module.
//
// Bounds: what is known of a backend is kept while it is listed; those that staff took out are kept until they
// are put back, MaxOut of them at the most.
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

// MaxOut is how many backends may be out by hand at a time.
const MaxOut = 1024

// Reasons for which a call is owed a no.
var (
	ErrUnknown = errors.New("unknown backend")
	ErrTooMany = fmt.Errorf("more than %d backends are out", MaxOut)
)

// Pool is what is known of the backends beside what the decision module makes of them.
type Pool struct {
	listed map[string]balance.Backend // as the list has it
	leaves map[string]bool            // of these, servers that said themselves that they want nothing new
	out    map[string]bool            // taken out by hand, listed or not
	back   map[string]time.Duration   // of those listed, put back by hand, and when
	backs  map[string]time.Duration   // the same as adopted, listed or not
	zones  map[int]bool               // taken out by hand as a whole
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{listed: map[string]balance.Backend{}, leaves: map[string]bool{}, out: map[string]bool{},
		back: map[string]time.Duration{}, zones: map[int]bool{}}
}

// Listed takes a list from discovery and returns it as the decision module is to have it.
func (p *Pool) Listed(list balance.List) balance.List {
	before := p.listed
	if list.Kind == balance.ListFull || list.Kind == balance.ListCached {
		p.listed = map[string]balance.Backend{}
	}
	seen := slices.Clone(list.Backends)
	for i, b := range seen {
		if b.State == balance.Gone {
			p.drop(b.ID)
			continue
		}
		if b.Started > before[b.ID].Started { // another process than the one that took leave
			delete(p.leaves, b.ID)
		}
		p.listed[b.ID] = b
		if at := p.backs[b.ID]; at > p.back[b.ID] {
			p.back[b.ID] = at
		}
		seen[i] = p.seen(b)
	}
	for id := range before {
		if _, known := p.listed[id]; !known {
			p.drop(id)
		}
	}
	list.Backends = seen
	return list
}

func (p *Pool) drop(id string) {
	delete(p.listed, id)
	delete(p.leaves, id)
	delete(p.back, id)
}

// seen is a listed backend as the decision module is to see it.
func (p *Pool) seen(b balance.Backend) balance.Backend {
	if p.leaves[b.ID] || p.out[b.ID] || p.zones[b.Zone] {
		b.State = balance.Draining
	}
	b.Started = max(b.Started, p.back[b.ID])
	return b
}

// Change is what the decision module is told of one backend, nil if nothing changes for it.
type Change []balance.Backend

func (p *Pool) change(id string) Change {
	if b, known := p.listed[id]; known {
		return Change{p.seen(b)}
	}
	return nil
}

// Leaves takes note that a backend said itself that it wants nothing new, or that it is back; the list may
// say for seconds yet that it is up.
func (p *Pool) Leaves(id string, leaves bool) Change {
	if _, known := p.listed[id]; !known || p.leaves[id] == leaves {
		return nil
	}
	if leaves {
		p.leaves[id] = true
	} else {
		delete(p.leaves, id)
	}
	return p.change(id)
}

// Exclude takes a backend out until Include. A second call changes nothing.
func (p *Pool) Exclude(id string) (Change, error) {
	switch _, known := p.listed[id]; {
	case p.out[id]:
		return nil, nil
	case !known:
		return nil, fmt.Errorf("%q: %w", id, ErrUnknown)
	case len(p.out) >= MaxOut:
		return nil, ErrTooMany
	}
	p.out[id] = true
	return p.change(id), nil
}

// Include puts a backend back at a time. Guards against a cold one that is taken for warm: it may have been
// started anew just now, and the list tells so seconds late.
func (p *Pool) Include(id string, now time.Duration) (Change, error) {
	_, known := p.listed[id]
	switch {
	case p.out[id]:
		delete(p.out, id)
		if known {
			p.back[id] = now
		}
		return p.change(id), nil
	case !known:
		return nil, fmt.Errorf("%q: %w", id, ErrUnknown)
	}
	return nil, nil
}

// ExcludeZone takes a zone out as a whole, those of its backends that are listed later too, or puts it back at a time.
func (p *Pool) ExcludeZone(zone int, out bool, now time.Duration) (c Change) {
	if p.zones[zone] == out {
		return nil
	}
	if out {
		p.zones[zone] = true
		return p.ofZone(zone)
	}
	delete(p.zones, zone)
	return p.Restarted(zone, now)
}

// Restarted has a zone's listed backends count as started at a time: it was away as a whole, and is cold.
func (p *Pool) Restarted(zone int, now time.Duration) Change {
	for id, b := range p.listed {
		if b.Zone == zone {
			p.back[id] = max(p.back[id], now)
		}
	}
	return p.ofZone(zone)
}

// ofZone is what the module is told of a zone's backends, in the order of their ids.
func (p *Pool) ofZone(zone int) (c Change) {
	for _, b := range p.listed {
		if b.Zone == zone {
			c = append(c, p.seen(b))
		}
	}
	slices.SortFunc(c, func(a, b balance.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return c
}

// ZonesOut lists the zones that are out by hand, sorted.
func (p *Pool) ZonesOut() []int { return slices.Sorted(maps.Keys(p.zones)) }

// AdoptZones takes over which zones are out, and puts the others back at a time.
func (p *Pool) AdoptZones(out []int, now time.Duration) (c Change) {
	for _, z := range p.ZonesOut() {
		if !slices.Contains(out, z) {
			c = append(c, p.ExcludeZone(z, false, now)...)
		}
	}
	for _, z := range out {
		c = append(c, p.ExcludeZone(z, true, now)...)
	}
	return c
}

// Known reports whether a backend is listed or out.
func (p *Pool) Known(id string) bool {
	_, known := p.listed[id]
	return known || p.out[id]
}

// Adopt takes over which backends are out, where several processes act as one: those in out are, whether listed
// or not, and no others. Back says when some were put back.
func (p *Pool) Adopt(out []string, back map[string]time.Duration) (c Change) {
	before := p.out
	p.out = map[string]bool{}
	for _, id := range out {
		if p.out[id] = true; !before[id] {
			c = append(c, p.change(id)...)
		}
	}
	for id, at := range back {
		if _, known := p.listed[id]; known && p.back[id] < at {
			p.back[id] = at
		}
	}
	p.backs = back
	for id := range before {
		if !p.out[id] {
			c = append(c, p.change(id)...)
		}
	}
	return c
}

// Out lists the backends that are out by hand, sorted.
func (p *Pool) Out() []string {
	ids := make([]string, 0, len(p.out))
	for id := range p.out {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// IsOut reports whether a backend is out by hand.
func (p *Pool) IsOut(id string) bool { return p.out[id] }

// ListedOut lists those of them that the list names.
func (p *Pool) ListedOut() []string {
	return slices.DeleteFunc(p.Out(), func(id string) bool { _, known := p.listed[id]; return !known })
}

// Takes reports whether a backend takes new requests, as the decision module is told.
func (p *Pool) Takes(id string) bool {
	b, known := p.listed[id]
	return known && p.seen(b).State == balance.Up
}

// Size is how many backends are listed.
func (p *Pool) Size() int { return len(p.listed) }
