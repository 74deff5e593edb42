package configuration

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

func agentPlace(agent string) Place {
	return Place{Agent: agent, Region: "east", Zone: "e1", Service: "cart"}
}

// reportOf returns an agent's report that it has a revision of the fleet's document in force.
func reportOf(agent string, revision uint64) Report {
	return Report{Place: agentPlace(agent), Format: Format, InForce: map[Scope]Position{Fleet: {revision, 1}}, Digest: "d"}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestTrackerTracksConnectedAgents(t *testing.T) {
	tracker := NewTracker("m1", time.Hour)
	must(t, tracker.Connected(agentPlace("b"), time.Hour))
	must(t, tracker.Connected(agentPlace("a"), time.Hour))
	must(t, tracker.Reported(reportOf("a", 2), time.Hour+time.Second))
	must(t, tracker.Connected(agentPlace("a"), time.Hour+2*time.Second)) // a second watch of a, opened before the end of the first one is noticed
	if got := tracker.Statuses(time.Hour + 2*time.Second)[0]; got.Format != 0 || len(got.InForce) > 0 || !got.Connected {
		t.Errorf("a report from before the watch still counts: %+v", got)
	}
	must(t, tracker.Reported(reportOf("a", 3), time.Hour+2500*time.Millisecond))
	tracker.Disconnected(agentPlace("a"), time.Hour+3*time.Second)
	tracker.Disconnected(agentPlace("b"), time.Hour+4*time.Second)
	tracker.Disconnected(agentPlace("b"), time.Hour+4*time.Second)
	tracker.Disconnected(agentPlace("nobody"), time.Hour)
	want := []AgentStatus{
		{Report: reportOf("a", 3), Connected: true, Machine: "m1", AgeMs: 2500},
		{Report: Report{Place: agentPlace("b")}, Connected: false, Machine: "m1", AgeMs: 5000},
	}
	if got := tracker.Statuses(time.Hour + 5*time.Second); !reflect.DeepEqual(got, want) {
		t.Errorf("local %+v", got)
	}
	must(t, tracker.Connected(agentPlace("b"), time.Hour+5*time.Second))
	if got := tracker.Statuses(time.Hour + 5*time.Second)[1]; !got.Connected {
		t.Errorf("after reconnecting: %+v", got)
	}
	tracker.Disconnected(agentPlace("b"), time.Hour+5*time.Second)
	leaving := reportOf("a", 3)
	leaving.Leaving = true
	must(t, tracker.Reported(leaving, time.Hour+6*time.Second))
	tracker.Disconnected(agentPlace("a"), time.Hour+7*time.Second)
	if got := tracker.Statuses(time.Hour + 8*time.Second); len(got) != 1 || got[0].Agent != "b" {
		t.Errorf("after the leaving report: %+v", got)
	}
}

func TestTrackerSettles(t *testing.T) {
	tracker := NewTracker("m1", time.Hour)
	if tracker.Settled(time.Hour+SettleTime-1) || !tracker.Settled(time.Hour+SettleTime) {
		t.Error("Settled doesn't change at SettleTime")
	}
}

func TestTrackerExpiresAgents(t *testing.T) {
	tracker := NewTracker("m1", 0)
	must(t, tracker.Connected(agentPlace("stays"), 0))
	must(t, tracker.Connected(agentPlace("goes"), 0))
	tracker.Disconnected(agentPlace("goes"), time.Hour)
	if got := tracker.Statuses(time.Hour + ForgetAfter - 1); len(got) != 2 {
		t.Errorf("forgotten too early: %+v", got)
	}
	if got := tracker.Statuses(time.Hour + ForgetAfter); len(got) != 1 || got[0].Agent != "stays" {
		t.Errorf("not forgotten after ForgetAfter: %+v", got)
	}
}

func TestTrackerLimitsAgents(t *testing.T) {
	tracker := NewTracker("m1", 0)
	name := func(i int) Place { return agentPlace(fmt.Sprintf("a%d", i)) }
	for i := range MaxAgents {
		must(t, tracker.Connected(name(i), time.Duration(i)))
	}
	if err := tracker.Connected(agentPlace("more"), time.Hour); err == nil {
		t.Error("Connected accepted one agent too many")
	}
	if err := tracker.Reported(reportOf("more", 1), time.Hour); err == nil {
		t.Error("Reported accepted one agent too many")
	}
	must(t, tracker.Connected(name(5), time.Hour)) // an agent that is known already is accepted at the limit
	tracker.Disconnected(name(5), 2*time.Hour)
	tracker.Disconnected(name(7), 4*time.Hour)
	tracker.Disconnected(name(6), 3*time.Hour)
	must(t, tracker.Connected(agentPlace("more"), 5*time.Hour)) // takes the place of a6, which has been disconnected for longest
	local := tracker.Statuses(5 * time.Hour)
	if _, ok := tracker.agents[keyOf(name(6))]; ok || len(local) != MaxAgents {
		t.Errorf("%d agents, a6 among them: %v", len(local), ok)
	}
	for _, kept := range []Place{name(5), name(7), agentPlace("more")} {
		if _, ok := tracker.agents[keyOf(kept)]; !ok {
			t.Errorf("%s is forgotten", kept.Agent)
		}
	}
}

func TestTrackerRejectsInvalidReports(t *testing.T) {
	alter := func(f func(r *Report)) Report {
		r := reportOf("a", 1)
		f(&r)
		return r
	}
	for _, c := range []struct {
		report      Report
		wantMessage string
	}{
		{alter(func(r *Report) { r.Agent = "" }), "agent: "},
		{alter(func(r *Report) { r.Zone = "a/b" }), "zone: "},
		{alter(func(r *Report) { r.Format = 0 }), "format: 0"},
		{alter(func(r *Report) { r.InForce[Scope{Level: LevelService, Name: "x"}] = Position{} }), "in_force: service/x"},
		{alter(func(r *Report) { r.Refused = make([]Refusal, 6) }), "refused: 6"},
		{alter(func(r *Report) { r.Refused = []Refusal{{}, {Scope: Scope{Level: LevelService, Name: "x"}}} }), "refused[1]: service/x"},
		{alter(func(r *Report) { r.Refused = []Refusal{{Reason: strings.Repeat("x", MaxRefusalBytes+1)}} }), "refused[0].why: 513"},
		{alter(func(r *Report) { r.Digest = strings.Repeat("x", 33) }), "digest: 33"},
	} {
		tracker := NewTracker("m1", 0)
		if err := tracker.Reported(c.report, 0); err == nil || !strings.HasPrefix(err.Error(), c.wantMessage) {
			t.Errorf("want %q: error %v", c.wantMessage, err)
		}
		if len(tracker.Statuses(0)) > 0 {
			t.Errorf("%q: refused, but the agent is known", c.wantMessage)
		}
	}
	if err := NewTracker("m1", 0).Connected(Place{}, 0); err == nil {
		t.Error("Connected accepted an empty place")
	}
}

func TestInForceListsAgentsBehind(t *testing.T) {
	at := Position{5, 2}
	status := func(agent string, revision uint64, connected bool, age float64) AgentStatus {
		return AgentStatus{Report: reportOf(agent, revision), Connected: connected, Machine: "m", AgeMs: age}
	}
	refusing := status("refusing", 4, true, 10)
	refusing.Refused = []Refusal{{Scope: Fleet, Position: Position{5, 2}, Reason: "classes.scan: no such class"}}
	refusedBefore := status("refused-before", 3, true, 10)
	refusedBefore.Refused = []Refusal{{Scope: Fleet, Position: Position{4, 2}, Reason: "old"}}
	fresh := AgentStatus{Report: Report{Place: agentPlace("fresh")}, Connected: true, Machine: "m"}
	elsewhere := status("elsewhere", 1, true, 10)
	elsewhere.Region = "west"
	all := [][]AgentStatus{
		{status("moved", 4, false, 90), status("same", 5, true, 10), refusing, fresh},
		{status("moved", 5, true, 20), status("later", 9, true, 10), status("behind", 4, true, 1500), refusedBefore},
		{status("away", 5, false, 3000), status("same", 3, false, 11), elsewhere},
	}
	got := InForce(Fleet, at, all, nil)
	want := map[string]string{
		"refusing":       "refused revision 5: classes.scan: no such class",
		"refused-before": "not yet reported; it reported revision 3 10ms ago",
		"fresh":          "not yet reported",
		"behind":         "not yet reported; it reported revision 4 1.5s ago",
		"away":           "away; it reported revision 5 3s ago",
		"elsewhere":      "not yet reported; it reported revision 1 10ms ago",
	}
	behind := map[string]string{}
	for _, b := range got.Behind {
		behind[b.Agent] = b.Reason
	}
	if !reflect.DeepEqual(behind, want) {
		t.Errorf("behind %q", behind)
	}
	if got.Agents != 9 || got.InForce != 3 || got.Everywhere || got.Scope != Fleet || got.Position != at {
		t.Errorf("status %+v", got)
	}
	if got := InForce(eastScope, Position{}, all, nil); got.Agents != 8 {
		t.Errorf("status of the region: %+v", got)
	}
}

func TestInForceEverywhere(t *testing.T) {
	good := AgentStatus{Report: reportOf("a", 5), Connected: true, Machine: "m", AgeMs: 1}
	for _, c := range []struct {
		name        string
		all         [][]AgentStatus
		unreachable []string
		want        bool
	}{
		{"all agents", [][]AgentStatus{{good}}, nil, true},
		{"report to another machine than the watched one", [][]AgentStatus{
			{{Report: reportOf("a", 4), Connected: true, Machine: "m1", AgeMs: 50}},
			{{Report: reportOf("a", 5), Connected: false, Machine: "m2", AgeMs: 5}}}, nil, true},
		{"a machine is unreachable", [][]AgentStatus{{good}}, []string{"m2"}, false},
		{"no agents", [][]AgentStatus{{}}, nil, false},
		{"no machines", nil, nil, false},
	} {
		if got := InForce(Fleet, Position{5, 1}, c.all, c.unreachable); got.Everywhere != c.want || !reflect.DeepEqual(got.Unreachable, c.unreachable) {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}
