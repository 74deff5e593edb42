package trial

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestBuiltInDaysAreValid(t *testing.T) {
	for _, name := range DayNames() {
		d, err := ReadDay(name)
		if err != nil {
			t.Fatal(err)
		}
		if d.Name != name || d.About == "" {
			t.Errorf("%s is called %q: %q", name, d.Name, d.About)
		}
	}
}

func TestReadDayRejectsInvalidValues(t *testing.T) {
	good, err := dayFiles.ReadFile("days/resets.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ old, new, want string }{
		{"of_capacity = 0.5", "", "of_capacity or per_second"},
		{"of_capacity = 0.5", "of_capacity = -1", "load"},
		{"seconds = 15", "", "load.seconds"},
		{"seconds = 15", "seconds = 15\nshare = 2.0", "load.share"},
		{"seconds = 15", "secs = 15", "line 6: unknown key load.secs"},
		{"work_ms = 25", "work_ms = -1.0", "work_ms"},
	} {
		path := filepath.Join(t.TempDir(), "day.toml")
		if err := os.WriteFile(path, bytes.Replace(good, []byte(tt.old), []byte(tt.new), 1), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadDay(path); err == nil || !strings.Contains(err.Error(), tt.want) || !strings.Contains(err.Error(), path) {
			t.Errorf("%q: got %v, want %q and the file's name", tt.new, err, tt.want)
		}
	}
	if _, err := ReadDay("none"); err == nil || !strings.Contains(err.Error(), "resets") {
		t.Errorf("got %v, want the names of the days", err)
	}
}

// shortDay returns a built-in day cut down to 400 requests, with aims and deadlines that a slow machine can
// meet.
func shortDay(t *testing.T, name string) *Day {
	t.Helper()
	d, err := ReadDay(name)
	if err != nil {
		t.Fatal(err)
	}
	d.Load.Requests, d.Load.Seconds = 400, 30
	d.Site.Rules.SlackMs = 400
	for i := range d.Site.Classes {
		d.Site.Classes[i].WorkMs, d.Site.Classes[i].AimMs, d.Site.Classes[i].DeadlineMs = 2, 4000, 8000
	}
	return d
}

// A closed loop with more clients than the agent's initial limit on attempts in flight gets no refusal while nodes have free slots.
func TestIdleDayRefusesNothing(t *testing.T) {
	o, err := PlayDay(context.Background(), shortDay(t, "idle"), DayOptions{Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if o.Requests != 400 || o.InTime+o.Late != 400 || !o.RulesHeld || o.Worth < 0.99 {
		t.Errorf("got %+v", o)
	}
	sum := Counts{}
	for _, w := range o.Windows {
		sum.add(w)
	}
	if sum != o.Counts {
		t.Errorf("the windows hold %+v, the day %+v", sum, o.Counts)
	}
}

// The same seed plans the same requests; another seed plans others.
func TestPlanDependsOnSeed(t *testing.T) {
	d := shortDay(t, "resets")
	a, b, c := d.plan(400, 1), d.plan(400, 1), d.plan(400, 2)
	differ := false
	for range 100 {
		x, _ := a()
		y, _ := b()
		z, _ := c()
		if x.Offset != y.Offset || x.Class != y.Class || x.IdempotencyKey != y.IdempotencyKey {
			t.Fatalf("%+v and %+v", x, y)
		}
		differ = differ || x.Offset != z.Offset
	}
	if !differ {
		t.Error("another seed plans the same requests")
	}
}

// If nodes reset kept connections at the next request, no request is lost and no rule of the ledger is broken.
func TestStaleDayKeepsTheRules(t *testing.T) {
	d := shortDay(t, "stale")
	d.Site.Faults[0].AtS, d.Site.Faults[0].Size = 0, 1
	d.Load.OfCapacity, d.Load.PerSecond = 0, 100
	o, err := PlayDay(context.Background(), d, DayOptions{Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if o.Lost > 0 || !o.RulesHeld || o.Requests != 400 {
		t.Errorf("got %+v", o)
	}
	var text bytes.Buffer
	if err := Text(&text, []*Outcome{o}); err != nil || !strings.Contains(text.String(), "held") {
		t.Errorf("%v\n%s", err, text.String())
	}
}
