package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lemonrail/internal/member/link"
)

// newMembersStub starts an agent's control listener that serves r as the membership report, or none if r is nil, and
// returns its address.
func newMembersStub(t *testing.T, r *link.Report) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r == nil || q.URL.Path != "/api/members" {
			http.NotFound(w, q)
			return
		}
		json.NewEncoder(w).Encode(r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// report returns the membership report of agent name, with the states in which it holds n0, n1 and n2.
// Reports with equal digests count as equal views.
func report(name, digest, standing string, states map[string]string) *link.Report {
	r := &link.Report{Name: name, Zone: "a", Digest: digest, Standing: standing, Majority: standing == "majority", Expected: 3, Living: 3, Possible: 3}
	for _, other := range []string{"n0", "n1", "n2"} {
		r.Members = append(r.Members, link.Row{Name: other, State: states[other]})
		if states[other] == "alive" {
			r.Alive++
		}
	}
	return r
}

func TestMembersShowsDisagreements(t *testing.T) {
	all := map[string]string{"n0": "alive", "n1": "alive", "n2": "dead"}
	a := newMembersStub(t, report("n0", "x", "majority", all))
	b := newMembersStub(t, report("n1", "x", "majority", all))
	c := newMembersStub(t, report("n2", "y", "alone", map[string]string{"n0": "suspect", "n1": "suspect", "n2": "alive"}))
	withoutMembers := newMembersStub(t, nil)
	page := filepath.Join(t.TempDir(), "views.html")
	code, out, errOut := call(t, "", "members", a, b, c, withoutMembers, "--html", page)
	if code != 0 {
		t.Fatalf("exit %d: %s", code, errOut)
	}
	for _, want := range []string{"2 views:", "  n0 n1", "they differ about n2: alive by n2; dead by n0 n1", "alone", withoutMembers + ": it keeps no view", "n2 dead"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	raw, err := os.ReadFile(page)
	if err != nil || !bytes.Contains(raw, []byte(`class="dead"`)) || !bytes.Contains(raw, []byte("<svg")) {
		t.Errorf("the page: %v, %d bytes", err, len(raw))
	}
	if code, out, errOut = call(t, "", "members", "--json", a, c); code != 0 {
		t.Fatalf("exit %d: %s", code, errOut)
	}
	var look membersSnapshot
	if err := json.Unmarshal([]byte(out), &look); err != nil || len(look.Views) != 2 || len(look.ViewGroups) != 2 {
		t.Errorf("%v: %s", err, out)
	}
	if code, _, _ := call(t, "", "members", withoutMembers); code != 1 {
		t.Errorf("exit %d where no agent answers", code)
	}
}

func TestMembersCompareIsDeterministic(t *testing.T) {
	var first string
	for range 2 {
		code, out, errOut := call(t, "", "members", "compare", "--sizes", "7", "--hours", "0.2", "--case", "stopped", "--json")
		if code != 0 {
			t.Fatalf("exit %d: %s", code, errOut)
		}
		var all struct {
			Rows []map[string]any `json:"rows"`
		}
		if err := json.Unmarshal([]byte(out), &all); err != nil || len(all.Rows) == 0 {
			t.Fatal(err)
		}
		for _, r := range all.Rows {
			delete(r, "real_seconds")
		}
		text, _ := json.Marshal(all.Rows)
		if first != "" && first != string(text) {
			t.Errorf("%s\n%s", first, text)
		}
		first = string(text)
	}
	for _, args := range [][]string{{"--sizes", "2"}, {"--hours=-1"}, {"--only", "none"}, {"--case", "none"}} {
		if code, _, _ := call(t, "", append([]string{"members", "compare"}, args...)...); code != 1 {
			t.Errorf("%v: exit %d", args, code)
		}
	}
}
