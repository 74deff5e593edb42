package agent

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"aldermux"
)

// Headers of the protocol.
const (
	headerID       = "X-Correlation-Id"
	headerTenant   = "X-Account"
	headerTimeLeft = "X-Time-Left"
	headerRepeat   = "X-Repeat"
	headerWork     = "X-Weight-Hint"
	headerEffect   = "Idempotency-Key"
	headerLoad     = "X-Backend-Load"
	headerNotRun   = "X-Unprocessed"
)

const (
	readLimit    = 5 * time.Second // for a request's head, and again for its body
	maxLeft      = time.Hour       // a client that waits for longer has lost its way
	maxHeadBytes = 16 << 10
)

// hopByHop headers belong to one connection and are not passed on.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// server takes clients' requests. It owes each the one answer that the loop decides on.
type server struct {
	loop     *loop
	cfg      *Config
	sockets  *sockets
	ready    atomic.Bool
	draining atomic.Bool
}

// newHTTP returns the server of clients' connections, which counts them as sockets.
func (s *server) newHTTP(log *slog.Logger) *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: readLimit, MaxHeaderBytes: maxHeadBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				s.sockets.open.Add(1)
				if s.sockets.full() { // room for the next one
					s.loop.up.evict()
				}
			case http.StateClosed:
				s.sockets.open.Add(-1)
			}
		}}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/up" {
		if !s.ready.Load() {
			http.Error(w, "starting", http.StatusServiceUnavailable)
		}
		return
	}
	c, status, err := s.read(w, r, arrived)
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	s.loop.post(func() { s.loop.arrived(c) })
	select {
	case a := <-c.reply:
		write(w, a)
	case <-r.Context().Done():
		s.loop.post(func() { s.loop.left(c) })
	case <-s.loop.dead:
		select { // the loop may have answered on its way out
		case a := <-c.reply:
			write(w, a)
		default:
			write(w, answer{status: http.StatusBadGateway})
		}
	}
}

// read takes in a whole request. An error comes with the status that tells the client.
func (s *server) read(w http.ResponseWriter, r *http.Request, arrived time.Time) (*call, int, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class := slices.Index(s.cfg.Names.Classes, name)
	if class < 0 {
		return nil, http.StatusNotFound, fmt.Errorf("unknown class %q", name)
	}
	want := http.MethodPost
	effect := s.cfg.Settings.Classes[class].Effect
	if effect == aldermux.Safe {
		want = http.MethodGet
	}
	if r.Method != want {
		w.Header().Set("Allow", want)
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("%s takes %s", name, want)
	}
	id := r.Header.Get(headerID)
	if id == "" {
		return nil, http.StatusBadRequest, errors.New(headerID + ": missing")
	}
	if effect == aldermux.Keyed && r.Header.Get(headerEffect) == "" {
		return nil, http.StatusBadRequest, errors.New(headerEffect + ": missing")
	}
	left, err := parseTimeLeft(r.Header.Get(headerTimeLeft))
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	tenant := 0
	if len(s.cfg.Names.Tenants) > 0 {
		if tenant = slices.Index(s.cfg.Names.Tenants, r.Header.Get(headerTenant)); tenant < 0 {
			return nil, http.StatusBadRequest, fmt.Errorf("%s: unknown tenant", headerTenant)
		}
	}
	var work time.Duration
	if hint := r.Header.Get(headerWork); hint != "" {
		us, err := strconv.ParseFloat(hint, 64)
		if err != nil || !(us >= 0 && us <= float64(maxLeft.Microseconds())) {
			return nil, http.StatusBadRequest, fmt.Errorf("%s: %q is no number of microseconds", headerWork, hint)
		}
		work = time.Duration(us * float64(time.Microsecond))
	}
	body, status, err := readBody(w, r)
	if err != nil {
		return nil, status, err
	}
	header := r.Header.Clone()
	for _, f := range strings.Split(strings.Join(header["Connection"], ","), ",") {
		header.Del(strings.TrimSpace(f))
	}
	for _, h := range append(hopByHop, "Expect") {
		header.Del(h)
	}
	return &call{
		event: aldermux.Request{ID: id, Class: class, Tenant: tenant, Key: r.URL.Query().Get("key"),
			Work: work, Repeat: r.Header.Get(headerRepeat) == "1"},
		out:      outgoing{method: r.Method, url: r.URL, host: r.Host, header: header, body: body},
		deadline: arrived.Add(left),
		reply:    make(chan answer, 1),
	}, 0, nil
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, int, error) {
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	// Guards against a client that begins a body and does not end it.
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(readLimit)); err != nil {
		return nil, http.StatusInternalServerError, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body over %d bytes", maxBody)
	case err != nil:
		return nil, http.StatusBadRequest, fmt.Errorf("body: %w", err)
	}
	return body, 0, rc.SetReadDeadline(time.Time{})
}

// parseTimeLeft reads a number and a unit: m for milliseconds or u for microseconds.
func parseTimeLeft(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || math.IsNaN(v) || v < 0 || v*float64(unit) > float64(maxLeft) {
		return 0, fmt.Errorf("%s: %q is no number of milliseconds (m) or microseconds (u)", headerTimeLeft, text)
	}
	return time.Duration(v * float64(unit)), nil
}

// write passes the final answer on. What fails here is the client's loss of its own connection.
func write(w http.ResponseWriter, a answer) {
	h := w.Header()
	for name, values := range a.header {
		if name != headerLoad && !slices.Contains(hopByHop, name) {
			h[name] = values
		}
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	if a.status != http.StatusOK {
		http.Error(w, http.StatusText(a.status), a.status)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.Write(a.body)
}
