package http1

import (
	"errors"
	"io"
	"sync"
	"time"
)

// Upload is the rest of a body that a client sends.
type Upload interface {
	io.Reader
	// LastIncomplete returns the last time at which the client certainly had not sent the whole body. It may be called
	// from any goroutine.
	LastIncomplete() time.Time
}

// Stream is the part of a request's body that is not buffered. It can be read once, by one attempt. The front
// that reads the body from its client creates it, and calls Finish before it answers the client.
type Stream struct {
	Length   int64         // of the whole body; -1: unknown
	TimeLeft time.Duration // how long the client waits, counted from the body's last byte

	body  Upload
	abort func() // unblocks a pending Read of body

	mu         sync.Mutex
	state      streamState
	complete   bool          // the body was read to its end
	readerDone chan struct{} // closed when the attempt stops reading
}

// streamState is how far the reading of a Stream has come.
type streamState uint8

const (
	streamUnread  streamState = iota // no attempt has begun to read
	streamReading                    // an attempt reads
	streamDone                       // the attempt has stopped reading, or Finish was called
)

// Errors of a body that can't be read to its end.
var (
	ErrBodyTaken      = errors.New("another attempt has read the body") // at least a part of it
	ErrBodyIncomplete = errors.New("the client did not send all of its body")
)

// NewStream returns a Stream that reads from body. abort must unblock a pending Read of body.
func NewStream(body Upload, length int64, left time.Duration, abort func()) *Stream {
	return &Stream{Length: length, TimeLeft: left, body: body, abort: abort, readerDone: make(chan struct{})}
}

// Deadline returns the earliest time at which the client may stop waiting. It moves on while the client still sends the
// body. A client's last bytes may wait in a socket until an attempt reads them, so the time can't be counted from the read
// of the last byte.
func (s *Stream) Deadline() time.Time { return s.body.LastIncomplete().Add(s.TimeLeft) }

// Copy passes the body to one attempt's write, in parts of up to len(buf) bytes. It returns ErrBodyTaken if
// another attempt has begun to read the body, ErrBodyIncomplete if reading from the client failed, and otherwise the
// error of write.
func (s *Stream) Copy(buf []byte, write func([]byte) error) error {
	s.mu.Lock()
	if s.state != streamUnread {
		s.mu.Unlock()
		return ErrBodyTaken
	}
	s.state = streamReading
	s.mu.Unlock()
	complete := false
	defer func() { s.finish(complete) }()
	for {
		n, err := s.body.Read(buf)
		if n > 0 {
			if err := write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			complete = true
			return nil
		}
		if err != nil {
			return errors.Join(ErrBodyIncomplete, err)
		}
	}
}

// finish records that the attempt has stopped reading, and whether it read the body to its end.
func (s *Stream) finish(complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.complete = streamDone, complete
	close(s.readerDone)
}

// Finish ends the reading and reports whether the body had been read to its end.
func (s *Stream) Finish() bool {
	s.mu.Lock()
	was := s.state
	if was == streamUnread {
		s.state = streamDone
	}
	s.mu.Unlock()
	if was == streamReading {
		s.abort()
		<-s.readerDone
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}
