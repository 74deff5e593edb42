package configuration

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/wire"
)

var (
	timetables = flag.Int("timetables", 20, "seeded timetables that are played")
	timetable  = flag.Int("timetable", -1, "the one timetable that is played")
)

// fault is a guard that is taken away, to show that the timetables find it.
type fault string

const (
	noFault       fault = ""
	withoutCheck  fault = "check"              // of effective documents by the agent
	withoutOrder  fault = "order"              // of revisions
	withoutDigest fault = "digest"             // of documents
	withoutFrom   fault = "digest and from"    // and of the revision that a patch is laid upon: the digest finds that too
	reportsEarly  fault = "apply, then report" // it reports, then applies
	withoutAnew   fault = "report anew"        // a watch doesn't void what was reported before
)

// timetableSteps happen before a timetable becomes quiet.
const timetableSteps = 1500

// world is two groups of control machines with perfect logs, and agents that watch them, in simulated time.
type world struct {
	t        *testing.T
	rng      *rand.Rand
	fault    fault
	found    string // what went wrong first
	now      time.Duration
	epoch    uint64
	logs     map[string][]logEntry
	leaders  map[string]*Registry // have applied the whole log of each group
	history  map[Scope]map[uint64]string
	machines []*simulatedMachine
	agents   []*simulatedAgent
	hostile  bool     // documents may be ones that some agents refuse
	sent     []Change // may be sent again
	answers  map[string]Accepted
	counts   map[string]int
}

type logEntry struct {
	epoch   uint64
	command []byte
}

type simulatedMachine struct {
	registries map[string]*Registry
	applied    map[string]int // entries of each log
	tracker    *Tracker
}

type simulatedAgent struct {
	place    Place
	settings balance.Settings
	names    wire.Names
	follower *Follower
	watches  []*simulatedWatch
	due      bool // a report is to be sent
	disk     [][]byte

	document  *Document          // that the core works by
	positions map[Scope]Position // and what it is made of
	highest   map[Scope]uint64   // revisions that this process has had in force
	early     *Effective         // reported before it is applied
}

type simulatedWatch struct {
	machine *simulatedMachine
	sent    map[Scope]Position
	lines   [][]byte
}

var simulatedScopes = []Scope{
	Fleet, eastScope, zoneScope, {Level: LevelZone, Region: "east", Name: "e2"}, service,
	{Level: LevelService, Name: "search"}, agentScope, {Level: LevelAgent, Region: "east", Name: "a2"},
}

// manyClasses make a document that is sent in parts.
var manyClasses = func() (names []string) {
	for i := range 60 {
		names = append(names, fmt.Sprintf("class-%03d", i))
	}
	return names
}()

func newWorld(t *testing.T, seed uint64, f fault) *world {
	w := &world{t: t, rng: newRand(seed), fault: f, epoch: 1, hostile: seed%2 == 1,
		logs: map[string][]logEntry{}, leaders: map[string]*Registry{},
		history: map[Scope]map[uint64]string{}, answers: map[string]Accepted{}, counts: map[string]int{}}
	for _, group := range []string{FleetGroup, RegionGroup("east")} {
		w.leaders[group] = NewRegistry(group)
		w.leaders[group].OnRevision = w.record
	}
	for _, name := range []string{"m1", "m2", "m3"} {
		m := &simulatedMachine{registries: map[string]*Registry{}, applied: map[string]int{}, tracker: NewTracker(name, 0)}
		m.tracker.keepsReports = f == withoutAnew
		for group := range w.leaders {
			m.registries[group] = NewRegistry(group)
		}
		w.machines = append(w.machines, m)
	}
	for i := range 6 {
		a := &simulatedAgent{place: Place{Agent: fmt.Sprint("a", i+1), Region: "east", Zone: fmt.Sprint("e", 1+i%2),
			Service: []string{"cart", "search", "cart"}[i%3]}}
		a.settings, a.names = startSettings()
		for _, name := range manyClasses {
			a.names.Classes = append(a.names.Classes, name)
			a.settings.Classes = append(a.settings.Classes, a.settings.Classes[0])
		}
		if w.hostile && i%3 == 2 { // a start file that is months old
			a.names.Classes[2] = "write-before" // it was renamed since
			a.settings.Tenants, a.names.Tenants = nil, nil
		}
		w.agents = append(w.agents, a)
		w.start(a, nil)
	}
	return w
}

// record remembers the one document of each revision.
func (w *world) record(r Revision) {
	if w.history[r.Scope] == nil {
		w.history[r.Scope] = map[uint64]string{}
	}
	if _, twice := w.history[r.Scope][r.Revision]; twice {
		w.wrong("%v has two revisions %d", r.Scope, r.Revision)
	}
	w.history[r.Scope][r.Revision] = string(r.Document)
}

func (w *world) wrong(format string, values ...any) {
	if w.found == "" {
		w.found = fmt.Sprintf(format, values...)
	}
}

// check is the follower's check of an agent.
func (a *simulatedAgent) check(d *Document) error {
	_, err := d.Apply(a.settings, a.names)
	return err
}

// start begins a process of an agent, with what its disk has unless that is nil.
func (w *world) start(a *simulatedAgent, kept []byte) {
	for len(a.watches) > 0 {
		w.end(a, a.watches[0])
	}
	check := a.check
	if w.fault == withoutCheck {
		check = func(*Document) error { return nil }
	}
	a.follower = NewFollower(a.place, check)
	a.follower.unguarded = guards{order: w.fault == withoutOrder, from: w.fault == withoutFrom,
		digest: w.fault == withoutFrom || w.fault == withoutDigest}
	a.document, a.positions, a.highest = Merge(nil, nil), map[Scope]Position{}, map[Scope]uint64{}
	a.due, a.early = false, nil
	if kept != nil {
		if err := a.follower.RestoreKept(kept); err != nil {
			w.wrong("restore: %v", err)
		}
		w.settle(a)
	}
}

func (w *world) begin(a *simulatedAgent, m *simulatedMachine) {
	must(w.t, m.tracker.Connected(a.place, w.now))
	a.follower.Connected()
	w.settle(a)
	a.watches = append(a.watches, &simulatedWatch{machine: m, sent: a.follower.Have()})
	a.due = true
	w.counts["watches"]++
}

func (w *world) end(a *simulatedAgent, watch *simulatedWatch) {
	watch.machine.tracker.Disconnected(a.place, w.now)
	a.watches = slices.DeleteFunc(a.watches, func(other *simulatedWatch) bool { return other == watch })
}

// settle applies what is pending. It reports after that, unless that is the fault.
func (w *world) settle(a *simulatedAgent) {
	for effective, ok := a.follower.Pending(); ok; effective, ok = a.follower.Pending() {
		a.follower.InForce(effective)
		a.due = true
		w.counts["in force"]++
		if w.fault == reportsEarly {
			a.early = effective
			return
		}
		w.apply(a, effective)
	}
}

// apply makes an effective document the core's, and checks that it may be.
func (w *world) apply(a *simulatedAgent, effective *Effective) {
	if err := a.check(effective.Document); err != nil {
		w.wrong("%s applies what makes no sense there: %v", a.place.Agent, err)
	}
	for scope, d := range effective.made {
		if want := w.history[scope][d.Revision]; string(d.text) != want {
			w.wrong("%s has another document of %v, revision %d: %s, not %s", a.place.Agent, scope, d.Revision, d.text, want)
		}
		if d.Revision < a.highest[scope] {
			w.wrong("%s goes back in %v from revision %d to %d", a.place.Agent, scope, a.highest[scope], d.Revision)
		}
		a.highest[scope] = max(a.highest[scope], d.Revision)
	}
	a.document, a.positions = effective.Document, effective.Positions
	kept, err := a.follower.Kept()
	must(w.t, err)
	a.disk = append(a.disk, kept)
}

// step lets one thing happen.
func (w *world) step() {
	w.now += time.Duration(1+w.rng.IntN(1000)) * time.Microsecond
	a, m := w.agents[w.rng.IntN(len(w.agents))], w.machines[w.rng.IntN(len(w.machines))]
	switch n := w.rng.IntN(100); {
	case n < 6:
		w.change()
	case n < 7:
		w.sendAgain()
	case n < 8:
		w.epoch++
	case n < 9:
		w.restartMachine(m)
	case n < 25:
		w.replicate(m, 1+w.rng.IntN(3))
	case n < 40:
		w.push(m)
	case n < 44:
		w.damage(a)
	case n < 48 && len(a.watches) < 2: // a second one while the first stands, as on a return
		w.begin(a, m)
	case n < 50 && len(a.watches) > 0:
		w.end(a, a.watches[w.rng.IntN(len(a.watches))])
	case n < 51:
		w.restart(a)
	case n < 60:
		w.report(a)
	case n < 62 && a.early != nil:
		w.apply(a, a.early)
		a.early = nil
		w.settle(a)
	default:
		w.deliver(a)
	}
	w.status()
}

// change makes a new revision of a scope by way of a leader.
func (w *world) change() {
	scope := simulatedScopes[w.rng.IntN(len(simulatedScopes))]
	latest, _ := w.leaders[scope.Group()].Revision(scope)
	document := w.document()
	if w.rng.IntN(2) == 0 && latest.Revision > 0 { // a part of it alone
		earlier, err := ParseDocument(latest.Document)
		must(w.t, err)
		document = Merge(earlier, document)
	}
	c := change(fmt.Sprint("c", len(w.sent)), scope, latest.Revision, document)
	if w.rng.IntN(10) == 0 {
		c.Base-- // two changes at once
	}
	w.propose(c)
}

// document is one that all agents can apply, or in hostile worlds one that some can't.
func (w *world) document() *Document {
	if w.hostile && w.rng.IntN(3) == 0 {
		d := randomDocument(w.rng)
		d.Classes["point-read"] = ClassDocument{DeadlineMs: pointer(float64(20 + w.rng.IntN(400)))}
		return d
	}
	d := randomDocument(w.rng)
	if w.hostile {
		delete(d.Classes, "write")
		d.Tenants = nil
	}
	if w.rng.IntN(4) == 0 { // long enough for parts
		for _, name := range manyClasses {
			d.Classes[name] = ClassDocument{Worth: pointer(w.rng.Float64())}
		}
	}
	return d
}

func (w *world) propose(c Change) {
	w.sent = append(w.sent, c)
	w.write(c)
}

// write has a change written by the group of its scope.
func (w *world) write(c Change) {
	leader := w.leaders[c.Scope.Group()]
	if leader.Check(c) != nil {
		w.counts["refused"]++
		return
	}
	command, err := EncodeChange(c)
	must(w.t, err)
	w.logs[c.Scope.Group()] = append(w.logs[c.Scope.Group()], logEntry{w.epoch, command})
	accepted, err := DecodeResult(leader.Apply(w.epoch, command))
	if err != nil {
		w.wrong("Check passes %+v, Apply says %v", c, err)
		return
	}
	if first, known := w.answers[c.ID]; known && first != accepted {
		w.wrong("change %s gets %+v, after %+v", c.ID, accepted, first)
	}
	w.answers[c.ID] = accepted
	w.counts["changes"]++
}

func (w *world) sendAgain() {
	if n := len(w.sent); n > 0 {
		w.write(w.sent[n-1-w.rng.IntN(min(n, 20))])
	}
}

// replicate lets a machine apply so many entries of each log.
func (w *world) replicate(m *simulatedMachine, entries int) {
	for group, log := range w.logs {
		for ; entries > 0 && m.applied[group] < len(log); entries-- {
			entry := log[m.applied[group]]
			m.registries[group].Apply(entry.epoch, entry.command)
			m.applied[group]++
		}
	}
}

// restartMachine loses what isn't replicated; the groups' state comes back by a snapshot.
func (w *world) restartMachine(m *simulatedMachine) {
	for group, r := range m.registries {
		snapshot, err := r.Snapshot()
		must(w.t, err)
		m.registries[group] = NewRegistry(group)
		must(w.t, m.registries[group].Restore(snapshot))
	}
	for _, a := range w.agents {
		for _, watch := range slices.Clone(a.watches) {
			if watch.machine == m {
				w.end(a, watch)
			}
		}
	}
	m.tracker = NewTracker(m.tracker.machine, w.now)
	m.tracker.keepsReports = w.fault == withoutAnew
}

// push lets a machine send what its agents don't have yet.
func (w *world) push(m *simulatedMachine) {
	for _, a := range w.agents {
		for _, watch := range a.watches {
			if watch.machine == m {
				w.pushTo(a, watch)
			}
		}
	}
}

func (w *world) pushTo(a *simulatedAgent, watch *simulatedWatch) {
	var updates []Update
	for _, scope := range a.place.Scopes() {
		more := watch.machine.registries[scope.Group()].Updates(scope, watch.sent[scope])
		if len(more) > 0 {
			watch.sent[scope] = more[len(more)-1].Position
		}
		updates = append(updates, more...)
	}
	for i, u := range updates {
		u.More = i < len(updates)-1
		line, err := jsonLine(u)
		must(w.t, err)
		watch.lines = append(watch.lines, line)
		switch {
		case u.Parts > 1:
			w.counts["parts"]++
		case u.From > 0:
			w.counts["patches"]++
		default:
			w.counts["whole"]++
		}
	}
}

// damage does to a line what a perfect connection wouldn't.
func (w *world) damage(a *simulatedAgent) {
	if len(a.watches) == 0 {
		return
	}
	watch := a.watches[w.rng.IntN(len(a.watches))]
	if len(watch.lines) == 0 {
		return
	}
	at := w.rng.IntN(len(watch.lines))
	switch w.rng.IntN(4) {
	case 0:
		watch.lines = slices.Delete(watch.lines, at, at+1)
	case 1:
		watch.lines = append(watch.lines, watch.lines[at])
	case 2:
		last := len(watch.lines) - 1
		watch.lines[at], watch.lines[last] = watch.lines[last], watch.lines[at]
	case 3: // a digit is another one
		line := []byte(strings.Replace(string(watch.lines[at]), `"aim_ms":1`, `"aim_ms":2`, 1))
		if json.Valid(line) {
			watch.lines[at] = line
		}
	}
	w.counts["damaged"]++
}

func (w *world) deliver(a *simulatedAgent) {
	if len(a.watches) == 0 || a.early != nil { // the core is busy applying
		return
	}
	watch := a.watches[w.rng.IntN(len(a.watches))]
	if len(watch.lines) == 0 {
		return
	}
	var u Update
	must(w.t, json.Unmarshal(watch.lines[0], &u))
	watch.lines = watch.lines[1:]
	result := a.follower.Take(u)
	w.counts[fmt.Sprint("result ", result.Kind)]++
	if result.Kind == ResultAskWhole {
		w.end(a, watch)
	}
	a.due = true
	w.settle(a)
}

// restart ends an agent's process and begins another, from an older disk now and then, or from none.
func (w *world) restart(a *simulatedAgent) {
	var kept []byte
	if n := len(a.disk); n > 0 && w.rng.IntN(3) > 0 {
		kept = a.disk[n-1-w.rng.IntN(min(n, 3))]
	}
	w.start(a, kept)
	w.counts["restarts"]++
}

// report sends an agent's report, which may be lost.
func (w *world) report(a *simulatedAgent) {
	if !a.due || len(a.watches) == 0 {
		return
	}
	report := a.follower.Report()
	line, err := json.Marshal(report)
	must(w.t, err)
	var arrived Report
	must(w.t, json.Unmarshal(line, &arrived))
	if !maps.Equal(arrived.InForce, a.positions) || arrived.Digest != Digest(a.document.Canonical()) {
		w.wrong("%s reports %v, in force is %v", a.place.Agent, arrived.InForce, a.positions)
	}
	must(w.t, a.watches[w.rng.IntN(len(a.watches))].machine.tracker.Reported(arrived, w.now))
	a.due = false
	w.counts["reports"]++
}

// status is right where it says that a revision is in force everywhere: each agent has had it since its process began.
func (w *world) status() {
	scope := simulatedScopes[w.rng.IntN(len(simulatedScopes))]
	latest, ok := w.leaders[scope.Group()].Revision(scope)
	if !ok {
		return
	}
	at := latest.Position
	at.Revision -= uint64(w.rng.IntN(int(min(3, at.Revision))))
	status := InForce(scope, at, w.allStatuses(), nil)
	if !status.Everywhere {
		return
	}
	w.counts["everywhere"]++
	for _, a := range w.agents {
		if known := slices.ContainsFunc(w.allStatuses(), func(statuses []AgentStatus) bool {
			return slices.ContainsFunc(statuses, func(s AgentStatus) bool { return s.Agent == a.place.Agent })
		}); known && scope.Holds(a.place) && a.highest[scope] < at.Revision {
			w.wrong("%v at %d is told to be in force everywhere, %s has had %d", scope, at.Revision, a.place.Agent, a.highest[scope])
		}
	}
}

func (w *world) allStatuses() (all [][]AgentStatus) {
	for _, m := range w.machines {
		all = append(all, m.tracker.Local(w.now))
	}
	return all
}

// quiet lets everything arrive.
func (w *world) quiet() {
	for _, m := range w.machines {
		w.replicate(m, 1<<30)
		w.replicate(m, 1<<30)
	}
	for _, a := range w.agents {
		for len(a.watches) > 0 {
			w.end(a, a.watches[0])
		}
		for round := 0; len(a.watches) == 0; round++ {
			if round > 3 {
				w.wrong("%s asks for the whole again and again", a.place.Agent)
				return
			}
			w.begin(a, w.machines[w.rng.IntN(len(w.machines))])
			w.pushTo(a, a.watches[0])
			for len(a.watches) > 0 && len(a.watches[0].lines) > 0 {
				if a.early != nil {
					w.apply(a, a.early)
					a.early = nil
				}
				w.deliver(a)
			}
		}
		w.settle(a)
		w.now += time.Millisecond
		a.due = true
		w.report(a)
	}
}

// wantEffective checks what an agent has in force against a computation of its own: canonical texts laid over one
// another as merge patches, those that make no sense left out.
func (w *world) wantEffective(a *simulatedAgent) {
	merged := []byte(`{"format":1}`)
	var refused []Scope
	add := func(text string) bool {
		next, err := ApplyPatch(merged, []byte(text))
		must(w.t, err)
		d, err := ParseDocument(next)
		if err != nil || a.check(d) != nil {
			return false
		}
		merged = next
		return true
	}
	for _, scope := range a.place.Scopes() {
		latest, ok := w.leaders[scope.Group()].Revision(scope)
		if !ok || add(string(latest.Document)) {
			continue
		}
		refused = append(refused, scope)
		if has := a.positions[scope].Revision; has > 0 && !add(w.history[scope][has]) {
			w.wrong("%s has revision %d of %v in force, which makes no sense there", a.place.Agent, has, scope)
		}
	}
	if got := Digest(a.document.Canonical()); got != Digest(merged) {
		w.wrong("%s has %s in force, want %s", a.place.Agent, a.document.Canonical(), merged)
	}
	var told []Scope
	for _, refusal := range a.follower.Report().Refused {
		told = append(told, refusal.Scope)
	}
	if !slices.Equal(told, refused) {
		w.wrong("%s refuses %v, want %v", a.place.Agent, told, refused)
	}
	w.counts["refusals"] += len(refused)
}

// wantEverywhere checks that the status says so, unless somebody refuses.
func (w *world) wantEverywhere() {
	for _, scope := range simulatedScopes {
		latest, ok := w.leaders[scope.Group()].Revision(scope)
		if !ok {
			continue
		}
		status := InForce(scope, latest.Position, w.allStatuses(), nil)
		refusing := 0
		for _, a := range w.agents {
			if _, refuses := refusalOf(scope, AgentStatus{Report: a.follower.Report()}); refuses && scope.Holds(a.place) {
				refusing++
			}
		}
		if status.Everywhere != (refusing == 0) || len(status.Behind) != refusing {
			w.wrong("%v: %d refuse, status %+v", scope, refusing, status)
		}
	}
}

// play is one timetable: changes and faults, quiet, then sensible documents everywhere, and quiet again.
func (w *world) play() {
	for range timetableSteps {
		if w.step(); w.found != "" {
			return
		}
	}
	w.quiet()
	for _, a := range w.agents {
		w.wantEffective(a)
	}
	w.wantEverywhere()
	for _, scope := range simulatedScopes {
		latest, _ := w.leaders[scope.Group()].Revision(scope)
		w.propose(change("last "+scope.String(), scope, latest.Revision, mustParse(w.t, `{"format":1,"limits":{"attempts":2}}`)))
	}
	w.quiet()
	for _, a := range w.agents {
		if w.wantEffective(a); len(a.follower.Report().Refused) > 0 || string(a.document.Canonical()) != `{"format":1,"limits":{"attempts":2}}` {
			w.wrong("%s: at the end %s is in force, %+v refused", a.place.Agent, a.document.Canonical(), a.follower.Report().Refused)
		}
	}
	w.wantEverywhere()
}

func TestTimetables(t *testing.T) {
	counts := map[string]int{}
	for seed := range *timetables {
		if *timetable >= 0 {
			seed = *timetable
		}
		w := newWorld(t, uint64(seed), noFault)
		if w.play(); w.found != "" {
			t.Fatalf("timetable %d: %s\n\tgo test ./internal/configuration -run 'TestTimetables$' -timetables 1 -timetable %d", seed, w.found, seed)
		}
		for what, n := range w.counts {
			counts[what] += n
		}
		if *timetable >= 0 {
			return
		}
	}
	t.Logf("%d timetables: %v", *timetables, counts)
	for _, what := range []string{"changes", "refused", "watches", "in force", "whole", "patches", "parts", "damaged", "restarts", "reports",
		"everywhere", "refusals", "result 0", "result 1", "result 2", "result 4"} {
		if counts[what] < *timetables {
			t.Errorf("%d times %s don't reach what the timetables are for", counts[what], what)
		}
	}
}

// Each guard taken away is found within the first timetables.
func TestTimetablesFindEachFault(t *testing.T) {
	const most = 20
	for _, f := range []fault{withoutCheck, withoutOrder, withoutDigest, withoutFrom, reportsEarly, withoutAnew} {
		found := false
		for seed := uint64(0); seed < most && !found; seed++ {
			w := newWorld(t, seed, f)
			if w.play(); w.found != "" {
				t.Logf("without %s: timetable %d: %s", f, seed, w.found)
				found = true
			}
		}
		if !found {
			t.Errorf("without %s nothing is found in %d timetables", f, most)
		}
	}
}
