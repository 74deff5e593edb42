// Package watch is the agent's side of configuration that changes while the fleet runs: it keeps a watch open at one of
// the control machines, hands what comes to configuration.Follower, has the agent apply it and reports what is in force.
// What is decided stands in package configuration; here are the connections, the disk and the clock.
//
// A Watcher has one goroutine of its own (Run), one that reads the open watch, and for a short time one that opens a
// watch or sends a report. Bounded are a line (LineMost), the head of an answer, every wait for the network, and reports:
// one at a time, which says all that is in force then.
package watch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"lemonrail/internal/configuration"
)

// Config is what a Watcher is told.
type Config struct {
	Place    configuration.Place
	Machines []configuration.Machine
	// Check refuses an effective document that the agent can't apply. It must not wait.
	Check func(effective *configuration.Document) error
	// Apply puts an effective document in force and returns once it is, or why it isn't. After a context.DeadlineExceeded
	// nothing was changed, and it is tried again; by any other error the document is refused.
	Apply func(ctx context.Context, effective *configuration.Document) error
	// Dial opens a connection to a machine; nil: a net.Dialer's.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Folder string         // where the last good documents are kept; empty: nowhere
	Rand   func() float64 // evenly spread in [0, 1); nil: math/rand's
	Log    *slog.Logger   // nil: none
}

// times are the waits of a Watcher.
type times struct {
	silence     time.Duration // a watch without a whole line for so long is broken: a heartbeat comes every 2 s
	open        time.Duration // for a machine to accept a connection and to begin its answer
	report      time.Duration // for a report to be answered
	reportAgain time.Duration // after one that failed
	reportEvery time.Duration // a report is sent again though nothing has changed
	tick        time.Duration // between two looks at what is due
	leave       time.Duration // for the last report of an agent that stops
	apply       time.Duration // for the agent to put a document in force
	warnFirst   time.Duration // without a word from control until the log says so; doubles each time
	warnMost    time.Duration
}

func defaultTimes() times {
	return times{silence: 5 * time.Second, open: 2 * time.Second, report: 2 * time.Second, reportAgain: 300 * time.Millisecond,
		reportEvery: time.Minute, tick: time.Second, leave: 400 * time.Millisecond, apply: 2 * time.Second, warnFirst: 15 * time.Second, warnMost: time.Hour}
}

// Status is how a Watcher stands.
type Status struct {
	Machine   string    // that it watches, or watched last; empty: none yet
	Connected bool      // a watch is open
	LastWord  time.Time // when a line last came from control, a heartbeat included; zero: never
	Kept      bool      // the documents in force are those that were kept on the disk: control has sent none since
	Changed   time.Time // when documents were last put in force; zero: never
	Changes   int       // how often they were
	Refusals  int       // revisions that the agent refused, over all
	Report    configuration.Report
}

// Watcher follows the control machines.
type Watcher struct {
	cfg      Config
	times    times
	follower *configuration.Follower
	selector *configuration.Selector
	log      *slog.Logger
	began    time.Time
	restored bool
	leaving  context.Context // ends with Leave
	leave    context.CancelFunc

	mu     sync.Mutex
	status Status

	// Of Run's goroutine alone.
	stream    *stream              // that is open
	last      *stream              // that was opened last
	hint      string               // machine that another one named; empty: none
	reporting bool                 // a report is on its way
	dirty     bool                 // what is in force has changed since the last report was begun
	reported  chan error           // how the report that is on its way ended
	reportAt  time.Time            // no report before it
	reportDue <-chan time.Time     // at reportAt, after a report that failed; nil: none has
	sentAt    time.Time            // when the last report was begun
	opened    chan openResult      // of the preferred machine, beside the open watch
	giveUp    context.CancelFunc   // ends such an attempt; nil: none is on its way
	again     bool                 // the agent was too busy to apply what is pending
	refused   map[refusedAt]string // refusals that the log has told
	lastWarn  time.Duration        // age of control's last word at the last warning; 0: none
}

// refusedAt is what a refusal is of.
type refusedAt struct {
	scope configuration.Scope
	at    configuration.Position
}

// New returns a Watcher. Run starts it.
func New(cfg Config) (*Watcher, error) {
	if err := cfg.Place.Check(); err != nil {
		return nil, err
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Dial == nil {
		cfg.Dial = new(net.Dialer).DialContext
	}
	leaving, leave := context.WithCancel(context.Background())
	w := &Watcher{leaving: leaving, leave: leave, cfg: cfg, times: defaultTimes(), log: cfg.Log, began: time.Now(), reported: make(chan error, 1), opened: make(chan openResult, 1),
		refused: map[refusedAt]string{}, follower: configuration.NewFollower(cfg.Place, cfg.Check),
		selector: configuration.NewSelector(cfg.Place, cfg.Machines, cfg.Rand)}
	w.status.Report = w.follower.Report()
	if len(w.selector.Machines()) == 0 {
		return nil, fmt.Errorf("configuration: none of the %d machines holds the settings of region %q", len(cfg.Machines), cfg.Place.Region)
	}
	return w, nil
}

// Status may be called from any goroutine.
func (w *Watcher) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.status
}

func (w *Watcher) update(f func(*Status)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.status)
}

// Restore puts in force what was kept on the disk by an earlier process. It is called before Run, by a caller that wants
// this done before anything else; else Run does it.
func (w *Watcher) Restore(ctx context.Context) {
	if w.restored {
		return
	}
	w.restored = true
	kept, err := w.readKept()
	if err == nil && kept != nil {
		err = w.follower.RestoreKept(kept)
	}
	if err != nil {
		w.log.Warn("configuration: kept documents not taken: the start file holds", "err", err)
		return
	}
	if kept != nil {
		w.apply(ctx, true)
	}
}

// Leave says that the agent stops as planned and isn't replaced: Run tells control so, which then doesn't wait for this
// agent any more, and returns.
func (w *Watcher) Leave() { w.leave() }

// Run follows the control machines until ctx ends, or Leave.
func (w *Watcher) Run(ctx context.Context) error {
	w.Restore(ctx)
	running, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(w.leaving, stop)()
	err := w.followMachines(running)
	w.finish()
	if ctx.Err() == nil && err == nil {
		w.sayGoodbye(ctx)
	}
	return err
}

// sayGoodbye tells the machine that was watched last that the agent has nothing in force any more.
func (w *Watcher) sayGoodbye(ctx context.Context) {
	if w.last == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.times.leave)
	defer cancel()
	report := w.follower.Report()
	report.Leaving = true
	if err := w.post(ctx, w.last.machine, report); err != nil {
		w.log.Info("configuration: control isn't told that the agent stops", "err", err)
	}
}

// followMachines watches one machine after the other until ctx ends.
func (w *Watcher) followMachines(ctx context.Context) error {
	for ctx.Err() == nil {
		machine, wait, ok := w.selector.Next()
		if !ok {
			return errors.New("configuration: no control machine holds the agent's settings")
		}
		if named, found := w.takeHint(); found {
			machine = named
		}
		if !sleep(ctx, wait) {
			return nil
		}
		err := w.watchMachine(ctx, machine)
		w.selector.Failed(w.now())
		if ctx.Err() == nil {
			w.log.Debug("configuration: watch ended", "machine", machine.Name, "err", err)
			w.warnAway(err)
		}
	}
	return nil
}

// finish ends what is still open and waits for it.
func (w *Watcher) finish() {
	w.closeStream()
	if w.reporting {
		<-w.reported
	}
}

func (w *Watcher) now() time.Duration { return time.Since(w.began) }

// sleep waits; false: ctx has ended.
func sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// watchMachine opens a watch and follows it, and what takes its place, until it is broken.
func (w *Watcher) watchMachine(ctx context.Context, machine configuration.Machine) error {
	w.follower.Connected()
	s, err := w.open(ctx, machine, w.follower.Have())
	if err != nil {
		w.keepHint(err)
		return err
	}
	w.use(s)
	defer w.closeStream()
	defer w.endReturn()
	tick := time.NewTicker(w.times.tick)
	defer tick.Stop()
	for {
		w.startReport(ctx)
		select {
		case line := <-w.stream.lines:
			if line.err != nil {
				return line.err
			}
			if err := w.take(ctx, line); err != nil {
				return err
			}
		case err := <-w.reported:
			w.reportEnded(err)
		case <-w.reportDue:
			w.reportDue = nil
		case r := <-w.opened:
			w.returned(r)
		case <-tick.C:
			w.startReturn(ctx)
			if w.again {
				w.apply(ctx, w.Status().Kept)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// use makes a stream the one that is followed.
func (w *Watcher) use(s *stream) {
	w.closeStream()
	w.stream, w.last = s, s
	w.dirty, w.reportAt = true, time.Time{} // this machine doesn't know yet what is in force
	w.selector.Connected(w.now())
	w.log.Info("configuration: watch open", "machine", s.machine.Name)
	w.update(func(st *Status) { st.Machine, st.Connected = s.machine.Name, true })
	w.spoke()
}

func (w *Watcher) closeStream() {
	if w.stream == nil {
		return
	}
	w.stream.close()
	w.stream = nil
	w.update(func(st *Status) { st.Connected = false })
}

// spoke notes that control has said something.
func (w *Watcher) spoke() {
	now := time.Now()
	var last time.Time
	w.update(func(st *Status) { last, st.LastWord = st.LastWord, now })
	if w.lastWarn > 0 {
		if last.IsZero() {
			last = w.began
		}
		w.log.Info("configuration: control is back", "away", now.Sub(last).Round(time.Millisecond))
		w.lastWarn = 0
	}
}

// warnAway says how long control has been away, ever more rarely.
func (w *Watcher) warnAway(cause error) {
	st := w.Status()
	last := st.LastWord
	if last.IsZero() {
		last = w.began
	}
	age := time.Since(last)
	if age < w.times.warnFirst || w.lastWarn > 0 && age < min(2*w.lastWarn, w.lastWarn+w.times.warnMost) {
		return
	}
	w.lastWarn = age
	w.log.Warn("configuration: control is away: the settings in force hold", "away", age.Round(time.Second), "machine", st.Machine, "err", cause)
}

// take hands a line to the follower, and puts in force what it makes of it.
func (w *Watcher) take(ctx context.Context, line line) error {
	w.spoke()
	if line.update == nil {
		return nil
	}
	result := w.follower.Take(*line.update)
	if result.Kind == configuration.ResultAskWhole {
		return fmt.Errorf("update of %s to revision %d: %s: it is asked for whole", line.update.Scope, line.update.Revision, result.Why)
	}
	w.apply(ctx, false)
	return nil
}

// apply puts in force what is pending.
func (w *Watcher) apply(ctx context.Context, kept bool) {
	changed := false
	w.again = false
	for {
		effective, ok := w.follower.Pending()
		if !ok {
			break
		}
		err := w.applyOne(ctx, effective)
		if ctx.Err() != nil && err != nil {
			return // the agent ends: nothing was refused
		}
		// Guards against an agent that stays behind for good since it was starved for a moment.
		if errors.Is(err, context.DeadlineExceeded) {
			w.log.Warn("configuration: the agent is too busy: tried again", "revisions", positionsText(effective.Positions))
			w.again = true
			break
		}
		changed = true
		if err != nil {
			w.follower.Failed(effective, err)
			continue
		}
		w.follower.InForce(effective)
		w.update(func(st *Status) { st.Kept, st.Changed, st.Changes = kept, time.Now(), st.Changes+1 })
		w.log.Info("configuration: in force", "revisions", positionsText(effective.Positions), "digest", effective.Digest, "kept", kept)
		if !kept {
			w.keep()
		}
	}
	report := w.follower.Report()
	if w.tellRefusals(report.Refused) || changed {
		w.dirty = true
		w.update(func(st *Status) { st.Report = report })
	}
}

func (w *Watcher) applyOne(ctx context.Context, effective *configuration.Effective) error {
	ctx, cancel := context.WithTimeout(ctx, w.times.apply)
	defer cancel()
	return w.cfg.Apply(ctx, effective.Document)
}

// tellRefusals logs those that are new, and reports whether they differ from before.
func (w *Watcher) tellRefusals(refused []configuration.Refusal) bool {
	now := map[refusedAt]string{}
	for _, r := range refused {
		key := refusedAt{r.Scope, r.Position}
		now[key] = r.Why
		if why, told := w.refused[key]; !told || why != r.Why {
			w.update(func(st *Status) { st.Refusals++ })
			w.log.Warn("configuration: refused: what was in force holds", "scope", r.Scope.String(), "revision", r.Revision, "epoch", r.Epoch, "why", r.Why)
		}
	}
	differs := !maps.Equal(now, w.refused)
	w.refused = now
	return differs
}

// positionsText lists revisions in the order of their scopes.
func positionsText(positions map[configuration.Scope]configuration.Position) string {
	var all []string
	for scope, at := range positions {
		all = append(all, have(scope, at))
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// ---- The preferred machine ----

// startReturn tries the preferred machine where it is time to, beside the open watch.
func (w *Watcher) startReturn(ctx context.Context) {
	if w.giveUp != nil {
		return
	}
	machine, due := w.selector.Return(w.now())
	if !due {
		return
	}
	ctx, w.giveUp = context.WithCancel(ctx)
	have := w.follower.Have()
	go func() {
		s, err := w.open(ctx, machine, have)
		w.opened <- openResult{s, err}
	}()
}

// returned goes over to the preferred machine, where it answers.
func (w *Watcher) returned(r openResult) {
	w.giveUp()
	w.giveUp = nil
	w.selector.Returned(w.now(), r.err == nil)
	if r.err != nil {
		return
	}
	w.follower.Connected()
	w.use(r.stream)
}

// endReturn gives up the attempt to return that is on its way: the watch beside which it was made has ended.
func (w *Watcher) endReturn() {
	if w.giveUp == nil {
		return
	}
	w.giveUp()
	w.giveUp = nil
	if r := <-w.opened; r.stream != nil {
		r.stream.close()
	}
	w.selector.Returned(w.now(), false)
}

// keepHint takes note of a machine that one which can't serve the agent has named: any of them, so that not all agents of
// a full machine go to the same.
func (w *Watcher) keepHint(err error) {
	var answer *configuration.ErrorBody
	if !errors.As(err, &answer) || answer.Kind != configuration.ErrorNotHere || len(answer.Machines) == 0 {
		return
	}
	w.hint = answer.Machines[int(w.cfg.Rand()*float64(len(answer.Machines)))]
}

// takeHint returns the machine that was named, if it is known. It is tried once.
func (w *Watcher) takeHint() (configuration.Machine, bool) {
	named := w.hint
	w.hint = ""
	i := slices.IndexFunc(w.cfg.Machines, func(m configuration.Machine) bool { return named != "" && (m.Name == named || m.Address == named) })
	if i < 0 {
		return configuration.Machine{}, false
	}
	return w.cfg.Machines[i], true
}

// ---- Reports ----

// startReport sends what is in force, where that is new to the machine, or was long ago.
func (w *Watcher) startReport(ctx context.Context) {
	now := time.Now()
	due := w.dirty || now.Sub(w.sentAt) >= w.times.reportEvery
	if w.reporting || !due || now.Before(w.reportAt) {
		return
	}
	report := w.follower.Report()
	w.dirty, w.reporting, w.sentAt = false, true, now
	machine := w.stream.machine
	go func() { w.reported <- w.post(ctx, machine, report) }()
}

func (w *Watcher) reportEnded(err error) {
	w.reporting = false
	if err != nil {
		w.log.Debug("configuration: report not taken", "err", err)
		w.dirty, w.reportAt = true, time.Now().Add(w.times.reportAgain)
		w.reportDue = time.After(w.times.reportAgain)
	}
}
