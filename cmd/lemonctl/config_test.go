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

	"lemonrail/internal/configuration"
)

// stubControl is a control machine that sends a fixed answer for each path and records the changes put to it.
type stubControl struct {
	// answers has the answer for each path. An *ErrorBody is sent as a refusal. The elements of a []any are
	// the answers to successive calls; its last element answers all further calls.
	answers map[string]any
	changes []configuration.Change // changes received on PutPath, in order of arrival
}

func (c *stubControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == configuration.PutPath {
		var change configuration.Change
		if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.changes = append(c.changes, change)
	}
	answer := c.answers[r.URL.Path]
	if queue, ok := answer.([]any); ok {
		answer = queue[0]
		if len(queue) > 1 {
			c.answers[r.URL.Path] = queue[1:]
		}
	}
	if _, refused := answer.(*configuration.ErrorBody); refused {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	json.NewEncoder(w).Encode(answer)
}

// runConfig runs a lemonctl config command with control as the only control machine, and returns the exit
// code, standard output and standard error.
func runConfig(t *testing.T, control *stubControl, args ...string) (code int, out, errOut string) {
	t.Helper()
	web := httptest.NewServer(control)
	defer web.Close()
	t.Setenv("LEMONRAIL_CONTROL", strings.TrimPrefix(web.URL, "http://"))
	var stdout, stderr bytes.Buffer
	code = run(t.Context(), append([]string{"config"}, args...), streams{strings.NewReader(""), &stdout, &stderr})
	return code, stdout.String(), stderr.String()
}

func writeDocument(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "document.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const validDocument = "[limits]\nattempts = 3\n\n[classes.point-read]\naim_ms = 250.5\n"

func TestConfigCheckNamesFileLineAndField(t *testing.T) {
	for _, tt := range []struct{ name, text, want string }{
		{"an unknown field", "[limits]\nattempts = 3\n\n[classes.point-read]\naim_sm = 250\n", "line 5: classes.point-read.aim_sm"},
		{"a wrong type", "[limits]\nattempts = 'many'\n", "line 2: limits.attempts"},
		{"an invalid value", "[limits]\nsecond_copies = true\nattempts = -1\n", "line 3: limits.attempts"},
		{"an inline table", "limits = {attempts = -1}\n", "line 1: limits.attempts"},
		{"a later format", "format = 99\n", "line 1: format"},
		{"no TOML", "[limits\n", "line 1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			path := writeDocument(t, tt.text)
			code, _, errOut := runConfig(t, &stubControl{}, "check", path)
			if code != 1 || !strings.Contains(errOut, path+": "+tt.want) {
				t.Errorf("code %d: %s, want %s", code, errOut, tt.want)
			}
		})
	}
	if code, out, errOut := runConfig(t, &stubControl{}, "check", writeDocument(t, validDocument)); code != 0 || !strings.Contains(out, "makes sense") {
		t.Errorf("a good document: code %d: %s%s", code, out, errOut)
	}
}

func TestConfigPutUsesShownBaseAndOneChangeID(t *testing.T) {
	unknown := &configuration.ErrorBody{Kind: configuration.ErrorUnknown, Message: "the leader has gone"}
	accepted := configuration.Accepted{Scope: configuration.Fleet, Position: configuration.Position{Revision: 8, Epoch: 3}}
	control := &stubControl{answers: map[string]any{
		configuration.ShowPath: configuration.Revision{Scope: configuration.Fleet, Position: configuration.Position{Revision: 7, Epoch: 2}},
		configuration.PutPath:  []any{unknown, unknown, accepted},
	}}
	code, out, errOut := runConfig(t, control, "put", "fleet", writeDocument(t, validDocument), "--why", "slow reads")
	if code != 0 || !strings.Contains(out, "revision 8") {
		t.Fatalf("code %d: %s%s", code, out, errOut)
	}
	if len(control.changes) != 3 {
		t.Fatalf("%d attempts, want 3", len(control.changes))
	}
	for _, change := range control.changes {
		if change.ID == "" || change.ID != control.changes[0].ID {
			t.Errorf("attempts with the change IDs %q and %q", control.changes[0].ID, change.ID)
		}
		if change.Base != 7 || change.Reason != "slow reads" || change.Scope != configuration.Fleet {
			t.Errorf("sent %+v", change)
		}
		if _, err := configuration.ParseDocument(change.Document); err != nil {
			t.Errorf("document %s: %v", change.Document, err)
		}
	}
}

func TestConfigPutReportsConflict(t *testing.T) {
	control := &stubControl{answers: map[string]any{
		configuration.PutPath: &configuration.ErrorBody{Kind: configuration.ErrorConflict, Message: "at another revision",
			Position: configuration.Position{Revision: 9}},
	}}
	code, _, errOut := runConfig(t, control, "put", "fleet", writeDocument(t, validDocument), "--why", "slow reads", "--base", "7")
	if code != 1 || !strings.Contains(errOut, "revision 9") || len(control.changes) != 1 {
		t.Errorf("code %d after %d attempts: %s", code, len(control.changes), errOut)
	}
}

func TestConfigShowPrintsValidDocument(t *testing.T) {
	document, err := parseDocument("good", []byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	control := &stubControl{answers: map[string]any{configuration.ShowPath: configuration.Revision{Scope: configuration.Fleet,
		Position: configuration.Position{Revision: 7, Epoch: 2}, Document: document.Canonical(), Author: "someone", Reason: "two\nlines"}}}
	code, out, errOut := runConfig(t, control, "show", "fleet")
	if code != 0 || !strings.HasPrefix(out, "# fleet revision 7 (epoch 2), by someone") {
		t.Fatalf("code %d: %s%s", code, out, errOut)
	}
	again, err := parseDocument("shown", []byte(out))
	if err != nil || !bytes.Equal(again.Canonical(), document.Canonical()) {
		t.Errorf("the printed document parses as %+v, %v", again, err)
	}
}

func TestConfigStatusExitCodes(t *testing.T) {
	behind := configuration.Status{Scope: configuration.Fleet, Position: configuration.Position{Revision: 7}, Agents: 2, InForce: 1,
		Behind:      []configuration.AgentBehind{{Place: configuration.Place{Agent: "n1", Region: "a", Zone: "z", Service: "search"}, Reason: "refused: no such class"}},
		Unreachable: []string{"b1"}}
	there := configuration.Status{Scope: configuration.Fleet, Position: configuration.Position{Revision: 7}, Agents: 2, InForce: 2, Everywhere: true}
	for _, tt := range []struct {
		name    string
		answers []any
		args    []string
		code    int
		out     string
	}{
		{"in force", []any{there}, []string{"status", "fleet"}, 0, "in force at 2 of 2 agents"},
		{"behind", []any{behind}, []string{"status", "fleet"}, 1, "refused: no such class"},
		{"an unreachable machine is named", []any{behind}, []string{"status", "fleet"}, 1, "no answer from b1"},
		{"waited for", []any{behind, behind, there}, []string{"status", "fleet", "--wait"}, 0, "in force at 2 of 2 agents"},
		{"waited for until the timeout", []any{behind}, []string{"status", "fleet", "--wait", "--timeout", "300ms"}, 1, "in force at 1 of 2 agents"},
		{"as JSON", []any{there}, []string{"status", "fleet", "--json"}, 0, `"everywhere":true`},
		{"an invalid scope", nil, []string{"status", "continent/a"}, 2, ""},
		{"an invalid address", nil, []string{"status", "fleet", "--machine", "nowhere"}, 2, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			control := &stubControl{answers: map[string]any{configuration.StatusPath: tt.answers}}
			code, out, errOut := runConfig(t, control, tt.args...)
			if code != tt.code || !strings.Contains(out, tt.out) {
				t.Errorf("code %d, want %d: %s%s", code, tt.code, out, errOut)
			}
		})
	}
}
