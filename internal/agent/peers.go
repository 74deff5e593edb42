package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"

	"lemonrail/balance"
	"lemonrail/internal/member"
)

const (
	maxDatagram   = 256 // bytes; larger datagrams are neither sent nor accepted
	peerQueueSize = 64  // datagrams that may wait to be sent; further ones are dropped
)

// peers sends and receives the datagrams between the agents of one tier: the balancer's messages, and those of the
// membership, which begin with member.Tag.
type peers struct {
	conn            *net.UDPConn
	addrs           []netip.AddrPort       // indexed by the agents' numbers
	broadcast       netip.AddrPort         // reaches all agents of the tier
	self            int                    // this agent's number
	indexes         map[netip.AddrPort]int // the agents' numbers by address
	queue           chan datagram          // datagrams that wait to be sent
	log             *slog.Logger
	balancerEnabled bool // the balancer's messages are sent and accepted; false: the socket serves the membership only

	members memberLink // nil: the agent takes no part in the membership
}

// memberLink receives, for the membership, what the peers' socket reads. Its methods must not block.
type memberLink interface {
	Received(from netip.AddrPort, data []byte) // a datagram of the membership has come
	Refused(to netip.AddrPort)                 // nobody listens at to, where a datagram was sent
}

// datagram is a UDP packet to be sent to the agent at address to.
type datagram struct {
	to   netip.AddrPort
	data []byte
}

// listenPeers opens the socket for peers; it returns nil where none is configured.
func listenPeers(cfg *Config, log *slog.Logger) (*peers, error) {
	balancerEnabled := cfg.Settings.Peers && cfg.PeerListen.IsValid()
	listenAt := cfg.PeerListen
	if cfg.members != nil && cfg.members.ListenAddr().IsValid() {
		if listenAt = cfg.members.ListenAddr(); balancerEnabled && len(cfg.members.List()) > 0 {
			return nil, errors.New("peers: both the platform and the file on members list addresses")
		}
	}
	if !balancerEnabled && (cfg.members == nil || !listenAt.IsValid()) {
		return nil, nil
	}
	if balancerEnabled {
		listenAt = cfg.PeerListen
	}
	var lc net.ListenConfig
	if cfg.SharedDir != "" { // the previous process still holds the address; datagrams go to the socket bound last
		lc.Control = reuseAddr
	}
	pc, err := lc.ListenPacket(context.Background(), "udp4", listenAt.String())
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	conn := pc.(*net.UDPConn)
	p := &peers{conn: conn, addrs: cfg.Peers, broadcast: cfg.PeersAll, self: cfg.Settings.Self, balancerEnabled: balancerEnabled,
		indexes: map[netip.AddrPort]int{}, queue: make(chan datagram, peerQueueSize), log: log}
	for i, a := range cfg.Peers {
		p.indexes[a] = i
	}
	return p, nil
}

func reuseAddr(_, _ string, c syscall.RawConn) error {
	return sockopt(c, syscall.SOL_SOCKET, syscall.SO_REUSEADDR)
}

func sockopt(c syscall.RawConn, level, option int) error {
	var optErr error
	err := c.Control(func(fd uintptr) { optErr = syscall.SetsockoptInt(int(fd), level, option, 1) })
	return errors.Join(err, optErr)
}

// attachMembers lets a membership use this socket, and has the kernel report ports at which nobody listens.
func (p *peers) attachMembers(members memberLink) {
	p.members = members
	c, err := p.conn.SyscallConn()
	if err == nil {
		err = sockopt(c, unix.IPPROTO_IP, unix.IP_RECVERR)
	}
	if err != nil { // without these reports dead members are detected by timeout
		p.log.Warn("refused datagrams are not reported", "err", err)
	}
}

// readRefused is called after each failed call on the socket, as a refused datagram makes the next call fail. It tells
// the membership, if there is one, the destination of each datagram that was refused.
func (p *peers) readRefused() {
	if p.members == nil {
		return
	}
	c, err := p.conn.SyscallConn()
	if err != nil {
		return
	}
	c.Control(func(fd uintptr) {
		var buf, oob [maxDatagram + 256]byte
		for {
			_, n, _, from, err := unix.Recvmsg(int(fd), buf[:], oob[:], unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
			if err != nil {
				return
			}
			to, ok := from.(*unix.SockaddrInet4) // destination of the refused datagram
			if ok && isPortUnreachable(oob[:n]) {
				p.members.Refused(netip.AddrPortFrom(netip.AddrFrom4(to.Addr), uint16(to.Port)))
			}
		}
	})
}

// isPortUnreachable reports whether an entry of the error queue says that nobody listens at a port (RFC 792, destination
// unreachable, code 3).
func isPortUnreachable(oob []byte) bool {
	all, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return false
	}
	for _, m := range all {
		// struct sock_extended_err: errno 4, origin 1, type 1, code 1.
		if m.Header.Level == unix.IPPROTO_IP && m.Header.Type == unix.IP_RECVERR && len(m.Data) >= 7 &&
			m.Data[4] == unix.SO_EE_ORIGIN_ICMP && m.Data[5] == 3 && m.Data[6] == 3 {
			return true
		}
	}
	return false
}

// run passes the messages of other agents to deliver, until ctx ends.
func (p *peers) run(ctx context.Context, deliver func(balance.PeerMessage)) {
	context.AfterFunc(ctx, func() { p.conn.Close() })
	go func() {
		for {
			select {
			case d := <-p.queue:
				_, err := p.conn.WriteToUDPAddrPort(d.data, d.to)
				if errors.Is(err, syscall.ECONNREFUSED) { // the error belongs to a datagram sent earlier
					p.readRefused()
					_, err = p.conn.WriteToUDPAddrPort(d.data, d.to)
				}
				if err != nil {
					p.log.Debug("peers", "err", err)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.readRefused()
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if n > 0 && buf[0] == member.Tag {
			if p.members != nil {
				p.members.Received(from, append([]byte(nil), buf[:n]...))
			}
			continue
		}
		index, known := p.indexes[from]
		if !known || index == p.self || n > maxDatagram || !p.balancerEnabled {
			continue
		}
		deliver(balance.PeerMessage{From: index, Data: append([]byte(nil), buf[:n]...)})
	}
}

// Send sends a balancer's message to the agent with the number to, or to all agents for balance.EveryPeer. It never blocks.
func (p *peers) Send(to int, data []byte) {
	addr := p.broadcast
	if to != balance.EveryPeer {
		if to < 0 || to >= len(p.addrs) {
			return
		}
		addr = p.addrs[to]
	}
	if len(data) > maxDatagram || !addr.IsValid() || !p.balancerEnabled {
		p.log.Warn("peer message not sent", "to", to, "bytes", len(data))
		return
	}
	p.send(addr, data)
}

// send queues a datagram, or drops it if the queue is full. It never blocks.
func (p *peers) send(to netip.AddrPort, data []byte) {
	select {
	case p.queue <- datagram{to, data}:
	default:
	}
}
