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

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	limit *io.LimitedReader
	r     *bufio.Reader
	since time.Time // idle since
	tries *atomic.Int64
}

// errSpoilt is an answer that can't be read, or not to its end. The backend is there, and has
// run the request.
var errSpoilt = errors.New("spoilt answer")

// roundTrip writes the request and reads the whole answer. Whatever breaks before the last
// byte is written proves that the request never ran; after that it may have.
func (c *conn) roundTrip(ctx context.Context, p *core.Permit, out *http1.Request) (r core.Response, reusable bool) {
	buf := make([]byte, 0, len(out.Head)+len(out.Rest)+len(http1.TimeLeft)+24+joined)
	buf = append(buf, out.Head...)
	if out.Stream != nil {
		buf = fmt.Appendf(buf, "%s: %du\r\n", http1.TimeLeft, out.Stream.Left.Microseconds())
	} else if deadline, ok := ctx.Deadline(); ok {
		buf = fmt.Appendf(buf, "%s: %du\r\n", http1.TimeLeft, max(0, time.Until(deadline).Microseconds()))
	}
	buf = append(buf, out.Rest...)
	if by := p.By(); !by.IsZero() {
		c.SetWriteDeadline(by)
		c.heed(ctx)
	}
	if !p.Begin(func() { c.SetDeadline(longAgo) }) {
		return core.Response{Result: balance.Withdrawn}, true
	}
	if err := c.send(buf, out); err != nil {
		if p.Taken() {
			return core.Response{Result: balance.Withdrawn}, false
		}
		if ctx.Err() != nil {
			return core.Response{Result: dialResult(ctx, err)}, false
		}
		if errors.Is(err, http1.ErrTaken) || errors.Is(err, http1.ErrBody) {
			return core.Response{Result: balance.NotSent}, false
		}
		return core.Response{Result: balance.ConnectFailed}, false
	}
	if p.Whole() { // the cut came too late: what has been written may run, and its answer is read
		c.SetDeadline(time.Time{})
		c.heed(ctx)
	}
	var sent time.Time
	if out.Stream != nil { // its time counts from here
		sent = time.Now()
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, out.Stream.Left)
		defer cancel()
		stop := context.AfterFunc(ctx, func() { c.SetDeadline(longAgo) })
		defer func() {
			if !stop() {
				reusable = false
			}
		}()
		defer func() { r.Sent = sent }()
	}
	c.tries.Add(1)
	resp, body, whole, err := c.answer(ctx, out.Method)
	switch {
	case err == nil:
	case errors.Is(ctx.Err(), context.Canceled):
		return core.Response{Result: balance.Cancelled}, false
	case ctx.Err() != nil:
		return core.Response{Result: balance.TimedOut}, false
	case errors.Is(err, errSpoilt):
		return core.Response{Result: balance.Errored}, false
	default:
		return core.Response{Result: balance.Reset}, false
	}
	a := &http1.Answer{Header: resp.Header, Body: body}
	if !whole {
		until, _ := ctx.Deadline()
		a.Length, a.More = resp.ContentLength, &stream{c: c, body: resp.Body, until: until, long: resp.ContentLength >= 0, read: len(body)}
	}
	r = core.Response{Result: result(resp), Payload: a}
	if report := resp.Header[http1.Load]; len(report) == 1 {
		if l, err := wire.ParseLoad([]byte(report[0])); err == nil {
			r.Load = l
		}
	}
	return r, !resp.Close && (!whole || c.r.Buffered() == 0)
}

const joined = 16 << 10 // bytes of a body that are written together with its head

// send writes a request whose head is in buf.
func (c *conn) send(buf []byte, out *http1.Request) error {
	chunked := out.Stream != nil && out.Stream.Length < 0
	if chunked && len(out.Body) > 0 {
		buf = fmt.Appendf(buf, "%x\r\n", len(out.Body))
	}
	body := out.Body
	if len(body) <= joined {
		buf, body = append(buf, body...), nil
	}
	if _, err := c.Write(buf); err != nil {
		return err
	}
	if len(body) > 0 {
		if _, err := c.Write(body); err != nil {
			return err
		}
	}
	if out.Stream == nil {
		return nil
	}
	part := http1.TakePart()
	defer http1.GivePart(part)
	tail := ""
	if chunked && len(out.Body) > 0 {
		tail = "\r\n"
	}
	err := out.Stream.Copy(part[:], func(p []byte) error {
		if chunked {
			framed := fmt.Appendf(make([]byte, 0, len(p)+16), "%s%x\r\n", tail, len(p))
			p, tail = append(framed, p...), "\r\n"
		}
		_, err := c.Write(p)
		return err
	})
	if err == nil && chunked {
		_, err = io.WriteString(c, tail+"0\r\n\r\n")
	}
	return err
}

// answer reads the final answer, of a long one the first part. An error that is no errSpoilt comes from a
// connection that broke before the answer began, or from the end of ctx.
func (c *conn) answer(ctx context.Context, method string) (resp *http.Response, body []byte, whole bool, err error) {
	begun := false
	defer func() {
		// What breaks once bytes have come is a spoilt answer, unless the connection was reset.
		if err != nil && begun && !errors.Is(err, syscall.ECONNRESET) {
			err = fmt.Errorf("%w: %w", errSpoilt, err)
		}
	}()
	c.limit.N = int64(maxInfos*maxHead) + mostReply
	for range maxInfos {
		if _, err := c.r.Peek(1); err != nil {
			return nil, nil, false, err
		}
		begun = true
		if err := c.head(ctx); err != nil {
			return nil, nil, false, err
		}
		resp, err = http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, nil, false, err
		}
		if resp.StatusCode >= 200 {
			break
		}
		c.within(ctx, 0) // the final answer takes its time
	}
	switch {
	case resp.StatusCode < 200:
		return nil, nil, false, errors.New("no final answer")
	case resp.StatusCode != http.StatusOK && resp.ContentLength < 0:
		resp.Close = true // the status says it all, and the connection is of no further use
		return resp, nil, true, nil
	case resp.ContentLength > mostReply:
		return nil, nil, false, errors.New("too long") // and not read first
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = io.NopCloser(http1.NewChunkReader(c.r))
	}
	body, whole, err = c.body(ctx, resp)
	return resp, body, whole, err
}

// body reads an answer's body, of a long one the first part. What goes on coming is no spoilt one, however slow:
// a long one, or one of unknown length, is passed on when it is not there soon. One without a length ends with
// its connection; what was cut short ends with a reset or not at all.
func (c *conn) body(ctx context.Context, resp *http.Response) (body []byte, whole bool, err error) {
	long, unknown := resp.ContentLength > wholeReply, resp.ContentLength < 0
	room := int(resp.ContentLength)
	if unknown || long {
		room = bodyPart
	}
	body = make([]byte, 0, room)
	first := wholeReply
	if long { // there is no whole one to wait for, and each first part is held until its client takes it
		first = bodyPart
	}
	began := time.Now()
	for len(body) <= first {
		if len(body) == cap(body) {
			if len(body) == room && !unknown && !long {
				return body, true, nil
			}
			body = slices.Grow(body, cap(body))
		}
		c.within(ctx, stallLimit)
		n, err := resp.Body.Read(body[len(body):min(cap(body), first+1)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil && long && len(body) > 0 && ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded):
			return body, false, nil
		case err != nil:
			return body, false, err
		case (long || unknown) && time.Since(began) >= firstWait:
			return body, false, nil
		}
	}
	return body, false, nil
}

// within bounds the wait for what is read next of an answer; 0 lifts the bound. The end of ctx
// stays in force.
func (c *conn) within(ctx context.Context, d time.Duration) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d)
	}
	c.SetReadDeadline(at)
	c.heed(ctx)
}

// heed keeps the end of ctx in force behind another deadline: it may have struck before, and been overwritten.
func (c *conn) heed(ctx context.Context) {
	if ctx.Err() != nil {
		c.SetDeadline(longAgo)
	}
}

// head waits for a whole head without taking it. Guards against noise, of which ReadResponse
// would wait for the end of the line, and against heads that give two lengths or don't end.
func (c *conn) head(ctx context.Context) error {
	const version = "HTTP/1."
	for n := 1; ; {
		seen, _ := c.r.Peek(c.r.Buffered())
		if m := min(len(seen), len(version)); string(seen[:m]) != version[:m] {
			return errors.New("no HTTP")
		}
		if i := bytes.Index(seen, []byte("\r\n\r\n")); i >= 0 {
			low := bytes.ToLower(seen[:i])
			if bytes.Contains(low, []byte("\r\ntransfer-encoding:")) && bytes.Contains(low, []byte("\r\ncontent-length:")) {
				return errors.New("two lengths")
			}
			return nil
		}
		n = len(seen) + 1
		if n > maxHead {
			return errors.New("head without end")
		}
		c.within(ctx, stallLimit)
		if _, err := c.r.Peek(n); err != nil {
			return err
		}
	}
}

// result reads the outcome of an attempt off an answer.
func result(resp *http.Response) balance.Result {
	switch resp.StatusCode {
	case http.StatusOK:
		return balance.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(http1.NotRun) == "1" {
			return balance.Full
		}
	}
	return balance.Errored
}
