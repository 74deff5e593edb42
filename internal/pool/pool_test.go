package pool

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonrail/balance"
)

func up(id string, started time.Duration) balance.Backend {
	return balance.Backend{ID: id, Started: started}
}

func full(b ...balance.Backend) balance.List {
	return balance.List{Kind: balance.ListFull, Backends: b}
}

// What is out by hand stays out, whatever the list says, and comes back cold.
func TestOutUntilPutBack(t *testing.T) {
	p := New()
	p.Listed(full(up("a", 0), up("b", 5)))
	if _, err := p.Exclude("c"); !errors.Is(err, ErrUnknown) {
		t.Errorf("unknown: %v", err)
	}
	if c, err := p.Exclude("a"); err != nil || len(c) != 1 || c[0].State != balance.Draining {
		t.Errorf("exclude: %v, %v", c, err)
	}
	if c, err := p.Exclude("a"); err != nil || c != nil {
		t.Errorf("again: %v, %v", c, err)
	}
	for _, list := range []balance.List{
		full(up("a", 0), up("b", 5)),
		{Kind: balance.ListDelta, Backends: []balance.Backend{{ID: "a", State: balance.Gone}}},
		{Kind: balance.ListDelta, Backends: []balance.Backend{up("a", 50)}},
	} {
		for _, b := range p.Listed(list).Backends {
			if b.ID == "a" && b.State == balance.Up {
				t.Errorf("%v brings back what is out", list)
			}
		}
	}
	if list := full(up("a", 50)); p.Listed(list).Backends[0].State != balance.Draining || list.Backends[0].State != balance.Up {
		t.Error("the caller's list is changed, or the module's is not")
	}
	if got := p.ListedOut(); len(got) != 1 || got[0] != "a" {
		t.Errorf("out: %v", got)
	}
	c, err := p.Include("a", 70)
	if err != nil || len(c) != 1 || c[0].State != balance.Up || c[0].Started != 70 {
		t.Errorf("include: %v, %v", c, err)
	}
	// The list's own news of the start is older than what is surely known: it may be of the one before.
	if b := p.Listed(full(up("a", 60))).Backends[0]; b.Started != 70 || b.State != balance.Up {
		t.Errorf("listed as %v", b)
	}
	if c, err := p.Include("a", 80); err != nil || c != nil {
		t.Errorf("one call back undoes all: %v, %v", c, err)
	}
	if _, err := p.Include("x", 80); !errors.Is(err, ErrUnknown) {
		t.Errorf("unknown: %v", err)
	}
}

// One that is out while the list does not name it may be put back all the same.
func TestOutAndGone(t *testing.T) {
	p := New()
	p.Listed(full(up("a", 0)))
	p.Exclude("a")
	p.Listed(full())
	if got := p.ListedOut(); len(got) != 0 {
		t.Errorf("listed and out: %v", got)
	}
	if c, err := p.Include("a", 9); err != nil || c != nil {
		t.Errorf("include: %v, %v", c, err)
	}
	if b := p.Listed(full(up("a", 3))).Backends[0]; b.State != balance.Up || b.Started != 3 {
		t.Errorf("listed anew as %v", b)
	}
}

func TestBoundOfOut(t *testing.T) {
	p := New()
	for i := range MaxOut + 1 {
		id := fmt.Sprint(i)
		p.Listed(balance.List{Kind: balance.ListDelta, Backends: []balance.Backend{up(id, 0)}})
		if _, err := p.Exclude(id); (err != nil) != (i == MaxOut) {
			t.Fatalf("%d: %v", i, err)
		}
	}
}

// Whatever comes in whatever order, the module never sees as up what is out or left, and what it was told last
// of each backend is what a whole list would tell it.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := New(), time.Duration(0)
		told := map[string]balance.Backend{}
		out := map[string]bool{}
		id := rapid.SampledFrom([]string{"a", "b", "c"})
		take := func(list []balance.Backend) {
			for _, b := range list {
				told[b.ID] = b
				if b.State == balance.Gone {
					delete(told, b.ID)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(told) != p.Size() {
					t.Fatalf("told of %v, %d listed", told, p.Size())
				}
				for id, b := range told {
					if out[id] && b.State == balance.Up {
						t.Fatalf("%s is out, and up", id)
					}
					if b != p.seen(p.listed[id]) {
						t.Fatalf("told %v, is %v", b, p.seen(p.listed[id]))
					}
				}
				if len(p.leaves) > p.Size() || len(p.back) > p.Size() {
					t.Fatal("more is kept than is listed")
				}
			},
			"delta": func(t *rapid.T) {
				now++
				b := up(id.Draw(t, "id"), now)
				b.State = rapid.SampledFrom([]balance.BackendState{balance.Up, balance.Draining, balance.Gone}).Draw(t, "state")
				take(p.Listed(balance.List{Kind: balance.ListDelta, Backends: []balance.Backend{b}}).Backends)
			},
			"full": func(t *rapid.T) {
				clear(told)
				var list []balance.Backend
				for _, id := range rapid.SliceOfDistinct(id, rapid.ID).Draw(t, "ids") {
					list = append(list, up(id, 0))
				}
				take(p.Listed(full(list...)).Backends)
			},
			"exclude": func(t *rapid.T) {
				id := id.Draw(t, "id")
				c, err := p.Exclude(id)
				if out[id] = out[id] || err == nil; err != nil {
					return
				}
				take(c)
			},
			"include": func(t *rapid.T) {
				now++
				id := id.Draw(t, "id")
				c, _ := p.Include(id, now)
				delete(out, id)
				take(c)
			},
			"leaves": func(t *rapid.T) { take(p.Leaves(id.Draw(t, "id"), rapid.Bool().Draw(t, "leaves"))) },
		})
	})
}

// A zone that is out by hand drains as a whole, with what is listed later; back, it counts as started then.
func TestAZoneOutAsAWhole(t *testing.T) {
	p := New()
	p.Listed(balance.List{Kind: balance.ListFull, Backends: []balance.Backend{{ID: "b"}, {ID: "a"}, {ID: "c", Zone: 1}}})
	c := p.ExcludeZone(0, true, 5)
	if len(c) != 2 || c[0].ID != "a" || c[0].State != balance.Draining || c[1].State != balance.Draining {
		t.Fatalf("%+v", c)
	}
	if c := p.ExcludeZone(0, true, 6); c != nil {
		t.Errorf("twice: %+v", c)
	}
	if l := p.Listed(balance.List{Kind: balance.ListDelta, Backends: []balance.Backend{{ID: "d"}, {ID: "e", Zone: 1}}}); l.Backends[0].State != balance.Draining || l.Backends[1].State != balance.Up {
		t.Errorf("listed later: %+v", l.Backends)
	}
	c = p.ExcludeZone(0, false, 7)
	if len(c) != 3 || c[0].State != balance.Up || c[0].Started != 7 || c[2].ID != "d" {
		t.Errorf("back: %+v", c)
	}
	if c := p.Restarted(1, 9); len(c) != 2 || c[0].Started != 9 {
		t.Errorf("restarted: %+v", c)
	}
}
