package rig

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	pieceBytes   = 32 << 10
	dialTimeout  = 2 * time.Second
	acceptPause  = 5 * time.Millisecond // after a listener's passing error, such as too many open files
	loopbackAny  = "127.0.0.1:0"
	networkProto = "tcp"
)

// direction is one way between two machines.
type direction struct{ from, to string }

// network carries TCP connections between machines. A direction that is cut holds bytes back without closing the
// connection, as a network does; they go on when it is healed.
type network struct {
	mu        sync.Mutex
	cut       map[direction]bool
	changed   chan struct{} // closed and made anew with each change of cut
	listeners []net.Listener
	open      map[net.Conn]bool
	closed    bool
	done      chan struct{}
	tasks     sync.WaitGroup
}

func newNetwork() *network {
	return &network{
		cut:     map[direction]bool{},
		changed: make(chan struct{}),
		open:    map[net.Conn]bool{},
		done:    make(chan struct{}),
	}
}

// link opens an address at which `from` reaches target, an address of `to`.
func (n *network) link(from, to, target string) (address string, err error) {
	listener, err := net.Listen(networkProto, loopbackAny)
	if err != nil {
		return "", err
	}
	n.listeners = append(n.listeners, listener)
	there := direction{from, to}
	n.tasks.Go(func() { n.accept(listener, there, target) })
	return listener.Addr().String(), nil
}

// set cuts or heals a direction.
func (n *network) set(way direction, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[way] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// pass waits until a direction isn't cut; false: the network ends.
func (n *network) pass(way direction) bool {
	for {
		n.mu.Lock()
		cut, changed := n.cut[way], n.changed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-n.done:
			return false
		}
	}
}

func (n *network) accept(listener net.Listener, there direction, target string) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		n.tasks.Go(func() { n.carry(conn, there, target) })
	}
}

// carry joins a connection with one to the target.
func (n *network) carry(in net.Conn, there direction, target string) {
	defer n.drop(in)
	if !n.track(in) || !n.pass(there) {
		return
	}
	out, err := net.DialTimeout(networkProto, target, dialTimeout)
	if err != nil {
		return
	}
	defer n.drop(out)
	if !n.track(out) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { n.pump(in, out, there) })
	both.Go(func() { n.pump(out, in, direction{there.to, there.from}) })
	both.Wait()
}

// pump carries bytes one way until its source ends.
func (n *network) pump(from, to net.Conn, way direction) {
	defer func() { // the other side hears of the end, but only once the direction isn't cut
		if n.pass(way) {
			if tcp, ok := to.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
		}
	}()
	piece := make([]byte, pieceBytes)
	for {
		count, err := from.Read(piece)
		if count > 0 {
			if !n.pass(way) {
				return
			}
			if _, err := to.Write(piece[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// track keeps a connection so that close ends it; false: the network has ended.
func (n *network) track(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.open[conn] = true
	return true
}

func (n *network) drop(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, conn)
	conn.Close()
}

func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	for conn := range n.open {
		conn.Close()
	}
	n.mu.Unlock()
	close(n.done)
	for _, listener := range n.listeners {
		listener.Close()
	}
	n.tasks.Wait()
}
