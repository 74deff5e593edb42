package takeover

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonrail/internal/pool"
)

func TestPlan(t *testing.T) {
	for _, c := range []struct {
		v    View
		want Plan
	}{
		{View{Generation: 1}, Plan{Alone: true}},
		{View{Generation: 1, Ready: 1}, Plan{Alone: true}},
		{View{Generation: 1, Later: true, Ready: 1}, Plan{}},                                           // it has only started
		{View{Generation: 1, Later: true, Ready: 2}, Plan{Successor: true}},                            // it serves
		{View{Generation: 1, Ready: 2}, Plan{Alone: true}},                                             // it served, and has ended
		{View{Generation: 2, Earlier: true, Ready: 2}, Plan{Mute: true}},                               // the one before is still there
		{View{Generation: 2, Earlier: true, Ready: 1}, Plan{Mute: true}},                               // and serves alone
		{View{Generation: 3, Later: true, Ready: 2}, Plan{}},                                           // neither serves yet
		{View{Generation: 2, Earlier: true, Later: true, Ready: 3}, Plan{Successor: true, Mute: true}}, // two upgrades at once
	} {
		if got := c.v.Plan(); got != c.want {
			t.Errorf("%+v: %+v", c.v, got)
		}
	}
}

// Whatever two processes have in hand, their parts come to one, and one that is alone has all.
func TestPartsComeToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hands := rapid.IntRange(0, 1000)
		old, fresh := hands.Draw(t, "old"), hands.Draw(t, "fresh")
		ready := rapid.IntRange(1, 2).Draw(t, "ready")
		a := View{Generation: 1, Later: true, Ready: ready, After: fresh}.Part(old)
		b := View{Generation: 2, Earlier: true, Ready: ready, Before: old}.Part(fresh)
		if a+b > 1+1e-9 || a+b < 1-1e-9 || a < 0 || b < 0 {
			t.Fatalf("%v and %v", a, b)
		}
		if ready == 2 && b < 0.5 || ready == 1 && a < 1 {
			t.Fatalf("ready %d: %v and %v", ready, a, b)
		}
		if got := (View{Generation: 2, Ready: ready}).Part(fresh); got != 1 {
			t.Fatalf("alone: %v", got)
		}
	})
}

// Whatever the one before holds within its room, both together hold no more than there is; neither is ever left
// without.
func TestRoomOfTwo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.IntRange(4, 2000).Draw(t, "all")
		first := View{Generation: 1, Later: true}.Room(all)
		held := rapid.IntRange(0, first).Draw(t, "held")
		second := View{Generation: 2, Earlier: true, Open: held}.Room(all)
		if held+second > all || first < all/2 || second < all/4 {
			t.Fatalf("of %d: %d, of which %d are held, and %d", all, first, held, second)
		}
		if alone := (View{Generation: 2}).Room(all); alone != all {
			t.Fatalf("alone: %d of %d", alone, all)
		}
		between := View{Generation: 2, Earlier: true, Later: true, Open: held}.Room(all)
		if between < all/4 || between > all-all/4 {
			t.Fatalf("between two: %d of %d", between, all)
		}
	})
}

// A process of a build that tells its requests alone is understood.
func TestToldBefore(t *testing.T) {
	for text, want := range map[string][2]int{"": {}, "       12\n": {12, 0}, "       12        34\n": {12, 34}, "x": {}, "       -1        -2\n": {}} {
		path := filepath.Join(t.TempDir(), "alive")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		inHand, open := told(f)
		f.Close()
		if inHand != want[0] || open != want[1] {
			t.Errorf("%q tells %d and %d", text, inHand, open)
		}
	}
}

func TestStateOfBackends(t *testing.T) {
	var s State
	now := time.Unix(1000, 0)
	for _, id := range []string{"b", "a", "b"} {
		if err := s.Exclude(id); err != nil {
			t.Fatal(err)
		}
	}
	if !slices.Equal(s.Out, []string{"a", "b"}) {
		t.Errorf("out %v", s.Out)
	}
	s.Include("b", now)
	s.Include("x", now)
	if !slices.Equal(s.Out, []string{"a"}) || len(s.Back) != 1 || s.Back["b"] != now.UnixNano() {
		t.Errorf("%+v", s)
	}
	s.Include("a", now.Add(2*backFor))
	if len(s.Back) != 1 || len(s.Out) != 0 {
		t.Errorf("an old return is kept: %+v", s)
	}
	s.Exclude("a")
	if len(s.Back) != 0 {
		t.Errorf("out and back: %+v", s)
	}
	for i := range pool.MaxOut + 1 {
		if err := s.Exclude(fmt.Sprint("n", i)); (err != nil) != (i >= pool.MaxOut-1) {
			t.Fatalf("%d: %v", i, err)
		}
	}
	for i := range 2 * pool.MaxOut {
		s.Out = []string{fmt.Sprint("n", i)}
		s.Include(s.Out[0], now.Add(time.Duration(i)))
	}
	if len(s.Back) > pool.MaxOut || s.Back[fmt.Sprint("n", 2*pool.MaxOut-1)] == 0 {
		t.Errorf("%d returns are kept", len(s.Back))
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{`{"version":3,"generation":2,"ready":1,"out":["a"],"back":{"b":5}}`, `{}`, `{"ready":1}`,
		`{"version":1}{}`, `{"out":[""]}`, `{"more":1}`, ``} {
		f.Add([]byte(seed))
		f.Add(fmt.Appendf(nil, "%s%08x\n%s", mark, crc32.ChecksumIEEE([]byte(seed)), seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse(raw)
		if err != nil { // a checksum is never met by chance
			raw = fmt.Appendf(nil, "%s%08x\n%s", mark, crc32.ChecksumIEEE(raw), raw)
			if s, err = Parse(raw); err != nil {
				return
			}
		}
		text, err := s.Text()
		again, err2 := Parse(text)
		if text2, err3 := again.Text(); errors.Join(err, err2, err3) != nil || !bytes.Equal(text, text2) {
			t.Errorf("%+v became %+v (%v, %v)", s, again, err, err2)
		}
		if s.Ready > s.Generation || s.Ready < 0 || len(s.Out) > pool.MaxOut || slices.Contains(s.Out, "") {
			t.Errorf("%q makes %+v", raw, s)
		}
	})
}

// Two processes of one agent: each knows whether the other lives and serves, and both see one state.
func TestSuccession(t *testing.T) {
	dir := t.TempDir()
	first, s, err := Take(dir, "n/0")
	if err != nil || s.Generation != 1 {
		t.Fatal(s, err)
	}
	first.Ready()
	if _, err := first.Change(func(s *State) error { return s.Exclude("a") }); err != nil {
		t.Fatal(err)
	}
	stranger, _, err := Take(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	second, s, err := Take(dir, "n/0")
	if err != nil || s.Generation != 2 || !slices.Equal(s.Out, []string{"a"}) {
		t.Fatal(s, err)
	}
	check := func(c *Claim, want Plan) {
		t.Helper()
		if got := c.View().Plan(); got != want {
			t.Errorf("generation %d: %+v, not %+v", c.Generation(), got, want)
		}
	}
	check(first, Plan{})
	check(second, Plan{Mute: true})
	second.Ready()
	check(first, Plan{Successor: true})
	first.Tell(30, 70)
	second.Tell(9, 20)
	if a, b := first.View().Part(30), second.View().Part(9); a != 0.5 || b != 0.5 {
		t.Errorf("parts %v and %v", a, b)
	}
	if a, b := first.View().Room(200), second.View().Room(200); a != 150 || b != 130 {
		t.Errorf("room for %d and %d connections", a, b)
	}
	first.Tell(0, 0)
	if a, b := first.View().Part(0), second.View().Part(9); a != 0 || b != 1 {
		t.Errorf("parts %v and %v", a, b)
	}
	second.alive.Close() // as at its sudden end
	check(first, Plan{Alone: true})
	third, _, err := Take(dir, "n/0")
	if err != nil || third.Generation() != 3 {
		t.Fatal(err)
	}
	first.Close()
	check(third, Plan{Alone: true})
	if left, _ := filepath.Glob(filepath.Join(dir, "lemonrail-n%2F0.*.alive")); len(left) != 1 {
		t.Errorf("left behind: %v", left)
	}
	third.Close()
	check(stranger, Plan{Alone: true})
}

// A state that can't be read keeps no process from serving, and generations go on though their number is lost.
func TestBrokenState(t *testing.T) {
	dir := t.TempDir()
	first, _, err := Take(dir, "n")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	if err := os.WriteFile(first.base+".state", []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := first.Look(); err == nil {
		t.Error("no error")
	}
	second, _, err := Take(dir, "n")
	if err == nil || second == nil {
		t.Fatal("no error beside the claim")
	}
	defer second.Close()
	// What staff did goes on though the file was broken meanwhile.
	if err := os.WriteFile(first.base+".state", []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, err := second.Change(func(s *State) error { return s.Exclude("a") }); err != nil || !slices.Equal(s.Out, []string{"a"}) {
		t.Errorf("%+v, %v", s, err)
	}
	if s, _, err := first.Look(); err != nil || s.Version < 2 {
		t.Errorf("%+v, %v", s, err)
	}
	if second.Generation() != 2 {
		t.Errorf("generation %d beside the first", second.Generation())
	}
	if _, _, err := Take(filepath.Join(dir, "none"), "n"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no folder: %v", err)
	}
}

// Changes from many sides at once are all kept.
func TestChangesAtOnce(t *testing.T) {
	dir := t.TempDir()
	var wg sync.WaitGroup
	for p := range 4 {
		c, _, err := Take(dir, "n")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		wg.Go(func() {
			for i := range 10 {
				for {
					if _, err := c.Change(func(s *State) error { return s.Exclude(fmt.Sprint(p, "-", i)) }); err == nil {
						break
					}
				}
			}
		})
	}
	wg.Wait()
	c, s, err := Take(dir, "n")
	if err != nil || len(s.Out) != 40 || s.Version != 45 {
		t.Errorf("%d out, version %d, %v", len(s.Out), s.Version, err)
	}
	c.Close()
}
