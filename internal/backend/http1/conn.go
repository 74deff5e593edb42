package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/core"
	"lemonrail/internal/http1"
	"lemonrail/internal/wire"
)

// This file writes requests to a connection and reads their answers.

// conn is a connection to a backend that carries one request at a time.
type conn struct {
	net.Conn
	limited   *io.LimitedReader // bounds the bytes read of one answer, its head included
	r         *bufio.Reader     // reads from limited
	idleSince time.Time         // when its last attempt ended; meaningful while it is idle
	attempts  *atomic.Int64     // Upstream.attempts
}

// errBrokenAnswer marks an answer that can't be parsed or ended early. The backend is reachable and has run the
// request.
var errBrokenAnswer = errors.New("broken answer")

// roundTrip writes the request and reads its answer. A failure before the last byte is written proves that the
// request never ran; after that it may have run. reusable reports whether the connection can carry another request.
func (c *conn) roundTrip(ctx context.Context, p *core.Permit, out *http1.Request) (r core.Response, reusable bool) {
	buf := make([]byte, 0, len(out.Head)+len(out.Rest)+len(http1.HeaderTimeLeft)+24+min(len(out.Body), maxJoinedBody))
	buf = append(buf, out.Head...)
	if out.Stream != nil {
		buf = fmt.Appendf(buf, "%s: %du\r\n", http1.HeaderTimeLeft, max(0, time.Until(out.Stream.Deadline()).Microseconds()))
	} else if deadline, ok := ctx.Deadline(); ok {
		buf = fmt.Appendf(buf, "%s: %du\r\n", http1.HeaderTimeLeft, max(0, time.Until(deadline).Microseconds()))
	}
	buf = append(buf, out.Rest...)
	if by := p.WriteDeadline(); !by.IsZero() {
		c.SetWriteDeadline(by)
		c.applyCancellation(ctx)
	}
	if !p.BeginWrite(func() { c.SetDeadline(pastDeadline) }) {
		return core.Response{Result: balance.DroppedUnsent}, true
	}
	limit := newUploadLimit(out.Stream, func() { c.SetDeadline(pastDeadline) })
	err := c.send(buf, out, limit)
	expired := limit.stop()
	if err != nil {
		if p.Revoked() {
			return core.Response{Result: balance.DroppedUnsent}, false
		}
		if ctx.Err() != nil {
			return core.Response{Result: dialResult(ctx, err)}, false
		}
		if errors.Is(err, http1.ErrBodyTaken) || errors.Is(err, http1.ErrBodyIncomplete) {
			return core.Response{Result: balance.NotSent}, false
		}
		// A connection that was given up had not broken: the backend is alive, but hangs.
		return core.Response{Result: balance.ConnectFailed, OtherConnectionsOpen: expired}, false
	}
	if revoked := p.EndWrite(); revoked || expired { // too late: the whole request is written and may run, so read its answer
		c.SetDeadline(time.Time{})
		c.applyCancellation(ctx)
	}
	var sent time.Time
	if out.Stream != nil {
		sent = time.Now()
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, out.Stream.Deadline())
		defer cancel()
		stop := context.AfterFunc(ctx, func() { c.SetDeadline(pastDeadline) })
		defer func() {
			if !stop() {
				reusable = false
			}
		}()
		defer func() { r.SentAt = sent }()
	}
	c.attempts.Add(1)
	resp, body, complete, err := c.readAnswer(ctx, answerTerms{out.Method, out.Repeatable})
	switch {
	case err == nil:
	case errors.Is(ctx.Err(), context.Canceled):
		return core.Response{Result: balance.Cancelled}, false
	case ctx.Err() != nil:
		return core.Response{Result: balance.TimedOut}, false
	case errors.Is(err, errBrokenAnswer):
		return core.Response{Result: balance.Errored}, false
	default:
		return core.Response{Result: balance.Reset}, false
	}
	a := &http1.Answer{Header: resp.Header, Body: body}
	if !complete {
		deadline, _ := ctx.Deadline()
		a.Length, a.More = resp.ContentLength, &stream{conn: c, body: resp.Body, started: time.Now(), deadline: deadline, knownLong: resp.ContentLength >= 0, bytesRead: len(body)}
	}
	r = core.Response{Result: resultOf(resp), Payload: a}
	if report := resp.Header[http1.HeaderLoad]; len(report) == 1 {
		if l, err := wire.ParseLoad([]byte(report[0])); err == nil {
			r.Load = l
		}
	}
	return r, !resp.Close && (!complete || c.r.Buffered() == 0)
}

const maxJoinedBody = 16 << 10 // bytes of a body that are written together with its head

// send writes a request: buf, which holds the request's head, then out's body and the rest of its stream within limit.
func (c *conn) send(buf []byte, out *http1.Request, limit *uploadLimit) error {
	write := func(p []byte) error {
		limit.beginWrite()
		defer limit.endWrite()
		_, err := c.Write(p)
		return err
	}
	chunked := out.Stream != nil && out.Stream.Length < 0
	if chunked && len(out.Body) > 0 {
		buf = fmt.Appendf(buf, "%x\r\n", len(out.Body))
	}
	body := out.Body
	if len(body) <= maxJoinedBody {
		buf, body = append(buf, body...), nil
	}
	if err := write(buf); err != nil {
		return err
	}
	if len(body) > 0 {
		if err := write(body); err != nil {
			return err
		}
	}
	if out.Stream == nil {
		return nil
	}
	part := http1.GetBuffer()
	defer http1.PutBuffer(part)
	tail := ""
	if chunked && len(out.Body) > 0 {
		tail = "\r\n"
	}
	err := out.Stream.Copy(part[:], func(p []byte) error {
		if chunked {
			framed := fmt.Appendf(make([]byte, 0, len(p)+16), "%s%x\r\n", tail, len(p))
			p, tail = append(framed, p...), "\r\n"
		}
		return write(p)
	})
	if err == nil && chunked {
		err = write([]byte(tail + "0\r\n\r\n"))
	}
	return err
}

// answerTerms is what the reading of an answer depends on. It doesn't hold the request, whose body is released once it has
// been written.
type answerTerms struct {
	method     string
	repeatable bool // see http1.Request.Repeatable
}

// readAnswer reads the final answer, or the first part of a long one. Errors other than errBrokenAnswer mean
// that the connection broke before the answer began, or that ctx ended.
func (c *conn) readAnswer(ctx context.Context, terms answerTerms) (resp *http.Response, body []byte, complete bool, err error) {
	started := false
	defer func() {
		// A failure after the first bytes is a broken answer, unless the connection was reset.
		if err != nil && started && !errors.Is(err, syscall.ECONNRESET) {
			err = fmt.Errorf("%w: %w", errBrokenAnswer, err)
		}
	}()
	c.limited.N = int64(maxInformational*maxHeadBytes) + maxBodyBytes
	for range maxInformational {
		if _, err := c.r.Peek(1); err != nil {
			return nil, nil, false, err
		}
		started = true
		if err := c.awaitHead(ctx, terms); err != nil {
			return nil, nil, false, err
		}
		resp, err = http.ReadResponse(c.r, &http.Request{Method: terms.method})
		if err != nil {
			return nil, nil, false, err
		}
		if resp.StatusCode >= 200 {
			break
		}
		c.setReadTimeout(ctx, 0) // the final answer may take until the end of ctx
	}
	switch {
	case resp.StatusCode < 200:
		return nil, nil, false, errors.New("no final answer after the informational ones")
	case resp.StatusCode != http.StatusOK && resp.ContentLength < 0:
		resp.Close = true // only the status is needed, and without a length the connection can't be reused
		return resp, nil, true, nil
	case resp.ContentLength > maxBodyBytes:
		return nil, nil, false, errors.New("answer body too long") // rejected before it is read
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = io.NopCloser(http1.NewChunkReader(c.r))
	}
	body, complete, err = c.readBody(ctx, terms, resp)
	return resp, body, complete, err
}

// readBody reads an answer's body, or the first part of a long one. A body that is long or of unknown length is streamed when
// it isn't complete soon, or when its backend pauses, even before its first byte: the backend may still write it. A body
// without a length ends with its connection; a truncated one ends with a reset or not at all.
func (c *conn) readBody(ctx context.Context, terms answerTerms, resp *http.Response) (body []byte, complete bool, err error) {
	long, unknown := resp.ContentLength > maxBufferedBody, resp.ContentLength < 0
	capacity := int(resp.ContentLength)
	if unknown || long {
		capacity = initialBodySize
	}
	body = make([]byte, 0, capacity)
	maxFirstPart := maxBufferedBody
	if long { // not read whole, and each first part occupies memory until its client takes it
		maxFirstPart = initialBodySize
	}
	start := time.Now()
	for len(body) <= maxFirstPart {
		if len(body) == cap(body) {
			if len(body) == capacity && !unknown && !long {
				return body, true, nil
			}
			body = slices.Grow(body, cap(body))
		}
		if long || unknown {
			c.setReadTimeout(ctx, stallTimeout)
		} else {
			c.setReadTimeout(ctx, terms.brokenAfter(ctx))
		}
		n, err := resp.Body.Read(body[len(body):min(cap(body), maxFirstPart+1)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case (long || unknown) && ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded):
			return body, false, nil
		case err != nil:
			return body, false, err
		case (long || unknown) && time.Since(start) >= firstPartWait:
			return body, false, nil
		}
	}
	return body, false, nil
}

// setReadTimeout bounds the wait for the next read of an answer; 0 removes the bound. The end of ctx stays in
// force.
func (c *conn) setReadTimeout(ctx context.Context, d time.Duration) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d)
	}
	c.SetReadDeadline(at)
	c.applyCancellation(ctx)
}

// applyCancellation restores the past deadline if ctx has already ended and its deadline was overwritten.
func (c *conn) applyCancellation(ctx context.Context) {
	if ctx.Err() != nil {
		c.SetDeadline(pastDeadline)
	}
}

// awaitHead waits for a whole head without consuming it. It detects invalid data, for which ReadResponse would
// wait until the end of the line, and rejects heads with two lengths or without an end.
func (c *conn) awaitHead(ctx context.Context, terms answerTerms) error {
	const version = "HTTP/1."
	for n := 1; ; {
		seen, _ := c.r.Peek(c.r.Buffered())
		if m := min(len(seen), len(version)); string(seen[:m]) != version[:m] {
			return errors.New("not an HTTP/1 response")
		}
		if i := bytes.Index(seen, []byte("\r\n\r\n")); i >= 0 {
			lowered := bytes.ToLower(seen[:i])
			if bytes.Contains(lowered, []byte("\r\ntransfer-encoding:")) && bytes.Contains(lowered, []byte("\r\ncontent-length:")) {
				return errors.New("both Transfer-Encoding and Content-Length")
			}
			return nil
		}
		n = len(seen) + 1
		if n > maxHeadBytes {
			return errors.New("response head too long")
		}
		c.setReadTimeout(ctx, terms.brokenAfter(ctx))
		if _, err := c.r.Peek(n); err != nil {
			return err
		}
	}
}

// brokenAfter returns how long a backend may pause within the head or the body of a short answer until another attempt is
// worth more than the rest; 0: until ctx ends, as no other attempt can be made.
func (t answerTerms) brokenAfter(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	switch {
	case !t.repeatable:
		return 0
	case !bounded:
		return maxStallTimeout
	}
	return min(max(time.Duration(float64(time.Until(deadline))*stallShare), stallTimeout), maxStallTimeout)
}

// resultOf returns the result that an attempt has by the status of its answer.
func resultOf(resp *http.Response) balance.Result {
	switch resp.StatusCode {
	case http.StatusOK:
		return balance.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(http1.HeaderNotProcessed) == "1" {
			return balance.Full
		}
	}
	return balance.Errored
}
