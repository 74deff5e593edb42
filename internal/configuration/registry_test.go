package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

var service = Scope{Level: LevelService, Name: "cart"}

func wantKind(t *testing.T, what string, err error, kind ErrorKind) *ErrorBody {
	t.Helper()
	var body *ErrorBody
	if !errors.As(err, &body) || body.Kind != kind {
		t.Errorf("%s: error %v, want one of kind %s", what, err, kind)
		return &ErrorBody{}
	}
	return body
}

func TestRegistryGivesRevisionsInOrder(t *testing.T) {
	r := NewRegistry(FleetGroup)
	var told []Revision
	r.OnRevision = func(revision Revision) { told = append(told, revision) }
	for i := range uint64(5) {
		d := mustParse(t, fmt.Sprintf(`{"format":1,"limits":{"attempts":%d}}`, i+1))
		accepted := mustPut(t, r, 10+i, change(fmt.Sprint("c", i), Fleet, i, d))
		want := Accepted{Scope: Fleet, Position: Position{Revision: i + 1, Epoch: 10 + i}, Digest: Digest(d.Canonical())}
		if accepted != want {
			t.Fatalf("accepted %+v, want %+v", accepted, want)
		}
		latest, ok := r.Revision(Fleet)
		if !ok || latest.Position != want.Position || string(latest.Document) != string(d.Canonical()) ||
			latest.Digest != want.Digest || latest.Change != fmt.Sprint("c", i) || latest.By != "ana" {
			t.Fatalf("latest %+v", latest)
		}
		if len(told) != int(i)+1 || !reflect.DeepEqual(told[i], latest) {
			t.Fatalf("told %+v", told)
		}
	}
	mustPut(t, r, 20, change("s", service, 0, &Document{Format: 1}))
	if got := r.Scopes(); !reflect.DeepEqual(got, []Scope{Fleet, service}) {
		t.Errorf("scopes %v", got)
	}
	if _, ok := r.Revision(Scope{Level: LevelService, Name: "none"}); ok {
		t.Error("a scope without a document has a revision")
	}
}

func TestRegistryRefuses(t *testing.T) {
	d := mustParse(t, `{"format":1,"limits":{"attempts":2}}`)
	good := change("next", Fleet, 1, d)
	alter := func(f func(c *Change)) Change {
		c := good
		f(&c)
		return c
	}
	east := Scope{Level: LevelRegion, Region: "east"}
	for _, c := range []struct {
		what   string
		change Change
		kind   ErrorKind
		says   string
	}{
		{"base before", alter(func(c *Change) { c.Base = 0 }), ErrorConflict, "fleet is at revision 1, not at 0"},
		{"base after", alter(func(c *Change) { c.Base = 2 }), ErrorConflict, "fleet is at revision 1, not at 2"},
		{"base of a scope without a document", alter(func(c *Change) { c.Scope = service }), ErrorConflict, "service/cart is at revision 0"},
		{"another group's scope", alter(func(c *Change) { c.Scope = east }), ErrorNotHere, "region/east is written by the group region-east"},
		{"no scope", alter(func(c *Change) { c.Scope = Scope{Level: 9} }), ErrorInvalid, "scope"},
		{"a bad name", alter(func(c *Change) { c.Scope = Scope{Level: LevelService, Name: "a/b"} }), ErrorInvalid, "scope"},
		{"no identity", alter(func(c *Change) { c.ID = "" }), ErrorInvalid, "id: 0 bytes"},
		{"long identity", alter(func(c *Change) { c.ID = strings.Repeat("x", ChangeIDMost+1) }), ErrorInvalid, "id: 65 bytes"},
		{"long name", alter(func(c *Change) { c.By = strings.Repeat("x", NameMost+1) }), ErrorInvalid, "by: 65 bytes"},
		{"long reason", alter(func(c *Change) { c.Why = strings.Repeat("x", whyMost+1) }), ErrorInvalid, "why: 1025 bytes"},
		{"no time", alter(func(c *Change) { c.At = "yesterday" }), ErrorInvalid, "at: "},
		{"no document", alter(func(c *Change) { c.Document = nil }), ErrorInvalid, ""},
		{"bad document", alter(func(c *Change) { c.Document = json.RawMessage(`{"format":1,"limits":{"attempts":0}}`) }),
			ErrorInvalid, "limits.attempts: 0 is not within"},
		{"long document", alter(func(c *Change) { c.Document = longDocument(400, 1).Canonical() }), ErrorInvalid, "over 16384"},
	} {
		r := NewRegistry(FleetGroup)
		mustPut(t, r, 1, change("first", Fleet, 0, &Document{Format: 1}))
		before, _ := r.Snapshot()
		if body := wantKind(t, c.what+": check", r.Check(c.change), c.kind); !strings.Contains(body.Message, c.says) {
			t.Errorf("%s: check: %q doesn't say %q", c.what, body.Message, c.says)
		}
		after, _ := r.Snapshot()
		if string(before) != string(after) {
			t.Errorf("%s: Check has changed the state", c.what)
		}
		_, err := put(t, r, 1, c.change)
		if body := wantKind(t, c.what+": apply", err, c.kind); !strings.Contains(body.Message, c.says) {
			t.Errorf("%s: apply: %q doesn't say %q", c.what, body.Message, c.says)
		} else if c.kind == ErrorConflict && c.change.Scope == Fleet && body.Position != (Position{1, 1}) {
			t.Errorf("%s: the conflict's position is %+v", c.what, body.Position)
		}
		if latest, _ := r.Revision(Fleet); latest.Revision != 1 || len(r.Scopes()) != 1 {
			t.Errorf("%s: refused, but the state is %+v", c.what, latest)
		}
	}
}

// A scope that no text stands for can't come over the wire, but a caller may make one.
func TestRegistryChecksScopesMadeByHand(t *testing.T) {
	odd := change("odd", Scope{Level: LevelFleet, Name: "a"}, 0, &Document{Format: 1})
	wantKind(t, "a fleet with a name", NewRegistry(FleetGroup).Check(odd), ErrorInvalid)
}

func TestRegistryRefusesWhatIsNoChange(t *testing.T) {
	r := NewRegistry(FleetGroup)
	for _, command := range []string{"", "{", `{"scope":"nowhere"}`, `[]`, "\x00"} {
		_, err := DecodeResult(r.Apply(1, []byte(command)))
		wantKind(t, fmt.Sprintf("%q", command), err, ErrorInvalid)
	}
	for _, result := range []string{"", "{}", "null", "x"} {
		if _, err := DecodeResult([]byte(result)); err == nil {
			t.Errorf("result %q: no error", result)
		}
	}
}

// A change that is sent again, because its answer was lost, is done once and gets the same answer.
func TestRegistryDoesAChangeOnce(t *testing.T) {
	r := NewRegistry(FleetGroup)
	first := change("same", Fleet, 0, mustParse(t, `{"format":1,"limits":{"attempts":2}}`))
	accepted := mustPut(t, r, 3, first)
	mustPut(t, r, 4, change("other", Fleet, 1, &Document{Format: 1}))
	again := first
	again.At = "2026-12-02T05:00:00Z" // by the machine that takes it this time
	if got := mustPut(t, r, 5, again); got != accepted {
		t.Errorf("sent again it is %+v, not %+v", got, accepted)
	}
	if latest, _ := r.Revision(Fleet); latest.Revision != 2 {
		t.Errorf("the scope is at revision %d", latest.Revision)
	}

	conflicting := change("late", Fleet, 1, &Document{Format: 1})
	_, err := put(t, r, 6, conflicting)
	wantKind(t, "conflict", err, ErrorConflict)
	mustPut(t, r, 6, change("third", Fleet, 2, &Document{Format: 1}))
	_, err = put(t, r, 6, conflicting)
	if body := wantKind(t, "conflict again", err, ErrorConflict); body.Revision != 2 {
		t.Errorf("the second answer has revision %d", body.Revision)
	}

	stolen := change("same", service, 0, &Document{Format: 1})
	_, err = put(t, r, 7, stolen)
	wantKind(t, "another change with its identity", err, ErrorInvalid)
	if got := mustPut(t, r, 7, first); got != accepted {
		t.Errorf("then it is %+v", got)
	}
}

func TestRegistryKeepsSoManyChanges(t *testing.T) {
	r := NewRegistry(FleetGroup)
	all := make([]Change, ChangesKept+1)
	for i := range all {
		all[i] = change(fmt.Sprint("c", i), Fleet, uint64(i), &Document{Format: 1})
		mustPut(t, r, 1, all[i])
	}
	if len(r.changes.order) != ChangesKept || len(r.changes.results) != ChangesKept {
		t.Errorf("%d and %d are kept", len(r.changes.order), len(r.changes.results))
	}
	if got := mustPut(t, r, 1, all[1]); got.Revision != 2 {
		t.Errorf("the oldest that is kept: %+v", got)
	}
	wantKind(t, "one that is forgotten", r.Check(all[0]), ErrorConflict) // never done twice all the same
}

func TestRegistryBoundsItsScopes(t *testing.T) {
	r := NewRegistry(FleetGroup)
	for i := range ScopesMost {
		mustPut(t, r, 1, change(fmt.Sprint("c", i), Scope{Level: LevelService, Name: fmt.Sprint("s", i)}, 0, &Document{Format: 1}))
	}
	more := change("more", service, 0, &Document{Format: 1})
	body := wantKind(t, "one scope more", r.Check(more), ErrorInvalid)
	_, err := put(t, r, 1, more)
	if again := wantKind(t, "one scope more", err, ErrorInvalid); again.Message != body.Message || len(r.Scopes()) != ScopesMost {
		t.Errorf("%v; %d scopes", again, len(r.Scopes()))
	}
	known := Scope{Level: LevelService, Name: "s0"}
	mustPut(t, r, 1, change("known", known, 1, &Document{Format: 1}))
}

func TestRegistryBoundsItsBytes(t *testing.T) {
	r := NewRegistry(FleetGroup)
	big := longDocument(200, 1)
	length, i := len(big.Canonical()), 0
	for ; (i+1)*length <= GroupMost; i++ {
		mustPut(t, r, 1, change(fmt.Sprint("c", i), Scope{Level: LevelService, Name: fmt.Sprint("s", i)}, 0, big))
	}
	wantKind(t, "more bytes", r.Check(change("more", service, 0, big)), ErrorInvalid)
	_, err := put(t, r, 1, change("more", service, 0, big))
	wantKind(t, "more bytes", err, ErrorInvalid)
	restored := restoredCopy(t, r)
	wantKind(t, "more bytes after a snapshot", restored.Check(change("again", service, 0, big)), ErrorInvalid)
	// A document in place of another counts for the difference.
	mustPut(t, r, 1, change("other", Scope{Level: LevelService, Name: "s0"}, 1, longDocument(200, 2)))
	total := 0
	for _, scope := range r.Scopes() {
		latest, _ := r.Revision(scope)
		total += len(latest.Document)
	}
	if total != r.bytes || total > GroupMost {
		t.Errorf("%d bytes by sum, %d by count", total, r.bytes)
	}
}

// A replica of an older version follows the log of a newer one's leader, but proposes nothing that it can't check.
func TestRegistryFollowsLaterFormats(t *testing.T) {
	r := NewRegistry(FleetGroup)
	later := change("later", Fleet, 0, &Document{Format: 1})
	later.Document = json.RawMessage(`{"novelty":{"x":1},"format":2}`)
	wantKind(t, "check", r.Check(later), ErrorInvalid)
	if _, err := put(t, r, 1, later); err != nil {
		t.Fatal(err)
	}
	if latest, _ := r.Revision(Fleet); string(latest.Document) != `{"format":2,"novelty":{"x":1}}` {
		t.Errorf("document %s", latest.Document)
	}
}

// randomChange is mostly one that passes.
func randomChange(seed uint64, i int, r *Registry) Change {
	rng := newRand(seed<<16 + uint64(i))
	scopes := []Scope{Fleet, service, {Level: LevelService, Name: "search"}, {Level: LevelRegion, Region: "east"}}
	scope := scopes[min(rng.IntN(8), rng.IntN(len(scopes)))]
	latest, _ := r.Revision(scope)
	c := change(fmt.Sprint("c", i-i*rng.IntN(2)/(1+rng.IntN(9))), scope, latest.Revision, randomDocument(rng))
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

// Replicas that apply the same log are equal, also one that begins with a snapshot somewhere; and what Check passes
// Apply accepts.
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
				t.Fatalf("seed %d, change %d: Check passes it, Apply says %v", seed, i, err)
			}
			if i%10 == 9 {
				b = restoredCopy(t, b)
			}
			a.Updates(Fleet, Position{Revision: uint64(i / 2), Epoch: uint64(i)}) // asking changes nothing
			snapshotA, _ := a.Snapshot()
			snapshotB, _ := b.Snapshot()
			if string(snapshotA) != string(snapshotB) {
				t.Fatalf("seed %d, change %d: the snapshots differ", seed, i)
			}
		}
	}
	t.Logf("%d accepted, %d refused", accepted, refused)
	if accepted < 100 || refused < 100 {
		t.Errorf("%d accepted and %d refused don't reach what this is for", accepted, refused)
	}
}

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

func TestRegistryRestoreRefuses(t *testing.T) {
	r := NewRegistry(FleetGroup)
	mustPut(t, r, 1, change("first", Fleet, 0, mustParse(t, `{"format":1,"limits":{"attempts":2}}`)))
	good, _ := r.Snapshot()
	for _, c := range []struct{ old, new, says string }{
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
		if err := r.Restore([]byte(bad)); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: error %v", c.new, err)
		}
		if after, _ := r.Snapshot(); string(after) != string(good) {
			t.Errorf("%s: refused, but the state has changed", c.new)
		}
	}
}
