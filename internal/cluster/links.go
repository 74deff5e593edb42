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

// Fault is what a link does to datagrams, one way.
type Fault struct {
	Cut    bool
	Loss   float64          // share lost
	Double float64          // share that comes twice
	Delay  [2]time.Duration // least and most; different ones change the order
	Stall  bool             // keeps what comes, stallMost at the most, until it is over
}

const stallMost = 1024

// relay is the rig's end of the link from one agent to another, or to all.
type relay struct {
	c        *Cluster
	from, to int
	at       netip.AddrPort // where from sends to
	own      netip.AddrPort // of the diagonal: the agent's own address
	conn     *net.UDPConn

	mu    sync.Mutex
	fault Fault
	rng   *rand.Rand
	held  [][]byte
}

const everyone = -1

func (c *Cluster) openLinks(n int) error {
	host, err := freeHost(rigs.Add(1))
	if err != nil {
		return err
	}
	c.links, c.alls = make([][]*relay, n), make([]*relay, n)
	for i := range n {
		c.links[i] = make([]*relay, n)
		for j := range n {
			r := &relay{c: c, from: i, to: j, rng: rand.New(rand.NewPCG(c.o.Seed, uint64(i)<<16|uint64(j)))}
			c.links[i][j] = r
			if i == j {
				r.own = netip.AddrPortFrom(host, uint16(peerPort+i))
				continue
			}
			if err := r.open(); err != nil {
				return err
			}
		}
		c.alls[i] = &relay{c: c, from: i, to: everyone}
		if err := c.alls[i].open(); err != nil {
			return err
		}
	}
	for i := range n {
		if err := c.refuse(i, true); err != nil {
			return err
		}
	}
	for i := range n {
		for j := range n {
			if i != j {
				c.tasks.Go(c.links[i][j].run)
			}
		}
		c.tasks.Go(c.alls[i].run)
	}
	return nil
}

// open binds a port that the kernel chose, by its number: one that it chose at the bind itself is lost when refuse
// takes the socket's other end away again.
func (r *relay) open() (err error) {
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
			r.at = r.conn.LocalAddr().(*net.UDPAddr).AddrPort()
			return nil
		}
	}
	return fmt.Errorf("cluster: link %d to %d: %w", r.from, r.to, err)
}

func (r *relay) run() {
	go func() {
		<-r.c.stopAt
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
		if r.to != everyone {
			r.carry(data)
			continue
		}
		for j, l := range r.c.links[r.from] {
			if j != r.from {
				l.carry(data)
			}
		}
	}
}

// carry does to a datagram what the link does.
func (r *relay) carry(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := &r.fault
	if f.Cut || r.rng.Float64() < f.Loss {
		return
	}
	if f.Stall {
		if len(r.held) < stallMost {
			r.held = append(r.held, data)
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

// deliver sends a datagram to its agent from where that agent knows the sender.
func (r *relay) deliver(data []byte) {
	r.c.links[r.to][r.from].conn.WriteToUDPAddrPort(data, r.c.links[r.to][r.to].own)
}

// set changes what a link does; what it held leaves.
func (r *relay) set(change func(*Fault)) {
	r.mu.Lock()
	change(&r.fault)
	var held [][]byte
	if !r.fault.Stall {
		held, r.held = r.held, nil
	}
	r.mu.Unlock()
	for _, data := range held {
		r.deliver(data)
	}
}

// Link changes what links do from some agents to others.
func (c *Cluster) Link(from, to []int, change func(*Fault)) {
	for _, i := range from {
		for _, j := range to {
			if i != j {
				c.links[i][j].set(change)
			}
		}
	}
}

// refuse has the links to an agent refuse what is sent there, as the machine of a process that is gone does: a
// socket that is connected to another address takes nothing else, and the kernel says so to who sends.
func (c *Cluster) refuse(to int, refuse bool) error {
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

func (c *Cluster) closeLinks() {
	for i := range c.links {
		for _, r := range append(c.links[i], c.alls[i]) {
			if r != nil && r.conn != nil {
				r.conn.Close()
			}
		}
	}
}
