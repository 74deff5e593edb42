package agent

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
)

// clients keeps the number of clients' connections under a cap, so that backends have their
// share of the sockets. At the cap the connection that has been silent for longest gives way,
// never one with a request in hand. The cap is a quarter of the sockets: clients may hold a third
// for requests, and those that ask once and stay would leave them none to ask on.
type clients struct {
	most    int // 0: no cap
	sockets *sockets
	room    func() // called when the sockets run out

	mu     sync.Mutex
	open   map[net.Conn]*list.Element // in silent, or nil while a request is in hand
	silent *list.List                 // of net.Conn, the longest silent first
}

func newClients(socks *sockets, room func()) *clients {
	return &clients{most: int(socks.limit) / 4, sockets: socks, room: room,
		open: map[net.Conn]*list.Element{}, silent: list.New()}
}

type connKey struct{}

// context lets a handler find its connection.
func (c *clients) context(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// changed follows the connections' states.
func (c *clients) changed(nc net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.sockets.open.Add(1)
		c.quiet(nc)
		c.fit()
		if c.sockets.full() { // room for the next one
			c.room()
		}
	case http.StateIdle:
		c.quiet(nc)
	case http.StateClosed:
		c.sockets.open.Add(-1)
		c.mu.Lock()
		defer c.mu.Unlock()
		if e := c.open[nc]; e != nil {
			c.silent.Remove(e)
		}
		delete(c.open, nc)
	}
}

// fit closes silent connections until the cap holds.
func (c *clients) fit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.most > 0 && len(c.open) > c.most && c.silent.Len() > 0 {
		nc := c.silent.Remove(c.silent.Front()).(net.Conn)
		delete(c.open, nc) // it counts no longer; its StateClosed is still to come
		nc.Close()
	}
}

// quiet notes that nc is open with no request in hand.
func (c *clients) quiet(nc net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.open[nc]; e != nil {
		c.silent.MoveToBack(e)
		return
	}
	c.open[nc] = c.silent.PushBack(nc)
}

// busy notes that the connection of a handler has a request in hand. It reports whether the
// connection is still there: one that has just given way must not have its request sent on.
func (c *clients) busy(ctx context.Context) bool {
	nc, _ := ctx.Value(connKey{}).(net.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	e, open := c.open[nc]
	if e != nil {
		c.silent.Remove(e)
		c.open[nc] = nil
	}
	return open
}
