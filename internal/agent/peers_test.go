package agent

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
)

func udp(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

func TestPeers(t *testing.T) {
	other, otherAddr := udp(t)
	stranger, _ := udp(t)
	all, allAddr := udp(t)
	cfg := testConfig(t)
	cfg.PeerListen = addrPort(t, "127.0.0.1:0")
	cfg.Peers = []netip.AddrPort{{}, otherAddr}
	cfg.PeersAll = allAddr
	p, err := listenPeers(cfg, quiet)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	heard := make(chan balance.PeerMessage, 10)
	ended := make(chan struct{})
	go func() {
		p.run(ctx, func(m balance.PeerMessage) { heard <- m })
		close(ended)
	}()
	self := p.conn.LocalAddr().(*net.UDPAddr).AddrPort()

	longest := strings.Repeat("y", maxDatagram)
	for _, d := range []struct {
		from *net.UDPConn
		data string
	}{{stranger, "from nobody"}, {other, longest + "y"}, {other, longest}} {
		if _, err := d.from.WriteToUDPAddrPort([]byte(d.data), self); err != nil {
			t.Fatal(err)
		}
	}
	if m := await(t, heard); m.From != 1 || string(m.Data) != longest {
		t.Errorf("heard %d bytes from %d", len(m.Data), m.From)
	}

	buf := make([]byte, 1000)
	p.Send(1, []byte(longest+"y")) // too long: never sent
	p.Send(7, []byte("nobody"))
	p.Send(1, []byte("to one"))
	p.Send(balance.EveryPeer, []byte("to all"))
	if n, from, err := other.ReadFromUDPAddrPort(buf); err != nil || string(buf[:n]) != "to one" || from != self {
		t.Errorf("got %q from %v, %v", buf[:n], from, err)
	}
	if n, _, err := all.ReadFromUDPAddrPort(buf); err != nil || string(buf[:n]) != "to all" {
		t.Errorf("got %q, %v", buf[:n], err)
	}
	cancel()
	await(t, ended)
	if len(heard) > 0 {
		t.Errorf("also heard %v", <-heard)
	}
}
