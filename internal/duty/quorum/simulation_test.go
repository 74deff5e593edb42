package quorum

import (
	"bufio"
	"bytes"
	crand "crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"lemonrail/internal/duty"
	"lemonrail/internal/duty/store"
	"lemonrail/internal/replica/transport"
	"lemonrail/internal/replica/voter"
)

// The simulation runs voters, clients and stores in simulated time: five processes, of which three have
// voters, on clocks with different speeds. Processes are paused and killed, links blocked in one or both
// directions, and disks drop syncs. Frames pass through the connections' own queues; no goroutine runs. A
// timetable is a run whose faults are drawn from a seed.
const (
	simStep     = 10 * time.Millisecond // simulated time per step
	simAgents   = 5                     // number of processes
	simSeats    = 3                     // number of processes with a voter: the first ones
	simMaxDelay = 3 * time.Second       // maximum delay of an action on its way to the target
)

var seedCount = flag.Int("timetables", 20, "number of seeded timetables to run")

// disabledGuards selects safety measures to switch off, to verify that the tests notice their absence: the
// margin for the clocks' drift, the fence, and the check-in of a starting voter with the others.
type disabledGuards struct{ drift, fence, startupCheck bool }

// sim is one run of the simulation.
type sim struct {
	t            testing.TB
	seed         uint64
	rng          *rand.Rand
	disabled     disabledGuards
	settings     *Settings
	now          time.Duration
	procs        []*proc
	blocked      [simAgents][simAgents]bool // blocked links, by sender and receiver
	wires        []*wire
	pendingActs  []*simAct             // actions that have not arrived at the target yet
	fence        *duty.Fence           // of the target of the actions
	operations   []porcupine.Operation // actions that have arrived, and whether the fence accepted them
	holders      map[duty.Epoch]string // the agent that acted in each epoch
	savedActs    uint64                // highest count of acts in the state of an agent that may act: the voters have confirmed it
	violation    string                // the first rule found broken; empty: none
	droppingDisk int                   // index of the process whose disk drops syncs; -1: none
	holdings     int                   // number of times that an agent began to hold the duty
}

// proc is a process: an agent with its client and, if it has a disk, a voter.
type proc struct {
	sim        *sim
	index      int
	name       string
	clockRate  float64 // speed of the process's clock relative to simulated time
	up         bool
	stopped    bool              // paused
	disk       *store.FaultyDisk // of the voter's store; nil: no voter
	seat       *Member           // its voter; nil: none, or the process is down
	client     *Client           // nil: the process is down
	startCount int               // number of starts
	owns       func() bool       // ClientOptions.Owns of its clients
	acts       uint64            // lower bound of the count that Step continues; never set, since the duty's state carries the count
}

// wire is the two ends of a connection between two processes; frames queued at one end are delivered to the
// other.
type wire struct {
	from, to                int                                           // indices of the processes: from has dialled to
	dialledEnd, acceptedEnd *transport.Conn                               // the end at from, and the end at to, which is made once both processes are up
	lives                   [2]int                                        // how often from and to had been started when the ends were made; -1: the end at to is missing
	receiveA                func(*transport.Conn, transport.Kind, []byte) // called at from with each frame that arrives there
	receiveB                func(*transport.Conn, transport.Kind, []byte) // called at to with each frame that arrives there
	inFlight                []delayedFrame                                // frames taken from either end and not delivered yet
}

// delayedFrame is a frame on its way between the ends of a wire.
type delayedFrame struct {
	arrives time.Duration // the simulated time at which it can be delivered
	toB     bool          // on its way to the process wire.to, not to wire.from
	bytes   []byte
}

// simAct is an action of a holder on its way to the target.
type simAct struct {
	epoch   duty.Epoch    // of the permit under which the agent acts
	agent   int           // index of the process
	call    time.Duration // when the agent started the action
	arrives time.Duration // when the target gets it
}

func newSim(t testing.TB, seed uint64, disabled disabledGuards) *sim {
	x := &sim{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 35)), disabled: disabled, fence: duty.NewFence(), holders: map[duty.Epoch]string{}, droppingDisk: -1}
	text := "folder = \"x\"\ndrift = 0.02\nact_ms = 100\ntick_ms = 20\n[[duty]]\nname = \"work\"\nlease_ms = 1000\n"
	for i := range simSeats {
		text += fmt.Sprintf("[[seat]]\nname = \"p%d\"\naddress = \"127.0.0.1:%d\"\n", i, 7000+i)
	}
	var err error
	if x.settings, err = ParseSettings("sim", []byte(text)); err != nil {
		t.Fatal(err)
	}
	if disabled.drift {
		x.settings.Drift = 0
	}
	for i := range simAgents {
		p := &proc{sim: x, index: i, name: fmt.Sprint("p", i), clockRate: 1 + 0.02*(2*x.rng.Float64()-1)}
		if disabled.drift { // the speeds must differ by more than the drift that the settings allow
			p.clockRate = []float64{0.7, 1.3}[i%2]
		}
		if i < simSeats {
			p.disk = store.NewFaultyDisk(seed*8 + uint64(i))
		}
		x.procs = append(x.procs, p)
		p.start()
	}
	return x
}

// clock returns the time on the process's clock.
func (p *proc) clock() time.Duration {
	return time.Duration(p.clockRate*float64(p.sim.now)) + time.Hour
}

var silentLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// start starts the process with a new client and voter, on the disk as it is.
func (p *proc) start() {
	p.up, p.stopped = true, false
	p.startCount++
	p.client = NewClient(ClientOptions{Settings: p.sim.settings, Name: p.name, Tasks: map[string]Task{"work": p}, Owns: p.owns, Log: silentLog, Now: p.clock, Rand: p.sim.rng})
	p.client.startedAt = time.Now()
	if p.disk != nil {
		var err error
		if p.seat, err = New(Options{Settings: p.sim.settings, Name: p.name, FS: p.disk, Log: silentLog, Now: p.clock, Rand: p.sim.rng}); err != nil {
			p.sim.t.Fatal(err)
		}
		p.seat.openStore()
	}
	for j := range simSeats {
		if j != p.index && p.seat != nil {
			p.sim.connect(p, p.sim.settings.seats[j].addr, j, p.seat.dialers[fmt.Sprint("p", j)], p.seat.receive)
		}
		p.sim.connect(p, p.sim.settings.seats[j].addr, j, p.client.dialers[fmt.Sprint("p", j)], p.client.receive)
	}
}

// connect attaches one end of a new connection to a dialer; deliver creates the voter's end once both processes are up.
func (x *sim) connect(p *proc, _ netip.AddrPort, to int, d *transport.Dialer, heard func(*transport.Conn, transport.Kind, []byte)) {
	w := &wire{from: p.index, to: to, dialledEnd: transport.Detached(fmt.Sprint("p", to)), receiveA: heard}
	w.lives = [2]int{p.startCount, -1}
	d.Attach(w.dialledEnd)
	x.wires = append(x.wires, w)
}

// kill ends a process; data that was not synced is lost.
func (p *proc) kill() {
	p.up = false
	p.client, p.seat = nil, nil
	if p.disk != nil {
		p.disk.Kill()
	}
	kept := p.sim.wires[:0]
	for _, w := range p.sim.wires {
		if w.from != p.index {
			if w.to == p.index { // the other side reconnects
				w.lives[1], w.acceptedEnd, w.inFlight = -1, nil, nil
			}
			kept = append(kept, w)
		}
	}
	p.sim.wires = kept
}

// Step implements Task: it starts an action, and increments a count that passes from holder to holder.
func (p *proc) Step(_ time.Time, permit duty.Permit, state []byte) ([]byte, bool) {
	x := p.sim
	if who := x.holders[permit.Epoch]; who != "" && who != p.name {
		x.violation = fmt.Sprintf("%s and %s act in epoch %d", who, p.name, permit.Epoch)
	}
	x.holders[permit.Epoch] = p.name
	delay := time.Duration(x.rng.Float64() * float64(50*time.Millisecond))
	if x.rng.IntN(4) == 0 { // late: the agent is paused between check and write, or the action is delayed on the way
		delay = time.Duration(x.rng.Float64() * float64(simMaxDelay))
	}
	x.pendingActs = append(x.pendingActs, &simAct{permit.Epoch, p.index, x.now, x.now + delay})
	n, _ := strconv.ParseUint(string(state), 10, 64)
	if n < p.acts {
		n = p.acts
	}
	return []byte(strconv.FormatUint(n+1, 10)), true
}

// Observe implements Task.
func (p *proc) Observe(time.Time, duty.Duty) {}

// deliver moves frames between the ends of each connection.
func (x *sim) deliver() {
	for _, w := range x.wires {
		to, from := x.procs[w.to], x.procs[w.from]
		if !to.up || !from.up || to.seat == nil {
			continue
		}
		if w.acceptedEnd == nil || w.lives[1] != to.startCount {
			w.lives[1] = to.startCount
			w.acceptedEnd = transport.Detached(from.name)
			w.receiveB, w.inFlight = to.seat.receive, nil
		}
		for raw, ok := w.dialledEnd.Next(); ok; raw, ok = w.dialledEnd.Next() {
			w.inFlight = append(w.inFlight, delayedFrame{x.now + time.Duration(1+x.rng.IntN(8))*time.Millisecond, true, raw})
		}
		for raw, ok := w.acceptedEnd.Next(); ok; raw, ok = w.acceptedEnd.Next() {
			w.inFlight = append(w.inFlight, delayedFrame{x.now + time.Duration(1+x.rng.IntN(8))*time.Millisecond, false, raw})
		}
		rest := w.inFlight[:0]
		stuck := map[bool]bool{}
		for _, f := range w.inFlight { // a connection delivers in order, as TCP does
			a, b := w.from, w.to
			if !f.toB {
				a, b = b, a
			}
			if stuck[f.toB] || f.arrives > x.now || x.blocked[a][b] || x.procs[b].stopped {
				stuck[f.toB] = true
				rest = append(rest, f)
				continue
			}
			k, content, err := readFrame(bufio.NewReader(bytes.NewReader(f.bytes)))
			if err != nil {
				x.t.Fatal(err)
			}
			if f.toB {
				w.receiveB(w.acceptedEnd, k, content)
			} else {
				w.receiveA(w.dialledEnd, k, content)
			}
		}
		w.inFlight = rest
	}
}

// drain runs the functions that are in an inbox at the time of the call.
func drain(inbox chan func()) {
	for n := len(inbox); n > 0; n-- {
		(<-inbox)()
	}
}

// step advances the simulation by simStep.
func (x *sim) step() {
	x.now += simStep
	x.deliver()
	for _, p := range x.procs {
		if !p.up || p.stopped {
			continue
		}
		before := len(p.client.history)
		if p.seat != nil {
			// The voter trusts its disk without asking the others.
			if x.disabled.startupCheck && !p.seat.voter.Voting() && p.seat.voter.Store() != nil && !p.seat.voter.Store().Empty() {
				p.trustDisk()
			}
			drain(p.seat.inbox)
			p.seat.doDueWork(x.now%(2*simStep) == 0)
		}
		drain(p.client.inbox)
		p.client.doDueWork()
		for _, e := range p.client.history[before:] {
			if e.What == "began" {
				x.holdings++
				n, _ := strconv.ParseUint(string(p.client.states["work"]), 10, 64)
				if n < x.savedActs {
					x.violation = fmt.Sprintf("%s begins epoch %d with %d acts, but %d were confirmed as saved", p.name, e.Epoch, n, x.savedActs)
				}
			}
		}
	}
	x.checkInvariants()
	kept := x.pendingActs[:0]
	for _, a := range x.pendingActs {
		if a.arrives > x.now {
			kept = append(kept, a)
			continue
		}
		ok := x.disabled.fence || x.fence.Admit("work", a.epoch) == nil
		x.operations = append(x.operations, porcupine.Operation{ClientId: len(x.operations), Input: a.epoch, Call: int64(a.arrives - 1), Output: ok, Return: int64(x.now)})
	}
	x.pendingActs = kept
}

// trustDisk makes a starting voter rely on its disk: it passes in forged check-in replies of all voters, by which
// the voter has promised them nothing that could be missing.
func (p *proc) trustDisk() {
	for i := range simSeats {
		reply, err := json.Marshal(duty.CheckInReply{Seat: fmt.Sprint("p", i), ID: uint64(i + 1)})
		if err != nil {
			p.sim.t.Fatal(err)
		}
		m, err := voter.Decode(voter.KindCheckInReply, reply)
		if err != nil {
			p.sim.t.Fatal(err)
		}
		p.seat.voter.Receive(fmt.Sprint("p", i), m)
	}
}

// checkInvariants verifies that at most one agent may act, and records the acts that were confirmed as saved.
func (x *sim) checkInvariants() {
	holder := ""
	for _, p := range x.procs {
		if !p.up || p.stopped {
			continue
		}
		h := p.client.holders["work"]
		if _, ok := h.MayAct(p.clock()); ok {
			if holder != "" {
				x.violation = fmt.Sprintf("%s and %s may act at the same time", holder, p.name)
			}
			holder = p.name
			// The voters' answers to SaveState commands are reflected in the holder's state.
			if n, _ := strconv.ParseUint(string(h.State()), 10, 64); n > x.savedActs {
				x.savedActs = n
			}
		}
	}
}

// injectFault starts or ends a random fault.
func (x *sim) injectFault() {
	p := x.procs[x.rng.IntN(simAgents)]
	switch x.rng.IntN(8) {
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
		q := x.procs[x.rng.IntN(simAgents)]
		x.blocked[p.index][q.index] = !x.blocked[p.index][q.index]
		if x.rng.IntN(2) == 0 {
			x.blocked[q.index][p.index] = x.blocked[p.index][q.index]
		}
	case 5:
		// Only one of the three disks drops syncs, and keeps doing so: with two, a majority could lose
		// promises.
		if x.droppingDisk < 0 && p.disk != nil {
			x.droppingDisk = p.index
			p.disk.DropsSyncs = true
		}
	case 6, 7: // ends all faults
		x.heal()
	}
}

// heal ends all faults except dropped syncs.
func (x *sim) heal() {
	x.blocked = [simAgents][simAgents]bool{}
	for _, p := range x.procs {
		p.stopped = false
		if !p.up {
			p.start()
		}
	}
}

// fenceModel is the fence's specification: after an accepted action no action of a lower epoch is accepted.
var fenceModel = porcupine.Model{
	Init: func() any { return duty.Epoch(0) },
	Step: func(state, in, out any) (bool, any) {
		seen, epoch, ok := state.(duty.Epoch), in.(duty.Epoch), out.(bool)
		if ok {
			return epoch >= seen, max(epoch, seen)
		}
		return epoch < seen, seen
	},
}

// run plays a timetable: two seconds without faults, ten with faults, then four without. It returns the violation
// that it found, or an empty string.
func (x *sim) run() string {
	// raft draws its election timeouts from this reader; nothing else in this process reads it during a run.
	original := crand.Reader
	crand.Reader = rand.NewChaCha8([32]byte{byte(x.seed), byte(x.seed >> 8)})
	defer func() { crand.Reader = original }()
	for x.violation == "" && x.now < 16*time.Second {
		x.step()
		if x.now > 2*time.Second && x.now < 12*time.Second && x.rng.Float64() < 0.02 {
			x.injectFault()
		}
		if x.now == 12*time.Second {
			x.heal()
		}
	}
	if x.violation == "" && !porcupine.CheckOperations(fenceModel, x.operations) {
		x.violation = "an action was accepted after one of a higher epoch"
	}
	return x.violation
}

// In no timetable may two agents act in one epoch or at the same time, a new holder lack acts that were
// confirmed as saved, or an action be accepted after one of a higher epoch.
func TestFaultTimetables(t *testing.T) {
	acts, refused, epochs, began := 0, 0, 0, 0
	for seed := range *seedCount {
		x := newSim(t, uint64(seed), disabledGuards{})
		if b := x.run(); b != "" {
			t.Fatalf("timetable %d: %s", seed, b)
		}
		if x.holdings == 0 {
			t.Errorf("timetable %d: no agent ever held the duty", seed)
		}
		acts += len(x.operations)
		for _, o := range x.operations {
			if !o.Output.(bool) {
				refused++
			}
		}
		epochs += len(x.holders)
		began += x.holdings
	}
	t.Logf("%d timetables: %d acts, %d refused by the fence, %d epochs, %d holdings", *seedCount, acts, refused, epochs, began)
	if epochs <= *seedCount || acts < 10**seedCount || refused == 0 && *seedCount >= 500 {
		t.Error("too few epochs, actions or refusals: the timetables don't cover what the test checks")
	}
}

// These seeds led to violations once: an expiry that crossed with a renewal gave the duty to two agents; a
// leader's disk that dropped syncs went unnoticed, although an entry's majority had counted that leader.
func TestTimetableRegressions(t *testing.T) {
	for _, seed := range []uint64{2069, 2651, 7238, 8582, 4479, 5367, 6479, 7876} {
		if b := newSim(t, seed, disabledGuards{}).run(); b != "" {
			t.Errorf("timetable %d: %s", seed, b)
		}
	}
}

// The same seed gives the same run, so that a failure can be debugged.
func TestTimetablesAreDeterministic(t *testing.T) {
	played := func(seed uint64) string {
		x := newSim(t, seed, disabledGuards{})
		return fmt.Sprint(x.run(), x.operations, x.holders, x.holdings)
	}
	for seed := range uint64(3) {
		if once, again := played(seed), played(seed); once != again {
			t.Errorf("timetable %d: two plays differ:\n%s\n%s", seed, once, again)
		}
	}
}

// With each safety measure switched off, a violation is found within a limited number of timetables.
func TestDisabledGuardsAreDetected(t *testing.T) {
	guards, limit := map[string]disabledGuards{"the drift's margin": {drift: true}, "the fence": {fence: true}}, 100
	if *seedCount >= 500 { // a disk that drops syncs leads to a violation in one of some hundreds of timetables
		guards["the check-in with the other voters"], limit = disabledGuards{startupCheck: true}, 5000
	}
	for name, disabled := range guards {
		violatingSeed := -1
		for seed := range limit {
			// Seeds that fail with all safety measures in place too (a known limit of disks that drop syncs)
			// prove nothing about this one.
			if x := newSim(t, uint64(seed), disabled); x.run() != "" && newSim(t, uint64(seed), disabledGuards{}).run() == "" {
				violatingSeed = seed
				t.Logf("without %s: timetable %d: %s", name, seed, x.violation)
				break
			}
		}
		if violatingSeed < 0 {
			t.Errorf("without %s no violation was found in %d timetables", name, limit)
		}
	}
}
