package admission

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lemonrail/internal/accept"
	"lemonrail/internal/arrival"
	"lemonrail/internal/connstate"
)

const (
	lingerTime         = 300 * time.Millisecond // after the last answer: for a client to read it and to close
	lingerBytes        = 256 << 10              // maximum bytes received and discarded in that time
	lingerPoll         = 10 * time.Millisecond  // silence of the client after which a fully delivered answer needs no more lingering
	refusalLingerTime  = 100 * time.Millisecond // instead of lingerTime, for a refused connection
	refusalLingerBytes = 64 << 10               // instead of lingerBytes, for a refused connection

	backlogIdleTime = 10 * time.Millisecond  // a listener closes after this long without a connection in its backlog
	maxBacklogDrain = 100 * time.Millisecond // limit on accepting the whole backlog before closing
)

// Listener accepts client connections as its Governor decides.
type Listener struct {
	net.Listener
	opened          func()        // called for each accepted connection, while it holds a descriptor
	closed          func()        // called when that descriptor has been closed
	freeDescriptors func()        // called when the process is out of descriptors, to free some elsewhere
	refusal         []byte        // the answer for a refused connection
	start           time.Time     // zero of the Governor's clock
	freed           chan struct{} // signals Accept and Finish that a connection has closed, one that was to close stays, or the limits have changed
	stopped         chan struct{} // closed when the listener begins to close
	stopOnce        sync.Once
	accepting       atomic.Bool    // Accept has been called
	acceptEnded     chan struct{}  // closed when Accept returns no more connections
	endOnce         sync.Once      // for closing acceptEnded
	drainDeadline   time.Time      // end of accepting the backlog; set before stopped is closed
	refusals        sync.WaitGroup // goroutines that refuse connections
	lingerEnabled   atomic.Bool    // closing waits for clients to read their last answer
	readAheadBytes  atomic.Int64   // bytes that all connections have read ahead and the server has not read yet
	mu              sync.Mutex     // guards governor and each Conn.entry
	governor        *Governor
}

// Hooks notify the owner about descriptors. Each may be nil.
type Hooks struct {
	Opened          func() // a connection was accepted
	Closed          func() // its descriptor has been closed
	FreeDescriptors func() // the process is out of descriptors: close connections that are kept only for reuse
}

// Listen wraps a listener with a Governor. Refused clients are told to retry after retryAfter; 0 omits the
// time.
func Listen(ln net.Listener, cfg Config, retryAfter time.Duration, h Hooks) (*Listener, error) {
	gov, err := NewGovernor(cfg)
	if err != nil {
		return nil, err
	}
	nothing := func() {}
	l := &Listener{Listener: ln, governor: gov, opened: nothing, closed: nothing, freeDescriptors: nothing, start: time.Now(),
		freed: make(chan struct{}, 1), stopped: make(chan struct{}), acceptEnded: make(chan struct{}), refusal: RefusalResponse(http.StatusServiceUnavailable, retryAfter)}
	l.lingerEnabled.Store(true)
	if h.Opened != nil {
		l.opened = h.Opened
	}
	if h.Closed != nil {
		l.closed = h.Closed
	}
	if h.FreeDescriptors != nil {
		l.freeDescriptors = h.FreeDescriptors
	}
	return l, nil
}

// RefusalResponse returns a whole HTTP answer without a body that ends its connection. A retryAfter of 0 omits
// the Retry-After header.
func RefusalResponse(status int, retryAfter time.Duration) []byte {
	after := ""
	if retryAfter > 0 {
		after = "Retry-After: " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), after)
}

// now returns the time on the Governor's clock, which begins with the Listener.
func (l *Listener) now() time.Duration { return time.Since(l.start) }

// at converts a time to the Governor's clock.
func (l *Listener) at(t time.Time) time.Duration { return t.Sub(l.start) }

// Counts returns the Governor's counts of connections.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.governor.Counts()
}

// Resize replaces the Governor's limits. Accept and Finish check again whether there is room.
func (l *Listener) Resize(cfg Config) error {
	l.mu.Lock()
	err := l.governor.Resize(cfg)
	l.mu.Unlock()
	l.signalFreed()
	return err
}

// signalFreed makes a waiting Accept or Finish check again.
func (l *Listener) signalFreed() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// Accept returns the next connection for which there is room. It returns an error only when the listener is
// closed or broken: when the process is out of descriptors it waits itself, since net/http would sleep for up
// to 1 s.
func (l *Listener) Accept() (net.Conn, error) {
	l.accepting.Store(true)
	for {
		until, draining := l.boundBacklogAccept()
		beforeDeadline := !draining || time.Now().Before(until)
		nc, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && (!draining || !beforeDeadline && time.Now().Before(l.drainDeadline)) {
				continue // the listener is closing: accept what is left in the backlog
			}
			if !accept.IsPassing(err) || draining && !time.Now().Before(l.drainDeadline) {
				l.endOnce.Do(func() { close(l.acceptEnded) })
				if draining {
					err = net.ErrClosed
				}
				return nil, err
			}
			l.FreeDescriptor()
			if !l.wait(accept.RetryPause) {
				time.Sleep(backlogIdleTime)
			}
			continue
		}
		l.opened()
		if c := l.admit(nc); c != nil {
			return c, nil
		}
	}
}

// FreeDescriptor closes a connection that is kept for reuse and one of a client that may be closed, because the process is out
// of descriptors.
func (l *Listener) FreeDescriptor() {
	l.freeDescriptors()
	l.mu.Lock()
	e := l.governor.RequestCloseOne(l.now())
	l.mu.Unlock()
	if e != nil {
		e.Tag.(*Conn).wake()
	}
}

// AddOthers changes the number of descriptors that are held besides those of this listener's connections and of the
// connections to backends that their requests need. Clients are closed where these need the room.
func (l *Listener) AddOthers(delta int) {
	l.wakeAll(func(g *Governor, now time.Duration) []*Entry { return g.AddOthers(delta, now) })
	if delta < 0 {
		l.signalFreed()
	}
}

// HasRoom reports whether the limits are kept.
func (l *Listener) HasRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.governor.excess() <= 0
}

// boundBacklogAccept bounds the next accept of a listener that is closing: until is when it ends without a
// connection. The kernel has already accepted the connections in the backlog, so each of them must be answered.
func (l *Listener) boundBacklogAccept() (until time.Time, draining bool) {
	if !l.isStopped() {
		return time.Time{}, false
	}
	until = time.Now().Add(backlogIdleTime)
	if until.After(l.drainDeadline) {
		until = l.drainDeadline
	}
	l.wakeAccept(until)
	return until, true
}

// isStopped reports whether the listener has begun to close.
func (l *Listener) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

// wakeAccept makes a blocked Accept return by the given time, if the listener supports deadlines.
func (l *Listener) wakeAccept(by time.Time) bool {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(by) == nil
}

// admit waits until there is room for nc. It returns nil if nc was refused or the listener has closed.
func (l *Listener) admit(nc net.Conn) *Conn {
	for {
		decide := (*Governor).Decide
		if !l.isStopped() && l.isOverdue(nc) {
			decide = (*Governor).DecideOverdue
		}
		since := l.newSince(nc)
		l.mu.Lock()
		decision := decide(l.governor, l.now())
		var c *Conn
		switch {
		case decision.Admit:
			c = &Conn{Conn: nc, listener: l, clientGone: make(chan struct{})}
			c.entry = l.governor.Open(since, c)
		case decision.Refuse || decision.Drop:
			l.governor.BeginRefusal()
		}
		l.mu.Unlock()
		for _, e := range decision.RequestClose {
			e.Tag.(*Conn).wake()
		}
		switch {
		case c != nil:
			return c
		case decision.Refuse:
			l.refusals.Go(func() { l.refuse(nc) })
			return nil
		case decision.Drop:
			l.closeRefused(nc)
			return nil
		}
		if !l.wait(decision.Wait) { // the listener is closing: an accepted connection is still answered
			l.mu.Lock()
			l.governor.BeginRefusal()
			belowLimit := l.governor.counts.Refusing <= l.governor.MaxFinalRefusals()
			l.mu.Unlock()
			if belowLimit {
				l.refusals.Go(func() { l.refuse(nc) })
			} else {
				l.refuse(nc)
			}
			return nil
		}
	}
}

// wait pauses accepting until a connection has closed, or for d. It reports whether the listener is still open.
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

// refuse sends a short refusal to a new connection for which there is no room, and closes it. A request on it
// is not parsed.
func (l *Listener) refuse(nc net.Conn) {
	nc.SetWriteDeadline(time.Now().Add(refusalLingerTime))
	if _, err := nc.Write(l.refusal); err == nil {
		linger(nc, refusalLingerTime, refusalLingerBytes)
	}
	l.closeRefused(nc)
}

// closeRefused closes a connection that was not admitted.
func (l *Listener) closeRefused(nc net.Conn) {
	nc.Close()
	l.mu.Lock()
	l.governor.EndRefusal()
	l.mu.Unlock()
	l.closed()
	l.signalFreed()
}

// linger closes the writing side and discards what still arrives, up to bytes and d: until the client closes,
// or has received the whole answer and is silent for lingerPoll. Closing with unread bytes would send a reset,
// which can destroy the answer just written (RFC 9112, section 9.6).
func linger(nc net.Conn, d time.Duration, bytes int) {
	closer, ok := nc.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		return
	}
	buf := make([]byte, 4<<10)
	for end := time.Now().Add(d); bytes > 0 && time.Now().Before(end); {
		nc.SetReadDeadline(time.Now().Add(lingerPoll))
		n, err := nc.Read(buf)
		bytes -= n
		if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || connstate.UnackedBytes(nc) == 0) {
			return
		}
	}
}

// Close stops accepting after the backlog has been accepted; open connections continue. Without that,
// connections in the backlog would be reset with their requests unread when the accept loop is late or waits
// for room.
func (l *Listener) Close() error {
	l.stopOnce.Do(func() {
		l.drainDeadline = time.Now().Add(maxBacklogDrain)
		close(l.stopped)
		if l.accepting.Load() && l.wakeAccept(time.Now().Add(backlogIdleTime)) {
			select {
			case <-l.acceptEnded:
			case <-time.After(maxBacklogDrain + backlogIdleTime):
			}
		}
	})
	return l.Listener.Close()
}

// StopAccepting stops accepting when another process accepts on the same address, and makes each answer end its
// connection. Accepted connections are served; idle connections stay open until Drain.
func (l *Listener) StopAccepting() {
	l.mu.Lock()
	l.governor.CloseAfterAnswers()
	l.mu.Unlock()
	l.Listener.Close()
}

// Drain begins a planned stop: each answer ends its connection, and idle connections are closed.
func (l *Listener) Drain() {
	l.wakeAll(func(g *Governor, now time.Duration) []*Entry { return g.Drain(now) })
}

// Finish closes the listener, closes the connections that have sent nothing, and waits until none is open or
// ctx ends. It returns the number of connections that are still open.
func (l *Listener) Finish(ctx context.Context) int {
	l.Close()
	l.awaitAcceptEnd(ctx)
	refused := make(chan struct{})
	go func() {
		defer close(refused)
		l.refusals.Wait()
	}()
	<-refused // takes refusalLingerTime at most
	for {
		var wait time.Duration
		l.wakeAll(func(g *Governor, now time.Duration) (requested []*Entry) {
			requested, wait = g.Finish(now)
			return requested
		})
		held := l.Counts().Held
		if held == 0 {
			return 0
		}
		var retry <-chan time.Time
		if wait > 0 {
			retry = time.After(wait)
		}
		select {
		case <-l.freed:
		case <-retry:
		case <-ctx.Done():
			l.lingerEnabled.Store(false)
			return held
		}
	}
}

// awaitAcceptEnd waits until Accept returns no more connections, or ctx ends. Without this wait a connection that has been
// accepted, but not admitted yet, would not count as open, and would be reset by the end of the process or of the server.
func (l *Listener) awaitAcceptEnd(ctx context.Context) {
	if !l.accepting.Load() {
		return
	}
	select {
	case <-l.acceptEnded:
	case <-ctx.Done():
	}
}

// wakeAll calls request, which asks the Governor to request the close of connections, and wakes the readers of the
// connections that request returns.
func (l *Listener) wakeAll(request func(*Governor, time.Duration) []*Entry) {
	l.mu.Lock()
	requested := request(l.governor, l.now())
	l.mu.Unlock()
	for _, e := range requested {
		e.Tag.(*Conn).wake()
	}
}

// Conn is a client connection. It derives the connection's state for the Governor from net/http's reads and
// from the states that net/http reports.
type Conn struct {
	net.Conn
	listener *Listener
	entry    *Entry // guarded by listener.mu

	mu           sync.Mutex
	deadline     time.Time     // for reads, as set by the server
	woken        bool          // the socket has a past read deadline, to wake the reader
	head         []byte        // raw bytes received of the head that is being read; see TakeHead
	headMeter    headMeter     // counts the head that is being read
	ignoreHead   bool          // received bytes don't belong to a head but to the body of the request whose head was taken
	readWithHead int           // bytes that had been read behind the head when it was taken
	readAhead    *readAhead    // reads while a request is being processed; nil: not running
	buffered     []byte        // bytes that readAhead has received
	bufferedErr  error         // the error with which the client's side ended during readAhead
	clientGone   chan struct{} // closed when readAhead sees the client's side end
	bodyWait     bodyWait      // how long reads of a body have waited for the client
	arrivals     arrival.Log   // when the bytes arrived that were read from the socket
	delivered    int64         // bytes that the server has read
	requestEnd   int64         // those of them that came before or with the current request

	receivedBytes atomic.Bool // part of a request has been received
	wroteAnswer   atomic.Bool // part of its answer has been written
	evicted       atomic.Bool // it was evicted within a request, and the refusal has been written
	readsEnded    atomic.Bool // Read has returned errEvicted
	clientEnded   atomic.Bool // the client's side has ended or failed
	closeOnce     sync.Once
}

// withGovernor calls f with the Governor locked, the connection's entry and the current time.
func (c *Conn) withGovernor(f func(g *Governor, e *Entry, now time.Duration)) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	f(c.listener.governor, c.entry, c.listener.now())
}

// wake interrupts the reader, which then checks whether the connection is to be closed.
func (c *Conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = true
	c.applyDeadline()
}

// applyDeadline sets the socket's read deadline from the connection's fields. The caller holds c.mu.
func (c *Conn) applyDeadline() error {
	at := c.deadline
	if c.woken {
		at = pastDeadline
	}
	if c.readAhead != nil {
		select {
		case <-c.readAhead.stop:
			at = pastDeadline
		default:
		}
	}
	return c.Conn.SetReadDeadline(at)
}

var pastDeadline = time.Unix(1, 0) // a deadline that interrupts a read at once

// restoreDeadline puts the server's own deadline back in force after wake.
func (c *Conn) restoreDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.woken {
		c.woken = false
		c.applyDeadline()
	}
}

// SetReadDeadline sets the server's read deadline. A reader that is being woken is still interrupted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

// SetDeadline sets the deadlines for reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// errEvicted ends the reads of an evicted connection. It implements net.Error directly because net/http doesn't
// unwrap errors and would answer any other error with a 400.
var errEvicted net.Error = evictedError{}

// evictedError is the type of errEvicted: a timeout for net/http.
type evictedError struct{}

func (evictedError) Error() string   { return "admission: connection closed to make room" }
func (evictedError) Timeout() bool   { return true }
func (evictedError) Temporary() bool { return true }
func (evictedError) Unwrap() error   { return os.ErrDeadlineExceeded }

// Read reads for the server, and ends with errEvicted if the Governor has requested a close and nothing has
// arrived, as do all reads after it: the parser of heads swallows an error between two lines and reads on. It is called by the goroutine that reads requests and by net/http's background read while a request
// is being processed; the Governor distinguishes them by the state.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readsEnded.Load() {
		return 0, errEvicted
	}
	n, err := c.readOrEvict(p)
	if err == errEvicted {
		c.readsEnded.Store(true)
	}
	return n, err
}

// readOrEvict does what Read does, once.
func (c *Conn) readOrEvict(p []byte) (int, error) {
	c.stopReadAhead()
	for {
		n, fromBuffer, err := c.readBuffered(p)
		if !fromBuffer {
			n, err = c.readSocket(p)
		}
		if n > 0 {
			arrived := c.listener.at(c.recordRead(n, fromBuffer))
			c.captureHead(p[:n])
			c.receivedBytes.Store(true)
			pipelined, stays := false, false
			c.withGovernor(func(g *Governor, e *Entry, _ time.Duration) {
				if pipelined = len(p) == 1 && g.PipelinedByte(e); !pipelined {
					stays = g.BytesArrived(e, arrived)
				}
			})
			if !pipelined {
				c.requestContinues()
			}
			if stays { // Accept may wait for its room
				c.listener.signalFreed()
			}
			c.restoreDeadline()
			if !c.reserveHead() {
				return 0, errEvicted
			}
			if pipelined && err == nil { // net/http's background read, which detects that the client leaves, ends with this byte
				c.startReadAhead()
			}
			return n, err
		}
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.clientEnded.Store(true)
			return n, err
		}
		c.mu.Lock()
		expired := !c.deadline.IsZero() && !c.deadline.After(time.Now())
		woken := c.woken
		c.mu.Unlock()
		c.listener.mu.Lock()
		betweenRequests := c.entry.state == StateNew || c.entry.state == StateIdle
		c.listener.mu.Unlock()
		// A read past its deadline doesn't look for bytes that arrived at the same moment: without this check a
		// close would drop a request that has arrived.
		if (expired && betweenRequests || woken) && connstate.Inspect(c.Conn) == connstate.Readable {
			c.withGovernor(func(g *Governor, e *Entry, now time.Duration) { g.BytesArrived(e, now) })
			c.retryRead(expired && betweenRequests)
			continue
		}
		if expired {
			return 0, err // the server's deadline has passed
		}
		if !woken {
			continue // the deadline has been restored meanwhile
		}
		closing := false
		c.withGovernor(func(g *Governor, e *Entry, now time.Duration) { closing = g.ConfirmClose(e, now) })
		if closing {
			if c.receivedBytes.Load() { // part of a request: it wasn't processed, so the client may retry it
				c.Write(c.listener.refusal)
				c.evicted.Store(true)
			}
			return 0, errEvicted
		}
		c.restoreDeadline()
	}
}

// retryRead extends the deadline for a reader whose deadline passed while bytes arrived.
func (c *Conn) retryRead(expired bool) {
	if expired {
		c.mu.Lock()
		c.deadline = time.Now().Add(lateRequestTimeout)
		c.woken = false
		c.applyDeadline()
		c.mu.Unlock()
		return
	}
	c.restoreDeadline()
}

// lateRequestTimeout is the time for reading a request whose first bytes arrived just as its connection would
// have been closed. The server sets its own deadline once it has seen them.
const lateRequestTimeout = 500 * time.Millisecond

// Write passes on what the server writes, but discards it after an eviction: net/http takes a truncated
// request line for a complete one and would answer it with a 400, a second answer behind the refusal.
func (c *Conn) Write(p []byte) (int, error) {
	if c.evicted.Load() {
		return len(p), nil
	}
	c.wroteAnswer.Store(true)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.clientEnded.Store(true)
	}
	return n, err
}

// CloseWrite closes the writing side, for a server that closes in two steps.
func (c *Conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the connection such that the client knows the outcome: an incomplete request gets a 408, and an
// answer already written is left time to be read. It may block for lingerTime.
func (c *Conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		c.stopReadAhead()
		c.dropBuffered()
		var previous State
		c.withGovernor(func(g *Governor, e *Entry, now time.Duration) { previous = e.state; g.Close(e, now) })
		if !c.clientEnded.Load() && c.listener.lingerEnabled.Load() {
			if c.receivedBytes.Load() && !c.wroteAnswer.Load() && previous != StateProcessing {
				c.Write(RefusalResponse(http.StatusRequestTimeout, 0))
			}
			if c.wroteAnswer.Load() { // otherwise there is no recent answer that a reset could destroy
				c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
				linger(c.Conn, lingerTime, lingerBytes)
			}
		}
		unread, _ := c.UnreadBytes()
		err = c.Conn.Close()
		c.withGovernor(func(g *Governor, e *Entry, now time.Duration) {
			if unread > 0 && !c.wroteAnswer.Load() {
				g.RecordUnreadClose()
			}
			g.DescriptorFreed(e, now)
		})
		c.listener.closed()
		c.listener.signalFreed()
	})
	return err
}

// RequestRead records that a whole request has been read.
func (c *Conn) RequestRead() {
	c.resumeHeadCapture()
	c.withGovernor((*Governor).RequestRead)
}

// BeginAnswer records that an answer is about to be written and reports whether the connection is kept alive;
// if not, the answer must carry "Connection: close".
func (c *Conn) BeginAnswer() (keep bool) {
	c.bodyWait.setAborted(false)
	c.withGovernor(func(g *Governor, e *Entry, now time.Duration) { keep = g.BeginAnswer(e, now) })
	return keep
}

const maxKeptHead = 20 << 10 // bytes of a request's head that are kept as received, for TakeHead

// captureHead appends p to the raw bytes of the next head.
func (c *Conn) captureHead(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ignoreHead {
		return
	}
	c.headMeter.add(p)
	if len(c.head) < maxKeptHead {
		c.head = append(c.head, p[:min(len(p), maxKeptHead-len(c.head))]...)
	}
}

// TakeHead returns the raw bytes of the head that has been read, and any received after it. Further bytes are
// not captured until the request has been read or answered.
func (c *Conn) TakeHead() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	head := c.head
	c.readWithHead = 0
	if c.headMeter.ended && len(head) < maxKeptHead {
		c.readWithHead = len(head) - c.headMeter.bytes
	}
	c.head, c.headMeter, c.ignoreHead = nil, headMeter{}, true
	return head
}

// resumeHeadCapture has captureHead keep bytes again, after TakeHead: those received from now on belong to the next request.
func (c *Conn) resumeHeadCapture() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ignoreHead = false
}

type connKey struct{} // key of the Conn in a request's context

// ConnContext stores the connection for ConnFromContext. Use it as http.Server.ConnContext.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// ConnFromContext returns the connection of a handler's request, which must come from a Listener.
func ConnFromContext(ctx context.Context) *Conn { return ctx.Value(connKey{}).(*Conn) }

// StateChanged passes net/http's connection states to the Governor. Use it as http.Server.ConnState.
func StateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		// The head has been read, or was invalid: net/http reports the state only then.
		c.withGovernor((*Governor).HeadRead)
		c.restoreDeadline()
	case http.StateIdle:
		c.resumeHeadCapture() // what is left of a body when its request is answered isn't a head
		c.wroteAnswer.Store(false)
		wake := false
		c.withGovernor(func(g *Governor, e *Entry, now time.Duration) {
			wake = g.EndAnswer(e, now)
			c.receivedBytes.Store(e.state == StateHead) // bytes received early belong to the next request
		})
		if wake {
			c.wake()
		}
	}
}
