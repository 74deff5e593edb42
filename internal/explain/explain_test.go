package explain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lemonrail/balance"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestReadConfigRejectsInvalidValues(t *testing.T) {
	for text, want := range map[string]string{
		"":                         "",
		"file = \"x\"\nmax_mb = 1": "",
		"max_mb = -1":              "max_mb",
		"# a line\nfiel = \"x\"":   "line 2",
		"max_mb = 1.5":             "line 1",
	} {
		path := filepath.Join(t.TempDir(), "explain.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadConfig(path)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path)) {
			t.Errorf("%q: got %v, want %q with the file's name", text, err, want)
		}
	}
}

func TestOffByDefault(t *testing.T) {
	if w, err := Open(Config{}, "n0", nil); w != nil || err != nil {
		t.Errorf("got %v, %v", w, err)
	}
}

// Notes are read back unchanged and in order, and a file that has reached its maximum size is rotated.
func TestNotesAreWrittenAndReadBack(t *testing.T) {
	path := filepath.Join(t.TempDir(), "notes")
	w, err := Open(Config{Path: path, MaxMB: 1}, "n0", []string{"read"})
	if err != nil {
		t.Fatal(err)
	}
	const notes = 4000
	for i := range notes {
		for len(w.notes) == queueCapacity { // the test queues notes faster than a disk takes them
			time.Sleep(time.Millisecond)
		}
		w.Write(balance.Note{At: time.Duration(i) * time.Millisecond, Kind: balance.NoteRefused, Reason: balance.TooLate, Request: fmt.Sprint(i),
			Waited: 3 * time.Millisecond, Limit: 4.5, Backends: []balance.BackendSnapshot{{ID: "a", Warmth: 1}}})
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	next := -1
	for _, name := range []string{path + ".old", path} {
		info, err := os.Stat(name)
		if err != nil {
			t.Fatal(err)
		}
		if info.Size() > 1<<20+4096 {
			t.Errorf("%s holds %d bytes", name, info.Size())
		}
		raw, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Read(bytes.NewReader(raw), func(r Record) {
			if next < 0 {
				fmt.Sscan(r.Request, &next)
			}
			if r.Request != fmt.Sprint(next) || r.Reason != "too-late" || r.Class != "read" || r.Waited != 3 || r.Part != 4.5 || r.Agent != "n0" || len(r.Backends) != 1 {
				t.Fatalf("note %d came back as %+v", next, r)
			}
			next++
		}); err != nil {
			t.Fatal(err)
		}
	}
	if next != notes {
		t.Errorf("the last note is %d, want %d", next-1, notes-1)
	}
}

// Write must not block the goroutine of the decision module: notes that find the queue full are counted.
func TestFullQueueCountsSkippedNotes(t *testing.T) {
	w := &Writer{notes: make(chan balance.Note, 2)}
	for range 5 {
		w.Write(balance.Note{})
	}
	if n := w.skipped.Load(); n != 3 || len(w.notes) != 2 {
		t.Errorf("%d skipped, %d queued", n, len(w.notes))
	}
}

// After a failed write the writer writes no more notes, Write still doesn't block, and Close returns the error.
func TestWriteErrorIsReturnedByClose(t *testing.T) {
	dir := t.TempDir()
	w, err := Open(Config{Path: filepath.Join(dir, "notes")}, "n0", nil)
	if err != nil {
		t.Fatal(err)
	}
	w.file.Close()
	for range 10 {
		w.Write(balance.Note{})
	}
	if err := w.Close(); err == nil {
		t.Error("Close returned no error")
	}
	if _, err := Open(Config{Path: filepath.Join(dir, "none", "notes")}, "n0", nil); err == nil {
		t.Error("Open accepted a file that cannot be created")
	}
}

func lines(t *testing.T, records ...Record) string {
	var b strings.Builder
	for _, r := range records {
		raw, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		b.WriteString("[0.1] " + string(raw) + "\n")
	}
	return b.String()
}

func TestReportInterpretsStates(t *testing.T) {
	state := Record{Agent: "n0", Kind: "state", Part: 10, InFlight: 10, Up: 8, Used: 8, Capacity: 8, Delay: .5, Aimed: .4}
	refused := Record{Agent: "n0", Kind: "refused", Reason: "too-late", Class: "read", Waited: 20, Left: 80}
	cold := state
	cold.Capacity, cold.Delay, cold.InFlight = 4, .1, 1
	idle := refused
	idle.Idle = 2
	for _, tt := range []struct {
		name string
		log  []Record
		want []string
	}{
		{"nothing", []Record{state}, []string{"nothing was refused"}},
		{"limit reached", []Record{state, refused}, []string{"100 % of what was refused: the limit", "answers took longer"}},
		{"cold", []Record{cold, idle, idle}, []string{"cold, or taken for cold", "held nothing"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSummary(1)
			if err := s.Read(strings.NewReader("level=INFO msg=serving\n{\"half\n" + lines(t, tt.log...))); err != nil {
				t.Fatal(err)
			}
			r := s.Report()
			if r.OtherLines != 2 || len(r.Agents) != 1 {
				t.Fatalf("got %+v", r)
			}
			var text, html bytes.Buffer
			if err := r.Text(&text); err != nil {
				t.Fatal(err)
			}
			if err := r.HTML(&html, "x"); err != nil || !strings.Contains(html.String(), "<svg") {
				t.Errorf("page: %v", err)
			}
			for _, w := range tt.want {
				if !strings.Contains(text.String(), w) {
					t.Errorf("%q is missing in\n%s", w, text.String())
				}
			}
		})
	}
}

// Windows and samples stay bounded however many notes are added, and each note is counted.
func TestSummaryIsBounded(t *testing.T) {
	s := NewSummary(0.1)
	const n = 20000
	for i := range n {
		s.add(Record{Agent: "n0", At: 1 + float64(i)*1000, Kind: "refused", Reason: "too-late", Waited: float64(i)})
	}
	r := s.Report()
	sum := 0
	for _, w := range r.Agents[0].Windows {
		sum += total(w.Refused)
	}
	if a := r.Agents[0]; len(a.Windows) > maxWindows || sum != n || a.Groups[0].Count != n || a.Groups[0].Waited < n*0.4 || a.Groups[0].Waited > n*0.6 {
		t.Errorf("%d windows with %d, groups %+v", len(a.Windows), sum, a.Groups)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("{\"note\":\"state\"}\n"))
	f.Add([]byte("[1.0] {\"note\":\"refused\",\"at_ms\":1e300,\"agent\":\"x\"}\n{"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := NewSummary(1)
		s.Read(bytes.NewReader(raw))
		if err := s.Report().Text(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
	})
}
