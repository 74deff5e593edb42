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
	maxDatagram = 256 // bytes that agents may send one another
	peerQueue   = 64  // datagrams that wait to be sent; beyond it they are lost, as on the way
)

// peers sends and receives the datagrams of the agents of one tier: those of the module, and those of the
// membership, which begin with a byte of their own.
type peers struct {
	conn    *net.UDPConn
	addrs   []netip.AddrPort // by the agents' numbers
	all     netip.AddrPort
	self    int
	numbers map[netip.AddrPort]int
	out     chan datagram
	log     *slog.Logger
	talks   bool // the module's messages are allowed

	members gossip // nil: no membership
}

// gossip is a membership as the socket knows it. Its functions never wait.
type gossip interface {
	Received(from netip.AddrPort, data []byte)
	Refused(to netip.AddrPort)
}

type datagram struct {
	to   netip.AddrPort
	data []byte
}

// listenPeers returns nil where agents don't talk.
func listenPeers(cfg *Config, log *slog.Logger) (*peers, error) {
	talks := cfg.Settings.Peers && cfg.PeerListen.IsValid()
	at := cfg.PeerListen
	if cfg.members != nil && cfg.members.ListenAt().IsValid() {
		if at = cfg.members.ListenAt(); talks && len(cfg.members.List()) > 0 {
			return nil, errors.New("peers: the platform gives their addresses, and the file on members lists others")
		}
	}
	if !talks && (cfg.members == nil || !at.IsValid()) {
		return nil, nil
	}
	if talks {
		at = cfg.PeerListen
	}
	var lc net.ListenConfig
	if cfg.SharedDir != "" { // the process before this one has the address yet; what comes goes to the one bound last
		lc.Control = reuseAddr
	}
	pc, err := lc.ListenPacket(context.Background(), "udp4", at.String())
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	conn := pc.(*net.UDPConn)
	p := &peers{conn: conn, addrs: cfg.Peers, all: cfg.PeersAll, self: cfg.Settings.Self, talks: talks,
		numbers: map[netip.AddrPort]int{}, out: make(chan datagram, peerQueue), log: log}
	for i, a := range cfg.Peers {
		p.numbers[a] = i
	}
	return p, nil
}

func reuseAddr(_, _ string, c syscall.RawConn) error {
	return sockopt(c, syscall.SOL_SOCKET, syscall.SO_REUSEADDR)
}

func sockopt(c syscall.RawConn, level, option int) error {
	var failed error
	err := c.Control(func(fd uintptr) { failed = syscall.SetsockoptInt(int(fd), level, option, 1) })
	return errors.Join(err, failed)
}

// join has a membership talk over this socket, and learn where machines say that nobody listens.
func (p *peers) join(g gossip) {
	p.members = g
	c, err := p.conn.SyscallConn()
	if err == nil {
		err = sockopt(c, unix.IPPROTO_IP, unix.IP_RECVERR)
	}
	if err != nil { // without them the dead are found out by their silence
		p.log.Warn("refused datagrams are not told", "err", err)
	}
}

// refusals reads which datagrams came back as refused. An error of one makes the next call on the socket fail, so
// that it is asked for after each failure.
func (p *peers) refusals() {
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
			to, ok := from.(*unix.SockaddrInet4) // where the datagram had been sent
			if ok && refused(oob[:n]) {
				p.members.Refused(netip.AddrPortFrom(netip.AddrFrom4(to.Addr), uint16(to.Port)))
			}
		}
	})
}

// refused reports whether an entry of the error queue says that nobody listens at a port (RFC 792, destination
// unreachable, code 3).
func refused(oob []byte) bool {
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

// run passes what other agents send to heard, until ctx ends.
func (p *peers) run(ctx context.Context, heard func(balance.PeerMessage)) {
	context.AfterFunc(ctx, func() { p.conn.Close() })
	go func() {
		for {
			select {
			case d := <-p.out:
				_, err := p.conn.WriteToUDPAddrPort(d.data, d.to)
				if errors.Is(err, syscall.ECONNREFUSED) { // that of another one, sent before
					p.refusals()
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
			p.refusals()
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if n > 0 && buf[0] == member.Tag {
			if p.members != nil {
				p.members.Received(from, append([]byte(nil), buf[:n]...))
			}
			continue
		}
		number, known := p.numbers[from]
		if !known || number == p.self || n > maxDatagram || !p.talks {
			continue
		}
		heard(balance.PeerMessage{From: number, Data: append([]byte(nil), buf[:n]...)})
	}
}

// Tell sends data to one agent or to all. It never waits.
func (p *peers) Tell(to int, data []byte) {
	addr := p.all
	if to != balance.EveryPeer {
		if to < 0 || to >= len(p.addrs) {
			return
		}
		addr = p.addrs[to]
	}
	if len(data) > maxDatagram || !addr.IsValid() || !p.talks {
		p.log.Warn("peer message not sent", "to", to, "bytes", len(data))
		return
	}
	p.send(addr, data)
}

// send puts a datagram on its way. It never waits.
func (p *peers) send(to netip.AddrPort, data []byte) {
	select {
	case p.out <- datagram{to, data}:
	default:
	}
}
