package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"lemonrail/internal/admission"
	diameterback "lemonrail/internal/backend/diameter"
	http1back "lemonrail/internal/backend/http1"
	"lemonrail/internal/core"
	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/overload"
	"lemonrail/internal/diameter/relay"
	diameterfront "lemonrail/internal/front/diameter"
)

// capabilitiesTimeout is how long a Diameter client may take to send its capabilities exchange.
const capabilitiesTimeout = 5 * time.Second

// diameterConnectionMemory is the memory in bytes that has to be there for each client's connection: a whole message, its
// copies towards a server and back, buffers and goroutines.
const diameterConnectionMemory = 192 << 10

// diameterDescriptorShare is the divisor of the descriptors for connections that gives those that Diameter clients may take. The
// others are left to clients over HTTP/1.1 and to backends.
const diameterDescriptorShare = 2

// diameterConnections returns how many clients may be connected, of that many configured ones, with the memory in bytes and the
// descriptors that the process may use; of both, 0 is unknown.
func diameterConnections(configured int, memory, descriptors int64) int {
	limit := configured
	if memory > 0 {
		limit = min(limit, int(memory/diameterConnectionMemory))
	}
	if descriptors > 0 {
		limit = min(limit, int(descriptors/diameterDescriptorShare))
	}
	return limit
}

// WithDiameter has the agent serve Diameter clients besides those of HTTP/1.1, by the rules of a file. The classes of the
// file are appended to those of the settings: one balancer, with one retry budget and one view of the backends, serves both
// protocols.
func (c *Config) WithDiameter(r *relay.Rules) error {
	if r.Config().Listen == "" {
		return errors.New("diameter: listen: missing")
	}
	c.diameter, c.diameterClassOffset = r, len(c.Settings.Classes)
	c.Settings.Classes = append(c.Settings.Classes[:c.diameterClassOffset:c.diameterClassOffset], r.Classes...)
	return nil
}

// protocolBackend sends each request over the protocol by which it came: Diameter, or else HTTP/1.1.
type protocolBackend struct {
	http1    *http1back.Upstream
	diameter *diameterback.Backend
}

func (b *protocolBackend) Exchange(ctx context.Context, p *core.Permit, to core.Target, request any) core.Response {
	if r, ok := request.(*diameterback.Request); ok {
		return b.diameter.Exchange(ctx, p, to, r)
	}
	return b.http1.Exchange(ctx, p, to, request)
}

func (b *protocolBackend) Probe(to core.Target) core.Response { return b.http1.Probe(to) }

func (b *protocolBackend) CloseIdleExcept(wanted func(core.Target) bool) {
	b.http1.CloseIdleExcept(wanted)
	b.diameter.CloseIdleExcept(wanted)
}

// diameterPart adds Diameter to a loop that serves HTTP/1.1. It does nothing where the agent does not speak Diameter.
func diameterPart(cfg *Config, l *core.Loop, up *http1back.Upstream, sockets *http1back.Sockets, clients *admission.Listener,
	countDescriptors func(delta int), processes *processGroup, log *slog.Logger) (*part, error) {
	if cfg.diameter == nil {
		return &part{name: "diameter"}, nil
	}
	c := cfg.diameter.Config()
	listener := &diameterListener{address: c.Listen}
	if err := listener.open(); err != nil && !isPassingListenError(err, processes.predecessorRuns()) {
		return nil, fmt.Errorf("diameter clients: %w", err)
	}
	back := diameterback.New(diameterback.Config{Rules: cfg.diameter, Identity: c.Identity, Realm: c.Realm,
		ConnectTimeout: cfg.Settings.ConnectTimeout, Window: c.Window, Peer: diameter.DefaultPeerConfig(), Log: log,
		Descriptors: countDescriptors, FreeDescriptor: clients.FreeDescriptor,
		OnLeaving: func(id string, leaves bool) { l.Post(func() { l.SetLeaving(id, leaves) }) }})
	front, err := diameterfront.New(diameterfront.Config{Rules: cfg.diameter, Identity: c.Identity, Realm: c.Realm, ClassOffset: cfg.diameterClassOffset,
		Limits: cfg.diameter.Limits(cfg.MemoryMB << 20), Overload: overload.DefaultConfig(), Peer: diameter.DefaultPeerConfig(), Connections: diameterConnections(c.Connections, cfg.MemoryMB<<20, sockets.Limit),
		Descriptors: countDescriptors, FreeDescriptor: clients.FreeDescriptor, HasRoom: clients.HasRoom,
		BackendByIdentity: back.BackendByIdentity, CERTimeout: capabilitiesTimeout, Log: log}, l)
	if err != nil {
		back.Close()
		listener.close()
		return nil, err
	}
	l.Backend = &protocolBackend{http1: up, diameter: back}
	drainCtx, beginDrain := context.WithCancel(context.Background())
	return &part{name: "diameter",
		start: func(t *tasks) {
			t.Go(func(context.Context) error {
				ln, err := listener.await(drainCtx)
				switch {
				case drainCtx.Err() != nil || errors.Is(err, errListenerClosed): // the process stops before its predecessor has
					return nil
				case err != nil:
					return fmt.Errorf("diameter clients: %w", err)
				}
				log.Info("serving diameter", "listen", ln.Addr().String())
				return front.Serve(drainCtx, ln, func() time.Time { return time.Now().Add(cfg.answerTimeout - cfg.drainDelay) })
			})
		},
		beginStop: func(time.Time) {
			if processes.successorServes() { // which listens from now on
				listener.close()
			}
		},
		drain: beginDrain,
		close: func() {
			beginDrain()
			listener.close()
			back.Close() // no attempt begins any more by now
		}}, nil
}
