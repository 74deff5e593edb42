package replica

import (
	crand "crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"lemonrail/internal/duty"
	"lemonrail/internal/duty/store"
	"lemonrail/internal/replica/transport"
	"lemonrail/internal/replica/voter"
)

// The simulation runs real replicas and stores in simulated time: clocks run at different speeds, processes are paused and
// killed, links are cut in one or both directions, connections are reset, and a disk drops syncs. Frames pass through the
// queues of detached connections; no goroutine runs.
const (
	simStep = 10 * time.Millisecond // simulated time per step
	simTick = 20 * time.Millisecond // simulated time per raft tick
)

var (
	timetables     = flag.Int("timetables", 20, "number of seeded timetables of faults to run")
	firstTimetable = flag.Uint64("first", 0, "seed of the first timetable")
)

// injectedFaults are errors put into the replicas, to verify that the tests detect them.
type injectedFaults struct {
	staleReads      bool // reads are answered without a read index
	unconfirmed     bool // commands are proposed without a read index
	refusedProposed bool // commands are proposed without a read index, and may be refused afterwards
	earlyResult     bool // commands are answered once proposed, before they are committed
	trustsDisk      bool // a member votes by what its disk holds, without asking the others
}

// register is the state machine of the tests: one value, and the results of all commands by their IDs, so that a retried
// command gets the result of its first execution.
type register struct {
	Value     string
	Epoch     uint64            // raft term of the last entry
	Results   map[string]string // by command ID
	Order     []string          // IDs of the commands in the order of execution
	panics    bool              // Apply panics
	violation string            // set if the raft term of the entries decreased
}

// command writes New to a register. With Swap it does so only if the value is Old.
type command struct {
	ID       string // identifies the command; a retry has the same
	Swap     bool
	Old, New string
	Padding  []byte `json:",omitempty"` // makes the command longer
}

func (c command) bytes() []byte {
	raw, _ := json.Marshal(c)
	return raw
}

func newRegister() *register { return &register{Results: map[string]string{}} }

func (m *register) Apply(epoch uint64, raw []byte) []byte {
	if m.panics {
		panic("the state machine is broken")
	}
	if epoch < m.Epoch {
		m.violation = fmt.Sprintf("epoch %d after %d", epoch, m.Epoch)
	}
	m.Epoch = epoch
	var c command
	if err := json.Unmarshal(raw, &c); err != nil {
		return []byte("bad command")
	}
	if result, known := m.Results[c.ID]; known {
		return []byte(result)
	}
	result := "done"
	if c.Swap && m.Value != c.Old {
		result = "other value"
	} else {
		m.Value = c.New
	}
	m.Results[c.ID] = result
	m.Order = append(m.Order, c.ID)
	return []byte(result)
}

func (m *register) Snapshot() ([]byte, error) { return json.Marshal(m) }

func (m *register) Restore(raw []byte) error {
	m.Results, m.Order = map[string]string{}, nil
	return json.Unmarshal(raw, m)
}

// world is a simulated group: its processes and the links between them.
type world struct {
	t            testing.TB
	seed         uint64
	rng          *rand.Rand
	injected     injectedFaults
	now          time.Duration // simulated time
	processes    []*process
	cut          [][]bool // cut[from][to]: no frame is delivered in this direction
	links        []*link
	violation    string // an invariant that was broken; empty: none
	promisesLost bool   // a disk dropped syncs while a member that may know its promises was away or restarted: the loss may go unnoticed
}

// process is a member of the group with its clock and disk.
type process struct {
	world       *world
	index       int
	name        string
	rate        float64 // of its clock, relative to simulated time
	up          bool
	paused      bool
	disk        *store.FaultyDisk
	replica     *Replica // nil: the process is down
	machine     *register
	incarnation int // number of starts
}

// link is a connection that one process has dialled to another.
type link struct {
	from, to    int             // indices of the processes: from has dialled to
	dialled     *transport.Conn // end at from
	accepted    *transport.Conn // end at to; nil: not accepted yet
	incarnation int             // of process to when it accepted
	delayed     []delayedFrame  // frames on their way, the oldest first
}

// delayedFrame is a frame on its way between the ends of a link.
type delayedFrame struct {
	at      time.Duration // when it arrives
	forward bool          // from the dialling process to the other one
	bytes   []byte
}

func newWorld(t testing.TB, seed uint64, size int, p injectedFaults) *world {
	w := &world{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 43)), injected: p}
	w.cut = make([][]bool, size)
	for i := range size {
		w.cut[i] = make([]bool, size)
		w.processes = append(w.processes, &process{world: w, index: i, name: fmt.Sprint("m", i), rate: 1 + 0.02*(2*w.rng.Float64()-1), disk: store.NewFaultyDisk(seed*8 + uint64(i))})
	}
	for _, p := range w.processes {
		p.start()
	}
	return w
}

// seedElections makes raft draw its election timeouts from the seed. Nothing else in this process uses the reader meanwhile.
func (w *world) seedElections() (restore func()) {
	was := crand.Reader
	crand.Reader = rand.NewChaCha8([32]byte{byte(w.seed), byte(w.seed >> 8), byte(w.seed >> 16)})
	return func() { crand.Reader = was }
}

// clock returns the time on the process's clock.
func (p *process) clock() time.Duration {
	return time.Duration(p.rate*float64(p.world.now)) + time.Hour
}

// start starts the process with a new replica and state machine, on the disk as it is.
func (p *process) start() {
	w := p.world
	var members []Member
	for i := range w.processes {
		members = append(members, Member{Name: fmt.Sprint("m", i), Address: fmt.Sprintf("127.0.0.1:%d", 7000+i)})
	}
	p.up, p.paused, p.machine = true, false, newRegister()
	p.incarnation++
	var err error
	p.replica, err = New(Options{Group: "sim", Name: p.name, Members: members, FS: p.disk, Tick: simTick, Machine: p.machine, Log: slog.New(slog.DiscardHandler),
		Now: p.clock, Rand: w.rng})
	if err != nil {
		w.t.Fatal(err)
	}
	p.replica.open()
	for i := range w.processes {
		if i != p.index {
			l := &link{from: p.index, to: i, dialled: transport.Detached(fmt.Sprint("m", i))}
			p.replica.peers[fmt.Sprint("m", i)].Attach(l.dialled)
			w.links = append(w.links, l)
		}
	}
}

// kill ends a process; its disk may lose what was not synced.
func (p *process) kill() {
	p.up, p.replica = false, nil
	p.disk.Kill()
	w := p.world
	w.promisesLost = w.promisesLost || slices.ContainsFunc(w.processes, func(q *process) bool { return q != p && q.disk.DropsSyncs })
	w.links = slices.DeleteFunc(w.links, func(l *link) bool { return l.from == p.index })
	for _, l := range w.links {
		if l.to == p.index {
			l.reset()
		}
	}
}

// reset loses all frames in flight; the dialler connects again.
func (l *link) reset() { l.accepted, l.delayed = nil, nil }

// deliverFrames moves frames between the connections.
func (w *world) deliverFrames() {
	for _, l := range w.links {
		from, to := w.processes[l.from], w.processes[l.to]
		if !to.up || !from.up {
			continue
		}
		if l.accepted == nil || l.incarnation != to.incarnation {
			l.accepted, l.incarnation, l.delayed = transport.Detached(from.name), to.incarnation, nil
		}
		l.collect(l.dialled, true, w)
		l.collect(l.accepted, false, w)
		kept := l.delayed[:0]
		stuck := map[bool]bool{}
		for _, f := range l.delayed { // in order, as TCP delivers them
			source, target, conn := from, to, l.accepted
			if !f.forward {
				source, target, conn = to, from, l.dialled
			}
			if stuck[f.forward] || f.at > w.now || w.cut[source.index][target.index] || target.paused {
				stuck[f.forward] = true
				kept = append(kept, f)
				continue
			}
			kind, content, err := transport.DecodeFrame(f.bytes)
			if err != nil {
				w.t.Fatal(err)
			}
			if len(target.replica.inbox) < inboxSize-64 { // with a fuller inbox a real connection would block
				target.replica.receive(conn, kind, content)
			}
		}
		l.delayed = kept
	}
}

// collect takes the frames that are queued at a connection and gives each a random delay.
func (l *link) collect(c *transport.Conn, forward bool, w *world) {
	for {
		frame, ok := c.Next()
		if !ok {
			return
		}
		l.delayed = append(l.delayed, delayedFrame{w.now + time.Duration(1+w.rng.IntN(8))*time.Millisecond, forward, frame})
	}
}

// step advances the simulation by simStep.
func (w *world) step() {
	w.now += simStep
	w.deliverFrames()
	w.notePromisesLost()
	for _, p := range w.processes {
		if !p.up || p.paused {
			continue
		}
		r := p.replica
		r.drainInbox()
		w.injectFaults(r)
		r.step(w.now%simTick == 0)
		if w.injected.earlyResult {
			for _, q := range r.requests.proposed {
				q.finish([]byte("done"), nil)
			}
		}
		if p.machine.violation != "" {
			w.violation = fmt.Sprintf("%s: %s", p.name, p.machine.violation)
		}
	}
}

// notePromisesLost records that a member whose disk drops syncs checks in while another member can't answer.
func (w *world) notePromisesLost() {
	for _, p := range w.processes {
		if !p.disk.DropsSyncs || !p.up || p.replica.voter.Voting() {
			continue
		}
		for _, q := range w.processes {
			if !q.up || q.paused || w.cut[p.index][q.index] || w.cut[q.index][p.index] {
				w.promisesLost = true
			}
		}
	}
}

// injectFaults applies the injected faults to a replica's waiting requests and check-in.
func (w *world) injectFaults(r *Replica) {
	if w.injected.trustsDisk && !r.voter.Voting() && r.voter.Store() != nil && !r.voter.Store().Empty() {
		r.forgeCheckIn(w)
	}
	if !r.voter.Leads() {
		return
	}
	var kept []*request
	for _, q := range r.requests.waiting {
		switch {
		case q.read && w.injected.staleReads:
			q.finish(nil, nil)
		case !q.read && w.injected.unconfirmed:
			r.propose(q)
		case !q.read && w.injected.refusedProposed:
			if err := r.voter.Propose(encodeEntry(entryID{}, q.command)); err != nil {
				w.t.Log(err)
			}
			kept = append(kept, q)
		default:
			kept = append(kept, q)
		}
	}
	r.requests.waiting = kept
}

// forgeCheckIn answers a member's check-in in place of the others, as if nothing had been promised.
func (r *Replica) forgeCheckIn(w *world) {
	for i, member := range r.options.Members {
		reply, err := json.Marshal(duty.CheckInReply{Seat: member.Name, ID: uint64(i + 1)})
		if err != nil {
			w.t.Fatal(err)
		}
		m, err := voter.Decode(voter.KindCheckInReply, reply)
		if err != nil {
			w.t.Fatal(err)
		}
		r.voter.Receive(member.Name, m)
	}
}

// toggleFault begins or ends a random fault.
func (w *world) toggleFault() {
	p := w.processes[w.rng.IntN(len(w.processes))]
	switch w.rng.IntN(9) {
	case 0, 1:
		if p.up {
			p.paused = !p.paused
		}
	case 2:
		if p.up {
			p.kill()
		} else {
			p.start()
		}
	case 3, 4:
		q := w.processes[w.rng.IntN(len(w.processes))]
		w.cut[p.index][q.index] = !w.cut[p.index][q.index]
		if w.rng.IntN(2) == 0 {
			w.cut[q.index][p.index] = w.cut[p.index][q.index]
		}
	case 5:
		w.breakLinks(p)
	case 6: // one disk drops syncs for the rest of the run; with more of them a majority could lose its promises
		if !slices.ContainsFunc(w.processes, func(p *process) bool { return p.disk.DropsSyncs }) {
			p.disk.DropsSyncs = true
		}
	case 7, 8:
		w.heal()
	}
}

// heal ends all faults except dropped syncs.
func (w *world) heal() {
	for i := range w.cut {
		clear(w.cut[i])
	}
	for _, p := range w.processes {
		p.paused = false
		if !p.up {
			p.start()
		}
	}
}

// isolate cuts the outgoing links of a process, the incoming ones, or both.
func (w *world) isolate(p *process, out, in bool) {
	for _, q := range w.processes {
		if q != p {
			w.cut[p.index][q.index] = w.cut[p.index][q.index] || out
			w.cut[q.index][p.index] = w.cut[q.index][p.index] || in
		}
	}
}

// breakLinks resets all connections of a process; frames in flight are lost.
func (w *world) breakLinks(p *process) {
	for _, l := range w.links {
		if l.from == p.index || l.to == p.index {
			l.reset()
		}
	}
}

// stepUntil steps until a condition holds. It fails the test after a minute of simulated time.
func (w *world) stepUntil(what string, holds func() bool) {
	w.t.Helper()
	for end := w.now + time.Minute; !holds(); w.step() {
		if w.now > end {
			w.t.Fatalf("seed %d: %s: did not happen within a minute", w.seed, what)
		}
	}
}

// establishedLeader returns the running process with the highest leader term that has applied an entry of it; nil: none.
func (w *world) establishedLeader() *process {
	var leader *process
	for _, p := range w.processes {
		if p.up && !p.paused && p.replica.voter.Established() && (leader == nil || p.replica.voter.LeadTerm() > leader.replica.voter.LeadTerm()) {
			leader = p
		}
	}
	return leader
}

// waitForLeader steps until a process leads and has applied an entry of its term.
func (w *world) waitForLeader() *process {
	w.t.Helper()
	w.stepUntil("a leader", func() bool { return w.establishedLeader() != nil })
	return w.establishedLeader()
}

// submit passes a request to a process, as Propose and Read do.
func (p *process) submit(q *request) *request {
	r := p.replica
	select {
	case r.inbox <- func() { r.submit(q) }:
	default:
		q.finish(nil, ErrBusy)
	}
	return q
}

// propose passes a command to a process, as Propose does.
func (p *process) propose(c command) *request { return p.submit(newRequest(c.bytes(), false)) }

// outcomeOf steps until a request is finished.
func (w *world) outcomeOf(q *request) outcome {
	w.t.Helper()
	w.stepUntil("an answer", func() bool { return len(q.done) > 0 })
	return <-q.done
}

// write retries a command at the current leader until it is executed.
func (w *world) write(c command) {
	w.t.Helper()
	for range 100 {
		out := w.outcomeOf(w.waitForLeader().propose(c))
		if out.err == nil {
			return
		}
	}
	w.t.Fatalf("seed %d: %s was not executed in a hundred attempts", w.seed, c.ID)
}

// waitForSameState steps until all processes are up, vote and have applied the same commands.
func (w *world) waitForSameState() {
	w.t.Helper()
	w.stepUntil("the same state everywhere", func() bool {
		first := w.processes[0].machine
		for _, p := range w.processes {
			if !p.up || !p.replica.voter.Voting() || !slices.Equal(p.machine.Order, first.Order) || p.machine.Value != first.Value {
				return false
			}
		}
		return true
	})
}

// inLog reports whether a process's log holds a command, committed or not.
func (p *process) inLog(id string) bool {
	first, _ := p.replica.voter.Store().FirstIndex()
	last, _ := p.replica.voter.Store().LastIndex()
	if first > last {
		return false
	}
	entries, err := p.replica.voter.Store().Entries(first, last+1, 1<<40)
	if err != nil {
		p.world.t.Fatal(err)
	}
	return slices.ContainsFunc(entries, func(e *pb.Entry) bool {
		_, raw, err := decodeEntry(e.GetData())
		var c command
		return e.GetType() == pb.EntryNormal && err == nil && json.Unmarshal(raw, &c) == nil && c.ID == id
	})
}

// notProposed reports whether an error guarantees that nothing was proposed.
func notProposed(err error) bool {
	var other *NotLeaderError
	return errors.Is(err, ErrNoQuorum) || errors.Is(err, ErrBusy) || errors.Is(err, ErrStopped) || errors.As(err, &other)
}
