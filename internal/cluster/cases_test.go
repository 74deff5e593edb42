package cluster_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/cluster"
	"lemonrail/internal/member/link"
)

// Each case applies faults to links or processes, waits for the reports expected with them, ends the faults and waits until
// the members reports of all agents agree and are correct again.
func TestHardCases(t *testing.T) {
	all := func(n int) (who []int) {
		for i := range n {
			who = append(who, i)
		}
		return who
	}
	cut := func(c *cluster.Cluster, from, to []int, on bool) {
		c.Link(from, to, func(f *cluster.Fault) { f.Cut = on })
	}
	standing := func(want ...string) func(*link.Report) bool {
		return func(r *link.Report) bool {
			for _, w := range want {
				if r.Standing == w {
					return true
				}
			}
			return false
		}
	}
	noDeath := func(t *testing.T, c *cluster.Cluster) {
		t.Helper()
		for i := range c.Agents {
			r := mustView(t, c, i)
			for _, m := range r.Members {
				if m.State == "dead" {
					t.Errorf("%s holds %s for dead", r.Name, m.Name)
				}
			}
		}
	}
	for _, tt := range []struct {
		name     string
		n, zones int
		members  string
		do       func(*testing.T, *cluster.Cluster)
	}{
		{"one agent receives nothing", 7, 1, calmMembers, func(t *testing.T, c *cluster.Cluster) {
			before := changeCounts(t, c)
			cut(c, all(7), []int{3}, true)
			waitForView(t, c, 3, "that it is alone", standing("alone"))
			waitForView(t, c, 0, "n3 alive, in doubt, not reached from most", func(r *link.Report) bool {
				m := row(r, "n3")
				return m.State == "alive" && m.Doubts && len(m.UnreachableFrom) >= 5
			})
			noDeath(t, c)
			for i, n := range changeCounts(t, c) {
				if i != 3 && n != before[i] {
					t.Errorf("n%d saw %d changes", i, n-before[i])
				}
			}
			cut(c, all(7), []int{3}, false)
		}},
		{"one agent's datagrams are lost", 7, 1, quickMembers, func(t *testing.T, c *cluster.Cluster) {
			cut(c, []int{3}, all(7), true)
			waitForView(t, c, 0, "n3 dead, not proved", func(r *link.Report) bool { return row(r, "n3").State == "dead" && !row(r, "n3").Proved })
			waitForView(t, c, 3, "that it is no majority", standing("alone", "minority"))
			cut(c, []int{3}, all(7), false)
		}},
		{"one zone receives nothing from the other", 8, 2, quickMembers, func(t *testing.T, c *cluster.Cluster) {
			cut(c, []int{1, 3, 5, 7}, []int{0, 2, 4, 6}, true)
			waitForView(t, c, 0, "its own zone alone", standing("own zone"))
			noDeath(t, c)
			cut(c, []int{1, 3, 5, 7}, []int{0, 2, 4, 6}, false)
		}},
		{"each agent receives from one neighbour only", 7, 1, quickMembers, func(t *testing.T, c *cluster.Cluster) {
			ring := func(on bool) {
				for a := range 7 {
					for b := range 7 {
						if a != (b+1)%7 {
							cut(c, []int{a}, []int{b}, on)
						}
					}
				}
			}
			ring(true)
			for i := range 7 {
				waitForView(t, c, i, "no majority", standing("alone", "minority"))
			}
			noDeath(t, c)
			ring(false)
		}},
		{"a partition into halves", 6, 1, quickMembers, func(t *testing.T, c *cluster.Cluster) {
			a, b := []int{0, 1, 2}, []int{3, 4, 5}
			cut(c, a, b, true)
			cut(c, b, a, true)
			for i := range 6 {
				waitForView(t, c, i, "three alive and no majority", func(r *link.Report) bool { return r.Alive == 3 && !r.Majority && r.Living == 6 })
			}
			noDeath(t, c)
			cut(c, a, b, false)
			cut(c, b, a, false)
		}},
		{"a partition into three, with a restart", 7, 1, quickMembers, func(t *testing.T, c *cluster.Cluster) {
			parts := [][]int{{0, 1, 2}, {3, 4}, {5, 6}}
			for i, a := range parts {
				for j, b := range parts {
					if i != j {
						cut(c, a, b, true)
					}
				}
			}
			for i := range 7 {
				waitForView(t, c, i, "no majority", standing("alone", "minority"))
			}
			must(t, c.Agents[6].Kill())
			waitForView(t, c, 5, "n6 dead with proof", func(r *link.Report) bool { return row(r, "n6").Proved })
			must(t, c.Agents[6].Start())
			for i, a := range parts {
				for j, b := range parts {
					if i != j {
						cut(c, a, b, false)
					}
				}
			}
		}},
		{"three of seven are stopped", 7, 1, calmMembers, func(t *testing.T, c *cluster.Cluster) {
			for _, i := range []int{1, 3, 5} {
				must(t, c.Agents[i].Signal(syscall.SIGSTOP))
			}
			waitForView(t, c, 0, "three suspected", func(r *link.Report) bool {
				return row(r, "n1").State == "suspect" && row(r, "n3").State == "suspect" && row(r, "n5").State == "suspect"
			})
			for _, i := range []int{1, 3, 5} {
				must(t, c.Agents[i].Signal(syscall.SIGCONT))
			}
			must(t, c.Until(patience, c.Agree))
			noDeath(t, c)
		}},
		{"loss, duplicates and delays", 8, 2, quickMembers, func(t *testing.T, c *cluster.Cluster) {
			c.Link(all(8), all(8), func(f *cluster.Fault) {
				f.Loss, f.Double, f.Delay = 0.3, 0.2, [2]time.Duration{0, 300 * time.Millisecond}
			})
			must(t, c.Agents[5].Kill())
			for _, i := range []int{0, 1, 7} {
				waitForView(t, c, i, "n5 gone", func(r *link.Report) bool { return row(r, "n5").State == "dead" })
			}
			for i := range 8 {
				if i == 5 {
					continue
				}
				for _, m := range mustView(t, c, i).Members {
					if m.State == "dead" && m.Name != "n5" {
						t.Errorf("n%d holds %s for dead", i, m.Name)
					}
				}
			}
			c.Link(all(8), all(8), func(f *cluster.Fault) { *f = cluster.Fault{} })
			must(t, c.Agents[5].Start())
		}},
		{"links stall and recover", 6, 1, quickMembers, func(t *testing.T, c *cluster.Cluster) {
			c.Link([]int{2}, all(6), func(f *cluster.Fault) { f.Stall = true })
			waitForView(t, c, 0, "n2 suspected or dead", func(r *link.Report) bool { s := row(r, "n2").State; return s == "suspect" || s == "dead" })
			c.Link([]int{2}, all(6), func(f *cluster.Fault) { f.Stall = false })
		}},
		{"a rolling restart", 6, 2, quickMembers, func(t *testing.T, c *cluster.Cluster) {
			for i, a := range c.Agents {
				must(t, a.Term())
				waitForView(t, c, (i+1)%6, a.Name+" left", func(r *link.Report) bool { return row(r, a.Name).State == "left" })
				must(t, a.Start())
				waitForView(t, c, (i+1)%6, a.Name+" back", func(r *link.Report) bool { return row(r, a.Name).State == "alive" })
			}
		}},
		{"one agent has 5 % of a core", 6, 1, quickMembers, func(t *testing.T, c *cluster.Cluster) {
			c.Agents[4].LimitCPU(0.05)
			must(t, c.Agents[1].Kill())
			for _, i := range []int{0, 2, 3, 5} {
				waitForView(t, c, i, "n1 gone, and nobody else", func(r *link.Report) bool { return row(r, "n1").State == "dead" && r.Majority })
			}
			noSlowAccusation(t, c)
			c.Agents[4].LimitCPU(1)
			must(t, c.Agents[1].Start())
		}},
		{"ten of fourteen agents are killed and restarted together", 14, 2, quickMembers, func(t *testing.T, c *cluster.Cluster) {
			for _, a := range c.Agents[4:] {
				must(t, a.Kill())
			}
			for i := range 4 {
				waitForView(t, c, i, "four living members", func(r *link.Report) bool { return r.Living == 4 && r.Possible == 4 })
			}
			for _, a := range c.Agents[4:] {
				must(t, a.Start())
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, tt.n, tt.zones, tt.members)
			tt.do(t, c)
			must(t, c.Until(patience, c.Agree))
		})
	}
}

// noSlowAccusation checks that agent 0 holds no agent but n1, the slow one, for dead.
func noSlowAccusation(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	for _, m := range mustView(t, c, 0).Members {
		if m.State == "dead" && m.Name != "n1" {
			t.Errorf("%s is held for dead", m.Name)
		}
	}
}

// Agents that get no peers from the platform's configuration find each other by the list in their members file, and an agent
// that isn't in the list can join if the file allows strangers.
func TestFleetFromFileWithStranger(t *testing.T) {
	t.Parallel()
	bin, dir := buildProgram(t), t.TempDir()
	// Use a loopback address of the test's own: on a shared one, a port that was free a moment ago may be
	// taken.
	host := fmt.Sprintf("127.201.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)
	var at []string
	for i := range 4 {
		at = append(at, fmt.Sprintf("%s:%d", host, 7946+i))
	}
	var doors []string
	for i := range 4 {
		text := fmt.Sprintf("fleet = \"f\"\nperiod_ms = 100\npause_ms = 3000\nrate = 100\nstrangers = true\nexpected = 3\nlisten = %q\n", at[i])
		for j := range 3 {
			text += fmt.Sprintf("[[member]]\nname = \"m%d\"\naddress = %q\n", j, at[j])
		}
		file, config := filepath.Join(dir, fmt.Sprintf("m%d.toml", i)), filepath.Join(dir, fmt.Sprintf("m%d.json", i))
		must(t, os.WriteFile(file, []byte(text), 0o600))
		must(t, os.WriteFile(config, fmt.Appendf(nil, `{"name":"m%d","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","known":{"seq":1,"whole":true,"hosts":[]},
		 "settings":{"Balancers":3,"Me":%d,"Dcs":["a"],"Kinds":["m"],"Profiles":[{"Name":"read","AimMs":100,"DeadlineMs":200,"Semantics":"repeatable"}]}}`, i, i%3), 0o600))
		doors = append(doors, fmt.Sprintf("%s:%d", host, 9900+i))
		cmd := exec.Command(bin, "-members", file)
		cmd.Env = []string{"LB_CONFIG=" + config, "LB_CONTROL=" + doors[i], "TMPDIR=" + dir}
		must(t, cmd.Start())
		t.Cleanup(func() {
			cmd.Process.Kill()
			cmd.Wait()
		})
	}
	for i := range 4 {
		if err := cluster.AwaitMembers(doors[i], patience, func(r *link.Report) error {
			if r.Alive != 4 || row(r, "m3").State != "alive" || row(r, "m0").State != "alive" {
				return fmt.Errorf("%s sees %d alive", r.Name, r.Alive)
			}
			return nil
		}); err != nil {
			t.Error(err)
		}
	}
}
