package server

import (
	"io"
	"net"
	"slices"
	"testing"

	"lemonrail/internal/configuration"
	"lemonrail/internal/configuration/client"
)

func TestConnectionsAreBounded(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	listener := newLimitedListener(inner, 1)
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	dial()
	first := <-accepted
	if _, err := dial().Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("a connection over the limit ended with %v, want io.EOF", err)
	}
	first.Close()
	first.Close() // a second Close, which must not free a second slot
	dial()
	<-accepted
	if _, err := dial().Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a connection over the limit ended with %v, want io.EOF", err)
	}
}

func TestMachineThatHasJustStartedCountsAsUnreachable(t *testing.T) {
	f := newFakeFleet(t)
	mustPut(t, f, testChange("1", configuration.Fleet, 0, 2))
	f.servers["b1"].settings.SettleS = maxSettleS
	c, err := client.New(f.address("a1"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	status, err := c.Status(t.Context(), configuration.Fleet, 0)
	if err != nil || status.Revision != 1 || !slices.Equal(status.Unreachable, []string{"b1"}) {
		t.Errorf("got %+v, %v", status, err)
	}
}

func TestStatusNamesMachinesThatDoNotAnswer(t *testing.T) {
	f := newFakeFleet(t)
	mustPut(t, f, testChange("1", testRegionA, 0, 2))
	f.http["b2"].Listener.Close()
	f.http["b2"].CloseClientConnections()
	c, err := client.New(f.address("a2"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	status, err := c.Status(t.Context(), testRegionA, 1)
	if err != nil || status.Epoch != 1 || status.Everywhere || !slices.Equal(status.Unreachable, []string{"b2"}) {
		t.Errorf("got %+v, %v", status, err)
	}
}
