package cluster_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/cluster"
	"lemonrail/internal/member/link"
	"lemonrail/internal/standin"
)

const (
	patience = 30 * time.Second // far longer than any wait should take on an idle machine
	// The period is that of deploy/members.toml, for tests that count changes of members' states: delays of a busy machine must not
	// cause any.
	calmMembers  = "period_ms = 250\npause_ms = 30000\nrate = 60\n"
	quickMembers = "period_ms = 100\npause_ms = 3000\nrate = 100\nfolder = \"DIR/keep\"\n"
)

var program struct {
	once sync.Once
	path string
	err  error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if program.path != "" {
		os.RemoveAll(filepath.Dir(program.path))
	}
	os.Exit(code)
}

// buildProgram returns the path of the agent's program, which is built once.
func buildProgram(t testing.TB) string {
	t.Helper()
	program.once.Do(func() {
		dir, err := os.MkdirTemp("", "lemonrail-cluster")
		if err != nil {
			program.err = err
			return
		}
		program.path = filepath.Join(dir, "lemonrail")
		cmd := exec.Command("go", "build", "-o", program.path, "lemonrail/cmd/lemonrail")
		if out, err := cmd.CombinedOutput(); err != nil {
			program.err = fmt.Errorf("%w: %s", err, out)
		}
	})
	if program.err != nil {
		t.Fatal(program.err)
	}
	return program.path
}

// startCluster starts n agents and waits until all agree on the members.
func startCluster(t testing.TB, n, zones int, members string) *cluster.Cluster {
	t.Helper()
	sc, err := standin.ParseScenario("site", []byte(cluster.SiteText(n, zones)))
	if err != nil {
		t.Fatal(err)
	}
	c, err := cluster.Open(cluster.Options{Program: buildProgram(t), Dir: t.TempDir(), Scenario: sc, Members: members, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(c.Logs(12))
		}
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		for _, a := range c.Agents {
			if a.Up() {
				t.Errorf("%s is still running", a.Name)
			}
		}
	})
	must(t, c.StartAll(patience))
	must(t, c.Until(patience, c.Agree))
	return c
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// waitForView waits until so reports true for an agent's members report. what describes that for the error.
func waitForView(t testing.TB, c *cluster.Cluster, at int, what string, so func(*link.Report) bool) {
	t.Helper()
	var last *link.Report
	err := c.Until(patience, func() error {
		r, err := c.Agents[at].Members()
		if err != nil {
			return err
		}
		if last = r; !so(r) {
			return fmt.Errorf("%s does not see: %s", r.Name, what)
		}
		return nil
	})
	if err != nil {
		t.Fatalf("%v; last: %+v", err, last)
	}
}

// row returns the row of a member in a report, empty if the report has none.
func row(r *link.Report, name string) link.Row {
	for _, m := range r.Members {
		if m.Name == name {
			return m
		}
	}
	return link.Row{}
}

// changeCounts returns for each agent the number of changes of members' states that it has seen.
func changeCounts(t testing.TB, c *cluster.Cluster) (n []uint64) {
	t.Helper()
	for _, a := range c.Agents {
		r, err := a.Members()
		must(t, err)
		n = append(n, r.Changes)
	}
	return n
}

// A process that is killed is reported as dead with proof (its machine refuses datagrams), one that ends on SIGTERM as left.
// A killed process that is started again without its stored state gets a higher start counter.
func TestKillLeaveAndRestart(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 7, 2, quickMembers)
	must(t, c.Agents[3].Kill())
	must(t, c.Agents[4].Term())
	for _, at := range []int{0, 1, 2, 5, 6} {
		waitForView(t, c, at, "n3 dead with proof, n4 left, five living members", func(r *link.Report) bool {
			return row(r, "n3").State == "dead" && row(r, "n3").Proved && row(r, "n4").State == "left" && r.Living == 5 && r.Possible == 5
		})
	}
	first := row(mustView(t, c, 0), "n3")
	must(t, c.Agents[3].Wipe())
	must(t, c.Agents[3].Start())
	must(t, c.Agents[4].Start())
	must(t, c.Until(patience, c.Agree))
	if again := row(mustView(t, c, 0), "n3"); again.Start <= first.Start {
		t.Errorf("the second life has start counter %d, the first had %d", again.Start, first.Start)
	}
}

// mustView returns an agent's members report.
func mustView(t testing.TB, c *cluster.Cluster, at int) *link.Report {
	t.Helper()
	r, err := c.Agents[at].Members()
	must(t, err)
	return r
}

// A stopped agent is suspected, and not declared dead before the time for that has passed: each other agent counts two
// changes of its state in all, to suspect and back. Agents that were all stopped together declare nobody dead after they
// continue.
func TestStoppedProcesses(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 7, 1, calmMembers)
	before := changeCounts(t, c)
	must(t, c.Agents[2].Signal(syscall.SIGSTOP))
	for _, at := range []int{0, 1, 3, 4, 5, 6} {
		waitForView(t, c, at, "n2 suspected", func(r *link.Report) bool { return row(r, "n2").State == "suspect" })
	}
	must(t, c.Agents[2].Signal(syscall.SIGCONT))
	must(t, c.Until(patience, c.Agree))
	for i, n := range changeCounts(t, c) {
		if i != 2 && n-before[i] != 2 {
			t.Errorf("n%d saw %d changes, want 2", i, n-before[i])
		}
	}
	changeCounts(t, c) // each agent answers before it is stopped
	for _, a := range c.Agents {
		must(t, a.Signal(syscall.SIGSTOP))
	}
	time.Sleep(2 * time.Second) // stopped processes do nothing, so there is no event to wait for
	for _, a := range c.Agents {
		must(t, a.Signal(syscall.SIGCONT))
	}
	must(t, c.Until(patience, c.Agree))
	for _, a := range c.Agents {
		r, err := a.Members()
		must(t, err)
		if r.Counters.Wakes == 0 {
			t.Errorf("%s did not notice that it had been stopped", a.Name)
		}
		for _, m := range r.Members {
			if m.State == "dead" {
				t.Errorf("%s woke and holds %s for dead", a.Name, m.Name)
			}
		}
	}
}

// If datagrams from one agent to another are lost, all agents report that, and nobody is suspected.
func TestOneWayCutIsReported(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 5, 1, calmMembers)
	before := changeCounts(t, c)
	c.Link([]int{1}, []int{2}, func(f *cluster.Fault) { f.Cut = true })
	for at := range 5 {
		waitForView(t, c, at, "n2 not reached from n1, and no more", func(r *link.Report) bool {
			return fmt.Sprint(row(r, "n2").UnreachableFrom) == "[n1]" && len(row(r, "n1").UnreachableFrom) == 0
		})
	}
	for i, n := range changeCounts(t, c) {
		if n != before[i] {
			t.Errorf("n%d saw %d changes of state", i, n-before[i])
		}
	}
	c.Link([]int{1}, []int{2}, func(f *cluster.Fault) { f.Cut = false })
	must(t, c.Until(patience, c.Agree))
}

// Datagrams that are malformed, of another fleet or from an unknown sender are dropped and counted in the members report.
func TestGarbageIsCounted(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2, 1, quickMembers)
	own := c.Agents[0].Peer()
	from, err := net.Dial("udp4", own.String())
	must(t, err)
	defer from.Close()
	for _, raw := range [][]byte{{0xd2}, {0xd2, 1, 0, 0, 99, 0}, append([]byte{0xd2, 9}, make([]byte, 40)...), append([]byte{0xd2, 1, 0, 0, 0, 0, 0, 0, 1}, make([]byte, 4)...), make([]byte, 300)} {
		_, err := from.Write(raw)
		must(t, err)
	}
	waitForView(t, c, 0, "two garbled, one foreign, one under another's number", func(r *link.Report) bool {
		return r.Counters.Garbled >= 2 && r.Counters.Foreign >= 1 && r.Counters.Strange >= 1 && r.Alive == 2
	})
}

// Seven agents are divided into five and two: the five declare the two dead, and the two know that they are the minority, so
// that they declare nobody dead.
func TestPartition(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 7, 1, quickMembers)
	five, two := []int{0, 1, 2, 3, 4}, []int{5, 6}
	cut := func(on bool) {
		c.Link(five, two, func(f *cluster.Fault) { f.Cut = on })
		c.Link(two, five, func(f *cluster.Fault) { f.Cut = on })
	}
	cut(true)
	for _, at := range five {
		waitForView(t, c, at, "a majority of five", func(r *link.Report) bool { return r.Majority && r.Alive == 5 && row(r, "n6").State == "dead" })
	}
	for _, at := range two {
		waitForView(t, c, at, "a minority that counts all as living", func(r *link.Report) bool {
			return r.Standing == "minority" && r.Alive == 2 && r.Living == 7 && row(r, "n0").State == "suspect"
		})
	}
	cut(false)
	must(t, c.Until(patience, c.Agree))
}

// When the faults of a random timetable have ended, all running agents agree on which agents are alive.
func TestSeededTimetables(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 8, 2, quickMembers)
			table := cluster.RandomTimetable(seed, 8, 2, 8)
			must(t, c.Play(context.Background(), table, func(h cluster.TimetableEvent) { t.Logf("%.2f s %s", h.At.Seconds(), h.Text) }))
			if err := c.Until(patience, c.Agree); err != nil {
				t.Fatalf("%v\nreproduce with: lemonctl cluster run --agent bin/lemonrail --seed %d --agents 8 --zones 2 --seconds 8", err, seed)
			}
		})
	}
}

func TestParseTimetableErrors(t *testing.T) {
	for _, tt := range []struct{ text, want string }{
		{"agents = 0\nseconds = 1", "line 1: agents"},
		{"agents = 7\nseconds = 0", "seconds"},
		{"agents = 7\nzones = 30\nseconds = 1", "line 2: zones"},
		{"agents = 7\nseconds = 1\nsise = 3", "line 3: unknown key sise"},
		{"agents = 7\nseconds = 9\n[[event]]\nwhat = 'melt'\nwho = ['n1']", "line 3: event.what"},
		{"agents = 7\nseconds = 9\n[[event]]\nwhat = 'kill'\nwho = ['n7']", "line 3: event.from, to, who"},
		{"agents = 7\nseconds = 9\n[[event]]\nwhat = 'cut'\nwho = ['n1']", "line 3: event.from, to"},
		{"agents = 7\nseconds = 9\n[[event]]\nwhat = 'loss'\nfrom = ['n1']\nto = ['all']\nsize = 2", "line 3: event.size"},
		{"agents = 7\nseconds = 9\n[[event]]\nwhat = 'kill'\nwho = ['n1']\nat_s = 10", "line 3: event.at_s"},
	} {
		if _, err := cluster.ParseTimetable("t.toml", []byte(tt.text)); err == nil || !strings.Contains(err.Error(), "t.toml: ") || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%q: %v, want %s", tt.text, err, tt.want)
		}
	}
	ok := "agents = 7\nzones = 2\nseconds = 9\n[[event]]\nwhat = 'cut'\nfrom = ['zone:a']\nto = ['zone:b', 'any:2']\nboth = true\nfor_s = 2\n"
	if _, err := cluster.ParseTimetable("t.toml", []byte(ok)); err != nil {
		t.Error(err)
	}
}
