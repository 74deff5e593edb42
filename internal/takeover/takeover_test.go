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
		{View{Generation: 1, LatestReady: 1}, Plan{Alone: true}},
		{View{Generation: 1, LaterAlive: true, LatestReady: 1}, Plan{}},                                                      // the successor has started, but doesn't serve yet
		{View{Generation: 1, LaterAlive: true, LatestReady: 2}, Plan{SuccessorServes: true}},                                 // the successor serves
		{View{Generation: 1, LatestReady: 2}, Plan{Alone: true}},                                                             // the successor served and has ended
		{View{Generation: 2, EarlierAlive: true, LatestReady: 2}, Plan{Mute: true}},                                          // both serve, the earlier process is still alive
		{View{Generation: 2, EarlierAlive: true, LatestReady: 1}, Plan{Mute: true}},                                          // only the earlier process serves
		{View{Generation: 3, LaterAlive: true, LatestReady: 2}, Plan{}},                                                      // neither this process nor its successor serves yet
		{View{Generation: 2, EarlierAlive: true, LaterAlive: true, LatestReady: 3}, Plan{SuccessorServes: true, Mute: true}}, // two upgrades at the same time
	} {
		if got := c.v.Plan(); got != c.want {
			t.Errorf("%+v: %+v", c.v, got)
		}
	}
}

// For any numbers of requests in flight, the shares of the budget of two processes add up to 1, and a process
// that is alone has the whole budget.
func TestPartsSumToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := rapid.IntRange(0, 1000)
		old, fresh := counts.Draw(t, "old"), counts.Draw(t, "fresh")
		ready := rapid.IntRange(1, 2).Draw(t, "ready")
		a := View{Generation: 1, LaterAlive: true, LatestReady: ready, LaterRequests: fresh}.Share(old)
		b := View{Generation: 2, EarlierAlive: true, LatestReady: ready, EarlierRequests: old}.Share(fresh)
		if a+b > 1+1e-9 || a+b < 1-1e-9 || a < 0 || b < 0 {
			t.Fatalf("%v and %v", a, b)
		}
		if ready == 2 && b < 0.5 || ready == 1 && a < 1 {
			t.Fatalf("ready %d: %v and %v", ready, a, b)
		}
		if got := (View{Generation: 2, LatestReady: ready}).Share(fresh); got != 1 {
			t.Fatalf("alone: %v", got)
		}
	})
}

// For any number of connections that the earlier process holds within its limit, both processes together stay
// within the total, and each may always hold a minimum of connections.
func TestRoomOfTwoProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.IntRange(4, 2000).Draw(t, "all")
		first := View{Generation: 1, LaterAlive: true}.ConnectionLimit(all)
		held := rapid.IntRange(0, first).Draw(t, "held")
		second := View{Generation: 2, EarlierAlive: true, EarlierConnections: held}.ConnectionLimit(all)
		if held+second > all || first < all/2 || second < all/4 {
			t.Fatalf("of %d: %d, of which %d are held, and %d", all, first, held, second)
		}
		if alone := (View{Generation: 2}).ConnectionLimit(all); alone != all {
			t.Fatalf("alone: %d of %d", alone, all)
		}
		between := View{Generation: 2, EarlierAlive: true, LaterAlive: true, EarlierConnections: held}.ConnectionLimit(all)
		if between < all/4 || between > all-all/4 {
			t.Fatalf("between two: %d of %d", between, all)
		}
	})
}

// The alive file of a process of an older build, which has only the number of requests in flight, is read
// with 0 connections.
func TestReadLoadOfOlderBuild(t *testing.T) {
	for text, want := range map[string][2]int{"": {}, "       12\n": {12, 0}, "       12        34\n": {12, 34}, "x": {}, "       -1        -2\n": {}} {
		path := filepath.Join(t.TempDir(), "alive")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		inFlight, open := readLoad(f)
		f.Close()
		if inFlight != want[0] || open != want[1] {
			t.Errorf("%q: read %d requests and %d connections", text, inFlight, open)
		}
	}
}

func TestExcludeAndInclude(t *testing.T) {
	var s State
	now := time.Unix(1000, 0)
	for _, id := range []string{"b", "a", "b"} {
		if err := s.Exclude(id); err != nil {
			t.Fatal(err)
		}
	}
	if !slices.Equal(s.Excluded, []string{"a", "b"}) {
		t.Errorf("out %v", s.Excluded)
	}
	s.Include("b", now)
	s.Include("x", now)
	if !slices.Equal(s.Excluded, []string{"a"}) || len(s.RestoredAt) != 1 || s.RestoredAt["b"] != now.UnixNano() {
		t.Errorf("%+v", s)
	}
	s.Include("a", now.Add(2*maxRestoreAge))
	if len(s.RestoredAt) != 1 || len(s.Excluded) != 0 {
		t.Errorf("a restored backend is kept for too long: %+v", s)
	}
	s.Exclude("a")
	if len(s.RestoredAt) != 0 {
		t.Errorf("a backend is both excluded and restored: %+v", s)
	}
	for i := range pool.MaxExcluded + 1 {
		if err := s.Exclude(fmt.Sprint("n", i)); (err != nil) != (i >= pool.MaxExcluded-1) {
			t.Fatalf("%d: %v", i, err)
		}
	}
	for i := range 2 * pool.MaxExcluded {
		s.Excluded = []string{fmt.Sprint("n", i)}
		s.Include(s.Excluded[0], now.Add(time.Duration(i)))
	}
	if len(s.RestoredAt) > pool.MaxExcluded || s.RestoredAt[fmt.Sprint("n", 2*pool.MaxExcluded-1)] == 0 {
		t.Errorf("%d restored backends are kept", len(s.RestoredAt))
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{`{"version":3,"generation":2,"ready":1,"out":["a"],"back":{"b":5}}`, `{}`, `{"ready":1}`,
		`{"version":1}{}`, `{"out":[""]}`, `{"more":1}`, ``} {
		f.Add([]byte(seed))
		f.Add(fmt.Appendf(nil, "%s%08x\n%s", stateHeader, crc32.ChecksumIEEE([]byte(seed)), seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse(raw)
		if err != nil { // random input never has the checksum that a state file needs, so it is given one
			raw = fmt.Appendf(nil, "%s%08x\n%s", stateHeader, crc32.ChecksumIEEE(raw), raw)
			if s, err = Parse(raw); err != nil {
				return
			}
		}
		text, err := s.Encode()
		again, err2 := Parse(text)
		if text2, err3 := again.Encode(); errors.Join(err, err2, err3) != nil || !bytes.Equal(text, text2) {
			t.Errorf("%+v became %+v (%v, %v)", s, again, err, err2)
		}
		if s.Ready > s.Generation || s.Ready < 0 || len(s.Excluded) > pool.MaxExcluded || slices.Contains(s.Excluded, "") {
			t.Errorf("%q makes %+v", raw, s)
		}
	})
}

// Each of two processes of one agent sees whether the other is alive and serves, and both see the same shared
// state.
func TestTakeover(t *testing.T) {
	dir := t.TempDir()
	first, s, err := Acquire(dir, "n/0")
	if err != nil || s.Generation != 1 {
		t.Fatal(s, err)
	}
	first.MarkReady()
	if _, err := first.Change(func(s *State) error { return s.Exclude("a") }); err != nil {
		t.Fatal(err)
	}
	otherAgent, _, err := Acquire(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer otherAgent.Close()
	second, s, err := Acquire(dir, "n/0")
	if err != nil || s.Generation != 2 || !slices.Equal(s.Excluded, []string{"a"}) {
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
	second.MarkReady()
	check(first, Plan{SuccessorServes: true})
	first.PublishLoad(30, 70)
	second.PublishLoad(9, 20)
	if a, b := first.View().Share(30), second.View().Share(9); a != 0.5 || b != 0.5 {
		t.Errorf("shares %v and %v", a, b)
	}
	if a, b := first.View().ConnectionLimit(200), second.View().ConnectionLimit(200); a != 150 || b != 130 {
		t.Errorf("room for %d and %d connections", a, b)
	}
	first.PublishLoad(0, 0)
	if a, b := first.View().Share(0), second.View().Share(9); a != 0 || b != 1 {
		t.Errorf("shares %v and %v", a, b)
	}
	second.aliveFile.Close() // as when the process is killed: its lock is released, its file stays
	check(first, Plan{Alone: true})
	third, _, err := Acquire(dir, "n/0")
	if err != nil || third.Generation() != 3 {
		t.Fatal(err)
	}
	first.Close()
	check(third, Plan{Alone: true})
	if left, _ := filepath.Glob(filepath.Join(dir, "lemonrail-n%2F0.*.alive")); len(left) != 1 {
		t.Errorf("left behind: %v", left)
	}
	third.Close()
	check(otherAgent, Plan{Alone: true})
}

// A state file that can't be read doesn't keep a process from starting. And a new process never takes the
// generation of a process that is alive, even if the state file with the last generation is lost.
func TestBrokenState(t *testing.T) {
	dir := t.TempDir()
	first, _, err := Acquire(dir, "n")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	if err := os.WriteFile(first.pathPrefix+".state", []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := first.Refresh(); err == nil {
		t.Error("no error")
	}
	second, _, err := Acquire(dir, "n")
	if err == nil || second == nil {
		t.Fatal("no error together with the claim")
	}
	defer second.Close()
	// Excluding a backend succeeds although the state file was broken after the process had read it.
	if err := os.WriteFile(first.pathPrefix+".state", []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, err := second.Change(func(s *State) error { return s.Exclude("a") }); err != nil || !slices.Equal(s.Excluded, []string{"a"}) {
		t.Errorf("%+v, %v", s, err)
	}
	if s, _, err := first.Refresh(); err != nil || s.Version < 2 {
		t.Errorf("%+v, %v", s, err)
	}
	if second.Generation() != 2 {
		t.Errorf("generation %d while the first is alive", second.Generation())
	}
	if _, _, err := Acquire(filepath.Join(dir, "none"), "n"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no folder: %v", err)
	}
}

// If several processes change the state at the same time, no change is lost.
func TestConcurrentChanges(t *testing.T) {
	dir := t.TempDir()
	var wg sync.WaitGroup
	for p := range 4 {
		c, _, err := Acquire(dir, "n")
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
	c, s, err := Acquire(dir, "n")
	if err != nil || len(s.Excluded) != 40 || s.Version != 45 {
		t.Errorf("%d out, version %d, %v", len(s.Excluded), s.Version, err)
	}
	c.Close()
}
