package trial

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lemonrail/internal/ledger"
	"lemonrail/internal/load"
	"lemonrail/internal/standin"
)

func TestMain(m *testing.M) {
	flag.Parse()
	goleak.VerifyTestMain(m)
}

const site = `
seed = 5
sites = ["a", "b"]
agents = 2
[rules]
ramp_ms = 1500
slack_ms = 400 # delays of a busy machine must not count as broken rules
[allow]
retry_after = true
connect_ms = 1000
[discovery]
delay_ms = [20, 200]
[report]
fields = ["latency_ms", "qps", "queue"]
[[class]]
name = "point-read"
work_ms = 4
cv = 0.5
aim_ms = 2000
deadline_ms = 5000
[[class]]
name = "alert-sub"
effect = "keyed"
group = "zone"
window_ms = 1000
work_ms = 8
cv = 0.5
aim_ms = 2500
deadline_ms = 5000
worth = 10
[[kind]]
name = "k"
cores = 4
queue = 400
[[node]]
name = "x"
kind = "k"
count = 3
[[node]]
name = "y"
kind = "k"
site = "b"
block = 1
count = 3
`

func scenario(t testing.TB, more string) *standin.Scenario {
	t.Helper()
	sc, err := standin.ParseScenario("site.toml", []byte(site+more))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// generatedPlan returns a plan of a generated log, with deadlines that a slow machine can meet.
func generatedPlan(t testing.TB, shape string, rate, seconds float64) (*load.Plan, load.Generated) {
	t.Helper()
	var text bytes.Buffer
	g, err := load.Generate(&text, load.GenerateOptions{Shape: shape, Format: "json", Rate: rate, Seconds: seconds, Repeats: 0.03, Seed: 9})
	if err != nil {
		t.Fatal(err)
	}
	m, err := load.ParseMapping("m.toml", []byte(`
[[rule]]
class = "point-read"
path = '^/point-read'
key = "{query:key}"
time_left_ms = 5000
[[rule]]
class = "alert-sub"
path = '^/alert-sub'
keyed = true
key = "{query:key}"
idempotency_key = "{header:idempotency-key}"
time_left_ms = 5000
body_bytes = 40
`))
	if err != nil {
		t.Fatal(err)
	}
	p, err := load.NewPlan([]string{"-"}, load.Options{Stdin: &text}, load.OrderOptions{}, m)
	if err != nil {
		t.Fatal(err)
	}
	return p, g
}

func run(t testing.TB, o Options) (*load.Report, *ledger.Verdict) {
	t.Helper()
	o.Dir = t.TempDir()
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	return r, r.Verdict.(*ledger.Verdict)
}

// A log that is played through real agents reproduces its rate and its mix of classes, and each repeat is sent
// exactly once.
func TestReplayReproducesTheLog(t *testing.T) {
	for _, shape := range []string{"steady", "bursty", "monsoon"} {
		t.Run(shape, func(t *testing.T) {
			plan, g := generatedPlan(t, shape, 60, 6)
			sent := map[int64]int{}
			r, v := run(t, Options{Scenario: scenario(t, ""), Next: plan.Next, Window: 6 * time.Second, OnResult: func(s *load.Sample) { sent[s.Request.Seq]++ }})
			if r.Requests != g.Requests || r.Repeats != g.Repeats || int64(len(sent)) != g.Requests {
				t.Errorf("played %d with %d repeats, the log has %+v", r.Requests, r.Repeats, g)
			}
			for class, n := range g.Classes {
				if c := r.Classes[class]; c == nil || c.Requests != n || c.Outcomes[load.Unsent] != 0 {
					t.Errorf("%s: played %+v, the log has %d", class, c, n)
				}
			}
			if !v.Held() || v.Requests != g.Requests {
				t.Errorf("got %s", v)
			}
			if r.Outcomes[load.Served] < g.Requests*9/10 {
				t.Errorf("outcomes %v", r.Outcomes)
			}
		})
	}
}

// With all of the simulated site's faults at once the ledger finds no rule broken, even where requests fail.
func TestRulesHoldUnderFaults(t *testing.T) {
	plan, g := generatedPlan(t, "steady", 80, 8)
	r, v := run(t, Options{Next: plan.Next, Scenario: scenario(t, `
[[fault]]
what = "fail_fast"
at_s = 0.5
for_s = 6
nodes = ["x-1"]
size = 0.6
[[fault]]
what = "slow"
at_s = 1
for_s = 2
size = 2
[[fault]]
what = "silent"
at_s = 1.5
for_s = 2
nodes = ["y-1"]
[[fault]]
what = "reset_before"
at_s = 0.5
for_s = 6
nodes = ["x-2"]
size = 0.05
[[fault]]
what = "reset_after"
at_s = 0.5
for_s = 6
nodes = ["y-2"]
size = 0.05
[[fault]]
what = "spoilt"
at_s = 0.5
for_s = 6
nodes = ["x-3"]
size = 0.05
[[fault]]
what = "report_unreadable"
at_s = 0.5
nodes = ["y-2"]
size = 0.2
[[fault]]
what = "drain"
at_s = 2
for_s = 2.5
nodes = ["x-3"]
[[fault]]
what = "restart"
at_s = 3
nodes = ["y-3"]
size = 0.5
[[fault]]
what = "replace"
at_s = 4.5
nodes = ["x-1"]
size = 0.3
[[fault]]
what = "gone"
at_s = 5
for_s = 1
nodes = ["y-2"]
[[fault]]
what = "discovery_stale"
at_s = 1
for_s = 3
size = 1
[[fault]]
what = "discovery_down"
at_s = 3.5
for_s = 0.7
[[fault]]
what = "discovery_moves"
at_s = 6
`)})
	if !v.Held() || v.Requests != g.Requests {
		t.Errorf("%d of %d requests were judged: %s", v.Requests, g.Requests, v)
	}
	if r.Outcomes[load.Served] < g.Requests/2 || len(r.Site) < 14 {
		t.Errorf("outcomes %v; the site: %q", r.Outcomes, r.Site)
	}
}

// Agents can run as separate processes: they start, follow discovery to its new address on SIGHUP, and end on
// SIGTERM.
func TestAgentProcesses(t *testing.T) {
	program := filepath.Join(t.TempDir(), "lemonrail")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", program, "lemonrail/cmd/lemonrail").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	plan, g := generatedPlan(t, "steady", 50, 2)
	var logs bytes.Buffer
	r, v := run(t, Options{Next: plan.Next, Program: program, Log: &logs, Scenario: scenario(t, "[[fault]]\nwhat = \"discovery_moves\"\nat_s = 0.5\n")})
	if !v.Held() || v.Requests != g.Requests || r.Outcomes[load.Served] < g.Requests*9/10 {
		t.Errorf("got %v: %s\n%s", r.Outcomes, v, &logs)
	}
	if !bytes.Contains(logs.Bytes(), []byte("configuration read again")) {
		t.Errorf("discovery has not moved:\n%s", &logs)
	}
}

func TestAgentStartFailure(t *testing.T) {
	plan, _ := generatedPlan(t, "steady", 50, 1)
	if _, err := Run(context.Background(), Options{Next: plan.Next, Program: os.DevNull, Dir: t.TempDir(), Scenario: scenario(t, "")}); err == nil {
		t.Error("an agent that is no program started")
	}
	if _, err := Run(context.Background(), Options{Next: plan.Next, Dir: filepath.Join(t.TempDir(), "none"), Scenario: scenario(t, "")}); err == nil {
		t.Error("an agent started without a directory for its configuration")
	}
}

// BenchmarkReplay plays a log at several rates and reports the deviations from it; see
// docs/measurements/load.md.
func BenchmarkReplay(b *testing.B) {
	for _, shape := range []string{"steady", "bursty", "monsoon"} {
		for _, rate := range []float64{500, 1000, 3000} {
			b.Run(fmt.Sprintf("%s/%.0f", shape, rate), func(b *testing.B) {
				for range b.N {
					plan, g := generatedPlan(b, shape, rate, 30)
					r, v := run(b, Options{Scenario: scenario(b, ""), Next: plan.Next})
					b.ReportMetric(100*r.RateError, "rate-error-%")
					b.ReportMetric(100*r.MixError, "mix-error-%")
					b.ReportMetric(r.Lateness.P50, "late-p50-ms")
					b.ReportMetric(r.Lateness.P99, "late-p99-ms")
					b.ReportMetric(float64(r.Requests-g.Requests), "requests-off")
					b.ReportMetric(float64(r.Repeats-g.Repeats), "repeats-off")
					b.ReportMetric(float64(len(v.Broken)), "rules-broken")
				}
			})
		}
	}
}
