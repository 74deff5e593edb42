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
	protocolMagic  = "lemonrail replica 1" // name and version of the protocol
	pingInterval   = 2 * time.Second
	silenceTimeout = 3 * pingInterval // a connection that receives nothing for this long is closed and dialled again
)

// Frames between members hold voter messages. Their frame kinds follow that of the hello.
const (
	firstVoterKind = transport.KindHello + 1                             // a voter.Kind k is sent as frame kind firstVoterKind + k
	kindCount      = firstVoterKind + transport.Kind(voter.KindJoin) + 1 // number of frame kinds
)

// protocol returns the parameters of the connections to the other members, which are the only ones accepted.
func (r *Replica) protocol() transport.Protocol {
	admit := func(name string) bool { return name != r.options.Name && r.options.address(name) != "" }
	return transport.Protocol{Magic: protocolMagic, Group: r.options.Group, Name: r.options.Name, KindCount: kindCount, PingInterval: pingInterval, SilenceTimeout: silenceTimeout, Admit: admit}
}

// serve starts the goroutines of the server and the dialers; finished is closed once they have ended.
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

// logInvalid logs an invalid frame or message, whose connection is closed.
func (r *Replica) logInvalid(err error) {
	r.log.Warn("connection closed: invalid data received", "err", err)
}

// post sends f to the replica's goroutine. It blocks while the inbox is full, and drops f once the replica has stopped.
func (r *Replica) post(f func()) {
	select {
	case r.inbox <- f:
	case <-r.stopped:
	}
}

// receive decodes a frame and passes it to the voter. It is called on the connections' goroutines.
func (r *Replica) receive(c *transport.Conn, kind transport.Kind, content []byte) {
	if kind < firstVoterKind {
		return // a repeated hello
	}
	m, err := voter.Decode(voter.Kind(kind-firstVoterKind), content)
	if err != nil {
		r.logInvalid(fmt.Errorf("%w: %w", transport.ErrInvalidFrame, err))
		c.Close()
		return
	}
	r.post(func() {
		if answer := r.voter.Receive(c.Peer(), m); answer != nil {
			c.SendJSON(firstVoterKind+transport.Kind(voter.KindCheckInReply), answer)
		}
	})
}
