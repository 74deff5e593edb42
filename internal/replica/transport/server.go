package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	connectionLimit = 512
	acceptRetry     = 20 * time.Millisecond // after an accept that failed, as without descriptors
)

// Server takes connections that others open.
type Server struct {
	Listener net.Listener
	Protocol Protocol
	Handle   Handler
	Invalid  func(error) // takes the error of each invalid frame

	mu   sync.Mutex
	open int
}

// Run accepts until ctx ends or the listener is closed, and returns once all its connections have ended.
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
			time.Sleep(acceptRetry)
		case !s.reserve():
			socket.Close()
		default:
			connections.Go(func() {
				defer s.release()
				if err := newConn(socket).run(ctx, &s.Protocol, s.Handle); errors.Is(err, ErrFrame) {
					s.Invalid(err)
				}
			})
		}
	}
}

func (s *Server) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= connectionLimit {
		return false
	}
	s.open++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
}
