package server

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"lemonrail/internal/configuration"
	"lemonrail/internal/configuration/client"
	"lemonrail/internal/replica"
)

// put makes a change through the operators' client, connected to one machine. The client sends a change of
// unknown outcome again.
func put(t *testing.T, f *fakeFleet, machine string, change configuration.Change) (configuration.Accepted, error) {
	t.Helper()
	c, err := client.New(f.address(machine))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.Put(t.Context(), change)
}

// postOnce sends a change to a machine in a single request, without a second attempt.
func postOnce(t *testing.T, f *fakeFleet, machine string, change configuration.Change) error {
	t.Helper()
	raw, err := json.Marshal(change)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+f.address(machine)+configuration.PutPath, "application/json", bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return nil
	}
	body := &configuration.ErrorBody{}
	if err := json.NewDecoder(response.Body).Decode(body); err != nil {
		t.Fatal(err)
	}
	if want := statusCodes[body.Kind]; response.StatusCode != want {
		t.Errorf("%s came with status %d, not %d", body.Kind, response.StatusCode, want)
	}
	return body
}

func TestChangeIsForwardedToTheLeader(t *testing.T) {
	zone := configuration.Scope{Level: configuration.LevelZone, Region: "a", Name: "z1"}
	for _, tt := range []struct {
		name    string
		machine string
		scope   configuration.Scope
		calls   map[string]int // expected number of requests for PutPath, by name of the machine
	}{
		{"the machine leads", "a1", configuration.Fleet, map[string]int{"a1": 1}},
		{"the machine votes", "b1", testRegionA, map[string]int{"b1": 1, "a2": 1}},
		{"the machine doesn't vote and asks the voters", "b2", zone, map[string]int{"b2": 1, "a1": 1, "a2": 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeFleet(t)
			f.groups["region-a"].leader = "a2"
			accepted, err := put(t, f, tt.machine, testChange("1", tt.scope, 0, 2))
			if err != nil || accepted.Revision != 1 {
				t.Errorf("got %+v, %v", accepted, err)
			}
			for _, machine := range []string{"a1", "a2", "b1", "b2"} {
				if got := f.putCalls(machine); got != tt.calls[machine] {
					t.Errorf("%s was called %d times, not %d", machine, got, tt.calls[machine])
				}
			}
		})
	}
}

func TestForwardedChangeIsNotForwardedAgain(t *testing.T) {
	f := newFakeFleet(t)
	s := f.servers["b2"]
	_, err := s.forwardChange(t.Context(), f.address("a2"), testChange("x", testRegionA, 0, 2))
	body := errorBody(err)
	if body == nil || body.Kind != configuration.ErrorNotHere || body.Leader != "a1" || len(body.Machines) != 1 {
		t.Fatalf("got %+v, want not-here with the leader", err)
	}
	if got := f.putCalls("a1"); got != 0 {
		t.Errorf("the leader was called %d times", got)
	}
	if _, ok := f.servers["a1"].groups["region-a"].revision(testRegionA); ok {
		t.Error("the change was written")
	}
}

func TestRefusalsSayWhetherAnythingWasWritten(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(f *fakeFleet)
		change  configuration.Change
		kind    configuration.ErrorKind
		written bool
	}{
		{"no leader is known", func(f *fakeFleet) { f.groups["region-a"].leader = "" }, testChange("1", testRegionA, 0, 2), configuration.ErrorNoQuorum, false},
		{"the majority isn't confirmed", func(f *fakeFleet) { f.replicas["region-a/a1"].readErr = replica.ErrNoQuorum }, testChange("1", testRegionA, 0, 2),
			configuration.ErrorNoQuorum, false},
		{"the outcome is unknown", func(f *fakeFleet) { f.groups["region-a"].proposeErr = replica.ErrOutcomeUnknown }, testChange("1", testRegionA, 0, 2),
			configuration.ErrorUnknown, true},
		{"the base isn't in force", func(*fakeFleet) {}, testChange("1", testRegionA, 7, 2), configuration.ErrorConflict, false},
		{"the document is invalid", func(*fakeFleet) {}, testChange("1", testRegionA, 0, -2), configuration.ErrorInvalid, false},
		{"no machine is in the region", func(*fakeFleet) {},
			testChange("1", configuration.Scope{Level: configuration.LevelRegion, Region: "elsewhere"}, 0, 2), configuration.ErrorInvalid, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeFleet(t)
			tt.prepare(f)
			for _, machine := range []string{"a1", "a2", "b2"} {
				err := postOnce(t, f, machine, tt.change)
				if errorKind(err) != tt.kind {
					t.Errorf("at %s: got %v, want %s", machine, err, tt.kind)
				}
			}
			if _, ok := f.servers["a2"].groups["region-a"].revision(testRegionA); ok != tt.written {
				t.Errorf("written: %t", ok)
			}
		})
	}
}

func TestShowAsksTheLeader(t *testing.T) {
	f := newFakeFleet(t)
	if _, err := put(t, f, "a1", testChange("1", testRegionA, 0, 2)); err != nil {
		t.Fatal(err)
	}
	leader := f.replicas["region-a/a1"]
	for _, machine := range []string{"a1", "a2", "b1", "b2"} {
		before := leader.reads
		c, err := client.New(f.address(machine))
		if err != nil {
			t.Fatal(err)
		}
		revision, err := c.Show(t.Context(), testRegionA)
		c.Close()
		if err != nil || revision.Revision != 1 || revision.Change != "1" {
			t.Errorf("%s shows %+v, %v", machine, revision, err)
		}
		if leader.reads != before+1 {
			t.Errorf("%s: the leader confirmed %d majorities, not one", machine, leader.reads-before)
		}
	}
	leader.readErr = replica.ErrNoQuorum
	c, err := client.New(f.address("a1"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Show(t.Context(), testRegionA); errorKind(err) != configuration.ErrorNoQuorum {
		t.Errorf("show without a majority: got %v, want no-quorum", err)
	}
	if applied, err := c.ShowApplied(t.Context(), testRegionA); err != nil || applied.Revision != 1 {
		t.Errorf("applied revision: got %+v, %v", applied, err)
	}
}

func TestUnknownOutcomeIsResolvedByChangeID(t *testing.T) {
	f := newFakeFleet(t)
	change := testChange("once", testRegionA, 0, 2)
	f.groups["region-a"].proposeErr = replica.ErrOutcomeUnknown
	if err := postOnce(t, f, "a2", change); errorKind(err) != configuration.ErrorUnknown {
		t.Fatalf("got %v", err)
	}
	f.groups["region-a"].proposeErr = nil
	accepted, err := put(t, f, "a2", change)
	if err != nil || accepted.Revision != 1 {
		t.Errorf("the repeated change got %+v, %v", accepted, err)
	}
	if _, err := put(t, f, "a2", testChange("another", testRegionA, 0, 2)); errorKind(err) != configuration.ErrorConflict {
		t.Errorf("another change on the same base got %v", err)
	}
}

func TestUnresponsiveLeaderIsDetectedBeforeTheChangeIsSent(t *testing.T) {
	f := newFakeFleet(t)
	f.http["a1"].Listener.Close()
	f.http["a1"].CloseClientConnections()
	if err := postOnce(t, f, "a2", testChange("1", testRegionA, 0, 2)); errorKind(err) != configuration.ErrorNoQuorum {
		t.Errorf("got %v, want no-quorum, which says that nothing was written", err)
	}
}

func TestNonVotingMachineForwardsChanges(t *testing.T) {
	f := newFakeFleet(t)
	f.replicas["region-a/a2"].votes = false // as after a disk failure, when a machine no longer votes
	accepted, err := put(t, f, "a2", testChange("1", testRegionA, 0, 2))
	if err != nil || accepted.Revision != 1 {
		t.Errorf("got %+v, %v", accepted, err)
	}
}
