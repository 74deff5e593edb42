package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"syscall"

	"lemonrail/balance"
)

const (
	maxDatagram = 256 // bytes that agents may send one another
	peerQueue   = 64  // datagrams that wait to be sent; beyond it they are lost, as on the way
)

// peers sends and receives the datagrams of the agents of one tier.
type peers struct {
	conn    *net.UDPConn
	addrs   []netip.AddrPort // by the agents' numbers
	all     netip.AddrPort
	self    int
	numbers map[netip.AddrPort]int
	out     chan datagram
	log     *slog.Logger
}

type datagram struct {
	to   netip.AddrPort
	data []byte
}

// listenPeers returns nil where agents don't talk.
func listenPeers(cfg *Config, log *slog.Logger) (*peers, error) {
	if !cfg.Settings.Peers || !cfg.PeerListen.IsValid() {
		return nil, nil
	}
	var lc net.ListenConfig
	if cfg.SharedDir != "" { // the process before this one has the address yet; what comes goes to the one bound last
		lc.Control = reuseAddr
	}
	pc, err := lc.ListenPacket(context.Background(), "udp", cfg.PeerListen.String())
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	conn := pc.(*net.UDPConn)
	p := &peers{conn: conn, addrs: cfg.Peers, all: cfg.PeersAll, self: cfg.Settings.Self,
		numbers: map[netip.AddrPort]int{}, out: make(chan datagram, peerQueue), log: log}
	for i, a := range cfg.Peers {
		p.numbers[a] = i
	}
	return p, nil
}

func reuseAddr(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	})
	return errors.Join(err, failed)
}

// run passes what other agents send to heard, until ctx ends.
func (p *peers) run(ctx context.Context, heard func(balance.PeerMessage)) {
	context.AfterFunc(ctx, func() { p.conn.Close() })
	go func() {
		for {
			select {
			case d := <-p.out:
				if _, err := p.conn.WriteToUDPAddrPort(d.data, d.to); err != nil {
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
		number, known := p.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if err != nil || !known || number == p.self || n > maxDatagram {
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
	if len(data) > maxDatagram || !addr.IsValid() {
		p.log.Warn("peer message not sent", "to", to, "bytes", len(data))
		return
	}
	select {
	case p.out <- datagram{addr, data}:
	default:
	}
}
