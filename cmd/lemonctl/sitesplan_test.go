package main

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestSitesPlan(t *testing.T) {
	code, out, errOut := call(t, "", "sites", "plan", "files/sites.toml")
	if code != 0 {
		t.Fatal(errOut)
	}
	for _, want := range []string{"all is well", "lost: anand", "clients of surat", "taken in: point-read", "in proportion"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	code, out, errOut = call(t, "", "sites", "plan", "files/sites.toml", "--lost", "anand", "--half", "surat", "--json")
	var got struct {
		Plans []sitePlan `json:"plans"`
	}
	if err := json.Unmarshal([]byte(out), &got); code != 0 || err != nil || len(got.Plans) != 1 {
		t.Fatalf("exit %d, %v: %s", code, err, errOut)
	}
	p := got.Plans[0]
	if best := p.PlansByStrategy["plan"].Worth; best < p.PlansByStrategy["nearest first"].Worth-1e-6 || best < p.PlansByStrategy["in proportion"].Worth-1e-6 || p.Load[0] != 0 {
		t.Errorf("%+v", p)
	}
	if code, _, errOut := call(t, "", "sites", "plan", "files/sites.toml", "--lost", "nowhere"); code != 1 || !strings.Contains(errOut, "anand, surat, bhuj") {
		t.Errorf("exit %d: %s", code, errOut)
	}
}
