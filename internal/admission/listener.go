package admission

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lemonrail/internal/peek"
)

const (
	lingerTime  = 300 * time.Millisecond // for a client to read the last answer and to close
	lingerBytes = 256 << 10              // of what still comes in meanwhile
	lingerStep  = 10 * time.Millisecond  // of silence after which an answer that has arrived is left alone
	turnTime    = 100 * time.Millisecond // the same for one that is turned away
	turnBytes   = 64 << 10
	exhausted   = 50 * time.Millisecond // pause after an accept that found no descriptor free
	bodyChunk   = 16 << 10              // bytes of a body that are read with one deadline

	sweepStep = 10 * time.Millisecond  // without another connection in the backlog, after which a listener closes
	sweepMost = 100 * time.Millisecond // for all that lie there
)

// Listener accepts clients' connections as its Governor decides.
type Listener struct {
	net.Listener
	opened   func()        // called for each connection that came, with its descriptor held
	closed   func()        // and when it is free again
	room     func()        // called when descriptors have run out, to free some elsewhere
	turnAway []byte        // what a connection that is turned away gets
	start    time.Time     // zero of the Governor's clock
	freed    chan struct{} // says that a Newcomer may be decided on anew
	stopped  chan struct{}
	stop     sync.Once
	begun    atomic.Bool   // Accept has been called
	ended    chan struct{} // it returns nothing more
	end      sync.Once
	sweepBy  time.Time // set before stopped is closed
	turning  sync.WaitGroup
	lingers  atomic.Bool  // connections are given time to read their last answer
	ahead    atomic.Int64 // bytes taken in ahead of answers

	mu  sync.Mutex
	gov *Governor
}

// Hooks let the owner follow what descriptors are held. Each may be nil.
type Hooks struct {
	Opened func() // a connection has come
	Closed func() // its descriptor is free again
	Room   func() // descriptors have run out: free some that are kept for convenience
}

// Listen puts a Governor in front of a listener. Those that are turned away are told to come
// back after retryAfter; 0: not told when.
func Listen(ln net.Listener, cfg Config, retryAfter time.Duration, h Hooks) (*Listener, error) {
	gov, err := NewGovernor(cfg)
	if err != nil {
		return nil, err
	}
	nothing := func() {}
	l := &Listener{Listener: ln, gov: gov, opened: nothing, closed: nothing, room: nothing, start: time.Now(),
		freed: make(chan struct{}, 1), stopped: make(chan struct{}), ended: make(chan struct{}), turnAway: Refusal(http.StatusServiceUnavailable, retryAfter)}
	l.lingers.Store(true)
	if h.Opened != nil {
		l.opened = h.Opened
	}
	if h.Closed != nil {
		l.closed = h.Closed
	}
	if h.Room != nil {
		l.room = h.Room
	}
	return l, nil
}

// Refusal is a whole answer without a body that ends its connection. RetryAfter is left out where
// it is 0.
func Refusal(status int, retryAfter time.Duration) []byte {
	after := ""
	if retryAfter > 0 {
		after = "Retry-After: " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), after)
}

func (l *Listener) now() time.Duration { return time.Since(l.start) }

// Counts tells what is held now and what has passed.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gov.Counts()
}

// Resize puts other bounds in force.
func (l *Listener) Resize(cfg Config) error {
	l.mu.Lock()
	err := l.gov.Resize(cfg)
	l.mu.Unlock()
	l.wake()
	return err
}

// wake lets a waiting Accept look again.
func (l *Listener) wake() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// Accept returns the next connection for which there is room. It returns an error only when the
// listener is closed or broken: want of descriptors is waited out here, since net/http would
// sleep for up to a second on it.
func (l *Listener) Accept() (net.Conn, error) {
	l.begun.Store(true)
	for {
		until, sweeps := l.sweep()
		tries := !sweeps || time.Now().Before(until)
		nc, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && (!sweeps || !tries && time.Now().Before(l.sweepBy)) {
				continue // the listener is to close: a last look
			}
			if !outOfDescriptors(err) || sweeps && !time.Now().Before(l.sweepBy) {
				l.end.Do(func() { close(l.ended) })
				if sweeps {
					err = net.ErrClosed
				}
				return nil, err
			}
			l.room()
			l.mu.Lock()
			e := l.gov.Shed(l.now())
			l.mu.Unlock()
			if e != nil {
				e.Tag.(*Conn).rouse()
			}
			if !l.wait(exhausted) {
				time.Sleep(sweepStep)
			}
			continue
		}
		l.opened()
		if c := l.admit(nc); c != nil {
			return c, nil
		}
	}
}

// sweep bounds the next accept of a listener that is to close: what lies in its backlog has been accepted by this machine,
// and is owed an answer.
func (l *Listener) sweep() (until time.Time, sweeps bool) {
	select {
	case <-l.stopped:
	default:
		return time.Time{}, false
	}
	until = time.Now().Add(sweepStep)
	if until.After(l.sweepBy) {
		until = l.sweepBy
	}
	l.wakeAccept(until)
	return until, true
}

// wakeAccept has an Accept return by a time, where the listener can.
func (l *Listener) wakeAccept(by time.Time) bool {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(by) == nil
}

// outOfDescriptors reports whether accepting failed for want of something that comes back.
func outOfDescriptors(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// admit waits until there is room for nc; nil: it was turned away, or the listener has closed.
func (l *Listener) admit(nc net.Conn) *Conn {
	for {
		l.mu.Lock()
		v := l.gov.Newcomer(l.now())
		var c *Conn
		switch {
		case v.Admit:
			c = &Conn{Conn: nc, l: l, gone: make(chan struct{})}
			c.e = l.gov.Open(l.now(), c)
		case v.TurnAway:
			l.gov.Turn()
		}
		l.mu.Unlock()
		for _, e := range v.Ask {
			e.Tag.(*Conn).rouse()
		}
		switch {
		case c != nil:
			return c
		case v.TurnAway:
			l.turning.Go(func() { l.turn(nc) })
			return nil
		}
		if !l.wait(v.Wait) { // the listener closes: what was accepted gets its word all the same
			l.mu.Lock()
			l.gov.Turn()
			few := l.gov.counts.TurnedNow <= l.gov.LastSpare()
			l.mu.Unlock()
			if few {
				l.turning.Go(func() { l.turn(nc) })
			} else {
				l.turn(nc)
			}
			return nil
		}
	}
}

// wait pauses accepting until something has closed, or for so long. It reports whether the
// listener is still open.
func (l *Listener) wait(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-l.freed:
	case <-t.C:
	case <-l.stopped:
		return false
	}
	return true
}

// turn gives a newcomer for which there is no room a short refusal. Its request, if one comes, is
// not looked at.
func (l *Listener) turn(nc net.Conn) {
	nc.SetWriteDeadline(time.Now().Add(turnTime))
	if _, err := nc.Write(l.turnAway); err == nil {
		linger(nc, turnTime, turnBytes)
	}
	nc.Close()
	l.mu.Lock()
	l.gov.Turned()
	l.mu.Unlock()
	l.closed()
	l.wake()
}

// linger ends the writing side and takes in what still comes, up to a bound: until the client
// closes, or has the whole answer and has been silent for a moment. Guards against a close with
// unread bytes, which becomes a reset that can destroy the answer just written. RFC 9112, section
// 9.6.
func linger(nc net.Conn, d time.Duration, bytes int) {
	half, ok := nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	buf := make([]byte, 4<<10)
	for end := time.Now().Add(d); bytes > 0 && time.Now().Before(end); {
		nc.SetReadDeadline(time.Now().Add(lingerStep))
		n, err := nc.Read(buf)
		bytes -= n
		if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || peek.Unsent(nc) == 0) {
			return
		}
	}
}

// Close ends accepting, once what lies in the backlog has been taken in. Connections go on. Guards against those that are
// reset with their requests unread, since the loop that accepts was behind or waited for room.
func (l *Listener) Close() error {
	l.stop.Do(func() {
		l.sweepBy = time.Now().Add(sweepMost)
		close(l.stopped)
		if l.begun.Load() && l.wakeAccept(time.Now().Add(sweepStep)) {
			select {
			case <-l.ended:
			case <-time.After(sweepMost + sweepStep):
			}
		}
	})
	return l.Listener.Close()
}

// Leave ends accepting, where another process goes on with it, and has each answer end its connection. What
// was accepted is served; idle connections stay until Drain.
func (l *Listener) Leave() {
	l.mu.Lock()
	l.gov.Last()
	l.mu.Unlock()
	l.Listener.Close()
}

// Drain begins a planned stop: each answer ends its connection, and idle ones are closed.
func (l *Listener) Drain() {
	l.rouseAll(func(g *Governor, now time.Duration) []*Entry { return g.Drain(now) })
}

// Finish closes the listener, lets the connections on which nothing has come go as well, and
// waits until none is held or ctx ends; it returns how many are left then.
func (l *Listener) Finish(ctx context.Context) int {
	l.Close()
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		l.turning.Wait()
	}()
	<-idle // bounded by turnTime
	for {
		var wait time.Duration
		l.rouseAll(func(g *Governor, now time.Duration) (ask []*Entry) {
			ask, wait = g.Finish(now)
			return ask
		})
		held := l.Counts().Held
		if held == 0 {
			return 0
		}
		var again <-chan time.Time
		if wait > 0 {
			again = time.After(wait)
		}
		select {
		case <-l.freed:
		case <-again:
		case <-ctx.Done():
			l.lingers.Store(false)
			return held
		}
	}
}

func (l *Listener) rouseAll(which func(*Governor, time.Duration) []*Entry) {
	l.mu.Lock()
	ask := which(l.gov, l.now())
	l.mu.Unlock()
	for _, e := range ask {
		e.Tag.(*Conn).rouse()
	}
}

// Conn is a client's connection. What net/http reads from it and the states it reports tell the
// Governor what the connection is doing.
type Conn struct {
	net.Conn
	l *Listener
	e *Entry // guarded by l.mu

	mu       sync.Mutex
	deadline time.Time // for reads, as the server has set it
	roused   bool      // the deadline in force is past, to wake the reader
	head     []byte    // what has come of the next head
	headless bool      // what comes is none of it
	ahead    *ahead    // takes in what comes while a request is in hand; nil: nothing does
	early    []byte    // what it took in
	earlyErr error     // and how the client's side ended meanwhile
	gone     chan struct{}

	got   atomic.Bool // something of a request has come
	wrote atomic.Bool // something of its answer has gone out
	gave  atomic.Bool // it gave way in the middle of a request, and has said so
	ended atomic.Bool // the client's side has ended, or is broken
	shut  sync.Once
}

// decide runs f on the Governor with the connection's entry.
func (c *Conn) decide(f func(g *Governor, e *Entry, now time.Duration)) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	f(c.l.gov, c.e, c.l.now())
}

// rouse wakes the reader, which then sees whether the connection gives way.
func (c *Conn) rouse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roused = true
	c.inForce()
}

// inForce has the connection's deadline for reads be what it is to be. It is called with the lock held.
func (c *Conn) inForce() error {
	at := c.deadline
	if c.roused {
		at = longAgo
	}
	if c.ahead != nil {
		select {
		case <-c.ahead.stop:
			at = longAgo
		default:
		}
	}
	return c.Conn.SetReadDeadline(at)
}

var longAgo = time.Unix(1, 0)

// calm puts the server's own deadline back in force.
func (c *Conn) calm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.roused {
		c.roused = false
		c.inForce()
	}
}

// SetReadDeadline keeps a reader awake that has been roused.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.inForce()
}

// SetDeadline bounds reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// errGaveWay ends the reads of a connection that has given way. It is a net.Error itself, since
// net/http unwraps nothing and would answer any other error with a 400.
var errGaveWay net.Error = gaveWay{}

type gaveWay struct{}

func (gaveWay) Error() string   { return "admission: gave way" }
func (gaveWay) Timeout() bool   { return true }
func (gaveWay) Temporary() bool { return true }
func (gaveWay) Unwrap() error   { return os.ErrDeadlineExceeded }

// Read reads for the server, and gives way where the Governor has asked for it and nothing has
// come. It runs in the goroutine that reads requests, and in net/http's background read while a
// request is in hand: the Governor tells them apart by the state.
func (c *Conn) Read(p []byte) (int, error) {
	c.endAhead()
	for {
		n, early, err := c.takeEarly(p)
		if !early {
			n, err = c.Conn.Read(p)
		}
		if n > 0 {
			c.keepHead(p[:n])
			c.got.Store(true)
			inHand := false
			c.decide(func(g *Governor, e *Entry, now time.Duration) {
				if inHand = len(p) == 1 && g.Early(e); !inHand {
					g.Arrived(e, now)
				}
			})
			c.calm()
			if inHand && err == nil { // net/http's look at whether the client leaves ends with this byte
				c.lookAhead()
			}
			return n, err
		}
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.ended.Store(true)
			return n, err
		}
		c.mu.Lock()
		over := !c.deadline.IsZero() && !c.deadline.After(time.Now())
		roused := c.roused
		c.mu.Unlock()
		c.l.mu.Lock()
		between := c.e.state == New || c.e.state == Idle
		c.l.mu.Unlock()
		// Guards against bytes that came in the same instant as the deadline: a read past its
		// deadline doesn't look for them, and a close would drop a request that is there.
		if (over && between || roused) && peek.Look(c.Conn) == peek.Waiting {
			c.decide(func(g *Governor, e *Entry, now time.Duration) { g.Arrived(e, now) })
			c.again(over && between)
			continue
		}
		if over {
			return 0, err // between requests or within one, its time is up
		}
		if !roused {
			continue // was calmed meanwhile
		}
		gone := false
		c.decide(func(g *Governor, e *Entry, now time.Duration) { gone = g.Yield(e, now) })
		if gone {
			if c.got.Load() { // part of a request: none of it has run, and it may come again
				c.Write(c.l.turnAway)
				c.gave.Store(true)
			}
			return 0, errGaveWay
		}
		c.calm()
	}
}

// again gives a reader whose deadline crossed with bytes the time to take them.
func (c *Conn) again(over bool) {
	if over {
		c.mu.Lock()
		c.deadline = time.Now().Add(crossing)
		c.roused = false
		c.inForce()
		c.mu.Unlock()
		return
	}
	c.calm()
}

// crossing is the time in which a request is to be read whose first bytes came in the instant in
// which its connection would have been closed. A server sets its own once it has seen them.
const crossing = 500 * time.Millisecond

// Write passes on what the server writes. Guards against a second answer: net/http takes a line
// that was cut short for a whole one, and answers a connection that gave way in it with a 400.
func (c *Conn) Write(p []byte) (int, error) {
	if c.gave.Load() {
		return len(p), nil
	}
	c.wrote.Store(true)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.ended.Store(true)
	}
	return n, err
}

// CloseWrite ends the writing side, for a server that closes in two steps.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close ends the connection so that the client can't mistake it: one that began a request and did
// not go on gets a 408, an answer already written is left time to be read. It may wait for
// lingerTime.
func (c *Conn) Close() error {
	var err error
	c.shut.Do(func() {
		c.endAhead()
		var was State
		c.decide(func(g *Governor, e *Entry, now time.Duration) { was = e.state; g.Close(e, now) })
		if !c.ended.Load() && c.l.lingers.Load() {
			if c.got.Load() && !c.wrote.Load() && was != InHand {
				c.Write(Refusal(http.StatusRequestTimeout, 0))
			}
			if c.wrote.Load() { // else nothing has gone out lately that a reset could destroy
				c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
				linger(c.Conn, lingerTime, lingerBytes)
			}
		}
		err = c.Conn.Close()
		c.decide(func(g *Governor, e *Entry, now time.Duration) { g.Gone(e, now) })
		c.l.closed()
		c.l.wake()
	})
	return err
}

// Reserve asks for room for a body of so many bytes; without it the request is to be refused.
func (c *Conn) Reserve(bytes int) (ok bool) {
	c.decide(func(g *Governor, e *Entry, _ time.Duration) { ok = g.Reserve(e, bytes) })
	return ok
}

// Hold asks for more, where the rest of the body could be streamed as well.
func (c *Conn) Hold(bytes int) (ok bool) {
	c.decide(func(g *Governor, e *Entry, _ time.Duration) { ok = g.Hold(e, bytes) })
	return ok
}

// Settle notes how long the whole body is.
func (c *Conn) Settle(bytes int) {
	c.decide(func(g *Governor, e *Entry, _ time.Duration) { g.Settle(e, bytes) })
}

// Taken notes that a whole request has been read.
func (c *Conn) Taken() {
	c.keepHeads()
	c.decide((*Governor).Taken)
}

// Answer notes that an answer is about to be written and reports whether the connection is kept;
// if not, the answer must say that it is the last.
func (c *Conn) Answer() (keep bool) {
	c.keepHeads()
	c.decide(func(g *Governor, e *Entry, now time.Duration) { keep = g.Answer(e, now) })
	return keep
}

// ReadBody reads a part of a request's body, until a time; a client that sends nothing for a while is given up
// sooner.
func (c *Conn) ReadBody(body io.Reader, buf []byte, until time.Time) (int, error) {
	var stall time.Duration
	c.decide(func(g *Governor, _ *Entry, _ time.Duration) { stall = g.Stall() })
	if next := time.Now().Add(stall); next.Before(until) {
		until = next
	}
	if err := c.SetReadDeadline(until); err != nil {
		return 0, err
	}
	return body.Read(buf[:min(len(buf), bodyChunk)])
}

const headMost = 20 << 10 // bytes of a head that are kept as they came

// keepHead keeps what comes before a head is whole.
func (c *Conn) keepHead(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.headless && len(c.head) < headMost {
		c.head = append(c.head, p[:min(len(p), headMost-len(c.head))]...)
	}
}

// TakeHead returns the bytes of the head that has been read, with what came behind it, as they came. Nothing is
// kept then until the request has been taken or answered.
func (c *Conn) TakeHead() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	head := c.head
	c.head, c.headless = nil, true
	return head
}

func (c *Conn) keepHeads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headless = false
}

type connKey struct{}

// Context lets a handler find its connection. It is to be the server's ConnContext.
func Context(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// Of returns the connection of a handler's request. The server must have got it from a Listener.
func Of(ctx context.Context) *Conn { return ctx.Value(connKey{}).(*Conn) }

// StateChanged follows net/http's states. It is to be the server's ConnState.
func StateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		// The head has been read, or can't be: net/http tells so only then.
		c.decide((*Governor).HeadWhole)
		c.calm()
	case http.StateIdle:
		c.wrote.Store(false)
		wake := false
		c.decide(func(g *Governor, e *Entry, now time.Duration) {
			wake = g.Answered(e, now)
			c.got.Store(e.state == Head) // bytes that came early are the next request's
		})
		if wake {
			c.rouse()
		}
	}
}
