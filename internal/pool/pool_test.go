package pool

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonrail/balance"
)

// up returns a list entry of a backend that is up.
func up(id string, started time.Duration) balance.Backend {
	return balance.Backend{ID: id, Started: started}
}

// full returns a whole list of the given backends.
func full(b ...balance.Backend) balance.List {
	return balance.List{Kind: balance.ListFull, Backends: b}
}

// A manually excluded backend stays excluded whatever the list says, and counts as started when it is
// included again.
func TestExcludedUntilIncluded(t *testing.T) {
	p := New()
	p.ApplyList(full(up("a", 0), up("b", 5)))
	if _, err := p.Exclude("c"); !errors.Is(err, ErrUnknownBackend) {
		t.Errorf("unknown: %v", err)
	}
	if c, err := p.Exclude("a"); err != nil || len(c) != 1 || c[0].State != balance.Draining {
		t.Errorf("exclude: %v, %v", c, err)
	}
	if c, err := p.Exclude("a"); err != nil || c != nil {
		t.Errorf("exclude again: %v, %v", c, err)
	}
	for _, list := range []balance.List{
		full(up("a", 0), up("b", 5)),
		{Kind: balance.ListDelta, Backends: []balance.Backend{{ID: "a", State: balance.Gone}}},
		{Kind: balance.ListDelta, Backends: []balance.Backend{up("a", 50)}},
	} {
		for _, b := range p.ApplyList(list).Backends {
			if b.ID == "a" && b.State == balance.Up {
				t.Errorf("%v includes an excluded backend", list)
			}
		}
	}
	if list := full(up("a", 50)); p.ApplyList(list).Backends[0].State != balance.Draining || list.Backends[0].State != balance.Up {
		t.Error("the caller's list was changed, or the returned list was not")
	}
	if got := p.ListedExcluded(); len(got) != 1 || got[0] != "a" {
		t.Errorf("listed and excluded: %v", got)
	}
	c, err := p.Include("a", 70)
	if err != nil || len(c) != 1 || c[0].State != balance.Up || c[0].Started != 70 {
		t.Errorf("include: %v, %v", c, err)
	}
	// The start time of the list is older than the inclusion and may belong to the process before the
	// restart.
	if b := p.ApplyList(full(up("a", 60))).Backends[0]; b.Started != 70 || b.State != balance.Up {
		t.Errorf("listed as %v", b)
	}
	if c, err := p.Include("a", 80); err != nil || c != nil {
		t.Errorf("include again: %v, %v", c, err)
	}
	if _, err := p.Include("x", 80); !errors.Is(err, ErrUnknownBackend) {
		t.Errorf("unknown: %v", err)
	}
}

// A backend that is excluded and no longer listed can still be included again.
func TestIncludeUnlistedBackend(t *testing.T) {
	p := New()
	p.ApplyList(full(up("a", 0)))
	p.Exclude("a")
	p.ApplyList(full())
	if got := p.ListedExcluded(); len(got) != 0 {
		t.Errorf("listed and excluded: %v", got)
	}
	if c, err := p.Include("a", 9); err != nil || c != nil {
		t.Errorf("include: %v, %v", c, err)
	}
	if b := p.ApplyList(full(up("a", 3))).Backends[0]; b.State != balance.Up || b.Started != 3 {
		t.Errorf("listed again as %v", b)
	}
}

func TestMaxExcluded(t *testing.T) {
	p := New()
	for i := range MaxExcluded + 1 {
		id := fmt.Sprint(i)
		p.ApplyList(balance.List{Kind: balance.ListDelta, Backends: []balance.Backend{up(id, 0)}})
		if _, err := p.Exclude(id); (err != nil) != (i == MaxExcluded) {
			t.Fatalf("%d: %v", i, err)
		}
	}
}

// For any order of operations, the decision module never sees an excluded or leaving backend as up, and its last state
// of each backend equals what a whole list would show.
func TestModuleStateMatchesPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := New(), time.Duration(0)
		moduleView := map[string]balance.Backend{}
		excluded := map[string]bool{}
		id := rapid.SampledFrom([]string{"a", "b", "c"})
		take := func(list []balance.Backend) {
			for _, b := range list {
				moduleView[b.ID] = b
				if b.State == balance.Gone {
					delete(moduleView, b.ID)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(moduleView) != p.Size() {
					t.Fatalf("the module knows %v, %d listed", moduleView, p.Size())
				}
				for id, b := range moduleView {
					if excluded[id] && b.State == balance.Up {
						t.Fatalf("%s is excluded, and up", id)
					}
					if b != p.effective(p.listed[id]) {
						t.Fatalf("the module knows %v, want %v", b, p.effective(p.listed[id]))
					}
				}
				if len(p.leaving) > p.Size() || len(p.includedAt) > p.Size() {
					t.Fatal("state is kept for backends that are not listed")
				}
			},
			"delta": func(t *rapid.T) {
				now++
				b := up(id.Draw(t, "id"), now)
				b.State = rapid.SampledFrom([]balance.BackendState{balance.Up, balance.Draining, balance.Gone}).Draw(t, "state")
				take(p.ApplyList(balance.List{Kind: balance.ListDelta, Backends: []balance.Backend{b}}).Backends)
			},
			"full": func(t *rapid.T) {
				clear(moduleView)
				var list []balance.Backend
				for _, id := range rapid.SliceOfDistinct(id, rapid.ID).Draw(t, "ids") {
					list = append(list, up(id, 0))
				}
				take(p.ApplyList(full(list...)).Backends)
			},
			"exclude": func(t *rapid.T) {
				id := id.Draw(t, "id")
				c, err := p.Exclude(id)
				if excluded[id] = excluded[id] || err == nil; err != nil {
					return
				}
				take(c)
			},
			"include": func(t *rapid.T) {
				now++
				id := id.Draw(t, "id")
				c, _ := p.Include(id, now)
				delete(excluded, id)
				take(c)
			},
			"leaves": func(t *rapid.T) { take(p.SetLeaving(id.Draw(t, "id"), rapid.Bool().Draw(t, "leaves"))) },
		})
	})
}

// The backends of an excluded zone drain, also those that are listed later; included again, they count as
// started then.
func TestExcludeZone(t *testing.T) {
	p := New()
	p.ApplyList(balance.List{Kind: balance.ListFull, Backends: []balance.Backend{{ID: "b"}, {ID: "a"}, {ID: "c", Zone: 1}}})
	c := p.ExcludeZone(0, true, 5)
	if len(c) != 2 || c[0].ID != "a" || c[0].State != balance.Draining || c[1].State != balance.Draining {
		t.Fatalf("%+v", c)
	}
	if c := p.ExcludeZone(0, true, 6); c != nil {
		t.Errorf("exclude again: %+v", c)
	}
	if l := p.ApplyList(balance.List{Kind: balance.ListDelta, Backends: []balance.Backend{{ID: "d"}, {ID: "e", Zone: 1}}}); l.Backends[0].State != balance.Draining || l.Backends[1].State != balance.Up {
		t.Errorf("listed later: %+v", l.Backends)
	}
	c = p.ExcludeZone(0, false, 7)
	if len(c) != 3 || c[0].State != balance.Up || c[0].Started != 7 || c[2].ID != "d" {
		t.Errorf("include: %+v", c)
	}
	if c := p.MarkZoneRestarted(1, 9); len(c) != 2 || c[0].Started != 9 {
		t.Errorf("restarted: %+v", c)
	}
}
