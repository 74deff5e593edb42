// Package http1 holds the types that HTTP/1.1 fronts and backends pass to each other through the core, the
// request to forward and the answer, as well as the protocol's header names.
package http1

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// Names of the headers of requests to the front and to the backends, and of backends' answers.
const (
	HeaderCorrelationID  = "X-Correlation-Id" // id of the request
	HeaderTenant         = "X-Account"        // name of the request's tenant
	HeaderTimeLeft       = "X-Time-Left"      // how long the client waits for the answer
	HeaderRepeat         = "X-Repeat"         // the client marks the request as a repeat
	HeaderWeightHint     = "X-Weight-Hint"    // expected work of the request
	HeaderIdempotencyKey = "Idempotency-Key"  // key by which backends recognise repeats
	HeaderLoad           = "X-Backend-Load"   // of an answer: the backend's load report
	HeaderNotProcessed   = "X-Unprocessed"    // of an answer: 1: the backend rejected the request without processing it
)

// Answer is a backend's answer. A long one has two parts: Body is the data that has arrived, More reads the
// rest.
type Answer struct {
	Header http.Header
	Body   []byte
	More   io.ReadCloser // nil: Body is complete. The owner closes it; an error other than io.EOF: the answer is incomplete
	Length int64         // with More: length of the whole body; -1: unknown
}

// Discard closes the rest of an answer that is not delivered to a client.
func (a *Answer) Discard() {
	if a != nil && a.More != nil {
		a.More.Close()
	}
}

// Request is a client's request in the form in which it is forwarded, without the header for the time left,
// which the backend inserts between Head and Rest. Attempts share it.
type Request struct {
	Head, Rest []byte  // Head: the request line; Rest: the other headers and the empty line
	Body       []byte  // the whole body, or with Stream its first part
	Stream     *Stream // the rest of the body; nil: Body is complete
	Method     string
	Repeatable bool // another attempt may be made after one that may have run
}

// Render renders a request for forwarding. The header must contain neither the time left nor the body's
// length. stream reads the rest of a body that is not buffered as a whole; nil: body is complete.
func Render(method, target, host string, header http.Header, body []byte, stream *Stream) (*Request, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	// Only the head of this request is used: it is validated, and written in the order of the standard
	// library.
	req := &http.Request{Method: method, URL: u, Host: host, Header: header, Body: http.NoBody}
	var buf bytes.Buffer
	if err := req.Write(&buf); err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	_, rest, _ := bytes.Cut(buf.Bytes(), []byte("\r\n"))
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if stream != nil {
		length = fmt.Sprintf("Content-Length: %d\r\n", stream.Length)
		if stream.Length < 0 {
			length = "Transfer-Encoding: chunked\r\n"
		}
	}
	if len(body) > 0 || stream != nil {
		rest = bytes.Replace(rest, []byte("\r\nContent-Length: 0\r\n"), []byte("\r\n"), 1)
		rest = append(rest[:len(rest)-len("\r\n")], length+"\r\n"...)
	}
	return &Request{Head: fmt.Appendf(nil, "%s %s HTTP/1.1\r\n", method, target), Rest: rest, Body: body, Stream: stream, Method: method}, nil
}
