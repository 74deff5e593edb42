package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"lemonrail/internal/admission"
	"lemonrail/internal/core"
	"lemonrail/internal/http1"
	"lemonrail/internal/metrics"
)

// This file writes answers to clients.

// metricResults maps the kind of an answer to the result under which metrics count the answer.
var metricResults = map[core.AnswerKind]metrics.Result{core.Served: metrics.OK, core.Refused: metrics.Shed,
	core.Failed: metrics.Errors, core.Duplicate: metrics.Errors}

// beginAnswer records that an answer is about to be written, and adds "Connection: close" if it is the last on
// its connection, which it reports. A client that doesn't read it holds the connection for answerWriteTimeout at the most.
func beginAnswer(conn *admission.Conn, w http.ResponseWriter) (keep bool) {
	if keep = conn.BeginAnswer(); !keep {
		w.Header().Set("Connection", "close")
	}
	conn.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	return keep
}

// reject answers an invalid request and ends the connection: bytes that follow an invalid request may not be a
// request of their own.
func reject(conn *admission.Conn, w http.ResponseWriter, status int, err error) {
	if status < http.StatusInternalServerError { // others are refusals or failures of valid requests
		conn.PaceLocalAnswer()
	}
	beginAnswer(conn, w)
	conn.AbortBody() // what is left of a body is discarded when the connection is closed, not by net/http
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// failureStatuses maps the kind of an answer that was not served to its HTTP status.
var failureStatuses = map[core.AnswerKind]int{
	core.Refused:   http.StatusServiceUnavailable,
	core.Failed:    http.StatusBadGateway,
	core.Duplicate: http.StatusBadRequest,
}

// writeAnswer writes the final answer. An error means that the client did not get all of a served answer,
// because it disconnected or the backend broke off.
func writeAnswer(conn *admission.Conn, w http.ResponseWriter, a core.Answer) error {
	h := w.Header()
	if a.RetryAfter > 0 {
		h.Set("Retry-After", formatSeconds(a.RetryAfter))
	}
	if a.Kind != core.Served {
		status := failureStatuses[a.Kind]
		text := http.StatusText(status) + "\n"
		h.Set("Content-Type", "text/plain; charset=utf-8")
		h.Set("Content-Length", strconv.Itoa(len(text))) // http.Error would delete it, and the answer may be flushed early
		w.WriteHeader(status)
		io.WriteString(w, text)
		return nil
	}
	served := a.Payload.(*http1.Answer)
	for _, name := range []string{"Content-Type", "Content-Encoding"} { // needed to read the body
		if v := served.Header[name]; v != nil {
			h[name] = v
		}
	}
	if served.More == nil {
		h.Set("Content-Length", strconv.Itoa(len(served.Body)))
		w.Write(served.Body) // an error means that the client's own connection failed
		return nil
	}
	defer served.Discard()
	if served.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(served.Length, 10))
	}
	return streamAnswer(conn, w, served)
}

const partWriteTimeout = 10 * time.Second // for a client to receive one part; clients may pause for seconds

// streamAnswer forwards a long answer to the client as it arrives from the backend.
func streamAnswer(conn *admission.Conn, w http.ResponseWriter, a *http1.Answer) error {
	controller := http.NewResponseController(w)
	part := a.Body
	a.Body = nil // lets the first part be freed before the rest has arrived
	buf := http1.GetBuffer()
	defer http1.PutBuffer(buf)
	for {
		conn.SetWriteDeadline(time.Now().Add(partWriteTimeout))
		for len(part) > 0 {
			n := min(len(part), http1.BufferSize)
			conn.SetWriteDeadline(time.Now().Add(partWriteTimeout))
			if _, err := w.Write(part[:n]); err != nil {
				return err
			}
			part = part[n:]
		}
		if err := controller.Flush(); err != nil {
			return err
		}
		n, err := a.More.Read(buf[:])
		if part = buf[:n]; err == nil || n > 0 && errors.Is(err, io.EOF) {
			continue
		}
		if errors.Is(err, io.EOF) {
			conn.SetWriteDeadline(time.Now().Add(partWriteTimeout)) // for the end of the answer, which the server writes
			return nil
		}
		return fmt.Errorf("backend: %w", err)
	}
}
