package admission

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"lemonrail/internal/peek"
)

const (
	aheadMost  = 256 << 10              // bytes that are taken in ahead of an answer
	aheadStep  = 4 << 10                // at a time
	aheadShare = 4                      // of Config.Bytes that all connections together take in so, as 1 over it
	aheadLook  = 100 * time.Millisecond // how often one that has sent more is looked at
)

// ahead takes in what a client sends while its request is in hand. Guards against clients that send much at once, or
// requests one behind the other, and go: net/http reads one byte to see whether a client leaves, and once it has got
// one it sees nothing any more; the request would wait, be sent on and be tried again for nobody. Of a client that
// sends more than aheadMost and what the kernel holds behind it nobody can see the end without taking it in: its
// request ends with its time.
type ahead struct {
	buf   []byte
	err   error // the client's side has ended, or is broken
	total *atomic.Int64
	stop  chan struct{}
	done  chan struct{}
}

// lookAhead begins to take in what comes while a request is in hand; the reader's next Read ends it.
func (c *Conn) lookAhead() {
	a := &ahead{total: &c.l.ahead, stop: make(chan struct{}), done: make(chan struct{})}
	c.mu.Lock()
	c.ahead = a
	c.mu.Unlock()
	go func() {
		defer close(a.done)
		a.read(c.Conn, c.l.aheadMost())
		if a.err != nil {
			c.ended.Store(true)
			close(c.gone)
		}
	}()
}

// aheadMost is how many bytes may be held ahead of their answers by all connections; 0: no bound.
func (l *Listener) aheadMost() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.gov.cfg.Bytes / aheadShare)
}

func (a *ahead) read(nc net.Conn, most int64) {
	for len(a.buf) < aheadMost && (most == 0 || a.total.Load() < most) {
		n := len(a.buf)
		if cap(a.buf)-n < aheadStep {
			a.buf = append(make([]byte, 0, max(aheadStep, 2*cap(a.buf))+aheadStep), a.buf...)
		}
		m, err := nc.Read(a.buf[n : n+aheadStep])
		a.buf = a.buf[:n+m]
		a.total.Add(int64(m))
		if errors.Is(err, os.ErrDeadlineExceeded) { // the reader wants to go on
			return
		}
		if err != nil {
			a.err = err
			return
		}
	}
	// What lies behind is not taken in: whether the client's side has ended shows without.
	tick := time.NewTicker(aheadLook)
	defer tick.Stop()
	for !peek.HungUp(nc) {
		select {
		case <-tick.C:
		case <-a.stop:
			return
		}
	}
	a.err = errHungUp
}

var errHungUp = errors.New("admission: the client has gone")

// Gone is closed when the client is seen to have gone while its request is in hand, where net/http can't see it.
func (c *Conn) Gone() <-chan struct{} { return c.gone }

// HungUp reports whether the client's side has ended by now, whatever it has sent before that.
func (c *Conn) HungUp() bool { return peek.HungUp(c.Conn) }

// endAhead ends the look ahead, if there is one. What was taken in is read next.
func (c *Conn) endAhead() {
	c.mu.Lock()
	a := c.ahead
	if a == nil {
		c.mu.Unlock()
		return
	}
	select {
	case <-a.stop: // another is at it
	default:
		close(a.stop)
	}
	c.inForce()
	c.mu.Unlock()
	<-a.done
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead != a {
		return
	}
	c.ahead, c.early, c.earlyErr = nil, append(c.early, a.buf...), a.err
	a.total.Add(-int64(len(a.buf)))
	c.inForce()
}

// takeEarly reads what came ahead. Of a client that has gone since nothing more is taken: nobody waits for it.
func (c *Conn) takeEarly(p []byte) (n int, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.earlyErr != nil {
		c.early = nil
		return 0, true, c.earlyErr
	}
	if len(c.early) == 0 {
		return 0, false, nil
	}
	n = copy(p, c.early)
	if c.early = c.early[n:]; len(c.early) == 0 {
		c.early = nil
	}
	return n, true, nil
}
