package balance_test

import (
	"fmt"
	"testing"
	"time"

	"lemonrail/balance"
)

// threeSites is a rig with four backends in each of three zones; class 0 is safe and of little worth, class 1 keyed
// and of much.
func threeSites(t *testing.T, seed uint64) *rig {
	s := settings()
	s.Zone, s.Zones, s.Balancers = 0, 3, 1
	s.RetryAfter, s.MaxRetryAfter = true, time.Second
	s.Classes = []balance.Class{
		{Aim: 400 * time.Millisecond, Deadline: 2000 * time.Millisecond, Worth: 1},
		{Aim: 400 * time.Millisecond, Deadline: 2000 * time.Millisecond, Worth: 5, Effect: balance.Keyed, Group: balance.GroupAll, Window: time.Second},
	}
	var list []balance.Backend
	for z := range 3 {
		for i := range 4 {
			list = append(list, balance.Backend{ID: fmt.Sprintf("%c%d", 'a'+z, i), Zone: z, Weight: 1})
		}
	}
	return newRig(t, s, seed, list)
}

// zones is where requests of a class went, by zone, each served at once.
func (r *rig) zones(n, class int) map[byte]int {
	by := map[byte]int{}
	for id, k := range r.serve(n, class, 20*time.Millisecond) {
		by[id[0]] += k
	}
	return by
}

func TestALostSiteGetsTrialsAlone(t *testing.T) {
	r := threeSites(t, 1)
	r.step(balance.Sites{Share: []float64{1, 0, 1}})
	if by := r.zones(400, 0); by['b'] != 0 || by['a'] == 0 || by['c'] == 0 {
		t.Fatalf("sent %v with b lost", by)
	}
	// One request that may be repeated tries it, in time for another attempt; no further one until it is asked for.
	r.step(balance.Sites{Share: []float64{1, 0, 1}, Trial: []bool{false, true}})
	if by := r.zones(20, 1); by['b'] != 0 {
		t.Errorf("a keyed request tried a lost site: %v", by)
	}
	trial := ""
	for _, a := range r.request("trial", 0) {
		if s, ok := a.(balance.Send); ok {
			trial = s.Backend
			if s.Timeout <= 0 || s.Timeout > 200*time.Millisecond {
				t.Errorf("its time-out is %v", s.Timeout)
			}
		}
	}
	if trial == "" || trial[0] != 'b' {
		t.Errorf("the trial went to %q", trial)
	}
	r.outcome("trial", balance.TimedOut, 200*time.Millisecond)
	if by := r.zones(100, 0); by['b'] != 0 {
		t.Errorf("sent %v after the trial", by)
	}
	// All is well again.
	r.step(balance.Sites{})
	if by := r.zones(400, 0); by['b'] == 0 {
		t.Errorf("sent %v once all is well", by)
	}
}

func TestSharesSteerPicks(t *testing.T) {
	r := threeSites(t, 2)
	r.step(balance.Sites{Share: []float64{0, 1, 0.25}, Planned: true})
	by := r.zones(2000, 0)
	if part := float64(by['c']) / 2000; by['a'] != 0 || part < 0.15 || part > 0.25 {
		t.Errorf("sent %v, wanted four to b for each to c", by)
	}
	// A zone beyond the end is as ever.
	r.step(balance.Sites{Share: []float64{0}})
	if by := r.zones(400, 0); by['a'] != 0 || by['b'] == 0 || by['c'] == 0 {
		t.Errorf("sent %v", by)
	}
}

// While there is room nothing is refused, whatever the plan; without it the classes that can't be borne are, at once,
// repeats first, and what is of worth waits.
func TestWhatCantBeBorneIsRefusedAtOnceOnlyWithoutRoom(t *testing.T) {
	r := threeSites(t, 3)
	r.step(balance.Sites{Share: []float64{1, 0, 1}, Planned: true, Admit: []float64{0, 1}})
	if by := r.zones(400, 0); by['a']+by['c'] != 400 {
		t.Fatalf("of 400 with room all around, served %v", by)
	}
	refused := map[int]int{}
	held := map[int]int{}
	for i := range 400 {
		class := i % 2
		id := fmt.Sprint("crowd", i)
		sent := false
		for _, a := range r.request(id, class) {
			switch a := a.(type) {
			case balance.Refuse:
				var n int
				fmt.Sscanf(a.Request, "crowd%d", &n)
				refused[n%2]++
				if a.RetryAfter <= 0 {
					t.Error("refused without a word on when to come back")
				}
				sent = sent || a.Request == id
			case balance.Send:
				sent = sent || a.Request == id
			}
		}
		if !sent {
			held[class]++
		}
	}
	if refused[0] < 50 || held[0] > 1 || refused[1] != 0 || held[1] == 0 { // the first one waits while nobody else does
		t.Errorf("refused %v, held %v: wanted the lesser class refused and the other held", refused, held)
	}
}

func TestPartOfAClassIsRefused(t *testing.T) {
	r := threeSites(t, 4)
	r.step(balance.Sites{Share: []float64{1, 0, 1}, Planned: true, Admit: []float64{0.5}})
	refused, asked := 0, 0
	for i := range 1000 {
		for _, a := range r.request(fmt.Sprint("crowd", i), 0) {
			if _, ok := a.(balance.Refuse); ok {
				refused++
			}
		}
		asked++
	}
	if share := float64(refused) / float64(asked); share < 0.4 || share > 0.55 {
		t.Errorf("%.2f refused, half wanted", share)
	}
}

// Nobody else waits: what the plan gives up waits as any other, and takes the room that comes.
func TestWhatIsGivenUpTakesRoomThatNobodyWaitsFor(t *testing.T) {
	r := threeSites(t, 6)
	r.step(balance.Sites{Share: []float64{1, 0, 1}, Planned: true, Admit: []float64{0}})
	var out []string
	for i := 0; len(out) == i; i++ {
		id := fmt.Sprint("r", i)
		if sends(r.request(id, 0)) > 0 {
			out = append(out, id)
		} else if final(id, r.actions) != "" {
			t.Fatalf("%s was refused, and nobody waits", id)
		}
	}
	if sends(r.outcome(out[0], balance.OK, 20*time.Millisecond)) != 1 {
		t.Error("the room that came was not taken")
	}
}

// What may not simply be repeated is not begun at a site that has just come back; the rest is.
func TestASiteThatHasJustComeBackGetsWhatLosesLeast(t *testing.T) {
	r := threeSites(t, 7)
	r.step(balance.Sites{Share: []float64{1, 1, 1}, Gentle: []bool{false, true}})
	if by := r.zones(300, 1); by['b'] != 0 {
		t.Errorf("keyed requests went %v", by)
	}
	if by := r.zones(300, 0); by['b'] == 0 {
		t.Errorf("those that may be repeated went %v", by)
	}
	r.step(balance.Sites{Share: []float64{1, 1, 1}})
	if by := r.zones(300, 1); by['b'] == 0 {
		t.Errorf("keyed requests went %v afterwards", by)
	}
}

// The places of a lost site count for nothing: its share of the limit is gone with it.
func TestTheLimitFollowsTheSites(t *testing.T) {
	fill := func(share []float64) (n int) {
		r := threeSites(t, 5)
		r.step(balance.Sites{Share: share})
		for i := range 400 {
			n += sends(r.request(fmt.Sprint("r", i), 1))
		}
		return n
	}
	all, two := fill(nil), fill([]float64{1, 0, 1})
	if ratio := float64(two) / float64(all); ratio < 0.55 || ratio > 0.75 {
		t.Errorf("%d attempts out with three sites, %d with two", all, two)
	}
}
