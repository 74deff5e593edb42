package balance_test

import (
	"fmt"
	"testing"
	"time"

	"lemonrail/balance"
)

// newThreeSitesRig returns a rig with four backends in each of three zones. Class 0 is safe and of little
// worth, class 1 is keyed and of more.
func newThreeSitesRig(t *testing.T, seed uint64) *rig {
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

// zones serves n requests of a class and counts their attempts by zone.
func (r *rig) zones(n, class int) map[byte]int {
	by := map[byte]int{}
	for id, k := range r.serve(n, class, 20*time.Millisecond) {
		by[id[0]] += k
	}
	return by
}

func TestLostSiteGetsOnlyTrials(t *testing.T) {
	r := newThreeSitesRig(t, 1)
	r.step(balance.Sites{ZoneWeights: []float64{1, 0, 1}})
	if by := r.zones(400, 0); by['b'] != 0 || by['a'] == 0 || by['c'] == 0 {
		t.Fatalf("sent %v with b lost", by)
	}
	// One safe request tries the lost site, with time left for another attempt; the next only after another
	// Sites event with TrialZones.
	r.step(balance.Sites{ZoneWeights: []float64{1, 0, 1}, TrialZones: []bool{false, true}})
	if by := r.zones(20, 1); by['b'] != 0 {
		t.Errorf("a keyed request tried a lost site: %v", by)
	}
	trial := ""
	for _, a := range r.request("trial", 0) {
		if s, ok := a.(balance.Send); ok {
			trial = s.Backend
			if s.Timeout <= 0 || s.Timeout > 200*time.Millisecond {
				t.Errorf("the trial's time-out is %v", s.Timeout)
			}
		}
	}
	if trial == "" || trial[0] != 'b' {
		t.Errorf("the trial went to %q", trial)
	}
	r.endAttempt("trial", balance.TimedOut, 200*time.Millisecond)
	if by := r.zones(100, 0); by['b'] != 0 {
		t.Errorf("sent %v after the trial", by)
	}
	// All sites are well again.
	r.step(balance.Sites{})
	if by := r.zones(400, 0); by['b'] == 0 {
		t.Errorf("sent %v once all sites are well", by)
	}
}

func TestSiteWeightsSteerPicks(t *testing.T) {
	r := newThreeSitesRig(t, 2)
	r.step(balance.Sites{ZoneWeights: []float64{0, 1, 0.25}, WeightsPlanned: true})
	by := r.zones(2000, 0)
	if part := float64(by['c']) / 2000; by['a'] != 0 || part < 0.15 || part > 0.25 {
		t.Errorf("sent %v, want four to b for each to c", by)
	}
	// A zone beyond the end has the weight 1.
	r.step(balance.Sites{ZoneWeights: []float64{0}})
	if by := r.zones(400, 0); by['a'] != 0 || by['b'] == 0 || by['c'] == 0 {
		t.Errorf("sent %v", by)
	}
}

// While there is room no request is refused, whatever AdmitShares says. At the limit, requests that are not
// admitted are refused at once, and admitted ones wait.
func TestUnadmittedClassIsRefusedOnlyAtLimit(t *testing.T) {
	r := newThreeSitesRig(t, 3)
	r.step(balance.Sites{ZoneWeights: []float64{1, 0, 1}, WeightsPlanned: true, AdmitShares: []float64{0, 1}})
	if by := r.zones(400, 0); by['a']+by['c'] != 400 {
		t.Fatalf("served %v of 400 with room at all backends", by)
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
					t.Error("refused without RetryAfter")
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
	if refused[0] < 50 || held[0] > 1 || refused[1] != 0 || held[1] == 0 { // the first one waits, as no other request does
		t.Errorf("refused %v, held %v: want class 0 refused and class 1 held", refused, held)
	}
}

// At the limit, the share of a class's requests that AdmitShares does not admit, here half, is refused at once.
func TestShareOfClassIsRefused(t *testing.T) {
	r := newThreeSitesRig(t, 4)
	r.step(balance.Sites{ZoneWeights: []float64{1, 0, 1}, WeightsPlanned: true, AdmitShares: []float64{0.5}})
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
		t.Errorf("%.2f refused, want half", share)
	}
}

// If no admitted request waits, those that are not admitted wait like any other and take the room that comes.
func TestUnadmittedRequestsUseSpareRoom(t *testing.T) {
	r := newThreeSitesRig(t, 6)
	r.step(balance.Sites{ZoneWeights: []float64{1, 0, 1}, WeightsPlanned: true, AdmitShares: []float64{0}})
	var out []string
	for i := 0; len(out) == i; i++ {
		id := fmt.Sprint("r", i)
		if sends(r.request(id, 0)) > 0 {
			out = append(out, id)
		} else if final(id, r.actions) != "" {
			t.Fatalf("%s was refused, though no other request waits", id)
		}
	}
	if sends(r.endAttempt(out[0], balance.OK, 20*time.Millisecond)) != 1 {
		t.Error("the room was not used")
	}
}

// A site that has just come back gets safe requests, but no first attempts of others.
func TestReturningSiteGetsOnlySafeRequests(t *testing.T) {
	r := newThreeSitesRig(t, 7)
	r.step(balance.Sites{ZoneWeights: []float64{1, 1, 1}, SafeOnlyZones: []bool{false, true}})
	if by := r.zones(300, 1); by['b'] != 0 {
		t.Errorf("keyed requests went %v", by)
	}
	if by := r.zones(300, 0); by['b'] == 0 {
		t.Errorf("safe requests went %v", by)
	}
	r.step(balance.Sites{ZoneWeights: []float64{1, 1, 1}})
	if by := r.zones(300, 1); by['b'] == 0 {
		t.Errorf("keyed requests went %v afterwards", by)
	}
}

// The backends of a lost site don't count in the limit on attempts in flight.
func TestLostSiteLowersLimit(t *testing.T) {
	fill := func(share []float64) (n int) {
		r := newThreeSitesRig(t, 5)
		r.step(balance.Sites{ZoneWeights: share})
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
