package quorum

import (
	"bufio"
	"bytes"
	"os"
	"strings"
	"testing"

	"lemonrail/internal/replica/transport"
)

// The shipped file is valid; a file with one invalid value is refused with its line and key.
func TestShippedFileAndInvalidSettings(t *testing.T) {
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
		{`name = "notes"`, `name = "pace"`, `duties.toml: line 32: duty.name: "pace" appears twice`},
		{"fleet =", "fleed =", "duties.toml: line 5: unknown key fleed"},
	} {
		text := strings.Replace(string(raw), tt.from, tt.to, 1)
		if text == string(raw) {
			t.Fatalf("%q isn't in the file", tt.from)
		}
		if _, err := ParseSettings("duties.toml", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), tt.want) {
			t.Errorf("%s: %v, want %s", tt.to, err, tt.want)
		}
	}
}

// Frames of another version, truncated at each byte, corrupted, or with a huge announced length are refused.
func TestFrames(t *testing.T) {
	frame := transport.AppendFrame(nil, frameCommand, []byte("content"))
	for cut := range frame {
		if _, _, err := readFrame(reader(frame[:cut])); err == nil {
			t.Fatalf("a frame truncated at byte %d was accepted", cut)
		}
	}
	for at := range frame {
		corrupted := append([]byte(nil), frame...)
		corrupted[at] ^= 0x10
		if _, _, err := readFrame(reader(corrupted)); err == nil {
			t.Fatalf("a frame with byte %d corrupted was accepted", at)
		}
	}
	if _, _, err := readFrame(reader([]byte{0x3f, 0xff, 0xff, 0xff, 0, 0, 0, 0, 1})); err == nil {
		t.Error("a frame that announces a gigabyte was accepted")
	}
}

// Any bytes are refused or give a frame of a known kind that isn't longer than they are.
func FuzzFrame(f *testing.F) {
	f.Add(transport.AppendFrame(nil, frameTableRequest, nil))
	f.Add(transport.AppendFrame(nil, frameRaft, []byte{8, 1, 16, 2}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		k, content, err := readFrame(reader(raw))
		if err == nil && (k >= frameKindCount || len(content) > len(raw)) {
			t.Fatalf("kind %d, %d bytes", k, len(content))
		}
	})
}

// readFrame reads a frame of the voters' protocol.
func readFrame(r *bufio.Reader) (transport.Kind, []byte, error) {
	proto := protocol(&Settings{}, "reader")
	return proto.ReadFrame(r)
}

// reader returns a buffered reader of raw.
func reader(raw []byte) *bufio.Reader { return bufio.NewReader(bytes.NewReader(raw)) }
