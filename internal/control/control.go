// Package control is where staff reach a running agent: a listener of its own, HTTP/1.1, one call to a
// connection. 2xx is yes, 4xx and 5xx are no.
//
// Bounds: callsMost connections, of which the oldest unfinished one gives way to one more; each call is
// answered within callLimit of its last byte, or by a no.
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

	"lemonrail/internal/pool"
)

const (
	callsMost = 16                     // connections; those who run the agent are few
	callLimit = 900 * time.Millisecond // a caller waits for 1 s
	readLimit = 5 * time.Second        // for a call to come in
	headBytes = 4 << 10
)

// Route is one call: a method and a path, as net/http's patterns have them, and what answers it. Parts of an
// agent offer their own.
type Route struct {
	Pattern string
	Answer  http.HandlerFunc
}

// Ready answers whether something is so.
func Ready(pattern string, ready func() bool) Route {
	return Route{pattern, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}}
}

// Text answers with what text returns; its error is a no.
func Text(pattern, kind string, text func(context.Context) ([]byte, error)) Route {
	return Route{pattern, func(w http.ResponseWriter, r *http.Request) {
		body, err := text(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", kind)
		w.Write(body)
	}}
}

// Change does something to a backend: PUT /api/WHAT/ID.
func Change(what string, do func(ctx context.Context, backend string) error, log *slog.Logger) Route {
	return Route{"PUT /api/" + what + "/{id}", func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		switch err := do(r.Context(), id); {
		case err == nil:
			log.Info("by hand", "call", what, "backend", id)
			fmt.Fprintln(w, "ok")
		case errors.Is(err, pool.ErrUnknown):
			http.Error(w, err.Error(), http.StatusNotFound)
		default:
			log.Warn("by hand", "call", what, "backend", id, "err", err)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}}
}

// Handler answers the calls.
func Handler(routes []Route) http.Handler {
	mux := http.NewServeMux()
	for _, r := range routes {
		mux.HandleFunc(r.Pattern, r.Answer)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callLimit)
		defer cancel()
		w.Header().Set("Connection", "close")
		if r.ContentLength != 0 { // a caller that sends one means something else
			http.Error(w, "a call has no body", http.StatusBadRequest)
			return
		}
		mux.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Serve answers calls until ctx ends, and returns nil then.
func Serve(ctx context.Context, ln net.Listener, routes []Route, log *slog.Logger) error {
	srv := &http.Server{Handler: Handler(routes), ReadTimeout: readLimit, WriteTimeout: readLimit + callLimit, MaxHeaderBytes: headBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	srv.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.Serve(&crowded{Listener: ln}); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("control listener: %w", err)
	}
	return nil
}

// crowded is a listener with room for callsMost connections. Guards against callers who connect and finish
// no call: they would keep out those who do.
type crowded struct {
	net.Listener
	mu   sync.Mutex
	open list.List // of *caller, the oldest first
}

type caller struct {
	net.Conn
	l    *crowded
	at   *list.Element
	once sync.Once
}

// Accept takes the next caller; the oldest goes where there is no room.
func (l *crowded) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &caller{Conn: nc, l: l}
	l.mu.Lock()
	var oldest *caller
	if l.open.Len() >= callsMost {
		oldest = l.open.Front().Value.(*caller)
	}
	c.at = l.open.PushBack(c)
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

// Close frees the caller's place.
func (c *caller) Close() error {
	c.once.Do(func() {
		c.l.mu.Lock()
		defer c.l.mu.Unlock()
		c.l.open.Remove(c.at)
	})
	return c.Conn.Close()
}
