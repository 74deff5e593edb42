// Package core executes the decisions of the decision module (package balance). It owns the module, the open
// calls and the timers on one goroutine (Run) and is independent of any protocol. A front parses requests
// into calls and writes their answers; a Backend makes the attempts, each on its own goroutine, and posts their
// results. Only the loop decides the outcome of an attempt and the answer to a call, so that each has exactly one.
//
// Bounds: the inbox holds inboxSize events, and posting blocks while it is full. The fronts' admission limits
// the number of calls and timers. The ids of the last maxRecentIDs finished calls that may have
// run are kept, of those that may run again and of others apart.
package core

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/metrics"
	"lemonrail/internal/pool"
)

// Decider makes the decisions for the loop; in production it is a *balance.Balancer.
type Decider interface {
	Step(now time.Duration, events []balance.Event) []balance.Action
}

// clock converts between wall-clock times and the decision module's time, the duration since the Unix epoch. With
// this zero, start times in lists convert, and 0 lies far in the past. The clock advances with the monotonic
// clock alone, so that steps of the system clock have no effect.
type clock struct{ start time.Time }

// now returns the current time as the decision module measures it.
func (c clock) now() time.Duration { return c.at(time.Now()) }

// at converts a wall-clock time to the decision module's time.
func (c clock) at(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

// time converts a time of the decision module back to a wall-clock time; it is the inverse of at.
func (c clock) time(d time.Duration) time.Time {
	return c.start.Add(d - time.Duration(c.start.UnixNano()))
}

// Target is a backend and its address. Both identify a connection, since an address may pass from one backend
// to another: a connection kept for one must not be used for the other.
type Target struct{ ID, Addr string }

// Response is the result of an attempt.
type Response struct {
	Result               balance.Result
	Load                 balance.Load // the backend's load report; not Valid if there was none
	OtherConnectionsOpen bool         // with Reset and ConnectFailed: other connections to the backend are still open
	PortClosed           bool         // with ConnectFailed: the backend's machine answered that nothing listens on the port
	Payload              any          // with OK: the answer, for the front
	SentAt               time.Time    // when the last byte was written, if writing took long; zero: right after the Send
}

// ErrEnded is returned for operations that need the loop after it has ended.
var ErrEnded = errors.New("the loop has ended")

// Backend makes attempts. An attempt is written at most once, only while its Permit allows it, and is never
// resent by the Backend itself.
type Backend interface {
	Exchange(ctx context.Context, p *Permit, to Target, request any) Response // makes one attempt; blocks until it ends
	Probe(to Target) Response                                                 // probes a backend outside of any request
	CloseIdleExcept(wanted func(Target) bool)                                 // closes the idle connections to all targets for which wanted is false
}

// ListSource is the source of the list of backends. Its methods carry out the actions of the same names
// (balance.Subscribe, Unsubscribe and FetchList).
type ListSource interface {
	Subscribe()
	Unsubscribe()
	Fetch()
}

// Peers sends data to the agent with number to, or to all other agents (balance.EveryPeer). Send never blocks.
type Peers interface{ Send(to int, data []byte) }

// AnswerKind is the kind of an Answer.
type AnswerKind uint8

const (
	Served    AnswerKind = iota // answered by a backend; Payload is its answer
	Refused                     // nothing was executed, so that a retry is safe
	Failed                      // the request may or may not have been executed
	Duplicate                   // another call with this id is open or has just ended
	Abandoned                   // the client has left
)

// Answer is a call's final answer.
type Answer struct {
	Kind       AnswerKind
	RetryAfter time.Duration // with Refused; 0: no advice
	NeverRan   bool          // with Abandoned: no backend has executed or will execute the request
	Payload    any           // with Served: the backend's answer, as the Backend returned it
}

// Call is a client's open request. The loop owns the fields below Reply.
type Call struct {
	Event           balance.Request  // TimeLeft and Waited are filled in by the loop
	Request         any              // the request as the Backend takes it
	Arrived         time.Time        // when its last byte arrived, which may have waited to be read; zero: just now
	Deadline        time.Time        // when the client stops waiting; of a body that still arrives, the earliest such time
	MovingDeadline  func() time.Time // returns Deadline as it is now, which moves on while the body arrives; must not block; nil: Deadline is final
	UploadAllowance time.Duration    // how far Deadline may move on
	Reply           chan Answer      // buffered, with room for the one final answer
	ClaimKey        string           // identifies the request over the agent's processes; empty: it may run more than once
	HasClientLeft   func() bool      // reports whether the client has left, called from any goroutine; nil: only Loop.Left reports it

	attempts []*attempt // in the order of their Sends
	timer    *timer     // of the answer deadline
	pending  int        // number of attempts that have not ended
	answered bool       // has its final answer, or the client left and needs none
	logged   bool       // its failure has been logged, or left out

	claimed    bool // Loop.Claims has recorded it
	claimToken uint64
}

// currentDeadline returns when the client stops waiting, as far as is known now.
func (c *Call) currentDeadline() time.Time {
	if c.MovingDeadline == nil {
		return c.Deadline
	}
	moved, latest := c.MovingDeadline(), c.latestDeadline()
	if moved.After(latest) {
		return latest
	}
	return moved
}

// latestDeadline returns the time after which the client certainly no longer waits.
func (c *Call) latestDeadline() time.Time { return c.Deadline.Add(c.UploadAllowance) }

// attempt is the execution of one balance.Send.
type attempt struct {
	backend    string             // ID
	addr       string             // address of the backend when the Send was executed
	sent       time.Time          // when the Send was executed
	cancel     context.CancelFunc // ends the context of Backend.Exchange
	permit     *Permit            // says whether the attempt may still be written
	ended      bool               // the Backend has returned its Response
	result     balance.Result     // set when ended
	mayHaveRun bool               // set when ended: the backend may have executed the request
}

// Observer observes the events of the loop. Its methods run on the loop's goroutine and must not block.
type Observer interface {
	Arrived(class int, repeat bool)                          // a client's request; repeat: the client marked it as a repeat
	Listed(list balance.List)                                // as passed to the decision module
	Ended(backend string, r Response, latency time.Duration) // an attempt; latency: since it was sent
}

// load returns the load report of the response, or balance.NoLoad if there was none.
func (r Response) load() balance.Load {
	if r.Load.Valid {
		return r.Load
	}
	return balance.NoLoad()
}

// Loop owns the decision module, the open calls and the timers. Every event reaches it as a function on its inbox;
// only the loop decides the outcome of an attempt and the answer to a call.
type Loop struct {
	bal   Decider
	clock clock
	log   *slog.Logger
	inbox chan func()   // functions that Run calls on the loop's goroutine
	Done  chan struct{} // closed when Run has returned

	Backend  Backend
	Lists    ListSource
	Peers    Peers             // nil where agents don't exchange messages
	Claims   RequestClaims     // nil: the agent has only this process
	Observer Observer          // nil: no observer
	Metrics  *metrics.Metrics  // receives the numbers of listed and ejected backends; nil: none
	settings *balance.Settings // those that apply now; replaced by Reconfigure, never modified

	events           []balance.Event   // events for the next step
	calls            map[string]*Call  // by request id: open calls, and answered ones with pending attempts
	recent           *recentIDs        // ids of the calls that ended last and must not run again, so that their repeats are rejected
	recentRepeatable *recentIDs        // the same of calls that may run again; their ids have their answers
	addrs            map[string]string // addresses of the listed backends, by ID
	pool             *pool.Pool
	timers           timers
	metricsUpdatedAt time.Time // when the metrics of the list were last updated
	afterStep        []func()  // called once the decision module has processed all queued events
	stopDeadline     time.Time // end of a planned stop, when every call must have its answer; zero: none
	failureLogs      failureLogs
}

const inboxSize = 4096 // events that may queue while a step runs; posting blocks when it is full

// New returns a loop. The caller sets Backend, Lists and Peers before Run.
func New(bal Decider, s *balance.Settings, log *slog.Logger) *Loop {
	return &Loop{bal: bal, settings: s, clock: clock{time.Now()}, log: log,
		inbox: make(chan func(), inboxSize), Done: make(chan struct{}),
		calls: map[string]*Call{}, recent: newRecentIDs(), recentRepeatable: newRecentIDs(), addrs: map[string]string{}, pool: pool.New()}
}

// Post queues f to run on the loop's goroutine. It may block, so the loop itself must not call it.
func (l *Loop) Post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.Done:
	}
}

// Run processes events until ctx ends. A panic of the decision module is returned as an error, after all open
// calls have been answered as failed.
func (l *Loop) Run(ctx context.Context) (err error) {
	defer close(l.Done)
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic in the decision loop: %v\n%s", p, debug.Stack())
		}
		for _, c := range l.calls {
			l.answer(c, Answer{Kind: Failed})
		}
	}()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case f := <-l.inbox:
			f()
		case <-alarm.C:
		case <-ctx.Done():
			return nil
		}
		for queued := len(l.inbox); queued > 0; queued-- {
			(<-l.inbox)()
		}
		l.fireTimers(time.Now())
		for len(l.events) > 0 { // executing an action may add an event at once
			events := l.events
			l.events = nil
			for _, a := range l.bal.Step(l.clock.now(), events) {
				l.execute(a)
			}
		}
		for _, f := range l.afterStep {
			f()
		}
		l.afterStep = l.afterStep[:0]
		l.UpdateMetrics(metricsInterval)
		if len(l.timers) > 0 {
			alarm.Reset(time.Until(l.timers[0].at))
		}
	}
}

// Event adds an event to the next step. Like Reconfigure, Arrived, Left, ApplyList and SetStopDeadline, it must be
// called on the loop's goroutine; other goroutines Post a function that calls it.
func (l *Loop) Event(e balance.Event) { l.events = append(l.events, e) }

// Reconfigure replaces the settings between two steps, for the decision module and the loop alike. They apply to
// calls that arrive afterwards. They must have passed balance.Settings.CheckChange and must not be modified any
// more.
func (l *Loop) Reconfigure(s *balance.Settings) {
	l.settings = s
	l.Event(balance.Reconfigure{Settings: *s})
}

// Arrived accepts a client's request, or answers it as a Duplicate if its id is in use or was recently.
func (l *Loop) Arrived(c *Call) {
	if l.calls[c.Event.ID] != nil || l.isRecent(c.Event.ID) {
		// Rejects an id that is or was recently in use: the decision module would take the second request for the
		// first and not answer it, and a backend would receive a request that already has its answer.
		c.Reply <- Answer{Kind: Duplicate}
		return
	}
	l.calls[c.Event.ID] = c
	if l.Observer != nil {
		l.Observer.Arrived(c.Event.Class, c.Event.Repeat)
	}
	now := time.Now()
	if !c.currentDeadline().After(now) { // it has waited for longer than its client does
		l.answer(c, Answer{Kind: Refused})
		return
	}
	e := c.Event
	e.TimeLeft = c.Deadline.Sub(now)
	if !c.Arrived.IsZero() {
		e.Waited = now.Sub(c.Arrived)
	}
	l.Event(e)
	// Guarantees an answer: if the decision module still owes one when half of the grace (AnswerGrace) is over,
	// the call fails here and the module gets Abandoned.
	c.timer = &timer{call: c, index: -1}
	l.timers.set(c.timer, l.answerDeadline(c))
}

// answerDeadline returns the time at which the loop fails a call that has no answer from the decision module yet.
func (l *Loop) answerDeadline(c *Call) time.Time {
	at := c.currentDeadline().Add(l.settings.AnswerGrace / 2)
	if !l.stopDeadline.IsZero() && l.stopDeadline.Before(at) {
		return l.stopDeadline
	}
	return at
}

// SetStopDeadline announces that the process ends: every open or new call is answered by the given time. Without
// this, requests are lost when the platform kills the process.
func (l *Loop) SetStopDeadline(by time.Time) {
	l.stopDeadline = by
	for _, c := range l.calls {
		if !c.answered {
			l.timers.set(c.timer, l.answerDeadline(c))
		}
	}
}

// Discarder is a payload that holds resources until its owner releases them.
type Discarder interface{ Discard() }

// discard releases a payload that is not delivered to a client.
func discard(payload any) {
	if d, ok := payload.(Discarder); ok {
		d.Discard()
	}
}

// Left records that a call's client has left.
func (l *Loop) Left(c *Call) {
	select {
	case a := <-c.Reply: // the answer was sent while the client left
		discard(a.Payload)
	default:
	}
	if l.calls[c.Event.ID] == c && !c.answered {
		l.settle(c)
		l.Event(balance.Abandoned{Request: c.Event.ID})
		l.forget(c)
	}
}

// abandon ends a call whose client was found to have left before the front noticed.
func (l *Loop) abandon(c *Call) {
	if !c.answered {
		l.Event(balance.Abandoned{Request: c.Event.ID})
		l.answer(c, Answer{Kind: Abandoned, NeverRan: c.dropAttempts()})
	}
}

// answer sends a call its final answer, unless it already has one.
func (l *Loop) answer(c *Call, a Answer) {
	if c.answered {
		discard(a.Payload)
		return
	}
	switch a.Kind {
	case Failed:
		l.logFailure(c, slog.LevelInfo, "request failed")
	case Duplicate:
		l.logFailure(c, slog.LevelInfo, "request may have run at another process of this agent")
	}
	l.settle(c)
	c.Reply <- a
	l.forget(c)
}

// settle ends everything that was done for the answer to a call, and releases its request: a call whose attempts are still
// out must not hold the body until they end, nor any call until its deadline.
func (l *Loop) settle(c *Call) {
	c.answered = true
	c.dropAttempts()
	l.timers.remove(c.timer)
	c.timer, c.Request = nil, nil
}

// dropAttempts revokes the permits of a call's attempts because nobody waits for an answer any more. It
// reports whether no attempt was or will be executed by a backend.
func (c *Call) dropAttempts() (unsent bool) {
	unsent = true
	for _, a := range c.attempts {
		if a.ended {
			unsent = unsent && !a.mayHaveRun
		} else if !a.permit.Abort() {
			unsent = false
		}
	}
	return unsent
}

// withdrawAttempts withdraws attempts that have not been written if their backend no longer accepts requests
// or has another address. The decision module then chooses among the other backends again.
func (l *Loop) withdrawAttempts() {
	for _, c := range l.calls {
		for _, a := range c.attempts {
			if !a.ended && (!l.pool.AcceptsRequests(a.backend) || l.addrs[a.backend] != a.addr) {
				a.permit.Withdraw()
			}
		}
	}
}

// forget drops a call that is answered and has no pending attempts, and remembers its id in recent.
func (l *Loop) forget(c *Call) {
	if c.answered && c.pending == 0 && l.calls[c.Event.ID] == c {
		delete(l.calls, c.Event.ID)
		l.remember(c)
	}
}

// attemptEnded records the result of a call's attempt n and passes it to the decision module. The first attempt with
// the result OK answers the call.
func (l *Loop) attemptEnded(c *Call, n int, backend string, r Response) {
	a := c.attempts[n]
	a.cancel()
	a.ended, a.result, a.mayHaveRun = true, r.Result, !r.Result.NeverRan()
	c.pending--
	switch {
	case r.Result == balance.OK:
		l.answer(c, Answer{Kind: Served, Payload: r.Payload})
	case r.Result == balance.DroppedUnsent && a.permit.ClientLeft():
		l.abandon(c)
	}
	sent := a.sent
	if r.SentAt.After(sent) {
		sent = r.SentAt
	}
	if l.Observer != nil {
		l.Observer.Ended(backend, r, time.Since(sent))
	}
	l.Event(balance.Outcome{Request: c.Event.ID, Attempt: n, Backend: backend, Result: r.Result,
		Latency: time.Since(sent), Done: c.answered, Load: r.load(), OtherConnectionsOpen: r.OtherConnectionsOpen})
	l.forget(c)
}

// ApplyList processes a list from discovery, or the failure to get one. addrs holds the addresses of the list's
// backends, by ID.
func (l *Loop) ApplyList(list balance.List, addrs map[string]string) {
	if list.Kind == balance.ListFull || list.Kind == balance.ListCached {
		clear(l.addrs)
	}
	for _, b := range list.Backends {
		if b.State == balance.Gone {
			delete(l.addrs, b.ID)
		} else {
			l.addrs[b.ID] = addrs[b.ID]
		}
	}
	// Connections to backends that are gone would hold sockets without any use.
	l.Backend.CloseIdleExcept(func(to Target) bool { return l.addrs[to.ID] == to.Addr })
	l.publishList(l.pool.ApplyList(list))
}

// SetLeaving records that a backend announced that it accepts no new requests, or that it is back. The decision
// module sees it as draining at once, although the list may still show it as up for seconds.
func (l *Loop) SetLeaving(id string, leaving bool) {
	l.applyChange(l.pool.SetLeaving(id, leaving))
}

// applyChange passes changed backends to the decision module; a nil change does nothing.
func (l *Loop) applyChange(c pool.Change) {
	if c != nil {
		l.publishList(balance.List{Kind: balance.ListDelta, Backends: c})
	}
}

// publishList passes a list to the decision module and the observer, and withdraws the attempts that it rules out.
func (l *Loop) publishList(list balance.List) {
	l.withdrawAttempts()
	l.Event(list)
	if l.Observer != nil {
		l.Observer.Listed(list)
	}
}

// EachPendingAttempt calls f for each attempt that has not ended, with the time of its Send.
func (l *Loop) EachPendingAttempt(f func(backend string, sent time.Time)) {
	for _, c := range l.calls {
		for _, a := range c.attempts {
			if !a.ended {
				f(a.backend, a.sent)
			}
		}
	}
}

// Now returns the current time as the decision module measures it.
func (l *Loop) Now() time.Duration { return l.clock.now() }

// At converts t to the decision module's time.
func (l *Loop) At(t time.Time) time.Duration { return l.clock.at(t) }

// ExcludeZone excludes a whole zone manually, or includes it again. The zone's backends drain, also those
// that are listed later. Backends that are included again count as started now.
func (l *Loop) ExcludeZone(zone int, exclude bool) {
	l.applyChange(l.pool.ExcludeZone(zone, exclude, l.clock.now()))
}

// ExcludedZones lists the zones that are manually excluded.
func (l *Loop) ExcludedZones() []int { return l.pool.ExcludedZones() }

// MarkZoneRestarted makes a zone's backends count as started now, whatever the list says, because the whole zone was
// away.
func (l *Loop) MarkZoneRestarted(zone int) {
	l.applyChange(l.pool.MarkZoneRestarted(zone, l.clock.now()))
}

// Exclude excludes a backend manually: the decision module sees it as draining until Include.
func (l *Loop) Exclude(id string) error {
	c, err := l.pool.Exclude(id)
	l.applyChange(c)
	return err
}

// Include ends the manual exclusion of a backend, which then counts as started now.
func (l *Loop) Include(id string) error {
	c, err := l.pool.Include(id, l.clock.now())
	l.applyChange(c)
	return err
}

// Known reports whether the backend with this ID is listed or manually excluded.
func (l *Loop) Known(id string) bool { return l.pool.Known(id) }

// ReplaceExcluded replaces the sets of manually excluded backends and zones. includedAt holds the times at which other
// backends were included again (Unix time, nanoseconds).
func (l *Loop) ReplaceExcluded(excluded []string, includedAt map[string]int64, zones []int) {
	at := map[string]time.Duration{}
	for id, t := range includedAt {
		at[id] = time.Duration(t)
	}
	l.applyChange(l.pool.ReplaceExcluded(excluded, at))
	l.applyChange(l.pool.ReplaceExcludedZones(zones, l.clock.now()))
}

// AfterStep has f called once the decision module has processed all queued events and its actions have been executed. f
// must not block.
func (l *Loop) AfterStep(f func()) { l.afterStep = append(l.afterStep, f) }

// metricsInterval is the maximum age of the metrics that the loop updates.
const metricsInterval = 100 * time.Millisecond

// UpdateMetrics updates the metrics of the list, the listed and the ejected backends, if they are older than maxAge.
func (l *Loop) UpdateMetrics(maxAge time.Duration) {
	now := time.Now()
	if l.Metrics == nil || now.Sub(l.metricsUpdatedAt) < maxAge {
		return
	}
	l.metricsUpdatedAt = now
	ejected := len(l.pool.ListedExcluded())
	if b, ok := l.bal.(interface{ Ejected(time.Duration) []string }); ok {
		for _, id := range b.Ejected(l.clock.at(now)) {
			if !l.pool.IsExcluded(id) {
				ejected++
			}
		}
	}
	l.Metrics.PoolSize.Store(int64(l.pool.Size()))
	l.Metrics.PoolEjected.Store(int64(ejected))
}

// fireTimers turns the timers that have expired into events.
func (l *Loop) fireTimers(now time.Time) {
	for t := l.timers.next(now); t != nil; t = l.timers.next(now) {
		if t.call == nil {
			l.Event(balance.TimerFired{Token: t.token})
		} else {
			l.checkAnswerDeadline(t.call, now)
		}
	}
}

// checkAnswerDeadline answers an open call whose answer deadline has passed, or sets its timer again if the deadline has
// moved on.
func (l *Loop) checkAnswerDeadline(c *Call, now time.Time) {
	if at := l.answerDeadline(c); at.After(now) {
		l.timers.set(c.timer, at)
		return
	}
	id, kind := c.Event.ID, Failed
	if l.stopDeadline.IsZero() {
		l.logFailure(c, slog.LevelError, "no final answer in time")
	} else if c.dropAttempts() {
		kind = Refused // nothing was sent, so that a retry is safe
	}
	l.answer(c, Answer{Kind: kind})
	l.Event(balance.Abandoned{Request: id})
}

// execute executes one action of the decision module.
func (l *Loop) execute(a balance.Action) {
	switch a := a.(type) {
	case balance.Send:
		l.send(a)
	case balance.Refuse:
		if c := l.calls[a.Request]; c != nil {
			l.answer(c, Answer{Kind: Refused, RetryAfter: a.RetryAfter})
		}
	case balance.Fail:
		if c := l.calls[a.Request]; c != nil {
			l.answer(c, Answer{Kind: Failed})
		}
	case balance.Cancel:
		if c := l.calls[a.Request]; c != nil && a.Attempt >= 0 && a.Attempt < len(c.attempts) {
			c.attempts[a.Attempt].cancel()
		}
	case balance.SetTimer:
		l.timers.set(&timer{token: a.Token, index: -1}, time.Now().Add(a.After))
	case balance.Probe:
		l.probe(a.Backend)
	case balance.TellPeer:
		if l.Peers != nil {
			l.Peers.Send(a.To, a.Data)
		}
	case balance.Subscribe:
		l.Lists.Subscribe()
	case balance.Unsubscribe:
		l.Lists.Unsubscribe()
	case balance.FetchList:
		l.Lists.Fetch()
	case balance.CloseIdle:
		l.Backend.CloseIdleExcept(func(to Target) bool { return to.ID != a.Backend })
	case balance.Trace:
		l.log.Info("module", "trace", a.Text)
	default:
		panic(fmt.Sprintf("unknown action %T", a))
	}
}

// send starts an attempt on its own goroutine. The attempt's timeout and the client's deadline limit how long it
// may take.
func (l *Loop) send(s balance.Send) {
	c, addr := l.calls[s.Request], l.addrs[s.Backend]
	if c == nil {
		l.Event(balance.Outcome{Request: s.Request, Backend: s.Backend, Result: balance.NotSent,
			Done: true, Load: balance.NoLoad()})
		return
	}
	now := time.Now()
	until := c.latestDeadline()
	if s.Timeout > 0 && now.Add(s.Timeout).Before(until) {
		until = now.Add(s.Timeout)
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	n := len(c.attempts)
	var writeDeadline time.Time
	if s.WriteBy > 0 {
		writeDeadline = l.clock.time(s.WriteBy)
	}
	permit := NewPermit(writeDeadline).RevokeIf(c.HasClientLeft)
	a := &attempt{backend: s.Backend, addr: addr, sent: now, cancel: cancel, permit: permit}
	c.attempts = append(c.attempts, a)
	c.pending++
	if !c.answered && !l.claim(c) {
		l.answer(c, Answer{Kind: Duplicate})
	}
	if c.answered || addr == "" || !until.After(now) {
		l.attemptEnded(c, n, s.Backend, Response{Result: balance.NotSent})
		return
	}
	go l.exchange(ctx, c, n, a, c.Request)
}

// exchange makes a, which is attempt n of a call, on a goroutine of its own. It gets the request apart from the call, which
// may release it before the attempt ends.
func (l *Loop) exchange(ctx context.Context, c *Call, n int, a *attempt, request any) {
	r := l.Backend.Exchange(ctx, a.permit, Target{a.backend, a.addr}, request)
	l.Post(func() { l.attemptEnded(c, n, a.backend, r) })
}

// probe probes a backend outside of any request, if the settings allow it.
func (l *Loop) probe(backend string) {
	addr, sent := l.addrs[backend], time.Now()
	if addr == "" || !l.settings.MayProbe {
		l.Event(balance.ProbeResult{Backend: backend, Result: balance.NotSent, Load: balance.NoLoad()})
		return
	}
	go func() {
		r := l.Backend.Probe(Target{backend, addr})
		l.Post(func() {
			l.Event(balance.ProbeResult{Backend: backend, Result: r.Result, Latency: time.Since(sent), Load: r.load()})
		})
	}()
}
