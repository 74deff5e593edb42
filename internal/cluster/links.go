package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Fault is what a link does to datagrams in one direction.
type Fault struct {
	Cut    bool             // every datagram is dropped
	Loss   float64          // share of datagrams lost
	Double float64          // share of datagrams sent twice
	Delay  [2]time.Duration // minimum and maximum; if they differ, datagrams may be reordered
	Stall  bool             // hold datagrams, at most maxStalled, until Stall is cleared
}

const maxStalled = 1024 // maximum number of datagrams that a stalled link holds; further ones are dropped

// udpLink carries datagrams from one agent to another, or to all others.
type udpLink struct {
	c         *Cluster
	from, to  int            // indexes of the agents; to may be broadcast
	addr      netip.AddrPort // address of the link, to which the sending agent sends
	agentAddr netip.AddrPort // on the diagonal of Cluster.links: the agent's own address
	conn      *net.UDPConn

	mu      sync.Mutex
	fault   Fault
	rng     *rand.Rand
	stalled [][]byte // datagrams that are held while fault.Stall is set
}

// broadcast, as the receiver of a udpLink, stands for all other agents.
const broadcast = -1

// openLinks opens the links between n agents and their broadcast links. Links refuse datagrams until their receivers run.
func (c *Cluster) openLinks(n int) error {
	host, err := freeLoopbackAddr(clusterCount.Add(1))
	if err != nil {
		return err
	}
	c.links, c.broadcastLinks = make([][]*udpLink, n), make([]*udpLink, n)
	for i := range n {
		c.links[i] = make([]*udpLink, n)
		for j := range n {
			r := &udpLink{c: c, from: i, to: j, rng: rand.New(rand.NewPCG(c.options.Seed, uint64(i)<<16|uint64(j)))}
			c.links[i][j] = r
			if i == j {
				r.agentAddr = netip.AddrPortFrom(host, uint16(peerPort+i))
				continue
			}
			if err := r.open(); err != nil {
				return err
			}
		}
		c.broadcastLinks[i] = &udpLink{c: c, from: i, to: broadcast}
		if err := c.broadcastLinks[i].open(); err != nil {
			return err
		}
	}
	for i := range n {
		if err := c.setRefusing(i, true); err != nil {
			return err
		}
	}
	for i := range n {
		for j := range n {
			if i != j {
				c.tasks.Go(c.links[i][j].run)
			}
		}
		c.tasks.Go(c.broadcastLinks[i].run)
	}
	return nil
}

// open binds a free port. The kernel picks it in a first bind, which is undone; the second bind names the port, since a port that
// the kernel picks itself is lost when setRefusing disconnects the socket.
func (r *udpLink) open() (err error) {
	var pc net.PacketConn
	for range 16 {
		var first net.PacketConn
		if first, err = net.ListenPacket("udp4", "127.0.0.1:0"); err != nil {
			break
		}
		at := first.LocalAddr().String()
		first.Close()
		if pc, err = net.ListenPacket("udp4", at); err == nil {
			r.conn = pc.(*net.UDPConn)
			r.addr = r.conn.LocalAddr().(*net.UDPAddr).AddrPort()
			return nil
		}
	}
	return fmt.Errorf("cluster: link %d to %d: %w", r.from, r.to, err)
}

// run forwards datagrams until the cluster is closed.
func (r *udpLink) run() {
	go func() {
		<-r.c.stop
		r.conn.Close()
	}()
	buf := make([]byte, 2048)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		if r.to != broadcast {
			r.forward(data)
			continue
		}
		for j, l := range r.c.links[r.from] {
			if j != r.from {
				l.forward(data)
			}
		}
	}
}

// forward applies the link's fault to a datagram and delivers it.
func (r *udpLink) forward(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := &r.fault
	if f.Cut || r.rng.Float64() < f.Loss {
		return
	}
	if f.Stall {
		if len(r.stalled) < maxStalled {
			r.stalled = append(r.stalled, data)
		}
		return
	}
	n := 1
	if r.rng.Float64() < f.Double {
		n = 2
	}
	for range n {
		if f.Delay[1] <= 0 {
			r.deliver(data)
			continue
		}
		d := f.Delay[0] + time.Duration(r.rng.Float64()*float64(f.Delay[1]-f.Delay[0]))
		time.AfterFunc(d, func() { r.deliver(data) })
	}
}

// deliver sends a datagram to the receiving agent, from the address of the link in the other direction, by which the receiver knows
// the sender.
func (r *udpLink) deliver(data []byte) {
	r.c.links[r.to][r.from].conn.WriteToUDPAddrPort(data, r.c.links[r.to][r.to].agentAddr)
}

// changeFault changes the link's fault and delivers stalled datagrams if Stall is cleared.
func (r *udpLink) changeFault(change func(*Fault)) {
	r.mu.Lock()
	change(&r.fault)
	var held [][]byte
	if !r.fault.Stall {
		held, r.stalled = r.stalled, nil
	}
	r.mu.Unlock()
	for _, data := range held {
		r.deliver(data)
	}
}

// Link changes the faults of the links from each agent of from to each of to, by index.
func (c *Cluster) Link(from, to []int, change func(*Fault)) {
	for _, i := range from {
		for _, j := range to {
			if i != j {
				c.links[i][j].changeFault(change)
			}
		}
	}
}

// setRefusing makes the links to an agent refuse datagrams, as the machine of a dead process does, or accept them. To refuse, a
// link's UDP socket is connected to another address: it accepts nothing from others, and the kernel reports that to the sender.
func (c *Cluster) setRefusing(to int, refuse bool) error {
	for i := range c.links {
		if i == to || c.links[i] == nil || c.links[i][to] == nil || c.links[i][to].conn == nil {
			continue
		}
		raw, err := c.links[i][to].conn.SyscallConn()
		if err != nil {
			return err
		}
		var failed error
		err = raw.Control(func(fd uintptr) {
			if refuse {
				failed = unix.Connect(int(fd), &unix.SockaddrInet4{Port: 9, Addr: [4]byte{127, 255, 255, 254}})
				return
			}
			gone := syscall.RawSockaddr{Family: syscall.AF_UNSPEC}
			if _, _, errno := syscall.RawSyscall(syscall.SYS_CONNECT, fd, uintptr(unsafe.Pointer(&gone)), unsafe.Sizeof(gone)); errno != 0 {
				failed = errno
			}
		})
		if err := errors.Join(err, failed); err != nil && !errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("cluster: link %d to %d: %w", i, to, err)
		}
	}
	return nil
}

// closeLinks closes the sockets of all links.
func (c *Cluster) closeLinks() {
	for i := range c.links {
		for _, r := range append(c.links[i], c.broadcastLinks[i]) {
			if r != nil && r.conn != nil {
				r.conn.Close()
			}
		}
	}
}
