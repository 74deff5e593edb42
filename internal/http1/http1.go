// Package http1 holds what fronts and backends that speak HTTP/1.1 hand each other through the core: the
// request as it goes on and the answer as it came back, and the protocol's headers.
package http1

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// Headers of the protocol.
const (
	ID       = "X-Correlation-Id"
	Tenant   = "X-Account"
	TimeLeft = "X-Time-Left"
	Repeat   = "X-Repeat"
	Work     = "X-Weight-Hint"
	Effect   = "Idempotency-Key"
	Load     = "X-Backend-Load"
	NotRun   = "X-Unprocessed"
)

// Answer is a backend's answer. What is long comes in two parts: Body is what has come so far, More the rest.
type Answer struct {
	Header http.Header
	Body   []byte
	More   io.ReadCloser // nil: Body is all. Its owner must close it; an error but io.EOF: what came is not whole
	Length int64         // of all of it, with More; -1: not known
}

// Discard gives up the rest of an answer that nobody gets.
func (a *Answer) Discard() {
	if a != nil && a.More != nil {
		a.More.Close()
	}
}

// Request is a client's request as it goes on to a backend, but for the time left, which stands between Head and
// Rest. Attempts share it.
type Request struct {
	Head, Rest []byte // Rest: the other headers and the empty line
	Body       []byte // all of it, or with Stream its first part
	Stream     *Stream
	Method     string
}

// Render writes a request out. The headers must not tell the time left or the body's length. The rest of a
// body that is not held whole is stream's.
func Render(method, target, host string, header http.Header, body []byte, stream *Stream) (*Request, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	// Only the head is wanted of this: it is checked, and written in the order of the standard library.
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
