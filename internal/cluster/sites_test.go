package cluster_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"

	"lemonrail/internal/cluster"
	"lemonrail/internal/ledger"
	"lemonrail/internal/site/driver"
	"lemonrail/internal/standin"
)

// Three sites of three nodes, and a sites file that makes agents detect losses and returns quickly.
const (
	threeSites = `
seed = 3
seconds = 600
sites = ["a", "b", "c"]
agents = 6
[rules]
ramp_ms = 1000
slack_ms = 250
[allow]
attempts = 4
retry_after = true
peers = true
[[class]]
name = "read"
work_ms = 4
aim_ms = 300
deadline_ms = 600
[[class]]
name = "sub"
effect = "keyed"
group = "zone"
window_ms = 4000
work_ms = 4
aim_ms = 400
deadline_ms = 800
worth = 5
[[kind]]
name = "plain"
cores = 4
[[node]]
name = "na"
kind = "plain"
site = "a"
count = 3
[[node]]
name = "nb"
kind = "plain"
site = "b"
count = 3
[[node]]
name = "nc"
kind = "plain"
site = "c"
count = 3
`
	quickSites = "cross = 0.0\n[watch]\nlose_ms = 300\nclear_ms = 800\n[return]\ntrial_ms = 300\ntrial_longest_ms = 600\n"
)

// startSitesCluster runs six agents that watch three sites, under load until the test ends. It then checks
// that no rule was broken.
func startSitesCluster(t *testing.T) *cluster.Cluster { return startSitesClusterWith(t, "", 0) }

func startSitesClusterWith(t *testing.T, duties string, seats int) *cluster.Cluster {
	t.Helper()
	sc, err := standin.ParseScenario("site", []byte(threeSites))
	must(t, err)
	l := ledger.New(standin.LedgerRules(sc))
	c, err := cluster.Open(cluster.Options{Program: buildProgram(t), Dir: t.TempDir(), Scenario: sc, Members: quickMembers, Sites: quickSites, Seed: 1, Observer: l,
		Duties: duties, Seats: seats})
	must(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var loads sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		loads.Wait()
		if t.Failed() {
			t.Log(c.Logs(12))
		}
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		if v := l.Verdict(); !v.Held() {
			t.Errorf("%v", v)
		}
	})
	must(t, c.StartAll(patience))
	must(t, c.Until(patience, c.Agree))
	for i, a := range c.Agents {
		loads.Go(func() {
			if err := c.Load(ctx, l, []*cluster.Agent{a}, 60, uint64(i)); err != nil {
				t.Error(err)
			}
		})
	}
	return c
}

// waitForState waits until each of the given agents reports one of the given states for a site.
func waitForState(t *testing.T, c *cluster.Cluster, agents []int, site string, states ...string) {
	t.Helper()
	var last *driver.Report
	err := c.Until(patience, func() error {
		for _, i := range agents {
			r, err := c.Agents[i].Sites()
			if err != nil {
				return err
			}
			last = r
			for _, row := range r.Sites {
				if row.Site == site && !slices.Contains(states, row.State) {
					return fmt.Errorf("n%d holds %s for %s, not %v", i, site, row.State, states)
				}
			}
		}
		return nil
	})
	if err != nil {
		t.Fatalf("%v; last: %+v", err, last)
	}
}

// pastStates returns the states that a site went through at an agent, in order.
func pastStates(t *testing.T, c *cluster.Cluster, agent int, site string) (states []string) {
	t.Helper()
	r, err := c.Agents[agent].Sites()
	must(t, err)
	for _, h := range r.Changes {
		if h.Site == site {
			states = append(states, h.To)
		}
	}
	return states
}

func beginFault(t *testing.T, c *cluster.Cluster, f standin.FaultSpec) (end func()) {
	t.Helper()
	end, err := c.Site.BeginFault(f)
	must(t, err)
	return end
}

var (
	broadcast  = []int{0, 1, 2, 3, 4, 5}
	siteBNodes = []string{"nb"}
)

func TestSitesAreLostAndReturn(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault standin.FaultSpec
	}{
		{"silent", standin.FaultSpec{What: "silent", Nodes: siteBNodes}},
		{"with resets", standin.FaultSpec{What: "reset_before", Size: 1, Nodes: siteBNodes}},
		{"refusing, and cold when it is back", standin.FaultSpec{What: "restart", Size: 8, Nodes: siteBNodes}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := startSitesCluster(t)
			end := beginFault(t, c, tt.fault)
			waitForState(t, c, broadcast, "b", "lost")
			waitForState(t, c, broadcast, "a", "well")
			waitForState(t, c, broadcast, "c", "well")
			end()
			waitForState(t, c, broadcast, "b", "well")
			for i := range broadcast {
				states := pastStates(t, c, i, "b")
				if n := len(states); n < 4 || n > 8 || states[0] != "doubted" || !slices.Contains(states, "returning") {
					t.Errorf("n%d: states of one loss: %v", i, states)
				}
			}
		})
	}
}

// Faults that are not the loss of a whole site do not make agents hold a site for lost.
func TestOtherFaultsAreNotSiteLoss(t *testing.T) {
	t.Run("the agents of one site are cut off from another", func(t *testing.T) {
		t.Parallel()
		c := startSitesCluster(t)
		// Until peers report that site b answers them, an agent can't tell a cut from a loss.
		until(t, c, "every agent has heard that others are answered at b", func(r *driver.Report) bool { return r.Sites[1].Reaching >= 2 })
		end := beginFault(t, c, standin.FaultSpec{What: "cut", Nodes: siteBNodes, Agents: []string{"site:a"}})
		waitForState(t, c, []int{0, 3}, "b", "cut")
		waitForState(t, c, []int{1, 2, 4, 5}, "b", "well")
		end()
		waitForState(t, c, broadcast, "b", "well")
		for _, i := range []int{0, 3} {
			if states := pastStates(t, c, i, "b"); slices.Contains(states, "lost") || slices.Contains(states, "returning") {
				t.Errorf("n%d: %v; other agents kept the site warm", i, states)
			}
		}
	})
	t.Run("errors, and half of a site", func(t *testing.T) {
		t.Parallel()
		c := startSitesCluster(t)
		end := beginFault(t, c, standin.FaultSpec{What: "fail_fast", Size: 1, Nodes: siteBNodes})
		until(t, c, "every agent has met errors at b", func(r *driver.Report) bool { return r.Sites[1].Kinds["errored"] > 0 })
		end()
		beginFault(t, c, standin.FaultSpec{What: "restart", Size: 8, Nodes: []string{"nc-1"}})
		met := map[string]bool{}
		must(t, c.Until(patience, func() error {
			for _, a := range c.Agents {
				r, err := a.Sites()
				if err != nil {
					return err
				}
				met[a.Name] = met[a.Name] || r.Sites[2].Failing > 0
			}
			if len(met) < len(c.Agents) || slices.Contains(slices.Collect(maps.Values(met)), false) {
				return fmt.Errorf("not every agent has met a refusal at c: %v", met)
			}
			return nil
		}))
		for i := range broadcast {
			for _, s := range []string{"b", "c"} {
				if states := pastStates(t, c, i, s); slices.Contains(states, "lost") {
					t.Errorf("n%d: %s went through %v", i, s, states)
				}
			}
		}
	})
	t.Run("an agent that is cut off from all that is not its own", func(t *testing.T) {
		t.Parallel()
		c := startSitesCluster(t)
		var ends []func()
		for _, nodes := range [][]string{siteBNodes, {"nc"}} {
			ends = append(ends, beginFault(t, c, standin.FaultSpec{What: "cut", Nodes: nodes, Agents: []string{"n0"}}))
		}
		others := []int{1, 2, 3, 4, 5}
		cut := func(on bool) {
			set := func(f *cluster.Fault) { f.Cut = on }
			c.Link([]int{0}, others, set)
			c.Link(others, []int{0}, set)
		}
		cut(true)
		waitForState(t, c, []int{0}, "b", "cut", "lost")
		waitForState(t, c, []int{0}, "c", "cut", "lost")
		waitForState(t, c, others, "a", "well")
		waitForState(t, c, others, "b", "well")
		for _, end := range ends {
			end()
		}
		cut(false)
		waitForState(t, c, []int{0}, "b", "well")
		waitForState(t, c, []int{0}, "c", "well")
	})
}

// until waits until so reports true for every agent's report on sites. what describes that for the error.
func until(t *testing.T, c *cluster.Cluster, what string, so func(*driver.Report) bool) {
	t.Helper()
	must(t, c.Until(patience, func() error {
		for _, a := range c.Agents {
			r, err := a.Sites()
			if err != nil {
				return err
			}
			if !so(r) {
				return fmt.Errorf("%s: not yet: %s", a.Name, what)
			}
		}
		return nil
	}))
}

func TestSiteExcludedManually(t *testing.T) {
	t.Parallel()
	c := startSitesCluster(t)
	put := func(agent int, path string, want int) {
		t.Helper()
		status, body, err := c.Agents[agent].Ask(http.MethodPut, path)
		if err != nil || status != want {
			t.Fatalf("%s: %d %s, %v; want %d", path, status, body, err, want)
		}
	}
	put(0, "/api/sites/nowhere/lost", http.StatusNotFound)
	for i := range broadcast {
		put(i, "/api/sites/b/lost", http.StatusOK)
		put(i, "/api/sites/b/lost", http.StatusOK)
	}
	waitForState(t, c, broadcast, "b", "lost")
	put(0, "/api/sites/c/lost", http.StatusOK)
	put(0, "/api/sites/a/lost", http.StatusConflict)
	put(0, "/api/sites/c/well", http.StatusOK)
	// A restarted agent has lost the manual state and uses the site until the state is set again.
	must(t, c.Agents[5].Term()) // SIGTERM: killed, it would leave requests unanswered
	must(t, c.Agents[5].Start())
	must(t, c.Ready(patience))
	waitForState(t, c, []int{5}, "b", "well")
	for i := range broadcast {
		put(i, "/api/sites/b/well", http.StatusOK)
	}
	waitForState(t, c, broadcast, "b", "well")
	waitForState(t, c, broadcast, "c", "well")
}

// A site that fails repeatedly is held for lost each time and, when the failures have ended, is used as before.
func TestFlappingSite(t *testing.T) {
	t.Parallel()
	c := startSitesCluster(t)
	for range 2 {
		end := beginFault(t, c, standin.FaultSpec{What: "reset_before", Size: 1, Nodes: siteBNodes})
		waitForState(t, c, broadcast, "b", "lost")
		end()
		waitForState(t, c, broadcast, "b", "returning", "well")
	}
	until(t, c, "two losses or more", func(r *driver.Report) bool { return r.Sites[1].Losses >= 2 })
	waitForState(t, c, broadcast, "b", "well")
}

// Agents detect the loss of a site and its return while discovery is down, also an agent that restarts meanwhile.
func TestSiteLossWithDiscoveryDown(t *testing.T) {
	t.Parallel()
	c := startSitesCluster(t)
	up := beginFault(t, c, standin.FaultSpec{What: "discovery_down"})
	end := beginFault(t, c, standin.FaultSpec{What: "silent", Nodes: siteBNodes})
	must(t, c.Agents[2].Term())
	must(t, c.Agents[2].Start())
	waitForState(t, c, broadcast, "b", "lost", "cut")
	up()
	end()
	waitForState(t, c, broadcast, "b", "well")
}

// While a site is lost, the agent with the duty to pace returns names it in the duty's state for all agents; after the return
// that state is empty.
func TestOneAgentPacesReturn(t *testing.T) {
	t.Parallel()
	c := startSitesClusterWith(t, "act_ms = 100\ntick_ms = 20\ndrift = 0.05\n[[duty]]\nname = \"pace\"\nlease_ms = 1200\n", 3)
	told := func(so func(state string) bool) func() error {
		return func() error {
			r, err := c.Agents[4].Duties()
			if err != nil {
				return err
			}
			for _, row := range r.Duties {
				if row.Duty == "pace" && row.Holder != "" && so(row.State) {
					return nil
				}
			}
			return fmt.Errorf("the state has not arrived yet: %+v", r.Duties)
		}
	}
	must(t, c.Until(patience, told(func(s string) bool { return s == "{}" })))
	end := beginFault(t, c, standin.FaultSpec{What: "reset_before", Size: 1, Nodes: siteBNodes})
	waitForState(t, c, broadcast, "b", "lost")
	must(t, c.Until(patience, told(func(s string) bool { return s == `{"b":0}` })))
	end()
	waitForState(t, c, broadcast, "b", "well")
	must(t, c.Until(patience, told(func(s string) bool { return s == "{}" })))
}
