package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"lemonrail/internal/admission"
	"lemonrail/internal/http1"
)

// This file reads the bodies of requests.

// Limits on the bodies of requests.
const (
	MaxBodyBytes    = 33 << 20         // bytes of a request's body; clients send up to 32 MB
	firstPartBytes  = 64 << 10         // bytes of a body that are read before the core gets the request
	bodyMemoryShare = 32               // divisor of Server.Memory: one body may occupy that share; longer ones are streamed
	maxHeldBody     = 4 << 20          // bytes of one body that are held in memory at the most; longer ones are streamed
	minUploadRate   = 48 << 10         // bytes per second at which a body must arrive: clients send 64 kB/s
	uploadGrace     = 2 * time.Second  // added to the time that a body may take at minUploadRate
	maxUploadTime   = 10 * time.Minute // limit on the time for the rest of a streamed body, whatever its length
)

// uploadTime returns how long the rest of a body may take to arrive. A negative length is unknown.
func uploadTime(length int64, read int) time.Duration {
	if length < 0 {
		length = MaxBodyBytes
	}
	return min(bodyTime(length-int64(read)), maxUploadTime)
}

// bodyTime returns how long that many bytes of a body may take to arrive, in all, at minUploadRate.
func bodyTime(bytes int64) time.Duration {
	return uploadGrace + time.Duration(float64(bytes)/minUploadRate*float64(time.Second))
}

// heldBodyLimit returns how many bytes of one body may be held in memory; a longer body is streamed to the backend.
func (s *Server) heldBodyLimit() int64 {
	if s.Memory == 0 {
		return maxHeldBody
	}
	return min(max(s.Memory/bodyMemoryShare, firstPartBytes), maxHeldBody)
}

// readBody reads a request's body: all of it if it is short, or if it may be held and there is memory for it;
// otherwise its first part, with a stream for the rest.
func (s *Server) readBody(conn *admission.Conn, r *http.Request, timeLeft time.Duration) (body []byte, stream *http1.Stream, status int, err error) {
	length := r.ContentLength
	if length == 0 {
		return nil, nil, 0, nil
	}
	firstSize := int64(firstPartBytes)
	if length > 0 {
		firstSize = min(length, firstPartBytes)
	}
	reserve := conn.Reserve
	if length == firstSize && conn.BodyArrived(length) {
		reserve = conn.ReserveArrived
	}
	if !reserve(int(firstSize)) {
		return nil, nil, http.StatusServiceUnavailable, errors.New("too many bodies in hand")
	}
	reader := newBodyReader(conn, r)
	size := firstSize
	if length > firstSize && length <= s.heldBodyLimit() && conn.ReserveExtra(int(length-firstSize)) {
		size = length
	}
	body = make([]byte, 0, size)
	for {
		n, err := io.ReadFull(reader, body[len(body):size])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			if length >= 0 && int64(len(body)) < length {
				return nil, nil, http.StatusBadRequest, errors.New("the body ends too soon")
			}
			conn.ShrinkReservation(len(body))
			return body, nil, 0, nil
		case err != nil:
			return nil, nil, http.StatusRequestTimeout, fmt.Errorf("body: %w", err)
		case size == length:
			conn.SetReadDeadline(time.Time{})
			return body, nil, 0, nil
		case length < 0 && 2*size <= s.heldBodyLimit() && conn.ReserveExtra(int(size)):
			body = append(make([]byte, 0, 2*size), body...)
			size *= 2
			continue
		}
		return body, http1.NewStream(reader, length, timeLeft, conn.AbortBody), 0, nil
	}
}

// maxSenderBuffer is the most that a client's kernel holds of a body that its program has written: Linux's default limit
// (tcp_wmem).
const maxSenderBuffer = 4 << 20

// bodyReader reads a body that must arrive at minUploadRate and must not exceed MaxBodyBytes. It is an http1.Upload.
type bodyReader struct {
	conn    *admission.Conn
	body    io.Reader
	length  int64 // of the whole body; -1: unknown
	started time.Time

	mu             sync.Mutex
	read           int64     // bytes read so far
	complete       bool      // the body was read to its end
	lastIncomplete time.Time // see LastIncomplete
}

func newBodyReader(conn *admission.Conn, r *http.Request) *bodyReader {
	return &bodyReader{conn: conn, body: r.Body, length: r.ContentLength, started: time.Now(), lastIncomplete: conn.LastArrival()}
}

func (b *bodyReader) Read(p []byte) (int, error) {
	b.LastIncomplete() // the following read takes bytes that show now whether more must come
	n, err := b.conn.ReadBody(b.body, p, b.started.Add(bodyTime(b.read)))
	b.mu.Lock()
	defer b.mu.Unlock()
	if waited, _ := b.conn.LastBodyWait(); waited.After(b.lastIncomplete) {
		b.lastIncomplete = waited
	}
	if b.read += int64(n); b.read > MaxBodyBytes {
		return n, fmt.Errorf("body over %d bytes", MaxBodyBytes)
	}
	if errors.Is(err, io.EOF) {
		b.complete = true
		b.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// LastIncomplete returns the last time at which the client certainly had not sent the whole body.
func (b *bodyReader) LastIncomplete() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.complete && b.incomplete() {
		b.lastIncomplete = time.Now()
	}
	return b.lastIncomplete
}

// incomplete reports whether the client certainly has not sent the whole body yet: a read waits for more, or more is
// missing than the sockets at both ends hold. The caller holds b.mu.
func (b *bodyReader) incomplete() bool {
	if _, waiting := b.conn.LastBodyWait(); waiting {
		return true
	}
	missing := b.length - b.read
	unread, known := b.conn.UnreadBytes()
	if b.length < 0 || missing <= 0 || !known {
		return false
	}
	return unread == 0 || missing > int64(unread)+maxSenderBuffer
}
