// Package accept accepts connections in spite of errors that pass: a process that ended because one call of accept failed
// would lose all requests that it has in hand.
package accept

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	RetryPause  = 50 * time.Millisecond // pause after an accept that has failed
	logInterval = 5 * time.Second       // least time between two log lines of a listener
)

// passing are the errors of accept(2) after which a later call may succeed: no free resource, a connection that has ended in
// the queue, and errors of the network that Linux reports with the next connection.
var passing = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPERM, syscall.EPROTO, syscall.EINTR, syscall.EAGAIN,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET, syscall.ENOPROTOOPT,
	syscall.EOPNOTSUPP, syscall.ETIMEDOUT,
}

// IsPassing reports whether a later call may succeed after this error.
func IsPassing(err error) bool {
	for _, e := range passing {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Listener is a net.Listener whose Accept fails only when it is closed or broken.
type Listener struct {
	net.Listener
	failed func() // called after each error that passes; may be nil
	log    *slog.Logger

	closed   chan struct{} // closed by Close
	once     sync.Once
	loggedAt time.Time // belongs to the caller of Accept
}

// Retry wraps a listener. failed is called after each error that passes, to free descriptors, say; it may be nil.
func Retry(ln net.Listener, failed func(), log *slog.Logger) *Listener {
	return &Listener{Listener: ln, failed: failed, log: log, closed: make(chan struct{})}
}

// Accept waits for the next connection. It must not be called by several goroutines at a time.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !IsPassing(err) {
			return conn, err
		}
		if now := time.Now(); now.Sub(l.loggedAt) >= logInterval {
			l.loggedAt = now
			l.log.Warn("accepting a connection failed, trying again", "listen", l.Addr().String(), "err", err)
		}
		if l.failed != nil {
			l.failed()
		}
		select {
		case <-time.After(RetryPause):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener and ends Accept.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
