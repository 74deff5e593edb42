// Package server is the control process. It takes configuration changes, replicates them among the control
// machines (with one replica for each group that this machine votes in), sends them to agents over watches,
// and tracks which revisions the agents have in force. The decisions are made in package configuration; this
// package has the connections, the disk and the clock.
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

	"lemonrail/internal/accept"
	"lemonrail/internal/configuration"
	"lemonrail/internal/duty/store"
	"lemonrail/internal/replica"
)

// Limits on clients' requests and connections.
const (
	maxWatches           = 2000                                     // open watches of agents
	maxConnections       = 4096                                     // open connections of all kinds
	maxHeaderBytes       = 32 << 10                                 // of a request's header
	maxChangeBytes       = 2*configuration.MaxDocumentBytes + 4<<10 // escaping in JSON may lengthen a document
	maxReportBytes       = 32 << 10
	maxPeerResponseBytes = 16 << 20 // of another machine's response
)

// Timeouts.
const (
	headerTimeout      = 5 * time.Second  // to read the header of a request
	idleTimeout        = time.Minute      // of a kept connection without a request
	callTimeout        = 20 * time.Second // of any call but a watch, from its header to the last byte of the response
	readTimeout        = 3 * time.Second  // to confirm a majority before a read
	proposeTimeout     = 3 * time.Second  // to propose a change, here or at the leader
	probeTimeout       = time.Second      // to check that a machine answers
	localStatusTimeout = 2 * time.Second  // to get another machine's agents
	shutdownTimeout    = 5 * time.Second  // for calls in flight when the process ends
	routeTimeoutTicks  = 30               // raft ticks for which a call looks for the leader: three elections
)

// UpPath is the path that answers 200 once the machine's groups are started.
const UpPath = "/up"

// Server is the control process of one machine.
type Server struct {
	settings   Settings
	ownMachine MachineConfig // this machine's entry in the settings
	log        *slog.Logger
	groups     map[string]*group // by name; only those in which this machine votes
	history    *history
	peers      *http.Client  // for calls to other control machines
	watchSlots chan struct{} // holds a value for each open watch
	stopping   chan struct{} // closed when the process ends
	ready      atomic.Bool   // all groups are started
	started    time.Time

	trackerMu sync.Mutex
	tracker   *configuration.Tracker
}

// Run runs a control process until ctx is done.
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
	s.ready.Store(true)
	s.log.Info("started", "address", listener.Addr().String(), "groups", len(s.groups))
	return s.serve(ctx, listener)
}

func newServer(settings Settings, log *slog.Logger) *Server {
	own, _ := settings.machine(settings.Name)
	return &Server{
		settings:   settings,
		ownMachine: own,
		log:        log.With("machine", settings.Name),
		groups:     map[string]*group{},
		peers:      newPeerClient(),
		watchSlots: make(chan struct{}, maxWatches),
		stopping:   make(chan struct{}),
		started:    time.Now(),
		tracker:    configuration.NewTracker(settings.Name, 0),
	}
}

// startGroups starts a replica for each group in which this machine votes.
func (s *Server) startGroups(ctx context.Context, running *sync.WaitGroup) error {
	for name, address := range s.ownMachine.Groups {
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
			Log:      s.log, // the replica adds the group's name
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

// serve answers HTTP requests until ctx is done. Then it ends the watches and waits up to shutdownTimeout for
// other calls.
func (s *Server) serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(newLimitedListener(accept.Retry(listener, nil, s.log), maxConnections)) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	close(s.stopping)
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
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

// handler returns the process's HTTP routes.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configuration.WatchPath, s.handleWatch)
	mux.HandleFunc("POST "+configuration.ReportPath, withDeadlines(s.handleReport))
	mux.HandleFunc("POST "+configuration.PutPath, withDeadlines(s.handlePut))
	mux.HandleFunc("GET "+configuration.ShowPath, withDeadlines(s.handleShow))
	mux.HandleFunc("GET "+configuration.StatusPath, withDeadlines(s.handleStatus))
	mux.HandleFunc("GET "+configuration.LocalStatusPath, withDeadlines(s.localStatus))
	mux.HandleFunc("GET "+configuration.HistoryPath, withDeadlines(s.showHistory))
	mux.HandleFunc("GET "+configuration.MachinePath, withDeadlines(s.handleMachine))
	mux.HandleFunc("GET "+UpPath, withDeadlines(s.serveUp))
	return mux
}

// withDeadlines limits how long a call may read from and write to its connection.
func withDeadlines(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		until := time.Now().Add(callTimeout)
		controller.SetReadDeadline(until)
		controller.SetWriteDeadline(until)
		handle(w, r)
	}
}

func (s *Server) serveUp(w http.ResponseWriter, r *http.Request) {
	if !s.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// limitedListener closes connections over its limit at once, so that their clients try another machine.
type limitedListener struct {
	net.Listener
	slots chan struct{} // holds a value for each open connection
}

// newLimitedListener returns a listener with at most maxOpen open connections.
func newLimitedListener(listener net.Listener, maxOpen int) *limitedListener {
	return &limitedListener{Listener: listener, slots: make(chan struct{}, maxOpen)}
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			conn.Close()
		}
	}
}

// limitedConn is a connection that holds a slot of its listener until it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and frees its slot in the listener.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
