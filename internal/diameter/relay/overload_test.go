package relay

import (
	"bytes"
	"testing"

	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/overload"
)

// Each case holds the AVPs of a request and whether its sender accepts reports with the loss algorithm.
func TestAcceptsOverloadReports(t *testing.T) {
	for name, tt := range map[string]struct {
		avps []diameter.AVP
		want bool
	}{
		"no supported features":     {nil, false},
		"no feature vector":         {[]diameter.AVP{diameter.Group(diameter.CodeOCSupportedFeatures)}, true},
		"loss":                      {[]diameter.AVP{diameter.Group(diameter.CodeOCSupportedFeatures, diameter.U64(diameter.CodeOCFeatureVector, 3))}, true},
		"another algorithm":         {[]diameter.AVP{diameter.Group(diameter.CodeOCSupportedFeatures, diameter.U64(diameter.CodeOCFeatureVector, 2))}, false},
		"vector of the wrong type":  {[]diameter.AVP{diameter.Group(diameter.CodeOCSupportedFeatures, diameter.U32(diameter.CodeOCFeatureVector, 1))}, false},
		"features not a group":      {[]diameter.AVP{diameter.Str(diameter.CodeOCSupportedFeatures, "abc")}, false},
		"AVP of a different vendor": {[]diameter.AVP{diameter.WithVendor(9, diameter.Group(diameter.CodeOCSupportedFeatures))}, false},
	} {
		if got := AcceptsOverloadReports(&diameter.Message{AVPs: tt.avps}); got != tt.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A report is appended to the AVPs of an answer, and the result can be decoded.
func TestAppendReport(t *testing.T) {
	m := &diameter.Message{Command: diameter.CreditControl, Application: diameter.AppCreditControl, Flags: diameter.FlagProxiable,
		AVPs: []diameter.AVP{diameter.Str(diameter.CodeSessionID, "s;1"), diameter.U32(diameter.CodeResultCode, diameter.Success)}}
	raw, err := m.Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	before := bytes.Clone(raw)
	out := AppendReport(raw, overload.Report{Sequence: 9, Reduction: 40, Validity: 5})
	if !bytes.Equal(raw, before) {
		t.Error("AppendReport changed the original answer")
	}
	got, err := diameter.Decode(out, diameter.DefaultLimits())
	if err != nil || len(got.AVPs) != 4 || got.AVPs[2].Code != diameter.CodeOCSupportedFeatures || got.AVPs[3].Code != diameter.CodeOCOLR {
		t.Fatalf("%+v, %v", got, err)
	}
	list, err := got.AVPs[3].Group(diameter.DefaultLimits(), 0)
	if err != nil {
		t.Fatal(err)
	}
	for code, want := range map[uint32]uint32{diameter.CodeOCReportType: 1, diameter.CodeOCReduction: 40, diameter.CodeOCValidityDuration: 5} {
		if a := diameter.Find(list, code, 0); a == nil || a.Flags&diameter.AVPMandatory != 0 {
			t.Errorf("AVP %d: %+v", code, a)
		} else if v, err := a.Uint32(); err != nil || v != want {
			t.Errorf("AVP %d: %d, %v", code, v, err)
		}
	}
	if a := diameter.Find(list, diameter.CodeOCSequenceNumber, 0); a == nil {
		t.Error("no sequence number")
	} else if v, err := a.Uint64(); err != nil || v != 9 {
		t.Errorf("sequence number %d, %v", v, err)
	}
	if again := AppendReport(out, overload.Report{Sequence: 10}); !bytes.Equal(again, out) {
		t.Error("a second report was added to an answer")
	}
}
