// Package http1 takes clients' requests over HTTP/1.1, as the protocol page describes them, and answers them
// as the core decides. Connections come by internal/admission, whose governor says which are kept.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
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
	"lemonrail/internal/figures"
	"lemonrail/internal/http1"
	"lemonrail/internal/wire"
)

// Limits on what a client may take.
const (
	HeadLimit    = 2600 * time.Millisecond // for a request's head: 3 s are owed to who never ends it
	IdleLimit    = 2200 * time.Millisecond // for a connection without a request: 2 s are due to it
	writeLimit   = 2 * time.Second         // for an answer, to a client that does not read it
	maxLeft      = time.Hour               // a client that waits for longer has lost its way
	maxHeadBytes = 16 << 10
	MaxBody      = 33 << 20 // bytes of a request's body: clients send up to 32 MB
	maxID        = 256      // bytes of an id

	firstPart  = 64 << 10        // bytes of a body that are read before the module hears of the request
	holdShare  = 32              // of the memory that one body may take, as 1 over it: more is streamed
	holdMost   = 4 << 20         // and the most without a limit on memory
	slowest    = 48 << 10        // bytes a second in which a body has to come: clients give 64 kB
	bodyGrace  = 2 * time.Second // and besides
	uploadMost = 10 * time.Minute
)

// single are the headers that say what becomes of a request: two values contradict each other.
var single = []string{http1.ID, http1.Tenant, http1.TimeLeft, http1.Repeat, http1.Work, http1.Effect, "Content-Length"}

// hopByHop headers belong to one connection and are not passed on.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// Server takes clients' requests. It owes each the one answer that the loop decides on.
type Server struct {
	Loop     *core.Loop
	Settings *balance.Settings // of the start; of what may change while the server runs, see Advise
	Names    wire.Names
	Memory   int64       // bytes that the process may use; 0: not told
	Ready    atomic.Bool // what /up answers
	Figures  *figures.Figures

	advice atomic.Int64 // the longest wait that clients heed, since Advise: as nanoseconds plus 1; 0: as Settings say
}

// HTTP returns the server of clients' connections. Its limits guard against clients that
// connect and say nothing, begin and never end, or don't read.
func (s *Server) HTTP(log *slog.Logger) *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: HeadLimit, IdleTimeout: IdleLimit, MaxHeaderBytes: maxHeadBytes,
		ErrorLog:    slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: admission.Context, ConnState: admission.StateChanged}
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := admission.Of(r.Context())
	if status, err := framing(r, conn.TakeHead()); err != nil {
		refuse(conn, w, status, err)
		return
	}
	if r.URL.Path == "/up" {
		last(conn, w)
		if !s.Ready.Load() {
			http.Error(w, "starting", http.StatusServiceUnavailable)
		}
		return
	}
	c, status, err := s.read(conn, w, r)
	if err != nil {
		refuse(conn, w, status, err)
		return
	}
	stream := c.Request.(*http1.Request).Stream
	// Guards against a request that is sent on long after its client has left: it lay in the kernel while this process
	// was busy, or had just been started.
	if conn.HungUp() {
		leave(conn, w, stream)
		return
	}
	if stream == nil {
		conn.Taken()
	}
	s.Figures.Active.Add(1)
	defer s.Figures.Active.Add(-1)
	c.HungUp = conn.HungUp
	s.Loop.Post(func() { s.Loop.Arrived(c) })
	var a core.Answer
	select {
	case a = <-c.Reply:
	case <-s.Loop.Dead:
		select { // the loop may have answered on its way out
		case a = <-c.Reply:
		default:
			a.Kind = core.Failed
		}
	case <-conn.Gone():
		s.left(conn, w, c, stream)
		return
	case <-r.Context().Done():
		s.left(conn, w, c, stream)
		return
	}
	if a.Kind == core.Abandoned {
		leave(conn, w, stream)
		return
	}
	if stream != nil && !stream.Whole() {
		w.Header().Set("Connection", "close") // the rest of the body is not looked at
	}
	last(conn, w)
	result := results[a.Kind]
	if err := write(conn, w, a); err != nil && a.Kind == core.Served {
		result = figures.Errors
	}
	s.Figures.Ended(c.Event.Class, result)
	if result == figures.Errors && a.Kind == core.Served {
		panic(http.ErrAbortHandler) // the client can tell: neither the length nor the last chunk has come
	}
}

// left ends what is in hand for a client that has gone.
func (s *Server) left(conn *admission.Conn, w http.ResponseWriter, c *core.Call, stream *http1.Stream) {
	s.Loop.Post(func() { s.Loop.Left(c) })
	leave(conn, w, stream)
}

// leave ends a request for whom nobody waits.
func leave(conn *admission.Conn, w http.ResponseWriter, stream *http1.Stream) {
	if stream != nil {
		stream.Whole() // nobody reads the body once this returns
	}
	// Guards against a client that has ended its sending only: a handler that returns without
	// a word would serve it an empty answer that no backend made.
	refuse(conn, w, http.StatusBadGateway, errors.New("the client has gone away"))
}

// results are under what an answer counts.
var results = map[core.Kind]figures.Result{core.Served: figures.OK, core.Refused: figures.Shed,
	core.Failed: figures.Errors, core.Duplicate: figures.Errors}

// last notes that an answer is about to be written, and says in it if it is its connection's last.
// A client that doesn't read it holds the connection no longer than for writeLimit.
func last(conn *admission.Conn, w http.ResponseWriter) {
	if !conn.Answer() {
		w.Header().Set("Connection", "close")
	}
	conn.SetWriteDeadline(time.Now().Add(writeLimit))
}

// refuse turns away what makes no sense, and ends the connection. Guards against what else such a
// client has sent: it may be no request of its own.
func refuse(conn *admission.Conn, w http.ResponseWriter, status int, err error) {
	last(conn, w)
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// framing checks what tells where a request begins and ends. Head holds the bytes of its head as they came.
func framing(r *http.Request, head []byte) (status int, err error) {
	switch {
	case len(r.TransferEncoding) > 0 && !onlyCoded(r, head):
		// Guards against a request that hides another: where the two ways to tell a body's length
		// meet, net/http drops one of them.
		return http.StatusLengthRequired, errors.New("a body needs one Content-Length or chunks")
	case len(r.TransferEncoding) == 0 && r.ContentLength < 0:
		return http.StatusLengthRequired, errors.New("a body needs a length")
	case !r.ProtoAtLeast(1, 1): // there net/http reads past the other way altogether
		return http.StatusHTTPVersionNotSupported, errors.New("HTTP/1.1 is needed")
	case target(r) == "" || r.Host == "":
		// Guards against targets that would not go on as they came.
		return http.StatusBadRequest, errors.New("a path and a host are needed")
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return http.StatusBadRequest, errors.New("GET takes no body")
	}
	return 0, nil
}

// onlyCoded reports whether a head that names a transfer coding surely names no length beside it.
func onlyCoded(r *http.Request, head []byte) bool {
	line := []byte(r.Method + " " + r.RequestURI + " ")
	head = bytes.TrimLeft(head, "\r\n")
	if !bytes.HasPrefix(head, line) {
		return false // it is not this request's: what came early was not seen
	}
	end := len(head)
	for _, empty := range []string{"\r\n\r\n", "\n\n", "\n\r\n"} {
		if i := bytes.Index(head, []byte(empty)); i >= 0 {
			end = min(end, i)
		}
	}
	return end < len(head) && !bytes.Contains(bytes.ToLower(head[:end]), []byte("\ncontent-length"))
}

// target is a request's path and query as they came, without the scheme and host that may stand before them (RFC
// 9112, section 3.2.2); empty: there is none.
func target(r *http.Request) string {
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

// read takes in a whole request. An error comes with the status that tells the client.
func (s *Server) read(conn *admission.Conn, w http.ResponseWriter, r *http.Request) (*core.Call, int, error) {
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil || len(query["key"]) > 1 {
		return nil, http.StatusBadRequest, errors.New("the query makes no sense")
	}
	for _, h := range single {
		if len(r.Header[h]) > 1 {
			return nil, http.StatusBadRequest, fmt.Errorf("%s: more than one", h)
		}
	}
	path, _, _ := strings.Cut(target(r)[1:], "?")
	name, _, _ := strings.Cut(path, "/")
	class := slices.Index(s.Names.Classes, name)
	if class < 0 {
		return nil, http.StatusNotFound, fmt.Errorf("unknown class %q", name)
	}
	want := http.MethodPost
	effect := s.Settings.Classes[class].Effect
	if effect == balance.Safe {
		want = http.MethodGet
	}
	if r.Method != want {
		w.Header().Set("Allow", want)
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("%s takes %s", name, want)
	}
	id := r.Header.Get(http1.ID)
	if id == "" || len(id) > maxID {
		return nil, http.StatusBadRequest, errors.New(http1.ID + ": missing or too long")
	}
	if effect == balance.Keyed && r.Header.Get(http1.Effect) == "" {
		return nil, http.StatusBadRequest, errors.New(http1.Effect + ": missing")
	}
	left, err := parseTimeLeft(r.Header.Get(http1.TimeLeft))
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	tenant := 0
	if len(s.Names.Tenants) > 0 {
		if tenant = slices.Index(s.Names.Tenants, r.Header.Get(http1.Tenant)); tenant < 0 {
			return nil, http.StatusBadRequest, fmt.Errorf("%s: unknown tenant", http1.Tenant)
		}
	}
	var work time.Duration
	if hint := r.Header.Get(http1.Work); hint != "" {
		if work, err = decimal(hint, time.Microsecond); err != nil {
			return nil, http.StatusBadRequest, fmt.Errorf("%s: %w", http1.Work, err)
		}
	}
	if r.ContentLength > MaxBody { // not one byte of it is read
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body over %d bytes", MaxBody)
	}
	body, stream, status, err := s.body(conn, r, left)
	if status == http.StatusServiceUnavailable { // the rest has not been read, and may come again
		if after := s.ComeBack(); after > 0 {
			w.Header().Set("Retry-After", seconds(after))
		}
		s.Figures.Ended(class, figures.Shed)
	}
	if err != nil {
		return nil, status, err
	}
	out, err := encode(r, body, stream)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	var upload time.Duration
	if stream != nil {
		upload = uploadTime(stream.Length, len(body))
	}
	return &core.Call{
		Event: balance.Request{ID: id, Class: class, Tenant: tenant, Key: query.Get("key"),
			Work: work, Repeat: r.Header.Get(http1.Repeat) == "1"},
		Request:  out,
		Deadline: time.Now().Add(upload + left), // counted from its last byte
		Upload:   upload,
		Reply:    make(chan core.Answer, 1),
	}, 0, nil
}

// uploadTime is how long the rest of a body may take to come.
func uploadTime(length int64, read int) time.Duration {
	if length < 0 {
		length = MaxBody
	}
	return min(bodyTime(length-int64(read)), uploadMost)
}

// bodyTime is the time that so many bytes of a body may take.
func bodyTime(bytes int64) time.Duration {
	return bodyGrace + time.Duration(float64(bytes)/slowest*float64(time.Second))
}

// hold is how much of one body is held.
func (s *Server) hold() int64 {
	if s.Memory == 0 {
		return holdMost
	}
	return min(max(s.Memory/holdShare, firstPart), holdMost)
}

// body reads a request's body: all of it where it is short, or may be held and there is room; else its first
// part, with a stream for the rest.
func (s *Server) body(conn *admission.Conn, r *http.Request, left time.Duration) (body []byte, stream *http1.Stream, status int, err error) {
	length := r.ContentLength
	if length == 0 {
		return nil, nil, 0, nil
	}
	first := int64(firstPart)
	if length > 0 {
		first = min(length, firstPart)
	}
	if !conn.Reserve(int(first)) {
		return nil, nil, http.StatusServiceUnavailable, errors.New("too many bodies in hand")
	}
	reader := &bodyReader{conn: conn, r: r.Body, began: time.Now()}
	size := first
	if length > first && length <= s.hold() && conn.Hold(int(length-first)) {
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
			conn.Settle(len(body))
			return body, nil, 0, nil
		case err != nil:
			return nil, nil, http.StatusRequestTimeout, fmt.Errorf("body: %w", err)
		case size == length:
			conn.SetReadDeadline(time.Time{})
			return body, nil, 0, nil
		case length < 0 && 2*size <= s.hold() && conn.Hold(int(size)):
			body = append(make([]byte, 0, 2*size), body...)
			size *= 2
			continue
		}
		abort := func() { conn.SetReadDeadline(time.Unix(1, 0)) }
		return body, http1.NewStream(reader, length, left, abort), 0, nil
	}
}

// bodyReader reads a body that has to come at a rate, and does not end too late.
type bodyReader struct {
	conn  *admission.Conn
	r     io.Reader
	began time.Time
	read  int64
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.conn.ReadBody(b.r, p, b.began.Add(bodyTime(b.read)))
	if b.read += int64(n); b.read > MaxBody {
		return n, fmt.Errorf("body over %d bytes", MaxBody)
	}
	if errors.Is(err, io.EOF) {
		b.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// encode renders a request as it goes on to a backend, but for the time left. Guards against one
// that can't be rendered: found out only at a backend, it would count as a failure to connect.
func encode(r *http.Request, body []byte, stream *http1.Stream) (*http1.Request, error) {
	header := r.Header.Clone()
	for _, f := range strings.Split(strings.Join(header["Connection"], ","), ",") {
		if f = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(f)); !slices.Contains(single, f) {
			header.Del(f)
		}
	}
	for _, h := range append(hopByHop, http1.TimeLeft, "Content-Length") {
		header.Del(h)
	}
	return http1.Render(r.Method, target(r), r.Host, header, body, stream)
}

// decimal reads a number of units as plain digits, with a point at most: no sign, exponent or
// hexadecimal form, nor a word that strconv takes for a number.
func decimal(text string, unit time.Duration) (time.Duration, error) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, fmt.Errorf("%q is no plain number", text)
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v*float64(unit) > float64(maxLeft) {
		return 0, fmt.Errorf("%q is no plain number, or too large", text)
	}
	return time.Duration(v * float64(unit)), nil
}

// parseTimeLeft reads a number and a unit: m for milliseconds or u for microseconds.
func parseTimeLeft(text string) (d time.Duration, err error) {
	if number, ok := strings.CutSuffix(text, "m"); ok {
		d, err = decimal(number, time.Millisecond)
	} else if number, ok := strings.CutSuffix(text, "u"); ok {
		d, err = decimal(number, time.Microsecond)
	} else {
		err = fmt.Errorf("%q has no unit, m (milliseconds) or u (microseconds)", text)
	}
	if err != nil {
		return 0, fmt.Errorf("%s: %w", http1.TimeLeft, err)
	}
	return d, nil
}

// seconds is a time as Retry-After tells it.
func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// ComeBack is when a client may come again that the front turns away by itself; 0 where settings
// allow no such advice.
func (s *Server) ComeBack() time.Duration {
	if !s.Settings.RetryAfter {
		return 0
	}
	if advice := s.advice.Load(); advice > 0 {
		return time.Duration(advice - 1)
	}
	return s.Settings.MaxRetryAfter
}

// Advise replaces the longest wait that clients heed. It may be called from any goroutine. The other settings that the
// server reads can't change while it runs.
func (s *Server) Advise(longest time.Duration) { s.advice.Store(int64(longest) + 1) }

// statuses are what tells a client of an answer that is not served.
var statuses = map[core.Kind]int{
	core.Refused:   http.StatusServiceUnavailable,
	core.Failed:    http.StatusBadGateway,
	core.Duplicate: http.StatusBadRequest,
}

// write passes the final answer on. An error means that a client has not got all of a served one: it has gone,
// or the backend broke off.
func write(conn *admission.Conn, w http.ResponseWriter, a core.Answer) error {
	h := w.Header()
	if a.RetryAfter > 0 {
		h.Set("Retry-After", seconds(a.RetryAfter))
	}
	if a.Kind != core.Served {
		http.Error(w, http.StatusText(statuses[a.Kind]), statuses[a.Kind])
		return nil
	}
	served := a.Payload.(*http1.Answer)
	for _, name := range []string{"Content-Type", "Content-Encoding"} { // what a client needs to read the body
		if v := served.Header[name]; v != nil {
			h[name] = v
		}
	}
	if served.More == nil {
		h.Set("Content-Length", strconv.Itoa(len(served.Body)))
		w.Write(served.Body) // what fails here is the client's loss of its own connection
		return nil
	}
	defer served.Discard()
	if served.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(served.Length, 10))
	}
	return pass(conn, w, served)
}

const passStall = 10 * time.Second // for a client to take one part: peers take seconds

// pass hands a long answer on as it comes.
func pass(conn *admission.Conn, w http.ResponseWriter, a *http1.Answer) error {
	out := http.NewResponseController(w)
	part := a.Body
	a.Body = nil // it may be gone before the rest has come
	buf := http1.TakePart()
	defer http1.GivePart(buf)
	for {
		for len(part) > 0 {
			n := min(len(part), http1.PartSize)
			conn.SetWriteDeadline(time.Now().Add(passStall))
			if _, err := w.Write(part[:n]); err != nil {
				return err
			}
			part = part[n:]
		}
		if err := out.Flush(); err != nil {
			return err
		}
		n, err := a.More.Read(buf[:])
		if part = buf[:n]; err == nil || n > 0 && errors.Is(err, io.EOF) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		return fmt.Errorf("backend: %w", err)
	}
}
