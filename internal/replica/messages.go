package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lemonrail/internal/replica/transport"
	"lemonrail/internal/replica/voter"
)

const (
	protocolMagic = "lemonrail replica 1"
	pingInterval  = 2 * time.Second
	silenceLimit  = 3 * pingInterval // a connection on which nothing comes is dialled anew
)

// Frames between members hold the voters' messages: their kinds follow that of the hello.
const (
	firstKind = transport.KindHello + 1
	kindCount = firstKind + transport.Kind(voter.KindJoin) + 1
)

func (r *Replica) protocol() transport.Protocol {
	admit := func(name string) bool { return name != r.options.Name && r.options.address(name) != "" }
	return transport.Protocol{Magic: protocolMagic, Group: r.options.Group, Name: r.options.Name, Kinds: kindCount, Ping: pingInterval, Silence: silenceLimit, Admit: admit}
}

// serve starts the goroutines of the connections; the channel is closed once they have ended.
func (r *Replica) serve(ctx context.Context) (finished chan struct{}) {
	var connections sync.WaitGroup
	connections.Go(func() { r.server.Run(ctx) })
	for _, peer := range r.peers {
		connections.Go(func() { peer.Run(ctx, rand.Float64) })
	}
	finished = make(chan struct{})
	go func() {
		connections.Wait()
		close(finished)
	}()
	return finished
}

// invalid takes note of a frame that can't be decoded.
func (r *Replica) invalid(err error) { r.log.Warn("a connection is closed", "err", err) }

// post hands f to the replica's goroutine; it waits while there is no room.
func (r *Replica) post(f func()) {
	select {
	case r.inbox <- f:
	case <-r.stopped:
	}
}

// receive takes a frame; it is called by the connections' goroutines.
func (r *Replica) receive(c *transport.Conn, kind transport.Kind, content []byte) {
	if kind < firstKind {
		return // a second hello
	}
	m, err := voter.Decode(voter.Kind(kind-firstKind), content)
	if err != nil {
		r.invalid(fmt.Errorf("%w: %w", transport.ErrFrame, err))
		c.Close()
		return
	}
	r.post(func() {
		if answer := r.voter.Receive(c.Peer(), m); answer != nil {
			c.SendJSON(firstKind+transport.Kind(voter.KindCheckInReply), answer)
		}
	})
}
