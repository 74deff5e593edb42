package admission

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
)

// pair is a connection of the operating system's and its other end.
func pair(t *testing.T) (ours, theirs net.Conn) {
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
func TestLookAheadIsBounded(t *testing.T) {
	for _, ends := range []func(net.Conn){func(c net.Conn) { c.Close() }, func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }} {
		ours, theirs := pair(t)
		var total atomic.Int64
		a := &ahead{total: &total, stop: make(chan struct{}), done: make(chan struct{})}
		sent := bytes.Repeat([]byte("x"), 5*aheadStep)
		if _, err := theirs.Write(sent); err != nil {
			t.Fatal(err)
		}
		go func() {
			a.read(ours, aheadStep)
			close(a.done)
		}()
		ends(theirs)
		<-a.done
		if a.err == nil || len(a.buf) > 2*aheadStep || total.Load() != int64(len(a.buf)) {
			t.Errorf("ended with %v, %d bytes held, %d counted", a.err, len(a.buf), total.Load())
		}
	}
	// Asked to end, it leaves a client alone that stays, and what it sent is there to be read.
	ours, theirs := pair(t)
	var total atomic.Int64
	a := &ahead{total: &total, stop: make(chan struct{}), done: make(chan struct{})}
	theirs.Write(bytes.Repeat([]byte("y"), 3*aheadStep))
	go func() {
		a.read(ours, 1)
		close(a.done)
	}()
	close(a.stop)
	<-a.done
	theirs.Close()
	rest, err := io.ReadAll(ours)
	if a.err != nil || err != nil || len(a.buf)+len(rest) != 3*aheadStep {
		t.Errorf("%v, %v, %d and %d bytes", a.err, err, len(a.buf), len(rest))
	}
}
