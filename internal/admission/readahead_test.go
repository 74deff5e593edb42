package admission

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
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

// Guards against memory that grows while one client sends many small requests without waiting for their answers.
func TestReadAheadOverManyRequestsIsBounded(t *testing.T) {
	const requests = 20000
	var longest, mostCounted atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l, err := Listen(ln, DefaultConfig(0, 0), 0, Hooks{})
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnContext: ConnContext, ConnState: StateChanged, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		c := ConnFromContext(r.Context())
		c.mu.Lock()
		defer c.mu.Unlock()
		longest.Store(max(longest.Load(), int64(len(c.buffered))))
		mostCounted.Store(max(mostCounted.Load(), l.readAheadBytes.Load()))
	})}
	go server.Serve(l)
	defer server.Close()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	go io.Copy(nc, strings.NewReader(strings.Repeat("GET /read HTTP/1.1\r\nHost: x\r\nX-Fill: "+strings.Repeat("f", 100)+"\r\n\r\n", requests)))
	answers := bufio.NewReader(nc)
	for range requests {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	nc.Close()
	if got := longest.Load(); got > maxReadAhead+readAheadChunk {
		t.Errorf("%d bytes were held, at most %d are allowed", got, maxReadAhead)
	}
	if mostCounted.Load() < longest.Load() {
		t.Errorf("%d bytes were held, %d counted", longest.Load(), mostCounted.Load())
	}
	for deadline := time.Now().Add(testTimeout); l.Counts().Held > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if left := l.readAheadBytes.Load(); left != 0 {
		t.Errorf("%d bytes are counted after the end", left)
	}
}
