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

// The landed replicas and stores in simulated time: members on clocks that run at their own speeds, processes stopped and killed, links
// cut one way and both, connections reset, a disk that lies. Frames go through the connections' own queues; no goroutine runs.
const (
	simStep = 10 * time.Millisecond
	simTick = 20 * time.Millisecond
)

var (
	timetables     = flag.Int("timetables", 20, "seeded timetables that are played")
	firstTimetable = flag.Uint64("first", 0, "seed of the first one")
)

// planted are faults that a run is given, to see that they are found.
type planted struct {
	staleReads      bool // a read is answered without a read index
	unconfirmed     bool // a command is proposed without a read index
	refusedProposed bool // a command is proposed without a read index, and may be refused after that
	earlyResult     bool // a write is answered once it was proposed, before it was agreed on
	trustsDisk      bool // a member votes by what its disk holds, without asking the others
}

// register is the state machine of the tests: one value, and the results of all commands by their identities, so that one that is sent
// again has the result that it had.
type register struct {
	Value   string
	Epoch   uint64
	Results map[string]string
	Order   []string // identities, as applied
	panics  bool
	broken  string
}

// command of a register: writes New, or does so only where the value is Old.
type command struct {
	ID       string
	Swap     bool
	Old, New string
	Padding  []byte `json:",omitempty"`
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
		m.broken = fmt.Sprintf("epoch %d after %d", epoch, m.Epoch)
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

// world is the processes of a group and the links between them.
type world struct {
	t         testing.TB
	seed      uint64
	rng       *rand.Rand
	planted   planted
	now       time.Duration
	processes []*process
	cut       [][]bool // links that carry nothing, from and to
	links     []*link
	broken    string // what was found
	forgotten bool   // a disk lies, and one that may know what it had promised is away or was itself started anew: beyond what a group stands
}

type process struct {
	world   *world
	index   int
	name    string
	rate    float64 // of its clock
	up      bool
	stopped bool
	disk    *store.FaultyDisk
	replica *Replica
	machine *register
	life    int
}

// link is a connection that one process has dialled to another.
type link struct {
	from, to int
	dialled  *transport.Conn // at from
	accepted *transport.Conn // at to; nil: not yet
	life     int             // of to, that accepted
	late     []lateFrame
}

type lateFrame struct {
	at      time.Duration
	forward bool
	bytes   []byte
}

func newWorld(t testing.TB, seed uint64, size int, p planted) *world {
	w := &world{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 43)), planted: p}
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

// deterministic has raft draw its election times from the seed; nothing else in this process draws from there meanwhile.
func (w *world) deterministic() (restore func()) {
	was := crand.Reader
	crand.Reader = rand.NewChaCha8([32]byte{byte(w.seed), byte(w.seed >> 8), byte(w.seed >> 16)})
	return func() { crand.Reader = was }
}

func (p *process) clock() time.Duration {
	return time.Duration(p.rate*float64(p.world.now)) + time.Hour
}

func (p *process) start() {
	w := p.world
	var members []Member
	for i := range w.processes {
		members = append(members, Member{Name: fmt.Sprint("m", i), Address: fmt.Sprintf("127.0.0.1:%d", 7000+i)})
	}
	p.up, p.stopped, p.machine = true, false, newRegister()
	p.life++
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

// kill ends a process: what its disk was not synced may go with it.
func (p *process) kill() {
	p.up, p.replica = false, nil
	p.disk.Kill()
	w := p.world
	w.forgotten = w.forgotten || slices.ContainsFunc(w.processes, func(q *process) bool { return q != p && q.disk.DropsSyncs })
	w.links = slices.DeleteFunc(w.links, func(l *link) bool { return l.from == p.index })
	for _, l := range w.links {
		if l.to == p.index {
			l.reset()
		}
	}
}

// reset has the dialler connect anew: what was under way is lost.
func (l *link) reset() { l.accepted, l.late = nil, nil }

// carry moves frames between connections.
func (w *world) carry() {
	for _, l := range w.links {
		from, to := w.processes[l.from], w.processes[l.to]
		if !to.up || !from.up {
			continue
		}
		if l.accepted == nil || l.life != to.life {
			l.accepted, l.life, l.late = transport.Detached(from.name), to.life, nil
		}
		l.take(l.dialled, true, w)
		l.take(l.accepted, false, w)
		kept := l.late[:0]
		stuck := map[bool]bool{}
		for _, f := range l.late { // in order, as TCP has it
			source, target, conn := from, to, l.accepted
			if !f.forward {
				source, target, conn = to, from, l.dialled
			}
			if stuck[f.forward] || f.at > w.now || w.cut[source.index][target.index] || target.stopped {
				stuck[f.forward] = true
				kept = append(kept, f)
				continue
			}
			kind, content, err := transport.DecodeFrame(f.bytes)
			if err != nil {
				w.t.Fatal(err)
			}
			if len(target.replica.inbox) < inboxSize-64 { // beyond it the connection would wait
				target.replica.receive(conn, kind, content)
			}
		}
		l.late = kept
	}
}

// take puts what was queued at a connection on its way.
func (l *link) take(c *transport.Conn, forward bool, w *world) {
	for {
		frame, ok := c.Next()
		if !ok {
			return
		}
		l.late = append(l.late, lateFrame{w.now + time.Duration(1+w.rng.IntN(8))*time.Millisecond, forward, frame})
	}
}

// step moves the world on.
func (w *world) step() {
	w.now += simStep
	w.carry()
	w.noteForgotten()
	for _, p := range w.processes {
		if !p.up || p.stopped {
			continue
		}
		r := p.replica
		r.drainInbox()
		w.plant(r)
		r.turn(w.now%simTick == 0)
		if w.planted.earlyResult {
			for _, q := range r.requests.proposed {
				q.finish([]byte("done"), nil)
			}
		}
		if p.machine.broken != "" {
			w.broken = fmt.Sprintf("%s: %s", p.name, p.machine.broken)
		}
	}
}

// noteForgotten notes that a member whose disk lies asks what it had promised while another one can't answer.
func (w *world) noteForgotten() {
	for _, p := range w.processes {
		if !p.disk.DropsSyncs || !p.up || p.replica.voter.Votes() {
			continue
		}
		for _, q := range w.processes {
			if !q.up || q.stopped || w.cut[p.index][q.index] || w.cut[q.index][p.index] {
				w.forgotten = true
			}
		}
	}
}

// plant puts the faults that a run is given into a replica.
func (w *world) plant(r *Replica) {
	if w.planted.trustsDisk && !r.voter.Votes() && r.voter.Store() != nil && !r.voter.Store().Empty() {
		r.forgeCheckIn(w)
	}
	if !r.voter.Leads() {
		return
	}
	var kept []*request
	for _, q := range r.requests.waiting {
		switch {
		case q.read && w.planted.staleReads:
			q.finish(nil, nil)
		case !q.read && w.planted.unconfirmed:
			r.propose(q)
		case !q.read && w.planted.refusedProposed:
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

// forgeCheckIn answers a member's questions in the others' place: nothing was promised.
func (r *Replica) forgeCheckIn(w *world) {
	for i, member := range r.options.Members {
		reply, err := json.Marshal(duty.CheckIn{Seat: member.Name, ID: uint64(i + 1)})
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

// fault begins or ends something that fails.
func (w *world) fault() {
	p := w.processes[w.rng.IntN(len(w.processes))]
	switch w.rng.IntN(9) {
	case 0, 1:
		if p.up {
			p.stopped = !p.stopped
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
	case 6: // one disk lies, for good: more would be a majority that forgets
		if !slices.ContainsFunc(w.processes, func(p *process) bool { return p.disk.DropsSyncs }) {
			p.disk.DropsSyncs = true
		}
	case 7, 8:
		w.heal()
	}
}

func (w *world) heal() {
	for i := range w.cut {
		clear(w.cut[i])
	}
	for _, p := range w.processes {
		p.stopped = false
		if !p.up {
			p.start()
		}
	}
}

// isolate cuts a process off: what it sends, what it is sent, or both.
func (w *world) isolate(p *process, out, in bool) {
	for _, q := range w.processes {
		if q != p {
			w.cut[p.index][q.index] = w.cut[p.index][q.index] || out
			w.cut[q.index][p.index] = w.cut[q.index][p.index] || in
		}
	}
}

// breakLinks has a process's connections break, with what is under way.
func (w *world) breakLinks(p *process) {
	for _, l := range w.links {
		if l.from == p.index || l.to == p.index {
			l.reset()
		}
	}
}

// until steps until something holds; it gives up after a minute of simulated time.
func (w *world) until(what string, holds func() bool) {
	w.t.Helper()
	for end := w.now + time.Minute; !holds(); w.step() {
		if w.now > end {
			w.t.Fatalf("seed %d: %s: not within a minute", w.seed, what)
		}
	}
}

// leading is the one process that leads and has applied an entry of its term; nil: there is none.
func (w *world) leading() *process {
	var leader *process
	for _, p := range w.processes {
		if p.up && !p.stopped && p.replica.voter.Established() && (leader == nil || p.replica.voter.LeadTerm() > leader.replica.voter.LeadTerm()) {
			leader = p
		}
	}
	return leader
}

func (w *world) waitForLeader() *process {
	w.t.Helper()
	w.until("a leader", func() bool { return w.leading() != nil })
	return w.leading()
}

// submit hands a process a request, as Propose and Read do.
func (p *process) submit(q *request) *request {
	r := p.replica
	select {
	case r.inbox <- func() { r.submit(q) }:
	default:
		q.finish(nil, ErrBusy)
	}
	return q
}

func (p *process) propose(c command) *request { return p.submit(newRequest(c.bytes(), false)) }

// outcomeOf steps until a request is answered.
func (w *world) outcomeOf(q *request) outcome {
	w.t.Helper()
	w.until("an answer", func() bool { return len(q.done) > 0 })
	return <-q.done
}

// write has a command carried out, at whoever leads, with as many tries as it takes.
func (w *world) write(c command) {
	w.t.Helper()
	for range 100 {
		out := w.outcomeOf(w.waitForLeader().propose(c))
		if out.err == nil {
			return
		}
	}
	w.t.Fatalf("seed %d: %s is not carried out in a hundred tries", w.seed, c.ID)
}

// same steps until all processes that are up have applied the same.
func (w *world) same() {
	w.t.Helper()
	w.until("the same state everywhere", func() bool {
		first := w.processes[0].machine
		for _, p := range w.processes {
			if !p.up || !p.replica.voter.Votes() || !slices.Equal(p.machine.Order, first.Order) || p.machine.Value != first.Value {
				return false
			}
		}
		return true
	})
}

// inLog reports whether a log holds a command, agreed on or not.
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

// surelyNot reports whether an error says that nothing was proposed.
func surelyNot(err error) bool {
	var other *NotLeaderError
	return errors.Is(err, ErrNoQuorum) || errors.Is(err, ErrBusy) || errors.Is(err, ErrStopped) || errors.As(err, &other)
}
