// Package admission governs the connections that clients open: how many there may be, which of
// them gives way when one more wants in, when accepting pauses, and when an answer ends its
// connection. It is there so that no request is ever read and then dropped, whatever a hostile
// crowd does, and so that backends and discovery keep their share of the descriptors.
//
// The Governor decides. It performs no I/O, has no clock and starts no goroutine; any front can
// ask it. A connection passes through these states:
//
//	New ──bytes──▶ Head ──head whole──▶ Body ──all read──▶ InHand ──answer──▶ Answering
//	 │              │ ▲                  │                                      │   │
//	 │ gives way    │ └── next request ──┼──────────── Idle ◀───── kept ────────┘   │
//	 ▼              ▼                    ▼               ▼                          ▼
//	 └──────────────┴────────────────────┴── Closing ────┴──────────────────────────┘
//
// A connection gives way only in New, Head and Idle, only after it has been asked to, and only by
// itself: the goroutine that reads it looks once more whether anything has come, and only then
// says Yield. From Body on nothing but its answer ends it.
//
// Listener and Conn are the thin shell round net/http: they carry the decisions out. Each Conn
// is read by the goroutine of its server; the mutex of the Listener guards the Governor, and no
// call is made on a socket while it is held, but for deadlines.
//
// Bounds: connections by Config.Most (those turned away by Config.Spare besides), requests being
// read by Config.Reading, their bodies' bytes together by Config.Bytes, each wait by a time.
package admission

import (
	"container/list"
	"fmt"
	"time"
)

// State is what a connection is doing.
type State uint8

const (
	New       State = iota // accepted, nothing has come
	Head                   // part of a request's head has come
	Body                   // the head is whole; the body is being read
	InHand                 // a whole request has been read; its answer is owed
	Answering              // the answer is being written
	Idle                   // answered, and nothing of a next request has come
	Closing                // takes no more requests; its descriptor is still held
	states
)

var stateNames = [states]string{"new", "head", "body", "in hand", "answering", "idle", "closing"}

func (s State) String() string {
	if s < states {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Config bounds what clients may hold. Times are durations, sizes bytes.
type Config struct {
	Most    int // connections of clients, closing ones included; 0: no bound
	Total   int // the same, where each with a request in hand counts twice: it may need another descriptor; 0: no bound
	Spare   int // connections beyond Most that are being turned away at a time; at least 1
	Reading int // requests whose body is being read at a time; 0: no bound
	Bytes   int // bytes that bodies may hold together, from the first read to the answer; 0: no bound

	Fresh    time.Duration // a new connection is left alone for so long: its request is on its way
	Stall    time.Duration // one that began a request and sent nothing for so long doesn't go on
	Granted  time.Duration // an idle one may be closed after so long (PROTOCOL: 2 s)
	Patience time.Duration // how long a newcomer waits before it is turned away
	Pressed  time.Duration // so long after one had to wait no connection is kept
	Settle   time.Duration // at the end of a planned stop a new one is left alone for so long: its request is on its way
}

// DefaultConfig is for a process that may hold so many descriptors for connections of all kinds,
// and so many bytes of memory; 0 means no bound. Clients get three quarters of the descriptors, as far as their
// requests in hand leave one for each to a backend.
func DefaultConfig(descriptors int, memory int64) Config {
	most := descriptors * 3 / 4
	return Config{Most: most, Total: descriptors, Spare: max(1, min(16, descriptors/32)), Reading: (most + 1) / 2, Bytes: int(memory / 8),
		Fresh: 50 * time.Millisecond, Stall: 500 * time.Millisecond, Granted: 2 * time.Second,
		Patience: 250 * time.Millisecond, Pressed: time.Second, Settle: 300 * time.Millisecond}
}

// check names the first field that makes no sense.
func (c *Config) check() error {
	for _, f := range []struct {
		name string
		v    int
		min  int
	}{{"Most", c.Most, 0}, {"Total", c.Total, 0}, {"Spare", c.Spare, 1}, {"Reading", c.Reading, 0}, {"Bytes", c.Bytes, 0},
		{"Fresh", int(c.Fresh), 0}, {"Stall", int(c.Stall), 0}, {"Granted", int(c.Granted), 0},
		{"Patience", int(c.Patience), 0}, {"Pressed", int(c.Pressed), 0},
		{"Settle", int(c.Settle), 0}} {
		if f.v < f.min {
			return fmt.Errorf("admission: %s: %d makes no sense", f.name, f.v)
		}
	}
	return nil
}

// Entry is one connection as the Governor knows it.
type Entry struct {
	Tag any // what the front knows it by

	state  State
	since  time.Duration // when it came into this state; in Head: when bytes last came
	place  *list.Element // in the list of its state
	asked  bool          // to give way
	early  bool          // bytes of a next request came before its answer was out
	served int           // requests answered
	bytes  int           // reserved for its request's body
}

// State is what the connection is doing now.
func (e *Entry) State() State { return e.state }

// Served is how many requests on it have been answered.
func (e *Entry) Served() int { return e.served }

// Asked reports whether it has been asked to give way and has not yet done so.
func (e *Entry) Asked() bool { return e.asked }

// Counts is what a front, a planned stop or an operator may ask for.
type Counts struct {
	Held      int         // connections, closing ones included
	By        [states]int // the same by State
	Asked     int         // asked to give way, and not yet Closing
	Bytes     int         // reserved for bodies
	TurnedNow int         // connections being turned away now

	Accepted, TurnedAway, GaveWay, Ended uint64 // since the start; Ended: closed with an answer
}

// Governor decides about clients' connections. It belongs to whoever holds its lock. All times
// are on one monotonic clock; its zero is of no matter.
type Governor struct {
	cfg      Config
	lists    [states]list.List // the longest in the state first
	counts   Counts
	pausedAt time.Duration // when the newcomer at the head of the backlog began to wait
	paused   bool
	waitedAt time.Duration // when a newcomer last had to wait
	waited   bool          // one ever had to
	draining bool
	lasting  bool // idle connections stay all the same
}

// New returns a Governor without connections.
func NewGovernor(cfg Config) (*Governor, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Governor{cfg: cfg}, nil
}

// Resize puts other bounds in force. What is held beyond them stays until newcomers need the places.
func (g *Governor) Resize(cfg Config) error {
	if err := cfg.check(); err != nil {
		return err
	}
	g.cfg = cfg
	return nil
}

// Counts tells what is held now and what has passed.
func (g *Governor) Counts() Counts { return g.counts }

// Verdict is what becomes of a newcomer.
type Verdict struct {
	Admit    bool          // it is taken: Open
	TurnAway bool          // it gets a short refusal: Turn
	Ask      []*Entry      // to be woken: each may give way, or find that it can't
	Wait     time.Duration // neither: ask again after so long, or when a connection has closed
}

// Newcomer decides about one more connection. While it waits, all behind it wait in the
// listener's backlog.
func (g *Governor) Newcomer(now time.Duration) Verdict {
	over := g.over()
	if over < 0 {
		g.paused = false
		return Verdict{Admit: true}
	}
	var v Verdict
	g.waited, g.waitedAt = true, now
	// Closing ones are leaving, asked ones may be: as many as are needed are enough.
	if need := over + 1 - g.counts.By[Closing] - g.counts.Asked; need > 0 {
		v.Ask, v.Wait = g.pick(now, need)
	}
	if !g.paused {
		g.paused, g.pausedAt = true, now
	}
	left := g.pausedAt + g.cfg.Patience - now
	if left <= 0 && g.counts.TurnedNow < g.cfg.Spare {
		v.TurnAway = true
		return v
	}
	if left <= 0 {
		left = g.cfg.Patience
	}
	if v.Wait <= 0 || v.Wait > left {
		v.Wait = left
	}
	return v
}

// over is by how many places more than are free are held; below 0: there is room for one more.
func (g *Governor) over() int {
	over := -1
	if g.cfg.Most > 0 {
		over = g.counts.Held - g.cfg.Most
	}
	if g.cfg.Total > 0 {
		by := &g.counts.By
		over = max(over, g.counts.Held+by[Body]+by[InHand]+by[Answering]+2*g.cfg.Spare-g.cfg.Total)
	}
	return over
}

// pick chooses up to need connections that may give way: those that never asked, then those that
// began a request and don't go on, then those idle for longer than they are granted, the longest
// first. It also returns how long it is until one more may; 0: not known.
func (g *Governor) pick(now time.Duration, need int) (ask []*Entry, wait time.Duration) {
	for _, kind := range []struct {
		s    State
		rest time.Duration
	}{{New, g.cfg.Fresh}, {Head, g.cfg.Stall}, {Idle, g.cfg.Granted}} {
		for at := g.lists[kind.s].Front(); at != nil && len(ask) < need; at = at.Next() {
			e := at.Value.(*Entry)
			if e.asked {
				continue
			}
			if left := e.since + kind.rest - now; left > 0 {
				if wait == 0 || left < wait {
					wait = left
				}
				break // those behind it came later
			}
			g.ask(e)
			ask = append(ask, e)
		}
	}
	return ask, wait
}

func (g *Governor) ask(e *Entry) {
	if !e.asked {
		e.asked = true
		g.counts.Asked++
	}
}

func (g *Governor) unask(e *Entry) {
	if e.asked {
		e.asked = false
		g.counts.Asked--
	}
}

// Shed picks one connection that may give way though the cap isn't reached: descriptors have run
// out. nil: none may.
func (g *Governor) Shed(now time.Duration) *Entry {
	if ask, _ := g.pick(now, 1); len(ask) > 0 {
		return ask[0]
	}
	return nil
}

// Open takes a connection that was admitted.
func (g *Governor) Open(now time.Duration, tag any) *Entry {
	e := &Entry{Tag: tag, state: states}
	g.counts.Held++
	g.counts.Accepted++
	g.move(e, New, now)
	return e
}

func (g *Governor) move(e *Entry, s State, now time.Duration) {
	if e.state < states {
		g.lists[e.state].Remove(e.place)
		g.counts.By[e.state]--
	}
	e.state, e.since = s, now
	e.place = g.lists[s].PushBack(e)
	g.counts.By[s]++
}

// Arrived notes that bytes have come. Whoever had been asked to give way is asked no longer.
func (g *Governor) Arrived(e *Entry, now time.Duration) {
	switch e.state {
	case New, Idle, Head:
		g.unask(e)
		g.move(e, Head, now)
	case InHand, Answering:
		e.early = true
	}
}

// Early notes that a byte has come of what follows a request that is in hand, and reports whether one is.
func (g *Governor) Early(e *Entry) bool {
	if e.state != Body && e.state != InHand && e.state != Answering {
		return false
	}
	e.early = true
	return true
}

// HeadWhole notes that the head of a request has been read: from here on nothing but its answer
// ends the connection. It may be the head of a request that came together with the one before.
func (g *Governor) HeadWhole(e *Entry, now time.Duration) {
	if e.state == New || e.state == Head || e.state == Idle {
		g.unask(e)
		g.move(e, Body, now)
	}
}

// Reserve asks for room for a body. Without it the request is refused: none of it has run.
func (g *Governor) Reserve(e *Entry, bytes int) bool {
	if e.state != Body || g.cfg.Reading > 0 && g.counts.By[Body] > g.cfg.Reading ||
		g.cfg.Bytes > 0 && bytes > g.cfg.Bytes-g.counts.Bytes {
		return false
	}
	e.bytes += bytes
	g.counts.Bytes += bytes
	return true
}

// Hold asks for more room for a body, so that all of it is held where it could be streamed as well. Half of the
// bytes are left to those who need room: else a few long bodies would turn away many short ones.
func (g *Governor) Hold(e *Entry, bytes int) bool {
	if g.cfg.Bytes > 0 && bytes > g.cfg.Bytes/2-g.counts.Bytes {
		return false
	}
	return g.Reserve(e, bytes)
}

// Settle notes that a body has come to its end, and how long it is.
func (g *Governor) Settle(e *Entry, bytes int) {
	if over := e.bytes - bytes; over > 0 {
		e.bytes -= over
		g.counts.Bytes -= over
	}
}

// Stall is how long a body's next bytes may take: less while a newcomer waits for room.
func (g *Governor) Stall() time.Duration {
	if g.paused {
		return g.cfg.Stall
	}
	return 3 * g.cfg.Stall
}

// Taken notes that a whole request has been read.
func (g *Governor) Taken(e *Entry, now time.Duration) {
	if e.state == Body {
		g.move(e, InHand, now)
	}
}

// Answer notes that an answer is about to be written, and reports whether the connection is to be
// kept. An answer that says it is the last ends a connection in a way that can't be mistaken, so
// this is how room is made while many connections are idle: clients that ask once and stay would
// hold the rest for as long as they are granted.
func (g *Governor) Answer(e *Entry, now time.Duration) (keep bool) {
	if e.state == Body || e.state == InHand {
		g.move(e, Answering, now)
	}
	crowded := g.cfg.Most > 0 && 2*g.counts.Held >= g.cfg.Most && 4*g.counts.By[Idle] >= g.cfg.Most
	lately := g.waited && now-g.waitedAt < g.cfg.Pressed
	return !g.draining && !g.paused && !crowded && !lately
}

// Answered notes that an answer is out and its connection is kept. It reports whether the
// connection is to be woken since it was asked to give way at once.
func (g *Governor) Answered(e *Entry, now time.Duration) (wake bool) {
	if e.state != Answering {
		return false
	}
	g.release(e)
	e.served++
	if e.early {
		e.early = false
		g.move(e, Head, now)
		return false
	}
	g.move(e, Idle, now)
	if g.draining && !g.lasting {
		g.ask(e)
	}
	return e.asked
}

func (g *Governor) release(e *Entry) {
	g.counts.Bytes -= e.bytes
	e.bytes = 0
}

// Yield is said by the reader of a connection that was asked to give way, once it has seen that
// nothing more has come. It reports whether the connection closes now.
func (g *Governor) Yield(e *Entry, now time.Duration) bool {
	if !e.asked || e.state != New && e.state != Head && e.state != Idle {
		return false
	}
	g.counts.GaveWay++
	g.close(e, now)
	return true
}

// Close notes that a connection takes no more requests.
func (g *Governor) Close(e *Entry, now time.Duration) {
	if e.state < Closing {
		if e.state == Answering {
			e.served++
			g.counts.Ended++
		}
		g.close(e, now)
	}
}

func (g *Governor) close(e *Entry, now time.Duration) {
	g.unask(e)
	g.release(e)
	g.move(e, Closing, now)
}

// Gone notes that a connection's descriptor is free again.
func (g *Governor) Gone(e *Entry, now time.Duration) {
	if e.state == states {
		return
	}
	g.Close(e, now)
	g.lists[Closing].Remove(e.place)
	g.counts.By[Closing]--
	g.counts.Held--
	e.state = states
	if g.over() < 0 {
		g.paused = false
	}
}

// Turn notes that a newcomer is being turned away, Turned that its descriptor is free again.
func (g *Governor) Turn() {
	g.counts.TurnedAway++
	g.counts.TurnedNow++
}

// LastSpare is how many may be turned away at a time once nothing else is accepted: what is left for requests in hand is
// theirs too.
func (g *Governor) LastSpare() int {
	spare := max(g.cfg.Spare, lastSpare)
	if by := &g.counts.By; g.cfg.Total > 0 {
		spare = min(spare, g.cfg.Total-g.counts.Held-by[Body]-by[InHand]-by[Answering])
	}
	return max(g.cfg.Spare, spare)
}

const lastSpare = 64

// Turned ends a Turn.
func (g *Governor) Turned() { g.counts.TurnedNow-- }

// Last has each answer end its connection from now on. Idle ones stay: a request that is on its way to one
// is read and answered, where a close would cross it.
func (g *Governor) Last() { g.draining, g.lasting = true, true }

// Drain begins a planned stop: answers end their connections, idle ones are asked to go. Those
// returned are to be woken.
func (g *Governor) Drain(now time.Duration) []*Entry {
	g.draining, g.lasting = true, false
	return g.askAll(Idle, now)
}

// Finish ends it: nothing is accepted any longer, so those on which nothing has come are asked as
// well, but for those that came a moment ago. It is to be called again after wait; 0: there is no need.
func (g *Governor) Finish(now time.Duration) (ask []*Entry, wait time.Duration) {
	g.draining, g.lasting = true, false
	ask = append(g.askAll(Idle, now), g.askAll(New, now-g.cfg.Settle)...)
	if last := g.lists[New].Back(); last != nil {
		wait = max(0, last.Value.(*Entry).since+g.cfg.Settle-now)
	}
	return ask, wait
}

// askAll asks those that have been in a state since a time or longer.
func (g *Governor) askAll(s State, since time.Duration) (ask []*Entry) {
	for at := g.lists[s].Front(); at != nil && at.Value.(*Entry).since <= since; at = at.Next() {
		if e := at.Value.(*Entry); !e.asked {
			g.ask(e)
			ask = append(ask, e)
		}
	}
	return ask
}
