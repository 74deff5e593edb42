package admission

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
)

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (ours, theirs net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if theirs, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if ours, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ours.Close(); theirs.Close() })
	return ours, theirs
}

// Reading ahead is bounded over all connections. When the limit is reached the end of a client is still
// detected, behind bytes that stay unread in the kernel.
func TestReadAheadIsBounded(t *testing.T) {
	for _, ends := range []func(net.Conn){func(c net.Conn) { c.Close() }, func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }} {
		ours, theirs := tcpPair(t)
		var total atomic.Int64
		a := &readAhead{total: &total, stop: make(chan struct{}), done: make(chan struct{})}
		sent := bytes.Repeat([]byte("x"), 5*readAheadChunk)
		if _, err := theirs.Write(sent); err != nil {
			t.Fatal(err)
		}
		go func() {
			a.read(ours, readAheadChunk)
			close(a.done)
		}()
		ends(theirs)
		<-a.done
		if a.err == nil || len(a.data) > 2*readAheadChunk || total.Load() != int64(len(a.data)) {
			t.Errorf("ended with %v, %d bytes held, %d counted", a.err, len(a.data), total.Load())
		}
	}
	// Once stopped, readAhead leaves a connected client alone, and the rest of its bytes can be read.
	ours, theirs := tcpPair(t)
	var total atomic.Int64
	a := &readAhead{total: &total, stop: make(chan struct{}), done: make(chan struct{})}
	theirs.Write(bytes.Repeat([]byte("y"), 3*readAheadChunk))
	go func() {
		a.read(ours, 1)
		close(a.done)
	}()
	close(a.stop)
	<-a.done
	theirs.Close()
	rest, err := io.ReadAll(ours)
	if a.err != nil || err != nil || len(a.data)+len(rest) != 3*readAheadChunk {
		t.Errorf("%v, %v, %d and %d bytes", a.err, err, len(a.data), len(rest))
	}
}
