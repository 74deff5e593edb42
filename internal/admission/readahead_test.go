package admission

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
)

// tcpPair is a connection of the operating system's and its other end.
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

// What is taken in ahead is bounded over all connections. Where the bound is reached the end of a client shows all the
// same, behind bytes that are left where they are.
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
	// Asked to end, it leaves a client alone that stays, and what it sent is there to be read.
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
