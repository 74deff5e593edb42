package http1

import (
	"errors"
	"io"
	"sync"
	"time"
)

// Stream is the part of a request's body that is not held: it can be read once, by one attempt. The front that
// reads it from its client makes it, and waits for its end before it answers.
type Stream struct {
	Length int64         // of the whole body; -1: not known
	Left   time.Duration // how long the client waits, counted from the body's last byte

	body  io.Reader
	abort func() // unblocks a Read

	mu    sync.Mutex
	state streamState
	whole bool          // read to its end
	ended chan struct{} // closed once nobody reads any more
}

type streamState uint8

const (
	untouched streamState = iota
	reading
	over
)

// Errors of a body that can't be read on.
var (
	ErrTaken = errors.New("the body has gone to another attempt") // at least in part
	ErrBody  = errors.New("the client did not send all of its body")
)

// NewStream returns the stream of what body holds. Abort has to end a Read that waits.
func NewStream(body io.Reader, length int64, left time.Duration, abort func()) *Stream {
	return &Stream{Length: length, Left: left, body: body, abort: abort, ended: make(chan struct{})}
}

// Copy passes the body on to one attempt, in parts of up to the buffer's length. ErrTaken: another has begun to.
// ErrBody: the client failed; any other error is write's.
func (s *Stream) Copy(buf []byte, write func([]byte) error) error {
	s.mu.Lock()
	if s.state != untouched {
		s.mu.Unlock()
		return ErrTaken
	}
	s.state = reading
	s.mu.Unlock()
	whole := false
	defer func() { s.done(whole) }()
	for {
		n, err := s.body.Read(buf)
		if n > 0 {
			if err := write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			whole = true
			return nil
		}
		if err != nil {
			return errors.Join(ErrBody, err)
		}
	}
}

func (s *Stream) done(whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.whole = over, whole
	close(s.ended)
}

// Whole ends the reading and reports whether the body had been read to its end by then.
func (s *Stream) Whole() bool {
	s.mu.Lock()
	was := s.state
	if was == untouched {
		s.state = over
	}
	s.mu.Unlock()
	if was == reading {
		s.abort()
		<-s.ended
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.whole
}
