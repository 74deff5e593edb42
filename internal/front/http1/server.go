// Package http1 receives client requests over HTTP/1.1 and answers them as the core decides. Connections are
// accepted through internal/admission, whose Governor decides which are kept.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/admission"
	"lemonrail/internal/core"
	"lemonrail/internal/http1"
	"lemonrail/internal/metrics"
	"lemonrail/internal/wire"
)

// Limits on what a client may use.
const (
	HeadTimeout        = 2600 * time.Millisecond // for a client to send a request's head; the protocol allows 3 s for an unfinished one
	IdleTimeout        = 2200 * time.Millisecond // after which an idle connection is closed; the protocol grants it 2 s
	answerWriteTimeout = 2 * time.Second         // for writing an answer to a client that does not read
	maxTimeLeft        = time.Hour               // a request that says that its client waits longer than this is rejected as invalid
	maxHeadBytes       = 16 << 10                // bytes of a request's head
	maxIDBytes         = 256                     // bytes of a request id
)

// singleValued are the headers that decide how a request is handled: two values would contradict each other.
var singleValued = []string{http1.HeaderCorrelationID, http1.HeaderTenant, http1.HeaderTimeLeft, http1.HeaderRepeat, http1.HeaderWeightHint, http1.HeaderIdempotencyKey, "Content-Length"}

// hopByHop headers apply to one connection and are not forwarded.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// Server serves client requests. Each request gets one answer, as the loop decides.
type Server struct {
	Loop     *core.Loop
	Settings *balance.Settings // settings at the start; SetMaxRetryAfter replaces MaxRetryAfter
	Names    wire.Names        // names of the classes and tenants that Settings knows by index
	Memory   int64             // bytes of memory that the process may use; 0: unknown
	Ready    atomic.Bool       // whether /up answers with 200; false: with 503
	Figures  *metrics.Metrics  // counts requests in hand and answers

	maxRetryAfter atomic.Int64 // set by SetMaxRetryAfter, in nanoseconds plus 1; 0: Settings.MaxRetryAfter applies
}

// HTTP returns the server of client connections. Its timeouts protect against clients that connect and send
// nothing, send incomplete requests, or don't read.
func (s *Server) HTTP(log *slog.Logger) *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: HeadTimeout, IdleTimeout: IdleTimeout, MaxHeaderBytes: maxHeadBytes,
		ErrorLog:    slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: admission.ConnContext, ConnState: admission.StateChanged}
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := admission.ConnFromContext(r.Context())
	if status, err := checkFraming(r, conn.TakeHead()); err != nil {
		reject(conn, w, status, err)
		return
	}
	if r.URL.Path == "/up" {
		s.answerReadiness(conn, w, r)
		return
	}
	c, status, err := s.readCall(conn, w, r)
	if err != nil {
		reject(conn, w, status, err)
		return
	}
	stream := c.Request.(*http1.Request).Stream
	// A request may have been in the kernel's buffer while this process was busy or starting. Without this
	// check it would be forwarded long after its client has disconnected.
	if conn.HungUp() {
		endAbandoned(conn, w, stream)
		return
	}
	if stream == nil {
		conn.RequestRead()
	}
	s.Figures.Active.Add(1)
	defer s.Figures.Active.Add(-1)
	c.HasClientLeft = conn.HungUp
	s.Loop.Post(func() { s.Loop.Arrived(c) })
	var a core.Answer
	select {
	case a = <-c.Reply:
	case <-s.Loop.Done:
		select { // the loop may have answered before it ended
		case a = <-c.Reply:
		default:
			a.Kind = core.Failed
		}
	case <-conn.ClientGone():
		s.clientLeft(conn, w, c, stream)
		return
	case <-r.Context().Done():
		s.clientLeft(conn, w, c, stream)
		return
	}
	if a.Kind == core.Abandoned {
		endAbandoned(conn, w, stream)
		return
	}
	if stream != nil && !stream.Finish() {
		w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	if a.Kind == core.Duplicate {
		conn.PaceLocalAnswer()
	}
	keep := beginAnswer(conn, w)
	outcome := metricResults[a.Kind]
	if err := writeAnswer(conn, w, a); err != nil && a.Kind == core.Served {
		outcome = metrics.Errors
	}
	s.Figures.CountResponse(c.Event.Class, outcome)
	if a.Kind == core.Refused && keep && http.NewResponseController(w).Flush() == nil {
		conn.PaceAfterRefusal() // the client has its answer; its next request waits
	}
	if outcome == metrics.Errors && a.Kind == core.Served {
		panic(http.ErrAbortHandler) // the client sees a truncated answer: short of its length, or without the last chunk
	}
}

// answerReadiness answers a readiness check.
func (s *Server) answerReadiness(conn *admission.Conn, w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 { // a body that it may bring along is not read here
		conn.RequestRead()
	}
	conn.PaceLocalAnswer()
	beginAnswer(conn, w)
	if !s.Ready.Load() {
		http.Error(w, "starting", http.StatusServiceUnavailable)
	}
}

// clientLeft cancels the call of a client that has disconnected.
func (s *Server) clientLeft(conn *admission.Conn, w http.ResponseWriter, c *core.Call, stream *http1.Stream) {
	s.Loop.Post(func() { s.Loop.Left(c) })
	endAbandoned(conn, w, stream)
}

// endAbandoned ends a request whose client has disconnected.
func endAbandoned(conn *admission.Conn, w http.ResponseWriter, stream *http1.Stream) {
	if stream != nil {
		stream.Finish() // marks the end of reading: nobody reads the body after this returns
	}
	// The client may have closed only its sending side. A handler that returns without writing would send it an
	// empty 200 that no backend made.
	reject(conn, w, http.StatusBadGateway, errors.New("the client has gone away"))
}

// checkFraming rejects requests whose end is ambiguous. head holds the raw bytes of the request's head.
func checkFraming(r *http.Request, head []byte) (status int, err error) {
	switch {
	case len(r.TransferEncoding) > 0 && !chunkedOnly(r, head):
		// A request that has both Content-Length and Transfer-Encoding can smuggle another one: net/http drops
		// one of the two headers.
		return http.StatusLengthRequired, errors.New("a body needs one Content-Length or chunks")
	case len(r.TransferEncoding) == 0 && r.ContentLength < 0:
		return http.StatusLengthRequired, errors.New("a body needs a length")
	case !r.ProtoAtLeast(1, 1): // for HTTP/1.0 net/http ignores Transfer-Encoding entirely
		return http.StatusHTTPVersionNotSupported, errors.New("HTTP/1.1 is needed")
	case requestTarget(r) == "" || r.Host == "":
		// Other request targets could not be forwarded unchanged.
		return http.StatusBadRequest, errors.New("a path and a host are needed")
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return http.StatusBadRequest, errors.New("GET takes no body")
	}
	return 0, nil
}

// chunkedOnly reports whether the raw head of a request with a transfer coding certainly has no Content-Length.
func chunkedOnly(r *http.Request, head []byte) bool {
	line := []byte(r.Method + " " + r.RequestURI + " ")
	head = bytes.TrimLeft(head, "\r\n")
	if !bytes.HasPrefix(head, line) {
		return false // the captured bytes are not the head of this request, as parts that arrived early were not captured
	}
	end := len(head) // where the empty line after the head begins; without one, len(head)
	for _, empty := range []string{"\r\n\r\n", "\n\n", "\n\r\n"} {
		if i := bytes.Index(head, []byte(empty)); i >= 0 {
			end = min(end, i)
		}
	}
	return end < len(head) && !bytes.Contains(bytes.ToLower(head[:end]), []byte("\ncontent-length"))
}

// requestTarget returns a request's path and query as received, without the scheme and host that may precede
// them (RFC 9112, section 3.2.2); empty if there is no path.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	const scheme = "http://"
	if len(r.RequestURI) > len(scheme) && strings.EqualFold(r.RequestURI[:len(scheme)], scheme) {
		rest := r.RequestURI[len(scheme):]
		if i := strings.IndexAny(rest, "/?"); i > 0 && rest[i] == '/' {
			return rest[i:]
		}
	}
	return ""
}

// readCall reads and validates a request. With an error it returns the status for the client.
func (s *Server) readCall(conn *admission.Conn, w http.ResponseWriter, r *http.Request) (*core.Call, int, error) {
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil || len(query["key"]) > 1 {
		return nil, http.StatusBadRequest, errors.New("the query makes no sense")
	}
	for _, h := range singleValued {
		if len(r.Header[h]) > 1 {
			return nil, http.StatusBadRequest, fmt.Errorf("%s: more than one", h)
		}
	}
	path, _, _ := strings.Cut(requestTarget(r)[1:], "?")
	name, _, _ := strings.Cut(path, "/")
	class := slices.Index(s.Names.Classes, name)
	if class < 0 {
		return nil, http.StatusNotFound, fmt.Errorf("unknown class %q", name)
	}
	method := http.MethodPost
	effect := s.Settings.Classes[class].Effect
	if effect == balance.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("%s takes %s", name, method)
	}
	id := r.Header.Get(http1.HeaderCorrelationID)
	if id == "" || len(id) > maxIDBytes {
		return nil, http.StatusBadRequest, errors.New(http1.HeaderCorrelationID + ": missing or too long")
	}
	if effect == balance.Keyed && r.Header.Get(http1.HeaderIdempotencyKey) == "" {
		return nil, http.StatusBadRequest, errors.New(http1.HeaderIdempotencyKey + ": missing")
	}
	timeLeft, err := parseTimeLeft(r.Header.Get(http1.HeaderTimeLeft))
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	tenant := 0
	if len(s.Names.Tenants) > 0 {
		if tenant = slices.Index(s.Names.Tenants, r.Header.Get(http1.HeaderTenant)); tenant < 0 {
			return nil, http.StatusBadRequest, fmt.Errorf("%s: unknown tenant", http1.HeaderTenant)
		}
	}
	var work time.Duration
	if workHint := r.Header.Get(http1.HeaderWeightHint); workHint != "" {
		if work, err = parseDecimal(workHint, time.Microsecond); err != nil {
			return nil, http.StatusBadRequest, fmt.Errorf("%s: %w", http1.HeaderWeightHint, err)
		}
	}
	if r.ContentLength > MaxBodyBytes { // rejected before any of it is read
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body over %d bytes", MaxBodyBytes)
	}
	body, stream, status, err := s.readBody(conn, r, timeLeft)
	if status == http.StatusServiceUnavailable { // nothing was processed, so the client may retry
		if retryAfter := s.RetryAfter(); retryAfter > 0 {
			w.Header().Set("Retry-After", formatSeconds(retryAfter))
		}
		s.Figures.CountResponse(class, metrics.Shed)
	}
	if err != nil {
		return nil, status, err
	}
	rendered, err := renderRequest(r, body, stream)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	rendered.Repeatable = effect != balance.Unsafe && stream == nil
	arrived := conn.RequestArrived()
	call := &core.Call{
		Event: balance.Request{ID: id, Class: class, Tenant: tenant, Key: query.Get("key"),
			Work: work, Repeat: r.Header.Get(http1.HeaderRepeat) == "1"},
		Request:  rendered,
		Arrived:  arrived,
		Deadline: arrived.Add(timeLeft),
		Reply:    make(chan core.Answer, 1),
	}
	if effect != balance.Safe {
		call.ClaimKey = "http " + id
	}
	r.Header = nil // many short fields take far more memory than the rendered head
	conn.HeadRendered(len(rendered.Head) + len(rendered.Rest))
	if stream != nil {
		call.Deadline = stream.Deadline()
		call.Arrived = call.Deadline.Add(-timeLeft)
		call.MovingDeadline = stream.Deadline
		call.UploadAllowance = uploadTime(stream.Length, len(body))
	}
	return call, 0, nil
}

// renderRequest renders a request for a backend, without the time left. A request that can't be rendered is
// rejected here: found at a backend, it would count as a failure to connect.
func renderRequest(r *http.Request, body []byte, stream *http1.Stream) (*http1.Request, error) {
	header := r.Header.Clone()
	for _, f := range strings.Split(strings.Join(header["Connection"], ","), ",") {
		if f = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(f)); !slices.Contains(singleValued, f) {
			header.Del(f)
		}
	}
	for _, h := range append(hopByHop, http1.HeaderTimeLeft, "Content-Length") {
		header.Del(h)
	}
	return http1.Render(r.Method, requestTarget(r), r.Host, header, body, stream)
}

// parseDecimal parses a number of units written as plain digits with at most one point: no sign, exponent or
// hexadecimal form, and none of the words that strconv accepts, such as Inf.
func parseDecimal(text string, unit time.Duration) (time.Duration, error) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, fmt.Errorf("%q is no plain number", text)
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v*float64(unit) > float64(maxTimeLeft) {
		return 0, fmt.Errorf("%q is no plain number, or too large", text)
	}
	return time.Duration(v * float64(unit)), nil
}

// parseTimeLeft parses how long a client still waits for its answer: a number with a unit, m for milliseconds or u for
// microseconds.
func parseTimeLeft(text string) (d time.Duration, err error) {
	if number, ok := strings.CutSuffix(text, "m"); ok {
		d, err = parseDecimal(number, time.Millisecond)
	} else if number, ok := strings.CutSuffix(text, "u"); ok {
		d, err = parseDecimal(number, time.Microsecond)
	} else {
		err = fmt.Errorf("%q has no unit, m (milliseconds) or u (microseconds)", text)
	}
	if err != nil {
		return 0, fmt.Errorf("%s: %w", http1.HeaderTimeLeft, err)
	}
	return d, nil
}

// formatSeconds formats a duration in seconds with three decimals, for the Retry-After header.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// RetryAfter returns the time after which a client that the front end itself refuses is asked to try again; 0: the
// settings disable the Retry-After header.
func (s *Server) RetryAfter() time.Duration {
	if !s.Settings.RetryAfter {
		return 0
	}
	if advice := s.maxRetryAfter.Load(); advice > 0 {
		return time.Duration(advice - 1)
	}
	return s.Settings.MaxRetryAfter
}

// SetMaxRetryAfter replaces Settings.MaxRetryAfter while the server runs. It is safe for concurrent use. The other settings
// that the server reads can't change while it runs.
func (s *Server) SetMaxRetryAfter(longest time.Duration) { s.maxRetryAfter.Store(int64(longest) + 1) }
