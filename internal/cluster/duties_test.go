package cluster_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/cluster"
	"lemonrail/internal/duty/quorum"
	"lemonrail/internal/standin"
)

const quickDuties = "act_ms = 100\ntick_ms = 20\ndrift = 0.05\n[[duty]]\nname = \"notes\"\nlease_ms = 1200\n"

// startDutiesCluster runs n agents, of which the first three have seats (are voters of the quorum that grants duties), and waits
// until an agent holds the duty.
func startDutiesCluster(t *testing.T, n int) *cluster.Cluster {
	return startDutiesClusterWith(t, n, 3, quickDuties)
}

func startDutiesClusterWith(t *testing.T, n, seats int, text string) *cluster.Cluster {
	t.Helper()
	sc, err := standin.ParseScenario("site", []byte(cluster.SiteText(n, 2)))
	must(t, err)
	c, err := cluster.Open(cluster.Options{Program: buildProgram(t), Dir: t.TempDir(), Scenario: sc, Members: quickMembers, Duties: text, Seats: seats, Seed: 1})
	must(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(c.Logs(25))
		}
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	must(t, c.StartAll(patience))
	waitForHolder(t, c, 0)
	return c
}

// waitForHolder waits until exactly one running agent holds the duty, in an epoch above over, and all running agents name it as
// the holder. It returns the holder and its epoch.
func waitForHolder(t *testing.T, c *cluster.Cluster, over uint64) (holder int, epoch uint64) {
	t.Helper()
	err := c.Until(patience, func() error {
		holder = -1
		named := ""
		for i, a := range c.Agents {
			if !a.Active() {
				continue
			}
			r, err := a.Duties()
			if err != nil {
				return err
			}
			row := notesRow(r)
			if row == nil || row.Holder == "" || uint64(row.Epoch) <= over {
				return fmt.Errorf("%s knows of no holder over %d: %+v", a.Name, over, row)
			}
			if named != "" && named != row.Holder {
				return fmt.Errorf("%s names %s, others %s", a.Name, row.Holder, named)
			}
			named, epoch = row.Holder, uint64(row.Epoch)
			if row.Mine == "holding" {
				if holder >= 0 {
					t.Fatalf("n%d and n%d hold it", holder, i)
				}
				holder = i
			}
		}
		if holder < 0 || c.Agents[holder].Name != named {
			return fmt.Errorf("%s is named, n%d holds it", named, holder)
		}
		return nil
	})
	must(t, err)
	return holder, epoch
}

// notesRow returns the row of the duty "notes" in a report, nil if there is none.
func notesRow(r *quorum.Report) *quorum.Row {
	for i := range r.Duties {
		if r.Duties[i].Duty == "notes" {
			return &r.Duties[i]
		}
	}
	return nil
}

// report returns an agent's report on duties.
func report(t *testing.T, c *cluster.Cluster, agent int) *quorum.Report {
	t.Helper()
	r, err := c.Agents[agent].Duties()
	must(t, err)
	return r
}

// waitForSeat waits until so reports true for the report of an agent's seat (voter). what describes that for the error.
func waitForSeat(t *testing.T, c *cluster.Cluster, agent int, what string, so func(*quorum.MemberReport) bool) {
	t.Helper()
	var last *quorum.MemberReport
	if err := c.Until(patience, func() error {
		r, err := c.Agents[agent].Duties()
		if err != nil {
			return err
		}
		if last = r.Seat; !so(last) {
			return errors.New("not yet: " + what)
		}
		return nil
	}); err != nil {
		t.Fatalf("%v; last: %+v", err, last)
	}
}

// checkAllServe checks that each running agent answers a request with 200.
func checkAllServe(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	must(t, c.Ready(patience))
	for _, a := range c.Agents {
		if !a.Active() {
			continue
		}
		req, err := http.NewRequest(http.MethodGet, "http://"+a.Listen.String()+"/read", nil)
		must(t, err)
		req.Header.Set("X-Correlation-Id", fmt.Sprintf("%s-%d", a.Name, time.Now().UnixNano()))
		req.Header.Set("X-Time-Left", "600000u")
		resp, err := http.DefaultClient.Do(req)
		must(t, err)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("%s: %s", a.Name, resp.Status)
		}
	}
}

func TestHolderFails(t *testing.T) {
	t.Parallel()
	c := startDutiesCluster(t, 5)
	first, epoch := waitForHolder(t, c, 0)
	must(t, c.Agents[first].Kill())
	second, _ := waitForHolder(t, c, epoch)
	if second == first {
		t.Errorf("n%d holds the duty although it was killed", first)
	}
	must(t, c.Agents[first].Start())
	must(t, c.Ready(patience))
	waitForHolder(t, c, epoch)
	// An agent that is stopped by SIGSTOP for longer than its lease ends its epoch when it continues. Another agent has taken over
	// meanwhile.
	second, next := waitForHolder(t, c, epoch)
	must(t, c.Agents[second].Signal(syscall.SIGSTOP))
	third, last := waitForHolder(t, c, next)
	must(t, c.Agents[second].Signal(syscall.SIGCONT))
	if holder, e := waitForHolder(t, c, next); holder != third || e != last {
		t.Logf("n%d holds it in %d after n%d in %d", holder, e, third, last)
	}
	ended := false
	for _, h := range report(t, c, second).History {
		ended = ended || h.What == "ended" && uint64(h.Epoch) == next
	}
	if !ended {
		t.Errorf("n%d never ended epoch %d: %+v", second, next, report(t, c, second).History)
	}
	checkAllServe(t, c)
}

// A holder whose messages to the seats (voters) are lost, with or without those in the other direction, gives the duty up, and
// another agent takes over.
func TestHolderCutOff(t *testing.T) {
	t.Parallel()
	c := startDutiesCluster(t, 5)
	for _, both := range []bool{false, true} {
		holder, epoch := waitForHolder(t, c, 0)
		cut := func(on bool) {
			set := func(f *cluster.Fault) { f.Cut = on }
			c.Link([]int{holder}, []int{0, 1, 2}, set)
			if both {
				c.Link([]int{0, 1, 2}, []int{holder}, set)
			}
		}
		cut(true)
		must(t, c.Until(patience, func() error {
			if notesRow(report(t, c, holder)).Mine == "holding" {
				return errors.New("the agent still holds the duty")
			}
			for i := range c.Agents {
				if row := notesRow(report(t, c, i)); i != holder && row.Mine == "holding" && uint64(row.Epoch) > epoch {
					return nil
				}
			}
			return errors.New("no agent has taken over")
		}))
		cut(false)
		waitForHolder(t, c, epoch)
	}
}

func TestManualHandOver(t *testing.T) {
	t.Parallel()
	c := startDutiesCluster(t, 4)
	holder, epoch := waitForHolder(t, c, 0)
	to := (holder + 1) % 4
	put := func(agent int, path string, want int) {
		t.Helper()
		status, body, err := c.Agents[agent].Ask(http.MethodPut, path)
		if err != nil || status != want {
			t.Fatalf("%s: %d %s, %v", path, status, body, err)
		}
	}
	put((holder+2)%4, "/api/duties/notes/hand-on/"+c.Agents[to].Name, http.StatusOK) // at any agent, here one that is neither holder nor target
	if got, e := waitForHolder(t, c, epoch); got != to || e != epoch+1 {
		t.Errorf("n%d holds it in %d, wanted n%d in %d", got, e, to, epoch+1)
	}
	put(holder, "/api/duties/notes/release", http.StatusConflict)
	put(to, "/api/duties/notes/release", http.StatusOK)
	waitForHolder(t, c, epoch+1)
	// On SIGTERM the holder releases the duty at once.
	holder, epoch = waitForHolder(t, c, epoch+1)
	must(t, c.Agents[holder].Term())
	waitForHolder(t, c, epoch)
}

// Without a majority of the seats (voters) no agent holds a duty, and all agents still serve. When the majority is back, an agent
// holds the duty again.
func TestNoMajorityOfSeats(t *testing.T) {
	t.Parallel()
	c := startDutiesCluster(t, 5)
	_, epoch := waitForHolder(t, c, 0)
	for _, i := range []int{0, 1} {
		must(t, c.Agents[i].Signal(syscall.SIGSTOP))
	}
	must(t, c.Until(patience, func() error {
		for _, i := range []int{2, 3, 4} {
			if notesRow(report(t, c, i)).Mine == "holding" {
				return fmt.Errorf("n%d holds it", i)
			}
		}
		return nil
	}))
	checkAllServe(t, c)
	for _, i := range []int{0, 1} {
		must(t, c.Agents[i].Signal(syscall.SIGCONT))
	}
	waitForHolder(t, c, epoch-1) // no agent held it meanwhile, so the same one may continue
	// After all agents were killed and restarted with their stored state, epochs continue.
	_, epoch = waitForHolder(t, c, epoch-1)
	for _, a := range c.Agents {
		must(t, a.Kill())
	}
	must(t, c.StartAll(patience))
	waitForHolder(t, c, epoch)
}

func TestUntrustedDisks(t *testing.T) {
	t.Parallel()
	c := startDutiesCluster(t, 4)
	folder := func(i int) string { return filepath.Join(c.Agents[i].Folder(), "seat", c.Agents[i].Name) }
	segment := func(i int) string {
		t.Helper()
		all, err := filepath.Glob(filepath.Join(folder(i), "*.log"))
		must(t, err)
		slices.Sort(all)
		return all[len(all)-1]
	}
	identity := func(i int) string { return report(t, c, i).Seat.Identity }
	votes := func(r *quorum.MemberReport) bool { return r.Votes && r.Seats[r.Name] == r.Identity }
	restart := func(i int, change func()) {
		t.Helper()
		must(t, c.Agents[i].Kill())
		change()
		must(t, c.Agents[i].Start())
		must(t, c.Ready(patience))
	}
	waitForSeat(t, c, 1, "it votes", votes)

	// A flipped bit in a log: the seat reports the file and the reason and does not vote, and the agent
	// serves.
	old := identity(1)
	restart(1, func() {
		raw, err := os.ReadFile(segment(1))
		must(t, err)
		raw[len(raw)/2] ^= 4
		must(t, os.WriteFile(segment(1), raw, 0o600))
	})
	waitForSeat(t, c, 1, "distrusted, with file and place", func(r *quorum.MemberReport) bool {
		return !r.Votes && r.Start == "distrusted" && strings.Contains(r.Why, ".log, byte")
	})
	checkAllServe(t, c)
	waitForHolder(t, c, 0)

	// The folder is lost: the seat returns as a new voter.
	restart(1, func() { must(t, os.RemoveAll(folder(1))) })
	waitForSeat(t, c, 1, "it votes as another", func(r *quorum.MemberReport) bool { return votes(r) && r.Identity != old })

	// An old copy of the folder is restored: the other seats know that more was promised, so the seat returns
	// as a new voter.
	old = identity(1)
	var copied []byte
	var name string
	restart(1, func() {
		name = segment(1)
		raw, err := os.ReadFile(name)
		must(t, err)
		copied = bytes.Clone(raw)
	})
	waitForSeat(t, c, 1, "it votes", votes)
	for range 3 { // commit more entries meanwhile
		_, epoch := waitForHolder(t, c, 0)
		holder, _ := waitForHolder(t, c, 0)
		must(t, c.Agents[holder].Signal(syscall.SIGSTOP))
		waitForHolder(t, c, epoch)
		must(t, c.Agents[holder].Signal(syscall.SIGCONT))
	}
	waitForSeat(t, c, 1, "it votes", votes)
	restart(1, func() {
		must(t, os.RemoveAll(folder(1)))
		must(t, os.MkdirAll(folder(1), 0o700))
		must(t, os.WriteFile(name, copied, 0o600))
	})
	waitForSeat(t, c, 1, "it votes as another", func(r *quorum.MemberReport) bool { return votes(r) && r.Identity != old })
	if left, _ := filepath.Glob(filepath.Join(folder(1), "*.distrusted")); len(left) == 0 {
		t.Error("the distrusted files were not kept")
	}

	// A full disk: the seat stops voting and the agent serves. With free space the seat is admitted again.
	must(t, c.Agents[2].Kill())
	c.Agents[2].FileLimit(512)
	must(t, c.Agents[2].Start())
	must(t, c.Ready(patience))
	waitForSeat(t, c, 2, "it doesn't vote", func(r *quorum.MemberReport) bool { return !r.Votes && r.Start == "distrusted" })
	checkAllServe(t, c)
	must(t, c.Agents[2].Kill())
	c.Agents[2].FileLimit(0)
	must(t, c.Agents[2].Start())
	waitForSeat(t, c, 2, "it votes", votes)
	waitForHolder(t, c, 0)
}

// A seat (voter) whose agent is held for dead for replace_s is replaced by a spare seat. When the agent comes back, its seat is a
// spare one itself.
func TestSpareSeatTakesOver(t *testing.T) {
	t.Parallel()
	c := startDutiesClusterWith(t, 5, 4, "voters = 3\nreplace_s = 2\n"+quickDuties)
	sits := func(r *quorum.MemberReport) bool { return r.Votes && r.Seats[r.Name] == r.Identity }
	waitForSeat(t, c, 1, "the agent is a voter", sits)
	waitForSeat(t, c, 3, "the agent is not a voter yet", func(r *quorum.MemberReport) bool { return r.Seats["n3"] == "" })
	must(t, c.Agents[1].Kill())
	waitForSeat(t, c, 3, "the agent is a voter", func(r *quorum.MemberReport) bool { return sits(r) && r.Seats["n1"] == "" && len(r.Seats) == 3 })
	waitForHolder(t, c, 0)
	must(t, c.Agents[1].Start())
	must(t, c.Ready(patience))
	waitForSeat(t, c, 1, "the agent asks to join as a new voter", func(r *quorum.MemberReport) bool { return r.Start == "join" && r.Seats["n1"] == "" })
	// The replacement is a full voter: another of the first seats may fail.
	must(t, c.Agents[0].Kill())
	_, epoch := waitForHolder(t, c, 0)
	if epoch == 0 {
		t.Error("no agent holds the duty")
	}
}

// With a holder that gets 2 % of a core, and links to the seats (voters) that lose, delay and stall messages, at most one agent
// holds the duty in an epoch, and when the faults have ended exactly one does.
func TestSlowHoldersAndLinks(t *testing.T) {
	t.Parallel()
	c := startDutiesCluster(t, 5)
	all := []int{0, 1, 2, 3, 4}
	seen := uint64(0)
	// Reports of two agents are taken at different moments: two holders in one epoch are an error, in two
	// epochs they may have held the duty one after the other.
	one := func() error {
		by := map[uint64]string{}
		for _, i := range all {
			r, err := c.Agents[i].Duties()
			if err != nil {
				continue // too slow to answer
			}
			row := notesRow(r)
			if row == nil {
				continue
			}
			seen = max(seen, uint64(row.Epoch))
			if row.Mine != "holding" {
				continue
			}
			if other := by[uint64(row.Epoch)]; other != "" {
				return fmt.Errorf("%s and %s hold epoch %d", other, r.Agent, row.Epoch)
			}
			by[uint64(row.Epoch)] = r.Agent
		}
		return nil
	}
	watch := func(d time.Duration) {
		t.Helper()
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if err := one(); err != nil {
				t.Fatal(err)
			}
		}
	}
	holder, _ := waitForHolder(t, c, 0)
	c.Agents[holder].LimitCPU(0.02)
	watch(3 * time.Second)
	c.Agents[holder].LimitCPU(1)
	waitForHolder(t, c, 0)
	for _, f := range []cluster.Fault{{Loss: 0.3}, {Delay: [2]time.Duration{0, time.Second}}, {Stall: true}} {
		c.Link(all, []int{0, 1, 2}, func(x *cluster.Fault) { *x = f })
		watch(2 * time.Second)
		c.Link(all, []int{0, 1, 2}, func(x *cluster.Fault) { *x = cluster.Fault{} })
		waitForHolder(t, c, 0)
	}
	if seen == 0 {
		t.Error("no agent ever held the duty")
	}
	checkAllServe(t, c)
}
