// Package pool lays over the list of backends what else is known of them: that one took leave by
// itself, that staff took one out, that one was put back. What the decision module is told is a list like any
// other. The package performs no I/O, has no clock and starts no goroutine; a Pool belongs to whoever owns the
// decision module.
//
// Bounds: what is known of a backend is kept while it is listed; those that staff took out are kept until they
// are put back, MaxOut of them at the most.
package pool

import (
	"errors"
	"fmt"
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
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{listed: map[string]balance.Backend{}, leaves: map[string]bool{}, out: map[string]bool{},
		back: map[string]time.Duration{}}
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
	if p.leaves[b.ID] || p.out[b.ID] {
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

// Size is how many backends are listed.
func (p *Pool) Size() int { return len(p.listed) }
