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

// refusedAtCutLeader has a leader that is cut off, and members beside it, take commands for three seconds, and then joins the parts
// again. It returns what is wrong: a command that was not refused, or one that turned up in a log or a state.
func refusedAtCutLeader(t *testing.T, seed uint64, size int, cut func(w *world, leader *process), p planted) string {
	w := newWorld(t, seed, size, p)
	defer w.deterministic()()
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
		if out := w.outcomeOf(q.try); !surelyNot(out.err) {
			return fmt.Sprintf("%s: %q, %v", q.id, out.result, out.err)
		}
	}
	w.heal()
	w.write(command{ID: "after", New: "after"})
	w.same()
	for _, p := range w.processes {
		for _, q := range refused {
			if slices.Contains(p.machine.Order, q.id) || p.inLog(q.id) {
				return fmt.Sprintf("%s was refused, and stands at %s", q.id, p.name)
			}
		}
	}
	return ""
}

var cuts = map[string]struct {
	size int
	cut  func(w *world, leader *process)
}{
	"3, the leader alone":            {3, func(w *world, l *process) { w.isolate(l, true, true) }},
	"3, the leader isn't heard":      {3, func(w *world, l *process) { w.isolate(l, true, false) }},
	"3, the leader hears nothing":    {3, func(w *world, l *process) { w.isolate(l, false, true) }},
	"4, the leader alone":            {4, func(w *world, l *process) { w.isolate(l, true, true) }},
	"4, the leader hears nothing":    {4, func(w *world, l *process) { w.isolate(l, false, true) }},
	"4, two and two, no side writes": {4, func(w *world, l *process) { w.split(l, w.processes[(l.index+1)%4]) }},
	"4, two others died":             {4, func(w *world, l *process) { w.processes[(l.index+1)%4].kill(); w.processes[(l.index+2)%4].kill() }},
	"4, two others were stopped": {4, func(w *world, l *process) {
		w.processes[(l.index+1)%4].stopped, w.processes[(l.index+2)%4].stopped = true, true
	}},
	"2, regions apart": {2, func(w *world, l *process) { w.isolate(l, true, true) }},
}

// split cuts some processes off from the rest.
func (w *world) split(side ...*process) {
	for _, p := range w.processes {
		for _, q := range w.processes {
			if slices.Contains(side, p) != slices.Contains(side, q) {
				w.cut[p.index][q.index] = true
			}
		}
	}
}

func TestMinorityRefusesAndLeavesNothing(t *testing.T) {
	for name, tt := range cuts {
		for seed := range uint64(5) {
			if found := refusedAtCutLeader(t, seed, tt.size, tt.cut, planted{}); found != "" {
				t.Errorf("%s, seed %d: %s", name, seed, found)
			}
		}
		// Without a read index before each proposal the test fails.
		if found := refusedAtCutLeader(t, 0, tt.size, tt.cut, planted{unconfirmed: true}); found == "" {
			t.Errorf("%s: commands proposed without a read index are not found", name)
		}
	}
}

// The side with the majority goes on while a minority is cut off, and both are the same afterwards.
func TestMajorityGoesOn(t *testing.T) {
	for _, size := range []int{3, 4} {
		for seed := range uint64(5) {
			w := newWorld(t, seed, size, planted{})
			restore := w.deterministic()
			w.write(command{ID: "before", New: "before"})
			old := w.waitForLeader()
			w.isolate(old, true, true)
			w.until("another leader", func() bool { return w.leading() != nil && w.leading() != old })
			out := w.outcomeOf(w.leading().propose(command{ID: "during", New: "during"}))
			if out.err != nil || string(out.result) != "done" {
				t.Errorf("size %d, seed %d: %q, %v", size, seed, out.result, out.err)
			}
			w.heal()
			w.same()
			if order := old.machine.Order; !slices.Contains(order, "during") {
				t.Errorf("size %d, seed %d: the old leader has %v", size, seed, order)
			}
			restore()
		}
	}
}

// A leader that was stopped for longer than an election takes: what it was asked just before and while it was stopped is refused or
// unknown, never said to be done, unless it is.
func TestLeaderThatWakes(t *testing.T) {
	unknown, refused := 0, 0
	for seed := range uint64(20) {
		w := newWorld(t, seed, 3+int(seed%2), planted{})
		restore := w.deterministic()
		w.write(command{ID: "before", New: "before"})
		old := w.waitForLeader()
		var tries []*request
		for i := range 6 { // some of them confirmed, some proposed and some not when it is stopped
			id := fmt.Sprint("at the stop ", i)
			tries = append(tries, old.propose(command{ID: id, New: id}))
			if i > 0 {
				w.step()
			}
		}
		old.stopped = true
		if seed%4 >= 2 { // its connections break, with what is under way
			w.breakLinks(old)
		}
		w.until("another leader", func() bool { return w.leading() != nil })
		w.write(command{ID: "during", New: "during"})
		for i := range 5 {
			id := fmt.Sprint("asleep ", i)
			tries = append(tries, old.propose(command{ID: id, New: id}))
		}
		asleep := old.submit(newRequest(nil, true))
		old.stopped = false
		for i, q := range tries {
			out, id := w.outcomeOf(q), fmt.Sprint("at the stop ", i)
			if i >= 6 {
				id = fmt.Sprint("asleep ", i-6)
			}
			w.write(command{ID: fmt.Sprint("fence ", i), New: "fence"})
			w.same()
			stands := slices.Contains(old.machine.Order, id)
			switch {
			case out.err == nil && !stands || i >= 6 && out.err == nil:
				t.Errorf("seed %d: %s was done, and stands: %v", seed, id, stands)
			case surelyNot(out.err) && stands:
				t.Errorf("seed %d: %s was refused, and stands", seed, id)
			case surelyNot(out.err):
				refused++
			case errors.Is(out.err, ErrOutcomeUnknown):
				unknown++
			}
		}
		if out := w.outcomeOf(asleep); out.err == nil && !slices.Contains(old.machine.Order, "during") {
			t.Errorf("seed %d: it read without what was agreed on while it slept", seed)
		}
		restore()
	}
	t.Logf("%d refused, %d unknown", refused, unknown)
	if refused == 0 || unknown == 0 {
		t.Error("the timetables do not reach what they are for")
	}
}

// A command whose outcome is unknown, sent again: carried out once, with the result of the first time.
func TestUnknownIsSentAgain(t *testing.T) {
	carried := 0
	for seed := range uint64(20) {
		w := newWorld(t, seed, 3, planted{})
		restore := w.deterministic()
		w.write(command{ID: "before", New: "before"})
		old := w.waitForLeader()
		swap := command{ID: "swap", Swap: true, Old: "before", New: "swapped"}
		q := old.propose(swap)
		w.until("it is proposed", func() bool { return q.stage.Load() == stageProposed || len(q.done) > 0 })
		for range seed % 3 {
			w.step()
		}
		w.isolate(old, true, true)
		if out := w.outcomeOf(q); out.err != nil && !errors.Is(out.err, ErrOutcomeUnknown) {
			t.Errorf("seed %d: %v", seed, out.err)
		}
		w.until("another leader", func() bool { return w.leading() != nil && w.leading() != old })
		if slices.Contains(w.leading().machine.Order, "swap") {
			carried++
		}
		out := w.outcomeOf(w.leading().propose(swap))
		w.heal()
		w.same()
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
	t.Logf("%d of 20 were carried out the first time", carried)
	if carried == 0 || carried == 20 {
		t.Error("the seeds do not reach both cases")
	}
}

// A member that was away while the log was shortened catches up by a snapshot.
func TestCatchUpBySnapshot(t *testing.T) {
	w := newWorld(t, 1, 4, planted{})
	defer w.deterministic()()
	w.write(command{ID: "before", New: "before"})
	away := w.processes[(w.waitForLeader().index+1)%4]
	away.kill()
	for i := range 300 {
		w.write(command{ID: fmt.Sprint("long ", i), New: fmt.Sprint(i), Padding: make([]byte, 8<<10)})
	}
	leader := w.waitForLeader()
	if first, _ := leader.replica.voter.Store().FirstIndex(); first < 100 {
		t.Fatalf("the leader's log begins at %d: it was not shortened", first)
	}
	away.start()
	w.same()
	if len(away.machine.Order) != 301 || away.machine.Value != "299" {
		t.Errorf("it has %d commands", len(away.machine.Order))
	}
}

// A disk that says yes and keeps nothing, at a follower and at the leader: found when the member starts again, put aside, and the member
// is back under another identity with all that was agreed on.
func TestRolledBackDisk(t *testing.T) {
	found := 0
	for _, atLeader := range []bool{false, true} {
		for seed := range uint64(5) {
			w := newWorld(t, seed, 3+int(seed%2), planted{})
			restore := w.deterministic()
			w.write(command{ID: "before", New: "before"})
			p := w.waitForLeader()
			if !atLeader {
				p = w.processes[(p.index+1)%len(w.processes)]
			}
			identity := p.replica.voter.Store().ID()
			p.disk.Lies = true
			for i := range 5 {
				w.write(command{ID: fmt.Sprint("lost ", i), New: fmt.Sprint(i)})
			}
			before := p.replica.voter.Store().State()
			p.kill()
			p.disk.Lies = false
			p.start()
			forgot := p.replica.voter.Store().State() != before // a kill may leave all by chance
			w.write(command{ID: "after", New: "after"})
			w.same()
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
		t.Errorf("only %d of 10 disks forgot something", found)
	}
}

// A disk that is torn while it is written to (a kill keeps any beginning of what wasn't synced) loses nothing that was agreed on.
func TestTornDisk(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, seed, 3, planted{})
		restore := w.deterministic()
		for i := range 6 {
			w.write(command{ID: fmt.Sprint("kept ", i), New: fmt.Sprint(i)})
			p := w.waitForLeader()
			p.propose(command{ID: fmt.Sprint("torn ", i), New: "torn"})
			p.disk.FailAt = 1 // half of the next write
			w.step()
			w.step()
			p.kill()
			p.start()
		}
		w.write(command{ID: "after", New: "after"})
		w.same()
		for i := range 6 {
			if !slices.Contains(w.processes[0].machine.Order, fmt.Sprint("kept ", i)) {
				t.Errorf("seed %d: kept %d is gone", seed, i)
			}
		}
		restore()
	}
}

// A flipped bit: the member doesn't vote and says which file and byte; the others go on.
func TestSpoiltDisk(t *testing.T) {
	w := newWorld(t, 3, 3, planted{})
	defer w.deterministic()()
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
	if status.Votes || !errors.Is(p.replica.voter.Fault(), store.ErrSpoilt) || !strings.Contains(status.Why, names[0]+", byte ") {
		t.Errorf("%+v", status)
	}
	if out := w.outcomeOf(p.propose(command{ID: "there", New: "there"})); !surelyNot(out.err) {
		t.Errorf("a member that doesn't vote: %v", out.err)
	}
}

// A disk that fails under the leader, and a state machine that panics there: its vote ends with a reason, what it was asked is unknown, the
// others go on, and it still answers.
func TestFaultEndsTheVote(t *testing.T) {
	for name, tt := range map[string]struct {
		fault func(p *process)
		why   string
	}{
		"disk":          {func(p *process) { p.disk.FailAt = 1 }, "no space left on device"},
		"state machine": {func(p *process) { p.machine.panics = true }, "panic: the state machine is broken"},
	} {
		w := newWorld(t, 5, 3, planted{})
		restore := w.deterministic()
		w.write(command{ID: "before", New: "before"})
		p := w.waitForLeader()
		tt.fault(p)
		out := w.outcomeOf(p.propose(command{ID: "broken", New: "broken"}))
		if !errors.Is(out.err, ErrOutcomeUnknown) && !surelyNot(out.err) {
			t.Errorf("%s: %q, %v", name, out.result, out.err)
		}
		w.until("its vote has ended", func() bool { return !p.replica.status().Votes })
		if status := p.replica.status(); status.Leads || !strings.Contains(status.Why, tt.why) {
			t.Errorf("%s: %+v", name, status)
		}
		w.write(command{ID: "after", New: "after"})
		if out := w.outcomeOf(p.propose(command{ID: "later", New: "later"})); !surelyNot(out.err) {
			t.Errorf("%s: asked later: %v", name, out.err)
		}
		restore()
	}
}

// Requests that wait for a confirmation share one read index.
func TestRequestsShareAReadIndex(t *testing.T) {
	w := newWorld(t, 6, 3, planted{})
	defer w.deterministic()()
	p := w.waitForLeader()
	before := p.replica.requests.lastID
	var tries []*request
	for i := range 200 {
		tries = append(tries, p.propose(command{ID: fmt.Sprint(i), New: fmt.Sprint(i)}))
	}
	for i, q := range tries {
		if out := w.outcomeOf(q); out.err != nil {
			t.Errorf("%d: %v", i, out.err)
		}
	}
	if n := p.replica.requests.lastID - before; n != 1 {
		t.Errorf("%d read indices", n)
	}
}

// Beyond its bound a member refuses, and answers all that it took.
func TestRequestsAreBounded(t *testing.T) {
	w := newWorld(t, 7, 3, planted{})
	defer w.deterministic()()
	p := w.waitForLeader()
	w.isolate(p, true, true)
	w.step()
	busy := 0
	for i := range 2*waitingLimit + 100 {
		q := newRequest(command{ID: fmt.Sprint(i)}.bytes(), false)
		p.replica.submit(q)
		if len(q.done) > 0 && errors.Is((<-q.done).err, ErrBusy) {
			busy++
		}
	}
	if busy != waitingLimit+100 {
		t.Errorf("%d were refused", busy)
	}
}

// A confirmation that was under way when the leader was stopped, and comes once it wakes, is of no use: another may lead by then.
func TestConfirmationOfBeforeAStop(t *testing.T) {
	w := newWorld(t, 8, 3, planted{})
	defer w.deterministic()()
	p := w.waitForLeader()
	q := p.propose(command{ID: "late", New: "late"})
	w.until("its read index is under way", func() bool { return p.replica.requests.confirmID != 0 })
	for _, other := range w.processes { // nobody else acts, so that its leadership stands
		other.stopped = true
	}
	w.now += confirmRounds*voter.ElectionTicks*simTick + time.Second
	for _, other := range w.processes {
		other.stopped = false
	}
	if out := w.outcomeOf(q); !errors.Is(out.err, ErrNoQuorum) {
		t.Errorf("%q, %v", out.result, out.err)
	}
	w.write(command{ID: "after", New: "after"})
	if slices.Contains(p.machine.Order, "late") || p.inLog("late") {
		t.Error("it was proposed after all")
	}
}

// An entry of an earlier life of this process, or of another member, has no caller here, whatever its number.
func TestResultsFindTheirCaller(t *testing.T) {
	w := newWorld(t, 9, 3, planted{})
	defer w.deterministic()()
	p := w.waitForLeader()
	w.isolate(p, false, true)
	q := newRequest(command{ID: "own"}.bytes(), false)
	p.replica.propose(q)
	id := entryID{p.replica.life, p.replica.requests.lastEntry}
	p.replica.answer(entryID{id.Life + 1, id.Sequence}, []byte("another's"))
	if len(q.done) > 0 {
		t.Error("it was told another's result")
	}
	p.replica.answer(id, []byte("its own"))
	if len(q.done) == 0 || string((<-q.done).result) != "its own" {
		t.Error("it was not told its result")
	}
}

// A read is answered once its index is applied, and not before.
func TestReadWaitsForItsIndex(t *testing.T) {
	w := newWorld(t, 10, 3, planted{})
	defer w.deterministic()()
	r := w.waitForLeader().replica
	early, due := newRequest(nil, true), newRequest(nil, true)
	early.index, due.index = r.voter.Applied()+1, r.voter.Applied()
	r.requests.reads = []*request{early, due}
	r.finishReads()
	if len(early.done) > 0 || len(due.done) != 1 || len(r.requests.reads) != 1 {
		t.Errorf("early %d, due %d, kept %d", len(early.done), len(due.done), len(r.requests.reads))
	}
}

// A caller that gives up is told how its command stands: withdrawn for good before it was proposed, unknown after.
func TestGivingUp(t *testing.T) {
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
