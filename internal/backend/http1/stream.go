package http1

import (
	"errors"
	"io"
	"sync"
	"time"
)

// This file streams answers that are too long to be buffered.

// stream is the rest of a long answer, which is read while the client receives it.
type stream struct {
	conn      *conn
	body      io.Reader // the rest of the answer's body
	started   time.Time // when the first part was passed on
	deadline  time.Time // until when the client waits for the answer
	knownLong bool      // long by its Content-Length; others count as long once more than maxBufferedBody has been read
	bytesRead int       // bytes of the body read so far, with those of the first part
	complete  bool      // the body has been read to its end
	release   func()    // returns the connection to the idle ones, or closes it
	closeOnce sync.Once
}

// readDeadline returns the deadline for the next read. An answer of unknown length that stalls may be broken: a short one
// must end by its client's deadline, as its last byte counts, while a long one may pause. Whether it becomes long isn't
// known before it is; it is taken for long as long as it has arrived at minLongRate.
func (s *stream) readDeadline(now time.Time) time.Time {
	if s.knownLong || s.bytesRead > maxBufferedBody {
		return now.Add(streamStallTimeout)
	}
	latest := now.Add(stallTimeout)
	for _, at := range []time.Time{s.deadline, s.started.Add(time.Duration(s.bytesRead) * time.Second / minLongRate)} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// Read reads the next part of the answer.
func (s *stream) Read(p []byte) (int, error) {
	s.conn.SetReadDeadline(s.readDeadline(time.Now()))
	n, err := s.body.Read(p)
	s.bytesRead += n
	if errors.Is(err, io.EOF) {
		if s.conn.limited.N <= 0 {
			return n, io.ErrUnexpectedEOF // the size limit was reached, not the end of the answer
		}
		s.complete = true
	}
	return n, err
}

// Close returns the connection to the idle ones, or closes it if the answer has not been read to its end.
func (s *stream) Close() error {
	s.closeOnce.Do(s.release)
	return nil
}
