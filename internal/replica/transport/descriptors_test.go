package transport

import (
	"context"
	"net"
	"syscall"
	"testing"

	"lemonrail/internal/scripted"
)

// The descriptors of connections are counted while they are open, and failed accepts end nothing.
func TestServerCountsDescriptors(t *testing.T) {
	ln := scripted.Listen(t)
	deltas := make(chan int, 8)
	server := &Server{Listener: scripted.FailAccepts(ln, syscall.EMFILE, syscall.ENETUNREACH), OnInvalid: func(error) {}, Descriptors: func(delta int) { deltas <- delta }}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.Run(ctx)
	}()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if delta := scripted.Await(t, deltas); delta != 1 {
		t.Errorf("counted %d for an open connection", delta)
	}
	client.Close()
	if delta := scripted.Await(t, deltas); delta != -1 {
		t.Errorf("counted %d for a closed connection", delta)
	}
	cancel()
	scripted.Await(t, ended)
}
