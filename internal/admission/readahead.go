package admission

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"lemonrail/internal/connstate"
)

const (
	maxReadAhead       = 256 << 10              // bytes read ahead on one connection that the server has not read yet
	readAheadChunk     = 4 << 10                // bytes per read
	readAheadShare     = 4                      // divisor of Config.MaxBodyBytes: bytes that all connections together may read ahead
	hangUpPollInterval = 100 * time.Millisecond // how often a client is checked once its bytes are no longer read
)

// readAhead reads what a client sends while its request is being processed, to detect that the client leaves.
// net/http's background read detects this only until it has received one byte: the request of a client that
// pipelines and then leaves would otherwise wait, be forwarded and be retried for nobody. Beyond maxReadAhead
// and the kernel's buffer the end of a client can't be seen without reading on: its request ends at its
// deadline.
type readAhead struct {
	data  []byte        // bytes read ahead
	held  int           // bytes of the connection that were read ahead before, during earlier requests
	err   error         // set when the client's side has ended or failed
	total *atomic.Int64 // Listener.readAheadBytes
	took  func(n int)   // called for bytes that were read; may be nil
	stop  chan struct{} // closed to end reading
	done  chan struct{} // closed once reading has ended
}

// startReadAhead starts reading while a request is being processed; the next Read of the connection stops it.
func (c *Conn) startReadAhead() {
	a := &readAhead{total: &c.listener.readAheadBytes, took: c.recordReadAhead, stop: make(chan struct{}), done: make(chan struct{})}
	c.mu.Lock()
	a.held = len(c.buffered)
	c.readAhead = a
	c.mu.Unlock()
	go func() {
		defer close(a.done)
		a.read(c.Conn, c.listener.maxReadAheadTotal())
		if a.err != nil {
			c.clientEnded.Store(true)
			close(c.clientGone)
		}
	}()
}

// ReadAheadBytes returns how many bytes all connections have read ahead.
func (l *Listener) ReadAheadBytes() int64 { return l.readAheadBytes.Load() }

// maxReadAheadTotal returns how many bytes all connections together may read ahead; 0: unlimited.
func (l *Listener) maxReadAheadTotal() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.governor.cfg.MaxBodyBytes / readAheadShare)
}

// read reads ahead from nc until the client's side ends, which sets a.err, or until stopReadAhead ends it. maxTotal is the
// limit on the bytes of all connections.
func (a *readAhead) read(nc net.Conn, maxTotal int64) {
	for a.held+len(a.data) < maxReadAhead && (maxTotal == 0 || a.total.Load() < maxTotal) {
		n := len(a.data)
		if cap(a.data)-n < readAheadChunk {
			a.data = append(make([]byte, 0, max(readAheadChunk, 2*cap(a.data))+readAheadChunk), a.data...)
		}
		m, err := nc.Read(a.data[n : n+readAheadChunk])
		a.data = a.data[:n+m]
		a.total.Add(int64(m))
		if m > 0 && a.took != nil {
			a.took(m)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // stopReadAhead interrupted the read
			return
		}
		if err != nil {
			a.err = err
			return
		}
	}
	// Further bytes are not read; connstate.PeerClosed detects the end of the client's side without reading them.
	tick := time.NewTicker(hangUpPollInterval)
	defer tick.Stop()
	for !connstate.PeerClosed(nc) {
		select {
		case <-tick.C:
		case <-a.stop:
			return
		}
	}
	a.err = errHungUp
}

// errHungUp ends the reads of a connection whose client's side has ended. A client that closed only its sending
// side may get the text, as the answer to a pipelined request whose body was cut off.
var errHungUp = errors.New("admission: the client has gone")

// ClientGone returns a channel that is closed when readAhead sees that the client has disconnected while its
// request is being processed, where net/http can't see it.
func (c *Conn) ClientGone() <-chan struct{} { return c.clientGone }

// HungUp reports whether the client's side has ended, even if unread bytes precede its end.
func (c *Conn) HungUp() bool { return connstate.PeerClosed(c.Conn) }

// stopReadAhead stops readAhead, if it is running. The bytes that it read are returned by the next Read.
func (c *Conn) stopReadAhead() {
	c.mu.Lock()
	a := c.readAhead
	if a == nil {
		c.mu.Unlock()
		return
	}
	select {
	case <-a.stop: // another goroutine is stopping it
	default:
		close(a.stop)
	}
	c.applyDeadline()
	c.mu.Unlock()
	<-a.done
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAhead != a {
		return
	}
	c.readAhead, c.buffered, c.bufferedErr = nil, append(c.buffered, a.data...), a.err
	c.applyDeadline()
}

// readBuffered returns bytes that readAhead has received; ok is false if there are none. If the client has disconnected
// since, the bytes are dropped and the error is that of its end: nobody waits for an answer.
func (c *Conn) readBuffered(p []byte) (n int, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bufferedErr != nil {
		c.takeBuffered(len(c.buffered))
		return 0, true, c.bufferedErr
	}
	if len(c.buffered) == 0 {
		return 0, false, nil
	}
	// Requests that arrived one after the other are not read together, so that each keeps its own time.
	together := min(int64(len(p)), c.arrivals.Next(c.delivered))
	n = copy(p[:together], c.buffered)
	c.takeBuffered(n)
	return n, true, nil
}

// takeBuffered removes the first n bytes that readAhead has received. The caller holds c.mu.
func (c *Conn) takeBuffered(n int) {
	c.listener.readAheadBytes.Add(-int64(n))
	if c.buffered = c.buffered[n:]; len(c.buffered) == 0 {
		c.buffered = nil
	}
}

// dropBuffered releases what is left of the bytes that readAhead has received.
func (c *Conn) dropBuffered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takeBuffered(len(c.buffered))
}
