package diameter

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func dictionary(t testing.TB, files ...string) *Dictionary {
	t.Helper()
	d, err := NewDictionary(files...)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func encode(t testing.TB, m *Message) []byte {
	t.Helper()
	raw, err := m.Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// cer returns a Capabilities-Exchange-Request as a client sends it.
func cer() *Message {
	return &Message{Flags: FlagRequest, Command: CapabilitiesExchange, HopByHop: 1, EndToEnd: 2, AVPs: []AVP{
		Str(CodeOriginHost, "gx1.example"), Str(CodeOriginRealm, "example"), IP(CodeHostIPAddress, netip.MustParseAddr("127.0.0.1")),
		U32(CodeVendorID, 0), WithoutMandatory(Str(CodeProductName, "stand-in")), U32(CodeAuthApplication, AppCreditControl)}}
}

// ccr returns a Credit-Control-Request with the given CC-Request-Type.
func ccr(kind uint32) *Message {
	return &Message{Flags: FlagRequest | FlagProxiable, Command: CreditControl, Application: AppCreditControl, HopByHop: 7, EndToEnd: 8, AVPs: []AVP{
		Str(CodeSessionID, "gx1.example;1;2"), Str(CodeOriginHost, "gx1.example"), Str(CodeOriginRealm, "example"), Str(CodeDestinationRealm, "home.example"),
		U32(CodeAuthApplication, AppCreditControl), Str(461, "32251@3gpp.org"), U32(CodeCCRequestType, kind), U32(CodeCCRequestNumber, 0),
		Group(437, U32(420, 600), Group(445, avp(447, AVPMandatory, binary.BigEndian.AppendUint64(nil, 5)), U32(429, 1)))}}
}

// The encoding equals bytes that were composed manually from RFC 6733 sections 3 and 4.1.
func TestWireFormat(t *testing.T) {
	m := &Message{Flags: FlagRequest, Command: DeviceWatchdog, HopByHop: 0x01020304, EndToEnd: 0x05060708,
		AVPs: []AVP{Str(CodeOriginHost, "a.b"), WithVendor(Vendor3GPP, U32(629, 9))}}
	want := []byte{1, 0, 0, 48, 0x80, 0, 1, 24, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8,
		0, 0, 1, 8, 0x40, 0, 0, 11, 'a', '.', 'b', 0,
		0, 0, 2, 117, 0xc0, 0, 0, 16, 0, 0, 0x28, 0xaf, 0, 0, 0, 9}
	raw := encode(t, m)
	if !bytes.Equal(raw, want) {
		t.Fatalf("got % x\nwant % x", raw, want)
	}
	back, err := Decode(raw, DefaultLimits())
	if err != nil || !reflect.DeepEqual(back, m) {
		t.Errorf("got %+v, %v", back, err)
	}
	SetHopByHop(raw, 99)
	if back, _ := Decode(raw, DefaultLimits()); back.HopByHop != 99 || back.EndToEnd != 0x05060708 {
		t.Errorf("got %+v", back)
	}
	if a := m.Answer(); a.Request() || a.HopByHop != m.HopByHop || a.EndToEnd != m.EndToEnd || a.Command != m.Command {
		t.Errorf("its answer is %+v", a)
	}
}

// Any message that is encoded and decoded again is unchanged.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Message{Flags: rapid.SampledFrom([]uint8{0, FlagRequest, FlagRequest | FlagProxiable | FlagRetransmitted, FlagError, FlagProxiable}).Draw(t, "flags"),
			Command: rapid.Uint32Max(maxLength).Draw(t, "command"), Application: rapid.Uint32().Draw(t, "app"),
			HopByHop: rapid.Uint32().Draw(t, "hop"), EndToEnd: rapid.Uint32().Draw(t, "end")}
		for range rapid.IntRange(0, 20).Draw(t, "n") {
			a := AVP{Code: rapid.Uint32().Draw(t, "code"), Data: rapid.SliceOfN(rapid.Byte(), 0, 70).Draw(t, "data")}
			if rapid.Bool().Draw(t, "vendor") {
				a.Flags, a.Vendor = AVPVendor, rapid.Uint32().Draw(t, "id")
			}
			m.AVPs = append(m.AVPs, a)
		}
		raw, err := m.Append(nil)
		if err != nil || len(raw) != m.Size() || len(raw)%4 != 0 {
			t.Fatalf("%d bytes of %d, %v", len(raw), m.Size(), err)
		}
		got, err := NewReader(bytes.NewReader(raw), DefaultLimits()).Next()
		if err != nil || !bytes.Equal(got, raw) {
			t.Fatalf("read %v", err)
		}
		back, err := Decode(got, DefaultLimits())
		if err != nil {
			t.Fatal(err)
		}
		again, _ := back.Append(nil)
		if !bytes.Equal(again, raw) || back.Command != m.Command || len(back.AVPs) != len(m.AVPs) {
			t.Fatalf("got %+v, want %+v", back, m)
		}
	})
}

// A stream that is truncated within a message ends with an error; io.EOF is returned only between two
// messages.
func TestCutAtEveryByte(t *testing.T) {
	raw := encode(t, ccr(1))
	for n := range len(raw) {
		_, err := NewReader(bytes.NewReader(raw[:n]), DefaultLimits()).Next()
		if want := io.ErrUnexpectedEOF; n == 0 && !errors.Is(err, io.EOF) || n > 0 && !errors.Is(err, want) {
			t.Errorf("cut at %d: %v", n, err)
		}
		if n > 0 {
			if _, err := Decode(raw[:n], DefaultLimits()); err == nil {
				t.Errorf("a prefix of %d of %d bytes was decoded without an error", n, len(raw))
			}
		}
	}
}

// result returns the Result-Code of an *Error; 0: another error or none.
func result(err error) uint32 {
	var e *Error
	if errors.As(err, &e) {
		return e.Result
	}
	return 0
}

// Each protocol violation is reported with the Result-Code of RFC 6733 section 7.1 and the offending AVP.
func TestProtocolErrors(t *testing.T) {
	d, limits := dictionary(t), Limits{MaxMessageBytes: 2000, MaxAVPs: 20, MaxDepth: 3}
	set := func(m *Message, code uint32, a ...AVP) *Message { // replaces an AVP
		var list []AVP
		for _, x := range m.AVPs {
			if x.Code != code {
				list = append(list, x)
			}
		}
		m.AVPs = append(list, a...)
		return m
	}
	patch := func(m *Message, at int, v ...byte) []byte {
		raw := encode(t, m)
		copy(raw[at:], v)
		return raw
	}
	deep := U32(420, 1)
	for range 6 {
		deep = Group(437, deep)
	}
	for _, tt := range []struct {
		name   string
		raw    []byte
		want   uint32
		failed uint32 // code of the Failed-AVP; 0: none
	}{
		{"a valid request", encode(t, ccr(1)), 0, 0},
		{"a capabilities exchange", encode(t, cer()), 0, 0},
		{"another version", patch(ccr(1), 0, 2), UnsupportedVersion, 0},
		{"length 0", patch(ccr(1), 1, 0, 0, 0), InvalidMessageLength, 0},
		{"length 19", patch(ccr(1), 1, 0, 0, 19), InvalidMessageLength, 0},
		{"length 20 before more", patch(ccr(1), 1, 0, 0, 20), InvalidMessageLength, 0},
		{"length 2^24-1", patch(ccr(1), 1, 0xff, 0xff, 0xff), InvalidMessageLength, 0},
		{"reserved bits", patch(ccr(1), 4, FlagRequest|FlagProxiable|1), InvalidHeaderBits, 0},
		{"a request with the E bit", patch(ccr(1), 4, FlagRequest|FlagProxiable|FlagError), InvalidHeaderBits, 0},
		{"an answer with the T bit", patch(ccr(1), 4, FlagProxiable|FlagRetransmitted), InvalidHeaderBits, 0},
		{"the P bit missing", patch(ccr(1), 4, FlagRequest), InvalidHeaderBits, 0},
		{"the P bit in the base protocol", patch(cer(), 4, FlagRequest|FlagProxiable), InvalidHeaderBits, 0},
		{"an unknown command", patch(ccr(1), 5, 0, 9, 9), CommandUnsupported, 0},
		{"an AVP past the message's end", patch(ccr(1), 25, 0, 0xff, 0xff), InvalidAVPLength, CodeSessionID},
		{"an AVP shorter than its header", patch(ccr(1), 25, 0, 0, 7), InvalidAVPLength, CodeSessionID},
		{"reserved AVP bits", patch(ccr(1), 24, AVPMandatory|1), InvalidAVPBits, CodeSessionID},
		{"the M bit missing", patch(ccr(1), 24, 0), InvalidAVPBits, CodeSessionID},
		{"an unknown AVP with the M bit", encode(t, set(ccr(1), 0, Str(99999, "x"))), AVPUnsupported, 99999},
		{"an unknown AVP without it", encode(t, set(ccr(1), 0, WithoutMandatory(Str(99999, "x")))), 0, 0},
		{"a missing AVP", encode(t, set(ccr(1), CodeCCRequestType)), MissingAVP, CodeCCRequestType},
		{"an AVP that occurs too often", encode(t, set(ccr(1), 0, Str(CodeSessionID, "again"))), AVPOccursTooOften, CodeSessionID},
		{"a number of 3 bytes", encode(t, set(ccr(1), CodeCCRequestType, Str(CodeCCRequestType, "abc"))), InvalidAVPLength, CodeCCRequestType},
		{"an identity with a space", encode(t, set(ccr(1), CodeOriginHost, Str(CodeOriginHost, "a b"))), InvalidAVPValue, CodeOriginHost},
		{"invalid UTF-8", encode(t, set(ccr(1), CodeSessionID, Str(CodeSessionID, "\xff"))), InvalidAVPValue, CodeSessionID},
		{"an AVP past its group's end", encode(t, set(ccr(1), 437, avp(437, AVPMandatory, []byte{0, 0, 1, 0xa4, 0x40, 0, 0, 99, 0, 0, 0, 1}))), InvalidAVPLength, 420},
		{"a truncated header in a group", encode(t, set(ccr(1), 437, avp(437, AVPMandatory, []byte{0, 0, 1}))), InvalidAVPLength, 256},
		{"groups too deep", encode(t, set(ccr(1), 437, deep)), InvalidAVPValue, 437},
		{"too many AVPs", encode(t, set(ccr(1), 0, make([]AVP, 20)...)), InvalidMessageLength, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m, err := Decode(tt.raw, limits)
			if err == nil {
				err = d.Check(m, limits)
			}
			if result(err) != tt.want {
				t.Fatalf("got %v, want %d", err, tt.want)
			}
			var e *Error
			if errors.As(err, &e) && tt.failed != 0 && (e.Failed == nil || e.Failed.Code != tt.failed) {
				t.Errorf("Failed-AVP is %+v, want code %d", e.Failed, tt.failed)
			}
		})
	}
}

// Streams that are no Diameter, or announce an impossible length, end with a fatal error.
func TestReaderRejectsInvalidStreams(t *testing.T) {
	for name, raw := range map[string][]byte{"HTTP": []byte("GET / HTTP/1.1\r\n\r\n"), "a huge message": {1, 0xff, 0xff, 0xfc}, "length 0": {1, 0, 0, 0}, "length 19": {1, 0, 0, 19}} {
		_, err := NewReader(bytes.NewReader(append(raw, make([]byte, 100)...)), DefaultLimits()).Next()
		var e *Error
		if !errors.As(err, &e) || !e.Fatal {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Values of each type are decoded as they were encoded; a number of another size than its type is refused.
func TestValues(t *testing.T) {
	when := time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC)
	late := time.Date(2040, 1, 1, 0, 0, 0, 0, time.UTC) // beyond 2036 the high bit is clear
	for _, w := range []time.Time{when, late} {
		a := Timestamp(55, w)
		if got, err := a.Time(); err != nil || !got.Equal(w) {
			t.Errorf("got %v, %v", got, err)
		}
	}
	for _, text := range []string{"127.0.0.1", "::1"} {
		a := IP(CodeHostIPAddress, netip.MustParseAddr(text))
		if got, err := a.Addr(); err != nil || got.String() != text {
			t.Errorf("got %v, %v", got, err)
		}
	}
	a := U64(CodeCCRequestNumber, 1<<40)
	if v, err := a.Uint64(); err != nil || v != 1<<40 {
		t.Errorf("got %v, %v", v, err)
	}
	if _, err := a.Uint32(); result(err) != InvalidAVPLength {
		t.Errorf("got %v", err)
	}
	name := Str(CodeOriginHost, "GX1.Example")
	if v, err := name.Identity(); err != nil || v != "gx1.example" {
		t.Errorf("got %q, %v", v, err)
	}
}

// A message is rendered as text and as JSON; definitions from an additional dictionary file are used.
func TestTree(t *testing.T) {
	more := filepath.Join(t.TempDir(), "more.toml")
	if err := os.WriteFile(more, []byte("[[avp]]\nname = \"District\"\ncode = 9001\nvendor = 4242\ntype = \"UTF8String\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	d := dictionary(t, more)
	m := ccr(4)
	m.AVPs = append(m.AVPs, WithVendor(4242, WithoutMandatory(Str(9001, "anand"))), WithoutMandatory(Str(77777, "\x01")))
	text := d.Tree(m, DefaultLimits()).String()
	for _, want := range []string{"Credit-Control-Request (272) application 4 flags RP", "CC-Request-Type (416) M 4 EVENT_REQUEST",
		"  Requested-Service-Unit (437) M\n    CC-Time (420) M 600\n    Unit-Value (445) M\n      Value-Digits (447) M 5", "District (9001, vendor 4242) V anand", "AVP-77777 (77777)  0x01"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
	if _, err := json.Marshal(d.Tree(m, DefaultLimits())); err != nil {
		t.Error(err)
	}
}

// Each invalid dictionary file is refused with an error that names what is wrong.
func TestInvalidDictionaries(t *testing.T) {
	for text, want := range map[string]string{
		"[[avp]]\nname='x'\ncode=1\ntype='Colour'\n":                  `type "Colour"`,
		"[[avp]]\nname='x'\ncod=1\n":                                  "line 3: unknown key avp.cod",
		"[[command]]\nname='x'\ncode=9\nrequest=[{name='Nothing'}]\n": `rule for "Nothing"`,
		"[[command]]\nname='x'\n":                                     "code",
	} {
		file := filepath.Join(t.TempDir(), "d.toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := NewDictionary(file); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v", text, err)
		}
	}
}

// Any bytes give a message or an *Error with a Result-Code; a decoded message survives encoding.
func FuzzDecode(f *testing.F) {
	for _, m := range []*Message{cer(), ccr(1), ccr(4)} {
		raw, _ := m.Append(nil)
		f.Add(raw)
	}
	f.Add([]byte{1, 0, 0, 20})
	d, err := NewDictionary()
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		limits := Limits{MaxMessageBytes: 4096, MaxAVPs: 64, MaxDepth: 4}
		m, err := Decode(raw, limits)
		if m == nil {
			if err == nil {
				t.Fatal("neither a message nor an error")
			}
			return
		}
		d.Check(m, limits)
		_ = d.Tree(m, limits).String()
		if err != nil {
			if result(err) == 0 {
				t.Fatalf("an error without a Result-Code: %v", err)
			}
			return
		}
		if again, err := m.Append(nil); err != nil || len(again) < headerSize {
			t.Fatalf("can't be written again: %v", err)
		} else if back, err := Decode(again, limits); err != nil && len(again) <= limits.MaxMessageBytes || err == nil && len(back.AVPs) != len(m.AVPs) {
			t.Fatalf("decoding the encoded message again gives another result: %v", err)
		}
	})
}

func BenchmarkCodec(b *testing.B) {
	raw := encode(b, ccr(1))
	d := dictionary(b)
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		b.SetBytes(int64(len(raw)))
		for b.Loop() {
			if _, err := Decode(raw, DefaultLimits()); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("check", func(b *testing.B) {
		b.ReportAllocs()
		m, _ := Decode(raw, DefaultLimits())
		for b.Loop() {
			if err := d.Check(m, DefaultLimits()); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		m, _ := Decode(raw, DefaultLimits())
		buf := make([]byte, 0, len(raw))
		for b.Loop() {
			var err error
			if buf, err = m.Append(buf[:0]); err != nil {
				b.Fatal(err)
			}
		}
	})
}
