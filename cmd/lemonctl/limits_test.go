package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const sampleNotes = `time=2026-07-14T04:30:00Z level=INFO msg=serving
{"agent":"n0","at_ms":1000,"note":"state","part":10,"in_flight":10,"up":8,"used":8,"capacity":8,"delay":0.5,"aimed":0.4}
{"agent":"n0","at_ms":1500,"note":"refused","why":"too-late","class":"point-read","waited_ms":40,"left_ms":200}
{"agent":"n0","at_ms":2500,"note":"cut"}
`

func TestLimitsReportsRefusalsFromNotes(t *testing.T) {
	page := filepath.Join(t.TempDir(), "page.html")
	code, out, errOut := call(t, sampleNotes, "limits", "--html", page, "-")
	if code != 0 || !strings.Contains(out, "100 % of what was refused: the limit") || !strings.Contains(out, "1 lines were no notes") {
		t.Errorf("%d: %s%s", code, out, errOut)
	}
	if raw, err := os.ReadFile(page); err != nil || !strings.Contains(string(raw), "<svg") || strings.Contains(string(raw), "http://") {
		t.Errorf("the page: %v", err)
	}
	code, out, errOut = call(t, sampleNotes, "limits", "--json", "-")
	var got struct {
		Agents []struct {
			Groups  []struct{ Count int }
			Windows []struct{ Cuts int }
		}
	}
	if err := json.Unmarshal([]byte(out), &got); code != 0 || err != nil || len(got.Agents) != 1 || got.Agents[0].Groups[0].Count != 1 || got.Agents[0].Windows[1].Cuts != 1 {
		t.Errorf("%d %v: %s%s", code, err, out, errOut)
	}
}

func TestTrialListNamesDays(t *testing.T) {
	if code, out, errOut := call(t, "", "trial", "list"); code != 0 || !strings.Contains(out, "third-gone") {
		t.Errorf("%d: %s%s", code, out, errOut)
	}
}

// TestOverheadComparesThreeWays measures direct requests, requests through the bare proxy and requests
// through the agent, with real processes.
func TestOverheadComparesThreeWays(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"lemonrail", "lemonctl"} {
		if raw, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), "lemonrail/cmd/"+name).CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, raw)
		}
	}
	cmd := exec.Command(filepath.Join(dir, "lemonctl"), "overhead", "--json", "--agent", filepath.Join(dir, "lemonrail"), "--seconds", "0.2", "--rounds", "1", "--rates", "50")
	raw, err := cmd.Output()
	if err != nil {
		t.Fatalf("%v: %s", err, raw)
	}
	var got struct {
		Rows []struct {
			Way      string
			Answered int
			Memory   float64 `json:"memory_mb"`
		}
	}
	if err := json.Unmarshal(raw, &got); err != nil || len(got.Rows) != 3 {
		t.Fatalf("%v: %s", err, raw)
	}
	for i, want := range []string{"direct", "bare proxy", "agent"} {
		if r := got.Rows[i]; r.Way != want || r.Answered == 0 || (i > 0) != (r.Memory > 0) {
			t.Errorf("%s: %+v", want, r)
		}
	}
}
