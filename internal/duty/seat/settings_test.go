package seat

import (
	"bufio"
	"bytes"
	"os"
	"strings"
	"testing"

	"lemonrail/internal/replica/transport"
)

func TestShippedFileAndNonsense(t *testing.T) {
	raw, err := os.ReadFile("../../../deploy/duties.toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := ParseSettings("duties.toml", raw)
	if err != nil || len(s.specs) != 2 || len(s.seats) != 3 || s.specs[0].Name != PaceDuty || s.specs[1].Name != NotesDuty {
		t.Fatalf("%+v, %v", s, err)
	}
	for _, tt := range []struct{ from, to, want string }{
		{"voters = 3", "voters = 2", "duties.toml: line 7: voters"},
		{"drift = 0.01", "drift = 0.5", "duties.toml: line 8: drift"},
		{"tick_ms = 50", "tick_ms = 1", "duties.toml: line 10: tick_ms"},
		{`name = "n1"`, `name = "n0"`, "duties.toml: line 18: seat.name"},
		{`address = "127.0.0.1:7951"`, `address = "here"`, "duties.toml: line 18: seat.address"},
		{"lease_ms = 3000\nzone", "lease_ms = 300\nzone", "duties.toml: line 26: duty.lease_ms"},
		{`name = "notes"`, `name = "pace"`, `duties.toml: line 32: duty.name: "pace" stands twice`},
		{"fleet =", "fleed =", "duties.toml: line 5: unknown key fleed"},
	} {
		text := strings.Replace(string(raw), tt.from, tt.to, 1)
		if text == string(raw) {
			t.Fatalf("%q doesn't stand in the file", tt.from)
		}
		if _, err := ParseSettings("duties.toml", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), tt.want) {
			t.Errorf("%s: %v, want %s", tt.to, err, tt.want)
		}
	}
}

// Frames of another version, cut at each byte, of a length that was only announced, or spoilt: an error, never a frame.
func TestFrames(t *testing.T) {
	whole := transport.AppendFrame(nil, frameAsk, []byte("content"))
	for cut := range whole {
		if _, _, err := readFrame(reader(whole[:cut])); err == nil {
			t.Fatalf("cut at %d it was read", cut)
		}
	}
	for at := range whole {
		bad := append([]byte(nil), whole...)
		bad[at] ^= 0x10
		if _, _, err := readFrame(reader(bad)); err == nil {
			t.Fatalf("byte %d spoilt, it was read", at)
		}
	}
	if _, _, err := readFrame(reader([]byte{0x3f, 0xff, 0xff, 0xff, 0, 0, 0, 0, 1})); err == nil {
		t.Error("a gigabyte was announced, and waited for")
	}
}

func FuzzFrame(f *testing.F) {
	f.Add(transport.AppendFrame(nil, frameLook, nil))
	f.Add(transport.AppendFrame(nil, frameRaft, []byte{8, 1, 16, 2}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		k, content, err := readFrame(reader(raw))
		if err == nil && (k >= frameKinds || len(content) > len(raw)) {
			t.Fatalf("kind %d, %d bytes", k, len(content))
		}
	})
}

// readFrame reads a frame of the seats' protocol.
func readFrame(r *bufio.Reader) (transport.Kind, []byte, error) {
	mine := protocol(&Settings{}, "reader")
	return mine.ReadFrame(r)
}

func reader(raw []byte) *bufio.Reader { return bufio.NewReader(bytes.NewReader(raw)) }
