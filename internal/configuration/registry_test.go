package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

var serviceScope = Scope{Level: LevelService, Name: "cart"}

func wantErrorKind(t *testing.T, what string, err error, kind ErrorKind) *ErrorBody {
	t.Helper()
	var body *ErrorBody
	if !errors.As(err, &body) || body.Kind != kind {
		t.Errorf("%s: error %v, want one of kind %s", what, err, kind)
		return &ErrorBody{}
	}
	return body
}

func TestRegistryNumbersRevisionsInOrder(t *testing.T) {
	r := NewRegistry(FleetGroup)
	var notified []Revision
	r.OnRevision = func(revision Revision) { notified = append(notified, revision) }
	for i := range uint64(5) {
		d := mustParse(t, fmt.Sprintf(`{"format":1,"limits":{"attempts":%d}}`, i+1))
		accepted := mustPut(t, r, 10+i, newChange(fmt.Sprint("c", i), Fleet, i, d))
		want := Accepted{Scope: Fleet, Position: Position{Revision: i + 1, Epoch: 10 + i}, Digest: Digest(d.Canonical())}
		if accepted != want {
			t.Fatalf("accepted %+v, want %+v", accepted, want)
		}
		latest, ok := r.Latest(Fleet)
		if !ok || latest.Position != want.Position || string(latest.Document) != string(d.Canonical()) ||
			latest.Digest != want.Digest || latest.Change != fmt.Sprint("c", i) || latest.Author != "ana" {
			t.Fatalf("latest %+v", latest)
		}
		if len(notified) != int(i)+1 || !reflect.DeepEqual(notified[i], latest) {
			t.Fatalf("OnRevision received %+v", notified)
		}
	}
	mustPut(t, r, 20, newChange("s", serviceScope, 0, &Document{Format: 1}))
	if got := r.Scopes(); !reflect.DeepEqual(got, []Scope{Fleet, serviceScope}) {
		t.Errorf("scopes %v", got)
	}
	if _, ok := r.Latest(Scope{Level: LevelService, Name: "none"}); ok {
		t.Error("a scope without a document has a revision")
	}
}

func TestRegistryRefusesInvalidChanges(t *testing.T) {
	d := mustParse(t, `{"format":1,"limits":{"attempts":2}}`)
	good := newChange("next", Fleet, 1, d)
	alter := func(f func(c *Change)) Change {
		c := good
		f(&c)
		return c
	}
	east := Scope{Level: LevelRegion, Region: "east"}
	for _, c := range []struct {
		name        string
		change      Change
		kind        ErrorKind
		wantMessage string
	}{
		{"base too low", alter(func(c *Change) { c.Base = 0 }), ErrorConflict, "fleet is at revision 1, not at 0"},
		{"base too high", alter(func(c *Change) { c.Base = 2 }), ErrorConflict, "fleet is at revision 1, not at 2"},
		{"base of a scope without a document", alter(func(c *Change) { c.Scope = serviceScope }), ErrorConflict, "service/cart is at revision 0"},
		{"another group's scope", alter(func(c *Change) { c.Scope = east }), ErrorNotHere, "region/east is written by the group region-east"},
		{"unknown level", alter(func(c *Change) { c.Scope = Scope{Level: 9} }), ErrorInvalid, "scope"},
		{"invalid name", alter(func(c *Change) { c.Scope = Scope{Level: LevelService, Name: "a/b"} }), ErrorInvalid, "scope"},
		{"empty ID", alter(func(c *Change) { c.ID = "" }), ErrorInvalid, "id: 0 bytes"},
		{"ID too long", alter(func(c *Change) { c.ID = strings.Repeat("x", MaxChangeIDBytes+1) }), ErrorInvalid, "id: 65 bytes"},
		{"author too long", alter(func(c *Change) { c.Author = strings.Repeat("x", MaxNameBytes+1) }), ErrorInvalid, "by: 65 bytes"},
		{"reason too long", alter(func(c *Change) { c.Reason = strings.Repeat("x", maxReasonBytes+1) }), ErrorInvalid, "why: 1025 bytes"},
		{"invalid time", alter(func(c *Change) { c.At = "yesterday" }), ErrorInvalid, "at: "},
		{"no document", alter(func(c *Change) { c.Document = nil }), ErrorInvalid, ""},
		{"invalid document", alter(func(c *Change) { c.Document = json.RawMessage(`{"format":1,"limits":{"attempts":0}}`) }),
			ErrorInvalid, "limits.attempts: 0 is not within"},
		{"document too long", alter(func(c *Change) { c.Document = longDocument(400, 1).Canonical() }), ErrorInvalid, "over 16384"},
	} {
		r := NewRegistry(FleetGroup)
		mustPut(t, r, 1, newChange("first", Fleet, 0, &Document{Format: 1}))
		before, _ := r.Snapshot()
		if body := wantErrorKind(t, c.name+": check", r.Check(c.change), c.kind); !strings.Contains(body.Message, c.wantMessage) {
			t.Errorf("%s: check: message %q doesn't contain %q", c.name, body.Message, c.wantMessage)
		}
		after, _ := r.Snapshot()
		if string(before) != string(after) {
			t.Errorf("%s: Check has changed the state", c.name)
		}
		_, err := put(t, r, 1, c.change)
		if body := wantErrorKind(t, c.name+": apply", err, c.kind); !strings.Contains(body.Message, c.wantMessage) {
			t.Errorf("%s: apply: message %q doesn't contain %q", c.name, body.Message, c.wantMessage)
		} else if c.kind == ErrorConflict && c.change.Scope == Fleet && body.Position != (Position{1, 1}) {
			t.Errorf("%s: the conflict's position is %+v", c.name, body.Position)
		}
		if latest, _ := r.Latest(Fleet); latest.Revision != 1 || len(r.Scopes()) != 1 {
			t.Errorf("%s: refused, but the latest revision is %+v", c.name, latest)
		}
	}
}

// ParseScope never returns an invalid Scope, but a caller may construct one, and the registry must refuse it.
func TestRegistryRejectsMalformedScope(t *testing.T) {
	malformed := newChange("odd", Scope{Level: LevelFleet, Name: "a"}, 0, &Document{Format: 1})
	wantErrorKind(t, "fleet scope with a name", NewRegistry(FleetGroup).Check(malformed), ErrorInvalid)
}

func TestRegistryRejectsMalformedCommands(t *testing.T) {
	r := NewRegistry(FleetGroup)
	for _, command := range []string{"", "{", `{"scope":"nowhere"}`, `[]`, "\x00"} {
		_, err := DecodeResult(r.Apply(1, []byte(command)))
		wantErrorKind(t, fmt.Sprintf("%q", command), err, ErrorInvalid)
	}
	for _, result := range []string{"", "{}", "null", "x"} {
		if _, err := DecodeResult([]byte(result)); err == nil {
			t.Errorf("result %q: no error", result)
		}
	}
}

// A change that is sent again because its answer was lost is applied once and gets the same answer.
func TestRegistryAppliesRepeatedChangeOnce(t *testing.T) {
	r := NewRegistry(FleetGroup)
	first := newChange("same", Fleet, 0, mustParse(t, `{"format":1,"limits":{"attempts":2}}`))
	accepted := mustPut(t, r, 3, first)
	mustPut(t, r, 4, newChange("other", Fleet, 1, &Document{Format: 1}))
	again := first
	again.At = "2026-12-02T05:00:00Z" // set by the machine that receives the repeated change
	if got := mustPut(t, r, 5, again); got != accepted {
		t.Errorf("repeated change: %+v, want %+v", got, accepted)
	}
	if latest, _ := r.Latest(Fleet); latest.Revision != 2 {
		t.Errorf("the scope is at revision %d", latest.Revision)
	}

	conflicting := newChange("late", Fleet, 1, &Document{Format: 1})
	_, err := put(t, r, 6, conflicting)
	wantErrorKind(t, "conflict", err, ErrorConflict)
	mustPut(t, r, 6, newChange("third", Fleet, 2, &Document{Format: 1}))
	_, err = put(t, r, 6, conflicting)
	if body := wantErrorKind(t, "conflict again", err, ErrorConflict); body.Revision != 2 {
		t.Errorf("the second answer has revision %d", body.Revision)
	}

	reusedID := newChange("same", serviceScope, 0, &Document{Format: 1})
	_, err = put(t, r, 7, reusedID)
	wantErrorKind(t, "another change with the same ID", err, ErrorInvalid)
	if got := mustPut(t, r, 7, first); got != accepted {
		t.Errorf("first change repeated: %+v", got)
	}
}

func TestRegistryLimitsRememberedChanges(t *testing.T) {
	r := NewRegistry(FleetGroup)
	changes := make([]Change, MaxChangeResults+1)
	for i := range changes {
		changes[i] = newChange(fmt.Sprint("c", i), Fleet, uint64(i), &Document{Format: 1})
		mustPut(t, r, 1, changes[i])
	}
	if len(r.changes.order) != MaxChangeResults || len(r.changes.results) != MaxChangeResults {
		t.Errorf("kept %d IDs and %d results", len(r.changes.order), len(r.changes.results))
	}
	if got := mustPut(t, r, 1, changes[1]); got.Revision != 2 {
		t.Errorf("oldest change that is kept, repeated: %+v", got)
	}
	wantErrorKind(t, "forgotten change", r.Check(changes[0]), ErrorConflict) // the base revision is outdated by now, which keeps the change from being applied twice
}

func TestRegistryLimitsScopes(t *testing.T) {
	r := NewRegistry(FleetGroup)
	for i := range MaxScopes {
		mustPut(t, r, 1, newChange(fmt.Sprint("c", i), Scope{Level: LevelService, Name: fmt.Sprint("s", i)}, 0, &Document{Format: 1}))
	}
	more := newChange("more", serviceScope, 0, &Document{Format: 1})
	body := wantErrorKind(t, "one scope more", r.Check(more), ErrorInvalid)
	_, err := put(t, r, 1, more)
	if again := wantErrorKind(t, "one scope more", err, ErrorInvalid); again.Message != body.Message || len(r.Scopes()) != MaxScopes {
		t.Errorf("%v; %d scopes", again, len(r.Scopes()))
	}
	known := Scope{Level: LevelService, Name: "s0"}
	mustPut(t, r, 1, newChange("known", known, 1, &Document{Format: 1}))
}

func TestRegistryLimitsBytes(t *testing.T) {
	r := NewRegistry(FleetGroup)
	long := longDocument(200, 1)
	length, i := len(long.Canonical()), 0
	for ; (i+1)*length <= MaxGroupBytes; i++ {
		mustPut(t, r, 1, newChange(fmt.Sprint("c", i), Scope{Level: LevelService, Name: fmt.Sprint("s", i)}, 0, long))
	}
	wantErrorKind(t, "more bytes", r.Check(newChange("more", serviceScope, 0, long)), ErrorInvalid)
	_, err := put(t, r, 1, newChange("more", serviceScope, 0, long))
	wantErrorKind(t, "more bytes", err, ErrorInvalid)
	restored := restoredCopy(t, r)
	wantErrorKind(t, "more bytes after a snapshot", restored.Check(newChange("again", serviceScope, 0, long)), ErrorInvalid)
	// If a document replaces another, only the difference in length counts.
	mustPut(t, r, 1, newChange("other", Scope{Level: LevelService, Name: "s0"}, 1, longDocument(200, 2)))
	total := 0
	for _, scope := range r.Scopes() {
		latest, _ := r.Latest(scope)
		total += len(latest.Document)
	}
	if total != r.bytes || total > MaxGroupBytes {
		t.Errorf("documents have %d bytes, the registry counted %d", total, r.bytes)
	}
}

// A replica of an older version of the program applies the entries of a leader with a newer version, also
// documents of a later Format. But its Check refuses to propose such documents, because it can't check them.
func TestRegistryAppliesLaterFormats(t *testing.T) {
	r := NewRegistry(FleetGroup)
	later := newChange("later", Fleet, 0, &Document{Format: 1})
	later.Document = json.RawMessage(`{"novelty":{"x":1},"format":2}`)
	wantErrorKind(t, "check", r.Check(later), ErrorInvalid)
	if _, err := put(t, r, 1, later); err != nil {
		t.Fatal(err)
	}
	if latest, _ := r.Latest(Fleet); string(latest.Document) != `{"format":2,"novelty":{"x":1}}` {
		t.Errorf("document %s", latest.Document)
	}
}

// randomChange returns a change of a random scope that the registry accepts in most cases. Some changes have
// the ID of an earlier one, the wrong base, or an invalid or long document.
func randomChange(seed uint64, i int, r *Registry) Change {
	rng := newRand(seed<<16 + uint64(i))
	scopes := []Scope{Fleet, serviceScope, {Level: LevelService, Name: "search"}, {Level: LevelRegion, Region: "east"}}
	scope := scopes[min(rng.IntN(8), rng.IntN(len(scopes)))]
	latest, _ := r.Latest(scope)
	c := newChange(fmt.Sprint("c", i-i*rng.IntN(2)/(1+rng.IntN(9))), scope, latest.Revision, randomDocument(rng))
	switch rng.IntN(10) {
	case 0:
		c.Base += uint64(rng.IntN(3)) - 1
	case 1:
		c.Document = json.RawMessage(`{"format":1,"limits":{"attempts":0}}`)
	case 2:
		c.Document = longDocument(1+rng.IntN(300), float64(i+1)).Canonical()
	}
	return c
}

// Replicas that apply the same log have equal snapshots, although one of them is repeatedly replaced by a
// copy restored from its snapshot. Apply accepts each new change that Check has accepted.
func TestRegistryReplicasAgree(t *testing.T) {
	accepted, refused := 0, 0
	for seed := range uint64(20) {
		a, b := NewRegistry(FleetGroup), NewRegistry(FleetGroup)
		for i := range 120 {
			c := randomChange(seed, i, a)
			known := a.changes.has(c.ID)
			passes := a.Check(c) == nil
			command, err := EncodeChange(c)
			if err != nil {
				t.Fatal(err)
			}
			resultA, resultB := a.Apply(uint64(i+1), command), b.Apply(uint64(i+1), command)
			if string(resultA) != string(resultB) {
				t.Fatalf("seed %d, change %d: %s and %s", seed, i, resultA, resultB)
			}
			if _, err := DecodeResult(resultA); err == nil {
				accepted++
			} else if refused++; passes && !known {
				t.Fatalf("seed %d, change %d: Check accepted it, Apply returned %v", seed, i, err)
			}
			if i%10 == 9 {
				b = restoredCopy(t, b)
			}
			a.Updates(Fleet, Position{Revision: uint64(i / 2), Epoch: uint64(i)}) // must not change the state
			snapshotA, _ := a.Snapshot()
			snapshotB, _ := b.Snapshot()
			if string(snapshotA) != string(snapshotB) {
				t.Fatalf("seed %d, change %d: the snapshots differ", seed, i)
			}
		}
	}
	t.Logf("%d accepted, %d refused", accepted, refused)
	if accepted < 100 || refused < 100 {
		t.Errorf("%d accepted and %d refused, want at least 100 of each", accepted, refused)
	}
}

// restoredCopy returns a registry restored from the snapshot of r.
func restoredCopy(t *testing.T, r *Registry) *Registry {
	t.Helper()
	snapshot, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewRegistry(FleetGroup)
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	return restored
}

func TestRegistryRestoreRejectsInvalidSnapshots(t *testing.T) {
	r := NewRegistry(FleetGroup)
	mustPut(t, r, 1, newChange("first", Fleet, 0, mustParse(t, `{"format":1,"limits":{"attempts":2}}`)))
	good, _ := r.Snapshot()
	for _, c := range []struct{ old, new, wantMessage string }{
		{`"format":1,"group"`, `"format":2,"group"`, "format 2"},
		{`"group":"fleet"`, `"group":"region-east"`, "region-east"},
		{`"attempts":2`, `"attempts":3`, "digest"},
		{`}`, ``, "snapshot"},
		{`"scope":"fleet","revision"`, `"scope":"region/east","revision"`, "written by the group"},
	} {
		bad := strings.Replace(string(good), c.old, c.new, 1)
		if bad == string(good) {
			t.Fatalf("%s isn't in the snapshot %s", c.old, good)
		}
		if err := r.Restore([]byte(bad)); err == nil || !strings.Contains(err.Error(), c.wantMessage) {
			t.Errorf("%s: error %v", c.new, err)
		}
		if after, _ := r.Snapshot(); string(after) != string(good) {
			t.Errorf("%s: refused, but the state has changed", c.new)
		}
	}
}
