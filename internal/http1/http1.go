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

// Request is a client's request as it goes on to a backend, but for the time left, which
// stands between its two parts. Attempts share it.
type Request struct {
	Head, Rest []byte
	Method     string
}

// Render writes a request out. The headers must not tell the time left or the body's length.
func Render(method, target, host string, header http.Header, body []byte) (*Request, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	req := &http.Request{Method: method, URL: u, Host: host, Header: header,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	var buf bytes.Buffer
	if err := req.Write(&buf); err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	_, rest, _ := bytes.Cut(buf.Bytes(), []byte("\r\n"))
	return &Request{Head: fmt.Appendf(nil, "%s %s HTTP/1.1\r\n", method, target), Rest: rest, Method: method}, nil
}
