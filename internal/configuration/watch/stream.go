package watch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"lemonrail/internal/configuration"
)

// Limits in bytes on the data read from a control machine.
const (
	MaxLineBytes    = 32 << 10 // longest line of a watch
	maxHeadBytes    = 8 << 10  // of a response's status line and headers
	maxErrorBytes   = 4 << 10  // of the body of an error
	lineBufferBytes = 1 << 10  // read buffer of a watch; it grows while a longer line is read
)

// stream is an open watch. Its goroutine reads lines until the stream is closed or the watch breaks.
type stream struct {
	machine configuration.Machine
	conn    net.Conn
	lines   chan line      // lines received; the last one has an error
	closed  chan struct{}  // closed by close
	once    sync.Once      // makes a second close harmless
	reader  sync.WaitGroup // the goroutine that reads lines
}

// line is one line of a watch, or the reason why no further lines come.
type line struct {
	update *configuration.Update // nil for a heartbeat
	err    error                 // set if the watch is broken
}

// openResult is the result of an attempt to open a watch.
type openResult struct {
	stream *stream
	err    error // nil: the watch is open
}

var (
	errSilence     = errors.New("the machine has fallen silent")
	errWatchEnded  = errors.New("the machine has ended the watch")
	errLineTooLong = fmt.Errorf("a line of over %d bytes", MaxLineBytes)
)

// formatPosition formats a scope's position as in the query parameter have of a watch: SCOPE@REVISION.EPOCH.
func formatPosition(scope configuration.Scope, at configuration.Position) string {
	return scope.String() + "@" + strconv.FormatUint(at.Revision, 10) + "." + strconv.FormatUint(at.Epoch, 10)
}

// watchQuery returns the query of an agent's watch, which asks for the updates after the given positions.
func watchQuery(p configuration.Place, from map[configuration.Scope]configuration.Position) string {
	v := url.Values{"agent": {p.Agent}, "region": {p.Region}, "zone": {p.Zone}, "service": {p.Service},
		"format": {strconv.Itoa(configuration.Format)}}
	for _, scope := range p.Scopes() {
		if at, known := from[scope]; known {
			v.Add("have", formatPosition(scope, at))
		}
	}
	return v.Encode()
}

// open opens a watch, which begins after the given positions. It returns once the machine has begun its
// response.
func (w *Watcher) open(ctx context.Context, machine configuration.Machine, from map[configuration.Scope]configuration.Position) (*stream, error) {
	conn, err := w.dial(ctx, machine, w.timeouts.open)
	if err != nil {
		return nil, err
	}
	defer interruptOnDone(ctx, conn)()
	request := "GET " + configuration.WatchPath + "?" + watchQuery(w.cfg.Place, from) + " HTTP/1.1\r\nHost: " + machine.Address + "\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		conn.Close()
		return nil, fmt.Errorf("%s: %w", machine.Name, err)
	}
	response, err := readResponse(conn, http.MethodGet)
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("%s: %w", machine.Name, err)
	}
	s := &stream{machine: machine, conn: conn, lines: make(chan line), closed: make(chan struct{})}
	conn.SetReadDeadline(time.Now().Add(w.timeouts.silence))
	s.reader.Go(func() { s.read(response.Body, w.timeouts.silence) })
	return s, nil
}

// dial connects to a machine. The timeout is a deadline for connecting and for all reads and writes after it,
// until the caller sets another deadline.
func (w *Watcher) dial(ctx context.Context, machine configuration.Machine, timeout time.Duration) (net.Conn, error) {
	until := time.Now().Add(timeout)
	dialing, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	conn, err := w.cfg.Dial(dialing, "tcp", machine.Address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", machine.Name, err)
	}
	conn.SetDeadline(until)
	return conn, nil
}

// interruptOnDone makes pending and later reads and writes on a connection fail once ctx is done, unless stop
// was called before.
func interruptOnDone(ctx context.Context, conn net.Conn) (stop func()) {
	undo := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	return func() { undo() }
}

// readResponse reads the head of a response. For a status other than 2xx it returns the body's *ErrorBody, if
// there is one, or another error.
func readResponse(conn net.Conn, method string) (*http.Response, error) {
	limited := &io.LimitedReader{R: conn, N: maxHeadBytes}
	in := bufio.NewReaderSize(limited, lineBufferBytes)
	response, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	if response.StatusCode/100 == 2 {
		limited.N = 1<<63 - 1 // each line has its own limit
		return response, nil
	}
	limited.N = maxErrorBytes
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	refusal := &configuration.ErrorBody{}
	if err == nil && json.Unmarshal(raw, refusal) == nil && refusal.Kind != "" {
		return nil, refusal
	}
	return nil, fmt.Errorf("answer: %s", response.Status)
}

// read delivers the lines of a watch until the stream is closed or the watch breaks. A watch on which nothing
// arrives for the time silence counts as broken.
func (s *stream) read(body io.Reader, silence time.Duration) {
	in := bufio.NewScanner(body)
	in.Buffer(make([]byte, 0, lineBufferBytes), MaxLineBytes)
	for {
		s.conn.SetReadDeadline(time.Now().Add(silence))
		if !in.Scan() {
			s.deliver(line{err: readError(in.Err())})
			return
		}
		l := line{}
		if text := bytes.TrimSpace(in.Bytes()); len(text) > 0 {
			l.update = &configuration.Update{}
			if err := json.Unmarshal(text, l.update); err != nil {
				s.deliver(line{err: fmt.Errorf("update: %w", err)})
				return
			}
		}
		if !s.deliver(l) {
			return
		}
	}
}

// readError returns the error that ended a watch: err is that of the scanner that read the lines, nil if the
// machine has ended the response.
func readError(err error) error {
	var timeout net.Error
	switch {
	case err == nil:
		return errWatchEnded
	case errors.Is(err, bufio.ErrTooLong):
		return errLineTooLong
	case errors.As(err, &timeout) && timeout.Timeout():
		return errSilence
	}
	return err
}

// deliver passes a line to the Watcher. It returns false if the stream is closed.
func (s *stream) deliver(l line) bool {
	select {
	case s.lines <- l:
		return true
	case <-s.closed:
		return false
	}
}

// close closes the connection and waits for the stream's goroutine.
func (s *stream) close() {
	s.once.Do(func() {
		close(s.closed)
		s.conn.Close()
	})
	s.reader.Wait()
}

// sendReport sends a report to a machine, over a connection of its own.
func (w *Watcher) sendReport(ctx context.Context, machine configuration.Machine, report configuration.Report) error {
	raw, err := json.Marshal(report)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	conn, err := w.dial(ctx, machine, w.timeouts.report)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer interruptOnDone(ctx, conn)()
	head := "POST " + configuration.ReportPath + " HTTP/1.1\r\nHost: " + machine.Address +
		"\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(raw)) + "\r\n\r\n"
	if _, err := conn.Write(append([]byte(head), raw...)); err != nil {
		return fmt.Errorf("%s: report: %w", machine.Name, err)
	}
	if _, err := readResponse(conn, http.MethodPost); err != nil {
		return fmt.Errorf("%s: report: %w", machine.Name, err)
	}
	return nil
}
