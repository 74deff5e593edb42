package agent

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/roster"
	"lemonrail/internal/wire"
)

// decider is what the loop asks for decisions; in service an *balance.Balancer.
type decider interface {
	Step(now time.Duration, events []balance.Event) []balance.Action
}

// clock counts from the Unix epoch, so that start times in lists convert and 0 stays long
// ago, but moves with the monotonic clock alone: a step of the system's clock changes nothing.
type clock struct{ start time.Time }

func (c clock) now() time.Duration { return c.at(time.Now()) }

func (c clock) at(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

// call is a client's request in hand. The loop owns what is below reply.
type call struct {
	event    balance.Request // but for Left
	out      outgoing
	deadline time.Time
	reply    chan answer // holds the one final answer

	attempts []*attempt // in the order of their Send
	open     int        // of these, still out
	answered bool       // has its final answer or owes none
}

// attempt is one Send.
type attempt struct {
	sent   time.Time
	cancel context.CancelFunc
}

// answer is a call's final answer.
type answer struct {
	status     int
	retryAfter time.Duration
	header     http.Header
	body       []byte
}

// loop owns the balancer, the calls in hand and the timers. All that happens comes to it as
// a function on its inbox; it alone decides which outcome an attempt and which answer a call has.
type loop struct {
	bal   decider
	clock clock
	log   *slog.Logger
	inbox chan func()
	dead  chan struct{} // closed when run has ended

	up    *upstream
	disc  *roster.Client
	peers *peers // nil where agents don't talk
	s     *balance.Settings

	events []balance.Event  // for the next step
	calls  map[string]*call // in hand, or answered with attempts still out
	past   *past
	addrs  map[string]string
	timers timers
	stopBy time.Time // by which all must have been answered; zero: no stop is planned
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

func newLoop(bal decider, s *balance.Settings, log *slog.Logger) *loop {
	return &loop{bal: bal, s: s, clock: clock{time.Now()}, log: log,
		inbox: make(chan func(), inboxSize), dead: make(chan struct{}),
		calls: map[string]*call{}, past: newPast(), addrs: map[string]string{}}
}

// post hands f to the loop. It may wait; the loop itself must not call it.
func (l *loop) post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.dead:
	}
}

// run steps until ctx ends. A panic of the decision module comes back as an error, after
// whatever is in hand has been answered as failed.
func (l *loop) run(ctx context.Context) (err error) {
	defer close(l.dead)
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic in the decision loop: %v\n%s", p, debug.Stack())
		}
		for _, c := range l.calls {
			l.answer(c, answer{status: http.StatusBadGateway})
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
		if len(l.timers) > 0 {
			alarm.Reset(time.Until(l.timers[0].at))
		}
	}
}

func (l *loop) event(e balance.Event) { l.events = append(l.events, e) }

// arrived takes a client's request in hand.
func (l *loop) arrived(c *call) {
	if l.calls[c.event.ID] != nil || l.past.has(c.event.ID) {
		// Guards against an id that is or has just been in use: the module would take the second
		// request for the first and owe it nothing, and a backend would be sent what has had its answer.
		c.reply <- answer{status: http.StatusBadRequest}
		return
	}
	l.calls[c.event.ID] = c
	e := c.event
	e.Left = time.Until(c.deadline)
	l.event(e)
	// Guards against an answer that is owed for ever: should the module still owe one when the
	// grace is half over, the call fails here and the module is told, as on the bench.
	l.timers.add(timer{at: l.latest(c), call: c})
}

// latest is when a call is failed here, should the module still owe it an answer.
func (l *loop) latest(c *call) time.Time {
	at := c.deadline.Add(l.s.AnswerGrace / 2)
	if !l.stopBy.IsZero() && l.stopBy.Before(at) {
		return l.stopBy
	}
	return at
}

// stopping takes note that the program is to end: what is in hand or comes has its answer by then.
// Guards against requests that are lost when the platform ends the process.
func (l *loop) stopping(by time.Time) {
	l.stopBy = by
	for _, c := range l.calls {
		if !c.answered {
			l.timers.add(timer{at: l.latest(c), call: c})
		}
	}
}

// left takes note that a client has gone.
func (l *loop) left(c *call) {
	if l.calls[c.event.ID] == c && !c.answered {
		c.answered = true
		l.event(balance.Abandoned{Request: c.event.ID})
		l.forget(c)
	}
}

// answer gives a call its final answer, once.
func (l *loop) answer(c *call, a answer) {
	if c.answered {
		return
	}
	c.answered = true
	c.reply <- a
	l.forget(c)
}

func (l *loop) forget(c *call) {
	if c.answered && c.open == 0 && l.calls[c.event.ID] == c {
		delete(l.calls, c.event.ID)
		l.past.add(c.event.ID)
	}
}

// ended passes on the outcome of an attempt. The first that is served answers the call.
func (l *loop) ended(c *call, n int, backend string, r response) {
	a := c.attempts[n]
	a.cancel()
	c.open--
	if r.result == balance.OK {
		l.answer(c, answer{status: http.StatusOK, header: r.header, body: r.body})
	}
	l.event(balance.Outcome{Request: c.event.ID, Attempt: n, Backend: backend, Result: r.result,
		Latency: time.Since(a.sent), Done: c.answered, Load: r.load, Standing: r.standing})
	l.forget(c)
}

// listed takes a list, or the failure to get one, from discovery.
func (l *loop) listed(list balance.List, addrs map[string]string) {
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
	l.up.closeIdle(func(to target) bool { return l.addrs[to.id] == to.addr })
	l.event(list)
}

// due turns the timers that have run out into events.
func (l *loop) due(now time.Time) {
	for len(l.timers) > 0 && !l.timers[0].at.After(now) {
		t := heap.Pop(&l.timers).(timer)
		if t.call == nil {
			l.event(balance.TimerFired{Token: t.token})
		} else if !t.call.answered {
			id, status := t.call.event.ID, http.StatusBadGateway
			if l.stopBy.IsZero() {
				l.log.Error("no final answer in time", "request", id, "attempts", len(t.call.attempts))
			} else if len(t.call.attempts) == 0 {
				status = http.StatusServiceUnavailable // nothing was sent: another try does no harm
			}
			l.answer(t.call, answer{status: status})
			l.event(balance.Abandoned{Request: id})
		}
	}
}

// do carries out one action.
func (l *loop) do(a balance.Action) {
	switch a := a.(type) {
	case balance.Send:
		l.send(a)
	case balance.Refuse:
		if c := l.calls[a.Request]; c != nil {
			l.answer(c, answer{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
		}
	case balance.Fail:
		if c := l.calls[a.Request]; c != nil {
			l.answer(c, answer{status: http.StatusBadGateway})
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
		if l.peers != nil {
			l.peers.tell(a.To, a.Data)
		}
	case balance.Subscribe:
		l.disc.Subscribe()
	case balance.Unsubscribe:
		l.disc.Unsubscribe()
	case balance.FetchList:
		l.disc.Fetch()
	case balance.CloseIdle:
		l.up.closeIdle(func(to target) bool { return to.id != a.Backend })
	case balance.Trace:
		l.log.Info("module", "trace", a.Text)
	default:
		panic(fmt.Sprintf("no way to carry out %T", a))
	}
}

// send starts an attempt on a goroutine of its own, bounded by its time-out and by the
// client's deadline.
func (l *loop) send(s balance.Send) {
	c, addr := l.calls[s.Request], l.addrs[s.Backend]
	if c == nil {
		l.event(balance.Outcome{Request: s.Request, Backend: s.Backend, Result: balance.NotSent,
			Done: true, Load: wire.NoLoad()})
		return
	}
	now := time.Now()
	until := c.deadline
	if s.Timeout > 0 && now.Add(s.Timeout).Before(until) {
		until = now.Add(s.Timeout)
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	n := len(c.attempts)
	c.attempts = append(c.attempts, &attempt{sent: now, cancel: cancel})
	c.open++
	if c.answered || addr == "" || !until.After(now) {
		l.ended(c, n, s.Backend, response{result: balance.NotSent, load: wire.NoLoad()})
		return
	}
	go func() {
		r := l.up.exchange(ctx, target{s.Backend, addr}, c.out)
		l.post(func() { l.ended(c, n, s.Backend, r) })
	}()
}

// probe examines a backend outside any request, where the settings allow it.
func (l *loop) probe(backend string) {
	addr, sent := l.addrs[backend], time.Now()
	if addr == "" || !l.s.MayProbe {
		l.event(balance.ProbeResult{Backend: backend, Result: balance.NotSent, Load: wire.NoLoad()})
		return
	}
	go func() {
		r := l.up.probe(target{backend, addr}, l.s.Reports != balance.ReportsOff)
		l.post(func() {
			l.event(balance.ProbeResult{Backend: backend, Result: r.result, Latency: time.Since(sent), Load: r.load})
		})
	}()
}

// timer is due at a time: a SetTimer's, or, with a call, that of its overdue answer.
type timer struct {
	at    time.Time
	token int64
	call  *call
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
