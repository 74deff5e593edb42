package configuration

import (
	"testing"
)

// The cases of RFC 7396, appendix A, in which both texts are objects.
func TestApplyPatchRFCExamples(t *testing.T) {
	for _, c := range []struct{ document, patch, want string }{
		{`{"a":"b"}`, `{"a":"c"}`, `{"a":"c"}`},
		{`{"a":"b"}`, `{"b":"c"}`, `{"a":"b","b":"c"}`},
		{`{"a":"b"}`, `{"a":null}`, `{}`},
		{`{"a":"b","b":"c"}`, `{"a":null}`, `{"b":"c"}`},
		{`{"a":["b"]}`, `{"a":"c"}`, `{"a":"c"}`},
		{`{"a":"c"}`, `{"a":["b"]}`, `{"a":["b"]}`},
		{`{"a":{"b":"c"}}`, `{"a":{"b":"d","c":null}}`, `{"a":{"b":"d"}}`},
		{`{"a":[{"b":"c"}]}`, `{"a":[1]}`, `{"a":[1]}`},
		{`{"e":null}`, `{"a":1}`, `{"a":1,"e":null}`},
		{`{}`, `{"a":{"bb":{"ccc":null}}}`, `{"a":{"bb":{}}}`},
	} {
		got, err := ApplyPatch([]byte(c.document), []byte(c.patch))
		if err != nil || string(got) != c.want {
			t.Errorf("%s with %s: %s (%v), want %s", c.document, c.patch, got, err, c.want)
		}
	}
}

func TestPatchesRejectNonObjects(t *testing.T) {
	for _, c := range []struct{ a, b string }{{`[]`, `{}`}, {`{}`, `3`}, {``, `{}`}, {`{}`, `{} {}`}, {`{}`, `{"a":`}} {
		if got, err := ApplyPatch([]byte(c.a), []byte(c.b)); err == nil {
			t.Errorf("%q with %q: %s", c.a, c.b, got)
		}
		if got, err := MakePatch([]byte(c.a), []byte(c.b)); err == nil {
			t.Errorf("from %q to %q: %s", c.a, c.b, got)
		}
	}
}

func TestPatchRoundTrip(t *testing.T) {
	for seed := range uint64(500) {
		rng := newRand(seed)
		from, to := randomDocument(rng).Canonical(), randomDocument(rng).Canonical()
		patch, err := MakePatch(from, to)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		got, err := ApplyPatch(from, patch)
		if err != nil || string(got) != string(to) {
			t.Fatalf("seed %d: %s with %s is %s (%v), want %s", seed, from, patch, got, err, to)
		}
		if same, _ := MakePatch(to, to); string(same) != "{}" {
			t.Fatalf("seed %d: from %s to itself: %s", seed, to, same)
		}
	}
}

// Patches keep fields, and the digits of numbers, that this program doesn't know.
func TestPatchesPreserveUnknownFields(t *testing.T) {
	from, to := `{"format":9,"novelty":{"a":[1,2],"b":0.30000000000000004}}`, `{"format":9,"novelty":{"b":123456789012345678901}}`
	patch, err := MakePatch([]byte(from), []byte(to))
	if err != nil || string(patch) != `{"novelty":{"a":null,"b":123456789012345678901}}` {
		t.Fatalf("patch %s (%v)", patch, err)
	}
	if got, err := ApplyPatch([]byte(from), patch); err != nil || string(got) != to {
		t.Errorf("patched %s (%v)", got, err)
	}
}
