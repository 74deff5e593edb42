package site

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

// deploy/sites.toml holds the default settings, and its commented-out example of sites, classes and demand is valid.
func TestShippedFile(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/sites.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, p, err := ParseFile("sites.toml", raw)
	if err != nil || !reflect.DeepEqual(f, DefaultFile()) {
		t.Fatalf("%+v, %v", f, err)
	}
	c, err := f.ControllerConfig(p, []string{"a", "b"}, twoClasses, 0.3, 4*time.Second)
	want := DefaultControllerConfig([]string{"a", "b"}, 0.3, 4*time.Second)
	want.Classes = twoClasses
	if err != nil || !reflect.DeepEqual(c, want) {
		t.Errorf("%+v, want %+v, %v", c, want, err)
	}
	// With the figures in the comments of the file.
	text := strings.ReplaceAll(string(raw), "# [[", "[[")
	for _, key := range []string{"name", "capacity", "worth", "site", "class", "per_s"} {
		text = strings.ReplaceAll(text, "\n# "+key+" ", "\n"+key+" ")
	}
	text = text[:strings.Index(text, "[[price]]")] + "[[site]]\nname = \"b\"\ncapacity = 10.0\n"
	f, p, err = ParseFile("sites.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	classes := []Class{{"read", 1}, {"alert-sub", 3}}
	if c, err := f.ControllerConfig(p, []string{"b", "a"}, classes, 0.3, time.Second); err != nil || c.Figures.Problem.Capacity[1] != 300 ||
		c.Figures.Problem.Demand[1][1] != 80 || c.Figures.Problem.Classes[1].Worth != 10 || c.Figures.Problem.Cross[0][1] != 0.02 {
		t.Errorf("%+v, %v", c.Figures.Problem, err)
	}
	for _, sites := range [][]string{{"a"}, {"a", "c"}, {"a", "b", "c"}} {
		if _, err := f.ControllerConfig(p, sites, classes, 0.3, time.Second); err == nil || !strings.Contains(err.Error(), "site") {
			t.Errorf("%v: %v", sites, err)
		}
	}
	if _, err := f.ControllerConfig(p, []string{"a", "b"}, classes[:1], 0.3, time.Second); err == nil || !strings.Contains(err.Error(), "alert-sub") {
		t.Errorf("%v", err)
	}
}
