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
	timetables = flag.Int("timetables", 20, "number of random timetables to simulate")
	timetable  = flag.Int("timetable", -1, "seed of the only timetable to simulate; -1: all")
)

// missingGuard names a check or rule of the program that a simulation leaves out, to show that the timetables
// detect its absence.
type missingGuard string

const (
	allGuards          missingGuard = ""                   // nothing is disabled
	withoutCheck       missingGuard = "check"              // the agent applies effective documents unchecked
	withoutOrder       missingGuard = "order"              // the agent accepts revisions older than the one received
	withoutDigest      missingGuard = "digest"             // the agent doesn't compare digests
	withoutFrom        missingGuard = "digest and from"    // the agent compares neither digests, which would detect a wrong base too, nor the revision to which a patch applies
	withEarlyReports   missingGuard = "apply, then report" // the agent reports a document before its load balancer works with it
	withoutReportReset missingGuard = "report anew"        // a new watch doesn't invalidate the agent's earlier reports
)

// timetableSteps is the number of random steps of a timetable, after which everything is delivered and the
// final state is checked.
const timetableSteps = 1500

// simulation is a simulation in virtual time of two groups of control machines with replicated logs, and of
// agents that watch them. A timetable is the sequence of random steps of one seed.
type simulation struct {
	t             *testing.T
	rng           *rand.Rand
	disabledGuard missingGuard
	failure       string // the first violation found
	now           time.Duration
	epoch         uint64                      // raft term of the leaders of all groups
	logs          map[string][]logEntry       // committed commands, by group
	leaders       map[string]*Registry        // by group; each has applied the whole log of its group
	history       map[Scope]map[uint64]string // documents by scope and revision number
	machines      []*simulatedMachine
	agents        []*simulatedAgent
	allowRefusals bool                // changes include documents that some agents refuse
	proposed      []Change            // proposed changes, which may be sent again
	answers       map[string]Accepted // first answer to each change, by its ID
	counts        map[string]int      // how often each kind of event has happened, such as "restarts"
}

// logEntry is a committed command of a group's log.
type logEntry struct {
	epoch   uint64 // raft term in which the entry was written
	command []byte // encoded Change
}

// simulatedMachine is a control machine, which may lag behind the logs.
type simulatedMachine struct {
	registries map[string]*Registry // by group
	applied    map[string]int       // number of log entries applied, by group
	tracker    *Tracker
}

// simulatedAgent is an agent with its current process.
type simulatedAgent struct {
	place       Place
	settings    balance.Settings // of the agent's start file
	names       wire.Names       // of the start file's classes and tenants
	follower    *Follower
	watches     []*simulatedWatch // open watches, at most two
	reportDue   bool              // a report has to be sent, since what is in force or the watch has changed
	savedStates [][]byte          // all that the agent's processes have saved on disk, the latest last

	document      *Document          // that the load balancer works with
	positions     map[Scope]Position // revisions that document was merged from
	maxApplied    map[Scope]uint64   // highest revision of each scope that this process has had in force
	reportedEarly *Effective         // with withEarlyReports: the document that was reported and is still being applied
}

// simulatedWatch is an open watch.
type simulatedWatch struct {
	machine *simulatedMachine
	sent    map[Scope]Position // the agent's positions after all lines sent so far
	lines   [][]byte           // sent, but not delivered yet
}

// simulatedScopes are the scopes that the random changes write.
var simulatedScopes = []Scope{
	Fleet, eastScope, zoneScope, {Level: LevelZone, Region: "east", Name: "e2"}, serviceScope,
	{Level: LevelService, Name: "search"}, agentScope, {Level: LevelAgent, Region: "east", Name: "a2"},
}

// manyClasses has enough classes for a document that is sent in parts.
var manyClasses = func() (names []string) {
	for i := range 60 {
		names = append(names, fmt.Sprintf("class-%03d", i))
	}
	return names
}()

// newSimulation returns a simulation of three machines of two groups and of six agents. Seeds that are odd
// allow refusals.
func newSimulation(t *testing.T, seed uint64, f missingGuard) *simulation {
	w := &simulation{t: t, rng: newRand(seed), disabledGuard: f, epoch: 1, allowRefusals: seed%2 == 1,
		logs: map[string][]logEntry{}, leaders: map[string]*Registry{},
		history: map[Scope]map[uint64]string{}, answers: map[string]Accepted{}, counts: map[string]int{}}
	for _, group := range []string{FleetGroup, RegionGroup("east")} {
		w.leaders[group] = NewRegistry(group)
		w.leaders[group].OnRevision = w.record
	}
	for _, name := range []string{"m1", "m2", "m3"} {
		m := &simulatedMachine{registries: map[string]*Registry{}, applied: map[string]int{}, tracker: NewTracker(name, 0)}
		m.tracker.keepReportsOnConnect = f == withoutReportReset
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
		if w.allowRefusals && i%3 == 2 { // an outdated start file
			a.names.Classes[2] = "write-before" // the class has been renamed since
			a.settings.Tenants, a.names.Tenants = nil, nil
		}
		w.agents = append(w.agents, a)
		w.startAgent(a, nil)
	}
	return w
}

// record stores the document of each revision that a leader makes, and fails if a revision gets a second
// document.
func (w *simulation) record(r Revision) {
	if w.history[r.Scope] == nil {
		w.history[r.Scope] = map[uint64]string{}
	}
	if _, twice := w.history[r.Scope][r.Revision]; twice {
		w.fail("%v has two documents with revision %d", r.Scope, r.Revision)
	}
	w.history[r.Scope][r.Revision] = string(r.Document)
}

// fail records a violation; only the first one is kept.
func (w *simulation) fail(format string, values ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, values...)
	}
}

// check checks a document against the agent's own settings.
func (a *simulatedAgent) check(d *Document) error {
	_, err := d.Apply(a.settings, a.names)
	return err
}

// startAgent ends an agent's watches and begins a new process, which restores the saved state kept unless it
// is nil.
func (w *simulation) startAgent(a *simulatedAgent, kept []byte) {
	for len(a.watches) > 0 {
		w.endWatch(a, a.watches[0])
	}
	check := a.check
	if w.disabledGuard == withoutCheck {
		check = func(*Document) error { return nil }
	}
	a.follower = NewFollower(a.place, check)
	a.follower.skip = skippedChecks{order: w.disabledGuard == withoutOrder, from: w.disabledGuard == withoutFrom,
		digest: w.disabledGuard == withoutFrom || w.disabledGuard == withoutDigest}
	a.document, a.positions, a.maxApplied = Merge(nil, nil), map[Scope]Position{}, map[Scope]uint64{}
	a.reportDue, a.reportedEarly = false, nil
	if kept != nil {
		if err := a.follower.RestoreState(kept); err != nil {
			w.fail("restore: %v", err)
		}
		w.applyPending(a)
	}
}

func (w *simulation) beginWatch(a *simulatedAgent, m *simulatedMachine) {
	must(w.t, m.tracker.Connected(a.place, w.now))
	a.follower.Connected()
	w.applyPending(a)
	a.watches = append(a.watches, &simulatedWatch{machine: m, sent: a.follower.Positions()})
	a.reportDue = true
	w.counts["watches"]++
}

func (w *simulation) endWatch(a *simulatedAgent, watch *simulatedWatch) {
	watch.machine.tracker.Disconnected(a.place, w.now)
	a.watches = slices.DeleteFunc(a.watches, func(other *simulatedWatch) bool { return other == watch })
}

// applyPending applies the pending documents one after another and makes a report due. With withEarlyReports
// it takes only the first one, which is due to be reported at once and applied by a later step.
func (w *simulation) applyPending(a *simulatedAgent) {
	for effective, ok := a.follower.Pending(); ok; effective, ok = a.follower.Pending() {
		a.follower.Applied(effective)
		a.reportDue = true
		w.counts["in force"]++
		if w.disabledGuard == withEarlyReports {
			a.reportedEarly = effective
			return
		}
		w.apply(a, effective)
	}
}

// apply makes an effective document the one that the agent's load balancer works with, and saves it. It fails
// if the document is invalid for the agent, differs from what was written, or goes back to an earlier
// revision.
func (w *simulation) apply(a *simulatedAgent, effective *Effective) {
	if err := a.check(effective.Document); err != nil {
		w.fail("%s applies an invalid document: %v", a.place.Agent, err)
	}
	for scope, d := range effective.sources {
		if want := w.history[scope][d.Revision]; string(d.text) != want {
			w.fail("%s has a wrong document for %v, revision %d: %s, want %s", a.place.Agent, scope, d.Revision, d.text, want)
		}
		if d.Revision < a.maxApplied[scope] {
			w.fail("%s goes back in scope %v from revision %d to %d", a.place.Agent, scope, a.maxApplied[scope], d.Revision)
		}
		a.maxApplied[scope] = max(a.maxApplied[scope], d.Revision)
	}
	a.document, a.positions = effective.Document, effective.Positions
	kept, err := a.follower.MarshalState()
	must(w.t, err)
	a.savedStates = append(a.savedStates, kept)
}

// step runs one random event and then checks a status.
func (w *simulation) step() {
	w.now += time.Duration(1+w.rng.IntN(1000)) * time.Microsecond
	a, m := w.agents[w.rng.IntN(len(w.agents))], w.machines[w.rng.IntN(len(w.machines))]
	switch n := w.rng.IntN(100); {
	case n < 6:
		w.change()
	case n < 7:
		w.resendChange()
	case n < 8:
		w.epoch++
	case n < 9:
		w.restartMachine(m)
	case n < 25:
		w.replicate(m, 1+w.rng.IntN(3))
	case n < 40:
		w.push(m)
	case n < 44:
		w.damageLine(a)
	case n < 48 && len(a.watches) < 2: // a second watch beside the first, as when returning to a preferred machine
		w.beginWatch(a, m)
	case n < 50 && len(a.watches) > 0:
		w.endWatch(a, a.watches[w.rng.IntN(len(a.watches))])
	case n < 51:
		w.restart(a)
	case n < 60:
		w.report(a)
	case n < 62 && a.reportedEarly != nil:
		w.apply(a, a.reportedEarly)
		a.reportedEarly = nil
		w.applyPending(a)
	default:
		w.deliver(a)
	}
	w.checkStatus()
}

// change proposes a change of a random scope at the leader of its group. One in ten is based on a revision
// that isn't the latest.
func (w *simulation) change() {
	scope := simulatedScopes[w.rng.IntN(len(simulatedScopes))]
	latest, _ := w.leaders[scope.Group()].Latest(scope)
	document := w.randomDocument()
	if w.rng.IntN(2) == 0 && latest.Revision > 0 { // change only some of the fields
		earlier, err := ParseDocument(latest.Document)
		must(w.t, err)
		document = Merge(earlier, document)
	}
	c := newChange(fmt.Sprint("c", len(w.proposed)), scope, latest.Revision, document)
	if w.rng.IntN(10) == 0 {
		c.Base-- // a conflict, as of two concurrent changes
	}
	w.propose(c)
}

// randomDocument returns a document that all agents can apply. With allowRefusals one in three may be a
// document that some agents can't apply.
func (w *simulation) randomDocument() *Document {
	if w.allowRefusals && w.rng.IntN(3) == 0 {
		d := randomDocument(w.rng)
		d.Classes["point-read"] = ClassDocument{DeadlineMs: pointer(float64(20 + w.rng.IntN(400)))}
		return d
	}
	d := randomDocument(w.rng)
	if w.allowRefusals {
		delete(d.Classes, "write")
		d.Tenants = nil
	}
	if w.rng.IntN(4) == 0 { // long enough to be sent in parts
		for _, name := range manyClasses {
			d.Classes[name] = ClassDocument{Worth: pointer(w.rng.Float64())}
		}
	}
	return d
}

// propose proposes a change for the first time.
func (w *simulation) propose(c Change) {
	w.proposed = append(w.proposed, c)
	w.write(c)
}

// write proposes a change at the leader of its group. If it passes Check, it is appended to the log and
// applied by the leader.
func (w *simulation) write(c Change) {
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
		w.fail("Check accepted %+v, Apply returned %v", c, err)
		return
	}
	if first, known := w.answers[c.ID]; known && first != accepted {
		w.fail("repeated change %s got %+v, first %+v", c.ID, accepted, first)
	}
	w.answers[c.ID] = accepted
	w.counts["changes"]++
}

// resendChange proposes one of the last 20 changes again, as a client does after an unknown outcome.
func (w *simulation) resendChange() {
	if n := len(w.proposed); n > 0 {
		w.write(w.proposed[n-1-w.rng.IntN(min(n, 20))])
	}
}

// replicate lets a machine apply the next log entries of its groups, at most the given number in total.
func (w *simulation) replicate(m *simulatedMachine, entries int) {
	for group, log := range w.logs {
		for ; entries > 0 && m.applied[group] < len(log); entries-- {
			entry := log[m.applied[group]]
			m.registries[group].Apply(entry.epoch, entry.command)
			m.applied[group]++
		}
	}
}

// restartMachine restarts a machine: it loses its tracker and watches, and restores the groups' state from
// snapshots.
func (w *simulation) restartMachine(m *simulatedMachine) {
	for group, r := range m.registries {
		snapshot, err := r.Snapshot()
		must(w.t, err)
		m.registries[group] = NewRegistry(group)
		must(w.t, m.registries[group].Restore(snapshot))
	}
	for _, a := range w.agents {
		for _, watch := range slices.Clone(a.watches) {
			if watch.machine == m {
				w.endWatch(a, watch)
			}
		}
	}
	m.tracker = NewTracker(m.tracker.machine, w.now)
	m.tracker.keepReportsOnConnect = w.disabledGuard == withoutReportReset
}

// push lets a machine send the updates that the agents which watch it don't have yet.
func (w *simulation) push(m *simulatedMachine) {
	for _, a := range w.agents {
		for _, watch := range a.watches {
			if watch.machine == m {
				w.pushTo(a, watch)
			}
		}
	}
}

// pushTo sends the updates that one watch lacks, as one set.
func (w *simulation) pushTo(a *simulatedAgent, watch *simulatedWatch) {
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

// damageLine drops, repeats, reorders or alters a line that is not yet delivered to the agent, as a faulty
// connection might.
func (w *simulation) damageLine(a *simulatedAgent) {
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
	case 3: // alter a digit
		line := []byte(strings.Replace(string(watch.lines[at]), `"aim_ms":1`, `"aim_ms":2`, 1))
		if json.Valid(line) {
			watch.lines[at] = line
		}
	}
	w.counts["damaged"]++
}

// deliver passes the next line of one of the agent's watches to its follower and applies what is pending.
func (w *simulation) deliver(a *simulatedAgent) {
	if len(a.watches) == 0 || a.reportedEarly != nil { // an early-reported document is still being applied
		return
	}
	watch := a.watches[w.rng.IntN(len(a.watches))]
	if len(watch.lines) == 0 {
		return
	}
	var u Update
	must(w.t, json.Unmarshal(watch.lines[0], &u))
	watch.lines = watch.lines[1:]
	result := a.follower.Receive(u)
	w.counts[fmt.Sprint("result ", result.Kind)]++
	if result.Kind == ResultNeedsWhole {
		w.endWatch(a, watch)
	}
	a.reportDue = true
	w.applyPending(a)
}

// restart replaces an agent's process by a new one, which restores one of the last three saved states or none
// of them.
func (w *simulation) restart(a *simulatedAgent) {
	var kept []byte
	if n := len(a.savedStates); n > 0 && w.rng.IntN(3) > 0 {
		kept = a.savedStates[n-1-w.rng.IntN(min(n, 3))]
	}
	w.startAgent(a, kept)
	w.counts["restarts"]++
}

// report sends the agent's report, if one is due, to the machine of a random watch. It fails if the report
// differs from what the load balancer works with.
func (w *simulation) report(a *simulatedAgent) {
	if !a.reportDue || len(a.watches) == 0 {
		return
	}
	report := a.follower.Report()
	line, err := json.Marshal(report)
	must(w.t, err)
	var arrived Report
	must(w.t, json.Unmarshal(line, &arrived))
	if !maps.Equal(arrived.InForce, a.positions) || arrived.Digest != Digest(a.document.Canonical()) {
		w.fail("%s reports %v, but %v is in force", a.place.Agent, arrived.InForce, a.positions)
	}
	must(w.t, a.watches[w.rng.IntN(len(a.watches))].machine.tracker.Reported(arrived, w.now))
	a.reportDue = false
	w.counts["reports"]++
}

// checkStatus computes the status of one of the last revisions of a random scope. It fails if the status says
// that the revision is in force everywhere although the process of an agent that some machine knows hasn't
// had it.
func (w *simulation) checkStatus() {
	scope := simulatedScopes[w.rng.IntN(len(simulatedScopes))]
	latest, ok := w.leaders[scope.Group()].Latest(scope)
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
		}); known && scope.AppliesTo(a.place) && a.maxApplied[scope] < at.Revision {
			w.fail("status says that %v revision %d is in force everywhere, but %s had at most %d", scope, at.Revision, a.place.Agent, a.maxApplied[scope])
		}
	}
}

// allStatuses returns the agents' statuses that each machine has.
func (w *simulation) allStatuses() (all [][]AgentStatus) {
	for _, m := range w.machines {
		all = append(all, m.tracker.Statuses(w.now))
	}
	return all
}

// deliverAll lets all machines apply their whole logs, gives each agent a new watch that delivers all updates
// without faults, and delivers the agents' reports.
func (w *simulation) deliverAll() {
	for _, m := range w.machines {
		w.replicate(m, 1<<30)
		w.replicate(m, 1<<30)
	}
	for _, a := range w.agents {
		for len(a.watches) > 0 {
			w.endWatch(a, a.watches[0])
		}
		for round := 0; len(a.watches) == 0; round++ {
			if round > 3 {
				w.fail("%s still requests whole documents after 3 watches", a.place.Agent)
				return
			}
			w.beginWatch(a, w.machines[w.rng.IntN(len(w.machines))])
			w.pushTo(a, a.watches[0])
			for len(a.watches) > 0 && len(a.watches[0].lines) > 0 {
				if a.reportedEarly != nil {
					w.apply(a, a.reportedEarly)
					a.reportedEarly = nil
				}
				w.deliver(a)
			}
		}
		w.applyPending(a)
		w.now += time.Millisecond
		a.reportDue = true
		w.report(a)
	}
}

// wantEffective fails unless an agent has in force and refuses what an independent computation gives: the
// canonical texts of the latest documents, merged as RFC 7396 patches. A document that is invalid for the
// agent is refused, and the revision in force takes its place.
func (w *simulation) wantEffective(a *simulatedAgent) {
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
		latest, ok := w.leaders[scope.Group()].Latest(scope)
		if !ok || add(string(latest.Document)) {
			continue
		}
		refused = append(refused, scope)
		if applied := a.positions[scope].Revision; applied > 0 && !add(w.history[scope][applied]) {
			w.fail("%s has revision %d of %v in force, which is invalid there", a.place.Agent, applied, scope)
		}
	}
	if got := Digest(a.document.Canonical()); got != Digest(merged) {
		w.fail("%s has %s in force, want %s", a.place.Agent, a.document.Canonical(), merged)
	}
	var reported []Scope
	for _, refusal := range a.follower.Report().Refused {
		reported = append(reported, refusal.Scope)
	}
	if !slices.Equal(reported, refused) {
		w.fail("%s refuses %v, want %v", a.place.Agent, reported, refused)
	}
	w.counts["refusals"] += len(refused)
}

// wantEverywhere fails unless the status of each scope's latest revision is in force everywhere, or an agent
// refuses the revision.
func (w *simulation) wantEverywhere() {
	for _, scope := range simulatedScopes {
		latest, ok := w.leaders[scope.Group()].Latest(scope)
		if !ok {
			continue
		}
		status := InForce(scope, latest.Position, w.allStatuses(), nil)
		refusing := 0
		for _, a := range w.agents {
			if _, refuses := refusalFor(scope, AgentStatus{Report: a.follower.Report()}); refuses && scope.AppliesTo(a.place) {
				refusing++
			}
		}
		if status.Everywhere != (refusing == 0) || len(status.Behind) != refusing {
			w.fail("%v: %d agents refuse, status %+v", scope, refusing, status)
		}
	}
}

// run runs one timetable: random steps, then everything is delivered and checked; after that a document that
// no agent refuses for each scope, and everything is delivered and checked once more.
func (w *simulation) run() {
	for range timetableSteps {
		if w.step(); w.failure != "" {
			return
		}
	}
	w.deliverAll()
	for _, a := range w.agents {
		w.wantEffective(a)
	}
	w.wantEverywhere()
	for _, scope := range simulatedScopes {
		latest, _ := w.leaders[scope.Group()].Latest(scope)
		w.propose(newChange("last "+scope.String(), scope, latest.Revision, mustParse(w.t, `{"format":1,"limits":{"attempts":2}}`)))
	}
	w.deliverAll()
	for _, a := range w.agents {
		if w.wantEffective(a); len(a.follower.Report().Refused) > 0 || string(a.document.Canonical()) != `{"format":1,"limits":{"attempts":2}}` {
			w.fail("%s: at the end %s is in force, %+v refused", a.place.Agent, a.document.Canonical(), a.follower.Report().Refused)
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
		w := newSimulation(t, uint64(seed), allGuards)
		if w.run(); w.failure != "" {
			t.Fatalf("timetable %d: %s\n\tgo test ./internal/configuration -run 'TestTimetables$' -timetables 1 -timetable %d", seed, w.failure, seed)
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
			t.Errorf("%d times %s, want at least one per timetable", counts[what], what)
		}
	}
}

// If one of the guards is missing, one of the first maxSeeds timetables detects that.
func TestTimetablesFindEachFault(t *testing.T) {
	const maxSeeds = 20
	for _, f := range []missingGuard{withoutCheck, withoutOrder, withoutDigest, withoutFrom, withEarlyReports, withoutReportReset} {
		found := false
		for seed := uint64(0); seed < maxSeeds && !found; seed++ {
			w := newSimulation(t, seed, f)
			if w.run(); w.failure != "" {
				t.Logf("without %s: timetable %d: %s", f, seed, w.failure)
				found = true
			}
		}
		if !found {
			t.Errorf("without %s: no failure in %d timetables", f, maxSeeds)
		}
	}
}
