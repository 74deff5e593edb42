// Package watch is the agent's side of configuration that changes while the fleet runs. It keeps a watch open
// at one of the control machines, passes the updates to configuration.Follower, has the agent apply them, and
// reports which revisions are in force. The decisions are made in package configuration; this package has the
// connections, the disk and the clock.
//
// A Watcher has one goroutine of its own (Run), one that reads the open watch, and at times a short-lived one
// that opens a watch or sends a report. Lines (MaxLineBytes), the head of a response and every wait for the
// network are limited. One report is sent at a time; each has all that is in force when it is sent.
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

// Config configures a Watcher.
type Config struct {
	Place    configuration.Place
	Machines []configuration.Machine
	// Check returns an error for an effective document that the agent can't apply. It must not block.
	Check func(effective *configuration.Document) error
	// Apply puts an effective document in force and returns once that is done. An error that wraps
	// context.DeadlineExceeded means that nothing was changed, and the document is tried again. After any
	// other error the document is refused.
	Apply func(ctx context.Context, effective *configuration.Document) error
	// Dial opens a connection to a machine; nil: that of a net.Dialer.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Folder string         // where the last good documents are saved; empty: nowhere
	Rand   func() float64 // uniform in [0, 1); nil: that of math/rand
	Log    *slog.Logger   // nil: no log
}

// timeouts are the time limits and intervals of a Watcher.
type timeouts struct {
	silence            time.Duration // without a complete line, after which a watch counts as broken; heartbeats come every 2 s
	open               time.Duration // for a machine to accept a connection and to begin its response
	report             time.Duration // for a report to be answered
	reportRetry        time.Duration // from a failed report to the next one
	reportInterval     time.Duration // from one report to the next if nothing has changed
	tick               time.Duration // between checks whether to try a preferred machine or to apply a document again
	leave              time.Duration // for sending the last report when Leave is called
	apply              time.Duration // for the agent to apply a document
	firstWarning       time.Duration // without contact after which the first warning is logged; the time doubles with each further warning
	maxWarningInterval time.Duration // longest time between two warnings
}

func defaultTimeouts() timeouts {
	return timeouts{silence: 5 * time.Second, open: 2 * time.Second, report: 2 * time.Second, reportRetry: 300 * time.Millisecond,
		reportInterval: time.Minute, tick: time.Second, leave: 400 * time.Millisecond, apply: 2 * time.Second, firstWarning: 15 * time.Second, maxWarningInterval: time.Hour}
}

// Status is the state of a Watcher.
type Status struct {
	Machine     string               // name of the machine that is watched or was watched last; empty: none yet
	Connected   bool                 // a watch is open
	LastContact time.Time            // when the last line of a watch arrived, heartbeats included; zero: never
	Restored    bool                 // the documents in force were restored from the disk: control has sent none since
	AppliedAt   time.Time            // when documents were last put in force; zero: never
	Changes     int                  // number of times that documents were put in force
	Refusals    int                  // number of revisions that the agent has refused
	Report      configuration.Report // what is in force and what is refused
}

// Watcher gets an agent's configuration from the control machines and keeps it up to date.
type Watcher struct {
	cfg       Config
	timeouts  timeouts
	follower  *configuration.Follower
	selector  *configuration.Selector
	log       *slog.Logger
	startedAt time.Time
	restored  bool            // Restore was called
	leaveCtx  context.Context // canceled by Leave
	leave     context.CancelFunc

	mu     sync.Mutex
	status Status

	// The fields below belong to Run's goroutine.
	stream           *stream               // the open watch; nil: none
	lastStream       *stream               // opened last; it may be closed
	redirect         string                // machine (name or address) from a not-here response; empty: none
	reporting        bool                  // a report is being sent
	reportPending    bool                  // the watched machine doesn't know yet what is in force now
	reportResult     chan error            // result of the report that is being sent
	nextReportAt     time.Time             // no report is sent before this time
	reportRetryTimer <-chan time.Time      // fires at nextReportAt after a failed report; otherwise nil
	reportSentAt     time.Time             // when the last report was started
	returnResult     chan openResult       // result of the attempt to return to a preferred machine
	cancelReturn     context.CancelFunc    // cancels that attempt; nil: none is in progress
	retryApply       bool                  // the agent was too busy to apply the pending document
	loggedRefusals   map[refusalKey]string // reasons of the refusals that are in force and were logged
	warnedAge        time.Duration         // time without contact at the last warning; 0: no warning since the last contact
}

// refusalKey identifies a refused revision.
type refusalKey struct {
	scope configuration.Scope
	at    configuration.Position
}

// New returns a Watcher, which Run starts.
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
	w := &Watcher{leaveCtx: leaving, leave: leave, cfg: cfg, timeouts: defaultTimeouts(), log: cfg.Log, startedAt: time.Now(), reportResult: make(chan error, 1), returnResult: make(chan openResult, 1),
		loggedRefusals: map[refusalKey]string{}, follower: configuration.NewFollower(cfg.Place, cfg.Check),
		selector: configuration.NewSelector(cfg.Place, cfg.Machines, cfg.Rand)}
	w.status.Report = w.follower.Report()
	if len(w.selector.Machines()) == 0 {
		return nil, fmt.Errorf("configuration: none of the %d machines holds the settings of region %q", len(cfg.Machines), cfg.Place.Region)
	}
	return w, nil
}

// Status returns the current state. It may be called from any goroutine.
func (w *Watcher) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.status
}

// updateStatus changes the status under its lock.
func (w *Watcher) updateStatus(f func(*Status)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.status)
}

// Restore puts the documents that an earlier process saved in force. A caller that needs this done before
// anything else calls it before Run; otherwise Run does it.
func (w *Watcher) Restore(ctx context.Context) {
	if w.restored {
		return
	}
	w.restored = true
	saved, err := w.readSaved()
	if err == nil && saved != nil {
		err = w.follower.RestoreState(saved)
	}
	if err != nil {
		w.log.Warn("configuration: saved documents not restored: the start file stays in force", "err", err)
		return
	}
	if saved != nil {
		w.apply(ctx, true)
	}
}

// Leave says that the agent stops as planned and no other process takes its place. Run then reports this to a
// control machine, so that a status no longer counts the agent, and returns.
func (w *Watcher) Leave() { w.leave() }

// Run follows the control machines until ctx is done or Leave is called.
func (w *Watcher) Run(ctx context.Context) error {
	w.Restore(ctx)
	running, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(w.leaveCtx, stop)()
	err := w.followMachines(running)
	w.finish()
	if ctx.Err() == nil && err == nil {
		w.sendLeavingReport(ctx)
	}
	return err
}

// sendLeavingReport tells the machine that was watched last that the agent leaves.
func (w *Watcher) sendLeavingReport(ctx context.Context) {
	if w.lastStream == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.timeouts.leave)
	defer cancel()
	report := w.follower.Report()
	report.Leaving = true
	if err := w.sendReport(ctx, w.lastStream.machine, report); err != nil {
		w.log.Info("configuration: leaving report failed", "err", err)
	}
}

// followMachines watches one machine after another until ctx is done.
func (w *Watcher) followMachines(ctx context.Context) error {
	for ctx.Err() == nil {
		machine, wait, ok := w.selector.Next()
		if !ok {
			return errors.New("configuration: no control machine holds the agent's settings")
		}
		if named, found := w.takeRedirect(); found {
			machine = named
		}
		if !sleep(ctx, wait) {
			return nil
		}
		err := w.watchMachine(ctx, machine)
		w.selector.Failed(w.now())
		if ctx.Err() == nil {
			w.log.Debug("configuration: watch ended", "machine", machine.Name, "err", err)
			w.warnDisconnected(err)
		}
	}
	return nil
}

// finish closes the open watch and waits for the report that is being sent.
func (w *Watcher) finish() {
	w.closeStream()
	if w.reporting {
		<-w.reportResult
	}
}

// now returns the time on the clock of the selector, which starts with the Watcher.
func (w *Watcher) now() time.Duration { return time.Since(w.startedAt) }

// sleep waits for the given time. It returns false if ctx is done.
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

// watchMachine opens a watch and follows it, or the watch that replaces it, until it breaks.
func (w *Watcher) watchMachine(ctx context.Context, machine configuration.Machine) error {
	w.follower.Connected()
	s, err := w.open(ctx, machine, w.follower.Positions())
	if err != nil {
		w.saveRedirect(err)
		return err
	}
	w.switchTo(s)
	defer w.closeStream()
	defer w.abortReturn()
	tick := time.NewTicker(w.timeouts.tick)
	defer tick.Stop()
	for {
		w.startReport(ctx)
		select {
		case line := <-w.stream.lines:
			if line.err != nil {
				return line.err
			}
			if err := w.handleLine(ctx, line); err != nil {
				return err
			}
		case err := <-w.reportResult:
			w.finishReport(err)
		case <-w.reportRetryTimer:
			w.reportRetryTimer = nil
		case r := <-w.returnResult:
			w.finishReturn(r)
		case <-tick.C:
			w.startReturn(ctx)
			if w.retryApply {
				w.apply(ctx, w.Status().Restored)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// switchTo replaces the current watch by one that was just opened.
func (w *Watcher) switchTo(s *stream) {
	w.closeStream()
	w.stream, w.lastStream = s, s
	w.reportPending, w.nextReportAt = true, time.Time{} // this machine doesn't know yet what is in force
	w.selector.Connected(w.now())
	w.log.Info("configuration: watch open", "machine", s.machine.Name)
	w.updateStatus(func(st *Status) { st.Machine, st.Connected = s.machine.Name, true })
	w.lineReceived()
}

// closeStream closes the current watch, if there is one.
func (w *Watcher) closeStream() {
	if w.stream == nil {
		return
	}
	w.stream.close()
	w.stream = nil
	w.updateStatus(func(st *Status) { st.Connected = false })
}

// lineReceived records contact with the watched machine, and logs the end of a time without contact that was
// warned of.
func (w *Watcher) lineReceived() {
	now := time.Now()
	var last time.Time
	w.updateStatus(func(st *Status) { last, st.LastContact = st.LastContact, now })
	if w.warnedAge > 0 {
		if last.IsZero() {
			last = w.startedAt
		}
		w.log.Info("configuration: control reachable again", "away", now.Sub(last).Round(time.Millisecond))
		w.warnedAge = 0
	}
}

// warnDisconnected logs a warning that no control machine can be reached, for how long, and the cause, at
// growing intervals.
func (w *Watcher) warnDisconnected(cause error) {
	st := w.Status()
	last := st.LastContact
	if last.IsZero() {
		last = w.startedAt
	}
	age := time.Since(last)
	if age < w.timeouts.firstWarning || w.warnedAge > 0 && age < min(2*w.warnedAge, w.warnedAge+w.timeouts.maxWarningInterval) {
		return
	}
	w.warnedAge = age
	w.log.Warn("configuration: control unreachable: the settings in force stay", "away", age.Round(time.Second), "machine", st.Machine, "err", cause)
}

// handleLine passes an update to the follower and applies the documents that are pending after it.
func (w *Watcher) handleLine(ctx context.Context, line line) error {
	w.lineReceived()
	if line.update == nil {
		return nil
	}
	result := w.follower.Receive(*line.update)
	if result.Kind == configuration.ResultNeedsWhole {
		return fmt.Errorf("update of %s to revision %d: %s: it is asked for whole", line.update.Scope, line.update.Revision, result.Reason)
	}
	w.apply(ctx, false)
	return nil
}

// apply has the agent apply the follower's pending documents. restored says that they come from the disk and
// not from a control machine.
func (w *Watcher) apply(ctx context.Context, restored bool) {
	changed := false
	w.retryApply = false
	for {
		effective, ok := w.follower.Pending()
		if !ok {
			break
		}
		err := w.applyOne(ctx, effective)
		if ctx.Err() != nil && err != nil {
			return // the agent is stopping: nothing was refused
		}
		// Without a retry, an agent that was starved of CPU for a moment would stay at an old revision for good.
		if errors.Is(err, context.DeadlineExceeded) {
			w.log.Warn("configuration: agent too busy to apply documents: retrying", "revisions", positionsText(effective.Positions))
			w.retryApply = true
			break
		}
		changed = true
		if err != nil {
			w.follower.ApplyFailed(effective, err)
			continue
		}
		w.follower.Applied(effective)
		w.updateStatus(func(st *Status) { st.Restored, st.AppliedAt, st.Changes = restored, time.Now(), st.Changes+1 })
		w.log.Info("configuration: in force", "revisions", positionsText(effective.Positions), "digest", effective.Digest, "kept", restored)
		if !restored {
			w.saveDocuments()
		}
	}
	report := w.follower.Report()
	if w.logRefusals(report.Refused) || changed {
		w.reportPending = true
		w.updateStatus(func(st *Status) { st.Report = report })
	}
}

// applyOne has the agent apply one effective document within timeouts.apply.
func (w *Watcher) applyOne(ctx context.Context, effective *configuration.Effective) error {
	ctx, cancel := context.WithTimeout(ctx, w.timeouts.apply)
	defer cancel()
	return w.cfg.Apply(ctx, effective.Document)
}

// logRefusals logs the refusals that are new and reports whether any refusal was added, removed or changed
// since the last call.
func (w *Watcher) logRefusals(refused []configuration.Refusal) bool {
	now := map[refusalKey]string{}
	for _, r := range refused {
		key := refusalKey{r.Scope, r.Position}
		now[key] = r.Reason
		if why, logged := w.loggedRefusals[key]; !logged || why != r.Reason {
			w.updateStatus(func(st *Status) { st.Refusals++ })
			w.log.Warn("configuration: refused: the revision in force stays", "scope", r.Scope.String(), "revision", r.Revision, "epoch", r.Epoch, "why", r.Reason)
		}
	}
	differs := !maps.Equal(now, w.loggedRefusals)
	w.loggedRefusals = now
	return differs
}

// positionsText returns the revisions of all scopes as a text for logs, sorted by scope.
func positionsText(positions map[configuration.Scope]configuration.Position) string {
	var all []string
	for scope, at := range positions {
		all = append(all, formatPosition(scope, at))
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// ---- The preferred machine ----

// startReturn begins to open a watch at a preferred machine, while the current watch continues, when the
// selector says that it is time.
func (w *Watcher) startReturn(ctx context.Context) {
	if w.cancelReturn != nil {
		return
	}
	machine, due := w.selector.ReturnTarget(w.now())
	if !due {
		return
	}
	ctx, w.cancelReturn = context.WithCancel(ctx)
	have := w.follower.Positions()
	go func() {
		s, err := w.open(ctx, machine, have)
		w.returnResult <- openResult{s, err}
	}()
}

// finishReturn ends an attempt to return: if the watch at the preferred machine was opened, it replaces the
// current one.
func (w *Watcher) finishReturn(r openResult) {
	w.cancelReturn()
	w.cancelReturn = nil
	w.selector.ReturnFinished(w.now(), r.err == nil)
	if r.err != nil {
		return
	}
	w.follower.Connected()
	w.switchTo(r.stream)
}

// abortReturn cancels an attempt to return, because the watch that continued meanwhile has ended.
func (w *Watcher) abortReturn() {
	if w.cancelReturn == nil {
		return
	}
	w.cancelReturn()
	w.cancelReturn = nil
	if r := <-w.returnResult; r.stream != nil {
		r.stream.close()
	}
	w.selector.ReturnFinished(w.now(), false)
}

// saveRedirect stores one of the machines that a not-here response names. It picks one at random, so that the
// agents which a full machine turns away don't all go to the same one.
func (w *Watcher) saveRedirect(err error) {
	var refusal *configuration.ErrorBody
	if !errors.As(err, &refusal) || refusal.Kind != configuration.ErrorNotHere || len(refusal.Machines) == 0 {
		return
	}
	w.redirect = refusal.Machines[int(w.cfg.Rand()*float64(len(refusal.Machines)))]
}

// takeRedirect returns the machine that saveRedirect stored, if Config.Machines has it, and clears it, so
// that it is tried only once.
func (w *Watcher) takeRedirect() (configuration.Machine, bool) {
	named := w.redirect
	w.redirect = ""
	i := slices.IndexFunc(w.cfg.Machines, func(m configuration.Machine) bool { return named != "" && (m.Name == named || m.Address == named) })
	if i < 0 {
		return configuration.Machine{}, false
	}
	return w.cfg.Machines[i], true
}

// ---- Reports ----

// startReport begins to send what is in force, if the watched machine doesn't know it or the last report was
// sent at least reportInterval ago.
func (w *Watcher) startReport(ctx context.Context) {
	now := time.Now()
	due := w.reportPending || now.Sub(w.reportSentAt) >= w.timeouts.reportInterval
	if w.reporting || !due || now.Before(w.nextReportAt) {
		return
	}
	report := w.follower.Report()
	w.reportPending, w.reporting, w.reportSentAt = false, true, now
	machine := w.stream.machine
	go func() { w.reportResult <- w.sendReport(ctx, machine, report) }()
}

// finishReport records the end of a report. After a failure the report is due again in reportRetry.
func (w *Watcher) finishReport(err error) {
	w.reporting = false
	if err != nil {
		w.log.Debug("configuration: report failed", "err", err)
		w.reportPending, w.nextReportAt = true, time.Now().Add(w.timeouts.reportRetry)
		w.reportRetryTimer = time.After(w.timeouts.reportRetry)
	}
}
