// Package server is the control process: it takes changes of settings, agrees on them with the other control machines
// (a replica for each group that it votes in), brings them to agents by watches, and knows which revisions the agents
// have in force. What is decided stands in package configuration; here are the connections, the disk and the clock.
package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"lemonrail/internal/configuration"
	"lemonrail/internal/duty/store"
	"lemonrail/internal/replica"
)

// Bounds of what clients may ask.
const (
	watchesMost     = 2000
	connectionsMost = 4096
	headerBytesMost = 32 << 10
	changeBytesMost = 2*configuration.DocumentMost + 4<<10 // a document may be escaped
	reportBytesMost = 32 << 10
	peerBytesMost   = 16 << 20 // of a machine's answer
)

// Time limits.
const (
	headerLimit      = 5 * time.Second
	idleLimit        = time.Minute
	callLimit        = 20 * time.Second // of any call but a watch, from its header to its last byte
	readLimit        = 3 * time.Second  // of confirming a majority before a read
	attemptLimit     = 3 * time.Second  // of proposing a change, here or at the leader
	probeLimit       = time.Second      // of finding whether a machine answers at all
	localStatusLimit = 2 * time.Second
	shutdownLimit    = 5 * time.Second
	routeTicks       = 30 // for which a put seeks the leader: three elections
)

// UpPath answers 200 once the machine's groups are started.
const UpPath = "/up"

// Server is a control process.
type Server struct {
	settings Settings
	own      MachineConfig
	log      *slog.Logger
	groups   map[string]*group // in which this machine votes
	history  *history
	peers    *http.Client
	watches  chan struct{} // holds a value for each open watch
	stopping chan struct{} // closed when the process ends
	up       atomic.Bool
	started  time.Time

	trackerLock sync.Mutex
	tracker     *configuration.Tracker
}

// Run is a control process from its start to the end of ctx.
func Run(ctx context.Context, settings Settings, log *slog.Logger) error {
	s := newServer(settings, log)
	defer s.peers.CloseIdleConnections()
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	defer listener.Close()
	if err := os.MkdirAll(settings.Folder, 0o700); err != nil {
		return fmt.Errorf("folder: %w", err)
	}
	s.history = openHistory(settings.Folder, s.log)
	defer s.history.close()

	replicasCtx, stopReplicas := context.WithCancel(context.WithoutCancel(ctx))
	defer stopReplicas()
	var replicas sync.WaitGroup
	defer replicas.Wait()
	defer stopReplicas()
	if err := s.startGroups(replicasCtx, &replicas); err != nil {
		return err
	}
	s.up.Store(true)
	s.log.Info("started", "address", listener.Addr().String(), "groups", len(s.groups))
	return s.serve(ctx, listener)
}

func newServer(settings Settings, log *slog.Logger) *Server {
	own, _ := settings.machine(settings.Name)
	return &Server{
		settings: settings,
		own:      own,
		log:      log.With("machine", settings.Name),
		groups:   map[string]*group{},
		peers:    newPeerClient(),
		watches:  make(chan struct{}, watchesMost),
		stopping: make(chan struct{}),
		started:  time.Now(),
		tracker:  configuration.NewTracker(settings.Name, 0),
	}
}

// startGroups starts a replica for each group that this machine votes in.
func (s *Server) startGroups(ctx context.Context, running *sync.WaitGroup) error {
	for name, address := range s.own.Groups {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("group %s: %w", name, err)
		}
		g := newGroup(name, s.history, s.log)
		member, err := replica.New(replica.Options{
			Group:    name,
			Name:     s.settings.Name,
			Members:  s.settings.members(name),
			FS:       store.Dir(s.settings.groupFolder(name)),
			Listener: listener,
			Tick:     s.settings.tick(),
			Machine:  g,
			Log:      g.log,
		})
		if err != nil {
			listener.Close()
			return fmt.Errorf("group %s: %w", name, err)
		}
		g.replica = member
		s.groups[name] = g
		running.Go(func() { g.replica.Run(ctx) })
	}
	return nil
}

// serve answers HTTP until ctx is done, and then ends watches and lets calls finish.
func (s *Server) serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    headerBytesMost,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(newLimitedListener(listener, connectionsMost)) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	close(s.stopping)
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownLimit)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		server.Close()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	s.log.Info("stopped")
	return nil
}

// handler is the process's HTTP interface.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configuration.WatchPath, s.watch)
	mux.HandleFunc("POST "+configuration.ReportPath, limited(s.report))
	mux.HandleFunc("POST "+configuration.PutPath, limited(s.put))
	mux.HandleFunc("GET "+configuration.ShowPath, limited(s.show))
	mux.HandleFunc("GET "+configuration.StatusPath, limited(s.status))
	mux.HandleFunc("GET "+configuration.LocalStatusPath, limited(s.localStatus))
	mux.HandleFunc("GET "+configuration.HistoryPath, limited(s.showHistory))
	mux.HandleFunc("GET "+configuration.MachinePath, limited(s.machine))
	mux.HandleFunc("GET "+UpPath, limited(s.answerUp))
	return mux
}

// limited bounds how long a call's connection may take.
func limited(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		until := time.Now().Add(callLimit)
		controller.SetReadDeadline(until)
		controller.SetWriteDeadline(until)
		handle(w, r)
	}
}

func (s *Server) answerUp(w http.ResponseWriter, r *http.Request) {
	if !s.up.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// limitedListener refuses connections over a bound: they are closed at once, so that their clients go elsewhere.
type limitedListener struct {
	net.Listener
	open chan struct{}
}

func newLimitedListener(listener net.Listener, most int) *limitedListener {
	return &limitedListener{Listener: listener, open: make(chan struct{}, most)}
}

// Accept returns the next connection within the bound.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.open <- struct{}{}:
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.open })}, nil
		default:
			conn.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close ends the connection and makes room for another one.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
