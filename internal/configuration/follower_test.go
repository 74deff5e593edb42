package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

var (
	eastScope  = Scope{Level: LevelRegion, Region: "east"}
	zoneScope  = Scope{Level: LevelZone, Region: "east", Name: "e1"}
	agentScope = Scope{Level: LevelAgent, Region: "east", Name: "a1"}
)

// wholeUpdate returns an update with the whole document of a scope.
func wholeUpdate(scope Scope, revision uint64, text string) Update {
	canonical := encodeAny(mustDecode(text))
	return Update{Scope: scope, Position: Position{revision, 1}, Patch: canonical, Digest: Digest(canonical)}
}

func mustDecode(text string) any {
	value, err := decodeAny([]byte(text))
	if err != nil {
		panic(err)
	}
	return value
}

// takeUpdate passes an update to the follower and checks the kind of the result.
func takeUpdate(t *testing.T, f *Follower, u Update, want ResultKind) Result {
	t.Helper()
	result := f.Receive(roundTrip(t, u))
	if result.Kind != want {
		t.Fatalf("%v revision %d: result %+v, want kind %d", u.Scope, u.Revision, result, want)
	}
	return result
}

// applyPending puts the pending document in force and checks that nothing further is pending after it.
func applyPending(t *testing.T, f *Follower) *Effective {
	t.Helper()
	effective, ok := f.Pending()
	if !ok {
		t.Fatal("nothing is pending")
	}
	if again, ok := f.Pending(); !ok || again != effective {
		t.Fatal("a second call to Pending returned another document")
	}
	f.Applied(effective)
	if more, ok := f.Pending(); ok {
		t.Fatalf("still pending after InForce: %s", more.Document.Canonical())
	}
	return effective
}

// wantInForce checks that the effective document in force is that of text, and that exactly the documents of
// the scopes in refused are refused.
func wantInForce(t *testing.T, f *Follower, text string, refused ...Scope) {
	t.Helper()
	report := f.Report()
	if want := Digest(mustParse(t, text).Canonical()); report.Digest != want {
		t.Errorf("in force is %s, want %s", f.inForce.Document.Canonical(), text)
	}
	var scopes []Scope
	for _, refusal := range report.Refused {
		scopes = append(scopes, refusal.Scope)
		if refusal.Reason == "" || len(refusal.Reason) > MaxRefusalBytes {
			t.Errorf("refusal %+v", refusal)
		}
	}
	if !reflect.DeepEqual(scopes, refused) {
		t.Errorf("refused %v, want %v: %+v", scopes, refused, report.Refused)
	}
}

func TestFollowerMergesFromWideToNarrow(t *testing.T) {
	f := NewFollower(testPlace, checkAgainstStart)
	if _, ok := f.Pending(); ok || len(f.Positions()) > 0 {
		t.Fatal("a new follower has a pending document or positions")
	}
	if report := f.Report(); report.Place != testPlace || len(report.InForce) > 0 || report.Format != Format {
		t.Fatalf("report %+v", report)
	}
	for i, scope := range []Scope{agentScope, Fleet, serviceScope, zoneScope, eastScope} { // not in the order of their width
		u := wholeUpdate(scope, uint64(i+1), fmt.Sprintf(`{"format":1,"limits":{"attempts":%d},"classes":{"scan":{"worth":%d}}}`, i+1, i))
		u.More = i < 4
		takeUpdate(t, f, u, ResultAccepted)
		if _, ok := f.Pending(); ok != !u.More {
			t.Fatalf("after update %d: pending %v", i, ok)
		}
	}
	takeUpdate(t, f, wholeUpdate(Fleet, 3, `{"format":1,"cold":{"from":0.5}}`), ResultAccepted)
	applyPending(t, f)
	wantInForce(t, f, `{"format":1,"limits":{"attempts":1},"classes":{"scan":{"worth":0}},"cold":{"from":0.5}}`)
	want := map[Scope]Position{agentScope: {1, 1}, Fleet: {3, 1}, serviceScope: {3, 1}, zoneScope: {4, 1}, eastScope: {5, 1}}
	if got := f.Report().InForce; !reflect.DeepEqual(got, want) || !reflect.DeepEqual(f.Positions(), want) {
		t.Errorf("in force %v, have %v, want %v", got, f.Positions(), want)
	}
}

func TestFollowerReportsOnlyAppliedDocuments(t *testing.T) {
	f := NewFollower(testPlace, checkAgainstStart)
	takeUpdate(t, f, wholeUpdate(Fleet, 1, `{"format":1,"limits":{"attempts":2}}`), ResultAccepted)
	effective, _ := f.Pending()
	if report := f.Report(); len(report.InForce) > 0 || report.Digest == effective.Digest {
		t.Errorf("report %+v", report)
	}
	if have := f.Positions(); have[Fleet] != (Position{1, 1}) {
		t.Errorf("have %v", have) // the position of a document that was received but not applied: it isn't requested again
	}
	f.Applied(effective)
	if report := f.Report(); report.InForce[Fleet] != (Position{1, 1}) || report.Digest != effective.Digest {
		t.Errorf("report %+v", report)
	}
}

func TestFollowerAppliesPatches(t *testing.T) {
	f := NewFollower(testPlace, checkAgainstStart)
	takeUpdate(t, f, wholeUpdate(Fleet, 3, `{"format":1,"limits":{"attempts":2},"cold":{"from":0.5}}`), ResultAccepted)
	after := mustParse(t, `{"format":1,"limits":{"attempts":4}}`).Canonical()
	patch := Update{Scope: Fleet, Position: Position{5, 2}, From: 3, Digest: Digest(after),
		Patch: json.RawMessage(`{"limits":{"attempts":4},"cold":null}`)}
	takeUpdate(t, f, patch, ResultAccepted)
	applyPending(t, f)
	wantInForce(t, f, string(after))
	if have := f.Positions(); have[Fleet] != (Position{5, 2}) {
		t.Errorf("have %v", have)
	}
}

func TestFollowerRequestsWholeDocument(t *testing.T) {
	first, after := `{"format":1,"limits":{"attempts":2}}`, mustParse(t, `{"format":1,"limits":{"attempts":4}}`).Canonical()
	good := Update{Scope: Fleet, Position: Position{6, 1}, From: 5, Digest: Digest(after), Patch: json.RawMessage(`{"limits":{"attempts":4}}`)}
	alter := func(f func(u *Update)) Update {
		u := good
		f(&u)
		return u
	}
	for _, c := range []struct {
		name       string
		u          Update
		wantReason string
	}{
		{"patch from an earlier revision", alter(func(u *Update) { u.From = 4 }), "a patch from revision 4, where 5 is"},
		{"patch from a later revision", alter(func(u *Update) { u.From = 6 }), "a patch from revision 6, where 5 is"},
		{"wrong digest", alter(func(u *Update) { u.Digest = Digest([]byte(first)) }), "digest"},
		{"no digest", alter(func(u *Update) { u.Digest = "" }), "digest"},
		{"patch is not an object", alter(func(u *Update) { u.Patch = json.RawMessage(`[]`) }), "no object"},
		{"no patch", alter(func(u *Update) { u.Patch = nil }), "patch"},
		{"no document", alter(func(u *Update) { u.From, u.Patch = 0, nil }), "digest"},
		{"a part in the middle", alter(func(u *Update) { u.From, u.Patch, u.Text, u.Part, u.Parts = 0, nil, "x", 1, 3 }), "part 1 of 3"},
	} {
		f := NewFollower(testPlace, checkAgainstStart)
		takeUpdate(t, f, wholeUpdate(Fleet, 5, first), ResultAccepted)
		applyPending(t, f)
		if result := takeUpdate(t, f, c.u, ResultNeedsWhole); !strings.Contains(result.Reason, c.wantReason) {
			t.Errorf("%s: reason %q doesn't contain %q", c.name, result.Reason, c.wantReason)
		}
		wantInForce(t, f, first)
		if needs, have := f.ScopesNeedingWhole(), f.Positions(); !reflect.DeepEqual(needs, []Scope{Fleet}) || have[Fleet] != (Position{5, 0}) {
			t.Errorf("%s: needs %v, have %v", c.name, needs, have)
		}
		f.Connected()
		takeUpdate(t, f, wholeUpdate(Fleet, 6, string(after)), ResultAccepted)
		if len(f.ScopesNeedingWhole()) > 0 || f.Positions()[Fleet] != (Position{6, 1}) {
			t.Errorf("%s: after the whole document: needs %v, has %v", c.name, f.ScopesNeedingWhole(), f.Positions())
		}
		applyPending(t, f)
		wantInForce(t, f, string(after))
	}
}

func TestFollowerIgnoresOldRevisions(t *testing.T) {
	f := NewFollower(testPlace, checkAgainstStart)
	text := `{"format":1,"limits":{"attempts":2}}`
	takeUpdate(t, f, wholeUpdate(Fleet, 5, text), ResultAccepted)
	applyPending(t, f)
	for _, u := range []Update{
		wholeUpdate(Fleet, 4, `{"format":1}`), wholeUpdate(Fleet, 5, text), wholeUpdate(Fleet, 0, `{"format":1}`),
		{Scope: Fleet, Position: Position{4, 9}, From: 3, Patch: json.RawMessage(`{}`)},
	} {
		takeUpdate(t, f, u, ResultAlreadyKnown)
		if _, ok := f.Pending(); ok || len(f.ScopesNeedingWhole()) > 0 {
			t.Fatalf("revision %d has changed the state", u.Revision)
		}
	}
	if result := takeUpdate(t, f, wholeUpdate(Fleet, 5, `{"format":1}`), ResultAlreadyKnown); !strings.Contains(result.Reason, "another document") {
		t.Errorf("result %+v", result)
	}
	wantInForce(t, f, text)
	takeUpdate(t, f, wholeUpdate(serviceScope, 1, text), ResultAccepted) // revisions are ordered per scope
	takeUpdate(t, f, wholeUpdate(Scope{Level: LevelService, Name: "other"}, 9, text), ResultWrongScope)
}

func TestFollowerAssemblesParts(t *testing.T) {
	anyDocument := func(*Document) error { return nil }
	r := NewRegistry(FleetGroup)
	document := longDocument(150, 3)
	mustPut(t, r, 2, newChange("c", Fleet, 0, document))
	updates := r.Updates(Fleet, Position{})
	f := NewFollower(testPlace, anyDocument)
	for i, u := range updates {
		last := i == len(updates)-1
		want := ResultPartial
		if last {
			want = ResultAccepted
		}
		takeUpdate(t, f, u, want)
		if _, ok := f.Pending(); ok != last || (len(f.Positions()) > 0) != last {
			t.Fatalf("after part %d: pending %v, have %v", i, ok, f.Positions())
		}
	}
	applyPending(t, f)
	wantInForce(t, f, string(document.Canonical()))

	// A watch may end between parts, and updates of other scopes may come between them. A lost part is
	// detected.
	f = NewFollower(testPlace, anyDocument)
	takeUpdate(t, f, updates[0], ResultPartial)
	f.Connected()
	takeUpdate(t, f, updates[1], ResultNeedsWhole)
	f.Connected()
	for _, u := range updates[:len(updates)-1] {
		takeUpdate(t, f, u, ResultPartial)
	}
	takeUpdate(t, f, wholeUpdate(serviceScope, 1, `{"format":1,"limits":{"attempts":2}}`), ResultAccepted)
	applyPending(t, f)
	takeUpdate(t, f, updates[len(updates)-1], ResultAccepted)
	applyPending(t, f)
	wantInForce(t, f, string(Merge(document, mustParse(t, `{"format":1,"limits":{"attempts":2}}`)).Canonical()))

	f = NewFollower(testPlace, anyDocument)
	takeUpdate(t, f, updates[0], ResultPartial)
	takeUpdate(t, f, updates[2], ResultNeedsWhole)
	other := updates[1]
	other.Revision++
	takeUpdate(t, f, updates[0], ResultPartial)
	takeUpdate(t, f, other, ResultNeedsWhole)
	wantInForce(t, f, `{"format":1}`)
}

func TestFollowerLimitsPartialDocuments(t *testing.T) {
	f := NewFollower(testPlace, func(*Document) error { return nil })
	u := Update{Scope: Fleet, Position: Position{1, 1}, Parts: 1 << 30, Text: strings.Repeat("x", MaxPartBytes), More: true}
	for ; u.Part*MaxPartBytes+MaxPartBytes <= MaxDocumentBytes; u.Part++ {
		takeUpdate(t, f, u, ResultPartial)
	}
	takeUpdate(t, f, u, ResultNeedsWhole)
	if f.states[Fleet].parts != nil {
		t.Error("the rejected parts are still stored")
	}
	long := longDocument(600, 1).Canonical()
	takeUpdate(t, f, Update{Scope: Fleet, Position: Position{1, 1}, Patch: long, Digest: Digest(long)}, ResultNeedsWhole)
}

// If a watch ends before a set of updates is complete, the updates that have arrived take effect when the
// next watch begins.
func TestFollowerAppliesIncompleteSetAfterReconnect(t *testing.T) {
	f := NewFollower(testPlace, checkAgainstStart)
	u := wholeUpdate(Fleet, 1, `{"format":1,"limits":{"attempts":2}}`)
	u.More = true
	takeUpdate(t, f, u, ResultAccepted)
	if _, ok := f.Pending(); ok {
		t.Fatal("pending before the set is complete")
	}
	f.Connected()
	applyPending(t, f)
	wantInForce(t, f, `{"format":1,"limits":{"attempts":2}}`)
}

func TestFollowerKeepsOldRevisionAfterRefusal(t *testing.T) {
	good := `{"format":1,"classes":{"scan":{"aim_ms":200}}}`
	for _, c := range []struct{ bad, wantReason string }{
		{`{"format":1,"classes":{"scan":{"aim_ms":5000}}}`, "classes.scan.aim_ms: 5s is over the deadline"},
		{`{"format":1,"classes":{"nope":{"aim_ms":5}}}`, "classes.nope: the agent was started without such a class"},
		{`{"format":2,"novelty":true}`, "format: 2 is later than 1"},
		{`{"format":1,"limits":{"attempts":0}}`, "limits.attempts: 0 is not within"},
	} {
		f := NewFollower(testPlace, checkAgainstStart)
		takeUpdate(t, f, wholeUpdate(serviceScope, 1, good), ResultAccepted)
		applyPending(t, f)
		takeUpdate(t, f, wholeUpdate(serviceScope, 2, c.bad), ResultAccepted)
		if _, ok := f.Pending(); ok {
			t.Fatalf("%s: pending", c.bad)
		}
		wantInForce(t, f, good, serviceScope)
		report := f.Report()
		if refusal := report.Refused[0]; refusal.Position != (Position{2, 1}) || !strings.HasPrefix(refusal.Reason, c.wantReason) {
			t.Errorf("%s: refusal %+v", c.bad, refusal)
		}
		if report.InForce[serviceScope] != (Position{1, 1}) || f.Positions()[serviceScope] != (Position{2, 1}) {
			t.Errorf("%s: in force %v, have %v", c.bad, report.InForce, f.Positions())
		}
		// Updates of other scopes still apply, and a patch applies to the text of the refused revision.
		takeUpdate(t, f, wholeUpdate(Fleet, 7, `{"format":1,"cold":{"from":0.5}}`), ResultAccepted)
		applyPending(t, f)
		wantInForce(t, f, `{"format":1,"classes":{"scan":{"aim_ms":200}},"cold":{"from":0.5}}`, serviceScope)
		patch, err := MakePatch(wholeUpdate(serviceScope, 2, c.bad).Patch, mustParse(t, good).Canonical())
		if err != nil {
			t.Fatal(err)
		}
		takeUpdate(t, f, Update{Scope: serviceScope, Position: Position{3, 1}, From: 2, Patch: patch,
			Digest: Digest(mustParse(t, good).Canonical())}, ResultAccepted)
		applyPending(t, f)
		wantInForce(t, f, `{"format":1,"classes":{"scan":{"aim_ms":200}},"cold":{"from":0.5}}`)
		if report := f.Report(); report.InForce[serviceScope] != (Position{3, 1}) {
			t.Errorf("%s: in force %v", c.bad, report.InForce)
		}
	}
}

// Which scope is refused depends only on the documents, not on the order in which they arrived.
func TestFollowerRefusalsAreOrderIndependent(t *testing.T) {
	updates := []Update{
		wholeUpdate(Fleet, 1, `{"format":1,"classes":{"scan":{"deadline_ms":1000}},"limits":{"attempts":2}}`),
		wholeUpdate(eastScope, 1, `{"format":1,"limits":{"attempts":3}}`),
		wholeUpdate(zoneScope, 1, `{"format":1,"classes":{"nope":{"worth":1}},"limits":{"attempts":4}}`),
		wholeUpdate(serviceScope, 1, `{"format":1,"classes":{"scan":{"aim_ms":900}}}`),
		wholeUpdate(agentScope, 1, `{"format":1,"classes":{"scan":{"deadline_ms":800}},"cold":{"from":0.5}}`),
	}
	for seed := range uint64(50) {
		f := NewFollower(testPlace, checkAgainstStart)
		for i, at := range newRand(seed).Perm(len(updates)) {
			u := updates[at]
			u.More = i < len(updates)-1
			takeUpdate(t, f, u, ResultAccepted)
		}
		applyPending(t, f)
		wantInForce(t, f, `{"format":1,"classes":{"scan":{"deadline_ms":1000,"aim_ms":900}},"limits":{"attempts":3}}`, zoneScope, agentScope)
	}
}

// A change of a wide scope can make a narrower scope's document invalid that was valid before. The narrower
// document is then refused, and applied again once it is valid.
func TestFollowerRetriesRefusedDocument(t *testing.T) {
	f := NewFollower(testPlace, checkAgainstStart)
	takeUpdate(t, f, wholeUpdate(agentScope, 4, `{"format":1,"classes":{"scan":{"aim_ms":1500}}}`), ResultAccepted)
	applyPending(t, f)
	takeUpdate(t, f, wholeUpdate(Fleet, 1, `{"format":1,"classes":{"scan":{"deadline_ms":1000}}}`), ResultAccepted)
	applyPending(t, f)
	wantInForce(t, f, `{"format":1,"classes":{"scan":{"deadline_ms":1000}}}`, agentScope)
	if report := f.Report(); report.InForce[agentScope] != (Position{}) || report.Refused[0].Position != (Position{4, 1}) {
		t.Errorf("report %+v", report)
	}
	takeUpdate(t, f, wholeUpdate(Fleet, 2, `{"format":1}`), ResultAccepted)
	applyPending(t, f)
	wantInForce(t, f, `{"format":1,"classes":{"scan":{"aim_ms":1500}}}`)
}

// If applying several changed scopes at once fails, they are tried one by one, and the scope whose change
// fails alone is refused until its next revision.
func TestFollowerIsolatesScopeThatFailsToApply(t *testing.T) {
	f := NewFollower(testPlace, checkAgainstStart)
	takeUpdate(t, f, wholeUpdate(serviceScope, 1, `{"format":1,"limits":{"attempts":2}}`), ResultAccepted)
	applyPending(t, f)
	for i, u := range []Update{
		wholeUpdate(Fleet, 1, `{"format":1,"cold":{"from":0.5}}`),
		wholeUpdate(serviceScope, 2, `{"format":1,"limits":{"attempts":13}}`), // the value that fails to apply below
		wholeUpdate(agentScope, 1, `{"format":1,"cold":{"ramp_ms":5}}`),
	} {
		u.More = i < 2
		takeUpdate(t, f, u, ResultAccepted)
	}
	tries := 0
	for effective, ok := f.Pending(); ok; effective, ok = f.Pending() {
		if tries++; tries > 10 {
			t.Fatal("more than 10 attempts to apply")
		}
		if limits := effective.Document.Limits; limits != nil && *limits.Attempts == 13 {
			f.ApplyFailed(effective, errors.New("rejected value"))
		} else {
			f.Applied(effective)
		}
	}
	wantInForce(t, f, `{"format":1,"cold":{"from":0.5,"ramp_ms":5},"limits":{"attempts":2}}`, serviceScope)
	if refusal := f.Report().Refused[0]; refusal.Reason != "could not be applied: rejected value" || refusal.Revision != 2 {
		t.Errorf("refusal %+v", refusal)
	}
	takeUpdate(t, f, wholeUpdate(serviceScope, 3, `{"format":1,"limits":{"attempts":3}}`), ResultAccepted)
	applyPending(t, f)
	wantInForce(t, f, `{"format":1,"cold":{"from":0.5,"ramp_ms":5},"limits":{"attempts":3}}`)
}

// An agent that fails to apply any changed document keeps the documents in force, refuses the changed ones
// and stops trying.
func TestFollowerStopsWhenNothingApplies(t *testing.T) {
	f := NewFollower(testPlace, checkAgainstStart)
	takeUpdate(t, f, wholeUpdate(agentScope, 4, `{"format":1,"classes":{"scan":{"aim_ms":1500}}}`), ResultAccepted)
	applyPending(t, f)
	for i, u := range []Update{ // with the fleet's document the agent scope's aim of 1500 ms is above the deadline, so that document is refused
		wholeUpdate(Fleet, 1, `{"format":1,"classes":{"scan":{"deadline_ms":1000}}}`),
		wholeUpdate(serviceScope, 1, `{"format":1,"limits":{"attempts":2}}`),
	} {
		u.More = i < 1
		takeUpdate(t, f, u, ResultAccepted)
	}
	tries := 0
	for effective, ok := f.Pending(); ok; effective, ok = f.Pending() {
		if tries++; tries > 10 {
			t.Fatal("more than 10 attempts to apply")
		}
		f.ApplyFailed(effective, errors.New("always fails"))
	}
	wantInForce(t, f, `{"format":1,"classes":{"scan":{"aim_ms":1500}}}`, Fleet, serviceScope)
}

// Even removing a document that has become invalid may fail to apply: here the agent can't work without the
// aim for scans that the document sets. The agent then keeps it in force and stops trying.
func TestFollowerStopsWhenRemovalFails(t *testing.T) {
	f := NewFollower(testPlace, checkAgainstStart)
	takeUpdate(t, f, wholeUpdate(agentScope, 4, `{"format":1,"classes":{"scan":{"aim_ms":1500}}}`), ResultAccepted)
	applyPending(t, f)
	takeUpdate(t, f, wholeUpdate(Fleet, 1, `{"format":1,"classes":{"scan":{"deadline_ms":1000}}}`), ResultAccepted)
	tries := 0
	for effective, ok := f.Pending(); ok; effective, ok = f.Pending() {
		if tries++; tries > 10 {
			t.Fatal("more than 10 attempts to apply")
		}
		if effective.Document.Classes["scan"].AimMs == nil {
			f.ApplyFailed(effective, errors.New("no aim"))
		} else {
			f.Applied(effective)
		}
	}
	wantInForce(t, f, `{"format":1,"classes":{"scan":{"aim_ms":1500,"deadline_ms":1000}}}`, agentScope)
	takeUpdate(t, f, wholeUpdate(Fleet, 2, `{"format":1}`), ResultAccepted)
	applyPending(t, f)
	wantInForce(t, f, `{"format":1,"classes":{"scan":{"aim_ms":1500}}}`)
}

func TestFollowerStateRoundTrip(t *testing.T) {
	f := NewFollower(testPlace, checkAgainstStart)
	takeUpdate(t, f, wholeUpdate(Fleet, 3, `{"format":1,"cold":{"from":0.5}}`), ResultAccepted)
	takeUpdate(t, f, wholeUpdate(serviceScope, 8, `{"format":1,"limits":{"attempts":2}}`), ResultAccepted)
	applyPending(t, f)
	takeUpdate(t, f, wholeUpdate(serviceScope, 9, `{"format":1,"limits":{"attempts":3}}`), ResultAccepted) // received, but not in force, so it isn't saved
	kept, err := f.MarshalState()
	if err != nil {
		t.Fatal(err)
	}
	restarted := NewFollower(testPlace, checkAgainstStart)
	if err := restarted.RestoreState(kept); err != nil {
		t.Fatal(err)
	}
	if report := restarted.Report(); len(report.InForce) > 0 {
		t.Errorf("report before the restored state is applied: %+v", report)
	}
	want := map[Scope]Position{Fleet: {3, 1}, serviceScope: {8, 1}}
	if have := restarted.Positions(); !reflect.DeepEqual(have, want) {
		t.Errorf("have %v", have)
	}
	applyPending(t, restarted)
	wantInForce(t, restarted, `{"format":1,"cold":{"from":0.5},"limits":{"attempts":2}}`)
	if again, err := restarted.MarshalState(); err != nil || string(again) != string(kept) {
		t.Errorf("saved again: %s (%v), want %s", again, err, kept)
	}
	takeUpdate(t, restarted, wholeUpdate(serviceScope, 9, `{"format":1,"limits":{"attempts":3}}`), ResultAccepted)

	empty, err := NewFollower(testPlace, checkAgainstStart).MarshalState()
	if err != nil {
		t.Fatal(err)
	}
	if err := NewFollower(testPlace, checkAgainstStart).RestoreState(empty); err != nil {
		t.Errorf("restoring an empty state: %v", err)
	}
}

// Saved documents are checked again when they are restored, since the start file may have changed in the
// meantime.
func TestFollowerChecksRestoredState(t *testing.T) {
	f := NewFollower(testPlace, checkAgainstStart)
	takeUpdate(t, f, wholeUpdate(Fleet, 3, `{"format":1,"cold":{"from":0.5}}`), ResultAccepted)
	takeUpdate(t, f, wholeUpdate(serviceScope, 8, `{"format":1,"classes":{"scan":{"worth":2}}}`), ResultAccepted)
	applyPending(t, f)
	kept, _ := f.MarshalState()
	restarted := NewFollower(testPlace, func(d *Document) error {
		if len(d.Classes) > 0 {
			return errors.New("classes are not supported")
		}
		return nil
	})
	if err := restarted.RestoreState(kept); err != nil {
		t.Fatal(err)
	}
	applyPending(t, restarted)
	wantInForce(t, restarted, `{"format":1,"cold":{"from":0.5}}`, serviceScope)
}

func TestFollowerRejectsDamagedState(t *testing.T) {
	f := NewFollower(testPlace, checkAgainstStart)
	takeUpdate(t, f, wholeUpdate(Fleet, 3, `{"format":1,"cold":{"from":0.5}}`), ResultAccepted)
	applyPending(t, f)
	kept, _ := f.MarshalState()
	refuse := func(what string, place Place, bytes []byte) {
		t.Helper()
		g := NewFollower(place, checkAgainstStart)
		if err := g.RestoreState(bytes); err == nil || !strings.HasPrefix(err.Error(), "kept configuration: ") {
			t.Errorf("%s: error %v", what, err)
		}
		if _, ok := g.Pending(); ok || len(g.Positions()) > 0 {
			t.Errorf("%s: refused, but the follower has changed", what)
		}
	}
	for length := range kept {
		refuse(fmt.Sprintf("cut to %d bytes", length), testPlace, kept[:length])
	}
	for at := range kept {
		flipped := append([]byte(nil), kept...)
		flipped[at] ^= 1
		refuse(fmt.Sprintf("byte %d flipped", at), testPlace, flipped)
	}
	for _, change := range []func(p *Place){
		func(p *Place) { p.Agent = "a2" }, func(p *Place) { p.Region = "west" },
		func(p *Place) { p.Zone = "e2" }, func(p *Place) { p.Service = "search" },
	} {
		other := testPlace
		change(&other)
		refuse(fmt.Sprintf("state of another place %+v", other), other, kept)
	}
	later := strings.Replace(string(kept[strings.Index(string(kept), "\n")+1:]), `"format":1`, `"format":2`, 1)
	refuse("a later format", testPlace, append([]byte(stateHeaderLine([]byte(later))), later...))
}

func TestRefusalsAreTruncatedBetweenCharacters(t *testing.T) {
	f := NewFollower(testPlace, func(*Document) error { return errors.New("x" + strings.Repeat("é", MaxRefusalBytes)) })
	takeUpdate(t, f, wholeUpdate(Fleet, 1, `{"format":1}`), ResultAccepted)
	why := f.Report().Refused[0].Reason
	if want := "x" + strings.Repeat("é", (MaxRefusalBytes-1)/2); why != want {
		t.Errorf("reason has %d bytes: %q", len(why), why)
	}
}
