package agent

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"lemonrail/internal/accept"
)

// listenRetryInterval is how often a process tries to listen for Diameter clients while an earlier process of its agent
// still does. Clients are refused for that long at the most.
const listenRetryInterval = 10 * time.Millisecond

// diameterListener listens for Diameter clients. The platform hands on no descriptor for it, so that one process after
// another has it: a successor listens once its predecessor has stopped accepting.
type diameterListener struct {
	address string

	mu       sync.Mutex
	listener net.Listener // nil: not listening
	closed   bool
}

// errListenerClosed is returned by open after close.
var errListenerClosed = errors.New("the listener of diameter clients is closed")

// isPassingListenError reports whether listening may succeed later: a process before this one still listens, or the process is
// out of descriptors or memory for a moment.
func isPassingListenError(err error, predecessorRuns bool) bool {
	return predecessorRuns && errors.Is(err, syscall.EADDRINUSE) || accept.IsPassing(err)
}

// open begins to listen.
func (l *diameterListener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errListenerClosed
	}
	listener, err := net.Listen("tcp4", l.address)
	if err != nil {
		return err
	}
	l.listener = listener
	return nil
}

// await returns the listener, once no other process listens on the address. It returns an error when ctx ends, the listener
// is closed or listening fails for another reason.
func (l *diameterListener) await(ctx context.Context) (net.Listener, error) {
	tick := time.NewTicker(listenRetryInterval)
	defer tick.Stop()
	for {
		if listener := l.current(); listener != nil {
			return listener, nil
		}
		if err := l.open(); err != nil && !isPassingListenError(err, true) {
			return nil, err
		} else if err == nil {
			continue
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *diameterListener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener
}

func (l *diameterListener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.listener != nil {
		l.listener.Close()
	}
}
