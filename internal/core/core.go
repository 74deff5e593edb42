// Package core carries the decision module's decisions out: it owns the module, the calls in hand and the
// timers, on one goroutine (Run), and knows no protocol. A front turns bytes into calls and answers into
// bytes; a Backend makes the attempts, each on a goroutine of its own, and posts how they ended. Only the
// loop decides which outcome an attempt has and which answer a call gets, so there is one of each.
//
// Bounds: the inbox holds inboxSize events, beyond which those who post wait; calls and timers are bounded
// by what the fronts admit; of calls that have ended the last pastCalls ids are kept.
package core

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/figures"
	"lemonrail/internal/pool"
)

// Decider is what the loop asks for decisions; in service an *balance.Balancer.
type Decider interface {
	Step(now time.Duration, events []balance.Event) []balance.Action
}

// clock counts from the Unix epoch, so that start times in lists convert and 0 stays long
// ago, but moves with the monotonic clock alone: a step of the system's clock changes nothing.
type clock struct{ start time.Time }

func (c clock) now() time.Duration { return c.at(time.Now()) }

func (c clock) at(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

// time is at's inverse.
func (c clock) time(d time.Duration) time.Time {
	return c.start.Add(d - time.Duration(c.start.UnixNano()))
}

// Target is a backend at its address. Guards against an address that passes from one backend to
// another: neither is sent what a connection to the other was kept for.
type Target struct{ ID, Addr string }

// Response is how an attempt ended.
type Response struct {
	Result   balance.Result
	Load     balance.Load // not Valid: none came
	Standing bool         // with Reset and ConnectFailed: other connections to the backend still stand
	Refused  bool         // with ConnectFailed: its machine answered that nobody listens
	Payload  any          // with OK: the answer, for the front
	Sent     time.Time    // when its last byte was written, where that took long; zero: at once
}

// ErrEnded is why nothing more is done once the loop has ended.
var ErrEnded = errors.New("the loop has ended")

// Backend makes attempts. Each is written once: nothing is sent again by itself; and only with its permit.
type Backend interface {
	Exchange(ctx context.Context, p *Permit, to Target, request any) Response
	Probe(to Target) Response
	Keep(wanted func(Target) bool) // closes idle connections to all others
}

// Lists is where the list of backends is asked for.
type Lists interface {
	Subscribe()
	Unsubscribe()
	Fetch()
}

// Peers sends bytes to other agents, or to all (balance.EveryPeer). It never waits.
type Peers interface{ Tell(to int, data []byte) }

// Kind says what an answer is.
type Kind uint8

const (
	Served    Kind = iota // by a backend: Payload is its answer
	Refused               // nothing ran: trying again is harmless
	Failed                // promises nothing
	Duplicate             // its id is or has just been in use
	Abandoned             // its client has left
)

// Answer is a call's final answer.
type Answer struct {
	Kind       Kind
	RetryAfter time.Duration // with Refused; 0: no advice
	Payload    any
}

// Call is a client's request in hand. The loop owns what is below Reply.
type Call struct {
	Event    balance.Request // but for Left
	Request  any             // for the backend
	Deadline time.Time
	Upload   time.Duration // of the time until then, what the rest of its body may take to come
	Reply    chan Answer   // with room for the one final answer
	HungUp   func() bool   // whether the client has left by now, from any goroutine; nil: only Left tells

	attempts []*attempt // in the order of their Send
	open     int        // of these, still out
	answered bool       // has its final answer or owes none
}

// attempt is one Send.
type attempt struct {
	backend string
	addr    string
	sent    time.Time
	cancel  context.CancelFunc
	permit  *Permit
	over    bool
	ran     bool // once it is over: it may have run
}

// Watcher is told what passes through the loop, on its goroutine; it must not wait.
type Watcher interface {
	Arrived(class int, repeat bool)
	Listed(list balance.List) // as the module gets it
	Ended(backend string, r Response, latency time.Duration)
}

// load is the report that came with it, or none in the module's form.
func (r Response) load() balance.Load {
	if r.Load.Valid {
		return r.Load
	}
	return balance.NoLoad()
}

// Loop owns the balancer, the calls in hand and the timers. All that happens comes to it as
// a function on its inbox; it alone decides which outcome an attempt and which answer a call has.
type Loop struct {
	bal   Decider
	clock clock
	log   *slog.Logger
	inbox chan func()
	Dead  chan struct{} // closed when run has ended

	Backend Backend
	Lists   Lists
	Peers   Peers   // nil where agents don't talk
	Watcher Watcher // nil: nobody watches
	Figures *figures.Figures
	s       *balance.Settings // in force; replaced by Reconfigure, never changed

	events  []balance.Event  // for the next step
	calls   map[string]*Call // in hand, or answered with attempts still out
	past    *past
	addrs   map[string]string
	pool    *pool.Pool
	timers  timers
	counted time.Time // when the figures of the list were last brought up to date
	after   []func()  // to be called once the module has been told of all that has come
	stopBy  time.Time // by which all must have been answered; zero: no stop is planned
}

// past holds the ids of the calls that ended last, a bounded number of them.
type past struct {
	ids  map[string]bool
	ring []string
	next int
}

const pastCalls = 4096 // at 1,300 requests a second three seconds of them, longer than any client waits

func newPast() *past { return &past{ids: map[string]bool{}, ring: make([]string, pastCalls)} }

func (p *past) has(id string) bool { return p.ids[id] }

func (p *past) add(id string) {
	delete(p.ids, p.ring[p.next])
	p.ids[id], p.ring[p.next] = true, id
	p.next = (p.next + 1) % len(p.ring)
}

const inboxSize = 4096 // what may queue while one step runs; beyond it senders wait

// New returns a loop whose parts (Backend, Lists, Peers) are still to be set.
func New(bal Decider, s *balance.Settings, log *slog.Logger) *Loop {
	return &Loop{bal: bal, s: s, clock: clock{time.Now()}, log: log,
		inbox: make(chan func(), inboxSize), Dead: make(chan struct{}),
		calls: map[string]*Call{}, past: newPast(), addrs: map[string]string{}, pool: pool.New()}
}

// Post hands f to the loop. It may wait; the loop itself must not call it.
func (l *Loop) Post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.Dead:
	}
}

// Run steps until ctx ends. A panic of the decision module comes back as an error, after
// whatever is in hand has been answered as failed.
func (l *Loop) Run(ctx context.Context) (err error) {
	defer close(l.Dead)
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
		l.due(time.Now())
		for len(l.events) > 0 { // an action may bring an event at once
			events := l.events
			l.events = nil
			for _, a := range l.bal.Step(l.clock.now(), events) {
				l.do(a)
			}
		}
		for _, f := range l.after {
			f()
		}
		l.after = l.after[:0]
		l.Count(countEvery)
		if len(l.timers) > 0 {
			alarm.Reset(time.Until(l.timers[0].at))
		}
	}
}

// Event adds one to the next step. It belongs to the loop's goroutine, as do Reconfigure, Arrived, Left, Listed
// and Stopping: others Post a function that calls them.
func (l *Loop) Event(e balance.Event) { l.events = append(l.events, e) }

// Reconfigure puts settings in force for calls that arrive from now on: between two steps, for the module and the loop
// alike. They must have passed balance.Settings.CanBecome, and aren't to be changed any more.
func (l *Loop) Reconfigure(s *balance.Settings) {
	l.s = s
	l.Event(balance.Reconfigure{Settings: *s})
}

// Arrived takes a client's request in hand.
func (l *Loop) Arrived(c *Call) {
	if l.calls[c.Event.ID] != nil || l.past.has(c.Event.ID) {
		// Guards against an id that is or has just been in use: the module would take the second
		// request for the first and owe it nothing, and a backend would be sent what has had its answer.
		c.Reply <- Answer{Kind: Duplicate}
		return
	}
	l.calls[c.Event.ID] = c
	if l.Watcher != nil {
		l.Watcher.Arrived(c.Event.Class, c.Event.Repeat)
	}
	e := c.Event
	e.Left = time.Until(c.Deadline) - c.Upload
	l.Event(e)
	// Guards against an answer that is owed for ever: should the module still owe one when the
	// grace is half over, the call fails here and the module is told, as on the bench.
	l.timers.add(timer{at: l.latest(c), call: c})
}

// latest is when a call is failed here, should the module still owe it an answer.
func (l *Loop) latest(c *Call) time.Time {
	at := c.Deadline.Add(l.s.AnswerGrace / 2)
	if !l.stopBy.IsZero() && l.stopBy.Before(at) {
		return l.stopBy
	}
	return at
}

// Stopping takes note that the program is to end: what is in hand or comes has its answer by then.
// Guards against requests that are lost when the platform ends the process.
func (l *Loop) Stopping(by time.Time) {
	l.stopBy = by
	for _, c := range l.calls {
		if !c.answered {
			l.timers.add(timer{at: l.latest(c), call: c})
		}
	}
}

// Discarder is a payload that holds something until its owner has done with it.
type Discarder interface{ Discard() }

func discard(payload any) {
	if d, ok := payload.(Discarder); ok {
		d.Discard()
	}
}

// Left takes note that a client has gone.
func (l *Loop) Left(c *Call) {
	select {
	case a := <-c.Reply: // it crossed with the client's leave
		discard(a.Payload)
	default:
	}
	if l.calls[c.Event.ID] == c && !c.answered {
		c.answered = true
		c.drop()
		l.Event(balance.Abandoned{Request: c.Event.ID})
		l.forget(c)
	}
}

// abandon ends a call whose client was found to have left before the front has seen it.
func (l *Loop) abandon(c *Call) {
	if !c.answered {
		l.Event(balance.Abandoned{Request: c.Event.ID})
		l.answer(c, Answer{Kind: Abandoned})
	}
}

// answer gives a call its final answer, once.
func (l *Loop) answer(c *Call, a Answer) {
	if c.answered {
		discard(a.Payload)
		return
	}
	c.answered = true
	c.drop()
	c.Reply <- a
	l.forget(c)
}

// drop takes back what is yet to be written for a call that nobody waits for any more. It reports whether nothing
// of it has run or will.
func (c *Call) drop() (unsent bool) {
	unsent = true
	for _, a := range c.attempts {
		if a.over {
			unsent = unsent && !a.ran
		} else if !a.permit.Drop() {
			unsent = false
		}
	}
	return unsent
}

// recall takes back what is yet to be written to a backend that takes nothing new by now, or is no longer where
// it was: it is chosen again among the others.
func (l *Loop) recall() {
	for _, c := range l.calls {
		for _, a := range c.attempts {
			if !a.over && (!l.pool.Takes(a.backend) || l.addrs[a.backend] != a.addr) {
				a.permit.Withdraw()
			}
		}
	}
}

func (l *Loop) forget(c *Call) {
	if c.answered && c.open == 0 && l.calls[c.Event.ID] == c {
		delete(l.calls, c.Event.ID)
		l.past.add(c.Event.ID)
	}
}

// ended passes on the outcome of an attempt. The first that is served answers the call.
func (l *Loop) ended(c *Call, n int, backend string, r Response) {
	a := c.attempts[n]
	a.cancel()
	a.over, a.ran = true, !r.Result.NeverRan()
	c.open--
	switch {
	case r.Result == balance.OK:
		l.answer(c, Answer{Kind: Served, Payload: r.Payload})
	case r.Result == balance.Withdrawn && a.permit.ClientLeft():
		l.abandon(c)
	}
	sent := a.sent
	if r.Sent.After(sent) {
		sent = r.Sent
	}
	if l.Watcher != nil {
		l.Watcher.Ended(backend, r, time.Since(sent))
	}
	l.Event(balance.Outcome{Request: c.Event.ID, Attempt: n, Backend: backend, Result: r.Result,
		Latency: time.Since(sent), Done: c.answered, Load: r.load(), Standing: r.Standing})
	l.forget(c)
}

// Listed takes a list, or the failure to get one, from discovery.
func (l *Loop) Listed(list balance.List, addrs map[string]string) {
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
	// Guards against connections to backends that are gone: they would hold sockets, and serve nobody.
	l.Backend.Keep(func(to Target) bool { return l.addrs[to.ID] == to.Addr })
	l.list(l.pool.Listed(list))
}

// Leaves takes note that a server said itself that it wants nothing new, or that it is back. The module is
// told as by the list, in which it may stand as up for seconds yet.
func (l *Loop) Leaves(id string, leaves bool) {
	l.changed(l.pool.Leaves(id, leaves))
}

// changed tells the module what is new about a backend.
func (l *Loop) changed(c pool.Change) {
	if c != nil {
		l.list(balance.List{Kind: balance.ListDelta, Backends: c})
	}
}

// list tells the module and who watches of a list.
func (l *Loop) list(list balance.List) {
	l.recall()
	l.Event(list)
	if l.Watcher != nil {
		l.Watcher.Listed(list)
	}
}

// Pending calls f for each attempt that is out, with the time of its Send.
func (l *Loop) Pending(f func(backend string, sent time.Time)) {
	for _, c := range l.calls {
		for _, a := range c.attempts {
			if !a.over {
				f(a.backend, a.sent)
			}
		}
	}
}

// Now is the time as the module knows it.
func (l *Loop) Now() time.Duration { return l.clock.now() }

// At is a time as the module knows it.
func (l *Loop) At(t time.Time) time.Duration { return l.clock.at(t) }

// ExcludeZone takes a whole zone out by hand, or puts it back: its backends drain, those that are yet to be listed
// too. Back, they count as started now.
func (l *Loop) ExcludeZone(zone int, out bool) {
	l.changed(l.pool.ExcludeZone(zone, out, l.clock.now()))
}

// ZonesOut lists the zones that are out by hand.
func (l *Loop) ZonesOut() []int { return l.pool.ZonesOut() }

// Restarted has a zone's backends count as started now, whatever the list says: it has been away as a whole.
func (l *Loop) Restarted(zone int) { l.changed(l.pool.Restarted(zone, l.clock.now())) }

// Exclude takes a backend out by hand: the module is told that it drains, until Include.
func (l *Loop) Exclude(id string) error {
	c, err := l.pool.Exclude(id)
	l.changed(c)
	return err
}

// Include puts a backend back. It counts as started now.
func (l *Loop) Include(id string) error {
	c, err := l.pool.Include(id, l.clock.now())
	l.changed(c)
	return err
}

// Known reports whether a backend is listed or out by hand.
func (l *Loop) Known(id string) bool { return l.pool.Known(id) }

// Adopt takes over which backends are out by hand, and when others were put back (Unix time, nanoseconds).
func (l *Loop) Adopt(out []string, back map[string]int64, zones []int) {
	at := map[string]time.Duration{}
	for id, t := range back {
		at[id] = time.Duration(t)
	}
	l.changed(l.pool.Adopt(out, at))
	l.changed(l.pool.AdoptZones(zones, l.clock.now()))
}

// Then has f called once the module has been told of all that has come, and what it decided has been done. f
// must not wait.
func (l *Loop) Then(f func()) { l.after = append(l.after, f) }

// countEvery is how old the loop's figures may be.
const countEvery = 100 * time.Millisecond

// Count brings the figures of the list up to date, if they are older than that.
func (l *Loop) Count(old time.Duration) {
	now := time.Now()
	if l.Figures == nil || now.Sub(l.counted) < old {
		return
	}
	l.counted = now
	ejected := len(l.pool.ListedOut())
	if b, ok := l.bal.(interface{ Ejected(time.Duration) []string }); ok {
		for _, id := range b.Ejected(l.clock.at(now)) {
			if !l.pool.IsOut(id) {
				ejected++
			}
		}
	}
	l.Figures.Pool.Store(int64(l.pool.Size()))
	l.Figures.Ejected.Store(int64(ejected))
}

// due turns the timers that have run out into events.
func (l *Loop) due(now time.Time) {
	for len(l.timers) > 0 && !l.timers[0].at.After(now) {
		t := heap.Pop(&l.timers).(timer)
		if t.call == nil {
			l.Event(balance.TimerFired{Token: t.token})
		} else if !t.call.answered {
			id, kind := t.call.Event.ID, Failed
			if l.stopBy.IsZero() {
				l.log.Error("no final answer in time", "request", id, "attempts", len(t.call.attempts))
			} else if t.call.drop() {
				kind = Refused // nothing was sent: another try does no harm
			}
			l.answer(t.call, Answer{Kind: kind})
			l.Event(balance.Abandoned{Request: id})
		}
	}
}

// do carries out one action.
func (l *Loop) do(a balance.Action) {
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
		l.timers.add(timer{at: time.Now().Add(a.After), token: a.Token})
	case balance.Probe:
		l.probe(a.Backend)
	case balance.TellPeer:
		if l.Peers != nil {
			l.Peers.Tell(a.To, a.Data)
		}
	case balance.Subscribe:
		l.Lists.Subscribe()
	case balance.Unsubscribe:
		l.Lists.Unsubscribe()
	case balance.FetchList:
		l.Lists.Fetch()
	case balance.CloseIdle:
		l.Backend.Keep(func(to Target) bool { return to.ID != a.Backend })
	case balance.Trace:
		l.log.Info("module", "trace", a.Text)
	default:
		panic(fmt.Sprintf("no way to carry out %T", a))
	}
}

// send starts an attempt on a goroutine of its own, bounded by its time-out and by the
// client's deadline.
func (l *Loop) send(s balance.Send) {
	c, addr := l.calls[s.Request], l.addrs[s.Backend]
	if c == nil {
		l.Event(balance.Outcome{Request: s.Request, Backend: s.Backend, Result: balance.NotSent,
			Done: true, Load: balance.NoLoad()})
		return
	}
	now := time.Now()
	until := c.Deadline
	if s.Timeout > 0 && now.Add(s.Timeout).Before(until) {
		until = now.Add(s.Timeout)
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	n := len(c.attempts)
	var by time.Time
	if s.By > 0 {
		by = l.clock.time(s.By)
	}
	p := NewPermit(by).Unless(c.HungUp)
	c.attempts = append(c.attempts, &attempt{backend: s.Backend, addr: addr, sent: now, cancel: cancel, permit: p})
	c.open++
	if c.answered || addr == "" || !until.After(now) {
		l.ended(c, n, s.Backend, Response{Result: balance.NotSent})
		return
	}
	go func() {
		r := l.Backend.Exchange(ctx, p, Target{s.Backend, addr}, c.Request)
		l.Post(func() { l.ended(c, n, s.Backend, r) })
	}()
}

// probe examines a backend outside any request, where the settings allow it.
func (l *Loop) probe(backend string) {
	addr, sent := l.addrs[backend], time.Now()
	if addr == "" || !l.s.MayProbe {
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

// timer is due at a time: a SetTimer's, or, with a call, that of its overdue answer.
type timer struct {
	at    time.Time
	token int64
	call  *Call
}

// timers is a heap, the next one due first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = timer{}
	*t = (*t)[:len(*t)-1]
	return last
}

func (t *timers) add(x timer) { heap.Push(t, x) }
