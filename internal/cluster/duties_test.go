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
	"lemonrail/internal/duty/seat"
	"lemonrail/internal/standin"
)

const quickDuties = "act_ms = 100\ntick_ms = 20\ndrift = 0.05\n[[duty]]\nname = \"notes\"\nlease_ms = 1200\n"

// dutiesRig runs some agents, of which the first three have seats, and waits until a duty is held.
func dutiesRig(t *testing.T, n int) *cluster.Cluster { return dutiesRigOf(t, n, 3, quickDuties) }

func dutiesRigOf(t *testing.T, n, seats int, text string) *cluster.Cluster {
	t.Helper()
	sc, err := standin.ParseScenario("site", []byte(cluster.SiteText(n, 2)))
	must(t, err)
	c, err := cluster.Open(cluster.Options{Program: built(t), Dir: t.TempDir(), Scenario: sc, Members: quick, Duties: text, Seats: seats, Seed: 1})
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
	heldBy(t, c, 0)
	return c
}

// heldBy waits until just one of the agents that run holds the notes, in an epoch over one, and all know it; it returns
// who and the epoch.
func heldBy(t *testing.T, c *cluster.Cluster, over uint64) (holder int, epoch uint64) {
	t.Helper()
	err := c.Until(patience, func() error {
		holder = -1
		named := ""
		for i, a := range c.Agents {
			if !a.Runs() {
				continue
			}
			r, err := a.Duties()
			if err != nil {
				return err
			}
			row := notes(r)
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

func notes(r *seat.Report) *seat.Row {
	for i := range r.Duties {
		if r.Duties[i].Duty == "notes" {
			return &r.Duties[i]
		}
	}
	return nil
}

func report(t *testing.T, c *cluster.Cluster, agent int) *seat.Report {
	t.Helper()
	r, err := c.Agents[agent].Duties()
	must(t, err)
	return r
}

// seatIs waits until an agent's seat is as wanted.
func seatIs(t *testing.T, c *cluster.Cluster, agent int, what string, so func(*seat.SeatReport) bool) {
	t.Helper()
	var last *seat.SeatReport
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

func served(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	must(t, c.Ready(patience))
	for _, a := range c.Agents {
		if !a.Runs() {
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

func TestTheHolderFails(t *testing.T) {
	t.Parallel()
	c := dutiesRig(t, 5)
	first, epoch := heldBy(t, c, 0)
	must(t, c.Agents[first].Kill())
	second, _ := heldBy(t, c, epoch)
	if second == first {
		t.Errorf("n%d holds it, and is gone", first)
	}
	must(t, c.Agents[first].Start())
	must(t, c.Ready(patience))
	heldBy(t, c, epoch)
	// Stopped for longer than its lease, it finds out when it goes on, and another goes on in between.
	second, next := heldBy(t, c, epoch)
	must(t, c.Agents[second].Signal(syscall.SIGSTOP))
	third, last := heldBy(t, c, next)
	must(t, c.Agents[second].Signal(syscall.SIGCONT))
	if holder, e := heldBy(t, c, next); holder != third || e != last {
		t.Logf("n%d holds it in %d after n%d in %d", holder, e, third, last)
	}
	ended := false
	for _, h := range report(t, c, second).History {
		ended = ended || h.What == "ended" && uint64(h.Epoch) == next
	}
	if !ended {
		t.Errorf("n%d never ended epoch %d: %+v", second, next, report(t, c, second).History)
	}
	served(t, c)
}

// Cut off from the seats one way, it lets go, though it still hears of them; the others go on.
func TestTheHolderIsCutOff(t *testing.T) {
	t.Parallel()
	c := dutiesRig(t, 5)
	for _, both := range []bool{false, true} {
		holder, epoch := heldBy(t, c, 0)
		cut := func(on bool) {
			set := func(f *cluster.Fault) { f.Cut = on }
			c.Link([]int{holder}, []int{0, 1, 2}, set)
			if both {
				c.Link([]int{0, 1, 2}, []int{holder}, set)
			}
		}
		cut(true)
		must(t, c.Until(patience, func() error {
			if notes(report(t, c, holder)).Mine == "holding" {
				return errors.New("it still holds it")
			}
			for i := range c.Agents {
				if row := notes(report(t, c, i)); i != holder && row.Mine == "holding" && uint64(row.Epoch) > epoch {
					return nil
				}
			}
			return errors.New("nobody has taken over")
		}))
		cut(false)
		heldBy(t, c, epoch)
	}
}

func TestHandedOnByHand(t *testing.T) {
	t.Parallel()
	c := dutiesRig(t, 4)
	holder, epoch := heldBy(t, c, 0)
	to := (holder + 1) % 4
	put := func(agent int, path string, want int) {
		t.Helper()
		status, body, err := c.Agents[agent].Ask(http.MethodPut, path)
		if err != nil || status != want {
			t.Fatalf("%s: %d %s, %v", path, status, body, err)
		}
	}
	put((holder+2)%4, "/api/duties/notes/hand-on/"+c.Agents[to].Name, http.StatusOK) // at any agent
	if got, e := heldBy(t, c, epoch); got != to || e != epoch+1 {
		t.Errorf("n%d holds it in %d, wanted n%d in %d", got, e, to, epoch+1)
	}
	put(holder, "/api/duties/notes/release", http.StatusConflict)
	put(to, "/api/duties/notes/release", http.StatusOK)
	heldBy(t, c, epoch+1)
	// A planned stop lets go at once.
	holder, epoch = heldBy(t, c, epoch+1)
	must(t, c.Agents[holder].Term())
	heldBy(t, c, epoch)
}

// Without a majority of the seats nobody holds a duty, and all agents serve; with one again, it goes on.
func TestNoMajorityOfSeats(t *testing.T) {
	t.Parallel()
	c := dutiesRig(t, 5)
	_, epoch := heldBy(t, c, 0)
	for _, i := range []int{0, 1} {
		must(t, c.Agents[i].Signal(syscall.SIGSTOP))
	}
	must(t, c.Until(patience, func() error {
		for _, i := range []int{2, 3, 4} {
			if notes(report(t, c, i)).Mine == "holding" {
				return fmt.Errorf("n%d holds it", i)
			}
		}
		return nil
	}))
	served(t, c)
	for _, i := range []int{0, 1} {
		must(t, c.Agents[i].Signal(syscall.SIGCONT))
	}
	heldBy(t, c, epoch-1) // nobody held it meanwhile: the same one may go on
	// All killed, and started again with what they kept: epochs go on.
	_, epoch = heldBy(t, c, epoch-1)
	for _, a := range c.Agents {
		must(t, a.Kill())
	}
	must(t, c.StartAll(patience))
	heldBy(t, c, epoch)
}

func TestDisksThatCantBeTrusted(t *testing.T) {
	t.Parallel()
	c := dutiesRig(t, 4)
	folder := func(i int) string { return filepath.Join(c.Agents[i].Folder(), "seat", c.Agents[i].Name) }
	segment := func(i int) string {
		t.Helper()
		all, err := filepath.Glob(filepath.Join(folder(i), "*.log"))
		must(t, err)
		slices.Sort(all)
		return all[len(all)-1]
	}
	identity := func(i int) string { return report(t, c, i).Seat.Identity }
	votes := func(r *seat.SeatReport) bool { return r.Votes && r.Seats[r.Name] == r.Identity }
	restart := func(i int, change func()) {
		t.Helper()
		must(t, c.Agents[i].Kill())
		change()
		must(t, c.Agents[i].Start())
		must(t, c.Ready(patience))
	}
	seatIs(t, c, 1, "it votes", votes)

	// A flipped bit in what was kept: it says which file and why, doesn't vote, and serves.
	old := identity(1)
	restart(1, func() {
		raw, err := os.ReadFile(segment(1))
		must(t, err)
		raw[len(raw)/2] ^= 4
		must(t, os.WriteFile(segment(1), raw, 0o600))
	})
	seatIs(t, c, 1, "distrusted, with file and place", func(r *seat.SeatReport) bool {
		return !r.Votes && r.Start == "distrusted" && strings.Contains(r.Why, ".log, byte")
	})
	served(t, c)
	heldBy(t, c, 0)

	// The folder is gone: it comes back as another voter.
	restart(1, func() { must(t, os.RemoveAll(folder(1))) })
	seatIs(t, c, 1, "it votes as another", func(r *seat.SeatReport) bool { return votes(r) && r.Identity != old })

	// An old copy of the folder is put back: the others know that more was promised.
	old = identity(1)
	var copied []byte
	var name string
	restart(1, func() {
		name = segment(1)
		raw, err := os.ReadFile(name)
		must(t, err)
		copied = bytes.Clone(raw)
	})
	seatIs(t, c, 1, "it votes", votes)
	for range 3 { // something is agreed on meanwhile
		_, epoch := heldBy(t, c, 0)
		holder, _ := heldBy(t, c, 0)
		must(t, c.Agents[holder].Signal(syscall.SIGSTOP))
		heldBy(t, c, epoch)
		must(t, c.Agents[holder].Signal(syscall.SIGCONT))
	}
	seatIs(t, c, 1, "it votes", votes)
	restart(1, func() {
		must(t, os.RemoveAll(folder(1)))
		must(t, os.MkdirAll(folder(1), 0o700))
		must(t, os.WriteFile(name, copied, 0o600))
	})
	seatIs(t, c, 1, "it votes as another", func(r *seat.SeatReport) bool { return votes(r) && r.Identity != old })
	if left, _ := filepath.Glob(filepath.Join(folder(1), "*.distrusted")); len(left) == 0 {
		t.Error("what was not believed is not put away")
	}

	// A disk that is full: the seat stops voting, the agent serves; with room again it is let in.
	must(t, c.Agents[2].Kill())
	c.Agents[2].FileLimit(512)
	must(t, c.Agents[2].Start())
	must(t, c.Ready(patience))
	seatIs(t, c, 2, "it doesn't vote", func(r *seat.SeatReport) bool { return !r.Votes && r.Start == "distrusted" })
	served(t, c)
	must(t, c.Agents[2].Kill())
	c.Agents[2].FileLimit(0)
	must(t, c.Agents[2].Start())
	seatIs(t, c, 2, "it votes", votes)
	heldBy(t, c, 0)
}

// A seat that the members have held for dead for long gives way to a spare one; back, it is spare itself.
func TestASpareSeatTakesOver(t *testing.T) {
	t.Parallel()
	c := dutiesRigOf(t, 5, 4, "voters = 3\nreplace_s = 2\n"+quickDuties)
	sits := func(r *seat.SeatReport) bool { return r.Votes && r.Seats[r.Name] == r.Identity }
	seatIs(t, c, 1, "it sits", sits)
	seatIs(t, c, 3, "it doesn't sit yet", func(r *seat.SeatReport) bool { return r.Seats["n3"] == "" })
	must(t, c.Agents[1].Kill())
	seatIs(t, c, 3, "it sits", func(r *seat.SeatReport) bool { return sits(r) && r.Seats["n1"] == "" && len(r.Seats) == 3 })
	heldBy(t, c, 0)
	must(t, c.Agents[1].Start())
	must(t, c.Ready(patience))
	seatIs(t, c, 1, "it asks to be let in, as another", func(r *seat.SeatReport) bool { return r.Start == "join" && r.Seats["n1"] == "" })
	// The one that sits now is of use: another one of the first may go.
	must(t, c.Agents[0].Kill())
	_, epoch := heldBy(t, c, 0)
	if epoch == 0 {
		t.Error("nobody holds the duty")
	}
}

// A holder that gets a fiftieth of a core, and links to the seats that lose, delay and stall: at every look at most one
// agent holds the duty, and afterwards one does.
func TestSlowHoldersAndLinks(t *testing.T) {
	t.Parallel()
	c := dutiesRig(t, 5)
	all := []int{0, 1, 2, 3, 4}
	seen := uint64(0)
	// Reports of two agents are of two moments: two that say they hold it in one epoch are two holders, in two epochs they
	// may be one after the other.
	one := func() error {
		by := map[uint64]string{}
		for _, i := range all {
			r, err := c.Agents[i].Duties()
			if err != nil {
				continue // too slow to answer
			}
			row := notes(r)
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
	holder, _ := heldBy(t, c, 0)
	c.Agents[holder].Slow(0.02)
	watch(3 * time.Second)
	c.Agents[holder].Slow(1)
	heldBy(t, c, 0)
	for _, f := range []cluster.Fault{{Loss: 0.3}, {Delay: [2]time.Duration{0, time.Second}}, {Stall: true}} {
		c.Link(all, []int{0, 1, 2}, func(x *cluster.Fault) { *x = f })
		watch(2 * time.Second)
		c.Link(all, []int{0, 1, 2}, func(x *cluster.Fault) { *x = cluster.Fault{} })
		heldBy(t, c, 0)
	}
	if seen == 0 {
		t.Error("nobody was ever seen to hold it")
	}
	served(t, c)
}
