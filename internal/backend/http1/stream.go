package http1

import (
	"errors"
	"io"
	"sync"
	"time"
)

// This file hands on answers that are too long to be waited for.

// stream is the rest of a long answer.
type stream struct {
	c     *conn
	body  io.Reader
	until time.Time // the client's deadline
	long  bool      // for sure: of others it shows once more than wholeReply has come
	read  int
	whole bool
	end   func()
	once  sync.Once
}

// by is until when the next bytes are waited for. Guards against a spoilt answer of no known length that stops coming:
// of a short one the last byte counts, so that it has to end when its client's time is up, while a long one may pause.
func (s *stream) by(now time.Time) time.Time {
	if s.long || s.read > wholeReply {
		return now.Add(streamStall)
	}
	if soon := now.Add(stallLimit); s.until.Before(soon) {
		return soon
	}
	return s.until
}

// Read reads what comes next.
func (s *stream) Read(p []byte) (int, error) {
	s.c.SetReadDeadline(s.by(time.Now()))
	n, err := s.body.Read(p)
	s.read += n
	if errors.Is(err, io.EOF) {
		if s.c.limit.N <= 0 {
			return n, io.ErrUnexpectedEOF // the bound, not the end
		}
		s.whole = true
	}
	return n, err
}

// Close gives the connection back, or up if the answer has not been read to its end.
func (s *stream) Close() error {
	s.once.Do(s.end)
	return nil
}
