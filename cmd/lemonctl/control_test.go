package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lemonrail/internal/duty/quorum"
	"lemonrail/internal/site/driver"
)

// newAgentStub starts an agent's control listener that answers GET on path with v, and returns its address. It stores
// the path of a PUT in *put unless put is nil.
func newAgentStub(t *testing.T, path string, v any, put *string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch {
		case q.Method == http.MethodPut && put != nil:
			*put = q.URL.Path
			w.Write([]byte("ok\n"))
		case v == nil || q.URL.Path != path:
			http.NotFound(w, q)
		default:
			json.NewEncoder(w).Encode(v)
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestSitesShow(t *testing.T) {
	report := func(state, cause string) *driver.Report {
		return &driver.Report{Own: "a", Basis: "planned", Sites: []driver.SiteReport{{Site: "a", State: "well", Since: time.Now(), Remain: 1, Attempts: 7},
			{Site: "b", State: state, Cause: cause, Since: time.Now(), FailShare: 1}}}
	}
	x, y := newAgentStub(t, "/api/sites", report("lost", ""), nil), newAgentStub(t, "/api/sites", report("cut", "mine"), nil)
	withoutSites := newAgentStub(t, "", nil, nil)
	page := filepath.Join(t.TempDir(), "load.html")
	code, out, errOut := call(t, "", "sites", "show", x, y, withoutSites, "--watch", "50ms", "--for", "250ms", "--html", page)
	if code != 0 {
		t.Fatalf("exit %d: %s", code, errOut)
	}
	for _, want := range []string{"lost", "cut", "mine", "2: ", withoutSites + ": it watches no sites"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	if raw, err := os.ReadFile(page); err != nil || !strings.Contains(string(raw), "<svg") {
		t.Errorf("%v, %d bytes", err, len(raw))
	}
	if code, _, _ := call(t, "", "sites", "show", withoutSites, "--json"); code != 1 {
		t.Errorf("exit %d although no agent answered", code)
	}
}

func TestDuties(t *testing.T) {
	row := func(mine string) []quorum.Row {
		return []quorum.Row{{Duty: "pace", Holder: "n1", Epoch: 4, LeaseMs: 3000, Mine: mine, State: `{"b":0.5}`}}
	}
	putPath := ""
	x := newAgentStub(t, "/api/duties", &quorum.Report{Agent: "n0", Duties: row("idle"), Seat: &quorum.MemberReport{Name: "n0", Start: "distrusted", Why: "0001.log, byte 7: spoilt"}}, nil)
	y := newAgentStub(t, "/api/duties", &quorum.Report{Agent: "n1", Duties: row("holding")}, &putPath)
	code, out, errOut := call(t, "", "duties", "show", x, y)
	if code != 0 {
		t.Fatal(errOut)
	}
	for _, want := range []string{"pace", "n1", "3.0 s", "n1 holding", "distrusted", "byte 7"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	if code, _, errOut := call(t, "", "duties", "release", "pace", x, y); code != 0 || putPath != "/api/duties/pace/release" {
		t.Errorf("exit %d, %s: %s", code, putPath, errOut)
	}
	if code, _, errOut := call(t, "", "duties", "hand-on", y, "pace", "n2"); code != 0 || putPath != "/api/duties/pace/hand-on/n2" {
		t.Errorf("exit %d, %s: %s", code, putPath, errOut)
	}
	notes := newAgentStub(t, "/api/duties", &quorum.Report{Agent: "n2", Duties: []quorum.Row{{Duty: "notes", Holder: "n2", Epoch: 3, State: `{"alive":4,"odd":[{"name":"n7","state":"dead"}]}`}}}, nil)
	if code, out, errOut := call(t, "", "members", "--from-keeper", x, notes); code != 0 || !strings.Contains(out, "n7") || !strings.Contains(out, `"holder": "n2"`) {
		t.Errorf("exit %d: %s %s", code, out, errOut)
	}
	if code, _, errOut := call(t, "", "members", "--from-keeper", x); code != 1 || !strings.Contains(errOut, "no notes have been recorded") {
		t.Errorf("exit %d: %s", code, errOut)
	}
	if code, _, errOut := call(t, "", "duties", "release", "pace", x); code != 1 || !strings.Contains(errOut, "none of these agents holds pace") {
		t.Errorf("exit %d: %s", code, errOut)
	}
}
