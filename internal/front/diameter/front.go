// Package diameter implements the Diameter relay's client side: it accepts clients' requests and sends them
// the answers that the core obtains.
//
// Each connection has a reader and a writer goroutine; each pending request has a goroutine that waits for
// the core's answer. A mutex guards the connections and the table of requests. A request that is resent, on
// the same connection or another, is treated as the same request: it has one final answer, which is sent to
// all waiters. Bounded are the number of connections, the time until a client has sent its CER, the messages
// queued for each client, and, by relay.Limits, the pending requests, the kept answers and the answers that clients don't read.
package diameter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"lemonrail/internal/accept"
	"lemonrail/internal/core"
	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/overload"
	"lemonrail/internal/diameter/relay"
)

// Config holds the parameters of a Front.
type Config struct {
	Rules             *relay.Rules
	Identity          string                                          // the relay's Diameter identity, for Origin-Host
	Realm             string                                          // the relay's realm, for Origin-Realm
	ClassOffset       int                                             // index of the rules' first class among the decision module's classes
	Limits            relay.Limits                                    // of the pending requests and the kept answers
	Overload          overload.Config                                 // for clients that accept overload reports
	Peer              diameter.PeerConfig                             // timing of the clients' connections
	BackendByIdentity func(identity string) (backend string, ok bool) // returns the backend whose server has this Diameter identity
	Connections       int                                             // maximum number of client connections; for further ones see accept
	CERTimeout        time.Duration                                   // time limit for a client's CER
	Descriptors       func(delta int)                                 // called when the number of descriptors that clients hold changes; may be nil
	FreeDescriptor    func()                                          // called when the process is out of descriptors; may be nil
	HasRoom           func() bool                                     // reports whether the process's limit on descriptors is kept; may be nil
	Log               *slog.Logger
}

// Front accepts Diameter clients and passes their requests to the core.
type Front struct {
	cfg       Config
	loop      *core.Loop
	startedAt time.Time
	wait      sync.WaitGroup

	queues clientQueues
	pacer  pacer

	mu        sync.Mutex
	reporter  *overload.Reporter // counts answers and refusals of all clients
	table     *relay.Table       // pending and recently answered requests
	conns     map[uint64]*conn   // open connections, by number
	lastConn  uint64             // number of the last connection
	callCount uint64             // number of requests passed to the core
	busyCount uint64             // number of requests refused here with DIAMETER_TOO_BUSY
	stopping  bool               // a planned stop has begun: a DPR was sent to the clients, pending requests are still answered
	closed    bool               // no connections or requests are accepted any longer
}

// New returns a front that passes requests to loop.
func New(cfg Config, loop *core.Loop) (*Front, error) {
	if cfg.Descriptors == nil {
		cfg.Descriptors = func(int) {}
	}
	if cfg.HasRoom == nil {
		cfg.HasRoom = func() bool { return true }
	}
	load, err := overload.New(cfg.Overload, uint64(time.Now().Unix())<<20) // sequence numbers above those of an earlier process
	if err != nil {
		return nil, err
	}
	return &Front{cfg: cfg, loop: loop, startedAt: time.Now(), reporter: load, table: relay.NewTable(cfg.Limits), conns: map[uint64]*conn{},
		queues: clientQueues{answers: relay.NewAnswerQueues(cfg.Limits.MaxQueuedBytes)}}, nil
}

// now returns the time since the start; it is never 0, which the state machines take for unset.
func (f *Front) now() time.Duration { return time.Since(f.startedAt) + time.Millisecond }

// Serve accepts connections until ctx ends. It then closes them, once all pending requests have been answered
// or the time that stopDeadline returns has passed, and waits for its goroutines. If ln is closed earlier, no further
// connections are accepted, and those that are open are served until ctx ends.
func (f *Front) Serve(ctx context.Context, ln net.Listener, stopDeadline func() time.Time) error {
	clientListener := accept.Retry(ln, f.cfg.FreeDescriptor, f.cfg.Log)
	stop := context.AfterFunc(ctx, func() { clientListener.Close() })
	defer stop()
	var fault error
	for {
		nc, err := clientListener.Accept()
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				fault = fmt.Errorf("diameter clients: %w", err)
			}
			break
		}
		f.cfg.Descriptors(1)
		f.awaitDescriptor(ctx)
		if !f.accept(nc) {
			nc.Close()
			f.cfg.Descriptors(-1)
		}
	}
	if fault == nil {
		<-ctx.Done()
	}
	clients := f.disconnectClients()
	deadline := stopDeadline()
	for ; time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		n := f.table.Pending()
		f.mu.Unlock()
		if n == 0 && !slices.ContainsFunc(clients, (*conn).awaitsDPA) {
			break
		}
	}
	f.mu.Lock()
	f.closed = true
	open := slices.Collect(maps.Values(f.conns))
	f.mu.Unlock()
	for _, c := range open {
		c.closeAfterWrites()
	}
	late := time.AfterFunc(time.Until(deadline), func() { // abandons what is still queued
		for _, c := range open {
			c.Close()
		}
	})
	defer late.Stop()
	f.wait.Wait()
	if f.busyCount > 0 {
		f.cfg.Log.Info("diameter requests were refused for want of room here", "count", f.busyCount)
	}
	return fault
}

// disconnectClients sends a DPR (RFC 6733, 5.4) to the clients that have exchanged capabilities, closes the
// connections of the others and returns all connections. Requests that still arrive are accepted; the
// connections are closed once all requests have been answered.
func (f *Front) disconnectClients() (clients []*conn) {
	f.pacer.stop()
	f.mu.Lock()
	f.stopping = true
	for _, c := range f.conns {
		clients = append(clients, c)
	}
	f.mu.Unlock()
	for _, c := range clients { // without the lock, since a connection takes it while holding its own
		c.mu.Lock()
		switch {
		case c.closed:
		case c.name == "":
			c.Close()
		default:
			c.step(diameter.Event{Input: diameter.Stop, Cause: diameter.Rebooting})
		}
		c.mu.Unlock()
	}
	return clients
}

// stopState reports whether a planned stop has begun, and how many requests are pending.
func (f *Front) stopState() (stopping bool, pending int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping, f.table.Pending()
}

// Limits on the wait of a new connection for the descriptors of clients that are closed for it.
const (
	maxDescriptorWait      = 250 * time.Millisecond
	descriptorPollInterval = 2 * time.Millisecond
)

// awaitDescriptor waits until the process's limit on descriptors is kept, with that of the connection that was just accepted.
func (f *Front) awaitDescriptor(ctx context.Context) {
	end := time.Now().Add(maxDescriptorWait)
	for !f.cfg.HasRoom() && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(descriptorPollInterval)
	}
}

// accept starts the goroutines of a new connection. Beyond the bound it takes the place of the oldest one that has not
// exchanged capabilities; without one, accept returns false.
func (f *Front) accept(nc net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || len(f.conns) >= f.cfg.Connections && !f.closeStranger() {
		return false
	}
	f.lastConn++
	cfg := f.cfg.Peer
	cfg.Persistent = false
	c := &conn{Conn: nc, front: f, id: f.lastConn, lastID: rand.Uint32(),
		peer: diameter.NewPeer(f.cfg.Identity, cfg, rand.New(rand.NewPCG(rand.Uint64(), 0)))}
	c.writes = newOutbox(func(bytes int) { f.queues.add(c.id, bytes) })
	f.conns[c.id] = c
	f.wait.Go(c.write)
	f.wait.Go(c.read)
	return true
}

// closeStranger closes the oldest connection whose client has not exchanged capabilities, and reports whether there was one.
// The caller holds f.mu.
func (f *Front) closeStranger() bool {
	var oldest *conn
	for _, c := range f.conns {
		if !c.known.Load() && (oldest == nil || c.id < oldest.id) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(f.conns, oldest.id)
	oldest.Close()
	return true
}
