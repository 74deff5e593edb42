package http1

import (
	"sync"
	"time"

	"lemonrail/internal/http1"
)

// This file ends attempts whose backend does not take a streamed body in time.

// uploadLimit interrupts the writing of a streamed request once its client no longer waits for the answer, or once the
// backend has taken nothing for streamStallTimeout. While a backend reads nothing, the rest of the body waits unread in
// the client's socket, and no read or write of the attempt would ever end.
type uploadLimit struct {
	stream    *http1.Stream
	interrupt func() // makes a pending write fail; must not block

	mu           sync.Mutex
	timer        *time.Timer
	writingSince time.Time // when the pending write began; zero: none is pending
	expired      bool      // interrupt was called
	stopped      bool
}

// newUploadLimit returns the limit on writing a request with stream; nil without a stream.
func newUploadLimit(stream *http1.Stream, interrupt func()) *uploadLimit {
	if stream == nil {
		return nil
	}
	l := &uploadLimit{stream: stream, interrupt: interrupt}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(l.untilNextCheck(time.Now()), l.check)
	return l
}

// beginWrite records that a write to the backend begins, and endWrite that it has ended.
func (l *uploadLimit) beginWrite() { l.setWritingSince(time.Now()) }
func (l *uploadLimit) endWrite()   { l.setWritingSince(time.Time{}) }

func (l *uploadLimit) setWritingSince(t time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writingSince = t
}

// check interrupts the writing if it has taken too long, or else sets the timer again.
func (l *uploadLimit) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	if wait := l.untilNextCheck(time.Now()); wait > 0 {
		l.timer.Reset(wait)
		return
	}
	l.expired = true
	l.interrupt()
}

// untilNextCheck returns how long the writing may go on before the next check; not positive: it has taken too long. The
// caller holds l.mu.
func (l *uploadLimit) untilNextCheck(now time.Time) time.Duration {
	wait := min(l.stream.Deadline().Sub(now), streamStallTimeout)
	if !l.writingSince.IsZero() {
		wait = min(wait, l.writingSince.Add(streamStallTimeout).Sub(now))
	}
	return wait
}

// stop ends the limit, and reports whether it has interrupted the writing.
func (l *uploadLimit) stop() (expired bool) {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer.Stop()
	l.stopped = true
	return l.expired
}
