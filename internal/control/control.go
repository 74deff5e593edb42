// Package control serves the calls by which operators and their tools reach a running agent: HTTP/1.1 on a listener
// of its own, with one call on each connection. A call that succeeds is answered with 2xx, one that fails with 4xx or
// 5xx.
//
// Bounds: at most maxConnections connections; a further one closes the oldest. A handler has answerTimeout from the
// last byte of its call, then it answers with an error status.
package control

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"lemonrail/internal/accept"
	"lemonrail/internal/connstate"
	"lemonrail/internal/pool"
)

const (
	maxConnections = 16                     // open connections: an agent has few operators
	answerTimeout  = 900 * time.Millisecond // below the 1 s that a caller waits
	readTimeout    = 5 * time.Second        // for reading a whole call
	maxHeaderBytes = 4 << 10
)

// Route is one call of the control listener: a pattern of net/http.ServeMux and its handler. Each part of an agent
// contributes the routes of its own calls.
type Route struct {
	Pattern string // such as "GET /api/ready"
	Handle  http.HandlerFunc
}

// ReadyRoute returns a route that answers 200 where ready returns true, and 503 otherwise.
func ReadyRoute(pattern string, ready func() bool) Route {
	return Route{pattern, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}}
}

// TextRoute returns a route that answers with the body that produce returns, as contentType. If produce
// returns an error, the route answers with 503 and the error's text.
func TextRoute(pattern, contentType string, produce func(context.Context) ([]byte, error)) Route {
	return Route{pattern, func(w http.ResponseWriter, r *http.Request) {
		body, err := produce(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", contentType)
		w.Write(body)
	}}
}

// BackendRoute returns the route PUT /api/ACTION/ID, which applies an action of the operators to a backend. An unknown
// backend is answered with 404, another error with 503.
func BackendRoute(action string, apply func(ctx context.Context, backend string) error, log *slog.Logger) Route {
	return Route{"PUT /api/" + action + "/{id}", func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		switch err := apply(r.Context(), id); {
		case err == nil:
			log.Info("operator changed a backend", "call", action, "backend", id)
			fmt.Fprintln(w, "ok")
		case errors.Is(err, pool.ErrUnknownBackend):
			http.Error(w, err.Error(), http.StatusNotFound)
		default:
			log.Warn("operator's change of a backend failed", "call", action, "backend", id, "err", err)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}}
}

// Handler returns a handler that dispatches to the routes. It rejects calls with a body.
func Handler(routes []Route) http.Handler {
	mux := http.NewServeMux()
	for _, r := range routes {
		mux.HandleFunc(r.Pattern, r.Handle)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithDeadline(r.Context(), arrivalOf(r).Add(answerTimeout))
		defer cancel()
		w.Header().Set("Connection", "close")
		if r.ContentLength != 0 { // no call takes a body, so one with a body is a mistake of the caller
			http.Error(w, "a call has no body", http.StatusBadRequest)
			return
		}
		mux.ServeHTTP(w, r.WithContext(ctx))
	})
}

// connectionKey is the key of the connection in a call's context.
type connectionKey struct{}

// withConnection stores a connection that limitedListener has accepted in the context of its calls.
func withConnection(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*trackedConn); ok {
		nc = c.Conn
	}
	return context.WithValue(ctx, connectionKey{}, nc)
}

// arrivalOf returns when the last byte of a call arrived. The call may have waited to be accepted and read.
func arrivalOf(r *http.Request) time.Time {
	if nc, ok := r.Context().Value(connectionKey{}).(net.Conn); ok {
		return connstate.LastArrival(nc)
	}
	return time.Now()
}

// Serve serves the routes on ln until ctx ends, and then returns nil.
func Serve(ctx context.Context, ln net.Listener, routes []Route, log *slog.Logger) error {
	srv := &http.Server{Handler: Handler(routes), ReadTimeout: readTimeout, WriteTimeout: readTimeout + answerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: withConnection,
		ErrorLog:    slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	srv.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.Serve(&limitedListener{Listener: accept.Retry(ln, nil, log)}); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("control listener: %w", err)
	}
	return nil
}

// limitedListener is a listener with at most maxConnections open connections. It closes the oldest for a new one, since
// callers who connect without finishing a call would otherwise lock out all others.
type limitedListener struct {
	net.Listener // connections are accepted here
	mu           sync.Mutex
	conns        list.List // of *trackedConn, the oldest first
}

// trackedConn is an accepted connection that counts against the limit of its listener until it is closed.
type trackedConn struct {
	net.Conn
	listener *limitedListener // whose count the connection is part of
	element  *list.Element    // of listener.conns
	once     sync.Once        // makes a second Close harmless
}

// Accept waits for the next connection. At the limit it closes the oldest open connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: nc, listener: l}
	l.mu.Lock()
	var oldest *trackedConn
	if l.conns.Len() >= maxConnections {
		oldest = l.conns.Front().Value.(*trackedConn)
	}
	c.element = l.conns.PushBack(c)
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

// Close closes the connection and removes it from its listener's count.
func (c *trackedConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.conns.Remove(c.element)
	})
	return c.Conn.Close()
}
