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

// Bounds of what is read from a control machine.
const (
	LineMost   = 32 << 10 // bytes of an update
	headMost   = 8 << 10  // of the head of an answer
	errorMost  = 4 << 10  // of the body of an error
	lineBuffer = 1 << 10  // that a watch reads at once; longer lines take more while they are read
)

// stream is an open watch. Its goroutine reads lines until it is closed or broken.
type stream struct {
	machine configuration.Machine
	conn    net.Conn
	lines   chan line // the last one has an error
	closed  chan struct{}
	once    sync.Once
	ended   sync.WaitGroup
}

// line is what came on a watch.
type line struct {
	update *configuration.Update // nil: a heartbeat
	err    error                 // the watch is broken
}

// openResult is a watch, or why there is none.
type openResult struct {
	stream *stream
	err    error
}

var (
	errSilent = errors.New("the machine has fallen silent")
	errEnded  = errors.New("the machine has ended the watch")
	errLong   = fmt.Errorf("a line of over %d bytes", LineMost)
)

// have is a position as the watch's query has it.
func have(scope configuration.Scope, at configuration.Position) string {
	return scope.String() + "@" + strconv.FormatUint(at.Revision, 10) + "." + strconv.FormatUint(at.Epoch, 10)
}

// query asks for what an agent lacks.
func query(p configuration.Place, from map[configuration.Scope]configuration.Position) string {
	v := url.Values{"agent": {p.Agent}, "region": {p.Region}, "zone": {p.Zone}, "service": {p.Service},
		"format": {strconv.Itoa(configuration.Format)}}
	for _, scope := range p.Scopes() {
		if at, known := from[scope]; known {
			v.Add("have", have(scope, at))
		}
	}
	return v.Encode()
}

// open opens a watch: it returns once the machine's answer has begun.
func (w *Watcher) open(ctx context.Context, machine configuration.Machine, from map[configuration.Scope]configuration.Position) (*stream, error) {
	conn, err := w.dial(ctx, machine, w.times.open)
	if err != nil {
		return nil, err
	}
	defer cutOff(ctx, conn)()
	request := "GET " + configuration.WatchPath + "?" + query(w.cfg.Place, from) + " HTTP/1.1\r\nHost: " + machine.Address + "\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		conn.Close()
		return nil, fmt.Errorf("%s: %w", machine.Name, err)
	}
	answer, err := readAnswer(conn, http.MethodGet)
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("%s: %w", machine.Name, err)
	}
	s := &stream{machine: machine, conn: conn, lines: make(chan line), closed: make(chan struct{})}
	conn.SetReadDeadline(time.Now().Add(w.times.silence))
	s.ended.Go(func() { s.read(answer.Body, w.times.silence) })
	return s, nil
}

// dial connects. All on the connection has to be done within a time, until its deadline is set anew.
func (w *Watcher) dial(ctx context.Context, machine configuration.Machine, within time.Duration) (net.Conn, error) {
	until := time.Now().Add(within)
	dialer := net.Dialer{Deadline: until}
	conn, err := dialer.DialContext(ctx, "tcp", machine.Address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", machine.Name, err)
	}
	conn.SetDeadline(until)
	return conn, nil
}

// cutOff ends waits on a connection with ctx, until the function that it returns is called.
func cutOff(ctx context.Context, conn net.Conn) (stop func()) {
	undo := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	return func() { undo() }
}

// readAnswer reads the head of an answer. One that is no yes comes as an error, if it can be read as an *ErrorBody.
func readAnswer(conn net.Conn, method string) (*http.Response, error) {
	limited := &io.LimitedReader{R: conn, N: headMost}
	in := bufio.NewReaderSize(limited, lineBuffer)
	answer, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	if answer.StatusCode/100 == 2 {
		limited.N = 1<<63 - 1 // lines are bounded one by one
		return answer, nil
	}
	limited.N = errorMost
	raw, err := io.ReadAll(io.LimitReader(answer.Body, errorMost))
	refusal := &configuration.ErrorBody{}
	if err == nil && json.Unmarshal(raw, refusal) == nil && refusal.Kind != "" {
		return nil, refusal
	}
	return nil, fmt.Errorf("answer: %s", answer.Status)
}

// read hands on lines until the watch is closed or broken.
func (s *stream) read(body io.Reader, silence time.Duration) {
	in := bufio.NewScanner(body)
	in.Buffer(make([]byte, 0, lineBuffer), LineMost)
	for {
		s.conn.SetReadDeadline(time.Now().Add(silence))
		if !in.Scan() {
			s.hand(line{err: broken(in.Err())})
			return
		}
		l := line{}
		if text := bytes.TrimSpace(in.Bytes()); len(text) > 0 {
			l.update = &configuration.Update{}
			if err := json.Unmarshal(text, l.update); err != nil {
				s.hand(line{err: fmt.Errorf("update: %w", err)})
				return
			}
		}
		if !s.hand(l) {
			return
		}
	}
}

// broken is why there are no further lines.
func broken(err error) error {
	var timeout net.Error
	switch {
	case err == nil:
		return errEnded
	case errors.Is(err, bufio.ErrTooLong):
		return errLong
	case errors.As(err, &timeout) && timeout.Timeout():
		return errSilent
	}
	return err
}

// hand passes a line on; false: nobody takes any more.
func (s *stream) hand(l line) bool {
	select {
	case s.lines <- l:
		return true
	case <-s.closed:
		return false
	}
}

// close ends the watch and its goroutine.
func (s *stream) close() {
	s.once.Do(func() {
		close(s.closed)
		s.conn.Close()
	})
	s.ended.Wait()
}

// post sends a report to a machine, over a connection of its own.
func (w *Watcher) post(ctx context.Context, machine configuration.Machine, report configuration.Report) error {
	raw, err := json.Marshal(report)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	conn, err := w.dial(ctx, machine, w.times.report)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer cutOff(ctx, conn)()
	head := "POST " + configuration.ReportPath + " HTTP/1.1\r\nHost: " + machine.Address +
		"\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(raw)) + "\r\n\r\n"
	if _, err := conn.Write(append([]byte(head), raw...)); err != nil {
		return fmt.Errorf("%s: report: %w", machine.Name, err)
	}
	if _, err := readAnswer(conn, http.MethodPost); err != nil {
		return fmt.Errorf("%s: report: %w", machine.Name, err)
	}
	return nil
}
