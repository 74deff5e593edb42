package rig

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	copyBufferBytes  = 32 << 10
	dialTimeout      = 2 * time.Second      // to connect to a link's target
	acceptRetryDelay = 5 * time.Millisecond // after a temporary error of a listener, such as too many open files
	loopbackAnyPort  = "127.0.0.1:0"
	tcpNetwork       = "tcp"
)

// direction is one of the two directions between two machines, which are given by name.
type direction struct{ from, to string }

// network carries TCP connections between machines, by links that are listeners on loopback addresses. A
// direction that is cut holds bytes back without closing the connection, as a failed network does; they are
// delivered once the direction is healed.
type network struct {
	mu        sync.Mutex
	cut       map[direction]bool // directions that are cut now
	changed   chan struct{}      // closed and replaced on each change of cut
	listeners []net.Listener     // one for each link
	open      map[net.Conn]bool  // open connections, to be closed with the network
	closed    bool
	done      chan struct{}  // closed by close
	tasks     sync.WaitGroup // the network's goroutines
}

func newNetwork() *network {
	return &network{
		cut:     map[direction]bool{},
		changed: make(chan struct{}),
		open:    map[net.Conn]bool{},
		done:    make(chan struct{}),
	}
}

// link opens an address at which the machine named from reaches target, which is an address of the machine
// named to, and returns it.
func (n *network) link(from, to, target string) (address string, err error) {
	listener, err := net.Listen(tcpNetwork, loopbackAnyPort)
	if err != nil {
		return "", err
	}
	n.listeners = append(n.listeners, listener)
	forward := direction{from, to}
	n.tasks.Go(func() { n.accept(listener, forward, target) })
	return listener.Addr().String(), nil
}

// set cuts a direction or, if cut is false, heals it.
func (n *network) set(way direction, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[way] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// waitOpen waits until a direction isn't cut. It returns false if the network is closed.
func (n *network) waitOpen(way direction) bool {
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

// accept accepts connections on a link and carries each to the target, until the network is closed.
func (n *network) accept(listener net.Listener, forward direction, target string) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		n.tasks.Go(func() { n.proxy(conn, forward, target) })
	}
}

// proxy connects to the target and copies bytes between that connection and the incoming one, in both
// directions, until both have ended.
func (n *network) proxy(in net.Conn, forward direction, target string) {
	defer n.closeConn(in)
	if !n.track(in) || !n.waitOpen(forward) {
		return
	}
	out, err := net.DialTimeout(tcpNetwork, target, dialTimeout)
	if err != nil {
		return
	}
	defer n.closeConn(out)
	if !n.track(out) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { n.copyOneWay(in, out, forward) })
	both.Go(func() { n.copyOneWay(out, in, direction{forward.to, forward.from}) })
	both.Wait()
}

// copyOneWay copies bytes in one direction until the source ends. While the direction is cut it holds them
// back.
func (n *network) copyOneWay(from, to net.Conn, way direction) {
	defer func() { // the end is passed on too, but only once the direction isn't cut
		if n.waitOpen(way) {
			if tcp, ok := to.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
		}
	}()
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if !n.waitOpen(way) {
				return
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// track registers a connection, so that close closes it. It returns false if the network is closed.
func (n *network) track(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.open[conn] = true
	return true
}

// closeConn closes a connection and forgets it.
func (n *network) closeConn(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, conn)
	conn.Close()
}

// close closes all links and connections and waits for the network's goroutines.
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
