package configuration

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// applyUpdates applies updates to the text of a document as a Follower would, and returns the text after them
// with the last update's digest.
func applyUpdates(t *testing.T, document []byte, updates []Update) (after []byte, digest string) {
	t.Helper()
	text := ""
	for i, u := range updates {
		u = roundTrip(t, u)
		if u.More != (i < len(updates)-1) {
			t.Fatalf("update %d of %d has More %v", i, len(updates), u.More)
		}
		switch {
		case u.Parts > 1:
			if text += u.Text; u.Part != i || u.Parts != len(updates) {
				t.Fatalf("part %d of %d comes as update %d of %d", u.Part, u.Parts, i, len(updates))
			}
			document = []byte(text)
		case u.From > 0:
			patched, err := ApplyPatch(document, u.Patch)
			if err != nil {
				t.Fatal(err)
			}
			document = patched
		default:
			document = u.Patch
		}
		digest = u.Digest
	}
	return document, digest
}

// The updates that the registry returns for an agent at any earlier position lead to the latest document.
func TestUpdatesReachLatestRevision(t *testing.T) {
	patches, wholes, parts := 0, 0, 0
	for seed := range uint64(4) {
		r := NewRegistry(FleetGroup)
		rng := newRand(seed)
		type pastRevision struct {
			at       Position
			document []byte
		}
		history := []pastRevision{{}}
		document := longDocument(rng.IntN(120), 1)
		for i := range uint64(100) {
			for name := range document.Classes { // change some classes at random
				if rng.IntN(20) == 0 {
					document.Classes[name] = ClassDocument{AimMs: pointer(float64(rng.IntN(1000) + 1))}
				}
			}
			if rng.IntN(20) == 0 {
				document = longDocument(rng.IntN(120), float64(i+1))
			}
			accepted := mustPut(t, r, 1+i/10, newChange(fmt.Sprint("c", i), Fleet, i, document))
			latest, _ := r.Latest(Fleet)
			history = append(history, pastRevision{accepted.Position, latest.Document})
			for n := range 20 { // the last ten positions, then random ones
				earlier := history[max(0, len(history)-1-n)]
				if n >= 10 {
					earlier = history[rng.IntN(len(history))]
				}
				updates := r.Updates(Fleet, earlier.at)
				if earlier.at == accepted.Position {
					if len(updates) > 0 {
						t.Fatalf("seed %d: at the latest position there are updates %+v", seed, updates)
					}
					continue
				}
				got, digest := applyUpdates(t, earlier.document, updates)
				if string(got) != string(latest.Document) || digest != latest.Digest {
					t.Fatalf("seed %d: from %+v to %+v: %s, want %s", seed, earlier.at, accepted.Position, got, latest.Document)
				}
				switch {
				case len(updates) > 1:
					parts++
				case updates[0].From > 0:
					patches++
				default:
					wholes++
				}
			}
			if steps := r.scopes[Fleet].reversePatches; len(steps) > MaxReversePatches {
				t.Fatalf("seed %d: %d reverse patches are kept", seed, len(steps))
			}
		}
	}
	t.Logf("%d patches, %d whole, %d in parts", patches, wholes, parts)
	if patches < 1000 || wholes < 300 || parts < 1000 {
		t.Errorf("%d patches, %d whole, %d in parts: want at least 1000, 300 and 1000", patches, wholes, parts)
	}
}

func TestUpdatesPatchOnlyKnownPositions(t *testing.T) {
	r := NewRegistry(FleetGroup)
	document := longDocument(100, 1)
	for i := range uint64(MaxReversePatches + 10) {
		document.Classes["scan"] = ClassDocument{Worth: pointer(float64(i))}
		mustPut(t, r, 7, newChange(fmt.Sprint("c", i), Fleet, i, document))
	}
	latest, _ := r.Latest(Fleet)
	oldest := latest.Revision - MaxReversePatches
	for _, c := range []struct {
		name  string
		have  Position
		whole bool
	}{
		{"one behind", Position{latest.Revision - 1, 7}, false},
		{"oldest kept revision", Position{oldest, 7}, false},
		{"older than the oldest kept revision", Position{oldest - 1, 7}, true},
		{"another epoch", Position{latest.Revision - 1, 6}, true},
		{"requests the whole document", Position{latest.Revision - 1, 0}, true},
		{"no revision", Position{}, true},
	} {
		updates := r.Updates(Fleet, c.have)
		if len(updates) == 0 || len(updates) > 1 && !c.whole {
			t.Fatalf("%s: %d updates", c.name, len(updates))
		}
		if u := updates[0]; (u.From == 0) != c.whole || u.From > 0 && u.From != c.have.Revision {
			t.Errorf("%s: update from revision %d", c.name, u.From)
		}
	}
	for _, have := range []Position{latest.Position, {latest.Revision, 0}, {latest.Revision + 5, 9}} {
		if updates := r.Updates(Fleet, have); len(updates) > 0 {
			t.Errorf("from %+v: %+v", have, updates)
		}
	}
	if updates := r.Updates(serviceScope, Position{}); len(updates) > 0 {
		t.Errorf("updates of a scope without a document: %+v", updates)
	}
}

// A patch longer than the whole document isn't sent, and the stored reverse patches are no longer than the
// document.
func TestUpdatesSendShorterOfPatchAndWhole(t *testing.T) {
	r := NewRegistry(FleetGroup)
	mustPut(t, r, 1, newChange("long", Fleet, 0, longDocument(40, 1)))
	mustPut(t, r, 1, newChange("short", Fleet, 1, mustParse(t, `{"format":1}`)))
	updates := r.Updates(Fleet, Position{1, 1})
	if len(updates) != 1 || updates[0].From != 0 || string(updates[0].Patch) != `{"format":1}` {
		t.Errorf("updates %+v", updates)
	}
	for i := range uint64(50) {
		mustPut(t, r, 1, newChange(fmt.Sprint("c", i), Fleet, 2+i, longDocument(30, float64(i+1))))
		total := 0
		for _, step := range r.scopes[Fleet].reversePatches {
			total += len(step.Patch)
		}
		if latest, _ := r.Latest(Fleet); total > len(latest.Document) {
			t.Fatalf("%d bytes of reverse patches for a document of %d bytes", total, len(latest.Document))
		}
	}
}

// A patch isn't sent either if it is longer than an update may be, or if removed fields make it longer than
// the whole.
func TestUpdatesOmitLongPatches(t *testing.T) {
	r := NewRegistry(FleetGroup)
	before, after := longDocument(150, 1), longDocument(150, 1)
	for i, name := 0, ""; i < 60; i++ {
		name = fmt.Sprintf("class-%04d-é<%d>", i, i)
		after.Classes[name] = ClassDocument{AimMs: pointer(2.0), Worth: pointer(0.5)}
	}
	mustPut(t, r, 1, newChange("before", Fleet, 0, before))
	mustPut(t, r, 1, newChange("after", Fleet, 1, after))
	patch, err := MakePatch(before.Canonical(), after.Canonical())
	if err != nil || len(patch) <= MaxPartBytes || len(patch) >= len(after.Canonical()) {
		t.Fatalf("patch of %d bytes, want one over MaxPartBytes and shorter than the document (%v)", len(patch), err)
	}
	if updates := r.Updates(Fleet, Position{1, 1}); len(updates) < 2 || updates[0].From != 0 {
		t.Errorf("%d updates, the first from %d", len(updates), updates[0].From)
	}

	mustPut(t, r, 1, newChange("two", serviceScope, 0, mustParse(t, `{"format":1,"classes":{"x1":{"worth":1},"x2":{"worth":1}}}`)))
	mustPut(t, r, 1, newChange("one", serviceScope, 1,
		mustParse(t, `{"format":1,"classes":{"y":{"aim_ms":10,"deadline_ms":20,"late_worth":0.5,"worth":1}}}`)))
	if len(r.scopes[serviceScope].reversePatches) != 1 {
		t.Fatal("no reverse patch is kept")
	}
	if updates := r.Updates(serviceScope, Position{1, 1}); len(updates) != 1 || updates[0].From != 0 {
		t.Errorf("updates %+v", updates)
	}
}

// Each line of a watch is at most PaceBurst long, the number of bytes that may be sent at once, whatever
// characters the document has.
func TestUpdatesFitInBurst(t *testing.T) {
	for _, text := range []string{"x", `"`, `\`, "<", "é", "\u2028", "\x01", "😀"} {
		r := NewRegistry(FleetGroup)
		document := &Document{Format: Format, Classes: map[string]ClassDocument{}}
		name := strings.Repeat(text, (MaxNameBytes-4)/len(text))
		for i := 0; ; i++ {
			document.Classes[fmt.Sprintf("%04d%s", i, name)] = ClassDocument{Worth: pointer(1.0)}
			if len(document.Canonical()) > MaxDocumentBytes {
				delete(document.Classes, fmt.Sprintf("%04d%s", i, name))
				break
			}
		}
		mustPut(t, r, 1<<60, newChange("c", Fleet, 0, document))
		updates := r.Updates(Fleet, Position{})
		if len(updates) < 8 {
			t.Fatalf("%q: %d parts", text, len(updates))
		}
		for _, u := range updates {
			line, err := json.Marshal(u)
			if err != nil || len(line) >= PaceBurst {
				t.Fatalf("%q: a line of %d bytes (%v)", text, len(line), err)
			}
		}
		latest, _ := r.Latest(Fleet)
		if got, _ := applyUpdates(t, nil, updates); string(got) != string(latest.Document) {
			t.Fatalf("%q: the parts don't add up to the document", text)
		}
	}
}
