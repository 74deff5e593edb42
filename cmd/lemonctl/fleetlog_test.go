package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestFleetLogReadsDirectory(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"n0.log": sampleNotes, "n1.log": strings.ReplaceAll(sampleNotes, `"n0"`, `"n1"`)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	page := filepath.Join(dir, "page.html")
	code, out, errOut := call(t, "", "fleet-log", "--html", page, dir)
	if code != 0 || !strings.Contains(out, "2 agents") || !strings.Contains(out, "too-late") {
		t.Errorf("%d: %s%s", code, out, errOut)
	}
	if raw, err := os.ReadFile(page); err != nil || !strings.Contains(string(raw), "<svg") || strings.Contains(string(raw), "http://") {
		t.Errorf("the page: %v", err)
	}
	code, out, errOut = call(t, "", "fleet-log", "--json", dir)
	var got struct {
		Agents  int
		Windows []struct {
			Part    float64
			Refused map[string]int
		}
	}
	if err := json.Unmarshal([]byte(out), &got); code != 0 || err != nil || got.Agents != 2 || got.Windows[0].Part != 20 || got.Windows[0].Refused["too-late"] != 2 {
		t.Errorf("%d %v: %s%s", code, err, out, errOut)
	}
	for _, args := range [][]string{{"fleet-log", t.TempDir()}, {"fleet-log", filepath.Join(dir, "none")}, {"fleet-log", "--window", "0", dir}} {
		if code, _, errOut := call(t, "", args...); code != 1 || errOut == "" {
			t.Errorf("%v: %d %s", args, code, errOut)
		}
	}
	if code, _, errOut := call(t, "no notes\n", "fleet-log", "-"); code != 1 || !strings.Contains(errOut, "-explain") {
		t.Errorf("%d %s", code, errOut)
	}
}
