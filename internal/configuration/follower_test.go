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

// whole is an update with the whole document.
func whole(scope Scope, revision uint64, text string) Update {
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

func take(t *testing.T, f *Follower, u Update, want ResultKind) Result {
	t.Helper()
	result := f.Take(overWire(t, u))
	if result.Kind != want {
		t.Fatalf("%v revision %d: result %+v, want kind %d", u.Scope, u.Revision, result, want)
	}
	return result
}

// apply puts in force what is pending.
func apply(t *testing.T, f *Follower) *Effective {
	t.Helper()
	effective, ok := f.Pending()
	if !ok {
		t.Fatal("nothing is pending")
	}
	if again, ok := f.Pending(); !ok || again != effective {
		t.Fatal("asked again, another document is pending")
	}
	f.InForce(effective)
	if more, ok := f.Pending(); ok {
		t.Fatalf("more is pending: %s", more.Document.Canonical())
	}
	return effective
}

func wantInForce(t *testing.T, f *Follower, text string, refused ...Scope) {
	t.Helper()
	report := f.Report()
	if want := Digest(mustParse(t, text).Canonical()); report.Digest != want {
		t.Errorf("in force is %s, want %s", f.inForce.Document.Canonical(), text)
	}
	var scopes []Scope
	for _, refusal := range report.Refused {
		scopes = append(scopes, refusal.Scope)
		if refusal.Why == "" || len(refusal.Why) > RefusalMost {
			t.Errorf("refusal %+v", refusal)
		}
	}
	if !reflect.DeepEqual(scopes, refused) {
		t.Errorf("refused %v, want %v: %+v", scopes, refused, report.Refused)
	}
}

func TestFollowerMergesFromWideToNarrow(t *testing.T) {
	f := NewFollower(testPlace, checkStart)
	if _, ok := f.Pending(); ok || len(f.Have()) > 0 {
		t.Fatal("a new follower has something")
	}
	if report := f.Report(); report.Place != testPlace || len(report.InForce) > 0 || report.Format != Format {
		t.Fatalf("report %+v", report)
	}
	for i, scope := range []Scope{agentScope, Fleet, service, zoneScope, eastScope} { // in any order
		u := whole(scope, uint64(i+1), fmt.Sprintf(`{"format":1,"limits":{"attempts":%d},"classes":{"scan":{"worth":%d}}}`, i+1, i))
		u.More = i < 4
		take(t, f, u, ResultTaken)
		if _, ok := f.Pending(); ok != !u.More {
			t.Fatalf("after update %d pending is %v", i, ok)
		}
	}
	take(t, f, whole(Fleet, 3, `{"format":1,"cold":{"from":0.5}}`), ResultTaken)
	apply(t, f)
	wantInForce(t, f, `{"format":1,"limits":{"attempts":1},"classes":{"scan":{"worth":0}},"cold":{"from":0.5}}`)
	want := map[Scope]Position{agentScope: {1, 1}, Fleet: {3, 1}, service: {3, 1}, zoneScope: {4, 1}, eastScope: {5, 1}}
	if got := f.Report().InForce; !reflect.DeepEqual(got, want) || !reflect.DeepEqual(f.Have(), want) {
		t.Errorf("in force %v, have %v, want %v", got, f.Have(), want)
	}
}

func TestFollowerReportsNothingBeforeItIsInForce(t *testing.T) {
	f := NewFollower(testPlace, checkStart)
	take(t, f, whole(Fleet, 1, `{"format":1,"limits":{"attempts":2}}`), ResultTaken)
	effective, _ := f.Pending()
	if report := f.Report(); len(report.InForce) > 0 || report.Digest == effective.Digest {
		t.Errorf("report %+v", report)
	}
	if have := f.Have(); have[Fleet] != (Position{1, 1}) {
		t.Errorf("have %v", have) // but it isn't to be sent again
	}
	f.InForce(effective)
	if report := f.Report(); report.InForce[Fleet] != (Position{1, 1}) || report.Digest != effective.Digest {
		t.Errorf("report %+v", report)
	}
}

func TestFollowerTakesPatches(t *testing.T) {
	f := NewFollower(testPlace, checkStart)
	take(t, f, whole(Fleet, 3, `{"format":1,"limits":{"attempts":2},"cold":{"from":0.5}}`), ResultTaken)
	after := mustParse(t, `{"format":1,"limits":{"attempts":4}}`).Canonical()
	patch := Update{Scope: Fleet, Position: Position{5, 2}, From: 3, Digest: Digest(after),
		Patch: json.RawMessage(`{"limits":{"attempts":4},"cold":null}`)}
	take(t, f, patch, ResultTaken)
	apply(t, f)
	wantInForce(t, f, string(after))
	if have := f.Have(); have[Fleet] != (Position{5, 2}) {
		t.Errorf("have %v", have)
	}
}

func TestFollowerAsksForTheWhole(t *testing.T) {
	first, after := `{"format":1,"limits":{"attempts":2}}`, mustParse(t, `{"format":1,"limits":{"attempts":4}}`).Canonical()
	good := Update{Scope: Fleet, Position: Position{6, 1}, From: 5, Digest: Digest(after), Patch: json.RawMessage(`{"limits":{"attempts":4}}`)}
	alter := func(f func(u *Update)) Update {
		u := good
		f(&u)
		return u
	}
	for _, c := range []struct {
		what string
		u    Update
		says string
	}{
		{"from before", alter(func(u *Update) { u.From = 4 }), "a patch from revision 4, where 5 is"},
		{"from after", alter(func(u *Update) { u.From = 6 }), "a patch from revision 6, where 5 is"},
		{"another digest", alter(func(u *Update) { u.Digest = Digest([]byte(first)) }), "digest"},
		{"no digest", alter(func(u *Update) { u.Digest = "" }), "digest"},
		{"no object", alter(func(u *Update) { u.Patch = json.RawMessage(`[]`) }), "no object"},
		{"no patch", alter(func(u *Update) { u.Patch = nil }), "patch"},
		{"no document", alter(func(u *Update) { u.From, u.Patch = 0, nil }), "digest"},
		{"a part in the middle", alter(func(u *Update) { u.From, u.Patch, u.Text, u.Part, u.Parts = 0, nil, "x", 1, 3 }), "part 1 of 3"},
	} {
		f := NewFollower(testPlace, checkStart)
		take(t, f, whole(Fleet, 5, first), ResultTaken)
		apply(t, f)
		if result := take(t, f, c.u, ResultAskWhole); !strings.Contains(result.Why, c.says) {
			t.Errorf("%s: %q doesn't say %q", c.what, result.Why, c.says)
		}
		wantInForce(t, f, first)
		if needs, have := f.NeedsWhole(), f.Have(); !reflect.DeepEqual(needs, []Scope{Fleet}) || have[Fleet] != (Position{5, 0}) {
			t.Errorf("%s: needs %v, have %v", c.what, needs, have)
		}
		f.Connected()
		take(t, f, whole(Fleet, 6, string(after)), ResultTaken)
		if len(f.NeedsWhole()) > 0 || f.Have()[Fleet] != (Position{6, 1}) {
			t.Errorf("%s: then it needs %v and has %v", c.what, f.NeedsWhole(), f.Have())
		}
		apply(t, f)
		wantInForce(t, f, string(after))
	}
}

func TestFollowerKeepsToTheOrderOfRevisions(t *testing.T) {
	f := NewFollower(testPlace, checkStart)
	text := `{"format":1,"limits":{"attempts":2}}`
	take(t, f, whole(Fleet, 5, text), ResultTaken)
	apply(t, f)
	for _, u := range []Update{
		whole(Fleet, 4, `{"format":1}`), whole(Fleet, 5, text), whole(Fleet, 0, `{"format":1}`),
		{Scope: Fleet, Position: Position{4, 9}, From: 3, Patch: json.RawMessage(`{}`)},
	} {
		take(t, f, u, ResultKnown)
		if _, ok := f.Pending(); ok || len(f.NeedsWhole()) > 0 {
			t.Fatalf("revision %d changes something", u.Revision)
		}
	}
	if result := take(t, f, whole(Fleet, 5, `{"format":1}`), ResultKnown); !strings.Contains(result.Why, "another document") {
		t.Errorf("result %+v", result)
	}
	wantInForce(t, f, text)
	take(t, f, whole(service, 1, text), ResultTaken) // each scope has its own order
	take(t, f, whole(Scope{Level: LevelService, Name: "other"}, 9, text), ResultForeign)
}

func TestFollowerPutsPartsTogether(t *testing.T) {
	anyDocument := func(*Document) error { return nil }
	r := NewRegistry(FleetGroup)
	document := longDocument(150, 3)
	mustPut(t, r, 2, change("c", Fleet, 0, document))
	updates := r.Updates(Fleet, Position{})
	f := NewFollower(testPlace, anyDocument)
	for i, u := range updates {
		last := i == len(updates)-1
		want := ResultPart
		if last {
			want = ResultTaken
		}
		take(t, f, u, want)
		if _, ok := f.Pending(); ok != last || (len(f.Have()) > 0) != last {
			t.Fatalf("after part %d pending is %v, have %v", i, ok, f.Have())
		}
	}
	apply(t, f)
	wantInForce(t, f, string(document.Canonical()))

	// A watch that ends between parts is no harm, nor are updates of other scopes in between, nor a part that is lost.
	f = NewFollower(testPlace, anyDocument)
	take(t, f, updates[0], ResultPart)
	f.Connected()
	take(t, f, updates[1], ResultAskWhole)
	f.Connected()
	for _, u := range updates[:len(updates)-1] {
		take(t, f, u, ResultPart)
	}
	take(t, f, whole(service, 1, `{"format":1,"limits":{"attempts":2}}`), ResultTaken)
	apply(t, f)
	take(t, f, updates[len(updates)-1], ResultTaken)
	apply(t, f)
	wantInForce(t, f, string(Merge(document, mustParse(t, `{"format":1,"limits":{"attempts":2}}`)).Canonical()))

	f = NewFollower(testPlace, anyDocument)
	take(t, f, updates[0], ResultPart)
	take(t, f, updates[2], ResultAskWhole)
	other := updates[1]
	other.Revision++
	take(t, f, updates[0], ResultPart)
	take(t, f, other, ResultAskWhole)
	wantInForce(t, f, `{"format":1}`)
}

func TestFollowerBoundsParts(t *testing.T) {
	f := NewFollower(testPlace, func(*Document) error { return nil })
	u := Update{Scope: Fleet, Position: Position{1, 1}, Parts: 1 << 30, Text: strings.Repeat("x", PartMost), More: true}
	for ; u.Part*PartMost+PartMost <= DocumentMost; u.Part++ {
		take(t, f, u, ResultPart)
	}
	take(t, f, u, ResultAskWhole)
	if f.states[Fleet].parts != nil {
		t.Error("the parts are kept")
	}
	long := longDocument(600, 1).Canonical()
	take(t, f, Update{Scope: Fleet, Position: Position{1, 1}, Patch: long, Digest: Digest(long)}, ResultAskWhole)
}

// A set of updates that is cut off takes effect as far as it came.
func TestFollowerGivesUpAnIncompleteSet(t *testing.T) {
	f := NewFollower(testPlace, checkStart)
	u := whole(Fleet, 1, `{"format":1,"limits":{"attempts":2}}`)
	u.More = true
	take(t, f, u, ResultTaken)
	if _, ok := f.Pending(); ok {
		t.Fatal("pending before the set is complete")
	}
	f.Connected()
	apply(t, f)
	wantInForce(t, f, `{"format":1,"limits":{"attempts":2}}`)
}

func TestFollowerRefusesAndKeepsWhatItHas(t *testing.T) {
	good := `{"format":1,"classes":{"scan":{"aim_ms":200}}}`
	for _, c := range []struct{ bad, why string }{
		{`{"format":1,"classes":{"scan":{"aim_ms":5000}}}`, "classes.scan.aim_ms: 5s is over the deadline"},
		{`{"format":1,"classes":{"nope":{"aim_ms":5}}}`, "classes.nope: the agent was started without such a class"},
		{`{"format":2,"novelty":true}`, "format: 2 is later than 1"},
		{`{"format":1,"limits":{"attempts":0}}`, "limits.attempts: 0 is not within"},
	} {
		f := NewFollower(testPlace, checkStart)
		take(t, f, whole(service, 1, good), ResultTaken)
		apply(t, f)
		take(t, f, whole(service, 2, c.bad), ResultTaken)
		if _, ok := f.Pending(); ok {
			t.Fatalf("%s: pending", c.bad)
		}
		wantInForce(t, f, good, service)
		report := f.Report()
		if refusal := report.Refused[0]; refusal.Position != (Position{2, 1}) || !strings.HasPrefix(refusal.Why, c.why) {
			t.Errorf("%s: refusal %+v", c.bad, refusal)
		}
		if report.InForce[service] != (Position{1, 1}) || f.Have()[service] != (Position{2, 1}) {
			t.Errorf("%s: in force %v, have %v", c.bad, report.InForce, f.Have())
		}
		// Other scopes go on, and a patch is laid upon what was refused.
		take(t, f, whole(Fleet, 7, `{"format":1,"cold":{"from":0.5}}`), ResultTaken)
		apply(t, f)
		wantInForce(t, f, `{"format":1,"classes":{"scan":{"aim_ms":200}},"cold":{"from":0.5}}`, service)
		patch, err := MakePatch(whole(service, 2, c.bad).Patch, mustParse(t, good).Canonical())
		if err != nil {
			t.Fatal(err)
		}
		take(t, f, Update{Scope: service, Position: Position{3, 1}, From: 2, Patch: patch,
			Digest: Digest(mustParse(t, good).Canonical())}, ResultTaken)
		apply(t, f)
		wantInForce(t, f, `{"format":1,"classes":{"scan":{"aim_ms":200}},"cold":{"from":0.5}}`)
		if report := f.Report(); report.InForce[service] != (Position{3, 1}) {
			t.Errorf("%s: in force %v", c.bad, report.InForce)
		}
	}
}

// Which scope is refused depends on what there is alone, not on the order in which it came.
func TestFollowerBlamesTheFirstThatFails(t *testing.T) {
	updates := []Update{
		whole(Fleet, 1, `{"format":1,"classes":{"scan":{"deadline_ms":1000}},"limits":{"attempts":2}}`),
		whole(eastScope, 1, `{"format":1,"limits":{"attempts":3}}`),
		whole(zoneScope, 1, `{"format":1,"classes":{"nope":{"worth":1}},"limits":{"attempts":4}}`),
		whole(service, 1, `{"format":1,"classes":{"scan":{"aim_ms":900}}}`),
		whole(agentScope, 1, `{"format":1,"classes":{"scan":{"deadline_ms":800}},"cold":{"from":0.5}}`),
	}
	for seed := range uint64(50) {
		f := NewFollower(testPlace, checkStart)
		for i, at := range newRand(seed).Perm(len(updates)) {
			u := updates[at]
			u.More = i < len(updates)-1
			take(t, f, u, ResultTaken)
		}
		apply(t, f)
		wantInForce(t, f, `{"format":1,"classes":{"scan":{"deadline_ms":1000,"aim_ms":900}},"limits":{"attempts":3}}`, zoneScope, agentScope)
	}
}

// A wide change can make a narrow document fail that passed before. Then that one is refused, with its own revision,
// and taken again when it passes.
func TestFollowerTakesARefusedOneAgainWhenItPasses(t *testing.T) {
	f := NewFollower(testPlace, checkStart)
	take(t, f, whole(agentScope, 4, `{"format":1,"classes":{"scan":{"aim_ms":1500}}}`), ResultTaken)
	apply(t, f)
	take(t, f, whole(Fleet, 1, `{"format":1,"classes":{"scan":{"deadline_ms":1000}}}`), ResultTaken)
	apply(t, f)
	wantInForce(t, f, `{"format":1,"classes":{"scan":{"deadline_ms":1000}}}`, agentScope)
	if report := f.Report(); report.InForce[agentScope] != (Position{}) || report.Refused[0].Position != (Position{4, 1}) {
		t.Errorf("report %+v", report)
	}
	take(t, f, whole(Fleet, 2, `{"format":1}`), ResultTaken)
	apply(t, f)
	wantInForce(t, f, `{"format":1,"classes":{"scan":{"aim_ms":1500}}}`)
}

// Where applying fails, what has changed is tried scope by scope; what fails alone is refused until its next revision.
func TestFollowerFindsWhatFailsWhenApplied(t *testing.T) {
	f := NewFollower(testPlace, checkStart)
	take(t, f, whole(service, 1, `{"format":1,"limits":{"attempts":2}}`), ResultTaken)
	apply(t, f)
	for i, u := range []Update{
		whole(Fleet, 1, `{"format":1,"cold":{"from":0.5}}`),
		whole(service, 2, `{"format":1,"limits":{"attempts":13}}`), // an unlucky number
		whole(agentScope, 1, `{"format":1,"cold":{"ramp_ms":5}}`),
	} {
		u.More = i < 2
		take(t, f, u, ResultTaken)
	}
	tries := 0
	for effective, ok := f.Pending(); ok; effective, ok = f.Pending() {
		if tries++; tries > 10 {
			t.Fatal("it never ends")
		}
		if limits := effective.Document.Limits; limits != nil && *limits.Attempts == 13 {
			f.Failed(effective, errors.New("unlucky"))
		} else {
			f.InForce(effective)
		}
	}
	wantInForce(t, f, `{"format":1,"cold":{"from":0.5,"ramp_ms":5},"limits":{"attempts":2}}`, service)
	if refusal := f.Report().Refused[0]; refusal.Why != "could not be applied: unlucky" || refusal.Revision != 2 {
		t.Errorf("refusal %+v", refusal)
	}
	take(t, f, whole(service, 3, `{"format":1,"limits":{"attempts":3}}`), ResultTaken)
	apply(t, f)
	wantInForce(t, f, `{"format":1,"cold":{"from":0.5,"ramp_ms":5},"limits":{"attempts":3}}`)
}

// An agent that can apply nothing at all goes on with what it has and doesn't try for ever.
func TestFollowerEndsWhereNothingCanBeApplied(t *testing.T) {
	f := NewFollower(testPlace, checkStart)
	take(t, f, whole(agentScope, 4, `{"format":1,"classes":{"scan":{"aim_ms":1500}}}`), ResultTaken)
	apply(t, f)
	for i, u := range []Update{ // the wide one makes the narrow one fail its check
		whole(Fleet, 1, `{"format":1,"classes":{"scan":{"deadline_ms":1000}}}`),
		whole(service, 1, `{"format":1,"limits":{"attempts":2}}`),
	} {
		u.More = i < 1
		take(t, f, u, ResultTaken)
	}
	tries := 0
	for effective, ok := f.Pending(); ok; effective, ok = f.Pending() {
		if tries++; tries > 10 {
			t.Fatal("it never ends")
		}
		f.Failed(effective, errors.New("no"))
	}
	wantInForce(t, f, `{"format":1,"classes":{"scan":{"aim_ms":1500}}}`, Fleet, service)
}

// Applying may refuse even that a refused document goes: here one without an aim for scans.
func TestFollowerEndsWhereWhatIsRefusedCantGo(t *testing.T) {
	f := NewFollower(testPlace, checkStart)
	take(t, f, whole(agentScope, 4, `{"format":1,"classes":{"scan":{"aim_ms":1500}}}`), ResultTaken)
	apply(t, f)
	take(t, f, whole(Fleet, 1, `{"format":1,"classes":{"scan":{"deadline_ms":1000}}}`), ResultTaken)
	tries := 0
	for effective, ok := f.Pending(); ok; effective, ok = f.Pending() {
		if tries++; tries > 10 {
			t.Fatal("it never ends")
		}
		if effective.Document.Classes["scan"].AimMs == nil {
			f.Failed(effective, errors.New("no aim"))
		} else {
			f.InForce(effective)
		}
	}
	wantInForce(t, f, `{"format":1,"classes":{"scan":{"aim_ms":1500,"deadline_ms":1000}}}`, agentScope)
	take(t, f, whole(Fleet, 2, `{"format":1}`), ResultTaken)
	apply(t, f)
	wantInForce(t, f, `{"format":1,"classes":{"scan":{"aim_ms":1500}}}`)
}

func TestFollowerKeepsWhatIsInForce(t *testing.T) {
	f := NewFollower(testPlace, checkStart)
	take(t, f, whole(Fleet, 3, `{"format":1,"cold":{"from":0.5}}`), ResultTaken)
	take(t, f, whole(service, 8, `{"format":1,"limits":{"attempts":2}}`), ResultTaken)
	apply(t, f)
	take(t, f, whole(service, 9, `{"format":1,"limits":{"attempts":3}}`), ResultTaken) // not in force yet
	kept, err := f.Kept()
	if err != nil {
		t.Fatal(err)
	}
	restarted := NewFollower(testPlace, checkStart)
	if err := restarted.RestoreKept(kept); err != nil {
		t.Fatal(err)
	}
	if report := restarted.Report(); len(report.InForce) > 0 {
		t.Errorf("before it is applied the report is %+v", report)
	}
	want := map[Scope]Position{Fleet: {3, 1}, service: {8, 1}}
	if have := restarted.Have(); !reflect.DeepEqual(have, want) {
		t.Errorf("have %v", have)
	}
	apply(t, restarted)
	wantInForce(t, restarted, `{"format":1,"cold":{"from":0.5},"limits":{"attempts":2}}`)
	if again, err := restarted.Kept(); err != nil || string(again) != string(kept) {
		t.Errorf("kept again: %s (%v), first %s", again, err, kept)
	}
	take(t, restarted, whole(service, 9, `{"format":1,"limits":{"attempts":3}}`), ResultTaken)

	empty, err := NewFollower(testPlace, checkStart).Kept()
	if err != nil {
		t.Fatal(err)
	}
	if err := NewFollower(testPlace, checkStart).RestoreKept(empty); err != nil {
		t.Errorf("nothing in force: %v", err)
	}
}

// What was kept may not pass any more, as the start file has changed.
func TestFollowerChecksWhatItKept(t *testing.T) {
	f := NewFollower(testPlace, checkStart)
	take(t, f, whole(Fleet, 3, `{"format":1,"cold":{"from":0.5}}`), ResultTaken)
	take(t, f, whole(service, 8, `{"format":1,"classes":{"scan":{"worth":2}}}`), ResultTaken)
	apply(t, f)
	kept, _ := f.Kept()
	restarted := NewFollower(testPlace, func(d *Document) error {
		if len(d.Classes) > 0 {
			return errors.New("no classes here")
		}
		return nil
	})
	if err := restarted.RestoreKept(kept); err != nil {
		t.Fatal(err)
	}
	apply(t, restarted)
	wantInForce(t, restarted, `{"format":1,"cold":{"from":0.5}}`, service)
}

func TestFollowerRefusesWhatWasTorn(t *testing.T) {
	f := NewFollower(testPlace, checkStart)
	take(t, f, whole(Fleet, 3, `{"format":1,"cold":{"from":0.5}}`), ResultTaken)
	apply(t, f)
	kept, _ := f.Kept()
	refuse := func(what string, place Place, bytes []byte) {
		t.Helper()
		g := NewFollower(place, checkStart)
		if err := g.RestoreKept(bytes); err == nil || !strings.HasPrefix(err.Error(), "kept configuration: ") {
			t.Errorf("%s: error %v", what, err)
		}
		if _, ok := g.Pending(); ok || len(g.Have()) > 0 {
			t.Errorf("%s: refused, but something has changed", what)
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
		refuse(fmt.Sprintf("another place %+v", other), other, kept)
	}
	later := strings.Replace(string(kept[strings.Index(string(kept), "\n")+1:]), `"format":1`, `"format":2`, 1)
	refuse("a later format", testPlace, append([]byte(keptHead([]byte(later))), later...))
}

func TestRefusalsAreCutBetweenCharacters(t *testing.T) {
	f := NewFollower(testPlace, func(*Document) error { return errors.New("x" + strings.Repeat("é", RefusalMost)) })
	take(t, f, whole(Fleet, 1, `{"format":1}`), ResultTaken)
	why := f.Report().Refused[0].Why
	if want := "x" + strings.Repeat("é", (RefusalMost-1)/2); why != want {
		t.Errorf("why has %d bytes: %q", len(why), why)
	}
}
