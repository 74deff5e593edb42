package configuration

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"lemonrail/balance"
)

func TestParseDocumentReadsAllFields(t *testing.T) {
	text := `{"format":1,
		"classes":{"point-read":{"aim_ms":40,"deadline_ms":300.5,"worth":2,"late_worth":0.5}},
		"tenants":{"web":{"per_second":50,"portion":1}},
		"limits":{"attempts":2,"second_copies":false,"max_retry_after_ms":1000,"over_share_worth":0.1},
		"cold":{"from":0.2,"ramp_ms":5000,"fall_multiple":2,"fall_ms":250}}`
	d := mustParse(t, text)
	want := &Document{
		Format:  1,
		Classes: map[string]ClassDocument{"point-read": {pointer(40.0), pointer(300.5), pointer(2.0), pointer(0.5)}},
		Tenants: map[string]TenantDocument{"web": {pointer(50.0), pointer(1.0)}},
		Limits:  &LimitsDocument{pointer(2), pointer(false), pointer(1000.0), pointer(0.1)},
		Cold:    &ColdDocument{pointer(0.2), pointer(5000.0), pointer(2.0), pointer(250.0)},
	}
	if !reflect.DeepEqual(d, want) {
		t.Errorf("parsed %s", d.Canonical())
	}
}

func TestParseDocumentNamesTheFieldItRefuses(t *testing.T) {
	for _, c := range []struct{ text, wantPrefix string }{
		{``, "document: byte 0: "},
		{`{"format":1`, "document: byte 11: "},
		{`{"format":1} {}`, "document: byte 14: "},
		{`[]`, "document: no object"},
		{`null`, "format: missing"},
		{`{}`, "format: missing"},
		{`{"format":0}`, "format: 0 "},
		{`{"format":-1}`, "format: -1 "},
		{`{"format":"1"}`, "format: no number"},
		{`{"format":1.5}`, "format: 1.5 is no whole number"},
		{`{"format":2}`, "format: 2 is later than 1"},
		{`{"format":2,"novelty":{"x":1}}`, "format: 2 is later than 1"},
		{`{"format":1,"format":1}`, "format: twice"},
		{`{"format":1,"Limits":{}}`, "Limits: unknown field"},
		{`{"format":1,"limits":null}`, "limits: null; "},
		{`{"format":1,"limits":3}`, "limits: no object"},
		{`{"format":1,"limits":{"tries":3}}`, "limits.tries: unknown field"},
		{`{"format":1,"limits":{"attempts":2.5}}`, "limits.attempts: 2.5 is no whole number"},
		{`{"format":1,"limits":{"attempts":0}}`, "limits.attempts: 0 is not within 1 and 64"},
		{`{"format":1,"limits":{"attempts":65}}`, "limits.attempts: 65 is not within 1 and 64"},
		{`{"format":1,"limits":{"second_copies":1}}`, "limits.second_copies: neither true nor false"},
		{`{"format":1,"limits":{"over_share_worth":1.01}}`, "limits.over_share_worth: 1.01 is not within 0 and 1"},
		{`{"format":1,"limits":{"max_retry_after_ms":1e300}}`, "limits.max_retry_after_ms: 1e+300 is not within"},
		{`{"format":1,"classes":[]}`, "classes: no object"},
		{`{"format":1,"classes":{"point-read":7}}`, "classes.point-read: no object"},
		{`{"format":1,"classes":{"":{}}}`, `classes.: "" is no name`},
		{`{"format":1,"classes":{"point-read":{"aim_ms":"40"}}}`, "classes.point-read.aim_ms: no number"},
		{`{"format":1,"classes":{"point-read":{"aim_ms":0}}}`, "classes.point-read.aim_ms: 0 is not within 0.001 and 8.64e+07"},
		{`{"format":1,"classes":{"point-read":{"aim_ms":-1}}}`, "classes.point-read.aim_ms: -1 is not within"},
		{`{"format":1,"classes":{"point-read":{"aim_ms":1e999}}}`, "classes.point-read.aim_ms: 1e999 is no number"},
		{`{"format":1,"classes":{"point-read":{"aim_ms":1,"aim_ms":2}}}`, "classes.point-read.aim_ms: twice"},
		{`{"format":1,"classes":{"point-read":{"late_worth":1.5}}}`, "classes.point-read.late_worth: 1.5 is not within 0 and 1"},
		{`{"format":1,"classes":{"point-read":{"worth":-0}}}`, "classes.point-read.worth: -0 is not within"},
		{`{"format":1,"tenants":{"web":{"portion":2}}}`, "tenants.web.portion: 2 is not within 0 and 1"},
		{`{"format":1,"cold":{"from":0}}`, "cold.from: 0 is not within 0.001 and 1"},
		{`{"format":1,"cold":{"ramp_ms":true}}`, "cold.ramp_ms: no number"},
		{"{\"format\":1,\"classes\":{\"\xff\":{}}}", "document: not UTF-8"},
		{`{"format":1,"classes":{"` + strings.Repeat("x", MaxDocumentBytes) + `":{}}}`, "document: 16"},
	} {
		d, err := ParseDocument([]byte(c.text))
		if err == nil {
			t.Errorf("%.80s: parsed as %s", c.text, d.Canonical())
		} else if !strings.HasPrefix(err.Error(), c.wantPrefix) {
			t.Errorf("%.80s: error %v, want prefix %q", c.text, err, c.wantPrefix)
		}
	}
}

// MaxDocumentBytes applies to the canonical text, which is what is stored and sent. That text may be longer
// than the input, because JSON escapes characters such as "<".
func TestParseDocumentBoundsTheCanonicalText(t *testing.T) {
	var classes []string
	for i := range 200 {
		classes = append(classes, fmt.Sprintf(`"%s%04d":{"worth":1}`, strings.Repeat("<", 30), i))
	}
	text := `{"format":1,"classes":{` + strings.Join(classes, ",") + `}}`
	if len(text) > MaxDocumentBytes {
		t.Fatalf("the text already has %d bytes", len(text))
	}
	if _, err := ParseDocument([]byte(text)); err == nil || !strings.Contains(err.Error(), "over 16384") {
		t.Errorf("error %v", err)
	}
}

func TestCanonicalTextIsUnique(t *testing.T) {
	a := mustParse(t, `{"limits":{"second_copies":true,"attempts":2},"format":1,"classes":{"scan":{"aim_ms":100.0},"point-read":{}},"cold":{}}`)
	b := mustParse(t, `{ "format": 1, "classes": {"scan": {"aim_ms": 1e2}}, "tenants": {}, "limits": {"attempts":2,"second_copies":true} }`)
	want := `{"classes":{"scan":{"aim_ms":100}},"format":1,"limits":{"attempts":2,"second_copies":true}}`
	for _, d := range []*Document{a, b} {
		if got := string(d.Canonical()); got != want {
			t.Errorf("canonical %s, want %s", got, want)
		}
	}
	if again := mustParse(t, want).Canonical(); string(again) != want {
		t.Errorf("parsed again: %s", again)
	}
	if digest := Digest([]byte(want)); len(digest) != 32 || digest == Digest([]byte(want+" ")) {
		t.Errorf("digest %q", digest)
	}
}

// documentField is a field of a document that holds a single value, such as limits.attempts.
type documentField struct {
	path string                       // such as limits.attempts
	set  func(d *Document, value any) // sets the field; value is a pointer as returned by the method value
	kind reflect.Kind                 // of the value
}

// documentFields finds all fields of a document except Format by reflection, so that new fields are covered.
func documentFields(t *testing.T) (all []documentField) {
	document := reflect.TypeFor[Document]()
	for i := range document.NumField() {
		section := document.Field(i)
		name := jsonName(section)
		switch {
		case name == "format":
		case section.Type.Kind() == reflect.Map:
			element := map[string]string{"classes": "point-read", "tenants": "web"}[name]
			for j := range section.Type.Elem().NumField() {
				field := section.Type.Elem().Field(j)
				all = append(all, documentField{name + "." + element + "." + jsonName(field), func(d *Document, value any) {
					elements := reflect.ValueOf(d).Elem().Field(i)
					if elements.IsNil() {
						elements.Set(reflect.MakeMap(section.Type))
					}
					changed := reflect.New(section.Type.Elem()).Elem()
					changed.Field(j).Set(reflect.ValueOf(value))
					elements.SetMapIndex(reflect.ValueOf(element), changed)
				}, field.Type.Elem().Kind()})
			}
		case section.Type.Kind() == reflect.Pointer:
			for j := range section.Type.Elem().NumField() {
				field := section.Type.Elem().Field(j)
				all = append(all, documentField{name + "." + jsonName(field), func(d *Document, value any) {
					pointer := reflect.ValueOf(d).Elem().Field(i)
					pointer.Set(reflect.New(section.Type.Elem()))
					pointer.Elem().Field(j).Set(reflect.ValueOf(value))
				}, field.Type.Elem().Kind()})
			}
		default:
			t.Fatalf("section %s is neither a map nor a pointer", name)
		}
	}
	if len(all) < 14 {
		t.Fatalf("found only %d fields, want at least 14", len(all))
	}
	return all
}

// value returns a pointer to a value for the field that differs from the one in startSettings. Different n
// give different values.
func (l documentField) value(t *testing.T, n int) any {
	if strings.HasSuffix(l.path, ".deadline_ms") {
		return pointer(300 + float64(n)) // above the aim
	}
	switch l.kind {
	case reflect.Float64:
		return pointer(0.9 - float64(n)/16)
	case reflect.Int:
		return pointer(5 + n)
	case reflect.Bool:
		return pointer(n%2 == 0)
	}
	t.Fatalf("no test value for kind %v", l.kind)
	return nil
}

// with returns a document in which only this field is set, to value.
func (l documentField) with(value any) *Document {
	d := &Document{Format: Format}
	l.set(d, value)
	return d
}

func TestMergePrefersNarrowerFields(t *testing.T) {
	for _, l := range documentFields(t) {
		wide, narrow, none := l.with(l.value(t, 1)), l.with(l.value(t, 2)), &Document{Format: Format}
		wideText, narrowText := string(wide.Canonical()), string(narrow.Canonical())
		for _, c := range []struct {
			merged *Document
			want   string
		}{
			{Merge(wide, narrow), narrowText}, {Merge(narrow, wide), wideText},
			{Merge(wide, none), wideText}, {Merge(none, narrow), narrowText},
			{Merge(wide, nil), wideText}, {Merge(nil, narrow), narrowText},
		} {
			if got := string(c.merged.Canonical()); got != c.want {
				t.Errorf("%s: merged %s, want %s", l.path, got, c.want)
			}
		}
		if string(wide.Canonical()) != wideText || string(narrow.Canonical()) != narrowText {
			t.Errorf("%s: Merge has modified its arguments", l.path)
		}
	}
	if got := string(Merge(nil, nil).Canonical()); got != `{"format":1}` {
		t.Errorf("two nil documents merged: %s", got)
	}
}

// Fields of the same class from both documents are combined, and the merged document shares no map with its
// inputs, which followers and registries keep.
func TestMergeCombinesFieldsOfOneClass(t *testing.T) {
	wide := mustParse(t, `{"format":1,"classes":{"scan":{"aim_ms":10,"worth":1}},"limits":{"attempts":2}}`)
	narrow := mustParse(t, `{"format":1,"classes":{"scan":{"aim_ms":20},"write":{"worth":4}},"limits":{"second_copies":true}}`)
	before := string(wide.Canonical())
	got := string(Merge(wide, narrow).Canonical())
	want := `{"classes":{"scan":{"aim_ms":20,"worth":1},"write":{"worth":4}},"format":1,"limits":{"attempts":2,"second_copies":true}}`
	if got != want || string(wide.Canonical()) != before {
		t.Errorf("merged %s, wide %s", got, wide.Canonical())
	}
}

func TestCheckBoundsEachNumber(t *testing.T) {
	for _, l := range documentFields(t) {
		var values []any
		switch l.kind {
		case reflect.Float64:
			for _, bad := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1), 1e13, math.Copysign(0, -1)} {
				values = append(values, pointer(bad))
			}
		case reflect.Int:
			values = append(values, pointer(-1), pointer(1<<31-1))
		}
		for _, value := range values {
			if err := l.with(value).Check(); err == nil || !strings.HasPrefix(err.Error(), l.path+": ") {
				t.Errorf("%s: %v: error %v", l.path, reflect.ValueOf(value).Elem(), err)
			}
		}
		if err := l.with(l.value(t, 1)).Check(); err != nil {
			t.Error(err)
		}
	}
}

// settingsPaths returns the values of all fields of settings as text, by the field's name. A field of the
// classes or tenants is named by path, such as Classes.Aim, and its value joins those of all classes or
// tenants.
func settingsPaths(s balance.Settings) map[string]string {
	paths := map[string]string{}
	settings := reflect.ValueOf(s)
	for i := range settings.NumField() {
		name, value := settings.Type().Field(i).Name, settings.Field(i)
		if value.Kind() != reflect.Slice {
			paths[name] = fmt.Sprint(value)
			continue
		}
		for j := range value.Type().Elem().NumField() {
			var all []string
			for k := range value.Len() {
				all = append(all, fmt.Sprint(value.Index(k).Field(j)))
			}
			paths[name+"."+value.Type().Elem().Field(j).Name] = strings.Join(all, " ")
		}
	}
	return paths
}

// Each field of a document changes exactly one setting, and each setting is either changed by one field or
// listed in RestartReasons.
func TestEachFieldChangesOneSetting(t *testing.T) {
	base, names := startSettings()
	before := settingsPaths(base)
	reachedBy := map[string]string{}
	for _, l := range documentFields(t) {
		var settings balance.Settings
		for n := range 2 { // of the two values of a boolean, one equals that in base and so changes nothing
			changed, err := l.with(l.value(t, n)).Apply(base, names)
			if err != nil {
				t.Fatalf("%s: %v", l.path, err)
			}
			if settings = changed; !reflect.DeepEqual(changed, base) {
				break
			}
		}
		var reached []string
		for path, value := range settingsPaths(settings) {
			if value != before[path] {
				reached = append(reached, path)
			}
		}
		if len(reached) != 1 {
			t.Errorf("%s changes %v, not one setting", l.path, reached)
			continue
		}
		if other, twice := reachedBy[reached[0]]; twice {
			t.Errorf("%s and %s both change %s", l.path, other, reached[0])
		}
		reachedBy[reached[0]] = l.path
	}
	for path := range before {
		_, changeable := reachedBy[path]
		reason, fixed := RestartReasons[path]
		if changeable == fixed {
			t.Errorf("%s: changed by field %q, restart reason %q; want exactly one of them", path, reachedBy[path], reason)
		}
	}
	for path, reason := range RestartReasons {
		if _, exists := before[path]; !exists || reason == "" {
			t.Errorf("RestartReasons has %s: %q, want an existing setting and a reason", path, reason)
		}
	}
}

func TestApplyRefusesInvalidChanges(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`{"format":1,"classes":{"nope":{"aim_ms":1}}}`, "classes.nope: the agent was started without such a class"},
		{`{"format":1,"tenants":{"nope":{"portion":1}}}`, "tenants.nope: the agent was started without such a tenant"},
		{`{"format":1,"classes":{"point-read":{"deadline_ms":2001}}}`,
			"classes.point-read.deadline_ms: 2.001s is over 2s, the longest deadline that the agent was started with: the times of its planned stop rest on that"},
		{`{"format":1,"classes":{"point-read":{"aim_ms":401}}}`, "classes.point-read.aim_ms: 401ms is over the deadline, 400ms"},
		{`{"format":1,"classes":{"point-read":{"deadline_ms":49}}}`, "classes.point-read.aim_ms: 50ms is over the deadline, 49ms"},
	} {
		base, names := startSettings()
		got, err := mustParse(t, c.text).Apply(base, names)
		if err == nil || err.Error() != c.want {
			t.Errorf("%s: error %v", c.text, err)
		}
		if want, _ := startSettings(); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: refused, but the settings have changed", c.text)
		}
	}
}

func TestApplyAcceptsBoundaryValues(t *testing.T) {
	base, names := startSettings()
	d := mustParse(t, `{"format":1,"classes":{"scan":{"deadline_ms":1000},"point-read":{"aim_ms":2000,"deadline_ms":2000}}}`)
	got, err := d.Apply(base, names)
	if err != nil {
		t.Fatal(err)
	}
	if scan, read := got.Classes[1], got.Classes[0]; scan.Deadline.Seconds() != 1 || read.Deadline.Seconds() != 2 || read.Aim.Seconds() != 2 {
		t.Errorf("classes %+v", got.Classes)
	}
}

func TestApplyDoesNotChangeTheBase(t *testing.T) {
	base, names := startSettings()
	for seed := range uint64(200) {
		d := randomDocument(newRand(seed))
		text := string(d.Canonical())
		changed, err := d.Apply(base, names)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if want, _ := startSettings(); !reflect.DeepEqual(base, want) {
			t.Fatalf("seed %d: the base has changed", seed)
		}
		changed.Classes[0].Aim, changed.Tenants[0].Portion = 1, 0.123
		if want, _ := startSettings(); !reflect.DeepEqual(base, want) || string(d.Canonical()) != text {
			t.Fatalf("seed %d: the result shares classes or tenants with the base", seed)
		}
	}
	same, err := (*Document)(nil).Apply(base, names)
	if err != nil || !reflect.DeepEqual(same, base) {
		t.Errorf("nil document: %v, %+v", err, same)
	}
}

// Apply also runs the checks that an agent makes at its start, and returns an error for settings that fail
// them.
func TestApplyChecksStartSettings(t *testing.T) {
	base, names := startSettings()
	base.Balancers = 0
	if _, err := mustParse(t, `{"format":1}`).Apply(base, names); err == nil || !strings.Contains(err.Error(), "Balancers") {
		t.Errorf("error %v", err)
	}
}

func TestApplyErrorIsDeterministic(t *testing.T) {
	d := longDocument(50, 1)
	for range 20 { // the iteration order of maps is random
		if err := checkAgainstStart(d); err == nil || !strings.HasPrefix(err.Error(), "classes.class-0000-") {
			t.Fatalf("error %v", err)
		}
	}
}
