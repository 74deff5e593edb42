package replica

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lemonrail/internal/duty/store"
	"lemonrail/internal/replica/voter"
)

// checkIsolatedLeaderRefuses partitions the group, sends the old leader commands for three seconds and heals the partition.
// It returns what is wrong: a command that was not refused, or a refused one that some log or state contains.
func checkIsolatedLeaderRefuses(t *testing.T, seed uint64, size int, cut func(w *world, leader *process), p injectedFaults) string {
	w := newWorld(t, seed, size, p)
	defer w.seedElections()()
	w.write(command{ID: "before", New: "before"})
	leader := w.waitForLeader()
	cut(w, leader)
	type pending struct {
		id  string
		try *request
	}
	var refused []pending
	for end := w.now + 3*time.Second; w.now < end; w.step() {
		if len(refused) == 0 || w.rng.IntN(10) == 0 {
			id := fmt.Sprint("refused ", len(refused))
			refused = append(refused, pending{id, leader.propose(command{ID: id, New: id})})
		}
	}
	for _, q := range refused {
		if out := w.outcomeOf(q.try); !notProposed(out.err) {
			return fmt.Sprintf("%s: %q, %v", q.id, out.result, out.err)
		}
	}
	w.heal()
	w.write(command{ID: "after", New: "after"})
	w.waitForSameState()
	for _, p := range w.processes {
		for _, q := range refused {
			if slices.Contains(p.machine.Order, q.id) || p.inLog(q.id) {
				return fmt.Sprintf("%s was refused, but %s has it in its log or state", q.id, p.name)
			}
		}
	}
	return ""
}

// partitions are the ways in which a leader loses its majority, each with the size of the group.
var partitions = map[string]struct {
	size int
	cut  func(w *world, leader *process)
}{
	"3, the leader alone":              {3, func(w *world, l *process) { w.isolate(l, true, true) }},
	"3, the leader can't send":         {3, func(w *world, l *process) { w.isolate(l, true, false) }},
	"3, the leader can't receive":      {3, func(w *world, l *process) { w.isolate(l, false, true) }},
	"4, the leader alone":              {4, func(w *world, l *process) { w.isolate(l, true, true) }},
	"4, the leader can't receive":      {4, func(w *world, l *process) { w.isolate(l, false, true) }},
	"4, two and two, without majority": {4, func(w *world, l *process) { w.split(l, w.processes[(l.index+1)%4]) }},
	"4, two others are dead":           {4, func(w *world, l *process) { w.processes[(l.index+1)%4].kill(); w.processes[(l.index+2)%4].kill() }},
	"4, two others are paused": {4, func(w *world, l *process) {
		w.processes[(l.index+1)%4].paused, w.processes[(l.index+2)%4].paused = true, true
	}},
	"2, both cut off": {2, func(w *world, l *process) { w.isolate(l, true, true) }},
}

// split cuts all links between the processes of one side and the rest.
func (w *world) split(side ...*process) {
	for _, p := range w.processes {
		for _, q := range w.processes {
			if slices.Contains(side, p) != slices.Contains(side, q) {
				w.cut[p.index][q.index] = true
			}
		}
	}
}

// A leader without a majority refuses commands, and no log ever contains a refused command.
func TestMinorityRefusesAndLogsNothing(t *testing.T) {
	for name, tt := range partitions {
		for seed := range uint64(5) {
			if found := checkIsolatedLeaderRefuses(t, seed, tt.size, tt.cut, injectedFaults{}); found != "" {
				t.Errorf("%s, seed %d: %s", name, seed, found)
			}
		}
		// The check must fail if commands are proposed without a read index.
		if found := checkIsolatedLeaderRefuses(t, 0, tt.size, tt.cut, injectedFaults{unconfirmed: true}); found == "" {
			t.Errorf("%s: commands proposed without a read index were not detected", name)
		}
	}
}

// The majority continues while a minority is cut off, and both have the same state after the partition heals.
func TestMajorityContinues(t *testing.T) {
	for _, size := range []int{3, 4} {
		for seed := range uint64(5) {
			w := newWorld(t, seed, size, injectedFaults{})
			restore := w.seedElections()
			w.write(command{ID: "before", New: "before"})
			old := w.waitForLeader()
			w.isolate(old, true, true)
			w.stepUntil("another leader", func() bool { return w.establishedLeader() != nil && w.establishedLeader() != old })
			out := w.outcomeOf(w.establishedLeader().propose(command{ID: "during", New: "during"}))
			if out.err != nil || string(out.result) != "done" {
				t.Errorf("size %d, seed %d: %q, %v", size, seed, out.result, out.err)
			}
			w.heal()
			w.waitForSameState()
			if order := old.machine.Order; !slices.Contains(order, "during") {
				t.Errorf("size %d, seed %d: the old leader has applied only %v", size, seed, order)
			}
			restore()
		}
	}
}

// A leader is paused until another was elected. Commands that it received just before or during the pause are refused or of
// unknown outcome; they are never reported as done unless they were executed.
func TestLeaderResumesAfterPause(t *testing.T) {
	unknown, refused := 0, 0
	for seed := range uint64(20) {
		w := newWorld(t, seed, 3+int(seed%2), injectedFaults{})
		restore := w.seedElections()
		w.write(command{ID: "before", New: "before"})
		old := w.waitForLeader()
		var tries []*request
		for i := range 6 { // when the leader is paused some are confirmed, some proposed, some neither
			id := fmt.Sprint("at the pause ", i)
			tries = append(tries, old.propose(command{ID: id, New: id}))
			if i > 0 {
				w.step()
			}
		}
		old.paused = true
		if seed%4 >= 2 { // its connections break, and frames in flight are lost
			w.breakLinks(old)
		}
		w.stepUntil("another leader", func() bool { return w.establishedLeader() != nil })
		w.write(command{ID: "during", New: "during"})
		for i := range 5 {
			id := fmt.Sprint("paused ", i)
			tries = append(tries, old.propose(command{ID: id, New: id}))
		}
		pausedRead := old.submit(newRequest(nil, true))
		old.paused = false
		for i, q := range tries {
			out, id := w.outcomeOf(q), fmt.Sprint("at the pause ", i)
			if i >= 6 {
				id = fmt.Sprint("paused ", i-6)
			}
			w.write(command{ID: fmt.Sprint("fence ", i), New: "fence"})
			w.waitForSameState()
			executed := slices.Contains(old.machine.Order, id)
			switch {
			case out.err == nil && !executed || i >= 6 && out.err == nil:
				t.Errorf("seed %d: %s was reported as done, executed: %v", seed, id, executed)
			case notProposed(out.err) && executed:
				t.Errorf("seed %d: %s was refused, but executed", seed, id)
			case notProposed(out.err):
				refused++
			case errors.Is(out.err, ErrOutcomeUnknown):
				unknown++
			}
		}
		if out := w.outcomeOf(pausedRead); out.err == nil && !slices.Contains(old.machine.Order, "during") {
			t.Errorf("seed %d: a read lacked a command that was committed during the pause", seed)
		}
		restore()
	}
	t.Logf("%d refused, %d unknown", refused, unknown)
	if refused == 0 || unknown == 0 {
		t.Error("the seeds reach no refused or no unknown outcome")
	}
}

// A command with an unknown outcome is sent again: it is executed once, and the retry gets the first result.
func TestUnknownOutcomeIsRetried(t *testing.T) {
	carried := 0
	for seed := range uint64(20) {
		w := newWorld(t, seed, 3, injectedFaults{})
		restore := w.seedElections()
		w.write(command{ID: "before", New: "before"})
		old := w.waitForLeader()
		swap := command{ID: "swap", Swap: true, Old: "before", New: "swapped"}
		q := old.propose(swap)
		w.stepUntil("it is proposed", func() bool { return q.stage.Load() == stageProposed || len(q.done) > 0 })
		for range seed % 3 {
			w.step()
		}
		w.isolate(old, true, true)
		if out := w.outcomeOf(q); out.err != nil && !errors.Is(out.err, ErrOutcomeUnknown) {
			t.Errorf("seed %d: %v", seed, out.err)
		}
		w.stepUntil("another leader", func() bool { return w.establishedLeader() != nil && w.establishedLeader() != old })
		if slices.Contains(w.establishedLeader().machine.Order, "swap") {
			carried++
		}
		out := w.outcomeOf(w.establishedLeader().propose(swap))
		w.heal()
		w.waitForSameState()
		count := 0
		for _, id := range old.machine.Order {
			if id == "swap" {
				count++
			}
		}
		if out.err != nil || string(out.result) != "done" || count != 1 || old.machine.Value != "swapped" {
			t.Errorf("seed %d: %q, %v, %d times, %q", seed, out.result, out.err, count, old.machine.Value)
		}
		restore()
	}
	t.Logf("%d of 20 commands were executed at the first attempt", carried)
	if carried == 0 || carried == 20 {
		t.Error("the seeds don't reach both cases")
	}
}

// A member that was down while the log was compacted catches up by a snapshot.
func TestCatchUpBySnapshot(t *testing.T) {
	w := newWorld(t, 1, 4, injectedFaults{})
	defer w.seedElections()()
	w.write(command{ID: "before", New: "before"})
	away := w.processes[(w.waitForLeader().index+1)%4]
	away.kill()
	for i := range 300 {
		w.write(command{ID: fmt.Sprint("long ", i), New: fmt.Sprint(i), Padding: make([]byte, 8<<10)})
	}
	leader := w.waitForLeader()
	if first, _ := leader.replica.voter.Store().FirstIndex(); first < 100 {
		t.Fatalf("the leader's log begins at %d: it was not compacted", first)
	}
	away.start()
	w.waitForSameState()
	if len(away.machine.Order) != 301 || away.machine.Value != "299" {
		t.Errorf("the restarted member has applied %d commands", len(away.machine.Order))
	}
}

// A follower's or the leader's disk acknowledges syncs but keeps nothing. The loss is detected when the member restarts: the
// store is quarantined, and the member returns under a new identity with all committed commands.
func TestRolledBackDisk(t *testing.T) {
	found := 0
	for _, atLeader := range []bool{false, true} {
		for seed := range uint64(5) {
			w := newWorld(t, seed, 3+int(seed%2), injectedFaults{})
			restore := w.seedElections()
			w.write(command{ID: "before", New: "before"})
			p := w.waitForLeader()
			if !atLeader {
				p = w.processes[(p.index+1)%len(w.processes)]
			}
			identity := p.replica.voter.Store().ID()
			p.disk.DropsSyncs = true
			for i := range 5 {
				w.write(command{ID: fmt.Sprint("lost ", i), New: fmt.Sprint(i)})
			}
			before := p.replica.voter.Store().State()
			p.kill()
			p.disk.DropsSyncs = false
			p.start()
			forgot := p.replica.voter.Store().State() != before // by chance the disk may have kept everything
			w.write(command{ID: "after", New: "after"})
			w.waitForSameState()
			id := p.replica.voter.Store().ID()
			if (id != identity) != forgot || w.waitForLeader().replica.voter.Members()[id] != p.name || len(w.waitForLeader().replica.voter.Members()) != len(w.processes) {
				t.Errorf("leader %v, seed %d: identity %x, was %x, members %v", atLeader, seed, id, identity, w.waitForLeader().replica.voter.Members())
			}
			names, _ := p.disk.List()
			if aside := slices.ContainsFunc(names, func(n string) bool { return strings.HasSuffix(n, ".distrusted") }); aside != forgot {
				t.Errorf("leader %v, seed %d: forgot %v, files %v", atLeader, seed, forgot, names)
			}
			if forgot {
				found++
			}
			restore()
		}
	}
	if found < 8 {
		t.Errorf("only %d of 10 disks lost something", found)
	}
}

// A member is killed during a write, and its disk keeps any prefix of what wasn't synced. No committed command is lost.
func TestTornDisk(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, seed, 3, injectedFaults{})
		restore := w.seedElections()
		for i := range 6 {
			w.write(command{ID: fmt.Sprint("kept ", i), New: fmt.Sprint(i)})
			p := w.waitForLeader()
			p.propose(command{ID: fmt.Sprint("torn ", i), New: "torn"})
			p.disk.FailAt = 1 // only half of the next write reaches the disk
			w.step()
			w.step()
			p.kill()
			p.start()
		}
		w.write(command{ID: "after", New: "after"})
		w.waitForSameState()
		for i := range 6 {
			if !slices.Contains(w.processes[0].machine.Order, fmt.Sprint("kept ", i)) {
				t.Errorf("seed %d: command \"kept %d\" is lost", seed, i)
			}
		}
		restore()
	}
}

// A bit of a store's file is flipped: the member doesn't vote and reports the file and the byte; the others continue.
func TestCorruptDisk(t *testing.T) {
	w := newWorld(t, 3, 3, injectedFaults{})
	defer w.seedElections()()
	w.write(command{ID: "before", New: "before"})
	p := w.processes[(w.waitForLeader().index+1)%3]
	p.kill()
	names, _ := p.disk.List()
	raw, err := p.disk.Read(names[0])
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)/2] ^= 1
	file, err := p.disk.Create(names[0])
	if err == nil {
		_, err = file.Write(raw)
	}
	if err != nil {
		t.Fatal(err)
	}
	p.start()
	w.write(command{ID: "after", New: "after"})
	status := p.replica.status()
	if status.Voting || !errors.Is(p.replica.voter.Fault(), store.ErrCorrupt) || !strings.Contains(status.Reason, names[0]+", byte ") {
		t.Errorf("%+v", status)
	}
	if out := w.outcomeOf(p.propose(command{ID: "there", New: "there"})); !notProposed(out.err) {
		t.Errorf("proposed to a member that doesn't vote: %v", out.err)
	}
}

// The leader's disk fails, or its state machine panics: its vote ends with a reason, pending commands are refused or of
// unknown outcome, the other members continue, and it still answers calls.
func TestFaultEndsVoting(t *testing.T) {
	for name, tt := range map[string]struct {
		fault func(p *process)
		why   string
	}{
		"disk":          {func(p *process) { p.disk.FailAt = 1 }, "no space left on device"},
		"state machine": {func(p *process) { p.machine.panics = true }, "panic: the state machine is broken"},
	} {
		w := newWorld(t, 5, 3, injectedFaults{})
		restore := w.seedElections()
		w.write(command{ID: "before", New: "before"})
		p := w.waitForLeader()
		tt.fault(p)
		out := w.outcomeOf(p.propose(command{ID: "broken", New: "broken"}))
		if !errors.Is(out.err, ErrOutcomeUnknown) && !notProposed(out.err) {
			t.Errorf("%s: %q, %v", name, out.result, out.err)
		}
		w.stepUntil("its vote has ended", func() bool { return !p.replica.status().Voting })
		if status := p.replica.status(); status.Leads || !strings.Contains(status.Reason, tt.why) {
			t.Errorf("%s: %+v", name, status)
		}
		w.write(command{ID: "after", New: "after"})
		if out := w.outcomeOf(p.propose(command{ID: "later", New: "later"})); !notProposed(out.err) {
			t.Errorf("%s: proposed after the fault: %v", name, out.err)
		}
		restore()
	}
}

// Requests that wait for a confirmation share one read index.
func TestRequestsShareAReadIndex(t *testing.T) {
	w := newWorld(t, 6, 3, injectedFaults{})
	defer w.seedElections()()
	p := w.waitForLeader()
	before := p.replica.requests.lastConfirmID
	var tries []*request
	for i := range 200 {
		tries = append(tries, p.propose(command{ID: fmt.Sprint(i), New: fmt.Sprint(i)}))
	}
	for i, q := range tries {
		if out := w.outcomeOf(q); out.err != nil {
			t.Errorf("%d: %v", i, out.err)
		}
	}
	if n := p.replica.requests.lastConfirmID - before; n != 1 {
		t.Errorf("%d read indexes", n)
	}
}

// Beyond maxWaiting pending requests a member refuses further ones with ErrBusy.
func TestRequestsAreBounded(t *testing.T) {
	w := newWorld(t, 7, 3, injectedFaults{})
	defer w.seedElections()()
	p := w.waitForLeader()
	w.isolate(p, true, true)
	w.step()
	busy := 0
	for i := range 2*maxWaiting + 100 {
		q := newRequest(command{ID: fmt.Sprint(i)}.bytes(), false)
		p.replica.submit(q)
		if len(q.done) > 0 && errors.Is((<-q.done).err, ErrBusy) {
			busy++
		}
	}
	if busy != maxWaiting+100 {
		t.Errorf("%d requests were refused", busy)
	}
}

// The leader is paused while a confirmation is in flight. After the pause the confirmation doesn't count, since another
// member may lead by then.
func TestStaleConfirmationIsIgnored(t *testing.T) {
	w := newWorld(t, 8, 3, injectedFaults{})
	defer w.seedElections()()
	p := w.waitForLeader()
	q := p.propose(command{ID: "late", New: "late"})
	w.stepUntil("its read index is under way", func() bool { return p.replica.requests.confirmID != 0 })
	for _, other := range w.processes { // all are paused, so that no other leader is elected
		other.paused = true
	}
	w.now += confirmElectionTimeouts*voter.ElectionTicks*simTick + time.Second
	for _, other := range w.processes {
		other.paused = false
	}
	if out := w.outcomeOf(q); !errors.Is(out.err, ErrNoQuorum) {
		t.Errorf("%q, %v", out.result, out.err)
	}
	w.write(command{ID: "after", New: "after"})
	if slices.Contains(p.machine.Order, "late") || p.inLog("late") {
		t.Error("the command was proposed in spite of the stale confirmation")
	}
}

// The result of an entry that another process proposed, or this one before a restart, isn't delivered to a local caller
// whose entry has the same sequence number.
func TestResultsReachTheirCaller(t *testing.T) {
	w := newWorld(t, 9, 3, injectedFaults{})
	defer w.seedElections()()
	p := w.waitForLeader()
	w.isolate(p, false, true)
	q := newRequest(command{ID: "own"}.bytes(), false)
	p.replica.propose(q)
	id := entryID{p.replica.incarnation, p.replica.requests.lastSequence}
	p.replica.deliverResult(entryID{id.Incarnation + 1, id.Sequence}, []byte("another's"))
	if len(q.done) > 0 {
		t.Error("the caller got the result of another process's entry")
	}
	p.replica.deliverResult(id, []byte("its own"))
	if len(q.done) == 0 || string((<-q.done).result) != "its own" {
		t.Error("the caller did not get its result")
	}
}

// A read is answered only once its index is applied.
func TestReadWaitsForItsIndex(t *testing.T) {
	w := newWorld(t, 10, 3, injectedFaults{})
	defer w.seedElections()()
	r := w.waitForLeader().replica
	early, due := newRequest(nil, true), newRequest(nil, true)
	early.index, due.index = r.voter.Applied()+1, r.voter.Applied()
	r.requests.confirmedReads = []*request{early, due}
	r.finishReads()
	if len(early.done) > 0 || len(due.done) != 1 || len(r.requests.confirmedReads) != 1 {
		t.Errorf("early %d, due %d, kept %d", len(early.done), len(due.done), len(r.requests.confirmedReads))
	}
}

// A caller that gives up learns the outcome: a command that was not proposed never will be, and that of a proposed one is
// unknown.
func TestAbandonedRequestOutcome(t *testing.T) {
	reason := errors.New("no patience")
	waiting := newRequest(nil, false)
	if out := waiting.abandon(reason); !errors.Is(out.err, ErrNoQuorum) || !errors.Is(out.err, reason) || waiting.claim() {
		t.Errorf("waiting: %v, and it may be proposed", out.err)
	}
	proposed := newRequest(nil, false)
	proposed.claim()
	if out := proposed.abandon(reason); !errors.Is(out.err, ErrOutcomeUnknown) || !errors.Is(out.err, reason) {
		t.Errorf("proposed: %v", out.err)
	}
	answered := newRequest(nil, false)
	answered.claim()
	answered.finish([]byte("done"), nil)
	if out := answered.abandon(reason); out.err != nil || string(out.result) != "done" {
		t.Errorf("answered: %q, %v", out.result, out.err)
	}
}
