package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	maxConnections   = 512                   // open at a time; further ones are closed at once
	acceptRetryDelay = 20 * time.Millisecond // after a failed accept, for example when no file descriptors are left
)

// Server accepts connections from other processes, up to maxConnections at a time.
type Server struct {
	Listener  net.Listener
	Protocol  Protocol
	Handle    Handler     // called with each received frame but pings
	OnInvalid func(error) // called with the error of each invalid frame
	// Descriptors is called when the number of descriptors that connections hold changes; nil: nobody counts them.
	Descriptors func(delta int)

	mu              sync.Mutex // guards openConnections
	openConnections int
}

// Run accepts until ctx ends or the listener is closed, and returns once all accepted connections have ended.
func (s *Server) Run(ctx context.Context) {
	var connections sync.WaitGroup
	defer connections.Wait()
	stop := context.AfterFunc(ctx, func() { s.Listener.Close() })
	defer stop()
	for {
		socket, err := s.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			if err == nil {
				socket.Close()
			}
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
		case !s.reserve():
			socket.Close()
		default:
			connections.Go(func() {
				defer s.release()
				if err := newConn(socket).run(ctx, &s.Protocol, s.Handle); errors.Is(err, ErrInvalidFrame) {
					s.OnInvalid(err)
				}
			})
		}
	}
}

// reserve counts a new connection; false: maxConnections are open.
func (s *Server) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openConnections >= maxConnections {
		return false
	}
	s.openConnections++
	if s.Descriptors != nil {
		s.Descriptors(1)
	}
	return true
}

// release ends the count of a connection that reserve has counted.
func (s *Server) release() {
	s.mu.Lock()
	s.openConnections--
	s.mu.Unlock()
	if s.Descriptors != nil {
		s.Descriptors(-1)
	}
}
