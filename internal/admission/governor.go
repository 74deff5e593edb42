// Package admission limits the connections that clients open: how many there may be, which of them is closed
// when another one needs room, when accepting pauses, and which answers end their connection. No request is
// read and then dropped, even when clients are hostile, and backends and discovery keep their share of the
// descriptors.
//
// Governor makes the decisions. It performs no I/O, reads no clock and starts no goroutine, so that any front
// end can use it. A connection passes through these states:
//
//	New ──bytes──▶ Head ─head complete─▶ Body ──all read──▶ Processing ─answer─▶ Answering
//	 │              │ ▲                    │                     │                 │   │
//	 │ evicted      │ └── next request ────┼───────── Idle ◀─────┼── kept alive ───┘   │
//	 ▼              ▼                      ▼            ▼        ▼                     ▼
//	 └──────────────┴──────────────────────┴── Closing ─┴────────┴─────────────────────┘
//
// A connection is evicted only in New, Head and Idle, and only by its own reader: Governor requests the close,
// the reading goroutine checks once more whether bytes have arrived, and only then calls ConfirmClose. From
// Body on, a connection ends only with its answer.
//
// Listener and Conn connect Governor with net/http and carry out its decisions. The server's goroutine reads
// each Conn. The mutex of Listener guards Governor; while it is held, the only socket calls are those that set
// deadlines.
//
// Limits: Config.MaxConnections for connections (plus Config.MaxRefusals for those being refused),
// Config.MaxBodyReads for bodies being read, Config.MaxBodyBytes for the total size of bodies; every wait has
// a timeout.
package admission

import (
	"cmp"
	"container/list"
	"fmt"
	"time"

	"lemonrail/internal/pace"
)

// State is the phase of a connection's current request.
type State uint8

const (
	StateNew        State = iota // accepted, nothing has been received
	StateHead                    // part of a request's head has been received
	StateBody                    // the head is complete and the body is being read
	StateProcessing              // a whole request has been read and is not yet answered
	StateAnswering               // the answer is being written
	StateIdle                    // answered, and nothing of the next request has been received
	StateClosing                 // accepts no more requests; its descriptor is still open
	stateCount
)

var stateNames = [stateCount]string{"new", "head", "body", "in hand", "answering", "idle", "closing"}

func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Config bounds the resources that clients may use.
type Config struct {
	MaxConnections int // client connections, including those in StateClosing; 0: unlimited
	MaxDescriptors int // descriptors, where a connection with a request counts twice, as it may need one to a backend; 0: unlimited
	MaxRefusals    int // connections beyond MaxConnections that are being refused at a time; at least 1
	MaxBodyReads   int // requests whose body is being read at a time; 0: unlimited
	MaxBodyBytes   int // total bytes reserved for bodies, from the first read to the answer; 0: unlimited
	MaxHeadBytes   int // total bytes reserved for heads that are not small, from the first read to the answer; 0: unlimited

	NewGrace     time.Duration // a new connection isn't evicted for this long: its request may be in transit
	StallTimeout time.Duration // a connection in StateHead may be evicted after this long without bytes
	MinStall     time.Duration // instead of StallTimeout, for a client that has sent only one piece of a head, and for connections that wait for room; 0: none
	MinIdle      time.Duration // an idle connection may be evicted after this long (PROTOCOL: 2 s)
	AdmitTimeout time.Duration // how long a new connection waits for room before it is refused
	PressureTime time.Duration // no connection is kept alive for this long after a new one had to wait
	DrainGrace   time.Duration // during Finish a new connection isn't closed for this long: its request may be in transit
}

// connectionMemory is the memory in bytes that has to be there for each connection: its goroutine, buffers, small head and
// answer, and the connection to a backend that its request may need.
const connectionMemory = 96 << 10

// DefaultConfig returns the limits for a process that may use that many descriptors for connections of all
// kinds and that many bytes of memory; 0 means unlimited. Clients get three quarters of the descriptors, as
// long as each request in progress can still get a descriptor for its backend.
func DefaultConfig(descriptors int, memory int64) Config {
	maxConnections := descriptors * 3 / 4
	if byMemory := int(memory / connectionMemory); memory > 0 && (maxConnections == 0 || byMemory < maxConnections) {
		maxConnections = byMemory
	}
	return Config{MaxConnections: maxConnections, MaxDescriptors: descriptors, MaxRefusals: max(1, min(16, descriptors/32)), MaxBodyReads: (maxConnections + 1) / 2, MaxBodyBytes: int(memory / 8), MaxHeadBytes: int(memory / 16),
		NewGrace: 50 * time.Millisecond, StallTimeout: 500 * time.Millisecond, MinStall: 100 * time.Millisecond, MinIdle: 2 * time.Second,
		AdmitTimeout: 250 * time.Millisecond, PressureTime: time.Second, DrainGrace: 300 * time.Millisecond}
}

// check returns an error that names the first invalid field.
func (c *Config) check() error {
	for _, f := range []struct {
		name  string
		value int
		min   int
	}{{"MaxConnections", c.MaxConnections, 0}, {"MaxDescriptors", c.MaxDescriptors, 0}, {"MaxRefusals", c.MaxRefusals, 1},
		{"MaxBodyReads", c.MaxBodyReads, 0}, {"MaxBodyBytes", c.MaxBodyBytes, 0}, {"MaxHeadBytes", c.MaxHeadBytes, 0},
		{"NewGrace", int(c.NewGrace), 0}, {"StallTimeout", int(c.StallTimeout), 0}, {"MinStall", int(c.MinStall), 0}, {"MinIdle", int(c.MinIdle), 0},
		{"AdmitTimeout", int(c.AdmitTimeout), 0}, {"PressureTime", int(c.PressureTime), 0},
		{"DrainGrace", int(c.DrainGrace), 0}} {
		if f.value < f.min {
			return fmt.Errorf("admission: %s: %d is too small", f.name, f.value)
		}
	}
	return nil
}

// Entry is Governor's record of one connection.
type Entry struct {
	Tag any // set by the front end to identify the connection

	state          State
	since          time.Duration // when it entered this state; in StateHead: when bytes last arrived
	headSince      time.Duration // in StateHead: when the first bytes of the head arrived
	element        *list.Element // its position in the list of its state
	closeRequested bool          // the reader has been asked to close it
	pipelined      bool          // bytes of the next request arrived before the current answer was written
	served         int           // number of requests answered
	reservedBytes  int           // bytes reserved for the current request's body
	headBytes      int           // bytes reserved for the current request's head
	localAnswers   pace.Bucket   // of the answers on this connection that needed no backend
	refusals       pace.Bucket   // of the refusals on this connection
}

// State returns the connection's current state.
func (e *Entry) State() State { return e.state }

// Served returns the number of requests answered on the connection.
func (e *Entry) Served() int { return e.served }

// CloseRequested reports whether a close has been requested and not yet confirmed.
func (e *Entry) CloseRequested() bool { return e.closeRequested }

// Counts holds the current number of connections and the totals since the start.
type Counts struct {
	Held           int             // open connections, including those in StateClosing
	ByState        [stateCount]int // number of open connections by State
	CloseRequested int             // connections asked to close and not yet in StateClosing
	ReservedBytes  int             // bytes reserved for the bodies of all connections
	HeadBytes      int             // bytes reserved for the heads of all connections
	Refusing       int             // new connections that are being sent a refusal, which don't count in Held

	Accepted, Refused, Evicted, EndedByAnswer uint64 // totals since the start; EndedByAnswer: closed with an answer
	HeadsRefused, BodiesRefused, AnswersPaced uint64 // totals of requests refused for want of memory for their head or body, and of local answers that waited
	ClosedUnread                              uint64 // total of those closed without an answer while bytes of their clients were unread, which resets them
}

// Governor makes the decisions about client connections. It isn't safe for concurrent use. All times are on one
// monotonic clock with an arbitrary zero.
type Governor struct {
	cfg          Config
	lists        [stateCount]list.List // connections by state, the one that entered first in front
	counts       Counts
	others       int           // descriptors in use besides those of the connections here and of the backends that they need
	waiting      bool          // a new connection waits for room
	waitingSince time.Duration // since when connections have waited without one being admitted
	undecided    bool          // Decide has neither admitted nor refused the new connection that it was asked about last
	crowded      bool          // each new connection has had to wait since crowdedSince
	crowdedSince time.Duration
	lastWaitAt   time.Duration // when a new connection last had to wait
	everWaited   bool          // lastWaitAt is set
	draining     bool          // each answer ends its connection
	keepIdle     bool          // while draining, idle connections are not closed
	localAnswers pace.Bucket   // of the answers on all connections that needed no backend
	refusals     pace.Bucket   // of the refusals on all connections
}

// NewGovernor returns a Governor without connections.
func NewGovernor(cfg Config) (*Governor, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Governor{cfg: cfg}, nil
}

// Resize replaces the limits. Connections beyond them are evicted only when new ones need room.
func (g *Governor) Resize(cfg Config) error {
	if err := cfg.check(); err != nil {
		return err
	}
	g.cfg = cfg
	return nil
}

// Counts returns the current numbers of connections and the totals since the start.
func (g *Governor) Counts() Counts { return g.counts }

// Decision says what to do with a new connection.
type Decision struct {
	Admit        bool          // accept it: call Open
	Refuse       bool          // send a short refusal: call BeginRefusal
	Drop         bool          // close it without an answer
	RequestClose []*Entry      // connections to wake: each either closes or has received bytes and stays
	Wait         time.Duration // with none of Admit, Refuse and Drop: decide again after this long, or when a connection has closed
}

// Decide decides about one new connection. While it waits, all later ones wait in the listener's backlog.
func (g *Governor) Decide(now time.Duration) Decision {
	excess := g.excess()
	if excess < 0 {
		if !g.undecided { // it didn't have to wait
			g.crowded = false
		}
		g.waiting, g.undecided = false, false
		return Decision{Admit: true}
	}
	var decision Decision
	g.everWaited, g.lastWaitAt = true, now
	// Connections that are closing or have been asked to close count as room that becomes free.
	if need := excess + 1 - g.makingRoom(); need > 0 {
		decision.RequestClose, decision.Wait = g.selectEvictable(now, need)
	}
	if !g.waiting {
		g.waiting, g.waitingSince = true, now
	}
	if !g.crowded {
		g.crowded, g.crowdedSince = true, now
	}
	g.undecided = true
	// In a crowd the wait isn't granted anew after each one that is admitted, since those behind it wait in the backlog
	// meanwhile, unless there is about to be room.
	since := g.crowdedSince
	if g.makingRoom() > excess || decision.Wait > 0 && decision.Wait <= g.cfg.AdmitTimeout { // or one may be closed soon
		since = g.waitingSince
	}
	remaining := since + g.cfg.AdmitTimeout - now
	if remaining <= 0 && g.counts.Refusing < g.cfg.MaxRefusals {
		g.undecided = false
		decision.Refuse = true
		return decision
	}
	if remaining <= 0 {
		remaining = g.cfg.AdmitTimeout
	}
	if decision.Wait <= 0 || decision.Wait > remaining {
		decision.Wait = remaining
	}
	if g.cfg.MinStall > 0 { // by then it may be Overdue
		decision.Wait = min(decision.Wait, g.cfg.MinStall)
	}
	return decision
}

// Full reports whether there is no room for another connection.
func (g *Governor) Full() bool { return g.excess() >= 0 }

// Overdue reports whether a connection that waits for room, without a whole head, has been silent for so long that it need
// not wait any longer. since is when its last bytes arrived, or when it was established if it has received none; inPieces:
// its client goes on writing.
func (g *Governor) Overdue(now, since time.Duration, inPieces bool) bool {
	limit := g.cfg.MinStall
	if inPieces {
		limit = g.cfg.StallTimeout
	}
	return g.cfg.MinStall > 0 && now-since >= limit
}

// crowdCloseShare is the divisor of MaxConnections that gives how many are closed at a time for those in a long backlog. They
// take no descriptors besides their own.
const crowdCloseShare = 8

// HoldsUpMany reports whether the backlog is so long that a connection whose head isn't whole must not wait for room.
func (g *Governor) HoldsUpMany(backlog int) bool {
	return g.cfg.MinStall > 0 && backlog > g.cfg.MaxRefusals
}

// DecideOverdue is Decide for a connection that is Overdue. Those behind it in the backlog may have whole requests, so that
// it gets no time to wait for room that nobody is about to make; and many others are closed at a time.
func (g *Governor) DecideOverdue(now time.Duration) Decision {
	decision := g.Decide(now)
	if decision.Admit || decision.Refuse {
		return decision
	}
	more, _ := g.selectEvictable(now, max(g.cfg.MaxRefusals, g.cfg.MaxConnections/crowdCloseShare)-g.makingRoom())
	decision.RequestClose = append(decision.RequestClose, more...)
	if g.makingRoom() == 0 {
		g.undecided = false
		decision.Refuse = g.counts.Refusing < g.cfg.MaxRefusals
		decision.Drop = !decision.Refuse
	}
	return decision
}

// makingRoom returns how many connections are closing or have been asked to close.
func (g *Governor) makingRoom() int { return g.counts.ByState[StateClosing] + g.counts.CloseRequested }

// minStall returns how long a connection may be silent that has sent one piece of a head. While many connections have sent
// nothing, those make room soon enough.
func (g *Governor) minStall() time.Duration {
	if silentShare*g.counts.ByState[StateNew] >= g.counts.Held {
		return g.cfg.StallTimeout
	}
	return cmp.Or(g.cfg.MinStall, g.cfg.StallTimeout)
}

// silentShare is the divisor of the open connections that makes those without any bytes many.
const silentShare = 8

// evictableAfter returns for how long a connection has to be in its state to be evicted. A client that goes on
// writing a head gets more time than one that has sent one piece: crowds of clients that never finish a request would
// otherwise hold all room for StallTimeout.
func (g *Governor) evictableAfter(e *Entry) time.Duration {
	switch {
	case e.state == StateNew:
		return g.cfg.NewGrace
	case e.state == StateIdle:
		return g.cfg.MinIdle
	case e.since-e.headSince >= minPieceGap:
		return g.cfg.StallTimeout
	}
	return g.minStall()
}

// minPieceGap is the least time between the first and the last bytes of a head that its client writes in pieces.
const minPieceGap = 10 * time.Millisecond

// excess returns by how many places (connections, or descriptors if that is more) the limits are exceeded; 0: they are
// reached; below 0: there is room for another connection.
func (g *Governor) excess() int {
	excess := -1
	if g.cfg.MaxConnections > 0 {
		excess = g.counts.Held - g.cfg.MaxConnections
	}
	if g.cfg.MaxDescriptors > 0 {
		by := &g.counts.ByState
		excess = max(excess, g.counts.Held+by[StateBody]+by[StateProcessing]+by[StateAnswering]+2*g.cfg.MaxRefusals+g.others-g.cfg.MaxDescriptors)
	}
	return excess
}

// selectEvictable requests the close of up to need connections: first those that never sent anything, then
// those with a stalled head, then those idle for longer than MinIdle, in each case the longest first. It also
// returns the time until the next one may be closed; 0: unknown.
func (g *Governor) selectEvictable(now time.Duration, need int) (requested []*Entry, wait time.Duration) {
	for _, state := range []State{StateNew, StateHead, StateIdle} {
		for at := g.lists[state].Front(); at != nil && len(requested) < need; at = at.Next() {
			e := at.Value.(*Entry)
			if e.closeRequested {
				continue
			}
			remaining := e.since + g.evictableAfter(e) - now
			if remaining <= 0 {
				g.requestClose(e)
				requested = append(requested, e)
				continue
			}
			if wait == 0 || remaining < wait {
				wait = remaining
			}
			if state != StateHead || now-e.since < g.minStall() {
				break // all further ones entered this state later
			}
		}
	}
	return requested, wait
}

// AddOthers changes the number of descriptors that are in use besides those of the connections here and of the backends that
// they need. It requests the close of connections that exceed what is left for them.
func (g *Governor) AddOthers(delta int, now time.Duration) []*Entry {
	g.others += delta
	requested, _ := g.selectEvictable(now, g.excess()-g.makingRoom())
	return requested
}

// requestClose marks a connection as asked to close; its reader has to be woken to confirm it (ConfirmClose).
func (g *Governor) requestClose(e *Entry) {
	if !e.closeRequested {
		e.closeRequested = true
		g.counts.CloseRequested++
	}
}

// cancelCloseRequest withdraws the request to close a connection, if there is one.
func (g *Governor) cancelCloseRequest(e *Entry) {
	if e.closeRequested {
		e.closeRequested = false
		g.counts.CloseRequested--
	}
}

// RequestCloseOne selects one connection to close although the limit isn't reached, because the process is out
// of descriptors. It returns nil if none may be closed.
func (g *Governor) RequestCloseOne(now time.Duration) *Entry {
	if requested, _ := g.selectEvictable(now, 1); len(requested) > 0 {
		return requested[0]
	}
	return nil
}

// Open registers a connection that was admitted. since is when it was established, if nothing has arrived on it, or else now.
func (g *Governor) Open(since time.Duration, tag any) *Entry {
	if last := g.lists[StateNew].Back(); last != nil { // the backlog is in order, which the system's times are not within some milliseconds
		since = max(since, last.Value.(*Entry).since)
	}
	e := &Entry{Tag: tag, state: stateCount}
	g.counts.Held++
	g.counts.Accepted++
	g.move(e, StateNew, since)
	return e
}

// move puts a connection into state s, which it entered at since, and keeps that state's list in the order of these times.
func (g *Governor) move(e *Entry, s State, since time.Duration) {
	if e.state < stateCount {
		g.lists[e.state].Remove(e.element)
		g.counts.ByState[e.state]--
	}
	e.state, e.since = s, since
	before := g.lists[s].Back()
	for before != nil && before.Value.(*Entry).since > since {
		before = before.Prev()
	}
	if before == nil {
		e.element = g.lists[s].PushFront(e)
	} else {
		e.element = g.lists[s].InsertAfter(e, before)
	}
	g.counts.ByState[s]++
}

// BytesArrived records that bytes have been received, which arrived at the given time. It cancels a close request, and
// reports whether there was one.
func (g *Governor) BytesArrived(e *Entry, at time.Duration) (cancelled bool) {
	switch e.state {
	case StateNew, StateIdle, StateHead:
		cancelled = e.closeRequested
		g.cancelCloseRequest(e)
		if e.state != StateHead {
			e.headSince = at
		}
		g.move(e, StateHead, at)
	case StateProcessing, StateAnswering:
		e.pipelined = true
	}
	return cancelled
}

// PipelinedByte records a byte that came while a request of its connection was in progress, and so belongs to the next
// request. It returns false, and records nothing, if no request is in progress.
func (g *Governor) PipelinedByte(e *Entry) bool {
	if e.state != StateBody && e.state != StateProcessing && e.state != StateAnswering {
		return false
	}
	e.pipelined = true
	return true
}

// HeadRead records that the head of a request has been read: from now on only its answer ends the connection.
// The head may have arrived together with the previous request.
func (g *Governor) HeadRead(e *Entry, now time.Duration) {
	if e.state == StateNew || e.state == StateHead || e.state == StateIdle {
		g.cancelCloseRequest(e)
		g.move(e, StateBody, now)
	}
}

// Reserve reserves memory for a body. If it returns false the request is refused before it is processed.
func (g *Governor) Reserve(e *Entry, bytes int) bool {
	if g.cfg.MaxBodyReads > 0 && g.counts.ByState[StateBody] > g.cfg.MaxBodyReads {
		g.counts.BodiesRefused++
		return false
	}
	return g.ReserveArrived(e, bytes)
}

// ReserveArrived is Reserve for a body that has arrived whole: to read it takes no waiting, so that MaxBodyReads doesn't
// apply. Otherwise clients that never finish their bodies would have those of all others refused.
func (g *Governor) ReserveArrived(e *Entry, bytes int) bool {
	if e.state != StateBody || g.cfg.MaxBodyBytes > 0 && bytes > g.cfg.MaxBodyBytes-g.counts.ReservedBytes {
		g.counts.BodiesRefused++
		return false
	}
	e.reservedBytes += bytes
	g.counts.ReservedBytes += bytes
	return true
}

// ReserveExtra reserves more memory to hold a body that could be streamed instead. It leaves half of
// MaxBodyBytes to Reserve: otherwise a few long bodies would cause many short ones to be refused.
func (g *Governor) ReserveExtra(e *Entry, bytes int) bool {
	if g.cfg.MaxBodyBytes > 0 && bytes > g.cfg.MaxBodyBytes/2-g.counts.ReservedBytes {
		return false
	}
	return g.Reserve(e, bytes)
}

// ShrinkReservation releases what was reserved beyond the actual size of a body that has been read to its end.
func (g *Governor) ShrinkReservation(e *Entry, bytes int) {
	if excess := e.reservedBytes - bytes; excess > 0 {
		e.reservedBytes -= excess
		g.counts.ReservedBytes -= excess
	}
}

// BodyReadTimeout returns how long a request's body may stall before the request ends: 3 StallTimeouts, or one while a new
// connection waits for room.
func (g *Governor) BodyReadTimeout() time.Duration {
	if g.waiting {
		return g.cfg.StallTimeout
	}
	return 3 * g.cfg.StallTimeout
}

// RequestRead records that a whole request has been read.
func (g *Governor) RequestRead(e *Entry, now time.Duration) {
	if e.state == StateBody {
		g.move(e, StateProcessing, now)
	}
}

// BeginAnswer records that an answer is about to be written, and reports whether the connection is kept alive.
// Closing with an answer that says so is unambiguous to the client, so this is how room is made while many
// connections are idle: clients that send one request and stay connected would occupy them for MinIdle.
func (g *Governor) BeginAnswer(e *Entry, now time.Duration) (keep bool) {
	if e.state == StateBody || e.state == StateProcessing {
		g.move(e, StateAnswering, now)
	}
	manyIdle := g.cfg.MaxConnections > 0 && 2*g.counts.Held >= g.cfg.MaxConnections && 4*g.counts.ByState[StateIdle] >= g.cfg.MaxConnections
	recentlyWaited := g.everWaited && now-g.lastWaitAt < g.cfg.PressureTime
	return !g.draining && !g.waiting && !manyIdle && !recentlyWaited
}

// EndAnswer records that an answer has been written and its connection is kept alive. It reports whether the
// reader is to be woken because a close has been requested.
func (g *Governor) EndAnswer(e *Entry, now time.Duration) (wake bool) {
	if e.state != StateAnswering {
		return false
	}
	g.releaseBytes(e)
	e.served++
	if e.pipelined {
		e.pipelined, e.headSince = false, now
		g.move(e, StateHead, now)
		return false
	}
	g.move(e, StateIdle, now)
	if g.draining && !g.keepIdle {
		g.requestClose(e)
	}
	return e.closeRequested
}

// releaseBytes releases all memory reserved for the current request of a connection.
func (g *Governor) releaseBytes(e *Entry) {
	g.counts.ReservedBytes -= e.reservedBytes
	e.reservedBytes = 0
	g.ShrinkHead(e, 0)
}

// ReserveHead reserves memory for a head, of which more has arrived, so that bytes are reserved in all. If it returns false
// the request is refused, unprocessed.
func (g *Governor) ReserveHead(e *Entry, bytes int) bool {
	more := bytes - e.headBytes
	if e.state >= StateClosing || g.cfg.MaxHeadBytes > 0 && more > g.cfg.MaxHeadBytes-g.counts.HeadBytes {
		g.counts.HeadsRefused++
		return false
	}
	e.headBytes += more
	g.counts.HeadBytes += more
	return true
}

// ShrinkHead releases what was reserved for a head beyond that many bytes.
func (g *Governor) ShrinkHead(e *Entry, bytes int) {
	if excess := e.headBytes - bytes; excess > 0 {
		e.headBytes -= excess
		g.counts.HeadBytes -= excess
	}
}

// ConfirmClose is called by the reader of a connection whose close was requested, once it has checked that no
// more bytes have arrived. It reports whether the connection is to be closed now.
func (g *Governor) ConfirmClose(e *Entry, now time.Duration) bool {
	if !e.closeRequested || e.state != StateNew && e.state != StateHead && e.state != StateIdle {
		return false
	}
	g.counts.Evicted++
	g.close(e, now)
	return true
}

// Close records that a connection accepts no more requests; its descriptor stays counted until DescriptorFreed.
func (g *Governor) Close(e *Entry, now time.Duration) {
	if e.state < StateClosing {
		if e.state == StateAnswering {
			e.served++
			g.counts.EndedByAnswer++
		}
		g.close(e, now)
	}
}

// close puts a connection into StateClosing and releases what it had reserved or been asked.
func (g *Governor) close(e *Entry, now time.Duration) {
	g.cancelCloseRequest(e)
	g.releaseBytes(e)
	g.move(e, StateClosing, now)
}

// DescriptorFreed records that a connection's descriptor has been closed.
func (g *Governor) DescriptorFreed(e *Entry, now time.Duration) {
	if e.state == stateCount {
		return
	}
	g.Close(e, now)
	g.lists[StateClosing].Remove(e.element)
	g.counts.ByState[StateClosing]--
	g.counts.Held--
	e.state = stateCount
	if g.excess() < 0 {
		g.waiting = false
	}
}

// BeginRefusal records that a new connection is being refused; EndRefusal that its descriptor has been closed.
func (g *Governor) BeginRefusal() {
	g.counts.Refused++
	g.counts.Refusing++
}

// MaxFinalRefusals returns how many connections may be refused at a time once the listener closes. It then needs
// no free descriptors for new clients, so refusals may use them: up to finalRefusals, or MaxRefusals if that is
// more. The descriptors of open connections and of the backend connections that requests in progress need don't
// count as free.
func (g *Governor) MaxFinalRefusals() int {
	limit := max(g.cfg.MaxRefusals, finalRefusals)
	if by := &g.counts.ByState; g.cfg.MaxDescriptors > 0 {
		limit = min(limit, g.cfg.MaxDescriptors-g.others-g.counts.Held-by[StateBody]-by[StateProcessing]-by[StateAnswering])
	}
	return max(g.cfg.MaxRefusals, limit)
}

const finalRefusals = 64 // connections refused at a time while the listener closes, if that many descriptors are free

// EndRefusal ends a refusal that BeginRefusal began.
func (g *Governor) EndRefusal() { g.counts.Refusing-- }

// CloseAfterAnswers makes each answer end its connection from now on. Idle connections stay open: a request in
// transit on one is read and answered, where a close would race with it.
func (g *Governor) CloseAfterAnswers() { g.draining, g.keepIdle = true, true }

// Drain begins a planned stop: answers end their connections, and idle connections are asked to close. The
// readers of the returned connections are to be woken.
func (g *Governor) Drain(now time.Duration) []*Entry {
	g.draining, g.keepIdle = true, false
	return g.requestCloseAll(StateIdle, now)
}

// RecordUnreadClose counts a connection that is closed without an answer while bytes of its client are unread.
func (g *Governor) RecordUnreadClose() { g.counts.ClosedUnread++ }

// Finish ends a planned stop once nothing is accepted any more: connections that have sent nothing are asked to
// close as well, except those accepted within DrainGrace. Call it again after wait; 0: not needed.
func (g *Governor) Finish(now time.Duration) (requested []*Entry, wait time.Duration) {
	g.draining, g.keepIdle = true, false
	requested = append(g.requestCloseAll(StateIdle, now), g.requestCloseAll(StateNew, now-g.cfg.DrainGrace)...)
	if newest := g.lists[StateNew].Back(); newest != nil {
		wait = max(0, newest.Value.(*Entry).since+g.cfg.DrainGrace-now)
	}
	return requested, wait
}

// requestCloseAll requests the close of all connections that have been in a state since the given time or
// longer.
func (g *Governor) requestCloseAll(s State, since time.Duration) (requested []*Entry) {
	for at := g.lists[s].Front(); at != nil && at.Value.(*Entry).since <= since; at = at.Next() {
		if e := at.Value.(*Entry); !e.closeRequested {
			g.requestClose(e)
			requested = append(requested, e)
		}
	}
	return requested
}
