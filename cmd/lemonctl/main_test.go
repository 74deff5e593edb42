package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// call runs a command line with in as standard input, and returns the exit code, standard output and standard error.
func call(t *testing.T, in string, args ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), args, streams{strings.NewReader(in), &stdout, &stderr})
	return code, stdout.String(), stderr.String()
}

func TestInspect(t *testing.T) {
	code, out, errOut := call(t, string(sampleLog)+"not a line\n10.0.0.1 - - [14/Jul/2026:04:30:07 +0000] \"GET /favicon.ico HTTP/1.1\" 404 0 \"-\" \"-\"\n", "load", "inspect", "--json", "--window", "5", "-")
	if code != 0 {
		t.Fatal(errOut)
	}
	var got map[string]any
	if err := json.Unmarshal([]byte(out), &got); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"requests", "repeats", "unmatched", "skipped", "first", "last", "span_s", "rate_per_s", "classes", "windows"} {
		if _, ok := got[key]; !ok {
			t.Errorf("%s is missing", key)
		}
	}
	classes, windows := got["classes"].(map[string]any), got["windows"].([]any)
	sum := 0.0
	for _, w := range windows {
		w := w.(map[string]any)
		sum += w["requests"].(float64)
		if _, ok := w["classes"].(map[string]any); !ok || int(w["t"].(float64))%5 != 0 {
			t.Errorf("a window is %v", w)
		}
	}
	if n := got["requests"].(float64); sum != n || classes["point-read"].(float64)+classes["alert-sub"].(float64) != n || n != float64(bytes.Count(sampleLog, []byte("\n"))) ||
		got["unmatched"].(float64) != 1 || got["repeats"].(float64) == 0 {
		t.Errorf("got %v", got)
	}
	if _, err := time.Parse(time.RFC3339, got["first"].(string)); err != nil {
		t.Error(err)
	}
	if s := got["skipped"].(map[string]any); len(s) != 1 || s["not in a known format"].(float64) != 1 {
		t.Errorf("skipped %v", s)
	}
	if code, out, _ := call(t, string(sampleLog), "load", "inspect", "-"); code != 0 || !strings.Contains(out, "point-read") || !strings.Contains(out, "####") {
		t.Errorf("as text: %s", out)
	}
	if code, out, _ := call(t, "", "load", "inspect", "--json", "-"); code != 0 || !strings.Contains(out, `"windows": []`) {
		t.Errorf("of nothing: %d, %s", code, out)
	}
}

func TestPlay(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.Write([]byte("ok")) }))
	defer s.Close()
	page := filepath.Join(t.TempDir(), "page.html")
	code, out, errOut := call(t, string(sampleLog), "load", "play", "--json", "--html", page, "--speed", "100", "--limit", "200", "--target", strings.TrimPrefix(s.URL, "http://"), "-")
	if code != 0 {
		t.Fatal(errOut)
	}
	var got struct {
		Requests int64
		Outcomes map[string]int64
		Source   struct{ Read int64 }
	}
	if err := json.Unmarshal([]byte(out), &got); err != nil {
		t.Fatal(err)
	}
	if got.Requests != 200 || got.Outcomes["served"] != 200 || got.Source.Read < 200 {
		t.Errorf("got %+v", got)
	}
	if raw, err := os.ReadFile(page); err != nil || !bytes.Contains(raw, []byte("<svg")) {
		t.Errorf("the page: %v", err)
	}
	file := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(file, sampleLog, 0o600); err != nil {
		t.Fatal(err)
	}
	lines := int64(bytes.Count(sampleLog, []byte("\n")))
	code, out, errOut = call(t, "", "load", "play", "--json", "--speed", "200", "--loop", "2", "--target", strings.TrimPrefix(s.URL, "http://"), file)
	if err := json.Unmarshal([]byte(out), &got); code != 0 || err != nil || got.Requests != 2*lines {
		t.Errorf("twice: %d requests of %d lines, %v %s", got.Requests, lines, err, errOut)
	}
}

func TestGenerate(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.har")
	if code, _, errOut := call(t, "", "load", "generate", "--format", "har", "--shape", "monsoon", "--rate", "20", "--seconds", "5", "-o", file); code != 0 {
		t.Fatal(errOut)
	}
	if code, out, errOut := call(t, "", "load", "inspect", "--json", file); code != 0 || !strings.Contains(out, `"unmatched": 0`) {
		t.Errorf("%s %s", out, errOut)
	}
	_, rules, _ := call(t, "", "load", "rules")
	own := filepath.Join(t.TempDir(), "rules.toml")
	if err := os.WriteFile(own, []byte(rules), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, errOut := call(t, "", "load", "inspect", "--map", own, file); code != 0 {
		t.Error(errOut)
	}
}

func TestTry(t *testing.T) {
	page := filepath.Join(t.TempDir(), "page.html")
	code, out, errOut := call(t, "", "try", "--speed", "2", "--for", "4s", "--window", "2", "--html", page)
	if code != 0 || !strings.Contains(out, "rules held over") || !strings.Contains(out, "point-read") || !strings.Contains(out, "drain [gn-slow-1]") {
		t.Errorf("ended with %d: %s%s", code, out, errOut)
	}
	if raw, err := os.ReadFile(page); err != nil || !bytes.Contains(raw, []byte("rules held over")) {
		t.Errorf("the page: %v", err)
	}
}

func TestSiteUp(t *testing.T) {
	dir := t.TempDir()
	code, out, errOut := call(t, "", "site", "up", "--dir", dir, "--for", "300ms")
	if code != 0 || !strings.Contains(out, "LB_CONFIG="+filepath.Join(dir, "n1.json")) {
		t.Errorf("ended with %d: %s%s", code, out, errOut)
	}
	raw, err := os.ReadFile(filepath.Join(dir, "n0.json"))
	if err != nil || !bytes.Contains(raw, []byte(`"listen": "127.0.0.1:9100"`)) {
		t.Errorf("the configuration: %v, %.200s", err, raw)
	}
}

func TestJSONMemberNames(t *testing.T) {
	const line = `{"when":1784003400250,"who":"192.0.2.1","what":"GET /point-read?key=a HTTP/1.1"}` + "\n"
	if code, out, errOut := call(t, line, "load", "inspect", "--json", "--member", "time=when", "--member", "client=who", "--member", "request=what", "-"); code != 0 || !strings.Contains(out, `"point-read": 1`) {
		t.Errorf("%s %s", out, errOut)
	}
	if code, _, errOut := call(t, line, "load", "inspect", "--member", "colour=red", "-"); code != 1 || !strings.Contains(errOut, "--member: colour=red") {
		t.Errorf("ended with %d: %s", code, errOut)
	}
}

func TestInvalidCommandLines(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("[[rule]]\nclas = 'x'\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		code int
		want string
		args []string
	}{
		{2, "expected", nil},
		{2, "", []string{"load", "inspect"}},
		{2, "--format", []string{"load", "inspect", "--format", "csv", "-"}},
		{1, "--window", []string{"load", "inspect", "--window", "0", "-"}},
		{1, "none.log", []string{"load", "inspect", "none.log"}},
		{1, "bad.toml: line 2: unknown key rule.clas", []string{"load", "inspect", "--map", bad, "-"}},
		{1, "loopback", []string{"load", "play", "--target", "192.0.2.1:80", "-"}},
		{1, "--target", []string{"load", "play", "--target", "localhost:80", "-"}},
		{1, "--loop", []string{"load", "play", "--loop", "2", "--target", "127.0.0.1:1", "-"}},
		{1, "none.toml", []string{"site", "up", "none.toml"}},
		{1, "unknown key", []string{"try", "--scenario", bad}},
		{1, "--window", []string{"limits", "--window", "0", "-"}},
		{1, "no notes", []string{"limits", "-"}},
		{1, "none.notes", []string{"limits", "none.notes"}},
		{1, "unknown key rule", []string{"trial", "run", bad}},
		{1, "there are", []string{"trial", "run", "none"}},
		{1, "a rate of", []string{"overhead", "--rates", "0"}},
		{1, "loopback", []string{"bare-proxy", "127.0.0.1:0", "192.0.2.1:80"}},
	} {
		code, _, errOut := call(t, "", tt.args...)
		if code != tt.code || !strings.Contains(errOut, tt.want) {
			t.Errorf("%v: ended with %d: %s", tt.args, code, errOut)
		}
	}
	if code, out, _ := call(t, "", "--help"); code != 0 || !strings.Contains(out, "load") {
		t.Errorf("--help: %d, %s", code, out)
	}
}
